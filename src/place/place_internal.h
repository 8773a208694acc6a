#ifndef MP_PLACE_INTERNAL_H
#define MP_PLACE_INTERNAL_H

#include "place/place.h"
#include "util/map.h"

#define US_PER_MS 1000ULL

/* An endpoint that was not heard for so many announcements is gone. */
#define PLACE_SILENT_BEATS 5u
/* Prompt tokens that an engine reads in a ms, before any is measured. */
#define PLACE_SPEED 18.0
/* Time of a plain call in ms, before any is measured. */
#define PLACE_SERVICE_MS 50.0
/* Adapters that an engine unloaded lately and loads fast again. */
#define PLACE_LATELY_MAX    24u
#define PLACE_LATELY_FACTOR 10u
/* Adapters on their way to one engine at a time; it refuses more. */
#define PLACE_TRANSIT_MAX 4u
/* A request leaves this early to meet its adapter. */
#define PLACE_LEAD_US (1 * US_PER_MS)
/* Cached prompt parts that are remembered of an engine. */
#define PLACE_PARTS_MAX 512u
#define PLACE_BUCKETS	10u

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
	uint64_t hash; /* of the key */
	char *model, *adapter; /* adapter NULL: the weights */
	enum adapter_state state;
	uint32_t version;
	uint32_t wanted_version;
	uint32_t running; /* granted and not ended */
	uint32_t waiting; /* requests that wait for it */
	uint32_t lacked; /* refusals as it was not there, in a row */
	bool served; /* a request that ran on it has ended */
	bool cold; /* comes from the weight store */
	bool replacing; /* WANTED to LOADING: an older version is there */
	uint64_t ready_us; /* WANTED: estimated */
	uint64_t used_us;
	uint64_t since_us; /* of the state */
};

struct place_endpoint {
	char *id, *service, *address, *data_centre;
	uint64_t born_ms, sequence;
	uint32_t slots;
	bool leaving;
	uint64_t heard_us;
	bool changed; /* to be told to the others */
	/* the account */
	uint32_t running; /* granted and not ended */
	uint32_t unread; /* granted, no first byte yet */
	uint64_t unread_tokens; /* of their prompts, as far as not cached */
	uint64_t kv_tokens; /* of all that run */
	uint64_t progress_us; /* last first byte, or when it was idle */
	double speed; /* prompt tokens per ms */
	double service_ms; /* plain: mean time of a call */
	/* trust */
	double failures; /* share of late calls that failed */
	uint64_t eject_until_us;
	uint32_t ejections; /* in a row */
	/* what it holds */
	const struct gw_engine *engine; /* as configured; NULL: none */
	char **on_disk, **in_memory; /* models of which it keeps copies */
	size_t non_disk, nin_memory;
	struct map *adapters; /* by key, struct place_adapter */
	uint32_t nweights; /* of them, those that are weights */
	struct place_adapter *weights; /* those added last; NULL: none */
	bool stirring; /* some may be wanted or on their way */
	double victim_worth; /* of what would be unloaded next */
	uint64_t victim_us; /* as of */
	uint64_t lately[PLACE_LATELY_MAX]; /* ring of hashes of keys */
	size_t lately_at;
	struct map *parts; /* by hash of the chain, to its last use */
	/* orders */
	uint64_t orders; /* accepted so far */
	bool orders_known;
	bool ordering; /* a call is under way */
	char *order_key; /* what it is about; NULL: a report */
	bool order_unloads;
	uint64_t quiet_until_us; /* no order and no report before */
	uint64_t accepted_us; /* the last order that it took */
	uint32_t unanswered; /* orders in a row */
	bool ordered; /* this placer has given it an order */
	bool doubted; /* a report is wanted also without an order to give */
	bool fenced; /* a newer holder has been seen */
	bool foreign; /* another instance places and orders there */
	uint64_t order_from_us; /* no order before */
	uint64_t marked; /* the search that has looked at it */
};

struct place_ask {
	struct place_id id;
	enum gw_kind kind;
	char *service, *model, *adapter, *key, *data_centre;
	uint64_t key_hash;
	uint32_t prompt_tokens, max_tokens;
	struct gw_part parts[GW_PARTS_MAX];
	size_t nparts;
	uint64_t asked_us, deadline_us, target_us;
	uint64_t due_us; /* its turn among those that wait */
	uint64_t load_wait_us; /* began to wait for an adapter; 0: did not */
	uint32_t priority, attempt;
	char *avoid[PLACE_AVOID_MAX];
	size_t navoid;
	uint64_t chains[GW_PARTS_MAX]; /* names of the first parts */
	bool told_waits;
	uint64_t seen; /* place.freed when it was looked at last; 0: never */
	uint64_t seen_us; /* and when that was */
	uint64_t look_us; /* to be looked at then; 0: not by time */
	/* waiting for an adapter there, or granted */
	struct place_endpoint *endpoint; /* NULL: none */
	bool granted, begun, is_waiting;
	uint64_t granted_us;
	uint32_t unread_tokens; /* charged */
	uint32_t
	    ahead_tokens; /* at the endpoint when it was granted, own too */
	struct place_ask *next, *before; /* of those that are not granted */
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
	uint64_t bucket; /* number of the newest */
	uint32_t requests[PLACE_BUCKETS], repeats[PLACE_BUCKETS];
};

/* How often an adapter was asked for lately; halves with time. */
struct place_demand {
	double count;
	uint64_t at_us;
	/* where it is, on its way, or wanted */
	struct place_endpoint **holders;
	uint32_t copies, cap;
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
	struct map *gone; /* ids that left, to the start of their process */
	struct map *leaving; /* uint64_t start of the process by id */
	struct map *asks; /* by struct place_id */
	/* list by when they are due */
	struct place_ask *waiting, *waiting_last;
	size_t nwaiting;
	struct map *versions; /* by key */
	struct map *budgets; /* by service */
	struct map *demand; /* struct place_demand by key */
	uint32_t loading; /* adapters on their way from the store */
	uint32_t queued_loads; /* adapters that wait for the store */
	double load_stretch; /* loads take longer by this share of late */
	double weight_permits; /* loads of weights that may begin */
	uint64_t permits_us; /* as of */
	uint32_t weights_loading;
	struct place_decision *decisions;
	size_t ndecisions, taken, cap;
	struct place_change *changes;
	size_t nchanges, changes_cap;
	char *last_change; /* id handed out by place_take_change() */
	uint64_t searches; /* numbers the searches for an engine */
	place_owned_fn owned; /* NULL: all are this instance's */
	void *owned_ctx;
	uint32_t parts; /* instances that place; 0: only for themselves */
	uint32_t load_ms;
	uint64_t freed; /* counts news that may let a request be placed */
	uint64_t sweep_us, demand_us; /* next sweeps */
	uint64_t next_us;
	uint64_t round_us; /* the last round */
	uint64_t now_us;
	/* as counted when the round began; all: also of other owners */
	uint32_t engines, engines_all;
	struct place_totals totals;
};

enum placed {
	PLACED,
	PLACED_NOT, /* it waits */
	PLACED_REFUSED /* it is gone */
};

/* ---- place.c ---- */
/* The basis of a decision by what is known of an endpoint. */
struct place_basis place_basis_of(
    const struct place *p, const struct place_endpoint *e);
struct place_decision *place_decide(
    struct place *p, enum place_decision_type type);
void place_wake(struct place *p, uint64_t at_us);
void place_note_change(struct place *p, const char *id, bool gone);

/* ---- place_ask.c ---- */
/* Refuse and forget; the reason is a constant. basis: NULL, there is none. */
void place_ask_refuse(struct place *p, struct place_ask *a,
    const struct place_basis *basis, const char *reason,
    uint32_t retry_after_ms);
/* It waits no longer. */
void place_ask_settle(struct place *p, struct place_ask *a);
void place_ask_free(struct place_ask *a);
bool place_avoids(const struct place_ask *a, const struct place_endpoint *e);

/* ---- place_endpoint.c, place_account.c ---- */
void place_endpoint_free(struct place_endpoint *e);
void place_endpoint_remove(struct place *p, struct place_endpoint *e);
void place_endpoint_sweep(struct place *p);
/* The configuration has changed. */
void place_endpoint_engines(struct place *p);
bool place_endpoint_usable(
    const struct place *p, const struct place_endpoint *e, const char *service);
void place_endpoint_grant(
    struct place *p, struct place_endpoint *e, struct place_ask *a);
void place_endpoint_end(
    struct place *p, struct place_ask *a, const struct place_end *end);

/* ---- place_group.c ---- */
void place_group_add(struct place *p, struct place_endpoint *e);
void place_group_remove(struct place *p, const struct place_endpoint *e);
/* The endpoints of a service; none: an empty group. */
const struct place_group *place_group_of(
    const struct place *p, const char *service);
void place_group_free_all(struct place *p);

/* ---- place_share.c ---- */
/* Is an engine this instance's? Its account and adapters follow. */
void place_share_check(struct place *p, struct place_endpoint *e);
void place_share_count(struct place *p);
double place_share_of(const struct place *p, double whole);

/* ---- place_adapter.c ---- */
struct place_adapter *place_adapter_find(
    const struct place_endpoint *e, const char *key);
struct place_adapter *place_adapter_add(struct place *p,
    struct place_endpoint *e, const char *model, const char *adapter,
    enum adapter_state state);
void place_adapter_remove(struct place *p, struct place_endpoint *e,
    struct place_adapter *a, bool lately);
/* All changes of a state go through this: rounds look where some stir. */
void place_adapter_turn(struct place_endpoint *e, struct place_adapter *a,
    enum adapter_state state);
char *place_adapter_key(const char *model, const char *adapter);
uint32_t place_version_of(const struct place *p, const char *key);
/* Does a copy serve requests, and of the version that they need? */
bool place_adapter_is_current(
    const struct place *p, const struct place_adapter *a);
bool place_adapter_was_lately(const struct place_endpoint *e, uint64_t hash);
/* Could one more be loaded there, after others are unloaded? */
bool place_adapter_has_room(const struct place_endpoint *e);
/* Requests that wait for it are looked at when it is due. */
void place_adapter_due(struct place *p, const struct place_endpoint *e,
    const struct place_adapter *a);
/*
 * Time of a load that begins now, and with those before it, in ms; lately: the
 * endpoint unloaded it not long ago.
 */
uint32_t place_adapter_load_ms(const struct place *p, bool lately);
uint32_t place_adapter_wait_ms(const struct place *p, bool lately);
/* At once and at full speed, over all endpoints. */
uint32_t place_adapter_loads_at_once(const struct place *p);
/* Places that are taken, by what is there or on its way. */
size_t place_adapter_count(const struct place_endpoint *e);
/* A load is over: its share of the store is free again. */
void place_adapter_load_over(struct place *p, struct place_adapter *a);
/* The one to unload for another; NULL: all are needed now. */
struct place_adapter *place_adapter_victim(
    const struct place *p, const struct place_endpoint *e);
void place_adapter_want(
    struct place *p, struct place_endpoint *e, const struct place_ask *ask);
void place_adapter_run(struct place *p, bool may_order);
/* Exactly what an entry of the placer's table lists is loaded. */
void place_adapter_replace(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a);
void place_adapter_merge(
    struct place *p, struct place_endpoint *e, const struct gw_announcement *a);
double place_adapter_victim_worth(
    const struct place *p, struct place_endpoint *e);

/* ---- place_demand.c ---- */
void place_demand_note(struct place *p, const char *key);
/* Shared among the copies that there are. */
double place_demand_of_copy(const struct place *p, const char *key);
void place_demand_add(
    struct place *p, const char *key, struct place_endpoint *holder);
void place_demand_remove(
    struct place *p, const char *key, const struct place_endpoint *holder);
/* What is known of a key; NULL: it was not asked for and is nowhere. */
const struct place_demand *place_demand_find(
    const struct place *p, const char *key);
void place_demand_free(struct place_demand *d);
void place_demand_sweep(struct place *p);

/* ---- place_engine.c ---- */
/* Place a model request: a grant, a wait for an adapter, or nothing. */
enum placed place_engine_place(
    struct place *p, struct place_ask *a, bool may_order);
/* Time until a prompt that comes now begins there. */
double place_engine_load_ms(
    const struct place *p, const struct place_endpoint *e);
uint64_t place_engine_chain(const struct place_ask *a, size_t upto);
void place_engine_cache(
    struct place *p, struct place_endpoint *e, const struct place_ask *a);

/* ---- place_ask.c ---- */
/* How long a request has waited, and how much of it for an adapter. */
void place_ask_waited(const struct place *p, const struct place_ask *a,
    struct place_basis *basis);

/* ---- place_service.c ---- */
enum placed place_service_place(struct place *p, struct place_ask *a);

/* ---- place_budget.c ---- */
/* Count a request; false: a repeat that the budget does not allow. */
bool place_budget_take(struct place *p, const char *service, bool repeat);

#endif
