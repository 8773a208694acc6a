#include <gtest/gtest.h>

#include "cluster/cluster.h"

static ClusterOptions
with_seed(uint64_t seed)
{
	ClusterOptions options;

	options.seed = seed;
	return options;
}

/* Instance 0 hears both other voters, who do not hear each other. */
static void
found_alone(Cluster *c)
{
	c->cut(1, 2, true);
	c->cut(2, 1, true);
	c->run_for(3000000);
	EXPECT_FALSE(raft_is_empty(c->instances[0]->node->raft));
	EXPECT_TRUE(raft_is_empty(c->instances[1]->node->raft));
}

TEST(founding, one_that_founds_first_is_joined_by_the_others)
{
	Cluster c(with_seed(4));

	found_alone(&c);
	c.heal();
	ASSERT_TRUE(c.begin());
	EXPECT_EQ(c.check(), "");
}

TEST(founding, a_founder_that_restarts_is_joined_by_the_others)
{
	Cluster c(with_seed(5));

	found_alone(&c);
	c.kill(0);
	c.run_for(NODE_HELLO_VALID_US + NODE_HELLO_US);
	c.cut(1, 2, false);
	c.cut(2, 1, false);
	c.run_for(3000000);
	EXPECT_TRUE(raft_is_empty(c.instances[1]->node->raft));
	c.start(0);
	ASSERT_TRUE(c.begin());
	EXPECT_EQ(c.check(), "");
}

/* Those without a log still hold what was accepted. */
TEST(founding, no_second_cluster_begins_when_all_disks_are_lost)
{
	Cluster c(with_seed(7));

	ASSERT_TRUE(c.begin());
	for (int i = 0; i < 3; i++) {
		c.kill(i);
		c.lose_disk(i);
	}
	for (int i = 0; i < 3; i++)
		c.start(i);
	c.run_for(5000000);
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(raft_is_empty(c.instances[i]->node->raft)) << i;
}

TEST(founding, another_data_folder_does_not_join_as_the_one_founded_with)
{
	Cluster c(with_seed(6));

	found_alone(&c);
	c.kill(1);
	c.lose_disk(1);
	c.start(1);
	c.heal();
	c.run_for(5000000);
	EXPECT_TRUE(raft_is_empty(c.instances[1]->node->raft));
	EXPECT_TRUE(raft_is_empty(c.instances[2]->node->raft));
}
