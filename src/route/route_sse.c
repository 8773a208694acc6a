#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "route/route_sse.h"
#include "util/mem.h"

bool
route_sse_feed(struct route_sse *s, const char *data, size_t len)
{
	if (s->consumed > 0) {
		buf_consume(&s->pending, s->consumed);
		s->consumed = 0;
	}
	buf_append(&s->pending, data, len);
	return s->pending.len <= ROUTE_SSE_EVENT_MAX;
}

/* Length of the line at p without its end; 0 with *next unset when open. */
static bool
sse_line(const char *p, size_t len, size_t *line, size_t *next)
{
	const char *end = len == 0 ? NULL : memchr(p, '\n', len);

	if (end == NULL)
		return false;
	*line = (size_t)(end - p);
	*next = *line + 1;
	if (*line > 0 && p[*line - 1] == '\r')
		(*line)--;
	return true;
}

static void
sse_add_line(struct buf *out, const char *line, size_t len)
{
	static const char field[] = "data:";
	size_t skip = sizeof(field) - 1;

	if (len < skip || memcmp(line, field, skip) != 0)
		return;
	if (len > skip && line[skip] == ' ')
		skip++;
	if (out->len > 0)
		buf_append(out, "\n", 1);
	buf_append(out, line + skip, len - skip);
}

bool
route_sse_next_event(struct route_sse *s, struct buf *out)
{
	size_t at = s->consumed, line, next;

	buf_clear(out);
	while (s->pending.len > at &&
	    sse_line(s->pending.data + at, s->pending.len - at, &line, &next)) {
		if (line > 0)
			sse_add_line(out, s->pending.data + at, line);
		at += next;
		if (line > 0)
			continue;
		s->consumed = at;
		if (out->len > 0)
			return true;
	}
	buf_clear(out);
	return false;
}

void
route_sse_free(struct route_sse *s)
{
	buf_free(&s->pending);
	s->consumed = 0;
}

static char *
chunk_string(const json_t *object, const char *key)
{
	const char *s = json_string_value(json_object_get(object, key));

	return s == NULL ? NULL : mem_string(s);
}

static uint32_t
chunk_count(const json_t *object, const char *key, uint32_t missing)
{
	const json_t *value = json_object_get(object, key);
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value) || n < 0 || n > UINT32_MAX)
		return missing;
	return (uint32_t)n;
}

bool
route_chunk_parse(struct route_chunk *out, const struct buf *event)
{
	static const char end_mark[] = "[DONE]";
	const json_t *choice;
	json_t *root;

	memset(out, 0, sizeof(*out));
	if (event->len == sizeof(end_mark) - 1 &&
	    memcmp(event->data, end_mark, event->len) == 0) {
		out->is_done = true;
		return true;
	}
	root = json_loadb(event->data, event->len, 0, NULL);
	choice = json_array_get(json_object_get(root, "choices"), 0);
	if (choice == NULL) {
		json_decref(root);
		return false;
	}
	out->id = chunk_string(root, "id");
	out->model = chunk_string(root, "model");
	out->offset = chunk_count(root, "offset", 0);
	out->text = chunk_string(choice, "text");
	out->tokens = chunk_count(root, "tokens", out->text == NULL ? 0 : 1);
	out->finish_reason = chunk_string(choice, "finish_reason");
	out->prompt_tokens =
	    chunk_count(json_object_get(root, "usage"), "prompt_tokens", 0);
	json_decref(root);
	if (out->id == NULL || out->model == NULL) {
		route_chunk_free(out);
		return false;
	}
	return true;
}

void
route_chunk_free(struct route_chunk *c)
{
	free(c->id);
	free(c->model);
	free(c->text);
	free(c->finish_reason);
	memset(c, 0, sizeof(*c));
}
