#include <stdlib.h>

#include "node/node_gate.h"
#include "place/place_owner.h"
#include "place/place_popularity.h"
#include "util/mem.h"

/*
 * Which owner an entry asks for a model request: the home of its adapter by
 * weighted rendezvous hashing over the shards, so that the tail gathers where
 * it is loaded; of a hot adapter one of several homes; and any other owner when
 * these have more to do than most. What owners have to do they tell with each
 * answer.
 */

/* An adapter has so many homes for the share of one shard that it takes. */
#define HOMES_FOR_SHARE 4
/* What an owner told of its load counts for so long. */
#define LOAD_KNOWN_US (2000 * 1000ULL)
/* Engines by shard are counted so often. */
#define WEIGH_US (250 * 1000ULL)

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
	double share = place_popularity_record(n->gate->heat, n->now, key);
	uint32_t shards = n->gate->shards.count, homes;

	homes = 1 + (uint32_t)(share * shards * HOMES_FOR_SHARE);
	return homes < shards ? homes : shards;
}

/* Engines of each shard, by the table. */
static void
weigh(struct node *n)
{
	struct node_gate *g = n->gate;
	const char *id, *service;
	size_t i;

	if (n->now < g->shard_engines_due_us)
		return;
	g->shard_engines_due_us = n->now + WEIGH_US;
	for (i = 0; i < g->shards.count; i++)
		g->shard_engines[i] = 0;
	for (i = 0; i < place_endpoint_count(g->place); i++)
		if (place_engine_at(g->place, i, &id, &service))
			g->shard_engines[gate_shard_of(n, service, id)]++;
}

static bool
has_time(const struct node *n, uint32_t owner, const struct gate_owner *o)
{
	return owner == n->id ||
	    (n->now >= o->backoff_until_us && place_window_is_open(&o->window));
}

static double
load_of(const struct node *n, uint32_t owner, const struct gate_owner *o)
{
	if (owner == n->id)
		return place_load_ms(n->gate->place);
	if (o->load_received_us == 0 ||
	    n->now > o->load_received_us + LOAD_KNOWN_US)
		return PLACE_LOAD_UNKNOWN;
	return o->load_ms;
}

/* What this entry knows of an owner; 0: the shard has none now. */
static struct place_owner_load
describe_owner(struct node *n, uint32_t owner)
{
	struct place_owner_load out = {owner, false, PLACE_LOAD_UNKNOWN};
	const struct gate_owner *o;

	if (owner == 0)
		return out;
	o = gate_owner_get(n, owner);
	out.is_available = has_time(n, owner, o);
	out.load_ms = load_of(n, owner, o);
	return out;
}

uint32_t
gate_owner_select(struct node *n, const struct gate_ask *kept)
{
	struct place_owner_load owners[MEMBER_SHARDS_MAX];
	uint32_t order[MEMBER_SHARDS_MAX];
	size_t count, i;

	weigh(n);
	count = member_shard_rank(
	    &n->gate->shards, kept->key, n->gate->shard_engines, order);
	for (i = 0; i < count; i++)
		owners[i] = describe_owner(n, n->gate->shards.owners[order[i]]);
	return place_owner_choose(owners, count, kept->home_count,
	    kept->refused_by, n->settings->load_ms, &n->rng);
}

uint32_t
gate_owner_outstanding_asks(const struct node *n)
{
	const struct gate_owner *o;
	uint32_t out = 0;
	size_t i;

	for (i = 0; i < map_count(n->gate->owners); i++) {
		o = map_at(n->gate->owners, i);
		out += o->window.in_flight;
	}
	return out;
}
