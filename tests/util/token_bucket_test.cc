#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "util/token_bucket.h"
}

static const uint64_t kS = 1000000;

/* Each row: a bucket, the time since, and when there are this many tokens. */
TEST(TokenBucket, tokens_arrive_at_the_rate_up_to_the_burst)
{
	static const struct {
		double per_s, burst, first, wanted;
		uint64_t after_us, wait_us;
		double count;
	} rows[] = {
	    {2, 1, 1, 1, 0, 0, 1},
	    {2, 1, 0, 1, 0, kS / 2 + 1, 0},
	    {2, 1, 0, 1, kS / 4, kS / 4 + 1, 0.5},
	    {2, 1, 0, 3, 0, 3 * kS / 2 + 1, 0},
	    {2, 1, 0, 1, 100 * kS, 0, 1},
	    {8, 2, 5, 1, 0, 0, 2},
	    {8, 0, 5, 1, 0, 0, 1},
	    {2, 1, -1, 1, kS, 0, 1},
	    {0, 1, 0, 1, 100 * kS, UINT64_MAX, 0},
	    {1e-9, 1, 0, 1, 0, UINT64_MAX, 0},
	};

	for (auto &row : rows) {
		struct token_bucket b = {};
		uint64_t now = 5 * kS;

		token_bucket_reset(&b, now, row.per_s, row.burst, row.first);
		now += row.after_us;
		EXPECT_DOUBLE_EQ(token_bucket_count(&b, now), row.count);
		EXPECT_EQ(
		    token_bucket_wait_us(&b, now, row.wanted), row.wait_us);
	}
}

/* However they are spread, at most rate * time + burst events are allowed. */
TEST(TokenBucket, any_span_has_at_most_the_rate_and_a_burst)
{
	for (uint64_t step_us : {1000u, 70000u, 333333u}) {
		struct token_bucket b = {};
		std::vector<uint64_t> taken;

		token_bucket_reset(&b, 0, 3, 2, 0);
		for (uint64_t now = 0; now < 60 * kS; now += step_us)
			if (token_bucket_wait_us(&b, now, 1) == 0) {
				token_bucket_take(&b, now);
				taken.push_back(now);
			}
		EXPECT_GE(taken.size(), step_us > kS / 4 ? 120u : 170u);
		for (size_t i = 0; i < taken.size(); i++)
			for (size_t k = i; k < taken.size(); k++)
				EXPECT_LE((double)(k - i + 1),
				    3.0 * (double)(taken[k] - taken[i]) / kS +
					2 + 1e-6);
	}
}

TEST(TokenBucket, tokens_taken_in_advance_are_missing_later)
{
	struct token_bucket b = {};

	token_bucket_reset(&b, 0, 1, 1, 0);
	token_bucket_take(&b, 0);
	EXPECT_DOUBLE_EQ(token_bucket_count(&b, 0), -1);
	EXPECT_EQ(token_bucket_wait_us(&b, 0, 1), 2 * kS + 1);
	/* a clock that reads an earlier time adds nothing */
	token_bucket_reset(&b, kS, 1, 1, 0);
	EXPECT_DOUBLE_EQ(token_bucket_count(&b, 0), 0);
}
