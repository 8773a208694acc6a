#include <gtest/gtest.h>

#include <filesystem>

#include "mulberryd/process.h"

namespace fs = std::filesystem;

/* A cluster of one instance, in a folder of its own. */
class DaemonTest : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		char name[] = "/tmp/mp-daemon-XXXXXX";

		ASSERT_NE(mkdtemp(name), nullptr);
		folder = name;
		ports = reserve_ports(2);
		write_settings("text");
	}

	void
	TearDown() override
	{
		fs::remove_all(folder);
	}

	void
	write_settings(const std::string &format, const char *extra = "")
	{
		std::string http = "127.0.0.1:" + std::to_string(ports[0]);
		std::string bus = "127.0.0.1:" + std::to_string(ports[1]);
		std::ofstream f(file());

		f << R"({"cluster":"c","instance":{"id":1,"name":"one",)"
		  << R"("dataCentre":"d","region":"r"},"http":{"listen":")"
		  << http << R"("},"bus":{"listen":")" << bus
		  << R"("},"dataFolder":"data","peers":[{"id":1,"bus":")" << bus
		  << R"(","voter":true}],"addressLifetimeMs":1000,)"
		  << R"("log":{"level":"info","format":")" << format << "\"}"
		  << extra << "}";
	}

	std::string
	file() const
	{
		return folder + "/settings.json";
	}

	std::string folder;
	std::vector<int> ports;
};

TEST_F(DaemonTest, options)
{
	struct {
		std::vector<std::string> args;
		int code;
		const char *says;
	} cases[] = {
	    {{"--help"}, 0, "usage: mulberryd"},
	    {{"--version"}, 0, "mulberryd 0."},
	    {{"--generate-keys"}, 0, "\"secretKey\""},
	    {{}, 2, "usage: mulberryd"},
	    {{"--nonsense"}, 2, "usage: mulberryd"},
	    {{"--config", file(), "more"}, 2, "usage: mulberryd"},
	    {{"--config", "/nowhere/x", "--check"}, 2, "cannot open"},
	    {{"--config", file(), "--check"}, 0, "settings are valid"},
	};

	for (auto &c : cases) {
		Process p(c.args);

		EXPECT_EQ(p.wait_exit(), c.code) << p.output;
		EXPECT_FALSE(p.send_signal(0)) << "nothing is left to signal";
		EXPECT_NE(p.output.find(c.says), std::string::npos) << p.output;
	}
}

TEST_F(DaemonTest, faulty_settings_are_all_reported_and_nothing_starts)
{
	write_settings("loud", ",\"extra\":1,\"store\":{\"inFlight\":0}");
	for (bool check : {true, false}) {
		std::vector<std::string> args = {"--config", file()};

		if (check)
			args.push_back("--check");
		Process p(args);
		EXPECT_EQ(p.wait_exit(), 78);
		for (const char *path :
		    {"$.log.format", "$.extra", "$.store.inFlight"})
			EXPECT_NE(p.output.find(path), std::string::npos)
			    << p.output;
	}
	EXPECT_FALSE(fs::exists(folder + "/data"));
}

TEST_F(DaemonTest, the_examples_are_valid)
{
	size_t seen = 0;

	for (auto &entry :
	    fs::recursive_directory_iterator(MP_SOURCE_DIR "/examples")) {
		std::string name = entry.path().filename();

		if (name.find("instance-") != 0)
			continue;
		Process p({"--config", entry.path(), "--check"});
		EXPECT_EQ(p.wait_exit(), 0) << p.output;
		seen++;
	}
	EXPECT_EQ(seen, 10u);
}

TEST_F(DaemonTest, an_address_in_use_is_said_and_ends_the_start)
{
	Process first({"--config", file()});

	ASSERT_TRUE(first.read_until(" started ")) << first.output;
	fs::create_directory(folder + "/other");
	folder += "/other";
	write_settings("text");
	{
		Process second({"--config", file()});

		EXPECT_EQ(second.wait_exit(), 1) << second.output;
		EXPECT_NE(
		    second.output.find("005 start-failed"), std::string::npos);
		EXPECT_NE(
		    second.output.find("reason=\"cannot listen on 127.0.0.1"),
		    std::string::npos);
	}
	folder = fs::path(folder).parent_path();
}

TEST_F(DaemonTest, becomes_ready_and_leaves_on_sigterm)
{
	write_settings("json");
	for (int round = 0; round < 2; round++) {
		Process p({"--config", file()});

		EXPECT_TRUE(wait_status(ports[0], "/readyz", "200"));
		EXPECT_NE(http_get(ports[0], "/metrics")
			      .find("mulberrypath_process_resident_bytes"),
		    std::string::npos);
		p.send_signal(SIGTERM);
		EXPECT_EQ(p.wait_exit(), 0) << p.output;
		for (const char *event :
		    {"\"event\":\"started\"", "\"event\":\"stop-requested\"",
			"\"event\":\"exited\"", "\"instance\":\"one\""})
			EXPECT_NE(p.output.find(event), std::string::npos)
			    << p.output;
	}
}

TEST_F(DaemonTest, a_second_signal_ends_it_at_once)
{
	Process p({"--config", file()});

	ASSERT_TRUE(p.read_until(" started ")) << p.output;
	p.send_signal(SIGSTOP);
	p.send_signal(SIGTERM);
	p.send_signal(SIGINT);
	p.send_signal(SIGCONT);
	EXPECT_EQ(p.wait_exit(Deadline(5000)), 1) << p.output;
	EXPECT_NE(p.output.find("exit-forced"), std::string::npos) << p.output;
}

TEST_F(DaemonTest, serves_again_after_being_frozen)
{
	Process p({"--config", file()});

	ASSERT_TRUE(wait_status(ports[0], "/readyz", "200"));
	p.send_signal(SIGSTOP);
	/* nothing answers while it is frozen */
	EXPECT_EQ(http_get(ports[0], "/healthz"), "");
	p.send_signal(SIGCONT);
	EXPECT_TRUE(wait_status(ports[0], "/readyz", "200"));
	p.send_signal(SIGTERM);
	EXPECT_EQ(p.wait_exit(), 0) << p.output;
}

TEST_F(DaemonTest, a_reader_of_the_log_that_stops_does_not_stop_it)
{
	Process p({"--config", file()}, true);

	EXPECT_TRUE(wait_status(ports[0], "/readyz", "200"));
	EXPECT_TRUE(p.read_until("x\n"));
	p.send_signal(SIGTERM);
	EXPECT_EQ(p.wait_exit(), 0);
	EXPECT_NE(p.output.find("log-lines-lost"), std::string::npos)
	    << p.output;
}
