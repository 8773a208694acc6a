#ifndef MP_HTTP_FRONT_H
#define MP_HTTP_FRONT_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "http/http.h"
#include "mulberrypath/error.h"
#include "mulberrypath/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The front: the HTTP server for clients whose requests are forwarded to
 * endpoints. It differs from the API server (http.h, based on libh2o) in that
 * it
 * - presents each request with all headers as received,
 * - refuses whatever two parsers could read differently (a Content-Length
 *   beside chunked coding, repeated lengths or hosts, other transfer codings),
 *   which prevents request smuggling,
 * - can change its limits while it runs,
 * - drains: it asks clients on keep-alive connections to disconnect before the
 *   process stops.
 * It speaks HTTP/1.1 and HTTP/1.0 and handles one request at a time on each
 * connection; bytes received meanwhile are queued.
 */
struct front_server;

struct front_options {
	const char *listen; /* "ip:port"; port 0 lets the kernel choose one */
	uint64_t first_request_id; /* the first request gets this id plus 1 */
	enum node_listener listener; /* reported with each request */
	size_t connection_limit;
	struct node_limits limits; /* defaults, see front_server_set_limits() */
	/*
	 * For what is buffered of requests and responses; outlives the server.
	 * NULL: no limit.
	 */
	struct byte_budget *budget;
};

/*
 * Create a server and start listening. Sets the process to ignore SIGPIPE.
 *
 * out: the server, to be released by front_server_destroy(); NULL on error.
 * callbacks: copied.
 * Errors: MP_ERR_IO (address).
 */
int front_server_create(struct front_server **out, uv_loop_t *loop,
    const struct front_options *options,
    const struct http_server_callbacks *callbacks, void *ctx,
    struct mp_error *err);

/* Return the bound port. */
int front_server_get_port(const struct front_server *s);

/* Set the limits; a limit of 0 selects the default given at creation. */
void front_server_set_limits(
    struct front_server *s, const struct node_limits *limits);

/*
 * Start a response, send body data, end the response. Unknown request ids
 * (the client has disconnected) are ignored.
 *
 * aborted: reset the connection, so that the client sees an incomplete
 * response.
 * front_server_reply() returns false for an unknown request.
 */
bool front_server_reply(struct front_server *s, const struct node_reply *reply);
void front_server_send(
    struct front_server *s, uint64_t request, struct node_bytes data);
void front_server_end(struct front_server *s, uint64_t request, bool aborted);

/* Close each connection after its next response, also new connections. */
void front_server_drain(struct front_server *s);

/* Stop listening and close idle connections; running requests continue. */
void front_server_close_listener(struct front_server *s);

/*
 * Close all connections and free the server; done is called on the loop.
 * Complete responses that are being written get some time for that.
 */
void front_server_destroy(
    struct front_server *s, void (*done)(void *ctx), void *ctx);

#ifdef __cplusplus
}
#endif

#endif
