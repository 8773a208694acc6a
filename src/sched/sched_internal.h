#ifndef MP_SCHED_SCHED_INTERNAL_H
#define MP_SCHED_SCHED_INTERNAL_H

#include "sched/sched.h"
#include "sched/sched_guard.h"
#include "util/hist.h"
#include "util/map.h"
#include "util/rng.h"

#define SCHED_NEVER	UINT64_MAX
#define SCHED_MS_US	1000ULL
#define SCHED_SECOND_US 1000000ULL

/* Slots whose run ended lately remember so many of the runs. */
#define SCHED_SLOT_RUNS_MAX 16
/* A report may be so much older than its age says: it was on its way. */
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

/* Endpoints that may stand for one another: one base model or service. */
struct pool {
	char *name;
	bool is_service;
	struct endpoint **endpoints;
	uint32_t count, cap;
	uint32_t cursor; /* where a bounded walk begins */
	uint32_t seats; /* of endpoints that are not leaving */
	uint32_t grants; /* grants outstanding */
	double mean_service_us, mean_first_us; /* means of delivered requests */
	double prompt_tokens, output_tokens; /* decayed sums */
	uint64_t mix_updated_us; /* of the decayed sums */
	uint64_t role_changed_us; /* of the last role change */
	uint64_t wanted_since_us; /* how long the mix has asked for a change */
	int wanted_change;
};

enum slot_state {
	SLOT_FREE,
	SLOT_LOADING,
	SLOT_LOADED,
	SLOT_EVICTING
};

struct slot {
	struct adapter *adapter; /* NULL when free */
	struct adapter *claimant; /* claims the slot after its eviction */
	enum slot_state state;
	bool holds_permit; /* the load in flight holds a store permit */
	struct adapter
	    *drained_for; /* no new grants: this one needs the slot */
	bool is_missing; /* the engine said it does not hold the adapter */
	uint32_t pins; /* grants outstanding */
	uint32_t reported_running; /* running by the last report */
	uint64_t reported_us; /* when that was taken */
	uint64_t changed_us; /* last change by own account */
	uint64_t last_used_us; /* last grant or load */
	uint64_t report_needed_after_us; /* a run ended undelivered: wait for a
					    report */
	uint64_t loaded_us; /* when it was loaded */
	struct slot_run
	    recent_runs[SCHED_SLOT_RUNS_MAX]; /* ring of delivered runs */
	uint32_t nruns;
};

struct prefix_set {
	uint64_t *table; /* open addressing, 0 is empty; twice the room */
	uint64_t *ring; /* order of insertion */
	uint32_t capacity, ring_head, ring_used; /* of the ring */
	uint32_t count; /* of prefixes held */
};

struct endpoint {
	char *id;
	uint32_t serial; /* never reused */
	uint32_t cold_start_count; /* counts cold starts */
	uint64_t incarnation, previous_incarnation;
	bool is_service, leaving, removed, has_reported;
	char *data_centre;
	struct pool *pool;
	uint32_t pool_index;
	uint32_t seats;
	uint32_t usable_slots; /* usable by loads */
	struct slot **slots;
	uint32_t slot_count, slot_cap;
	uint32_t grants; /* grants outstanding */
	uint32_t reported_running; /* by the last report */
	uint64_t last_estimate; /* of the estimate that looked at it last */
	uint32_t foreign_runs; /* runs of an earlier owner */
	uint64_t foreign_expires_us;
	double limit; /* adaptive, at most seats */
	uint64_t limit_cut_us;
	double mean_latency_us; /* slow mean of calls */
	uint64_t penalty_until_us;
	uint32_t penalties;
	uint64_t as_of_us; /* of the newest report */
	uint64_t detached_us; /* when a slot was last emptied */
	uint64_t evict_after_us; /* 0: evictions are allowed */
	bool taken_over; /* another owner may have runs on it */
	enum sched_role role, role_wanted;
	struct prefix_set prefixes;
	uint64_t cache_sequence; /* of the newest event heard */
	uint64_t reported_cache_sequence; /* the same, by the last report */
	bool has_cache_gap;
};

struct adapter_location {
	struct endpoint *ep;
	struct slot *slot;
};

struct backoff {
	uint32_t endpoint_serial; /* serial */
	uint32_t failures;
	uint64_t until_us;
};

/* An adapter; also a service, which every endpoint of its pool holds. */
struct adapter {
	char *name;
	struct pool *pool;
	struct team *last_team; /* of the last request */
	bool is_service;
	bool keep_loaded; /* requests want it kept loaded */
	struct adapter_location
	    *locations; /* slots that hold it, loading ones too */
	uint32_t nlocations, location_cap;
	uint32_t loaded_slots; /* of these, loaded */
	uint32_t pending_loads; /* loads in flight and claims */
	struct flow *flows;
	uint32_t waiting, running;
	uint64_t queued_us_sum; /* of queued_us of the waiting */
	double request_rate; /* requests a second, decayed */
	uint64_t rate_updated_us;
	double refused_stall_us; /* patience of those refused, decayed,
				    microseconds */
	uint64_t refused_stall_updated_us;
	uint64_t loaded_us; /* when it was last loaded after not being so */
	uint32_t load_failures;
	uint64_t retry_us;
	struct backoff *backoffs;
	uint32_t nbackoffs;
	struct slot *draining_slot; /* being emptied for this adapter */
};

/* Waiting requests of one team for one adapter, by rank. */
struct flow {
	struct team *team;
	struct adapter *adapter;
	struct item *head, *tail;
	uint32_t count;
	uint64_t no_seat_run, no_load_run; /* runs in which there was none */
	struct flow *team_prev, *team_next;
	struct flow *adapter_next;
};

struct remote_charge {
	uint32_t owner;
	uint64_t total_milli;
};

struct team {
	char *name;
	double weight;
	uint32_t max_concurrent;
	double counter; /* charge over weight */
	double
	    unbounded_counter; /* the same without bounds, to report the gap */
	uint64_t charge_milli; /* settled */
	uint32_t queued, running;
	struct flow *flows;
	bool is_flooding; /* far above the others, as of this run */
	bool is_active; /* in the list of active teams */
	uint32_t active_index;
	double request_rate;
	uint64_t rate_updated_us;
	double mean_output_tokens;
	struct remote_charge *remote_charges;
	size_t nremote_charges;
};

enum item_state {
	ITEM_QUEUED,
	ITEM_GRANTED
};

struct item {
	uint64_t id;
	enum item_state state;
	bool is_new; /* not seen by a run yet */
	struct team *team;
	struct adapter *adapter; /* NULL for an adopted service call */
	struct flow *flow;
	struct item *prev, *next; /* in the flow */
	struct item *arrival_prev, *arrival_next; /* in order of arrival */
	uint32_t heap_index;
	uint64_t recheck_us; /* key of the heap */
	uint64_t rank_us; /* aged priority */
	uint64_t arrival; /* of arrival */
	uint64_t enqueued_us, queued_us, deadline_us;
	uint64_t estimated_wait_us; /* the wait that was expected at first */
	bool estimate_has_load; /* of it, the wait for a load */
	uint32_t prompt_tokens, max_tokens;
	uint64_t prefix;
	double kind_weight;
	uint32_t avoid[SCHED_AVOID_MAX]; /* serials */
	uint32_t navoid;
	struct endpoint *ep; /* granted on, or assigned by a baseline */
	struct slot *slot;
	uint32_t cold_start_count;
	uint64_t granted_us;
	double provisional_charge; /* charge until it is settled */
};

struct slot_claim {
	struct endpoint *ep;
	struct slot *slot;
};

struct sched {
	struct policy *policy;
	struct sched_options options;
	struct rng rng;
	struct map *endpoints; /* id */
	struct map *pools; /* kind and name */
	struct map *adapters; /* kind and name */
	struct map *teams;
	struct map *items; /* request id */
	uint32_t last_serial;
	struct team **active_teams;
	uint32_t nactive, active_cap;
	double active_weight; /* sum, as of the last run */
	struct item *arrival_head, *arrival_tail;
	uint32_t queued, running;
	struct item **heap;
	uint32_t heap_count, heap_cap;
	double
	    counter_floor; /* counter that a team back from idle is lifted to */
	double mean_charge; /* of a request, over weight */
	uint64_t largest_gap_milli;
	double request_rate; /* of all requests, decayed */
	uint64_t rate_updated_us;
	uint32_t permit_in_flight, permit_rate_milli;
	uint64_t last_load_us; /* 0: none yet */
	uint32_t loads_in_flight; /* loads */
	double mean_load_value; /* mean value of a load when it is ordered */
	double estimate_margin[2]; /* what estimates lack: of seats, of loads */
	double mean_load_wait_us; /* mean wait for a load, with the load */
	struct slot_claim *claims;
	uint32_t nclaims, claim_cap;
	uint32_t draining_slots; /* slots being emptied */

	uint64_t *orphaned_loads; /* ends of loads on endpoints that are gone */
	uint32_t norphaned_loads, orphaned_load_cap;
	struct sched_decision *decisions;
	size_t decision_head, decision_count, decision_cap;
	struct endpoint **removed_endpoints;
	uint32_t nremoved, removed_cap;
	bool recheck_all; /* endpoints went: look at all waiting requests */
	uint64_t next_us;
	uint64_t run_count; /* counts runs */
	uint64_t estimate_count; /* counts estimates */
	uint64_t arrivals;
	uint64_t next_role_check_us;
	size_t sweep_index;
	uint64_t loads, load_failures, evictions, stall_us;
	struct hist waits, previous_waits; /* ms; two windows */
	uint64_t waits_since_us; /* when the newer window began */
};

/* Grow an array of a type to hold one more. */
#define SCHED_GROW(array, count, cap, type)                                    \
	do {                                                                   \
		if ((count) == (cap)) {                                        \
			(cap) = (cap) == 0 ? 8 : (cap)*2;                      \
			(array) = mem_resize((array), (cap), sizeof(type));    \
		}                                                              \
	} while (0)

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
bool team_may_run(const struct team *t);
double team_deficit_bound(const struct sched *s);
void team_mark_flooding(struct sched *s, uint64_t now_us);
bool team_is_over_share(
    const struct sched *s, const struct team *t, const struct pool *p);

double team_share_factor(
    const struct sched *s, const struct team *t, uint64_t now);
void team_start_backlog(struct sched *s, struct team *t);
void team_update_gap(struct sched *s);

/* sched_endpoint.c */
struct pool *pool_get(struct sched *s, bool service, const char *name);
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
    struct sched *s, bool service, const char *name, struct pool *pool);
struct adapter *adapter_find(
    const struct sched *s, bool service, const char *name);
void adapter_free(struct adapter *a);
void adapter_note_request(struct sched *s, struct adapter *a, uint64_t now_us);
double rate_at(double rate, uint64_t rate_us, uint64_t now_us);
void rate_add(double *rate, uint64_t *rate_us, uint64_t now_us);
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
    uint64_t ghost_until_us);

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
