#include <set>

#include "place/place_popularity.h"
#include "place_fixture.h"

/* Engines of a fleet that several instances place. */
class PlaceShare : public PlaceTest {
      protected:
	std::set<std::string> mine;
	uint64_t order_from = 0;
	std::map<std::string, uint64_t> order_from_of; /* of one engine */

	static place_ownership
	Owned(void *ctx, const char *, const char *endpoint)
	{
		PlaceShare *t = (PlaceShare *)ctx;

		auto own = t->order_from_of.find(endpoint);

		return {t->mine.count(endpoint) > 0,
		    own == t->order_from_of.end() ? t->order_from
						  : own->second};
	}

	void
	Share(std::set<std::string> engines)
	{
		mine = std::move(engines);
		place_set_owner_count(p, 4);
		place_set_ownership_fn(p, Owned, this);
		place_update_ownership(p, now);
	}

	/* Decisions of one type in some rounds, by endpoint. */
	std::map<std::string, int>
	Rounds(place_decision_type type, int rounds = 20)
	{
		std::map<std::string, int> found;

		got.clear();
		for (int i = 0; i < rounds; i++) {
			Run();
			now += 2 * MS;
		}
		for (auto &d : got)
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

	/* Requests for a1 get e1 once it has reported a1, and not before. */
	void
	ExpectUseAfterReport()
	{
		uint64_t ask = Ask("a1");

		got.clear();
		Run(false);
		EXPECT_TRUE(Of(ask) == nullptr || Of(ask)->type != PLACE_GRANT);
		Report("e1", 0, "a1");
		now += 10 * MS;
		ask = Ask("a1");
		Run(false);
		ASSERT_NE(Of(ask), nullptr);
		EXPECT_EQ(Of(ask)->type, PLACE_GRANT);
	}

	/* One engine that is this instance's and holds an adapter. */
	void
	HoldAtFirst(const char *adapter)
	{
		Share({"e1"});
		Engines(1);
		(void)Rounds(PLACE_REPORT);
		Report("e1", 0, adapter);
	}
};

TEST_F(PlaceShare, only_own_engines_are_asked_ordered_and_used)
{
	Engines(8);
	Share({"e2", "e5"});
	for (int i = 0; i < 12; i++)
		(void)Ask("a" + std::to_string(i), 300);
	for (auto &r : Rounds(PLACE_REPORT))
		EXPECT_EQ(mine.count(r.first), 1U) << r.first;
	Report("e2");
	Report("e5");
	std::map<std::string, int> orders = Rounds(PLACE_ORDER);
	EXPECT_EQ(orders.size(), 2U);
	for (auto &o : orders)
		EXPECT_EQ(mine.count(o.first), 1U) << o.first;
}

/* What an earlier owner left there is asked for, and its orders are over. */
TEST_F(
    PlaceShare, an_engine_that_is_taken_over_is_asked_first_and_ordered_later)
{
	Share({});
	Engines(1);
	(void)Rounds(PLACE_REPORT);
	order_from = now + 3000 * MS;
	Share({"e1"});
	EXPECT_EQ(Rounds(PLACE_REPORT).count("e1"), 1U);
	Report("e1", 7);
	(void)Ask("a1");
	EXPECT_TRUE(Rounds(PLACE_ORDER).empty());
	now = order_from;
	(void)Ask("a2");
	EXPECT_EQ(Rounds(PLACE_ORDER).count("e1"), 1U);
	for (auto &d : got)
		EXPECT_TRUE(
		    d.type != PLACE_ORDER || d.order.expected_orders == 7);
}

/*
 * Guards against: after a loss of all processes nobody is served until new
 * leases are given, as owners without one did not ask what engines hold.
 */
TEST_F(PlaceShare, an_owner_that_may_not_order_uses_what_engines_hold)
{
	gw_loaded_model held[] = {{"m", nullptr, 1}, {"m", "a1", 1}};
	gw_report report = {};
	uint64_t ask;

	Share({"e1"});
	Engines(1);
	ask = Ask("a1");
	Run(false);
	ASSERT_EQ(got.size(), 2U);
	EXPECT_EQ(
	    got[0].type == PLACE_REPORT || got[1].type == PLACE_REPORT, true);
	report.loaded = held;
	report.nloaded = 2;
	place_on_report(p, now, "e1", &report);
	now += 10 * MS;
	Run(false);
	ASSERT_NE(Of(ask), nullptr);
	EXPECT_EQ(Of(ask)->type, PLACE_GRANT);
}

TEST_F(PlaceShare, what_waits_for_an_engine_that_is_lost_goes_elsewhere)
{
	uint64_t ask;

	Engines(2);
	Share({"e1", "e2"});
	(void)Rounds(PLACE_REPORT);
	Report("e1");
	Report("e2");
	ask = Ask("a1");
	(void)Rounds(PLACE_ORDER);
	ASSERT_EQ(Of(ask), nullptr) << "it waits for its adapter";
	Share({});
	Run();
	ASSERT_NE(Of(ask), nullptr);
	EXPECT_EQ(Of(ask)->type, PLACE_REFUSE);
	EXPECT_TRUE(Of(ask)->elsewhere);
}

/* Guards the store and the budget: all owners together have one of each. */
TEST_F(PlaceShare, the_store_and_the_budget_are_split)
{
	place_state state;
	int granted = 0;

	Apps(4);
	Engines(36);
	Share({"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"});
	Run();
	place_get_state(p, &state);
	EXPECT_EQ(state.engines, 9U);
	EXPECT_LE(state.loading_max * 4, 16U) << "36 engines bear 16 at once";
	for (int i = 0; i < 40; i++) {
		uint64_t ask = Call_(1);

		Run();
		if (Of(ask) != nullptr && Of(ask)->type == PLACE_GRANT) {
			granted++;
			Done(ask, PLACE_SERVED);
		}
		now += 10 * MS;
	}
	EXPECT_LE(granted * 4, 50) << "repeats beyond the share of requests";
	EXPECT_GE(granted, 1);
}

/* Guards against: a load is waited for where no order may be given yet. */
TEST_F(PlaceShare, an_adapter_is_loaded_where_orders_may_be_given)
{
	Share({"e2"});
	Engines(2);
	order_from_of["e1"] = now + 3000 * MS;
	Share({"e1", "e2"});
	(void)Rounds(PLACE_REPORT);
	Report("e1");
	Report("e2", 0, "a0");
	for (int i = 0; i < 4; i++)
		(void)Ask("a0");
	EXPECT_EQ(Rounds(PLACE_GRANT)["e2"], 4) << "it has more to do";
	(void)Ask("a1");
	std::map<std::string, int> orders = Rounds(PLACE_ORDER);
	EXPECT_EQ(orders.count("e1"), 0U);
	EXPECT_EQ(orders.count("e2"), 1U);
}

/* Guards against: two owners load weights at an engine within one lease. */
TEST_F(PlaceShare, weights_wait_for_the_earlier_owner_too)
{
	PlaceTest::Engine bare = {"e1"};

	bare.weights = false;
	Share({});
	Announce(bare);
	order_from = now + 3000 * MS;
	Share({"e1"});
	(void)Rounds(PLACE_REPORT);
	gw_report nothing = {};
	place_on_report(p, now, "e1", &nothing);
	EXPECT_TRUE(Rounds(PLACE_ORDER).empty());
	now = order_from;
	EXPECT_EQ(Rounds(PLACE_ORDER).count("e1"), 1U);
}

/*
 * Guards against: requests go to an engine for an adapter that it held for
 * another owner, or at an earlier time, and holds no more.
 */
TEST_F(PlaceShare, what_another_ones_engine_held_is_not_used_without_a_report)
{
	Share({});
	Announce({"e1"}, {{"m", "a1", 1}});
	Share({"e1"});
	ExpectUseAfterReport();
}

TEST_F(PlaceShare, what_an_engine_held_before_is_not_used_without_a_report)
{
	HoldAtFirst("a1");
	Share({});
	Share({"e1"});
	ExpectUseAfterReport();
}

/* What runs there for another owner is not this one's to count, nor to end. */
TEST_F(PlaceShare, an_engine_that_comes_back_has_no_earlier_requests)
{
	place_state state;
	uint64_t ask;

	HoldAtFirst("a1");
	ask = Ask("a1");
	Run();
	place_get_state(p, &state);
	ASSERT_EQ(state.running, 1U);
	Share({});
	Share({"e1"});
	place_get_state(p, &state);
	EXPECT_EQ(state.running, 0U);
	EXPECT_EQ(state.unread_ms, 0U);
	Done(ask, PLACE_SERVED, 10);
	place_get_state(p, &state);
	EXPECT_EQ(state.running, 0U);
}

/* Guards the store: weights are loaded at the rate of all owners together. */
TEST_F(PlaceShare, the_rate_of_weights_is_split)
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
	Share({"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"});
	(void)Rounds(PLACE_REPORT);
	for (auto &e : mine) {
		gw_report nothing = {};

		place_on_report(p, now, e.c_str(), &nothing);
	}
	EXPECT_LE(Rounds(PLACE_ORDER, 1).size(), 1U) << "no burst of its own";
	ordered = (int)got.size();
	for (int ms = 0; ms < kSpanMs; ms += 2) {
		for (auto &o : Rounds(PLACE_ORDER, 1)) {
			ordered += o.second;
			place_on_order_result(
			    p, now, o.first.c_str(), GW_ORDER_DONE, false);
		}
	}
	EXPECT_LE(ordered, 1 + kLoadsPerS * kSpanMs / 1000 / kOwners);
	EXPECT_GE(ordered, 1);
}

TEST_F(PlaceShare, weights_loading_at_once_are_split)
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
	Share({"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"});
	(void)Rounds(PLACE_REPORT);
	for (auto &e : mine) {
		gw_report nothing = {};

		place_on_report(p, now, e.c_str(), &nothing);
	}
	orders = Rounds(PLACE_ORDER, 1000).size();
	/* one for each 5 loads a second, and one that has begun */
	EXPECT_LE(orders, (size_t)(kLoadsPerS / 5 / kOwners + 1));
	EXPECT_GE(orders, 1U);
}

/* It says why: the asker's knowledge of owners is old, engines are not full. */
TEST_F(PlaceShare, one_that_owns_no_engine_says_so_at_once)
{
	uint64_t ask;

	Engines(2);
	Share({});
	ask = Ask("a1");
	Run();
	ASSERT_NE(Of(ask), nullptr);
	EXPECT_EQ(Of(ask)->type, PLACE_REFUSE);
	EXPECT_STREQ(Of(ask)->reason, "not-owner");
	EXPECT_TRUE(Of(ask)->elsewhere);
}

/* Guards against: a report that is lost is the last one asked for. */
TEST_F(PlaceShare, a_report_that_is_lost_is_asked_for_again)
{
	Share({"e1"});
	Engines(1);
	EXPECT_EQ(Rounds(PLACE_REPORT)["e1"], 1);
	place_on_report(p, now, "e1", nullptr);
	EXPECT_EQ(Rounds(PLACE_REPORT, 400)["e1"], 1);
}

/*
 * Guards against: requests gather at an engine for an adapter that was due
 * there long ago, as its order never had an answer.
 */
TEST_F(PlaceShare, a_load_that_has_not_begun_is_not_about_to_end)
{
	HoldAtFirst("a0");
	(void)Ask("a1");
	ASSERT_EQ(Rounds(PLACE_ORDER)["e1"], 1);
	now += 1000 * MS;
	(void)Ask("a0", 4000);
	ASSERT_EQ(Rounds(PLACE_GRANT, 2)["e1"], 1) << "something to do";
	Announce({"e2"});
	Share({"e1", "e2"});
	(void)Rounds(PLACE_REPORT, 2);
	Report("e2");
	(void)Ask("a1");
	EXPECT_EQ(Rounds(PLACE_ORDER).count("e2"), 1U);
}

/* ---- heat ---- */

TEST(PlaceHeat, a_share_is_of_the_last_seconds_and_cold_keys_are_forgotten)
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
	    << "it was hot long ago";
	place_popularity_destroy(h);
}

/* At a start nothing is known: one request makes no adapter hot. */
TEST(PlaceHeat, the_first_request_is_not_hot)
{
	struct place_popularity *h = place_popularity_create();

	EXPECT_LT(place_popularity_record(h, 1000, 1), 0.1);
	place_popularity_destroy(h);
}
