#ifndef MP_SCHED_POLICY_QUEUE_H
#define MP_SCHED_POLICY_QUEUE_H

#include "sched/policy.h"

/*
 * Common part of the policies for comparison ("fifo", "least-loaded" and
 * "round-robin"). Requests are served in order of arrival, each on the
 * endpoint that choose() returns. The least recently used adapter is evicted.
 */
struct policy_queue {
	struct policy_vtable vtable;

	/* Returns an endpoint for a request, or NULL if there is none. */
	struct endpoint *(*choose)(struct policy_queue *policy, struct sched *s,
	    uint64_t now_us, const struct item *it);
	uint32_t next_index; /* round-robin: endpoint of the pool */
};

/* name: static string. choose: as in struct policy_queue. */
struct policy *policy_queue_create(const char *name,
    struct endpoint *(*choose)(struct policy_queue *policy, struct sched *s,
	uint64_t now_us, const struct item *it));

/*
 * Returns the usable endpoint with the least load per seat, or NULL.
 *
 * holding: consider only endpoints that hold the adapter.
 */
struct endpoint *policy_queue_least_loaded(
    struct sched *s, uint64_t now_us, const struct item *it, bool holding);

#endif
