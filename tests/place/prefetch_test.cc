#include "engine_world.h"
#include "place_fixture.h"

/*
 * Loads of adapters that no request waits for. Two engines have five slots
 * each; they carry out orders at once, and loads take 250 ms.
 */
class PlacePrefetch : public PlaceTest {
      protected:
	std::map<std::string, uint64_t> accepted;
	std::map<std::string, std::vector<std::string>> loaded; /* by engine */
	std::vector<std::string> orders; /* "+adapter" or "-adapter" */

	void
	SetUp() override
	{
		PlaceTest::SetUp();
		place_set_prefetch(p, true);
	}

	void
	Report(const std::string &engine)
	{
		gw_report report = {};
		std::vector<gw_loaded_model> all = {{"m", nullptr, 1}};

		for (auto &a : loaded[engine])
			all.push_back({"m", a.c_str(), 1});
		report.accepted_orders = accepted[engine];
		report.loaded = all.data();
		report.nloaded = all.size();
		place_on_report(p, now, engine.c_str(), &report);
	}

	void
	Execute(const place_decision &d)
	{
		auto &list = loaded[d.endpoint];
		std::string adapter = d.order.adapter;
		bool load = d.order.type == GW_ORDER_LOAD;

		accepted[d.endpoint]++;
		orders.push_back((load ? "+" : "-") + adapter);
		if (load)
			list.push_back(adapter);
		else
			list.erase(
			    std::find(list.begin(), list.end(), adapter));
		place_on_order_result(p, now, d.endpoint,
		    load ? GW_ORDER_STARTED : GW_ORDER_DONE, false);
	}

	/* Requests that are granted are served at once. */
	void
	RunFor(int ms)
	{
		for (; ms > 0; ms--, now += MS) {
			decisions.clear();
			Run();
			for (auto &d : std::vector<place_decision>(decisions)) {
				if (d.type == PLACE_REPORT)
					Report(d.endpoint);
				else if (d.type == PLACE_ORDER)
					Execute(d);
				else if (d.type == PLACE_GRANT)
					Done(d.id.ask, PLACE_SERVED);
			}
		}
	}

	/* The second engine announces less and is used for copies. */
	void
	Begin(std::vector<std::string> e1, std::vector<std::string> e2)
	{
		loaded["e1"] = e1;
		loaded["e2"] = e2;
		for (const char *e : {"e1", "e2"}) {
			std::vector<gw_loaded_model> list;

			for (auto &a : loaded[e])
				list.push_back({"m", a.c_str(), 1});
			Announce({e}, list);
		}
		RunFor(5);
		for (const char *e : {"e1", "e2"})
			Report(e);
		RunFor(5);
		orders.clear();
	}

	void
	AskFor(const std::string &adapter, int requests)
	{
		while (requests-- > 0) {
			(void)Ask(adapter, 100);
			RunFor(20);
		}
	}
};

/*
 * Guards against free slots that stay empty while one engine has the adapter
 * that most requests need.
 */
TEST_F(PlacePrefetch, the_adapter_most_in_demand_gets_a_free_slot)
{
	place_totals totals;

	Begin({"a", "b"}, {"c1", "c2", "c3", "c4"});
	AskFor("b", 1);
	AskFor("a", 12);
	RunFor(200);
	ASSERT_FALSE(orders.empty());
	EXPECT_EQ(orders[0], "+a");
	EXPECT_EQ(std::count(orders.begin(), orders.end(), "+a"), 1);
	place_get_totals(p, &totals);
	EXPECT_GE(totals.prefetches, 1u);
	EXPECT_EQ(totals.prefetches_used, 0u);
}

/* Guards against a copy that replaces another adapter. */
TEST_F(PlacePrefetch, a_copy_replaces_no_adapter)
{
	Begin({"a", "b1", "b2", "b3", "b4"}, {"c1", "c2", "c3", "c4", "c5"});
	AskFor("a", 30);
	RunFor(500);
	EXPECT_TRUE(orders.empty()) << orders[0];
}

/* Guards against loads although the setting is off. */
TEST_F(PlacePrefetch, nothing_is_loaded_when_it_is_turned_off)
{
	place_set_prefetch(p, false);
	Begin({"a", "b"}, {"c1", "c2"});
	AskFor("a", 12);
	RunFor(500);
	EXPECT_TRUE(orders.empty()) << orders[0];
}

/*
 * An engine had to unload an adapter that is in demand for others that it needs
 * more. Guards against its next request that waits for a load, and against a
 * replacement of an adapter with more than a quarter of the demand.
 */
TEST_F(PlacePrefetch, an_unloaded_adapter_replaces_one_in_little_demand)
{
	for (int others : {0, 2}) {
		SCOPED_TRACE(others);
		place_totals totals;

		TearDown();
		memory = node_effects_create();
		accepted.clear();
		SetUp();
		Begin({"a", "b1", "b2", "b3", "b4"},
		    {"c1", "c2", "c3", "c4", "c5"});
		for (const char *c : {"c1", "c2", "c3", "c4", "c5"})
			AskFor(c, others);
		for (const char *b : {"b1", "b2", "b3", "b4"})
			AskFor(b, 5);
		AskFor("a", 4);
		/* unloaded for a reason of the engine's, as after its restart
		 */
		loaded["e1"] = {"b1", "b2", "b3", "b4", "d"};
		Report("e1");
		AskFor("d", 5);
		/* What a report told is loaded may be about to be unloaded, so
		 * a report follows on its unload. */
		RunFor(1000);
		EXPECT_EQ(
		    std::count(orders.begin(), orders.end(), "+a"), others == 0)
		    << orders.size();
		if (others > 0)
			continue;
		ASSERT_EQ(orders.size(), 2u);
		EXPECT_EQ(orders[0][1], 'c') << orders[0];
		EXPECT_EQ(orders[1], "+a");
		AskFor("a", 1);
		place_get_totals(p, &totals);
		EXPECT_EQ(totals.prefetches, 1u);
		EXPECT_EQ(totals.prefetches_used, 1u);
	}
}

/* Guards against a load that takes the store's slots from waiting requests. */
TEST_F(PlacePrefetch, half_of_the_store_is_left_to_requests)
{
	place_state state;

	Begin({"a"}, {"c1"});
	place_get_state(p, &state);
	ASSERT_GE(state.loading_max, 2u);
	ASSERT_LE(state.loading_max, 8u) << "the engines have 8 free slots";
	for (uint32_t i = 0; i < state.loading_max / 2; i++)
		(void)Ask("r" + std::to_string(i), 100);
	RunFor(100);
	AskFor("a", 5); /* during the loads */
	EXPECT_EQ(std::count(orders.begin(), orders.end(), "+a"), 0);
}

/*
 * Usual load with 2,000 to 10,000 adapters, of which 60 to 300 are loaded.
 * Guards against loads that avoid no waits, that add to the most loads at one
 * time, and against fewer requests in time than without.
 */
TEST(PlacePrefetchLoad, enough_of_the_loads_avoid_a_wait)
{
	EngineLoad cases[2];

	cases[0].engines = 60; /* as deployment A */
	cases[0].store_max = 24;
	cases[1].per_s = 5.63; /* as deployment B */
	cases[1].tokens_per_ms = 26;
	cases[1].work_time = {0.7, 0.7, 1.7};
	cases[1].pace_max = 2.5;
	cases[1].wave = 0.55;
	cases[1].clump = 3;
	cases[1].load_ms = 288;
	cases[1].store_max = 9;
	for (auto &load : cases) {
		double timely[2] = {}, made = 0, used = 0;
		uint32_t most[2] = {}; /* loads at one time */
		const int seeds = load.engines == 60 ? 8 : 30;

		load.adapters = 10000;
		load.measure_from_ms = 6000;
		for (load.seed = 1; load.seed <= (uint64_t)seeds; load.seed++)
			for (bool prefetch : {false, true}) {
				load.prefetch = prefetch;
				EngineResult r = RunEngines(load);

				timely[prefetch] +=
				    (double)r.timely / r.asked / seeds;
				made += r.prefetches;
				used += r.prefetches_used;
				most[prefetch] =
				    std::max(most[prefetch], r.most_loads);
			}
		EXPECT_GE(timely[1], timely[0]) << load.engines;
		EXPECT_GE(used, 0.4 * made) << made << " " << load.engines;
		EXPECT_GT(made, seeds);
		EXPECT_LE(most[1], most[0]);
	}
}
