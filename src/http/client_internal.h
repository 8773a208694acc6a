#ifndef MP_HTTP_CLIENT_INTERNAL_H
#define MP_HTTP_CLIENT_INTERNAL_H

#include <uv.h>

#include "http/http.h"
#include "http/phr.h"
#include "util/buf.h"
#include "util/map.h"

#define CLIENT_READ_BYTES    65536
#define RESPONSE_HEADERS_MAX 100

struct http_client {
	uv_loop_t *loop;
	http_call_cb cb;
	void *ctx;
	struct map *calls; /* by id */
	struct map *pools; /* idle connections by address, latest first */
	size_t open_handles; /* calls, connections and the sweep timer */
	uv_timer_t sweep_timer;
	char input[CLIENT_READ_BYTES];
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
	uint64_t idle_since_ms;
	uint32_t keep_alive_ms; /* the peer closes it when idle so long; 0: ? */
	struct client_conn *next; /* in the pool */
};

enum response_phase {
	RESPONSE_HEAD,
	RESPONSE_BODY_LENGTH, /* a body of a stated length */
	RESPONSE_BODY_CHUNKED,
	RESPONSE_BODY_UNTIL_CLOSE, /* its end cannot be told from a break */
	RESPONSE_COMPLETE
};

/* An answer as it comes in. */
struct response {
	enum response_phase phase;
	struct buf head; /* not yet parsed */
	size_t overhead_bytes; /* bytes since the last that told something */
	uint64_t body_left_bytes; /* of a body of a stated length */
	struct phr_chunked_decoder chunk_decoder;
	bool reusable; /* the connection, when the answer is whole */
	int status;
	char retry_after[64]; /* these two: "" without */
	char content_type[128];
	bool no_body; /* the answer of a HEAD request */
	bool has_length; /* the body has this length */
	uint64_t length;
	uint32_t
	    keep_alive_ms; /* the peer keeps an idle connection so long; 0: ? */
	struct node_header headers[RESPONSE_HEADERS_MAX]; /* point into head */
	size_t nheaders;
};

/* One call; freed when its timer is closed. */
struct call {
	struct http_client *client;
	uint64_t id;
	struct buf request; /* head and body, as sent */
	char *address;
	uint64_t not_after_us, silence_us;
	uint64_t first_byte_silence_us; /* silence before the first byte */
	bool fresh_connection;
	bool close_delimited; /* an answer without a length ends with its close
			       */
	uint32_t idle_limit_ms; /* of a connection to be used again; 0: any */
	bool sent; /* a byte was handed to the connection */
	bool ended; /* no further event may come */
	struct client_conn *conn;
	struct response response;
	uv_timer_t timer;
};

/* ---- client_call.c ---- */

/* Begin a call that was accepted; runs from the loop. */
void call_begin(struct call *call);

/* The connection is there. */
void call_on_connected(struct call *call);

/* Bytes have come in; they may be changed. */
void call_receive(struct call *call, char *data, size_t len);

/* The connection failed or was closed by the peer. */
void call_fail(struct call *call, const char *reason);

/* The peer closed its side in order: the end of some answers. */
void call_on_peer_closed(struct call *call);

/* Drop a call without a further event. */
void call_cancel(struct call *call);

/* ---- client_conn.c ---- */

/* An idle connection or a new one; NULL and the reason when neither. */
struct client_conn *conn_acquire(struct call *call, const char **reason);

/* Write the call's request; it moves into the connection. */
void conn_send(struct client_conn *conn, struct buf *request);

/* The call is over: keep the connection idle, or close it. */
void conn_release(struct client_conn *conn, bool reusable);

/* Close connections that were idle since before a time. */
void conn_close_idle(struct http_client *c, uint64_t before_ms);

/* ---- client.c ---- */

/* A handle of the client was closed; ends its shutdown after the last. */
void client_release(struct http_client *c);

/* ---- response.c ---- */

/*
 * Take bytes of the head.
 *
 * rest: how many of the last ones belong to the body, when it is whole.
 * Returns NULL, or why the answer is malformed; the phase tells the rest.
 */
const char *response_parse_head(
    struct response *r, const char *data, size_t len, size_t *rest);

/*
 * Take bytes of the body, decoding them in place.
 *
 * len: the bytes there are; becomes the length of what is body.
 * Returns NULL, or why the answer is malformed.
 */
const char *response_decode_body(struct response *r, char *data, size_t *len);

#endif
