#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/consistency.h"
#include "conf/fields.h"
#include "conf/text_check.h"
#include "util/buf.h"
#include "util/mem.h"

#define NAME_ALLOWED	"1 to 64 letters, digits, '-', '_' or '.'"
#define ADDRESS_ALLOWED "\"ip:port\", an IPv4 number and a port from 1 to 65535"
#define KEY_ALLOWED	"a CURVE key: 40 characters of Z85"
#define HASH_ALLOWED	"SHA-256 as 64 hexadecimal digits in lower case"
#define FILE_ALLOWED	"a file name"
#define ID_MAX		65535
#define CHUNK_BYTES	65536

/* The first two are in the order of their enums. */
static const char *const objectives[] = {"load-stall", "batch", NULL};
static const char *const charges[] = {"tokens", "requests", NULL};
static const char *const policies[] = {
    "fair", "fifo", "least-loaded", "round-robin", NULL};
static const char *const log_levels[] = {
    "debug", "info", "warn", "error", NULL};
static const char *const log_formats[] = {"text", "json", NULL};

/* Entries of the tables of fields; m is a member of struct settings. */
#define TEXT(k, m, is_required, fn, allowed_text)                              \
	{                                                                      \
		.key = (k), .type = FIELD_TEXT, .required = (is_required),     \
		.offset = offsetof(struct settings, m), .check = (fn),         \
		.allowed = (allowed_text)                                      \
	}
#define NUMBER(k, m, lo, hi, default_value)                                    \
	{                                                                      \
		.key = (k), .type = FIELD_NUMBER,                              \
		.offset = offsetof(struct settings, m), .min = (lo),           \
		.max = (hi), .fallback = (default_value),                      \
		.allowed = "a whole number from " #lo " to " #hi               \
	}
#define MILLI(k, m, lo, hi, default_value)                                     \
	{                                                                      \
		.key = (k), .type = FIELD_MILLI,                               \
		.offset = offsetof(struct settings, m), .min = (lo),           \
		.max = (hi), .fallback = (default_value),                      \
		.allowed = "a number from " #lo " to " #hi                     \
	}
/* A flag that is set unless the settings say otherwise. */
#define FLAG_ON(k, m)                                                          \
	{                                                                      \
		.key = (k), .type = FIELD_BOOL,                                \
		.offset = offsetof(struct settings, m), .fallback = 1,         \
		.allowed = "true or false"                                     \
	}
#define FLAG(k, m)                                                             \
	{                                                                      \
		.key = (k), .type = FIELD_BOOL,                                \
		.offset = offsetof(struct settings, m),                        \
		.allowed = "true or false"                                     \
	}
#define CHOICE(k, m, kind, list, default_value, allowed_text)                  \
	{                                                                      \
		.key = (k), .type = (kind),                                    \
		.offset = offsetof(struct settings, m), .choices = (list),     \
		.fallback_text = (default_value), .allowed = (allowed_text)    \
	}
#define OBJECT(k, is_required, table)                                          \
	{                                                                      \
		.key = (k), .type = FIELD_OBJECT, .required = (is_required),   \
		.fields = (table), .allowed = "an object"                      \
	}

static const struct field instance_fields[] = {
    {.key = "id",
	.type = FIELD_NUMBER,
	.offset = offsetof(struct settings, id),
	.min = 1,
	.max = ID_MAX,
	.allowed = SETTINGS_ID_ALLOWED},
    TEXT("name", name, true, text_check_name, NAME_ALLOWED),
    TEXT("dataCentre", data_centre, true, text_check_name, NAME_ALLOWED),
    TEXT("region", region, true, text_check_name, NAME_ALLOWED),
    {.key = NULL},
};

static const struct field tls_fields[] = {
    TEXT("certificate", tls_certificate, false, text_check_file, FILE_ALLOWED),
    TEXT("key", tls_key, false, text_check_file, FILE_ALLOWED),
    {.key = NULL},
};

static const struct field limits_fields[] = {
    NUMBER("bodyBytes", body_limit_bytes, 1024, 67108864, 1048576),
    NUMBER("headerBytes", header_limit_bytes, 1024, 1048576, 16384),
    NUMBER("connections", connection_limit, 1, 100000, 2000),
    NUMBER("idleMs", idle_timeout_ms, 100, 3600000, 30000),
    NUMBER("memoryMb", memory_limit_mb, 32, 1048576, 256),
    {.key = NULL},
};

static const struct field http_fields[] = {
    TEXT("listen", http_listen, true, text_check_address, ADDRESS_ALLOWED),
    TEXT("advertise", http_advertise, false, text_check_address,
	ADDRESS_ALLOWED),
    OBJECT("tls", false, tls_fields),
    OBJECT("limits", false, limits_fields),
    {.key = NULL},
};

static const struct field bus_fields[] = {
    TEXT("listen", bus_listen, true, text_check_address, ADDRESS_ALLOWED),
    TEXT(
	"advertise", bus_advertise, false, text_check_address, ADDRESS_ALLOWED),
    TEXT("publicKey", public_key, false, text_check_z85, KEY_ALLOWED),
    {.key = "secretKey",
	.type = FIELD_TEXT,
	.secret = true,
	.offset = offsetof(struct settings, secret_key),
	.check = text_check_z85,
	.allowed = KEY_ALLOWED},
    {.key = NULL},
};

static const struct field peer_fields[] = {
    {.key = "id",
	.type = FIELD_NUMBER,
	.required = true,
	.offset = offsetof(struct settings_peer, id),
	.min = 1,
	.max = ID_MAX,
	.allowed = SETTINGS_ID_ALLOWED},
    {.key = "bus",
	.type = FIELD_TEXT,
	.required = true,
	.offset = offsetof(struct settings_peer, bus),
	.check = text_check_address,
	.allowed = ADDRESS_ALLOWED},
    {.key = "publicKey",
	.type = FIELD_TEXT,
	.offset = offsetof(struct settings_peer, public_key),
	.check = text_check_z85,
	.allowed = KEY_ALLOWED},
    {.key = "voter",
	.type = FIELD_BOOL,
	.offset = offsetof(struct settings_peer, voter),
	.allowed = "true or false"},
    {.key = NULL},
};

static const struct field operator_fields[] = {
    {.key = "name",
	.type = FIELD_TEXT,
	.required = true,
	.offset = offsetof(struct settings_operator, name),
	.check = text_check_name,
	.allowed = NAME_ALLOWED},
    {.key = "tokenHash",
	.type = FIELD_TEXT,
	.required = true,
	.secret = true,
	.offset = offsetof(struct settings_operator, token_hash),
	.check = text_check_hash,
	.allowed = HASH_ALLOWED},
    {.key = "teams",
	.type = FIELD_TEXTS,
	.required = true,
	.min = 1,
	.offset = offsetof(struct settings_operator, teams),
	.count_offset = offsetof(struct settings_operator, nteams),
	.check = text_check_team,
	.allowed = "team names, or \"*\" for all"},
    {.key = NULL},
};

static const struct field endpoints_fields[] = {
    {.key = "tokenHash",
	.type = FIELD_TEXT,
	.secret = true,
	.offset = offsetof(struct settings, endpoint_token_hash),
	.check = text_check_hash,
	.allowed = HASH_ALLOWED},
    {.key = NULL},
};

static const struct field scheduling_fields[] = {
    CHOICE("objective", objective, FIELD_CHOICE, objectives, NULL,
	"\"load-stall\" or \"batch\""),
    CHOICE("charge", charge, FIELD_CHOICE, charges, NULL,
	"\"tokens\" or \"requests\""),
    CHOICE("policy", policy, FIELD_CHOICE_TEXT, policies, "fair",
	"\"fair\", \"fifo\", \"least-loaded\" or \"round-robin\""),
    NUMBER("loadMs", load_ms, 1, 600000, 250),
    {.key = NULL},
};

static const struct field store_fields[] = {
    {.key = "loadsPerSecond",
	.type = FIELD_MILLI,
	.offset = offsetof(struct settings, store_loads_per_second_milli),
	.min = 0.001,
	.max = 100000,
	.fallback = 5,
	.allowed = "a number from 0.001 to 100000"},
    NUMBER("inFlight", store_in_flight, 1, 1000, 8),
    {.key = NULL},
};

static const struct field gateway_fields[] = {
    TEXT("front", gateway.front, false, text_check_address, ADDRESS_ALLOWED),
    TEXT("readiness", gateway.readiness, false, text_check_address,
	ADDRESS_ALLOWED),
    TEXT(
	"control", gateway.control, false, text_check_address, ADDRESS_ALLOWED),
    TEXT("registry", gateway.registry, false, text_check_address,
	ADDRESS_ALLOWED),
    FLAG("founding", gateway.founding),
    FLAG("fenced", gateway.fenced),
    NUMBER("addressLifetimeMs", gateway.address_lifetime_ms, 100, 60000, 1000),
    NUMBER("heartbeatMs", gateway.heartbeat_ms, 50, 60000, 1000),
    NUMBER("drainMs", gateway.drain_ms, 100, 600000, 2000),
    NUMBER("stopMs", gateway.stop_ms, 500, 600000, 8000),
    NUMBER("orderLeaseMs", gateway.order_lease_ms, 0, 600000, 3000),
    MILLI("retryRatio", gateway.retry_ratio_milli, 0, 10, 0.1),
    NUMBER("retryExtra", gateway.retry_extra, 0, 1000000, 10),
    NUMBER("retryWindowMs", gateway.retry_window_ms, 100, 600000, 10000),
    NUMBER("storeWindowMs", gateway.store_window_ms, 100, 600000, 5000),
    MILLI("storeOver", gateway.store_over_milli, 0.001, 1000, 1),
    FLAG_ON("keptPrompts", gateway.kept_prompts),
    FLAG_ON("prefetchAdapters", gateway.prefetch_adapters),
    {.key = NULL},
};

static const struct field log_fields[] = {
    CHOICE("level", log_level, FIELD_CHOICE_TEXT, log_levels, "info",
	"\"debug\", \"info\", \"warn\" or \"error\""),
    CHOICE("format", log_format, FIELD_CHOICE_TEXT, log_formats, "text",
	"\"text\" or \"json\""),
    {.key = NULL},
};

static const struct field settings_fields[] = {
    TEXT("cluster", cluster, true, text_check_name, NAME_ALLOWED),
    OBJECT("instance", true, instance_fields),
    OBJECT("http", true, http_fields),
    OBJECT("bus", true, bus_fields),
    TEXT("dataFolder", data_folder, false, text_check_file, FILE_ALLOWED),
    {.key = "peers",
	.type = FIELD_ARRAY,
	.min = 1,
	.offset = offsetof(struct settings, peers),
	.count_offset = offsetof(struct settings, npeers),
	.fields = peer_fields,
	.item_size = sizeof(struct settings_peer),
	.allowed = SETTINGS_PEERS_ALLOWED},
    {.key = "seeds",
	.type = FIELD_TEXTS,
	.offset = offsetof(struct settings, seeds),
	.count_offset = offsetof(struct settings, nseeds),
	.check = text_check_address,
	.allowed = "an array of addresses, each " ADDRESS_ALLOWED},
    OBJECT("gateway", false, gateway_fields),
    {.key = "operators",
	.type = FIELD_ARRAY,
	.offset = offsetof(struct settings, operators),
	.count_offset = offsetof(struct settings, noperators),
	.fields = operator_fields,
	.item_size = sizeof(struct settings_operator),
	.allowed = "an array of operators"},
    OBJECT("endpoints", false, endpoints_fields),
    OBJECT("scheduling", false, scheduling_fields),
    OBJECT("store", false, store_fields),
    NUMBER("addressLifetimeMs", address_lifetime_ms, 1000, 30000, 10000),
    NUMBER("requestTimeoutMs", request_timeout_ms, 100, 3600000, 30000),
    OBJECT("log", false, log_fields),
    {.key = NULL},
};

static json_t *
load_json(const char *text, size_t len, struct settings_problems *problems)
{
	struct buf found = {0};
	json_error_t error;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);

	if (root != NULL)
		return root;
	buf_printf(&found, "line %d, column %d: %s", error.line, error.column,
	    error.text);
	settings_problems_add(problems, "$", found.data, "well-formed JSON");
	buf_free(&found);
	return NULL;
}

/* Returns the IPv4 address in "ip:port" as a number; 0 if it is invalid. */
static uint32_t
address_to_ipv4(const char *address)
{
	char host[INET_ADDRSTRLEN];
	const char *colon = strrchr(address, ':');
	struct in_addr number;

	if (colon == NULL || (size_t)(colon - address) >= sizeof(host))
		return 0;
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	return inet_pton(AF_INET, host, &number) == 1 ? ntohl(number.s_addr)
						      : 0;
}

/* Returns the bus address of a seed: its host and this instance's bus port. */
static char *
seed_bus_address(const char *seed, const char *own_bus)
{
	struct buf bus = {0};

	buf_append(&bus, seed, (size_t)(strrchr(seed, ':') - seed));
	buf_puts(&bus, strrchr(own_bus, ':'));
	return bus.data;
}

static bool
has_peer(const struct settings *s, uint32_t id)
{
	size_t i;

	for (i = 0; i < s->npeers; i++)
		if (s->peers[i].id == id)
			return true;
	return false;
}

/*
 * Adds the seeds as peers. Ids are IPv4 addresses as numbers, also this
 * instance's; all seeds are voters.
 */
static void
add_peers_from_seeds(struct settings *s)
{
	uint32_t id;
	size_t i;

	if (s->nseeds == 0 || s->npeers > 0 || s->bus_advertise == NULL)
		return;
	if (s->id == 0)
		s->id = address_to_ipv4(s->bus_advertise);
	s->peers = mem_alloc(s->nseeds, sizeof(*s->peers));
	for (i = 0; i < s->nseeds; i++) {
		id = s->seeds[i] == NULL ? 0 : address_to_ipv4(s->seeds[i]);
		if (id == 0 || has_peer(s, id))
			continue;
		s->peers[s->npeers].id = id;
		s->peers[s->npeers].bus =
		    seed_bus_address(s->seeds[i], s->bus_advertise);
		s->peers[s->npeers].voter = true;
		s->npeers++;
	}
}

/* An address that is not advertised explicitly is the listening address. */
static void
default_advertised(struct settings *s)
{
	if (s->http_advertise == NULL && s->http_listen != NULL)
		s->http_advertise = mem_string(s->http_listen);
	if (s->bus_advertise == NULL && s->bus_listen != NULL)
		s->bus_advertise = mem_string(s->bus_listen);
}

int
settings_parse(struct settings **out, const char *text, size_t len,
    struct settings_problems *problems, struct mp_error *err)
{
	size_t problems_before = problems->count;
	struct settings *s = mem_alloc(1, sizeof(*s));
	json_t *root = load_json(text, len, problems);

	if (root != NULL) {
		fields_read(s, settings_fields, root, "$", problems);
		default_advertised(s);
		add_peers_from_seeds(s);
		consistency_check(s, problems);
		json_decref(root);
	}
	*out = s;
	if (problems->count == problems_before)
		return MP_OK;
	*out = NULL;
	settings_destroy(s);
	return mp_error_set(err, MP_LAYER_CONF, MP_ERR_INVALID,
	    "%zu fault%s in the settings", problems->count - problems_before,
	    problems->count - problems_before == 1 ? "" : "s");
}

static int
read_file(struct buf *out, const char *file, struct mp_error *err)
{
	char chunk[CHUNK_BYTES];
	FILE *stream = fopen(file, "re");
	int code = MP_OK;
	size_t n;

	if (stream == NULL)
		return mp_error_set(err, MP_LAYER_CONF, MP_ERR_IO,
		    "cannot open %s: %s", file, strerror(errno));
	while ((n = fread(chunk, 1, sizeof(chunk), stream)) > 0)
		buf_append(out, chunk, n);
	if (ferror(stream))
		code = mp_error_set(err, MP_LAYER_CONF, MP_ERR_IO,
		    "cannot read %s: %s", file, strerror(errno));
	(void)fclose(stream);
	return code;
}

/* Resolves a relative file name against the settings file's folder. */
static void
resolve_path(char **path, const char *settings_file)
{
	const char *slash = strrchr(settings_file, '/');
	struct buf joined = {0};

	if (*path == NULL || (*path)[0] == '/' || slash == NULL)
		return;
	buf_append(&joined, settings_file, (size_t)(slash - settings_file) + 1);
	buf_puts(&joined, *path);
	free(*path);
	*path = joined.data;
}

int
settings_load(struct settings **out, const char *file,
    struct settings_problems *problems, struct mp_error *err)
{
	struct buf text = {0};
	int code = read_file(&text, file, err);

	*out = NULL;
	if (code != MP_OK)
		goto cleanup;
	code = settings_parse(
	    out, text.data == NULL ? "" : text.data, text.len, problems, err);
	if (*out == NULL)
		goto cleanup;
	resolve_path(&(*out)->data_folder, file);
	resolve_path(&(*out)->tls_certificate, file);
	resolve_path(&(*out)->tls_key, file);
cleanup:
	buf_free(&text);
	return code;
}

bool
settings_has_gateway(const struct settings *s)
{
	return s->gateway.front != NULL || s->gateway.control != NULL ||
	    s->gateway.registry != NULL || s->gateway.readiness != NULL;
}

void
settings_destroy(struct settings *s)
{
	if (s == NULL)
		return;
	fields_free(s, settings_fields);
	free(s);
}
