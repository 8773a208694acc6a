#include "sched/policy_queue.h"

/* The least loaded endpoint, whatever it holds. */
static struct endpoint *
least_loaded_choose(struct policy_queue *policy, struct sched *s,
    uint64_t now_us, const struct item *it)
{
	(void)policy;
	return policy_queue_least_loaded(s, now_us, it, false);
}

struct policy *
policy_least_loaded_create(void)
{
	return policy_queue_create("least-loaded", least_loaded_choose);
}
