#include <string.h>

#include "place/place_internal.h"

/*
 * Placement of calls of plain services, on the endpoint with a free slot that
 * is expected to finish first. Without a free slot the call stays queued, so
 * that the first endpoint with a free slot gets it.
 *
 * Such services have few endpoints with few slots, their calls may not run
 * twice, and endpoints may become slow or fail part of their calls.
 */

/* Latency of an answer from another data centre. */
#define REMOTE_COST_MS 2.0
/* Relative cost of an endpoint that fails all its calls. */
#define FAILURE_COST_FACTOR 4.0

static double
expected_cost_ms(const struct place_endpoint *e, const struct place_ask *a)
{
	double cost = e->mean_call_ms *
	    (1.0 + (double)e->running / (double)(e->slots == 0 ? 1 : e->slots));

	if (a->data_centre != NULL &&
	    strcmp(a->data_centre, e->data_centre) != 0)
		cost += REMOTE_COST_MS;
	return cost * (1.0 + e->failure_rate * FAILURE_COST_FACTOR);
}

enum place_attempt
place_service_place(struct place *p, struct place_ask *a)
{
	const struct place_group *g = place_group_find(p, a->service);
	struct place_endpoint *e, *best = NULL;
	struct place_decision *d;
	size_t i;

	for (i = 0; i < g->count; i++) {
		e = g->endpoints[i];
		p->totals.estimates++;
		if (!place_endpoint_is_usable(p, e, a->service) ||
		    place_ask_avoids(a, e) || e->running >= e->slots)
			continue;
		if (best == NULL ||
		    expected_cost_ms(e, a) < expected_cost_ms(best, a))
			best = e;
	}
	if (best == NULL)
		return PLACE_ATTEMPT_WAITING;
	place_endpoint_grant(p, best, a);
	d = place_decision_add(p, PLACE_GRANT);
	d->id = a->id;
	d->endpoint = best->id;
	d->address = best->address;
	d->basis = place_basis_from_endpoint(p, best);
	d->basis.estimate_ms = (uint32_t)best->mean_call_ms;
	place_ask_set_waits(p, a, &d->basis);
	return PLACE_ATTEMPT_GRANTED;
}
