#include "forward_fixture.h"

/* Answers that name no attempt, to requests that have one. */
class Naming : public ForwardTest {
      protected:
	/* A request that the endpoint gets; its answer is awaited. */
	void
	Send(gw_kind kind)
	{
		route.kind = kind;
		status = 0;
		body = retry_after = "";
		StartRequest();
		ASSERT_TRUE(Grant());
	}

	void
	Finish()
	{
		if (is_cancelled || status != 0)
			return;
		ReceiveCallEvent(NODE_CALL_DATA, "theirs");
		ReceiveCallEvent(NODE_CALL_END);
	}
};

/*
 * Guards against an answer to an earlier request that is passed on as this
 * one's: its caller takes a refusal for a promise that nothing has run, and
 * books once more, or takes another one's result for its own.
 */
TEST_F(Naming, on_a_kept_connection_an_unnamed_answer_is_not_passed_on)
{
	for (int answer : {408, 429, 503, 421, 409, 200, 404, 500, 504})
		for (bool is_refusal : {false, true}) {
			std::vector<node_header> headers = {
			    {"Mulberrypath-Server-Signature", "s"}};
			uint64_t counted =
			    forward_get_stats(f)->unnamed_answers;

			if (is_refusal)
				headers = {{"Mulberrypath-Not-Executed", "1"}};
			SCOPED_TRACE(std::to_string(answer) +
			    (is_refusal ? " not run" : ""));
			Send(GW_NON_IDEMPOTENT);
			ReceiveHead(answer, headers, true);
			EXPECT_TRUE(is_cancelled) << "the connection goes on";
			Finish();
			EXPECT_EQ(status, 502);
			EXPECT_EQ(body.find("theirs"), std::string::npos);
			EXPECT_EQ(retry_after, "");
			if (!is_refusal && answer != 421) {
				EXPECT_EQ(forward_get_stats(f)->unnamed_answers,
				    counted + 1);
			}
		}
}

/* Guards against a lost answer where it can be had again without harm. */
TEST_F(Naming, an_idempotent_request_is_sent_again)
{
	uint64_t before;

	Send(GW_IDEMPOTENT);
	before = ask_count;
	ReceiveHead(408, {}, true);
	EXPECT_TRUE(is_cancelled);
	EXPECT_EQ(ask_count, before + 1);
	ASSERT_TRUE(Grant("i-2"));
	ReceiveSignedHead();
	Finish();
	EXPECT_EQ(status, 200);
}

/*
 * Guards against an endpoint that never names attempts and loses every second
 * answer: on a new connection there is only one request to answer, and it gets
 * a new one for each.
 */
TEST_F(Naming, an_endpoint_that_names_none_gets_new_connections)
{
	for (int n = 0; n < 3; n++) {
		Send(GW_NON_IDEMPOTENT);
		EXPECT_EQ(is_fresh, n > 0) << n;
		ReceiveHead(200, {{"Mulberrypath-Server-Signature", "s"}});
		Finish();
		EXPECT_EQ(status, 200) << n;
		EXPECT_EQ(body, "theirs") << n;
	}
	Send(GW_NON_IDEMPOTENT);
	EXPECT_TRUE(is_fresh);
	ReceiveSignedHead();
	Finish();
	EXPECT_EQ(status, 200);
	Send(GW_NON_IDEMPOTENT);
	EXPECT_FALSE(is_fresh) << "it names them now";
	ReceiveSignedHead();
	Finish();
}
