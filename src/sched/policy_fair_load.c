#include "sched/policy_fair.h"

/*
 * Loads by the stall that waiting requests have suffered; places by what
 * the eviction costs and how soon a seat is free there.
 */

#define FAIR_DRAINS_MOST    4 /* slots emptied at a time */
#define FAIR_LOAD_TRIES	    8 /* of one run */
#define FAIR_PLACE_WALK	    64 /* endpoints that are looked at */
#define FAIR_KEEP_US	    30e6
#define FAIR_PROTECT_STALL  1.5
#define FAIR_REPLICA_STALL  1.0 /* loads' times that a queue may last */
#define FAIR_REPLICA_BATCH  6.0
#define FAIR_SPREAD	    1.0 /* loads' times, from no seat taken to all */
#define FAIR_RELOAD_MOST_US 6e6
#define FAIR_FLOOD_SPACINGS 5 /* of loads, before one of a flood */
#define FAIR_FLOOD_SPARE    2 /* part of the seats that is free */
#define FAIR_WAKE_MIN_US    (10 * SCHED_MS_US)

/* An adapter that wants to be loaded, and how much. */
struct fair_want {
	struct flow *flow;
	double value; /* microseconds of stall */
};

struct fair_place {
	struct endpoint *ep;
	double cost, score;
};

static double
fair_load_us(const struct sched *s)
{
	return (double)s->options.load_ms * SCHED_MS_US;
}

/* How long a reload takes, with the wait for its permit, as seen lately. */
static double
fair_reload_us(const struct sched *s, bool others)
{
	uint64_t spacing = load_spacing_us(s);
	double us = fair_load_us(s);

	if (spacing != SCHED_NEVER)
		us += (double)spacing;
	if (!others && s->mean_load_wait_us > us)
		us = s->mean_load_wait_us;
	return us < FAIR_RELOAD_MOST_US ? us : FAIR_RELOAD_MOST_US;
}

double
fair_evict_cost(struct policy *policy, struct sched *s, uint64_t now_us,
    const struct endpoint *ep, const struct slot *slot)
{
	const struct adapter *a = slot->adapter;
	double reload = fair_reload_us(s, a->loaded_slots > 1);
	double copies = a->loaded_slots > 0 ? a->loaded_slots : 1;
	double rate =
	    rate_at(a->request_rate, a->rate_updated_us, now_us) / copies;
	double cost, waiting;

	(void)policy;
	waiting = a->waiting < ep->seats ? a->waiting : ep->seats;
	cost = rate * reload * reload / (double)SCHED_SECOND_US;
	if (s->options.objective == SETTINGS_LOAD_STALL)
		cost *= FAIR_PROTECT_STALL;
	cost += waiting * reload / copies;
	if (a->last_team == NULL || !a->last_team->is_flooding)
		cost +=
		    (double)(a->waiting * now_us - a->queued_us_sum) / copies;
	cost *= team_share_factor(s, a->last_team, now_us);
	if (a->keep_loaded && a->loaded_slots <= 1)
		cost += FAIR_KEEP_US;
	return cost;
}

/* Seats of the endpoints that hold the adapter; open when one is free. */
static uint32_t
fair_seats(struct sched *s, uint64_t now_us, const struct flow *f, bool *open)
{
	const struct adapter *a = f->adapter;
	const struct endpoint *ep;
	uint32_t i, seats = 0;

	*open = false;
	for (i = 0; i < a->nlocations; i++) {
		ep = a->locations[i].ep;
		if (a->locations[i].slot->drained_for != NULL ||
		    ep->pool != a->pool || !endpoint_is_usable(s, ep, now_us))
			continue;
		seats += ep->seats;
		if (fair_can_take_seat(s, f->team, ep))
			*open = true;
	}
	return seats;
}

/* The stall that loading a flow's adapter once more would end. */
static double
fair_value(struct sched *s, uint64_t now_us, const struct flow *f)
{
	const struct adapter *a = f->adapter;
	double lost = adapter_refused_stall_us(a, now_us);
	double stall = (double)(a->waiting * now_us - a->queued_us_sum) + lost;
	double threshold, queue;
	uint32_t seats;
	bool open;

	if (a->is_service || a->pending_loads > 0)
		return 0.0;
	seats = fair_seats(s, now_us, f, &open);
	if (seats == 0)
		return stall + a->waiting * fair_load_us(s);
	if (open)
		return 0.0;
	threshold = s->options.objective == SETTINGS_BATCH ? FAIR_REPLICA_BATCH
							   : FAIR_REPLICA_STALL;
	threshold *= fair_load_us(s);
	queue = a->waiting * a->pool->mean_service_us / seats;
	/* Refusals keep a queue short: they show that a replica is due. */
	if ((lost < fair_load_us(s) || f->team->is_flooding) &&
	    (queue < threshold || stall < threshold * a->waiting / 2.0))
		return 0.0;
	return stall / 2.0;
}

/* A team that floods leaves part of the store's rate to the others. */
static bool
fair_holds_back(struct sched *s, uint64_t now_us, const struct team *t,
    const struct pool *p)
{
	uint64_t at;

	if (!team_is_over_share(s, t, p) || s->last_load_us == 0)
		return false;
	at = s->last_load_us + FAIR_FLOOD_SPACINGS * load_spacing_us(s);
	if (at <= now_us)
		return false;
	sched_wake_at(s, at);
	return true;
}

/* The value of a load that may be ordered in this run. */
static double
fair_demand(struct sched *s, uint64_t now_us, const struct flow *f)
{
	double value;

	if (f->no_load_run == s->run_count)
		return 0.0;
	value = fair_value(s, now_us, f);
	if (value > 0.0 &&
	    fair_holds_back(s, now_us, f->team, f->adapter->pool))
		return 0.0;
	return value;
}

/* The team of least counter among those with something to load. */
static bool
fair_least(struct sched *s, uint64_t now_us, double *least)
{
	const struct team *t;
	const struct flow *f;
	bool found = false;
	uint32_t i;

	for (i = 0; i < s->nactive; i++) {
		t = s->active_teams[i];
		if (t->queued == 0 || !team_may_run(t))
			continue;
		if (found && t->counter >= *least)
			continue;
		for (f = t->flows; f != NULL; f = f->team_next) {
			if (fair_demand(s, now_us, f) > 0.0)
				break;
		}
		if (f == NULL)
			continue;
		*least = t->counter;
		found = true;
	}
	return found;
}

static bool
fair_want(struct sched *s, uint64_t now_us, struct fair_want *best)
{
	struct team *t;
	struct flow *f;
	double value, least = 0.0, share;
	uint32_t i;

	best->flow = NULL;
	if (!fair_least(s, now_us, &least))
		return false;
	for (i = 0; i < s->nactive; i++) {
		t = s->active_teams[i];
		if (t->queued == 0 || !team_may_run(t) ||
		    t->counter > least + team_deficit_bound(s))
			continue;
		share = team_share_factor(s, t, now_us);
		share = share * share * share;
		for (f = t->flows; f != NULL; f = f->team_next) {
			value = share * fair_demand(s, now_us, f);
			if (value > 0.0 &&
			    (best->flow == NULL || value > best->value)) {
				best->flow = f;
				best->value = value;
			}
		}
	}
	return best->flow != NULL;
}

/* How long a request would wait for a seat there. */
static double
fair_seat_us(const struct sched *s, const struct endpoint *ep)
{
	double spread = FAIR_SPREAD * fair_load_us(s);

	if (endpoint_free_seats(ep) == 0)
		return ep->pool->mean_service_us / ep->seats + spread;
	if (s->options.objective == SETTINGS_BATCH)
		return spread * endpoint_free_seats(ep) / ep->seats;
	return spread * ep->grants / ep->seats;
}

/* Only the seats that a flooding team must leave are free. */
static bool
fair_reserve_left(const struct sched *s, const struct flow *f)
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

/* A flooding team loads only where enough stays idle for the others. */
static bool
fair_may_load(
    const struct sched *s, const struct flow *f, const struct endpoint *ep)
{
	if (!team_is_over_share(s, f->team, ep->pool))
		return true;
	if (!fair_leaves_idle_slot(s, f->team, ep))
		return false;
	return !fair_reserve_left(s, f) ||
	    endpoint_free_seats(ep) * FAIR_FLOOD_SPARE >= ep->seats;
}

static void
fair_place_on(struct sched *s, uint64_t now_us, const struct fair_want *want,
    struct endpoint *ep, struct fair_place *best)
{
	struct adapter *a = want->flow->adapter;
	struct fair_place p = {.ep = ep};
	uint64_t retry = adapter_retry_us(a, ep);

	if (!endpoint_is_usable(s, ep, now_us) ||
	    item_avoids(want->flow->head, ep) || slot_find(ep, a) != NULL)
		return;
	if (!fair_may_load(s, want->flow, ep))
		return;
	if (retry > now_us) {
		sched_wake_at(s, retry);
		return;
	}
	if (slot_get_vacant(ep) == NULL &&
	    load_find_victim(s, now_us, ep, a, &p.cost) == NULL)
		return;
	p.score = p.cost + fair_seat_us(s, ep);
	if (best->ep == NULL || p.score < best->score)
		*best = p;
}

static bool
fair_place(struct sched *s, uint64_t now_us, const struct fair_want *want,
    struct fair_place *best)
{
	struct pool *p = want->flow->adapter->pool;
	uint32_t i, n;

	best->ep = NULL;
	n = p->count < FAIR_PLACE_WALK ? p->count : FAIR_PLACE_WALK;
	for (i = 0; i < n; i++)
		fair_place_on(s, now_us, want,
		    p->endpoints[(p->cursor + i) % p->count], best);
	if (p->count > FAIR_PLACE_WALK)
		p->cursor += n;
	return best->ep != NULL;
}

static bool
fair_may_drain(const struct endpoint *ep, const struct slot *slot)
{
	return slot->state == SLOT_LOADED && slot->pins > 0 &&
	    slot->drained_for == NULL && !slot->is_missing &&
	    (ep->evict_after_us == 0 || !sched_guards.takeover);
}

/* All slots are in use: keep new grants off the one that is worth least. */
static void
fair_drain(struct sched *s, uint64_t now_us, const struct fair_want *want)
{
	struct adapter *a = want->flow->adapter;
	struct pool *p = a->pool;
	struct slot *slot, *best = NULL;
	struct endpoint *ep;
	double cost, least = want->value;
	uint32_t i, j;

	if (a->draining_slot != NULL || s->draining_slots >= FAIR_DRAINS_MOST)
		return;

	for (i = 0; i < p->count && i < FAIR_PLACE_WALK; i++) {
		ep = p->endpoints[(p->cursor + i) % p->count];
		if (!endpoint_is_usable(s, ep, now_us) ||
		    item_avoids(want->flow->head, ep) ||
		    slot_find(ep, a) != NULL ||
		    team_is_over_share(s, want->flow->team, p) ||
		    adapter_retry_us(a, ep) > now_us)
			continue;
		for (j = 0; j < ep->slot_count; j++) {
			slot = ep->slots[j];
			if (!fair_may_drain(ep, slot) || slot->adapter == a)
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

/* Look again when the waiting requests' stall has reached the cost. */
static void
fair_wait(
    struct sched *s, uint64_t now_us, const struct fair_want *want, double cost)
{
	double us = (cost - want->value) / want->flow->adapter->waiting;

	if (us < (double)FAIR_WAKE_MIN_US)
		us = (double)FAIR_WAKE_MIN_US;
	sched_wake_at(s, now_us + (uint64_t)us);
}

void
fair_order_loads(struct sched *s, uint64_t now_us)
{
	struct fair_want want = {0};
	struct fair_place place = {0};
	int tries;

	for (tries = 0; tries < FAIR_LOAD_TRIES; tries++) {
		if (!load_is_permitted(s, now_us) ||
		    !fair_want(s, now_us, &want))
			return;
		if (!fair_place(s, now_us, &want, &place)) {
			want.flow->no_load_run = s->run_count;
			fair_drain(s, now_us, &want);
		} else if (place.cost > want.value) {
			want.flow->no_load_run = s->run_count;
			fair_wait(s, now_us, &want, place.cost);
		} else if (!load_order(
			       s, now_us, place.ep, want.flow->adapter)) {
			want.flow->no_load_run = s->run_count;
		} else if (want.flow->adapter->loaded_slots == 0) {
			admit_note_load_value(s, want.value);
		}
	}
}
