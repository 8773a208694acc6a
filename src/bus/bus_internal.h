#ifndef MP_BUS_BUS_INTERNAL_H
#define MP_BUS_BUS_INTERNAL_H

#include "bus/bus.h"
#include "bus/watch.h"
#include "util/map.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Shared by the files of the bus, see bus.h. */

#define ENDPOINT_MAX_BYTES  128
#define ROUTING_ID_BYTES    5
#define ROUTING_ID_PREFIX   'i' /* a routing id must not begin with zero */
#define ROUTING_ID_BULK	    'b' /* of the connection for bulk messages */
#define SEND_QUEUE_MESSAGES 256
/* A call's body has 2.5 MB at most in the sizes that we know: 10 MB a peer. */
#define BULK_QUEUE_MESSAGES 4

/* The connection to one peer. */
struct peer {
	uint32_t id;
	char *address;
	void *socket;
	void *bulk; /* connection for bulk messages; NULL: not used so far */
	struct link_monitor *bulk_monitor;
	bool bulk_connected; /* has taken a message, and was not lost since */
	size_t bulk_bytes; /* its ping timeout is for messages of this size */
	/* those that wait for it to be established, in order */
	struct waiting_message {
		char *data;
		size_t len;
		uint64_t since_ms;
	} waiting[BULK_QUEUE_MESSAGES];
	size_t nwaiting;
	uint64_t last_send_ms; /* loop time; at first, of the connect */
};

struct bus {
	uv_loop_t *loop;
	const struct settings *settings;
	bus_message_cb cb;
	void *ctx;
	void *context;
	void *router;
	struct watch watch;
	struct zap *zap; /* NULL without keys */
	uv_timer_t idle_timer;
	uv_timer_t bulk_timer; /* runs while bulk messages wait */
	struct map *peers; /* instance id to struct peer */
	struct bus_counters counters;
	unsigned int open_parts; /* watch, zap and timers, during shutdown */
	bool destroyed;
	void (*done)(void *ctx);
	void *done_ctx;
};

/* ---- bus_peer.c: connections to peers ---- */
int bus_set_int(void *socket, int option, int value);
int bus_set_common_options(void *socket, int send_queue);
int bus_set_own_keys(void *socket, const struct settings *settings);
/*
 * Find or create the connection of a peer to an address. Returns NULL when the
 * peer has no key, the address is malformed or memory is short.
 */
struct peer *bus_get_peer(struct bus *b, uint32_t id, const char *address);
void bus_peer_destroy(struct peer *p);
/* Close connections without a recent send: their instance may have left. */
void bus_check_idle(uv_timer_t *timer);

#ifdef __cplusplus
}
#endif

#endif
