#include "sched_fixture.h"

/*
 * Which requests are refused, when, and with which retry time. Guards against
 * requests that wait although they cannot meet their deadline, and against
 * refusals of requests that could.
 */
class SchedAdmit : public SchedTest {
      protected:
	void
	SetUp() override
	{
		SchedTest::SetUp();
		ReportEngine("e1", {"t/a@1"}, 2, 2);
		/* Two seats and one second per request: two requests per
		 * second. */
		Enqueue(1, "t", "t/a@1");
		RunToText();
		now += 1000000;
		Finish(1);
	}
};

TEST_F(SchedAdmit, RequestThatCannotMeetItsDeadlineIsRefusedAtOnce)
{
	uint64_t id;

	for (id = 10; id < 30; id++)
		Enqueue(id, "t", "t/a@1", now + 60000000);
	RunToText();
	/* 18 requests are queued before it: at least 9 s. */
	Enqueue(40, "t", "t/a@1", now + 3000000);
	std::vector<Decision> d = Run();
	ASSERT_EQ(1u, d.size());
	EXPECT_EQ(SCHED_REFUSE, d[0].type);
	EXPECT_EQ("deadline", d[0].reason);
	EXPECT_GE(d[0].retry_after_ms, 5500u);
	EXPECT_LE(d[0].retry_after_ms, 8000u);
	Enqueue(41, "t", "t/a@1", now + 12000000);
	EXPECT_EQ("", RunToText());
}

/* After the retry time, a request with the same patience is accepted. */
TEST_F(SchedAdmit, RequestIsAcceptedAfterTheRetryTime)
{
	std::vector<uint64_t> running;
	uint64_t id, refused_at = now, retry_us = 0;

	for (id = 10; id < 40; id++)
		Enqueue(id, "t", "t/a@1", now + 60000000);
	Enqueue(99, "t", "t/a@1", now + 3000000);
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
			Finish(r);
		for (const Decision &d : Run())
			running.push_back(d.request);
	}
	Enqueue(100, "t", "t/a@1", now + 3000000);
	EXPECT_EQ("", RunToText());
}

TEST_F(SchedAdmit, QueuedRequestIsRefusedBeforeItsDeadline)
{
	/*
	 * Both seats stay occupied, contrary to the estimate that was made
	 * when the request was accepted.
	 */
	Enqueue(2, "t", "t/a@1");
	Enqueue(3, "t", "t/a@1");
	EXPECT_EQ("G2@e1 G3@e1", RunToText());
	uint64_t deadline = now + 2000000;
	Enqueue(4, "t", "t/a@1", deadline);
	EXPECT_EQ("", RunToText());
	std::string got;
	while (got.empty()) {
		ASSERT_LT(sched_next_run_us(s), deadline);
		now = sched_next_run_us(s);
		got = RunToText();
	}
	EXPECT_EQ("R4:deadline", got);
}

TEST_F(SchedAdmit, QuietTeamIsNotRefusedForTheQueueOfAnother)
{
	for (uint64_t id = 10; id < 110; id++)
		Enqueue(id, "t", "t/a@1", now + 100000000);
	RunToText();
	sched_request r = MakeRequest(200, "q", "t/a@1");
	r.deadline_us = now + 3000000;
	sched_enqueue(s, now, &r);
	EXPECT_EQ("", RunToText());
	r.id = 201;
	r.team = "t";
	sched_enqueue(s, now, &r);
	EXPECT_EQ("R201:deadline", RunToText());
}

TEST_F(SchedAdmit, EarlierLoadsCountInTheEstimate)
{
	sched_set_permits(s, now, 1, 1000);
	for (uint64_t id = 10; id < 20; id++)
		Enqueue(id, "t", ("t/n" + std::to_string(id)).c_str(),
		    now + 60000000);
	RunToText();
	now += 100000;
	Enqueue(30, "t", "t/late@1", now + 4000000);
	EXPECT_EQ("R30:deadline", RunToText())
	    << "nine loads at one per second";
	Enqueue(31, "t", "t/a@1", now + 4000000);
	EXPECT_EQ("G31@e1", RunToText());
}

TEST_F(SchedAdmit, QueueOfATeamIsBounded)
{
	size_t refused = 0;

	for (uint64_t id = 1000; id < 2000; id++)
		Enqueue(id, "t", "t/a@1");
	for (const Decision &d : Run()) {
		if (d.type != SCHED_REFUSE)
			continue;
		EXPECT_EQ("overload", d.reason);
		EXPECT_GE(d.retry_after_ms, 1u);
		EXPECT_GE(d.request, 1512u) << "the lowest-ranked are refused";
		refused++;
	}
	EXPECT_EQ(1000u - 512u, refused);
	Enqueue(5000, "q", "t/a@1");
	EXPECT_EQ("", RunToText()) << "other teams are not affected";
	/*
	 * Two of the 512 requests run. Three more that rank first exceed the
	 * limit by one, so the lowest-ranked one is refused.
	 */
	for (uint64_t id = 6000; id < 6003; id++) {
		sched_request r = MakeRequest(id, "t", "t/b@1");

		r.queued_us = now - 1;
		sched_enqueue(s, now, &r);
	}
	EXPECT_EQ("R1511:overload L:t/b@1@e1", RunToText());
}

TEST_F(SchedAdmit, RequestIsCancelledWhileQueued)
{
	sched_set_permits(s, now, 0, 0);
	Enqueue(2, "t", "t/z@1", now + 5000000);
	RunToText();
	EXPECT_NE(UINT64_MAX, sched_next_run_us(s));
	Finish(2, SCHED_CANCELLED);
	EXPECT_TRUE(sched_is_idle(s));
	EXPECT_EQ("", RunToText());
	EXPECT_EQ(UINT64_MAX, sched_next_run_us(s));
}
