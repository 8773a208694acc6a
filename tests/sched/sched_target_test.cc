#include <gtest/gtest.h>

#include <cmath>

#include "sched/sched_guard.h"
#include "sched_sim.h"

/*
 * Results under load against stated targets, on the simulated engines of
 * sched_sim.h. The figures are those of the model, not of a deployment.
 */

/*
 * Ten engines with 8 seats each and 8 s per request serve 10 requests per
 * second. Ten teams have 3,000 adapters with Zipf popularity. This is the
 * size of the Steinlicht site.
 *
 * load: offered requests over the capacity.
 */
static SimOptions
TenEngineOptions(double load, double zipf = 1.1)
{
	double sums[10] = {}, all = 0.0;
	SimOptions o;
	uint32_t i, k;

	for (i = 0; i < 10; i++) {
		for (k = 0; k < 300; k++)
			sums[i] += std::pow(i + 1.0 + 10.0 * k, -zipf);
		all += sums[i];
	}
	for (i = 0; i < 10; i++) {
		SimTeam t = {
		    "t" + std::to_string(i), load * 10.0 * sums[i] / all, 300};

		t.first_rank = i + 1;
		t.rank_stride = 10;
		t.zipf = zipf;
		o.teams.push_back(t);
	}
	return o;
}

static void
Print(const char *name, SimResult &r)
{
	std::vector<double> all;

	for (auto &t : r.teams)
		all.insert(all.end(), t.second.waits_s.begin(),
		    t.second.waits_s.end());
	SimTeamResult every;
	every.waits_s = all;
	printf("%-28s offered %5zu delivered %5zu refused %5zu loads %5zu "
	       "stall %.3f s (all %.3f) wait p50 %.3f p95 %.3f batch %.3f "
	       "adapters %.2f gap %.1f\n",
	    name, (size_t)r.offered, (size_t)r.delivered, (size_t)r.refused,
	    (size_t)r.loads, r.stall_s / (double)(r.delivered + 1),
	    r.stall_all_s / (double)(r.offered + 1), every.Wait(0.5),
	    every.Wait(0.95), r.batch_fill, r.adapters_per_batch,
	    (double)r.totals.largest_gap_milli / 1000.0);
}

static void
ExpectNoViolations(const SimResult &r)
{
	EXPECT_EQ(0u, r.evicted_in_use);
	EXPECT_EQ(0u, r.beyond_seats);
	EXPECT_EQ(0u, r.beyond_permits);
	EXPECT_EQ(0u, r.refused_late);
	EXPECT_EQ(0u, r.no_retry_after);
}

/* Total stall at 60% of the capacity. */
TEST(SchedTarget, StallIsAtMostHalfOfLeastLoaded)
{
	for (double zipf : {1.1, 1.2, 1.4}) {
		SimOptions o = TenEngineOptions(0.6, zipf);
		SimResult fair = SimRun(o);

		o.policy = "least-loaded";
		SimResult least = SimRun(o);
		Print("fair", fair);
		Print("least-loaded", least);
		ExpectNoViolations(fair);
		ExpectNoViolations(least);
		EXPECT_LE(fair.stall_all_s, least.stall_all_s / 2.0);
		EXPECT_LE(fair.stall_s / (double)fair.delivered,
		    least.stall_s / (double)least.delivered / 2.0);
		EXPECT_GE(fair.delivered, least.delivered);
	}
}

TEST(SchedTarget, BatchIsAtLeastThreeTenthsAboveRoundRobin)
{
	for (double zipf : {1.1, 1.2, 1.4, 1.5}) {
		SimOptions o = TenEngineOptions(0.9, zipf);

		/* The Kuuldeallikas site: twice the engines, store and load. */
		o.engines = 20;
		o.store_rate_milli = 5000;
		for (SimTeam &t : o.teams)
			t.rate *= 2.0;
		o.objective = SETTINGS_BATCH;
		o.charge = SETTINGS_CHARGE_TOKENS;
		SimResult fair = SimRun(o);
		o.policy = "round-robin";
		SimResult turn = SimRun(o);
		Print("fair", fair);
		Print("round-robin", turn);
		ExpectNoViolations(fair);
		ExpectNoViolations(turn);
		printf("  packed %.3f\n", fair.packed_batch_fill);
		EXPECT_GE(fair.batch_fill, 1.3 * turn.batch_fill);
		EXPECT_GE(fair.batch_fill, 0.8 * fair.packed_batch_fill);
	}
}

/*
 * Of ten teams with equal rates one rises to ten times its share. This must
 * cost the others no deliveries and little waiting time.
 */
TEST(SchedTarget, FloodDoesNotHarmOtherTeams)
{
	for (settings_charge charge :
	    {SETTINGS_CHARGE_REQUESTS, SETTINGS_CHARGE_TOKENS})
		for (const char *policy : {"fair", "fifo"}) {
			SimOptions o = TenEngineOptions(0.5, 1.4);
			for (SimTeam &t : o.teams)
				t.rate = 0.5;
			o.end_s = 1260.0;
			o.policy = policy;
			o.charge = charge;
			SimResult calm = SimRun(o);
			o.teams[4].rate *= 10.0;
			SimResult flood = SimRun(o);
			Print((std::string(policy) + " calm").c_str(), calm);
			Print((std::string(policy) + " flood").c_str(), flood);
			ExpectNoViolations(flood);
			for (auto &t : o.teams) {
				SimTeamResult &a = calm.teams[t.name];
				SimTeamResult &b = flood.teams[t.name];

				printf("  %s delivered %zu -> %zu, wait p95 "
				       "%.3f -> %.3f s\n",
				    t.name.c_str(), (size_t)a.delivered,
				    (size_t)b.delivered, a.Wait(0.95),
				    b.Wait(0.95));
				if (t.name == "t4" || o.policy != "fair")
					continue;
				EXPECT_GE(b.delivered, 0.95 * a.delivered);
				EXPECT_LE(b.Wait(0.95), 2.0 * a.Wait(0.95));
			}
		}
}

/*
 * Of two teams one asks for two and a half times the capacity of all seats.
 * This must cost the other one no deliveries.
 */
TEST(SchedTarget, FloodOfOneOfTwoTeamsCostsTheOtherNoDelivery)
{
	for (double service_s : {8.0, 2.0}) {
		SimOptions o;

		o.service_s = service_s;
		o.end_s = 60.0 + 30.0 * service_s;
		o.deadline_s = 10.0 + service_s;
		o.store_rate_milli = service_s < 4.0 ? 8000 : 2500;
		for (uint32_t i = 0; i < 2; i++) {
			SimTeam t = {
			    "t" + std::to_string(i), 20.0 / service_s, 1500};

			t.zipf = 1.4;
			t.first_rank = i + 1;
			t.rank_stride = 2;
			o.teams.push_back(t);
		}
		SimResult calm = SimRun(o);
		o.teams[0].rate *= 10.0;
		SimResult flood = SimRun(o);
		Print("two teams calm", calm);
		Print("two teams flood", flood);
		ExpectNoViolations(flood);
		SimTeamResult &a = calm.teams["t1"], &b = flood.teams["t1"];
		printf("  t1 delivered %zu -> %zu, wait p95 %.3f -> %.3f s\n",
		    (size_t)a.delivered, (size_t)b.delivered, a.Wait(0.95),
		    b.Wait(0.95));
		EXPECT_GE(b.delivered, 0.95 * a.delivered);
	}
}

TEST(SchedTarget, GoodputHoldsUnderOverload)
{
	for (double zipf : {1.2, 1.4}) {
		SimOptions o = TenEngineOptions(1.0, zipf);
		SimResult full = SimRun(o);

		o = TenEngineOptions(1.5, zipf);
		SimResult over = SimRun(o);
		Print("100%", full);
		Print("150%", over);
		ExpectNoViolations(over);
		EXPECT_GE(over.Goodput(), 0.95 * full.Goodput());
	}
}

/* Two teams with short calls, 80 per second on all seats. */
static SimOptions
ShortCallOptions(double load, double zipf)
{
	SimOptions o;

	o.engines = 12;
	o.service_s = 1.2;
	o.deadline_s = 8.0;
	o.store_rate_milli = 6000;
	o.warm_up_s = 20.0;
	o.end_s = 80.0;
	o.objective = SETTINGS_BATCH;
	o.charge = SETTINGS_CHARGE_TOKENS;
	for (uint32_t i = 0; i < 2; i++) {
		SimTeam t = {"t" + std::to_string(i), 40.0 * load, 1500};

		t.zipf = zipf;
		t.first_rank = i + 1;
		t.rank_stride = 2;
		o.teams.push_back(t);
	}
	return o;
}

static void
ExpectImmediateRefusals(const char *name, const SimOptions &o, double share)
{
	SimResult r = SimRun(o);
	std::vector<double> all;

	Print(name, r);
	printf("  at once %zu of %zu, done in time %zu\n",
	    (size_t)r.refused_immediately, (size_t)r.refused,
	    (size_t)r.delivered_in_window);
	ExpectNoViolations(r);
	EXPECT_GE(r.refused_immediately, share * r.refused);
	for (auto &t : r.teams)
		EXPECT_LE(t.second.Wait(0.95), 0.9 * o.deadline_s);
}

TEST(SchedTarget, RefusalsComeAtOnce)
{
	for (double load : {1.0, 1.1, 1.5}) {
		for (double zipf : {1.2, 1.4})
			ExpectImmediateRefusals(
			    "steinlicht", TenEngineOptions(load, zipf), 0.93);
		ExpectImmediateRefusals(
		    "short calls", ShortCallOptions(load, 2.2), 0.95);
	}
}

/* A caller that retries after the retry time is mostly served. */
TEST(SchedTarget, RequestsAreMostlyServedAfterTheRetryTime)
{
	SimOptions o = ShortCallOptions(0.75, 1.5);

	o.callers_retry = true;
	SimResult r = SimRun(o);
	Print("callers come back", r);
	printf("  served of those back %zu of %zu\n",
	    (size_t)r.retried_delivered, (size_t)r.retried);
	ExpectNoViolations(r);
	EXPECT_GT(r.retried, 0u);
	EXPECT_GE(r.retried_delivered, 0.5 * r.retried);
}

/*
 * At full load, batches of other adapters must not keep a request from getting
 * a seat before its deadline.
 */
TEST(SchedTarget, BatchingStarvesNoRequest)
{
	SimOptions o = ShortCallOptions(1.0, 2.2);

	for (o.seed = 3; o.seed < 6; o.seed++) {
		SimResult r = SimRun(o);

		Print("short calls", r);
		ExpectNoViolations(r);
		EXPECT_EQ(0u, r.refused);
	}
}

/* At half load, the running requests are gathered in full batches. */
TEST(SchedTarget, BatchesAreGatheredWhenSeatsAreEmpty)
{
	for (uint64_t seed = 1; seed < 4; seed++) {
		SimOptions o = ShortCallOptions(0.5, 2.2);

		o.seed = seed;
		SimResult fair = SimRun(o);
		o.policy = "round-robin";
		SimResult turn = SimRun(o);
		Print("half empty fair", fair);
		Print("half empty round-robin", turn);
		printf("  packed %.3f\n", fair.packed_batch_fill);
		ExpectNoViolations(fair);
		EXPECT_GE(fair.batch_fill, 1.3 * turn.batch_fill);
	}
}

TEST(SchedTarget, PopularityFlipRecovers)
{
	SimOptions o = TenEngineOptions(0.6, 1.4);

	o.popularity_flip_s = 120.0;
	o.end_s = 420.0;
	SimResult r = SimRun(o);
	Print("flip", r);
	for (double stall : r.stall_after_flip_s)
		printf(" %.3f", stall);
	printf(" s mean stall of each 30 s after the flip\n");
	ExpectNoViolations(r);
	EXPECT_LE(r.stall_after_flip_s[4], 0.5);
}

/* A cold start, false reports and failing loads violate no invariant. */
TEST(SchedTarget, FaultsBreakNoInvariant)
{
	SimOptions o = TenEngineOptions(0.6, 1.4);
	SimResult calm = SimRun(o);

	Print("calm", calm);
	o.restart_s = 150.0;
	SimResult cold = SimRun(o);
	Print("cold engine", cold);
	ExpectNoViolations(cold);
	EXPECT_GE(cold.delivered + 10, calm.delivered);
	o.restart_s = 0.0;
	o.false_reports = true;
	SimResult false_report = SimRun(o);
	Print("false reports", false_report);
	ExpectNoViolations(false_report);
	EXPECT_GE(false_report.delivered, 0.95 * calm.delivered);
	o.false_reports = false;
	o.load_failures = 0.2;
	SimResult failing = SimRun(o);
	Print("a fifth of loads fail", failing);
	ExpectNoViolations(failing);
	EXPECT_GE(failing.delivered, 0.95 * calm.delivered);
}

TEST(SchedTarget, PrioritiesStarveNoRequest)
{
	SimOptions o = TenEngineOptions(0.9, 1.4);

	for (SimTeam &t : o.teams)
		t.priority_high_percent = 80;
	SimResult r = SimRun(o);
	Print("priorities", r);
	ExpectNoViolations(r);
	EXPECT_GE(r.delivered, 0.9 * r.offered);
}

/* The simulation's checks detect violations when a guard is off. */
TEST(SchedTarget, CheckersFailWithoutTheirGuards)
{
	struct sched_guards all = sched_guards;
	SimOptions o = TenEngineOptions(0.9, 1.1);

	o.end_s = 120.0;
	sched_guards.pins = sched_guards.running = false;
	EXPECT_GT(SimRun(o).evicted_in_use, 0u);
	sched_guards = all;
	sched_guards.permits = false;
	EXPECT_GT(SimRun(o).beyond_permits, 0u);
	sched_guards = all;
	ExpectNoViolations(SimRun(o));
}

TEST(SchedTarget, SameSeedSameDecisions)
{
	SimOptions o = TenEngineOptions(0.9, 1.1);

	o.end_s = 120.0;
	SimResult a = SimRun(o), b = SimRun(o);
	EXPECT_EQ(a.delivered, b.delivered);
	EXPECT_EQ(a.loads, b.loads);
	EXPECT_EQ(a.stall_s, b.stall_s);
}
