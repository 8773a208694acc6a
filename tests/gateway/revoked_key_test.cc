/*
 * Revoked keys at an entry that was partitioned while they were revoked: it
 * goes on with the keys that it has, and refuses them soon after it is
 * connected again.
 */

#include "gateway_sim.h"
#include "wire/peer.pb-c.h"

/* The bound for configurations, from the reconnection on. */
static const uint64_t kBoundMs = 2500;

/* How an entry is partitioned and connected again. */
struct Partition {
	const char *name;
	bool hears, is_heard; /* while it is partitioned */
	double loss; /* of its messages after that, both ways */
	bool lacks_log; /* the log doesn't reach it after that */
	uint64_t event_us; /* processor time of an event at entries */
	uint64_t troubled_ms; /* time for which loss and lack last */
};

void
PrintTo(const Partition &p, std::ostream *out)
{
	*out << p.name;
}

class RevokedKey : public ::testing::TestWithParam<Partition> {
      protected:
	std::unique_ptr<GatewaySim> sim;
	const int entry = 3;
	int version = 0;
	uint64_t trouble_until_us = 0, random = 1;

	static bool
	CarriesLog(const std::string &bytes)
	{
		Wire__Envelope *e = wire__envelope__unpack(
		    nullptr, bytes.size(), (const uint8_t *)bytes.data());
		bool carries =
		    e != nullptr && e->body_case == WIRE__ENVELOPE__BODY_PUSH;

		if (e != nullptr)
			wire__envelope__free_unpacked(e, nullptr);
		return carries;
	}

	bool
	IsLost(int from, int to, const std::string &bytes)
	{
		if (sim->now_us >= trouble_until_us ||
		    (from != entry && to != entry))
			return false;
		random = random * 6364136223846793005 + 1442695040888963407;
		if ((double)(random >> 11) * 0x1.0p-53 < GetParam().loss)
			return true;
		return GetParam().lacks_log && to == entry && CarriesLog(bytes);
	}

	void
	Announce()
	{
		if (sim->leader() >= 0)
			for (const char *id : {"e1", "e2"})
				sim->send_announcement(sim->leader(), id);
		sim->schedule(sim->now_us + 1000 * MS, [this] { Announce(); });
	}

	void
	Configure(const std::string &key)
	{
		std::string text = "{\"version\":" + std::to_string(++version) +
		    ",\"routes\":[{\"host\":\"h.example\","
		    "\"path_prefix\":\"/p/\",\"type\":\"idempotent\","
		    "\"timeout_ms\":20000,\"service\":\"app\"}],"
		    "\"services\":[{\"name\":\"app\"}],"
		    "\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"" +
		    key + "\"]}]}";

		ASSERT_EQ(
		    sim->request_and_wait(sim->leader(), NODE_LISTEN_CONTROL,
			   "PUT", "/api/configuration", text)
			.status,
		    200);
	}

	void
	StartServing()
	{
		sim = std::make_unique<GatewaySim>(3, 1);
		sim->entry_event_us = GetParam().event_us;
		for (int i = 0; i < 4; i++)
			sim->start(i);
		ASSERT_TRUE(
		    sim->run_until([&] { return sim->leader() >= 0; }, 8000));
		Configure("k1");
		Announce();
		ASSERT_TRUE(sim->run_until(
		    [&] { return sim->all_entries_ready(); }, 8000));
		sim->run_for_ms(2000); /* until all have joined */
		sim->is_lost = [this](int from, int to, const std::string &b) {
			return IsLost(from, to, b);
		};
	}

	void
	Cut(bool on)
	{
		for (int k = 0; k < 3; k++) {
			if (!on) {
				sim->cut_links.erase({entry, k});
				sim->cut_links.erase({k, entry});
				continue;
			}
			if (!GetParam().is_heard)
				sim->cut_links.insert({entry, k});
			if (!GetParam().hears)
				sim->cut_links.insert({k, entry});
		}
	}

	/* Partitions the entry, revokes its callers' key, and connects it. */
	void
	RevokeWhilePartitioned(uint64_t ms)
	{
		Cut(true);
		sim->run_for_ms(500);
		Configure("k2");
		sim->run_for_ms(ms);
		Cut(false);
		trouble_until_us = sim->now_us + GetParam().troubled_ms * MS;
	}

	uint64_t
	Send(const char *key = "k1")
	{
		char attempt[17];

		(void)snprintf(attempt, sizeof(attempt), "%016llx",
		    (unsigned long long)sim->next_request_id() *
			0x9e3779b97f4a7c15);
		return sim->send_request(entry, NODE_LISTEN_FRONT, "POST",
		    "/p/x", "body",
		    {{"Host", "h.example"},
			{"Authorization", std::string("Token ") + key},
			{"Mulberrypath-Attempt-Id", attempt},
			{"Mulberrypath-Deadline-Ms", "20000"}});
	}

	/* The entry has the configuration in force, and serves by it. */
	void
	ExpectCaughtUp()
	{
		sim->run_for_ms(GetParam().troubled_ms + kBoundMs);
		uint64_t refused = Send(), served = Send("k2");
		sim->run_for_ms(1000);
		EXPECT_EQ(sim->replies[refused].status, 401);
		EXPECT_EQ(sim->replies[served].status, 200);
	}
};

/*
 * Guards against a request that runs with a revoked key later than the bound
 * after its entry was connected again, because the entry takes its old
 * configuration for the one in force.
 */
TEST_P(RevokedKey, runs_no_new_request_past_the_bound)
{
	std::map<uint64_t, uint64_t> sent; /* time by request */
	uint64_t last_run_us = 0, end_us;
	size_t ran = 0;

	ASSERT_NO_FATAL_FAILURE(StartServing());
	sim->on_call = [&](const GatewaySim::EndpointCall &call) {
		last_run_us = sim->now_us;
		ran++;
		sim->schedule(sim->now_us + 10 * MS,
		    [this, call] { sim->answer_call(call, 200, "answer"); });
	};
	ASSERT_NO_FATAL_FAILURE(RevokeWhilePartitioned(0));
	Cut(true);
	for (int i = 0; i < 60; i++) {
		sent[Send()] = sim->now_us;
		sim->run_for_ms(50);
	}
	/* Who hears the others knows of the change, and may refuse sooner. */
	if (!GetParam().hears) {
		EXPECT_GT(ran, 0u) << "it goes on with the keys it has";
	}
	Cut(false);
	uint64_t connected_us = sim->now_us;
	trouble_until_us = connected_us + GetParam().troubled_ms * MS;
	end_us = connected_us + (GetParam().troubled_ms + 3000) * MS;
	while (sim->now_us < end_us) {
		sent[Send()] = sim->now_us;
		sim->run_for_ms(50);
	}
	EXPECT_LE(last_run_us, connected_us + kBoundMs * MS);
	for (auto &item : sent) {
		const Reply &reply = sim->replies[item.first];

		if (item.second > connected_us + kBoundMs * MS &&
		    item.second + 500 * MS < end_us) {
			EXPECT_TRUE(reply.status == 401 || reply.status == 503)
			    << reply.status;
		}
	}
	sim->run_for_ms(500);
	ExpectCaughtUp();
}

/*
 * The same for a request that has waited since before the partition, and for
 * one whose endpoint fails after the bound: it is not sent again.
 */
TEST_P(RevokedKey, runs_no_waiting_request_past_the_bound)
{
	std::vector<GatewaySim::EndpointCall> running;
	std::vector<uint64_t> requests;

	ASSERT_NO_FATAL_FAILURE(StartServing());
	for (int i = 0; i < 12; i++)
		requests.push_back(Send());
	ASSERT_TRUE(sim->run_until(
	    [&] { return sim->endpoint_calls.size() == 12; }, 2000));
	running = sim->endpoint_calls;
	for (int i = 0; i < 4; i++)
		requests.push_back(Send());
	sim->run_for_ms(300);
	ASSERT_EQ(sim->endpoint_calls.size(), 12u) << "they did not wait";
	ASSERT_NO_FATAL_FAILURE(RevokeWhilePartitioned(2000));
	sim->run_for_ms(kBoundMs);
	/* A partitioned entry places by itself what waits: that has run. */
	running = sim->endpoint_calls;
	/* An idempotent request that may have run may be sent again. */
	sim->end_call(running[0], NODE_CALL_BROKEN);
	sim->end_call(running[1], NODE_CALL_NOT_SENT);
	for (size_t i = 2; i < running.size(); i++)
		sim->answer_call(running[i], 200, "answer");
	sim->run_for_ms(GetParam().troubled_ms + 1000);
	EXPECT_EQ(sim->endpoint_calls.size(), running.size())
	    << "a request was sent with a revoked key";
	std::map<int, int> counts;
	for (uint64_t id : requests)
		counts[sim->replies[id].status]++;
	EXPECT_EQ(counts[200], (int)running.size() - 2)
	    << "what ran at the time is answered";
	EXPECT_EQ(counts[502], 1) << "it may have run";
	EXPECT_EQ(counts[401] + counts[503], 17 - (int)running.size());
	sim->on_call = [&](const GatewaySim::EndpointCall &call) {
		sim->answer_call(call, 200, "answer");
	};
	ExpectCaughtUp();
}

INSTANTIATE_TEST_SUITE_P(Partitions, RevokedKey,
    ::testing::Values(Partition{"cut both ways", false, false, 0, false, 0, 0},
	Partition{"hears nobody", false, true, 0, false, 0, 0},
	Partition{"nobody hears it", true, false, 0, false, 0, 0},
	Partition{"then half of all messages are lost", false, false, 0.5,
	    false, 0, 5000},
	Partition{"then the log comes late", false, false, 0, true, 0, 5000},
	Partition{"slow processor", false, false, 0, false, 1500, 0}));
