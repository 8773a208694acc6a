/*
 * What a connection of the front buffers: its account in the budget, and the
 * report of a backlog to the source of a response.
 */

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "http/front_internal.h"

/* Bodies up to this size are accepted whatever else is buffered. */
#define SMALL_BODY_BYTES 8192u
/* A buffer of a kept connection that has grown beyond this is freed. */
#define KEPT_BUFFER_BYTES 16384u
/*
 * An endpoint ends a response of which nothing is read for some seconds, so
 * more of it is read once it has waited for this long.
 */
#define EXTEND_AFTER_MS 1000u
/*
 * Without memory for that the slowest client is cut off after this long: before
 * the endpoint does, and after a client that does read has had time to.
 */
#define GIVE_UP_AFTER_MS 2000u
/* The memory of a client that was cut off is free by then. */
#define EXTEND_RETRY_MS 100u

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
	if (is_long && c->extended_from_bytes == 0)
		byte_budget_count_pause(s->budget);
	if (is_long && c->phase == FRONT_RESPONDING) {
		c->waits_since_ms = uv_now(s->loop);
		front_conn_start_extend_timer(c, EXTEND_AFTER_MS);
	}
	s->callbacks.on_backlog(s->ctx, request, is_long);
}

/* ---- slow clients ------------------------------------------------------- */

/*
 * The bytes that the client's side has acknowledged. Those in the socket's send
 * buffer are not: it takes MBs, and further ones only when much of it is free,
 * so a client that reads seems to make no progress for seconds.
 */
static uint64_t
acknowledged_bytes(const struct front_conn *c)
{
	uint64_t queued =
	    uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp);
	int fd, unacknowledged = 0;

	if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0 ||
	    ioctl(fd, SIOCOUTQ, &unacknowledged) != 0)
		unacknowledged = 0;
	return c->written_bytes - queued - (uint64_t)unacknowledged;
}

static void
set_slow(struct front_conn *c, bool is_slow)
{
	if (!is_slow) {
		c->slow_since_ms = 0;
		c->extended_from_bytes = 0;
	} else if (c->slow_since_ms == 0) {
		c->slow_since_ms = uv_now(c->server->loop);
		c->slow_from_bytes = acknowledged_bytes(c);
	}
}

/* Compare what is queued for the client with what may be. */
void
front_conn_check_backlog(struct front_conn *c)
{
	size_t window = byte_budget_window(c->server->budget);
	size_t max = window;

	if (c->extended_from_bytes > 0)
		max = c->extended_from_bytes +
		    byte_budget_extension(c->server->budget);
	if (c->queued_bytes > max) {
		set_slow(c, true);
		front_conn_report_backlog(c, true);
	} else if (c->queued_bytes <= window / 2) {
		set_slow(c, false);
		front_conn_report_backlog(c, false);
	}
}

/* Bytes per ms that the client has read since it is slow. */
static double
reading_rate(const struct front_conn *c, uint64_t now_ms)
{
	return (double)(acknowledged_bytes(c) - c->slow_from_bytes) /
	    (double)(now_ms - c->slow_since_ms);
}

/*
 * The client that has read least since it is slow, and of those the one that
 * buffers most; NULL: none is slow for long enough to tell.
 */
static struct front_conn *
find_slowest(const struct front_server *s, uint64_t now_ms)
{
	struct front_conn *c, *slowest = NULL;
	double rate, lowest = 0;

	for (c = s->conns; c != NULL; c = c->next) {
		if (c->slow_since_ms == 0 ||
		    now_ms < c->slow_since_ms + EXTEND_AFTER_MS)
			continue;
		rate = reading_rate(c, now_ms);
		if (slowest != NULL &&
		    (rate > lowest ||
			(rate == lowest &&
			    c->held_bytes <= slowest->held_bytes)))
			continue;
		slowest = c;
		lowest = rate;
	}
	return slowest;
}

void
front_conn_extend_backlog(struct front_conn *c)
{
	struct front_server *s = c->server;
	uint64_t now_ms = uv_now(s->loop);
	struct front_conn *slowest;

	if (c->backlog_request == 0)
		return;
	if (byte_budget_extension(s->budget) > 0) {
		c->extended_from_bytes = c->queued_bytes;
		byte_budget_count_extension(s->budget);
		front_conn_report_backlog(c, false);
		return;
	}
	front_conn_start_extend_timer(c, EXTEND_RETRY_MS);
	if (s->budget == NULL ||
	    now_ms < c->waits_since_ms + GIVE_UP_AFTER_MS ||
	    now_ms < s->gave_up_ms + EXTEND_RETRY_MS)
		return;
	slowest = find_slowest(s, now_ms);
	if (slowest == NULL)
		return;
	s->gave_up_ms = now_ms;
	front_conn_cut_off(slowest);
}
