/*
 * A request of the API server and its response. Body data is queued here while
 * h2o writes the previous piece.
 */

#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "http/server_internal.h"
#include "http/status.h"
#include "util/mem.h"

#define HTTP_VERSION_2 0x200 /* h2o's encoding */

static void exchange_pump(struct exchange *x);

/* ---- what is buffered --------------------------------------------------- */

static void
exchange_report_backlog(struct exchange *x, bool is_long)
{
	struct http_server *s = x->server;

	if (s->callbacks.on_backlog == NULL || is_long == x->has_long_backlog)
		return;
	x->has_long_backlog = is_long;
	if (is_long)
		byte_budget_count_pause(s->budget);
	s->callbacks.on_backlog(s->ctx, x->id, is_long);
}

/*
 * Count what is buffered, and compare it with what may be. Called before bytes
 * are passed to h2o, which may free the exchange.
 */
static void
exchange_check_backlog(struct exchange *x)
{
	size_t held = x->queued.len + x->sending.len;
	size_t window;

	byte_budget_change(x->server->budget, x->held_bytes, held);
	x->held_bytes = held;
	window = byte_budget_window(x->server->budget);
	if (held > window && !x->finished)
		exchange_report_backlog(x, true);
	else if (held <= window / 2 || x->finished)
		exchange_report_backlog(x, false);
}

/* ---- the request ------------------------------------------------------- */

/* h2o frees the request: it is complete or its connection was closed. */
static void
on_dispose(void *p)
{
	struct exchange *x = p;

	if (!x->finished)
		server_report_disconnect(x->server, x);
	x->connection->nexchanges--;
	if (x->connection->active == x)
		x->connection->active = NULL;
	if (x->server->phase == SERVER_DRAINING)
		server_defer(x->server); /* closes the connection */
	buf_free(&x->queued);
	buf_free(&x->sending);
	exchange_check_backlog(x);
}

/* Remove the exchange from the table; its id becomes unknown. */
static void
exchange_unregister(struct exchange *x)
{
	x->finished = true;
	exchange_report_backlog(x, false);
	(void)map_remove_u64(x->server->exchanges, x->id);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct exchange *x = (struct exchange *)generator;

	(void)req;
	x->writing = false;
	buf_clear(&x->sending);
	exchange_check_backlog(x);
	exchange_pump(x);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	struct exchange *x = (struct exchange *)generator;

	(void)req;
	if (!x->finished)
		server_report_disconnect(x->server, x);
}

static const char *
find_header(h2o_req_t *req, const char *name)
{
	ssize_t i =
	    h2o_find_header_by_str(&req->headers, name, strlen(name), -1);
	h2o_iovec_t v;

	if (i == -1)
		return NULL;
	v = req->headers.entries[i].value;
	return h2o_strdup(&req->pool, v.base, v.len).base;
}

static size_t
count_header_bytes(const h2o_req_t *req)
{
	size_t i, total = req->input.method.len + req->input.path.len;

	for (i = 0; i < req->headers.size; i++)
		total += req->headers.entries[i].name->len +
		    req->headers.entries[i].value.len;
	return total;
}

static struct exchange *
exchange_create(struct http_server *s, h2o_req_t *req)
{
	struct exchange *x;
	h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);

	x = h2o_mem_alloc_shared(&req->pool, sizeof(*x), on_dispose);
	memset(x, 0, sizeof(*x));
	x->generator.proceed = on_proceed;
	x->generator.stop = on_stop;
	x->req = req;
	x->server = s;
	x->id = ++s->last_request;
	x->connection = socket->on_close.data;
	x->connection->nexchanges++;
	x->is_http1 = req->version < HTTP_VERSION_2;
	if (x->is_http1)
		x->connection->active = x;
	(void)map_set_u64(s->exchanges, x->id, x);
	return x;
}

static void
exchange_present(struct exchange *x)
{
	h2o_req_t *req = x->req;
	struct node_request r;

	memset(&r, 0, sizeof(r));
	r.request = x->id;
	r.method =
	    h2o_strdup(&req->pool, req->method.base, req->method.len).base;
	r.path =
	    h2o_strdup(&req->pool, req->input.path.base, req->input.path.len)
		.base;
	r.authorization = find_header(req, "authorization");
	r.idempotency_key = find_header(req, "idempotency-key");
	r.content_type = find_header(req, "content-type");
	r.timeout = find_header(req, "mulberrypath-timeout-ms");
	r.body.data = req->entity.base;
	r.body.len = req->entity.len;
	x->server->callbacks.on_request(x->server->ctx, &r);
}

bool
exchange_owns_response(const h2o_req_t *req)
{
	return req->_generator != NULL &&
	    req->_generator->proceed == on_proceed;
}

int
exchange_on_request(h2o_handler_t *handler, h2o_req_t *req)
{
	struct http_server *s = ((struct http_handler *)handler)->server;

	if (count_header_bytes(req) > s->header_limit_bytes) {
		h2o_send_error_generic(req, 431,
		    "Request Header Fields Too Large", "",
		    H2O_SEND_ERROR_HTTP1_CLOSE_CONNECTION);
		return 0;
	}
	exchange_present(exchange_create(s, req));
	return 0;
}

const char *
http_server_get_header(
    const struct http_server *s, uint64_t request, const char *name)
{
	struct exchange *x = map_get_u64(s->exchanges, request);

	return x == NULL ? NULL : find_header(x->req, name);
}

uint64_t
http_server_get_connection(const struct http_server *s, uint64_t request)
{
	struct exchange *x = map_get_u64(s->exchanges, request);

	return x == NULL ? 0 : x->req->conn->id;
}

/* ---- the response ------------------------------------------------------ */

static void
exchange_send_head(struct exchange *x, const struct node_reply *reply)
{
	h2o_req_t *req = x->req;
	h2o_iovec_t name, value;
	size_t i;

	req->res.status = reply->status;
	req->res.reason = http_status_reason(reply->status);
	if (!reply->more)
		req->res.content_length = reply->body.len;
	if (reply->content_type != NULL) {
		value = h2o_strdup(&req->pool, reply->content_type, SIZE_MAX);
		h2o_add_header(&req->pool, &req->res.headers,
		    H2O_TOKEN_CONTENT_TYPE, NULL, value.base, value.len);
	}
	for (i = 0; i < reply->nheaders; i++) {
		name = h2o_strdup(&req->pool, reply->headers[i].name, SIZE_MAX);
		value =
		    h2o_strdup(&req->pool, reply->headers[i].value, SIZE_MAX);
		h2o_strtolower(name.base, name.len);
		h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
		    name.len, 1, NULL, value.base, value.len);
	}
	x->started = true;
	h2o_start_response(req, &x->generator);
}

/* Pass the queued bytes to h2o unless it is still writing. */
static void
exchange_pump(struct exchange *x)
{
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	struct buf swap;
	h2o_iovec_t piece;

	if (x->writing)
		return;
	if (x->aborted)
		state = H2O_SEND_STATE_ERROR;
	else if (x->ended)
		state = H2O_SEND_STATE_FINAL;
	else if (x->queued.len == 0)
		return;
	swap = x->sending;
	x->sending = x->queued;
	x->queued = swap;
	buf_clear(&x->queued);
	x->writing = true;
	if (state != H2O_SEND_STATE_IN_PROGRESS)
		exchange_unregister(x);
	piece = h2o_iovec_init(x->sending.data, x->sending.len);
	h2o_send(x->req, &piece, piece.len > 0 ? 1 : 0, state);
}

bool
http_server_reply(struct http_server *s, const struct node_reply *reply)
{
	struct exchange *x = map_get_u64(s->exchanges, reply->request);

	if (x == NULL || x->started)
		return false;
	exchange_send_head(x, reply);
	buf_append(&x->queued, reply->body.data, reply->body.len);
	x->ended = !reply->more;
	exchange_check_backlog(x);
	exchange_pump(x);
	return true;
}

void
http_server_send(
    struct http_server *s, uint64_t request, struct node_bytes data)
{
	struct exchange *x = map_get_u64(s->exchanges, request);

	if (x == NULL || !x->started || x->ended)
		return;
	if (x->queued.len + data.len > HTTP_QUEUE_LIMIT_BYTES) {
		byte_budget_count_cut(s->budget);
		server_report_disconnect(s, x);
		exchange_abort(x);
		return;
	}
	buf_append(&x->queued, data.data, data.len);
	exchange_check_backlog(x);
	exchange_pump(x);
}

void
http_server_end(struct http_server *s, uint64_t request, bool aborted)
{
	struct exchange *x = map_get_u64(s->exchanges, request);

	if (x == NULL)
		return;
	if (aborted || !x->started) {
		exchange_unregister(x);
		exchange_abort(x);
		return;
	}
	x->ended = true;
	exchange_pump(x);
}

void
exchange_abort(struct exchange *x)
{
	static const struct node_reply error = {.status = 500, .more = true};

	if (x->aborted)
		return;
	x->aborted = true;
	buf_clear(&x->queued);
	if (x->is_http1)
		(void)shutdown(
		    h2o_socket_get_fd(x->connection->socket), SHUT_RDWR);
	if (!x->started)
		exchange_send_head(x, &error);
	exchange_pump(x);
}
