#ifndef MP_QUOTA_QUOTA_SHARE_H
#define MP_QUOTA_QUOTA_SHARE_H

#include <stddef.h>

#include "quota/quota.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * An entry's side of quotas: the tokens that it holds of each account, and the
 * requests that wait for tokens.
 *
 * A request is admitted at once if there are tokens for it. Otherwise it waits
 * and an ask goes to the owner, for what waiting requests need and what
 * further ones will probably need soon. At most one ask of an account is under
 * way. Tokens that stay unused are returned. Nothing is sent for an account
 * without requests.
 *
 * Pure. Times are microseconds of the node's clock.
 */
struct quota_share;

/* A request waits this long at most. */
#define QUOTA_WAIT_MAX_US (250 * 1000ULL)
/*
 * The same until an owner has answered for the first time: after a loss of all
 * instances it takes that long until there are owners again.
 */
#define QUOTA_START_WAIT_MAX_US (750 * 1000ULL)

struct quota_share *quota_share_create(void);
void quota_share_destroy(struct quota_share *s);

/*
 * Adds an account or changes its quota. After a change of the unit nothing is
 * held, and the requests that wait are not admitted, as they are charged by the
 * former one.
 */
void quota_share_set(struct quota_share *s, const char *account,
    const struct quota_limit *limit);
/*
 * Removes the accounts that were not set since the last call of this. Their
 * waiting requests are admitted, as those of accounts without a quota.
 */
void quota_share_sweep(struct quota_share *s);

enum quota_verdict {
	QUOTA_ADMITTED,
	QUOTA_WAITING,
	QUOTA_EXHAUSTED, /* the quota is used up */
	QUOTA_TOO_LARGE, /* more than the burst: never admitted */
	QUOTA_UNKNOWN, /* the owner has not answered in time */
	QUOTA_UNIT_CHANGED /* it is charged by the former unit */
};

/* A decision on a request. */
struct quota_decision {
	uint64_t request;
	enum quota_verdict verdict;
	uint32_t wait_ms; /* EXHAUSTED: when to come again */
	uint64_t tokens; /* of the request; 0: its account has no quota */
	const char *account; /* valid until the accounts change */
};

/*
 * Charges a request, or lets it wait for a decision. Accounts without a quota
 * are admitted.
 *
 * request: id, unique among those that wait.
 */
struct quota_decision quota_share_acquire(struct quota_share *s,
    uint64_t now_us, const char *account, uint64_t request, uint64_t tokens);
/* A waiting request is gone. */
void quota_share_cancel(
    struct quota_share *s, const char *account, uint64_t request);
/*
 * Gives back the tokens of a request that was admitted and has not run.
 *
 * unit: by which it was charged; those of a former unit are dropped.
 */
void quota_share_refund(struct quota_share *s, uint64_t now_us,
    const char *account, int unit, uint64_t tokens);

/*
 * Has quota_share_next_decision() return a decision, for a caller that can't
 * act on it now.
 */
void quota_share_add_decision(
    struct quota_share *s, const struct quota_decision *decision);

/* The next decision on a request that waited; false: none. */
bool quota_share_next_decision(
    struct quota_share *s, uint64_t now_us, struct quota_decision *out);

/*
 * The next ask to send, new or once more; false: none is due.
 *
 * account: set to a name owned by the share.
 */
bool quota_share_next_ask(struct quota_share *s, uint64_t now_us,
    const char **account, struct quota_ask *out);
/* Takes the answer to an ask; one that is not under way any more is ignored. */
void quota_share_on_grant(struct quota_share *s, uint64_t now_us,
    const char *account, const struct quota_grant *grant);

/* When an ask or a decision is due at the latest; UINT64_MAX: never. */
uint64_t quota_share_next_us(const struct quota_share *s);

/* Totals of an account at this entry. */
struct quota_share_state {
	const char *account;
	uint64_t used, refunded, refused, unknown, asks, held;
	size_t waiting;
};

size_t quota_share_count(const struct quota_share *s);
struct quota_share_state quota_share_at(const struct quota_share *s, size_t i);

#ifdef __cplusplus
}
#endif

#endif
