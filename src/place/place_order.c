#include <stdlib.h>
#include <string.h>

#include "place/place_admit.h"
#include "place/place_guard.h"
#include "place/place_room.h"
#include "place/place_weights.h"
#include "util/mem.h"

/*
 * Orders to engines.
 *
 * Each engine gets one call at a time, and each order is conditional on the
 * number of orders that the engine has accepted. An order whose answer was lost
 * and which arrives seconds later, after another one, is therefore refused by
 * the engine and never uses a slot twice. Where that number is uncertain, a
 * report is requested first.
 *
 * An order never expects a number that the engine has yet to reach: left
 * without an answer it would be carried out at another state, once the engine
 * has reached it by other orders. So an answer counts only if the engine has
 * surely counted the order. An unload that the engine had nothing to do for is
 * answered like one that was carried out, and only the latter is counted.
 */

/* Delay before retrying an order refused because another is in progress. */
#define CONFLICT_RETRY_US (150 * US_PER_MS)
/* An engine gets no calls for a while after this many unanswered orders. */
#define UNANSWERED_MAX 3u
/* A prefetch that has not been ordered for so long is dropped. */
#define PREFETCH_US (200 * US_PER_MS)
/* ---- results ------------------------------------------------------------ */

static void
enter_state(struct place *p, struct place_endpoint *e, struct place_adapter *a,
    enum adapter_state state)
{
	place_adapter_set_state(e, a, state);
	a->state_since_us = p->now_us;
	if (state == ADAPTER_LOADED) {
		a->is_replacing = false;
		p->capacity_generation++;
		place_change_add(p, e->id, false);
	}
}

static void
on_load_accepted(
    struct place *p, struct place_endpoint *e, struct place_adapter *a)
{
	uint32_t ms = a->adapter == NULL
	    ? place_weights_load_ms(e, a)
	    : place_adapter_load_ms(
		  p, place_adapter_was_recently_unloaded(e, a->key_hash));

	a->version = a->wanted_version;
	a->ready_us = p->now_us + ms * US_PER_MS;
	a->is_surely_held = true;
	a->is_held_at_count = false;
	a->doubt_count_plus_one = 0;
	memset(&a->load, 0, sizeof(a->load));
	if (a->adapter != NULL && a->from_store)
		place_store_begin(&p->store, &a->load, p->now_us,
		    p->store_loads, place_adapter_store_bounds(p));
	a->missing_count = 0;
	a->has_served = false;
	enter_state(p, e, a, ADAPTER_LOADING);
	if (a->adapter == NULL) { /* no other order meanwhile */
		e->backoff_until_us = a->ready_us;
		e->orders_known = false;
	}
	place_adapter_schedule_waiting(p, e, a);
}

static void
on_load_result(struct place *p, struct place_endpoint *e,
    struct place_adapter *a, enum gw_order_result result)
{
	if (result == GW_ORDER_STARTED) {
		on_load_accepted(p, e, a);
	} else if (result == GW_ORDER_DONE) {
		place_adapter_release_store(p, a);
		a->version = a->wanted_version;
		enter_state(p, e, a, ADAPTER_LOADED);
	} else {
		place_adapter_release_store(p, a);
		enter_state(p, e, a, ADAPTER_WANTED);
	}
}

static void
on_unload_result(struct place *p, struct place_endpoint *e,
    struct place_adapter *a, enum gw_order_result result)
{
	if (result == GW_ORDER_DONE) {
		place_adapter_remove(p, e, a, true);
		place_change_add(p, e->id, false);
	} else if (result == GW_ORDER_STARTED) {
		/* the unload completes after the last request on it */
		a->is_surely_held = false;
		e->orders_known = false;
		e->needs_report = true;
	} else {
		/* unless it was refused, it may be carried out yet */
		if (result != GW_ORDER_BUSY && a->doubt_count_plus_one == 0)
			a->doubt_count_plus_one = e->accepted_orders + 1;
		enter_state(p, e, a, ADAPTER_LOADED);
	}
}

static void
back_off(struct place *p, struct place_endpoint *e, uint64_t us)
{
	e->backoff_until_us = p->now_us + us;
	place_schedule_run(p, e->backoff_until_us);
}

/*
 * An order without an answer may have been accepted, or be carried out seconds
 * later. Another one that expects the same count can be sent immediately,
 * because the engine accepts only one of them. Which one it was is determined
 * by a report once the engine refuses a count.
 */
static void
on_unanswered(struct place *p, struct place_endpoint *e)
{
	if (++e->consecutive_unanswered < UNANSWERED_MAX &&
	    place_guards.expected)
		return;
	e->consecutive_unanswered = 0;
	e->orders_known = false;
	back_off(p, e, PLACE_REPORT_LAG_US);
}

/*
 * Whether an order that is answered as done was surely counted: an unload of an
 * adapter that is surely held. An earlier unload of it that expected the same
 * count was not carried out, as the engine had this count still.
 */
static bool
is_done_counted(const struct place_endpoint *e, const struct place_adapter *a)
{
	if (!place_guards.counted)
		return e->order_is_unload;
	return e->order_is_unload && a != NULL && a->is_surely_held &&
	    (a->doubt_count_plus_one == 0 ||
		a->doubt_count_plus_one == e->accepted_orders + 1);
}

/*
 * The engine has counted an order. What expected the same count and got no
 * answer was not accepted before, and will not be.
 */
static void
count_order(struct place_endpoint *e)
{
	struct place_adapter *a;
	size_t i;

	e->accepted_orders++;
	for (i = 0; i < map_count(e->adapters); i++) {
		a = map_at(e->adapters, i);
		if (a->doubt_count_plus_one == e->accepted_orders)
			a->doubt_count_plus_one = 0;
	}
}

static void
set_unsure(struct place_endpoint *e, const char *key)
{
	free(e->unsure_key);
	e->unsure_key = mem_string(key);
}

/*
 * Update the count of accepted orders from an answer.
 *
 * a: what the order was for; NULL: it is not known any more.
 */
static void
update_order_count(struct place *p, struct place_endpoint *e,
    const struct place_adapter *a, enum gw_order_result result)
{
	e->consecutive_unanswered = 0;
	switch (result) {
	case GW_ORDER_STARTED:
		count_order(e);
		e->last_accepted_us = p->now_us;
		break;
	case GW_ORDER_DONE:
		e->last_accepted_us = p->now_us;
		if (is_done_counted(e, a)) {
			count_order(e);
			break;
		}
		e->orders_known = false;
		if (e->order_is_unload && a != NULL)
			set_unsure(e, a->key);
		break;
	case GW_ORDER_FENCED:
		e->is_fenced = place_guards.fence;
		break;
	default:
		e->orders_known = false;
		back_off(p, e, CONFLICT_RETRY_US);
		break;
	}
}

bool
place_is_call_open(const struct place *p, const char *endpoint, uint64_t call)
{
	const struct place_endpoint *e = map_get_str(p->endpoints, endpoint);

	return e != NULL && e->call_in_flight && e->call == call;
}

void
place_on_order_result(struct place *p, uint64_t now_us, const char *endpoint,
    enum gw_order_result result, bool is_unanswered)
{
	struct place_endpoint *e = map_get_str(p->endpoints, endpoint);
	struct place_adapter *a;

	if (e == NULL || !e->call_in_flight || e->order_key == NULL)
		return;
	p->now_us = now_us;
	place_schedule_run(p, 0);
	a = place_adapter_find(e, e->order_key);
	e->call_in_flight = false;
	if (is_unanswered)
		on_unanswered(p, e);
	else
		update_order_count(p, e, a, result);
	free(e->order_key);
	e->order_key = NULL;
	if (a == NULL)
		return;
	if (e->order_is_unload)
		on_unload_result(p, e, a, result);
	else
		on_load_result(p, e, a, result);
}

/* ---- sending ------------------------------------------------------------ */

/* Begin a call to an endpoint; returns its number. */
static uint64_t
begin_call(struct place *p, struct place_endpoint *e)
{
	e->call_in_flight = true;
	e->call = ++p->last_call;
	return e->call;
}

static void
send_order(struct place *p, struct place_endpoint *e, struct place_adapter *a,
    bool unload)
{
	struct place_decision *d = place_decision_add(p, PLACE_ORDER);

	d->endpoint = e->id;
	d->service = e->service;
	d->address = e->address;
	d->order.type = unload ? GW_ORDER_UNLOAD : GW_ORDER_LOAD;
	d->order.endpoint = e->id;
	d->order.model = a->model;
	d->order.adapter = a->adapter;
	d->order.version = unload ? 0 : a->wanted_version;
	d->order.expected_orders = e->accepted_orders;
	d->order.has_expected = place_guards.expected;
	d->call = begin_call(p, e);
	e->has_been_ordered = true;
	e->order_is_unload = unload;
	free(e->order_key);
	e->order_key = mem_string(a->key);
	enter_state(p, e, a, unload ? ADAPTER_EVICTING : ADAPTER_ORDERED);
	if (unload)
		p->totals.unloads++;
	else if (a->adapter == NULL)
		p->totals.weight_loads++;
	else
		p->totals.loads++;
}

static void
request_report(struct place *p, struct place_endpoint *e)
{
	struct place_decision *d = place_decision_add(p, PLACE_REPORT);

	d->endpoint = e->id;
	d->address = e->address;
	d->call = begin_call(p, e);
	e->needs_report = false;
	free(e->order_key);
	e->order_key = NULL;
	p->totals.reports++;
}

/*
 * Weights are first. In a shortage then the loads of accounts below their
 * shares, then of urgent requests; then what most requests wait for, then the
 * oldest.
 */
static bool
is_before(const struct place_adapter *a, const struct place_adapter *b)
{
	if ((a->adapter == NULL) != (b->adapter == NULL))
		return a->adapter == NULL;
	if (a->load_rank != b->load_rank)
		return a->load_rank < b->load_rank;
	if (a->waiting != b->waiting)
		return a->waiting > b->waiting;
	return a->state_since_us < b->state_since_us;
}

static size_t
count_loads(const struct place_endpoint *e)
{
	const struct place_adapter *a;
	size_t i, n = 0;

	for (i = 0; i < map_count(e->adapters); i++) {
		a = map_at(e->adapters, i);
		n += a->adapter != NULL &&
		    (a->state == ADAPTER_ORDERED ||
			a->state == ADAPTER_LOADING);
	}
	return n;
}

/* Unloads one adapter, if room for the wanted one can be made at all. */
static void
order_unload_for(struct place *p, struct place_endpoint *e,
    const struct place_adapter *wanted)
{
	struct place_adapter *victim;

	if (!place_room_can_be_freed_for(e, wanted))
		return;
	victim = place_room_choose_victim(p, e, wanted, wanted->size_kb);
	if (victim != NULL &&
	    (!wanted->is_prefetch ||
		place_prefetch_may_unload(p, wanted->key, victim)))
		send_order(p, e, victim, true);
}

static void
order_adapter(
    struct place *p, struct place_endpoint *e, struct place_adapter *a)
{
	if (count_loads(e) >= PLACE_LOADS_PER_ENGINE_MAX ||
	    (a->is_prefetch && !place_prefetch_may_load(p)))
		return;
	if (!place_room_has_for(e, a)) {
		order_unload_for(p, e, a);
		return;
	}
	if (!place_adapter_was_recently_unloaded(e, a->key_hash)) {
		if (p->store_loads >= place_adapter_store_loads_max(p))
			return;
		p->store_loads++;
		a->from_store = true;
		p->totals.cold_loads++;
	}
	send_order(p, e, a, false);
}

/* ---- weights ------------------------------------------------------------ */

static void
order_weights(struct place *p, struct place_endpoint *e,
    struct place_adapter *a, const struct gw_engine *engine)
{
	if (!place_room_has_for_weights(e, a))
		place_adapter_remove(p, e, a, false);
	else if (place_weights_take_permit(p, e, a, engine))
		send_order(p, e, a, false);
}

/* ---- the run ------------------------------------------------------------ */

/* An endpoint and its next order. */
struct next_order {
	struct place_endpoint *endpoint;
	struct place_adapter *wanted; /* to be loaded; NULL: nothing */
};

/* Is it wanted, but no request waits for it any more? */
static bool
is_unneeded(const struct place *p, const struct place_adapter *a)
{
	return a->state == ADAPTER_WANTED && a->waiting == 0 &&
	    a->adapter != NULL &&
	    !(a->is_prefetch && p->now_us < a->state_since_us + PREFETCH_US);
}

/*
 * Complete a load that is due and drop an unneeded one; false if the adapter
 * was removed.
 */
static bool
update_adapter(
    struct place *p, struct place_endpoint *e, struct place_adapter *a)
{
	/* The time of a prefetch does not run while a report is awaited. */
	if (a->is_prefetch && a->state == ADAPTER_WANTED && !e->orders_known)
		a->state_since_us = p->now_us;
	if (a->state == ADAPTER_LOADING && p->now_us >= a->ready_us) {
		place_adapter_release_store(p, a);
		enter_state(p, e, a, ADAPTER_LOADED);
		/* a request may come much later, which tells nothing of it */
		if (a->is_prefetch)
			a->load.began_us = 0;
	} else if (a->state == ADAPTER_LOADING) {
		place_schedule_run(p, a->ready_us);
	} else if (is_unneeded(p, a) && a->is_replacing) {
		enter_state(p, e, a, ADAPTER_LOADED);
	} else if (is_unneeded(p, a)) {
		place_adapter_remove(p, e, a, false);
		return false;
	}
	return true;
}

/* Update all adapters of an endpoint; returns the first one to order. */
static struct place_adapter *
update_endpoint(struct place *p, struct place_endpoint *e)
{
	struct place_adapter *a, *wanted = NULL;
	size_t i = map_count(e->adapters);

	e->has_pending_adapters = false;
	while (i-- > 0) {
		a = map_at(e->adapters, i);
		p->totals.examined_adapters++;
		if (!update_adapter(p, e, a))
			continue;
		e->has_pending_adapters |= a->state != ADAPTER_LOADED;
		if (a->state != ADAPTER_WANTED)
			continue;
		if (wanted == NULL || is_before(a, wanted))
			wanted = a;
		p->queued_store_loads += a->adapter != NULL &&
		    !a->is_prefetch &&
		    !place_adapter_was_recently_unloaded(e, a->key_hash);
	}
	return wanted;
}

/*
 * Issue the next order to an engine, or a report request. The latter needs no
 * permission to order.
 */
static void
issue_next(struct place *p, const struct next_order *next, bool may_order)
{
	struct place_endpoint *e = next->endpoint;
	const struct gw_engine *engine = e->engine;
	struct place_adapter *a = may_order ? next->wanted : NULL;

	if (engine == NULL || e->leaving || e->is_fenced || e->call_in_flight ||
	    !place_is_placer(p))
		return;
	if (may_order && e->nweights == 0)
		a = place_weights_choose(p, e, engine);
	if (a == NULL && !e->needs_report)
		return;
	if (p->now_us < e->backoff_until_us) {
		place_schedule_run(p, e->backoff_until_us);
		return;
	}
	if (!e->orders_known && e->unsure_key == NULL &&
	    p->now_us < e->last_accepted_us + PLACE_REPORT_LAG_US)
		place_schedule_run(
		    p, e->last_accepted_us + PLACE_REPORT_LAG_US);
	else if (!e->orders_known)
		request_report(p, e);
	else if (a == NULL)
		e->needs_report = false; /* a report has arrived since */
	else if (p->now_us < e->order_from_us)
		place_schedule_run(p, e->order_from_us);
	else if (a->adapter == NULL)
		order_weights(p, e, a, engine);
	else
		order_adapter(p, e, a);
}

static int
compare_orders(const void *a, const void *b)
{
	const struct next_order *x = a, *y = b;

	if (x->wanted == NULL || y->wanted == NULL)
		return (x->wanted == NULL) - (y->wanted == NULL);
	if (is_before(x->wanted, y->wanted))
		return -1;
	return is_before(y->wanted, x->wanted) ? 1 : 0;
}

/*
 * The store serves few concurrent loads, so they are ordered by priority over
 * all endpoints: first the load that most requests wait for. In a large fleet
 * few engines load anything at a time, and only those are examined.
 */
void
place_order_run(struct place *p, bool may_order)
{
	size_t i, n = map_count(p->endpoints), due = 0;
	struct place_endpoint *e;
	struct next_order *orders = mem_alloc(n + 1, sizeof(*orders));

	p->queued_store_loads = 0;
	p->admit->ops->rank_loads(p);
	for (i = 0; i < n; i++) {
		e = map_at(p->endpoints, i);
		if (e->is_foreign)
			continue;
		if (!e->has_pending_adapters && !e->needs_report &&
		    (e->nweights > 0 || e->engine == NULL))
			continue;
		orders[due].endpoint = e;
		orders[due].wanted = update_endpoint(p, e);
		due += orders[due].wanted != NULL || e->needs_report ||
		    e->nweights == 0;
	}
	qsort(orders, due, sizeof(*orders), compare_orders);
	for (i = 0; i < due; i++)
		issue_next(p, &orders[i], may_order);
	free(orders);
	if (may_order && place_is_placer(p))
		place_prefetch_run(p);
}
