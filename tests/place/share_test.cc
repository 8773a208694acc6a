#include <set>

#include "place/place_heat.h"
#include "place_fixture.h"

/* Engines of a fleet that several instances place. */
class PlaceShare : public PlaceTest {
      protected:
	std::set<std::string> mine;
	uint64_t order_from = 0;

	static place_owned
	Owned(void *ctx, const char *, const char *endpoint)
	{
		PlaceShare *t = (PlaceShare *)ctx;

		return {t->mine.count(endpoint) > 0, t->order_from};
	}

	void
	Share(std::set<std::string> engines)
	{
		mine = std::move(engines);
		place_set_parts(p, 4);
		place_set_owned(p, Owned, this);
		place_reshare(p, now);
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
	Report(const std::string &engine, uint64_t orders = 0)
	{
		gw_loaded weights = {"m", nullptr, 1};
		gw_report report = {};

		report.orders = orders;
		report.loaded = &weights;
		report.nloaded = 1;
		place_reported(p, now, engine.c_str(), &report);
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
		EXPECT_TRUE(d.type != PLACE_ORDER || d.order.expected == 7);
}

/*
 * Guards against: after a loss of all processes nobody is served until new
 * leases are given, as owners without one did not ask what engines hold.
 */
TEST_F(PlaceShare, an_owner_that_may_not_order_uses_what_engines_hold)
{
	gw_loaded held[] = {{"m", nullptr, 1}, {"m", "a1", 1}};
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
	place_reported(p, now, "e1", &report);
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
	EXPECT_LE(state.loading_most * 4, 16U) << "36 engines bear 16 at once";
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

/* ---- heat ---- */

TEST(PlaceHeat, a_share_is_of_the_last_seconds_and_cold_keys_are_forgotten)
{
	struct place_heat *h = place_heat_create();
	uint64_t now = 1000000;
	double hot = 0, cold = 0;

	for (int i = 0; i < 2000; i++) {
		now += 5 * MS;
		if (i % 5 == 0)
			hot = place_heat_note(h, now, 1);
		else
			cold = place_heat_note(h, now, 1000 + (uint64_t)i);
	}
	EXPECT_NEAR(hot, 0.2, 0.03);
	EXPECT_LT(cold, 0.01);
	for (int i = 0; i < 20000; i++) {
		now += 5 * MS;
		cold = place_heat_note(h, now, 100000 + (uint64_t)i);
	}
	EXPECT_LT(place_heat_note(h, now, 1), 0.01) << "it was hot long ago";
	place_heat_destroy(h);
}

/* At a start nothing is known: one request makes no adapter hot. */
TEST(PlaceHeat, the_first_request_is_not_hot)
{
	struct place_heat *h = place_heat_create();

	EXPECT_LT(place_heat_note(h, 1000, 1), 0.1);
	place_heat_destroy(h);
}
