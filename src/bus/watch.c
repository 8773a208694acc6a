/* A ZeroMQ socket on the loop, see watch.h. */

#include <zmq.h>

#include "bus/watch.h"

#define MESSAGES_PER_ITERATION 256

/* Return whether the socket has a message; false while closing. */
static bool
watch_is_readable(const struct watch *w)
{
	int events = 0;
	size_t size = sizeof(events);

	if (w->closing ||
	    zmq_getsockopt(w->socket, ZMQ_EVENTS, &events, &size) != 0)
		return false;
	return (events & ZMQ_POLLIN) != 0;
}

static void on_drain_idle(uv_idle_t *idle);

/* Receive messages up to the limit; the idle handle receives the rest. */
static void
watch_drain(struct watch *w)
{
	int left = MESSAGES_PER_ITERATION;

	while (left-- > 0 && watch_is_readable(w))
		w->on_message(w->ctx);
	if (w->closing)
		return;
	if (watch_is_readable(w))
		(void)uv_idle_start(&w->drain_idle, on_drain_idle);
	else
		(void)uv_idle_stop(&w->drain_idle);
}

static void
on_drain_idle(uv_idle_t *idle)
{
	watch_drain(idle->data);
}

static void
on_poll(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	watch_drain(poll->data);
}

int
watch_start(struct watch *w, uv_loop_t *loop, void *socket,
    void (*on_message)(void *ctx), void *ctx, struct mp_error *err)
{
	int fd = -1;
	size_t size = sizeof(fd);

	w->socket = socket;
	w->on_message = on_message;
	w->ctx = ctx;
	if (zmq_getsockopt(socket, ZMQ_FD, &fd, &size) != 0 ||
	    uv_poll_init(loop, &w->poll, fd) != 0)
		return mp_error_set(err, MP_LAYER_BUS, MP_ERR_IO,
		    "cannot poll a ZeroMQ socket: %s",
		    zmq_strerror(zmq_errno()));
	(void)uv_idle_init(loop, &w->drain_idle);
	w->open_handles = 2;
	w->poll.data = w;
	w->drain_idle.data = w;
	(void)uv_poll_start(&w->poll, UV_READABLE, on_poll);
	/* Messages received before the watch started trigger no edge. */
	(void)uv_idle_start(&w->drain_idle, on_drain_idle);
	return MP_OK;
}

static void
on_handle_closed(uv_handle_t *handle)
{
	struct watch *w = handle->data;

	if (--w->open_handles == 0)
		w->on_closed(w->closed_ctx);
}

void
watch_close(struct watch *w, void (*on_closed)(void *ctx), void *ctx)
{
	w->closing = true;
	w->on_closed = on_closed;
	w->closed_ctx = ctx;
	if (w->open_handles == 0) {
		on_closed(ctx);
		return;
	}
	uv_close((uv_handle_t *)&w->poll, on_handle_closed);
	uv_close((uv_handle_t *)&w->drain_idle, on_handle_closed);
}
