#include <stdlib.h>

#include "node/node_gate.h"
#include "place/place_heat.h"
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
/*
 * An owner is passed over when its load is above the mean by this factor, and
 * by more than a load of the adapter elsewhere takes.
 */
#define SPREAD_OVER_MEAN 1.25
/* What an owner told of its load counts for so long. */
#define LOAD_KNOWN_US (2000 * 1000ULL)
/* Entries hear the same; this keeps them from choosing all alike. */
#define SPREAD_JITTER 0.3
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
gate_spread_homes(struct node *n, uint64_t key)
{
	double share = place_heat_note(n->gate->heat, n->now, key);
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

	if (n->now < g->weighed_us)
		return;
	g->weighed_us = n->now + WEIGH_US;
	for (i = 0; i < g->shards.count; i++)
		g->weights[i] = 0;
	for (i = 0; i < place_count(g->place); i++)
		if (place_engine_at(g->place, i, &id, &service))
			g->weights[gate_shard_of(n, service, id)]++;
}

static bool
has_time(struct node *n, uint32_t owner)
{
	const struct gate_owner *o = gate_owner_get(n, owner);

	if (owner == n->id || owner == 0)
		return owner != 0; /* 0: the shard has no owner now */
	return n->now >= o->silent_until_us && place_window_is_open(&o->window);
}

/* What an owner told lately; what is not known is like the mean. */
static double
load_of(struct node *n, uint32_t owner, double unknown)
{
	const struct gate_owner *o = gate_owner_get(n, owner);

	if (owner == n->id)
		return place_load_ms(n->gate->place);
	if (o->load_us == 0 || n->now > o->load_us + LOAD_KNOWN_US)
		return unknown;
	return o->load_ms;
}

static double
mean_load(struct node *n, const uint32_t *order, size_t count)
{
	double sum = 0, load;
	size_t i, known = 0;

	for (i = 0; i < count; i++) {
		load = load_of(n, n->gate->shards.owners[order[i]], -1);
		if (load < 0)
			continue;
		sum += load;
		known++;
	}
	return known == 0 ? 0 : sum / (double)known;
}

/* The least loaded of some owners that have time; 0: none of them has. */
static uint32_t
least_loaded(struct node *n, const uint32_t *order, size_t count, uint32_t but,
    double bound, double unknown)
{
	double load, least = bound;
	uint32_t owner, best = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		owner = n->gate->shards.owners[order[i]];
		if (owner == but || !has_time(n, owner))
			continue;
		load = load_of(n, owner, unknown) *
		    (1 + SPREAD_JITTER * rng_unit(&n->rng));
		if (load > least || (best != 0 && load == least))
			continue;
		best = owner;
		least = load;
	}
	return best;
}

/* The first owner in order that is not above the bound. */
static uint32_t
first_below(struct node *n, const uint32_t *order, size_t count, uint32_t but,
    double bound, double unknown)
{
	uint32_t owner;
	size_t i;

	for (i = 0; i < count; i++) {
		owner = n->gate->shards.owners[order[i]];
		if (owner != but && has_time(n, owner) &&
		    load_of(n, owner, unknown) <= bound)
			return owner;
	}
	return 0;
}

uint32_t
gate_spread_choose(struct node *n, const struct gate_ask *kept)
{
	uint32_t order[MEMBER_SHARDS_MAX], owner;
	double mean, bound;
	size_t count;

	weigh(n);
	count = member_shard_order(
	    &n->gate->shards, kept->key, n->gate->weights, order);
	mean = mean_load(n, order, count);
	bound = mean * SPREAD_OVER_MEAN;
	if (bound < mean + n->settings->load_ms)
		bound = mean + n->settings->load_ms;
	owner =
	    least_loaded(n, order, kept->homes < count ? kept->homes : count,
		kept->refused_by, bound, mean);
	if (owner == 0)
		owner =
		    first_below(n, order, count, kept->refused_by, bound, mean);
	if (owner == 0)
		owner =
		    least_loaded(n, order, count, kept->refused_by, 1e12, mean);
	return owner;
}
