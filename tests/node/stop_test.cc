#include <gtest/gtest.h>

#include "node/node_fixture.h"

/*
 * Together or one after another, also all of them: nothing that runs is cut,
 * and each ends within its addresses' lifetime, the 1.5 s that peers need to
 * hear of it and, when nobody can take its endpoints, 3 s for handing over.
 */
TEST(stop, several_that_stop_cut_nothing_and_end_in_bounded_time)
{
	const uint64_t bound = 2000000 + 1500000 + 3000000 + 100000;

	for (int count : {2, 3, 5})
		for (uint64_t apart : {0, 1000000, 4000000}) {
			Cluster c(with_seed(13));
			ASSERT_TRUE(c.begin());
			std::vector<Request *> running;
			auto exited = [&] {
				for (int i = 0; i < count; i++)
					if (!c.instances[(size_t)i]->exited)
						return false;
				return true;
			};

			for (int i = 0; i < count; i++) {
				running.push_back(
				    c.complete(i, "a1", true, 40));
				c.run_for(500000);
				(void)c.send(i, "POST", "/v1/drain", "op", "");
				c.run_for(apart);
			}
			EXPECT_TRUE(c.run_until(bound - apart, exited))
			    << count << " " << apart;
			for (Request *r : running)
				EXPECT_NE(
				    r->answer.find("[DONE]"), std::string::npos)
				    << count << " " << apart << r->answer;
			EXPECT_EQ(c.check(), "");
		}
}

TEST(stop, a_leader_that_stops_refuses_no_booking_meanwhile)
{
	Cluster c(with_seed(10));
	ASSERT_TRUE(c.begin());
	int leader = c.leader();
	std::vector<Request *> booked;

	ASSERT_GE(leader, 0);
	(void)c.send(leader, "POST", "/v1/drain", "op", "");
	for (int i = 0; i < 60; i++) {
		booked.push_back(
		    c.book((leader + 1 + i % 4) % 5, "k" + std::to_string(i)));
		c.run_for(50000);
	}
	c.run_for(3000000);
	for (Request *r : booked)
		EXPECT_EQ(r->status, 200) << r->answer;
	EXPECT_NE(c.leader(), leader);
	EXPECT_EQ(c.check(), "");
}
