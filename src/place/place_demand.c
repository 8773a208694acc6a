#include <math.h>
#include <stdlib.h>

#include "place/place_internal.h"
#include "util/mem.h"

/*
 * What is asked for lately, over all engines. A count that halves with time
 * tells a hot adapter, which is worth its place though nobody runs on it at
 * the moment, from one of the long tail that was asked for once.
 */
#define HALF_LIFE_US 12e6
#define FORGET_BELOW 0.02

static double
decayed(const struct place *p, const struct place_demand *d)
{
	return d->count *
	    exp2(-(double)(p->now_us - d->updated_us) / HALF_LIFE_US);
}

static struct place_demand *
demand_get(struct place *p, const char *key)
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
	struct place_demand *d = demand_get(p, key);

	d->count = decayed(p, d) + 1;
	d->updated_us = p->now_us;
}

void
place_demand_add_holder(
    struct place *p, const char *key, struct place_endpoint *holder)
{
	struct place_demand *d = demand_get(p, key);

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
	struct place_demand *d = demand_get(p, key);
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
	return decayed(p, d) / (d->nholders == 0 ? 1 : d->nholders);
}

void
place_demand_sweep(struct place *p)
{
	struct place_demand *d;
	size_t i = map_count(p->demand);

	while (i-- > 0) {
		d = map_at(p->demand, i);
		if (d->nholders == 0 && decayed(p, d) < FORGET_BELOW)
			place_demand_free(map_remove_str(
			    p->demand, map_key_at(p->demand, i, NULL)));
	}
}
