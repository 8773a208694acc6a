#include <stdio.h>
#include <string.h>

#include "node/node_internal.h"

/*
 * The choice of an owner for a request: consistent hashing with bounded loads.
 * Weighted rendezvous hashing ranks the owners for an adapter; the first is its
 * home. While the home's load is within the bound the request goes there, else
 * to the next owner. So rarely used adapters are loaded at their homes only,
 * and hot adapters are loaded at as many owners as they need.
 */

/* An owner is skipped when its load exceeds both of these. */
#define SPREAD_LOAD_MAX	   0.9 /* per seat of its engines */
#define SPREAD_MEAN_FACTOR 1.25 /* times the mean load of all owners */
/* Unit of teams' loads in summaries: thousandths. */
#define SPREAD_MILLI 1000

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

/* The weight of a member by its capacity; 0: it cannot serve the request. */
static double
owner_weight(void *ctx, const struct member *m)
{
	const struct order_context *oc = ctx;
	const struct node_peer *peer = map_get_u64(oc->n->peers, m->id);

	if (m->leaving || peer == NULL || !node_peer_is_alive(oc->n, m->id))
		return 0.0;
	if (oc->service != NULL)
		return peer_has_service(peer, oc->service) ? 1.0 : 0.0;
	return peer->engines == 0 ? 0.0 : (double)peer->seats;
}

/* Running, queued and recently asked requests per seat. */
static double
owner_load(const struct node_peer *peer)
{
	uint32_t taken =
	    peer->seats > peer->free ? peer->seats - peer->free : 0;

	return peer->seats == 0
	    ? 0.0
	    : (double)(taken + peer->queued + peer->asks_since_summary) /
		peer->seats;
}

/* Length of the team, the first part of an adapter's key. */
static size_t
team_length(const char *adapter)
{
	return strcspn(adapter, "/");
}

/* A team's load at an owner, in thousandths of its share of the seats. */
static uintptr_t
team_load_milli(const struct node_peer *peer, const char *adapter)
{
	return (uintptr_t)map_get(
	    peer->team_loads, adapter, team_length(adapter));
}

/*
 * The load at an owner that a team's request competes with: at most the team's
 * own, because requests of other teams beyond their shares are served later.
 */
static double
team_load(const struct node_peer *peer, const char *adapter)
{
	double load = owner_load(peer), own;

	if (peer->seats == 0 || peer->team_loads == NULL)
		return load;
	own = (double)team_load_milli(peer, adapter) / SPREAD_MILLI;
	return own < load ? own : load;
}

/* Adds a request that was just sent to an owner to its known load. */
void
node_spread_count_ask(struct node_peer *peer, const char *adapter)
{
	uintptr_t milli = SPREAD_MILLI;

	peer->asks_since_summary++;
	if (peer->seats == 0 || peer->team_loads == NULL)
		return;
	milli = milli / peer->seats + team_load_milli(peer, adapter);
	(void)map_set(
	    peer->team_loads, adapter, team_length(adapter), (void *)milli);
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
	bound = seats > 0.0 ? SPREAD_MEAN_FACTOR * load / seats : 0.0;
	return bound > SPREAD_LOAD_MAX ? bound : SPREAD_LOAD_MAX;
}

/*
 * Sorts owners into three groups: those that have the adapter loaded, the
 * others, and those whose load exceeds the bound. Each group keeps its order.
 */
static void
sort_owners(struct node *n, const char *adapter, uint32_t *owners, size_t count)
{
	double bound = load_bound(n, owners, count);
	uint32_t groups[3][NODE_OWNERS_MAX];
	size_t i, group, counts[3] = {0}, filled = 0;
	const struct node_peer *peer;

	for (i = 0; i < count; i++) {
		peer = map_get_u64(n->peers, owners[i]);
		if (team_load(peer, adapter) > bound)
			group = 2;
		else
			group = !node_held_is_at(n, adapter, owners[i]);
		groups[group][counts[group]++] = owners[i];
	}
	for (group = 0; group < 3; group++)
		for (i = 0; i < counts[group]; i++)
			owners[filled++] = groups[group][i];
}

/*
 * Ranks the owners for an adapter or a service, best first. Calls of a service
 * are distributed at random.
 *
 * service: NULL for an adapter.
 * out: room for max ids.
 * Returns the number of owners, at most max and NODE_OWNERS_MAX.
 */
size_t
node_spread_rank(struct node *n, const char *adapter, const char *service,
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
	count = member_rank(n->view, key, owner_weight, &ctx, out,
	    max < NODE_OWNERS_MAX ? max : NODE_OWNERS_MAX);
	if (service == NULL)
		sort_owners(n, adapter, out, count);
	return count;
}
