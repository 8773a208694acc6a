#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fakes/fake.h"
#include "mulberryctl/json_diff.h"
#include "mulberryctl/load_check.h"
#include "mulberryctl/load_stats.h"
#include "mulberryctl/trace_make.h"

namespace {

std::string
Diff(const char *old, const char *fresh)
{
	json_t *a = json_loads(old, 0, nullptr);
	json_t *b = json_loads(fresh, 0, nullptr);
	json_t *diff = json_diff(a, b), *item;
	std::string out;
	size_t i;

	json_array_foreach(diff, i, item)
	{
		out += json_string_value(json_object_get(item, "change"));
		out += " ";
		out += json_string_value(json_object_get(item, "path"));
		out += ";";
	}
	json_decref(diff);
	json_decref(a);
	json_decref(b);
	return out;
}

TEST(JsonDiff, NamesEveryPath)
{
	const struct {
		const char *old, *fresh, *want;
	} cases[] = {
	    {R"({"a":1})", R"({"a":1})", ""},
	    {R"({"a":1,"b":2})", R"({"b":2,"a":1})", ""},
	    {R"({"a":1})", R"({"a":1.0})", ""},
	    {R"({"a":1})", R"({"a":2})", "changed $.a;"},
	    {R"({"a":1})", R"({"b":1})", "removed $.a;added $.b;"},
	    {R"({"a":{"b-c":{"d":1}}})", R"({"a":{"b-c":{"d":"1"}}})",
		"changed $.a.b-c.d;"},
	    {R"({"c":{"POST /x":1}})", R"({"c":{"GET /x":1}})",
		"removed $.c[\"POST /x\"];added $.c[\"GET /x\"];"},
	    {R"([1,2,3])", R"([1,4])", "changed $[1];removed $[2];"},
	    {R"({"a":[{"b":1}]})", R"({"a":[{"b":2},3]})",
		"changed $.a[0].b;added $.a[1];"},
	    {R"({"a":{}})", R"({"a":[]})", "changed $.a;"},
	};

	for (const auto &c : cases)
		EXPECT_EQ(Diff(c.old, c.fresh), c.want) << c.old << c.fresh;
}

TEST(LoadStats, JainsIndex)
{
	const struct {
		std::vector<double> values;
		double want;
	} cases[] = {{{5, 5, 5}, 1}, {{1, 0, 0, 0}, 0.25}, {{0, 0}, 1},
	    {{1, 3}, 0.8}, {{}, 1}};

	for (const auto &c : cases)
		EXPECT_DOUBLE_EQ(
		    load_jain(c.values.data(), c.values.size()), c.want);
}

/* Counts, weights and percentiles, with and without the window. */
TEST(LoadStats, ReportsWhatWasNoted)
{
	load_stats *s = load_stats_create();
	load_class *c = load_stats_class(s, "t", "draft", 2);
	load_end end = {LOAD_DELIVERED, nullptr, 0, 0, 0};
	json_t *report, *total;
	double p95;

	for (unsigned i = 1; i <= 100; i++) {
		end.at_us = i;
		end.end_us = i + i * 1000;
		end.first_us = i * 100;
		load_stats_arrive(s, c, i, true);
		load_stats_end(s, c, &end, true);
	}
	end.outcome = LOAD_REFUSED;
	end.code = "deadline";
	load_stats_arrive(s, c, 1500000, true);
	load_stats_end(s, c, &end, true);
	load_stats_arrive(s, c, 1600000, false);
	load_stats_end(s, c, &end, false);
	report = load_stats_report(s);
	total = json_object_get(report, "total");
	EXPECT_EQ(json_integer_value(json_object_get(total, "offered")), 101);
	EXPECT_EQ(json_integer_value(json_object_get(total, "delivered")), 100);
	EXPECT_EQ(
	    json_real_value(json_object_get(total, "deliveredWeight")), 200);
	EXPECT_EQ(json_integer_value(json_object_get(
		      json_object_get(total, "codes"), "deadline")),
	    1);
	p95 = json_real_value(
	    json_object_get(json_object_get(total, "whole"), "p95Ms"));
	EXPECT_GE(p95, 95);
	EXPECT_LE(p95, 100); /* a bucket's top, but never above the largest */
	EXPECT_EQ(json_array_size(json_object_get(
		      json_object_get(report, "timeline"), "offered")),
	    2U);
	json_decref(report);
	load_stats_destroy(s);
}

/* ---- answers ---------------------------------------------------------------
 */

TEST(LoadCheck, KnowsTheStandInsText)
{
	trace_request r = {};
	buf whole = {};
	std::string text;

	r.team = (char *)"team";
	r.adapter = (char *)"a";
	r.version = (char *)"3";
	r.session = (char *)R"([{"role":"system","content":"be brief"},)"
			    R"({"role":"user","content":"why?"}])";
	r.max_tokens = 12;
	for (unsigned i = 0; i < r.max_tokens; i++)
		fake_append_token(
		    &whole, "team/a@3", "system: be brief\nuser: why?\n", i);
	text.assign(whole.data, whole.len);
	buf_free(&whole);
	const struct {
		const char *model;
		std::string text;
		load_verdict want;
	} cases[] = {{"a@3", text, LOAD_WHOLE},
	    {"a@3", text.substr(0, 30), LOAD_CUT}, {"a@3", "", LOAD_CUT},
	    {"a@3", text + "x", LOAD_WRONG}, {"a@2", text, LOAD_WRONG},
	    {"b@3", text, LOAD_WRONG}, {"ab@3", text, LOAD_WRONG},
	    {"a@3", "x" + text.substr(1), LOAD_WRONG},
	    {nullptr, text, LOAD_WRONG}};

	for (const auto &c : cases)
		EXPECT_EQ(load_check(&r, c.model, c.text.data(), c.text.size()),
		    c.want)
		    << (c.model ? c.model : "none") << " " << c.text;
	r.version = nullptr; /* whatever version the answer names */
	EXPECT_EQ(load_check(&r, "a@3", text.data(), text.size()), LOAD_WHOLE);
	EXPECT_EQ(load_check(&r, "a@4", text.data(), text.size()), LOAD_WRONG);
}

/* ---- traces ----------------------------------------------------------------
 */

std::string
Text(const trace *t)
{
	char *data = nullptr;
	size_t len = 0;
	FILE *f = open_memstream(&data, &len);
	mp_error err;

	EXPECT_EQ(trace_write(t, f, &err), MP_OK);
	fclose(f);
	std::string out(data, len);
	free(data);
	return out;
}

int
Read(trace *t, const std::string &text, mp_error *err)
{
	FILE *f = fmemopen((void *)text.data(), text.size(), "r");
	int rc = trace_read(t, f, err);

	fclose(f);
	return rc;
}

doc *
MakeDoc(const std::string &team)
{
	std::string text = R"({"team":")" + team + R"(","tokens":[],)" +
	    R"("weight":1,"limits":{"requestsPerSecond":0,"concurrent":0},)"
	    R"("kinds":{"k":{"weight":2,"priority":0,"deadlineMs":1000,)"
	    R"("maxTokens":40},"b":{"weight":1,"priority":0,)"
	    R"("deadlineMs":1000}},"adapters":{)";
	settings_problems problems = {};
	doc *d = nullptr;

	for (int i = 0; i < 200; i++)
		text += (i ? ",\"a" : "\"a") + std::to_string(i) +
		    R"(":{"version":"1","baseModel":"m","kind":"k"})";
	text += R"(},"services":{"orders":{"timeoutMs":1000,"calls":{)"
		R"("POST /book":{"idempotent":false,"kind":"b"},)"
		R"("GET /status/*":{"idempotent":true,"kind":"b"}}}}})";
	EXPECT_EQ(
	    doc_parse(&d, text.data(), text.size(), &problems, nullptr), 0);
	for (size_t i = 0; i < problems.count; i++)
		ADD_FAILURE() << problems.items[i].path << " "
			      << problems.items[i].allowed;
	settings_problems_free(&problems);
	return d;
}

class TraceMake : public ::testing::Test {
      protected:
	doc *one = MakeDoc("one"), *two = MakeDoc("two");
	trace_shape shape = {};

	void
	SetUp() override
	{
		ASSERT_NE(one, nullptr);
		ASSERT_NE(two, nullptr);
		shape.seed = 7;
		shape.seconds = 20;
		shape.rate = 50;
		shape.zipf = 1.2;
		shape.flip_s = -1;
		shape.burst = 1;
		shape.chats = 0.3;
		shape.bookings = 0.1;
		shape.lookups = 0.1;
		shape.streams = 0.5;
		shape.tokens = 32;
		shape.prompt_bytes = 100;
		shape.teams[0] = {one, 1, 1, 0, 0};
		shape.teams[1] = {two, 3, 1, 0, 0};
		shape.nteams = 2;
	}

	void
	TearDown() override
	{
		doc_unref(one);
		doc_unref(two);
	}

	std::string
	Make()
	{
		trace t = {};

		trace_make(&t, &shape);
		std::string text = Text(&t);
		trace_free(&t);
		return text;
	}

	static std::vector<std::string>
	LinesOf(const std::string &text, const std::string &team)
	{
		std::vector<std::string> out;
		size_t at = 0, end;

		for (; (end = text.find('\n', at)) != std::string::npos;
		     at = end + 1) {
			std::string line = text.substr(at, end - at);
			if (line.find("\"team\":\"" + team + "\"") !=
			    std::string::npos)
				out.push_back(line);
		}
		return out;
	}
};

TEST_F(TraceMake, SameSeedSameTraceAndFileKeepsIt)
{
	std::string text = Make();
	trace t = {};
	mp_error err;

	EXPECT_EQ(text, Make());
	ASSERT_EQ(Read(&t, text, &err), MP_OK) << err.message;
	EXPECT_EQ(Text(&t), text);
	for (size_t i = 1; i < t.count; i++)
		EXPECT_LE(t.items[i - 1].at_ms, t.items[i].at_ms);
	trace_free(&t);
	shape.seed = 8;
	EXPECT_NE(text, Make());
}

TEST_F(TraceMake, RateSharesAndKinds)
{
	std::string text = Make();
	double one_count = LinesOf(text, "one").size();
	double two_count = LinesOf(text, "two").size();
	auto count = [&text](const std::string &what) {
		size_t n = 0;
		for (size_t at = 0;
		     (at = text.find(what, at)) != std::string::npos; at++)
			n++;
		return (double)n;
	};
	double all = one_count + two_count;

	EXPECT_NEAR(all, 1000, 120);
	EXPECT_NEAR(two_count / one_count, 3, 0.8);
	EXPECT_NEAR(count("\"key\"") / all, 0.1, 0.03);
	EXPECT_NEAR(count("\"path\":\"orders/status/") / all, 0.1, 0.03);
	EXPECT_NEAR(count("\"session\"") / all, 0.24, 0.05);
	EXPECT_EQ(count("\"max_tokens\":4"),
	    count("\"max_tokens\":40,") + count("\"max_tokens\":4,"));
}

TEST_F(TraceMake, FloodLeavesTheOthersAlone)
{
	std::string calm = Make();
	std::vector<std::string> quiet = LinesOf(calm, "one");
	size_t before = LinesOf(calm, "two").size(), inside = 0;

	shape.teams[1].flood = 10;
	shape.teams[1].flood_from_s = 5;
	shape.teams[1].flood_to_s = 10;
	std::string flood = Make();

	EXPECT_EQ(LinesOf(flood, "one"), quiet);
	for (const std::string &line : LinesOf(flood, "two")) {
		int at = atoi(line.c_str() + line.find(':') + 1);
		inside += at >= 5000 && at < 10000;
	}
	EXPECT_NEAR((double)inside, (double)before / 4 * 10,
	    (double)before / 4 * 10 * 0.2);
}

/* The adapter asked for most before a flip is hardly asked for after it. */
TEST_F(TraceMake, FlipTurnsThePopularityRound)
{
	std::map<std::string, int> first, second;
	trace t = {};

	shape.flip_s = 10;
	shape.chats = 0;
	trace_make(&t, &shape);
	for (size_t i = 0; i < t.count; i++)
		if (t.items[i].adapter != nullptr)
			(t.items[i].at_ms < 10000
				? first
				: second)[std::string(t.items[i].team) +
			    t.items[i].adapter]++;
	auto top = std::max_element(first.begin(), first.end(),
	    [](const auto &a, const auto &b) { return a.second < b.second; });
	EXPECT_GT(top->second, 40);
	EXPECT_LT(second[top->first], 4);
	trace_free(&t);
}

TEST(Trace, BadLinesAreNamed)
{
	const struct {
		const char *text, *want;
	} cases[] = {{"{}\n", "line 1: \"at_ms\""}, {"\n5\n", "line 2: not"},
	    {"{\"at_ms\":-1,\"team\":\"t\",\"kind\":\"k\"}\n", "\"at_ms\""},
	    {"{\"at_ms\":1,\"team\":\"t\"}\n", "\"team\" and \"kind\""},
	    {"{\"at_ms\":1,\"team\":\"t\",\"kind\":\"k\"}\n", "\"adapter\""},
	    {"{\"at_ms\":1,\"team\":\"t\",\"kind\":\"k\",\"adapter\":\"a\"}\n",
		"one of \"prompt\""},
	    {"{\"at_ms\":1,\"team\":\"t\",\"kind\":\"k\",\"adapter\":\"a\","
	     "\"prompt\":\"p\"}\n",
		"\"max_tokens\""}};

	for (const auto &c : cases) {
		trace t = {};
		mp_error err = {};

		EXPECT_EQ(Read(&t, c.text, &err), MP_ERR_INVALID) << c.text;
		EXPECT_NE(
		    std::string(err.message).find(c.want), std::string::npos)
		    << err.message;
		trace_free(&t);
	}
}

} // namespace
