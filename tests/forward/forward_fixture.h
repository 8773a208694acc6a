#ifndef MP_TESTS_FORWARD_FIXTURE_H
#define MP_TESTS_FORWARD_FIXTURE_H

#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "forward/forward.h"
#include "platform/platform.h"
#include "util/mem.h"

#define MS 1000ULL

/* A forwarder of one entry. The test acts as the placer and the endpoints. */
class ForwardTest : public ::testing::Test {
      protected:
	uint64_t now_us = 5000000;
	forward *f = nullptr;
	node_effects *fx = node_effects_create();
	gw_target target = {(char *)"s", 1};
	gw_route route = {};
	uint64_t call_count = 0, ask_count = 0, last_request = 0;
	std::vector<place_request> place_requests;
	std::vector<std::string> avoided;
	std::vector<place_outcome> outcomes;
	std::vector<place_result> results; /* of the outcomes */
	std::vector<place_notice> notices;
	std::vector<std::string> observed; /* endpoint and how it ended */
	/* the account's quota: charges, and what became of them */
	bool is_charge_late = false;
	int charges = 0, refunds = 0, cancelled_charges = 0;
	uint64_t charged_ask = 0;
	bool is_quarantined = false, is_repeat_refused = false;
	forward_verdict verdict = FORWARD_SEND; /* of each check */
	uint32_t verdict_retry_after_ms = 0;
	std::vector<std::string> checks; /* endpoint and service */
	uint64_t grant_age_us = 0, not_after_us = 0;
	std::string account; /* of the requests; "": none */
	/* the response to the caller */
	int status = 0;
	std::string body, retry_after;
	bool is_complete = false, is_aborted = false;
	/* the last call to an endpoint */
	uint64_t call = 0;
	std::string resume_after, deadline_header;
	bool is_cancelled = false;
	bool is_fresh = false; /* the last call's connection */

	void
	SetUp() override
	{
		static const forward_ops ops = {ask, done, notice, may_send,
		    check, observe, next_call, log, charge, uncharge};

		route.name = (char *)"r";
		route.host = (char *)"h";
		route.prefix = (char *)"/";
		route.kind = GW_IDEMPOTENT;
		route.timeout_ms = 4000;
		route.target_ms = 300;
		route.max_attempts = 2;
		route.targets = &target;
		route.ntargets = 1;
		route.weight = 1;
		f = forward_create(&platform_codec, &ops, this, 7, "z");
	}

	void
	TearDown() override
	{
		forward_destroy(f);
		node_effects_destroy(fx);
	}

	static void
	ask(void *ctx, const place_request *r, node_effects *)
	{
		ForwardTest *t = (ForwardTest *)ctx;

		t->ask_count++;
		t->place_requests.push_back(*r);
		t->avoided.clear();
		for (size_t i = 0; i < r->navoid; i++)
			t->avoided.push_back(r->avoid[i]);
	}

	static void
	done(void *ctx, uint64_t, const place_result *end, node_effects *)
	{
		((ForwardTest *)ctx)->outcomes.push_back(end->outcome);
		((ForwardTest *)ctx)->results.push_back(*end);
	}

	static void
	notice(void *ctx, uint64_t, const place_notice *notice, node_effects *)
	{
		((ForwardTest *)ctx)->notices.push_back(*notice);
	}

	static bool
	may_send(void *ctx, const gw_request *, bool was_sent)
	{
		ForwardTest *t = (ForwardTest *)ctx;

		return was_sent ? !t->is_repeat_refused : !t->is_quarantined;
	}

	static forward_verdict
	check(void *ctx, forward_check *c, node_effects *)
	{
		ForwardTest *t = (ForwardTest *)ctx;

		t->checks.push_back(
		    std::string(c->endpoint == nullptr ? "-" : c->endpoint) +
		    " " + c->service + " " + c->path + " " +
		    std::to_string(c->config_version));
		c->reason = "changed";
		c->retry_after_ms = t->verdict_retry_after_ms;
		return t->verdict;
	}

	static void
	observe(void *ctx, const forward_observation *observed, node_effects *)
	{
		ForwardTest *t = (ForwardTest *)ctx;

		t->observed.push_back(std::string(observed->endpoint) +
		    (observed->is_served ? " served" : " ended"));
	}

	static bool
	charge(void *ctx, uint64_t ask, const gw_request *, uint64_t *tokens)
	{
		ForwardTest *t = (ForwardTest *)ctx;

		t->charges++;
		t->charged_ask = ask;
		*tokens = 7;
		return !t->is_charge_late;
	}

	static void
	uncharge(void *ctx, uint64_t, const gw_request *, uint64_t tokens,
	    bool is_waiting)
	{
		ForwardTest *t = (ForwardTest *)ctx;

		EXPECT_EQ(7u, tokens);
		if (is_waiting)
			t->cancelled_charges++;
		else
			t->refunds++;
	}

	static uint64_t
	next_call(void *ctx)
	{
		return ++((ForwardTest *)ctx)->call_count;
	}

	static void
	log(void *, const char *, node_effects *)
	{
	}

	/* Records all effects and clears them. */
	void
	ApplyEffects()
	{
		for (size_t i = 0; i < node_effects_count(fx); i++)
			ApplyEffect(node_effects_at(fx, i));
		node_effects_clear(fx);
	}

	void
	ApplyEffect(const node_effect *e)
	{
		switch (e->type) {
		case NODE_FX_REPLY:
			EXPECT_EQ(status, 0) << "two heads";
			status = e->u.reply.status;
			body.append(e->u.reply.body.data, e->u.reply.body.len);
			is_complete = !e->u.reply.more;
			for (size_t k = 0; k < e->u.reply.nheaders; k++)
				if (std::string(e->u.reply.headers[k].name) ==
				    "Retry-After")
					retry_after =
					    e->u.reply.headers[k].value;
			break;
		case NODE_FX_REPLY_DATA:
			body.append(e->u.reply_data.data.data,
			    e->u.reply_data.data.len);
			break;
		case NODE_FX_REPLY_END:
			is_complete = !e->u.reply_end.aborted;
			is_aborted = e->u.reply_end.aborted;
			break;
		case NODE_FX_CALL:
			call = e->u.call.call;
			not_after_us = e->u.call.not_after_us;
			is_cancelled = false;
			is_fresh = e->u.call.fresh_connection;
			resume_after = deadline_header = "";
			for (size_t k = 0; k < e->u.call.nheaders; k++) {
				std::string name = e->u.call.headers[k].name;

				if (name == "Last-Event-Id")
					resume_after =
					    e->u.call.headers[k].value;
				if (name == "Mulberrypath-Deadline-Ms")
					deadline_header =
					    e->u.call.headers[k].value;
			}
			break;
		case NODE_FX_CALL_CANCEL:
			is_cancelled = e->u.cancelled_call == call;
			break;
		default:
			break;
		}
	}

	void
	StartRequest(uint32_t deadline_ms = 2000)
	{
		node_header headers[] = {
		    {"Host", "h"}, {"Mulberrypath-Attempt-Id", "42"}};
		node_request in = {};
		gw_request decoded = {};

		in.request = ++last_request;
		in.method = "POST";
		in.path = "/x";
		in.body = {"q", 1};
		decoded.host = "h";
		decoded.attempt = "42";
		decoded.deadline_ms = deadline_ms;
		decoded.account = account.empty() ? nullptr : account.c_str();
		decoded.headers = headers;
		decoded.nheaders = 2;
		forward_start_request(f, now_us, &in, &decoded, &route, 1, fx);
		ApplyEffects();
	}

	bool
	Grant(const char *endpoint = "i-1")
	{
		forward_grant g = {place_requests.back().id.ask, endpoint,
		    "1.1.1.1:1", 1, 0, 4, grant_age_us};
		bool taken = forward_on_grant(f, now_us, &g, fx);

		ApplyEffects();
		return taken;
	}

	void
	ReceiveCallEvent(node_call_phase phase, const std::string &data = "")
	{
		node_call_event ev = {};

		ev.call = call;
		ev.phase = phase;
		ev.data = {data.data(), data.size()};
		ev.reason = "test";
		(void)forward_on_call_event(f, now_us, &ev, fx);
		ApplyEffects();
	}

	void
	ReceiveBroken(bool closed_by_peer)
	{
		node_call_event ev = {};

		ev.call = call;
		ev.phase = NODE_CALL_BROKEN;
		ev.reason = "test";
		ev.closed_by_peer = closed_by_peer;
		(void)forward_on_call_event(f, now_us, &ev, fx);
		ApplyEffects();
	}

	void
	ReceiveHead(int s, std::vector<node_header> headers,
	    bool is_kept_connection = false)
	{
		node_call_event ev = {};

		ev.is_kept_connection = is_kept_connection;
		ev.call = call;
		ev.phase = NODE_CALL_HEAD;
		ev.status = s;
		ev.headers = headers.data();
		ev.nheaders = headers.size();
		(void)forward_on_call_event(f, now_us, &ev, fx);
		ApplyEffects();
	}

	/* Receives the head of a correct response. */
	void
	ReceiveSignedHead(int s = 200)
	{
		ReceiveHead(s,
		    {{"Mulberrypath-Attempt-Id", "42"},
			{"Mulberrypath-Server-Signature", "sig"}});
	}
};

#endif
