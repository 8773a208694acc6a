#include <stdlib.h>
#include <string.h>

#include "gate/gate_text_internal.h"
#include "util/map.h"
#include "util/mem.h"

/* Differences between configuration texts, see gate_text.h. */

#define NO_MATCH SIZE_MAX

/* ---- diff --------------------------------------------------------------- */

/* Successive segments that both texts have. */
struct run {
	size_t from; /* in the base */
	size_t at; /* in the new text */
	size_t count;
};

struct matcher {
	const struct gw_text *base, *text;
	/* the part that is still to be matched */
	size_t from, from_end; /* of the base */
	size_t at, end; /* of the new text */
	struct run *runs; /* in order, with no two that adjoin in both texts */
	size_t nruns;
	size_t base_chunk, text_chunk; /* where the last segment was found */
};

/* Segments of both texts. */
struct pair {
	const struct gw_chunk *base, *text;
	size_t i, j; /* in the chunks */
};

static struct pair
get_pair(struct matcher *m, size_t i, size_t j)
{
	struct gw_text_place p = gw_text_find(m->base, i, m->base_chunk);
	struct gw_text_place q = gw_text_find(m->text, j, m->text_chunk);

	m->base_chunk = p.chunk;
	m->text_chunk = q.chunk;
	return (struct pair){m->base->chunks[p.chunk], m->text->chunks[q.chunk],
	    p.offset, q.offset};
}

static bool
is_same_pair(const struct pair *p)
{
	struct node_bytes s, t;

	if (p->base == p->text && p->i == p->j)
		return true;
	if (p->base->hashes[p->i] != p->text->hashes[p->j] ||
	    p->base->kinds[p->i] != p->text->kinds[p->j])
		return false;
	s = gw_chunk_segment(p->base, p->i);
	t = gw_chunk_segment(p->text, p->j);
	return s.len == t.len && memcmp(s.data, t.data, s.len) == 0;
}

static bool
is_same(struct matcher *m, size_t i, size_t j)
{
	struct pair p = get_pair(m, i, j);

	return is_same_pair(&p);
}

/* The same, for indexes that may be behind a part's end. */
static bool
is_same_within(struct matcher *m, size_t i, size_t j)
{
	return i < m->from_end && j < m->end && is_same(m, i, j);
}

static void
add_run(struct matcher *m, size_t from, size_t at, size_t count)
{
	struct run *last;

	if (count == 0)
		return;
	if (m->nruns > 0) {
		last = &m->runs[m->nruns - 1];
		if (last->from + last->count == from &&
		    last->at + last->count == at) {
			last->count += count;
			return;
		}
	}
	/* Doubles the memory whenever the number is a power of two. */
	if ((m->nruns & (m->nruns - 1)) == 0)
		m->runs = mem_resize(m->runs, m->nruns == 0 ? 1 : m->nruns * 2,
		    sizeof(*m->runs));
	m->runs[m->nruns++] = (struct run){from, at, count};
}

/* How many segments both texts have here: of a shared chunk, all that follow.
 */
static size_t
count_same(struct matcher *m)
{
	struct pair p = get_pair(m, m->from, m->at);
	size_t left = p.base->count - p.i;

	if (p.base == p.text && p.i == p.j && left <= m->from_end - m->from &&
	    left <= m->end - m->at)
		return left;
	return is_same_pair(&p) ? 1 : 0;
}

/*
 * Matches the texts from their beginnings, past elements that are replaced,
 * removed or inserted one at a time: each is followed by a separator and an
 * element that both texts have, unless the text around the array differs.
 */
static void
match_beginning(struct matcher *m)
{
	size_t n;

	while (m->from < m->from_end && m->at < m->end) {
		n = count_same(m);
		if (n > 0) {
			add_run(m, m->from, m->at, n);
			m->from += n;
			m->at += n;
		} else if (is_same_within(m, m->from + 2, m->at + 2) ||
		    (gw_text_kind(m->text, m->at) == GW_SEGMENT_REST &&
			is_same_within(m, m->from + 1, m->at + 1))) {
			m->from++;
			m->at++;
		} else if (is_same_within(m, m->from + 2, m->at)) {
			m->from += 2;
		} else if (is_same_within(m, m->from, m->at + 2)) {
			m->at += 2;
		} else {
			return;
		}
	}
}

/* Returns the length of the end that both texts have. */
static size_t
match_end(struct matcher *m)
{
	struct pair p;
	size_t n, all = 0;

	while (m->from_end > m->from && m->end > m->at) {
		p = get_pair(m, m->from_end - 1, m->end - 1);
		n = p.i + 1;
		if (p.base != p.text || p.i != p.j ||
		    n > m->from_end - m->from || n > m->end - m->at)
			n = is_same_pair(&p) ? 1 : 0;
		if (n == 0)
			break;
		m->from_end -= n;
		m->end -= n;
		all += n;
	}
	return all;
}

static uint64_t
get_hash(const struct gw_text *text, size_t i, size_t *chunk)
{
	struct gw_text_place p = gw_text_find(text, i, *chunk);

	*chunk = p.chunk;
	return text->chunks[p.chunk]->hashes[p.offset];
}

/*
 * Matches each segment of the part with one in the base's that has the same
 * bytes, in any order. Separators are left out, as they are all alike; so are
 * further copies of a segment.
 *
 * match: by index from m->at; the index in the base.
 */
static void
match_any(struct matcher *m, size_t *match)
{
	struct map *seen = map_create();
	const size_t *found;
	size_t i, chunk = 0, *indexes;
	uint64_t hash;

	indexes = mem_alloc(m->from_end - m->from + 1, sizeof(*indexes));
	for (i = m->from; i < m->from_end; i++) {
		indexes[i - m->from] = i;
		if (gw_text_kind(m->base, i) != GW_SEGMENT_SEPARATOR)
			(void)map_set_u64(seen, get_hash(m->base, i, &chunk),
			    &indexes[i - m->from]);
	}
	for (i = m->at, chunk = 0; i < m->end; i++) {
		if (gw_text_kind(m->text, i) == GW_SEGMENT_SEPARATOR)
			continue;
		hash = get_hash(m->text, i, &chunk);
		found = map_get_u64(seen, hash);
		if (found == NULL || !is_same(m, *found, i))
			continue;
		match[i - m->at] = *found;
		(void)map_remove_u64(seen, hash);
	}
	map_destroy(seen);
	free(indexes);
}

/*
 * Keeps of n matches a longest set that is in the order of both texts. ends[k]
 * is the text's index at which the best chain of k + 1 matches found so far
 * ends.
 */
static void
keep_ascending(size_t *match, size_t n)
{
	size_t length = 0, i, low, high, middle, at = NO_MATCH;
	size_t *ends = mem_alloc(n + 1, sizeof(*ends));
	size_t *previous = mem_alloc(n + 1, sizeof(*previous));

	for (i = 0; i < n; i++) {
		if (match[i] == NO_MATCH)
			continue;
		for (low = 0, high = length; low < high;) {
			middle = (low + high) / 2;
			if (match[ends[middle]] < match[i])
				low = middle + 1;
			else
				high = middle;
		}
		previous[i] = low == 0 ? NO_MATCH : ends[low - 1];
		ends[low] = i;
		if (low == length)
			length++;
	}
	if (length > 0)
		at = ends[length - 1];
	for (i = n; i-- > 0;) {
		if (i == at)
			at = previous[i];
		else
			match[i] = NO_MATCH;
	}
	free(ends);
	free(previous);
}

/* Whether both texts have the same separator there. */
static bool
is_same_separator(struct matcher *m, size_t i, size_t j)
{
	return gw_text_kind(m->text, j) == GW_SEGMENT_SEPARATOR &&
	    is_same(m, i, j);
}

/*
 * Extends each match to the separators beside it. Where that gives two matches
 * of one separator, or leaves the order of the base, the latter one is kept.
 */
static void
match_separators(struct matcher *m, size_t *match)
{
	size_t next = m->from_end, n = m->end - m->at, i;

	for (i = 1; i < n; i++)
		if (match[i] == NO_MATCH && match[i - 1] != NO_MATCH &&
		    match[i - 1] + 1 < m->from_end &&
		    is_same_separator(m, match[i - 1] + 1, m->at + i))
			match[i] = match[i - 1] + 1;
	for (i = n; i-- > 0;) {
		if (match[i] == NO_MATCH && i + 1 < n &&
		    match[i + 1] != NO_MATCH && match[i + 1] > m->from &&
		    is_same_separator(m, match[i + 1] - 1, m->at + i))
			match[i] = match[i + 1] - 1;
		if (match[i] == NO_MATCH)
			continue;
		if (match[i] >= next)
			match[i] = NO_MATCH;
		else
			next = match[i];
	}
}

/* Matches what neither the beginnings nor the ends have in common. */
static void
match_middle(struct matcher *m)
{
	size_t n = m->end - m->at, i;
	size_t *match;

	if (n == 0 || m->from == m->from_end)
		return;
	match = mem_alloc(n, sizeof(*match));
	for (i = 0; i < n; i++)
		match[i] = NO_MATCH;
	match_any(m, match);
	keep_ascending(match, n);
	match_separators(m, match);
	for (i = 0; i < n; i++)
		if (match[i] != NO_MATCH)
			add_run(m, match[i], m->at + i, 1);
	free(match);
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

/* Inserts the segments of the new text up to end. */
static void
insert_up_to(struct gw_text_delta *delta, const struct gw_text *text,
    size_t *at, size_t end)
{
	struct gw_text_place p = {0, 0};

	if (*at < end && delta->npieces == 0)
		(void)add_piece(delta, 0);
	for (; *at < end; (*at)++) {
		p = gw_text_find(text, *at, p.chunk);
		insert(&delta->pieces[delta->npieces - 1],
		    gw_chunk_segment(text->chunks[p.chunk], p.offset));
	}
}

static struct gw_text_delta *
make_delta(const struct matcher *m)
{
	struct gw_text_delta *delta = mem_alloc(1, sizeof(*delta));
	const struct run *r;
	size_t i, at = 0;

	for (i = 0; i < m->nruns; i++) {
		r = &m->runs[i];
		insert_up_to(delta, m->text, &at, r->at);
		add_piece(delta, r->from)->count = r->count;
		at += r->count;
	}
	insert_up_to(delta, m->text, &at, m->text->count);
	return delta;
}

struct gw_text_delta *
gw_text_diff(const struct gw_text *base, const struct gw_text *text)
{
	struct matcher m = {.base = base,
	    .text = text,
	    .from_end = gw_text_count(base),
	    .end = text->count};
	struct gw_text_delta *delta;
	size_t n;

	match_beginning(&m);
	n = match_end(&m);
	match_middle(&m);
	add_run(&m, m.from_end, m.end, n);
	delta = make_delta(&m);
	free(m.runs);
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
	struct gw_text *text =
	    gw_text_create(base == NULL ? 0 : base->nchunks + 1);
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
