#include <gtest/gtest.h>

#include "cluster/cluster.h"

extern "C" {
#include "claim/claim_table.h"
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
