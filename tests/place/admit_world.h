#ifndef MP_TESTS_ADMIT_WORLD_H
#define MP_TESTS_ADMIT_WORLD_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "place/place.h"
#include "util/rng.h"

/*
 * Simulated engines, accounts and callers around one or more placers, without a
 * network. An engine processes one prompt at a time, the most urgent first, and
 * then generates the answer. Used by the tests of admission and by its bench.
 */

/* Prompt tokens that an engine processes in a ms. */
static const double kWorldTokensPerMs = 18;

/* A kind of request, as a route has it. */
struct WorldKind {
	const char *name;
	double part; /* of each account's requests */
	uint32_t priority, objective_ms, deadline_ms;
	uint32_t prompt_tokens, output_tokens;
	bool returns; /* a refused caller comes back once */
	gw_kind kind;
	double late_value; /* of an answer after the objective */
};

struct WorldAccount {
	double per_s; /* usual rate of requests */
	uint64_t quota; /* requests per second; 0: none */
	uint32_t priority;
	int owner = -1; /* placer of all its requests; -1: any */
};

/* A change of the usual rate for a time. */
struct WorldSurge {
	int account, kind; /* -1: all */
	double factor;
	uint32_t from_ms, to_ms;
};

struct WorldLoad {
	std::vector<WorldKind> kinds;
	std::vector<WorldAccount> accounts;
	std::vector<WorldSurge> surges;
	uint32_t clump = 1; /* requests that arrive together */
	uint32_t engines = 12, owners = 1, slots = 24;
	/* each request names one of them, by Zipf's law; 0: the model itself */
	uint32_t adapters = 0;
	double zipf = 1.2;
	uint32_t load_ms = 250, loads_max = 24; /* more at a time are slower */
	uint32_t ms = 20000; /* time during which requests arrive */
	/* requests that arrive in this time are counted */
	uint32_t count_from_ms = 0, count_to_ms = 1000000;
	bool baseline = false; /* use place_use_baseline_order() */
	bool reports = true; /* owners tell each other their charges */
	uint64_t seed = 1;
};

struct WorldCount {
	uint32_t asked = 0, timely = 0, late = 0, refused = 0;
	double value = 0;

	double
	ValuePart() const
	{
		return asked == 0 ? 1 : value / asked;
	}
	double
	TimelyPart() const
	{
		return asked == 0 ? 1 : (double)timely / asked;
	}
	double
	ServedPart() const
	{
		return asked == 0 ? 1 : (double)(timely + late) / asked;
	}
	void
	Add(const WorldCount &other)
	{
		asked += other.asked;
		timely += other.timely;
		late += other.late;
		refused += other.refused;
		value += other.value;
	}
};

struct WorldResult {
	std::vector<WorldCount> accounts, kinds;
	std::vector<std::vector<WorldCount>> account_kinds; /* by both */
	WorldCount all;
	uint64_t gap_milli = 0, gap_bound_milli = 0; /* largest of all owners */
	uint32_t held_to_deadline = 0; /* refused in the last tenth */
	uint32_t inversions = 0; /* late ones that ran before timely ones */
	uint32_t loads = 0; /* of adapters, from the store */
	std::map<std::string, uint32_t> reasons; /* of refusals */
};

WorldResult RunWorld(const WorldLoad &load);

/* The kinds and accounts of the loads that the tests and the bench share. */
std::vector<WorldKind> WorldKinds();
/* Seconds 6 to 16 of the heaviest day of deployment A, see the design note. */
WorldLoad WorldHeaviestDay();
/* n accounts that together use a part of the engines' capacity. */
std::vector<WorldAccount> WorldAccounts(
    int n, double used, const WorldLoad &load);

#endif
