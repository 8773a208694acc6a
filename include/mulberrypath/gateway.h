#ifndef MULBERRYPATH_GATEWAY_H
#define MULBERRYPATH_GATEWAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/error.h"
#include "mulberrypath/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The gateway passes callers' requests through, byte for byte, to endpoints
 * that it finds by route. This header holds its typed messages and the vtable
 * by which a deployment's own wire is decoded into them and encoded from them.
 * A codec is pure: it keeps no state, and all memory it needs for a decoded
 * message comes from the effects of the running step.
 */

/* ---- configuration ------------------------------------------------------ */

enum gw_kind {
	GW_IDEMPOTENT, /* may run more than once */
	GW_NON_IDEMPOTENT, /* at most once */
	GW_STREAM /* events; at most once unless resumable */
};

struct gw_target {
	char *service;
	uint32_t weight;
};

struct gw_route {
	char *name, *host, *prefix;
	enum gw_kind kind;
	uint32_t timeout_ms; /* longest time to keep a caller waiting */
	uint32_t target_ms; /* latency objective; streams: first event */
	uint32_t max_event_gap_ms; /* streams: longest pause between events */
	uint32_t priority; /* 0 first */
	uint32_t max_attempts; /* endpoints that one request may reach */
	bool resumable; /* a stream may go on at another endpoint */
	bool has_prompt_affinity; /* requests name the parts of their prompt */
	struct gw_target *targets;
	size_t ntargets;
	uint32_t weight; /* sum over the targets, not 0 */
};

struct gw_model {
	char *name;
	uint32_t weights_mb;
	uint32_t store_load_ms; /* from the weight store */
	uint32_t disk_load_ms,
	    memory_load_ms; /* from the endpoint's own copies */
	uint32_t adapter_count;
	uint32_t adapter_mb;
};

struct gw_engine {
	uint32_t seats; /* sequences of one batch */
	uint32_t kv_tokens; /* memory for running and cached tokens */
	uint32_t adapter_slots;
	uint32_t weights_mb; /* memory for weights and adapters */
	uint32_t loads_per_s_milli; /* weight store, over all endpoints */
	struct gw_model *models;
	size_t nmodels;
};

struct gw_service {
	char *name;
	bool has_engine;
	struct gw_engine engine;
};

/* Bounds on what a caller may send; 0: none was given. */
struct gw_limits {
	uint32_t header_bytes, body_bytes;
	uint32_t header_timeout_ms, idle_timeout_ms;
};

struct gw_config {
	uint64_t version;
	struct gw_route *routes;
	size_t nroutes;
	struct gw_service *services;
	size_t nservices;
	struct gw_limits limits;
};

void gw_config_destroy(struct gw_config *config);

/* The route of a host with the longest prefix of the path, or NULL. */
const struct gw_route *gw_config_find_route(
    const struct gw_config *config, const char *host, const char *path);

const struct gw_service *gw_config_find_service(
    const struct gw_config *config, const char *name);

/* The service of a route for a number that is uniform over all requests. */
const char *gw_route_select_service(
    const struct gw_route *route, uint64_t number);

/*
 * Check what no codec can: known services, distinct routes, weights, timeouts.
 * Errors: MP_ERR_INVALID; the message names the JSON path of the fault.
 */
int gw_config_check(struct gw_config *config, struct mp_error *err);

/* ---- callers' requests -------------------------------------------------- */

#define GW_PROMPT_PARTS_MAX 8

/* A part of a prompt that other requests may share. */
struct gw_prompt_part {
	uint64_t hash;
	uint32_t tokens;
};

struct gw_request {
	const char *host; /* without a port, lower case */
	const char *attempt; /* the caller's id of this attempt, or NULL */
	uint32_t deadline_ms; /* the caller waits so long; 0: not said */
	const char *model, *adapter; /* NULL where none is named */
	uint32_t prompt_tokens, max_tokens;
	struct gw_prompt_part parts[GW_PROMPT_PARTS_MAX];
	size_t nparts;
	const char *resume_after; /* last event the caller has, or NULL */
	const struct node_header *headers; /* to pass on, as they came */
	size_t nheaders;
};

/* One sending of a request to an endpoint. */
struct gw_endpoint_request {
	const struct gw_request *request;
	const char *endpoint; /* its id: another process must refuse */
	uint32_t adapter_version; /* 0: none is required */
	uint32_t deadline_ms; /* what is left */
	uint32_t urgency; /* 0 first to 9 */
	const char *resume_after; /* NULL: from the beginning */
};

/* The head of an endpoint's answer. */
struct gw_endpoint_response {
	bool not_run; /* the endpoint says that it did not run the request */
	bool has_state_mismatch; /* another process, or it lacks the adapter */
	bool is_signed; /* bears the endpoint's signature */
	bool is_encoded; /* the body was changed on its way */
	const char *attempt; /* NULL: not named */
	bool has_load;
	uint32_t running, waiting, slots; /* when has_load */
	const struct node_header *headers; /* to pass back */
	size_t nheaders;
};

enum gw_refusal {
	GW_REFUSE_MALFORMED,
	GW_REFUSE_NO_ROUTE,
	GW_REFUSE_NOT_READY, /* not run: come back */
	GW_REFUSE_OVERLOAD, /* not run: come back */
	GW_REFUSE_FAILED, /* may have run */
	GW_REFUSE_TIMEOUT /* may have run */
};

/* ---- endpoints ---------------------------------------------------------- */

struct gw_loaded_model {
	const char *model, *adapter; /* adapter NULL: the weights themselves */
	uint32_t version;
};

/* A copy of a model's weights that an endpoint keeps, ready to be loaded. */
struct gw_weights_copy {
	const char *model;
	bool in_memory; /* else on its disk */
};

/* What an endpoint says of itself. */
struct gw_announcement {
	const char *id, *service, *address, *data_centre;
	uint64_t born_ms; /* start of its process, by its own clock */
	uint64_t sequence; /* counts its announcements */
	uint32_t slots;
	bool leaving;
	uint32_t leaves_in_ms; /* gone after so long; 0: not said */
	bool has_models;
	const struct gw_loaded_model *loaded;
	size_t nloaded;
	const struct gw_weights_copy *copies;
	size_t ncopies;
};

enum gw_order_type {
	GW_ORDER_LOAD,
	GW_ORDER_UNLOAD
};

struct gw_order {
	enum gw_order_type type;
	const char *endpoint, *model, *adapter;
	uint32_t version; /* of the adapter; 0: the newest */
	uint64_t expected_orders; /* orders the endpoint has accepted so far */
	bool has_expected; /* expected_orders is known */
	const char *holder; /* who gives it */
	uint64_t fence;
};

enum gw_order_result {
	GW_ORDER_DONE, /* holds already */
	GW_ORDER_STARTED,
	GW_ORDER_BUSY, /* another is under way, or expected differs */
	GW_ORDER_FENCED, /* a newer holder has been seen */
	GW_ORDER_WRONG_ENDPOINT,
	GW_ORDER_FAILED
};

/* An endpoint's state, some hundred ms old. */
struct gw_report {
	uint64_t accepted_orders; /* it has accepted */
	bool busy;
	const struct gw_loaded_model *loaded, *pending;
	size_t nloaded, npending;
};

/* ---- calls to the system ------------------------------------------------ */

enum gw_call_type {
	GW_CALL_UNKNOWN,
	GW_CALL_READY,
	GW_CALL_LOOKUP, /* which addresses to use */
	GW_CALL_ANNOUNCE,
	GW_CALL_LEAVE,
	GW_CALL_CONFIG_PUT,
	GW_CALL_CONFIG_GET,
	GW_CALL_VERSION_PUT
};

struct gw_call {
	enum gw_call_type type;
	const char *data_centre; /* LOOKUP: of the caller, or NULL */
	const char *endpoint; /* LEAVE: its id */
	struct gw_announcement announcement; /* ANNOUNCE */
	const char *model, *adapter; /* VERSION_PUT */
	uint32_t version;
};

struct gw_codec {
	/*
	 * Decode a call of a listener other than the callers' own.
	 * Errors: MP_ERR_INVALID.
	 */
	int (*read_call)(struct gw_call *out, const struct node_request *in,
	    struct node_effects *memory, struct mp_error *err);

	/* Decode a configuration; gw_config_check() is left to the caller. */
	int (*read_config)(struct gw_config **out, struct node_bytes text,
	    struct mp_error *err);

	/* Decode a caller's request. Errors: MP_ERR_INVALID. */
	int (*read_request)(struct gw_request *out,
	    const struct node_request *in, struct node_effects *memory,
	    struct mp_error *err);
	void (*write_endpoint_request)(struct node_call *out,
	    const struct gw_endpoint_request *send,
	    struct node_effects *memory);
	void (*read_endpoint_response)(struct gw_endpoint_response *out,
	    const struct node_call_event *head, struct node_effects *memory);
	void (*write_refusal)(struct node_reply *out, enum gw_refusal refusal,
	    const char *reason, uint32_t retry_after_ms,
	    struct node_effects *memory);

	void (*write_addresses)(struct node_reply *out,
	    const char *const *addresses, size_t count, uint32_t lifetime_ms,
	    struct node_effects *memory);
	/* Acknowledge an announcement; later ones may go to next, if any. */
	void (*write_announce_reply)(struct node_reply *out, const char *next,
	    struct node_effects *memory);
	/* A plain answer to a call: 200, or why not. */
	void (*write_result)(struct node_reply *out, int status,
	    const char *reason, struct node_effects *memory);

	void (*write_order)(struct node_call *out, const struct gw_order *order,
	    struct node_effects *memory);
	enum gw_order_result (*read_order_result)(int status);
	void (*write_report_request)(struct node_call *out,
	    const char *endpoint, struct node_effects *memory);
	int (*read_report)(struct gw_report *out, struct node_bytes text,
	    struct node_effects *memory);
};

#ifdef __cplusplus
}
#endif

#endif
