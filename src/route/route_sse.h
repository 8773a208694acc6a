#ifndef MP_ROUTE_ROUTE_SSE_H
#define MP_ROUTE_ROUTE_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest event taken from an endpoint, in bytes. */
#define ROUTE_SSE_EVENT_MAX (256 * 1024)

/* Splits a byte stream into server-sent events; zero-initialise. */
struct route_sse {
	struct buf pending;
	size_t consumed; /* bytes of pending already returned */
};

/* Add bytes; false when an event grows beyond the limit. */
bool route_sse_feed(struct route_sse *s, const char *data, size_t len);

/*
 * Take the data of the next whole event, comments skipped.
 *
 * out: cleared and filled.
 */
bool route_sse_next_event(struct route_sse *s, struct buf *out);

void route_sse_free(struct route_sse *s);

/* One event of an engine's answer. */
struct route_chunk {
	bool is_done; /* the end mark */
	char *id, *model, *text, *finish_reason; /* owned; may be NULL */
	uint64_t offset;
	uint32_t tokens;
	uint32_t prompt_tokens; /* with usage */
};

/* Parse an event's data; false when it is not what an engine may send. */
bool route_chunk_parse(struct route_chunk *out, const struct buf *event);
void route_chunk_free(struct route_chunk *c);

#ifdef __cplusplus
}
#endif

#endif
