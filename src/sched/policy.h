#ifndef MP_SCHED_POLICY_H
#define MP_SCHED_POLICY_H

#include "sched/sched_internal.h"

/*
 * A scheduling policy chooses the order of grants and loads and the adapters
 * to evict. Pins, permits and the execution of loads are common to all
 * policies.
 */
struct policy_vtable {
	const char *name;
	bool has_admission; /* refuses requests by their estimated wait; else
			       only once the deadline has passed */
	void (*destroy)(struct policy *policy);

	/* Decides about all queued requests: grants and loads. */
	void (*decide)(struct policy *policy, struct sched *s, uint64_t now_us);

	/*
	 * Cost of evicting a slot, in microseconds of expected stall. The
	 * slot of least cost is evicted first.
	 */
	double (*evict_cost)(struct policy *policy, struct sched *s,
	    uint64_t now_us, const struct endpoint *ep,
	    const struct slot *slot);
};

/* Base of all policies, which is the first member of each. */
struct policy {
	struct policy_vtable vtable;
};

/* The caller frees a policy with its destroy(). */
struct policy *policy_fair_create(const struct sched_options *options);
struct policy *policy_fifo_create(void);
struct policy *policy_least_loaded_create(void);
struct policy *policy_round_robin_create(void);

#endif
