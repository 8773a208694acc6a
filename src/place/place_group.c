#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "place/place_internal.h"
#include "util/mem.h"

/*
 * Endpoints by service. A fleet may have hundreds of engines and a few
 * endpoints of a plain service, whose calls should not search all the engines.
 */

void
place_group_add(struct place *p, struct place_endpoint *e)
{
	struct place_group *g = map_get_str(p->groups, e->service);

	if (g == NULL) {
		g = mem_alloc(1, sizeof(*g));
		(void)map_set_str(p->groups, e->service, g);
	}
	if (g->count == g->cap) {
		g->cap = g->cap == 0 ? 8 : g->cap * 2;
		g->endpoints =
		    mem_resize(g->endpoints, g->cap, sizeof(*g->endpoints));
	}
	g->endpoints[g->count++] = e;
	e->group = g;
}

void
place_group_remove(struct place *p, const struct place_endpoint *e)
{
	struct place_group *g = map_get_str(p->groups, e->service);
	size_t i;

	for (i = 0; g != NULL && i < g->count; i++)
		if (g->endpoints[i] == e) {
			g->endpoints[i] = g->endpoints[--g->count];
			return;
		}
}

const struct place_group *
place_group_find(const struct place *p, const char *service)
{
	static const struct place_group none;
	const struct place_group *g = map_get_str(p->groups, service);

	return g == NULL ? &none : g;
}

/* ---- load --------------------------------------------------------------- */

/* Time constant of busy shares; it covers several bursts of requests. */
#define BUSY_US 3e6

double
place_busy_share_at(
    const struct place *p, double share, bool is_busy, uint64_t updated_us)
{
	double kept = exp(-(double)(p->now_us - updated_us) / BUSY_US);

	return share * kept + (is_busy ? 1 - kept : 0);
}

double
place_group_busy_share(const struct place *p, const struct place_group *g)
{
	return place_busy_share_at(
	    p, g->busy_share, g->is_busy, g->busy_updated_us);
}

static bool
is_group_busy(const struct place *p, const struct place_group *g)
{
	const struct place_endpoint *e;
	size_t i, engines = 0;

	for (i = 0; i < g->count; i++) {
		e = g->endpoints[i];
		if (e->engine == NULL || e->is_foreign ||
		    !place_endpoint_is_usable(p, e, e->service))
			continue;
		if (e->unread_requests == 0)
			return false;
		engines++;
	}
	return engines > 0;
}

void
place_group_update_busy(struct place *p)
{
	struct place_group *g;
	size_t i;

	for (i = 0; i < map_count(p->groups); i++) {
		g = map_at(p->groups, i);
		g->busy_share = place_group_busy_share(p, g);
		g->busy_updated_us = p->now_us;
		g->is_busy = is_group_busy(p, g);
	}
}

void
place_group_free_all(struct place *p)
{
	struct place_group *g;
	size_t i;

	for (i = 0; i < map_count(p->groups); i++) {
		g = map_at(p->groups, i);
		free(g->endpoints);
		free(g);
	}
	map_destroy(p->groups);
}
