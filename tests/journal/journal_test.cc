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

	void
	record()
	{
		struct settings_problems problems = {};
		struct settings *settings = nullptr;
		struct node_disk disk = {};
		struct node_boot boot = {};
		struct node_event ev = {};
		const struct node_header headers[] = {
		    {"Host", "a.example"}, {"X-Empty", ""}};

		ASSERT_EQ(settings_parse(&settings, text.data(), text.size(),
			      &problems, &err),
		    MP_OK)
		    << problems.items[0].path;
		disk.incarnation = 5;
		disk.fresh = true;
		boot = {settings, 7, 11, now_us, 1700000000000, &disk, nullptr};
		ASSERT_EQ(node_create(&node, &boot, &err), MP_OK);
		ASSERT_EQ(journal_create(&writer, file().c_str(), &boot,
			      {text.data(), text.size()}, &err),
		    MP_OK);
		fx = node_effects_create();
		ticks(300);
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
		    "text/plain", headers, 2, true, 12, false};
		step(ev);
		ev.type = NODE_EV_STOP;
		step(ev);
		ticks(10);
		EXPECT_EQ(journal_close(writer, &err), MP_OK);
		node_effects_destroy(fx);
		node_destroy(node);
		settings_destroy(settings);
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
		code = node_create(&node, journal_get_boot(reader), &err);
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
