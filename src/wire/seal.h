#ifndef MP_WIRE_SEAL_H
#define MP_WIRE_SEAL_H

#include <protobuf-c/protobuf-c.h>
#include <stddef.h>

#include "mulberrypath/error.h"
#include "util/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Saved states: a packed message behind an XXH64 hash of its bytes. */

/* Append a message and its hash. */
void seal_pack(struct buf *out, const ProtobufCMessage *message);

/*
 * Check and unpack what seal_pack() wrote.
 *
 * layer, what: named in the error.
 * Returns the message, for protobuf_c_message_free_unpacked(), or NULL with
 * err set to MP_ERR_CORRUPT.
 */
ProtobufCMessage *seal_unpack(const ProtobufCMessageDescriptor *type,
    const char *data, size_t len, enum mp_layer layer, const char *what,
    struct mp_error *err);

#ifdef __cplusplus
}
#endif

#endif
