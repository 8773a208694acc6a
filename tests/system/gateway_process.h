#ifndef MP_TESTS_SYSTEM_GATEWAY_PROCESS_H
#define MP_TESTS_SYSTEM_GATEWAY_PROCESS_H

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "mulberryd/process.h"

/*
 * An endpoint in the test program: accepts connections on a port of its own and
 * answers each request by a function, on a thread a connection.
 */
class StandInEndpoint {
      public:
	/* Writes the response to a request; false: close the connection. */
	using Responder = std::function<bool(int fd, const std::string &head)>;

	explicit StandInEndpoint(Responder responder);
	~StandInEndpoint(); /* ends all connections */

	int port = 0;
	/* The request lines received, without health checks. */
	std::vector<std::string> request_lines();

      private:
	Responder responder;
	int listener = -1;
	std::mutex lock;
	std::vector<std::string> lines;
	std::vector<int> connections;
	std::vector<std::thread> threads;
	std::thread acceptor;

	void accept_all();
	void serve(int fd);
};

/* The value of a header in a head; empty if it is missing. */
std::string header_value(const std::string &head, const std::string &name);

/* A complete response of a sound endpoint. */
std::string sound_response(const std::string &head, const std::string &body);

/* Writes all bytes; false if the peer has closed the connection. */
bool write_all(int fd, const std::string &bytes);

/*
 * One instance with all listeners of the gateway, which leads and is the entry,
 * and a configuration whose only route has the prefix "/".
 */
class GatewayProcess : public ::testing::Test {
      protected:
	std::unique_ptr<Process> instance;
	std::vector<std::unique_ptr<StandInEndpoint>> endpoints;

	void SetUp() override;
	void TearDown() override;

	/*
	 * Starts the instance with the configuration and an endpoint that
	 * answers by the function.
	 *
	 * kind: of the route, as in a configuration.
	 * limits: settings of http.limits, each preceded by a comma.
	 */
	void start_serving(StandInEndpoint::Responder responder,
	    const std::string &kind = "non_idempotent",
	    const std::string &limits = "");
	/* Sends a caller's request; returns its socket. */
	int send_call(const std::string &line, uint64_t deadline_ms = 4000);
	/* The same, and reads the whole answer; empty: none within 5 s. */
	std::string call(const std::string &line, const std::string &body = "");
	/* The metric's value; -1: there is none. */
	double metric(const std::string &name);
	int api_port() const;
	int front_port() const;

      private:
	std::string folder;
	std::vector<int> ports;
	uint64_t last_attempt = 0;
	std::atomic<bool> is_announcing{false};
	std::thread announcer;

	void write_settings(const std::string &limits);
	void put_configuration(const std::string &kind);
	void announce_all();
	std::string attempt_headers(uint64_t deadline_ms);
};

#endif
