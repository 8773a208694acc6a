#ifndef MULBERRYPATH_ERROR_H
#define MULBERRYPATH_ERROR_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Return codes shared by all layers; each layer says which it returns. */
enum mp_code {
	MP_OK = 0,
	MP_ERR_MEMORY = -1,
	MP_ERR_INVALID = -2, /* the input is malformed */
	MP_ERR_NOT_FOUND = -3,
	MP_ERR_EXISTS = -4,
	MP_ERR_CONFLICT = -5, /* lost a race or a stale revision */
	MP_ERR_NOT_LEADER = -6,
	MP_ERR_UNAVAILABLE = -7, /* cannot be done now, may work later */
	MP_ERR_CORRUPT = -8, /* stored data failed its hash */
	MP_ERR_IO = -9, /* the system refused a file or socket call */
	MP_ERR_LIMIT = -10, /* a stated limit would be exceeded */
	MP_ERR_DENIED = -11,
	MP_ERR_EXPIRED = -12
};

/* The layer in which an error arose. */
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

/* The detail of a failed call, filled by the callee when not NULL. */
struct mp_error {
	enum mp_layer layer;
	int code;
	char message[MP_ERROR_MESSAGE_BYTES];
};

/*
 * Fill an error and return its code, so that a caller can write
 * "return mp_error_set(err, ...)".
 *
 * err: the detail to fill; may be NULL.
 * layer, code: what failed.
 * format: printf-like text without a trailing newline.
 */
int mp_error_set(struct mp_error *err, enum mp_layer layer, int code,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

/*
 * Turn an error of a lower layer into one of this layer, keeping the lower
 * text after a colon.
 *
 * err: the detail filled by the lower layer; may be NULL.
 * layer, code: what the upper layer reports.
 * what: a short text placed before the lower message.
 */
int mp_error_wrap(
    struct mp_error *err, enum mp_layer layer, int code, const char *what);

/* The name of a layer, in lower case; never NULL. */
const char *mp_layer_name(enum mp_layer layer);

/* The name of a code, in lower case with dashes; never NULL. */
const char *mp_code_name(int code);

#ifdef __cplusplus
}
#endif

#endif
