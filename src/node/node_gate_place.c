#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "util/mem.h"

/* ---- the entry asks ----------------------------------------------------- */

static uint32_t
left_ms(uint64_t until_us, uint64_t now_us)
{
	return until_us <= now_us ? 0 : (uint32_t)((until_us - now_us) / 1000);
}

static void
send_ask(struct node *n, struct gate_ask *kept, const struct place_request *r)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__PlaceAsk ask = WIRE__PLACE_ASK__INIT;
	Wire__PromptPart parts[GW_PARTS_MAX], *list[GW_PARTS_MAX];
	size_t i;

	ask.ask = r->id.ask;
	ask.service = (char *)r->service;
	ask.model = r->model == NULL ? "" : (char *)r->model;
	ask.adapter = r->adapter == NULL ? "" : (char *)r->adapter;
	ask.prompt_tokens = r->prompt_tokens;
	ask.max_tokens = r->max_tokens;
	ask.n_parts = r->nparts;
	ask.parts = list;
	for (i = 0; i < r->nparts; i++) {
		wire__prompt_part__init(&parts[i]);
		parts[i].hash = r->parts[i].hash;
		parts[i].tokens = r->parts[i].tokens;
		list[i] = &parts[i];
	}
	ask.left_ms = left_ms(r->deadline_us, n->now);
	ask.target_left_ms = left_ms(r->target_us, n->now);
	ask.priority = r->priority;
	ask.kind = r->kind;
	ask.attempt = r->attempt;
	ask.avoid = (char **)r->avoid;
	ask.n_avoid = r->navoid;
	ask.data_centre = (char *)r->data_centre;
	envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_ASK;
	envelope.place_ask = &ask;
	node_peer_send(n, kept->placer, &envelope);
}

/* An ask that is at the placer has its answer, or is given up. */
static void
close_ask(struct node *n, struct gate_ask *kept)
{
	if (!kept->out)
		return;
	kept->out = false;
	place_window_answered(
	    &n->gate->window, n->now, n->now - kept->sent_us);
}

/* Whom to ask: nobody where no placer is heard, or it has no time. */
static void
choose_placer(struct node *n, struct gate_ask *kept)
{
	struct node_gate *g = n->gate;
	uint32_t placer = node_gate_placer(n);

	kept->placer = placer;
	if (placer == 0 || placer == n->id || place_window_is_open(&g->window))
		return;
	kept->placer = 0;
	kept->busy = placer;
	g->asked_alone++;
}

static void
ops_ask(void *ctx, const struct place_request *r, struct node_effects *fx)
{
	struct node *n = ctx;
	struct node_gate *g = n->gate;
	struct gate_ask *kept = map_get_u64(g->asks, r->id.ask);

	(void)fx;
	if (kept == NULL) {
		kept = mem_alloc(1, sizeof(*kept));
		kept->ask = r->id.ask;
		kept->begun_us = n->now;
		choose_placer(n, kept);
		(void)map_set_u64(g->asks, kept->ask, kept);
	}
	close_ask(n, kept);
	kept->sent_us = n->now;
	kept->waits = kept->granted = false;
	if (kept->placer == 0 || kept->placer == n->id) {
		place_ask(g->place, n->now, r);
		return;
	}
	kept->out = true;
	place_window_sent(&g->window);
	send_ask(n, kept, r);
}

static void
send_done(
    struct node *n, uint32_t to, uint64_t ask, const struct place_end *end)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__PlaceDone done = WIRE__PLACE_DONE__INIT;

	done.ask = ask;
	done.outcome = (Wire__PlaceOutcome)end->outcome;
	done.first_ms = end->first_ms;
	done.load_told = end->load_told;
	done.running = end->running;
	done.waiting = end->waiting;
	done.slots = end->slots;
	envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_DONE;
	envelope.place_done = &done;
	node_peer_send(n, to, &envelope);
}

static void
tell_done(
    struct node *n, const struct gate_ask *kept, const struct place_end *end)
{
	struct place_id id = {n->incarnation, kept->ask};

	if (kept->placer == 0 || kept->placer == n->id)
		place_done(n->gate->place, n->now, id, end);
	else
		send_done(n, kept->placer, kept->ask, end);
}

static void
ops_done(void *ctx, uint64_t ask, const struct place_end *end,
    struct node_effects *fx)
{
	struct node *n = ctx;
	struct gate_ask *kept = map_get_u64(n->gate->asks, ask);

	(void)fx;
	if (kept == NULL)
		return;
	tell_done(n, kept, end);
	if (end->outcome == PLACE_FIRST_BYTE)
		return;
	close_ask(n, kept);
	free(map_remove_u64(n->gate->asks, ask));
}

static uint64_t
ops_next_call(void *ctx)
{
	struct node *n = ctx;

	return ++n->last_call;
}

static void
ops_log(void *ctx, const char *fields, struct node_effects *fx)
{
	struct node_log *log = &node_effects_add(fx, NODE_FX_LOG)->u.log;

	(void)ctx;
	log->number = NODE_LOG_GATE_REQUEST;
	log->level = NODE_LOG_INFO;
	log->name = events_find(NODE_LOG_GATE_REQUEST)->name;
	log->fields = fields;
}

const struct forward_ops gate_forward_ops = {
    .ask = ops_ask,
    .done = ops_done,
    .next_call = ops_next_call,
    .log = ops_log,
};

/* Ask whoever places now; the earlier one must not keep a place for it. */
static void
ask_elsewhere(struct node *n, struct gate_ask *kept, uint32_t placer)
{
	static const struct place_end end = {.outcome = PLACE_ABANDONED};

	tell_done(n, kept, &end);
	kept->placer = placer;
	(void)forward_ask_again(n->gate->forward, n->now, kept->ask, n->fx);
}

/*
 * The placer has not answered. Where something else of it came since, it has
 * no time; where nothing did, it may be lost, and the next one is asked.
 */
static void
note_silence(struct node *n, struct gate_ask *kept)
{
	const struct node_peer *peer = map_get_u64(n->peers, kept->placer);

	if (peer != NULL && peer->heard_us > kept->sent_us) {
		kept->busy = kept->placer;
		return; /* counted as late */
	}
	kept->out = false;
	place_window_lost(&n->gate->window);
}

/*
 * The placer has no time, and what this entry may use won't serve the request
 * without an order that only the placer can give.
 */
static void
refuse_busy(struct node *n, struct gate_ask *kept)
{
	static const struct place_end unused = {.outcome = PLACE_ABANDONED};
	uint64_t ask = kept->ask;

	tell_done(n, kept, &unused);
	free(map_remove_u64(n->gate->asks, ask));
	forward_refused(n->gate->forward, n->now, ask, "placer-busy",
	    GATE_RETRY_MS, n->fx);
}

/* One that the placer had no time for: it has its turn, or is refused. */
static void
busy_tick(struct node *n, struct gate_ask *kept, uint32_t placer)
{
	if (place_window_is_open(&n->gate->window)) {
		kept->busy = 0;
		ask_elsewhere(n, kept, placer);
	} else if (n->now > kept->begun_us + GATE_BUSY_US) {
		refuse_busy(n, kept);
	}
}

static void
ask_tick(struct node *n, struct gate_ask *kept, uint32_t placer)
{
	uint64_t late_us = place_window_late_us(&n->gate->window);

	if (kept->granted)
		return;
	if (kept->placer == 0 && kept->busy != 0 && kept->busy == placer) {
		busy_tick(n, kept, placer);
	} else if (kept->placer != placer && kept->busy != placer) {
		kept->busy = 0;
		ask_elsewhere(n, kept, placer);
	} else if (kept->out &&
	    n->now > kept->sent_us + late_us + GATE_ASK_SILENT_US) {
		note_silence(n, kept);
		ask_elsewhere(n, kept, 0);
	}
}

static void
asks_tick(struct node *n)
{
	uint32_t placer = node_gate_placer(n);
	size_t i = map_count(n->gate->asks);

	while (i-- > 0)
		ask_tick(n, map_at(n->gate->asks, i), placer);
}

/* ---- the placer answers ------------------------------------------------- */

void
gate_place_on_reply(
    struct node *n, uint32_t from, const Wire__PlaceReply *reply)
{
	static const struct place_end unused = {.outcome = PLACE_ABANDONED};
	struct gate_ask *kept = map_get_u64(n->gate->asks, reply->ask);
	struct forward_grant grant = {0};

	if (kept == NULL || kept->placer != from || kept->granted) {
		if (reply->status == WIRE__PLACE_STATUS__PLACE_GIVEN &&
		    (kept == NULL || kept->placer != from))
			send_done(n, from, reply->ask, &unused);
		return;
	}
	close_ask(n, kept);
	if (reply->status == WIRE__PLACE_STATUS__PLACE_WAITS) {
		kept->waits = true;
		return;
	}
	if (reply->status == WIRE__PLACE_STATUS__PLACE_REFUSED) {
		free(map_remove_u64(n->gate->asks, reply->ask));
		forward_refused(n->gate->forward, n->now, reply->ask,
		    reply->reason, reply->retry_after_ms, n->fx);
		return;
	}
	kept->granted = true;
	grant.ask = reply->ask;
	grant.endpoint = reply->endpoint;
	grant.address = reply->address;
	grant.adapter_version = reply->adapter_version;
	grant.urgency = reply->urgency;
	if (!forward_granted(n->gate->forward, n->now, &grant, n->fx))
		ops_done(n, reply->ask, &unused, n->fx);
}

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
	struct gw_part parts[GW_PARTS_MAX];
	size_t i;

	if (!n->gate->placing)
		return; /* the entry will ask the placer */
	note_entry(n, from, incarnation);
	r.id.entry = incarnation;
	r.id.ask = ask->ask;
	r.kind = (enum gw_kind)ask->kind;
	r.service = ask->service;
	r.model = text_or_null(ask->model);
	r.adapter = text_or_null(ask->adapter);
	r.prompt_tokens = ask->prompt_tokens;
	r.max_tokens = ask->max_tokens;
	for (i = 0; i < ask->n_parts && i < GW_PARTS_MAX; i++) {
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
	struct place_end end = {0};

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
	envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_REPLY;
	envelope.place_reply = &reply;
	node_peer_send(n, *to, &envelope);
}

/* A decision on a request that this entry placed itself. */
static void
take_own(struct node *n, const struct place_decision *d)
{
	static const struct place_end unused = {.outcome = PLACE_ABANDONED};
	struct gate_ask *kept = map_get_u64(n->gate->asks, d->id.ask);
	struct forward_grant grant = {0};

	if (kept == NULL || d->type == PLACE_WAIT)
		return;
	if (d->type == PLACE_REFUSE) {
		free(map_remove_u64(n->gate->asks, d->id.ask));
		forward_refused(n->gate->forward, n->now, d->id.ask, d->reason,
		    d->retry_after_ms, n->fx);
		return;
	}
	kept->granted = true;
	grant.ask = d->id.ask;
	grant.endpoint = d->endpoint;
	grant.address = d->address;
	grant.adapter_version = d->adapter_version;
	grant.urgency = d->urgency;
	if (!forward_granted(n->gate->forward, n->now, &grant, n->fx))
		ops_done(n, d->id.ask, &unused, n->fx);
}

/* ---- orders ------------------------------------------------------------- */

static void
give_order(struct node *n, const struct place_decision *d)
{
	struct node_call *call = &node_effects_add(n->fx, NODE_FX_CALL)->u.call;
	struct gate_order *kept = mem_alloc(1, sizeof(*kept));
	struct gw_order order = d->order;
	uint64_t until = raft_authority_until(n->raft);

	kept->endpoint = mem_string(d->endpoint);
	kept->is_report = d->type == PLACE_REPORT;
	kept->given_us = n->now;
	call->call = ++n->last_call;
	call->address = node_effects_printf(n->fx, "%s", d->address);
	call->not_after_us = n->now + GATE_ORDER_US;
	if (!kept->is_report && until < call->not_after_us)
		call->not_after_us = until;
	call->silence_us = GATE_ORDER_US;
	(void)map_set_u64(n->gate->orders, call->call, kept);
	if (kept->is_report) {
		n->gate->codec->write_report_call(
		    call, node_effects_printf(n->fx, "%s", d->endpoint), n->fx);
		return;
	}
	order.endpoint = node_effects_printf(n->fx, "%s", d->endpoint);
	order.holder = n->settings->name;
	order.fence = n->gate->term;
	n->gate->codec->write_order(call, &order, n->fx);
	kept->what =
	    mem_string(order.adapter == NULL ? order.model : order.adapter);
	kept->unloads = order.type == GW_ORDER_UNLOAD;
}

static void
report_ended(struct node *n, const struct gate_order *kept, bool whole)
{
	struct gw_report report;
	struct node_bytes text = {kept->answer.data, kept->answer.len};

	if (whole && kept->status == 200 &&
	    n->gate->codec->read_report(&report, text, n->fx) == MP_OK)
		place_reported(n->gate->place, n->now, kept->endpoint, &report);
	else
		place_reported(n->gate->place, n->now, kept->endpoint, NULL);
}

static void
order_ended(
    struct node *n, const struct gate_order *kept, enum node_call_phase phase)
{
	enum gw_order_result result = phase == NODE_CALL_END
	    ? n->gate->codec->read_order(kept->status)
	    : GW_ORDER_FAILED;

	if (kept->is_report) {
		report_ended(n, kept, phase == NODE_CALL_END);
		return;
	}
	node_log(n, NODE_LOG_GATE_ORDER,
	    "{\"endpoint\": \"%s\", \"order\": \"%s\", "
	    "\"what\": \"%s\", \"status\": %d, "
	    "\"fence\": %llu, \"tookMs\": %llu}",
	    kept->endpoint, kept->unloads ? "unload" : "load", kept->what,
	    kept->status, (unsigned long long)n->gate->term,
	    (unsigned long long)((n->now - kept->given_us) / 1000));
	place_ordered(n->gate->place, n->now, kept->endpoint, result,
	    phase == NODE_CALL_BROKEN);
}

bool
gate_order_call(struct node *n, const struct node_call_event *event)
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
		return true;
	}
	(void)map_remove_u64(n->gate->orders, event->call);
	order_ended(n, kept, event->phase);
	free(kept->endpoint);
	free(kept->what);
	buf_free(&kept->answer);
	free(kept);
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

	if (n->gate->table_from == 0)
		return n->now; /* there was none */
	if (!n->settings->gateway.fenced)
		return n->now + lease_us;
	before = map_get_u64(n->peers, n->gate->table_from);
	m = member_view_find(n->view, n->gate->table_from);
	if (before == NULL || m == NULL || m->leaving ||
	    n->now > before->heard_us + PREDECESSOR_SILENT_US)
		return n->now;
	return before->heard_us + lease_us;
}

/* Begin to place, as the leader of a term. */
static void
begin_placing(struct node *n)
{
	struct node_gate *g = n->gate;
	const struct settings_gateway *s = &n->settings->gateway;

	g->placing = true;
	g->term = g->table_term = raft_get_term(n->raft);
	g->table_number = 0;
	g->table_us = 0;
	g->order_after_us = order_after(n);
	place_set_heartbeat(g->place, s->heartbeat_ms);
	place_reset(g->place, n->now);
	node_log(n, NODE_LOG_GATE_PLACER,
	    "{\"placing\": true, \"term\": %llu, \"endpoints\": %zu}",
	    (unsigned long long)g->term, place_count(g->place));
}

static void
end_placing(struct node *n)
{
	struct node_gate *g = n->gate;

	g->placing = false;
	g->table_whole = false;
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
	    n->gate->term != raft_get_term(n->raft))
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

	if (alone == n->gate->alone)
		return;
	n->gate->alone = alone;
	node_log(n, NODE_LOG_GATE_ALONE,
	    "{\"silent\": %s, \"leader\": %u, \"endpoints\": %zu}",
	    alone ? "true" : "false", node_leader(n),
	    place_count(n->gate->place));
}

void
gate_place_tick(struct node *n)
{
	check_placing(n);
	if (n->raft == NULL)
		log_placer(n);
	asks_tick(n);
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
	    "\"needsLoad\": %s, \"loads\": %u}",
	    (unsigned long long)d->id.ask, PLACE_LOGGED(d->id.entry),
	    placed ? "" : d->reason, b->endpoint == NULL ? "" : b->endpoint,
	    b->estimate_ms, b->backlog_ms, b->running, b->heard_ms,
	    b->needs_load ? "true" : "false", b->loads);
}

void
gate_place_run(struct node *n)
{
	struct node_gate *g = n->gate;
	struct place_decision d;

	if (place_next(g->place) > n->now)
		return;
	place_run(g->place, n->now,
	    g->placing && gate_has_authority(n) && n->now >= g->order_after_us);
	while (place_take(g->place, &d)) {
		log_decision(n, &d);
		if (d.type == PLACE_ORDER || d.type == PLACE_REPORT)
			give_order(n, &d);
		else if (d.id.entry == n->incarnation)
			take_own(n, &d);
		else
			send_reply(n, &d);
	}
}
