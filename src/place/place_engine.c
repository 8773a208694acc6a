#include <math.h>
#include <string.h>

#include "place/place_admit.h"
#include "place/place_room.h"
#include "util/mem.h"

/*
 * Placement of model requests, on the engine with the lowest cost: the
 * estimated time to the first event plus the cost to other requests.
 *
 * place_estimate.c estimates that time. Hot adapters spread to more engines
 * without further rules, once the backlogs of their engines exceed the cost of
 * a load. Cold ones concentrate where a load is cheap.
 */

/* With a smaller backlog a request estimated as late may still be in time. */
#define LATE_BACKLOG_MIN_MS 400.0
/* Interval of evaluating a request whose adapter is not loading yet. */
#define WANTED_RECHECK_US (50 * US_PER_MS)

static struct place_basis
make_basis(const struct place *p, const struct place_endpoint *e,
    const struct place_estimate *est)
{
	struct place_basis basis = place_basis_from_endpoint(p, e);

	basis.estimate_ms = (uint32_t)est->first_ms;
	basis.backlog_ms = (uint32_t)est->backlog_ms;
	basis.saving_ms = (uint32_t)est->saving_ms;
	basis.needs_load = est->needs_load;
	return basis;
}

static void
grant(struct place *p, struct place_endpoint *e, struct place_ask *a,
    const struct place_estimate *est)
{
	struct place_adapter *adapter = place_adapter_find(e, a->key);
	struct place_decision *d = place_decision_add(p, PLACE_GRANT);

	a->unread_tokens = est->own_tokens;
	p->totals.prefix_grants += est->own_tokens < a->prompt_tokens;
	p->totals.prefix_tokens += a->prompt_tokens - est->own_tokens;
	place_endpoint_grant(p, e, a);
	place_prefix_record(p, e, a);
	p->totals.prefetches_used += adapter->is_prefetch;
	adapter->is_prefetch = false;
	adapter->running++;
	adapter->last_used_us = p->now_us;
	d->id = a->id;
	d->endpoint = e->id;
	d->address = e->address;
	d->born_ms = e->born_ms;
	d->adapter_version = a->adapter == NULL ? 0 : adapter->version;
	d->urgency = a->urgency;
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
	a->endpoint->waiting_tokens -= a->prompt_tokens;
	a->endpoint = NULL;
}

/* Keep a request queued at an engine; its adapter there is not unloaded. */
static void
wait_at_engine(struct place_endpoint *e, struct place_ask *a)
{
	struct place_adapter *adapter;

	if (a->endpoint == e)
		return;
	stop_waiting(a);
	a->endpoint = e;
	adapter = place_adapter_find(e, a->key);
	adapter->waiting++;
	adapter->is_prefetch = false;
	e->waiting_tokens += a->prompt_tokens;
}

/* Keep a request queued until the engine's rate limit allows it. */
static void
wait_for_limit(struct place *p, struct place_endpoint *e, struct place_ask *a,
    const struct place_estimate *est)
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

/* The best engine of a search so far. */
struct choice {
	struct place_endpoint *engine; /* NULL: none */
	struct place_estimate estimate;
	bool is_full; /* see place_admit_is_full_of_others() */
};

/*
 * Is an engine better than the best one so far? Costs tell how long the request
 * takes, not whether it is admitted: at an engine that is full of others it
 * would be held, while another one with the adapter has room.
 */
static bool
is_better(
    const struct choice *best, const struct place_estimate *est, bool is_full)
{
	if (best->engine != NULL && is_full != best->is_full &&
	    !best->estimate.needs_load && !est->needs_load)
		return best->is_full;
	return est->cost < best->estimate.cost;
}

/* Estimate one engine of a search. adapter: NULL: it has to be loaded. */
static void
try_engine(struct place *p, struct place_endpoint *e, const struct place_ask *a,
    const struct place_adapter *adapter, bool may_order, struct choice *best)
{
	struct place_estimate est;
	double limit = best->estimate.cost;
	bool is_full;

	e->last_search = p->search_count;
	if (e->is_foreign)
		return;
	if (best->is_full && !best->estimate.needs_load && adapter != NULL)
		limit = INFINITY;
	if (!place_estimate_engine(p, e, a, adapter, may_order, limit, &est))
		return;
	place_admit_add_waiting(p, e, &est);
	is_full = place_admit_is_full_of_others(p, a, &est);
	if (!is_better(best, &est, is_full))
		return;
	best->engine = e;
	best->estimate = est;
	best->is_full = is_full;
}

/*
 * Find the engine with the lowest cost. Those that have the adapter come first:
 * their low cost excludes most others early.
 */
static struct place_endpoint *
find_engine(struct place *p, const struct place_ask *a, bool may_order,
    struct place_estimate *est)
{
	const struct place_demand *d = place_demand_find(p, a->key);
	const struct place_group *g = place_group_find(p, a->service);
	struct choice best = {.estimate.cost = INFINITY};
	struct place_endpoint *e;
	size_t i;

	p->search_count++;
	for (i = 0; d != NULL && i < d->nholders; i++) {
		e = d->holders[i];
		try_engine(
		    p, e, a, place_adapter_find(e, a->key), may_order, &best);
	}
	for (i = 0; i < g->count; i++) {
		e = g->endpoints[i];
		if (e->last_search != p->search_count)
			try_engine(p, e, a, NULL, may_order, &best);
	}
	*est = best.estimate;
	return best.engine;
}

/* Estimate the request at the engine where it waits; false if it can't run. */
static bool
estimate_current(struct place *p, const struct place_ask *a, bool may_order,
    struct place_estimate *est)
{
	struct place_endpoint *e = a->endpoint;

	return e != NULL &&
	    place_estimate_engine(p, e, a, place_adapter_find(e, a->key),
		may_order, INFINITY, est);
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
    const struct place_endpoint *e, const struct place_estimate *est)
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
    struct place_estimate *est)
{
	return estimate_current(p, a, may_order, est) &&
	    (est->limit_wait_ms <= 0 || !is_adapter_ready(p, a->endpoint, a));
}

/*
 * Judge a request at the engine of lowest cost, or at the best one that has its
 * adapter if it may not begin a load: it isn't refused, nor held for the
 * store, while there is one. Only shares recognize a shortage.
 */
static enum place_verdict
judge(struct place *p, struct place_ask *a, struct place_endpoint **e,
    struct place_estimate *est, bool may_order)
{
	struct place_endpoint *holder;
	struct place_estimate there;
	enum place_verdict verdict = p->admit->ops->judge(
	    p, a, est, is_adapter_ready(p, *e, a), may_order);

	if (verdict == PLACE_RUN || !est->needs_load || !p->admit->is_short)
		return verdict;
	holder = find_engine(p, a, false, &there);
	if (holder == NULL)
		return verdict;
	*e = holder;
	*est = there;
	return p->admit->ops->judge(
	    p, a, est, is_adapter_ready(p, holder, a), may_order);
}

/*
 * Let a request that is held where its adapter is loaded go to any other engine
 * with the adapter. It keeps the only copy, which the load of another one could
 * evict otherwise.
 */
static void
release_held(struct place *p, struct place_ask *a)
{
	const struct place_demand *d = place_demand_find(p, a->key);

	if (a->endpoint == NULL || d == NULL || d->nholders < 2)
		return;
	stop_waiting(a);
	a->evaluate_at_us = 0;
}

/* No engine can take the request now. */
static enum place_attempt
wait_or_refuse(struct place *p, struct place_ask *a, bool may_order)
{
	if (place_room_refuse(p, a) || place_room_refuse_by_engines(p, a))
		return PLACE_ATTEMPT_REFUSED;
	if (p->owned_engines == 0 && p->all_engines > 0)
		return refuse_elsewhere(p, a, NULL, "not-owner", 0);
	if (p->admit->ops->judge(p, a, NULL, false, may_order) != PLACE_HOLD)
		return refuse_elsewhere(
		    p, a, NULL, "no-room", 2 * p->options.adapter_load_ms);
	place_admit_set_held(p, a, true);
	place_admit_set_blocked(p, a, place_admit_is_blocked(p, a));
	return PLACE_ATTEMPT_WAITING;
}

enum place_attempt
place_engine_place(struct place *p, struct place_ask *a, bool may_order)
{
	struct place_endpoint *e = a->endpoint;
	struct place_estimate est;
	enum place_verdict verdict;
	bool is_ready;

	if (!stays_at_engine(p, a, may_order, &est)) {
		stop_waiting(a);
		e = find_engine(p, a, may_order, &est);
	}
	if (e == NULL)
		return wait_or_refuse(p, a, may_order);
	place_admit_set_blocked(p, a, false);
	verdict = judge(p, a, &e, &est, may_order);
	is_ready = is_adapter_ready(p, e, a);
	if (verdict == PLACE_TOO_LATE)
		return refuse_late(p, a, e, &est);
	place_admit_set_held(p, a, verdict == PLACE_HOLD);
	if (verdict == PLACE_HOLD) {
		release_held(p, a);
		return PLACE_ATTEMPT_WAITING;
	}
	if (!is_ready) {
		wait_for_adapter(p, e, a);
		return PLACE_ATTEMPT_WAITING;
	}
	if (est.limit_wait_ms > 0) {
		wait_for_limit(p, e, a, &est);
		return PLACE_ATTEMPT_WAITING;
	}
	stop_waiting(a);
	p->totals.late_grants += a->is_late;
	grant(p, e, a, &est);
	return PLACE_ATTEMPT_GRANTED;
}
