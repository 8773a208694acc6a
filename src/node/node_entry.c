#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Asks of this entry: sent to owners, repeated and moved to other owners. Also
 * the operations that the route needs of the node.
 */

/* ---- operations of the route --------------------------------------------- */

static void
ask_send(struct node *n, struct node_ask *ask, const Wire__GrantAsk *message)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__GrantAsk copy = *message;

	ask->sent_us = n->now;
	envelope.body_case = WIRE__ENVELOPE__BODY_ASK;
	envelope.ask = &copy;
	node_peer_send(n, ask->owner, &envelope);
}

/*
 * Refuses an ask for which no owner is left: as a message to this instance, so
 * that it is handled like any refusal.
 */
static void
ask_refuse(struct node *n, uint64_t ask)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__GrantReply reply = WIRE__GRANT_REPLY__INIT;

	reply.request = ask;
	reply.status = WIRE__GRANT_STATUS__GRANT_REFUSED;
	reply.reason = "no-capacity";
	envelope.body_case = WIRE__ENVELOPE__BODY_GRANT;
	envelope.grant = &reply;
	node_peer_send(n, n->id, &envelope);
}

static void
ops_ask(void *ctx, const Wire__GrantAsk *message, struct node_effects *fx)
{
	struct node *n = ctx;
	uint32_t owners[NODE_OWNERS_MAX];
	struct node_ask *ask;
	bool is_moving;
	const char *service =
	    message->service[0] == '\0' ? NULL : message->service;
	size_t count = node_spread_rank(
	    n, message->adapter, service, owners, NODE_OWNERS_MAX);

	(void)fx;
	is_moving =
	    count == 0 && n->now < n->epoch_changed_us + NODE_ENDPOINT_MOVE_US;
	if (!is_moving && (count == 0 || message->attempt >= 2 * count)) {
		ask_refuse(n, message->request);
		return;
	}
	ask = mem_alloc(1, sizeof(*ask));
	ask->ask = message->request;
	ask->sent_us = n->now;
	map_set_u64(n->asks, ask->ask, ask);
	if (is_moving)
		return; /* until endpoints have announced to new owners */
	ask->owner = owners[message->attempt % count];
	if (message->handed_to != 0 &&
	    node_peer_is_alive(n, message->handed_to) &&
	    member_view_find(n->view, message->handed_to) != NULL)
		ask->owner = message->handed_to;
	node_spread_count_ask(node_peer_get(n, ask->owner), message->adapter);
	ask_send(n, ask, message);
}

/* Processes an owner's answer. A redirected ask gets a new number. */
void
node_entry_on_grant(struct node *n, const Wire__GrantReply *reply)
{
	Wire__GrantAsk open;
	bool redirected =
	    reply->status == WIRE__GRANT_STATUS__GRANT_ELSEWHERE &&
	    route_fill_ask(n->route, n->now, reply->request, &open);

	route_on_grant_reply(n->route, n->now, reply, n->fx);
	if (redirected)
		free(map_remove_u64(n->asks, reply->request));
}

static void
send_done(struct node *n, uint32_t to, const Wire__GrantDone *message)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__GrantDone copy = *message;

	envelope.body_case = WIRE__ENVELOPE__BODY_DONE;
	envelope.done = &copy;
	node_peer_send(n, to, &envelope);
}

static void
ops_done(void *ctx, const Wire__GrantDone *message, struct node_effects *fx)
{
	struct node *n = ctx;
	struct node_ask *ask = map_remove_u64(n->asks, message->request);

	(void)fx;
	if (ask == NULL)
		return; /* its owner drops it without keepalives */
	send_done(n, ask->owner, message);
	free(ask);
}

static bool
ops_claim_start(void *ctx, const struct claim_start *start, uint64_t expires_us,
    uint64_t *proposal, struct node_effects *fx)
{
	struct node *n = ctx;
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__ClaimStart wire = WIRE__CLAIM_START__INIT;

	(void)fx;
	if (node_leader(n) == 0 ||
	    member_holder_standing(n->holder, n->view, n->now, n->applied) !=
		MEMBER_LEASED)
		return false;
	wire.team = (char *)start->team;
	wire.key = (char *)start->key;
	wire.body_hash = start->body_hash;
	wire.service = (char *)start->service;
	wire.call = (char *)start->call;
	wire.time_ms = node_wall_ms(n);
	command.body_case = WIRE__COMMAND__BODY_CLAIM_START;
	command.claim_start = &wire;
	*proposal =
	    node_propose(n, NODE_PROPOSE_CLAIM_START, 0, expires_us, &command);
	return true;
}

static void
ops_claim_end(void *ctx, const struct claim_end *end, uint64_t expires_us,
    struct node_effects *fx)
{
	static const Wire__ClaimOutcome outcomes[] = {
	    WIRE__CLAIM_OUTCOME__CLAIM_DONE, WIRE__CLAIM_OUTCOME__CLAIM_NOT_RUN,
	    WIRE__CLAIM_OUTCOME__CLAIM_UNKNOWN};
	struct node *n = ctx;
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__ClaimEnd wire = WIRE__CLAIM_END__INIT;

	(void)fx;
	wire.team = (char *)end->team;
	wire.key = (char *)end->key;
	wire.instance = end->instance;
	wire.incarnation = end->incarnation;
	wire.proposal = end->proposal;
	wire.outcome = outcomes[end->outcome];
	wire.status = (uint32_t)end->status;
	if (end->content_type != NULL)
		wire.content_type = (char *)end->content_type;
	wire.answer.data = (uint8_t *)end->answer;
	wire.answer.len = end->answer_len;
	command.body_case = WIRE__COMMAND__BODY_CLAIM_END;
	command.claim_end = &wire;
	(void)node_propose(
	    n, NODE_PROPOSE_CLAIM_END, end->proposal, expires_us, &command);
}

static const struct claim *
ops_claim_find(void *ctx, const char *team, const char *key)
{
	const struct node *n = ctx;

	return claim_find(n->claims, team, key);
}

static uint64_t
ops_next_call(void *ctx)
{
	struct node *n = ctx;

	return ++n->last_call;
}

static uint64_t
ops_act_until(void *ctx)
{
	const struct node *n = ctx;

	return node_act_until(n);
}

const struct route_ops node_route_ops = {
    .ask = ops_ask,
    .done = ops_done,
    .claim_start = ops_claim_start,
    .claim_end = ops_claim_end,
    .claim_find = ops_claim_find,
    .next_call = ops_next_call,
    .act_until_us = ops_act_until,
};

/* Asks another owner when the owner is lost; resends unanswered asks. */
static void
asks_tick(struct node *n)
{
	Wire__GrantAsk message;
	struct node_ask *ask;
	size_t i = map_count(n->asks);

	if (n->now < n->next_asks_scan_us)
		return;
	n->next_asks_scan_us = n->now + i * NODE_SCAN_ITEM_US;
	while (i-- > 0) {
		ask = map_at(n->asks, i);
		if (!route_fill_ask(n->route, n->now, ask->ask, &message))
			continue; /* granted */
		if (ask->owner == 0 && n->now < ask->sent_us + NODE_TICK_US * 5)
			continue;
		if (!node_peer_is_alive(n, ask->owner) ||
		    member_view_find(n->view, ask->owner) == NULL)
			route_on_owner_lost(n->route, n->now, ask->ask, n->fx);
		else if (n->now >= ask->sent_us + NODE_ASK_RESEND_US)
			ask_send(n, ask, &message);
	}
}

/* Sends an ask in full; its owner does not know it by its number. */
void
node_entry_on_ask_again(struct node *n, uint64_t id)
{
	struct node_ask *ask = map_get_u64(n->asks, id);
	Wire__GrantAsk message;

	if (ask != NULL && route_fill_ask(n->route, n->now, id, &message))
		ask_send(n, ask, &message);
}

void
node_entry_tick(struct node *n)
{
	asks_tick(n);
	if (n->now >= n->next_keepalive_us) {
		n->next_keepalive_us = n->now + NODE_KEEPALIVE_US;
		node_keepalive_send_all(n);
	}
	/* With a gateway the placer accounts for all entries instead. */
	if (n->now >= n->next_summary_us && n->gate == NULL) {
		n->next_summary_us = n->now + NODE_SUMMARY_US;
		node_summary_send(n);
		node_grant_redirect_queued(n);
		node_held_expire(n);
	}
}
