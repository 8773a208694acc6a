#include <algorithm>

#include "gateway_sim.h"
#include "wire/peer.pb-c.h"

/*
 * Quotas of accounts over all entries, from the caller's request to its arrival
 * at an endpoint, while the owner of the quotas is lost.
 */

static const uint64_t kRate = 40, kBurst = 40;
static const char *const kAccounts[] = {"flooding", "usual"};

/* Charged for each request, where the unit is tokens. */
static const uint64_t kTokens = 100;

/* The configuration of all tests, with the two accounts. */
static std::string
configuration(int version = 1, bool in_tokens = false)
{
	std::string text = config_text(version), accounts;
	uint64_t factor = in_tokens ? kTokens : 1;

	for (const char *name : kAccounts)
		accounts += std::string(accounts.empty() ? "" : ",") +
		    "{\"name\":\"" + name + "\",\"api_keys\":[\"key-" + name +
		    "\"],\"unit\":\"" + (in_tokens ? "tokens" : "requests") +
		    "\",\"base_tokens\":" + std::to_string(kTokens) +
		    ",\"rate_per_s\":" + std::to_string(kRate * factor) +
		    ",\"burst\":" + std::to_string(kBurst * factor) + "}";
	text.pop_back();
	return text + ",\"tenants\":[" + accounts + "]}";
}

struct QuotaCase {
	const char *name;
	int entries;
	/* of the instance that owns the quota of the flooding account */
	void (*trouble)(GatewaySim &sim, int owner);
};

void
PrintTo(const QuotaCase &c, std::ostream *out)
{
	*out << c.name;
}

class Quota : public ::testing::TestWithParam<QuotaCase> {
      protected:
	struct Sent {
		size_t account;
		uint64_t sent_us;
		int entry;
	};
	GatewaySim sim{5, GetParam().entries};
	std::map<uint64_t, Sent> requests;
	std::vector<uint64_t> arrivals[2];
	int owner = -1; /* of the flooding account, asked last */

	void
	Configure(int version, bool in_tokens)
	{
		ASSERT_EQ(200,
		    sim.request_and_wait(sim.leader(), NODE_LISTEN_CONTROL,
			   "PUT", "/api/configuration",
			   configuration(version, in_tokens))
			.status);
	}

	void
	StartServing(bool in_tokens = false)
	{
		for (size_t i = 0; i < sim.instances.size(); i++)
			sim.start((int)i);
		ASSERT_TRUE(
		    sim.run_until([&] { return sim.leader() >= 0; }, 8000));
		Configure(1, in_tokens);
		Announce();
		ASSERT_TRUE(sim.run_until(
		    [&] { return sim.all_entries_ready(); }, 8000));
		sim.is_lost = [this](int, int to, const std::string &bytes) {
			WatchAsk(to, bytes);
			return false;
		};
		sim.on_call = [this](const GatewaySim::EndpointCall &call) {
			OnCall(call);
		};
	}

	/* Two plain endpoints announce themselves every second. */
	void
	Announce()
	{
		if (sim.leader() >= 0)
			for (const char *id : {"e1", "e2", "e3", "e4"})
				sim.send_announcement(sim.leader(), id);
		sim.schedule(sim.now_us + 1000 * MS, [this] { Announce(); });
	}

	void
	WatchAsk(int to, const std::string &bytes)
	{
		Wire__Envelope *e = wire__envelope__unpack(
		    nullptr, bytes.size(), (const uint8_t *)bytes.data());

		if (e != nullptr &&
		    e->body_case == WIRE__ENVELOPE__BODY_QUOTA_ASK &&
		    strcmp(e->quota_ask->account, kAccounts[0]) == 0)
			owner = to;
		if (e != nullptr)
			wire__envelope__free_unpacked(e, nullptr);
	}

	void
	OnCall(const GatewaySim::EndpointCall &call)
	{
		auto name = call.headers.find("Mulberrypath-Tenant");

		if (name == call.headers.end())
			return;
		arrivals[name->second == kAccounts[1]].push_back(sim.now_us);
		sim.schedule(sim.now_us + 10 * MS, [this, call] {
			if (sim.instances[(size_t)call.instance]->alive)
				sim.answer_call(call, 200, "answer");
		});
	}

	/* Each account sends this often, by all entries that are up in turn. */
	void
	RunTraffic(uint64_t ms, const double (&per_s)[2])
	{
		uint64_t end_us = sim.now_us + ms * MS;
		uint64_t due_us[2] = {sim.now_us, sim.now_us};
		size_t turn = 0;

		while (sim.now_us < end_us) {
			for (size_t a = 0; a < 2; a++)
				for (; due_us[a] <= sim.now_us;
				     due_us[a] += (uint64_t)(1e6 / per_s[a]))
					Send(a, turn++);
			sim.run_for_ms(5);
		}
	}

	void
	Send(size_t account, size_t turn)
	{
		size_t entries = (size_t)GetParam().entries;

		for (size_t i = 0; i < entries; i++) {
			size_t to = 5 + (turn + i) % entries;
			auto &m = sim.instances[to];

			if (!m->alive || m->frozen)
				continue;
			uint64_t id = sim.next_request_id();
			char attempt[17];

			(void)snprintf(attempt, sizeof(attempt), "%016llx",
			    (unsigned long long)id * 0x9e3779b97f4a7c15);
			requests[id] = {account, sim.now_us, (int)to};
			(void)sim.send_request((int)to, NODE_LISTEN_FRONT,
			    "POST", "/p/x", "body",
			    {{"Host", "h.example"},
				{"Authorization",
				    std::string("Token key-") +
					kAccounts[account]},
				{"Mulberrypath-Attempt-Id", attempt},
				{"Mulberrypath-Deadline-Ms", "1500"}});
			return;
		}
	}

	/* Most arrivals of an account in any window. */
	size_t
	MostArrivals(size_t account, uint64_t window_ms) const
	{
		auto &list = arrivals[account];
		size_t most = 0;

		for (size_t i = 0, end = 0; i < list.size(); i++) {
			while (end < list.size() &&
			    list[end] <= list[i] + window_ms * MS)
				end++;
			most = std::max(most, end - i);
		}
		return most;
	}

	size_t
	CountArrivals(size_t account, uint64_t from_us) const
	{
		auto &list = arrivals[account];

		return (size_t)(list.end() -
		    std::lower_bound(list.begin(), list.end(), from_us));
	}

	/* except: an entry whose requests do not count */
	std::map<int, int>
	CountStatuses(
	    size_t account, uint64_t from_us, uint64_t to_us, int except = -1)
	{
		std::map<int, int> counts;

		for (auto &r : requests)
			if (r.second.account == account &&
			    r.second.entry != except &&
			    r.second.sent_us >= from_us &&
			    r.second.sent_us < to_us)
				counts[sim.replies[r.first].status]++;
		return counts;
	}
};

/*
 * Guards against use beyond the quota and refusals within it, before and after
 * the owner is lost, and against a quota that stays unused after that.
 */
TEST_P(Quota, holds_while_its_owner_is_lost)
{
	const double flood[2] = {kRate * 5.0, kRate / 1.8};
	const double calm[2] = {kRate / 1.8, kRate / 1.8};

	StartServing();
	sim.run_for_ms(4000); /* all have joined, and the bucket is full */
	uint64_t begin_us = sim.now_us;
	RunTraffic(3000, calm);
	auto statuses = CountStatuses(0, begin_us, sim.now_us - 200 * MS);
	EXPECT_EQ(0, statuses[429]);
	EXPECT_EQ(0, statuses[503]);

	uint64_t flood_us = sim.now_us;
	RunTraffic(5000, flood);
	uint64_t trouble_us = sim.now_us;
	double used = (double)CountArrivals(0, flood_us + 2000 * MS);
	EXPECT_GE(used, 0.9 * 3 * (double)kRate);
	statuses = CountStatuses(1, begin_us, trouble_us - 200 * MS);
	EXPECT_EQ(0, statuses[429]) << "of the account that does not flood";
	EXPECT_GT(CountStatuses(0, flood_us, trouble_us)[429], 0);

	ASSERT_GE(owner, 0);
	const int lost = owner;
	GetParam().trouble(sim, lost);
	RunTraffic(8000, flood);
	uint64_t end_us = sim.now_us;
	used = (double)CountArrivals(0, end_us - 3000 * MS);
	EXPECT_GE(used, 0.8 * 3 * (double)kRate) << "under the next owner";
	/* An entry that is cut off reaches no owner, and refuses requests. */
	statuses =
	    CountStatuses(1, end_us - 3000 * MS, end_us - 200 * MS, lost);
	EXPECT_EQ(0, statuses[429]);
	EXPECT_EQ(0, statuses[503]);

	/*
	 * Requests that are admitted and not placed yet may be sent in a later
	 * window: a tenth of the quota is allowed for them.
	 */
	for (size_t a = 0; a < 2; a++)
		EXPECT_LE(
		    (double)MostArrivals(a, 8000), 1.1 * (8 * kRate + kBurst));
	EXPECT_LE((double)MostArrivals(0, 1000), 1.1 * (kRate + kBurst));
	for (auto &r : requests) {
		const Reply &reply = sim.replies[r.first];
		if (reply.status == 429 || reply.status == 503) {
			EXPECT_NE("", reply.retry_after);
		}
	}
}

INSTANTIATE_TEST_SUITE_P(Owners, Quota,
    ::testing::Values(QuotaCase{"leader killed", 4,
			  [](GatewaySim &sim, int owner) { sim.kill(owner); }},
	QuotaCase{"leader cut off", 4,
	    [](GatewaySim &sim, int owner) { sim.isolate(owner, true); }},
	QuotaCase{"leader paused", 4,
	    [](GatewaySim &sim, int owner) {
		    sim.keep_messages_of_frozen = true;
		    sim.freeze(owner, true);
		    sim.schedule(sim.now_us + 2500 * MS,
			[&sim, owner] { sim.freeze(owner, false); });
	    }},
	QuotaCase{"shard owner killed", 12,
	    [](GatewaySim &sim, int owner) { sim.kill(owner); }},
	QuotaCase{"shard owner stopped", 12,
	    [](GatewaySim &sim, int owner) { sim.stop(owner); }},
	QuotaCase{"shard owner cut off", 12,
	    [](GatewaySim &sim, int owner) { sim.isolate(owner, true); }},
	QuotaCase{"all entries restarted", 12, [](GatewaySim &sim, int) {
			  for (int i = 5; i < 17; i++) {
				  sim.kill(i);
				  sim.start(i);
			  }
		  }}));

class QuotaRestart : public Quota {};

/*
 * Guards against a quota that nobody grants until all members have joined anew
 * after the loss of all processes.
 */
TEST_P(QuotaRestart, quotas_are_granted_soon_after_the_loss_of_all_processes)
{
	const double calm[2] = {kRate / 1.8, kRate / 1.8};

	StartServing();
	sim.run_for_ms(4000);
	RunTraffic(2000, calm);
	for (size_t i = 0; i < sim.instances.size(); i++)
		sim.kill((int)i);
	sim.run_for_ms(300);
	for (size_t i = 0; i < sim.instances.size(); i++)
		sim.start((int)i);
	ASSERT_TRUE(sim.run_until([&] { return sim.leader() >= 0; }, 8000));
	RunTraffic(1000, calm);
	uint64_t begin_us = sim.now_us;
	RunTraffic(1000, calm);
	EXPECT_GE((double)CountArrivals(1, begin_us), 0.8 * kRate / 1.8);
	RunTraffic(6000, calm);
	for (size_t a = 0; a < 2; a++)
		EXPECT_LE(
		    (double)MostArrivals(a, 8000), 1.1 * (8 * kRate + kBurst));
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuotaRestart,
    ::testing::Values(QuotaCase{"12 entries", 12, nullptr},
	QuotaCase{"24 entries", 24, nullptr}));

class QuotaUnit : public Quota {
      protected:
	/*
	 * A flood while the unit changes, and trouble of the owner with it. The
	 * two quotas allow the same requests.
	 */
	void
	ChangeUnit(bool to_tokens)
	{
		const double flood[2] = {kRate * 5.0, kRate / 1.8};

		StartServing(!to_tokens);
		sim.run_for_ms(4000);
		RunTraffic(3000, flood);
		ASSERT_GE(owner, 0);
		const int lost = owner;
		uint64_t change_us = sim.now_us;
		Configure(2, to_tokens);
		GetParam().trouble(sim, lost);
		RunTraffic(10000, flood);
		uint64_t end_us = sim.now_us;
		double used = (double)CountArrivals(0, end_us - 3000 * MS);
		EXPECT_GE(used, 0.8 * 3 * (double)kRate);
		auto statuses = CountStatuses(
		    1, end_us - 3000 * MS, end_us - 200 * MS, lost);
		EXPECT_EQ(0, statuses[429]);
		EXPECT_EQ(0, statuses[503]);
		/* A window with the change sees the bursts of both quotas. */
		for (size_t a = 0; a < 2; a++)
			EXPECT_LE((double)MostArrivals(a, 8000),
			    1.1 * (8 * kRate + 2 * kBurst));
		for (size_t a = 0; a < 2; a++) {
			auto &list = arrivals[a];
			list.erase(list.begin(),
			    std::lower_bound(list.begin(), list.end(),
				change_us + 2500 * MS));
			EXPECT_LE((double)MostArrivals(a, 1000),
			    1.1 * (kRate + kBurst));
		}
		for (auto &r : requests) {
			const Reply &reply = sim.replies[r.first];
			if (reply.status == 429 || reply.status == 503) {
				EXPECT_NE("", reply.retry_after);
			}
		}
	}
};

/* Guards against one request for each token of a quota, and quotas unused. */
TEST_P(QuotaUnit, requests_to_tokens)
{
	ChangeUnit(true);
}

/* Guards against tokens that are used as requests. */
TEST_P(QuotaUnit, tokens_to_requests)
{
	ChangeUnit(false);
}

INSTANTIATE_TEST_SUITE_P(Troubles, QuotaUnit,
    ::testing::Values(
	QuotaCase{"none, small cluster", 4, [](GatewaySim &, int) {}},
	QuotaCase{"none", 12, [](GatewaySim &, int) {}},
	QuotaCase{"owner killed", 12,
	    [](GatewaySim &sim, int owner) { sim.kill(owner); }},
	QuotaCase{"owner cut off", 12,
	    [](GatewaySim &sim, int owner) { sim.isolate(owner, true); }},
	QuotaCase{"owner paused", 12,
	    [](GatewaySim &sim, int owner) {
		    sim.keep_messages_of_frozen = true;
		    sim.freeze(owner, true);
		    sim.schedule(sim.now_us + 2500 * MS,
			[&sim, owner] { sim.freeze(owner, false); });
	    }},
	QuotaCase{"an entry lacks the change for 3 s", 12,
	    [](GatewaySim &sim, int owner) {
		    const int entry = owner == 7 ? 8 : 7;
		    for (int core = 0; core < 5; core++)
			    sim.cut_links.insert({core, entry});
		    sim.schedule(sim.now_us + 3000 * MS, [&sim, entry] {
			    for (int core = 0; core < 5; core++)
				    sim.cut_links.erase({core, entry});
		    });
	    }},
	QuotaCase{"all entries restarted", 12, [](GatewaySim &sim, int) {
			  for (int i = 5; i < 17; i++) {
				  sim.kill(i);
				  sim.start(i);
			  }
		  }}));
