#ifndef MP_HTTP_HTTP_H
#define MP_HTTP_HTTP_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "mulberrypath/error.h"
#include "mulberrypath/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- server: h2o on the loop ------------------------------------------- */

struct http_server;

struct http_server_options {
	const char *listen; /* "ip:port"; port 0 asks the kernel for one */
	size_t body_limit_bytes;
	size_t header_limit_bytes;
	size_t connection_limit;
	uint32_t idle_timeout_ms; /* also for a half-sent request */
	const char *tls_certificate, *tls_key; /* NULL: plain */
};

struct http_server_callbacks {
	/* A whole request; its strings live during the call. */
	void (*on_request)(void *ctx, const struct node_request *request);
	/*
	 * The caller hung up before its answer was whole, or reads so slowly
	 * that more than 4 MB wait for it. Called from the loop, never from
	 * within another function of the server. A caller that closes only
	 * its sending side counts as hung up.
	 */
	void (*on_disconnect)(void *ctx, uint64_t request);
};

/*
 * Serve HTTP/1.1 and HTTP/2 (by prior knowledge, upgrade or ALPN). SIGPIPE is
 * ignored from then on. Errors: MP_ERR_IO (address), MP_ERR_INVALID
 * (certificate or key).
 */
int http_server_create(struct http_server **out, uv_loop_t *loop,
    const struct http_server_options *options,
    const struct http_server_callbacks *callbacks, void *ctx,
    struct mp_error *err);

/* The bound port. */
int http_server_get_port(const struct http_server *s);

/*
 * A header of a request that is not yet answered, by its name in lower case;
 * NULL when there is none. It lives as long as the request.
 */
const char *http_server_get_header(
    const struct http_server *s, uint64_t request, const char *name);

/* The serial number of a request's connection; 0 for unknown requests. */
uint64_t http_server_get_connection(
    const struct http_server *s, uint64_t request);

/*
 * Answer; unknown request ids (gone callers) are ignored. The head of an
 * answer with more to come leaves together with its first bytes.
 */
void http_server_reply(struct http_server *s, const struct node_reply *reply);
void http_server_send(
    struct http_server *s, uint64_t request, struct node_bytes data);
void http_server_end(struct http_server *s, uint64_t request, bool aborted);

/*
 * Stop listening, finish what runs, close; done is called on the loop. Until
 * then requests that were half here are still presented and answers taken.
 */
void http_server_destroy(
    struct http_server *s, void (*done)(void *ctx), void *ctx);

/* ---- client: calls to endpoints ---------------------------------------- */

struct http_client;

typedef void (*http_call_cb)(void *ctx, const struct node_call_event *event);

/*
 * Connections are pooled by address. node_call.not_after_us is compared with
 * clock_now_us() just before the first byte is written, also after a slow
 * connect; then NODE_CALL_NOT_SENT. Every call ends in exactly one of
 * NOT_SENT, END, BROKEN unless cancelled. A call on a pooled connection that
 * breaks is BROKEN, not repeated, once a byte was handed to the connection.
 * An answer that does not state where its body ends is BROKEN at its end.
 * A silence_us of 0 sets no limit. Events come from the loop alone.
 */
int http_client_create(struct http_client **out, uv_loop_t *loop,
    http_call_cb cb, void *ctx, struct mp_error *err);
void http_client_start(struct http_client *c, const struct node_call *call);
void http_client_cancel(struct http_client *c, uint64_t call);

/* Drop all calls without further events; done is called on the loop. */
void http_client_destroy(
    struct http_client *c, void (*done)(void *ctx), void *ctx);

#ifdef __cplusplus
}
#endif

#endif
