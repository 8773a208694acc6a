#ifndef MP_BUS_WATCH_H
#define MP_BUS_WATCH_H

#include <stdbool.h>
#include <uv.h>

#include "mulberrypath/error.h"

/*
 * Watches a ZeroMQ socket for messages on the loop. The descriptor of such a
 * socket is edge-triggered, so the socket is read until it is empty. After a
 * limited number of messages the rest is left to the next iteration of the
 * loop, so that other handles are served.
 */
struct watch {
	uv_poll_t poll;
	uv_idle_t drain_idle; /* active while messages are left to read */
	void *socket;
	void (*on_message)(void *ctx); /* must receive exactly one message */
	void *ctx;
	unsigned int open_handles;
	bool closing;
	void (*on_closed)(void *ctx);
	void *closed_ctx;
};

/*
 * Start watching. w must be zeroed; it must be closed even after an error.
 *
 * Errors: MP_ERR_IO.
 */
int watch_start(struct watch *w, uv_loop_t *loop, void *socket,
    void (*on_message)(void *ctx), void *ctx, struct mp_error *err);

/*
 * Stop watching: on_message is not called again. on_closed is called from the
 * loop, or at once if the watch was not started. The socket stays open.
 */
void watch_close(struct watch *w, void (*on_closed)(void *ctx), void *ctx);

#endif
