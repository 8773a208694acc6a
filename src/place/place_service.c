#include <string.h>

#include "place/place_internal.h"

/*
 * Placement of calls of plain services, on the endpoint with a free slot that
 * is expected to finish first. Without a free slot the call stays queued, so
 * that the first endpoint with a free slot gets it. It is refused at once if no
 * endpoint will take it before its deadline, because it has failed at some and
 * the others want no call of its entry or have reached their rate limits.
 *
 * Such services have few endpoints with few slots, their calls may not run
 * twice, and endpoints may become slow or fail part of their calls.
 */

/* Latency of an answer from another data centre. */
#define REMOTE_COST_MS 2.0
/* Relative cost of an endpoint that fails all its calls. */
#define FAILURE_COST_FACTOR 4.0
/* Sent to a caller whose call has failed at all endpoints. */
#define ALL_FAILED_RETRY_MS 500u

static double
expected_cost_ms(const struct place_endpoint *e, const struct place_ask *a)
{
	double cost = place_endpoint_mean_call_ms(e) *
	    (1.0 + (double)e->running / (double)(e->slots == 0 ? 1 : e->slots));

	if (a->data_centre != NULL &&
	    strcmp(a->data_centre, e->data_centre) != 0)
		cost += REMOTE_COST_MS;
	return cost * (1.0 + e->failure_rate * FAILURE_COST_FACTOR);
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
 * Of two endpoints that can take the call, is the first the better one? One
 * whose rate limit has not been used for a while goes first if it will answer
 * in time, so that limited endpoints are used and the end of a limit is learnt.
 */
static bool
is_better(const struct place *p, const struct place_endpoint *e,
    const struct place_endpoint *best, const struct place_ask *a)
{
	double cost_ms = expected_cost_ms(e, a);
	double best_ms = expected_cost_ms(best, a);
	bool full = place_limit_is_full(p, e);

	if (full != place_limit_is_full(p, best)) {
		double left_ms = a->target_us <= p->now_us
		    ? 0
		    : (double)(a->target_us - p->now_us) / US_PER_MS;

		if ((full ? cost_ms : best_ms) < left_ms)
			return full;
	}
	return cost_ms < best_ms;
}

static struct place_endpoint *
find_endpoint(struct place *p, const struct place_ask *a)
{
	const struct place_group *g = place_group_find(p, a->service);
	struct place_endpoint *e, *best = NULL;
	size_t i;

	for (i = 0; i < g->count; i++) {
		e = g->endpoints[i];
		p->totals.estimates++;
		if (!place_endpoint_is_usable(p, e, a->service) ||
		    place_ask_avoids(a, e) || e->running >= e->slots ||
		    place_backoff_end_us(p, e, a->id.entry) != 0 ||
		    place_limit_wait_us(p, e, 0) != 0)
			continue;
		if (best == NULL || is_better(p, e, best, a))
			best = e;
	}
	return best;
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

enum place_attempt
place_service_place(struct place *p, struct place_ask *a)
{
	struct place_endpoint *best = find_endpoint(p, a);
	struct place_decision *d;

	if (best == NULL)
		return wait_or_refuse(p, a);
	place_endpoint_grant(p, best, a);
	d = place_decision_add(p, PLACE_GRANT);
	d->id = a->id;
	d->endpoint = best->id;
	d->address = best->address;
	d->born_ms = best->born_ms;
	d->basis = place_basis_from_endpoint(p, best);
	d->basis.estimate_ms = (uint32_t)place_endpoint_mean_call_ms(best);
	place_ask_set_waits(p, a, &d->basis);
	return PLACE_ATTEMPT_GRANTED;
}
