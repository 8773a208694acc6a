#include "place_fixture.h"

/*
 * Model requests, most of them with an adapter, at engines with few adapter
 * slots and a store that serves few concurrent loads.
 */
class PlaceEngine : public PlaceTest {
      protected:
	Fleet fleet;
	std::vector<std::pair<uint64_t, place_decision>> calls;

	/*
	 * Carry out the orders and report requests among the decisions.
	 * lose_answers: the answers to orders do not arrive.
	 */
	void
	ExecuteOrders(bool lose_answers = false)
	{
		std::vector<place_decision> all;

		all.swap(decisions);
		for (auto &d : all) {
			if (d.type != PLACE_ORDER && d.type != PLACE_REPORT) {
				decisions.push_back(d);
				continue;
			}
			if (d.type == PLACE_REPORT) {
				Report(d.endpoint);
				continue;
			}
			gw_order_result r =
			    fleet.Execute(now, d.order, d.endpoint);
			place_on_order_result(p, now, d.endpoint,
			    lose_answers ? GW_ORDER_FAILED : r, lose_answers);
		}
	}

	void
	Report(const char *id)
	{
		gw_report report = {};
		std::vector<gw_loaded_model> loaded, pending;

		if (fleet.engines[id].weights_ready_at <= now)
			loaded.push_back({"m", nullptr, 1});
		for (auto &a : fleet.engines[id].adapters)
			(a.second <= now ? loaded : pending)
			    .push_back({"m", a.first.c_str(), 1});
		report.accepted_orders = fleet.engines[id].orders;
		report.loaded = loaded.data();
		report.nloaded = loaded.size();
		report.pending = pending.data();
		report.npending = pending.size();
		place_on_report(p, now, id, &report);
	}

	/* Run once per ms until a request is granted or refused. */
	const place_decision *
	RunUntilDecided(uint64_t ask, int ms = 3000)
	{
		for (int i = 0; i < ms && DecisionOn(ask) == nullptr; i++) {
			Run();
			ExecuteOrders();
			now += MS;
		}
		return DecisionOn(ask);
	}
};

TEST_F(PlaceEngine, a_missing_adapter_is_loaded_for_its_request)
{
	uint64_t begin, ask;
	const place_decision *d;

	Engines(2);
	begin = now;
	ask = Ask("a1");
	d = RunUntilDecided(ask);
	ASSERT_NE(d, nullptr);
	EXPECT_EQ(d->type, PLACE_GRANT);
	EXPECT_TRUE(fleet.Holds(d->endpoint, "a1", now + MS));
	EXPECT_LT(now - begin, 300 * MS);
	EXPECT_EQ(fleet.loads, 1);
	Done(ask, PLACE_SERVED);
	std::string home = d->endpoint;
	ask = Ask("a1");
	d = RunUntilDecided(ask);
	EXPECT_EQ(home, d->endpoint);
	EXPECT_EQ(fleet.loads, 1);
}

TEST_F(PlaceEngine, the_engine_with_the_shorter_backlog_is_granted)
{
	Engines(2);
	uint64_t big = Ask("", 6800);
	std::string first = RunUntilDecided(big)->endpoint;
	for (int i = 0; i < 3; i++) {
		uint64_t small = Ask("", 1500);

		ASSERT_NE(RunUntilDecided(small), nullptr);
		EXPECT_NE(first, DecisionOn(small)->endpoint) << i;
	}
}

/*
 * The store serves eight concurrent loads at full speed; a ninth slows all of
 * them. Guards against loads beyond that limit.
 */
TEST_F(PlaceEngine, concurrent_loads_stay_within_the_store_limit)
{
	Engines(9);
	for (int i = 0; i < 30; i++)
		(void)Ask("a" + std::to_string(i));
	for (int i = 0; i < 1500; i++) {
		Run();
		ExecuteOrders();
		now += MS;
	}
	EXPECT_LE(fleet.max_concurrent_loads, 8);
	EXPECT_GE(fleet.loads, 24);
}

/*
 * Guards against a crash of engines, which happens when one is ordered to load
 * more adapters than it has slots: here answers to orders are lost and
 * announcements list adapters late.
 */
TEST_F(PlaceEngine, adapter_slots_are_never_exceeded_if_answers_are_lost)
{
	std::vector<uint64_t> asks;

	Engines(3);
	for (int round = 0; round < 400; round++) {
		asks.push_back(Ask("a" + std::to_string(round * 7 % 41), 300));
		for (int i = 0; i < 25; i++) {
			Run();
			ExecuteOrders(round % 5 == 3 && i % 7 == 0);
			now += MS;
		}
		if (round % 3 == 0)
			Engines(3); /* outdated: lists only the weights */
		for (auto it = asks.begin(); it != asks.end();) {
			const place_decision *d = DecisionOn(*it);

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

/*
 * Guards against the unload of a hot adapter that no request uses at the
 * moment, where one that was requested once could be unloaded.
 */
TEST_F(PlaceEngine, a_hot_adapter_is_not_unloaded)
{
	Engines(1);
	for (int i = 0; i < 20; i++) {
		uint64_t ask = Ask("hot", 100);

		ASSERT_NE(RunUntilDecided(ask), nullptr);
		Done(ask, PLACE_SERVED);
	}
	for (int i = 0; i < 12; i++) {
		uint64_t ask = Ask("tail" + std::to_string(i), 100);

		ASSERT_NE(RunUntilDecided(ask), nullptr) << i;
		Done(ask, PLACE_SERVED);
		EXPECT_TRUE(fleet.Holds("e1", "hot", now)) << i;
	}
}

/*
 * A request that is estimated to be late waits for room that no other one
 * needs; before there were shares it was refused. A repeat does neither: after
 * its wait a late answer is better than a failure.
 */
TEST_F(PlaceEngine, a_repeat_is_granted_even_if_late)
{
	for (bool baseline : {true, false}) {
		std::vector<uint64_t> big;
		uint64_t first, again;

		TearDown();
		SetUp();
		decisions.clear();
		config.has_accounts = !baseline;
		place_configure(p, &config);
		Engines(1);
		for (int i = 0; i < (baseline ? 7 : 3); i++)
			big.push_back(Ask("", 3500));
		for (uint64_t ask : big)
			ASSERT_NE(RunUntilDecided(ask), nullptr);
		first = Ask("", 6800);
		again = Ask("", 6800, 1);
		Run();
		if (baseline) {
			ASSERT_NE(DecisionOn(first), nullptr);
			EXPECT_EQ(DecisionOn(first)->type, PLACE_REFUSE);
		} else {
			EXPECT_EQ(DecisionOn(first), nullptr);
		}
		ASSERT_NE(DecisionOn(again), nullptr);
		EXPECT_EQ(DecisionOn(again)->type, PLACE_GRANT);
	}
}

/*
 * Guards against a crash of the engine: another placer has filled its slots,
 * and an order made for the state before that would exceed them.
 */
TEST_F(PlaceEngine, an_order_applies_only_to_the_expected_state)
{
	Engines(1);
	ASSERT_NE(RunUntilDecided(Ask("a0", 100)), nullptr);
	for (int i = 1; i < 5; i++) {
		fleet.engines["e1"].adapters["x" + std::to_string(i)] = now;
		fleet.engines["e1"].orders++;
	}
	(void)RunUntilDecided(Ask("b", 100));
	EXPECT_FALSE(fleet.engines["e1"].crashed);
}

TEST_F(PlaceEngine, an_adapter_in_use_is_not_unloaded)
{
	std::vector<uint64_t> running;

	Engines(1);
	for (int i = 0; i < 5; i++) {
		running.push_back(Ask("a" + std::to_string(i), 100));
		ASSERT_NE(RunUntilDecided(running.back()), nullptr);
	}
	uint64_t ask = Ask("b", 100);
	for (int i = 0; i < 500; i++) {
		Run();
		ExecuteOrders();
		now += MS;
		for (int k = 0; k < 5; k++)
			ASSERT_TRUE(
			    fleet.Holds("e1", "a" + std::to_string(k), now));
	}
	Done(running[2], PLACE_SERVED);
	ASSERT_NE(RunUntilDecided(ask), nullptr);
	EXPECT_FALSE(fleet.Holds("e1", "a2", now));
}

/* After a new version is set, no request may start on the old one. */
TEST_F(PlaceEngine, an_older_version_is_replaced_before_it_is_used)
{
	Engines(1);
	uint64_t ask = Ask("a1", 100);
	ASSERT_NE(RunUntilDecided(ask), nullptr);
	Done(ask, PLACE_SERVED);
	place_set_version(p, "m", "a1", 2);
	ask = Ask("a1", 100);
	const place_decision *d = RunUntilDecided(ask);
	ASSERT_NE(d, nullptr);
	EXPECT_EQ(d->adapter_version, 2u);
	EXPECT_EQ(fleet.loads, 2);
}

/* Without permission to order only loaded adapters are used. */
TEST_F(PlaceEngine, an_entry_that_places_by_itself_orders_nothing)
{
	Engines(1);
	Announce({"e2"}, {{"m", "a1", 1}});
	uint64_t held = Ask("a1"), missing = Ask("a2");
	Run(false);
	ASSERT_NE(DecisionOn(held), nullptr);
	EXPECT_STREQ(DecisionOn(held)->endpoint, "e2");
	EXPECT_EQ(DecisionOn(missing), nullptr);
	for (auto &d : decisions)
		EXPECT_TRUE(d.type != PLACE_ORDER && d.type != PLACE_REPORT);
}

/* An order that is refused for an outdated fence is not repeated. */
TEST_F(PlaceEngine, a_fenced_placer_gives_no_more_orders)
{
	int orders = 0;

	Engines(1);
	(void)Ask("a1");
	for (int i = 0; i < 2000; i++) {
		Run();
		for (auto &d : decisions) {
			if (d.type == PLACE_REPORT)
				Report(d.endpoint);
			if (d.type == PLACE_ORDER) {
				orders++;
				place_on_order_result(
				    p, now, d.endpoint, GW_ORDER_FENCED, false);
			}
		}
		decisions.clear();
		now += MS;
	}
	EXPECT_EQ(orders, 1);
}

/*
 * Requests for many rare adapters: those that the store can't load in time are
 * refused immediately with a retry time, and the others are served in time.
 */
TEST_F(PlaceEngine, excess_requests_for_rare_adapters_are_refused_immediately)
{
	std::map<uint64_t, std::pair<uint64_t, std::string>> asked;
	int late = 0, refused = 0, served = 0;

	Engines(18);
	fleet.store_max = 8;
	for (int ms = 0; ms < 4000; ms++) {
		if (ms % 10 == 0) {
			std::string adapter = "r" + std::to_string(ms);

			asked[Ask(adapter, 500)] = {now, adapter};
		}
		Run();
		ExecuteOrders();
		for (auto &d : decisions) {
			if (asked.count(d.id.ask) == 0)
				continue;
			auto request = asked[d.id.ask];
			uint64_t took = now - request.first;
			if (d.type == PLACE_GRANT &&
			    !fleet.Holds(
				d.endpoint, request.second, now + 2 * MS)) {
				Done(d.id.ask, PLACE_STATE_MISMATCH);
				asked[Ask(request.second, 500, 0, nullptr,
				    request.first)] = request;
			} else if (d.type == PLACE_REFUSE) {
				refused++;
				EXPECT_LT(took, 900 * MS);
				EXPECT_GT(d.retry_after_ms, 0u);
			} else if (d.type == PLACE_GRANT) {
				served++;
				late += took > 800 * MS;
				Done(d.id.ask, PLACE_SERVED);
			}
		}
		decisions.clear();
		now += MS;
	}
	EXPECT_GT(refused, 100);
	EXPECT_GT(served, 100) << "the store loads 32 adapters per second";
	EXPECT_LT(late, served / 10);
}

/* New engines without weights load them, within the store's rate. */
TEST_F(PlaceEngine, an_empty_engine_gets_weights_one_at_a_time)
{
	int loads = 0, concurrent = 0;

	Engines(2);
	for (int i = 3; i <= 6; i++) {
		Engine e = {"e" + std::to_string(i)};

		e.weights = false;
		fleet.engines[e.id].weights_ready_at = UINT64_MAX;
		Announce(e);
	}
	for (int ms = 0; ms < 3000; ms++) {
		concurrent = 0;
		Run();
		for (auto &d : decisions)
			if (d.type == PLACE_ORDER) {
				EXPECT_EQ(d.order.adapter, nullptr);
				loads++;
				concurrent++;
			}
		ExecuteOrders();
		EXPECT_LE(concurrent, 1);
		now += MS;
	}
	EXPECT_GE(loads, 1);
	EXPECT_LE(loads, 2) << "each load takes two seconds";
}

/*
 * Several engines restart after a crash with their weights on their own disks.
 * Their loads do not use the store, so they need not wait for each other.
 */
TEST_F(PlaceEngine, engines_with_a_local_copy_load_concurrently)
{
	int loads = 0;

	Engines(1);
	for (int i = 2; i <= 6; i++) {
		Engine e = {"e" + std::to_string(i)};

		e.weights = false;
		e.copy = true;
		fleet.engines[e.id].weights_ready_at = UINT64_MAX;
		Announce(e);
	}
	for (int ms = 0; ms < 100; ms++) {
		Run();
		for (auto &d : decisions)
			loads += d.type == PLACE_ORDER;
		ExecuteOrders();
		decisions.clear();
		now += MS;
	}
	EXPECT_EQ(loads, 5);
}

/*
 * In a large fleet few engines load anything at a time. Guards against runs
 * whose cost depends on the size of the fleet instead of those few.
 */
TEST_F(PlaceEngine, runs_examine_only_engines_with_pending_loads)
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
		ASSERT_NE(DecisionOn(ask), nullptr);
		Done(ask, PLACE_SERVED, 10);
		now += 10 * MS;
	}
	place_get_totals(p, &after);
	EXPECT_EQ(after.examined_adapters, before.examined_adapters)
	    << "no load is pending";

	uint64_t cold = Ask("cold", 100);

	Run();
	place_get_totals(p, &after);
	EXPECT_LE(after.examined_adapters - before.examined_adapters,
	    2u * (held + 1));
	EXPECT_EQ(DecisionOn(cold), nullptr) << "its adapter is being loaded";
}

/*
 * Under high load events arrive before every run. Guards against evaluating
 * requests that wait for a pending adapter on each of them, which gains
 * nothing.
 */
TEST_F(PlaceEngine, a_request_waiting_for_its_adapter_ignores_other_events)
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
		ExecuteOrders();
		Run();
		ExecuteOrders();
		place_get_totals(p, &before);
		for (uint32_t i = 0; i < rounds; i++) {
			uint64_t ask = Ask("hot", 100);

			Run();
			ExecuteOrders();
			ASSERT_NE(DecisionOn(ask), nullptr);
			Done(ask, PLACE_SERVED, 10);
			now += 2 * MS;
		}
		place_get_totals(p, &after);
		cost[with] = after.estimates - before.estimates;
	}
	EXPECT_LE(cost[1], cost[0] + waiting * 3)
	    << "one evaluation when its order is due, one when its load is";
}

/*
 * With more requests than slots, each queued request searches the whole fleet.
 * Guards against a search on every slot that is freed: they run at intervals.
 */
TEST_F(PlaceEngine, requests_without_a_free_slot_search_at_intervals)
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
	ASSERT_NE(DecisionOn(running.back()), nullptr);
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
	RunUntilDecided(last, 1);
	EXPECT_LE(after.waiting, waiting);
	for (uint32_t i = 0; i < waiting; i++)
		Done(running[i + 1], PLACE_SERVED, 10);
	for (int i = 0; i < 10; i++, now += round_us)
		Run();
	EXPECT_NE(DecisionOn(last), nullptr) << "a freed slot is found";
}
