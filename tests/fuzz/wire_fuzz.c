#include <stdlib.h>
#include <string.h>

#include "fuzz/node_harness.h"
#include "util/mem.h"

#define MESSAGES_MAX 24
#define HEADER_BYTES 4 /* sender, ticks after it, length (little-endian) */
#define SENDERS	     3

static void
receive(struct harness *h, unsigned from, const uint8_t *data, size_t len)
{
	struct node_event ev = {.type = NODE_EV_MESSAGE};
	char *copy = mem_alloc(len + 1, 1);

	memcpy(copy, data, len);
	ev.u.message.from = 2 + from % SENDERS;
	ev.u.message.bytes.data = copy;
	ev.u.message.bytes.len = len;
	harness_step(h, &ev);
	free(copy);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct harness h;
	size_t i, len;

	harness_create_serving(&h);
	for (i = 0; i < MESSAGES_MAX && size >= HEADER_BYTES; i++) {
		len = data[2] | (size_t)data[3] << 8;
		if (len > size - HEADER_BYTES)
			len = size - HEADER_BYTES;
		receive(&h, data[0], data + HEADER_BYTES, len);
		harness_ticks(&h, data[1] % 8);
		data += HEADER_BYTES + len;
		size -= HEADER_BYTES + len;
	}
	harness_ticks(&h, 10);
	harness_destroy(&h);
	return 0;
}
