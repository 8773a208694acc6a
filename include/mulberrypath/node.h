#ifndef MULBERRYPATH_NODE_H
#define MULBERRYPATH_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/error.h"
#include "mulberrypath/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The reducer of one instance: a deterministic state machine that takes events
 * and returns effects. It uses no clock, socket, file or source of randomness
 * of its own: time and seeds are part of the events, and every action it wants
 * is an effect. An executor (mulberryd or a test) carries the effects out and
 * reports their results as further events.
 *
 * All times ending in _us are microseconds of a monotonic clock that keeps
 * running while the process is suspended, unless stated otherwise.
 */
struct node;

/* Headers that the reducer itself adds to one reply or call, at most. */
#define NODE_HEADERS_MAX 8

/* Borrowed bytes, not terminated by a zero. */
struct node_bytes {
	const char *data;
	size_t len;
};

struct node_header {
	const char *name; /* lower case */
	const char *value;
};

/* ---- events ------------------------------------------------------------ */

enum node_event_type {
	NODE_EV_TICK, /* time has passed; timers are checked */
	NODE_EV_MESSAGE, /* a message from another instance */
	NODE_EV_REQUEST, /* an HTTP request was received completely */
	NODE_EV_CALLER_GONE, /* the caller closed its connection */
	NODE_EV_CALL, /* progress of an HTTP call (NODE_FX_CALL) */
	NODE_EV_SAVED, /* a save (NODE_FX_SAVE) was synced or failed */
	NODE_EV_STOP /* begin a graceful shutdown */
};

/* The listener that received a request. All but the first are the gateway's. */
enum node_listener {
	NODE_LISTEN_API, /* mulberrypath's own HTTP API */
	NODE_LISTEN_FRONT, /* callers whose requests are forwarded */
	NODE_LISTEN_READINESS, /* health checks of a load balancer */
	NODE_LISTEN_CONTROL, /* endpoints and operators */
	NODE_LISTEN_REGISTRY, /* callers that look up an address to use */
	NODE_LISTENERS /* number of listeners */
};

/* An HTTP request from a caller, an operator or an endpoint. */
struct node_request {
	uint64_t request; /* id, unique while the executor's process runs */
	const char *method;
	const char *path; /* with the query, still percent-encoded */
	const char *authorization; /* header value or NULL */
	const char *idempotency_key; /* header value or NULL */
	const char *timeout; /* "mulberrypath-timeout-ms" or NULL */
	struct node_bytes body;
	const char *content_type; /* header value or NULL */
	enum node_listener listener;
	const struct node_header *headers; /* gateway only: all, unchanged */
	size_t nheaders;
};

/*
 * Progress of an HTTP call. A call reports HEAD, then DATA any number of times,
 * then END; NOT_SENT or BROKEN may end it at any point.
 */
enum node_call_phase {
	NODE_CALL_NOT_SENT, /* failed before any byte was sent */
	NODE_CALL_HEAD, /* status and headers were received */
	NODE_CALL_DATA, /* bytes of the body were received */
	NODE_CALL_END, /* the body is complete */
	NODE_CALL_BROKEN /* failed; bytes may have reached the peer */
};

struct node_call_event {
	uint64_t call;
	enum node_call_phase phase;
	int status; /* HEAD only */
	const char *retry_after; /* HEAD only, header value or NULL */
	struct node_bytes data; /* DATA only */
	const char *reason; /* NOT_SENT and BROKEN: short text */
	const char *content_type; /* HEAD only, header value or NULL */
	const struct node_header *headers; /* HEAD only: all, unchanged */
	size_t nheaders;
	bool has_length; /* HEAD only: the body's length is known */
	uint64_t length; /* of the body in bytes, when has_length */
	/* BROKEN only: the peer has closed or reset the connection */
	bool closed_by_peer;
	/* HEAD only: the connection has carried an earlier call */
	bool is_kept_connection;
};

struct node_event {
	enum node_event_type type;
	union {
		struct {
			uint32_t
			    from; /* instance id, authenticated by the bus */
			struct node_bytes bytes;
		} message;
		struct node_request request;
		uint64_t gone_request; /* CALLER_GONE: id of the request */
		struct node_call_event call;
		struct {
			uint64_t ticket; /* of the node_save */
			bool ok;
			const char *reason; /* of the failure; NULL when ok */
		} saved;
	} u;
};

/* ---- effects ----------------------------------------------------------- */

enum node_effect_type {
	NODE_FX_SEND, /* a message to another instance */
	NODE_FX_REPLY, /* status, headers and first bytes to a caller */
	NODE_FX_REPLY_DATA, /* further bytes */
	NODE_FX_REPLY_END, /* the reply is complete, or aborted */
	NODE_FX_CALL, /* start an HTTP call */
	NODE_FX_CALL_CANCEL, /* abort a call; it reports no further event */
	NODE_FX_SAVE, /* write to the data folder, sync, report the result */
	NODE_FX_LOG, /* write a numbered log event */
	NODE_FX_LIMITS, /* the front's limits on callers have changed */
	NODE_FX_FRONT_CLOSING, /* the front asks callers to disconnect */
	NODE_FX_FRONT_CLOSED, /* the front accepts no further connection */
	NODE_FX_EXIT /* the instance has drained; the process may exit */
};

struct node_send {
	uint32_t to;
	const char *address; /* "ip:port" of the recipient's bus */
	struct node_bytes bytes;
	/*
	 * A large message that others to the same recipient may overtake: it is
	 * sent over a connection of its own.
	 */
	bool bulk;
	/* Bulk messages may follow: that connection is made in advance. */
	bool expects_bulk;
};

struct node_reply {
	uint64_t request;
	int status;
	const char *content_type;
	struct node_header headers[NODE_HEADERS_MAX];
	size_t nheaders;
	const struct node_header *extra_headers; /* forwarded unchanged */
	size_t nextra_headers;
	struct node_bytes body;
	bool more; /* REPLY_DATA and REPLY_END follow */
	bool has_length; /* with more: the total body length is known */
	uint64_t length; /* of the whole body in bytes, when has_length */
	/* The daemon appends the metrics of the process to the body. */
	bool add_process_metrics;
};

struct node_call {
	uint64_t call; /* id, unique while the node exists */
	const char *address; /* "ip:port" */
	const char *method;
	const char *path;
	struct node_header headers[NODE_HEADERS_MAX];
	size_t nheaders;
	const struct node_header *extra_headers; /* forwarded unchanged */
	size_t nextra_headers;
	struct node_bytes body;
	uint64_t not_after_us; /* time after which no byte may be sent */
	uint64_t silence_us; /* timeout between received bytes: BROKEN */
	/* Timeout until the first received byte; 0: silence_us. */
	uint64_t first_byte_silence_us;
	bool fresh_connection; /* do not reuse an idle connection */
	/* Closing the connection ends an answer without a length. */
	bool close_delimited;
	/*
	 * The caller's request that gets the answer; 0: none. While too much
	 * is queued for that caller, the answer is not read.
	 */
	uint64_t for_request;
	/* Reuse no connection that was idle for longer; 0: any. */
	uint32_t idle_limit_ms;
};

enum node_save_kind {
	NODE_SAVE_APPEND, /* truncate the log at index, append records */
	NODE_SAVE_STATE, /* replace term and vote */
	NODE_SAVE_SNAPSHOT /* replace the log up to its index */
};

/*
 * One write to the data folder. Saves are executed in order; the result is
 * reported by ticket after the sync.
 */
struct node_save {
	enum node_save_kind kind;
	uint64_t ticket; /* 0: not reported, a later save's ticket covers it */
	uint64_t index; /* APPEND: of the first record; SNAPSHOT: last one */
	uint64_t term; /* STATE: current term; SNAPSHOT: term at index */
	uint64_t vote; /* STATE: raft id of the candidate, 0 for none */
	size_t count; /* APPEND: number of records in data */
	struct node_bytes data; /* APPEND: records, packed as in raft.h */
};

enum node_log_level {
	NODE_LOG_DEBUG,
	NODE_LOG_INFO,
	NODE_LOG_WARN,
	NODE_LOG_ERROR
};

struct node_log {
	int number; /* as listed in docs/LOGS.md */
	enum node_log_level level;
	const char *name; /* of the event */
	const char *fields; /* text of a JSON object */
};

/* Limits of the front; 0: the value of the settings applies. */
struct node_limits {
	uint32_t header_bytes, body_bytes;
	uint32_t header_timeout_ms, idle_timeout_ms;
};

struct node_effect {
	enum node_effect_type type;
	union {
		struct node_send send;
		struct node_reply reply; /* REPLY */
		struct {
			uint64_t request;
			struct node_bytes data;
		} reply_data;
		struct {
			uint64_t request;
			bool aborted; /* close so that the caller sees an error
				       */
		} reply_end;
		struct node_call call;
		uint64_t cancelled_call; /* CALL_CANCEL: id of the call */
		struct node_save save;
		struct node_log log;
		struct node_limits limits;
	} u;
};

/*
 * The effects of one or more steps, in the order in which they must be
 * executed. All pointers in them stay valid until node_effects_clear().
 */
struct node_effects;

struct node_effects *node_effects_create(void);
void node_effects_destroy(struct node_effects *fx);
void node_effects_clear(struct node_effects *fx);
size_t node_effects_count(const struct node_effects *fx);
const struct node_effect *node_effects_at(
    const struct node_effects *fx, size_t i);

/* Appends a zeroed effect of the given type, for the caller to fill in. */
struct node_effect *node_effects_add(
    struct node_effects *fx, enum node_effect_type type);

/* Copies into memory owned by the effects; each copy is zero-terminated. */
char *node_effects_copy(struct node_effects *fx, const void *p, size_t len);
char *node_effects_printf(struct node_effects *fx, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Copies headers and their strings into memory owned by the effects. */
struct node_header *node_effects_headers(
    struct node_effects *fx, const struct node_header *headers, size_t count);

/* Zeroed memory owned by the effects. */
void *node_effects_alloc(struct node_effects *fx, size_t len);

/* ---- the reducer ------------------------------------------------------- */

/* The content of the data folder when the process starts. */
struct node_disk {
	uint64_t incarnation; /* random, chosen when the folder is created */
	bool fresh; /* the folder has just been created, empty */
	bool damaged; /* acknowledged records may be lost */
	uint64_t term, vote;
	uint64_t snapshot_index, snapshot_term;
	struct node_bytes snapshot;
	uint64_t first_index; /* of the records */
	size_t record_count;
	struct node_bytes records; /* packed as in raft.h */
};

struct gw_codec;

#define NODE_KEY_SECRET_BYTES 16

/* Arguments of node_create(). */
struct node_boot {
	const struct settings *settings; /* must outlive the node */
	uint64_t incarnation; /* of the process; random, not 0 */
	uint64_t seed; /* of the reducer's random number generator */
	uint64_t now_us;
	uint64_t wall_ms; /* since 1970, at now_us; used in reports only */
	const struct node_disk *disk; /* NULL without a data folder */
	const struct gw_codec *codec; /* of the gateway; NULL without one */
	/*
	 * Secret of the hash by which keys of client accounts are looked up;
	 * random. No effect depends on it.
	 */
	uint8_t key_secret[NODE_KEY_SECRET_BYTES];
};

/*
 * Creates a node.
 *
 * out: the new node, released by node_destroy().
 * boot: settings, identity and data folder; all but the settings is copied.
 * err: filled in on failure.
 * Errors: MP_ERR_INVALID, MP_ERR_CORRUPT.
 */
int node_create(
    struct node **out, const struct node_boot *boot, struct mp_error *err);
void node_destroy(struct node *n);

/*
 * Processes one event.
 *
 * now_us: the time of the event; never less than in an earlier call.
 * ev: the event; not referenced after the call.
 * fx: resulting effects are appended here.
 */
void node_step(struct node *n, uint64_t now_us, const struct node_event *ev,
    struct node_effects *fx);

/* The latest time at which the next NODE_EV_TICK is due. */
uint64_t node_next_tick(const struct node *n);

#ifdef __cplusplus
}
#endif

#endif
