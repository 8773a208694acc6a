#include "mulberryctl/trace.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "util/mem.h"

#define TRACE_FIRST_CAP 1024

struct trace_request *
trace_add(struct trace *t)
{
	struct trace_request *r;

	if (t->count == t->cap) {
		t->cap = t->cap == 0 ? TRACE_FIRST_CAP : 2 * t->cap;
		t->items = mem_resize(t->items, t->cap, sizeof(*t->items));
	}
	r = &t->items[t->count++];
	memset(r, 0, sizeof(*r));
	return r;
}

static void
merge(struct trace_request *to, const struct trace_request *from, size_t middle,
    size_t n)
{
	size_t a = 0, b = middle, i;

	for (i = 0; i < n; i++)
		if (b == n || (a < middle && from[a].at_ms <= from[b].at_ms))
			to[i] = from[a++];
		else
			to[i] = from[b++];
}

void
trace_sort(struct trace *t)
{
	struct trace_request *other, *swap;
	size_t width, i, rest;

	other = mem_alloc(t->count, sizeof(*other));
	for (width = 1; width < t->count; width *= 2) {
		for (i = 0; i < t->count; i += 2 * width) {
			rest = t->count - i;
			merge(other + i, t->items + i,
			    rest < width ? rest : width,
			    rest < 2 * width ? rest : 2 * width);
		}
		swap = t->items;
		t->items = other;
		other = swap;
	}
	t->cap = t->count;
	free(other);
}

static void
request_free(struct trace_request *r)
{
	free(r->team);
	free(r->kind);
	free(r->adapter);
	free(r->version);
	free(r->prompt);
	free(r->session);
	free(r->method);
	free(r->path);
	free(r->key);
}

void
trace_free(struct trace *t)
{
	while (t->count > 0)
		request_free(&t->items[--t->count]);
	free(t->items);
	memset(t, 0, sizeof(*t));
}

/* ---- files -----------------------------------------------------------------
 */

static json_t *
request_pack(const struct trace_request *r)
{
	json_t *session =
	    r->session == NULL ? NULL : json_loads(r->session, 0, NULL);
	json_t *line = json_pack("{s:i, s:s, s:s}", "at_ms", (int)r->at_ms,
	    "team", r->team, "kind", r->kind);

	if (r->adapter == NULL) {
		(void)json_object_set_new(
		    line, "method", json_string(r->method));
		(void)json_object_set_new(line, "path", json_string(r->path));
		if (r->key != NULL)
			(void)json_object_set_new(
			    line, "key", json_string(r->key));
		return line;
	}
	(void)json_object_set_new(line, "adapter", json_string(r->adapter));
	if (r->version != NULL)
		(void)json_object_set_new(
		    line, "version", json_string(r->version));
	if (session != NULL)
		(void)json_object_set_new(line, "session", session);
	else
		(void)json_object_set_new(
		    line, "prompt", json_string(r->prompt));
	(void)json_object_set_new(
	    line, "max_tokens", json_integer(r->max_tokens));
	(void)json_object_set_new(line, "stream", json_boolean(r->stream));
	return line;
}

int
trace_write(const struct trace *t, FILE *out, struct mp_error *err)
{
	json_t *line;
	size_t i;
	int rc = 0;

	for (i = 0; i < t->count && rc == 0; i++) {
		line = request_pack(&t->items[i]);
		rc = json_dumpf(line, out, JSON_COMPACT);
		json_decref(line);
		if (rc == 0 && fputc('\n', out) == EOF)
			rc = -1;
	}
	if (rc != 0 || fflush(out) != 0)
		return mp_error_set(err, MP_LAYER_CLI, MP_ERR_IO,
		    "the trace cannot be written");
	return MP_OK;
}

static char *
take_string(const json_t *line, const char *key)
{
	const char *s = json_string_value(json_object_get(line, key));

	return s == NULL ? NULL : mem_string(s);
}

/* What is wrong with a line, or NULL. */
static const char *
request_unpack(struct trace_request *r, const json_t *line)
{
	const json_t *at = json_object_get(line, "at_ms");
	const json_t *max = json_object_get(line, "max_tokens");
	const json_t *session = json_object_get(line, "session");

	r->team = take_string(line, "team");
	r->kind = take_string(line, "kind");
	r->adapter = take_string(line, "adapter");
	r->version = take_string(line, "version");
	r->prompt = take_string(line, "prompt");
	if (json_is_array(session))
		r->session = json_dumps(session, JSON_COMPACT);
	r->method = take_string(line, "method");
	r->path = take_string(line, "path");
	r->key = take_string(line, "key");
	r->max_tokens = (uint32_t)json_integer_value(max);
	r->stream = json_is_true(json_object_get(line, "stream"));
	if (!json_is_integer(at) || json_integer_value(at) < 0 ||
	    json_integer_value(at) > UINT32_MAX)
		return "\"at_ms\" must be a time in milliseconds";
	r->at_ms = (uint32_t)json_integer_value(at);
	if (r->team == NULL || r->kind == NULL)
		return "\"team\" and \"kind\" must be names";
	if (r->adapter == NULL)
		return r->method != NULL && r->path != NULL
		    ? NULL
		    : "\"adapter\", or \"method\" and \"path\" are needed";
	if ((r->prompt == NULL) == (r->session == NULL))
		return "one of \"prompt\" and \"session\" is needed";
	return json_is_integer(max) && json_integer_value(max) > 0 &&
		json_integer_value(max) <= UINT32_MAX
	    ? NULL
	    : "\"max_tokens\" must be a positive number";
}

int
trace_read(struct trace *t, FILE *in, struct mp_error *err)
{
	char *text = NULL;
	const char *fault = NULL;
	size_t cap = 0, number = 0;
	ssize_t len;
	json_t *line;

	while (fault == NULL && (len = getline(&text, &cap, in)) != -1) {
		number++;
		if (len == 1 && text[0] == '\n')
			continue;
		line = json_loadb(text, (size_t)len, 0, NULL);
		fault = json_is_object(line)
		    ? request_unpack(trace_add(t), line)
		    : "not a JSON object";
		json_decref(line);
	}
	free(text);
	if (fault != NULL)
		return mp_error_set(err, MP_LAYER_CLI, MP_ERR_INVALID,
		    "line %zu: %s", number, fault);
	if (ferror(in))
		return mp_error_set(
		    err, MP_LAYER_CLI, MP_ERR_IO, "the trace cannot be read");
	return MP_OK;
}
