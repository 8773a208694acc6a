/* One call: its timeouts, the events of its response and its end. */

#include <stdlib.h>
#include <string.h>

#include "http/client_internal.h"
#include "util/clock.h"
#include "util/mem.h"

#define CALL_CONNECT_TIMEOUT_MS 500

/* ---- end of a call ----------------------------------------------------- */

static void
on_call_closed(uv_handle_t *handle)
{
	struct call *call = handle->data;
	struct http_client *c = call->client;

	byte_budget_change(c->budget, call->budgeted_bytes, 0);
	buf_free(&call->request);
	buf_free(&call->response.head);
	free(call->address);
	free(call);
	client_release(c);
}

/* Remove the call and release its connection; it is freed from the loop. */
static void
call_remove(struct call *call, bool reusable)
{
	struct client_conn *conn = call->conn;
	struct http_client *c = call->client;

	call->ended = true;
	call->conn = NULL;
	(void)map_remove_u64(c->calls, call->id);
	if (map_get_u64(c->calls_by_request, call->for_request) == call)
		(void)map_remove_u64(c->calls_by_request, call->for_request);
	if (conn != NULL) {
		conn->keep_alive_ms = call->response.keep_alive_ms;
		conn_release(conn, reusable && !call->fresh_connection);
	}
	uv_close((uv_handle_t *)&call->timer, on_call_closed);
}

static void
call_end(struct call *call, enum node_call_phase phase, const char *reason)
{
	struct node_call_event ev;
	struct http_client *c = call->client;

	memset(&ev, 0, sizeof(ev));
	ev.call = call->id;
	ev.phase = phase;
	ev.reason = reason;
	ev.closed_by_peer =
	    phase == NODE_CALL_BROKEN && call->is_closed_by_peer;
	call_remove(call, phase == NODE_CALL_END && call->response.reusable);
	c->cb(c->ctx, &ev);
}

void
call_fail(struct call *call, const char *reason)
{
	call_end(
	    call, call->sent ? NODE_CALL_BROKEN : NODE_CALL_NOT_SENT, reason);
}

void
call_fail_closed(struct call *call, const char *reason)
{
	call->is_closed_by_peer = true;
	call_fail(call, reason);
}

void
call_on_peer_closed(struct call *call)
{
	if (call->close_delimited &&
	    call->response.phase == RESPONSE_BODY_UNTIL_CLOSE)
		call_end(call, NODE_CALL_END, NULL);
	else
		call_fail_closed(call, "closed before the end");
}

void
call_cancel(struct call *call)
{
	call_remove(call, false);
}

/* ---- timers ------------------------------------------------------------ */

static void
on_silence_timeout(uv_timer_t *timer)
{
	call_fail(timer->data, "silent");
}

/* Restart the silence timeout; 0 leaves the timer unchanged. */
static void
call_start_silence_timer(struct call *call, uint64_t silence_us)
{
	if (silence_us > 0)
		(void)uv_timer_start(&call->timer, on_silence_timeout,
		    (silence_us + 999) / 1000, 0);
}

static void
on_connect_timeout(uv_timer_t *timer)
{
	call_fail(timer->data, "connect timeout");
}

void
call_set_paused(struct call *call, bool paused)
{
	if (call->paused == paused)
		return;
	call->paused = paused;
	if (!call->sent)
		return; /* timers of the connection are running */
	conn_set_reading(call->conn, !paused);
	if (paused)
		(void)uv_timer_stop(&call->timer);
	else
		call_start_silence_timer(call, call->silence_us);
}

/* ---- the response ------------------------------------------------------ */

static void
call_report_head(struct call *call)
{
	struct http_client *c = call->client;
	struct node_call_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.call = call->id;
	ev.phase = NODE_CALL_HEAD;
	ev.status = call->response.status;
	if (call->response.retry_after[0] != '\0')
		ev.retry_after = call->response.retry_after;
	if (call->response.content_type[0] != '\0')
		ev.content_type = call->response.content_type;
	ev.headers = call->response.headers;
	ev.nheaders = call->response.nheaders;
	ev.has_length = call->response.has_length;
	ev.length = call->response.length;
	ev.is_kept_connection = call->conn->is_kept;
	c->cb(c->ctx, &ev);
}

static void
call_report_data(struct call *call, const char *data, size_t len)
{
	struct http_client *c = call->client;
	struct node_call_event ev;

	if (len == 0)
		return;
	memset(&ev, 0, sizeof(ev));
	ev.call = call->id;
	ev.phase = NODE_CALL_DATA;
	ev.data.data = data;
	ev.data.len = len;
	c->cb(c->ctx, &ev);
}

static void
call_receive_body(struct call *call, char *data, size_t len)
{
	struct response *r = &call->response;
	const char *fault = NULL;

	if (r->phase == RESPONSE_COMPLETE) {
		if (len > 0) /* bytes after the end of the response */
			r->reusable = false;
	} else if (len > 0) {
		fault = response_decode_body(r, data, &len);
		if (fault == NULL)
			call_report_data(call, data, len);
	}
	if (call->ended)
		return;
	if (fault != NULL)
		call_fail(call, fault);
	else if (r->phase == RESPONSE_COMPLETE)
		call_end(call, NODE_CALL_END, NULL);
}

/* Count the memory for the head in the budget. */
static void
call_count_head(struct call *call)
{
	size_t bytes = call->response.head.cap;

	byte_budget_change(call->client->budget, call->budgeted_bytes, bytes);
	call->budgeted_bytes = bytes;
}

static size_t
max_head_bytes(const struct http_client *c)
{
	size_t window = byte_budget_window(c->budget);

	if (window > RESPONSE_HEAD_MAX_BYTES)
		return RESPONSE_HEAD_MAX_BYTES;
	return window < RESPONSE_HEAD_SMALL_BYTES ? RESPONSE_HEAD_SMALL_BYTES
						  : window;
}

void
call_receive(struct call *call, char *data, size_t len)
{
	struct response *r = &call->response;
	const char *fault;
	size_t rest = len;

	call_start_silence_timer(call, call->silence_us);
	if (r->phase == RESPONSE_HEAD) {
		fault = response_parse_head(
		    r, data, len, max_head_bytes(call->client), &rest);
		call_count_head(call);
		if (fault != NULL) {
			call_fail(call, fault);
			return;
		}
		if (r->phase == RESPONSE_HEAD)
			return;
		call_report_head(call);
	}
	if (!call->ended)
		call_receive_body(call, data + len - rest, rest);
}

/* ---- start ------------------------------------------------------------- */

void
call_on_connected(struct call *call)
{
	if (clock_now_us() > call->not_after_us) {
		call_fail(call, "too late");
		return;
	}
	call->sent = true;
	(void)uv_timer_stop(&call->timer);
	if (call->paused)
		conn_set_reading(call->conn, false);
	else
		call_start_silence_timer(call, call->first_byte_silence_us);
	conn_send(call->conn, &call->request);
}

void
call_begin(struct call *call)
{
	uint64_t now_us = clock_now_us();
	uint64_t timeout_ms = CALL_CONNECT_TIMEOUT_MS;
	const char *reason = NULL;

	if (now_us > call->not_after_us) {
		call_fail(call, "too late");
		return;
	}
	call->conn = conn_acquire(call, &reason);
	if (call->conn == NULL) {
		call_fail(call, reason);
		return;
	}
	if (call->conn->connected) {
		call_on_connected(call);
		return;
	}
	if (call->not_after_us - now_us < timeout_ms * 1000)
		timeout_ms = (call->not_after_us - now_us + 999) / 1000;
	(void)uv_timer_start(&call->timer, on_connect_timeout, timeout_ms, 0);
}
