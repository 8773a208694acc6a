/*
 * Internals of the document table, shared by doc_table.c, doc_save.c and
 * doc_delta.c.
 */

#ifndef MP_DOC_DOC_TABLE_H
#define MP_DOC_DOC_TABLE_H

#include "doc/doc.h"
#include "util/map.h"

#define DOC_CHANGES_MAX 8192 /* change ids that a team retains */
#define DOC_HISTORY_MAX 32 /* revisions that a team retains */

/* All texts of the history together; a single text may be longer. */
#define DOC_HISTORY_BYTES_MAX (4U << 20)

/* The result of a change, by its id. */
struct doc_change {
	char *id;
	bool accepted;
	uint64_t revision;
	uint64_t index;
};

/* An accepted revision, for the history and as the base of deltas. */
struct doc_revision {
	uint64_t revision;
	uint64_t index;
	char *change_id;
	char *operator_name;
	uint64_t time_ms;
	char *text;
	size_t text_len;
};

/* The state of one team. */
struct doc_team {
	char *name;
	struct doc *current; /* NULL until one is accepted */
	struct map *changes_by_id; /* change id to struct doc_change */
	/* Ring buffer that owns the changes; the oldest is at first_change. */
	struct doc_change **changes;
	size_t first_change, nchanges, changes_cap;
	struct doc_revision history[DOC_HISTORY_MAX]; /* oldest first */
	size_t nhistory;
	size_t history_bytes; /* sum of the lengths of the texts */
};

struct doc_table {
	struct doc_team **teams; /* sorted by name */
	size_t nteams, teams_cap;
	struct map *teams_by_token; /* hex SHA-256 to struct doc_team */
};

/* Returns a team, or NULL. */
struct doc_team *doc_table_find_team(
    const struct doc_table *table, const char *name);

/* Adds a team, which must not exist yet. */
struct doc_team *doc_table_add_team(struct doc_table *table, const char *name);

/* Removes all teams. */
void doc_table_clear(struct doc_table *table);

/*
 * Records the result of a change id; drops the oldest one at the limit. An
 * empty id is not recorded.
 */
void doc_team_add_change(struct doc_team *t, const char *id, bool accepted,
    uint64_t revision, uint64_t index);

/* Copies a revision into the history; drops the oldest at the limits. */
void doc_team_add_revision(struct doc_team *t, const struct doc_revision *rev);

/* Makes d the current document; takes over the reference. */
void doc_team_set_current(
    struct doc_table *table, struct doc_team *t, struct doc *d);

/* The i-th recorded change; 0 is the oldest. */
const struct doc_change *doc_team_change_at(const struct doc_team *t, size_t i);

#endif
