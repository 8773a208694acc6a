#include "place/place_internal.h"
#include "place_fixture.h"

/*
 * Memory of engines beside their slots. An engine has 65,100 MB for weights of
 * "m" unless a test says otherwise, and what its test gives it beside them; it
 * carries out orders at once, and crashes when it is to load too much.
 */
class PlaceRoom : public PlaceTest {
      protected:
	struct Simulated {
		std::map<std::string, uint64_t> adapters; /* ready at */
		uint64_t orders = 0;
		bool crashed = false;
	};
	std::map<std::string, Simulated> engines;
	std::vector<std::string> orders; /* "+model/adapter" or "-..." */
	gw_model models[2] = {};
	std::map<uint64_t, std::string> keys; /* by ask */
	int served = 0;

	/* Another placer, with engines that hold nothing. */
	void
	BeginAnew()
	{
		TearDown();
		SetUp();
		engines.clear();
		sequences.clear();
		decisions.clear();
		orders.clear();
		served = 0;
	}

	/* Sizes in MB; memory: beside the weights of both models. */
	void
	Configure(uint64_t memory, uint64_t small, uint64_t large = 0,
	    uint32_t slots = 5)
	{
		gw_engine &e = services[0].engine;

		models[0] = models[1] = model;
		models[1].name = (char *)"n";
		models[0].weights_kb = 65100000;
		models[1].weights_kb = large == 0 ? 0 : 100000;
		models[0].adapter_kb = small * 1000;
		models[1].adapter_kb = large * 1000;
		e.models = models;
		e.nmodels = large == 0 ? 1 : 2;
		e.adapter_slots = slots;
		e.has_memory = true;
		e.memory_kb =
		    models[0].weights_kb + models[1].weights_kb + memory * 1000;
		place_configure(p, &config);
	}

	std::vector<gw_loaded_model>
	Listed(const std::string &engine, bool ready)
	{
		std::vector<gw_loaded_model> list;

		for (auto &a : engines[engine].adapters)
			if ((a.second <= now) == ready)
				list.push_back({a.first[0] == 'm' ? "m" : "n",
				    a.first.c_str() + 2, 1});
		return list;
	}

	void
	Start(int n)
	{
		for (int i = 1; i <= n; i++) {
			Engine e = {"e" + std::to_string(i)};
			std::vector<gw_loaded_model> list = Listed(e.id, true);

			if (services[0].engine.nmodels > 1)
				list.push_back({"n", nullptr, 1});
			Announce(e, list);
		}
	}

	uint64_t
	UsedKb(const Simulated &e) const
	{
		uint64_t kb = 0;

		for (auto &a : e.adapters)
			kb += a.first[0] == 'm' ? models[0].adapter_kb
						: models[1].adapter_kb;
		return kb;
	}

	uint64_t
	MemoryKb() const
	{
		return services[0].engine.memory_kb - models[0].weights_kb -
		    models[1].weights_kb;
	}

	void
	Report(const std::string &id)
	{
		gw_report report = {};
		std::vector<gw_loaded_model> loaded = Listed(id, true);
		std::vector<gw_loaded_model> pending = Listed(id, false);

		loaded.push_back({"m", nullptr, 1});
		if (services[0].engine.nmodels > 1)
			loaded.push_back({"n", nullptr, 1});
		report.accepted_orders = engines[id].orders;
		report.loaded = loaded.data();
		report.nloaded = loaded.size();
		report.pending = pending.data();
		report.npending = pending.size();
		place_on_report(p, now, id.c_str(), &report);
	}

	void
	Execute(const place_decision &d)
	{
		Simulated &e = engines[d.endpoint];
		std::string key =
		    std::string(d.order.model) + "/" + d.order.adapter;
		bool load = d.order.type == GW_ORDER_LOAD;

		e.orders++;
		orders.push_back((load ? "+" : "-") + key);
		if (load)
			e.adapters[key] = now + 250 * MS;
		else
			e.adapters.erase(key);
		e.crashed |= load &&
		    (e.adapters.size() > services[0].engine.adapter_slots ||
			UsedKb(e) > MemoryKb());
		place_on_order_result(p, now, d.endpoint,
		    load ? GW_ORDER_STARTED : GW_ORDER_DONE, false);
	}

	/* Carries out what is decided; requests that are granted end soon. */
	void
	Obey(bool ends = true)
	{
		std::vector<place_decision> all;

		all.swap(decisions);
		for (auto &d : all) {
			if (d.type == PLACE_REPORT)
				Report(d.endpoint);
			else if (d.type == PLACE_ORDER)
				Execute(d);
			else if (d.type == PLACE_GRANT && ends)
				End(d);
		}
	}

	void
	End(const place_decision &d)
	{
		auto &held = engines[d.endpoint].adapters;
		auto a = held.find(keys[d.id.ask]);
		bool holds = a != held.end() && a->second <= now + MS;

		served += holds;
		Done(d.id.ask, holds ? PLACE_SERVED : PLACE_STATE_MISMATCH);
	}

	uint64_t
	AskFor(const std::string &adapter, const char *model_name = "m")
	{
		uint64_t ask = Ask(adapter, 300, 0, nullptr, 0, model_name);

		keys[ask] = std::string(model_name) + "/" + adapter;
		return ask;
	}

	void
	RunFor(int ms, bool ends = true)
	{
		for (; ms > 0; ms--, now += MS) {
			Run();
			Obey(ends);
		}
	}

	void
	ExpectNoCrash()
	{
		for (auto &e : engines)
			EXPECT_FALSE(e.second.crashed) << e.first;
	}
};

/*
 * Guards against a crash of engines whose memory is full before their slots
 * are, when rare adapters are asked for at once, with and without loads ahead
 * of need.
 */
TEST_F(PlaceRoom, loads_stay_within_memory_while_slots_are_free)
{
	for (bool prefetches : {false, true}) {
		BeginAnew();
		Configure(1400, 400);
		place_set_prefetch(p, prefetches);
		Start(3);
		for (int n = 0; n < 60; n++) {
			(void)AskFor(
			    "a" + std::to_string(n < 10 ? n % 2 : n * 7 % 41));
			RunFor(85);
			if (n % 14 == 0)
				Start(3);
		}
		RunFor(3000);
		ExpectNoCrash();
		EXPECT_GE(served, 50) << prefetches;
		for (auto &e : engines)
			EXPECT_EQ(e.second.adapters.size(), 3u) << e.first;
	}
}

/*
 * Guards against requests that wait or are asked to return soon though no
 * engine can ever load their adapter, and against work for others lost by it.
 */
TEST_F(PlaceRoom, what_fits_nowhere_is_refused_at_once)
{
	static const struct {
		const char *name;
		uint64_t memory, small, large; /* MB */
		uint32_t slots;
		const char *adapter, *model;
		const char *reason; /* NULL: it is served */
	} rows[] = {
	    {"fits exactly", 400, 400, 0, 5, "a1", "m", nullptr},
	    {"one too large", 400, 401, 0, 5, "a1", "m",
		"adapter-exceeds-memory"},
	    {"of two models the other", 400, 400, 900, 5, "a1", "m", nullptr},
	    /* beside "m" alone it would fit, and all have "m" */
	    {"beside other weights", 400, 400, 900, 5, "a1", "n",
		"adapter-exceeds-memory"},
	    {"no slots", 400, 400, 0, 0, "a1", "m", "no-adapter-slots"},
	    {"size not told", 0, 0, 0, 5, "a1", "m", nullptr},
	};

	for (auto &row : rows) {
		place_totals before, after;
		const place_decision *d;
		uint64_t ask;

		SCOPED_TRACE(row.name);
		BeginAnew();
		Configure(row.memory, row.small, row.large, row.slots);
		Start(2);
		RunFor(10);
		place_get_totals(p, &before);
		ask = AskFor(row.adapter, row.model);
		EXPECT_LE(place_next_run_us(p), now + MS);
		Run();
		place_get_totals(p, &after);
		d = DecisionOn(ask);
		if (row.reason == nullptr) {
			EXPECT_EQ(d, nullptr);
			RunFor(1000);
			EXPECT_EQ(served, 1);
		} else {
			ASSERT_NE(d, nullptr);
			EXPECT_EQ(d->type, PLACE_REFUSE);
			EXPECT_STREQ(d->reason, row.reason);
			EXPECT_EQ(d->retry_after_ms, 2000u);
			EXPECT_EQ(
			    after.unfit_refusals, before.unfit_refusals + 1);
			RunFor(500);
			EXPECT_TRUE(orders.empty());
		}
		ExpectNoCrash();
	}
}

/* Guards against a refusal of what an engine has, whatever its size is now. */
TEST_F(PlaceRoom, an_adapter_that_is_loaded_is_served)
{
	Configure(1400, 400);
	engines["e1"].adapters["m/a1"] = now;
	Start(2);
	Configure(1400, 1500);
	served = 0;
	(void)AskFor("a1");
	RunFor(100);
	EXPECT_EQ(served, 1);
	EXPECT_TRUE(orders.empty());
}

/*
 * Guards against loads beside what no longer fits: a change raises a size, or
 * lowers memory or slots, while engines hold more than that.
 */
TEST_F(PlaceRoom, after_a_change_of_sizes_nothing_is_loaded_until_there_is_room)
{
	static const struct {
		const char *name;
		uint64_t memory, small;
		uint32_t slots;
		size_t held; /* adapters in the end */
	} rows[] = {
	    {"larger adapters", 1400, 400, 5, 3},
	    {"less memory", 500, 200, 5, 2},
	    {"fewer slots", 1400, 200, 4, 4},
	    {"larger, and fewer slots", 1400, 600, 3, 2},
	};

	for (auto &row : rows) {
		SCOPED_TRACE(row.name);
		BeginAnew();
		Configure(1400, 200);
		Start(1);
		for (int n = 0; n < 5; n++)
			(void)AskFor("a" + std::to_string(n));
		RunFor(1500);
		ASSERT_EQ(engines["e1"].adapters.size(), 5u);
		Configure(row.memory, row.small, 0, row.slots);
		RunFor(500);
		served = 0;
		(void)AskFor("a9");
		RunFor(1500);
		EXPECT_EQ(served, 1);
		EXPECT_EQ(engines["e1"].adapters.size(), row.held);
		ExpectNoCrash();
	}
}

/*
 * Guards against the load of a newer version, which replaces the one before, at
 * an engine that holds more than it may since a change.
 */
TEST_F(PlaceRoom, a_version_is_replaced_only_where_all_fits)
{
	static const struct {
		const char *name;
		uint64_t memory, small;
		uint32_t slots;
	} rows[] = {{"larger adapters", 1400, 400, 5},
	    {"less memory", 500, 200, 5}, {"fewer slots", 1400, 200, 3}};

	for (auto &row : rows) {
		SCOPED_TRACE(row.name);
		BeginAnew();
		Configure(1400, 200);
		Start(1);
		for (int n = 0; n < 5; n++)
			(void)AskFor("a" + std::to_string(n));
		RunFor(1500);
		ASSERT_EQ(engines["e1"].adapters.size(), 5u);
		Configure(row.memory, row.small, 0, row.slots);
		place_set_version(p, "m", "a1", 2);
		RunFor(500);
		orders.clear();
		served = 0;
		(void)AskFor("a1");
		RunFor(1500);
		EXPECT_EQ(served, 1);
		ASSERT_FALSE(orders.empty());
		EXPECT_EQ(orders.back(), "+m/a1");
		EXPECT_GT(orders.size(), 1u) << "others were unloaded before";
		ExpectNoCrash();
	}
}

/* Guards against adapters that are unloaded in vain. */
TEST_F(PlaceRoom, nothing_is_unloaded_if_that_makes_not_enough_room)
{
	Configure(1000, 300, 800);
	Start(1);
	(void)AskFor("a1");
	(void)AskFor("a2");
	RunFor(600);
	ASSERT_EQ(engines["e1"].adapters.size(), 2u);
	/* One of them is in use from now on. */
	(void)AskFor("a1");
	RunFor(10, false);
	orders.clear();
	(void)AskFor("b1", "n");
	RunFor(1000, false);
	EXPECT_TRUE(orders.empty()) << orders[0];
	EXPECT_EQ(engines["e1"].adapters.size(), 2u);
}

/* Guards against the unload of two where that of one makes enough room. */
TEST_F(PlaceRoom, one_that_makes_enough_room_is_unloaded_before_smaller_ones)
{
	Configure(1200, 300, 800);
	Start(1);
	(void)AskFor("a1");
	RunFor(500);
	for (int n = 0; n < 5; n++) /* in more demand than "a1" */
		(void)AskFor("b1", "n");
	RunFor(500);
	ASSERT_EQ(engines["e1"].adapters.size(), 2u);
	orders.clear();
	(void)AskFor("b2", "n");
	RunFor(1000);
	EXPECT_EQ(orders, (std::vector<std::string>{"-n/b1", "+n/b2"}));
	ExpectNoCrash();
}

/* Guards against weights beyond memory on an engine that has none yet. */
TEST_F(PlaceRoom, weights_are_chosen_by_memory)
{
	Engine e = {"e1"};

	Configure(0, 1, 1);
	services[0].engine.memory_kb = models[1].weights_kb;
	place_configure(p, &config);
	e.weights = false;
	Announce(e);
	for (int n = 0; n < 3000; n++, now += MS) {
		Run();
		for (auto &d : std::vector<place_decision>(decisions)) {
			if (d.type == PLACE_REPORT) {
				gw_report report = {};

				place_on_report(p, now, d.endpoint, &report);
			}
			if (d.type == PLACE_ORDER) {
				EXPECT_STREQ(d.order.model, "n");
				orders.push_back(d.order.model);
				place_on_order_result(p, now, d.endpoint,
				    GW_ORDER_STARTED, false);
			}
		}
		decisions.clear();
	}
	EXPECT_EQ(orders.size(), 1u);
}
