#include <gtest/gtest.h>

#include <cmath>

#include "sched_sim.h"

/*
 * Outcomes under load against stated targets, on the stand-in of engines in
 * sched_sim.h. The figures are those of the model, not of a deployment.
 */

/*
 * 10 engines of 8 seats and 8 s a request carry 10 requests a second; Zipf
 * popularity over 3,000 adapters of 10 teams.
 */
static SimOptions
Steinlicht(double load, double zipf = 1.1)
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

		t.first = i + 1;
		t.stride = 10;
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
	    every.Wait(0.95), r.batch, r.adapters_a_batch,
	    (double)r.totals.largest_gap_milli / 1000.0);
}

static void
ExpectSound(const SimResult &r)
{
	EXPECT_EQ(0u, r.evicted_in_use);
	EXPECT_EQ(0u, r.beyond_seats);
	EXPECT_EQ(0u, r.beyond_permits);
	EXPECT_EQ(0u, r.refused_late);
	EXPECT_EQ(0u, r.no_retry_after);
}

TEST(SchedTarget, PoliciesSideBySide)
{
	for (double zipf : {1.1, 1.2, 1.4})
		for (double load : {0.6, 0.9})
			for (settings_objective objective :
			    {SETTINGS_LOAD_STALL, SETTINGS_BATCH})
				for (const char *policy :
				    {"fair", "least-loaded", "round-robin"}) {
					SimOptions o = Steinlicht(load, zipf);
					o.policy = policy;
					o.objective = objective;
					if (objective == SETTINGS_BATCH &&
					    policy[0] == 'l')
						continue;
					if (objective == SETTINGS_LOAD_STALL &&
					    policy[0] == 'r')
						continue;
					o.end_s = 660;
					SimResult r = SimRun(o);
					std::string name = policy;
					name += " z" +
					    std::to_string(zipf).substr(0, 3);
					name += load < 0.7 ? " 60%" : " 90%";
					name += objective == SETTINGS_BATCH
					    ? " batch"
					    : " stall";
					Print(name.c_str(), r);
					ExpectSound(r);
				}
}
