#ifndef MP_UTIL_RNG_H
#define MP_UTIL_RNG_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Seeded random numbers of the C library; the state is the caller's. */
struct rng {
	unsigned short state[3];
};

void rng_seed(struct rng *r, uint64_t seed);

/* Uniform in [0, below); below must be at least 1. */
uint32_t rng_below(struct rng *r, uint32_t below);

/* Uniform in [0, 1). */
double rng_unit(struct rng *r);

/* 62 random bits. */
uint64_t rng_u64(struct rng *r);

#ifdef __cplusplus
}
#endif

#endif
