#ifndef MP_RAFT_RAFT_H
#define MP_RAFT_RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/error.h"
#include "mulberrypath/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A replicated log: pure, stepped by events. Writes leave as NODE_FX_SAVE
 * effects; messages and committed entries are taken by the caller after
 * every call. Pre-vote, check-quorum, leader lease, learners, membership
 * change one at a time, snapshots, group commit.
 */
struct raft;

/*
 * A voter's id names its data folder, not its instance: the low 32 bits are
 * the instance id, the high 32 bits are random bits of the folder's
 * incarnation. A replaced disk is therefore a new voter.
 */
#define RAFT_ID(incarnation, instance)                                         \
	((uint64_t)(incarnation) << 32 | (uint32_t)(instance))
#define RAFT_ID_INSTANCE(id) ((uint32_t)(id))

#define RAFT_VOTERS_MAX	     9
#define RAFT_FOUNDING_INDEX  1ULL /* a founded log begins after it */

struct raft_options {
	uint64_t self;
	uint32_t group;
	uint64_t seed;
	uint64_t heartbeat_us;
	uint64_t election_min_us; /* also the reach of check-quorum */
	uint64_t election_max_us;
	size_t batch_bytes; /* of one append message */
};

struct raft_config {
	uint64_t voters[RAFT_VOTERS_MAX];
	size_t nvoters;
	uint64_t learners[RAFT_VOTERS_MAX];
	size_t nlearners;
};

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_CANDIDATE,
	RAFT_LEADER
};

enum raft_entry_type {
	RAFT_ENTRY_NOOP,
	RAFT_ENTRY_COMMAND,
	RAFT_ENTRY_CONFIG
};

struct raft_entry {
	uint64_t index;
	uint64_t term;
	enum raft_entry_type type;
	struct node_bytes data; /* lives until the next call that changes */
};

/* Something to apply: an entry, or a whole state from a snapshot. */
struct raft_committed {
	bool is_snapshot;
	struct raft_entry entry; /* when not a snapshot */
	uint64_t index;
	struct node_bytes snapshot; /* the caller's state bytes */
};

struct raft_message {
	uint64_t to;
	struct node_bytes bytes; /* lives until the next raft call */
};

/*
 * disk: what was stored; NULL or fresh: an empty log that neither votes nor
 * stands for election until founded or added by a leader.
 * Errors: MP_ERR_CORRUPT, MP_ERR_INVALID.
 */
int raft_create(struct raft **out, const struct raft_options *options,
    const struct node_disk *disk, uint64_t now_us, struct mp_error *err);
void raft_destroy(struct raft *r);

/* Begin a new log with these voters; MP_ERR_EXISTS unless it is empty. */
int raft_found_log(struct raft *r, uint64_t now_us,
    const struct raft_config *config, struct node_effects *fx,
    struct mp_error *err);

void raft_tick(struct raft *r, uint64_t now_us, struct node_effects *fx);
uint64_t raft_next_tick(const struct raft *r);

/* A message from another voter or learner; malformed ones are dropped. */
void raft_receive(struct raft *r, uint64_t now_us, uint64_t from,
    struct node_bytes bytes, struct node_effects *fx);

/* A save is synced, or failed: then this voter stops voting and acking. */
void raft_save_completed(struct raft *r, uint64_t now_us, uint64_t ticket,
    bool ok, struct node_effects *fx);

/*
 * Append a command.
 *
 * index: its place in the log; it may still be lost until committed.
 * Errors: MP_ERR_NOT_LEADER, MP_ERR_LIMIT (too many bytes uncommitted).
 */
int raft_propose(struct raft *r, uint64_t now_us, struct node_bytes command,
    uint64_t *index, struct node_effects *fx, struct mp_error *err);

enum raft_change {
	RAFT_ADD_LEARNER,
	RAFT_PROMOTE,
	RAFT_REMOVE
};

/*
 * Change the membership by one; one change at a time.
 * Errors: MP_ERR_NOT_LEADER, MP_ERR_UNAVAILABLE (another change; for
 * RAFT_PROMOTE, the learner has not caught up; too few of the voters left
 * have been heard lately), MP_ERR_INVALID.
 */
int raft_change_config(struct raft *r, uint64_t now_us, enum raft_change change,
    uint64_t id, struct node_effects *fx, struct mp_error *err);

/*
 * Step down in favour of a voter that has the whole log; the others may vote
 * for it at once.
 *
 * avoid: voters that would not keep the lead.
 * Errors: MP_ERR_NOT_LEADER, MP_ERR_UNAVAILABLE (no such voter was heard
 * lately; the leader goes on).
 */
int raft_transfer_leadership(struct raft *r, uint64_t now_us,
    const uint64_t *avoid, size_t navoid, struct node_effects *fx,
    struct mp_error *err);

/* Take the next message to send; false when there is none. */
bool raft_take_message(struct raft *r, struct raft_message *out);

/* Take the next thing to apply, in log order; false when there is none. */
bool raft_take_committed(struct raft *r, struct raft_committed *out);

/*
 * Replace the log up to index, which must have been taken, by the caller's
 * state. A margin of recent entries may be kept for slow followers.
 */
void raft_compact(struct raft *r, uint64_t now_us, uint64_t index,
    struct node_bytes state, struct node_effects *fx);

enum raft_role raft_get_role(const struct raft *r);
uint64_t raft_get_leader(const struct raft *r); /* voter id, 0 unknown */
uint64_t raft_get_term(const struct raft *r);
uint64_t raft_get_commit(const struct raft *r);
uint64_t raft_get_last_index(const struct raft *r);
uint64_t raft_get_snapshot_index(const struct raft *r);
size_t raft_get_log_bytes(const struct raft *r);
bool raft_is_empty(const struct raft *r); /* no log, no config */
/* The voters that the log was founded with, when it holds no more; NULL. */
const struct raft_config *raft_get_founding_config(const struct raft *r);
bool raft_is_halted(const struct raft *r); /* a save failed */
const struct raft_config *raft_get_config(const struct raft *r);

/*
 * Leader with an entry of its term committed, and heard by a quorum lately:
 * until the time returned no other leader can have been elected. 0 when not.
 */
uint64_t raft_authority_until(const struct raft *r);

/* When this voter last became leader, 0 when it is not. */
uint64_t raft_leader_since(const struct raft *r);

/* The learner's log, synced, has reached the leader's commit index. */
bool raft_is_learner_caught_up(const struct raft *r, uint64_t id);

/* A committed entry still in the log; MP_ERR_NOT_FOUND when compacted. */
int raft_get_entry(
    const struct raft *r, uint64_t index, struct raft_entry *out);

#ifdef __cplusplus
}
#endif

#endif
