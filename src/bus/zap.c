/* The ZAP request handler, see zap.h. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "bus/watch.h"
#include "bus/zap.h"
#include "util/map.h"
#include "util/mem.h"

#define ZAP_ENDPOINT	    "inproc://zeromq.zap.01"
#define ZAP_VERSION	    "1.0"
#define ZAP_FRAMES_MAX	    8 /* kept of a request; CURVE requests have 7 */
#define ZAP_FRAME_REQUEST   1
#define ZAP_FRAME_MECHANISM 5
#define ZAP_FRAME_KEY	    6
#define ZAP_FRAMES_CURVE    7
#define CURVE_KEY_BYTES	    32
#define USER_ID_BYTES	    16

struct zap {
	void *socket;
	struct watch watch;
	struct map *ids; /* binary key to its User-Id, an owned string */
	uint64_t refused;
	void (*done)(void *ctx);
	void *done_ctx;
};

struct frames {
	zmq_msg_t items[ZAP_FRAMES_MAX];
	size_t count;
};

/* Receive one complete message; frames over the limit are discarded. */
static void
receive_frames(void *socket, struct frames *f)
{
	int more = 1;

	f->count = 0;
	while (more != 0) {
		zmq_msg_t msg;

		(void)zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, socket, ZMQ_DONTWAIT) < 0) {
			(void)zmq_msg_close(&msg);
			return;
		}
		more = zmq_msg_more(&msg);
		if (f->count < ZAP_FRAMES_MAX) {
			(void)zmq_msg_init(&f->items[f->count]);
			(void)zmq_msg_move(&f->items[f->count++], &msg);
		}
		(void)zmq_msg_close(&msg);
	}
}

static void
close_frames(struct frames *f)
{
	size_t i;

	for (i = 0; i < f->count; i++)
		(void)zmq_msg_close(&f->items[i]);
}

/* The User-Id of the key in a request; NULL if the request is to be refused. */
static const char *
find_user(const struct zap *z, struct frames *f)
{
	zmq_msg_t *mechanism = &f->items[ZAP_FRAME_MECHANISM];
	zmq_msg_t *key = &f->items[ZAP_FRAME_KEY];

	if (f->count != ZAP_FRAMES_CURVE ||
	    zmq_msg_size(mechanism) != strlen("CURVE") ||
	    memcmp(zmq_msg_data(mechanism), "CURVE", strlen("CURVE")) != 0 ||
	    zmq_msg_size(key) != CURVE_KEY_BYTES)
		return NULL;
	return map_get(z->ids, zmq_msg_data(key), CURVE_KEY_BYTES);
}

static void
send_text(struct zap *z, const char *text, int flags)
{
	(void)zmq_send(z->socket, text, strlen(text), flags | ZMQ_DONTWAIT);
}

/* Receive a request and reply to it. */
static void
on_request(void *ctx)
{
	struct zap *z = ctx;
	struct frames f;
	const char *user;

	receive_frames(z->socket, &f);
	if (f.count > ZAP_FRAME_REQUEST) {
		user = find_user(z, &f);
		if (user == NULL)
			z->refused++;
		send_text(z, ZAP_VERSION, ZMQ_SNDMORE);
		(void)zmq_msg_send(&f.items[ZAP_FRAME_REQUEST], z->socket,
		    ZMQ_SNDMORE | ZMQ_DONTWAIT);
		send_text(z, user == NULL ? "400" : "200", ZMQ_SNDMORE);
		send_text(z, user == NULL ? "unknown key" : "OK", ZMQ_SNDMORE);
		send_text(z, user == NULL ? "" : user, ZMQ_SNDMORE);
		send_text(z, "", 0);
	}
	close_frames(&f);
}

/* Register the public keys of all peers in the settings. */
static int
add_keys(struct zap *z, const struct settings *settings, struct mp_error *err)
{
	unsigned char key[CURVE_KEY_BYTES];
	char user[USER_ID_BYTES];
	size_t i;

	for (i = 0; i < settings->npeers; i++) {
		const struct settings_peer *p = &settings->peers[i];

		if (p->public_key == NULL ||
		    zmq_z85_decode(key, p->public_key) == NULL)
			return mp_error_set(err, MP_LAYER_BUS, MP_ERR_INVALID,
			    "peer %u has no valid public key", p->id);
		(void)snprintf(user, sizeof(user), "%u", p->id);
		free(map_set(z->ids, key, sizeof(key), mem_string(user)));
	}
	return MP_OK;
}

int
zap_create(struct zap **out, uv_loop_t *loop, void *context,
    const struct settings *settings, struct mp_error *err)
{
	struct zap *z = mem_alloc(1, sizeof(*z));
	int code;

	*out = z;
	z->ids = map_create();
	code = add_keys(z, settings, err);
	if (code != MP_OK)
		return code;
	z->socket = zmq_socket(context, ZMQ_REP);
	if (z->socket == NULL || zmq_bind(z->socket, ZAP_ENDPOINT) != 0)
		return mp_error_set(err, MP_LAYER_BUS, MP_ERR_IO,
		    "cannot start the ZAP handler: %s",
		    zmq_strerror(zmq_errno()));
	return watch_start(&z->watch, loop, z->socket, on_request, z, err);
}

static void
on_watch_closed(void *ctx)
{
	struct zap *z = ctx;
	size_t i;

	if (z->socket != NULL)
		(void)zmq_close(z->socket);
	for (i = 0; i < map_count(z->ids); i++)
		free(map_at(z->ids, i));
	map_destroy(z->ids);
	z->done(z->done_ctx);
	free(z);
}

void
zap_destroy(struct zap *z, void (*done)(void *ctx), void *ctx)
{
	if (z == NULL) {
		done(ctx);
		return;
	}
	z->done = done;
	z->done_ctx = ctx;
	watch_close(&z->watch, on_watch_closed, z);
}

uint64_t
zap_get_refused(const struct zap *z)
{
	return z->refused;
}
