#ifndef MP_MEMBER_HOLDER_H
#define MP_MEMBER_HOLDER_H

#include "member/member.h"

/* Inside of the holder. */

#define MEMBER_SENT_MAX 32 /* times of messages that may be answered */

struct member_sent_times {
	uint64_t sent_us[MEMBER_SENT_MAX];
	size_t count;
};

/* What a supporter said last. */
struct member_support {
	uint32_t id;
	uint64_t epoch;
	uint64_t until_us; /* by our clock */
	uint64_t required;
};

struct member_holder {
	uint32_t self;
	uint64_t incarnation;
	bool clock_started; /* the first call with a time was seen */
	uint64_t next_renew_us, next_ping_us;
	struct member_sent_times renews_sent, pings_sent;

	/* From the newest reply, and from the newest with permits. */
	uint64_t leader_sent_us, permit_sent_us, permit_term;
	uint32_t leader;
	uint32_t permit_in_flight, permit_rate_milli;
	/* From the newest grant. */
	uint64_t lease_sent_us, lease_until_us, lease_required;
	/* Largest ever told. */
	uint64_t active_epoch, in_force;

	uint64_t epoch; /* of the view told last */
	bool is_large; /* it has many members */
	bool is_member; /* in it, by this incarnation */
	uint64_t promise_until_us;
	struct member_support *supports;
	size_t nsupports;
};

#endif
