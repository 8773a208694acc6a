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
	uint32_t id; /* 1 to 65535, unique in the cluster */
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

#ifdef __cplusplus
}
#endif

#endif
