#ifndef MP_HTTP_FRONT_INTERNAL_H
#define MP_HTTP_FRONT_INTERNAL_H

/* Internals shared by front.c, front_conn.c and front_parse.c. */

#include <uv.h>

#include "http/chunk.h"
#include "http/front.h"
#include "http/phr.h"
#include "util/buf.h"
#include "util/map.h"

#define FRONT_HEADERS_MAX 100
#define FRONT_READ_BYTES  65536
/* Copies of a request's body: that of the node and that being sent. */
#define FRONT_BODY_COPIES 2u

/*
 * Result of parsing a request. A positive value is the status code of the
 * error response.
 */
enum front_fault {
	FRONT_OK = 0,
	FRONT_INCOMPLETE = -1,
	FRONT_BAD = 400,
	FRONT_TIMEOUT = 408,
	FRONT_BODY_TOO_LARGE = 413,
	FRONT_HEAD_TOO_LARGE = 431,
	FRONT_UNKNOWN_CODING = 501,
	FRONT_OVERLOADED = 503, /* too much is buffered */
	FRONT_BAD_VERSION = 505
};

/* The parsed head of a request; its pointers point into the parsed bytes. */
struct front_head {
	const char *method, *path;
	size_t method_len, path_len;
	int minor_version;
	struct phr_header headers[FRONT_HEADERS_MAX];
	size_t nheaders;
	size_t size_bytes; /* of the head, with the empty line at its end */
	bool chunked;
	uint64_t content_length; /* bytes of the body; 0 when chunked */
	bool keep_alive; /* the client allows a further request */
	bool expects_continue; /* waits for "100 Continue" before the body */
};

/* ---- front_parse.c ---- */

/*
 * Parse and validate the head of a request.
 *
 * head: the result; points into data.
 * Returns FRONT_OK, FRONT_INCOMPLETE when more bytes are needed, or the status
 * code to refuse the request with.
 */
enum front_fault front_parse_head(struct front_head *head, const char *data,
    size_t len, const struct node_limits *limits);

/* ---- front_conn.c ---- */

enum front_phase {
	FRONT_READING_HEAD, /* idle, or the head is incomplete */
	FRONT_READING_BODY,
	FRONT_RESPONDING, /* the request was presented */
	FRONT_LINGERING, /* last response sent; waits for the client's close */
	FRONT_CLOSING
};

struct front_server {
	uv_loop_t *loop;
	struct http_server_callbacks callbacks;
	void *ctx;
	enum node_listener listener_kind;
	size_t connection_limit;
	struct node_limits default_limits, limits;
	struct byte_budget *budget; /* NULL: no limit */
	int port;
	bool draining, listener_closed, destroyed;
	uint64_t gave_up_ms; /* when a slow client was cut off last */
	uv_tcp_t listener;
	struct front_conn *conns; /* list, newest first */
	size_t open_handles; /* listener, connections' sockets and timers */
	struct map *requests; /* request id to connection, until responded to */
	uint64_t last_request; /* id */
	char input[FRONT_READ_BYTES]; /* read buffer of all connections */
	uv_timer_t *flush_timer; /* while destroyed: for the last responses */
	void (*done)(void *ctx);
	void *done_ctx;
};

struct front_conn {
	uv_tcp_t tcp;
	uv_timer_t timer; /* timeout of an idle connection or partial request */
	uv_shutdown_t shutdown;
	struct front_server *server;
	struct front_conn *next, **link;
	unsigned int open_handles;
	enum front_phase phase;
	struct buf input; /* received, not yet parsed */
	struct buf body; /* of the request, decoded */
	struct front_head head; /* points into head_bytes */
	struct buf head_bytes;
	struct chunk_reader chunks; /* of a chunked body */
	uint64_t body_left_bytes; /* of a body of a stated length */
	uint64_t request; /* id; 0: no request is running */
	bool head_sent; /* the head of the response was written */
	bool chunked_response, no_body, keep_alive;
	size_t queued_bytes; /* of writes that have not completed */
	uint64_t request_bytes; /* reserved for the request's body */
	uint64_t held_bytes; /* all of these, as counted in the budget */
	uint64_t backlog_request; /* whose long backlog is reported; 0: none */
	uint64_t waits_since_ms; /* its source, if backlog_request is set */
	/* while more than a window was queued and the client has not read it */
	uint64_t slow_since_ms; /* 0: it is not slow */
	uint64_t slow_from_bytes; /* acknowledged by then */
	uint64_t written_bytes; /* all that was written to it */
	/* queued when its window was extended last; 0: it is not */
	size_t extended_from_bytes;
	bool input_paused; /* the next request waits for the client to read */
};

/* Accept a connection; close it at once over the connection limit. */
void front_conn_accept(struct front_server *s);

/* Close a connection without reporting a disconnect; freed on the loop. */
void front_conn_close(struct front_conn *c);

/*
 * Reset a connection whose request is removed, so that the client sees an
 * incomplete response.
 */
void front_conn_reset(struct front_conn *c);

/* Close a connection; its disconnect is reported if a request is running. */
void front_conn_disconnect(struct front_conn *c);

/*
 * Reset a connection whose client reads too slowly; its disconnect is reported
 * if a request is running.
 */
void front_conn_cut_off(struct front_conn *c);

/* Close it after all bytes were sent and the client has closed its side. */
void front_conn_linger(struct front_conn *c);

/* Call front_conn_extend_backlog() after ms, if the response goes on. */
void front_conn_start_extend_timer(struct front_conn *c, uint64_t ms);

/* Start the timeout of its phase, if that has one. */
void front_conn_start_timeout(struct front_conn *c);

/* See front_server_reply(), front_server_send() and front_server_end(). */
void front_conn_reply(struct front_conn *c, const struct node_reply *reply);
void front_conn_send(struct front_conn *c, struct node_bytes data);
void front_conn_end(struct front_conn *c, bool aborted);

/* ---- front_request.c ---- */

/* Read what was received of a request, and present it once it is complete. */
void front_conn_process_input(struct front_conn *c);

/* ---- front_response.c ---- */

/* Write bytes, or queue what the client does not take now. */
void front_conn_write(struct front_conn *c, const char *data, size_t len);

/* Refuse a request that was not presented, and close the connection. */
void front_conn_refuse(struct front_conn *c, enum front_fault fault);

/* ---- front_buffer.c ---- */

/* Count what the connection buffers, after each change of it. */
void front_conn_count_held(struct front_conn *c);

/* Reserve the memory for a body of a request; false: there is too little. */
bool front_conn_reserve_body(struct front_conn *c, uint64_t body_bytes);

/* Compare what is queued for the client with what may be, and report it. */
void front_conn_check_backlog(struct front_conn *c);

/*
 * The source of a response has waited for its client for a while: let it go on
 * if there is memory for that, or give up the slowest client's response.
 */
void front_conn_extend_backlog(struct front_conn *c);

/* Report that the backlog is too long, or no longer; only changes are. */
void front_conn_report_backlog(struct front_conn *c, bool is_long);

/* Empty a buffer, and keep only little memory for its next use. */
void front_buffer_reset(struct buf *b);

/* ---- front_conn.c ---- */

/* Return whether the connection waits for a request and has no bytes of it. */
bool front_conn_is_idle(const struct front_conn *c);

/*
 * Cut off the connection that buffers most if the budget is exceeded; none that
 * keeps to the smallest window.
 */
void front_server_keep_budget(struct front_server *s);

/* A connection was closed; finishes a destroyed server after the last one. */
void front_server_conn_closed(struct front_server *s);

/*
 * Count a closed handle of the server. After the last one a destroyed server
 * is freed and its done callback called.
 */
void front_server_release(struct front_server *s);

#endif
