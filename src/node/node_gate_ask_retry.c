#include <stdlib.h>

#include "node/node_gate.h"

/*
 * Timeouts and retries of asks. An ask that is not answered in time goes to
 * another placer or owner. An ask whose placer is overloaded is sent once the
 * window there has room, or is refused after a timeout.
 */

/*
 * Moves an ask to another placer; 0: this entry places the request. The
 * previous placer is notified, so that it reserves no place for the request.
 */
static void
move_ask(struct node *n, struct gate_ask *pending, uint32_t placer)
{
	static const struct place_result abandoned = {
	    .outcome = PLACE_ABANDONED};

	gate_ask_send_done(n, pending, &abandoned);
	gate_ask_clear_outstanding(n, pending);
	pending->placer = placer;
	(void)forward_resend_ask(n->gate->forward, n->now, pending->ask, n->fx);
}

/*
 * Records that the placer did not answer in time. If another message of it
 * arrived since the ask was sent, it is overloaded. If none did, it may be
 * lost, and no asks are sent to it for a while.
 */
static void
record_timeout(struct node *n, struct gate_ask *pending)
{
	const struct node_peer *peer = map_get_u64(n->peers, pending->placer);
	struct gate_owner *o = gate_owner_get(n, pending->placer);

	if (peer != NULL && peer->received_us > pending->sent_us) {
		pending->busy_placer = pending->placer;
		return; /* move_ask() counts it as a late answer */
	}
	pending->is_outstanding = false;
	o->backoff_until_us = n->now + GATE_OWNER_BACKOFF_US;
	place_window_lost(&o->window);
}

/*
 * Refuses an ask whose placer is overloaded: what this entry may use by itself
 * can't serve the request without an order, which only the placer can give.
 */
static void
refuse_overloaded(struct node *n, struct gate_ask *pending)
{
	static const struct place_result abandoned = {
	    .outcome = PLACE_ABANDONED};
	uint64_t ask = pending->ask;

	gate_ask_send_done(n, pending, &abandoned);
	free(map_remove_u64(n->gate->asks, ask));
	forward_on_refusal(n->gate->forward, n->now, ask, GW_REFUSE_OVERLOAD,
	    "placer-busy", GATE_RETRY_AFTER_MS, n->fx);
}

/*
 * Sends an ask that found the window of its placer full, once the window has
 * room; refuses it after a timeout.
 */
static void
busy_ask_tick(struct node *n, struct gate_ask *pending, uint32_t placer)
{
	if (place_window_is_open(&gate_owner_get(n, placer)->window)) {
		pending->busy_placer = 0;
		move_ask(n, pending, placer);
	} else if (n->now > pending->created_us + GATE_BUSY_TIMEOUT_US) {
		refuse_overloaded(n, pending);
	}
}

static bool
has_timed_out(struct node *n, const struct gate_ask *pending)
{
	const struct gate_owner *o = gate_owner_get(n, pending->placer);

	return pending->is_outstanding &&
	    n->now > pending->sent_us + place_window_late_after_us(&o->window) +
		GATE_ASK_TIMEOUT_MARGIN_US;
}

/*
 * True if an owner has queued the request and nothing was received from that
 * owner for GATE_PLACER_TIMEOUT_US.
 */
static bool
is_owner_lost(const struct node *n, const struct gate_ask *pending)
{
	const struct node_peer *peer = map_get_u64(n->peers, pending->placer);

	return pending->is_queued && pending->placer != n->id &&
	    (peer == NULL ||
		n->now > peer->received_us + GATE_PLACER_TIMEOUT_US);
}

/*
 * Sends a model request that no owner could accept to one that can by now;
 * refuses it after a timeout.
 */
static void
unassigned_ask_tick(struct node *n, struct gate_ask *pending)
{
	uint32_t owner = gate_owner_select(n, pending);

	if (owner != 0)
		move_ask(n, pending, owner);
	else if (n->now > pending->created_us + GATE_BUSY_TIMEOUT_US)
		refuse_overloaded(n, pending);
}

/*
 * Moves a model request to another owner, if one can accept it; a plain call is
 * placed by this entry.
 */
static void
move_to_other_owner(struct node *n, struct gate_ask *pending)
{
	uint32_t owner = 0;

	if (pending->key != 0) {
		pending->refused_by = pending->placer;
		owner = gate_owner_select(n, pending);
	}
	move_ask(n, pending, owner);
}

static void
sharded_ask_tick(struct node *n, struct gate_ask *pending)
{
	if (pending->placer == 0 && pending->key != 0) {
		unassigned_ask_tick(n, pending);
	} else if (pending->placer == 0) {
		return; /* this entry places it */
	} else if (!gate_is_owner(n, pending->placer) ||
	    is_owner_lost(n, pending)) {
		move_to_other_owner(n, pending);
	} else if (has_timed_out(n, pending)) {
		record_timeout(n, pending);
		move_to_other_owner(n, pending);
	}
}

static void
pending_ask_tick(struct node *n, struct gate_ask *pending, uint32_t placer)
{
	if (pending->granted)
		return;
	if (gate_is_sharded(n)) {
		sharded_ask_tick(n, pending);
	} else if (pending->placer == 0 && pending->busy_placer != 0 &&
	    pending->busy_placer == placer) {
		busy_ask_tick(n, pending, placer);
	} else if (pending->placer != placer &&
	    pending->busy_placer != placer) {
		pending->busy_placer = 0;
		move_ask(n, pending, placer);
	} else if (has_timed_out(n, pending)) {
		record_timeout(n, pending);
		move_ask(n, pending, 0);
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
		pending_ask_tick(n, map_at(n->gate->asks, i), placer);
	log_busy(n, placer);
}
