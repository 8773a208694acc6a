#include <string.h>

#include "place/place_room.h"
#include "place/place_weights.h"

/* Which weights an engine without any gets, and when the store may load them.
 */

/* Concurrent loads of weights: one more for each such part of the rate. */
#define WEIGHTS_RATE_MILLI 5000u
#define WEIGHTS_BURST	   2.0

/* ---- copies ------------------------------------------------------------- */

static bool
has_name(char *const *names, size_t count, const char *name)
{
	while (count > 0)
		if (strcmp(names[--count], name) == 0)
			return true;
	return false;
}

/* Does the endpoint keep a copy, so that a load does not use the store? */
static bool
has_copy(const struct place_endpoint *e, const char *model)
{
	return has_name(e->in_memory, e->n_in_memory, model) ||
	    has_name(e->on_disk, e->n_on_disk, model);
}

uint32_t
place_weights_load_ms(
    const struct place_endpoint *e, const struct place_adapter *a)
{
	const struct gw_model *m;
	size_t i;

	for (i = 0; e->engine != NULL && i < e->engine->nmodels; i++) {
		m = &e->engine->models[i];
		if (strcmp(m->name, a->model) != 0)
			continue;
		if (has_name(e->in_memory, e->n_in_memory, m->name) &&
		    m->memory_load_ms > 0)
			return m->memory_load_ms;
		return has_copy(e, m->name) && m->disk_load_ms > 0
		    ? m->disk_load_ms
		    : m->store_load_ms;
	}
	return 0;
}

/* ---- permits of the store ----------------------------------------------- */

static void
refill_permits(struct place *p, const struct gw_engine *engine)
{
	double seconds = (double)(p->now_us - p->permits_refilled_us) / 1e6;
	double burst = place_share_scale(p, WEIGHTS_BURST);

	p->permits_refilled_us = p->now_us;
	p->weight_permits +=
	    place_share_scale(p, seconds * engine->loads_per_s_milli / 1000.0);
	if (burst < 1)
		burst = 1;
	if (p->weight_permits > burst)
		p->weight_permits = burst;
}

bool
place_weights_take_permit(struct place *p, const struct place_endpoint *e,
    struct place_adapter *a, const struct gw_engine *engine)
{
	if (has_copy(e, a->model))
		return true;
	refill_permits(p, engine);
	place_schedule_run(p, p->now_us + PLACE_REPORT_LAG_US);
	if (p->weight_permits < 1 ||
	    p->weights_loading >
		place_share_scale(p, engine->loads_per_s_milli) /
		    WEIGHTS_RATE_MILLI)
		return false;
	p->weight_permits -= 1;
	p->weights_loading++;
	a->from_store = true;
	return true;
}

/* ---- choice ------------------------------------------------------------- */

static size_t
count_copies(const struct place *p, const char *service, const char *model)
{
	const struct place_endpoint *e;
	size_t i, n = 0;

	for (i = 0; i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		n += strcmp(e->service, service) == 0 &&
		    place_adapter_find(e, model) != NULL;
	}
	return n;
}

struct place_adapter *
place_weights_choose(
    struct place *p, struct place_endpoint *e, const struct gw_engine *engine)
{
	const struct gw_model *best = NULL;
	size_t i, n, fewest = 0;

	for (i = 0; i < engine->nmodels; i++) {
		n = count_copies(p, e->service, engine->models[i].name);
		if (!place_room_can_hold(
			engine, engine->models[i].weights_kb) ||
		    (best != NULL && n >= fewest))
			continue;
		best = &engine->models[i];
		fewest = n;
	}
	if (best == NULL)
		return NULL;
	return place_adapter_add(p, e, best->name, NULL, ADAPTER_WANTED);
}
