#ifndef MP_SCHED_SCHED_GUARD_H
#define MP_SCHED_SCHED_GUARD_H

#include <stdbool.h>

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
	bool bound; /* affinity reorders only within the deficit bound */
	bool lift; /* a team that was idle keeps no credit */
	bool remote; /* a remote charge counts only within bounds */
};

extern struct sched_guards sched_guards;

#ifdef __cplusplus
}
#endif

#endif
