#include <string.h>

#include "sched/sched_internal.h"

/* Statistics, and the JSON description of the endpoints. */

#define STAT_WINDOW_US (30 * SCHED_SECOND_US) /* of wait times */

/* Records the wait of a grant. Totals cover the last two windows. */
void
stat_add_wait(struct sched *s, uint64_t now_us, uint64_t wait_us)
{
	if (now_us >= s->waits_since_us + STAT_WINDOW_US) {
		if (now_us < s->waits_since_us + 2 * STAT_WINDOW_US)
			s->previous_waits = s->waits;
		else
			memset(
			    &s->previous_waits, 0, sizeof(s->previous_waits));
		memset(&s->waits, 0, sizeof(s->waits));
		s->waits_since_us = now_us;
	}
	hist_add(&s->waits, wait_us / SCHED_MS_US);
}

void
sched_get_totals(
    const struct sched *s, uint64_t now_us, struct sched_totals *out)
{
	const struct endpoint *ep;
	struct fair_gap gap;
	struct hist waits;
	size_t i;

	(void)now_us;
	memset(out, 0, sizeof(*out));
	for (i = 0; i < map_count(s->endpoints); i++) {
		ep = map_at(s->endpoints, i);
		if (!ep->has_reported)
			continue;
		if (ep->is_service)
			out->services++;
		if (ep->is_service)
			continue;
		out->engines++;
		out->seats += ep->seats;
		out->free += endpoint_free_seats(ep);
	}
	out->queued = s->queued;
	out->running = s->running;
	out->loads = s->loads;
	out->load_failures = s->load_failures;
	out->evictions = s->evictions;
	out->stall_us = s->stall_us;
	waits = s->waits;
	hist_merge(&waits, &s->previous_waits);
	out->wait_p90_ms = (uint32_t)hist_quantile(&waits, 0.9);

	fair_get_gap(s->fair, &gap);
	out->largest_gap_milli = gap.largest_milli;
}

/* Whether the pool is a service with an endpoint that is not leaving. */
static bool
pool_is_live_service(const struct pool *p)
{
	uint32_t i;

	for (i = 0; p->is_service && i < p->count; i++) {
		if (!p->endpoints[i]->leaving)
			return true;
	}
	return false;
}

size_t
sched_service_count(const struct sched *s)
{
	size_t i, n = 0;

	for (i = 0; i < map_count(s->pools); i++) {
		if (pool_is_live_service(map_at(s->pools, i)))
			n++;
	}
	return n;
}

const char *
sched_service_at(const struct sched *s, size_t i)
{
	const struct pool *p;
	size_t at;

	for (at = 0; at < map_count(s->pools); at++) {
		p = map_at(s->pools, at);
		if (pool_is_live_service(p) && i-- == 0)
			return p->name;
	}
	return NULL;
}

static void
slot_json(const struct slot *slot, struct buf *out)
{
	static const char *const states[] = {
	    "free", "loading", "loaded", "evicting"};

	buf_puts(out, "{\"state\":");
	buf_json_string(out, states[slot->state]);
	if (slot->adapter != NULL) {
		buf_puts(out, ",\"adapter\":");
		buf_json_string(out, slot->adapter->name);
	}
	buf_printf(out, ",\"pins\":%u,\"draining\":%s}", slot->pins,
	    slot->drained_for != NULL ? "true" : "false");
}

static void
endpoint_json(const struct endpoint *ep, struct buf *out)
{
	static const char *const roles[] = {"mixed", "prefill", "decode"};
	uint32_t i;

	buf_puts(out, "{\"id\":");
	buf_json_string(out, ep->id);
	buf_puts(out, ",\"pool\":");
	buf_json_string(out, ep->pool == NULL ? "" : ep->pool->name);
	buf_puts(out, ",\"dataCentre\":");
	buf_json_string(out, ep->data_centre == NULL ? "" : ep->data_centre);
	buf_printf(out,
	    ",\"service\":%s,\"role\":\"%s\",\"leaving\":%s,\"seats\":%u,"
	    "\"used\":%u,\"free\":%u,\"limit\":%.1f,\"slots\":[",
	    ep->is_service ? "true" : "false", roles[ep->role],
	    ep->leaving ? "true" : "false", ep->seats, ep->grants,
	    endpoint_free_seats(ep), ep->limit);
	for (i = 0; i < ep->slot_count; i++) {
		if (i > 0)
			buf_puts(out, ",");
		slot_json(ep->slots[i], out);
	}
	buf_puts(out, "]}");
}

void
sched_endpoints_to_json(const struct sched *s, struct buf *out)
{
	size_t i;

	buf_puts(out, "[");
	for (i = 0; i < map_count(s->endpoints); i++) {
		if (i > 0)
			buf_puts(out, ",");
		endpoint_json(map_at(s->endpoints, i), out);
	}
	buf_puts(out, "]");
}
