#ifndef MP_GATE_GATE_TEXT_INTERNAL_H
#define MP_GATE_GATE_TEXT_INTERNAL_H

#include "gate/gate_text.h"
#include "util/buf.h"

/* Declarations shared by the files of the configuration text. */

/*
 * Limits of a chunk. The cost of a change is that of copying the chunks that it
 * touches and the list of all: 64 segments are some 32 routes, 8 KB, and a text
 * of 1,440 routes has 45 chunks. A chunk that has reached GW_CHUNK_BYTES gets
 * no further segment; one with fewer than GW_CHUNK_SEGMENTS_MIN segments is
 * joined with the next, so that changes don't leave ever more short chunks.
 */
#define GW_CHUNK_SEGMENTS_MAX 64u
#define GW_CHUNK_SEGMENTS_MIN 16u
#define GW_CHUNK_BYTES	      16384u

/* Successive segments of a text, shared by texts and never changed. */
struct gw_chunk {
	uint32_t references;
	uint32_t count; /* segments, > 0 */
	uint32_t nrests; /* segments of kind GW_SEGMENT_REST */
	bool is_ordered; /* each segment's kind may follow the one before */
	size_t bytes;
	uint64_t sum, power; /* for the digest, see gate_text_chunk.c */
	uint64_t *hashes; /* of the segments */
	size_t *ends; /* of the segments in data */
	uint8_t *kinds; /* enum gw_segment_kind */
	char *data;
};

/* The chunk to which segments are being appended. */
struct gw_chunk_builder {
	uint64_t hashes[GW_CHUNK_SEGMENTS_MAX];
	size_t ends[GW_CHUNK_SEGMENTS_MAX];
	uint8_t kinds[GW_CHUNK_SEGMENTS_MAX];
	uint32_t count;
	struct buf data;
};

struct gw_text {
	uint32_t references;
	struct gw_chunk **chunks;
	size_t *starts; /* first segment of each chunk */
	size_t nchunks, cap;
	size_t count, bytes; /* with those of the builder */
	struct gw_text_array *arrays;
	size_t narrays;
	uint64_t digest;
	struct gw_text_work work;
	struct gw_chunk_builder *builder; /* NULL once finished */
};

/* A place in a finished text. */
struct gw_text_place {
	size_t chunk, offset;
};

/* Returns a text without segments, with memory for some chunks. */
struct gw_text *gw_text_create(size_t chunks);
/* Appends a copy of the bytes as a segment. */
void gw_text_append(
    struct gw_text *text, struct node_bytes bytes, enum gw_segment_kind kind);
/* Appends count segments of another text, and shares its whole chunks. */
void gw_text_append_shared(struct gw_text *text, const struct gw_text *other,
    size_t from, size_t count);
/* The same with count segments of one chunk. */
void gw_text_append_part(struct gw_text *text, const struct gw_text *other,
    struct gw_text_place place, size_t count);
/*
 * Finds the arrays and computes the digest once all segments are appended;
 * false: the kinds of the segments are not in an order that gw_text_parse()
 * gives.
 */
bool gw_text_finish(struct gw_text *text);
/*
 * Finds segment i < count of a finished text.
 *
 * near: the chunk of a segment before, where the search begins.
 */
struct gw_text_place gw_text_find(
    const struct gw_text *text, size_t i, size_t near);
/* Segment i < count of a chunk. */
struct node_bytes gw_chunk_segment(const struct gw_chunk *chunk, size_t i);
/* Whether a character is white space in JSON. */
bool gw_text_is_space(char c);

#endif
