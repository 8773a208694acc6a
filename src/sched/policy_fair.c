#include <stdlib.h>

#include "sched/policy_fair.h"
#include "util/mem.h"

/*
 * Grants in the fair order: of the teams whose next request could run now,
 * the one with the least counter; within the deficit bound of it, affinity
 * decides.
 */

#define FAIR_SCORE_PREFIX    4.0
#define FAIR_SCORE_ROLE	     0.5
#define FAIR_SCORE_BATCH     2.0
#define FAIR_SCORE_AGE	     1.0 /* for each mean service time waited */
#define FAIR_ITEMS_DEEP	     4 /* requests of one flow that are looked at */
#define FAIR_FLOOD_SEATS     1 /* left to others on each endpoint */
#define FAIR_FLOOD_SEATS_MIN 4
#define FAIR_FLOOD_SLOTS_MIN 4
#define FAIR_POOL_WALK	     64 /* endpoints of a service that are looked at */

/* A request that could run now. */
struct fair_pick {
	struct item *it;
	struct endpoint *ep;
	struct slot *slot;
	double score;
};

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
 * What has waited long goes before affinity, else a request whose engine is
 * kept full by another adapter's would never have a seat.
 */
static double
fair_age_score(const struct item *it, uint64_t now_us)
{
	double service_us = it->adapter->pool->mean_service_us;

	if (it->team->is_flooding || service_us <= 0.0)
		return 0.0;
	return FAIR_SCORE_AGE * (double)(now_us - it->queued_us) / service_us;
}

static double
fair_score(const struct sched *s, const struct item *it,
    const struct endpoint *ep, const struct slot *slot)
{
	double score = fair_role_score(ep, it);
	double open = (double)endpoint_free_seats(ep) / ep->seats;

	if (prefix_has(&ep->prefixes, it->prefix))
		score += FAIR_SCORE_PREFIX;
	if (s->options.objective == SETTINGS_BATCH && slot != NULL)
		return score + FAIR_SCORE_BATCH * (1.0 - open);
	return score + open;
}

/* Slots that are free or hold an adapter without grants. */
static uint32_t
fair_idle_slots(const struct endpoint *ep)
{
	uint32_t i, taken = 0;

	for (i = 0; i < ep->slot_count; i++) {
		if (ep->slots[i]->pins > 0 ||
		    ep->slots[i]->state == SLOT_LOADING ||
		    ep->slots[i]->state == SLOT_EVICTING)
			taken++;
	}
	return taken < ep->usable_slots ? ep->usable_slots - taken : 0;
}

/* A flooding team leaves one idle slot of an endpoint to the others. */
bool
fair_leaves_idle_slot(
    const struct sched *s, const struct team *t, const struct endpoint *ep)
{
	return ep->usable_slots < FAIR_FLOOD_SLOTS_MIN ||
	    !team_is_over_share(s, t, ep->pool) || fair_idle_slots(ep) > 1;
}

/*
 * A seat for the team: one that floods leaves the last of an endpoint to the
 * others, whose requests would else wait for one to end.
 */
bool
fair_can_take_seat(
    const struct sched *s, const struct team *t, const struct endpoint *ep)
{
	if (endpoint_free_seats(ep) == 0)
		return false;
	if (ep->seats < FAIR_FLOOD_SEATS_MIN ||
	    !team_is_over_share(s, t, ep->pool))
		return true;
	return ep->grants + ep->foreign_runs + FAIR_FLOOD_SEATS < ep->seats;
}

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

/* The best seat for a request, if there is one. */
static void
fair_seat(
    struct sched *s, uint64_t now_us, struct item *it, struct fair_pick *best)
{
	struct adapter *a = it->adapter;
	struct pool *p = a->pool;
	struct slot *slot;
	uint32_t i, n;

	if (a->is_service) {
		n = p->count < FAIR_POOL_WALK ? p->count : FAIR_POOL_WALK;
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

static bool
fair_flow_pick(
    struct sched *s, uint64_t now_us, struct flow *f, struct fair_pick *out)
{
	struct item *it = f->head;
	int deep;

	out->it = NULL;
	if (f->no_seat_run == s->run_count)
		return false;
	for (deep = 0; it != NULL && deep < FAIR_ITEMS_DEEP; deep++) {
		fair_seat(s, now_us, it, out);
		if (out->it != NULL)
			return true;
		it = it->next;
	}
	f->no_seat_run = s->run_count;
	return false;
}

/* Of one team: the runnable request that ranks first. */
static bool
fair_team_pick(
    struct sched *s, uint64_t now_us, struct team *t, struct fair_pick *best)
{
	struct fair_pick pick;
	struct flow *f;

	best->it = NULL;
	if (t->queued == 0 || !team_may_run(t))
		return false;
	for (f = t->flows; f != NULL; f = f->team_next) {
		if (best->it != NULL && item_before(best->it, f->head))
			continue;
		if (fair_flow_pick(s, now_us, f, &pick))
			*best = pick;
	}
	if (best->it == NULL)
		return false;
	best->score += fair_age_score(best->it, now_us);
	return true;
}

/* A pick goes before another: by score within the bound, else by counter. */
static bool
fair_before(const struct sched *s, const struct fair_pick *a,
    const struct fair_pick *b, double least)
{
	double bound = least + team_deficit_bound(s);
	double ca = a->it->team->counter, cb = b->it->team->counter;

	if (!sched_guards.bound)
		return a->score > b->score;
	if (ca > bound || cb > bound)
		return ca < cb;
	if (a->score != b->score)
		return a->score > b->score;
	return ca < cb;
}

static bool
fair_pick(struct sched *s, uint64_t now_us, struct fair_pick *best)
{
	struct fair_pick pick = {0};
	struct team *t;
	double least = 0.0;
	bool found = false;
	uint32_t i;

	for (i = 0; i < s->nactive; i++) {
		t = s->active_teams[i];
		if (!fair_team_pick(s, now_us, t, &pick))
			continue;
		if (!found || t->counter < least)
			least = t->counter;
		if (!found || fair_before(s, &pick, best, least))
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
	while (fair_pick(s, now_us, &pick))
		sched_grant(s, now_us, pick.it, pick.ep, pick.slot);
	fair_order_loads(s, now_us);
}

static void
fair_destroy(struct policy *policy)
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
	p->vtable.destroy = fair_destroy;
	p->vtable.decide = fair_decide;
	p->vtable.evict_cost = fair_evict_cost;
	return p;
}
