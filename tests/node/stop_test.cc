#include <gtest/gtest.h>

#include "node/node_fixture.h"

/*
 * Some or all instances stop, together or one after another. No running request
 * may be aborted. Each must exit within the lifetime of its address, the 1.5 s
 * until peers no longer list it and, when no instance can take over its
 * endpoints, 3 s for their move.
 */
TEST(stop, several_that_stop_abort_nothing_and_exit_in_bounded_time)
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

/* A leader that exited without a transfer would leave no leader for a time. */
TEST(stop, a_stopping_leader_refuses_no_booking)
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

/*
 * Guards against requests that are accepted late in a stop and cut by the exit.
 * All of the cluster's requests have 8 s.
 */
TEST(stop, late_requests_are_refused_as_not_run)
{
	static const struct {
		uint64_t after_s;
		int status;
	} rows[] = {{1, 200}, {45, 200}, {53, 503}};

	for (auto &row : rows) {
		Cluster c(with_seed(11));
		ASSERT_TRUE(c.begin());
		Request *r;

		(void)c.complete(0, "a1", true, 400);
		c.run_for(500000);
		(void)c.send(0, "POST", "/v1/drain", "op", "");
		/* One is open at each time, so that it does not exit early. */
		for (uint64_t i = 0; i < row.after_s; i++) {
			(void)c.complete(0, "a1", true, 400);
			c.run_for(1000000);
		}
		ASSERT_FALSE(c.instances[0]->exited);
		r = c.complete(0, "a1");
		EXPECT_TRUE(c.wait(r));
		EXPECT_EQ(r->status, row.status) << row.after_s;
		if (row.status == 503) {
			EXPECT_EQ(r->outcome(), "not-run");
			EXPECT_LE(r->done_us, r->sent_us + 100000) << "at once";
		}
	}
}
