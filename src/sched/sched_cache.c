#include <stdlib.h>
#include <string.h>

#include "sched/sched_internal.h"
#include "util/mem.h"

/* Which prompt prefixes an engine holds, by its cache events; bounded. */

#define PREFIX_FIRST 64U
#define PREFIX_MOST  4096U
#define PREFIX_HASH  0x9e3779b97f4a7c15ULL

static uint32_t
prefix_home(const struct prefix_set *set, uint64_t prefix)
{
	uint32_t hash = (uint32_t)((prefix * PREFIX_HASH) >> 32);

	return hash & (2 * set->capacity - 1);
}

static uint32_t
prefix_after(const struct prefix_set *set, uint32_t at)
{
	return (at + 1) & (2 * set->capacity - 1);
}

/* Where a prefix is, or the empty place where it would go. */
static uint32_t
prefix_place(const struct prefix_set *set, uint64_t prefix)
{
	uint32_t at = prefix_home(set, prefix);

	while (set->table[at] != 0 && set->table[at] != prefix)
		at = prefix_after(set, at);
	return at;
}

bool
prefix_has(const struct prefix_set *set, uint64_t prefix)
{
	if (prefix == 0 || set->table == NULL)
		return false;
	return set->table[prefix_place(set, prefix)] == prefix;
}

void
prefix_clear(struct prefix_set *set)
{
	free(set->table);
	free(set->ring);
	memset(set, 0, sizeof(*set));
}

/* Another room, or the same; the ring forgets what was removed. */
static void
prefix_rebuild(struct prefix_set *set, uint32_t room)
{
	struct prefix_set old = *set;
	uint64_t prefix;
	uint32_t i;

	set->capacity = room;
	set->table = mem_alloc(2 * (size_t)set->capacity, sizeof(*set->table));
	set->ring = mem_alloc(set->capacity, sizeof(*set->ring));
	set->ring_used = set->ring_head = 0;
	for (i = 0; i < old.ring_used; i++) {
		prefix = old.ring[(old.ring_head + i) & (old.capacity - 1)];
		if (!prefix_has(&old, prefix) || prefix_has(set, prefix))
			continue;
		set->ring[set->ring_used++] = prefix;
		set->table[prefix_place(set, prefix)] = prefix;
	}
	set->count = set->ring_used;
	free(old.table);
	free(old.ring);
}

void
prefix_add(struct prefix_set *set, uint64_t prefix)
{
	if (prefix == 0 || prefix_has(set, prefix))
		return;
	if (set->capacity == 0)
		prefix_rebuild(set, PREFIX_FIRST);
	else if (set->ring_used == set->capacity &&
	    set->count <= set->capacity / 2)
		prefix_rebuild(set, set->capacity);
	else if (set->ring_used == set->capacity && set->capacity < PREFIX_MOST)
		prefix_rebuild(set, 2 * set->capacity);
	if (set->ring_used == set->capacity) {
		prefix_remove(set, set->ring[set->ring_head]);
		set->ring_head = (set->ring_head + 1) & (set->capacity - 1);
		set->ring_used--;
	}
	set->ring[(set->ring_head + set->ring_used) & (set->capacity - 1)] =
	    prefix;
	set->ring_used++;
	set->count++;
	set->table[prefix_place(set, prefix)] = prefix;
}

/* Empty a place and move later prefixes of its run back to their home. */
void
prefix_remove(struct prefix_set *set, uint64_t prefix)
{
	uint32_t mask = 2 * set->capacity - 1, hole, at, home;

	if (!prefix_has(set, prefix))
		return;
	hole = at = prefix_place(set, prefix);
	for (;;) {
		at = prefix_after(set, at);
		if (set->table[at] == 0)
			break;
		home = prefix_home(set, set->table[at]);
		if (((at - home) & mask) < ((at - hole) & mask))
			continue;
		set->table[hole] = set->table[at];
		hole = at;
	}
	set->table[hole] = 0;
	set->count--;
}

/*
 * An event told of by one report is here by the next, or it is lost; those
 * before the first report were not listened to.
 */
void
cache_note_report(struct endpoint *ep, uint64_t sequence, bool first)
{
	if (first)
		ep->reported_cache_sequence = sequence;
	if (ep->cache_sequence < ep->reported_cache_sequence)
		ep->has_cache_gap = true;
	ep->reported_cache_sequence = sequence;
}

/* Events of another life of the engine say nothing about this one. */
static bool
is_of_life(const struct endpoint *ep, const struct sched_cache_event *event)
{
	return event->incarnation == 0 || event->incarnation == ep->incarnation;
}

/* Whether an event, late or doubled, has nothing new. */
static bool
is_old(const struct endpoint *ep, const struct sched_cache_event *event)
{
	if (event->is_resync || event->is_continuation)
		return event->sequence < ep->cache_sequence;
	return event->sequence <= ep->cache_sequence;
}

bool
sched_apply_cache_event(struct sched *s, uint64_t now_us, const char *id,
    const struct sched_cache_event *event)
{
	struct endpoint *ep = endpoint_find(s, id);
	size_t i;

	(void)now_us;
	if (ep == NULL || !is_of_life(ep, event))
		return false;
	if (is_old(ep, event))
		return ep->has_cache_gap;
	if (event->is_resync) {
		prefix_clear(&ep->prefixes);
		ep->has_cache_gap = false;
	} else if (!event->is_continuation &&
	    event->sequence != ep->cache_sequence + 1) {
		ep->has_cache_gap = true;
	}
	ep->cache_sequence = event->sequence;
	for (i = 0; i < event->count; i++) {
		if (event->dropped && !event->is_resync)
			prefix_remove(&ep->prefixes, event->prefixes[i]);
		else
			prefix_add(&ep->prefixes, event->prefixes[i]);
	}
	return ep->has_cache_gap;
}

bool
sched_cache_has_gap(const struct sched *s, const char *id)
{
	const struct endpoint *ep = endpoint_find(s, id);

	return ep != NULL && ep->has_cache_gap;
}

size_t
sched_cache_prefixes(
    const struct sched *s, const char *id, uint64_t *out, size_t max)
{
	const struct endpoint *ep = endpoint_find(s, id);
	size_t count = 0;
	uint32_t i;

	if (ep == NULL)
		return 0;
	for (i = 0; i < 2 * ep->prefixes.capacity && count < max; i++)
		if (ep->prefixes.table[i] != 0)
			out[count++] = ep->prefixes.table[i];
	return ep->prefixes.count;
}
