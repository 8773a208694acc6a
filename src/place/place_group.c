#include <stdlib.h>
#include <string.h>

#include "place/place_internal.h"
#include "util/mem.h"

/*
 * Endpoints by service. A fleet has hundreds of engines beside a handful of
 * endpoints of a plain service, whose calls must not pay for the engines.
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
