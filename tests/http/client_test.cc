/* The HTTP client against the API server and against plain sockets. */

#include <set>

#include "loop_fixture.h"
#include "util/clock.h"

TEST_F(HttpTest, ResponseIsReportedCompletely)
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
	EXPECT_TRUE(calls[7].complete) << calls[7].reason;
	EXPECT_EQ(calls[7].status, 201);
	EXPECT_EQ(calls[7].body, "answer");
	EXPECT_EQ(paths.at(0), "/a%20b?c=1");
}

TEST_F(HttpTest, StreamIsReportedAsItIsReceived)
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
	EXPECT_TRUE(calls[1].complete) << calls[1].reason;
	EXPECT_TRUE(disconnected.empty());
}

TEST_F(HttpTest, SuccessiveCallsShareOneConnection)
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

/*
 * Guards against an answer that is taken for this call's, though it may be a
 * late one to an earlier call: only the client knows that there was one.
 */
TEST_F(HttpTest, TheHeadTellsWhetherTheConnectionWasKept)
{
	std::map<uint64_t, bool> kept;

	Serve();
	handler = [&](const node_request *r) { Reply(r->request, 200, "ok"); };
	std::string address = Address();
	on_event = [&](const node_call_event *ev) {
		if (ev->phase == NODE_CALL_HEAD)
			kept[ev->call] = ev->is_kept_connection;
	};
	for (uint64_t id = 1; id <= 4; id++) {
		node_call c = Call(id, address);

		c.fresh_connection = id == 3;
		http_client_start(client, &c);
		ASSERT_TRUE(UntilEnded(id));
	}
	EXPECT_EQ(kept,
	    (std::map<uint64_t, bool>{
		{1, false}, {2, true}, {3, false}, {4, true}}));
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
		EXPECT_TRUE(calls[id].complete) << calls[id].reason;
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

TEST_F(HttpTest, CallPastItsTimeIsNotSent)
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

/*
 * Guards against sending a call after its time because the connect was slow:
 * a connect to a listener with a full backlog does not complete.
 */
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

/* ---- faulty peers ------------------------------------------------------ */

struct PeerResponse {
	const char *name, *bytes;
	bool complete; /* else broken */
	const char *body;
};

class PeerTest : public HttpTest,
		 public ::testing::WithParamInterface<PeerResponse> {};

TEST_P(PeerTest, ResponseOfPlainSocket)
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
	EXPECT_EQ(calls[1].complete, GetParam().complete) << calls[1].reason;
	EXPECT_EQ(calls[1].broken, !GetParam().complete) << calls[1].reason;
	EXPECT_EQ(calls[1].body, GetParam().body);
}

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"

INSTANTIATE_TEST_SUITE_P(Responses, PeerTest,
    ::testing::Values(PeerResponse{"nothing", "", false, ""},
	PeerResponse{"garbage", "\x01\x02garbage\r\n\r\n", false, ""},
	PeerResponse{"half_head", OK_HEAD "Content-Le", false, ""},
	PeerResponse{
	    "bad_length", OK_HEAD "Content-Length: -1\r\n\r\nxx", false, ""},
	PeerResponse{
	    "whole", OK_HEAD "Content-Length: 2\r\n\r\nab", true, "ab"},
	PeerResponse{"empty", OK_HEAD "Content-Length: 0\r\n\r\n", true, ""},
	PeerResponse{
	    "short_body", OK_HEAD "Content-Length: 9\r\n\r\nab", false, "ab"},
	PeerResponse{"more_than_said",
	    OK_HEAD "Content-Length: 2\r\n\r\nabHTTP/1.1", true, "ab"},
	PeerResponse{"chunked", CHUNKED "2\r\nab\r\n0\r\n\r\n", true, "ab"},
	PeerResponse{"no_last_chunk", CHUNKED "2\r\nab\r\n", false, "ab"},
	PeerResponse{"bad_chunk", CHUNKED "2\r\nab\r\nzz\r\n", false, ""},
	PeerResponse{"no_length", OK_HEAD "\r\nab", false, "ab"},
	PeerResponse{"after_informational",
	    "HTTP/1.1 100 Continue\r\n\r\n" OK_HEAD
	    "Content-Length: 2\r\n\r\nab",
	    true, "ab"}),
    [](const auto &info) { return info.param.name; });

/* A status as an endpoint may send it, and whether a response may have it. */
struct PeerStatus {
	const char *name, *status;
	bool valid;
};

class StatusTest : public HttpTest,
		   public ::testing::WithParamInterface<PeerStatus> {};

/*
 * Guards against relaying a status that no caller can read, and against waiting
 * for a final response after a 1xx status that was meant as one: it has a body.
 * The connection of such a response is not used again.
 */
TEST_P(StatusTest, AnInvalidStatusBreaksTheCall)
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
	peer.Write("HTTP/1.1 " + std::string(GetParam().status) +
	    "\r\nContent-Length: 2\r\nMulberrypath-Not-Executed: 1\r\n\r\nab");
	ASSERT_TRUE(UntilEnded(1)); /* the peer has not closed */
	EXPECT_EQ(calls[1].complete, GetParam().valid) << calls[1].reason;
	EXPECT_EQ(calls[1].broken, !GetParam().valid) << calls[1].reason;
	EXPECT_EQ(calls[1].body, GetParam().valid ? "ab" : "");
	if (!GetParam().valid) {
		EXPECT_TRUE(Until([&] {
			bool closed;

			(void)peer.Poll(&closed);
			return closed;
		})) << "the connection stays open";
	}
}

INSTANTIATE_TEST_SUITE_P(Statuses, StatusTest,
    ::testing::Values(PeerStatus{"lowest", "200 OK", true},
	PeerStatus{"empty_reason", "201 ", true},
	PeerStatus{"unusual", "299 Own", true},
	PeerStatus{"highest", "599 Own", true},
	PeerStatus{"zero", "000 X", false}, PeerStatus{"low", "099 X", false},
	PeerStatus{"final_100", "100 Continue", false},
	PeerStatus{"final_199", "199 X", false},
	PeerStatus{"s600", "600 X", false}, PeerStatus{"s999", "999 X", false},
	PeerStatus{"s1000", "1000 X", false},
	PeerStatus{"s2000", "2000 OK", false},
	PeerStatus{"plus", "+200 OK", false},
	PeerStatus{"minus", "-200 OK", false},
	PeerStatus{"two_digits", "20 OK", false},
	PeerStatus{"one_digit", "2 OK", false},
	PeerStatus{"empty", " OK", false}, PeerStatus{"none", "", false},
	PeerStatus{"letters", "2OO OK", false},
	PeerStatus{"hex", "0xC8 OK", false},
	PeerStatus{"fraction", "200.0 OK", false},
	PeerStatus{"no_space", "200OK", false}),
    [](const auto &info) { return info.param.name; });

/*
 * Guards against taking a truncated response for a complete one: a response
 * without a length ends when the peer closes, but not when it resets.
 */
TEST_F(HttpTest, ResetDoesNotEndAResponseWithoutALength)
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
		if (id == 2) { /* reset before the bytes are read */
			ASSERT_EQ(setsockopt(peer.fd, SOL_SOCKET, SO_LINGER,
				      &now, sizeof(now)),
			    0);
		}
		peer.Close();
		ASSERT_TRUE(UntilEnded(id));
		EXPECT_EQ(calls[id].complete, id == 1) << calls[id].reason;
		EXPECT_EQ(calls[id].closed_by_peer, id == 2);
		EXPECT_EQ(calls[id].body, "ab");
	}
}

/*
 * Guards against a call that breaks because the peer closes the idle connection
 * at the same time: the timeout that the peer states is respected.
 */
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
	uint64_t until_ns = uv_hrtime() + 600000000;
	ASSERT_TRUE(Until([&] { return uv_hrtime() > until_ns; }));
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

	/*
	 * No byte at all; no byte after the first; no byte at all with a
	 * shorter timeout for the first.
	 */
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
		EXPECT_FALSE(calls[id].closed_by_peer);
		peer.Close();
	}
	EXPECT_EQ(calls[2].body, "ab");
}

/* Each received byte restarts the silence timeout. */
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
		uint64_t until_ns = uv_hrtime() + 100000000;
		ASSERT_TRUE(Until([&] { return uv_hrtime() > until_ns; }));
		Send(requests[0], "x");
	}
	http_server_end(server, requests[0], false);
	ASSERT_TRUE(UntilEnded(1));
	EXPECT_TRUE(calls[1].complete) << calls[1].reason;
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
		EXPECT_TRUE(calls[id].complete) << id << calls[id].reason;
	} /* the peer closes the pooled connection here */
}

/*
 * Guards against running a request twice: the peer closes a pooled connection
 * after it received the request, which must not be sent again.
 */
TEST_F(HttpTest, CallSentOnAPooledConnectionIsNotRetried)
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

/*
 * Guards against a second copy of a response that is taken for the response to
 * the next call: bytes that arrive while no call waits end the connection.
 */
TEST_F(HttpTest, BytesOnAnIdleConnectionEndIt)
{
	RawSocket listener, peer(-1), another(-1);
	std::string address = listener.Listen();
	const std::string copy = OK_HEAD "Content-Length: 2\r\n\r\nab";
	bool closed = false;

	Start(1, address);
	ASSERT_TRUE(Until([&] { return peer.Accept(listener.fd); }));
	peer.Write(copy);
	ASSERT_TRUE(UntilEnded(1));
	peer.Write(copy);
	ASSERT_TRUE(Until([&] {
		(void)peer.Poll(&closed);
		return closed;
	}));
	Start(2, address);
	ASSERT_TRUE(Until([&] { return another.Accept(listener.fd); }));
	another.Write(OK_HEAD "Content-Length: 2\r\n\r\ncd");
	ASSERT_TRUE(UntilEnded(2));
	EXPECT_EQ(calls[2].body, "cd");
}

/* ---- cancel ------------------------------------------------------------ */

TEST_F(HttpTest, CancelEndsEventsAndDisconnects)
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
	EXPECT_TRUE(calls[3].complete);
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
	Start(1, address); /* cancelled at the head */
	Start(2, address); /* cancelled at the first bytes of the body */
	ASSERT_TRUE(Until([&] { return calls[2].data_events == 1; }));
	ASSERT_TRUE(Until([&] { return calls[1].status == 200; }));
	EXPECT_EQ(calls[1].end_events + calls[2].end_events, 0);
	EXPECT_EQ(calls[1].body, "");
}
