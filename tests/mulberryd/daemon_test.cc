/*
 * Tests of the mulberryd program as a single instance: command line, settings,
 * start, signals and log output.
 */

#include <gtest/gtest.h>

#include <filesystem>

#include "mulberryd/process.h"

namespace fs = std::filesystem;

/* Settings for a cluster of one instance, in a temporary folder. */
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
		std::ofstream f(settings_file());

		f << R"({"cluster":"c","instance":{"id":1,"name":"one",)"
		  << R"("dataCentre":"d","region":"r"},"http":{"listen":")"
		  << http << R"("},"bus":{"listen":")" << bus
		  << R"("},"dataFolder":"data","peers":[{"id":1,"bus":")" << bus
		  << R"(","voter":true}],"addressLifetimeMs":1000,)"
		  << R"("log":{"level":"info","format":")" << format << "\"}"
		  << extra << "}";
	}

	std::string
	settings_file() const
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
		const char *expected_output;
	} cases[] = {
	    {{"--help"}, 0, "usage: mulberryd"},
	    {{"--version"}, 0, "mulberryd 0."},
	    {{"--generate-keys"}, 0, "\"secretKey\""},
	    {{}, 2, "usage: mulberryd"},
	    {{"--nonsense"}, 2, "usage: mulberryd"},
	    {{"--config", settings_file(), "more"}, 2, "usage: mulberryd"},
	    {{"--config", "/nowhere/x", "--check"}, 2, "cannot open"},
	    {{"--config", settings_file(), "--check"}, 0, "settings are valid"},
	};

	for (auto &c : cases) {
		Process p(c.args);

		EXPECT_EQ(p.wait_exit(), c.code) << p.output;
		EXPECT_FALSE(p.send_signal(0)) << "nothing is left to signal";
		EXPECT_NE(p.output.find(c.expected_output), std::string::npos)
		    << p.output;
	}
}

/*
 * Guards against a check that stops at the first invalid value and against a
 * start with invalid settings, which would create the data folder.
 */
TEST_F(DaemonTest, faulty_settings_are_all_reported_and_nothing_starts)
{
	write_settings("loud", ",\"extra\":1,\"store\":{\"inFlight\":0}");
	for (bool check : {true, false}) {
		std::vector<std::string> args = {"--config", settings_file()};

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
	size_t valid_examples = 0;

	for (auto &entry :
	    fs::recursive_directory_iterator(MP_SOURCE_DIR "/examples")) {
		std::string name = entry.path().filename();

		if (name.find("instance-") != 0)
			continue;
		Process p({"--config", entry.path(), "--check"});
		EXPECT_EQ(p.wait_exit(), 0) << p.output;
		valid_examples++;
	}
	EXPECT_EQ(valid_examples, 10u);
}

/*
 * A second process with the same addresses must exit with an error that names
 * the address, and must not run without its listener.
 */
TEST_F(DaemonTest, an_address_in_use_is_reported_and_fails_the_start)
{
	Process first({"--config", settings_file()});

	ASSERT_TRUE(first.read_until(" started ")) << first.output;
	fs::create_directory(folder + "/other");
	folder += "/other";
	write_settings("text");
	{
		Process second({"--config", settings_file()});

		EXPECT_EQ(second.wait_exit(), 1) << second.output;
		EXPECT_NE(
		    second.output.find("005 start-failed"), std::string::npos);
		EXPECT_NE(
		    second.output.find("reason=\"cannot listen on 127.0.0.1"),
		    std::string::npos);
	}
	folder = fs::path(folder).parent_path();
}

/* The second round starts with the data folder of the first. */
TEST_F(DaemonTest, becomes_ready_and_exits_on_sigterm)
{
	write_settings("json");
	for (int round = 0; round < 2; round++) {
		Process p({"--config", settings_file()});

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

/*
 * A second stop signal must force the exit. SIGSTOP lets both signals become
 * pending before the process handles the first and exits.
 */
TEST_F(DaemonTest, a_second_signal_forces_the_exit)
{
	Process p({"--config", settings_file()});

	ASSERT_TRUE(p.read_until(" started ")) << p.output;
	p.send_signal(SIGSTOP);
	p.send_signal(SIGTERM);
	p.send_signal(SIGINT);
	p.send_signal(SIGCONT);
	EXPECT_EQ(p.wait_exit(Deadline(5000)), 1) << p.output;
	EXPECT_NE(p.output.find("exit-forced"), std::string::npos) << p.output;
}

/*
 * A suspended process must become ready again when it continues, and must still
 * stop gracefully.
 */
TEST_F(DaemonTest, serves_again_after_a_suspension)
{
	Process p({"--config", settings_file()});

	ASSERT_TRUE(wait_status(ports[0], "/readyz", "200"));
	p.send_signal(SIGSTOP);
	/* A suspended process sends no answer. */
	EXPECT_EQ(http_get(ports[0], "/healthz"), "");
	p.send_signal(SIGCONT);
	EXPECT_TRUE(wait_status(ports[0], "/readyz", "200"));
	p.send_signal(SIGTERM);
	EXPECT_EQ(p.wait_exit(), 0) << p.output;
}

/*
 * The pipe for the log is full from the start. A blocking write to it would
 * hang the process; instead lines are dropped and their number is logged after
 * the pipe was read.
 */
TEST_F(DaemonTest, a_full_log_pipe_does_not_block_the_process)
{
	Process p({"--config", settings_file()}, true);

	EXPECT_TRUE(wait_status(ports[0], "/readyz", "200"));
	EXPECT_TRUE(p.read_until("x\n"));
	p.send_signal(SIGTERM);
	EXPECT_EQ(p.wait_exit(), 0);
	EXPECT_NE(p.output.find("log-lines-lost"), std::string::npos)
	    << p.output;
}
