#include <stdlib.h>

#include "quota/quota_guard.h"
#include "quota/quota_ledger_internal.h"

/* The bucket of an account, and what is outstanding of it. */

/*
 * Expired grants are looked for at this interval only, because each look visits
 * every entry. Until then they stay outstanding.
 */
#define EXPIRY_INTERVAL_US (10 * US_PER_MS)

/*
 * An entry that holds nothing is forgotten after this time without asks, so
 * that processes that have ended take no memory.
 */
#define HOLDER_KEPT_US (10000 * US_PER_MS)

const uint32_t quota_lifetime_ms[TERMS] = {
    QUOTA_LARGE_LIFETIME_MS, QUOTA_LIFETIME_MS, QUOTA_AHEAD_LIFETIME_MS};

uint64_t
quota_bucket_ended_us(uint64_t from_us, uint32_t lifetime_ms)
{
	return from_us + (uint64_t)lifetime_ms * (1000 + QUOTA_DRIFT_PERMILLE);
}

uint64_t
quota_bucket_sum(const uint64_t outstanding[TERMS])
{
	return outstanding[TERM_LARGE] + outstanding[TERM_USUAL] +
	    outstanding[TERM_AHEAD];
}

/*
 * The most that an owner has outstanding in grants of a term or longer ones.
 * So much is left to the former owner until such grants have ended.
 */
static uint64_t
term_max(const struct quota_limit *limit, enum term term)
{
	uint64_t ahead = quota_ahead_max(limit), half = limit->burst / 2;

	if (term == TERM_LARGE)
		return limit->burst;
	return term == TERM_AHEAD || ahead > half ? ahead : half;
}

double
quota_bucket_cap(const struct account *a, uint64_t us)
{
	int term;

	for (term = TERM_LARGE; term < TERMS && quota_guards.reserve; term++)
		if (us < a->room_until_us[term])
			return (double)(a->limit.burst -
			    term_max(&a->limit, (enum term)term));
	return (double)a->limit.burst;
}

void
quota_bucket_clamp(struct account *a, double cap)
{
	double room = cap -
	    (quota_guards.outstanding ? (double)quota_bucket_sum(a->outstanding)
				      : 0);

	if (room < 0)
		room = 0;
	if (a->bucket > room)
		a->bucket = room;
}

/* Adds the tokens that have arrived until a time before which the cap holds. */
static void
accrue_until(struct account *a, uint64_t us)
{
	double cap;

	if (us <= a->updated_us)
		return;
	cap = quota_bucket_cap(a, us - 1);
	a->bucket += (double)(us - a->updated_us) / US_PER_S *
	    (double)a->limit.units_per_s;
	a->updated_us = us;
	quota_bucket_clamp(a, cap);
}

void
quota_bucket_accrue(struct account *a, uint64_t now_us)
{
	int term;

	for (term = TERM_LARGE; term < TERMS; term++)
		if (a->room_until_us[term] < now_us)
			accrue_until(a, a->room_until_us[term]);
	accrue_until(a, now_us);
}

static void
expire_holder(struct account *a, struct holder *h, uint64_t now_us)
{
	int term;

	for (term = TERM_LARGE; term < TERMS; term++)
		if (now_us >= h->expires_us[term]) {
			a->outstanding[term] -= h->outstanding[term];
			h->outstanding[term] = 0;
		}
}

void
quota_bucket_expire(struct account *a, uint64_t now_us)
{
	struct holder *h;
	size_t i;

	if (now_us < a->expiry_due_us)
		return;
	a->expiry_due_us = now_us + EXPIRY_INTERVAL_US;
	for (i = map_count(a->holders); i-- > 0;) {
		h = map_at(a->holders, i);
		expire_holder(a, h, now_us);
		if (quota_bucket_sum(h->outstanding) == 0 &&
		    now_us >= h->asked_us + HOLDER_KEPT_US)
			free(map_remove_u64(a->holders, h->entry.process));
	}
}

void
quota_bucket_begin(struct account *a, uint64_t since_us)
{
	int term;

	map_destroy_all(a->holders, free);
	a->holders = map_create();
	a->expiry_due_us = 0;
	a->bucket = quota_guards.empty_start ? 0 : (double)a->limit.burst;
	a->updated_us = since_us;
	a->promised_us = a->recalled_us = 0;
	a->recall_next = 0;
	for (term = TERM_LARGE; term < TERMS; term++) {
		a->outstanding[term] = 0;
		a->room_until_us[term] = quota_guards.empty_start
		    ? quota_bucket_ended_us(since_us, quota_lifetime_ms[term])
		    : since_us;
	}
}
