#include <stdlib.h>

#include "mulberryd/event_queue.h"
#include "util/mem.h"

/* An element of the singly linked list. */
struct queued_event {
	struct node_event event;
	struct node_effects *memory; /* owns the copied data */
	struct queued_event *next;
};

struct event_queue {
	struct queued_event *head;
	struct queued_event **tail; /* the link to set on the next push */
};

struct event_queue *
event_queue_create(void)
{
	struct event_queue *q = mem_alloc(1, sizeof(*q));

	q->tail = &q->head;
	return q;
}

void
event_queue_destroy(struct event_queue *q)
{
	while (q->head != NULL)
		event_queue_pop(q);
	free(q);
}

static void
copy_text(struct node_effects *memory, const char **text)
{
	if (*text != NULL)
		*text = node_effects_printf(memory, "%s", *text);
}

static void
copy_bytes(struct node_effects *memory, struct node_bytes *bytes)
{
	bytes->data = node_effects_copy(memory, bytes->data, bytes->len);
}

static void
copy_request(struct node_effects *memory, struct node_request *r)
{
	copy_text(memory, &r->method);
	copy_text(memory, &r->path);
	copy_text(memory, &r->authorization);
	copy_text(memory, &r->idempotency_key);
	copy_text(memory, &r->content_type);
	copy_text(memory, &r->timeout);
	copy_bytes(memory, &r->body);
	r->headers = node_effects_headers(memory, r->headers, r->nheaders);
}

void
event_queue_push(struct event_queue *q, const struct node_event *ev)
{
	struct queued_event *item = mem_alloc(1, sizeof(*item));
	struct node_event *copy = &item->event;

	item->memory = node_effects_create();
	*copy = *ev;
	switch (ev->type) {
	case NODE_EV_MESSAGE:
		copy_bytes(item->memory, &copy->u.message.bytes);
		break;
	case NODE_EV_REQUEST:
		copy_request(item->memory, &copy->u.request);
		break;
	case NODE_EV_CALL:
		copy_text(item->memory, &copy->u.call.retry_after);
		copy_text(item->memory, &copy->u.call.reason);
		copy_text(item->memory, &copy->u.call.content_type);
		copy_bytes(item->memory, &copy->u.call.data);
		copy->u.call.headers = node_effects_headers(
		    item->memory, ev->u.call.headers, ev->u.call.nheaders);
		break;
	case NODE_EV_SAVED:
		copy_text(item->memory, &copy->u.saved.reason);
		break;
	case NODE_EV_TICK:
	case NODE_EV_CALLER_GONE:
	case NODE_EV_STOP:
		break;
	}
	*q->tail = item;
	q->tail = &item->next;
}

const struct node_event *
event_queue_peek(const struct event_queue *q)
{
	return q->head == NULL ? NULL : &q->head->event;
}

void
event_queue_pop(struct event_queue *q)
{
	struct queued_event *item = q->head;

	q->head = item->next;
	if (q->head == NULL)
		q->tail = &q->head;
	node_effects_destroy(item->memory);
	free(item);
}
