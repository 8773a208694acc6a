/*
 * The API server: configuration of libh2o, listener, reports of disconnected
 * clients and shutdown.
 */

#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "http/address.h"
#include "http/server_internal.h"
#include "util/mem.h"

#define HTTP_BACKLOG 1024

static void on_deferred(uv_timer_t *timer);

/* ---- disconnected clients ---------------------------------------------- */

void
server_defer(struct http_server *s)
{
	(void)uv_timer_start(&s->deferred_timer, on_deferred, 0, 0);
}

void
server_report_disconnect(struct http_server *s, struct exchange *x)
{
	if (x->finished)
		return;
	x->finished = true;
	(void)map_remove_u64(s->exchanges, x->id);
	if (s->ndisconnected == s->disconnected_capacity) {
		s->disconnected_capacity = s->disconnected_capacity == 0
		    ? 16
		    : s->disconnected_capacity * 2;
		s->disconnected = mem_resize(s->disconnected,
		    s->disconnected_capacity, sizeof(*s->disconnected));
	}
	s->disconnected[s->ndisconnected++] = x->id;
	server_defer(s);
}

static void
server_flush_disconnected(struct http_server *s)
{
	uint64_t *ids = s->disconnected;
	size_t i, n = s->ndisconnected;

	s->disconnected = NULL;
	s->ndisconnected = s->disconnected_capacity = 0;
	for (i = 0; i < n; i++)
		s->callbacks.on_disconnect(s->ctx, ids[i]);
	free(ids);
}

/* ---- shutdown ---------------------------------------------------------- */

static void
on_deferred_closed(uv_handle_t *handle)
{
	struct http_server *s = handle->data;
	void (*done)(void *ctx) = s->done;
	void *done_ctx = s->done_ctx;

	if (s->accept.ssl_ctx != NULL)
		SSL_CTX_free(s->accept.ssl_ctx);
	map_destroy(s->exchanges);
	free(s->disconnected);
	free(s);
	if (done != NULL)
		done(done_ctx);
}

static void
server_close_idle(struct http_server *s)
{
	struct connection *c, *next;

	for (c = s->connections; c != NULL; c = next) {
		next = c->next;
		connection_close_if_idle(c);
	}
}

/*
 * h2o_context_dispose() runs one iteration of the loop to close its timers.
 * libuv allows this in a timer's callback, where the loop does not iterate
 * over any of its lists.
 */
static void
on_deferred(uv_timer_t *timer)
{
	struct http_server *s = timer->data;

	server_flush_disconnected(s);
	if (s->phase == SERVER_DRAINING)
		server_close_idle(s);
	if (s->phase != SERVER_DRAINING || !s->listener_closed ||
	    s->nconnections > 0 || s->ndisconnected > 0)
		return;
	s->phase = SERVER_DISPOSING;
	if (h2o_timeout_is_linked(&s->context.http2._graceful_shutdown_timeout))
		h2o_timeout_unlink(
		    &s->context.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&s->context);
	h2o_config_dispose(&s->config);
	uv_close((uv_handle_t *)&s->deferred_timer, on_deferred_closed);
}

static void
on_listener_closed(uv_handle_t *handle)
{
	struct http_server *s = handle->data;

	s->listener_closed = true;
	server_defer(s);
}

void
http_server_destroy(struct http_server *s, void (*done)(void *ctx), void *ctx)
{
	s->phase = SERVER_DRAINING;
	s->done = done;
	s->done_ctx = ctx;
	uv_close((uv_handle_t *)&s->listener, on_listener_closed);
	h2o_context_request_shutdown(&s->context);
	server_close_idle(s);
}

/* ---- creation ---------------------------------------------------------- */

static void
on_connection(uv_stream_t *listener, int status)
{
	if (status == 0)
		connection_accept(listener->data, listener);
}

static int
server_setup_tls(struct http_server *s, const struct http_server_options *o,
    struct mp_error *err)
{
	SSL_CTX *tls = SSL_CTX_new(TLS_server_method());

	if (tls == NULL)
		return mp_error_set(
		    err, MP_LAYER_HTTP, MP_ERR_IO, "no TLS context");
	s->accept.ssl_ctx = tls;
	(void)SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
	if (SSL_CTX_use_certificate_chain_file(tls, o->tls_certificate) != 1)
		return mp_error_set(err, MP_LAYER_HTTP, MP_ERR_INVALID,
		    "cannot use certificate %s", o->tls_certificate);
	if (SSL_CTX_use_PrivateKey_file(tls, o->tls_key, SSL_FILETYPE_PEM) !=
		1 ||
	    SSL_CTX_check_private_key(tls) != 1)
		return mp_error_set(err, MP_LAYER_HTTP, MP_ERR_INVALID,
		    "cannot use key %s", o->tls_key);
	h2o_ssl_register_alpn_protocols(tls, h2o_alpn_protocols);
	return MP_OK;
}

static void
server_setup_h2o(struct http_server *s, const struct http_server_options *o)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct http_handler *handler;

	h2o_config_init(&s->config);
	s->config.server_name = h2o_iovec_init(H2O_STRLIT("mulberrypath"));
	s->config.max_request_entity_size = o->body_limit_bytes;
	s->config.handshake_timeout = o->idle_timeout_ms;
	s->config.http1.req_timeout = o->idle_timeout_ms;
	s->config.http2.idle_timeout = o->idle_timeout_ms;
	host = h2o_config_register_host(
	    &s->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler =
	    (struct http_handler *)h2o_create_handler(path, sizeof(*handler));
	handler->base.on_req = exchange_on_request;
	handler->server = s;
	error_response_register(host);
	h2o_context_init(&s->context, s->loop, &s->config);
	s->accept.ctx = &s->context;
	s->accept.hosts = s->config.hosts;
}

static int
server_listen(struct http_server *s, const char *address, struct mp_error *err)
{
	struct sockaddr_in sin;
	int rc, len = sizeof(sin);

	if (address_parse(&sin, address) != MP_OK)
		return mp_error_set(err, MP_LAYER_HTTP, MP_ERR_IO,
		    "not an address: %s", address);
	rc = uv_tcp_bind(&s->listener, (struct sockaddr *)&sin, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&s->listener, HTTP_BACKLOG, on_connection);
	if (rc == 0)
		rc = uv_tcp_getsockname(
		    &s->listener, (struct sockaddr *)&sin, &len);
	if (rc != 0)
		return mp_error_set(err, MP_LAYER_HTTP, MP_ERR_IO,
		    "cannot listen on %s: %s", address, uv_strerror(rc));
	s->port = ntohs(sin.sin_port);
	return MP_OK;
}

int
http_server_create(struct http_server **out, uv_loop_t *loop,
    const struct http_server_options *options,
    const struct http_server_callbacks *callbacks, void *ctx,
    struct mp_error *err)
{
	struct http_server *s = mem_alloc(1, sizeof(*s));
	int rc = MP_OK;

	*out = NULL;
	(void)signal(SIGPIPE, SIG_IGN);
	s->loop = loop;
	s->callbacks = *callbacks;
	s->ctx = ctx;
	s->header_limit_bytes = options->header_limit_bytes;
	s->connection_limit = options->connection_limit;
	s->budget = options->budget;
	s->exchanges = map_create();
	if (options->tls_certificate != NULL)
		rc = server_setup_tls(s, options, err);
	if (rc != MP_OK) {
		SSL_CTX_free(s->accept.ssl_ctx);
		map_destroy(s->exchanges);
		free(s);
		return rc;
	}
	(void)uv_timer_init(loop, &s->deferred_timer);
	s->deferred_timer.data = s;
	(void)uv_tcp_init(loop, &s->listener);
	s->listener.data = s;
	server_setup_h2o(s, options);
	rc = server_listen(s, options->listen, err);
	if (rc != MP_OK) {
		http_server_destroy(s, NULL, NULL);
		return rc;
	}
	*out = s;
	return MP_OK;
}

int
http_server_get_port(const struct http_server *s)
{
	return s->port;
}
