/* Durations as they must be counted where clocks drift and orders take time. */
#ifndef MP_MEMBER_TIME_H
#define MP_MEMBER_TIME_H

#include <stdint.h>

#include "member/member.h"
#include "member/member_guard.h"

/* A duration on this clock in which at most us pass on any other clock. */
static inline uint64_t
member_shorten_for_drift(uint64_t us)
{
	if (!member_guards.lease_margin)
		return us;
	return us * (1000 - MEMBER_DRIFT_PERMILLE) / 1000;
}

/* A duration on this clock in which at least us pass on any other clock. */
static inline uint64_t
member_lengthen_for_drift(uint64_t us)
{
	if (!member_guards.lease_margin)
		return us;
	return us * (1000 + MEMBER_DRIFT_PERMILLE) / 1000;
}

/* Longest time for which an order is in flight; 0 with the guard off. */
static inline uint64_t
member_flight_us(void)
{
	return member_guards.flight ? MEMBER_FLIGHT_MAX_US : 0;
}

/* Time after which a lease that is not renewed has surely ended. */
static inline uint64_t
member_lease_over_us(void)
{
	return member_lengthen_for_drift(MEMBER_LEASE_US) + member_flight_us();
}

/*
 * Time for which a supporter is bound by a promise: while its support may
 * last and the orders sent under it may be in flight.
 */
static inline uint64_t
member_promise_us(void)
{
	return member_lengthen_for_drift(MEMBER_LEASE_US) + member_flight_us();
}

#endif
