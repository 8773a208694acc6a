#ifndef MP_NODE_NODE_GUARD_H
#define MP_NODE_NODE_GUARD_H

#include <stdbool.h>
#include <stddef.h>

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
	bool relay_round; /* a late relay is passed by */
	bool relay_process; /* renewals count for the process they are of */
	bool orphan_pins; /* pins of a dead entry wait for a report */
	bool cache_resync; /* lost cache events: the engine is asked */
	bool gate_highest; /* of the configurations the highest is in force */
	bool gate_active; /* a shard's orders wait until its epoch is active */
	bool gate_leased; /* calls are answered under a lease only */
};

extern struct node_guards node_guards;

/* Members over which the log goes by relays; tests make it small. */
extern size_t node_direct_members_max;

#ifdef __cplusplus
}
#endif

#endif
