/* Responses of the front: writing to the client, and the next request after. */

#include <stdlib.h>
#include <string.h>

#include "http/front_internal.h"
#include "http/status.h"
#include "util/mem.h"

/*
 * Limit of the bytes queued for a client that does not read, beyond those that
 * its window was extended from, although its backlog was reported. A client
 * over the limit is disconnected.
 */
#define QUEUE_LIMIT_BYTES (2 * BYTE_BUDGET_WINDOW_MAX)
/* Sent with a refusal for want of memory. */
#define OVERLOADED_RETRY_AFTER "Retry-After: 1\r\n"

static void conn_resume_input(struct front_conn *c);

/* ---- writing ----------------------------------------------------------- */

struct front_write {
	uv_write_t req;
	struct front_conn *conn;
	size_t len;
	char data[];
};

static void
on_written(uv_write_t *req, int status)
{
	struct front_write *w = (struct front_write *)(void *)req;
	struct front_conn *c = w->conn;

	c->queued_bytes -= w->len;
	free(w);
	front_conn_count_held(c);
	if (c->phase == FRONT_CLOSING)
		return;
	if (status != 0) {
		front_conn_disconnect(c);
		return;
	}
	front_conn_check_backlog(c);
	conn_resume_input(c);
}

void
front_conn_write(struct front_conn *c, const char *data, size_t len)
{
	uv_buf_t b = uv_buf_init((char *)data, (unsigned)len);
	struct front_write *w;
	int n = 0;

	if (len == 0 || c->phase == FRONT_CLOSING)
		return;
	c->written_bytes += len;
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
	front_conn_count_held(c);
}

/* ---- responses --------------------------------------------------------- */

/* The response is complete: read the next request or close. */
static void
conn_finish_request(struct front_conn *c)
{
	front_conn_report_backlog(c, false);
	(void)uv_timer_stop(&c->timer); /* of the backlog */
	(void)map_remove_u64(c->server->requests, c->request);
	c->request = 0;
	c->head_sent = false;
	c->request_bytes = 0;
	front_conn_count_held(c);
	front_buffer_reset(&c->body);
	front_buffer_reset(&c->head_bytes);
	if (!c->keep_alive) {
		front_conn_linger(c);
		return;
	}
	c->phase = FRONT_READING_HEAD;
	c->input_paused =
	    c->queued_bytes > byte_budget_window(c->server->budget);
	if (!c->input_paused)
		front_conn_process_input(c);
}

/* Read the next request once the client has read enough of its responses. */
static void
conn_resume_input(struct front_conn *c)
{
	if (!c->input_paused ||
	    c->queued_bytes > byte_budget_window(c->server->budget) / 2)
		return;
	c->input_paused = false;
	front_conn_process_input(c);
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
	front_conn_write(c, out.data, out.len);
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
	if (c->queued_bytes + data.len >
	    c->extended_from_bytes + QUEUE_LIMIT_BYTES) {
		front_conn_cut_off(c);
		return;
	}
	if (c->chunked_response) {
		buf_printf(&out, "%zx\r\n", data.len);
		buf_append(&out, data.data, data.len);
		buf_puts(&out, "\r\n");
		front_conn_write(c, out.data, out.len);
		buf_free(&out);
	} else {
		front_conn_write(c, data.data, data.len);
	}
	front_conn_check_backlog(c);
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
		front_conn_report_backlog(c, false);
		(void)map_remove_u64(c->server->requests, c->request);
		c->request = 0;
		front_conn_reset(c);
		return;
	}
	if (c->chunked_response && !c->no_body)
		front_conn_write(c, "0\r\n\r\n", 5);
	if (c->phase != FRONT_CLOSING)
		conn_finish_request(c);
}

/* Refuse a request that cannot be accepted and close the connection. */
void
front_conn_refuse(struct front_conn *c, enum front_fault fault)
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
	front_conn_count_held(c);
	front_conn_write(c, text, (size_t)n);
	if (c->phase == FRONT_CLOSING)
		return;
	front_conn_linger(c);
}
