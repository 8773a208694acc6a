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

/* A team's document, checked and parsed; immutable, shared by reference. */

#define DOC_NAME_BYTES 64 /* longest name of a team, adapter or kind */

struct doc_kind {
	char *name;
	double weight; /* charge of one completed request */
	uint32_t priority; /* 0 is served first within the team */
	uint32_t deadline_ms; /* when the caller names none */
	uint32_t max_tokens; /* upper bound of one answer */
};

struct doc_adapter {
	char *name;
	char *version; /* what "adapter" without a version means */
	char **versions; /* all that may be asked for */
	size_t nversions;
	char *base_model;
	char *kind; /* default kind of its requests */
	bool pinned; /* keep it loaded */
};

struct doc_call {
	char *method;
	char *path; /* below the service, "/book" */
	bool idempotent;
	char *kind;
};

struct doc_service {
	char *name;
	uint32_t timeout_ms;
	struct doc_call *calls;
	size_t ncalls;
};

struct doc {
	unsigned refs;
	char *team;
	uint64_t revision; /* counts from 1 for each team */
	uint64_t index; /* log index of its acceptance */
	double weight; /* share of service relative to other teams */
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
	char *text; /* the JSON as accepted */
	size_t text_len;
};

/*
 * Check a document whole and parse it.
 *
 * out: the document with revision 0, or NULL.
 * problems: zero-initialised; every fault with its JSON path.
 * Errors: MP_ERR_INVALID.
 */
int doc_parse(struct doc **out, const char *text, size_t len,
    struct settings_problems *problems, struct mp_error *err);
struct doc *doc_ref(struct doc *d);
void doc_unref(struct doc *d);

const struct doc_adapter *doc_find_adapter(
    const struct doc *d, const char *name);
const struct doc_kind *doc_find_kind(const struct doc *d, const char *name);
const struct doc_service *doc_find_service(
    const struct doc *d, const char *name);

/* The call of a service that a method and path match; NULL when undeclared. */
const struct doc_call *doc_find_call(
    const struct doc_service *s, const char *method, const char *path);

/*
 * Resolve "adapter" or "adapter@version".
 *
 * adapter: the entry found.
 * version: points into the document.
 * Errors: MP_ERR_NOT_FOUND (adapter), MP_ERR_INVALID (version).
 */
int doc_resolve_model(const struct doc *d, const char *model,
    const struct doc_adapter **adapter, const char **version,
    struct mp_error *err);

/* Lower-case hex SHA-256 of a token; out holds 65 bytes. */
void doc_hash_token(char *out, const char *token);

/* ---- the replicated table of all documents ----------------------------- */

struct doc_table;

struct doc_table *doc_table_create(void);
void doc_table_destroy(struct doc_table *b);

enum doc_verdict {
	DOC_ACCEPTED,
	DOC_CONFLICT, /* another revision is current */
	DOC_INVALID /* malformed; the proposer should have refused it */
};

struct doc_result {
	enum doc_verdict verdict;
	bool is_repeated; /* the change id was seen: first answer again */
	uint64_t revision; /* accepted, or the current one on conflict */
	uint64_t index; /* log index of acceptance */
};

/*
 * Apply a committed change. A change id already answered gets its first
 * result again, whatever came since.
 *
 * text: NULL when it was told as a difference to a revision that the book
 * does not hold any more; then another one is current.
 */
void doc_table_apply(struct doc_table *b, uint64_t index, const char *team,
    uint64_t base_revision, const char *change_id, const char *operator_name,
    uint64_t time_ms, const char *text, size_t len, struct doc_result *out);

/* The result of a change id already applied; false when not seen. */
bool doc_table_find_change(const struct doc_table *b, const char *team,
    const char *change_id, struct doc_result *out);

/* The current document of a team, or NULL; no reference is taken. */
struct doc *doc_table_find(const struct doc_table *b, const char *team);

/* The document whose callers' tokens include this one, or NULL. */
struct doc *doc_table_find_by_token(
    const struct doc_table *b, const char *token);

/*
 * Could this document be accepted beside those of the other teams?
 *
 * Errors: MP_ERR_CONFLICT when another team lists one of its tokens; such a
 * change is DOC_INVALID when it is applied.
 */
int doc_table_check_tokens(
    const struct doc_table *b, const struct doc *d, struct mp_error *err);

size_t doc_table_count(const struct doc_table *b);
struct doc *doc_table_at(const struct doc_table *b, size_t i);

/* JSON array of the latest changes of a team, newest first, with texts. */
void doc_table_print_history(
    const struct doc_table *b, const char *team, struct buf *out);

/* All state as bytes, alike on every instance at the same log index. */
void doc_table_save(const struct doc_table *b, struct buf *out);

/* Replace the state; MP_ERR_CORRUPT leaves the book empty. */
int doc_table_restore(
    struct doc_table *b, const char *data, size_t len, struct mp_error *err);

#ifdef __cplusplus
}
#endif

#endif
