#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <cstring>
#include <string>
#include <vector>

#include "fakes/fake.h"
#include "http/http.h"
#include "mulberryctl/ctl.h"

namespace {

/* Runs commands against a server on the same loop. */
class Command : public ::testing::Test {
      protected:
	uv_loop_t loop;
	http_server *server = nullptr;
	bool closed = false;
	std::string out, err, folder;
	std::vector<std::string> asked, bodies, keys;
	/* Answers the n-th request. */
	std::function<void(const node_request *, size_t)> answer;

	void
	SetUp() override
	{
		http_server_options options = {"127.0.0.1:0", 1 << 20, 16 << 10,
		    100, 10000, nullptr, nullptr, nullptr};
		http_server_callbacks callbacks = {OnRequest, OnGone, nullptr};
		char name[] = "/tmp/ctl-test-XXXXXX";

		ASSERT_EQ(uv_loop_init(&loop), 0);
		ASSERT_EQ(http_server_create(&server, &loop, &options,
			      &callbacks, this, nullptr),
		    0);
		ASSERT_NE(mkdtemp(name), nullptr);
		folder = name;
	}

	void
	TearDown() override
	{
		http_server_destroy(
		    server, [](void *p) { *(bool *)p = true; }, &closed);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_TRUE(closed);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		EXPECT_EQ(system(("rm -r " + folder).c_str()), 0);
	}

	static void
	OnRequest(void *ctx, const node_request *r)
	{
		Command *t = (Command *)ctx;

		t->asked.push_back(std::string(r->method) + " " + r->path);
		t->bodies.emplace_back(r->body.data, r->body.len);
		t->keys.emplace_back(
		    r->idempotency_key ? r->idempotency_key : "");
		t->answer(r, t->asked.size() - 1);
	}

	static void
	OnGone(void *, uint64_t)
	{
	}

	std::string
	Address() const
	{
		return "127.0.0.1:" +
		    std::to_string(http_server_get_port(server));
	}

	void
	Reply(const node_request *r, int status, const std::string &body)
	{
		node_reply reply = {};

		reply.request = r->request;
		reply.status = status;
		reply.content_type = "application/json";
		reply.body = {body.data(), body.size()};
		http_server_reply(server, &reply);
	}

	void
	Refuse(const node_request *r, int status, const std::string &code,
	    const std::string &outcome)
	{
		Reply(r, status,
		    R"({"error":{"code":")" + code +
			R"(","message":"no","outcome":")" + outcome + "\"}}");
	}

	void
	Cut(const node_request *r)
	{
		http_server_end(server, r->request, true);
	}

	std::string
	File(const std::string &name, const std::string &text)
	{
		std::string path = folder + "/" + name;
		FILE *f = fopen(path.c_str(), "w");

		fputs(text.c_str(), f);
		fclose(f);
		return path;
	}

	int
	Run(std::vector<std::string> words)
	{
		std::vector<char *> argv = {(char *)"mulberryctl"};
		char *out_text = nullptr, *err_text = nullptr;
		size_t out_len, err_len;
		FILE *o = open_memstream(&out_text, &out_len);
		FILE *e = open_memstream(&err_text, &err_len);
		int code;

		for (std::string &w : words)
			argv.push_back(w.data());
		argv.push_back(nullptr);
		code = ctl_main((int)argv.size() - 1, argv.data(), &loop, o, e);
		fclose(o);
		fclose(e);
		out = out_text;
		err = err_text;
		free(out_text);
		free(err_text);
		return code;
	}

	std::string
	Example()
	{
		return MP_SOURCE_DIR "/examples/kuuldeallikas/tallinn.json";
	}
};

TEST_F(Command, UsageErrorsAndHelp)
{
	std::string many = "127.0.0.1:1";

	for (int i = 0; i < 16; i++)
		many += ",127.0.0.1:1";
	const struct {
		std::vector<std::string> words;
		int code;
		const char *text; /* within out or err */
	} cases[] = {{{}, 2, "COMMAND"}, {{"--help"}, 0, "bookings"},
	    {{"nonsense"}, 2, "no such command"}, {{"doc"}, 2, "doc COMMAND"},
	    {{"doc", "apply"}, 2, "needs FILE"},
	    {{"doc", "get", "a", "b"}, 2, "needs TEAM"},
	    {{"doc", "apply", "--help"}, 0, "--change ID"},
	    {{"doc", "rollback", "t"}, 2, "--to is needed"},
	    {{"doc", "rollback", "t", "--to", "x"}, 2, "found \"x\""},
	    {{"doc", "apply", "/nonexistent"}, 2, "/nonexistent"},
	    {{"status", "--nonsense"}, 2, "unknown option"},
	    {{"status", "--server"}, 2, "needs a value"},
	    {{"status"}, 2, "--server is needed"},
	    {{"status", "--server", "127.0.0.1:1,there"}, 2, "found \"there\""},
	    {{"status", "--server", many}, 2, "up to 16 times"},
	    {{"load", "--trace", "/dev/null", "--server", "127.0.0.1:1",
		 "--samples", "/nonexistent/x"},
		2, "/nonexistent/x"},
	    {{"load"}, 2, "one of --make and --trace"},
	    {{"load", "--make", "/tmp/x"}, 2, "--docs"},
	    {{"load", "--make", "/tmp/x", "--docs", Example(), "--rate", "-1"},
		2, "--rate"},
	    {{"load", "--make", "/tmp/x", "--docs", Example(), "--flood",
		 "nobody:1:2:3"},
		2, "--flood"}};

	for (const auto &c : cases) {
		EXPECT_EQ(Run(c.words), c.code) << out << err;
		EXPECT_NE((out + err).find(c.text), std::string::npos)
		    << out << err;
	}
}

TEST_F(Command, ValidateNamesAllFaults)
{
	std::string bad = File(
	    "bad.json", R"({"team":"t","tokens":[],"weight":-1,"nonsense":1})");

	EXPECT_EQ(Run({"doc", "validate", Example()}), 0) << err;
	EXPECT_EQ(Run({"doc", "validate", bad}), 1);
	EXPECT_NE(err.find("$.weight"), std::string::npos) << err;
	EXPECT_NE(err.find("$.nonsense"), std::string::npos) << err;
	EXPECT_EQ(Run({"doc", "validate", bad, "--json"}), 1);
	EXPECT_NE(out.find("\"path\":\"$.nonsense\""), std::string::npos);
}

/* Every attempt carries the same change and revision, on another server. */
TEST_F(Command, ApplyRepeatsTheChangeWhileItsAnswerIsLost)
{
	answer = [this](const node_request *r, size_t n) {
		if (n == 0)
			Refuse(r, 404, "unknown-team", "not-run");
		else if (n == 1)
			Cut(r);
		else if (n == 2)
			Refuse(r, 503, "no-quorum", "not-run");
		else if (n == 3)
			Refuse(r, 504, "timeout", "unknown");
		else if (n == 4)
			Reply(r, 200,
			    R"({"accepted":true,"revision":1,"index":9})");
		else
			Reply(r, 200,
			    n == 5 ? R"({"inForceIndex":8})"
				   : R"({"inForceIndex":9})");
	};
	EXPECT_EQ(Run({"doc", "apply", Example(), "--wait", "--json",
		      "--server", "127.0.0.1:1," + Address()}),
	    0)
	    << err;
	ASSERT_EQ(asked.size(), 7U);
	EXPECT_EQ(
	    asked[1].find("PUT /v1/documents/tallinn?revision=0&change="), 0U);
	for (size_t i = 2; i <= 4; i++) {
		EXPECT_EQ(asked[i], asked[1]);
		EXPECT_EQ(bodies[i], bodies[1]);
	}
	EXPECT_NE(out.find("\"inForce\":true"), std::string::npos) << out;
}

TEST_F(Command, ExitCodesOfApply)
{
	const struct {
		std::function<void(const node_request *)> put;
		int code;
		const char *text;
	} cases[] = {{[this](const node_request *r) { Cut(r); }, 4, "unknown"},
	    {[this](const node_request *r) {
		     Refuse(r, 503, "no-quorum", "not-run");
	     },
		1, "no-quorum"},
	    {[this](const node_request *r) {
		     Reply(r, 409, R"({"accepted":false,"revision":7})");
	     },
		1, "current revision is 7"},
	    {[this](const node_request *r) {
		     Refuse(r, 401, "unauthorized", "not-run");
	     },
		1, "unauthorized"}};

	for (const auto &c : cases) {
		answer = [&c](const node_request *r, size_t) { c.put(r); };
		EXPECT_EQ(Run({"doc", "apply", Example(), "--revision", "6",
			      "--change", "c1", "--timeout", "0.3", "--server",
			      Address()}),
		    c.code)
		    << out << err;
		EXPECT_NE(err.find(c.text), std::string::npos) << err;
	}
	EXPECT_EQ(Run({"doc", "apply", Example(), "--revision", "6",
		      "--timeout", "0.3", "--server", "127.0.0.1:1"}),
	    3);
	EXPECT_EQ(Run({"status", "--server", "127.0.0.1:1"}), 3);
}

TEST_F(Command, DrainSaysWhetherItWasTaken)
{
	answer = [this](const node_request *r, size_t) {
		Reply(r, 200, R"({"draining": true})");
	};
	EXPECT_EQ(Run({"drain", "--server", Address()}), 0) << err;
	EXPECT_EQ(out, "draining\n");
	answer = [this](const node_request *r, size_t) {
		Refuse(r, 403, "forbidden", "not-run");
	};
	EXPECT_EQ(Run({"drain", "--server", Address()}), 1) << out;
}

TEST_F(Command, RollbackAppliesTheOldText)
{
	answer = [this](const node_request *r, size_t n) {
		if (n == 0)
			Reply(r, 200,
			    R"([{"revision":2,"document":{"team":"t"}},)"
			    R"({"revision":1,"document":{"team":"t","w":0.2}}])");
		else if (n == 1)
			Reply(r, 200, R"({"revision":2,"document":{}})");
		else
			Reply(r, 200, R"({"revision":3,"index":5})");
	};
	EXPECT_EQ(
	    Run({"doc", "rollback", "t", "--to", "1", "--server", Address()}),
	    0)
	    << err;
	ASSERT_EQ(asked.size(), 3U);
	EXPECT_EQ(asked[2].find("PUT /v1/documents/t?revision=2&"), 0U);
	EXPECT_NE(bodies[2].find("0.2"), std::string::npos) << bodies[2];
	EXPECT_EQ(bodies[2].find("0.2000"), std::string::npos) << bodies[2];
	EXPECT_EQ(
	    Run({"doc", "rollback", "t", "--to", "9", "--server", Address()}),
	    1);
}

TEST_F(Command, QuarantinedPartsAreListedAndLifted)
{
	answer = [&](const node_request *r, size_t) {
		if (strcmp(r->method, "GET") == 0)
			Reply(r, 200,
			    R"({"parts":[{"part":"00000000000000ab",)"
			    R"("active":true,"ends":3,"strikes":1,)"
			    R"("sinceMs":12}],"suspects":0})");
		else
			Reply(r, 200, R"({"lifted":true})");
	};
	EXPECT_EQ(Run({"quarantine", "--server", Address()}), 0) << err;
	EXPECT_NE(out.find("00000000000000ab"), std::string::npos) << out;
	EXPECT_EQ(Run({"quarantine", "--lift", "00000000000000ab", "--server",
		      Address()}),
	    0)
	    << err;
	EXPECT_EQ(asked.back(), "DELETE /v1/quarantine/00000000000000ab");
}

TEST_F(Command, LimitsOfEndpointsAreListed)
{
	answer = [&](const node_request *r, size_t n) {
		Reply(r, 200,
		    n == 0 ? R"({"limits":[]})"
			   : R"({"limits":[{"endpoint":"e7","service":"app",)"
			     R"("requestsPerS":1.25,"usableHerePerS":1.25,)"
			     R"("grantedHere":9,"waitingHere":2,)"
			     R"("toldMs":40}]})");
	};
	EXPECT_EQ(Run({"limits", "--server", Address()}), 0) << err;
	EXPECT_EQ(out, "none\n");
	EXPECT_EQ(Run({"limits", "--server", Address()}), 0) << err;
	EXPECT_EQ(asked.back(), "GET /v1/limits");
	EXPECT_NE(out.find("e7"), std::string::npos) << out;
	EXPECT_NE(out.find("1.25"), std::string::npos) << out;
}

/* A trace of one of each outcome, told apart by the prompt. */
TEST_F(Command, LoadTellsAllOutcomesApart)
{
	std::string lines;
	buf text = {};
	bool followed = false;
	const char *const prompts[] = {"good", "cut", "wrong", "refuse", "lose",
	    "error", "plain", "follow"};

	for (const char *p : prompts)
		lines += std::string(R"({"at_ms":1,"team":"t","kind":"k",)") +
		    R"("adapter":"a","version":"1","prompt":")" + p +
		    R"(","max_tokens":3,"stream":)" +
		    (strcmp(p, "plain") == 0 ? "false" : "true") + "}\n";
	lines += R"({"at_ms":2,"team":"t","kind":"b","method":"POST",)"
		 R"("path":"orders/book","key":"k1"})"
		 "\n";
	answer = [&](const node_request *r, size_t n) {
		std::string path = r->path, body = bodies[n];
		node_reply reply = {};
		std::string events;
		bool is_cut = body.find("\"cut\"") != std::string::npos;

		if (path.find("/v1/addresses") == 0) {
			Reply(r, 200,
			    R"({"addresses":["127.0.0.1:1",")" + Address() +
				R"("],"lifetimeMs":10000})");
			return;
		}
		if (path == "/v1/services/orders/book") {
			Reply(r, 200, R"({"ran":1})");
			return;
		}
		if (body.find("refuse") != std::string::npos) {
			Refuse(r, 429, "rate", "not-run");
			return;
		}
		if (body.find("follow") != std::string::npos && !followed) {
			followed = true;
			Refuse(r, 503, "cut-off", "not-run");
			return;
		}
		if (body.find("lose") != std::string::npos) {
			Cut(r);
			return;
		}
		buf_clear(&text);
		for (unsigned i = 0; i < (is_cut ? 2U : 3U); i++) {
			std::string prompt = "good";
			for (const char *p : prompts)
				if (body.find("\"" + std::string(p) + "\"") !=
				    std::string::npos)
					prompt = p;
			fake_append_token(&text,
			    prompt == "wrong" ? "t/b@1" : "t/a@1",
			    prompt.c_str(), i);
		}
		if (body.find("plain") != std::string::npos) {
			Reply(r, 200,
			    std::string(
				R"({"model":"a@1","choices":[{"text":")") +
				text.data + "\"}]}");
			return;
		}
		events = std::string(R"(data: {"model":"a@1","choices":)") +
		    R"([{"text":")" + text.data + "\"}]}\n\n";
		events += body.find("\"error\"") != std::string::npos
		    ? "data: {\"error\":{\"code\":\"x\",\"outcome\":"
		      "\"unknown\"}}\n\n"
		    : "data: [DONE]\n\n";
		reply.request = r->request;
		reply.status = 200;
		reply.content_type = "text/event-stream";
		reply.body = {events.data(), events.size()};
		http_server_reply(server, &reply);
	};
	EXPECT_EQ(Run({"load", "--trace", File("t.jsonl", lines), "--tokens",
		      "t=secret", "--server", "127.0.0.1:1," + Address(),
		      "--run", "r9", "--json", "--quiet"}),
	    0)
	    << err;
	buf_free(&text);
	json_t *report = json_loads(out.c_str(), 0, nullptr);
	json_t *total = json_object_get(report, "total");
	const struct {
		const char *name;
		int want;
	} counts[] = {{"offered", 9}, {"delivered", 4}, {"refused", 1},
	    {"failed", 0}, {"unknown", 2}, {"cut", 1}, {"wrong", 1}};
	for (const auto &c : counts)
		EXPECT_EQ(
		    json_integer_value(json_object_get(total, c.name)), c.want)
		    << c.name;
	EXPECT_EQ(json_integer_value(json_object_get(report, "followed")), 1);
	json_decref(report);
	EXPECT_NE(std::find(keys.begin(), keys.end(), "r9-k1"), keys.end());
}

} // namespace
