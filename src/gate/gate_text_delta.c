#include <stdlib.h>
#include <string.h>

#include "gate/gate_text_internal.h"
#include "util/map.h"
#include "util/mem.h"

/* Differences between configuration texts, see gate_text.h. */

#define NO_MATCH SIZE_MAX

/* ---- diff --------------------------------------------------------------- */

static bool
is_same(const struct gw_text *a, size_t i, const struct gw_text *b, size_t j)
{
	const struct gw_segment *s = a->segments[i], *t = b->segments[j];

	if (a->hashes[i] != b->hashes[j] || a->kinds[i] != b->kinds[j])
		return false;
	return s == t ||
	    (s->len == t->len && memcmp(s->data, t->data, s->len) == 0);
}

/* The part of two texts that is still to be matched. */
struct range {
	size_t base, base_end;
	size_t at, end; /* of the new text */
};

/* The same, for indexes that may be behind a text's end. */
static bool
is_same_within(const struct gw_text *base, size_t i, const struct gw_text *text,
    size_t j, const struct range *r)
{
	return i < r->base_end && j < r->end && is_same(base, i, text, j);
}

/*
 * Matches the texts from their beginnings, past elements that are replaced,
 * removed or inserted one at a time: each is followed by a separator and an
 * element that both texts have, unless the text around the array differs.
 */
static void
match_beginning(const struct gw_text *base, const struct gw_text *text,
    size_t *match, struct range *r)
{
	while (r->base < r->base_end && r->at < r->end) {
		if (is_same(base, r->base, text, r->at)) {
			match[r->at++] = r->base++;
		} else if (is_same_within(
			       base, r->base + 2, text, r->at + 2, r) ||
		    (text->kinds[r->at] == GW_SEGMENT_REST &&
			is_same_within(
			    base, r->base + 1, text, r->at + 1, r))) {
			r->base++;
			r->at++;
		} else if (is_same_within(base, r->base + 2, text, r->at, r)) {
			r->base += 2;
		} else if (is_same_within(base, r->base, text, r->at + 2, r)) {
			r->at += 2;
		} else {
			return;
		}
	}
}

static void
match_end(const struct gw_text *base, const struct gw_text *text, size_t *match,
    struct range *r)
{
	while (r->base_end > r->base && r->end > r->at &&
	    is_same(base, r->base_end - 1, text, r->end - 1))
		match[--r->end] = --r->base_end;
}

/*
 * Matches each segment of a range with one in the base's that has the same
 * bytes, in any order. Separators are left out, as they are all alike; so are
 * further copies of a segment.
 */
static void
match_any(const struct gw_text *base, const struct gw_text *text, size_t *match,
    const struct range *r)
{
	struct map *seen = map_create();
	const size_t *found;
	size_t i,
	    *indexes = mem_alloc(r->base_end - r->base + 1, sizeof(*indexes));

	for (i = r->base; i < r->base_end; i++) {
		indexes[i - r->base] = i;
		if (base->kinds[i] != GW_SEGMENT_SEPARATOR)
			(void)map_set_u64(
			    seen, base->hashes[i], &indexes[i - r->base]);
	}
	for (i = r->at; i < r->end; i++) {
		found = text->kinds[i] == GW_SEGMENT_SEPARATOR
		    ? NULL
		    : map_get_u64(seen, text->hashes[i]);
		if (found == NULL || !is_same(base, *found, text, i))
			continue;
		match[i] = *found;
		(void)map_remove_u64(seen, text->hashes[i]);
	}
	map_destroy(seen);
	free(indexes);
}

/*
 * Keeps of the matches in a range a longest set that is in the order of both
 * texts. ends[k] is the text's index at which the best chain of k + 1 matches
 * found so far ends.
 */
static void
keep_ascending(size_t *match, size_t head, size_t tail)
{
	size_t n = tail - head, length = 0, i, low, high, middle;
	size_t *ends = mem_alloc(n + 1, sizeof(*ends));
	size_t *previous = mem_alloc(n + 1, sizeof(*previous));
	size_t at = NO_MATCH;

	for (i = head; i < tail; i++) {
		if (match[i] == NO_MATCH)
			continue;
		for (low = 0, high = length; low < high;) {
			middle = (low + high) / 2;
			if (match[ends[middle]] < match[i])
				low = middle + 1;
			else
				high = middle;
		}
		previous[i - head] = low == 0 ? NO_MATCH : ends[low - 1];
		ends[low] = i;
		if (low == length)
			length++;
	}
	if (length > 0)
		at = ends[length - 1];
	for (i = tail; i-- > head;) {
		if (i == at)
			at = previous[i - head];
		else
			match[i] = NO_MATCH;
	}
	free(ends);
	free(previous);
}

/* Whether both texts have the same separator there. */
static bool
is_same_separator(
    const struct gw_text *base, size_t i, const struct gw_text *text, size_t j)
{
	return text->kinds[j] == GW_SEGMENT_SEPARATOR &&
	    is_same(base, i, text, j);
}

/*
 * Extends each match to the separators beside it. Where that gives two matches
 * of one separator, or leaves the order of the base, the latter one is kept.
 */
static void
match_separators(const struct gw_text *base, const struct gw_text *text,
    size_t *match, const struct range *r)
{
	size_t next = r->base_end, i;

	for (i = r->at; i < r->end; i++)
		if (match[i] == NO_MATCH && i > 0 && match[i - 1] != NO_MATCH &&
		    match[i - 1] + 1 >= r->base &&
		    match[i - 1] + 1 < r->base_end &&
		    is_same_separator(base, match[i - 1] + 1, text, i))
			match[i] = match[i - 1] + 1;
	for (i = r->end; i-- > r->at;) {
		if (match[i] == NO_MATCH && i + 1 < r->end &&
		    match[i + 1] != NO_MATCH && match[i + 1] > r->base &&
		    is_same_separator(base, match[i + 1] - 1, text, i))
			match[i] = match[i + 1] - 1;
		if (match[i] == NO_MATCH)
			continue;
		if (match[i] >= next)
			match[i] = NO_MATCH;
		else
			next = match[i];
	}
}

static struct gw_text_piece *
add_piece(struct gw_text_delta *delta, size_t from)
{
	struct gw_text_piece *p;

	delta->pieces = mem_resize(
	    delta->pieces, delta->npieces + 1, sizeof(*delta->pieces));
	p = &delta->pieces[delta->npieces++];
	memset(p, 0, sizeof(*p));
	p->from = from;
	return p;
}

static void
insert(struct gw_text_piece *p, struct node_bytes bytes)
{
	/* Doubles the memory whenever the number is a power of two. */
	if ((p->ninserted & (p->ninserted - 1)) == 0)
		p->inserted = mem_resize(p->inserted,
		    p->ninserted == 0 ? 1 : p->ninserted * 2,
		    sizeof(*p->inserted));
	p->inserted[p->ninserted++] = bytes;
}

static struct gw_text_delta *
make_delta(const struct gw_text *text, const size_t *match)
{
	struct gw_text_delta *delta = mem_alloc(1, sizeof(*delta));
	struct gw_text_piece *p = NULL;
	size_t i;

	for (i = 0; i < text->count; i++) {
		if (match[i] == NO_MATCH) {
			if (p == NULL)
				p = add_piece(delta, 0);
			insert(p, gw_text_segment(text, i));
			continue;
		}
		if (p == NULL || p->ninserted > 0 ||
		    p->from + p->count != match[i])
			p = add_piece(delta, match[i]);
		p->count++;
	}
	return delta;
}

struct gw_text_delta *
gw_text_diff(const struct gw_text *base, const struct gw_text *text)
{
	struct range r = {0, gw_text_count(base), 0, text->count};
	size_t *match = mem_alloc(text->count + 1, sizeof(*match));
	struct gw_text_delta *delta;
	size_t i;

	for (i = 0; i < text->count; i++)
		match[i] = NO_MATCH;
	match_beginning(base, text, match, &r);
	match_end(base, text, match, &r);
	if (r.base < r.base_end && r.at < r.end) {
		match_any(base, text, match, &r);
		keep_ascending(match, r.at, r.end);
		match_separators(base, text, match, &r);
	}
	delta = make_delta(text, match);
	free(match);
	return delta;
}

void
gw_text_delta_destroy(struct gw_text_delta *delta)
{
	size_t i;

	if (delta == NULL)
		return;
	for (i = 0; i < delta->npieces; i++)
		free(delta->pieces[i].inserted);
	free(delta->pieces);
	free(delta);
}

size_t
gw_text_delta_bytes(const struct gw_text_delta *delta)
{
	size_t i, k, bytes = 0;

	for (i = 0; i < delta->npieces; i++)
		for (k = 0; k < delta->pieces[i].ninserted; k++)
			bytes += delta->pieces[i].inserted[k].len;
	return bytes;
}

/* ---- apply -------------------------------------------------------------- */

/*
 * The kind of a new segment by its first bytes, as gw_text_parse() cuts:
 * elements begin with their value, separators are a comma with white space,
 * and the rest is the text's beginning or continues at an array's end.
 */
static enum gw_segment_kind
kind_of(const struct gw_text *text, struct node_bytes bytes)
{
	size_t space = 0;

	while (space < bytes.len && gw_text_is_space(bytes.data[space]))
		space++;
	if (text->count == 0 || space == bytes.len || bytes.data[space] == ']')
		return GW_SEGMENT_REST;
	return bytes.data[space] == ',' ? GW_SEGMENT_SEPARATOR
					: GW_SEGMENT_ELEMENT;
}

/* Whether a segment that begins with a comma has nothing else in it. */
static bool
is_separator(struct node_bytes bytes)
{
	size_t i, commas = 0;

	for (i = 0; i < bytes.len; i++)
		if (bytes.data[i] == ',')
			commas++;
		else if (!gw_text_is_space(bytes.data[i]))
			return false;
	return commas == 1;
}

static bool
apply_piece(struct gw_text *out, const struct gw_text *base,
    const struct gw_text_piece *p, size_t *next)
{
	enum gw_segment_kind kind;
	size_t i;

	if (p->count > 0) {
		if (p->from < *next || p->from > gw_text_count(base) ||
		    p->count > gw_text_count(base) - p->from)
			return false;
		*next = p->from + p->count;
		gw_text_append_shared(out, base, p->from, p->count);
	}
	for (i = 0; i < p->ninserted; i++) {
		kind = kind_of(out, p->inserted[i]);
		if (kind == GW_SEGMENT_SEPARATOR &&
		    !is_separator(p->inserted[i]))
			return false;
		gw_text_append(out, p->inserted[i], kind);
		out->work.scanned_bytes += p->inserted[i].len;
	}
	return true;
}

int
gw_text_apply(struct gw_text **out, const struct gw_text *base,
    const struct gw_text_delta *delta, struct mp_error *err)
{
	struct gw_text *text = gw_text_create(gw_text_count(base) + 1);
	bool is_valid = true;
	size_t i, next = 0;

	*out = NULL;
	for (i = 0; i < delta->npieces && is_valid; i++)
		is_valid = apply_piece(text, base, &delta->pieces[i], &next);
	if (!is_valid || !gw_text_finish(text)) {
		gw_text_destroy(text);
		return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
		    "the difference doesn't fit its base");
	}
	*out = text;
	return MP_OK;
}
