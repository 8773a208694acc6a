/*
 * Freshness of a replica: how recently it is known to have applied everything
 * that was committed.
 *
 * A leader with authority says in each answer to a renewal which index it has
 * committed. A replica that has applied that index had, when it sent the
 * renewal, everything that had been acknowledged until then: while one leader
 * has authority, no other commits anything.
 */
#ifndef MP_MEMBER_FRESHNESS_H
#define MP_MEMBER_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/peer.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Whether an answer to a renewal is of a leader with authority. */
static inline bool
member_reply_has_authority(const Wire__LeaseReply *reply)
{
	return reply->granted || reply->permits;
}

/* Starts as zeros. Times are of the clock of this instance, in microseconds. */
struct member_freshness {
	uint64_t commit; /* in the newest answer with authority */
	uint64_t commit_sent_us; /* when the renewal that it answers was sent */
	/*
	 * The same of the oldest answer whose index was not applied yet. It is
	 * kept until then: a replica that always lags by more than an interval
	 * of renewals is confirmed, too, that much later.
	 */
	uint64_t awaited, awaited_sent_us;
	uint64_t confirmed_us; /* everything until then is applied; 0: never */
};

/* The replica has applied the log up to an index. */
void member_freshness_on_applied(struct member_freshness *f, uint64_t applied);

/*
 * An answer to a renewal of this process. It counts with authority only, see
 * member_reply_has_authority().
 *
 * applied: index up to which the replica has applied the log
 */
void member_freshness_on_lease(struct member_freshness *f, uint64_t applied,
    const Wire__LeaseReply *reply);

/* Whether the replica is known to lack committed entries. */
bool member_freshness_is_behind(
    const struct member_freshness *f, uint64_t applied);

/* Whether it is confirmed to have all that was committed max_age_us ago. */
bool member_freshness_is_confirmed(
    const struct member_freshness *f, uint64_t now_us, uint64_t max_age_us);

#ifdef __cplusplus
}
#endif

#endif
