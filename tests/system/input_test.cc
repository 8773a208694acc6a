#include "system/system.h"

static const unsigned garbage_seed = 1;

static std::string
garbage(size_t len)
{
	std::string out;
	unsigned n = garbage_seed;

	while (out.size() < len) {
		n = n * 1664525 + 1013904223;
		out += (char)(n >> 24);
	}
	return out;
}

/* Bytes on a new connection, then whatever comes back. */
static std::string
send_raw(int port, const std::string &bytes)
{
	int s = connect_to(port);
	std::string answer;

	EXPECT_GE(s, 0);
	/* the other side may close before it has taken all */
	(void)!::send(s, bytes.data(), bytes.size(), MSG_NOSIGNAL);
	shutdown(s, SHUT_WR);
	answer = read_answer(s);
	close(s);
	return answer;
}

TEST_F(System, broken_input_is_answered_or_dropped_and_nothing_else)
{
	const std::string engine = R"({"id":"e1","incarnation":1,)";
	const std::vector<std::string> announcements = {"", "{", "[]", "null",
	    engine, engine + R"("address":7})",
	    engine + R"("address":"nowhere","type":"engine"})",
	    std::string(100000, '['), garbage(4096)};
	std::string head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\n" +
	    std::string(caller_header) + "content-length: ";
	int half;

	start_serving(1, {});
	/* half a request, held open while the rest goes on */
	half = connect_to(http_port(0));
	ASSERT_EQ(write(half, head.data(), head.size()), (ssize_t)head.size());
	send_raw(http_port(0), head + "1000\r\n\r\n{\"model\"");
	send_raw(http_port(0), garbage(65536));
	EXPECT_TRUE(contains(send_raw(http_port(0),
				 head + "99999999999\r\n\r\n" + garbage(1000)),
	    "HTTP/1.1 413"));
	EXPECT_TRUE(contains(send_raw(http_port(0),
				 head + std::to_string(8 << 20) + "\r\n\r\n" +
				     std::string(8 << 20, 'x')),
	    "HTTP/1.1 413"));
	for (auto &body : announcements)
		EXPECT_TRUE(
		    contains(http_call(http_port(0),
				 "POST /v1/endpoints/announce", "", body),
			"HTTP/1.1 400"))
		    << body.substr(0, 80);
	send_raw(bus_port(0), garbage(65536));
	send_raw(bus_port(0),
	    std::string("\xff\0\0\0\0\0\0\0\1\x7f", 10) + garbage(1000));
	EXPECT_TRUE(
	    contains(http_get(http_port(0), "/v1/addresses?team=%4&adapter"),
		"HTTP/1.1 200"));

	for (int i = 0; i < instance_count; i++) {
		EXPECT_EQ(
		    http_get(http_port(i), "/readyz").find("HTTP/1.1 200"), 0u);
		EXPECT_EQ(call(i, completion_line,
			      R"({"model":"a1","prompt":"x","max_tokens":2})")
			      .find("HTTP/1.1 200"),
		    0u);
	}
	close(half);
	EXPECT_TRUE(instances[0]->send(SIGTERM));
	EXPECT_EQ(instances[0]->wait_exit(), 0) << instances[0]->text;
}
