/*
 * The documents of the client accounts.
 *
 * A document is the JSON configuration of one client account ("team" in the
 * code): its bearer tokens, its limits, its kinds of requests, its adapters
 * and the services that it may call. An operator replaces it as a whole. The
 * replicated log orders the changes, and each instance applies them to its
 * own table of documents, so that all tables are equal at the same log index.
 */

#ifndef MP_DOC_DOC_H
#define MP_DOC_DOC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/error.h"
#include "mulberrypath/settings.h"
#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DOC_NAME_BYTES 64 /* buffer size of a name, with its NUL */

/* A kind of requests: their cost, urgency and limits. */
struct doc_kind {
	char *name;
	double weight; /* cost charged to the team per completed request */
	uint32_t priority; /* 0 is served first within the team */
	uint32_t deadline_ms; /* if the caller sets no deadline */
	uint32_t max_tokens; /* upper limit of one answer */
};

/* A LoRA adapter that the team may request. */
struct doc_adapter {
	char *name;
	char *version; /* used if a request names no version */
	char **versions; /* all versions that may be requested */
	size_t nversions;
	char *base_model;
	char *kind; /* of requests that name no kind */
	bool pinned; /* stays loaded */
};

/* An HTTP call that a service declares. */
struct doc_call {
	char *method;
	char *path; /* relative to the service, such as "/book" */
	bool idempotent;
	char *kind;
};

/* A service that the team may call through the gateway. */
struct doc_service {
	char *name;
	uint32_t timeout_ms;
	struct doc_call *calls;
	size_t ncalls;
};

/*
 * A checked and parsed document. It is immutable and shared by reference
 * count.
 */
struct doc {
	unsigned refs;
	char *team;
	uint64_t revision; /* starts at 1 for each team */
	uint64_t index; /* log index at which it was accepted */
	double weight; /* share of the capacity relative to other teams */
	uint32_t requests_per_second; /* 0: no limit */
	uint32_t max_concurrent; /* 0: no limit */
	char **token_hashes; /* hex SHA-256 of the callers' bearer tokens */
	size_t ntokens;
	struct doc_kind *kinds;
	size_t nkinds;
	struct doc_adapter *adapters; /* sorted by name */
	size_t nadapters;
	struct doc_service *services;
	size_t nservices;
	char *text; /* the JSON text as accepted */
	size_t text_len;
};

/*
 * Checks a document completely and parses it.
 *
 * out: the document with revision 0 and one reference, which the caller owns;
 *     NULL on error.
 * problems: zero-initialised by the caller and freed with
 *     settings_problems_free(); receives the faults, each with its JSON path.
 *     The list is limited; err gives the full count.
 * Errors: MP_ERR_INVALID.
 */
int doc_parse(struct doc **out, const char *text, size_t len,
    struct settings_problems *problems, struct mp_error *err);

/* Takes another reference; returns d. */
struct doc *doc_ref(struct doc *d);

/* Releases a reference and frees the document with the last; d may be NULL. */
void doc_unref(struct doc *d);

/* Lookups by exact name; the document owns the result. NULL if none. */
const struct doc_adapter *doc_find_adapter(
    const struct doc *d, const char *name);
const struct doc_kind *doc_find_kind(const struct doc *d, const char *name);
const struct doc_service *doc_find_service(
    const struct doc *d, const char *name);

/*
 * Returns the declared call that matches a method and a path, or NULL. If
 * several match, the longest declared path counts. A query is ignored.
 */
const struct doc_call *doc_find_call(
    const struct doc_service *s, const char *method, const char *path);

/*
 * Resolves a model name of the form "adapter" or "adapter@version".
 *
 * adapter, version: owned by the document; NULL on error.
 * Errors: MP_ERR_NOT_FOUND for an unknown adapter, MP_ERR_INVALID for an
 *     unknown version.
 */
int doc_resolve_model(const struct doc *d, const char *model,
    const struct doc_adapter **adapter, const char **version,
    struct mp_error *err);

/* Writes the lower-case hex SHA-256 of a token; out has 65 bytes. */
void doc_hash_token(char *out, const char *token);

/*
 * The replicated table of the current documents of all teams, with the
 * results of recent changes and the recent revisions of each team.
 */
struct doc_table;

/* Returns an empty table. */
struct doc_table *doc_table_create(void);

/* Frees the table and releases its documents; table may be NULL. */
void doc_table_destroy(struct doc_table *table);

/* The outcome of a change. */
enum doc_verdict {
	DOC_ACCEPTED,
	DOC_CONFLICT, /* its base revision is not the current one */
	DOC_INVALID /* invalid; the proposer should have rejected it */
};

/* The result of a change. */
struct doc_result {
	enum doc_verdict verdict;
	bool is_repeated; /* a known change id: this is its first result */
	uint64_t revision; /* the accepted one, or else the current one */
	uint64_t index; /* log index of its acceptance; 0 if invalid or none */
};

/*
 * Applies a committed change. A change id that already has a result gets the
 * same result again, regardless of later changes. DOC_INVALID is not recorded
 * as a result, so the change id may be used again.
 *
 * base_revision: the revision that the change replaces; 0 for none.
 * change_id: chosen by the operator's client; empty for none, which disables
 *     the detection of repeats.
 * time_ms: clock of the proposer, since 1970; for the history only.
 * text: NULL if the change was a delta to a revision that the table no longer
 *     has. Another revision is current then, and the result is DOC_CONFLICT;
 *     it is DOC_INVALID if base_revision is current nevertheless.
 */
void doc_table_apply(struct doc_table *table, uint64_t index, const char *team,
    uint64_t base_revision, const char *change_id, const char *operator_name,
    uint64_t time_ms, const char *text, size_t len, struct doc_result *out);

/* Finds the result of an applied change id; false if it is unknown. */
bool doc_table_find_change(const struct doc_table *table, const char *team,
    const char *change_id, struct doc_result *out);

/* Returns the current document of a team or NULL; takes no reference. */
struct doc *doc_table_find(const struct doc_table *table, const char *team);

/*
 * Returns the current document that lists a bearer token, or NULL; takes no
 * reference.
 */
struct doc *doc_table_find_by_token(
    const struct doc_table *table, const char *token);

/*
 * Checks that no other team lists a token of this document.
 *
 * Errors: MP_ERR_CONFLICT. Applying such a change gives DOC_INVALID.
 */
int doc_table_check_tokens(
    const struct doc_table *table, const struct doc *d, struct mp_error *err);

/*
 * The number of current documents, and the i-th of them in the order of team
 * names (NULL beyond the last; no reference is taken).
 */
size_t doc_table_count(const struct doc_table *table);
struct doc *doc_table_at(const struct doc_table *table, size_t i);

/* Appends the recent revisions of a team as a JSON array, newest first. */
void doc_table_print_history(
    const struct doc_table *table, const char *team, struct buf *out);

/* Appends the snapshot; equal on all instances at the same log index. */
void doc_table_save(const struct doc_table *table, struct buf *out);

/* Replaces the state by a snapshot; MP_ERR_CORRUPT leaves the table empty. */
int doc_table_restore(struct doc_table *table, const char *data, size_t len,
    struct mp_error *err);

#ifdef __cplusplus
}
#endif

#endif
