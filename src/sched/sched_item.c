#include <stdlib.h>

#include "sched/sched_internal.h"
#include "util/mem.h"

/*
 * Queued requests. Each is in three containers: in its flow by rank, in a
 * list of all by arrival, and in a heap by the time when its deadline must be
 * checked again. A request without a deadline is not in the heap.
 */

#define ITEM_NOT_IN_HEAP UINT32_MAX

static void
heap_set(struct sched *s, uint32_t at, struct item *it)
{
	s->heap[at] = it;
	it->heap_index = at;
}

static void
heap_up(struct sched *s, uint32_t at)
{
	struct item *it = s->heap[at];
	uint32_t parent;

	while (at > 0) {
		parent = (at - 1) / 2;
		if (s->heap[parent]->recheck_us <= it->recheck_us)
			break;
		heap_set(s, at, s->heap[parent]);
		at = parent;
	}
	heap_set(s, at, it);
}

static void
heap_down(struct sched *s, uint32_t at)
{
	struct item *it = s->heap[at];
	uint32_t child;

	for (;;) {
		child = 2 * at + 1;
		if (child >= s->heap_count)
			break;
		if (child + 1 < s->heap_count &&
		    s->heap[child + 1]->recheck_us < s->heap[child]->recheck_us)
			child++;
		if (it->recheck_us <= s->heap[child]->recheck_us)
			break;
		heap_set(s, at, s->heap[child]);
		at = child;
	}
	heap_set(s, at, it);
}

static void
heap_remove(struct sched *s, struct item *it)
{
	uint32_t at = it->heap_index;
	struct item *last;

	if (at == ITEM_NOT_IN_HEAP)
		return;
	it->heap_index = ITEM_NOT_IN_HEAP;
	last = s->heap[--s->heap_count];
	if (last == it)
		return;
	heap_set(s, at, last);
	heap_up(s, at);
	heap_down(s, last->heap_index);
}

/* Sets when the deadline is checked again; SCHED_NEVER: not at all. */
void
item_schedule_recheck(struct sched *s, struct item *it, uint64_t at_us)
{
	if (it->heap_index != ITEM_NOT_IN_HEAP)
		heap_remove(s, it);
	if (at_us == SCHED_NEVER)
		return;
	it->recheck_us = at_us;
	SCHED_GROW(s->heap, s->heap_count, s->heap_cap, struct item *);
	heap_set(s, s->heap_count++, it);
	heap_up(s, it->heap_index);
}

/* Returns the request whose recheck is due first, or NULL. */
struct item *
item_next_recheck(const struct sched *s)
{
	return s->heap_count == 0 ? NULL : s->heap[0];
}

/* Whether a ranks before b in its team: by aged priority, then by arrival. */
bool
item_before(const struct item *a, const struct item *b)
{
	return a->rank_us != b->rank_us ? a->rank_us < b->rank_us
					: a->arrival < b->arrival;
}

/* Whether the request excludes the endpoint. */
bool
item_avoids(const struct item *it, const struct endpoint *ep)
{
	uint32_t i;

	for (i = 0; i < it->navoid; i++) {
		if (it->avoid[i] == ep->serial)
			return true;
	}
	return false;
}

/* Returns the flow of a team and adapter; creates it if necessary. */
static struct flow *
flow_get(struct team *t, struct adapter *a)
{
	struct flow *f;

	for (f = a->flows; f != NULL; f = f->adapter_next) {
		if (f->team == t)
			return f;
	}
	f = mem_alloc(1, sizeof(*f));
	f->team = t;
	f->adapter = a;
	f->adapter_next = a->flows;
	a->flows = f;
	f->team_next = t->flows;
	if (t->flows != NULL)
		t->flows->team_prev = f;
	t->flows = f;
	return f;
}

static void
flow_free(struct flow *f)
{
	struct flow **at = &f->adapter->flows;

	while (*at != f)
		at = &(*at)->adapter_next;
	*at = f->adapter_next;
	if (f->team_prev != NULL)
		f->team_prev->team_next = f->team_next;
	else
		f->team->flows = f->team_next;
	if (f->team_next != NULL)
		f->team_next->team_prev = f->team_prev;
	free(f);
}

/* Inserts a request by rank. New ones mostly rank last. */
static void
flow_insert(struct flow *f, struct item *it)
{
	struct item *after = f->tail;

	while (after != NULL && item_before(it, after))
		after = after->prev;
	it->prev = after;
	it->next = after == NULL ? f->head : after->next;
	if (it->prev != NULL)
		it->prev->next = it;
	else
		f->head = it;
	if (it->next != NULL)
		it->next->prev = it;
	else
		f->tail = it;
	f->count++;
}

/* Adds a request to the queue. Its fields must be set. */
void
item_enqueue(struct sched *s, struct item *it)
{
	it->state = ITEM_QUEUED;
	it->heap_index = ITEM_NOT_IN_HEAP;
	it->flow = flow_get(it->team, it->adapter);
	flow_insert(it->flow, it);
	it->arrival_prev = s->arrival_tail;
	if (s->arrival_tail != NULL)
		s->arrival_tail->arrival_next = it;
	else
		s->arrival_head = it;
	s->arrival_tail = it;
	it->team->account->queued++;
	it->adapter->waiting++;
	it->adapter->queued_us_sum += it->queued_us;
	s->queued++;
}

/*
 * Removes a request from the queue. Frees its flow when it was the last one,
 * and ends the drain of a slot that no request needs any more.
 */
void
item_dequeue(struct sched *s, struct item *it)
{
	struct flow *f = it->flow;

	heap_remove(s, it);
	if (it->prev != NULL)
		it->prev->next = it->next;
	else
		f->head = it->next;
	if (it->next != NULL)
		it->next->prev = it->prev;
	else
		f->tail = it->prev;
	it->prev = it->next = NULL;
	if (--f->count == 0)
		flow_free(f);
	it->flow = NULL;
	if (it->arrival_prev != NULL)
		it->arrival_prev->arrival_next = it->arrival_next;
	else
		s->arrival_head = it->arrival_next;
	if (it->arrival_next != NULL)
		it->arrival_next->arrival_prev = it->arrival_prev;
	else
		s->arrival_tail = it->arrival_prev;
	it->arrival_prev = it->arrival_next = NULL;
	it->team->account->queued--;
	if (--it->adapter->waiting == 0 && it->adapter->draining_slot != NULL)
		slot_end_drain(s, it->adapter->draining_slot);
	it->adapter->queued_us_sum -= it->queued_us;
	s->queued--;
}

/* Frees a request that is not queued any more. */
void
item_free(struct sched *s, struct item *it)
{
	map_remove_u64(s->items, it->id);
	free(it);
}
