#ifndef MP_SCHED_SCHED_GUARD_H
#define MP_SCHED_SCHED_GUARD_H

#include <stdbool.h>

#include "fair/fair.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Switches of the checks that enforce the scheduler's invariants. All are on
 * in production. A test switches one off to prove that the test's checker
 * detects a violation of that invariant.
 */
struct sched_guards {
	bool pins; /* no eviction of an adapter with a grant */
	bool running; /* no eviction of an adapter that the endpoint reports
			 as running */
	bool takeover; /* no eviction before a report after a takeover */
	bool permits; /* no load beyond the store permits */
	union {
		struct fair_guards fair;
		struct { /* the same, by their names in struct fair_guards */
			bool bound; /* also: affinity reorders only within it */
			bool lift;
			bool remote;
		};
	};
};

extern struct sched_guards sched_guards;

#ifdef __cplusplus
}
#endif

#endif
