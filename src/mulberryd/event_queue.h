#ifndef MP_MULBERRYD_EVENT_QUEUE_H
#define MP_MULBERRYD_EVENT_QUEUE_H

#include "mulberrypath/node.h"

/*
 * A FIFO queue of node events. It holds the events that are received while the
 * effects of an earlier event are executed, with copies of all their data.
 */
struct event_queue;

struct event_queue *event_queue_create(void);

/* Frees the queue and all events in it. */
void event_queue_destroy(struct event_queue *q);

/* Appends a copy of an event, including the data that it points to. */
void event_queue_push(struct event_queue *q, const struct node_event *ev);

/* Returns the oldest event, or NULL; valid until event_queue_pop(). */
const struct node_event *event_queue_peek(const struct event_queue *q);

/* Removes and frees the oldest event. The queue must not be empty. */
void event_queue_pop(struct event_queue *q);

#endif
