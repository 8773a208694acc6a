#include <algorithm>
#include <map>

#include "sched_fixture.h"

/* Shares between teams and order within them, everything loaded. */
class SchedFair : public SchedTest {
      protected:
	void
	SetUp() override
	{
		SchedTest::SetUp();
		Reset(SETTINGS_BATCH);
	}

	void
	Reset(settings_objective objective,
	    settings_charge charge = SETTINGS_CHARGE_REQUESTS)
	{
		struct sched_guards guards = sched_guards;

		Create("fair", objective, charge);
		sched_guards = guards;
		running_.clear();
		served_.clear();
		Engine("e1", {"a/x@1", "b/x@1", "c/x@1"}, 4, 4);
	}

	/* Queue n requests of a team for its adapter. */
	void
	Queue(const char *team, int n, double weight = 1.0,
	    uint32_t concurrent = 0)
	{
		std::string adapter = std::string(team) + "/x@1";
		sched_request r = Request(0, team, adapter.c_str());

		r.team_weight = weight;
		r.team_max_concurrent = concurrent;
		for (int i = 0; i < n; i++) {
			r.id = next_++;
			team_[r.id] = team;
			sched_enqueue(s, now, &r);
		}
	}

	/* Let n requests run to their end, oldest first. */
	void
	Serve(int n)
	{
		while (n > 0) {
			for (const Decision &d : Run()) {
				ASSERT_EQ(SCHED_GRANT, d.type);
				running_.push_back(d.request);
				served_[team_[d.request]]++;
			}
			if (running_.empty())
				return;
			now += 1000;
			Done(running_.front());
			running_.erase(running_.begin());
			n--;
		}
	}

	std::map<std::string, int> served_;

      private:
	uint64_t next_ = 1;
	std::map<uint64_t, std::string> team_;
	std::vector<uint64_t> running_;
};

TEST_F(SchedFair, SharesFollowWeights)
{
	struct {
		double weight_a, weight_b;
		double ratio;
	} cases[] = {{1, 1, 1}, {3, 1, 3}, {1, 2, 0.5}};

	for (settings_charge charge :
	    {SETTINGS_CHARGE_REQUESTS, SETTINGS_CHARGE_TOKENS})
		for (auto &c : cases) {
			Reset(SETTINGS_LOAD_STALL, charge);
			Queue("a", 400, c.weight_a);
			Queue("b", 400, c.weight_b);
			Serve(300);
			EXPECT_NEAR(c.ratio,
			    (double)served_["a"] / served_["b"],
			    0.15 * c.ratio);
		}
}

/* Batching by adapter may favour a team, but only within the bound. */
TEST_F(SchedFair, GapStaysWithinTheBoundAndGrowsWithoutIt)
{
	for (bool guard : {true, false}) {
		sched_guards.bound = guard;
		Reset(SETTINGS_BATCH);
		Queue("a", 400);
		Queue("b", 400);
		Serve(300);
		/* 12 requests of bound, one each on the four seats. */
		if (guard)
			EXPECT_LE(Totals().largest_gap_milli, 16000u);
		else
			EXPECT_GE(Totals().largest_gap_milli, 100000u);
	}
}

TEST_F(SchedFair, NoCreditIsHoardedWhileIdle)
{
	for (bool guard : {true, false}) {
		sched_guards.lift = guard;
		Reset(SETTINGS_LOAD_STALL);
		Queue("b", 1);
		Serve(1);
		for (int i = 0; i < 20; i++) {
			Queue("a", 100);
			Serve(100);
		}
		served_.clear();
		Queue("a", 100);
		Serve(4);
		Queue("b", 100);
		Serve(40);
		if (guard)
			EXPECT_NEAR(served_["a"], served_["b"], 10);
		else
			EXPECT_GE(served_["b"] - served_["a"], 20);
	}
}

TEST_F(SchedFair, QuietTeamIsServedAtTheNextFreeSeat)
{
	Reset(SETTINGS_LOAD_STALL);
	Queue("a", 400);
	Serve(100);
	for (int i = 0; i < 10; i++) {
		served_.clear();
		Queue("b", 1);
		Serve(6);
		EXPECT_EQ(1, served_["b"]);
		Serve(10);
	}
}

/* Long equal in rate, one asks for all at once: a seat stays for the other. */
TEST_F(SchedTest, SuddenFloodLeavesASeat)
{
	uint64_t id = 1;

	Engine("e", {"a/x", "b/x"});
	for (int i = 0; i < 120; i++, now += 500000) {
		for (const char *team : {"a", "b"}) {
			Ask(id, team, std::string(team) == "a" ? "a/x" : "b/x");
			(void)Run();
			Done(id++);
		}
	}
	for (int i = 0; i < 32; i++)
		Ask(id++, "a", "a/x");
	(void)Run();
	EXPECT_EQ(1u, Totals().free);
}

TEST_F(SchedFair, RemoteChargesCountWithinBounds)
{
	for (bool guard : {true, false}) {
		sched_guards.remote = guard;
		Reset(SETTINGS_LOAD_STALL);
		Queue("a", 200);
		Queue("b", 200);
		Serve(20);
		served_.clear();
		sched_set_remote_charge(s, 2, "a", 1000);
		Serve(20);
		EXPECT_NEAR(served_["a"], served_["b"], 4) << "a first total";
		served_.clear();
		sched_set_remote_charge(s, 2, "a", 11000);
		Serve(40);
		EXPECT_NEAR(10, served_["b"] - served_["a"], 4);
		served_.clear();
		sched_set_remote_charge(s, 2, "a", 1ULL << 50);
		Serve(100);
		if (guard)
			EXPECT_GE(served_["a"], 25) << "not starved";
		else
			EXPECT_LE(served_["a"], 5);
		served_.clear();
		sched_set_remote_charge(s, 2, "a", 5);
		Serve(20);
		EXPECT_LE(served_["a"], 20) << "a restarted owner";
	}
}

TEST_F(SchedFair, ChargesByOutcome)
{
	struct {
		settings_charge charge;
		sched_outcome outcome;
		uint32_t in, out;
		uint64_t milli;
	} cases[] = {
	    {SETTINGS_CHARGE_REQUESTS, SCHED_DELIVERED, 10, 20, 2500},
	    {SETTINGS_CHARGE_REQUESTS, SCHED_FAILED, 10, 20, 0},
	    {SETTINGS_CHARGE_REQUESTS, SCHED_CANCELLED, 10, 20, 0},
	    {SETTINGS_CHARGE_TOKENS, SCHED_DELIVERED, 10, 20, 50000},
	    {SETTINGS_CHARGE_TOKENS, SCHED_CANCELLED, 10, 5, 20000},
	    {SETTINGS_CHARGE_TOKENS, SCHED_NOT_SENT, 0, 0, 0},
	    {SETTINGS_CHARGE_TOKENS, SCHED_BUSY, 0, 0, 0},
	};

	for (auto &c : cases) {
		sched_usage u = {c.outcome, c.in, c.out, 1, 1};
		sched_team_usage team;
		sched_request r = Request(1, "a", "a/x@1");

		Reset(SETTINGS_LOAD_STALL, c.charge);
		r.kind_weight = 2.5;
		sched_enqueue(s, now, &r);
		EXPECT_EQ("G1@e1", Short());
		sched_finish_request(s, now, 1, &u);
		ASSERT_EQ(1u, sched_team_count(s));
		sched_team_at(s, 0, &team);
		EXPECT_STREQ("a", team.team);
		EXPECT_EQ(c.milli, team.charge_milli);
	}
}

/* What was not delivered costs nothing, so its team goes first again. */
TEST_F(SchedFair, RefundRestoresTheOrder)
{
	Reset(SETTINGS_LOAD_STALL);
	sched_request r = Request(1, "a", "a/x@1");
	r.kind_weight = 50.0;
	sched_enqueue(s, now, &r);
	Short();
	Done(1, SCHED_FAILED);
	Queue("a", 40);
	Queue("b", 40);
	Serve(40);
	EXPECT_NEAR(served_["a"], served_["b"], 6);
}

TEST_F(SchedFair, PrioritiesOrderATeamAndAge)
{
	sched_request r = Request(1, "a", "a/x@1");

	Engine("e1", {"a/x@1"}, 4, 1);
	r.priority = 5;
	sched_enqueue(s, now, &r);
	r.id = 2;
	r.priority = 1;
	sched_enqueue(s, now, &r);
	r.id = 3;
	r.priority = 0;
	sched_enqueue(s, now, &r);
	EXPECT_EQ("G3@e1", Short());
	Done(3);
	EXPECT_EQ("G2@e1", Short());
	for (uint64_t id = 10; id < 30; id++) {
		now += 1000000;
		r.id = id;
		sched_enqueue(s, now, &r);
		Done(id == 10 ? 2 : id - 1);
		std::string got = Short();
		if (got == "G1@e1") {
			EXPECT_GE(id, 18u) << "a head start of 2 s a step";
			return;
		}
	}
	FAIL() << "a low priority starved";
}

TEST_F(SchedFair, TeamRunsNoMoreAtOnceThanItsLimit)
{
	Queue("a", 3, 1.0, 1);
	EXPECT_EQ("G1@e1", Short());
	Queue("b", 1);
	EXPECT_EQ("G4@e1", Short());
	Done(1);
	EXPECT_EQ("G2@e1", Short());
}

/* A team whose loads fail for long gets no unbounded claim on the seats. */
TEST_F(SchedFair, CreditOfATeamThatCannotRunIsBounded)
{
	Reset(SETTINGS_LOAD_STALL);
	sched_set_permits(s, now, 0, 0);
	Ask(1000, "c", "c/none@1");
	Queue("a", 500);
	Serve(400);
	Queue("c", 200);
	served_.clear();
	Serve(100);
	EXPECT_GE(served_["a"], 25);
	EXPECT_GE(served_["c"], 50);
}
