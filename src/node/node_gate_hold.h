/* Requests that wait until this entry is ready. */
#ifndef MP_NODE_GATE_HOLD_H
#define MP_NODE_GATE_HOLD_H

#include "node/node_gate.h"

struct gate_hold_counts {
	size_t held; /* now */
	uint64_t held_total;
	uint64_t refused_total; /* of these, refused when their time was up */
};

struct gate_hold *gate_hold_create(void);
void gate_hold_destroy(struct gate_hold *hold);
/* Whether the configuration is usable and an endpoint table is known. */
bool gate_is_ready(const struct node *n);
/*
 * Holds a request until gate_is_ready(). Returns false if it can't be held.
 *
 * deadline_ms: time that its caller waits; 0: not known.
 */
bool gate_hold_add(
    struct node *n, const struct node_request *in, uint32_t deadline_ms);
/* Returns true if the request was held; it is dropped. */
bool gate_hold_caller_gone(struct node *n, uint64_t request);
/* Starts held requests, or refuses those whose time is up. */
void gate_hold_run(struct node *n);
/* When gate_hold_run() is due next, UINT64_MAX: never. */
uint64_t gate_hold_next_us(const struct node *n);
void gate_hold_get_counts(
    const struct gate_hold *hold, struct gate_hold_counts *out);

#endif
