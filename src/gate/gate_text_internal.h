#ifndef MP_GATE_GATE_TEXT_INTERNAL_H
#define MP_GATE_GATE_TEXT_INTERNAL_H

#include "gate/gate_text.h"

/* Declarations shared by the files of the configuration text. */

struct gw_segment {
	uint32_t references;
	uint64_t hash;
	size_t len;
	char data[];
};

/*
 * Hashes and kinds are arrays of their own, so that a digest and the order of
 * segments are computed without a memory access to each segment.
 */
struct gw_text {
	struct gw_segment **segments;
	uint64_t *hashes; /* of the segments */
	uint8_t *kinds; /* enum gw_segment_kind */
	size_t count, cap;
	size_t bytes;
	struct gw_text_array *arrays;
	size_t narrays;
	uint64_t digest;
	struct gw_text_work work;
};

/* Returns a text without segments, with memory for some. */
struct gw_text *gw_text_create(size_t cap);
/* Appends a copy of the bytes as a segment. */
void gw_text_append(
    struct gw_text *text, struct node_bytes bytes, enum gw_segment_kind kind);
/* Appends count segments of another text, which then share them. */
void gw_text_append_shared(struct gw_text *text, const struct gw_text *other,
    size_t from, size_t count);
/*
 * Finds the arrays and computes the digest once all segments are appended;
 * false: the kinds of the segments are not in an order that gw_text_parse()
 * gives.
 */
bool gw_text_finish(struct gw_text *text);
/* Whether a character is white space in JSON. */
bool gw_text_is_space(char c);

#endif
