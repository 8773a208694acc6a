#ifndef MP_MEMBER_GUARD_H
#define MP_MEMBER_GUARD_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The guards that keep two owners from acting at once. All are on; only
 * tests switch one off, to see that their checkers notice.
 */
struct member_guards {
	bool lease_from_send; /* a lease counts from sending the renewal */
	bool lease_margin; /* both sides allow for clock drift */
	bool lease_required; /* a lease waits for its index */
	bool lease_wait; /* an epoch waits for leases that miss it */
	bool earlier_leases; /* a new leader waits for its forerunner's */
	bool flight; /* orders under way are waited for */
	bool promise; /* a supporter holds back acknowledgement */
	bool seal; /* an epoch waits for its predecessor's supporters */
	bool same_epoch; /* support counts within one epoch */
	bool support_required; /* support waits for the supporters' index */
	bool in_force_leases; /* in force waits for lease holders */
	bool in_force_support; /* in force waits for supporters */
	bool permit_hold; /* a permit is free once it is surely unused */
};

extern struct member_guards member_guards;

/* Members over which renewals are few and relayed; tests make it small. */
extern size_t member_large_threshold;

#ifdef __cplusplus
}
#endif

#endif
