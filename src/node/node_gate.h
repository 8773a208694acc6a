#ifndef MP_NODE_GATE_H
#define MP_NODE_GATE_H

#include "forward/forward.h"
#include "gate/gate_account.h"
#include "gate/gate_text.h"
#include "node/node_internal.h"
#include "node/snapshot.pb-c.h"
#include "place/place.h"
#include "place/place_popularity.h"
#include "place/place_window.h"
#include "quarantine/quarantine.h"
#include "quarantine/quarantine_evidence.h"
#include "quarantine/quarantine_observer.h"

/*
 * The gateway's part of the reducer.
 *
 * An entry is an instance that takes callers' requests. For each one it sends
 * an ask to a placer, an instance that assigns requests to endpoints; the
 * placer answers with a grant or a refusal, or that the request is queued. An
 * order makes an engine load or unload weights or an adapter.
 *
 * In a small cluster the leader of the log is the placer. It alone takes
 * announcements of endpoints, places requests with an account of those of all
 * entries, and sends orders to endpoints. Every other instance has a copy of
 * its table of endpoints. An entry that receives nothing from a placer places
 * requests by that copy, without orders and without retries. It needs no lease
 * for that, because an endpoint refuses a request that is not meant for it.
 *
 * In a large cluster the leader still takes announcements and sends its table,
 * but entries that own shards of the engines place requests and send orders
 * there (node_gate_owner.c).
 */

/*
 * An ask times out when neither a decision nor a notice that it is queued has
 * arrived this long after place_window_late_after_us().
 */
#define GATE_ASK_TIMEOUT_MARGIN_US (90 * 1000ULL)
/* Time after which an ask is refused if its placer is still overloaded. */
#define GATE_BUSY_TIMEOUT_US (250 * 1000ULL)
/* The overload of a placer is over once no ask found its window full for. */
#define GATE_BUSY_CLEAR_US (1000 * 1000ULL)
/* A placer from which nothing was received for this time counts as lost. */
#define GATE_PLACER_TIMEOUT_US (900 * 1000ULL)
/* Timeout of a call that was relayed to the leader. */
#define GATE_RELAY_TIMEOUT_US (900 * 1000ULL)
/* Time added for each byte of its body: 8 Mbit/s. */
#define GATE_RELAY_BYTE_US 1
/* Bodies relayed and not answered yet; a larger one is relayed alone. */
#define GATE_RELAY_BYTES_MAX (4 * 1024 * 1024)
/* Timeout of a proposed change; its outcome is unknown then. */
#define GATE_PROPOSAL_TIMEOUT_US (3000 * 1000ULL)
/* Interval of table messages without changes, and of requests for the table. */
#define GATE_TABLE_HEARTBEAT_US (500 * 1000ULL)
#define GATE_TABLE_RETRY_US	(200 * 1000ULL)
/*
 * Timeout of an order or report call, after which it is retried: a multiple of
 * the recent answer time, between two limits.
 */
#define GATE_ORDER_TIMEOUT_FACTOR 2
#define GATE_ORDER_TIMEOUT_MIN_US (150 * 1000ULL)
#define GATE_ORDER_TIMEOUT_MAX_US (500 * 1000ULL)
/*
 * An answer to an order or report call that is not complete by then, or is
 * longer, counts as none.
 */
#define GATE_ANSWER_TIMEOUT_US (2000 * 1000ULL)
#define GATE_ANSWER_MAX_BYTES  (256u * 1024u)
/* Sent to callers that are refused until the gateway is ready or less busy. */
#define GATE_RETRY_AFTER_MS 300u
/* An owner notifies each entry with queued requests at this interval. */
#define GATE_WAIT_NOTICE_INTERVAL_US (300 * 1000ULL)
/* Times that a request may be redirected when its owner has no room for it. */
#define GATE_REDIRECT_MAX 1u
/* Time without asks to an owner after one has timed out there. */
#define GATE_OWNER_BACKOFF_US (500 * 1000ULL)
/* Interval of the log event with the queues of a placer. */
#define GATE_STATE_LOG_INTERVAL_US (1000 * 1000ULL)

/* The sender of a control call, to which the answer goes. */
struct gate_caller {
	uint32_t instance; /* that received the call */
	uint64_t incarnation; /* of its process */
	uint64_t call; /* request here, or number of the relayed call there */
	bool is_announcement;
};

/*
 * An instance that was not confirmed to have the newest configuration for this
 * time can't know that a route does not exist. Shorter than the time in which a
 * change must be in force, and some intervals of renewals.
 */
#define GATE_CONFIG_AGE_MAX_US (1500 * 1000ULL)

/*
 * Bytes of a configuration's elements that one step decodes: some 130 routes,
 * 0.5 ms of CPU time, 6 ms at 0.09 of a core.
 */
#define GATE_DECODE_SLICE_BYTES 32768u

/* How far this instance may rely on its configuration. */
enum gate_config_trust {
	GATE_CONFIG_UNUSABLE, /* none, never confirmed, or out of date */
	GATE_CONFIG_UNCONFIRMED, /* may lack newer routes */
	GATE_CONFIG_CONFIRMED,
};

/* What became of a change of the configuration in the log. */
enum gate_verdict {
	GATE_TAKEN, /* it is in force, or a newer version is */
	GATE_CONFLICT, /* its version is in force with other content */
	GATE_UNREADABLE, /* this instance can't read it */
	GATE_BASE_MISMATCH, /* it is a difference to another configuration */
};

/* Configurations that the log brought. */
struct gate_config_counts {
	uint64_t deltas, texts; /* as differences, whole */
	uint64_t bytes; /* of their new text */
	uint64_t mismatches; /* differences to another configuration */
	uint64_t repeats; /* proposed again as a whole text */
	uint64_t slices; /* in which large ones were decoded */
};

/* A request of this entry that waits for a place or has one. */
struct gate_ask {
	uint64_t ask;
	uint64_t key; /* hash of the model and adapter; 0: a plain call */
	uint32_t home_count; /* preferred owners, from which one is selected */
	uint32_t refused_by; /* the owner that had no room; 0: none */
	uint32_t redirects;
	uint32_t placer; /* instance; 0: this entry places it itself */
	uint32_t busy_placer; /* the placer that is overloaded; 0: none */
	uint64_t created_us;
	uint64_t sent_us;
	bool is_outstanding; /* counted in the window: no answer yet */
	bool is_queued; /* as the placer has answered */
	bool granted;
};

/* What is known of an instance, as a placer or as an entry. */
struct gate_owner {
	struct place_window window; /* of asks there */
	uint64_t backoff_until_us; /* no asks before, after a timeout */
	uint32_t load_ms; /* as received at load_received_us */
	uint64_t load_received_us; /* 0: never */
	uint64_t
	    notice_sent_us; /* to this entry, that it has queued requests */
};

/* Ownership of a shard. */
struct gate_shard {
	uint64_t owned_since_epoch; /* 0: not owned by this instance */
	bool epoch_active; /* whether that epoch is active */
	/* it was taken from a member that was removed, as its lease had ended
	 */
	bool is_from_removed;
	uint64_t order_from_us; /* no orders before */
};

/* A control call that was relayed to the leader. */
struct gate_relay {
	uint64_t call, request, expires_us;
	size_t bytes; /* of the body */
};

/* An order or report call to an endpoint. */
struct gate_order {
	char *endpoint;
	char *artifact; /* name of the adapter or model; NULL for a report */
	bool is_report, is_unload;
	uint64_t place_call; /* its number, from the decision */
	int status;
	struct buf answer;
	uint64_t sent_us, fence;
};

/* The lowest version of an adapter that requests may run on. */
struct gate_version {
	char *model, *adapter;
	uint32_t version;
};

/* Requests refused since the start because of their key. */
struct gate_account_stats {
	uint64_t missing_keys, unknown_keys;
};

/* Parts of the accounts, by their names, that have an owner each. */
#define GATE_QUOTA_PARTITIONS 64u

/* The owner of a partition, see node_gate_quota_owner.c. */
struct gate_quota_owner {
	uint32_t owner; /* instance; 0: none */
	uint32_t previous; /* the owner before; 0: not known */
	uint64_t since_epoch, since_us;
};

struct gate_quota_owners {
	bool is_sharded;
	struct gate_quota_owner partitions[GATE_QUOTA_PARTITIONS];
};

struct node_gate {
	const struct gw_codec *codec;
	struct gw_config *config; /* NULL: none is known */
	struct gw_text *config_text; /* as it was received */
	/*
	 * A newer text that can't be read here: it is kept in snapshots, and
	 * later ones may build on it. NULL: there is none, or it is not known.
	 */
	struct gw_text *unread_text;
	uint64_t unread_version;
	struct gate_config_counts config_counts;
	struct gate_decode *decode; /* NULL: none is being decoded */
	struct gate_changes *changes; /* of the leader */
	uint64_t config_index;
	/* no difference came in the log after the configuration's whole text;
	 * false if not known */
	bool config_is_whole;
	bool is_form_whole; /* logged: changes are proposed as whole texts */
	bool config_unreadable; /* a newer one could not be read */
	uint8_t key_secret[GW_KEY_SECRET_BYTES]; /* of the hash of keys */
	struct gate_account_stats account_stats;
	/* the configuration for which waiting requests were last checked */
	uint64_t checked_version;
	bool checked_accounts; /* it had accounts */
	enum gate_config_trust logged_trust;
	struct map *versions; /* struct gate_version by key */
	struct place *place;
	struct forward *forward;
	/* the placer */
	bool placing; /* as the leader */
	uint64_t placing_term;
	uint64_t placing_since_us;
	uint64_t order_after_us; /* no orders as the leader before */
	uint64_t answer_time_us; /* of order and report calls, smoothed */
	uint64_t state_log_due_us;
	uint32_t state_logged_asks; /* total of asks at the last such event */
	struct map *entries; /* uint32_t instance by its incarnation */
	struct map *orders; /* struct gate_order by call */
	struct map *callers; /* struct gate_caller by proposal */
	uint64_t fence; /* of the leader: log index applied when it began */
	/* shards; a single one if the leader places all requests */
	struct member_shards shards;
	struct gate_shard owned[MEMBER_SHARDS_MAX];
	uint64_t unsharded_epoch; /* a single shard since; 0: always */
	uint64_t unsharded_order_from_us; /* no orders of its leader before */
	uint32_t shard_engines[MEMBER_SHARDS_MAX]; /* number of engines */
	uint64_t shard_engines_due_us; /* next count */
	uint64_t limit_publish_due_us; /* next check for unpublished limits */
	uint64_t fair_report_due_us; /* next report of accounts' charges */
	uint64_t fair_log_due_us;
	uint64_t wait_notice_due_us; /* next notices of queued requests */
	uint32_t owned_logged, shards_logged;
	/* entries */
	struct map *asks; /* struct gate_ask by number */
	struct map *owners; /* struct gate_owner by instance */
	struct place_popularity *popularity; /* of models and adapters */
	uint64_t window_full_asks; /* not sent because the window was full */
	uint64_t window_full_us; /* last time that it was full */
	bool logged_busy; /* last logged: the placer is overloaded */
	bool logged_no_placer; /* last logged: no placer is reachable */
	struct map *relays; /* struct gate_relay by number */
	uint64_t last_relay;
	size_t relayed_bytes; /* of the bodies of these calls */
	/* the table of endpoints */
	uint64_t table_term, table_number; /* last sent or applied */
	uint32_t table_source; /* instance that last sent it */
	bool table_complete; /* no message was missed */
	bool table_partial; /* the last whole one was partial */
	bool has_table; /* one has been received since the start */
	uint64_t table_timer_us; /* placer: last sent; else: next request */
	bool has_been_leased;
	bool closing_announced, closed_announced; /* while it stops */
	/* prompt parts under which processes of endpoints end */
	struct quarantine *quarantine;
	struct quarantine_evidence *evidence; /* used by the leader */
	struct quarantine_observer *observer; /* of this entry's requests */
	uint64_t observed_ends;
	uint64_t expiry_due_us; /* next check for expired quarantines */
	struct gate_quotas *quotas; /* of client accounts */
	struct gate_hold *hold; /* requests that wait until it is ready */
	struct gate_quota_owners quota_owners;
};

/* ---- node_gate.c ---- */
void node_gate_create(struct node *n, const struct node_boot *boot);
void node_gate_destroy(struct node *n);
void node_gate_handle_request(
    struct node *n, const struct node_request *request);
/*
 * Starts a request that was held, or refuses it as not run.
 *
 * waited_us: time since it was received.
 */
void gate_start_held(
    struct node *n, const struct node_request *in, uint64_t waited_us);
void gate_refuse_held(struct node *n, const struct node_request *in);
/* The caller has disconnected; false: not a request of the gateway. */
bool node_gate_caller_gone(struct node *n, uint64_t request);
/* Progress of an outgoing call; false: not a call of the gateway. */
bool node_gate_handle_call(struct node *n, const struct node_call_event *event);
void node_gate_tick(struct node *n);
/* Makes the placing decisions that are due, at the end of a step. */
void node_gate_run(struct node *n);
/* When the next tick is needed, at the latest: latest. */
uint64_t node_gate_next_us(const struct node *n, uint64_t latest);
bool node_gate_can_exit(const struct node *n);
/* The address of this instance that others send requests to. */
char *node_gate_advertised_address(const struct node *n);
/* An entry's process is gone, with all its requests. */
void node_gate_entry_down(struct node *n, uint64_t incarnation);
/* Handles a message of another instance; false: not one of the gateway. */
bool node_gate_receive(
    struct node *n, uint32_t from, const Wire__Envelope *envelope);
/* The leader, if a message from it was received recently; 0: none. */
uint32_t node_gate_placer(const struct node *n);

/* ---- node_gate_account.c: client accounts of requests ---- */
/*
 * Sets the account of a request by its key, and drops the key. Returns NULL, or
 * why the request may not use the route: a string constant.
 */
const char *gate_account_identify(
    struct node *n, const struct gw_route *route, struct gw_request *request);
/* An operation of forward_ops, see there. */
enum forward_verdict gate_account_check(
    void *ctx, struct forward_check *check, struct node_effects *fx);
/* Refuses waiting requests that a new configuration does not allow. */
void gate_account_tick(struct node *n);

/* ---- node_gate_metrics.c ---- */
void node_gate_write_metrics(const struct node *n, struct buf *out);

/* ---- node_gate_config.c: replicated state ---- */
enum gate_verdict node_gate_apply_config(
    struct node *n, uint64_t index, const Wire__GatewayConfig *put);
void node_gate_apply_version(struct node *n, const Wire__AdapterVersion *put);
void node_gate_apply_leaving(
    struct node *n, const Wire__EndpointLeaving *leaving);
/* The lowest version that requests may run on; 0: none was set. */
uint32_t node_gate_adapter_version(
    const struct node *n, const char *model, const char *adapter);
/* Raises that version. */
void gate_config_set_version(
    struct node *n, const char *model, const char *adapter, uint32_t version);
void gate_config_free(struct node_gate *g);

/* ---- node_gate_snapshot.c: the replicated state in snapshots ---- */
/* Adds the replicated state; names stay owned by the gateway. */
void node_gate_save(const struct node *n, Node__Snapshot *out);
void node_gate_save_free(Node__Snapshot *out);
void node_gate_restore(struct node *n, const Node__Snapshot *snapshot);

/* ---- node_gate_config.c: texts of the log ---- */

/*
 * Puts a whole text of the log or of a snapshot in force, if it is valid.
 *
 * false: this instance can't read it, and keeps it as the unread text.
 */
bool gate_config_take_whole(
    struct node *n, uint64_t index, uint64_t version, struct node_bytes bytes);

/* Whether a change of the log is a difference to an earlier configuration. */
bool gate_config_is_delta(const Wire__GatewayConfig *put);
/* Refers to the message, which must outlive the result. */
struct gw_text_delta *gate_config_read_delta(const Wire__GatewayConfig *put);
/* The text that a difference refers to; false: it is not known here. */
bool gate_config_find_base(const struct node_gate *g,
    const Wire__GatewayConfig *put, const struct gw_text **base);

/* ---- node_gate_change.c: changes of the configuration at the leader ---- */
struct gate_changes *gate_changes_create(void);
void gate_changes_destroy(struct gate_changes *changes);
/* Checks an operator's configuration, and answers or queues it. */
void gate_change_put(
    struct node *n, struct node_bytes text, const struct gate_caller *caller);
/*
 * Returns the text that a difference of the log describes if it is that of the
 * change in flight, for the caller to destroy; NULL: it is not known.
 */
struct gw_text *gate_change_share_text(
    const struct node *n, const Wire__GatewayConfig *put);
/* A configuration of the log is in force: answers what that decides. */
void gate_change_on_config(struct node *n);
/* A proposal is applied, or has timed out; false: not one of a change. */
bool gate_change_on_applied(
    struct node *n, uint64_t proposal, enum gate_verdict verdict);
bool gate_change_on_expired(struct node *n, uint64_t proposal);
void gate_change_tick(struct node *n);
/* How many changes wait to be proposed. */
size_t gate_change_waiting_count(const struct gate_changes *changes);

/* ---- node_gate_control.c: control calls ---- */
/* Answers a call with a status and, unless it is 200, a reason. */
void gate_control_answer(struct node *n, const struct gate_caller *caller,
    int status, const char *reason);
/* Answers a call that changes the replicated state. */
void gate_control_answer_change(struct node *n,
    const struct gate_caller *caller, enum gate_verdict verdict);
/* Handles a control call, or relays it to the leader. */
void gate_control_handle(struct node *n, const struct node_request *request,
    const struct gate_caller *caller);
void gate_relay_on_call(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__CallRelay *relay);
void gate_relay_on_answer(struct node *n, const Wire__CallAnswer *answer);
/* Answers relayed calls that have timed out. */
void gate_relay_tick(struct node *n);
/*
 * Proposes that the process of an endpoint is leaving.
 *
 * born_ms: start of the process; 0: not known.
 * started_by_ms: not 0: each process that had started by then is leaving.
 * caller: receives the answer once it is committed; NULL: nobody does.
 */
void gate_control_propose_leaving(struct node *n, const char *id,
    uint64_t born_ms, uint64_t started_by_ms, const struct gate_caller *caller);
/* A change that was proposed for a call is applied, or has timed out. */
void node_gate_proposal_applied(
    struct node *n, uint64_t proposal, enum gate_verdict verdict);
void node_gate_proposal_expired(struct node *n, uint64_t proposal);
void gate_registry_lookup(
    struct node *n, uint64_t request, const struct gw_call *call);
enum gate_config_trust gate_config_get_trust(const struct node *n);
/* Logs it when it has changed. */
void gate_config_log_trust(struct node *n);
/* Whether a text is the content of the configuration in force. */
bool gate_config_is_text(const struct node_gate *g, struct node_bytes text);
/* Authority over the log now: no other leader can have been elected. */
bool gate_has_authority(const struct node *n);

/* ---- node_gate_ask.c: asks of this entry ---- */
extern const struct forward_ops gate_forward_ops;
/* An outstanding ask is answered or given up: takes it out of the window. */
void gate_ask_clear_outstanding(struct node *n, struct gate_ask *pending);
/* Sends the outcome of a request to its placer. */
void gate_ask_send_done(struct node *n, const struct gate_ask *pending,
    const struct place_result *result);
/*
 * Tells a placer that an earlier process of this instance has ended, so that
 * it gives up all asks of that process.
 */
void gate_ask_return_all(struct node *n, uint32_t placer, uint64_t incarnation);
void gate_ask_on_reply(
    struct node *n, uint32_t from, const Wire__PlaceReply *reply);
/* Handles a decision on a request that this entry places itself. */
void gate_ask_on_decision(struct node *n, const struct place_decision *d);

/* ---- node_gate_notice.c: what endpoints say about further requests ---- */
/* An operation of forward_ops, see there. */
void gate_notice_on_response(void *ctx, uint64_t ask,
    const struct place_notice *notice, struct node_effects *fx);
/*
 * Whether the process of an endpoint takes a request of this entry now. If not,
 * the placer of the ask is told why.
 *
 * retry_after_ms: set if not.
 */
bool gate_notice_allows(struct node *n, uint64_t ask, const char *endpoint,
    uint64_t born_ms, uint32_t *retry_after_ms);
/* A notice that another entry received. */
void gate_notice_on_message(
    struct node *n, uint64_t incarnation, const Wire__EndpointNotice *message);

/* ---- node_gate_fair.c: shares of accounts over all owners ---- */
/* Reports charges to the other owners and logs the gap in service. */
void gate_fair_tick(struct node *n);
void gate_fair_on_charges(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__AccountCharges *message);
void gate_fair_write_metrics(const struct node *n, struct buf *out);

/* ---- node_gate_limit.c: rate limits that endpoints name ---- */
/* Whether this instance owns the shard and no other one can own it now. */
bool gate_owns_alone(const struct node *n, uint32_t shard);
void gate_limit_init(struct node *n);
/* Logs changes of limits, and tells the leader those that the table lacks. */
void gate_limit_tick(struct node *n);
void gate_limit_on_invalid(
    struct node *n, const char *endpoint, uint64_t born_ms);
/* Fills a message from a limit; returns it. */
Wire__RateLimit *gate_limit_to_wire(
    Wire__RateLimit *out, const struct place_limit *limit);
/* wire: NULL for no limit. */
struct place_limit gate_limit_from_wire(const Wire__RateLimit *wire);

/* ---- node_gate_quarantine.c: quarantined prompt parts ---- */
/* The time, in this instance's clock, of what was age_ms ago just now. */
uint64_t gate_time_of_age(const struct node *n, uint32_t age_ms);
/* A part's hash as text: 16 hexadecimal digits. */
#define GATE_PART_TEXT_SIZE 17
void gate_part_text(char out[GATE_PART_TEXT_SIZE], uint64_t part);
/* Operations of forward_ops, see there. */
bool gate_quarantine_may_send(
    void *ctx, const struct gw_request *request, bool was_sent);
void gate_quarantine_observe(void *ctx,
    const struct forward_observation *observed, struct node_effects *fx);
/* Reports observed ends to the leader. */
void gate_quarantine_tick(struct node *n);
void gate_quarantine_on_inquiry(
    struct node *n, uint32_t from, const Wire__PartInquiry *inquiry);
void node_gate_apply_quarantine(
    struct node *n, const Wire__PartQuarantine *change);
void gate_quarantine_save(const struct node *n, Node__Snapshot *out);
void gate_quarantine_save_free(Node__Snapshot *out);
void gate_quarantine_restore(struct node *n, const Node__Snapshot *snapshot);

/* ---- node_gate_evidence.c: the leader's verdict on prompt parts ---- */
void gate_evidence_tick(struct node *n);
void gate_evidence_on_ended(struct node *n, const Wire__EndpointEnded *ended);
void gate_evidence_on_served(struct node *n, const Wire__PartsServed *served);

/* ---- node_gate_ask_retry.c: timeouts and retries of asks ---- */
void gate_ask_tick(struct node *n);

/* ---- node_gate_owner.c: shards and their owners ---- */
void gate_owner_init(struct node *n);
/*
 * The members have changed.
 *
 * skipped: this instance has not applied every change in between.
 */
void node_gate_on_epoch(struct node *n, bool skipped);
void gate_owner_tick(struct node *n);
/* Whether owners of shards place requests, not the leader. */
bool gate_is_sharded(const struct node *n);
/* Whether this instance, or a given one, owns a shard. */
bool gate_owns_shard(const struct node *n);
bool gate_is_owner(const struct node *n, uint32_t instance);
/* The shard of an endpoint, or of a plain service's calls (endpoint NULL). */
uint32_t gate_shard_of(
    const struct node *n, const char *service, const char *endpoint);
/* The fencing token of this instance's orders to an endpoint. */
uint64_t gate_fence_of(
    const struct node *n, const char *service, const char *endpoint);
/* Whether this instance may send orders now. */
bool gate_may_order(const struct node *n);
/* The time after which no order may be sent any more. */
uint64_t gate_order_until_us(const struct node *n);

/* ---- node_gate_owner_select.c: selection of an owner ---- */
struct gate_owner *gate_owner_get(struct node *n, uint32_t instance);
/* Records a request for a key; the number of homes of that key. */
uint32_t gate_owner_count_homes(struct node *n, uint64_t key);
/* The owner to ask; 0: none can accept the request now. */
uint32_t gate_owner_select(struct node *n, const struct gate_ask *pending);
/* The number of outstanding asks at all owners. */
uint32_t gate_owner_outstanding_asks(const struct node *n);

/* ---- node_gate_place.c: decisions and orders of the placer ---- */
void gate_place_tick(struct node *n);
void gate_place_run(struct node *n);
void gate_place_on_ask(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__PlaceAsk *ask);
void gate_place_on_done(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__PlaceDone *done);
/* Progress of an order or report call; false: not one of these. */
bool gate_order_on_call(struct node *n, const struct node_call_event *event);

/* ---- node_gate_quota_owner.c: owners of quotas ---- */
/* The members have changed. skipped: changes in between are not known. */
void gate_quota_owner_on_epoch(struct node *n, bool skipped);
/* The instance that grants an account's quota; 0: none is known. */
uint32_t gate_quota_find_owner(const struct node *n, const char *account);
/* The partition of an account, less than GATE_QUOTA_PARTITIONS. */
uint32_t gate_quota_get_partition(const char *account);
/*
 * By what this instance may grant the quotas of a partition now; 0: it may not.
 * Another number than before: other instances may have granted in between.
 */
uint64_t gate_quota_get_authority(const struct node *n, uint32_t partition);

/* ---- node_gate_quota.c: quotas of client accounts ---- */
void gate_quota_init(struct node *n);
void gate_quota_destroy(struct node_gate *g);
/* Operations of forward_ops, see there. */
bool gate_quota_charge(void *ctx, uint64_t ask,
    const struct gw_request *request, uint64_t *tokens);
void gate_quota_uncharge(void *ctx, uint64_t ask,
    const struct gw_request *request, uint64_t tokens, bool is_waiting);
/* Follows the configuration and logs changes. */
void gate_quota_tick(struct node *n);
/* Sends asks and ends waits of requests, at the end of a step. */
void gate_quota_run(struct node *n);
uint64_t gate_quota_next_us(const struct node *n);
void gate_quota_on_ask(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__QuotaAsk *ask);
void gate_quota_on_grant(struct node *n, const Wire__QuotaGrant *grant);
void gate_quota_write_metrics(const struct node *n, struct buf *out);

/* ---- node_gate_table.c: the table of endpoints ---- */
/* Whether this placer knows all endpoints that announce themselves. */
bool gate_table_is_complete(const struct node *n);
void gate_table_tick(struct node *n);
void gate_table_on_ask(struct node *n, uint32_t from);
void gate_table_on_table(
    struct node *n, uint32_t from, const Wire__EndpointTable *table);

#endif
