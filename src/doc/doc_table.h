#ifndef MP_DOC_DOC_TABLE_H
#define MP_DOC_DOC_TABLE_H

#include "doc/doc.h"
#include "util/map.h"

/* Inside of the document table, shared with its saving. */

#define DOC_CHANGES_MAX 8192 /* newest change ids kept of a team */
#define DOC_HISTORY_MAX 32 /* newest texts kept of a team */
#define DOC_HISTORY_BYTES_MAX                                                  \
	(4U << 20) /* of them together, if more than one */

/* A change id with the result that it got. */
struct doc_change {
	char *id;
	bool accepted;
	uint64_t revision;
	uint64_t index;
};

struct doc_revision {
	uint64_t revision;
	uint64_t index;
	char *change_id;
	char *operator_name;
	uint64_t time_ms;
	char *text;
	size_t text_len;
};

struct doc_team {
	char *name;
	struct doc *current; /* NULL until the first is accepted */
	struct map *changes_by_id; /* change id to struct doc_change */
	struct doc_change **changes; /* ring, oldest at first_change */
	size_t first_change, nchanges, changes_cap;
	struct doc_revision history[DOC_HISTORY_MAX]; /* oldest first */
	size_t nhistory;
	size_t history_bytes;
};

struct doc_table {
	struct doc_team **teams; /* by name */
	size_t nteams, teams_cap;
	struct map *teams_by_token; /* hex hash to struct doc_team */
};

struct doc_team *doc_table_find_team(
    const struct doc_table *b, const char *name);
struct doc_team *doc_table_add_team(struct doc_table *b, const char *name);
void doc_table_clear(struct doc_table *b);

/* Remember the result of a change id; the oldest may be dropped. */
void doc_team_add_change(struct doc_team *t, const char *id, bool accepted,
    uint64_t revision, uint64_t index);

/* Append to the history; the oldest texts may be dropped. */
void doc_team_add_revision(struct doc_team *t, const struct doc_revision *past);

/* Take the reference of d as the current document. */
void doc_team_set_current(
    struct doc_table *b, struct doc_team *t, struct doc *d);

/* The change at a place, the oldest being 0. */
const struct doc_change *doc_team_change_at(const struct doc_team *t, size_t i);

#endif
