/*
 * The replicated table of claims on non-idempotent calls.
 *
 * A claim gives one process of an instance the right to send a call, so that
 * a call that a client repeats runs at most once. Claims are identified by
 * client account ("team") and idempotency key. Starts and ends of claims are
 * ordered by the replicated log; only the instance whose start was applied
 * first sends the call. Every instance applies the same changes in the same
 * order, so that all tables are equal at the same log index.
 *
 * A process is identified by its instance and incarnation, and a start by the
 * proposal number that is unique per process.
 */

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

struct claim_table;

/* The values are saved in snapshots. */
enum claim_state {
	CLAIM_RUNNING,
	CLAIM_ANSWERED,
	CLAIM_STATE_UNKNOWN /* may have run, so it is never run again */
};

/* A claim and the state of its call. */
struct claim {
	enum claim_state state;
	char *team, *key;
	uint64_t body_hash;
	char *service, *call;
	uint32_t instance; /* that runs or ran the call */
	uint64_t incarnation, proposal;
	uint64_t index; /* log index of the start */
	uint64_t time_ms; /* proposer's clock, since 1970; reports only */
	/* If answered, the HTTP response that a repeated call gets. */
	int status;
	char *content_type;
	char *answer;
	size_t answer_len;
};

/* The outcome of a start. */
enum claim_verdict {
	CLAIM_GRANTED, /* the proposer sends the call */
	CLAIM_DUPLICATE, /* the claim exists; see its state */
	CLAIM_MISMATCH /* the key was used for another body or call */
};

/* Returns an empty table. */
struct claim_table *claim_table_create(void);

/* Frees the table with its claims; t may be NULL. */
void claim_table_destroy(struct claim_table *t);

/* The start of a call; fields as in struct claim. */
struct claim_start {
	const char *team, *key;
	uint64_t body_hash;
	const char *service, *call;
	uint32_t instance;
	uint64_t incarnation, proposal;
	uint64_t time_ms;
};

/*
 * Applies a committed start. A proposal that is applied twice is granted twice
 * while its call runs.
 *
 * index: log index of the start.
 * claim: the claim in the table; valid until the next change of the table.
 */
enum claim_verdict claim_apply_start(struct claim_table *t, uint64_t index,
    const struct claim_start *start, const struct claim **claim);

/* How a call ended. */
enum claim_outcome {
	CLAIM_END_ANSWERED,
	CLAIM_END_NOT_RUN, /* certainly not run: the key is free again */
	CLAIM_END_UNKNOWN
};

/* The end of a call; status and answer count for CLAIM_END_ANSWERED only. */
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
 * Applies a committed end; true if it took effect. It takes effect only if it
 * names the proposal of the claim and the claim is running. An answer also
 * takes effect on an unknown claim, because an answer that arrives late is
 * better than an unknown outcome.
 */
bool claim_apply_end(struct claim_table *t, const struct claim_end *end);

/* Returns an end without an answer; its strings belong to the claim. */
struct claim_end claim_make_end(
    const struct claim *claim, enum claim_outcome outcome);

/*
 * Applies the end of a process: the claims that it runs become unknown.
 * Returns their number.
 */
size_t claim_apply_down(
    struct claim_table *t, uint32_t instance, uint64_t incarnation);

/*
 * Applies a committed advance of the clock by which claims expire. Only the
 * leader proposes advances, each for a period of its own leadership. The
 * clocks of proposers, which may differ widely, do not expire claims.
 *
 * elapsed_ms: since the last advance; at most two minutes count.
 */
void claim_apply_clock(struct claim_table *t, uint64_t elapsed_ms);

/*
 * How long answered and unknown claims are retained after their end. Expired
 * claims are removed when a start is applied, and so at the same log index on
 * every instance.
 */
#define CLAIM_RETENTION_MS (24ULL * 3600 * 1000)

/*
 * Iterates over the running claims of a process in the order of their starts.
 *
 * after: the previous claim; NULL for the first.
 * Returns NULL after the last claim.
 */
const struct claim *claim_next_running(const struct claim_table *t,
    uint32_t instance, uint64_t incarnation, const struct claim *after);

/* Returns a claim, or NULL; valid until the next change of the table. */
const struct claim *claim_find(
    const struct claim_table *t, const char *team, const char *key);

/*
 * Appends a JSON array of claims in the order of their starts.
 *
 * team: NULL for all teams.
 * unknown_only: list only claims whose outcome is unknown.
 */
void claim_list(const struct claim_table *t, const char *team,
    bool unknown_only, struct buf *out);

/* Returns the number of claims of all states. */
size_t claim_count(const struct claim_table *t);

/* Appends the snapshot; equal on all instances at the same log index. */
void claim_save(const struct claim_table *t, struct buf *out);

/* Replaces the state by a snapshot; MP_ERR_CORRUPT leaves the table empty. */
int claim_restore(
    struct claim_table *t, const char *data, size_t len, struct mp_error *err);

#ifdef __cplusplus
}
#endif

#endif
