#include "forward/forward_internal.h"
#include "forward_fixture.h"

/* Streams: relayed as they arrive, resumed if the route allows it. */
class Stream : public ForwardTest {
      protected:
	void
	SetUp() override
	{
		ForwardTest::SetUp();
		route.kind = GW_STREAM;
		route.resumable = true;
	}
};

TEST_F(Stream, events_are_relayed_as_they_arrive)
{
	route.resumable = false;
	StartRequest();
	ASSERT_TRUE(Grant());
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_DATA, "id: 1\nda");
	EXPECT_EQ(body, "id: 1\nda");
	ReceiveCallEvent(NODE_CALL_DATA, "ta: x\n\n");
	ReceiveCallEvent(NODE_CALL_END);
	EXPECT_EQ(body, "id: 1\ndata: x\n\n");
	EXPECT_TRUE(is_complete);
}

/*
 * Guards against lost or repeated events if a stream breaks within an event:
 * the next endpoint has to continue after the last complete one.
 */
TEST_F(Stream, a_broken_stream_resumes_without_lost_or_repeated_events)
{
	StartRequest();
	ASSERT_TRUE(Grant("i-1"));
	ReceiveSignedHead();
	ReceiveCallEvent(
	    NODE_CALL_DATA, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
	EXPECT_EQ(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	ReceiveCallEvent(NODE_CALL_BROKEN);
	EXPECT_EQ(ask_count, 2u);
	EXPECT_EQ(avoided, std::vector<std::string>{"i-1"});
	ASSERT_TRUE(Grant("i-2"));
	EXPECT_EQ(resume_after, "2");
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_DATA, "id: 3\ndata: c\n\n");
	ReceiveCallEvent(NODE_CALL_END);
	EXPECT_EQ(
	    body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
	EXPECT_TRUE(is_complete);
	EXPECT_FALSE(is_aborted);
}

TEST_F(Stream, a_non_resumable_stream_is_aborted_when_broken)
{
	route.resumable = false;
	StartRequest();
	ASSERT_TRUE(Grant());
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
	ReceiveCallEvent(NODE_CALL_BROKEN);
	EXPECT_TRUE(is_aborted);
	EXPECT_EQ(ask_count, 1u);
}

TEST_F(Stream, a_stream_without_ids_is_not_resumed)
{
	StartRequest();
	ASSERT_TRUE(Grant());
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_DATA, "data: a\n\n");
	ReceiveCallEvent(NODE_CALL_BROKEN);
	EXPECT_TRUE(is_aborted);
}

TEST_F(Stream, a_refused_resumption_aborts_the_response)
{
	StartRequest();
	ASSERT_TRUE(Grant());
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
	ReceiveCallEvent(NODE_CALL_BROKEN);
	forward_on_refusal(f, now_us, place_requests.back().id.ask,
	    GW_REFUSE_OVERLOAD, "overload", 100, fx);
	ApplyEffects();
	EXPECT_TRUE(is_aborted);
	EXPECT_EQ(status, 200);
}

TEST_F(Stream, complete_events_are_found)
{
	static const struct {
		const char *text;
		size_t complete_len;
		const char *id; /* of the last complete event */
	} rows[] = {{"", 0, nullptr}, {"id: 1\n", 0, nullptr},
	    {"id: 1\n\n", 7, "1"}, {"id:1\r\n\r\nid", 8, "1"},
	    {"id: 1\n\nid: 22\n\nid: 3", 15, "22"},
	    {"data: id: 7\n\n", 13, nullptr}, {"\n", 1, nullptr}};

	for (auto &row : rows) {
		size_t complete_len =
		    fwd_events_complete_len(row.text, strlen(row.text));
		char *id = fwd_events_last_id(row.text, complete_len);

		EXPECT_EQ(complete_len, row.complete_len) << row.text;
		if (row.id == nullptr)
			EXPECT_EQ(id, nullptr) << row.text;
		else
			EXPECT_STREQ(id, row.id) << row.text;
		free(id);
	}
}

/*
 * Guards against exhaustion of the entry's memory by an event that never ends,
 * which the entry buffers until it is complete.
 */
TEST_F(Stream, an_endless_event_fails_the_attempt)
{
	const std::string piece(60000, 'x');
	size_t sent = 0;

	StartRequest();
	ASSERT_TRUE(Grant("i-1"));
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_DATA, "id: 1\ndata: a\n\nid: 2\ndata: ");
	while (!is_cancelled && sent < 4000000) {
		ReceiveCallEvent(NODE_CALL_DATA, piece.c_str());
		sent += piece.size();
	}
	EXPECT_TRUE(is_cancelled);
	EXPECT_LE(sent, 1000000U);
	EXPECT_EQ(body, "id: 1\ndata: a\n\n")
	    << "no part of the incomplete event";
	EXPECT_EQ(ask_count, 2u) << "resumed at another endpoint";
}

/*
 * Guards against a truncated stream that passes as complete: a response without
 * a length ends with its connection, also when the engine's process ends.
 */
TEST_F(Stream, a_stream_that_ends_inside_an_event_is_not_complete)
{
	static const struct {
		bool resumable;
		const char *pieces[2];
		bool is_complete, is_retried;
		const char *body;
	} rows[] = {
	    {true, {"id: 1\ndata: a\n\nid: 2\nda", ""}, false, true,
		"id: 1\ndata: a\n\n"},
	    {true, {"id: 1\ndata: a\n\nid: 2\ndata: b\n", ""}, false, true,
		"id: 1\ndata: a\n\n"},
	    {true, {"id: 1\ndata: a\n", "\n"}, true, false,
		"id: 1\ndata: a\n\n"},
	    {false, {"id: 1\ndata: a\n\nid: 2\nda", ""}, false, false,
		"id: 1\ndata: a\n\nid: 2\nda"},
	    {false, {"id: 1\ndata: a\n\n", "id: 2\n"}, false, false,
		"id: 1\ndata: a\n\nid: 2\n"},
	    {false, {"id: 1\ndata: a\n", "\n"}, true, false,
		"id: 1\ndata: a\n\n"},
	    {false, {"id: 1\r\ndata: a\r\n\r", "\n"}, true, false,
		"id: 1\r\ndata: a\r\n\r\n"},
	    {false, {"id: 1\r\ndata: a\r\n\r", ""}, false, false,
		"id: 1\r\ndata: a\r\n\r"},
	};

	for (auto &row : rows) {
		uint64_t asked = ask_count;

		route.resumable = row.resumable;
		body = "";
		status = 0;
		is_complete = is_aborted = false;
		StartRequest();
		ASSERT_TRUE(Grant("i-1"));
		ReceiveSignedHead();
		for (const char *piece : row.pieces)
			ReceiveCallEvent(NODE_CALL_DATA, piece);
		ReceiveCallEvent(NODE_CALL_END);
		EXPECT_EQ(is_complete, row.is_complete) << row.pieces[0];
		EXPECT_EQ(is_aborted, !row.is_complete && !row.is_retried);
		EXPECT_EQ(ask_count, asked + 1 + row.is_retried);
		EXPECT_EQ(body, row.body);
	}
}

/*
 * The same before the caller has a head: nothing of the truncated response is
 * passed on.
 */
TEST_F(Stream, a_first_event_without_an_end_is_retried)
{
	StartRequest();
	ASSERT_TRUE(Grant("i-1"));
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_DATA, "id: 1\nda");
	ReceiveCallEvent(NODE_CALL_END);
	EXPECT_EQ(status, 0);
	EXPECT_EQ(ask_count, 2U);
	EXPECT_EQ(observed, std::vector<std::string>{"i-1 ended"})
	    << "its process may have ended";
}

/*
 * Guards against the answer to another request: it is joined to the stream, or
 * its refusal counts as "not run" for a request that the endpoint runs. A
 * faulty endpoint sends an earlier answer once more on a kept connection.
 */
TEST_F(Stream, a_resumed_stream_takes_no_answer_of_another_request)
{
	static const struct {
		const char *name;
		int status;
		std::vector<node_header> headers;
	} rows[] = {
	    {"refusal", 503,
		{{"Mulberrypath-Attempt-Id", "41"},
		    {"Mulberrypath-Not-Executed", "full"}}},
	    {"misdirected", 421, {{"Mulberrypath-Attempt-Id", "41"}}},
	    {"success", 200,
		{{"Mulberrypath-Attempt-Id", "41"},
		    {"Mulberrypath-Server-Signature", "sig"}}},
	};

	for (auto &row : rows) {
		SCOPED_TRACE(row.name);
		status = 0;
		body = "";
		is_complete = is_aborted = false;
		outcomes.clear();
		StartRequest();
		ASSERT_TRUE(Grant("i-1"));
		ReceiveSignedHead();
		ReceiveCallEvent(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
		ReceiveCallEvent(NODE_CALL_BROKEN);
		ASSERT_TRUE(Grant("i-2"));
		ReceiveHead(row.status, row.headers);
		EXPECT_EQ(outcomes.back(), PLACE_ENDPOINT_FAILED);
		EXPECT_TRUE(is_cancelled);
		EXPECT_TRUE(is_aborted) << "i-2 may run it: no third endpoint";
		ReceiveCallEvent(NODE_CALL_DATA, "data: of another\n\n");
		EXPECT_EQ(body, "id: 1\ndata: a\n\n");
		EXPECT_FALSE(is_complete);
	}
}

/*
 * Guards against the text of an error in the middle of a stream: the endpoint
 * that was to resume it refuses, or fails.
 */
TEST_F(Stream, an_error_of_the_next_endpoint_stays_out_of_the_stream)
{
	for (int error : {400, 404, 421, 429, 500, 502, 503, 504}) {
		SCOPED_TRACE(error);
		status = 0;
		body = "";
		is_complete = is_aborted = false;
		StartRequest();
		ASSERT_TRUE(Grant("i-1"));
		ReceiveSignedHead();
		ReceiveCallEvent(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
		ReceiveCallEvent(NODE_CALL_BROKEN);
		ASSERT_TRUE(Grant("i-2"));
		ReceiveSignedHead(error);
		ReceiveCallEvent(NODE_CALL_DATA, "{\"error\": \"x\"}");
		ReceiveCallEvent(NODE_CALL_END);
		EXPECT_EQ(status, 200);
		EXPECT_EQ(body, "id: 1\ndata: a\n\n");
		EXPECT_FALSE(is_complete);
	}
}

/*
 * Guards against a slow stream that is cut while its events arrive, and against
 * a stalled one that never ends as a byte arrives now and then: both go on, and
 * end at the deadline.
 */
TEST_F(Stream, slow_and_trickling_streams_end_at_the_deadline)
{
	static const struct {
		const char *piece;
		const char *body; /* after two pieces */
	} rows[] = {
	    {"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 1\ndata: a\n\n"},
	    {":", ""},
	};

	route.timeout_ms = 9000;
	for (auto &row : rows) {
		uint64_t end_us = now_us + 9000 * MS;

		status = 0;
		body = "";
		is_complete = is_aborted = false;
		StartRequest(20000);
		ASSERT_TRUE(Grant("i-1"));
		ReceiveSignedHead();
		for (int i = 0; now_us + 1400 * MS < end_us; i++) {
			now_us += 1400 * MS;
			ReceiveCallEvent(NODE_CALL_DATA, row.piece);
			forward_tick(f, now_us, fx);
			ApplyEffects();
			EXPECT_FALSE(is_aborted);
			if (i == 1) {
				EXPECT_EQ(body, row.body);
			}
		}
		now_us = end_us;
		forward_tick(f, now_us, fx);
		ApplyEffects();
		EXPECT_TRUE(is_aborted || status == 504);
		EXPECT_FALSE(is_complete && status == 200);
		EXPECT_TRUE(is_cancelled);
		EXPECT_EQ(forward_request_count(f), 0U);
	}
}
