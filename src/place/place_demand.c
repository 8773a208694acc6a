#include <math.h>
#include <stdlib.h>

#include "place/place_internal.h"
#include "util/mem.h"

/*
 * Recent demand for models and adapters, over all engines. An exponentially
 * decaying count tells a hot adapter, which should stay loaded even while no
 * request runs on it, from one of the long tail that was requested once.
 */
#define HALF_LIFE_US 12e6
#define DEMAND_MIN   0.02

static double
decayed_count(const struct place *p, const struct place_demand *d)
{
	return d->count *
	    exp2(-(double)(p->now_us - d->updated_us) / HALF_LIFE_US);
}

static struct place_demand *
get_demand(struct place *p, const char *key)
{
	struct place_demand *d = map_get_str(p->demand, key);

	if (d != NULL)
		return d;
	d = mem_alloc(1, sizeof(*d));
	d->updated_us = p->now_us;
	(void)map_set_str(p->demand, key, d);
	return d;
}

void
place_demand_record(struct place *p, const char *key)
{
	struct place_demand *d = get_demand(p, key);

	d->count = decayed_count(p, d) + 1;
	d->updated_us = p->now_us;
}

void
place_demand_add_holder(
    struct place *p, const char *key, struct place_endpoint *holder)
{
	struct place_demand *d = get_demand(p, key);

	if (d->nholders == d->cap) {
		d->cap = d->cap == 0 ? 2 : d->cap * 2;
		d->holders =
		    mem_resize(d->holders, d->cap, sizeof(*d->holders));
	}
	d->holders[d->nholders++] = holder;
}

void
place_demand_remove_holder(
    struct place *p, const char *key, const struct place_endpoint *holder)
{
	struct place_demand *d = get_demand(p, key);
	uint32_t i;

	for (i = 0; i < d->nholders; i++)
		if (d->holders[i] == holder) {
			d->holders[i] = d->holders[--d->nholders];
			return;
		}
}

const struct place_demand *
place_demand_find(const struct place *p, const char *key)
{
	return map_get_str(p->demand, key);
}

void
place_demand_free(struct place_demand *d)
{
	free(d->holders);
	free(d);
}

double
place_demand_per_copy(const struct place *p, const char *key)
{
	const struct place_demand *d = map_get_str(p->demand, key);

	if (d == NULL)
		return 0;
	return decayed_count(p, d) / (d->nholders == 0 ? 1 : d->nholders);
}

void
place_demand_sweep(struct place *p)
{
	struct place_demand *d;
	size_t i = map_count(p->demand);

	while (i-- > 0) {
		d = map_at(p->demand, i);
		if (d->nholders == 0 && decayed_count(p, d) < DEMAND_MIN)
			place_demand_free(map_remove_str(
			    p->demand, map_key_at(p->demand, i, NULL)));
	}
}
