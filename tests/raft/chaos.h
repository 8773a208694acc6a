#ifndef MP_TESTS_RAFT_CHAOS_H
#define MP_TESTS_RAFT_CHAOS_H

/* Seeded runs of random faults, shared by chaos_test.cc and guard_test.cc. */

#include <cstdint>
#include <string>

#include "net.h"

/*
 * Totals of all runs so far. Their lower bounds fail if the faults stop
 * occurring, which would make the runs pass without testing anything.
 */
struct ChaosTotals {
	uint64_t commits; /* entries */
	uint64_t leaders; /* terms with a leader */
	uint64_t configs; /* committed membership changes */
	uint64_t replaced_disks;
};
extern ChaosTotals chaos_totals;

/* Run one seed of mixed faults; returns the first violation found, or "". */
std::string run_chaos(uint64_t seed);

#endif
