#ifndef MP_NODE_NODE_INTERNAL_H
#define MP_NODE_NODE_INTERNAL_H

#include <jansson.h>

#include "claim/claim.h"
#include "doc/doc.h"
#include "member/member.h"
#include "member/member_freshness.h"
#include "mulberrypath/node.h"
#include "node/node_follow.h"
#include "raft/raft.h"
#include "route/route.h"
#include "sched/sched.h"
#include "util/buf.h"
#include "util/events.h"
#include "util/map.h"
#include "util/rng.h"
#include "wire/command.pb-c.h"
#include "wire/peer.pb-c.h"

/*
 * The state of the reducer and the functions that its files share.
 *
 * Terms: a member is an instance that the replicated log lists. An entry is the
 * instance that received a caller's request. An owner is the member that
 * schedules an endpoint; rendezvous hashing over the members of the endpoint's
 * region chooses it. An entry sends an ask to an owner, which queues it and
 * answers with a grant: the right to run one request on one endpoint. A pin is
 * a granted request that keeps its adapter loaded. An epoch is the log index of
 * a change of the members; it is active once no owner of an earlier epoch can
 * act any more. A holder is an instance in its role of holding a lease.
 */

#define NODE_WIRE_VERSION 2

/* Longest time between two ticks. */
#define NODE_TICK_US (10 * 1000ULL)
/* Timers of the replicated log. */
#define NODE_HEARTBEAT_US    (100 * 1000ULL)
#define NODE_ELECTION_MIN_US (500 * 1000ULL)
#define NODE_ELECTION_MAX_US (1000 * 1000ULL)
/* A peer without a message for this time gets no new asks. */
#define NODE_PEER_TIMEOUT_US (1000 * 1000ULL)
/* Interval of the summaries that owners exchange. */
#define NODE_SUMMARY_US (500 * 1000ULL)
/* Interval of the keepalives of open asks and grants, sent to their owners. */
#define NODE_KEEPALIVE_US (500 * 1000ULL)
/* After a change of owner, keepalives list pins in full for this time. */
#define NODE_KEEPALIVE_FULL_US (2000 * 1000ULL)
/* Interval of scans over asks or grants, for each item in the table. */
#define NODE_SCAN_ITEM_US 50ULL
/* Time that endpoints may take to announce to their new owners. */
#define NODE_ENDPOINT_MOVE_US (3000 * 1000ULL)
/* Interval at which unanswered asks are sent again in full. */
#define NODE_ASK_RESEND_US (5000 * 1000ULL)
/* An ask or grant without a keepalive for this time is dropped. */
#define NODE_GRANT_TIMEOUT_US (3000 * 1000ULL)
/* An endpoint without an announcement for this time is removed. */
#define NODE_ENDPOINT_TIMEOUT_US (5000 * 1000ULL)
/* Interval of pulls from the instance that this one follows. */
#define NODE_PULL_US (300 * 1000ULL)
/* Interval of hellos before the founding, and validity of an answer. */
#define NODE_HELLO_US	    (300 * 1000ULL)
#define NODE_HELLO_VALID_US (2000 * 1000ULL)
/* Interval at which a proposal is sent again until it is applied. */
#define NODE_PROPOSE_RETRY_US (300 * 1000ULL)
/* Interval at which the leader advances the clock of claims in the log. */
#define NODE_CLAIM_CLOCK_US (60 * 1000 * 1000ULL)
/* Interval of scans for claims that no request ends. */
#define NODE_CLAIM_SWEEP_US (1000 * 1000ULL)
/* A change of a document or claim without a decision by then has expired. */
#define NODE_CHANGE_TIMEOUT_US (5000 * 1000ULL)
/* Interval at which dead voters are removed. */
#define NODE_VOTER_REMOVAL_US (200 * 1000ULL)
/* A stopping instance exits after this time at the latest. */
#define NODE_DRAIN_MAX_US (60 * 1000 * 1000ULL)
/* Its requests are answered this long before. */
#define NODE_LAST_ANSWER_US (1000 * 1000ULL)
/* Owners that are ranked for one ask. */
#define NODE_OWNERS_MAX 8
/* Instances with a data folder that are contacted at once. */
#define NODE_VOTERS_MAX 32
/* Up to this number of members, all of them follow a voter directly. */
#define NODE_DIRECT_MEMBERS_MAX 24
/* Followers of one relay of the log. */
#define NODE_RELAY_FANOUT 4
/* After a relay timed out, it is bypassed for this time. */
#define NODE_RELAY_BYPASS_US (5000 * 1000ULL)
/* Members whose renewals one relay batches. */
#define NODE_RELAY_GROUP_MAX 64
/* Time that a relay collects renewals; shorter while an epoch is new. */
#define NODE_RELAY_BATCH_US	  (100 * 1000ULL)
#define NODE_RELAY_BATCH_SHORT_US (20 * 1000ULL)
#define NODE_RELAY_NEW_EPOCH_US	  (1000 * 1000ULL)
/* Sent batches that a relay can match with an answer. */
#define NODE_RELAY_PENDING_MAX 32
/* A relayed renewal without an answer for this time is sent directly. */
#define NODE_RELAY_TIMEOUT_US (MEMBER_LEASE_US / 4)

/* What is known of another instance from its messages. */
struct node_peer {
	uint32_t id;
	uint64_t received_us; /* time of its latest message; 0: none */
	uint64_t incarnation;
	/* From its latest summary as an owner. */
	uint32_t seats, free, queued, engines, wait_ms;
	/*
	 * Load by team, in thousandths of the team's share of the seats; NULL:
	 * no summary received from this incarnation.
	 */
	struct map *team_loads;
	uint64_t team_loads_incarnation;
	uint32_t asks_since_summary; /* sent by this instance */
	bool leaving;
	char **services;
	size_t nservices;
	/* As a follower of this instance. */
	uint64_t last_pull_us, pull_next, push_next;
	/* Entries on their way since then count as lost after a time. */
	uint64_t push_started_us;
	/* The part of a snapshot that was sent last. */
	uint64_t part_index, part_offset, part_sent_us;
	/* As a listed voter before the founding. */
	uint64_t hello_received_us, hello_voter;
	struct raft_config founding; /* with which its log was founded */
	bool hello_fresh;
	/* As an owner: its keepalives list pins in full until then. */
	uint64_t keepalive_full_until_us;
};

/* Owners that are remembered for one adapter. */
#define NODE_ADAPTER_HOLDERS_MAX 4
/* Changes of loaded adapters in one summary. */
#define NODE_HELD_CHANGES_MAX 16
/* Loaded adapters that all owners of a region list in one summary interval. */
#define NODE_HELD_REGION_MAX 128
#define NODE_HELD_MAX	     (NODE_HELD_REGION_MAX + NODE_HELD_CHANGES_MAX)

/* Owners that reported an adapter as loaded, each with an expiry time. */
struct node_adapter_holders {
	uint32_t hash; /* of the adapter's key */
	uint32_t owners[NODE_ADAPTER_HOLDERS_MAX];
	uint64_t until_us[NODE_ADAPTER_HOLDERS_MAX];
};

/* Adapters that were loaded or dropped here since the last summary. */
struct node_held_changes {
	uint32_t hashes[NODE_HELD_CHANGES_MAX];
	size_t count;
};

/* An endpoint that this instance owns. */
struct node_endpoint {
	char *id, *address, *region;
	uint64_t announced_us;
	uint64_t owned_since_epoch; /* without interruption */
	bool leaving;
	bool scheduled; /* its announcements are passed to the scheduler */
	json_t *announcement; /* the latest one in full; NULL: none */
	uint64_t incarnation, sequence; /* of that announcement */
	uint64_t next_resync_us; /* no earlier resync of its cache */
	uint32_t resync_failures; /* in a row */
};

/* The running call that fetches all cached prefixes of one engine. */
struct node_resync {
	uint64_t call; /* 0: none */
	char *endpoint;
	uint64_t incarnation;
	int status;
	struct buf body;
	json_t *pending_events; /* received during the call */
	uint64_t earliest_next_us; /* start of the next resync */
};

/* An ask or grant of an entry, at the owner. */
struct node_grant {
	uint64_t id; /* of the request in the scheduler */
	uint32_t entry;
	uint64_t entry_incarnation;
	uint64_t ask;
	char *endpoint; /* NULL while queued */
	char *adapter;
	char *run; /* id of the run at the endpoint */
	uint64_t basis_us; /* latest send time received, by the entry's clock */
	uint64_t keepalive_us; /* latest ask or keepalive */
	uint64_t granted_us;
	uint64_t wait_us, stall_us;
	bool no_redirect; /* must not be redirected to another owner */
	uint64_t orphaned_us; /* time at which its entry went down; 0: is up */
	uint64_t cancel_due_us; /* time of the next cancellation of its run */
};

/* An ask of this entry's route. */
struct node_ask {
	uint64_t ask;
	uint32_t owner; /* 0 while none is known */
	uint64_t sent_us;
	uint64_t keepalive_full_until_us; /* set when its owner changes */
};

/* An order to an endpoint that is under way. */
struct node_order {
	enum sched_decision_type type;
	char *endpoint, *adapter;
	/* Not 0: cancels the run of this grant; type and adapter are unset. */
	uint64_t cancelled_grant;
};

enum node_proposal_kind {
	NODE_PROPOSE_DOC,
	NODE_PROPOSE_CLAIM_START,
	NODE_PROPOSE_CLAIM_END,
	NODE_PROPOSE_GATE, /* any change of the gateway */
	NODE_PROPOSE_QUARANTINE /* one that an operator made by the API */
};

/* A command that this instance proposed and has not seen applied yet. */
struct node_proposal {
	uint64_t id;
	enum node_proposal_kind kind;
	/* DOC, GATE, QUARANTINE: request to answer; CLAIM_END: the start's
	 * proposal. */
	uint64_t request;
	char *bytes;
	size_t len;
	uint64_t expires_us, resend_us;
	uint64_t appended_term; /* in which it was added to the own log */
	bool sent;
};

/* A packed message of this instance to itself. */
struct node_self_message {
	char *bytes;
	size_t len;
};

/* A renewal that this instance relays; field names as in LeaseRenew. */
struct node_relayed_renewal {
	uint32_t id;
	uint64_t incarnation; /* of the holder's process */
	uint64_t sent_us, got_ago_us; /* by the holder's clock */
	uint32_t permit_in_flight, permit_rate_milli;
	uint32_t waiting_loads, loads_in_flight;
	uint64_t waiting_stall_us;
};

/* Renewals whose common fields are equal. */
struct node_relay_batch {
	uint64_t number;
	uint32_t leader; /* the recipient */
	uint64_t due_us;
	uint64_t applied, epoch, permit_term, incarnations;
	struct node_relayed_renewal *holders;
	size_t count;
};

struct node_relay {
	struct node_relay_batch open; /* renewals are added to it */
	/* Sent batches, at their number modulo the size. */
	struct node_relay_batch pending[NODE_RELAY_PENDING_MAX];
	uint64_t last_number;
};

struct node_counters {
	uint64_t requests, messages_in, messages_out, bytes_out, bytes_in;
	uint64_t outdated_replies; /* to an earlier process of this instance */
	uint64_t malformed, asks, grants, orders, applied, snapshots;
	uint64_t resyncs;
	uint64_t control_bytes_out;
	uint64_t follow_snapshots; /* packed for followers */
	uint64_t follow_parts; /* parts of them sent */
	uint64_t follow_restarts; /* snapshots replaced while received */
};

struct node {
	const struct settings *settings;
	uint32_t id;
	uint64_t incarnation;
	uint64_t now; /* of the running step, in microseconds */
	uint64_t boot_us, boot_wall_ms; /* the same moment on both clocks */
	struct rng rng;
	struct node_effects *fx; /* of the running step */

	/* Replicated state, at index applied. */
	uint64_t applied, applied_term;
	struct node_queue *queue; /* entries after it, see node_queue.c */
	struct member_view *view;
	struct doc_table *book;
	struct claim_table *claims;

	/* The log and its followers. */
	struct raft *raft; /* NULL without a data folder */
	uint64_t voter; /* own raft id, 0 without a data folder */
	bool may_found;
	uint64_t leader_since; /* value for which the lessor was last reset */
	uint64_t claim_clock_us; /* end of the time proposed as a claim clock */
	uint64_t commit_seen;
	size_t snapshot_bytes; /* of the last snapshot of the log */
	uint32_t unanswered_pulls; /* since the last push, while behind */
	struct node_recent_entry *recent; /* ring of NODE_RECENT_ENTRIES */
	uint64_t recent_first; /* recent_first..applied are in the ring */
	size_t recent_bytes, recent_bytes_max; /* of their commands */
	struct node_snapshot_source snapshot_source;
	struct node_snapshot_incoming snapshot_incoming;
	bool push_due;
	uint32_t follow_source; /* the voter that was followed last */
	uint64_t follow_direct_until_us; /* follow a voter instead of a relay */

	/* Leases. */
	struct member_holder *holder;
	struct member_lessor *lessor;
	struct member_freshness freshness;
	uint64_t leader_answer_us; /* time of the leader's latest answer */
	uint64_t active_epoch_sent; /* as the leader, to all members */
	/* Send time of the oldest relayed renewal without answer; 0: none. */
	uint64_t relay_unanswered_us;
	uint64_t renew_direct_until_us; /* renewals bypass the relay */
	struct node_relay relay;

	/* Own proposals. */
	struct map *proposals;
	uint64_t last_proposal;

	/* As an owner. */
	struct sched *sched;
	struct map *endpoints;
	struct map *grants; /* by id */
	struct map *grants_by_ask; /* by entry, incarnation and ask */
	uint64_t epoch_changed_us; /* time of the last change of the members */
	uint64_t last_grant;
	struct map *orders; /* by call */
	struct node_resync resync;
	struct map *usage_sent; /* by team, as in the last summary naming it */
	size_t usage_rotation; /* counts summaries that left out teams */
	uint64_t owner_epoch; /* unused */
	bool sched_run_due;

	/* As an entry. */
	struct route *route;
	struct map *asks;
	struct map *rates; /* request limiters by team */
	uint64_t last_call;

	/* Other instances. */
	struct map *peers;
	struct map *adapter_holders; /* by hash of the adapter's key */
	size_t holders_sweep_next, held_report_next;
	struct node_held_changes held_loaded, held_dropped;
	struct node_self_message *self_messages;
	size_t nself_messages, self_messages_cap;

	struct node_gate *gate; /* NULL: this instance has no gateway */
	char peer_address[32]; /* buffer of node_peer_address() */

	/* Times at which periodic work is due next. */
	uint64_t next_asks_scan_us, next_grants_scan_us, next_claims_scan_us;
	uint64_t next_summary_us, next_keepalive_us, next_pull_us,
	    next_hello_us, next_removal_us, learner_logged_us, propose_us;
	uint32_t renewals; /* sent as a member */
	bool stopping;
	uint64_t stop_us; /* time at which stopping began */
	bool exited;
	bool start_logged;
	enum member_standing standing; /* as last logged */
	struct node_counters counters;
};

/* node.c */

/* Whether the lease allows this instance to accept new work. */
bool node_may_act(const struct node *n);

/* The time after which no byte of new work may be sent. */
uint64_t node_act_until(const struct node *n);

/* Begins a graceful shutdown. */
void node_stop(struct node *n);

/* Milliseconds since 1970; for reports only. */
uint64_t node_wall_ms(const struct node *n);

/* node_log.c: numbered log events, see docs/LOGS.md */
void node_log(struct node *n, enum node_log_event event, const char *format,
    ...) __attribute__((format(printf, 3, 4)));

/* node_replica.c: the replicated log, its application, snapshots */

/* Applies committed entries, sends raft messages, compacts when due. */
void node_replica_advance(struct node *n);

/*
 * Replaces the log by a snapshot, unless one append holds the log. A new
 * learner receives the newest snapshot and then the entries that follow on it,
 * which may be many times as long as the state that they lead to.
 */
void node_replica_compact_for_learner(struct node *n);

/* Applies one entry; ignores any but the one after the last applied. */
void node_replica_apply(
    struct node *n, uint64_t index, uint64_t term, struct node_bytes command);

/* Writes the replicated state; replaces the content of out. */
void node_replica_snapshot(struct node *n, struct buf *out);

/*
 * Replaces the replicated state by that of a snapshot; does nothing when it is
 * not newer. Errors: MP_ERR_CORRUPT.
 */
int node_replica_restore(
    struct node *n, uint64_t index, struct node_bytes state);

/* node_queue.c: entries that wait for a configuration to be decoded */
struct node_queue *node_queue_create(void);
void node_queue_destroy(struct node *n);
/*
 * Applies an entry, as node_replica_apply(), or queues it: a large
 * configuration, and what follows one.
 */
void node_queue_apply(
    struct node *n, uint64_t index, uint64_t term, struct node_bytes command);
/* Decodes a slice, and applies the entries whose turn it is then. */
void node_queue_tick(struct node *n);
bool node_queue_is_empty(const struct node *n);
/* Forgets the entries. */
void node_queue_clear(struct node *n);

/* node_apply.c: the effect of committed commands */
void node_apply_command(
    struct node *n, uint64_t index, const Wire__Command *command);

/* node_propose.c: proposals of commands to the log */

/* Appends a command as the leader; it is not sent again when lost. */
void node_propose_as_leader(struct node *n, Wire__Command *command);

/*
 * Proposes a command and sends it again until it is applied or expires.
 *
 * request: see node_proposal.
 * Returns the proposal's id.
 */
uint64_t node_propose(struct node *n, enum node_proposal_kind kind,
    uint64_t request, uint64_t expires_us, Wire__Command *command);

/* Removes a proposal that was applied. */
void node_propose_applied(struct node *n, uint64_t proposal);
struct node_proposal *node_propose_find(struct node *n, uint64_t proposal);
void node_propose_tick(struct node *n);
void node_propose_receive(
    struct node *n, uint32_t from, const Wire__Propose *message);
void node_propose_free(struct node_proposal *p);

/* The leading instance as far as known here; 0 when unknown. */
uint32_t node_leader(const struct node *n);

/* node_claim.c: ends own claims that no request ends */
void node_claim_tick(struct node *n);

/* node_peer.c: messages between instances */

/*
 * Other instances that are known to have a data folder: from the settings and,
 * where instances are found by seeds, members.
 *
 * Returns the number of ids written to out, at most max.
 */
size_t node_peer_list_voters(const struct node *n, uint32_t *out, size_t max);

/* The state kept for another instance, created at first use. */
struct node_peer *node_peer_get(struct node *n, uint32_t id);

/* "ip:port" of an instance's bus, valid until the next call; NULL: unknown. */
const char *node_peer_address(struct node *n, uint32_t id);

/* Sends a message; one to this instance itself is queued. */
void node_peer_send(struct node *n, uint32_t to, Wire__Envelope *envelope);

/*
 * Sends a message that answers one process of an instance, for example one that
 * is matched with a request by its number. A later process there drops it.
 */
void node_peer_reply(struct node *n, uint32_t to, uint64_t to_incarnation,
    Wire__Envelope *envelope);
void node_peer_receive(struct node *n, uint32_t from, struct node_bytes bytes);

/* Delivers the queued messages of this instance to itself. */
void node_peer_deliver_self(struct node *n);

/* Whether a message of the instance was received within the timeout. */
bool node_peer_is_alive(const struct node *n, uint32_t id);

/* node_lease.c: leases of this instance, and those it grants as leader */
void node_lease_tick(struct node *n);
void node_lease_on_renew(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__LeaseRenew *renew);
void node_lease_on_reply(
    struct node *n, uint32_t from, const Wire__LeaseReply *reply);

/* Starts or stops acting as the leader according to the log. */
void node_lease_update_leadership(struct node *n);

/* Fills in the leader's reply to a renewal. */
void node_lease_fill_reply(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__LeaseRenew *renew, Wire__LeaseReply *out);
void node_lease_send_reply(struct node *n, uint32_t to, uint64_t to_incarnation,
    Wire__LeaseReply *reply);

/* node_relay.c: batches of lease renewals in a large cluster */

/* The relay for this instance's renewals; 0: none. */
uint32_t node_relay_find(const struct node *n);

/*
 * Decides whether a renewal is sent by a relay, and if so notes its send time.
 *
 * relay: set to the relay to use; 0 when there is none.
 */
bool node_relay_choose(
    struct node *n, const Wire__LeaseRenew *renew, uint32_t *relay);

/*
 * Whether the relay's answer timed out; renewals then bypass it for
 * NODE_RELAY_BYPASS_US.
 */
bool node_relay_timed_out(struct node *n);
void node_relay_tick(struct node *n);
void node_relay_on_renew(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__LeaseRenew *r);
void node_relay_on_renews(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__RenewBatch *batch);
void node_relay_on_leases(
    struct node *n, uint32_t from, const Wire__LeaseBatch *leases);
void node_relay_free(struct node *n);

/* node_follow.c: distribution of the log to instances without a vote */
void node_follow_tick(struct node *n);
void node_follow_on_pull(
    struct node *n, uint32_t from, const Wire__FollowPull *pull);
void node_follow_on_push(
    struct node *n, uint32_t from, const Wire__FollowPush *push);

/* Sends newly applied entries to all followers. */
void node_follow_push_all(struct node *n);

/* The relay of the log that this instance follows; 0: it follows a voter. */
uint32_t node_follow_parent(const struct node *n);

/* node_founding.c: founding of a cluster, changes of its voters */
void node_founding_tick(struct node *n);
void node_founding_on_hello(
    struct node *n, uint32_t from, const Wire__Hello *hello);

/* As the leader: makes at most one due change of the voters. */
void node_founding_update_voters(struct node *n);

/* node_owner.c: announcements of endpoints and their owners */

/* The answer to an announcement. */
struct node_announce_result {
	uint32_t owner; /* of the endpoint; 0: unknown here */
	bool send_all; /* the next announcement must be a full one */
};

int node_owner_announce(struct node *n, struct node_bytes json,
    struct node_announce_result *out, struct mp_error *err);

/*
 * Forwards to its owner what an endpoint sent to this instance.
 *
 * events: cache events rather than an announcement.
 */
void node_owner_forward(
    struct node *n, uint32_t owner, struct node_bytes json, bool events);
void node_owner_on_epoch(struct node *n, bool skipped);
void node_owner_tick(struct node *n);
void node_owner_run_sched(struct node *n);

/* The instance that owns an endpoint in the current epoch; 0: none. */
uint32_t node_owner_of(
    const struct node *n, const char *region, const char *endpoint);
void node_endpoint_free(struct node_endpoint *e);

/* node_cache.c: events of the engines' prefix caches, and their resync */
void node_cache_events(struct node *n, struct node_bytes json);
void node_cache_tick(struct node *n);
bool node_cache_on_call(struct node *n, const struct node_call_event *event);
void node_cache_free(struct node_resync *r);

/* node_order.c: orders to endpoints, as HTTP calls */
void node_order_send(struct node *n, const struct sched_decision *d);
void node_order_cancel(struct node *n, struct node_grant *g);
bool node_order_on_call(struct node *n, const struct node_call_event *event);
void node_order_free(struct node_order *o);

/* node_grant.c: queued asks and grants, at the owner */
void node_grant_on_ask(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantAsk *ask);
void node_grant_on_done(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantDone *done);
void node_grant_on_decision(struct node *n, const struct sched_decision *d);

/* Redirects asks that wait for a load here but not at another owner. */
void node_grant_redirect_queued(struct node *n);

/* Members that may own endpoints of the own region; at least 1. */
uint32_t node_grant_count_owners(const struct node *n);

/* Whether this process of the instance is a member. */
bool node_grant_is_member(
    const struct node *n, uint32_t id, uint64_t incarnation);

struct node_grant *node_grant_find(
    const struct node *n, uint32_t entry, uint64_t incarnation, uint64_t ask);
struct node_grant *node_grant_add(
    struct node *n, uint32_t entry, uint64_t incarnation, uint64_t ask);
void node_grant_remove(struct node *n, struct node_grant *g);

/* Sends a grant to its entry. */
void node_grant_send(struct node *n, const struct node_grant *g);
void node_grant_free(struct node_grant *g);

/* node_keepalive.c: GrantTouch messages, the keepalives of asks and grants */
void node_keepalive_receive(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantTouch *message);
void node_keepalive_send_all(struct node *n);

/* node_orphan.c: grants of entries whose process has ended */
void node_orphan_entry_down(
    struct node *n, uint32_t entry, uint64_t incarnation);
bool node_orphan_cancel_due(const struct node *n, const struct node_grant *g);
void node_orphan_cancelled(struct node *n, uint64_t grant, bool surely);
void node_orphan_report(
    struct node *n, const char *endpoint, const struct sched_report *report);

/* node_entry.c: asks of this entry, the route's access to the node */
void node_entry_on_ask_again(struct node *n, uint64_t id);
extern const struct route_ops node_route_ops;
void node_entry_on_grant(struct node *n, const Wire__GrantReply *reply);
void node_entry_tick(struct node *n);

/* node_summary.c: summaries that the owners of a region exchange */
void node_summary_send(struct node *n);
void node_summary_receive(
    struct node *n, uint32_t from, const Wire__OwnerSummary *summary);

/* node_usage.c: the teams' usage in summaries */
size_t node_usage_fill(
    struct node *n, Wire__TeamUsage **usage, Wire__TeamUsage ***list);
void node_usage_receive(
    struct node *n, struct node_peer *peer, const Wire__OwnerSummary *summary);
void node_usage_free(struct node *n);

/* node_rate.c: request rate limits of teams, shared by all entries */
struct node_rate;
void node_rate_free(struct node_rate *rate);
bool node_rate_allows(struct node *n, const struct doc *doc);
size_t node_rate_fill(const struct node *n, Wire__TeamRate *out, size_t max);
void node_rate_receive(
    struct node *n, uint32_t from, const Wire__TeamRate *reported);

/* node_spread.c: the choice of an owner for a request */
size_t node_spread_rank(struct node *n, const char *adapter,
    const char *service, uint32_t *out, size_t max);
void node_spread_count_ask(struct node_peer *peer, const char *adapter);

/* node_held.c: which owners have an adapter loaded */
void node_held_record(struct node *n, const char *adapter, bool loaded);
void node_held_fill(
    struct node *n, Wire__OwnerSummary *summary, uint32_t *held, size_t owners);
void node_held_receive(
    struct node *n, uint32_t from, const Wire__OwnerSummary *summary);
bool node_held_is_at(const struct node *n, const char *adapter, uint32_t owner);
uint32_t node_held_find_other(const struct node *n, const char *adapter);
void node_held_expire(struct node *n);

/* node_api*.c: the HTTP API */
void node_api_request(struct node *n, const struct node_request *request);
void node_api_model(struct node *n, const struct node_request *request,
    struct doc *doc, bool chat);
void node_api_service(struct node *n, const struct node_request *request,
    struct doc *doc, const char *rest);
void node_api_operator(struct node *n, const struct node_request *request,
    const char *path, const char *query);
void node_api_document_applied(struct node *n,
    const struct node_proposal *proposal, const char *team,
    const struct doc_result *result);

/* What an operator may do. */
struct node_api_rights {
	const char *operator_name;
	bool all_teams;
};
/*
 * Lists quarantined prompt parts, or lifts one.
 *
 * part: the path below /v1/quarantine, "" or "/PART".
 */
void node_api_quarantine(struct node *n, const struct node_request *request,
    const char *part, const struct node_api_rights *rights);
/* Answers the operator whose change of the quarantine is applied. */
void node_api_quarantine_lifted(struct node *n, uint64_t proposal);
/* Lists the rate limits that endpoints name, as this instance knows them. */
void node_api_limits(struct node *n, uint64_t request);

/* The decoded value of a query parameter, to be freed; NULL when absent. */
char *node_api_param(const char *query, const char *name);

/* node_report.c: the status report and the list of addresses */
void node_report_status(struct node *n, struct buf *out);
size_t node_report_addresses(
    struct node *n, const char *team, const char *adapter, struct buf *out);

/* node_metrics.c: Prometheus metrics */
void node_metrics_report(struct node *n, struct buf *out);

/* Answers with an error whose outcome is "not-run". */
void node_api_refuse(struct node *n, uint64_t request, int status,
    const char *code, const char *message, uint32_t retry_after_ms);

#endif
