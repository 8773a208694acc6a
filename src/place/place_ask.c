#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "place/place_admit.h"
#include "place/place_room.h"
#include "util/mem.h"

/* Requests from the ask to their outcome, and the queue they wait in. */

#define RETRY_AFTER_MIN_MS 100u
#define RETRY_AFTER_MAX_MS 2000u

void
place_ask_free(struct place_ask *a)
{
	size_t i;

	for (i = 0; i < a->navoid; i++)
		free(a->avoid[i]);
	free(a->service);
	free(a->model);
	free(a->adapter);
	free(a->key);
	free(a->data_centre);
	free(a->account);
	free(a);
}

bool
place_ask_avoids(const struct place_ask *a, const struct place_endpoint *e)
{
	size_t i;

	for (i = 0; i < a->navoid; i++)
		if (strcmp(a->avoid[i], e->id) == 0)
			return true;
	return false;
}

/*
 * A request is queued by the time of its latency objective. One without an
 * objective, or with a distant one, is queued by now and one part in
 * DUE_DIVISOR of the time to its deadline: where slots are short, requests with
 * nearer objectives arrive continuously and would starve it.
 */
#define DUE_DIVISOR 4

static uint64_t
compute_due_us(const struct place_request *r, uint64_t now_us)
{
	uint64_t part_us = r->deadline_us <= now_us
	    ? 0
	    : (r->deadline_us - now_us) / DUE_DIVISOR;

	return r->target_us < now_us + part_us ? r->target_us
					       : now_us + part_us;
}

/*
 * Insert by due_us. Most requests arrive in that order, so the search for the
 * position begins at the tail.
 */
static void
enqueue(struct place *p, struct place_ask *a)
{
	struct place_ask *before = p->queue_tail;

	while (before != NULL && before->due_us > a->due_us)
		before = before->prev;
	a->prev = before;
	a->next = before == NULL ? p->queue_head : before->next;
	if (before == NULL)
		p->queue_head = a;
	else
		before->next = a;
	if (a->next == NULL)
		p->queue_tail = a;
	else
		a->next->prev = a;
	a->is_queued = true;
	p->nqueued++;
	place_admit_enqueue(p, a);
}

void
place_ask_dequeue(struct place *p, struct place_ask *a)
{
	struct place_adapter *adapter;

	if (!a->is_queued)
		return;
	if (a->prev == NULL)
		p->queue_head = a->next;
	else
		a->prev->next = a->next;
	if (a->next == NULL)
		p->queue_tail = a->prev;
	else
		a->next->prev = a->prev;
	a->is_queued = false;
	p->nqueued--;
	place_admit_dequeue(p, a);
	if (a->granted || a->endpoint == NULL || a->key == NULL)
		return;
	a->endpoint->waiting_tokens -= a->prompt_tokens;
	adapter = place_adapter_find(a->endpoint, a->key);
	if (adapter != NULL && adapter->waiting > 0)
		adapter->waiting--;
}

static void
remove_ask(struct place *p, struct place_ask *a)
{
	(void)map_remove(p->asks, &a->id, sizeof(a->id));
	if (!a->granted)
		place_ask_dequeue(p, a);
	place_ask_free(a);
}

static char *
copy_or_null(const char *text)
{
	return text == NULL ? NULL : mem_string(text);
}

static void
set_key(struct place_ask *a)
{
	a->key = place_adapter_key(a->model, a->adapter);
	a->key_hash = XXH64(a->key, strlen(a->key), 0);
}

/* The parts of a prompt belong to a model; without one they are ignored. */
static void
set_parts(struct place_ask *a, const struct place_request *r)
{
	size_t i;

	a->nparts =
	    r->nparts < GW_PREFIX_PARTS_MAX ? r->nparts : GW_PREFIX_PARTS_MAX;
	for (i = 0; i < a->nparts; i++) {
		a->parts[i] = r->parts[i];
		a->prefix_hashes[i] = place_prefix_hash(a, i);
	}
}

static struct place_ask *
ask_create(const struct place_request *r, uint64_t now_us)
{
	struct place_ask *a = mem_alloc(1, sizeof(*a));

	a->id = r->id;
	a->kind = r->kind;
	a->service = mem_string(r->service);
	a->model = copy_or_null(r->model);
	a->adapter = copy_or_null(r->adapter);
	if (r->model != NULL)
		set_key(a);
	a->data_centre = copy_or_null(r->data_centre);
	a->prompt_tokens = r->prompt_tokens;
	a->max_tokens = r->max_tokens;
	if (a->key != NULL)
		set_parts(a, r);
	a->asked_us = now_us;
	a->deadline_us = r->deadline_us;
	a->target_us = r->target_us;
	a->due_us = compute_due_us(r, now_us);
	a->priority = r->priority;
	a->account = copy_or_null(r->account);
	a->account_priority = r->account_priority;
	a->may_redirect = r->may_redirect;
	a->attempt = r->attempt;
	while (a->navoid < r->navoid && a->navoid < PLACE_AVOID_MAX) {
		a->avoid[a->navoid] = mem_string(r->avoid[a->navoid]);
		a->navoid++;
	}
	return a;
}

struct place_basis
place_basis_from_endpoint(const struct place *p, const struct place_endpoint *e)
{
	struct place_basis basis = {0};

	basis.endpoint = e->id;
	basis.running = e->running;
	basis.announcement_age_ms =
	    (uint32_t)((p->now_us - e->announced_us) / US_PER_MS);
	basis.pending_loads = p->store_loads + p->queued_store_loads;
	return basis;
}

void
place_ask_set_waits(
    const struct place *p, const struct place_ask *a, struct place_basis *basis)
{
	basis->account = a->share->name;
	basis->is_late = a->is_late;
	basis->is_over_share = place_admit_is_over_share(p, a);
	basis->waited_ms = (uint32_t)((p->now_us - a->asked_us) / US_PER_MS);
	basis->load_wait_ms = a->load_wait_since_us == 0
	    ? 0
	    : (uint32_t)((p->now_us - a->load_wait_since_us) / US_PER_MS);
}

void
place_ask_refuse(struct place *p, struct place_ask *a,
    const struct place_basis *basis, const char *reason,
    uint32_t retry_after_ms)
{
	struct place_decision *d = place_decision_add(p, PLACE_REFUSE);

	if (basis != NULL)
		d->basis = *basis;
	place_ask_set_waits(p, a, &d->basis);
	if (retry_after_ms < RETRY_AFTER_MIN_MS)
		retry_after_ms = RETRY_AFTER_MIN_MS;
	if (retry_after_ms > RETRY_AFTER_MAX_MS)
		retry_after_ms = RETRY_AFTER_MAX_MS;
	d->id = a->id;
	d->reason = reason;
	d->retry_after_ms = retry_after_ms;
	p->totals.refused++;
	place_admit_refuse(p, a);
	remove_ask(p, a);
}

void
place_ask_refuse_until(
    struct place *p, struct place_ask *a, const char *reason, uint64_t until_us)
{
	uint32_t wait_ms = (uint32_t)((until_us - p->now_us) / US_PER_MS) + 1;

	place_ask_refuse(p, a, NULL, reason, 0);
	p->decisions[p->ndecisions - 1].retry_after_ms = wait_ms;
}

void
place_ask(struct place *p, uint64_t now_us, const struct place_request *r)
{
	struct place_ask *a = map_get(p->asks, &r->id, sizeof(r->id));

	p->now_us = now_us;
	if (a != NULL && !a->granted)
		return; /* resent while still queued */
	if (a != NULL)
		place_done(p, now_us, r->id,
		    &(struct place_result){.outcome = PLACE_NOT_SENT});
	a = ask_create(r, now_us);
	(void)map_set(p->asks, &a->id, sizeof(a->id), a);
	p->totals.asked++;
	place_schedule_run(p, 0); /* it passes on a refusal, too */
	if (!place_budget_charge(p, a->service, a->attempt > 0)) {
		p->totals.repeats_denied++;
		enqueue(p, a);
		place_ask_refuse(p, a, NULL, "retry-budget", 0);
		return;
	}
	enqueue(p, a);
	if (place_room_refuse(p, a))
		return;
	if (a->key != NULL)
		place_demand_record(p, a->key);
}

void
place_done(struct place *p, uint64_t now_us, struct place_id id,
    const struct place_result *result)
{
	struct place_ask *a = map_get(p->asks, &id, sizeof(id));

	if (a == NULL)
		return;
	p->now_us = now_us;
	if (a->granted && result->limit_told)
		place_limit_record(p, a, &result->limit);
	if (a->granted)
		place_endpoint_record_result(p, a, result);
	if (a->granted && result->outcome != PLACE_FIRST_BYTE)
		place_admit_end(p, a, result->outcome);
	p->capacity_generation++;
	place_schedule_run(p, 0);
	if (result->outcome != PLACE_FIRST_BYTE)
		remove_ask(p, a);
}

void
place_drop_entry(struct place *p, uint64_t now_us, uint64_t entry)
{
	static const struct place_result abandoned = {
	    .outcome = PLACE_ABANDONED};
	struct place_ask *a;
	size_t i = map_count(p->asks);

	place_backoff_drop_entry(p, entry);
	while (i-- > 0) {
		a = map_at(p->asks, i);
		if (a->id.entry == entry)
			place_done(p, now_us, a->id, &abandoned);
	}
}
