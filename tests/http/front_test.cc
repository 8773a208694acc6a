/* The front: the HTTP server for clients whose requests are forwarded. */

#include <cerrno>

#include "http/front.h"
#include "loop_fixture.h"

struct ReceivedRequest {
	std::string method, body;
	std::map<std::string, std::string> headers;
};

/* The socket of an HTTP client that keeps all bytes it received. */
struct Caller : RawSocket {
	std::string received;

	std::string &
	Read()
	{
		received += Poll();
		return received;
	}

	bool
	Closed()
	{
		char byte;

		Read();
		return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != -1 ||
		    errno != EAGAIN;
	}
};

/* A front and plain sockets as its clients. */
class FrontTest : public HttpTest {
      protected:
	front_server *front = nullptr;
	bool front_done = false;
	node_limits limits = {16384, 65536, 300, 500};
	std::vector<ReceivedRequest> received;

	void
	TearDown() override
	{
		if (front != nullptr)
			front_server_destroy(front, set_true, &front_done);
		HttpTest::TearDown();
		EXPECT_EQ(front_done, front != nullptr);
	}

	static void
	on_request(void *ctx, const node_request *r)
	{
		FrontTest *t = (FrontTest *)ctx;
		ReceivedRequest h;

		h.method = r->method;
		h.body.assign(r->body.data ? r->body.data : "", r->body.len);
		for (size_t i = 0; i < r->nheaders; i++)
			h.headers[r->headers[i].name] = r->headers[i].value;
		t->received.push_back(h);
		t->requests.push_back(r->request);
		t->paths.push_back(r->path);
		if (t->handler)
			t->handler(r);
		else
			t->Respond(r->request, "ok");
	}

	void
	Serve()
	{
		http_server_callbacks cbs = {
		    on_request, on_disconnect, nullptr};
		front_options o = {"127.0.0.1:0", 1000, NODE_LISTEN_FRONT, 50,
		    limits, nullptr};
		mp_error err = {};

		ASSERT_EQ(
		    front_server_create(&front, &loop, &o, &cbs, this, &err), 0)
		    << err.message;
	}

	void
	Respond(uint64_t id, const std::string &body, bool more = false)
	{
		node_header extra[] = {{"X-Own", "1"}};
		node_reply r = {};

		r.request = id;
		r.status = 200;
		r.body = {body.data(), body.size()};
		r.more = more;
		r.extra_headers = extra;
		r.nextra_headers = 1;
		front_server_reply(front, &r);
	}

	int
	Port() const
	{
		return front_server_get_port(front);
	}
};

TEST_F(FrontTest, a_request_and_its_response_are_complete)
{
	Caller s;

	Serve();
	s.Connect(Port());
	s.Write("POST /a%20b?q HTTP/1.1\r\nHost: h\r\nX-A: b  \r\n"
		"Content-Length: 3\r\n\r\nab");
	EXPECT_TRUE(requests.empty());
	s.Write("c");
	ASSERT_TRUE(Until(
	    [&] { return s.Read().find("\r\n\r\nok") != std::string::npos; }));
	EXPECT_EQ(requests[0], 1001u);
	EXPECT_EQ(paths[0], "/a%20b?q");
	EXPECT_EQ(received[0].body, "abc");
	EXPECT_EQ(received[0].headers["X-A"], "b");
	EXPECT_NE(s.received.find("HTTP/1.1 200 OK\r\nX-Own: 1\r\n"
				  "Content-Length: 2\r\n\r\n"),
	    std::string::npos)
	    << s.received;
}

/*
 * Guards against request smuggling: a request that another parser could read
 * differently is refused, and the bytes behind it are not taken for a request.
 */
TEST_F(FrontTest, smuggling_forms_are_refused_and_the_connection_is_closed)
{
	static const struct {
		const char *name, *head, *status;
	} rows[] = {
	    {"both", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		"400"},
	    {"two lengths", "Content-Length: 3\r\nContent-Length: 50\r\n",
		"400"},
	    {"two alike", "Content-Length: 3\r\nContent-Length: 3\r\n", "400"},
	    {"list", "Content-Length: 3, 3\r\n", "400"},
	    {"sign", "Content-Length: +3\r\n", "400"},
	    {"minus", "Content-Length: -3\r\n", "400"},
	    {"hex", "Content-Length: 0x3\r\n", "400"},
	    {"none", "Content-Length: \r\n", "400"},
	    {"long", "Content-Length: 99999999999999999999999\r\n", "400"},
	    {"space before colon", "Content-Length : 3\r\n", "400"},
	    {"folded", "X: a\r\n b\r\nContent-Length: 3\r\n", "400"},
	    {"coding", "Transfer-Encoding: gzip, chunked\r\n", "501"},
	    {"xchunked", "Transfer-Encoding: xchunked\r\n", "501"},
	    {"two codings",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"400"},
	    {"two hosts", "Host: other\r\n", "400"},
	    {"lone return", "X: a\rContent-Length: 3\r\n", "400"},
	    {"control", "X: a\x01\r\n", "400"},
	    {"no name", ": a\r\n", "400"},
	    {"lone feed", "X: a\nContent-Length: 3\r\n", "400"},
	    {"lone feed before the end", "X: a\r\n\nContent-Length: 3\r\n",
		"400"},
	};

	Serve();
	for (auto &row : rows) {
		Caller s;
		size_t before = requests.size();

		s.Connect(Port());
		s.Write(std::string("POST /x HTTP/1.1\r\nHost: h\r\n") +
		    row.head +
		    "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
		EXPECT_TRUE(Until([&] { return s.Closed(); })) << row.name;
		EXPECT_EQ(s.received.substr(9, 3), row.status) << row.name;
		EXPECT_EQ(requests.size(), before) << row.name;
	}
}

/*
 * Guards against a request that runs out of the body of another one: its size
 * or its end is written so that another reader takes more for the body.
 */
TEST_F(FrontTest, bodies_that_another_reader_ends_elsewhere_are_refused)
{
	static const struct {
		const char *name, *body;
	} rows[] = {
	    {"prefix", "0x2b\r\n"},
	    {"letters", "0zz\r\n"},
	    {"space and digits", "0 2b\r\n"},
	    {"bare feed behind a size", "0\n"},
	    {"bare feed in an extension", "0;a\n"},
	    {"feed as the end", "0\r\n\n"},
	    {"return twice", "0\r\r\n"},
	    {"bare feed behind data", "1\r\na\n0\r\n"},
	    {"folded trailer", "0\r\nA: b\r\n c\r\n"},
	    {"trailer without a colon", "0\r\nA\r\n"},
	};

	Serve();
	for (auto &row : rows) {
		Caller s;

		s.Connect(Port());
		s.Write(std::string("POST /x HTTP/1.1\r\nHost: h\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n") +
		    row.body + "\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
		EXPECT_TRUE(Until([&] { return s.Closed(); })) << row.name;
		EXPECT_EQ(s.received.substr(9, 3), "400") << row.name;
	}
	EXPECT_TRUE(requests.empty());
}

TEST_F(FrontTest, invalid_requests_are_refused)
{
	static const struct {
		const char *text, *status;
	} rows[] = {{"GET /x HTTP/1.1\r\n\r\n", "400"},
	    {"GET x HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
	    {"GET /x HTTP/1.1\r\nHost:\r\n\r\n", "400"},
	    {"GET /x HTTP/2.0\r\nHost: h\r\n\r\n", "400"},
	    {"nonsense\r\n\r\n", "400"},
	    {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n",
		"413"},
	    {"POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	     "\r\n",
		"400"},
	    {"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	     "\r\nzz\r\n",
		"400"},
	    {"GET /x HTTP/1.1\r\nHo", "408"}};

	Serve();
	for (auto &row : rows) {
		Caller s;

		s.Connect(Port());
		s.Write(row.text);
		EXPECT_TRUE(Until([&] { return s.Closed(); })) << row.text;
		ASSERT_GE(s.received.size(), 12u) << row.text;
		EXPECT_EQ(s.received.substr(9, 3), row.status) << row.text;
	}
	EXPECT_TRUE(requests.empty());
}

TEST_F(FrontTest, a_head_over_its_limit_is_refused)
{
	Caller s;

	limits.header_bytes = 200;
	Serve();
	s.Connect(Port());
	s.Write("GET /x HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'a'));
	ASSERT_TRUE(Until([&] { return s.Closed(); }));
	EXPECT_EQ(s.received.substr(9, 3), "431");
}

TEST_F(FrontTest, chunks_are_decoded_and_the_next_request_found)
{
	Caller s;

	Serve();
	s.Connect(Port());
	s.Write("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\n3;x=y\r\nabc\r\n2\r\n");
	s.Write("de\r\n0\r\nX-Trailer: 1\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n"
		"Connection: close\r\n\r\n");
	ASSERT_TRUE(Until([&] { return s.Closed(); }));
	ASSERT_EQ(paths.size(), 2u);
	EXPECT_EQ(received[0].body, "abcde");
	EXPECT_EQ(received[0].headers.count("X-Trailer"), 0u);
	EXPECT_EQ(paths[1], "/2");
	EXPECT_NE(s.received.find("Connection: close"), std::string::npos);
}

/* An aborted response must not look complete: its last chunk is missing. */
TEST_F(FrontTest, a_response_without_a_length_is_chunked_or_aborted)
{
	for (bool aborted : {false, true}) {
		Caller s;

		if (front == nullptr)
			Serve();
		handler = [&](const node_request *r) {
			Respond(r->request, "one", true);
		};
		requests.clear();
		s.Connect(Port());
		s.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		ASSERT_TRUE(Until(
		    [&] { return s.Read().find("one") != std::string::npos; }));
		front_server_send(front, requests[0], {"two", 3});
		front_server_end(front, requests[0], aborted);
		if (aborted) {
			ASSERT_TRUE(Until([&] { return s.Closed(); }));
			EXPECT_EQ(
			    s.received.find("0\r\n\r\n"), std::string::npos);
		} else {
			ASSERT_TRUE(Until([&] {
				return s.Read().find("3\r\ntwo\r\n0\r\n\r\n") !=
				    std::string::npos;
			}));
		}
	}
}

TEST_F(FrontTest, a_disconnect_is_reported_once)
{
	Caller s;

	Serve();
	handler = [](const node_request *) {};
	s.Connect(Port());
	s.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(Until([&] { return !requests.empty(); }));
	s.Close();
	ASSERT_TRUE(Until([&] { return !disconnected.empty(); }));
	EXPECT_EQ(disconnected, requests);
	Respond(requests[0], "late"); /* ignored */
}

/*
 * Guards against lost requests when the front stops: while it drains, requests
 * that clients send at the same time are still answered; closing the listener
 * closes only idle connections.
 */
TEST_F(FrontTest, draining_closes_connections_after_their_next_response)
{
	Caller reused, late;

	Serve();
	reused.Connect(Port());
	reused.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(Until(
	    [&] { return reused.Read().find("ok") != std::string::npos; }));
	front_server_drain(front);
	reused.received.clear();
	reused.Write("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(Until([&] { return reused.Closed(); }));
	EXPECT_NE(reused.received.find("Connection: close"), std::string::npos);
	EXPECT_NE(reused.received.find("ok"), std::string::npos);
	late.Connect(Port());
	late.Write("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(Until([&] { return late.Closed(); }));
	EXPECT_NE(late.received.find("ok"), std::string::npos);
	Caller idle, busy;
	handler = [](const node_request *) {};
	busy.Connect(Port());
	busy.Write("GET /4 HTTP/1.1\r\nHost: h\r\n\r\n");
	idle.Connect(Port());
	ASSERT_TRUE(Until([&] { return paths.size() == 4; }));
	front_server_close_listener(front);
	EXPECT_TRUE(Until([&] { return idle.Closed(); }));
	EXPECT_FALSE(busy.Closed());
	Respond(requests[3], "ok");
	ASSERT_TRUE(Until([&] { return busy.Closed(); }));
	EXPECT_NE(busy.received.find("ok"), std::string::npos);
}

TEST_F(FrontTest, limits_change_while_it_runs)
{
	node_limits narrow = {0, 4, 0, 50};
	Caller s, idle;

	Serve();
	front_server_set_limits(front, &narrow);
	s.Connect(Port());
	s.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n");
	ASSERT_TRUE(Until([&] { return s.Closed(); }));
	EXPECT_EQ(s.received.substr(9, 3), "413");
	idle.Connect(Port());
	ASSERT_TRUE(Until([&] { return idle.Closed(); }));
	EXPECT_EQ(idle.received, "");
}

TEST_F(FrontTest, an_expected_100_continue_is_sent)
{
	Caller s;

	Serve();
	s.Connect(Port());
	s.Write("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
		"Content-Length: 2\r\n\r\n");
	ASSERT_TRUE(Until([&] {
		return s.Read().find("100 Continue") != std::string::npos;
	}));
	s.Write("ab");
	ASSERT_TRUE(
	    Until([&] { return s.Read().find("ok") != std::string::npos; }));
	EXPECT_EQ(received[0].body, "ab");
}

/*
 * Guards against responses that are complete and are cut by the exit of the
 * process, as their clients read slowly; and against one that never reads and
 * holds up the exit.
 */
TEST_F(FrontTest, complete_responses_are_written_before_the_server_closes)
{
	const std::string body(8 << 20, 'x');
	Caller slow, deaf;
	front_server *s;

	Serve();
	handler = [&](const node_request *r) { Respond(r->request, body); };
	front_server_drain(front);
	for (Caller *c : {&slow, &deaf}) {
		c->Connect(Port());
		c->Write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	}
	ASSERT_TRUE(Until([&] { return requests.size() == 2; }));
	s = front;
	front = nullptr;
	front_server_destroy(s, set_true, &front_done);
	EXPECT_TRUE(Until([&] { return slow.Read().size() > body.size(); }));
	EXPECT_EQ(
	    slow.received.substr(slow.received.size() - body.size()), body);
	EXPECT_TRUE(Until([&] { return front_done; }));
	front_done = false;
}
