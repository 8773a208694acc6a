#ifndef MP_TESTS_RAFT_CHAOS_H
#define MP_TESTS_RAFT_CHAOS_H

#include <cstdint>
#include <string>

#include "net.h"

/* What happened in all runs so far: faults must not go quiet unseen. */
struct ChaosTotals {
	uint64_t commits, leaders, configs, replaced_disks;
};
extern ChaosTotals chaos_totals;

/* One seed of mixed faults; what the checkers found, empty when all holds. */
std::string run_chaos(uint64_t seed);

#endif
