#include <math.h>

#include "place/place_admit.h"

/*
 * Admission control by shares: what to do with a request whose best engine is
 * known.
 *
 * While capacity is short, an engine is given little more than it needs to be
 * busy, so that the next request is chosen here, by shares, and not by who came
 * first. A request that can't meet its objective any more waits behind those
 * that can, and is refused once it can't meet its deadline.
 */

/*
 * While engines are short of time, a late request is granted only if the unread
 * prompts ahead of it take at most this fraction of place_admit_hold_ms(), so
 * that timely requests that arrive next still find room.
 */
#define LATE_PART 0.25
/* The part of the store's loads that late requests leave to others. */
#define LATE_STORE_PART 0.5
/*
 * A request estimated as late is refused only above this backlog or rate-limit
 * wait, as the estimate is not accurate enough below. Without a shortage, late
 * requests are granted up to this backlog.
 */
#define LATE_BACKLOG_MIN_MS 400.0
/* Interval of evaluating a request that waits at an engine for room. */
#define ROOM_RECHECK_US (10 * US_PER_MS)

/*
 * Excess over the share, in deficit bounds, from which on all unread prompts of
 * the engine count as ahead of a request, and not only those as urgent.
 */
#define EXCESS_FULL_BOUNDS 6.0
#define URGENCY_BASE	   3u
#define URGENCY_MAX	   9u

/* ---- urgency ------------------------------------------------------------ */

/* How many of the priorities in a set go before this one. */
static uint32_t
rank_in(uint64_t set, uint32_t priority)
{
	return (uint32_t)__builtin_popcountll(
	    set & (place_admit_priority_bit(priority) - 1));
}

/*
 * With one pair of priorities in use, the urgency is URGENCY_BASE plus the
 * route's priority. With several, the pairs (the account's, the route's) are
 * spread over levels 0 to URGENCY_MAX - 1. A late request is one level less
 * urgent.
 */
uint32_t
place_admit_urgency(const struct place *p, const struct place_ask *a)
{
	const struct place_admit *m = p->admit;
	uint32_t late = a->is_late && m->ops == &place_admit_shares;
	uint32_t routes = (uint32_t)__builtin_popcountll(m->route_priorities);
	uint32_t pairs =
	    routes * (uint32_t)__builtin_popcountll(m->account_priorities);
	uint32_t level = URGENCY_BASE + a->priority;

	if (pairs > 1)
		level = (rank_in(m->account_priorities, a->account_priority) *
				routes +
			    rank_in(m->route_priorities, a->priority)) *
		    (URGENCY_MAX - 1) / (pairs - 1);
	level += late;
	return level < URGENCY_MAX ? level : URGENCY_MAX;
}

/* ---- the decision on one request ---------------------------------------- */

static bool
is_store_full(const struct place *p)
{
	return p->store_loads + p->queued_store_loads >=
	    place_adapter_store_loads_max(p);
}

/* If no engine has room now, may one still have in time? */
static bool
is_worth_waiting(const struct place *p, const struct place_ask *a)
{
	return p->now_us < a->target_us && !is_store_full(p);
}

/*
 * Would the answer come too late? The store is the scarce resource: a load that
 * is too late for its request delays one that would be in time.
 */
static bool
is_too_late(const struct place *p, const struct place_ask *a,
    const struct place_estimate *est)
{
	uint64_t first_us = p->now_us + (uint64_t)est->first_ms * US_PER_MS;

	if (first_us >= a->deadline_us)
		return true;
	if (a->attempt > 0)
		return false; /* a late answer is better than a failure */
	if (first_us > a->target_us &&
	    fmax(est->backlog_ms, est->limit_wait_ms) > LATE_BACKLOG_MIN_MS)
		return true;
	return est->needs_load && first_us > a->target_us && is_store_full(p);
}

static void
order_baseline(struct place *p)
{
	(void)p;
}

static enum place_verdict
judge_baseline(struct place *p, struct place_ask *a,
    const struct place_estimate *est, bool is_ready, bool may_order)
{
	(void)is_ready;
	(void)may_order;
	if (est == NULL)
		return is_worth_waiting(p, a) ? PLACE_HOLD : PLACE_TOO_LATE;
	return a->endpoint == NULL && is_too_late(p, a, est) ? PLACE_TOO_LATE
							     : PLACE_RUN;
}

static bool
is_never_hopeless(
    struct place *p, const struct place_ask *a, uint64_t *return_us)
{
	(void)p;
	(void)a;
	(void)return_us;
	return false;
}

const struct place_admit_ops place_admit_baseline = {
    .name = "baseline",
    .order = order_baseline,
    .judge = judge_baseline,
    .is_hopeless = is_never_hopeless,
    .rank_loads = order_baseline,
};

/*
 * Is there an engine that would take the request if it had room? Otherwise
 * waiting for capacity is of no use.
 */
static bool
is_capacity_short(
    const struct place *p, const struct place_ask *a, bool may_order)
{
	const struct place_group *g = place_group_find(p, a->service);
	const struct place_endpoint *e;
	size_t i;

	for (i = 0; may_order && i < g->count; i++) {
		e = g->endpoints[i];
		if (!e->is_foreign && e->engine != NULL &&
		    place_adapter_find(e, a->model) != NULL &&
		    p->now_us >= e->order_from_us &&
		    place_endpoint_is_usable(p, e, a->service) &&
		    !place_ask_avoids(a, e) &&
		    place_backoff_end_us(p, e, a->id.entry) == 0)
			return true;
	}
	return false;
}

/* Is the store used so little that a late request may use it? */
static bool
has_spare_loads(const struct place *p)
{
	return p->queued_store_loads == 0 &&
	    p->store_loads < place_adapter_store_loads_max(p) * LATE_STORE_PART;
}

bool
place_admit_is_blocked(const struct place *p, const struct place_ask *a)
{
	const struct place_group *g = place_group_find(p, a->service);
	uint64_t tokens = (uint64_t)a->prompt_tokens + a->max_tokens;
	const struct place_endpoint *e;
	size_t i;

	for (i = 0; i < g->count; i++) {
		e = g->endpoints[i];
		if (!e->is_foreign && e->engine != NULL &&
		    place_endpoint_is_usable(p, e, a->service) &&
		    e->running < e->slots &&
		    (e->running == 0 || e->engine->kv_tokens == 0 ||
			e->kv_tokens + tokens <= e->engine->kv_tokens))
			return false;
	}
	return true;
}

/* How far an account exceeds its share, 0 to 1; not if it is starved. */
static double
excess_part(const struct place *p, const struct place_ask *a)
{
	const struct place_admit_account *t = a->share->context;
	double excess = place_admit_share_excess(p, a) - 1;

	return t->is_starved ? 0
			     : fmin(fmax(excess / EXCESS_FULL_BOUNDS, 0), 1);
}

/*
 * The prompts that count as ahead of a request. An urgent one goes before
 * others at the engine. The more its account exceeds its share, the more of
 * those others count, so that an account does not take all by urgent requests.
 */
static double
unread_ahead_ms(const struct place *p, const struct place_ask *a,
    const struct place_estimate *est)
{
	return fmax(est->backlog_ms, est->unread_ms * excess_part(p, a));
}

static bool
is_late_at(const struct place *p, const struct place_ask *a,
    const struct place_estimate *est)
{
	return p->now_us + (uint64_t)est->first_ms * US_PER_MS > a->target_us;
}

/*
 * The longest time of prompts ahead with which an engine has room. The more an
 * account exceeds its share, the less its late requests leave free: others go
 * before it in any case, and all unread prompts count as ahead of it, so that
 * less urgent requests of its own would get that room.
 */
static double
room_ms(const struct place *p, const struct place_ask *a, bool is_late)
{
	double busy_ms = place_admit_hold_ms(p);
	double part = LATE_PART + (1 - LATE_PART) * excess_part(p, a);

	if (p->admit->are_engines_short)
		return is_late ? busy_ms * part : busy_ms;
	return is_late ? LATE_BACKLOG_MIN_MS : INFINITY;
}

/* Does the best engine have room, for one in time or a late one? */
static bool
has_room(const struct place *p, const struct place_ask *a,
    const struct place_estimate *est)
{
	if (a->is_late && est->needs_load && !has_spare_loads(p))
		return false;
	return unread_ahead_ms(p, a, est) <= room_ms(p, a, a->is_late);
}

void
place_admit_add_waiting(const struct place *p, const struct place_endpoint *e,
    struct place_estimate *est)
{
	double ms;

	if (p->admit->ops != &place_admit_shares || e->waiting_tokens == 0)
		return;
	ms = (double)e->waiting_tokens / place_endpoint_tokens_per_ms(p, e);
	est->backlog_ms += ms;
	est->unread_ms += ms;
	est->first_ms += ms;
	est->cost += ms;
}

bool
place_admit_is_full_of_others(const struct place *p, const struct place_ask *a,
    const struct place_estimate *est)
{
	double room;

	if (!p->admit->are_engines_short || a->attempt > 0)
		return false;
	room = room_ms(p, a, is_late_at(p, a, est));
	return est->backlog_ms <= room && unread_ahead_ms(p, a, est) > room;
}

/*
 * A repeat runs as soon as it can: a late answer is better than a failure. A
 * rate limit that is too late for the objective is a matter of the endpoint,
 * not of a shortage here, and other owners may use its limit. While the store
 * is full, the load of a late request would take the place of one that can be
 * in time.
 */
static enum place_verdict
judge_here(struct place *p, struct place_ask *a,
    const struct place_estimate *est, bool is_ready, bool may_order)
{
	uint64_t first_us;

	if (est == NULL) {
		a->is_late = p->now_us >= a->target_us;
		if (is_capacity_short(p, a, may_order))
			return PLACE_HOLD;
		return judge_baseline(p, a, est, is_ready, may_order);
	}
	first_us = p->now_us + (uint64_t)est->first_ms * US_PER_MS;
	a->is_late = is_late_at(p, a, est);
	if (first_us >= a->deadline_us)
		return PLACE_TOO_LATE;
	if (a->attempt > 0 || (a->endpoint != NULL && !is_ready))
		return PLACE_RUN;
	if (a->is_late && a->endpoint == NULL &&
	    (est->limit_wait_ms > LATE_BACKLOG_MIN_MS ||
		(est->needs_load && is_store_full(p))))
		return PLACE_TOO_LATE;
	if (has_room(p, a, est))
		return PLACE_RUN;
	if (a->endpoint != NULL)
		a->evaluate_at_us = p->now_us + ROOM_RECHECK_US;
	return PLACE_HOLD;
}

/* A request that is late here may be in time at the engines of another owner.
 */
static enum place_verdict
judge_shares(struct place *p, struct place_ask *a,
    const struct place_estimate *est, bool is_ready, bool may_order)
{
	enum place_verdict verdict = judge_here(p, a, est, is_ready, may_order);

	if (verdict == PLACE_HOLD && a->may_redirect && a->endpoint == NULL &&
	    judge_baseline(p, a, est, is_ready, may_order) == PLACE_TOO_LATE)
		return PLACE_TOO_LATE;
	return verdict;
}

const struct place_admit_ops place_admit_shares = {
    .name = "shares",
    .order = place_admit_order_by_shares,
    .judge = judge_shares,
    .is_hopeless = place_admit_is_hopeless,
    .rank_loads = place_admit_rank_loads,
};
