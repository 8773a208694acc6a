#ifndef MP_UTIL_RNG_H
#define MP_UTIL_RNG_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Pseudo-random numbers of the C library. The caller holds the state, so the
 * same seed gives the same sequence.
 */
struct rng {
	unsigned short state[3];
};

/* Initialises the state from a seed. */
void rng_seed(struct rng *r, uint64_t seed);

/* Returns a uniform number in [0, bound); bound must be at least 1. */
uint32_t rng_below(struct rng *r, uint32_t bound);

/* Returns a uniform number in [0, 1). */
double rng_unit(struct rng *r);

/* Returns a number of 62 random bits. */
uint64_t rng_u64(struct rng *r);

#ifdef __cplusplus
}
#endif

#endif
