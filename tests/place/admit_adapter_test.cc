#include "place_fixture.h"

/*
 * Admission of requests whose adapters are loaded at some engines only, or at
 * none.
 */
class PlaceAdmitAdapter : public PlaceTest {
      protected:
	std::map<std::string, uint64_t> orders; /* accepted, by engine */

	void
	SetUp() override
	{
		PlaceTest::SetUp();
		UseAccounts(true);
	}

	void
	UseAccounts(bool has_accounts)
	{
		config.version++;
		config.has_accounts = has_accounts;
		place_configure(p, &config);
	}

	uint64_t
	AskFor(
	    const char *adapter, int objective_ms, const char *avoid = nullptr)
	{
		place_request r = {};

		r.id = {7, ++last_ask};
		r.kind = GW_NON_IDEMPOTENT;
		r.service = "lm";
		r.model = "m";
		r.adapter = adapter;
		r.prompt_tokens = 2000;
		r.max_tokens = 10;
		r.deadline_us = now + 20000 * MS;
		r.target_us = now + (uint64_t)objective_ms * MS;
		r.priority = 1;
		r.account = "a";
		if (avoid != nullptr)
			r.avoid[r.navoid++] = avoid;
		place_ask(p, now, &r);
		return last_ask;
	}

	/* Run once per ms; engines accept orders and report no differences. */
	void
	RunFor(int ms)
	{
		for (int i = 0; i < ms; i++, now += MS) {
			std::vector<place_decision> all;
			size_t known = decisions.size();

			Run();
			all.assign(
			    decisions.begin() + (long)known, decisions.end());
			for (auto &d : all) {
				gw_report report = {};
				gw_loaded_model loaded = {"m", nullptr, 1};

				report.accepted_orders =
				    orders[d.endpoint == nullptr ? ""
								 : d.endpoint];
				report.loaded = &loaded;
				report.nloaded = 1;
				if (d.type == PLACE_REPORT)
					place_on_report(
					    p, now, d.endpoint, &report);
				if (d.type != PLACE_ORDER)
					continue;
				orders[d.endpoint]++;
				place_on_order_result(p, now, d.endpoint,
				    d.order.type == GW_ORDER_LOAD
					? GW_ORDER_STARTED
					: GW_ORDER_DONE,
				    false);
			}
		}
	}

	/* Engines to which requests have been granted, with their number. */
	std::map<std::string, int>
	Granted(const std::vector<uint64_t> &asks) const
	{
		std::map<std::string, int> out;

		for (auto ask : asks)
			if (DecisionOn(ask) != nullptr &&
			    DecisionOn(ask)->type == PLACE_GRANT)
				out[DecisionOn(ask)->endpoint]++;
		return out;
	}
};

/*
 * Guards against all requests for an adapter that wait at the one engine that
 * loads it, since none of them counts there before it is granted. Without
 * accounts they do.
 */
TEST_F(PlaceAdmitAdapter, requests_that_wait_for_a_load_count_at_its_engine)
{
	for (bool has_accounts : {true, false}) {
		SCOPED_TRACE(has_accounts);
		TearDown();
		SetUp();
		decisions.clear();
		orders.clear();
		std::vector<uint64_t> asks;

		UseAccounts(has_accounts);
		Engines(3);
		for (int i = 0; i < 15; i++) {
			asks.push_back(AskFor("l1", 2000));
			RunFor(10);
		}
		RunFor(1000);
		std::map<std::string, int> granted = Granted(asks);

		if (!has_accounts) {
			EXPECT_EQ(granted.size(), 1u);
			continue;
		}
		EXPECT_EQ(granted.size(), 3u);
		for (auto &g : granted)
			EXPECT_LE(g.second, 8) << g.first;
	}
}

/*
 * Guards against a request that stays at the engine whose load it has waited
 * for, though that has no room and another one with the adapter is idle.
 */
TEST_F(PlaceAdmitAdapter, a_held_request_leaves_the_engine_of_its_load)
{
	uint64_t ask;

	Engines(1);
	ask = AskFor("l1", 300);
	RunFor(5);
	ASSERT_EQ(orders["e1"], 1u);
	for (int i = 0; i < 10; i++)
		(void)AskFor(nullptr, 8000);
	RunFor(2);
	Announce({"e2"}, {{"m", "l1", 1}});
	RunFor(400);
	ASSERT_NE(DecisionOn(ask), nullptr);
	EXPECT_EQ(DecisionOn(ask)->type, PLACE_GRANT);
	EXPECT_STREQ(DecisionOn(ask)->endpoint, "e2");
}

/*
 * Guards against the refusal of a late request since the store is full, though
 * its adapter is loaded where it can wait.
 */
TEST_F(PlaceAdmitAdapter, a_full_store_refuses_none_whose_adapter_is_loaded)
{
	std::vector<uint64_t> busy;
	uint64_t late;

	TearDown();
	options.max_adapter_loads = 1;
	SetUp();
	Engines(1);
	Announce({"e2"});
	Announce({"e1"}, {{"m", "l1", 1}});
	for (int i = 0; i < 30; i++)
		busy.push_back(AskFor(nullptr, 8000, "e2"));
	for (auto adapter : {"x1", "x2", "x3"})
		(void)AskFor(adapter, 8000, "e1");
	RunFor(5);
	late = AskFor("l1", 300);
	RunFor(20);
	EXPECT_EQ(DecisionOn(late), nullptr);
	for (auto ask : busy) {
		Done(ask, PLACE_FIRST_BYTE);
		Done(ask, PLACE_SERVED);
	}
	RunFor(20);
	ASSERT_NE(DecisionOn(late), nullptr);
	EXPECT_EQ(DecisionOn(late)->type, PLACE_GRANT);
	EXPECT_STREQ(DecisionOn(late)->endpoint, "e1");
}
