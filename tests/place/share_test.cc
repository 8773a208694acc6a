#include <set>

#include "place/place_popularity.h"
#include "place_fixture.h"

/* Engines of a fleet that are divided among four owners. */
class PlaceShare : public PlaceTest {
      protected:
	std::set<std::string> owned;
	uint64_t order_from = 0;
	std::map<std::string, uint64_t> order_from_of; /* by engine */

	static place_ownership
	OwnershipOf(void *ctx, const char *, const char *endpoint)
	{
		PlaceShare *t = (PlaceShare *)ctx;

		auto own = t->order_from_of.find(endpoint);

		return {t->owned.count(endpoint) > 0,
		    own == t->order_from_of.end() ? t->order_from
						  : own->second};
	}

	void
	SetOwned(std::set<std::string> engines)
	{
		owned = std::move(engines);
		place_set_owner_count(p, 4);
		place_set_ownership_fn(p, OwnershipOf, this);
		place_update_ownership(p, now);
	}

	/* Count the decisions of one type in some runs, by endpoint. */
	std::map<std::string, int>
	CountDecisions(place_decision_type type, int runs = 20)
	{
		std::map<std::string, int> found;

		decisions.clear();
		for (int i = 0; i < runs; i++) {
			Run();
			now += 2 * MS;
		}
		for (auto &d : decisions)
			if (d.type == type)
				found[d.endpoint]++;
		return found;
	}

	void
	Report(const std::string &engine, uint64_t orders = 0,
	    const char *adapter = nullptr)
	{
		gw_loaded_model held[] = {{"m", nullptr, 1}, {"m", adapter, 1}};
		gw_report report = {};

		report.accepted_orders = orders;
		report.loaded = held;
		report.nloaded = adapter == nullptr ? 1 : 2;
		place_on_report(p, now, engine.c_str(), &report);
	}

	/* Requests for a1 are granted e1 only after it has reported a1. */
	void
	ExpectGrantOnlyAfterReport()
	{
		uint64_t ask = Ask("a1");

		decisions.clear();
		Run(false);
		EXPECT_TRUE(DecisionOn(ask) == nullptr ||
		    DecisionOn(ask)->type != PLACE_GRANT);
		Report("e1", 0, "a1");
		now += 10 * MS;
		ask = Ask("a1");
		Run(false);
		ASSERT_NE(DecisionOn(ask), nullptr);
		EXPECT_EQ(DecisionOn(ask)->type, PLACE_GRANT);
	}

	/* One owned engine that has reported an adapter. */
	void
	OwnEngineWithAdapter(const char *adapter)
	{
		SetOwned({"e1"});
		Engines(1);
		(void)CountDecisions(PLACE_REPORT);
		Report("e1", 0, adapter);
	}
};

TEST_F(PlaceShare, only_owned_engines_get_report_requests_orders_and_grants)
{
	Engines(8);
	SetOwned({"e2", "e5"});
	for (int i = 0; i < 12; i++)
		(void)Ask("a" + std::to_string(i), 300);
	for (auto &r : CountDecisions(PLACE_REPORT))
		EXPECT_EQ(owned.count(r.first), 1U) << r.first;
	Report("e2");
	Report("e5");
	std::map<std::string, int> orders = CountDecisions(PLACE_ORDER);
	EXPECT_EQ(orders.size(), 2U);
	for (auto &o : orders)
		EXPECT_EQ(owned.count(o.first), 1U) << o.first;
}

/*
 * Guards against orders to an acquired engine before its report, which lists
 * what the earlier owner loaded, and before that owner can order no more.
 */
TEST_F(PlaceShare, an_acquired_engine_reports_before_it_gets_orders)
{
	SetOwned({});
	Engines(1);
	(void)CountDecisions(PLACE_REPORT);
	order_from = now + 3000 * MS;
	SetOwned({"e1"});
	EXPECT_EQ(CountDecisions(PLACE_REPORT).count("e1"), 1U);
	Report("e1", 7);
	(void)Ask("a1");
	EXPECT_TRUE(CountDecisions(PLACE_ORDER).empty());
	now = order_from;
	(void)Ask("a2");
	EXPECT_EQ(CountDecisions(PLACE_ORDER).count("e1"), 1U);
	for (auto &d : decisions)
		EXPECT_TRUE(
		    d.type != PLACE_ORDER || d.order.expected_orders == 7);
}

/*
 * Guards against an outage after all processes restarted: owners without a
 * lease did not request reports, so no request was served until new leases were
 * granted.
 */
TEST_F(PlaceShare, an_owner_without_a_lease_grants_loaded_adapters)
{
	gw_loaded_model held[] = {{"m", nullptr, 1}, {"m", "a1", 1}};
	gw_report report = {};
	uint64_t ask;

	SetOwned({"e1"});
	Engines(1);
	ask = Ask("a1");
	Run(false);
	ASSERT_EQ(decisions.size(), 2U);
	EXPECT_EQ(decisions[0].type == PLACE_REPORT ||
		decisions[1].type == PLACE_REPORT,
	    true);
	report.loaded = held;
	report.nloaded = 2;
	place_on_report(p, now, "e1", &report);
	now += 10 * MS;
	Run(false);
	ASSERT_NE(DecisionOn(ask), nullptr);
	EXPECT_EQ(DecisionOn(ask)->type, PLACE_GRANT);
}

TEST_F(
    PlaceShare, a_request_waiting_for_a_lost_engine_is_refused_with_elsewhere)
{
	uint64_t ask;

	Engines(2);
	SetOwned({"e1", "e2"});
	(void)CountDecisions(PLACE_REPORT);
	Report("e1");
	Report("e2");
	ask = Ask("a1");
	(void)CountDecisions(PLACE_ORDER);
	ASSERT_EQ(DecisionOn(ask), nullptr) << "it is queued for its adapter";
	SetOwned({});
	Run();
	ASSERT_NE(DecisionOn(ask), nullptr);
	EXPECT_EQ(DecisionOn(ask)->type, PLACE_REFUSE);
	EXPECT_TRUE(DecisionOn(ask)->elsewhere);
}

/* All owners together must stay within one store limit and one retry budget. */
TEST_F(PlaceShare, store_limit_and_retry_budget_are_divided_among_owners)
{
	place_state state;
	int granted = 0;

	Apps(4);
	Engines(36);
	SetOwned({"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"});
	Run();
	place_get_state(p, &state);
	EXPECT_EQ(state.engines, 9U);
	EXPECT_LE(state.loading_max * 4, 16U)
	    << "36 engines may load 16 at a time";
	for (int i = 0; i < 40; i++) {
		uint64_t ask = AskPlain(1);

		Run();
		if (DecisionOn(ask) != nullptr &&
		    DecisionOn(ask)->type == PLACE_GRANT) {
			granted++;
			Done(ask, PLACE_SERVED);
		}
		now += 10 * MS;
	}
	EXPECT_LE(granted * 4, 50) << "repeats beyond the share of requests";
	EXPECT_GE(granted, 1);
}

/* Guards against waiting for a load where no order may be given yet. */
TEST_F(PlaceShare, an_adapter_is_loaded_at_an_engine_that_may_be_ordered)
{
	SetOwned({"e2"});
	Engines(2);
	order_from_of["e1"] = now + 3000 * MS;
	SetOwned({"e1", "e2"});
	(void)CountDecisions(PLACE_REPORT);
	Report("e1");
	Report("e2", 0, "a0");
	for (int i = 0; i < 4; i++)
		(void)Ask("a0");
	EXPECT_EQ(CountDecisions(PLACE_GRANT)["e2"], 4)
	    << "its backlog is longer";
	(void)Ask("a1");
	std::map<std::string, int> orders = CountDecisions(PLACE_ORDER);
	EXPECT_EQ(orders.count("e1"), 0U);
	EXPECT_EQ(orders.count("e2"), 1U);
}

/* Guards against two owners loading weights at one engine within one lease. */
TEST_F(PlaceShare, weights_are_not_ordered_before_the_earlier_lease_ends)
{
	PlaceTest::Engine bare = {"e1"};

	bare.weights = false;
	SetOwned({});
	Announce(bare);
	order_from = now + 3000 * MS;
	SetOwned({"e1"});
	(void)CountDecisions(PLACE_REPORT);
	gw_report nothing = {};
	place_on_report(p, now, "e1", &nothing);
	EXPECT_TRUE(CountDecisions(PLACE_ORDER).empty());
	now = order_from;
	EXPECT_EQ(CountDecisions(PLACE_ORDER).count("e1"), 1U);
}

/*
 * Guards against grants for an adapter that the engine had loaded for another
 * owner, or during an earlier ownership, and has unloaded since.
 */
TEST_F(PlaceShare, adapters_announced_under_another_owner_need_a_report)
{
	SetOwned({});
	Announce({"e1"}, {{"m", "a1", 1}});
	SetOwned({"e1"});
	ExpectGrantOnlyAfterReport();
}

TEST_F(PlaceShare, adapters_of_an_earlier_ownership_need_a_report)
{
	OwnEngineWithAdapter("a1");
	SetOwned({});
	SetOwned({"e1"});
	ExpectGrantOnlyAfterReport();
}

/*
 * Guards against counting requests that run there for another owner, and
 * against subtracting them when they end.
 */
TEST_F(PlaceShare, a_reacquired_engine_has_no_earlier_requests)
{
	place_state state;
	uint64_t ask;

	OwnEngineWithAdapter("a1");
	ask = Ask("a1");
	Run();
	place_get_state(p, &state);
	ASSERT_EQ(state.running, 1U);
	SetOwned({});
	SetOwned({"e1"});
	place_get_state(p, &state);
	EXPECT_EQ(state.running, 0U);
	EXPECT_EQ(state.unread_ms, 0U);
	Done(ask, PLACE_SERVED, 10);
	place_get_state(p, &state);
	EXPECT_EQ(state.running, 0U);
}

/* All owners together must load weights at the rate of the store. */
TEST_F(PlaceShare, the_rate_of_weight_loads_is_divided_among_owners)
{
	const int kOwners = 4, kLoadsPerS = 42, kSpanMs = 200;
	int ordered = 0;

	services[0].engine.loads_per_s_milli = kLoadsPerS * 1000;
	place_configure(p, &config);
	for (int i = 1; i <= 36; i++) {
		PlaceTest::Engine bare = {"e" + std::to_string(i)};

		bare.weights = false;
		Announce(bare);
	}
	SetOwned({"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"});
	(void)CountDecisions(PLACE_REPORT);
	for (auto &e : owned) {
		gw_report nothing = {};

		place_on_report(p, now, e.c_str(), &nothing);
	}
	EXPECT_LE(CountDecisions(PLACE_ORDER, 1).size(), 1U)
	    << "owners have no separate bursts";
	ordered = (int)decisions.size();
	for (int ms = 0; ms < kSpanMs; ms += 2) {
		for (auto &o : CountDecisions(PLACE_ORDER, 1)) {
			ordered += o.second;
			place_on_order_result(
			    p, now, o.first.c_str(), GW_ORDER_DONE, false);
		}
	}
	EXPECT_LE(ordered, 1 + kLoadsPerS * kSpanMs / 1000 / kOwners);
	EXPECT_GE(ordered, 1);
}

TEST_F(PlaceShare, concurrent_weight_loads_are_divided_among_owners)
{
	const int kOwners = 4, kLoadsPerS = 42;
	size_t orders;

	services[0].engine.loads_per_s_milli = kLoadsPerS * 1000;
	place_configure(p, &config);
	for (int i = 1; i <= 36; i++) {
		PlaceTest::Engine bare = {"e" + std::to_string(i)};

		bare.weights = false;
		Announce(bare);
	}
	SetOwned({"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"});
	(void)CountDecisions(PLACE_REPORT);
	for (auto &e : owned) {
		gw_report nothing = {};

		place_on_report(p, now, e.c_str(), &nothing);
	}
	orders = CountDecisions(PLACE_ORDER, 1000).size();
	/* one for each 5 loads per second, plus one */
	EXPECT_LE(orders, (size_t)(kLoadsPerS / 5 / kOwners + 1));
	EXPECT_GE(orders, 1U);
}

/*
 * The reason tells that the asker's list of owners is outdated, in contrast to
 * engines without room.
 */
TEST_F(PlaceShare, an_instance_without_engines_refuses_as_not_owner)
{
	uint64_t ask;

	Engines(2);
	SetOwned({});
	ask = Ask("a1");
	Run();
	ASSERT_NE(DecisionOn(ask), nullptr);
	EXPECT_EQ(DecisionOn(ask)->type, PLACE_REFUSE);
	EXPECT_STREQ(DecisionOn(ask)->reason, "not-owner");
	EXPECT_TRUE(DecisionOn(ask)->elsewhere);
}

/* Guards against requesting no further report after one was lost. */
TEST_F(PlaceShare, a_lost_report_is_requested_again)
{
	SetOwned({"e1"});
	Engines(1);
	EXPECT_EQ(CountDecisions(PLACE_REPORT)["e1"], 1);
	place_on_report(p, now, "e1", nullptr);
	EXPECT_EQ(CountDecisions(PLACE_REPORT, 400)["e1"], 1);
}

/*
 * Guards against requests queued at one engine for an adapter that seems
 * overdue there, because its order was never answered.
 */
TEST_F(PlaceShare, a_load_that_has_not_begun_is_not_about_to_end)
{
	OwnEngineWithAdapter("a0");
	(void)Ask("a1");
	ASSERT_EQ(CountDecisions(PLACE_ORDER)["e1"], 1);
	now += 1000 * MS;
	(void)Ask("a0", 4000);
	ASSERT_EQ(CountDecisions(PLACE_GRANT, 2)["e1"], 1) << "a backlog";
	Announce({"e2"});
	SetOwned({"e1", "e2"});
	(void)CountDecisions(PLACE_REPORT, 2);
	Report("e2");
	(void)Ask("a1");
	EXPECT_EQ(CountDecisions(PLACE_ORDER).count("e2"), 1U);
}

/* ---- popularity ---- */

TEST(PlacePopularity, the_share_covers_recent_requests_only)
{
	struct place_popularity *h = place_popularity_create();
	uint64_t now = 1000000;
	double hot = 0, cold = 0;

	for (int i = 0; i < 2000; i++) {
		now += 5 * MS;
		if (i % 5 == 0)
			hot = place_popularity_record(h, now, 1);
		else
			cold =
			    place_popularity_record(h, now, 1000 + (uint64_t)i);
	}
	EXPECT_NEAR(hot, 0.2, 0.03);
	EXPECT_LT(cold, 0.01);
	for (int i = 0; i < 20000; i++) {
		now += 5 * MS;
		cold = place_popularity_record(h, now, 100000 + (uint64_t)i);
	}
	EXPECT_LT(place_popularity_record(h, now, 1), 0.01)
	    << "its requests are no longer recent";
	place_popularity_destroy(h);
}

/* Guards against a single request after the start that makes a key hot. */
TEST(PlacePopularity, the_first_request_is_not_hot)
{
	struct place_popularity *h = place_popularity_create();

	EXPECT_LT(place_popularity_record(h, 1000, 1), 0.1);
	place_popularity_destroy(h);
}
