#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "node/node_gate.h"
#include "util/mem.h"

/*
 * The entry's side of placing: it asks the placer, or places by its own table
 * where no placer is heard or the placer has no time. In a large cluster it
 * asks the owner of a shard, and another one where that has no time or no room;
 * what needs an engine is never placed by the entry itself then.
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
	Wire__PromptPart parts[GW_PROMPT_PARTS_MAX], *list[GW_PROMPT_PARTS_MAX];
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

/* A model request of a large cluster goes to an owner or waits for one. */
static bool
needs_owner(const struct node *n, const struct gate_ask *kept)
{
	return kept->key != 0 && gate_is_sharded(n);
}

static uint64_t
request_key(const struct place_request *r)
{
	const char *adapter = r->adapter == NULL ? "" : r->adapter;
	uint64_t key = XXH64(r->model, strlen(r->model), 0);

	key = XXH64(adapter, strlen(adapter), key);
	return key == 0 ? 1 : key;
}

/* An ask that is at the placer has its answer, or is given up. */
void
gate_ask_clear_outstanding(struct node *n, struct gate_ask *kept)
{
	if (!kept->is_outstanding)
		return;
	kept->is_outstanding = false;
	place_window_answered(&gate_owner_get(n, kept->placer)->window, n->now,
	    n->now - kept->sent_us);
}

/*
 * A call of a plain service needs no order. Where the placer is late it is
 * better off without it, and leaves it more time for those that do.
 */
static bool
has_time_for(const struct place_window *w, const struct place_request *r)
{
	return place_window_is_open(w) &&
	    (r->model != NULL || !place_window_is_congested(w));
}

/* Who would be asked: the leader, or the owner of a shard; 0: none is known. */
static uint32_t
find_placer(struct node *n, const struct gate_ask *kept, const char *service)
{
	const struct member_shards *shards = &n->gate->shards;
	uint32_t owner;

	if (!gate_is_sharded(n))
		return node_gate_placer(n);
	if (kept->key != 0)
		return gate_owner_select(n, kept);
	owner = shards->owners[gate_shard_of(n, service, NULL)];
	return n->now < gate_owner_get(n, owner)->backoff_until_us ? 0 : owner;
}

static void
note_busy(struct node *n, struct gate_ask *kept, uint32_t placer)
{
	kept->placer = 0;
	kept->busy_placer = placer;
	n->gate->window_full_asks++;
	n->gate->window_full_us = n->now;
}

/* Whom to ask: nobody where no placer is heard, or it has no time. */
static void
choose_placer(
    struct node *n, struct gate_ask *kept, const struct place_request *r)
{
	uint32_t placer = find_placer(n, kept, r->service);

	kept->placer = placer;
	if (placer == 0 && needs_owner(n, kept))
		note_busy(n, kept, 0);
	else if (placer != 0 && placer != n->id &&
	    !has_time_for(&gate_owner_get(n, placer)->window, r))
		note_busy(n, kept, placer);
}

static struct gate_ask *
keep_ask(struct node *n, const struct place_request *r)
{
	struct gate_ask *kept = mem_alloc(1, sizeof(*kept));

	kept->ask = r->id.ask;
	kept->created_us = n->now;
	if (r->model != NULL) {
		kept->key = request_key(r);
		kept->home_count = gate_owner_count_homes(n, kept->key);
	}
	choose_placer(n, kept, r);
	(void)map_set_u64(n->gate->asks, kept->ask, kept);
	return kept;
}

static void
ops_ask(void *ctx, const struct place_request *r, struct node_effects *fx)
{
	struct node *n = ctx;
	struct node_gate *g = n->gate;
	struct gate_ask *kept = map_get_u64(g->asks, r->id.ask);

	(void)fx;
	if (kept == NULL)
		kept = keep_ask(n, r);
	gate_ask_clear_outstanding(n, kept);
	kept->sent_us = n->now;
	kept->is_queued = kept->granted = false;
	if (kept->placer == 0 && needs_owner(n, kept))
		return; /* it has its turn */
	if (kept->placer == 0 || kept->placer == n->id) {
		place_ask(g->place, n->now, r);
		return;
	}
	kept->is_outstanding = true;
	place_window_sent(&gate_owner_get(n, kept->placer)->window);
	send_ask(n, kept, r);
}

static void
send_done(
    struct node *n, uint32_t to, uint64_t ask, const struct place_result *end)
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

void
gate_ask_send_done(
    struct node *n, const struct gate_ask *kept, const struct place_result *end)
{
	struct place_id id = {n->incarnation, kept->ask};

	if (kept->placer == 0 || kept->placer == n->id)
		place_done(n->gate->place, n->now, id, end);
	else
		send_done(n, kept->placer, kept->ask, end);
}

static void
ops_done(void *ctx, uint64_t ask, const struct place_result *end,
    struct node_effects *fx)
{
	struct node *n = ctx;
	struct gate_ask *kept = map_get_u64(n->gate->asks, ask);

	(void)fx;
	if (kept == NULL)
		return;
	gate_ask_send_done(n, kept, end);
	if (end->outcome == PLACE_FIRST_BYTE)
		return;
	gate_ask_clear_outstanding(n, kept);
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

/* ---- the placer answers ------------------------------------------------- */

static void
note_load(struct node *n, uint32_t from, const Wire__PlaceReply *reply)
{
	struct gate_owner *o = gate_owner_get(n, from);

	o->load_ms = reply->load_ms;
	o->load_received_us = n->now;
	o->backoff_until_us = 0;
}

/* An owner has no room: may another one take the request? */
static bool
hand_on(struct node *n, struct gate_ask *kept, uint32_t from)
{
	uint32_t owner;

	if (kept->key == 0 || kept->redirects >= GATE_REDIRECT_MAX ||
	    !gate_is_sharded(n))
		return false;
	kept->redirects++;
	kept->refused_by = from;
	owner = gate_owner_select(n, kept);
	if (owner == 0)
		return false;
	kept->placer = owner;
	return forward_resend_ask(n->gate->forward, n->now, kept->ask, n->fx);
}

static void
on_refusal(struct node *n, struct gate_ask *kept, uint32_t from,
    const char *reason, uint32_t retry_after_ms, bool elsewhere)
{
	uint64_t ask = kept->ask;

	if (elsewhere && hand_on(n, kept, from))
		return;
	free(map_remove_u64(n->gate->asks, ask));
	forward_on_refusal(
	    n->gate->forward, n->now, ask, reason, retry_after_ms, n->fx);
}

void
gate_ask_on_reply(struct node *n, uint32_t from, const Wire__PlaceReply *reply)
{
	static const struct place_result unused = {.outcome = PLACE_ABANDONED};
	struct gate_ask *kept = map_get_u64(n->gate->asks, reply->ask);
	struct forward_grant grant = {0};

	note_load(n, from, reply); /* an owner that is heard may tell no more */
	if (kept == NULL || kept->placer != from || kept->granted) {
		if (reply->status == WIRE__PLACE_STATUS__PLACE_GIVEN &&
		    (kept == NULL || kept->placer != from))
			send_done(n, from, reply->ask, &unused);
		return;
	}
	gate_ask_clear_outstanding(n, kept);
	if (reply->status == WIRE__PLACE_STATUS__PLACE_WAITS) {
		kept->is_queued = true;
		return;
	}
	if (reply->status == WIRE__PLACE_STATUS__PLACE_REFUSED) {
		on_refusal(n, kept, from, reply->reason, reply->retry_after_ms,
		    reply->elsewhere);
		return;
	}
	kept->granted = true;
	grant.ask = reply->ask;
	grant.endpoint = reply->endpoint;
	grant.address = reply->address;
	grant.adapter_version = reply->adapter_version;
	grant.urgency = reply->urgency;
	if (!forward_on_grant(n->gate->forward, n->now, &grant, n->fx))
		ops_done(n, reply->ask, &unused, n->fx);
}

/* A decision on a request that this entry placed itself. */
void
gate_ask_on_decision(struct node *n, const struct place_decision *d)
{
	static const struct place_result unused = {.outcome = PLACE_ABANDONED};
	struct gate_ask *kept = map_get_u64(n->gate->asks, d->id.ask);
	struct forward_grant grant = {0};

	if (kept == NULL || d->type == PLACE_WAIT)
		return;
	if (d->type == PLACE_REFUSE) {
		on_refusal(
		    n, kept, n->id, d->reason, d->retry_after_ms, d->elsewhere);
		return;
	}
	kept->granted = true;
	grant.ask = d->id.ask;
	grant.endpoint = d->endpoint;
	grant.address = d->address;
	grant.adapter_version = d->adapter_version;
	grant.urgency = d->urgency;
	if (!forward_on_grant(n->gate->forward, n->now, &grant, n->fx))
		ops_done(n, d->id.ask, &unused, n->fx);
}
