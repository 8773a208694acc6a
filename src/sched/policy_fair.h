#ifndef MP_SCHED_POLICY_FAIR_H
#define MP_SCHED_POLICY_FAIR_H

#include "sched/policy.h"

/*
 * Whether the endpoint has a free seat that the team may take. A flooding
 * team (see team_mark_flooding()) leaves the last seat of an endpoint to the
 * other teams, whose requests would otherwise wait until one ends, unless the
 * endpoint has very few seats.
 */
bool fair_can_take_seat(
    const struct sched *s, const struct team *t, const struct endpoint *ep);

/*
 * Whether an idle slot of the endpoint remains for other teams after the
 * team has taken one. Always true for a team that is not flooding and for an
 * endpoint with few slots.
 */
bool fair_leaves_idle_slot(
    const struct sched *s, const struct team *t, const struct endpoint *ep);

/* Orders the loads that end most stall, within the permits. */
void fair_order_loads(struct sched *s, uint64_t now_us);

/* Expected stall in microseconds if the slot is evicted. */
double fair_evict_cost(struct policy *policy, struct sched *s, uint64_t now_us,
    const struct endpoint *ep, const struct slot *slot);

#endif
