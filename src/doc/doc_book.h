#ifndef MP_DOC_BOOK_H
#define MP_DOC_BOOK_H

#include "doc/doc.h"
#include "util/map.h"

/* Inside of the document table, shared with its saving. */

#define DOC_CHANGES_MAX	  8192 /* newest change ids kept of a team */
#define DOC_HISTORY_MAX	  32 /* newest texts kept of a team */
#define DOC_HISTORY_BYTES (4U << 20) /* of them together, if more than one */

/* A change id with the result that it got. */
struct doc_change {
	char *id;
	bool accepted;
	uint64_t revision;
	uint64_t index;
};

struct doc_past {
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
	struct map *seen; /* change id to struct doc_change */
	struct doc_change **changes; /* ring, oldest at first_change */
	size_t first_change, nchanges, changes_cap;
	struct doc_past past[DOC_HISTORY_MAX]; /* oldest first */
	size_t npast;
	size_t past_bytes;
};

struct doc_book {
	struct doc_team **teams; /* by name */
	size_t nteams, teams_cap;
	struct map *tokens; /* hex hash to struct doc_team */
};

struct doc_team *doc_book_team(const struct doc_book *b, const char *name);
struct doc_team *doc_book_add_team(struct doc_book *b, const char *name);
void doc_book_clear(struct doc_book *b);

/* Remember the result of a change id; the oldest may be dropped. */
void doc_team_note_change(struct doc_team *t, const char *id, bool accepted,
    uint64_t revision, uint64_t index);

/* Append to the history; the oldest texts may be dropped. */
void doc_team_note_past(struct doc_team *t, const struct doc_past *past);

/* Take the reference of d as the current document. */
void doc_team_set_current(
    struct doc_book *b, struct doc_team *t, struct doc *d);

/* The change at a place, the oldest being 0. */
const struct doc_change *doc_team_change(const struct doc_team *t, size_t i);

#endif
