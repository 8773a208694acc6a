#include "quota/quota_ledger.h"

#include <stdlib.h>

#include "quota/quota_guard.h"
#include "quota/quota_ledger_internal.h"
#include "util/mem.h"

/* Callers are told to come again within this time. */
#define PROMISE_MAX_US (5000 * US_PER_MS)
/*
 * Nothing is granted ahead for this time after a refusal: what idle entries
 * hold would lower the burst of those that need it.
 */
#define AHEAD_AFTER_US (2000 * US_PER_MS)
/*
 * What is recalled comes back within this time if at all: two round trips
 * between data centres, and an entry that is late by an interval of its clock.
 */
#define RECALL_US	(30 * US_PER_MS)
#define RECALL_WAIT_MS	10u
#define RECALL_AGAIN_US (200 * US_PER_MS)
/* A quota is no longer exhausted after this time without a refusal. */
#define EXHAUSTED_END_US (1000 * US_PER_MS)

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
	free(l->watched);
	free(l);
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
	quota_bucket_begin(a, now_us);
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
		quota_bucket_begin(a, now_us);
		return;
	}
	quota_bucket_accrue(a, now_us);
	a->limit = *limit;
	quota_bucket_clamp(a, quota_bucket_cap(a, now_us));
}

/* ---- exhausted accounts ---- */

static void
watch(struct quota_ledger *l, struct account *a)
{
	size_t size;

	if (a->is_watched)
		return;
	if (l->nwatched == l->watched_size) {
		size = l->watched_size == 0 ? 16 : l->watched_size * 2;
		l->watched = mem_resize(l->watched, size, sizeof(*l->watched));
		l->watched_size = size;
	}
	a->is_watched = true;
	l->watched[l->nwatched++] = a;
}

static void
unwatch(struct quota_ledger *l, struct account *a)
{
	size_t i, kept = 0;

	for (i = 0; i < l->nwatched && a->is_watched; i++)
		if (l->watched[i] != a)
			l->watched[kept++] = l->watched[i];
	if (a->is_watched)
		l->nwatched = kept;
	a->is_watched = false;
}

void
quota_ledger_sweep(struct quota_ledger *l)
{
	struct account *a;
	size_t i;

	for (i = map_count(l->accounts); i-- > 0;) {
		a = map_at(l->accounts, i);
		if (a->is_set) {
			a->is_set = false;
			continue;
		}
		unwatch(l, a);
		free_account(map_remove_str(l->accounts, a->name));
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
	quota_bucket_begin(
	    a, since_us > a->created_us ? since_us : a->created_us);
	return true;
}

/* ---- asks --------------------------------------------------------------- */

static struct holder *
get_holder(struct account *a, struct quota_entry entry)
{
	struct holder *h = map_get_u64(a->holders, entry.process);

	if (h == NULL) {
		h = mem_alloc(1, sizeof(*h));
		(void)map_set_u64(a->holders, entry.process, h);
	}
	h->entry = entry;
	return h;
}

/*
 * What the entry has neither kept nor returned is used. It has at most one ask
 * under way and uses no grant of an earlier one, so it holds nothing beside
 * what the ask says. What it holds counts as granted for as long as possible:
 * then no more of any term is outstanding than is counted.
 */
static void
settle(struct account *a, struct holder *h, const struct quota_ask *ask)
{
	uint64_t left = ask->held, ended = 0, kept;
	int term;

	for (term = TERMS - 1; term >= TERM_LARGE; term--) {
		kept =
		    left < h->outstanding[term] ? left : h->outstanding[term];
		left -= kept;
		ended += h->outstanding[term] - kept;
		a->outstanding[term] -= h->outstanding[term] - kept;
		h->outstanding[term] = kept;
	}
	if (ask->returned < ended)
		ended = ask->returned;
	a->bucket += (double)ended;
	a->returned += ended;
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
	uint64_t outstanding = quota_bucket_sum(a->outstanding) + ask->wanted;
	uint64_t half = a->limit.burst / 2, part = left / 2;

	if (half <= outstanding)
		return 0;
	if (part > half - outstanding)
		part = half - outstanding;
	return part < ask->forecast ? part : ask->forecast;
}

/*
 * What is granted ahead to an entry with few requests, while the quota was
 * not used up lately: an equal part for each entry that asks, as it saves each
 * a message to the owner, and at most half of what is left in the bucket.
 */
static uint64_t
ahead_part(const struct account *a, uint64_t now_us,
    const struct quota_ask *ask, uint64_t left)
{
	uint64_t max = quota_ahead_max(&a->limit), part;
	uint64_t lasting =
	    a->outstanding[TERM_USUAL] + a->outstanding[TERM_AHEAD];

	if (max <= lasting ||
	    (a->refused_us != 0 && now_us < a->refused_us + AHEAD_AFTER_US) ||
	    (a->recalled_us != 0 && now_us < a->recalled_us + AHEAD_AFTER_US))
		return 0;
	part = max / map_count(a->holders);
	if (part > max - lasting)
		part = max - lasting;
	if (part > left / 2)
		part = left / 2;
	return part < ask->ahead ? part : ask->ahead;
}

/*
 * Recalls what other entries hold ahead, for an ask that the bucket does not
 * cover. Returns whether enough of it may still be coming.
 */
static bool
recall(struct account *a, const struct holder *asking, uint64_t now_us,
    uint64_t missing)
{
	uint64_t others =
	    a->outstanding[TERM_AHEAD] - asking->outstanding[TERM_AHEAD];
	struct holder *h;
	size_t i;

	if (others == 0)
		return false;
	if (a->recalled_us != 0 && now_us < a->recalled_us + RECALL_AGAIN_US)
		return others >= missing && now_us < a->recalled_us + RECALL_US;
	a->recalled_us = now_us;
	a->recall_next = 0;
	a->recalls++;
	for (i = 0; i < map_count(a->holders); i++) {
		h = map_at(a->holders, i);
		h->is_recalled = h != asking && h->outstanding[TERM_AHEAD] > 0;
	}
	return others >= missing;
}

static void
decide(struct account *a, const struct holder *h, uint64_t now_us,
    const struct quota_ask *ask, struct quota_grant *out)
{
	uint64_t available = (uint64_t)a->bucket;

	if (ask->wanted <= available) {
		out->tokens = ask->wanted;
		out->ahead =
		    ahead_part(a, now_us, ask, available - ask->wanted);
		if (out->ahead == 0)
			out->tokens +=
			    forecast_part(a, ask, available - ask->wanted);
		return;
	}
	if (available >= ask->first)
		out->tokens = available;
	if (recall(a, h, now_us, ask->wanted - available)) {
		out->wait_ms = RECALL_WAIT_MS;
		return;
	}
	a->refused_asks++;
	a->refused_us = now_us;
	a->is_exhausted = true;
	out->wait_ms =
	    promise_wait_ms(a, now_us, (double)(out->tokens + ask->first),
		(double)(ask->wanted - out->tokens));
}

static void
grant_term(struct account *a, struct holder *h, uint64_t now_us, enum term term,
    uint64_t tokens)
{
	uint64_t expires_us =
	    quota_bucket_ended_us(now_us, quota_lifetime_ms[term]);

	if (tokens == 0)
		return;
	a->bucket -= (double)tokens;
	a->outstanding[term] += tokens;
	h->outstanding[term] += tokens;
	a->granted += tokens;
	if (!quota_guards.expiry)
		expires_us = now_us;
	if (h->expires_us[term] < expires_us)
		h->expires_us[term] = expires_us;
}

/*
 * Grants; a grant beyond half of the burst ends soon, and so does one with
 * tokens ahead, as waiting requests use all of it at once.
 */
static void
grant(struct account *a, struct holder *h, uint64_t now_us,
    struct quota_grant *out)
{
	enum term term = out->ahead > 0 ||
		quota_bucket_sum(a->outstanding) + out->tokens >
		    a->limit.burst / 2
	    ? TERM_LARGE
	    : TERM_USUAL;

	out->lifetime_ms = quota_lifetime_ms[term];
	out->ahead_lifetime_ms = quota_lifetime_ms[TERM_AHEAD];
	grant_term(a, h, now_us, term, out->tokens);
	grant_term(a, h, now_us, TERM_AHEAD, out->ahead);
}

bool
quota_ledger_ask(struct quota_ledger *l, uint64_t now_us, const char *account,
    struct quota_entry entry, const struct quota_ask *ask,
    struct quota_grant *out)
{
	struct account *a = map_get_str(l->accounts, account);
	struct holder *h;

	if (a == NULL ||
	    (quota_guards.reserve && now_us < a->room_until_us[TERM_LARGE]))
		return false;
	/*
	 * The entry and this owner apply different versions of the quota; the
	 * entry asks again.
	 */
	if (quota_guards.unit && ask->unit != QUOTA_UNIT_ANY &&
	    ask->unit != a->limit.unit)
		return false;
	quota_bucket_expire(a, now_us);
	h = get_holder(a, entry);
	h->asked_us = now_us;
	if (quota_guards.repeat && ask->number < h->last.number)
		return false;
	if (quota_guards.repeat && ask->number == h->last.number) {
		*out = h->last;
		return true;
	}
	quota_bucket_accrue(a, now_us);
	settle(a, h, ask);
	quota_bucket_clamp(a, quota_bucket_cap(a, now_us));
	*out = (struct quota_grant){.number = ask->number};
	decide(a, h, now_us, ask, out);
	grant(a, h, now_us, out);
	if (a->is_exhausted)
		watch(l, a);
	h->last = *out;
	return ask->wanted + ask->forecast > 0;
}

bool
quota_ledger_next_recall(
    struct quota_ledger *l, const char *account, struct quota_entry *out)
{
	struct account *a = map_get_str(l->accounts, account);
	struct holder *h;

	while (a != NULL && a->recall_next < map_count(a->holders)) {
		h = map_at(a->holders, a->recall_next++);
		if (!h->is_recalled)
			continue;
		h->is_recalled = false;
		*out = h->entry;
		return true;
	}
	return false;
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
	    a->refused_asks, quota_bucket_sum(a->outstanding),
	    (uint64_t)a->bucket, a->recalls, a->is_exhausted};

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

	for (i = l->nwatched; i-- > 0;) {
		a = l->watched[i];
		if (a->is_exhausted &&
		    now_us >= a->refused_us + EXHAUSTED_END_US)
			a->is_exhausted = false;
		if (!a->is_exhausted && !a->is_reported) {
			unwatch(l, a);
			continue;
		}
		if (a->is_exhausted == a->is_reported)
			continue;
		a->is_reported = a->is_exhausted;
		*out = get_state(a);
		return true;
	}
	return false;
}
