#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "place/place_guard.h"
#include "place/place_room.h"
#include "util/buf.h"
#include "util/mem.h"

/*
 * The weights and adapters that engines have loaded or are loading.
 *
 * An engine that is ordered to load more adapters than it has slots crashes.
 * Adapters that are being loaded, or may still be loaded, therefore use a slot
 * like loaded ones until an answer or a report says otherwise.
 */

/*
 * A load that a report lists as pending is assumed to be ready after this time,
 * unless another report says otherwise.
 */
#define PENDING_LOAD_US (100 * US_PER_MS)
/* How long a computed victim_demand is used. */
#define VICTIM_VALID_US (50 * US_PER_MS)
/* Concurrent loads for each nine engines, to begin with. */
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
	a->size_kb = place_room_size_kb(e->engine, model, a->adapter != NULL);
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

void
place_adapter_doubt_all(struct place_endpoint *e)
{
	struct place_adapter *a;
	size_t i;

	for (i = 0; i < map_count(e->adapters); i++) {
		a = map_at(e->adapters, i);
		a->is_surely_held = false;
	}
}

void
place_adapter_record_run(
    struct place_endpoint *e, struct place_adapter *a, uint64_t granted_us)
{
	if (a->is_surely_held || !e->orders_known ||
	    granted_us < e->reported_us)
		return;
	a->is_surely_held = a->is_held_at_count = true;
	a->doubt_count_plus_one = 0;
}

/*
 * The engine has counted an order that is not known here: it may be an unload
 * of an adapter on which a request began to run before.
 */
static void
doubt_held_at_count(struct place_endpoint *e)
{
	struct place_adapter *a;
	size_t i;

	for (i = 0; i < map_count(e->adapters); i++) {
		a = map_at(e->adapters, i);
		if (a->is_held_at_count)
			a->is_surely_held = a->is_held_at_count = false;
	}
}

static bool
is_load_ordered(const struct place_adapter *a)
{
	return a->state == ADAPTER_ORDERED || a->state == ADAPTER_LOADING;
}

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
    struct place_adapter *a, bool was_unloaded)
{
	if (is_load_ordered(a))
		place_adapter_release_store(p, a);
	if (was_unloaded && a->adapter != NULL)
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
    const struct place_endpoint *e, uint64_t key_hash)
{
	size_t i;

	for (i = 0; i < PLACE_RECENT_UNLOADS_MAX; i++)
		if (e->recent_unloads[i] == key_hash)
			return true;
	return false;
}

bool
place_adapter_is_current(const struct place *p, const struct place_adapter *a)
{
	return a->state == ADAPTER_LOADED &&
	    a->version >= place_required_version(p, a->key);
}

bool
place_adapter_is_evictable(const struct place_adapter *a)
{
	return a->adapter != NULL && a->state == ADAPTER_LOADED &&
	    (!place_guards.pins || (a->running == 0 && a->waiting == 0));
}

/*
 * The first limit grows with the number of engines, so that a large fleet is
 * not held to the setting for a small one. An engine refuses more than
 * PLACE_LOADS_PER_ENGINE_MAX loads.
 */
struct place_store_bounds
place_adapter_store_bounds(const struct place *p)
{
	uint32_t scaled = (p->owned_engines * LOADS_PER_NINE + 4) / 9;
	struct place_store_bounds bounds;

	bounds.min =
	    fmax(place_share_scale(p, (double)p->options.max_adapter_loads), 1);
	bounds.max = (double)p->owned_engines * PLACE_LOADS_PER_ENGINE_MAX;
	bounds.first = fmax(scaled, ceil(bounds.min));
	return bounds;
}

uint32_t
place_adapter_store_loads_max(const struct place *p)
{
	return place_store_limit(&p->store, place_adapter_store_bounds(p));
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
place_adapter_victim_demand(
    const struct place *p, struct place_endpoint *e, uint64_t adapter_kb)
{
	const struct place_adapter *victim;

	if (e->victim_computed_us != 0 &&
	    p->now_us < e->victim_computed_us + VICTIM_VALID_US)
		return e->victim_demand;
	victim = place_room_choose_victim(p, e, NULL, adapter_kb);
	e->victim_computed_us = p->now_us;
	e->victim_demand =
	    victim == NULL ? 0 : place_demand_per_copy(p, victim->key);
	return e->victim_demand;
}

uint32_t
place_adapter_load_ms(const struct place *p, bool is_warm)
{
	uint32_t ms = (uint32_t)place_store_load_ms(&p->store, p->now_us);

	return is_warm ? ms / PLACE_WARM_LOAD_DIVISOR : ms;
}

uint32_t
place_adapter_wait_ms(const struct place *p, bool is_warm)
{
	uint32_t ms = place_adapter_load_ms(p, is_warm);
	double max =
	    place_store_sure_limit(&p->store, place_adapter_store_bounds(p));
	uint32_t queue = p->store_loads + p->queued_store_loads;

	if (is_warm || queue < max)
		return ms;
	return ms + (uint32_t)(ms * (queue - max + 1) / fmax(max, 1));
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
is_listed(
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

/* Apply one item of a list of loaded or pending adapters. */
static void
apply_listed(struct place *p, struct place_endpoint *e,
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
		a->ready_us = p->now_us + PENDING_LOAD_US;
	free(key);
}

/*
 * Remove adapters that are neither loaded nor pending by the lists. Those
 * that are only wanted stay, and those that requests wait for become wanted
 * again.
 */
static void
remove_unlisted(struct place *p, struct place_endpoint *e,
    const struct gw_loaded_model *loaded, size_t nloaded,
    const struct gw_loaded_model *pending, size_t npending)
{
	struct place_adapter *a;
	size_t i = map_count(e->adapters);

	while (i-- > 0) {
		a = map_at(e->adapters, i);
		if (is_listed(loaded, nloaded, a) ||
		    is_listed(pending, npending, a) ||
		    (a->state == ADAPTER_WANTED && !a->is_replacing))
			continue;
		if (a->waiting > 0 && a->adapter != NULL) {
			place_adapter_release_store(p, a);
			a->is_replacing = a->is_surely_held = false;
			place_adapter_set_state(e, a, ADAPTER_WANTED);
		} else {
			place_adapter_remove(p, e, a, false);
		}
		e->is_changed = true;
	}
}

/*
 * An announcement may be delayed by seconds, and its list lags behind the
 * engine's state. It is used only until this placer has a report of the
 * endpoint or gives it its first order. From then on the state follows the
 * orders, and reports where their result is uncertain.
 */
void
place_adapter_merge_announced(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a)
{
	if (e->has_been_ordered || e->orders_known)
		return;
	place_adapter_set_loaded(p, e, a);
}

void
place_adapter_set_loaded(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a)
{
	size_t i;

	remove_unlisted(p, e, a->loaded, a->nloaded, NULL, 0);
	for (i = 0; i < a->nloaded; i++)
		if (!e->is_foreign || a->loaded[i].adapter == NULL)
			apply_listed(p, e, &a->loaded[i], ADAPTER_LOADED);
}

/* Is an adapter surely held, or surely not so far? */
static bool
is_certain(const struct place_adapter *a)
{
	if (a->adapter == NULL ||
	    (!a->is_replacing &&
		(a->state == ADAPTER_WANTED || a->state == ADAPTER_ORDERED)))
		return true;
	return a->is_surely_held && a->doubt_count_plus_one == 0;
}

uint64_t
place_get_held_at(const struct place *p, size_t i)
{
	const struct place_endpoint *e = map_at(p->endpoints, i);
	size_t k;

	if (e->engine == NULL || e->is_foreign || !place_is_placer(p))
		return e->told_held_at_and_one;
	for (k = 0; k < map_count(e->adapters); k++)
		if (!is_certain(map_at(e->adapters, k)))
			return 0;
	return e->orders_known ? e->accepted_orders + 1 : 0;
}

void
place_apply_held_at(
    struct place *p, const char *id, uint64_t born_ms, uint64_t held_at_and_one)
{
	struct place_endpoint *e = map_get_str(p->endpoints, id);

	if (e != NULL && e->born_ms == born_ms)
		e->told_held_at_and_one = held_at_and_one;
}

/* The placer before has told that the engine holds what it reports. */
static void
trust_all(struct place_endpoint *e)
{
	struct place_adapter *a;
	size_t i;

	for (i = 0; i < map_count(e->adapters); i++) {
		a = map_at(e->adapters, i);
		if (a->is_surely_held || a->state == ADAPTER_WANTED)
			continue;
		a->is_surely_held = a->is_held_at_count = true;
		a->doubt_count_plus_one = 0;
	}
}

#define REPORT_RETRY_US (500 * US_PER_MS)
#define BUSY_BACKOFF_US (250 * US_PER_MS)
/* Interval of reports until one is new enough. */
#define UNSURE_RETRY_US (60 * US_PER_MS)

static bool
lists_key(const struct gw_loaded_model *list, size_t n, const char *key)
{
	char *listed;
	bool is_same = false;
	size_t i;

	for (i = 0; i < n && !is_same; i++) {
		listed = place_adapter_key(list[i].model, list[i].adapter);
		is_same = strcmp(listed, key) == 0;
		free(listed);
	}
	return is_same;
}

/*
 * Whether a report may be older than an unload of which it is not known whether
 * the engine has counted it. One that does not list the adapter is of a time
 * after the unload, or there was nothing to unload.
 */
static bool
is_too_early(const struct place_endpoint *e, uint64_t now_us,
    const struct gw_report *report)
{
	return e->unsure_key != NULL &&
	    now_us < e->last_accepted_us + PLACE_REPORT_LAG_US &&
	    (report->accepted_orders < e->accepted_orders ||
		lists_key(report->loaded, report->nloaded, e->unsure_key) ||
		lists_key(report->pending, report->npending, e->unsure_key));
}

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
		e->backoff_until_us = now_us + REPORT_RETRY_US;
		return;
	}
	if (is_too_early(e, now_us, report)) {
		e->needs_report = true;
		e->backoff_until_us = now_us + UNSURE_RETRY_US;
		return;
	}
	free(e->unsure_key);
	e->unsure_key = NULL;
	remove_unlisted(p, e, report->loaded, report->nloaded, report->pending,
	    report->npending);
	for (i = 0; i < report->nloaded; i++)
		apply_listed(p, e, &report->loaded[i], ADAPTER_LOADED);
	for (i = 0; i < report->npending; i++)
		apply_listed(p, e, &report->pending[i], ADAPTER_LOADING);
	if (e->accepted_orders != report->accepted_orders)
		doubt_held_at_count(e);
	if (e->told_held_at_and_one == report->accepted_orders + 1)
		trust_all(e);
	e->accepted_orders = report->accepted_orders;
	e->orders_known = true;
	e->reported_us = now_us;
	if (report->busy)
		e->backoff_until_us = now_us + BUSY_BACKOFF_US;
	if (e->is_changed)
		place_change_add(p, e->id, false);
	p->capacity_generation += e->is_changed;
	e->is_changed = false;
}
