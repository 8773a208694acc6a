#ifndef MP_TESTS_MULBERRYD_PROCESS_H
#define MP_TESTS_MULBERRYD_PROCESS_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <poll.h>
#include <spawn.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

extern char **environ;

/* Until when a wait may last. */
class Deadline {
      public:
	explicit Deadline(int ms = 20000)
	    : end(std::chrono::steady_clock::now() +
		  std::chrono::milliseconds(ms))
	{
	}

	int
	left_ms() const
	{
		auto left =
		    std::chrono::duration_cast<std::chrono::milliseconds>(
			end - std::chrono::steady_clock::now());

		return left.count() > 0 ? (int)left.count() : 0;
	}

      private:
	std::chrono::steady_clock::time_point end;
};

/* A program whose stdout and stderr come in over one pipe. */
class Process {
      public:
	/* full: the pipe is small and full from the start. */
	explicit Process(std::vector<std::string> args, bool full = false,
	    const char *program = MP_MULBERRYD)
	{
		posix_spawn_file_actions_t actions;
		std::vector<char *> argv = {(char *)program};
		int ends[2];

		for (auto &a : args)
			name += " " + a;
		EXPECT_EQ(pipe2(ends, O_CLOEXEC), 0);
		if (full)
			fill(ends[1]);
		for (auto &a : args)
			argv.push_back((char *)a.c_str());
		argv.push_back(nullptr);
		posix_spawn_file_actions_init(&actions);
		posix_spawn_file_actions_adddup2(&actions, ends[1], 1);
		posix_spawn_file_actions_adddup2(&actions, ends[1], 2);
		if (posix_spawn(&pid, program, &actions, nullptr, argv.data(),
			environ) != 0) {
			pid = -1;
			ADD_FAILURE() << "cannot start " << program;
		}
		posix_spawn_file_actions_destroy(&actions);
		close(ends[1]);
		out = ends[0];
	}

	/* A failed test shows what its processes said. */
	~Process()
	{
		if (send_signal(SIGKILL))
			waitpid(pid, nullptr, 0);
		if (::testing::Test::HasFailure()) {
			while (read_some(Deadline(0)))
				;
			std::cerr << "--- " << name << '\n' << output;
		}
		close(out);
	}

	/* Read until a text has come; false at the end or the deadline. */
	bool
	read_until(const std::string &wanted, Deadline d = Deadline())
	{
		while (output.find(wanted) == std::string::npos) {
			if (!read_some(d))
				return false;
		}
		return true;
	}

	/* Read all up to the end, then the exit code; -1: by a signal. */
	int
	wait_exit(Deadline d = Deadline())
	{
		int status = 0;

		while (read_some(d))
			;
		if (d.left_ms() == 0)
			return -2;
		waitpid(pid, &status, 0);
		pid = -1;
		return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	}

	/*
	 * Send a signal to this process, and never to another: kill() takes a
	 * pid of -1, as after wait_exit(), for all processes of the machine.
	 */
	bool
	send_signal(int signal_number)
	{
		return pid > 0 && kill(pid, signal_number) == 0;
	}

	std::string output;

      private:
	bool
	read_some(const Deadline &d)
	{
		struct pollfd ready = {out, POLLIN, 0};
		char chunk[4096];
		ssize_t n;

		if (poll(&ready, 1, d.left_ms()) != 1)
			return false;
		n = read(out, chunk, sizeof(chunk));
		if (n > 0)
			output.append(chunk, (size_t)n);
		return n > 0;
	}

	static void
	fill(int end)
	{
		std::string line(4095, 'x');

		line += '\n';
		EXPECT_EQ(fcntl(end, F_SETPIPE_SZ, 4096), 4096);
		EXPECT_EQ(write(end, line.data(), line.size()), 4096);
	}

	pid_t pid = -1;
	int out;
	std::string name;
};

/*
 * A port of the kernel's choice, kept until this test ends: a socket that is
 * bound and does not listen keeps it from every other taker, and a server
 * may still bind it, as servers reuse addresses.
 */
static inline int
reserve_port()
{
	struct sockaddr_in name = {};
	socklen_t len = sizeof(name);
	int keeper = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	name.sin_family = AF_INET;
	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)setsockopt(keeper, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	EXPECT_EQ(bind(keeper, (struct sockaddr *)&name, len), 0);
	EXPECT_EQ(getsockname(keeper, (struct sockaddr *)&name, &len), 0);
	return ntohs(name.sin_port);
}

/* Ports that the kernel has found free. */
static inline std::vector<int>
reserve_ports(size_t count)
{
	std::vector<int> ports;

	while (ports.size() < count)
		ports.push_back(reserve_port());
	return ports;
}

/* A socket connected to a port of this machine, or -1. */
static inline int
connect_to(int port)
{
	struct timeval limit = {5, 0};
	struct sockaddr_in to = {};
	int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	to.sin_family = AF_INET;
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	to.sin_port = htons((uint16_t)port);
	setsockopt(s, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(s, (struct sockaddr *)&to, sizeof(to)) == 0)
		return s;
	close(s);
	return -1;
}

/* Read until a text has come or, with none, to the end. */
static inline std::string
read_answer(int s, const std::string &wanted = "")
{
	std::string answer;
	char chunk[4096];
	ssize_t n;

	while (wanted.empty() || answer.find(wanted) == std::string::npos) {
		n = read(s, chunk, sizeof(chunk));
		if (n <= 0)
			break;
		answer.append(chunk, (size_t)n);
	}
	return answer;
}

/* Send a request on a new connection; the connection, or -1. */
static inline int
http_send_request(int port, const std::string &line,
    const std::string &headers = "", const std::string &body = "")
{
	std::string request = line + " HTTP/1.1\r\nhost: x\r\n" + headers +
	    "connection: close\r\ncontent-length: " +
	    std::to_string(body.size()) + "\r\n\r\n" + body;
	int s = connect_to(port);

	if (s >= 0 &&
	    write(s, request.data(), request.size()) !=
		(ssize_t)request.size()) {
		close(s);
		return -1;
	}
	return s;
}

/* A whole call; the answer with its head, empty without a connection. */
static inline std::string
http_call(int port, const std::string &line, const std::string &headers = "",
    const std::string &body = "")
{
	int s = http_send_request(port, line, headers, body);
	std::string answer;

	if (s >= 0) {
		answer = read_answer(s);
		close(s);
	}
	return answer;
}

static inline std::string
http_get(int port, const std::string &path)
{
	return http_call(port, "GET " + path);
}

/* Ask until the answer has a status; false after the deadline. */
static inline bool
wait_status(int port, const std::string &path, const std::string &status,
    Deadline d = Deadline())
{
	while (d.left_ms() > 0) {
		if (http_get(port, path).find("HTTP/1.1 " + status) == 0)
			return true;
		poll(nullptr, 0, 10);
	}
	return false;
}

/* True when all are ready in time; else what each says of itself. */
static inline ::testing::AssertionResult
wait_all_ready(const std::vector<int> &ports, const std::string &headers)
{
	Deadline d;
	std::string said;
	bool ready = true;

	for (int port : ports)
		ready = wait_status(port, "/readyz", "200", d) && ready;
	if (ready)
		return ::testing::AssertionSuccess();
	for (int port : ports)
		said += "--- " + std::to_string(port) + "\n" +
		    http_get(port, "/readyz") +
		    http_call(port, "GET /v1/status", headers) + "\n";
	return ::testing::AssertionFailure() << said;
}

#endif
