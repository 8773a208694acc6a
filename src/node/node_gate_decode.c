#include <stdlib.h>

#include "gate/gate_update.h"
#include "node/node_gate.h"
#include "node/node_gate_decode.h"
#include "node/node_guard.h"
#include "util/mem.h"

/*
 * Decoding of a large configuration in slices, before its log entry is applied:
 * the event loop serves requests between them. The configuration in force does
 * not change meanwhile, as later entries wait in the queue of node_queue.c.
 */

struct gate_decode {
	uint64_t index; /* of the log entry */
	Wire__Command *command; /* to which the difference refers */
	struct gw_text *text;
	struct gw_text_delta *delta; /* to the configuration in force */
	struct gw_update *update; /* NULL: it is invalid */
};

static void
decode_destroy(struct gate_decode *d)
{
	gw_update_destroy(d->update);
	gw_text_delta_destroy(d->delta);
	gw_text_destroy(d->text);
	wire__command__free_unpacked(d->command, NULL);
	free(d);
}

/* Makes the text and its difference; false: there is none to decode. */
static bool
make_text(const struct node_gate *g, const Wire__GatewayConfig *put,
    struct gate_decode *d)
{
	struct node_bytes text = {(const char *)put->text.data, put->text.len};
	const struct gw_text *base;

	if (gate_config_is_delta(put)) {
		d->delta = gate_config_read_delta(put);
		return gate_config_find_base(g, put, &base) &&
		    base == g->config_text &&
		    gw_text_apply(&d->text, base, d->delta, NULL) == MP_OK &&
		    gw_text_digest(d->text) == put->digest;
	}
	if (gw_text_parse(&d->text, text, g->config_text, NULL) != MP_OK)
		return false;
	d->delta = gw_text_diff(g->config_text, d->text);
	return true;
}

/* Begins to decode a newer configuration; false: there is little to decode. */
static bool
begin(struct node_gate *g, const Wire__Command *command, struct gate_decode *d)
{
	const Wire__GatewayConfig *put = command->gateway_config;

	return command->body_case == WIRE__COMMAND__BODY_GATEWAY_CONFIG &&
	    put->version > g->config->version && make_text(g, put, d) &&
	    gw_text_delta_bytes(d->delta) >= 2 * node_decode_slice_bytes &&
	    gw_update_begin(&d->update, g->codec, g->config, g->config_text,
		d->text, d->delta, NULL) == MP_OK;
}

bool
gate_decode_begin(struct node *n, uint64_t index, struct node_bytes command)
{
	struct node_gate *g = n->gate;
	struct gate_decode *d;

	if (g == NULL || g->config == NULL ||
	    command.len < 2 * node_decode_slice_bytes ||
	    node_acts_as_earlier_version(n->id))
		return false;
	d = mem_alloc(1, sizeof(*d));
	d->index = index;
	d->command = wire__command__unpack(
	    NULL, command.len, (const uint8_t *)command.data);
	if (d->command == NULL || !begin(g, d->command, d)) {
		decode_destroy(d);
		return false;
	}
	gate_decode_end(g);
	g->decode = d;
	return true;
}

bool
gate_decode_continue(struct node *n)
{
	struct gate_decode *d = n->gate->decode;
	bool done = false;

	if (d == NULL || d->update == NULL)
		return true;
	n->gate->config_counts.slices++;
	if (gw_update_continue(
		d->update, node_decode_slice_bytes, &done, NULL) == MP_OK)
		return done;
	gw_update_destroy(d->update);
	d->update = NULL;
	return true;
}

bool
gate_decode_has(const struct node_gate *g, uint64_t index)
{
	return g->decode != NULL && g->decode->index == index;
}

struct gw_text *
gate_decode_share_text(const struct node_gate *g, uint64_t index)
{
	return gate_decode_has(g, index) ? gw_text_share(g->decode->text)
					 : NULL;
}

bool
gate_decode_take_update(
    struct node_gate *g, uint64_t index, struct gw_update **update)
{
	if (!gate_decode_has(g, index))
		return false;
	*update = g->decode->update;
	g->decode->update = NULL;
	return true;
}

void
gate_decode_end(struct node_gate *g)
{
	if (g->decode != NULL)
		decode_destroy(g->decode);
	g->decode = NULL;
}
