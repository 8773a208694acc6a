/*
 * A connection of the API server: accepting or refusing it, detecting the
 * client's disconnect, and closing it.
 */

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/server_internal.h"
#include "util/mem.h"

#define KEEPALIVE_IDLE_S  15 /* idle time before the first TCP probe */
#define REFUSAL_MAX_BYTES 512

#define REFUSAL_BODY                                                           \
	"{\"error\": {\"code\": \"too-many-connections\", "                    \
	"\"message\": \"Service Unavailable\", \"outcome\": \"not-run\"}}"

static void
connection_release(struct connection *c)
{
	if (--c->open_handles == 0)
		free(c);
}

static void
on_hangup_closed(uv_handle_t *handle)
{
	struct connection *c = handle->data;

	(void)close(c->hangup_fd);
	connection_release(c);
}

/* h2o uses the handle's data pointer; the handle is the first member. */
static void
on_tcp_closed(uv_handle_t *handle)
{
	connection_release((struct connection *)handle);
}

/* h2o is about to close the socket. */
static void
on_socket_close(void *data)
{
	struct connection *c = data;
	struct http_server *s = c->server;

	c->socket = NULL;
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	if (c->hangup_fd != -1)
		uv_close((uv_handle_t *)&c->hangup, on_hangup_closed);
	s->nconnections--;
	if (s->phase == SERVER_DRAINING)
		server_defer(s);
}

static void
on_hangup(uv_poll_t *poll, int status, int events)
{
	struct connection *c = poll->data;

	if (status == 0 && (events & UV_DISCONNECT) == 0)
		return;
	(void)uv_poll_stop(poll);
	if (c->active != NULL) {
		server_report_disconnect(c->server, c->active);
		exchange_abort(c->active);
	}
}

/*
 * h2o does not read from an HTTP/1 connection while a request runs on it, so
 * a disconnect would be detected only by the next write. A duplicate of the
 * socket's descriptor, polled for UV_DISCONNECT only, detects it at once.
 */
static void
connection_watch_hangup(struct connection *c)
{
	int fd;

	c->hangup_fd = -1;
	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) != 0 || (fd = dup(fd)) == -1)
		return;
	if (uv_poll_init(c->server->loop, &c->hangup, fd) != 0) {
		(void)close(fd);
		return;
	}
	c->hangup.data = c;
	c->hangup_fd = fd;
	c->open_handles++;
	(void)uv_poll_start(&c->hangup, UV_DISCONNECT, on_hangup);
}

/*
 * Detect connections that the network has lost, as when a middlebox has dropped
 * its state: by TCP keep-alive when idle and by TCP_USER_TIMEOUT while sending.
 */
static void
connection_set_timeouts(struct connection *c)
{
	static const int interval_s = 5, count = 3;
	static const unsigned user_timeout_ms = 30000;
	int fd;

	(void)uv_tcp_nodelay(&c->tcp, 1);
	(void)uv_tcp_keepalive(&c->tcp, 1, KEEPALIVE_IDLE_S);
	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) != 0)
		return;
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
	    sizeof(user_timeout_ms));
}

/* Respond with status 503 unless the client expects TLS, then close. */
static void
connection_refuse(struct connection *c)
{
	struct http_server *s = c->server;
	char text[REFUSAL_MAX_BYTES];
	uv_buf_t b;
	int len;

	if (s->accept.ssl_ctx == NULL) {
		len = snprintf(text, sizeof(text),
		    "HTTP/1.1 503 Service Unavailable\r\n"
		    "Connection: close\r\n"
		    "Retry-After: 1\r\n"
		    "Mulberrypath-Outcome: not-run\r\n"
		    "Content-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n%s",
		    sizeof(REFUSAL_BODY) - 1, REFUSAL_BODY);
		b = uv_buf_init(text, (unsigned)len);
		(void)uv_try_write((uv_stream_t *)&c->tcp, &b, 1);
	}
	uv_close((uv_handle_t *)&c->tcp, on_tcp_closed);
}

void
connection_accept(struct http_server *s, uv_stream_t *listener)
{
	struct connection *c = mem_alloc(1, sizeof(*c));

	c->server = s;
	c->open_handles = 1;
	if (uv_tcp_init(s->loop, &c->tcp) != 0) {
		free(c);
		return;
	}
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0 ||
	    s->nconnections >= s->connection_limit) {
		connection_refuse(c);
		return;
	}
	connection_set_timeouts(c);
	connection_watch_hangup(c);
	c->socket = h2o_uv_socket_create((uv_stream_t *)&c->tcp, on_tcp_closed);
	c->socket->on_close.cb = on_socket_close;
	c->socket->on_close.data = c;
	c->next = s->connections;
	c->link = &s->connections;
	if (c->next != NULL)
		c->next->link = &c->next;
	s->connections = c;
	s->nconnections++;
	h2o_accept(&s->accept, c->socket);
}

void
connection_close_if_idle(struct connection *c)
{
	if (c->nexchanges > 0 || c->socket->input->size > 0)
		return;
	if (c->hangup_fd != -1)
		(void)uv_poll_stop(&c->hangup);
	(void)shutdown(h2o_socket_get_fd(c->socket), SHUT_RD);
}
