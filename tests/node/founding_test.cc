#include <gtest/gtest.h>

#include "cluster/cluster.h"

static ClusterOptions
with_seed(uint64_t seed)
{
	ClusterOptions options;

	options.seed = seed;
	return options;
}

/*
 * Lets instance 0 found alone: it receives messages of both other voters, which
 * receive none of each other.
 */
static void
found_while_partitioned(Cluster *c)
{
	c->cut(1, 2, true);
	c->cut(2, 1, true);
	c->run_for(3000000);
	EXPECT_FALSE(raft_is_empty(c->instances[0]->node->raft));
	EXPECT_TRUE(raft_is_empty(c->instances[1]->node->raft));
}

/* A founder that counted as not fresh would never get a quorum. */
TEST(founding, the_other_voters_join_the_first_founder)
{
	Cluster c(with_seed(4));

	found_while_partitioned(&c);
	c.heal();
	ASSERT_TRUE(c.begin());
	EXPECT_EQ(c.check(), "");
}

TEST(founding, the_other_voters_join_a_restarted_founder)
{
	Cluster c(with_seed(5));

	found_while_partitioned(&c);
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

/* Instances without a log still hold accepted state, which must not be lost. */
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

TEST(founding, a_new_data_folder_does_not_join_as_a_founding_voter)
{
	Cluster c(with_seed(6));

	found_while_partitioned(&c);
	c.kill(1);
	c.lose_disk(1);
	c.start(1);
	c.heal();
	c.run_for(5000000);
	EXPECT_TRUE(raft_is_empty(c.instances[1]->node->raft));
	EXPECT_TRUE(raft_is_empty(c.instances[2]->node->raft));
}
