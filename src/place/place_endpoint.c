#include <stdlib.h>
#include <string.h>

#include "place/place_guard.h"
#include "place/place_room.h"
#include "util/mem.h"

/* The table of endpoints, by their announcements. */

static void
free_names(char ***names, size_t *count)
{
	while (*count > 0)
		free((*names)[--*count]);
	free(*names);
	*names = NULL;
}

void
place_endpoint_free(struct place_endpoint *e)
{
	struct place_adapter *a;
	size_t i;

	for (i = 0; i < map_count(e->adapters); i++) {
		a = map_at(e->adapters, i);
		free(a->key);
		free(a->model);
		free(a->adapter);
		free(a);
	}
	map_destroy(e->adapters);
	for (i = 0; i < map_count(e->cached_parts); i++)
		free(map_at(e->cached_parts, i));
	map_destroy(e->cached_parts);
	free_names(&e->on_disk, &e->n_on_disk);
	free_names(&e->in_memory, &e->n_in_memory);
	free(e->order_key);
	free(e->unsure_key);
	free(e->id);
	free(e->service);
	free(e->address);
	free(e->data_centre);
	free(e);
}

static void
set_copies(struct place_endpoint *e, const struct gw_announcement *a)
{
	size_t i;

	free_names(&e->on_disk, &e->n_on_disk);
	free_names(&e->in_memory, &e->n_in_memory);
	e->on_disk = mem_alloc(a->ncopies + 1, sizeof(*e->on_disk));
	e->in_memory = mem_alloc(a->ncopies + 1, sizeof(*e->in_memory));
	for (i = 0; i < a->ncopies; i++)
		if (a->copies[i].in_memory)
			e->in_memory[e->n_in_memory++] =
			    mem_string(a->copies[i].model);
		else
			e->on_disk[e->n_on_disk++] =
			    mem_string(a->copies[i].model);
}

/* Remove an endpoint; its granted requests are no longer accounted for. */
void
place_endpoint_remove(struct place *p, struct place_endpoint *e)
{
	struct place_ask *a;
	size_t i;

	for (i = 0; i < map_count(p->asks); i++) {
		a = map_at(p->asks, i);
		if (a->endpoint == e)
			a->endpoint = NULL;
	}
	while (map_count(e->adapters) > 0)
		place_adapter_remove(p, e, map_at(e->adapters, 0), false);
	place_limit_clear(p, e);
	place_change_add(p, e->id, true);
	place_group_remove(p, e);
	(void)map_remove_str(p->endpoints, e->id);
	place_endpoint_free(e);
}

static uint64_t
silent_after_us(uint32_t heartbeat_ms)
{
	return (uint64_t)heartbeat_ms * US_PER_MS * PLACE_SILENT_HEARTBEATS;
}

void
place_endpoint_remove_silent(struct place *p)
{
	uint64_t silent_us = silent_after_us(p->options.heartbeat_ms);
	struct place_endpoint *e;
	size_t i = map_count(p->endpoints);

	while (i-- > 0) {
		e = map_at(p->endpoints, i);
		if ((silent_us > 0 &&
			p->now_us > e->announced_us + silent_us) ||
		    (e->remove_at_us != 0 && p->now_us >= e->remove_at_us)) {
			place_remember_silent(p, e);
			place_endpoint_remove(p, e);
		}
	}
}

static struct place_endpoint *
endpoint_create(struct place *p, const char *id, const char *service)
{
	struct place_endpoint *e = mem_alloc(1, sizeof(*e));

	e->id = mem_string(id);
	e->service = mem_string(service);
	e->adapters = map_create();
	e->cached_parts = map_create();
	place_endpoint_init_speed(p, e);
	e->last_progress_us = p->now_us;
	e->is_foreign = p->owner_count > 1; /* until its owner is known */
	(void)map_set_str(p->endpoints, e->id, e);
	place_group_add(p, e);
	return e;
}

static void
set_engine(const struct place *p, struct place_endpoint *e)
{
	const struct gw_service *s = p->config == NULL
	    ? NULL
	    : gw_config_find_service(p->config, e->service);

	e->engine = s != NULL && s->has_engine ? &s->engine : NULL;
	place_room_update_sizes(e);
}

void
place_endpoint_update_engines(struct place *p)
{
	size_t i;

	for (i = 0; i < map_count(p->endpoints); i++)
		set_engine(p, map_at(p->endpoints, i));
}

static bool
replace_text(char **at, const char *text)
{
	if (*at != NULL && strcmp(*at, text) == 0)
		return false;
	free(*at);
	*at = mem_string(text);
	return true;
}

static bool
set_service(struct place *p, struct place_endpoint *e, const char *service)
{
	if (strcmp(e->service, service) == 0)
		return false;
	place_group_remove(p, e);
	(void)replace_text(&e->service, service);
	place_group_add(p, e);
	return true;
}

/* The earliest process start accepted for an id that left; 0: any. */
static uint64_t
min_born_of(const struct place *p, const char *id)
{
	const uint64_t *born = map_get_str(p->departed, id);

	return born == NULL ? 0 : *born;
}

/*
 * Limit of departed or leaving processes that are remembered. The oldest one is
 * dropped then, which is safe as delayed announcements arrive within seconds.
 */
#define DEPARTED_MAX 4096

void
place_remember_born(struct map *m, const char *id, uint64_t born_ms)
{
	uint64_t *born = mem_alloc(1, sizeof(*born));

	if (map_count(m) >= DEPARTED_MAX)
		free(map_remove_str(m, map_key_at(m, 0, NULL)));
	*born = born_ms;
	free(map_set_str(m, id, born));
}

void
place_endpoint_mark_leaving(struct place *p, const char *id, uint64_t born_ms)
{
	struct place_endpoint *e = map_get_str(p->endpoints, id);

	if (e == NULL || e->born_ms > born_ms || e->leaving)
		return;
	e->leaving = true;
	place_change_add(p, id, false);
}

bool
place_is_marked_leaving(const struct place *p, const char *id, uint64_t born_ms)
{
	const uint64_t *born = map_get_str(p->leaving, id);

	return born != NULL && *born >= born_ms;
}

void
place_set_leaving(
    struct place *p, uint64_t now_us, const char *id, uint64_t born_ms)
{
	p->now_us = now_us;
	if (!place_is_marked_leaving(p, id, born_ms))
		place_remember_born(p->leaving, id, born_ms);
	place_endpoint_mark_leaving(p, id, born_ms);
}

bool
place_is_leaving(const struct place *p, const char *id, uint64_t born_ms)
{
	return place_is_marked_leaving(p, id, born_ms) ||
	    place_has_left_before(p, id, born_ms);
}

bool
place_leaving_at(
    const struct place *p, size_t i, const char **id, uint64_t *born_ms)
{
	if (i >= map_count(p->leaving))
		return false;
	*id = map_key_at(p->leaving, i, NULL);
	*born_ms = *(const uint64_t *)map_at(p->leaving, i);
	return true;
}

static void
remember_departed(struct place *p, const struct place_endpoint *e)
{
	place_remember_born(p->departed, e->id, e->born_ms + 1);
}

/*
 * Is a later process known at the announced address? Earlier ones at that
 * address are removed.
 */
static bool
is_address_superseded(struct place *p, const struct gw_announcement *a)
{
	struct place_endpoint *e;
	size_t i = map_count(p->endpoints);

	while (i-- > 0) {
		e = map_at(p->endpoints, i);
		if (strcmp(e->address, a->address) != 0 ||
		    strcmp(e->id, a->id) == 0)
			continue;
		if (e->born_ms > a->born_ms)
			return true;
		remember_departed(p, e);
		place_endpoint_remove(p, e);
	}
	return false;
}

static bool
is_stale(const struct place_endpoint *e, const struct gw_announcement *a)
{
	if (a->born_ms != e->born_ms)
		return a->born_ms < e->born_ms;
	return a->sequence <= e->sequence;
}

/*
 * Create or update an endpoint from an announcement. A new process with the
 * same id replaces the endpoint, as it has nothing of what the previous one had
 * loaded. Sets *changed if anything but the time differs.
 */
static struct place_endpoint *
update_endpoint(struct place *p, struct place_endpoint *e,
    const struct gw_announcement *a, bool *changed)
{
	bool leaving =
	    a->leaving || place_is_known_leaving(p, a->id, a->born_ms);

	if (e != NULL && e->born_ms != a->born_ms) {
		place_endpoint_remove(p, e);
		e = NULL;
	}
	*changed |= e == NULL;
	if (e == NULL)
		e = endpoint_create(p, a->id, a->service);
	e->born_ms = a->born_ms;
	e->sequence = a->sequence;
	e->announced_us = p->now_us;
	e->table_round = p->table_round;
	e->remove_at_us = 0;
	*changed |= set_service(p, e, a->service);
	*changed |= replace_text(&e->address, a->address);
	*changed |= replace_text(&e->data_centre, a->data_centre);
	*changed |= e->slots != a->slots || e->leaving != leaving;
	e->slots = a->slots;
	e->leaving = leaving;
	return e;
}

enum place_announce_result
place_announce(struct place *p, uint64_t now_us,
    const struct gw_announcement *a, bool from_endpoint)
{
	struct place_endpoint *e = map_get_str(p->endpoints, a->id);
	uint64_t min_born = min_born_of(p, a->id);
	bool changed = false;

	p->now_us = now_us;
	if (e != NULL && place_guards.sequence && is_stale(e, a))
		return PLACE_ANNOUNCE_STALE;
	if (e == NULL && min_born > a->born_ms)
		return PLACE_ANNOUNCE_STALE;
	if (is_address_superseded(p, a))
		return PLACE_ANNOUNCE_STALE;
	e = update_endpoint(p, e, a, &changed);
	set_engine(p, e);
	place_share_update_engine(p, e);
	if (a->has_models)
		place_adapter_merge_announced(p, e, a);
	set_copies(e, a);
	p->capacity_generation += changed;
	changed |= e->is_changed;
	e->is_changed = false;
	if (changed && from_endpoint)
		place_change_add(p, e->id, false);
	place_schedule_run(p, 0);
	return changed ? PLACE_ANNOUNCE_CHANGED : PLACE_ANNOUNCE_UNCHANGED;
}

void
place_apply_entry(
    struct place *p, uint64_t now_us, const struct gw_announcement *a)
{
	struct place_endpoint *e = map_get_str(p->endpoints, a->id);
	bool changed = false;

	p->now_us = now_us;
	e = update_endpoint(p, e, a, &changed);
	set_engine(p, e);
	place_share_update_engine(p, e);
	if (p->ownership_fn != NULL && !e->is_foreign)
		place_adapter_merge_announced(p, e, a);
	else
		place_adapter_set_loaded(p, e, a);
	p->capacity_generation++;
	place_schedule_run(p, 0);
}

void
place_set_heartbeat(struct place *p, uint32_t heartbeat_ms)
{
	p->options.heartbeat_ms = heartbeat_ms;
}

bool
place_is_placer(const struct place *p)
{
	return p->options.heartbeat_ms != 0 || p->owner_count > 0;
}

bool
place_endpoint_leave(struct place *p, uint64_t now_us, const char *id)
{
	struct place_endpoint *e = map_get_str(p->endpoints, id);

	p->now_us = now_us;
	if (e == NULL)
		return false;
	remember_departed(p, e);
	place_endpoint_remove(p, e);
	return true;
}

void
place_apply_removal(
    struct place *p, uint64_t now_us, const char *id, uint64_t min_born_ms)
{
	struct place_endpoint *e = map_get_str(p->endpoints, id);

	p->now_us = now_us;
	if (min_born_ms != 0)
		place_remember_born(p->departed, id, min_born_ms);
	if (e == NULL)
		return;
	place_remember_silent(p, e);
	place_endpoint_remove(p, e);
}

uint64_t
place_min_born_ms(const struct place *p, const char *id)
{
	return min_born_of(p, id);
}

void
place_begin_whole_table(struct place *p)
{
	p->table_round++;
}

void
place_end_whole_table(struct place *p, uint64_t now_us, uint32_t heartbeat_ms)
{
	struct place_endpoint *e;
	size_t i = map_count(p->endpoints);

	p->now_us = now_us;
	while (i-- > 0) {
		e = map_at(p->endpoints, i);
		if (e->table_round == p->table_round)
			continue;
		if (heartbeat_ms == 0) {
			place_remember_silent(p, e);
			place_endpoint_remove(p, e);
		} else if (e->remove_at_us == 0) {
			e->remove_at_us =
			    now_us + silent_after_us(heartbeat_ms);
		}
	}
}

bool
place_has_heard_all(const struct place *p, uint64_t now_us, uint64_t since_us)
{
	return now_us >= since_us + silent_after_us(p->options.heartbeat_ms);
}

size_t
place_endpoint_count(const struct place *p)
{
	return map_count(p->endpoints);
}

bool
place_endpoint_index(const struct place *p, const char *id, size_t *index)
{
	size_t i;

	for (i = 0; i < map_count(p->endpoints); i++)
		if (strcmp(map_key_at(p->endpoints, i, NULL), id) == 0) {
			*index = i;
			return true;
		}
	return false;
}

void
place_endpoint_get(const struct place *p, size_t i, struct gw_announcement *out,
    struct node_effects *memory)
{
	const struct place_endpoint *e = map_at(p->endpoints, i);
	const struct place_adapter *a;
	struct gw_loaded_model *list = node_effects_alloc(
	    memory, (map_count(e->adapters) + 1) * sizeof(*list));
	size_t k;

	memset(out, 0, sizeof(*out));
	out->id = e->id;
	out->service = e->service;
	out->address = e->address;
	out->data_centre = e->data_centre;
	out->born_ms = e->born_ms;
	out->sequence = e->sequence;
	out->slots = e->slots;
	out->leaving = e->leaving;
	out->has_models = true;
	out->loaded = list;
	for (k = 0; k < map_count(e->adapters); k++) {
		a = map_at(e->adapters, k);
		if (a->state != ADAPTER_LOADED)
			continue;
		list[out->nloaded].model = a->model;
		list[out->nloaded].adapter = a->adapter;
		list[out->nloaded++].version = a->version;
	}
}
