#ifndef MP_TESTS_PATH_FIXTURE_H
#define MP_TESTS_PATH_FIXTURE_H

#include "forward/forward.h"
#include "http/front.h"
#include "http/loop_fixture.h"
#include "platform/platform.h"
#include "util/byte_budget.h"

/*
 * The whole path of a request within an entry: the front, the codec, the
 * forwarder and the HTTP client. The test is the caller, the placer, which
 * grants the only endpoint at once, and the endpoint, as plain sockets.
 */
class PathTest : public HttpTest {
      protected:
	front_server *front = nullptr;
	bool front_done = false;
	byte_budget *budget = nullptr; /* of the front */
	size_t connection_limit = 1;
	forward *f = nullptr;
	RawSocket listener;
	std::string endpoint;
	gw_target target = {(char *)"s", 1};
	gw_route route = {};
	uint64_t last_call = 0;
	std::vector<uint64_t> asks; /* without a grant */

	void
	SetUp() override
	{
		static const forward_ops ops = {ask, done, notice, may_send,
		    check, observe, next_call, log, nullptr, nullptr};
		http_server_callbacks callbacks = {
		    on_request, on_disconnect, on_backlog};
		front_options o = {"127.0.0.1:0", connection_limit,
		    NODE_LISTEN_FRONT, 50, {16384, 65536, 5000, 5000}, budget};
		mp_error err = {};

		HttpTest::SetUp();
		ASSERT_EQ(front_server_create(
			      &front, &loop, &o, &callbacks, this, &err),
		    0);
		route.name = (char *)"r";
		route.kind = GW_NON_IDEMPOTENT;
		route.timeout_ms = 8000;
		route.target_ms = 4000;
		route.max_attempts = 1;
		route.targets = &target;
		route.ntargets = 1;
		route.weight = 1;
		f = forward_create(&platform_codec, &ops, this, 7, "z");
		endpoint = listener.Listen();
		on_event = [this](const node_call_event *ev) {
			Step([&](node_effects *fx) {
				(void)forward_on_call_event(
				    f, clock_now_us(), ev, fx);
			});
		};
	}

	void
	TearDown() override
	{
		front_server_destroy(front, set_true, &front_done);
		HttpTest::TearDown();
		EXPECT_TRUE(front_done);
		forward_destroy(f);
	}

	static void
	ask(void *ctx, const place_request *r, node_effects *)
	{
		((PathTest *)ctx)->asks.push_back(r->id.ask);
	}

	static void
	done(void *, uint64_t, const place_result *, node_effects *)
	{
	}

	static void
	notice(void *, uint64_t, const place_notice *, node_effects *)
	{
	}

	static bool
	may_send(void *, const gw_request *, bool)
	{
		return true;
	}

	static forward_verdict
	check(void *, forward_check *, node_effects *)
	{
		return FORWARD_SEND;
	}

	static void
	observe(void *, const forward_observation *, node_effects *)
	{
	}

	static uint64_t
	next_call(void *ctx)
	{
		return ++((PathTest *)ctx)->last_call;
	}

	static void
	log(void *, const char *, node_effects *)
	{
	}

	static void
	on_request(void *ctx, const node_request *r)
	{
		PathTest *t = (PathTest *)ctx;

		t->Step([&](node_effects *fx) {
			gw_request decoded;
			mp_error err;

			ASSERT_EQ(
			    platform_codec.read_request(&decoded, r, fx, &err),
			    MP_OK);
			forward_start_request(t->f, clock_now_us(), r, &decoded,
			    &t->route, 1, fx);
		});
	}

	static void
	on_disconnect(void *ctx, uint64_t request)
	{
		PathTest *t = (PathTest *)ctx;

		t->Step([&](node_effects *fx) {
			(void)forward_on_caller_gone(
			    t->f, clock_now_us(), request, fx);
		});
	}

	static void
	on_backlog(void *ctx, uint64_t request, bool is_long)
	{
		http_client_pause(((PathTest *)ctx)->client, request, is_long);
	}

	/* Runs a step of the forwarder, grants its asks, executes effects. */
	void
	Step(const std::function<void(node_effects *)> &step)
	{
		node_effects *fx = node_effects_create();

		step(fx);
		while (!asks.empty()) {
			forward_grant g = {
			    asks.back(), "i-1", endpoint.c_str(), 1, 0, 5, 0};

			asks.pop_back();
			(void)forward_on_grant(f, clock_now_us(), &g, fx);
		}
		for (size_t i = 0; i < node_effects_count(fx); i++)
			Execute(node_effects_at(fx, i));
		node_effects_destroy(fx);
	}

	void
	Execute(const node_effect *e)
	{
		switch (e->type) {
		case NODE_FX_CALL:
			http_client_start(client, &e->u.call);
			break;
		case NODE_FX_CALL_CANCEL:
			http_client_cancel(client, e->u.cancelled_call);
			break;
		case NODE_FX_REPLY:
			front_server_reply(front, &e->u.reply);
			break;
		case NODE_FX_REPLY_DATA:
			front_server_send(front, e->u.reply_data.request,
			    e->u.reply_data.data);
			break;
		case NODE_FX_REPLY_END:
			front_server_end(front, e->u.reply_end.request,
			    e->u.reply_end.aborted);
			break;
		default:
			break;
		}
	}
};

#endif
