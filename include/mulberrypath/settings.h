#ifndef MULBERRYPATH_SETTINGS_H
#define MULBERRYPATH_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The settings of one instance, read from its JSON file. */

struct settings_peer {
	uint32_t id; /* unique in the cluster */
	char *bus; /* "ip:port" */
	char *public_key; /* CURVE key, Z85; NULL without keys */
	bool voter; /* has a data folder */
};

struct settings_operator {
	char *name;
	char *token_hash; /* hex SHA-256 of the bearer token */
	char **teams; /* names, or "*" for all */
	size_t nteams;
};

enum settings_objective {
	SETTINGS_LOAD_STALL,
	SETTINGS_BATCH
};
enum settings_charge {
	SETTINGS_CHARGE_TOKENS,
	SETTINGS_CHARGE_REQUESTS
};

/*
 * The gateway: callers' requests passed through by route. A listener that is
 * NULL is not served by this instance.
 */
struct settings_gateway {
	char *front; /* callers */
	char *readiness; /* checks of the front */
	char *control; /* endpoints and operators */
	char *registry; /* callers that ask which address to use */
	bool founding; /* this is the cluster's first start */
	bool fenced; /* endpoints refuse orders with an old fence */
	uint32_t address_lifetime_ms; /* told to callers */
	uint32_t heartbeat_ms; /* between announcements of an endpoint */
	uint32_t drain_ms; /* new work reaches a leaving endpoint so long */
	uint32_t stop_ms; /* from a stop signal to the end of the process */
	uint32_t order_lease_ms; /* between orders of different holders */
	uint32_t retry_ratio_milli; /* repeats allowed for each request */
	uint32_t retry_extra; /* and besides, in one window */
	uint32_t retry_window_ms;
	uint32_t store_window_ms; /* loads from the weight store are counted */
	uint32_t
	    store_over_milli; /* in such windows, against rate times this */
};

struct settings {
	char *cluster;
	uint32_t id;
	char *name;
	char *data_centre;
	char *region;
	char *http_listen; /* "ip:port" bound */
	char *http_advertise; /* "ip:port" told to callers */
	char *bus_listen;
	char *bus_advertise;
	char *data_folder; /* NULL for an instance without a disk */
	char *public_key, *secret_key; /* CURVE, Z85; NULL without */
	char *tls_certificate, *tls_key; /* file names; NULL: plain HTTP */
	struct settings_peer *peers; /* all founding instances, self too */
	size_t npeers;
	/*
	 * Instead of peers: addresses of some instances that serve control. The
	 * port is ignored, as the bus has the same port on every instance. Ids
	 * are then those instances' IPv4 numbers.
	 */
	char **seeds;
	size_t nseeds;
	struct settings_gateway gateway;
	struct settings_operator *operators;
	size_t noperators;
	char *endpoint_token_hash; /* hex SHA-256; NULL: none asked */
	enum settings_objective objective;
	enum settings_charge charge;
	char *policy; /* scheduling policy, "fair" unless a baseline */
	uint32_t store_loads_per_second_milli; /* thousandths */
	uint32_t store_in_flight;
	uint32_t load_ms; /* expected time of one adapter load */
	uint32_t address_lifetime_ms;
	uint32_t body_limit_bytes;
	uint32_t header_limit_bytes;
	uint32_t connection_limit;
	uint32_t idle_timeout_ms;
	uint32_t request_timeout_ms; /* when the caller names none */
	char *log_level; /* debug, info, warn or error */
	char *log_format; /* text or json */
};

/* One fault found in a settings file or a document. */
struct settings_problem {
	char *path; /* JSON path, "$.peers[2].bus" */
	char *found; /* what was there */
	char *allowed; /* what may be there */
};

struct settings_problems {
	struct settings_problem *items;
	size_t count;
};

void settings_problems_add(struct settings_problems *p, const char *path,
    const char *found, const char *allowed);
void settings_problems_free(struct settings_problems *p);

/*
 * Read and check settings from JSON text; finds all faults, not the first.
 *
 * out: the settings, or NULL when any fault was found.
 * problems: zero-initialised by the caller; freed by it.
 * Errors: MP_ERR_INVALID with the number of faults in err.
 */
int settings_parse(struct settings **out, const char *text, size_t len,
    struct settings_problems *problems, struct mp_error *err);

/* The same from a file; MP_ERR_IO when it cannot be read. */
int settings_load(struct settings **out, const char *file,
    struct settings_problems *problems, struct mp_error *err);

void settings_destroy(struct settings *s);

/* Does this instance serve any listener of the gateway? */
bool settings_has_gateway(const struct settings *s);

#ifdef __cplusplus
}
#endif

#endif
