#include <stdlib.h>
#include <string.h>

#include "place/place_internal.h"
#include "util/mem.h"

/*
 * Endpoints and the account of what they were given.
 *
 * An endpoint that fails a good part of its calls is ejected for a while and
 * comes back by small numbers: it may pass every health check. Endpoints are
 * ejected one by one, never more than half of a service, as a fault that all
 * share has another cause.
 */
#define FAILURE_WEIGHT	0.25
#define FAILURE_EJECT	0.55
#define EJECT_FIRST_US	(1000 * US_PER_MS)
#define EJECT_DOUBLINGS 3u

#define SPEED_WEIGHT	0.2
#define SPEED_MIN	1.0
#define SPEED_MAX	80.0
#define SPEED_TOKENS	400u /* fewer tell more of other delays */
#define SERVICE_MS	50.0 /* before any call is measured */
#define SERVICE_WEIGHT	0.1

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
	for (i = 0; i < PLACE_LATELY_MAX; i++)
		free(e->lately[i]);
	for (i = 0; i < map_count(e->parts); i++)
		free(map_at(e->parts, i));
	map_destroy(e->parts);
	free_names(&e->on_disk, &e->non_disk);
	free_names(&e->in_memory, &e->nin_memory);
	free(e->order_key);
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

	free_names(&e->on_disk, &e->non_disk);
	free_names(&e->in_memory, &e->nin_memory);
	e->on_disk = mem_alloc(a->ncopies + 1, sizeof(*e->on_disk));
	e->in_memory = mem_alloc(a->ncopies + 1, sizeof(*e->in_memory));
	for (i = 0; i < a->ncopies; i++)
		if (a->copies[i].in_memory)
			e->in_memory[e->nin_memory++] =
			    mem_string(a->copies[i].model);
		else
			e->on_disk[e->non_disk++] =
			    mem_string(a->copies[i].model);
}

/* Requests that were granted there lose their account with it. */
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
	place_note_change(p, e->id, true);
	(void)map_remove_str(p->endpoints, e->id);
	place_endpoint_free(e);
}

void
place_endpoint_sweep(struct place *p)
{
	uint64_t silent_us =
	    (uint64_t)p->options.heartbeat_ms * US_PER_MS * PLACE_SILENT_BEATS;
	struct place_endpoint *e;
	size_t i = map_count(p->endpoints);

	while (silent_us > 0 && i-- > 0) {
		e = map_at(p->endpoints, i);
		if (p->now_us > e->heard_us + silent_us)
			place_endpoint_remove(p, e);
	}
}

static struct place_endpoint *
endpoint_create(struct place *p, const char *id)
{
	struct place_endpoint *e = mem_alloc(1, sizeof(*e));

	e->id = mem_string(id);
	e->adapters = map_create();
	e->parts = map_create();
	e->speed = PLACE_SPEED;
	e->service_ms = SERVICE_MS;
	e->progress_us = p->now_us;
	(void)map_set_str(p->endpoints, e->id, e);
	return e;
}

static void
set_engine(const struct place *p, struct place_endpoint *e)
{
	const struct gw_service *s =
	    p->config == NULL ? NULL : gw_config_service(p->config, e->service);

	e->engine = s != NULL && s->has_engine ? &s->engine : NULL;
}

void
place_endpoint_engines(struct place *p)
{
	size_t i;

	for (i = 0; i < map_count(p->endpoints); i++)
		set_engine(p, map_at(p->endpoints, i));
}

static bool
set_text(char **at, const char *text)
{
	if (*at != NULL && strcmp(*at, text) == 0)
		return false;
	free(*at);
	*at = mem_string(text);
	return true;
}

/* When the process of an id that has left was started; 0: it has not left. */
static uint64_t
gone_since(const struct place *p, const char *id)
{
	const uint64_t *born = map_get_str(p->gone, id);

	return born == NULL ? 0 : *born;
}

/*
 * Processes that left are remembered by id; the oldest of so many is forgotten,
 * as late announcements come within seconds.
 */
#define REMEMBERED_MAX 4096

static void
remember(struct map *m, const char *id, uint64_t born_ms)
{
	uint64_t *born = mem_alloc(1, sizeof(*born));

	if (map_count(m) >= REMEMBERED_MAX)
		free(map_remove_str(m, map_key_at(m, 0, NULL)));
	*born = born_ms;
	free(map_set_str(m, id, born));
}

void
place_set_leaving(
    struct place *p, uint64_t now_us, const char *id, uint64_t born_ms)
{
	struct place_endpoint *e = map_get_str(p->endpoints, id);

	p->now_us = now_us;
	if (!place_is_leaving(p, id, born_ms))
		remember(p->leaving, id, born_ms);
	if (e == NULL || e->born_ms > born_ms || e->leaving)
		return;
	e->leaving = true;
	place_note_change(p, id, false);
}

bool
place_is_leaving(const struct place *p, const char *id, uint64_t born_ms)
{
	const uint64_t *born = map_get_str(p->leaving, id);

	return born != NULL && *born >= born_ms;
}

bool
place_born(const struct place *p, const char *id, uint64_t *born_ms)
{
	const struct place_endpoint *e = map_get_str(p->endpoints, id);

	if (e != NULL)
		*born_ms = e->born_ms;
	return e != NULL;
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
note_gone(struct place *p, const struct place_endpoint *e)
{
	remember(p->gone, e->id, e->born_ms + 1);
}

/* Is another endpoint at the address, and does it count instead of this? */
static bool
yields_address(struct place *p, const struct gw_announcement *a)
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
		note_gone(p, e);
		place_endpoint_remove(p, e);
	}
	return false;
}

static bool
is_old(const struct place_endpoint *e, const struct gw_announcement *a)
{
	if (a->born_ms != e->born_ms)
		return a->born_ms < e->born_ms;
	return a->sequence <= e->sequence;
}

enum place_news
place_announce(struct place *p, uint64_t now_us,
    const struct gw_announcement *a, bool live)
{
	struct place_endpoint *e = map_get_str(p->endpoints, a->id);
	uint64_t gone = gone_since(p, a->id);
	bool leaving, changed = e == NULL;

	p->now_us = now_us;
	if (e != NULL && is_old(e, a))
		return PLACE_NEWS_OLD;
	if (e == NULL && gone > a->born_ms)
		return PLACE_NEWS_OLD;
	if (yields_address(p, a))
		return PLACE_NEWS_OLD;
	if (e != NULL && e->born_ms != a->born_ms) {
		place_endpoint_remove(
		    p, e); /* another process, it knows nothing */
		e = NULL;
		changed = true;
	}
	if (e == NULL)
		e = endpoint_create(p, a->id);
	e->born_ms = a->born_ms;
	e->sequence = a->sequence;
	e->heard_us = now_us;
	changed |= set_text(&e->service, a->service);
	changed |= set_text(&e->address, a->address);
	changed |= set_text(&e->data_centre, a->data_centre);
	leaving = a->leaving || place_is_leaving(p, a->id, a->born_ms);
	changed |= e->slots != a->slots || e->leaving != leaving;
	e->slots = a->slots;
	e->leaving = leaving;
	if (a->models_told)
		place_adapter_merge(p, e, a);
	set_copies(e, a);
	set_engine(p, e);
	p->freed += changed;
	changed |= e->changed;
	e->changed = false;
	if (changed && live)
		place_note_change(p, e->id, false);
	place_wake(p, 0);
	return changed ? PLACE_NEWS_CHANGED : PLACE_NEWS_SAME;
}

void
place_take_entry(
    struct place *p, uint64_t now_us, const struct gw_announcement *a)
{
	struct place_endpoint *e = map_get_str(p->endpoints, a->id);

	p->now_us = now_us;
	if (e != NULL && e->born_ms != a->born_ms) {
		place_endpoint_remove(p, e);
		e = NULL;
	}
	if (e == NULL)
		e = endpoint_create(p, a->id);
	e->born_ms = a->born_ms;
	e->sequence = a->sequence;
	e->heard_us = now_us;
	(void)set_text(&e->service, a->service);
	(void)set_text(&e->address, a->address);
	(void)set_text(&e->data_centre, a->data_centre);
	e->slots = a->slots;
	e->leaving = a->leaving || place_is_leaving(p, a->id, a->born_ms);
	set_engine(p, e);
	place_adapter_replace(p, e, a);
	p->freed++;
	place_wake(p, 0);
}

void
place_set_heartbeat(struct place *p, uint32_t heartbeat_ms)
{
	p->options.heartbeat_ms = heartbeat_ms;
}

bool
place_leave(struct place *p, uint64_t now_us, const char *id)
{
	struct place_endpoint *e = map_get_str(p->endpoints, id);

	p->now_us = now_us;
	if (e == NULL)
		return false;
	note_gone(p, e);
	place_endpoint_remove(p, e);
	return true;
}

void
place_forget_all(struct place *p, uint64_t now_us)
{
	p->now_us = now_us;
	while (map_count(p->endpoints) > 0)
		place_endpoint_remove(p, map_at(p->endpoints, 0));
}

size_t
place_count(const struct place *p)
{
	return map_count(p->endpoints);
}

bool
place_find(const struct place *p, const char *id, size_t *index)
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
place_at(const struct place *p, size_t i, struct gw_announcement *out,
    struct node_effects *memory)
{
	const struct place_endpoint *e = map_at(p->endpoints, i);
	const struct place_adapter *a;
	struct gw_loaded *list = node_effects_alloc(
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
	out->models_told = true;
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

/* ---- the account -------------------------------------------------------- */

bool
place_endpoint_usable(
    const struct place *p, const struct place_endpoint *e, const char *service)
{
	return !e->leaving && strcmp(e->service, service) == 0 &&
	    p->now_us >= e->eject_until_us;
}

void
place_endpoint_grant(
    struct place *p, struct place_endpoint *e, struct place_ask *a)
{
	if (e->unread == 0)
		e->progress_us = p->now_us;
	a->endpoint = e;
	a->granted = true;
	a->granted_us = p->now_us;
	e->running++;
	e->unread++;
	e->unread_tokens += a->unread_tokens;
	e->kv_tokens += a->prompt_tokens + a->max_tokens;
	a->ahead_tokens = (uint32_t)e->unread_tokens;
	p->totals.granted++;
}

/* The first byte is here: what was ahead of it and its own prompt are read. */
static void
note_begun(struct place *p, struct place_ask *a, const struct place_end *end)
{
	struct place_endpoint *e = a->endpoint;
	double took_ms, speed;

	if (a->begun)
		return;
	a->begun = true;
	e->unread--;
	e->unread_tokens -= a->unread_tokens;
	e->progress_us = p->now_us;
	took_ms = end->first_ms > 0
	    ? (double)end->first_ms
	    : (double)(p->now_us - a->granted_us) / (double)US_PER_MS;
	if (a->model == NULL || a->ahead_tokens < SPEED_TOKENS || took_ms < 1)
		return;
	speed = a->ahead_tokens / took_ms;
	if (speed < SPEED_MIN)
		speed = SPEED_MIN;
	if (speed > SPEED_MAX)
		speed = SPEED_MAX;
	e->speed += (speed - e->speed) * SPEED_WEIGHT;
}

/* How many endpoints of a service are there, and how many of them ejected? */
static bool
may_eject(const struct place *p, const struct place_endpoint *e)
{
	const struct place_endpoint *other;
	size_t i, all = 0, ejected = 1;

	for (i = 0; i < map_count(p->endpoints); i++) {
		other = map_at(p->endpoints, i);
		if (strcmp(other->service, e->service) != 0 || other->leaving)
			continue;
		all++;
		ejected += other != e && p->now_us < other->eject_until_us;
	}
	return ejected * 2 <= all;
}

static void
note_trust(struct place *p, struct place_endpoint *e, bool failed)
{
	uint32_t doublings;

	e->failures += ((failed ? 1.0 : 0.0) - e->failures) * FAILURE_WEIGHT;
	if (!failed) {
		if (e->failures < FAILURE_WEIGHT)
			e->ejections = 0;
		return;
	}
	if (e->failures < FAILURE_EJECT || !may_eject(p, e))
		return;
	doublings =
	    e->ejections < EJECT_DOUBLINGS ? e->ejections : EJECT_DOUBLINGS;
	e->eject_until_us = p->now_us + (EJECT_FIRST_US << doublings);
	e->ejections++;
	e->failures = FAILURE_EJECT - FAILURE_WEIGHT; /* on probation */
	p->totals.ejections++;
	place_wake(p, e->eject_until_us);
}

static void
note_service_time(struct place *p, const struct place_ask *a)
{
	struct place_endpoint *e = a->endpoint;
	double took_ms =
	    (double)(p->now_us - a->granted_us) / (double)US_PER_MS;

	if (a->model == NULL)
		e->service_ms += (took_ms - e->service_ms) * SERVICE_WEIGHT;
}

/* A load that was estimated well lets the stretch go back. */
#define STRETCH_BACK 0.01

static void
note_loaded(struct place *p, const struct place_ask *a)
{
	struct place_adapter *adapter =
	    a->key == NULL ? NULL : place_adapter_find(a->endpoint, a->key);

	if (adapter == NULL || adapter->served)
		return;
	adapter->served = true;
	if (adapter->lacked == 0 && p->load_stretch > 0)
		p->load_stretch -= STRETCH_BACK;
	adapter->lacked = 0;
}

static void
release(struct place *p, struct place_ask *a)
{
	struct place_endpoint *e = a->endpoint;
	struct place_adapter *adapter =
	    a->key == NULL ? NULL : place_adapter_find(e, a->key);

	if (!a->begun) {
		e->unread--;
		e->unread_tokens -= a->unread_tokens;
		e->progress_us = p->now_us;
	}
	e->running--;
	e->kv_tokens -= a->prompt_tokens + a->max_tokens;
	if (adapter == NULL)
		return;
	if (adapter->running > 0)
		adapter->running--;
	adapter->used_us = p->now_us;
}

/*
 * The endpoint lacks what the placer thought it had. Most likely the load
 * takes longer than was estimated: the request that came too early is soon
 * sent again, and estimates stretch for a while. After that a report tells.
 */
#define LACKING_TWICE	2u
#define LACKING_SOON_US (30 * US_PER_MS)
#define LACKING_LONG_US (600 * US_PER_MS)
#define STRETCH_STEP	0.1
#define STRETCH_MAX	1.0

static void
note_lacking(struct place *p, struct place_ask *a)
{
	struct place_endpoint *e = a->endpoint;
	struct place_adapter *adapter =
	    a->key == NULL ? NULL : place_adapter_find(e, a->key);

	if (a->key == NULL && may_eject(p, e))
		e->eject_until_us = p->now_us + EJECT_FIRST_US;
	if (adapter == NULL || adapter->state != ADAPTER_LOADED)
		return;
	if (adapter->lacked++ == 0 && p->load_stretch < STRETCH_MAX)
		p->load_stretch += STRETCH_STEP;
	adapter->state = ADAPTER_LOADING;
	adapter->ready_us = p->now_us + LACKING_SOON_US;
	if (adapter->lacked <= LACKING_TWICE)
		return;
	adapter->ready_us = p->now_us + LACKING_LONG_US;
	e->orders_known = false;
	e->doubted = true;
}

void
place_endpoint_end(
    struct place *p, struct place_ask *a, const struct place_end *end)
{
	struct place_endpoint *e = a->endpoint;

	if (e == NULL)
		return; /* it is gone */
	if (end->outcome == PLACE_FIRST_BYTE) {
		note_begun(p, a, end);
		return;
	}
	if (end->outcome == PLACE_SERVED)
		note_begun(p, a, end);
	release(p, a);
	switch (end->outcome) {
	case PLACE_SERVED:
		note_loaded(p, a);
		note_service_time(p, a);
		note_trust(p, e, false);
		break;
	case PLACE_FAILED_THERE:
		note_trust(p, e, true);
		break;
	case PLACE_NOT_REACHED:
		note_trust(p, e, true);
		if (p->now_us >= e->eject_until_us && may_eject(p, e))
			e->eject_until_us = p->now_us + EJECT_FIRST_US;
		break;
	case PLACE_LACKING:
		note_lacking(p, a);
		break;
	default:
		break;
	}
}
