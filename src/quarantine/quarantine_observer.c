#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "quarantine/quarantine_observer.h"
#include "util/map.h"
#include "util/mem.h"

/* Ends that are remembered; over this number the oldest is forgotten. */
#define ENDS_MAX 64u
/* Later leaders are told of an end for this time. */
#define END_AGE_MAX_US (600 * 1000000ULL)
/* Reports of an end to one leader, and the time between them. */
#define REPORTS_PER_LEADER 3u
#define REPORT_INTERVAL_US (500 * 1000ULL)
/* Parts of which the last answer is remembered, in each of two generations. */
#define SERVED_MAX 4096u
/* Two ends within this time, so far apart, make a part suspect to this entry.
 */
#define SUSPECT_AGE_MAX_US (60 * 1000000ULL)
#define SUSPECT_GAP_US	   (300 * 1000ULL)

struct observed_end {
	char *endpoint; /* NULL: unused */
	uint64_t born_ms, process, at_us;
	uint32_t requests;
	struct quarantine_suspect suspects[QUARANTINE_SUSPECTS_MAX];
	size_t nsuspects;
	bool was_reported;
	uint64_t leader; /* that the reports are for */
	uint32_t reports; /* sent to it */
	uint64_t report_due_us;
};

struct quarantine_observer {
	struct observed_end *ends[ENDS_MAX]; /* ring */
	size_t next_end;
	/* times by hash; the older generation is dropped as a whole */
	struct map *served, *served_before;
};

struct quarantine_observer *
quarantine_observer_create(void)
{
	struct quarantine_observer *o = mem_alloc(1, sizeof(*o));

	o->served = map_create();
	o->served_before = map_create();
	return o;
}

static void
free_end(struct observed_end *end)
{
	if (end == NULL)
		return;
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
		free_end(o->ends[i]);
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
	end = mem_alloc(1, sizeof(*end));
	end->endpoint = mem_string(endpoint);
	end->born_ms = born_ms;
	end->process = process;
	end->at_us = now_us;
	i = o->next_end++ % ENDS_MAX;
	free_end(o->ends[i]);
	o->ends[i] = end;
	return end;
}

static void
add_suspect(struct observed_end *end, uint64_t hash, uint32_t position)
{
	size_t i;

	for (i = 0; i < end->nsuspects; i++)
		if (end->suspects[i].hash == hash) {
			if (end->suspects[i].position < position)
				end->suspects[i].position = position;
			return;
		}
	if (end->nsuspects == QUARANTINE_SUSPECTS_MAX)
		return;
	end->suspects[end->nsuspects].hash = hash;
	end->suspects[end->nsuspects++].position = position;
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
		add_suspect(end, hashes[i], (uint32_t)i);
}

static bool
has_suspect(const struct observed_end *end, uint64_t hash)
{
	size_t i;

	for (i = 0; i < end->nsuspects; i++)
		if (end->suspects[i].hash == hash)
			return true;
	return false;
}

bool
quarantine_observer_is_suspect(
    const struct quarantine_observer *o, uint64_t now_us, uint64_t hash)
{
	uint64_t served_us = quarantine_observer_served_us(o, hash);
	uint64_t first_us = UINT64_MAX, last_us = 0;
	const struct observed_end *end;
	size_t i;

	for (i = 0; i < ENDS_MAX; i++) {
		end = o->ends[i];
		if (end == NULL || end->at_us <= served_us ||
		    now_us >= end->at_us + SUSPECT_AGE_MAX_US ||
		    !has_suspect(end, hash))
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
