#include <gtest/gtest.h>

#include "fleet.h"

/*
 * The recovery of a fleet whose instances all lose power at the same time, and
 * get it back 1.2 s later.
 */

static const uint64_t kOffMs = 1200, kStepMs = 25, kRunMs = 9000;

/* When the leader that is elected first ends, never to return. */
enum LeaderEnds {
	NEVER,
	WHEN_ELECTED,
	WHEN_MEMBERS_CHANGED
};

struct PowerCase {
	const char *name;
	int entries;
	uint64_t spread_ms; /* the instances start over this time */
	int absent; /* an instance that does not start; -1: none */
	LeaderEnds leader_ends;
	bool slow; /* processor time is simulated */
	/* Bounds, from the election of the leader that stays. */
	uint64_t first_order_ms, most_served_ms;
};

static const PowerCase cases[] = {
    {"small", 23, 0, -1, NEVER, false, 500, 500},
    {"large", 85, 0, -1, NEVER, false, 500, 500},
    {"large_started_one_by_one", 85, 600, -1, NEVER, false, 500, 500},
    {"of_300", 295, 400, -1, NEVER, false, 700, 1000},
    {"large_slow", 85, 600, -1, NEVER, true, 600, 500},
    {"of_300_slow", 295, 400, -1, NEVER, true, 800, 1000},
    /* What is absent may hold a lease of before for 2,400 ms. */
    {"an_entry_stays_away", 85, 400, 50, NEVER, false, 2700, 1500},
    {"a_core_stays_away", 85, 400, 2, NEVER, false, 2700, 1500},
    {"the_leader_ends", 85, 200, -1, WHEN_ELECTED, false, 2700, 1500},
    {"the_leader_ends_halfway", 85, 200, -1, WHEN_MEMBERS_CHANGED, false, 2700,
	1500},
};

class Power : public ::testing::TestWithParam<PowerCase> {
      public:
	Fleet::Options options;
	std::unique_ptr<Fleet> fleet;
	uint64_t on_us = 0, elected_us = 0, first_order_us = 0;
	int ended = -1; /* the first leader, where it ends */

	void
	bring_up()
	{
		options.entries = GetParam().entries;
		options.model_requests_per_s = 200;
		fleet = std::make_unique<Fleet>(options);
		if (GetParam().slow) {
			fleet->sim.core_event_us = 200;
			fleet->sim.entry_event_us = 600;
		}
		ASSERT_TRUE(fleet->bring_up());
		fleet->run_traffic(4000);
	}
	void
	lose_power()
	{
		const PowerCase &c = GetParam();
		size_t n = fleet->sim.instances.size();

		for (size_t i = 0; i < n; i++) {
			fleet->sim.kill((int)i);
			fleet->sim.instances[i]->event_counts.clear();
		}
		fleet->sim.founding_allowed = false;
		fleet->sim.run_for_ms(kOffMs);
		on_us = fleet->sim.now_us;
		for (size_t i = 0; i < n; i++)
			if ((int)i != c.absent)
				fleet->sim.schedule(
				    on_us + i * 7919 % n * c.spread_ms * MS / n,
				    [this, i] { fleet->sim.start((int)i); });
		fleet->on_order_received = [this] {
			if (first_order_us == 0)
				first_order_us = fleet->sim.now_us;
		};
	}
	/* Whether the leader has applied a change since power is back. */
	bool
	has_changed_members(int leader) const
	{
		/* Nobody was removed before, so that no removal is replayed. */
		return fleet->sim.instances[(size_t)leader]
			   ->event_counts["member-down"] > 0;
	}
	void
	watch_leader()
	{
		LeaderEnds ends = GetParam().leader_ends;
		int leader = fleet->sim.leader();

		if (leader < 0 || elected_us != 0)
			return;
		if (ended >= 0 || ends == NEVER) {
			elected_us = fleet->sim.now_us;
			return;
		}
		if (ends == WHEN_MEMBERS_CHANGED &&
		    !has_changed_members(leader))
			return;
		ended = leader;
		fleet->sim.kill(leader);
	}
	/* The share of the requests of a time span that were served. */
	double
	served(uint64_t from_us, uint64_t to_us) const
	{
		int all = 0, good = 0;

		for (auto &r : fleet->requests) {
			const Fleet::Request &q = r.second;

			if (!q.is_model || q.sent_us < from_us ||
			    q.sent_us >= to_us)
				continue;
			all++;
			good += q.status == 200;
		}
		return all == 0 ? 0 : (double)good / all;
	}
};

/*
 * Guards against: an epoch for each member that joins again, a wait for leases
 * or promises of processes that have ended, and a first order or most requests
 * that wait for these. Entries that have lost power answer no requests, so
 * only those are counted that arrive after the start.
 */
TEST_P(Power, comes_back_after_all_instances_lost_it)
{
	const PowerCase &c = GetParam();

	bring_up();
	lose_power();
	for (uint64_t ms = 0; ms < kRunMs; ms += kStepMs) {
		fleet->run_traffic(kStepMs);
		watch_leader();
	}
	ASSERT_NE(elected_us, 0U);
	ASSERT_NE(first_order_us, 0U);
	uint64_t end_us = fleet->sim.now_us - 1500 * MS;
	uint64_t served_us = end_us;
	while (
	    served_us > on_us && served(served_us - 250 * MS, end_us) >= 0.95)
		served_us -= 50 * MS;
	printf("%s: leader %llu ms after power; after it, the first order %lld "
	       "ms, 0.95 of the requests %lld ms\n",
	    c.name, (unsigned long long)((elected_us - on_us) / MS),
	    (long long)(first_order_us - elected_us) / (long long)MS,
	    (long long)(served_us - elected_us) / (long long)MS);
	EXPECT_LE(first_order_us, elected_us + c.first_order_ms * MS);
	EXPECT_LE(served_us, elected_us + c.most_served_ms * MS);
	EXPECT_EQ(fleet->lower_fence_orders, 0);
	EXPECT_EQ(fleet->overlapping_holders, 0);
	for (auto &e : fleet->engines)
		EXPECT_FALSE(e.crashed) << e.id;
}

INSTANTIATE_TEST_SUITE_P(Fleets, Power, ::testing::ValuesIn(cases),
    [](const auto &info) { return std::string(info.param.name); });
