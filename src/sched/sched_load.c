#include <string.h>

#include "sched/policy.h"
#include "util/mem.h"

/*
 * Orders of loads and evictions within the store permits. A load that needs
 * an eviction first claims the slot. The claim counts as a load in flight.
 */

/* How long before the rate allows its load a slot may be claimed. */
#define LOAD_CLAIM_AHEAD_US (50 * SCHED_MS_US)
#define LOAD_WAIT_WEIGHT    0.05 /* of the newest wait in the mean */
/* Time between two loads at a rate of a thousandth per second. */
#define LOAD_MILLI_RATE_PERIOD_US 1000000000ULL

/*
 * Returns the least time between two loads by the permitted rate; the token
 * bucket holds one load. SCHED_NEVER: no loads are permitted.
 */
uint64_t
load_spacing_us(const struct sched *s)
{
	if (s->permit_rate_milli == 0)
		return SCHED_NEVER;
	return (LOAD_MILLI_RATE_PERIOD_US + s->permit_rate_milli - 1) /
	    s->permit_rate_milli;
}

void
sched_set_permits(
    struct sched *s, uint64_t now_us, uint32_t in_flight, uint32_t rate_milli)
{
	s->permit_in_flight = in_flight;
	s->permit_rate_milli = rate_milli;
	s->next_us = now_us;
}

/* Returns when the permitted rate allows the next load. */
static uint64_t
load_next_allowed_us(const struct sched *s)
{
	uint64_t spacing = load_spacing_us(s);

	if (s->last_load_us == 0 || spacing == SCHED_NEVER)
		return spacing == SCHED_NEVER ? SCHED_NEVER : 0;
	return s->last_load_us + spacing;
}

/*
 * Counts the loads on removed endpoints that may still be in flight. Drops
 * those that are assumed to have ended.
 */
static uint32_t
load_count_orphaned(struct sched *s, uint64_t now_us)
{
	uint32_t i = 0;

	while (i < s->norphaned_loads) {
		if (s->orphaned_loads[i] <= now_us)
			s->orphaned_loads[i] =
			    s->orphaned_loads[--s->norphaned_loads];
		else
			i++;
	}
	return s->norphaned_loads;
}

/*
 * Whether the permits allow one more load or claim. If not, requests a run for
 * when they may.
 *
 * ahead_us: how long before the rate allows the load it may be ordered.
 * claims: number of claims that count as loads in flight.
 */
static bool
load_has_permit(
    struct sched *s, uint64_t now_us, uint64_t ahead_us, uint32_t claims)
{
	uint64_t allowed_us = load_next_allowed_us(s);
	uint32_t i,
	    taken =
		s->loads_in_flight + load_count_orphaned(s, now_us) + claims;

	if (!sched_guards.permits)
		return true;
	if (allowed_us == SCHED_NEVER)
		return false;
	if (taken >= s->permit_in_flight) {
		for (i = 0; i < s->norphaned_loads; i++)
			sched_wake_at(s, s->orphaned_loads[i]);
		return false;
	}
	if (allowed_us <= now_us + ahead_us)
		return true;
	sched_wake_at(s, allowed_us);
	return false;
}

/* Whether the permits allow a load now, or a claim shortly before. */
bool
load_is_permitted(struct sched *s, uint64_t now_us)
{
	uint64_t ahead_us = s->nclaims == 0 ? LOAD_CLAIM_AHEAD_US : 0;

	return load_has_permit(s, now_us, ahead_us, s->nclaims);
}

/* Orders a load into a free slot. */
static void
load_start(struct sched *s, uint64_t now_us, struct endpoint *ep,
    struct slot *slot, struct adapter *a)
{
	struct sched_decision *d;

	if (a->draining_slot != NULL)
		slot_end_drain(s, a->draining_slot);
	slot_attach(ep, slot, a, SLOT_LOADING, now_us);
	slot->holds_permit = true;
	a->pending_loads++;
	s->loads_in_flight++;
	s->last_load_us = now_us;
	s->loads++;
	d = sched_add_decision(s, SCHED_LOAD);
	d->endpoint = ep->id;
	d->adapter = a->name;
}

static void
slot_claim_add(
    struct sched *s, struct endpoint *ep, struct slot *slot, struct adapter *a)
{
	slot->claimant = a;
	a->pending_loads++;
	SCHED_GROW(s->claims, s->nclaims, s->claim_cap, struct slot_claim);
	s->claims[s->nclaims].ep = ep;
	s->claims[s->nclaims++].slot = slot;
}

static void
slot_claim_remove(struct sched *s, struct slot *slot)
{
	uint32_t i;

	for (i = 0; i < s->nclaims; i++) {
		if (s->claims[i].slot != slot)
			continue;
		slot->claimant->pending_loads--;
		slot->claimant = NULL;
		memmove(&s->claims[i], &s->claims[i + 1],
		    (s->nclaims - i - 1) * sizeof(*s->claims));
		s->nclaims--;
		return;
	}
}

/*
 * Starts the loads whose eviction has ended. Drops claims that are not needed
 * any more.
 */
void
load_run_claims(struct sched *s, uint64_t now_us)
{
	struct adapter *a;
	struct slot_claim c;
	uint32_t i = 0;

	while (i < s->nclaims) {
		c = s->claims[i];
		if (c.slot->state != SLOT_FREE) {
			i++;
			continue;
		}
		a = c.slot->claimant;
		if (a->waiting == 0 || c.ep->leaving ||
		    slot_find(c.ep, a) != NULL) {
			slot_claim_remove(s, c.slot);
			continue;
		}
		if (!load_has_permit(s, now_us, 0, 0))
			return;
		slot_claim_remove(s, c.slot);
		load_start(s, now_us, c.ep, c.slot, a);
	}
}

/*
 * Returns the slot whose eviction costs least, or NULL when none may be
 * evicted. A slot that was drained for the adapter costs nothing.
 *
 * for_adapter: adapter to load instead.
 * cost: set to the cost in microseconds of stall unless NULL is returned.
 */
struct slot *
load_find_victim(struct sched *s, uint64_t now_us, struct endpoint *ep,
    const struct adapter *for_adapter, double *cost)
{
	struct slot *slot, *best = NULL;
	double c;
	uint32_t i;

	for (i = 0; i < ep->slot_count; i++) {
		slot = ep->slots[i];
		if (!slot_is_evictable(ep, slot))
			continue;
		if (slot->drained_for == for_adapter && for_adapter != NULL) {
			*cost = 0.0;
			return slot;
		}
		c = s->policy->vtable.evict_cost(
		    s->policy, s, now_us, ep, slot);
		if (best == NULL || c < *cost) {
			best = slot;
			*cost = c;
		}
	}
	return best;
}

/*
 * Orders a load on the endpoint, or the eviction of the cheapest slot when
 * none is free. Returns false when the permits or slots do not allow it now.
 */
bool
load_order(
    struct sched *s, uint64_t now_us, struct endpoint *ep, struct adapter *a)
{
	struct slot *slot = slot_get_vacant(ep);
	struct sched_decision *d;
	double cost = 0.0;

	if (!load_is_permitted(s, now_us))
		return false;
	if (slot != NULL) {
		if (!load_has_permit(s, now_us, 0, 0))
			return false;
		load_start(s, now_us, ep, slot, a);
		return true;
	}
	slot = load_find_victim(s, now_us, ep, a, &cost);
	if (slot == NULL)
		return false;
	slot_end_drain(s, slot);
	slot->state = SLOT_EVICTING;
	slot->changed_us = now_us;
	slot_claim_add(s, ep, slot, a);
	s->evictions++;
	d = sched_add_decision(s, SCHED_EVICT);
	d->endpoint = ep->id;
	d->adapter = slot->adapter->name;
	return true;
}

/*
 * Releases the permit and the claim that a slot holds.
 *
 * orphan_until_us: not 0: the load may go on at the store until then and
 * counts as in flight.
 */
void
load_release(struct sched *s, struct endpoint *ep, struct slot *slot,
    uint64_t orphan_until_us)
{
	(void)ep;
	if (slot->claimant != NULL)
		slot_claim_remove(s, slot);
	if (!slot->holds_permit)
		return;
	slot->holds_permit = false;
	slot->adapter->pending_loads--;
	s->loads_in_flight--;
	if (orphan_until_us == 0)
		return;
	SCHED_GROW(s->orphaned_loads, s->norphaned_loads, s->orphaned_load_cap,
	    uint64_t);
	s->orphaned_loads[s->norphaned_loads++] = orphan_until_us;
}

/* Returns the slot of an order, or NULL when it is not in the given state. */
static struct slot *
load_find_slot(const struct sched *s, const char *endpoint, const char *adapter,
    enum slot_state state, struct endpoint **ep)
{
	struct adapter *a = adapter_find(s, false, adapter);
	struct slot *slot;

	*ep = endpoint_find(s, endpoint);
	if (*ep == NULL || a == NULL)
		return NULL;
	slot = slot_find(*ep, a);
	return slot != NULL && slot->state == state ? slot : NULL;
}

/*
 * Updates the mean of the longest wait that a load has ended. The first request
 * of the adapter's first flow is taken for the one that has waited longest.
 */
static void
load_update_wait(struct sched *s, const struct adapter *a, uint64_t now_us)
{
	double wait_us;

	if (a->flows == NULL)
		return;
	wait_us = (double)(now_us - a->flows->head->enqueued_us);
	s->mean_load_wait_us +=
	    LOAD_WAIT_WEIGHT * (wait_us - s->mean_load_wait_us);
}

void
sched_load_result(struct sched *s, uint64_t now_us, const char *endpoint,
    const char *adapter, bool ok)
{
	struct endpoint *ep;
	struct slot *slot =
	    load_find_slot(s, endpoint, adapter, SLOT_LOADING, &ep);
	struct adapter *a;

	s->next_us = now_us;
	if (slot == NULL || !slot->holds_permit)
		return;
	a = slot->adapter;
	load_release(s, ep, slot, 0);
	if (!ok) {
		adapter_note_load_failure(s, a, ep, now_us);
		slot_detach(s, ep, slot, now_us);
		return;
	}
	load_update_wait(s, a, now_us);
	a->load_failures = 0;
	a->nbackoffs = 0;
	slot_mark_loaded(slot, now_us);
}

void
sched_evict_result(struct sched *s, uint64_t now_us, const char *endpoint,
    const char *adapter, bool ok)
{
	struct endpoint *ep;
	struct slot *slot =
	    load_find_slot(s, endpoint, adapter, SLOT_EVICTING, &ep);

	s->next_us = now_us;
	if (slot == NULL)
		return;
	if (ok) {
		slot_detach(s, ep, slot, now_us);
		return;
	}
	load_release(s, ep, slot, 0);
	slot->state = SLOT_LOADED;
	slot->changed_us = slot->report_needed_after_us = now_us;
}

void
sched_get_demand(
    const struct sched *s, uint64_t now_us, struct sched_demand *out)
{
	const struct adapter *a;
	const struct flow *f;
	uint64_t stall_us;
	double factor;
	uint32_t i;

	memset(out, 0, sizeof(*out));
	out->in_flight = s->loads_in_flight + s->nclaims;
	for (i = 0; i < team_active_count(s); i++) {
		for (f = team_active_at(s, i)->flows; f != NULL;
		     f = f->team_next) {
			a = f->adapter;
			if (a->is_service || a->loaded_slots > 0)
				continue;
			out->waiting += f->count;
		}
	}
	for (i = 0; i < team_active_count(s); i++) {
		factor = team_share_factor(s, team_active_at(s, i), now_us);
		for (f = team_active_at(s, i)->flows; f != NULL;
		     f = f->team_next) {
			a = f->adapter;
			if (a->is_service || a->loaded_slots > 0 ||
			    f != a->flows)
				continue;
			stall_us = a->waiting * now_us - a->queued_us_sum;
			out->stall_us += stall_us;
			out->weighted_stall_us += (uint64_t)(factor * factor *
			    factor * (double)stall_us);
		}
	}
}
