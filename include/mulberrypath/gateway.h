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
 * Typed messages of the gateway, and the codec interface that translates a
 * deployment's wire format to and from them. The gateway forwards callers'
 * requests unchanged, byte for byte, to endpoints that it selects by route.
 *
 * A codec is pure: it keeps no state, and allocates all memory of a decoded
 * message from the node_effects of the current step. Decoded messages are
 * valid as long as these effects. Strings are NUL-terminated; a caller does
 * not free strings or arrays of a decoded message, other than those of a
 * gw_config, which gw_config_destroy() frees.
 */

/* ---- configuration ------------------------------------------------------ */

enum gw_kind {
	GW_IDEMPOTENT, /* may run more than once */
	GW_NON_IDEMPOTENT, /* at most once */
	GW_STREAM /* server-sent events; at most once unless resumable */
};

/* A service that receives a share of a route's requests. */
struct gw_target {
	char *service;
	uint32_t weight; /* share: weight / sum of the route's weights */
};

/* Requests of one host and path prefix. */
struct gw_route {
	char *name, *host, *prefix;
	enum gw_kind kind;
	uint32_t timeout_ms; /* maximum time until the response ends */
	uint32_t target_ms; /* latency objective; streams: to the first event */
	uint32_t max_event_gap_ms; /* streams: longest pause between events */
	uint32_t priority; /* 0 is served first */
	uint32_t max_attempts; /* endpoints that may run one request */
	bool resumable; /* another endpoint may continue a stream */
	bool has_prompt_affinity; /* requests name their prompt's parts */
	bool is_public; /* requests need no key of a client account */
	struct gw_target *targets;
	size_t ntargets;
	uint32_t weight; /* sum over the targets, > 0 once checked */
};

/* A base model that an engine may serve, with its loading times. */
struct gw_model {
	char *name;
	uint64_t weights_kb; /* 1/1000 MB, rounded up */
	uint32_t store_load_ms; /* to load the weights from the weight store */
	uint32_t disk_load_ms, memory_load_ms; /* from the endpoint's copies */
	uint32_t adapter_count;
	uint64_t adapter_kb; /* of each, 1/1000 MB, rounded up; 0: not told */
};

/*
 * Capacity of each engine of a service. An engine is an endpoint that runs
 * models.
 */
struct gw_engine {
	uint32_t seats; /* sequences in one batch */
	uint32_t kv_tokens; /* KV cache, for running and cached tokens */
	uint32_t adapter_slots; /* adapters loaded at one time */
	/* memory for weights and adapters together, unless it is not told */
	bool has_memory;
	uint64_t memory_kb; /* 1/1000 MB, rounded down */
	uint32_t loads_per_s_milli; /* of the weight store, 1/1000 loads per
				     * second, over all endpoints */
	struct gw_model *models;
	size_t nmodels;
};

/* A service: the endpoints that announce its name. */
struct gw_service {
	char *name;
	bool has_engine;
	struct gw_engine engine; /* if has_engine */
};

enum gw_quota_unit {
	GW_QUOTA_REQUESTS,
	GW_QUOTA_TOKENS /* prompt tokens and maximum generated tokens */
};

/*
 * What a client account may use of all entries together: in any time t at most
 * units_per_s * t + burst units.
 */
struct gw_quota {
	enum gw_quota_unit unit;
	uint64_t units_per_s; /* 0: no limit */
	uint64_t burst;
	uint32_t default_tokens; /* of a request that names no tokens */
};

/* The keyed hash of an API key, see gate_account.h. */
struct gw_key_hash {
	uint8_t bytes[16];
};

struct gw_account_index;

/* A client account: who pays for a caller's requests. */
struct gw_account {
	char *name;
	/*
	 * Plaintext API keys, nkeys of them, as decoded. gw_config_hash_keys()
	 * wipes and frees them, sets plain_keys to NULL and fills keys instead.
	 */
	char **plain_keys;
	struct gw_key_hash *keys; /* NULL before gw_config_hash_keys() */
	size_t nkeys;
	uint32_t priority; /* goes before the route's; 0 is served first */
	struct gw_quota quota;
};

/* Limits on callers' requests; 0: the configuration sets none. */
struct gw_limits {
	uint32_t header_bytes, body_bytes;
	uint32_t header_timeout_ms, idle_timeout_ms;
};

struct gw_config_index;

/*
 * The gateway's configuration. A higher version replaces a lower one. Elements
 * keep their addresses while others are added and removed.
 */
struct gw_config {
	uint64_t version;
	struct gw_route **routes;
	size_t nroutes;
	struct gw_service **services;
	size_t nservices;
	struct gw_account **accounts;
	size_t naccounts;
	bool has_accounts; /* requests need a key, unless the route is public */
	/* By key and by name; NULL before gw_config_hash_keys(). */
	struct gw_account_index *account_index;
	struct gw_limits limits;
	/* of routes and services; NULL unless gw_config_check() succeeded */
	struct gw_config_index *index;
};

/* What the elements of a top-level array of a configuration's text are. */
enum gw_element_kind {
	GW_ELEMENT_OTHER, /* nothing that the gateway uses */
	GW_ELEMENT_ROUTE, /* struct gw_route */
	GW_ELEMENT_SERVICE, /* struct gw_service */
	GW_ELEMENT_ACCOUNT /* struct gw_account */
};
#define GW_ELEMENT_KINDS 4

/* Frees the configuration and all that it holds. NULL is allowed. */
void gw_config_destroy(struct gw_config *config);
/* Frees an element with all that it holds. NULL is allowed. */
void gw_element_destroy(enum gw_element_kind kind, void *element);
/* The array of elements of a kind, which the configuration owns. */
void **gw_config_get_elements(
    const struct gw_config *config, enum gw_element_kind kind, size_t *count);
/* Replaces the array, which the caller has allocated; frees nothing. */
void gw_config_set_elements(struct gw_config *config, enum gw_element_kind kind,
    void **elements, size_t count);

/*
 * Finds the route of the host whose prefix is the longest one that matches the
 * path. Hosts are compared without case. NULL: no route matches.
 */
const struct gw_route *gw_config_find_route(
    const struct gw_config *config, const char *host, const char *path);

/* Finds a service by name, or NULL. */
const struct gw_service *gw_config_find_service(
    const struct gw_config *config, const char *name);

/*
 * Selects a service of the route according to the weights.
 *
 * number: uniformly distributed over requests; equal numbers give the same
 * service. The configuration must have passed gw_config_check().
 */
const char *gw_route_select_service(
    const struct gw_route *route, uint64_t number);

/*
 * Checks what a codec does not: that services are known, routes distinct and
 * timeouts not 0, and that the weights of each route have a sum from 1 to
 * UINT32_MAX, which it stores in gw_route.weight. Builds the index by which
 * routes and services are found; without one they are searched for.
 * Errors: MP_ERR_INVALID; the message names the JSON path of the fault.
 */
int gw_config_check(struct gw_config *config, struct mp_error *err);

/* ---- callers' requests -------------------------------------------------- */

/*
 * Parts of one prompt; a request with more is refused as malformed. A header of
 * 16 KB holds no more.
 */
#define GW_PROMPT_PARTS_MAX 4096
/* First parts of a prompt by which an endpoint is chosen. */
#define GW_PREFIX_PARTS_MAX 8

/* A part of a prompt, which other requests may share. */
struct gw_prompt_part {
	uint64_t hash;
	uint32_t tokens;
};

/* A caller's request, decoded. */
struct gw_request {
	const char *host; /* without a port, lower case */
	const char *attempt; /* attempt id set by the caller, or NULL */
	const char *key; /* of a client account, NULL if there is none; valid
			  * only in the step that decodes the request */
	const char *account; /* name of the client account that the gateway
			      * found by the key; NULL: none */
	struct gw_key_hash key_hash; /* of the key, if account is set */
	uint32_t account_priority;
	int quota_unit_plus_one; /* gw_quota_unit of the account's quota when
				  * the request was decoded; 0: no quota */
	bool has_accounts; /* the configuration has accounts: the endpoint gets
			    * the account's name, and neither the API key nor
			    * an account named by the caller */
	uint32_t deadline_ms; /* time the caller waits; 0: not given */
	uint64_t waited_us; /* since the request was received; the times that
			     * the caller waits count from there */
	const char *model, *adapter; /* NULL if not named */
	uint32_t prompt_tokens, max_tokens;
	bool has_tokens; /* the two above are given */
	const struct gw_prompt_part *parts; /* in order */
	size_t nparts;
	const char *resume_after; /* id of the last event received, or NULL */
	const struct node_header *headers; /* to forward unchanged */
	size_t nheaders;
};

/* A request as the entry sends it to an endpoint. */
struct gw_endpoint_request {
	const struct gw_request *request;
	const char *endpoint; /* id; a process with another id refuses */
	uint32_t adapter_version; /* 0: none is required */
	uint32_t deadline_ms; /* time left */
	uint32_t urgency; /* 0 (first) to 9 (last) */
	const char *resume_after; /* event id; NULL: from the beginning */
};

/* What a response says of the rate of requests that its endpoint takes. */
enum gw_rate_limit {
	GW_RATE_LIMIT_NONE, /* nothing: it takes requests at any rate */
	GW_RATE_LIMIT_NAMED,
	GW_RATE_LIMIT_INVALID /* not readable: as if it said nothing new */
};

/* The head of an endpoint's response. */
struct gw_endpoint_response {
	bool not_run; /* the endpoint states that it did not run it */
	bool has_state_mismatch; /* other process, or adapter not loaded */
	bool is_leaving; /* the endpoint is draining */
	uint32_t backoff_ms; /* it wants no request from this instance for so
			      * long; 0: not given */
	enum gw_rate_limit rate_limit;
	uint32_t requests_per_s_milli; /* of all instances together, if named */
	bool is_signed; /* has the endpoint's signature */
	bool is_encoded; /* body changed in transit: content encoding */
	const char *attempt; /* of the request; NULL: not given */
	bool has_load;
	uint32_t running, waiting, slots; /* if has_load */
	/* time that work takes there now, 100: as usual; 0: not told */
	uint32_t work_percent;
	const struct node_header *headers; /* to send to the caller */
	size_t nheaders;
};

/* Why the gateway answers a request itself. */
enum gw_refusal {
	GW_REFUSE_MALFORMED,
	GW_REFUSE_NO_ROUTE,
	GW_REFUSE_NOT_READY, /* not run; the caller may retry */
	GW_REFUSE_OVERLOAD, /* not run; the caller may retry */
	GW_REFUSE_FAILED, /* may have run */
	GW_REFUSE_TIMEOUT, /* may have run */
	GW_REFUSE_QUARANTINED, /* not run; a retry would be refused as well */
	GW_REFUSE_UNAUTHORIZED, /* not run; no account has the key */
	GW_REFUSE_OVER_QUOTA /* not run; the account's quota is used up */
};

/* ---- endpoints ---------------------------------------------------------- */

/* A model or adapter in an endpoint's memory. */
struct gw_loaded_model {
	const char *model, *adapter; /* adapter NULL: the model's weights */
	uint32_t version;
};

/* A copy of a model's weights from which an endpoint can load them. */
struct gw_weights_copy {
	const char *model;
	bool in_memory; /* otherwise on disk */
};

/* State of an endpoint as the endpoint announces it. */
struct gw_announcement {
	const char *id, *service, *address, *data_centre;
	uint64_t born_ms; /* start of the process, by the endpoint's clock */
	uint64_t sequence; /* of announcements, ascending */
	uint32_t slots;
	bool leaving;
	uint32_t leaves_in_ms; /* remaining time if leaving; 0: not given */
	bool has_models; /* loaded is given */
	const struct gw_loaded_model *loaded;
	size_t nloaded;
	const struct gw_weights_copy *copies;
	size_t ncopies;
};

/*
 * Whether a text is an IPv4 address and a port, "A.B.C.D:PORT", of which the
 * port is not 0: the system connects without name resolution.
 */
bool gw_address_is_valid(const char *text);

/*
 * Checks the values of an announcement, whoever decoded it: texts that are too
 * long or empty, an address that can't be connected to, numbers that no
 * endpoint has. The lists of models and copies are not checked.
 * Errors: MP_ERR_INVALID; the message names the value.
 */
int gw_announcement_check(
    const struct gw_announcement *a, struct mp_error *err);

enum gw_order_type {
	GW_ORDER_LOAD,
	GW_ORDER_UNLOAD
};

/* An order to an endpoint to load or unload a model or adapter. */
struct gw_order {
	enum gw_order_type type;
	const char *endpoint, *model, *adapter;
	uint32_t version; /* of the adapter; 0: the latest */
	uint64_t expected_orders; /* orders accepted so far by the endpoint */
	bool has_expected; /* expected_orders is known */
	const char *holder; /* who sends the order */
	uint64_t fence; /* lower fences than the highest seen are refused */
};

enum gw_order_result {
	GW_ORDER_DONE, /* nothing to do: the state is reached */
	GW_ORDER_STARTED,
	GW_ORDER_BUSY, /* another order runs, or expected_orders differs */
	GW_ORDER_FENCED, /* the endpoint has seen a newer holder */
	GW_ORDER_WRONG_ENDPOINT,
	GW_ORDER_FAILED
};

/* An endpoint's reported state, a few hundred ms old. */
struct gw_report {
	uint64_t accepted_orders;
	bool busy; /* an order runs */
	const struct gw_loaded_model *loaded, *pending;
	size_t nloaded, npending;
};

/* ---- calls to the system ------------------------------------------------ */

/* Calls on the listeners other than the one for callers' requests. */
enum gw_call_type {
	GW_CALL_UNKNOWN,
	GW_CALL_READY,
	GW_CALL_LOOKUP, /* of the addresses to send requests to */
	GW_CALL_ANNOUNCE,
	GW_CALL_LEAVE,
	GW_CALL_CONFIG_PUT,
	GW_CALL_CONFIG_GET,
	GW_CALL_VERSION_PUT
};

struct gw_call {
	enum gw_call_type type;
	const char *data_centre; /* LOOKUP: the caller's, or NULL */
	const char *endpoint; /* LEAVE: its id */
	struct gw_announcement announcement; /* ANNOUNCE */
	const char *model, *adapter; /* VERSION_PUT */
	uint32_t version;
};

/*
 * Wire format of a deployment. Decoders that return int return MP_OK or an
 * error code.
 */
struct gw_codec {
	/*
	 * Decodes a call from a listener other than the one for callers'
	 * requests. Errors: MP_ERR_INVALID.
	 */
	int (*read_call)(struct gw_call *out, const struct node_request *in,
	    struct node_effects *memory, struct mp_error *err);

	/*
	 * Decodes a configuration, which the caller owns and passes to
	 * gw_config_check().
	 */
	int (*read_config)(struct gw_config **out, struct node_bytes text,
	    struct mp_error *err);
	/*
	 * Tells what the elements of a top-level array are.
	 *
	 * key: the array's name as in the text, with its quotes.
	 */
	enum gw_element_kind (*find_element_kind)(struct node_bytes key);
	/*
	 * Decodes one element of a configuration; gw_element_destroy() frees
	 * *out, which is NULL for GW_ELEMENT_OTHER. The text must be valid JSON
	 * in any case.
	 *
	 * index: of the element in its array, for error messages.
	 */
	int (*read_element)(void **out, enum gw_element_kind kind, size_t index,
	    struct node_bytes text, struct mp_error *err);
	/*
	 * Decodes all but the elements of top-level arrays into the members of
	 * *out. text: the configuration without these elements.
	 */
	int (*read_rest)(struct gw_config *out, struct node_bytes text,
	    struct mp_error *err);

	/* Decodes a caller's request. Errors: MP_ERR_INVALID. */
	int (*read_request)(struct gw_request *out,
	    const struct node_request *in, struct node_effects *memory,
	    struct mp_error *err);
	/*
	 * Removes the headers by which a caller names its account, so that a
	 * request that is kept holds no key.
	 */
	void (*remove_account_headers)(
	    struct gw_request *request, struct node_effects *memory);
	/* Adds a request's headers for the endpoint to the call. */
	void (*write_endpoint_request)(struct node_call *out,
	    const struct gw_endpoint_request *request,
	    struct node_effects *memory);
	/* Decodes the head of an endpoint's response. */
	void (*read_endpoint_response)(struct gw_endpoint_response *out,
	    const struct node_call_event *head, struct node_effects *memory);
	/* Replies to a caller. retry_after_ms: 0 for none. */
	void (*write_refusal)(struct node_reply *out, enum gw_refusal refusal,
	    const char *reason, uint32_t retry_after_ms,
	    struct node_effects *memory);

	/* Replies to a lookup; the addresses are valid for lifetime_ms. */
	void (*write_addresses)(struct node_reply *out,
	    const char *const *addresses, size_t count, uint32_t lifetime_ms,
	    struct node_effects *memory);
	/*
	 * Acknowledges an announcement; next, unless NULL, is the address for
	 * later ones.
	 */
	void (*write_announce_reply)(struct node_reply *out, const char *next,
	    struct node_effects *memory);
	/* Replies to a call with a status and, unless 200, a reason. */
	void (*write_result)(struct node_reply *out, int status,
	    const char *reason, struct node_effects *memory);

	void (*write_order)(struct node_call *out, const struct gw_order *order,
	    struct node_effects *memory);
	/* Decodes the HTTP status of an order's response. */
	enum gw_order_result (*read_order_result)(int status);
	/*
	 * Writes a request for an endpoint's report, which read_report()
	 * decodes.
	 */
	void (*write_report_request)(struct node_call *out,
	    const char *endpoint, struct node_effects *memory);
	/* Decodes a report. Errors: MP_ERR_INVALID. */
	int (*read_report)(struct gw_report *out, struct node_bytes text,
	    struct node_effects *memory);
};

#ifdef __cplusplus
}
#endif

#endif
