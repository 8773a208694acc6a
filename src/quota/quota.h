#ifndef MP_QUOTA_QUOTA_H
#define MP_QUOTA_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What the owner of an account's quota (quota_ledger.h) and an entry
 * (quota_share.h) tell each other. Amounts are in the unit of the quota; all of
 * them are called tokens here.
 */

/* Lifetime of a grant, from the sending of its ask. */
#define QUOTA_LIFETIME_MS 1000u
/*
 * Lifetime of a grant with which more than half of the burst is outstanding. A
 * new owner grants nothing for this time, so it is less than the time for which
 * a request waits.
 */
#define QUOTA_LARGE_LIFETIME_MS 200u
/*
 * Lifetime of tokens granted ahead to an entry that gets few requests of the
 * account: a second passes between two of them. It ends within the window of
 * 8 s for which a lowered quota must hold.
 */
#define QUOTA_AHEAD_LIFETIME_MS 5000u
/*
 * The part of the burst of which tokens are granted ahead, in eighths. The rest
 * is what a new owner can grant before these have ended.
 */
#define QUOTA_AHEAD_EIGHTHS 6u
/*
 * Nothing is granted ahead of a smaller burst: the part that is left must be
 * enough for the requests of all entries after a change of owner.
 */
#define QUOTA_AHEAD_MIN_REQUESTS 32u
/* Largest difference between the rate of a clock and the true one. */
#define QUOTA_DRIFT_PERMILLE 50u

/* The quota of an account. */
struct quota_limit {
	int unit;
	uint64_t units_per_s; /* not 0 */
	uint64_t burst;
	/*
	 * Of a usual request, as the operator states it; 0: not known, and
	 * nothing is granted ahead.
	 */
	uint64_t usual;
};

/* The most tokens that are granted for longer than QUOTA_LIFETIME_MS. */
static inline uint64_t
quota_ahead_max(const struct quota_limit *limit)
{
	if (limit->usual == 0 || limit->burst < limit->units_per_s ||
	    limit->burst / QUOTA_AHEAD_MIN_REQUESTS < limit->usual)
		return 0;
	return limit->burst / 8 * QUOTA_AHEAD_EIGHTHS;
}

/* Of an ask whose entry does not say by which unit it counts. */
#define QUOTA_UNIT_ANY (-1)

/* Entry to owner. */
struct quota_ask {
	int unit; /* of the quota, as the entry knows it */
	uint64_t number; /* of the entry's asks, ascending */
	uint64_t wanted; /* by waiting requests */
	uint64_t first; /* by the one that waits longest */
	uint64_t forecast; /* by further requests soon */
	uint64_t ahead; /* by requests of the next seconds, if they are few */
	uint64_t returned; /* granted before and given back */
	uint64_t held; /* granted before, neither used nor given back */
};

/*
 * Owner to entry. Number 0 is a recall: what was granted ahead is to be
 * returned, as others need it.
 */
struct quota_grant {
	uint64_t number; /* of the ask */
	uint64_t tokens;
	uint32_t lifetime_ms; /* from the sending of the ask */
	uint32_t wait_ms; /* until what is missing may be asked for; 0: now */
	uint64_t ahead; /* beside tokens */
	uint32_t ahead_lifetime_ms;
};

#ifdef __cplusplus
}
#endif

#endif
