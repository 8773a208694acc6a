#include <gtest/gtest.h>

#include "node/node_fixture.h"

TEST(addresses, the_owner_that_would_be_asked_first_is_listed_first)
{
	Cluster c(with_seed(11));
	ASSERT_TRUE(c.begin());
	struct node *n = c.instances[0]->node;
	uint32_t full = first_owner(c, 0, "t1/a0@1");

	for (int i = 0; i < 12; i++) {
		std::string name = "a" + std::to_string(i);
		for (int k = 0; k < 40; k++)
			node_spread_count_ask(
			    node_peer_get(n, full), "t1/a0@1");
		Request *r = c.send(
		    0, "GET", "/v1/addresses?team=t1&adapter=" + name, "", "");
		uint32_t owner = first_owner(c, 0, "t1/" + name + "@1");

		ASSERT_TRUE(c.wait(r));
		EXPECT_NE(owner, full);
		EXPECT_EQ(r->answer.find("{\"addresses\": [\"" +
			      c.instances[owner - 1]->address),
		    0u)
		    << name << " " << r->answer;
	}
	Request *unknown =
	    c.send(0, "GET", "/v1/addresses?team=nobody&adapter=a1", "", "");
	ASSERT_TRUE(c.wait(unknown));
	EXPECT_EQ(unknown->status, 200);
}

TEST(drain, an_instance_serves_until_its_address_has_expired)
{
	Cluster c(with_seed(7));
	ASSERT_TRUE(c.begin());
	int leaver = c.leader(), asked = (leaver + 1) % 5;
	Instance &in = *c.instances[leaver];
	uint64_t lifetime = in.settings.address_lifetime_ms * 1000ULL;
	uint64_t listed = c.now, ended;

	c.send(leaver, "POST", "/v1/drain", "op", "");
	while (!in.exited && c.now < listed + 60000000) {
		Request *r = c.send(asked, "GET", "/v1/addresses", "", "");

		c.wait(r, 1000000);
		if (r->answer.find("\"" + in.address + ":80\"") !=
		    std::string::npos)
			listed = c.now;
		c.run_for(5000);
	}
	ended = c.now;
	EXPECT_TRUE(in.exited);
	EXPECT_GE(ended, listed + lifetime);
	EXPECT_EQ(c.check(), "");
}

TEST(drain, a_dead_entrys_grant_of_a_moved_endpoint_does_not_delay_exit)
{
	Cluster c(with_seed(8));
	ASSERT_TRUE(c.begin());
	int entry = 3, owner = -1;

	c.complete(entry, "a1", true, 400);
	ASSERT_TRUE(c.run_until(5000000, [&] {
		for (auto &e : c.endpoints)
			if (!e->runs.empty())
				owner = c.owner_of(e->id);
		return owner >= 0;
	}));
	ASSERT_NE(owner, entry) << "use another seed";
	c.kill(entry);
	c.run_for(500000);
	/* The endpoints move before the entry is known to be down. */
	c.send(owner, "POST", "/v1/drain", "op", "");
	EXPECT_TRUE(
	    c.run_until(15000000, [&] { return c.instances[owner]->exited; }));
	EXPECT_EQ(c.check(), "");
}

/*
 * No report can show that the adapter has no run, because it is never idle. The
 * pins must be released by cancelling the runs, or they would stay for ever.
 */
TEST(owner, pins_of_a_dead_entry_are_released_while_its_adapter_is_busy)
{
	Cluster c(with_seed(6));
	ASSERT_TRUE(c.begin());
	Request *probe = nullptr;
	int owner = -1, entry;
	auto keep_busy = [&](uint64_t us) {
		for (uint64_t end = c.now + us; c.now < end;) {
			(void)c.complete(owner, "a1", false, 20);
			c.run_for(100000);
		}
	};
	auto orphans = [&] {
		struct node *n = c.instances[(size_t)owner]->node;
		size_t count = 0;

		for (size_t i = 0; i < map_count(n->grants); i++)
			count += ((struct node_grant *)map_at(n->grants, i))
				     ->orphaned_us != 0;
		return count;
	};

	/* Find the owner of the adapter's engine, then use another entry. */
	probe = c.complete(0, "a1", true, 400);
	ASSERT_TRUE(c.run_until(5000000, [&] {
		for (auto &e : c.endpoints)
			if (!e->runs.empty())
				owner = c.owner_of(e->id);
		return owner >= 0;
	}));
	c.disconnect_caller(probe);
	entry = owner == 4 ? 3 : 4;
	(void)c.complete(entry, "a1", true, 400);
	keep_busy(500000);
	c.kill(entry);
	keep_busy(4000000);
	EXPECT_GT(orphans(), 0u);
	keep_busy(4000000);
	EXPECT_EQ(orphans(), 0u);
	EXPECT_EQ(c.check(), "");
}
