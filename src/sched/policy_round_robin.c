#include "sched/policy_queue.h"

/* The next endpoint in turn. */
static struct endpoint *
round_robin_choose(struct policy_queue *policy, struct sched *s,
    uint64_t now_us, const struct item *it)
{
	const struct pool *p = it->adapter->pool;
	struct endpoint *ep;
	uint32_t i;

	for (i = 0; i < p->count; i++) {
		ep = p->endpoints[policy->next_index++ % p->count];
		if (endpoint_can_run(ep, it) &&
		    endpoint_is_usable(s, ep, now_us))
			return ep;
	}
	return NULL;
}

struct policy *
policy_round_robin_create(void)
{
	return policy_queue_create("round-robin", round_robin_choose);
}
