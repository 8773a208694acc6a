#ifndef MP_NODE_NODE_GUARD_H
#define MP_NODE_NODE_GUARD_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Guards of owners. All are on; only tests switch one off, to see that
 * their checkers notice.
 */
struct node_guards {
	bool takeover_wait; /* no eviction soon after a change of owner */
	bool active_epoch; /* orders wait until the epoch is active */
	bool act_until; /* calls carry the end of the lease */
	bool orphan_pins; /* pins of a dead entry wait for a report */
	bool cache_resync; /* lost cache events: the engine is asked */
};

extern struct node_guards node_guards;

#ifdef __cplusplus
}
#endif

#endif
