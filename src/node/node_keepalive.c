#include <stdlib.h>

#include "node/node_internal.h"
#include "util/mem.h"

/* Asks and grants in one message. */
#define KEEPALIVE_PINS_MAX 512

/*
 * Keepalives (GrantTouch messages): an entry lists for each owner its asks that
 * wait there and its grants of that owner. The owner refreshes them, and
 * answers with those that it does not know.
 *
 * An ask is listed by its number alone; an owner that does not know it requests
 * it again. A grant is listed in full, as a pin, while its owner is new;
 * otherwise by its number alone.
 */

/* ---- at the entry -------------------------------------------------------- */

/* An open ask or grant of the route, with its owner. */
struct keepalive_item {
	uint32_t owner;
	bool is_full; /* list in full, as the owner is new */
	size_t open; /* index in the route */
};

/*
 * Determines the present owner of an open ask or grant. A granted request
 * belongs to the owner of its endpoint, which changes with the members.
 */
static void
find_owner(struct node *n, const struct route_open_ask *open,
    struct keepalive_item *item)
{
	struct node_ask *ask = map_get_u64(n->asks, open->ask);
	uint32_t owner;

	if (ask == NULL)
		return;
	if (open->endpoint != NULL) {
		owner = node_owner_of(n, n->settings->region, open->endpoint);
		if (owner != 0 && owner != ask->owner) {
			ask->owner = owner;
			ask->keepalive_full_until_us =
			    n->now + NODE_KEEPALIVE_FULL_US;
		}
	}
	item->owner = ask->owner;
	item->is_full = n->now < ask->keepalive_full_until_us;
}

static int
compare_items(const void *a, const void *b)
{
	const struct keepalive_item *x = a, *y = b;

	if (x->owner != y->owner)
		return x->owner < y->owner ? -1 : 1;
	return x->open < y->open ? -1 : x->open > y->open;
}

/* The content of one keepalive message. */
struct keepalive_list {
	Wire__Pin pins[KEEPALIVE_PINS_MAX];
	Wire__Pin *refs[KEEPALIVE_PINS_MAX];
	uint64_t known[KEEPALIVE_PINS_MAX], waiting[KEEPALIVE_PINS_MAX];
	size_t npins, nknown, nwaiting;
};

static size_t
list_count(const struct keepalive_list *list)
{
	return list->npins + list->nknown + list->nwaiting;
}

static void
list_add(struct node *n, struct keepalive_list *list, size_t i, bool full)
{
	struct route_open_ask open;
	Wire__GrantAsk ask;
	Wire__Pin *pin = &list->pins[list->npins];

	route_open_ask_at(n->route, i, &open);
	if (route_fill_ask(n->route, n->now, open.ask, &ask)) {
		list->waiting[list->nwaiting++] = open.ask;
		return;
	}
	if (!full) {
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
	pin->run = (char *)open.run_id;
	list->refs[list->npins++] = pin;
}

static void
list_send(struct node *n, uint32_t to, struct keepalive_list *list)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__GrantTouch message = WIRE__GRANT_TOUCH__INIT;

	message.n_pins = list->npins;
	message.pins = list->refs;
	message.n_known = list->nknown;
	message.known = list->known;
	message.n_waiting = list->nwaiting;
	message.waiting = list->waiting;
	message.sent_us = n->now;
	envelope.body_case = WIRE__ENVELOPE__BODY_TOUCH;
	envelope.touch = &message;
	node_peer_send(n, to, &envelope);
	list->npins = list->nknown = list->nwaiting = 0;
}

/* Sends one owner the keepalives of count items, all of which are its own. */
static void
send_to_owner(struct node *n, const struct keepalive_item *items, size_t count)
{
	const struct node_peer *peer = node_peer_get(n, items[0].owner);
	bool full = n->now < peer->keepalive_full_until_us;
	struct keepalive_list list;
	size_t i;

	list.npins = list.nknown = list.nwaiting = 0;
	for (i = 0; i < count; i++) {
		list_add(n, &list, items[i].open, full || items[i].is_full);
		if (list_count(&list) == KEEPALIVE_PINS_MAX)
			list_send(n, items[0].owner, &list);
	}
	if (list_count(&list) > 0)
		list_send(n, items[0].owner, &list);
}

/* The owner does not know a grant listed by number: lists pins in full. */
static void
schedule_full(struct node *n, uint32_t from)
{
	node_peer_get(n, from)->keepalive_full_until_us =
	    n->now + NODE_KEEPALIVE_FULL_US;
	n->next_keepalive_us = 0;
}

void
node_keepalive_send_all(struct node *n)
{
	size_t i, same, count = route_open_ask_count(n->route);
	struct keepalive_item *items = mem_alloc(count, sizeof(*items));
	struct route_open_ask open;

	for (i = 0; i < count; i++) {
		route_open_ask_at(n->route, i, &open);
		items[i].open = i;
		find_owner(n, &open, &items[i]);
	}
	if (count > 0)
		qsort(items, count, sizeof(*items), compare_items);
	for (i = 0; i < count; i += same) {
		same = 1;
		while (
		    i + same < count && items[i + same].owner == items[i].owner)
			same++;
		if (member_view_find(n->view, items[i].owner) != NULL)
			send_to_owner(n, &items[i], same);
	}
	free(items);
}

/* ---- at the owner -------------------------------------------------------- */

/*
 * Adds a grant for a request that runs on an endpoint which this instance has
 * taken over from another owner.
 */
static void
adopt_pin(
    struct node *n, uint32_t from, uint64_t incarnation, const Wire__Pin *pin)
{
	struct node_grant *g;

	if (map_get_str(n->endpoints, pin->endpoint) == NULL ||
	    !node_grant_is_member(n, from, incarnation))
		return;
	g = node_grant_add(n, from, incarnation, pin->request);
	g->endpoint = mem_string(pin->endpoint);
	g->granted_us = n->now;
	if (pin->adapter[0] != '\0')
		g->adapter = mem_string(pin->adapter);
	g->run = mem_string(pin->run);
	sched_adopt_grant(
	    n->sched, n->now, g->id, pin->team, pin->endpoint, g->adapter);
}

/* Refreshes the grants listed by number; false when one is not known. */
static bool
refresh_known(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantTouch *message)
{
	struct node_grant *g;
	bool known = true;
	size_t i;

	for (i = 0; i < message->n_known; i++) {
		g = node_grant_find(n, from, incarnation, message->known[i]);
		if (g == NULL) {
			known = false;
			continue;
		}
		g->keepalive_us = n->now;
		g->basis_us = message->sent_us;
	}
	return known;
}

/*
 * Refreshes the listed asks, and sends grants that the entry has not received.
 *
 * missing: set to the asks that are not known; room for all.
 * Returns the number of missing asks.
 */
static size_t
refresh_waiting(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantTouch *message, uint64_t *missing)
{
	struct node_grant *g;
	size_t i, count = 0;

	for (i = 0; i < message->n_waiting; i++) {
		g = node_grant_find(n, from, incarnation, message->waiting[i]);
		if (g == NULL) {
			missing[count++] = message->waiting[i];
			continue;
		}
		g->keepalive_us = n->now;
		g->basis_us = message->sent_us;
		if (g->endpoint != NULL)
			node_grant_send(n, g);
	}
	return count;
}

/* Answers a keepalive if it lists asks or grants that are not known here. */
static void
reply_missing(struct node *n, uint32_t to, uint64_t incarnation,
    const Wire__GrantTouch *received)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__GrantTouch message = WIRE__GRANT_TOUCH__INIT;

	message.ask_again = mem_alloc(received->n_waiting, sizeof(uint64_t));
	message.n_ask_again =
	    refresh_waiting(n, to, incarnation, received, message.ask_again);
	message.all = !refresh_known(n, to, incarnation, received);
	envelope.body_case = WIRE__ENVELOPE__BODY_TOUCH;
	envelope.touch = &message;
	if (message.all || message.n_ask_again > 0)
		node_peer_reply(n, to, incarnation, &envelope);
	free(message.ask_again);
}

void
node_keepalive_receive(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantTouch *message)
{
	struct node_grant *g;
	const Wire__Pin *pin;
	size_t i;

	if (message->all)
		schedule_full(n, from);
	for (i = 0; i < message->n_ask_again; i++)
		node_entry_on_ask_again(n, message->ask_again[i]);
	reply_missing(n, from, incarnation, message);
	for (i = 0; i < message->n_pins; i++) {
		pin = message->pins[i];
		g = node_grant_find(n, from, incarnation, pin->request);
		if (g != NULL) {
			g->keepalive_us = n->now;
			g->basis_us = message->sent_us;
		} else if (pin->endpoint[0] != '\0') {
			adopt_pin(n, from, incarnation, pin);
		}
	}
}
