#ifndef MP_TESTS_NODE_FIXTURE_H
#define MP_TESTS_NODE_FIXTURE_H

#include "cluster/cluster.h"

static inline ClusterOptions
with_seed(uint64_t seed)
{
	ClusterOptions options;

	options.seed = seed;
	return options;
}

/* The owner that instance i would ask first for an adapter. */
static inline uint32_t
first_owner(const Cluster &c, int i, const std::string &key)
{
	uint32_t order[NODE_OWNERS_MAX] = {0};

	(void)node_spread_rank(c.instances[(size_t)i]->node, key.c_str(),
	    nullptr, order, NODE_OWNERS_MAX);
	return order[0];
}

#endif
