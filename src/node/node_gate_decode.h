/* A large configuration that is decoded before its log entry is applied. */
#ifndef MP_NODE_GATE_DECODE_H
#define MP_NODE_GATE_DECODE_H

#include "node/node_gate.h"

struct gw_update;
/*
 * Begins to decode the configuration of a log entry, which must be the next one
 * to be applied; false: it has none, or little to decode.
 */
bool gate_decode_begin(
    struct node *n, uint64_t index, struct node_bytes command);
/* Decodes a slice; true: all is decoded, and the entry can be applied. */
bool gate_decode_continue(struct node *n);
/* Whether the configuration of an entry has been decoded. */
bool gate_decode_has(const struct node_gate *g, uint64_t index);
/* The text of an entry, for the caller to destroy; NULL: it is not known. */
struct gw_text *gate_decode_share_text(
    const struct node_gate *g, uint64_t index);
/*
 * Takes the update of an entry over; false: it was not decoded.
 *
 * update: set to NULL if it is invalid.
 */
bool gate_decode_take_update(
    struct node_gate *g, uint64_t index, struct gw_update **update);
void gate_decode_end(struct node_gate *g);

#endif
