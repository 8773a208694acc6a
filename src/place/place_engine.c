#include <math.h>
#include <string.h>

#include "place/place_internal.h"
#include "util/mem.h"

/*
 * Placement of model requests, on the engine with the lowest cost: the
 * estimated time to the first event plus the cost to other requests.
 *
 * Prompt lengths have a heavy tail, so the number of requests at an engine says
 * little about the wait of the next one. Most requests name an adapter; a few
 * adapters are hot and most are cold. The estimate therefore sums the unread
 * prompt tokens at the engine's measured speed, excludes those parts of the
 * request's own prompt that are cached there, and includes the load of the
 * adapter where it is not loaded. Hot adapters spread to more engines without
 * further rules, once the backlogs of their engines exceed the cost of a load.
 * Cold ones concentrate where a load is cheap.
 */

/* A load uses capacity of the store and may unload an adapter in demand. */
#define COLD_COST_MS 120.0
#define WARM_COST_MS 15.0
/* For each recent request for the adapter that is unloaded, and in total. */
#define VICTIM_COST_MS	   20.0
#define VICTIM_COST_MAX_MS 200.0
/* Latency and traffic between data centres. */
#define REMOTE_COST_MS 2.0
/* Each running sequence slows the steps of the batch. */
#define BATCH_COST_PER_REQUEST_MS 6.0
/* With a smaller backlog a request estimated as late may still be in time. */
#define LATE_BACKLOG_MIN_MS 400.0
/*
 * An engine is stuck if it has sent no first byte for STUCK_US plus the time of
 * STUCK_FACTOR mean prompts.
 */
#define STUCK_US      (400 * US_PER_MS)
#define STUCK_FACTOR  3.0
#define STUCK_COST_MS 1000.0
/* Interval of evaluating a request whose adapter is not loading yet. */
#define WANTED_RECHECK_US (50 * US_PER_MS)
/* Longest usual time until an order is answered, or is known not to be. */
#define ORDER_ANSWER_MAX_US (500 * US_PER_MS)
/* The engine takes urgencies from 0, the most urgent, to 9. */
#define URGENCY_BASE 3u
#define URGENCY_MAX  9u

/* ---- the estimate ------------------------------------------------------- */

struct estimate {
	double first_ms; /* to the first event */
	double cost; /* first_ms plus the cost to other requests */
	uint32_t own_tokens; /* of the prompt, without cached ones */
	double backlog_ms;
	double limit_wait_ms; /* until the engine's rate limit allows it */
	bool needs_load, stuck;
};

/*
 * Time to process all unread prompts, less the time since the last progress, of
 * which at most one mean prompt is counted.
 */
static double
backlog_ms(const struct place *p, const struct place_endpoint *e)
{
	double total = (double)e->unread_tokens / e->tokens_per_ms;
	double since =
	    (double)(p->now_us - e->last_progress_us) / (double)US_PER_MS;
	double mean = e->unread_requests == 0 ? 0 : total / e->unread_requests;

	return total - (since < mean ? since : mean);
}

double
place_engine_load_ms(const struct place *p, const struct place_endpoint *e)
{
	double backlog = backlog_ms(p, e);

	return (backlog > 0 ? backlog : 0) +
	    e->running * BATCH_COST_PER_REQUEST_MS;
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

/* The cost of unloading an adapter to free a slot. */
static double
victim_cost(const struct place *p, struct place_endpoint *e)
{
	double cost;

	if (place_adapter_used_slots(e) < e->engine->adapter_slots)
		return 0;
	cost = place_adapter_victim_demand(p, e) * VICTIM_COST_MS;
	return cost < VICTIM_COST_MAX_MS ? cost : VICTIM_COST_MAX_MS;
}

/* Does the engine have a free slot and memory for the request? */
static bool
has_capacity(const struct place_endpoint *e, const struct place_ask *a)
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

static double
ms_since(const struct place *p, uint64_t since_us)
{
	return (double)(p->now_us - since_us) / (double)US_PER_MS;
}

/*
 * Time until an adapter that is loaded or pending can serve the request; false
 * if it will not. An order without an answer for longer than usual is expected
 * to take as long again.
 */
static bool
pending_load_ms(const struct place *p, const struct place_endpoint *e,
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
	if (adapter->state == ADAPTER_ORDERED &&
	    p->now_us > adapter->state_since_us + ORDER_ANSWER_MAX_US)
		load += ms_since(p, adapter->state_since_us);
	if (*ms < load)
		*ms = load; /* not accepted yet, even if it is overdue */
	return may_order;
}

/*
 * Time of a load that would have to be ordered; false if none is possible or
 * its cost reaches limit. The cost to other requests is added to the estimate.
 * Cheap tests come first: they exclude most engines of a large fleet.
 */
static bool
new_load_ms(const struct place *p, struct place_endpoint *e,
    const struct place_ask *a, const struct place_adapter *adapter,
    double limit, double *ms, struct estimate *out)
{
	bool is_warm = place_adapter_was_recently_unloaded(e, a->key_hash);

	*ms = place_adapter_wait_ms(p, is_warm);
	out->cost += is_warm ? WARM_COST_MS : COLD_COST_MS;
	if (a->adapter == NULL || *ms + out->cost >= limit ||
	    (adapter != NULL && adapter->state != ADAPTER_LOADED) ||
	    (adapter == NULL && !place_adapter_can_make_room(e)))
		return false;
	out->needs_load = true;
	out->cost += victim_cost(p, e);
	return *ms + out->cost < limit;
}

/* Time until the engine's rate limit allows the request; INFINITY: never. */
static double
limit_wait_ms(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a)
{
	uint64_t wait_us = place_limit_wait_at_engine_us(p, e, a);

	return wait_us == UINT64_MAX ? INFINITY : (double)wait_us / US_PER_MS;
}

/*
 * Estimate a request at an engine; false if it can't run there or its cost
 * reaches limit. adapter: the request's adapter there; NULL if it is neither
 * loaded nor pending.
 */
static bool
estimate_engine(struct place *p, struct place_endpoint *e,
    const struct place_ask *a, const struct place_adapter *adapter,
    bool may_order, double limit, struct estimate *out)
{
	double load, backlog;

	memset(out, 0, sizeof(*out));
	p->totals.estimates++;
	may_order = may_order && p->now_us >= e->order_from_us;
	if (!has_capacity(e, a))
		return false;
	backlog = backlog_ms(p, e);
	if (backlog + e->running * BATCH_COST_PER_REQUEST_MS >= limit ||
	    !place_endpoint_is_usable(p, e, a->service) ||
	    place_ask_avoids(a, e) || !has_weights(e, a->model) ||
	    place_backoff_end_us(p, e, a->id.entry) != 0)
		return false;
	if ((adapter == NULL ||
		!pending_load_ms(p, e, a, adapter, may_order, &load)) &&
	    (!may_order || !new_load_ms(p, e, a, adapter, limit, &load, out)))
		return false;
	out->limit_wait_ms = limit_wait_ms(p, e, a);
	if (out->limit_wait_ms >= limit || isinf(out->limit_wait_ms))
		return false;
	out->backlog_ms = backlog;
	out->own_tokens = a->prompt_tokens - place_prefix_cached_tokens(e, a);
	out->first_ms = fmax(fmax(backlog, load), out->limit_wait_ms) +
	    out->own_tokens / e->tokens_per_ms +
	    e->running * BATCH_COST_PER_REQUEST_MS;
	out->stuck = is_stuck(p, e);
	out->cost += out->first_ms + (out->stuck ? STUCK_COST_MS : 0);
	if (a->data_centre != NULL &&
	    strcmp(a->data_centre, e->data_centre) != 0)
		out->cost += REMOTE_COST_MS;
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
make_basis(const struct place *p, const struct place_endpoint *e,
    const struct estimate *est)
{
	struct place_basis basis = place_basis_from_endpoint(p, e);

	basis.estimate_ms = (uint32_t)est->first_ms;
	basis.backlog_ms = (uint32_t)est->backlog_ms;
	basis.needs_load = est->needs_load;
	return basis;
}

static void
grant(struct place *p, struct place_endpoint *e, struct place_ask *a,
    const struct estimate *est)
{
	struct place_adapter *adapter = place_adapter_find(e, a->key);
	struct place_decision *d = place_decision_add(p, PLACE_GRANT);

	a->unread_tokens = est->own_tokens;
	place_endpoint_grant(p, e, a);
	place_prefix_record(p, e, a);
	adapter->running++;
	adapter->last_used_us = p->now_us;
	d->id = a->id;
	d->endpoint = e->id;
	d->address = e->address;
	d->born_ms = e->born_ms;
	d->adapter_version = a->adapter == NULL ? 0 : adapter->version;
	d->urgency = urgency_of(a);
	d->basis = make_basis(p, e, est);
	place_ask_set_waits(p, a, &d->basis);
}

/* Stop waiting for the adapter at the engine chosen before. */
static void
stop_waiting(struct place_ask *a)
{
	struct place_adapter *adapter;

	if (a->endpoint == NULL)
		return;
	adapter = place_adapter_find(a->endpoint, a->key);
	if (adapter != NULL && adapter->waiting > 0)
		adapter->waiting--;
	a->endpoint = NULL;
}

/* Keep a request queued at an engine; its adapter there is not unloaded. */
static void
wait_at_engine(struct place_endpoint *e, struct place_ask *a)
{
	if (a->endpoint == e)
		return;
	stop_waiting(a);
	a->endpoint = e;
	place_adapter_find(e, a->key)->waiting++;
}

/* Keep a request queued until the engine's rate limit allows it. */
static void
wait_for_limit(struct place *p, struct place_endpoint *e, struct place_ask *a,
    const struct estimate *est)
{
	p->totals.limit_waits += !a->has_waited_for_limit;
	a->has_waited_for_limit = true;
	wait_at_engine(e, a);
	a->evaluate_at_us =
	    p->now_us + (uint64_t)(est->limit_wait_ms * US_PER_MS) + 1;
}

static void
wait_for_adapter(struct place *p, struct place_endpoint *e, struct place_ask *a)
{
	struct place_adapter *adapter;

	if (a->load_wait_since_us == 0)
		a->load_wait_since_us = p->now_us;
	place_adapter_request_load(p, e, a);
	adapter = place_adapter_find(e, a->key);
	wait_at_engine(e, a);
	if (adapter->state != ADAPTER_LOADING)
		a->evaluate_at_us = p->now_us + WANTED_RECHECK_US;
	else if (adapter->ready_us > p->now_us + PLACE_EARLY_SEND_US)
		a->evaluate_at_us = adapter->ready_us - PLACE_EARLY_SEND_US;
	else
		a->evaluate_at_us = p->now_us + PLACE_EARLY_SEND_US;
}

/* Is the adapter loaded, or will it be when the request arrives? */
static bool
is_adapter_ready(const struct place *p, const struct place_endpoint *e,
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

/* Estimate one engine of a search; true if it is the best so far. */
static bool
try_engine(struct place *p, struct place_endpoint *e, const struct place_ask *a,
    const struct place_adapter *adapter, bool may_order, struct estimate *best)
{
	struct estimate est;

	e->last_search = p->search_count;
	if (e->is_foreign ||
	    !estimate_engine(p, e, a, adapter, may_order, best->cost, &est) ||
	    est.cost >= best->cost)
		return false;
	*best = est;
	return true;
}

/*
 * Find the engine with the lowest cost. Those that have the adapter come first:
 * their low cost excludes most others early.
 */
static struct place_endpoint *
find_engine(struct place *p, const struct place_ask *a, bool may_order,
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

/* Estimate the request at the engine where it waits; false if it can't run. */
static bool
estimate_current(struct place *p, const struct place_ask *a, bool may_order,
    struct estimate *est)
{
	struct place_endpoint *e = a->endpoint;

	return e != NULL &&
	    estimate_engine(p, e, a, place_adapter_find(e, a->key), may_order,
		INFINITY, est);
}

/*
 * Would the answer come too late? The store is the scarce resource: a load that
 * is too late for its request delays one that would be in time. The caller is
 * asked to retry when the loads before it are done.
 */
static bool
is_too_late(const struct place *p, const struct place_ask *a,
    const struct estimate *est)
{
	uint64_t first_us = p->now_us + (uint64_t)est->first_ms * US_PER_MS;

	if (first_us >= a->deadline_us)
		return true;
	if (a->attempt > 0)
		return false; /* a late answer is better than a failure */
	if (first_us > a->target_us &&
	    fmax(est->backlog_ms, est->limit_wait_ms) > LATE_BACKLOG_MIN_MS)
		return true;
	return est->needs_load && first_us > a->target_us &&
	    p->store_loads + p->queued_store_loads >=
	    place_adapter_store_loads_max(p);
}

/* If no engine has room now, may one still have in time? */
static bool
is_worth_waiting(const struct place *p, const struct place_ask *a)
{
	return p->now_us < a->target_us &&
	    p->store_loads + p->queued_store_loads <
	    place_adapter_store_loads_max(p);
}

/* Refuse a request that the engines of another owner may have room for. */
static enum place_attempt
refuse_elsewhere(struct place *p, struct place_ask *a,
    const struct place_basis *basis, const char *reason,
    uint32_t retry_after_ms)
{
	place_ask_refuse(p, a, basis, reason, retry_after_ms);
	p->decisions[p->ndecisions - 1].elsewhere = true;
	return PLACE_ATTEMPT_REFUSED;
}

/* Refuse a request whose answer would come too late. */
static enum place_attempt
refuse_late(struct place *p, struct place_ask *a,
    const struct place_endpoint *e, const struct estimate *est)
{
	struct place_basis basis = make_basis(p, e, est);
	uint64_t from_us =
	    p->now_us + (uint64_t)(est->limit_wait_ms * US_PER_MS);

	if (est->limit_wait_ms <= LATE_BACKLOG_MIN_MS)
		return refuse_elsewhere(p, a, &basis, "overload",
		    place_adapter_wait_ms(p,
			place_adapter_was_recently_unloaded(e, a->key_hash)));
	from_us = place_limit_return_us(p, a->service, from_us);
	p->totals.limit_refusals++;
	return refuse_elsewhere(p, a, &basis, "endpoints-limited",
	    (uint32_t)((from_us - p->now_us) / US_PER_MS) + 1);
}

/*
 * Where a request waits already, if that is still possible. One that waits for
 * a rate limit alone may go to any other engine that can take it earlier.
 */
static bool
stays_at_engine(struct place *p, const struct place_ask *a, bool may_order,
    struct estimate *est)
{
	return estimate_current(p, a, may_order, est) &&
	    (est->limit_wait_ms <= 0 || !is_adapter_ready(p, a->endpoint, a));
}

enum place_attempt
place_engine_place(struct place *p, struct place_ask *a, bool may_order)
{
	struct place_endpoint *e = a->endpoint;
	struct estimate est;

	if (!stays_at_engine(p, a, may_order, &est)) {
		stop_waiting(a);
		e = find_engine(p, a, may_order, &est);
	}
	if (e == NULL && p->owned_engines == 0 && p->all_engines > 0)
		return refuse_elsewhere(p, a, NULL, "not-owner", 0);
	if (e == NULL && !is_worth_waiting(p, a))
		return refuse_elsewhere(
		    p, a, NULL, "no-room", 2 * p->options.adapter_load_ms);
	if (e == NULL)
		return PLACE_ATTEMPT_WAITING;
	if (a->endpoint == NULL && is_too_late(p, a, &est))
		return refuse_late(p, a, e, &est);
	if (!is_adapter_ready(p, e, a)) {
		wait_for_adapter(p, e, a);
		return PLACE_ATTEMPT_WAITING;
	}
	if (est.limit_wait_ms > 0) {
		wait_for_limit(p, e, a, &est);
		return PLACE_ATTEMPT_WAITING;
	}
	stop_waiting(a);
	grant(p, e, a, &est);
	return PLACE_ATTEMPT_GRANTED;
}
