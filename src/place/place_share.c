#include <stdlib.h>

#include "place/place_internal.h"

/*
 * The engines of a large fleet are shared among instances that place. An
 * engine that changes its owner is asked for its report first: what it holds
 * and how many orders it has taken.
 */

/* Requests there are the next owner's; those that wait look for another. */
static void
forget_asks(struct place *p, const struct place_endpoint *e)
{
	struct place_ask *a;
	size_t i;

	for (i = 0; i < map_count(p->asks); i++) {
		a = map_at(p->asks, i);
		if (a->endpoint != e)
			continue;
		a->endpoint = NULL;
		a->seen = 0;
	}
}

static void
forget_adapters(struct place *p, struct place_endpoint *e)
{
	struct place_adapter *a;
	size_t i = map_count(e->adapters);

	while (i-- > 0) {
		a = map_at(e->adapters, i);
		if (a->adapter != NULL)
			place_adapter_remove(p, e, a, false);
		else
			place_adapter_load_over(p, a);
	}
}

static void
forget_orders(struct place_endpoint *e)
{
	e->orders_known = false;
	e->ordering = false;
	e->ordered = false;
	e->fenced = false;
	e->unanswered = 0;
	e->quiet_until_us = 0;
	free(e->order_key);
	e->order_key = NULL;
}

static void
lose(struct place *p, struct place_endpoint *e)
{
	forget_asks(p, e);
	forget_adapters(p, e);
	forget_orders(e);
	e->running = e->unread = 0;
	e->unread_tokens = e->kv_tokens = 0;
	e->doubted = false;
	e->foreign = true;
}

static void
take(struct place *p, struct place_endpoint *e)
{
	forget_orders(e);
	e->progress_us = p->now_us;
	e->doubted = e->engine != NULL;
	e->foreign = false;
}

void
place_share_check(struct place *p, struct place_endpoint *e)
{
	struct place_owned o = {true, 0};

	if (p->owned != NULL && e->engine != NULL)
		o = p->owned(p->owned_ctx, e->service, e->id);
	if (!o.mine && !e->foreign)
		lose(p, e);
	if (!o.mine)
		return;
	if (e->foreign) {
		take(p, e);
		e->order_from_us = o.order_from_us;
	} else if (e->order_from_us == UINT64_MAX) {
		e->order_from_us = o.order_from_us;
	}
}

void
place_set_owned(struct place *p, place_owned_fn owned, void *ctx)
{
	p->owned = owned;
	p->owned_ctx = ctx;
}

void
place_reshare(struct place *p, uint64_t now_us)
{
	size_t i;

	p->now_us = now_us;
	for (i = 0; i < map_count(p->endpoints); i++)
		place_share_check(p, map_at(p->endpoints, i));
	p->freed++;
	place_wake(p, 0);
}

void
place_set_parts(struct place *p, uint32_t parts)
{
	p->parts = parts;
}

/* Every estimate of a round asks for these. */
void
place_share_count(struct place *p)
{
	const struct place_endpoint *e;
	double load_ms = 0;
	size_t i;

	p->engines = p->engines_all = 0;
	for (i = 0; i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		p->engines_all += e->engine != NULL;
		if (e->engine == NULL || e->foreign)
			continue;
		p->engines++;
		load_ms += place_engine_load_ms(p, e);
	}
	p->load_ms = p->engines == 0 ? 0 : (uint32_t)(load_ms / p->engines);
}

/* This instance's part of what all engines may have together. */
double
place_share_of(const struct place *p, double whole)
{
	return p->engines_all == 0 ? whole
				   : whole * p->engines / p->engines_all;
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
	return p->load_ms;
}

void
place_each_waiting(
    const struct place *p, void (*call)(void *ctx, uint64_t entry), void *ctx)
{
	const struct place_ask *a;

	for (a = p->waiting; a != NULL; a = a->next)
		call(ctx, a->id.entry);
}
