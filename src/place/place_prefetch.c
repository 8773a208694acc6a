#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "place/place_room.h"
#include "util/mem.h"

/*
 * Loads of adapters that no request waits for yet.
 *
 * Two kinds of loads avoid more waits than they cause. An adapter in demand
 * that no engine has any more replaces one with much less demand: engines
 * unload by the demand of their own adapters, which differs from engine to
 * engine. And the adapters with the highest demand are copied to slots that are
 * free, as after a start. A copy that replaces another adapter causes more
 * loads than it avoids, also if that has a quarter of the demand.
 *
 * A load uses a slot of the store for a few 100 ms, so at least half of the
 * store's limit is left to requests that arrive meanwhile.
 */

/* Interval of searches, as they compare the demand for all adapters. */
#define INTERVAL_US (100 * US_PER_MS)
/* Decayed requests; an adapter with fewer may not be requested again. */
#define DEMAND_MIN 1.0
/* Least demand in relation to that for the adapter that is unloaded. */
#define VICTIM_FACTOR 4.0
/* Part of the store's limit that prefetches may use. */
#define STORE_SHARE_MAX 0.5

void
place_set_prefetch(struct place *p, bool prefetches)
{
	p->prefetches_adapters = prefetches;
}

bool
place_prefetch_may_load(const struct place *p)
{
	return p->prefetches_adapters &&
	    p->store_loads + p->queued_store_loads + 1 <=
	    STORE_SHARE_MAX * place_adapter_store_loads_max(p);
}

/* The part of the demand that another copy would get. */
static double
demand_of_copy(const struct place *p, const char *key)
{
	const struct place_demand *d = place_demand_find(p, key);
	double all = place_demand_per_copy(p, key) *
	    (d->nholders == 0 ? 1 : d->nholders);

	return all / (d->nholders + 1);
}

/* The adapter with the highest demand; unloaded: of those without a holder. */
static const char *
find_adapter(const struct place *p, bool unloaded)
{
	const struct place_demand *d;
	const char *key, *best = NULL;
	double value, most = DEMAND_MIN;
	size_t i;

	for (i = 0; i < map_count(p->demand); i++) {
		d = map_at(p->demand, i);
		key = map_key_at(p->demand, i, NULL);
		if (strchr(key, '/') == NULL || (unloaded && d->nholders > 0))
			continue;
		value = demand_of_copy(p, key);
		if (value <= most)
			continue;
		most = value;
		best = key;
	}
	return best;
}

/* Can the engine be ordered to load an adapter of the model now? */
static bool
takes_order(
    const struct place *p, const struct place_endpoint *e, const char *model)
{
	const struct place_adapter *weights = place_adapter_find(e, model);

	return !e->is_foreign && e->engine != NULL && !e->is_fenced &&
	    !e->call_in_flight && e->orders_known && !e->has_pending_adapters &&
	    p->now_us >= e->backoff_until_us && p->now_us >= e->order_from_us &&
	    place_endpoint_is_usable(p, e, e->service) && weights != NULL &&
	    weights->state == ADAPTER_LOADED;
}

bool
place_prefetch_may_unload(
    const struct place *p, const char *key, const struct place_adapter *victim)
{
	const struct place_demand *d = place_demand_find(p, key);

	/* a copy, as another engine has got it meanwhile */
	if (d == NULL || d->nholders > 1)
		return false;
	return place_demand_per_copy(p, victim->key) * VICTIM_FACTOR <
	    place_demand_per_copy(p, key);
}

/* The engine that loses least by the load; NULL: none loses little enough. */
static struct place_endpoint *
find_engine(
    const struct place *p, const char *key, const char *model, bool may_unload)
{
	struct place_endpoint *e, *best = NULL;
	const struct place_adapter *victim;
	double lost, least = INFINITY;
	uint64_t kb;
	size_t i;

	for (i = 0; i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		if (!takes_order(p, e, model) ||
		    place_adapter_find(e, key) != NULL)
			continue;
		kb = place_room_size_kb(e->engine, model, true);
		if (place_room_has(e, kb))
			return e;
		victim = may_unload && place_room_can_be_made(e, kb)
		    ? place_room_choose_victim(p, e, NULL, kb)
		    : NULL;
		if (victim == NULL ||
		    !place_prefetch_may_unload(p, key, victim))
			continue;
		lost = place_demand_per_copy(p, victim->key);
		if (lost >= least)
			continue;
		best = e;
		least = lost;
	}
	return best;
}

static bool
prefetch(struct place *p, bool unloaded)
{
	const char *key = find_adapter(p, unloaded);
	struct place_endpoint *e;
	struct place_adapter *a;
	char *model;

	if (key == NULL)
		return false;
	model = mem_string(key);
	*strchr(model, '/') = '\0';
	e = find_engine(p, key, model, unloaded);
	if (e != NULL) {
		a = place_adapter_add(
		    p, e, model, strchr(key, '/') + 1, ADAPTER_WANTED);
		a->wanted_version = place_required_version(p, a->key);
		a->ready_us = p->now_us +
		    (uint64_t)place_adapter_load_ms(p,
			place_adapter_was_recently_unloaded(e, a->key_hash)) *
			US_PER_MS;
		a->is_prefetch = true;
		a->load_rank = UINT32_MAX; /* after those that are waited for */
		p->totals.prefetches++;
		place_schedule_run(p, p->now_us);
	}
	free(model);
	return e != NULL;
}

void
place_prefetch_run(struct place *p)
{
	if (p->now_us < p->next_prefetch_us || !place_prefetch_may_load(p))
		return;
	p->next_prefetch_us = p->now_us + INTERVAL_US;
	if (!prefetch(p, true))
		(void)prefetch(p, false);
}
