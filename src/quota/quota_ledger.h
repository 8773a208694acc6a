#ifndef MP_QUOTA_QUOTA_LEDGER_H
#define MP_QUOTA_QUOTA_LEDGER_H

#include <stddef.h>

#include "quota/quota.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The owner's side of quotas: a token bucket for each account, from which
 * entries receive grants.
 *
 * Granted tokens that are not known to be used or returned are outstanding.
 * They count as in the bucket: bucket + outstanding <= burst. So in any time t
 * at most rate * t + burst tokens are used, whatever entries hold. A grant is
 * outstanding until its entry's next ask settles it, or until its lifetime and
 * a margin for clocks have passed.
 *
 * An instance that becomes the owner begins without tokens and leaves room for
 * the grants of the former owner (docs/design/quotas.md).
 *
 * Pure. Times are microseconds of the node's clock.
 */
struct quota_ledger;

struct quota_ledger *quota_ledger_create(void);
void quota_ledger_destroy(struct quota_ledger *l);

/*
 * Adds an account or changes its quota. A lower quota takes effect at once; a
 * change of the unit begins anew, without tokens.
 */
void quota_ledger_set(struct quota_ledger *l, uint64_t now_us,
    const char *account, const struct quota_limit *limit);
/* Removes the accounts that were not set since the last call of this. */
void quota_ledger_sweep(struct quota_ledger *l);

/*
 * States by which authority this instance owns the account; the same one as
 * before changes nothing. With another one the account begins anew.
 *
 * since_us: start of the authority; no other instance granted after it.
 * Returns whether the account began anew.
 */
bool quota_ledger_begin(struct quota_ledger *l, const char *account,
    uint64_t authority, uint64_t since_us);

/* A process of an entry. */
struct quota_entry {
	uint64_t process;
	uint32_t instance; /* where it is reached */
};

/*
 * Answers an ask. It may have the ledger recall what other entries hold ahead,
 * see quota_ledger_next_recall().
 *
 * entry: the process that asks.
 * Returns false if there is no answer: the ask is for nothing, the account has
 * no quota here or one of another unit, the ask is older than one received
 * before, or the authority has only just begun.
 */
bool quota_ledger_ask(struct quota_ledger *l, uint64_t now_us,
    const char *account, struct quota_entry entry, const struct quota_ask *ask,
    struct quota_grant *out);

/*
 * The next entry to which a recall (quota_grant) is to be sent; false: none.
 */
bool quota_ledger_next_recall(
    struct quota_ledger *l, const char *account, struct quota_entry *out);

/* Totals of an account at this owner, and its state. */
struct quota_account_state {
	const char *account;
	uint64_t granted, returned, refused_asks, outstanding, available;
	uint64_t recalls;
	bool is_exhausted;
};

/* Accounts by index; the order changes when one is removed. */
size_t quota_ledger_count(const struct quota_ledger *l);
struct quota_account_state quota_ledger_at(
    const struct quota_ledger *l, size_t i);

/*
 * The next account whose quota was exhausted, or is no longer, since it was
 * returned last; false: none.
 */
bool quota_ledger_next_change(
    struct quota_ledger *l, uint64_t now_us, struct quota_account_state *out);

#ifdef __cplusplus
}
#endif

#endif
