#ifndef MP_SCHED_SCHED_H
#define MP_SCHED_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/error.h"
#include "mulberrypath/settings.h"
#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The decisions of an owner over its endpoints: whose request runs next,
 * where, which adapters are loaded and evicted, what is refused. Pure: time
 * comes in, decisions go out. Each policy stands behind a vtable beside its
 * baselines ("fair", "fifo", "least-loaded", "round-robin").
 */
struct sched;

struct sched_options {
	const char *policy;
	enum settings_objective objective;
	enum settings_charge charge;
	uint32_t load_ms; /* expected time of one load */
	uint64_t seed;
};

/* Errors: MP_ERR_NOT_FOUND (policy name). */
int sched_create(struct sched **out, const struct sched_options *options,
    struct mp_error *err);
void sched_destroy(struct sched *s);

/* ---- endpoints ---------------------------------------------------------- */

enum sched_role {
	SCHED_MIXED,
	SCHED_PREFILL,
	SCHED_DECODE
};

struct sched_slot {
	const char *adapter; /* "team/adapter@version" */
	bool loading;
	uint32_t running; /* requests on it, by the endpoint's word */
};

/* An endpoint's announcement; also its late load report. */
struct sched_report {
	const char *id;
	uint64_t incarnation; /* of the endpoint's process; new: cold start */
	bool is_service; /* a plain service, no adapters */
	const char *service_name;
	const char *base_model;
	const char *data_centre;
	uint32_t slot_capacity; /* adapter slots */
	uint32_t seats; /* sequences of one batch, or concurrent calls */
	uint32_t running, queued;
	bool leaving;
	uint64_t as_of_us; /* when the figures were taken; 0: now */
	enum sched_role role;
	uint64_t cache_sequence; /* of its newest cache event; 0: not said */
	const struct sched_slot *slots;
	size_t slot_count;
};

/* Take a report; an unknown id is added. */
void sched_report(
    struct sched *s, uint64_t now_us, const struct sched_report *report);

/* The endpoint is gone (silent, or owned by another): no more decisions. */
void sched_endpoint_remove(struct sched *s, uint64_t now_us, const char *id);

/*
 * Orders to this endpoint may be given from now on, but nothing may be
 * evicted before a report that is taken after evict_after_us.
 */
void sched_endpoint_takeover(
    struct sched *s, uint64_t now_us, const char *id, uint64_t evict_after_us);

/* Cache events of an engine: prefixes now held or dropped. */
struct sched_cache_event {
	uint64_t incarnation; /* of the endpoint's process; 0: not said */
	uint64_t sequence; /* counts from 1; a gap asks for a resync */
	bool is_resync; /* the prefixes that follow are all there are */
	bool dropped;
	bool is_continuation; /* a further part of the event before it */
	const uint64_t *prefixes;
	size_t count;
};
/* True when the engine must be asked for a resync. */
bool sched_apply_cache_event(struct sched *s, uint64_t now_us, const char *id,
    const struct sched_cache_event *event);
/* The same, without an event: a report can tell of events that are lost. */
bool sched_cache_has_gap(const struct sched *s, const char *id);

/*
 * The prefixes that an engine is known to hold, in no order.
 *
 * out: at most max of them.
 * Returns how many there are.
 */
size_t sched_cache_prefixes(
    const struct sched *s, const char *id, uint64_t *out, size_t max);

/* ---- requests ----------------------------------------------------------- */

#define SCHED_AVOID_MAX 4

struct sched_request {
	uint64_t id; /* the caller's handle, unique while known */
	const char *team;
	double team_weight;
	uint32_t
	    team_max_concurrent; /* most at once per team here, 0: no limit */
	uint32_t priority; /* within the team, 0 first */
	double kind_weight; /* charge when requests are charged */
	const char *adapter; /* NULL for a service call */
	const char *service;
	const char *base_model;
	bool pinned; /* keep the adapter loaded */
	uint64_t deadline_us; /* the first token is useless after it */
	uint64_t queued_us; /* when it began to wait, also elsewhere */
	uint32_t prompt_tokens, max_tokens;
	uint64_t prefix; /* hash of the shared prompt prefix, 0 none */
	const char *avoid[SCHED_AVOID_MAX]; /* endpoint ids */
	size_t navoid;
};

/* Enter the queue; decisions come from sched_run(). Strings are copied. */
void sched_enqueue(
    struct sched *s, uint64_t now_us, const struct sched_request *request);

/* A grant taken over from an earlier owner: it pins its adapter. */
void sched_adopt_grant(struct sched *s, uint64_t now_us, uint64_t id,
    const char *team, const char *endpoint, const char *adapter);

enum sched_outcome {
	SCHED_DELIVERED,
	SCHED_FAILED, /* the endpoint failed it */
	SCHED_CANCELLED, /* the caller left; also while still queued */
	SCHED_NOT_SENT, /* the endpoint was not reached */
	SCHED_NOT_LOADED, /* the engine does not hold the adapter after all */
	SCHED_BUSY /* the endpoint refused for load */
};

struct sched_usage {
	enum sched_outcome outcome;
	uint32_t tokens_in, tokens_out;
	uint64_t first_us; /* from sending to the first token, 0 unknown */
	uint64_t total_us;
};

/* A request ended: its pin goes, its team is charged. Unknown ids: ignored. */
void sched_finish_request(struct sched *s, uint64_t now_us, uint64_t id,
    const struct sched_usage *usage);

/* ---- loads -------------------------------------------------------------- */

/* Store permits of this owner, as leased from the one bucket. */
void sched_set_permits(
    struct sched *s, uint64_t now_us, uint32_t in_flight, uint32_t rate_milli);

/* An order's outcome; busy: an eviction was refused as still in use. */
void sched_load_result(struct sched *s, uint64_t now_us, const char *endpoint,
    const char *adapter, bool ok);
void sched_evict_result(struct sched *s, uint64_t now_us, const char *endpoint,
    const char *adapter, bool ok);

/*
 * Adapters loaded on an engine with a seat free and not being emptied, in a
 * steady order; names live until the next call that changes the state.
 *
 * out: at most max names; skip: so many of them are passed over first.
 * Returns how many there are in all.
 */
size_t sched_list_available_adapters(
    const struct sched *s, const char **out, size_t skip, size_t max);

/* Whether a request for it would wait for a load that is not under way. */
bool sched_needs_load(const struct sched *s, const char *adapter);

/* Demand for permits, told to the leader. */
struct sched_demand {
	uint32_t waiting;
	uint64_t stall_us; /* already suffered by the waiting requests */
	uint64_t
	    weighted_stall_us; /* of it, by the cube of each team's share */
	uint32_t in_flight;
};
void sched_get_demand(
    const struct sched *s, uint64_t now_us, struct sched_demand *out);

/* ---- decisions ---------------------------------------------------------- */

enum sched_decision_type {
	SCHED_GRANT, /* request runs on endpoint */
	SCHED_REFUSE, /* request is given up now */
	SCHED_ELSEWHERE, /* no fit endpoint here: let it try another owner */
	SCHED_LOAD, /* order: load adapter on endpoint */
	SCHED_EVICT, /* order: evict adapter from endpoint */
	SCHED_SET_ROLE /* order: change the engine's role */
};

struct sched_decision {
	enum sched_decision_type type;
	uint64_t request; /* GRANT, REFUSE, ELSEWHERE */
	const char *endpoint; /* GRANT, LOAD, EVICT, SET_ROLE */
	const char *adapter; /* LOAD, EVICT */
	enum sched_role role;
	const char *reason; /* REFUSE: "deadline", "overload", "rate" */
	uint32_t retry_after_ms; /* REFUSE: honest estimate */
	uint64_t wait_us; /* GRANT: time in this queue */
	uint64_t stall_us; /* GRANT: part of it due to loading */
};

/*
 * Decide all that can be decided now.
 *
 * may_order: false: no load, eviction or role change, and no grant.
 * Decisions are taken one by one with sched_take_decision(); strings live until
 * the next call that changes the state.
 */
void sched_run(struct sched *s, uint64_t now_us, bool may_order);
bool sched_take_decision(struct sched *s, struct sched_decision *out);

/* When sched_run() is wanted next without new events (deadlines, permits). */
uint64_t sched_next_run_us(const struct sched *s);

/* ---- fairness over owners, reports ------------------------------------- */

/* Total charge of a team elsewhere, as its owners report, in thousandths. */
void sched_set_remote_charge(
    struct sched *s, uint32_t owner, const char *team, uint64_t charge_milli);

struct sched_team_usage {
	const char *team;
	uint64_t charge_milli;
	uint32_t queued, running;
	uint32_t load_milli; /* both over its fair share of engines' seats */
};
size_t sched_team_count(const struct sched *s);
void sched_team_at(
    const struct sched *s, size_t i, struct sched_team_usage *out);

struct sched_totals {
	uint32_t engines, services, queued, running;
	uint32_t seats, free; /* of engines */
	uint64_t loads, load_failures, evictions;
	uint64_t stall_us; /* summed over granted requests */
	uint32_t wait_p90_ms;
	uint64_t largest_gap_milli; /* service gap of backlogged teams */
};
void sched_get_totals(
    const struct sched *s, uint64_t now_us, struct sched_totals *out);

/* Names of services with an endpoint here that is not leaving. */
size_t sched_service_count(const struct sched *s);
const char *sched_service_at(const struct sched *s, size_t i);

/* JSON array of endpoints with slots, pins and seats. */
void sched_endpoints_to_json(const struct sched *s, struct buf *out);

/* Work queued or running; an instance that leaves waits for none. */
bool sched_is_idle(const struct sched *s);

#ifdef __cplusplus
}
#endif

#endif
