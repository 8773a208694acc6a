#ifndef MP_RAFT_RAFT_INTERNAL_H
#define MP_RAFT_RAFT_INTERNAL_H

/*
 * State and functions shared by the files of the raft module. The functions
 * are described where they are defined.
 */

#include "raft/raft.h"
#include "raft/raft.pb-c.h"
#include "raft/raft_fault.h"
#include "raft/raft_log.h"
#include "util/buf.h"
#include "util/rng.h"

/*
 * Voters, learners, and members whose removal is not committed yet: a voter and
 * a learner at most, both earlier folders of one instance.
 */
#define RAFT_PEERS_MAX (2 * RAFT_VOTERS_MAX + 2)
/*
 * A learner that has ended so many rounds of catching up is as close to the end
 * of the log as the load allows: the first brings a snapshot, the second what
 * came meanwhile.
 */
#define RAFT_CATCH_UP_ROUNDS 3
/* Appends sent to one peer and not acknowledged. */
#define RAFT_INFLIGHT_MAX	   4
#define RAFT_UNCOMMITTED_BYTES_MAX (16U << 20)
/* Entries before the snapshot that stay in the log for slow followers. */
#define RAFT_COMPACT_KEEP_ENTRIES 512
#define RAFT_COMPACT_KEEP_BYTES	  (1U << 20)
/* Size limit of a snapshot received in parts. */
#define RAFT_INSTALL_BYTES_MAX (512U << 20)
/*
 * Time allowed for each byte of a bulk append before it counts as lost: 2
 * Mbit/s, a quarter of the slowest link. It is added to election_min_us.
 */
#define RAFT_BULK_BYTE_US 4
/*
 * Length of the leader lease in percent of election_min_us. The clocks of
 * two instances drift apart by less than the rest.
 */
#define RAFT_LEASE_PERCENT 95

/* The leader's view of another voter or learner. */
struct raft_peer {
	uint64_t id;
	uint64_t match; /* synced by the peer and equal to our log up to it */
	uint64_t next; /* first index to send */
	uint64_t sent_commit; /* newest commit index sent */
	uint64_t acked_sent_us; /* send time of the newest message answered */
	uint64_t received_us; /* time of the newest message received */
	uint64_t install_index; /* of the snapshot being sent, 0: none */
	uint64_t install_offset; /* of the part to send */
	uint64_t install_sent_us; /* send time of that part, 0: not sent */
	uint64_t inflight[RAFT_INFLIGHT_MAX]; /* last index of each append */
	size_t ninflight;
	uint64_t bulk_index; /* of the bulk entry in flight, 0: none */
	uint64_t bulk_until_us; /* it counts as lost from then on */
	/* A round of catching up ends when the peer has synced this index. */
	uint64_t round_end;
	uint64_t round_started_us;
	uint32_t nrounds; /* that have ended */
	bool keeps_up; /* its last round took less than election_min_us */
	bool probing; /* next is unconfirmed: one append at a time */
	bool probe_sent; /* cleared by a rejection or the next heartbeat */
	bool removed; /* by a change that is not committed yet */
};

/* A save that the caller has not reported yet; tickets ascend from 1. */
struct raft_pending_save {
	uint64_t ticket;
	enum node_save_kind kind;
	uint64_t last_index; /* of the log on disk after this save */
};

/* A packed message in the send queue. */
struct raft_outgoing {
	uint64_t to;
	uint64_t after_ticket; /* save that must be reported before sending */
	char *bytes;
	size_t len;
};

/* A config and the index of the entry or snapshot that holds it. */
struct raft_indexed_config {
	uint64_t index;
	struct raft_config config;
};

struct raft {
	struct raft_options options;
	struct rng rng;
	uint64_t now_us;

	uint64_t term, vote;
	enum raft_role role;
	bool pre_vote; /* candidate in the pre-vote phase */
	bool halted; /* a save has failed */
	uint64_t leader; /* voter id, 0: unknown */
	uint64_t leader_since_us; /* 0: not the leader */
	uint64_t no_vote_until_us; /* a live leader relies on it */
	uint64_t election_due_us;
	uint64_t pre_vote_due_us; /* of the next request for pre-votes */
	uint64_t heartbeat_due_us;

	struct raft_log log;
	uint64_t commit; /* highest committed index */
	uint64_t applied; /* highest index taken by the caller */
	uint64_t verified; /* highest index known equal to the leader's log */
	uint64_t synced; /* highest index on disk */

	uint64_t snapshot_index, snapshot_term;
	struct buf snapshot; /* packed Raft__Snapshot */
	uint64_t snapshot_hash; /* XXH64 of the packed snapshot */
	size_t state_offset, state_len; /* of the caller's state in it */
	bool snapshot_pending; /* the caller has yet to take the snapshot */

	struct raft_indexed_config *configs; /* oldest first */
	size_t nconfigs, configs_cap;

	uint64_t next_ticket; /* newest ticket issued */
	uint64_t saved_ticket; /* newest ticket reported as synced */
	uint64_t state_ticket; /* newest save of term and vote */
	struct raft_pending_save *pending; /* oldest first */
	size_t npending, pending_cap;

	struct raft_outgoing *outgoing; /* send queue, oldest first */
	size_t noutgoing, outgoing_cap;
	char *taken_message; /* bytes lent by raft_take_message() */

	struct raft_peer peers[RAFT_PEERS_MAX]; /* on the leader only */
	size_t npeers;
	uint64_t granted[RAFT_VOTERS_MAX]; /* voters that granted us a vote */
	size_t ngranted;
	size_t uncommitted_bytes; /* on the leader only */

	struct buf incoming; /* parts of a snapshot received so far */
	uint64_t incoming_index, incoming_hash;

	uint64_t ack_sent_us; /* send time of the newest unanswered append */
	bool ack_pending; /* the answer is due when the save is reported */
};

/* raft_save.c: writes and their tickets */
uint64_t raft_save_state(struct raft *r, struct node_effects *fx);
void raft_save_append(
    struct raft *r, uint64_t first, size_t count, struct node_effects *fx);
void raft_save_snapshot(struct raft *r, struct node_effects *fx);
void raft_save_truncate(struct raft *r, uint64_t index);

/* raft_message.c: packing, the send queue, dispatch */
void raft_message_init(
    const struct raft *r, Raft__Message *m, Raft__Message__BodyCase body);
void raft_message_send(struct raft *r, uint64_t to, Raft__Message *m);
void raft_message_drop_all(struct raft *r);

/* raft_vote.c: terms and elections */
void raft_become_follower(
    struct raft *r, uint64_t term, uint64_t leader, struct node_effects *fx);
void raft_reset_election_timer(struct raft *r);
void raft_campaign(struct raft *r, struct node_effects *fx);
void raft_repeat_pre_vote(struct raft *r);
void raft_handle_hand(struct raft *r, uint64_t term, struct node_effects *fx);
void raft_handle_vote_ask(struct raft *r, uint64_t from, uint64_t term,
    const Raft__VoteAsk *ask, struct node_effects *fx);
void raft_handle_vote_reply(struct raft *r, uint64_t from, uint64_t term,
    const Raft__VoteReply *reply, struct node_effects *fx);
void raft_count_own_vote(struct raft *r, struct node_effects *fx);

/* raft_append.c: replication on the follower */
void raft_handle_append(struct raft *r, uint64_t from, uint64_t term,
    const Raft__Append *m, struct node_effects *fx);
void raft_send_pending_ack(struct raft *r);
void raft_send_append_reply(struct raft *r, uint64_t to, uint64_t sent_us);
void raft_send_stale_reply(struct raft *r, uint64_t to);
void raft_note_leader(struct raft *r, uint64_t from);

/* raft_replicate.c: replication on the leader */
void raft_become_leader(struct raft *r, struct node_effects *fx);
int raft_leader_append(struct raft *r, enum raft_entry_type type,
    struct node_bytes data, struct node_effects *fx);
void raft_replicate_all(struct raft *r);
void raft_send_heartbeats(struct raft *r);
void raft_handle_append_reply(struct raft *r, uint64_t from,
    const Raft__AppendReply *m, struct node_effects *fx);
void raft_advance_commit(struct raft *r, struct node_effects *fx);
uint64_t raft_quorum_value(const struct raft *r, uint64_t self,
    uint64_t (*get)(const struct raft_peer *));
uint64_t raft_quorum_acked_us(const struct raft *r);
uint64_t raft_quorum_received_us(const struct raft *r);
struct raft_peer *raft_note_peer_reply(
    struct raft *r, uint64_t from, uint64_t sent_us);
struct raft_peer *raft_find_peer(struct raft *r, uint64_t id);
void raft_start_round(const struct raft *r, struct raft_peer *p);

/* raft_config.c: the membership */
bool raft_config_is_voter(const struct raft_config *c, uint64_t id);
bool raft_config_is_learner(const struct raft_config *c, uint64_t id);
bool raft_is_voter(const struct raft *r);
bool raft_can_campaign(const struct raft *r);
bool raft_can_vote(const struct raft *r);
void raft_config_pack(const struct raft_config *c, struct buf *out);
int raft_config_unpack(struct raft_config *out, struct node_bytes bytes);
int raft_config_from_pb(struct raft_config *out, const Raft__Config *pb);
void raft_config_to_pb(const struct raft_config *c, Raft__Config *pb);
void raft_config_push(
    struct raft *r, uint64_t index, const struct raft_config *c);
void raft_config_truncate(struct raft *r, uint64_t index);
void raft_config_drop_front(struct raft *r, uint64_t index);
const struct raft_config *raft_config_at_index(
    const struct raft *r, uint64_t index);
uint64_t raft_config_index(const struct raft *r);
void raft_config_sync_peers(struct raft *r);
void raft_config_finish_change(struct raft *r, struct node_effects *fx);

/* raft_snapshot.c: snapshots, compaction and their transfer */
int raft_snapshot_load(struct raft *r, uint64_t index, uint64_t term,
    struct node_bytes packed, struct raft_config *config);
void raft_snapshot_pack(struct raft *r, uint64_t index, uint64_t term,
    const struct raft_config *config, struct node_bytes state);
void raft_send_install(struct raft *r, struct raft_peer *peer);
void raft_handle_install_reply(
    struct raft *r, uint64_t from, const Raft__InstallReply *m);
void raft_handle_install(struct raft *r, uint64_t from, uint64_t term,
    const Raft__Install *m, struct node_effects *fx);

#endif
