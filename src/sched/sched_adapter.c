#include <math.h>
#include <stdlib.h>

#include "sched/sched_internal.h"
#include "util/buf.h"
#include "util/mem.h"

/* Adapters and services: demand, decayed rates, back-off of failed loads. */

#define ADAPTER_RATE_MEMORY_US (30 * SCHED_SECOND_US)
#define ADAPTER_LOST_PART      0.5 /* of the patience, waited on average */
#define ADAPTER_IDLE_US	       (600 * SCHED_SECOND_US)
#define ADAPTER_BACKOFF_MAX    8
#define ADAPTER_BACKOFF_US     (1 * SCHED_SECOND_US)
#define ADAPTER_BACKOFF_TOP_US (60 * SCHED_SECOND_US)
#define ADAPTER_RETRY_US       (250 * SCHED_MS_US)
#define ADAPTER_RETRY_TOP_US   (10 * SCHED_SECOND_US)
#define ADAPTER_SWEEP_STEPS    4

double
rate_at(double rate, uint64_t rate_us, uint64_t now_us)
{
	if (rate == 0.0 || now_us <= rate_us)
		return rate;
	return rate *
	    exp(-(double)(now_us - rate_us) / (double)ADAPTER_RATE_MEMORY_US);
}

void
rate_add(double *rate, uint64_t *rate_us, uint64_t now_us)
{
	*rate = rate_at(*rate, *rate_us, now_us) +
	    (double)SCHED_SECOND_US / (double)ADAPTER_RATE_MEMORY_US;
	*rate_us = now_us;
}

/* Those refused at once would have waited: their stall counts for a load. */
void
adapter_note_refusal(struct adapter *a, uint64_t now_us, uint64_t patience_us)
{
	a->refused_stall_us = adapter_refused_stall_us(a, now_us) +
	    ADAPTER_LOST_PART * (double)patience_us;
	a->refused_stall_updated_us = now_us;
}

double
adapter_refused_stall_us(const struct adapter *a, uint64_t now_us)
{
	return rate_at(
	    a->refused_stall_us, a->refused_stall_updated_us, now_us);
}

/* Services and adapters may bear the same name. */
static struct adapter *
adapter_lookup(const struct sched *s, bool service, const char *name)
{
	struct buf key = {0};
	struct adapter *a;

	if (!service)
		return map_get_str(s->adapters, name);
	buf_puts(&key, "\n");
	buf_puts(&key, name);
	a = map_get(s->adapters, key.data, key.len);
	buf_free(&key);
	return a;
}

struct adapter *
adapter_find(const struct sched *s, bool service, const char *name)
{
	return adapter_lookup(s, service, name);
}

struct adapter *
adapter_get(struct sched *s, bool service, const char *name, struct pool *pool)
{
	struct adapter *a = adapter_lookup(s, service, name);
	struct buf key = {0};

	if (a != NULL) {
		if (a->pool == NULL)
			a->pool = pool;
		return a;
	}
	a = mem_alloc(1, sizeof(*a));
	a->name = mem_string(name);
	a->is_service = service;
	a->pool = pool;
	if (service)
		buf_puts(&key, "\n");
	buf_puts(&key, name);
	map_set(s->adapters, key.data, key.len, a);
	buf_free(&key);
	return a;
}

void
adapter_free(struct adapter *a)
{
	free(a->name);
	free(a->locations);
	free(a->backoffs);
	free(a);
}

/* A request has come for it. */
void
adapter_note_request(struct sched *s, struct adapter *a, uint64_t now_us)
{
	rate_add(&a->request_rate, &a->rate_updated_us, now_us);
	rate_add(&s->request_rate, &s->rate_updated_us, now_us);
}

static uint64_t
backoff_time(uint64_t first_us, uint64_t top_us, uint32_t failures)
{
	uint32_t power = failures > 10 ? 10 : failures - 1;
	uint64_t us = first_us << power;

	return us < top_us ? us : top_us;
}

/*
 * A load failed: this endpoint is left alone for a while, another may try
 * at once; after several failures in a row the adapter itself waits.
 */
void
adapter_note_load_failure(struct sched *s, struct adapter *a,
    const struct endpoint *ep, uint64_t now_us)
{
	struct backoff *b = NULL;
	uint32_t i, oldest = 0;

	s->load_failures++;
	if (a->draining_slot != NULL)
		slot_end_drain(s, a->draining_slot);
	if (++a->load_failures > 1)
		a->retry_us = now_us +
		    backoff_time(ADAPTER_RETRY_US, ADAPTER_RETRY_TOP_US,
			a->load_failures - 1);
	for (i = 0; i < a->nbackoffs; i++) {
		if (a->backoffs[i].endpoint_serial == ep->serial)
			b = &a->backoffs[i];
		if (a->backoffs[i].until_us < a->backoffs[oldest].until_us)
			oldest = i;
	}
	if (b == NULL && a->nbackoffs < ADAPTER_BACKOFF_MAX) {
		a->backoffs = mem_resize(
		    a->backoffs, a->nbackoffs + 1, sizeof(*a->backoffs));
		b = &a->backoffs[a->nbackoffs++];
		*b = (struct backoff){.endpoint_serial = ep->serial};
	}
	if (b == NULL) {
		b = &a->backoffs[oldest];
		*b = (struct backoff){.endpoint_serial = ep->serial};
	}
	b->failures++;
	b->until_us = now_us +
	    backoff_time(
		ADAPTER_BACKOFF_US, ADAPTER_BACKOFF_TOP_US, b->failures);
}

/* When a load of the adapter may next be tried on the endpoint. */
uint64_t
adapter_retry_us(const struct adapter *a, const struct endpoint *ep)
{
	uint64_t at = a->retry_us;
	uint32_t i;

	for (i = 0; i < a->nbackoffs; i++) {
		if (a->backoffs[i].endpoint_serial == ep->serial &&
		    a->backoffs[i].until_us > at)
			at = a->backoffs[i].until_us;
	}
	return at;
}

static bool
adapter_is_idle(const struct adapter *a, uint64_t now_us)
{
	return a->nlocations == 0 && a->pending_loads == 0 &&
	    a->flows == NULL && a->running == 0 && a->draining_slot == NULL &&
	    a->retry_us <= now_us &&
	    now_us - a->rate_updated_us > ADAPTER_IDLE_US;
}

/* Forget a few adapters that have been idle for long, a step a run. */
void
adapter_sweep_idle(struct sched *s, uint64_t now_us)
{
	struct adapter *a;
	const char *key;
	size_t len;
	int step;

	for (step = 0; step < ADAPTER_SWEEP_STEPS; step++) {
		if (s->sweep_index >= map_count(s->adapters)) {
			s->sweep_index = 0;
			return;
		}
		a = map_at(s->adapters, s->sweep_index);
		if (!adapter_is_idle(a, now_us)) {
			s->sweep_index++;
			continue;
		}
		key = map_key_at(s->adapters, s->sweep_index, &len);
		map_remove(s->adapters, key, len);
		adapter_free(a);
	}
}
