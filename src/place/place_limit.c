#include <math.h>
#include <string.h>

#include "place/place_guard.h"
#include "place/place_internal.h"

/*
 * Rate limits that endpoints name in their responses: requests a second of all
 * entries together.
 *
 * The instance that places the requests of an endpoint keeps a token bucket
 * for it and grants a request for each token. Requests first go to other
 * endpoints; where all are limited the queue goes on in its order, and what no
 * token will be there for is refused. Instances that may place requests of one
 * endpoint at the same time each have a bucket for a share of the limit. A
 * bucket begins with less than a token: another instance may just have used
 * its own.
 *
 * Responses overtake each other. A lower limit holds at once; a higher one, or
 * none, is believed of a response to a request that was granted after the
 * lower one was last named.
 */

#define US_PER_S 1000000.0
#define MS_PER_S 1000.0
/* Calls may take this multiple of their mean time. */
#define CALL_TIME_MARGIN 2.0
/* Requests that an unused limit leaves room for, as the time they take. */
#define BURST_S 0.25
/*
 * A lower limit is raised to this rate: the end of a limit is learnt from a
 * response alone.
 */
#define PER_S_MILLI_MIN 200u
/* What a response said is newer than the table for this time. */
#define TOLD_RECENTLY_US (1000 * US_PER_MS)
/* Interval of telling the leader a limit that the table lacks. */
#define PUBLISH_INTERVAL_US (500 * US_PER_MS)
/*
 * Where another instance alone may use the limits, a call is given to that one
 * within this time, or refused.
 */
#define PLACER_WAIT_US (250 * US_PER_MS)
/* Callers that are refused for limits are asked to return within this time. */
#define RETURN_SPREAD_US (2000 * US_PER_MS)

static bool
is_same(const struct place_limit *a, const struct place_limit *b)
{
	return a->is_limited == b->is_limited &&
	    (!a->is_limited ||
		a->requests_per_s_milli == b->requests_per_s_milli);
}

static bool
is_lower(const struct place_limit *a, const struct place_limit *b)
{
	return a->is_limited &&
	    (!b->is_limited ||
		a->requests_per_s_milli < b->requests_per_s_milli);
}

/* ---- state -------------------------------------------------------------- */

void
place_set_limit_share_fn(
    struct place *p, place_limit_share_fn share_fn, void *ctx)
{
	p->limit_share_fn = share_fn;
	p->limit_share_ctx = ctx;
}

static struct place_limit_share
find_share(const struct place *p, const struct place_endpoint *e)
{
	struct place_limit_share whole = {1, 0};

	return p->limit_share_fn == NULL
	    ? whole
	    : p->limit_share_fn(p->limit_share_ctx, e->service, e->id);
}

/* Set the rate of the bucket, which begins with these tokens. */
static void
set_bucket(struct place *p, struct place_endpoint *e, double tokens)
{
	struct place_limit_state *s = &e->limit;
	uint32_t milli = s->now.requests_per_s_milli;
	double per_s;

	if (milli < PER_S_MILLI_MIN)
		milli = PER_S_MILLI_MIN;
	per_s = milli / 1000.0 * s->share.fraction;
	token_bucket_reset(
	    &s->bucket, p->now_us, per_s, per_s * BURST_S, tokens);
}

static void
update_share(struct place *p, struct place_endpoint *e)
{
	struct place_limit_share share = find_share(p, e);

	if (share.fraction == e->limit.share.fraction)
		return;
	e->limit.share = share;
	e->limit.is_told = false; /* by responses to others by now */
	set_bucket(p, e, share.first_tokens);
	p->capacity_generation++;
}

static void
set_limit(
    struct place *p, struct place_endpoint *e, const struct place_limit *limit)
{
	struct place_limit_state *s = &e->limit;
	bool is_first = limit->is_limited && !s->now.is_limited;

	if (is_same(&s->now, limit))
		return;
	p->nlimited += is_first;
	p->nlimited -= s->now.is_limited && !limit->is_limited;
	s->now = *limit;
	s->is_changed = p->has_limit_changes = true;
	if (is_first) {
		s->granted = 0;
		s->share = find_share(p, e);
	}
	if (limit->is_limited)
		set_bucket(p, e,
		    is_first ? s->share.first_tokens
			     : token_bucket_count(&s->bucket, p->now_us));
	place_change_add(p, e->id, false);
	p->capacity_generation++;
	place_schedule_run(p, 0);
}

void
place_limit_clear(struct place *p, struct place_endpoint *e)
{
	p->nlimited -= e->limit.now.is_limited;
	memset(&e->limit, 0, sizeof(e->limit));
}

void
place_limit_update_shares(struct place *p)
{
	struct place_endpoint *e;
	size_t i;

	for (i = 0; p->nlimited > 0 && i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		if (e->limit.now.is_limited)
			update_share(p, e);
	}
}

void
place_limit_record(
    struct place *p, const struct place_ask *a, const struct place_limit *limit)
{
	struct place_endpoint *e = a->endpoint;
	struct place_limit_state *s;

	if (e == NULL)
		return; /* the endpoint was removed */
	s = &e->limit;
	if (is_lower(&s->now, limit) && a->granted_us <= s->told_us)
		return; /* it may be from before the lower limit was named */
	s->is_told = true;
	s->told_us = p->now_us;
	s->teller = a->id.entry;
	set_limit(p, e, limit);
}

/* Do responses to this instance go before what others say? */
static bool
knows_better(const struct place *p, const struct place_endpoint *e)
{
	return e->limit.is_told &&
	    (p->now_us < e->limit.told_us + TOLD_RECENTLY_US ||
		find_share(p, e).fraction >= 1);
}

void
place_apply_limit(struct place *p, uint64_t now_us, const char *id,
    uint64_t born_ms, const struct place_limit *limit, bool is_from_table)
{
	struct place_endpoint *e = map_get_str(p->endpoints, id);

	if (e == NULL || e->born_ms != born_ms)
		return;
	p->now_us = now_us;
	if (is_from_table)
		e->limit.table = *limit;
	if (knows_better(p, e) || is_same(&e->limit.now, limit))
		return;
	e->limit.is_told = false;
	e->limit.told_us = now_us;
	e->limit.teller = 0;
	set_limit(p, e, limit);
}

bool
place_record_invalid_limit(struct place *p, const char *id, uint64_t born_ms)
{
	const uint64_t *born = map_get_str(p->invalid_limits, id);

	p->totals.invalid_limits++;
	if (born != NULL && *born == born_ms)
		return false;
	place_remember_born(p->invalid_limits, id, born_ms);
	return true;
}

/* ---- waiting ------------------------------------------------------------ */

uint64_t
place_limit_wait_us(
    const struct place *p, const struct place_endpoint *e, size_t ahead)
{
	if (!e->limit.now.is_limited || !place_guards.limit)
		return 0;
	return token_bucket_wait_us(
	    &e->limit.bucket, p->now_us, (double)ahead + 1);
}

uint64_t
place_limit_wait_at_engine_us(const struct place *p,
    const struct place_endpoint *e, const struct place_ask *a)
{
	const struct place_ask *before;
	size_t ahead = 0;

	if (!e->limit.now.is_limited)
		return 0;
	for (before = a->prev; before != NULL; before = before->prev)
		ahead += before->endpoint == e;
	return place_limit_wait_us(p, e, ahead);
}

bool
place_limit_is_full(const struct place *p, const struct place_endpoint *e)
{
	return e->limit.now.is_limited &&
	    token_bucket_count(&e->limit.bucket, p->now_us) >=
	    e->limit.bucket.burst;
}

void
place_limit_take(struct place *p, struct place_endpoint *e)
{
	if (!e->limit.now.is_limited)
		return;
	token_bucket_take(&e->limit.bucket, p->now_us);
	e->limit.granted++;
}

/* The calls of the same service before this one in the queue. */
static size_t
count_ahead(const struct place_ask *a)
{
	const struct place_ask *before;
	size_t ahead = 0;

	for (before = a->prev; before != NULL; before = before->prev)
		ahead += strcmp(before->service, a->service) == 0;
	return ahead;
}

/* What the rate limits of a service allow for one call. */
struct limit_prospect {
	bool is_bounded; /* all endpoints are limited, and used here */
	bool is_used_elsewhere; /* by another instance alone */
	double per_s, tokens; /* of all of them; tokens: now */
	double tokens_in_time; /* early enough to serve the call */
	uint64_t next_us; /* when the first one allows a call; 0: unknown */
};

static void
add_endpoint(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a, struct limit_prospect *out)
{
	const struct token_bucket *b = &e->limit.bucket;
	uint64_t wait_us = place_limit_wait_us(p, e, 0);
	double tokens = token_bucket_count(b, p->now_us);
	double left_s = (double)(a->deadline_us - p->now_us) / US_PER_S -
	    place_endpoint_mean_call_ms(e) * CALL_TIME_MARGIN / MS_PER_S;

	if (!e->limit.now.is_limited || b->per_s <= 0) {
		out->is_bounded = false;
		out->is_used_elsewhere =
		    out->is_used_elsewhere && e->limit.now.is_limited;
		return;
	}
	out->is_used_elsewhere = false;
	if (wait_us != 0 && wait_us != UINT64_MAX &&
	    (out->next_us == 0 || p->now_us + wait_us < out->next_us))
		out->next_us = p->now_us + wait_us;
	out->per_s += b->per_s;
	out->tokens += tokens;
	if (left_s > 0)
		out->tokens_in_time += floor(tokens + left_s * b->per_s);
}

static struct limit_prospect
find_prospect(const struct place *p, const struct place_ask *a)
{
	const struct place_group *g = place_group_find(p, a->service);
	struct limit_prospect out = {0};
	const struct place_endpoint *e;
	size_t i, candidates = 0;

	out.is_bounded = out.is_used_elsewhere = true;
	for (i = 0; i < g->count; i++) {
		e = g->endpoints[i];
		if (e->leaving || place_ask_avoids(a, e))
			continue;
		add_endpoint(p, e, a, &out);
		candidates++;
	}
	out.is_bounded = out.is_bounded && out.per_s > 0;
	out.is_used_elsewhere = out.is_used_elsewhere && candidates > 0;
	return out;
}

uint64_t
place_limit_return_us(struct place *p, const char *service, uint64_t from_us)
{
	struct place_group *g = map_get_str(p->groups, service);
	double per_s = 0;
	size_t i;

	for (i = 0; i < g->count; i++)
		if (g->endpoints[i]->limit.now.is_limited)
			per_s += g->endpoints[i]->limit.bucket.per_s;
	if (g->limit_return_us < from_us ||
	    g->limit_return_us > from_us + RETURN_SPREAD_US)
		g->limit_return_us = from_us;
	if (per_s > 0)
		g->limit_return_us += (uint64_t)(US_PER_S / per_s);
	return g->limit_return_us;
}

static enum place_attempt
refuse_limited(struct place *p, struct place_ask *a,
    const struct limit_prospect *prospect, size_t ahead)
{
	double missing = (double)ahead + 1 - prospect->tokens;
	uint64_t wait_us = PLACER_WAIT_US;

	if (prospect->per_s > 0)
		wait_us = missing > 0
		    ? (uint64_t)(missing / prospect->per_s * US_PER_S)
		    : 0;

	p->totals.limit_refusals++;
	place_ask_refuse_until(p, a, "endpoints-limited",
	    place_limit_return_us(p, a->service, p->now_us + wait_us));
	return PLACE_ATTEMPT_REFUSED;
}

enum place_attempt
place_limit_wait_or_refuse(struct place *p, struct place_ask *a)
{
	struct limit_prospect prospect;
	size_t ahead;

	if (p->nlimited == 0 || !place_guards.limit ||
	    p->now_us >= a->deadline_us)
		return PLACE_ATTEMPT_WAITING;
	prospect = find_prospect(p, a);
	if (prospect.is_bounded) {
		ahead = count_ahead(a);
		if ((double)ahead + 1 > prospect.tokens_in_time)
			return refuse_limited(p, a, &prospect, ahead);
	}
	if (prospect.is_used_elsewhere) {
		if (p->now_us >= a->asked_us + PLACER_WAIT_US)
			return refuse_limited(p, a, &prospect, 0);
		a->evaluate_at_us = a->asked_us + PLACER_WAIT_US;
		return PLACE_ATTEMPT_WAITING;
	}
	if (prospect.next_us != 0) {
		p->totals.limit_waits += !a->has_waited_for_limit;
		a->has_waited_for_limit = true;
		a->evaluate_at_us = prospect.next_us;
	}
	return PLACE_ATTEMPT_WAITING;
}

/* ---- what others are told ----------------------------------------------- */

static uint32_t
count_waiting(const struct place_endpoint *e)
{
	const struct place_adapter *adapter;
	uint32_t waiting = 0;
	size_t i;

	for (i = 0; i < map_count(e->adapters); i++) {
		adapter = map_at(e->adapters, i);
		waiting += adapter->waiting;
	}
	return waiting;
}

static void
describe(const struct place_endpoint *e, struct place_limit_info *out)
{
	const struct place_limit_state *s = &e->limit;

	out->endpoint = e->id;
	out->service = e->service;
	out->born_ms = e->born_ms;
	out->limit = s->now;
	out->fraction = s->share.fraction;
	out->teller = s->teller;
	out->told_us = s->told_us;
	out->waiting = count_waiting(e);
	out->granted = s->granted;
}

void
place_limit_get(const struct place *p, size_t i, struct place_limit_info *out)
{
	describe(map_at(p->endpoints, i), out);
}

bool
place_pop_limit_change(struct place *p, struct place_limit_info *out)
{
	struct place_endpoint *e;
	size_t i;

	for (i = 0; p->has_limit_changes && i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		if (!e->limit.is_changed)
			continue;
		e->limit.is_changed = false;
		describe(e, out);
		return true;
	}
	p->has_limit_changes = false;
	return false;
}

bool
place_next_unpublished_limit(
    struct place *p, uint64_t now_us, struct place_limit_info *out)
{
	struct place_limit_state *s;
	size_t i;

	for (i = 0; i < map_count(p->endpoints); i++) {
		s = &((struct place_endpoint *)map_at(p->endpoints, i))->limit;
		if (!s->is_told || is_same(&s->now, &s->table) ||
		    now_us < s->published_us + PUBLISH_INTERVAL_US)
			continue;
		s->published_us = now_us;
		describe(map_at(p->endpoints, i), out);
		return true;
	}
	return false;
}
