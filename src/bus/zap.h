#ifndef MP_BUS_ZAP_H
#define MP_BUS_ZAP_H

#include <uv.h>

#include "mulberrypath/error.h"
#include "mulberrypath/settings.h"

/*
 * Authentication of CURVE clients by the ZeroMQ Authentication Protocol (ZAP,
 * RFC 27): a key in the settings gets its instance's id as User-Id; any other
 * key is refused.
 */
struct zap;

/*
 * Handle the authentication requests of a ZeroMQ context. Must be created
 * before a CURVE socket of the context binds.
 *
 * out: set also on error, to be released by zap_destroy().
 * Errors: MP_ERR_IO, MP_ERR_INVALID (a peer's key is malformed).
 */
int zap_create(struct zap **out, uv_loop_t *loop, void *context,
    const struct settings *settings, struct mp_error *err);

/*
 * Stop handling requests and free z. done is called from the loop, or at once
 * if z is NULL or was not started.
 */
void zap_destroy(struct zap *z, void (*done)(void *ctx), void *ctx);

/* Return the number of refused connections. */
uint64_t zap_get_refused(const struct zap *z);

#endif
