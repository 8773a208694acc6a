#ifndef MP_MULBERRYD_EVENT_QUEUE_H
#define MP_MULBERRYD_EVENT_QUEUE_H

#include "mulberrypath/node.h"

/* Events kept, with copies of their bytes, while effects are carried out. */
struct event_queue;

struct event_queue *event_queue_create(void);
void event_queue_destroy(struct event_queue *q);

/* Append a copy of an event. */
void event_queue_push(struct event_queue *q, const struct node_event *ev);

/* The oldest event, or NULL; it lives until event_queue_pop(). */
const struct node_event *event_queue_peek(const struct event_queue *q);
void event_queue_pop(struct event_queue *q);

#endif
