#ifndef MP_MULBERRYD_LOG_OUTPUT_H
#define MP_MULBERRYD_LOG_OUTPUT_H

#include "mulberrypath/node.h"
#include "util/events.h"

/*
 * Writes log lines to standard output, as text or JSON. A write never blocks:
 * when the reader of the output stops reading, lines are dropped and their
 * number is logged (log-lines-lost) once it reads again. Lines of one event
 * number are limited to 100 a second; the number of lines over the limit is
 * logged (log-lines-limited) with that event's first line of a later second.
 */
struct log_output;

/*
 * Creates a log output, released by log_output_destroy().
 *
 * level: lowest level to write; a name as in the settings.
 * format: "text" or "json".
 * instance: name of the instance, written in each line; copied.
 */
struct log_output *log_output_create(
    const char *level, const char *format, const char *instance);
void log_output_destroy(struct log_output *out);

/* Writes a log event of the node (NODE_FX_LOG). */
void log_output_write(struct log_output *out, const struct node_log *log);

/*
 * Writes an event of the catalogue in util/events.h. The format of its fields
 * is that of events_format().
 */
void log_output_write_event(struct log_output *out, enum event_number number,
    const char *format, ...) __attribute__((format(printf, 3, 4)));

#endif
