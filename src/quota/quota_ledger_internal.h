#ifndef MP_QUOTA_QUOTA_LEDGER_INTERNAL_H
#define MP_QUOTA_QUOTA_LEDGER_INTERNAL_H

#include "quota/quota_ledger.h"
#include "util/map.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Shared by the files of the owner's side, see quota_ledger.h. */

#define US_PER_S  1000000.0
#define US_PER_MS 1000ULL

/* Grants by their lifetimes, ascending. */
enum term {
	TERM_LARGE,
	TERM_USUAL,
	TERM_AHEAD,
	TERMS
};

extern const uint32_t quota_lifetime_ms[TERMS];

/* What one entry holds of an account, as far as is known. */
struct holder {
	struct quota_entry entry;
	bool is_recalled; /* a recall is to be sent */
	uint64_t asked_us;
	uint64_t outstanding[TERMS];
	uint64_t expires_us[TERMS]; /* of the newest grant */
	struct quota_grant last; /* answer to the newest ask */
};

struct account {
	char *name;
	struct quota_limit limit;
	bool is_set; /* since the last sweep */
	uint64_t created_us;
	uint64_t authority; /* 0: none yet */
	double bucket; /* at updated_us */
	uint64_t updated_us;
	/* until when room is left for the former owner's grants of a term */
	uint64_t room_until_us[TERMS];
	struct map *holders; /* struct holder by process */
	uint64_t outstanding[TERMS]; /* of all holders */
	uint64_t expiry_due_us;
	uint64_t promised_us; /* time promised to a refused ask last */
	uint64_t refused_us; /* time of the last refusal */
	uint64_t recalled_us; /* time of the last recall; 0: none */
	size_t recall_next; /* the first holder that may be recalled still */
	bool is_exhausted, is_reported;
	bool is_watched; /* listed in quota_ledger.watched */
	uint64_t granted, returned, refused_asks, recalls;
};

struct quota_ledger {
	struct map *accounts;
	/*
	 * Accounts that are or were exhausted, so that the others cost nothing
	 * as time passes.
	 */
	struct account **watched;
	size_t nwatched, watched_size;
};

/* ---- quota_bucket.c ---- */
/* The time after which a grant of this lifetime has surely ended. */
uint64_t quota_bucket_ended_us(uint64_t from_us, uint32_t lifetime_ms);
uint64_t quota_bucket_sum(const uint64_t outstanding[TERMS]);
/* The most that may be in the bucket and outstanding at a time. */
double quota_bucket_cap(const struct account *a, uint64_t us);
void quota_bucket_clamp(struct account *a, double cap);
/* Adds the tokens that have arrived until now. */
void quota_bucket_accrue(struct account *a, uint64_t now_us);
/* Ends grants whose time is over, and forgets entries that hold nothing. */
void quota_bucket_expire(struct account *a, uint64_t now_us);
/* Begins without tokens. No other instance granted after since_us. */
void quota_bucket_begin(struct account *a, uint64_t since_us);

#ifdef __cplusplus
}
#endif

#endif
