/* Reading the requests of a connection of the front, and presenting them. */

#include <string.h>

#include "http/front_internal.h"

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
		front_buffer_reset(&c->body); /* the receiver has copied it */
}

/* Parse a head from the input; true when it is complete and valid. */
static bool
read_head(struct front_conn *c)
{
	enum front_fault fault;

	while (c->input.len >= 2 && memcmp(c->input.data, "\r\n", 2) == 0)
		buf_consume(&c->input, 2);
	if (c->input.len == 0)
		return false;
	fault = front_parse_head(
	    &c->head, c->input.data, c->input.len, &c->server->limits);
	if (fault == FRONT_INCOMPLETE)
		return false;
	if (fault != FRONT_OK) {
		front_conn_refuse(c, fault);
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
	if (!front_conn_reserve_body(c, c->head.content_length)) {
		front_conn_refuse(c, FRONT_OVERLOADED);
		return false;
	}
	c->body_left_bytes = c->head.content_length;
	memset(&c->chunks, 0, sizeof(c->chunks));
	c->phase = FRONT_READING_BODY;
	if (c->head.expects_continue && c->input.len == 0)
		front_conn_write(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	return c->phase == FRONT_READING_BODY;
}

/* Decode bytes of a chunked body; true when it is complete. */
static bool
read_chunks(struct front_conn *c)
{
	size_t len, consumed;
	enum chunk_result result;

	if (c->input.len == 0)
		return false;
	result = chunk_read(
	    &c->chunks, c->input.data, c->input.len, &len, &consumed);
	if (result == CHUNK_MALFORMED || result == CHUNK_OVERHEAD) {
		front_conn_refuse(c, FRONT_BAD);
		return false;
	}
	buf_append(&c->body, c->input.data, len);
	if (c->body.len > c->server->limits.body_bytes) {
		front_conn_refuse(c, FRONT_BODY_TOO_LARGE);
		return false;
	}
	if (!front_conn_reserve_body(c, c->body.len)) {
		front_conn_refuse(c, FRONT_OVERLOADED);
		return false;
	}
	buf_consume(&c->input, consumed);
	return result == CHUNK_COMPLETE;
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

void
front_conn_process_input(struct front_conn *c)
{
	if (c->phase == FRONT_READING_HEAD && !read_head(c)) {
		front_conn_start_timeout(c);
		if (c->phase == FRONT_READING_HEAD && c->server->draining &&
		    c->input.len == 0)
			front_conn_linger(c);
		return;
	}
	if (c->phase == FRONT_READING_BODY) {
		if (read_body(c))
			conn_present(c);
		else
			front_conn_start_timeout(c);
	}
}
