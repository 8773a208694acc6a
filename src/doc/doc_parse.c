/* Parsing and validation of a document; the limits of its values. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "doc/doc.h"
#include "doc/doc_check.h"
#include "util/mem.h"

#define DOC_TEXT_BYTES_MAX	(4U << 20)
#define DOC_TOKENS_MAX		64 /* bearer tokens */
#define DOC_TOKEN_HEX_DIGITS	64 /* of a SHA-256 */
#define DOC_KINDS_MAX		64
#define DOC_ADAPTERS_MAX	20000
#define DOC_VERSIONS_MAX	32
#define DOC_SERVICES_MAX	64
#define DOC_CALLS_MAX		256
#define DOC_PATH_BYTES_MAX	512 /* with the space before it */
#define DOC_WEIGHT_MIN		0.001
#define DOC_WEIGHT_MAX		1000.0
#define DOC_LIMIT_MAX		1000000U
#define DOC_PRIORITY_MAX	9U
#define DOC_PRIORITY_DEFAULT	1U
#define DOC_DEADLINE_MS_MIN	50U
#define DOC_DEADLINE_MS_DEFAULT 30000U
#define DOC_DEADLINE_MS_MAX	600000U
#define DOC_MAX_TOKENS_DEFAULT	512U
#define DOC_MAX_TOKENS_MAX	1000000U /* generated tokens of one answer */
#define DOC_TIMEOUT_MS_MIN	50U
#define DOC_TIMEOUT_MS_DEFAULT	5000U
#define DOC_TIMEOUT_MS_MAX	600000U
#define DOC_JSON_HASH_SEED	1 /* for jansson, unless set earlier */

#define DOC_NFIELDS(f)		(sizeof(f) / sizeof((f)[0]))

static void
doc_parse_tokens(struct doc_check *c, struct doc *d, const json_t *value)
{
	const char *hex;
	size_t i, j;

	if (value == NULL || !doc_check_array(c, value, 0, DOC_TOKENS_MAX))
		return;
	d->token_hashes = mem_alloc(json_array_size(value), sizeof(char *));
	for (i = 0; i < json_array_size(value); i++) {
		doc_check_push_index(c, i);
		hex = json_string_value(json_array_get(value, i));
		if (hex == NULL || strlen(hex) != DOC_TOKEN_HEX_DIGITS ||
		    strspn(hex, "0123456789abcdef") != DOC_TOKEN_HEX_DIGITS) {
			doc_check_add_fault(c, json_array_get(value, i),
			    "a SHA-256 in 64 lower-case hex digits");
			doc_check_pop(c);
			continue;
		}
		for (j = 0; j < d->ntokens; j++)
			if (strcmp(d->token_hashes[j], hex) == 0)
				break;
		if (j < d->ntokens)
			doc_check_add_fault(c, json_array_get(value, i),
			    "a token not listed before");
		else
			d->token_hashes[d->ntokens++] = mem_string(hex);
		doc_check_pop(c);
	}
}

static void
doc_parse_limits(struct doc_check *c, struct doc *d, const json_t *value)
{
	static const struct doc_field fields[] = {
	    {"requestsPerSecond", false}, {"concurrent", false}};

	if (value == NULL ||
	    !doc_check_fields(c, value, fields, DOC_NFIELDS(fields)))
		return;
	doc_check_uint(c, value, "requestsPerSecond", 0, DOC_LIMIT_MAX,
	    &d->requests_per_second);
	doc_check_uint(
	    c, value, "concurrent", 0, DOC_LIMIT_MAX, &d->max_concurrent);
}

/* Checks a key that is a name. */
static void
doc_check_key(struct doc_check *c, const char *key)
{
	json_t *key_json;

	if (doc_is_valid_name(key))
		return;
	key_json = json_string(key);
	doc_check_add_fault(c, key_json,
	    "a key of 1 to 63 of a-z, 0-9, '.', '_', '-', first a letter or "
	    "digit");
	json_decref(key_json);
}

static void
doc_parse_kind(struct doc_check *c, struct doc_kind *kind, const json_t *value)
{
	static const struct doc_field fields[] = {{"weight", false},
	    {"priority", false}, {"deadlineMs", false}, {"maxTokens", false}};

	kind->weight = 1.0;
	kind->priority = DOC_PRIORITY_DEFAULT;
	kind->deadline_ms = DOC_DEADLINE_MS_DEFAULT;
	kind->max_tokens = DOC_MAX_TOKENS_DEFAULT;
	if (!doc_check_fields(c, value, fields, DOC_NFIELDS(fields)))
		return;
	doc_check_real(
	    c, value, "weight", DOC_WEIGHT_MIN, DOC_WEIGHT_MAX, &kind->weight);
	doc_check_uint(
	    c, value, "priority", 0, DOC_PRIORITY_MAX, &kind->priority);
	doc_check_uint(c, value, "deadlineMs", DOC_DEADLINE_MS_MIN,
	    DOC_DEADLINE_MS_MAX, &kind->deadline_ms);
	doc_check_uint(
	    c, value, "maxTokens", 1, DOC_MAX_TOKENS_MAX, &kind->max_tokens);
}

static void
doc_parse_kinds(struct doc_check *c, struct doc *d, json_t *value)
{
	const char *key;
	json_t *entry;

	if (value == NULL || !doc_check_entries(c, value, 1, DOC_KINDS_MAX))
		return;
	d->kinds = mem_alloc(json_object_size(value), sizeof(*d->kinds));
	json_object_foreach(value, key, entry)
	{
		doc_check_push_key(c, key);
		doc_check_key(c, key);
		d->kinds[d->nkinds].name = mem_string(key);
		doc_parse_kind(c, &d->kinds[d->nkinds++], entry);
		doc_check_pop(c);
	}
}

/* Reads the name of a kind and checks that the document declares it. */
static void
doc_check_kind(
    struct doc_check *c, const struct doc *d, const json_t *object, char **out)
{
	struct buf allowed = {0};
	size_t i, faults = c->nfaults;

	doc_check_name(c, object, "kind", out);
	if (*out == NULL || c->nfaults != faults ||
	    doc_find_kind(d, *out) != NULL)
		return;
	buf_puts(&allowed, "a declared kind:");
	for (i = 0; i < d->nkinds && i < DOC_KINDS_MAX; i++)
		buf_printf(&allowed, " %s", d->kinds[i].name);
	doc_check_push_key(c, "kind");
	doc_check_add_fault(c, json_object_get(object, "kind"), allowed.data);
	doc_check_pop(c);
	buf_free(&allowed);
}

/* Without a list of versions, the default version is the only one. */
static void
doc_parse_versions(
    struct doc_check *c, struct doc_adapter *a, const json_t *value)
{
	const json_t *item;
	const char *name;
	size_t i, j, n;
	bool has_default = false;

	if (value == NULL) {
		if (a->version == NULL)
			return;
		a->versions = mem_alloc(1, sizeof(char *));
		a->versions[a->nversions++] = mem_string(a->version);
		return;
	}
	if (!doc_check_array(c, value, 1, DOC_VERSIONS_MAX))
		return;
	n = json_array_size(value);
	a->versions = mem_alloc(n, sizeof(char *));
	for (i = 0; i < n; i++) {
		item = json_array_get(value, i);
		name = json_string_value(item);
		for (j = 0; name != NULL && j < a->nversions; j++)
			if (strcmp(a->versions[j], name) == 0)
				break;
		if (name != NULL && doc_is_valid_name(name) &&
		    j == a->nversions) {
			a->versions[a->nversions++] = mem_string(name);
			has_default |=
			    a->version != NULL && strcmp(name, a->version) == 0;
			continue;
		}
		doc_check_push_index(c, i);
		doc_check_add_fault(c, item,
		    "a version not listed before: 1 to 63 of a-z, 0-9, '.', "
		    "'_', '-'");
		doc_check_pop(c);
	}
	if (a->version != NULL && !has_default)
		doc_check_add_fault(c, value, "a list that holds \"version\"");
}

static void
doc_parse_adapter(struct doc_check *c, const struct doc *d,
    struct doc_adapter *a, const json_t *value)
{
	static const struct doc_field fields[] = {{"version", true},
	    {"versions", false}, {"baseModel", true}, {"kind", true},
	    {"pinned", false}};

	if (!doc_check_fields(c, value, fields, DOC_NFIELDS(fields)))
		return;
	doc_check_name(c, value, "version", &a->version);
	doc_check_name(c, value, "baseModel", &a->base_model);
	doc_check_kind(c, d, value, &a->kind);
	doc_check_bool(c, value, "pinned", &a->pinned);
	doc_check_push_key(c, "versions");
	doc_parse_versions(c, a, json_object_get(value, "versions"));
	doc_check_pop(c);
}

static int
doc_adapter_compare(const void *a, const void *b)
{
	return strcmp(((const struct doc_adapter *)a)->name,
	    ((const struct doc_adapter *)b)->name);
}

static void
doc_parse_adapters(struct doc_check *c, struct doc *d, json_t *value)
{
	struct doc_adapter *a;
	const char *key;
	json_t *entry;

	if (value == NULL || !doc_check_entries(c, value, 0, DOC_ADAPTERS_MAX))
		return;
	d->adapters = mem_alloc(json_object_size(value), sizeof(*d->adapters));
	json_object_foreach(value, key, entry)
	{
		doc_check_push_key(c, key);
		doc_check_key(c, key);
		a = &d->adapters[d->nadapters++];
		a->name = mem_string(key);
		doc_parse_adapter(c, d, a, entry);
		doc_check_pop(c);
	}
	qsort(d->adapters, d->nadapters, sizeof(*d->adapters),
	    doc_adapter_compare);
}

/*
 * Splits a key such as "POST /book" into method and path. The last segment of
 * the path may be the wildcard "*", which matches all paths below.
 */
static bool
doc_parse_call_key(struct doc_call *call, const char *key)
{
	static const char *const methods[] = {
	    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
	const char *path = strchr(key, ' ');
	const char *star, *p;
	size_t i;

	if (path == NULL || path[1] != '/' || strlen(path) > DOC_PATH_BYTES_MAX)
		return false;
	for (p = path + 1; *p != '\0'; p++)
		if (*p <= ' ' || *p > '~' || strchr("?#%\"\\", *p) != NULL)
			return false;
	star = strchr(path, '*');
	if (star != NULL && (star[-1] != '/' || star[1] != '\0'))
		return false;
	for (i = 0; i < DOC_NFIELDS(methods); i++) {
		if (strlen(methods[i]) != (size_t)(path - key) ||
		    strncmp(key, methods[i], (size_t)(path - key)) != 0)
			continue;
		call->method = mem_string(methods[i]);
		call->path = mem_string(path + 1);
		return true;
	}
	return false;
}

static void
doc_parse_call(struct doc_check *c, const struct doc *d, struct doc_call *call,
    const char *key, const json_t *value)
{
	static const struct doc_field fields[] = {
	    {"idempotent", true}, {"kind", true}};
	json_t *key_json;

	if (!doc_parse_call_key(call, key)) {
		key_json = json_string(key);
		doc_check_add_fault(c, key_json,
		    "a key \"METHOD /path\" of GET, HEAD, POST, PUT, PATCH or "
		    "DELETE, the path without '?', '#', '%', ending in \"/*\" "
		    "for any below");
		json_decref(key_json);
	}
	if (!doc_check_fields(c, value, fields, DOC_NFIELDS(fields)))
		return;
	doc_check_bool(c, value, "idempotent", &call->idempotent);
	doc_check_kind(c, d, value, &call->kind);
}

static void
doc_parse_service(struct doc_check *c, const struct doc *d,
    struct doc_service *s, const json_t *value)
{
	static const struct doc_field fields[] = {
	    {"timeoutMs", false}, {"calls", true}};
	json_t *calls, *entry;
	const char *key;

	s->timeout_ms = DOC_TIMEOUT_MS_DEFAULT;
	if (!doc_check_fields(c, value, fields, DOC_NFIELDS(fields)))
		return;
	doc_check_uint(c, value, "timeoutMs", DOC_TIMEOUT_MS_MIN,
	    DOC_TIMEOUT_MS_MAX, &s->timeout_ms);
	calls = json_object_get(value, "calls");
	if (calls == NULL)
		return;
	doc_check_push_key(c, "calls");
	if (doc_check_entries(c, calls, 1, DOC_CALLS_MAX)) {
		s->calls =
		    mem_alloc(json_object_size(calls), sizeof(*s->calls));
		json_object_foreach(calls, key, entry)
		{
			doc_check_push_key(c, key);
			doc_parse_call(
			    c, d, &s->calls[s->ncalls++], key, entry);
			doc_check_pop(c);
		}
	}
	doc_check_pop(c);
}

static void
doc_parse_services(struct doc_check *c, struct doc *d, json_t *value)
{
	const char *key;
	json_t *entry;

	if (value == NULL || !doc_check_entries(c, value, 0, DOC_SERVICES_MAX))
		return;
	d->services = mem_alloc(json_object_size(value), sizeof(*d->services));
	json_object_foreach(value, key, entry)
	{
		doc_check_push_key(c, key);
		doc_check_key(c, key);
		d->services[d->nservices].name = mem_string(key);
		doc_parse_service(c, d, &d->services[d->nservices++], entry);
		doc_check_pop(c);
	}
}

/* Parses kinds before adapters and services, which refer to them. */
static void
doc_parse_root(struct doc_check *c, struct doc *d, const json_t *root)
{
	static const struct doc_field fields[] = {{"team", true},
	    {"tokens", false}, {"weight", false}, {"limits", false},
	    {"kinds", true}, {"adapters", false}, {"services", false}};
	static const struct {
		const char *key;
		void (*parse)(struct doc_check *, struct doc *, json_t *);
	} objects[] = {{"kinds", doc_parse_kinds},
	    {"adapters", doc_parse_adapters}, {"services", doc_parse_services}};
	size_t i;

	d->weight = 1.0;
	if (!doc_check_fields(c, root, fields, DOC_NFIELDS(fields)))
		return;
	doc_check_name(c, root, "team", &d->team);
	doc_check_real(
	    c, root, "weight", DOC_WEIGHT_MIN, DOC_WEIGHT_MAX, &d->weight);
	doc_check_push_key(c, "tokens");
	doc_parse_tokens(c, d, json_object_get(root, "tokens"));
	doc_check_pop(c);
	doc_check_push_key(c, "limits");
	doc_parse_limits(c, d, json_object_get(root, "limits"));
	doc_check_pop(c);
	for (i = 0; i < DOC_NFIELDS(objects); i++) {
		doc_check_push_key(c, objects[i].key);
		objects[i].parse(c, d, json_object_get(root, objects[i].key));
		doc_check_pop(c);
	}
}

/* Records an error of the JSON parser. */
static void
doc_parse_add_fault(
    struct doc_check *c, const json_error_t *error, const char *allowed)
{
	char found[DOC_NAME_BYTES * 4];

	(void)snprintf(found, sizeof(found), "line %d, column %d: %s",
	    error->line, error->column, error->text);
	c->nfaults++;
	settings_problems_add(c->problems, "$", found, allowed);
}

/*
 * Parses the JSON text. A duplicate key is recorded as a fault; the text is
 * then parsed again with the last value of the key, so that the other faults
 * are reported as well.
 */
static json_t *
doc_parse_json(struct doc_check *c, const char *text, size_t len)
{
	json_error_t error;
	json_t *root;

	json_object_seed(DOC_JSON_HASH_SEED);
	if (len > DOC_TEXT_BYTES_MAX) {
		c->nfaults++;
		settings_problems_add(
		    c->problems, "$", "too many bytes", "at most 4 MiB");
		return NULL;
	}
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);
	if (root == NULL &&
	    json_error_code(&error) == json_error_duplicate_key) {
		doc_parse_add_fault(c, &error, "each key of an object once");
		root = json_loadb(text, len, 0, &error);
	}
	if (root == NULL)
		doc_parse_add_fault(c, &error, "JSON");
	return root;
}

int
doc_parse(struct doc **out, const char *text, size_t len,
    struct settings_problems *problems, struct mp_error *err)
{
	struct doc_check c = {.problems = problems};
	struct doc *d = mem_alloc(1, sizeof(*d));
	int rc = MP_OK;
	json_t *root;

	d->refs = 1;
	root = doc_parse_json(&c, text, len);
	if (root != NULL)
		doc_parse_root(&c, d, root);
	json_decref(root);
	if (c.nfaults > 0) {
		rc = mp_error_set(err, MP_LAYER_DOC, MP_ERR_INVALID,
		    "the document has %zu %s; first: %s: found %s, allowed %s",
		    c.nfaults, c.nfaults == 1 ? "fault" : "faults",
		    problems->items[0].path, problems->items[0].found,
		    problems->items[0].allowed);
		doc_unref(d);
		d = NULL;
	} else {
		d->text = mem_copy(text, len);
		d->text_len = len;
	}
	*out = d;
	return rc;
}
