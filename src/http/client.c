/* The client: formatting and starting calls, its idle sweep and shutdown. */

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http/client_internal.h"
#include "util/mem.h"

#define CLIENT_SWEEP_MS 2000
#define CLIENT_IDLE_MS	28000 /* plus the sweep interval: at most 30 s */

/* ---- calls ------------------------------------------------------------- */

/* Return whether the call's further headers contain a Host header. */
static bool
has_host(const struct node_call *call)
{
	size_t i;

	for (i = 0; i < call->nextra_headers; i++)
		if (strcasecmp(call->extra_headers[i].name, "host") == 0)
			return true;
	return false;
}

/* Format the request: head and body. */
static void
call_format(struct call *call, const struct node_call *from)
{
	struct buf *b = &call->request;
	size_t i;

	buf_printf(b, "%s %s HTTP/1.1\r\n", from->method, from->path);
	if (!has_host(from))
		buf_printf(b, "Host: %s\r\n", from->address);
	for (i = 0; i < from->nextra_headers; i++)
		buf_printf(b, "%s: %s\r\n", from->extra_headers[i].name,
		    from->extra_headers[i].value);
	for (i = 0; i < from->nheaders; i++)
		buf_printf(b, "%s: %s\r\n", from->headers[i].name,
		    from->headers[i].value);
	if (from->body.len > 0 || strcmp(from->method, "GET") != 0)
		buf_printf(b, "Content-Length: %zu\r\n", from->body.len);
	if (call->fresh_connection)
		buf_puts(b, "Connection: close\r\n");
	buf_puts(b, "\r\n");
	buf_append(b, from->body.data, from->body.len);
}

static void
on_start(uv_timer_t *timer)
{
	call_begin(timer->data);
}

void
http_client_start(struct http_client *c, const struct node_call *from)
{
	struct call *call = mem_alloc(1, sizeof(*call));

	call->client = c;
	call->id = from->call;
	call->address = mem_string(from->address);
	call->not_after_us = from->not_after_us;
	call->silence_us = from->silence_us;
	call->first_byte_silence_us = from->first_byte_silence_us != 0
	    ? from->first_byte_silence_us
	    : from->silence_us;
	call->fresh_connection = from->fresh_connection;
	call->close_delimited = from->close_delimited;
	call->idle_limit_ms = from->idle_limit_ms;
	call->for_request = from->for_request;
	call->paused = map_get_u64(c->paused, call->for_request) != NULL;
	call->response.no_body = strcmp(from->method, "HEAD") == 0;
	call_format(call, from);
	(void)uv_timer_init(c->loop, &call->timer);
	call->timer.data = call;
	c->open_handles++;
	(void)map_set_u64(c->calls, call->id, call);
	if (call->for_request != 0)
		(void)map_set_u64(c->calls_by_request, call->for_request, call);
	(void)uv_timer_start(&call->timer, on_start, 0, 0);
}

void
http_client_cancel(struct http_client *c, uint64_t id)
{
	struct call *call = map_get_u64(c->calls, id);

	if (call != NULL)
		call_cancel(call);
}

void
http_client_set_budget(struct http_client *c, struct byte_budget *budget)
{
	c->budget = budget;
}

void
http_client_pause(struct http_client *c, uint64_t request, bool paused)
{
	struct call *call = map_get_u64(c->calls_by_request, request);

	if (paused)
		(void)map_set_u64(c->paused, request, c);
	else
		(void)map_remove_u64(c->paused, request);
	if (call != NULL)
		call_set_paused(call, paused);
}

/* ---- creation and shutdown --------------------------------------------- */

static void
on_sweep(uv_timer_t *timer)
{
	struct http_client *c = timer->data;
	uint64_t now = uv_now(c->loop);

	if (now > CLIENT_IDLE_MS)
		conn_close_idle(c, now - CLIENT_IDLE_MS);
}

int
http_client_create(struct http_client **out, uv_loop_t *loop, http_call_cb cb,
    void *ctx, struct mp_error *err)
{
	struct http_client *c = mem_alloc(1, sizeof(*c));
	int rc;

	*out = NULL;
	(void)signal(SIGPIPE, SIG_IGN);
	rc = uv_timer_init(loop, &c->sweep_timer);
	if (rc != 0) {
		free(c);
		return mp_error_set(
		    err, MP_LAYER_HTTP, MP_ERR_IO, "%s", uv_strerror(rc));
	}
	c->loop = loop;
	c->cb = cb;
	c->ctx = ctx;
	c->calls = map_create();
	c->pools = map_create();
	c->calls_by_request = map_create();
	c->paused = map_create();
	c->open_handles = 1;
	c->sweep_timer.data = c;
	(void)uv_timer_start(
	    &c->sweep_timer, on_sweep, CLIENT_SWEEP_MS, CLIENT_SWEEP_MS);
	*out = c;
	return MP_OK;
}

void
client_release(struct http_client *c)
{
	void (*done)(void *ctx) = c->done;
	void *done_ctx = c->done_ctx;

	if (--c->open_handles > 0)
		return;
	map_destroy(c->calls);
	map_destroy(c->pools);
	map_destroy(c->calls_by_request);
	map_destroy(c->paused);
	free(c);
	if (done != NULL)
		done(done_ctx);
}

static void
on_sweep_closed(uv_handle_t *handle)
{
	client_release(handle->data);
}

void
http_client_destroy(struct http_client *c, void (*done)(void *ctx), void *ctx)
{
	c->done = done;
	c->done_ctx = ctx;
	while (map_count(c->calls) > 0)
		call_cancel(map_at(c->calls, 0));
	conn_close_idle(c, UINT64_MAX);
	uv_close((uv_handle_t *)&c->sweep_timer, on_sweep_closed);
}
