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
 * The reducer of one instance. It has no clock, socket, file or random call:
 * time and seeds come in with events, all it wants done goes out as effects.
 * A program (mulberryd) or a test executes the effects and feeds back what
 * came of them. Times are microseconds of a clock that never goes back and
 * keeps running while the process is stopped.
 */
struct node;

#define NODE_HEADERS_MAX 8

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
	NODE_EV_TICK, /* time has passed */
	NODE_EV_MESSAGE, /* bytes from another instance */
	NODE_EV_REQUEST, /* a whole HTTP request has come in */
	NODE_EV_CALLER_GONE, /* the caller of a request has hung up */
	NODE_EV_CALL, /* progress of an HTTP call this node ordered */
	NODE_EV_SAVED, /* a save is on disk, or failed */
	NODE_EV_STOP /* a graceful shutdown is wanted */
};

/* Where a request came in: the product's own interface or the gateway's. */
enum node_listener {
	NODE_LISTEN_API,
	NODE_LISTEN_FRONT, /* callers whose requests are passed through */
	NODE_LISTEN_READINESS,
	NODE_LISTEN_CONTROL, /* endpoints and operators */
	NODE_LISTEN_REGISTRY, /* callers that ask which address to use */
	NODE_LISTENERS
};

/* An HTTP request from a caller, an operator or an endpoint. */
struct node_request {
	uint64_t request; /* chosen by the executor, unique in its life */
	const char *method;
	const char *path; /* with the query, percent-encoding untouched */
	const char *authorization; /* header value or NULL */
	const char *idempotency_key; /* header value or NULL */
	const char *timeout; /* "mulberrypath-timeout-ms" or NULL */
	struct node_bytes body;
	const char *content_type; /* header value or NULL */
	enum node_listener listener;
	const struct node_header *headers; /* gateway's: all, as they came */
	size_t nheaders;
};

enum node_call_phase {
	NODE_CALL_NOT_SENT, /* ended; no byte of the request left */
	NODE_CALL_HEAD, /* status and headers are here */
	NODE_CALL_DATA, /* bytes of the body */
	NODE_CALL_END, /* ended; the body is complete */
	NODE_CALL_BROKEN /* ended; bytes may have reached the other side */
};

struct node_call_event {
	uint64_t call;
	enum node_call_phase phase;
	int status; /* HEAD only */
	const char *retry_after; /* HEAD only, header value or NULL */
	struct node_bytes data; /* DATA only */
	const char *reason; /* NOT_SENT, BROKEN: short text */
	const char *content_type; /* HEAD only, header value or NULL */
	const struct node_header *headers; /* HEAD only: all, as they came */
	size_t nheaders;
	bool has_length; /* HEAD only: the body is of a stated length */
	uint64_t length;
};

struct node_event {
	enum node_event_type type;
	union {
		struct {
			uint32_t from; /* instance id, proved by its key */
			struct node_bytes bytes;
		} message;
		struct node_request request;
		uint64_t gone_request;
		struct node_call_event call;
		struct {
			uint64_t ticket;
			bool ok;
			const char *reason; /* when not ok */
		} saved;
	} u;
};

/* ---- effects ----------------------------------------------------------- */

enum node_effect_type {
	NODE_FX_SEND, /* a message to another instance */
	NODE_FX_REPLY, /* status, headers and first bytes to a caller */
	NODE_FX_REPLY_DATA, /* further bytes */
	NODE_FX_REPLY_END, /* the answer is whole, or cut when aborted */
	NODE_FX_CALL, /* start an HTTP call */
	NODE_FX_CALL_CANCEL, /* drop a call; no further event comes from it */
	NODE_FX_SAVE, /* write to the data folder, sync, report back */
	NODE_FX_LOG, /* a numbered log event */
	NODE_FX_LIMITS, /* the front's bounds on callers have changed */
	NODE_FX_FRONT_CLOSING, /* the front asks callers to leave */
	NODE_FX_FRONT_CLOSED, /* the front takes no further connection */
	NODE_FX_EXIT /* the instance has drained and may end */
};

struct node_send {
	uint32_t to;
	const char *address; /* "ip:port" of the peer's bus */
	struct node_bytes bytes;
};

struct node_reply {
	uint64_t request;
	int status;
	const char *content_type;
	struct node_header headers[NODE_HEADERS_MAX];
	size_t nheaders;
	const struct node_header *extra_headers; /* further ones, unchanged */
	size_t nextra_headers;
	struct node_bytes body;
	bool more; /* REPLY_DATA and REPLY_END follow */
	bool has_length; /* with more: the whole body has this length */
	uint64_t length;
};

struct node_call {
	uint64_t call; /* unique in the node's life */
	const char *address; /* "ip:port" */
	const char *method;
	const char *path;
	struct node_header headers[NODE_HEADERS_MAX];
	size_t nheaders;
	const struct node_header *extra_headers; /* further ones, unchanged */
	size_t nextra_headers;
	struct node_bytes body;
	uint64_t not_after_us; /* send no byte later than this */
	uint64_t silence_us; /* BROKEN after so long without a byte */
	uint64_t first_byte_silence_us; /* the same, before the first byte; 0:
					   silence_us */
	bool fresh_connection; /* do not reuse an idle connection */
	bool close_delimited; /* an answer without a length ends with its close
			       */
	uint32_t idle_limit_ms; /* reuse none that was idle longer; 0: any */
};

enum node_save_kind {
	NODE_SAVE_APPEND, /* log records, after cutting from first_index */
	NODE_SAVE_STATE, /* term and vote */
	NODE_SAVE_SNAPSHOT /* replaces the log up to its index */
};

/* One write. Saves run in order; a ticket is reported after its sync. */
struct node_save {
	enum node_save_kind kind;
	uint64_t ticket; /* 0: no report wanted, a later save carries it */
	uint64_t index; /* APPEND: first record's; SNAPSHOT: last covered */
	uint64_t term; /* STATE: current term; SNAPSHOT: term at index */
	uint64_t vote; /* STATE: the voter voted for, 0 for none */
	size_t count; /* APPEND: number of records in data */
	struct node_bytes data; /* APPEND: records as raft.h packs them */
};

enum node_log_level {
	NODE_LOG_DEBUG,
	NODE_LOG_INFO,
	NODE_LOG_WARN,
	NODE_LOG_ERROR
};

struct node_log {
	int number; /* docs/LOGS.md */
	enum node_log_level level;
	const char *name; /* short name of the event */
	const char *fields; /* JSON object text */
};

/* LIMITS: 0 keeps what the settings say. */
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
			bool aborted; /* close so that the caller sees it */
		} reply_end;
		struct node_call call;
		uint64_t cancelled_call;
		struct node_save save;
		struct node_log log;
		struct node_limits limits;
	} u;
};

/*
 * The effects of one or more steps, in the order they must be carried out.
 * All pointers in them live until node_effects_clear().
 */
struct node_effects;

struct node_effects *node_effects_create(void);
void node_effects_destroy(struct node_effects *fx);
void node_effects_clear(struct node_effects *fx);
size_t node_effects_count(const struct node_effects *fx);
const struct node_effect *node_effects_at(
    const struct node_effects *fx, size_t i);

/* Append a zeroed effect of a type, for the caller to fill. */
struct node_effect *node_effects_add(
    struct node_effects *fx, enum node_effect_type type);

/* Memory that lives as long as the effects; the copies end in a zero. */
char *node_effects_copy(struct node_effects *fx, const void *p, size_t len);
char *node_effects_printf(struct node_effects *fx, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* A copy of headers with their texts. */
struct node_header *node_effects_headers(
    struct node_effects *fx, const struct node_header *headers, size_t count);

/* Zeroed memory that lives as long as the effects. */
void *node_effects_alloc(struct node_effects *fx, size_t len);

/* ---- the reducer ------------------------------------------------------- */

/* What the data folder held; NULL for an instance without one. */
struct node_disk {
	uint64_t incarnation; /* random, made with the folder's identity */
	bool fresh; /* made just now: nothing was there before */
	bool damaged; /* acknowledged records may be lost */
	uint64_t term, vote;
	uint64_t snapshot_index, snapshot_term;
	struct node_bytes snapshot;
	uint64_t first_index; /* of the records */
	size_t record_count;
	struct node_bytes records; /* as raft.h packs them */
};

struct gw_codec;

struct node_boot {
	const struct settings *settings; /* outlives the node */
	uint64_t incarnation; /* random and not 0; of the process */
	uint64_t seed; /* for every random choice of the reducer */
	uint64_t now_us;
	uint64_t wall_ms; /* since 1970, at now_us; for reports only */
	const struct node_disk *disk;
	const struct gw_codec *codec; /* of the gateway; NULL without one */
};

/*
 * Make a node.
 *
 * out: the new node.
 * boot: settings, identity and what was on disk; copied, but the settings.
 * err: filled on failure.
 * Errors: MP_ERR_INVALID, MP_ERR_CORRUPT.
 */
int node_create(
    struct node **out, const struct node_boot *boot, struct mp_error *err);
void node_destroy(struct node *n);

/*
 * Take one event.
 *
 * now_us: the time of the event; never less than in an earlier call.
 * ev: the event; its bytes are not kept.
 * fx: effects are appended here.
 */
void node_step(struct node *n, uint64_t now_us, const struct node_event *ev,
    struct node_effects *fx);

/* When the next NODE_EV_TICK is due at the latest, in microseconds. */
uint64_t node_next_tick(const struct node *n);

#ifdef __cplusplus
}
#endif

#endif
