#include <stdlib.h>

#include "node/node_gate.h"
#include "place/place_owner.h"
#include "place/place_popularity.h"
#include "util/mem.h"

/*
 * Selects the owner that an entry asks to place a model request. Weighted
 * rendezvous hashing over the shards gives each adapter a home, so that the
 * requests for a rarely used adapter meet where it is loaded. A frequently used
 * adapter has several homes, of which one is selected. When the homes are more
 * loaded than most owners, any other owner may be selected. Owners send their
 * load with each reply.
 */

/*
 * Additional homes that an adapter gets for each shard's share of the requests
 * that it receives.
 */
#define HOMES_PER_SHARD_SHARE 4
/* A load that an owner sent is valid for this time. */
#define LOAD_VALID_US (2000 * 1000ULL)
/* Interval between two counts of the engines of each shard. */
#define ENGINE_COUNT_INTERVAL_US (250 * 1000ULL)

struct gate_owner *
gate_owner_get(struct node *n, uint32_t instance)
{
	struct gate_owner *o = map_get_u64(n->gate->owners, instance);

	if (o != NULL)
		return o;
	o = mem_alloc(1, sizeof(*o));
	place_window_init(&o->window);
	(void)map_set_u64(n->gate->owners, instance, o);
	return o;
}

uint32_t
gate_owner_count_homes(struct node *n, uint64_t key)
{
	double share =
	    place_popularity_record(n->gate->popularity, n->now, key);
	uint32_t shards = n->gate->shards.count, homes;

	homes = 1 + (uint32_t)(share * shards * HOMES_PER_SHARD_SHARE);
	return homes < shards ? homes : shards;
}

/* Counts the engines of each shard in the endpoint table. */
static void
count_shard_engines(struct node *n)
{
	struct node_gate *g = n->gate;
	const char *id, *service;
	size_t i;

	if (n->now < g->shard_engines_due_us)
		return;
	g->shard_engines_due_us = n->now + ENGINE_COUNT_INTERVAL_US;
	for (i = 0; i < g->shards.count; i++)
		g->shard_engines[i] = 0;
	for (i = 0; i < place_endpoint_count(g->place); i++)
		if (place_engine_at(g->place, i, &id, &service))
			g->shard_engines[gate_shard_of(n, service, id)]++;
}

static bool
can_accept(const struct node *n, uint32_t owner, const struct gate_owner *o)
{
	return owner == n->id ||
	    (n->now >= o->backoff_until_us && place_window_is_open(&o->window));
}

static double
get_load_ms(const struct node *n, uint32_t owner, const struct gate_owner *o)
{
	if (owner == n->id)
		return place_load_ms(n->gate->place);
	if (o->load_received_us == 0 ||
	    n->now > o->load_received_us + LOAD_VALID_US)
		return PLACE_LOAD_UNKNOWN;
	return o->load_ms;
}

/* Describes an owner for the selection; 0: the shard has no owner now. */
static struct place_owner_load
describe_owner(struct node *n, uint32_t owner)
{
	struct place_owner_load out = {owner, false, PLACE_LOAD_UNKNOWN};
	const struct gate_owner *o;

	if (owner == 0)
		return out;
	o = gate_owner_get(n, owner);
	out.is_available = can_accept(n, owner, o);
	out.load_ms = get_load_ms(n, owner, o);
	return out;
}

uint32_t
gate_owner_select(struct node *n, const struct gate_ask *pending)
{
	struct place_owner_load owners[MEMBER_SHARDS_MAX];
	uint32_t order[MEMBER_SHARDS_MAX];
	size_t count, i;

	count_shard_engines(n);
	count = member_shard_rank(
	    &n->gate->shards, pending->key, n->gate->shard_engines, order);
	for (i = 0; i < count; i++)
		owners[i] = describe_owner(n, n->gate->shards.owners[order[i]]);
	return place_owner_choose(owners, count, pending->home_count,
	    pending->refused_by, n->settings->load_ms, &n->rng);
}

uint32_t
gate_owner_outstanding_asks(const struct node *n)
{
	const struct gate_owner *o;
	uint32_t total = 0;
	size_t i;

	for (i = 0; i < map_count(n->gate->owners); i++) {
		o = map_at(n->gate->owners, i);
		total += o->window.in_flight;
	}
	return total;
}
