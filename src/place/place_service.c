#include <math.h>
#include <string.h>

#include "place/place_admit.h"

/*
 * Placement of calls of plain services, on the endpoint that is expected to
 * complete the call first: one with a free slot, or a faster one without, for
 * which the call then waits. The calls ahead in the queue are taken to be
 * divided among the endpoints by their speed, so that the slower ones get their
 * share once the wait for the others is long.
 *
 * A call is refused at once if no endpoint will complete it before its
 * deadline, or take it, because it has failed at some and the others want no
 * call of its entry or have reached their rate limits.
 *
 * Such services have few endpoints with few slots, their calls may not run
 * twice, and endpoints may become slow or fail part of their calls. Other
 * instances may use the same slots; responses tell how many.
 */

/* Latency of an answer from another data centre. */
#define REMOTE_COST_MS 2.0
/*
 * Cost of a failed call that is repeated elsewhere, and of one that is not. The
 * first takes another attempt, the second is lost to its caller.
 */
#define REPEATED_COST_MS 100.0
#define LOST_COST_MS	 600.0
/* Weight of the short-term failure rate: few calls give a rough estimate. */
#define RECENT_FAILURE_WEIGHT 0.5
/*
 * Half-lives of the failure rate and of the difference from the mean speed of
 * an endpoint without calls. They decay so that it is tried again.
 */
#define FAILURES_HALF_US 2e6
#define SPEED_HALF_US	 2e6
/* An endpoint is stalled after this many call durations without a response. */
#define STALL_FACTOR 3.0
/* Sent to a caller whose call has failed at all endpoints. */
#define ALL_FAILED_RETRY_MS 500u
/* Interval of evaluating a call that waits for a faster endpoint. */
#define WAIT_RECHECK_US (20 * US_PER_MS)
/* Refused callers are given retry times spread over this time. */
#define RETURN_SPREAD_US (2000 * US_PER_MS)
/* Queued calls that are looked at before or behind one, at most. */
#define AHEAD_MAX 256u
/*
 * Calls of others are known by reports of the endpoint that are as old as a
 * call takes, so that some of them are own calls that have ended since.
 */
#define OTHERS_ERROR 2.0

/* The queue and the throughput of the endpoints of a service. */
struct call_queue {
	double ahead; /* queued calls before this one */
	double per_ms; /* calls that all endpoints complete */
	double mean_ms; /* of a call, at the endpoints known; 0: none is */
};

/* What a call at an endpoint would cost. */
struct call_estimate {
	bool has_slot;
	double wait_ms, done_ms; /* until it begins and is completed */
	double cost; /* done_ms, a stall and the risk of a failure */
};

/*
 * Slots that calls placed here may use. At least this instance's equal part,
 * whatever other instances use: their use is reported late, and only in
 * responses to calls.
 */
static double
usable_slots(const struct place *p, const struct place_endpoint *e)
{
	double part =
	    floor((double)e->slots / (p->owner_count > 0 ? p->owner_count : 1));
	double others = p->owner_count > 1
	    ? fmax(place_told_at(&e->others, p->now_us) - OTHERS_ERROR, 0)
	    : 0;

	return fmax(fmax(e->slots - round(others), part), 1);
}

/* How much of what was learned at a time still counts, 0 to 1. */
static double
part_known(const struct place *p, uint64_t learned_us, double half_us)
{
	return learned_us == 0
	    ? 0
	    : exp2(-(double)(p->now_us - learned_us) / half_us);
}

/* The time of a call now. */
static double
call_ms(const struct place *p, const struct place_endpoint *e, double mean_ms)
{
	double ms = place_endpoint_call_ms(p, e);

	if (mean_ms > 0)
		ms = mean_ms +
		    (ms - mean_ms) *
			part_known(p, e->last_served_call_us, SPEED_HALF_US);
	return ms;
}

/* How much longer a call takes because of a stall: as long as it has lasted. */
static double
stall_ms(const struct place *p, const struct place_endpoint *e, double ms)
{
	double since =
	    (double)(p->now_us - e->last_progress_us) / (double)US_PER_MS;

	return e->running > 0 && since > ms * STALL_FACTOR ? since : 0;
}

static bool
is_candidate(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a)
{
	return e->slots > 0 && place_endpoint_is_usable(p, e, a->service) &&
	    !place_ask_avoids(a, e) &&
	    place_backoff_end_us(p, e, a->id.entry) == 0 &&
	    place_limit_wait_us(p, e, 0) == 0;
}

static double
failure_cost(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a)
{
	bool is_repeated = a->kind == GW_IDEMPOTENT && a->attempt == 0;
	double share = fmax(
	    e->lasting_failure_rate, e->failure_rate * RECENT_FAILURE_WEIGHT);

	return share * part_known(p, e->last_call_us, FAILURES_HALF_US) *
	    (is_repeated ? REPEATED_COST_MS : LOST_COST_MS);
}

static struct call_estimate
estimate(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a, const struct call_queue *queue)
{
	double ms = call_ms(p, e, queue->mean_ms), slots = usable_slots(p, e);
	double ahead = queue->per_ms > 0
	    ? queue->ahead * e->slots / ms / queue->per_ms
	    : 0;
	struct call_estimate out;

	out.has_slot = e->running < e->slots && e->running < slots;
	out.wait_ms = fmax(e->running + ahead - slots + 1, 0) * ms / slots;
	out.done_ms = out.wait_ms + ms * (1 + fmin(e->running / slots, 1));
	if (a->data_centre != NULL &&
	    strcmp(a->data_centre, e->data_centre) != 0)
		out.done_ms += REMOTE_COST_MS;
	out.cost = out.done_ms + stall_ms(p, e, ms) + failure_cost(p, e, a);
	return out;
}

/*
 * When an endpoint takes the call, apart from its free slots: 0: now or at a
 * time that is not known; UINT64_MAX: never.
 */
static uint64_t
available_from_us(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a)
{
	if (e->leaving || place_ask_avoids(a, e))
		return UINT64_MAX;
	return place_backoff_end_us(p, e, a->id.entry);
}

/* The time until which all endpoints are known to refuse the call; 0: none. */
static uint64_t
earliest_available_us(const struct place *p, const struct place_ask *a)
{
	const struct place_group *g = place_group_find(p, a->service);
	uint64_t from_us, earliest_us = UINT64_MAX;
	size_t i, candidates = 0;

	for (i = 0; i < g->count; i++) {
		if (g->endpoints[i]->leaving)
			continue; /* others may be about to replace it */
		candidates++;
		from_us = available_from_us(p, g->endpoints[i], a);
		if (from_us < earliest_us)
			earliest_us = from_us;
	}
	return candidates == 0 ? 0 : earliest_us;
}

/*
 * Of two endpoints that may get the call, is the first the better one? One
 * whose rate limit has not been used for a while goes first if it will answer
 * in time, so that limited endpoints are used and the end of a limit is learnt.
 */
static bool
is_better(const struct place_ask *a, uint64_t now_us,
    const struct call_estimate *est, bool full,
    const struct call_estimate *best, bool best_full)
{
	if (full != best_full) {
		double left_ms = a->target_us <= now_us
		    ? 0
		    : (double)(a->target_us - now_us) / US_PER_MS;

		if ((full ? est : best)->cost < left_ms)
			return full;
	}
	return est->cost < best->cost;
}

/* The mean time of a call at the endpoints that have completed some lately. */
static double
mean_call_ms(const struct place *p, const struct place_group *g)
{
	double part, parts = 0, sum = 0;
	size_t i;

	for (i = 0; i < g->count; i++) {
		part = part_known(
		    p, g->endpoints[i]->last_served_call_us, SPEED_HALF_US);
		parts += part;
		sum += part * place_endpoint_mean_call_ms(g->endpoints[i]);
	}
	return parts > 0 ? sum / parts : 0;
}

/* Describe the queue before a call. */
static struct call_queue
describe_queue(const struct place *p, const struct place_ask *a)
{
	const struct place_group *g = place_group_find(p, a->service);
	const struct place_endpoint *e;
	const struct place_ask *before;
	struct call_queue out = {0};
	size_t i;

	for (before = a->prev; before != NULL && out.ahead < AHEAD_MAX;
	     before = before->prev)
		out.ahead += before->key == NULL &&
		    strcmp(before->service, a->service) == 0;
	out.mean_ms = mean_call_ms(p, g);
	for (i = 0; i < g->count; i++) {
		e = g->endpoints[i];
		if (is_candidate(p, e, a))
			out.per_ms += e->slots / call_ms(p, e, out.mean_ms);
	}
	return out;
}

static struct place_endpoint *
find_endpoint(struct place *p, const struct place_ask *a,
    const struct call_queue *queue, struct call_estimate *best,
    double *earliest_ms)
{
	const struct place_group *g = place_group_find(p, a->service);
	struct place_endpoint *e, *found = NULL;
	struct call_estimate est;
	bool full, best_full = false;
	size_t i;

	*earliest_ms = INFINITY;
	memset(best, 0, sizeof(*best));
	for (i = 0; i < g->count; i++) {
		e = g->endpoints[i];
		p->totals.estimates++;
		if (!is_candidate(p, e, a))
			continue;
		est = estimate(p, e, a, queue);
		*earliest_ms = fmin(*earliest_ms, est.done_ms);
		full = est.has_slot && place_limit_is_full(p, e);
		if (found != NULL &&
		    !is_better(a, p->now_us, &est, full, best, best_full))
			continue;
		found = e;
		*best = est;
		best_full = full;
	}
	return found;
}

/*
 * Refuse a call that no endpoint will complete before its deadline. Its caller
 * returns when the queue has become shorter; callers return one after another.
 */
static enum place_attempt
refuse_late(struct place *p, struct place_ask *a,
    const struct call_queue *queue, const struct call_estimate *best)
{
	struct place_group *g = map_get_str(p->groups, a->service);
	uint64_t from_us = p->now_us + (uint64_t)(best->wait_ms * US_PER_MS);

	if (g->calls_return_us < from_us ||
	    g->calls_return_us > from_us + RETURN_SPREAD_US)
		g->calls_return_us = from_us;
	if (queue->per_ms > 0)
		g->calls_return_us += (uint64_t)(US_PER_MS / queue->per_ms);
	p->totals.late_calls_refused++;
	place_ask_refuse_until(p, a, "overload", g->calls_return_us);
	return PLACE_ATTEMPT_REFUSED;
}

/* Keep a call queued, or refuse it if no endpoint will take it in time. */
static enum place_attempt
wait_or_refuse(struct place *p, struct place_ask *a)
{
	uint64_t from_us = earliest_available_us(p, a);

	if (from_us < a->deadline_us)
		return place_limit_wait_or_refuse(p, a);
	if (from_us == UINT64_MAX)
		place_ask_refuse(
		    p, a, NULL, "all-endpoints-failed", ALL_FAILED_RETRY_MS);
	else
		place_ask_refuse_until(p, a, "endpoints-back-off", from_us);
	return PLACE_ATTEMPT_REFUSED;
}

/*
 * Keep a call queued for an endpoint without a free slot. earliest_ms: until
 * the first endpoint completes it, if no stall lasts; when one ends is not
 * known. A repeat is not refused early: a late answer is better than a failure.
 */
static enum place_attempt
wait_for_slot(struct place *p, struct place_ask *a,
    const struct call_queue *queue, const struct call_estimate *best,
    double earliest_ms)
{
	uint64_t recheck_us = p->now_us + WAIT_RECHECK_US;
	enum place_attempt result;

	if (a->attempt == 0 && p->now_us < a->deadline_us &&
	    p->now_us + (uint64_t)(earliest_ms * US_PER_MS) >= a->deadline_us)
		return refuse_late(p, a, queue, best);
	result = wait_or_refuse(p, a);
	if (result == PLACE_ATTEMPT_WAITING &&
	    (a->evaluate_at_us == 0 || a->evaluate_at_us > recheck_us))
		a->evaluate_at_us = recheck_us;
	return result;
}

/*
 * Whether a call that can't be in time leaves its slot to one behind it that
 * still can: in an overload all calls would be late otherwise. Not with a rate
 * limit: calls that wait for its tokens are admitted by their order.
 */
static bool
must_yield(const struct place *p, const struct place_endpoint *best,
    const struct place_ask *a, const struct call_queue *queue,
    const struct call_estimate *est)
{
	uint64_t done_us = p->now_us + (uint64_t)(est->done_ms * US_PER_MS);
	uint64_t in_time_us =
	    p->now_us + (uint64_t)(queue->mean_ms * US_PER_MS);
	const struct place_ask *behind;
	size_t looked_at = 0;

	if (best->limit.now.is_limited || a->attempt > 0 ||
	    done_us <= a->target_us)
		return false;
	for (behind = a->next; behind != NULL && looked_at < AHEAD_MAX;
	     behind = behind->next, looked_at++)
		if (behind->key == NULL && behind->target_us > in_time_us &&
		    strcmp(behind->service, a->service) == 0 &&
		    place_admit_may_yield(p, a, behind))
			return true;
	return false;
}

enum place_attempt
place_service_place(struct place *p, struct place_ask *a)
{
	struct call_queue queue = describe_queue(p, a);
	struct call_estimate est;
	double earliest_ms;
	struct place_endpoint *best =
	    find_endpoint(p, a, &queue, &est, &earliest_ms);
	struct place_decision *d;

	if (best == NULL)
		return wait_or_refuse(p, a);
	if (!est.has_slot || must_yield(p, best, a, &queue, &est))
		return wait_for_slot(p, a, &queue, &est, earliest_ms);
	place_endpoint_grant(p, best, a);
	d = place_decision_add(p, PLACE_GRANT);
	d->id = a->id;
	d->endpoint = best->id;
	d->address = best->address;
	d->born_ms = best->born_ms;
	d->basis = place_basis_from_endpoint(p, best);
	d->basis.estimate_ms = (uint32_t)est.done_ms;
	place_ask_set_waits(p, a, &d->basis);
	return PLACE_ATTEMPT_GRANTED;
}
