#include <stdlib.h>

#include "gate/gate_update_internal.h"
#include "util/mem.h"

/* Decoding of what an update changes, see gate_update.h. */

/* Where the reading of the texts is. */
struct gw_update_cursor {
	const struct gw_codec *codec;
	struct gw_update *update;
	const struct gw_text *next;
	const struct gw_text_array *base_arrays, *arrays;
	size_t nbase_arrays, narrays;
	size_t at; /* segment of next */
	const struct gw_text_delta *delta;
	size_t piece; /* of the delta */
	bool is_kept_read; /* the kept segments of the piece are read */
	size_t inserted; /* new segments of the piece that are read */
	size_t base_count[GW_ELEMENT_KINDS]; /* elements read of base */
};

/* An array of which segments are read, and the place in it. */
struct place_in_array {
	enum gw_element_kind kind;
	size_t offset; /* from the first element; even: an element */
	size_t left; /* segments up to the end of the last element */
};

/* Returns the splice at this place of the configuration's array. */
static struct gw_splice *
get_splice(struct gw_splices *splices, size_t at)
{
	struct gw_splice *last;

	if (splices->count > 0) {
		last = &splices->items[splices->count - 1];
		if (last->at + last->nremoved == at)
			return last;
	}
	if (splices->count == splices->cap) {
		splices->cap = splices->cap == 0 ? 8 : splices->cap * 2;
		splices->items = mem_resize(
		    splices->items, splices->cap, sizeof(*splices->items));
	}
	last = &splices->items[splices->count++];
	*last = (struct gw_splice){.at = at};
	return last;
}

/* ---- decoding ----------------------------------------------------------- */

/*
 * Finds the array that has a segment; false: it is outside. Segments are looked
 * for in ascending order, so arrays that end before are dropped.
 */
static bool
find_array(const struct gw_update_cursor *c,
    const struct gw_text_array **arrays, size_t *narrays, size_t segment,
    struct place_in_array *out)
{
	const struct gw_text_array *a;
	size_t end;

	while (*narrays > 0) {
		a = *arrays;
		end = a->first + 2 * a->count - 1;
		if (segment < a->first)
			return false;
		if (segment < end) {
			out->kind = c->codec->find_element_kind(a->key);
			out->offset = segment - a->first;
			out->left = end - segment;
			return true;
		}
		(*arrays)++;
		(*narrays)--;
	}
	return false;
}

static int
decode(struct gw_update_cursor *c, const struct place_in_array *place,
    struct mp_error *err)
{
	struct node_bytes bytes = gw_text_segment(c->next, c->at);
	struct gw_update *u = c->update;
	void *item;
	int rc = c->codec->read_element(
	    &item, place->kind, place->offset / 2, bytes, err);

	if (rc != MP_OK)
		return rc;
	u->work.decoded++;
	u->work.decoded_bytes += bytes.len;
	if (item != NULL) {
		gw_list_add(&u->added[place->kind], &item, 1);
		get_splice(&u->splices[place->kind], c->base_count[place->kind])
		    ->nadded++;
	}
	return MP_OK;
}

/* Reads new segments. */
static int
read_new(struct gw_update_cursor *c, size_t count, struct mp_error *err)
{
	struct place_in_array place;
	size_t i;
	int rc = MP_OK;

	for (i = 0; i < count && rc == MP_OK; i++, c->at++)
		if (gw_text_kind(c->next, c->at) == GW_SEGMENT_ELEMENT &&
		    find_array(c, &c->arrays, &c->narrays, c->at, &place))
			rc = decode(c, &place, err);
	return rc;
}

/* Elements of base before this one that were not kept are removed. */
static void
remove_before(
    struct gw_update_cursor *c, enum gw_element_kind kind, size_t index)
{
	struct gw_update *u = c->update;
	size_t total, count, *read = &c->base_count[kind];
	void **items = gw_config_get_elements(u->config, kind, &total);

	if (index <= *read)
		return;
	count = index - *read;
	gw_list_add(&u->removed[kind], items + *read, count);
	get_splice(&u->splices[kind], *read)->nremoved += count;
	*read = index;
}

/* Takes the elements of a run of segments over. */
static void
keep_run(struct gw_update_cursor *c, const struct place_in_array *place,
    size_t segments)
{
	size_t first = (place->offset + 1) / 2, total;
	size_t end = (place->offset + segments + 1) / 2;
	enum gw_element_kind kind = place->kind;

	if (first == end ||
	    gw_config_get_elements(c->update->config, kind, &total) == NULL)
		return;
	remove_before(c, kind, first);
	c->base_count[kind] = end;
}

/*
 * Reads segments that both texts have. An element that is in an array of
 * another kind now is decoded as if it were new.
 */
static int
read_kept(
    struct gw_update_cursor *c, size_t from, size_t count, struct mp_error *err)
{
	struct place_in_array was = {0}, is = {0};
	size_t done, run;
	int rc = MP_OK;

	for (done = 0; done < count && rc == MP_OK; done += run) {
		run = 1;
		if (!find_array(c, &c->arrays, &c->narrays, c->at, &is)) {
			c->at++;
			continue;
		}
		if (!find_array(c, &c->base_arrays, &c->nbase_arrays,
			from + done, &was) ||
		    was.kind != is.kind) {
			rc = read_new(c, 1, err);
			continue;
		}
		run = count - done;
		run = was.left < run ? was.left : run;
		run = is.left < run ? is.left : run;
		keep_run(c, &was, run);
		c->at += run;
	}
	return rc;
}

/* Decodes the text between elements. */
static int
read_rest(struct gw_update_cursor *c, struct mp_error *err)
{
	struct gw_update *u = c->update;
	struct buf rest = {0};
	struct node_bytes bytes;
	size_t i = 0, k;
	int rc;

	for (k = 0; k <= c->narrays; k++) {
		bytes = gw_text_segment(c->next, i);
		buf_append(&rest, bytes.data, bytes.len);
		if (k < c->narrays)
			i = c->arrays[k].first + 2 * c->arrays[k].count - 1;
	}
	u->work.decoded_bytes += rest.len;
	rc = c->codec->read_rest(
	    &u->other, (struct node_bytes){rest.data, rest.len}, err);
	buf_free(&rest);
	return rc;
}

/*
 * Reads pieces until elements of about this many bytes are decoded; false in
 * *done: more are left.
 */
static int
read_pieces(
    struct gw_update_cursor *c, size_t bytes, bool *done, struct mp_error *err)
{
	const struct gw_text_piece *p;
	size_t count, begin = c->update->work.decoded_bytes;
	int rc = MP_OK, kind;

	for (; c->piece < c->delta->npieces; c->piece++) {
		p = &c->delta->pieces[c->piece];
		if (!c->is_kept_read)
			rc = read_kept(c, p->from, p->count, err);
		c->is_kept_read = true;
		for (; rc == MP_OK && c->inserted < p->ninserted;
		     c->inserted++) {
			if (c->update->work.decoded_bytes - begin >= bytes)
				return MP_OK;
			rc = read_new(c, 1, err);
		}
		if (rc != MP_OK)
			return rc;
		c->is_kept_read = false;
		c->inserted = 0;
	}
	for (kind = 0; kind < GW_ELEMENT_KINDS; kind++) {
		(void)gw_config_get_elements(
		    c->update->config, (enum gw_element_kind)kind, &count);
		remove_before(c, (enum gw_element_kind)kind, count);
	}
	*done = true;
	return MP_OK;
}

int
gw_update_begin(struct gw_update **out, const struct gw_codec *codec,
    struct gw_config *config, const struct gw_text *base,
    const struct gw_text *next, const struct gw_text_delta *delta,
    struct mp_error *err)
{
	struct gw_update_cursor *c = mem_alloc(1, sizeof(*c));
	struct gw_update *u = mem_alloc(1, sizeof(*u));
	int rc;

	u->config = config;
	u->cursor = c;
	c->update = u;
	c->codec = codec;
	c->next = next;
	c->delta = delta;
	c->base_arrays = gw_text_arrays(base, &c->nbase_arrays);
	c->arrays = gw_text_arrays(next, &c->narrays);
	rc = read_rest(c, err);
	if (rc != MP_OK) {
		gw_update_destroy(u);
		u = NULL;
	}
	*out = u;
	return rc;
}

int
gw_update_continue(
    struct gw_update *update, size_t bytes, bool *done, struct mp_error *err)
{
	int rc;

	*done = update->cursor == NULL;
	if (*done)
		return MP_OK;
	rc = read_pieces(update->cursor, bytes, done, err);
	if (*done) {
		gw_update_cursor_destroy(update->cursor);
		update->cursor = NULL;
	}
	return rc;
}

int
gw_update_prepare(struct gw_update **out, const struct gw_codec *codec,
    struct gw_config *config, const struct gw_text *base,
    const struct gw_text *next, const struct gw_text_delta *delta,
    struct mp_error *err)
{
	bool done = false;
	int rc = gw_update_begin(out, codec, config, base, next, delta, err);

	while (rc == MP_OK && !done)
		rc = gw_update_continue(*out, SIZE_MAX, &done, err);
	if (rc != MP_OK) {
		gw_update_destroy(*out);
		*out = NULL;
	}
	return rc;
}

void
gw_update_cursor_destroy(struct gw_update_cursor *cursor)
{
	free(cursor);
}
