#include "sched_fixture.h"

/* What is refused, when, and with which estimate. */
class SchedAdmit : public SchedTest {
      protected:
	void
	SetUp() override
	{
		SchedTest::SetUp();
		Engine("e1", {"t/a@1"}, 2, 2);
		/* Two seats of a second each: two requests a second. */
		Ask(1, "t", "t/a@1");
		Short();
		now += 1000000;
		Done(1);
	}
};

TEST_F(SchedAdmit, WhatCannotMakeItsDeadlineIsRefusedAtOnce)
{
	uint64_t id;

	for (id = 10; id < 30; id++)
		Ask(id, "t", "t/a@1", now + 60000000);
	Short();
	/* 18 wait before it: 9 s and more. */
	Ask(40, "t", "t/a@1", now + 3000000);
	std::vector<Decision> d = Run();
	ASSERT_EQ(1u, d.size());
	EXPECT_EQ(SCHED_REFUSE, d[0].type);
	EXPECT_EQ("deadline", d[0].reason);
	EXPECT_GE(d[0].retry_after_ms, 5500u);
	EXPECT_LE(d[0].retry_after_ms, 8000u);
	Ask(41, "t", "t/a@1", now + 12000000);
	EXPECT_EQ("", Short());
}

/* After the retry time, a request with the same patience is taken. */
TEST_F(SchedAdmit, RetryAfterIsHonest)
{
	std::vector<uint64_t> running;
	uint64_t id, refused_at = now, retry_us = 0;

	for (id = 10; id < 40; id++)
		Ask(id, "t", "t/a@1", now + 60000000);
	Ask(99, "t", "t/a@1", now + 3000000);
	for (const Decision &d : Run()) {
		if (d.type == SCHED_GRANT)
			running.push_back(d.request);
		else
			retry_us = d.retry_after_ms * 1000ULL;
	}
	ASSERT_GT(retry_us, 0u);
	while (now < refused_at + retry_us) {
		now += 1000000;
		std::vector<uint64_t> ended;
		ended.swap(running);
		for (uint64_t r : ended)
			Done(r);
		for (const Decision &d : Run())
			running.push_back(d.request);
	}
	Ask(100, "t", "t/a@1", now + 3000000);
	EXPECT_EQ("", Short());
}

TEST_F(SchedAdmit, RefusedAsSoonAsItBecomesClear)
{
	/* Both seats hang; the estimate was right when it was made. */
	Ask(2, "t", "t/a@1");
	Ask(3, "t", "t/a@1");
	EXPECT_EQ("G2@e1 G3@e1", Short());
	uint64_t deadline = now + 2000000;
	Ask(4, "t", "t/a@1", deadline);
	EXPECT_EQ("", Short());
	std::string got;
	while (got.empty()) {
		ASSERT_LT(sched_next_run_us(s), deadline);
		now = sched_next_run_us(s);
		got = Short();
	}
	EXPECT_EQ("R4:deadline", got);
}

TEST_F(SchedAdmit, QuietTeamIsNotRefusedForAnothersQueue)
{
	for (uint64_t id = 10; id < 110; id++)
		Ask(id, "t", "t/a@1", now + 100000000);
	Short();
	sched_request r = Request(200, "q", "t/a@1");
	r.deadline_us = now + 3000000;
	sched_enqueue(s, now, &r);
	EXPECT_EQ("", Short());
	r.id = 201;
	r.team = "t";
	sched_enqueue(s, now, &r);
	EXPECT_EQ("R201:deadline", Short());
}

TEST_F(SchedAdmit, LoadsAheadCountForTheEstimate)
{
	sched_set_permits(s, now, 1, 1000);
	for (uint64_t id = 10; id < 20; id++)
		Ask(id, "t", ("t/n" + std::to_string(id)).c_str(),
		    now + 60000000);
	Short();
	now += 100000;
	Ask(30, "t", "t/late@1", now + 4000000);
	EXPECT_EQ("R30:deadline", Short()) << "nine loads a second apart";
	Ask(31, "t", "t/a@1", now + 4000000);
	EXPECT_EQ("G31@e1", Short());
}

TEST_F(SchedAdmit, QueueOfATeamIsBounded)
{
	size_t refused = 0;

	for (uint64_t id = 1000; id < 2000; id++)
		Ask(id, "t", "t/a@1");
	for (const Decision &d : Run()) {
		if (d.type != SCHED_REFUSE)
			continue;
		EXPECT_EQ("overload", d.reason);
		EXPECT_GE(d.retry_after_ms, 1u);
		EXPECT_GE(d.request, 1512u) << "the last go";
		refused++;
	}
	EXPECT_EQ(1000u - 512u, refused);
	Ask(5000, "q", "t/a@1");
	EXPECT_EQ("", Short()) << "others are not hurt";
	/* Two of the 512 run; three that rank first push one out. */
	for (uint64_t id = 6000; id < 6003; id++) {
		sched_request r = Request(id, "t", "t/b@1");

		r.queued_us = now - 1;
		sched_enqueue(s, now, &r);
	}
	EXPECT_EQ("R1511:overload L:t/b@1@e1", Short());
}

TEST_F(SchedAdmit, CallerGoneWhileQueued)
{
	sched_set_permits(s, now, 0, 0);
	Ask(2, "t", "t/z@1", now + 5000000);
	Short();
	EXPECT_NE(UINT64_MAX, sched_next_run_us(s));
	Done(2, SCHED_CANCELLED);
	EXPECT_TRUE(sched_is_idle(s));
	EXPECT_EQ("", Short());
	EXPECT_EQ(UINT64_MAX, sched_next_run_us(s));
}
