#include "system/system.h"

#include <filesystem>

extern "C" {
#include "doc/doc.h"
}

namespace fs = std::filesystem;

const char System::caller_header[] = "authorization: Bearer caller\r\n";
const char System::operator_header[] = "authorization: Bearer op\r\n";
const char System::completion_line[] = "POST /v1/completions";

static std::string
hash_token(const char *token)
{
	char hash[65];

	doc_hash_token(hash, token);
	return hash;
}

bool
eventually(const std::function<bool()> &condition, Deadline d)
{
	do {
		if (condition())
			return true;
		poll(nullptr, 0, 10);
	} while (d.left_ms() > 0);
	return false;
}

long
json_number(const std::string &json, const std::string &key)
{
	size_t at = json.find("\"" + key + "\":");

	return at == std::string::npos
	    ? -1
	    : atol(json.c_str() + at + key.size() + 3);
}

bool
contains(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

::testing::AssertionResult
is_complete_stream(const std::string &answer, int tokens)
{
	size_t at = 0;

	for (int i = 0; i < tokens; i++) {
		std::string token = "-" + std::to_string(i) + " ";

		at = answer.find(token, at);
		if (at == std::string::npos)
			return ::testing::AssertionFailure()
			    << "token " << i << " is missing in " << answer;
		if (answer.find(token, at + 1) != std::string::npos)
			return ::testing::AssertionFailure()
			    << "token " << i << " is duplicated in " << answer;
	}
	if (!contains(answer, "data: [DONE]"))
		return ::testing::AssertionFailure()
		    << "no end marker in " << answer;
	return ::testing::AssertionSuccess();
}

/* ---- set-up and teardown ----------------------------------------------- */

void
System::SetUp()
{
	char name[] = "/tmp/mp-system-XXXXXX";

	ASSERT_NE(mkdtemp(name), nullptr);
	folder = name;
	ports = reserve_ports(2 * instance_count + 1);
	store.reset(new Process(
	    {"--listen", address(2 * instance_count), "--rate", "50"}, false,
	    MP_FAKE_STORE));
	for (int i = 0; i < instance_count; i++) {
		write_settings(i);
		start_instance(i);
	}
	ASSERT_TRUE(wait_all_ready(
	    {ports.begin(), ports.begin() + instance_count}, operator_header));
}

void
System::TearDown()
{
	endpoints.clear();
	for (auto &p : instances)
		p.reset();
	store.reset();
	fs::remove_all(folder);
}

std::string
System::address(int port) const
{
	return "127.0.0.1:" + std::to_string(ports[(size_t)port]);
}

int
System::http_port(int i) const
{
	return ports[(size_t)i];
}

int
System::bus_port(int i) const
{
	return ports[(size_t)(instance_count + i)];
}

std::string
System::settings_file(int i) const
{
	return folder + "/" + std::to_string(i) + ".json";
}

std::string
System::data_folder(int i) const
{
	return folder + "/data" + std::to_string(i);
}

std::string
System::journal_file(int i) const
{
	return folder + "/journal" + std::to_string(i);
}

void
System::write_settings(int i)
{
	std::ofstream f(settings_file(i));

	f << R"({"cluster":"c","instance":{"id":)" << i + 1
	  << R"(,"name":"i","dataCentre":"d)" << i << R"(","region":"r"},)"
	  << R"("http":{"listen":")" << address(i) << R"("},"bus":{"listen":")"
	  << address(instance_count + i) << "\"},";
	if (i < voter_count)
		f << R"("dataFolder":"data)" << i << "\",";
	f << R"("peers":[)";
	for (int j = 0; j < instance_count; j++)
		f << (j == 0 ? "" : ",") << R"({"id":)" << j + 1
		  << R"(,"bus":")" << address(instance_count + j)
		  << R"(","voter":)" << (j < voter_count ? "true" : "false")
		  << "}";
	f << R"(],"operators":[{"name":"op","tokenHash":")" << hash_token("op")
	  << R"(","teams":["*"]}],"addressLifetimeMs":1000,)"
	  << R"("store":{"loadsPerSecond":50,"inFlight":8}})";
}

void
System::start_instance(int i)
{
	std::vector<std::string> args = {"--config", settings_file(i)};

	if (records_journal) {
		args.push_back("--journal");
		args.push_back(journal_file(i));
	}
	instances[i].reset(new Process(args));
}

void
System::kill_instance(int i)
{
	instances[i]->send_signal(SIGKILL);
	instances[i].reset();
}

void
System::start_endpoint(const std::string &id, const std::string &type,
    const std::vector<std::string> &options)
{
	int port = reserve_ports(1)[0];
	std::string announce;
	std::vector<std::string> args = {"--id", id, "--type", type,
	    "--service", "orders", "--region", "r", "--data-centre", "d0",
	    "--store", address(2 * instance_count), "--listen",
	    "127.0.0.1:" + std::to_string(port), "--seed", "1", "--announce"};

	for (int i = 0; i < instance_count; i++)
		announce += (i == 0 ? "" : ",") + address(i);
	args.push_back(announce);
	args.insert(args.end(), options.begin(), options.end());
	endpoint_ports[id] = port;
	endpoints[id].reset(new Process(args, false, MP_FAKE_ENDPOINT));
}

std::string
System::put_document(int entry, unsigned revision)
{
	std::string text = R"({"team":"t1","tokens":[")" +
	    hash_token("caller") + R"("],)" +
	    R"("kinds":{"k":{}},"services":{"orders":{"calls":{)" +
	    R"("GET /status":{"idempotent":true,"kind":"k"},)" +
	    R"("POST /book":{"idempotent":false,"kind":"k"}}}},"adapters":{)";

	for (int i = 1; i <= 9; i++)
		text += (i == 1 ? "\"a" : ",\"a") + std::to_string(i) +
		    R"(":{"version":"1","baseModel":"base-1","kind":"k"})";
	return http_call(http_port(entry),
	    "PUT /v1/documents/t1?revision=" + std::to_string(revision) +
		"&change=c" + std::to_string(revision),
	    operator_header, text + "}}");
}

void
System::start_serving(int engines,
    const std::vector<std::string> &engine_options,
    const std::vector<std::string> &service_options)
{
	std::string answer;

	for (int i = 1; i <= engines; i++)
		start_endpoint(
		    "e" + std::to_string(i), "engine", engine_options);
	start_endpoint("s1", "service", service_options);
	answer = put_document(0, 0);
	ASSERT_TRUE(contains(answer, "\"accepted\": true")) << answer;
	for (int i = 0; i < instance_count; i++) {
		ASSERT_TRUE(eventually([&] {
			return call(i, completion_line,
				   R"({"model":"a1","prompt":"x",)"
				   R"("max_tokens":1})")
				   .find("HTTP/1.1 200") == 0;
		}));
		ASSERT_TRUE(eventually([&] {
			return call(i, "GET /v1/services/orders/status")
				   .find("HTTP/1.1 200") == 0;
		}));
	}
}

/* ---- calls ------------------------------------------------------------- */

std::string
System::status(int i)
{
	return http_call(http_port(i), "GET /v1/status", operator_header);
}

int
System::leader()
{
	long id = 0;

	eventually([&] { return (id = json_number(status(0), "leader")) > 0; });
	return (int)id - 1;
}

int
System::owner_of(const std::string &endpoint, int except)
{
	int owner = -1;

	eventually([&] {
		for (int i = 0; i < instance_count && owner < 0; i++)
			if (i != except && instances[i] != nullptr &&
			    contains(http_call(http_port(i),
					 "GET /v1/endpoints", operator_header),
				"\"id\":\"" + endpoint + "\""))
				owner = i;
		return owner >= 0;
	});
	return owner;
}

std::string
System::call_endpoint(const std::string &endpoint, const std::string &line,
    const std::string &body)
{
	return http_call(endpoint_ports[endpoint], line, "", body);
}

std::string
System::call(int entry, const std::string &line, const std::string &body,
    const std::string &key)
{
	std::string headers = caller_header;

	if (!key.empty())
		headers += "idempotency-key: " + key + "\r\n";
	return http_call(http_port(entry), line, headers, body);
}

int
System::begin_stream(
    int entry, int tokens, const std::string &adapter, std::string *answer)
{
	int s =
	    http_send_request(http_port(entry), completion_line, caller_header,
		R"({"model":")" + adapter + R"(","prompt":"x","stream":true,)" +
		    R"("max_tokens":)" + std::to_string(tokens) + "}");

	EXPECT_GE(s, 0);
	*answer = read_answer(s, "\"offset\": 2");
	EXPECT_TRUE(contains(*answer, "\"offset\": 2")) << *answer;
	return s;
}

std::string
System::call_until_final(int entry, const std::string &line,
    const std::string &body, const std::string &key)
{
	std::string answer;

	eventually([&] {
		answer = call(entry, line, body, key);
		return !answer.empty() && answer.find("HTTP/1.1 503") != 0 &&
		    answer.find("HTTP/1.1 429") != 0;
	});
	return answer;
}
