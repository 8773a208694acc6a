#include "path/path_fixture.h"

/*
 * Callers that read nothing for some seconds, of endpoints that cut a response
 * off if they can send nothing of it for some seconds.
 */
class SlowReader : public PathTest {
      protected:
	static constexpr size_t kBytes = 20 << 20;
	/* of the endpoint; "some seconds" */
	static constexpr uint64_t kPatienceNs = 2500000000;
	RawSocket peer{-1};
	std::string whole;
	size_t written = 0;
	uint64_t progress_ns = 0;
	bool is_cut = false;

	void
	SetUp() override
	{
		budget = byte_budget_create(256 << 20);
		PathTest::SetUp();
		whole = "HTTP/1.1 200 OK\r\nMulberrypath-Attempt-Id: 7\r\n"
			"Mulberrypath-Server-Signature: s\r\nContent-Length: " +
		    std::to_string(kBytes) + "\r\n\r\n" +
		    std::string(kBytes, 'x');
	}

	void
	TearDown() override
	{
		PathTest::TearDown();
		EXPECT_EQ(byte_budget_get_stats(budget).used_bytes, 0u);
		byte_budget_destroy(budget);
	}

	/* Send what the entry takes, or give up as the endpoint does. */
	void
	Send()
	{
		ssize_t n;

		if (is_cut || written == whole.size())
			return;
		n = send(peer.fd, whole.data() + written,
		    whole.size() - written, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0) {
			written += (size_t)n;
			progress_ns = uv_hrtime();
		} else if (uv_hrtime() > progress_ns + kPatienceNs) {
			is_cut = true;
			peer.Close();
		}
	}
};

/*
 * Guards against a response that is not read while its caller reads nothing,
 * although there is memory for all of it.
 */
TEST_F(SlowReader, its_response_is_read_while_memory_allows)
{
	RawSocket caller;
	std::string request, received;
	int size = 65536;

	(void)setsockopt(caller.fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	caller.Connect(front_server_get_port(front));
	caller.Write("POST /x HTTP/1.1\r\nHost: h\r\n"
		     "Mulberrypath-Attempt-Id: 7\r\n"
		     "Mulberrypath-Deadline-Ms: 60000\r\n"
		     "Content-Length: 1\r\n\r\nq");
	route.timeout_ms = 60000;
	ASSERT_TRUE(Until([&] { return peer.Accept(listener.fd); }));
	ASSERT_TRUE(Until([&] {
		request += peer.Poll();
		return request.find("\r\n\r\nq") != std::string::npos;
	}));
	progress_ns = uv_hrtime();
	EXPECT_TRUE(Until([&] {
		Send();
		return is_cut || written == whole.size();
	}));
	EXPECT_FALSE(is_cut) << written << " of " << whole.size();
	EXPECT_TRUE(Until([&] {
		bool closed;

		received += caller.Poll(&closed);
		return received.size() > kBytes || closed;
	}));
	EXPECT_GT(received.size(), kBytes);
	EXPECT_EQ(byte_budget_get_stats(budget).cuts, 0u);
}
