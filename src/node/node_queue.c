#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "node/node_gate_decode.h"
#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Entries of the log that an instance without a log of its own has received and
 * not applied yet: the first is a configuration that is being decoded in
 * slices, and the others follow it. They are applied in the order of the log.
 */

/* Further entries are not kept; the source sends them again. */
#define QUEUE_BYTES_MAX ((size_t)4 << 20)

struct node_queued {
	uint64_t index, term;
	struct node_bytes command; /* owned */
};

struct node_queue {
	struct node_queued *items;
	size_t first, count, cap; /* items from first on, count of them */
	size_t bytes;
};

struct node_queue *
node_queue_create(void)
{
	return mem_alloc(1, sizeof(struct node_queue));
}

void
node_queue_clear(struct node *n)
{
	struct node_queue *q = n->queue;
	size_t i;

	for (i = 0; i < q->count; i++)
		free((char *)q->items[q->first + i].command.data);
	q->first = q->count = 0;
	q->bytes = 0;
	if (n->gate != NULL)
		gate_decode_end(n->gate);
}

void
node_queue_destroy(struct node *n)
{
	node_queue_clear(n);
	free(n->queue->items);
	free(n->queue);
}

bool
node_queue_is_empty(const struct node *n)
{
	return n->queue->count == 0;
}

static void
append(struct node_queue *q, uint64_t index, uint64_t term,
    struct node_bytes command)
{
	struct node_queued *item;

	if (q->first + q->count == q->cap) {
		q->cap = q->cap == 0 ? 16 : q->cap * 2;
		q->items = mem_resize(q->items, q->cap, sizeof(*q->items));
	}
	item = &q->items[q->first + q->count++];
	item->index = index;
	item->term = term;
	item->command.data = mem_copy(command.data, command.len);
	item->command.len = command.len;
	q->bytes += command.len;
}

void
node_queue_apply(
    struct node *n, uint64_t index, uint64_t term, struct node_bytes command)
{
	struct node_queue *q = n->queue;

	if (q->count > 0) {
		if (index == q->items[q->first + q->count - 1].index + 1 &&
		    q->bytes < QUEUE_BYTES_MAX)
			append(q, index, term, command);
		return;
	}
	if (n->raft == NULL && index == n->applied + 1 &&
	    gate_decode_begin(n, index, command))
		append(q, index, term, command);
	else
		node_replica_apply(n, index, term, command);
}

static void
remove_first(struct node_queue *q)
{
	struct node_queued *item = &q->items[q->first++];

	q->bytes -= item->command.len;
	free((char *)item->command.data);
	if (--q->count == 0)
		q->first = 0;
}

void
node_queue_tick(struct node *n)
{
	struct node_queue *q = n->queue;
	const struct node_queued *item;

	if (q->count == 0 || !gate_decode_continue(n))
		return;
	do {
		item = &q->items[q->first];
		node_replica_apply(n, item->index, item->term, item->command);
		remove_first(q);
		item = &q->items[q->first];
	} while (
	    q->count > 0 && !gate_decode_begin(n, item->index, item->command));
	member_freshness_on_applied(&n->freshness, n->applied);
	n->unanswered_pulls = 0;
	n->next_pull_us = 0; /* report the progress to the source */
}
