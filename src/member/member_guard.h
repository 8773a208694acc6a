/* Switches by which tests turn off single rules of leases and support. */
#ifndef MP_MEMBER_GUARD_H
#define MP_MEMBER_GUARD_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The guards: rules that keep two owners from acting at the same time. All are
 * on. Only tests switch one off, to verify that their checks detect it.
 */
struct member_guards {
	bool lease_from_send; /* a lease counts from sending the renewal */
	bool lease_margin; /* both sides allow for clock drift */
	bool lease_required; /* a lease requires an applied log index */
	bool lease_wait; /* an epoch waits for leases that miss it */
	bool earlier_leases; /* a new leader waits for earlier leases */
	bool flight; /* orders in flight are waited for */
	bool promise; /* a supporter delays its acknowledgement */
	bool seal; /* an epoch waits for its predecessor's supporters */
	bool same_epoch; /* support counts within one epoch */
	bool support_required; /* support requires the supporter's index */
	bool in_force_leases; /* the index in force waits for lease holders */
	bool in_force_support; /* the index in force waits for supporters */
	bool leader_by_authority; /* hearsay names no other leader */
	bool known_commit; /* a replica learns from leases what it lacks */
	bool found_ended; /* one that found a member ended may replace it */
	bool all_can_read; /* a MemberChanges waits for all to read it */
	bool permit_hold; /* a permit is free once it is certainly unused */
};

extern struct member_guards member_guards;

/*
 * Number of members above which renewals are less frequent and go through
 * relays: MEMBER_LARGE_THRESHOLD; tests set a smaller one.
 */
extern size_t member_large_threshold;

#ifdef __cplusplus
}
#endif

#endif
