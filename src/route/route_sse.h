#ifndef MP_ROUTE_ROUTE_SSE_H
#define MP_ROUTE_ROUTE_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Parser of an engine's answer: server-sent events that hold JSON. */

/* Maximum length of an event from an endpoint, in bytes. */
#define ROUTE_SSE_EVENT_MAX (256 * 1024)

/* Splits a byte stream into events. Initialise with zeros. */
struct route_sse {
	struct buf pending;
	size_t consumed; /* bytes of pending already returned */
};

/* Adds bytes; false: more than ROUTE_SSE_EVENT_MAX bytes are pending. */
bool route_sse_feed(struct route_sse *s, const char *data, size_t len);

/*
 * Removes the next complete event that has data; false: there is none yet.
 * Comments and other fields are skipped.
 *
 * out: set to the event's data, lines joined by LF.
 */
bool route_sse_next_event(struct route_sse *s, struct buf *out);

/* Frees the buffer; s is then ready for another stream. */
void route_sse_free(struct route_sse *s);

/* One event of an engine's answer. */
struct route_chunk {
	bool is_done; /* the end marker; no other field is set */
	char *id, *model, *text, *finish_reason; /* owned; may be NULL */
	uint64_t offset; /* of text, in tokens */
	uint32_t tokens; /* in text */
	uint32_t prompt_tokens; /* if usage is given, otherwise 0 */
};

/*
 * Parses an event's data; false: it is not valid, and out holds nothing to
 * free.
 */
bool route_chunk_parse(struct route_chunk *out, const struct buf *event);
/* Frees the strings and clears the chunk. */
void route_chunk_free(struct route_chunk *c);

#ifdef __cplusplus
}
#endif

#endif
