#include <gtest/gtest.h>

#include "node/node_fixture.h"

extern "C" {
#include "claim/claim_table.h"
}

/*
 * A claim whose request has ended without an end in the log: a resend must get
 * the outcome "unknown", instead of "still running" until this process ends.
 * This happens when the claim's start arrives in a snapshot after the request
 * has ended, or when the proposal of its end expires without a leader.
 */
TEST(claims, one_that_no_request_ends_becomes_unknown)
{
	enum {
		BY_SNAPSHOT,
		WITHOUT_LEADER
	};

	for (int cause : {BY_SNAPSHOT, WITHOUT_LEADER}) {
		Cluster c(with_seed(12));
		ASSERT_TRUE(c.begin());
		struct node *n = c.instances[4]->node;
		int leader = c.leader(), other = (leader + 1) % 3;
		uint64_t known = claim_count(n->claims);
		Request *first = c.book(4, "k1"), *again;

		if (cause == BY_SNAPSHOT) { /* the start is in a snapshot */
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
		} else { /* the proposal of the end expires */
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
		    << cause << again->answer;
		EXPECT_EQ(c.check(), "");
	}
}

/* Claims must expire alike on all instances, also across leaders. */
TEST(claims, age_by_the_time_under_leaders)
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
