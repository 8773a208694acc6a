/* Checks of a granted request at the moment of sending. */

#include "forward_fixture.h"

class Check : public ForwardTest {};

/*
 * Guards against a request that is sent on a route, or charged to an account,
 * that is gone by then, and against a "not run" for one that may have run.
 */
TEST_F(Check, a_request_is_refused_if_its_decision_no_longer_holds)
{
	static const struct {
		forward_verdict verdict;
		uint32_t retry_after_ms;
		bool may_have_run;
		int status;
		const char *retry_after;
	} rows[] = {
	    {FORWARD_NO_ROUTE, 0, false, 404, ""},
	    {FORWARD_UNAUTHORIZED, 0, false, 401, ""},
	    {FORWARD_OUTDATED, 300, false, 503, "0.300"},
	    {FORWARD_NO_ROUTE, 0, true, 502, ""},
	    {FORWARD_UNAUTHORIZED, 0, true, 502, ""},
	    {FORWARD_OUTDATED, 300, true, 502, ""},
	};

	for (auto &row : rows) {
		uint64_t calls;

		status = 0;
		retry_after = "";
		outcomes.clear();
		verdict = FORWARD_SEND;
		StartRequest();
		if (row.may_have_run) {
			ASSERT_TRUE(Grant());
			ReceiveCallEvent(NODE_CALL_BROKEN);
		}
		calls = call_count;
		verdict = row.verdict;
		verdict_retry_after_ms = row.retry_after_ms;
		EXPECT_TRUE(Grant("i-2"));
		EXPECT_EQ(call_count, calls) << "sent";
		EXPECT_EQ(status, row.status);
		EXPECT_EQ(retry_after, row.retry_after);
		ASSERT_FALSE(outcomes.empty());
		EXPECT_EQ(outcomes.back(), PLACE_ABANDONED)
		    << "the place is returned";
		EXPECT_EQ(forward_request_count(f), 0u);
	}
	EXPECT_EQ(forward_get_stats(f)->outdated, 6u);
}

TEST_F(Check, each_sending_is_checked)
{
	StartRequest();
	ASSERT_TRUE(Grant("i-1"));
	ReceiveCallEvent(NODE_CALL_NOT_SENT);
	ASSERT_TRUE(Grant("i-2"));
	ASSERT_EQ(checks.size(), 2u);
	EXPECT_EQ(checks[0], "i-1 s /x 1");
	EXPECT_EQ(checks[1], "i-2 s /x 1");
}

/* The caller has part of the answer, so it can't get another status. */
TEST_F(Check, a_stream_is_not_resumed_for_an_account_that_is_gone)
{
	route.kind = GW_STREAM;
	route.resumable = true;
	StartRequest();
	ASSERT_TRUE(Grant("i-1"));
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
	ReceiveCallEvent(NODE_CALL_BROKEN);
	verdict = FORWARD_UNAUTHORIZED;
	ASSERT_TRUE(Grant("i-2"));
	EXPECT_TRUE(is_aborted);
	EXPECT_EQ(call_count, 1u);
}

/*
 * Guards against a request that an entry sends long after the placer's
 * decision, to an endpoint that has begun to leave since.
 */
TEST_F(Check, an_old_grant_is_returned)
{
	StartRequest();
	grant_age_us = 600 * MS;
	ASSERT_TRUE(Grant());
	EXPECT_EQ(call_count, 1u);
	EXPECT_EQ(not_after_us, now_us + 400 * MS)
	    << "the rest of the time in which it may be sent";
	StartRequest();
	grant_age_us = 1000 * MS;
	ask_count = 0;
	for (int n = 0; n < 9 && status == 0; n++)
		ASSERT_TRUE(Grant());
	EXPECT_EQ(call_count, 1u) << "sent";
	EXPECT_EQ(status, 503);
	EXPECT_LE(ask_count, 5u);
}

/* Guards against counters without a bound, as operators add accounts. */
TEST_F(Check, requests_are_counted_by_a_bounded_number_of_accounts)
{
	const forward_account *a;
	size_t n = 0;

	EXPECT_EQ(forward_account_at(f, 0), nullptr);
	for (int i = 0; i < 120; i++) {
		account = "a" + std::to_string(i);
		status = 0;
		verdict = i % 2 == 0 ? FORWARD_SEND : FORWARD_UNAUTHORIZED;
		StartRequest();
		ASSERT_TRUE(Grant());
		if (verdict == FORWARD_SEND) {
			ReceiveSignedHead();
			now_us += 1000;
			ReceiveCallEvent(NODE_CALL_END);
		}
	}
	while ((a = forward_account_at(f, n)) != nullptr)
		n++;
	ASSERT_EQ(n, 101u);
	a = forward_account_at(f, 2);
	EXPECT_STREQ(a->name, "a2");
	EXPECT_EQ(a->served, 1u);
	EXPECT_EQ(a->total_us.count, 1u);
	a = forward_account_at(f, 100);
	EXPECT_STREQ(a->name, "(others)");
	EXPECT_EQ(a->served, 10u);
	EXPECT_EQ(a->refused, 10u);
}

/*
 * Guards against a request of a revoked key that waits, and takes a place in
 * the queue, until it is granted. What is with an endpoint goes on.
 */
TEST_F(Check, waiting_requests_are_refused_at_once)
{
	uint64_t sent;

	StartRequest();
	ASSERT_TRUE(Grant());
	sent = call;
	StartRequest();
	outcomes.clear();
	verdict = FORWARD_UNAUTHORIZED;
	forward_refuse_outdated(f, now_us, fx);
	ApplyEffects();
	EXPECT_EQ(status, 401);
	EXPECT_EQ(forward_request_count(f), 1u);
	ASSERT_EQ(outcomes.size(), 1u);
	EXPECT_EQ(outcomes[0], PLACE_ABANDONED);
	status = 0;
	call = sent;
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_END);
	EXPECT_EQ(status, 200);
}
