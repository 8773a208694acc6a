#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "member/member.h"

/* Members without a data folder for each shard. */
#define SHARD_MEMBERS 4u
/* With fewer of them there is one shard. */
#define SHARDS_FROM 8u

/* A shard with its score for a key; the highest score is preferred. */
struct shard_score {
	double score;
	uint32_t shard;
};

static bool
is_candidate(const struct member *m)
{
	return m != NULL && m->voter == 0 && !m->leaving;
}

static bool
owns_one(const struct member_shards *s, uint32_t id)
{
	uint32_t i;

	for (i = 0; i < s->count; i++)
		if (s->owners[i] == id)
			return true;
	return false;
}

/* Of the candidates that own none the one that scores highest; 0: none. */
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
		if (!is_candidate(m) || owns_one(s, m->id))
			continue;
		hash = XXH64(&shard, sizeof(shard), m->id);
		if (best != 0 && hash <= most)
			continue;
		best = m->id;
		most = hash;
	}
	return best;
}

/* A count that is left only when a good part of the members has changed. */
static uint32_t
count_for(uint32_t now, uint32_t candidates)
{
	uint32_t count = candidates / SHARD_MEMBERS;
	uint32_t least = (candidates + SHARD_MEMBERS) / SHARD_MEMBERS;

	if (now <= 1)
		count = candidates < SHARDS_FROM ? 1 : count;
	else if (candidates < SHARD_MEMBERS)
		count = 1;
	else if (count < now)
		count = now < least ? now : least;
	return count > MEMBER_SHARDS_MAX ? MEMBER_SHARDS_MAX : count;
}

void
member_shards_update(struct member_shards *s, const struct member_view *v)
{
	uint32_t candidates = 0, i;
	size_t k;

	for (k = 0; k < member_view_count(v); k++)
		candidates += is_candidate(member_view_at(v, k));
	s->count = count_for(s->count, candidates);
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
