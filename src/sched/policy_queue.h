#ifndef MP_SCHED_POLICY_QUEUE_H
#define MP_SCHED_POLICY_QUEUE_H

#include "sched/policy.h"

/*
 * The frame of the baselines: requests in order of arrival, each bound to an
 * endpoint that the baseline chooses, the least recently used adapter going.
 */
struct policy_queue {
	struct policy_vtable vtable;
	struct endpoint *(*choose)(struct policy_queue *policy, struct sched *s,
	    uint64_t now_us, const struct item *it);
	uint32_t next_index;
};

/* A baseline by its name and choice. */
struct policy *policy_queue_create(const char *name,
    struct endpoint *(*choose)(struct policy_queue *policy, struct sched *s,
	uint64_t now_us, const struct item *it));

/* The least loaded endpoint, or NULL; only those that hold the adapter. */
struct endpoint *policy_queue_least_loaded(
    struct sched *s, uint64_t now_us, const struct item *it, bool holding);

#endif
