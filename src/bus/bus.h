#ifndef MP_BUS_BUS_H
#define MP_BUS_BUS_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "mulberrypath/error.h"
#include "mulberrypath/node.h"
#include "mulberrypath/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Messages between instances: ZeroMQ on the loop. One bound ROUTER receives,
 * one DEALER a peer sends. Small high-water mark, immediate mode, no linger,
 * heartbeats by the connecting side: a peer that is absent or silent loses
 * messages rather than getting them late. With keys in the settings: CURVE,
 * unknown keys refused, and the sender's id is the one that belongs to its key.
 */
struct bus;

typedef void (*bus_message_cb)(
    void *ctx, uint32_t from, struct node_bytes bytes);

/* Errors: MP_ERR_IO (address in use or malformed), MP_ERR_INVALID (keys). */
int bus_create(struct bus **out, uv_loop_t *loop,
    const struct settings *settings, bus_message_cb cb, void *ctx,
    struct mp_error *err);

/* The bound port, also when the settings ask the kernel for one. */
int bus_get_port(const struct bus *b);

/* Close the sockets; done is called on the loop when all handles are shut. */
void bus_destroy(struct bus *b, void (*done)(void *ctx), void *ctx);

/* Send or drop. A changed address replaces the peer's connection. */
void bus_send(struct bus *b, const struct node_send *send);

#define BUS_KEY_TEXT_BYTES 41 /* Z85 and the closing zero */

/* Make a random CURVE key pair. Errors: MP_ERR_UNAVAILABLE. */
int bus_generate_keys(char public_key[BUS_KEY_TEXT_BYTES],
    char secret_key[BUS_KEY_TEXT_BYTES], struct mp_error *err);

struct bus_counters {
	uint64_t messages_in, bytes_in;
	uint64_t messages_out, bytes_out;
	uint64_t dropped; /* not handed over: peer absent or queue full */
	uint64_t refused; /* connections refused for an unknown key */
};
void bus_get_counters(const struct bus *b, struct bus_counters *out);

#ifdef __cplusplus
}
#endif

#endif
