#include <gtest/gtest.h>

#include "node/node_fixture.h"

TEST(spread, a_hot_adapter_overflows_to_other_owners)
{
	Cluster c(with_seed(7));
	ASSERT_TRUE(c.begin());
	std::set<int> owners;

	for (int i = 0; i < 60; i++) {
		(void)c.complete(i % 5, "a1", true, 100);
		c.run_for(50000);
		for (auto &e : c.endpoints)
			if (!e->runs.empty())
				owners.insert(c.owner_of(e->id));
	}
	EXPECT_GE(owners.size(), 2u);
	EXPECT_EQ(c.check(), "");
}

/*
 * Requests of one team beyond its share must not move other teams' requests
 * from the home of their adapter.
 */
TEST(spread, overload_by_a_team_moves_only_its_own_requests)
{
	Cluster c(with_seed(7));
	ASSERT_TRUE(c.begin());
	auto first = [&](const std::string &key) {
		return first_owner(c, 0, key);
	};
	uint32_t home = first("t1/a1@1");
	std::string other_key = "t2/a0@1";

	for (int i = 1; i < 50 && first(other_key) != home; i++)
		other_key = "t2/a" + std::to_string(i) + "@1";
	ASSERT_EQ(first(other_key), home);
	for (int i = 0; i < 100 && first("t1/a1@1") == home; i++) {
		(void)c.complete(0, "a1", true, 400);
		c.run_for(20000);
	}
	EXPECT_NE(first("t1/a1@1"), home);
	EXPECT_EQ(first(other_key), home);
	EXPECT_EQ(c.check(), "");
}

TEST(spread, a_team_load_is_the_lesser_of_its_own_and_the_owners_load)
{
	Cluster c(with_seed(7));
	ASSERT_TRUE(c.begin());
	struct node *n = c.instances[0]->node;
	uint32_t home = first_owner(c, 0, "t1/a1@1");
	struct node_peer *peer = node_peer_get(n, home);
	/* The team is far beyond its share, but the owner has free seats. */
	(void)map_set(peer->team_loads, "t1", 2, (void *)(uintptr_t)5000);
	EXPECT_EQ(first_owner(c, 0, "t1/a1@1"), home);
	/* Asks since the owner's last summary count, too. */
	(void)map_set(peer->team_loads, "t1", 2, (void *)(uintptr_t)1);
	for (uint32_t i = 0; i < 2 * peer->seats; i++)
		node_spread_count_ask(peer, "t1/a1@1");
	EXPECT_NE(first_owner(c, 0, "t1/a1@1"), home);
}

TEST(spread, a_rarely_used_adapter_is_loaded_at_its_home_only)
{
	Cluster c(with_seed(8));
	ASSERT_TRUE(c.begin());
	size_t loaded = 0;

	for (int i = 0; i < 20; i++) {
		Request *r = c.complete(i % 5, "a1", false, 4);

		ASSERT_TRUE(c.wait(r));
		EXPECT_EQ(r->status, 200);
	}
	for (auto &e : c.endpoints)
		loaded += e->slots.count("t1/a1@1");
	EXPECT_EQ(loaded, 1u);
}

/*
 * The adapter is loaded at another owner than its home. The request is sent
 * there, or redirected by its home when the entry does not know of it.
 */
TEST(spread, a_request_goes_to_the_owner_that_has_the_adapter_loaded)
{
	for (bool entry_knows : {true, false}) {
		Cluster c(with_seed(8));
		ASSERT_TRUE(c.begin());
		struct node *n = c.instances[0]->node;
		struct node_peer *home =
		    node_peer_get(n, first_owner(c, 0, "t1/a1@1"));
		uint64_t loads = 0;

		for (uint32_t i = 0; i < 4 * home->seats; i++)
			node_spread_count_ask(home, "t1/a1@1");
		ASSERT_TRUE(c.wait(c.complete(0, "a1")));
		c.run_for(2000000);
		if (!entry_knows)
			for (size_t i = 0; i < map_count(n->adapter_holders);
			     i++)
				memset(((struct node_adapter_holders *)map_at(
					    n->adapter_holders, i))
					   ->until_us,
				    0,
				    sizeof(uint64_t[NODE_ADAPTER_HOLDERS_MAX]));
		EXPECT_EQ(
		    first_owner(c, 0, "t1/a1@1") == home->id, !entry_knows);
		Request *r = c.complete(0, "a1");
		ASSERT_TRUE(c.wait(r));
		EXPECT_EQ(r->status, 200) << r->answer;
		for (auto &e : c.endpoints)
			loads += e->loads;
		EXPECT_EQ(loads, 1u) << entry_knows;
		EXPECT_EQ(map_count(n->asks), 0u);
		EXPECT_EQ(c.check(), "");
	}
}

TEST(rate, a_teams_limit_holds_over_all_entries)
{
	struct {
		int entries; /* used by the callers */
		double least, most; /* admitted per second, limit 10 */
	} cases[] = {{1, 9.0, 11.0}, {2, 8.0, 12.0}, {5, 8.0, 12.5}};

	for (auto &t : cases) {
		Cluster c(with_seed(9));
		ASSERT_TRUE(c.begin());
		std::string text = Cluster::document("t1", 1);
		text.insert(1, "\"limits\": {\"requestsPerSecond\": 10}, ");
		Request *put = c.put_document(0, "t1", 1, "limit", text);
		ASSERT_TRUE(c.wait(put));
		ASSERT_EQ(put->status, 200) << put->answer;
		c.run_for(2000000);
		std::vector<Request *> sent;

		/* The bucket is full at first: two requests at once pass. */
		for (int i = 0; i < 2; i++)
			sent.push_back(c.send(0, "GET",
			    "/v1/services/orders/status", "caller", ""));
		c.run_for(200000);
		for (Request *r : sent)
			EXPECT_EQ(r->status, 200) << r->answer;
		for (int i = 0; i < 800; i++) {
			sent.push_back(c.send(i % t.entries, "GET",
			    "/v1/services/orders/status", "caller", ""));
			c.run_for(25000);
		}
		double admitted = 0;
		for (Request *r : sent)
			admitted += r->status != 429;
		EXPECT_GE(admitted / 20.0, t.least) << t.entries;
		EXPECT_LE(admitted / 20.0, t.most) << t.entries;
	}
}

/*
 * Guards against entries that each use what the others seem to leave of a
 * team's limit, when all begin at the same time: no second may have more than
 * the limit, half of it more, and what the entries' buckets hold at first.
 */
TEST(rate, a_teams_limit_holds_when_all_entries_begin_at_once)
{
	const double limit = 20, burst = 2 * limit;

	for (int instances : {5, 20}) {
		ClusterOptions options = with_seed(9);
		options.instances = instances;
		Cluster c(options);
		ASSERT_TRUE(c.begin());
		std::string text = Cluster::document("t1", 1);
		text.insert(1, "\"limits\": {\"requestsPerSecond\": 20}, ");
		Request *put = c.put_document(0, "t1", 1, "limit", text);
		ASSERT_TRUE(c.wait(put));
		c.run_for(2000000);
		for (int round = 0; round < 3; round++) {
			std::vector<Request *> sent;
			double admitted = 0;

			for (int i = 0; i < 400; i++) {
				sent.push_back(c.send(i % instances, "GET",
				    "/v1/services/orders/status", "caller",
				    ""));
				c.run_for(5000);
			}
			for (Request *r : sent)
				admitted += r->status != 429;
			EXPECT_LE(admitted, 1.5 * limit * 2 + burst)
			    << instances << " entries, round " << round;
			c.run_for(5000000);
		}
	}
}
