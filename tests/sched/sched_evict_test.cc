#include "sched_fixture.h"

/* Which adapters may be evicted, and what reports change. */
class SchedEvict : public SchedTest {
      protected:
	/* What is decided now, and after a wait that outweighs any cost. */
	std::string
	Later(uint64_t us = 5000000)
	{
		std::string out = Short();

		now += us;
		return out + Short();
	}

	bool
	Evicts(const std::string &decisions)
	{
		return decisions.find("E:") != std::string::npos;
	}

	/* One run, begun 100 ms before a report that tells of it. */
	bool
	EvictsAfterAShortRun()
	{
		now += 1000;
		Engine("e1", {"t/a@1"}, 1, 8, 1, now);
		Ask(1, "t", "t/a@1");
		EXPECT_EQ("G1@e1", Short());
		now += 100000;
		Engine("e1", {"t/a@1"}, 1, 8, 1, now, {1});
		now += 1000;
		Done(1);
		Ask(2, "u", "u/b@1");
		return Evicts(Later());
	}
};

TEST_F(SchedEvict, PinnedIsDrainedThenEvicted)
{
	Engine("e1", {"t/a@1"}, 1);
	Ask(1, "t", "t/a@1");
	EXPECT_EQ("G1@e1", Short());
	Ask(2, "u", "u/b@1");
	EXPECT_EQ("", Later());
	Ask(3, "t", "t/a@1");
	EXPECT_EQ("", Later(1000)) << "the slot is being emptied";
	Done(1);
	EXPECT_EQ("E:t/a@1@e1", Short());
	sched_evict_result(s, now, "e1", "t/a@1", true);
	EXPECT_EQ("L:u/b@1@e1", Short());
	sched_load_result(s, now, "e1", "u/b@1", true);
	EXPECT_EQ("G2@e1", Short());
}

TEST_F(SchedEvict, CheckerOfPinsFailsWithoutItsGuard)
{
	sched_guards.pins = false;
	Engine("e1", {"t/a@1"}, 1);
	Ask(1, "t", "t/a@1");
	Short();
	Ask(2, "u", "u/b@1");
	EXPECT_TRUE(Evicts(Later()));
}

/* A run that no grant of ours explains keeps the adapter. */
TEST_F(SchedEvict, ReportedRunsAreNotEvicted)
{
	for (bool guard : {true, false}) {
		Create("fair", SETTINGS_LOAD_STALL, SETTINGS_CHARGE_REQUESTS);
		sched_guards.running = guard;
		Engine("e1", {"t/a@1"}, 1, 8, 1, 0, {1});
		Ask(2, "u", "u/b@1");
		EXPECT_EQ(!guard, Evicts(Later()));
		if (!guard)
			continue;
		Engine("e1", {"t/a@1"}, 1, 8, 1, 0, {0});
		EXPECT_EQ("E:t/a@1@e1", Short());
	}
}

TEST_F(SchedEvict, OurOwnEndedRunsExplainALaggingReport)
{
	struct {
		sched_outcome outcome;
		bool evicts;
	} cases[] = {{SCHED_DELIVERED, true}, {SCHED_FAILED, false},
	    {SCHED_CANCELLED, false}, {SCHED_NOT_SENT, true}};

	for (auto &c : cases) {
		SCOPED_TRACE(c.outcome);
		Create("fair", SETTINGS_LOAD_STALL, SETTINGS_CHARGE_REQUESTS);
		Engine("e1", {"t/a@1"}, 1);
		Ask(1, "t", "t/a@1");
		Short();
		uint64_t while_running = now += 1000;
		Done(1, c.outcome);
		now += 1000;
		if (c.outcome == SCHED_DELIVERED)
			Engine("e1", {"t/a@1"}, 1, 8, 1, while_running, {1});
		Ask(2, "u", "u/b@1");
		EXPECT_EQ(c.evicts, Evicts(Later(1000000)));
		Engine("e1", {"t/a@1"}, 1);
		EXPECT_EQ(!c.evicts, Evicts(Short()));
	}
}

TEST_F(SchedEvict, NothingBeforeAReportAfterTheTakeover)
{
	for (bool guard : {true, false}) {
		Create("fair", SETTINGS_LOAD_STALL, SETTINGS_CHARGE_REQUESTS);
		sched_guards.takeover = guard;
		uint64_t until = now + 5000000;

		sched_endpoint_takeover(s, now, "e1", until);
		Engine("e1", {"t/a@1"}, 1);
		Ask(1, "u", "u/b@1");
		EXPECT_EQ(!guard, Evicts(Later(4000000)));
		if (!guard)
			continue;
		now = until + 1000000;
		Engine("e1", {"t/a@1"}, 1, 8, 1, until);
		EXPECT_EQ("", Short()) << "taken before it was allowed";
		Engine("e1", {"t/a@1"}, 1, 8, 1, until + 1);
		EXPECT_EQ("E:t/a@1@e1", Short());
	}
}

/* A run of ours that began after the report was taken is not in it. */
TEST_F(SchedEvict, LaterRunsDoNotExplainAnOldReport)
{
	sched_endpoint_takeover(s, now, "e1", now);
	now += 1000;
	Engine("e1", {"t/a@1"}, 1, 8, 1, 0, {1});
	now += 400000;
	Ask(1, "t", "t/a@1");
	EXPECT_EQ("G1@e1", Short());
	now += 100000;
	Done(1);
	Ask(2, "u", "u/b@1");
	EXPECT_FALSE(Evicts(Later()));
}

/* Of an endpoint taken over the report may be older than it says. */
TEST_F(SchedEvict, ARunJustBeforeAReportExplainsIt)
{
	EXPECT_TRUE(EvictsAfterAShortRun());
}

TEST_F(SchedEvict, ARunJustBeforeAReportOfATakenOneDoesNotExplainIt)
{
	sched_endpoint_takeover(s, now, "e1", now);
	EXPECT_FALSE(EvictsAfterAShortRun());
}

TEST_F(SchedEvict, AdoptedGrantsPinAndHoldTheirSeat)
{
	Engine("e1", {"t/a@1"}, 1, 2, 1, 0, {2});
	sched_endpoint_takeover(s, now, "e1", now);
	sched_adopt_grant(s, now, 7, "t", "e1", "t/a@1");
	Ask(1, "t", "t/a@1");
	EXPECT_EQ("", Short()) << "both seats are taken";
	Ask(2, "u", "u/b@1");
	now += 1000;
	Engine("e1", {"t/a@1"}, 1, 2, 1, 0, {1});
	EXPECT_EQ("G1@e1", Short());
	Done(1);
	EXPECT_FALSE(Evicts(Later()));
	Done(7);
	now += 1000;
	Engine("e1", {"t/a@1"}, 1, 2, 1, 0, {0});
	EXPECT_EQ("E:t/a@1@e1", Short());
}

/* A report below our own account frees no seat; it cannot undo orders. */
TEST_F(SchedEvict, LyingAndLateReportsChangeNothing)
{
	Engine("e1", {"t/a@1"}, 4, 1);
	Ask(1, "t", "t/a@1");
	EXPECT_EQ("G1@e1", Short());
	now += 1000;
	Engine("e1", {"t/a@1"}, 4, 1);
	Ask(2, "t", "t/a@1");
	EXPECT_EQ("", Short());
	Ask(3, "t", "t/b@1");
	EXPECT_EQ("L:t/b@1@e1", Short());
	now += 250000;
	sched_load_result(s, now, "e1", "t/b@1", true);
	Done(1);
	EXPECT_EQ("G2@e1", Short());
	Done(2);
	Engine("e1", {"t/a@1"}, 4, 1, 1, now - 1000);
	EXPECT_EQ("G3@e1", Short());
}

TEST_F(SchedEvict, ReportedSetReplacesWhatWeThought)
{
	Engine("e1", {"t/a@1", "t/b@1"}, 2);
	now += 1000;
	Engine("e1", {"t/a@1"}, 2);
	Ask(1, "t", "t/b@1");
	EXPECT_EQ("L:t/b@1@e1", Short());
}

TEST_F(SchedEvict, NotLoadedCorrectsTheTable)
{
	Engine("e1", {"t/a@1"});
	Ask(1, "t", "t/a@1");
	Short();
	Done(1, SCHED_NOT_LOADED);
	Ask(2, "t", "t/a@1");
	EXPECT_EQ("L:t/a@1@e1", Short());
}

TEST_F(SchedEvict, RefusedEvictionKeepsTheAdapterUntilAReport)
{
	Engine("e1", {"t/a@1"}, 1);
	Ask(1, "u", "u/b@1");
	EXPECT_EQ("E:t/a@1@e1", Short());
	sched_evict_result(s, now, "e1", "t/a@1", false);
	EXPECT_FALSE(Evicts(Later()));
	Engine("e1", {"t/a@1"}, 1);
	EXPECT_EQ("E:t/a@1@e1", Short());
}

TEST_F(SchedEvict, AdaptersThatAreKeptGoLast)
{
	sched_request r = Request(1, "t", "t/a@1");

	Engine("e1", {"t/a@1", "t/c@1"}, 2);
	r.pinned = true;
	sched_enqueue(s, now, &r);
	Short();
	Done(1);
	for (uint64_t id = 2; id < 40; id++) {
		Ask(id, "t", "t/c@1");
		Short();
		Done(id);
	}
	Ask(50, "u", "u/b@1");
	EXPECT_EQ("E:t/c@1@e1", Later()) << "hotter, but not to be kept";
}

TEST_F(SchedEvict, ColdEngineLosesSlotsKeepsGrantsAndRampsUp)
{
	Engine("e1", {"t/a@1"}, 4, 8, 1);
	Ask(1, "t", "t/a@1");
	EXPECT_EQ("G1@e1", Short());
	Ask(2, "t", "t/b@1");
	EXPECT_EQ("L:t/b@1@e1", Short());
	now += 1000;
	Engine("e1", {}, 4, 8, 2);
	EXPECT_EQ("L:t/b@1@e1", Short()) << "the load went with the process";
	Engine("e1", {"t/a@1"}, 4, 8, 1);
	Ask(3, "t", "t/a@1");
	now += 1000;
	EXPECT_EQ("L:t/a@1@e1", Short()) << "a late report of the old one";
	now += 250000;
	sched_load_result(s, now, "e1", "t/a@1", true);
	for (uint64_t id = 4; id < 20; id++)
		Ask(id, "t", "t/a@1");
	EXPECT_EQ("G3@e1", Short()) << "the old grant is not done";
	Done(1, SCHED_FAILED);
	EXPECT_EQ("G4@e1", Short());
	Done(3);
	EXPECT_EQ("G5@e1 G6@e1", Short());
}

TEST_F(SchedEvict, AdoptedBeforeTheFirstReport)
{
	sched_adopt_grant(s, now, 7, "t", "e1", "t/a@1");
	sched_adopt_grant(s, now, 8, "t", "e1", "t/a@1");
	sched_endpoint_takeover(s, now, "e1", now);
	Done(7);
	EXPECT_EQ(1u, Totals().running);
	now += 1000;
	Engine("e1", {"t/a@1"}, 1, 2, 1, 0, {1});
	Ask(1, "t", "t/a@1");
	Ask(2, "t", "t/a@1");
	EXPECT_EQ("G1@e1", Short()) << "the adopted one holds a seat";
	Done(8);
	EXPECT_EQ("G2@e1", Short());
}

TEST_F(SchedEvict, SlotClaimedOnALeavingEngineIsNotLoaded)
{
	Engine("e1", {"t/a@1"}, 1);
	Ask(1, "u", "u/b@1");
	EXPECT_EQ("E:t/a@1@e1", Short());
	Engine("e2", {}, 1);
	Engine("e1", {"t/a@1"}, 1, 8, 1, 0, {}, true);
	sched_evict_result(s, now, "e1", "t/a@1", true);
	EXPECT_EQ("L:u/b@1@e2", Short());
}
