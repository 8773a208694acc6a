#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "place/place_admit.h"
#include "util/mem.h"

/*
 * Admission control by shares: accounts, charges, and what to do with a request
 * whose best engine is known.
 *
 * While capacity is short, an engine is given little more than it needs to be
 * busy, so that the next request is chosen here, by shares, and not by who came
 * first. A request that can't meet its objective any more waits behind those
 * that can, and is refused once it can't meet its deadline.
 */

/* Requests without an account belong to this one. */
#define DEFAULT_ACCOUNT ""
/* Deficit bound, in requests of mean charge. */
#define BOUND_REQUESTS 4.0
/* Charge of an output token, in prompt tokens, and of a call without tokens. */
#define OUTPUT_TOKEN_WEIGHT 2.0
#define SERVICE_TOKENS	    100.0
/* Outputs are this part of the maximum that a request names. */
#define EXPECTED_OUTPUT 0.5
/* Tokens of a request before the first one has been seen. */
#define INITIAL_TOKENS 1000.0
#define MEAN_WEIGHT    0.05 /* of the newest value in a mean */
#define RATE_TAU_US    1000000.0
#define SWEEP_US       (1000 * US_PER_MS)

/*
 * While capacity is short, an engine gets another request up to this part of
 * the shortest objective in unread prompts, so that one that arrives next can
 * still be in time; a late request only what no other one needs.
 */
#define LATE_PART 0.25
/* The shortest objective follows longer ones slowly. */
#define OBJECTIVE_WEIGHT 0.002
/* With a smaller backlog a request estimated as late may still be in time. */
#define LATE_BACKLOG_MIN_MS 400.0
/* Interval of evaluating a request that waits at an engine for room. */
#define ROOM_RECHECK_US (10 * US_PER_MS)

#define URGENCY_BASE	3u
#define URGENCY_MAX	9u
#define PRIORITY_MAX	63u

/* ---- rates -------------------------------------------------------------- */

double
place_rate_get(const struct place_rate *r, uint64_t now_us)
{
	if (r->per_ms <= 0 || now_us <= r->updated_us)
		return r->per_ms;
	return r->per_ms * exp(-(double)(now_us - r->updated_us) / RATE_TAU_US);
}

void
place_rate_add(struct place_rate *r, uint64_t now_us, double amount)
{
	r->per_ms = place_rate_get(r, now_us) +
	    amount * (double)US_PER_MS / RATE_TAU_US;
	r->updated_us = now_us;
}

/* ---- accounts ----------------------------------------------------------- */

struct place_admit *
place_admit_create(void)
{
	struct place_admit *m = mem_alloc(1, sizeof(*m));
	struct fair_options options = {
	    .bound_requests = BOUND_REQUESTS, .free_context = free};

	m->ops = &place_admit_shares;
	m->fair = fair_create(&options);
	m->mean_weight = 1;
	return m;
}

void
place_use_baseline_order(struct place *p)
{
	p->admit->ops = &place_admit_baseline;
}

void
place_admit_destroy(struct place_admit *m)
{
	fair_destroy(m->fair);
	free(m);
}

/* What an account may use, in tokens per s; 0: it has no quota. */
static double
quota_tokens_per_s(
    const struct place_admit *m, const struct gw_account *account)
{
	const struct gw_quota *q = &account->quota;
	double tokens = m->mean_tokens;

	if (q->unit == GW_QUOTA_TOKENS)
		return (double)q->rate_per_s;
	if (tokens <= 0)
		tokens =
		    q->default_tokens > 0 ? q->default_tokens : INITIAL_TOKENS;
	return (double)q->rate_per_s * tokens;
}

/*
 * An account's share is proportional to its quota; one without a quota, or
 * unknown, has the mean of the others, which is weight 1.
 */
static double
weight_of(const struct place *p, const char *name)
{
	const struct gw_config *c = p->config;
	double tokens;
	size_t i;

	for (i = 0; c != NULL && i < c->naccounts; i++) {
		if (strcmp(c->accounts[i].name, name) != 0)
			continue;
		tokens = quota_tokens_per_s(p->admit, &c->accounts[i]);
		return tokens > 0 ? tokens / p->admit->mean_weight : 1;
	}
	return 1;
}

static void
update_weights(struct place *p)
{
	struct place_admit *m = p->admit;
	double tokens, sum = 0;
	size_t i, limited = 0;

	for (i = 0; p->config != NULL && i < p->config->naccounts; i++) {
		tokens = quota_tokens_per_s(m, &p->config->accounts[i]);
		sum += tokens;
		limited += tokens > 0;
	}
	m->mean_weight = limited == 0 ? 1 : sum / (double)limited;
	for (i = 0; i < fair_count(m->fair); i++)
		fair_at(m->fair, i)->weight =
		    weight_of(p, fair_at(m->fair, i)->name);
}

static uint64_t
priority_bit(uint32_t priority)
{
	return 1ULL << (priority < PRIORITY_MAX ? priority : PRIORITY_MAX);
}

void
place_admit_configure(struct place *p)
{
	struct place_admit *m = p->admit;
	const struct gw_config *c = p->config;
	size_t i;

	m->account_priorities = m->route_priorities = 0;
	for (i = 0; c != NULL && i < c->naccounts; i++)
		m->account_priorities |= priority_bit(c->accounts[i].priority);
	for (i = 0; c != NULL && i < c->nroutes; i++)
		m->route_priorities |= priority_bit(c->routes[i].priority);
	update_weights(p);
}

void
place_admit_sweep(struct place *p)
{
	if (p->now_us < p->admit->swept_us + SWEEP_US)
		return;
	p->admit->swept_us = p->now_us;
	fair_sweep(p->admit->fair, p->now_us);
	update_weights(p);
}

static struct fair_account *
get_account(struct place *p, const char *name)
{
	struct fair_account *f = fair_get(p->admit->fair, name);

	if (f->context == NULL) {
		f->context = mem_alloc(1, sizeof(struct place_admit_account));
		f->weight = weight_of(p, name);
	}
	return f;
}

/* ---- requests ----------------------------------------------------------- */

static double
charge_of(const struct place_ask *a, double prompt_tokens)
{
	if (a->key == NULL)
		return SERVICE_TOKENS;
	return prompt_tokens +
	    OUTPUT_TOKEN_WEIGHT * EXPECTED_OUTPUT * a->max_tokens;
}

double
place_admit_hold_ms(const struct place *p)
{
	return p->admit->objective_ms * PLACE_ADMIT_HOLD_PART;
}

static void
note_objective(struct place_admit *m, const struct place_ask *a)
{
	double ms = a->target_us > a->asked_us
	    ? (double)(a->target_us - a->asked_us) / US_PER_MS
	    : 0;

	if (ms <= 0 || a->attempt > 0)
		return;
	if (m->objective_ms == 0 || ms < m->objective_ms)
		m->objective_ms = ms;
	else
		m->objective_ms += (ms - m->objective_ms) * OBJECTIVE_WEIGHT;
}

double
place_admit_charge(const struct place_ask *a)
{
	return charge_of(a, a->prompt_tokens);
}

void
place_admit_enqueue(struct place *p, struct place_ask *a)
{
	struct place_admit *m = p->admit;
	struct fair_account *f =
	    get_account(p, a->account == NULL ? DEFAULT_ACCOUNT : a->account);
	struct place_admit_account *t = f->context;
	double tokens = charge_of(a, a->prompt_tokens);

	fair_activate(m->fair, f);
	fair_touch(f, p->now_us);
	f->queued++;
	f->blocked++;
	a->share = f;
	place_rate_add(&t->asked, p->now_us, 1);
	if (a->key == NULL)
		return;
	note_objective(m, a);
	place_rate_add(&t->arrivals, p->now_us, tokens);
	m->mean_tokens += m->mean_tokens == 0
	    ? tokens
	    : MEAN_WEIGHT * (tokens - m->mean_tokens);
}

void
place_admit_set_held(struct place *p, struct place_ask *a, bool is_held)
{
	if (a->is_held == is_held)
		return;
	a->is_held = is_held;
	p->admit->nheld += is_held ? 1 : -1;
	if (is_held) {
		fair_start_backlog(p->admit->fair, a->share);
		a->share->blocked--;
	} else {
		a->share->blocked++;
	}
}

void
place_admit_dequeue(struct place *p, struct place_ask *a)
{
	place_admit_set_held(p, a, false);
	a->share->queued--;
	a->share->blocked--;
	if (!a->granted)
		fair_note_idle(p->admit->fair, a->share);
}

void
place_admit_grant(struct place *p, struct place_ask *a)
{
	struct place_admit *m = p->admit;
	struct place_admit_account *t = a->share->context;

	if (m->nheld > 0)
		fair_update_gap(m->fair);
	a->charge = charge_of(a, a->unread_tokens);
	a->share->running++;
	fair_touch(a->share, p->now_us);
	fair_charge(m->fair, a->share, a->charge);
	t->total_granted++;
	place_rate_add(&t->granted, p->now_us, 1);
	if (a->key != NULL)
		place_rate_add(
		    &m->grants, p->now_us, charge_of(a, a->prompt_tokens));
}

/* The part of its charge that a request has used when it ends. */
static double
used_part(const struct place_ask *a, enum place_outcome outcome)
{
	switch (outcome) {
	case PLACE_FIRST_BYTE:
	case PLACE_SERVED:
	case PLACE_ENDPOINT_FAILED:
		return 1;
	case PLACE_ABANDONED:
		return a->has_first_byte ? 1 : 0;
	case PLACE_NOT_SENT:
	case PLACE_ENDPOINT_FULL:
	case PLACE_STATE_MISMATCH:
		break;
	}
	return 0;
}

void
place_admit_end(
    struct place *p, struct place_ask *a, enum place_outcome outcome)
{
	fair_settle(p->admit->fair, a->share, a->charge,
	    a->charge * used_part(a, outcome));
	fair_touch(a->share, p->now_us);
	a->share->running--;
	fair_note_idle(p->admit->fair, a->share);
}

void
place_admit_refuse(struct place *p, const struct place_ask *a)
{
	struct place_admit_account *t = a->share->context;

	(void)p;
	t->total_refused++;
}

/* ---- urgency ------------------------------------------------------------ */

/* How many of the priorities in a set go before this one. */
static uint32_t
rank_in(uint64_t set, uint32_t priority)
{
	return (uint32_t)__builtin_popcountll(
	    set & (priority_bit(priority) - 1));
}

/*
 * Without accounts the urgency is the route's priority and a constant, as
 * before there were accounts. With them, the pairs of priorities in use are
 * spread over the levels that leave room for one more.
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
		if (!e->is_foreign && e->engine != NULL && e->nweights > 0 &&
		    p->now_us >= e->order_from_us &&
		    place_endpoint_is_usable(p, e, a->service) &&
		    !place_ask_avoids(a, e) &&
		    place_backoff_end_us(p, e, a->id.entry) == 0)
			return true;
	}
	return false;
}

/* Do requests need more loads than the store serves? */
static bool
is_store_overloaded(const struct place *p)
{
	return place_rate_get(&p->admit->cold_asks, p->now_us) *
	    p->options.adapter_load_ms >=
	    place_adapter_store_loads_max(p);
}

static void
note_load(struct place *p, struct place_ask *a)
{
	if (!a->has_needed_load)
		place_rate_add(&p->admit->cold_asks, p->now_us, 1);
	a->has_needed_load = true;
}

/* Does the best engine have room, for one in time or a late one? */
static bool
has_room(const struct place *p, const struct place_ask *a,
    const struct place_estimate *est)
{
	double hold_ms = place_admit_hold_ms(p);

	if (!a->is_late)
		return !p->admit->is_short || est->backlog_ms <= hold_ms;
	if (est->needs_load && is_store_full(p))
		return false;
	return est->backlog_ms <=
	    (p->admit->is_short ? hold_ms * LATE_PART : LATE_BACKLOG_MIN_MS);
}

/*
 * A repeat runs as soon as it can: a late answer is better than a failure. A
 * rate limit that is too late for the objective is a matter of the endpoint,
 * not of a shortage here, and other owners may use its limit. While more loads
 * are needed than the store serves, the load of a late request would delay one
 * that can be in time.
 */
static enum place_verdict
judge_shares(struct place *p, struct place_ask *a,
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
	a->is_late = first_us > a->target_us;
	if (first_us >= a->deadline_us)
		return PLACE_TOO_LATE;
	if (a->attempt > 0 || (a->endpoint != NULL && !is_ready))
		return PLACE_RUN;
	if (est->needs_load)
		note_load(p, a);
	if (a->is_late && a->endpoint == NULL &&
	    (est->limit_wait_ms > LATE_BACKLOG_MIN_MS ||
		(est->needs_load && is_store_full(p) &&
		    is_store_overloaded(p))))
		return PLACE_TOO_LATE;
	if (has_room(p, a, est))
		return PLACE_RUN;
	if (a->endpoint != NULL)
		a->evaluate_at_us = p->now_us + ROOM_RECHECK_US;
	return PLACE_HOLD;
}

const struct place_admit_ops place_admit_shares = {
    .name = "shares",
    .order = place_admit_order_by_shares,
    .judge = judge_shares,
    .is_hopeless = place_admit_is_hopeless,
    .rank_loads = place_admit_rank_loads,
};
