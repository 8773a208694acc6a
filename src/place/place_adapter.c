#include <stdlib.h>
#include <string.h>

#include "place/place_internal.h"
#include "util/mem.h"

/*
 * What engines hold, and the table of it.
 *
 * An announcement lags behind orders, so it corrects only what has been as it
 * is for a while. What is on its way counts against the places like what is
 * there.
 */
#define SETTLED_US (1000 * US_PER_MS)
/* One engine more is worth half a load at once beside the least number. */
#define ENGINES_PER_LOAD 2u

char *
place_adapter_key(const char *model, const char *adapter)
{
	size_t len = strlen(model), more;
	char *key;

	if (adapter == NULL || *adapter == '\0')
		return mem_string(model);
	more = strlen(adapter);
	key = mem_alloc(len + more + 2, 1);
	memcpy(key, model, len);
	key[len] = '/';
	memcpy(key + len + 1, adapter, more);
	return key;
}

struct place_adapter *
place_adapter_find(const struct place_endpoint *e, const char *key)
{
	return map_get_str(e->adapters, key);
}

struct place_adapter *
place_adapter_add(struct place_endpoint *e, const char *model,
    const char *adapter, enum adapter_state state, uint64_t now_us)
{
	struct place_adapter *a = mem_alloc(1, sizeof(*a));

	a->key = place_adapter_key(model, adapter);
	a->model = mem_string(model);
	if (adapter != NULL && *adapter != '\0')
		a->adapter = mem_string(adapter);
	a->state = state;
	a->since_us = a->used_us = now_us;
	(void)map_set_str(e->adapters, a->key, a);
	return a;
}

static bool
is_on_its_way(const struct place_adapter *a)
{
	return a->state == ADAPTER_ORDERED || a->state == ADAPTER_LOADING;
}

/* The load is over: its share of the store is free again. */
void
place_adapter_load_over(struct place *p, struct place_adapter *a)
{
	if (!a->cold)
		return;
	a->cold = false;
	if (a->adapter == NULL) {
		if (p->weights_loading > 0)
			p->weights_loading--;
	} else if (p->loading > 0) {
		p->loading--;
	}
}

void
place_adapter_remove(struct place *p, struct place_endpoint *e,
    struct place_adapter *a, bool lately)
{
	char **slot;

	if (is_on_its_way(a))
		place_adapter_load_over(p, a);
	if (lately && a->adapter != NULL) {
		slot = &e->lately[e->lately_at++ % PLACE_LATELY_MAX];
		free(*slot);
		*slot = mem_string(a->key);
	}
	(void)map_remove_str(e->adapters, a->key);
	free(a->key);
	free(a->model);
	free(a->adapter);
	free(a);
}

bool
place_adapter_was_lately(const struct place_endpoint *e, const char *key)
{
	size_t i;

	for (i = 0; i < PLACE_LATELY_MAX; i++)
		if (e->lately[i] != NULL && strcmp(e->lately[i], key) == 0)
			return true;
	return false;
}

bool
place_adapter_is_current(const struct place *p, const struct place_adapter *a)
{
	return a->state == ADAPTER_LOADED &&
	    a->version >= place_version_of(p, a->key);
}

const struct gw_engine *
place_engine_of(const struct place *p, const struct place_endpoint *e)
{
	const struct gw_service *s =
	    p->config == NULL ? NULL : gw_config_service(p->config, e->service);

	return s == NULL || !s->has_engine ? NULL : &s->engine;
}

/* Could it be unloaded without harm to a request? */
static bool
is_evictable(const struct place_adapter *a)
{
	return a->adapter != NULL && a->state == ADAPTER_LOADED &&
	    a->running == 0 && a->waiting == 0;
}

bool
place_adapter_has_room(const struct place *p, const struct place_endpoint *e)
{
	const struct gw_engine *engine = place_engine_of(p, e);
	const struct place_adapter *a;
	size_t i, taken = 0;

	if (engine == NULL || e->fenced)
		return false;
	for (i = 0; i < map_count(e->adapters); i++) {
		a = map_at(e->adapters, i);
		taken += a->adapter != NULL && !is_evictable(a);
	}
	return taken < engine->adapter_slots;
}

uint32_t
place_adapter_loads_at_once(const struct place *p)
{
	uint32_t scaled = (uint32_t)map_count(p->endpoints) / ENGINES_PER_LOAD;

	return scaled > p->options.adapter_loads ? scaled
						 : p->options.adapter_loads;
}

uint32_t
place_adapter_load_ms(
    const struct place *p, const struct place_endpoint *e, const char *key)
{
	uint32_t ms = p->options.adapter_load_ms;
	uint32_t most = place_adapter_loads_at_once(p);

	if (place_adapter_was_lately(e, key))
		return ms / PLACE_LATELY_FACTOR;
	/* Further ones wait for their turn. */
	return p->loading < most ? ms
				 : ms + ms * (p->loading - most + 1) / most;
}

void
place_adapter_want(
    struct place *p, struct place_endpoint *e, const struct place_ask *ask)
{
	struct place_adapter *a = place_adapter_find(e, ask->key);
	uint32_t version = place_version_of(p, ask->key);

	if (a == NULL) {
		a = place_adapter_add(
		    e, ask->model, ask->adapter, ADAPTER_WANTED, p->now_us);
	} else if (a->state == ADAPTER_LOADED) {
		a->replacing = true;
		a->state = ADAPTER_WANTED;
		a->since_us = p->now_us;
	} else {
		return;
	}
	a->wanted_version = version;
	a->ready_us = p->now_us +
	    (uint64_t)place_adapter_load_ms(p, e, ask->key) * US_PER_MS;
}

/* ---- announcements and reports ------------------------------------------ */

static bool
lists(const struct gw_loaded *list, size_t n, const struct place_adapter *a)
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

/* Take one entry of a list of what is loaded. */
static void
merge_loaded(
    struct place *p, struct place_endpoint *e, const struct gw_loaded *loaded)
{
	char *key = place_adapter_key(loaded->model, loaded->adapter);
	struct place_adapter *a = place_adapter_find(e, key);

	if (a == NULL) {
		a = place_adapter_add(e, loaded->model, loaded->adapter,
		    ADAPTER_LOADED, p->now_us);
		a->version = loaded->version;
		e->changed = true;
	} else if (a->state == ADAPTER_LOADED &&
	    a->version != loaded->version &&
	    p->now_us > a->since_us + SETTLED_US) {
		a->version = loaded->version;
		e->changed = true;
	} else if (a->state == ADAPTER_WANTED && !a->replacing &&
	    loaded->version >= a->wanted_version) {
		a->state = ADAPTER_LOADED;
		a->version = loaded->version;
		a->since_us = p->now_us;
		e->changed = true;
	}
	free(key);
}

/* What has long been loaded and is not listed is gone. */
static void
merge_missing(struct place *p, struct place_endpoint *e,
    const struct gw_loaded *list, size_t n)
{
	struct place_adapter *a;
	size_t i = map_count(e->adapters);

	while (i-- > 0) {
		a = map_at(e->adapters, i);
		if (a->state != ADAPTER_LOADED || a->running > 0 ||
		    p->now_us < a->since_us + SETTLED_US || lists(list, n, a))
			continue;
		place_adapter_remove(p, e, a, false);
		e->changed = true;
	}
}

void
place_adapter_merge(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a)
{
	size_t i;

	for (i = 0; i < a->nloaded; i++)
		merge_loaded(p, e, &a->loaded[i]);
	merge_missing(p, e, a->loaded, a->nloaded);
}

void
place_adapter_replace(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a)
{
	struct place_adapter *known;
	size_t i = map_count(e->adapters);

	while (i-- > 0) {
		known = map_at(e->adapters, i);
		if (!lists(a->loaded, a->nloaded, known))
			place_adapter_remove(p, e, known, false);
	}
	for (i = 0; i < a->nloaded; i++)
		merge_loaded(p, e, &a->loaded[i]);
	for (i = 0; i < map_count(e->adapters); i++) {
		known = map_at(e->adapters, i);
		known->state = ADAPTER_LOADED;
	}
}

/* Is it on its way though this placer has not ordered it? */
static void
merge_pending(
    struct place *p, struct place_endpoint *e, const struct gw_loaded *pending)
{
	char *key = place_adapter_key(pending->model, pending->adapter);
	struct place_adapter *a = place_adapter_find(e, key);

	if (a == NULL || a->state == ADAPTER_WANTED) {
		if (a == NULL)
			a = place_adapter_add(e, pending->model,
			    pending->adapter, ADAPTER_LOADING, p->now_us);
		a->state = ADAPTER_LOADING;
		a->version = pending->version;
		a->ready_us =
		    p->now_us + p->options.adapter_load_ms * US_PER_MS;
	}
	free(key);
}

/* A list that says that some order was not carried out after all. */
static void
forget_orders(
    struct place *p, struct place_endpoint *e, const struct gw_report *report)
{
	struct place_adapter *a;
	size_t i = map_count(e->adapters);

	while (i-- > 0) {
		a = map_at(e->adapters, i);
		if (!is_on_its_way(a) ||
		    lists(report->loaded, report->nloaded, a) ||
		    lists(report->pending, report->npending, a) || report->busy)
			continue;
		place_adapter_load_over(p, a);
		a->state = ADAPTER_WANTED;
	}
}

#define REPORT_AGAIN_US (500 * US_PER_MS)
#define BUSY_AGAIN_US	(250 * US_PER_MS)

void
place_reported(struct place *p, uint64_t now_us, const char *endpoint,
    const struct gw_report *report)
{
	struct place_endpoint *e = map_get_str(p->endpoints, endpoint);
	size_t i;

	if (e == NULL)
		return;
	p->now_us = now_us;
	e->ordering = false;
	place_wake(p, 0);
	if (report == NULL) {
		e->quiet_until_us = now_us + REPORT_AGAIN_US;
		return;
	}
	for (i = 0; i < report->nloaded; i++)
		merge_loaded(p, e, &report->loaded[i]);
	for (i = 0; i < report->npending; i++)
		merge_pending(p, e, &report->pending[i]);
	merge_missing(p, e, report->loaded, report->nloaded);
	forget_orders(p, e, report);
	e->orders = report->orders;
	e->orders_known = true;
	if (report->busy)
		e->quiet_until_us = now_us + BUSY_AGAIN_US;
	if (e->changed)
		place_note_change(p, e->id, false);
	e->changed = false;
}
