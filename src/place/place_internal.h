#ifndef MP_PLACE_INTERNAL_H
#define MP_PLACE_INTERNAL_H

#include "place/place.h"
#include "util/map.h"

#define US_PER_MS 1000ULL

/* An endpoint that was not heard for so many announcements is gone. */
#define PLACE_SILENT_HEARTBEATS 5u
/* Prompt tokens that an engine reads in a ms, before any is measured. */
#define PLACE_INITIAL_TOKENS_PER_MS 18.0
/* Time of a plain call in ms, before any is measured. */
#define PLACE_INITIAL_CALL_MS 50.0
/* Adapters that an engine unloaded lately and loads fast again. */
#define PLACE_RECENT_UNLOADS_MAX 24u
#define PLACE_WARM_LOAD_DIVISOR	 10u
/* Adapters on their way to one engine at a time; it refuses more. */
#define PLACE_LOADS_PER_ENGINE_MAX 4u
/* A request leaves this early to meet its adapter. */
#define PLACE_EARLY_SEND_US (1 * US_PER_MS)
/* Cached prompt parts that are remembered of an engine. */
#define PLACE_CACHED_PARTS_MAX 512u
#define PLACE_BUDGET_BUCKETS   10u

enum adapter_state {
	ADAPTER_WANTED, /* an order is to be given */
	ADAPTER_ORDERED, /* the order is on its way */
	ADAPTER_LOADING, /* accepted; ready at ready_us */
	ADAPTER_LOADED,
	ADAPTER_EVICTING /* an order to unload is on its way */
};

/* Weights or an adapter at an endpoint. */
struct place_adapter {
	char *key; /* "model" or "model/adapter" */
	uint64_t key_hash; /* of the key */
	char *model, *adapter; /* adapter NULL: the weights */
	enum adapter_state state;
	uint32_t version;
	uint32_t wanted_version;
	uint32_t running; /* granted and not ended */
	uint32_t waiting; /* requests that wait for it */
	uint32_t missing_count; /* refusals as it was not there, in a row */
	bool has_served; /* a request that ran on it has ended */
	bool from_store; /* comes from the weight store */
	bool is_replacing; /* WANTED to LOADING: an older version is there */
	uint64_t ready_us; /* WANTED: estimated */
	uint64_t last_used_us;
	uint64_t state_since_us; /* of the state */
};

struct place_endpoint {
	char *id, *service, *address, *data_centre;
	uint64_t born_ms, sequence;
	uint32_t slots;
	bool leaving;
	uint64_t announced_us;
	bool is_changed; /* to be told to the others */
	/* the account */
	uint32_t running; /* granted and not ended */
	uint32_t unread_requests; /* granted, no first byte yet */
	uint64_t unread_tokens; /* of their prompts, as far as not cached */
	uint64_t kv_tokens; /* of all that run */
	uint64_t last_progress_us; /* last first byte, or when it was idle */
	double tokens_per_ms; /* prompt tokens per ms */
	double mean_call_ms; /* plain: mean time of a call */
	/* trust */
	double failure_rate; /* share of late calls that failed */
	uint64_t eject_until_us;
	uint32_t consecutive_ejections; /* in a row */
	/* what it holds */
	const struct gw_engine *engine; /* as configured; NULL: none */
	char **on_disk, **in_memory; /* models of which it keeps copies */
	size_t n_on_disk, n_in_memory;
	struct map *adapters; /* by key, struct place_adapter */
	uint32_t nweights; /* of them, those that are weights */
	struct place_adapter *weights; /* those added last; NULL: none */
	bool has_pending_adapters; /* some may be wanted or on their way */
	double victim_demand; /* of what would be unloaded next */
	uint64_t victim_computed_us; /* as of */
	uint64_t recent_unloads[PLACE_RECENT_UNLOADS_MAX]; /* ring of hashes of
							      keys */
	size_t next_recent_unload;
	struct map *cached_parts; /* by hash of the chain, to its last use */
	/* orders */
	uint64_t accepted_orders; /* accepted so far */
	bool orders_known;
	bool call_in_flight; /* a call is under way */
	char *order_key; /* what it is about; NULL: a report */
	bool order_is_unload;
	uint64_t backoff_until_us; /* no order and no report before */
	uint64_t last_accepted_us; /* the last order that it took */
	uint32_t consecutive_unanswered; /* orders in a row */
	bool has_been_ordered; /* this placer has given it an order */
	bool
	    needs_report; /* a report is wanted also without an order to give */
	bool is_fenced; /* a newer holder has been seen */
	bool is_foreign; /* another instance places and orders there */
	uint64_t order_from_us; /* no order before */
	uint64_t last_search; /* the search that has looked at it */
};

struct place_ask {
	struct place_id id;
	enum gw_kind kind;
	char *service, *model, *adapter, *key, *data_centre;
	uint64_t key_hash;
	uint32_t prompt_tokens, max_tokens;
	struct gw_prompt_part parts[GW_PROMPT_PARTS_MAX];
	size_t nparts;
	uint64_t asked_us, deadline_us, target_us;
	uint64_t due_us; /* its turn among those that wait */
	uint64_t
	    load_wait_since_us; /* began to wait for an adapter; 0: did not */
	uint32_t priority, attempt;
	char *avoid[PLACE_AVOID_MAX];
	size_t navoid;
	uint64_t
	    prefix_hashes[GW_PROMPT_PARTS_MAX]; /* names of the first parts */
	bool wait_sent;
	uint64_t evaluated_generation; /* place.capacity_generation when it was
					  looked at last; 0: never */
	uint64_t evaluated_us; /* and when that was */
	uint64_t evaluate_at_us; /* to be looked at then; 0: not by time */
	/* waiting for an adapter there, or granted */
	struct place_endpoint *endpoint; /* NULL: none */
	bool granted, has_first_byte, is_queued;
	uint64_t granted_us;
	uint32_t unread_tokens; /* charged */
	uint32_t
	    ahead_tokens; /* at the endpoint when it was granted, own too */
	struct place_ask *next, *prev; /* of those that are not granted */
};

/* The endpoints of one service. */
struct place_group {
	struct place_endpoint **endpoints;
	size_t count, cap;
};

struct place_version {
	uint32_t version;
};

/* Requests and repeats of one service in a window that slides by buckets. */
struct place_budget {
	uint64_t newest_bucket; /* number of the newest */
	uint32_t requests[PLACE_BUDGET_BUCKETS], repeats[PLACE_BUDGET_BUCKETS];
};

/* How often an adapter was asked for lately; halves with time. */
struct place_demand {
	double count;
	uint64_t updated_us;
	/* where it is, on its way, or wanted */
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
	struct map *endpoints; /* by id */
	struct map *groups; /* struct place_group by service */
	struct map *departed; /* ids that left, to the start of their process */
	struct map *leaving; /* uint64_t start of the process by id */
	struct map *asks; /* by struct place_id */
	/* list by when they are due */
	struct place_ask *queue_head, *queue_tail;
	size_t nqueued;
	struct map *versions; /* by key */
	struct map *budgets; /* by service */
	struct map *demand; /* struct place_demand by key */
	uint32_t store_loads; /* adapters on their way from the store */
	uint32_t queued_store_loads; /* adapters that wait for the store */
	double load_overrun_ratio; /* loads take longer by this share of late */
	double weight_permits; /* loads of weights that may begin */
	uint64_t permits_refilled_us; /* as of */
	uint32_t weights_loading;
	struct place_decision *decisions;
	size_t ndecisions, ndecisions_taken, decisions_cap;
	struct place_change *changes;
	size_t nchanges, changes_cap;
	char *popped_change_id; /* id handed out by place_pop_change() */
	uint64_t search_count; /* numbers the searches for an engine */
	place_ownership_fn ownership_fn; /* NULL: all are this instance's */
	void *ownership_ctx;
	uint32_t owner_count; /* instances that place; 0: only for themselves */
	uint32_t mean_load_ms;
	uint64_t capacity_generation; /* counts news that may let a request be
					 placed */
	uint64_t next_sweep_us, next_demand_sweep_us; /* next sweeps */
	uint64_t next_run_us;
	uint64_t last_run_us; /* the last round */
	uint64_t now_us;
	/* as counted when the round began; all: also of other owners */
	uint32_t owned_engines, all_engines;
	struct place_totals totals;
};

enum place_attempt {
	PLACE_ATTEMPT_GRANTED,
	PLACE_ATTEMPT_WAITING, /* it waits */
	PLACE_ATTEMPT_REFUSED /* it is gone */
};

/* ---- place.c ---- */
/* The basis of a decision by what is known of an endpoint. */
struct place_basis place_basis_from_endpoint(
    const struct place *p, const struct place_endpoint *e);
struct place_decision *place_decision_add(
    struct place *p, enum place_decision_type type);
void place_schedule_run(struct place *p, uint64_t at_us);
void place_change_add(struct place *p, const char *id, bool gone);

/* ---- place_ask.c ---- */
/* Refuse and forget; the reason is a constant. basis: NULL, there is none. */
void place_ask_refuse(struct place *p, struct place_ask *a,
    const struct place_basis *basis, const char *reason,
    uint32_t retry_after_ms);
/* It waits no longer. */
void place_ask_dequeue(struct place *p, struct place_ask *a);
void place_ask_free(struct place_ask *a);
bool place_ask_avoids(
    const struct place_ask *a, const struct place_endpoint *e);

/* ---- place_endpoint.c, place_account.c ---- */
void place_endpoint_free(struct place_endpoint *e);
void place_endpoint_remove(struct place *p, struct place_endpoint *e);
void place_endpoint_remove_silent(struct place *p);
/* The configuration has changed. */
void place_endpoint_update_engines(struct place *p);
bool place_endpoint_is_usable(
    const struct place *p, const struct place_endpoint *e, const char *service);
void place_endpoint_grant(
    struct place *p, struct place_endpoint *e, struct place_ask *a);
void place_endpoint_record_result(
    struct place *p, struct place_ask *a, const struct place_result *end);

/* ---- place_group.c ---- */
void place_group_add(struct place *p, struct place_endpoint *e);
void place_group_remove(struct place *p, const struct place_endpoint *e);
/* The endpoints of a service; none: an empty group. */
const struct place_group *place_group_find(
    const struct place *p, const char *service);
void place_group_free_all(struct place *p);

/* ---- place_share.c ---- */
/* Is an engine this instance's? Its account and adapters follow. */
void place_share_update_engine(struct place *p, struct place_endpoint *e);
void place_share_count_engines(struct place *p);
double place_share_scale(const struct place *p, double whole);

/* ---- place_adapter.c ---- */
struct place_adapter *place_adapter_find(
    const struct place_endpoint *e, const char *key);
struct place_adapter *place_adapter_add(struct place *p,
    struct place_endpoint *e, const char *model, const char *adapter,
    enum adapter_state state);
void place_adapter_remove(struct place *p, struct place_endpoint *e,
    struct place_adapter *a, bool lately);
/* All changes of a state go through this: rounds look where some stir. */
void place_adapter_set_state(struct place_endpoint *e, struct place_adapter *a,
    enum adapter_state state);
char *place_adapter_key(const char *model, const char *adapter);
uint32_t place_required_version(const struct place *p, const char *key);
/* Does a copy serve requests, and of the version that they need? */
bool place_adapter_is_current(
    const struct place *p, const struct place_adapter *a);
bool place_adapter_was_recently_unloaded(
    const struct place_endpoint *e, uint64_t hash);
/* Could one more be loaded there, after others are unloaded? */
bool place_adapter_can_make_room(const struct place_endpoint *e);
/* Requests that wait for it are looked at when it is due. */
void place_adapter_schedule_waiting(struct place *p,
    const struct place_endpoint *e, const struct place_adapter *a);
/*
 * Time of a load that begins now, and with those before it, in ms; lately: the
 * endpoint unloaded it not long ago.
 */
uint32_t place_adapter_load_ms(const struct place *p, bool lately);
uint32_t place_adapter_wait_ms(const struct place *p, bool lately);
/* At once and at full speed, over all endpoints. */
uint32_t place_adapter_store_loads_max(const struct place *p);
/* Places that are taken, by what is there or on its way. */
size_t place_adapter_used_slots(const struct place_endpoint *e);
/* A load is over: its share of the store is free again. */
void place_adapter_release_store(struct place *p, struct place_adapter *a);
/* The one to unload for another; NULL: all are needed now. */
struct place_adapter *place_adapter_victim(
    const struct place *p, const struct place_endpoint *e);
void place_adapter_request_load(
    struct place *p, struct place_endpoint *e, const struct place_ask *ask);
void place_order_run(struct place *p, bool may_order);
/* Exactly what an entry of the placer's table lists is loaded. */
void place_adapter_set_loaded(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a);
void place_adapter_merge_announced(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a);
double place_adapter_victim_demand(
    const struct place *p, struct place_endpoint *e);

/* ---- place_demand.c ---- */
void place_demand_record(struct place *p, const char *key);
/* Shared among the copies that there are. */
double place_demand_per_copy(const struct place *p, const char *key);
void place_demand_add_holder(
    struct place *p, const char *key, struct place_endpoint *holder);
void place_demand_remove_holder(
    struct place *p, const char *key, const struct place_endpoint *holder);
/* What is known of a key; NULL: it was not asked for and is nowhere. */
const struct place_demand *place_demand_find(
    const struct place *p, const char *key);
void place_demand_free(struct place_demand *d);
void place_demand_sweep(struct place *p);

/* ---- place_engine.c ---- */
/* Place a model request: a grant, a wait for an adapter, or nothing. */
enum place_attempt place_engine_place(
    struct place *p, struct place_ask *a, bool may_order);
/* Time until a prompt that comes now begins there. */
double place_engine_load_ms(
    const struct place *p, const struct place_endpoint *e);
uint64_t place_engine_prefix_hash(const struct place_ask *a, size_t upto);
void place_engine_record_prefix(
    struct place *p, struct place_endpoint *e, const struct place_ask *a);

/* ---- place_ask.c ---- */
/* How long a request has waited, and how much of it for an adapter. */
void place_ask_set_waits(const struct place *p, const struct place_ask *a,
    struct place_basis *basis);

/* ---- place_service.c ---- */
enum place_attempt place_service_place(struct place *p, struct place_ask *a);

/* ---- place_budget.c ---- */
/* Count a request; false: a repeat that the budget does not allow. */
bool place_budget_charge(struct place *p, const char *service, bool repeat);

#endif
