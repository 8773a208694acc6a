#include "guard_off.h"
#include "place/place_guard.h"
#include "place_fixture.h"

/*
 * The pattern: few endpoints with few slots, calls that may run once only,
 * and endpoints that fail or turn slow.
 */
class PlaceService : public PlaceTest {};

TEST_F(PlaceService, calls_fill_the_slots_evenly_and_then_wait)
{
	std::map<std::string, int> given;
	std::vector<uint64_t> asks;

	Apps(4);
	for (int i = 0; i < 26; i++)
		asks.push_back(Call_());
	Run();
	for (auto ask : asks)
		if (Of(ask) != nullptr)
			given[Of(ask)->endpoint]++;
	EXPECT_EQ(given.size(), 4u);
	for (auto &g : given)
		EXPECT_EQ(g.second, 6) << g.first;
	EXPECT_EQ(Of(asks[25]), nullptr);
	now += 60 * MS;
	Done(asks[0], PLACE_SERVED);
	Run();
	EXPECT_NE(Of(asks[24]), nullptr) << "first come, first served";
	EXPECT_EQ(Of(asks[25]), nullptr);
}

TEST_F(PlaceService, one_that_waits_in_vain_is_refused_at_its_deadline)
{
	uint64_t ask;

	Apps(1);
	for (int i = 0; i < 6; i++)
		Call_();
	ask = Call_();
	Run();
	now += 4000 * MS;
	Run();
	ASSERT_NE(Of(ask), nullptr);
	EXPECT_EQ(Of(ask)->type, PLACE_REFUSE);
	EXPECT_GT(Of(ask)->retry_after_ms, 0u);
}

TEST_F(PlaceService, one_that_fails_its_calls_is_ejected_for_a_while)
{
	int bad = 0;
	uint64_t ask;

	Apps(4);
	for (int i = 0; i < 60; i++) {
		ask = Call_();
		Run();
		ASSERT_NE(Of(ask), nullptr);
		bool grey = strcmp(Of(ask)->endpoint, "a1") == 0;

		bad += grey;
		now += 10 * MS;
		Done(ask, grey ? PLACE_ENDPOINT_FAILED : PLACE_SERVED);
	}
	EXPECT_LT(bad, 8);
	now += 9000 * MS;
	Apps(4);
	bad = 0;
	for (int i = 0; i < 24; i++) {
		ask = Call_();
		Run();
		bad += strcmp(Of(ask)->endpoint, "a1") == 0;
	}
	EXPECT_GT(bad, 0) << "it gets another chance";
}

/* A fault that all share is not theirs: half of them stay. */
TEST_F(PlaceService, never_more_than_half_are_ejected)
{
	std::map<std::string, int> given;
	uint64_t ask;

	Apps(4);
	for (int i = 0; i < 80; i++) {
		ask = Call_();
		Run();
		ASSERT_NE(Of(ask), nullptr) << i;
		given[Of(ask)->endpoint]++;
		now += 5 * MS;
		Done(ask, PLACE_ENDPOINT_FAILED);
	}
	EXPECT_GE(given.size(), 2u);
}

TEST_F(PlaceService, an_entry_that_is_gone_holds_no_slots)
{
	uint64_t ask;

	Apps(1);
	for (int i = 0; i < 6; i++)
		Call_();
	Run();
	place_drop_entry(p, now, 7);
	ask = Call_();
	Run();
	EXPECT_NE(Of(ask), nullptr);
}

/* Repeats stay within a share of the requests and a fixed number. */
TEST_F(PlaceService, repeats_have_a_budget)
{
	int repeats = 0;
	uint64_t ask;

	Apps(4);
	for (int i = 0; i < 400; i++) {
		ask = Call_(i % 2);
		Run();
		ASSERT_NE(Of(ask), nullptr);
		repeats += i % 2 == 1 && Of(ask)->type == PLACE_GRANT;
		if (Of(ask)->type == PLACE_GRANT)
			Done(ask, PLACE_SERVED);
		now += 10 * MS;
	}
	EXPECT_LE(repeats, 200 * 0.2 + 50);
	EXPECT_GE(repeats, 25);
}

/*
 * Entries that place by themselves don't know each other's repeats: all of
 * them together stay within the share, however many they are.
 */
TEST_F(PlaceService, an_entry_repeats_by_its_own_requests_alone)
{
	int requests = 0, repeats = 0;
	uint64_t ask;

	Apps(4);
	place_set_heartbeat(p, 0);
	for (int i = 0; i < 400; i++) {
		ask = Call_(i % 2);
		Run();
		ASSERT_NE(Of(ask), nullptr);
		requests += i % 2 == 0;
		repeats += i % 2 == 1 && Of(ask)->type == PLACE_GRANT;
		if (Of(ask)->type == PLACE_GRANT)
			Done(ask, PLACE_SERVED);
		now += 10 * MS;
	}
	EXPECT_LE(repeats, requests * 0.2 / 2);
	EXPECT_GE(repeats, 1);
}

static const bool switched_off = guard_off({
    {"place.sequence", &place_guards.sequence},
    {"place.leaving", &place_guards.leaving},
    {"place.pins", &place_guards.pins},
    {"place.expected", &place_guards.expected},
    {"place.fence", &place_guards.fence},
    {"place.store", &place_guards.store},
    {"place.version", &place_guards.version},
    {"place.budget", &place_guards.budget},
});

/* The pattern: a handful of endpoints of one service beside a fleet of engines.
 */
TEST_F(PlaceService, a_call_looks_at_the_endpoints_of_its_service_alone)
{
	place_totals before, after;
	const uint32_t apps = 4;

	Engines(140);
	Apps(apps);
	Run();
	place_get_totals(p, &before);
	Call_();
	Run();
	place_get_totals(p, &after);
	EXPECT_EQ(after.granted, before.granted + 1);
	EXPECT_EQ(after.estimates, before.estimates + apps);
}

/*
 * Guards against: with fewer slots than calls, one whose objective is far off
 * waits behind all that come after it until its caller leaves. The pattern:
 * endpoints of a plain service are lost, and a route without an objective.
 */
TEST_F(PlaceService, a_call_with_a_far_objective_does_not_starve)
{
	const uint64_t wait = 900 * MS;
	uint64_t patient = 0, asked = 0;
	std::vector<std::pair<uint64_t, uint64_t>> running; /* end, ask */

	Apps(2); /* 12 slots of 60 ms: 200 calls a second */
	for (int ms = 0; ms < 3000; ms += 4) { /* 250 come */
		(void)Call_();
		if (ms == 1000) {
			place_request r = {};

			r.id = {7, ++last_ask};
			r.kind = GW_IDEMPOTENT;
			r.service = "app";
			r.deadline_us = now + wait;
			r.target_us = now + 2000 * MS;
			place_ask(p, now, &r);
			patient = last_ask;
			asked = now;
		}
		got.clear();
		Run();
		for (auto &d : got)
			if (d.type == PLACE_GRANT)
				running.push_back({now + 60 * MS, d.id.ask});
		if (patient != 0 && Of(patient) != nullptr)
			break;
		now += 4 * MS;
		while (!running.empty() && running.front().first <= now) {
			Done(running.front().second, PLACE_SERVED);
			running.erase(running.begin());
		}
	}
	ASSERT_NE(Of(patient), nullptr);
	EXPECT_EQ(Of(patient)->type, PLACE_GRANT);
	EXPECT_LE(now - asked, wait);
}
