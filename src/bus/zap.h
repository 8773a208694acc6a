#ifndef MP_BUS_ZAP_H
#define MP_BUS_ZAP_H

#include <uv.h>

#include "mulberrypath/error.h"
#include "mulberrypath/settings.h"

/*
 * Authentication of CURVE clients (ZeroMQ RFC 27): a key named in the
 * settings gets its instance id as User-Id, any other key is refused.
 */
struct zap;

/*
 * Serve requests of a ZeroMQ context; start before a CURVE socket binds.
 *
 * Errors: MP_ERR_IO, MP_ERR_INVALID (a peer's key is malformed).
 */
int zap_create(struct zap **out, uv_loop_t *loop, void *context,
    const struct settings *settings, struct mp_error *err);

/* Stop serving; done is called on the loop. NULL is allowed. */
void zap_destroy(struct zap *z, void (*done)(void *ctx), void *ctx);

/* Clients refused so far. */
uint64_t zap_get_refused(const struct zap *z);

#endif
