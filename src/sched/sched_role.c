#include <math.h>

#include "sched/sched_internal.h"

/*
 * Roles follow the mix of prompt and output tokens: a share of the engines
 * turns to prefill when prompts dominate for long, and back when they do not.
 */

#define ROLE_MEMORY_US	  (60 * SCHED_SECOND_US)
#define ROLE_DWELL_US	  (60 * SCHED_SECOND_US)
#define ROLE_CHECK_US	  (5 * SCHED_SECOND_US)
#define ROLE_PERSIST_US	  (30 * SCHED_SECOND_US)
#define ROLE_ENGINES_MIN  4
#define ROLE_OUTPUT_COST  8.0 /* time of an output token in prompt tokens */
#define ROLE_PREFILL_HIGH 0.60
#define ROLE_PREFILL_LOW  0.45
#define ROLE_TOKENS_MIN	  1000.0

void
role_note_tokens(struct pool *p, uint64_t now_us, uint32_t in, uint32_t out)
{
	double keep = now_us <= p->mix_updated_us
	    ? 1.0
	    : exp(-(double)(now_us - p->mix_updated_us) /
		  (double)ROLE_MEMORY_US);

	p->prompt_tokens = p->prompt_tokens * keep + in;
	p->output_tokens = p->output_tokens * keep + out;
	p->mix_updated_us = now_us;
}

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

/* The number of prefill engines the mix asks for, with hysteresis. */
static uint32_t
role_wanted(const struct pool *p, uint32_t now_prefill)
{
	double work = p->prompt_tokens + ROLE_OUTPUT_COST * p->output_tokens;
	double part = work <= 0.0 ? 0.0 : p->prompt_tokens / work;
	uint32_t most = p->count / 2;

	if (p->prompt_tokens + p->output_tokens < ROLE_TOKENS_MIN)
		return now_prefill;
	if (part > ROLE_PREFILL_HIGH)
		return now_prefill < most ? now_prefill + 1 : now_prefill;
	if (part < ROLE_PREFILL_LOW)
		return now_prefill > 0 ? now_prefill - 1 : 0;
	return now_prefill;
}

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

static void
role_pool_run(struct sched *s, struct pool *p, uint64_t now_us)
{
	uint32_t prefill, wanted;
	int want;

	if (p->is_service || p->count < ROLE_ENGINES_MIN)
		return;
	prefill = role_count(p, SCHED_PREFILL);
	wanted = role_wanted(p, prefill);
	want = wanted > prefill ? 1 : wanted < prefill ? -1 : 0;
	if (want != p->wanted_change || want == 0) {
		p->wanted_change = want;
		p->wanted_since_us = now_us;
		return;
	}
	if (now_us - p->wanted_since_us < ROLE_PERSIST_US ||
	    now_us - p->role_changed_us < ROLE_DWELL_US)
		return;
	if (want > 0)
		role_order(s, p, SCHED_MIXED, SCHED_PREFILL, now_us);
	else
		role_order(s, p, SCHED_PREFILL, SCHED_MIXED, now_us);
}

/* Look at the mix of every pool now and then; never wakes an idle sched. */
void
role_run(struct sched *s, uint64_t now_us)
{
	size_t i;

	if (now_us < s->next_role_check_us)
		return;
	s->next_role_check_us = now_us + ROLE_CHECK_US;
	for (i = 0; i < map_count(s->pools); i++)
		role_pool_run(s, map_at(s->pools, i), now_us);
}
