#include <gtest/gtest.h>

#include "node/node_fixture.h"

extern "C" {
#include "claim/claim_table.h"
}

/*
 * A claim whose request has ended here is told as unknown soon, and not as
 * still running until this process ends.
 */
TEST(claims, one_that_nothing_here_will_end_becomes_unknown)
{
	enum {
		BY_SNAPSHOT,
		WITHOUT_LEADER
	};

	for (int how : {BY_SNAPSHOT, WITHOUT_LEADER}) {
		Cluster c(with_seed(12));
		ASSERT_TRUE(c.begin());
		struct node *n = c.instances[4]->node;
		int leader = c.leader(), other = (leader + 1) % 3;
		uint64_t known = claim_count(n->claims);
		Request *first = c.book(4, "k1"), *again;

		if (how == BY_SNAPSHOT) { /* its start comes in one */
			struct buf state = {};
			struct node *from = c.instances[(size_t)leader]->node;

			for (int voter = 0; voter < 3; voter++)
				c.cut(voter, 4, true);
			ASSERT_TRUE(c.run_until(1000000,
			    [&] { return claim_count(from->claims) > known; }));
			c.disconnect_caller(first);
			c.run_for(10000);
			node_replica_snapshot(from, &state);
			n->fx = node_effects_create();
			ASSERT_EQ(node_replica_restore(n, from->applied,
				      {state.data, state.len}),
			    0);
			node_effects_destroy(n->fx);
			n->fx = nullptr;
			buf_free(&state);
			c.heal();
		} else { /* its end finds no leader until given up */
			ASSERT_TRUE(c.run_until(1000000,
			    [&] { return claim_count(n->claims) > known; }));
			c.kill(leader);
			c.kill(other);
			c.run_for(50000000);
			c.start(leader);
			c.start(other);
			ASSERT_TRUE(c.wait_ready());
		}
		c.run_for(5000000);
		again = c.book(3, "k1");
		ASSERT_TRUE(c.wait(again));
		EXPECT_EQ(again->outcome(), "unknown") << again->answer;
		EXPECT_NE(
		    again->answer.find("outcome-unknown"), std::string::npos)
		    << how << again->answer;
		EXPECT_EQ(c.check(), "");
	}
}

/* Alike everywhere, also when the leader changes. */
TEST(claims, age_by_the_time_that_leaders_led)
{
	const uint64_t second = 1000 * 1000;
	ClusterOptions options;
	Cluster c(options);
	uint64_t began, led_ms;

	ASSERT_TRUE(c.begin());
	began = c.now;
	c.run_for(125 * second);
	ASSERT_GE(c.leader(), 0);
	c.kill(c.leader());
	c.run_for(70 * second);
	led_ms = (c.now - began) / 1000;
	for (auto &i : c.instances) {
		if (!i->alive)
			continue;
		EXPECT_GE(i->node->claims->age_ms + 75 * 1000, led_ms);
		EXPECT_LE(i->node->claims->age_ms, led_ms + 5 * 1000);
	}
}
