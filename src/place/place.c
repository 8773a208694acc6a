#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "place/place_guard.h"
#include "place/place_internal.h"
#include "util/mem.h"

/* A request that ended without a word of its entry is forgotten after it. */
#define ASK_FORGET_US	   (5000 * US_PER_MS)
#define RETRY_AFTER_MIN_MS 100u
#define RETRY_AFTER_MAX_MS 2000u

/* ---- tables ------------------------------------------------------------- */

struct place *
place_create(const struct place_options *options)
{
	struct place *p = mem_alloc(1, sizeof(*p));

	p->options = *options;
	p->endpoints = map_create();
	p->groups = map_create();
	p->gone = map_create();
	p->leaving = map_create();
	p->asks = map_create();
	p->versions = map_create();
	p->budgets = map_create();
	p->demand = map_create();
	p->freed = 1;
	return p;
}

static void
ask_free(struct place_ask *a)
{
	size_t i;

	for (i = 0; i < a->navoid; i++)
		free(a->avoid[i]);
	free(a->service);
	free(a->model);
	free(a->adapter);
	free(a->key);
	free(a->data_centre);
	free(a);
}

static void
free_values(struct map *m)
{
	size_t i;

	for (i = 0; i < map_count(m); i++)
		free(map_at(m, i));
	map_destroy(m);
}

void
place_destroy(struct place *p)
{
	size_t i;

	if (p == NULL)
		return;
	for (i = 0; i < map_count(p->asks); i++)
		ask_free(map_at(p->asks, i));
	map_destroy(p->asks);
	for (i = 0; i < map_count(p->endpoints); i++)
		place_endpoint_free(map_at(p->endpoints, i));
	map_destroy(p->endpoints);
	place_group_free_all(p);
	free_values(p->gone);
	free_values(p->leaving);
	free_values(p->versions);
	free_values(p->budgets);
	for (i = 0; i < map_count(p->demand); i++)
		place_demand_free(map_at(p->demand, i));
	map_destroy(p->demand);
	for (i = 0; i < p->nchanges; i++)
		free(p->changes[i].id);
	free(p->changes);
	free(p->last_change);
	free(p->decisions);
	free(p);
}

void
place_configure(struct place *p, const struct gw_config *config)
{
	p->config = config;
	place_endpoint_engines(p);
	p->freed++;
	place_wake(p, 0);
}

void
place_set_version(
    struct place *p, const char *model, const char *adapter, uint32_t version)
{
	char *key = place_adapter_key(model, adapter);
	struct place_version *v = map_get_str(p->versions, key);

	if (v == NULL) {
		v = mem_alloc(1, sizeof(*v));
		(void)map_set_str(p->versions, key, v);
	}
	if (version > v->version)
		v->version = version;
	free(key);
}

uint32_t
place_version_of(const struct place *p, const char *key)
{
	const struct place_version *v = map_get_str(p->versions, key);

	return v == NULL || !place_guards.version ? 0 : v->version;
}

void
place_wake(struct place *p, uint64_t at_us)
{
	if (at_us < p->next_us)
		p->next_us = at_us;
}

/* Each engine makes a round longer; news that come meanwhile share one. */
#define ROUND_GAP_US 20u

static uint64_t
round_gap(const struct place *p)
{
	return map_count(p->endpoints) * ROUND_GAP_US;
}

uint64_t
place_next(const struct place *p)
{
	uint64_t gap = round_gap(p);

	if (p->next_us < p->round_us + gap)
		return p->round_us + gap;
	return p->next_us;
}

struct place_decision *
place_decide(struct place *p, enum place_decision_type type)
{
	struct place_decision *d;

	if (p->ndecisions == p->cap) {
		p->cap = p->cap == 0 ? 16 : p->cap * 2;
		p->decisions =
		    mem_resize(p->decisions, p->cap, sizeof(*p->decisions));
	}
	d = &p->decisions[p->ndecisions++];
	memset(d, 0, sizeof(*d));
	d->type = type;
	return d;
}

bool
place_take(struct place *p, struct place_decision *out)
{
	if (p->taken == p->ndecisions) {
		p->taken = p->ndecisions = 0;
		return false;
	}
	*out = p->decisions[p->taken++];
	return true;
}

void
place_note_change(struct place *p, const char *id, bool gone)
{
	size_t i;

	for (i = 0; i < p->nchanges; i++)
		if (strcmp(p->changes[i].id, id) == 0) {
			p->changes[i].gone = gone;
			return;
		}
	if (p->nchanges == p->changes_cap) {
		p->changes_cap = p->changes_cap == 0 ? 16 : p->changes_cap * 2;
		p->changes =
		    mem_resize(p->changes, p->changes_cap, sizeof(*p->changes));
	}
	p->changes[p->nchanges].id = mem_string(id);
	p->changes[p->nchanges++].gone = gone;
}

bool
place_take_change(struct place *p, const char **id, bool *gone)
{
	if (p->nchanges == 0)
		return false;
	free(p->last_change);
	p->last_change = p->changes[--p->nchanges].id;
	*id = p->last_change;
	*gone = p->changes[p->nchanges].gone;
	return true;
}

/* ---- requests ----------------------------------------------------------- */

bool
place_avoids(const struct place_ask *a, const struct place_endpoint *e)
{
	size_t i;

	for (i = 0; i < a->navoid; i++)
		if (strcmp(a->avoid[i], e->id) == 0)
			return true;
	return false;
}

/*
 * Insert by the deadline of the objective: the one to be missed first. Most
 * come in that order, so that the search begins at the end.
 */
static void
waiting_add(struct place *p, struct place_ask *a)
{
	struct place_ask *before = p->waiting_last;

	while (before != NULL && before->target_us > a->target_us)
		before = before->before;
	a->before = before;
	a->next = before == NULL ? p->waiting : before->next;
	if (before == NULL)
		p->waiting = a;
	else
		before->next = a;
	if (a->next == NULL)
		p->waiting_last = a;
	else
		a->next->before = a;
	a->is_waiting = true;
	p->nwaiting++;
}

static void
waiting_remove(struct place *p, struct place_ask *a)
{
	struct place_adapter *adapter;

	if (!a->is_waiting)
		return;
	if (a->before == NULL)
		p->waiting = a->next;
	else
		a->before->next = a->next;
	if (a->next == NULL)
		p->waiting_last = a->before;
	else
		a->next->before = a->before;
	a->is_waiting = false;
	p->nwaiting--;
	if (a->granted || a->endpoint == NULL || a->key == NULL)
		return;
	adapter = place_adapter_find(a->endpoint, a->key);
	if (adapter != NULL && adapter->waiting > 0)
		adapter->waiting--;
}

static void
ask_drop(struct place *p, struct place_ask *a)
{
	(void)map_remove(p->asks, &a->id, sizeof(a->id));
	if (!a->granted)
		waiting_remove(p, a);
	ask_free(a);
}

static char *
copy_or_null(const char *text)
{
	return text == NULL ? NULL : mem_string(text);
}

static void
set_key(struct place_ask *a)
{
	a->key = place_adapter_key(a->model, a->adapter);
	a->key_hash = XXH64(a->key, strlen(a->key), 0);
}

static struct place_ask *
ask_create(const struct place_request *r, uint64_t now_us)
{
	struct place_ask *a = mem_alloc(1, sizeof(*a));
	size_t i;

	a->id = r->id;
	a->kind = r->kind;
	a->service = mem_string(r->service);
	a->model = copy_or_null(r->model);
	a->adapter = copy_or_null(r->adapter);
	if (r->model != NULL)
		set_key(a);
	a->data_centre = copy_or_null(r->data_centre);
	a->prompt_tokens = r->prompt_tokens;
	a->max_tokens = r->max_tokens;
	a->nparts = r->nparts < GW_PARTS_MAX ? r->nparts : GW_PARTS_MAX;
	if (a->nparts > 0)
		memcpy(a->parts, r->parts, a->nparts * sizeof(a->parts[0]));
	a->asked_us = now_us;
	for (i = 0; i < a->nparts; i++)
		a->chains[i] = place_engine_chain(a, i);
	a->deadline_us = r->deadline_us;
	a->target_us = r->target_us;
	a->priority = r->priority;
	a->attempt = r->attempt;
	while (a->navoid < r->navoid && a->navoid < PLACE_AVOID_MAX) {
		a->avoid[a->navoid] = mem_string(r->avoid[a->navoid]);
		a->navoid++;
	}
	return a;
}

struct place_basis
place_basis_of(const struct place *p, const struct place_endpoint *e)
{
	struct place_basis basis = {0};

	basis.endpoint = e->id;
	basis.running = e->running;
	basis.heard_ms = (uint32_t)((p->now_us - e->heard_us) / US_PER_MS);
	basis.loads = p->loading + p->queued_loads;
	return basis;
}

/* Refuse and forget; strings of the decision are constants. */
void
place_ask_refuse(struct place *p, struct place_ask *a,
    const struct place_basis *basis, const char *reason,
    uint32_t retry_after_ms)
{
	struct place_decision *d = place_decide(p, PLACE_REFUSE);

	if (basis != NULL)
		d->basis = *basis;

	if (retry_after_ms < RETRY_AFTER_MIN_MS)
		retry_after_ms = RETRY_AFTER_MIN_MS;
	if (retry_after_ms > RETRY_AFTER_MAX_MS)
		retry_after_ms = RETRY_AFTER_MAX_MS;
	d->id = a->id;
	d->reason = reason;
	d->retry_after_ms = retry_after_ms;
	p->totals.refused++;
	ask_drop(p, a);
}

void
place_ask(struct place *p, uint64_t now_us, const struct place_request *r)
{
	struct place_ask *a = map_get(p->asks, &r->id, sizeof(r->id));

	p->now_us = now_us;
	if (a != NULL && !a->granted)
		return; /* sent again; it waits already */
	if (a != NULL)
		place_done(p, now_us, r->id,
		    &(struct place_end){.outcome = PLACE_NOT_REACHED});
	a = ask_create(r, now_us);
	(void)map_set(p->asks, &a->id, sizeof(a->id), a);
	p->totals.asked++;
	if (!place_budget_take(p, a->service, a->attempt > 0)) {
		p->totals.repeats_denied++;
		waiting_add(p, a);
		place_ask_refuse(p, a, NULL, "retry-budget", 0);
		return;
	}
	waiting_add(p, a);
	if (a->key != NULL)
		place_demand_note(p, a->key);
	place_wake(p, 0);
}

void
place_done(struct place *p, uint64_t now_us, struct place_id id,
    const struct place_end *end)
{
	struct place_ask *a = map_get(p->asks, &id, sizeof(id));

	if (a == NULL)
		return;
	p->now_us = now_us;
	if (a->granted)
		place_endpoint_end(p, a, end);
	p->freed++;
	place_wake(p, 0);
	if (end->outcome != PLACE_FIRST_BYTE)
		ask_drop(p, a);
}

void
place_entry_gone(struct place *p, uint64_t now_us, uint64_t entry)
{
	static const struct place_end end = {.outcome = PLACE_ABANDONED};
	struct place_ask *a;
	size_t i = map_count(p->asks);

	while (i-- > 0) {
		a = map_at(p->asks, i);
		if (a->id.entry == entry)
			place_done(p, now_us, a->id, &end);
	}
}

void
place_reset(struct place *p, uint64_t now_us)
{
	struct place_endpoint *e;
	size_t i;

	while (map_count(p->asks) > 0) {
		struct place_ask *a = map_at(p->asks, 0);

		place_done(p, now_us, a->id,
		    &(struct place_end){.outcome = PLACE_ABANDONED});
	}
	for (i = 0; i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		e->orders_known = false;
		e->ordering = false;
		e->fenced = false;
		e->ordered = false;
		e->doubted = false;
		free(e->order_key);
		e->order_key = NULL;
		e->heard_us = now_us;
	}
	p->weight_permits = 0;
	p->permits_us = now_us;
	place_wake(p, 0);
}

/* ---- running ------------------------------------------------------------ */

static enum placed
ask_place(struct place *p, struct place_ask *a, bool may_order)
{
	const struct gw_service *s =
	    p->config == NULL ? NULL : gw_config_service(p->config, a->service);

	if (s != NULL && s->has_engine && a->model != NULL)
		return place_engine_place(p, a, may_order);
	return place_service_place(p, a);
}

/* What happens to a request that was not granted now. */
static void
ask_wait(struct place *p, struct place_ask *a)
{
	struct place_decision *d;

	if (p->now_us >= a->deadline_us) {
		place_ask_refuse(p, a, NULL, "deadline", 0);
		return;
	}
	place_wake(p,
	    a->look_us != 0 && a->look_us < a->deadline_us ? a->look_us
							   : a->deadline_us);
	if (a->told_waits)
		return;
	a->told_waits = true;
	d = place_decide(p, PLACE_WAIT);
	d->id = a->id;
}

/* Granted requests whose entry never told of an end. */
static void
sweep_asks(struct place *p)
{
	struct place_ask *a;
	size_t i = map_count(p->asks);

	while (i-- > 0) {
		a = map_at(p->asks, i);
		if (a->granted && p->now_us > a->deadline_us + ASK_FORGET_US)
			place_done(p, p->now_us, a->id,
			    &(struct place_end){.outcome = PLACE_ABANDONED});
	}
}

#define SWEEP_US	(200 * US_PER_MS)
#define DEMAND_SWEEP_US (5000 * US_PER_MS)
/* Requests that one round looks at; the rest has its turn in the next. */
#define LOOKED_AT_MAX 48u
#define LOOK_AGAIN_US (2 * US_PER_MS)

/* What is due by time alone. */
static void
sweep(struct place *p)
{
	if (p->now_us < p->sweep_us)
		return;
	p->sweep_us = p->now_us + SWEEP_US;
	place_endpoint_sweep(p);
	sweep_asks(p);
	if (p->now_us < p->demand_us)
		return;
	p->demand_us = p->now_us + DEMAND_SWEEP_US;
	place_demand_sweep(p);
}

/*
 * Is it worth looking at a request again? One that waits for an adapter is
 * looked at when that is due, any other when something has become free: on a
 * busy fleet something always has, so that a model request, which all engines
 * are searched for, has its turn after so many rounds at the earliest.
 */
#define SEARCH_ROUNDS 5u

static bool
is_due(const struct place *p, const struct place_ask *a)
{
	if (p->now_us >= a->deadline_us || a->seen == 0)
		return true;
	if (a->look_us != 0 && p->now_us >= a->look_us)
		return true;
	return a->endpoint == NULL && a->seen != p->freed &&
	    (a->key == NULL ||
		p->now_us >= a->seen_us + SEARCH_ROUNDS * round_gap(p));
}

/* Every estimate of a round asks for the count. */
static uint32_t
count_engines(const struct place *p)
{
	const struct place_endpoint *e;
	uint32_t engines = 0;
	size_t i;

	for (i = 0; i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		engines += e->engine != NULL;
	}
	return engines;
}

void
place_run(struct place *p, uint64_t now_us, bool may_order)
{
	struct place_ask *a, *next;
	size_t looked = 0;

	p->now_us = now_us;
	p->next_us = now_us + SWEEP_US;
	p->round_us = now_us;
	sweep(p);
	p->engines = count_engines(p);
	for (a = p->waiting; a != NULL; a = next) {
		next = a->next;
		if (a->look_us != 0)
			place_wake(p, a->look_us);
		if (!is_due(p, a))
			continue;
		if (++looked > LOOKED_AT_MAX) {
			place_wake(p, now_us + LOOK_AGAIN_US);
			break;
		}
		a->seen = p->freed;
		a->seen_us = now_us;
		a->look_us = 0;
		switch (ask_place(p, a, may_order)) {
		case PLACED:
			waiting_remove(p, a);
			break;
		case PLACED_NOT:
			ask_wait(p, a);
			break;
		case PLACED_REFUSED:
			break;
		}
	}
	place_adapter_run(p, may_order);
}

void
place_get_totals(const struct place *p, struct place_totals *out)
{
	size_t i;

	*out = p->totals;
	out->endpoints = (uint32_t)map_count(p->endpoints);
	out->waiting = (uint32_t)p->nwaiting;
	out->running = 0;
	for (i = 0; i < map_count(p->endpoints); i++)
		out->running +=
		    ((const struct place_endpoint *)map_at(p->endpoints, i))
			->running;
}
