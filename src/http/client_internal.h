#ifndef MP_HTTP_CLIENT_INTERNAL_H
#define MP_HTTP_CLIENT_INTERNAL_H

#include <h2o.h>
#include <h2o/http1client.h>
#include <uv.h>

#include "http/http.h"
#include "util/buf.h"
#include "util/map.h"

/* Idle connections to one address. */
struct pool {
	h2o_socketpool_t sockets;
	char *address;
	size_t calls; /* under way */
	uint64_t unused_since_ms;
	uv_timer_t release; /* frees the pool after its timers are closed */
	struct http_client *client;
};

struct http_client {
	uv_loop_t *loop;
	http_call_cb cb;
	void *ctx;
	h2o_http1client_ctx_t h2o;
	h2o_timeout_t no_timeout; /* calls have timers of their own */
	struct map *calls; /* by id */
	struct map *pools; /* by address */
	size_t open_handles; /* of calls and pools */
	uv_timer_t sweep; /* drops pools that are not used */
	bool closing, disposed;
	void (*done)(void *ctx);
	void *done_ctx;
};

/* One call; freed when its timer is closed. */
struct call {
	struct http_client *client;
	uint64_t id;
	struct buf request; /* head and body, as sent */
	h2o_iovec_t vector;
	char *address;
	uint64_t not_after_us, silence_us;
	bool fresh;
	bool head_method; /* HEAD: no body follows */
	bool sent; /* a byte was handed to the connection */
	bool delimited; /* the answer says where it ends */
	bool ended; /* no further event may come */
	bool in_callback; /* h2o closes by our return value */
	h2o_http1client_t *connection;
	struct pool *pool;
	uv_timer_t timer;
};

/* Begin a call that was accepted; runs from the loop. */
void call_begin(struct call *call);

/* The pool of an address, made when there is none; NULL: bad address. */
struct pool *pool_get(struct http_client *c, const char *address);

/* Close the pool's connections and free it; it must have no calls. */
void pool_destroy(struct pool *p);

/* A handle of the client was closed; ends its shutdown after the last. */
void client_release(struct http_client *c);

/* Report the last event of a call and drop it. */
void call_end(
    struct call *call, enum node_call_phase phase, const char *reason);

/* Drop a call without a further event. */
void call_drop(struct call *call);

#endif
