#include <stdint.h>
#include <string.h>
#include <xxhash.h>

#include "wire/seal.h"

#define SEAL_BYTES 8

struct seal_sink {
	ProtobufCBuffer base;
	struct buf *out;
};

static void
seal_sink_append(ProtobufCBuffer *base, size_t len, const uint8_t *data)
{
	struct seal_sink *sink = (struct seal_sink *)base;

	buf_append(sink->out, data, len);
}

void
seal_pack(struct buf *out, const ProtobufCMessage *message)
{
	struct seal_sink sink = {{seal_sink_append}, out};
	XXH64_canonical_t hash = {{0}};
	size_t start = out->len;

	buf_append(out, &hash, SEAL_BYTES);
	(void)protobuf_c_message_pack_to_buffer(message, &sink.base);
	XXH64_canonicalFromHash(&hash,
	    XXH64(out->data + start + SEAL_BYTES, out->len - start - SEAL_BYTES,
		0));
	memcpy(out->data + start, &hash, SEAL_BYTES);
}

ProtobufCMessage *
seal_unpack(const ProtobufCMessageDescriptor *type, const char *data,
    size_t len, enum mp_layer layer, const char *what, struct mp_error *err)
{
	XXH64_canonical_t hash;
	ProtobufCMessage *message = NULL;

	if (len >= SEAL_BYTES) {
		memcpy(&hash, data, SEAL_BYTES);
		data += SEAL_BYTES;
		len -= SEAL_BYTES;
		if (XXH64(data, len, 0) == XXH64_hashFromCanonical(&hash))
			message = protobuf_c_message_unpack(
			    type, NULL, len, (const uint8_t *)data);
	}
	if (message == NULL)
		(void)mp_error_set(err, layer, MP_ERR_CORRUPT,
		    "the saved %s fails its hash or is cut short", what);
	return message;
}
