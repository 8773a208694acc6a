#include "gateway_sim.h"
#include "wire/peer.pb-c.h"

#include <random>

/*
 * Processes that are killed and back at once. Numbers of asks and calls begin
 * anew with each process, so a reply to the earlier process must not be taken
 * for one to the later process at the same instance.
 */

/* Two plain services with a route each, which may run a request once. */
static std::string
two_services_config()
{
	std::string routes;

	for (std::string service : {"app", "other"})
		routes += std::string(routes.empty() ? "" : ",") +
		    "{\"name\":\"r-" + service +
		    "\",\"host\":\"h.example\",\"path_prefix\":\"/" + service +
		    "/\",\"type\":\"non_idempotent\",\"timeout_ms\":6000,"
		    "\"target_latency_ms\":4000,\"service\":\"" +
		    service + "\"}";
	return "{\"version\":1,\"routes\":[" + routes +
	    "],\"services\":[{\"name\":\"app\"},{\"name\":\"other\"}]}";
}

/*
 * Both services are short of slots, so that requests wait at the placer, while
 * entries and cores are killed at random and are back after some ms, often
 * twice in a row.
 */
class RestartWorld {
      public:
	GatewaySim sim;
	int runs = 0, wrong_runs = 0, restarts = 0;

	RestartWorld(unsigned seed, int entries)
	    : sim(kCores, entries), entries(entries),
	      busy(std::min(entries, 7)), random(seed)
	{
		sim.on_call = [this](const GatewaySim::EndpointCall &call) {
			on_call(call);
		};
	}

	bool
	bring_up()
	{
		for (int i = 0; i < kCores + entries; i++)
			sim.start(i);
		if (!sim.run_until([&] { return sim.leader() >= 0; }, 8000) ||
		    sim.request_and_wait(sim.leader(), NODE_LISTEN_CONTROL,
			   "PUT", "/api/configuration", two_services_config())
			    .status != 200)
			return false;
		for (int e = 0; e < 2 * kEndpoints; e++)
			announce(e);
		sim.run_for_ms(8000);
		return sim.run_until(
		    [&] { return sim.all_entries_ready(); }, 5000);
	}

	void
	play(uint64_t ms)
	{
		uint64_t end_us = sim.now_us + ms * MS;

		while (sim.now_us < end_us) {
			if (random() % 100 == 0)
				restart(draw_entry());
			if (random() % 2000 == 0)
				restart((int)(random() % kCores));
			send_request(draw_entry());
			sim.run_for_ms(4 + random() % 8);
		}
	}

      private:
	static constexpr int kCores = 3, kEndpoints = 2, kSlots = 4;
	static constexpr uint64_t kAnnounceUs = 1200 * MS;
	int entries;
	int busy; /* entries that get requests and are killed */
	std::mt19937_64 random;
	std::map<std::string, std::string> service_of; /* by address */
	uint64_t last_attempt = 0;
	uint64_t sequence = 0;
	std::map<std::string, int> running; /* by address */

	int
	draw_entry()
	{
		return kCores + (int)(random() % (unsigned)busy);
	}

	void
	announce(int e)
	{
		std::string service = e < kEndpoints ? "app" : "other";
		std::string address = "10.1.0." + std::to_string(e + 1) + ":80";
		std::string body = "{\"service\":\"" + service +
		    "\",\"address\":\"" + address +
		    "\",\"zone\":\"z\",\"slots\":" + std::to_string(kSlots) +
		    ",\"state\":\"ready\",\"born\":1,\"sequence\":" +
		    std::to_string(++sequence) + "}";

		service_of[address] = service;
		for (int i = 0; i < kCores; i++)
			(void)sim.send_request(i, NODE_LISTEN_CONTROL, "PUT",
			    "/api/instances/e" + std::to_string(e), body);
		sim.schedule(
		    sim.now_us + kAnnounceUs, [this, e] { announce(e); });
	}

	/* Kills a process; it is back at once, and may be killed again. */
	void
	restart(int i)
	{
		uint64_t down_ms = random() % 300;
		bool twice = random() % 2 == 0;

		if (!sim.instances[(size_t)i]->alive)
			return;
		restarts++;
		sim.kill(i);
		sim.schedule(sim.now_us + down_ms * MS, [this, i, twice] {
			sim.start(i);
			if (twice)
				sim.schedule(sim.now_us + 200 * MS,
				    [this, i] { restart(i); });
		});
	}

	void
	send_request(int entry)
	{
		std::string path =
		    random() % 2 == 0 ? "/app/book" : "/other/check";

		if (!sim.instances[(size_t)entry]->alive)
			return;
		(void)sim.send_request(entry, NODE_LISTEN_FRONT, "POST", path,
		    "body",
		    {{"Host", "h.example"},
			{"Mulberrypath-Attempt-Id",
			    std::to_string(++last_attempt)},
			{"Mulberrypath-Deadline-Ms", "5000"}});
	}

	void
	on_call(const GatewaySim::EndpointCall &call)
	{
		uint64_t generation =
		    sim.instances[(size_t)call.instance]->generation;
		uint64_t work_ms = 50 + random() % 400;
		std::string service = service_of[call.address];

		runs++;
		if (call.path.rfind("/" + service + "/", 0) != 0) {
			wrong_runs++;
			ADD_FAILURE()
			    << call.path << " is run by an endpoint of "
			    << service;
		}
		sim.schedule(
		    sim.now_us + work_ms * MS, [this, call, generation] {
			    if (sim.instances[(size_t)call.instance]
				    ->generation == generation)
				    sim.answer_call(call, 200, "answer");
		    });
	}
};

struct RestartRow {
	const char *name;
	int entries; /* with 23 the entries place requests, not the leader */
	unsigned seed;
};

static const RestartRow rows[] = {
    {"seven_entries", 7, 1},
    {"seven_entries_again", 7, 2},
    {"two_entries", 2, 3},
    {"shards", 23, 4},
    {"shards_again", 23, 5},
};

class Restart : public ::testing::TestWithParam<RestartRow> {};

/*
 * Guards against requests that are run by another service, as a grant for a
 * killed entry was taken by a request of its next process with an equal number.
 *
 * RESTART_SEEDS=FIRST:COUNT test_gateway --gtest_filter='*Restart.a_grant*'
 */
TEST_P(Restart, a_grant_is_taken_by_the_process_that_asked_for_it_alone)
{
	const char *text = getenv("RESTART_SEEDS");
	unsigned first = GetParam().seed, count = 1;

	if (text != nullptr && sscanf(text, "%u:%u", &first, &count) != 2)
		FAIL() << "RESTART_SEEDS wants FIRST:COUNT";
	for (unsigned seed = first; seed < first + count; seed++) {
		RestartWorld world(seed, GetParam().entries);

		ASSERT_TRUE(world.bring_up()) << "seed " << seed;
		world.play(20000);
		EXPECT_EQ(world.wrong_runs, 0) << "seed " << seed;
		EXPECT_GT(world.runs, 100);
		EXPECT_GT(world.restarts, 10);
	}
}

INSTANTIATE_TEST_SUITE_P(Worlds, Restart, ::testing::ValuesIn(rows),
    [](const auto &info) { return std::string(info.param.name); });

/* ---- single messages ----------------------------------------------------- */

class Replies : public ::testing::Test {
      protected:
	static constexpr int kCores = 3, kEntries = 2;
	GatewaySim sim{kCores, kEntries};

	void
	SetUp() override
	{
		for (int i = 0; i < kCores + kEntries; i++)
			sim.start(i);
		ASSERT_TRUE(
		    sim.run_until([&] { return sim.leader() >= 0; }, 8000));
		sim.run_for_ms(3000);
		ASSERT_EQ(PutConfig(sim.leader(), 1), 200);
	}

	int
	PutConfig(int i, int version)
	{
		return sim
		    .request_and_wait(i, NODE_LISTEN_CONTROL, "PUT",
			"/api/configuration", config_text(version))
		    .status;
	}
};

static Wire__Envelope *
unpack(const std::string &bytes)
{
	return wire__envelope__unpack(
	    nullptr, bytes.size(), (const uint8_t *)bytes.data());
}

/*
 * Guards against an acknowledgement of a change that was not made: the answer
 * to a relayed call of a killed process, taken for one of its next process.
 */
TEST_F(Replies, an_answer_to_a_killed_process_answers_no_call_of_the_next_one)
{
	int leader = sim.leader(), relay = (leader + 1) % kCores;
	auto dropped = [&] {
		return sim.instances[(size_t)relay]
		    ->event_counts["reply-outdated"];
	};
	std::string kept;
	uint64_t refused;
	int outdated;

	/* The answer to the first relayed call is on its way for long. */
	sim.is_lost = [&](int from, int to, const std::string &bytes) {
		Wire__Envelope *e = unpack(bytes);
		bool is_answer = from == leader && to == relay &&
		    e->body_case == WIRE__ENVELOPE__BODY_CALL_ANSWER;

		wire__envelope__free_unpacked(e, nullptr);
		if (is_answer && kept.empty()) {
			kept = bytes;
			return true;
		}
		return false;
	};
	sim.kill(relay);
	sim.start(relay);
	sim.run_for_ms(1500);
	(void)sim.send_request(relay, NODE_LISTEN_CONTROL, "PUT",
	    "/api/configuration", config_text(5));
	ASSERT_TRUE(sim.run_until([&] { return !kept.empty(); }, 1000));
	sim.kill(relay);
	sim.start(relay);
	sim.run_for_ms(1500);
	/* Its first call is now one that the leader doesn't get to see. */
	sim.cut_links.insert({relay, leader});
	refused = sim.send_request(relay, NODE_LISTEN_CONTROL, "PUT",
	    "/api/configuration", config_text(9));
	outdated = dropped();
	sim.deliver(leader, relay, kept);
	ASSERT_TRUE(sim.run_until(
	    [&] { return sim.replies[refused].status != 0; }, 3000));
	EXPECT_EQ(sim.replies[refused].status, 503);
	EXPECT_EQ(dropped(), outdated + 1);
}

/*
 * Guards against a further kind of reply that doesn't name the process that it
 * is for.
 */
TEST_F(Replies, each_reply_names_the_process_that_it_answers)
{
	std::map<int, int> replies; /* by kind */
	std::map<int, uint64_t> incarnations; /* of instances, as they send */

	sim.is_lost = [&](int from, int to, const std::string &bytes) {
		Wire__Envelope *e = unpack(bytes);

		incarnations[from] = e->incarnation;
		switch (e->body_case) {
		case WIRE__ENVELOPE__BODY_LEASE:
		case WIRE__ENVELOPE__BODY_LEASES:
		case WIRE__ENVELOPE__BODY_PONG:
		case WIRE__ENVELOPE__BODY_GRANT:
		case WIRE__ENVELOPE__BODY_PLACE_REPLY:
		case WIRE__ENVELOPE__BODY_CALL_ANSWER:
			replies[(int)e->body_case]++;
			if (e->to_incarnation == 0 ||
			    e->to_incarnation != incarnations[to])
				ADD_FAILURE()
				    << "a reply of kind " << (int)e->body_case
				    << " is for process " << e->to_incarnation;
			break;
		default:
			break;
		}
		wire__envelope__free_unpacked(e, nullptr);
		return false;
	};
	sim.run_for_ms(100); /* all have sent something */
	ASSERT_EQ(sim.announce(sim.leader(), "e1").status, 200);
	ASSERT_EQ(PutConfig((sim.leader() + 1) % kCores, 2), 200);
	ASSERT_TRUE(
	    sim.run_until([&] { return sim.all_entries_ready(); }, 5000));
	(void)sim.send_request(kCores, NODE_LISTEN_FRONT, "POST", "/p/x",
	    "body",
	    {{"Host", "h.example"}, {"Mulberrypath-Attempt-Id", "7"},
		{"Mulberrypath-Deadline-Ms", "1500"}});
	sim.run_for_ms(1000);
	EXPECT_GT(replies[WIRE__ENVELOPE__BODY_LEASE], 0);
	EXPECT_GT(replies[WIRE__ENVELOPE__BODY_PLACE_REPLY], 0);
	EXPECT_GT(replies[WIRE__ENVELOPE__BODY_CALL_ANSWER], 0);
}

/*
 * Guards against slots that stay taken by the requests of a killed process
 * until its membership ends, and are granted to it again.
 */
TEST_F(Replies, the_next_process_gives_up_the_asks_of_the_killed_one)
{
	int entry = kCores, other = kCores + 1, attempt = 0;
	auto send = [&](int to) {
		(void)sim.send_request(to, NODE_LISTEN_FRONT, "POST", "/p/x",
		    "body",
		    {{"Host", "h.example"},
			{"Mulberrypath-Attempt-Id", std::to_string(++attempt)},
			{"Mulberrypath-Deadline-Ms", "1900"}});
	};
	size_t before;

	ASSERT_EQ(sim.announce(sim.leader(), "e1").status, 200); /* 6 slots */
	ASSERT_TRUE(
	    sim.run_until([&] { return sim.all_entries_ready(); }, 5000));
	send(other);
	sim.run_for_ms(50);
	for (int i = 0; i < 8; i++)
		send(entry); /* five get a slot, three wait */
	sim.run_for_ms(50);
	ASSERT_EQ(sim.endpoint_calls.size(), 6U);
	/* Without renewals the next process does not replace the killed one. */
	sim.is_lost = [&](int from, int, const std::string &bytes) {
		Wire__Envelope *e = unpack(bytes);
		bool is_renewal =
		    from == entry && e->body_case == WIRE__ENVELOPE__BODY_RENEW;

		wire__envelope__free_unpacked(e, nullptr);
		return is_renewal;
	};
	sim.kill(entry);
	sim.start(entry);
	send(other); /* waits behind them */
	sim.run_for_ms(500);
	before = sim.endpoint_calls.size();
	sim.answer_call(sim.endpoint_calls[0], 200, "answer");
	EXPECT_TRUE(sim.run_until(
	    [&] { return sim.endpoint_calls.size() > before; }, 200));
	EXPECT_EQ(sim.endpoint_calls.back().instance, other);
}

/*
 * Guards against a process that waits for the lease of the killed one before it
 * is a member, and against slots that stay taken for as long.
 */
TEST_F(Replies, the_next_process_replaces_the_killed_one_at_once)
{
	int entry = kCores, other = kCores + 1, attempt = 0;
	auto send = [&](int to) {
		(void)sim.send_request(to, NODE_LISTEN_FRONT, "POST", "/p/x",
		    "body",
		    {{"Host", "h.example"},
			{"Mulberrypath-Attempt-Id", std::to_string(++attempt)},
			{"Mulberrypath-Deadline-Ms", "1900"}});
	};

	ASSERT_EQ(sim.announce(sim.leader(), "e1").status, 200); /* 6 slots */
	ASSERT_TRUE(
	    sim.run_until([&] { return sim.all_entries_ready(); }, 5000));
	for (int i = 0; i < 6; i++)
		send(entry);
	sim.run_for_ms(50);
	ASSERT_EQ(sim.endpoint_calls.size(), 6U);
	sim.kill(entry);
	sim.start(entry);
	send(other); /* waits behind them */
	EXPECT_TRUE(
	    sim.run_until([&] { return sim.endpoint_calls.size() > 6; }, 700));
	EXPECT_EQ(sim.endpoint_calls.back().instance, other);
}
