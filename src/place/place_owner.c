#include <math.h>

#include "place/place_owner.h"

/*
 * An owner is passed over when its load is above the mean by this factor, and
 * by more than a request loses elsewhere.
 */
#define OVER_MEAN 1.25
/* Choosers hear the same; this keeps them from choosing all alike. */
#define JITTER 0.3

/* What a choice is made from. */
struct spread {
	const struct place_owner_load *owners;
	uint32_t refused_by;
	double mean_ms, bound_ms;
	struct rng *rng;
};

static double
mean_load(const struct place_owner_load *owners, size_t count)
{
	double sum = 0;
	size_t i, known = 0;

	for (i = 0; i < count; i++) {
		if (owners[i].load_ms < 0)
			continue;
		sum += owners[i].load_ms;
		known++;
	}
	return known == 0 ? 0 : sum / (double)known;
}

static bool
may_take(const struct spread *s, size_t i)
{
	return s->owners[i].is_available &&
	    s->owners[i].instance != s->refused_by;
}

static double
load_of(const struct spread *s, size_t i)
{
	return s->owners[i].load_ms < 0 ? s->mean_ms : s->owners[i].load_ms;
}

static uint32_t
least_loaded(const struct spread *s, size_t count, double bound_ms)
{
	double load, least = bound_ms;
	uint32_t best = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		if (!may_take(s, i))
			continue;
		load = load_of(s, i) * (1 + JITTER * rng_unit(s->rng));
		if (load > least || (best != 0 && load == least))
			continue;
		best = s->owners[i].instance;
		least = load;
	}
	return best;
}

static uint32_t
first_below(const struct spread *s, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (may_take(s, i) && load_of(s, i) <= s->bound_ms)
			return s->owners[i].instance;
	return 0;
}

uint32_t
place_owner_choose(const struct place_owner_load *owners, size_t count,
    size_t homes, uint32_t refused_by, double elsewhere_ms, struct rng *rng)
{
	struct spread s = {owners, refused_by, 0, 0, rng};
	uint32_t owner;

	s.mean_ms = mean_load(owners, count);
	s.bound_ms = s.mean_ms * OVER_MEAN;
	if (s.bound_ms < s.mean_ms + elsewhere_ms)
		s.bound_ms = s.mean_ms + elsewhere_ms;
	owner = least_loaded(&s, homes < count ? homes : count, s.bound_ms);
	if (owner == 0)
		owner = first_below(&s, count);
	if (owner == 0)
		owner = least_loaded(&s, count, INFINITY);
	return owner;
}
