#include <gtest/gtest.h>

#include "node/node_fixture.h"

/*
 * The owner has lost a grant that keepalives list by number alone. Without the
 * pin in full it would not count the run and could evict its adapter.
 */
TEST(keepalive, an_owner_that_lost_a_grant_gets_it_in_full)
{
	Cluster c(with_seed(33));
	ASSERT_TRUE(c.begin());
	for (auto &e : c.endpoints)
		e->step_us = 400000;
	Request *r = c.complete(0, "a1", true, 40);
	struct node *owner = nullptr;

	ASSERT_TRUE(c.run_until(5000000, [&] { return r->status == 200; }));
	c.run_for(3000000); /* listed by number alone from now on */
	for (auto &in : c.instances)
		if (map_count(in->node->grants) == 1)
			owner = in->node;
	ASSERT_NE(owner, nullptr);
	auto *g = (struct node_grant *)map_at(owner->grants, 0);
	g->keepalive_us = 0;
	EXPECT_TRUE(c.run_until(
	    1000000, [&] { return map_count(owner->grants) == 0; }));
	EXPECT_TRUE(c.run_until(
	    1000000, [&] { return map_count(owner->grants) == 1; }));
	ASSERT_TRUE(c.wait(r, 30000000));
	EXPECT_EQ(c.check(), "");
}

/*
 * Keepalives list a queued ask by its number, so it is not sent in full again.
 * When the owner has lost the ask, it must request it.
 */
TEST(keepalive, a_queued_ask_is_sent_once_and_again_when_it_is_lost)
{
	Cluster c(with_seed(34));
	ASSERT_TRUE(c.begin());
	auto asks = [&] {
		uint64_t sum = 0;
		for (auto &in : c.instances)
			sum += in->node->counters.asks;
		return sum;
	};
	for (auto &e : c.endpoints)
		e->step_us = 60000000; /* runs that occupy all seats */
	std::vector<Request *> running;
	for (int i = 0; i < 200; i++)
		running.push_back(c.complete(0, "a1", true, 40));
	c.run_for(1000000);
	uint64_t before = asks();
	c.run_for(3000000);
	EXPECT_EQ(asks(), before);

	struct node_grant *lost = nullptr;
	struct node *owner = nullptr;
	for (auto &in : c.instances)
		for (size_t i = 0; i < map_count(in->node->grants); i++) {
			auto *g =
			    (struct node_grant *)map_at(in->node->grants, i);
			if (g->endpoint == nullptr) {
				lost = g;
				owner = in->node;
			}
		}
	ASSERT_NE(lost, nullptr);
	lost->keepalive_us = 0; /* the owner drops it at its next scan */
	before = asks();
	EXPECT_TRUE(c.run_until(1000000, [&] { return asks() > before; }));
	EXPECT_GT(map_count(owner->grants), 0u);
}

/* The message of a grant is lost; the request must not wait for a resend. */
TEST(keepalive, a_lost_grant_is_sent_again_after_the_next_one)
{
	Cluster c(with_seed(12));
	ASSERT_TRUE(c.begin());
	uint32_t owner = first_owner(c, 0, "t1/a1@1");

	ASSERT_NE(owner, 1u) << "take another seed";
	Request *warm = c.complete(0, "a1");
	ASSERT_TRUE(c.wait(warm));
	c.cut((int)owner - 1, 0, true);
	Request *r = c.complete(0, "a1");
	c.run_for(100000);
	c.cut((int)owner - 1, 0, false);
	ASSERT_TRUE(c.wait(r, 2500000));
	EXPECT_EQ(r->status, 200);
}
