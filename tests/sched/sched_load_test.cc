#include <algorithm>

#include "sched_fixture.h"

/* Store permits, failed loads, back-off, service limits, cache, roles. */
class SchedLoad : public SchedTest {};

/* Loads of many adapters on many engines, stepped in time. */
static void
Flood(SchedTest *, struct sched *s, uint64_t *now, uint32_t *most_in_flight,
    double *most_above_rate, double rate)
{
	std::vector<std::pair<uint64_t, std::pair<std::string, std::string>>>
	    ends;
	uint64_t start = *now, loads = 0;
	sched_decision d;

	for (uint64_t end = *now + 20000000; *now < end;
	     *now = std::min(end, std::max(*now + 1, sched_next_run_us(s)))) {
		for (size_t i = 0; i < ends.size();) {
			if (ends[i].first > *now) {
				i++;
				continue;
			}
			sched_load_result(s, *now, ends[i].second.first.c_str(),
			    ends[i].second.second.c_str(), true);
			ends.erase(ends.begin() + i);
		}
		sched_run(s, *now, true);
		while (sched_take_decision(s, &d)) {
			if (d.type != SCHED_LOAD)
				continue;
			loads++;
			ends.push_back(
			    {*now + 3000000, {d.endpoint, d.adapter}});
		}
		*most_in_flight =
		    std::max(*most_in_flight, (uint32_t)ends.size());
		*most_above_rate = std::max(
		    *most_above_rate, loads - (*now - start) / 1e6 * rate);
		if (!ends.empty() && ends[0].first < sched_next_run_us(s))
			*now = std::max(*now, ends[0].first - 1);
	}
}

TEST_F(SchedLoad, PermitsAreNeverExceeded)
{
	for (bool guard : {true, false}) {
		uint32_t in_flight = 0;
		double above = 0.0;

		Create("fair", SETTINGS_LOAD_STALL, SETTINGS_CHARGE_REQUESTS);
		sched_guards.permits = guard;
		sched_set_permits(s, now, 3, 2000);
		for (int e = 0; e < 8; e++)
			Engine("e" + std::to_string(e));
		for (uint64_t id = 1; id <= 30; id++)
			Ask(id, "t", ("t/a" + std::to_string(id)).c_str());
		Flood(this, s, &now, &in_flight, &above, 2.0);
		EXPECT_EQ(guard, in_flight <= 3);
		EXPECT_EQ(guard, above <= 1.0);
	}
}

TEST_F(SchedLoad, WithoutPermitsNothingIsLoaded)
{
	sched_set_permits(s, now, 0, 0);
	Engine("e1");
	Ask(1, "t", "t/a@1");
	EXPECT_EQ("", Short());
	EXPECT_EQ(UINT64_MAX, sched_next_run_us(s));
	sched_demand d;
	sched_get_demand(s, now + 5, &d);
	EXPECT_EQ(1u, d.waiting);
	EXPECT_EQ(5u, d.stall_us);
	sched_set_permits(s, now, 1, 1000);
	EXPECT_EQ("L:t/a@1@e1", Short());
}

TEST_F(SchedLoad, StallOfATeamAboveItsShareWeighsLessForPermits)
{
	sched_demand d;

	sched_set_permits(s, now, 0, 0);
	Engine("e1");
	for (uint64_t id = 1; id <= 10; id++)
		Ask(id, "busy", "busy/a@1");
	Ask(11, "quiet", "quiet/b@1");
	EXPECT_EQ("", Short());
	sched_get_demand(s, now + 1000, &d);
	EXPECT_EQ(11000u, d.stall_us);
	EXPECT_LT(
	    d.weighted_stall_us, 3000u); /* 0.55 cubed of 10000, and 1000 */
	EXPECT_GE(d.weighted_stall_us, 2000u);
}

TEST_F(SchedLoad, LoadOnALostEndpointStillCountsForAWhile)
{
	sched_set_permits(s, now, 1, 1000000);
	Engine("e1");
	Ask(1, "t", "t/a@1");
	EXPECT_EQ("L:t/a@1@e1", Short());
	Engine("e2");
	sched_endpoint_remove(s, now, "e1");
	EXPECT_EQ("", Short());
	EXPECT_EQ(now + 1000000, sched_next_run_us(s));
	now = sched_next_run_us(s);
	EXPECT_EQ("L:t/a@1@e2", Short());
}

TEST_F(SchedLoad, LongestSufferedStallIsLoadedFirst)
{
	sched_set_permits(s, now, 1, 1000000);
	Engine("e1");
	Ask(1, "t", "t/a@1");
	EXPECT_EQ("L:t/a@1@e1", Short());
	Ask(2, "t", "t/b@1");
	now += 100000;
	for (uint64_t id = 10; id < 14; id++)
		Ask(id, "t", "t/c@1");
	now += 100000;
	sched_load_result(s, now, "e1", "t/a@1", true);
	EXPECT_EQ("G1@e1 L:t/c@1@e1", Short());
}

TEST_F(SchedLoad, FailedLoadGoesElsewhereAndBacksOff)
{
	Engine("e1");
	Engine("e2");
	Ask(1, "t", "t/a@1");
	EXPECT_EQ("L:t/a@1@e1", Short());
	uint64_t first = now;
	sched_load_result(s, now, "e1", "t/a@1", false);
	now += 250000;
	EXPECT_EQ("L:t/a@1@e2", Short());
	sched_load_result(s, now, "e2", "t/a@1", false);
	EXPECT_EQ("", Short());
	EXPECT_EQ(first + 1000000, sched_next_run_us(s)) << "e1 is left alone";
	now = sched_next_run_us(s);
	EXPECT_EQ("L:t/a@1@e1", Short());
	sched_load_result(s, now, "e1", "t/a@1", false);
	std::string tried = "";
	uint64_t failed = now;
	while (tried.empty() && sched_next_run_us(s) != UINT64_MAX) {
		now = sched_next_run_us(s);
		tried = Short();
	}
	EXPECT_EQ("L:t/a@1@e2", tried);
	EXPECT_GE(now, failed + 250000);
	EXPECT_EQ(3u, Totals().load_failures);
	sched_load_result(s, now, "e2", "t/a@1", true);
	EXPECT_EQ("G1@e2", Short());
}

TEST_F(SchedLoad, HotAdapterGetsAReplicaWhenItsQueueJustifiesIt)
{
	uint64_t id = 1;

	Engine("e1", {"t/a@1"}, 4, 2);
	Engine("e2", {}, 4, 2);
	for (; id < 3; id++)
		Ask(id, "t", "t/a@1");
	EXPECT_EQ("G1@e1 G2@e1", Short());
	Done(1, SCHED_DELIVERED, 2000000);
	for (; id < 9; id++)
		Ask(id, "t", "t/a@1");
	EXPECT_EQ("G3@e1", Short());
	now += 1000000;
	EXPECT_EQ("L:t/a@1@e2", Short());
}

TEST_F(SchedLoad, BusyEndpointIsLeftAloneForAWhile)
{
	Engine("e1", {"t/a@1"});
	Engine("e2", {"t/a@1"});
	Ask(1, "t", "t/a@1");
	std::string first = Short();
	Done(1, SCHED_BUSY);
	for (uint64_t id = 2; id < 6; id++) {
		Ask(id, "t", "t/a@1");
		EXPECT_NE(first.substr(2), Short().substr(2));
	}
	now += 100000;
	Ask(9, "t", "t/a@1");
	EXPECT_EQ(first.substr(2), Short().substr(2));
}

TEST_F(SchedLoad, ServiceLimitIsCutOnFailureAndGrowsBack)
{
	uint64_t id = 1;
	auto granted = [&] {
		size_t n = 0;

		for (; n < 20; id++, n++) {
			Ask(id, "t", nullptr);
			if (Short().empty()) {
				Done(id++, SCHED_CANCELLED);
				break;
			}
		}
		return n;
	};

	Service("s1", 8);
	EXPECT_EQ(8u, granted());
	now += 1000000;
	Done(1, SCHED_FAILED);
	for (uint64_t i = 2; i < 9; i++)
		Done(i, SCHED_CANCELLED);
	EXPECT_EQ(4u, granted());
	for (int round = 0; round < 20; round++) {
		now += 1000000;
		for (uint64_t i = id - 20; i < id; i++)
			Done(i);
		granted();
	}
	for (uint64_t i = id - 20; i < id; i++)
		Done(i);
	EXPECT_EQ(8u, granted());
}

TEST_F(SchedLoad, ServiceLimitIsCutWhenCallsBecomeSlow)
{
	uint64_t id = 1;
	size_t granted = 0;

	Service("s1", 8);
	for (; id <= 20; id++) {
		now += 1000000;
		Ask(id, "t", nullptr);
		Short();
		Done(id, SCHED_DELIVERED, 100000);
	}
	Ask(id, "t", nullptr);
	Short();
	Done(id++, SCHED_DELIVERED, 900000);
	for (; id < 40; id++) {
		Ask(id, "t", nullptr);
		granted += !Short().empty();
	}
	EXPECT_EQ(4u, granted);
}

TEST_F(SchedLoad, TotalsTellRecentWaits)
{
	Engine("e1", {"t/a@1"}, 4, 1);
	for (uint64_t id = 1; id <= 10; id++) {
		Ask(id, "t", "t/a@1");
		Ask(100 + id, "t", "t/a@1");
		Short();
		now += 2000000;
		Done(id);
		Short();
		Done(100 + id);
	}
	EXPECT_GE(Totals().wait_p90_ms, 1900u);
	now += 100000000;
	Ask(500, "t", "t/a@1");
	Short();
	EXPECT_EQ(0u, Totals().wait_p90_ms);
}

TEST_F(SchedLoad, PrefixAffinityFromCacheEventsWithResync)
{
	uint64_t prefixes[] = {11, 12};
	sched_cache_event ev = {};
	sched_request r = Request(1, "t", "t/a@1");

	Engine("e1", {"t/a@1"});
	Engine("e2", {"t/a@1"});
	ev.sequence = 1;
	ev.prefixes = prefixes;
	ev.count = 2;
	EXPECT_FALSE(sched_apply_cache_event(s, now, "e2", &ev));
	r.prefix = 12;
	sched_enqueue(s, now, &r);
	EXPECT_EQ("G1@e2", Short());
	ev.sequence = 3;
	ev.dropped = true;
	EXPECT_TRUE(sched_apply_cache_event(s, now, "e2", &ev))
	    << "2 is missing";
	ev.sequence = 4;
	EXPECT_TRUE(sched_apply_cache_event(s, now, "e2", &ev)) << "still";
	ev.is_resync = true;
	ev.count = 1;
	EXPECT_FALSE(sched_apply_cache_event(s, now, "e2", &ev));
	ev.is_resync = false;
	ev.sequence = 5;
	ev.count = 0;
	EXPECT_FALSE(sched_apply_cache_event(s, now, "e2", &ev));
	r.id = 2;
	r.prefix = 11;
	sched_enqueue(s, now, &r);
	EXPECT_EQ("G2@e2", Short());
	r.id = 3;
	r.prefix = 12;
	sched_enqueue(s, now, &r);
	EXPECT_EQ("G3@e1", Short()) << "12 was not in the resync";
	ev.sequence = 6;
	EXPECT_FALSE(sched_apply_cache_event(s, now, "e2", &ev));
	ev.dropped = ev.is_continuation = true;
	ev.count = 1; /* 11, dropped in the same event */
	EXPECT_FALSE(sched_apply_cache_event(s, now, "e2", &ev));
	r.id = 4;
	r.prefix = 11;
	sched_enqueue(s, now, &r);
	EXPECT_EQ("G4@e1", Short()) << "11 was dropped";
}

/* Late, doubled and old events; a report that tells of a lost one. */
TEST_F(SchedLoad, CacheEventsLateDoubledOrOfAnotherLifeChangeNothing)
{
	const struct {
		const char *what;
		uint64_t told; /* by a report before the event, 0: no report */
		uint64_t incarnation, sequence, prefix;
		bool resync, gap;
		size_t count; /* known prefixes after it */
	} cases[] = {
	    {"first", 0, 1, 1, 11, false, false, 1},
	    {"doubled", 0, 1, 1, 12, false, false, 1},
	    {"another life", 0, 2, 2, 13, false, false, 1},
	    {"told once", 2, 1, 1, 14, false, false, 1},
	    {"still lost when told again", 2, 1, 1, 15, false, true, 1},
	    {"all", 0, 1, 5, 16, true, false, 1},
	    {"late", 0, 1, 2, 17, false, false, 1},
	    {"older than all", 0, 1, 4, 18, true, false, 1},
	    {"next", 0, 1, 6, 19, false, false, 2},
	    {"a gap", 0, 1, 8, 20, false, true, 3},
	};
	struct sched_report r = {};

	r.id = "e1";
	r.incarnation = 1;
	r.base_model = "base";
	r.slot_capacity = r.seats = 4;
	sched_report(s, now, &r);
	for (auto &t : cases) {
		sched_cache_event ev = {};
		uint64_t known[8];

		r.cache_sequence = t.told;
		if (t.told != 0)
			sched_report(s, ++now, &r);
		ev.incarnation = t.incarnation;
		ev.sequence = t.sequence;
		ev.is_resync = t.resync;
		ev.prefixes = &t.prefix;
		ev.count = 1;
		(void)sched_apply_cache_event(s, now, "e1", &ev);
		EXPECT_EQ(t.gap, sched_cache_has_gap(s, "e1")) << t.what;
		EXPECT_EQ(t.count, sched_cache_prefixes(s, "e1", known, 8))
		    << t.what;
	}
}

TEST_F(SchedLoad, PrefixSetsAreBounded)
{
	std::vector<uint64_t> many(20000);
	sched_cache_event ev = {};
	sched_request r = Request(1, "t", "t/a@1");

	for (size_t i = 0; i < many.size(); i++)
		many[i] = (i + 1) * 2654435761U;
	Engine("e1", {"t/a@1"});
	Engine("e2", {"t/a@1"});
	ev.sequence = 1;
	ev.prefixes = many.data();
	ev.count = many.size();
	EXPECT_FALSE(sched_apply_cache_event(s, now, "e2", &ev));
	r.prefix = many.back();
	sched_enqueue(s, now, &r);
	EXPECT_EQ("G1@e2", Short()) << "the newest are kept";
	r.id = 2;
	r.prefix = many.front();
	sched_enqueue(s, now, &r);
	EXPECT_EQ("G2@e1", Short()) << "the oldest are forgotten";
}

/* A persistent mix changes one role at a time; a short one changes none. */
TEST_F(SchedLoad, RolesFollowThePersistentMixWithoutFlapping)
{
	uint64_t id = 1;
	std::string roles;
	auto play = [&](uint32_t in, uint32_t out, int seconds) {
		sched_usage u = {};

		u.tokens_in = in;
		u.tokens_out = out;
		u.total_us = 1000;
		for (int i = 0; i < seconds; i++) {
			now += 1000000;
			Ask(id, "t", "t/a@1");
			for (const Decision &d : Run())
				if (d.type == SCHED_SET_ROLE)
					roles +=
					    "dmp"[d.role == SCHED_PREFILL ? 2
									  : 1];
			sched_finish_request(s, now, id++, &u);
		}
	};

	for (int e = 0; e < 4; e++)
		Engine("e" + std::to_string(e), {"t/a@1"});
	play(500, 100, 200);
	EXPECT_EQ("", roles) << "balanced";
	play(20000, 10, 20);
	play(100, 2000, 60);
	EXPECT_EQ("", roles) << "a short burst";
	play(20000, 10, 600);
	EXPECT_EQ("pp", roles) << "half of them at most";
	play(100, 1000, 1200);
	EXPECT_EQ("ppmm", roles);
}
