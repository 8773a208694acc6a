#ifndef MP_HTTP_SERVER_INTERNAL_H
#define MP_HTTP_SERVER_INTERNAL_H

#include <h2o.h>
#include <uv.h>

#include "http/http.h"
#include "util/buf.h"
#include "util/map.h"

/* Bytes queued for a caller who does not read; beyond it he is cut. */
#define HTTP_QUEUE_LIMIT_BYTES (4u << 20)

enum server_phase {
	SERVER_LISTENING,
	SERVER_DRAINING, /* not listening, answers still running */
	SERVER_DISPOSING
};

struct http_server {
	uv_loop_t *loop;
	struct http_server_callbacks callbacks;
	void *ctx;
	size_t header_limit_bytes, connection_limit;
	enum server_phase phase;
	int port;

	uv_tcp_t listener;
	bool listener_closed;
	uv_timer_t deferred_timer; /* reports gone callers, ends the shutdown */
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;

	struct connection *connections; /* list, newest first */
	size_t nconnections;
	struct map *exchanges; /* by request id, while an answer is due */
	uint64_t last_request;
	uint64_t *disconnected; /* ids to report from the loop */
	size_t ndisconnected, disconnected_capacity;

	void (*done)(void *ctx);
	void *done_ctx;
};

/* One accepted connection. */
struct connection {
	uv_tcp_t tcp;
	uv_poll_t hangup; /* on its own descriptor, see connection_watch() */
	int hangup_fd; /* -1 when there is none */
	struct http_server *server;
	h2o_socket_t *socket;
	struct exchange *active; /* HTTP/1 answers one request at a time */
	size_t nexchanges; /* HTTP/2 several */
	int open_handles;
	struct connection *next, **link;
};

/* One request and its answer; memory of the h2o request's pool. */
struct exchange {
	h2o_generator_t generator;
	h2o_req_t *req;
	struct http_server *server;
	struct connection *connection;
	uint64_t id;
	struct buf queued; /* not yet given to h2o */
	struct buf sending; /* h2o is writing these */
	bool is_http1; /* on its connection, as with HTTP/1 */
	bool started, writing, ended, aborted, finished;
};

/* The handler that h2o calls with each whole request. */
int exchange_on_request(h2o_handler_t *handler, h2o_req_t *req);

/* Make h2o's own error answers say what docs/PROTOCOL.md asks. */
void error_response_register(h2o_hostconf_t *host);

/* Whether the answer comes from http_server_reply(). */
bool exchange_owns_response(const h2o_req_t *req);

/* Drop the answer: the caller sees a closed connection or a reset stream. */
void exchange_abort(struct exchange *x);

/* Report a caller as gone, from the loop and once. */
void server_report_disconnect(struct http_server *s, struct exchange *x);

/* Wrap an accepted stream and hand it to h2o. */
void connection_accept(struct http_server *s, uv_stream_t *listener);

/* Close the connection unless it has bytes of a request or an answer. */
void connection_close_if_idle(struct connection *c);

/* Let the deferred timer fire in the next turn of the loop. */
void server_defer(struct http_server *s);

struct http_handler {
	h2o_handler_t base;
	struct http_server *server;
};

#endif
