#include "forward_fixture.h"

/* Charges of requests to the quotas of their accounts. */
class Charge : public ForwardTest {
      protected:
	void
	SetUp() override
	{
		ForwardTest::SetUp();
		account = "a";
	}
};

/* Guards against a request that is placed before it has its tokens. */
TEST_F(Charge, a_request_is_placed_once_it_has_its_tokens)
{
	is_charge_late = true;
	StartRequest();
	EXPECT_EQ(0u, ask_count);
	forward_on_charged(f, now_us, charged_ask, fx);
	ApplyEffects();
	EXPECT_EQ(1u, ask_count);
	EXPECT_EQ(1, charges);
	ASSERT_TRUE(Grant());
}

TEST_F(Charge, requests_without_an_account_are_not_charged)
{
	account.clear();
	StartRequest();
	EXPECT_EQ(1u, ask_count);
	EXPECT_EQ(0, charges);
}

struct ChargeCase {
	const char *name;
	/* of the attempts: N not sent, F refused by the endpoint, B broken */
	const char *attempts;
	bool ends_late; /* at the deadline, without another attempt */
	int charges, refunds;
};

/*
 * Guards against attempts that run without a charge, against two charges for
 * one run, and against a charge for a request that never ran.
 */
TEST_F(Charge, a_request_is_charged_once_for_each_run)
{
	const ChargeCase cases[] = {
	    {"served at once", "", false, 1, 0},
	    {"not reached, then served", "N", false, 1, 0},
	    {"refused by an endpoint, then served", "F", false, 1, 0},
	    {"broken, then served", "B", false, 2, 0},
	    {"not reached, broken, then served", "NB", false, 2, 0},
	    {"never placed", "", true, 1, 1},
	    {"not reached, then late", "N", true, 1, 1},
	    {"refused by endpoints, then late", "FF", true, 1, 1},
	    {"broken, then late", "B", true, 2, 1},
	};

	for (auto &c : cases) {
		charges = refunds = status = 0;
		body = "";
		StartRequest();
		for (const char *a = c.attempts; *a != 0; a++) {
			ASSERT_TRUE(Grant()) << c.name;
			if (*a == 'N')
				ReceiveCallEvent(NODE_CALL_NOT_SENT);
			else if (*a == 'B')
				ReceiveCallEvent(NODE_CALL_BROKEN);
			else
				ReceiveHead(503,
				    {{"Mulberrypath-Attempt-Id", "42"},
					{"Mulberrypath-Not-Executed", "1"}});
		}
		if (c.ends_late) {
			now_us += 2000 * MS;
			forward_tick(f, now_us, fx);
			ApplyEffects();
		} else {
			ASSERT_TRUE(Grant()) << c.name;
			ReceiveSignedHead();
			ReceiveCallEvent(NODE_CALL_END);
		}
		EXPECT_NE(0, status) << c.name;
		EXPECT_EQ(c.charges, charges) << c.name;
		EXPECT_EQ(c.refunds, refunds) << c.name;
		EXPECT_EQ(0u, forward_request_count(f)) << c.name;
	}
}

/* Guards against tokens for a request whose caller has gone. */
TEST_F(Charge, a_request_that_ends_waits_no_longer_for_tokens)
{
	is_charge_late = true;
	StartRequest();
	EXPECT_TRUE(forward_on_caller_gone(f, now_us, last_request, fx));
	EXPECT_EQ(1, cancelled_charges);
	EXPECT_EQ(0, refunds);
	forward_on_charged(f, now_us, charged_ask, fx);
	EXPECT_EQ(0u, ask_count);
}

TEST_F(Charge, over_the_quota_a_request_is_refused_as_not_run)
{
	is_charge_late = true;
	StartRequest();
	forward_on_refusal(f, now_us, charged_ask, GW_REFUSE_OVER_QUOTA,
	    "over-quota", 1500, fx);
	ApplyEffects();
	EXPECT_EQ(429, status);
	EXPECT_EQ("1.500", retry_after);
	EXPECT_EQ(0, cancelled_charges + refunds);
}

/* Guards against "not run" for a request that may have run. */
TEST_F(Charge, a_retry_over_the_quota_is_not_reported_as_not_run)
{
	StartRequest();
	ASSERT_TRUE(Grant());
	is_charge_late = true;
	ReceiveCallEvent(NODE_CALL_BROKEN);
	EXPECT_EQ(1u, ask_count);
	forward_on_refusal(f, now_us, charged_ask, GW_REFUSE_OVER_QUOTA,
	    "over-quota", 1500, fx);
	ApplyEffects();
	EXPECT_EQ(502, status);
	EXPECT_EQ("", retry_after);
}
