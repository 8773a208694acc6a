#include <stdarg.h>
#include <stdio.h>

#include "node/node_internal.h"

#define LOG_FIELDS_BYTES 1024

/* Emit a numbered event; format gives the fields as JSON object text. */
void
node_log(struct node *n, enum node_log_event event, const char *format, ...)
{
	const struct event_kind *kind = events_find((int)event);
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
