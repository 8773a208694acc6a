#ifndef MP_MULBERRYD_LOG_OUTPUT_H
#define MP_MULBERRYD_LOG_OUTPUT_H

#include "mulberrypath/node.h"
#include "util/events.h"

/*
 * Log lines on standard output, as text or JSON. A reader that has stopped
 * reading never stops the process: lines are dropped and counted instead. Of
 * one kind only so many are written in a second; the rest is counted.
 */
struct log_output;

/*
 * level: lines below are dropped; a name as in settings.
 * format: "text" or "json".
 * instance: the name shown in each line; copied.
 */
struct log_output *log_output_create(
    const char *level, const char *format, const char *instance);
void log_output_destroy(struct log_output *out);

/* Write an event that a node has emitted. */
void log_output_write(struct log_output *out, const struct node_log *log);

/* Write an event of the catalogue; format is that of events_format(). */
void log_output_write_event(struct log_output *out, enum event_number number,
    const char *format, ...) __attribute__((format(printf, 3, 4)));

#endif
