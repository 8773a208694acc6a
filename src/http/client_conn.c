/*
 * Connections of the client to endpoints, and the pool that keeps them idle for
 * further calls to the same address.
 */

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "http/address.h"
#include "http/client_internal.h"
#include "util/mem.h"

#define POOL_CONNECTIONS_MAX 64 /* of one address */
/*
 * A pooled connection is not reused this long before the peer's idle timeout:
 * the peer could close it while the request is being sent.
 */
#define KEEP_ALIVE_MARGIN_MS 500u

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

/* ---- closing ----------------------------------------------------------- */

static void
on_conn_closed(uv_handle_t *handle)
{
	struct client_conn *conn = handle->data;
	struct http_client *c = conn->client;

	buf_free(&conn->output);
	free(conn->address);
	free(conn);
	client_release(c);
}

static void
conn_close(struct client_conn *conn)
{
	conn->call = NULL;
	if (!uv_is_closing((uv_handle_t *)&conn->tcp))
		uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

/* ---- the pool ---------------------------------------------------------- */

static void
pool_set(struct http_client *c, const char *address, struct client_conn *first)
{
	if (first != NULL)
		(void)map_set_str(c->pools, address, first);
	else
		(void)map_remove_str(c->pools, address);
}

static void
pool_remove(struct client_conn *conn)
{
	struct http_client *c = conn->client;
	struct client_conn *first = map_get_str(c->pools, conn->address);
	struct client_conn **link = &first;

	while (*link != conn)
		link = &(*link)->next;
	*link = conn->next;
	conn->next = NULL;
	conn->idle = false;
	pool_set(c, conn->address, first);
}

static bool
pool_add(struct client_conn *conn)
{
	struct http_client *c = conn->client;
	struct client_conn *first = map_get_str(c->pools, conn->address);
	struct client_conn *other;
	size_t n = 0;

	for (other = first; other != NULL; other = other->next)
		n++;
	if (n >= POOL_CONNECTIONS_MAX)
		return false;
	conn->next = first;
	conn->idle = conn->is_kept = true;
	conn->idle_since_ms = uv_now(c->loop);
	pool_set(c, conn->address, conn);
	return true;
}

/* Return whether the peer has not closed the connection nor sent any byte. */
static bool
conn_is_open_and_silent(const struct client_conn *conn)
{
	char byte;
	int fd;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) != 0)
		return false;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == -1 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Return whether its idle time is below the call's and the peer's limit. */
static bool
conn_is_within_idle_limits(const struct client_conn *conn, uint32_t limit_ms)
{
	uint64_t idle_ms = uv_now(conn->client->loop) - conn->idle_since_ms;

	if (limit_ms != 0 && idle_ms >= limit_ms)
		return false;
	return conn->keep_alive_ms == 0 ||
	    idle_ms + KEEP_ALIVE_MARGIN_MS < (uint64_t)conn->keep_alive_ms;
}

/* Take the newest usable idle connection; close those that are not usable. */
static struct client_conn *
pool_take(struct http_client *c, const char *address, uint32_t limit_ms)
{
	struct client_conn *conn;

	while ((conn = map_get_str(c->pools, address)) != NULL) {
		pool_remove(conn);
		if (conn_is_within_idle_limits(conn, limit_ms) &&
		    conn_is_open_and_silent(conn))
			return conn;
		conn_close(conn);
	}
	return NULL;
}

void
conn_close_idle(struct http_client *c, uint64_t before_ms)
{
	struct client_conn *conn, *next;
	size_t i = map_count(c->pools);

	while (i-- > 0)
		for (conn = map_at(c->pools, i); conn != NULL; conn = next) {
			next = conn->next;
			if (conn->idle_since_ms > before_ms)
				continue;
			pool_remove(conn);
			conn_close(conn);
		}
}

/* ---- opening ----------------------------------------------------------- */

static void
on_connect(uv_connect_t *req, int status)
{
	struct client_conn *conn = req->data;

	if (conn->call == NULL)
		return; /* the call ended and the connection is being closed */
	if (status != 0) {
		call_fail(conn->call, uv_strerror(status));
		return;
	}
	conn->connected = true;
	(void)uv_tcp_nodelay(&conn->tcp, 1);
	conn_set_reading(conn, true);
	call_on_connected(conn->call);
}

static struct client_conn *
conn_open(struct call *call, const struct sockaddr_in *sin, const char **reason)
{
	struct client_conn *conn = mem_alloc(1, sizeof(*conn));
	struct http_client *c = call->client;
	int rc;

	conn->client = c;
	conn->address = mem_string(call->address);
	(void)uv_tcp_init(c->loop, &conn->tcp);
	c->open_handles++;
	conn->tcp.data = conn;
	conn->connect.data = conn;
	conn->write.data = conn;
	rc = uv_tcp_connect(&conn->connect, &conn->tcp,
	    (const struct sockaddr *)sin, on_connect);
	if (rc != 0) {
		*reason = uv_strerror(rc);
		conn_close(conn);
		return NULL;
	}
	conn->call = call;
	return conn;
}

struct client_conn *
conn_acquire(struct call *call, const char **reason)
{
	struct client_conn *conn = NULL;
	struct sockaddr_in sin;

	if (address_parse(&sin, call->address) != MP_OK) {
		*reason = "not an address";
		return NULL;
	}
	if (!call->fresh_connection)
		conn =
		    pool_take(call->client, call->address, call->idle_limit_ms);
	if (conn == NULL)
		return conn_open(call, &sin, reason);
	conn->call = call;
	return conn;
}

/* ---- transfer ---------------------------------------------------------- */

void
conn_set_reading(struct client_conn *conn, bool reading)
{
	uv_stream_t *stream = (uv_stream_t *)&conn->tcp;

	if (conn->reading == reading)
		return;
	conn->reading = reading;
	if (reading)
		(void)uv_read_start(stream, on_alloc, on_read);
	else
		(void)uv_read_stop(stream);
}

/* Reads no more at once than one reader may have in its queue. */
static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct client_conn *conn = handle->data;
	size_t window = byte_budget_window(conn->client->budget);

	(void)size;
	*buf = uv_buf_init(conn->client->input,
	    window < CLIENT_READ_BYTES ? (unsigned)window : CLIENT_READ_BYTES);
}

/*
 * Return whether the peer closed its side without a reset. libuv also reports
 * UV_EOF when the connection was reset while received bytes were unread.
 */
static bool
conn_is_closed_by_fin(const struct client_conn *conn)
{
	char byte;
	int fd;

	return uv_fileno((const uv_handle_t *)&conn->tcp, &fd) == 0 &&
	    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Fail a call whose connection failed with a libuv error. */
static void
call_fail_io(struct call *call, int error)
{
	if (error == UV_EOF || error == UV_ECONNRESET || error == UV_EPIPE)
		call_fail_closed(call, uv_strerror(error));
	else
		call_fail(call, uv_strerror(error));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct client_conn *conn = stream->data;

	if (n == 0)
		return;
	if (conn->call != NULL && n > 0)
		call_receive(conn->call, buf->base, (size_t)n);
	else if (conn->call != NULL && n == UV_EOF &&
	    conn_is_closed_by_fin(conn))
		call_on_peer_closed(conn->call);
	else if (conn->call != NULL)
		call_fail_io(conn->call, (int)n);
	else if (conn->idle) { /* closed, or bytes without a request */
		pool_remove(conn);
		conn_close(conn);
	}
}

static void
on_written(uv_write_t *req, int status)
{
	struct client_conn *conn = req->data;

	conn->writing = false;
	buf_free(&conn->output);
	if (status != 0 && conn->call != NULL)
		call_fail_io(conn->call, status);
}

void
conn_send(struct client_conn *conn, struct buf *request)
{
	struct buf swap = conn->output;
	uv_buf_t b;

	conn->output = *request;
	*request = swap;
	b = uv_buf_init(conn->output.data, (unsigned)conn->output.len);
	conn->writing = true;
	if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &b, 1,
		on_written) != 0)
		call_fail(conn->call, "cannot write");
}

void
conn_release(struct client_conn *conn, bool reusable)
{
	conn->call = NULL;
	if (!reusable || conn->writing || !pool_add(conn))
		conn_close(conn);
	else
		conn_set_reading(conn, true);
}
