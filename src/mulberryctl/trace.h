#ifndef MP_MULBERRYCTL_TRACE_H
#define MP_MULBERRYCTL_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "mulberrypath/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A recorded load: requests by their time, one JSON object a line. */

struct trace_request {
	uint32_t at_ms;
	char *team;
	char *kind;
	char *adapter, *version; /* of model requests, else NULL */
	char *prompt; /* NULL for a chat */
	char *session; /* messages of a chat as JSON text */
	uint32_t max_tokens;
	bool stream;
	char *method, *path; /* of service calls: "NAME/PATH" */
	char *key; /* idempotency key, or NULL */
};

struct trace {
	struct trace_request *items;
	size_t count, cap;
};

/* Append a zeroed request. */
struct trace_request *trace_add(struct trace *t);

/* Order by time; those of one millisecond keep their order. */
void trace_sort(struct trace *t);

void trace_free(struct trace *t);

/* Errors: MP_ERR_IO. */
int trace_write(const struct trace *t, FILE *out, struct mp_error *err);

/*
 * Read a whole trace; on failure the line's number is in err.
 * Errors: MP_ERR_IO, MP_ERR_INVALID.
 */
int trace_read(struct trace *t, FILE *in, struct mp_error *err);

#ifdef __cplusplus
}
#endif

#endif
