#ifndef MP_HTTP_FRONT_INTERNAL_H
#define MP_HTTP_FRONT_INTERNAL_H

#include <uv.h>

#include "http/front.h"
#include "http/phr.h"
#include "util/buf.h"
#include "util/map.h"

#define FRONT_HEADERS_MAX 100
#define FRONT_READ_BYTES  65536

/* What can be wrong with a request's head; the status to refuse it with. */
enum front_fault {
	FRONT_OK = 0,
	FRONT_INCOMPLETE = -1,
	FRONT_BAD = 400,
	FRONT_TIMEOUT = 408,
	FRONT_BODY_TOO_LARGE = 413,
	FRONT_HEAD_TOO_LARGE = 431,
	FRONT_UNKNOWN_CODING = 501,
	FRONT_BAD_VERSION = 505
};

/* A request's head as parsed; all point into the bytes parsed. */
struct front_head {
	const char *method, *path;
	size_t method_len, path_len;
	int minor_version;
	struct phr_header headers[FRONT_HEADERS_MAX];
	size_t nheaders;
	size_t size_bytes; /* of the head */
	bool chunked;
	uint64_t content_length; /* of the body, when not chunked */
	bool keep_alive; /* the caller keeps the connection */
	bool expects_continue; /* waits for leave to send the body */
};

/* ---- front_parse.c ---- */

/*
 * Parse a head.
 *
 * Returns FRONT_OK, FRONT_INCOMPLETE or why it is refused.
 */
enum front_fault front_parse_head(struct front_head *head, const char *data,
    size_t len, const struct node_limits *limits);

/* ---- front_conn.c ---- */

enum front_phase {
	FRONT_READING_HEAD, /* waits for a request, or for the rest of its head
			     */
	FRONT_READING_BODY,
	FRONT_RESPONDING,
	FRONT_LINGERING, /* answered for the last time */
	FRONT_CLOSING
};

struct front_server {
	uv_loop_t *loop;
	struct http_server_callbacks callbacks;
	void *ctx;
	enum node_listener listener_kind;
	size_t connection_limit;
	struct node_limits default_limits, limits;
	int port;
	bool draining, listener_closed, destroyed;
	uv_tcp_t listener;
	struct front_conn *conns; /* list, newest first */
	size_t open_handles; /* listener, connections' sockets and timers */
	struct map *requests; /* by id, while an answer is due */
	uint64_t last_request;
	char input[FRONT_READ_BYTES];
	void (*done)(void *ctx);
	void *done_ctx;
};

struct front_conn {
	uv_tcp_t tcp;
	uv_timer_t timer; /* idle, or a request that does not get whole */
	uv_shutdown_t shutdown;
	struct front_server *server;
	struct front_conn *next, **link;
	unsigned int open_handles;
	enum front_phase phase;
	struct buf input; /* not yet taken */
	struct buf body; /* of the request, decoded */
	struct front_head head; /* points into head_bytes */
	struct buf head_bytes;
	struct phr_chunked_decoder chunk_decoder;
	uint64_t body_left_bytes; /* of a body of a stated length */
	uint64_t request; /* 0: none is under way */
	bool head_sent; /* the head of the answer was written */
	bool chunked_response, no_body, keep_alive;
	size_t queued_bytes; /* bytes of writes under way */
};

void front_conn_accept(struct front_server *s);
void front_conn_close(struct front_conn *c);
void front_conn_reply(struct front_conn *c, const struct node_reply *reply);
void front_conn_send(struct front_conn *c, struct node_bytes data);
void front_conn_end(struct front_conn *c, bool aborted);
bool front_conn_is_idle(const struct front_conn *c);

/* A handle of the server was closed; ends its shutdown after the last. */
void front_server_release(struct front_server *s);

#endif
