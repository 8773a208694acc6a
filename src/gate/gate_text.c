#include <stdlib.h>
#include <string.h>

#include "gate/gate_text_internal.h"

/* Splitting and reading of a configuration text, see gate_text.h. */

/* ---- splitting ---------------------------------------------------------- */

struct scan {
	const char *data;
	size_t len, at;
	size_t start; /* of the segment that is being read */
	struct gw_text *text;
	enum gw_segment_kind last; /* kind of the segment before */
	const struct gw_text *base;
	size_t base_at; /* segment of base that is expected next */
	size_t base_chunk; /* chunk of a segment of base before that */
	size_t misses; /* elements since the last that base has */
	bool try_rest; /* of a chunk, as something new was read before it */
};

static bool
is_at(const struct scan *s, char c)
{
	return s->at < s->len && s->data[s->at] == c;
}

static void
skip_space(struct scan *s)
{
	while (s->at < s->len && gw_text_is_space(s->data[s->at]))
		s->at++;
}

/* Ends the current segment at this place, and begins the next there. */
static void
cut(struct scan *s, enum gw_segment_kind kind)
{
	gw_text_append(s->text,
	    (struct node_bytes){s->data + s->start, s->at - s->start}, kind);
	s->start = s->at;
	s->last = kind;
	s->try_rest = true;
}

static bool
skip_string(struct scan *s)
{
	if (!is_at(s, '"'))
		return false;
	for (s->at++; s->at < s->len; s->at++) {
		if (s->data[s->at] == '\\')
			s->at++;
		else if (s->data[s->at] == '"') {
			s->at++;
			return true;
		}
	}
	return false;
}

/* Skips an object or array with all that it contains. */
static bool
skip_nested(struct scan *s)
{
	size_t depth = 0;

	while (s->at < s->len) {
		switch (s->data[s->at]) {
		case '"':
			if (!skip_string(s))
				return false;
			continue;
		case '{':
		case '[':
			depth++;
			break;
		case '}':
		case ']':
			depth--;
			break;
		default:
			break;
		}
		s->at++;
		if (depth == 0)
			return true;
	}
	return false;
}

static bool
skip_value(struct scan *s)
{
	size_t start = s->at;

	if (is_at(s, '"'))
		return skip_string(s);
	if (is_at(s, '{') || is_at(s, '['))
		return skip_nested(s);
	while (s->at < s->len && !gw_text_is_space(s->data[s->at]) &&
	    strchr(",]}", s->data[s->at]) == NULL)
		s->at++;
	return s->at > start;
}

/* ---- sharing with a base ------------------------------------------------ */

/* Elements of base that are compared with one of the text, at most. */
#define MISSES_MAX 8u

/* Whether the text goes on with these bytes. */
static bool
starts_with(const struct scan *s, const char *data, size_t len)
{
	return len <= s->len - s->at && memcmp(data, s->data + s->at, len) == 0;
}

/*
 * Whether a segment that base and the text have here ends at the same place in
 * both, which may depend on the byte that follows, at index end.
 */
static bool
ends_alike(const struct scan *s, enum gw_segment_kind kind,
    struct node_bytes segment, size_t end)
{
	char next;

	if (end >= s->len)
		return false;
	next = s->data[end];
	if (kind != GW_SEGMENT_ELEMENT)
		return !gw_text_is_space(next) && next != ']';
	return strchr("{[\"", segment.data[0]) != NULL ||
	    gw_text_is_space(next) || next == ',' || next == ']';
}

/* Takes the segments from a place of base up to the end of a chunk's part. */
static void
take_shared(
    struct scan *s, struct gw_text_place place, size_t count, size_t bytes)
{
	const struct gw_chunk *c = s->base->chunks[place.chunk];

	gw_text_append_part(s->text, s->base, place, count);
	s->at += bytes;
	s->start = s->at;
	s->base_at = s->base->starts[place.chunk] + place.offset + count;
	s->last = (enum gw_segment_kind)c->kinds[place.offset + count - 1];
	s->misses = 0;
}

/*
 * Shares a whole chunk of base if it begins with the segment that is expected
 * next, or takes the rest of one. How the text is split here depends only on
 * the segment before, so equal bytes give equal segments.
 */
static bool
share_chunk(struct scan *s)
{
	const struct gw_text *base = s->base;
	const struct gw_chunk *c;
	struct gw_text_place p;
	size_t first, bytes;

	if (s->base_at >= gw_text_count(base))
		return false;
	p = gw_text_find(base, s->base_at, s->base_chunk);
	s->base_chunk = p.chunk;
	c = base->chunks[p.chunk];
	if ((p.offset != 0 && !s->try_rest) ||
	    (s->base_at == 0) != (s->text->count == 0) ||
	    (s->base_at > 0 &&
		(s->last == GW_SEGMENT_ELEMENT) ==
		    (c->kinds[p.offset] == GW_SEGMENT_ELEMENT)))
		return false;
	s->try_rest = false;
	first = p.offset == 0 ? 0 : c->ends[p.offset - 1];
	bytes = c->bytes - first;
	if (!starts_with(s, c->data + first, bytes))
		return false;
	if (p.chunk + 1 == base->nchunks
		? s->at + bytes != s->len
		: !ends_alike(s, (enum gw_segment_kind)c->kinds[c->count - 1],
		      gw_chunk_segment(c, c->count - 1), s->at + bytes))
		return false;
	take_shared(s, p, c->count - p.offset, bytes);
	return true;
}

/* Shares segment i of base if the text goes on with it. */
static bool
share_segment(struct scan *s, size_t i, enum gw_segment_kind kind)
{
	struct gw_text_place p = gw_text_find(s->base, i, s->base_chunk);
	const struct gw_chunk *c = s->base->chunks[p.chunk];
	struct node_bytes segment = gw_chunk_segment(c, p.offset);

	s->base_chunk = p.chunk;
	if (c->kinds[p.offset] != kind ||
	    !starts_with(s, segment.data, segment.len) ||
	    !ends_alike(s, kind, segment, s->at + segment.len))
		return false;
	take_shared(s, p, 1, segment.len);
	return true;
}

/* Takes an element over from base, if it is one of those expected next. */
static bool
share_element(struct scan *s)
{
	size_t count = gw_text_count(s->base), i, end;

	end = s->base_at + 2 * (s->misses + 2);
	for (i = s->base_at; i < end && i < count; i++)
		if (share_segment(s, i, GW_SEGMENT_ELEMENT))
			return true;
	if (s->misses < MISSES_MAX)
		s->misses++;
	return false;
}

static bool
share_separator(struct scan *s)
{
	return s->base_at < gw_text_count(s->base) &&
	    share_segment(s, s->base_at, GW_SEGMENT_SEPARATOR);
}

/* ---- segments ----------------------------------------------------------- */

static bool
read_element(struct scan *s)
{
	size_t start = s->at;

	if (share_element(s))
		return true;
	if (!skip_value(s))
		return false;
	s->text->work.scanned_bytes += s->at - start;
	cut(s, GW_SEGMENT_ELEMENT);
	return true;
}

/*
 * Reads members of the object up to the first element of an array, or to the
 * end of the text.
 */
static bool
read_members(struct scan *s)
{
	for (;;) {
		skip_space(s);
		if (!skip_string(s))
			return false;
		skip_space(s);
		if (!is_at(s, ':'))
			return false;
		s->at++;
		skip_space(s);
		if (is_at(s, '[')) {
			s->at++;
			skip_space(s);
			if (!is_at(s, ']')) {
				cut(s, GW_SEGMENT_REST);
				return true;
			}
			s->at++;
		} else if (!skip_value(s)) {
			return false;
		}
		skip_space(s);
		if (!is_at(s, ','))
			break;
		s->at++;
	}
	if (!is_at(s, '}'))
		return false;
	s->at = s->len;
	cut(s, GW_SEGMENT_REST);
	return true;
}

static bool
read_beginning(struct scan *s)
{
	skip_space(s);
	if (!is_at(s, '{'))
		return false;
	s->at++;
	skip_space(s);
	if (!is_at(s, '}'))
		return read_members(s);
	s->at = s->len;
	cut(s, GW_SEGMENT_REST);
	return true;
}

/* Reads what follows an element: a separator, or the end of the array. */
static bool
read_after_element(struct scan *s)
{
	if (share_separator(s))
		return true;
	skip_space(s);
	if (is_at(s, ',')) {
		s->at++;
		skip_space(s);
		cut(s, GW_SEGMENT_SEPARATOR);
		return true;
	}
	if (!is_at(s, ']'))
		return false;
	s->at++;
	skip_space(s);
	if (is_at(s, ',')) {
		s->at++;
		return read_members(s);
	}
	if (!is_at(s, '}'))
		return false;
	s->at = s->len;
	cut(s, GW_SEGMENT_REST);
	return true;
}

/* Splits the text; what comes next depends on the kind of segment before. */
static bool
split(struct scan *s)
{
	do {
		if (share_chunk(s))
			continue;
		if (s->text->count == 0) {
			if (!read_beginning(s))
				return false;
		} else if (s->last == GW_SEGMENT_ELEMENT) {
			if (!read_after_element(s))
				return false;
		} else if (!read_element(s)) {
			return false;
		}
	} while (s->at < s->len);
	return s->last == GW_SEGMENT_REST;
}

int
gw_text_parse(struct gw_text **out, struct node_bytes text,
    const struct gw_text *base, struct mp_error *err)
{
	struct scan s = {.data = text.data, .len = text.len, .base = base};

	*out = NULL;
	s.text = gw_text_create(base == NULL ? 0 : base->nchunks + 1);
	if (!split(&s) || !gw_text_finish(s.text)) {
		gw_text_destroy(s.text);
		return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
		    "$: must be a JSON object");
	}
	*out = s.text;
	return MP_OK;
}

struct gw_text *
gw_text_create_unsplit(struct node_bytes bytes)
{
	struct gw_text *text = gw_text_create(1);

	gw_text_append(text, bytes, GW_SEGMENT_REST);
	(void)gw_text_finish(text);
	return text;
}

/* ---- reading ------------------------------------------------------------ */

size_t
gw_text_count(const struct gw_text *text)
{
	return text == NULL ? 0 : text->count;
}

size_t
gw_text_bytes(const struct gw_text *text)
{
	return text == NULL ? 0 : text->bytes;
}

struct node_bytes
gw_text_segment(const struct gw_text *text, size_t i)
{
	struct gw_text_place p = gw_text_find(text, i, 0);

	return gw_chunk_segment(text->chunks[p.chunk], p.offset);
}

enum gw_segment_kind
gw_text_kind(const struct gw_text *text, size_t i)
{
	struct gw_text_place p = gw_text_find(text, i, 0);

	return (enum gw_segment_kind)text->chunks[p.chunk]->kinds[p.offset];
}

const struct gw_text_array *
gw_text_arrays(const struct gw_text *text, size_t *count)
{
	*count = text == NULL ? 0 : text->narrays;
	return text == NULL ? NULL : text->arrays;
}

struct gw_text_work
gw_text_get_work(const struct gw_text *text)
{
	return text == NULL ? (struct gw_text_work){0} : text->work;
}

uint64_t
gw_text_digest(const struct gw_text *text)
{
	return text == NULL ? 0 : text->digest;
}

bool
gw_text_is_equal(const struct gw_text *a, const struct gw_text *b)
{
	struct gw_text_place p = {0, 0}, q = {0, 0};
	const struct gw_chunk *c, *d;
	struct node_bytes s, t;
	size_t i, n;

	if (gw_text_bytes(a) != gw_text_bytes(b) ||
	    gw_text_count(a) != gw_text_count(b))
		return false;
	for (i = 0; i < gw_text_count(a); i += n) {
		p = gw_text_find(a, i, p.chunk);
		q = gw_text_find(b, i, q.chunk);
		c = a->chunks[p.chunk];
		d = b->chunks[q.chunk];
		if (c == d && p.offset == q.offset) {
			n = c->count - p.offset;
			continue;
		}
		n = 1;
		s = gw_chunk_segment(c, p.offset);
		t = gw_chunk_segment(d, q.offset);
		if (s.len != t.len || memcmp(s.data, t.data, s.len) != 0)
			return false;
	}
	return true;
}

bool
gw_text_is_bytes(const struct gw_text *text, struct node_bytes bytes)
{
	const struct gw_chunk *c;
	size_t i, at = 0;

	if (gw_text_bytes(text) != bytes.len)
		return false;
	for (i = 0; text != NULL && i < text->nchunks; i++) {
		c = text->chunks[i];
		if (memcmp(c->data, bytes.data + at, c->bytes) != 0)
			return false;
		at += c->bytes;
	}
	return true;
}

void
gw_text_join(const struct gw_text *text, struct buf *out)
{
	size_t i;

	for (i = 0; text != NULL && i < text->nchunks; i++)
		buf_append(out, text->chunks[i]->data, text->chunks[i]->bytes);
}
