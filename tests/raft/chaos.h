#ifndef MP_TESTS_RAFT_CHAOS_H
#define MP_TESTS_RAFT_CHAOS_H

#include "net.h"

/* One seed of mixed faults; what the checkers found, empty when all holds. */
std::string run_chaos(uint64_t seed);

#endif
