#include <stdlib.h>
#include <string.h>

#include "http/address.h"
#include "http/client_internal.h"
#include "util/mem.h"

#define CALL_CONNECT_MS	     500
#define CALL_RETRY_AFTER_MAX 64

static h2o_http1client_body_cb on_head(h2o_http1client_t *connection,
    const char *error, int minor_version, int status, h2o_iovec_t reason,
    h2o_header_t *headers, size_t nheaders, int rlen);
static int on_body(h2o_http1client_t *connection, const char *error);

/* ---- ends -------------------------------------------------------------- */

static void
on_call_closed(uv_handle_t *handle)
{
	struct call *call = handle->data;
	struct http_client *c = call->client;

	buf_free(&call->request);
	free(call->address);
	free(call);
	client_release(c);
}

/* Take the call off the tables; its memory goes later, from the loop. */
static void
call_forget(struct call *call)
{
	struct http_client *c = call->client;

	call->ended = true;
	(void)map_remove_u64(c->calls, call->id);
	if (call->pool != NULL && --call->pool->calls == 0)
		call->pool->unused_since_ms = uv_now(c->loop);
	uv_close((uv_handle_t *)&call->timer, on_call_closed);
}

/* Close the connection, unless h2o is just calling back on it. */
static void
call_disconnect(struct call *call)
{
	h2o_http1client_t *connection = call->connection;

	call->connection = NULL;
	if (connection != NULL && !call->in_callback)
		h2o_http1client_cancel(connection);
}

void
call_end(struct call *call, enum node_call_phase phase, const char *reason)
{
	struct node_call_event ev;
	struct http_client *c = call->client;

	if (call->ended)
		return;
	memset(&ev, 0, sizeof(ev));
	ev.call = call->id;
	ev.phase = phase;
	ev.reason = reason;
	call_disconnect(call);
	call_forget(call);
	c->cb(c->ctx, &ev);
}

void
call_drop(struct call *call)
{
	if (call->ended)
		return;
	call_disconnect(call);
	call_forget(call);
}

/* ---- timers ------------------------------------------------------------ */

static void
on_silence(uv_timer_t *timer)
{
	call_end(timer->data, NODE_CALL_BROKEN, "silent");
}

static void
call_watch_silence(struct call *call)
{
	if (call->silence_us > 0)
		(void)uv_timer_start(&call->timer, on_silence,
		    (call->silence_us + 999) / 1000, 0);
}

static void
on_connect_timeout(uv_timer_t *timer)
{
	call_end(timer->data, NODE_CALL_NOT_SENT, "connect timeout");
}

/* ---- what h2o tells ---------------------------------------------------- */

static h2o_http1client_head_cb
call_connected(struct call *call, const char *error, h2o_iovec_t **out,
    size_t *count, int *method_is_head)
{
	if (error != NULL) {
		call_end(call, NODE_CALL_NOT_SENT, error);
		return NULL;
	}
	if (uv_hrtime() / 1000 > call->not_after_us) {
		call_end(call, NODE_CALL_NOT_SENT, "too late");
		return NULL;
	}
	call->sent = true;
	call->vector = h2o_iovec_init(call->request.data, call->request.len);
	*out = &call->vector;
	*count = 1;
	*method_is_head = call->head_method;
	(void)uv_timer_stop(&call->timer);
	call_watch_silence(call);
	return on_head;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *connection, const char *error, h2o_iovec_t **out,
    size_t *count, int *method_is_head)
{
	struct call *call = connection->data;
	h2o_http1client_head_cb next;

	call->in_callback = true;
	next = call_connected(call, error, out, count, method_is_head);
	call->in_callback = false;
	return next;
}

static const char *
header_copy(const h2o_header_t *headers, size_t n, const char *name, char *out,
    size_t size)
{
	size_t i, len;

	for (i = 0; i < n; i++) {
		if (!h2o_lcstris(headers[i].name->base, headers[i].name->len,
			name, strlen(name)))
			continue;
		len = headers[i].value.len;
		if (len >= size)
			len = size - 1;
		memcpy(out, headers[i].value.base, len);
		out[len] = '\0';
		return out;
	}
	return NULL;
}

static void
call_report_head(
    struct call *call, int status, const h2o_header_t *headers, size_t n)
{
	char retry_after[CALL_RETRY_AFTER_MAX], scratch[2];
	struct node_call_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.call = call->id;
	ev.phase = NODE_CALL_HEAD;
	ev.status = status;
	ev.retry_after = header_copy(
	    headers, n, "retry-after", retry_after, sizeof(retry_after));
	call->delimited = status == 204 || status == 304 || call->head_method ||
	    header_copy(headers, n, "content-length", scratch,
		sizeof(scratch)) != NULL ||
	    header_copy(headers, n, "transfer-encoding", scratch,
		sizeof(scratch)) != NULL;
	call->client->cb(call->client->ctx, &ev);
}

static void
call_finish(struct call *call)
{
	if (call->delimited)
		call_end(call, NODE_CALL_END, NULL);
	else
		call_end(call, NODE_CALL_BROKEN, "answer of unknown length");
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *connection, const char *error, int minor_version,
    int status, h2o_iovec_t reason, h2o_header_t *headers, size_t nheaders,
    int rlen)
{
	struct call *call = connection->data;

	(void)minor_version;
	(void)reason;
	(void)rlen;
	call->in_callback = true;
	if (error != NULL && error != h2o_http1client_error_is_eos) {
		call_end(call, NODE_CALL_BROKEN, error);
	} else {
		call_watch_silence(call);
		call_report_head(call, status, headers, nheaders);
		if (error != NULL)
			call_finish(call);
	}
	call->in_callback = false;
	return call->ended ? NULL : on_body;
}

static void
call_report_data(struct call *call, h2o_http1client_t *connection)
{
	h2o_buffer_t **input = &connection->sock->input;
	struct node_call_event ev;

	if ((*input)->size == 0)
		return;
	memset(&ev, 0, sizeof(ev));
	ev.call = call->id;
	ev.phase = NODE_CALL_DATA;
	ev.data.data = (*input)->bytes;
	ev.data.len = (*input)->size;
	call->client->cb(call->client->ctx, &ev);
	h2o_buffer_consume(input, (*input)->size);
}

static int
on_body(h2o_http1client_t *connection, const char *error)
{
	struct call *call = connection->data;

	call->in_callback = true;
	if (error == NULL || error == h2o_http1client_error_is_eos) {
		call_watch_silence(call);
		call_report_data(call, connection);
		if (error != NULL)
			call_finish(call);
	} else {
		call_end(call, NODE_CALL_BROKEN, error);
	}
	call->in_callback = false;
	return call->ended ? -1 : 0;
}

/* ---- start ------------------------------------------------------------- */

static void
call_connect(struct call *call)
{
	struct http_client *c = call->client;
	struct sockaddr_in sin;
	const char *colon = strrchr(call->address, ':');

	if (!call->fresh) {
		h2o_http1client_connect_with_pool(&call->connection, call,
		    &c->h2o, &call->pool->sockets, on_connect);
		return;
	}
	if (address_parse(&sin, call->address) != MP_OK) {
		call_end(call, NODE_CALL_NOT_SENT, "not an address");
		return;
	}
	h2o_http1client_connect(&call->connection, call, &c->h2o,
	    h2o_iovec_init(call->address, (size_t)(colon - call->address)),
	    ntohs(sin.sin_port), 0, on_connect);
}

void
call_begin(struct call *call)
{
	uint64_t now = uv_hrtime() / 1000, limit = CALL_CONNECT_MS;

	if (now > call->not_after_us) {
		call_end(call, NODE_CALL_NOT_SENT, "too late");
		return;
	}
	if (!call->fresh) {
		call->pool = pool_get(call->client, call->address);
		if (call->pool == NULL) {
			call_end(call, NODE_CALL_NOT_SENT, "not an address");
			return;
		}
		call->pool->calls++;
	}
	if (call->not_after_us - now < limit * 1000)
		limit = (call->not_after_us - now + 999) / 1000;
	(void)uv_timer_start(&call->timer, on_connect_timeout, limit, 0);
	call_connect(call);
}
