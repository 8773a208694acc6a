#include <math.h>

#include "place/place_owner.h"

/*
 * An owner is skipped when its load exceeds the mean by this factor, and by
 * more than a request loses elsewhere.
 */
#define OVERLOAD_FACTOR 1.25
/* Entries know the same loads; this keeps them from choosing the same owner. */
#define JITTER_MAX 0.3

/* The input of a choice. */
struct choice {
	const struct place_owner_load *owners;
	uint32_t refused_by;
	double mean_ms, bound_ms;
	struct rng *rng;
};

static double
mean_load_ms(const struct place_owner_load *owners, size_t count)
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
is_eligible(const struct choice *s, size_t i)
{
	return s->owners[i].is_available &&
	    s->owners[i].instance != s->refused_by;
}

static double
load_ms_of(const struct choice *s, size_t i)
{
	return s->owners[i].load_ms < 0 ? s->mean_ms : s->owners[i].load_ms;
}

static uint32_t
least_loaded(const struct choice *s, size_t count, double bound_ms)
{
	double load, least = bound_ms;
	uint32_t best = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		if (!is_eligible(s, i))
			continue;
		load = load_ms_of(s, i) * (1 + JITTER_MAX * rng_unit(s->rng));
		if (load > least || (best != 0 && load == least))
			continue;
		best = s->owners[i].instance;
		least = load;
	}
	return best;
}

static uint32_t
first_below(const struct choice *s, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (is_eligible(s, i) && load_ms_of(s, i) <= s->bound_ms)
			return s->owners[i].instance;
	return 0;
}

uint32_t
place_owner_choose(const struct place_owner_load *owners, size_t count,
    size_t homes, uint32_t refused_by, double elsewhere_ms, struct rng *rng)
{
	struct choice s = {owners, refused_by, 0, 0, rng};
	uint32_t owner;

	s.mean_ms = mean_load_ms(owners, count);
	s.bound_ms = s.mean_ms * OVERLOAD_FACTOR;
	if (s.bound_ms < s.mean_ms + elsewhere_ms)
		s.bound_ms = s.mean_ms + elsewhere_ms;
	owner = least_loaded(&s, homes < count ? homes : count, s.bound_ms);
	if (owner == 0)
		owner = first_below(&s, count);
	if (owner == 0)
		owner = least_loaded(&s, count, INFINITY);
	return owner;
}
