#include "util/events.h"

static const struct event_kind kinds[] = {
    {EVENT_STARTED, NODE_LOG_INFO, "started"},
    {EVENT_STOP_REQUESTED, NODE_LOG_INFO, "stop-requested"},
    {EVENT_EXITED, NODE_LOG_INFO, "exited"},
    {EVENT_EXIT_FORCED, NODE_LOG_WARN, "exit-forced"},
    {EVENT_START_FAILED, NODE_LOG_ERROR, "start-failed"},
    {EVENT_BUS_OPEN, NODE_LOG_WARN, "bus-without-keys"},
    {EVENT_FOLDER_OPENED, NODE_LOG_INFO, "data-folder-opened"},
    {EVENT_FOLDER_DAMAGED, NODE_LOG_ERROR, "data-folder-damaged"},
    {EVENT_SAVE_FAILED, NODE_LOG_ERROR, "save-failed"},
    {EVENT_CLOSE_OVERDUE, NODE_LOG_WARN, "close-overdue"},
    {EVENT_LINES_LOST, NODE_LOG_WARN, "log-lines-lost"},
    {EVENT_NODE_STARTED, NODE_LOG_INFO, "node-started"},
    {EVENT_LOG_FOUNDED, NODE_LOG_INFO, "log-founded"},
    {EVENT_LEADING, NODE_LOG_INFO, "leading"},
    {EVENT_NOT_LEADING, NODE_LOG_INFO, "not-leading"},
    {EVENT_STANDING_CHANGED, NODE_LOG_WARN, "standing-changed"},
    {EVENT_MEMBER_UP, NODE_LOG_INFO, "member-up"},
    {EVENT_MEMBER_DOWN, NODE_LOG_WARN, "member-down"},
    {EVENT_MEMBER_LEAVING, NODE_LOG_INFO, "member-leaving"},
    {EVENT_DOCUMENT_ACCEPTED, NODE_LOG_INFO, "document-accepted"},
    {EVENT_ENDPOINT_UP, NODE_LOG_INFO, "endpoint-up"},
    {EVENT_ENDPOINT_GONE, NODE_LOG_WARN, "endpoint-gone"},
    {EVENT_ENDPOINT_LEAVING, NODE_LOG_INFO, "endpoint-leaving"},
    {EVENT_ORDER_FAILED, NODE_LOG_WARN, "order-failed"},
    {EVENT_DISK_DAMAGED, NODE_LOG_ERROR, "disk-damaged"},
    {EVENT_DISK_FAILED, NODE_LOG_ERROR, "disk-failed"},
    {EVENT_SNAPSHOT_TAKEN, NODE_LOG_DEBUG, "snapshot-taken"},
    {EVENT_STOPPING, NODE_LOG_INFO, "stopping"},
    {EVENT_STOPPED, NODE_LOG_INFO, "stopped"},
    {EVENT_MESSAGE_MALFORMED, NODE_LOG_WARN, "message-malformed"},
    {EVENT_VOTERS_CHANGED, NODE_LOG_INFO, "voters-changed"},
};

#define KINDS (sizeof(kinds) / sizeof(kinds[0]))

const struct event_kind *
events_find(int number)
{
	size_t i;

	for (i = 0; i < KINDS; i++) {
		if (kinds[i].number == number)
			return &kinds[i];
	}
	return NULL;
}

const struct event_kind *
events_at(size_t i)
{
	return i < KINDS ? &kinds[i] : NULL;
}

const char *
events_level_name(enum node_log_level level)
{
	static const char *const names[] = {"debug", "info", "warn", "error"};

	return names[level];
}
