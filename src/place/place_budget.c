#include <stdlib.h>
#include <string.h>

#include "place/place_guard.h"
#include "place/place_internal.h"
#include "util/mem.h"

/*
 * The retry budget of a service: its repeats in a sliding window stay below a
 * share of its requests plus a fixed number. The placer receives the requests
 * of all entries, so it keeps one budget for all.
 *
 * Only 1/PLACER_DIVISOR of what is allowed is used, because a repeat counts
 * when it arrives, which may be in the next window. An entry that places
 * requests by itself doesn't know the repeats of other entries. It gets
 * 1/ENTRY_DIVISOR of the share of its own requests and none of the fixed
 * number, so that all entries and the placer together stay below what is
 * allowed.
 */
#define PLACER_DIVISOR 2
#define ENTRY_DIVISOR  4

static struct place_budget *
get_budget(struct place *p, const char *service)
{
	struct place_budget *b = map_get_str(p->budgets, service);

	if (b == NULL) {
		b = mem_alloc(1, sizeof(*b));
		(void)map_set_str(p->budgets, service, b);
	}
	return b;
}

/* Clear the buckets between the newest one and the current one. */
static void
advance(struct place_budget *b, uint64_t bucket)
{
	uint64_t steps = bucket - b->newest_bucket;

	if (steps > PLACE_BUDGET_BUCKETS)
		steps = PLACE_BUDGET_BUCKETS;
	while (steps-- > 0) {
		b->requests[(bucket - steps) % PLACE_BUDGET_BUCKETS] = 0;
		b->repeats[(bucket - steps) % PLACE_BUDGET_BUCKETS] = 0;
	}
	b->newest_bucket = bucket;
}

bool
place_budget_charge(struct place *p, const char *service, bool is_repeat)
{
	struct place_budget *b = get_budget(p, service);
	uint64_t bucket_us =
	    p->options.retry_window_ms * US_PER_MS / PLACE_BUDGET_BUCKETS + 1;
	uint64_t requests = 0, repeats = 0, allowed;
	size_t i;

	advance(b, p->now_us / bucket_us);
	if (!is_repeat) {
		b->requests[b->newest_bucket % PLACE_BUDGET_BUCKETS]++;
		return true;
	}
	for (i = 0; i < PLACE_BUDGET_BUCKETS; i++) {
		requests += b->requests[i];
		repeats += b->repeats[i];
	}
	allowed = requests * p->options.retry_ratio_milli / 1000;
	if (place_is_placer(p))
		allowed = (allowed +
			      p->options.retry_extra /
				  (p->owner_count > 0 ? p->owner_count : 1)) /
		    PLACER_DIVISOR;
	else
		allowed /= ENTRY_DIVISOR;
	if (place_guards.budget && repeats + 1 > allowed)
		return false;
	b->repeats[b->newest_bucket % PLACE_BUDGET_BUCKETS]++;
	p->totals.repeats++;
	return true;
}
