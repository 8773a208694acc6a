/*
 * Freshness of a replica: how recently it is known to have applied everything
 * that was committed.
 *
 * The leader says in each lease that it grants which index it has committed. A
 * replica that has applied that index had, when it sent the renewal, everything
 * that had been acknowledged until then. A grant implies authority, so no other
 * leader can have committed more before the renewal was sent.
 */
#ifndef MP_MEMBER_FRESHNESS_H
#define MP_MEMBER_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/peer.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Starts as zeros. Times are of the clock of this instance, in microseconds. */
struct member_freshness {
	uint64_t commit; /* of the newest grant */
	uint64_t commit_sent_us; /* when the renewal of that grant was sent */
	uint64_t confirmed_us; /* everything until then is applied; 0: never */
};

/* The replica has applied the log up to an index. */
void member_freshness_on_applied(struct member_freshness *f, uint64_t applied);

/*
 * An answer to a renewal of this process. Only a grant counts.
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
