#include <math.h>
#include <stdlib.h>

#include "place/place_popularity.h"
#include "util/map.h"
#include "util/mem.h"

#define HALF_LIFE_US 5e6
/* A key that was asked for less often than this, as it counts now, is cold. */
#define COLD_BELOW 0.25
#define SWEEP_US   (2000 * 1000ULL)
/* So many requests tell enough of a share. */
#define TELLING 16.0

struct heat {
	double count; /* as of */
	uint64_t at_us;
};

struct place_popularity {
	struct map *keys; /* struct heat */
	struct heat all;
	uint64_t sweep_us;
};

struct place_popularity *
place_popularity_create(void)
{
	struct place_popularity *h = mem_alloc(1, sizeof(*h));

	h->keys = map_create();
	return h;
}

void
place_popularity_destroy(struct place_popularity *h)
{
	if (h == NULL)
		return;
	map_destroy_all(h->keys, free);
	free(h);
}

static void
decay(struct heat *heat, uint64_t now_us)
{
	heat->count *= exp2(-(double)(now_us - heat->at_us) / HALF_LIFE_US);
	heat->at_us = now_us;
}

static void
sweep(struct place_popularity *h, uint64_t now_us)
{
	struct heat *heat;
	size_t i = map_count(h->keys);

	if (now_us < h->sweep_us)
		return;
	h->sweep_us = now_us + SWEEP_US;
	while (i-- > 0) {
		heat = map_at(h->keys, i);
		decay(heat, now_us);
		if (heat->count < COLD_BELOW)
			free(map_remove(h->keys, map_key_at(h->keys, i, NULL),
			    sizeof(uint64_t)));
	}
}

double
place_popularity_record(
    struct place_popularity *h, uint64_t now_us, uint64_t key)
{
	struct heat *heat;

	sweep(h, now_us);
	heat = map_get_u64(h->keys, key);
	if (heat == NULL) {
		heat = mem_alloc(1, sizeof(*heat));
		heat->at_us = now_us;
		(void)map_set_u64(h->keys, key, heat);
	}
	decay(heat, now_us);
	decay(&h->all, now_us);
	heat->count += 1;
	h->all.count += 1;
	return heat->count / (h->all.count < TELLING ? TELLING : h->all.count);
}
