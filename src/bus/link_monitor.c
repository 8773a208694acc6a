#include "bus/link_monitor.h"

#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#include "util/mem.h"

#define ENDPOINT_BYTES 64

struct link_monitor {
	void *socket; /* monitored */
	void *events; /* receives an event for each loss */
};

struct link_monitor *
link_monitor_create(void *context, void *socket)
{
	struct link_monitor *m = mem_alloc(1, sizeof(*m));
	char endpoint[ENDPOINT_BYTES];
	int linger_ms = 0;

	m->socket = socket;
	m->events = zmq_socket(context, ZMQ_PAIR);
	/* The address of a monitor in use is unique within the context. */
	(void)snprintf(
	    endpoint, sizeof(endpoint), "inproc://monitor-%p", (void *)m);
	if (m->events != NULL &&
	    zmq_setsockopt(
		m->events, ZMQ_LINGER, &linger_ms, sizeof(linger_ms)) == 0 &&
	    zmq_socket_monitor(socket, endpoint, ZMQ_EVENT_DISCONNECTED) == 0 &&
	    zmq_connect(m->events, endpoint) == 0)
		return m;
	link_monitor_destroy(m);
	return NULL;
}

void
link_monitor_destroy(struct link_monitor *m)
{
	if (m == NULL)
		return;
	(void)zmq_socket_monitor(m->socket, NULL, 0);
	if (m->events != NULL)
		(void)zmq_close(m->events);
	free(m);
}

bool
link_monitor_was_lost(struct link_monitor *m)
{
	bool was_lost = false;
	zmq_msg_t frame;

	if (m == NULL)
		return false;
	(void)zmq_msg_init(&frame);
	while (zmq_msg_recv(&frame, m->events, ZMQ_DONTWAIT) >= 0)
		was_lost = true;
	(void)zmq_msg_close(&frame);
	return was_lost;
}
