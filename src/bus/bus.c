/* The message bus: receiving, sending to peers, creation and shutdown. */

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "bus/bus.h"
#include "bus/watch.h"
#include "bus/zap.h"
#include "util/map.h"
#include "util/mem.h"

#define ENDPOINT_MAX_BYTES  128
#define ROUTING_ID_BYTES    5
#define ROUTING_ID_PREFIX   'i' /* a routing id must not begin with zero */
#define ROUTING_ID_BULK	    'b' /* of the connection for bulk messages */
#define MESSAGE_MAX_BYTES   (64 * 1024 * 1024)
#define SEND_QUEUE_MESSAGES 256
/* A call's body has 2.5 MB at most in the sizes that we know: 10 MB a peer. */
#define BULK_QUEUE_MESSAGES    4
#define RECEIVE_QUEUE_MESSAGES 1024
#define HEARTBEAT_MS	       500
#define HEARTBEAT_TIMEOUT_MS   1500
#define HANDSHAKE_TIMEOUT_MS   2000
#define CONNECT_TIMEOUT_MS     1000
#define RECONNECT_MS	       100 /* doubled by each failed attempt */
#define RECONNECT_MAX_MS       800
#define TCP_USER_TIMEOUT_MS    3000
#define KEEPALIVE_S	       1 /* TCP keep-alive of accepted connections */
#define KEEPALIVE_PROBES       3
#define IDLE_CHECK_MS	       10000
#define PEER_IDLE_TIMEOUT_MS   60000
#define ZAP_DOMAIN	       "mulberrypath"

/* The connection to one peer. */
struct peer {
	uint32_t id;
	char *address;
	void *socket;
	void *bulk; /* connection for bulk messages; NULL: not used so far */
	bool bulk_connected; /* has taken a message */
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
	struct map *peers; /* instance id to struct peer */
	struct bus_counters counters;
	unsigned int open_parts; /* watch, zap and timer, during shutdown */
	bool destroyed;
	void (*done)(void *ctx);
	void *done_ctx;
};

static int
set_int(void *socket, int option, int value)
{
	return zmq_setsockopt(socket, option, &value, sizeof(value));
}

static int
set_common_options(void *socket, int send_queue)
{
	int64_t max = MESSAGE_MAX_BYTES;
	int bad = 0;

	bad |= set_int(socket, ZMQ_LINGER, 0);
	bad |= set_int(socket, ZMQ_SNDHWM, send_queue);
	bad |= set_int(socket, ZMQ_RCVHWM, RECEIVE_QUEUE_MESSAGES);
	bad |= set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
	bad |= set_int(socket, ZMQ_TCP_MAXRT, TCP_USER_TIMEOUT_MS);
	bad |= zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	return bad;
}

static int
set_own_keys(void *socket, const struct settings *settings)
{
	int bad = 0;

	bad |= zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, settings->public_key,
	    strlen(settings->public_key));
	bad |= zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, settings->secret_key,
	    strlen(settings->secret_key));
	return bad;
}

/* ---- receiving --------------------------------------------------------- */

/*
 * The id that belongs to the sender's key or, without keys, the one in its
 * routing id. 0: unknown.
 */
static uint32_t
sender_id(const struct bus *b, zmq_msg_t *routing, zmq_msg_t *payload)
{
	const char *user;
	uint32_t id = 0;
	char prefix;

	if (b->zap != NULL) {
		user = zmq_msg_gets(payload, "User-Id");
		return user == NULL ? 0 : (uint32_t)strtoul(user, NULL, 10);
	}
	if (zmq_msg_size(routing) != ROUTING_ID_BYTES)
		return 0;
	prefix = *(const char *)zmq_msg_data(routing);
	if (prefix != ROUTING_ID_PREFIX && prefix != ROUTING_ID_BULK)
		return 0;
	memcpy(&id, (const char *)zmq_msg_data(routing) + 1, sizeof(id));
	return ntohl(id);
}

/* Discard the remaining frames of a message. */
static void
discard_frames(void *socket)
{
	zmq_msg_t extra;
	int more = 1;

	while (more != 0) {
		(void)zmq_msg_init(&extra);
		more = zmq_msg_recv(&extra, socket, ZMQ_DONTWAIT) >= 0 &&
		    zmq_msg_more(&extra);
		(void)zmq_msg_close(&extra);
	}
}

static void
on_message(void *ctx)
{
	struct bus *b = ctx;
	zmq_msg_t routing, payload;
	struct node_bytes bytes;
	uint32_t from;

	(void)zmq_msg_init(&routing);
	(void)zmq_msg_init(&payload);
	if (zmq_msg_recv(&routing, b->router, ZMQ_DONTWAIT) < 0 ||
	    !zmq_msg_more(&routing) ||
	    zmq_msg_recv(&payload, b->router, ZMQ_DONTWAIT) < 0)
		goto cleanup;
	if (zmq_msg_more(&payload)) {
		discard_frames(b->router);
		goto cleanup;
	}
	from = sender_id(b, &routing, &payload);
	if (from == 0)
		goto cleanup;
	bytes.data = zmq_msg_data(&payload);
	bytes.len = zmq_msg_size(&payload);
	b->counters.messages_in++;
	b->counters.bytes_in += bytes.len;
	b->cb(b->ctx, from, bytes);
cleanup:
	(void)zmq_msg_close(&payload);
	(void)zmq_msg_close(&routing);
}

/* ---- sending ----------------------------------------------------------- */

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
	return set_own_keys(socket, b->settings);
}

/*
 * Create a socket that connects to a peer. Returns NULL when the peer has no
 * key, the address is malformed or memory is short.
 */
static void *
connect_peer(const struct bus *b, uint32_t id, const char *address, bool bulk)
{
	char endpoint[ENDPOINT_MAX_BYTES];
	void *socket = zmq_socket(b->context, ZMQ_DEALER);
	int bad = 0;

	if (socket == NULL)
		return NULL;
	(void)snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	bad |= set_common_options(
	    socket, bulk ? BULK_QUEUE_MESSAGES : SEND_QUEUE_MESSAGES);
	bad |= set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
	bad |= set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	bad |= set_int(socket, ZMQ_IMMEDIATE, 1);
	bad |= set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	bad |= set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	bad |= set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	bad |= set_peer_identity(b, socket, id, bulk);
	if (bad == 0 && zmq_connect(socket, endpoint) == 0)
		return socket;
	(void)zmq_close(socket);
	return NULL;
}

static void
peer_destroy(struct peer *p)
{
	if (p->socket != NULL)
		(void)zmq_close(p->socket);
	if (p->bulk != NULL)
		(void)zmq_close(p->bulk);
	free(p->address);
	free(p);
}

/*
 * Find or create the connection of a peer to an address. Returns NULL when it
 * cannot be created, see connect_peer().
 */
static struct peer *
get_peer(struct bus *b, uint32_t id, const char *address)
{
	struct peer *p = map_get_u64(b->peers, id);

	if (p != NULL && strcmp(p->address, address) == 0)
		return p;
	if (p != NULL) {
		map_remove_u64(b->peers, id);
		peer_destroy(p);
	}
	p = mem_alloc(1, sizeof(*p));
	p->id = id;
	p->address = mem_string(address);
	p->socket = connect_peer(b, id, address, false);
	p->last_send_ms = uv_now(b->loop);
	if (p->socket == NULL) {
		peer_destroy(p);
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

/*
 * Queue a message on the peer's bulk connection. Until it is up for the first
 * time, the message takes the other one rather than be lost.
 */
static bool
send_bulk(struct peer *p, const struct node_send *send)
{
	if (p->bulk != NULL && send_on(p->bulk, send)) {
		p->bulk_connected = true;
		return true;
	}
	return !p->bulk_connected && send_on(p->socket, send);
}

void
bus_send(struct bus *b, const struct node_send *send)
{
	struct peer *p = NULL;

	if (!b->destroyed && send->bytes.len <= MESSAGE_MAX_BYTES &&
	    send->address != NULL)
		p = get_peer(b, send->to, send->address);
	if (p == NULL) {
		b->counters.dropped++;
		return;
	}
	p->last_send_ms = uv_now(b->loop);
	if ((send->bulk || send->expects_bulk) && p->bulk == NULL)
		p->bulk = connect_peer(b, p->id, p->address, true);
	if (!(send->bulk ? send_bulk(p, send) : send_on(p->socket, send))) {
		b->counters.dropped++;
		return;
	}
	b->counters.messages_out++;
	b->counters.bytes_out += send->bytes.len;
}

/* Close connections without a recent send: their instance may have left. */
static void
on_idle_check(uv_timer_t *timer)
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
		peer_destroy(p);
	}
}

/* ---- creation and shutdown --------------------------------------------- */

/* Check that the instance's own keys are a pair. */
static int
check_keys(const struct settings *settings, struct mp_error *err)
{
	char derived[BUS_KEY_TEXT_BYTES];

	if (settings->secret_key == NULL ||
	    zmq_curve_public(derived, settings->secret_key) != 0 ||
	    strcmp(derived, settings->public_key) != 0)
		return mp_error_set(err, MP_LAYER_BUS, MP_ERR_INVALID,
		    "the secret key does not match the public key");
	return MP_OK;
}

int
bus_generate_keys(char public_key[BUS_KEY_TEXT_BYTES],
    char secret_key[BUS_KEY_TEXT_BYTES], struct mp_error *err)
{
	if (zmq_curve_keypair(public_key, secret_key) != 0)
		return mp_error_set(err, MP_LAYER_BUS, MP_ERR_UNAVAILABLE,
		    "cannot generate a CURVE key pair: %s",
		    zmq_strerror(zmq_errno()));
	return MP_OK;
}

/*
 * Only the connecting side sends heartbeats, because only it can reconnect.
 * Accepted connections whose peer has disappeared are detected by TCP
 * keep-alive in the kernel: a heartbeat needs a timer for each connection, and
 * cancelling a timer makes ZeroMQ search the timers of all connections.
 */
static int
set_tcp_keepalive(void *socket)
{
	int bad = 0;

	bad |= set_int(socket, ZMQ_TCP_KEEPALIVE, 1);
	bad |= set_int(socket, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_S);
	bad |= set_int(socket, ZMQ_TCP_KEEPALIVE_INTVL, KEEPALIVE_S);
	bad |= set_int(socket, ZMQ_TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES);
	return bad;
}

static int
open_router(struct bus *b, struct mp_error *err)
{
	char endpoint[ENDPOINT_MAX_BYTES];
	int bad = 0;

	b->router = zmq_socket(b->context, ZMQ_ROUTER);
	if (b->router == NULL)
		return mp_error_set(err, MP_LAYER_BUS, MP_ERR_IO,
		    "cannot create a ZeroMQ socket: %s",
		    zmq_strerror(zmq_errno()));
	(void)snprintf(
	    endpoint, sizeof(endpoint), "tcp://%s", b->settings->bus_listen);
	bad |= set_common_options(b->router, SEND_QUEUE_MESSAGES);
	bad |= set_tcp_keepalive(b->router);
	/*
	 * A new connection replaces the old one with the same routing id, as
	 * after a restart of the peer.
	 */
	bad |= set_int(b->router, ZMQ_ROUTER_HANDOVER, 1);
	if (b->zap != NULL) {
		bad |= set_int(b->router, ZMQ_CURVE_SERVER, 1);
		bad |= zmq_setsockopt(
		    b->router, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN, strlen(ZAP_DOMAIN));
		bad |= set_own_keys(b->router, b->settings);
	}
	if (bad != 0 || zmq_bind(b->router, endpoint) != 0)
		return mp_error_set(err, MP_LAYER_BUS, MP_ERR_IO,
		    "cannot listen on %s: %s", b->settings->bus_listen,
		    zmq_strerror(zmq_errno()));
	return watch_start(&b->watch, b->loop, b->router, on_message, b, err);
}

/* Connect in advance: a message sent without a connection is dropped. */
static void
connect_listed_peers(struct bus *b)
{
	size_t i;

	for (i = 0; i < b->settings->npeers; i++) {
		const struct settings_peer *p = &b->settings->peers[i];

		if (p->id != b->settings->id)
			(void)get_peer(b, p->id, p->bus);
	}
}

/* The done callback of a bus whose creation failed. */
static void
ignore_done(void *ctx)
{
	(void)ctx;
}

int
bus_create(struct bus **out, uv_loop_t *loop, const struct settings *settings,
    bus_message_cb cb, void *ctx, struct mp_error *err)
{
	struct bus *b = mem_alloc(1, sizeof(*b));
	int code = MP_OK;

	*out = NULL;
	b->loop = loop;
	b->settings = settings;
	b->cb = cb;
	b->ctx = ctx;
	b->peers = map_create();
	b->context = zmq_ctx_new();
	(void)uv_timer_init(loop, &b->idle_timer);
	b->idle_timer.data = b;
	(void)uv_timer_start(
	    &b->idle_timer, on_idle_check, IDLE_CHECK_MS, IDLE_CHECK_MS);
	if (settings->public_key != NULL) {
		code = check_keys(settings, err);
		if (code == MP_OK)
			code = zap_create(
			    &b->zap, loop, b->context, settings, err);
	}
	if (code == MP_OK)
		code = open_router(b, err);
	if (code != MP_OK) {
		bus_destroy(b, ignore_done, NULL);
		return code;
	}
	connect_listed_peers(b);
	*out = b;
	return MP_OK;
}

static void
on_part_closed(void *ctx)
{
	struct bus *b = ctx;

	if (--b->open_parts > 0)
		return;
	if (b->router != NULL)
		(void)zmq_close(b->router);
	(void)zmq_ctx_term(b->context);
	map_destroy(b->peers);
	b->done(b->done_ctx);
	free(b);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	on_part_closed(handle->data);
}

void
bus_destroy(struct bus *b, void (*done)(void *ctx), void *ctx)
{
	b->done = done;
	b->done_ctx = ctx;
	b->destroyed = true;
	b->open_parts = 3;
	while (map_count(b->peers) > 0) {
		struct peer *p = map_at(b->peers, 0);

		map_remove_u64(b->peers, p->id);
		peer_destroy(p);
	}
	watch_close(&b->watch, on_part_closed, b);
	zap_destroy(b->zap, on_part_closed, b);
	uv_close((uv_handle_t *)&b->idle_timer, on_timer_closed);
}

int
bus_get_port(const struct bus *b)
{
	char endpoint[ENDPOINT_MAX_BYTES];
	size_t size = sizeof(endpoint);
	const char *colon;

	if (zmq_getsockopt(b->router, ZMQ_LAST_ENDPOINT, endpoint, &size) != 0)
		return 0;
	colon = strrchr(endpoint, ':');
	return colon == NULL ? 0 : (int)strtol(colon + 1, NULL, 10);
}

void
bus_get_counters(const struct bus *b, struct bus_counters *out)
{
	*out = b->counters;
	if (b->zap != NULL)
		out->refused = zap_get_refused(b->zap);
}
