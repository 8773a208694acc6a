#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "util/mem.h"

/* The placer: it answers the asks of entries and gives orders to engines. */

static void
note_entry(struct node *n, uint32_t from, uint64_t incarnation)
{
	uint32_t *kept = map_get_u64(n->gate->entries, incarnation);

	if (kept == NULL) {
		kept = mem_alloc(1, sizeof(*kept));
		(void)map_set_u64(n->gate->entries, incarnation, kept);
	}
	*kept = from;
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
	struct gw_prompt_part parts[GW_PROMPT_PARTS_MAX];
	size_t i;

	if (gate_is_sharded(n) ? !gate_owns_shard(n) : !n->gate->placing)
		return; /* the entry will ask whoever places */
	note_entry(n, from, incarnation);
	r.id.entry = incarnation;
	r.id.ask = ask->ask;
	r.kind = (enum gw_kind)ask->kind;
	r.service = ask->service;
	r.model = text_or_null(ask->model);
	r.adapter = text_or_null(ask->adapter);
	r.prompt_tokens = ask->prompt_tokens;
	r.max_tokens = ask->max_tokens;
	for (i = 0; i < ask->n_parts && i < GW_PROMPT_PARTS_MAX; i++) {
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
	for (i = 0; i < ask->n_avoid && i < PLACE_AVOID_MAX; i++)
		r.avoid[i] = ask->avoid[i];
	r.navoid = i;
	place_ask(n->gate->place, n->now, &r);
}

void
gate_place_on_done(
    struct node *n, uint64_t incarnation, const Wire__PlaceDone *done)
{
	struct place_id id = {incarnation, done->ask};
	struct place_result end = {0};

	end.outcome = (enum place_outcome)done->outcome;
	end.first_ms = done->first_ms;
	end.load_told = done->load_told;
	end.running = done->running;
	end.waiting = done->waiting;
	end.slots = done->slots;
	place_done(n->gate->place, n->now, id, &end);
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
	if (d->reason != NULL)
		reply.reason = (char *)d->reason;
	reply.adapter_version = d->adapter_version;
	reply.urgency = d->urgency;
	reply.retry_after_ms = d->retry_after_ms;
	reply.load_ms = place_load_ms(n->gate->place);
	reply.elsewhere = d->elsewhere && gate_is_sharded(n);
	envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_REPLY;
	envelope.place_reply = &reply;
	node_peer_send(n, *to, &envelope);
}

/* ---- orders ------------------------------------------------------------- */

/* Answers wait for this instance's processor, too. */
static uint64_t
order_limit_us(const struct node_gate *g)
{
	uint64_t us = g->answer_time_us * GATE_ORDER_TIMEOUT_FACTOR;

	if (us < GATE_ORDER_TIMEOUT_MIN_US)
		return GATE_ORDER_TIMEOUT_MIN_US;
	return us > GATE_ORDER_TIMEOUT_MAX_US ? GATE_ORDER_TIMEOUT_MAX_US : us;
}

/* The newest counts for an eighth; one that stayed out for its whole limit. */
static void
note_answer_time(struct node *n, const struct gate_order *kept)
{
	struct node_gate *g = n->gate;

	g->answer_time_us =
	    (g->answer_time_us * 7 + n->now - kept->sent_us) / 8;
}

static void
give_order(struct node *n, const struct place_decision *d)
{
	struct node_call *call = &node_effects_add(n->fx, NODE_FX_CALL)->u.call;
	struct gate_order *kept = mem_alloc(1, sizeof(*kept));
	struct gw_order order = d->order;
	uint64_t until = gate_order_until_us(n);

	kept->endpoint = mem_string(d->endpoint);
	kept->is_report = d->type == PLACE_REPORT;
	kept->sent_us = n->now;
	call->call = ++n->last_call;
	call->address = node_effects_printf(n->fx, "%s", d->address);
	call->not_after_us = n->now + order_limit_us(n->gate);
	if (!kept->is_report && until < call->not_after_us)
		call->not_after_us = until;
	call->silence_us = order_limit_us(n->gate);
	(void)map_set_u64(n->gate->orders, call->call, kept);
	if (kept->is_report) {
		n->gate->codec->write_report_request(
		    call, node_effects_printf(n->fx, "%s", d->endpoint), n->fx);
		return;
	}
	order.endpoint = node_effects_printf(n->fx, "%s", d->endpoint);
	order.holder = n->settings->name;
	order.fence = gate_fence_of(n, d->service, d->endpoint);
	kept->fence = order.fence;
	n->gate->codec->write_order(call, &order, n->fx);
	kept->artifact =
	    mem_string(order.adapter == NULL ? order.model : order.adapter);
	kept->is_unload = order.type == GW_ORDER_UNLOAD;
}

static void
report_ended(struct node *n, const struct gate_order *kept, bool whole)
{
	struct gw_report report;
	struct node_bytes text = {kept->answer.data, kept->answer.len};

	if (whole && kept->status == 200 &&
	    n->gate->codec->read_report(&report, text, n->fx) == MP_OK)
		place_on_report(
		    n->gate->place, n->now, kept->endpoint, &report);
	else
		place_on_report(n->gate->place, n->now, kept->endpoint, NULL);
}

static void
order_ended(
    struct node *n, const struct gate_order *kept, enum node_call_phase phase)
{
	enum gw_order_result result = phase == NODE_CALL_END
	    ? n->gate->codec->read_order_result(kept->status)
	    : GW_ORDER_FAILED;

	if (kept->is_report) {
		report_ended(n, kept, phase == NODE_CALL_END);
		return;
	}
	node_log(n, NODE_LOG_GATE_ORDER,
	    "{\"endpoint\": \"%s\", \"order\": \"%s\", "
	    "\"what\": \"%s\", \"status\": %d, "
	    "\"fence\": %llu, \"tookMs\": %llu}",
	    kept->endpoint, kept->is_unload ? "unload" : "load", kept->artifact,
	    kept->status, (unsigned long long)kept->fence,
	    (unsigned long long)((n->now - kept->sent_us) / 1000));
	place_on_order_result(n->gate->place, n->now, kept->endpoint, result,
	    phase == NODE_CALL_BROKEN);
}

static void
end_order(struct node *n, uint64_t call, enum node_call_phase phase)
{
	struct gate_order *kept = map_remove_u64(n->gate->orders, call);

	note_answer_time(n, kept);
	order_ended(n, kept, phase);
	free(kept->endpoint);
	free(kept->artifact);
	buf_free(&kept->answer);
	free(kept);
}

/* An answer that has no end is none. */
static void
abandon_order(struct node *n, uint64_t call)
{
	node_effects_add(n->fx, NODE_FX_CALL_CANCEL)->u.cancelled_call = call;
	end_order(n, call, NODE_CALL_BROKEN);
}

static void
orders_tick(struct node *n)
{
	const struct gate_order *kept;
	uint64_t call;
	size_t i = map_count(n->gate->orders);

	while (i-- > 0) {
		kept = map_at(n->gate->orders, i);
		if (n->now < kept->sent_us + GATE_ANSWER_TIMEOUT_US)
			continue;
		memcpy(
		    &call, map_key_at(n->gate->orders, i, NULL), sizeof(call));
		abandon_order(n, call);
	}
}

bool
gate_order_on_call(struct node *n, const struct node_call_event *event)
{
	struct gate_order *kept = map_get_u64(n->gate->orders, event->call);

	if (kept == NULL)
		return false;
	if (event->phase == NODE_CALL_HEAD) {
		kept->status = event->status;
		return true;
	}
	if (event->phase == NODE_CALL_DATA) {
		buf_append(&kept->answer, event->data.data, event->data.len);
		if (kept->answer.len > GATE_ANSWER_MAX_BYTES)
			abandon_order(n, event->call);
		return true;
	}
	end_order(n, event->call, event->phase);
	return true;
}

/* ---- who places --------------------------------------------------------- */

/* Clocks differ, and the last word of the placer before may be this old. */
#define ORDER_MARGIN_US (200 * 1000ULL)

/* A predecessor that was silent for so long has ended, or is cut off. */
#define PREDECESSOR_SILENT_US (400 * 1000ULL)

/*
 * When this placer may give its first order. A predecessor gives orders under
 * its authority alone, which has ended by now; where endpoints don't check
 * fences its last one must be older than their lease. Where they do, that
 * matters only for a predecessor that still runs and is not about to stop: any
 * other can order nothing any more, and its fence is refused.
 */
static uint64_t
order_after(const struct node *n)
{
	uint64_t lease_us =
	    (uint64_t)n->settings->gateway.order_lease_ms * 1000 +
	    ORDER_MARGIN_US;
	const struct node_peer *before;
	const struct member *m;

	if (n->gate->table_source == 0)
		return n->now; /* there was none */
	if (!n->settings->gateway.fenced)
		return n->now + lease_us;
	before = map_get_u64(n->peers, n->gate->table_source);
	m = member_view_find(n->view, n->gate->table_source);
	if (before == NULL || m == NULL || m->leaving ||
	    n->now > before->received_us + PREDECESSOR_SILENT_US)
		return n->now;
	return before->received_us + lease_us;
}

/* Begin to place, as the leader of a term. */
static void
begin_placing(struct node *n)
{
	struct node_gate *g = n->gate;
	const struct settings_gateway *s = &n->settings->gateway;

	g->placing = true;
	g->placing_term = g->table_term = raft_get_term(n->raft);
	g->fence = n->applied;
	g->table_number = 0;
	g->table_timer_us = 0;
	g->order_after_us = order_after(n);
	place_set_heartbeat(g->place, s->heartbeat_ms);
	place_reset(g->place, n->now);
	node_log(n, NODE_LOG_GATE_PLACER,
	    "{\"placing\": true, \"term\": %llu, \"endpoints\": %zu}",
	    (unsigned long long)g->placing_term,
	    place_endpoint_count(g->place));
}

static void
end_placing(struct node *n)
{
	struct node_gate *g = n->gate;

	g->placing = false;
	g->table_complete = false;
	place_set_heartbeat(g->place, 0);
	place_reset(g->place, n->now);
	node_log(n, NODE_LOG_GATE_PLACER, "{\"placing\": false}");
}

static void
check_placing(struct node *n)
{
	bool leads = n->raft != NULL && raft_get_role(n->raft) == RAFT_LEADER &&
	    raft_leader_since(n->raft) != 0;

	if (leads && n->gate->placing &&
	    n->gate->placing_term != raft_get_term(n->raft))
		n->gate->placing = false;
	if (leads && !n->gate->placing && gate_has_authority(n))
		begin_placing(n);
	else if (!leads && n->gate->placing)
		end_placing(n);
}

static void
log_placer(struct node *n)
{
	bool alone = node_gate_placer(n) == 0;

	if (alone == n->gate->logged_no_placer)
		return;
	n->gate->logged_no_placer = alone;
	node_log(n, NODE_LOG_GATE_ALONE,
	    "{\"silent\": %s, \"leader\": %u, \"endpoints\": %zu}",
	    alone ? "true" : "false", node_leader(n),
	    place_endpoint_count(n->gate->place));
}

/* What waits here, once a second while something is asked for. */
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
	    "\"loadingMost\": %u, \"wanted\": %u, \"heldCall\": %u, "
	    "\"heldQuiet\": %u, \"heldReport\": %u, \"heldStore\": %u, "
	    "\"heldPlaces\": %u}",
	    g->placing || gate_owns_shard(n) ? "true" : "false", s.engines,
	    t.asked - g->state_logged_asks, s.running, s.unread_ms,
	    s.unread_max_ms, s.waiting, s.oldest_ms, s.wait_load, s.wait_engine,
	    s.wait_call, s.loading, s.loading_max, s.wanted, s.held_call,
	    s.held_quiet, s.held_report, s.held_store, s.held_places);
	g->state_logged_asks = t.asked;
}

void
gate_place_tick(struct node *n)
{
	check_placing(n);
	orders_tick(n);
	log_state(n);
	if (n->raft == NULL)
		log_placer(n);
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
	    "\"loadWaitMs\": %u}",
	    (unsigned long long)d->id.ask, PLACE_LOG_ENTRY_ID(d->id.entry),
	    placed ? "" : d->reason, b->endpoint == NULL ? "" : b->endpoint,
	    b->estimate_ms, b->backlog_ms, b->running, b->announcement_age_ms,
	    b->needs_load ? "true" : "false", b->pending_loads, b->waited_ms,
	    b->load_wait_ms);
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
			give_order(n, &d);
		else if (d.id.entry == n->incarnation)
			gate_ask_on_decision(n, &d);
		else
			send_reply(n, &d);
	}
}
