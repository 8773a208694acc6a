#include <gtest/gtest.h>

#include "cluster/cluster.h"

/* The teams in an instance's next summary. */
static std::vector<std::string>
next_usage(struct node *n)
{
	Wire__TeamUsage *usage, **list;
	size_t i, count = node_usage_fill(n, &usage, &list);
	std::vector<std::string> out;

	for (i = 0; i < count; i++)
		out.emplace_back(list[i]->team);
	free(usage);
	free(list);
	return out;
}

static uint64_t
charge_of(const struct node *n, const std::string &team)
{
	struct sched_team_usage usage;

	for (size_t i = 0; i < sched_team_count(n->sched); i++) {
		sched_team_at(n->sched, i, &usage);
		if (usage.team == team)
			return usage.charge_milli;
	}
	return 0;
}

TEST(usage, a_summary_names_the_most_unsent_teams_first_and_all_in_rotation)
{
	static const int kTeams = 60;
	Cluster c((ClusterOptions()));
	ASSERT_TRUE(c.begin());
	std::set<std::string> named;
	struct node *n = nullptr;

	ASSERT_TRUE(c.wait(c.complete(0, "a1")));
	c.run_for(10000);
	for (auto &in : c.instances)
		if (charge_of(in->node, "t1") > 0)
			n = in->node;
	ASSERT_NE(n, nullptr);
	for (int i = 0; i < kTeams; i++) /* adds the team to the scheduler */
		sched_set_remote_charge(
		    n->sched, 99, ("x" + std::to_string(i)).c_str(), 1);
	EXPECT_LT(next_usage(n).size(), (size_t)kTeams);
	/* Each team is in rotation once, whatever else is sent. */
	for (size_t i = 0; i < sched_team_count(n->sched); i++)
		for (auto &team : next_usage(n))
			named.insert(team);
	EXPECT_EQ(named.size(), sched_team_count(n->sched));

	uint64_t before = charge_of(n, "t1");
	ASSERT_TRUE(c.wait(c.complete(0, "a1")));
	c.run_for(10000);
	ASSERT_GT(charge_of(n, "t1"), before);
	auto usage = next_usage(n);
	EXPECT_TRUE(usage[0] == "t1" || usage[1] == "t1") << usage[0];
	EXPECT_EQ(c.check(), "");
}
