#include <stdlib.h>
#include <string.h>

#include "sched/sched_internal.h"
#include "util/mem.h"

/*
 * Prompt prefixes that each engine holds in its cache, by its cache events.
 * The set is bounded: the oldest prefixes are dropped.
 */

/* Capacity of a set in prefixes, powers of two. */
#define PREFIX_CAPACITY_MIN    64U
#define PREFIX_CAPACITY_MAX    4096U
#define PREFIX_HASH_MULTIPLIER 0x9e3779b97f4a7c15ULL

/* Returns the table index where a search for a prefix begins. */
static uint32_t
prefix_home_index(const struct prefix_set *set, uint64_t prefix)
{
	uint32_t hash = (uint32_t)((prefix * PREFIX_HASH_MULTIPLIER) >> 32);

	return hash & (2 * set->capacity - 1);
}

/* Returns the index that a search tries next. */
static uint32_t
prefix_next_index(const struct prefix_set *set, uint32_t at)
{
	return (at + 1) & (2 * set->capacity - 1);
}

/* Returns the table index of a prefix, or that of its empty place. */
static uint32_t
prefix_find_index(const struct prefix_set *set, uint64_t prefix)
{
	uint32_t at = prefix_home_index(set, prefix);

	while (set->table[at] != 0 && set->table[at] != prefix)
		at = prefix_next_index(set, at);
	return at;
}

/* Whether the set contains a prefix; never true for 0. */
bool
prefix_has(const struct prefix_set *set, uint64_t prefix)
{
	if (prefix == 0 || set->table == NULL)
		return false;
	return set->table[prefix_find_index(set, prefix)] == prefix;
}

/* Empties a set and frees its memory. */
void
prefix_clear(struct prefix_set *set)
{
	free(set->table);
	free(set->ring);
	memset(set, 0, sizeof(*set));
}

/*
 * Rebuilds a set with the given capacity, which may be the present one.
 * Removed prefixes leave the ring.
 */
static void
prefix_rebuild(struct prefix_set *set, uint32_t capacity)
{
	struct prefix_set old = *set;
	uint64_t prefix;
	uint32_t i;

	set->capacity = capacity;
	set->table = mem_alloc(2 * (size_t)set->capacity, sizeof(*set->table));
	set->ring = mem_alloc(set->capacity, sizeof(*set->ring));
	set->ring_used = set->ring_head = 0;
	for (i = 0; i < old.ring_used; i++) {
		prefix = old.ring[(old.ring_head + i) & (old.capacity - 1)];
		if (!prefix_has(&old, prefix) || prefix_has(set, prefix))
			continue;
		set->ring[set->ring_used++] = prefix;
		set->table[prefix_find_index(set, prefix)] = prefix;
	}
	set->count = set->ring_used;
	free(old.table);
	free(old.ring);
}

/* Adds a prefix; drops the oldest one when the set is full. */
void
prefix_add(struct prefix_set *set, uint64_t prefix)
{
	if (prefix == 0 || prefix_has(set, prefix))
		return;
	if (set->capacity == 0)
		prefix_rebuild(set, PREFIX_CAPACITY_MIN);
	else if (set->ring_used == set->capacity &&
	    set->count <= set->capacity / 2)
		prefix_rebuild(set, set->capacity);
	else if (set->ring_used == set->capacity &&
	    set->capacity < PREFIX_CAPACITY_MAX)
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
	set->table[prefix_find_index(set, prefix)] = prefix;
}

/*
 * Removes a prefix. Later prefixes of the same run of occupied places are
 * moved back towards their home index, so that searches still find them.
 */
void
prefix_remove(struct prefix_set *set, uint64_t prefix)
{
	uint32_t mask = 2 * set->capacity - 1, hole, at, home;

	if (!prefix_has(set, prefix))
		return;
	hole = at = prefix_find_index(set, prefix);
	for (;;) {
		at = prefix_next_index(set, at);
		if (set->table[at] == 0)
			break;
		home = prefix_home_index(set, set->table[at]);
		if (((at - home) & mask) < ((at - hole) & mask))
			continue;
		set->table[hole] = set->table[at];
		hole = at;
	}
	set->table[hole] = 0;
	set->count--;
}

/*
 * Detects lost events by the sequence number in a report. An event that one
 * report counts must have arrived by the next report, else it is lost. Events
 * before the first report were not sent here.
 *
 * first: this is the first report of the endpoint's process.
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

/* Whether an event is from the present process of the engine, or may be. */
static bool
event_is_of_process(
    const struct endpoint *ep, const struct sched_cache_event *event)
{
	return event->incarnation == 0 || event->incarnation == ep->incarnation;
}

/* Whether an event is late or a duplicate. */
static bool
event_is_old(const struct endpoint *ep, const struct sched_cache_event *event)
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
	if (ep == NULL || !event_is_of_process(ep, event))
		return false;
	if (event_is_old(ep, event))
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
