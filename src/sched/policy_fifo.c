#include "sched/policy_queue.h"

/* The least loaded endpoint that holds the adapter, else the least loaded. */
static struct endpoint *
fifo_choose(struct policy_queue *policy, struct sched *s, uint64_t now_us,
    const struct item *it)
{
	struct endpoint *ep = NULL;

	(void)policy;
	if (!it->adapter->is_service)
		ep = policy_queue_least_loaded(s, now_us, it, true);
	return ep != NULL ? ep
			  : policy_queue_least_loaded(s, now_us, it, false);
}

struct policy *
policy_fifo_create(void)
{
	return policy_queue_create("fifo", fifo_choose);
}
