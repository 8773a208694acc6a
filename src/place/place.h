#ifndef MP_PLACE_PLACE_H
#define MP_PLACE_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The placer: assigns requests to endpoints and orders adapter and weight
 * loads.
 *
 * The placer receives every request of the gateway, so its load accounting of
 * each endpoint is exact, while load reports of endpoints are delayed. It
 * chooses the endpoint with the lowest estimated time to first byte, queues
 * requests whose adapter is being loaded, orders engines to load and unload
 * adapters and weights, and refuses immediately what cannot be served in time.
 *
 * The module performs no I/O and reads no clock: callers pass in the time and
 * events and fetch decisions.
 *
 * Every entry runs the same module on the placer's table of endpoints, but
 * without permission to order. It places the requests that cannot wait until a
 * new placer is elected.
 *
 * Terms:
 * entry: an instance that receives requests from callers.
 * engine: an endpoint of a service that runs models and loads adapters.
 * ask: the message by which an entry requests an endpoint for one request.
 * grant: the decision that assigns an endpoint to an ask.
 * order: a load or unload command to an engine.
 * report: an engine's answer about what it has loaded and is loading.
 * slot: one request that an endpoint can run concurrently.
 * store: the shared storage that adapters and weights are loaded from.
 *
 * Times are in microseconds of a monotonic clock where their name ends in _us,
 * in milliseconds where it ends in _ms.
 */
struct place;

struct place_options {
	uint32_t retry_ratio_milli, retry_extra, retry_window_ms;
	uint32_t store_window_ms, store_over_milli;
	/* concurrent loads that all engines get at full speed */
	uint32_t max_adapter_loads;
	uint32_t adapter_load_ms; /* one load within max_adapter_loads */
	uint32_t heartbeat_ms; /* interval of an endpoint's announcements */
	/* engines' prefix caches are not considered */
	bool ignores_kept_prompts;
};

/* Allocate a placer; place_destroy() frees it. options is copied. */
struct place *place_create(const struct place_options *options);
void place_destroy(struct place *p);

/*
 * Admit requests in the order of their due times, and none that can't meet its
 * objective, whether or not accounts are configured. Used by tests and benches
 * to compare admission by shares with it.
 */
void place_use_baseline_order(struct place *p);

/* Load adapters in demand before a request waits for them; off at first. */
void place_set_prefetch(struct place *p, bool prefetches);

/* Set the current configuration; it must outlive its use by the placer. */
void place_configure(struct place *p, const struct gw_config *config);
/*
 * Routes or accounts of the current configuration have changed, but no
 * services.
 */
void place_update_priorities(struct place *p);

/* Require this version of an adapter or a newer one for its requests. */
void place_set_version(
    struct place *p, const char *model, const char *adapter, uint32_t version);

/* ---- endpoints ---------------------------------------------------------- */

enum place_announce_result {
	PLACE_ANNOUNCE_STALE, /* ignored: a newer one or a successor is known */
	PLACE_ANNOUNCE_UNCHANGED, /* only its time differs */
	PLACE_ANNOUNCE_CHANGED
};

/*
 * Process an endpoint's announcement. Of announcements with the same id, the
 * one with the latest process start takes precedence, then the one with the
 * highest sequence number. Of endpoints with the same address, the one that
 * started last takes precedence.
 *
 * from_endpoint: received from the endpoint itself; a change is then passed on
 * to the other instances. False: it comes from the placer's table.
 */
enum place_announce_result place_announce(struct place *p, uint64_t now_us,
    const struct gw_announcement *a, bool from_endpoint);

/* Replace an endpoint by its entry in the placer's table. */
void place_apply_entry(
    struct place *p, uint64_t now_us, const struct gw_announcement *a);

/*
 * One and the count of orders at which the i-th endpoint, an engine, surely is
 * not about to unload any adapter that it holds; 0: that is not sure. An unload
 * left without an answer by this placer may come into effect at any time later,
 * but not at a count that was reached before. The next placer knows by it what
 * the engine holds, if that reports the same count.
 */
uint64_t place_get_held_at(const struct place *p, size_t i);
/* Take that over from the placer's table, for the process that started then. */
void place_apply_held_at(struct place *p, const char *id, uint64_t born_ms,
    uint64_t held_at_and_one);

/*
 * Set the interval of endpoints' announcements. A nonzero value makes this the
 * placer, which receives them. 0 makes it an entry, which does not remove
 * silent endpoints and bases its retry budget on its own requests.
 */
void place_set_heartbeat(struct place *p, uint32_t heartbeat_ms);
bool place_is_placer(const struct place *p);

/*
 * Mark the process of an endpoint that started at born_ms, or an earlier one,
 * as leaving. It gets no new work, whatever later announcements or another
 * placer's table say.
 */
void place_set_leaving(
    struct place *p, uint64_t now_us, const char *id, uint64_t born_ms);
/* Whether that was done for the process, or a later one of its id. */
bool place_is_marked_leaving(
    const struct place *p, const char *id, uint64_t born_ms);
/* The same, or it has left by place_set_left_before(). */
bool place_is_leaving(const struct place *p, const char *id, uint64_t born_ms);

/*
 * Mark the processes of an endpoint that had started by a time as leaving. For
 * a deregistration by a process whose start is not known; it holds for a
 * limited time.
 *
 * started_by_ms: in milliseconds since 1970, by the leader's clock.
 */
void place_set_left_before(
    struct place *p, uint64_t now_us, const char *id, uint64_t started_by_ms);
bool place_has_left_before(
    const struct place *p, const char *id, uint64_t born_ms);
/* Get the i-th of these marks, for a snapshot; false past the last one. */
bool place_left_before_at(
    const struct place *p, size_t i, const char **id, uint64_t *started_by_ms);
/*
 * Find the process of an endpoint that deregisters.
 *
 * born_ms: set to the start of the last process that is known at the id; 0:
 * none.
 * Returns true if that process has announced itself lately; otherwise another
 * one may have started since.
 */
bool place_find_process(
    struct place *p, uint64_t now_us, const char *id, uint64_t *born_ms);
/* The same, or a response has said so (place_record_notice()). */
bool place_is_known_leaving(
    const struct place *p, const char *id, uint64_t born_ms);

/*
 * What an endpoint's response to one entry said about further requests. It
 * holds for the process that responded.
 */
struct place_notice {
	const char *endpoint;
	uint64_t born_ms; /* start of that process */
	bool is_leaving; /* it takes no new request of any entry */
	uint32_t backoff_ms; /* it takes none of this entry for so long */
	bool has_invalid_limit; /* it names a rate limit that is unreadable */
};

/* A longer backoff is shortened to this time. */
#define PLACE_BACKOFF_MAX_MS 60000u

/*
 * Record a notice that an entry received. From then on the entry's requests are
 * granted accordingly; those that no endpoint will take in time are refused.
 * Unlike place_set_leaving(), a leaving endpoint is not part of the replicated
 * state.
 */
void place_record_notice(struct place *p, uint64_t now_us, uint64_t entry,
    const struct place_notice *notice);

/*
 * Whether the entry may send a request to the process of an endpoint that
 * started at born_ms. If not, out says why; its endpoint is the argument.
 */
bool place_may_send(const struct place *p, uint64_t now_us, uint64_t entry,
    const char *endpoint, uint64_t born_ms, struct place_notice *out);

/* ---- rate limits that endpoints name ------------------------------------ */

/*
 * How many requests a second an endpoint takes of all entries together, as its
 * responses say. A limit holds for the process that named it, until a response
 * to a later request names another one or none.
 */
struct place_limit {
	bool is_limited; /* false: it takes any number */
	uint32_t requests_per_s_milli; /* if is_limited */
};

/*
 * The part of the endpoints' limits that this instance may use, 0 to 1. The
 * parts of all instances that place requests on an endpoint add up to 1.
 */
struct place_limit_share {
	double fraction;
	/* tokens to begin with, so that entries do not all send at once */
	double first_tokens;
};
typedef struct place_limit_share (*place_limit_share_fn)(
    void *ctx, const char *service, const char *endpoint);

/* Set how the share is determined; NULL: the whole of each limit. */
void place_set_limit_share_fn(
    struct place *p, place_limit_share_fn share_fn, void *ctx);

/*
 * Apply the limit of an endpoint's process as another instance says, in the
 * table or in a message. What responses to this instance's own grants say goes
 * before it: while they are recent, or while it places all requests there.
 */
void place_apply_limit(struct place *p, uint64_t now_us, const char *id,
    uint64_t born_ms, const struct place_limit *limit, bool is_from_table);

/* What is known of an endpoint's limit; strings are the placer's. */
struct place_limit_info {
	const char *endpoint, *service;
	uint64_t born_ms;
	struct place_limit limit;
	double fraction; /* of it, that this instance may use */
	uint64_t teller; /* entry that was told last; 0: by another instance */
	uint64_t told_us; /* when */
	uint32_t waiting; /* requests that wait here for their adapters or it */
	uint64_t granted; /* requests since it was named, by this instance */
};

/* Describe the i-th endpoint's limit. */
void place_limit_get(
    const struct place *p, size_t i, struct place_limit_info *out);

/* Get the next limit that was named, changed or ended; false: there is none. */
bool place_pop_limit_change(struct place *p, struct place_limit_info *out);

/*
 * Get the next limit that this instance was told and that differs from the
 * table, so that the leader must be told; each at intervals. False: none.
 */
bool place_next_unpublished_limit(
    struct place *p, uint64_t now_us, struct place_limit_info *out);

/* Record an unreadable limit; true: the first one of this process. */
bool place_record_invalid_limit(
    struct place *p, const char *id, uint64_t born_ms);

/* Get the i-th leaving process, for a snapshot; false past the last one. */
bool place_leaving_at(
    const struct place *p, size_t i, const char **id, uint64_t *born_ms);

/* Remove an endpoint that left permanently; false if it is unknown. */
bool place_endpoint_leave(struct place *p, uint64_t now_us, const char *id);

/*
 * Remove an endpoint as the placer's table says.
 *
 * min_born_ms: the endpoint left; announcements of processes that started
 * earlier are ignored from now on. 0: it was silent and may return.
 */
void place_apply_removal(
    struct place *p, uint64_t now_us, const char *id, uint64_t min_born_ms);

/* The earliest process start accepted for an id that left; 0: any. */
uint64_t place_min_born_ms(const struct place *p, const char *id);

/*
 * Replace the whole table: begin, apply each entry of the new table, end. What
 * is known of an endpoint that is in both tables stays, such as the requests
 * that run there.
 *
 * heartbeat_ms: 0 if the new table lists all endpoints; others are removed. If
 * not, its placer has begun without a table and learns of endpoints by their
 * announcements, at this interval; others are removed unless it lists them
 * before they would count as silent.
 */
void place_begin_whole_table(struct place *p);
void place_end_whole_table(
    struct place *p, uint64_t now_us, uint32_t heartbeat_ms);

/*
 * Whether this placer has received announcements for long enough to know all
 * endpoints, since a time at which it may have known none.
 */
bool place_has_heard_all(
    const struct place *p, uint64_t now_us, uint64_t since_us);

size_t place_endpoint_count(const struct place *p);

/*
 * Describe the i-th endpoint as an announcement. Strings stay owned by the
 * placer; the list of loaded adapters is allocated from memory.
 */
void place_endpoint_get(const struct place *p, size_t i,
    struct gw_announcement *out, struct node_effects *memory);

/*
 * Get the next endpoint whose entry changed or that was removed; false if
 * there is none. id is valid until the next call.
 */
bool place_pop_change(struct place *p, const char **id, bool *gone);

/* Get the index of an endpoint; false if the id is unknown. */
bool place_endpoint_index(const struct place *p, const char *id, size_t *index);

/* ---- shares of a large fleet -------------------------------------------- */

/*
 * Several instances may place the requests of one service, each to the engines
 * that it owns. An owner knows the engines of other owners, but neither grants
 * nor orders them.
 */
struct place_ownership {
	bool is_owned; /* by this instance */
	/*
	 * No order before: an earlier owner may still order until then.
	 * UINT64_MAX: not known yet. It applies to engines that this instance
	 * did not own before.
	 */
	uint64_t order_from_us;
};
typedef struct place_ownership (*place_ownership_fn)(
    void *ctx, const char *service, const char *endpoint);

/* Set how ownership is determined; NULL: this instance owns all engines. */
void place_set_ownership_fn(
    struct place *p, place_ownership_fn ownership_fn, void *ctx);

/* Evaluate place_ownership_fn again for all endpoints, after a change. */
void place_update_ownership(struct place *p, uint64_t now_us);

/*
 * Set the number of instances that place, including this one; budgets are
 * divided by it. 0: engines are not divided among owners, or this instance owns
 * none.
 */
void place_set_owner_count(struct place *p, uint32_t owner_count);

/* Get the i-th endpoint; true if it is an engine. */
bool place_engine_at(
    const struct place *p, size_t i, const char **id, const char **service);

/* The mean time until a new prompt is processed by an engine owned here. */
uint32_t place_load_ms(const struct place *p);

/* Call back for the entry of each queued request, also repeatedly. */
void place_each_waiting_entry(
    const struct place *p, void (*call)(void *ctx, uint64_t entry), void *ctx);

/* ---- requests ----------------------------------------------------------- */

#define PLACE_AVOID_MAX 8

/* Identifies an entry's request; unique among the known requests. */
struct place_id {
	uint64_t entry; /* the entry's process */
	uint64_t ask;
};

struct place_request {
	struct place_id id;
	enum gw_kind kind;
	const char *service, *model, *adapter; /* NULL where there is none */
	uint32_t prompt_tokens, max_tokens;
	const struct gw_prompt_part *parts;
	size_t nparts;
	uint64_t deadline_us; /* refused if it is still queued by then */
	uint64_t target_us; /* end of its latency objective */
	uint32_t priority; /* 0 is the most urgent */
	const char *account; /* client account; NULL: none */
	uint32_t account_priority; /* goes before priority; 0 is first */
	uint32_t attempt; /* endpoints reached before; over 0: a repeat */
	bool may_redirect; /* if it is refused, another owner is asked */
	const char *data_centre; /* of the entry */
	const char *avoid[PLACE_AVOID_MAX]; /* endpoints not to be granted */
	size_t navoid;
};

/* Queue a request; the next place_run() decides on it. Strings are copied. */
void place_ask(
    struct place *p, uint64_t now_us, const struct place_request *request);

enum place_outcome {
	PLACE_FIRST_BYTE, /* the answer has begun; another outcome follows */
	PLACE_SERVED,
	PLACE_ENDPOINT_FAILED, /* the endpoint failed the request */
	PLACE_NOT_SENT, /* the endpoint was not reached; no byte was sent */
	PLACE_ENDPOINT_FULL, /* the endpoint refused because of its load */
	PLACE_STATE_MISMATCH, /* another process, or the adapter is missing */
	PLACE_ABANDONED /* the caller disconnected, or the entry gave up */
};

struct place_result {
	enum place_outcome outcome;
	uint32_t first_ms; /* from sending to the first byte; 0: unknown */
	bool load_told; /* the following fields are set */
	uint32_t running, waiting, slots;
	uint32_t work_percent; /* see struct gw_endpoint_response */
	bool limit_told; /* limit is what a response says */
	struct place_limit limit;
};

/* Record the outcome of a request; unknown requests are ignored. */
void place_done(struct place *p, uint64_t now_us, struct place_id id,
    const struct place_result *result);

/* Drop all requests of an entry's process that has ended. */
void place_drop_entry(struct place *p, uint64_t now_us, uint64_t entry);

/* ---- shares of accounts ------------------------------------------------- */

/* An account that has or had requests lately; strings are the placer's. */
struct place_account_info {
	const char *name; /* empty: requests without an account */
	double weight; /* share, in that of a mean account */
	uint64_t charge_milli; /* of requests that have ended here */
	uint32_t queued, running;
	uint32_t granted, refused; /* since the account is known */
};
size_t place_account_count(const struct place *p);
void place_account_get(
    const struct place *p, size_t i, struct place_account_info *out);

/*
 * Get the accounts whose charges have grown most since they were last got, at
 * most max of them, for a message to the other owners.
 */
size_t place_take_charges(
    struct place *p, struct place_account_info *out, size_t max);

/*
 * Apply what another owner's process has charged an account since it started,
 * so that shares hold over all owners.
 */
void place_set_remote_charge(struct place *p, uint64_t now_us, uint32_t owner,
    uint64_t process, const char *account, uint64_t total_milli);

/*
 * Gap in service, in charged tokens over weight, between accounts that all have
 * requests waiting for room.
 */
struct place_gap {
	uint64_t now_milli, largest_milli;
	uint64_t bound_milli; /* of the largest, by the rules */
	uint32_t backlogged; /* accounts */
};
void place_get_gap(const struct place *p, struct place_gap *out);

/* ---- orders ------------------------------------------------------------- */

/*
 * Whether the result of an order or report call is still awaited. It isn't if
 * the call was to an earlier process of the endpoint, or was made before
 * another placer was active. Such a result tells nothing of the present state.
 *
 * call: its number, from the decision.
 */
bool place_is_call_open(
    const struct place *p, const char *endpoint, uint64_t call);

/*
 * Record the result of an order.
 *
 * is_unanswered: no answer arrived; the order may still be carried out.
 */
void place_on_order_result(struct place *p, uint64_t now_us,
    const char *endpoint, enum gw_order_result result, bool is_unanswered);

/* Record a requested report; NULL: none was received. */
void place_on_report(struct place *p, uint64_t now_us, const char *endpoint,
    const struct gw_report *report);

/* ---- decisions ---------------------------------------------------------- */

enum place_decision_type {
	PLACE_GRANT,
	PLACE_WAIT, /* the request is queued; its decision follows */
	PLACE_REFUSE,
	PLACE_ORDER, /* send an order to an endpoint */
	PLACE_REPORT /* request a report from an endpoint */
};

/* The data behind a decision: about the best endpoint found for the request. */
struct place_basis {
	const char *endpoint; /* NULL: no endpoint was considered */
	uint32_t estimate_ms; /* to the first byte */
	uint32_t backlog_ms; /* unread prompts ahead of the request */
	uint32_t running; /* requests at the endpoint */
	uint32_t announcement_age_ms; /* of the endpoint's newest one */
	uint32_t saving_ms; /* expected, as its prompt is partly cached */
	bool needs_load; /* its adapter is neither loaded nor ordered */
	uint32_t pending_loads; /* in progress or queued, at all engines */
	uint32_t waited_ms; /* since the ask was received */
	uint32_t load_wait_ms; /* of these, time waiting for the adapter */
	const char *account; /* empty: none */
	bool is_late; /* it could not meet its objective */
	bool is_over_share; /* its account, by more than the deficit bound */
};

/* An entry's number for log lines, whose JSON readers take 63 bits. */
#define PLACE_LOG_ENTRY_ID(entry) ((unsigned long long)((entry)&INT64_MAX))

struct place_decision {
	enum place_decision_type type;
	struct place_id id; /* GRANT, WAIT, REFUSE */
	const char *endpoint, *address; /* GRANT, ORDER, REPORT */
	uint64_t born_ms; /* GRANT: start of the endpoint's process */
	uint64_t call; /* ORDER, REPORT: the number of this call */
	const char *service; /* ORDER: of the endpoint */
	uint32_t adapter_version, urgency; /* GRANT */
	const char *reason; /* REFUSE */
	uint32_t retry_after_ms; /* REFUSE */
	bool elsewhere; /* REFUSE: another owner may have room for it */
	struct gw_order order; /* ORDER, without holder and fence */
	struct place_basis basis; /* GRANT, REFUSE */
};

/*
 * Make all decisions that are possible now. Strings of decisions are valid
 * until the next call that changes the placer's state.
 *
 * may_order: this instance is the placer, and no other one can still order.
 */
void place_run(struct place *p, uint64_t now_us, bool may_order);

/* Get the next decision; false if there is none. */
bool place_pop_decision(struct place *p, struct place_decision *out);

/* The time at which place_run() is due if no event arrives before. */
uint64_t place_next_run_us(const struct place *p);

/*
 * Drop all requests and what is known of orders, because another placer has
 * been active meanwhile.
 */
void place_reset(struct place *p, uint64_t now_us);

/* Counters since the creation, and gauges; the node's metrics show them. */
struct place_totals {
	uint32_t endpoints, asked, granted, refused, waiting, running;
	uint32_t loads, cold_loads, unloads, weight_loads, reports, repeats;
	uint32_t repeats_denied, ejections;
	uint32_t examined_adapters; /* by runs, to find due loads */
	uint32_t estimates; /* of one request at one endpoint */
	uint32_t limited_endpoints; /* now */
	uint32_t limit_waits; /* requests that waited for a limit */
	uint32_t limit_refusals; /* requests refused for limits */
	uint32_t invalid_limits; /* responses with an unreadable one */
	uint32_t unfit_refusals; /* requests that no engine has room for ever */
	uint32_t late_calls_refused; /* they would have missed their deadline */
	uint32_t store_loads_late, store_loads_in_time; /* adapters' */
	uint32_t held; /* requests that wait for room at an engine, now */
	uint32_t late_grants; /* of requests that could not be in time */
	uint32_t share_refusals; /* no room in time for their account */
	uint32_t prefix_grants; /* with a part of the prompt expected cached */
	uint64_t prefix_tokens; /* of their prompts, expected cached */
	uint32_t prefetches; /* adapter loads that no request waited for */
	uint32_t prefetches_used; /* of these, requested once loaded */
};
void place_get_totals(const struct place *p, struct place_totals *out);

/*
 * What requests and adapters wait for, as of the last call. Metrics and log
 * lines carry these values under similar names.
 */
struct place_state {
	uint32_t engines, running;
	uint32_t unread_ms, unread_max_ms; /* prompts: mean and maximum */
	uint32_t waiting, oldest_ms; /* requests that are not granted */
	uint32_t wait_load; /* of these, waiting for an adapter */
	uint32_t wait_engine; /* waiting for an engine with room */
	uint32_t wait_call; /* calls of plain services */
	uint32_t loading, loading_max; /* from the store: now, and limit */
	uint32_t load_ms; /* of an adapter within that limit, as learned */
	uint32_t loads_late; /* so far, of those with a known time */
	uint32_t wanted; /* adapters to be loaded without an order yet */
	uint32_t held_call; /* of these: a call to the engine is in flight */
	uint32_t held_quiet; /* the engine gets no calls for a while */
	uint32_t held_report; /* its report is required first */
	uint32_t held_store; /* the store's limit is reached */
	uint32_t held_places; /* the engine has no free adapter slot yet */
};
void place_get_state(const struct place *p, struct place_state *out);

#ifdef __cplusplus
}
#endif

#endif
