#include <stdlib.h>

#include "sched/policy_fair.h"
#include "util/mem.h"

/*
 * Grants of the "fair" policy. Of the teams whose next request could run now,
 * the one with the least counter is served. Among the teams within the deficit
 * bound of it, affinity decides.
 */

/* Affinity of a request to an endpoint. */
#define FAIR_SCORE_PREFIX    4.0 /* the prompt prefix is cached */
#define FAIR_SCORE_ROLE	     0.5 /* the role suits the request */
#define FAIR_SCORE_BATCH     2.0 /* a full batch, by the batch objective */
#define FAIR_SCORE_AGE	     1.0 /* for each mean service time waited */

#define FAIR_FLOW_DEPTH_MAX  4 /* requests of one flow that are considered */
#define FAIR_POOL_SEARCH_MAX 64 /* endpoints of a service, per request */

/*
 * Seats that a flooding team leaves to others on each endpoint. Endpoints with
 * fewer seats or slots than the minimum have no reserve of them.
 */
#define FAIR_FLOOD_RESERVED_SEATS 1
#define FAIR_FLOOD_SEATS_MIN	  4
#define FAIR_FLOOD_SLOTS_MIN	  4

/* A request that could run now, and where. */
struct fair_pick {
	struct item *it;
	struct endpoint *ep;
	struct slot *slot;
	double score;
};

/* Affinity by the endpoint's role. */
static double
fair_role_score(const struct endpoint *ep, const struct item *it)
{
	bool long_prompt = it->prompt_tokens > 4 * it->max_tokens;

	switch (ep->role) {
	case SCHED_PREFILL:
		return long_prompt ? FAIR_SCORE_ROLE : -FAIR_SCORE_ROLE;
	case SCHED_DECODE:
		return long_prompt ? -FAIR_SCORE_ROLE : FAIR_SCORE_ROLE;
	case SCHED_MIXED:
		break;
	}
	return 0.0;
}

/*
 * Score of the wait, so that a long wait outweighs affinity. Without it, a
 * request would never get a seat while requests for another adapter keep its
 * engine full. A flooding team gets none.
 */
static double
fair_age_score(const struct item *it, uint64_t now_us)
{
	double service_us = it->adapter->pool->mean_service_us;

	if (it->team->is_flooding || service_us <= 0.0)
		return 0.0;
	return FAIR_SCORE_AGE * (double)(now_us - it->queued_us) / service_us;
}

/*
 * Affinity of a request to an endpoint. The batch objective prefers full
 * engines; else endpoints with free seats are preferred.
 */
static double
fair_score(const struct sched *s, const struct item *it,
    const struct endpoint *ep, const struct slot *slot)
{
	double score = fair_role_score(ep, it);
	double free_share = (double)endpoint_free_seats(ep) / ep->seats;

	if (prefix_has(&ep->prefixes, it->prefix))
		score += FAIR_SCORE_PREFIX;
	if (s->options.objective == SETTINGS_BATCH && slot != NULL)
		return score + FAIR_SCORE_BATCH * (1.0 - free_share);
	return score + free_share;
}

/* Counts the slots that are free or hold an adapter without grants. */
static uint32_t
fair_idle_slots(const struct endpoint *ep)
{
	uint32_t i, busy = 0;

	for (i = 0; i < ep->slot_count; i++) {
		if (ep->slots[i]->pins > 0 ||
		    ep->slots[i]->state == SLOT_LOADING ||
		    ep->slots[i]->state == SLOT_EVICTING)
			busy++;
	}
	return busy < ep->usable_slots ? ep->usable_slots - busy : 0;
}

bool
fair_leaves_idle_slot(
    const struct sched *s, const struct team *t, const struct endpoint *ep)
{
	return ep->usable_slots < FAIR_FLOOD_SLOTS_MIN ||
	    !team_is_over_share(s, t, ep->pool) || fair_idle_slots(ep) > 1;
}

bool
fair_can_take_seat(
    const struct sched *s, const struct team *t, const struct endpoint *ep)
{
	if (endpoint_free_seats(ep) == 0)
		return false;
	if (ep->seats < FAIR_FLOOD_SEATS_MIN ||
	    !team_is_over_share(s, t, ep->pool))
		return true;
	return ep->grants + ep->foreign_runs + FAIR_FLOOD_RESERVED_SEATS <
	    ep->seats;
}

/* Replaces the best pick if the request can run there with a better score. */
static void
fair_consider(struct sched *s, uint64_t now_us, struct item *it,
    struct endpoint *ep, struct slot *slot, struct fair_pick *best)
{
	double score;

	if (item_avoids(it, ep) || !endpoint_is_usable(s, ep, now_us) ||
	    !fair_can_take_seat(s, it->team, ep))
		return;
	if (slot != NULL && slot->pins == 0 &&
	    !fair_leaves_idle_slot(s, it->team, ep))
		return;
	score = fair_score(s, it, ep, slot);
	if (best->it != NULL && score <= best->score)
		return;
	best->it = it;
	best->ep = ep;
	best->slot = slot;
	best->score = score;
}

/* Finds the best seat for a request; best stays empty if there is none. */
static void
fair_find_seat(
    struct sched *s, uint64_t now_us, struct item *it, struct fair_pick *best)
{
	struct adapter *a = it->adapter;
	struct pool *p = a->pool;
	struct slot *slot;
	uint32_t i, n;

	if (a->is_service) {
		n = p->count < FAIR_POOL_SEARCH_MAX ? p->count
						    : FAIR_POOL_SEARCH_MAX;
		for (i = 0; i < n; i++)
			fair_consider(s, now_us, it,
			    p->endpoints[p->cursor++ % p->count], NULL, best);
		return;
	}
	for (i = 0; i < a->nlocations; i++) {
		slot = a->locations[i].slot;
		if (slot->state != SLOT_LOADED || slot->is_missing ||
		    slot->drained_for != NULL || a->locations[i].ep->pool != p)
			continue;
		fair_consider(s, now_us, it, a->locations[i].ep, slot, best);
	}
}

/* Finds the first request of a flow that could run now. */
static bool
fair_pick_of_flow(
    struct sched *s, uint64_t now_us, struct flow *f, struct fair_pick *out)
{
	struct item *it = f->head;
	int depth;

	out->it = NULL;
	if (f->no_seat_run == s->run_count)
		return false;
	for (depth = 0; it != NULL && depth < FAIR_FLOW_DEPTH_MAX; depth++) {
		fair_find_seat(s, now_us, it, out);
		if (out->it != NULL)
			return true;
		it = it->next;
	}
	f->no_seat_run = s->run_count;
	return false;
}

/* Finds the request of a team that ranks first of those that could run. */
static bool
fair_pick_of_team(
    struct sched *s, uint64_t now_us, struct team *t, struct fair_pick *best)
{
	struct fair_pick pick;
	struct flow *f;

	best->it = NULL;
	if (t->account->queued == 0 || !team_may_run(t))
		return false;
	for (f = t->flows; f != NULL; f = f->team_next) {
		if (best->it != NULL && item_before(best->it, f->head))
			continue;
		if (fair_pick_of_flow(s, now_us, f, &pick))
			*best = pick;
	}
	if (best->it == NULL)
		return false;
	best->score += fair_age_score(best->it, now_us);
	return true;
}

/*
 * Whether pick a goes before pick b: by score if both teams are within the
 * bound, else by counter.
 *
 * least: least counter of the teams with a pick.
 */
static bool
fair_goes_before(const struct sched *s, const struct fair_pick *a,
    const struct fair_pick *b, double least)
{
	double bound = least + team_deficit_bound(s);
	double ca = a->it->team->account->counter,
	       cb = b->it->team->account->counter;

	if (!sched_guards.bound)
		return a->score > b->score;
	if (ca > bound || cb > bound)
		return ca < cb;
	if (a->score != b->score)
		return a->score > b->score;
	return ca < cb;
}

/* Finds the request to grant next. Returns false when there is none. */
static bool
fair_pick_next(struct sched *s, uint64_t now_us, struct fair_pick *best)
{
	struct fair_pick pick = {0};
	struct team *t;
	double least = 0.0;
	bool found = false;
	uint32_t i;

	for (i = 0; i < team_active_count(s); i++) {
		t = team_active_at(s, i);
		if (!fair_pick_of_team(s, now_us, t, &pick))
			continue;
		if (!found || t->account->counter < least)
			least = t->account->counter;
		if (!found || fair_goes_before(s, &pick, best, least))
			*best = pick;
		found = true;
	}
	return found;
}

static void
fair_decide(struct policy *policy, struct sched *s, uint64_t now_us)
{
	struct fair_pick pick = {0};

	(void)policy;
	team_mark_flooding(s, now_us);
	while (fair_pick_next(s, now_us, &pick))
		sched_grant(s, now_us, pick.it, pick.ep, pick.slot);
	fair_order_loads(s, now_us);
}

static void
fair_policy_destroy(struct policy *policy)
{
	free(policy);
}

struct policy *
policy_fair_create(const struct sched_options *options)
{
	struct policy *p = mem_alloc(1, sizeof(*p));

	(void)options;
	p->vtable.name = "fair";
	p->vtable.has_admission = true;
	p->vtable.destroy = fair_policy_destroy;
	p->vtable.decide = fair_decide;
	p->vtable.evict_cost = fair_evict_cost;
	return p;
}
