#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "place/place_guard.h"
#include "place/place_admit.h"

/*
 * Load accounting of endpoints: granted requests and their outcomes.
 *
 * An endpoint that fails a large part of its calls is ejected for a while, as
 * it may still pass every health check. Afterwards it gets few calls at first,
 * because it keeps a raised failure rate. Endpoints are ejected one at a time,
 * and never more than half of a service, because a failure that all of them
 * share has another cause.
 *
 * Each _WEIGHT is that of the newest sample in a moving average.
 */
#define FAILURE_WEIGHT	    0.25
#define EJECT_FAILURE_RATE  0.55
#define EJECT_FIRST_US	    (1000 * US_PER_MS)
#define EJECT_DOUBLINGS_MAX 3u

/*
 * Weight of the newest call in the long-term failure rate. It averages over
 * some 30 calls, as fewer don't show a rate as low as one in seven.
 */
#define LASTING_FAILURE_WEIGHT 0.03

/* Prompt tokens that an engine processes per ms, before the first sample. */
#define INITIAL_TOKENS_PER_MS 18.0
/* Duration of a call of a plain service in ms, before the first sample. */
#define INITIAL_CALL_MS	  50.0
#define TOKENS_PER_MS_MIN 1.0
#define TOKENS_PER_MS_MAX 80.0
/* Weight of the initial speed, as an amount of work. */
#define PRIOR_TOKENS 4000.0
#define PRIOR_CALLS  5.0
/*
 * Shorter prompts on an idle engine are not used to learn its speed: delays
 * other than processing dominate their time.
 */
#define SPEED_MIN_TOKENS 400u
/*
 * Work counts as at most this many times its expected duration. Longer ones are
 * stalls, which say nothing about the speed.
 */
#define SLOW_FACTOR_MAX 6.0
/* An abandoned call counts as failed after this many mean durations. */
#define ABANDONED_FACTOR 6.0

bool
place_endpoint_is_usable(
    const struct place *p, const struct place_endpoint *e, const char *service)
{
	return (!e->leaving || !place_guards.leaving) &&
	    strcmp(e->service, service) == 0 && p->now_us >= e->eject_until_us;
}

/* ---- speed -------------------------------------------------------------- */

void
place_endpoint_init_speed(const struct place *p, struct place_endpoint *e)
{
	const struct place_group *g = place_group_find(p, e->service);
	double tokens = 0, calls = 0;
	size_t i, n = 0;

	for (i = 0; i < g->count; i++) {
		if (g->endpoints[i] == e)
			continue;
		tokens += place_pace_mean_speed(&g->endpoints[i]->prompts);
		calls += place_pace_mean_speed(&g->endpoints[i]->calls);
		n++;
	}
	place_pace_init(&e->prompts,
	    n == 0 ? INITIAL_TOKENS_PER_MS : tokens / (double)n, PRIOR_TOKENS);
	place_pace_init(&e->calls,
	    n == 0 ? 1 / INITIAL_CALL_MS : calls / (double)n, PRIOR_CALLS);
	place_told_init(&e->others, 0);
	place_told_init(&e->others_waiting, 0);
}

double
place_endpoint_tokens_per_ms(
    const struct place *p, const struct place_endpoint *e)
{
	double speed = place_pace_speed_at(&e->prompts, p->now_us);

	if (speed < TOKENS_PER_MS_MIN)
		return TOKENS_PER_MS_MIN;
	return speed > TOKENS_PER_MS_MAX ? TOKENS_PER_MS_MAX : speed;
}

double
place_endpoint_mean_call_ms(const struct place_endpoint *e)
{
	return 1 / place_pace_mean_speed(&e->calls);
}

double
place_endpoint_call_ms(const struct place *p, const struct place_endpoint *e)
{
	return 1 / place_pace_speed_at(&e->calls, p->now_us);
}

/* Record work, and of a stall no more than a slow piece of work. */
static void
record_speed(
    struct place *p, struct place_pace *speed, double work, double took_ms)
{
	double max_ms =
	    work / place_pace_speed_at(speed, p->now_us) * SLOW_FACTOR_MAX;

	place_pace_record(
	    speed, p->now_us, work, took_ms < max_ms ? took_ms : max_ms);
}

static double
ms_since(const struct place *p, uint64_t since_us)
{
	return (double)(p->now_us - since_us) / (double)US_PER_MS;
}

/*
 * Record that an engine has read a prompt. It was busy since the last progress,
 * so that time and the tokens of all prompts add up, in whatever order it reads
 * them.
 */
static void
record_prompt_time(struct place *p, const struct place_ask *a,
    const struct place_result *result)
{
	struct place_endpoint *e = a->endpoint;
	bool was_idle = e->last_progress_us == a->granted_us;
	double took_ms = ms_since(p, e->last_progress_us);

	if (was_idle && a->unread_tokens < SPEED_MIN_TOKENS)
		return;
	if (was_idle && result->first_ms > 0 && result->first_ms < took_ms)
		took_ms = result->first_ms;
	record_speed(p, &e->prompts, a->unread_tokens, took_ms);
}

/* ---- load --------------------------------------------------------------- */

double
place_endpoint_busy_share(const struct place *p, const struct place_endpoint *e)
{
	return place_busy_share_at(
	    p, e->busy_share, e->unread_requests > 0, e->busy_updated_us);
}

/* Before each change of unread_requests. */
static void
update_busy_share(const struct place *p, struct place_endpoint *e)
{
	e->busy_share = place_endpoint_busy_share(p, e);
	e->busy_updated_us = p->now_us;
}

/* Remove a request from the count of unread ones. */
static void
release_unread(struct place *p, const struct place_ask *a)
{
	struct place_endpoint *e = a->endpoint;

	update_busy_share(p, e);
	e->unread_requests--;
	e->unread_tokens -= a->unread_tokens;
	e->unread_requests_by[a->urgency]--;
	e->unread_tokens_by[a->urgency] -= a->unread_tokens;
	e->last_progress_us = p->now_us;
}

/*
 * When an endpoint responded: between the grant and now, less the time that it
 * took. The messages with the grant and the result are taken to be equally
 * late.
 */
static uint64_t
responded_us(const struct place *p, const struct place_ask *a,
    const struct place_result *result)
{
	uint64_t first_us = a->granted_us + result->first_ms * US_PER_MS;

	if (result->first_ms == 0 || first_us > p->now_us)
		return p->now_us;
	return first_us + (p->now_us - first_us) / 2;
}

static double
excess(uint32_t told, uint32_t known)
{
	return told > known ? told - known : 0;
}

/* Record what the head of a response tells; later results repeat it. */
static void
record_told_load(struct place *p, const struct place_ask *a,
    const struct place_result *result)
{
	struct place_endpoint *e = a->endpoint;
	uint64_t told_us = responded_us(p, a, result);

	if (!result->load_told || a->has_first_byte)
		return;
	if (result->work_percent > 0) {
		place_pace_set_told(&e->prompts, told_us, result->work_percent);
		place_pace_set_told(&e->calls, told_us, result->work_percent);
	}
	place_told_set(&e->others, told_us,
	    excess(result->running + result->waiting, e->running));
	place_told_set(&e->others_waiting, told_us,
	    excess(result->waiting, e->unread_requests));
}

void
place_endpoint_grant(
    struct place *p, struct place_endpoint *e, struct place_ask *a)
{
	update_busy_share(p, e);
	if (e->unread_requests == 0)
		e->last_progress_us = p->now_us;
	a->endpoint = e;
	a->granted = true;
	a->granted_us = p->now_us;
	e->running++;
	e->unread_requests++;
	e->unread_tokens += a->unread_tokens;
	a->urgency = place_admit_urgency(p, a);
	e->unread_requests_by[a->urgency]++;
	e->unread_tokens_by[a->urgency] += a->unread_tokens;
	e->kv_tokens += a->prompt_tokens + a->max_tokens;
	place_limit_take(p, e);
	place_admit_grant(p, a);
	p->totals.granted++;
}

/* ---- outcomes ----------------------------------------------------------- */

/* Record that a request has begun to run on an adapter. */
static void
record_adapter_ready(struct place *p, const struct place_ask *a)
{
	struct place_adapter *adapter =
	    a->key == NULL ? NULL : place_adapter_find(a->endpoint, a->key);

	if (adapter == NULL)
		return;
	place_adapter_record_run(a->endpoint, adapter, a->granted_us);
	if (adapter->has_served)
		return;
	adapter->has_served = true;
	adapter->missing_count = 0;
	place_store_record_ready(&p->store, &adapter->load, p->now_us,
	    a->granted_us, p->store_loads, place_adapter_store_bounds(p));
}

/*
 * Record the first byte of an answer: the engine has processed its prompt and
 * those that were ahead of it.
 */
static void
record_first_byte(
    struct place *p, struct place_ask *a, const struct place_result *result)
{
	if (a->has_first_byte)
		return;
	a->has_first_byte = true;
	if (a->model != NULL) {
		record_prompt_time(p, a, result);
		place_prefix_mark_read(a->endpoint, a);
	}
	release_unread(p, a);
	record_adapter_ready(p, a);
}

/* With this one, is at most half of the service ejected? */
static bool
may_eject(const struct place *p, const struct place_endpoint *e)
{
	const struct place_group *g = place_group_find(p, e->service);
	const struct place_endpoint *other;
	size_t i, all = 0, ejected = 1;

	for (i = 0; i < g->count; i++) {
		other = g->endpoints[i];
		if (other->leaving)
			continue;
		all++;
		ejected += other != e && p->now_us < other->eject_until_us;
	}
	return ejected * 2 <= all;
}

static void
record_success_or_failure(
    struct place *p, struct place_endpoint *e, bool failed)
{
	uint32_t doublings;

	e->last_call_us = p->now_us;
	e->failure_rate +=
	    ((failed ? 1.0 : 0.0) - e->failure_rate) * FAILURE_WEIGHT;
	e->lasting_failure_rate +=
	    ((failed ? 1.0 : 0.0) - e->lasting_failure_rate) *
	    LASTING_FAILURE_WEIGHT;
	if (!failed) {
		if (e->failure_rate < FAILURE_WEIGHT)
			e->consecutive_ejections = 0;
		return;
	}
	if (e->failure_rate < EJECT_FAILURE_RATE || !may_eject(p, e))
		return;
	doublings = e->consecutive_ejections < EJECT_DOUBLINGS_MAX
	    ? e->consecutive_ejections
	    : EJECT_DOUBLINGS_MAX;
	e->eject_until_us = p->now_us + (EJECT_FIRST_US << doublings);
	e->consecutive_ejections++;
	e->failure_rate =
	    EJECT_FAILURE_RATE - FAILURE_WEIGHT; /* on probation */
	p->totals.ejections++;
	place_schedule_run(p, e->eject_until_us);
}

static void
record_call_time(struct place *p, const struct place_ask *a)
{
	if (a->model != NULL)
		return;
	record_speed(
	    p, &a->endpoint->calls, 1, fmax(ms_since(p, a->granted_us), 1));
	a->endpoint->last_served_call_us = p->now_us;
}

/* A caller that gave up a call which took very long has seen a stall. */
static void
record_abandoned(struct place *p, const struct place_ask *a)
{
	double took_ms = ms_since(p, a->granted_us);

	if (a->model == NULL && !a->has_first_byte &&
	    took_ms >
		ABANDONED_FACTOR * place_endpoint_mean_call_ms(a->endpoint))
		record_success_or_failure(p, a->endpoint, true);
}

static void
release_load(struct place *p, struct place_ask *a)
{
	struct place_endpoint *e = a->endpoint;
	struct place_adapter *adapter =
	    a->key == NULL ? NULL : place_adapter_find(e, a->key);

	if (!a->has_first_byte)
		release_unread(p, a);
	e->running--;
	e->kv_tokens -= a->prompt_tokens + a->max_tokens;
	if (a->key != NULL)
		place_prefix_release(p, e, a);
	if (adapter == NULL)
		return;
	if (adapter->running > 0)
		adapter->running--;
	adapter->last_used_us = p->now_us;
}

/*
 * The endpoint does not have the adapter that the placer expects there. Most
 * likely the load takes longer than estimated: its request is sent again soon,
 * and load estimates are increased for a while. After MISSING_SOON_MAX refusals
 * in a row a report is requested: a load takes up to half as long again while
 * the store's limit is being found.
 */
#define MISSING_SOON_MAX 4u
#define MISSING_SOON_US	 (30 * US_PER_MS)
#define MISSING_LONG_US	 (600 * US_PER_MS)

static void
record_missing_adapter(struct place *p, struct place_ask *a)
{
	struct place_endpoint *e = a->endpoint;
	struct place_adapter *adapter =
	    a->key == NULL ? NULL : place_adapter_find(e, a->key);

	if (a->key == NULL && may_eject(p, e))
		e->eject_until_us = p->now_us + EJECT_FIRST_US;
	if (adapter == NULL || adapter->state != ADAPTER_LOADED)
		return;
	if (adapter->missing_count++ == 0)
		place_store_record_missing(
		    &p->store, &adapter->load, p->now_us);
	place_adapter_set_state(e, adapter, ADAPTER_LOADING);
	if (adapter->load.began_us != 0 && !adapter->from_store) {
		adapter->from_store = true; /* it is still in progress */
		p->store_loads++;
	}
	adapter->ready_us = p->now_us + MISSING_SOON_US;
	if (adapter->missing_count <= MISSING_SOON_MAX)
		return;
	adapter->ready_us = p->now_us + MISSING_LONG_US;
	e->orders_known = false;
	e->needs_report = true;
}

void
place_endpoint_record_result(
    struct place *p, struct place_ask *a, const struct place_result *result)
{
	struct place_endpoint *e = a->endpoint;

	if (e == NULL)
		return; /* the endpoint was removed */
	record_told_load(p, a, result);
	if (result->outcome == PLACE_FIRST_BYTE) {
		record_first_byte(p, a, result);
		return;
	}
	if (result->outcome == PLACE_SERVED)
		record_first_byte(p, a, result);
	release_load(p, a);
	switch (result->outcome) {
	case PLACE_SERVED:
		record_call_time(p, a);
		record_success_or_failure(p, e, false);
		break;
	case PLACE_ENDPOINT_FAILED:
		record_success_or_failure(p, e, true);
		break;
	case PLACE_NOT_SENT:
		record_success_or_failure(p, e, true);
		if (p->now_us >= e->eject_until_us && may_eject(p, e))
			e->eject_until_us = p->now_us + EJECT_FIRST_US;
		break;
	case PLACE_STATE_MISMATCH:
		record_missing_adapter(p, a);
		break;
	case PLACE_ABANDONED:
		record_abandoned(p, a);
		break;
	default:
		break;
	}
}
