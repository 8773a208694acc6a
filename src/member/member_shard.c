/* Shards of the endpoints: their number, owners and rendezvous hashing. */
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "member/member.h"

/* Members without a data folder per shard. */
#define MEMBERS_PER_SHARD 4u
/* Members without a data folder below which there is one shard. */
#define SHARDING_MEMBERS_MIN 8u

/* A shard with its score for a key; the highest score is preferred. */
struct shard_score {
	double score;
	uint32_t shard;
};

/* Whether a member may own a shard. */
static bool
is_candidate(const struct member *m)
{
	return m != NULL && m->voter == 0 && !m->leaving;
}

static bool
owns_shard(const struct member_shards *s, uint32_t id)
{
	uint32_t i;

	for (i = 0; i < s->count; i++)
		if (s->owners[i] == id)
			return true;
	return false;
}

/*
 * The candidate that scores highest for a shard, among those that own none.
 * Returns 0 when there is none.
 */
static uint32_t
find_owner(
    const struct member_view *v, const struct member_shards *s, uint32_t shard)
{
	const struct member *m;
	uint64_t hash, most = 0;
	uint32_t best = 0;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		if (!is_candidate(m) || owns_shard(s, m->id))
			continue;
		hash = XXH64(&shard, sizeof(shard), m->id);
		if (best != 0 && hash <= most)
			continue;
		best = m->id;
		most = hash;
	}
	return best;
}

/*
 * The number of shards for a number of candidates. Once there is more than one
 * shard, the number decreases only when more than MEMBERS_PER_SHARD candidates
 * are missing, so that it does not change with each member that comes or goes.
 */
static uint32_t
choose_count(uint32_t current, uint32_t candidates)
{
	uint32_t count = candidates / MEMBERS_PER_SHARD;
	uint32_t limit = (candidates + MEMBERS_PER_SHARD) / MEMBERS_PER_SHARD;

	if (current <= 1)
		count = candidates < SHARDING_MEMBERS_MIN ? 1 : count;
	else if (candidates < MEMBERS_PER_SHARD)
		count = 1;
	else if (count < current)
		count = current < limit ? current : limit;
	return count > MEMBER_SHARDS_MAX ? MEMBER_SHARDS_MAX : count;
}

void
member_shards_update(struct member_shards *s, const struct member_view *v)
{
	uint32_t candidates = 0, i;
	size_t k;

	for (k = 0; k < member_view_count(v); k++)
		candidates += is_candidate(member_view_at(v, k));
	s->count = choose_count(s->count, candidates);
	for (i = 0; i < MEMBER_SHARDS_MAX; i++)
		if (s->count == 1 || i >= s->count ||
		    !is_candidate(member_view_find(v, s->owners[i])))
			s->owners[i] = 0;
	for (i = 0; s->count > 1 && i < s->count; i++)
		if (s->owners[i] == 0)
			s->owners[i] = find_owner(v, s, i);
}

uint32_t
member_shard_of(const struct member_shards *s, const char *key)
{
	size_t len = strlen(key);
	uint64_t hash, most = 0;
	uint32_t i, best = 0;

	for (i = 0; i < s->count; i++) {
		hash = XXH64(key, len, i);
		if (i > 0 && hash <= most)
			continue;
		best = i;
		most = hash;
	}
	return best;
}

/* Orders higher scores first, and lower shards among equal scores. */
static int
compare_scores(const void *a, const void *b)
{
	const struct shard_score *x = a, *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return (x->shard > y->shard) - (x->shard < y->shard);
}

size_t
member_shard_rank(const struct member_shards *s, uint64_t key,
    const uint32_t *weights, uint32_t *out)
{
	struct shard_score scores[MEMBER_SHARDS_MAX];
	size_t i, n = 0;
	double unit;

	for (i = 0; i < s->count; i++) {
		if (weights[i] == 0)
			continue;
		unit = ((double)(XXH64(&key, sizeof(key), i) >> 11) + 0.5) /
		    9007199254740992.0;
		scores[n].score = -(double)weights[i] / log(unit);
		scores[n++].shard = (uint32_t)i;
	}
	qsort(scores, n, sizeof(*scores), compare_scores);
	for (i = 0; i < n; i++)
		out[i] = scores[i].shard;
	return n;
}

uint32_t
member_view_choose(const struct member_view *v, uint64_t key)
{
	const struct member *m;
	uint64_t hash, most = 0;
	uint32_t best = 0;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		if (!is_candidate(m))
			continue;
		hash = XXH64(&key, sizeof(key), m->id);
		if (best != 0 && hash <= most)
			continue;
		best = m->id;
		most = hash;
	}
	return best;
}
