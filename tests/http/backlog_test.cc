/* Clients that read slowly, and what is buffered for them. */

#include <algorithm>
#include <memory>

#include "http/front.h"
#include "loop_fixture.h"
#include "util/byte_budget.h"

static const size_t kMiB = 1 << 20;

/* A front with a budget, whose responses the test sends. */
class BacklogTest : public HttpTest {
      protected:
	byte_budget *budget = byte_budget_create(8 * kMiB);
	front_server *front = nullptr;
	bool front_done = false;
	std::vector<std::pair<uint64_t, bool>> backlogs;
	std::vector<std::string> bodies;

	void
	SetUp() override
	{
		http_server_callbacks cbs = {
		    on_request, on_disconnect, on_backlog};
		front_options o = {"127.0.0.1:0", 1000, NODE_LISTEN_FRONT, 50,
		    {16384, 16 << 20, 300, 300}, budget};
		mp_error err = {};

		HttpTest::SetUp();
		ASSERT_EQ(
		    front_server_create(&front, &loop, &o, &cbs, this, &err),
		    0);
	}

	void
	TearDown() override
	{
		front_server_destroy(front, set_true, &front_done);
		HttpTest::TearDown();
		EXPECT_TRUE(front_done);
		EXPECT_EQ(byte_budget_get_stats(budget).used_bytes, 0u);
		byte_budget_destroy(budget);
	}

	static void
	on_request(void *ctx, const node_request *r)
	{
		BacklogTest *t = (BacklogTest *)ctx;

		t->requests.push_back(r->request);
		t->bodies.push_back(
		    std::string(r->body.data ? r->body.data : "", r->body.len));
	}

	static void
	on_backlog(void *ctx, uint64_t request, bool is_long)
	{
		((BacklogTest *)ctx)->backlogs.push_back({request, is_long});
	}

	void
	Connect(RawSocket &s, const std::string &bytes)
	{
		s.Connect(front_server_get_port(front));
		s.Write(bytes);
	}

	void
	Begin(uint64_t id)
	{
		node_reply r = {};

		r.request = id;
		r.status = 200;
		r.more = true;
		front_server_reply(front, &r);
	}

	void
	SendUntilBacklog(uint64_t id)
	{
		std::string piece(64 << 10, 'x');

		while (backlogs.empty()) {
			front_server_send(
			    front, id, {piece.data(), piece.size()});
			sent += piece.size();
			uv_run(&loop, UV_RUN_NOWAIT);
		}
	}
	size_t sent = 0;
};

static const char kGet[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/* The source is told to wait, and told once its client has read enough. */
TEST_F(BacklogTest, its_length_is_reported_once_and_its_end)
{
	RawSocket s;
	std::string received;

	Connect(s, kGet);
	ASSERT_TRUE(Until([&] { return requests.size() == 1; }));
	Begin(requests[0]);
	SendUntilBacklog(requests[0]);
	EXPECT_EQ(backlogs.back(), std::make_pair(requests[0], true));
	EXPECT_LT(byte_budget_get_stats(budget).used_bytes, kMiB);
	ASSERT_TRUE(Until([&] {
		received += s.Poll();
		return backlogs.size() > 1;
	}));
	EXPECT_EQ(backlogs.back(), std::make_pair(requests[0], false));
	EXPECT_EQ(byte_budget_get_stats(budget).pauses, 1u);
	front_server_end(front, requests[0], false);
	ASSERT_TRUE(Until([&] {
		received += s.Poll();
		return received.size() > sent &&
		    received.compare(received.size() - 5, 5, "0\r\n\r\n") == 0;
	}));
	EXPECT_EQ(backlogs.size(), 2u);
}

/* A source must not wait for a client that is gone. */
TEST_F(BacklogTest, it_ends_with_the_connection)
{
	RawSocket s;

	Connect(s, kGet);
	ASSERT_TRUE(Until([&] { return requests.size() == 1; }));
	Begin(requests[0]);
	SendUntilBacklog(requests[0]);
	s.Close();
	ASSERT_TRUE(Until([&] { return backlogs.size() == 2; }));
	EXPECT_EQ(backlogs.back(), std::make_pair(requests[0], false));
	EXPECT_EQ(disconnected, requests);
}

/*
 * Guards against the idle timeout (300 ms), which cut off a client that still
 * read its whole response.
 */
TEST_F(BacklogTest, an_idle_connection_is_kept_while_its_response_is_read)
{
	RawSocket s;
	uint64_t end_ns = 0;
	bool closed = false;

	Connect(s, kGet);
	ASSERT_TRUE(Until([&] { return requests.size() == 1; }));
	Begin(requests[0]);
	SendUntilBacklog(requests[0]);
	front_server_end(front, requests[0], false);
	end_ns = uv_hrtime() + 900000000;
	ASSERT_TRUE(Until([&] { return uv_hrtime() > end_ns; }));
	std::string received;
	ASSERT_TRUE(Until([&] {
		received += s.Poll(&closed);
		return closed;
	}));
	EXPECT_GT(received.size(), sent);
	EXPECT_EQ(received.compare(received.size() - 5, 5, "0\r\n\r\n"), 0);
}

/*
 * Guards against the timer for a long backlog, which must not refuse the next
 * request as incomplete while that waits for the client to read.
 */
TEST_F(BacklogTest, a_pipelined_request_waits_until_the_response_is_read)
{
	RawSocket s;
	uint64_t end_ns = 0;
	std::string received;

	Connect(s, kGet);
	ASSERT_TRUE(Until([&] { return requests.size() == 1; }));
	Begin(requests[0]);
	SendUntilBacklog(requests[0]);
	s.Write(kGet);
	end_ns = uv_hrtime() + 200000000;
	ASSERT_TRUE(Until([&] { return uv_hrtime() > end_ns; }));
	front_server_end(front, requests[0], false);
	end_ns = uv_hrtime() + 1200000000;
	ASSERT_TRUE(Until([&] { return uv_hrtime() > end_ns; }));
	EXPECT_EQ(requests.size(), 1u);
	ASSERT_TRUE(Until([&] {
		received += s.Poll();
		return requests.size() == 2;
	}));
	EXPECT_EQ(received.find("HTTP/1.1 408"), std::string::npos);
}

/*
 * Bodies that don't fit into the budget beside others are refused at once, as
 * not run; small ones, and those after it, are accepted.
 */
TEST_F(BacklogTest, bodies_beyond_the_budget_are_refused_at_once)
{
	static const std::string head =
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ";
	std::vector<std::unique_ptr<RawSocket>> open;
	RawSocket small, later;
	std::string received;

	while (received.empty() && open.size() < 10) {
		uint64_t used = byte_budget_get_stats(budget).used_bytes;

		open.push_back(std::make_unique<RawSocket>());
		Connect(
		    *open.back(), head + std::to_string(kMiB) + "\r\n\r\nx");
		ASSERT_TRUE(Until([&] {
			received += open.back()->Poll();
			return !received.empty() ||
			    byte_budget_get_stats(budget).used_bytes > used;
		}));
	}
	EXPECT_EQ(open.size(), 4u) << "2 MiB each; 2 MiB of 8 are left";
	EXPECT_EQ(received.find("HTTP/1.1 503 "), 0u) << received;
	EXPECT_NE(received.find("Retry-After: 1\r\n"), std::string::npos);
	EXPECT_TRUE(requests.empty());
	Connect(small, head + "2\r\n\r\nok");
	ASSERT_TRUE(Until([&] { return requests.size() == 1; }));
	EXPECT_EQ(bodies[0], "ok");
	open.clear();
	ASSERT_TRUE(Until(
	    [&] { return byte_budget_get_stats(budget).used_bytes < kMiB; }));
	Connect(later, head + std::to_string(kMiB) + "\r\n\r\n");
	later.Write(std::string(kMiB, 'x'));
	ASSERT_TRUE(Until([&] { return requests.size() == 2; }));
	EXPECT_EQ(bodies[1].size(), kMiB);
	EXPECT_EQ(byte_budget_get_stats(budget).refusals, 1u);
}

/* One that could never be accepted gets another answer than one that may be. */
TEST_F(BacklogTest, a_body_beyond_its_part_of_the_budget_is_too_large)
{
	RawSocket s;
	std::string received;

	Connect(
	    s, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048577\r\n\r\n");
	ASSERT_TRUE(Until([&] {
		received += s.Poll();
		return received.find("\r\n\r\n") != std::string::npos;
	}));
	EXPECT_EQ(received.find("HTTP/1.1 413 "), 0u);
}

/* When the budget is exceeded all the same, the largest holder is cut off. */
TEST_F(BacklogTest, the_largest_is_cut_off_beyond_the_budget)
{
	RawSocket small, large;

	Connect(small, kGet);
	ASSERT_TRUE(Until([&] { return requests.size() == 1; }));
	Connect(large, kGet);
	ASSERT_TRUE(Until([&] { return requests.size() == 2; }));
	Begin(requests[0]);
	Begin(requests[1]);
	SendUntilBacklog(requests[1]);
	byte_budget_change(budget, 0, 8 * kMiB); /* held elsewhere */
	front_server_send(front, requests[0], {"x", 1});
	ASSERT_TRUE(Until([&] { return !disconnected.empty(); }));
	EXPECT_EQ(disconnected, std::vector<uint64_t>{requests[1]});
	EXPECT_EQ(byte_budget_get_stats(budget).cuts, 1u);
	byte_budget_change(budget, 8 * kMiB, 0);
}

/* Sources of responses that send while they are not told to wait. */
class SlowReaders : public BacklogTest {
      protected:
	std::vector<std::unique_ptr<RawSocket>> sockets;
	std::map<uint64_t, bool> waits;
	std::map<uint64_t, size_t> sent_bytes;

	void
	Add(size_t n)
	{
		int size = 16384;

		while (n-- > 0) {
			sockets.push_back(std::make_unique<RawSocket>());
			(void)setsockopt(sockets.back()->fd, SOL_SOCKET,
			    SO_RCVBUF, &size, sizeof(size));
			Connect(*sockets.back(), kGet);
			ASSERT_TRUE(Until(
			    [&] { return requests.size() == sockets.size(); }));
			Begin(requests.back());
		}
	}

	bool
	IsGone(uint64_t request) const
	{
		return std::count(disconnected.begin(), disconnected.end(),
			   request) > 0;
	}

	/* One piece from each source that doesn't wait. */
	void
	SendPieces()
	{
		std::string piece(16 << 10, 'x');

		for (; seen < backlogs.size(); seen++)
			waits[backlogs[seen].first] = backlogs[seen].second;
		for (auto r : requests) {
			if (waits[r] || IsGone(r))
				continue;
			front_server_send(
			    front, r, {piece.data(), piece.size()});
			sent_bytes[r] += piece.size();
			for (; seen < backlogs.size(); seen++)
				waits[backlogs[seen].first] =
				    backlogs[seen].second;
		}
	}

      private:
	size_t seen = 0;
};

/*
 * When the budget is used up, the response of the slowest caller is given up.
 * Guards against one that is kept until its endpoint ends it, against the loss
 * of a caller that buffers more but reads, and against an end that looks like
 * that of a whole response.
 */
TEST_F(SlowReaders, the_slowest_is_given_up_when_the_budget_is_used_up)
{
	const size_t held = 5700 << 10;
	uint64_t end_ns, next_read_ns = 0;
	bool closed = false;
	char bytes[8192];

	Add(1);
	SendUntilBacklog(requests[0]); /* it takes much of the budget */
	Add(1);
	byte_budget_change(budget, 0, held); /* elsewhere */
	end_ns = uv_hrtime() + 8000000000;
	ASSERT_TRUE(Until([&] {
		SendPieces();
		if (uv_hrtime() > next_read_ns) {
			next_read_ns = uv_hrtime() + 40000000;
			(void)!recv(
			    sockets[0]->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		}
		return !disconnected.empty() || uv_hrtime() > end_ns;
	}));
	EXPECT_EQ(disconnected, std::vector<uint64_t>{requests[1]});
	EXPECT_EQ(byte_budget_get_stats(budget).cuts, 1u);
	ASSERT_TRUE(Until([&] {
		(void)sockets[1]->Poll(&closed);
		return closed;
	}));
	EXPECT_LT(recv(sockets[1]->fd, bytes, 1, MSG_DONTWAIT), 1);
	byte_budget_change(budget, held, 0);
}

/*
 * Guards against callers that read nothing and together exceed the budget, as
 * more of each response is read while memory allows, and against memory that is
 * left unused meanwhile.
 */
TEST_F(SlowReaders, all_together_stay_within_the_budget)
{
	uint64_t end_ns;

	Add(40);
	end_ns = uv_hrtime() + 5000000000;
	(void)Until([&] {
		SendPieces();
		return uv_hrtime() > end_ns;
	});
	EXPECT_LE(byte_budget_get_stats(budget).max_used_bytes, 8 * kMiB);
	EXPECT_GE(byte_budget_get_stats(budget).max_used_bytes, 5 * kMiB);
	EXPECT_GE(byte_budget_get_stats(budget).cuts, 1u);
	EXPECT_LE(byte_budget_get_stats(budget).cuts, 39u);
}

/* ---- the client -----------------------------------------------------------
 */

/*
 * A paused response is not read, and no silence counts; it goes on afterwards.
 * The same holds for a later call for that request.
 */
TEST_F(BacklogTest, a_paused_call_waits_and_goes_on)
{
	RawSocket listener, endpoint;
	std::string address = listener.Listen();
	node_call c = Call(1, address);
	uint64_t end_ns;

	c.silence_us = 200000;
	c.for_request = 77;
	http_client_start(client, &c);
	ASSERT_TRUE(Until([&] { return endpoint.Accept(listener.fd); }));
	endpoint.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab");
	ASSERT_TRUE(Until([&] { return calls[1].body == "ab"; }));
	http_client_pause(client, 77, true);
	endpoint.Write("cd");
	end_ns = uv_hrtime() + 600000000;
	ASSERT_TRUE(Until([&] { return uv_hrtime() > end_ns; }));
	EXPECT_EQ(calls[1].body, "ab");
	EXPECT_EQ(calls[1].end_events, 0) << calls[1].reason;
	http_client_pause(client, 77, false);
	ASSERT_TRUE(Until([&] { return calls[1].body == "abcd"; }));
	ASSERT_TRUE(UntilEnded(1)) << "its silence counts again";
	EXPECT_TRUE(calls[1].broken);
}

TEST_F(BacklogTest, a_later_call_for_the_request_is_paused_too)
{
	RawSocket listener, endpoint;
	std::string address = listener.Listen();
	node_call c = Call(1, address);
	uint64_t end_ns;

	c.silence_us = 200000;
	c.for_request = 77;
	http_client_pause(client, 77, true);
	http_client_start(client, &c);
	ASSERT_TRUE(Until([&] { return endpoint.Accept(listener.fd); }));
	endpoint.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
	end_ns = uv_hrtime() + 600000000;
	ASSERT_TRUE(Until([&] { return uv_hrtime() > end_ns; }));
	EXPECT_EQ(calls[1].status, 0);
	EXPECT_EQ(calls[1].end_events, 0);
	http_client_pause(client, 77, false);
	ASSERT_TRUE(UntilEnded(1));
	EXPECT_TRUE(calls[1].complete);
}
