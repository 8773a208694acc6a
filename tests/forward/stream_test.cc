#include "forward/forward_internal.h"
#include "forward_fixture.h"

/* Streams: passed on as they come; resumed where the route allows. */
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

TEST_F(Stream, events_are_passed_on_as_they_come)
{
	route.resumable = false;
	Begin();
	ASSERT_TRUE(Grant());
	Good();
	Event(NODE_CALL_DATA, "id: 1\nda");
	EXPECT_EQ(body, "id: 1\nda");
	Event(NODE_CALL_DATA, "ta: x\n\n");
	Event(NODE_CALL_END);
	EXPECT_EQ(body, "id: 1\ndata: x\n\n");
	EXPECT_TRUE(whole);
}

/* One run ends in the middle of an event, the next goes on behind the last. */
TEST_F(Stream, a_broken_one_goes_on_elsewhere_without_a_gap_or_a_double)
{
	Begin();
	ASSERT_TRUE(Grant("i-1"));
	Good();
	Event(NODE_CALL_DATA, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
	EXPECT_EQ(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	Event(NODE_CALL_BROKEN);
	EXPECT_EQ(asks, 2u);
	EXPECT_EQ(avoided, std::vector<std::string>{"i-1"});
	ASSERT_TRUE(Grant("i-2"));
	EXPECT_EQ(resume, "2");
	Good();
	Event(NODE_CALL_DATA, "id: 3\ndata: c\n\n");
	Event(NODE_CALL_END);
	EXPECT_EQ(
	    body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
	EXPECT_TRUE(whole);
	EXPECT_FALSE(cut);
}

TEST_F(Stream, one_that_may_not_go_on_is_visibly_cut)
{
	route.resumable = false;
	Begin();
	ASSERT_TRUE(Grant());
	Good();
	Event(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
	Event(NODE_CALL_BROKEN);
	EXPECT_TRUE(cut);
	EXPECT_EQ(asks, 1u);
}

TEST_F(Stream, without_ids_nothing_goes_on)
{
	Begin();
	ASSERT_TRUE(Grant());
	Good();
	Event(NODE_CALL_DATA, "data: a\n\n");
	Event(NODE_CALL_BROKEN);
	EXPECT_TRUE(cut);
}

TEST_F(Stream, a_resumed_run_that_is_refused_cuts_the_answer)
{
	Begin();
	ASSERT_TRUE(Grant());
	Good();
	Event(NODE_CALL_DATA, "id: 1\ndata: a\n\n");
	Event(NODE_CALL_BROKEN);
	forward_on_refusal(f, now, asked.back().id.ask, "overload", 100, fx);
	Take();
	EXPECT_TRUE(cut);
	EXPECT_EQ(status, 200);
}

TEST_F(Stream, whole_events_are_found)
{
	static const struct {
		const char *text;
		size_t whole;
		const char *id; /* of the last event in the whole ones */
	} rows[] = {{"", 0, nullptr}, {"id: 1\n", 0, nullptr},
	    {"id: 1\n\n", 7, "1"}, {"id:1\r\n\r\nid", 8, "1"},
	    {"id: 1\n\nid: 22\n\nid: 3", 15, "22"},
	    {"data: id: 7\n\n", 13, nullptr}, {"\n", 1, nullptr}};

	for (auto &row : rows) {
		size_t whole =
		    fwd_events_complete_len(row.text, strlen(row.text));
		char *id = fwd_events_last_id(row.text, whole);

		EXPECT_EQ(whole, row.whole) << row.text;
		if (row.id == nullptr)
			EXPECT_EQ(id, nullptr) << row.text;
		else
			EXPECT_STREQ(id, row.id) << row.text;
		free(id);
	}
}

/*
 * Guards against: an event without end is held, in whole, until the memory of
 * the entry is used up.
 */
TEST_F(Stream, an_event_without_end_is_a_failure_not_a_longer_wait)
{
	const std::string piece(60000, 'x');
	size_t sent = 0;

	Begin();
	ASSERT_TRUE(Grant("i-1"));
	Good();
	Event(NODE_CALL_DATA, "id: 1\ndata: a\n\nid: 2\ndata: ");
	while (!cancelled && sent < 4000000) {
		Event(NODE_CALL_DATA, piece.c_str());
		sent += piece.size();
	}
	EXPECT_TRUE(cancelled);
	EXPECT_LE(sent, 1000000U);
	EXPECT_EQ(body, "id: 1\ndata: a\n\n") << "and no part of it";
	EXPECT_EQ(asks, 2u) << "it goes on elsewhere";
}
