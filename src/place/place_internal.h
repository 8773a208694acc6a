#ifndef MP_PLACE_INTERNAL_H
#define MP_PLACE_INTERNAL_H

#include "place/place.h"
#include "place/place_pace.h"
#include "place/place_store.h"
#include "util/map.h"
#include "util/token_bucket.h"

/* State of the placer, shared by the files of this directory. */

#define US_PER_MS 1000ULL

/* Missed announcements after which an endpoint is removed. */
#define PLACE_SILENT_HEARTBEATS 5u
/* An announcement this many intervals old shows that its process runs. */
#define PLACE_PRESENT_HEARTBEATS 2u
/* Urgencies that engines take, from 0, the most urgent. */
#define PLACE_URGENCIES 10u
/* Recently unloaded adapters that are remembered of an engine. */
#define PLACE_RECENT_UNLOADS_MAX 24u
/* An engine loads a recently unloaded adapter faster by this factor. */
#define PLACE_WARM_LOAD_DIVISOR 10u
/* Concurrent adapter loads at one engine; it refuses more. */
#define PLACE_LOADS_PER_ENGINE_MAX 4u
/* A request is sent this long before its adapter is ready: network latency. */
#define PLACE_EARLY_SEND_US (1 * US_PER_MS)
/* Cached prompt prefixes that are remembered of an engine. */
#define PLACE_CACHED_PARTS_MAX 512u
#define PLACE_BUDGET_BUCKETS   10u

enum adapter_state {
	ADAPTER_WANTED, /* to be ordered */
	ADAPTER_ORDERED, /* the order to load has been sent */
	ADAPTER_LOADING, /* the order was accepted; ready at ready_us */
	ADAPTER_LOADED,
	ADAPTER_EVICTING /* the order to unload has been sent */
};

/* Weights or an adapter at an endpoint. */
struct place_adapter {
	char *key; /* "model" or "model/adapter" */
	uint64_t key_hash;
	char *model, *adapter; /* adapter NULL: the weights */
	enum adapter_state state;
	uint32_t version;
	uint32_t wanted_version;
	uint32_t running; /* granted requests that have not ended */
	uint32_t waiting; /* queued requests that wait for it here */
	uint32_t missing_count; /* consecutive refusals: it was not loaded */
	bool has_served; /* a request has begun to run on it */
	bool from_store; /* its load counts against the store's limit */
	struct place_load load; /* its last one from the store */
	uint64_t size_kb; /* see place_room.h */
	bool is_prefetch; /* no request has waited for it or run on it */
	bool is_replacing; /* WANTED to LOADING: an older version is loaded */
	/*
	 * A load of it was accepted, and no unload since; or, while the
	 * engine's count was known, which has not changed since but by orders
	 * counted here, a request began to run on it, or the placer before told
	 * so.
	 */
	bool is_surely_held;
	bool is_held_at_count; /* the latter */
	/*
	 * One and the count that the first unload since its load expected which
	 * may have been accepted; 0: none may.
	 */
	uint64_t doubt_count_plus_one;
	uint64_t ready_us; /* WANTED: an estimate */
	uint64_t last_used_us;
	uint64_t state_since_us;
	uint32_t load_rank; /* in a shortage, of its requests; least first */
};

/* Maximum age of the state in a report. */
#define PLACE_REPORT_LAG_US (400 * US_PER_MS)

/* The rate limit of an endpoint, see struct place_limit. */
struct place_limit_state {
	struct place_limit now, table; /* table: as last published */
	bool is_told; /* by a response to a request granted here */
	bool is_changed; /* to be logged */
	uint64_t teller, told_us;
	struct place_limit_share share;
	struct token_bucket bucket; /* of this instance's share */
	uint64_t granted, published_us;
};

struct place_endpoint {
	char *id, *service, *address, *data_centre;
	uint64_t born_ms, sequence; /* of the newest announcement */
	uint32_t slots;
	bool leaving;
	uint64_t announced_us; /* when the newest announcement arrived */
	bool is_changed; /* to be published to the other instances */
	uint64_t table_round; /* whole table that listed it last */
	uint64_t remove_at_us; /* unless it is listed before; 0: never */
	/* load accounting */
	uint32_t running; /* granted requests that have not ended */
	uint32_t unread_requests; /* granted, without a first byte yet */
	uint64_t unread_tokens; /* of their prompts, without cached ones */
	/* the same by urgency */
	uint32_t unread_requests_by[PLACE_URGENCIES];
	uint64_t unread_tokens_by[PLACE_URGENCIES];
	uint64_t kv_tokens; /* of all running requests */
	uint64_t waiting_tokens; /* prompts of queued requests that wait here */
	/* requests there that are not accounted for here, and those of them
	 * that have not begun, as responses tell */
	struct place_told others, others_waiting;
	/* last first byte or end, or grant while it was idle */
	uint64_t last_progress_us;
	struct place_pace prompts, calls; /* work: prompt tokens, calls */
	struct place_group *group; /* of its service */
	double busy_share; /* of the last seconds, with an unread prompt */
	uint64_t busy_updated_us;
	/* failures */
	double failure_rate; /* share of recent calls that failed */
	double lasting_failure_rate; /* the same over a longer time */
	/* when a call there ended, and when one was served; 0: never */
	uint64_t last_call_us, last_served_call_us;
	uint64_t eject_until_us;
	uint32_t consecutive_ejections;
	/* models and adapters */
	const struct gw_engine *engine; /* as configured; NULL: no engine */
	char **on_disk, **in_memory; /* models of which it keeps copies */
	size_t n_on_disk, n_in_memory;
	struct map *adapters; /* struct place_adapter by key */
	uint32_t nweights; /* how many of adapters are weights */
	struct place_adapter *weights; /* those added last; NULL: none */
	bool has_pending_adapters; /* some may not be in state LOADED */
	double victim_demand; /* demand for the next adapter to unload */
	uint64_t victim_computed_us; /* time of victim_demand; 0: not valid */
	/* ring of key hashes */
	uint64_t recent_unloads[PLACE_RECENT_UNLOADS_MAX];
	size_t next_recent_unload;
	struct map *cached_parts; /* struct prefix_use by prefix hash */
	uint64_t cached_idle_tokens; /* of parts that no request uses */
	uint64_t evicted_tokens; /* of such parts, so far */
	/* orders */
	uint64_t accepted_orders; /* the engine's count */
	bool orders_known; /* accepted_orders is certain */
	uint64_t reported_us; /* time of its last report */
	/*
	 * Key of an adapter whose unload is done, counted or not; NULL: none. A
	 * report that does not list it tells the count, however old it is.
	 */
	char *unsure_key;
	uint64_t told_held_at_and_one; /* by another placer's table */
	bool call_in_flight; /* an order or a report request */
	uint64_t call; /* its number; 0: there was none */
	char *order_key; /* its adapter or weights; NULL: a report */
	bool order_is_unload;
	uint64_t backoff_until_us; /* no order and no report before */
	uint64_t last_accepted_us; /* last accepted order */
	uint32_t consecutive_unanswered; /* orders */
	bool has_been_ordered; /* this placer has given it an order */
	bool needs_report; /* request a report even without a pending order */
	bool is_fenced; /* it has seen an order of a newer placer */
	bool is_foreign; /* another instance grants and orders there */
	uint64_t order_from_us; /* no order before */
	uint64_t last_search; /* last search that examined it */
	struct place_limit_state limit;
};

/* A request of an entry, from its ask to its end. */
struct place_ask {
	struct place_id id;
	enum gw_kind kind;
	char *service, *model, *adapter, *key, *data_centre;
	uint64_t key_hash;
	uint32_t prompt_tokens, max_tokens;
	struct gw_prompt_part parts[GW_PREFIX_PARTS_MAX];
	size_t nparts;
	uint64_t asked_us, deadline_us, target_us;
	uint64_t due_us; /* order in the queue */
	uint64_t load_wait_since_us; /* waiting for an adapter; 0: never */
	uint32_t priority, attempt;
	char *account; /* NULL: none */
	uint32_t account_priority;
	bool may_redirect; /* see struct place_request */
	char *avoid[PLACE_AVOID_MAX];
	size_t navoid;
	uint64_t
	    prefix_hashes[GW_PREFIX_PARTS_MAX]; /* i: of the parts 0 to i */
	bool wait_sent; /* PLACE_WAIT was issued */
	bool has_waited_for_limit;
	/* place.capacity_generation at the last evaluation; 0: none yet */
	uint64_t evaluated_generation;
	uint64_t evaluated_us; /* time of the last evaluation */
	uint64_t evaluate_at_us; /* next evaluation; 0: not time-driven */
	/* where it waits for an adapter or is granted; NULL: nowhere */
	struct place_endpoint *endpoint;
	bool granted, has_first_byte, is_queued;
	uint64_t granted_us;
	uint32_t unread_tokens; /* added to the endpoint's count */
	uint32_t urgency; /* at the endpoint; set when it is granted */
	struct place_ask *next, *prev; /* in the queue */
	/* admission, see place_admit.h */
	struct fair_account *share; /* its account */
	bool is_held; /* it waits for room at an engine */
	bool is_backlogged; /* as held, and it can still be in time */
	bool is_blocked; /* as held, and no engine has a slot or memory */
	bool is_late; /* it can't meet its objective any more */
	double room_wait_ms; /* expected, as of the last ordering */
	double charge; /* provisional, once it is granted */
};

/* The endpoints of one service. */
struct place_group {
	struct place_endpoint **endpoints;
	size_t count, cap;
	/* when the last caller refused for limits was asked to return */
	uint64_t limit_return_us;
	/* when the last caller of a call that was too late was asked to return
	 */
	uint64_t calls_return_us;
	bool is_busy; /* all its engines that are owned here */
	double busy_share; /* of the last seconds, in which it was */
	uint64_t busy_updated_us;
};

struct place_version {
	uint32_t version;
};

/* Requests and repeats of one service in a sliding window of buckets. */
struct place_budget {
	uint64_t newest_bucket; /* its number */
	uint32_t requests[PLACE_BUDGET_BUCKETS], repeats[PLACE_BUDGET_BUCKETS];
};

/* Recent requests for an adapter, with exponential decay. */
struct place_demand {
	double count;
	uint64_t updated_us;
	/* endpoints where it is loaded, being loaded or wanted */
	struct place_endpoint **holders;
	uint32_t nholders, cap;
};

struct place_change {
	char *id;
	bool gone;
};

struct place {
	struct place_options options;
	const struct gw_config *config;
	struct map *endpoints; /* struct place_endpoint by id */
	struct map *groups; /* struct place_group by service */
	struct map *departed; /* uint64_t earliest accepted start by id */
	struct map *leaving; /* uint64_t start of the process by id */
	struct map *noticed_leaving; /* the same, not replicated */
	struct map *left_before; /* struct left_before by id */
	uint64_t last_departure; /* number of the latest of these */
	struct map *silent; /* uint64_t start of a removed process by id */
	struct map *backoffs; /* struct place_backoff by entry and endpoint */
	uint64_t next_backoff_end_us; /* UINT64_MAX: there is none */
	struct map *invalid_limits; /* uint64_t start of the process by id */
	uint32_t nlimited; /* endpoints with a limit */
	bool has_limit_changes;
	place_limit_share_fn limit_share_fn; /* NULL: all of each limit */
	void *limit_share_ctx;
	struct map *asks; /* struct place_ask by struct place_id */
	/* queue of the asks that are not granted, see place_admit.h */
	struct place_ask *queue_head, *queue_tail;
	size_t nqueued;
	struct place_admit *admit;
	struct map *versions; /* struct place_version by key */
	struct map *budgets; /* struct place_budget by service */
	struct map *demand; /* struct place_demand by key */
	bool prefetches_adapters;
	uint32_t store_loads; /* adapter loads from the store in progress */
	uint32_t queued_store_loads; /* wanted loads from the store */
	struct place_store store; /* how many it serves at full speed */
	double weight_permits; /* loads of weights that may begin */
	uint64_t permits_refilled_us;
	uint32_t weights_loading; /* from the store */
	uint64_t last_call; /* number of the newest order or report call */
	struct place_decision *decisions;
	size_t ndecisions, ndecisions_taken, decisions_cap;
	uint64_t table_round; /* counts the whole tables */
	struct place_change *changes;
	size_t nchanges, changes_cap;
	char *popped_change_id; /* returned by place_pop_change() */
	uint64_t search_count; /* searches for an engine so far */
	place_ownership_fn ownership_fn; /* NULL: all engines are owned */
	void *ownership_ctx;
	uint32_t owner_count; /* 0: see place_set_owner_count() */
	uint32_t mean_load_ms; /* of the engines owned here */
	/* incremented by each event that may allow another grant */
	uint64_t capacity_generation;
	uint64_t next_sweep_us, next_demand_sweep_us, next_prefetch_us;
	uint64_t next_run_us;
	uint64_t last_run_us;
	uint64_t now_us;
	/* counted when the run began; all_engines: also of other owners */
	uint32_t owned_engines, all_engines;
	struct place_totals totals;
};

/* Result of trying to place a request. */
enum place_attempt {
	PLACE_ATTEMPT_GRANTED,
	PLACE_ATTEMPT_WAITING, /* it stays queued */
	PLACE_ATTEMPT_REFUSED /* it has been freed */
};

/* ---- place.c ---- */
/* Append a zeroed decision; the pointer is valid until the next call. */
struct place_decision *place_decision_add(
    struct place *p, enum place_decision_type type);
/* Schedule a run at at_us, unless an earlier one is scheduled. */
void place_schedule_run(struct place *p, uint64_t at_us);
/* Publish an endpoint's entry, or its removal, to the other instances. */
void place_change_add(struct place *p, const char *id, bool gone);

/* ---- place_ask.c ---- */
/* A basis with what is known of an endpoint itself. */
struct place_basis place_basis_from_endpoint(
    const struct place *p, const struct place_endpoint *e);
/* Set how long a request has waited, and how much of it for an adapter. */
void place_ask_set_waits(const struct place *p, const struct place_ask *a,
    struct place_basis *basis);
/*
 * Refuse a request and free it. The reason must be a constant string.
 * basis: NULL if there is none.
 */
void place_ask_refuse(struct place *p, struct place_ask *a,
    const struct place_basis *basis, const char *reason,
    uint32_t retry_after_ms);
/* Refuse a request and ask its caller to return at a time that is known. */
void place_ask_refuse_until(struct place *p, struct place_ask *a,
    const char *reason, uint64_t until_us);
/* Remove a request from the queue. */
void place_ask_dequeue(struct place *p, struct place_ask *a);
void place_ask_free(struct place_ask *a);
/* Has the request asked not to be granted this endpoint? */
bool place_ask_avoids(
    const struct place_ask *a, const struct place_endpoint *e);

/* ---- place_notice.c ---- */
/* When the endpoint takes requests of the entry again; 0: it does now. */
uint64_t place_backoff_end_us(
    const struct place *p, const struct place_endpoint *e, uint64_t entry);
/* Drop the backoffs that have ended, so that queued requests are tried. */
void place_backoff_expire(struct place *p);
/* Drop the backoffs of an entry's process that has ended. */
void place_backoff_drop_entry(struct place *p, uint64_t entry);

/* ---- place_limit.c ---- */
/* Update this instance's shares of all limits, once per run. */
void place_limit_update_shares(struct place *p);
/* Record what the response to a granted request says. */
void place_limit_record(struct place *p, const struct place_ask *a,
    const struct place_limit *limit);
/* Is it limited, and will tokens be lost unless one is used? */
bool place_limit_is_full(const struct place *p, const struct place_endpoint *e);
/* Count a granted request. */
void place_limit_take(struct place *p, struct place_endpoint *e);
/* Forget the limit of an endpoint that is removed. */
void place_limit_clear(struct place *p, struct place_endpoint *e);
/*
 * The time until the endpoint takes a request here, if as many others go before
 * it; 0: now; UINT64_MAX: never, as another instance may use its limit.
 */
uint64_t place_limit_wait_us(
    const struct place *p, const struct place_endpoint *e, size_t ahead);
/* The same for a model request: those before it in the queue go first. */
uint64_t place_limit_wait_at_engine_us(const struct place *p,
    const struct place_endpoint *e, const struct place_ask *a);
/*
 * Keep a call of a plain service queued until an endpoint's limit allows it, or
 * refuse it if none will before its deadline.
 */
enum place_attempt place_limit_wait_or_refuse(
    struct place *p, struct place_ask *a);
/*
 * When a caller that is refused for limits should return, if its request could
 * be placed at from_us at the earliest. Callers return one after another.
 */
uint64_t place_limit_return_us(
    struct place *p, const char *service, uint64_t from_us);

/* ---- place_endpoint.c, place_account.c ---- */
void place_endpoint_free(struct place_endpoint *e);
void place_endpoint_remove(struct place *p, struct place_endpoint *e);
/* Remember the process of an id in a bounded map of uint64_t starts by id. */
void place_remember_born(struct map *m, const char *id, uint64_t born_ms);
/* Mark the process of an endpoint, if it had started by then, as leaving. */
void place_endpoint_mark_leaving(
    struct place *p, const char *id, uint64_t born_ms);
/* Remember an endpoint that is removed, but did not leave. */
void place_remember_silent(struct place *p, const struct place_endpoint *e);
/* Remove the endpoints whose announcements have stopped. */
void place_endpoint_remove_silent(struct place *p);
/* Look up all endpoints' engines in a new configuration. */
void place_endpoint_update_engines(struct place *p);
/* Is it of the service, not leaving and not ejected? */
bool place_endpoint_is_usable(
    const struct place *p, const struct place_endpoint *e, const char *service);
/* Set the speeds of a new endpoint: the mean of its service's endpoints. */
void place_endpoint_init_speed(const struct place *p, struct place_endpoint *e);
/* Prompt tokens per ms now. */
double place_endpoint_tokens_per_ms(
    const struct place *p, const struct place_endpoint *e);
/* Part of the last seconds in which it had an unread request, 0 to 1. */
double place_endpoint_busy_share(
    const struct place *p, const struct place_endpoint *e);
/* Duration of a call, at the mean pace and now. */
double place_endpoint_mean_call_ms(const struct place_endpoint *e);
double place_endpoint_call_ms(
    const struct place *p, const struct place_endpoint *e);
/* Count a granted request. */
void place_endpoint_grant(
    struct place *p, struct place_endpoint *e, struct place_ask *a);
/* Record the outcome of a granted request at its endpoint. */
void place_endpoint_record_result(
    struct place *p, struct place_ask *a, const struct place_result *result);

/* ---- place_group.c ---- */
void place_group_add(struct place *p, struct place_endpoint *e);
void place_group_remove(struct place *p, const struct place_endpoint *e);
/* The endpoints of a service; an empty group if there are none. */
const struct place_group *place_group_find(
    const struct place *p, const char *service);
void place_group_free_all(struct place *p);
/* Update which groups are busy, once per run. */
void place_group_update_busy(struct place *p);
/*
 * Part of the last seconds in which each engine of the group that is owned here
 * had an unread request, 0 to 1.
 */
double place_group_busy_share(
    const struct place *p, const struct place_group *g);
/* The same of an engine or group that is or isn't busy since updated_us. */
double place_busy_share_at(
    const struct place *p, double share, bool is_busy, uint64_t updated_us);

/* ---- place_share.c ---- */
/* Evaluate an engine's ownership; a change resets its load and adapters. */
void place_share_update_engine(struct place *p, struct place_endpoint *e);
/* Count owned and all engines, and the mean load, once per run. */
void place_share_count_engines(struct place *p);
/* This instance's share of a limit that all engines have together. */
double place_share_scale(const struct place *p, double whole);

/* ---- place_adapter.c ---- */
struct place_adapter *place_adapter_find(
    const struct place_endpoint *e, const char *key);
struct place_adapter *place_adapter_add(struct place *p,
    struct place_endpoint *e, const char *model, const char *adapter,
    enum adapter_state state);
/* Remove and free an adapter; was_unloaded: its next load is a warm one. */
void place_adapter_remove(struct place *p, struct place_endpoint *e,
    struct place_adapter *a, bool was_unloaded);
/* The only way to set a state: it keeps has_pending_adapters up to date. */
void place_adapter_set_state(struct place_endpoint *e, struct place_adapter *a,
    enum adapter_state state);
/* The key of an adapter or of weights; the caller frees it. */
char *place_adapter_key(const char *model, const char *adapter);
/* The lowest version that may serve requests; 0: any. */
uint32_t place_required_version(const struct place *p, const char *key);
/* Is it loaded, in the version that requests require? */
bool place_adapter_is_current(
    const struct place *p, const struct place_adapter *a);
bool place_adapter_was_recently_unloaded(
    const struct place_endpoint *e, uint64_t key_hash);
/* May it be unloaded, being loaded and not in use by any request? */
bool place_adapter_is_evictable(const struct place_adapter *a);
/* Schedule requests that wait for an adapter for when it is ready. */
void place_adapter_schedule_waiting(struct place *p,
    const struct place_endpoint *e, const struct place_adapter *a);
/*
 * Duration of a load that begins now, in ms; and with the queued loads before
 * it. is_warm: the endpoint has recently unloaded it.
 */
uint32_t place_adapter_load_ms(const struct place *p, bool is_warm);
uint32_t place_adapter_wait_ms(const struct place *p, bool is_warm);
/* Limit of concurrent loads from the store, over the engines owned here. */
uint32_t place_adapter_store_loads_max(const struct place *p);
/* Bounds of that limit; see struct place_store_bounds. */
struct place_store_bounds place_adapter_store_bounds(const struct place *p);
/* Stop counting a load from the store, if it is one. */
void place_adapter_release_store(struct place *p, struct place_adapter *a);
/*
 * Whether the engine holds its adapters is uncertain, because another placer
 * may have sent it orders.
 */
void place_adapter_doubt_all(struct place_endpoint *e);
/*
 * A request that was granted at that time has begun to run on an adapter: it is
 * not about to be unloaded, as then the engine would refuse to run it.
 */
void place_adapter_record_run(
    struct place_endpoint *e, struct place_adapter *a, uint64_t granted_us);
/* Mark a request's adapter to be loaded, unless a load is pending. */
void place_adapter_request_load(
    struct place *p, struct place_endpoint *e, const struct place_ask *ask);
/* Set what is loaded to exactly what an announcement lists. */
void place_adapter_set_loaded(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a);
/* The same, unless orders or a report tell more of the engine. */
void place_adapter_merge_announced(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a);
/*
 * Demand for the adapter that would be unloaded next, cached for a while.
 *
 * adapter_kb: size of the adapter that would be loaded.
 */
double place_adapter_victim_demand(
    const struct place *p, struct place_endpoint *e, uint64_t adapter_kb);

/* ---- place_order.c ---- */
/* Complete loads that are due, and issue orders and report requests. */
void place_order_run(struct place *p, bool may_order);

/* ---- place_prefetch.c ---- */
/* Choose an adapter to be loaded before a request waits for it. */
void place_prefetch_run(struct place *p);
/* Does the store have room for a load that no request waits for? */
bool place_prefetch_may_load(const struct place *p);
/* Is the victim in so little demand that the adapter may replace it? */
bool place_prefetch_may_unload(
    const struct place *p, const char *key, const struct place_adapter *victim);

/* ---- place_demand.c ---- */
/* Count a request for a key. */
void place_demand_record(struct place *p, const char *key);
/* The demand for a key, divided by the number of its copies. */
double place_demand_per_copy(const struct place *p, const char *key);
void place_demand_add_holder(
    struct place *p, const char *key, struct place_endpoint *holder);
void place_demand_remove_holder(
    struct place *p, const char *key, const struct place_endpoint *holder);
/* NULL: no recent request and no holder. */
const struct place_demand *place_demand_find(
    const struct place *p, const char *key);
void place_demand_free(struct place_demand *d);
/* Remove keys without holders and recent requests. */
void place_demand_sweep(struct place *p);

/* ---- place_engine.c ---- */
/* Try to place a model request: grant, wait for an adapter, or refuse. */
enum place_attempt place_engine_place(
    struct place *p, struct place_ask *a, bool may_order);

/* ---- place_estimate.c ---- */
/*
 * The urgency at the engine, 0 first to PLACE_URGENCIES - 1 last: ordered by
 * the account's priority, then the route's, then whether the request can be in
 * time.
 */
uint32_t place_admit_urgency(const struct place *p, const struct place_ask *a);
/* Time until a prompt that arrives now is processed there. */
double place_engine_load_ms(
    const struct place *p, const struct place_endpoint *e);

/* ---- place_prefix.c ---- */
/* Hash of the key and the prompt parts 0 to last. */
uint64_t place_prefix_hash(const struct place_ask *a, size_t last);
/* Record that the engine caches the prefixes of a granted request's prompt. */
void place_prefix_record(
    struct place *p, struct place_endpoint *e, const struct place_ask *a);
/* Record that the engine has processed the request's prompt. */
void place_prefix_mark_read(
    struct place_endpoint *e, const struct place_ask *a);
/*
 * Record that the request has ended. Its prefixes may be evicted, and are
 * forgotten if no request has had them processed.
 */
void place_prefix_release(
    struct place *p, struct place_endpoint *e, const struct place_ask *a);
/* Forget what an engine has cached, as another instance accounts for it. */
void place_prefix_clear(struct place_endpoint *e);
/* Prompt tokens that an engine need not process again. */
struct place_prefix_saving {
	double tokens; /* expected */
	double deviation; /* standard deviation */
};
struct place_prefix_saving place_prefix_expect(const struct place *p,
    const struct place_endpoint *e, const struct place_ask *a);

/* ---- place_service.c ---- */
/* Try to place a call of a plain service. */
enum place_attempt place_service_place(struct place *p, struct place_ask *a);

/* ---- place_budget.c ---- */
/* Count a request; false: a repeat that the budget does not allow. */
bool place_budget_charge(struct place *p, const char *service, bool is_repeat);

#endif
