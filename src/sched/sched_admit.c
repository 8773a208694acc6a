#include <math.h>

#include "sched/policy.h"

/*
 * Admission: what cannot be served by its deadline is refused at once, and
 * what no endpoint here can run is sent elsewhere.
 */

#define ADMIT_TEAM_QUEUE     512
#define ADMIT_QUEUE	     4096
#define ADMIT_RETRY_PART     4 /* of the wait: part of a queue drains */
#define ADMIT_RECHECK_MIN_US (20 * SCHED_MS_US)
#define ADMIT_PRICE_SPACINGS 3 /* of loads, that a price is good for */
#define ADMIT_PRICE_WEIGHT   0.1
#define ADMIT_FIT_SPARE	     0.2 /* of an estimate, on top */
#define ADMIT_FIT_STEP	     0.05
#define ADMIT_FIT_MISSES     0.02 /* share of estimates that may be short */
#define ADMIT_FIT_MOST	     3.0
#define ADMIT_FIT_PART	     4 /* of the patience: less is no test */

struct admit_ahead {
	double requests; /* served before it in the fair order */
	double loads; /* adapters loaded before its own */
	double near; /* requests that want the same engines */
	double seats, used; /* of these */
};

static uint32_t
flow_before(const struct flow *f, const struct item *than)
{
	const struct item *it;
	uint32_t n = 0;

	if (item_before(f->tail, than))
		return f->count;
	for (it = f->head; it != NULL && item_before(it, than); it = it->next)
		n++;
	return n;
}

static bool
flow_wants_load(const struct flow *f)
{
	const struct adapter *a = f->adapter;

	return !a->is_service && a->loaded_slots == 0 && a->pending_loads == 0;
}

/* Requests that wait for a load do not stand in the way of a seat. */
static bool
flow_wants_seat(const struct flow *f)
{
	return f->adapter->is_service || f->adapter->loaded_slots > 0;
}

static uint64_t
flow_stall(const struct flow *f, uint64_t now_us)
{
	return f->adapter->waiting * now_us - f->adapter->queued_us_sum;
}

/* Mark the engines that hold the adapter, and count their seats. */
static void
admit_mark(struct sched *s, const struct item *it, struct admit_ahead *ahead)
{
	const struct adapter *a = it->adapter;
	struct endpoint *ep;
	uint32_t i;

	s->estimate_count++;
	for (i = 0; i < a->nlocations; i++) {
		ep = a->locations[i].ep;
		if (a->locations[i].slot->state != SLOT_LOADED ||
		    a->locations[i].slot->drained_for != NULL || ep->leaving)
			continue;
		ep->last_estimate = s->estimate_count;
		ahead->seats += ep->seats;
		ahead->used += ep->grants;
	}
}

/* The part of a flow that wants a seat of a marked engine. */
static double
flow_near(const struct sched *s, const struct flow *f)
{
	const struct adapter *a = f->adapter;
	uint32_t i, near = 0;

	for (i = 0; i < a->nlocations; i++)
		near += a->locations[i].ep->last_estimate == s->estimate_count;
	return near == 0 ? 0.0 : (double)near / a->nlocations;
}

/* Of its own team: requests and loads ahead of it. */
static void
admit_own(const struct sched *s, const struct item *it, uint64_t now_us,
    struct admit_ahead *ahead)
{
	const struct flow *f;
	uint32_t before;

	for (f = it->team->flows; f != NULL; f = f->team_next) {
		if (f->adapter->pool != it->adapter->pool)
			continue;
		if (f == it->flow || flow_wants_seat(f)) {
			before = flow_before(f, it);
			ahead->requests += before;
			ahead->near += before * flow_near(s, f);
		}
		if (f != it->flow && flow_wants_load(f) &&
		    flow_stall(f, now_us) > flow_stall(it->flow, now_us))
			ahead->loads += 1.0;
	}
}

/* Of another team: as much as its weight gives it in the same time. */
static void
admit_other(const struct sched *s, const struct item *it, const struct team *t,
    const struct admit_ahead *own, struct admit_ahead *ahead)
{
	double part = t->weight / it->team->weight;
	double requests = 0.0, loads = 0.0, near = 0.0;
	const struct flow *f;

	for (f = t->flows; f != NULL; f = f->team_next) {
		if (f->adapter->pool != it->adapter->pool)
			continue;
		if (flow_wants_seat(f)) {
			requests += f->count;
			near += f->count * flow_near(s, f);
		}
		if (flow_wants_load(f))
			loads += 1.0;
	}
	if (requests > (own->requests + 1.0) * part)
		requests = (own->requests + 1.0) * part;
	if (loads > (own->loads + 1.0) * part)
		loads = (own->loads + 1.0) * part;
	if (near > (own->near + 1.0) * part)
		near = (own->near + 1.0) * part;
	ahead->requests += requests;
	ahead->near += near;
	ahead->loads += loads;
}

/* Keep the value at which loads of adapters held nowhere are ordered. */
void
admit_note_load_value(struct sched *s, double value)
{
	s->mean_load_value += s->mean_load_value == 0.0
	    ? value
	    : ADMIT_PRICE_WEIGHT * (value - s->mean_load_value);
}

/*
 * How long until the stall of a newcomer's adapter reaches the value at
 * which loads are ordered now; requests that join it add to the stall.
 */
static double
admit_price_us(const struct sched *s, const struct item *it, uint64_t now_us)
{
	const struct adapter *a = it->adapter;
	double share = team_share_factor(s, it->team, now_us);
	double rate = rate_at(a->request_rate, a->rate_updated_us, now_us) /
	    SCHED_SECOND_US;
	double waiting = a->waiting, lacks;
	uint64_t spacing = load_spacing_us(s);

	if (a->is_service || a->loaded_slots > 0 || a->pending_loads > 0 ||
	    spacing == SCHED_NEVER ||
	    now_us > s->last_load_us + ADMIT_PRICE_SPACINGS * spacing)
		return 0.0;
	lacks = s->mean_load_value / (share * share * share) -
	    flow_stall(it->flow, now_us) - adapter_refused_stall_us(a, now_us) -
	    waiting * (double)s->options.load_ms * SCHED_MS_US;
	if (lacks <= 0.0)
		return 0.0;
	if (rate * lacks < waiting * 1e-6)
		return lacks / waiting;
	return (sqrt(waiting * waiting + 2.0 * rate * lacks) - waiting) / rate;
}

/* How an estimate turned out; few may be too short. */
void
admit_update_margin(
    struct sched *s, const struct item *it, uint64_t now_us, bool served)
{
	double *fit = &s->estimate_margin[it->estimate_has_load];
	uint64_t patience = it->deadline_us - it->queued_us;
	bool missed;

	if (it->deadline_us == SCHED_NEVER ||
	    it->estimated_wait_us * ADMIT_FIT_PART < patience)
		return;
	missed = !served ||
	    (double)(now_us - it->enqueued_us) >
		(1.0 + *fit) * (double)it->estimated_wait_us;
	*fit += missed ? ADMIT_FIT_STEP * (1.0 - ADMIT_FIT_MISSES)
		       : -ADMIT_FIT_STEP * ADMIT_FIT_MISSES;
	if (*fit < 0.0)
		*fit = 0.0;
	if (*fit > ADMIT_FIT_MOST - 1.0)
		*fit = ADMIT_FIT_MOST - 1.0;
}

static double
admit_load_us(const struct sched *s, const struct item *it, double loads_ahead)
{
	const struct adapter *a = it->adapter;
	double load_us = (double)s->options.load_ms * SCHED_MS_US;
	uint64_t spacing = load_spacing_us(s);

	if (a->is_service || a->loaded_slots > 0)
		return 0.0;
	if (a->pending_loads > 0)
		return load_us / 2.0;
	if (spacing == SCHED_NEVER)
		return load_us;
	return load_us + loads_ahead * (double)spacing;
}

static double
admit_seat_us(const struct item *it, const struct admit_ahead *ahead)
{
	const struct pool *p = it->adapter->pool;
	const struct team *t = it->team;
	double wait = 0.0, near, own, excess;

	if (p->seats == 0 || p->mean_service_us <= 0.0)
		return 0.0;
	excess = ahead->requests + 1.0 + p->grants - p->seats;
	if (excess > 0.0)
		wait = excess * p->mean_service_us / p->seats;
	excess = ahead->near + 1.0 + ahead->used - ahead->seats;
	near = ahead->seats > 0.0 && excess > 0.0
	    ? excess * p->mean_service_us / ahead->seats
	    : 0.0;
	if (near > wait)
		wait = near;
	if (t->max_concurrent == 0)
		return wait;
	own = (double)t->queued + t->running - t->max_concurrent;
	own *= p->mean_service_us / t->max_concurrent;
	return own > wait ? own : wait;
}

/* The wait a request has before it from now on, by the fair order. */
uint64_t
admit_estimate_wait_us(struct sched *s, const struct item *it, uint64_t now_us)
{
	struct admit_ahead own = {0}, all;
	double load, seat;
	uint32_t i;

	admit_mark(s, it, &own);
	admit_own(s, it, now_us, &own);
	all = own;
	for (i = 0; i < s->nactive; i++) {
		if (s->active_teams[i] != it->team &&
		    s->active_teams[i]->queued > 0)
			admit_other(s, it, s->active_teams[i], &own, &all);
	}
	load = admit_load_us(s, it, all.loads);
	seat = admit_seat_us(it, &all);
	return (uint64_t)(load > seat ? load : seat);
}

/* The estimate for a newcomer, corrected by how those before it were. */
static uint64_t
admit_first_us(struct sched *s, struct item *it, uint64_t now_us)
{
	uint64_t wait = admit_estimate_wait_us(s, it, now_us);
	double price = admit_price_us(s, it, now_us);
	const struct adapter *a = it->adapter;

	if (price > (double)wait)
		wait = (uint64_t)price;
	it->estimated_wait_us = wait;
	it->estimate_has_load = !a->is_service && a->loaded_slots == 0;
	return (uint64_t)((double)wait *
	    (1.0 + ADMIT_FIT_SPARE +
		s->estimate_margin[it->estimate_has_load]));
}

static void
admit_give_up(struct sched *s, struct item *it, enum sched_decision_type type,
    const char *reason, uint64_t after_us)
{
	struct sched_decision *d = sched_add_decision(s, type);
	struct team *t = it->team;

	d->request = it->id;
	d->reason = reason;
	if (type == SCHED_REFUSE)
		d->retry_after_ms = after_us < SCHED_MS_US
		    ? 1
		    : (uint32_t)(after_us / SCHED_MS_US);
	item_dequeue(s, it);
	item_free(s, it);
	team_note_idle(s, t);
}

/* When a newcomer with the same patience would be taken, and some more. */
static uint64_t
admit_return_us(const struct sched *s, const struct item *it, uint64_t slack)
{
	uint64_t enough = slack - slack / ADMIT_RETRY_PART;
	double wait = (double)it->estimated_wait_us -
	    (double)enough / (1.0 + s->estimate_margin[it->estimate_has_load]);

	return wait > 0.0 ? (uint64_t)wait : it->estimated_wait_us;
}

/* A refusal says that an estimate was short, or what a load was worth. */
static void
admit_note_refusal(
    struct sched *s, const struct item *it, uint64_t now_us, bool fresh)
{
	const struct pool *p = it->adapter->pool;

	if (!fresh)
		admit_update_margin(s, it, now_us, false);
	else if (it->estimate_has_load || p->grants < p->seats)
		adapter_note_refusal(
		    it->adapter, now_us, it->deadline_us - it->queued_us);
}

/* Refuse what cannot make its deadline, else say when to look again. */
static void
admit_deadline(struct sched *s, struct item *it, uint64_t now_us)
{
	uint64_t first = (uint64_t)it->adapter->pool->mean_first_us;
	uint64_t last, wait, slack, again;
	bool fresh = it->is_new;

	it->is_new = false;

	if (it->deadline_us == SCHED_NEVER) {
		item_schedule_recheck(s, it, SCHED_NEVER);
		return;
	}
	last = it->deadline_us > first ? it->deadline_us - first : 0;
	if (!s->policy->vtable.has_admission) {
		last = it->deadline_us;
		wait = 0;
	} else {
		wait = fresh ? admit_first_us(s, it, now_us)
			     : admit_estimate_wait_us(s, it, now_us);
	}
	slack = last > it->queued_us ? last - it->queued_us : 0;
	if (now_us >= last || now_us + wait > last) {
		if (s->policy->vtable.has_admission)
			admit_note_refusal(s, it, now_us, fresh);
		if (fresh && s->policy->vtable.has_admission)
			wait = admit_return_us(s, it, slack);
		else if (wait > slack)
			wait -= slack;
		admit_give_up(s, it, SCHED_REFUSE, "deadline", wait);
		return;
	}
	again = now_us + (last - now_us - wait) / 2;
	if (again < now_us + ADMIT_RECHECK_MIN_US)
		again = now_us + ADMIT_RECHECK_MIN_US;
	if (!s->policy->vtable.has_admission || again > last)
		again = last;
	item_schedule_recheck(s, it, again);
}

/* The team that queues most for its weight. */
static struct team *
admit_longest(const struct sched *s)
{
	struct team *most = NULL, *t;
	uint32_t i;

	for (i = 0; i < s->nactive; i++) {
		t = s->active_teams[i];
		if (most == NULL ||
		    t->queued * most->weight > most->queued * t->weight)
			most = t;
	}
	return most;
}

/* A team's request that would be served last. */
static struct item *
admit_last(const struct team *t)
{
	struct item *last = NULL;
	const struct flow *f;

	for (f = t->flows; f != NULL; f = f->team_next) {
		if (last == NULL || item_before(last, f->tail))
			last = f->tail;
	}
	return last;
}

/* Newcomers push out what ranks last when a queue is full. */
static void
admit_bounds(struct sched *s, uint64_t now_us)
{
	struct item *it = s->arrival_tail, *last;
	uint64_t wait;

	while (it != NULL && it->is_new) {
		if (it->team->queued > ADMIT_TEAM_QUEUE) {
			last = admit_last(it->team);
		} else if (s->queued > ADMIT_QUEUE) {
			last = admit_last(admit_longest(s));
		} else {
			it = it->arrival_prev;
			continue;
		}
		wait =
		    admit_estimate_wait_us(s, last, now_us) / ADMIT_RETRY_PART;
		admit_give_up(s, last, SCHED_REFUSE, "overload", wait);
		it = s->arrival_tail;
	}
}

/* Walk the newcomers, or all when endpoints have gone. */
static void
admit_fit(struct sched *s)
{
	struct item *it = s->arrival_tail, *prev;

	for (; it != NULL && (s->recheck_all || it->is_new); it = prev) {
		prev = it->arrival_prev;
		if (!pool_can_run(it->adapter->pool, it))
			admit_give_up(s, it, SCHED_ELSEWHERE, NULL, 0);
	}
	s->recheck_all = false;
}

void
admit_run(struct sched *s, uint64_t now_us)
{
	struct item *it, *next;

	admit_fit(s);
	admit_bounds(s, now_us);
	it = s->arrival_tail;
	while (it != NULL && it->is_new && it->arrival_prev != NULL &&
	    it->arrival_prev->is_new)
		it = it->arrival_prev;
	for (; it != NULL && it->is_new; it = next) {
		next = it->arrival_next;
		admit_deadline(s, it, now_us);
	}
	while ((it = item_next_recheck(s)) != NULL && it->recheck_us <= now_us)
		admit_deadline(s, it, now_us);
}
