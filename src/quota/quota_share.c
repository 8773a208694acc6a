#include "quota/quota_share.h"

#include <stdlib.h>

#include "quota/quota_guard.h"
#include "quota/quota_share_internal.h"
#include "util/mem.h"

/* The accounts of an entry, and the requests that wait for tokens. */

/* Callers are told to come again within this time. */
#define PROMISE_MAX_US (5000 * US_PER_MS)
/*
 * The owner does not know of tokens that come back, so they are held for a
 * short time only.
 */
#define REFUND_LIFETIME_US (300 * US_PER_MS)
/* Further requests of an account are refused; bounds the memory. */
#define WAITERS_MAX 4096u

struct quota_share *
quota_share_create(void)
{
	struct quota_share *s = mem_alloc(1, sizeof(*s));

	s->holdings = map_create();
	return s;
}

static void
free_holding(void *value)
{
	struct quota_holding *h = value;
	struct quota_waiter *w;

	while ((w = h->first) != NULL) {
		h->first = w->next;
		free(w);
	}
	free(h->name);
	free(h);
}

void
quota_share_destroy(struct quota_share *s)
{
	if (s == NULL)
		return;
	map_destroy_all(s->holdings, free_holding);
	free(s->decisions);
	free(s->active);
	free(s);
}

/* ---- accounts with something due ---- */

void
quota_share_activate(struct quota_share *s, struct quota_holding *h)
{
	size_t size;

	if (h->is_active)
		return;
	if (s->nactive == s->active_size) {
		size = s->active_size == 0 ? 16 : s->active_size * 2;
		s->active = mem_resize(s->active, size, sizeof(*s->active));
		s->active_size = size;
	}
	h->is_active = true;
	s->active[s->nactive++] = h;
}

static void
remove_active(struct quota_share *s, const struct quota_holding *h)
{
	size_t i, kept = 0;

	for (i = 0; i < s->nactive; i++)
		if (s->active[i] != h)
			s->active[kept++] = s->active[i];
	s->nactive = kept;
}

/* ---- decisions ---------------------------------------------------------- */

void
quota_share_add_decision(struct quota_share *s, const struct quota_decision *d)
{
	size_t size;

	if (s->ndecisions == s->decisions_size) {
		size = s->decisions_size == 0 ? 16 : s->decisions_size * 2;
		s->decisions =
		    mem_resize(s->decisions, size, sizeof(*s->decisions));
		s->decisions_size = size;
	}
	s->decisions[s->ndecisions++] = *d;
}

/* Takes a request out of those that wait. */
static void
remove_waiter(struct quota_holding *h, struct quota_waiter **at)
{
	struct quota_waiter *w = *at;

	*at = w->next;
	if (w->next == NULL)
		h->end = at;
	h->nwaiters--;
	h->waiting_tokens -= w->tokens;
	free(w);
}

static void
charge(struct quota_holding *h, uint64_t tokens)
{
	quota_held_take(h, tokens);
	h->used += tokens;
}

/*
 * Returns when a caller that is refused may come again: one after another at
 * the rate of the quota; beyond PROMISE_MAX_US the times begin from the front.
 */
static uint32_t
promise_wait_ms(struct quota_holding *h, uint64_t now_us, uint64_t tokens)
{
	double step_us =
	    (double)tokens / (double)h->limit.units_per_s * US_PER_S;
	uint64_t wait_us;

	if (h->promised_us < now_us || h->promised_us > now_us + PROMISE_MAX_US)
		h->promised_us = now_us + (uint64_t)step_us;
	wait_us = h->promised_us - now_us;
	if (wait_us > PROMISE_MAX_US)
		wait_us = PROMISE_MAX_US;
	h->promised_us += (uint64_t)step_us;
	return (uint32_t)(wait_us / US_PER_MS) + 1;
}

static struct quota_decision
refuse(
    struct quota_holding *h, uint64_t now_us, uint64_t request, uint64_t tokens)
{
	struct quota_decision d = {
	    request, QUOTA_EXHAUSTED, 0, tokens, h->name};

	d.wait_ms = promise_wait_ms(h, now_us, tokens);
	h->refused++;
	return d;
}

/*
 * Decides on a waiting request, if that is possible now. One whose time is over
 * is refused for the quota if the owner has said so.
 *
 * may_admit: none that arrived earlier still waits.
 */
static bool
decide_waiter(struct quota_holding *h, uint64_t now_us,
    const struct quota_waiter *w, bool may_admit, struct quota_decision *out)
{
	*out = (struct quota_decision){
	    w->request, QUOTA_WAITING, 0, w->tokens, h->name};
	if (may_admit && w->tokens <= quota_held(h)) {
		out->verdict = QUOTA_ADMITTED;
		charge(h, w->tokens);
	} else if (w->tokens > h->limit.burst) {
		out->verdict = QUOTA_TOO_LARGE;
	} else if (now_us < h->refused_until_us || w->ends_us < h->retry_us) {
		*out = refuse(h, now_us, w->request, w->tokens);
	} else if (now_us >= w->ends_us) {
		out->verdict = QUOTA_UNKNOWN;
		h->unknown++;
	} else {
		return false;
	}
	return true;
}

static void
decide_waiters(struct quota_share *s, struct quota_holding *h, uint64_t now_us)
{
	struct quota_waiter **at = &h->first;
	struct quota_decision d;
	bool may_admit = true;

	quota_held_expire(h, now_us);
	while (*at != NULL) {
		if (!decide_waiter(h, now_us, *at, may_admit, &d)) {
			may_admit = false;
			at = &(*at)->next;
			continue;
		}
		remove_waiter(h, at);
		quota_share_add_decision(s, &d);
	}
}

bool
quota_share_next_decision(
    struct quota_share *s, uint64_t now_us, struct quota_decision *out)
{
	struct quota_holding *h;
	size_t i;

	if (s->next_decision == s->ndecisions) {
		s->next_decision = s->ndecisions = 0;
		for (i = 0; i < s->nactive; i++) {
			h = s->active[i];
			if (h->first != NULL)
				decide_waiters(s, h, now_us);
		}
	}
	if (s->ndecisions == 0)
		return false;
	*out = s->decisions[s->next_decision++];
	return true;
}

/* ---- accounts ----------------------------------------------------------- */

static struct quota_holding *
add_holding(struct quota_share *s, const char *name)
{
	struct quota_holding *h = mem_alloc(1, sizeof(*h));

	h->name = mem_string(name);
	h->end = &h->first;
	(void)map_set_str(s->holdings, name, h);
	return h;
}

/* Begins anew, as for an account that was removed and added. */
static void
change_unit(struct quota_share *s, struct quota_holding *h)
{
	struct quota_decision d = {0, QUOTA_UNIT_CHANGED, 0, 0, h->name};

	while (h->first != NULL) {
		d.request = h->first->request;
		d.tokens = h->first->tokens;
		remove_waiter(h, &h->first);
		quota_share_add_decision(s, &d);
	}
	h->nlots = 0;
	h->ask.number = 0;
	h->rate_per_us = h->slow_rate_per_us = h->typical = 0;
	h->ahead_us = h->settle_due_us = 0;
	h->retry_us = h->refused_until_us = h->promised_us = 0;
	h->is_recalled = false;
}

void
quota_share_set(
    struct quota_share *s, const char *account, const struct quota_limit *limit)
{
	struct quota_holding *h = map_get_str(s->holdings, account);

	if (h == NULL) {
		h = add_holding(s, account);
	} else if (h->limit.unit != limit->unit && quota_guards.unit) {
		change_unit(s, h);
	} else if (h->limit.units_per_s > limit->units_per_s ||
	    h->limit.burst > limit->burst) {
		/* What was granted by the higher quota would last too long. */
		(void)quota_held_take_ahead(h);
		h->ask.number = 0;
	}
	h->limit = *limit;
	h->is_set = true;
}

void
quota_share_sweep(struct quota_share *s)
{
	struct quota_decision d = {0, QUOTA_ADMITTED, 0, 0, NULL};
	struct quota_holding *h;
	struct quota_waiter *w;
	size_t i;

	for (i = map_count(s->holdings); i-- > 0;) {
		h = map_at(s->holdings, i);
		if (h->is_set) {
			h->is_set = false;
			continue;
		}
		for (w = h->first; w != NULL; w = w->next) {
			d.request = w->request;
			quota_share_add_decision(s, &d);
		}
		remove_active(s, h);
		free_holding(map_remove_str(s->holdings, h->name));
	}
}

/* ---- requests ----------------------------------------------------------- */

static void
add_waiter(struct quota_share *s, struct quota_holding *h, uint64_t now_us,
    uint64_t request, uint64_t tokens)
{
	struct quota_waiter *w = mem_alloc(1, sizeof(*w));

	w->request = request;
	w->tokens = tokens;
	w->arrived_us = now_us;
	w->ends_us = now_us +
	    (s->has_answer ? QUOTA_WAIT_MAX_US : QUOTA_START_WAIT_MAX_US);
	*h->end = w;
	h->end = &w->next;
	h->nwaiters++;
	h->waiting_tokens += tokens;
}

struct quota_decision
quota_share_acquire(struct quota_share *s, uint64_t now_us, const char *account,
    uint64_t request, uint64_t tokens)
{
	struct quota_holding *h = map_get_str(s->holdings, account);
	struct quota_decision d = {request, QUOTA_ADMITTED, 0, 0, NULL};

	if (h == NULL)
		return d;
	d.tokens = tokens;
	d.account = h->name;
	if (tokens > h->limit.burst) {
		d.verdict = QUOTA_TOO_LARGE;
		return d;
	}
	quota_held_expire(h, now_us);
	quota_demand_record(h, now_us, tokens);
	quota_share_activate(s, h);
	quota_ask_ahead(h, now_us);
	if (h->first == NULL && tokens <= quota_held(h)) {
		charge(h, tokens);
		return d;
	}
	if (now_us < h->refused_until_us || h->nwaiters >= WAITERS_MAX)
		return refuse(h, now_us, request, tokens);
	d.verdict = QUOTA_WAITING;
	add_waiter(s, h, now_us, request, tokens);
	return d;
}

void
quota_share_cancel(struct quota_share *s, const char *account, uint64_t request)
{
	struct quota_holding *h = map_get_str(s->holdings, account);
	struct quota_waiter **at;

	if (h == NULL)
		return;
	for (at = &h->first; *at != NULL; at = &(*at)->next)
		if ((*at)->request == request) {
			remove_waiter(h, at);
			return;
		}
}

void
quota_share_refund(struct quota_share *s, uint64_t now_us, const char *account,
    int unit, uint64_t tokens)
{
	struct quota_holding *h = map_get_str(s->holdings, account);

	if (h == NULL || (h->limit.unit != unit && quota_guards.unit))
		return;
	quota_held_expire(h, now_us);
	quota_held_add(h, tokens, now_us + REFUND_LIFETIME_US, false);
	h->refunded += tokens;
}

/* ---- time and state ----------------------------------------------------- */

/* When the request that waits longest is refused, if nothing else happens. */
static uint64_t
decision_due_us(const struct quota_holding *h)
{
	return h->first == NULL ? UINT64_MAX : h->first->ends_us;
}

uint64_t
quota_share_next_us(const struct quota_share *s)
{
	uint64_t next = s->next_decision < s->ndecisions ? 0 : UINT64_MAX;
	const struct quota_holding *h;
	size_t i;

	for (i = 0; i < s->nactive; i++) {
		h = s->active[i];
		if (quota_ask_due_us(h) < next)
			next = quota_ask_due_us(h);
		if (decision_due_us(h) < next)
			next = decision_due_us(h);
	}
	return next;
}

size_t
quota_share_count(const struct quota_share *s)
{
	return map_count(s->holdings);
}

struct quota_share_state
quota_share_at(const struct quota_share *s, size_t i)
{
	const struct quota_holding *h = map_at(s->holdings, i);
	struct quota_share_state state = {h->name, h->used, h->refunded,
	    h->refused, h->unknown, h->asks, quota_held(h), h->nwaiters};

	return state;
}
