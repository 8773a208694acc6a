#include <cmath>
#include <set>

#include "place_fixture.h"
#include "util/rng.h"

/*
 * Shares of the slots of plain endpoints: calls that wait go by the shares of
 * their accounts, then by priority.
 */
class PlaceAdmitCalls : public PlaceTest {
      protected:
	static const size_t kAccounts = 4;
	const char *names[kAccounts] = {"a0", "a1", "a2", "a3"};
	gw_account accounts[kAccounts] = {}, *account_list[kAccounts];
	gw_route routes[2] = {}, *route_list[2];
	std::set<uint64_t> running;

	void
	SetUp() override
	{
		PlaceTest::SetUp();
		for (size_t i = 0; i < kAccounts; i++) {
			accounts[i].name = (char *)names[i];
			account_list[i] = &accounts[i];
		}
		for (uint32_t i = 0; i < 2; i++) {
			routes[i].priority = i;
			route_list[i] = &routes[i];
		}
		UseAccounts(true);
	}

	void
	TearDown() override
	{
		place_configure(p, nullptr);
		PlaceTest::TearDown();
	}

	void
	UseAccounts(bool has_accounts)
	{
		config.version++;
		config.has_accounts = has_accounts;
		config.accounts = account_list;
		config.naccounts = has_accounts ? kAccounts : 0;
		config.routes = route_list;
		config.nroutes = 2;
		place_configure(p, &config);
	}

	uint64_t
	Call(const char *account, uint32_t priority, int objective_ms = 300,
	    int deadline_ms = 4000)
	{
		place_request r = {};

		r.id = {7, ++last_ask};
		r.kind = GW_NON_IDEMPOTENT;
		r.service = "app";
		r.deadline_us = now + (uint64_t)deadline_ms * MS;
		r.target_us = now + (uint64_t)objective_ms * MS;
		r.priority = priority;
		r.account = account;
		place_ask(p, now, &r);
		return last_ask;
	}

	std::vector<uint64_t>
	Calls(int n, const char *account, uint32_t priority,
	    int objective_ms = 300)
	{
		std::vector<uint64_t> asks;

		for (int i = 0; i < n; i++)
			asks.push_back(Call(account, priority, objective_ms));
		return asks;
	}

	/* End one running call after the other; returns the new grants. */
	std::vector<uint64_t>
	GrantOrder(int n)
	{
		std::vector<uint64_t> order;

		Run();
		for (auto &d : decisions)
			if (d.type == PLACE_GRANT)
				running.insert(d.id.ask);
		decisions.clear();
		for (int i = 0; i < n && !running.empty(); i++) {
			uint64_t ended = *running.begin();

			running.erase(running.begin());
			now += 10 * MS;
			Done(ended, PLACE_SERVED);
			Run();
			for (auto &d : decisions)
				if (d.type == PLACE_GRANT) {
					running.insert(d.id.ask);
					order.push_back(d.id.ask);
				}
			decisions.clear();
		}
		return order;
	}
};

/*
 * Guards against calls of a flooding account that go before those of another
 * one, since they came first. Without accounts they do.
 */
TEST_F(PlaceAdmitCalls, an_account_below_its_share_goes_first)
{
	for (bool has_accounts : {true, false}) {
		SCOPED_TRACE(has_accounts);
		TearDown();
		SetUp();
		decisions.clear();
		running.clear();
		UseAccounts(has_accounts);
		Apps(1);
		Calls(30, "a0", 0);
		Run();
		now += 5 * MS;
		std::vector<uint64_t> small = Calls(2, "a1", 1);
		/* a0 may go first within the deficit bound of 4 calls */
		std::vector<uint64_t> order = GrantOrder(8);

		ASSERT_EQ(order.size(), 8u);
		for (auto ask : small)
			EXPECT_EQ(std::count(order.begin(), order.end(), ask),
			    has_accounts);
	}
}

/* Guards against less urgent calls of an account that go before others. */
TEST_F(PlaceAdmitCalls, within_an_account_the_more_urgent_call_goes_first)
{
	Apps(1);
	Calls(6, "a0", 0);
	std::vector<uint64_t> low = Calls(2, "a0", 1);
	Run();
	now += 5 * MS;
	std::vector<uint64_t> urgent = Calls(2, "a0", 0);
	std::vector<uint64_t> order = GrantOrder(4);

	urgent.insert(urgent.end(), low.begin(), low.end());
	EXPECT_EQ(order, urgent);
}

/*
 * Guards against a late call that leaves its slot to a timely one that is less
 * urgent, or of an account over its share, as it does without accounts.
 */
TEST_F(PlaceAdmitCalls, a_late_call_yields_to_no_less_urgent_one)
{
	for (const char *other : {"a0", "a1"}) {
		SCOPED_TRACE(other);
		TearDown();
		SetUp();
		decisions.clear();
		running.clear();
		Apps(1);
		/* a1 has had a lot, a0 nothing */
		for (int i = 0; i < 60; i++) {
			uint64_t busy = Call("a0", 0, 4000);
			uint64_t ask = Call("a1", 0);

			Run();
			now += 10 * MS;
			Done(ask, PLACE_SERVED);
			place_result none = {};

			none.outcome = PLACE_NOT_SENT;
			place_done(p, now, {7, busy}, &none);
		}
		decisions.clear();
		Calls(6, "a0", 0);
		Run();
		uint64_t late = Call("a0", 0, 1);
		now += 5 * MS;
		Run();
		uint64_t timely = Call(other, 1, 3000);
		std::vector<uint64_t> order = GrantOrder(2);

		EXPECT_EQ(order, (std::vector<uint64_t>{late, timely}));
	}
}

/*
 * Guards against calls that are charged to the shares of engines: an account
 * that uses engines within its share would get no slots for its calls.
 */
TEST_F(PlaceAdmitCalls, model_requests_do_not_count_for_calls)
{
	place_account_info info;

	Apps(1);
	Engines(2);
	Calls(6, "a2", 0);
	Run();
	for (int i = 0; i < 20; i++) {
		place_request r = {};

		r.id = {7, ++last_ask};
		r.kind = GW_STREAM;
		r.service = "lm";
		r.model = "m";
		r.prompt_tokens = 2000;
		r.deadline_us = now + 4000 * MS;
		r.target_us = now + 1000 * MS;
		r.account = "a0";
		place_ask(p, now, &r);
		Run();
		now += 100 * MS;
		Done(last_ask, PLACE_SERVED);
	}
	decisions.clear();
	uint64_t first = Call("a0", 0);
	now += MS;
	uint64_t second = Call("a1", 0);
	Run();
	for (uint64_t ask = 1; ask <= 6; ask++)
		running.insert(ask);
	std::vector<uint64_t> order = GrantOrder(2);

	EXPECT_EQ(order, (std::vector<uint64_t>{first, second}));
	for (size_t i = 0; i < place_account_count(p); i++) {
		place_account_get(p, i, &info);
		if (strcmp(info.name, "a0") == 0) {
			EXPECT_EQ(info.granted, 21u) << "both kinds";
			EXPECT_EQ(info.charge_milli, 20u * 2000000);
		}
	}
}

/*
 * Guards against a flood of calls by one account that takes the slots of the
 * others: 7.5 times its usual load for 6.5 s, where all slots are busy for
 * three quarters of the time otherwise.
 */
TEST_F(PlaceAdmitCalls, a_flood_of_calls_leaves_the_others_their_slots)
{
	const uint64_t call_us = 50 * MS;
	const double per_ms = 0.75 * 24 / 50 / kAccounts; /* of an account */
	std::map<uint64_t, std::pair<size_t, uint32_t>> asked;
	std::multimap<uint64_t, uint64_t> ends;
	uint32_t sent[kAccounts][2] = {}, served[kAccounts][2] = {};
	struct rng rng;

	rng_seed(&rng, 1);
	for (int ms = 0; ms < 14000; ms++, now += MS) {
		bool floods = ms >= 2000 && ms < 8500;

		if (ms % 1000 == 0)
			Apps(4);
		for (size_t i = 0; i < kAccounts && ms < 10000; i++)
			for (uint32_t priority = 0; priority < 2; priority++) {
				double rate =
				    per_ms / 2 * (i == 0 && floods ? 7.5 : 1);

				if (rng_unit(&rng) >= rate)
					continue;
				asked[Call(names[i], priority, 300, 1500)] = {
				    i, priority};
				sent[i][priority]++;
			}
		while (!ends.empty() && ends.begin()->first <= now) {
			Done(ends.begin()->second, PLACE_SERVED);
			ends.erase(ends.begin());
		}
		if (place_next_run_us(p) > now)
			continue;
		Run();
		for (auto &d : decisions)
			if (d.type == PLACE_GRANT) {
				auto &who = asked[d.id.ask];

				served[who.first][who.second]++;
				ends.insert({now + call_us, d.id.ask});
			}
		decisions.clear();
	}
	for (size_t i = 1; i < kAccounts; i++)
		for (uint32_t priority = 0; priority < 2; priority++)
			EXPECT_GE(served[i][priority], 0.97 * sent[i][priority])
			    << names[i] << " " << priority;
	EXPECT_GE((double)served[0][0] / sent[0][0],
	    (double)served[0][1] / sent[0][1]);
	/* what the others leave is used */
	EXPECT_GE(served[0][0] + served[0][1],
	    0.9 * (24 / 50.0 * 6500 - per_ms * 3 * 6500));
}
