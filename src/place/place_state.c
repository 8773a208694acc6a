#include <string.h>

#include "place/place_internal.h"

/* A snapshot of what requests and adapters wait for, for operators only. */

static void
count_ask(
    const struct place *p, const struct place_ask *a, struct place_state *out)
{
	uint32_t waited_ms = (uint32_t)((p->now_us - a->asked_us) / US_PER_MS);

	out->waiting++;
	if (a->key == NULL)
		out->wait_call++;
	else if (a->endpoint != NULL)
		out->wait_load++;
	else
		out->wait_engine++;
	if (waited_ms > out->oldest_ms)
		out->oldest_ms = waited_ms;
}

/* Count why a wanted adapter has not been ordered yet. */
static void
count_wanted(const struct place *p, const struct place_endpoint *e,
    struct place_state *out)
{
	out->wanted++;
	if (e->call_in_flight)
		out->held_call++;
	else if (p->now_us < e->backoff_until_us)
		out->held_quiet++;
	else if (!e->orders_known)
		out->held_report++;
	else if (p->store_loads >= place_adapter_store_loads_max(p))
		out->held_store++;
	else
		out->held_places++;
}

static void
count_engine(const struct place *p, const struct place_endpoint *e,
    struct place_state *out)
{
	uint32_t unread_ms = (uint32_t)((double)e->unread_tokens /
	    place_endpoint_tokens_per_ms(p, e));
	const struct place_adapter *a;
	size_t i;

	out->engines++;
	out->running += e->running;
	out->unread_ms += unread_ms;
	if (unread_ms > out->unread_max_ms)
		out->unread_max_ms = unread_ms;
	for (i = 0; e->has_pending_adapters && i < map_count(e->adapters);
	     i++) {
		a = map_at(e->adapters, i);
		if (a->adapter != NULL && a->state == ADAPTER_WANTED)
			count_wanted(p, e, out);
	}
}

void
place_get_state(const struct place *p, struct place_state *out)
{
	const struct place_endpoint *e;
	const struct place_ask *a;
	size_t i;

	memset(out, 0, sizeof(*out));
	out->loading = p->store_loads;
	out->loading_max = place_adapter_store_loads_max(p);
	out->load_ms = (uint32_t)p->store.load_ms;
	out->loads_late = p->store.late;
	for (a = p->queue_head; a != NULL; a = a->next)
		count_ask(p, a, out);
	for (i = 0; i < map_count(p->endpoints); i++) {
		e = map_at(p->endpoints, i);
		if (e->engine != NULL && !e->is_foreign)
			count_engine(p, e, out);
	}
	if (out->engines > 0)
		out->unread_ms /= out->engines;
}
