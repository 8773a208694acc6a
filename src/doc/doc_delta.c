#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "doc/doc_table.h"
#include "doc/doc_delta.h"
#include "util/mem.h"

/*
 * Stretches of the earlier text are found by its anchors: blocks of it that
 * occur once among those taken. A new text that has an anchor shares what
 * stands before and after it for as far as both agree.
 */

#define DELTA_BLOCK	 96 /* bytes of an anchor: more than an adapter's line */
#define DELTA_STEP	 8 /* between anchors of the earlier text */
#define DELTA_PIECE_COST 12 /* bytes of a piece beside its text, about */
#define DELTA_SEARCH_MAX (512 * 1024) /* longer texts: their ends alone */

struct delta {
	const char *old, *text;
	size_t old_len, len;
	struct map *anchors; /* hash to place in old + 1; AMBIGUOUS */
	Wire__DocPiece **pieces;
	size_t n, cap;
	size_t copied; /* of the text, from its start */
	size_t cost;
};

#define AMBIGUOUS ((void *)UINTPTR_MAX)

static const struct doc_revision *
delta_base(const struct doc_table *b, const char *team, uint64_t revision)
{
	const struct doc_team *t = doc_table_find_team(b, team);
	size_t i;

	for (i = t == NULL ? 0 : t->nhistory; i > 0; i--)
		if (t->history[i - 1].revision == revision)
			return &t->history[i - 1];
	return NULL;
}

static Wire__DocPiece *
delta_add(struct delta *d, size_t from, size_t length)
{
	Wire__DocPiece *piece = mem_alloc(1, sizeof(*piece));

	wire__doc_piece__init(piece);
	piece->from = (uint32_t)from;
	piece->length = (uint32_t)length;
	if (d->n == d->cap) {
		d->cap = d->cap == 0 ? 4 : d->cap * 2;
		d->pieces =
		    mem_resize(d->pieces, d->cap, sizeof(Wire__DocPiece *));
	}
	d->pieces[d->n++] = piece;
	d->cost += DELTA_PIECE_COST;
	return piece;
}

/* The text up to a place is its own, then a stretch of the old follows. */
static void
delta_copy(struct delta *d, size_t at, size_t from, size_t length)
{
	Wire__DocPiece *last;

	if (at > d->copied) {
		last = d->n > 0 ? d->pieces[d->n - 1] : delta_add(d, 0, 0);
		last->text.data = (uint8_t *)d->text + d->copied;
		last->text.len = at - d->copied;
		d->cost += last->text.len;
	}
	if (length > 0)
		(void)delta_add(d, from, length);
	d->copied = at + length;
}

static void
delta_index(struct delta *d, size_t start, size_t end)
{
	uint64_t hash;
	size_t at;

	for (at = start; at + DELTA_BLOCK <= end; at += DELTA_STEP) {
		hash = XXH64(d->old + at, DELTA_BLOCK, 0);
		(void)map_set_u64(d->anchors, hash,
		    map_get_u64(d->anchors, hash) == NULL
			? (void *)(uintptr_t)(at + 1)
			: AMBIGUOUS);
	}
}

/* Take the stretch around an anchor that agrees; false: no anchor here. */
static bool
delta_take(struct delta *d, size_t at, size_t end)
{
	uint64_t hash = XXH64(d->text + at, DELTA_BLOCK, 0);
	void *found = map_get_u64(d->anchors, hash);
	size_t from, length = DELTA_BLOCK;

	if (found == NULL || found == AMBIGUOUS)
		return false;
	from = (size_t)(uintptr_t)found - 1;
	if (memcmp(d->old + from, d->text + at, DELTA_BLOCK) != 0)
		return false;
	while (
	    at > d->copied && from > 0 && d->old[from - 1] == d->text[at - 1]) {
		at--;
		from--;
		length++;
	}
	while (from + length < d->old_len && at + length < end &&
	    d->old[from + length] == d->text[at + length])
		length++;
	delta_copy(d, at, from, length);
	return true;
}

/* Find the stretches of old[start, old_end) in text[start, end). */
static void
delta_search(struct delta *d, size_t start, size_t old_end, size_t end)
{
	size_t at = start;

	if (old_end > DELTA_SEARCH_MAX || end > DELTA_SEARCH_MAX)
		return;
	d->anchors = map_create();
	delta_index(d, start, old_end);
	while (at + DELTA_BLOCK <= end)
		at = delta_take(d, at, end) ? d->copied : at + 1;
	map_destroy(d->anchors);
}

static void
delta_run(struct delta *d)
{
	size_t least = d->len < d->old_len ? d->len : d->old_len;
	size_t before = 0, after = 0;

	while (before < least && d->old[before] == d->text[before])
		before++;
	while (after < least - before &&
	    d->old[d->old_len - after - 1] == d->text[d->len - after - 1])
		after++;
	if (before > 0)
		delta_copy(d, 0, 0, before);
	delta_search(d, before, d->old_len - after, d->len - after);
	delta_copy(d, d->len - after, d->old_len - after, after);
}

void
doc_delta_encode(const struct doc_table *b, Wire__DocPut *put)
{
	const struct doc_revision *base =
	    delta_base(b, put->team, put->base_revision);
	struct delta d = {0};

	if (base == NULL || put->body.len == 0 || base->text_len > UINT32_MAX ||
	    put->body.len > UINT32_MAX)
		return;
	d.old = base->text;
	d.old_len = base->text_len;
	d.text = (const char *)put->body.data;
	d.len = put->body.len;
	delta_run(&d);
	put->pieces = d.pieces;
	put->n_pieces = d.n;
	if (d.cost > d.len / 2) {
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
    const struct doc_table *b, const Wire__DocPut *put, struct buf *out)
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
	base = delta_base(b, put->team, put->base_revision);
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
