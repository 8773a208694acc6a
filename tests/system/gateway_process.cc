#include "system/gateway_process.h"

#include <cstring>
#include <filesystem>

namespace fs = std::filesystem;

enum port_use {
	API,
	BUS,
	FRONT,
	CONTROL,
	REGISTRY,
	READINESS,
	PORT_USES
};

/* ---- the endpoint -------------------------------------------------------- */

std::string
header_value(const std::string &head, const std::string &name)
{
	size_t at = head.find("\r\n" + name + ": "), end;

	if (at == std::string::npos)
		return "";
	at += name.size() + 4;
	end = head.find("\r\n", at);
	return head.substr(at, end - at);
}

std::string
sound_response(const std::string &head, const std::string &body)
{
	return "HTTP/1.1 200 OK\r\nMulberrypath-Attempt-Id: " +
	    header_value(head, "Mulberrypath-Attempt-Id") +
	    "\r\nMulberrypath-Server-Signature: s\r\nContent-Length: " +
	    std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool
write_all(int fd, const std::string &bytes)
{
	size_t done = 0;
	ssize_t n;

	while (done < bytes.size()) {
		n = send(
		    fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		done += (size_t)n;
	}
	return true;
}

StandInEndpoint::StandInEndpoint(Responder r) : responder(std::move(r))
{
	struct sockaddr_in name = {};
	socklen_t len = sizeof(name);

	name.sin_family = AF_INET;
	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	EXPECT_EQ(bind(listener, (struct sockaddr *)&name, len), 0);
	EXPECT_EQ(listen(listener, 512), 0);
	EXPECT_EQ(getsockname(listener, (struct sockaddr *)&name, &len), 0);
	port = ntohs(name.sin_port);
	acceptor = std::thread([this] { accept_all(); });
}

StandInEndpoint::~StandInEndpoint()
{
	shutdown(listener, SHUT_RDWR);
	acceptor.join();
	{
		std::lock_guard<std::mutex> hold(lock);

		for (int fd : connections)
			shutdown(fd, SHUT_RDWR);
	}
	for (auto &t : threads)
		t.join();
	for (int fd : connections)
		close(fd);
	close(listener);
}

std::vector<std::string>
StandInEndpoint::request_lines()
{
	std::lock_guard<std::mutex> hold(lock);

	return lines;
}

void
StandInEndpoint::accept_all()
{
	int fd;

	while ((fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
		std::lock_guard<std::mutex> hold(lock);

		connections.push_back(fd);
		threads.emplace_back([this, fd] { serve(fd); });
	}
}

/* Reads requests, whose bodies have a length, until the connection ends. */
void
StandInEndpoint::serve(int fd)
{
	std::string input;
	char chunk[4096];
	size_t end, size;
	ssize_t n;

	while ((n = read(fd, chunk, sizeof(chunk))) > 0) {
		input.append(chunk, (size_t)n);
		end = input.find("\r\n\r\n");
		if (end == std::string::npos)
			continue;
		std::string head = input.substr(0, end + 2);
		std::string length = header_value(head, "Content-Length");

		size = end + 4 + (length.empty() ? 0 : std::stoul(length));
		if (input.size() < size)
			continue;
		input.erase(0, size);
		{
			std::lock_guard<std::mutex> hold(lock);

			lines.push_back(head.substr(0, head.find(" HTTP")));
		}
		if (!responder(fd, head))
			break;
	}
	shutdown(fd, SHUT_RDWR);
}

/* ---- the instance -------------------------------------------------------- */

void
GatewayProcess::SetUp()
{
	char name[] = "/tmp/mp-gateway-XXXXXX";

	ASSERT_NE(mkdtemp(name), nullptr);
	folder = name;
	ports = reserve_ports(PORT_USES);
}

void
GatewayProcess::TearDown()
{
	is_announcing = false;
	if (announcer.joinable())
		announcer.join();
	instance.reset();
	endpoints.clear();
	fs::remove_all(folder);
}

int
GatewayProcess::api_port() const
{
	return ports[API];
}

int
GatewayProcess::front_port() const
{
	return ports[FRONT];
}

void
GatewayProcess::write_settings(const std::string &limits)
{
	auto at = [this](port_use use) {
		return "\"127.0.0.1:" + std::to_string(ports[use]) + "\"";
	};
	std::ofstream f(folder + "/settings.json");

	f << "{\"cluster\":\"c\",\"instance\":{\"name\":\"one\","
	     "\"dataCentre\":\"z\",\"region\":\"r\"},\"http\":{\"listen\":"
	  << at(API) << ",\"limits\":{\"bodyBytes\":8388608" << limits
	  << "}},\"bus\":{\"listen\":" << at(BUS)
	  << "},\"dataFolder\":\"data\",\"seeds\":[" << at(CONTROL)
	  << "],\"gateway\":{\"front\":" << at(FRONT)
	  << ",\"control\":" << at(CONTROL) << ",\"registry\":" << at(REGISTRY)
	  << ",\"readiness\":" << at(READINESS)
	  << ",\"founding\":true,\"fenced\":true"
	  << "},\"log\":{\"level\":\"info\",\"format\":\"text\"}}";
}

void
GatewayProcess::put_configuration(const std::string &kind)
{
	std::string body =
	    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":"
	    "\"x\",\"path_prefix\":\"/\",\"type\":\"" +
	    kind +
	    "\",\"timeout_ms\":20000,\"target_latency_ms\":4000,\"service\":"
	    "\"app\"}],\"services\":[{\"name\":\"app\"}]}";
	Deadline d;

	while (http_call(ports[CONTROL], "PUT /api/configuration", "", body)
		   .find("HTTP/1.1 200") != 0) {
		ASSERT_GT(d.left_ms(), 0) << "no configuration is accepted";
		poll(nullptr, 0, 20);
	}
}

/* Announces the endpoints once a second until the test ends. */
void
GatewayProcess::announce_all()
{
	uint64_t sequence = 0;

	while (is_announcing) {
		sequence++;
		for (size_t i = 0; i < endpoints.size(); i++)
			(void)http_call(ports[CONTROL],
			    "PUT /api/instances/e" + std::to_string(i), "",
			    "{\"service\":\"app\",\"address\":\"127.0.0.1:" +
				std::to_string(endpoints[i]->port) +
				"\",\"zone\":\"z\",\"slots\":1000,\"state\":"
				"\"ready\",\"born\":1,\"sequence\":" +
				std::to_string(sequence) + "}");
		for (int i = 0; i < 50 && is_announcing; i++)
			poll(nullptr, 0, 20);
	}
}

void
GatewayProcess::start_serving(StandInEndpoint::Responder responder,
    const std::string &kind, const std::string &limits)
{
	endpoints.push_back(
	    std::make_unique<StandInEndpoint>(std::move(responder)));
	write_settings(limits);
	instance = std::make_unique<Process>(
	    std::vector<std::string>{"--config", folder + "/settings.json"});
	ASSERT_TRUE(instance->read_until(" started "));
	put_configuration(kind);
	is_announcing = true;
	announcer = std::thread([this] { announce_all(); });
	Deadline d;
	while (call("GET /").find("HTTP/1.1 200") != 0)
		ASSERT_GT(d.left_ms(), 0) << "no request is served";
}

std::string
GatewayProcess::attempt_headers(uint64_t deadline_ms)
{
	return "Mulberrypath-Attempt-Id: " + std::to_string(++last_attempt) +
	    "\r\nMulberrypath-Deadline-Ms: " + std::to_string(deadline_ms) +
	    "\r\n";
}

int
GatewayProcess::send_call(const std::string &line, uint64_t deadline_ms)
{
	return http_send_request(
	    ports[FRONT], line, attempt_headers(deadline_ms), "body");
}

std::string
GatewayProcess::call(const std::string &line, const std::string &body)
{
	return http_call(ports[FRONT], line, attempt_headers(4000), body);
}

double
GatewayProcess::metric(const std::string &name)
{
	std::string text = http_get(ports[API], "/metrics");
	size_t at = text.find("\nmulberrypath_" + name + " ");

	return at == std::string::npos
	    ? -1
	    : std::stod(text.substr(at + name.size() + 15));
}
