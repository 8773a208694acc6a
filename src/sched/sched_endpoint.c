#include <stdlib.h>
#include <string.h>

#include "sched/sched_internal.h"
#include "util/mem.h"

/* Endpoints, the pools they form, and how many calls each may run. */

#define ENDPOINT_FOREIGN_US	(120 * SCHED_SECOND_US)
#define ENDPOINT_START_LIMIT	2.0
#define ENDPOINT_LEAST_LIMIT	1.0
#define ENDPOINT_CUT		0.5
#define ENDPOINT_CUT_SPACING_US (200 * SCHED_MS_US)
#define ENDPOINT_SLOW_FACTOR	3.0
#define ENDPOINT_LATENCY_WEIGHT 0.05
#define ENDPOINT_PENALTY_US	(100 * SCHED_MS_US)
#define ENDPOINT_PENALTY_POWERS 5

struct pool *
pool_get(struct sched *s, bool service, const char *name)
{
	char key[300];
	struct pool *p;

	key[0] = service ? 's' : 'b';
	strncpy(key + 1, name == NULL ? "" : name, sizeof(key) - 2);
	key[sizeof(key) - 1] = '\0';
	p = map_get_str(s->pools, key);
	if (p != NULL)
		return p;
	p = mem_alloc(1, sizeof(*p));
	p->name = mem_string(key + 1);
	p->is_service = service;
	map_set_str(s->pools, key, p);
	return p;
}

static void
pool_remove(struct pool *p, struct endpoint *ep)
{
	struct endpoint *last = p->endpoints[--p->count];

	p->endpoints[ep->pool_index] = last;
	last->pool_index = ep->pool_index;
	if (!ep->leaving)
		p->seats -= ep->seats;
	p->grants -= ep->grants;
	ep->pool = NULL;
}

static void
pool_add(struct pool *p, struct endpoint *ep)
{
	SCHED_GROW(p->endpoints, p->count, p->cap, struct endpoint *);
	ep->pool = p;
	ep->pool_index = p->count;
	p->endpoints[p->count++] = ep;
	if (!ep->leaving)
		p->seats += ep->seats;
	p->grants += ep->grants;
}

bool
endpoint_can_run(const struct endpoint *ep, const struct item *it)
{
	return !ep->leaving && !item_avoids(it, ep) &&
	    (ep->is_service || ep->usable_slots > 0);
}

/* Whether any endpoint of the pool could ever run the request. */
bool
pool_can_run(const struct pool *p, const struct item *it)
{
	uint32_t i;

	for (i = 0; i < p->count; i++) {
		if (endpoint_can_run(p->endpoints[i], it))
			return true;
	}
	return false;
}

struct endpoint *
endpoint_find(const struct sched *s, const char *id)
{
	return map_get_str(s->endpoints, id);
}

/* The endpoint of an id; one that has not announced itself is in no pool. */
struct endpoint *
endpoint_get(struct sched *s, const char *id)
{
	struct endpoint *ep = endpoint_find(s, id);

	if (ep != NULL)
		return ep;
	ep = mem_alloc(1, sizeof(*ep));
	ep->id = mem_string(id);
	ep->serial = ++s->last_serial;
	ep->foreign_runs = UINT32_MAX;
	map_set_str(s->endpoints, id, ep);
	return ep;
}

void
endpoint_free(struct endpoint *ep)
{
	uint32_t i;

	for (i = 0; i < ep->slot_count; i++)
		free(ep->slots[i]);
	free(ep->slots);
	prefix_clear(&ep->prefixes);
	free(ep->data_centre);
	free(ep->id);
	free(ep);
}

uint32_t
endpoint_free_seats(const struct endpoint *ep)
{
	uint32_t limit =
	    ep->limit < (double)ep->seats ? (uint32_t)ep->limit : ep->seats;
	uint64_t taken = (uint64_t)ep->grants + ep->foreign_runs;

	return taken >= limit ? 0 : limit - (uint32_t)taken;
}

/* May be given work now; asks for a run when a penalty ends. */
bool
endpoint_is_usable(struct sched *s, const struct endpoint *ep, uint64_t now_us)
{
	if (ep->leaving || ep->removed || ep->pool == NULL)
		return false;
	if (ep->penalty_until_us <= now_us)
		return true;
	sched_wake_at(s, ep->penalty_until_us);
	return false;
}

static void
endpoint_cold_start(
    struct sched *s, struct endpoint *ep, uint64_t now_us, uint64_t incarnation)
{
	ep->previous_incarnation = ep->incarnation;
	ep->incarnation = incarnation;
	ep->cold_start_count++;
	slot_reset_all(s, ep, now_us);
	prefix_clear(&ep->prefixes);
	ep->cache_sequence = ep->reported_cache_sequence = 0;
	ep->has_cache_gap = false;
	ep->limit = ENDPOINT_START_LIMIT;
	ep->foreign_runs = 0;
	ep->as_of_us = 0;
	ep->detached_us = 0;
	ep->evict_after_us = 0;
}

static void
endpoint_shape(
    struct sched *s, struct endpoint *ep, const struct sched_report *report)
{
	struct pool *p = pool_get(s, report->is_service,
	    report->is_service ? report->service_name : report->base_model);

	if (ep->pool != NULL)
		pool_remove(ep->pool, ep);
	if (report->leaving && !ep->leaving)
		s->recheck_all = true;
	if (ep->limit < ENDPOINT_LEAST_LIMIT)
		ep->limit = ENDPOINT_LEAST_LIMIT;
	ep->is_service = report->is_service;
	ep->leaving = report->leaving;
	ep->seats = report->seats;
	ep->usable_slots = report->is_service ? 0 : report->slot_capacity;
	ep->role = report->role;
	if (ep->data_centre == NULL && report->data_centre != NULL)
		ep->data_centre = mem_string(report->data_centre);
	pool_add(p, ep);
}

/* Runs that are not ours are believed only downwards, and for a while. */
static void
endpoint_count_foreign(
    struct endpoint *ep, uint64_t now_us, const struct sched_report *report)
{
	uint32_t others;

	ep->reported_running = report->running;
	if (ep->foreign_runs == 0)
		return;
	others =
	    report->running > ep->grants ? report->running - ep->grants : 0;
	if (others < ep->foreign_runs)
		ep->foreign_runs = others;
	if (now_us >= ep->foreign_expires_us)
		ep->foreign_runs = 0;
}

void
sched_report(
    struct sched *s, uint64_t now_us, const struct sched_report *report)
{
	struct endpoint *ep = endpoint_get(s, report->id);
	uint64_t as_of = report->as_of_us == 0 || report->as_of_us > now_us
	    ? now_us
	    : report->as_of_us;
	bool first =
	    !ep->has_reported || report->incarnation != ep->incarnation;

	if (ep->has_reported && report->incarnation != ep->incarnation) {
		if (report->incarnation == ep->previous_incarnation)
			return;
		endpoint_cold_start(s, ep, now_us, report->incarnation);
	}
	if (as_of < ep->as_of_us)
		return;
	if (!ep->has_reported) {
		ep->has_reported = true;
		ep->incarnation = report->incarnation;
		ep->limit = (double)report->seats;
		if (ep->foreign_expires_us == 0)
			ep->foreign_expires_us = now_us + ENDPOINT_FOREIGN_US;
	}
	ep->as_of_us = as_of;
	endpoint_shape(s, ep, report);
	endpoint_count_foreign(ep, now_us, report);
	if (!ep->is_service) {
		slot_merge_report(s, ep, now_us, report, as_of);
		cache_note_report(ep, report->cache_sequence, first);
	}
	if (ep->evict_after_us > 0 && as_of > ep->evict_after_us)
		ep->evict_after_us = 0;
	s->next_us = now_us;
}

void
sched_endpoint_takeover(
    struct sched *s, uint64_t now_us, const char *id, uint64_t evict_after_us)
{
	struct endpoint *ep = endpoint_get(s, id);

	ep->evict_after_us = evict_after_us;
	ep->taken_over = true;
	ep->foreign_runs = UINT32_MAX;
	ep->foreign_expires_us = now_us + ENDPOINT_FOREIGN_US;
	if (ep->has_reported)
		ep->foreign_runs = ep->reported_running > ep->grants
		    ? ep->reported_running - ep->grants
		    : 0;
	s->next_us = now_us;
}

/* Granted requests stay known until they are done. */
static void
endpoint_drop_items(struct sched *s, struct endpoint *ep)
{
	struct item *it;
	size_t i;

	for (i = 0; i < map_count(s->items); i++) {
		it = map_at(s->items, i);
		if (it->ep == ep) {
			it->ep = NULL;
			it->slot = NULL;
		}
	}
}

void
sched_endpoint_remove(struct sched *s, uint64_t now_us, const char *id)
{
	struct endpoint *ep = endpoint_find(s, id);
	uint32_t i;

	if (ep == NULL)
		return;
	for (i = 0; i < ep->slot_count; i++) {
		load_release(s, ep, ep->slots[i],
		    now_us + 4 * s->options.load_ms * SCHED_MS_US);
		slot_detach(s, ep, ep->slots[i], now_us);
	}
	endpoint_drop_items(s, ep);
	if (ep->pool != NULL)
		pool_remove(ep->pool, ep);
	map_remove_str(s->endpoints, id);
	ep->removed = true;
	SCHED_GROW(s->removed_endpoints, s->nremoved, s->removed_cap,
	    struct endpoint *);
	s->removed_endpoints[s->nremoved++] = ep;
	s->recheck_all = true;
	s->next_us = now_us;
}

static void
endpoint_cut(struct endpoint *ep, uint64_t now_us)
{
	if (now_us < ep->limit_cut_us + ENDPOINT_CUT_SPACING_US)
		return;
	ep->limit_cut_us = now_us;
	ep->limit *= ENDPOINT_CUT;
	if (ep->limit < ENDPOINT_LEAST_LIMIT)
		ep->limit = ENDPOINT_LEAST_LIMIT;
}

/* A delivered call: engines ramp up by one, services by one a round. */
static void
endpoint_delivered(
    struct endpoint *ep, uint64_t now_us, const struct sched_usage *usage)
{
	double total = (double)usage->total_us;
	bool slow = ep->is_service && ep->mean_latency_us > 0.0 &&
	    total > ENDPOINT_SLOW_FACTOR * ep->mean_latency_us;

	ep->penalties = 0;
	if (total > 0.0)
		ep->mean_latency_us += ep->mean_latency_us == 0.0
		    ? total
		    : ENDPOINT_LATENCY_WEIGHT * (total - ep->mean_latency_us);
	if (slow)
		endpoint_cut(ep, now_us);
	else if (ep->is_service)
		ep->limit += 1.0 / ep->limit;
	else
		ep->limit += 1.0;
	if (ep->limit > (double)ep->seats)
		ep->limit = (double)ep->seats;
}

/* What the end of a call says about its endpoint. */
void
endpoint_note_outcome(struct sched *s, struct endpoint *ep, uint64_t now_us,
    const struct sched_usage *usage)
{
	uint32_t power;

	switch (usage->outcome) {
	case SCHED_DELIVERED:
		endpoint_delivered(ep, now_us, usage);
		return;
	case SCHED_FAILED:
		if (ep->is_service)
			endpoint_cut(ep, now_us);
		return;
	case SCHED_BUSY:
	case SCHED_NOT_SENT:
		endpoint_cut(ep, now_us);
		power = ep->penalties++;
		if (power > ENDPOINT_PENALTY_POWERS)
			power = ENDPOINT_PENALTY_POWERS;
		ep->penalty_until_us = now_us + (ENDPOINT_PENALTY_US << power);
		sched_wake_at(s, ep->penalty_until_us);
		return;
	case SCHED_CANCELLED:
	case SCHED_NOT_LOADED:
		return;
	}
}
