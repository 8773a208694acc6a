#ifndef MP_UTIL_HIST_H
#define MP_UTIL_HIST_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Buckets: 4 to each power of two, from 1 up to 2^40. */
#define HIST_BUCKETS_PER_POWER 4
#define HIST_BUCKETS	       (HIST_BUCKETS_PER_POWER * 40)

/* A histogram of microseconds or counts; zero-initialise before use. */
struct hist {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t buckets[HIST_BUCKETS];
};

void hist_add(struct hist *h, uint64_t value);

/* An upper bound of the q-quantile, q in [0, 1]; 0 when empty. */
uint64_t hist_quantile(const struct hist *h, double q);

/* How many values are at most top, which is the end of a bucket. */
uint64_t hist_count_up_to(const struct hist *h, uint64_t top);

/* The mean, 0 when empty. */
double hist_mean(const struct hist *h);

/* Add all of from into h. */
void hist_merge(struct hist *h, const struct hist *from);

#ifdef __cplusplus
}
#endif

#endif
