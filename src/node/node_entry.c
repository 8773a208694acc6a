#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"
#include "util/mem.h"

#define TOUCH_PINS_MAX 512

/* ---- what the route needs ---------------------------------------------- */

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

/* No owner is left to ask: answered through the loop like any refusal. */
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
	bool settling;
	const char *service =
	    message->service[0] == '\0' ? NULL : message->service;
	size_t count = node_spread_order(
	    n, message->adapter, service, owners, NODE_OWNERS_MAX);

	(void)fx;
	settling = count == 0 && n->now < n->epoch_us + NODE_SETTLE_US;
	if (!settling && (count == 0 || message->attempt >= 2 * count)) {
		ask_refuse(n, message->request);
		return;
	}
	ask = mem_alloc(1, sizeof(*ask));
	ask->ask = message->request;
	ask->sent_us = n->now;
	map_set_u64(n->asks, ask->ask, ask);
	if (settling)
		return; /* its endpoints are moving to their new owners */
	ask->owner = owners[message->attempt % count];
	if (message->handed_to != 0 &&
	    node_peer_is_heard(n, message->handed_to) &&
	    member_view_find(n->view, message->handed_to) != NULL)
		ask->owner = message->handed_to;
	node_spread_asked(node_peer(n, ask->owner), message->adapter);
	ask_send(n, ask, message);
}

/* An answer to an ask; one that goes elsewhere has a new number there. */
void
node_entry_on_grant(struct node *n, const Wire__GrantReply *reply)
{
	Wire__GrantAsk open;
	bool leaves = reply->status == WIRE__GRANT_STATUS__GRANT_ELSEWHERE &&
	    route_fill_ask(n->route, n->now, reply->request, &open);

	route_grant(n->route, n->now, reply, n->fx);
	if (leaves)
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
		return; /* its owner forgets it by the touches it misses */
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
	wire.outcome = outcomes[end->kind];
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
    .act_until = ops_act_until,
};

/* ---- touches ------------------------------------------------------------ */

/* Asks whose owner is gone are asked again; silent ones are repeated. */
static void
asks_tick(struct node *n)
{
	Wire__GrantAsk message;
	struct node_ask *ask;
	size_t i = map_count(n->asks);

	if (n->now < n->asks_us)
		return;
	n->asks_us = n->now + i * NODE_SCAN_STEP_US;
	while (i-- > 0) {
		ask = map_at(n->asks, i);
		if (!route_fill_ask(n->route, n->now, ask->ask, &message))
			continue; /* granted */
		if (ask->owner == 0 && n->now < ask->sent_us + NODE_TICK_US * 5)
			continue;
		if (!node_peer_is_heard(n, ask->owner) ||
		    member_view_find(n->view, ask->owner) == NULL)
			route_owner_lost(n->route, n->now, ask->ask, n->fx);
		else if (n->now >= ask->sent_us + NODE_ASK_RESEND_US)
			ask_send(n, ask, &message);
	}
}

/* An open ask or grant and the owner to be told of it. */
struct touch {
	uint32_t owner;
	bool all; /* in full: the owner is new to it */
	size_t open;
};

/* The owner to which an open ask or grant belongs now. */
static void
open_owner(struct node *n, const struct route_open *open, struct touch *touch)
{
	struct node_ask *ask = map_get_u64(n->asks, open->ask);
	uint32_t owner;

	if (ask == NULL)
		return;
	if (open->endpoint != NULL) {
		owner = node_owner_of(n, n->settings->region, open->endpoint);
		if (owner != 0 && owner != ask->owner) {
			ask->owner = owner;
			ask->touch_all_until = n->now + NODE_TOUCH_ALL_US;
		}
	}
	touch->owner = ask->owner;
	touch->all = n->now < ask->touch_all_until;
}

static int
compare_touches(const void *a, const void *b)
{
	const struct touch *x = a, *y = b;

	if (x->owner != y->owner)
		return x->owner < y->owner ? -1 : 1;
	return x->open < y->open ? -1 : x->open > y->open;
}

/* What one touch tells, as it is filled. */
struct touch_list {
	Wire__Pin pins[TOUCH_PINS_MAX];
	Wire__Pin *refs[TOUCH_PINS_MAX];
	uint64_t known[TOUCH_PINS_MAX], waiting[TOUCH_PINS_MAX];
	size_t npins, nknown, nwaiting;
};

static size_t
touch_count(const struct touch_list *list)
{
	return list->npins + list->nknown + list->nwaiting;
}

static void
touch_add(struct node *n, struct touch_list *list, size_t i, bool all)
{
	struct route_open open;
	Wire__GrantAsk ask;
	Wire__Pin *pin = &list->pins[list->npins];

	route_open_at(n->route, i, &open);
	if (route_fill_ask(n->route, n->now, open.ask, &ask)) {
		list->waiting[list->nwaiting++] = open.ask;
		return;
	}
	if (!all) {
		list->known[list->nknown++] = open.ask;
		return;
	}
	wire__pin__init(pin);
	pin->request = open.ask;
	if (open.endpoint != NULL)
		pin->endpoint = (char *)open.endpoint;
	if (open.adapter != NULL)
		pin->adapter = (char *)open.adapter;
	pin->team = (char *)open.team;
	pin->run = (char *)open.run;
	list->refs[list->npins++] = pin;
}

static void
touch_send(struct node *n, uint32_t to, struct touch_list *list)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__GrantTouch touch = WIRE__GRANT_TOUCH__INIT;

	touch.n_pins = list->npins;
	touch.pins = list->refs;
	touch.n_known = list->nknown;
	touch.known = list->known;
	touch.n_waiting = list->nwaiting;
	touch.waiting = list->waiting;
	touch.sent_us = n->now;
	envelope.body_case = WIRE__ENVELOPE__BODY_TOUCH;
	envelope.touch = &touch;
	node_peer_send(n, to, &envelope);
	list->npins = list->nknown = list->nwaiting = 0;
}

/* Touch one owner: of what is open, the first count belong to it. */
static void
touch_owner(struct node *n, const struct touch *touches, size_t count)
{
	const struct node_peer *peer = node_peer(n, touches[0].owner);
	bool all = n->now < peer->touch_all_until;
	struct touch_list list;
	size_t i;

	list.npins = list.nknown = list.nwaiting = 0;
	for (i = 0; i < count; i++) {
		touch_add(n, &list, touches[i].open, all || touches[i].all);
		if (touch_count(&list) == TOUCH_PINS_MAX)
			touch_send(n, touches[0].owner, &list);
	}
	if (touch_count(&list) > 0)
		touch_send(n, touches[0].owner, &list);
}

/* An owner misses a grant that was named by its request alone. */
void
node_entry_on_touch_all(struct node *n, uint32_t from)
{
	node_peer(n, from)->touch_all_until = n->now + NODE_TOUCH_ALL_US;
	n->touch_us = 0;
}

/* An owner misses an ask that was named by its number. */
void
node_entry_on_ask_again(struct node *n, uint64_t id)
{
	struct node_ask *ask = map_get_u64(n->asks, id);
	Wire__GrantAsk message;

	if (ask != NULL && route_fill_ask(n->route, n->now, id, &message))
		ask_send(n, ask, &message);
}

static void
touch_owners(struct node *n)
{
	size_t i, same, count = route_open_count(n->route);
	struct touch *touches = mem_alloc(count, sizeof(*touches));
	struct route_open open;

	for (i = 0; i < count; i++) {
		route_open_at(n->route, i, &open);
		touches[i].open = i;
		open_owner(n, &open, &touches[i]);
	}
	if (count > 0)
		qsort(touches, count, sizeof(*touches), compare_touches);
	for (i = 0; i < count; i += same) {
		same = 1;
		while (i + same < count &&
		    touches[i + same].owner == touches[i].owner)
			same++;
		if (member_view_find(n->view, touches[i].owner) != NULL)
			touch_owner(n, &touches[i], same);
	}
	free(touches);
}

/* ---- summaries ----------------------------------------------------------- */

static void
send_summary(struct node *n)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__OwnerSummary summary = WIRE__OWNER_SUMMARY__INIT;
	size_t nservices = sched_service_count(n->sched);
	size_t nrates = map_count(n->rates);
	Wire__TeamRate *rates = mem_alloc(nrates, sizeof(*rates));
	Wire__TeamRate **rate_list = mem_alloc(nrates, sizeof(*rate_list));
	char **services = mem_alloc(nservices, sizeof(*services));
	Wire__TeamUsage *usage, **list;
	struct sched_totals totals;
	const struct member *m;
	uint32_t held[NODE_HELD_MOST];
	size_t i;

	sched_get_totals(n->sched, n->now, &totals);
	summary.n_usage = node_usage_fill(n, &usage, &list);
	summary.usage = list;
	for (i = 0; i < nservices; i++)
		services[i] = (char *)sched_service_at(n->sched, i);
	summary.seats = totals.seats;
	summary.free = totals.free;
	summary.queued = totals.queued;
	summary.engines = totals.engines;
	summary.wait_ms = totals.wait_p90_ms;
	summary.n_services = nservices;
	summary.services = services;
	summary.leaving = n->stopping;
	summary.n_rates = node_rate_fill(n, rates, nrates);
	summary.rates = rate_list;
	for (i = 0; i < nrates; i++)
		rate_list[i] = &rates[i];
	node_held_fill(n, &summary, held, node_grant_owners(n));
	envelope.body_case = WIRE__ENVELOPE__BODY_SUMMARY;
	envelope.summary = &summary;
	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (strcmp(m->region, n->settings->region) == 0)
			node_peer_send(n, m->id, &envelope);
	}
	n->loaded.count = n->dropped.count = 0;
	free(rates);
	free(rate_list);
	free(usage);
	free(list);
	free(services);
}

static void
set_services(struct node_peer *peer, const Wire__OwnerSummary *summary)
{
	size_t i;

	for (i = 0; i < peer->nservices; i++)
		free(peer->services[i]);
	free(peer->services);
	peer->nservices = summary->n_services;
	peer->services = mem_alloc(peer->nservices, sizeof(*peer->services));
	for (i = 0; i < peer->nservices; i++)
		peer->services[i] = mem_string(summary->services[i]);
}

void
node_entry_on_summary(
    struct node *n, uint32_t from, const Wire__OwnerSummary *summary)
{
	struct node_peer *peer = node_peer(n, from);
	size_t i;

	peer->asked = 0;
	peer->seats = summary->seats;
	peer->free = summary->free;
	peer->queued = summary->queued;
	peer->engines = summary->engines;
	peer->wait_ms = summary->wait_ms;
	peer->leaving = summary->leaving;
	set_services(peer, summary);
	node_usage_heard(n, peer, summary);
	node_held_heard(n, from, summary);
	if (from == n->id)
		return;
	for (i = 0; i < summary->n_rates; i++)
		node_rate_heard(n, from, summary->rates[i]);
}

void
node_entry_tick(struct node *n)
{
	asks_tick(n);
	if (n->now >= n->touch_us) {
		n->touch_us = n->now + NODE_TOUCH_US;
		touch_owners(n);
	}
	if (n->now >= n->summary_us) {
		n->summary_us = n->now + NODE_SUMMARY_US;
		send_summary(n);
		node_grant_hand_on(n);
		node_held_tick(n);
	}
}
