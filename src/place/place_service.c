#include <string.h>

#include "place/place_internal.h"

/*
 * Calls of plain services: the endpoint that is likely to be done first, of
 * those with a slot free; without one the call waits here, where it can still
 * go to whichever endpoint is free first.
 *
 * The pattern it answers: few endpoints with few slots, calls that may run
 * once only, and endpoints that turn slow or fail part of their calls.
 */

/* An answer from another data centre comes later by so much. */
#define APART_COST_MS 2.0
/* One that fails all its calls counts as slow by so many times more. */
#define FAILURE_COST 4.0

static double
cost_of(const struct place_endpoint *e, const struct place_ask *a)
{
	double cost = e->mean_call_ms *
	    (1.0 + (double)e->running / (double)(e->slots == 0 ? 1 : e->slots));

	if (a->data_centre != NULL &&
	    strcmp(a->data_centre, e->data_centre) != 0)
		cost += APART_COST_MS;
	return cost * (1.0 + e->failure_rate * FAILURE_COST);
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
		if (best == NULL || cost_of(e, a) < cost_of(best, a))
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
