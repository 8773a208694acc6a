#include "guard_off.h"
#include "place/place_guard.h"
#include "place_fixture.h"

/*
 * Calls of a plain service that must not run twice, at few endpoints with few
 * slots, some of which fail or become slow.
 */
class PlaceService : public PlaceTest {};

TEST_F(PlaceService, calls_fill_the_slots_evenly_and_then_wait)
{
	std::map<std::string, int> given;
	std::vector<uint64_t> asks;

	Apps(4);
	for (int i = 0; i < 26; i++)
		asks.push_back(AskPlain());
	Run();
	for (auto ask : asks)
		if (DecisionOn(ask) != nullptr)
			given[DecisionOn(ask)->endpoint]++;
	EXPECT_EQ(given.size(), 4u);
	for (auto &g : given)
		EXPECT_EQ(g.second, 6) << g.first;
	EXPECT_EQ(DecisionOn(asks[25]), nullptr);
	now += 60 * MS;
	Done(asks[0], PLACE_SERVED);
	Run();
	EXPECT_NE(DecisionOn(asks[24]), nullptr) << "first come, first served";
	EXPECT_EQ(DecisionOn(asks[25]), nullptr);
}

TEST_F(PlaceService, a_queued_call_is_refused_at_its_deadline)
{
	uint64_t ask;

	Apps(1);
	for (int i = 0; i < 6; i++)
		AskPlain();
	ask = AskPlain();
	Run();
	now += 4000 * MS;
	Run();
	ASSERT_NE(DecisionOn(ask), nullptr);
	EXPECT_EQ(DecisionOn(ask)->type, PLACE_REFUSE);
	EXPECT_GT(DecisionOn(ask)->retry_after_ms, 0u);
}

TEST_F(PlaceService, a_failing_endpoint_is_ejected_for_a_while)
{
	int to_failing = 0;
	uint64_t ask;

	Apps(4);
	for (int i = 0; i < 60; i++) {
		ask = AskPlain();
		Run();
		ASSERT_NE(DecisionOn(ask), nullptr);
		bool is_failing = strcmp(DecisionOn(ask)->endpoint, "a1") == 0;

		to_failing += is_failing;
		now += 10 * MS;
		Done(ask, is_failing ? PLACE_ENDPOINT_FAILED : PLACE_SERVED);
	}
	EXPECT_LT(to_failing, 8);
	now += 9000 * MS;
	Apps(4);
	to_failing = 0;
	for (int i = 0; i < 24; i++) {
		ask = AskPlain();
		Run();
		to_failing += strcmp(DecisionOn(ask)->endpoint, "a1") == 0;
	}
	EXPECT_GT(to_failing, 0) << "it gets calls again afterwards";
}

/*
 * A failure that all endpoints share has another cause. Guards against ejecting
 * more than half of them.
 */
TEST_F(PlaceService, never_more_than_half_are_ejected)
{
	std::map<std::string, int> given;
	uint64_t ask;

	Apps(4);
	for (int i = 0; i < 80; i++) {
		ask = AskPlain();
		Run();
		ASSERT_NE(DecisionOn(ask), nullptr) << i;
		given[DecisionOn(ask)->endpoint]++;
		now += 5 * MS;
		Done(ask, PLACE_ENDPOINT_FAILED);
	}
	EXPECT_GE(given.size(), 2u);
}

TEST_F(PlaceService, a_terminated_entry_releases_its_slots)
{
	uint64_t ask;

	Apps(1);
	for (int i = 0; i < 6; i++)
		AskPlain();
	Run();
	place_drop_entry(p, now, 7);
	ask = AskPlain();
	Run();
	EXPECT_NE(DecisionOn(ask), nullptr);
}

/* Repeats stay within a share of the requests plus a fixed number. */
TEST_F(PlaceService, repeats_have_a_budget)
{
	int repeats = 0;
	uint64_t ask;

	Apps(4);
	for (int i = 0; i < 400; i++) {
		ask = AskPlain(i % 2);
		Run();
		ASSERT_NE(DecisionOn(ask), nullptr);
		repeats += i % 2 == 1 && DecisionOn(ask)->type == PLACE_GRANT;
		if (DecisionOn(ask)->type == PLACE_GRANT)
			Done(ask, PLACE_SERVED);
		now += 10 * MS;
	}
	EXPECT_LE(repeats, 200 * 0.2 + 50);
	EXPECT_GE(repeats, 25);
}

/*
 * Entries that place requests by themselves don't know each other's repeats.
 * Together they must stay within the share, whatever their number.
 */
TEST_F(PlaceService, an_entry_budgets_repeats_by_its_own_requests)
{
	int requests = 0, repeats = 0;
	uint64_t ask;

	Apps(4);
	place_set_heartbeat(p, 0);
	for (int i = 0; i < 400; i++) {
		ask = AskPlain(i % 2);
		Run();
		ASSERT_NE(DecisionOn(ask), nullptr);
		requests += i % 2 == 0;
		repeats += i % 2 == 1 && DecisionOn(ask)->type == PLACE_GRANT;
		if (DecisionOn(ask)->type == PLACE_GRANT)
			Done(ask, PLACE_SERVED);
		now += 10 * MS;
	}
	EXPECT_LE(repeats, requests * 0.2 / 2);
	EXPECT_GE(repeats, 1);
}

/*
 * Guards against a caller that waits for the next run that is due for something
 * else, though its request is refused already.
 */
TEST_F(PlaceService, a_repeat_beyond_the_budget_is_refused_at_once)
{
	uint64_t repeat;
	int repeats = 0;

	Apps(1);
	Run();
	do {
		now += MS;
		(void)place_next_run_us(p);
		Run(); /* nothing is due any more */
		repeat = AskPlain(1);
		EXPECT_LE(place_next_run_us(p), now + MS);
		Run();
		ASSERT_LT(repeats++, 100);
		if (DecisionOn(repeat) != nullptr &&
		    DecisionOn(repeat)->type == PLACE_GRANT)
			Done(repeat, PLACE_SERVED);
	} while (DecisionOn(repeat) == nullptr ||
	    DecisionOn(repeat)->type == PLACE_GRANT);
	EXPECT_STREQ(DecisionOn(repeat)->reason, "retry-budget");
}

static const bool switched_off = guard_off({
    {"place.sequence", &place_guards.sequence},
    {"place.leaving", &place_guards.leaving},
    {"place.pins", &place_guards.pins},
    {"place.expected", &place_guards.expected},
    {"place.counted", &place_guards.counted},
    {"place.fence", &place_guards.fence},
    {"place.store", &place_guards.store},
    {"place.version", &place_guards.version},
    {"place.budget", &place_guards.budget},
    {"place.memory", &place_guards.memory},
    {"place.limit", &place_guards.limit},
    {"place.notice", &place_guards.notice},
});

/*
 * A few endpoints of one service exist beside a fleet of engines. Guards
 * against calls that search the engines too.
 */
TEST_F(PlaceService, a_call_examines_only_endpoints_of_its_service)
{
	place_totals before, after;
	const uint32_t apps = 4;

	Engines(140);
	Apps(apps);
	Run();
	place_get_totals(p, &before);
	AskPlain();
	Run();
	place_get_totals(p, &after);
	EXPECT_EQ(after.granted, before.granted + 1);
	EXPECT_EQ(after.estimates, before.estimates + apps);
}

/*
 * Guards against starvation: with fewer slots than calls, a call with a distant
 * objective was queued behind all later ones until its caller disconnected. It
 * happens when endpoints of a plain service are lost and a route has no
 * objective.
 */
TEST_F(PlaceService, a_call_with_a_distant_objective_does_not_starve)
{
	const uint64_t wait = 900 * MS;
	uint64_t distant = 0, asked = 0;
	std::vector<std::pair<uint64_t, uint64_t>> running; /* end, ask */

	Apps(2); /* 12 slots of 60 ms: 200 calls a second */
	for (int ms = 0; ms < 3000; ms += 4) { /* 250 arrive */
		(void)AskPlain();
		if (ms == 1000) {
			place_request r = {};

			r.id = {7, ++last_ask};
			r.kind = GW_IDEMPOTENT;
			r.service = "app";
			r.deadline_us = now + wait;
			r.target_us = now + 2000 * MS;
			place_ask(p, now, &r);
			distant = last_ask;
			asked = now;
		}
		decisions.clear();
		Run();
		for (auto &d : decisions)
			if (d.type == PLACE_GRANT)
				running.push_back({now + 60 * MS, d.id.ask});
		if (distant != 0 && DecisionOn(distant) != nullptr)
			break;
		now += 4 * MS;
		while (!running.empty() && running.front().first <= now) {
			Done(running.front().second, PLACE_SERVED);
			running.erase(running.begin());
		}
	}
	ASSERT_NE(DecisionOn(distant), nullptr);
	EXPECT_EQ(DecisionOn(distant)->type, PLACE_GRANT);
	EXPECT_LE(now - asked, wait);
}
