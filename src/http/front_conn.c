/*
 * A connection of the front: reads one request at a time, presents it, writes
 * the response and continues with the next request.
 */

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "http/front_internal.h"
#include "http/status.h"
#include "util/mem.h"

/*
 * Limit of the bytes queued for a client that does not read, although its
 * backlog was reported. A client over the limit is disconnected.
 */
#define QUEUE_LIMIT_BYTES (2 * BYTE_BUDGET_WINDOW_MAX)
/* Bodies up to this size are accepted whatever else is buffered. */
#define SMALL_BODY_BYTES 8192u
/* A buffer of a kept connection that has grown beyond this is freed. */
#define KEPT_BUFFER_BYTES 16384u
/* Sent with a refusal for want of memory. */
#define OVERLOADED_RETRY_AFTER "Retry-After: 1\r\n"
/* Limit of the bytes of pipelined requests queued behind a running one. */
#define PIPELINE_LIMIT_BYTES 65536
/* Timeout for the client to close after the last response was sent. */
#define LINGER_MS 1000u
/*
 * Closes a connection whose sent bytes are not acknowledged, as when a
 * middlebox has dropped its state.
 */
#define TCP_USER_TIMEOUT_MS 15000u

static void conn_process_input(struct front_conn *c);
static void on_timer(uv_timer_t *timer);

/* ---- what is buffered -------------------------------------------------- */

/* Count what the connection buffers, after each change of it. */
static void
conn_count_held(struct front_conn *c)
{
	uint64_t held = c->input.len + c->queued_bytes + c->request_bytes;

	byte_budget_change(c->server->budget, c->held_bytes, held);
	c->held_bytes = held;
}

/* Reserve the memory for a body of a request; false: there is too little. */
static bool
conn_reserve_body(struct front_conn *c, uint64_t body_bytes)
{
	uint64_t bytes = body_bytes * FRONT_BODY_COPIES;

	if (bytes <= c->request_bytes)
		return true;
	if (body_bytes > SMALL_BODY_BYTES &&
	    !byte_budget_admits(c->server->budget, bytes - c->request_bytes)) {
		byte_budget_count_refusal(c->server->budget);
		return false;
	}
	c->request_bytes = bytes;
	conn_count_held(c);
	return true;
}

/* Empty a buffer, and keep only little memory for its next use. */
static void
buffer_reset(struct buf *b)
{
	if (b->cap > KEPT_BUFFER_BYTES)
		buf_free(b);
	else
		buf_clear(b);
}

static void
conn_report_backlog(struct front_conn *c, bool is_long)
{
	struct front_server *s = c->server;
	uint64_t request = is_long ? c->request : c->backlog_request;

	if (s->callbacks.on_backlog == NULL || request == 0 ||
	    is_long == (c->backlog_request != 0))
		return;
	c->backlog_request = is_long ? request : 0;
	if (is_long)
		byte_budget_count_pause(s->budget);
	s->callbacks.on_backlog(s->ctx, request, is_long);
}

/* Compare what is queued for the client with what may be. */
static void
conn_check_backlog(struct front_conn *c)
{
	size_t window = byte_budget_window(c->server->budget);

	if (c->queued_bytes > window)
		conn_report_backlog(c, true);
	else if (c->queued_bytes <= window / 2)
		conn_report_backlog(c, false);
}

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
	conn_report_backlog(c, false);
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

/* Close the connection and report the disconnect if a request is running. */
static void
conn_disconnected(struct front_conn *c)
{
	struct front_server *s = c->server;
	uint64_t request = c->request;

	front_conn_close(c);
	if (request != 0)
		s->callbacks.on_disconnect(s->ctx, request);
}

void
front_conn_cut(struct front_conn *c)
{
	conn_disconnected(c);
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
static void
conn_linger(struct front_conn *c)
{
	c->phase = FRONT_LINGERING;
	(void)uv_timer_stop(&c->timer);
	if (uv_shutdown(&c->shutdown, (uv_stream_t *)&c->tcp, on_shutdown) != 0)
		front_conn_close(c);
}

/* ---- writing ----------------------------------------------------------- */

struct front_write {
	uv_write_t req;
	struct front_conn *conn;
	size_t len;
	char data[];
};

static void conn_resume_input(struct front_conn *c);

static void
on_written(uv_write_t *req, int status)
{
	struct front_write *w = (struct front_write *)(void *)req;
	struct front_conn *c = w->conn;

	c->queued_bytes -= w->len;
	free(w);
	conn_count_held(c);
	if (c->phase == FRONT_CLOSING)
		return;
	if (status != 0) {
		conn_disconnected(c);
		return;
	}
	conn_check_backlog(c);
	conn_resume_input(c);
}

static void
conn_write(struct front_conn *c, const char *data, size_t len)
{
	uv_buf_t b = uv_buf_init((char *)data, (unsigned)len);
	struct front_write *w;
	int n = 0;

	if (len == 0 || c->phase == FRONT_CLOSING)
		return;
	if (c->queued_bytes == 0)
		n = uv_try_write((uv_stream_t *)&c->tcp, &b, 1);
	if (n < 0)
		n = 0; /* the queued write reports the error */
	if ((size_t)n == len)
		return;
	len -= (size_t)n;
	w = mem_alloc(1, sizeof(*w) + len);
	w->conn = c;
	w->len = len;
	memcpy(w->data, data + n, len);
	c->queued_bytes += len;
	b = uv_buf_init(w->data, (unsigned)len);
	if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &b, 1, on_written) != 0) {
		c->queued_bytes -= len;
		free(w);
	}
	conn_count_held(c);
}

/* ---- responses --------------------------------------------------------- */

bool
front_conn_is_idle(const struct front_conn *c)
{
	return c->phase == FRONT_READING_HEAD && c->input.len == 0;
}

/*
 * Start the idle timeout, or the timeout for the rest of a partial request.
 * There is none while a response is due or the connection is closing.
 */
static void
conn_start_timeout(struct front_conn *c)
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

/* The response is complete: read the next request or close. */
static void
conn_finish_request(struct front_conn *c)
{
	conn_report_backlog(c, false);
	(void)map_remove_u64(c->server->requests, c->request);
	c->request = 0;
	c->head_sent = false;
	c->request_bytes = 0;
	conn_count_held(c);
	buffer_reset(&c->body);
	buffer_reset(&c->head_bytes);
	if (!c->keep_alive) {
		conn_linger(c);
		return;
	}
	c->phase = FRONT_READING_HEAD;
	c->input_paused =
	    c->queued_bytes > byte_budget_window(c->server->budget);
	if (!c->input_paused)
		conn_process_input(c);
}

/* Read the next request once the client has read enough of its responses. */
static void
conn_resume_input(struct front_conn *c)
{
	if (!c->input_paused ||
	    c->queued_bytes > byte_budget_window(c->server->budget) / 2)
		return;
	c->input_paused = false;
	conn_process_input(c);
}

static void
append_headers(struct buf *out, const struct node_header *headers, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		buf_puts(out, headers[i].name);
		buf_puts(out, ": ");
		buf_puts(out, headers[i].value);
		buf_puts(out, "\r\n");
	}
}

static bool
status_has_body(int status)
{
	return status >= 200 && status != 204 && status != 304;
}

void
front_conn_reply(struct front_conn *c, const struct node_reply *reply)
{
	struct buf out = {0};
	bool sized = !reply->more || reply->has_length;
	struct front_server *s = c->server;
	uint64_t length = reply->more ? reply->length : reply->body.len;

	if (c->head_sent || c->phase != FRONT_RESPONDING)
		return;
	c->head_sent = true;
	c->keep_alive = c->keep_alive && !c->server->draining;
	if (!sized && c->head.minor_version == 0)
		c->keep_alive = false;
	c->chunked_response = !sized && c->head.minor_version >= 1;
	c->no_body = c->no_body || !status_has_body(reply->status);
	buf_printf(&out, "HTTP/1.1 %d %s\r\n", reply->status,
	    http_status_reason(reply->status));
	if (reply->content_type != NULL)
		buf_printf(&out, "Content-Type: %s\r\n", reply->content_type);
	append_headers(&out, reply->headers, reply->nheaders);
	append_headers(&out, reply->extra_headers, reply->nextra_headers);
	if (sized && status_has_body(reply->status))
		buf_printf(&out, "Content-Length: %llu\r\n",
		    (unsigned long long)length);
	else if (c->chunked_response && !c->no_body)
		buf_puts(&out, "Transfer-Encoding: chunked\r\n");
	if (!c->keep_alive)
		buf_puts(&out, "Connection: close\r\n");
	buf_puts(&out, "\r\n");
	if (!reply->more && !c->no_body)
		buf_append(&out, reply->body.data, reply->body.len);
	conn_write(c, out.data, out.len);
	buf_free(&out);
	if (c->phase == FRONT_CLOSING)
		return;
	if (reply->more)
		front_conn_send(c, reply->body);
	else
		conn_finish_request(c);
	front_server_keep_budget(s);
}

void
front_conn_send(struct front_conn *c, struct node_bytes data)
{
	struct buf out = {0};

	if (!c->head_sent || c->no_body || data.len == 0)
		return;
	if (c->queued_bytes + data.len > QUEUE_LIMIT_BYTES) {
		byte_budget_count_cut(c->server->budget);
		conn_disconnected(c);
		return;
	}
	if (c->chunked_response) {
		buf_printf(&out, "%zx\r\n", data.len);
		buf_append(&out, data.data, data.len);
		buf_puts(&out, "\r\n");
		conn_write(c, out.data, out.len);
		buf_free(&out);
	} else {
		conn_write(c, data.data, data.len);
	}
	conn_check_backlog(c);
	front_server_keep_budget(c->server);
}

void
front_conn_end(struct front_conn *c, bool aborted)
{
	if (aborted || !c->head_sent) {
		/*
		 * A reset marks the response as incomplete even if it is
		 * delimited by the close of the connection.
		 */
		conn_report_backlog(c, false);
		(void)map_remove_u64(c->server->requests, c->request);
		c->request = 0;
		if (c->phase != FRONT_CLOSING) {
			*c->link = c->next;
			if (c->next != NULL)
				c->next->link = c->link;
			c->phase = FRONT_CLOSING;
			uv_close((uv_handle_t *)&c->timer, on_handle_closed);
			if (uv_tcp_close_reset(&c->tcp, on_handle_closed) != 0)
				uv_close(
				    (uv_handle_t *)&c->tcp, on_handle_closed);
		}
		return;
	}
	if (c->chunked_response && !c->no_body)
		conn_write(c, "0\r\n\r\n", 5);
	if (c->phase != FRONT_CLOSING)
		conn_finish_request(c);
}

/* Refuse a request that cannot be accepted and close the connection. */
static void
conn_refuse(struct front_conn *c, enum front_fault fault)
{
	char text[160];
	int n = snprintf(text, sizeof(text),
	    "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: "
	    "close\r\n\r\n",
	    (int)fault, http_status_reason((int)fault),
	    fault == FRONT_OVERLOADED ? OVERLOADED_RETRY_AFTER : "");

	c->request_bytes = 0;
	buf_free(&c->body);
	buf_free(&c->input);
	conn_count_held(c);
	conn_write(c, text, (size_t)n);
	if (c->phase == FRONT_CLOSING)
		return;
	conn_linger(c);
}

/* ---- requests ---------------------------------------------------------- */

/* Zero-terminate the strings of the head and call on_request. */
static void
conn_present(struct front_conn *c)
{
	struct front_server *s = c->server;
	struct front_head *h = &c->head;
	struct node_header headers[FRONT_HEADERS_MAX];
	struct node_request r;
	size_t i;

	memset(&r, 0, sizeof(r));
	for (i = 0; i < h->nheaders; i++) {
		((char *)h->headers[i].name)[h->headers[i].name_len] = '\0';
		((char *)h->headers[i].value)[h->headers[i].value_len] = '\0';
		headers[i].name = h->headers[i].name;
		headers[i].value = h->headers[i].value;
	}
	((char *)h->method)[h->method_len] = '\0';
	((char *)h->path)[h->path_len] = '\0';
	r.request = c->request = ++s->last_request;
	r.listener = s->listener_kind;
	r.method = h->method;
	r.path = h->path;
	r.headers = headers;
	r.nheaders = h->nheaders;
	r.body.data = c->body.data;
	r.body.len = c->body.len;
	c->no_body = strcmp(h->method, "HEAD") == 0;
	c->keep_alive = h->keep_alive;
	c->phase = FRONT_RESPONDING;
	(void)uv_timer_stop(&c->timer);
	(void)map_set_u64(s->requests, c->request, c);
	s->callbacks.on_request(s->ctx, &r);
	if (c->request == r.request)
		buffer_reset(&c->body); /* the receiver has copied it */
}

/* Parse a head from the input; true when it is complete and valid. */
static bool
read_head(struct front_conn *c)
{
	enum front_fault fault;

	while (c->input.len > 0 &&
	    (c->input.data[0] == '\r' || c->input.data[0] == '\n'))
		buf_consume(&c->input, 1);
	if (c->input.len == 0)
		return false;
	fault = front_parse_head(
	    &c->head, c->input.data, c->input.len, &c->server->limits);
	if (fault == FRONT_INCOMPLETE)
		return false;
	if (fault != FRONT_OK) {
		conn_refuse(c, fault);
		return false;
	}
	/*
	 * Parse again from a copy: the request's strings point into it and
	 * the head is removed from the input.
	 */
	buf_clear(&c->head_bytes);
	buf_append(&c->head_bytes, c->input.data, c->head.size_bytes);
	(void)front_parse_head(&c->head, c->head_bytes.data, c->head_bytes.len,
	    &c->server->limits);
	buf_consume(&c->input, c->head.size_bytes);
	if (!conn_reserve_body(c, c->head.content_length)) {
		conn_refuse(c, FRONT_OVERLOADED);
		return false;
	}
	c->body_left_bytes = c->head.content_length;
	memset(&c->chunk_decoder, 0, sizeof(c->chunk_decoder));
	c->chunk_decoder.consume_trailer = 1;
	c->phase = FRONT_READING_BODY;
	if (c->head.expects_continue && c->input.len == 0)
		conn_write(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	return c->phase == FRONT_READING_BODY;
}

/* Decode bytes of a chunked body; true when it is complete. */
static bool
read_chunks(struct front_conn *c)
{
	size_t len = c->input.len;
	ssize_t rest;

	if (len == 0)
		return false;
	rest = phr_decode_chunked(&c->chunk_decoder, c->input.data, &len);
	if (rest == -1) {
		conn_refuse(c, FRONT_BAD);
		return false;
	}
	buf_append(&c->body, c->input.data, len);
	if (c->body.len > c->server->limits.body_bytes) {
		conn_refuse(c, FRONT_BODY_TOO_LARGE);
		return false;
	}
	if (!conn_reserve_body(c, c->body.len)) {
		conn_refuse(c, FRONT_OVERLOADED);
		return false;
	}
	if (rest == -2) {
		buf_clear(&c->input);
		return false;
	}
	/* The decoder moved the bytes after the body behind the decoded ones.
	 */
	buf_consume(&c->input, len);
	c->input.len = (size_t)rest;
	return true;
}

/* Read bytes of the body; true when it is complete. */
static bool
read_body(struct front_conn *c)
{
	size_t n;

	if (c->head.chunked)
		return read_chunks(c);
	n = c->input.len < c->body_left_bytes ? c->input.len
					      : (size_t)c->body_left_bytes;
	buf_append(&c->body, c->input.data, n);
	buf_consume(&c->input, n);
	c->body_left_bytes -= n;
	return c->body_left_bytes == 0;
}

static void
conn_process_input(struct front_conn *c)
{
	if (c->phase == FRONT_READING_HEAD && !read_head(c)) {
		conn_start_timeout(c);
		if (c->phase == FRONT_READING_HEAD && c->server->draining &&
		    c->input.len == 0)
			conn_linger(c);
		return;
	}
	if (c->phase == FRONT_READING_BODY) {
		if (read_body(c))
			conn_present(c);
		else
			conn_start_timeout(c);
	}
}

static void
on_timer(uv_timer_t *timer)
{
	struct front_conn *c = timer->data;

	if (front_conn_is_idle(c) && c->queued_bytes > 0)
		conn_start_timeout(c); /* it still reads its response */
	else if (front_conn_is_idle(c) || c->phase == FRONT_LINGERING)
		front_conn_close(c);
	else
		conn_refuse(c, FRONT_TIMEOUT);
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
		conn_disconnected(c);
		return;
	}
	if (c->phase == FRONT_LINGERING)
		return;
	buf_append(&c->input, buf->base, (size_t)n);
	if (c->phase == FRONT_RESPONDING || c->input_paused) {
		if (c->input.len > PIPELINE_LIMIT_BYTES)
			conn_disconnected(c);
		else
			conn_count_held(c);
		return;
	}
	conn_process_input(c);
	if (c->input.len == 0)
		buffer_reset(&c->input);
	conn_count_held(c);
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
	conn_start_timeout(c);
}
