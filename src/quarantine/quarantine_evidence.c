#include <stdlib.h>
#include <string.h>

#include "quarantine/quarantine_evidence.h"
#include "quarantine/quarantine_guard.h"
#include "util/map.h"
#include "util/mem.h"

/* Ends after which a part is to blame. */
#define BLAME_ENDS 3u
/* The same for a part that was quarantined before. */
#define BLAME_ENDS_AGAIN 1u
/* Ends that are less apart count once: they may have one cause. */
#define COUNT_GAP_US (150 * 1000ULL)
/* Ends that are less apart are compared with each other. */
#define END_GAP_US (300 * 1000ULL)
/*
 * Of the processes that end together, the part of them that a prompt part must
 * have been in: 1 / COMMON_DIVISOR.
 */
#define COMMON_DIVISOR 4u
/* Ends of all processes that are remembered. */
#define RECENT_ENDS_MAX 512u
/* Older ends do not count. */
#define END_AGE_MAX_US (600 * 1000000ULL)
/* Time for the answers of entries to an inquiry. */
#define INQUIRY_US (200 * 1000ULL)
/* A part that was blamed and is not quarantined by then is blamed again. */
#define BLAME_AGAIN_US (3000 * 1000ULL)
/* Ends that are kept of a part. */
#define ENDS_MAX	 16u
#define ENDS_INITIAL_CAP 2u
/*
 * Parts with evidence. At this number a part of those with the least evidence
 * is dropped: 1 / DROP_DIVISOR.
 */
#define PARTS_MAX    16384u
#define DROP_DIVISOR 4u
/* Interval of dropping old ends. */
#define SWEEP_US (10 * 1000000ULL)
/* Explained processes that are remembered. */
#define EXPLAINED_MAX 256u

struct end {
	uint64_t process, at_us;
	uint32_t weight; /* of a part's end: with those that it stands for */
};

/* Evidence against one part. */
struct suspect {
	uint64_t hash;
	uint32_t position; /* the highest in any prompt */
	struct end *ends; /* by at_us; ENDS_MAX at most */
	size_t nends, ends_cap;
	uint64_t inquired_us, blamed_us; /* 0: not yet */
};

struct quarantine_evidence {
	struct map *suspects; /* struct suspect by hash */
	struct end recent[RECENT_ENDS_MAX]; /* ring; process 0: none */
	size_t next_recent;
	uint64_t explained[EXPLAINED_MAX]; /* ring of processes */
	size_t next_explained;
	uint64_t next_us; /* no finding before, unless evidence is added */
};

static void
suspect_destroy(struct suspect *s)
{
	if (s == NULL)
		return;
	free(s->ends);
	free(s);
}

static void
suspect_destroy_value(void *value)
{
	suspect_destroy(value);
}

struct quarantine_evidence *
quarantine_evidence_create(void)
{
	struct quarantine_evidence *e = mem_alloc(1, sizeof(*e));

	e->suspects = map_create();
	return e;
}

void
quarantine_evidence_destroy(struct quarantine_evidence *e)
{
	if (e == NULL)
		return;
	map_destroy_all(e->suspects, suspect_destroy_value);
	free(e);
}

size_t
quarantine_evidence_count(const struct quarantine_evidence *e)
{
	return map_count(e->suspects);
}

/* ---- ends of one part --------------------------------------------------- */

static void
remove_end_at(struct suspect *s, size_t i)
{
	s->nends--;
	memmove(
	    &s->ends[i], &s->ends[i + 1], (s->nends - i) * sizeof(s->ends[0]));
}

static void
remove_process(struct suspect *s, uint64_t process)
{
	size_t i;

	for (i = 0; i < s->nends; i++)
		if (s->ends[i].process == process) {
			remove_end_at(s, i);
			return;
		}
}

static bool
is_together(const struct end *a, const struct end *b)
{
	return a->at_us < b->at_us + END_GAP_US &&
	    b->at_us < a->at_us + END_GAP_US;
}

/*
 * Was the part under enough of the processes that ended together with this one?
 * A rack that ends takes one or two processes with most parts.
 */
static bool
is_common(const struct quarantine_evidence *e, const struct suspect *s,
    const struct end *end)
{
	size_t i, ended = 0, under_part = 0;

	for (i = 0; i < RECENT_ENDS_MAX; i++)
		ended += e->recent[i].process != 0 &&
		    is_together(&e->recent[i], end);
	for (i = 0; i < s->nends; i++)
		if (is_together(&s->ends[i], end))
			under_part += s->ends[i].weight;
	return under_part * COMMON_DIVISOR >= ended;
}

/*
 * Does this end count?
 *
 * counted_before: the latest earlier end that does; NULL: there is none.
 */
static bool
is_counted(const struct quarantine_evidence *e, const struct suspect *s,
    const struct end *end, const struct end *counted_before)
{
	if (!quarantine_guards.separate)
		return true;
	return (counted_before == NULL ||
		   end->at_us >= counted_before->at_us + COUNT_GAP_US) &&
	    is_common(e, s, end);
}

/* The number of ends that count against a part. */
static uint32_t
count_ends(const struct quarantine_evidence *e, const struct suspect *s)
{
	const struct end *counted = NULL;
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < s->nends; i++) {
		if (!is_counted(e, s, &s->ends[i], counted))
			continue;
		counted = &s->ends[i];
		count++;
	}
	return count;
}

/*
 * Make room for an end: let the end before one that is close stand for both, or
 * drop the oldest.
 */
static void
drop_least_end(struct suspect *s)
{
	size_t i;

	for (i = 1; i < s->nends; i++)
		if (is_together(&s->ends[i - 1], &s->ends[i])) {
			s->ends[i - 1].weight += s->ends[i].weight;
			remove_end_at(s, i);
			return;
		}
	remove_end_at(s, 0);
}

/* Makes room for one more end. */
static void
reserve_end(struct suspect *s)
{
	if (s->nends < s->ends_cap)
		return;
	s->ends_cap = s->ends_cap == 0 ? ENDS_INITIAL_CAP : s->ends_cap * 2;
	s->ends = mem_resize(s->ends, s->ends_cap, sizeof(s->ends[0]));
}

/* Several entries report the same end; the earliest time is kept. */
static void
add_end(struct suspect *s, uint64_t process, uint64_t at_us)
{
	size_t i;

	for (i = 0; i < s->nends; i++)
		if (s->ends[i].process == process) {
			if (s->ends[i].at_us <= at_us)
				return;
			remove_end_at(s, i);
			break;
		}
	if (s->nends == ENDS_MAX)
		drop_least_end(s);
	reserve_end(s);
	for (i = s->nends; i > 0 && s->ends[i - 1].at_us > at_us; i--)
		s->ends[i] = s->ends[i - 1];
	s->ends[i].process = process;
	s->ends[i].at_us = at_us;
	s->ends[i].weight = 1;
	s->nends++;
}

static void
remove_ends_until(struct suspect *s, uint64_t at_us)
{
	while (s->nends > 0 && s->ends[0].at_us <= at_us)
		remove_end_at(s, 0);
}

/* ---- all parts ---------------------------------------------------------- */

/* By fewest ends, then by the oldest latest end. */
static int
compare_evidence(const void *a, const void *b)
{
	const struct suspect *x = *(const struct suspect *const *)a;
	const struct suspect *y = *(const struct suspect *const *)b;
	uint64_t x_us = x->ends[x->nends - 1].at_us;
	uint64_t y_us = y->ends[y->nends - 1].at_us;

	if (x->nends != y->nends)
		return x->nends < y->nends ? -1 : 1;
	return (x_us > y_us) - (x_us < y_us);
}

/*
 * Drops the parts with the least evidence, so that one that ends processes
 * again and again is not forgotten among many that were under one end each.
 */
static void
drop_least_suspects(struct quarantine_evidence *e)
{
	size_t i, n = map_count(e->suspects);
	struct suspect **all = mem_alloc(n, sizeof(struct suspect *));

	for (i = 0; i < n; i++)
		all[i] = map_at(e->suspects, i);
	qsort(all, n, sizeof(struct suspect *), compare_evidence);
	for (i = 0; i < n / DROP_DIVISOR; i++)
		quarantine_evidence_forget(e, all[i]->hash);
	free(all);
}

static struct suspect *
get_or_add_suspect(struct quarantine_evidence *e, uint64_t hash)
{
	struct suspect *s = map_get_u64(e->suspects, hash);

	if (s != NULL)
		return s;
	if (map_count(e->suspects) >= PARTS_MAX)
		drop_least_suspects(e);
	s = mem_alloc(1, sizeof(*s));
	s->hash = hash;
	(void)map_set_u64(e->suspects, hash, s);
	return s;
}

void
quarantine_evidence_forget(struct quarantine_evidence *e, uint64_t hash)
{
	suspect_destroy(map_remove_u64(e->suspects, hash));
}

static bool
is_explained(const struct quarantine_evidence *e, uint64_t process)
{
	size_t i;

	for (i = 0; i < EXPLAINED_MAX; i++)
		if (e->explained[i] == process)
			return quarantine_guards.explain;
	return false;
}

static struct end *
find_recent(struct quarantine_evidence *e, uint64_t process)
{
	size_t i;

	for (i = 0; i < RECENT_ENDS_MAX; i++)
		if (e->recent[i].process == process)
			return &e->recent[i];
	return NULL;
}

static void
remember_end(struct quarantine_evidence *e, uint64_t process, uint64_t at_us)
{
	struct end *recent = find_recent(e, process);

	if (recent == NULL) {
		recent = &e->recent[e->next_recent++ % RECENT_ENDS_MAX];
		recent->process = process;
		recent->at_us = at_us;
	}
	if (at_us < recent->at_us)
		recent->at_us = at_us;
}

/* An end is explained: it counts against no part any more. */
static void
explain_process(struct quarantine_evidence *e, uint64_t process)
{
	struct end *recent = find_recent(e, process);
	struct suspect *s;
	size_t i = map_count(e->suspects);

	if (is_explained(e, process) || !quarantine_guards.explain)
		return;
	if (recent != NULL)
		recent->process = 0;
	e->explained[e->next_explained++ % EXPLAINED_MAX] = process;
	while (i-- > 0) {
		s = map_at(e->suspects, i);
		remove_process(s, process);
		if (s->nends == 0)
			quarantine_evidence_forget(e, s->hash);
	}
}

void
quarantine_evidence_explain(struct quarantine_evidence *e, uint64_t hash)
{
	struct suspect *s = map_remove_u64(e->suspects, hash);
	size_t i;

	if (s == NULL)
		return;
	for (i = 0; i < s->nends; i++)
		explain_process(e, s->ends[i].process);
	e->next_us = 0;
	suspect_destroy(s);
}

static bool
has_quarantined_part(
    const struct quarantine *q, const struct quarantine_end *end)
{
	size_t i;

	for (i = 0; i < end->nsuspects; i++)
		if (quarantine_is_active(q, end->suspects[i].hash))
			return true;
	return false;
}

static void
add_suspected_end(struct quarantine_evidence *e,
    const struct quarantine_end *end, const struct quarantine_suspect *suspect)
{
	struct suspect *s = get_or_add_suspect(e, suspect->hash);

	add_end(s, end->process, end->at_us);
	if (s->position < suspect->position)
		s->position = suspect->position;
}

void
quarantine_evidence_add_end(struct quarantine_evidence *e,
    const struct quarantine *q, const struct quarantine_end *end)
{
	size_t i;

	if (has_quarantined_part(q, end))
		explain_process(e, end->process);
	if (is_explained(e, end->process))
		return;
	e->next_us = 0;
	remember_end(e, end->process, end->at_us);
	/* Known parts first: others may take the place of those in doubt. */
	for (i = 0; i < end->nsuspects; i++)
		if (map_get_u64(e->suspects, end->suspects[i].hash) != NULL)
			add_suspected_end(e, end, &end->suspects[i]);
	for (i = 0; i < end->nsuspects; i++)
		if (map_get_u64(e->suspects, end->suspects[i].hash) == NULL)
			add_suspected_end(e, end, &end->suspects[i]);
}

void
quarantine_evidence_add_served(
    struct quarantine_evidence *e, uint64_t hash, uint64_t at_us)
{
	struct suspect *s = map_get_u64(e->suspects, hash);

	if (s == NULL || !quarantine_guards.served)
		return;
	remove_ends_until(s, at_us);
	s->inquired_us = 0;
	e->next_us = 0;
	if (s->nends == 0)
		quarantine_evidence_forget(e, hash);
}

/* ---- the verdict -------------------------------------------------------- */

static uint32_t
required_ends(const struct quarantine *q, uint64_t hash)
{
	return quarantine_find(q, hash) == NULL ? BLAME_ENDS : BLAME_ENDS_AGAIN;
}

static void
drop_old_ends(struct quarantine_evidence *e, uint64_t now_us)
{
	struct suspect *s;
	size_t i = map_count(e->suspects);

	if (now_us < END_AGE_MAX_US)
		return;
	while (i-- > 0) {
		s = map_at(e->suspects, i);
		remove_ends_until(s, now_us - END_AGE_MAX_US);
		if (s->nends == 0)
			quarantine_evidence_forget(e, s->hash);
	}
}

/* The ends that count against a part; 0 if they do not suffice for a verdict.
 */
static uint32_t
count_sufficient_ends(const struct quarantine_evidence *e,
    const struct quarantine *q, const struct suspect *s)
{
	uint32_t required = required_ends(q, s->hash), ends;

	if (s->nends < required)
		return 0;
	ends = count_ends(e, s);
	return ends < required ? 0 : ends;
}

/* The part with the most evidence, if that is enough for a verdict. */
static struct suspect *
find_strongest(const struct quarantine_evidence *e, const struct quarantine *q)
{
	struct suspect *s, *strongest = NULL;
	uint32_t ends, most_ends = 0;
	size_t i;

	for (i = 0; i < map_count(e->suspects); i++) {
		s = map_at(e->suspects, i);
		ends = count_sufficient_ends(e, q, s);
		if (ends == 0 || ends < most_ends ||
		    (ends == most_ends && s->position <= strongest->position))
			continue;
		strongest = s;
		most_ends = ends;
	}
	return strongest;
}

/* A part that has enough evidence and was not inquired about yet. */
static struct suspect *
find_not_inquired(
    const struct quarantine_evidence *e, const struct quarantine *q)
{
	struct suspect *s;
	size_t i;

	for (i = 0; i < map_count(e->suspects); i++) {
		s = map_at(e->suspects, i);
		if (s->inquired_us == 0 && count_sufficient_ends(e, q, s) > 0)
			return s;
	}
	return NULL;
}

static void
fill_finding(struct quarantine_finding *out, enum quarantine_finding_type type,
    const struct quarantine_evidence *e, const struct suspect *s)
{
	out->type = type;
	out->hash = s->hash;
	out->ends = count_ends(e, s);
	out->last_end_us = s->ends[s->nends - 1].at_us;
}

/* When the verdict on a part is due: after the answers about it. */
static uint64_t
blame_due_us(const struct suspect *s)
{
	uint64_t answered_us = s->inquired_us + INQUIRY_US;
	uint64_t again_us =
	    s->blamed_us == 0 ? 0 : s->blamed_us + BLAME_AGAIN_US;

	return answered_us > again_us ? answered_us : again_us;
}

bool
quarantine_evidence_next(struct quarantine_evidence *e,
    const struct quarantine *q, uint64_t now_us, struct quarantine_finding *out)
{
	struct suspect *s;

	if (now_us < e->next_us)
		return false;
	drop_old_ends(e, now_us);
	s = find_not_inquired(e, q);
	if (s != NULL) {
		s->inquired_us = now_us;
		fill_finding(out, QUARANTINE_INQUIRE, e, s);
		return true;
	}
	s = find_strongest(e, q);
	if (s == NULL || now_us < blame_due_us(s)) {
		e->next_us = s == NULL ? now_us + SWEEP_US : blame_due_us(s);
		return false;
	}
	s->blamed_us = now_us;
	fill_finding(out, QUARANTINE_BLAME, e, s);
	return true;
}
