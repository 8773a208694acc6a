/* Lifetime of documents and lookups in them. */

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "doc/doc.h"
#include "util/mem.h"

struct doc *
doc_ref(struct doc *d)
{
	d->refs++;
	return d;
}

static void
doc_free_strings(char **strings, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		free(strings[i]);
	free(strings);
}

static void
doc_free_services(struct doc *d)
{
	struct doc_service *s;
	size_t i, j;

	for (i = 0; i < d->nservices; i++) {
		s = &d->services[i];
		for (j = 0; j < s->ncalls; j++) {
			free(s->calls[j].method);
			free(s->calls[j].path);
			free(s->calls[j].kind);
		}
		free(s->calls);
		free(s->name);
	}
	free(d->services);
}

void
doc_unref(struct doc *d)
{
	size_t i;

	if (d == NULL || --d->refs > 0)
		return;
	for (i = 0; i < d->nkinds; i++)
		free(d->kinds[i].name);
	free(d->kinds);
	for (i = 0; i < d->nadapters; i++) {
		free(d->adapters[i].name);
		free(d->adapters[i].version);
		doc_free_strings(
		    d->adapters[i].versions, d->adapters[i].nversions);
		free(d->adapters[i].base_model);
		free(d->adapters[i].kind);
	}
	free(d->adapters);
	doc_free_services(d);
	doc_free_strings(d->token_hashes, d->ntokens);
	free(d->team);
	free(d->text);
	free(d);
}

/* Binary search by the first len bytes of name. */
static const struct doc_adapter *
doc_find_adapter_n(const struct doc *d, const char *name, size_t len)
{
	size_t low = 0, high = d->nadapters, mid;
	const char *candidate;
	int order;

	while (low < high) {
		mid = low + (high - low) / 2;
		candidate = d->adapters[mid].name;
		order = strncmp(name, candidate, len);
		if (order == 0)
			order = candidate[len] == '\0' ? 0 : -1;
		if (order == 0)
			return &d->adapters[mid];
		if (order < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return NULL;
}

const struct doc_adapter *
doc_find_adapter(const struct doc *d, const char *name)
{
	return doc_find_adapter_n(d, name, strlen(name));
}

const struct doc_kind *
doc_find_kind(const struct doc *d, const char *name)
{
	size_t i;

	for (i = 0; i < d->nkinds; i++)
		if (strcmp(d->kinds[i].name, name) == 0)
			return &d->kinds[i];
	return NULL;
}

const struct doc_service *
doc_find_service(const struct doc *d, const char *name)
{
	size_t i;

	for (i = 0; i < d->nservices; i++)
		if (strcmp(d->services[i].name, name) == 0)
			return &d->services[i];
	return NULL;
}

/*
 * Whether a path may match a wildcard. Paths that the service could interpret
 * as another path may not: those with segments that begin with a dot, empty
 * segments, percent-encoded bytes, backslashes or semicolons.
 */
static bool
doc_path_is_unambiguous(const char *path, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (path[i] == '%' || path[i] == '\\' || path[i] == ';')
			return false;
		if (path[i] == '/' && i + 1 < len &&
		    (path[i + 1] == '.' || path[i + 1] == '/'))
			return false;
	}
	return true;
}

/*
 * Rates how well a declared path matches; 0 if it does not. A longer declared
 * path rates higher, and an exact match higher than a wildcard of its length.
 */
static size_t
doc_call_match_len(const struct doc_call *call, const char *path, size_t len)
{
	size_t pattern_len = strlen(call->path);

	if (call->path[pattern_len - 1] != '*')
		return pattern_len == len && memcmp(call->path, path, len) == 0
		    ? pattern_len + 1
		    : 0;
	if (len < pattern_len ||
	    memcmp(call->path, path, pattern_len - 1) != 0 ||
	    !doc_path_is_unambiguous(path, len))
		return 0;
	return pattern_len;
}

const struct doc_call *
doc_find_call(const struct doc_service *s, const char *method, const char *path)
{
	const struct doc_call *found = NULL;
	size_t i, match_len, best_len = 0, len = strcspn(path, "?");

	for (i = 0; i < s->ncalls; i++) {
		if (strcmp(s->calls[i].method, method) != 0)
			continue;
		match_len = doc_call_match_len(&s->calls[i], path, len);
		if (match_len > best_len) {
			best_len = match_len;
			found = &s->calls[i];
		}
	}
	return found;
}

int
doc_resolve_model(const struct doc *d, const char *model,
    const struct doc_adapter **adapter, const char **version,
    struct mp_error *err)
{
	size_t i, len = strcspn(model, "@");
	const struct doc_adapter *a = doc_find_adapter_n(d, model, len);

	*adapter = NULL;
	*version = NULL;
	if (a == NULL)
		return mp_error_set(err, MP_LAYER_DOC, MP_ERR_NOT_FOUND,
		    "team %s has no adapter \"%.*s\"", d->team, (int)len,
		    model);
	if (model[len] == '\0') {
		*adapter = a;
		*version = a->version;
		return MP_OK;
	}
	for (i = 0; i < a->nversions; i++) {
		if (strcmp(a->versions[i], model + len + 1) != 0)
			continue;
		*adapter = a;
		*version = a->versions[i];
		return MP_OK;
	}
	return mp_error_set(err, MP_LAYER_DOC, MP_ERR_INVALID,
	    "adapter \"%s\" of team %s has no version \"%s\"", a->name, d->team,
	    model + len + 1);
}

void
doc_hash_token(char *out, const char *token)
{
	unsigned char hash[crypto_hash_sha256_BYTES];

	crypto_hash_sha256(hash, (const unsigned char *)token, strlen(token));
	(void)sodium_bin2hex(out, sizeof(hash) * 2 + 1, hash, sizeof(hash));
}
