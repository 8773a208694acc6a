#include <stdlib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "place/place_internal.h"
#include "util/mem.h"

/*
 * Model requests: the engine with the least estimated time to the first event.
 *
 * The pattern it answers: prompts with a heavy tail, so that the number of
 * requests at an engine says little about how long the next one waits, and an
 * adapter for most requests of which a few are hot and most are cold. The
 * estimate counts the prompt tokens that are not read yet, by the engine's
 * measured speed, what the prompt's own parts are cached there, and the load
 * of the adapter where it is missing. The head spreads by itself, as its
 * engines' backlogs grow beyond the cost of a load; the tail gathers where a
 * load is cheap.
 */

/* A load takes a place in the store and drops what is used by others. */
#define COLD_COST_MS 120.0
#define WARM_COST_MS 15.0
/* Each late request for an adapter that is unloaded, and at most. */
#define VICTIM_COST_MS 20.0
#define VICTIM_MOST_MS 200.0
/* Another data centre costs a little latency and traffic. */
#define APART_COST_MS 2.0
/* Each sequence of a batch slows its steps. */
#define BATCH_COST_MS 6.0
/* Behind fewer prompts one that is late may still turn out in time. */
#define LATE_BACKLOG_MS 400.0
/* An engine that has not begun an answer for this and thrice its estimate. */
#define STUCK_US      (400 * US_PER_MS)
#define STUCK_FACTOR  3.0
#define STUCK_COST_MS 1000.0
/* A request whose adapter is not yet on its way is looked at again after. */
#define WANTED_AGAIN_US (50 * US_PER_MS)
/* Requests between 0, the most urgent, and 9 for the engine. */
#define URGENCY_BASE 3u
#define URGENCY_MAX  9u

/* ---- cached prompts ----------------------------------------------------- */

/* A name of the first parts of a prompt, for a model or adapter. */
uint64_t
place_engine_prefix_hash(const struct place_ask *a, size_t upto)
{
	uint64_t hash = XXH64(a->key, strlen(a->key), 0);
	size_t i;

	for (i = 0; i <= upto; i++)
		hash = XXH64(&a->parts[i].hash, sizeof(a->parts[i].hash), hash);
	return hash;
}

struct part_use {
	uint64_t used_us;
};

static void
forget_oldest(struct place_endpoint *e)
{
	struct part_use *use;
	uint64_t hash = 0, oldest = UINT64_MAX;
	size_t i;

	for (i = 0; i < map_count(e->cached_parts); i++) {
		use = map_at(e->cached_parts, i);
		if (use->used_us < oldest) {
			oldest = use->used_us;
			memcpy(&hash, map_key_at(e->cached_parts, i, NULL),
			    sizeof(hash));
		}
	}
	free(map_remove_u64(e->cached_parts, hash));
}

void
place_engine_record_prefix(
    struct place *p, struct place_endpoint *e, const struct place_ask *a)
{
	struct part_use *use;
	uint64_t hash;
	size_t i;

	for (i = 0; i < a->nparts; i++) {
		hash = a->prefix_hashes[i];
		use = map_get_u64(e->cached_parts, hash);
		if (use == NULL) {
			if (map_count(e->cached_parts) >=
			    PLACE_CACHED_PARTS_MAX)
				forget_oldest(e);
			use = mem_alloc(1, sizeof(*use));
			(void)map_set_u64(e->cached_parts, hash, use);
		}
		use->used_us = p->now_us;
	}
}

/* Tokens of the prompt that the engine has read before. */
static uint32_t
cached_tokens(const struct place_endpoint *e, const struct place_ask *a)
{
	uint32_t tokens = 0;
	size_t i;

	for (i = 0; i < a->nparts; i++) {
		if (map_get_u64(e->cached_parts, a->prefix_hashes[i]) == NULL)
			break;
		tokens += a->parts[i].tokens;
	}
	return tokens < a->prompt_tokens ? tokens : a->prompt_tokens;
}

/* ---- the estimate ------------------------------------------------------- */

struct estimate {
	double first_ms; /* to the first event */
	double cost; /* that and what it costs others */
	uint32_t own_tokens; /* to be read */
	double backlog_ms;
	bool needs_load, stuck;
};

/* What is not read yet, less what has been read since the last news. */
static double
backlog_ms(const struct place *p, const struct place_endpoint *e)
{
	double all = (double)e->unread_tokens / e->tokens_per_ms;
	double since =
	    (double)(p->now_us - e->last_progress_us) / (double)US_PER_MS;
	double mean = e->unread_requests == 0 ? 0 : all / e->unread_requests;

	return all - (since < mean ? since : mean);
}

double
place_engine_load_ms(const struct place *p, const struct place_endpoint *e)
{
	double backlog = backlog_ms(p, e);

	return (backlog > 0 ? backlog : 0) + e->running * BATCH_COST_MS;
}

static bool
is_stuck(const struct place *p, const struct place_endpoint *e)
{
	double mean_us = e->unread_requests == 0 ? 0
						 : (double)e->unread_tokens /
		e->tokens_per_ms / e->unread_requests * (double)US_PER_MS;

	return e->unread_requests > 0 &&
	    (double)(p->now_us - e->last_progress_us) >
	    mean_us * STUCK_FACTOR + (double)STUCK_US;
}

/* What the adapter that makes room is worth to others. */
static double
victim_cost(const struct place *p, struct place_endpoint *e)
{
	double cost;

	if (place_adapter_used_slots(e) < e->engine->adapter_slots)
		return 0;
	cost = place_adapter_victim_demand(p, e) * VICTIM_COST_MS;
	return cost < VICTIM_MOST_MS ? cost : VICTIM_MOST_MS;
}

/* Is there memory and a seat for the request? */
static bool
has_seat(const struct place_endpoint *e, const struct place_ask *a)
{
	const struct gw_engine *engine = e->engine;
	uint64_t tokens = (uint64_t)a->prompt_tokens + a->max_tokens;

	if (engine == NULL || e->running >= e->slots)
		return false;
	return e->running == 0 || engine->kv_tokens == 0 ||
	    e->kv_tokens + tokens <= engine->kv_tokens;
}

static bool
has_weights(const struct place_endpoint *e, const char *model)
{
	const struct place_adapter *weights = e->weights;

	if (weights == NULL || strcmp(weights->model, model) != 0)
		weights = place_adapter_find(e, model);
	return weights != NULL && weights->state == ADAPTER_LOADED;
}

/* Time until the adapter that is there or on its way serves; false: never. */
static bool
coming_ms(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a, const struct place_adapter *adapter,
    bool may_order, double *ms)
{
	double load;

	*ms = 0;
	if (place_adapter_is_current(p, adapter))
		return true;
	if (adapter->state == ADAPTER_LOADED ||
	    adapter->state == ADAPTER_EVICTING ||
	    adapter->wanted_version < place_required_version(p, a->key))
		return false;
	if (adapter->ready_us > p->now_us)
		*ms =
		    (double)(adapter->ready_us - p->now_us) / (double)US_PER_MS;
	if (adapter->state == ADAPTER_LOADING)
		return true;
	load = place_adapter_load_ms(
	    p, place_adapter_was_recently_unloaded(e, adapter->key_hash));
	if (*ms < load)
		*ms = load; /* it has not begun, however long ago it was due */
	return may_order;
}

/*
 * Time of a load that is to be ordered; false: there can be none, or it would
 * cost limit. What others pay for it is added to the estimate. The tests come
 * by their price: most engines of a large fleet are out at the first.
 */
static bool
load_ms(const struct place *p, struct place_endpoint *e,
    const struct place_ask *a, const struct place_adapter *adapter,
    double limit, double *ms, struct estimate *out)
{
	bool lately = place_adapter_was_recently_unloaded(e, a->key_hash);

	*ms = place_adapter_wait_ms(p, lately);
	out->cost += lately ? WARM_COST_MS : COLD_COST_MS;
	if (a->adapter == NULL || *ms + out->cost >= limit ||
	    (adapter != NULL && adapter->state != ADAPTER_LOADED) ||
	    (adapter == NULL && !place_adapter_can_make_room(e)))
		return false;
	out->needs_load = true;
	out->cost += victim_cost(p, e);
	return *ms + out->cost < limit;
}

/*
 * What a request would cost at an engine where the adapter is in a state, or
 * NULL; false: it can't run there, or would cost limit.
 */
static bool
engine_estimate(struct place *p, struct place_endpoint *e,
    const struct place_ask *a, const struct place_adapter *adapter,
    bool may_order, double limit, struct estimate *out)
{
	double load, backlog;

	memset(out, 0, sizeof(*out));
	p->totals.estimates++;
	may_order = may_order && p->now_us >= e->order_from_us;
	if (!has_seat(e, a))
		return false;
	backlog = backlog_ms(p, e);
	if (backlog + e->running * BATCH_COST_MS >= limit ||
	    !place_endpoint_is_usable(p, e, a->service) ||
	    place_ask_avoids(a, e) || !has_weights(e, a->model))
		return false;
	if ((adapter == NULL ||
		!coming_ms(p, e, a, adapter, may_order, &load)) &&
	    (!may_order || !load_ms(p, e, a, adapter, limit, &load, out)))
		return false;
	out->backlog_ms = backlog;
	out->own_tokens = a->prompt_tokens - cached_tokens(e, a);
	out->first_ms = (backlog > load ? backlog : load) +
	    out->own_tokens / e->tokens_per_ms + e->running * BATCH_COST_MS;
	out->stuck = is_stuck(p, e);
	out->cost += out->first_ms + (out->stuck ? STUCK_COST_MS : 0);
	if (a->data_centre != NULL &&
	    strcmp(a->data_centre, e->data_centre) != 0)
		out->cost += APART_COST_MS;
	return true;
}

/* ---- placing ------------------------------------------------------------ */

static uint32_t
urgency_of(const struct place_ask *a)
{
	uint32_t urgency = URGENCY_BASE + a->priority;

	return urgency > URGENCY_MAX ? URGENCY_MAX : urgency;
}

static struct place_basis
basis_of(const struct place *p, const struct place_endpoint *e,
    const struct estimate *est)
{
	struct place_basis basis = place_basis_from_endpoint(p, e);

	basis.estimate_ms = (uint32_t)est->first_ms;
	basis.backlog_ms = (uint32_t)est->backlog_ms;
	basis.needs_load = est->needs_load;
	return basis;
}

static void
place_engine_grant(struct place *p, struct place_endpoint *e,
    struct place_ask *a, const struct estimate *est)
{
	struct place_adapter *adapter = place_adapter_find(e, a->key);
	struct place_decision *d = place_decision_add(p, PLACE_GRANT);

	a->unread_tokens = est->own_tokens;
	place_endpoint_grant(p, e, a);
	place_engine_record_prefix(p, e, a);
	adapter->running++;
	adapter->last_used_us = p->now_us;
	d->id = a->id;
	d->endpoint = e->id;
	d->address = e->address;
	d->adapter_version = a->adapter == NULL ? 0 : adapter->version;
	d->urgency = urgency_of(a);
	d->basis = basis_of(p, e, est);
	place_ask_set_waits(p, a, &d->basis);
}

/* Leave the engine whose adapter the request has waited for. */
static void
leave_engine(struct place_ask *a)
{
	struct place_adapter *adapter;

	if (a->endpoint == NULL)
		return;
	adapter = place_adapter_find(a->endpoint, a->key);
	if (adapter != NULL && adapter->waiting > 0)
		adapter->waiting--;
	a->endpoint = NULL;
}

static void
wait_there(struct place *p, struct place_endpoint *e, struct place_ask *a)
{
	struct place_adapter *adapter;

	if (a->load_wait_since_us == 0)
		a->load_wait_since_us = p->now_us;
	place_adapter_request_load(p, e, a);
	adapter = place_adapter_find(e, a->key);
	if (a->endpoint != e) {
		leave_engine(a);
		a->endpoint = e;
		adapter->waiting++;
	}
	if (adapter->state != ADAPTER_LOADING)
		a->evaluate_at_us = p->now_us + WANTED_AGAIN_US;
	else if (adapter->ready_us > p->now_us + PLACE_EARLY_SEND_US)
		a->evaluate_at_us = adapter->ready_us - PLACE_EARLY_SEND_US;
	else
		a->evaluate_at_us = p->now_us + PLACE_EARLY_SEND_US;
}

/* Is the adapter there, or will be when the request arrives? */
static bool
adapter_is_near(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a)
{
	const struct place_adapter *adapter = place_adapter_find(e, a->key);

	if (adapter == NULL)
		return false;
	return place_adapter_is_current(p, adapter) ||
	    (adapter->state == ADAPTER_LOADING &&
		adapter->version >= place_required_version(p, a->key) &&
		adapter->ready_us <= p->now_us + PLACE_EARLY_SEND_US);
}

/* One engine of a search: is it better than the best so far? */
static bool
try_engine(struct place *p, struct place_endpoint *e, const struct place_ask *a,
    const struct place_adapter *adapter, bool may_order, struct estimate *best)
{
	struct estimate est;

	e->last_search = p->search_count;
	if (e->is_foreign ||
	    !engine_estimate(p, e, a, adapter, may_order, best->cost, &est) ||
	    est.cost >= best->cost)
		return false;
	*best = est;
	return true;
}

/*
 * The best engine. Those that have the adapter come first: beside them few of
 * the others count.
 */
static struct place_endpoint *
best_engine(struct place *p, const struct place_ask *a, bool may_order,
    struct estimate *best)
{
	const struct place_demand *d = place_demand_find(p, a->key);
	const struct place_group *g = place_group_find(p, a->service);
	struct place_endpoint *e, *found = NULL;
	size_t i;

	best->cost = INFINITY;
	p->search_count++;
	for (i = 0; d != NULL && i < d->nholders; i++) {
		e = d->holders[i];
		if (try_engine(p, e, a, place_adapter_find(e, a->key),
			may_order, best))
			found = e;
	}
	for (i = 0; i < g->count; i++) {
		e = g->endpoints[i];
		if (e->last_search != p->search_count &&
		    try_engine(p, e, a, NULL, may_order, best))
			found = e;
	}
	return found;
}

/* What it would cost to go on waiting where the request waits. */
static bool
still_there(struct place *p, const struct place_ask *a, bool may_order,
    struct estimate *est)
{
	struct place_endpoint *e = a->endpoint;

	return e != NULL &&
	    engine_estimate(p, e, a, place_adapter_find(e, a->key), may_order,
		INFINITY, est);
}

/*
 * The store is what is short: a load that comes too late for its request
 * takes the turn of one that would be in time. The caller is told to come back
 * when the loads before it are done.
 */
static bool
is_too_late(const struct place *p, const struct place_ask *a,
    const struct estimate *est)
{
	uint64_t first_us = p->now_us + (uint64_t)est->first_ms * US_PER_MS;

	if (first_us >= a->deadline_us)
		return true;
	if (a->attempt > 0)
		return false; /* a failure after the wait is worse than late */
	if (first_us > a->target_us && est->backlog_ms > LATE_BACKLOG_MS)
		return true;
	return est->needs_load && first_us > a->target_us &&
	    p->store_loads + p->queued_store_loads >=
	    place_adapter_store_loads_max(p);
}

/* No engine can take it now: may one in time? */
static bool
is_worth_waiting(const struct place *p, const struct place_ask *a)
{
	return p->now_us < a->target_us &&
	    p->store_loads + p->queued_store_loads <
	    place_adapter_store_loads_max(p);
}

/* Refused by these engines; those of another owner may have room. */
static enum place_attempt
refuse_here(struct place *p, struct place_ask *a,
    const struct place_basis *basis, const char *reason,
    uint32_t retry_after_ms)
{
	place_ask_refuse(p, a, basis, reason, retry_after_ms);
	p->decisions[p->ndecisions - 1].elsewhere = true;
	return PLACE_ATTEMPT_REFUSED;
}

enum place_attempt
place_engine_place(struct place *p, struct place_ask *a, bool may_order)
{
	struct place_endpoint *e = a->endpoint;
	struct place_basis basis;
	struct estimate est;

	if (!still_there(p, a, may_order, &est)) {
		leave_engine(a);
		e = best_engine(p, a, may_order, &est);
	}
	if (e == NULL && p->owned_engines == 0 && p->all_engines > 0)
		return refuse_here(p, a, NULL, "not-owner", 0);
	if (e == NULL && !is_worth_waiting(p, a))
		return refuse_here(
		    p, a, NULL, "no-room", 2 * p->options.adapter_load_ms);
	if (e == NULL)
		return PLACE_ATTEMPT_WAITING;
	if (a->endpoint == NULL && is_too_late(p, a, &est)) {
		basis = basis_of(p, e, &est);
		return refuse_here(p, a, &basis, "overload",
		    place_adapter_wait_ms(p,
			place_adapter_was_recently_unloaded(e, a->key_hash)));
	}
	if (!adapter_is_near(p, e, a)) {
		wait_there(p, e, a);
		return PLACE_ATTEMPT_WAITING;
	}
	leave_engine(a);
	place_engine_grant(p, e, a, &est);
	return PLACE_ATTEMPT_GRANTED;
}
