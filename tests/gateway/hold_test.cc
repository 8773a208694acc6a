#include "gateway_sim.h"

/*
 * Requests that arrive at an entry before it knows a configuration, as right
 * after a loss of all instances: they wait for it and are not refused.
 */

static const int kCores = 3, kEntry = 3;

static const char kConfig[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
    "\"path_prefix\":\"/p/\",\"type\":\"idempotent\",\"timeout_ms\":20000,"
    "\"target_latency_ms\":500,\"service\":\"app\"}],"
    "\"services\":[{\"name\":\"app\"}]}";

class Hold : public ::testing::Test {
      protected:
	GatewaySim sim{kCores, 1};

	/* An endpoint that answers each call at once. */
	void
	SetUp() override
	{
		sim.on_call = [this](const GatewaySim::EndpointCall &call) {
			calls++;
			sim.answer_call(call, 200, "answer");
		};
		StartAll();
		ASSERT_TRUE(sim.run_until([&] { return sim.leader() >= 0; }));
		ASSERT_EQ(
		    sim.request_and_wait(sim.leader(), NODE_LISTEN_CONTROL,
			   "PUT", "/api/configuration", kConfig)
			.status,
		    200);
		Announce();
		ASSERT_TRUE(
		    sim.run_until([&] { return sim.all_entries_ready(); }));
		sim.run_for_ms(3000);
	}

	void
	StartAll()
	{
		for (int i = 0; i <= kEntry; i++)
			sim.start(i);
	}

	void
	KillAll()
	{
		for (int i = 0; i <= kEntry; i++)
			sim.kill(i);
	}

	/* Announces the endpoint to all cores, again and again. */
	void
	Announce()
	{
		for (int i = 0; i < kCores; i++)
			if (sim.instances[(size_t)i]->alive)
				sim.send_announcement(i, "e1");
		sim.schedule(sim.now_us + 500 * MS, [this] { Announce(); });
	}

	uint64_t
	Send(uint32_t deadline_ms, const std::string &body = "body")
	{
		return sim.send_request(kEntry, NODE_LISTEN_FRONT, "POST",
		    "/p/x", body,
		    {{"Host", "h.example"}, {"Mulberrypath-Attempt-Id", "7"},
			{"Mulberrypath-Deadline-Ms",
			    std::to_string(deadline_ms)}});
	}

	int calls = 0;
};

/*
 * Guards against callers that are refused, and refused again when they return,
 * while a configuration will be known within their deadline.
 */
TEST_F(Hold, requests_are_served_once_the_configuration_is_known)
{
	std::vector<uint64_t> requests;
	int served = 0;

	KillAll();
	sim.run_for_ms(1200);
	StartAll();
	for (int i = 0; i < 100; i++) {
		requests.push_back(Send(8000));
		sim.run_for_ms(5);
	}
	for (uint64_t id : requests)
		EXPECT_EQ(sim.replies[id].status, 0) << "answered at once";
	sim.run_for_ms(4000);
	for (uint64_t id : requests)
		served += sim.replies[id].status == 200;
	EXPECT_EQ(served, 100);
}

/*
 * Guards against a request that is held until its caller has no time left for
 * another entry, and one whose hold counts as time that is still left.
 */
TEST_F(Hold, a_request_waits_for_at_most_half_of_its_deadline)
{
	static const struct {
		uint32_t deadline_ms, held_ms;
	} cases[] = {
	    {200, 100}, {1500, 750}, {4000, 2000}, {20000, 2000}, {0, 2000}};

	KillAll();
	sim.start(kEntry); /* alone, so without a leader */
	for (const auto &c : cases) {
		uint64_t id = Send(c.deadline_ms), from_us = sim.now_us;

		sim.schedule(from_us + (c.held_ms - 10) * MS, [=, this] {
			EXPECT_EQ(sim.replies[id].status, 0) << c.deadline_ms;
		});
		sim.schedule(from_us + (c.held_ms + 10) * MS, [=, this] {
			EXPECT_EQ(sim.replies[id].status, 503) << c.deadline_ms;
			EXPECT_NE(sim.replies[id].retry_after, "");
		});
	}
	sim.run_for_ms(3000);
	EXPECT_EQ(calls, 0);
}

/* Guards against an entry that is cut off and lets each caller wait. */
TEST_F(Hold, an_entry_without_a_configuration_for_long_refuses_at_once)
{
	uint64_t id;

	KillAll();
	sim.start(kEntry);
	sim.run_for_ms(5100);
	id = Send(8000);
	EXPECT_EQ(sim.replies[id].status, 503);
}

/* Guards against a request that is sent though its caller has left. */
TEST_F(Hold, a_request_of_a_caller_that_leaves_is_dropped)
{
	KillAll();
	StartAll();
	sim.leave_request(kEntry, Send(8000));
	sim.run_for_ms(5000);
	EXPECT_EQ(calls, 0);
}

/* Guards against memory that grows with the callers that arrive meanwhile. */
TEST_F(Hold, what_is_held_is_bounded)
{
	int held = 0;

	KillAll();
	sim.start(kEntry);
	for (int i = 0; i < 1000; i++)
		held += sim.replies[Send(8000)].status == 0;
	EXPECT_EQ(held, 512);
	sim.run_for_ms(2100);
	held = 0;
	for (int i = 0; i < 10; i++) {
		uint64_t id = Send(8000, std::string(1 << 20, 'x'));

		held += sim.replies[id].status == 0;
	}
	EXPECT_EQ(held, 4);
}

/*
 * Guards against entries that get the endpoint table with the placer's next
 * message to all, which in a large cluster comes a second after its election:
 * the first one is lost while the bus connects to them.
 */
TEST(HoldLarge, entries_get_the_endpoint_table_right_after_an_election)
{
	const int cores = 5, entries = 90;
	GatewaySim sim(cores, entries);
	uint64_t leading_us = 0;
	int have = 0;

	auto start_all = [&] {
		for (int i = 0; i < cores + entries; i++)
			sim.start(i);
		return sim.run_until([&] { return sim.leader() >= 0; }, 8000);
	};
	ASSERT_TRUE(start_all());
	ASSERT_EQ(sim.request_and_wait(sim.leader(), NODE_LISTEN_CONTROL, "PUT",
			 "/api/configuration", kConfig)
		      .status,
	    200);
	sim.run_for_ms(15000); /* until all have joined */
	for (int i = 0; i < cores + entries; i++)
		sim.kill(i);
	sim.run_for_ms(1200);
	for (int i = 0; i < cores + entries; i++)
		sim.instances[(size_t)i]->event_counts.clear();
	sim.is_lost = [&](int from, int to, const std::string &) {
		if (leading_us == 0 && from == sim.leader())
			leading_us = sim.now_us;
		return from < cores && to >= cores &&
		    (leading_us == 0 || sim.now_us < leading_us + 150 * MS);
	};
	ASSERT_TRUE(start_all());
	(void)sim.announce(sim.leader(), "e1");
	sim.run_until([&] { return sim.now_us >= leading_us + 600 * MS; });
	for (int i = cores; i < cores + entries; i++)
		have +=
		    sim.instances[(size_t)i]->event_counts["table-taken"] > 0;
	EXPECT_EQ(have, entries);
}
