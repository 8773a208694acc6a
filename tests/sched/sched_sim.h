#ifndef MP_TESTS_SCHED_SIM_H
#define MP_TESTS_SCHED_SIM_H

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "sched/sched.h"
#include "util/rng.h"

/* Load that a team offers. */
struct SimTeam {
	std::string name;
	double rate; /* requests per second */
	uint32_t adapters; /* of its own, with Zipf popularity */
	double weight = 1.0;
	double zipf = 1.1; /* exponent */
	/* Its k-th adapter has rank first_rank + k * rank_stride. */
	uint32_t first_rank = 1, rank_stride = 1;
	uint32_t priority_high_percent = 0; /* the others have priority 2 */
};

/* Suffixes: _s is seconds, _ms is milliseconds of simulated time. */
struct SimOptions {
	std::string policy = "fair";
	settings_objective objective = SETTINGS_LOAD_STALL;
	settings_charge charge = SETTINGS_CHARGE_REQUESTS;
	uint32_t engines = 10, slots = 4, seats = 8;
	uint32_t store_rate_milli = 2500, store_in_flight = 8, load_ms = 250;
	double service_s = 8.0; /* mean, uniform from 0.5 to 1.5 times it */
	double deadline_s = 20.0;
	double warm_up_s = 60.0, end_s = 360.0;
	uint64_t seed = 1;
	std::vector<SimTeam> teams;
	double load_failures = 0.0; /* share of loads that fail */
	double popularity_flip_s = 0.0; /* when popularity is reversed */
	double restart_s = 0.0; /* when engine 0 restarts; 0: never */
	bool false_reports = false; /* reports always say that nothing runs */

	/* A refused caller retries once, after the retry time. */
	bool callers_retry = false;
};

/* Results of one team, for requests that arrived after the warm-up. */
struct SimTeamResult {
	uint64_t offered = 0, delivered = 0, refused = 0, late = 0;
	std::vector<double> waits_s;

	/* Quantile of the waits in seconds; q from 0 to 1. */
	double Wait(double q);
};

struct SimResult {
	std::map<std::string, SimTeamResult> teams;
	uint64_t delivered = 0, offered = 0, refused = 0, loads = 0;
	double stall_s = 0.0; /* of granted requests */
	double stall_all_s = 0.0; /* also the whole wait of refused ones */

	/*
	 * Stall and loads of the same requests with optimal eviction, which
	 * knows all later requests, and all slots as one cache.
	 */
	double optimal_stall_s = 0.0;
	uint64_t optimal_loads = 0;
	double batch_fill = 0.0; /* mean sequences over seats, busy engines */

	/* The same if all that runs were on as few engines as possible. */
	double packed_batch_fill = 0.0;
	double adapters_per_batch = 0.0;

	/* Violations of invariants. */
	uint64_t evicted_in_use = 0, beyond_seats = 0, beyond_permits = 0;
	uint64_t refused_late = 0, no_retry_after = 0;

	uint64_t refused_immediately = 0; /* within 50 ms of their arrival */
	uint64_t delivered_in_window = 0; /* between warm-up and end */
	uint64_t retried = 0, retried_delivered = 0; /* see callers_retry */

	/* Mean stall of each 30 s from the popularity flip on. */
	double stall_after_flip_s[10] = {};
	sched_totals totals = {};
	double
	Goodput() const
	{
		return (double)delivered;
	}
};

constexpr uint64_t kSimSecondUs = 1000000;

/* A request at its first arrival. */
struct SimCall {
	uint64_t at_us, deadline_us;
	std::string adapter;
	bool counted; /* arrived after the warm-up */
};

/*
 * Computes optimal_stall_s and optimal_loads: the adapter whose next use is
 * latest is evicted.
 */
void SimOptimalEviction(
    const SimOptions &o, const std::vector<SimCall> &trace, SimResult *r);

/*
 * Simulates engines, store and callers in one event queue. The result depends
 * only on the options.
 */
SimResult SimRun(const SimOptions &options);

#endif
