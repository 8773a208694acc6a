/* The message bus: connections to peers, and sending. */

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "bus/bus_internal.h"
#include "bus/link_monitor.h"
#include "util/mem.h"

#define MESSAGE_MAX_BYTES (64 * 1024 * 1024)
/*
 * Bulk messages wait this long for their connection to be established, as long
 * as a connect and a handshake may take.
 */
#define BULK_WAIT_MS  (CONNECT_TIMEOUT_MS + HANDSHAKE_TIMEOUT_MS)
#define BULK_RETRY_MS 5
/* A ping waits behind the bytes sent before it, as on a link of 2 Mbit/s. */
#define BULK_US_PER_BYTE 4
/* A bulk connection expects messages of at least this size. */
#define BULK_EXPECTED_BYTES    (2500 * 1000)
#define RECEIVE_QUEUE_MESSAGES 1024
#define HEARTBEAT_MS	       500
#define HEARTBEAT_TIMEOUT_MS   1500
#define HANDSHAKE_TIMEOUT_MS   2000
/* Less than the second after which TCP repeats a lost connection attempt. */
#define CONNECT_TIMEOUT_MS   400
#define RECONNECT_MS	     100 /* doubled by each failed attempt */
#define RECONNECT_MAX_MS     800
#define TCP_USER_TIMEOUT_MS  3000
#define PEER_IDLE_TIMEOUT_MS 60000

int
bus_set_int(void *socket, int option, int value)
{
	return zmq_setsockopt(socket, option, &value, sizeof(value));
}

int
bus_set_common_options(void *socket, int send_queue)
{
	int64_t max = MESSAGE_MAX_BYTES;
	int bad = 0;

	bad |= bus_set_int(socket, ZMQ_LINGER, 0);
	bad |= bus_set_int(socket, ZMQ_SNDHWM, send_queue);
	bad |= bus_set_int(socket, ZMQ_RCVHWM, RECEIVE_QUEUE_MESSAGES);
	bad |= bus_set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
	bad |= bus_set_int(socket, ZMQ_TCP_MAXRT, TCP_USER_TIMEOUT_MS);
	bad |= zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	return bad;
}

int
bus_set_own_keys(void *socket, const struct settings *settings)
{
	int bad = 0;

	bad |= zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, settings->public_key,
	    strlen(settings->public_key));
	bad |= zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, settings->secret_key,
	    strlen(settings->secret_key));
	return bad;
}

/* ---- connections ------------------------------------------------------- */

/* The public key of an instance, or NULL. */
static const char *
find_public_key(const struct settings *settings, uint32_t id)
{
	size_t i;

	for (i = 0; i < settings->npeers; i++) {
		if (settings->peers[i].id == id)
			return settings->peers[i].public_key;
	}
	return NULL;
}

/* Set the routing id or, with keys, the keys of both ends. */
static int
set_peer_identity(const struct bus *b, void *socket, uint32_t id, bool bulk)
{
	char routing_id[ROUTING_ID_BYTES] = {
	    bulk ? ROUTING_ID_BULK : ROUTING_ID_PREFIX};
	uint32_t instance_id = htonl(b->settings->id);
	const char *key;

	memcpy(routing_id + 1, &instance_id, sizeof(instance_id));
	if (b->zap == NULL)
		return zmq_setsockopt(
		    socket, ZMQ_ROUTING_ID, routing_id, sizeof(routing_id));
	key = find_public_key(b->settings, id);
	if (key == NULL)
		return -1;
	if (zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, key, strlen(key)) != 0)
		return -1;
	return bus_set_own_keys(socket, b->settings);
}

/*
 * Time after which a connection without an answer to a ping is closed. A ping
 * waits behind what was sent before it.
 */
static int
ping_timeout_ms(size_t bytes_before)
{
	return HEARTBEAT_TIMEOUT_MS +
	    (int)(bytes_before * BULK_US_PER_BYTE / 1000);
}

/*
 * Create a socket that connects to a peer. Returns NULL when the peer has no
 * key, the address is malformed or memory is short.
 *
 * bulk_bytes: size of the bulk messages that it is for; 0: it is not for them.
 */
static void *
connect_peer(
    const struct bus *b, uint32_t id, const char *address, size_t bulk_bytes)
{
	char endpoint[ENDPOINT_MAX_BYTES];
	void *socket = zmq_socket(b->context, ZMQ_DEALER);
	bool bulk = bulk_bytes > 0;
	int bad = 0;

	if (socket == NULL)
		return NULL;
	(void)snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	bad |= bus_set_common_options(
	    socket, bulk ? BULK_QUEUE_MESSAGES : SEND_QUEUE_MESSAGES);
	bad |= bus_set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
	bad |= bus_set_int(
	    socket, ZMQ_HEARTBEAT_TIMEOUT, ping_timeout_ms(bulk_bytes));
	bad |= bus_set_int(socket, ZMQ_IMMEDIATE, 1);
	bad |= bus_set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	bad |= bus_set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	bad |= bus_set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	bad |= set_peer_identity(b, socket, id, bulk);
	if (bad == 0 && zmq_connect(socket, endpoint) == 0)
		return socket;
	(void)zmq_close(socket);
	return NULL;
}

/* Forget the first bulk messages that wait. */
static void
remove_waiting(struct peer *p, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		free(p->waiting[i].data);
	p->nwaiting -= count;
	memmove(p->waiting, p->waiting + count,
	    p->nwaiting * sizeof(p->waiting[0]));
}

void
bus_peer_destroy(struct peer *p)
{
	remove_waiting(p, p->nwaiting);
	if (p->socket != NULL)
		(void)zmq_close(p->socket);
	link_monitor_destroy(p->bulk_monitor);
	if (p->bulk != NULL)
		(void)zmq_close(p->bulk);
	free(p->address);
	free(p);
}

struct peer *
bus_get_peer(struct bus *b, uint32_t id, const char *address)
{
	struct peer *p = map_get_u64(b->peers, id);

	if (p != NULL && strcmp(p->address, address) == 0)
		return p;
	if (p != NULL) {
		map_remove_u64(b->peers, id);
		b->counters.dropped += p->nwaiting;
		bus_peer_destroy(p);
	}
	p = mem_alloc(1, sizeof(*p));
	p->id = id;
	p->address = mem_string(address);
	p->socket = connect_peer(b, id, address, 0);
	p->last_send_ms = uv_now(b->loop);
	if (p->socket == NULL) {
		bus_peer_destroy(p);
		return NULL;
	}
	map_set_u64(b->peers, id, p);
	return p;
}

/* Queue a message on a socket; false when it is not connected or full. */
static bool
send_on(void *socket, const struct node_send *send)
{
	return zmq_send(socket, send->bytes.data, send->bytes.len,
		   ZMQ_DONTWAIT) >= 0;
}

static void
count_sent(struct bus *b, size_t len)
{
	b->counters.messages_out++;
	b->counters.bytes_out += len;
}

/* Send what waits for the bulk connection, or drop what waits too long. */
static void
flush_waiting(struct bus *b, struct peer *p)
{
	const struct waiting_message *m = p->waiting;
	size_t sent = 0, late = 0;

	while (sent < p->nwaiting && p->bulk != NULL &&
	    zmq_send(p->bulk, m[sent].data, m[sent].len, ZMQ_DONTWAIT) >= 0) {
		p->bulk_connected = true;
		count_sent(b, m[sent++].len);
	}
	remove_waiting(p, sent);
	while (late < p->nwaiting &&
	    uv_now(b->loop) - m[late].since_ms >= BULK_WAIT_MS)
		late++;
	b->counters.dropped += late;
	remove_waiting(p, late);
}

static void
on_bulk_timer(uv_timer_t *timer)
{
	struct bus *b = timer->data;
	bool waits = false;
	struct peer *p;
	size_t i;

	for (i = 0; i < map_count(b->peers); i++) {
		p = map_at(b->peers, i);
		if (p->nwaiting > 0)
			flush_waiting(b, p);
		waits = waits || p->nwaiting > 0;
	}
	if (!waits)
		(void)uv_timer_stop(timer);
}

/* Keep a bulk message until its connection is up; false: there are enough. */
static bool
add_waiting(struct bus *b, struct peer *p, const struct node_send *send)
{
	struct waiting_message *m = &p->waiting[p->nwaiting];

	if (p->nwaiting == BULK_QUEUE_MESSAGES)
		return false;
	m->data = mem_alloc(send->bytes.len + 1, 1);
	memcpy(m->data, send->bytes.data, send->bytes.len);
	m->len = send->bytes.len;
	m->since_ms = uv_now(b->loop);
	p->nwaiting++;
	if (!uv_is_active((const uv_handle_t *)&b->bulk_timer))
		(void)uv_timer_start(&b->bulk_timer, on_bulk_timer,
		    BULK_RETRY_MS, BULK_RETRY_MS);
	return true;
}

/*
 * Make the peer's bulk connection, if there is none. Its ping timeout is that
 * of the largest message known then.
 */
static void
prepare_bulk(struct bus *b, struct peer *p, size_t len)
{
	size_t bytes = len > BULK_EXPECTED_BYTES ? len : BULK_EXPECTED_BYTES;

	if (p->bulk == NULL) {
		p->bulk = connect_peer(b, p->id, p->address, bytes);
		if (p->bulk != NULL)
			p->bulk_monitor =
			    link_monitor_create(b->context, p->bulk);
	}
	if (bytes > p->bulk_bytes)
		p->bulk_bytes = bytes;
}

/*
 * Queue a message on the peer's bulk connection. While that is not up, as at
 * first or after a restart of the peer, some messages wait for it: on the other
 * one they would delay heartbeats, and dropped they would be sent again only
 * once there was time for all their bytes. When it is up and its queue is full,
 * they are dropped.
 */
static void
send_bulk(struct bus *b, struct peer *p, const struct node_send *send)
{
	bool is_sent;

	if (link_monitor_was_lost(p->bulk_monitor))
		p->bulk_connected = false;
	is_sent = p->bulk != NULL && p->nwaiting == 0 && send_on(p->bulk, send);
	if (is_sent) {
		p->bulk_connected = true;
		count_sent(b, send->bytes.len);
	} else if (p->bulk_connected || !add_waiting(b, p, send)) {
		b->counters.dropped++;
	}
}

void
bus_send(struct bus *b, const struct node_send *send)
{
	struct peer *p = NULL;

	if (!b->destroyed && send->bytes.len <= MESSAGE_MAX_BYTES &&
	    send->address != NULL)
		p = bus_get_peer(b, send->to, send->address);
	if (p == NULL) {
		b->counters.dropped++;
		return;
	}
	p->last_send_ms = uv_now(b->loop);
	if (send->bulk || send->expects_bulk)
		prepare_bulk(b, p, send->bulk ? send->bytes.len : 0);
	if (send->bulk)
		send_bulk(b, p, send);
	else if (send_on(p->socket, send))
		count_sent(b, send->bytes.len);
	else
		b->counters.dropped++;
}

void
bus_check_idle(uv_timer_t *timer)
{
	struct bus *b = timer->data;
	size_t i = 0;

	while (i < map_count(b->peers)) {
		struct peer *p = map_at(b->peers, i);

		if (uv_now(b->loop) - p->last_send_ms < PEER_IDLE_TIMEOUT_MS) {
			i++;
			continue;
		}
		map_remove_u64(b->peers, p->id);
		b->counters.dropped += p->nwaiting;
		bus_peer_destroy(p);
	}
}
