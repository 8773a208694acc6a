#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "quarantine/quarantine_observer.h"
#include "util/map.h"
#include "util/mem.h"

/* Ends that are remembered; over this number the oldest is forgotten. */
#define ENDS_MAX 64u
/* The same for the sum of their suspects, when another end is added. */
#define ALL_SUSPECTS_MAX 65536u
/* Later leaders are told of an end for this time. */
#define END_AGE_MAX_US (600 * 1000000ULL)
/* Reports of an end to one leader, and the time between them. */
#define REPORTS_PER_LEADER 3u
#define REPORT_INTERVAL_US (500 * 1000ULL)
/* Parts of which the last answer is remembered, in each of two generations. */
#define SERVED_MAX 32768u
/* Two ends within this time, so far apart, make a part suspect to this entry.
 */
#define SUSPECT_AGE_MAX_US (60 * 1000000ULL)
#define SUSPECT_GAP_US	   (300 * 1000ULL)

struct observed_end {
	char *endpoint;
	uint64_t born_ms, process, at_us;
	uint32_t requests;
	struct quarantine_suspect *suspects;
	size_t nsuspects, suspects_cap;
	size_t next_replaced; /* once there are QUARANTINE_SUSPECTS_MAX */
	bool was_reported;
	uint64_t leader; /* that the reports are for */
	uint32_t reports; /* sent to it */
	uint64_t report_due_us;
};

/* A part that is a suspect of some ends. */
struct observed_part {
	struct under_end {
		const struct observed_end *end;
		size_t index; /* of the part in its suspects */
	} * ends;
	size_t nends, ends_cap;
};

struct quarantine_observer {
	struct observed_end *ends[ENDS_MAX]; /* ring; NULL: unused */
	size_t next_end;
	size_t nsuspects; /* of all ends */
	struct map *parts; /* struct observed_part by hash */
	/* times by hash; the older generation is dropped as a whole */
	struct map *served, *served_before;
};

struct quarantine_observer *
quarantine_observer_create(void)
{
	struct quarantine_observer *o = mem_alloc(1, sizeof(*o));

	o->parts = map_create();
	o->served = map_create();
	o->served_before = map_create();
	return o;
}

/* ---- parts of ends ------------------------------------------------------ */

static struct under_end *
find_under(struct observed_part *part, const struct observed_end *end)
{
	size_t i;

	for (i = 0; part != NULL && i < part->nends; i++)
		if (part->ends[i].end == end)
			return &part->ends[i];
	return NULL;
}

/* The part is no suspect of the end any more. */
static void
forget_under(struct quarantine_observer *o, uint64_t hash,
    const struct observed_end *end)
{
	struct observed_part *part = map_get_u64(o->parts, hash);
	struct under_end *under = find_under(part, end);

	if (under == NULL)
		return;
	*under = part->ends[--part->nends];
	o->nsuspects--;
	if (part->nends > 0)
		return;
	(void)map_remove_u64(o->parts, hash);
	free(part->ends);
	free(part);
}

static void
set_suspect(struct quarantine_observer *o, struct observed_end *end,
    size_t index, uint64_t hash, uint32_t position)
{
	struct observed_part *part = map_get_u64(o->parts, hash);

	if (part == NULL) {
		part = mem_alloc(1, sizeof(*part));
		(void)map_set_u64(o->parts, hash, part);
	}
	if (part->nends == part->ends_cap) {
		part->ends_cap = part->ends_cap == 0 ? 1 : part->ends_cap * 2;
		part->ends =
		    mem_resize(part->ends, part->ends_cap, sizeof(*part->ends));
	}
	part->ends[part->nends].end = end;
	part->ends[part->nends++].index = index;
	o->nsuspects++;
	end->suspects[index].hash = hash;
	end->suspects[index].position = position;
}

/* Whether a suspect of this end is one of other ends. */
static bool
is_under_others(const struct quarantine_observer *o, uint64_t hash, size_t but)
{
	const struct observed_part *part = map_get_u64(o->parts, hash);

	return part != NULL && part->nends > but;
}

/*
 * An end has as many suspects as it may have: one that was under earlier ends
 * takes the place of one that was not.
 */
static void
replace_suspect(struct quarantine_observer *o, struct observed_end *end,
    uint64_t hash, uint32_t position)
{
	size_t i;

	if (!is_under_others(o, hash, 0))
		return;
	while (end->next_replaced < end->nsuspects) {
		i = end->next_replaced++;
		if (is_under_others(o, end->suspects[i].hash, 1))
			continue;
		forget_under(o, end->suspects[i].hash, end);
		set_suspect(o, end, i, hash, position);
		return;
	}
}

static void
add_suspect(struct quarantine_observer *o, struct observed_end *end,
    uint64_t hash, uint32_t position)
{
	const struct under_end *under =
	    find_under(map_get_u64(o->parts, hash), end);
	struct quarantine_suspect *known;

	if (under != NULL) {
		known = &end->suspects[under->index];
		if (known->position < position)
			known->position = position;
		return;
	}
	if (end->nsuspects == QUARANTINE_SUSPECTS_MAX) {
		replace_suspect(o, end, hash, position);
		return;
	}
	if (end->nsuspects == end->suspects_cap) {
		end->suspects_cap =
		    end->suspects_cap == 0 ? 16 : end->suspects_cap * 2;
		end->suspects = mem_resize(
		    end->suspects, end->suspects_cap, sizeof(*end->suspects));
	}
	set_suspect(o, end, end->nsuspects++, hash, position);
}

static void
end_destroy(struct quarantine_observer *o, struct observed_end *end)
{
	size_t i;

	if (end == NULL)
		return;
	for (i = 0; i < end->nsuspects; i++)
		forget_under(o, end->suspects[i].hash, end);
	free(end->suspects);
	free(end->endpoint);
	free(end);
}

void
quarantine_observer_destroy(struct quarantine_observer *o)
{
	size_t i;

	if (o == NULL)
		return;
	for (i = 0; i < ENDS_MAX; i++)
		end_destroy(o, o->ends[i]);
	map_destroy(o->parts);
	map_destroy_all(o->served, free);
	map_destroy_all(o->served_before, free);
	free(o);
}

/* ---- ends --------------------------------------------------------------- */

static uint64_t
process_hash(const char *endpoint, uint64_t born_ms)
{
	return XXH64(endpoint, strlen(endpoint), born_ms);
}

/* Forgets the oldest ends until few enough suspects are left. */
static void
drop_oldest_ends(struct quarantine_observer *o)
{
	struct observed_end **oldest;
	size_t i;

	for (i = 0; i < ENDS_MAX && o->nsuspects > ALL_SUSPECTS_MAX; i++) {
		oldest = &o->ends[(o->next_end + i) % ENDS_MAX];
		end_destroy(o, *oldest);
		*oldest = NULL;
	}
}

static struct observed_end *
get_or_add_end(struct quarantine_observer *o, uint64_t now_us,
    const char *endpoint, uint64_t born_ms)
{
	uint64_t process = process_hash(endpoint, born_ms);
	struct observed_end *end;
	size_t i;

	for (i = 0; i < ENDS_MAX; i++)
		if (o->ends[i] != NULL && o->ends[i]->process == process)
			return o->ends[i];
	drop_oldest_ends(o);
	end = mem_alloc(1, sizeof(*end));
	end->endpoint = mem_string(endpoint);
	end->born_ms = born_ms;
	end->process = process;
	end->at_us = now_us;
	i = o->next_end++ % ENDS_MAX;
	end_destroy(o, o->ends[i]);
	o->ends[i] = end;
	return end;
}

void
quarantine_observer_add_end(struct quarantine_observer *o, uint64_t now_us,
    const char *endpoint, uint64_t born_ms, const uint64_t *hashes,
    size_t count)
{
	struct observed_end *end = get_or_add_end(o, now_us, endpoint, born_ms);
	size_t i;

	end->requests++;
	end->reports = 0;
	end->report_due_us = now_us;
	for (i = 0; i < count; i++)
		add_suspect(o, end, hashes[i], (uint32_t)i);
}

bool
quarantine_observer_is_suspect(
    const struct quarantine_observer *o, uint64_t now_us, uint64_t hash)
{
	uint64_t served_us = quarantine_observer_served_us(o, hash);
	const struct observed_part *part = map_get_u64(o->parts, hash);
	uint64_t first_us = UINT64_MAX, last_us = 0;
	const struct observed_end *end;
	size_t i;

	for (i = 0; part != NULL && i < part->nends; i++) {
		end = part->ends[i].end;
		if (end->at_us <= served_us ||
		    now_us >= end->at_us + SUSPECT_AGE_MAX_US)
			continue;
		first_us = end->at_us < first_us ? end->at_us : first_us;
		last_us = end->at_us > last_us ? end->at_us : last_us;
	}
	return last_us >= SUSPECT_GAP_US &&
	    first_us <= last_us - SUSPECT_GAP_US;
}

/* ---- reports ------------------------------------------------------------ */

static bool
is_report_due(struct observed_end *end, uint64_t now_us, uint64_t leader)
{
	if (end->leader != leader) {
		end->leader = leader;
		end->reports = 0;
		end->report_due_us = now_us;
	}
	return end->reports < REPORTS_PER_LEADER &&
	    now_us >= end->report_due_us &&
	    now_us < end->at_us + END_AGE_MAX_US;
}

bool
quarantine_observer_next_report(struct quarantine_observer *o, uint64_t now_us,
    uint64_t leader, struct quarantine_report *out)
{
	struct observed_end *end;
	size_t i;

	for (i = 0; i < ENDS_MAX; i++) {
		end = o->ends[i];
		if (end == NULL || !is_report_due(end, now_us, leader))
			continue;
		end->reports++;
		end->report_due_us = now_us + REPORT_INTERVAL_US;
		out->endpoint = end->endpoint;
		out->born_ms = end->born_ms;
		out->requests = end->requests;
		out->is_first = !end->was_reported;
		out->end.process = end->process;
		out->end.at_us = end->at_us;
		out->end.suspects = end->suspects;
		out->end.nsuspects = end->nsuspects;
		end->was_reported = true;
		return true;
	}
	return false;
}

/* ---- answers ------------------------------------------------------------ */

static void
begin_generation(struct quarantine_observer *o)
{
	map_destroy_all(o->served_before, free);
	o->served_before = o->served;
	o->served = map_create();
}

void
quarantine_observer_add_served(struct quarantine_observer *o, uint64_t now_us,
    const uint64_t *hashes, size_t count)
{
	uint64_t *served_us;
	size_t i;

	for (i = 0; i < count; i++) {
		served_us = map_get_u64(o->served, hashes[i]);
		if (served_us == NULL) {
			if (map_count(o->served) >= SERVED_MAX)
				begin_generation(o);
			served_us = mem_alloc(1, sizeof(*served_us));
			(void)map_set_u64(o->served, hashes[i], served_us);
		}
		*served_us = now_us;
	}
}

uint64_t
quarantine_observer_served_us(
    const struct quarantine_observer *o, uint64_t hash)
{
	const uint64_t *served_us = map_get_u64(o->served, hash);

	if (served_us == NULL)
		served_us = map_get_u64(o->served_before, hash);
	return served_us == NULL ? 0 : *served_us;
}
