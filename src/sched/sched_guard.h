#ifndef MP_SCHED_SCHED_GUARD_H
#define MP_SCHED_SCHED_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Guards of the invariants. All are on; a test switches one off to see that
 * the checker of its invariant fails.
 */
struct sched_guards {
	bool pins; /* no eviction of an adapter with a grant */
	bool running; /* nor of one that the endpoint reports as running */
	bool takeover; /* nor before a report after a takeover */
	bool permits; /* no load beyond the store permits */
	bool bound; /* affinity reorders only within the deficit bound */
	bool lift; /* a team back from idle holds no credit */
	bool remote; /* a remote charge counts only within bounds */
};

extern struct sched_guards sched_guards;

#ifdef __cplusplus
}
#endif

#endif
