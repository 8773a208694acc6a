#ifndef MP_NODE_NODE_INTERNAL_H
#define MP_NODE_NODE_INTERNAL_H

#include <jansson.h>

#include "claim/claim.h"
#include "doc/doc.h"
#include "member/member.h"
#include "mulberrypath/node.h"
#include "raft/raft.h"
#include "route/route.h"
#include "sched/sched.h"
#include "util/buf.h"
#include "util/events.h"
#include "util/map.h"
#include "util/rng.h"
#include "wire/command.pb-c.h"
#include "wire/peer.pb-c.h"

#define NODE_WIRE_VERSION	 2

#define NODE_TICK_US		 (10 * 1000ULL)
#define NODE_HEARTBEAT_US	 (100 * 1000ULL)
#define NODE_ELECTION_MIN_US	 (500 * 1000ULL)
#define NODE_ELECTION_MAX_US	 (1000 * 1000ULL)
#define NODE_PEER_TIMEOUT_US	 (1000 * 1000ULL) /* no new asks to it */
#define NODE_SUMMARY_US		 (500 * 1000ULL)
#define NODE_KEEPALIVE_US	 (500 * 1000ULL)
#define NODE_KEEPALIVE_FULL_US	 (2000 * 1000ULL) /* pins in full so long */
#define NODE_SCAN_ITEM_US	 50ULL /* between scans, for each ask or grant */
#define NODE_ENDPOINT_MOVE_US	 (3000 * 1000ULL) /* to move endpoints */
#define NODE_ASK_RESEND_US	 (5000 * 1000ULL) /* in full, beside touches */
#define NODE_GRANT_TIMEOUT_US	 (3000 * 1000ULL) /* not touched: given up */
#define NODE_ENDPOINT_TIMEOUT_US (5000 * 1000ULL) /* without announcement */
#define NODE_PULL_US		 (300 * 1000ULL)
#define NODE_HELLO_US		 (300 * 1000ULL)
#define NODE_HELLO_VALID_US	 (2000 * 1000ULL) /* an answer counts so long */
#define NODE_PROPOSE_RETRY_US	 (300 * 1000ULL)
#define NODE_CLAIM_CLOCK_US	 (60 * 1000 * 1000ULL)
#define NODE_CLAIM_SWEEP_US	 (1000 * 1000ULL) /* for claims without end */
#define NODE_CHANGE_TIMEOUT_US	 (5000 * 1000ULL) /* to accept a document */
#define NODE_VOTER_CHANGE_US	 (200 * 1000ULL) /* between voter changes */
#define NODE_DRAIN_MAX_US	 (60 * 1000 * 1000ULL)
#define NODE_COMPACT_BYTES	 (4 * 1024 * 1024)
#define NODE_COMPACT_ENTRIES	 4096
#define NODE_RECENT_ENTRIES	 1024
#define NODE_PUSH_ENTRIES_MAX	 256
#define NODE_OWNERS_MAX		 8
#define NODE_VOTERS_MAX		 32 /* instances with a data folder, as asked */
#define NODE_DIRECT_MEMBERS_MAX	 24 /* up to so many all follow voters */
#define NODE_RELAY_FANOUT	 4
#define NODE_RELAY_BYPASS_US	 (5000 * 1000ULL) /* not behind a late relay */
#define NODE_RELAY_GROUP_MAX	 64 /* members whose renewals go by one relay */
#define NODE_RELAY_BATCH_US	 (100 * 1000ULL) /* for more renewals */
#define NODE_RELAY_BATCH_SHORT_US                                              \
	(20 * 1000ULL) /* the same, in a new epoch                             \
			*/
#define NODE_RELAY_NEW_EPOCH_US (1000 * 1000ULL) /* an epoch is new so long */
#define NODE_RELAY_PENDING_MAX	32 /* batches whose answers are awaited */
#define NODE_RELAY_TIMEOUT_US	(MEMBER_LEASE_US / 4) /* answer by a relay */
#define NODE_RAFT_BATCH_BYTES	(256 * 1024)

/* Another instance, as met through messages. */
struct node_peer {
	uint32_t id;
	uint64_t received_us; /* 0: never */
	uint64_t incarnation;
	/* its latest summary as an owner */
	uint32_t seats, free, queued, engines, wait_ms;
	struct map *team_loads; /* thousandths of shares; NULL: not heard */
	uint64_t team_loads_incarnation; /* whose they are */
	uint32_t asks_since_summary; /* by this instance since that summary */
	bool leaving;
	char **services;
	size_t nservices;
	/* as a follower of this instance's log */
	uint64_t last_pull_us, pull_next, push_next, resent_us;
	/* as a founding voter */
	uint64_t hello_received_us, hello_voter;
	struct raft_config founding; /* its voters, when it has founded */
	bool hello_fresh;
	/* as an owner: its pins are sent in full until then */
	uint64_t keepalive_full_until_us;
};

#define NODE_ADAPTER_HOLDERS_MAX 4
#define NODE_HELD_CHANGES_MAX	 16
#define NODE_HELD_REGION_MAX                                                   \
	128 /* told by all members of a region at a time                       \
	     */
#define NODE_HELD_MAX (NODE_HELD_REGION_MAX + NODE_HELD_CHANGES_MAX)

/* Owners that told that they have an adapter loaded, and until when. */
struct node_adapter_holders {
	uint32_t hash; /* of the adapter's key */
	uint32_t owners[NODE_ADAPTER_HOLDERS_MAX];
	uint64_t until_us[NODE_ADAPTER_HOLDERS_MAX];
};

/* Changes of what is loaded here, for the next summary. */
struct node_held_changes {
	uint32_t hashes[NODE_HELD_CHANGES_MAX];
	size_t count;
};

/* An endpoint this instance owns. */
struct node_endpoint {
	char *id, *address, *region;
	uint64_t announced_us;
	uint64_t owned_since_epoch; /* owned without a break since this epoch */
	bool leaving;
	bool scheduled; /* known to the scheduler */
	json_t *announcement; /* latest announcement in full; NULL: none */
	uint64_t incarnation, sequence; /* of that one */
	uint64_t next_resync_us; /* its cache is not asked for before */
	uint32_t resync_failures; /* in a row */
};

/* The one call under way that asks an engine for all its prefixes. */
struct node_resync {
	uint64_t call; /* 0: none */
	char *endpoint;
	uint64_t incarnation;
	int status;
	struct buf body;
	json_t *pending_events; /* events that came meanwhile */
	uint64_t earliest_next_us; /* no other before */
};

/* An ask or grant of an entry, at the owner. */
struct node_grant {
	uint64_t id; /* handle in sched */
	uint32_t entry;
	uint64_t entry_incarnation;
	uint64_t ask;
	char *endpoint; /* NULL while queued */
	char *adapter;
	char *run; /* names it towards the endpoint */
	uint64_t basis_us; /* newest clock of the entry heard */
	uint64_t keepalive_us;
	uint64_t granted_us;
	uint64_t wait_us, stall_us;
	bool no_redirect; /* is not handed on */
	uint64_t orphaned_us; /* its entry is down since; 0: is not */
	uint64_t cancel_due_us; /* when its run is cancelled (again) */
};

/* An ask of this instance's route. */
struct node_ask {
	uint64_t ask;
	uint32_t owner; /* 0 while none is known */
	uint64_t sent_us;
	uint64_t keepalive_full_until_us; /* its owner changed shortly before */
};

/* An order under way to an endpoint. */
struct node_order {
	enum sched_decision_type type;
	char *endpoint, *adapter;
	uint64_t cancelled_grant; /* instead: cancelled_grant the run of this
				     grant */
};

enum node_proposal_kind {
	NODE_PROPOSE_DOC,
	NODE_PROPOSE_CLAIM_START,
	NODE_PROPOSE_CLAIM_END,
	NODE_PROPOSE_GATE /* a configuration or version; request: its caller */
};

struct node_proposal {
	uint64_t id;
	enum node_proposal_kind kind;
	uint64_t request; /* DOC: who waits; CLAIM_END: the start's proposal */
	char *bytes;
	size_t len;
	uint64_t expires_us, resend_us;
	bool sent;
};

struct node_recent_entry {
	uint64_t index, term;
	char *bytes;
	size_t len;
};

struct node_self_message {
	char *bytes;
	size_t len;
};

/* A renewal that this instance passes on. */
struct node_relayed_renewal {
	uint32_t id;
	uint64_t sent_us, got_ago_us; /* by the holder's clock */
	uint32_t permit_in_flight, permit_rate_milli;
	uint32_t waiting_loads, loads_in_flight;
	uint64_t waiting_stall_us;
};

/* Renewals that agree in what they have in common. */
struct node_relay_batch {
	uint64_t number;
	uint32_t leader; /* that it was sent to */
	uint64_t due_us;
	uint64_t applied, epoch, permit_term, incarnations;
	struct node_relayed_renewal *holders;
	size_t count;
};

struct node_relay {
	struct node_relay_batch open;
	struct node_relay_batch pending[NODE_RELAY_PENDING_MAX]; /* by number */
	uint64_t last_number;
};

struct node_counters {
	uint64_t requests, messages_in, messages_out, bytes_out, bytes_in;
	uint64_t malformed, asks, grants, orders, applied, snapshots;
	uint64_t resyncs;
	uint64_t control_bytes_out;
};

struct node {
	const struct settings *settings;
	uint32_t id;
	uint64_t incarnation;
	uint64_t now;
	uint64_t boot_us, boot_wall_ms; /* one moment by both clocks */
	struct rng rng;
	struct node_effects *fx; /* of the running step */

	/* replicated state */
	uint64_t applied, applied_term;
	struct member_view *view;
	struct doc_table *book;
	struct claim_table *claims;

	/* the log */
	struct raft *raft; /* NULL without a data folder */
	uint64_t voter; /* own raft id, 0 without a data folder */
	bool may_found;
	uint64_t leader_since; /* as the keeper was last reset */
	uint64_t claim_clock_us; /* told the log up to here, as the leader */
	uint64_t commit_seen;
	uint32_t unanswered_pulls; /* pulls since the last push, while behind */
	struct node_recent_entry *recent; /* ring of NODE_RECENT_ENTRIES */
	uint64_t recent_first; /* index; recent_first..applied are held */
	bool push_due;
	uint32_t follow_source; /* the voter followed last */
	uint64_t follow_direct_until_us; /* follow a voter, not a relay */

	/* leases */
	struct member_holder *holder;
	struct member_lessor *keeper;
	uint64_t leader_answer_us;
	uint64_t active_epoch_sent; /* as the leader: the epoch told to all */
	uint64_t
	    relay_unanswered_us; /* oldest renewal by the relay not answered */
	uint64_t renew_direct_until_us; /* renewals do not go by the relay */
	struct node_relay relay;

	/* proposals */
	struct map *proposals;
	uint64_t last_proposal;

	/* owner */
	struct sched *sched;
	struct map *endpoints;
	struct map *grants; /* by handle */
	struct map *grants_by_ask; /* by entry, incarnation, ask */
	uint64_t epoch_changed_us; /* when the members last changed */
	uint64_t last_grant;
	struct map *orders; /* by call */
	struct node_resync resync;
	struct map *usage_sent; /* by team */
	size_t usage_rotation; /* counts summaries that left teams out */
	uint64_t owner_epoch; /* epoch the tables were last checked against */
	bool sched_run_due;

	/* entry */
	struct route *route;
	struct map *asks;
	struct map *rates; /* request limiters by team */
	uint64_t last_call;

	struct map *peers;
	struct map *adapter_holders; /* by hash of the adapter's key */
	size_t holders_sweep_next, held_report_next;
	struct node_held_changes held_loaded, held_dropped;
	struct node_self_message *self_messages;
	size_t nself_messages, self_messages_cap;

	struct node_gate *gate; /* NULL: this instance has no gateway */
	char peer_address[32]; /* as node_peer_address() made it last */

	uint64_t next_asks_scan_us, next_grants_scan_us,
	    next_claims_scan_us; /* next scan */
	uint64_t next_summary_us, next_keepalive_us, next_pull_us,
	    next_hello_us, next_voter_change_us, propose_us;
	bool stopping;
	uint64_t stop_us;
	bool exited;
	bool start_logged;
	enum member_standing standing; /* as last logged */
	struct node_counters counters;
};

/* node.c */
bool node_may_act(const struct node *n);
uint64_t node_act_until(const struct node *n);
void node_stop(struct node *n);

/* node_log.c: numbered events, see docs/LOGS.md */
void node_log(struct node *n, enum node_log_event event, const char *format,
    ...) __attribute__((format(printf, 3, 4)));

/* node_replica.c: the log, applying it, snapshots */
void node_replica_advance(struct node *n);
void node_replica_apply(
    struct node *n, uint64_t index, uint64_t term, struct node_bytes command);
void node_replica_snapshot(struct node *n, struct buf *out);
int node_replica_restore(
    struct node *n, uint64_t index, struct node_bytes state);

/* node_apply.c */
void node_apply_command(
    struct node *n, uint64_t index, const Wire__Command *command);

/* node.c: since 1970, for reports only */
uint64_t node_wall_ms(const struct node *n);

/* node_propose.c */
void node_propose_as_leader(struct node *n, Wire__Command *command);
uint64_t node_propose(struct node *n, enum node_proposal_kind kind,
    uint64_t request, uint64_t expires_us, Wire__Command *command);
void node_propose_applied(struct node *n, uint64_t proposal);
struct node_proposal *node_propose_find(struct node *n, uint64_t proposal);
void node_propose_tick(struct node *n);
void node_propose_receive(
    struct node *n, uint32_t from, const Wire__Propose *message);
uint32_t node_leader(const struct node *n);
void node_propose_free(struct node_proposal *p);

/* node_claim.c: own claims that nothing will end */
void node_claim_tick(struct node *n);

/*
 * Instances known to have a data folder: members, and those of the settings.
 * Returns how many of at most max were written; this one is left out.
 */
size_t node_peer_list_voters(const struct node *n, uint32_t *out, size_t max);

/* node_peer.c */
struct node_peer *node_peer_get(struct node *n, uint32_t id);
const char *node_peer_address(struct node *n, uint32_t id);
void node_peer_send(struct node *n, uint32_t to, Wire__Envelope *envelope);
void node_peer_receive(struct node *n, uint32_t from, struct node_bytes bytes);
void node_peer_deliver_self(struct node *n);
bool node_peer_is_alive(const struct node *n, uint32_t id);

/* node_lease.c */
void node_lease_tick(struct node *n);
void node_lease_on_renew(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__LeaseRenew *renew);
void node_lease_on_reply(
    struct node *n, uint32_t from, const Wire__LeaseReply *reply);
void node_lease_update_leadership(struct node *n);
void node_lease_fill_reply(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__LeaseRenew *renew, Wire__LeaseReply *out);
void node_lease_send_reply(
    struct node *n, uint32_t to, Wire__LeaseReply *reply);

/* node_relay.c: renewals of a large cluster */
uint32_t node_relay_find(const struct node *n); /* own relay; 0: none */
/* Does this renewal go by the relay? Notes that it does. */
bool node_relay_choose(
    struct node *n, const Wire__LeaseRenew *renew, uint32_t *relay);
/* Is the relay's answer late? Then renewals go straight for a while. */
bool node_relay_timed_out(struct node *n);
void node_relay_tick(struct node *n);
void node_relay_on_renew(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__LeaseRenew *r);
void node_relay_on_renews(
    struct node *n, uint32_t from, const Wire__RenewBatch *batch);
void node_relay_on_leases(
    struct node *n, uint32_t from, const Wire__LeaseBatch *leases);
void node_relay_free(struct node *n);

/* node_follow.c */
void node_follow_tick(struct node *n);
void node_follow_on_pull(
    struct node *n, uint32_t from, const Wire__FollowPull *pull);
void node_follow_on_push(
    struct node *n, uint32_t from, const Wire__FollowPush *push);
void node_follow_push_all(struct node *n);
uint32_t node_follow_parent(const struct node *n);

/* node_founding.c: founding and voters */
void node_founding_tick(struct node *n);
void node_founding_on_hello(
    struct node *n, uint32_t from, const Wire__Hello *hello);
void node_founding_update_voters(struct node *n);

/* node_owner.c: endpoints and orders */
/* What an announcement is answered with. */
struct node_announce_result {
	uint32_t owner; /* of the endpoint; 0: not known here */
	bool send_all; /* the next one must be a full one */
};

int node_owner_announce(struct node *n, struct node_bytes json,
    struct node_announce_result *out, struct mp_error *err);
void node_owner_forward(
    struct node *n, uint32_t owner, struct node_bytes json, bool events);
void node_owner_on_epoch(struct node *n, bool skipped);
void node_owner_tick(struct node *n);
void node_owner_run_sched(struct node *n);
uint32_t node_owner_of(
    const struct node *n, const char *region, const char *endpoint);
void node_endpoint_free(struct node_endpoint *e);
/* node_cache.c: what engines hold in their prefix caches */
void node_cache_events(struct node *n, struct node_bytes json);
void node_cache_tick(struct node *n);
bool node_cache_on_call(struct node *n, const struct node_call_event *event);
void node_cache_free(struct node_resync *r);

/* node_order.c: orders to endpoints */
void node_order_send(struct node *n, const struct sched_decision *d);
void node_order_cancel(struct node *n, struct node_grant *g);
bool node_order_on_call(struct node *n, const struct node_call_event *event);
void node_order_free(struct node_order *o);

/* node_grant.c: asks and grants at the owner */
void node_grant_on_ask(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantAsk *ask);
void node_grant_on_done(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantDone *done);
void node_grant_on_decision(struct node *n, const struct sched_decision *d);
void node_grant_redirect_queued(struct node *n);
uint32_t node_grant_count_owners(const struct node *n);
bool node_grant_is_member(
    const struct node *n, uint32_t id, uint64_t incarnation);
struct node_grant *node_grant_find(
    const struct node *n, uint32_t entry, uint64_t incarnation, uint64_t ask);
struct node_grant *node_grant_add(
    struct node *n, uint32_t entry, uint64_t incarnation, uint64_t ask);
void node_grant_remove(struct node *n, struct node_grant *g);
void node_grant_send(struct node *n, const struct node_grant *g);
void node_grant_free(struct node_grant *g);

/* node_keepalive.c */
void node_keepalive_receive(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantTouch *touch);
void node_keepalive_send_all(struct node *n);

/* node_orphan.c: pins of entries whose process has ended */
void node_orphan_entry_down(
    struct node *n, uint32_t entry, uint64_t incarnation);
bool node_orphan_cancel_due(const struct node *n, const struct node_grant *g);
void node_orphan_cancelled(struct node *n, uint64_t grant, bool surely);
void node_orphan_report(
    struct node *n, const char *endpoint, const struct sched_report *report);

/* node_entry.c: what the route needs of others */
void node_entry_on_ask_again(struct node *n, uint64_t id);
extern const struct route_ops node_route_ops;
void node_entry_on_grant(struct node *n, const Wire__GrantReply *reply);
void node_entry_tick(struct node *n);

/* node_summary.c: what owners tell each other of themselves */
void node_summary_send(struct node *n);
void node_summary_receive(
    struct node *n, uint32_t from, const Wire__OwnerSummary *summary);

/* node_usage.c: what teams used, told among owners */
size_t node_usage_fill(
    struct node *n, Wire__TeamUsage **usage, Wire__TeamUsage ***list);
void node_usage_receive(
    struct node *n, struct node_peer *peer, const Wire__OwnerSummary *summary);
void node_usage_free(struct node *n);

/* node_rate.c: teams' rate limits over all entries */
struct node_rate;
void node_rate_free(struct node_rate *rate);
bool node_rate_allows(struct node *n, const struct doc *doc);
size_t node_rate_fill(const struct node *n, Wire__TeamRate *out, size_t max);
void node_rate_receive(
    struct node *n, uint32_t from, const Wire__TeamRate *told);

/* node_spread.c */
size_t node_spread_rank(struct node *n, const char *adapter,
    const char *service, uint32_t *out, size_t max);
void node_spread_count_ask(struct node_peer *peer, const char *adapter);

/* node_held.c: which owners have which adapters loaded */
void node_held_record(struct node *n, const char *adapter, bool loaded);
void node_held_fill(
    struct node *n, Wire__OwnerSummary *summary, uint32_t *held, size_t owners);
void node_held_receive(
    struct node *n, uint32_t from, const Wire__OwnerSummary *summary);
bool node_held_is_at(const struct node *n, const char *adapter, uint32_t owner);
uint32_t node_held_find_other(const struct node *n, const char *adapter);
void node_held_expire(struct node *n);

/* node_api*.c */
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
char *node_api_param(const char *query, const char *name);
void node_report_status(struct node *n, struct buf *out);
size_t node_report_addresses(
    struct node *n, const char *team, const char *adapter, struct buf *out);

/* node_metrics.c */
void node_metrics_report(struct node *n, struct buf *out);

/* Answer with an error that did not run. */
void node_api_refuse(struct node *n, uint64_t request, int status,
    const char *code, const char *message, uint32_t retry_after_ms);

#endif
