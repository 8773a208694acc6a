#include <set>

#include "loop_fixture.h"
#include "util/clock.h"

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
	EXPECT_EQ(calls[1].end_events, 0);
	Send(requests[0], "one ");
	ASSERT_TRUE(Until([&] { return calls[1].body == "one "; }));
	Send(requests[0], "two");
	ASSERT_TRUE(Until([&] { return calls[1].body == "one two"; }));
	EXPECT_EQ(calls[1].end_events, 0);
	http_server_end(server, requests[0], false);
	ASSERT_TRUE(UntilEnded(1));
	EXPECT_TRUE(calls[1].whole) << calls[1].reason;
	EXPECT_TRUE(disconnected.empty());
}

TEST_F(HttpTest, ManyCallsOverOneConnection)
{
	std::set<uint64_t> connections;
	const uint64_t count = 300;
	uint64_t next = 1;

	Serve();
	handler = [&](const node_request *r) {
		connections.insert(
		    http_server_get_connection(server, r->request));
		Reply(r->request, 200, r->path);
	};
	std::string address = Address();
	on_event = [&](const node_call_event *ev) {
		if (ev->phase != NODE_CALL_END || next == count)
			return;
		next++;
		Start(next, address, ("/" + std::to_string(next)).c_str());
	};
	Start(1, address, "/1");
	ASSERT_TRUE(UntilEnded(count));
	EXPECT_EQ(connections.size(), 1u);
	for (uint64_t i = 1; i <= count; i++)
		EXPECT_EQ(calls[i].body, "/" + std::to_string(i));
}

TEST_F(HttpTest, FreshConnectionIsNotPooled)
{
	std::set<uint64_t> connections;

	Serve();
	handler = [&](const node_request *r) {
		connections.insert(
		    http_server_get_connection(server, r->request));
		Reply(r->request, 200, "ok");
	};
	std::string address = Address();
	for (uint64_t id = 1; id <= 3; id++) {
		node_call c = Call(id, address);

		c.fresh_connection = id == 2;
		http_client_start(client, &c);
		ASSERT_TRUE(UntilEnded(id));
		EXPECT_TRUE(calls[id].whole) << calls[id].reason;
	}
	EXPECT_EQ(connections.size(), 2u);
}

/* ---- not sent ---------------------------------------------------------- */

TEST_F(HttpTest, RefusedConnectionIsNotSent)
{
	RawSocket closed;
	std::string address = closed.Listen(0);

	for (uint64_t id : {1, 2}) {
		node_call c = Call(id, address);

		c.fresh_connection = id == 2;
		http_client_start(client, &c);
		ASSERT_TRUE(UntilEnded(id));
		EXPECT_TRUE(calls[id].not_sent) << calls[id].reason;
	}
}

TEST_F(HttpTest, BadAddressIsNotSent)
{
	uint64_t id = 0;

	for (const std::string address :
	    {"", "nonsense", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000",
		"host.invalid:80", "127.0.0.1:80x"}) {
		for (bool fresh : {false, true}) {
			node_call c = Call(++id, address);

			c.fresh_connection = fresh;
			http_client_start(client, &c);
			ASSERT_TRUE(UntilEnded(id));
			EXPECT_TRUE(calls[id].not_sent) << address;
		}
	}
}

TEST_F(HttpTest, TooLateIsNotSent)
{
	Serve();
	std::string address = Address();
	Start(1, address);
	ASSERT_TRUE(UntilEnded(1)); /* a connection is in the pool now */
	node_call c = Call(2, address);
	c.not_after_us = clock_now_us() - 1;
	http_client_start(client, &c);
	ASSERT_TRUE(UntilEnded(2));
	EXPECT_TRUE(calls[2].not_sent) << calls[2].reason;
	EXPECT_EQ(requests.size(), 1u);
}

/* A listener whose queue is full leaves a connect hanging. */
TEST_F(HttpTest, SlowConnectIsNotSentAfterItsTime)
{
	RawSocket listener, first, second;
	std::string address = listener.Listen(1);
	int port = std::stoi(address.substr(address.find(':') + 1));

	first.Connect(port);
	second.Connect(port);
	for (uint64_t id : {1, 2}) {
		node_call c = Call(id, address);
		uint64_t begin = clock_now_us();

		c.not_after_us = begin + (id == 1 ? 50000 : 60000000);
		http_client_start(client, &c);
		ASSERT_TRUE(UntilEnded(id));
		EXPECT_TRUE(calls[id].not_sent) << calls[id].reason;
		EXPECT_LT(clock_now_us() - begin, id == 1 ? 450000u : 2000000u);
	}
}

/* ---- the peer misbehaves ----------------------------------------------- */

struct Answer {
	const char *name, *bytes;
	bool whole; /* else broken */
	const char *body;
};

class PeerTest : public HttpTest,
		 public ::testing::WithParamInterface<Answer> {};

TEST_P(PeerTest, AnswerOfPlainSocket)
{
	RawSocket listener, peer(-1);
	std::string address = listener.Listen();
	std::string received;

	Start(1, address);
	ASSERT_TRUE(Until([&] { return peer.Accept(listener.fd); }));
	ASSERT_TRUE(Until([&] {
		received += peer.Poll();
		return received.find("\r\n\r\n") != std::string::npos;
	}));
	peer.Write(GetParam().bytes);
	peer.Close();
	ASSERT_TRUE(UntilEnded(1));
	EXPECT_EQ(calls[1].whole, GetParam().whole) << calls[1].reason;
	EXPECT_EQ(calls[1].broken, !GetParam().whole) << calls[1].reason;
	EXPECT_EQ(calls[1].body, GetParam().body);
}

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"

INSTANTIATE_TEST_SUITE_P(Answers, PeerTest,
    ::testing::Values(Answer{"nothing", "", false, ""},
	Answer{"garbage", "\x01\x02garbage\r\n\r\n", false, ""},
	Answer{"half_head", OK_HEAD "Content-Le", false, ""},
	Answer{"bad_length", OK_HEAD "Content-Length: -1\r\n\r\nxx", false, ""},
	Answer{"whole", OK_HEAD "Content-Length: 2\r\n\r\nab", true, "ab"},
	Answer{"empty", OK_HEAD "Content-Length: 0\r\n\r\n", true, ""},
	Answer{
	    "short_body", OK_HEAD "Content-Length: 9\r\n\r\nab", false, "ab"},
	Answer{"more_than_said", OK_HEAD "Content-Length: 2\r\n\r\nabHTTP/1.1",
	    true, "ab"},
	Answer{"chunked", CHUNKED "2\r\nab\r\n0\r\n\r\n", true, "ab"},
	Answer{"no_last_chunk", CHUNKED "2\r\nab\r\n", false, "ab"},
	Answer{"bad_chunk", CHUNKED "2\r\nab\r\nzz\r\n", false, ""},
	Answer{"no_length", OK_HEAD "\r\nab", false, "ab"},
	Answer{"after_informational",
	    "HTTP/1.1 100 Continue\r\n\r\n" OK_HEAD
	    "Content-Length: 2\r\n\r\nab",
	    true, "ab"}),
    [](const auto &info) { return info.param.name; });

/* An answer without a length is whole when its peer closed in order alone. */
TEST_F(HttpTest, ResetIsNoEndOfAnAnswerWithoutALength)
{
	for (uint64_t id : {1, 2}) {
		RawSocket listener, peer(-1);
		std::string address = listener.Listen();
		struct linger now = {1, 0};
		node_call c = Call(id, address);

		c.close_delimited = true;
		http_client_start(client, &c);
		ASSERT_TRUE(Until([&] { return peer.Accept(listener.fd); }));
		ASSERT_TRUE(Until([&] { return !peer.Poll().empty(); }));
		peer.Write(OK_HEAD "\r\nab");
		if (id == 2) { /* the reset comes before the bytes are read */
			ASSERT_EQ(setsockopt(peer.fd, SOL_SOCKET, SO_LINGER,
				      &now, sizeof(now)),
			    0);
		}
		peer.Close();
		ASSERT_TRUE(UntilEnded(id));
		EXPECT_EQ(calls[id].whole, id == 1) << calls[id].reason;
		EXPECT_EQ(calls[id].body, "ab");
	}
}

/* A peer that names how long it keeps a connection is not asked later. */
TEST_F(HttpTest, ConnectionAboutToBeClosedIsNotUsedAgain)
{
	RawSocket listener, first(-1), second(-1);
	std::string address = listener.Listen();

	Start(1, address);
	ASSERT_TRUE(Until([&] { return first.Accept(listener.fd); }));
	ASSERT_TRUE(Until([&] { return !first.Poll().empty(); }));
	first.Write(OK_HEAD "Keep-Alive: timeout=0\r\nContent-Length: 0\r\n"
			    "\r\n");
	ASSERT_TRUE(UntilEnded(1));
	Start(2, address);
	ASSERT_TRUE(Until([&] { return !first.Poll().empty(); }));
	first.Write(OK_HEAD "Keep-Alive: timeout=1\r\nContent-Length: 0\r\n"
			    "\r\n");
	ASSERT_TRUE(UntilEnded(2));
	uint64_t until = uv_hrtime() + 600000000;
	ASSERT_TRUE(Until([&] { return uv_hrtime() > until; }));
	Start(3, address);
	ASSERT_TRUE(Until([&] { return second.Accept(listener.fd); }));
	ASSERT_TRUE(Until([&] { return !second.Poll().empty(); }));
	second.Write(OK_HEAD "Content-Length: 0\r\n\r\n");
	ASSERT_TRUE(UntilEnded(3));
}

TEST_F(HttpTest, SilentPeerIsBroken)
{
	RawSocket listener, peer(-1);
	std::string address = listener.Listen();

	/* silent at once; in mid-answer; at once, where less is borne */
	for (uint64_t id : {1, 2, 3}) {
		node_call c = Call(id, address);

		c.silence_us = id == 3 ? 3600000000 : 100000;
		c.first_byte_silence_us = id == 3 ? 100000 : 0;
		http_client_start(client, &c);
		ASSERT_TRUE(Until([&] { return peer.Accept(listener.fd); }));
		if (id == 2)
			peer.Write(CHUNKED "2\r\nab\r\n");
		ASSERT_TRUE(UntilEnded(id));
		EXPECT_TRUE(calls[id].broken) << calls[id].reason;
		peer.Close();
	}
	EXPECT_EQ(calls[2].body, "ab");
}

/* Any byte of the body puts off the verdict. */
TEST_F(HttpTest, SlowPeerIsNotSilent)
{
	Serve();
	handler = [&](const node_request *r) {
		Reply(r->request, 200, "0", true);
	};
	std::string address = Address();
	node_call c = Call(1, address);
	c.silence_us = 300000;
	http_client_start(client, &c);
	for (size_t i = 1; i <= 6; i++) {
		ASSERT_TRUE(Until([&] { return calls[1].data_events >= i; }));
		uint64_t until = uv_hrtime() + 100000000;
		ASSERT_TRUE(Until([&] { return uv_hrtime() > until; }));
		Send(requests[0], "x");
	}
	http_server_end(server, requests[0], false);
	ASSERT_TRUE(UntilEnded(1));
	EXPECT_TRUE(calls[1].whole) << calls[1].reason;
}

TEST_F(HttpTest, ClosedPooledConnectionIsReplaced)
{
	RawSocket listener;
	std::string address = listener.Listen();

	for (uint64_t id : {1, 2, 3}) {
		RawSocket peer(-1);

		Start(id, address);
		ASSERT_TRUE(Until([&] { return peer.Accept(listener.fd); }));
		peer.Write(OK_HEAD "Content-Length: 2\r\n\r\nab");
		ASSERT_TRUE(UntilEnded(id));
		EXPECT_TRUE(calls[id].whole) << id << calls[id].reason;
	} /* the peer closes the pooled connection here */
}

/* The peer drops the connection on getting the second request. */
TEST_F(HttpTest, PooledConnectionBrokenAfterAByteIsNotRepeated)
{
	RawSocket listener, peer(-1), another(-1);
	std::string address = listener.Listen(), received;

	Start(1, address);
	ASSERT_TRUE(Until([&] { return peer.Accept(listener.fd); }));
	peer.Write(OK_HEAD "Content-Length: 2\r\n\r\nab");
	ASSERT_TRUE(UntilEnded(1));
	(void)peer.Poll();
	Start(2, address);
	ASSERT_TRUE(Until([&] { return !peer.Poll().empty(); }));
	peer.Close();
	ASSERT_TRUE(UntilEnded(2));
	EXPECT_TRUE(calls[2].broken) << calls[2].reason;
	EXPECT_FALSE(another.Accept(listener.fd));
}

/* ---- cancel ------------------------------------------------------------ */

TEST_F(HttpTest, CancelEndsEventsAndIsNoticed)
{
	Serve();
	handler = [&](const node_request *r) {
		Reply(r->request, 200, "part", true);
	};
	Start(1, Address());
	ASSERT_TRUE(Until([&] { return calls[1].body == "part"; }));
	http_client_cancel(client, 1);
	http_client_cancel(client, 1);
	ASSERT_TRUE(Until([&] { return disconnected.size() == 1; }));
	EXPECT_EQ(disconnected[0], requests[0]);
	EXPECT_EQ(calls[1].end_events, 0);
}

TEST_F(HttpTest, CancelBeforeAndWhileConnecting)
{
	Serve();
	std::string address = Address();
	Start(1, address);
	http_client_cancel(client, 1);
	Start(2, address);
	uv_run(&loop, UV_RUN_NOWAIT);
	http_client_cancel(client, 2);
	Start(3, address);
	ASSERT_TRUE(UntilEnded(3));
	EXPECT_TRUE(calls[3].whole);
	EXPECT_EQ(calls.count(1) + calls.count(2), 0u);
}

TEST_F(HttpTest, CancelInsideEachEvent)
{
	Serve();
	handler = [&](const node_request *r) {
		Reply(r->request, 200, "part", true);
		http_server_end(server, r->request, false);
	};
	std::string address = Address();
	on_event = [&](const node_call_event *ev) {
		if (ev->call == 1 || ev->phase == NODE_CALL_DATA)
			http_client_cancel(client, ev->call);
	};
	Start(1, address); /* at its head */
	Start(2, address); /* at its first bytes */
	ASSERT_TRUE(Until([&] { return calls[2].data_events == 1; }));
	ASSERT_TRUE(Until([&] { return calls[1].status == 200; }));
	EXPECT_EQ(calls[1].end_events + calls[2].end_events, 0);
	EXPECT_EQ(calls[1].body, "");
}
