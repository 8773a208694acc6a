#include <stdlib.h>
#include <xxhash.h>

#include "util/rng.h"

void
rng_seed(struct rng *r, uint64_t seed)
{
	uint64_t hash = XXH64(&seed, sizeof(seed), 0);

	r->state[0] = (unsigned short)hash;
	r->state[1] = (unsigned short)(hash >> 16);
	r->state[2] = (unsigned short)(hash >> 32);
}

uint32_t
rng_below(struct rng *r, uint32_t bound)
{
	return (uint32_t)(rng_unit(r) * bound);
}

double
rng_unit(struct rng *r)
{
	return erand48(r->state);
}

uint64_t
rng_u64(struct rng *r)
{
	uint64_t high = (uint64_t)nrand48(r->state);

	return high << 31 | (uint64_t)nrand48(r->state);
}
