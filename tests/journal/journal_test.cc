#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>

extern "C" {
#include "doc/doc.h"
#include "journal/journal.h"
#include "util/mem.h"
}
#include "platform/platform.h"

namespace fs = std::filesystem;

static const uint64_t tick_us = 10000;

/* A single instance (struct node) whose events are recorded in a journal. */
class Journal : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		char name[] = "/tmp/mp-journal-XXXXXX", hash[65];

		folder = mkdtemp(name);
		doc_hash_token(hash, "op");
		text = std::string(R"({"cluster":"c","instance":{"id":1,)") +
		    R"("name":"i","dataCentre":"d","region":"r"},"http":{)" +
		    R"("listen":"127.0.0.1:1"},"bus":{"listen":)" +
		    R"("127.0.0.1:2","publicKey":")" + std::string(40, 'p') +
		    R"(","secretKey":")" + std::string(40, 's') +
		    R"("},"dataFolder":"x","peers":[{"id":1,"bus":)" +
		    R"("127.0.0.1:2","voter":true,"publicKey":")" +
		    std::string(40, 'p') + R"("}],"operators":[{"name":)" +
		    R"("op","tokenHash":")" + hash + R"(","teams":["*"]}]})";
	}

	void
	TearDown() override
	{
		fs::remove_all(folder);
	}

	std::string
	file() const
	{
		return folder + "/journal";
	}

	/*
	 * Makes the instance a gateway of its own: it has the log and takes
	 * callers' requests.
	 */
	void
	add_gateway()
	{
		text.insert(text.size() - 1,
		    R"(,"gateway":{"control":"127.0.0.1:3","registry":)"
		    R"("127.0.0.1:4","front":"127.0.0.1:5","readiness":)"
		    R"("127.0.0.1:6"})");
		codec = &platform_codec;
	}

	/* Records a request to a listener of the gateway; its status. */
	int
	request(node_listener listener, const char *method, const char *path,
	    const std::string &body, std::vector<node_header> headers)
	{
		struct node_event ev = {};

		headers.push_back({"Host", "h.example"});
		ev.type = NODE_EV_REQUEST;
		ev.u.request.request = ++last_request;
		ev.u.request.listener = listener;
		ev.u.request.method = method;
		ev.u.request.path = path;
		ev.u.request.body = {body.data(), body.size()};
		ev.u.request.headers = headers.data();
		ev.u.request.nheaders = headers.size();
		status = 0;
		step(ev);
		ticks(20);
		return status;
	}

	/* Keeps the replies' status, and all texts that leave the instance. */
	void
	look_at(const struct node_effect *e)
	{
		if (e->type == NODE_FX_LOG)
			logged += std::string(e->u.log.fields) + "\n";
		if (e->type == NODE_FX_REPLY) {
			status = e->u.reply.status;
			if (e->u.reply.body.len > 0)
				replied.append(
				    e->u.reply.body.data, e->u.reply.body.len);
		}
		if (e->type != NODE_FX_CALL)
			return;
		for (size_t i = 0; i < e->u.call.nextra_headers; i++)
			called +=
			    std::string(e->u.call.extra_headers[i].value) +
			    "\n";
		for (size_t i = 0; i < e->u.call.nheaders; i++)
			called += std::string(e->u.call.headers[i].name) +
			    ": " + e->u.call.headers[i].value + "\n";
	}

	/* Executes and records a step, then completes its saves. */
	void
	step(const struct node_event &ev)
	{
		std::vector<uint64_t> tickets;
		struct node_event saved = {};

		node_effects_clear(fx);
		node_step(node, now_us, &ev, fx);
		ASSERT_EQ(
		    journal_write_step(writer, now_us, &ev, fx, &err), MP_OK);
		for (size_t i = 0; i < node_effects_count(fx); i++) {
			const struct node_effect *e = node_effects_at(fx, i);

			look_at(e);
			if (e->type == NODE_FX_SAVE && e->u.save.ticket != 0)
				tickets.push_back(e->u.save.ticket);
		}
		for (uint64_t ticket : tickets) {
			saved.type = NODE_EV_SAVED;
			saved.u.saved.ticket = ticket;
			saved.u.saved.ok = true;
			step(saved);
		}
	}

	void
	ticks(int count)
	{
		struct node_event ev = {};

		for (ev.type = NODE_EV_TICK; count > 0; count--) {
			now_us += tick_us;
			step(ev);
		}
	}

	/* Starts an instance that is recorded, and runs it until it leads. */
	void
	begin()
	{
		struct settings_problems problems = {};
		struct node_disk disk = {};
		struct node_boot boot = {};

		ASSERT_EQ(settings_parse(&settings, text.data(), text.size(),
			      &problems, &err),
		    MP_OK)
		    << problems.items[0].path;
		disk.incarnation = 5;
		disk.fresh = true;
		boot = {
		    settings, 7, 11, now_us, 1700000000000, &disk, codec, {1}};
		ASSERT_EQ(node_create(&node, &boot, &err), MP_OK);
		ASSERT_EQ(journal_create(&writer, file().c_str(), &boot,
			      {text.data(), text.size()}, &err),
		    MP_OK);
		fx = node_effects_create();
		ticks(300);
	}

	void
	end()
	{
		EXPECT_EQ(journal_close(writer, &err), MP_OK);
		node_effects_destroy(fx);
		node_destroy(node);
		settings_destroy(settings);
	}

	void
	record()
	{
		struct node_event ev = {};
		const struct node_header headers[] = {
		    {"Host", "a.example"}, {"X-Empty", ""}};

		begin();
		ev.type = NODE_EV_REQUEST;
		ev.u.request = {1, "GET", "/v1/status", "Bearer op", nullptr,
		    "500", {"", 0}, "text/plain", NODE_LISTEN_API, headers, 2};
		step(ev);
		EXPECT_EQ(node_effects_at(fx, 0)->u.reply.status, 200);
		ev.type = NODE_EV_MESSAGE;
		ev.u.message = {2, {"nonsense", 8}};
		step(ev);
		ev.type = NODE_EV_CALLER_GONE;
		ev.u.gone_request = 1;
		step(ev);
		ev.type = NODE_EV_CALL;
		ev.u.call = {9, NODE_CALL_HEAD, 503, "1", {"", 0}, nullptr,
		    "text/plain", headers, 2, true, 12, false, true};
		step(ev);
		ev.type = NODE_EV_STOP;
		step(ev);
		ticks(10);
		end();
	}

	/*
	 * Replays the journal with a new reducer. Returns the code that ended
	 * it; equal: whether all steps had the recorded effects.
	 */
	int
	replay(size_t *steps, bool *equal)
	{
		struct journal_reader *reader = nullptr;
		struct journal_step s;
		int code = journal_open(&reader, file().c_str(), &err);

		*steps = 0;
		*equal = true;
		if (code != MP_OK)
			return code;
		fx = node_effects_create();
		struct node_boot boot = *journal_get_boot(reader);

		boot.codec = codec;
		code = node_create(&node, &boot, &err);
		while (code == MP_OK) {
			code = journal_read_step(reader, &s, &err);
			if (code != MP_OK)
				break;
			++*steps;
			node_effects_clear(fx);
			node_step(node, s.now_us, &s.event, fx);
			*equal = *equal &&
			    journal_hash_effects(fx) == s.effects_hash;
		}
		node_effects_destroy(fx);
		node_destroy(node);
		journal_reader_destroy(reader);
		return code;
	}

	std::string
	read() const
	{
		std::ifstream in(file(), std::ios::binary);

		return {std::istreambuf_iterator<char>(in), {}};
	}

	void
	write(const std::string &bytes)
	{
		std::ofstream(file(), std::ios::binary) << bytes;
	}

	std::string folder, text;
	struct node *node = nullptr;
	struct node_effects *fx = nullptr;
	struct journal_writer *writer = nullptr;
	struct settings *settings = nullptr;
	const struct gw_codec *codec = nullptr;
	uint64_t last_request = 0;
	int status = 0; /* of the last reply */
	std::string logged, replied, called;
	struct mp_error err = {};
	uint64_t now_us = 1000000;
};

/*
 * A replay is only useful if it gives the recorded effects. Also checks that
 * the secret key is not in the file and that only the owner can read it.
 */
TEST_F(Journal, a_recorded_run_replays_with_equal_effects)
{
	struct stat info;
	size_t steps;
	bool equal;

	record();
	EXPECT_EQ(replay(&steps, &equal), MP_ERR_NOT_FOUND) << err.message;
	EXPECT_TRUE(equal);
	EXPECT_GT(steps, 315u);
	EXPECT_EQ(read().find(std::string(40, 's')), std::string::npos);
	ASSERT_EQ(stat(file().c_str(), &info), 0);
	EXPECT_EQ(info.st_mode & 0777, 0600u);
}

/*
 * Guards against a key of a client account in what leaves the instance: in log
 * events, calls to endpoints, answers to others than the operator, the
 * instance's metrics, and the journal. The journal must nevertheless replay.
 */
TEST_F(Journal, keys_of_accounts_are_in_no_log_call_metric_or_journal)
{
	static const std::string known = "known-key-4711",
				 unknown = "unknown-key-0815";
	const std::string config = R"({"version":1,"routes":[{"host":)"
				   R"("h.example","path_prefix":"/","type":)"
				   R"("idempotent","timeout_ms":2000,)"
				   R"("service":"app"}],"services":[{"name":)"
				   R"("app"}],"tenants":[{"name":"acme",)"
				   R"("api_keys":[")" +
	    known + R"("]}]})";
	const std::string invalid = R"({"version":2,"tenants":[{"name":"a",)"
				    R"("api_keys":[")" +
	    unknown + R"(" "]}]})";
	const std::string good = "Token " + known, bad = "Token " + unknown;
	size_t steps;
	bool equal;

	add_gateway();
	ASSERT_NO_FATAL_FAILURE(begin());
	EXPECT_EQ(request(NODE_LISTEN_CONTROL, "PUT", "/api/configuration",
		      config, {}),
	    200);
	EXPECT_EQ(request(NODE_LISTEN_CONTROL, "PUT", "/api/configuration",
		      invalid, {}),
	    400);
	EXPECT_EQ(request(NODE_LISTEN_CONTROL, "PUT", "/api/instances/e1",
		      R"({"service":"app","address":"10.1.0.1:80","zone":"z",)"
		      R"("slots":6,"state":"ready","born":1,"sequence":1})",
		      {}),
	    200);
	EXPECT_EQ(request(NODE_LISTEN_FRONT, "POST", "/x", "b",
		      {{"Authorization", bad.c_str()}}),
	    401);
	EXPECT_EQ(request(NODE_LISTEN_FRONT, "POST", "/x", "b",
		      {{"Authorization", good.c_str()}}),
	    0);
	EXPECT_NE(called.find("Mulberrypath-Tenant: acme"), std::string::npos)
	    << called;
	ticks(250); /* past the request's deadline */
	EXPECT_EQ(status, 504);
	EXPECT_EQ(request(NODE_LISTEN_API, "GET", "/metrics", "", {}), 200);
	EXPECT_NE(replied.find("account_requests_total{account=\"acme\","
			       "outcome=\"failed\"} 1"),
	    std::string::npos)
	    << replied;
	EXPECT_NE(replied.find("keys_unknown_total 1"), std::string::npos);
	end();
	for (auto &key : {known, unknown})
		for (auto *text : {&logged, &replied, &called})
			EXPECT_EQ(text->find(key), std::string::npos) << *text;
	EXPECT_EQ(read().find("key-"), std::string::npos);
	EXPECT_EQ(replay(&steps, &equal), MP_ERR_NOT_FOUND) << err.message;
	EXPECT_TRUE(equal);
	fs::remove(file() + ".key");
	EXPECT_EQ(replay(&steps, &equal), MP_ERR_IO);
}

/*
 * A damaged journal must not be replayed as if it were complete: a flipped bit
 * ends it early with an error, and a truncated file ends after its last whole
 * step.
 */
TEST_F(Journal, corruption_and_truncation_are_detected)
{
	std::string intact;
	size_t step_count, steps;
	bool equal;

	record();
	intact = read();
	ASSERT_EQ(replay(&step_count, &equal), MP_ERR_NOT_FOUND);
	for (size_t at = 0; at < intact.size(); at += 97) {
		std::string corrupted = intact;
		int code;

		corrupted[at] ^= 0x10;
		write(corrupted);
		code = replay(&steps, &equal);
		EXPECT_NE(code, MP_ERR_NOT_FOUND) << at;
		EXPECT_LT(steps, step_count) << at;
	}
	write(intact.substr(0, intact.size() - 1));
	EXPECT_EQ(replay(&steps, &equal), MP_ERR_UNAVAILABLE);
	EXPECT_EQ(steps, step_count - 1);
	EXPECT_TRUE(equal);
}

TEST_F(Journal, different_effects_have_different_hashes)
{
	struct node_effects *a = node_effects_create();
	struct node_effect *e;
	uint64_t hash = 0;

	EXPECT_EQ(journal_hash_effects(a), 0u);
	e = node_effects_add(a, NODE_FX_SEND);
	e->u.send = {2, "a:1", {"xy", 2}, false, false};
	hash = journal_hash_effects(a);
	EXPECT_NE(hash, 0u);
	e->u.send.bytes = {"xz", 2};
	EXPECT_NE(journal_hash_effects(a), hash);
	e->u.send.bytes = {"xy", 2};
	EXPECT_EQ(journal_hash_effects(a), hash);
	e->u.send.to = 3;
	EXPECT_NE(journal_hash_effects(a), hash);
	node_effects_destroy(a);
}
