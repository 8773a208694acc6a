#include "sched/policy_fair.h"

/*
 * Loads of the "fair" policy. The adapter to load is the one whose load ends
 * most stall. The endpoint is chosen by the cost of the eviction there and by
 * how soon a seat will be free. A load is ordered only when it ends more stall
 * than the eviction is expected to cause.
 */

#define FAIR_DRAINS_MAX	       4 /* slots that are drained at a time */
#define FAIR_LOADS_PER_RUN_MAX 8 /* adapters that one run tries to load */
#define FAIR_PLACE_SEARCH_MAX  64 /* endpoints that one search considers */

/* Cost of evicting the last copy of an adapter that should stay loaded. */
#define FAIR_KEEP_COST_US 30e6
/* Cost factor of an eviction by the objective to avoid load stalls. */
#define FAIR_STALL_COST_FACTOR 1.5

/*
 * Duration of a queue, in load times, from which a replica is loaded, by
 * objective.
 */
#define FAIR_REPLICA_LOADS_STALL 1.0
#define FAIR_REPLICA_LOADS_BATCH 6.0

/* Cost of an endpoint by its load: load times, from no seat taken to all. */
#define FAIR_SPREAD_LOADS	 1.0

#define FAIR_RELOAD_MAX_US	 6e6
#define FAIR_FLOOD_LOAD_SPACINGS 5 /* before a load of a flooding team */
/* A flooding team loads where at least 1 / this of the seats is free. */
#define FAIR_FLOOD_FREE_DIVISOR 2
#define FAIR_WAKE_MIN_US	(10 * SCHED_MS_US)

/* A flow whose adapter is to be loaded. */
struct fair_load {
	struct flow *flow;
	double value; /* microseconds of stall that the load ends */
};

/* An endpoint to load an adapter on. */
struct fair_place {
	struct endpoint *ep;
	double cost; /* of the eviction, microseconds of stall */
	double score; /* cost and the expected wait for a seat */
};

/* Expected duration of a load. */
static double
fair_load_us(const struct sched *s)
{
	return (double)s->options.load_ms * SCHED_MS_US;
}

/*
 * Returns how long a reload takes, with the wait for its permit. The recent
 * mean wait counts, unless requests can use other copies meanwhile.
 */
static double
fair_reload_us(const struct sched *s, bool has_copies)
{
	uint64_t spacing_us = load_spacing_us(s);
	double wait_us = fair_load_us(s);

	if (spacing_us != SCHED_NEVER)
		wait_us += (double)spacing_us;
	if (!has_copies && s->mean_load_wait_us > wait_us)
		wait_us = s->mean_load_wait_us;
	return wait_us < FAIR_RELOAD_MAX_US ? wait_us : FAIR_RELOAD_MAX_US;
}

/*
 * Sums the stall of the requests that arrive during a reload and of those
 * that wait already, and weighs it by the share factor of the team.
 */
double
fair_evict_cost(struct policy *policy, struct sched *s, uint64_t now_us,
    const struct endpoint *ep, const struct slot *slot)
{
	const struct adapter *a = slot->adapter;
	double reload_us = fair_reload_us(s, a->loaded_slots > 1);
	double copies = a->loaded_slots > 0 ? a->loaded_slots : 1;
	double rate =
	    rate_at(a->request_rate, a->rate_updated_us, now_us) / copies;
	double cost, waiting;

	(void)policy;
	waiting = a->waiting < ep->seats ? a->waiting : ep->seats;
	cost = rate * reload_us * reload_us / (double)SCHED_SECOND_US;
	if (s->options.objective == SETTINGS_LOAD_STALL)
		cost *= FAIR_STALL_COST_FACTOR;
	cost += waiting * reload_us / copies;
	if (a->last_team == NULL || !a->last_team->is_flooding)
		cost +=
		    (double)(a->waiting * now_us - a->queued_us_sum) / copies;
	cost *= team_share_factor(s, a->last_team, now_us);
	if (a->keep_loaded && a->loaded_slots <= 1)
		cost += FAIR_KEEP_COST_US;
	return cost;
}

/*
 * Counts the seats of the endpoints that hold the adapter.
 *
 * has_free: set to whether the team may take one of them now.
 */
static uint32_t
fair_count_seats(
    struct sched *s, uint64_t now_us, const struct flow *f, bool *has_free)
{
	const struct adapter *a = f->adapter;
	const struct endpoint *ep;
	uint32_t i, seats = 0;

	*has_free = false;
	for (i = 0; i < a->nlocations; i++) {
		ep = a->locations[i].ep;
		if (a->locations[i].slot->drained_for != NULL ||
		    ep->pool != a->pool || !endpoint_is_usable(s, ep, now_us))
			continue;
		seats += ep->seats;
		if (fair_can_take_seat(s, f->team, ep))
			*has_free = true;
	}
	return seats;
}

/*
 * Returns the stall in microseconds that one more load of a flow's adapter
 * would end. 0: no load is needed.
 */
static double
fair_load_value(struct sched *s, uint64_t now_us, const struct flow *f)
{
	const struct adapter *a = f->adapter;
	double refused_us = adapter_refused_stall_us(a, now_us);
	double stall_us =
	    (double)(a->waiting * now_us - a->queued_us_sum) + refused_us;
	double threshold_us, queue_us;
	uint32_t seats;
	bool has_free;

	if (a->is_service || a->pending_loads > 0)
		return 0.0;
	seats = fair_count_seats(s, now_us, f, &has_free);
	if (seats == 0)
		return stall_us + a->waiting * fair_load_us(s);
	if (has_free)
		return 0.0;
	threshold_us = s->options.objective == SETTINGS_BATCH
	    ? FAIR_REPLICA_LOADS_BATCH
	    : FAIR_REPLICA_LOADS_STALL;
	threshold_us *= fair_load_us(s);
	queue_us = a->waiting * a->pool->mean_service_us / seats;
	/*
	 * A queue stays short when requests are refused. Refusals then show
	 * that a replica is needed.
	 */
	if ((refused_us < fair_load_us(s) || f->team->is_flooding) &&
	    (queue_us < threshold_us ||
		stall_us < threshold_us * a->waiting / 2.0))
		return 0.0;
	return stall_us / 2.0;
}

/*
 * Whether a load of a flooding team is delayed, to leave a part of the
 * store's rate to the others. Requests a run for the end of the delay.
 */
static bool
fair_delays_load(struct sched *s, uint64_t now_us, const struct team *t,
    const struct pool *p)
{
	uint64_t allowed_us;

	if (!team_is_over_share(s, t, p) || s->last_load_us == 0)
		return false;
	allowed_us =
	    s->last_load_us + FAIR_FLOOD_LOAD_SPACINGS * load_spacing_us(s);
	if (allowed_us <= now_us)
		return false;
	sched_wake_at(s, allowed_us);
	return true;
}

/* Returns the value of a load, or 0 when this run may not order it. */
static double
fair_allowed_load_value(struct sched *s, uint64_t now_us, const struct flow *f)
{
	double value;

	if (f->no_load_run == s->run_count)
		return 0.0;
	value = fair_load_value(s, now_us, f);
	if (value > 0.0 &&
	    fair_delays_load(s, now_us, f->team, f->adapter->pool))
		return 0.0;
	return value;
}

/*
 * Finds the least counter of the teams that need a load. Returns false when
 * there is none.
 */
static bool
fair_least_load_counter(struct sched *s, uint64_t now_us, double *least)
{
	const struct team *t;
	const struct flow *f;
	bool found = false;
	uint32_t i;

	for (i = 0; i < team_active_count(s); i++) {
		t = team_active_at(s, i);
		if (t->account->queued == 0 || !team_may_run(t))
			continue;
		if (found && t->account->counter >= *least)
			continue;
		for (f = t->flows; f != NULL; f = f->team_next) {
			if (fair_allowed_load_value(s, now_us, f) > 0.0)
				break;
		}
		if (f == NULL)
			continue;
		*least = t->account->counter;
		found = true;
	}
	return found;
}

/*
 * Chooses the load of most value of the teams within the deficit bound, each
 * weighed by the cube of the team's share factor. Returns false when there is
 * none.
 */
static bool
fair_choose_load(struct sched *s, uint64_t now_us, struct fair_load *best)
{
	struct team *t;
	struct flow *f;
	double value, least = 0.0, weight;
	uint32_t i;

	best->flow = NULL;
	if (!fair_least_load_counter(s, now_us, &least))
		return false;
	for (i = 0; i < team_active_count(s); i++) {
		t = team_active_at(s, i);
		if (t->account->queued == 0 || !team_may_run(t) ||
		    t->account->counter > least + team_deficit_bound(s))
			continue;
		weight = team_share_factor(s, t, now_us);
		weight = weight * weight * weight;
		for (f = t->flows; f != NULL; f = f->team_next) {
			value = weight * fair_allowed_load_value(s, now_us, f);
			if (value > 0.0 &&
			    (best->flow == NULL || value > best->value)) {
				best->flow = f;
				best->value = value;
			}
		}
	}
	return best->flow != NULL;
}

/*
 * Returns the expected wait for a seat, and a cost that spreads adapters over
 * the endpoints or, by the batch objective, gathers them. Microseconds.
 */
static double
fair_seat_wait_us(const struct sched *s, const struct endpoint *ep)
{
	double spread_us = FAIR_SPREAD_LOADS * fair_load_us(s);

	if (endpoint_free_seats(ep) == 0)
		return ep->pool->mean_service_us / ep->seats + spread_us;
	if (s->options.objective == SETTINGS_BATCH)
		return spread_us * endpoint_free_seats(ep) / ep->seats;
	return spread_us * ep->grants / ep->seats;
}

/*
 * Whether an endpoint with the adapter has free seats, but only those that a
 * flooding team leaves to the others.
 */
static bool
fair_only_reserve_left(const struct sched *s, const struct flow *f)
{
	const struct adapter *a = f->adapter;
	uint32_t i;

	for (i = 0; i < a->nlocations; i++) {
		if (a->locations[i].slot->state == SLOT_LOADED &&
		    endpoint_free_seats(a->locations[i].ep) > 0 &&
		    !fair_can_take_seat(s, f->team, a->locations[i].ep))
			return true;
	}
	return false;
}

/*
 * Whether the flow may load its adapter on the endpoint. A flooding team may
 * do so only where enough stays idle for the others.
 */
static bool
fair_can_load_on(
    const struct sched *s, const struct flow *f, const struct endpoint *ep)
{
	if (!team_is_over_share(s, f->team, ep->pool))
		return true;
	if (!fair_leaves_idle_slot(s, f->team, ep))
		return false;
	return !fair_only_reserve_left(s, f) ||
	    endpoint_free_seats(ep) * FAIR_FLOOD_FREE_DIVISOR >= ep->seats;
}

/* Replaces the best place if the load is possible here at a lower score. */
static void
fair_consider_place(struct sched *s, uint64_t now_us,
    const struct fair_load *load, struct endpoint *ep, struct fair_place *best)
{
	struct adapter *a = load->flow->adapter;
	struct fair_place p = {.ep = ep};
	uint64_t retry_us = adapter_retry_us(a, ep);

	if (!endpoint_is_usable(s, ep, now_us) ||
	    item_avoids(load->flow->head, ep) || slot_find(ep, a) != NULL)
		return;
	if (!fair_can_load_on(s, load->flow, ep))
		return;
	if (retry_us > now_us) {
		sched_wake_at(s, retry_us);
		return;
	}
	if (slot_get_vacant(ep) == NULL &&
	    load_find_victim(s, now_us, ep, a, &p.cost) == NULL)
		return;
	p.score = p.cost + fair_seat_wait_us(s, ep);
	if (best->ep == NULL || p.score < best->score)
		*best = p;
}

/* Chooses the place of a load. Returns false when there is none now. */
static bool
fair_choose_place(struct sched *s, uint64_t now_us,
    const struct fair_load *load, struct fair_place *best)
{
	struct pool *p = load->flow->adapter->pool;
	uint32_t i, n;

	best->ep = NULL;
	n = p->count < FAIR_PLACE_SEARCH_MAX ? p->count : FAIR_PLACE_SEARCH_MAX;
	for (i = 0; i < n; i++)
		fair_consider_place(s, now_us, load,
		    p->endpoints[(p->cursor + i) % p->count], best);
	if (p->count > FAIR_PLACE_SEARCH_MAX)
		p->cursor += n;
	return best->ep != NULL;
}

/* Whether the slot is in use and can be drained. */
static bool
fair_can_drain(const struct endpoint *ep, const struct slot *slot)
{
	return slot->state == SLOT_LOADED && slot->pins > 0 &&
	    slot->drained_for == NULL && !slot->is_missing &&
	    (ep->evict_after_us == 0 || !sched_guards.takeover);
}

/*
 * When all slots are in use: drains the slot of least cost, if that is below
 * the value of the load.
 */
static void
fair_start_drain(struct sched *s, uint64_t now_us, const struct fair_load *load)
{
	struct adapter *a = load->flow->adapter;
	struct pool *p = a->pool;
	struct slot *slot, *best = NULL;
	struct endpoint *ep;
	double cost, least = load->value;
	uint32_t i, j;

	if (a->draining_slot != NULL || s->draining_slots >= FAIR_DRAINS_MAX)
		return;

	for (i = 0; i < p->count && i < FAIR_PLACE_SEARCH_MAX; i++) {
		ep = p->endpoints[(p->cursor + i) % p->count];
		if (!endpoint_is_usable(s, ep, now_us) ||
		    item_avoids(load->flow->head, ep) ||
		    slot_find(ep, a) != NULL ||
		    team_is_over_share(s, load->flow->team, p) ||
		    adapter_retry_us(a, ep) > now_us)
			continue;
		for (j = 0; j < ep->slot_count; j++) {
			slot = ep->slots[j];
			if (!fair_can_drain(ep, slot) || slot->adapter == a)
				continue;
			cost = fair_evict_cost(s->policy, s, now_us, ep, slot);
			if (cost < least) {
				least = cost;
				best = slot;
			}
		}
	}
	if (best != NULL)
		slot_start_drain(s, best, a);
}

/* Requests a run for when the stall will have reached the eviction's cost. */
static void
fair_schedule_retry(
    struct sched *s, uint64_t now_us, const struct fair_load *load, double cost)
{
	double delay_us = (cost - load->value) / load->flow->adapter->waiting;

	if (delay_us < (double)FAIR_WAKE_MIN_US)
		delay_us = (double)FAIR_WAKE_MIN_US;
	sched_wake_at(s, now_us + (uint64_t)delay_us);
}

void
fair_order_loads(struct sched *s, uint64_t now_us)
{
	struct fair_load load = {0};
	struct fair_place place = {0};
	int tries;

	for (tries = 0; tries < FAIR_LOADS_PER_RUN_MAX; tries++) {
		if (!load_is_permitted(s, now_us) ||
		    !fair_choose_load(s, now_us, &load))
			return;
		if (!fair_choose_place(s, now_us, &load, &place)) {
			load.flow->no_load_run = s->run_count;
			fair_start_drain(s, now_us, &load);
		} else if (place.cost > load.value) {
			load.flow->no_load_run = s->run_count;
			fair_schedule_retry(s, now_us, &load, place.cost);
		} else if (!load_order(
			       s, now_us, place.ep, load.flow->adapter)) {
			load.flow->no_load_run = s->run_count;
		} else if (load.flow->adapter->loaded_slots == 0) {
			admit_note_load_value(s, load.value);
		}
	}
}
