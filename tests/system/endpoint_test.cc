#include "system/system.h"

/* Which engine runs something. */
static std::string
busy_engine(const std::function<std::string(const std::string &)> &state)
{
	std::string found;

	eventually([&] {
		for (const char *id : {"e1", "e2"})
			if (json_number(state(id), "running") > 0)
				found = id;
		return !found.empty();
	});
	return found;
}

TEST_F(System, a_leaving_engine_ends_its_stream_and_gets_no_more)
{
	const int tokens = 90;
	std::string answer, engine, state;
	long counted = 0;
	int s;

	start_serving(2, {"--step-ms", "50"});
	auto ask = [&](const std::string &id) {
		return call_endpoint(id, "GET /fake/state");
	};
	s = begin_stream(4, tokens, "a1", &answer);
	engine = busy_engine(ask);
	ASSERT_NE(engine, "");
	endpoints[engine]->send(SIGTERM);
	ASSERT_TRUE(eventually([&] { return contains(ask(engine), "true"); }));
	/* requests go on for 2 s; from then on none may reach it */
	for (Deadline grace(2000); grace.left_ms() > 0;)
		EXPECT_EQ(call(3, completion_line,
			      R"({"model":"a1","prompt":"y","max_tokens":1})")
			      .find("HTTP/1.1 200"),
		    0u);
	state = ask(engine);
	counted = json_number(state, "loads") + json_number(state, "evictions");
	size_t runs = state.substr(state.find("runsById")).size();
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(call(i % instance_count, completion_line,
			      R"({"model":"a1","prompt":"z","max_tokens":1})")
			      .find("HTTP/1.1 200"),
		    0u);
	state = ask(engine);
	ASSERT_FALSE(state.empty()) << "the stream was too short";
	EXPECT_EQ(json_number(state, "loads") + json_number(state, "evictions"),
	    counted);
	EXPECT_EQ(state.substr(state.find("runsById")).size(), runs) << state;
	answer += read_answer(s);
	close(s);
	EXPECT_TRUE(is_complete_stream(answer, tokens));
	EXPECT_EQ(endpoints[engine]->wait_exit(), 0);
}

TEST_F(System, an_engine_silent_in_mid_stream_is_left_for_another)
{
	const int tokens = 40;
	std::string answer, engine, again;
	Deadline limit(0);
	int s, left_ms;

	start_serving(2, {"--step-ms", "30"});
	s = begin_stream(3, tokens, "a1", &answer);
	engine = busy_engine([&](const std::string &id) {
		return call_endpoint(id, "GET /fake/state");
	});
	ASSERT_NE(engine, "");
	call_endpoint(engine, "POST /fake/set", R"({"silentAll":true})");
	limit = Deadline(8000); /* 1.2 s of it are the tokens' own */
	while (!contains(answer, "[DONE]") && !contains(answer, "\"error\"") &&
	    limit.left_ms() > 0)
		answer += read_answer(s, "\n\n");
	close(s);
	left_ms = limit.left_ms();
	EXPECT_GT(left_ms, 0);
	if (contains(answer, "\"error\"")) {
		EXPECT_FALSE(contains(answer, "[DONE]")) << answer;
	} else {
		EXPECT_TRUE(is_complete_stream(answer, tokens));
	}
	EXPECT_TRUE(eventually([&] {
		again = call(4, completion_line,
		    R"({"model":"a1","prompt":"x","max_tokens":1})");
		return again.find("HTTP/1.1 200") == 0;
	})) << again;
	printf("ended %d ms after the silence, %s\n", 8000 - left_ms,
	    contains(answer, "[DONE]") ? "whole" : "with an error");
}
