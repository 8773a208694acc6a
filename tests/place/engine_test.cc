#include "place_fixture.h"

/*
 * The pattern: prompts with a heavy tail, an adapter for most requests, few
 * places, and a store that bears few loads at once.
 */
class PlaceEngine : public PlaceTest {
      protected:
	Fleet fleet;
	std::vector<std::pair<uint64_t, place_decision>> calls;

	/* Carry out the orders that were decided, after their way. */
	void
	Obey(bool lose_answers = false)
	{
		std::vector<place_decision> all;

		all.swap(got);
		for (auto &d : all) {
			if (d.type != PLACE_ORDER && d.type != PLACE_REPORT) {
				got.push_back(d);
				continue;
			}
			if (d.type == PLACE_REPORT) {
				Report(d.endpoint);
				continue;
			}
			gw_order_result r =
			    fleet.Take(now, d.order, d.endpoint);
			place_on_order_result(p, now, d.endpoint,
			    lose_answers ? GW_ORDER_FAILED : r, lose_answers);
		}
	}

	void
	Report(const char *id)
	{
		gw_report report = {};
		std::vector<gw_loaded_model> there, coming;

		if (fleet.engines[id].weights_at <= now)
			there.push_back({"m", nullptr, 1});
		for (auto &a : fleet.engines[id].there)
			(a.second <= now ? there : coming)
			    .push_back({"m", a.first.c_str(), 1});
		report.accepted_orders = fleet.engines[id].orders;
		report.loaded = there.data();
		report.nloaded = there.size();
		report.pending = coming.data();
		report.npending = coming.size();
		place_on_report(p, now, id, &report);
	}

	/* Turn time in steps of a ms until a request is decided. */
	const place_decision *
	Until(uint64_t ask, int ms = 3000)
	{
		for (int i = 0; i < ms && Of(ask) == nullptr; i++) {
			Run();
			Obey();
			now += MS;
		}
		return Of(ask);
	}
};

TEST_F(PlaceEngine, a_missing_adapter_is_loaded_and_the_request_meets_it)
{
	uint64_t begin, ask;
	const place_decision *d;

	Engines(2);
	begin = now;
	ask = Ask("a1");
	d = Until(ask);
	ASSERT_NE(d, nullptr);
	EXPECT_EQ(d->type, PLACE_GRANT);
	EXPECT_TRUE(fleet.Holds(d->endpoint, "a1", now + MS));
	EXPECT_LT(now - begin, 300 * MS);
	EXPECT_EQ(fleet.loads, 1);
	Done(ask, PLACE_SERVED);
	std::string home = d->endpoint;
	ask = Ask("a1");
	d = Until(ask);
	EXPECT_EQ(home, d->endpoint);
	EXPECT_EQ(fleet.loads, 1);
}

TEST_F(PlaceEngine, the_shorter_backlog_of_prompts_is_taken)
{
	Engines(2);
	uint64_t big = Ask("", 6800);
	std::string first = Until(big)->endpoint;
	for (int i = 0; i < 3; i++) {
		uint64_t small = Ask("", 1500);

		ASSERT_NE(Until(small), nullptr);
		EXPECT_NE(first, Of(small)->endpoint) << i;
	}
}

/* The store bears eight loads at once; a ninth slows all. */
TEST_F(PlaceEngine, no_more_loads_at_once_than_the_store_bears)
{
	Engines(9);
	for (int i = 0; i < 30; i++)
		(void)Ask("a" + std::to_string(i));
	for (int i = 0; i < 1500; i++) {
		Run();
		Obey();
		now += MS;
	}
	EXPECT_LE(fleet.most_at_once, 8);
	EXPECT_GE(fleet.loads, 24);
}

/* An engine that is ordered to load more than it has places for crashes. */
TEST_F(PlaceEngine, places_are_never_exceeded_whatever_is_lost)
{
	std::vector<uint64_t> asks;

	Engines(3);
	for (int round = 0; round < 400; round++) {
		asks.push_back(Ask("a" + std::to_string(round * 7 % 41), 300));
		for (int i = 0; i < 25; i++) {
			Run();
			Obey(round % 5 == 3 && i % 7 == 0);
			now += MS;
		}
		if (round % 3 == 0)
			Engines(3); /* lists nothing but the weights: late */
		for (auto it = asks.begin(); it != asks.end();) {
			const place_decision *d = Of(*it);

			if (d == nullptr) {
				++it;
				continue;
			}
			if (d->type == PLACE_GRANT)
				Done(*it,
				    fleet.Holds(d->endpoint,
					"a" +
					    std::to_string((*it - 1) * 7 % 41),
					now + MS)
					? PLACE_SERVED
					: PLACE_STATE_MISMATCH);
			it = asks.erase(it);
		}
	}
	for (auto &e : fleet.engines)
		EXPECT_FALSE(e.second.crashed) << e.first;
	EXPECT_GT(fleet.loads, 50);
}

/* A hot adapter nobody runs on just now stays; one of the tail goes. */
TEST_F(PlaceEngine, what_is_asked_for_often_is_not_unloaded)
{
	Engines(1);
	for (int i = 0; i < 20; i++) {
		uint64_t ask = Ask("hot", 100);

		ASSERT_NE(Until(ask), nullptr);
		Done(ask, PLACE_SERVED);
	}
	for (int i = 0; i < 12; i++) {
		uint64_t ask = Ask("tail" + std::to_string(i), 100);

		ASSERT_NE(Until(ask), nullptr) << i;
		Done(ask, PLACE_SERVED);
		EXPECT_TRUE(fleet.Holds("e1", "hot", now)) << i;
	}
}

/* A repeat that is late is still better than a failure after the wait. */
TEST_F(PlaceEngine, a_repeat_is_placed_though_it_will_be_late)
{
	std::vector<uint64_t> big;
	uint64_t first, again;

	Engines(1);
	for (int i = 0; i < 7; i++)
		big.push_back(Ask("", 3500));
	for (uint64_t ask : big)
		ASSERT_NE(Until(ask), nullptr);
	first = Ask("", 6800);
	again = Ask("", 6800, 1);
	Run();
	ASSERT_NE(Of(first), nullptr);
	EXPECT_EQ(Of(first)->type, PLACE_REFUSE);
	ASSERT_NE(Of(again), nullptr);
	EXPECT_EQ(Of(again)->type, PLACE_GRANT);
}

/* Another placer filled the engine: an order made for less is refused there. */
TEST_F(PlaceEngine, an_order_holds_for_the_state_that_it_was_made_for)
{
	Engines(1);
	ASSERT_NE(Until(Ask("a0", 100)), nullptr);
	for (int i = 1; i < 5; i++) {
		fleet.engines["e1"].there["x" + std::to_string(i)] = now;
		fleet.engines["e1"].orders++;
	}
	(void)Until(Ask("b", 100));
	EXPECT_FALSE(fleet.engines["e1"].crashed);
}

TEST_F(PlaceEngine, an_adapter_in_use_is_not_unloaded)
{
	std::vector<uint64_t> running;

	Engines(1);
	for (int i = 0; i < 5; i++) {
		running.push_back(Ask("a" + std::to_string(i), 100));
		ASSERT_NE(Until(running.back()), nullptr);
	}
	uint64_t ask = Ask("b", 100);
	for (int i = 0; i < 500; i++) {
		Run();
		Obey();
		now += MS;
		for (int k = 0; k < 5; k++)
			ASSERT_TRUE(
			    fleet.Holds("e1", "a" + std::to_string(k), now));
	}
	Done(running[2], PLACE_SERVED);
	ASSERT_NE(Until(ask), nullptr);
	EXPECT_FALSE(fleet.Holds("e1", "a2", now));
}

/* A new version: no request begins on the old one from then on. */
TEST_F(PlaceEngine, an_older_version_is_replaced_before_it_is_used)
{
	Engines(1);
	uint64_t ask = Ask("a1", 100);
	ASSERT_NE(Until(ask), nullptr);
	Done(ask, PLACE_SERVED);
	place_set_version(p, "m", "a1", 2);
	ask = Ask("a1", 100);
	const place_decision *d = Until(ask);
	ASSERT_NE(d, nullptr);
	EXPECT_EQ(d->adapter_version, 2u);
	EXPECT_EQ(fleet.loads, 2);
}

/* Without leave to order only what is there is used. */
TEST_F(PlaceEngine, an_entry_that_places_by_itself_orders_nothing)
{
	Engines(1);
	Announce({"e2"}, {{"m", "a1", 1}});
	uint64_t there = Ask("a1"), missing = Ask("a2");
	Run(false);
	ASSERT_NE(Of(there), nullptr);
	EXPECT_STREQ(Of(there)->endpoint, "e2");
	EXPECT_EQ(Of(missing), nullptr);
	for (auto &d : got)
		EXPECT_TRUE(d.type != PLACE_ORDER && d.type != PLACE_REPORT);
}

/* The order of a placer whose fence is old is not repeated. */
TEST_F(PlaceEngine, a_fenced_placer_orders_there_no_more)
{
	int orders = 0;

	Engines(1);
	(void)Ask("a1");
	for (int i = 0; i < 2000; i++) {
		Run();
		for (auto &d : got) {
			if (d.type == PLACE_REPORT)
				Report(d.endpoint);
			if (d.type == PLACE_ORDER) {
				orders++;
				place_on_order_result(
				    p, now, d.endpoint, GW_ORDER_FENCED, false);
			}
		}
		got.clear();
		now += MS;
	}
	EXPECT_EQ(orders, 1);
}

/*
 * A flood of rare adapters: what the store can't bring in time is refused at
 * once with a time to come back, the rest is in time.
 */
TEST_F(PlaceEngine, a_flood_of_rare_adapters_is_refused_at_once_not_held)
{
	std::map<uint64_t, uint64_t> asked;
	int late = 0, refused = 0, served = 0;

	Engines(18);
	for (int ms = 0; ms < 4000; ms++) {
		if (ms % 10 == 0)
			asked[Ask("r" + std::to_string(ms), 500)] = now;
		Run();
		Obey();
		for (auto &d : got) {
			if (asked.count(d.id.ask) == 0)
				continue;
			uint64_t took = now - asked[d.id.ask];
			if (d.type == PLACE_REFUSE) {
				refused++;
				EXPECT_LT(took, 900 * MS);
				EXPECT_GT(d.retry_after_ms, 0u);
			} else if (d.type == PLACE_GRANT) {
				served++;
				late += took > 800 * MS;
				Done(d.id.ask, PLACE_SERVED);
			}
		}
		got.clear();
		now += MS;
	}
	EXPECT_GT(refused, 100);
	EXPECT_GT(served, 100) << "the store brings 32 a second";
	EXPECT_LT(late, served / 10);
}

/* A new engine without weights gets them, within the store's rate. */
TEST_F(PlaceEngine, an_empty_engine_gets_weights_one_at_a_time)
{
	int loads = 0, at_once = 0;

	Engines(2);
	for (int i = 3; i <= 6; i++) {
		Engine e = {"e" + std::to_string(i)};

		e.weights = false;
		fleet.engines[e.id].weights_at = UINT64_MAX;
		Announce(e);
	}
	for (int ms = 0; ms < 3000; ms++) {
		at_once = 0;
		Run();
		for (auto &d : got)
			if (d.type == PLACE_ORDER) {
				EXPECT_EQ(d.order.adapter, nullptr);
				loads++;
				at_once++;
			}
		Obey();
		EXPECT_LE(at_once, 1);
		now += MS;
	}
	EXPECT_GE(loads, 1);
	EXPECT_LE(loads, 2) << "each takes two seconds";
}

/*
 * The pattern: several engines come back after a crash with their weights on
 * their own disks. The store has no part in that: all load at once.
 */
TEST_F(PlaceEngine, engines_with_a_copy_of_their_own_load_it_at_once)
{
	int loads = 0;

	Engines(1);
	for (int i = 2; i <= 6; i++) {
		Engine e = {"e" + std::to_string(i)};

		e.weights = false;
		e.copy = true;
		fleet.engines[e.id].weights_at = UINT64_MAX;
		Announce(e);
	}
	for (int ms = 0; ms < 100; ms++) {
		Run();
		for (auto &d : got)
			loads += d.type == PLACE_ORDER;
		Obey();
		got.clear();
		now += MS;
	}
	EXPECT_EQ(loads, 5);
}

/*
 * The pattern: a large fleet of which few engines load anything at a time. What
 * a round costs follows from those few, not from the fleet.
 */
TEST_F(PlaceEngine, rounds_look_at_engines_that_load_and_at_no_other)
{
	const int rounds = 100, engines = 90, held = 5;
	place_totals before, after;

	for (int i = 1; i <= engines; i++)
		Announce({"e" + std::to_string(i)},
		    {{"m", "hot", 1}, {"m", "b", 1}, {"m", "c", 1},
			{"m", "d", 1}});
	Run();
	place_get_totals(p, &before);
	for (int i = 0; i < rounds; i++) {
		uint64_t ask = Ask("hot", 100);

		Run();
		ASSERT_NE(Of(ask), nullptr);
		Done(ask, PLACE_SERVED, 10);
		now += 10 * MS;
	}
	place_get_totals(p, &after);
	EXPECT_EQ(after.examined_adapters, before.examined_adapters)
	    << "nothing is loaded";

	uint64_t cold = Ask("cold", 100);

	Run();
	place_get_totals(p, &after);
	EXPECT_LE(after.examined_adapters - before.examined_adapters,
	    2u * (held + 1));
	EXPECT_EQ(Of(cold), nullptr) << "its adapter is on its way";
}

/*
 * The pattern: high load, so that something is news in every round. Requests
 * that wait for an adapter on its way have nothing to gain from it.
 */
TEST_F(PlaceEngine, news_elsewhere_don_t_concern_a_request_that_has_its_engine)
{
	const uint32_t waiting = 20, rounds = 40;
	place_totals before, after;
	uint32_t cost[2];

	for (int i = 1; i <= 90; i++)
		Announce({"e" + std::to_string(i)}, {{"m", "hot", 1}});
	for (int with = 0; with < 2; with++) {
		for (uint32_t i = 0; with == 1 && i < waiting; i++)
			Ask("cold", 100);
		Run();
		Obey();
		Run();
		Obey();
		place_get_totals(p, &before);
		for (uint32_t i = 0; i < rounds; i++) {
			uint64_t ask = Ask("hot", 100);

			Run();
			Obey();
			ASSERT_NE(Of(ask), nullptr);
			Done(ask, PLACE_SERVED, 10);
			now += 2 * MS;
		}
		place_get_totals(p, &after);
		cost[with] = after.estimates - before.estimates;
	}
	EXPECT_LE(cost[1], cost[0] + waiting * 3)
	    << "each looks again when its order is due, and when its load is";
}

/*
 * The pattern: more requests than seats. Each search is over the whole fleet,
 * so that they have their turns by time, not by every seat that is freed.
 */
TEST_F(PlaceEngine, requests_without_a_seat_search_in_turns)
{
	const uint32_t waiting = 20, rounds = 100, engines = 90;
	const uint64_t round_us = 2 * MS, turn_us = 5 * engines * 20;
	std::vector<uint64_t> running;
	place_totals before, after;

	for (uint32_t i = 1; i <= engines; i++) {
		Engine e = {"e" + std::to_string(i)};

		e.slots = 2;
		Announce(e, {{"m", "hot", 1}});
	}
	for (uint32_t i = 0; i < engines * 2; i++)
		running.push_back(Ask("hot", 100));
	for (int i = 0; i < 10; i++, now += round_us)
		Run();
	ASSERT_NE(Of(running.back()), nullptr);
	for (uint32_t i = 0; i < waiting; i++)
		Ask("hot", 100);
	place_get_totals(p, &before);
	for (uint32_t i = 0; i < rounds; i++) {
		Done(running[i], PLACE_FIRST_BYTE, 10);
		Run();
		now += round_us;
	}
	place_get_totals(p, &after);
	EXPECT_LE(after.estimates - before.estimates,
	    waiting * engines * (rounds * round_us / turn_us + 1));

	uint64_t last = last_ask;

	Done(running[0], PLACE_SERVED, 10);
	Until(last, 1);
	EXPECT_LE(after.waiting, waiting);
	for (uint32_t i = 0; i < waiting; i++)
		Done(running[i + 1], PLACE_SERVED, 10);
	for (int i = 0; i < 10; i++, now += round_us)
		Run();
	EXPECT_NE(Of(last), nullptr) << "a seat that is freed is found";
}
