/* The front: listener, limits, draining and shutdown. */

#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>

#include "http/address.h"
#include "http/front_internal.h"
#include "util/mem.h"

#define FRONT_BACKLOG 1024

static void
on_connection(uv_stream_t *listener, int status)
{
	if (status == 0)
		front_conn_accept(listener->data);
}

static int
front_listen(struct front_server *s, const char *address, struct mp_error *err)
{
	struct sockaddr_in sin;
	int rc, len = sizeof(sin);

	if (address_parse(&sin, address) != MP_OK)
		return mp_error_set(err, MP_LAYER_HTTP, MP_ERR_IO,
		    "not an address: %s", address);
	rc = uv_tcp_bind(&s->listener, (struct sockaddr *)&sin, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&s->listener, FRONT_BACKLOG, on_connection);
	if (rc == 0)
		rc = uv_tcp_getsockname(
		    &s->listener, (struct sockaddr *)&sin, &len);
	if (rc != 0)
		return mp_error_set(err, MP_LAYER_HTTP, MP_ERR_IO,
		    "cannot listen on %s: %s", address, uv_strerror(rc));
	s->port = ntohs(sin.sin_port);
	return MP_OK;
}

/*
 * The part of the budget that a body may take. A body of twice that would not
 * be accepted even if next to nothing else was buffered.
 */
#define BODY_BUDGET_DIVISOR 4

/* Keep the limit of bodies to what the budget can ever admit. */
static void
bound_body_limit(struct front_server *s)
{
	uint64_t budget_bytes = byte_budget_get_stats(s->budget).limit_bytes;
	uint64_t max_bytes =
	    budget_bytes / BODY_BUDGET_DIVISOR / FRONT_BODY_COPIES;

	if (s->budget != NULL && s->limits.body_bytes > max_bytes)
		s->limits.body_bytes = (uint32_t)max_bytes;
}

int
front_server_create(struct front_server **out, uv_loop_t *loop,
    const struct front_options *options,
    const struct http_server_callbacks *callbacks, void *ctx,
    struct mp_error *err)
{
	struct front_server *s = mem_alloc(1, sizeof(*s));
	int rc;

	*out = NULL;
	(void)signal(SIGPIPE, SIG_IGN);
	s->loop = loop;
	s->callbacks = *callbacks;
	s->ctx = ctx;
	s->listener_kind = options->listener;
	s->connection_limit = options->connection_limit;
	s->default_limits = s->limits = options->limits;
	s->budget = options->budget;
	bound_body_limit(s);
	s->last_request = options->first_request_id;
	s->requests = map_create();
	s->open_handles = 1;
	(void)uv_tcp_init(loop, &s->listener);
	s->listener.data = s;
	rc = front_listen(s, options->listen, err);
	if (rc != MP_OK) {
		front_server_destroy(s, NULL, NULL);
		return rc;
	}
	*out = s;
	return MP_OK;
}

int
front_server_get_port(const struct front_server *s)
{
	return s->port;
}

static uint32_t
limit_or_default(uint32_t limit, uint32_t default_limit)
{
	return limit != 0 ? limit : default_limit;
}

void
front_server_set_limits(
    struct front_server *s, const struct node_limits *limits)
{
	const struct node_limits *d = &s->default_limits;

	s->limits.header_bytes =
	    limit_or_default(limits->header_bytes, d->header_bytes);
	s->limits.body_bytes =
	    limit_or_default(limits->body_bytes, d->body_bytes);
	s->limits.header_timeout_ms =
	    limit_or_default(limits->header_timeout_ms, d->header_timeout_ms);
	s->limits.idle_timeout_ms =
	    limit_or_default(limits->idle_timeout_ms, d->idle_timeout_ms);
	bound_body_limit(s);
}

void
front_server_keep_budget(struct front_server *s)
{
	struct front_conn *c, *largest = NULL;

	if (!byte_budget_is_exceeded(s->budget))
		return;
	for (c = s->conns; c != NULL; c = c->next)
		if (largest == NULL || c->held_bytes > largest->held_bytes)
			largest = c;
	if (largest == NULL || largest->held_bytes <= BYTE_BUDGET_WINDOW_MIN)
		return; /* others hold the bytes */
	front_conn_cut_off(largest);
}

bool
front_server_reply(struct front_server *s, const struct node_reply *reply)
{
	struct front_conn *c = map_get_u64(s->requests, reply->request);

	if (c != NULL)
		front_conn_reply(c, reply);
	return c != NULL;
}

void
front_server_send(
    struct front_server *s, uint64_t request, struct node_bytes data)
{
	struct front_conn *c = map_get_u64(s->requests, request);

	if (c != NULL)
		front_conn_send(c, data);
}

void
front_server_end(struct front_server *s, uint64_t request, bool aborted)
{
	struct front_conn *c = map_get_u64(s->requests, request);

	if (c != NULL)
		front_conn_end(c, aborted);
}

/*
 * An idle connection stays open until the client's next request, whose
 * response carries "Connection: close". Closing it now could lose a request
 * that the client is sending at the same time.
 */
void
front_server_drain(struct front_server *s)
{
	s->draining = true;
}

static void
on_listener_closed(uv_handle_t *handle)
{
	front_server_release(handle->data);
}

void
front_server_close_listener(struct front_server *s)
{
	struct front_conn *c, *next;

	if (s->listener_closed)
		return;
	s->listener_closed = true;
	uv_close((uv_handle_t *)&s->listener, on_listener_closed);
	for (c = s->conns; c != NULL; c = next) {
		next = c->next;
		if (front_conn_is_idle(c))
			front_conn_close(c);
	}
}

void
front_server_release(struct front_server *s)
{
	void (*done)(void *ctx) = s->done;
	void *done_ctx = s->done_ctx;

	if (--s->open_handles > 0 || !s->destroyed)
		return;
	map_destroy(s->requests);
	free(s);
	if (done != NULL)
		done(done_ctx);
}

/* Time to write complete responses to their clients before the exit. */
#define FLUSH_MS 400u

static void
on_flush_timer_closed(uv_handle_t *handle)
{
	struct front_server *s = handle->data;

	free(handle);
	front_server_release(s);
}

void
front_server_conn_closed(struct front_server *s)
{
	if (s->flush_timer == NULL || s->conns != NULL)
		return;
	uv_close((uv_handle_t *)s->flush_timer, on_flush_timer_closed);
	s->flush_timer = NULL;
}

static void
on_flush_timeout(uv_timer_t *timer)
{
	struct front_server *s = timer->data;

	while (s->conns != NULL)
		front_conn_close(s->conns);
}

void
front_server_destroy(struct front_server *s, void (*done)(void *ctx), void *ctx)
{
	struct front_conn *c, *next;

	/* Closing this handle ensures that done is called from the loop. */
	s->flush_timer = mem_alloc(1, sizeof(*s->flush_timer));
	(void)uv_timer_init(s->loop, s->flush_timer);
	(void)uv_timer_start(s->flush_timer, on_flush_timeout, FLUSH_MS, 0);
	s->flush_timer->data = s;
	s->open_handles++;
	s->destroyed = true;
	s->done = done;
	s->done_ctx = ctx;
	front_server_close_listener(s);
	for (c = s->conns; c != NULL; c = next) {
		next = c->next;
		if (c->phase != FRONT_LINGERING)
			front_conn_close(c);
	}
	front_server_conn_closed(s);
}
