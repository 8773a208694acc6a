/* Delta encoding of document changes. */

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "doc/doc_table.h"
#include "doc/doc_delta.h"
#include "util/mem.h"

/*
 * Common ranges of the old and the new text are found by anchors. An anchor is
 * a block of the old text whose hash is unique among the indexed blocks. Where
 * the new text contains an anchor, the match is extended in both directions
 * until the texts differ.
 */

#define DELTA_BLOCK_BYTES      96 /* an anchor is longer than an adapter's line */
#define DELTA_STEP_BYTES       8 /* between indexed blocks of the old text */
#define DELTA_PIECE_COST_BYTES 12 /* approximate, without its text */
#define DELTA_SEARCH_BYTES_MAX (512 * 1024) /* else prefix and suffix only */

/* The state of one encoding. */
struct delta {
	const char *old, *text;
	size_t old_len, len;
	struct map *anchors; /* hash to offset in old + 1, or DELTA_AMBIGUOUS */
	Wire__DocPiece **pieces;
	size_t npieces, pieces_cap;
	size_t covered; /* bytes from the start of text that pieces give */
	size_t cost_bytes; /* approximate size of the pieces */
};

/* The map value of a hash that several indexed blocks have. */
#define DELTA_AMBIGUOUS ((void *)UINTPTR_MAX)

/* Finds a revision in the history of a team, or NULL. */
static const struct doc_revision *
delta_find_base(
    const struct doc_table *table, const char *team, uint64_t revision)
{
	const struct doc_team *t = doc_table_find_team(table, team);
	size_t i;

	for (i = t == NULL ? 0 : t->nhistory; i > 0; i--)
		if (t->history[i - 1].revision == revision)
			return &t->history[i - 1];
	return NULL;
}

/* Appends a piece that copies a range of the old text. */
static Wire__DocPiece *
delta_add_piece(struct delta *d, size_t from, size_t length)
{
	Wire__DocPiece *piece = mem_alloc(1, sizeof(*piece));

	wire__doc_piece__init(piece);
	piece->from = (uint32_t)from;
	piece->length = (uint32_t)length;
	if (d->npieces == d->pieces_cap) {
		d->pieces_cap = d->pieces_cap == 0 ? 4 : d->pieces_cap * 2;
		d->pieces = mem_resize(
		    d->pieces, d->pieces_cap, sizeof(Wire__DocPiece *));
	}
	d->pieces[d->npieces++] = piece;
	d->cost_bytes += DELTA_PIECE_COST_BYTES;
	return piece;
}

/*
 * Adds a range of the old text that stands at pos in the new text. The new
 * text before pos that is not covered yet is stored literally.
 */
static void
delta_add_match(struct delta *d, size_t pos, size_t from, size_t length)
{
	Wire__DocPiece *last;

	if (pos > d->covered) {
		last = d->npieces > 0 ? d->pieces[d->npieces - 1]
				      : delta_add_piece(d, 0, 0);
		last->text.data = (uint8_t *)d->text + d->covered;
		last->text.len = pos - d->covered;
		d->cost_bytes += last->text.len;
	}
	if (length > 0)
		(void)delta_add_piece(d, from, length);
	d->covered = pos + length;
}

/* Indexes the blocks of old[start, end). */
static void
delta_index_anchors(struct delta *d, size_t start, size_t end)
{
	uint64_t hash;
	size_t pos;

	for (pos = start; pos + DELTA_BLOCK_BYTES <= end;
	     pos += DELTA_STEP_BYTES) {
		hash = XXH64(d->old + pos, DELTA_BLOCK_BYTES, 0);
		(void)map_set_u64(d->anchors, hash,
		    map_get_u64(d->anchors, hash) == NULL
			? (void *)(uintptr_t)(pos + 1)
			: DELTA_AMBIGUOUS);
	}
}

/*
 * Adds the common range around an anchor at pos in the new text; false if
 * there is no anchor.
 */
static bool
delta_match_anchor(struct delta *d, size_t pos, size_t end)
{
	uint64_t hash = XXH64(d->text + pos, DELTA_BLOCK_BYTES, 0);
	void *found = map_get_u64(d->anchors, hash);
	size_t from, length = DELTA_BLOCK_BYTES;

	if (found == NULL || found == DELTA_AMBIGUOUS)
		return false;
	from = (size_t)(uintptr_t)found - 1;
	if (memcmp(d->old + from, d->text + pos, DELTA_BLOCK_BYTES) != 0)
		return false;
	while (pos > d->covered && from > 0 &&
	    d->old[from - 1] == d->text[pos - 1]) {
		pos--;
		from--;
		length++;
	}
	while (from + length < d->old_len && pos + length < end &&
	    d->old[from + length] == d->text[pos + length])
		length++;
	delta_add_match(d, pos, from, length);
	return true;
}

/* Finds common ranges of old[start, old_end) and text[start, end). */
static void
delta_search(struct delta *d, size_t start, size_t old_end, size_t end)
{
	size_t pos = start;

	if (old_end > DELTA_SEARCH_BYTES_MAX || end > DELTA_SEARCH_BYTES_MAX)
		return;
	d->anchors = map_create();
	delta_index_anchors(d, start, old_end);
	while (pos + DELTA_BLOCK_BYTES <= end)
		pos = delta_match_anchor(d, pos, end) ? d->covered : pos + 1;
	map_destroy(d->anchors);
}

/* Computes the pieces: common prefix, ranges between, common suffix. */
static void
delta_compute(struct delta *d)
{
	size_t shorter = d->len < d->old_len ? d->len : d->old_len;
	size_t prefix = 0, suffix = 0;

	while (prefix < shorter && d->old[prefix] == d->text[prefix])
		prefix++;
	while (suffix < shorter - prefix &&
	    d->old[d->old_len - suffix - 1] == d->text[d->len - suffix - 1])
		suffix++;
	if (prefix > 0)
		delta_add_match(d, 0, 0, prefix);
	delta_search(d, prefix, d->old_len - suffix, d->len - suffix);
	delta_add_match(d, d->len - suffix, d->old_len - suffix, suffix);
}

void
doc_delta_encode(const struct doc_table *table, Wire__DocPut *put)
{
	const struct doc_revision *base =
	    delta_find_base(table, put->team, put->base_revision);
	struct delta d = {0};

	if (base == NULL || put->body.len == 0 || base->text_len > UINT32_MAX ||
	    put->body.len > UINT32_MAX)
		return;
	d.old = base->text;
	d.old_len = base->text_len;
	d.text = (const char *)put->body.data;
	d.len = put->body.len;
	delta_compute(&d);
	put->pieces = d.pieces;
	put->n_pieces = d.npieces;
	if (d.cost_bytes > d.len / 2) {
		doc_delta_free(put);
		return;
	}
	put->body_hash = XXH64(d.text, d.len, 0);
	put->body.data = NULL;
	put->body.len = 0;
}

void
doc_delta_free(Wire__DocPut *put)
{
	size_t i;

	for (i = 0; i < put->n_pieces; i++)
		free(put->pieces[i]);
	free(put->pieces);
	put->pieces = NULL;
	put->n_pieces = 0;
}

struct doc_text
doc_delta_decode(
    const struct doc_table *table, const Wire__DocPut *put, struct buf *out)
{
	struct doc_text text = {"", 0};
	const struct doc_revision *base;
	const Wire__DocPiece *piece;
	size_t i;

	if (put->n_pieces == 0 && put->body.len > 0)
		text = (struct doc_text){
		    (const char *)put->body.data, put->body.len};
	if (put->n_pieces == 0)
		return text;
	text.data = NULL;
	base = delta_find_base(table, put->team, put->base_revision);
	for (i = 0; base != NULL && i < put->n_pieces; i++) {
		piece = put->pieces[i];
		if (piece->from > base->text_len ||
		    piece->length > base->text_len - piece->from)
			return text;
		buf_append(out, base->text + piece->from, piece->length);
		buf_append(out, piece->text.data, piece->text.len);
	}
	if (base == NULL || XXH64(out->data, out->len, 0) != put->body_hash)
		return text;
	return (struct doc_text){out->data, out->len};
}
