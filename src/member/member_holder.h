/* Internals of the holder, shared with tests. */
#ifndef MP_MEMBER_HOLDER_H
#define MP_MEMBER_HOLDER_H

#include "member/member.h"

/* Number of messages of a kind whose replies are still accepted. */
#define MEMBER_SENT_MAX 32

/* Times at which the newest messages of a kind were sent: a ring buffer. */
struct member_sent_times {
	uint64_t sent_us[MEMBER_SENT_MAX];
	size_t count; /* of all messages ever sent */
};

/* The support that a peer's newest pong gives. */
struct member_support {
	uint32_t id;
	uint64_t epoch;
	uint64_t until_us; /* by the clock of this instance */
	uint64_t required; /* log index that this instance must have applied */
};

struct member_holder {
	uint32_t self; /* id of this instance */
	uint64_t incarnation;
	bool clock_started; /* a call has passed a time */
	uint64_t next_renew_us, next_ping_us;
	struct member_sent_times renews_sent, pings_sent;

	/*
	 * Newest reply: when its renewal was sent, and the leader it names.
	 * Newest reply with permits: when its renewal was sent, the term it is
	 * from and the share held since.
	 */
	uint64_t leader_sent_us, permit_sent_us, permit_term;
	uint32_t leader;
	uint32_t permit_in_flight, permit_rate_milli;
	/* Newest reply that granted a lease. */
	uint64_t lease_sent_us, lease_until_us, lease_required;
	/* Largest received. */
	uint64_t active_epoch, in_force;

	/* The view at the last member_holder_on_view(). */
	uint64_t epoch;
	bool is_large; /* over member_large_threshold members */
	bool is_member; /* this process is one of them */
	uint64_t replaces; /* incarnation of an earlier process that is; or 0 */

	/* When the renewal was sent that a leader with authority answered last.
	 */
	uint64_t authority_sent_us;
	uint64_t promise_until_us;
	bool promise_renewed; /* the newest renewal said that it runs */
	struct member_support *supports;
	size_t nsupports;
};

#endif
