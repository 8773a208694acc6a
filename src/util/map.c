#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "util/map.h"
#include "util/mem.h"

#define MAP_INITIAL_SLOTS 16
#define MAP_EMPTY	  UINT32_MAX

struct map_item {
	uint64_t hash;
	char *key;
	size_t len;
	void *value;
};

/*
 * Open addressing with linear probing. Each slot holds the index of an item in
 * the dense array items, or MAP_EMPTY.
 */
struct map {
	struct map_item *items;
	size_t count;
	size_t cap;
	uint32_t *slots;
	size_t nslots; /* a power of two */
};

/* Fills all slots from the items. */
static void
map_rebuild_slots(struct map *m)
{
	size_t i, slot;

	for (i = 0; i < m->nslots; i++)
		m->slots[i] = MAP_EMPTY;
	for (i = 0; i < m->count; i++) {
		slot = m->items[i].hash & (m->nslots - 1);
		while (m->slots[slot] != MAP_EMPTY)
			slot = (slot + 1) & (m->nslots - 1);
		m->slots[slot] = (uint32_t)i;
	}
}

struct map *
map_create(void)
{
	struct map *m = mem_alloc(1, sizeof(*m));

	m->nslots = MAP_INITIAL_SLOTS;
	m->slots = mem_alloc(m->nslots, sizeof(*m->slots));
	map_rebuild_slots(m);
	return m;
}

void
map_destroy(struct map *m)
{
	size_t i;

	if (m == NULL)
		return;
	for (i = 0; i < m->count; i++)
		free(m->items[i].key);
	free(m->items);
	free(m->slots);
	free(m);
}

void
map_destroy_all(struct map *m, void (*destroy)(void *value))
{
	size_t i;

	for (i = 0; m != NULL && i < m->count; i++)
		destroy(m->items[i].value);
	map_destroy(m);
}

size_t
map_count(const struct map *m)
{
	return m->count;
}

/* Returns the slot of the key, or the empty slot to insert it into. */
static size_t
map_find_slot(const struct map *m, uint64_t hash, const void *key, size_t len)
{
	size_t slot = hash & (m->nslots - 1);
	const struct map_item *item;

	while (m->slots[slot] != MAP_EMPTY) {
		item = &m->items[m->slots[slot]];
		if (item->hash == hash && item->len == len &&
		    memcmp(item->key, key, len) == 0)
			break;
		slot = (slot + 1) & (m->nslots - 1);
	}
	return slot;
}

void *
map_get(const struct map *m, const void *key, size_t len)
{
	size_t slot = map_find_slot(m, XXH64(key, len, 0), key, len);

	if (m->slots[slot] == MAP_EMPTY)
		return NULL;
	return m->items[m->slots[slot]].value;
}

/*
 * Makes room for one more item. At most half of the slots are in use, so that a
 * search always ends at an empty slot.
 */
static void
map_grow(struct map *m)
{
	if (m->count == m->cap) {
		m->cap = m->cap == 0 ? MAP_INITIAL_SLOTS / 2 : m->cap * 2;
		m->items = mem_resize(m->items, m->cap, sizeof(*m->items));
	}
	if ((m->count + 1) * 2 <= m->nslots)
		return;
	m->nslots *= 2;
	m->slots = mem_resize(m->slots, m->nslots, sizeof(*m->slots));
	map_rebuild_slots(m);
}

void *
map_set(struct map *m, const void *key, size_t len, void *value)
{
	uint64_t hash = XXH64(key, len, 0);
	size_t slot = map_find_slot(m, hash, key, len);
	struct map_item *item;
	void *old;

	if (m->slots[slot] != MAP_EMPTY) {
		item = &m->items[m->slots[slot]];
		old = item->value;
		item->value = value;
		return old;
	}
	map_grow(m);
	slot = map_find_slot(m, hash, key, len);
	item = &m->items[m->count];
	item->hash = hash;
	item->key = mem_copy(key, len);
	item->len = len;
	item->value = value;
	m->slots[slot] = (uint32_t)m->count++;
	return NULL;
}

/*
 * Empties a slot. Later entries of the same probe sequence move back towards
 * their home slot, as a search would otherwise end at the emptied slot.
 */
static void
map_clear_slot(struct map *m, size_t freed_slot)
{
	size_t mask = m->nslots - 1;
	size_t slot = freed_slot, home_slot;

	for (;;) {
		slot = (slot + 1) & mask;
		if (m->slots[slot] == MAP_EMPTY)
			break;
		home_slot = m->items[m->slots[slot]].hash & mask;
		if (((slot - home_slot) & mask) < ((slot - freed_slot) & mask))
			continue;
		m->slots[freed_slot] = m->slots[slot];
		freed_slot = slot;
	}
	m->slots[freed_slot] = MAP_EMPTY;
}

void *
map_remove(struct map *m, const void *key, size_t len)
{
	size_t slot = map_find_slot(m, XXH64(key, len, 0), key, len);
	struct map_item *last;
	uint32_t index;
	void *value;

	if (m->slots[slot] == MAP_EMPTY)
		return NULL;
	index = m->slots[slot];
	value = m->items[index].value;
	map_clear_slot(m, slot);
	free(m->items[index].key);
	last = &m->items[--m->count];
	if (index == m->count)
		return value;
	slot = last->hash & (m->nslots - 1);
	while (m->slots[slot] != m->count)
		slot = (slot + 1) & (m->nslots - 1);
	m->slots[slot] = index;
	m->items[index] = *last;
	return value;
}

void *
map_at(const struct map *m, size_t i)
{
	return m->items[i].value;
}

const char *
map_key_at(const struct map *m, size_t i, size_t *len)
{
	if (len != NULL)
		*len = m->items[i].len;
	return m->items[i].key;
}

void *
map_get_str(const struct map *m, const char *key)
{
	return map_get(m, key, strlen(key));
}

void *
map_set_str(struct map *m, const char *key, void *value)
{
	return map_set(m, key, strlen(key), value);
}

void *
map_remove_str(struct map *m, const char *key)
{
	return map_remove(m, key, strlen(key));
}

void *
map_get_u64(const struct map *m, uint64_t key)
{
	return map_get(m, &key, sizeof(key));
}

void *
map_set_u64(struct map *m, uint64_t key, void *value)
{
	return map_set(m, &key, sizeof(key), value);
}

void *
map_remove_u64(struct map *m, uint64_t key)
{
	return map_remove(m, &key, sizeof(key));
}
