#include <gtest/gtest.h>

#include <set>

#include "quota/quota_guard_names.h"

extern "C" {
#include "quota/quota_ledger.h"
}

static const uint64_t kMs = 1000;
static const uint64_t kX = 11, kY = 22; /* processes of entries */

/* A ledger with the account "a": 100 a second and a burst of 100. */
class LedgerTest : public ::testing::Test {
      protected:
	quota_ledger *l = quota_ledger_create();
	uint64_t now_us = 1000000 * kMs;
	uint64_t last_number = 0;
	quota_grant grant = {};
	int unit = QUOTA_UNIT_ANY; /* of asks */

	static void
	SetUpTestSuite()
	{
		(void)guard_off(kGuards);
	}
	void
	SetUp() override
	{
		Set(100, 100);
		(void)quota_ledger_begin(l, "a", 1, now_us);
		now_us += 3000 * kMs;
	}
	void
	TearDown() override
	{
		quota_ledger_destroy(l);
	}
	void
	Set(uint64_t rate, uint64_t burst, int unit = 0, uint64_t usual = 0)
	{
		quota_limit limit = {unit, rate, burst, usual};
		quota_ledger_set(l, now_us, "a", &limit);
		quota_ledger_sweep(l);
	}
	/* What is granted; -1: no answer. */
	int
	Ask(uint64_t entry, uint64_t wanted, uint64_t forecast = 0,
	    uint64_t held = 0, uint64_t returned = 0, uint64_t number = 0,
	    uint64_t ahead = 0)
	{
		quota_ask ask = {unit, number != 0 ? number : ++last_number,
		    wanted, wanted > 0 ? 1u : 0u, forecast, ahead, returned,
		    held};
		return quota_ledger_ask(
			   l, now_us, "a", {entry, 0}, &ask, &grant)
		    ? (int)grant.tokens
		    : -1;
	}
};

/* Guards against a full bucket beside tokens that an entry still holds. */
TEST_F(LedgerTest, granted_tokens_count_in_the_cap)
{
	EXPECT_EQ(41, Ask(kX, 1, 40));
	now_us += 800 * kMs;
	EXPECT_EQ(59, Ask(kY, 100));
	EXPECT_GT(grant.wait_ms, 0u);
}

/* Guards against room that is never given back after an entry's death. */
TEST_F(LedgerTest, a_grant_is_outstanding_for_its_lifetime_and_a_margin)
{
	EXPECT_EQ(41, Ask(kX, 1, 40));
	EXPECT_EQ(QUOTA_LIFETIME_MS, grant.lifetime_ms);
	now_us += 1040 * kMs;
	EXPECT_EQ(59, Ask(kY, 100));
	now_us += 1100 * kMs;
	EXPECT_EQ(100, Ask(kY, 100, 0, 0));
	EXPECT_EQ(QUOTA_LARGE_LIFETIME_MS, grant.lifetime_ms);
}

/* Guards against use beyond the burst by what the former owner granted. */
TEST_F(LedgerTest, a_new_owner_leaves_room_for_half_of_the_burst)
{
	EXPECT_TRUE(quota_ledger_begin(l, "a", 2, now_us));
	EXPECT_FALSE(quota_ledger_begin(l, "a", 2, now_us));
	now_us += 209 * kMs;
	EXPECT_EQ(-1, Ask(kY, 1));
	now_us += 831 * kMs;
	EXPECT_EQ(50, Ask(kY, 100));
	now_us += 2000 * kMs;
	EXPECT_EQ(100, Ask(kY, 100));
}

class LedgerAheadTest : public LedgerTest {
      protected:
	/* 800 of which 600 may be granted ahead, to one entry and another */
	void
	SetUp() override
	{
		LedgerTest::SetUp();
		Set(400, 800, 0, 1);
		now_us += 6000 * kMs;
	}
	uint64_t
	Ahead(uint64_t entry, uint64_t wanted, uint64_t ahead,
	    uint64_t held = 0, uint64_t returned = 0)
	{
		(void)Ask(entry, wanted, 50, held, returned, 0, ahead);
		return grant.ahead;
	}
	std::set<uint64_t>
	Recalls()
	{
		std::set<uint64_t> processes;
		quota_entry entry;
		while (quota_ledger_next_recall(l, "a", &entry))
			processes.insert(entry.process);
		return processes;
	}
};

/* Guards against one entry that gets all, and a bucket without a rest. */
TEST_F(LedgerAheadTest, entries_get_equal_parts_of_three_quarters)
{
	EXPECT_EQ(20u, Ahead(kX, 10, 20));
	EXPECT_EQ(10u, grant.tokens) << "no forecast beside it";
	EXPECT_EQ(QUOTA_LARGE_LIFETIME_MS, grant.lifetime_ms);
	EXPECT_EQ(QUOTA_AHEAD_LIFETIME_MS, grant.ahead_lifetime_ms);
	EXPECT_EQ(300u, Ahead(kY, 1, 1000));
	for (uint64_t entry = 100; entry < 200; entry++) {
		now_us += 20 * kMs; /* 8 tokens */
		(void)Ahead(entry, 1, 1000);
	}
	EXPECT_LE(quota_ledger_at(l, 0).outstanding, 600u + 100u);
	EXPECT_GE(quota_ledger_at(l, 0).outstanding, 590u);
}

/* Guards against use beyond the burst by what is held for 5 s. */
TEST_F(LedgerAheadTest, it_is_outstanding_until_it_has_surely_ended)
{
	EXPECT_EQ(300u, Ahead(kY, 1, 300, 0, 0));
	now_us += 5240 * kMs;
	EXPECT_EQ(500, Ask(kX, 800));
	now_us += 200 * kMs; /* both have ended, and are used */
	EXPECT_EQ(80, Ask(kX, 800)) << "filled at the rate only";
}

/* Guards against room for tokens that an entry still holds. */
TEST_F(LedgerAheadTest, what_is_held_counts_for_the_longest_time)
{
	EXPECT_EQ(300u, Ahead(kY, 10, 300));
	(void)Ask(kY, 0, 0, 200); /* it holds 200 of the 310 */
	now_us += 1100 * kMs;
	EXPECT_EQ(600, Ask(kX, 800));
}

/* Guards against requests that are refused for what idle entries hold. */
TEST_F(LedgerAheadTest, it_is_recalled_for_an_ask_that_is_not_covered)
{
	EXPECT_EQ(300u, Ahead(kX, 1, 300));
	EXPECT_EQ(200u, Ahead(kY, 1, 200));
	(void)Recalls();
	EXPECT_EQ(298, Ask(3, 700));
	EXPECT_LE(grant.wait_ms, 100u) << "it comes back soon";
	EXPECT_EQ((std::set<uint64_t>{kX, kY}), Recalls());
	EXPECT_TRUE(Recalls().empty());
	EXPECT_FALSE(quota_ledger_at(l, 0).is_exhausted);
	EXPECT_EQ(-1, Ask(kX, 0, 0, 0, 300));
	EXPECT_EQ(-1, Ask(kY, 0, 0, 0, 200));
	now_us += 10 * kMs;
	EXPECT_EQ(402, Ask(3, 402, 0, 298));
	EXPECT_EQ(0u, Ahead(kX, 1, 10)) << "not so soon after that";
}

/* Guards against a wait for what never comes back: a recall is lost. */
TEST_F(LedgerAheadTest, an_unanswered_recall_ends_in_a_refusal)
{
	EXPECT_EQ(300u, Ahead(kX, 1, 300));
	(void)Ask(kY, 700);
	EXPECT_EQ(1u, Recalls().size());
	EXPECT_FALSE(quota_ledger_at(l, 0).is_exhausted);
	now_us += 31 * kMs;
	(void)Ask(kY, 300, 0, 499);
	EXPECT_TRUE(quota_ledger_at(l, 0).is_exhausted);
	EXPECT_TRUE(Recalls().empty());
	now_us += 200 * kMs;
	(void)Ask(kY, 300, 0, 499);
	EXPECT_EQ(1u, Recalls().size()) << "once more";
}

TEST_F(LedgerAheadTest, a_new_owner_leaves_room_for_it)
{
	EXPECT_TRUE(quota_ledger_begin(l, "a", 2, now_us));
	now_us += 5240 * kMs;
	EXPECT_EQ(200, Ask(kX, 800));
	now_us += 3000 * kMs;
	EXPECT_EQ(800, Ask(kX, 800));
}

/* Guards against a quarter of the burst that holds no request. */
TEST_F(LedgerAheadTest, small_bursts_and_unknown_sizes_have_nothing_ahead)
{
	struct {
		uint64_t rate, burst, usual, ahead;
	} cases[] = {{400, 800, 25, 20}, {400, 800, 26, 0}, {400, 800, 0, 0},
	    {800, 800, 1, 20}, {801, 800, 1, 0}};

	for (auto &c : cases) {
		Set(c.rate, c.burst, 0, c.usual);
		(void)quota_ledger_begin(l, "a", ++last_number + 5, now_us);
		now_us += 6000 * kMs;
		EXPECT_EQ(c.ahead, Ahead(kX, 1, 20))
		    << c.rate << " " << c.usual;
	}
}

/* Guards against an early ask, come late, that hides what is held since. */
TEST_F(LedgerTest, a_repeated_or_late_ask_changes_nothing)
{
	EXPECT_EQ(-1, Ask(kX, 0, 0, 0, 0, 5));
	EXPECT_EQ(41, Ask(kX, 1, 40, 0, 0, 6));
	EXPECT_EQ(41, Ask(kX, 1, 40, 0, 0, 6));
	EXPECT_EQ(-1, Ask(kX, 0, 0, 0, 0, 5));
	now_us += 800 * kMs;
	last_number = 10;
	EXPECT_EQ(59, Ask(kY, 100));
}

TEST_F(LedgerTest, an_ask_settles_what_is_used_and_returns_the_rest)
{
	EXPECT_EQ(41, Ask(kX, 1, 40));
	EXPECT_EQ(-1, Ask(kX, 0, 0, 11, 20)); /* 10 are used */
	EXPECT_EQ(79, Ask(kY, 100));
}

/* Guards against tokens that are returned and were never granted here. */
TEST_F(LedgerTest, only_what_is_outstanding_can_be_returned)
{
	EXPECT_EQ(100, Ask(kX, 100));
	EXPECT_EQ(-1, Ask(kY, 0, 0, 0, 100));
	EXPECT_EQ(0, Ask(kY, 100));
}

TEST_F(LedgerTest, a_changed_quota_is_in_force_at_once)
{
	struct {
		uint64_t rate, burst;
		int unit, granted;
	} cases[] = {{100, 30, 0, 30}, {100, 200, 0, 100}, {10, 100, 0, 100},
	    {100, 100, 1, -1}};

	for (auto &c : cases) {
		Set(100, 100);
		(void)quota_ledger_begin(l, "a", ++last_number, now_us);
		now_us += 3000 * kMs;
		Set(c.rate, c.burst, c.unit);
		EXPECT_EQ(c.granted, Ask(kX, 100)) << c.rate << " " << c.burst;
		Set(100, 100, c.unit);
		now_us += 3000 * kMs;
	}
}

/* Guards against amounts of one unit granted as those of another. */
TEST_F(LedgerTest, asks_of_another_unit_are_not_answered)
{
	unit = 0;
	EXPECT_EQ(30, Ask(kX, 30));
	Set(100000, 100000, 1);
	now_us += 3000 * kMs;
	EXPECT_EQ(-1, Ask(kX, 30)) << "its entry lacks the change";
	unit = 1;
	EXPECT_EQ(30000, Ask(kX, 30000));
	Set(100, 100, 0);
	now_us += 3000 * kMs;
	EXPECT_EQ(-1, Ask(kX, 30000));
	EXPECT_EQ(0u, quota_ledger_at(l, 0).outstanding);
	unit = 0;
	EXPECT_EQ(100, Ask(kX, 100, 0, 30000, 30000)) << "nothing is returned";
}

/* Guards against tokens kept over a removal. */
TEST_F(LedgerTest, a_removed_account_begins_anew)
{
	quota_ledger_sweep(l);
	EXPECT_EQ(-1, Ask(kX, 1));
	Set(100, 100);
	now_us += 230 * kMs;
	EXPECT_EQ(2, Ask(kX, 100));
}

/* Guards against callers that come again all at the same time. */
TEST_F(LedgerTest, refused_callers_are_told_different_times)
{
	std::set<uint32_t> times;
	uint32_t longest = 0;

	EXPECT_EQ(100, Ask(kX, 100));
	for (uint64_t entry = 100; entry < 150; entry++) {
		EXPECT_EQ(0, Ask(entry, 20));
		times.insert(grant.wait_ms / 100);
		longest = std::max(longest, grant.wait_ms);
	}
	EXPECT_GE(times.size(), 25u);
	EXPECT_LE(longest, 5001u);
}

/* Guards against a forecast that takes what waiting requests need. */
TEST_F(LedgerTest, a_forecast_takes_half_of_what_is_left_at_most)
{
	EXPECT_EQ(20 + 30, Ask(kX, 20, 1000));
	EXPECT_EQ(20, Ask(kY, 20, 1000));
}

TEST_F(LedgerTest, an_exhausted_quota_is_reported_once_and_its_end)
{
	quota_account_state s;

	EXPECT_EQ(100, Ask(kX, 100));
	EXPECT_FALSE(quota_ledger_next_change(l, now_us, &s));
	EXPECT_EQ(0, Ask(kY, 50));
	EXPECT_TRUE(quota_ledger_next_change(l, now_us, &s));
	EXPECT_TRUE(s.is_exhausted);
	EXPECT_FALSE(quota_ledger_next_change(l, now_us, &s));
	now_us += 1000 * kMs;
	EXPECT_TRUE(quota_ledger_next_change(l, now_us, &s));
	EXPECT_FALSE(s.is_exhausted);
}
