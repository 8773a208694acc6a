#ifndef MP_BUS_LINK_MONITOR_H
#define MP_BUS_LINK_MONITOR_H

#include <stdbool.h>

/*
 * Tells whether the connection of a connecting ZeroMQ socket was lost: ZeroMQ
 * makes it again by itself, and until then refuses messages in the same way as
 * when its queue is full.
 */
struct link_monitor;

/*
 * Create a monitor; NULL when memory or descriptors are short.
 *
 * context, socket: are to outlive the monitor.
 */
struct link_monitor *link_monitor_create(void *context, void *socket);
/* NULL is allowed. */
void link_monitor_destroy(struct link_monitor *m);

/* Whether the connection was lost since the last call; NULL: false. */
bool link_monitor_was_lost(struct link_monitor *m);

#endif
