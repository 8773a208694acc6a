#include "quota/quota_ledger.h"

#include <stdlib.h>

#include "quota/quota_guard.h"
#include "util/map.h"
#include "util/mem.h"

#define US_PER_S  1000000.0
#define US_PER_MS 1000ULL

/*
 * Expired grants are looked for at this interval only, because each look visits
 * every entry. Until then they stay outstanding.
 */
#define EXPIRY_INTERVAL_US (10 * US_PER_MS)
/* Callers are told to come again within this time. */
#define PROMISE_MAX_US (5000 * US_PER_MS)
/* A quota is no longer exhausted after this time without a refusal. */
#define EXHAUSTED_END_US (1000 * US_PER_MS)

/*
 * An entry that holds nothing is forgotten after this time without asks, so
 * that processes that have ended take no memory.
 */
#define HOLDER_KEPT_US (10000 * US_PER_MS)

/* What one entry holds of an account, as far as is known. */
struct holder {
	uint64_t entry; /* its process */
	uint64_t asked_us;
	uint64_t outstanding;
	uint64_t expires_us; /* of the newest grant */
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
	/* until when room is left for the former owner's grants */
	uint64_t closed_until_us, half_until_us;
	struct map *holders; /* struct holder by process */
	uint64_t outstanding; /* of all holders */
	uint64_t expiry_due_us;
	uint64_t promised_us; /* time promised to a refused ask last */
	uint64_t refused_us; /* time of the last refusal */
	bool is_exhausted, is_reported;
	uint64_t granted, returned, refused_asks;
};

struct quota_ledger {
	struct map *accounts;
};

struct quota_ledger *
quota_ledger_create(void)
{
	struct quota_ledger *l = mem_alloc(1, sizeof(*l));

	l->accounts = map_create();
	return l;
}

static void
free_account(void *value)
{
	struct account *a = value;

	map_destroy_all(a->holders, free);
	free(a->name);
	free(a);
}

void
quota_ledger_destroy(struct quota_ledger *l)
{
	if (l == NULL)
		return;
	map_destroy_all(l->accounts, free_account);
	free(l);
}

/* ---- the bucket --------------------------------------------------------- */

/* The time after which a grant of this lifetime has surely ended. */
static uint64_t
surely_ended_us(uint64_t from_us, uint32_t lifetime_ms)
{
	return from_us + (uint64_t)lifetime_ms * (1000 + QUOTA_DRIFT_PERMILLE);
}

/* The most that may be in the bucket and outstanding at a time. */
static double
cap_at(const struct account *a, uint64_t us)
{
	uint64_t half = a->limit.burst / 2;

	if (quota_guards.reserve && us < a->closed_until_us)
		return 0;
	if (quota_guards.reserve && us < a->half_until_us)
		return (double)half;
	return (double)a->limit.burst;
}

static void
clamp_bucket(struct account *a, double cap)
{
	double room =
	    cap - (quota_guards.outstanding ? (double)a->outstanding : 0);

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
	cap = cap_at(a, us - 1);
	a->bucket += (double)(us - a->updated_us) / US_PER_S *
	    (double)a->limit.units_per_s;
	a->updated_us = us;
	clamp_bucket(a, cap);
}

static void
accrue(struct account *a, uint64_t now_us)
{
	if (a->closed_until_us < now_us)
		accrue_until(a, a->closed_until_us);
	if (a->half_until_us < now_us)
		accrue_until(a, a->half_until_us);
	accrue_until(a, now_us);
}

static void
expire(struct account *a, uint64_t now_us)
{
	struct holder *h;
	size_t i;

	if (now_us < a->expiry_due_us)
		return;
	a->expiry_due_us = now_us + EXPIRY_INTERVAL_US;
	for (i = map_count(a->holders); i-- > 0;) {
		h = map_at(a->holders, i);
		if (now_us < h->expires_us)
			continue;
		a->outstanding -= h->outstanding;
		h->outstanding = 0;
		if (now_us >= h->asked_us + HOLDER_KEPT_US)
			free(map_remove_u64(a->holders, h->entry));
	}
}

/* Begins without tokens. No other instance granted after since_us. */
static void
begin_anew(struct account *a, uint64_t since_us)
{
	map_destroy_all(a->holders, free);
	a->holders = map_create();
	a->outstanding = 0;
	a->expiry_due_us = 0;
	a->bucket = 0;
	a->updated_us = since_us;
	a->closed_until_us = surely_ended_us(since_us, QUOTA_LARGE_LIFETIME_MS);
	a->half_until_us = surely_ended_us(since_us, QUOTA_LIFETIME_MS);
	a->promised_us = 0;
	if (!quota_guards.empty_start) {
		a->bucket = (double)a->limit.burst;
		a->closed_until_us = a->half_until_us = since_us;
	}
}

/* ---- accounts ----------------------------------------------------------- */

static struct account *
add_account(struct quota_ledger *l, uint64_t now_us, const char *name,
    const struct quota_limit *limit)
{
	struct account *a = mem_alloc(1, sizeof(*a));

	a->name = mem_string(name);
	a->limit = *limit;
	a->created_us = now_us;
	a->holders = map_create();
	begin_anew(a, now_us);
	(void)map_set_str(l->accounts, name, a);
	return a;
}

void
quota_ledger_set(struct quota_ledger *l, uint64_t now_us, const char *account,
    const struct quota_limit *limit)
{
	struct account *a = map_get_str(l->accounts, account);

	if (a == NULL)
		a = add_account(l, now_us, account, limit);
	a->is_set = true;
	if (a->limit.unit != limit->unit) {
		a->limit = *limit;
		a->created_us = now_us;
		begin_anew(a, now_us);
		return;
	}
	accrue(a, now_us);
	a->limit = *limit;
	clamp_bucket(a, cap_at(a, now_us));
}

void
quota_ledger_sweep(struct quota_ledger *l)
{
	struct account *a;
	size_t i;

	for (i = map_count(l->accounts); i-- > 0;) {
		a = map_at(l->accounts, i);
		if (!a->is_set)
			free_account(map_remove_str(l->accounts, a->name));
		else
			a->is_set = false;
	}
}

bool
quota_ledger_begin(struct quota_ledger *l, const char *account,
    uint64_t authority, uint64_t since_us)
{
	struct account *a = map_get_str(l->accounts, account);

	if (a == NULL || a->authority == authority)
		return false;
	a->authority = authority;
	begin_anew(a, since_us > a->created_us ? since_us : a->created_us);
	return true;
}

/* ---- asks --------------------------------------------------------------- */

static struct holder *
get_holder(struct account *a, uint64_t entry)
{
	struct holder *h = map_get_u64(a->holders, entry);

	if (h == NULL) {
		h = mem_alloc(1, sizeof(*h));
		h->entry = entry;
		(void)map_set_u64(a->holders, entry, h);
	}
	return h;
}

/*
 * What the entry has neither kept nor returned is used. It has at most one ask
 * under way and uses no grant of an earlier one, so it holds nothing beside
 * what the ask says.
 */
static void
settle(struct account *a, struct holder *h, const struct quota_ask *ask)
{
	uint64_t held = ask->held < h->outstanding ? ask->held : h->outstanding;
	uint64_t returned = h->outstanding - held;

	if (ask->returned < returned)
		returned = ask->returned;
	a->outstanding -= h->outstanding - held;
	h->outstanding = held;
	a->bucket += (double)returned;
	a->returned += returned;
}

/*
 * Returns after what time the account may come again, in milliseconds. Later
 * asks are told later times, one after another at the rate of the quota; beyond
 * PROMISE_MAX_US they begin from the front.
 */
static uint32_t
promise_wait_ms(struct account *a, uint64_t now_us, double first, double wanted)
{
	double per_us = (double)a->limit.units_per_s / US_PER_S;
	double missing = first > a->bucket ? first - a->bucket : 0;
	double wait = missing / per_us;

	if (wait > (double)PROMISE_MAX_US)
		wait = (double)PROMISE_MAX_US;
	if (now_us + (uint64_t)wait < a->promised_us &&
	    a->promised_us < now_us + PROMISE_MAX_US)
		wait = (double)(a->promised_us - now_us);
	a->promised_us = now_us + (uint64_t)(wait + wanted / per_us);
	return (uint32_t)(wait / (double)US_PER_MS) + 1;
}

/*
 * The part of a forecast that is granted beside what waiting requests get: not
 * more than half of what is left for the other entries, and so much that at
 * most half of the burst is outstanding.
 */
static uint64_t
forecast_part(
    const struct account *a, const struct quota_ask *ask, uint64_t left)
{
	uint64_t outstanding = a->outstanding + ask->wanted;
	uint64_t half = a->limit.burst / 2, part = left / 2;

	if (half <= outstanding)
		return 0;
	if (part > half - outstanding)
		part = half - outstanding;
	return part < ask->forecast ? part : ask->forecast;
}

static void
decide(struct account *a, uint64_t now_us, const struct quota_ask *ask,
    struct quota_grant *out)
{
	uint64_t available = (uint64_t)a->bucket;

	if (ask->wanted <= available) {
		out->tokens = ask->wanted +
		    forecast_part(a, ask, available - ask->wanted);
		return;
	}
	if (available >= ask->first)
		out->tokens = available;
	a->refused_asks++;
	a->refused_us = now_us;
	a->is_exhausted = true;
	out->wait_ms =
	    promise_wait_ms(a, now_us, (double)(out->tokens + ask->first),
		(double)(ask->wanted - out->tokens));
}

/* Grants; a grant beyond half of the burst ends soon. */
static void
grant(struct account *a, struct holder *h, uint64_t now_us,
    struct quota_grant *out)
{
	uint64_t expires_us;

	out->lifetime_ms = a->outstanding + out->tokens > a->limit.burst / 2
	    ? QUOTA_LARGE_LIFETIME_MS
	    : QUOTA_LIFETIME_MS;
	if (out->tokens == 0)
		return;
	a->bucket -= (double)out->tokens;
	a->outstanding += out->tokens;
	h->outstanding += out->tokens;
	a->granted += out->tokens;
	expires_us = surely_ended_us(now_us, out->lifetime_ms);
	if (!quota_guards.expiry)
		expires_us = now_us;
	if (h->expires_us < expires_us)
		h->expires_us = expires_us;
}

bool
quota_ledger_ask(struct quota_ledger *l, uint64_t now_us, const char *account,
    uint64_t entry, const struct quota_ask *ask, struct quota_grant *out)
{
	struct account *a = map_get_str(l->accounts, account);
	struct holder *h;

	if (a == NULL || (quota_guards.reserve && now_us < a->closed_until_us))
		return false;
	expire(a, now_us);
	h = get_holder(a, entry);
	h->asked_us = now_us;
	if (quota_guards.repeat && ask->number < h->last.number)
		return false;
	if (quota_guards.repeat && ask->number == h->last.number) {
		*out = h->last;
		return true;
	}
	accrue(a, now_us);
	settle(a, h, ask);
	clamp_bucket(a, cap_at(a, now_us));
	*out = (struct quota_grant){.number = ask->number};
	decide(a, now_us, ask, out);
	grant(a, h, now_us, out);
	h->last = *out;
	return ask->wanted + ask->forecast > 0;
}

/* ---- state -------------------------------------------------------------- */

size_t
quota_ledger_count(const struct quota_ledger *l)
{
	return map_count(l->accounts);
}

static struct quota_account_state
get_state(const struct account *a)
{
	struct quota_account_state s = {a->name, a->granted, a->returned,
	    a->refused_asks, a->outstanding, (uint64_t)a->bucket,
	    a->is_exhausted};

	return s;
}

struct quota_account_state
quota_ledger_at(const struct quota_ledger *l, size_t i)
{
	return get_state(map_at(l->accounts, i));
}

bool
quota_ledger_next_change(
    struct quota_ledger *l, uint64_t now_us, struct quota_account_state *out)
{
	struct account *a;
	size_t i;

	for (i = 0; i < map_count(l->accounts); i++) {
		a = map_at(l->accounts, i);
		if (a->is_exhausted &&
		    now_us >= a->refused_us + EXHAUSTED_END_US)
			a->is_exhausted = false;
		if (a->is_exhausted == a->is_reported)
			continue;
		a->is_reported = a->is_exhausted;
		*out = get_state(a);
		return true;
	}
	return false;
}
