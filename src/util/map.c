#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "util/map.h"
#include "util/mem.h"

#define MAP_FIRST_SLOTS 16
#define MAP_EMPTY	UINT32_MAX

struct map_item {
	uint64_t hash;
	char *key;
	size_t len;
	void *value;
};

/* Open addressing: slots hold positions in the dense array of items. */
struct map {
	struct map_item *items;
	size_t count;
	size_t cap;
	uint32_t *slots;
	size_t nslots; /* a power of two */
};

static void
map_slots_fill(struct map *m)
{
	size_t i, at;

	for (i = 0; i < m->nslots; i++)
		m->slots[i] = MAP_EMPTY;
	for (i = 0; i < m->count; i++) {
		at = m->items[i].hash & (m->nslots - 1);
		while (m->slots[at] != MAP_EMPTY)
			at = (at + 1) & (m->nslots - 1);
		m->slots[at] = (uint32_t)i;
	}
}

struct map *
map_create(void)
{
	struct map *m = mem_alloc(1, sizeof(*m));

	m->nslots = MAP_FIRST_SLOTS;
	m->slots = mem_alloc(m->nslots, sizeof(*m->slots));
	map_slots_fill(m);
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

/* The slot that holds the key, or the empty one where it would go. */
static size_t
map_find(const struct map *m, uint64_t hash, const void *key, size_t len)
{
	size_t at = hash & (m->nslots - 1);
	const struct map_item *item;

	while (m->slots[at] != MAP_EMPTY) {
		item = &m->items[m->slots[at]];
		if (item->hash == hash && item->len == len &&
		    memcmp(item->key, key, len) == 0)
			break;
		at = (at + 1) & (m->nslots - 1);
	}
	return at;
}

void *
map_get(const struct map *m, const void *key, size_t len)
{
	size_t at = map_find(m, XXH64(key, len, 0), key, len);

	if (m->slots[at] == MAP_EMPTY)
		return NULL;
	return m->items[m->slots[at]].value;
}

static void
map_grow(struct map *m)
{
	if (m->count == m->cap) {
		m->cap = m->cap == 0 ? MAP_FIRST_SLOTS / 2 : m->cap * 2;
		m->items = mem_resize(m->items, m->cap, sizeof(*m->items));
	}
	if ((m->count + 1) * 2 <= m->nslots)
		return;
	m->nslots *= 2;
	m->slots = mem_resize(m->slots, m->nslots, sizeof(*m->slots));
	map_slots_fill(m);
}

void *
map_set(struct map *m, const void *key, size_t len, void *value)
{
	uint64_t hash = XXH64(key, len, 0);
	size_t at = map_find(m, hash, key, len);
	struct map_item *item;
	void *old;

	if (m->slots[at] != MAP_EMPTY) {
		item = &m->items[m->slots[at]];
		old = item->value;
		item->value = value;
		return old;
	}
	map_grow(m);
	at = map_find(m, hash, key, len);
	item = &m->items[m->count];
	item->hash = hash;
	item->key = mem_copy(key, len);
	item->len = len;
	item->value = value;
	m->slots[at] = (uint32_t)m->count++;
	return NULL;
}

/* Empty a slot and move later items of its run back towards their home. */
static void
map_slot_clear(struct map *m, size_t hole)
{
	size_t mask = m->nslots - 1;
	size_t at = hole, home;

	for (;;) {
		at = (at + 1) & mask;
		if (m->slots[at] == MAP_EMPTY)
			break;
		home = m->items[m->slots[at]].hash & mask;
		if (((at - home) & mask) < ((at - hole) & mask))
			continue;
		m->slots[hole] = m->slots[at];
		hole = at;
	}
	m->slots[hole] = MAP_EMPTY;
}

void *
map_remove(struct map *m, const void *key, size_t len)
{
	size_t at = map_find(m, XXH64(key, len, 0), key, len);
	struct map_item *last;
	uint32_t place;
	void *value;

	if (m->slots[at] == MAP_EMPTY)
		return NULL;
	place = m->slots[at];
	value = m->items[place].value;
	map_slot_clear(m, at);
	free(m->items[place].key);
	last = &m->items[--m->count];
	if (place == m->count)
		return value;
	at = last->hash & (m->nslots - 1);
	while (m->slots[at] != m->count)
		at = (at + 1) & (m->nslots - 1);
	m->slots[at] = place;
	m->items[place] = *last;
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
