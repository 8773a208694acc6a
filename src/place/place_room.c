#include <string.h>

#include "place/place_guard.h"
#include "place/place_room.h"

/* What is in use of an engine's slots and memory. */
struct usage {
	size_t slots;
	uint64_t kb;
};

/* Which adapters count as using room. */
enum counted {
	COUNT_HELD, /* all that may be loaded */
	COUNT_IN_USE, /* of these, those that can't be unloaded now */
	COUNT_CLAIMED, /* these, and those that are wanted */
	COUNT_WEIGHTS
};

/* ---- sizes -------------------------------------------------------------- */

static const struct gw_model *
find_model(const struct gw_engine *engine, const char *name)
{
	size_t i;

	for (i = 0; engine != NULL && i < engine->nmodels; i++)
		if (strcmp(engine->models[i].name, name) == 0)
			return &engine->models[i];
	return NULL;
}

uint64_t
place_room_size_kb(
    const struct gw_engine *engine, const char *model, bool is_adapter)
{
	const struct gw_model *m = find_model(engine, model);

	if (m == NULL)
		return PLACE_SIZE_UNKNOWN_KB;
	return is_adapter ? m->adapter_kb : m->weights_kb;
}

/* What a configuration lists no more keeps the size that it was known by. */
void
place_room_update_sizes(struct place_endpoint *e)
{
	struct place_adapter *a;
	uint64_t kb;
	size_t i;

	for (i = 0; i < map_count(e->adapters); i++) {
		a = map_at(e->adapters, i);
		kb =
		    place_room_size_kb(e->engine, a->model, a->adapter != NULL);
		if (kb != PLACE_SIZE_UNKNOWN_KB)
			a->size_kb = kb;
	}
}

/* ---- usage -------------------------------------------------------------- */

/* Loaded, being loaded, or not surely unloaded. */
static bool
is_held(const struct place_adapter *a)
{
	return a->state != ADAPTER_WANTED || a->is_replacing;
}

/* Weights go before adapters, so those that are wanted count as held. */
static bool
is_counted(const struct place_adapter *a, enum counted counted)
{
	if (a->adapter == NULL)
		return true;
	switch (counted) {
	case COUNT_HELD:
		return is_held(a);
	case COUNT_IN_USE:
		return is_held(a) && !place_adapter_is_evictable(a);
	case COUNT_CLAIMED:
		return !place_adapter_is_evictable(a);
	default:
		return false;
	}
}

static struct usage
count_usage(const struct place_endpoint *e, enum counted counted,
    const struct place_adapter *except)
{
	const struct place_adapter *a;
	struct usage sum = {0, 0};
	size_t i;

	for (i = 0; i < map_count(e->adapters); i++) {
		a = map_at(e->adapters, i);
		if (a == except || !is_counted(a, counted))
			continue;
		sum.slots += a->adapter != NULL;
		sum.kb += a->size_kb;
	}
	return sum;
}

static bool
has_memory(const struct gw_engine *engine, uint64_t used_kb, uint64_t kb)
{
	return !engine->has_memory || !place_guards.memory ||
	    (used_kb <= engine->memory_kb && kb <= engine->memory_kb - used_kb);
}

static bool
fits(const struct gw_engine *engine, struct usage used, uint64_t adapter_kb)
{
	return used.slots < engine->adapter_slots &&
	    has_memory(engine, used.kb, adapter_kb);
}

bool
place_room_has(const struct place_endpoint *e, uint64_t adapter_kb)
{
	return fits(e->engine, count_usage(e, COUNT_HELD, NULL), adapter_kb);
}

bool
place_room_has_for(
    const struct place_endpoint *e, const struct place_adapter *wanted)
{
	return fits(
	    e->engine, count_usage(e, COUNT_HELD, wanted), wanted->size_kb);
}

bool
place_room_can_be_freed_for(
    const struct place_endpoint *e, const struct place_adapter *wanted)
{
	return fits(
	    e->engine, count_usage(e, COUNT_IN_USE, wanted), wanted->size_kb);
}

bool
place_room_can_be_made(const struct place_endpoint *e, uint64_t adapter_kb)
{
	return e->engine != NULL && !e->is_fenced &&
	    fits(e->engine, count_usage(e, COUNT_CLAIMED, NULL), adapter_kb);
}

bool
place_room_has_for_weights(
    const struct place_endpoint *e, const struct place_adapter *weights)
{
	return has_memory(e->engine, count_usage(e, COUNT_HELD, weights).kb,
	    weights->size_kb);
}

bool
place_room_can_hold(const struct gw_engine *engine, uint64_t weights_kb)
{
	return has_memory(engine, 0, weights_kb);
}

/* ---- victims ------------------------------------------------------------ */

/* An adapter that may be unloaded for another one. */
struct victim {
	struct place_adapter *adapter; /* NULL: none */
	bool is_enough; /* its unload alone makes enough room */
	double demand;
};

static bool
is_better_victim(const struct victim *v, const struct victim *best)
{
	if (best->adapter == NULL)
		return true;
	if (v->is_enough != best->is_enough)
		return v->is_enough;
	if (v->demand < best->demand)
		return true;
	return v->demand == best->demand &&
	    v->adapter->last_used_us < best->adapter->last_used_us;
}

struct place_adapter *
place_room_choose_victim(const struct place *p, const struct place_endpoint *e,
    const struct place_adapter *wanted, uint64_t adapter_kb)
{
	struct usage held = count_usage(e, COUNT_HELD, wanted), rest;
	struct victim v, best = {0};
	size_t i;

	for (i = 0; i < map_count(e->adapters); i++) {
		v.adapter = map_at(e->adapters, i);
		if (!place_adapter_is_evictable(v.adapter))
			continue;
		rest.slots = held.slots - 1;
		rest.kb = held.kb - v.adapter->size_kb;
		v.is_enough = fits(e->engine, rest, adapter_kb);
		v.demand = place_demand_per_copy(p, v.adapter->key);
		if (is_better_victim(&v, &best))
			best = v;
	}
	return best.adapter;
}

/* ---- requests that can't be served -------------------------------------- */

static bool
is_held_somewhere(const struct place *p, const char *key)
{
	const struct place_demand *d = place_demand_find(p, key);

	return d != NULL && d->nholders > 0;
}

/*
 * Can none of the engines that have the model hold one of its adapters, beside
 * the weights alone? False if none has the model: one may load it.
 */
static bool
do_weights_leave_no_room(const struct place *p, const struct place_ask *a)
{
	const struct place_group *g = place_group_find(p, a->service);
	const struct place_endpoint *e;
	bool has_model = false;
	uint64_t kb;
	size_t i;

	for (i = 0; i < g->count; i++) {
		e = g->endpoints[i];
		if (e->engine == NULL || e->engine->nmodels < 2)
			return false; /* the configuration tells */
		if (e->leaving || place_adapter_find(e, a->model) == NULL)
			continue;
		has_model = true;
		kb = place_room_size_kb(e->engine, a->model, true);
		if (fits(e->engine, count_usage(e, COUNT_WEIGHTS, NULL), kb))
			return false;
	}
	return has_model;
}

/*
 * Sizes change with the configuration alone, so the caller is asked to return
 * as late as one may be asked. An engine of another owner may have the adapter.
 */
static bool
refuse(struct place *p, struct place_ask *a, const char *reason)
{
	p->totals.unfit_refusals++;
	place_ask_refuse(p, a, NULL, reason, UINT32_MAX);
	p->decisions[p->ndecisions - 1].elsewhere = true;
	return true;
}

bool
place_room_refuse(struct place *p, struct place_ask *a)
{
	const struct gw_service *s = p->config == NULL
	    ? NULL
	    : gw_config_find_service(p->config, a->service);
	const struct gw_model *m;

	if (s == NULL || !s->has_engine || a->key == NULL)
		return false;
	m = find_model(&s->engine, a->model);
	if (m == NULL || is_held_somewhere(p, a->key))
		return false;
	if (!has_memory(&s->engine, 0, m->weights_kb))
		return refuse(p, a, "model-exceeds-memory");
	if (a->adapter != NULL &&
	    !has_memory(&s->engine, m->weights_kb, m->adapter_kb))
		return refuse(p, a, "adapter-exceeds-memory");
	if (a->adapter != NULL && s->engine.adapter_slots == 0)
		return refuse(p, a, "no-adapter-slots");
	return false;
}

bool
place_room_refuse_by_engines(struct place *p, struct place_ask *a)
{
	return a->adapter != NULL && !is_held_somewhere(p, a->key) &&
	    do_weights_leave_no_room(p, a) &&
	    refuse(p, a, "adapter-exceeds-memory");
}
