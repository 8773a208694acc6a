#include <stdarg.h>
#include <stdio.h>

#include "node/node_internal.h"

#define LOG_FIELDS_BYTES 1024

struct log_kind {
	enum node_log_event event;
	enum node_log_level level;
	const char *name;
};

static const struct log_kind log_kinds[] = {
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
};

/* Emit a numbered event; format gives the fields as JSON object text. */
void
node_log(struct node *n, enum node_log_event event, const char *format, ...)
{
	const struct log_kind *kind = &log_kinds[event - NODE_LOG_STARTED];
	char fields[LOG_FIELDS_BYTES];
	struct node_log *log;
	va_list args;

	va_start(args, format);
	(void)vsnprintf(fields, sizeof(fields), format, args);
	va_end(args);
	log = &node_effects_add(n->fx, NODE_FX_LOG)->u.log;
	log->number = (int)event;
	log->level = kind->level;
	log->name = kind->name;
	log->fields = node_effects_printf(n->fx, "%s", fields);
}
