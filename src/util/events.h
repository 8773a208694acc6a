#ifndef MP_UTIL_EVENTS_H
#define MP_UTIL_EVENTS_H

#include <stdarg.h>
#include <stddef.h>

#include "mulberrypath/node.h"
#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The catalogue of log events; docs/LOGS.md describes each. */

/* Those of the daemon. */
enum event_number {
	EVENT_STARTED = 1,
	EVENT_STOP_REQUESTED = 2,
	EVENT_EXITED = 3,
	EVENT_EXIT_FORCED = 4,
	EVENT_START_FAILED = 5,
	EVENT_BUS_OPEN = 6,
	EVENT_FOLDER_OPENED = 7,
	EVENT_FOLDER_DAMAGED = 8,
	EVENT_SAVE_FAILED = 9,
	EVENT_CLOSE_OVERDUE = 10,
	EVENT_LINES_LOST = 11,
	EVENT_JOURNAL_FAILED = 12,
	EVENT_RELOADED = 13,
	EVENT_LINES_LIMITED = 14,
	EVENT_DISK_FULL = 15,
	EVENT_LOAD = 16
};

/* Those of the reducer. */
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
	NODE_LOG_GATE_ALONE = 129,
	NODE_LOG_GATE_REFUSED = 130,
	NODE_LOG_GATE_BUSY = 131,
	NODE_LOG_GATE_STATE = 132,
	NODE_LOG_GATE_SHARDS = 133,
};

struct event_kind {
	int number;
	enum node_log_level level;
	const char *name;
};

/* The kind of an event, or NULL for a number not in the catalogue. */
const struct event_kind *events_find(int number);

/* All kinds by ascending number; NULL past the last. */
const struct event_kind *events_at(size_t i);

/* The name of a level, as in settings. */
const char *events_level_name(enum node_log_level level);

/*
 * Append the fields of an event.
 *
 * out: gets a JSON object as text.
 * format: the object, with conversions %s (within quotes: the string is
 *     escaped and cut to a length a line can take), %d, %u, %zu, %llu and %%.
 */
void events_format(struct buf *out, const char *format, va_list args);

#ifdef __cplusplus
}
#endif

#endif
