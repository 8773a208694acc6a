#include "system/system.h"

/*
 * Guards against an instance that crashes or stops serving other connections
 * when it receives malformed input: truncated, oversized or random requests,
 * announcements and bus frames.
 */

static const unsigned random_seed = 1;

static std::string
random_bytes(size_t len)
{
	std::string out;
	unsigned n = random_seed;

	while (out.size() < len) {
		n = n * 1664525 + 1013904223;
		out += (char)(n >> 24);
	}
	return out;
}

/* Sends bytes on a new connection and returns all that is received. */
static std::string
send_raw(int port, const std::string &bytes)
{
	int s = connect_to(port);
	std::string answer;

	EXPECT_GE(s, 0);
	/* the peer may close the connection before it has read everything */
	(void)!::send(s, bytes.data(), bytes.size(), MSG_NOSIGNAL);
	shutdown(s, SHUT_WR);
	answer = read_answer(s);
	close(s);
	return answer;
}

TEST_F(System, malformed_input_is_rejected_and_instances_still_serve)
{
	const std::string engine = R"({"id":"e1","incarnation":1,)";
	const std::vector<std::string> announcements = {"", "{", "[]", "null",
	    engine, engine + R"("address":7})",
	    engine + R"("address":"nowhere","type":"engine"})",
	    std::string(100000, '['), random_bytes(4096)};
	std::string head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\n" +
	    std::string(caller_header) + "content-length: ";
	int incomplete;

	start_serving(1, {});
	/* an incomplete request, kept open during the rest of the test */
	incomplete = connect_to(http_port(0));
	ASSERT_EQ(
	    write(incomplete, head.data(), head.size()), (ssize_t)head.size());
	send_raw(http_port(0), head + "1000\r\n\r\n{\"model\"");
	send_raw(http_port(0), random_bytes(65536));
	EXPECT_TRUE(
	    contains(send_raw(http_port(0),
			 head + "99999999999\r\n\r\n" + random_bytes(1000)),
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
	send_raw(bus_port(0), random_bytes(65536));
	send_raw(bus_port(0),
	    std::string("\xff\0\0\0\0\0\0\0\1\x7f", 10) + random_bytes(1000));
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
	close(incomplete);
	EXPECT_TRUE(instances[0]->send_signal(SIGTERM));
	EXPECT_EQ(instances[0]->wait_exit(), 0) << instances[0]->output;
}
