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

/* A route whose node answers nothing by itself. */
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
			((RouteTest *)ctx)->asks.push_back(ask->request);
		};
		ops.done = [](void *ctx, const Wire__GrantDone *done,
			       struct node_effects *) {
			((RouteTest *)ctx)->ends.push_back(done->outcome);
		};
		ops.next_call = [](void *ctx) {
			return ++((RouteTest *)ctx)->calls;
		};
		ops.claim_start = [](void *, const struct claim_start *,
				      uint64_t, uint64_t *proposal,
				      struct node_effects *) {
			*proposal = 7;
			return true;
		};
		ops.claim_end = [](void *ctx, const struct claim_end *end,
				    uint64_t, struct node_effects *) {
			((RouteTest *)ctx)->claim_ends.push_back(end->kind);
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
	begin(const char *method = nullptr, const char *path = nullptr,
	    const char *key = nullptr)
	{
		struct route_request r = {};

		r.request = ++requests;
		r.doc = doc;
		r.kind = doc_find_kind(doc, "k");
		r.deadline_us = 1000000;
		if (method == nullptr) {
			(void)doc_resolve(
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
	grant()
	{
		Wire__GrantReply reply = WIRE__GRANT_REPLY__INIT;

		reply.request = asks.back();
		reply.endpoint = (char *)"e";
		reply.address = (char *)"10.0.0.1:1";
		route_on_grant_reply(route, 1000, &reply, fx);
	}

	void
	call(enum node_call_phase phase, int status = 0,
	    const std::string &data = "", const char *retry_after = nullptr)
	{
		struct node_call_event event = {};

		event.call = calls;
		event.phase = phase;
		event.status = status;
		event.data = {data.data(), data.size()};
		event.retry_after = retry_after;
		(void)route_on_call_event(route, 2000, &event, fx);
	}

	/* The status and outcome of the final answer; "" while there is none.
	 */
	std::string
	answer()
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
	std::vector<uint64_t> asks;
	std::vector<int> ends, claim_ends;
	uint64_t calls = 0, requests = 0;
};

TEST_F(RouteTest, a_call_is_retried_only_where_that_is_safe)
{
	struct {
		const char *method, *path;
		enum node_call_phase phase;
		int status;
		const char *retry_after;
		size_t asks; /* after the event */
		const char *answer; /* "" while it goes on */
	} cases[] = {
	    /* nothing was sent: any call may be tried elsewhere */
	    {"POST", "/book", NODE_CALL_NOT_SENT, 0, nullptr, 2, ""},
	    {"GET", "/look", NODE_CALL_NOT_SENT, 0, nullptr, 2, ""},
	    {nullptr, nullptr, NODE_CALL_NOT_SENT, 0, nullptr, 2, ""},
	    /* it may have run: only what may be repeated */
	    {"POST", "/book", NODE_CALL_BROKEN, 0, nullptr, 1, "502 unknown"},
	    {"GET", "/look", NODE_CALL_BROKEN, 0, nullptr, 2, ""},
	    {nullptr, nullptr, NODE_CALL_BROKEN, 0, nullptr, 2, ""},
	    /* the endpoint says that it did not run */
	    {"POST", "/book", NODE_CALL_HEAD, 503, "1", 1, ""},
	    {nullptr, nullptr, NODE_CALL_HEAD, 409, nullptr, 2, ""},
	    {nullptr, nullptr, NODE_CALL_HEAD, 503, nullptr, 2, ""},
	    /* an answer, whatever it says, is the caller's */
	    {"POST", "/book", NODE_CALL_HEAD, 500, nullptr, 1, ""},
	};

	for (auto &c : cases) {
		begin(c.method, c.path);
		grant();
		call(c.phase, c.status, "", c.retry_after);
		EXPECT_EQ(asks.size(), c.asks)
		    << (c.path == nullptr ? "model" : c.path) << " " << c.phase
		    << " " << c.status;
		EXPECT_EQ(answer(), c.answer);
		TearDown();
		asks.clear();
		calls = 0;
		SetUp();
	}
}

TEST_F(RouteTest, a_refusal_is_not_run_and_has_retry_after)
{
	Wire__GrantReply reply = WIRE__GRANT_REPLY__INIT;

	begin("POST", "/book");
	reply.request = asks.back();
	reply.status = WIRE__GRANT_STATUS__GRANT_REFUSED;
	reply.reason = (char *)"overload";
	reply.retry_after_ms = 2500;
	route_on_grant_reply(route, 1000, &reply, fx);
	EXPECT_EQ(answer(), "503 not-run");
	const struct node_reply &r = node_effects_at(fx, 0)->u.reply;
	ASSERT_EQ(r.nheaders, 2u);
	EXPECT_STREQ(r.headers[1].value, "3");
	EXPECT_EQ(route_request_count(route), 0u);
}

TEST_F(RouteTest, a_deadline_is_answered_at_once)
{
	begin();
	route_tick(route, 999999, fx);
	EXPECT_EQ(answer(), "");
	route_tick(route, 1000000, fx);
	EXPECT_EQ(answer(), "503 not-run");
	EXPECT_EQ(ends, std::vector<int>{WIRE__DONE_OUTCOME__DONE_CANCELLED});
}

TEST_F(RouteTest, a_late_grant_is_returned)
{
	begin();
	route_on_caller_gone(route, 500, 1, fx);
	ends.clear();
	grant();
	EXPECT_EQ(ends, std::vector<int>{WIRE__DONE_OUTCOME__DONE_CANCELLED});
	EXPECT_EQ(calls, 0u);
}

TEST_F(RouteTest, retries_stop_when_their_budget_is_used_up)
{
	size_t tries = 0;

	for (uint64_t i = 0; i < 100; i++) {
		asks.clear();
		begin();
		while (route_request_count(route) > 0) {
			grant();
			call(NODE_CALL_NOT_SENT);
			tries++;
		}
		node_effects_clear(fx);
	}
	/* each request once, the first burst, and a tenth of the requests */
	EXPECT_LE(tries, 100u + 10u + 11u);
}

/* One that fell silent has less time to answer than one that broke. */
TEST_F(RouteTest, a_resumed_call_times_out_sooner_after_silence)
{
	const struct {
		uint64_t broken_us, first_us;
	} cases[] = {{20000, 0}, {2000000, 1000000}};

	for (auto &c : cases) {
		struct node_call_event event = {};
		uint64_t first_us = UINT64_MAX;

		begin();
		grant();
		call(NODE_CALL_HEAD, 200);
		call(NODE_CALL_DATA, 0,
		    "data: {\"id\": \"1-7-" + std::to_string(requests) +
			"\", \"model\": \"t/a@1\", \"offset\": 0, "
			"\"tokens\": 1, "
			"\"choices\": [{\"text\": \"x\"}]}\n\n");
		event.call = calls;
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

/* A start that was sent again and is applied again decides nothing new. */
TEST_F(RouteTest, a_call_that_ran_is_never_reported_as_not_run)
{
	struct claim claim = {};

	claim.team = claim.key = (char *)"t";
	begin("POST", "/book", "key");
	route_on_claim_applied(route, 500, 7, CLAIM_GIVEN, &claim, false, fx);
	grant();
	call(NODE_CALL_HEAD, 200);
	call(NODE_CALL_END);
	route_tick(route, 5000000, fx); /* not recorded in time */
	EXPECT_EQ(answer(), "200 done");
	route_on_claim_applied(
	    route, 6000000, 7, CLAIM_GIVEN, &claim, true, fx);
	EXPECT_EQ(claim_ends, std::vector<int>{CLAIM_END_ANSWERED});
}
