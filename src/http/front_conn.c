/*
 * A connection of the front: its life, its timeouts and the bytes that are
 * received. It carries one request at a time; front_request.c reads it and
 * front_response.c writes the response.
 */

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "http/front_internal.h"
#include "util/mem.h"

/* Limit of the bytes of pipelined requests queued behind a running one. */
#define PIPELINE_LIMIT_BYTES 65536
/* Timeout for the client to close after the last response was sent. */
#define LINGER_MS 1000u
/*
 * Closes a connection whose sent bytes are not acknowledged, as when a
 * middlebox has dropped its state.
 */
#define TCP_USER_TIMEOUT_MS 15000u

static void on_timer(uv_timer_t *timer);

/* ---- closing ----------------------------------------------------------- */

static void
on_handle_closed(uv_handle_t *handle)
{
	struct front_conn *c = handle->data;
	struct front_server *s = c->server;

	if (--c->open_handles == 0) {
		byte_budget_change(s->budget, c->held_bytes, 0);
		buf_free(&c->input);
		buf_free(&c->body);
		buf_free(&c->head_bytes);
		free(c);
	}
	front_server_release(s);
}

void
front_conn_close(struct front_conn *c)
{
	if (c->phase == FRONT_CLOSING)
		return;
	c->phase = FRONT_CLOSING;
	front_conn_report_backlog(c, false);
	if (c->request != 0)
		(void)map_remove_u64(c->server->requests, c->request);
	c->request = 0;
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	uv_close((uv_handle_t *)&c->timer, on_handle_closed);
	uv_close((uv_handle_t *)&c->tcp, on_handle_closed);
	front_server_conn_closed(c->server);
}

void
front_conn_reset(struct front_conn *c)
{
	if (c->phase == FRONT_CLOSING)
		return;
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	c->phase = FRONT_CLOSING;
	uv_close((uv_handle_t *)&c->timer, on_handle_closed);
	if (uv_tcp_close_reset(&c->tcp, on_handle_closed) != 0)
		uv_close((uv_handle_t *)&c->tcp, on_handle_closed);
}

/* Close the connection and report the disconnect if a request is running. */
void
front_conn_disconnect(struct front_conn *c)
{
	struct front_server *s = c->server;
	uint64_t request = c->request;

	front_conn_close(c);
	if (request != 0)
		s->callbacks.on_disconnect(s->ctx, request);
}

/* A reset tells an incomplete response even if the close delimits it. */
void
front_conn_cut_off(struct front_conn *c)
{
	struct front_server *s = c->server;
	uint64_t request = c->request;

	byte_budget_count_cut(s->budget);
	front_conn_report_backlog(c, false);
	if (request != 0)
		(void)map_remove_u64(s->requests, request);
	c->request = 0;
	front_conn_reset(c);
	front_server_conn_closed(s);
	if (request != 0)
		s->callbacks.on_disconnect(s->ctx, request);
}

static void
on_shutdown(uv_shutdown_t *req, int status)
{
	struct front_conn *c = req->handle->data;

	if (c->phase == FRONT_CLOSING)
		return;
	if (status != 0)
		front_conn_close(c);
	else
		(void)uv_timer_start(&c->timer, on_timer, LINGER_MS, 0);
}

/*
 * Close after all bytes were sent and the client has closed its side. Closing
 * a socket with unread bytes resets the connection, which could lose the
 * response.
 */
void
front_conn_linger(struct front_conn *c)
{
	c->phase = FRONT_LINGERING;
	(void)uv_timer_stop(&c->timer);
	if (uv_shutdown(&c->shutdown, (uv_stream_t *)&c->tcp, on_shutdown) != 0)
		front_conn_close(c);
}

/* ---- timeouts --------------------------------------------------------- */

bool
front_conn_is_idle(const struct front_conn *c)
{
	return c->phase == FRONT_READING_HEAD && c->input.len == 0;
}

/*
 * Start the idle timeout, or the timeout for the rest of a partial request.
 * There is none while a response is due or the connection is closing.
 */
void
front_conn_start_timeout(struct front_conn *c)
{
	const struct node_limits *limits = &c->server->limits;

	if (c->phase == FRONT_CLOSING || c->phase == FRONT_RESPONDING ||
	    c->phase == FRONT_LINGERING || c->input_paused)
		return;
	(void)uv_timer_start(&c->timer, on_timer,
	    front_conn_is_idle(c) ? limits->idle_timeout_ms
				  : limits->header_timeout_ms,
	    0);
}

static void
on_timer(uv_timer_t *timer)
{
	struct front_conn *c = timer->data;

	if (c->phase == FRONT_RESPONDING)
		front_conn_extend_backlog(c);
	else if (front_conn_is_idle(c) && c->queued_bytes > 0)
		front_conn_start_timeout(c); /* it still reads its response */
	else if (front_conn_is_idle(c) || c->phase == FRONT_LINGERING)
		front_conn_close(c);
	else
		front_conn_refuse(c, FRONT_TIMEOUT);
}

void
front_conn_start_extend_timer(struct front_conn *c, uint64_t ms)
{
	(void)uv_timer_start(&c->timer, on_timer, ms, 0);
}

/* ---- reading ----------------------------------------------------------- */

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct front_conn *c = handle->data;

	(void)size;
	*buf = uv_buf_init(c->server->input, FRONT_READ_BYTES);
}

/*
 * A client that closes only its sending side counts as disconnected: HTTP/1.1
 * has no other sign of a client that has disconnected.
 */
static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct front_conn *c = stream->data;

	if (n == 0 || c->phase == FRONT_CLOSING)
		return;
	if (n < 0) {
		front_conn_disconnect(c);
		return;
	}
	if (c->phase == FRONT_LINGERING)
		return;
	buf_append(&c->input, buf->base, (size_t)n);
	if (c->phase == FRONT_RESPONDING || c->input_paused) {
		if (c->input.len > PIPELINE_LIMIT_BYTES)
			front_conn_disconnect(c);
		else
			front_conn_count_held(c);
		return;
	}
	front_conn_process_input(c);
	if (c->input.len == 0)
		front_buffer_reset(&c->input);
	front_conn_count_held(c);
	front_server_keep_budget(c->server);
}

static void
set_socket_options(struct front_conn *c)
{
	static const unsigned timeout_ms = TCP_USER_TIMEOUT_MS;
	int fd;

	(void)uv_tcp_nodelay(&c->tcp, 1);
	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		    sizeof(timeout_ms));
}

/* The connections of a server: each has two handles, the listener has one. */
static size_t
count_conns(const struct front_server *s)
{
	return s->open_handles / 2;
}

void
front_conn_accept(struct front_server *s)
{
	struct front_conn *c = mem_alloc(1, sizeof(*c));

	c->server = s;
	c->open_handles = 2;
	s->open_handles += 2;
	(void)uv_tcp_init(s->loop, &c->tcp);
	(void)uv_timer_init(s->loop, &c->timer);
	c->tcp.data = c;
	c->timer.data = c;
	c->next = s->conns;
	c->link = &s->conns;
	if (c->next != NULL)
		c->next->link = &c->next;
	s->conns = c;
	if (uv_accept((uv_stream_t *)&s->listener, (uv_stream_t *)&c->tcp) !=
		0 ||
	    count_conns(s) > s->connection_limit) {
		front_conn_close(c);
		return;
	}
	set_socket_options(c);
	if (uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read) != 0) {
		front_conn_close(c);
		return;
	}
	front_conn_start_timeout(c);
}
