#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "util/byte_budget.h"

static const uint64_t kMiB = 1 << 20;

class ByteBudget : public ::testing::Test {
      protected:
	byte_budget *b = byte_budget_create(64 * kMiB);

	void
	TearDown() override
	{
		byte_budget_destroy(b);
	}

	uint64_t
	Used()
	{
		return byte_budget_get_stats(b).used_bytes;
	}
};

/* The window shrinks as the budget is used, and never below its minimum. */
TEST_F(ByteBudget, the_window_follows_what_is_left)
{
	static const struct {
		uint64_t used, window;
	} rows[] = {
	    {0, 4 * kMiB},
	    {8 * kMiB, 3 * kMiB},
	    {24 * kMiB, kMiB},
	    {31 * kMiB, kMiB / 8},
	    {32 * kMiB, BYTE_BUDGET_WINDOW_MIN},
	    {64 * kMiB, BYTE_BUDGET_WINDOW_MIN},
	    {80 * kMiB, BYTE_BUDGET_WINDOW_MIN},
	};

	for (auto &row : rows) {
		byte_budget_change(b, Used(), row.used);
		EXPECT_EQ(byte_budget_window(b), row.window) << row.used;
		EXPECT_EQ(byte_budget_is_exceeded(b), row.used > 64 * kMiB);
	}
	EXPECT_EQ(byte_budget_window(nullptr), BYTE_BUDGET_WINDOW_MAX);
	EXPECT_FALSE(byte_budget_is_exceeded(nullptr));
}

/*
 * The load: readers that take nothing, all at once. Each source stops once its
 * reader's queue is over the window; what it has read by then is one piece.
 */
TEST_F(ByteBudget, thousands_of_readers_that_take_nothing_stay_within_it)
{
	std::vector<uint64_t> held(3000, 0);
	bool has_sent = true;

	while (has_sent) {
		has_sent = false;
		for (auto &h : held) {
			size_t window = byte_budget_window(b);
			uint64_t piece = std::min<size_t>(window, 65536);

			if (h > window)
				continue;
			byte_budget_change(b, h, h + piece);
			h += piece;
			has_sent = true;
		}
	}
	EXPECT_LE(byte_budget_get_stats(b).max_used_bytes, 64 * kMiB);
	EXPECT_GT(*std::min_element(held.begin(), held.end()), 0u);
}

/* A few slow readers of large responses are buffered as a whole. */
TEST_F(ByteBudget, few_slow_readers_are_not_held_up)
{
	for (int i = 0; i < 5; i++) {
		EXPECT_GE(byte_budget_window(b), 2 * kMiB) << i;
		byte_budget_change(b, 0, 2 * kMiB);
	}
}

/* Large holders are refused before small ones. */
TEST_F(ByteBudget, admits_half_of_what_is_left)
{
	EXPECT_TRUE(byte_budget_admits(b, 32 * kMiB));
	EXPECT_FALSE(byte_budget_admits(b, 32 * kMiB + 1));
	byte_budget_change(b, 0, 60 * kMiB);
	EXPECT_TRUE(byte_budget_admits(b, 2 * kMiB));
	EXPECT_FALSE(byte_budget_admits(b, 4 * kMiB));
	byte_budget_change(b, 60 * kMiB, 70 * kMiB);
	EXPECT_FALSE(byte_budget_admits(b, 1));
	EXPECT_TRUE(byte_budget_admits(b, 0));
	EXPECT_TRUE(byte_budget_admits(nullptr, UINT64_MAX));
}

/*
 * Guards against extensions that leave no memory for small windows and bodies,
 * and against ones too small to let a source make progress.
 */
TEST_F(ByteBudget, extends_windows_within_three_quarters)
{
	EXPECT_EQ(byte_budget_extension(b), byte_budget_window(b));
	byte_budget_change(b, 0, 40 * kMiB);
	EXPECT_EQ(byte_budget_extension(b), BYTE_BUDGET_EXTENSION_MIN);
	byte_budget_change(b, 40 * kMiB, 48 * kMiB - (64 << 10));
	EXPECT_EQ(byte_budget_extension(b), BYTE_BUDGET_EXTENSION_MIN);
	byte_budget_change(b, 0, 1);
	EXPECT_EQ(byte_budget_extension(b), 0u);
	EXPECT_EQ(byte_budget_extension(nullptr), 0u);
}

TEST_F(ByteBudget, counts_what_it_did)
{
	byte_budget_stats s;

	byte_budget_count_extension(b);
	byte_budget_count_pause(b);
	byte_budget_count_refusal(b);
	byte_budget_count_cut(b);
	byte_budget_change(b, 0, 10);
	byte_budget_change(b, 10, 3);
	s = byte_budget_get_stats(b);
	EXPECT_EQ(s.pauses + s.refusals + s.cuts, 3u);
	EXPECT_EQ(s.extensions, 1u);
	EXPECT_EQ(s.used_bytes, 3u);
	EXPECT_EQ(s.max_used_bytes, 10u);
	EXPECT_EQ(byte_budget_get_stats(nullptr).limit_bytes, 0u);
}
