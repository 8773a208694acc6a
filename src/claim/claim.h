#ifndef MP_CLAIM_CLAIM_H
#define MP_CLAIM_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/error.h"
#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The replicated table of non-idempotent calls, by team and idempotency
 * key. A call is sent only by the instance whose start was applied first.
 */
struct claim_table;

enum claim_state {
	CLAIM_RUNNING,
	CLAIM_ANSWERED,
	CLAIM_STATE_UNKNOWN /* may or may not have run; never run again */
};

struct claim {
	enum claim_state state;
	char *team, *key;
	uint64_t body_hash;
	char *service, *call;
	uint32_t instance; /* who runs or ran it */
	uint64_t incarnation, proposal;
	uint64_t index; /* log index of the start */
	uint64_t time_ms; /* of the proposer, since 1970, for reports */
	int status; /* ANSWERED: what a resend gets */
	char *content_type;
	char *answer;
	size_t answer_len;
};

enum claim_verdict {
	CLAIM_GRANTED, /* the proposer runs the call */
	CLAIM_DUPLICATE, /* see the claim: running, answered or unknown */
	CLAIM_MISMATCH /* same key, other body or call */
};

struct claim_table *claim_table_create(void);
void claim_table_destroy(struct claim_table *t);

struct claim_start {
	const char *team, *key;
	uint64_t body_hash;
	const char *service, *call;
	uint32_t instance;
	uint64_t incarnation, proposal;
	uint64_t time_ms;
};

/*
 * Apply a committed start. The same proposal applied twice is GIVEN twice
 * while it runs.
 *
 * claim: the table's entry; lives until the next change.
 */
enum claim_verdict claim_apply_start(struct claim_table *t, uint64_t index,
    const struct claim_start *start, const struct claim **claim);

enum claim_outcome {
	CLAIM_END_ANSWERED,
	CLAIM_END_NOT_RUN,
	CLAIM_END_UNKNOWN
};

struct claim_end {
	const char *team, *key;
	uint32_t instance;
	uint64_t incarnation, proposal; /* of the start */
	enum claim_outcome outcome;
	int status;
	const char *content_type;
	const char *answer;
	size_t answer_len;
};

/*
 * Apply a committed end. It counts only from the proposal that runs the
 * call, or, for ANSWERED, also after the claim became unknown: an answer
 * that did arrive is better than not knowing. True when it took effect.
 */
bool claim_apply_end(struct claim_table *t, const struct claim_end *end);

/* The end, without an answer, of a claim; it refers to the claim's texts. */
struct claim_end claim_make_end(
    const struct claim *claim, enum claim_outcome kind);

/* An instance's process has ended: what it ran becomes unknown. */
size_t claim_apply_down(
    struct claim_table *t, uint32_t instance, uint64_t incarnation);

/*
 * Apply a committed advance of the time by which claims expire. Leaders alone
 * tell it, each for its own time of leading: the clocks of proposers, which
 * may be far apart, expire nothing.
 *
 * elapsed_ms: since the last advance, milliseconds; at most two minutes count.
 */
void claim_apply_clock(struct claim_table *t, uint64_t elapsed_ms);

/*
 * How long answered and unknown claims are kept after they ended; older ones
 * go when a start is applied, so alike everywhere.
 */
#define CLAIM_RETENTION_MS (24ULL * 3600 * 1000)

/*
 * The running claims of a process in the order of their starts.
 *
 * after: the one before, NULL for the first; NULL comes after the last.
 */
const struct claim *claim_next_running(const struct claim_table *t,
    uint32_t instance, uint64_t incarnation, const struct claim *after);

const struct claim *claim_find(
    const struct claim_table *t, const char *team, const char *key);

/* JSON array of claims of a team (NULL: all); unknown_only filters. */
void claim_list(const struct claim_table *t, const char *team,
    bool unknown_only, struct buf *out);

size_t claim_count(const struct claim_table *t);
void claim_save(const struct claim_table *t, struct buf *out);
int claim_restore(
    struct claim_table *t, const char *data, size_t len, struct mp_error *err);

#ifdef __cplusplus
}
#endif

#endif
