/*
 * Responses whose status is no number from 200 to 599. They are malformed: the
 * request may have run, and the caller never gets such a response.
 */

#include "forward_fixture.h"

class Status : public ForwardTest {};

static const int invalid_statuses[] = {
    INT32_MIN, -200, -1, 0, 20, 99, 100, 101, 199, 600, 999, 1000, INT32_MAX};

/* Each kind of request and what becomes of it. */
TEST_F(Status, a_response_with_an_invalid_status_is_not_relayed)
{
	static const struct {
		const char *what;
		gw_kind kind;
		bool resumable, is_retried;
	} rows[] = {{"idempotent", GW_IDEMPOTENT, false, true},
	    {"non-idempotent", GW_NON_IDEMPOTENT, false, false},
	    {"stream", GW_STREAM, false, false},
	    {"resumable stream", GW_STREAM, true, true}};

	for (auto &row : rows)
		for (int invalid : invalid_statuses) {
			SCOPED_TRACE(std::string(row.what) + " " +
			    std::to_string(invalid));
			route.kind = row.kind;
			route.resumable = row.resumable;
			status = 0;
			body = "";
			call_count = ask_count = 0;
			StartRequest();
			ASSERT_TRUE(Grant("i-1"));
			/* It may have run, whatever the response says. */
			ReceiveHead(invalid,
			    {{"Mulberrypath-Attempt-Id", "42"},
				{"Mulberrypath-Server-Signature", "sig"},
				{"Mulberrypath-Not-Executed", "1"}});
			EXPECT_TRUE(is_cancelled) << "the connection is kept";
			EXPECT_EQ(outcomes.back(), PLACE_ENDPOINT_FAILED);
			if (!row.is_retried) {
				EXPECT_EQ(status, 502);
				EXPECT_EQ(ask_count, 1u);
				continue;
			}
			EXPECT_EQ(status, 0);
			ASSERT_EQ(ask_count, 2u);
			ASSERT_TRUE(Grant("i-2"));
			ReceiveHead(invalid, {});
			EXPECT_EQ(status, 502)
			    << "two endpoints may have run it";
			EXPECT_EQ(body.find("answer"), std::string::npos);
		}
}

TEST_F(Status, a_stream_is_not_resumed_by_a_response_with_an_invalid_status)
{
	for (int invalid : invalid_statuses) {
		SCOPED_TRACE(invalid);
		route.kind = GW_STREAM;
		route.resumable = true;
		route.max_attempts = 3;
		status = 0;
		body = "";
		is_aborted = is_complete = false;
		StartRequest();
		ASSERT_TRUE(Grant("i-1"));
		ReceiveSignedHead();
		ReceiveCallEvent(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
		ReceiveCallEvent(NODE_CALL_BROKEN);
		ASSERT_TRUE(Grant("i-2"));
		EXPECT_EQ(resume_after, "1");
		ReceiveHead(invalid,
		    {{"Mulberrypath-Attempt-Id", "42"},
			{"Mulberrypath-Not-Executed", "1"}});
		EXPECT_TRUE(is_cancelled);
		EXPECT_EQ(outcomes.back(), PLACE_ENDPOINT_FAILED);
		EXPECT_FALSE(is_aborted) << "a third endpoint may go on";
		ASSERT_TRUE(Grant("i-3"));
		ReceiveSignedHead();
		ReceiveCallEvent(NODE_CALL_DATA, "id: 2\ndata: b\n\n");
		ReceiveCallEvent(NODE_CALL_END);
		EXPECT_TRUE(is_complete);
		EXPECT_EQ(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	}
}

/* The whole range of a final status is relayed as it came. */
TEST_F(Status, a_valid_status_is_relayed)
{
	route.kind = GW_NON_IDEMPOTENT;
	for (int valid : {200, 299, 300, 404, 499, 500, 599}) {
		status = 0;
		StartRequest();
		ASSERT_TRUE(Grant());
		ReceiveSignedHead(valid);
		ReceiveCallEvent(NODE_CALL_END);
		EXPECT_EQ(status, valid);
	}
}
