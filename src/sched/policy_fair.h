#ifndef MP_SCHED_POLICY_FAIR_H
#define MP_SCHED_POLICY_FAIR_H

#include "sched/policy.h"

/* Whether the endpoint has a seat that the team may take. */
bool fair_can_take_seat(
    const struct sched *s, const struct team *t, const struct endpoint *ep);

/* Whether taking an idle slot of it leaves another one to other teams. */
bool fair_leaves_idle_slot(
    const struct sched *s, const struct team *t, const struct endpoint *ep);

/* Order the loads that the waiting requests need most. */
void fair_order_loads(struct sched *s, uint64_t now_us);

/* The stall that evicting a slot is expected to cause, microseconds. */
double fair_evict_cost(struct policy *policy, struct sched *s, uint64_t now_us,
    const struct endpoint *ep, const struct slot *slot);

#endif
