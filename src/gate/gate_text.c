#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gate/gate_text_internal.h"
#include "util/mem.h"

/* Segments of a configuration text, see gate_text.h. */

#define SEGMENTS_INITIAL 16

/* ---- segments ----------------------------------------------------------- */

static struct gw_segment *
segment_create(struct node_bytes bytes)
{
	struct gw_segment *s = mem_alloc(1, sizeof(*s) + bytes.len);

	s->references = 1;
	s->hash = XXH64(bytes.data, bytes.len, 0);
	s->len = bytes.len;
	memcpy(s->data, bytes.data, bytes.len);
	return s;
}

static void
segment_release(struct gw_segment *s)
{
	if (--s->references == 0)
		free(s);
}

struct gw_text *
gw_text_create(size_t cap)
{
	struct gw_text *text = mem_alloc(1, sizeof(*text));

	text->cap = cap < SEGMENTS_INITIAL ? SEGMENTS_INITIAL : cap;
	text->segments = mem_alloc(text->cap, sizeof(*text->segments));
	text->hashes = mem_alloc(text->cap, sizeof(*text->hashes));
	text->kinds = mem_alloc(text->cap, sizeof(*text->kinds));
	return text;
}

void
gw_text_destroy(struct gw_text *text)
{
	size_t i;

	if (text == NULL)
		return;
	for (i = 0; i < text->count; i++)
		segment_release(text->segments[i]);
	free(text->segments);
	free(text->hashes);
	free(text->kinds);
	free(text->arrays);
	free(text);
}

static void
reserve(struct gw_text *text, size_t more)
{
	size_t cap = text->cap;

	while (cap < text->count + more)
		cap *= 2;
	if (cap == text->cap)
		return;
	text->cap = cap;
	text->segments =
	    mem_resize(text->segments, cap, sizeof(*text->segments));
	text->hashes = mem_resize(text->hashes, cap, sizeof(*text->hashes));
	text->kinds = mem_resize(text->kinds, cap, sizeof(*text->kinds));
}

static void
append_segment(
    struct gw_text *text, struct gw_segment *s, enum gw_segment_kind kind)
{
	reserve(text, 1);
	text->segments[text->count] = s;
	text->hashes[text->count] = s->hash;
	text->kinds[text->count++] = (uint8_t)kind;
	text->bytes += s->len;
}

/* Separators are mostly alike: one that is as the one before shares it. */
static struct gw_segment *
find_same_separator(const struct gw_text *text, struct node_bytes bytes)
{
	struct gw_segment *s;

	if (text->count < 2)
		return NULL;
	s = text->segments[text->count - 2];
	if (s->len != bytes.len || memcmp(s->data, bytes.data, s->len) != 0)
		return NULL;
	s->references++;
	return s;
}

void
gw_text_append(
    struct gw_text *text, struct node_bytes bytes, enum gw_segment_kind kind)
{
	struct gw_segment *s = NULL;

	if (kind == GW_SEGMENT_SEPARATOR)
		s = find_same_separator(text, bytes);
	if (s == NULL) {
		s = segment_create(bytes);
		text->work.hashed_bytes += bytes.len;
	}
	append_segment(text, s, kind);
}

void
gw_text_append_shared(struct gw_text *text, const struct gw_text *other,
    size_t from, size_t count)
{
	size_t i;

	if (count == 0)
		return;
	reserve(text, count);
	memcpy(text->segments + text->count, other->segments + from,
	    count * sizeof(*text->segments));
	memcpy(text->hashes + text->count, other->hashes + from,
	    count * sizeof(*text->hashes));
	memcpy(text->kinds + text->count, other->kinds + from,
	    count * sizeof(*text->kinds));
	for (i = from; i < from + count; i++) {
		other->segments[i]->references++;
		text->bytes += other->segments[i]->len;
	}
	text->count += count;
}

/* ---- arrays ------------------------------------------------------------- */

bool
gw_text_is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/* Skips white space backwards: the result is behind another byte, or 0. */
static size_t
skip_space_back(const char *data, size_t len)
{
	while (len > 0 && gw_text_is_space(data[len - 1]))
		len--;
	return len;
}

/* Finds the quote that begins the string that ends before len; SIZE_MAX: none.
 */
static size_t
find_string_start(const char *data, size_t len)
{
	size_t i = len, escapes, k;

	if (len < 2 || data[--i] != '"')
		return SIZE_MAX;
	while (i-- > 0) {
		if (data[i] != '"')
			continue;
		for (escapes = 0, k = i; k > 0 && data[k - 1] == '\\'; k--)
			escapes++;
		if (escapes % 2 == 0)
			return i;
	}
	return SIZE_MAX;
}

/* Finds the name of the array that begins at the end of a segment. */
static bool
find_array_key(const struct gw_segment *s, struct node_bytes *key)
{
	size_t len = skip_space_back(s->data, s->len), start;

	if (len == 0 || s->data[len - 1] != '[')
		return false;
	len = skip_space_back(s->data, len - 1);
	if (len == 0 || s->data[len - 1] != ':')
		return false;
	len = skip_space_back(s->data, len - 1);
	start = find_string_start(s->data, len);
	if (start == SIZE_MAX)
		return false;
	*key = (struct node_bytes){s->data + start, len - start};
	return true;
}

static bool
add_array(struct gw_text *text, size_t first, size_t count)
{
	struct gw_text_array array = {.first = first, .count = count};

	if (!find_array_key(text->segments[first - 1], &array.key))
		return false;
	text->arrays =
	    mem_resize(text->arrays, text->narrays + 1, sizeof(*text->arrays));
	text->arrays[text->narrays++] = array;
	return true;
}

static bool
find_arrays(struct gw_text *text)
{
	const uint8_t *kinds = text->kinds;
	size_t i = 0, first;

	if (text->count == 0 || kinds[0] != GW_SEGMENT_REST)
		return false;
	while (i + 1 < text->count) {
		first = ++i;
		if (kinds[i] != GW_SEGMENT_ELEMENT)
			return false;
		while (i + 2 < text->count &&
		    kinds[i + 1] == GW_SEGMENT_SEPARATOR &&
		    kinds[i + 2] == GW_SEGMENT_ELEMENT)
			i += 2;
		if (!add_array(text, first, (i - first) / 2 + 1))
			return false;
		if (++i >= text->count || kinds[i] != GW_SEGMENT_REST)
			return false;
	}
	return true;
}

bool
gw_text_finish(struct gw_text *text)
{
	text->digest =
	    XXH64(text->hashes, text->count * sizeof(*text->hashes), 0);
	return find_arrays(text);
}

/* ---- splitting ---------------------------------------------------------- */

struct scan {
	const char *data;
	size_t len, at;
	size_t start; /* of the segment that is being read */
	struct gw_text *text;
	const struct gw_text *base;
	size_t base_at; /* segment of base that is expected next */
	size_t misses; /* elements since the last that base has */
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

/* Elements of base that are compared with one of the text, at most. */
#define MISSES_MAX 8u

/*
 * Takes an element over from base, if one of those expected next has the same
 * bytes. Only objects, arrays and strings: where they end depends on nothing
 * that follows.
 */
static bool
share_element(struct scan *s)
{
	const struct gw_text *base = s->base;
	const struct gw_segment *e;
	size_t i, end;

	if (base == NULL || s->at == s->len ||
	    strchr("{[\"", s->data[s->at]) == NULL)
		return false;
	end = s->base_at + 2 * (s->misses + 2);
	for (i = s->base_at; i < end && i < base->count; i++) {
		e = base->segments[i];
		if (base->kinds[i] != GW_SEGMENT_ELEMENT ||
		    e->len > s->len - s->at ||
		    memcmp(e->data, s->data + s->at, e->len) != 0)
			continue;
		gw_text_append_shared(s->text, base, i, 1);
		s->at += e->len;
		s->start = s->at;
		s->base_at = i + 1;
		s->misses = 0;
		return true;
	}
	if (s->misses < MISSES_MAX)
		s->misses++;
	return false;
}

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

/* Splits an array into its elements; an empty one is left as it is. */
static bool
split_array(struct scan *s)
{
	s->at++;
	skip_space(s);
	if (is_at(s, ']')) {
		s->at++;
		return true;
	}
	cut(s, GW_SEGMENT_REST);
	for (;;) {
		if (!read_element(s))
			return false;
		skip_space(s);
		if (is_at(s, ']'))
			break;
		if (!is_at(s, ','))
			return false;
		s->at++;
		skip_space(s);
		cut(s, GW_SEGMENT_SEPARATOR);
	}
	s->at++;
	return true;
}

static bool
split_member(struct scan *s)
{
	skip_space(s);
	if (!skip_string(s))
		return false;
	skip_space(s);
	if (!is_at(s, ':'))
		return false;
	s->at++;
	skip_space(s);
	return is_at(s, '[') ? split_array(s) : skip_value(s);
}

static bool
split_object(struct scan *s)
{
	skip_space(s);
	if (!is_at(s, '{'))
		return false;
	s->at++;
	skip_space(s);
	if (!is_at(s, '}')) {
		for (;;) {
			if (!split_member(s))
				return false;
			skip_space(s);
			if (!is_at(s, ','))
				break;
			s->at++;
		}
	}
	if (!is_at(s, '}'))
		return false;
	s->at = s->len;
	cut(s, GW_SEGMENT_REST);
	return true;
}

int
gw_text_parse(struct gw_text **out, struct node_bytes text,
    const struct gw_text *base, struct mp_error *err)
{
	struct scan s = {.data = text.data, .len = text.len, .base = base};

	*out = NULL;
	s.text = gw_text_create(gw_text_count(base));
	if (!split_object(&s) || !gw_text_finish(s.text)) {
		gw_text_destroy(s.text);
		return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
		    "$: must be a JSON object");
	}
	*out = s.text;
	return MP_OK;
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
	const struct gw_segment *s = text->segments[i];

	return (struct node_bytes){s->data, s->len};
}

enum gw_segment_kind
gw_text_kind(const struct gw_text *text, size_t i)
{
	return (enum gw_segment_kind)text->kinds[i];
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
	return text == NULL ? (struct gw_text_work){0, 0} : text->work;
}

uint64_t
gw_text_digest(const struct gw_text *text)
{
	return text == NULL ? 0 : text->digest;
}

bool
gw_text_is_equal(const struct gw_text *a, const struct gw_text *b)
{
	size_t i;

	if (gw_text_bytes(a) != gw_text_bytes(b) ||
	    gw_text_count(a) != gw_text_count(b))
		return false;
	for (i = 0; i < gw_text_count(a); i++)
		if (a->segments[i] != b->segments[i] &&
		    (a->segments[i]->len != b->segments[i]->len ||
			memcmp(a->segments[i]->data, b->segments[i]->data,
			    a->segments[i]->len) != 0))
			return false;
	return true;
}

bool
gw_text_is_bytes(const struct gw_text *text, struct node_bytes bytes)
{
	const struct gw_segment *s;
	size_t i, at = 0;

	if (gw_text_bytes(text) != bytes.len)
		return false;
	for (i = 0; i < gw_text_count(text); i++) {
		s = text->segments[i];
		if (memcmp(s->data, bytes.data + at, s->len) != 0)
			return false;
		at += s->len;
	}
	return true;
}

void
gw_text_join(const struct gw_text *text, struct buf *out)
{
	size_t i;

	for (i = 0; i < gw_text_count(text); i++)
		buf_append(
		    out, text->segments[i]->data, text->segments[i]->len);
}
