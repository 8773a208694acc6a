#ifndef MP_UTIL_EVENTS_H
#define MP_UTIL_EVENTS_H

#include <stddef.h>

#include "mulberrypath/node.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The catalogue of log events; docs/LOGS.md describes each. */

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

	EVENT_NODE_STARTED = 100,
	EVENT_LOG_FOUNDED = 101,
	EVENT_LEADING = 102,
	EVENT_NOT_LEADING = 103,
	EVENT_STANDING_CHANGED = 104,
	EVENT_MEMBER_UP = 105,
	EVENT_MEMBER_DOWN = 106,
	EVENT_MEMBER_LEAVING = 107,
	EVENT_DOCUMENT_ACCEPTED = 108,
	EVENT_ENDPOINT_UP = 109,
	EVENT_ENDPOINT_GONE = 110,
	EVENT_ENDPOINT_LEAVING = 111,
	EVENT_ORDER_FAILED = 112,
	EVENT_DISK_DAMAGED = 113,
	EVENT_DISK_FAILED = 114,
	EVENT_SNAPSHOT_TAKEN = 115,
	EVENT_STOPPING = 116,
	EVENT_STOPPED = 117,
	EVENT_MESSAGE_MALFORMED = 118,
	EVENT_VOTERS_CHANGED = 119
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

#ifdef __cplusplus
}
#endif

#endif
