#ifndef MP_SCHED_POLICY_H
#define MP_SCHED_POLICY_H

#include "sched/sched_internal.h"

/* What a policy decides; pins, permits and loads are the same for all. */
struct policy_vtable {
	const char *name;
	bool has_admission; /* refuses what cannot be served by its deadline */
	void (*destroy)(struct policy *policy);

	/* Order grants and loads. */
	void (*decide)(struct policy *policy, struct sched *s, uint64_t now_us);

	/* What evicting a slot would cost, microseconds of stall. */
	double (*evict_cost)(struct policy *policy, struct sched *s,
	    uint64_t now_us, const struct endpoint *ep,
	    const struct slot *slot);
};

/* Every policy's instance begins with its vtable. */
struct policy {
	struct policy_vtable vtable;
};

struct policy *policy_fair_create(const struct sched_options *options);
struct policy *policy_fifo_create(void);
struct policy *policy_least_loaded_create(void);
struct policy *policy_round_robin_create(void);

#endif
