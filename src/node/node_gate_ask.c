#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "util/mem.h"

/*
 * The entry's side of placing: it asks the placer, or places by its own table
 * where no placer is heard or the placer has no time.
 */

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
	place_window_answered(&n->gate->window, n->now, n->now - kept->sent_us);
}

/*
 * A call of a plain service needs no order. Where the placer is late it is
 * better off without it, and leaves it more time for those that do.
 */
static bool
has_time_for(const struct place_window *w, const struct place_request *r)
{
	return place_window_is_open(w) &&
	    (r->model != NULL || !place_window_is_narrow(w));
}

/* Whom to ask: nobody where no placer is heard, or it has no time. */
static void
choose_placer(
    struct node *n, struct gate_ask *kept, const struct place_request *r)
{
	struct node_gate *g = n->gate;
	uint32_t placer = node_gate_placer(n);

	kept->placer = placer;
	if (placer == 0 || placer == n->id || has_time_for(&g->window, r))
		return;
	kept->placer = 0;
	kept->busy = placer;
	g->asked_alone++;
	g->full_us = n->now;
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
		choose_placer(n, kept, r);
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
	forward_refused(
	    n->gate->forward, n->now, ask, "placer-busy", GATE_RETRY_MS, n->fx);
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
log_busy(struct node *n, uint32_t placer)
{
	struct node_gate *g = n->gate;
	bool busy = g->full_us != 0 && n->now < g->full_us + GATE_BUSY_OVER_US;

	if (busy == g->busy)
		return;
	g->busy = busy;
	node_log(n, NODE_LOG_GATE_BUSY,
	    "{\"busy\": %s, \"placer\": %u, \"asks\": %u, "
	    "\"lateMs\": %llu, \"alone\": %llu}",
	    busy ? "true" : "false", placer, g->window.out,
	    (unsigned long long)place_window_late_us(&g->window) / 1000,
	    (unsigned long long)g->asked_alone);
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

/* ---- the placer answers ------------------------------------------------- */

void
gate_ask_on_reply(struct node *n, uint32_t from, const Wire__PlaceReply *reply)
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

/* A decision on a request that this entry placed itself. */
void
gate_ask_decided(struct node *n, const struct place_decision *d)
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
