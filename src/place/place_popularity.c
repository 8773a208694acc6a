#include <math.h>
#include <stdlib.h>

#include "place/place_popularity.h"
#include "util/map.h"
#include "util/mem.h"

#define HALF_LIFE_US 5e6
/* Keys with a lower decayed count are dropped. */
#define COUNT_MIN 0.25
#define SWEEP_US  (2000 * 1000ULL)
/* Minimum total for a share: a few first requests make no key hot. */
#define TOTAL_MIN 16.0

struct counter {
	double count; /* decayed until updated_us */
	uint64_t updated_us;
};

struct place_popularity {
	struct map *keys; /* struct counter by key */
	struct counter all;
	uint64_t next_sweep_us;
};

struct place_popularity *
place_popularity_create(void)
{
	struct place_popularity *pop = mem_alloc(1, sizeof(*pop));

	pop->keys = map_create();
	return pop;
}

void
place_popularity_destroy(struct place_popularity *pop)
{
	if (pop == NULL)
		return;
	map_destroy_all(pop->keys, free);
	free(pop);
}

static void
decay(struct counter *c, uint64_t now_us)
{
	c->count *= exp2(-(double)(now_us - c->updated_us) / HALF_LIFE_US);
	c->updated_us = now_us;
}

static void
sweep(struct place_popularity *pop, uint64_t now_us)
{
	struct counter *c;
	size_t i = map_count(pop->keys);

	if (now_us < pop->next_sweep_us)
		return;
	pop->next_sweep_us = now_us + SWEEP_US;
	while (i-- > 0) {
		c = map_at(pop->keys, i);
		decay(c, now_us);
		if (c->count < COUNT_MIN)
			free(map_remove(pop->keys,
			    map_key_at(pop->keys, i, NULL), sizeof(uint64_t)));
	}
}

double
place_popularity_record(
    struct place_popularity *pop, uint64_t now_us, uint64_t key)
{
	struct counter *c;

	sweep(pop, now_us);
	c = map_get_u64(pop->keys, key);
	if (c == NULL) {
		c = mem_alloc(1, sizeof(*c));
		c->updated_us = now_us;
		(void)map_set_u64(pop->keys, key, c);
	}
	decay(c, now_us);
	decay(&pop->all, now_us);
	c->count += 1;
	pop->all.count += 1;
	return c->count /
	    (pop->all.count < TOTAL_MIN ? TOTAL_MIN : pop->all.count);
}
