#include <stdlib.h>

#include "node/node_internal.h"
#include "util/mem.h"

/*
 * The latest applied entries, kept in a ring for the followers of this
 * instance. The oldest are evicted beyond a number and a sum of bytes; a
 * follower that needs an evicted entry gets the snapshot instead.
 */

void
node_recent_create(struct node *n)
{
	size_t share = ((size_t)n->settings->memory_limit_mb << 20) /
	    NODE_RECENT_MEMORY_DIVISOR;

	n->recent = mem_alloc(NODE_RECENT_ENTRIES, sizeof(*n->recent));
	n->recent_first = 1;
	n->recent_bytes_max =
	    share > NODE_RECENT_BYTES_MIN ? share : NODE_RECENT_BYTES_MIN;
}

void
node_recent_destroy(struct node *n)
{
	size_t i;

	for (i = 0; i < NODE_RECENT_ENTRIES; i++)
		free(n->recent[i].bytes);
	free(n->recent);
}

static struct node_recent_entry *
slot_at(const struct node *n, uint64_t index)
{
	return &n->recent[index % NODE_RECENT_ENTRIES];
}

const struct node_recent_entry *
node_recent_get(const struct node *n, uint64_t index)
{
	if (index < n->recent_first || index > n->applied)
		return NULL;
	return slot_at(n, index);
}

static void
evict_oldest(struct node *n)
{
	struct node_recent_entry *slot = slot_at(n, n->recent_first);

	n->recent_bytes -= slot->len;
	free(slot->bytes);
	slot->bytes = NULL;
	slot->len = 0;
	n->recent_first++;
}

void
node_recent_add(
    struct node *n, uint64_t index, uint64_t term, struct node_bytes command)
{
	struct node_recent_entry *slot = slot_at(n, index);

	while (index >= n->recent_first + NODE_RECENT_ENTRIES)
		evict_oldest(n);
	slot->index = index;
	slot->term = term;
	slot->bytes = mem_copy(command.data, command.len);
	slot->len = command.len;
	n->recent_bytes += command.len;
	while (n->recent_bytes > n->recent_bytes_max && n->recent_first < index)
		evict_oldest(n);
	n->push_due = true;
}

void
node_recent_reset(struct node *n, uint64_t next)
{
	while (n->recent_first <= n->applied)
		evict_oldest(n);
	n->recent_first = next;
}
