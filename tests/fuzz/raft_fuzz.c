#include <stdlib.h>
#include <string.h>

#include "fuzz/node_harness.h"
#include "raft/raft.h"
#include "util/mem.h"

#define MESSAGES_MAX 24
#define HEADER_BYTES 4 /* sender, ticks after it, length (little-endian) */
#define VOTERS	     3
#define TICK_US	     100000

struct voter {
	struct raft *raft;
	struct node_effects *fx;
	uint64_t now_us;
};

/* Report all saves as synced and take all that comes out. */
static void
settle(struct voter *v)
{
	struct node_effects *fx = node_effects_create();
	const struct node_effect *effect;
	struct raft_committed committed;
	struct raft_message message;
	size_t i;

	for (i = 0; i < node_effects_count(v->fx); i++) {
		effect = node_effects_at(v->fx, i);
		if (effect->type == NODE_FX_SAVE && effect->u.save.ticket != 0)
			raft_save_completed(v->raft, v->now_us,
			    effect->u.save.ticket, true, fx);
	}
	node_effects_destroy(v->fx);
	v->fx = fx;
	while (raft_take_message(v->raft, &message))
		;
	while (raft_take_committed(v->raft, &committed))
		;
}

static void
tick(struct voter *v, unsigned count)
{
	while (count-- > 0) {
		v->now_us += TICK_US;
		raft_tick(v->raft, v->now_us, v->fx);
		settle(v);
	}
}

static void
voter_create(struct voter *v)
{
	static const struct node_disk disk = {.incarnation = 1, .fresh = true};
	static const struct raft_options options = {
	    RAFT_ID(1, 1), 0, 1, 100000, 500000, 1000000, 65536, 65536};
	struct raft_config config = {.nvoters = VOTERS};
	struct mp_error err;
	unsigned i;

	for (i = 0; i < VOTERS; i++)
		config.voters[i] = RAFT_ID(1, i + 1);
	v->now_us = TICK_US;
	v->fx = node_effects_create();
	if (raft_create(&v->raft, &options, &disk, v->now_us, &err) != MP_OK ||
	    raft_found_log(v->raft, v->now_us, &config, v->fx, &err) != MP_OK)
		abort();
	settle(v);
}

static void
receive(struct voter *v, unsigned from, const uint8_t *data, size_t len)
{
	char *copy = mem_alloc(len + 1, 1);

	memcpy(copy, data, len);
	raft_receive(v->raft, v->now_us, RAFT_ID(1, 2 + from % VOTERS),
	    (struct node_bytes){copy, len}, v->fx);
	free(copy);
	settle(v);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct voter v;
	size_t i, len;

	voter_create(&v);
	for (i = 0; i < MESSAGES_MAX && size >= HEADER_BYTES; i++) {
		len = data[2] | (size_t)data[3] << 8;
		if (len > size - HEADER_BYTES)
			len = size - HEADER_BYTES;
		receive(&v, data[0], data + HEADER_BYTES, len);
		tick(&v, data[1] % 16);
		data += HEADER_BYTES + len;
		size -= HEADER_BYTES + len;
	}
	tick(&v, 20);
	raft_destroy(v.raft);
	node_effects_destroy(v.fx);
	return 0;
}
