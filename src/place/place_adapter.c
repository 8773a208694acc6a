#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "place/place_guard.h"
#include "place/place_internal.h"
#include "util/buf.h"
#include "util/mem.h"

/*
 * What engines hold, and the table of it.
 *
 * An engine that is ordered to load more than it has places for crashes. So
 * what is on its way, or may still be there, counts against the places like
 * what is there, until an answer or a report says otherwise.
 */
/* What a report tells to be on its way is there after so long, or asked again.
 */
#define PENDING_US (100 * US_PER_MS)
/* The worth of what would be unloaded next is worked out so often. */
#define VICTIM_KEPT_US (50 * US_PER_MS)
/* Loads at once for each nine engines, where that is more than the setting. */
#define LOADS_PER_NINE 4u

char *
place_adapter_key(const char *model, const char *adapter)
{
	struct buf key = {0};

	buf_puts(&key, model);
	if (adapter != NULL && *adapter != '\0')
		buf_printf(&key, "/%s", adapter);
	return key.data;
}

struct place_adapter *
place_adapter_find(const struct place_endpoint *e, const char *key)
{
	return map_get_str(e->adapters, key);
}

struct place_adapter *
place_adapter_add(struct place *p, struct place_endpoint *e, const char *model,
    const char *adapter, enum adapter_state state)
{
	struct place_adapter *a = mem_alloc(1, sizeof(*a));

	a->key = place_adapter_key(model, adapter);
	a->key_hash = XXH64(a->key, strlen(a->key), 0);
	a->model = mem_string(model);
	if (adapter != NULL && *adapter != '\0')
		a->adapter = mem_string(adapter);
	place_adapter_set_state(e, a, state);
	a->state_since_us = a->last_used_us = p->now_us;
	(void)map_set_str(e->adapters, a->key, a);
	place_demand_add_holder(p, a->key, e);
	if (a->adapter == NULL) {
		e->nweights++;
		e->weights = a;
	}
	e->victim_computed_us = 0;
	return a;
}

void
place_adapter_set_state(
    struct place_endpoint *e, struct place_adapter *a, enum adapter_state state)
{
	a->state = state;
	if (state != ADAPTER_LOADED)
		e->has_pending_adapters = true;
}

static bool
is_on_its_way(const struct place_adapter *a)
{
	return a->state == ADAPTER_ORDERED || a->state == ADAPTER_LOADING;
}

/* The load is over: its share of the store is free again. */
void
place_adapter_release_store(struct place *p, struct place_adapter *a)
{
	if (!a->from_store)
		return;
	a->from_store = false;
	if (a->adapter == NULL) {
		if (p->weights_loading > 0)
			p->weights_loading--;
	} else if (p->store_loads > 0) {
		p->store_loads--;
	}
}

void
place_adapter_remove(struct place *p, struct place_endpoint *e,
    struct place_adapter *a, bool lately)
{
	if (is_on_its_way(a))
		place_adapter_release_store(p, a);
	if (lately && a->adapter != NULL)
		e->recent_unloads[e->next_recent_unload++ %
		    PLACE_RECENT_UNLOADS_MAX] = a->key_hash;
	place_demand_remove_holder(p, a->key, e);
	e->nweights -= a->adapter == NULL;
	if (e->weights == a)
		e->weights = NULL;
	e->victim_computed_us = 0;
	p->capacity_generation++;
	(void)map_remove_str(e->adapters, a->key);
	free(a->key);
	free(a->model);
	free(a->adapter);
	free(a);
}

bool
place_adapter_was_recently_unloaded(
    const struct place_endpoint *e, uint64_t hash)
{
	size_t i;

	for (i = 0; i < PLACE_RECENT_UNLOADS_MAX; i++)
		if (e->recent_unloads[i] == hash)
			return true;
	return false;
}

bool
place_adapter_is_current(const struct place *p, const struct place_adapter *a)
{
	return a->state == ADAPTER_LOADED &&
	    a->version >= place_required_version(p, a->key);
}

/* Could it be unloaded without harm to a request? */
static bool
is_evictable(const struct place_adapter *a)
{
	return a->adapter != NULL && a->state == ADAPTER_LOADED &&
	    (!place_guards.pins || (a->running == 0 && a->waiting == 0));
}

bool
place_adapter_can_make_room(const struct place_endpoint *e)
{
	const struct gw_engine *engine = e->engine;
	const struct place_adapter *a;
	size_t i, taken = 0;

	if (engine == NULL || e->is_fenced)
		return false;
	for (i = 0; i < map_count(e->adapters); i++) {
		a = map_at(e->adapters, i);
		taken += a->adapter != NULL && !is_evictable(a);
	}
	return taken < engine->adapter_slots;
}

/* Grows with the engines, so that a large fleet isn't held to a small one's. */
uint32_t
place_adapter_store_loads_max(const struct place *p)
{
	uint32_t scaled = (p->owned_engines * LOADS_PER_NINE + 4) / 9;
	uint32_t least = (uint32_t)ceil(
	    place_share_scale(p, (double)p->options.max_adapter_loads));

	if (!place_guards.store)
		return UINT32_MAX;
	return scaled > least ? scaled : least;
}

struct place_adapter *
place_adapter_victim(const struct place *p, const struct place_endpoint *e)
{
	struct place_adapter *a, *best = NULL;
	double worth, least = 0;
	size_t i;

	for (i = 0; i < map_count(e->adapters); i++) {
		a = map_at(e->adapters, i);
		if (!is_evictable(a))
			continue;
		worth = place_demand_per_copy(p, a->key);
		if (best == NULL || worth < least ||
		    (worth == least && a->last_used_us < best->last_used_us)) {
			best = a;
			least = worth;
		}
	}
	return best;
}

void
place_adapter_schedule_waiting(struct place *p, const struct place_endpoint *e,
    const struct place_adapter *a)
{
	struct place_ask *ask;

	for (ask = p->queue_head; ask != NULL; ask = ask->next)
		if (ask->endpoint == e && ask->key != NULL &&
		    strcmp(ask->key, a->key) == 0)
			ask->evaluate_at_us = a->ready_us > PLACE_EARLY_SEND_US
			    ? a->ready_us - PLACE_EARLY_SEND_US
			    : 1;
	place_schedule_run(p, a->ready_us - PLACE_EARLY_SEND_US);
}

double
place_adapter_victim_demand(const struct place *p, struct place_endpoint *e)
{
	const struct place_adapter *victim;

	if (e->victim_computed_us != 0 &&
	    p->now_us < e->victim_computed_us + VICTIM_KEPT_US)
		return e->victim_demand;
	victim = place_adapter_victim(p, e);
	e->victim_computed_us = p->now_us;
	e->victim_demand =
	    victim == NULL ? 0 : place_demand_per_copy(p, victim->key);
	return e->victim_demand;
}

uint32_t
place_adapter_load_ms(const struct place *p, bool lately)
{
	uint32_t ms = p->options.adapter_load_ms;

	return lately ? ms / PLACE_WARM_LOAD_DIVISOR : ms;
}

uint32_t
place_adapter_wait_ms(const struct place *p, bool lately)
{
	uint32_t ms = p->options.adapter_load_ms;
	uint32_t most = place_adapter_store_loads_max(p);
	uint32_t queue = p->store_loads + p->queued_store_loads;

	if (lately || queue < most)
		return place_adapter_load_ms(p, lately);
	return ms + ms * (queue - most + 1) / most;
}

void
place_adapter_request_load(
    struct place *p, struct place_endpoint *e, const struct place_ask *ask)
{
	struct place_adapter *a = place_adapter_find(e, ask->key);
	uint32_t version = place_required_version(p, ask->key);

	if (a == NULL) {
		a = place_adapter_add(
		    p, e, ask->model, ask->adapter, ADAPTER_WANTED);
	} else if (a->state == ADAPTER_LOADED) {
		a->is_replacing = true;
		place_adapter_set_state(e, a, ADAPTER_WANTED);
		a->state_since_us = p->now_us;
	} else {
		return;
	}
	a->wanted_version = version;
	a->ready_us = p->now_us +
	    (uint64_t)place_adapter_wait_ms(
		p, place_adapter_was_recently_unloaded(e, ask->key_hash)) *
		US_PER_MS;
}

/* ---- announcements and reports ------------------------------------------ */

static bool
lists(
    const struct gw_loaded_model *list, size_t n, const struct place_adapter *a)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (strcmp(list[i].model, a->model) == 0 &&
		    (list[i].adapter == NULL ? a->adapter == NULL
					     : a->adapter != NULL &&
				strcmp(list[i].adapter, a->adapter) == 0))
			return true;
	return false;
}

/* Take one entry of a list of what is loaded, or on its way. */
static void
merge_loaded(struct place *p, struct place_endpoint *e,
    const struct gw_loaded_model *loaded, enum adapter_state state)
{
	char *key = place_adapter_key(loaded->model, loaded->adapter);
	struct place_adapter *a = place_adapter_find(e, key);

	if (a == NULL) {
		a = place_adapter_add(
		    p, e, loaded->model, loaded->adapter, state);
		e->is_changed = true;
	} else if (a->state != state) {
		place_adapter_release_store(p, a);
		place_adapter_set_state(e, a, state);
		a->is_replacing = false;
		a->state_since_us = p->now_us;
		e->is_changed = true;
	}
	if (a->version != loaded->version)
		e->is_changed = true;
	a->version = loaded->version;
	if (state == ADAPTER_LOADING)
		a->ready_us = p->now_us + PENDING_US;
	free(key);
}

/* What is not listed is not there; what is only wanted stays so. */
static void
drop_unlisted(struct place *p, struct place_endpoint *e,
    const struct gw_loaded_model *loaded, size_t nloaded,
    const struct gw_loaded_model *pending, size_t npending)
{
	struct place_adapter *a;
	size_t i = map_count(e->adapters);

	while (i-- > 0) {
		a = map_at(e->adapters, i);
		if (lists(loaded, nloaded, a) || lists(pending, npending, a) ||
		    (a->state == ADAPTER_WANTED && !a->is_replacing))
			continue;
		if (a->waiting > 0 && a->adapter != NULL) {
			place_adapter_release_store(p, a);
			a->is_replacing = false;
			place_adapter_set_state(e, a, ADAPTER_WANTED);
		} else {
			place_adapter_remove(p, e, a, false);
		}
		e->is_changed = true;
	}
}

/*
 * An announcement may be seconds late and lags anyway, so its list counts only
 * until this placer gives the endpoint its first order; from then on the
 * account follows the orders, and reports where these are in doubt.
 */
void
place_adapter_merge_announced(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a)
{
	if (e->has_been_ordered || (p->ownership_fn != NULL && e->orders_known))
		return;
	place_adapter_set_loaded(p, e, a);
}

void
place_adapter_set_loaded(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a)
{
	size_t i;

	drop_unlisted(p, e, a->loaded, a->nloaded, NULL, 0);
	for (i = 0; i < a->nloaded; i++)
		if (!e->is_foreign || a->loaded[i].adapter == NULL)
			merge_loaded(p, e, &a->loaded[i], ADAPTER_LOADED);
}

#define REPORT_AGAIN_US (500 * US_PER_MS)
#define BUSY_AGAIN_US	(250 * US_PER_MS)

void
place_on_report(struct place *p, uint64_t now_us, const char *endpoint,
    const struct gw_report *report)
{
	struct place_endpoint *e = map_get_str(p->endpoints, endpoint);
	size_t i;

	if (e == NULL)
		return;
	p->now_us = now_us;
	e->call_in_flight = false;
	place_schedule_run(p, 0);
	if (report == NULL) {
		e->needs_report = true;
		e->backoff_until_us = now_us + REPORT_AGAIN_US;
		return;
	}
	drop_unlisted(p, e, report->loaded, report->nloaded, report->pending,
	    report->npending);
	for (i = 0; i < report->nloaded; i++)
		merge_loaded(p, e, &report->loaded[i], ADAPTER_LOADED);
	for (i = 0; i < report->npending; i++)
		merge_loaded(p, e, &report->pending[i], ADAPTER_LOADING);
	e->accepted_orders = report->accepted_orders;
	e->orders_known = true;
	if (report->busy)
		e->backoff_until_us = now_us + BUSY_AGAIN_US;
	if (e->is_changed)
		place_change_add(p, e->id, false);
	p->capacity_generation += e->is_changed;
	e->is_changed = false;
}
