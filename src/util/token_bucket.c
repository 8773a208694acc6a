#include "util/token_bucket.h"

#define US_PER_S 1000000.0
/* Times further away are of no use to a caller. */
#define WAIT_MAX_US (3600 * US_PER_S)
/* Less than this of a token is lost to rounding. */
#define TOKEN_EPSILON 1e-6

static double
at_most(double value, double max)
{
	return value < max ? value : max;
}

void
token_bucket_reset(struct token_bucket *b, uint64_t now_us, double per_s,
    double burst, double tokens)
{
	b->per_s = per_s;
	b->burst = burst < 1 ? 1 : burst;
	b->tokens = at_most(tokens, b->burst);
	b->updated_us = now_us;
}

double
token_bucket_count(const struct token_bucket *b, uint64_t now_us)
{
	uint64_t elapsed_us =
	    now_us > b->updated_us ? now_us - b->updated_us : 0;

	return at_most(
	    b->tokens + (double)elapsed_us / US_PER_S * b->per_s, b->burst);
}

void
token_bucket_take(struct token_bucket *b, uint64_t now_us)
{
	b->tokens = token_bucket_count(b, now_us) - 1;
	b->updated_us = now_us;
}

uint64_t
token_bucket_wait_us(
    const struct token_bucket *b, uint64_t now_us, double tokens)
{
	double missing = tokens - token_bucket_count(b, now_us);

	if (missing < TOKEN_EPSILON)
		return 0;
	if (b->per_s <= 0 || missing / b->per_s * US_PER_S > WAIT_MAX_US)
		return UINT64_MAX;
	return (uint64_t)(missing / b->per_s * US_PER_S) + 1;
}
