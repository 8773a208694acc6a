#ifndef MP_TESTS_SYSTEM_SYSTEM_H
#define MP_TESTS_SYSTEM_SYSTEM_H

#include <functional>
#include <map>
#include <memory>

#include "mulberryd/process.h"

/*
 * A complete deployment on the loopback interface: five instances, of which the
 * first three are voters with data folders, endpoints and a weight store. Each
 * is a separate process. An int i or entry is the index of an instance.
 */
class System : public ::testing::Test {
      public:
	static constexpr int instance_count = 5;
	static constexpr int voter_count = 3;
	/* Authorization headers and the request line of completions. */
	static const char caller_header[], operator_header[], completion_line[];

      protected:
	void SetUp() override;
	void TearDown() override;

	/*
	 * Starts the engines e1, e2, ... and the service s1, puts the document
	 * and waits until every instance serves calls.
	 */
	void start_serving(int engines,
	    const std::vector<std::string> &engine_options,
	    const std::vector<std::string> &service_options = {});

	void start_instance(int i);
	void kill_instance(int i); /* SIGKILL */
	std::string data_folder(int i) const;
	std::string journal_file(int i) const;
	void start_endpoint(const std::string &id, const std::string &type,
	    const std::vector<std::string> &options);
	/*
	 * Replaces the given revision of the document of team t1: adapters a1
	 * to a9 and the service "orders". Returns the answer.
	 */
	std::string put_document(int entry, unsigned revision);

	int leader(); /* negative if none is known before the deadline */
	/*
	 * Returns the instance that reports an endpoint as its own, other than
	 * except; -1 if there is none before the deadline.
	 */
	int owner_of(const std::string &endpoint, int except = -1);
	std::string status(int i); /* JSON */
	/* Sends a request to an endpoint, bypassing the instances. */
	std::string call_endpoint(const std::string &endpoint,
	    const std::string &line, const std::string &body = "");
	/* Sends a caller's request; key: its idempotency key, if any. */
	std::string call(int entry, const std::string &line,
	    const std::string &body = "", const std::string &key = "");
	/*
	 * Begins a streamed completion and reads its first tokens into answer.
	 * Returns the socket, which the caller closes.
	 */
	int begin_stream(int entry, int tokens, const std::string &adapter,
	    std::string *answer);
	/*
	 * Repeats a call while there is no answer or its status is 503 or 429.
	 * Returns the last answer.
	 */
	std::string call_until_final(int entry, const std::string &line,
	    const std::string &body, const std::string &key);

	int http_port(int i) const;
	int bus_port(int i) const;

	bool records_journal = false; /* start instances with --journal */
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

/* Polls the condition until it holds; returns false after the deadline. */
bool eventually(
    const std::function<bool()> &condition, Deadline d = Deadline());

/*
 * Returns the number after the first such JSON key, -1 if there is no such key.
 * White space may precede the number.
 */
long json_number(const std::string &json, const std::string &key);

bool contains(const std::string &text, const std::string &part);

/*
 * Checks that a streamed answer contains each of the given number of tokens
 * exactly once and in order, and the end marker.
 */
::testing::AssertionResult is_complete_stream(
    const std::string &answer, int tokens);

#endif
