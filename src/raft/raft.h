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
 * A replicated log after the Raft algorithm, as a state machine that does no
 * I/O and reads no clock: the caller passes in time, messages and completed
 * saves. Writes leave as NODE_FX_SAVE effects; after every call the caller
 * takes messages with raft_take_message() and committed entries with
 * raft_take_committed(). The module implements pre-vote, check-quorum, the
 * leader lease, learners, single-server membership changes, snapshots and
 * group commit.
 *
 * now_us is the caller's monotonic clock in microseconds; it never decreases
 * from one call to the next.
 */
struct raft;

/*
 * A voter id identifies a data folder, not an instance: the low 32 bits are
 * the instance id, the high 32 bits are random bits of the folder's
 * incarnation. A replaced disk is therefore a new voter.
 */
#define RAFT_ID(incarnation, instance)                                         \
	((uint64_t)(incarnation) << 32 | (uint32_t)(instance))
#define RAFT_ID_INSTANCE(id) ((uint32_t)(id))

#define RAFT_VOTERS_MAX	     9
/* Index of the snapshot that holds the founding config of a new log. */
#define RAFT_FOUNDING_INDEX 1ULL

/*
 * The election timeout is random between election_min_us and
 * election_max_us; heartbeat_us must be less than election_min_us.
 * election_min_us is also the check-quorum timeout of the leader, the base
 * of its lease and the time for which followers of a live leader withhold
 * their vote.
 */
struct raft_options {
	uint64_t self; /* own voter id, not 0 */
	uint32_t group; /* messages of other groups are dropped */
	uint64_t seed; /* of the random election timeouts */
	uint64_t heartbeat_us;
	uint64_t election_min_us;
	uint64_t election_max_us;
	size_t batch_bytes; /* limit of entry bytes per append message */
	/*
	 * An entry with more bytes is sent alone: nothing else is appended at a
	 * peer until it is answered, and heartbeats may overtake it. 0: none.
	 */
	size_t bulk_bytes;
};

/* The membership: learners receive the log but do not count for quorums. */
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
	struct node_bytes data; /* valid until the next non-const raft call */
};

/*
 * What the caller applies next: one entry, or the state of a snapshot, which
 * replaces all state applied before.
 */
struct raft_committed {
	bool is_snapshot;
	struct raft_entry entry; /* unless is_snapshot */
	uint64_t index;
	struct node_bytes snapshot; /* state as passed to raft_compact() */
};

struct raft_message {
	uint64_t to;
	struct node_bytes bytes; /* valid until the next raft call */
};

/*
 * Create a log from the contents of the data folder.
 *
 * out: the new log, owned by the caller; NULL on failure.
 * disk: the stored log. When it is NULL, fresh or damaged, the log starts
 * empty and neither votes nor campaigns until raft_found_log() or until a
 * leader adds it to the membership.
 * Errors: MP_ERR_CORRUPT (disk is inconsistent), MP_ERR_INVALID (options).
 */
int raft_create(struct raft **out, const struct raft_options *options,
    const struct node_disk *disk, uint64_t now_us, struct mp_error *err);
void raft_destroy(struct raft *r);

/*
 * Start a new log whose membership is config.
 *
 * Errors: MP_ERR_EXISTS (the log is not empty), MP_ERR_INVALID (config has
 * no voters, too many ids, or an id that is 0 or duplicate).
 */
int raft_found_log(struct raft *r, uint64_t now_us,
    const struct raft_config *config, struct node_effects *fx,
    struct mp_error *err);

/* Run the election, check-quorum and heartbeat timers that have expired. */
void raft_tick(struct raft *r, uint64_t now_us, struct node_effects *fx);

/* Time in microseconds at which raft_tick() is due next. */
uint64_t raft_next_tick(const struct raft *r);

/*
 * Process a message from the voter or learner `from`. Malformed messages and
 * those for another group or receiver are dropped.
 */
void raft_receive(struct raft *r, uint64_t now_us, uint64_t from,
    struct node_bytes bytes, struct node_effects *fx);

/*
 * Report the result of all saves up to and including ticket.
 *
 * ok: the saves are synced. On false the log halts for good: it sends
 * nothing, so it neither votes nor acknowledges entries.
 */
void raft_save_completed(struct raft *r, uint64_t now_us, uint64_t ticket,
    bool ok, struct node_effects *fx);

/*
 * Append a command to the leader's log.
 *
 * index: the log index of the entry; the entry may be lost until it is
 * committed.
 * Errors: MP_ERR_NOT_LEADER, MP_ERR_LIMIT (too many uncommitted bytes).
 */
int raft_propose(struct raft *r, uint64_t now_us, struct node_bytes command,
    uint64_t *index, struct node_effects *fx, struct mp_error *err);

enum raft_change {
	RAFT_ADD_LEARNER,
	RAFT_PROMOTE,
	RAFT_REMOVE
};

/*
 * Add, promote or remove one member. A change is accepted only after the
 * previous one is committed.
 *
 * A learner takes the place of the voter or learner with an earlier data folder
 * of the same instance, which is removed by the same change: that folder is
 * lost, and never answers again.
 *
 * id: the voter or learner to change.
 * Errors: MP_ERR_NOT_LEADER; MP_ERR_UNAVAILABLE (another change is
 * uncommitted, or no entry of the leader's own term is committed yet; for
 * RAFT_PROMOTE, the learner is not ready; for a change of the voters, the
 * leader has recently received messages from fewer of them than a quorum of the
 * new config); MP_ERR_INVALID (the change does not apply to the current
 * membership).
 */
int raft_change_config(struct raft *r, uint64_t now_us, enum raft_change change,
    uint64_t id, struct node_effects *fx, struct mp_error *err);

/*
 * Step down and let a voter that has the whole log campaign immediately; the
 * other voters may vote for it without waiting for the election timeout.
 *
 * avoid: voters that must not become the target, for example because they
 * are shutting down.
 * Errors: MP_ERR_NOT_LEADER, MP_ERR_UNAVAILABLE (no message was received
 * recently from a suitable voter; the leader stays leader).
 */
int raft_transfer_leadership(struct raft *r, uint64_t now_us,
    const uint64_t *avoid, size_t navoid, struct node_effects *fx,
    struct mp_error *err);

/*
 * Take the next message to send; false when there is none. A message is held
 * back until the term and vote it depends on are saved.
 */
bool raft_take_message(struct raft *r, struct raft_message *out);

/*
 * Take the next entry or snapshot to apply, in log order; false when there
 * is none.
 */
bool raft_take_committed(struct raft *r, struct raft_committed *out);

/*
 * Replace the log up to and including index by a snapshot of the caller's
 * state. Some of the newest entries stay in the log, so that slow followers
 * can catch up without the snapshot.
 *
 * index: the caller has taken this entry; otherwise nothing happens.
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
bool raft_is_empty(const struct raft *r); /* no config, hence no log */

/* The founding config while the log holds nothing else; otherwise NULL. */
const struct raft_config *raft_get_founding_config(const struct raft *r);

bool raft_is_halted(const struct raft *r); /* a save has failed */

/*
 * The newest config of the log, which is in force whether committed or not;
 * it has no voters when the log is empty.
 */
const struct raft_config *raft_get_config(const struct raft *r);

/*
 * End of the leader lease in microseconds: before that time no other leader
 * can have been elected. A leader has this authority over the log once an
 * entry of its own term is committed; each quorum of acknowledgements extends
 * it. Returns 0 for a voter without authority.
 */
uint64_t raft_authority_until(const struct raft *r);

/* Time in microseconds at which this voter became leader; 0 if it is not. */
uint64_t raft_leader_since(const struct raft *r);

/*
 * Whether the leader may promote a learner. It must have synced the newest
 * config, as a member without it cannot vote. If its vote raises the quorum it
 * must also keep up with the log: within election_min_us it synced all that was
 * in the log when that time began, or it did so repeatedly, in whatever time
 * the load allows. No instant at which it has all that is committed is needed:
 * there may be none while entries keep coming.
 */
bool raft_is_learner_ready(const struct raft *r, uint64_t id);

/* How far a learner has got, as the leader knows. */
struct raft_learner_progress {
	uint64_t match; /* index up to which it has synced the log */
	uint64_t config_index; /* of the newest config */
	uint64_t commit, last; /* newest index committed, and of all */
	uint64_t answered_us; /* time of its last answer, or of its addition */
	uint64_t round_us; /* start of the present round of catching up */
	/* Of the snapshot that it receives; 0: none. */
	uint64_t snapshot_sent, snapshot_bytes;
};

/* Get the progress of a learner; false unless this is the leader of it. */
bool raft_get_learner_progress(
    const struct raft *r, uint64_t id, struct raft_learner_progress *out);

/*
 * Get a committed entry from the log. MP_ERR_NOT_FOUND when it is compacted
 * or not committed.
 */
int raft_get_entry(
    const struct raft *r, uint64_t index, struct raft_entry *out);

#ifdef __cplusplus
}
#endif

#endif
