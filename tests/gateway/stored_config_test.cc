#include <cstdlib>
#include <random>

#include "gateway_sim.h"
extern "C" {
#include "node/node_gate.h"
}
#include "node/snapshot.pb-c.h"

/*
 * What the cores have stored of an acknowledged configuration: whatever its
 * version and its size, it survives the loss of disks and of all processes.
 */

/* A configuration with the version written as given, and many routes. */
static std::string
make_text(const std::string &version, int nroutes, int timeout_ms = 2000)
{
	std::string routes;

	for (int i = 0; i < nroutes; i++)
		routes += (i == 0 ? "" : ",") + std::string("{\"name\":\"r") +
		    std::to_string(i) +
		    "\",\"host\":\"h.example\",\"path_prefix\":\"/r" +
		    std::to_string(i) +
		    "/\",\"type\":\"non_idempotent\",\"timeout_ms\":" +
		    std::to_string(i == 0 ? timeout_ms : 2000) +
		    ",\"service\":\"app\"}";
	return "{\"version\":" + version + ",\"routes\":[" + routes +
	    "],\"services\":[{\"name\":\"app\"}]}";
}

/* Restores a snapshot outside a step of the reducer. */
static void
restore(struct node *n, const Node__Snapshot *snapshot)
{
	struct node_effects *fx = node_effects_create(), *usual = n->fx;

	n->fx = fx;
	node_gate_restore(n, snapshot);
	n->fx = usual;
	node_effects_destroy(fx);
}

/* More than the log holds when a core without a disk joins. */
static const int kManyRoutes = 700;

class StoredConfig : public ::testing::Test {
      protected:
	static const int kCores = 3, kEntry = 3;
	GatewaySim sim{kCores, 1};

	void
	SetUp() override
	{
		for (int i = 0; i <= kEntry; i++)
			sim.start(i);
		ASSERT_TRUE(
		    sim.run_until([&] { return sim.leader() >= 0; }, 10000));
		sim.founding_allowed = false;
		sim.run_for_ms(2000);
	}

	int
	put(const std::string &text)
	{
		return sim
		    .request_and_wait(sim.leader(), NODE_LISTEN_CONTROL, "PUT",
			"/api/configuration", text)
		    .status;
	}

	Reply
	get(int i)
	{
		return sim.request_and_wait(
		    i, NODE_LISTEN_CONTROL, "GET", "/api/configuration");
	}

	/* A core comes back with an empty disk and is a voter again. */
	void
	lose_disk(int core)
	{
		sim.kill(core);
		sim.wipe_disk(core);
		sim.run_for_ms(500);
		sim.start(core);
		sim.run_for_ms(7000);
	}

	/* Stops all processes, and starts them with the codec. */
	void
	restart_all(const struct gw_codec *codec = &platform_codec)
	{
		for (int i = 0; i <= kEntry; i++)
			sim.kill(i);
		sim.run_for_ms(500);
		sim.codec = codec;
		for (int i = 0; i <= kEntry; i++)
			sim.start(i);
		(void)sim.run_until([&] { return sim.leader() >= 0; }, 12000);
		sim.run_for_ms(4000);
	}

	void
	expect_read_back(const std::string &text, const std::string &where)
	{
		for (int i = 0; i < kCores; i++) {
			Reply r = get(i);

			EXPECT_EQ(r.status, 200) << where << ", core " << i;
			EXPECT_TRUE(r.body == text)
			    << where << ", core " << i << ": "
			    << r.body.substr(0, 80);
		}
	}

	struct node_gate *
	gate(int i)
	{
		return sim.instances[(size_t)i]->node->gate;
	}
};

/*
 * Guards against a configuration that is taken for none because of its version:
 * a snapshot replaces the log when a core joins without a disk, and all cores
 * restart from it.
 */
TEST_F(StoredConfig, each_version_is_read_back_after_a_lost_disk_and_restarts)
{
	static const char *const versions[] = {
	    "0", "1", "9007199254740992", "9223372036854775807"};

	for (const char *version : versions) {
		std::string text = make_text(version, kManyRoutes);

		ASSERT_EQ(put(text), 200) << version;
		expect_read_back(text, std::string("put ") + version);
		lose_disk(kCores - 1);
		restart_all();
		expect_read_back(text, std::string("restarted ") + version);
		EXPECT_NE(gate(kEntry)->config, nullptr) << version;
		EXPECT_EQ(put(text), 200) << version << ", sent again";
	}
}

/* Guards against a version that is changed or guessed instead of refused. */
TEST_F(StoredConfig, versions_that_are_no_whole_number_in_range_are_refused)
{
	static const char *const versions[] = {"-1", "9223372036854775808",
	    "18446744073709551616", "1.5", "1.0", "1e3", "\"1\"", "null",
	    "true", "[1]", "{}"};

	for (const char *version : versions) {
		Reply r =
		    sim.request_and_wait(sim.leader(), NODE_LISTEN_CONTROL,
			"PUT", "/api/configuration", make_text(version, 1));

		EXPECT_EQ(r.status, 400) << version;
		EXPECT_NE(r.body.find("$"), std::string::npos)
		    << version << ": " << r.body;
	}
	EXPECT_EQ(get(sim.leader()).status, 503);
}

/*
 * Guards against a state that is lost in an upgrade or its undoing. An earlier
 * program takes version 0 for none and knows no other sign of it.
 */
TEST_F(StoredConfig, snapshots_are_read_by_earlier_and_later_programs)
{
	static const struct {
		const char *version;
		uint64_t in_earlier_snapshot;
	} rows[] = {{"0", 0}, {"1", 1}, {"7", 7}};

	for (auto &row : rows) {
		std::string text = make_text(row.version, 3);
		Node__Snapshot earlier = NODE__SNAPSHOT__INIT;
		Node__Snapshot written = NODE__SNAPSHOT__INIT;
		GatewaySim other(kCores, 1);

		ASSERT_EQ(put(text), 200) << row.version;
		sim.run_for_ms(500);
		node_gate_save(sim.instances[0]->node, &written);
		EXPECT_GT(written.config_version, 0u) << row.version;
		EXPECT_EQ(std::string(
			      (char *)written.config.data, written.config.len),
		    text);
		node_gate_save_free(&written);

		for (int i = 0; i <= kEntry; i++)
			other.start(i);
		other.run_for_ms(500);
		earlier.index = 1;
		earlier.config_version = row.in_earlier_snapshot;
		earlier.config.data = (uint8_t *)text.data();
		earlier.config.len = text.size();
		restore(other.instances[0]->node, &earlier);
		ASSERT_NE(other.instances[0]->node->gate->config, nullptr)
		    << row.version;
		EXPECT_EQ(other.instances[0]->node->gate->config->version,
		    strtoull(row.version, nullptr, 10));
	}
}

/* Guards against an empty state that a core takes for a configuration. */
TEST_F(StoredConfig, a_snapshot_without_one_restores_none)
{
	Node__Snapshot empty = NODE__SNAPSHOT__INIT;

	empty.index = 1;
	restore(sim.instances[0]->node, &empty);
	EXPECT_EQ(gate(0)->config, nullptr);
	EXPECT_EQ(get(sim.leader()).status, 503);
}

/* ---- texts that a program does not accept ------------------------------- */

static int
refuse_rest(struct gw_config *, struct node_bytes, struct mp_error *err)
{
	return mp_error_set(
	    err, MP_LAYER_PLATFORM, MP_ERR_INVALID, "$: a stricter check");
}

/* A program with a check that the stored configuration does not pass. */
static const struct gw_codec *
stricter_codec()
{
	static struct gw_codec codec = platform_codec;

	codec.read_rest = refuse_rest;
	return &codec;
}

/*
 * Guards against a core that drops a stored configuration that its program does
 * not accept, or answers as if there had never been one.
 */
TEST_F(StoredConfig, one_that_a_program_does_not_accept_is_kept)
{
	std::string text = make_text("5", kManyRoutes);
	Reply r;

	ASSERT_EQ(put(text), 200);
	lose_disk(kCores - 1);
	restart_all(stricter_codec());
	ASSERT_GE(sim.leader(), 0);
	r = get(sim.leader());
	EXPECT_EQ(r.status, 503);
	EXPECT_NE(r.body.find("stored"), std::string::npos) << r.body;
	EXPECT_GT(sim.instances[(size_t)sim.leader()]
		      ->event_counts["config-unreadable"],
	    0);
	EXPECT_EQ(put(text), 200) << "it was acknowledged before";
	/* The snapshots of this program go to a new disk, and are restored. */
	for (int core = 0; core < kCores; core++)
		lose_disk(core);
	restart_all(stricter_codec());
	restart_all();
	expect_read_back(text, "read by the program before");
	EXPECT_NE(gate(kEntry)->config, nullptr);
}

/*
 * Guards against the loss of a newer configuration that can't be read, or of
 * the one in force before it, when a snapshot replaces the log.
 */
TEST_F(StoredConfig, one_that_cannot_be_read_is_saved_beside_the_one_before)
{
	std::string before = make_text("5", 3), newer = make_text("6", 4);
	std::string odd = "not an object";
	Node__Snapshot written = NODE__SNAPSHOT__INIT;
	Node__Snapshot from = NODE__SNAPSHOT__INIT;

	for (auto &unread : {newer, odd}) {
		GatewaySim other(kCores, 1);
		struct node *n;

		for (int i = 0; i <= kEntry; i++)
			other.start(i);
		other.run_for_ms(500);
		n = other.instances[0]->node;
		from.index = 1;
		from.config_version = 5;
		from.config.data = (uint8_t *)before.data();
		from.config.len = before.size();
		restore(n, &from);
		n->gate->codec = stricter_codec();
		from.config_version = 6;
		from.config.data = (uint8_t *)unread.data();
		from.config.len = unread.size();
		restore(n, &from);
		EXPECT_EQ(n->gate->config->version, 5u);
		node_gate_save(n, &written);
		EXPECT_EQ(std::string(
			      (char *)written.config.data, written.config.len),
		    before);
		EXPECT_EQ(written.unread_version, 6u);
		EXPECT_EQ(std::string((char *)written.unread_config.data,
			      written.unread_config.len),
		    unread);
		n->gate->codec = &platform_codec;
		restore(n, &written);
		EXPECT_EQ(n->gate->config->version, unread == newer ? 6u : 5u);
		node_gate_save_free(&written);
		node__snapshot__init(&written);
	}
}

/* ---- random worlds ------------------------------------------------------ */

/* The seeds to play: from the environment, as FIRST:COUNT, or the default. */
static std::pair<unsigned, unsigned>
stored_seeds(unsigned count)
{
	const char *given = getenv("STORED_CONFIG_SEEDS");
	unsigned first = 1;

	if (given != nullptr)
		(void)sscanf(given, "%u:%u", &first, &count);
	return {first, count};
}

/*
 * Guards against an acknowledged configuration that is gone after losses, over
 * the first version, the number of routes, later versions, the order in which
 * disks are lost and when all processes end.
 */
class StoredConfigWorlds : public StoredConfig {
      protected:
	std::mt19937_64 random;
	std::string acknowledged;
	uint64_t version = 0;

	uint64_t
	below(uint64_t n)
	{
		return random() % n;
	}

	/* The next version is put in force; its answer is awaited. */
	void
	change()
	{
		static const int counts[] = {5, kManyRoutes, 2 * kManyRoutes};
		std::string text = make_text(std::to_string(version),
		    counts[below(3)], 2000 + (int)below(100));

		for (int tries = 0; tries < 40; tries++) {
			if (sim.leader() >= 0 && put(text) == 200) {
				acknowledged = text;
				version += 1 + below(3);
				return;
			}
			sim.run_for_ms(300);
		}
		ADD_FAILURE() << "version " << version << " not acknowledged";
	}

	void
	step()
	{
		uint64_t choice = below(8);

		if (choice == 0) {
			change();
		} else if (choice < 5) {
			lose_disk((int)below(kCores));
		} else {
			restart_all();
			expect_read_back(acknowledged, "restarted");
		}
	}
};

TEST_F(StoredConfigWorlds, what_was_acknowledged_is_read_back)
{
	static const uint64_t firsts[] = {0, 0, 0, 1ULL << 53};
	auto seeds = stored_seeds(12);

	for (unsigned s = seeds.first; s < seeds.first + seeds.second; s++) {
		SCOPED_TRACE("seed " + std::to_string(s));
		random.seed(s * 7919u + 1);
		if (s != seeds.first) { /* each world is a cluster of its own */
			for (int i = 0; i <= kEntry; i++) {
				sim.kill(i);
				sim.wipe_disk(i);
			}
			sim.founding_allowed = true;
			SetUp();
		}
		version = firsts[below(4)];
		change();
		for (int n = 0; n < 5; n++)
			step();
		restart_all();
		expect_read_back(acknowledged, "at the end");
		if (HasFailure())
			break;
	}
}
