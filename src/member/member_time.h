#ifndef MP_MEMBER_TIME_H
#define MP_MEMBER_TIME_H

#include <stdint.h>

#include "member/member.h"
#include "member/member_guard.h"

/* A time that another clock surely sees as no longer than this one's us. */
static inline uint64_t
member_shorten_for_drift(uint64_t us)
{
	if (!member_guards.lease_margin)
		return us;
	return us * (1000 - MEMBER_DRIFT_PERMILLE) / 1000;
}

/* A time in which us have surely passed by another clock. */
static inline uint64_t
member_lengthen_for_drift(uint64_t us)
{
	if (!member_guards.lease_margin)
		return us;
	return us * (1000 + MEMBER_DRIFT_PERMILLE) / 1000;
}

static inline uint64_t
member_flight_us(void)
{
	return member_guards.flight ? MEMBER_FLIGHT_MAX_US : 0;
}

/* How long a supporter is bound: the support, and orders made under it. */
static inline uint64_t
member_promise_us(void)
{
	return member_lengthen_for_drift(MEMBER_LEASE_US) + member_flight_us();
}

#endif
