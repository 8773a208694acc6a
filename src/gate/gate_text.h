#ifndef MP_GATE_GATE_TEXT_H
#define MP_GATE_GATE_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/error.h"
#include "mulberrypath/node.h"
#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The text of a configuration as a list of segments: each element of an array
 * that is a member of the top-level object, and the text between them. Joined,
 * the segments are the text byte for byte. Segments lie in chunks of some
 * dozens. Texts share chunks, so a text that differs from another in one
 * element has one chunk of its own, and making it costs that and a list of all
 * chunks.
 *
 * The functions know JSON's strings and nesting only. That elements and the
 * text around them are valid JSON is checked by whoever decodes them: the text
 * is valid if each element is, and so is the text without its elements.
 */
struct gw_text;

enum gw_segment_kind {
	GW_SEGMENT_REST, /* all that is neither of the others */
	GW_SEGMENT_SEPARATOR, /* a comma with white space, between elements */
	GW_SEGMENT_ELEMENT
};

/* A top-level array with at least one element. */
struct gw_text_array {
	struct node_bytes key; /* name as in the text, with its quotes */
	size_t first; /* segment of the first element */
	size_t count; /* elements; element i is segment first + 2 * i */
};

/* A range of an earlier text's segments, followed by new segments. */
struct gw_text_piece {
	size_t from, count;
	struct node_bytes *inserted;
	size_t ninserted;
};

/*
 * A text as a difference to an earlier one, its base. Ranges are in ascending
 * order and don't overlap.
 */
struct gw_text_delta {
	struct gw_text_piece *pieces;
	size_t npieces;
};

/* Work that was done to make a text. */
struct gw_text_work {
	uint64_t scanned_bytes, hashed_bytes;
	size_t copied_segments; /* new ones, and those beside them */
	size_t chunks; /* the text has */
};

/*
 * Splits a text. Errors: MP_ERR_INVALID: it is not an object, or its nesting is
 * wrong; err says only that, as a JSON parser names the place.
 *
 * base: a text that is probably similar: chunks and elements that it has too
 * are compared instead of scanned and hashed, and shared; NULL: none. The
 * result is the same.
 */
int gw_text_parse(struct gw_text **out, struct node_bytes text,
    const struct gw_text *base, struct mp_error *err);
/*
 * Returns bytes that gw_text_parse() refuses as a text of one segment, to be
 * kept and joined. Differences to it can't be made.
 */
struct gw_text *gw_text_create_unsplit(struct node_bytes bytes);
/* Returns the text again, for another owner, who destroys it as well. */
struct gw_text *gw_text_share(struct gw_text *text);
/*
 * Frees the text, unless it has another owner, and the segments that no other
 * text has.
 */
void gw_text_destroy(struct gw_text *text);

/*
 * The functions below take NULL for a text without segments, the base of a
 * first text.
 */

size_t gw_text_count(const struct gw_text *text);
/* Size of the joined text. */
size_t gw_text_bytes(const struct gw_text *text);
/* Segment i < gw_text_count(); valid as long as the text. */
struct node_bytes gw_text_segment(const struct gw_text *text, size_t i);
enum gw_segment_kind gw_text_kind(const struct gw_text *text, size_t i);
/* Returns the arrays in the order of the text. */
const struct gw_text_array *gw_text_arrays(
    const struct gw_text *text, size_t *count);
struct gw_text_work gw_text_get_work(const struct gw_text *text);

/* A hash of the segments' hashes, computed when the text is made. */
uint64_t gw_text_digest(const struct gw_text *text);
bool gw_text_is_equal(const struct gw_text *a, const struct gw_text *b);
/* Whether the joined text has these bytes. */
bool gw_text_is_bytes(const struct gw_text *text, struct node_bytes bytes);
/* Appends the whole text. */
void gw_text_join(const struct gw_text *text, struct buf *out);

/* ---- gate_text_delta.c ---- */

/*
 * Describes a text as a difference to base. The new segments of the result are
 * those of text, and valid as long as it. gw_text_delta_destroy() frees it.
 */
struct gw_text_delta *gw_text_diff(
    const struct gw_text *base, const struct gw_text *text);
void gw_text_delta_destroy(struct gw_text_delta *delta);
/* The size of the new segments. */
size_t gw_text_delta_bytes(const struct gw_text_delta *delta);

/*
 * Makes the text that a difference describes; reads and hashes only the new
 * segments. Errors: MP_ERR_INVALID: the difference doesn't fit the base, or
 * the segments are not in an order that gw_text_parse() gives.
 */
int gw_text_apply(struct gw_text **out, const struct gw_text *base,
    const struct gw_text_delta *delta, struct mp_error *err);

#ifdef __cplusplus
}
#endif

#endif
