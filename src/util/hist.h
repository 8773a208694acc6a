#ifndef MP_UTIL_HIST_H
#define MP_UTIL_HIST_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * There are 4 buckets per power of two, from 1 up to 2^40. Larger values are
 * counted in the last bucket.
 */
#define HIST_BUCKETS_PER_POWER 4
#define HIST_BUCKETS	       (HIST_BUCKETS_PER_POWER * 40)

/* A histogram of durations in microseconds or of counts; zero-initialise it. */
struct hist {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t buckets[HIST_BUCKETS];
};

/* Adds one value. */
void hist_add(struct hist *h, uint64_t value);

/*
 * Returns an upper bound of the q-quantile, q in [0, 1]: the largest value of
 * its bucket, or the maximum if that is smaller. Returns 0 if h is empty.
 */
uint64_t hist_quantile(const struct hist *h, double q);

/*
 * Returns the number of values up to value_max inclusive, which must be the
 * largest value of a bucket, such as 2^n - 1.
 */
uint64_t hist_count_up_to(const struct hist *h, uint64_t value_max);

/* Returns the mean, or 0 if h is empty. */
double hist_mean(const struct hist *h);

/* Adds all values of from to h. */
void hist_merge(struct hist *h, const struct hist *from);

#ifdef __cplusplus
}
#endif

#endif
