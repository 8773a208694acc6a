/*
 * What a connection of the front buffers: its account in the budget, and the
 * report of a backlog to the source of a response.
 */

#include "http/front_internal.h"

/* Bodies up to this size are accepted whatever else is buffered. */
#define SMALL_BODY_BYTES 8192u
/* A buffer of a kept connection that has grown beyond this is freed. */
#define KEPT_BUFFER_BYTES 16384u

/* Count what the connection buffers, after each change of it. */
void
front_conn_count_held(struct front_conn *c)
{
	uint64_t held = c->input.len + c->queued_bytes + c->request_bytes;

	byte_budget_change(c->server->budget, c->held_bytes, held);
	c->held_bytes = held;
}

/* Reserve the memory for a body of a request; false: there is too little. */
bool
front_conn_reserve_body(struct front_conn *c, uint64_t body_bytes)
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
	front_conn_count_held(c);
	return true;
}

/* Empty a buffer, and keep only little memory for its next use. */
void
front_buffer_reset(struct buf *b)
{
	if (b->cap > KEPT_BUFFER_BYTES)
		buf_free(b);
	else
		buf_clear(b);
}

void
front_conn_report_backlog(struct front_conn *c, bool is_long)
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
void
front_conn_check_backlog(struct front_conn *c)
{
	size_t window = byte_budget_window(c->server->budget);

	if (c->queued_bytes > window)
		front_conn_report_backlog(c, true);
	else if (c->queued_bytes <= window / 2)
		front_conn_report_backlog(c, false);
}
