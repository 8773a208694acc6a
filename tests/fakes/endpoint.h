#ifndef MP_TESTS_FAKES_ENDPOINT_H
#define MP_TESTS_FAKES_ENDPOINT_H

#include "fakes/fake.h"
#include "util/map.h"
#include "util/rng.h"

/*
 * Stand-in for an endpoint: a model engine that serves LoRA adapters, or a
 * plain service (--type service). It announces itself to an instance, follows
 * its orders and lets tests inject faults. Test program, runs on one thread.
 */

/* Load figures are recorded in a ring at this interval. */
#define ENDPOINT_SNAPSHOTS   64
#define ENDPOINT_SNAPSHOT_MS 100

struct endpoint;

/* An adapter slot of the engine: room for the weights of one adapter. */
struct slot {
	char *key; /* NULL: free */
	bool loading;
	unsigned running; /* runs that use the slot, also queued ones */
	uint64_t load_call; /* call in progress to the store; 0: none */
	uint64_t *waiters; /* requests that wait for the load */
	size_t nwaiters;
	uv_timer_t load_delay; /* --load-ms after the store's response */
	struct endpoint *endpoint;
};

/*
 * A run: one generation, seated or queued. A seat is a place in the batch that
 * the engine processes in each step.
 */
struct run {
	uint64_t request; /* id in the HTTP server */
	char *id; /* header mulberrypath-request; empty: none */
	char *key; /* of the adapter */
	char *prompt;
	unsigned next_token; /* index, starts at the request's offset */
	unsigned max_tokens; /* the run ends at this index */
	unsigned priority; /* lower numbers are seated first */
	unsigned nevents_sent;
	uint64_t prefix; /* hash; 0: none */
	uint64_t ready_ms; /* time when the prefill is complete */
	uint64_t arrival; /* serial number */
	struct slot *slot;
	bool seated;
	bool has_lost_tokens; /* tokens were not sent while silent */
	struct run *next;
};

/* Faults that POST /fake/set injects. */
struct faults {
	/* Connections up to this serial number receive no response. */
	uint64_t silent_until_connection;
	bool silent_all;
	/* Abort each stream after this many events; 0: never. */
	unsigned break_after;
	double fail_loads; /* probability, 0 to 1 */
	bool wrong_model; /* respond as a different adapter */
	bool drop_announce; /* send no announcements and events */
};

/* Counters of GET /fake/state. */
struct counts {
	uint64_t loads, failed_loads, evictions;
	uint64_t evictions_in_use; /* evictions that aborted runs */
	uint64_t steps;
	uint64_t sequences, adapters; /* in the batch, summed over steps */
	uint64_t tokens, cancelled;
	uint64_t gone; /* requests whose client disconnected */
	uint64_t stale_orders, stale_runs; /* accepted in spite of the fence */
	uint64_t refused;
};

/*
 * The endpoint. Text and numbers from id to evict_blindly are the command line
 * options of the same or a similar name.
 */
struct endpoint {
	uv_loop_t loop;
	struct http_server *server;
	struct http_client *client;
	char address[64];
	uint64_t incarnation; /* random number of this process */
	struct rng rng;

	const char *id, *data_centre, *region, *type, *service, *listen;
	const char *announce, *token, *store, *fencing, *base_model;
	double slot_count, seats;
	double step_ms, adapter_ms; /* per step; per adapter in the batch */
	double prefill_us; /* per token of the prompt */
	double extra_load_ms; /* added to each load */
	double report_lag_ms; /* age of the announced load figures */
	double gap_every; /* omit each N-th cache event; 0: none */
	double seed, service_ms;
	double cache_capacity; /* prefixes */
	bool evict_blindly; /* also evict adapters in use */

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

	struct map *runs_by_id; /* run counts by request id */
	struct map *calls_by_key; /* call counts by idempotency key */
	struct map *kv_prompts; /* prompt text by request id */
	uint64_t *cached_prefixes; /* least recently used first */
	size_t ncached_prefixes;
	uint64_t cache_sequence;
	json_t *cache_added, *cache_dropped; /* not yet published */

	uv_timer_t announce_timer, snapshot_timer, publish_timer;
	uv_signal_t stop_signal;
	char *targets[16], *owner; /* addresses to announce to */
	size_t ntargets, current_target;
	uint64_t announce_call;
	bool full_announcements; /* send no deltas */
	json_t *announced_state; /* state the owner has; NULL: unknown */
	uint64_t announce_sequence;
	struct buf announce_response;
	int announce_status;
	size_t announce_failures; /* since the last announce_timer */
	struct {
		uint64_t at_ms;
		size_t running, queued;
	} snapshots[ENDPOINT_SNAPSHOTS];
	size_t nsnapshots;
};

/* Increment the counter of a key and return the new count. */
unsigned counter_add(struct map *counters, const char *key);

/* ---- slots.c: adapters, orders and fences ---- */

/* Allocate the slots, all free. */
void slots_init(struct endpoint *e);
/* Find the slot of a loaded adapter; NULL if it is absent or loading. */
struct slot *slots_find(struct endpoint *e, const char *key);
/* Handle an event of a call to the store. */
void slots_on_call(struct endpoint *e, const struct node_call_event *ev);
/*
 * Compare the fencing number of a request with the newest one received. A
 * request with an older number comes from a previous owner. With fencing
 * "checked" it receives 412 and false is returned; otherwise it is accepted and
 * *stale is incremented.
 */
bool fence_check(struct endpoint *e, uint64_t request, uint64_t *stale);
/* Execute an order and send the response. */
void slots_load(struct endpoint *e, const struct node_request *r);
void slots_evict(struct endpoint *e, const struct node_request *r);
void slots_set_role(struct endpoint *e, const struct node_request *r);

/* ---- runs.c: generations in the batch ---- */

/* Start a run, or refuse the request. */
void runs_start(struct endpoint *e, const struct node_request *r);
/* Abort the run with the id in the request's path. */
void runs_cancel(struct endpoint *e, const struct node_request *r);
/* Remove the run of a client that disconnected. */
void runs_on_disconnect(struct endpoint *e, uint64_t request);
/* Abort every run that uses a slot. */
void runs_abort_on_slot(struct endpoint *e, const struct slot *slot);

/* ---- prefix.c: prefix cache and KV state of requests ---- */

/*
 * Mark a prefix as most recently used, and add it if needed. Returns true if it
 * was cached.
 */
bool prefix_record_use(struct endpoint *e, uint64_t prefix);
/* Send all cached prefixes as the response. */
void prefix_list(struct endpoint *e, const struct node_request *r);
/* Post the changes since the last event, if any. */
void prefix_publish(struct endpoint *e);
/* Store the prompt of a run under its request id. */
void kv_store_prompt(struct endpoint *e, const struct run *run);
/* Handle PUT and GET of a request's KV state. */
void kv_serve(struct endpoint *e, const struct node_request *r);

/* ---- announce.c, announce_delta.c: announcements ---- */

/* Start the timers for announcements, load snapshots and cache events. */
void announce_start(struct endpoint *e);
/* Send an announcement unless one is in progress. */
void announce_send(struct endpoint *e);
/* Stop the timers. */
void announce_stop(struct endpoint *e);
/* Handle an event of the announcement call. */
void announce_on_call(struct endpoint *e, const struct node_call_event *ev);
/*
 * Return what differs from e->announced_state and bring that up to date. The
 * caller releases the result.
 */
json_t *announce_build_delta(struct endpoint *e, const json_t *full);
/*
 * Post JSON to the owner or the current target; takes ownership of body.
 * Returns the call's id, or 0 if nothing was sent.
 */
uint64_t announce_post(struct endpoint *e, const char *path, json_t *body);

/* ---- service.c: plain service ---- */

/* Accept a call, or refuse it when all seats are taken. */
void service_call(struct endpoint *e, const struct node_request *r);

/* ---- control.c: fault injection and counters ---- */

/* Handle POST /fake/set. */
void control_set(struct endpoint *e, const struct node_request *r);
/* Handle GET /fake/state. */
void control_state(struct endpoint *e, const struct node_request *r);
/* Tell whether an injected fault suppresses all responses to a request. */
bool control_is_silent(const struct endpoint *e, uint64_t request);

#endif
