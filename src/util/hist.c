#include "util/hist.h"

static unsigned
hist_bucket_index(uint64_t value)
{
	unsigned power, part, bucket;

	if (value < HIST_BUCKETS_PER_POWER)
		return (unsigned)value;
	power = 63U - (unsigned)__builtin_clzll(value);
	part = (unsigned)(value >> (power - 2)) & 3U;
	bucket = (power - 1) * HIST_BUCKETS_PER_POWER + part;
	return bucket < HIST_BUCKETS ? bucket : HIST_BUCKETS - 1;
}

/* Returns the largest value of a bucket. */
static uint64_t
hist_bucket_max(unsigned bucket)
{
	unsigned power, part;

	if (bucket < HIST_BUCKETS_PER_POWER)
		return bucket;
	power = bucket / HIST_BUCKETS_PER_POWER + 1;
	part = bucket % HIST_BUCKETS_PER_POWER;
	return ((uint64_t)(part + 5) << (power - 2)) - 1;
}

void
hist_add(struct hist *h, uint64_t value)
{
	h->count++;
	h->sum += value;
	if (value > h->max)
		h->max = value;
	h->buckets[hist_bucket_index(value)]++;
}

uint64_t
hist_quantile(const struct hist *h, double q)
{
	uint64_t rank = (uint64_t)(q * (double)h->count + 0.5), cumulative = 0,
		 bound;
	unsigned i;

	if (h->count == 0)
		return 0;
	if (rank == 0)
		rank = 1;
	for (i = 0; i < HIST_BUCKETS; i++) {
		cumulative += h->buckets[i];
		if (cumulative < rank)
			continue;
		bound = hist_bucket_max(i);
		return bound < h->max ? bound : h->max;
	}
	return h->max;
}

uint64_t
hist_count_up_to(const struct hist *h, uint64_t value_max)
{
	uint64_t count = 0;
	unsigned i, last = hist_bucket_index(value_max);

	for (i = 0; i <= last; i++)
		count += h->buckets[i];
	return count;
}

double
hist_mean(const struct hist *h)
{
	return h->count == 0 ? 0.0 : (double)h->sum / (double)h->count;
}

void
hist_merge(struct hist *h, const struct hist *from)
{
	unsigned i;

	h->count += from->count;
	h->sum += from->sum;
	if (from->max > h->max)
		h->max = from->max;
	for (i = 0; i < HIST_BUCKETS; i++)
		h->buckets[i] += from->buckets[i];
}
