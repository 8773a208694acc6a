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

/* A team's offered load. */
struct SimTeam {
	std::string name;
	double rate; /* requests a second */
	uint32_t adapters; /* of its own, Zipf popularity */
	double weight = 1.0;
	double zipf = 1.1;
	/* Its k-th adapter is of rank first + k * stride over all teams. */
	uint32_t first = 1, stride = 1;
	uint32_t priority_high_percent = 0; /* the rest has priority 2 */
};

struct SimOptions {
	std::string policy = "fair";
	settings_objective objective = SETTINGS_LOAD_STALL;
	settings_charge charge = SETTINGS_CHARGE_REQUESTS;
	uint32_t engines = 10, slots = 4, seats = 8;
	uint32_t store_rate_milli = 2500, store_in_flight = 8, load_ms = 250;
	double service_s = 8.0; /* mean; uniform from half to one and a half */
	double deadline_s = 20.0;
	double warm_s = 60.0, end_s = 360.0;
	uint64_t seed = 1;
	std::vector<SimTeam> teams;
	double load_failures = 0.0; /* share of loads that fail */
	double flip_s = 0.0; /* popularity is reversed then */
	double cold_s = 0.0; /* engine 0 restarts then */
	bool lying = false; /* reports always say: nothing runs */
	bool retry = false; /* a refused caller comes back once, as told */
};

/* What one team saw, of requests that came after the warm-up. */
struct SimTeamResult {
	uint64_t offered = 0, delivered = 0, refused = 0, late = 0;
	std::vector<double> waits_s;
	double Wait(double q);
};

struct SimResult {
	std::map<std::string, SimTeamResult> teams;
	uint64_t delivered = 0, offered = 0, refused = 0, loads = 0;
	double stall_s = 0.0; /* of granted requests */
	double stall_all_s = 0.0; /* and of the refused, their whole wait */
	/* The same by eviction that knows the future, all slots as one cache.
	 */
	double limit_stall_s = 0.0;
	uint64_t limit_loads = 0; /* of these requests */
	double batch = 0.0; /* mean sequences over seats of busy engines */
	double packed = 0.0; /* the same, all running on as few as can be */
	double adapters_a_batch = 0.0;
	/* Broken invariants. */
	uint64_t evicted_in_use = 0, beyond_seats = 0, beyond_permits = 0;
	uint64_t refused_late = 0, no_retry_after = 0;
	uint64_t refused_at_once = 0; /* within 50 ms of their arrival */
	uint64_t worked = 0; /* delivered between warm-up and end */
	uint64_t back = 0, back_delivered = 0; /* came again when told to */
	double stall_after_flip_s[10] = {}; /* mean of each 30 s from it on */
	sched_totals totals = {};
	double
	Goodput() const
	{
		return (double)delivered;
	}
};

constexpr uint64_t kSimSecond = 1000000;

/* A request as it came. */
struct SimCall {
	uint64_t at, deadline;
	std::string adapter;
	bool counted; /* came after the warm-up */
};

/* The stall of the same requests when what is needed last is evicted. */
void SimLimit(
    const SimOptions &o, const std::vector<SimCall> &trace, SimResult *r);

/* Engines, store and callers in one event queue, all from one seed. */
SimResult SimRun(const SimOptions &options);

#endif
