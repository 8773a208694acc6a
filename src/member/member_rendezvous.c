#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "member/member.h"
#include "util/mem.h"

/* A member with its score for a key; the highest score is preferred. */
struct member_score {
	double score;
	uint32_t id;
};

static double
member_score_of(uint32_t id, const char *key, size_t len, double weight)
{
	uint64_t hash = XXH64(key, len, id);
	double unit = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;

	return -weight / log(unit);
}

static const struct member *
member_best_of(const struct member_view *v, const char *region,
    const char *endpoint, size_t len)
{
	const struct member *m, *best = NULL;
	double score, best_score = 0.0;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		if (m->leaving ||
		    (region != NULL && strcmp(m->region, region) != 0))
			continue;
		score = member_score_of(m->id, endpoint, len, 1.0);
		if (best == NULL || score > best_score) {
			best = m;
			best_score = score;
		}
	}
	return best;
}

uint32_t
member_owner_of(
    const struct member_view *v, const char *region, const char *endpoint)
{
	size_t len = strlen(endpoint);
	const struct member *best = member_best_of(v, region, endpoint, len);

	if (best == NULL)
		best = member_best_of(v, NULL, endpoint, len);
	return best == NULL ? 0 : best->id;
}

static int
member_score_compare(const void *a, const void *b)
{
	const struct member_score *x = a, *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return (x->id > y->id) - (x->id < y->id);
}

size_t
member_rank(const struct member_view *v, const char *key,
    double (*weight)(void *ctx, const struct member *m), void *ctx,
    uint32_t *out, size_t max)
{
	struct member_score *scores =
	    mem_alloc(member_view_count(v), sizeof(*scores));
	size_t i, n = 0, len = strlen(key);
	const struct member *m;
	double w;

	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		w = weight(ctx, m);
		if (w <= 0.0)
			continue;
		scores[n].score = member_score_of(m->id, key, len, w);
		scores[n++].id = m->id;
	}
	qsort(scores, n, sizeof(*scores), member_score_compare);
	if (n > max)
		n = max;
	for (i = 0; i < n; i++)
		out[i] = scores[i].id;
	free(scores);
	return n;
}
