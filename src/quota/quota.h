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
/* Largest difference between the rate of a clock and the true one. */
#define QUOTA_DRIFT_PERMILLE 50u

/* The quota of an account. */
struct quota_limit {
	int unit;
	uint64_t units_per_s; /* not 0 */
	uint64_t burst;
};

/* Entry to owner. */
struct quota_ask {
	uint64_t number; /* of the entry's asks, ascending */
	uint64_t wanted; /* by waiting requests */
	uint64_t first; /* by the one that waits longest */
	uint64_t forecast; /* by further requests soon */
	uint64_t returned; /* granted before and given back */
	uint64_t held; /* granted before, neither used nor given back */
};

/* Owner to entry. */
struct quota_grant {
	uint64_t number; /* of the ask */
	uint64_t tokens;
	uint32_t lifetime_ms; /* from the sending of the ask */
	uint32_t wait_ms; /* until what is missing may be asked for; 0: now */
};

#ifdef __cplusplus
}
#endif

#endif
