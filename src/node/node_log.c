#include <stdarg.h>

#include "node/node_internal.h"

/*
 * Emits a numbered log event as an effect.
 *
 * format: the event's fields as for events_format().
 */
void
node_log(struct node *n, enum node_log_event event, const char *format, ...)
{
	const struct event_kind *kind = events_find((int)event);
	struct buf fields = {0};
	struct node_log *log;
	va_list args;

	va_start(args, format);
	events_format(&fields, format, args);
	va_end(args);
	log = &node_effects_add(n->fx, NODE_FX_LOG)->u.log;
	log->number = (int)event;
	log->level = kind->level;
	log->name = kind->name;
	log->fields = node_effects_copy(n->fx, fields.data, fields.len);
	buf_free(&fields);
}
