#include <stdlib.h>
#include <string.h>

#include "util/events.h"
#include "util/mem.h"

/* Longer strings in event fields are truncated. */
#define EVENT_STRING_BYTES_MAX 400

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
    {EVENT_JOURNAL_FAILED, NODE_LOG_WARN, "journal-failed"},
    {EVENT_RELOADED, NODE_LOG_INFO, "reloaded"},
    {EVENT_LINES_LIMITED, NODE_LOG_WARN, "log-lines-limited"},
    {EVENT_DISK_FULL, NODE_LOG_ERROR, "disk-full"},
    {EVENT_LOAD, NODE_LOG_INFO, "process-load"},
    {EVENT_BUFFERS_SHORT, NODE_LOG_WARN, "buffers-short"},
    {NODE_LOG_STARTED, NODE_LOG_INFO, "node-started"},
    {NODE_LOG_FOUNDED, NODE_LOG_INFO, "log-founded"},
    {NODE_LOG_LEADING, NODE_LOG_INFO, "leading"},
    {NODE_LOG_FOLLOWING, NODE_LOG_INFO, "not-leading"},
    {NODE_LOG_STANDING, NODE_LOG_WARN, "standing-changed"},
    {NODE_LOG_MEMBER_UP, NODE_LOG_INFO, "member-up"},
    {NODE_LOG_MEMBER_DOWN, NODE_LOG_WARN, "member-down"},
    {NODE_LOG_MEMBER_LEAVING, NODE_LOG_INFO, "member-leaving"},
    {NODE_LOG_DOCUMENT, NODE_LOG_INFO, "document-accepted"},
    {NODE_LOG_ENDPOINT_UP, NODE_LOG_INFO, "endpoint-up"},
    {NODE_LOG_ENDPOINT_GONE, NODE_LOG_WARN, "endpoint-gone"},
    {NODE_LOG_ENDPOINT_LEAVING, NODE_LOG_INFO, "endpoint-leaving"},
    {NODE_LOG_ORDER_FAILED, NODE_LOG_WARN, "order-failed"},
    {NODE_LOG_DISK_DAMAGED, NODE_LOG_ERROR, "disk-damaged"},
    {NODE_LOG_DISK_FAILED, NODE_LOG_ERROR, "disk-failed"},
    {NODE_LOG_SNAPSHOT, NODE_LOG_DEBUG, "snapshot-taken"},
    {NODE_LOG_STOPPING, NODE_LOG_INFO, "stopping"},
    {NODE_LOG_STOPPED, NODE_LOG_INFO, "stopped"},
    {NODE_LOG_MALFORMED, NODE_LOG_WARN, "message-malformed"},
    {NODE_LOG_VOTERS, NODE_LOG_INFO, "voters-changed"},
    {NODE_LOG_GATE_REQUEST, NODE_LOG_INFO, "request-ended"},
    {NODE_LOG_GATE_PLACED, NODE_LOG_INFO, "request-placed"},
    {NODE_LOG_GATE_CONFIG, NODE_LOG_INFO, "config-in-force"},
    {NODE_LOG_GATE_VERSION, NODE_LOG_INFO, "adapter-version"},
    {NODE_LOG_GATE_CALL_REFUSED, NODE_LOG_WARN, "call-refused"},
    {NODE_LOG_GATE_PLACER, NODE_LOG_INFO, "placer"},
    {NODE_LOG_GATE_ENDPOINT, NODE_LOG_INFO, "endpoint-changed"},
    {NODE_LOG_GATE_ORDER, NODE_LOG_INFO, "order-ended"},
    {NODE_LOG_GATE_TABLE, NODE_LOG_INFO, "table-taken"},
    {NODE_LOG_GATE_ALONE, NODE_LOG_WARN, "placer-silent"},
    {NODE_LOG_GATE_REFUSED, NODE_LOG_INFO, "request-not-placed"},
    {NODE_LOG_GATE_BUSY, NODE_LOG_WARN, "placer-busy"},
    {NODE_LOG_GATE_STATE, NODE_LOG_INFO, "placing-state"},
    {NODE_LOG_GATE_SHARDS, NODE_LOG_INFO, "shards-owned"},
    {NODE_LOG_GATE_NOTICE, NODE_LOG_INFO, "endpoint-notice"},
    {NODE_LOG_GATE_TRUST, NODE_LOG_INFO, "config-trust"},
    {NODE_LOG_GATE_UNREADABLE, NODE_LOG_ERROR, "config-unreadable"},
    {NODE_LOG_GATE_ENDED, NODE_LOG_WARN, "endpoint-ended"},
    {NODE_LOG_GATE_SUSPECTED, NODE_LOG_WARN, "part-suspected"},
    {NODE_LOG_GATE_QUARANTINE, NODE_LOG_WARN, "part-quarantine"},
    {NODE_LOG_GATE_LIMIT, NODE_LOG_INFO, "endpoint-limit"},
    {NODE_LOG_GATE_LIMIT_INVALID, NODE_LOG_WARN, "endpoint-limit-unreadable"},
    {NODE_LOG_REPLY_OUTDATED, NODE_LOG_INFO, "reply-outdated"},
    {NODE_LOG_GATE_DEREGISTERED, NODE_LOG_INFO, "endpoint-deregistered"},
    {NODE_LOG_GATE_BASE_MISMATCH, NODE_LOG_WARN, "config-base-mismatch"},
    {NODE_LOG_GATE_SHARES, NODE_LOG_INFO, "account-shares"},
    {NODE_LOG_GATE_QUOTA_OWNER, NODE_LOG_INFO, "quota-owner"},
    {NODE_LOG_GATE_QUOTA, NODE_LOG_INFO, "quota-exhausted"},
    {NODE_LOG_GATE_FORM, NODE_LOG_INFO, "config-form"},
    {NODE_LOG_GATE_REPEATED, NODE_LOG_INFO, "config-repeated"},
    {NODE_LOG_STATE_RECEIVED, NODE_LOG_INFO, "state-received"},
    {NODE_LOG_STATE_REJECTED, NODE_LOG_WARN, "state-rejected"},
    {NODE_LOG_MEMBERS_CHANGED, NODE_LOG_INFO, "members-changed"},
    {NODE_LOG_LEARNER_WAITS, NODE_LOG_INFO, "learner-waits"},
};

#define KIND_COUNT (sizeof(kinds) / sizeof(kinds[0]))

const struct event_kind *
events_find(int number)
{
	size_t i;

	for (i = 0; i < KIND_COUNT; i++) {
		if (kinds[i].number == number)
			return &kinds[i];
	}
	return NULL;
}

const struct event_kind *
events_at(size_t i)
{
	return i < KIND_COUNT ? &kinds[i] : NULL;
}

const char *
events_level_name(enum node_log_level level)
{
	static const char *const names[] = {"debug", "info", "warn", "error"};

	return names[level];
}

/* Appends a string, escaped and truncated, without the JSON quotes. */
static void
append_escaped(struct buf *out, const char *s)
{
	struct buf quoted = {0};
	char *truncated;

	if (s == NULL)
		return;
	truncated = mem_copy(s, strnlen(s, EVENT_STRING_BYTES_MAX));
	buf_json_string(&quoted, truncated);
	buf_append(out, quoted.data + 1, quoted.len - 2);
	buf_free(&quoted);
	free(truncated);
}

void
events_format(struct buf *out, const char *format, va_list args)
{
	const char *percent;

	while ((percent = strchr(format, '%')) != NULL) {
		buf_append(out, format, (size_t)(percent - format));
		format = percent + 1;
		if (*format == 's')
			append_escaped(out, va_arg(args, const char *));
		else if (*format == 'd')
			buf_printf(out, "%d", va_arg(args, int));
		else if (*format == 'u')
			buf_printf(out, "%u", va_arg(args, unsigned));
		else if (*format == 'z')
			buf_printf(out, "%zu", va_arg(args, size_t));
		else if (*format == 'l')
			buf_printf(
			    out, "%llu", va_arg(args, unsigned long long));
		else
			buf_puts(out, "%");
		format += strspn(format, "lz") + 1;
	}
	buf_puts(out, format);
}
