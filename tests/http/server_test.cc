/* The API server: disconnects, limits, pipelining and shutdown. */

#include <cstring>

#include "loop_fixture.h"

#define GET "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

static size_t
Count(const std::string &s, const std::string &what)
{
	size_t n = 0;

	for (size_t at = s.find(what); at != std::string::npos;
	     at = s.find(what, at + what.size()))
		n++;
	return n;
}

/* ---- disconnects ------------------------------------------------------- */

/*
 * Guards against work for a disconnected client: without the poll for hang-ups
 * h2o would detect the disconnect only by the next write.
 */
TEST_F(HttpTest, DisconnectBeforeTheResponseIsReported)
{
	RawSocket caller;

	Serve();
	handler = [](const node_request *) {};
	caller.Connect(http_server_get_port(server));
	caller.Write(GET);
	ASSERT_TRUE(Until([&] { return requests.size() == 1; }));
	EXPECT_TRUE(disconnected.empty());
	caller.Close();
	ASSERT_TRUE(Until([&] { return disconnected.size() == 1; }));
	EXPECT_EQ(disconnected[0], requests[0]);
	Reply(requests[0], 200, "late"); /* ignored */
	Send(requests[0], "late");
	http_server_end(server, requests[0], false);
	EXPECT_EQ(http_server_get_header(server, requests[0], "host"), nullptr);
}

TEST_F(HttpTest, ResetBeforeTheResponseIsReported)
{
	RawSocket caller;
	linger reset = {1, 0};

	Serve();
	handler = [](const node_request *) {};
	caller.Connect(http_server_get_port(server));
	caller.Write(GET);
	ASSERT_TRUE(Until([&] { return requests.size() == 1; }));
	setsockopt(caller.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	caller.Close();
	ASSERT_TRUE(Until([&] { return disconnected.size() == 1; }));
	EXPECT_EQ(disconnected, requests);
}

TEST_F(HttpTest, DisconnectWithinAResponseIsReportedOnce)
{
	RawSocket caller;
	std::string received;

	Serve();
	handler = [&](const node_request *r) {
		Reply(r->request, 200, "part", true);
	};
	caller.Connect(http_server_get_port(server));
	caller.Write(GET);
	ASSERT_TRUE(Until([&] {
		received += caller.Poll();
		return Count(received, "part") == 1;
	}));
	caller.Close();
	ASSERT_TRUE(Until([&] { return !disconnected.empty(); }));
	Send(requests[0], "more");
	uv_run(&loop, UV_RUN_NOWAIT);
	EXPECT_EQ(disconnected, requests);
}

TEST_F(HttpTest, DisconnectAfterTheResponseIsNotReported)
{
	RawSocket caller, other;
	std::string received;

	Serve();
	caller.Connect(http_server_get_port(server));
	caller.Write(GET);
	ASSERT_TRUE(Until([&] {
		received += caller.Poll();
		return Count(received, "\r\n\r\nok") == 1;
	}));
	caller.Close();
	Start(1, Address()); /* a later event of the loop */
	ASSERT_TRUE(UntilEnded(1));
	EXPECT_TRUE(disconnected.empty());
}

/*
 * Guards against unlimited memory for a client that does not read: it is
 * disconnected when more than 4 MB are queued, and reported once.
 */
TEST_F(HttpTest, SlowReaderIsDisconnected)
{
	RawSocket caller;
	std::string piece(256 << 10, 'x');
	bool closed = false;
	size_t sent = 0;

	Serve();
	handler = [&](const node_request *r) {
		Reply(r->request, 200, "", true);
	};
	caller.Connect(http_server_get_port(server));
	caller.Write(GET);
	ASSERT_TRUE(Until([&] { return requests.size() == 1; }));
	while (disconnected.empty() && sent < (64u << 20)) {
		Send(requests[0], piece);
		sent += piece.size();
		uv_run(&loop, UV_RUN_NOWAIT);
	}
	EXPECT_EQ(disconnected, requests);
	EXPECT_GT(sent, 4u << 20);
	ASSERT_TRUE(Until([&] {
		(void)caller.Poll(&closed);
		return closed;
	}));
}

TEST_F(HttpTest, AbortedResponseIsBroken)
{
	Serve();
	handler = [&](const node_request *r) {
		Reply(r->request, 200, "part", true);
	};
	Start(1, Address());
	ASSERT_TRUE(Until([&] { return calls[1].body == "part"; }));
	http_server_end(server, requests[0], true);
	ASSERT_TRUE(UntilEnded(1));
	EXPECT_TRUE(calls[1].broken);
	EXPECT_EQ(calls[1].body, "part");
	EXPECT_TRUE(disconnected.empty());
}

TEST_F(HttpTest, AbortBeforeTheResponseIsBroken)
{
	Serve();
	handler = [&](const node_request *r) {
		http_server_end(server, r->request, true);
	};
	Start(1, Address());
	ASSERT_TRUE(UntilEnded(1));
	EXPECT_TRUE(calls[1].broken);
	EXPECT_TRUE(disconnected.empty());
}

/* ---- limits ------------------------------------------------------------ */

struct BadRequest {
	const char *name;
	std::string bytes, status; /* "": closed without a response */
};

class BadRequestTest : public HttpTest,
		       public ::testing::WithParamInterface<BadRequest> {};

TEST_P(BadRequestTest, IsRefusedAndConnectionClosed)
{
	RawSocket caller;
	std::string received;
	bool closed = false;

	options.body_limit_bytes = 1000;
	options.header_limit_bytes = 2000;
	options.idle_timeout_ms = 150;
	Serve();
	caller.Connect(http_server_get_port(server));
	caller.Write(GetParam().bytes);
	ASSERT_TRUE(Until([&] {
		received += caller.Poll(&closed);
		return closed;
	}));
	EXPECT_EQ(received.substr(0, received.find("\r\n")), GetParam().status);
	EXPECT_TRUE(requests.empty());
	EXPECT_TRUE(disconnected.empty());
}

INSTANTIATE_TEST_SUITE_P(Requests, BadRequestTest,
    ::testing::Values(BadRequest{"silent", "", ""},
	BadRequest{"half_head", "GET / HTTP/1.1\r\nHo", ""},
	BadRequest{"half_body",
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhalf", ""},
	BadRequest{"half_chunk",
	    "POST / HTTP/1.1\r\nHost: h\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
	    ""},
	BadRequest{"huge_body",
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n",
	    "HTTP/1.1 413 Request Entity Too Large"},
	BadRequest{"huge_chunked_body",
	    "POST / HTTP/1.1\r\nHost: h\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" +
		std::string(2000, 'x') + "\r\n0\r\n\r\n",
	    "HTTP/1.1 413 Request Entity Too Large"},
	BadRequest{"huge_header",
	    "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(2000, 'x') +
		"\r\n\r\n",
	    "HTTP/1.1 431 Request Header Fields Too Large"},
	BadRequest{"garbage", "\x01\x02\x03 garbage\r\n\r\n",
	    "HTTP/1.1 400 Bad Request"}),
    [](const auto &info) { return info.param.name; });

TEST_F(HttpTest, ConnectionsOverTheLimitAreRefused)
{
	RawSocket first, second, third;
	std::string received;
	bool closed = false;

	options.connection_limit = 2;
	Serve();
	first.Connect(http_server_get_port(server));
	first.Write(GET);
	second.Connect(http_server_get_port(server));
	second.Write(GET);
	ASSERT_TRUE(Until([&] { return requests.size() == 2; }));
	third.Connect(http_server_get_port(server));
	ASSERT_TRUE(Until([&] {
		received += third.Poll(&closed);
		return closed;
	}));
	EXPECT_EQ(Count(received, "HTTP/1.1 503"), 1u);
	EXPECT_EQ(Count(received, "Mulberrypath-Outcome: not-run"), 1u);
	EXPECT_EQ(Count(received,
		      "Content-Length: " +
			  std::to_string(
			      received.size() - received.find("\r\n\r\n") - 4)),
	    1u);
	second.Close(); /* frees a connection below the limit */
	ASSERT_TRUE(Until([&] {
		RawSocket again;
		again.Connect(http_server_get_port(server));
		again.Write(GET);
		uv_run(&loop, UV_RUN_ONCE);
		return requests.size() == 3;
	}));
}

/* ---- pipelining -------------------------------------------------------- */

TEST_F(HttpTest, PipelinedRequestsAreAnsweredInOrder)
{
	RawSocket caller;
	std::string all, received;
	const int count = 100;

	Serve();
	handler = [&](const node_request *r) {
		Reply(r->request, 200, std::string("<") + r->path + ">");
	};
	for (int i = 0; i < count; i++)
		all += "POST /" + std::to_string(i) +
		    " HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
	caller.Connect(http_server_get_port(server));
	caller.Write(all);
	ASSERT_TRUE(Until([&] {
		received += caller.Poll();
		return Count(received, "</99>") == 1;
	}));
	size_t at = 0;
	for (int i = 0; i < count; i++) {
		at = received.find("</" + std::to_string(i) + ">", at);
		ASSERT_NE(at, std::string::npos) << i;
	}
	for (size_t i = 1; i < requests.size(); i++)
		EXPECT_EQ(requests[i], requests[i - 1] + 1);
}

/* ---- shutdown ---------------------------------------------------------- */

/* Running requests complete during a shutdown; new connections are refused. */
TEST_F(HttpTest, DestroyCompletesRunningRequests)
{
	RawSocket idle, late;
	std::string received;
	bool closed = false;

	Serve();
	int port = http_server_get_port(server);
	handler = [&](const node_request *r) {
		if (strcmp(r->path, "/long") == 0)
			Reply(r->request, 200, "begin ", true);
		else
			Reply(r->request, 200, "ok");
	};
	idle.Connect(port);
	idle.Write(GET);
	ASSERT_TRUE(Until([&] {
		received += idle.Poll();
		return Count(received, "\r\n\r\nok") == 1;
	}));
	Start(1, Address(), "/long");
	ASSERT_TRUE(Until([&] { return calls[1].body == "begin "; }));
	http_server *draining = server;
	http_server_destroy(server, set_true, &server_done);
	server = nullptr;
	ASSERT_TRUE(Until([&] {
		(void)idle.Poll(&closed);
		return closed;
	}));
	std::string address = "127.0.0.1:" + std::to_string(port);
	Start(2, address); /* the listener is closed */
	ASSERT_TRUE(UntilEnded(2));
	EXPECT_TRUE(calls[2].not_sent);
	EXPECT_FALSE(server_done);
	http_server_send(draining, requests[1], {"end", 3});
	http_server_end(draining, requests[1], false);
	ASSERT_TRUE(UntilEnded(1));
	EXPECT_TRUE(calls[1].complete) << calls[1].reason;
	EXPECT_EQ(calls[1].body, "begin end");
	ASSERT_TRUE(Until([&] { return server_done; }));
	server_done = false; /* TearDown() expects it without a server */
}

/*
 * Guards against losing a request that is only partially received when the
 * shutdown begins: it is read to its end and answered.
 */
TEST_F(HttpTest, DestroyWaitsForAPartialRequest)
{
	const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
	const struct {
		std::string first, second;
	} cases[] = {{"POST / HT", "TP/1.1\r\nHost: h\r\n\r\n"},
	    {head + "Content-Length: 4\r\n\r\nab", "cd"},
	    {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"0\r\n\r\n"}};

	for (auto &c : cases) {
		RawSocket caller;
		std::string received;
		bool closed = false;
		uint64_t later;

		Serve();
		caller.Connect(http_server_get_port(server));
		caller.Write(c.first);
		later = uv_hrtime() + 20000000;
		ASSERT_TRUE(Until([&] { return uv_hrtime() > later; }));
		handler = [s = server](const node_request *r) {
			node_reply reply = {};

			reply.request = r->request;
			reply.status = 200;
			reply.body = {"ok", 2};
			http_server_reply(s, &reply);
		};
		http_server_destroy(server, set_true, &server_done);
		server = nullptr;
		later = uv_hrtime() + 20000000;
		ASSERT_TRUE(Until([&] { return uv_hrtime() > later; }));
		ASSERT_FALSE(server_done) << c.first;
		caller.Write(c.second);
		ASSERT_TRUE(Until([&] {
			received += caller.Poll(&closed);
			return closed;
		}));
		EXPECT_EQ(Count(received, "\r\n\r\nok"), 1u) << c.first;
		ASSERT_TRUE(Until([&] { return server_done; }));
		server_done = false;
	}
}

TEST_F(HttpTest, CreateReportsBadSettings)
{
	struct {
		const char *listen, *certificate;
		int rc;
	} cases[] = {{"nonsense", nullptr, MP_ERR_IO},
	    {"192.0.2.1:1", nullptr, MP_ERR_IO},
	    {"127.0.0.1:0", "/nonexistent", MP_ERR_INVALID}};

	for (auto &c : cases) {
		http_server_callbacks cbs = {request, on_disconnect, nullptr};
		http_server *none = nullptr;
		mp_error err = {};

		options.listen = c.listen;
		options.tls_certificate = options.tls_key = c.certificate;
		EXPECT_EQ(http_server_create(
			      &none, &loop, &options, &cbs, this, &err),
		    c.rc);
		EXPECT_EQ(none, nullptr);
		EXPECT_STRNE(err.message, "");
	}
}
