#include <math.h>

#include "sched/sched_internal.h"

/*
 * Choice of the engines' roles by the mix of prompt and output tokens. Engines
 * change to the prefill role one at a time while prompts dominate for long, at
 * most half of a pool, and back when they do not.
 */

/* Time constant of the decay of the mix. */
#define ROLE_DECAY_US (60 * SCHED_SECOND_US)
/* Shortest time between two changes, and between two checks. */
#define ROLE_CHANGE_INTERVAL_US (60 * SCHED_SECOND_US)
#define ROLE_CHECK_INTERVAL_US	(5 * SCHED_SECOND_US)
/* How long the mix must call for a change before a role is changed. */
#define ROLE_PERSIST_US	 (30 * SCHED_SECOND_US)
#define ROLE_ENGINES_MIN 4 /* of a pool, for any change */

/* Time of an output token in prompt tokens. */
#define ROLE_OUTPUT_TOKEN_COST 8.0

/* Share of prompts in the work: above and below it a role is changed. */
#define ROLE_PREFILL_SHARE_HIGH 0.60
#define ROLE_PREFILL_SHARE_LOW	0.45
#define ROLE_TOKENS_MIN		1000.0 /* of the mix, for any change */

/* Adds the tokens of a delivered request to the mix of its pool. */
void
role_note_tokens(struct pool *p, uint64_t now_us, uint32_t in, uint32_t out)
{
	double decay = now_us <= p->mix_updated_us
	    ? 1.0
	    : exp(-(double)(now_us - p->mix_updated_us) /
		  (double)ROLE_DECAY_US);

	p->prompt_tokens = p->prompt_tokens * decay + in;
	p->output_tokens = p->output_tokens * decay + out;
	p->mix_updated_us = now_us;
}

/* Counts the endpoints of a role. */
static uint32_t
role_count(const struct pool *p, enum sched_role role)
{
	uint32_t i, n = 0;

	for (i = 0; i < p->count; i++) {
		if (p->endpoints[i]->role == role)
			n++;
	}
	return n;
}

/*
 * Returns the number of prefill engines that the mix calls for, with
 * hysteresis.
 *
 * now_prefill: their present number.
 */
static uint32_t
role_wanted_prefill(const struct pool *p, uint32_t now_prefill)
{
	double work =
	    p->prompt_tokens + ROLE_OUTPUT_TOKEN_COST * p->output_tokens;
	double prefill_share = work <= 0.0 ? 0.0 : p->prompt_tokens / work;
	uint32_t max_prefill = p->count / 2;

	if (p->prompt_tokens + p->output_tokens < ROLE_TOKENS_MIN)
		return now_prefill;
	if (prefill_share > ROLE_PREFILL_SHARE_HIGH)
		return now_prefill < max_prefill ? now_prefill + 1
						 : now_prefill;
	if (prefill_share < ROLE_PREFILL_SHARE_LOW)
		return now_prefill > 0 ? now_prefill - 1 : 0;
	return now_prefill;
}

/* Orders a change of role on the engine with the fewest grants. */
static void
role_order(struct sched *s, struct pool *p, enum sched_role from,
    enum sched_role to, uint64_t now_us)
{
	struct endpoint *best = NULL, *ep;
	struct sched_decision *d;
	uint32_t i;

	for (i = 0; i < p->count; i++) {
		ep = p->endpoints[i];
		if (ep->leaving || ep->role != from)
			continue;
		if (best == NULL || ep->grants < best->grants)
			best = ep;
	}
	if (best == NULL)
		return;
	best->role = to;
	p->role_changed_us = now_us;
	p->wanted_change = 0;
	d = sched_add_decision(s, SCHED_SET_ROLE);
	d->endpoint = best->id;
	d->role = to;
}

/* Checks the mix of one pool. */
static void
role_pool_run(struct sched *s, struct pool *p, uint64_t now_us)
{
	uint32_t prefill, wanted;
	int change;

	if (p->is_service || p->count < ROLE_ENGINES_MIN)
		return;
	prefill = role_count(p, SCHED_PREFILL);
	wanted = role_wanted_prefill(p, prefill);
	change = wanted > prefill ? 1 : wanted < prefill ? -1 : 0;
	if (change != p->wanted_change || change == 0) {
		p->wanted_change = change;
		p->wanted_since_us = now_us;
		return;
	}
	if (now_us - p->wanted_since_us < ROLE_PERSIST_US ||
	    now_us - p->role_changed_us < ROLE_CHANGE_INTERVAL_US)
		return;
	if (change > 0)
		role_order(s, p, SCHED_MIXED, SCHED_PREFILL, now_us);
	else
		role_order(s, p, SCHED_PREFILL, SCHED_MIXED, now_us);
}

/*
 * Checks the mix of each pool from time to time. Requests no run, so that an
 * idle scheduler stays idle.
 */
void
role_run(struct sched *s, uint64_t now_us)
{
	size_t i;

	if (now_us < s->next_role_check_us)
		return;
	s->next_role_check_us = now_us + ROLE_CHECK_INTERVAL_US;
	for (i = 0; i < map_count(s->pools); i++)
		role_pool_run(s, map_at(s->pools, i), now_us);
}
