#ifndef MULBERRYPATH_SETTINGS_H
#define MULBERRYPATH_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The settings of one instance, read from its JSON file. All strings are owned
 * by struct settings. Names ending in _milli hold thousandths.
 */

/* An instance of the cluster. */
struct settings_peer {
	uint32_t id; /* unique in the cluster */
	char *bus; /* address of its bus, "ip:port" */
	char *public_key; /* CURVE key in Z85; NULL: no encryption */
	bool voter; /* votes in the cluster; has a data folder */
};

/* A person or program that may use the operator API. */
struct settings_operator {
	char *name;
	char *token_hash; /* hex SHA-256 of the bearer token */
	char **teams; /* client accounts, or "*" for all */
	size_t nteams;
};

/* What the scheduler optimises for. */
enum settings_objective {
	SETTINGS_LOAD_STALL,
	SETTINGS_BATCH
};

/* The unit in which usage is charged to a client account. */
enum settings_charge {
	SETTINGS_CHARGE_TOKENS,
	SETTINGS_CHARGE_REQUESTS
};

/*
 * The gateway, which forwards callers' requests by route. The first four fields
 * are addresses to listen on, "ip:port"; this instance does not serve a
 * listener that is NULL.
 */
struct settings_gateway {
	char *front; /* requests of callers */
	char *readiness; /* readiness checks of the front */
	char *control; /* requests of endpoints and operators */
	char *registry; /* callers' look-ups of the address to use */
	bool founding; /* this is the cluster's first start */
	bool fenced; /* endpoints reject orders with an older fence */
	bool kept_prompts; /* placing considers engines' prefix caches */
	bool prefetch_adapters; /* adapters are loaded ahead of requests */
	uint32_t address_lifetime_ms; /* sent to callers with an address */
	uint32_t heartbeat_ms; /* interval of an endpoint's announcements */
	uint32_t drain_ms; /* a leaving endpoint gets new work for this time */
	uint32_t stop_ms; /* from a stop signal to the process's exit */
	uint32_t order_lease_ms; /* minimum between orders of two owners */
	uint32_t retry_ratio_milli; /* retries allowed per request */
	uint32_t retry_extra; /* further retries allowed per window */
	uint32_t retry_window_ms; /* window of both limits */
	/*
	 * Loads from the weight store are counted per window and compared with
	 * the store's rate times store_over_milli / 1000.
	 */
	uint32_t store_window_ms;
	uint32_t store_over_milli;
};

struct settings {
	char *cluster;
	uint32_t id; /* of this instance, unique in the cluster */
	char *name;
	char *data_centre;
	char *region;
	char *http_listen; /* "ip:port" to listen on */
	char *http_advertise; /* "ip:port" sent to callers */
	char *bus_listen;
	char *bus_advertise;
	char *data_folder; /* NULL: the instance stores no data */
	char *public_key, *secret_key; /* CURVE in Z85; NULL: no encryption */
	char *tls_certificate, *tls_key; /* file names; NULL: plain HTTP */
	struct settings_peer *peers; /* all founding instances, with this one */
	size_t npeers;
	/*
	 * Used instead of peers: addresses of some instances that serve
	 * control. The port is ignored, as the bus has the same port on every
	 * instance. The id of an instance is then its IPv4 address as a number.
	 */
	char **seeds;
	size_t nseeds;
	struct settings_gateway gateway;
	struct settings_operator *operators;
	size_t noperators;
	char *endpoint_token_hash; /* hex SHA-256; NULL: no token needed */
	enum settings_objective objective;
	enum settings_charge charge;
	char *policy; /* scheduling; others than "fair" are baselines */
	uint32_t store_loads_per_second_milli; /* of the weight store */
	uint32_t store_in_flight; /* concurrent loads from the weight store */
	uint32_t load_ms; /* expected duration of one adapter load */
	uint32_t address_lifetime_ms; /* sent to callers with an address */
	uint32_t body_limit_bytes;
	uint32_t header_limit_bytes;
	uint32_t connection_limit;
	uint32_t idle_timeout_ms;
	/* That the process may use; what it buffers is limited by it. */
	uint32_t memory_limit_mb;
	uint32_t request_timeout_ms; /* if the caller sends none */
	char *log_level; /* debug, info, warn or error */
	char *log_format; /* text or json */
};

/* One fault in a settings file or a document. */
struct settings_problem {
	char *path; /* JSON path such as "$.peers[2].bus" */
	char *found; /* the value found */
	char *allowed; /* the values allowed */
};

/* A list of faults; zero-initialise before first use. */
struct settings_problems {
	struct settings_problem *items;
	size_t count;
};

/* Appends a fault; the strings are copied. */
void settings_problems_add(struct settings_problems *p, const char *path,
    const char *found, const char *allowed);

/* Frees the faults and empties the list. */
void settings_problems_free(struct settings_problems *p);

/*
 * Reads and checks settings from JSON text of len bytes. Reports all faults,
 * not only the first.
 *
 * out: set to the settings, which settings_destroy() frees, or to NULL if any
 *     fault was found.
 * problems: zero-initialised and freed by the caller.
 * Errors: MP_ERR_INVALID, with the number of faults in the message.
 */
int settings_parse(struct settings **out, const char *text, size_t len,
    struct settings_problems *problems, struct mp_error *err);

/*
 * Reads and checks settings from a file. Relative file names in it are resolved
 * against the file's folder. Errors: also MP_ERR_IO if it cannot be read.
 */
int settings_load(struct settings **out, const char *file,
    struct settings_problems *problems, struct mp_error *err);

/* Frees settings; s may be NULL. */
void settings_destroy(struct settings *s);

/* Returns whether this instance serves any listener of the gateway. */
bool settings_has_gateway(const struct settings *s);

#ifdef __cplusplus
}
#endif

#endif
