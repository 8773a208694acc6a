#include "forward_fixture.h"

/* Requests with a quarantined prompt part, and what is observed of others. */
class Quarantined : public ForwardTest {};

TEST_F(Quarantined, a_request_is_refused_at_once_as_not_run)
{
	is_quarantined = true;
	StartRequest();
	EXPECT_EQ(status, 503);
	EXPECT_EQ(retry_after, "") << "a retry would be refused as well";
	EXPECT_EQ(ask_count, 0U);
	EXPECT_EQ(forward_request_count(f), 0U);
}

TEST_F(Quarantined, open_requests_are_refused_by_what_may_have_run)
{
	static const struct {
		const char *name;
		bool is_granted, has_head, has_data;
		int status; /* 0: it goes on */
	} rows[] = {
	    {"waits for a grant", false, false, false, 503},
	    {"sent", true, false, false, 502},
	    {"answered with a head only", true, true, false, 502},
	    {"being answered", true, true, true, 0},
	};

	route.kind = GW_STREAM;
	for (auto &row : rows) {
		SCOPED_TRACE(row.name);
		is_quarantined = is_cancelled = false;
		status = 0;
		outcomes.clear();
		StartRequest();
		if (row.is_granted) {
			ASSERT_TRUE(Grant());
		}
		if (row.has_head)
			ReceiveSignedHead();
		if (row.has_data)
			ReceiveCallEvent(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
		if (row.has_data)
			status = 0;
		is_quarantined = true;
		forward_refuse_quarantined(f, now_us, fx);
		ApplyEffects();
		EXPECT_EQ(status, row.status);
		EXPECT_EQ(retry_after, "");
		EXPECT_EQ(is_cancelled, row.is_granted && row.status != 0);
		if (row.status != 0) {
			EXPECT_EQ(outcomes,
			    std::vector<place_outcome>{PLACE_ABANDONED});
		}
	}
}

/*
 * Guards against a stream that is resumed at a further engine after the
 * verdict: the caller has its head, and it waits for a grant, or was sent.
 */
TEST_F(Quarantined, a_stream_is_not_resumed_after_the_verdict)
{
	route.kind = GW_STREAM;
	route.resumable = true;
	for (bool is_sent : {false, true}) {
		is_quarantined = is_aborted = is_cancelled = false;
		status = 0;
		StartRequest();
		ASSERT_TRUE(Grant("i-1"));
		ReceiveSignedHead();
		ReceiveCallEvent(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
		ReceiveBroken(true);
		if (is_sent) {
			ASSERT_TRUE(Grant("i-2"));
		}
		is_quarantined = true;
		forward_refuse_quarantined(f, now_us, fx);
		ApplyEffects();
		EXPECT_TRUE(is_aborted);
		EXPECT_EQ(is_cancelled, is_sent);
		EXPECT_EQ(forward_request_count(f), 0U);
	}
}

/* Guards against a repeat that ends a further engine. */
TEST_F(Quarantined, a_request_under_which_endpoints_ended_is_not_repeated)
{
	is_repeat_refused = true;
	StartRequest();
	ASSERT_TRUE(Grant());
	ReceiveCallEvent(NODE_CALL_BROKEN);
	EXPECT_EQ(status, 502) << "it may have run";
	EXPECT_EQ(ask_count, 1U);
}

TEST_F(Quarantined, closed_and_served_requests_are_observed)
{
	static const struct {
		const char *name;
		bool closed_by_peer;
		uint64_t answering_ms; /* before the break; 0: no byte */
		std::vector<std::string> observed;
	} rows[] = {
	    {"closed before the answer", true, 0, {"i-1 ended"}},
	    {"closed soon", true, 200, {"i-1 ended"}},
	    {"closed after a while", true, 1500, {}},
	    {"silent", false, 200, {}},
	};

	route.kind = GW_STREAM;
	for (auto &row : rows) {
		SCOPED_TRACE(row.name);
		status = 0;
		observed.clear();
		StartRequest(9000);
		ASSERT_TRUE(Grant());
		if (row.answering_ms > 0) {
			ReceiveSignedHead();
			ReceiveCallEvent(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
			now_us += row.answering_ms * MS;
		}
		ReceiveBroken(row.closed_by_peer);
		EXPECT_EQ(observed, row.observed);
	}
	status = 0;
	StartRequest();
	ASSERT_TRUE(Grant());
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
	ReceiveCallEvent(NODE_CALL_END);
	EXPECT_EQ(observed, std::vector<std::string>{"i-1 served"});
}
