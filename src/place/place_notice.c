#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "place/place_guard.h"
#include "place/place_internal.h"
#include "util/mem.h"

/*
 * Notices of endpoints about further requests, which entries receive with
 * responses and pass on.
 *
 * A leaving process takes no new request of any entry. A backoff concerns the
 * entry that received it alone: the endpoint may be limiting its callers, and
 * other entries learn by their own responses whether they are concerned, and
 * use the endpoint in the meantime.
 */

/* An entry must not send requests to the process of an endpoint for a while. */
struct place_backoff {
	uint64_t entry;
	uint64_t born_ms; /* of that process */
	uint64_t until_us;
};

struct backoff_key {
	uint64_t entry;
	uint64_t endpoint_hash;
};

static struct backoff_key
make_key(uint64_t entry, const char *endpoint)
{
	struct backoff_key key = {entry, XXH64(endpoint, strlen(endpoint), 0)};

	return key;
}

/* The end of a backoff that is in force for this process; 0: none is. */
static uint64_t
find_end_us(const struct place *p, uint64_t now_us, uint64_t entry,
    const char *endpoint, uint64_t born_ms)
{
	struct backoff_key key = make_key(entry, endpoint);
	const struct place_backoff *b = map_get(p->backoffs, &key, sizeof(key));

	if (b == NULL || b->born_ms != born_ms || now_us >= b->until_us ||
	    !place_guards.notice)
		return 0;
	return b->until_us;
}

uint64_t
place_backoff_end_us(
    const struct place *p, const struct place_endpoint *e, uint64_t entry)
{
	if (map_count(p->backoffs) == 0)
		return 0;
	return find_end_us(p, p->now_us, entry, e->id, e->born_ms);
}

bool
place_is_known_leaving(const struct place *p, const char *id, uint64_t born_ms)
{
	const uint64_t *born = map_get_str(p->noticed_leaving, id);

	return place_is_leaving(p, id, born_ms) ||
	    (born != NULL && *born >= born_ms && place_guards.notice);
}

static void
record_leaving(struct place *p, struct place_endpoint *e,
    const struct place_notice *notice)
{
	if (place_is_known_leaving(p, notice->endpoint, notice->born_ms))
		return;
	place_remember_born(
	    p->noticed_leaving, notice->endpoint, notice->born_ms);
	if (e == NULL || e->born_ms > notice->born_ms || e->leaving ||
	    !place_guards.notice)
		return;
	e->leaving = true;
	place_change_add(p, e->id, false);
}

static uint64_t
backoff_us(const struct place_notice *notice)
{
	uint32_t ms = notice->backoff_ms < PLACE_BACKOFF_MAX_MS
	    ? notice->backoff_ms
	    : PLACE_BACKOFF_MAX_MS;

	return ms * US_PER_MS;
}

/* Start a backoff, or extend the one of the same process. */
static void
record_backoff(
    struct place *p, uint64_t entry, const struct place_notice *notice)
{
	struct backoff_key key = make_key(entry, notice->endpoint);
	struct place_backoff *b = map_get(p->backoffs, &key, sizeof(key));
	uint64_t until_us = p->now_us + backoff_us(notice);

	if (b == NULL) {
		b = mem_alloc(1, sizeof(*b));
		b->entry = entry;
		(void)map_set(p->backoffs, &key, sizeof(key), b);
	}
	if (b->born_ms > notice->born_ms)
		return; /* late, of an earlier process */
	if (b->born_ms < notice->born_ms || b->until_us < until_us)
		b->until_us = until_us;
	b->born_ms = notice->born_ms;
	if (until_us < p->next_backoff_end_us)
		p->next_backoff_end_us = until_us;
}

void
place_record_notice(struct place *p, uint64_t now_us, uint64_t entry,
    const struct place_notice *notice)
{
	struct place_endpoint *e = map_get_str(p->endpoints, notice->endpoint);

	p->now_us = now_us;
	if (notice->is_leaving)
		record_leaving(p, e, notice);
	if (notice->backoff_ms > 0)
		record_backoff(p, entry, notice);
	place_schedule_run(p, 0);
}

/* Whether the table says that the process is leaving. */
static bool
is_listed_leaving(const struct place *p, const char *id, uint64_t born_ms)
{
	const struct place_endpoint *e = map_get_str(p->endpoints, id);

	return e != NULL && e->born_ms == born_ms && e->leaving;
}

bool
place_may_send(const struct place *p, uint64_t now_us, uint64_t entry,
    const char *endpoint, uint64_t born_ms, struct place_notice *out)
{
	uint64_t until_us = find_end_us(p, now_us, entry, endpoint, born_ms);

	memset(out, 0, sizeof(*out));
	out->endpoint = endpoint;
	out->born_ms = born_ms;
	out->is_leaving = place_is_known_leaving(p, endpoint, born_ms) ||
	    is_listed_leaving(p, endpoint, born_ms);
	if (until_us != 0)
		out->backoff_ms =
		    (uint32_t)((until_us - now_us) / US_PER_MS) + 1;
	return !out->is_leaving && until_us == 0;
}

void
place_backoff_expire(struct place *p)
{
	const struct place_backoff *b;
	const char *key;
	size_t len, i = map_count(p->backoffs);

	if (p->now_us < p->next_backoff_end_us) {
		place_schedule_run(p, p->next_backoff_end_us);
		return;
	}
	p->next_backoff_end_us = UINT64_MAX;
	while (i-- > 0) {
		b = map_at(p->backoffs, i);
		key = map_key_at(p->backoffs, i, &len);
		if (p->now_us >= b->until_us)
			free(map_remove(p->backoffs, key, len));
		else if (b->until_us < p->next_backoff_end_us)
			p->next_backoff_end_us = b->until_us;
	}
	p->capacity_generation++;
	place_schedule_run(p, p->next_backoff_end_us);
}

void
place_backoff_drop_entry(struct place *p, uint64_t entry)
{
	const struct place_backoff *b;
	const char *key;
	size_t len, i = map_count(p->backoffs);

	while (i-- > 0) {
		b = map_at(p->backoffs, i);
		key = map_key_at(p->backoffs, i, &len);
		if (b->entry == entry)
			free(map_remove(p->backoffs, key, len));
	}
}
