#include "forward/forward_guard.h"
#include "forward_fixture.h"
#include "guard_off.h"

/* What becomes of one sending, by the kind of its request. */
class Outcome : public ForwardTest {};

enum what {
	NOT_SENT,
	SAID_NOT_RUN,
	SAID_OTHER,
	BROKEN_BEFORE_HEAD,
	BROKEN_IN_BODY,
	NO_SIGNATURE,
	ENCODED,
	ANSWER_OF_ANOTHER,
	SAID_500
};

/*
 * "Not run" is told only when it is true, and what may run once only is sent
 * again only after it.
 */
TEST_F(Outcome, of_each_fault_by_kind)
{
	static const struct {
		what fault;
		gw_kind kind;
		bool resumable;
		bool again; /* another place is asked for */
		int status; /* told at the end when all fail so */
	} rows[] = {
	    {NOT_SENT, GW_IDEMPOTENT, false, true, 503},
	    {NOT_SENT, GW_NON_IDEMPOTENT, false, true, 503},
	    {NOT_SENT, GW_STREAM, false, true, 503},
	    {SAID_NOT_RUN, GW_IDEMPOTENT, false, true, 503},
	    {SAID_NOT_RUN, GW_NON_IDEMPOTENT, false, true, 503},
	    {SAID_OTHER, GW_NON_IDEMPOTENT, false, true, 503},
	    {SAID_OTHER, GW_STREAM, false, true, 503},
	    {BROKEN_BEFORE_HEAD, GW_IDEMPOTENT, false, true, 502},
	    {BROKEN_BEFORE_HEAD, GW_NON_IDEMPOTENT, false, false, 502},
	    {BROKEN_BEFORE_HEAD, GW_STREAM, false, false, 502},
	    {BROKEN_BEFORE_HEAD, GW_STREAM, true, true, 502},
	    {BROKEN_IN_BODY, GW_IDEMPOTENT, false, true, 502},
	    {BROKEN_IN_BODY, GW_NON_IDEMPOTENT, false, false, 502},
	    {NO_SIGNATURE, GW_IDEMPOTENT, false, true, 502},
	    {NO_SIGNATURE, GW_NON_IDEMPOTENT, false, false, 502},
	    {ENCODED, GW_NON_IDEMPOTENT, false, false, 502},
	    {ANSWER_OF_ANOTHER, GW_IDEMPOTENT, false, true, 502},
	    {ANSWER_OF_ANOTHER, GW_NON_IDEMPOTENT, false, false, 502},
	    {SAID_500, GW_IDEMPOTENT, false, true, 500},
	    {SAID_500, GW_NON_IDEMPOTENT, false, false, 500},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		auto &row = rows[i];
		uint64_t before = asks;

		route.kind = row.kind;
		route.resumable = row.resumable;
		status = 0;
		body = retry_after = "";
		Begin();
		for (int n = 0; n < 9 && status == 0; n++) {
			ASSERT_TRUE(Grant(n == 0 ? "i-1" : "i-2")) << i;
			switch (row.fault) {
			case NOT_SENT:
				Event(NODE_CALL_NOT_SENT);
				break;
			case SAID_NOT_RUN:
				Head(503, {{"Mulberrypath-Not-Executed", "1"}});
				break;
			case SAID_OTHER:
				Head(421, {});
				break;
			case BROKEN_BEFORE_HEAD:
				Event(NODE_CALL_BROKEN);
				break;
			case BROKEN_IN_BODY:
				Good();
				Event(NODE_CALL_DATA, "half");
				Event(NODE_CALL_BROKEN);
				break;
			case NO_SIGNATURE:
				Head(200, {{"Mulberrypath-Attempt-Id", "42"}});
				break;
			case ENCODED:
				Head(200,
				    {{"Mulberrypath-Server-Signature", "s"},
					{"Content-Encoding", "gzip"}});
				break;
			case ANSWER_OF_ANOTHER:
				Head(200,
				    {{"Mulberrypath-Attempt-Id", "41"},
					{"Mulberrypath-Server-Signature",
					    "s"}});
				break;
			case SAID_500:
				Good(500);
				if (status == 0 && !cancelled) {
					Event(NODE_CALL_DATA, "oops");
					Event(NODE_CALL_END);
				}
				break;
			}
		}
		EXPECT_EQ(status, row.status) << i;
		EXPECT_EQ(asks - before > 1, row.again) << i;
		EXPECT_LE(asks - before, 5u) << i;
		EXPECT_EQ(retry_after != "", row.status == 503) << i;
		EXPECT_EQ(forward_request_count(f), 0u) << i;
	}
}

/* At most so many endpoints may have run one request. */
TEST_F(Outcome, attempts_are_counted_by_endpoints_that_may_have_run_it)
{
	int sent = 0;

	route.max_attempts = 3;
	Begin();
	while (status == 0) {
		ASSERT_TRUE(Grant());
		sent++;
		Event(NODE_CALL_BROKEN);
	}
	EXPECT_EQ(sent, 3);
	EXPECT_EQ(status, 502);
	EXPECT_EQ(asked.back().attempt, 2u);
	EXPECT_EQ(avoided.size(), 2u);
}

TEST_F(Outcome, a_plain_answer_is_told_when_it_is_whole)
{
	Begin();
	ASSERT_TRUE(Grant());
	Good();
	Event(NODE_CALL_DATA, "an");
	EXPECT_EQ(status, 0);
	Event(NODE_CALL_DATA, "swer");
	Event(NODE_CALL_END);
	EXPECT_EQ(status, 200);
	EXPECT_EQ(body, "answer");
	EXPECT_TRUE(whole);
	EXPECT_EQ(told.back(), PLACE_SERVED);
}

TEST_F(Outcome, a_long_one_is_passed_on_and_visibly_cut)
{
	Begin();
	ASSERT_TRUE(Grant());
	Good();
	Event(NODE_CALL_DATA, std::string(300000, 'a'));
	EXPECT_EQ(status, 200);
	EXPECT_EQ(body.size(), 300000u);
	Event(NODE_CALL_BROKEN);
	EXPECT_TRUE(cut);
}

/* ---- time ---- */

TEST_F(Outcome, the_deadline_is_the_callers_or_the_routes)
{
	static const struct {
		uint32_t caller_ms, ends_ms;
	} rows[] = {{2000, 2000}, {9000, 4000}, {0, 4000}};

	for (auto &row : rows) {
		status = 0;
		Begin(row.caller_ms);
		now += 100 * MS;
		ASSERT_TRUE(Grant());
		EXPECT_EQ(deadline, std::to_string(row.ends_ms - 100));
		now += (row.ends_ms - 101) * MS;
		forward_tick(f, now, fx);
		Take();
		EXPECT_EQ(status, 0);
		now += MS;
		EXPECT_LE(forward_next_us(f), now);
		forward_tick(f, now, fx);
		Take();
		EXPECT_EQ(status, 504) << "it was sent and may have run";
		EXPECT_TRUE(cancelled);
		EXPECT_EQ(told.back(), PLACE_ABANDONED);
	}
}

TEST_F(Outcome, one_that_was_never_placed_has_not_run)
{
	Begin(500);
	now += 500 * MS;
	forward_tick(f, now, fx);
	Take();
	EXPECT_EQ(status, 503);
	EXPECT_NE(retry_after, "");
	EXPECT_FALSE(Grant()) << "a place that comes too late is given back";
}

TEST_F(Outcome, a_refusal_of_the_placer_is_told_at_once)
{
	Begin();
	forward_on_refusal(f, now, asked.back().id.ask, "overload", 700, fx);
	Take();
	EXPECT_EQ(status, 503);
	EXPECT_EQ(retry_after, "0.700");
}

/* After a sending that may have run, "not run" is no longer true. */
TEST_F(Outcome, a_refused_repeat_does_not_claim_not_run)
{
	Begin();
	ASSERT_TRUE(Grant());
	Event(NODE_CALL_BROKEN);
	forward_on_refusal(
	    f, now, asked.back().id.ask, "retry-budget", 700, fx);
	Take();
	EXPECT_EQ(status, 502);
	EXPECT_EQ(retry_after, "");
}

TEST_F(Outcome, a_caller_who_leaves_ends_the_work_at_once)
{
	Begin();
	ASSERT_TRUE(Grant());
	Good();
	EXPECT_TRUE(forward_on_caller_gone(f, now, last_request, fx));
	Take();
	EXPECT_TRUE(cancelled);
	EXPECT_EQ(told.back(), PLACE_ABANDONED);
	EXPECT_EQ(status, 0);
	EXPECT_FALSE(forward_on_caller_gone(f, now, last_request, fx));
}

static const bool switched_off = guard_off({
    {"forward.once", &forward_guards.once},
    {"forward.truth", &forward_guards.truth},
    {"forward.proof", &forward_guards.proof},
    {"forward.match", &forward_guards.match},
    {"forward.gap", &forward_guards.gap},
    {"forward.attempts", &forward_guards.attempts},
});
