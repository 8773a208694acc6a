#include "system/system.h"

/*
 * Guards against lost or duplicated tokens and lost calls when an engine shuts
 * down or stops answering while it runs a stream.
 */

/* Returns the id of the engine that runs a call, empty if there is none. */
static std::string
find_busy_engine(const std::function<std::string(const std::string &)> &state)
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

TEST_F(System, a_leaving_engine_completes_its_stream_and_receives_no_calls)
{
	const int tokens = 90;
	std::string answer, engine, state;
	long load_changes = 0;
	int s;

	start_serving(2, {"--step-ms", "50"});
	auto engine_state = [&](const std::string &id) {
		return call_endpoint(id, "GET /fake/state");
	};
	s = begin_stream(4, tokens, "a1", &answer);
	engine = find_busy_engine(engine_state);
	ASSERT_NE(engine, "");
	endpoints[engine]->send_signal(SIGTERM);
	ASSERT_TRUE(
	    eventually([&] { return contains(engine_state(engine), "true"); }));
	/* calls succeed for 2 s; after that none may reach the engine */
	for (Deadline grace(2000); grace.left_ms() > 0;)
		EXPECT_EQ(call(3, completion_line,
			      R"({"model":"a1","prompt":"y","max_tokens":1})")
			      .find("HTTP/1.1 200"),
		    0u);
	state = engine_state(engine);
	load_changes =
	    json_number(state, "loads") + json_number(state, "evictions");
	size_t runs = state.substr(state.find("runsById")).size();
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(call(i % instance_count, completion_line,
			      R"({"model":"a1","prompt":"z","max_tokens":1})")
			      .find("HTTP/1.1 200"),
		    0u);
	state = engine_state(engine);
	ASSERT_FALSE(state.empty())
	    << "the stream ended before the engine was checked";
	EXPECT_EQ(json_number(state, "loads") + json_number(state, "evictions"),
	    load_changes);
	EXPECT_EQ(state.substr(state.find("runsById")).size(), runs) << state;
	answer += read_answer(s);
	close(s);
	EXPECT_TRUE(is_complete_stream(answer, tokens));
	EXPECT_EQ(endpoints[engine]->wait_exit(), 0);
}

TEST_F(System, a_stream_of_a_silent_engine_ends_and_calls_use_another)
{
	const int tokens = 40;
	std::string answer, engine, next_answer;
	Deadline limit(0);
	int s, left_ms;

	start_serving(2, {"--step-ms", "30"});
	s = begin_stream(3, tokens, "a1", &answer);
	engine = find_busy_engine([&](const std::string &id) {
		return call_endpoint(id, "GET /fake/state");
	});
	ASSERT_NE(engine, "");
	call_endpoint(engine, "POST /fake/set", R"({"silentAll":true})");
	limit = Deadline(8000); /* the tokens alone take 1.2 s */
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
		next_answer = call(4, completion_line,
		    R"({"model":"a1","prompt":"x","max_tokens":1})");
		return next_answer.find("HTTP/1.1 200") == 0;
	})) << next_answer;
	printf("stream ended %d ms after the engine went silent, %s\n",
	    8000 - left_ms,
	    contains(answer, "[DONE]") ? "complete" : "with an error");
}
