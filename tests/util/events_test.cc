#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "util/buf.h"
#include "util/events.h"

/* One row of the table of events in docs/LOGS.md. */
struct Row {
	int number;
	std::string name, level;
};

static std::string
trim(const std::string &s)
{
	size_t a = s.find_first_not_of(' '), b = s.find_last_not_of(' ');

	return a == std::string::npos ? "" : s.substr(a, b - a + 1);
}

/* Reads the rows of the table in order. */
static std::vector<Row>
read_documented_rows()
{
	std::ifstream in(MP_SOURCE_DIR "/docs/LOGS.md");
	std::vector<Row> rows;
	std::string line;

	while (std::getline(in, line)) {
		std::istringstream cells(line);
		std::string cell[6];

		if (line[0] != '|')
			continue;
		for (auto &c : cell) {
			std::getline(cells, c, '|');
			c = trim(c);
		}
		if (cell[1].find_first_not_of("0123456789") !=
		    std::string::npos)
			continue;
		EXPECT_FALSE(cell[5].empty()) << line;
		rows.push_back({std::stoi(cell[1]), cell[2], cell[3]});
	}
	return rows;
}

/* Guards against an event that differs from its documentation. */
TEST(events, the_catalogue_matches_the_documentation)
{
	std::vector<Row> rows = read_documented_rows();
	size_t i;

	ASSERT_FALSE(rows.empty());
	for (i = 0; events_at(i) != nullptr; i++) {
		const struct event_kind *kind = events_at(i);

		ASSERT_LT(i, rows.size()) << kind->name << " is missing";
		EXPECT_EQ(rows[i].number, kind->number);
		EXPECT_EQ(rows[i].name, kind->name);
		EXPECT_EQ(rows[i].level, events_level_name(kind->level));
	}
	EXPECT_EQ(rows.size(), i);
}

/* Guards against two events that readers of the logs cannot tell apart. */
TEST(events, numbers_ascend_and_names_are_unique)
{
	std::set<std::string> names;
	int last = 0;

	for (size_t i = 0; events_at(i) != nullptr; i++) {
		EXPECT_GT(events_at(i)->number, last);
		last = events_at(i)->number;
		EXPECT_TRUE(names.insert(events_at(i)->name).second);
		EXPECT_EQ(events_find(last), events_at(i));
	}
	EXPECT_EQ(events_find(last + 1), nullptr);
}

static std::string
format(const char *text, ...)
{
	struct buf out = {};
	std::string result;
	va_list args;

	va_start(args, text);
	events_format(&out, text, args);
	va_end(args);
	result = out.data;
	buf_free(&out);
	return result;
}

/*
 * Guards against a caller's string that breaks a log line or adds fields to it:
 * quotes, control characters, invalid UTF-8 and long strings.
 */
TEST(events, fields_are_valid_json_for_any_string)
{
	const struct {
		std::string value, in_json;
	} cases[] = {{"tallinn", "tallinn"}, {"", ""},
	    {"a\",\"level\":\"x", "a\\\",\\\"level\\\":\\\"x"},
	    {"back\\slash", "back\\\\slash"},
	    {"line\nfeed\x1b[31m", "line\\nfeed\\u001b[31m"},
	    {"\xc3\xb5hk \xff\xe2\x82", "\xc3\xb5hk ???"},
	    {std::string(5000, 'x'), std::string(400, 'x')}};

	for (const auto &c : cases)
		EXPECT_EQ(format("{\"s\": \"%s\"}", c.value.c_str()),
		    "{\"s\": \"" + c.in_json + "\"}");
	EXPECT_EQ(format("%d %u %zu %llu%% %s", -1, 2U, (size_t)3, 4ULL,
		      (const char *)nullptr),
	    "-1 2 3 4% ");
}
