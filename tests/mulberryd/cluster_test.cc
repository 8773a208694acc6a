/*
 * Tests of the mulberryd program as a cluster of three voters: timers under
 * load, graceful stop, loss of an instance and loss of a data folder.
 */

#include <gtest/gtest.h>

#include <filesystem>
#include <memory>

extern "C" {
#include "doc/doc.h"
}
#include "mulberryd/process.h"

namespace fs = std::filesystem;

static const int instance_count = 3;
static const char caller_header[] = "authorization: Bearer caller\r\n";
static const char operator_header[] = "authorization: Bearer op\r\n";

static std::string
hash_of(const char *token)
{
	char hash[65];

	doc_hash_token(hash, token);
	return hash;
}

/* Three instances with data folders, an engine and a service. */
class ClusterTest : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		char name[] = "/tmp/mp-cluster-XXXXXX";

		ASSERT_NE(mkdtemp(name), nullptr);
		folder = name;
		ports = reserve_ports(2 * instance_count);
		for (int i = 0; i < instance_count; i++) {
			write_settings(i);
			start(i);
		}
		ASSERT_TRUE(wait_all_ready(
		    {ports.begin(), ports.begin() + instance_count},
		    operator_header));
		start_endpoint("engine");
		start_endpoint("service");
		put_document();
		ASSERT_TRUE(wait_answer("POST /v1/completions",
		    R"({"model":"a1","prompt":"x","max_tokens":1})"));
		ASSERT_TRUE(wait_answer("GET /v1/services/orders/status", ""));
	}

	void
	TearDown() override
	{
		endpoints.clear();
		for (auto &p : instances)
			p.reset();
		fs::remove_all(folder);
	}

	std::string
	settings_file(int i) const
	{
		return folder + "/" + std::to_string(i) + ".json";
	}

	void
	write_settings(int i)
	{
		std::ofstream f(settings_file(i));

		f << R"({"cluster":"c","instance":{"id":)" << i + 1
		  << R"(,"name":"i","dataCentre":"d","region":"r"},)"
		  << R"("http":{"listen":")" << address(i)
		  << R"("},"bus":{"listen":")" << address(instance_count + i)
		  << R"("},"dataFolder":"data)" << i << R"(","peers":[)";
		for (int j = 0; j < instance_count; j++)
			f << (j == 0 ? "" : ",") << R"({"id":)" << j + 1
			  << R"(,"bus":")" << address(instance_count + j)
			  << R"(","voter":true})";
		f << R"(],"operators":[{"name":"op","tokenHash":")"
		  << hash_of("op") << R"(","teams":["*"]}],)"
		  << R"("addressLifetimeMs":1000})";
	}

	std::string
	address(int port) const
	{
		return "127.0.0.1:" + std::to_string(ports[port]);
	}

	void
	start(int i)
	{
		instances[i].reset(new Process({"--config", settings_file(i)}));
	}

	void
	start_endpoint(const std::string &type)
	{
		std::string announce;

		for (int i = 0; i < instance_count; i++)
			announce += (i == 0 ? "" : ",") + address(i);
		endpoints.emplace_back(new Process(
		    {"--type", type, "--id", type, "--service", "orders",
			"--region", "r", "--announce", announce},
		    false, MP_FAKE_ENDPOINT));
	}

	void
	put_document()
	{
		std::string text = R"({"team":"t1","tokens":[")" +
		    hash_of("caller") + R"("],"kinds":{"k":{}},"adapters":{)" +
		    R"("a1":{"version":"1","baseModel":"base-1","kind":"k"}},)" +
		    R"("services":{"orders":{"calls":{)" +
		    R"("GET /status":{"idempotent":true,"kind":"k"},)" +
		    R"("POST /book":{"idempotent":false,"kind":"k"}}}}})";
		std::string answer = http_call(ports[0],
		    "PUT /v1/documents/t1?revision=0&change=c1",
		    operator_header, text);

		ASSERT_NE(answer.find("\"accepted\": true"), std::string::npos)
		    << answer;
	}

	/* Repeats a call at each instance until it answers with 200. */
	bool
	wait_answer(const std::string &line, const std::string &body)
	{
		Deadline d;
		int answered = 0;

		while (answered < instance_count && d.left_ms() > 0) {
			if (http_call(
				ports[answered], line, caller_header, body)
				.find("HTTP/1.1 200") == 0)
				answered++;
		}
		return answered == instance_count;
	}

	/* Returns the index of the leader that instance 0 reports, or -1. */
	int
	leader()
	{
		std::string status =
		    http_call(ports[0], "GET /v1/status", operator_header);
		size_t at = status.find("\"leader\": ");

		return at == std::string::npos
		    ? -1
		    : atoi(status.c_str() + at + strlen("\"leader\": ")) - 1;
	}

	std::string folder;
	std::vector<int> ports;
	std::unique_ptr<Process> instances[instance_count];
	std::vector<std::unique_ptr<Process>> endpoints;
};

/*
 * Guards against a tick timer that is armed anew on each event: a steady flow
 * of requests would then postpone the ticks until leases expire, and the
 * instances would no longer be ready.
 */
TEST_F(ClusterTest, a_steady_flow_of_requests_does_not_delay_ticks)
{
	Deadline d(5000); /* more than two leases */

	while (d.left_ms() > 0) {
		for (int i = 0; i < instance_count; i++)
			ASSERT_EQ(
			    http_get(ports[i], "/readyz").find("HTTP/1.1 200"),
			    0u)
			    << d.left_ms();
	}
}

/*
 * An instance that receives SIGTERM while it forwards a stream must deliver the
 * stream completely before it exits.
 */
TEST_F(ClusterTest, a_graceful_stop_completes_open_streams)
{
	int entry = leader();
	std::string answer;
	int s;

	ASSERT_GE(entry, 0);
	s = http_send_request(ports[entry], "POST /v1/completions",
	    caller_header,
	    R"({"model":"a1","prompt":"x","max_tokens":100,"stream":true})");
	ASSERT_GE(s, 0);
	answer = read_answer(s, "\"offset\": 2");
	instances[entry]->send_signal(SIGTERM);
	answer += read_answer(s);
	close(s);
	EXPECT_NE(answer.find("[DONE]"), std::string::npos) << answer;
	EXPECT_EQ(instances[entry]->wait_exit(), 0) << instances[entry]->output;
	EXPECT_NE(instances[entry]->output.find("stopped instance=i idle=true"),
	    std::string::npos)
	    << instances[entry]->output;
}

/*
 * The instance that confirmed a booking, also the leader, is killed. Another
 * instance must replay the recorded answer for the same idempotency key, and
 * the service must have run the call only once; also after the restart.
 */
TEST_F(ClusterTest, a_confirmed_booking_survives_loss_of_entry_and_leader)
{
	const std::string headers = std::string(caller_header) +
	    "idempotency-key: k1\r\ncontent-type: text/csv\r\n";
	const std::string line = "POST /v1/services/orders/book";
	int entry = leader();
	std::string first, again;
	Deadline d;

	ASSERT_GE(entry, 0);
	first = http_call(ports[entry], line, headers, "{}");
	ASSERT_EQ(first.find("HTTP/1.1 200"), 0u) << first;
	instances[entry]->send_signal(SIGKILL);
	do {
		again = http_call(
		    ports[(entry + 1) % instance_count], line, headers, "{}");
	} while (again.find("HTTP/1.1 503") == 0 && d.left_ms() > 0);
	EXPECT_EQ(again.find("HTTP/1.1 200"), 0u) << again;
	EXPECT_NE(again.find("mulberrypath-replayed"), std::string::npos);
	for (auto &answer : {first, again})
		EXPECT_NE(
		    answer.find("content-type: text/csv"), std::string::npos)
		    << answer;
	EXPECT_EQ(again.substr(again.find("\r\n\r\n")),
	    first.substr(first.find("\r\n\r\n")));

	start(entry);
	EXPECT_TRUE(wait_status(ports[entry], "/readyz", "200"));
	again = http_call(ports[entry], line, headers, "{}");
	EXPECT_NE(again.find("\"ran\":1"), std::string::npos) << again;
}

/*
 * A voter that lost its data folder is promoted again once it has the log. From
 * then on it must count for the quorum: the leader is killed right after the
 * promotion, and the document must still be served.
 */
TEST_F(ClusterTest, a_voter_that_lost_its_disk_is_promoted_and_counts)
{
	int lost = (leader() + 1) % instance_count, other = leader();

	ASSERT_GE(other, 0);
	instances[lost]->send_signal(SIGKILL);
	instances[lost].reset();
	fs::remove_all(folder + "/data" + std::to_string(lost));
	start(lost);
	EXPECT_TRUE(wait_status(ports[lost], "/readyz", "200"));
	EXPECT_TRUE(instances[other]->read_until("change=promoted"))
	    << instances[other]->output;
	/* A second instance is lost right after the promotion. */
	instances[other]->send_signal(SIGKILL);
	EXPECT_TRUE(wait_status(ports[lost], "/readyz", "200"));
	EXPECT_NE(
	    http_call(ports[lost], "GET /v1/documents/t1", operator_header)
		.find("\"revision\": 1"),
	    std::string::npos);
}
