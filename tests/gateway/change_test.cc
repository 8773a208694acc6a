#include "gateway_sim.h"
#include "node/node_guard.h"
#include "wire/command.pb-c.h"
#include "wire/peer.pb-c.h"

/*
 * Changes of the configuration through the log: differences, several at one
 * time, and changes of leader meanwhile.
 */
class Change : public ::testing::Test {
      protected:
	GatewaySim sim{3, 2};
	static const int kInstances = 5;
	static const int kEntry = 3;

	void
	SetUp() override
	{
		for (int i = 0; i < kInstances; i++)
			sim.start(i);
		ASSERT_TRUE(
		    sim.run_until([&] { return sim.leader() >= 0; }, 8000));
		ASSERT_EQ(PutAndWait(config_text(1)), 200);
		ASSERT_EQ(sim.announce(sim.leader(), "e1").status, 200);
		ASSERT_TRUE(sim.run_until(
		    [&] { return sim.all_entries_ready(); }, 5000));
		sim.run_for_ms(2000);
	}

	/* A configuration of many routes, one of which has a timeout. */
	static std::string
	Text(int version, int nroutes, int timeout_ms = 2000)
	{
		std::string routes;

		for (int i = 0; i < nroutes; i++)
			routes += (i == 0 ? "" : ",") +
			    std::string("{\"name\":\"r") +
			    std::to_string(100000 + i) +
			    "\",\"host\":\"h.example\",\"path_prefix\":\"/r" +
			    std::to_string(100000 + i) +
			    "/\",\"type\":\"non_idempotent\",\"timeout_ms\":" +
			    std::to_string(
				i == nroutes / 2 ? timeout_ms : 2000) +
			    ",\"service\":\"app\"}";
		return "{\"version\":" + std::to_string(1000 + version) +
		    ",\"routes\":[" + routes +
		    "],\"services\":[{\"name\":\"app\"}]}";
	}

	uint64_t
	Put(int i, const std::string &text)
	{
		return sim.send_request(
		    i, NODE_LISTEN_CONTROL, "PUT", "/api/configuration", text);
	}

	int
	PutAndWait(const std::string &text)
	{
		return sim
		    .request_and_wait(sim.leader(), NODE_LISTEN_CONTROL, "PUT",
			"/api/configuration", text)
		    .status;
	}

	std::string
	Get(int i)
	{
		return sim
		    .request_and_wait(
			i, NODE_LISTEN_CONTROL, "GET", "/api/configuration")
		    .body;
	}

	/* Whether all instances have a text in force. */
	void
	ExpectInForce(const std::string &text)
	{
		int version = 0;

		(void)sscanf(text.c_str(), "{\"version\":%d", &version);
		EXPECT_EQ(Get(0), text);
		for (int i = 0; i < kInstances; i++)
			EXPECT_EQ(Counter(i, "config_version"), version) << i;
	}

	/* The value of a counter of the gateway. */
	long
	Counter(int i, const std::string &name)
	{
		std::string key = "\nmulberrypath_gate_" + name + " ";
		Reply r =
		    sim.request_and_wait(i, NODE_LISTEN_API, "GET", "/metrics");
		size_t at = r.body.find(key);

		EXPECT_NE(at, std::string::npos) << name;
		return at == std::string::npos
		    ? -1
		    : atol(r.body.c_str() + at + key.size());
	}

	/* Brings a change into the log as if another instance proposed it. */
	void
	Propose(Wire__GatewayConfig *put)
	{
		Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
		Wire__Propose message = WIRE__PROPOSE__INIT;
		Wire__Command command = WIRE__COMMAND__INIT;
		std::string bytes, packed;

		command.instance = sim.instances[kEntry]->settings->id;
		command.proposal = 1;
		command.body_case = WIRE__COMMAND__BODY_GATEWAY_CONFIG;
		command.gateway_config = put;
		packed.resize(wire__command__get_packed_size(&command));
		(void)wire__command__pack(&command, (uint8_t *)&packed[0]);
		message.command.data = (uint8_t *)&packed[0];
		message.command.len = packed.size();
		envelope.version = 2;
		envelope.incarnation = 77;
		envelope.body_case = WIRE__ENVELOPE__BODY_PROPOSE;
		envelope.propose = &message;
		bytes.resize(wire__envelope__get_packed_size(&envelope));
		(void)wire__envelope__pack(&envelope, (uint8_t *)&bytes[0]);
		sim.deliver(kEntry, sim.leader(), bytes);
	}

	void
	ProposeWhole(uint64_t version, const std::string &text)
	{
		Wire__GatewayConfig put = WIRE__GATEWAY_CONFIG__INIT;

		put.version = version;
		put.text.data = (uint8_t *)text.data();
		put.text.len = text.size();
		Propose(&put);
	}

	/* The size of the largest message while a text is put in force. */
	size_t
	LargestMessage(const std::string &text)
	{
		size_t largest = 0;

		sim.is_lost = [&](int, int, const std::string &bytes) {
			largest = std::max(largest, bytes.size());
			return false;
		};
		EXPECT_EQ(PutAndWait(text), 200);
		sim.run_for_ms(1000);
		sim.is_lost = nullptr;
		return largest;
	}
};

/* Guards against a log that carries the whole text for a change of a route. */
TEST_F(Change, of_one_route_is_as_short_on_links_whatever_the_size)
{
	size_t small, large;
	long deltas, texts;

	ASSERT_EQ(PutAndWait(Text(1, 40)), 200);
	small = LargestMessage(Text(2, 40, 777));
	ASSERT_EQ(PutAndWait(Text(3, 1440)), 200);
	sim.run_for_ms(1000);
	deltas = Counter(kEntry, "config_deltas_total");
	texts = Counter(kEntry, "config_texts_total");
	large = LargestMessage(Text(4, 1440, 777));
	printf("largest message: %zu bytes at 40 routes, %zu at 1440\n", small,
	    large);
	EXPECT_LE((double)large, 1.5 * (double)small);
	EXPECT_EQ(Counter(kEntry, "config_deltas_total"), deltas + 1);
	EXPECT_EQ(Counter(kEntry, "config_texts_total"), texts);
	ExpectInForce(Text(4, 1440, 777));
}

/* Guards against a text that an instance has put together wrongly. */
TEST_F(Change, is_read_back_as_sent_after_restarts_and_snapshots)
{
	for (int version = 1; version <= 12; version++) {
		int i = version % kInstances;

		ASSERT_EQ(
		    PutAndWait(Text(version, 60 + version % 3, 2000 + version)),
		    200);
		sim.kill(i);
		if (version % 4 == 0 && i < 3)
			sim.wipe_disk(i);
		sim.start(i);
		ASSERT_TRUE(
		    sim.run_until([&] { return sim.leader() >= 0; }, 8000));
		sim.run_for_ms(4000);
	}
	ExpectInForce(Text(12, 60, 2012));
}

/* Guards against a change that is acknowledged and in force nowhere. */
TEST_F(Change, lower_versions_are_acknowledged_by_a_higher_one)
{
	std::vector<uint64_t> requests;
	int before = sim.instances[kEntry]->event_counts["config-in-force"];

	for (int version : {1, 2, 3, 7, 6, 5, 4})
		requests.push_back(Put(sim.leader(), Text(version, 40)));
	sim.run_for_ms(1500);
	for (uint64_t request : requests)
		EXPECT_EQ(sim.replies[request].status, 200);
	EXPECT_EQ(
	    sim.instances[kEntry]->event_counts["config-in-force"], before + 2)
	    << "the first, and the highest of those that waited";
	ExpectInForce(Text(7, 40));
}

TEST_F(Change, of_two_waiting_contents_of_one_version_the_first_is_taken)
{
	uint64_t first, second, third;

	(void)Put(sim.leader(), Text(1, 40));
	first = Put(sim.leader(), Text(2, 40, 111));
	second = Put(sim.leader(), Text(2, 40, 222));
	third = Put(sim.leader(), Text(2, 40, 111));
	sim.run_for_ms(1500);
	EXPECT_EQ(sim.replies[first].status, 200);
	EXPECT_EQ(sim.replies[second].status, 409);
	EXPECT_EQ(sim.replies[third].status, 200) << "sent again";
	EXPECT_EQ(PutAndWait(Text(2, 40, 111)), 200) << "sent again later";
	EXPECT_EQ(PutAndWait(Text(2, 40, 222)), 409);
	EXPECT_EQ(PutAndWait(Text(1, 40, 222)), 200) << "older";
	ExpectInForce(Text(2, 40, 111));
}

/* Guards against a leader that keeps any number of texts. */
TEST_F(Change, too_many_waiting_changes_are_refused)
{
	std::vector<uint64_t> requests;
	int taken = 0, refused = 0;

	for (int version = 1; version <= 30; version++)
		requests.push_back(Put(sim.leader(), Text(version, 40)));
	sim.run_for_ms(1500);
	for (uint64_t request : requests) {
		taken += sim.replies[request].status == 200;
		refused += sim.replies[request].status == 503;
	}
	EXPECT_EQ(taken, 17) << "one in flight, 16 that wait";
	EXPECT_EQ(refused, 13);
	ExpectInForce(Text(17, 40));
}

TEST_F(Change, an_invalid_change_is_refused_while_others_wait)
{
	std::string invalid = Text(3, 40);
	uint64_t first, second, third;

	invalid.replace(
	    invalid.find("{\"name\":\"app\"}"), 14, "{\"name\":\"none\"}");
	first = Put(sim.leader(), Text(1, 40));
	second = Put(sim.leader(), Text(2, 40));
	third = Put(sim.leader(), invalid);
	EXPECT_EQ(sim.replies[third].status, 400) << "at once";
	EXPECT_NE(sim.replies[third].body.find(
		      "$.routes[0]: unknown service \\\"app\\\""),
	    std::string::npos)
	    << sim.replies[third].body;
	third = Put(sim.leader(), Text(3, 40) + "]");
	EXPECT_EQ(sim.replies[third].status, 400);
	EXPECT_NE(sim.replies[third].body.find("$: line 1"), std::string::npos)
	    << sim.replies[third].body;
	sim.run_for_ms(1500);
	EXPECT_EQ(sim.replies[first].status, 200);
	EXPECT_EQ(sim.replies[second].status, 200);
	ExpectInForce(Text(2, 40));
}

/* Guards against callers that wait for a leader that is none any more. */
TEST_F(Change, waiting_changes_are_refused_when_authority_is_lost)
{
	int old = sim.leader();
	std::vector<uint64_t> requests;

	sim.isolate(old, true);
	for (int version = 1; version <= 3; version++)
		requests.push_back(Put(old, Text(version, 40)));
	sim.run_for_ms(1500);
	EXPECT_EQ(sim.replies[requests[1]].status, 503);
	EXPECT_EQ(sim.replies[requests[2]].status, 503);
	ASSERT_TRUE(sim.run_until(
	    [&] { return sim.leader() >= 0 && sim.leader() != old; }, 8000));
	ASSERT_EQ(PutAndWait(Text(9, 40)), 200);
	sim.isolate(old, false);
	sim.run_for_ms(3000);
	EXPECT_NE(sim.replies[requests[0]].status, 0);
	ExpectInForce(Text(9, 40));
}

/* Guards against a change lost with its leader after its acknowledgement. */
TEST_F(Change, acknowledged_changes_survive_their_leader)
{
	for (int round = 0; round < 6; round++) {
		int at = sim.leader(), version = 10 * (round + 1), highest = 0;
		std::vector<uint64_t> requests;

		for (int k = 0; k < 5; k++)
			requests.push_back(Put(at, Text(version + k, 40)));
		sim.run_for_ms((uint64_t)round * 2);
		sim.kill(at);
		for (int k = 0; k < 5; k++)
			if (sim.replies[requests[(size_t)k]].status == 200)
				highest = version + k;
		sim.start(at);
		ASSERT_TRUE(
		    sim.run_until([&] { return sim.leader() >= 0; }, 8000));
		sim.run_for_ms(3000);
		EXPECT_GE(Counter(sim.leader(), "config_version"),
		    highest == 0 ? 0 : 1000 + highest)
		    << round;
		/* The operator sends the last one again. */
		EXPECT_EQ(PutAndWait(Text(version + 4, 40)), 200) << round;
		sim.run_for_ms(500);
		ExpectInForce(Text(version + 4, 40));
	}
}

/*
 * Guards against a text that nobody has sent: a difference is applied only to
 * the configuration that it was made from.
 */
TEST_F(Change, a_difference_to_another_base_changes_nothing)
{
	std::string before = Get(sim.leader());
	std::string head = "{\"version\":9,\"routes\":[";
	ProtobufCBinaryData inserted = {head.size(), (uint8_t *)head.data()};
	Wire__ConfigPiece pieces[2] = {
	    WIRE__CONFIG_PIECE__INIT, WIRE__CONFIG_PIECE__INIT};
	Wire__ConfigPiece *list[2] = {&pieces[0], &pieces[1]};
	Wire__GatewayConfig put = WIRE__GATEWAY_CONFIG__INIT;

	pieces[0].n_inserted = 1;
	pieces[0].inserted = &inserted;
	pieces[1].from = 1;
	pieces[1].count = 6;
	put.version = 9;
	put.base_version = 1;
	put.base_digest = 4711;
	put.n_pieces = 2;
	put.pieces = list;
	Propose(&put);
	sim.run_for_ms(1000);
	for (int i = 0; i < kInstances; i++) {
		EXPECT_EQ(Get(i), before) << i;
		EXPECT_EQ(sim.instances[(size_t)i]->event_counts["config-base-"
								 "mismatch"],
		    1)
		    << i;
	}
	EXPECT_EQ(PutAndWait(Text(1, 40)), 200);
}

/*
 * Guards against a change that is refused, or lost, because another one has
 * come before it in the log: the leader then proposes the whole text.
 */
TEST_F(Change, a_leader_proposes_the_whole_text_after_a_mismatch)
{
	uint64_t request;
	long texts;

	ASSERT_EQ(PutAndWait(Text(7, 39)), 200);
	sim.run_for_ms(500);
	texts = Counter(kEntry, "config_texts_total");
	ProposeWhole(1008, Text(8, 30));
	request = Put(sim.leader(), Text(9, 39));
	sim.run_for_ms(1500);
	EXPECT_EQ(sim.replies[request].status, 200);
	EXPECT_EQ(Counter(kEntry, "config_texts_total"), texts + 2);
	EXPECT_EQ(Counter(kEntry, "config_mismatches_total"), 1);
	ExpectInForce(Text(9, 39));
}

/* Guards against an instance that stays behind for good after one bad text. */
TEST_F(Change, later_differences_replace_an_unreadable_text)
{
	std::string bad = Text(2, 40, 0);

	ASSERT_EQ(PutAndWait(Text(1, 40)), 200);
	ProposeWhole(1002, bad);
	sim.run_for_ms(1000);
	ExpectInForce(Text(1, 40));
	EXPECT_EQ(sim.instances[kEntry]->event_counts["config-unreadable"], 1);
	ASSERT_EQ(PutAndWait(Text(3, 40)), 200);
	ExpectInForce(Text(3, 40));
	EXPECT_EQ(Counter(kEntry, "config_confirmed"), 1);
}

/* ---- program versions --------------------------------------------------- */

/*
 * Clusters in which some instances run a program version that can't read
 * differences. Guards against a configuration that such an instance never has,
 * and against whole texts when there is none.
 */
class MixedVersions : public Change {
      protected:
	static std::set<uint32_t> earlier; /* ids */

	void
	SetUp() override
	{
		node_is_earlier_version = [](uint32_t id) {
			return earlier.count(id) > 0;
		};
		Change::SetUp();
	}

	void
	TearDown() override
	{
		node_is_earlier_version = nullptr;
		earlier.clear();
	}

	void
	SetEarlier(int i, bool is_earlier)
	{
		if (is_earlier)
			earlier.insert(sim.instances[i]->settings->id);
		else
			earlier.erase(sim.instances[i]->settings->id);
	}

	/* Replaces the program of an instance. */
	void
	Restart(int i, bool is_earlier, uint64_t down_ms = 0)
	{
		sim.kill(i);
		sim.run_for_ms(down_ms);
		SetEarlier(i, is_earlier);
		sim.start(i);
	}

	/* Sends a change until it is acknowledged, as an operator does. */
	void
	PutUntilTaken(const std::string &text)
	{
		for (int tries = 0; tries < 40; tries++) {
			if (sim.leader() >= 0 && PutAndWait(text) == 200)
				return;
			sim.run_for_ms(500);
		}
		ADD_FAILURE() << "not acknowledged";
	}

	void
	PutNext(int *version)
	{
		(*version)++;
		PutUntilTaken(Text(*version, 60, 1000 + *version));
	}

	long
	Repeats()
	{
		long sum = 0;

		for (int i = 0; i < kInstances; i++)
			sum += Counter(i, "config_repeats_total");
		return sum;
	}
};
std::set<uint32_t> MixedVersions::earlier;

TEST_F(MixedVersions, whole_texts_are_proposed_while_a_member_needs_them)
{
	const int last = kInstances - 1;
	long deltas;

	PutUntilTaken(Text(1, 60));
	PutUntilTaken(Text(2, 60, 1002));
	sim.run_for_ms(500);
	deltas = Counter(kEntry, "config_deltas_total");
	EXPECT_GT(deltas, 0);
	Restart(last, true);
	sim.run_for_ms(5000);
	ExpectInForce(Text(2, 60, 1002));
	for (int version = 3; version < 6; version++) {
		PutUntilTaken(Text(version, 60, 1000 + version));
		sim.run_for_ms(1000);
		ExpectInForce(Text(version, 60, 1000 + version));
	}
	EXPECT_EQ(Counter(last, "config_confirmed"), 1);
	EXPECT_EQ(Counter(kEntry, "config_deltas_total"), deltas);
	Restart(last, false);
	sim.run_for_ms(5000);
	PutUntilTaken(Text(6, 60, 1006));
	sim.run_for_ms(1000);
	ExpectInForce(Text(6, 60, 1006));
	EXPECT_EQ(Counter(kEntry, "config_deltas_total"), deltas + 1);
}

/* Its lease ends while it is cut off, and differences are proposed then. */
TEST_F(MixedVersions, an_instance_that_joins_again_gets_the_whole_text)
{
	const int last = kInstances - 1;
	long repeats;

	Restart(last, true);
	sim.run_for_ms(5000);
	PutUntilTaken(Text(1, 60));
	sim.run_for_ms(1000);
	ExpectInForce(Text(1, 60));
	repeats = Repeats();
	sim.isolate(last, true);
	sim.run_for_ms(8000);
	for (int version = 2; version < 5; version++)
		PutUntilTaken(Text(version, 60, 1000 + version));
	EXPECT_GE(Counter(kEntry, "config_deltas_total"), 2);
	EXPECT_EQ(Repeats(), repeats);
	sim.isolate(last, false);
	ASSERT_TRUE(sim.run_until(
	    [&] { return Counter(last, "config_version") == 1004; }, 5000));
	sim.run_for_ms(2000);
	ExpectInForce(Text(4, 60, 1004));
	EXPECT_EQ(Counter(last, "config_confirmed"), 1);
	EXPECT_EQ(Repeats(), repeats + 1) << "once, not at each tick";
}

/* A difference in flight when such an instance joins. */
TEST_F(MixedVersions, a_change_beside_a_join_reaches_all)
{
	const int last = kInstances - 1;

	for (int version = 1; version <= 12; version++) {
		bool is_earlier = version % 2 == 1;

		Restart(last, is_earlier);
		sim.run_for_ms((uint64_t)version * 83);
		PutUntilTaken(Text(version, 60, 1000 + version));
		ASSERT_TRUE(sim.run_until(
		    [&] {
			    return Counter(last, "config_version") ==
				1000 + version;
		    },
		    8000))
		    << version;
		sim.run_for_ms(3000);
		ExpectInForce(Text(version, 60, 1000 + version));
		EXPECT_EQ(Counter(last, "config_confirmed"), 1) << version;
	}
}

/* All instances one by one to the other version, and back. */
TEST_F(MixedVersions, a_rolling_upgrade_and_its_undoing_lose_nothing)
{
	int version = 0;

	for (int i = 0; i < kInstances; i++) {
		SetEarlier(i, true);
		sim.kill(i);
	}
	for (int i = 0; i < kInstances; i++)
		sim.start(i);
	ASSERT_TRUE(sim.run_until([&] { return sim.leader() >= 0; }, 20000));
	for (bool is_earlier : {false, true, false}) {
		for (int k = 0; k < kInstances; k++) {
			int i = is_earlier ? kInstances - 1 - k : k;

			PutNext(&version);
			Restart(i, is_earlier, (uint64_t)(k % 3) * 700);
			PutNext(&version);
			sim.run_for_ms(6000);
			SCOPED_TRACE(version);
			ExpectInForce(Text(version, 60, 1000 + version));
			for (int j = 0; j < kInstances; j++)
				EXPECT_EQ(Counter(j, "config_confirmed"), 1)
				    << j;
		}
	}
	long deltas = Counter(kEntry, "config_deltas_total");
	PutNext(&version);
	sim.run_for_ms(1000);
	EXPECT_EQ(Counter(kEntry, "config_deltas_total"), deltas + 1);
}

/* ---- large configurations ----------------------------------------------- */

/*
 * Entries that decode configurations in slices. Guards against entries of the
 * log that are applied in another order or not at all.
 */
class Slices : public Change {
      protected:
	const size_t usual = node_decode_slice_bytes;

	void
	TearDown() override
	{
		node_decode_slice_bytes = usual;
	}
};

TEST_F(Slices, changes_behind_a_large_one_are_applied_in_order)
{
	std::vector<uint64_t> requests;

	node_decode_slice_bytes = 500;
	ASSERT_EQ(PutAndWait(Text(1, 1440)), 200);
	EXPECT_LT(Counter(kEntry, "config_version"), 1001)
	    << "it is being decoded";
	for (int version = 2; version <= 6; version++)
		requests.push_back(Put(sim.leader(),
		    Text(version, version % 2 == 0 ? 1440 : 40, 2000)));
	sim.run_for_ms(8000);
	for (uint64_t request : requests)
		EXPECT_EQ(sim.replies[request].status, 200);
	ExpectInForce(Text(6, 1440));
	EXPECT_GT(Counter(kEntry, "config_slices_total"), 200);
	EXPECT_EQ(Counter(0, "config_slices_total"), 0) << "a voter";
	EXPECT_EQ(Counter(kEntry, "config_mismatches_total"), 0);
	EXPECT_EQ(Counter(kEntry, "config_confirmed"), 1);
}

TEST_F(Slices, of_an_invalid_text_leave_the_one_before)
{
	std::string bad = Text(2, 400, 0), worse = Text(3, 400);

	node_decode_slice_bytes = 1000;
	worse.replace(worse.find("\"name\":\"r100200"), 7, "\"host\":");
	ASSERT_EQ(PutAndWait(Text(1, 40)), 200);
	ProposeWhole(1002, bad);
	sim.run_for_ms(1000);
	ExpectInForce(Text(1, 40));
	ProposeWhole(1003, worse);
	sim.run_for_ms(1000);
	ExpectInForce(Text(1, 40));
	EXPECT_EQ(sim.instances[kEntry]->event_counts["config-unreadable"], 2);
	ASSERT_EQ(PutAndWait(Text(4, 400)), 200);
	sim.run_for_ms(1000);
	ExpectInForce(Text(4, 400));
	EXPECT_EQ(Counter(kEntry, "config_confirmed"), 1);
}

/* Entries and leaders that end or are cut off while entries decode. */
TEST_F(Slices, trouble_meanwhile_loses_nothing)
{
	node_decode_slice_bytes = 300;
	for (int round = 1; round <= 12; round++) {
		int leader = sim.leader();

		ASSERT_EQ(
		    PutAndWait(Text(2 * round, 400 + 40 * (round % 3))), 200);
		(void)Put(leader, Text(2 * round + 1, 40, 1000 + round));
		sim.run_for_ms((uint64_t)round * 13);
		if (round % 3 == 0) {
			sim.kill(leader);
			sim.start(leader);
		} else if (round % 3 == 1) {
			sim.kill(kEntry);
			sim.start(kEntry);
		} else {
			sim.isolate(kEntry, true);
			sim.run_for_ms(4000);
			sim.isolate(kEntry, false);
		}
		ASSERT_TRUE(
		    sim.run_until([&] { return sim.leader() >= 0; }, 8000));
		sim.run_for_ms(4000);
		/* The operator sends the last one again. */
		EXPECT_EQ(
		    PutAndWait(Text(2 * round + 1, 40, 1000 + round)), 200);
		sim.run_for_ms(2000);
		ExpectInForce(Text(2 * round + 1, 40, 1000 + round));
		EXPECT_EQ(Counter(kEntry, "config_confirmed"), 1) << round;
	}
}
