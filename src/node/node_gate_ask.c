#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "node/node_gate.h"
#include "util/mem.h"

/*
 * The entry's side of placing. An entry sends an ask for each request to the
 * placer. It places the request by its own copy of the endpoint table when no
 * placer is reachable or the placer is overloaded. In a large cluster it asks
 * the owner of a shard, and another owner when that one is overloaded or has no
 * room; a request that needs an engine is then never placed by the entry
 * itself.
 */

static uint32_t
remaining_ms(uint64_t until_us, uint64_t now_us)
{
	return until_us <= now_us ? 0 : (uint32_t)((until_us - now_us) / 1000);
}

static bool
may_redirect(const struct node *n, const struct gate_ask *pending)
{
	return pending->key != 0 && pending->redirects < GATE_REDIRECT_MAX &&
	    gate_is_sharded(n);
}

static void
send_ask(
    struct node *n, struct gate_ask *pending, const struct place_request *r)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__PlaceAsk ask = WIRE__PLACE_ASK__INIT;
	Wire__PromptPart parts[GW_PREFIX_PARTS_MAX], *list[GW_PREFIX_PARTS_MAX];
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
	ask.left_ms = remaining_ms(r->deadline_us, n->now);
	ask.target_left_ms = remaining_ms(r->target_us, n->now);
	ask.priority = r->priority;
	ask.kind = r->kind;
	ask.attempt = r->attempt;
	ask.avoid = (char **)r->avoid;
	ask.n_avoid = r->navoid;
	ask.data_centre = (char *)r->data_centre;
	ask.account = r->account == NULL ? "" : (char *)r->account;
	ask.account_priority = r->account_priority;
	ask.may_redirect = may_redirect(n, pending);
	envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_ASK;
	envelope.place_ask = &ask;
	node_peer_send(n, pending->placer, &envelope);
}

/*
 * In a large cluster a model request is placed by an owner, or waits until one
 * can accept it.
 */
static bool
needs_owner(const struct node *n, const struct gate_ask *pending)
{
	return pending->key != 0 && gate_is_sharded(n);
}

static uint64_t
request_key(const struct place_request *r)
{
	const char *adapter = r->adapter == NULL ? "" : r->adapter;
	uint64_t key = XXH64(r->model, strlen(r->model), 0);

	key = XXH64(adapter, strlen(adapter), key);
	return key == 0 ? 1 : key;
}

void
gate_ask_clear_outstanding(struct node *n, struct gate_ask *pending)
{
	if (!pending->is_outstanding)
		return;
	pending->is_outstanding = false;
	place_window_answered(&gate_owner_get(n, pending->placer)->window,
	    n->now, n->now - pending->sent_us);
}

/*
 * A call of a plain service needs no order, so the entry can place it itself.
 * When the placer has been slow to answer, that is faster for the call, and it
 * leaves the placer more time for requests that do need an order.
 */
static bool
can_send_ask(const struct place_window *w, const struct place_request *r)
{
	return place_window_is_open(w) &&
	    (r->model != NULL || !place_window_is_congested(w));
}

/*
 * Returns the instance to ask: the leader, or the owner of a shard; 0 if none
 * is known.
 */
static uint32_t
find_placer(struct node *n, const struct gate_ask *pending, const char *service)
{
	const struct member_shards *shards = &n->gate->shards;
	uint32_t owner;

	if (!gate_is_sharded(n))
		return node_gate_placer(n);
	if (pending->key != 0)
		return gate_owner_select(n, pending);
	owner = shards->owners[gate_shard_of(n, service, NULL)];
	return n->now < gate_owner_get(n, owner)->backoff_until_us ? 0 : owner;
}

static void
record_window_full(struct node *n, struct gate_ask *pending, uint32_t placer)
{
	pending->placer = 0;
	pending->busy_placer = placer;
	n->gate->window_full_asks++;
	n->gate->window_full_us = n->now;
}

/*
 * Sets the placer of an ask: none if no placer is reachable or its window is
 * full.
 */
static void
choose_placer(
    struct node *n, struct gate_ask *pending, const struct place_request *r)
{
	uint32_t placer = find_placer(n, pending, r->service);

	pending->placer = placer;
	if (placer == 0 && needs_owner(n, pending))
		record_window_full(n, pending, 0);
	else if (placer != 0 && placer != n->id &&
	    !can_send_ask(&gate_owner_get(n, placer)->window, r))
		record_window_full(n, pending, placer);
}

static struct gate_ask *
add_ask(struct node *n, const struct place_request *r)
{
	struct gate_ask *pending = mem_alloc(1, sizeof(*pending));

	pending->ask = r->id.ask;
	pending->created_us = n->now;
	if (r->model != NULL) {
		pending->key = request_key(r);
		pending->home_count = gate_owner_count_homes(n, pending->key);
	}
	choose_placer(n, pending, r);
	(void)map_set_u64(n->gate->asks, pending->ask, pending);
	return pending;
}

static void
ops_ask(void *ctx, const struct place_request *r, struct node_effects *fx)
{
	struct node *n = ctx;
	struct node_gate *g = n->gate;
	struct gate_ask *pending = map_get_u64(g->asks, r->id.ask);
	struct place_request own;

	(void)fx;
	if (pending == NULL)
		pending = add_ask(n, r);
	gate_ask_clear_outstanding(n, pending);
	pending->sent_us = n->now;
	pending->is_queued = pending->granted = false;
	if (pending->placer == 0 && needs_owner(n, pending))
		return; /* sent once an owner can accept it */
	if (pending->placer == 0 || pending->placer == n->id) {
		own = *r;
		own.may_redirect = may_redirect(n, pending);
		place_ask(g->place, n->now, &own);
		return;
	}
	pending->is_outstanding = true;
	place_window_sent(&gate_owner_get(n, pending->placer)->window);
	send_ask(n, pending, r);
}

static void
send_place_done(struct node *n, uint32_t to, uint64_t ask,
    const struct place_result *result)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__PlaceDone done = WIRE__PLACE_DONE__INIT;
	Wire__RateLimit limit;

	done.ask = ask;
	done.outcome = (Wire__PlaceOutcome)result->outcome;
	done.first_ms = result->first_ms;
	done.load_told = result->load_told;
	done.running = result->running;
	done.waiting = result->waiting;
	done.slots = result->slots;
	done.work_percent = result->work_percent;
	if (result->limit_told)
		done.limit = gate_limit_to_wire(&limit, &result->limit);
	envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_DONE;
	envelope.place_done = &done;
	node_peer_send(n, to, &envelope);
}

void
gate_ask_return_all(struct node *n, uint32_t placer, uint64_t incarnation)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__PlaceDone done = WIRE__PLACE_DONE__INIT;

	done.ended_entry = incarnation;
	envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_DONE;
	envelope.place_done = &done;
	node_peer_send(n, placer, &envelope);
}

void
gate_ask_send_done(struct node *n, const struct gate_ask *pending,
    const struct place_result *result)
{
	struct place_id id = {n->incarnation, pending->ask};

	if (pending->placer == 0 || pending->placer == n->id)
		place_done(n->gate->place, n->now, id, result);
	else
		send_place_done(n, pending->placer, pending->ask, result);
}

static void
ops_done(void *ctx, uint64_t ask, const struct place_result *result,
    struct node_effects *fx)
{
	struct node *n = ctx;
	struct gate_ask *pending = map_get_u64(n->gate->asks, ask);

	(void)fx;
	if (pending == NULL)
		return;
	gate_ask_send_done(n, pending, result);
	if (result->outcome == PLACE_FIRST_BYTE)
		return;
	gate_ask_clear_outstanding(n, pending);
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
    .charge = gate_quota_charge,
    .uncharge = gate_quota_uncharge,
    .ask = ops_ask,
    .done = ops_done,
    .notice = gate_notice_on_response,
    .may_send = gate_quarantine_may_send,
    .check = gate_account_check,
    .observe = gate_quarantine_observe,
    .next_call = ops_next_call,
    .log = ops_log,
};

/* ---- replies of the placer ---------------------------------------------- */

static void
record_load(struct node *n, uint32_t from, const Wire__PlaceReply *reply)
{
	struct gate_owner *o = gate_owner_get(n, from);

	o->load_ms = reply->load_ms;
	o->load_received_us = n->now;
	o->backoff_until_us = 0;
}

/*
 * Redirects a request that an owner has no room for in time to another owner;
 * false if it can't be redirected.
 */
static bool
redirect_ask(struct node *n, struct gate_ask *pending, uint32_t from)
{
	uint32_t owner;

	if (!may_redirect(n, pending))
		return false;
	pending->redirects++;
	pending->refused_by = from;
	owner = gate_owner_select(n, pending);
	if (owner == 0)
		owner = from; /* the request may still wait there */
	pending->placer = owner;
	return forward_resend_ask(
	    n->gate->forward, n->now, pending->ask, n->fx);
}

/* Sends the granted request; returns the grant if no request waits for it. */
static void
handle_grant(
    struct node *n, struct gate_ask *pending, const struct forward_grant *grant)
{
	static const struct place_result abandoned = {
	    .outcome = PLACE_ABANDONED};
	uint64_t ask = grant->ask;

	pending->granted = true;
	if (!forward_on_grant(n->gate->forward, n->now, grant, n->fx))
		ops_done(n, ask, &abandoned, n->fx);
}

static void
handle_refusal(struct node *n, struct gate_ask *pending, uint32_t from,
    const char *reason, uint32_t retry_after_ms, bool elsewhere)
{
	uint64_t ask = pending->ask;

	if (elsewhere && redirect_ask(n, pending, from))
		return;
	free(map_remove_u64(n->gate->asks, ask));
	forward_on_refusal(n->gate->forward, n->now, ask, GW_REFUSE_OVERLOAD,
	    reason, retry_after_ms, n->fx);
}

/*
 * The time since a placer granted a request, at most: the time since the ask
 * was sent, less what the ask waited there. A grant can be old when this entry
 * was late to read it, or a link held it up.
 */
static uint64_t
grant_age_us(const struct node *n, const struct gate_ask *pending,
    const Wire__PlaceReply *reply)
{
	uint64_t waited_us = reply->waited_ms_and_one * 1000ULL;

	if (reply->waited_ms_and_one == 0 ||
	    pending->sent_us + waited_us >= n->now)
		return 0;
	return n->now - pending->sent_us - waited_us;
}

void
gate_ask_on_reply(struct node *n, uint32_t from, const Wire__PlaceReply *reply)
{
	static const struct place_result abandoned = {
	    .outcome = PLACE_ABANDONED};
	struct gate_ask *pending = map_get_u64(n->gate->asks, reply->ask);
	struct forward_grant grant = {0};

	/* A notice of queued requests carries only the load. */
	record_load(n, from, reply);
	if (pending == NULL || pending->placer != from || pending->granted) {
		if (reply->status == WIRE__PLACE_STATUS__PLACE_GIVEN &&
		    (pending == NULL || pending->placer != from))
			send_place_done(n, from, reply->ask, &abandoned);
		return;
	}
	gate_ask_clear_outstanding(n, pending);
	if (reply->status == WIRE__PLACE_STATUS__PLACE_WAITS) {
		pending->is_queued = true;
		return;
	}
	if (reply->status == WIRE__PLACE_STATUS__PLACE_REFUSED) {
		handle_refusal(n, pending, from, reply->reason,
		    reply->retry_after_ms, reply->elsewhere);
		return;
	}
	grant.ask = reply->ask;
	grant.endpoint = reply->endpoint;
	grant.address = reply->address;
	grant.born_ms = reply->born_ms;
	grant.adapter_version = reply->adapter_version;
	grant.urgency = reply->urgency;
	grant.age_us = grant_age_us(n, pending, reply);
	handle_grant(n, pending, &grant);
}

void
gate_ask_on_decision(struct node *n, const struct place_decision *d)
{
	struct gate_ask *pending = map_get_u64(n->gate->asks, d->id.ask);
	struct forward_grant grant = {0};

	if (pending == NULL || d->type == PLACE_WAIT)
		return;
	if (d->type == PLACE_REFUSE) {
		handle_refusal(n, pending, n->id, d->reason, d->retry_after_ms,
		    d->elsewhere);
		return;
	}
	grant.ask = d->id.ask;
	grant.endpoint = d->endpoint;
	grant.address = d->address;
	grant.born_ms = d->born_ms;
	grant.adapter_version = d->adapter_version;
	grant.urgency = d->urgency;
	handle_grant(n, pending, &grant);
}
