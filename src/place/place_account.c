#include <stdlib.h>
#include <string.h>

#include "place/place_guard.h"
#include "place/place_internal.h"

/*
 * The account of what endpoints were given, and what became of it.
 *
 * An endpoint that fails a good part of its calls is ejected for a while and
 * comes back by small numbers: it may pass every health check. Endpoints are
 * ejected one by one, never more than half of a service, as a fault that all
 * share has another cause.
 */
#define FAILURE_WEIGHT	0.25
#define FAILURE_EJECT	0.55
#define EJECT_FIRST_US	(1000 * US_PER_MS)
#define EJECT_DOUBLINGS 3u

#define SPEED_WEIGHT	0.2
#define SPEED_MIN	1.0
#define SPEED_MAX	80.0
#define SPEED_TOKENS	400u /* fewer tell more of other delays */
#define SERVICE_WEIGHT	0.1

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
	p->totals.granted++;
}

/* The first byte is here: what was ahead of it and its own prompt are read. */
static void
note_begun(struct place *p, struct place_ask *a, const struct place_result *end)
{
	struct place_endpoint *e = a->endpoint;
	double took_ms, speed;

	if (a->has_first_byte)
		return;
	a->has_first_byte = true;
	e->unread_requests--;
	e->unread_tokens -= a->unread_tokens;
	e->last_progress_us = p->now_us;
	took_ms = end->first_ms > 0
	    ? (double)end->first_ms
	    : (double)(p->now_us - a->granted_us) / (double)US_PER_MS;
	if (a->model == NULL || a->ahead_tokens < SPEED_TOKENS || took_ms < 1)
		return;
	speed = a->ahead_tokens / took_ms;
	if (speed < SPEED_MIN)
		speed = SPEED_MIN;
	if (speed > SPEED_MAX)
		speed = SPEED_MAX;
	e->tokens_per_ms += (speed - e->tokens_per_ms) * SPEED_WEIGHT;
}

/* How many endpoints of a service are there, and how many of them ejected? */
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
note_trust(struct place *p, struct place_endpoint *e, bool failed)
{
	uint32_t doublings;

	e->failure_rate +=
	    ((failed ? 1.0 : 0.0) - e->failure_rate) * FAILURE_WEIGHT;
	if (!failed) {
		if (e->failure_rate < FAILURE_WEIGHT)
			e->consecutive_ejections = 0;
		return;
	}
	if (e->failure_rate < FAILURE_EJECT || !may_eject(p, e))
		return;
	doublings = e->consecutive_ejections < EJECT_DOUBLINGS
	    ? e->consecutive_ejections
	    : EJECT_DOUBLINGS;
	e->eject_until_us = p->now_us + (EJECT_FIRST_US << doublings);
	e->consecutive_ejections++;
	e->failure_rate = FAILURE_EJECT - FAILURE_WEIGHT; /* on probation */
	p->totals.ejections++;
	place_schedule_run(p, e->eject_until_us);
}

static void
note_service_time(struct place *p, const struct place_ask *a)
{
	struct place_endpoint *e = a->endpoint;
	double took_ms =
	    (double)(p->now_us - a->granted_us) / (double)US_PER_MS;

	if (a->model == NULL)
		e->mean_call_ms += (took_ms - e->mean_call_ms) * SERVICE_WEIGHT;
}

/* A load that was estimated well lets the stretch go back. */
#define STRETCH_BACK 0.01

static void
note_loaded(struct place *p, const struct place_ask *a)
{
	struct place_adapter *adapter =
	    a->key == NULL ? NULL : place_adapter_find(a->endpoint, a->key);

	if (adapter == NULL || adapter->has_served)
		return;
	adapter->has_served = true;
	if (adapter->missing_count == 0 && p->load_overrun_ratio > 0)
		p->load_overrun_ratio -= STRETCH_BACK;
	adapter->missing_count = 0;
}

static void
release(struct place *p, struct place_ask *a)
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
 * The endpoint lacks what the placer thought it had. Most likely the load
 * takes longer than was estimated: the request that came too early is soon
 * sent again, and estimates stretch for a while. After that a report tells.
 */
#define LACKING_TWICE	2u
#define LACKING_SOON_US (30 * US_PER_MS)
#define LACKING_LONG_US (600 * US_PER_MS)
#define STRETCH_STEP	0.1
#define STRETCH_MAX	1.0

static void
note_lacking(struct place *p, struct place_ask *a)
{
	struct place_endpoint *e = a->endpoint;
	struct place_adapter *adapter =
	    a->key == NULL ? NULL : place_adapter_find(e, a->key);

	if (a->key == NULL && may_eject(p, e))
		e->eject_until_us = p->now_us + EJECT_FIRST_US;
	if (adapter == NULL || adapter->state != ADAPTER_LOADED)
		return;
	if (adapter->missing_count++ == 0 &&
	    p->load_overrun_ratio < STRETCH_MAX)
		p->load_overrun_ratio += STRETCH_STEP;
	place_adapter_set_state(e, adapter, ADAPTER_LOADING);
	adapter->ready_us = p->now_us + LACKING_SOON_US;
	if (adapter->missing_count <= LACKING_TWICE)
		return;
	adapter->ready_us = p->now_us + LACKING_LONG_US;
	e->orders_known = false;
	e->needs_report = true;
}

void
place_endpoint_record_result(
    struct place *p, struct place_ask *a, const struct place_result *end)
{
	struct place_endpoint *e = a->endpoint;

	if (e == NULL)
		return; /* it is gone */
	if (end->outcome == PLACE_FIRST_BYTE) {
		note_begun(p, a, end);
		return;
	}
	if (end->outcome == PLACE_SERVED)
		note_begun(p, a, end);
	release(p, a);
	switch (end->outcome) {
	case PLACE_SERVED:
		note_loaded(p, a);
		note_service_time(p, a);
		note_trust(p, e, false);
		break;
	case PLACE_ENDPOINT_FAILED:
		note_trust(p, e, true);
		break;
	case PLACE_NOT_SENT:
		note_trust(p, e, true);
		if (p->now_us >= e->eject_until_us && may_eject(p, e))
			e->eject_until_us = p->now_us + EJECT_FIRST_US;
		break;
	case PLACE_STATE_MISMATCH:
		note_lacking(p, a);
		break;
	default:
		break;
	}
}
