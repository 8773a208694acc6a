#include <stdlib.h>

#include "quarantine/quarantine.h"
#include "quarantine/quarantine_guard.h"
#include "util/map.h"
#include "util/mem.h"

/* The replicated set of parts. */

/* Parts that are kept; over this number the one changed first is forgotten. */
#define PARTS_MAX 1024u
/* A first quarantine; each further one of the same part is twice as long. */
#define FIRST_DURATION_US (600 * 1000000ULL)
#define DOUBLINGS_MAX	  7u

struct quarantine {
	struct map *parts; /* struct quarantine_part by hash */
	size_t nactive;
	uint64_t last_number;
};

struct quarantine *
quarantine_create(void)
{
	struct quarantine *q = mem_alloc(1, sizeof(*q));

	q->parts = map_create();
	return q;
}

void
quarantine_destroy(struct quarantine *q)
{
	if (q == NULL)
		return;
	map_destroy_all(q->parts, free);
	free(q);
}

const struct quarantine_part *
quarantine_find(const struct quarantine *q, uint64_t hash)
{
	return map_get_u64(q->parts, hash);
}

bool
quarantine_is_active(const struct quarantine *q, uint64_t hash)
{
	const struct quarantine_part *part = quarantine_find(q, hash);

	return part != NULL && part->is_active && quarantine_guards.refuse;
}

const struct quarantine_part *
quarantine_at(const struct quarantine *q, size_t i)
{
	return i < map_count(q->parts) ? map_at(q->parts, i) : NULL;
}

size_t
quarantine_active_count(const struct quarantine *q)
{
	return q->nactive;
}

static void
remove_part(struct quarantine *q, uint64_t hash)
{
	struct quarantine_part *part = map_remove_u64(q->parts, hash);

	if (part != NULL && part->is_active)
		q->nactive--;
	free(part);
}

/*
 * Forgets the part that was changed first, rather one that is not active. The
 * choice depends on replicated state alone.
 */
static void
forget_oldest(struct quarantine *q)
{
	const struct quarantine_part *part, *oldest = map_at(q->parts, 0);
	size_t i;

	for (i = 1; i < map_count(q->parts); i++) {
		part = map_at(q->parts, i);
		if (part->is_active != oldest->is_active
			? !part->is_active
			: part->number < oldest->number)
			oldest = part;
	}
	remove_part(q, oldest->hash);
}

static struct quarantine_part *
get_or_add_part(struct quarantine *q, uint64_t hash)
{
	struct quarantine_part *part = map_get_u64(q->parts, hash);

	if (part != NULL)
		return part;
	if (map_count(q->parts) >= PARTS_MAX)
		forget_oldest(q);
	part = mem_alloc(1, sizeof(*part));
	part->hash = hash;
	(void)map_set_u64(q->parts, hash, part);
	return part;
}

static bool
start(struct quarantine *q, uint64_t now_us,
    const struct quarantine_update *update)
{
	struct quarantine_part *part = get_or_add_part(q, update->hash);

	if (part->is_active)
		return false; /* proposed twice */
	part->is_active = true;
	part->strikes++;
	part->ends = update->ends;
	part->number = ++q->last_number;
	part->since_us = now_us;
	part->last_end_us = update->last_end_us;
	q->nactive++;
	return true;
}

static bool
expire(struct quarantine *q, uint64_t now_us, uint64_t hash)
{
	struct quarantine_part *part = map_get_u64(q->parts, hash);

	if (part == NULL || !part->is_active)
		return false;
	part->is_active = false;
	part->number = ++q->last_number;
	part->since_us = now_us;
	q->nactive--;
	return true;
}

bool
quarantine_apply(struct quarantine *q, uint64_t now_us,
    const struct quarantine_update *update)
{
	size_t before = q->nactive;

	switch (update->change) {
	case QUARANTINE_START:
		return start(q, now_us, update);
	case QUARANTINE_EXPIRE:
		return expire(q, now_us, update->hash);
	case QUARANTINE_LIFT:
		remove_part(q, update->hash);
		return q->nactive != before;
	}
	return false;
}

static uint64_t
duration_us(const struct quarantine_part *part)
{
	uint32_t doublings = part->strikes - 1 < DOUBLINGS_MAX
	    ? part->strikes - 1
	    : DOUBLINGS_MAX;

	return FIRST_DURATION_US << doublings;
}

bool
quarantine_find_expired(
    const struct quarantine *q, uint64_t now_us, uint64_t *hash)
{
	const struct quarantine_part *part;
	size_t i;

	if (q->nactive == 0)
		return false;
	for (i = 0; i < map_count(q->parts); i++) {
		part = map_at(q->parts, i);
		if (!part->is_active ||
		    now_us < part->since_us + duration_us(part))
			continue;
		*hash = part->hash;
		return true;
	}
	return false;
}

void
quarantine_clear(struct quarantine *q)
{
	while (map_count(q->parts) > 0)
		remove_part(
		    q, ((struct quarantine_part *)map_at(q->parts, 0))->hash);
	q->last_number = 0;
}

void
quarantine_add(
    struct quarantine *q, uint64_t now_us, const struct quarantine_part *part)
{
	struct quarantine_part *own = get_or_add_part(q, part->hash);

	if (own->is_active)
		q->nactive--;
	*own = *part;
	own->since_us = own->last_end_us = now_us;
	if (own->strikes == 0)
		own->strikes = 1;
	if (own->is_active)
		q->nactive++;
	if (own->number > q->last_number)
		q->last_number = own->number;
}
