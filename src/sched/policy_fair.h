#ifndef MP_SCHED_POLICY_FAIR_H
#define MP_SCHED_POLICY_FAIR_H

#include "sched/policy.h"

/* Order the loads that the waiting requests need most. */
void fair_load(struct sched *s, uint64_t now_us);

/* The stall that evicting a slot is expected to cause, microseconds. */
double fair_evict_cost(struct policy *policy, struct sched *s, uint64_t now_us,
    const struct endpoint *ep, const struct slot *slot);

#endif
