#ifndef MP_TESTS_SYSTEM_SYSTEM_H
#define MP_TESTS_SYSTEM_SYSTEM_H

#include <functional>
#include <map>
#include <memory>

#include "mulberryd/process.h"

/*
 * A whole deployment on loopback: five instances, the first three with data
 * folders, endpoints and a weight store, each a process of its own.
 */
class System : public ::testing::Test {
      public:
	static constexpr int instance_count = 5;
	static constexpr int voter_count = 3;
	static const char caller_header[], operator_header[], completion_line[];

      protected:
	void SetUp() override;
	void TearDown() override;

	/* Start endpoints, apply the document, wait until calls work. */
	void start_serving(int engines,
	    const std::vector<std::string> &engine_options,
	    const std::vector<std::string> &service_options = {});

	void start_instance(int i);
	void kill_instance(int i); /* SIGKILL */
	std::string data_folder(int i) const;
	std::string journal_file(int i) const;
	void start_endpoint(const std::string &id, const std::string &type,
	    const std::vector<std::string> &options);
	/* Document of a revision: adapters a1 to a9, service orders. */
	std::string put_document(int entry, unsigned revision);

	int leader();
	/* Who owns an endpoint, as it says itself; -1: nobody but this one. */
	int owner_of(const std::string &endpoint, int except = -1);
	std::string status(int i);
	std::string call_endpoint(const std::string &endpoint,
	    const std::string &line, const std::string &body = "");
	std::string call(int entry, const std::string &line,
	    const std::string &body = "", const std::string &key = "");
	/* Begin a streamed completion and read its first tokens. */
	int begin_stream(int entry, int tokens, const std::string &adapter,
	    std::string *answer);
	/* Call again while it is answered "not now"; the final answer. */
	std::string call_until_final(int entry, const std::string &line,
	    const std::string &body, const std::string &key);

	int http_port(int i) const;
	int bus_port(int i) const;

	bool records_journal = false; /* run instances with a journal */
	std::unique_ptr<Process> instances[instance_count];
	std::map<std::string, std::unique_ptr<Process>> endpoints;
	std::map<std::string, int> endpoint_ports;

      private:
	std::string address(int port) const;
	std::string settings_file(int i) const;
	void write_settings(int i);

	std::string folder;
	std::vector<int> ports;
	std::unique_ptr<Process> store;
};

/* Poll until it holds; false after the deadline. */
bool eventually(const std::function<bool()> &holds, Deadline d = Deadline());

/* The number after a JSON key, or -1; the key may be spaced or not. */
long json_number(const std::string &json, const std::string &key);

bool contains(const std::string &text, const std::string &part);

/* A streamed answer has each token of 0..n-1 once, in order, and its end. */
::testing::AssertionResult is_complete_stream(
    const std::string &answer, int tokens);

#endif
