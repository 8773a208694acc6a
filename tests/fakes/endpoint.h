#ifndef MP_TESTS_FAKES_ENDPOINT_H
#define MP_TESTS_FAKES_ENDPOINT_H

#include "fakes/fake.h"
#include "util/map.h"
#include "util/rng.h"

/* A stand-in endpoint: a model engine or a plain service. */

#define ENDPOINT_SNAPSHOTS   64
#define ENDPOINT_SNAPSHOT_MS 100

struct endpoint;

/* One adapter slot of the engine. */
struct slot {
	char *key; /* NULL: free */
	bool loading;
	unsigned running;
	uint64_t load_call; /* under way at the store, 0: none */
	uint64_t *waiters; /* requests answered when the load ends */
	size_t nwaiters;
	uv_timer_t load_delay; /* --load-ms after the store's answer */
	struct endpoint *endpoint;
};

/* One generation, running or queued. */
struct run {
	uint64_t request; /* of our server */
	char *id; /* Mulberrypath-Request */
	char *key, *prompt;
	unsigned next_token, max_tokens, priority, nevents_sent;
	uint64_t prefix, ready_ms; /* prefill ends then */
	uint64_t arrival;
	struct slot *slot;
	bool seated,
	    has_lost_tokens; /* has_lost_tokens: tokens were not sent */
	struct run *next;
};

/* What can be changed over POST /fake/set. */
struct faults {
	uint64_t silent_until_connection; /* those up to it get no byte */
	bool silent_all;
	unsigned break_after; /* tokens of each stream, 0: never */
	double fail_loads;
	bool wrong_model, drop_announce;
};

struct counts {
	uint64_t loads, failed_loads, evictions, evictions_in_use;
	uint64_t steps, sequences, adapters, tokens, cancelled, gone;
	uint64_t stale_orders, stale_runs, refused;
};

struct endpoint {
	uv_loop_t loop;
	struct http_server *server;
	struct http_client *client;
	char address[64];
	uint64_t incarnation;
	struct rng rng;

	const char *id, *data_centre, *region, *type, *service, *listen;
	const char *announce, *token, *store, *fencing, *base_model;
	double slot_count, seats, step_ms, adapter_ms, prefill_us;
	double extra_load_ms, report_lag_ms, gap_every, seed, service_ms;
	double cache_capacity;
	bool evict_blindly;

	struct faults faults;
	struct counts counts;
	uint64_t newest_connection, newest_fence, last_call;
	char role[16];
	bool leaving;
	uint64_t idle_since_ms;

	struct slot *slots;
	struct run *runs; /* in order of arrival */
	size_t nrunning, nqueued;
	uint64_t arrivals;
	uv_timer_t step_timer;
	bool stepping;

	struct map *runs_by_id; /* counters of runs per request id */
	struct map *calls_by_key; /* counters per idempotency key */
	struct map *kv_prompts; /* prompt text per request id */
	uint64_t *cached_prefixes; /* least recently used first */
	size_t ncached_prefixes;
	uint64_t cache_sequence;
	json_t *cache_added, *cache_dropped; /* not yet published */

	uv_timer_t announce_timer, snapshot_timer, publish_timer;
	uv_signal_t stop_signal;
	char *targets[16], *owner; /* of announcements */
	size_t ntargets, current_target;
	uint64_t announce_call;
	bool full_announcements; /* it knows no short ones */
	json_t *announced_state; /* as the owner knows it; NULL: tell all */
	uint64_t announce_sequence;
	struct buf announce_response;
	int announce_status;
	size_t announce_failures; /* since the last tick */
	struct {
		uint64_t at_ms;
		size_t running, queued;
	} snapshots[ENDPOINT_SNAPSHOTS];
	size_t nsnapshots;
};

/* Count one under a key; the new count is returned. */
unsigned counter_add(struct map *counters, const char *key);

/* ---- slots.c: adapters, orders and fences ---- */

void slots_init(struct endpoint *e);
struct slot *slots_find(struct endpoint *e, const char *key);
void slots_on_call(struct endpoint *e, const struct node_call_event *ev);
/* False when the order was refused for its old fencing number. */
bool fence_check(struct endpoint *e, uint64_t request, uint64_t *stale);
void slots_load(struct endpoint *e, const struct node_request *r);
void slots_evict(struct endpoint *e, const struct node_request *r);
void slots_set_role(struct endpoint *e, const struct node_request *r);

/* ---- runs.c: the batch ---- */

void runs_start(struct endpoint *e, const struct node_request *r);
void runs_cancel(struct endpoint *e, const struct node_request *r);
/* The caller has hung up. */
void runs_on_disconnect(struct endpoint *e, uint64_t request);
/* Cut every run that uses a slot. */
void runs_abort_on_slot(struct endpoint *e, const struct slot *slot);

/* ---- prefix.c: prefix cache and KV ---- */

/* Note a use of a prefix; true when it was cached. */
bool prefix_record_use(struct endpoint *e, uint64_t prefix);
void prefix_list(struct endpoint *e, const struct node_request *r);
void prefix_publish(struct endpoint *e);
void kv_store_prompt(struct endpoint *e, const struct run *run);
void kv_serve(struct endpoint *e, const struct node_request *r);

/* ---- announce.c ---- */

void announce_start(struct endpoint *e);
void announce_send(struct endpoint *e);
void announce_stop(struct endpoint *e);
void announce_on_call(struct endpoint *e, const struct node_call_event *ev);
/* What differs from e->announced_state, which then says the same. */
json_t *announce_build_delta(struct endpoint *e, const json_t *full);
/* Post JSON to an instance of the system. */
uint64_t announce_post(struct endpoint *e, const char *path, json_t *body);

/* ---- service.c ---- */

void service_call(struct endpoint *e, const struct node_request *r);

/* ---- control.c ---- */

void control_set(struct endpoint *e, const struct node_request *r);
void control_state(struct endpoint *e, const struct node_request *r);
/* Whether a request gets no byte at all. */
bool control_is_silent(const struct endpoint *e, uint64_t request);

#endif
