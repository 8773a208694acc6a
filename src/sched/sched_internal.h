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
#define SCHED_SLOT_ENDS 16
/* A report may be so much older than its age says: it was on its way. */
#define SCHED_REPORT_LATE_US 300000ULL

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
	bool service;
	struct endpoint **endpoints;
	uint32_t count, cap;
	uint32_t cursor; /* where a bounded walk begins */
	uint32_t seats; /* of endpoints that are not leaving */
	uint32_t running; /* grants outstanding */
	double service_us, first_us; /* means of delivered requests */
	double prompt_tokens, output_tokens; /* decayed sums */
	uint64_t mix_us; /* of the decayed sums */
	uint64_t role_us; /* of the last role change */
	uint64_t mix_since_us; /* how long the mix has asked for a change */
	int mix_want;
};

enum slot_state {
	SLOT_FREE,
	SLOT_LOADING,
	SLOT_LOADED,
	SLOT_EVICTING
};

struct slot {
	struct adapter *adapter; /* NULL when free */
	struct adapter *next; /* claims the slot after its eviction */
	enum slot_state state;
	bool ordered; /* the load in flight holds a store permit */
	struct adapter *draining; /* no new grants: this one needs the slot */
	bool lost; /* the engine said it does not hold the adapter */
	uint32_t pins; /* grants outstanding */
	uint32_t reported; /* running by the last report */
	uint64_t reported_us; /* when that was taken */
	uint64_t changed_us; /* last change by own account */
	uint64_t used_us; /* last grant or load */
	uint64_t unsure_us; /* a run ended undelivered: wait for a report */
	uint64_t ready_us; /* when it was loaded */
	struct slot_run ends[SCHED_SLOT_ENDS]; /* ring of delivered runs */
	uint32_t nends;
};

struct prefix_set {
	uint64_t *table; /* open addressing, 0 is empty; twice the room */
	uint64_t *ring; /* order of insertion */
	uint32_t room, head, used; /* of the ring */
	uint32_t count; /* of prefixes held */
};

struct endpoint {
	char *id;
	uint32_t serial; /* never reused */
	uint32_t epoch; /* counts cold starts */
	uint64_t incarnation, old_incarnation;
	bool service, leaving, removed, known;
	char *data_centre;
	struct pool *pool;
	uint32_t pool_index;
	uint32_t seats;
	uint32_t nslots; /* usable by loads */
	struct slot **slots;
	uint32_t slot_count, slot_cap;
	uint32_t used; /* grants outstanding */
	uint32_t running; /* by the last report */
	uint64_t mark; /* of the estimate that looked at it last */
	uint32_t foreign; /* runs of an earlier owner */
	uint64_t foreign_until_us;
	double limit; /* adaptive, at most seats */
	uint64_t limit_cut_us;
	double latency_us; /* slow mean of calls */
	uint64_t penalty_until_us;
	uint32_t penalties;
	uint64_t as_of_us; /* of the newest report */
	uint64_t detached_us; /* when a slot was last emptied */
	uint64_t evict_after_us; /* 0: evictions are allowed */
	bool taken; /* another owner may have runs on it */
	enum sched_role role, role_wanted;
	struct prefix_set prefixes;
	uint64_t cache_sequence; /* of the newest event heard */
	uint64_t cache_told; /* the same, by the last report */
	bool cache_gap;
};

struct residence {
	struct endpoint *ep;
	struct slot *slot;
};

struct backoff {
	uint32_t endpoint; /* serial */
	uint32_t failures;
	uint64_t until_us;
};

/* An adapter; also a service, which every endpoint of its pool holds. */
struct adapter {
	char *name;
	struct pool *pool;
	struct team *team; /* of the last request */
	bool service;
	bool keep; /* requests want it kept loaded */
	struct residence *at; /* slots that hold it, loading ones too */
	uint32_t nat, at_cap;
	uint32_t loaded; /* of these, loaded */
	uint32_t loading; /* loads in flight and claims */
	struct flow *flows;
	uint32_t waiting, running;
	uint64_t waiting_sum; /* of queued_us of the waiting */
	double rate; /* requests a second, decayed */
	uint64_t rate_us;
	double lost; /* patience of those refused, decayed, microseconds */
	uint64_t lost_us;
	uint64_t ready_us; /* when it was last loaded after not being so */
	uint32_t failures;
	uint64_t retry_us;
	struct backoff *backoffs;
	uint32_t nbackoffs;
	struct slot *drain; /* being emptied for this adapter */
};

/* Waiting requests of one team for one adapter, by rank. */
struct flow {
	struct team *team;
	struct adapter *adapter;
	struct item *head, *tail;
	uint32_t count;
	uint64_t no_seat, no_load; /* runs in which there was none */
	struct flow *team_prev, *team_next;
	struct flow *adapter_next;
};

struct remote {
	uint32_t owner;
	uint64_t total_milli;
};

struct team {
	char *name;
	double weight;
	uint32_t concurrent;
	double counter; /* charge over weight */
	double served; /* the same without bounds, to report the gap */
	uint64_t charge_milli; /* settled */
	uint32_t queued, running;
	struct flow *flows;
	bool flooding; /* far above the others, as of this run */
	bool active; /* in the list of active teams */
	uint32_t active_index;
	double rate;
	uint64_t rate_us;
	double output_mean;
	struct remote *remotes;
	size_t nremotes;
};

enum item_state {
	ITEM_QUEUED,
	ITEM_GRANTED
};

struct item {
	uint64_t id;
	enum item_state state;
	bool fresh; /* not seen by a run yet */
	struct team *team;
	struct adapter *adapter; /* NULL for an adopted service call */
	struct flow *flow;
	struct item *prev, *next; /* in the flow */
	struct item *all_prev, *all_next; /* in order of arrival */
	uint32_t heap_index;
	uint64_t check_us; /* key of the heap */
	uint64_t rank; /* aged priority */
	uint64_t order; /* of arrival */
	uint64_t enqueued_us, queued_us, deadline_us;
	uint64_t admit_us; /* the wait that was expected at first */
	bool admit_load; /* of it, the wait for a load */
	uint32_t prompt_tokens, max_tokens;
	uint64_t prefix;
	double kind_weight;
	uint32_t avoid[SCHED_AVOID_MAX]; /* serials */
	uint32_t navoid;
	struct endpoint *ep; /* granted on, or assigned by a baseline */
	struct slot *slot;
	uint32_t epoch;
	uint64_t granted_us;
	double provisional; /* charge until it is settled */
};

struct claim {
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
	uint32_t serial;
	struct team **active;
	uint32_t nactive, active_cap;
	double active_weight; /* sum, as of the last run */
	struct item *all_head, *all_tail;
	uint32_t queued, running;
	struct item **heap;
	uint32_t heap_count, heap_cap;
	double floor; /* counter that a team back from idle is lifted to */
	double charge_mean; /* of a request, over weight */
	uint64_t largest_gap_milli;
	double rate; /* of all requests, decayed */
	uint64_t rate_us;
	uint32_t permit_in_flight, permit_rate_milli;
	uint64_t last_load_us; /* 0: none yet */
	uint32_t in_flight; /* loads */
	double load_price; /* mean value of a load when it is ordered */
	double admit_fit[2]; /* what estimates lack: of seats, of loads */
	double reload_us; /* mean wait for a load, with the load */
	struct claim *claims;
	uint32_t nclaims, claim_cap;
	uint32_t drains; /* slots being emptied */

	uint64_t *ghosts; /* ends of loads on endpoints that are gone */
	uint32_t nghosts, ghost_cap;
	struct sched_decision *decisions;
	size_t decision_head, decision_count, decision_cap;
	struct endpoint **graveyard;
	uint32_t ngraves, grave_cap;
	bool refit; /* endpoints went: look at all waiting requests */
	uint64_t next_us;
	uint64_t run; /* counts runs */
	uint64_t marks; /* counts estimates */
	uint64_t arrivals;
	uint64_t role_check_us;
	size_t sweep;
	uint64_t loads, load_failures, evictions, stall_us;
	struct hist waits, waits_before; /* ms; two windows */
	uint64_t waits_us; /* when the newer window began */
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
struct sched_decision *sched_decide(
    struct sched *s, enum sched_decision_type type);
void sched_wake(struct sched *s, uint64_t at_us);
void sched_grant(struct sched *s, uint64_t now_us, struct item *it,
    struct endpoint *ep, struct slot *slot);

/* sched_item.c */
void item_enqueue(struct sched *s, struct item *it);
void item_dequeue(struct sched *s, struct item *it);
void item_free(struct sched *s, struct item *it);
void item_check_at(struct sched *s, struct item *it, uint64_t at_us);
struct item *item_next_check(const struct sched *s);
bool item_before(const struct item *a, const struct item *b);
bool item_avoids(const struct item *it, const struct endpoint *ep);

/* sched_team.c */
struct team *team_get(struct sched *s, const char *name);
void team_activate(struct sched *s, struct team *t, uint64_t now_us);
void team_idle(struct sched *s, const struct team *t);
void team_weigh(struct sched *s);
void team_prune(struct sched *s, uint64_t now_us);
void team_free(struct team *t);
double team_estimate(const struct sched *s, const struct item *it);
void team_charge(struct sched *s, struct team *t, double charge);
void team_settle(
    struct sched *s, struct item *it, const struct sched_usage *usage);
bool team_may_run(const struct team *t);
double team_bound(const struct sched *s);
void team_note_floods(struct sched *s, uint64_t now_us);
bool team_floods(
    const struct sched *s, const struct team *t, const struct pool *p);

double team_share(const struct sched *s, const struct team *t, uint64_t now);
void team_backlog(struct sched *s, struct team *t);
void team_note_gap(struct sched *s);

/* sched_endpoint.c */
struct pool *sched_pool_get(struct sched *s, bool service, const char *name);
struct endpoint *endpoint_get(struct sched *s, const char *id);
struct endpoint *endpoint_find(const struct sched *s, const char *id);
void endpoint_free(struct endpoint *ep);
uint32_t endpoint_free_seats(const struct endpoint *ep);
bool endpoint_usable(
    struct sched *s, const struct endpoint *ep, uint64_t now_us);
bool endpoint_fits(const struct endpoint *ep, const struct item *it);
bool pool_fits(const struct pool *p, const struct item *it);
void endpoint_done(struct sched *s, struct endpoint *ep, uint64_t now_us,
    const struct sched_usage *usage);

/* sched_slot.c */
struct slot *slot_find(const struct endpoint *ep, const struct adapter *a);
struct slot *slot_vacant(struct endpoint *ep);
void slot_attach(struct endpoint *ep, struct slot *slot, struct adapter *a,
    enum slot_state state, uint64_t now_us);
void slot_loaded(struct slot *slot, uint64_t now_us);
void slot_detach(
    struct sched *s, struct endpoint *ep, struct slot *slot, uint64_t now_us);
struct slot *slot_adopt(
    struct endpoint *ep, struct adapter *a, uint64_t now_us);
void slot_drain(struct sched *s, struct slot *slot, struct adapter *a);
void slot_drain_end(struct sched *s, struct slot *slot);
void slot_unpin(struct sched *s, struct endpoint *ep, struct slot *slot,
    uint64_t now_us, uint64_t granted_us, enum sched_outcome outcome);
void slot_merge(struct sched *s, struct endpoint *ep, uint64_t now_us,
    const struct sched_report *report, uint64_t as_of_us);
bool slot_claimed(const struct endpoint *ep, const struct adapter *a);
bool slot_evictable(const struct endpoint *ep, const struct slot *slot);
void slot_reset_all(struct sched *s, struct endpoint *ep, uint64_t now_us);

/* sched_adapter.c */
struct adapter *adapter_get(
    struct sched *s, bool service, const char *name, struct pool *pool);
struct adapter *adapter_find(
    const struct sched *s, bool service, const char *name);
void adapter_free(struct adapter *a);
void adapter_note(struct sched *s, struct adapter *a, uint64_t now_us);
double rate_at(double rate, uint64_t rate_us, uint64_t now_us);
void rate_add(double *rate, uint64_t *rate_us, uint64_t now_us);
void adapter_failed(struct sched *s, struct adapter *a,
    const struct endpoint *ep, uint64_t now_us);
uint64_t adapter_retry_at(const struct adapter *a, const struct endpoint *ep);
void adapter_note_lost(
    struct adapter *a, uint64_t now_us, uint64_t patience_us);
double adapter_lost_us(const struct adapter *a, uint64_t now_us);
void adapter_sweep(struct sched *s, uint64_t now_us);

/* sched_load.c */
bool load_permitted(struct sched *s, uint64_t now_us);
uint64_t load_spacing_us(const struct sched *s);
void load_claims_run(struct sched *s, uint64_t now_us);
bool load_order(
    struct sched *s, uint64_t now_us, struct endpoint *ep, struct adapter *a);
struct slot *load_victim(struct sched *s, uint64_t now_us, struct endpoint *ep,
    const struct adapter *for_adapter, double *cost);
void load_forget(struct sched *s, struct endpoint *ep, struct slot *slot,
    uint64_t ghost_until_us);

/* sched_admit.c */
void admit_run(struct sched *s, uint64_t now_us);
uint64_t admit_wait_us(struct sched *s, const struct item *it, uint64_t now_us);
void admit_note_price(struct sched *s, double value);
void admit_note_wait(
    struct sched *s, const struct item *it, uint64_t now_us, bool served);

/* sched_cache.c */
bool prefix_has(const struct prefix_set *set, uint64_t prefix);
void prefix_add(struct prefix_set *set, uint64_t prefix);
void prefix_remove(struct prefix_set *set, uint64_t prefix);
void prefix_clear(struct prefix_set *set);
void cache_reported(struct endpoint *ep, uint64_t sequence, bool first);

/* sched_stat.c */
void stat_wait(struct sched *s, uint64_t now_us, uint64_t wait_us);

/* sched_role.c */
void role_note(struct pool *p, uint64_t now_us, uint32_t in, uint32_t out);
void role_run(struct sched *s, uint64_t now_us);

#endif
