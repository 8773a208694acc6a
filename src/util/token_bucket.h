#ifndef MP_UTIL_TOKEN_BUCKET_H
#define MP_UTIL_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A token bucket: each event takes a token; tokens arrive at a constant rate,
 * and at most a burst of them is kept. In any time t at most rate * t + burst
 * events are allowed.
 *
 * Zero-initialise it, then call token_bucket_reset(). Times are microseconds
 * of a monotonic clock.
 */
struct token_bucket {
	double per_s; /* 0: no tokens arrive */
	double burst; /* at least 1 */
	double tokens; /* at updated_us; negative: taken in advance */
	uint64_t updated_us;
};

/* Sets all of it. tokens: to begin with, at most burst of which are kept. */
void token_bucket_reset(struct token_bucket *b, uint64_t now_us, double per_s,
    double burst, double tokens);

/* The tokens that are there now. */
double token_bucket_count(const struct token_bucket *b, uint64_t now_us);

/* Takes a token, also if there is none: later events then wait for it. */
void token_bucket_take(struct token_bucket *b, uint64_t now_us);

/*
 * The time until there are this many tokens, were none taken and were the
 * bucket large enough; 0: they are there; UINT64_MAX: never.
 */
uint64_t token_bucket_wait_us(
    const struct token_bucket *b, uint64_t now_us, double tokens);

#ifdef __cplusplus
}
#endif

#endif
