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
 * The message bus between instances: ZeroMQ sockets on the loop. One bound
 * ROUTER socket receives; one DEALER socket for each peer sends.
 *
 * Bulk messages (see node_send) have a connection of their own to each peer,
 * made when the first one is sent or announced, so that heartbeats and leases
 * don't wait behind them. Few of them are queued; further ones are dropped.
 *
 * Messages to a peer that is absent or does not respond are dropped rather
 * than delivered late: the high-water marks are small, sockets use immediate
 * mode (no queue without a connection) and no linger, and the connecting side
 * sends heartbeats.
 *
 * With keys in the settings connections use CURVE: unknown keys are refused,
 * and the sender's id is the one that belongs to its key. Without keys it is
 * the id that the sender states.
 */
struct bus;

/*
 * Receives a message.
 *
 * from: the id of the sending instance.
 * bytes: valid only during the call.
 */
typedef void (*bus_message_cb)(
    void *ctx, uint32_t from, struct node_bytes bytes);

/*
 * Bind the listening address and connect to the peers in the settings.
 *
 * out: the bus, to be released by bus_destroy(); NULL on error.
 * settings: must outlive the bus.
 * Errors: MP_ERR_IO (address in use or malformed), MP_ERR_INVALID (keys).
 */
int bus_create(struct bus **out, uv_loop_t *loop,
    const struct settings *settings, bus_message_cb cb, void *ctx,
    struct mp_error *err);

/* Return the bound port; 0 on failure. */
int bus_get_port(const struct bus *b);

/*
 * Close the sockets and free the bus; done is called once all handles are
 * closed.
 */
void bus_destroy(struct bus *b, void (*done)(void *ctx), void *ctx);

/*
 * Send a message or drop it, which is counted. Connects to the peer if needed;
 * another address than before replaces the peer's connection.
 */
void bus_send(struct bus *b, const struct node_send *send);

#define BUS_KEY_TEXT_BYTES 41 /* Z85 and the terminating zero */

/* Generate a random CURVE key pair. Errors: MP_ERR_UNAVAILABLE. */
int bus_generate_keys(char public_key[BUS_KEY_TEXT_BYTES],
    char secret_key[BUS_KEY_TEXT_BYTES], struct mp_error *err);

struct bus_counters {
	uint64_t messages_in, bytes_in;
	uint64_t messages_out, bytes_out;
	uint64_t dropped; /* not sent: peer absent, queue full, too large */
	uint64_t refused; /* connections refused because of an unknown key */
};

/* Read the counters, which count from the creation of the bus. */
void bus_get_counters(const struct bus *b, struct bus_counters *out);

#ifdef __cplusplus
}
#endif

#endif
