#include <stdlib.h>

#include "node/node_gate.h"

/*
 * Asks that have no answer in time: they go to another placer or owner, have
 * their turn at one that was busy, or are refused.
 */

/* Ask whoever places now; the earlier one must not keep a place for it. */
static void
ask_elsewhere(struct node *n, struct gate_ask *kept, uint32_t placer)
{
	static const struct place_result end = {.outcome = PLACE_ABANDONED};

	gate_ask_send_done(n, kept, &end);
	gate_ask_clear_outstanding(n, kept);
	kept->placer = placer;
	(void)forward_resend_ask(n->gate->forward, n->now, kept->ask, n->fx);
}

/*
 * The placer has not answered. Where something else of it came since, it has
 * no time; where nothing did, it may be lost, and the next one is asked.
 */
static void
note_silence(struct node *n, struct gate_ask *kept)
{
	const struct node_peer *peer = map_get_u64(n->peers, kept->placer);
	struct gate_owner *o = gate_owner_get(n, kept->placer);

	if (peer != NULL && peer->received_us > kept->sent_us) {
		kept->busy_placer = kept->placer;
		return; /* counted as late */
	}
	kept->is_outstanding = false;
	o->backoff_until_us = n->now + GATE_OWNER_BACKOFF_US;
	place_window_lost(&o->window);
}

/*
 * The placer has no time, and what this entry may use won't serve the request
 * without an order that only the placer can give.
 */
static void
refuse_busy(struct node *n, struct gate_ask *kept)
{
	static const struct place_result unused = {.outcome = PLACE_ABANDONED};
	uint64_t ask = kept->ask;

	gate_ask_send_done(n, kept, &unused);
	free(map_remove_u64(n->gate->asks, ask));
	forward_on_refusal(n->gate->forward, n->now, ask, "placer-busy",
	    GATE_RETRY_AFTER_MS, n->fx);
}

/* One that the placer had no time for: it has its turn, or is refused. */
static void
busy_tick(struct node *n, struct gate_ask *kept, uint32_t placer)
{
	if (place_window_is_open(&gate_owner_get(n, placer)->window)) {
		kept->busy_placer = 0;
		ask_elsewhere(n, kept, placer);
	} else if (n->now > kept->created_us + GATE_BUSY_TIMEOUT_US) {
		refuse_busy(n, kept);
	}
}

static bool
is_late(struct node *n, const struct gate_ask *kept)
{
	const struct gate_owner *o = gate_owner_get(n, kept->placer);

	return kept->is_outstanding &&
	    n->now > kept->sent_us + place_window_late_after_us(&o->window) +
		GATE_ASK_TIMEOUT_MARGIN_US;
}

/* The owner said that the request waits there; is it still heard? */
static bool
is_lost(const struct node *n, const struct gate_ask *kept)
{
	const struct node_peer *peer = map_get_u64(n->peers, kept->placer);

	return kept->is_queued && kept->placer != n->id &&
	    (peer == NULL ||
		n->now > peer->received_us + GATE_PLACER_TIMEOUT_US);
}

/* A model request that no owner had time for has its turn, or is refused. */
static void
turn_tick(struct node *n, struct gate_ask *kept)
{
	uint32_t owner = gate_owner_select(n, kept);

	if (owner != 0)
		ask_elsewhere(n, kept, owner);
	else if (n->now > kept->created_us + GATE_BUSY_TIMEOUT_US)
		refuse_busy(n, kept);
}

/* A model request goes to another owner, a plain call is placed here. */
static void
leave_owner(struct node *n, struct gate_ask *kept)
{
	uint32_t owner = 0;

	if (kept->key != 0) {
		kept->refused_by = kept->placer;
		owner = gate_owner_select(n, kept);
	}
	ask_elsewhere(n, kept, owner);
}

static void
shard_tick(struct node *n, struct gate_ask *kept)
{
	if (kept->placer == 0 && kept->key != 0) {
		turn_tick(n, kept);
	} else if (kept->placer == 0) {
		return; /* it is placed here */
	} else if (!gate_is_owner(n, kept->placer) || is_lost(n, kept)) {
		leave_owner(n, kept);
	} else if (is_late(n, kept)) {
		note_silence(n, kept);
		leave_owner(n, kept);
	}
}

static void
ask_tick(struct node *n, struct gate_ask *kept, uint32_t placer)
{
	if (kept->granted)
		return;
	if (gate_is_sharded(n)) {
		shard_tick(n, kept);
	} else if (kept->placer == 0 && kept->busy_placer != 0 &&
	    kept->busy_placer == placer) {
		busy_tick(n, kept, placer);
	} else if (kept->placer != placer && kept->busy_placer != placer) {
		kept->busy_placer = 0;
		ask_elsewhere(n, kept, placer);
	} else if (is_late(n, kept)) {
		note_silence(n, kept);
		ask_elsewhere(n, kept, 0);
	}
}

static void
log_busy(struct node *n, uint32_t placer)
{
	struct node_gate *g = n->gate;
	const struct gate_owner *o = gate_owner_get(n, placer);
	bool busy = g->window_full_us != 0 &&
	    n->now < g->window_full_us + GATE_BUSY_CLEAR_US;

	if (busy == g->logged_busy)
		return;
	g->logged_busy = busy;
	node_log(n, NODE_LOG_GATE_BUSY,
	    "{\"busy\": %s, \"placer\": %u, \"asks\": %u, "
	    "\"lateMs\": %llu, \"alone\": %llu}",
	    busy ? "true" : "false", placer, gate_owner_outstanding_asks(n),
	    (unsigned long long)place_window_late_after_us(&o->window) / 1000,
	    (unsigned long long)g->window_full_asks);
}

void
gate_ask_tick(struct node *n)
{
	uint32_t placer = node_gate_placer(n);
	size_t i = map_count(n->gate->asks);

	while (i-- > 0)
		ask_tick(n, map_at(n->gate->asks, i), placer);
	log_busy(n, placer);
}
