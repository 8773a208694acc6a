#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "place/place_internal.h"
#include "util/mem.h"

/*
 * Prompt prefixes that engines have cached, as far as they served them.
 *
 * An engine keeps the parts of prompts in the memory that its running requests
 * leave, and evicts the least recently used ones when they need more. The parts
 * are tracked in the same way here. The engine's account differs somewhat: it
 * knows how long answers are and which requests have ended. So the more has
 * been evicted since the last use of a part, the less certain it is that the
 * part is still cached.
 */

/*
 * Once tokens amounting to this fraction of the engine's memory have been
 * evicted since its last use, a part is still cached with probability 1/e.
 */
#define EVICTED_SHARE 0.5

struct prefix_use {
	uint64_t used_us;
	uint32_t tokens; /* of the last part of the prefix */
	uint32_t depth; /* of that part in its prompt */
	uint32_t running; /* requests that use it; it is not evicted */
	bool was_read; /* by one of them; else it is not cached yet */
	uint64_t evicted_before; /* the endpoint's count at the last use */
};

uint64_t
place_prefix_hash(const struct place_ask *a, size_t last)
{
	uint64_t hash = XXH64(a->key, strlen(a->key), 0);
	size_t i;

	for (i = 0; i <= last; i++)
		hash = XXH64(&a->parts[i].hash, sizeof(a->parts[i].hash), hash);
	return hash;
}

/* Of one prompt, an engine evicts the last part first. */
static bool
is_evicted_before(const struct prefix_use *a, const struct prefix_use *b)
{
	if (a->used_us != b->used_us)
		return a->used_us < b->used_us;
	return a->depth > b->depth;
}

/* Evict the least recently used prefix; false if all are in use. */
static bool
evict_oldest_prefix(struct place_endpoint *e)
{
	struct prefix_use *use, *oldest = NULL;
	uint64_t hash = 0;
	size_t i;

	for (i = 0; i < map_count(e->cached_parts); i++) {
		use = map_at(e->cached_parts, i);
		if (use->running > 0 ||
		    (oldest != NULL && !is_evicted_before(use, oldest)))
			continue;
		oldest = use;
		memcpy(
		    &hash, map_key_at(e->cached_parts, i, NULL), sizeof(hash));
	}
	if (oldest == NULL)
		return false;
	e->cached_idle_tokens -= oldest->tokens;
	e->evicted_tokens += oldest->tokens;
	free(map_remove_u64(e->cached_parts, hash));
	return true;
}

/* Evict prefixes until the others fit beside the running requests. */
static void
evict_for_memory(struct place_endpoint *e)
{
	uint64_t memory = e->engine == NULL ? 0 : e->engine->kv_tokens;

	if (memory == 0)
		return; /* not configured */
	while (e->cached_idle_tokens > 0 &&
	    e->kv_tokens + e->cached_idle_tokens > memory)
		if (!evict_oldest_prefix(e))
			return;
}

/* Forget a prefix that no request uses and that the engine has not read. */
static void
remove_unread_prefix(
    struct place_endpoint *e, uint64_t hash, struct prefix_use *use)
{
	e->cached_idle_tokens -= use->tokens;
	(void)map_remove_u64(e->cached_parts, hash);
	free(use);
}

static struct prefix_use *
get_prefix(struct place_endpoint *e, const struct place_ask *a, size_t i)
{
	struct prefix_use *use =
	    map_get_u64(e->cached_parts, a->prefix_hashes[i]);

	if (use != NULL)
		return use;
	if (map_count(e->cached_parts) >= PLACE_CACHED_PARTS_MAX)
		(void)evict_oldest_prefix(e);
	use = mem_alloc(1, sizeof(*use));
	use->tokens = a->parts[i].tokens;
	use->depth = (uint32_t)i;
	e->cached_idle_tokens += use->tokens;
	(void)map_set_u64(e->cached_parts, a->prefix_hashes[i], use);
	return use;
}

void
place_prefix_record(
    struct place *p, struct place_endpoint *e, const struct place_ask *a)
{
	struct prefix_use *use;
	size_t i;

	if (p->options.ignores_kept_prompts)
		return;
	for (i = 0; i < a->nparts; i++) {
		use = get_prefix(e, a, i);
		use->used_us = p->now_us;
		use->evicted_before = e->evicted_tokens;
		if (use->running++ == 0)
			e->cached_idle_tokens -= use->tokens;
	}
	evict_for_memory(e);
}

void
place_prefix_mark_read(struct place_endpoint *e, const struct place_ask *a)
{
	struct prefix_use *use;
	size_t i;

	for (i = 0; i < a->nparts; i++) {
		use = map_get_u64(e->cached_parts, a->prefix_hashes[i]);
		if (use != NULL)
			use->was_read = true;
	}
}

void
place_prefix_release(
    struct place *p, struct place_endpoint *e, const struct place_ask *a)
{
	struct prefix_use *use;
	size_t i;

	for (i = 0; i < a->nparts; i++) {
		use = map_get_u64(e->cached_parts, a->prefix_hashes[i]);
		if (use == NULL || use->running == 0)
			continue;
		use->used_us = p->now_us;
		use->evicted_before = e->evicted_tokens;
		if (--use->running > 0)
			continue;
		e->cached_idle_tokens += use->tokens;
		if (!use->was_read)
			remove_unread_prefix(e, a->prefix_hashes[i], use);
	}
	evict_for_memory(e);
}

void
place_prefix_clear(struct place_endpoint *e)
{
	size_t i;

	for (i = 0; i < map_count(e->cached_parts); i++)
		free(map_at(e->cached_parts, i));
	map_destroy(e->cached_parts);
	e->cached_parts = map_create();
	e->cached_idle_tokens = 0;
}

/* The probability that a part is still cached. */
static double
probability_cached(const struct place_endpoint *e, const struct prefix_use *use)
{
	double evicted = (double)(e->evicted_tokens - use->evicted_before);

	if (use->running > 0 || e->engine == NULL || e->engine->kv_tokens == 0)
		return 1;
	return exp(-evicted / (EVICTED_SHARE * e->engine->kv_tokens));
}

struct place_prefix_saving
place_prefix_expect(const struct place *p, const struct place_endpoint *e,
    const struct place_ask *a)
{
	struct place_prefix_saving out = {0};
	const struct prefix_use *use;
	double probability = 1, left = a->prompt_tokens, tokens;
	size_t i;

	if (p->options.ignores_kept_prompts)
		return out;
	for (i = 0; i < a->nparts; i++) {
		use = map_get_u64(e->cached_parts, a->prefix_hashes[i]);
		if (use == NULL)
			break;
		probability = fmin(probability, probability_cached(e, use));
		tokens = fmin(a->parts[i].tokens, left);
		left -= tokens;
		out.tokens += tokens * probability;
		out.deviation += tokens * sqrt(probability * (1 - probability));
	}
	return out;
}
