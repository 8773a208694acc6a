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
 * Scheduler of an owner. An owner is the instance that decides for a set of
 * endpoints: which request runs next and on which endpoint, which adapters
 * are loaded and evicted, and which requests are refused.
 *
 * Terms:
 *   endpoint  an engine that serves adapters, or a plain service
 *   slot      place for one loaded adapter on an engine
 *   seat      place for one running request on an endpoint
 *   grant     permission to run one request on one endpoint
 *   pin       a grant that keeps its adapter from being evicted
 *   permit    permission to load one adapter from the store
 *   owner     see above; an earlier owner may have left grants behind
 *
 * The scheduler does no I/O and reads no clock. Callers pass the current
 * time and fetch the decisions. All times are microseconds of one monotonic
 * clock. The policies are "fair" and, for comparison, "fifo", "least-loaded"
 * and "round-robin".
 *
 * Not thread-safe. Strings that are passed in are copied.
 */
struct sched;

struct sched_options {
	const char *policy; /* name; NULL selects "fair" */
	enum settings_objective objective;
	enum settings_charge charge;
	uint32_t load_ms; /* expected duration of one load */
	uint64_t seed;
};

/*
 * Creates a scheduler without endpoints and without store permits.
 *
 * out: set to the scheduler, which the caller frees with sched_destroy(), or
 * to NULL on error.
 * Returns MP_OK, or MP_ERR_NOT_FOUND for an unknown policy name.
 */
int sched_create(struct sched **out, const struct sched_options *options,
    struct mp_error *err);

/* Frees a scheduler; NULL is allowed. */
void sched_destroy(struct sched *s);

/* ---- endpoints ---------------------------------------------------------- */

/* Phase of a request that an engine prefers to serve. */
enum sched_role {
	SCHED_MIXED,
	SCHED_PREFILL,
	SCHED_DECODE
};

/* One adapter that an endpoint reports to hold. */
struct sched_slot {
	const char *adapter; /* "team/adapter@version" */
	bool loading;
	uint32_t running; /* requests on it, as the endpoint reports */
};

/* State that an endpoint announces about itself. It may arrive late. */
struct sched_report {
	const char *id;
	uint64_t incarnation; /* of the endpoint's process; a new one is a cold
				 start */
	bool is_service; /* a plain service without adapters */
	const char *service_name; /* services only */
	const char *base_model; /* engines only */
	const char *data_centre; /* may be NULL */
	uint32_t slot_capacity; /* adapter slots that the engine has */
	uint32_t seats; /* sequences of one batch, or concurrent calls */
	uint32_t running, queued; /* requests, as the endpoint counts them */
	bool leaving; /* gets no new work */
	uint64_t as_of_us; /* when the figures were taken; 0: now */
	enum sched_role role;
	uint64_t cache_sequence; /* of its newest cache event; 0: unknown */
	const struct sched_slot *slots;
	size_t slot_count;
};

/*
 * Applies a report. An endpoint with an unknown id is added. A report that
 * is older than the newest one, or from the previous process of the
 * endpoint, is ignored.
 */
void sched_report(
    struct sched *s, uint64_t now_us, const struct sched_report *report);

/*
 * Removes an endpoint that is silent or has another owner now. No further
 * decisions name it. Its grants stay known until sched_finish_request().
 */
void sched_endpoint_remove(struct sched *s, uint64_t now_us, const char *id);

/*
 * Takes an endpoint over from an earlier owner. It may be given orders from
 * now on, but nothing is evicted there before a report that was taken after
 * evict_after_us: only such a report shows the runs of the earlier owner.
 */
void sched_endpoint_takeover(
    struct sched *s, uint64_t now_us, const char *id, uint64_t evict_after_us);

/* A change of the prompt prefixes that an engine holds in its cache. */
struct sched_cache_event {
	uint64_t incarnation; /* of the endpoint's process; 0: unknown */
	uint64_t sequence; /* counts from 1; a gap requires a resync */
	bool is_resync; /* prefixes is the complete set */
	bool dropped; /* the prefixes were dropped, else added */
	bool is_continuation; /* further part of the preceding event */
	const uint64_t *prefixes; /* hashes */
	size_t count;
};

/*
 * Applies a cache event. Late and duplicate events and those of another
 * process of the endpoint change nothing.
 *
 * Returns true when an event is missing, so that the caller must ask the
 * engine for a resync.
 */
bool sched_apply_cache_event(struct sched *s, uint64_t now_us, const char *id,
    const struct sched_cache_event *event);

/*
 * Whether a cache event of an endpoint is missing. Reports reveal missing
 * events too, so that this can become true without sched_apply_cache_event().
 */
bool sched_cache_has_gap(const struct sched *s, const char *id);

/*
 * Lists the prefixes that an engine is known to hold, in no order.
 *
 * out: receives at most max prefixes.
 * Returns the number of known prefixes, which may be more than max.
 */
size_t sched_cache_prefixes(
    const struct sched *s, const char *id, uint64_t *out, size_t max);

/* ---- requests ----------------------------------------------------------- */

#define SCHED_AVOID_MAX 4 /* endpoints that one request can exclude */

struct sched_request {
	uint64_t id; /* chosen by the caller, unique while known */
	const char *team; /* client account */
	double team_weight; /* for its fair share; 0: 1 */
	uint32_t team_max_concurrent; /* of the team here, 0: no limit */
	uint32_t priority; /* within the team, 0 first */
	double kind_weight; /* charge when requests are charged; 0: 1 */
	const char *adapter; /* NULL for a service call */
	const char *service; /* service calls only */
	const char *base_model; /* adapters only */
	bool pinned; /* the adapter should stay loaded */
	uint64_t deadline_us; /* for the first token; 0: none */
	uint64_t queued_us; /* when its wait began, here or elsewhere; 0: now */
	uint32_t prompt_tokens, max_tokens;
	uint64_t prefix; /* hash of the shared prompt prefix, 0: none */
	const char *avoid[SCHED_AVOID_MAX]; /* endpoint ids */
	size_t navoid;
};

/*
 * Adds a request to the queue; sched_run() decides about it. An id that is
 * known already is ignored.
 */
void sched_enqueue(
    struct sched *s, uint64_t now_us, const struct sched_request *request);

/*
 * Adds a grant that an earlier owner gave. It takes a seat and pins its
 * adapter until sched_finish_request().
 *
 * adapter: NULL for a service call.
 */
void sched_adopt_grant(struct sched *s, uint64_t now_us, uint64_t id,
    const char *team, const char *endpoint, const char *adapter);

enum sched_outcome {
	SCHED_DELIVERED,
	SCHED_FAILED, /* the endpoint failed it */
	SCHED_CANCELLED, /* the caller left, possibly while it was queued */
	SCHED_NOT_SENT, /* the endpoint was not reached */
	SCHED_NOT_LOADED, /* the engine does not hold the adapter */
	SCHED_BUSY /* the endpoint refused it because of its load */
};

struct sched_usage {
	enum sched_outcome outcome;
	uint32_t tokens_in, tokens_out;
	uint64_t first_us; /* from sending to the first token, 0: unknown */
	uint64_t total_us; /* from sending to the end, 0: unknown */
};

/*
 * Ends a queued or granted request: releases its seat and pin and charges
 * its team. An unknown id is ignored.
 */
void sched_finish_request(struct sched *s, uint64_t now_us, uint64_t id,
    const struct sched_usage *usage);

/* ---- loads -------------------------------------------------------------- */

/*
 * Sets this owner's share of the store permits, which the leader leases to
 * all owners from one bucket.
 *
 * in_flight: limit of concurrent loads.
 * rate_milli: limit of loads in thousandths per second.
 */
void sched_set_permits(
    struct sched *s, uint64_t now_us, uint32_t in_flight, uint32_t rate_milli);

/* Result of a SCHED_LOAD order. Results of unknown orders are ignored. */
void sched_load_result(struct sched *s, uint64_t now_us, const char *endpoint,
    const char *adapter, bool ok);

/*
 * Result of a SCHED_EVICT order. Results of unknown orders are ignored.
 *
 * ok: false when the engine refused because the adapter is still in use.
 */
void sched_evict_result(struct sched *s, uint64_t now_us, const char *endpoint,
    const char *adapter, bool ok);

/*
 * Lists the adapters that are loaded on an engine with a free seat and whose
 * slot is not being drained. The order is stable. The names are valid until
 * the next call that changes the state.
 *
 * out: receives at most max names.
 * skip: number of adapters to leave out at the start of the list.
 * Returns the number of such adapters, without regard to skip and max.
 */
size_t sched_list_available_adapters(
    const struct sched *s, const char **out, size_t skip, size_t max);

/*
 * Whether a request for the adapter would have to wait for a load that has
 * not been ordered yet.
 */
bool sched_needs_load(const struct sched *s, const char *adapter);

/* Demand for store permits, which is reported to the leader. */
struct sched_demand {
	uint32_t waiting; /* requests that wait for a load */
	uint64_t stall_us; /* sum of the time that they have waited */
	uint64_t weighted_stall_us; /* each team's part of stall_us times the
				       cube of its share factor */
	uint32_t in_flight; /* loads, and evictions that a load waits for */
};
void sched_get_demand(
    const struct sched *s, uint64_t now_us, struct sched_demand *out);

/* ---- decisions ---------------------------------------------------------- */

enum sched_decision_type {
	SCHED_GRANT, /* run the request on the endpoint */
	SCHED_REFUSE, /* the request is refused and no longer known */
	SCHED_ELSEWHERE, /* no endpoint here can run it: try another owner */
	SCHED_LOAD, /* order: load the adapter on the endpoint */
	SCHED_EVICT, /* order: evict the adapter from the endpoint */
	SCHED_SET_ROLE /* order: change the engine's role */
};

struct sched_decision {
	enum sched_decision_type type;
	uint64_t request; /* GRANT, REFUSE, ELSEWHERE */
	const char *endpoint; /* GRANT, LOAD, EVICT, SET_ROLE */
	const char *adapter; /* LOAD, EVICT */
	enum sched_role role; /* SET_ROLE */
	const char *reason; /* REFUSE: "deadline", "overload", "rate" */
	uint32_t retry_after_ms; /* REFUSE: estimate, at least 1 */
	uint64_t wait_us; /* GRANT: time in this queue */
	uint64_t stall_us; /* GRANT: part of wait_us caused by loading */
};

/*
 * Makes all decisions that are possible now. They are then fetched with
 * sched_take_decision().
 *
 * may_order: false: only refusals and SCHED_ELSEWHERE; no grant and no order.
 */
void sched_run(struct sched *s, uint64_t now_us, bool may_order);

/*
 * Fetches the next decision. Its strings are valid until the next call that
 * changes the state. Returns false when there is none.
 */
bool sched_take_decision(struct sched *s, struct sched_decision *out);

/*
 * Returns when sched_run() is to be called next even if nothing happens
 * until then (deadlines, permits, back-off), or UINT64_MAX for never.
 */
uint64_t sched_next_run_us(const struct sched *s);

/* ---- fairness across owners, statistics --------------------------------- */

/*
 * Applies the total that another owner reports to have charged a team, in
 * thousandths. The first total of an owner, and a total that has decreased
 * because that owner restarted, only serve as the base of the next.
 */
void sched_set_remote_charge(
    struct sched *s, uint32_t owner, const char *team, uint64_t charge_milli);

struct sched_team_usage {
	const char *team;
	uint64_t charge_milli; /* total, settled */
	uint32_t queued, running; /* requests */
	uint32_t load_milli; /* queued and running requests, in thousandths of
				the team's fair share of the engines' seats */
};
size_t sched_team_count(const struct sched *s);

/* i: below sched_team_count(). */
void sched_team_at(
    const struct sched *s, size_t i, struct sched_team_usage *out);

struct sched_totals {
	uint32_t engines, services, queued, running;
	uint32_t seats, free; /* of engines */
	uint64_t loads, load_failures, evictions;
	uint64_t stall_us; /* sum over granted requests */
	uint32_t wait_p90_ms; /* of recent grants */
	uint64_t largest_gap_milli; /* service gap of backlogged teams */
};
void sched_get_totals(
    const struct sched *s, uint64_t now_us, struct sched_totals *out);

/* Services that have an endpoint here that is not leaving. */
size_t sched_service_count(const struct sched *s);

/* Returns the name of the i-th service, or NULL when i is out of range. */
const char *sched_service_at(const struct sched *s, size_t i);

/* Appends a JSON array of the endpoints with their slots, pins and seats. */
void sched_endpoints_to_json(const struct sched *s, struct buf *out);

/*
 * Whether no request is queued or granted. An instance that leaves waits for
 * this.
 */
bool sched_is_idle(const struct sched *s);

#ifdef __cplusplus
}
#endif

#endif
