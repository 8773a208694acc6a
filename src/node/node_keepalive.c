#include <stdlib.h>

#include "node/node_internal.h"
#include "util/mem.h"

#define TOUCH_PINS_MAX 512

/*
 * Touches: an entry tells owners what it takes to wait and to run there, and
 * an owner tells it what of that is not known.
 */

/* ---- at the entry -------------------------------------------------------- */

/* An open ask or grant and the owner to be told of it. */
struct touch {
	uint32_t owner;
	bool all; /* in full: the owner is new to it */
	size_t open;
};

/* The owner to which an open ask or grant belongs now. */
static void
open_owner(
    struct node *n, const struct route_open_ask *open, struct touch *touch)
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
	touch->owner = ask->owner;
	touch->all = n->now < ask->keepalive_full_until_us;
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
	struct route_open_ask open;
	Wire__GrantAsk ask;
	Wire__Pin *pin = &list->pins[list->npins];

	route_open_ask_at(n->route, i, &open);
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
	pin->run = (char *)open.run_id;
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
	const struct node_peer *peer = node_peer_get(n, touches[0].owner);
	bool all = n->now < peer->keepalive_full_until_us;
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
static void
want_all(struct node *n, uint32_t from)
{
	node_peer_get(n, from)->keepalive_full_until_us =
	    n->now + NODE_KEEPALIVE_FULL_US;
	n->next_keepalive_us = 0;
}

void
node_keepalive_send_all(struct node *n)
{
	size_t i, same, count = route_open_ask_count(n->route);
	struct touch *touches = mem_alloc(count, sizeof(*touches));
	struct route_open_ask open;

	for (i = 0; i < count; i++) {
		route_open_ask_at(n->route, i, &open);
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

/* ---- at the owner -------------------------------------------------------- */

/* A request that runs on an endpoint taken over from another owner. */
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

/* Grants that the entry takes to be known here; false when one is not. */
static bool
touch_known(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantTouch *touch)
{
	struct node_grant *g;
	bool known = true;
	size_t i;

	for (i = 0; i < touch->n_known; i++) {
		g = node_grant_find(n, from, incarnation, touch->known[i]);
		if (g == NULL) {
			known = false;
			continue;
		}
		g->keepalive_us = n->now;
		g->basis_us = touch->sent_us;
	}
	return known;
}

/* Asks that the entry takes to wait here; those that do not are gathered. */
static size_t
touch_waiting(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantTouch *touch, uint64_t *missing)
{
	struct node_grant *g;
	size_t i, count = 0;

	for (i = 0; i < touch->n_waiting; i++) {
		g = node_grant_find(n, from, incarnation, touch->waiting[i]);
		if (g == NULL) {
			missing[count++] = touch->waiting[i];
			continue;
		}
		g->keepalive_us = n->now;
		g->basis_us = touch->sent_us;
		if (g->endpoint != NULL)
			node_grant_send(n, g);
	}
	return count;
}

/* Tell an entry what of a touch is not known here, if anything. */
static void
answer_touch(struct node *n, uint32_t to, uint64_t incarnation,
    const Wire__GrantTouch *heard)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__GrantTouch touch = WIRE__GRANT_TOUCH__INIT;

	touch.ask_again = mem_alloc(heard->n_waiting, sizeof(uint64_t));
	touch.n_ask_again =
	    touch_waiting(n, to, incarnation, heard, touch.ask_again);
	touch.all = !touch_known(n, to, incarnation, heard);
	envelope.body_case = WIRE__ENVELOPE__BODY_TOUCH;
	envelope.touch = &touch;
	if (touch.all || touch.n_ask_again > 0)
		node_peer_send(n, to, &envelope);
	free(touch.ask_again);
}

void
node_keepalive_receive(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantTouch *touch)
{
	struct node_grant *g;
	const Wire__Pin *pin;
	size_t i;

	if (touch->all)
		want_all(n, from);
	for (i = 0; i < touch->n_ask_again; i++)
		node_entry_on_ask_again(n, touch->ask_again[i]);
	answer_touch(n, from, incarnation, touch);
	for (i = 0; i < touch->n_pins; i++) {
		pin = touch->pins[i];
		g = node_grant_find(n, from, incarnation, pin->request);
		if (g != NULL) {
			g->keepalive_us = n->now;
			g->basis_us = touch->sent_us;
		} else if (pin->endpoint[0] != '\0') {
			adopt_pin(n, from, incarnation, pin);
		}
	}
}
