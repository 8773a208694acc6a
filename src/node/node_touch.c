#include <stdlib.h>

#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Touches: an entry tells owners what it takes to wait and to run there, and
 * an owner tells it what of that is not known.
 */

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
	sched_adopt(
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
		g->touched_us = n->now;
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
		g->touched_us = n->now;
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
node_touch_receive(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__GrantTouch *touch)
{
	struct node_grant *g;
	const Wire__Pin *pin;
	size_t i;

	if (touch->all)
		node_entry_on_touch_all(n, from);
	for (i = 0; i < touch->n_ask_again; i++)
		node_entry_on_ask_again(n, touch->ask_again[i]);
	answer_touch(n, from, incarnation, touch);
	for (i = 0; i < touch->n_pins; i++) {
		pin = touch->pins[i];
		g = node_grant_find(n, from, incarnation, pin->request);
		if (g != NULL) {
			g->touched_us = n->now;
			g->basis_us = touch->sent_us;
		} else if (pin->endpoint[0] != '\0') {
			adopt_pin(n, from, incarnation, pin);
		}
	}
}
