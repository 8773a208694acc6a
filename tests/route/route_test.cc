#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "route/route.h"

static const char kDocument[] =
    "{\"team\": \"t\", \"kinds\": {\"k\": {\"weight\": 1, \"deadlineMs\": "
    "1000, \"maxTokens\": 8}}, \"adapters\": {\"a\": {\"version\": \"1\", "
    "\"baseModel\": \"b\", \"kind\": \"k\"}}, \"services\": {\"s\": "
    "{\"timeoutMs\": 500, \"calls\": {\"POST /book\": {\"idempotent\": "
    "false, \"kind\": \"k\"}, \"GET /look\": {\"idempotent\": true, "
    "\"kind\": \"k\"}}}}}";

/*
 * A router without a cluster: asks, outcomes and claim ends are recorded, and
 * the tests send the replies.
 */
class RouteTest : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		struct route_options options = {1, 7};
		struct settings_problems problems = {};
		struct mp_error err = {};

		ops.ask = [](void *ctx, const Wire__GrantAsk *ask,
			      struct node_effects *) {
			((RouteTest *)ctx)->ask_ids.push_back(ask->request);
		};
		ops.done = [](void *ctx, const Wire__GrantDone *done,
			       struct node_effects *) {
			((RouteTest *)ctx)->outcomes.push_back(done->outcome);
		};
		ops.next_call = [](void *ctx) {
			return ++((RouteTest *)ctx)->last_call;
		};
		ops.claim_start = [](void *, const struct claim_start *,
				      uint64_t, uint64_t *proposal,
				      struct node_effects *) {
			*proposal = 7;
			return true;
		};
		ops.claim_end = [](void *ctx, const struct claim_end *end,
				    uint64_t, struct node_effects *) {
			((RouteTest *)ctx)->claim_ends.push_back(end->outcome);
		};
		ops.act_until_us = [](void *) { return (uint64_t)UINT64_MAX; };
		route = route_create(&options, &ops, this);
		fx = node_effects_create();
		ASSERT_EQ(doc_parse(&doc, kDocument, sizeof(kDocument) - 1,
			      &problems, &err),
		    0)
		    << err.message;
	}

	void
	TearDown() override
	{
		route_destroy(route);
		node_effects_destroy(fx);
		doc_unref(doc);
	}

	void
	start_request(const char *method = nullptr, const char *path = nullptr,
	    const char *key = nullptr)
	{
		struct route_request r = {};

		r.request = ++last_request;
		r.doc = doc;
		r.kind = doc_find_kind(doc, "k");
		r.deadline_us = 1000000;
		if (method == nullptr) {
			(void)doc_resolve_model(
			    doc, "a", &r.adapter, &r.version, nullptr);
			r.prompt = "p";
			r.max_tokens = 2;
		} else {
			r.service = doc_find_service(doc, "s");
			r.call = doc_find_call(r.service, method, path);
			r.method = method;
			r.path = path;
			r.idempotency_key = key;
		}
		route_start_request(route, 0, &r, fx);
	}

	void
	reply_grant()
	{
		Wire__GrantReply reply = WIRE__GRANT_REPLY__INIT;

		reply.request = ask_ids.back();
		reply.endpoint = (char *)"e";
		reply.address = (char *)"10.0.0.1:1";
		route_on_grant_reply(route, 1000, &reply, fx);
	}

	void
	receive_call_event(enum node_call_phase phase, int status = 0,
	    const std::string &data = "", const char *retry_after = nullptr)
	{
		struct node_call_event event = {};

		event.call = last_call;
		event.phase = phase;
		event.status = status;
		event.data = {data.data(), data.size()};
		event.retry_after = retry_after;
		(void)route_on_call_event(route, 2000, &event, fx);
	}

	/* Status and outcome of the final reply; "" if there is none yet. */
	std::string
	reply_summary()
	{
		for (size_t i = 0; i < node_effects_count(fx); i++) {
			const struct node_effect *e = node_effects_at(fx, i);

			if (e->type != NODE_FX_REPLY)
				continue;
			std::string text = std::to_string(e->u.reply.status);
			for (size_t k = 0; k < e->u.reply.nheaders; k++)
				if (std::string(e->u.reply.headers[k].name) ==
				    "mulberrypath-outcome")
					text += std::string(" ") +
					    e->u.reply.headers[k].value;
			return text;
		}
		return "";
	}

	struct route_ops ops = {};
	struct route *route = nullptr;
	struct node_effects *fx = nullptr;
	struct doc *doc = nullptr;
	std::vector<uint64_t> ask_ids;
	std::vector<int> outcomes, claim_ends;
	uint64_t last_call = 0, last_request = 0;
};

/*
 * Guards against running a call twice that may run only once, if a call that
 * may have reached its endpoint is retried.
 */
TEST_F(RouteTest, a_call_is_retried_only_where_that_is_safe)
{
	struct {
		const char *method, *path;
		enum node_call_phase phase;
		int status;
		const char *retry_after;
		size_t ask_count; /* after the event */
		const char *reply; /* "": in progress */
	} cases[] = {
	    /* not sent: any call may be retried */
	    {"POST", "/book", NODE_CALL_NOT_SENT, 0, nullptr, 2, ""},
	    {"GET", "/look", NODE_CALL_NOT_SENT, 0, nullptr, 2, ""},
	    {nullptr, nullptr, NODE_CALL_NOT_SENT, 0, nullptr, 2, ""},
	    /* may have run: only repeatable calls are retried */
	    {"POST", "/book", NODE_CALL_BROKEN, 0, nullptr, 1, "502 unknown"},
	    {"GET", "/look", NODE_CALL_BROKEN, 0, nullptr, 2, ""},
	    {nullptr, nullptr, NODE_CALL_BROKEN, 0, nullptr, 2, ""},
	    /* the endpoint states that it did not run it */
	    {"POST", "/book", NODE_CALL_HEAD, 503, "1", 1, ""},
	    {nullptr, nullptr, NODE_CALL_HEAD, 409, nullptr, 2, ""},
	    {nullptr, nullptr, NODE_CALL_HEAD, 503, nullptr, 2, ""},
	    /* any other answer is relayed, also an error */
	    {"POST", "/book", NODE_CALL_HEAD, 500, nullptr, 1, ""},
	};

	for (auto &c : cases) {
		start_request(c.method, c.path);
		reply_grant();
		receive_call_event(c.phase, c.status, "", c.retry_after);
		EXPECT_EQ(ask_ids.size(), c.ask_count)
		    << (c.path == nullptr ? "model" : c.path) << " " << c.phase
		    << " " << c.status;
		EXPECT_EQ(reply_summary(), c.reply);
		TearDown();
		ask_ids.clear();
		last_call = 0;
		SetUp();
	}
}

TEST_F(RouteTest, a_refusal_is_not_run_and_has_retry_after)
{
	Wire__GrantReply reply = WIRE__GRANT_REPLY__INIT;

	start_request("POST", "/book");
	reply.request = ask_ids.back();
	reply.status = WIRE__GRANT_STATUS__GRANT_REFUSED;
	reply.reason = (char *)"overload";
	reply.retry_after_ms = 2500;
	route_on_grant_reply(route, 1000, &reply, fx);
	EXPECT_EQ(reply_summary(), "503 not-run");
	const struct node_reply &r = node_effects_at(fx, 0)->u.reply;
	ASSERT_EQ(r.nheaders, 2u);
	EXPECT_STREQ(r.headers[1].value, "3");
	EXPECT_EQ(route_request_count(route), 0u);
}

TEST_F(RouteTest, a_deadline_is_answered_at_once)
{
	start_request();
	route_tick(route, 999999, fx);
	EXPECT_EQ(reply_summary(), "");
	route_tick(route, 1000000, fx);
	EXPECT_EQ(reply_summary(), "503 not-run");
	EXPECT_EQ(
	    outcomes, std::vector<int>{WIRE__DONE_OUTCOME__DONE_CANCELLED});
}

TEST_F(RouteTest, a_late_grant_is_returned)
{
	start_request();
	route_on_caller_gone(route, 500, 1, fx);
	outcomes.clear();
	reply_grant();
	EXPECT_EQ(
	    outcomes, std::vector<int>{WIRE__DONE_OUTCOME__DONE_CANCELLED});
	EXPECT_EQ(last_call, 0u);
}

/* Guards against a retry storm when all endpoints fail. */
TEST_F(RouteTest, retries_stop_when_their_budget_is_used_up)
{
	size_t attempts = 0;

	for (uint64_t i = 0; i < 100; i++) {
		ask_ids.clear();
		start_request();
		while (route_request_count(route) > 0) {
			reply_grant();
			receive_call_event(NODE_CALL_NOT_SENT);
			attempts++;
		}
		node_effects_clear(fx);
	}
	/* one per request, the initial burst, and a tenth of the requests */
	EXPECT_LE(attempts, 100u + 10u + 11u);
}

/*
 * Guards against a second full timeout for the caller: an engine that was
 * silent has less time for its first byte than one whose connection broke.
 */
TEST_F(RouteTest, a_resumed_call_times_out_sooner_after_silence)
{
	const struct {
		uint64_t broken_us, first_us;
	} cases[] = {{20000, 0}, {2000000, 1000000}};

	for (auto &c : cases) {
		struct node_call_event event = {};
		uint64_t first_us = UINT64_MAX;

		start_request();
		reply_grant();
		receive_call_event(NODE_CALL_HEAD, 200);
		receive_call_event(NODE_CALL_DATA, 0,
		    "data: {\"id\": \"1-7-" + std::to_string(last_request) +
			"\", \"model\": \"t/a@1\", \"offset\": 0, "
			"\"tokens\": 1, "
			"\"choices\": [{\"text\": \"x\"}]}\n\n");
		event.call = last_call;
		event.phase = NODE_CALL_BROKEN;
		node_effects_clear(fx);
		(void)route_on_call_event(route, c.broken_us, &event, fx);
		for (size_t i = 0; i < node_effects_count(fx); i++)
			if (node_effects_at(fx, i)->type == NODE_FX_CALL)
				first_us = node_effects_at(fx, i)
					       ->u.call.first_byte_silence_us;
		EXPECT_EQ(first_us, c.first_us);
	}
}

/*
 * Guards against freeing the key of a call that ran: its claim start is sent
 * and applied again after its end is proposed, when no request waits for it.
 */
TEST_F(RouteTest, a_call_that_ran_is_never_reported_as_not_run)
{
	struct claim claim = {};

	claim.team = claim.key = (char *)"t";
	start_request("POST", "/book", "key");
	route_on_claim_applied(route, 500, 7, CLAIM_GRANTED, &claim, false, fx);
	reply_grant();
	receive_call_event(NODE_CALL_HEAD, 200);
	receive_call_event(NODE_CALL_END);
	route_tick(route, 5000000, fx); /* the end is not recorded in time */
	EXPECT_EQ(reply_summary(), "200 done");
	route_on_claim_applied(
	    route, 6000000, 7, CLAIM_GRANTED, &claim, true, fx);
	EXPECT_EQ(claim_ends, std::vector<int>{CLAIM_END_ANSWERED});
}

/* Guards against requests whose connections end with the process alone. */
TEST_F(RouteTest, open_requests_are_ended_by_the_end_of_a_stop)
{
	static const struct {
		bool is_granted, is_stream_begun;
		const char *summary;
	} rows[] = {{false, false, "503 not-run"}, {true, false, "504 unknown"},
	    {true, true, "200"}};

	for (auto &row : rows) {
		TearDown();
		SetUp();
		start_request();
		if (row.is_granted)
			reply_grant();
		if (row.is_stream_begun) {
			receive_call_event(NODE_CALL_HEAD, 200);
			receive_call_event(NODE_CALL_DATA, 0,
			    "data: {\"run\": \"x\", \"index\": 0}\n\n");
		}
		route_begin_stop(route, 500000);
		route_tick(route, 499999, fx);
		EXPECT_EQ(route_request_count(route), 1u);
		EXPECT_LE(route_next_us(route), 500000u);
		route_tick(route, 500000, fx);
		EXPECT_EQ(route_request_count(route), 0u);
		if (!row.is_stream_begun) {
			EXPECT_EQ(reply_summary(), row.summary);
		}
	}
}
