#include "system/system.h"

/* Which engine runs something. */
static std::string
busy_engine(const std::function<std::string(const std::string &)> &state)
{
	std::string found;

	eventually([&] {
		for (const char *id : {"e1", "e2"})
			if (number_in(state(id), "running") > 0)
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

	serve(2, {"--step-ms", "50"});
	auto ask = [&](const std::string &id) {
		return fake(id, "GET /fake/state");
	};
	s = begin_stream(4, tokens, "a1", &answer);
	engine = busy_engine(ask);
	ASSERT_NE(engine, "");
	endpoints[engine]->send_signal(SIGTERM);
	ASSERT_TRUE(eventually([&] { return has(ask(engine), "true"); }));
	/* requests go on for 2 s; from then on none may reach it */
	for (Deadline grace(2000); grace.left_ms() > 0;)
		EXPECT_EQ(call(3, stream,
			      R"({"model":"a1","prompt":"y","max_tokens":1})")
			      .find("HTTP/1.1 200"),
		    0u);
	state = ask(engine);
	counted = number_in(state, "loads") + number_in(state, "evictions");
	size_t runs = state.substr(state.find("runsById")).size();
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(call(i % instance_count, stream,
			      R"({"model":"a1","prompt":"z","max_tokens":1})")
			      .find("HTTP/1.1 200"),
		    0u);
	state = ask(engine);
	ASSERT_FALSE(state.empty()) << "the stream was too short";
	EXPECT_EQ(
	    number_in(state, "loads") + number_in(state, "evictions"), counted);
	EXPECT_EQ(state.substr(state.find("runsById")).size(), runs) << state;
	answer += read_answer(s);
	close(s);
	EXPECT_TRUE(is_whole(answer, tokens));
	EXPECT_EQ(endpoints[engine]->wait_exit(), 0);
}

TEST_F(System, an_engine_silent_in_mid_stream_is_left_for_another)
{
	const int tokens = 40;
	std::string answer, engine, again;
	Deadline limit(0);
	int s, left_ms;

	serve(2, {"--step-ms", "30"});
	s = begin_stream(3, tokens, "a1", &answer);
	engine = busy_engine(
	    [&](const std::string &id) { return fake(id, "GET /fake/state"); });
	ASSERT_NE(engine, "");
	fake(engine, "POST /fake/set", R"({"silentAll":true})");
	limit = Deadline(8000); /* 1.2 s of it are the tokens' own */
	while (!has(answer, "[DONE]") && !has(answer, "\"error\"") &&
	    limit.left_ms() > 0)
		answer += read_answer(s, "\n\n");
	close(s);
	left_ms = limit.left_ms();
	EXPECT_GT(left_ms, 0);
	if (has(answer, "\"error\"")) {
		EXPECT_FALSE(has(answer, "[DONE]")) << answer;
	} else {
		EXPECT_TRUE(is_whole(answer, tokens));
	}
	EXPECT_TRUE(eventually([&] {
		again = call(
		    4, stream, R"({"model":"a1","prompt":"x","max_tokens":1})");
		return again.find("HTTP/1.1 200") == 0;
	})) << again;
	printf("ended %d ms after the silence, %s\n", 8000 - left_ms,
	    has(answer, "[DONE]") ? "whole" : "with an error");
}
