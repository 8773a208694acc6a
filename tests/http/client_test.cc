#include <cstring>

#include "loop_fixture.h"

TEST_F(HttpTest, AnswerComesBackWhole)
{
	Serve();
	handler = [&](const node_request *r) {
		EXPECT_STREQ(r->method, "POST");
		EXPECT_STREQ(r->authorization, "Bearer x");
		EXPECT_EQ(std::string(r->body.data, r->body.len), "question");
		Reply(r->request, 201, "answer");
	};
	std::string address = Address();
	node_call c = Call(7, address, "/a%20b?c=1");
	c.method = "POST";
	c.headers[c.nheaders++] = {"authorization", "Bearer x"};
	c.body = {"question", 8};
	http_client_start(client, &c);
	EXPECT_TRUE(calls.empty()) << "called back synchronously";
	ASSERT_TRUE(UntilEnded(7));
	EXPECT_TRUE(calls[7].whole) << calls[7].reason;
	EXPECT_EQ(calls[7].status, 201);
	EXPECT_EQ(calls[7].body, "answer");
	EXPECT_EQ(paths.at(0), "/a%20b?c=1");
}

TEST_F(HttpTest, StreamArrivesPieceByPiece)
{
	Serve();
	handler = [&](const node_request *r) {
		Reply(r->request, 200, "", true);
	};
	Start(1, Address());
	ASSERT_TRUE(Until([&] { return !requests.empty(); }));
	EXPECT_EQ(calls[1].ends, 0);
	Send(requests[0], "one ");
	ASSERT_TRUE(Until([&] { return calls[1].body == "one "; }));
	Send(requests[0], "two");
	ASSERT_TRUE(Until([&] { return calls[1].body == "one two"; }));
	EXPECT_EQ(calls[1].ends, 0);
	http_server_end(server, requests[0], false);
	ASSERT_TRUE(UntilEnded(1));
	EXPECT_TRUE(calls[1].whole) << calls[1].reason;
	EXPECT_TRUE(gone.empty());
}
