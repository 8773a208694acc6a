#include "sched_fixture.h"

/*
 * Guards against the eviction of an adapter that a request still uses, which
 * would fail that request, and against reports that corrupt the known slots.
 */
class SchedEvict : public SchedTest {
      protected:
	/* Decisions now, and after a wait that exceeds the cost of eviction. */
	std::string
	Later(uint64_t us = 5000000)
	{
		std::string out = RunToText();

		now += us;
		return out + RunToText();
	}

	bool
	Evicts(const std::string &decisions)
	{
		return decisions.find("E:") != std::string::npos;
	}

	/* Whether a slot is evicted whose run began 100 ms before a report. */
	bool
	EvictsAfterAShortRun()
	{
		now += 1000;
		ReportEngine("e1", {"t/a@1"}, 1, 8, 1, now);
		Enqueue(1, "t", "t/a@1");
		EXPECT_EQ("G1@e1", RunToText());
		now += 100000;
		ReportEngine("e1", {"t/a@1"}, 1, 8, 1, now, {1});
		now += 1000;
		Finish(1);
		Enqueue(2, "u", "u/b@1");
		return Evicts(Later());
	}
};

TEST_F(SchedEvict, PinnedAdapterIsDrainedThenEvicted)
{
	ReportEngine("e1", {"t/a@1"}, 1);
	Enqueue(1, "t", "t/a@1");
	EXPECT_EQ("G1@e1", RunToText());
	Enqueue(2, "u", "u/b@1");
	EXPECT_EQ("", Later());
	Enqueue(3, "t", "t/a@1");
	EXPECT_EQ("", Later(1000)) << "the slot is being drained";
	Finish(1);
	EXPECT_EQ("E:t/a@1@e1", RunToText());
	sched_evict_result(s, now, "e1", "t/a@1", true);
	EXPECT_EQ("L:u/b@1@e1", RunToText());
	sched_load_result(s, now, "e1", "u/b@1", true);
	EXPECT_EQ("G2@e1", RunToText());
}

TEST_F(SchedEvict, PinCheckFailsWithoutItsGuard)
{
	sched_guards.pins = false;
	ReportEngine("e1", {"t/a@1"}, 1);
	Enqueue(1, "t", "t/a@1");
	RunToText();
	Enqueue(2, "u", "u/b@1");
	EXPECT_TRUE(Evicts(Later()));
}

/* A run that no grant of this owner explains prevents the eviction. */
TEST_F(SchedEvict, ReportedRunsAreNotEvicted)
{
	for (bool guard : {true, false}) {
		Create("fair", SETTINGS_LOAD_STALL, SETTINGS_CHARGE_REQUESTS);
		sched_guards.running = guard;
		ReportEngine("e1", {"t/a@1"}, 1, 8, 1, 0, {1});
		Enqueue(2, "u", "u/b@1");
		EXPECT_EQ(!guard, Evicts(Later()));
		if (!guard)
			continue;
		ReportEngine("e1", {"t/a@1"}, 1, 8, 1, 0, {0});
		EXPECT_EQ("E:t/a@1@e1", RunToText());
	}
}

TEST_F(SchedEvict, OwnEndedRunsExplainALateReport)
{
	struct {
		sched_outcome outcome;
		bool evicts;
	} cases[] = {{SCHED_DELIVERED, true}, {SCHED_FAILED, false},
	    {SCHED_CANCELLED, false}, {SCHED_NOT_SENT, true}};

	for (auto &c : cases) {
		SCOPED_TRACE(c.outcome);
		Create("fair", SETTINGS_LOAD_STALL, SETTINGS_CHARGE_REQUESTS);
		ReportEngine("e1", {"t/a@1"}, 1);
		Enqueue(1, "t", "t/a@1");
		RunToText();
		uint64_t while_running = now += 1000;
		Finish(1, c.outcome);
		now += 1000;
		if (c.outcome == SCHED_DELIVERED)
			ReportEngine(
			    "e1", {"t/a@1"}, 1, 8, 1, while_running, {1});
		Enqueue(2, "u", "u/b@1");
		EXPECT_EQ(c.evicts, Evicts(Later(1000000)));
		ReportEngine("e1", {"t/a@1"}, 1);
		EXPECT_EQ(!c.evicts, Evicts(RunToText()));
	}
}

TEST_F(SchedEvict, NoEvictionBeforeAReportAfterTheTakeover)
{
	for (bool guard : {true, false}) {
		Create("fair", SETTINGS_LOAD_STALL, SETTINGS_CHARGE_REQUESTS);
		sched_guards.takeover = guard;
		uint64_t until = now + 5000000;

		sched_endpoint_takeover(s, now, "e1", until);
		ReportEngine("e1", {"t/a@1"}, 1);
		Enqueue(1, "u", "u/b@1");
		EXPECT_EQ(!guard, Evicts(Later(4000000)));
		if (!guard)
			continue;
		now = until + 1000000;
		ReportEngine("e1", {"t/a@1"}, 1, 8, 1, until);
		EXPECT_EQ("", RunToText()) << "the report was taken too early";
		ReportEngine("e1", {"t/a@1"}, 1, 8, 1, until + 1);
		EXPECT_EQ("E:t/a@1@e1", RunToText());
	}
}

/*
 * A run of this owner that began after the report was taken does not explain
 * the run that the report shows, which is one of the earlier owner.
 */
TEST_F(SchedEvict, LaterRunsDoNotExplainAnOldReport)
{
	sched_endpoint_takeover(s, now, "e1", now);
	now += 1000;
	ReportEngine("e1", {"t/a@1"}, 1, 8, 1, 0, {1});
	now += 400000;
	Enqueue(1, "t", "t/a@1");
	EXPECT_EQ("G1@e1", RunToText());
	now += 100000;
	Finish(1);
	Enqueue(2, "u", "u/b@1");
	EXPECT_FALSE(Evicts(Later()));
}

/*
 * The report of an endpoint that was taken over may be older than it says. So
 * a run that began just before it explains a reported run only without a
 * takeover.
 */
TEST_F(SchedEvict, ARunJustBeforeAReportExplainsIt)
{
	EXPECT_TRUE(EvictsAfterAShortRun());
}

TEST_F(SchedEvict, ARunJustBeforeAReportAfterATakeoverDoesNotExplainIt)
{
	sched_endpoint_takeover(s, now, "e1", now);
	EXPECT_FALSE(EvictsAfterAShortRun());
}

TEST_F(SchedEvict, AdoptedGrantsPinAndHoldTheirSeat)
{
	ReportEngine("e1", {"t/a@1"}, 1, 2, 1, 0, {2});
	sched_endpoint_takeover(s, now, "e1", now);
	sched_adopt_grant(s, now, 7, "t", "e1", "t/a@1");
	Enqueue(1, "t", "t/a@1");
	EXPECT_EQ("", RunToText()) << "both seats are taken";
	Enqueue(2, "u", "u/b@1");
	now += 1000;
	ReportEngine("e1", {"t/a@1"}, 1, 2, 1, 0, {1});
	EXPECT_EQ("G1@e1", RunToText());
	Finish(1);
	EXPECT_FALSE(Evicts(Later()));
	Finish(7);
	now += 1000;
	ReportEngine("e1", {"t/a@1"}, 1, 2, 1, 0, {0});
	EXPECT_EQ("E:t/a@1@e1", RunToText());
}

/*
 * A report that shows fewer runs than there are grants frees no seat, and one
 * that was taken before an order does not undo it.
 */
TEST_F(SchedEvict, FalseAndLateReportsChangeNothing)
{
	ReportEngine("e1", {"t/a@1"}, 4, 1);
	Enqueue(1, "t", "t/a@1");
	EXPECT_EQ("G1@e1", RunToText());
	now += 1000;
	ReportEngine("e1", {"t/a@1"}, 4, 1);
	Enqueue(2, "t", "t/a@1");
	EXPECT_EQ("", RunToText());
	Enqueue(3, "t", "t/b@1");
	EXPECT_EQ("L:t/b@1@e1", RunToText());
	now += 250000;
	sched_load_result(s, now, "e1", "t/b@1", true);
	Finish(1);
	EXPECT_EQ("G2@e1", RunToText());
	Finish(2);
	ReportEngine("e1", {"t/a@1"}, 4, 1, 1, now - 1000);
	EXPECT_EQ("G3@e1", RunToText());
}

TEST_F(SchedEvict, ReportReplacesTheKnownAdapters)
{
	ReportEngine("e1", {"t/a@1", "t/b@1"}, 2);
	now += 1000;
	ReportEngine("e1", {"t/a@1"}, 2);
	Enqueue(1, "t", "t/b@1");
	EXPECT_EQ("L:t/b@1@e1", RunToText());
}

TEST_F(SchedEvict, NotLoadedOutcomeEmptiesTheSlot)
{
	ReportEngine("e1", {"t/a@1"});
	Enqueue(1, "t", "t/a@1");
	RunToText();
	Finish(1, SCHED_NOT_LOADED);
	Enqueue(2, "t", "t/a@1");
	EXPECT_EQ("L:t/a@1@e1", RunToText());
}

TEST_F(SchedEvict, RefusedEvictionKeepsTheAdapterUntilAReport)
{
	ReportEngine("e1", {"t/a@1"}, 1);
	Enqueue(1, "u", "u/b@1");
	EXPECT_EQ("E:t/a@1@e1", RunToText());
	sched_evict_result(s, now, "e1", "t/a@1", false);
	EXPECT_FALSE(Evicts(Later()));
	ReportEngine("e1", {"t/a@1"}, 1);
	EXPECT_EQ("E:t/a@1@e1", RunToText());
}

TEST_F(SchedEvict, AdaptersToKeepAreEvictedLast)
{
	sched_request r = MakeRequest(1, "t", "t/a@1");

	ReportEngine("e1", {"t/a@1", "t/c@1"}, 2);
	r.pinned = true;
	sched_enqueue(s, now, &r);
	RunToText();
	Finish(1);
	for (uint64_t id = 2; id < 40; id++) {
		Enqueue(id, "t", "t/c@1");
		RunToText();
		Finish(id);
	}
	Enqueue(50, "u", "u/b@1");
	EXPECT_EQ("E:t/c@1@e1", Later())
	    << "requested more often, but not to be kept";
}

TEST_F(SchedEvict, ColdStartEmptiesSlotsKeepsGrantsAndLowersTheLimit)
{
	ReportEngine("e1", {"t/a@1"}, 4, 8, 1);
	Enqueue(1, "t", "t/a@1");
	EXPECT_EQ("G1@e1", RunToText());
	Enqueue(2, "t", "t/b@1");
	EXPECT_EQ("L:t/b@1@e1", RunToText());
	now += 1000;
	ReportEngine("e1", {}, 4, 8, 2);
	EXPECT_EQ("L:t/b@1@e1", RunToText())
	    << "the load ended with the process";
	ReportEngine("e1", {"t/a@1"}, 4, 8, 1);
	Enqueue(3, "t", "t/a@1");
	now += 1000;
	EXPECT_EQ("L:t/a@1@e1", RunToText())
	    << "a late report of the previous process";
	now += 250000;
	sched_load_result(s, now, "e1", "t/a@1", true);
	for (uint64_t id = 4; id < 20; id++)
		Enqueue(id, "t", "t/a@1");
	EXPECT_EQ("G3@e1", RunToText()) << "the earlier grant has not ended";
	Finish(1, SCHED_FAILED);
	EXPECT_EQ("G4@e1", RunToText());
	Finish(3);
	EXPECT_EQ("G5@e1 G6@e1", RunToText());
}

TEST_F(SchedEvict, AdoptedBeforeTheFirstReport)
{
	sched_adopt_grant(s, now, 7, "t", "e1", "t/a@1");
	sched_adopt_grant(s, now, 8, "t", "e1", "t/a@1");
	sched_endpoint_takeover(s, now, "e1", now);
	Finish(7);
	EXPECT_EQ(1u, Totals().running);
	now += 1000;
	ReportEngine("e1", {"t/a@1"}, 1, 2, 1, 0, {1});
	Enqueue(1, "t", "t/a@1");
	Enqueue(2, "t", "t/a@1");
	EXPECT_EQ("G1@e1", RunToText()) << "the adopted one holds a seat";
	Finish(8);
	EXPECT_EQ("G2@e1", RunToText());
}

TEST_F(SchedEvict, SlotClaimedOnALeavingEngineIsNotLoaded)
{
	ReportEngine("e1", {"t/a@1"}, 1);
	Enqueue(1, "u", "u/b@1");
	EXPECT_EQ("E:t/a@1@e1", RunToText());
	ReportEngine("e2", {}, 1);
	ReportEngine("e1", {"t/a@1"}, 1, 8, 1, 0, {}, true);
	sched_evict_result(s, now, "e1", "t/a@1", true);
	EXPECT_EQ("L:u/b@1@e2", RunToText());
}
