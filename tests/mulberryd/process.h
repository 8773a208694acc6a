#ifndef MP_TESTS_MULBERRYD_PROCESS_H
#define MP_TESTS_MULBERRYD_PROCESS_H

/*
 * Helpers for tests that run whole programs: a child process with captured
 * output, reserved ports and a minimal blocking HTTP client.
 */

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

/* A time limit for waiting. */
class Deadline {
      public:
	explicit Deadline(int ms = 20000)
	    : expires_at(std::chrono::steady_clock::now() +
		  std::chrono::milliseconds(ms))
	{
	}

	int
	left_ms() const
	{
		auto left =
		    std::chrono::duration_cast<std::chrono::milliseconds>(
			expires_at - std::chrono::steady_clock::now());

		return left.count() > 0 ? (int)left.count() : 0;
	}

      private:
	std::chrono::steady_clock::time_point expires_at;
};

/* A child process whose stdout and stderr are read from one pipe. */
class Process {
      public:
	/* full_pipe: the pipe takes 4096 bytes and is full at the start. */
	explicit Process(std::vector<std::string> args, bool full_pipe = false,
	    const char *program = MP_MULBERRYD)
	{
		posix_spawn_file_actions_t actions;
		std::vector<char *> argv = {(char *)program};
		int pipe_fds[2];

		for (auto &a : args)
			command_line += " " + a;
		EXPECT_EQ(pipe2(pipe_fds, O_CLOEXEC), 0);
		if (full_pipe)
			fill_pipe(pipe_fds[1]);
		for (auto &a : args)
			argv.push_back((char *)a.c_str());
		argv.push_back(nullptr);
		posix_spawn_file_actions_init(&actions);
		posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], 1);
		posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], 2);
		if (posix_spawn(&pid, program, &actions, nullptr, argv.data(),
			environ) != 0) {
			pid = -1;
			ADD_FAILURE() << "cannot start " << program;
		}
		posix_spawn_file_actions_destroy(&actions);
		close(pipe_fds[1]);
		output_fd = pipe_fds[0];
	}

	/* Kills the process; in a failed test, prints its output. */
	~Process()
	{
		if (send_signal(SIGKILL))
			waitpid(pid, nullptr, 0);
		if (::testing::Test::HasFailure()) {
			while (read_some(Deadline(0)))
				;
			std::cerr << "--- " << command_line << '\n' << output;
		}
		close(output_fd);
	}

	/* Reads until the output contains a text; false at end or deadline. */
	bool
	read_until(const std::string &wanted, Deadline d = Deadline())
	{
		while (output.find(wanted) == std::string::npos) {
			if (!read_some(d))
				return false;
		}
		return true;
	}

	/*
	 * Reads the output to its end and returns the exit code; -1: ended by a
	 * signal, -2: the deadline has passed.
	 */
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
	 * Sends a signal to this process; false if it has ended. The pid is -1
	 * after wait_exit(), and kill() with -1 would signal all processes of
	 * the machine.
	 */
	bool
	send_signal(int signal_number)
	{
		return pid > 0 && kill(pid, signal_number) == 0;
	}

	std::string output; /* read so far */

      private:
	bool
	read_some(const Deadline &d)
	{
		struct pollfd ready = {output_fd, POLLIN, 0};
		char chunk[4096];
		ssize_t n;

		if (poll(&ready, 1, d.left_ms()) != 1)
			return false;
		n = read(output_fd, chunk, sizeof(chunk));
		if (n > 0)
			output.append(chunk, (size_t)n);
		return n > 0;
	}

	static void
	fill_pipe(int fd)
	{
		std::string line(4095, 'x');

		line += '\n';
		EXPECT_EQ(fcntl(fd, F_SETPIPE_SZ, 4096), 4096);
		EXPECT_EQ(write(fd, line.data(), line.size()), 4096);
	}

	pid_t pid = -1;
	int output_fd;
	std::string command_line;
};

/*
 * Returns a port of the kernel's choice, reserved until the test program
 * exits: while a socket is bound to it, without listening, the kernel assigns
 * it to no other process. A server may still bind it, as servers set
 * SO_REUSEADDR.
 */
static inline int
reserve_port()
{
	struct sockaddr_in name = {};
	socklen_t len = sizeof(name);
	int reserved_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
	    on = 1;

	name.sin_family = AF_INET;
	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)setsockopt(
	    reserved_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	EXPECT_EQ(bind(reserved_socket, (struct sockaddr *)&name, len), 0);
	EXPECT_EQ(
	    getsockname(reserved_socket, (struct sockaddr *)&name, &len), 0);
	return ntohs(name.sin_port);
}

/* Returns distinct reserved ports. */
static inline std::vector<int>
reserve_ports(size_t count)
{
	std::vector<int> ports;

	while (ports.size() < count)
		ports.push_back(reserve_port());
	return ports;
}

/* Returns a socket connected to a port on loopback, or -1. */
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

/*
 * Reads until the answer contains a text, or to the end if none is given. Stops
 * when no byte is received for 5 s.
 */
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

/* Sends a request on a new connection; returns its socket, or -1. */
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

/*
 * Sends a request and returns the answer with its status line and headers;
 * empty without a connection.
 */
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

/* Repeats a GET until it returns a status; false after the deadline. */
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

/*
 * Waits until all instances are ready. On failure, the message holds the
 * readiness and the status of each.
 */
static inline ::testing::AssertionResult
wait_all_ready(const std::vector<int> &ports, const std::string &headers)
{
	Deadline d;
	std::string reports;
	bool ready = true;

	for (int port : ports)
		ready = wait_status(port, "/readyz", "200", d) && ready;
	if (ready)
		return ::testing::AssertionSuccess();
	for (int port : ports)
		reports += "--- " + std::to_string(port) + "\n" +
		    http_get(port, "/readyz") +
		    http_call(port, "GET /v1/status", headers) + "\n";
	return ::testing::AssertionFailure() << reports;
}

#endif
