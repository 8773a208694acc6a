#include <stdio.h>
#include <string.h>

#include "node/node_internal.h"

/*
 * Which owner is asked? The home of an adapter, by weighted rendezvous
 * hashing, while its load is within a bound; else the next in order. So the
 * tail gathers at its homes and hot adapters spread as far as they must.
 */

/* A home is passed over when its load is above both of these. */
#define SPREAD_LOAD_FULL 0.9 /* of its engines' seats */
#define SPREAD_OVER_MEAN 1.25 /* times the mean load of all owners */

struct order_context {
	const struct node *n;
	const char *service;
};

static bool
peer_has_service(const struct node_peer *peer, const char *service)
{
	size_t i;

	for (i = 0; i < peer->nservices; i++)
		if (strcmp(peer->services[i], service) == 0)
			return true;
	return false;
}

/* The capacity of a member for model requests or for a service. */
static double
owner_weight(void *ctx, const struct member *m)
{
	const struct order_context *oc = ctx;
	const struct node_peer *peer = map_get_u64(oc->n->peers, m->id);

	if (m->leaving || peer == NULL || !node_peer_is_heard(oc->n, m->id))
		return 0.0;
	if (oc->service != NULL)
		return peer_has_service(peer, oc->service) ? 1.0 : 0.0;
	return peer->engines == 0 ? 0.0 : (double)peer->seats;
}

/* Requests that run, wait or were just asked for, a seat. */
static double
owner_load(const struct node_peer *peer)
{
	uint32_t taken =
	    peer->seats > peer->free ? peer->seats - peer->free : 0;

	return peer->seats == 0
	    ? 0.0
	    : (double)(taken + peer->queued + peer->asked) / peer->seats;
}

static double
load_bound(const struct node *n, const uint32_t *owners, size_t count)
{
	const struct node_peer *peer;
	double load = 0.0, seats = 0.0, bound;
	size_t i;

	for (i = 0; i < count; i++) {
		peer = map_get_u64(n->peers, owners[i]);
		load += owner_load(peer) * peer->seats;
		seats += peer->seats;
	}
	bound = seats > 0.0 ? SPREAD_OVER_MEAN * load / seats : 0.0;
	return bound > SPREAD_LOAD_FULL ? bound : SPREAD_LOAD_FULL;
}

/* Move owners above the bound behind the others; each part keeps its order. */
static void
pass_over_full(struct node *n, uint32_t *owners, size_t count)
{
	double bound = load_bound(n, owners, count);
	uint32_t full[NODE_OWNERS_MAX];
	size_t i, kept = 0, nfull = 0;

	for (i = 0; i < count; i++) {
		if (owner_load(map_get_u64(n->peers, owners[i])) > bound)
			full[nfull++] = owners[i];
		else
			owners[kept++] = owners[i];
	}
	memcpy(owners + kept, full, nfull * sizeof(full[0]));
}

/*
 * Owners for an adapter or a service, best first; calls of a service are
 * spread at random.
 *
 * out: at most max ids, and at most NODE_OWNERS_MAX.
 */
size_t
node_spread_order(struct node *n, const char *adapter, const char *service,
    uint32_t *out, size_t max)
{
	struct order_context ctx = {n, service};
	char spread[32];
	const char *key = adapter;
	size_t count;

	if (service != NULL) {
		(void)snprintf(spread, sizeof(spread), "%u",
		    rng_below(&n->rng, UINT32_MAX));
		key = spread;
	}
	count = member_order(n->view, key, owner_weight, &ctx, out,
	    max < NODE_OWNERS_MAX ? max : NODE_OWNERS_MAX);
	if (service == NULL)
		pass_over_full(n, out, count);
	return count;
}
