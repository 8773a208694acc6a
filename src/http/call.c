#include <stdlib.h>
#include <string.h>

#include "http/client_internal.h"
#include "util/clock.h"
#include "util/mem.h"

#define CALL_CONNECT_MS 500

/* ---- ends -------------------------------------------------------------- */

static void
on_call_closed(uv_handle_t *handle)
{
	struct call *call = handle->data;
	struct http_client *c = call->client;

	buf_free(&call->request);
	buf_free(&call->answer.head);
	free(call->address);
	free(call);
	client_release(c);
}

/* Take the call off the tables; its memory goes later, from the loop. */
static void
call_forget(struct call *call, bool reusable)
{
	struct client_conn *conn = call->conn;

	call->ended = true;
	call->conn = NULL;
	(void)map_remove_u64(call->client->calls, call->id);
	if (conn != NULL) {
		conn->keep_ms = call->answer.keep_ms;
		conn_release(conn, reusable && !call->fresh);
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
	call_forget(call, phase == NODE_CALL_END && call->answer.reusable);
	c->cb(c->ctx, &ev);
}

void
call_broken(struct call *call, const char *reason)
{
	call_end(
	    call, call->sent ? NODE_CALL_BROKEN : NODE_CALL_NOT_SENT, reason);
}

void
call_closed(struct call *call)
{
	if (call->close_ends && call->answer.phase == ANSWER_UNTIL_CLOSE)
		call_end(call, NODE_CALL_END, NULL);
	else
		call_broken(call, "closed before the end");
}

void
call_drop(struct call *call)
{
	call_forget(call, false);
}

/* ---- timers ------------------------------------------------------------ */

static void
on_silence(uv_timer_t *timer)
{
	call_broken(timer->data, "silent");
}

static void
call_watch_silence(struct call *call, uint64_t silence_us)
{
	if (silence_us > 0)
		(void)uv_timer_start(
		    &call->timer, on_silence, (silence_us + 999) / 1000, 0);
}

static void
on_connect_timeout(uv_timer_t *timer)
{
	call_broken(timer->data, "connect timeout");
}

/* ---- the answer -------------------------------------------------------- */

static void
call_report_head(struct call *call)
{
	struct http_client *c = call->client;
	struct node_call_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.call = call->id;
	ev.phase = NODE_CALL_HEAD;
	ev.status = call->answer.status;
	if (call->answer.retry_after[0] != '\0')
		ev.retry_after = call->answer.retry_after;
	if (call->answer.content_type[0] != '\0')
		ev.content_type = call->answer.content_type;
	ev.headers = call->answer.headers;
	ev.nheaders = call->answer.nheaders;
	ev.has_length = call->answer.sized;
	ev.length = call->answer.length;
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
call_take_body(struct call *call, char *data, size_t len)
{
	struct answer *a = &call->answer;
	const char *fault = NULL;

	if (a->phase == ANSWER_WHOLE) {
		if (len > 0) /* more than the answer */
			a->reusable = false;
	} else if (len > 0) {
		fault = answer_decode(a, data, &len);
		if (fault == NULL)
			call_report_data(call, data, len);
	}
	if (call->ended)
		return;
	if (fault != NULL)
		call_broken(call, fault);
	else if (a->phase == ANSWER_WHOLE)
		call_end(call, NODE_CALL_END, NULL);
}

void
call_input(struct call *call, char *data, size_t len)
{
	struct answer *a = &call->answer;
	const char *fault;
	size_t rest = len;

	call_watch_silence(call, call->silence_us);
	if (a->phase == ANSWER_HEAD) {
		fault = answer_parse_head(a, data, len, &rest);
		if (fault != NULL) {
			call_broken(call, fault);
			return;
		}
		if (a->phase == ANSWER_HEAD)
			return;
		call_report_head(call);
	}
	if (!call->ended)
		call_take_body(call, data + len - rest, rest);
}

/* ---- start ------------------------------------------------------------- */

void
call_connected(struct call *call)
{
	if (clock_now_us() > call->not_after_us) {
		call_broken(call, "too late");
		return;
	}
	call->sent = true;
	(void)uv_timer_stop(&call->timer);
	call_watch_silence(call, call->first_us);
	conn_send(call->conn, &call->request);
}

void
call_begin(struct call *call)
{
	uint64_t now = clock_now_us(), limit = CALL_CONNECT_MS;
	const char *reason = NULL;

	if (now > call->not_after_us) {
		call_broken(call, "too late");
		return;
	}
	call->conn = conn_get(call, &reason);
	if (call->conn == NULL) {
		call_broken(call, reason);
		return;
	}
	if (call->conn->connected) {
		call_connected(call);
		return;
	}
	if (call->not_after_us - now < limit * 1000)
		limit = (call->not_after_us - now + 999) / 1000;
	(void)uv_timer_start(&call->timer, on_connect_timeout, limit, 0);
}
