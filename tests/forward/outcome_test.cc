#include "forward/forward_guard.h"
#include "forward_fixture.h"
#include "guard_off.h"

/* Outcomes of an attempt, by the kind of the request. */
class Outcome : public ForwardTest {};

enum attempt_fault {
	NOT_SENT,
	REFUSED_NOT_RUN,
	REFUSED_WITHOUT_ID, /* it may refuse an earlier request */
	WRONG_ENDPOINT,
	BROKEN_BEFORE_HEAD,
	BROKEN_IN_BODY,
	NO_SIGNATURE,
	ENCODED,
	OTHER_ATTEMPT_ID,
	STATUS_500
};

/*
 * Guards against two faults: a caller receives "not run" though an endpoint may
 * have run the request, and a request that may run only once is sent again
 * though it may have run. Both come about if an attempt fails after its bytes
 * may have reached the endpoint and is treated as not sent.
 */
TEST_F(Outcome, each_fault_is_handled_by_kind)
{
	static const struct {
		attempt_fault fault;
		gw_kind kind;
		bool resumable;
		bool is_retried; /* another grant is asked for */
		int status; /* final, if all attempts fail so */
	} rows[] = {
	    {NOT_SENT, GW_IDEMPOTENT, false, true, 503},
	    {NOT_SENT, GW_NON_IDEMPOTENT, false, true, 503},
	    {NOT_SENT, GW_STREAM, false, true, 503},
	    {REFUSED_NOT_RUN, GW_IDEMPOTENT, false, true, 503},
	    {REFUSED_NOT_RUN, GW_NON_IDEMPOTENT, false, true, 503},
	    {REFUSED_WITHOUT_ID, GW_IDEMPOTENT, false, true, 502},
	    {REFUSED_WITHOUT_ID, GW_NON_IDEMPOTENT, false, false, 502},
	    {WRONG_ENDPOINT, GW_NON_IDEMPOTENT, false, true, 503},
	    {WRONG_ENDPOINT, GW_STREAM, false, true, 503},
	    {BROKEN_BEFORE_HEAD, GW_IDEMPOTENT, false, true, 502},
	    {BROKEN_BEFORE_HEAD, GW_NON_IDEMPOTENT, false, false, 502},
	    {BROKEN_BEFORE_HEAD, GW_STREAM, false, false, 502},
	    {BROKEN_BEFORE_HEAD, GW_STREAM, true, true, 502},
	    {BROKEN_IN_BODY, GW_IDEMPOTENT, false, true, 502},
	    {BROKEN_IN_BODY, GW_NON_IDEMPOTENT, false, false, 502},
	    {NO_SIGNATURE, GW_IDEMPOTENT, false, true, 502},
	    {NO_SIGNATURE, GW_NON_IDEMPOTENT, false, false, 502},
	    {ENCODED, GW_NON_IDEMPOTENT, false, false, 502},
	    {OTHER_ATTEMPT_ID, GW_IDEMPOTENT, false, true, 502},
	    {OTHER_ATTEMPT_ID, GW_NON_IDEMPOTENT, false, false, 502},
	    {STATUS_500, GW_IDEMPOTENT, false, true, 500},
	    {STATUS_500, GW_NON_IDEMPOTENT, false, false, 500},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		auto &row = rows[i];
		uint64_t before = ask_count;

		route.kind = row.kind;
		route.resumable = row.resumable;
		status = 0;
		body = retry_after = "";
		StartRequest();
		for (int n = 0; n < 9 && status == 0; n++) {
			ASSERT_TRUE(Grant(n == 0 ? "i-1" : "i-2")) << i;
			switch (row.fault) {
			case NOT_SENT:
				ReceiveCallEvent(NODE_CALL_NOT_SENT);
				break;
			case REFUSED_NOT_RUN:
				ReceiveHead(503,
				    {{"Mulberrypath-Attempt-Id", "42"},
					{"Mulberrypath-Not-Executed", "1"}});
				break;
			case REFUSED_WITHOUT_ID:
				ReceiveHead(
				    503, {{"Mulberrypath-Not-Executed", "1"}});
				break;
			case WRONG_ENDPOINT:
				ReceiveHead(
				    421, {{"Mulberrypath-Attempt-Id", "42"}});
				break;
			case BROKEN_BEFORE_HEAD:
				ReceiveCallEvent(NODE_CALL_BROKEN);
				break;
			case BROKEN_IN_BODY:
				ReceiveSignedHead();
				ReceiveCallEvent(NODE_CALL_DATA, "half");
				ReceiveCallEvent(NODE_CALL_BROKEN);
				break;
			case NO_SIGNATURE:
				ReceiveHead(
				    200, {{"Mulberrypath-Attempt-Id", "42"}});
				break;
			case ENCODED:
				ReceiveHead(200,
				    {{"Mulberrypath-Server-Signature", "s"},
					{"Content-Encoding", "gzip"}});
				break;
			case OTHER_ATTEMPT_ID:
				ReceiveHead(200,
				    {{"Mulberrypath-Attempt-Id", "41"},
					{"Mulberrypath-Server-Signature",
					    "s"}});
				break;
			case STATUS_500:
				ReceiveSignedHead(500);
				if (status == 0 && !is_cancelled) {
					ReceiveCallEvent(
					    NODE_CALL_DATA, "oops");
					ReceiveCallEvent(NODE_CALL_END);
				}
				break;
			}
		}
		EXPECT_EQ(status, row.status) << i;
		EXPECT_EQ(ask_count - before > 1, row.is_retried) << i;
		EXPECT_LE(ask_count - before, 5u) << i;
		EXPECT_EQ(retry_after != "", row.status == 503) << i;
		EXPECT_EQ(forward_request_count(f), 0u) << i;
	}
}

/*
 * Guards against requests to an endpoint that wants none, and against one that
 * is avoided because of another process at its address, or of a response to
 * another request.
 */
TEST_F(Outcome, notices_of_the_granted_process_are_passed_on)
{
	static const struct {
		int status;
		std::vector<node_header> headers;
		bool is_leaving;
		uint32_t backoff_ms;
	} rows[] = {
	    {200,
		{{"Mulberrypath-Attempt-Id", "42"},
		    {"Mulberrypath-Server-Signature", "s"},
		    {"Server-Leaving", "1"}},
		true, 0},
	    {500, {{"Server-Leaving", "1"}}, true, 0},
	    {503, {{"Mulberrypath-Not-Executed", "1"}, {"Retry-After", "2"}},
		false, 2000},
	    {503, {{"Retry-After", "2"}, {"Server-Leaving", "1"}}, true, 2000},
	    {421, {{"Server-Leaving", "1"}}, false, 0},
	    {503, {{"Mulberrypath-Attempt-Id", "41"}, {"Retry-After", "2"}},
		false, 0},
	    {200, {{"Mulberrypath-Server-Signature", "s"}}, false, 0},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		auto &row = rows[i];

		status = 0;
		notices.clear();
		StartRequest();
		ASSERT_TRUE(Grant());
		ReceiveHead(row.status, row.headers);
		ASSERT_EQ(notices.size(),
		    row.is_leaving || row.backoff_ms > 0 ? 1u : 0u)
		    << i;
		if (notices.empty())
			continue;
		EXPECT_EQ(notices[0].born_ms, 1u) << i;
		EXPECT_EQ(notices[0].is_leaving, row.is_leaving) << i;
		EXPECT_EQ(notices[0].backoff_ms, row.backoff_ms) << i;
	}
}

/*
 * Guards against a rate limit that the placer does not learn, and against one
 * of another process, of another request, or told once more at the end of a
 * response, when it may no longer hold.
 */
TEST_F(Outcome, rate_limits_are_told_once_with_the_outcome)
{
	static const struct {
		int status;
		std::vector<node_header> headers;
		bool is_told, is_limited;
	} rows[] = {
	    {200,
		{{"Mulberrypath-Attempt-Id", "42"},
		    {"Mulberrypath-Server-Signature", "s"},
		    {"Server-Limit", "1.5"}},
		true, true},
	    {200,
		{{"Mulberrypath-Attempt-Id", "42"},
		    {"Mulberrypath-Server-Signature", "s"}},
		true, false},
	    {200,
		{{"Mulberrypath-Attempt-Id", "42"},
		    {"Mulberrypath-Server-Signature", "s"},
		    {"Server-Limit", "many"}},
		false, false},
	    {500, {{"Server-Limit", "1.5"}}, true, true},
	    {503, {{"Mulberrypath-Not-Executed", "1"}, {"Server-Limit", "1.5"}},
		true, true},
	    {421, {{"Server-Limit", "1.5"}}, false, false},
	    {503, {{"Mulberrypath-Attempt-Id", "41"}, {"Server-Limit", "1.5"}},
		false, false},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		auto &row = rows[i];
		int told = 0;

		status = 0;
		results.clear();
		StartRequest();
		ASSERT_TRUE(Grant());
		ReceiveHead(row.status, row.headers);
		ReceiveCallEvent(NODE_CALL_DATA, "x");
		ReceiveCallEvent(NODE_CALL_END);
		for (auto &r : results) {
			told += r.limit_told;
			if (!r.limit_told)
				continue;
			EXPECT_EQ(r.limit.is_limited, row.is_limited) << i;
			if (row.is_limited) {
				EXPECT_EQ(r.limit.requests_per_s_milli, 1500u);
			}
		}
		EXPECT_EQ(told, row.is_told ? 1 : 0) << i;
	}
}

/*
 * Guards against requests that are begun in the course of a stop and cut by the
 * exit. Each row: a request whose objective is 300 ms, and the time left.
 */
TEST_F(Outcome, a_request_that_may_not_end_before_the_exit_is_refused)
{
	static const struct {
		const char *what;
		gw_kind kind;
		bool resumable, may_go_elsewhere;
		uint32_t deadline_ms, left_ms;
		bool is_begun;
	} rows[] = {
	    {"ends in time", GW_NON_IDEMPOTENT, false, true, 2000, 3000, true},
	    {"may not", GW_NON_IDEMPOTENT, false, true, 4000, 3000, false},
	    {"may not, callers know no other", GW_NON_IDEMPOTENT, false, false,
		4000, 3000, true},
	    {"repeatable", GW_IDEMPOTENT, false, true, 4000, 3000, true},
	    {"repeatable, little time", GW_IDEMPOTENT, false, true, 4000, 500,
		false},
	    {"stream", GW_STREAM, false, true, 4000, 3000, false},
	    {"resumable stream", GW_STREAM, true, true, 4000, 3000, true},
	    {"no time", GW_IDEMPOTENT, false, false, 4000, 50, false},
	};

	for (auto &row : rows) {
		SCOPED_TRACE(row.what);
		TearDown();
		fx = node_effects_create();
		SetUp();
		status = 0;
		ask_count = 0;
		route.kind = row.kind;
		route.resumable = row.resumable;
		forward_begin_stop(f, now_us + row.left_ms * 1000ULL);
		if (row.may_go_elsewhere)
			forward_refuse_long(f);
		StartRequest(row.deadline_ms);
		EXPECT_EQ(ask_count, row.is_begun ? 1u : 0u);
		EXPECT_EQ(status, row.is_begun ? 0 : 503);
		if (row.is_begun) {
			EXPECT_LE(place_requests.back().deadline_us,
			    now_us + row.left_ms * 1000ULL);
		}
	}
}

/* What is open at the end of a stop gets a definite answer. */
TEST_F(Outcome, open_requests_are_answered_at_the_end_of_a_stop)
{
	static const struct {
		bool is_sent;
		int status;
	} rows[] = {{false, 503}, {true, 504}};

	for (auto &row : rows) {
		TearDown();
		fx = node_effects_create();
		SetUp();
		status = 0;
		StartRequest();
		if (row.is_sent) {
			ASSERT_TRUE(Grant());
		}
		forward_begin_stop(f, now_us + 1000000);
		now_us += 999999;
		forward_tick(f, now_us, fx);
		ApplyEffects();
		EXPECT_EQ(status, 0);
		EXPECT_LE(forward_next_us(f), now_us + 1);
		now_us += 1;
		forward_tick(f, now_us, fx);
		ApplyEffects();
		EXPECT_EQ(status, row.status);
		EXPECT_EQ(forward_request_count(f), 0u);
	}
}

/*
 * Guards against a request that is granted the same unwilling endpoint again
 * and again, and against one that counts as a repeat though it was not sent.
 */
TEST_F(Outcome, declined_grants_are_bounded_and_are_no_repeats)
{
	StartRequest();
	verdict = FORWARD_ENDPOINT_DECLINES;
	verdict_retry_after_ms = 700;
	for (int n = 0; n < 9 && status == 0; n++) {
		EXPECT_EQ(place_requests.back().attempt, 0u);
		ASSERT_TRUE(Grant());
	}
	EXPECT_EQ(status, 503);
	EXPECT_EQ(retry_after, "0.700");
	EXPECT_EQ(call_count, 0u) << "nothing was sent";
	EXPECT_LE(ask_count, 5u);
	EXPECT_EQ(forward_request_count(f), 0u);
}

/*
 * Guards against more endpoints running a request than its route allows, if
 * failed attempts are not counted.
 */
TEST_F(Outcome, attempts_are_counted_by_endpoints_that_may_have_run_it)
{
	int sent = 0;

	route.max_attempts = 3;
	StartRequest();
	while (status == 0) {
		ASSERT_TRUE(Grant());
		sent++;
		ReceiveCallEvent(NODE_CALL_BROKEN);
	}
	EXPECT_EQ(sent, 3);
	EXPECT_EQ(status, 502);
	EXPECT_EQ(place_requests.back().attempt, 2u);
	EXPECT_EQ(avoided.size(), 2u);
}

TEST_F(Outcome, a_plain_response_is_sent_when_complete)
{
	StartRequest();
	ASSERT_TRUE(Grant());
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_DATA, "an");
	EXPECT_EQ(status, 0);
	ReceiveCallEvent(NODE_CALL_DATA, "swer");
	ReceiveCallEvent(NODE_CALL_END);
	EXPECT_EQ(status, 200);
	EXPECT_EQ(body, "answer");
	EXPECT_TRUE(is_complete);
	EXPECT_EQ(outcomes.back(), PLACE_SERVED);
}

TEST_F(Outcome, a_long_response_is_relayed_and_aborted_when_broken)
{
	StartRequest();
	ASSERT_TRUE(Grant());
	ReceiveSignedHead();
	ReceiveCallEvent(NODE_CALL_DATA, std::string(300000, 'a'));
	EXPECT_EQ(status, 200);
	EXPECT_EQ(body.size(), 300000u);
	ReceiveCallEvent(NODE_CALL_BROKEN);
	EXPECT_TRUE(is_aborted);
}

/* ---- time ---- */

TEST_F(Outcome, the_earlier_of_caller_and_route_deadline_applies)
{
	static const struct {
		uint32_t caller_ms, ends_ms;
	} rows[] = {{2000, 2000}, {9000, 4000}, {0, 4000}};

	for (auto &row : rows) {
		status = 0;
		StartRequest(row.caller_ms);
		now_us += 100 * MS;
		ASSERT_TRUE(Grant());
		EXPECT_EQ(deadline_header, std::to_string(row.ends_ms - 100));
		now_us += (row.ends_ms - 101) * MS;
		forward_tick(f, now_us, fx);
		ApplyEffects();
		EXPECT_EQ(status, 0);
		now_us += MS;
		EXPECT_LE(forward_next_us(f), now_us);
		forward_tick(f, now_us, fx);
		ApplyEffects();
		EXPECT_EQ(status, 504) << "it was sent and may have run";
		EXPECT_TRUE(is_cancelled);
		EXPECT_EQ(outcomes.back(), PLACE_ABANDONED);
	}
}

TEST_F(Outcome, a_request_without_grant_is_refused_as_not_run)
{
	StartRequest(500);
	now_us += 500 * MS;
	forward_tick(f, now_us, fx);
	ApplyEffects();
	EXPECT_EQ(status, 503);
	EXPECT_NE(retry_after, "");
	EXPECT_FALSE(Grant()) << "a late grant is returned";
}

TEST_F(Outcome, a_placer_refusal_is_sent_at_once)
{
	StartRequest();
	forward_on_refusal(f, now_us, place_requests.back().id.ask,
	    GW_REFUSE_OVERLOAD, "overload", 700, fx);
	ApplyEffects();
	EXPECT_EQ(status, 503);
	EXPECT_EQ(retry_after, "0.700");
}

/* After an attempt that may have run the request "not run" is false. */
TEST_F(Outcome, a_refused_retry_is_not_reported_as_not_run)
{
	StartRequest();
	ASSERT_TRUE(Grant());
	ReceiveCallEvent(NODE_CALL_BROKEN);
	forward_on_refusal(f, now_us, place_requests.back().id.ask,
	    GW_REFUSE_OVERLOAD, "retry-budget", 700, fx);
	ApplyEffects();
	EXPECT_EQ(status, 502);
	EXPECT_EQ(retry_after, "");
}

TEST_F(Outcome, a_disconnected_caller_cancels_the_call_at_once)
{
	StartRequest();
	ASSERT_TRUE(Grant());
	ReceiveSignedHead();
	EXPECT_TRUE(forward_on_caller_gone(f, now_us, last_request, fx));
	ApplyEffects();
	EXPECT_TRUE(is_cancelled);
	EXPECT_EQ(outcomes.back(), PLACE_ABANDONED);
	EXPECT_EQ(status, 0);
	EXPECT_FALSE(forward_on_caller_gone(f, now_us, last_request, fx));
}

static const bool switched_off = guard_off({
    {"forward.once", &forward_guards.once},
    {"forward.truth", &forward_guards.truth},
    {"forward.proof", &forward_guards.proof},
    {"forward.match", &forward_guards.match},
    {"forward.gap", &forward_guards.gap},
    {"forward.timeout", &forward_guards.timeout},
    {"forward.whole_events", &forward_guards.whole_events},
    {"forward.attempts", &forward_guards.attempts},
    {"forward.stop", &forward_guards.stop},
    {"forward.account", &forward_guards.account},
});
