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

#define SPEED_WEIGHT	    0.2
#define TOKENS_PER_MS_MIN   1.0
#define TOKENS_PER_MS_MAX   80.0
/* With fewer tokens other delays dominate the measured time. */
#define SPEED_MIN_TOKENS 400u
#define CALL_MS_WEIGHT	 0.1

bool
place_endpoint_is_usable(
    const struct place *p, const struct place_endpoint *e, const char *service)
{
	return (!e->leaving || !place_guards.leaving) &&
	    strcmp(e->service, service) == 0 && p->now_us >= e->eject_until_us;
}

void
place_endpoint_grant(
    struct place *p, struct place_endpoint *e, struct place_ask *a)
{
	if (e->unread_requests == 0)
		e->last_progress_us = p->now_us;
	a->endpoint = e;
	a->granted = true;
	a->granted_us = p->now_us;
	e->running++;
	e->unread_requests++;
	e->unread_tokens += a->unread_tokens;
	e->kv_tokens += a->prompt_tokens + a->max_tokens;
	a->ahead_tokens = (uint32_t)e->unread_tokens;
	place_limit_take(p, e);
	place_admit_grant(p, a);
	p->totals.granted++;
}

/*
 * Record the first byte of an answer: the engine has processed its prompt and
 * those that were ahead of it.
 */
static void
record_first_byte(
    struct place *p, struct place_ask *a, const struct place_result *result)
{
	struct place_endpoint *e = a->endpoint;
	double took_ms, speed;

	if (a->has_first_byte)
		return;
	a->has_first_byte = true;
	e->unread_requests--;
	e->unread_tokens -= a->unread_tokens;
	e->last_progress_us = p->now_us;
	took_ms = result->first_ms > 0
	    ? (double)result->first_ms
	    : (double)(p->now_us - a->granted_us) / (double)US_PER_MS;
	if (a->model == NULL || a->ahead_tokens < SPEED_MIN_TOKENS ||
	    took_ms < 1)
		return;
	speed = a->ahead_tokens / took_ms;
	if (speed < TOKENS_PER_MS_MIN)
		speed = TOKENS_PER_MS_MIN;
	if (speed > TOKENS_PER_MS_MAX)
		speed = TOKENS_PER_MS_MAX;
	e->tokens_per_ms += (speed - e->tokens_per_ms) * SPEED_WEIGHT;
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

	e->failure_rate +=
	    ((failed ? 1.0 : 0.0) - e->failure_rate) * FAILURE_WEIGHT;
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
	struct place_endpoint *e = a->endpoint;
	double took_ms =
	    (double)(p->now_us - a->granted_us) / (double)US_PER_MS;

	if (a->model == NULL)
		e->mean_call_ms += (took_ms - e->mean_call_ms) * CALL_MS_WEIGHT;
}

/* Decrease of load_overrun_ratio after a load that was ready in time. */
#define OVERRUN_DECREASE 0.01

static void
record_adapter_served(struct place *p, const struct place_ask *a)
{
	struct place_adapter *adapter =
	    a->key == NULL ? NULL : place_adapter_find(a->endpoint, a->key);

	if (adapter == NULL || adapter->has_served)
		return;
	adapter->has_served = true;
	if (adapter->missing_count == 0 && p->load_overrun_ratio > 0)
		p->load_overrun_ratio -= OVERRUN_DECREASE;
	adapter->missing_count = 0;
}

static void
release_load(struct place *p, struct place_ask *a)
{
	struct place_endpoint *e = a->endpoint;
	struct place_adapter *adapter =
	    a->key == NULL ? NULL : place_adapter_find(e, a->key);

	if (!a->has_first_byte) {
		e->unread_requests--;
		e->unread_tokens -= a->unread_tokens;
		e->last_progress_us = p->now_us;
	}
	e->running--;
	e->kv_tokens -= a->prompt_tokens + a->max_tokens;
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
 * in a row a report is requested.
 */
#define MISSING_SOON_MAX 2u
#define MISSING_SOON_US	 (30 * US_PER_MS)
#define MISSING_LONG_US	 (600 * US_PER_MS)
#define OVERRUN_STEP	 0.1
#define OVERRUN_MAX	 1.0

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
	if (adapter->missing_count++ == 0 &&
	    p->load_overrun_ratio < OVERRUN_MAX)
		p->load_overrun_ratio += OVERRUN_STEP;
	place_adapter_set_state(e, adapter, ADAPTER_LOADING);
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
	if (result->outcome == PLACE_FIRST_BYTE) {
		record_first_byte(p, a, result);
		return;
	}
	if (result->outcome == PLACE_SERVED)
		record_first_byte(p, a, result);
	release_load(p, a);
	switch (result->outcome) {
	case PLACE_SERVED:
		record_adapter_served(p, a);
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
	default:
		break;
	}
}
