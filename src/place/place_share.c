#include <stdlib.h>
#include <string.h>

#include "place/place_admit.h"

/*
 * Engines of a large fleet that are divided among several owners, the instances
 * that place. A new owner of an engine requests its report first, which tells
 * what it has loaded and how many orders it has accepted.
 */

/*
 * Detach the requests of an engine: the next owner accounts for running ones,
 * and queued ones search for another engine.
 */
static void
detach_asks(struct place *p, struct place_endpoint *e)
{
	struct place_ask *a;
	size_t i;

	for (i = 0; i < map_count(p->asks); i++) {
		a = map_at(p->asks, i);
		if (a->endpoint != e)
			continue;
		a->endpoint = NULL;
		a->evaluated_generation = 0;
	}
	e->waiting_tokens = 0;
}

static void
remove_adapters(struct place *p, struct place_endpoint *e)
{
	struct place_adapter *a;
	size_t i = map_count(e->adapters);

	while (i-- > 0) {
		a = map_at(e->adapters, i);
		if (a->adapter != NULL)
			place_adapter_remove(p, e, a, false);
		else
			place_adapter_release_store(p, a);
	}
}

static void
reset_orders(struct place_endpoint *e)
{
	e->orders_known = false;
	e->call_in_flight = false;
	e->has_been_ordered = false;
	e->is_fenced = false;
	e->consecutive_unanswered = 0;
	e->backoff_until_us = 0;
	free(e->order_key);
	e->order_key = NULL;
	free(e->unsure_key);
	e->unsure_key = NULL;
}

static void
release_engine(struct place *p, struct place_endpoint *e)
{
	detach_asks(p, e);
	remove_adapters(p, e);
	reset_orders(e);
	e->running = e->unread_requests = 0;
	e->unread_tokens = e->kv_tokens = 0;
	memset(e->unread_requests_by, 0, sizeof(e->unread_requests_by));
	memset(e->unread_tokens_by, 0, sizeof(e->unread_tokens_by));
	place_prefix_clear(e);
	e->needs_report = false;
	e->is_foreign = true;
}

static void
acquire_engine(struct place *p, struct place_endpoint *e)
{
	reset_orders(e);
	e->last_progress_us = p->now_us;
	e->needs_report = e->engine != NULL;
	e->is_foreign = false;
}

void
place_share_update_engine(struct place *p, struct place_endpoint *e)
{
	struct place_ownership o = {true, 0};

	if (p->ownership_fn != NULL && e->engine != NULL)
		o = p->ownership_fn(p->ownership_ctx, e->service, e->id);
	if (!o.is_owned && !e->is_foreign)
		release_engine(p, e);
	if (!o.is_owned)
		return;
	if (e->is_foreign) {
		acquire_engine(p, e);
		e->order_from_us = o.order_from_us;
	} else if (e->order_from_us == UINT64_MAX) {
		e->order_from_us = o.order_from_us;
	}
}

void
place_set_ownership_fn(
    struct place *p, place_ownership_fn ownership_fn, void *ctx)
{
	p->ownership_fn = ownership_fn;
	p->ownership_ctx = ctx;
}

void
place_update_ownership(struct place *p, uint64_t now_us)
{
	size_t i;

	p->now_us = now_us;
	for (i = 0; i < map_count(p->endpoints); i++)
		place_share_update_engine(p, map_at(p->endpoints, i));
	p->capacity_generation++;
	place_schedule_run(p, 0);
}

void
place_set_owner_count(struct place *p, uint32_t owner_count)
{
	p->owner_count = owner_count;
}

/* The counts are used by every estimate of a run. */
void
place_share_count_engines(struct place *p)
{
	const struct place_endpoint *e;
	double load_ms = 0;
	size_t i;

	p->owned_engines = p->all_engines = 0;
	for (i = 0; i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		p->all_engines += e->engine != NULL;
		if (e->engine == NULL || e->is_foreign)
			continue;
		p->owned_engines++;
		load_ms += place_engine_load_ms(p, e);
	}
	p->mean_load_ms =
	    p->owned_engines == 0 ? 0 : (uint32_t)(load_ms / p->owned_engines);
}

double
place_share_scale(const struct place *p, double whole)
{
	return p->all_engines == 0 ? whole
				   : whole * p->owned_engines / p->all_engines;
}

bool
place_engine_at(
    const struct place *p, size_t i, const char **id, const char **service)
{
	const struct place_endpoint *e = map_at(p->endpoints, i);

	*id = e->id;
	*service = e->service;
	return e->engine != NULL;
}

uint32_t
place_load_ms(const struct place *p)
{
	return p->mean_load_ms + (uint32_t)p->admit->held_ms;
}

void
place_each_waiting_entry(
    const struct place *p, void (*call)(void *ctx, uint64_t entry), void *ctx)
{
	const struct place_ask *a;

	for (a = p->queue_head; a != NULL; a = a->next)
		call(ctx, a->id.entry);
}
