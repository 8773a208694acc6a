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
 * The server before callers whose requests are passed through. Unlike the
 * product's own server (http.h, over h2o) it gives each request with all its
 * headers as they came, refuses whatever two parsers could read differently
 * (a length beside chunks, doubled lengths or hosts, other codings), changes
 * its bounds while it runs, and asks callers of kept connections to leave
 * before the process stops. HTTP/1.1 and 1.0; one request at a time on a
 * connection, further bytes wait.
 */
struct front_server;

struct front_options {
	const char *listen; /* "ip:port"; port 0 asks the kernel for one */
	uint64_t first_request_id; /* requests count from the number after it */
	enum node_listener listener;
	size_t connection_limit;
	struct node_limits limits;
};

/* Errors: MP_ERR_IO (address). SIGPIPE is ignored from then on. */
int front_server_create(struct front_server **out, uv_loop_t *loop,
    const struct front_options *options,
    const struct http_server_callbacks *callbacks, void *ctx,
    struct mp_error *err);

/* The bound port. */
int front_server_get_port(const struct front_server *s);

/* Change the bounds; those that are 0 stay as they were created. */
void front_server_set_limits(
    struct front_server *s, const struct node_limits *limits);

/* Answer; requests that are gone are ignored. */
void front_server_reply(struct front_server *s, const struct node_reply *reply);
void front_server_send(
    struct front_server *s, uint64_t request, struct node_bytes data);
void front_server_end(struct front_server *s, uint64_t request, bool aborted);

/* Every answer from now on ends its connection. */
void front_server_drain(struct front_server *s);

/* Take no further connection and no further request; what runs goes on. */
void front_server_close_listener(struct front_server *s);

/* Close all connections; done is called on the loop. */
void front_server_destroy(
    struct front_server *s, void (*done)(void *ctx), void *ctx);

#ifdef __cplusplus
}
#endif

#endif
