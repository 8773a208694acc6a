#include <math.h>

#include "sched/policy.h"

/*
 * Admission control. A request that is not expected to get its first token by
 * its deadline is refused, as early as that is known. A request that no
 * endpoint of this owner can run is sent elsewhere. Requests beyond the limits
 * of the queues are refused.
 *
 * The expected wait is the longer one of the wait for a seat and the wait for
 * a load, by the work that is served before the request in the fair order. A
 * margin is added to the estimate of a new request. It follows the errors of
 * earlier estimates, so that only few of them turn out too short.
 */

/* Queued requests, of a team and of all teams. */
#define ADMIT_TEAM_QUEUE_MAX 512
#define ADMIT_QUEUE_MAX	     4096

/*
 * A caller need not wait until a whole queue has drained: part of the wait is
 * enough for its request to be accepted.
 */
#define ADMIT_RETRY_DIVISOR  4
#define ADMIT_RECHECK_MIN_US (20 * SCHED_MS_US)

/* Weight of the newest load in the mean value of loads. */
#define ADMIT_VALUE_WEIGHT 0.1
/* Validity of the mean value, in load spacings after the newest load. */
#define ADMIT_VALUE_SPACINGS 3

/* Margin of an estimate, in parts of the estimate. */
#define ADMIT_MARGIN_BASE	0.2 /* always added */
#define ADMIT_MARGIN_STEP	0.05
#define ADMIT_MARGIN_MISS_SHARE 0.02 /* estimates that may be too short */
#define ADMIT_MARGIN_FACTOR_MAX 3.0 /* estimate with margin, without base */
/*
 * Only estimates of at least this part of the patience adapt the margin. A
 * shorter one tells nothing about the margin that is needed.
 */
#define ADMIT_MARGIN_PATIENCE_DIVISOR 4

/* Work that is served before a request. */
struct admit_ahead {
	double requests; /* before it in the fair order, of its pool */
	double loads; /* adapters that are loaded before its own */
	double same_engines; /* for the engines that hold its adapter */
	double seats, grants; /* of these engines */
};

/* Number of requests of a flow that rank before a request. */
static uint32_t
flow_count_before(const struct flow *f, const struct item *other)
{
	const struct item *it;
	uint32_t n = 0;

	if (item_before(f->tail, other))
		return f->count;
	for (it = f->head; it != NULL && item_before(it, other); it = it->next)
		n++;
	return n;
}

/* Whether a load of the flow's adapter has yet to be ordered. */
static bool
flow_needs_load(const struct flow *f)
{
	const struct adapter *a = f->adapter;

	return !a->is_service && a->loaded_slots == 0 && a->pending_loads == 0;
}

/* Whether a flow competes for seats now. One that waits for a load does not. */
static bool
flow_needs_seat(const struct flow *f)
{
	return f->adapter->is_service || f->adapter->loaded_slots > 0;
}

/* Sum of the time that all requests for the flow's adapter have waited. */
static uint64_t
flow_stall_us(const struct flow *f, uint64_t now_us)
{
	return f->adapter->waiting * now_us - f->adapter->queued_us_sum;
}

/*
 * Marks the engines that hold the adapter with the number of this estimate,
 * and counts their seats.
 */
static void
admit_mark_engines(
    struct sched *s, const struct item *it, struct admit_ahead *ahead)
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
		ahead->grants += ep->grants;
	}
}

/* Share of the engines with a flow's adapter that are marked, 0 to 1. */
static double
flow_marked_share(const struct sched *s, const struct flow *f)
{
	const struct adapter *a = f->adapter;
	uint32_t i, marked = 0;

	for (i = 0; i < a->nlocations; i++)
		marked +=
		    a->locations[i].ep->last_estimate == s->estimate_count;
	return marked == 0 ? 0.0 : (double)marked / a->nlocations;
}

/* Counts the requests and loads of its own team that are ahead of it. */
static void
admit_count_own_team(const struct sched *s, const struct item *it,
    uint64_t now_us, struct admit_ahead *ahead)
{
	const struct flow *f;
	uint32_t before;

	for (f = it->team->flows; f != NULL; f = f->team_next) {
		if (f->adapter->pool != it->adapter->pool)
			continue;
		if (f == it->flow || flow_needs_seat(f)) {
			before = flow_count_before(f, it);
			ahead->requests += before;
			ahead->same_engines += before * flow_marked_share(s, f);
		}
		if (f != it->flow && flow_needs_load(f) &&
		    flow_stall_us(f, now_us) > flow_stall_us(it->flow, now_us))
			ahead->loads += 1.0;
	}
}

/*
 * Counts the requests and loads of another team that are ahead of it: at most
 * as many as that team's weight allows in the time of the own ones.
 */
static void
admit_count_other_team(const struct sched *s, const struct item *it,
    const struct team *t, const struct admit_ahead *own,
    struct admit_ahead *ahead)
{
	double weight_ratio = t->account->weight / it->team->account->weight;
	double requests = 0.0, loads = 0.0, same_engines = 0.0;
	const struct flow *f;

	for (f = t->flows; f != NULL; f = f->team_next) {
		if (f->adapter->pool != it->adapter->pool)
			continue;
		if (flow_needs_seat(f)) {
			requests += f->count;
			same_engines += f->count * flow_marked_share(s, f);
		}
		if (flow_needs_load(f))
			loads += 1.0;
	}
	if (requests > (own->requests + 1.0) * weight_ratio)
		requests = (own->requests + 1.0) * weight_ratio;
	if (loads > (own->loads + 1.0) * weight_ratio)
		loads = (own->loads + 1.0) * weight_ratio;
	if (same_engines > (own->same_engines + 1.0) * weight_ratio)
		same_engines = (own->same_engines + 1.0) * weight_ratio;
	ahead->requests += requests;
	ahead->same_engines += same_engines;
	ahead->loads += loads;
}

/*
 * Updates the mean value of the loads that are ordered for adapters that are
 * not loaded anywhere. The value of a load is the stall that it ends.
 */
void
admit_note_load_value(struct sched *s, double value)
{
	s->mean_load_value += s->mean_load_value == 0.0
	    ? value
	    : ADMIT_VALUE_WEIGHT * (value - s->mean_load_value);
}

/*
 * Estimates the time until the load of a new request's adapter is ordered:
 * when the stall of that adapter reaches the value at which loads are ordered
 * now. Later requests for the adapter add to the stall, so it grows with the
 * square of the time.
 */
static double
admit_load_order_wait_us(
    const struct sched *s, const struct item *it, uint64_t now_us)
{
	const struct adapter *a = it->adapter;
	double factor = team_share_factor(s, it->team, now_us);
	double rate = rate_at(a->request_rate, a->rate_updated_us, now_us) /
	    SCHED_SECOND_US;
	double waiting = a->waiting, missing;
	uint64_t spacing = load_spacing_us(s);

	if (a->is_service || a->loaded_slots > 0 || a->pending_loads > 0 ||
	    spacing == SCHED_NEVER ||
	    now_us > s->last_load_us + ADMIT_VALUE_SPACINGS * spacing)
		return 0.0;
	missing = s->mean_load_value / (factor * factor * factor) -
	    flow_stall_us(it->flow, now_us) -
	    adapter_refused_stall_us(a, now_us) -
	    waiting * (double)s->options.load_ms * SCHED_MS_US;
	if (missing <= 0.0)
		return 0.0;
	if (rate * missing < waiting * 1e-6)
		return missing / waiting;
	return (sqrt(waiting * waiting + 2.0 * rate * missing) - waiting) /
	    rate;
}

/*
 * Adapts the margin to how an estimate turned out. Steps up and down are
 * balanced when ADMIT_MARGIN_MISS_SHARE of the estimates are too short.
 *
 * served: false when the request was refused after all.
 */
void
admit_update_margin(
    struct sched *s, const struct item *it, uint64_t now_us, bool served)
{
	double *margin = &s->estimate_margin[it->estimate_has_load];
	uint64_t patience = it->deadline_us - it->queued_us;
	bool missed;

	if (it->deadline_us == SCHED_NEVER ||
	    it->estimated_wait_us * ADMIT_MARGIN_PATIENCE_DIVISOR < patience)
		return;
	missed = !served ||
	    (double)(now_us - it->enqueued_us) >
		(1.0 + *margin) * (double)it->estimated_wait_us;
	*margin += missed ? ADMIT_MARGIN_STEP * (1.0 - ADMIT_MARGIN_MISS_SHARE)
			  : -ADMIT_MARGIN_STEP * ADMIT_MARGIN_MISS_SHARE;
	if (*margin < 0.0)
		*margin = 0.0;
	if (*margin > ADMIT_MARGIN_FACTOR_MAX - 1.0)
		*margin = ADMIT_MARGIN_FACTOR_MAX - 1.0;
}

/* Expected wait for the load of the request's adapter, microseconds. */
static double
admit_load_wait_us(
    const struct sched *s, const struct item *it, double loads_ahead)
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

/* Expected wait for a seat, microseconds; also for the team's own limit. */
static double
admit_seat_wait_us(const struct item *it, const struct admit_ahead *ahead)
{
	const struct pool *p = it->adapter->pool;
	const struct team *t = it->team;
	double wait = 0.0, same_engines_wait, own, excess;

	if (p->seats == 0 || p->mean_service_us <= 0.0)
		return 0.0;
	excess = ahead->requests + 1.0 + p->grants - p->seats;
	if (excess > 0.0)
		wait = excess * p->mean_service_us / p->seats;
	excess = ahead->same_engines + 1.0 + ahead->grants - ahead->seats;
	same_engines_wait = ahead->seats > 0.0 && excess > 0.0
	    ? excess * p->mean_service_us / ahead->seats
	    : 0.0;
	if (same_engines_wait > wait)
		wait = same_engines_wait;
	if (t->account->max_running == 0)
		return wait;
	own = (double)t->account->queued + t->account->running -
	    t->account->max_running;
	own *= p->mean_service_us / t->account->max_running;
	return own > wait ? own : wait;
}

/* Returns the wait that a request still has before it, by the fair order. */
uint64_t
admit_estimate_wait_us(struct sched *s, const struct item *it, uint64_t now_us)
{
	struct admit_ahead own = {0}, all;
	double load, seat;
	uint32_t i;

	admit_mark_engines(s, it, &own);
	admit_count_own_team(s, it, now_us, &own);
	all = own;
	for (i = 0; i < team_active_count(s); i++) {
		if (team_active_at(s, i) != it->team &&
		    team_active_at(s, i)->account->queued > 0)
			admit_count_other_team(
			    s, it, team_active_at(s, i), &own, &all);
	}
	load = admit_load_wait_us(s, it, all.loads);
	seat = admit_seat_wait_us(it, &all);
	return (uint64_t)(load > seat ? load : seat);
}

/* Returns the estimate with margin for a new request, and records it. */
static uint64_t
admit_first_estimate_us(struct sched *s, struct item *it, uint64_t now_us)
{
	uint64_t wait = admit_estimate_wait_us(s, it, now_us);
	double order_wait = admit_load_order_wait_us(s, it, now_us);
	const struct adapter *a = it->adapter;

	if (order_wait > (double)wait)
		wait = (uint64_t)order_wait;
	it->estimated_wait_us = wait;
	it->estimate_has_load = !a->is_service && a->loaded_slots == 0;
	return (uint64_t)((double)wait *
	    (1.0 + ADMIT_MARGIN_BASE +
		s->estimate_margin[it->estimate_has_load]));
}

/*
 * Ends the wait of a queued request and frees it.
 *
 * type: SCHED_REFUSE or SCHED_ELSEWHERE.
 * after_us: for SCHED_REFUSE: when the caller may try again.
 */
static void
admit_reject(struct sched *s, struct item *it, enum sched_decision_type type,
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

/*
 * Estimates when a new request with the same patience would be accepted. A
 * part of the patience is left as a reserve.
 *
 * slack_us: the wait that would still meet the deadline.
 */
static uint64_t
admit_retry_after_us(
    const struct sched *s, const struct item *it, uint64_t slack_us)
{
	uint64_t acceptable = slack_us - slack_us / ADMIT_RETRY_DIVISOR;
	double wait = (double)it->estimated_wait_us -
	    (double)acceptable /
		(1.0 + s->estimate_margin[it->estimate_has_load]);

	return wait > 0.0 ? (uint64_t)wait : it->estimated_wait_us;
}

/*
 * Learns from a refusal. That of an accepted request shows that its estimate
 * was too short. That of a new request counts as stall of its adapter if it
 * would have waited for a load or if the pool has a free seat.
 */
static void
admit_note_refusal(
    struct sched *s, const struct item *it, uint64_t now_us, bool is_new)
{
	const struct pool *p = it->adapter->pool;

	if (!is_new)
		admit_update_margin(s, it, now_us, false);
	else if (it->estimate_has_load || p->grants < p->seats)
		adapter_note_refusal(
		    it->adapter, now_us, it->deadline_us - it->queued_us);
}

/*
 * Refuses a request that is not expected to meet its deadline, else schedules
 * its next check: after half of the time that is left over.
 */
static void
admit_check_deadline(struct sched *s, struct item *it, uint64_t now_us)
{
	uint64_t first_token_us = (uint64_t)it->adapter->pool->mean_first_us;
	uint64_t last_start_us, wait_us, slack_us, recheck_us;
	bool is_new = it->is_new;

	it->is_new = false;

	if (it->deadline_us == SCHED_NEVER) {
		item_schedule_recheck(s, it, SCHED_NEVER);
		return;
	}
	last_start_us = it->deadline_us > first_token_us
	    ? it->deadline_us - first_token_us
	    : 0;
	if (!s->policy->vtable.has_admission) {
		last_start_us = it->deadline_us;
		wait_us = 0;
	} else {
		wait_us = is_new ? admit_first_estimate_us(s, it, now_us)
				 : admit_estimate_wait_us(s, it, now_us);
	}
	slack_us =
	    last_start_us > it->queued_us ? last_start_us - it->queued_us : 0;
	if (now_us >= last_start_us || now_us + wait_us > last_start_us) {
		if (s->policy->vtable.has_admission)
			admit_note_refusal(s, it, now_us, is_new);
		if (is_new && s->policy->vtable.has_admission)
			wait_us = admit_retry_after_us(s, it, slack_us);
		else if (wait_us > slack_us)
			wait_us -= slack_us;
		admit_reject(s, it, SCHED_REFUSE, "deadline", wait_us);
		return;
	}
	recheck_us = now_us + (last_start_us - now_us - wait_us) / 2;
	if (recheck_us < now_us + ADMIT_RECHECK_MIN_US)
		recheck_us = now_us + ADMIT_RECHECK_MIN_US;
	if (!s->policy->vtable.has_admission || recheck_us > last_start_us)
		recheck_us = last_start_us;
	item_schedule_recheck(s, it, recheck_us);
}

/* Returns the team with the longest queue for its weight. */
static struct team *
admit_longest_queue(const struct sched *s)
{
	struct team *longest = NULL, *t;
	uint32_t i;

	for (i = 0; i < team_active_count(s); i++) {
		t = team_active_at(s, i);
		if (longest == NULL ||
		    t->account->queued * longest->account->weight >
			longest->account->queued * t->account->weight)
			longest = t;
	}
	return longest;
}

/* Returns the queued request of a team that would be served last. */
static struct item *
admit_lowest_ranked(const struct team *t)
{
	struct item *last = NULL;
	const struct flow *f;

	for (f = t->flows; f != NULL; f = f->team_next) {
		if (last == NULL || item_before(last, f->tail))
			last = f->tail;
	}
	return last;
}

/* Refuses the lowest-ranked requests while new ones exceed a queue's limit. */
static void
admit_enforce_queue_limits(struct sched *s, uint64_t now_us)
{
	struct item *it = s->arrival_tail, *last;
	uint64_t wait;

	while (it != NULL && it->is_new) {
		if (it->team->account->queued > ADMIT_TEAM_QUEUE_MAX) {
			last = admit_lowest_ranked(it->team);
		} else if (s->queued > ADMIT_QUEUE_MAX) {
			last = admit_lowest_ranked(admit_longest_queue(s));
		} else {
			it = it->arrival_prev;
			continue;
		}
		wait = admit_estimate_wait_us(s, last, now_us) /
		    ADMIT_RETRY_DIVISOR;
		admit_reject(s, last, SCHED_REFUSE, "overload", wait);
		it = s->arrival_tail;
	}
}

/*
 * Sends the requests elsewhere that no endpoint here can run. Checks the new
 * requests, or all after an endpoint was lost.
 */
static void
admit_check_endpoints(struct sched *s)
{
	struct item *it = s->arrival_tail, *prev;

	for (; it != NULL && (s->recheck_all || it->is_new); it = prev) {
		prev = it->arrival_prev;
		if (!pool_can_run(it->adapter->pool, it))
			admit_reject(s, it, SCHED_ELSEWHERE, NULL, 0);
	}
	s->recheck_all = false;
}

/* Checks new requests and those whose recheck is due. */
void
admit_run(struct sched *s, uint64_t now_us)
{
	struct item *it, *next;

	admit_check_endpoints(s);
	admit_enforce_queue_limits(s, now_us);
	it = s->arrival_tail;
	while (it != NULL && it->is_new && it->arrival_prev != NULL &&
	    it->arrival_prev->is_new)
		it = it->arrival_prev;
	for (; it != NULL && it->is_new; it = next) {
		next = it->arrival_next;
		admit_check_deadline(s, it, now_us);
	}
	while ((it = item_next_recheck(s)) != NULL && it->recheck_us <= now_us)
		admit_check_deadline(s, it, now_us);
}
