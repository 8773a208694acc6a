#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "util/mem.h"

/* The placer: answers the asks of entries and sends orders to engines. */

static void
record_entry(struct node *n, uint32_t from, uint64_t incarnation)
{
	uint32_t *instance = map_get_u64(n->gate->entries, incarnation);

	if (instance == NULL) {
		instance = mem_alloc(1, sizeof(*instance));
		(void)map_set_u64(n->gate->entries, incarnation, instance);
	}
	*instance = from;
}

static const char *
text_or_null(const char *text)
{
	return text[0] == '\0' ? NULL : text;
}

void
gate_place_on_ask(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__PlaceAsk *ask)
{
	struct place_request r = {0};
	struct gw_prompt_part parts[GW_PREFIX_PARTS_MAX];
	size_t i;

	if (gate_is_sharded(n) ? !gate_owns_shard(n) : !n->gate->placing)
		return; /* the entry retries at the current placer */
	record_entry(n, from, incarnation);
	r.id.entry = incarnation;
	r.id.ask = ask->ask;
	r.kind = (enum gw_kind)ask->kind;
	r.service = ask->service;
	r.model = text_or_null(ask->model);
	r.adapter = text_or_null(ask->adapter);
	r.prompt_tokens = ask->prompt_tokens;
	r.max_tokens = ask->max_tokens;
	for (i = 0; i < ask->n_parts && i < GW_PREFIX_PARTS_MAX; i++) {
		parts[i].hash = ask->parts[i]->hash;
		parts[i].tokens = ask->parts[i]->tokens;
	}
	r.parts = parts;
	r.nparts = i;
	r.deadline_us = n->now + ask->left_ms * 1000ULL;
	r.target_us = n->now + ask->target_left_ms * 1000ULL;
	r.priority = ask->priority;
	r.attempt = ask->attempt;
	r.data_centre = ask->data_centre;
	r.account = text_or_null(ask->account);
	r.account_priority = ask->account_priority;
	r.may_redirect = ask->may_redirect;
	for (i = 0; i < ask->n_avoid && i < PLACE_AVOID_MAX; i++)
		r.avoid[i] = ask->avoid[i];
	r.navoid = i;
	place_ask(n->gate->place, n->now, &r);
}

/*
 * Gives up the asks of an earlier process of an instance, which says that it
 * has ended.
 */
static void
drop_ended_entry(struct node *n, uint32_t from, uint64_t incarnation)
{
	const uint32_t *instance = map_get_u64(n->gate->entries, incarnation);

	if (instance != NULL && *instance == from)
		node_gate_entry_down(n, incarnation);
}

void
gate_place_on_done(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__PlaceDone *done)
{
	struct place_id id = {incarnation, done->ask};
	struct place_result result = {0};

	if (done->ended_entry != 0) {
		drop_ended_entry(n, from, done->ended_entry);
		return;
	}
	result.outcome = (enum place_outcome)done->outcome;
	result.first_ms = done->first_ms;
	result.load_told = done->load_told;
	result.running = done->running;
	result.waiting = done->waiting;
	result.slots = done->slots;
	result.work_percent = done->work_percent;
	result.limit_told = done->limit != NULL;
	result.limit = gate_limit_from_wire(done->limit);
	place_done(n->gate->place, n->now, id, &result);
}

static void
send_reply(struct node *n, const struct place_decision *d)
{
	static const Wire__PlaceStatus statuses[] = {
	    WIRE__PLACE_STATUS__PLACE_GIVEN, WIRE__PLACE_STATUS__PLACE_WAITS,
	    WIRE__PLACE_STATUS__PLACE_REFUSED};
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__PlaceReply reply = WIRE__PLACE_REPLY__INIT;
	const uint32_t *to = map_get_u64(n->gate->entries, d->id.entry);

	if (to == NULL)
		return;
	reply.ask = d->id.ask;
	reply.status = statuses[d->type];
	if (d->endpoint != NULL)
		reply.endpoint = (char *)d->endpoint;
	if (d->address != NULL)
		reply.address = (char *)d->address;
	reply.born_ms = d->born_ms;
	reply.waited_ms_and_one = d->basis.waited_ms + 1;
	if (d->reason != NULL)
		reply.reason = (char *)d->reason;
	reply.adapter_version = d->adapter_version;
	reply.urgency = d->urgency;
	reply.retry_after_ms = d->retry_after_ms;
	reply.load_ms = place_load_ms(n->gate->place);
	reply.elsewhere = d->elsewhere && gate_is_sharded(n);
	envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_REPLY;
	envelope.place_reply = &reply;
	node_peer_reply(n, *to, d->id.entry, &envelope);
}

/* ---- orders ------------------------------------------------------------- */

/*
 * Returns the timeout of an order or report call. It follows the recent answer
 * time, because answers also wait for the processor of this instance.
 */
static uint64_t
order_timeout_us(const struct node_gate *g)
{
	uint64_t us = g->answer_time_us * GATE_ORDER_TIMEOUT_FACTOR;

	if (us < GATE_ORDER_TIMEOUT_MIN_US)
		return GATE_ORDER_TIMEOUT_MIN_US;
	return us > GATE_ORDER_TIMEOUT_MAX_US ? GATE_ORDER_TIMEOUT_MAX_US : us;
}

/*
 * Updates the smoothed answer time: the newest call weighs one eighth. A call
 * without an answer counts with its whole timeout.
 */
static void
record_answer_time(struct node *n, const struct gate_order *pending)
{
	struct node_gate *g = n->gate;

	g->answer_time_us =
	    (g->answer_time_us * 7 + n->now - pending->sent_us) / 8;
}

static void
send_order(struct node *n, const struct place_decision *d)
{
	struct node_call *call = &node_effects_add(n->fx, NODE_FX_CALL)->u.call;
	struct gate_order *pending = mem_alloc(1, sizeof(*pending));
	struct gw_order order = d->order;
	uint64_t until_us = gate_order_until_us(n);

	pending->endpoint = mem_string(d->endpoint);
	pending->is_report = d->type == PLACE_REPORT;
	pending->place_call = d->call;
	pending->sent_us = n->now;
	call->call = ++n->last_call;
	call->address = node_effects_printf(n->fx, "%s", d->address);
	call->not_after_us = n->now + order_timeout_us(n->gate);
	if (!pending->is_report && until_us < call->not_after_us)
		call->not_after_us = until_us;
	call->silence_us = order_timeout_us(n->gate);
	(void)map_set_u64(n->gate->orders, call->call, pending);
	if (pending->is_report) {
		n->gate->codec->write_report_request(
		    call, node_effects_printf(n->fx, "%s", d->endpoint), n->fx);
		return;
	}
	order.endpoint = node_effects_printf(n->fx, "%s", d->endpoint);
	order.holder = n->settings->name;
	order.fence = gate_fence_of(n, d->service, d->endpoint);
	pending->fence = order.fence;
	n->gate->codec->write_order(call, &order, n->fx);
	pending->artifact =
	    mem_string(order.adapter == NULL ? order.model : order.adapter);
	pending->is_unload = order.type == GW_ORDER_UNLOAD;
}

static void
handle_report_end(
    struct node *n, const struct gate_order *pending, bool is_complete)
{
	struct gw_report report;
	struct node_bytes text = {pending->answer.data, pending->answer.len};

	if (is_complete && pending->status == 200 &&
	    n->gate->codec->read_report(&report, text, n->fx) == MP_OK)
		place_on_report(
		    n->gate->place, n->now, pending->endpoint, &report);
	else
		place_on_report(
		    n->gate->place, n->now, pending->endpoint, NULL);
}

static void
handle_order_end(struct node *n, const struct gate_order *pending,
    enum node_call_phase phase)
{
	enum gw_order_result result = phase == NODE_CALL_END
	    ? n->gate->codec->read_order_result(pending->status)
	    : GW_ORDER_FAILED;
	bool is_awaited = place_is_call_open(
	    n->gate->place, pending->endpoint, pending->place_call);

	if (pending->is_report) {
		if (is_awaited)
			handle_report_end(n, pending, phase == NODE_CALL_END);
		return;
	}
	node_log(n, NODE_LOG_GATE_ORDER,
	    "{\"endpoint\": \"%s\", \"order\": \"%s\", "
	    "\"what\": \"%s\", \"status\": %d, "
	    "\"fence\": %llu, \"tookMs\": %llu}",
	    pending->endpoint, pending->is_unload ? "unload" : "load",
	    pending->artifact, pending->status,
	    (unsigned long long)pending->fence,
	    (unsigned long long)((n->now - pending->sent_us) / 1000));
	if (is_awaited)
		place_on_order_result(n->gate->place, n->now, pending->endpoint,
		    result, phase == NODE_CALL_BROKEN);
}

static void
finish_order(struct node *n, uint64_t call, enum node_call_phase phase)
{
	struct gate_order *pending = map_remove_u64(n->gate->orders, call);

	record_answer_time(n, pending);
	handle_order_end(n, pending, phase);
	free(pending->endpoint);
	free(pending->artifact);
	buf_free(&pending->answer);
	free(pending);
}

/* Cancels a call whose answer does not end; it counts as unanswered. */
static void
cancel_order(struct node *n, uint64_t call)
{
	node_effects_add(n->fx, NODE_FX_CALL_CANCEL)->u.cancelled_call = call;
	finish_order(n, call, NODE_CALL_BROKEN);
}

static void
orders_tick(struct node *n)
{
	const struct gate_order *pending;
	uint64_t call;
	size_t i = map_count(n->gate->orders);

	while (i-- > 0) {
		pending = map_at(n->gate->orders, i);
		if (n->now < pending->sent_us + GATE_ANSWER_TIMEOUT_US)
			continue;
		memcpy(
		    &call, map_key_at(n->gate->orders, i, NULL), sizeof(call));
		cancel_order(n, call);
	}
}

bool
gate_order_on_call(struct node *n, const struct node_call_event *event)
{
	struct gate_order *pending = map_get_u64(n->gate->orders, event->call);

	if (pending == NULL)
		return false;
	if (event->phase == NODE_CALL_HEAD) {
		pending->status = event->status;
		return true;
	}
	if (event->phase == NODE_CALL_DATA) {
		buf_append(&pending->answer, event->data.data, event->data.len);
		if (pending->answer.len > GATE_ANSWER_MAX_BYTES)
			cancel_order(n, event->call);
		return true;
	}
	finish_order(n, event->call, event->phase);
	return true;
}

/* ---- the role of placer ------------------------------------------------- */

/*
 * Added to the order lease for the difference of clocks and the age of the last
 * message from the previous placer.
 */
#define TAKEOVER_MARGIN_US (200 * 1000ULL)

/*
 * A previous placer from which nothing was received for this time has ended or
 * is cut off.
 */
#define PREVIOUS_PLACER_TIMEOUT_US (400 * 1000ULL)

/*
 * Returns when this placer may send its first order. The previous placer sent
 * orders under its authority only, which has ended by now. If endpoints do not
 * check fences, its last order must be older than the order lease. If they do,
 * this matters only for a previous placer that still runs and is not about to
 * stop: any other can send no more orders, and its fence is refused.
 */
static uint64_t
first_order_us(const struct node *n)
{
	uint64_t lease_us =
	    (uint64_t)n->settings->gateway.order_lease_ms * 1000 +
	    TAKEOVER_MARGIN_US;
	const struct node_peer *previous;
	const struct member *m;

	if (n->gate->table_source == 0)
		return n->now; /* there was no previous placer */
	if (!n->settings->gateway.fenced)
		return n->now + lease_us;
	previous = map_get_u64(n->peers, n->gate->table_source);
	m = member_view_find(n->view, n->gate->table_source);
	if (previous == NULL || m == NULL || m->leaving ||
	    n->now > previous->received_us + PREVIOUS_PLACER_TIMEOUT_US)
		return n->now;
	return previous->received_us + lease_us;
}

/* Starts to place as the leader of a term. */
static void
start_placing(struct node *n)
{
	struct node_gate *g = n->gate;
	const struct settings_gateway *s = &n->settings->gateway;

	g->placing = true;
	g->placing_since_us = n->now;
	g->placing_term = g->table_term = raft_get_term(n->raft);
	g->fence = n->applied;
	g->table_number = 0;
	g->table_timer_us = 0;
	g->order_after_us = first_order_us(n);
	place_set_heartbeat(g->place, s->heartbeat_ms);
	place_reset(g->place, n->now);
	node_log(n, NODE_LOG_GATE_PLACER,
	    "{\"placing\": true, \"term\": %llu, \"endpoints\": %zu}",
	    (unsigned long long)g->placing_term,
	    place_endpoint_count(g->place));
}

static void
stop_placing(struct node *n)
{
	struct node_gate *g = n->gate;

	g->placing = false;
	g->table_complete = false;
	place_set_heartbeat(g->place, 0);
	place_reset(g->place, n->now);
	node_log(n, NODE_LOG_GATE_PLACER, "{\"placing\": false}");
}

static void
update_placing(struct node *n)
{
	bool leads = n->raft != NULL && raft_get_role(n->raft) == RAFT_LEADER &&
	    raft_leader_since(n->raft) != 0;

	if (leads && n->gate->placing &&
	    n->gate->placing_term != raft_get_term(n->raft))
		n->gate->placing = false;
	if (leads && !n->gate->placing && gate_has_authority(n))
		start_placing(n);
	else if (!leads && n->gate->placing)
		stop_placing(n);
}

static void
log_placer_reachable(struct node *n)
{
	bool no_placer = node_gate_placer(n) == 0;

	if (no_placer == n->gate->logged_no_placer)
		return;
	n->gate->logged_no_placer = no_placer;
	node_log(n, NODE_LOG_GATE_ALONE,
	    "{\"silent\": %s, \"leader\": %u, \"endpoints\": %zu}",
	    no_placer ? "true" : "false", node_leader(n),
	    place_endpoint_count(n->gate->place));
}

/* Logs what is queued here, once a second while requests arrive. */
static void
log_state(struct node *n)
{
	struct node_gate *g = n->gate;
	struct place_totals t;
	struct place_state s;

	if (n->now < g->state_log_due_us)
		return;
	g->state_log_due_us = n->now + GATE_STATE_LOG_INTERVAL_US;
	place_get_totals(g->place, &t);
	if (t.asked == g->state_logged_asks)
		return;
	place_get_state(g->place, &s);
	node_log(n, NODE_LOG_GATE_STATE,
	    "{\"placing\": %s, \"engines\": %u, \"asked\": %u, "
	    "\"running\": %u, \"unreadMs\": %u, \"unreadMostMs\": %u, "
	    "\"waiting\": %u, \"oldestMs\": %u, \"waitLoad\": %u, "
	    "\"waitEngine\": %u, \"waitCall\": %u, \"loading\": %u, "
	    "\"loadingMost\": %u, \"storeLoadMs\": %u, "
	    "\"storeLoadsLate\": %u, \"wanted\": %u, \"heldCall\": %u, "
	    "\"heldQuiet\": %u, \"heldReport\": %u, \"heldStore\": %u, "
	    "\"heldPlaces\": %u}",
	    g->placing || gate_owns_shard(n) ? "true" : "false", s.engines,
	    t.asked - g->state_logged_asks, s.running, s.unread_ms,
	    s.unread_max_ms, s.waiting, s.oldest_ms, s.wait_load, s.wait_engine,
	    s.wait_call, s.loading, s.loading_max, s.load_ms, s.loads_late,
	    s.wanted, s.held_call, s.held_quiet, s.held_report, s.held_store,
	    s.held_places);
	g->state_logged_asks = t.asked;
}

void
gate_place_tick(struct node *n)
{
	update_placing(n);
	orders_tick(n);
	log_state(n);
	if (n->raft == NULL)
		log_placer_reachable(n);
	gate_ask_tick(n);
}

static void
log_decision(struct node *n, const struct place_decision *d)
{
	const struct place_basis *b = &d->basis;
	bool placed = d->type == PLACE_GRANT;

	if (!placed && d->type != PLACE_REFUSE)
		return;
	node_log(n, placed ? NODE_LOG_GATE_PLACED : NODE_LOG_GATE_REFUSED,
	    "{\"ask\": %llu, \"entry\": %llu, \"reason\": \"%s\", "
	    "\"endpoint\": \"%s\", \"estimateMs\": %u, "
	    "\"backlogMs\": %u, \"running\": %u, \"heardMs\": %u, "
	    "\"needsLoad\": %s, \"loads\": %u, \"waitedMs\": %u, "
	    "\"loadWaitMs\": %u, \"account\": \"%s\", \"late\": %s, "
	    "\"overShare\": %s, \"urgency\": %u, \"savingMs\": %u}",
	    (unsigned long long)d->id.ask, PLACE_LOG_ENTRY_ID(d->id.entry),
	    placed ? "" : d->reason, b->endpoint == NULL ? "" : b->endpoint,
	    b->estimate_ms, b->backlog_ms, b->running, b->announcement_age_ms,
	    b->needs_load ? "true" : "false", b->pending_loads, b->waited_ms,
	    b->load_wait_ms, b->account == NULL ? "" : b->account,
	    b->is_late ? "true" : "false", b->is_over_share ? "true" : "false",
	    d->urgency, b->saving_ms);
}

void
gate_place_run(struct node *n)
{
	struct node_gate *g = n->gate;
	struct place_decision d;

	if (place_next_run_us(g->place) > n->now)
		return;
	place_run(g->place, n->now, gate_may_order(n));
	while (place_pop_decision(g->place, &d)) {
		log_decision(n, &d);
		if (d.type == PLACE_ORDER || d.type == PLACE_REPORT)
			send_order(n, &d);
		else if (d.id.entry == n->incarnation)
			gate_ask_on_decision(n, &d);
		else
			send_reply(n, &d);
	}
}
