#include <stdlib.h>
#include <string.h>

#include "place/place_guard.h"
#include "place/place_internal.h"
#include "util/mem.h"

/*
 * Repeats of a service's requests in a sliding window stay below a share of
 * its requests and a fixed number. The placer sees all requests of all
 * entries, so the budget is one. Half of what is allowed is used: a repeat
 * counts where it arrives, which may be in the next window. An entry that
 * places by itself doesn't know the repeats of the others: it has a share of
 * its own requests alone, and none of the fixed number, so that the shares of
 * all entries and the placer's stay below what is allowed.
 */
#define BUDGET_USED 2
#define ENTRY_USED  4

static struct place_budget *
budget_of(struct place *p, const char *service)
{
	struct place_budget *b = map_get_str(p->budgets, service);

	if (b == NULL) {
		b = mem_alloc(1, sizeof(*b));
		(void)map_set_str(p->budgets, service, b);
	}
	return b;
}

/* Empty the buckets that have passed. */
static void
budget_turn(struct place_budget *b, uint64_t bucket)
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
place_budget_charge(struct place *p, const char *service, bool repeat)
{
	struct place_budget *b = budget_of(p, service);
	uint64_t width =
	    p->options.retry_window_ms * US_PER_MS / PLACE_BUDGET_BUCKETS + 1;
	uint64_t requests = 0, repeats = 0, allowed;
	size_t i;

	budget_turn(b, p->now_us / width);
	if (!repeat) {
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
		    BUDGET_USED;
	else
		allowed /= ENTRY_USED;
	if (place_guards.budget && repeats + 1 > allowed)
		return false;
	b->repeats[b->newest_bucket % PLACE_BUDGET_BUCKETS]++;
	p->totals.repeats++;
	return true;
}
