/* The message bus: receiving, creation and shutdown. */

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "bus/bus_internal.h"
#include "bus/zap.h"
#include "util/mem.h"

#define KEEPALIVE_S	 1 /* TCP keep-alive of accepted connections */
#define KEEPALIVE_PROBES 3
#define IDLE_CHECK_MS	 10000
#define ZAP_DOMAIN	 "mulberrypath"

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

	bad |= bus_set_int(socket, ZMQ_TCP_KEEPALIVE, 1);
	bad |= bus_set_int(socket, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_S);
	bad |= bus_set_int(socket, ZMQ_TCP_KEEPALIVE_INTVL, KEEPALIVE_S);
	bad |= bus_set_int(socket, ZMQ_TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES);
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
	bad |= bus_set_common_options(b->router, SEND_QUEUE_MESSAGES);
	bad |= set_tcp_keepalive(b->router);
	/*
	 * A new connection replaces the old one with the same routing id, as
	 * after a restart of the peer.
	 */
	bad |= bus_set_int(b->router, ZMQ_ROUTER_HANDOVER, 1);
	if (b->zap != NULL) {
		bad |= bus_set_int(b->router, ZMQ_CURVE_SERVER, 1);
		bad |= zmq_setsockopt(
		    b->router, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN, strlen(ZAP_DOMAIN));
		bad |= bus_set_own_keys(b->router, b->settings);
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
			(void)bus_get_peer(b, p->id, p->bus);
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
	(void)uv_timer_init(loop, &b->bulk_timer);
	b->bulk_timer.data = b;
	(void)uv_timer_start(
	    &b->idle_timer, bus_check_idle, IDLE_CHECK_MS, IDLE_CHECK_MS);
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
	b->open_parts = 4;
	while (map_count(b->peers) > 0) {
		struct peer *p = map_at(b->peers, 0);

		map_remove_u64(b->peers, p->id);
		bus_peer_destroy(p);
	}
	watch_close(&b->watch, on_part_closed, b);
	zap_destroy(b->zap, on_part_closed, b);
	uv_close((uv_handle_t *)&b->idle_timer, on_timer_closed);
	uv_close((uv_handle_t *)&b->bulk_timer, on_timer_closed);
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
