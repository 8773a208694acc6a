#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "place/place_internal.h"
#include "util/mem.h"

/* Prompt prefixes that engines have cached, as far as they served them. */

uint64_t
place_prefix_hash(const struct place_ask *a, size_t last)
{
	uint64_t hash = XXH64(a->key, strlen(a->key), 0);
	size_t i;

	for (i = 0; i <= last; i++)
		hash = XXH64(&a->parts[i].hash, sizeof(a->parts[i].hash), hash);
	return hash;
}

struct prefix_use {
	uint64_t used_us;
};

static void
evict_oldest_prefix(struct place_endpoint *e)
{
	struct prefix_use *use;
	uint64_t hash = 0, oldest = UINT64_MAX;
	size_t i;

	for (i = 0; i < map_count(e->cached_parts); i++) {
		use = map_at(e->cached_parts, i);
		if (use->used_us < oldest) {
			oldest = use->used_us;
			memcpy(&hash, map_key_at(e->cached_parts, i, NULL),
			    sizeof(hash));
		}
	}
	free(map_remove_u64(e->cached_parts, hash));
}

void
place_prefix_record(
    struct place *p, struct place_endpoint *e, const struct place_ask *a)
{
	struct prefix_use *use;
	uint64_t hash;
	size_t i;

	for (i = 0; i < a->nparts; i++) {
		hash = a->prefix_hashes[i];
		use = map_get_u64(e->cached_parts, hash);
		if (use == NULL) {
			if (map_count(e->cached_parts) >=
			    PLACE_CACHED_PARTS_MAX)
				evict_oldest_prefix(e);
			use = mem_alloc(1, sizeof(*use));
			(void)map_set_u64(e->cached_parts, hash, use);
		}
		use->used_us = p->now_us;
	}
}

uint32_t
place_prefix_cached_tokens(
    const struct place_endpoint *e, const struct place_ask *a)
{
	uint32_t tokens = 0;
	size_t i;

	for (i = 0; i < a->nparts; i++) {
		if (map_get_u64(e->cached_parts, a->prefix_hashes[i]) == NULL)
			break;
		tokens += a->parts[i].tokens;
	}
	return tokens < a->prompt_tokens ? tokens : a->prompt_tokens;
}
