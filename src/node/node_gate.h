#ifndef MP_NODE_GATE_H
#define MP_NODE_GATE_H

#include "forward/forward.h"
#include "node/node_internal.h"
#include "node/snapshot.pb-c.h"
#include "place/place.h"
#include "place/place_popularity.h"
#include "place/place_window.h"

/*
 * The gateway's part of the reducer.
 *
 * The leader of the log is the placer of a small cluster: it alone takes
 * announcements, places requests with an account of all entries, and gives
 * orders to endpoints. Every other instance has its table of endpoints; an
 * entry that hears no placer places by that table itself, without orders and
 * without repeats. A request needs no lease for that: an endpoint refuses what
 * is not meant for it.
 *
 * In a large cluster the leader still takes announcements and tells the table,
 * but entries that own shards of the engines place and order there
 * (node_gate_owner.c).
 */

/* A placer that did not answer an ask, nor say that it waits, is late by. */
#define GATE_ASK_TIMEOUT_MARGIN_US (90 * 1000ULL)
/* An ask for which the placer has no time is refused after. */
#define GATE_BUSY_TIMEOUT_US (250 * 1000ULL)
/* The placer is busy no more once nothing found the window full for. */
#define GATE_BUSY_CLEAR_US (1000 * 1000ULL)
/* A placer that was not heard at all is taken for lost. */
#define GATE_PLACER_TIMEOUT_US (900 * 1000ULL)
/* A call that was passed on to the leader is answered within. */
#define GATE_RELAY_TIMEOUT_US (900 * 1000ULL)
/* A change that is not decided by then gets no clear answer. */
#define GATE_PROPOSAL_TIMEOUT_US (3000 * 1000ULL)
/* That the table has not changed is told so often, and asked again after. */
#define GATE_TABLE_HEARTBEAT_US (500 * 1000ULL)
#define GATE_TABLE_RETRY_US	(200 * 1000ULL)
/* An order or report is answered within, or given again: so many times what
 * answers take lately, between these. */
#define GATE_ORDER_TIMEOUT_FACTOR 2
#define GATE_ORDER_TIMEOUT_MIN_US (150 * 1000ULL)
#define GATE_ORDER_TIMEOUT_MAX_US (500 * 1000ULL)
/* An answer to an order or report that is not whole by then, or is longer, is
 * none. */
#define GATE_ANSWER_TIMEOUT_US (2000 * 1000ULL)
#define GATE_ANSWER_MAX_BYTES  (256u * 1024u)
#define GATE_RETRY_AFTER_MS    300u
/* An entry whose requests wait at an owner hears of it so often, at least. */
#define GATE_WAIT_NOTICE_INTERVAL_US (300 * 1000ULL)
/* A request that its owner has no room for goes on to so many others. */
#define GATE_REDIRECT_MAX 1u
/* An owner that did not answer is not asked for so long. */
#define GATE_OWNER_BACKOFF_US (500 * 1000ULL)
/* What waits at a placer is logged so often. */
#define GATE_STATE_LOG_INTERVAL_US (1000 * 1000ULL)

/* Who waits for the answer of a call: of this instance or another one. */
struct gate_caller {
	uint32_t instance;
	uint64_t call; /* request here, or number of the relayed call there */
	bool is_announcement; /* an announcement is to be acknowledged */
};

/* A request of this entry that was asked for. */
struct gate_ask {
	uint64_t ask;
	uint64_t key; /* hash of the model and adapter; 0: a plain call */
	uint32_t home_count; /* owners among which it has a choice */
	uint32_t refused_by; /* the owner that had no room; 0: none */
	uint32_t redirects; /* times it went on to another owner */
	uint32_t placer; /* instance; 0: this entry places it itself */
	uint32_t busy_placer; /* the placer that had no time for it; 0: none */
	uint64_t created_us; /* asked for first */
	uint64_t sent_us;
	bool is_outstanding; /* counted in the window: no answer yet */
	bool is_queued; /* the placer said so */
	bool granted;
};

/* What an entry knows of an instance that places. */
struct gate_owner {
	struct place_window window; /* of asks there */
	uint64_t backoff_until_us; /* it did not answer: not asked before */
	uint32_t load_ms; /* as it told at load_us; 0: never */
	uint64_t load_received_us;
	uint64_t
	    notice_sent_us; /* as its owner: told last that requests wait */
};

/* A shard as its owner has it. */
struct gate_shard {
	uint64_t owned_since_epoch; /* this instance's since; 0: it is not */
	bool epoch_active; /* that epoch is */
	uint64_t order_from_us;
};

/* A call passed on to the leader. */
struct gate_relay {
	uint64_t call, request, expires_us;
};

/* An order or report call to an endpoint. */
struct gate_order {
	char *endpoint, *artifact;
	bool is_report, is_unload;
	int status;
	struct buf answer;
	uint64_t sent_us, fence;
};

struct gate_version {
	char *model, *adapter;
	uint32_t version;
};

struct node_gate {
	const struct gw_codec *codec;
	struct gw_config *config; /* NULL: none is known */
	struct buf config_text; /* of the configuration, as it was sent */
	uint64_t config_index;
	struct map *versions; /* struct gate_version by key */
	struct place *place;
	struct forward *forward;
	/* the placer */
	bool placing;
	uint64_t placing_term; /* that this instance places in */
	uint64_t order_after_us;
	uint64_t answer_time_us; /* that orders take to be answered, smoothed */
	uint64_t state_log_due_us; /* what waits is logged next then */
	uint32_t state_logged_asks; /* asked for until the last such line */
	struct map *entries; /* uint32_t instance by its incarnation */
	struct map *orders; /* struct gate_order by call */
	struct map *callers; /* struct gate_caller by proposal */
	uint64_t fence; /* of the leader: what was applied when it began */
	/* shards; one, if the leader places all */
	struct member_shards shards;
	struct gate_shard owned[MEMBER_SHARDS_MAX];
	uint64_t unsharded_epoch; /* since which there is one; 0: always */
	uint64_t unsharded_order_from_us; /* its leader gives no order before */
	uint32_t shard_engines[MEMBER_SHARDS_MAX]; /* engines of each */
	uint64_t shard_engines_due_us; /* counted again then */
	uint64_t
	    wait_notice_due_us; /* entries with requests waiting hear then */
	uint32_t owned_logged, shards_logged;
	/* entries */
	struct map *asks; /* struct gate_ask by number */
	struct map *owners; /* struct gate_owner by instance */
	struct place_popularity *heat; /* of models and adapters */
	uint64_t window_full_asks; /* as the window was full */
	uint64_t window_full_us; /* when it was found full last */
	bool logged_busy; /* the placer is, as last logged */
	bool logged_no_placer; /* no placer is heard, as last logged */
	struct map *relays; /* struct gate_relay by number */
	uint64_t last_relay;
	/* the table of endpoints */
	uint64_t table_term, table_number; /* as last told or taken */
	uint32_t table_source; /* who told it last */
	bool table_complete;
	uint64_t table_timer_us; /* next telling, or asking */
	bool has_been_leased;
	bool closing_announced, closed_announced;
};

/* ---- node_gate.c ---- */
void node_gate_create(struct node *n, const struct gw_codec *codec);
void node_gate_destroy(struct node *n);
void node_gate_handle_request(
    struct node *n, const struct node_request *request);
bool node_gate_caller_gone(struct node *n, uint64_t request);
bool node_gate_handle_call(struct node *n, const struct node_call_event *event);
void node_gate_tick(struct node *n);
void node_gate_run(struct node *n);
uint64_t node_gate_next_us(const struct node *n, uint64_t latest);
bool node_gate_can_exit(const struct node *n);
/* What others are told to be this instance's address. */
char *node_gate_advertised_address(const struct node *n);
void node_gate_entry_down(struct node *n, uint64_t incarnation);
bool node_gate_receive(
    struct node *n, uint32_t from, const Wire__Envelope *envelope);
/* The instance that places, when it was heard lately; 0: none. */
uint32_t node_gate_placer(const struct node *n);

/* ---- node_gate_metrics.c ---- */
void node_gate_write_metrics(const struct node *n, struct buf *out);

/* ---- node_gate_config.c: replicated state ---- */
void node_gate_apply_config(
    struct node *n, uint64_t index, const Wire__GatewayConfig *put);
void node_gate_apply_version(struct node *n, const Wire__AdapterVersion *put);
void node_gate_apply_leaving(
    struct node *n, const Wire__EndpointLeaving *leaving);
void node_gate_save(const struct node *n, Node__Snapshot *out);
void node_gate_save_free(Node__Snapshot *out);
void node_gate_restore(struct node *n, const Node__Snapshot *snapshot);
uint32_t node_gate_adapter_version(
    const struct node *n, const char *model, const char *adapter);
void gate_config_free(struct node_gate *g);

/* ---- node_gate_control.c: calls to the system ---- */
void gate_control_handle(struct node *n, const struct node_request *request,
    const struct gate_caller *caller);
void gate_relay_on_call(
    struct node *n, uint32_t from, const Wire__CallRelay *relay);
void gate_relay_on_answer(struct node *n, const Wire__CallAnswer *answer);
void gate_relay_tick(struct node *n);
void node_gate_proposal_applied(struct node *n, uint64_t proposal);
void node_gate_proposal_expired(struct node *n, uint64_t proposal);
void gate_registry_lookup(
    struct node *n, uint64_t request, const struct gw_call *call);
/* Authority over the log now: no other leader can have been elected. */
bool gate_has_authority(const struct node *n);

/* ---- node_gate_ask.c: the entry asks for places ---- */
extern const struct forward_ops gate_forward_ops;
/* An ask that is at its placer has its answer, or is given up. */
void gate_ask_clear_outstanding(struct node *n, struct gate_ask *kept);
/* Tell its placer what became of it. */
void gate_ask_send_done(struct node *n, const struct gate_ask *kept,
    const struct place_result *end);
void gate_ask_on_reply(
    struct node *n, uint32_t from, const Wire__PlaceReply *reply);
/* A decision on a request that this entry placed itself. */
void gate_ask_on_decision(struct node *n, const struct place_decision *d);

/* ---- node_gate_ask_retry.c: asks without an answer ---- */
void gate_ask_tick(struct node *n);

/* ---- node_gate_owner.c: shards and their owners ---- */
void gate_owner_init(struct node *n);
/* The members have changed; skipped: not every change was seen. */
void node_gate_on_epoch(struct node *n, bool skipped);
void gate_owner_tick(struct node *n);
/* Do several instances place? */
bool gate_is_sharded(const struct node *n);
/* Does this one own a shard? Does any other instance? */
bool gate_owns_shard(const struct node *n);
bool gate_is_owner(const struct node *n, uint32_t instance);
/* The shard of an endpoint, or of a plain service's calls (endpoint NULL). */
uint32_t gate_shard_of(
    const struct node *n, const char *service, const char *endpoint);
uint64_t gate_fence_of(
    const struct node *n, const char *service, const char *endpoint);
bool gate_may_order(const struct node *n);
uint64_t gate_order_until_us(const struct node *n);

/* ---- node_gate_owner_select.c: which owner is asked ---- */
struct gate_owner *gate_owner_get(struct node *n, uint32_t instance);
/* Count a request for a key; owners that it may be asked at. */
uint32_t gate_owner_count_homes(struct node *n, uint64_t key);
/* The owner to ask; 0: none has time. */
uint32_t gate_owner_select(struct node *n, const struct gate_ask *kept);

/* Asks without an answer yet, at all owners. */
uint32_t gate_owner_outstanding_asks(const struct node *n);

/* ---- node_gate_place.c: the placer decides and gives orders ---- */
void gate_place_tick(struct node *n);
void gate_place_run(struct node *n);
void gate_place_on_ask(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__PlaceAsk *ask);
void gate_place_on_done(
    struct node *n, uint64_t incarnation, const Wire__PlaceDone *done);
bool gate_order_on_call(struct node *n, const struct node_call_event *event);

/* ---- node_gate_table.c: the table of endpoints ---- */
void gate_table_tick(struct node *n);
void gate_table_on_ask(struct node *n, uint32_t from);
void gate_table_on_table(
    struct node *n, uint32_t from, const Wire__EndpointTable *table);

#endif
