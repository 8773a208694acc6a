#ifndef MULBERRYPATH_ERROR_H
#define MULBERRYPATH_ERROR_H

#include <stddef.h>

/* Error codes and error details of all layers. */

#ifdef __cplusplus
extern "C" {
#endif

/* Return codes. The headers of each layer document which ones it returns. */
enum mp_code {
	MP_OK = 0,
	MP_ERR_MEMORY = -1,
	MP_ERR_INVALID = -2, /* malformed input */
	MP_ERR_NOT_FOUND = -3,
	MP_ERR_EXISTS = -4,
	MP_ERR_CONFLICT = -5, /* concurrent change or outdated revision */
	MP_ERR_NOT_LEADER = -6,
	MP_ERR_UNAVAILABLE = -7, /* temporary; a retry may succeed */
	MP_ERR_CORRUPT = -8, /* stored data does not match its hash */
	MP_ERR_IO = -9, /* a system call on a file or socket failed */
	MP_ERR_LIMIT = -10, /* a documented limit would be exceeded */
	MP_ERR_DENIED = -11,
	MP_ERR_EXPIRED = -12
};

/* The layer that reports an error. */
enum mp_layer {
	MP_LAYER_NONE,
	MP_LAYER_UTIL,
	MP_LAYER_WIRE,
	MP_LAYER_RAFT,
	MP_LAYER_STORE,
	MP_LAYER_MEMBER,
	MP_LAYER_DOC,
	MP_LAYER_CLAIM,
	MP_LAYER_SCHED,
	MP_LAYER_ROUTE,
	MP_LAYER_NODE,
	MP_LAYER_HTTP,
	MP_LAYER_BUS,
	MP_LAYER_CONF,
	MP_LAYER_CLI,
	MP_LAYER_GATE,
	MP_LAYER_PLATFORM
};

#define MP_ERROR_MESSAGE_BYTES 256

/* Details of a failed call. A callee fills them in if the pointer is not NULL.
 */
struct mp_error {
	enum mp_layer layer;
	int code; /* one of enum mp_code */
	char message[MP_ERROR_MESSAGE_BYTES];
};

/*
 * Fills in error details. Returns code, so that a caller can write
 * "return mp_error_set(err, ...)".
 *
 * err: the details to fill in; may be NULL.
 * layer: the layer that reports the error.
 * code: one of enum mp_code.
 * format: printf format of the message, without a trailing newline. A message
 *     of MP_ERROR_MESSAGE_BYTES or more is truncated.
 */
int mp_error_set(struct mp_error *err, enum mp_layer layer, int code,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

/*
 * Replaces the error of a lower layer by one of the calling layer. The new
 * message is "what: message of the lower layer". Returns code.
 *
 * err: the details filled in by the lower layer; may be NULL.
 * layer, code: the layer and code that the calling layer reports.
 * what: the operation that failed.
 */
int mp_error_wrap(
    struct mp_error *err, enum mp_layer layer, int code, const char *what);

/* Returns the name of a layer in lower case, or "unknown". */
const char *mp_layer_name(enum mp_layer layer);

/* Returns the name of a code in lower case with dashes, or "unknown". */
const char *mp_code_name(int code);

#ifdef __cplusplus
}
#endif

#endif
