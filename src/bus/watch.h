#ifndef MP_BUS_WATCH_H
#define MP_BUS_WATCH_H

#include <stdbool.h>
#include <uv.h>

#include "mulberrypath/error.h"

/*
 * A ZeroMQ socket watched on the loop. Its descriptor is edge-triggered, so
 * the socket is read until it is empty; after a bounded number of messages
 * the rest waits for the next turn of the loop.
 */
struct watch {
	uv_poll_t poll;
	uv_idle_t drain_idle; /* runs while messages are left over */
	void *socket;
	void (*on_message)(void *ctx); /* receives exactly one message */
	void *ctx;
	unsigned int open_handles;
	bool closing;
	void (*on_closed)(void *ctx);
	void *closed_ctx;
};

/* Errors: MP_ERR_IO. The watch must be closed even after a failure. */
int watch_start(struct watch *w, uv_loop_t *loop, void *socket,
    void (*on_message)(void *ctx), void *ctx, struct mp_error *err);

/* Stop at once; on_closed comes on the loop. The socket stays open. */
void watch_close(struct watch *w, void (*on_closed)(void *ctx), void *ctx);

#endif
