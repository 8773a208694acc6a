#include <string.h>

#include "sched/policy.h"
#include "util/mem.h"

/*
 * Orders of loads and evictions within the store permits. A load that needs
 * an eviction first claims the slot: the claim counts as in flight.
 */

#define LOAD_CLAIM_AHEAD_US (50 * SCHED_MS_US)
#define LOAD_WAIT_WEIGHT    0.05
#define LOAD_RATE_UNIT_US   1000000000ULL /* of thousandths a second */

/* Time between two loads; the bucket holds one. */
uint64_t
load_spacing_us(const struct sched *s)
{
	if (s->permit_rate_milli == 0)
		return SCHED_NEVER;
	return (LOAD_RATE_UNIT_US + s->permit_rate_milli - 1) /
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

/* When the rate allows the next load. */
static uint64_t
load_rate_at(const struct sched *s)
{
	uint64_t spacing = load_spacing_us(s);

	if (s->last_load_us == 0 || spacing == SCHED_NEVER)
		return spacing == SCHED_NEVER ? SCHED_NEVER : 0;
	return s->last_load_us + spacing;
}

static uint32_t
load_ghosts(struct sched *s, uint64_t now_us)
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

/* Whether one more load, or the claim of one, may be ordered. */
static bool
load_room(struct sched *s, uint64_t now_us, uint64_t ahead_us, uint32_t claims)
{
	uint64_t at = load_rate_at(s);
	uint32_t i,
	    taken = s->loads_in_flight + load_ghosts(s, now_us) + claims;

	if (!sched_guards.permits)
		return true;
	if (at == SCHED_NEVER)
		return false;
	if (taken >= s->permit_in_flight) {
		for (i = 0; i < s->norphaned_loads; i++)
			sched_wake_at(s, s->orphaned_loads[i]);
		return false;
	}
	if (at <= now_us + ahead_us)
		return true;
	sched_wake_at(s, at);
	return false;
}

bool
load_is_permitted(struct sched *s, uint64_t now_us)
{
	uint64_t ahead = s->nclaims == 0 ? LOAD_CLAIM_AHEAD_US : 0;

	return load_room(s, now_us, ahead, s->nclaims);
}

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
claim_add(
    struct sched *s, struct endpoint *ep, struct slot *slot, struct adapter *a)
{
	slot->claimant = a;
	a->pending_loads++;
	SCHED_GROW(s->claims, s->nclaims, s->claim_cap, struct slot_claim);
	s->claims[s->nclaims].ep = ep;
	s->claims[s->nclaims++].slot = slot;
}

static void
claim_remove(struct sched *s, struct slot *slot)
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

/* Load what claimed a slot whose eviction is done. */
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
			claim_remove(s, c.slot);
			continue;
		}
		if (!load_room(s, now_us, 0, 0))
			return;
		claim_remove(s, c.slot);
		load_start(s, now_us, c.ep, c.slot, a);
	}
}

/* The slot whose eviction costs least, or NULL when none may be evicted. */
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
 * Order a load on the endpoint, evicting the cheapest slot when none is
 * free. False when permits or slots do not allow it now.
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
		if (!load_room(s, now_us, 0, 0))
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
	claim_add(s, ep, slot, a);
	s->evictions++;
	d = sched_add_decision(s, SCHED_EVICT);
	d->endpoint = ep->id;
	d->adapter = slot->adapter->name;
	return true;
}

/* Give back what a slot holds of permits and claims. */
void
load_release(struct sched *s, struct endpoint *ep, struct slot *slot,
    uint64_t ghost_until_us)
{
	(void)ep;
	if (slot->claimant != NULL)
		claim_remove(s, slot);
	if (!slot->holds_permit)
		return;
	slot->holds_permit = false;
	slot->adapter->pending_loads--;
	s->loads_in_flight--;
	if (ghost_until_us == 0)
		return;
	SCHED_GROW(s->orphaned_loads, s->norphaned_loads, s->orphaned_load_cap,
	    uint64_t);
	s->orphaned_loads[s->norphaned_loads++] = ghost_until_us;
}

static struct slot *
load_slot(const struct sched *s, const char *endpoint, const char *adapter,
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

/* The longest wait that a load has ended, decayed. */
static void
load_note_wait(struct sched *s, const struct adapter *a, uint64_t now_us)
{
	double us;

	if (a->flows == NULL)
		return;
	us = (double)(now_us - a->flows->head->enqueued_us);
	s->mean_load_wait_us += LOAD_WAIT_WEIGHT * (us - s->mean_load_wait_us);
}

void
sched_load_result(struct sched *s, uint64_t now_us, const char *endpoint,
    const char *adapter, bool ok)
{
	struct endpoint *ep;
	struct slot *slot = load_slot(s, endpoint, adapter, SLOT_LOADING, &ep);
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
	load_note_wait(s, a, now_us);
	a->load_failures = 0;
	a->nbackoffs = 0;
	slot_mark_loaded(slot, now_us);
}

void
sched_evict_result(struct sched *s, uint64_t now_us, const char *endpoint,
    const char *adapter, bool ok)
{
	struct endpoint *ep;
	struct slot *slot = load_slot(s, endpoint, adapter, SLOT_EVICTING, &ep);

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
	uint64_t stall;
	double share;
	uint32_t i;

	memset(out, 0, sizeof(*out));
	out->in_flight = s->loads_in_flight + s->nclaims;
	for (i = 0; i < s->nactive; i++) {
		for (f = s->active_teams[i]->flows; f != NULL;
		     f = f->team_next) {
			a = f->adapter;
			if (a->is_service || a->loaded_slots > 0)
				continue;
			out->waiting += f->count;
		}
	}
	for (i = 0; i < s->nactive; i++) {
		share = team_share_factor(s, s->active_teams[i], now_us);
		for (f = s->active_teams[i]->flows; f != NULL;
		     f = f->team_next) {
			a = f->adapter;
			if (a->is_service || a->loaded_slots > 0 ||
			    f != a->flows)
				continue;
			stall = a->waiting * now_us - a->queued_us_sum;
			out->stall_us += stall;
			out->weighted_stall_us +=
			    (uint64_t)(share * share * share * (double)stall);
		}
	}
}
