#include <gtest/gtest.h>

#include <map>

#include "quota/quota_guard_names.h"

extern "C" {
#include "quota/quota_share.h"
}

static const uint64_t kMs = 1000;

/* An entry with the account "a"; the test acts as the owner. */
class ShareTest : public ::testing::Test {
      protected:
	quota_share *s = quota_share_create();
	uint64_t now_us = 1000000 * kMs;
	quota_ask ask = {};
	std::map<uint64_t, quota_decision> decisions;

	static void
	SetUpTestSuite()
	{
		(void)guard_off(kGuards);
	}
	void
	SetUp() override
	{
		Set(100, 100);
	}
	void
	TearDown() override
	{
		quota_share_destroy(s);
	}
	void
	Set(uint64_t rate, uint64_t burst, int unit = 0)
	{
		quota_limit limit = {unit, rate, burst, 0};
		quota_share_set(s, "a", &limit);
		quota_share_sweep(s);
	}
	quota_verdict
	Acquire(uint64_t request, uint64_t tokens)
	{
		decisions[request] =
		    quota_share_acquire(s, now_us, "a", request, tokens);
		return decisions[request].verdict;
	}
	bool
	Asks()
	{
		const char *account;
		return quota_share_next_ask(s, now_us, &account, &ask);
	}
	void
	Grant(uint64_t tokens, uint32_t wait_ms = 0, uint32_t life_ms = 1000,
	    uint64_t ahead = 0)
	{
		quota_grant g = {
		    ask.number, tokens, life_ms, wait_ms, ahead, 5000};
		quota_share_on_grant(s, now_us, "a", &g);
		Decide();
	}
	void
	Decide()
	{
		quota_decision d;
		while (quota_share_next_decision(s, now_us, &d))
			decisions[d.request] = d;
	}
	quota_verdict
	VerdictOf(uint64_t request)
	{
		return decisions[request].verdict;
	}
};

TEST_F(ShareTest, a_request_waits_for_a_grant_and_the_next_one_does_not)
{
	EXPECT_EQ(QUOTA_WAITING, Acquire(1, 10));
	ASSERT_TRUE(Asks());
	EXPECT_EQ(10u, ask.wanted);
	EXPECT_EQ(10u, ask.first);
	EXPECT_GE(ask.forecast, 10u);
	EXPECT_FALSE(Asks()) << "one ask is under way at a time";
	Grant(25);
	EXPECT_EQ(QUOTA_ADMITTED, VerdictOf(1));
	EXPECT_EQ(QUOTA_ADMITTED, Acquire(2, 10));
	EXPECT_EQ(QUOTA_WAITING, Acquire(3, 10));
}

/* Guards against the use of a grant whose room the owner has given away. */
TEST_F(ShareTest, a_grant_ends_before_its_lifetime)
{
	Acquire(1, 10);
	ASSERT_TRUE(Asks());
	now_us += 60 * kMs; /* on its way: the lifetime counts from the ask */
	Grant(30);
	now_us += 889 * kMs;
	EXPECT_EQ(QUOTA_ADMITTED, Acquire(2, 10));
	now_us += 2 * kMs;
	EXPECT_EQ(QUOTA_WAITING, Acquire(3, 10));
}

/* Guards against tokens that are used twice. */
TEST_F(ShareTest, a_repeated_or_late_grant_is_ignored)
{
	quota_ask first;

	Acquire(1, 10);
	ASSERT_TRUE(Asks());
	first = ask;
	Grant(10);
	Grant(10);
	EXPECT_EQ(QUOTA_WAITING, Acquire(2, 10));
	ASSERT_TRUE(Asks());
	std::swap(first, ask);
	Grant(10);
	EXPECT_EQ(QUOTA_WAITING, VerdictOf(2));
}

/* Guards against a request that waits for an owner that is gone. */
TEST_F(ShareTest, without_an_answer_a_request_is_refused_after_250_ms)
{
	Acquire(9, 10);
	ASSERT_TRUE(Asks());
	Grant(10); /* an owner has answered since the start */
	Decide();
	Acquire(1, 10);
	ASSERT_TRUE(Asks());
	now_us += 100 * kMs;
	uint64_t number = ask.number;
	ASSERT_TRUE(Asks()) << "sent once more";
	EXPECT_EQ(number, ask.number);
	now_us += 149 * kMs;
	Decide();
	EXPECT_EQ(QUOTA_WAITING, VerdictOf(1));
	now_us += 1 * kMs;
	EXPECT_EQ(now_us, quota_share_next_us(s) > now_us ? 0 : now_us);
	Decide();
	EXPECT_EQ(QUOTA_UNKNOWN, VerdictOf(1));
}

/*
 * Guards against requests that are refused after a loss of all instances, just
 * before there are owners again.
 */
TEST_F(ShareTest, before_the_first_answer_a_request_waits_for_750_ms)
{
	Acquire(1, 10);
	ASSERT_TRUE(Asks());
	now_us += 749 * kMs;
	Decide();
	EXPECT_EQ(QUOTA_WAITING, VerdictOf(1));
	now_us += 1 * kMs;
	Decide();
	EXPECT_EQ(QUOTA_UNKNOWN, VerdictOf(1));
}

/*
 * Guards against an answer for one account that ends the longer wait of the
 * requests of others, whose owners have not answered yet.
 */
TEST_F(ShareTest, the_first_answer_shortens_no_wait_of_another_account)
{
	quota_limit limit = {0, 100, 100, 0};
	const char *account;

	quota_share_set(s, "a", &limit);
	quota_share_set(s, "b", &limit);
	quota_share_sweep(s);
	EXPECT_EQ(
	    QUOTA_WAITING, quota_share_acquire(s, now_us, "b", 2, 10).verdict);
	Acquire(1, 10);
	do
		ASSERT_TRUE(quota_share_next_ask(s, now_us, &account, &ask));
	while (std::string(account) != "a");
	now_us += 400 * kMs;
	Grant(10); /* for a */
	EXPECT_EQ(QUOTA_ADMITTED, VerdictOf(1));
	EXPECT_EQ(decisions.count(2), 0U) << "of b";
	now_us += 350 * kMs;
	Decide();
	EXPECT_EQ(QUOTA_UNKNOWN, VerdictOf(2));
}

/* Guards against refused callers that return together, and idle quotas. */
TEST_F(ShareTest, over_the_quota_all_are_refused_at_once_for_a_short_time)
{
	for (uint64_t request = 1; request <= 5; request++)
		Acquire(request, 10);
	ASSERT_TRUE(Asks());
	Grant(0, 2000);
	for (uint64_t request = 1; request <= 5; request++) {
		EXPECT_EQ(QUOTA_EXHAUSTED, VerdictOf(request));
		EXPECT_GE(
		    decisions[request].wait_ms, 2000u + 100 * (request - 1));
	}
	now_us += 40 * kMs;
	EXPECT_EQ(QUOTA_EXHAUSTED, Acquire(6, 10));
	EXPECT_FALSE(Asks());
	now_us += 20 * kMs;
	EXPECT_EQ(QUOTA_WAITING, Acquire(7, 10));
	EXPECT_TRUE(Asks());
}

/* Guards against refusals when the quota has enough a moment later. */
TEST_F(ShareTest, a_short_wait_is_waited_for)
{
	Acquire(1, 10);
	ASSERT_TRUE(Asks());
	Grant(0, 80);
	EXPECT_EQ(QUOTA_WAITING, VerdictOf(1));
	now_us += 79 * kMs;
	EXPECT_FALSE(Asks());
	now_us += 1 * kMs;
	ASSERT_TRUE(Asks());
	Grant(10);
	EXPECT_EQ(QUOTA_ADMITTED, VerdictOf(1));
}

TEST_F(ShareTest, a_partial_grant_serves_requests_in_order_of_arrival)
{
	Acquire(1, 30);
	Acquire(2, 30);
	Acquire(3, 5);
	ASSERT_TRUE(Asks());
	EXPECT_EQ(65u, ask.wanted);
	EXPECT_EQ(30u, ask.first);
	Grant(40, 900);
	EXPECT_EQ(QUOTA_ADMITTED, VerdictOf(1));
	EXPECT_EQ(QUOTA_EXHAUSTED, VerdictOf(2));
	EXPECT_EQ(QUOTA_ADMITTED, VerdictOf(3));
}

TEST_F(ShareTest, what_is_not_used_is_returned_and_then_nothing_is_sent)
{
	Acquire(1, 10);
	ASSERT_TRUE(Asks());
	Grant(40);
	EXPECT_FALSE(Asks());
	now_us += 300 * kMs;
	ASSERT_TRUE(Asks());
	EXPECT_EQ(30u, ask.returned);
	EXPECT_EQ(0u, ask.held);
	EXPECT_FALSE(Asks()) << "it needs no answer";
	now_us += 5000 * kMs;
	EXPECT_FALSE(Asks());
	EXPECT_EQ(UINT64_MAX, quota_share_next_us(s));
}

TEST_F(ShareTest, a_request_that_has_not_run_is_not_charged)
{
	Acquire(1, 10);
	ASSERT_TRUE(Asks());
	Grant(10);
	quota_share_refund(s, now_us, "a", 0, 10);
	EXPECT_EQ(QUOTA_ADMITTED, Acquire(2, 10));
}

TEST_F(ShareTest, a_request_larger_than_the_burst_is_refused_at_once)
{
	EXPECT_EQ(QUOTA_TOO_LARGE, Acquire(1, 101));
	EXPECT_EQ(QUOTA_WAITING, Acquire(2, 100));
	Set(100, 50);
	Decide();
	EXPECT_EQ(QUOTA_TOO_LARGE, VerdictOf(2));
}

/* Guards against tokens of one unit used as those of another. */
TEST_F(ShareTest, a_changed_unit_or_a_removal_drops_what_is_held)
{
	Acquire(1, 10);
	ASSERT_TRUE(Asks());
	Grant(40);
	Set(100, 100, 1);
	EXPECT_EQ(QUOTA_WAITING, Acquire(2, 10));
	quota_share_sweep(s);
	Decide();
	EXPECT_EQ(QUOTA_ADMITTED, VerdictOf(2)) << "no quota applies";
	EXPECT_EQ(QUOTA_ADMITTED, Acquire(3, 1000));
}

class ShareAheadTest : public ShareTest {
      protected:
	/* A request each 1.5 s; the third has tokens granted ahead. */
	void
	SetUp() override
	{
		Set(100, 100);
		for (uint64_t request = 1; request <= 3; request++) {
			now_us += 1500 * kMs;
			EXPECT_EQ(QUOTA_WAITING, Acquire(request, 10));
			EXPECT_TRUE(Asks());
			Grant(10, 0, 200, request < 3 ? 0 : 25);
			EXPECT_FALSE(Asks());
		}
	}
	void
	Recall()
	{
		quota_grant g = {};
		quota_share_on_grant(s, now_us, "a", &g);
	}
};

/* Guards against a message to the owner for each request. */
TEST_F(ShareAheadTest, it_serves_further_requests_without_messages)
{
	EXPECT_GE(ask.ahead, 15u);
	now_us += 1500 * kMs;
	EXPECT_EQ(QUOTA_ADMITTED, Acquire(4, 10));
	now_us += 1500 * kMs;
	EXPECT_EQ(QUOTA_ADMITTED, Acquire(5, 10));
	EXPECT_FALSE(Asks());
	EXPECT_EQ(UINT64_MAX, quota_share_next_us(s));
	now_us += 1500 * kMs;
	EXPECT_EQ(QUOTA_WAITING, Acquire(6, 10));
	ASSERT_TRUE(Asks());
	EXPECT_EQ(10u, ask.wanted);
	EXPECT_EQ(5u, ask.returned) << "the rest, for a new grant";
	EXPECT_EQ(0u, ask.held);
}

TEST_F(ShareAheadTest, it_ends_before_its_lifetime)
{
	now_us += 4749 * kMs;
	EXPECT_EQ(QUOTA_ADMITTED, Acquire(4, 10));
	now_us += 2 * kMs;
	EXPECT_EQ(QUOTA_WAITING, Acquire(5, 10));
}

/* Guards against tokens that idle entries hold while another needs them. */
TEST_F(ShareAheadTest, a_recall_has_it_returned)
{
	Recall();
	ASSERT_TRUE(Asks());
	EXPECT_EQ(25u, ask.returned);
	EXPECT_EQ(0u, ask.held);
	EXPECT_EQ(0u, ask.wanted + ask.forecast);
	EXPECT_FALSE(Asks());
	Recall();
	EXPECT_FALSE(Asks()) << "there is nothing to return";
	now_us += 1500 * kMs;
	EXPECT_EQ(QUOTA_WAITING, Acquire(4, 10));
}

/* Guards against use by the former quota for seconds. */
TEST_F(ShareAheadTest, a_lower_quota_drops_it_and_a_higher_one_does_not)
{
	Set(200, 200);
	EXPECT_EQ(QUOTA_ADMITTED, Acquire(4, 10));
	Set(200, 100);
	EXPECT_EQ(QUOTA_WAITING, Acquire(5, 10));
}

/*
 * Guards against requests admitted, and tokens used, by amounts of the former
 * unit: one request for a token, or 1,500 requests for one.
 */
TEST_F(ShareTest, amounts_of_a_former_unit_are_dropped)
{
	for (int unit : {0, 1}) {
		Set(100, 100, unit);
		EXPECT_EQ(QUOTA_WAITING, Acquire(1, 10));
		ASSERT_TRUE(Asks());
		EXPECT_EQ(unit, ask.unit);
		Grant(10); /* charged, and not run yet */
		EXPECT_EQ(QUOTA_WAITING, Acquire(2, 10));
		ASSERT_TRUE(Asks());
		Set(100, 100, 1 - unit);
		Decide();
		EXPECT_EQ(QUOTA_UNIT_CHANGED, VerdictOf(2));
		EXPECT_EQ(QUOTA_WAITING, Acquire(3, 10));
		Grant(50); /* late, in the former unit */
		EXPECT_EQ(QUOTA_WAITING, VerdictOf(3));
		quota_share_refund(s, now_us, "a", unit, 10);
		Decide();
		EXPECT_EQ(QUOTA_WAITING, VerdictOf(3));
		ASSERT_TRUE(Asks());
		EXPECT_EQ(1 - unit, ask.unit);
		EXPECT_EQ(0u, ask.held);
		Grant(10);
		EXPECT_EQ(QUOTA_ADMITTED, VerdictOf(3));
		quota_share_sweep(s); /* the account is removed */
		quota_share_sweep(s);
		now_us += 5000 * kMs;
	}
}

TEST_F(ShareTest, a_cancelled_request_takes_no_tokens)
{
	Acquire(1, 10);
	Acquire(2, 10);
	quota_share_cancel(s, "a", 1);
	ASSERT_TRUE(Asks());
	EXPECT_EQ(10u, ask.wanted);
	Grant(10);
	EXPECT_EQ(QUOTA_ADMITTED, VerdictOf(2));
}
