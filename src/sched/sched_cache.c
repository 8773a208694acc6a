#include <stdlib.h>
#include <string.h>

#include "sched/sched_internal.h"
#include "util/mem.h"

/* Which prompt prefixes an engine holds, by its cache events; bounded. */

#define PREFIX_FIRST 64U
#define PREFIX_MOST  4096U

static uint32_t
prefix_slot(const struct prefix_set *set, uint64_t prefix)
{
	uint32_t at =
	    (uint32_t)((prefix * 0x9e3779b97f4a7c15ULL) >> 32) & set->mask;

	while (set->table[at] != 0 && set->table[at] != prefix)
		at = (at + 1) & set->mask;
	return at;
}

bool
prefix_has(const struct prefix_set *set, uint64_t prefix)
{
	if (prefix == 0 || set->count == 0)
		return false;
	return set->table[prefix_slot(set, prefix)] == prefix;
}

void
prefix_clear(struct prefix_set *set)
{
	free(set->table);
	free(set->ring);
	memset(set, 0, sizeof(*set));
}

/* Double the room; the ring is unrolled on the way. */
static void
prefix_grow(struct prefix_set *set)
{
	struct prefix_set old = *set;
	uint32_t room = old.table == NULL ? PREFIX_FIRST : old.mask + 1;
	uint64_t prefix;
	uint32_t i;

	set->mask = 2 * room - 1;
	set->table = mem_alloc(2 * (size_t)room, sizeof(*set->table));
	set->ring = mem_alloc(room, sizeof(*set->ring));
	set->count = set->used = set->head = 0;
	for (i = 0; i < old.used; i++) {
		prefix = old.ring[(old.head + i) % (room / 2)];
		if (prefix_has(&old, prefix))
			prefix_add(set, prefix);
	}
	free(old.table);
	free(old.ring);
}

static void
prefix_drop(struct prefix_set *set, uint64_t prefix)
{
	uint32_t hole = prefix_slot(set, prefix), at = hole, home;

	if (set->table[hole] != prefix)
		return;
	set->count--;
	for (;;) {
		at = (at + 1) & set->mask;
		if (set->table[at] == 0)
			break;
		home =
		    (uint32_t)((set->table[at] * 0x9e3779b97f4a7c15ULL) >> 32) &
		    set->mask;
		if (((at - home) & set->mask) < ((at - hole) & set->mask))
			continue;
		set->table[hole] = set->table[at];
		hole = at;
	}
	set->table[hole] = 0;
}

void
prefix_add(struct prefix_set *set, uint64_t prefix)
{
	uint32_t room = set->table == NULL ? 0 : (set->mask + 1) / 2;

	if (prefix == 0 || prefix_has(set, prefix))
		return;
	if (set->used == room && room < PREFIX_MOST) {
		prefix_grow(set);
		room = (set->mask + 1) / 2;
	}
	if (set->used == room) {
		prefix_drop(set, set->ring[set->head]);
		set->head = (set->head + 1) % room;
		set->used--;
	}
	set->ring[(set->head + set->used++) % room] = prefix;
	set->table[prefix_slot(set, prefix)] = prefix;
	set->count++;
}

void
prefix_remove(struct prefix_set *set, uint64_t prefix)
{
	if (prefix_has(set, prefix))
		prefix_drop(set, prefix);
}

bool
sched_cache_events(struct sched *s, uint64_t now_us, const char *id,
    const struct sched_cache_event *event)
{
	struct endpoint *ep = endpoint_find(s, id);
	size_t i;

	(void)now_us;
	if (ep == NULL)
		return false;
	if (event->resync) {
		prefix_clear(&ep->prefixes);
		ep->cache_gap = false;
	} else if (event->sequence <= ep->cache_sequence) {
		return ep->cache_gap;
	} else if (event->sequence != ep->cache_sequence + 1) {
		ep->cache_gap = true;
	}
	ep->cache_sequence = event->sequence;
	for (i = 0; i < event->count; i++) {
		if (event->dropped && !event->resync)
			prefix_remove(&ep->prefixes, event->prefixes[i]);
		else
			prefix_add(&ep->prefixes, event->prefixes[i]);
	}
	return ep->cache_gap;
}
