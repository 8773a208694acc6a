#include <stdlib.h>

#include "place/place_internal.h"
#include "util/mem.h"

/*
 * What is known of processes of endpoints that are gone.
 *
 * An endpoint deregisters by its id alone. If the process that does so has
 * announced itself lately, its start is known, and tells its late announcements
 * from those of the next process at the same id. Otherwise the id may since
 * have been taken by a process whose announcements are still on their way, so
 * all processes that had started by the deregistration count as departed.
 */

/*
 * For how long a departure holds that names no process. The start of the next
 * process at the same id is compared by another machine's clock; a wrong clock
 * keeps that process out no longer than this.
 */
#define LEFT_BEFORE_US (60 * 1000 * US_PER_MS)

/* Limit of remembered departures; the oldest one is dropped then. */
#define LEFT_BEFORE_MAX 4096

/* An endpoint whose processes departed, without a known start. */
struct left_before {
	uint64_t started_by_ms; /* that started at that time or earlier */
	uint64_t until_us;
	uint64_t number; /* in the order in which they were recorded */
};

static void
drop_oldest(struct place *p)
{
	const struct left_before *l, *oldest = NULL;
	const char *id = NULL;
	size_t i;

	for (i = 0; i < map_count(p->left_before); i++) {
		l = map_at(p->left_before, i);
		if (oldest != NULL && l->number >= oldest->number)
			continue;
		oldest = l;
		id = map_key_at(p->left_before, i, NULL);
	}
	free(map_remove_str(p->left_before, id));
}

bool
place_has_left_before(const struct place *p, const char *id, uint64_t born_ms)
{
	const struct left_before *l = map_get_str(p->left_before, id);

	return l != NULL && born_ms <= l->started_by_ms &&
	    p->now_us < l->until_us;
}

void
place_set_left_before(
    struct place *p, uint64_t now_us, const char *id, uint64_t started_by_ms)
{
	struct left_before *l = map_get_str(p->left_before, id);

	p->now_us = now_us;
	if (l == NULL) {
		if (map_count(p->left_before) >= LEFT_BEFORE_MAX)
			drop_oldest(p);
		l = mem_alloc(1, sizeof(*l));
		(void)map_set_str(p->left_before, id, l);
	}
	if (started_by_ms > l->started_by_ms)
		l->started_by_ms = started_by_ms;
	l->until_us = now_us + LEFT_BEFORE_US;
	l->number = ++p->last_departure;
	place_endpoint_mark_leaving(p, id, started_by_ms);
}

bool
place_left_before_at(
    const struct place *p, size_t i, const char **id, uint64_t *started_by_ms)
{
	if (i >= map_count(p->left_before))
		return false;
	*id = map_key_at(p->left_before, i, NULL);
	*started_by_ms = ((const struct left_before *)map_at(p->left_before, i))
			     ->started_by_ms;
	return true;
}

void
place_remember_silent(struct place *p, const struct place_endpoint *e)
{
	place_remember_born(p->silent, e->id, e->born_ms);
}

/* The start of the last process of an endpoint that is gone; 0: not known. */
static uint64_t
last_born_ms(const struct place *p, const char *id)
{
	const uint64_t *silent = map_get_str(p->silent, id);
	uint64_t departed = place_min_born_ms(p, id);

	if (departed > 0)
		departed--;
	return silent != NULL && *silent > departed ? *silent : departed;
}

bool
place_find_process(
    struct place *p, uint64_t now_us, const char *id, uint64_t *born_ms)
{
	const struct place_endpoint *e = map_get_str(p->endpoints, id);
	uint64_t lately_us = (uint64_t)p->options.heartbeat_ms * US_PER_MS *
	    PLACE_PRESENT_HEARTBEATS;

	p->now_us = now_us;
	if (e == NULL) {
		*born_ms = last_born_ms(p, id);
		return false;
	}
	*born_ms = e->born_ms;
	return now_us <= e->announced_us + lately_us;
}
