#ifndef MP_UTIL_EVENTS_H
#define MP_UTIL_EVENTS_H

#include <stdarg.h>
#include <stddef.h>

#include "mulberrypath/node.h"
#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The catalogue of log events, which docs/LOGS.md describes. */

/* Events logged by the daemon. */
enum event_number {
	EVENT_STARTED = 1,
	EVENT_STOP_REQUESTED = 2,
	EVENT_EXITED = 3,
	EVENT_EXIT_FORCED = 4,
	EVENT_START_FAILED = 5,
	EVENT_BUS_OPEN = 6, /* the bus runs without CURVE keys */
	EVENT_FOLDER_OPENED = 7,
	EVENT_FOLDER_DAMAGED = 8,
	EVENT_SAVE_FAILED = 9,
	EVENT_CLOSE_OVERDUE = 10,
	EVENT_LINES_LOST = 11,
	EVENT_JOURNAL_FAILED = 12,
	EVENT_RELOADED = 13,
	EVENT_LINES_LIMITED = 14,
	EVENT_DISK_FULL = 15,
	EVENT_LOAD = 16,
	EVENT_BUFFERS_SHORT = 17
};

/*
 * Events logged by the reducer, the deterministic state machine of an instance.
 */
enum node_log_event {
	NODE_LOG_STARTED = 100,
	NODE_LOG_FOUNDED = 101,
	NODE_LOG_LEADING = 102,
	NODE_LOG_FOLLOWING = 103,
	NODE_LOG_STANDING = 104,
	NODE_LOG_MEMBER_UP = 105,
	NODE_LOG_MEMBER_DOWN = 106,
	NODE_LOG_MEMBER_LEAVING = 107,
	NODE_LOG_DOCUMENT = 108,
	NODE_LOG_ENDPOINT_UP = 109,
	NODE_LOG_ENDPOINT_GONE = 110,
	NODE_LOG_ENDPOINT_LEAVING = 111,
	NODE_LOG_ORDER_FAILED = 112,
	NODE_LOG_DISK_DAMAGED = 113,
	NODE_LOG_DISK_FAILED = 114,
	NODE_LOG_SNAPSHOT = 115,
	NODE_LOG_STOPPING = 116,
	NODE_LOG_STOPPED = 117,
	NODE_LOG_MALFORMED = 118,
	NODE_LOG_VOTERS = 119,
	NODE_LOG_GATE_REQUEST = 120,
	NODE_LOG_GATE_PLACED = 121,
	NODE_LOG_GATE_CONFIG = 122,
	NODE_LOG_GATE_VERSION = 123,
	NODE_LOG_GATE_CALL_REFUSED = 124,
	NODE_LOG_GATE_PLACER = 125,
	NODE_LOG_GATE_ENDPOINT = 126,
	NODE_LOG_GATE_ORDER = 127,
	NODE_LOG_GATE_TABLE = 128,
	NODE_LOG_GATE_ALONE = 129, /* no placer is reachable, or is again */
	NODE_LOG_GATE_REFUSED = 130, /* a request was not placed */
	NODE_LOG_GATE_BUSY = 131,
	NODE_LOG_GATE_STATE = 132,
	NODE_LOG_GATE_SHARDS = 133,
	NODE_LOG_GATE_NOTICE = 134,
	NODE_LOG_GATE_TRUST = 135, /* how far the configuration is trusted */
	NODE_LOG_GATE_UNREADABLE = 136,
	NODE_LOG_GATE_ENDED = 137, /* a process ended under requests */
	NODE_LOG_GATE_SUSPECTED = 138, /* of a prompt part */
	NODE_LOG_GATE_QUARANTINE = 139,
	NODE_LOG_GATE_LIMIT = 140,
	NODE_LOG_GATE_LIMIT_INVALID = 141,
	NODE_LOG_REPLY_OUTDATED = 142,
	NODE_LOG_GATE_DEREGISTERED = 143,
	NODE_LOG_GATE_BASE_MISMATCH = 150,
	NODE_LOG_GATE_SHARES = 151, /* of accounts, while requests wait */
	NODE_LOG_GATE_QUOTA_OWNER = 152,
	NODE_LOG_GATE_QUOTA = 153, /* exhausted, or no longer */
	NODE_LOG_GATE_FORM = 154, /* of changes: differences or whole texts */
	NODE_LOG_GATE_REPEATED = 155, /* the configuration, as a whole text */
	NODE_LOG_STATE_RECEIVED = 160, /* a snapshot, from another instance */
	NODE_LOG_STATE_REJECTED = 161,
	NODE_LOG_MEMBERS_CHANGED = 165, /* several, by one command */
	NODE_LOG_LEARNER_WAITS = 166,
};

/* An entry of the catalogue. */
struct event_kind {
	int number; /* enum event_number or enum node_log_event */
	enum node_log_level level;
	const char *name; /* as written to the log */
};

/* Returns the kind of an event, or NULL if the number is not in use. */
const struct event_kind *events_find(int number);

/* Returns the i-th kind by ascending number, or NULL after the last. */
const struct event_kind *events_at(size_t i);

/* Returns the name of a level, as in settings. */
const char *events_level_name(enum node_log_level level);

/*
 * Appends the fields of an event.
 *
 * out: the fields are appended as the text of a JSON object.
 * format: the object with the conversions %s, %d, %u, %zu, %llu and %%. %s must
 *     stand within quotes; its string is escaped and truncated, so that a log
 *     line stays short. A NULL string is written as an empty one.
 */
void events_format(struct buf *out, const char *format, va_list args);

#ifdef __cplusplus
}
#endif

#endif
