#ifndef MP_HTTP_SERVER_INTERNAL_H
#define MP_HTTP_SERVER_INTERNAL_H

/*
 * Internals shared by server.c (the public functions), server_connection.c,
 * server_exchange.c (requests and responses) and error_response.c.
 */

#include <h2o.h>
#include <uv.h>

#include "http/http.h"
#include "util/buf.h"
#include "util/map.h"

/*
 * Limit of the bytes queued for a client that does not read, although its
 * backlog was reported. The response of a client over the limit is aborted.
 */
#define HTTP_QUEUE_LIMIT_BYTES (2 * BYTE_BUDGET_WINDOW_MAX)

enum server_phase {
	SERVER_LISTENING,
	SERVER_DRAINING, /* not listening; running responses continue */
	SERVER_DISPOSING /* no connection is left; h2o is being disposed */
};

struct http_server {
	uv_loop_t *loop;
	struct http_server_callbacks callbacks;
	void *ctx;
	size_t header_limit_bytes, connection_limit;
	struct byte_budget *budget; /* for responses; NULL: no limit */
	enum server_phase phase;
	int port;

	uv_tcp_t listener;
	bool listener_closed;
	uv_timer_t deferred_timer; /* reports disconnects, completes shutdown */
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;

	struct connection *connections; /* list, newest first */
	size_t nconnections;
	struct map *exchanges; /* by request id, until the response ends */
	uint64_t last_request; /* id */
	uint64_t *disconnected; /* request ids to report from the loop */
	size_t ndisconnected, disconnected_capacity;

	void (*done)(void *ctx);
	void *done_ctx;
};

/* One accepted connection. */
struct connection {
	uv_tcp_t tcp;
	uv_poll_t hangup; /* on a descriptor of its own, see
			     connection_watch_hangup() */
	int hangup_fd; /* -1: hang-ups are not watched */
	struct http_server *server;
	h2o_socket_t *socket;
	struct exchange *active; /* HTTP/1 only: the running request */
	size_t nexchanges; /* at most 1 with HTTP/1, several with HTTP/2 */
	int open_handles;
	struct connection *next, **link;
};

/* A request and its response; allocated in the h2o request's memory pool. */
struct exchange {
	h2o_generator_t generator;
	h2o_req_t *req;
	struct http_server *server;
	struct connection *connection;
	uint64_t id;
	struct buf queued; /* bytes not yet passed to h2o */
	struct buf sending; /* bytes that h2o is writing */
	size_t held_bytes; /* of both, as counted in the budget */
	bool has_long_backlog; /* as reported */
	bool is_http1; /* the only request on its connection */
	bool started, writing, ended, aborted, finished;
};

/* The handler that h2o calls with each complete request. */
int exchange_on_request(h2o_handler_t *handler, h2o_req_t *req);

/* Give h2o's own error responses the body that docs/PROTOCOL.md specifies. */
void error_response_register(h2o_hostconf_t *host);

/* Return whether the response was started by http_server_reply(). */
bool exchange_owns_response(const h2o_req_t *req);

/* Abort the response: the client sees a closed connection or reset stream. */
void exchange_abort(struct exchange *x);

/* Report the client's disconnect, from the loop and only once. */
void server_report_disconnect(struct http_server *s, struct exchange *x);

/* Accept a connection and pass it to h2o; refuse it over the limit. */
void connection_accept(struct http_server *s, uv_stream_t *listener);

/* Close the connection unless a request was received, even partially. */
void connection_close_if_idle(struct connection *c);

/* Make the deferred timer fire in the next iteration of the loop. */
void server_defer(struct http_server *s);

/* The h2o handler, with the server that it belongs to. */
struct http_handler {
	h2o_handler_t base;
	struct http_server *server;
};

#endif
