#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gate/gate_text_internal.h"
#include "util/mem.h"

/* Chunks of a configuration text, see gate_text.h. */

#define CHUNKS_INITIAL 4

/* ---- digest ------------------------------------------------------------- */

/*
 * The digest is made from the hashes of the segments as coefficients of a
 * polynomial at DIGEST_BASE modulo the prime 2^61 - 1. The value for a text is
 * computed from those of its chunks, and is the same for each division into
 * chunks.
 */
#define DIGEST_PRIME ((1ULL << 61) - 1)
#define DIGEST_BASE  0x0d6e8feb86659fd9ULL

__extension__ typedef unsigned __int128 product;

static uint64_t
reduce(uint64_t x)
{
	x = (x & DIGEST_PRIME) + (x >> 61);
	return x >= DIGEST_PRIME ? x - DIGEST_PRIME : x;
}

/* Returns a * b + c; all are below DIGEST_PRIME. */
static uint64_t
multiply_add(uint64_t a, uint64_t b, uint64_t c)
{
	product p = (product)a * b + c;

	return reduce(
	    ((uint64_t)p & DIGEST_PRIME) + reduce((uint64_t)(p >> 61)));
}

static uint64_t
digest_text(const struct gw_text *text)
{
	uint64_t state[2] = {0, text->count};
	size_t i;

	for (i = 0; i < text->nchunks; i++)
		state[0] = multiply_add(
		    state[0], text->chunks[i]->power, text->chunks[i]->sum);
	return XXH64(state, sizeof(state), 0);
}

/* ---- chunks ------------------------------------------------------------- */

/* Whether a segment's kind may follow that of the one before. */
static bool
may_follow(enum gw_segment_kind before, enum gw_segment_kind kind)
{
	return before == GW_SEGMENT_ELEMENT ? kind != GW_SEGMENT_ELEMENT
					    : kind == GW_SEGMENT_ELEMENT;
}

static struct gw_chunk *
chunk_create(const struct gw_chunk_builder *b)
{
	size_t n = b->count, i;
	struct gw_chunk *c = mem_resize(NULL, 1,
	    sizeof(*c) + n * (sizeof(*c->hashes) + sizeof(*c->ends) + 1) +
		b->data.len);

	c->references = 1;
	c->count = b->count;
	c->nrests = 0;
	c->is_ordered = true;
	c->bytes = b->data.len;
	c->sum = 0;
	c->power = 1;
	c->hashes = (uint64_t *)(c + 1);
	c->ends = (size_t *)(c->hashes + n);
	c->kinds = (uint8_t *)(c->ends + n);
	c->data = (char *)(c->kinds + n);
	memcpy(c->hashes, b->hashes, n * sizeof(*c->hashes));
	memcpy(c->ends, b->ends, n * sizeof(*c->ends));
	memcpy(c->kinds, b->kinds, n);
	if (c->bytes > 0)
		memcpy(c->data, b->data.data, c->bytes);
	for (i = 0; i < n; i++) {
		c->sum =
		    multiply_add(c->sum, DIGEST_BASE, reduce(b->hashes[i]));
		c->power = multiply_add(c->power, DIGEST_BASE, 0);
		c->nrests += b->kinds[i] == GW_SEGMENT_REST;
		if (i > 0 && !may_follow(b->kinds[i - 1], b->kinds[i]))
			c->is_ordered = false;
	}
	return c;
}

static void
chunk_release(struct gw_chunk *c)
{
	if (--c->references == 0)
		free(c);
}

struct node_bytes
gw_chunk_segment(const struct gw_chunk *chunk, size_t i)
{
	size_t start = i == 0 ? 0 : chunk->ends[i - 1];

	return (struct node_bytes){chunk->data + start, chunk->ends[i] - start};
}

/* ---- appending ---------------------------------------------------------- */

struct gw_text *
gw_text_create(size_t chunks)
{
	struct gw_text *text = mem_alloc(1, sizeof(*text));

	text->references = 1;
	text->cap = chunks < CHUNKS_INITIAL ? CHUNKS_INITIAL : chunks;
	text->chunks = mem_resize(NULL, text->cap, sizeof(*text->chunks));
	text->starts = mem_resize(NULL, text->cap, sizeof(*text->starts));
	text->builder = mem_resize(NULL, 1, sizeof(*text->builder));
	text->builder->count = 0;
	text->builder->data = (struct buf){
	    mem_resize(NULL, GW_CHUNK_BYTES, 1), 0, GW_CHUNK_BYTES};
	return text;
}

static void
builder_destroy(struct gw_text *text)
{
	if (text->builder == NULL)
		return;
	buf_free(&text->builder->data);
	free(text->builder);
	text->builder = NULL;
}

struct gw_text *
gw_text_share(struct gw_text *text)
{
	text->references++;
	return text;
}

void
gw_text_destroy(struct gw_text *text)
{
	size_t i;

	if (text == NULL || --text->references > 0)
		return;
	for (i = 0; i < text->nchunks; i++)
		chunk_release(text->chunks[i]);
	builder_destroy(text);
	free(text->chunks);
	free(text->starts);
	free(text->arrays);
	free(text);
}

/* start: the chunk's first segment. */
static void
add_chunk(struct gw_text *text, struct gw_chunk *c, size_t start)
{
	if (text->nchunks == text->cap) {
		text->cap *= 2;
		text->chunks =
		    mem_resize(text->chunks, text->cap, sizeof(*text->chunks));
		text->starts =
		    mem_resize(text->starts, text->cap, sizeof(*text->starts));
	}
	text->starts[text->nchunks] = start;
	text->chunks[text->nchunks++] = c;
}

/* Ends the chunk that is being built. */
static void
flush(struct gw_text *text)
{
	struct gw_chunk_builder *b = text->builder;

	if (b->count == 0)
		return;
	add_chunk(text, chunk_create(b), text->count - b->count);
	b->count = 0;
	buf_clear(&b->data);
}

static void
append_hashed(struct gw_text *text, struct node_bytes bytes, uint64_t hash,
    enum gw_segment_kind kind)
{
	struct gw_chunk_builder *b = text->builder;

	if (bytes.len > 0)
		buf_append(&b->data, bytes.data, bytes.len);
	b->hashes[b->count] = hash;
	b->kinds[b->count] = (uint8_t)kind;
	b->ends[b->count++] = b->data.len;
	text->work.copied_segments++;
	text->count++;
	text->bytes += bytes.len;
	if (b->count == GW_CHUNK_SEGMENTS_MAX || b->data.len >= GW_CHUNK_BYTES)
		flush(text);
}

void
gw_text_append(
    struct gw_text *text, struct node_bytes bytes, enum gw_segment_kind kind)
{
	text->work.hashed_bytes += bytes.len;
	append_hashed(text, bytes, XXH64(bytes.data, bytes.len, 0), kind);
}

static void
append_copies(
    struct gw_text *text, const struct gw_chunk *c, size_t from, size_t end)
{
	size_t i;

	for (i = from; i < end; i++)
		append_hashed(text, gw_chunk_segment(c, i), c->hashes[i],
		    (enum gw_segment_kind)c->kinds[i]);
}

/*
 * Shares a chunk, or joins it with the one that is being built if that is
 * short; of more segments than a chunk holds, both get about half.
 */
static void
append_chunk(struct gw_text *text, struct gw_chunk *c)
{
	uint32_t short_count = text->builder->count, half;

	if (short_count > 0 && short_count < GW_CHUNK_SEGMENTS_MIN &&
	    c->bytes < GW_CHUNK_BYTES) {
		half = (short_count + c->count) / 2;
		if (short_count + c->count <= GW_CHUNK_SEGMENTS_MAX) {
			append_copies(text, c, 0, c->count);
			return;
		}
		append_copies(text, c, 0, half - short_count);
		flush(text);
		append_copies(text, c, half - short_count, c->count);
		return;
	}
	flush(text);
	c->references++;
	add_chunk(text, c, text->count);
	text->count += c->count;
	text->bytes += c->bytes;
}

void
gw_text_append_part(struct gw_text *text, const struct gw_text *other,
    struct gw_text_place place, size_t count)
{
	struct gw_chunk *c = other->chunks[place.chunk];

	if (count == c->count)
		append_chunk(text, c);
	else
		append_copies(text, c, place.offset, place.offset + count);
}

void
gw_text_append_shared(struct gw_text *text, const struct gw_text *other,
    size_t from, size_t count)
{
	struct gw_text_place p;
	size_t n;

	if (count == 0)
		return;
	for (p = gw_text_find(other, from, 0); count > 0; p.chunk++) {
		n = other->chunks[p.chunk]->count - p.offset;
		if (n > count)
			n = count;
		gw_text_append_part(text, other, p, n);
		p.offset = 0;
		count -= n;
	}
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
find_array_key(struct node_bytes segment, struct node_bytes *key)
{
	size_t len = skip_space_back(segment.data, segment.len), start;

	if (len == 0 || segment.data[len - 1] != '[')
		return false;
	len = skip_space_back(segment.data, len - 1);
	if (len == 0 || segment.data[len - 1] != ':')
		return false;
	len = skip_space_back(segment.data, len - 1);
	start = find_string_start(segment.data, len);
	if (start == SIZE_MAX)
		return false;
	*key = (struct node_bytes){segment.data + start, len - start};
	return true;
}

/* A segment of the rest ends an array, and begins one unless it is the last. */
static bool
add_rest(struct gw_text *text, size_t i, struct node_bytes segment)
{
	struct gw_text_array array = {.first = i + 1}, *before;

	if (text->narrays > 0) {
		before = &text->arrays[text->narrays - 1];
		before->count = (i - before->first + 1) / 2;
	}
	if (i + 1 == text->count)
		return true;
	if (!find_array_key(segment, &array.key))
		return false;
	text->arrays =
	    mem_resize(text->arrays, text->narrays + 1, sizeof(*text->arrays));
	text->arrays[text->narrays++] = array;
	return true;
}

static bool
add_rests(struct gw_text *text, size_t chunk)
{
	const struct gw_chunk *c = text->chunks[chunk];
	size_t i, left = c->nrests;

	for (i = 0; i < c->count && left > 0; i++) {
		if (c->kinds[i] != GW_SEGMENT_REST)
			continue;
		left--;
		if (!add_rest(
			text, text->starts[chunk] + i, gw_chunk_segment(c, i)))
			return false;
	}
	return true;
}

static bool
find_arrays(struct gw_text *text)
{
	enum gw_segment_kind last = GW_SEGMENT_REST, first;
	const struct gw_chunk *c;
	size_t i;

	for (i = 0; i < text->nchunks; i++) {
		c = text->chunks[i];
		first = (enum gw_segment_kind)c->kinds[0];
		if (!c->is_ordered ||
		    (i == 0 ? first != GW_SEGMENT_REST
			    : !may_follow(last, first)) ||
		    !add_rests(text, i))
			return false;
		last = (enum gw_segment_kind)c->kinds[c->count - 1];
	}
	return text->count > 0 && last == GW_SEGMENT_REST;
}

bool
gw_text_finish(struct gw_text *text)
{
	flush(text);
	builder_destroy(text);
	text->work.chunks = text->nchunks;
	text->digest = digest_text(text);
	return find_arrays(text);
}

/* ---- places ------------------------------------------------------------- */

static bool
is_in_chunk(const struct gw_text *text, size_t chunk, size_t i)
{
	return chunk < text->nchunks && i >= text->starts[chunk] &&
	    i - text->starts[chunk] < text->chunks[chunk]->count;
}

struct gw_text_place
gw_text_find(const struct gw_text *text, size_t i, size_t near)
{
	size_t low = 0, high = text->nchunks, middle;

	if (is_in_chunk(text, near, i))
		return (struct gw_text_place){near, i - text->starts[near]};
	near++;
	if (is_in_chunk(text, near, i))
		return (struct gw_text_place){near, i - text->starts[near]};
	while (high - low > 1) {
		middle = low + (high - low) / 2;
		if (text->starts[middle] <= i)
			low = middle;
		else
			high = middle;
	}
	return (struct gw_text_place){low, i - text->starts[low]};
}
