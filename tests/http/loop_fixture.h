#ifndef MP_TESTS_HTTP_LOOP_FIXTURE_H
#define MP_TESTS_HTTP_LOOP_FIXTURE_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http/http.h"
#include "util/clock.h"

/* What the client reported of a call. */
struct CallResult {
	int status = 0;
	int end_events = 0;
	bool not_sent = false, broken = false, complete = false;
	bool closed_by_peer = false;
	std::string body, reason, retry_after;
	size_t data_events = 0;
};

/* A server and a client on one loop. */
class HttpTest : public ::testing::Test {
      protected:
	uv_loop_t loop;
	http_server *server = nullptr;
	http_client *client = nullptr;
	http_server_options options = {"127.0.0.1:0", 1 << 20, 16 << 10, 100,
	    10000, nullptr, nullptr, nullptr};
	std::function<void(const node_request *)> handler;
	std::map<uint64_t, CallResult> calls;
	std::function<void(const node_call_event *)> on_event;
	std::vector<uint64_t> requests, disconnected;
	std::vector<std::string> paths;
	bool server_done = false, client_done = false;

	void
	SetUp() override
	{
		ASSERT_EQ(uv_loop_init(&loop), 0);
		ASSERT_EQ(
		    http_client_create(&client, &loop, event, this, nullptr),
		    0);
	}

	void
	TearDown() override
	{
		if (client != nullptr)
			http_client_destroy(client, set_true, &client_done);
		if (server != nullptr)
			http_server_destroy(server, set_true, &server_done);
		EXPECT_EQ(uv_run(&loop, UV_RUN_DEFAULT), 0);
		EXPECT_EQ(client_done, client != nullptr);
		EXPECT_EQ(server_done, server != nullptr);
		EXPECT_EQ(uv_loop_close(&loop), 0);
	}

	static void
	set_true(void *p)
	{
		*(bool *)p = true;
	}

	static void
	event(void *ctx, const node_call_event *ev)
	{
		HttpTest *t = (HttpTest *)ctx;
		CallResult &r = t->calls[ev->call];

		EXPECT_EQ(r.end_events, 0) << "an event after the last";
		if (ev->phase == NODE_CALL_HEAD) {
			r.status = ev->status;
			r.retry_after = ev->retry_after ? ev->retry_after : "";
		} else if (ev->phase == NODE_CALL_DATA) {
			r.body.append(ev->data.data, ev->data.len);
			r.data_events++;
		} else {
			r.end_events++;
			r.not_sent = ev->phase == NODE_CALL_NOT_SENT;
			r.broken = ev->phase == NODE_CALL_BROKEN;
			r.closed_by_peer = ev->closed_by_peer;
			r.complete = ev->phase == NODE_CALL_END;
			r.reason = ev->reason ? ev->reason : "";
		}
		if (t->on_event)
			t->on_event(ev);
	}

	static void
	request(void *ctx, const node_request *r)
	{
		HttpTest *t = (HttpTest *)ctx;

		t->requests.push_back(r->request);
		t->paths.push_back(r->path);
		if (t->handler)
			t->handler(r);
		else
			t->Reply(r->request, 200, "ok");
	}

	static void
	on_disconnect(void *ctx, uint64_t id)
	{
		((HttpTest *)ctx)->disconnected.push_back(id);
	}

	void
	Serve()
	{
		http_server_callbacks cbs = {request, on_disconnect, nullptr};
		mp_error err = {};

		ASSERT_EQ(http_server_create(
			      &server, &loop, &options, &cbs, this, &err),
		    0)
		    << err.message;
	}

	std::string
	Address() const
	{
		return "127.0.0.1:" +
		    std::to_string(http_server_get_port(server));
	}

	void
	Reply(
	    uint64_t id, int status, const std::string &body, bool more = false)
	{
		node_reply r = {};

		r.request = id;
		r.status = status;
		r.content_type = "text/plain";
		r.body = {body.data(), body.size()};
		r.more = more;
		http_server_reply(server, &r);
	}

	void
	Send(uint64_t id, const std::string &bytes)
	{
		http_server_send(server, id, {bytes.data(), bytes.size()});
	}

	node_call
	Call(uint64_t id, const std::string &address, const char *path = "/")
	{
		node_call c = {};

		c.call = id;
		c.address = address.c_str();
		c.method = "GET";
		c.path = path;
		c.not_after_us = clock_now_us() + 5000000;
		c.silence_us = 5000000;
		return c;
	}

	void
	Start(uint64_t id, const std::string &address, const char *path = "/")
	{
		node_call c = Call(id, address, path);

		http_client_start(client, &c);
	}

	/* Run the loop until a condition holds; false after 10 s. */
	bool
	Until(const std::function<bool()> &ready)
	{
		uint64_t limit = uv_hrtime() + 10000000000;
		uv_timer_t tick; /* RawSockets do not wake the loop */
		bool done;

		uv_timer_init(&loop, &tick);
		uv_timer_start(
		    &tick, [](uv_timer_t *) {}, 1, 1);
		while (!(done = ready()) && uv_hrtime() < limit)
			uv_run(&loop, UV_RUN_ONCE);
		uv_close((uv_handle_t *)&tick, nullptr);
		uv_run(&loop, UV_RUN_NOWAIT);
		return done;
	}

	bool
	UntilEnded(uint64_t id)
	{
		return Until([&] { return calls[id].end_events > 0; });
	}
};

/* A socket of the test itself, which the loop does not poll. */
class RawSocket {
      public:
	int fd;

	explicit RawSocket(int f = socket(AF_INET, SOCK_STREAM, 0)) : fd(f)
	{
	}
	~RawSocket()
	{
		Close();
	}
	RawSocket(const RawSocket &) = delete;

	void
	Close()
	{
		if (fd != -1)
			close(fd);
		fd = -1;
	}

	void
	Connect(int port)
	{
		sockaddr_in sin = {};

		sin.sin_family = AF_INET;
		sin.sin_port = htons(port);
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		ASSERT_EQ(connect(fd, (sockaddr *)&sin, sizeof(sin)), 0);
	}

	/* Bind, listen unless backlog is 0, and return the address. */
	std::string
	Listen(int backlog = 16)
	{
		sockaddr_in sin = {};
		socklen_t len = sizeof(sin);

		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(fd, (sockaddr *)&sin, sizeof(sin)), 0);
		EXPECT_EQ(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
		if (backlog > 0) {
			EXPECT_EQ(listen(fd, backlog), 0);
		}
		EXPECT_EQ(getsockname(fd, (sockaddr *)&sin, &len), 0);
		return "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
	}

	void
	Write(const std::string &s)
	{
		EXPECT_EQ(send(fd, s.data(), s.size(), MSG_NOSIGNAL),
		    (ssize_t)s.size());
	}

	/* Accept a pending connection; false when there is none. */
	bool
	Accept(int listener)
	{
		fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
		return fd != -1;
	}

	/*
	 * Read what was received without blocking. closed is set to whether
	 * the stream has ended or failed.
	 */
	std::string
	Poll(bool *closed = nullptr)
	{
		std::string out;
		char b[65536];
		ssize_t n;

		while ((n = recv(fd, b, sizeof(b), MSG_DONTWAIT)) > 0)
			out.append(b, n);
		if (closed != nullptr)
			*closed = n == 0 || (n < 0 && errno != EAGAIN);
		return out;
	}
};

#endif
