#include <gtest/gtest.h>
#include <jansson.h>

#include <fstream>
#include <string>
#include <vector>

#include "util/events.h"

/* The recorded lines of docs/OPERATIONS.md, by its sections. */
struct Way {
	std::string title, id;
	std::vector<json_t *> lines;
};

static std::vector<Way>
read_ways()
{
	std::ifstream in(MP_SOURCE_DIR "/docs/OPERATIONS.md");
	std::vector<Way> ways;
	std::string line;

	while (std::getline(in, line)) {
		if (line.rfind("## ", 0) == 0)
			ways.push_back({line.substr(3), "", {}});
		if (line.rfind("Asked for: `", 0) == 0 && !ways.empty())
			ways.back().id = line.substr(12, 16);
		if (line.rfind("{", 0) == 0 && !ways.empty())
			ways.back().lines.push_back(
			    json_loads(line.c_str(), 0, nullptr));
	}
	return ways;
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

TEST(operations, each_way_begins_at_the_callers_id_and_is_connected)
{
	std::vector<Way> ways = read_ways();

	ASSERT_EQ(ways.size(), 3U);
	for (auto &way : ways) {
		ASSERT_GE(way.lines.size(), 2U) << way.title;
		for (json_t *line : way.lines) {
			ASSERT_NE(line, nullptr) << way.title;
			const event_kind *kind =
			    events_find((int)number(line, "number"));

			ASSERT_NE(kind, nullptr) << way.title;
			EXPECT_EQ(text(line, "event"), kind->name);
		}
		json_t *first = way.lines[0];

		EXPECT_EQ(text(first, "attempt"), way.id) << way.title;
		json_t *next = way.lines[1];

		if (number(first, "number") == NODE_LOG_GATE_REQUEST) {
			EXPECT_EQ(number(first, "ask"), number(next, "ask"));
			EXPECT_EQ(
			    number(first, "entry"), number(next, "entry"));
			EXPECT_EQ(text(first, "reason"), text(next, "reason"));
			EXPECT_NE(json_object_get(next, "heardMs"), nullptr);
		} else {
			EXPECT_EQ(
			    text(first, "instance"), text(next, "instance"));
			EXPECT_EQ(number(first, "config"), 0);
			EXPECT_EQ(text(way.lines.back(), "instance"),
			    text(first, "instance"));
			EXPECT_EQ(number(way.lines.back(), "number"),
			    NODE_LOG_GATE_CONFIG);
		}
	}
	for (auto &way : ways)
		for (json_t *line : way.lines)
			json_decref(line);
}
