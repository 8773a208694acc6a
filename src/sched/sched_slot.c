#include <stdlib.h>
#include <string.h>

#include "sched/sched_internal.h"
#include "util/mem.h"

/* The slots of an endpoint: what each holds, its pins, its reported runs. */

struct sched_guards sched_guards = {
    .pins = true,
    .running = true,
    .takeover = true,
    .permits = true,
    .bound = true,
    .lift = true,
    .remote = true,
};

struct slot *
slot_find(const struct endpoint *ep, const struct adapter *a)
{
	uint32_t i;

	for (i = 0; i < ep->slot_count; i++) {
		if (ep->slots[i]->adapter == a)
			return ep->slots[i];
	}
	return NULL;
}

static struct slot *
slot_add(struct endpoint *ep)
{
	SCHED_GROW(ep->slots, ep->slot_count, ep->slot_cap, struct slot *);
	ep->slots[ep->slot_count] = mem_alloc(1, sizeof(**ep->slots));
	return ep->slots[ep->slot_count++];
}

/* A free slot that no adapter claims, or NULL. */
struct slot *
slot_get_vacant(struct endpoint *ep)
{
	struct slot *vacant = NULL;
	uint32_t taken = 0, i;

	for (i = 0; i < ep->slot_count; i++) {
		if (ep->slots[i]->state != SLOT_FREE ||
		    ep->slots[i]->claimant != NULL)
			taken++;
		else if (vacant == NULL)
			vacant = ep->slots[i];
	}
	if (taken >= ep->usable_slots)
		return NULL;
	return vacant != NULL ? vacant : slot_add(ep);
}

void
slot_attach(struct endpoint *ep, struct slot *slot, struct adapter *a,
    enum slot_state state, uint64_t now_us)
{
	struct adapter_location *r;

	memset(slot, 0, sizeof(*slot));
	slot->adapter = a;
	slot->state = state;
	slot->changed_us = slot->last_used_us = now_us;
	SCHED_GROW(a->locations, a->nlocations, a->location_cap,
	    struct adapter_location);
	r = &a->locations[a->nlocations++];
	r->ep = ep;
	r->slot = slot;
	if (state == SLOT_LOADED) {
		slot->state = SLOT_LOADING;
		slot_mark_loaded(slot, now_us);
	}
}

/* The slot of a grant taken over, which no report has shown yet. */
struct slot *
slot_adopt(struct endpoint *ep, struct adapter *a, uint64_t now_us)
{
	struct slot *slot =
	    ep->has_reported ? slot_get_vacant(ep) : slot_add(ep);

	if (slot != NULL)
		slot_attach(ep, slot, a, SLOT_LOADED, now_us);
	return slot;
}

void
slot_mark_loaded(struct slot *slot, uint64_t now_us)
{
	slot->state = SLOT_LOADED;
	slot->changed_us = slot->loaded_us = slot->last_used_us = now_us;
	slot->adapter->refused_stall_us = 0.0;
	if (slot->adapter->loaded_slots++ == 0)
		slot->adapter->loaded_us = now_us;
}

/* Let an adapter wait until the grants of a slot are done. */
void
slot_start_drain(struct sched *s, struct slot *slot, struct adapter *a)
{
	s->draining_slots++;
	slot->drained_for = a;
	a->draining_slot = slot;
}

void
slot_end_drain(struct sched *s, struct slot *slot)
{
	if (slot->drained_for == NULL)
		return;
	s->draining_slots--;
	slot->drained_for->draining_slot = NULL;
	slot->drained_for = NULL;
}

void
slot_detach(
    struct sched *s, struct endpoint *ep, struct slot *slot, uint64_t now_us)
{
	struct adapter *a = slot->adapter;
	struct adapter *next = slot->claimant;
	uint32_t i;

	if (a == NULL)
		return;
	slot_end_drain(s, slot);
	if (slot->state == SLOT_LOADED || slot->state == SLOT_EVICTING)
		a->loaded_slots--;
	for (i = 0; i < a->nlocations; i++) {
		if (a->locations[i].ep == ep) {
			a->locations[i] = a->locations[--a->nlocations];
			break;
		}
	}
	memset(slot, 0, sizeof(*slot));
	slot->claimant = next;
	slot->changed_us = ep->detached_us = now_us;
}

void
slot_unpin(struct sched *s, struct endpoint *ep, struct slot *slot,
    uint64_t now_us, uint64_t granted_us, enum sched_outcome outcome)
{
	struct slot_run run = {granted_us, now_us};

	if (slot->pins > 0)
		slot->pins--;
	switch (outcome) {
	case SCHED_DELIVERED:
		slot->recent_runs[slot->nruns++ % SCHED_SLOT_RUNS_MAX] = run;
		break;
	case SCHED_FAILED:
	case SCHED_CANCELLED:
		slot->report_needed_after_us = now_us;
		break;
	case SCHED_NOT_LOADED:
		slot->is_missing = true;
		break;
	case SCHED_NOT_SENT:
	case SCHED_BUSY:
		break;
	}
	if (!slot->is_missing || slot->pins > 0)
		return;
	load_release(s, ep, slot, 0);
	slot_detach(s, ep, slot, now_us);
}

/* Did a run that has ended go on when the report was taken? */
static bool
slot_run_reported(const struct endpoint *ep, const struct slot *slot,
    const struct slot_run *run)
{
	uint64_t late_us = ep->taken_over ? SCHED_REPORT_DELAY_US : 0;

	return run->ended_us >= slot->reported_us &&
	    run->granted_us + late_us <= slot->reported_us;
}

/* Of the reported runs, those that no grant of ours explains. */
static uint32_t
slot_foreign_runs(const struct endpoint *ep, const struct slot *slot)
{
	uint32_t ours = slot->pins, i, n;

	n = slot->nruns < SCHED_SLOT_RUNS_MAX ? slot->nruns
					      : SCHED_SLOT_RUNS_MAX;
	for (i = 0; i < n; i++) {
		if (slot_run_reported(ep, slot, &slot->recent_runs[i]))
			ours++;
	}
	return slot->reported_running > ours ? slot->reported_running - ours
					     : 0;
}

bool
slot_is_evictable(const struct endpoint *ep, const struct slot *slot)
{
	if (slot->state != SLOT_LOADED || slot->claimant != NULL)
		return false;
	if (sched_guards.pins && slot->pins > 0)
		return false;
	if (sched_guards.running && slot_foreign_runs(ep, slot) > 0)
		return false;
	if (sched_guards.running && slot->report_needed_after_us > 0 &&
	    slot->reported_us <= slot->report_needed_after_us)
		return false;
	return !sched_guards.takeover || ep->evict_after_us == 0;
}

static const struct sched_slot *
report_find(const struct sched_report *report, const char *adapter)
{
	size_t i;

	for (i = 0; i < report->slot_count; i++) {
		if (strcmp(report->slots[i].adapter, adapter) == 0)
			return &report->slots[i];
	}
	return NULL;
}

/* The report knows a slot; own changes after it was taken stand. */
static void
slot_confirm(struct slot *slot, const struct sched_slot *said, uint64_t now_us,
    uint64_t as_of_us)
{
	slot->reported_running = said->running;
	slot->reported_us = as_of_us;
	if (slot->changed_us >= as_of_us)
		return;
	if (slot->state == SLOT_LOADING && !slot->holds_permit &&
	    !said->loading)
		slot_mark_loaded(slot, now_us);
	if (slot->is_missing && !said->loading)
		slot->is_missing = false;
}

static void
slots_drop_missing(struct sched *s, struct endpoint *ep, uint64_t now_us,
    const struct sched_report *report, uint64_t as_of_us)
{
	const struct sched_slot *said;
	struct slot *slot;
	uint32_t i;

	for (i = 0; i < ep->slot_count; i++) {
		slot = ep->slots[i];
		if (slot->adapter == NULL)
			continue;
		said = report_find(report, slot->adapter->name);
		if (said != NULL) {
			slot_confirm(slot, said, now_us, as_of_us);
			continue;
		}
		slot->reported_running = 0;
		slot->reported_us = as_of_us;
		if (slot->changed_us >= as_of_us || slot->pins > 0 ||
		    slot->holds_permit || slot->state == SLOT_EVICTING)
			continue;
		load_release(s, ep, slot, 0);
		slot_detach(s, ep, slot, now_us);
	}
}

void
slot_merge_report(struct sched *s, struct endpoint *ep, uint64_t now_us,
    const struct sched_report *report, uint64_t as_of_us)
{
	const struct sched_slot *said;
	struct adapter *a;
	struct slot *slot;
	size_t i;

	slots_drop_missing(s, ep, now_us, report, as_of_us);
	if (ep->detached_us >= as_of_us)
		return;
	for (i = 0; i < report->slot_count; i++) {
		said = &report->slots[i];
		a = adapter_get(s, false, said->adapter, ep->pool);
		if (slot_find(ep, a) != NULL)
			continue;
		slot = slot_get_vacant(ep);
		if (slot == NULL)
			break;
		slot_attach(ep, slot, a,
		    said->loading ? SLOT_LOADING : SLOT_LOADED, now_us);
		slot->reported_running = said->running;
		slot->reported_us = as_of_us;
	}
}

/* A cold start: nothing is held, loads in flight are gone with it. */
void
slot_reset_all(struct sched *s, struct endpoint *ep, uint64_t now_us)
{
	uint32_t i;

	for (i = 0; i < ep->slot_count; i++) {
		load_release(s, ep, ep->slots[i], 0);
		slot_detach(s, ep, ep->slots[i], now_us);
		ep->slots[i]->claimant = NULL;
	}
}

/* Whether a slot is being evicted for the adapter. */
bool
slot_is_claimed(const struct endpoint *ep, const struct adapter *a)
{
	uint32_t i;

	for (i = 0; i < ep->slot_count; i++) {
		if (ep->slots[i]->claimant == a)
			return true;
	}
	return false;
}
