#include "forward/forward_guard.h"
#include "forward/forward_internal.h"

/*
 * Requests in the course of a planned stop: none may still be open when the
 * process ends, as its connection would end without an answer.
 */

/* With less time than this, or these latency objectives, none is begun. */
#define STOP_MIN_REMAINING_US (100 * US_PER_MS)
#define STOP_MIN_TARGETS      2u

void
forward_begin_stop(struct forward *f, uint64_t end_us)
{
	struct fwd_request *r;
	size_t i;

	f->end_us = end_us;
	for (i = 0; i < map_count(f->by_request); i++) {
		r = map_at(f->by_request, i);
		if (r->deadline_us > end_us)
			r->deadline_us = end_us;
	}
}

void
forward_refuse_long(struct forward *f)
{
	f->refuses_long = true;
}

/*
 * Whether a request is begun in the course of a stop. One that ends in time
 * anyhow, by its own deadline, is. Of others nobody knows how long they take:
 * while callers may not know another entry they are begun. Later only those
 * are that may be repeated, if it comes to that.
 */
static bool
may_begin(const struct forward *f, const struct fwd_request *r, uint64_t now_us)
{
	uint64_t likely_us = (r->target_us - now_us) * STOP_MIN_TARGETS;

	if (f->end_us == UINT64_MAX)
		return true;
	if (now_us + STOP_MIN_REMAINING_US >= f->end_us)
		return false;
	if (r->deadline_us <= f->end_us || !f->refuses_long)
		return true;
	return fwd_is_repeatable(r) && now_us + likely_us <= f->end_us;
}

bool
fwd_refuse_if_too_long(struct forward *f, struct fwd_request *r,
    uint64_t now_us, struct node_effects *fx)
{
	if (may_begin(f, r, now_us) || !forward_guards.stop) {
		if (r->deadline_us > f->end_us)
			r->deadline_us = f->end_us;
		return false;
	}
	/* Without a time to return at: other entries take it now. */
	fwd_refuse(f, r, now_us, GW_REFUSE_OVERLOAD, "stopping", 0, fx);
	return true;
}
