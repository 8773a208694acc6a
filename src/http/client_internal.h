#ifndef MP_HTTP_CLIENT_INTERNAL_H
#define MP_HTTP_CLIENT_INTERNAL_H

/*
 * Internals shared by client.c (the public functions), client_call.c (one
 * call), client_conn.c (connections and their pool) and response.c (parser).
 */

#include <uv.h>

#include "http/chunk.h"
#include "http/http.h"
#include "http/phr.h"
#include "util/byte_budget.h"
#include "util/buf.h"
#include "util/map.h"

#define CLIENT_READ_BYTES    65536
#define RESPONSE_HEADERS_MAX 100
/* Limits of a response's head: usually, and while little memory is left. */
#define RESPONSE_HEAD_MAX_BYTES	  65536u
#define RESPONSE_HEAD_SMALL_BYTES 16384u

struct http_client {
	uv_loop_t *loop;
	http_call_cb cb;
	void *ctx;
	struct map *calls; /* by id */
	struct map *pools; /* idle connections by address, newest first */
	struct map *calls_by_request; /* by the caller's request */
	struct map *paused; /* callers' requests whose responses wait */
	struct byte_budget *budget; /* NULL: no limit */
	size_t open_handles; /* calls, connections and the sweep timer */
	uv_timer_t sweep_timer; /* closes connections idle for too long */
	char input[CLIENT_READ_BYTES]; /* read buffer of all connections */
	void (*done)(void *ctx);
	void *done_ctx;
};

/* A connection to an endpoint; it carries one call at a time. */
struct client_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct http_client *client;
	struct call *call; /* NULL: idle or closing */
	char *address;
	struct buf output; /* the request being written */
	bool connected, writing, idle;
	bool is_kept; /* it has carried an earlier call */
	bool reading; /* false: received bytes stay with the kernel */
	uint64_t idle_since_ms;
	uint32_t keep_alive_ms; /* the peer's idle timeout; 0: not stated */
	struct client_conn *next; /* in the pool */
};

enum response_phase {
	RESPONSE_HEAD,
	RESPONSE_BODY_LENGTH, /* the body has a Content-Length */
	RESPONSE_BODY_CHUNKED,
	RESPONSE_BODY_UNTIL_CLOSE, /* complete and cut off look the same */
	RESPONSE_COMPLETE
};

/* State of parsing a response; starts zeroed except for no_body. */
struct response {
	enum response_phase phase;
	struct buf head; /* as received */
	size_t overhead_bytes; /* received since the last progress */
	uint64_t body_left_bytes; /* of a body with a Content-Length */
	struct chunk_reader chunks; /* of a chunked body */
	bool reusable; /* the connection, after a complete response */
	int status;
	char retry_after[64]; /* header values; "" when absent */
	char content_type[128];
	bool no_body; /* responds to a HEAD request */
	bool has_length; /* the response has a Content-Length */
	uint64_t length; /* its value in bytes */
	uint32_t keep_alive_ms; /* the peer's idle timeout; 0: not stated */
	struct node_header headers[RESPONSE_HEADERS_MAX]; /* point into head */
	size_t nheaders;
};

/* One call; freed when its timer is closed. See struct node_call. */
struct call {
	struct http_client *client;
	uint64_t id;
	uint64_t for_request; /* see struct node_call */
	bool paused; /* its response is not read */
	size_t budgeted_bytes; /* of the head, as counted in the budget */
	struct buf request; /* head and body, as sent */
	char *address;
	uint64_t not_after_us, silence_us;
	uint64_t first_byte_silence_us; /* silence_us until the first byte */
	bool fresh_connection;
	bool close_delimited; /* closing ends a response without a length */
	uint32_t idle_limit_ms; /* of a pooled connection; 0: no limit */
	bool sent; /* a byte was passed to the connection */
	bool ended; /* no further event is reported */
	bool is_closed_by_peer; /* why it is broken */
	struct client_conn *conn;
	struct response response;
	uv_timer_t timer;
};

/* ---- client_call.c ---- */

/* Start a call on a pooled or a new connection; called from the loop. */
void call_begin(struct call *call);

/* The connection is established: write the request. */
void call_on_connected(struct call *call);

/* Process received bytes; data is modified in place. */
void call_receive(struct call *call, char *data, size_t len);

/*
 * End a call with BROKEN, or with NOT_SENT when no byte was passed to a
 * connection.
 *
 * reason: static, for people.
 */
void call_fail(struct call *call, const char *reason);

/* The same, since the peer closed or reset the connection. */
void call_fail_closed(struct call *call, const char *reason);

/*
 * The peer closed its side without an error. This completes a response
 * without a length if the call is close_delimited; otherwise the call fails.
 */
void call_on_peer_closed(struct call *call);

/* Stop reading the response and counting silence, or read on. */
void call_set_paused(struct call *call, bool paused);

/* End a call without reporting a further event. */
void call_cancel(struct call *call);

/* ---- client_conn.c ---- */

/*
 * Take an idle connection from the pool or open a new one.
 *
 * Returns NULL and sets reason when there is neither.
 */
struct client_conn *conn_acquire(struct call *call, const char **reason);

/* Read from the connection, or leave received bytes with the kernel. */
void conn_set_reading(struct client_conn *conn, bool reading);

/* Write a request; the connection takes ownership of its bytes. */
void conn_send(struct client_conn *conn, struct buf *request);

/* The call has ended: return the connection to the pool or close it. */
void conn_release(struct client_conn *conn, bool reusable);

/* Close connections that became idle at or before a loop time. */
void conn_close_idle(struct http_client *c, uint64_t before_ms);

/* ---- client.c ---- */

/*
 * Count a closed handle of the client. After the last one the client is freed
 * and its done callback called.
 */
void client_release(struct http_client *c);

/* ---- response.c ---- */

/*
 * Parse further bytes of the head. The head is complete when the phase is no
 * longer RESPONSE_HEAD.
 *
 * max_bytes: limit of the head, and of its interim responses together.
 * rest: set to the number of bytes at the end of data that belong to the body.
 * Returns NULL, or a static text: why the response is malformed.
 */
const char *response_parse_head(struct response *r, const char *data,
    size_t len, size_t max_bytes, size_t *rest);

/*
 * Decode further bytes of the body in place. The response is complete when
 * the phase is RESPONSE_COMPLETE.
 *
 * len: the number of bytes received; set to the number of body bytes.
 * Returns NULL, or a static text: why the response is malformed.
 */
const char *response_decode_body(struct response *r, char *data, size_t *len);

#endif
