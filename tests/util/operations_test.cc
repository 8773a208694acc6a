#include <gtest/gtest.h>
#include <jansson.h>

#include <fstream>
#include <string>
#include <vector>

#include "util/events.h"

/* The log lines in one section of docs/OPERATIONS.md, which follow one id. */
struct Trace {
	std::string title, id;
	std::vector<json_t *> lines;
};

static std::vector<Trace>
read_traces()
{
	std::ifstream in(MP_SOURCE_DIR "/docs/OPERATIONS.md");
	std::vector<Trace> traces;
	std::string line;

	while (std::getline(in, line)) {
		if (line.rfind("## ", 0) == 0)
			traces.push_back({line.substr(3), "", {}});
		if (line.rfind("Asked for: `", 0) == 0 && !traces.empty())
			traces.back().id = line.substr(12, 16);
		if (line.rfind("{", 0) == 0 && !traces.empty())
			traces.back().lines.push_back(
			    json_loads(line.c_str(), 0, nullptr));
	}
	return traces;
}

static std::string
text(json_t *line, const char *key)
{
	const char *value = json_string_value(json_object_get(line, key));

	return value == nullptr ? "" : value;
}

static long long
number(json_t *line, const char *key)
{
	return json_integer_value(json_object_get(line, key));
}

/*
 * Guards against instructions that cannot be followed: a trace starts at the id
 * that the caller was given, and its lines share the fields that lead from one
 * to the next. Also fails if a line holds an event that is not in the
 * catalogue.
 */
TEST(operations, each_trace_starts_at_the_callers_id_and_is_connected)
{
	std::vector<Trace> traces = read_traces();

	ASSERT_EQ(traces.size(), 5U);
	for (auto &trace : traces) {
		ASSERT_GE(trace.lines.size(), 2U) << trace.title;
		for (json_t *line : trace.lines) {
			ASSERT_NE(line, nullptr) << trace.title;
			const event_kind *kind =
			    events_find((int)number(line, "number"));

			ASSERT_NE(kind, nullptr) << trace.title;
			EXPECT_EQ(text(line, "event"), kind->name);
		}
		json_t *first = trace.lines[0];

		EXPECT_EQ(text(first, "attempt"), trace.id) << trace.title;
		json_t *next = trace.lines[1];

		if (number(first, "number") == NODE_LOG_GATE_REQUEST) {
			EXPECT_EQ(number(first, "ask"), number(next, "ask"));
			EXPECT_EQ(
			    number(first, "entry"), number(next, "entry"));
			EXPECT_EQ(text(first, "reason"), text(next, "reason"));
			/* What decided: the quota, or an endpoint's state. */
			EXPECT_NE(json_object_get(next,
				      text(first, "reason") == "over-quota"
					  ? "account"
					  : "heardMs"),
			    nullptr);
		} else {
			EXPECT_EQ(
			    text(first, "instance"), text(next, "instance"));
			/* none yet, or the one that refused the request */
			if (number(first, "config") != 0) {
				EXPECT_EQ(number(first, "config"),
				    number(trace.lines.back(), "version"));
			} else {
				EXPECT_EQ(text(first, "reason"),
				    "no configuration is known yet");
			}
			EXPECT_EQ(text(trace.lines.back(), "instance"),
			    text(first, "instance"));
			EXPECT_EQ(number(trace.lines.back(), "number"),
			    NODE_LOG_GATE_CONFIG);
		}
	}
	for (auto &trace : traces)
		for (json_t *line : trace.lines)
			json_decref(line);
}
