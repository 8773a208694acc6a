#ifndef MP_SCHED_SCHED_INTERNAL_H
#define MP_SCHED_SCHED_INTERNAL_H

#include "fair/fair.h"
#include "sched/sched.h"
#include "sched/sched_guard.h"
#include "util/hist.h"
#include "util/map.h"
#include "util/rng.h"

/*
 * Data model. An endpoint is a member of one pool, and an engine holds
 * adapters in its slots. A request is an item: queued in the flow of its team
 * and adapter, or granted on an endpoint, where it pins its slot.
 *
 * A load that needs an eviction first claims the slot: the adapter is the
 * claimant of the slot until the eviction has ended and the load starts.
 *
 * Decayed sums and rates are stored with the time of their last update, see
 * rate_at().
 */

#define SCHED_NEVER	UINT64_MAX /* a time that never comes */
#define SCHED_MS_US	1000ULL /* microseconds of a millisecond */
#define SCHED_SECOND_US 1000000ULL /* microseconds of a second */

/* Recently ended runs that are remembered for each slot. */
#define SCHED_SLOT_RUNS_MAX 16
/* Upper limit of a report's transit time, which its age does not include. */
#define SCHED_REPORT_DELAY_US 300000ULL

struct slot_run {
	uint64_t granted_us, ended_us;
};

struct adapter;
struct endpoint;
struct flow;
struct item;
struct policy;
struct team;

/* Interchangeable endpoints: all of one base model or of one service. */
struct pool {
	char *name;
	bool is_service;
	struct endpoint **endpoints;
	uint32_t count, cap; /* of endpoints */
	uint32_t cursor; /* where a search of limited length begins */
	uint32_t seats; /* of endpoints that are not leaving */
	uint32_t grants; /* outstanding */
	double mean_service_us, mean_first_us; /* of delivered requests */

	/* Choice of roles, see sched_role.c. */
	double prompt_tokens, output_tokens; /* decayed sums */
	uint64_t mix_updated_us; /* of the decayed sums */
	uint64_t role_changed_us; /* last order to change a role */
	uint64_t wanted_since_us; /* since when wanted_change has its value */
	int wanted_change; /* of the number of prefill engines: -1, 0, 1 */
};

enum slot_state {
	SLOT_FREE,
	SLOT_LOADING,
	SLOT_LOADED,
	SLOT_EVICTING
};

struct slot {
	struct adapter *adapter; /* NULL when free */
	struct adapter *claimant; /* loaded here after the eviction, or NULL */
	enum slot_state state;
	bool holds_permit; /* a load that this owner ordered is in flight */

	/* Adapter that needs the slot: no new grants until it is evicted. */
	struct adapter *drained_for;
	bool is_missing; /* the engine refused a request: not loaded */
	uint32_t pins; /* grants outstanding */
	uint32_t reported_running; /* requests, by the newest report */
	uint64_t reported_us; /* when that report was taken */
	uint64_t changed_us; /* last change of state by this owner */
	uint64_t last_used_us; /* last grant or load */

	/*
	 * A run ended undelivered, or an eviction was refused, at this time:
	 * the slot may be in use until a later report shows otherwise.
	 */
	uint64_t report_needed_after_us;
	uint64_t loaded_us; /* when the adapter was loaded */

	/* Ring of delivered runs; nruns counts all that were added. */
	struct slot_run recent_runs[SCHED_SLOT_RUNS_MAX];
	uint32_t nruns;
};

/* Bounded set of prefix hashes that drops the oldest ones. */
struct prefix_set {
	uint64_t *table; /* 2 * capacity, open addressing, 0 is empty */
	uint64_t *ring; /* order of insertion; may list removed prefixes */
	uint32_t capacity, ring_head, ring_used; /* of the ring */
	uint32_t count; /* prefixes in the table */
};

struct endpoint {
	char *id;
	uint32_t serial; /* identifies the endpoint, never reused */
	uint32_t cold_start_count;
	uint64_t incarnation, previous_incarnation; /* of its process */
	bool is_service, leaving, removed, has_reported;
	char *data_centre;
	struct pool *pool; /* NULL before the first report */
	uint32_t pool_index; /* in pool->endpoints */
	uint32_t seats;
	uint32_t usable_slots; /* limit of slots in use; slot_count may be
				  higher */
	struct slot **slots;
	uint32_t slot_count, slot_cap;
	uint32_t grants; /* outstanding */
	uint32_t reported_running; /* requests, by the newest report */
	uint64_t last_estimate; /* number of the estimate that marked it */

	/* Runs of an earlier owner; UINT32_MAX before they are known. */
	uint32_t foreign_runs;
	uint64_t foreign_expires_us;
	double limit; /* adaptive limit of concurrent requests, at most seats */
	uint64_t limit_cut_us; /* when it was last reduced */
	double mean_latency_us; /* slow moving mean of delivered calls */
	uint64_t penalty_until_us; /* no grants before */
	uint32_t penalties; /* since the last delivered call */
	uint64_t as_of_us; /* when the newest report was taken */
	uint64_t detached_us; /* when a slot was last emptied */
	uint64_t evict_after_us; /* see sched_endpoint_takeover(); 0: evictions
				    are allowed */
	bool taken_over; /* an earlier owner may have runs on it */
	enum sched_role role, role_wanted;
	struct prefix_set prefixes;
	uint64_t cache_sequence; /* of the newest event received */
	uint64_t reported_cache_sequence; /* by the newest report */
	bool has_cache_gap; /* an event is missing: a resync is needed */
};

/* Slot that holds an adapter. */
struct adapter_location {
	struct endpoint *ep;
	struct slot *slot;
};

/* Pause of loads of one adapter on one endpoint after failures. */
struct backoff {
	uint32_t endpoint_serial;
	uint32_t failures;
	uint64_t until_us;
};

/*
 * An adapter; also a service, which each endpoint of its pool provides
 * without a load.
 */
struct adapter {
	char *name;
	struct pool *pool;
	struct team *last_team; /* of the newest request */
	bool is_service;
	bool keep_loaded; /* the newest request wants it to stay loaded */

	/* Slots that hold it or load it. */
	struct adapter_location *locations;
	uint32_t nlocations, location_cap;
	uint32_t loaded_slots; /* loaded or evicting */
	uint32_t pending_loads; /* loads in flight and slot claims */
	struct flow *flows;
	uint32_t waiting, running; /* requests */
	uint64_t queued_us_sum; /* sum of queued_us of the waiting requests */
	double request_rate; /* requests per second, decayed */
	uint64_t rate_updated_us;

	/* Stall that refused requests would have suffered, decayed. */
	double refused_stall_us;
	uint64_t refused_stall_updated_us;
	uint64_t loaded_us; /* last change from no loaded slot to one */
	uint32_t load_failures; /* in a row */
	uint64_t retry_us; /* no loads before, on any endpoint */
	struct backoff *backoffs;
	uint32_t nbackoffs;
	struct slot *draining_slot; /* that is drained for it, or NULL */
};

/* Queued requests of one team for one adapter, ordered by rank. */
struct flow {
	struct team *team;
	struct adapter *adapter;
	struct item *head, *tail;
	uint32_t count;

	/* Last runs that found no seat for it, and no load. */
	uint64_t no_seat_run, no_load_run;
	struct flow *team_prev, *team_next;
	struct flow *adapter_next;
};

/* A client account. */
struct team {
	struct fair_account *account; /* share, charges and requests */
	struct flow *flows;
	bool is_flooding; /* demand far above the others', as of this run */
	double request_rate; /* requests per second, decayed */
	uint64_t rate_updated_us;
	double mean_output_tokens; /* 0: unknown */
};

enum item_state {
	ITEM_QUEUED,
	ITEM_GRANTED
};

/* A queued or granted request. */
struct item {
	uint64_t id;
	enum item_state state;
	bool is_new; /* no run has checked it yet */
	struct team *team;
	struct adapter *adapter; /* NULL for an adopted service call */
	struct flow *flow; /* while queued */
	struct item *prev, *next; /* in the flow */
	struct item *arrival_prev, *arrival_next; /* of all queued requests */
	uint32_t heap_index; /* in the heap of rechecks */
	uint64_t recheck_us; /* key of the heap */
	uint64_t rank_us; /* queued_us plus a penalty for low priority */
	uint64_t arrival; /* number in order of arrival */
	uint64_t enqueued_us; /* start of the wait here */
	uint64_t queued_us; /* start of the wait, also at other owners */
	uint64_t deadline_us; /* for the first token, or SCHED_NEVER */
	uint64_t estimated_wait_us; /* first estimate, without margin */
	bool estimate_has_load; /* the estimate includes a load */
	uint32_t prompt_tokens, max_tokens;
	uint64_t prefix; /* hash, 0: none */
	double kind_weight; /* charge when requests are charged */
	uint32_t avoid[SCHED_AVOID_MAX]; /* serials of endpoints */
	uint32_t navoid;
	struct endpoint *ep; /* granted on, or chosen by policy_queue */
	struct slot *slot;
	uint32_t cold_start_count; /* of the endpoint when granted */
	uint64_t granted_us;
	double provisional_charge; /* until it is settled */
};

/* Slot that is evicted for a load, see slot.claimant. */
struct slot_claim {
	struct endpoint *ep;
	struct slot *slot;
};

struct sched {
	struct policy *policy;
	struct sched_options options;
	struct rng rng;
	struct map *endpoints; /* by id */
	struct map *pools; /* by kind and name */
	struct map *adapters; /* by kind and name */
	struct map *teams; /* by name */
	struct map *items; /* by request id */
	uint32_t last_serial; /* of endpoints */
	struct fair *fair; /* accounts; the context of each is its team */
	double active_weight; /* sum of the active teams, as of this run */
	struct item *arrival_head, *arrival_tail; /* queued requests */
	uint32_t queued, running; /* requests */
	struct item **heap; /* queued requests by recheck_us */
	uint32_t heap_count, heap_cap;
	double request_rate; /* of all teams, per second, decayed */
	uint64_t rate_updated_us;
	uint32_t permit_in_flight, permit_rate_milli;
	uint64_t last_load_us; /* 0: none yet */
	uint32_t loads_in_flight;
	double mean_load_value; /* of a load when it is ordered, see
				   admit_note_load_value() */

	/*
	 * Margin on top of estimated waits, as a part of the estimate: [0]
	 * for waits for a seat, [1] for waits for a load.
	 */
	double estimate_margin[2];
	double mean_load_wait_us; /* for a load, including the load */
	struct slot_claim *claims; /* in order of the evictions */
	uint32_t nclaims, claim_cap;
	uint32_t draining_slots;

	/* Loads on removed endpoints: when each is assumed to have ended. */
	uint64_t *orphaned_loads;
	uint32_t norphaned_loads, orphaned_load_cap;
	struct sched_decision *decisions;
	size_t decision_head, decision_count, decision_cap;

	/* Freed once no decision refers to them. */
	struct endpoint **removed_endpoints;
	uint32_t nremoved, removed_cap;
	bool recheck_all; /* an endpoint was lost: check all queued requests */
	uint64_t next_us; /* next run, see sched_next_run_us() */
	uint64_t run_count;
	uint64_t estimate_count;
	uint64_t arrivals;
	uint64_t next_role_check_us;
	size_t sweep_index; /* see adapter_sweep_idle() */
	uint64_t loads, load_failures, evictions, stall_us; /* totals */
	struct hist waits, previous_waits; /* ms, of two successive windows */
	uint64_t waits_since_us; /* start of the newer window */
};

/* Makes room for one more element at the end of a growing array. */
#define SCHED_GROW(array, count, cap, type)                                    \
	do {                                                                   \
		if ((count) == (cap)) {                                        \
			(cap) = (cap) == 0 ? 8 : (cap)*2;                      \
			(array) = mem_resize((array), (cap), sizeof(type));    \
		}                                                              \
	} while (0)

/* The functions below are described at their definitions. */

/* sched.c */
struct sched_decision *sched_add_decision(
    struct sched *s, enum sched_decision_type type);
void sched_wake_at(struct sched *s, uint64_t at_us);
void sched_grant(struct sched *s, uint64_t now_us, struct item *it,
    struct endpoint *ep, struct slot *slot);

/* sched_item.c */
void item_enqueue(struct sched *s, struct item *it);
void item_dequeue(struct sched *s, struct item *it);
void item_free(struct sched *s, struct item *it);
void item_schedule_recheck(struct sched *s, struct item *it, uint64_t at_us);
struct item *item_next_recheck(const struct sched *s);
bool item_before(const struct item *a, const struct item *b);
bool item_avoids(const struct item *it, const struct endpoint *ep);

/* sched_team.c */
struct fair *team_create_fair(const struct sched_options *options);
struct team *team_get(struct sched *s, const char *name);
void team_activate(struct sched *s, struct team *t, uint64_t now_us);
void team_note_idle(struct sched *s, const struct team *t);
void team_sum_weights(struct sched *s);
void team_prune_idle(struct sched *s, uint64_t now_us);
void team_free(struct team *t);
double team_estimate_charge(const struct sched *s, const struct item *it);
void team_add_charge(struct sched *s, struct team *t, double charge);
void team_settle_charge(
    struct sched *s, struct item *it, const struct sched_usage *usage);
uint32_t team_active_count(const struct sched *s);
struct team *team_active_at(const struct sched *s, uint32_t i);
bool team_may_run(const struct team *t);
double team_deficit_bound(const struct sched *s);
void team_mark_flooding(struct sched *s, uint64_t now_us);
bool team_is_over_share(
    const struct sched *s, const struct team *t, const struct pool *p);

double team_share_factor(
    const struct sched *s, const struct team *t, uint64_t now_us);

/* sched_endpoint.c */
struct pool *pool_get(struct sched *s, bool is_service, const char *name);
struct endpoint *endpoint_get(struct sched *s, const char *id);
struct endpoint *endpoint_find(const struct sched *s, const char *id);
void endpoint_free(struct endpoint *ep);
uint32_t endpoint_free_seats(const struct endpoint *ep);
bool endpoint_is_usable(
    struct sched *s, const struct endpoint *ep, uint64_t now_us);
bool endpoint_can_run(const struct endpoint *ep, const struct item *it);
bool pool_can_run(const struct pool *p, const struct item *it);
void endpoint_note_outcome(struct sched *s, struct endpoint *ep,
    uint64_t now_us, const struct sched_usage *usage);

/* sched_slot.c */
struct slot *slot_find(const struct endpoint *ep, const struct adapter *a);
struct slot *slot_get_vacant(struct endpoint *ep);
void slot_attach(struct endpoint *ep, struct slot *slot, struct adapter *a,
    enum slot_state state, uint64_t now_us);
void slot_mark_loaded(struct slot *slot, uint64_t now_us);
void slot_detach(
    struct sched *s, struct endpoint *ep, struct slot *slot, uint64_t now_us);
struct slot *slot_adopt(
    struct endpoint *ep, struct adapter *a, uint64_t now_us);
void slot_start_drain(struct sched *s, struct slot *slot, struct adapter *a);
void slot_end_drain(struct sched *s, struct slot *slot);
void slot_unpin(struct sched *s, struct endpoint *ep, struct slot *slot,
    uint64_t now_us, uint64_t granted_us, enum sched_outcome outcome);
void slot_merge_report(struct sched *s, struct endpoint *ep, uint64_t now_us,
    const struct sched_report *report, uint64_t as_of_us);
bool slot_is_claimed(const struct endpoint *ep, const struct adapter *a);
bool slot_is_evictable(const struct endpoint *ep, const struct slot *slot);
void slot_reset_all(struct sched *s, struct endpoint *ep, uint64_t now_us);

/* sched_adapter.c */
struct adapter *adapter_get(
    struct sched *s, bool is_service, const char *name, struct pool *pool);
struct adapter *adapter_find(
    const struct sched *s, bool is_service, const char *name);
void adapter_free(struct adapter *a);
void adapter_note_request(struct sched *s, struct adapter *a, uint64_t now_us);
double rate_at(double rate, uint64_t updated_us, uint64_t now_us);
void rate_add(double *rate, uint64_t *updated_us, uint64_t now_us);
void adapter_note_load_failure(struct sched *s, struct adapter *a,
    const struct endpoint *ep, uint64_t now_us);
uint64_t adapter_retry_us(const struct adapter *a, const struct endpoint *ep);
void adapter_note_refusal(
    struct adapter *a, uint64_t now_us, uint64_t patience_us);
double adapter_refused_stall_us(const struct adapter *a, uint64_t now_us);
void adapter_sweep_idle(struct sched *s, uint64_t now_us);

/* sched_load.c */
bool load_is_permitted(struct sched *s, uint64_t now_us);
uint64_t load_spacing_us(const struct sched *s);
void load_run_claims(struct sched *s, uint64_t now_us);
bool load_order(
    struct sched *s, uint64_t now_us, struct endpoint *ep, struct adapter *a);
struct slot *load_find_victim(struct sched *s, uint64_t now_us,
    struct endpoint *ep, const struct adapter *for_adapter, double *cost);
void load_release(struct sched *s, struct endpoint *ep, struct slot *slot,
    uint64_t orphan_until_us);

/* sched_admit.c */
void admit_run(struct sched *s, uint64_t now_us);
uint64_t admit_estimate_wait_us(
    struct sched *s, const struct item *it, uint64_t now_us);
void admit_note_load_value(struct sched *s, double value);
void admit_update_margin(
    struct sched *s, const struct item *it, uint64_t now_us, bool served);

/* sched_cache.c */
bool prefix_has(const struct prefix_set *set, uint64_t prefix);
void prefix_add(struct prefix_set *set, uint64_t prefix);
void prefix_remove(struct prefix_set *set, uint64_t prefix);
void prefix_clear(struct prefix_set *set);
void cache_note_report(struct endpoint *ep, uint64_t sequence, bool first);

/* sched_stat.c */
void stat_add_wait(struct sched *s, uint64_t now_us, uint64_t wait_us);

/* sched_role.c */
void role_note_tokens(
    struct pool *p, uint64_t now_us, uint32_t in, uint32_t out);
void role_run(struct sched *s, uint64_t now_us);

#endif
