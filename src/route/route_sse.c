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

/*
 * Finds the line at p. Returns false if its end is not within len bytes.
 *
 * line_len: set to the line's length without LF or CR LF.
 * next: set to the offset of the next line.
 */
static bool
find_line(const char *p, size_t len, size_t *line_len, size_t *next)
{
	const char *end = len == 0 ? NULL : memchr(p, '\n', len);

	if (end == NULL)
		return false;
	*line_len = (size_t)(end - p);
	*next = *line_len + 1;
	if (*line_len > 0 && p[*line_len - 1] == '\r')
		(*line_len)--;
	return true;
}

static void
append_data_line(struct buf *out, const char *line, size_t len)
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
	size_t offset = s->consumed, line_len, next;

	buf_clear(out);
	while (s->pending.len > offset &&
	    find_line(s->pending.data + offset, s->pending.len - offset,
		&line_len, &next)) {
		if (line_len > 0)
			append_data_line(
			    out, s->pending.data + offset, line_len);
		offset += next;
		if (line_len > 0)
			continue;
		s->consumed = offset;
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
get_string(const json_t *object, const char *key)
{
	const char *s = json_string_value(json_object_get(object, key));

	return s == NULL ? NULL : mem_string(s);
}

static uint32_t
get_count(const json_t *object, const char *key, uint32_t default_count)
{
	const json_t *value = json_object_get(object, key);
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value) || n < 0 || n > UINT32_MAX)
		return default_count;
	return (uint32_t)n;
}

bool
route_chunk_parse(struct route_chunk *out, const struct buf *event)
{
	static const char end_marker[] = "[DONE]";
	const json_t *choice;
	json_t *root;

	memset(out, 0, sizeof(*out));
	if (event->len == sizeof(end_marker) - 1 &&
	    memcmp(event->data, end_marker, event->len) == 0) {
		out->is_done = true;
		return true;
	}
	root = json_loadb(event->data, event->len, 0, NULL);
	choice = json_array_get(json_object_get(root, "choices"), 0);
	if (choice == NULL) {
		json_decref(root);
		return false;
	}
	out->id = get_string(root, "id");
	out->model = get_string(root, "model");
	out->offset = get_count(root, "offset", 0);
	out->text = get_string(choice, "text");
	out->tokens = get_count(root, "tokens", out->text == NULL ? 0 : 1);
	out->finish_reason = get_string(choice, "finish_reason");
	out->prompt_tokens =
	    get_count(json_object_get(root, "usage"), "prompt_tokens", 0);
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
