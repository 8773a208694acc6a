#ifndef MP_HTTP_HTTP_H
#define MP_HTTP_HTTP_H

/*
 * HTTP server and HTTP client on a libuv loop. All functions must be called
 * on the thread that runs the loop.
 */

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "mulberrypath/error.h"
#include "mulberrypath/node.h"
#include "util/byte_budget.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- server: libh2o on the loop ---------------------------------------- */

struct http_server;

struct http_server_options {
	const char *listen; /* "ip:port"; port 0 lets the kernel choose one */
	size_t body_limit_bytes;
	size_t header_limit_bytes;
	size_t connection_limit;
	uint32_t idle_timeout_ms; /* also the timeout of a partial request */
	const char *tls_certificate, *tls_key; /* NULL: no TLS */
	struct byte_budget *budget; /* for responses; NULL: no limit */
};

struct http_server_callbacks {
	/*
	 * Receives a complete request. Its strings are valid only during the
	 * call.
	 */
	void (*on_request)(void *ctx, const struct node_request *request);
	/*
	 * The client disconnected before its response was complete, or more
	 * than 8 MB are queued for it because it reads too slowly. Called
	 * from the loop, never from within another function of the server. A
	 * client that closes only its sending side counts as disconnected.
	 */
	void (*on_disconnect)(void *ctx, uint64_t request);
	/*
	 * NULL, or reports that more is queued for a request's client than it
	 * should be, as it reads too slowly, and that it is not any more, or
	 * that the response has ended. In between, no more should be sent.
	 */
	void (*on_backlog)(void *ctx, uint64_t request, bool is_long);
};

/*
 * Create a server for HTTP/1.1 and HTTP/2 (by prior knowledge, upgrade or
 * ALPN) and start listening. Sets the process to ignore SIGPIPE.
 *
 * out: the server, to be released by http_server_destroy(); NULL on error.
 * callbacks: copied.
 * Errors: MP_ERR_IO (address), MP_ERR_INVALID (certificate or key).
 */
int http_server_create(struct http_server **out, uv_loop_t *loop,
    const struct http_server_options *options,
    const struct http_server_callbacks *callbacks, void *ctx,
    struct mp_error *err);

/* Return the bound port. */
int http_server_get_port(const struct http_server *s);

/*
 * Look up a header of a request whose response is not complete.
 *
 * name: in lower case.
 * Returns NULL when the request or the header does not exist. The value is
 * valid as long as the request.
 */
const char *http_server_get_header(
    const struct http_server *s, uint64_t request, const char *name);

/* Return the serial number of a request's connection; 0: unknown request. */
uint64_t http_server_get_connection(
    const struct http_server *s, uint64_t request);

/*
 * Start a response, send body data, end the response. Unknown request ids
 * (the client has disconnected) are ignored. When reply->more is set, the
 * head is sent together with the first bytes of the body.
 *
 * aborted: close the connection or reset the stream, so that the client sees
 * an incomplete response.
 * http_server_reply() returns false for an unknown request.
 */
bool http_server_reply(struct http_server *s, const struct node_reply *reply);
void http_server_send(
    struct http_server *s, uint64_t request, struct node_bytes data);
void http_server_end(struct http_server *s, uint64_t request, bool aborted);

/*
 * Stop listening, wait for running requests to complete, close all
 * connections and free the server; done is then called on the loop. Until
 * then requests that were partially received are still passed to on_request
 * and responses are accepted.
 */
void http_server_destroy(
    struct http_server *s, void (*done)(void *ctx), void *ctx);

/* ---- client: calls to endpoints ---------------------------------------- */

struct http_client;

typedef void (*http_call_cb)(void *ctx, const struct node_call_event *event);

/*
 * Create a client that keeps a pool of idle connections for each address.
 *
 * node_call.not_after_us is compared with clock_now_us() just before the first
 * byte is written, also after a slow connect; a call past that time ends with
 * NODE_CALL_NOT_SENT. Every call ends with exactly one of NOT_SENT, END and
 * BROKEN unless it is cancelled. Once a byte was passed to a connection, a
 * call that fails is BROKEN and is not retried, also on a pooled connection.
 * A response that does not state where its body ends is BROKEN at its end
 * unless node_call.close_delimited is set. A silence_us of 0 sets no limit.
 * Events are reported from the loop only.
 *
 * out: released by http_client_destroy(); NULL on error.
 * Errors: MP_ERR_IO.
 */
int http_client_create(struct http_client **out, uv_loop_t *loop,
    http_call_cb cb, void *ctx, struct mp_error *err);

/* Start a call; everything that it points to is copied. */
void http_client_start(struct http_client *c, const struct node_call *call);

/* End a call without further events; unknown call ids are ignored. */
void http_client_cancel(struct http_client *c, uint64_t call);

/*
 * Count what is buffered of responses in a budget, which outlives the client,
 * and read less at a time while little of it is left.
 */
void http_client_set_budget(struct http_client *c, struct byte_budget *budget);

/*
 * Stop reading the response that is for a request of a caller (struct
 * node_call), and that of each later call for it, or read on. No silence
 * counts meanwhile.
 */
void http_client_pause(struct http_client *c, uint64_t request, bool paused);

/*
 * Cancel all calls without further events, close all connections and free the
 * client; done is then called on the loop.
 */
void http_client_destroy(
    struct http_client *c, void (*done)(void *ctx), void *ctx);

#ifdef __cplusplus
}
#endif

#endif
