/*
 * Splitting of configuration texts, and differences between them. A text that
 * is read back must have the bytes that were sent.
 */

#include "config_fixture.h"

#include <algorithm>
#include <random>

static std::vector<std::string>
Split(const std::string &text)
{
	std::vector<std::string> segments;
	gw_text *parsed = nullptr;

	if (gw_text_parse(&parsed, Bytes(text), nullptr, nullptr) != MP_OK)
		return {"invalid"};
	for (size_t i = 0; i < gw_text_count(parsed); i++) {
		node_bytes s = gw_text_segment(parsed, i);

		segments.push_back(std::string(s.data, s.len));
	}
	EXPECT_EQ(Join(parsed), text);
	EXPECT_EQ(gw_text_bytes(parsed), text.size());
	gw_text_destroy(parsed);
	return segments;
}

TEST(Text, is_split_at_the_elements_of_top_level_arrays)
{
	static const struct {
		const char *text;
		std::vector<std::string> segments;
	} rows[] = {{"{}", {"{}"}}, {" {\n} \n", {" {\n} \n"}},
	    {"{\"a\":1}", {"{\"a\":1}"}}, {"{\"a\":[]}", {"{\"a\":[]}"}},
	    {"{\"a\":[ ]}", {"{\"a\":[ ]}"}},
	    {"{\"a\":[1]}", {"{\"a\":[", "1", "]}"}},
	    {"{\"a\":[ 1 , {\"b\":[2]}\n]}",
		{"{\"a\":[ ", "1", " , ", "{\"b\":[2]}", "\n]}"}},
	    {"{\"a\":[1],\"b\":[\"x\",null]}",
		{"{\"a\":[", "1", "],\"b\":[", "\"x\"", ",", "null", "]}"}},
	    {"{\"o\":{\"a\":[1,2]}}", {"{\"o\":{\"a\":[1,2]}}"}},
	    {"{\"s\":\"[]{}\\\"[\",\"a\":[\"]}\\\\\",\"\\\"],\"]}",
		{"{\"s\":\"[]{}\\\"[\",\"a\":[", "\"]}\\\\\"", ",",
		    "\"\\\"],\"", "]}"}},
	    {"{\"k\\\"[\":[[],[[1]]]}",
		{"{\"k\\\"[\":[", "[]", ",", "[[1]]", "]}"}}};

	for (auto &row : rows)
		EXPECT_EQ(Split(row.text), row.segments) << row.text;
}

TEST(Text, a_text_that_is_no_object_is_refused)
{
	static const char *const rows[] = {"", " ", "[]", "7", "{", "{\"a\"}",
	    "{\"a\":}", "{\"a\":[}", "{\"a\":[1}", "{\"a\":[1,]}",
	    "{\"a\":[,]}", "{\"a\":[1 2]}", "{\"a\":[1,,2]}", "{\"a\":[\"]}",
	    "{\"a\":\"\\\"}", "{a:1}", "{\"a\":[1]", "{\"a\":{\"b\":1}",
	    "{\"a\":[{]}]}"};

	for (auto &row : rows)
		EXPECT_EQ(Split(row), std::vector<std::string>{"invalid"})
		    << row;
}

TEST(Text, arrays_are_known_by_their_name)
{
	static const char text[] = "{\"a\\\"b\" : [ 1,2 ],\"c\":{},\"r\":[3]}";
	size_t count;
	gw_text *parsed = nullptr;
	const gw_text_array *arrays;

	ASSERT_EQ(gw_text_parse(&parsed, Bytes(text), nullptr, nullptr), MP_OK);
	arrays = gw_text_arrays(parsed, &count);
	ASSERT_EQ(count, 2u);
	EXPECT_EQ(
	    std::string(arrays[0].key.data, arrays[0].key.len), "\"a\\\"b\"");
	EXPECT_EQ(arrays[0].first, 1u);
	EXPECT_EQ(arrays[0].count, 2u);
	EXPECT_EQ(std::string(arrays[1].key.data, arrays[1].key.len), "\"r\"");
	EXPECT_EQ(arrays[1].first, 5u);
	gw_text_destroy(parsed);
}

/* How many bytes of a text are new to one who has another. */
static size_t
DeltaBytes(const std::string &from, const std::string &to)
{
	gw_text *a = nullptr, *b = nullptr, *made = nullptr;
	gw_text_delta *delta;
	size_t bytes;

	EXPECT_EQ(gw_text_parse(&a, Bytes(from), nullptr, nullptr), MP_OK);
	EXPECT_EQ(gw_text_parse(&b, Bytes(to), nullptr, nullptr), MP_OK);
	delta = gw_text_diff(a, b);
	EXPECT_EQ(gw_text_apply(&made, a, delta, nullptr), MP_OK);
	EXPECT_EQ(Join(made), to);
	bytes = gw_text_delta_bytes(delta);
	gw_text_delta_destroy(delta);
	gw_text_destroy(a);
	gw_text_destroy(b);
	EXPECT_EQ(Join(made), to) << "it keeps the segments that it shares";
	gw_text_destroy(made);
	return bytes;
}

TEST(Text, a_difference_has_only_what_is_new)
{
	static const struct {
		const char *from, *to;
		size_t bytes;
	} rows[] = {{"{\"a\":[11,22,33]}", "{\"a\":[11,22,33]}", 0},
	    {"{\"a\":[11,22,33]}", "{\"a\":[11,44,33]}", 2},
	    {"{\"a\":[11,22,33]}", "{\"a\":[11,22,33,44]}", 3},
	    {"{\"a\":[11,22,33]}", "{\"a\":[44,11,22,33]}", 3},
	    {"{\"a\":[11,22,33]}", "{\"a\":[11,22]}", 0},
	    {"{\"a\":[11,22,33]}", "{\"a\":[22,33]}", 0},
	    {"{\"a\":[11,22,33,44]}", "{\"a\":[44,11,22,33]}", 3},
	    {"{\"v\":1,\"a\":[11,22,33]}", "{\"v\":2,\"a\":[11,44,33]}", 14},
	    {"{\"v\":1,\"a\":[11,22,33,44]}", "{\"v\":2,\"a\":[11,33,44]}", 12},
	    {"{\"v\":1,\"a\":[11,22,33]}", "{\"v\":2,\"a\":[11,55,22,33]}", 15},
	    {"{\"a\":[]}", "{\"a\":[11]}", 10}};

	for (auto &row : rows)
		EXPECT_EQ(DeltaBytes(row.from, row.to), row.bytes)
		    << row.from << " to " << row.to;
}

/* Guards against a text that nobody has sent, made from a wrong difference. */
TEST(Text, a_difference_that_does_not_fit_is_refused)
{
	node_bytes element = {"9", 1}, separator = {",", 1}, both = {",9,", 3};
	static const char text[] = "{\"a\":[1,2,3]}";
	struct {
		std::vector<gw_text_piece> pieces;
		const char *result; /* NULL: refused */
	} rows[] = {{{{0, 7, nullptr, 0}}, text},
	    {{{0, 2, &separator, 1}, {3, 4, nullptr, 0}}, text},
	    {{{0, 1, &element, 1}, {2, 5, nullptr, 0}}, "{\"a\":[9,2,3]}"},
	    {{{0, 8, nullptr, 0}}, nullptr}, {{{8, 1, nullptr, 0}}, nullptr},
	    {{{0, SIZE_MAX, nullptr, 0}}, nullptr},
	    {{{0, 1, nullptr, 0}, {0, 7, nullptr, 0}}, nullptr},
	    {{{3, 4, nullptr, 0}}, nullptr}, {{{0, 6, nullptr, 0}}, nullptr},
	    {{{0, 2, &both, 1}, {3, 4, nullptr, 0}}, nullptr},
	    {{{0, 2, &element, 1}, {3, 4, nullptr, 0}}, nullptr},
	    {{}, nullptr}};
	gw_text *base = nullptr, *made = nullptr;

	ASSERT_EQ(gw_text_parse(&base, Bytes(text), nullptr, nullptr), MP_OK);
	for (auto &row : rows) {
		gw_text_delta delta = {row.pieces.data(), row.pieces.size()};
		int rc = gw_text_apply(&made, base, &delta, nullptr);

		EXPECT_EQ(rc, row.result == nullptr ? MP_ERR_INVALID : MP_OK)
		    << &row - rows;
		if (rc == MP_OK) {
			EXPECT_EQ(Join(made), row.result) << &row - rows;
		}
		gw_text_destroy(made);
	}
	gw_text_destroy(base);
}

/* ---- chunks ------------------------------------------------------------- */

static std::string
Array(const std::vector<std::string> &elements)
{
	std::string text = "{\"a\":[";

	for (size_t i = 0; i < elements.size(); i++)
		text += (i == 0 ? "" : ",") + elements[i];
	return text + "]}";
}

/*
 * Guards against chunks that get ever shorter by changes at one place, until
 * each change costs what a list of all segments does.
 */
TEST(Text, chunks_stay_long_whatever_is_inserted_and_removed)
{
	static const char *const names[] = {
	    "at one place", "anywhere", "at the beginning", "large elements"};

	for (int kind = 0; kind < 4; kind++) {
		std::mt19937 random(7);
		std::vector<std::string> elements;
		gw_text *text = nullptr, *next = nullptr;
		gw_text_work work;

		SCOPED_TRACE(names[kind]);
		for (int i = 0; i < 1000; i++)
			elements.push_back(std::to_string(100000 + i));
		ASSERT_EQ(gw_text_parse(
			      &text, Bytes(Array(elements)), nullptr, nullptr),
		    MP_OK);
		for (int i = 0; i < 2000; i++) {
			size_t at = kind == 0 ? 500
			    : kind == 2	      ? 0
					      : random() % elements.size();
			std::string element = "\"" + std::to_string(i);

			if (kind == 3)
				element += std::string(random() % 3000, 'x');
			if (random() % 2 == 0)
				elements.erase(elements.begin() + (long)at);
			else
				elements.insert(elements.begin() + (long)at,
				    element + "\"");
			std::string joined = Array(elements);
			ASSERT_EQ(
			    gw_text_parse(&next, Bytes(joined), text, nullptr),
			    MP_OK);
			gw_text_destroy(text);
			text = next;
			work = gw_text_get_work(text);
			ASSERT_LE(work.chunks,
			    2 + gw_text_count(text) / 16 +
				2 * joined.size() / 16384);
			if (i > 0 && kind < 3) {
				ASSERT_LE(work.copied_segments, 4u * 64);
			}
		}
		EXPECT_EQ(Join(text), Array(elements));
		gw_text_destroy(text);
	}
}

/*
 * Guards against segments that are shared with a base although the text goes on
 * differently after them: a longer number, more white space, another end.
 */
TEST(Text, a_text_is_split_alike_with_any_base)
{
	static const char *const elements[] = {
	    "1", "12", "true", "\"\"", "\",\"", "{}", "[1,2]", "{\"b\":[]}"};
	static const char *const gaps[] = {",", ",", ", ", " ,", " , "};
	static const char bytes[] = "1 ,[]{}\":t\\\n";
	std::mt19937 random(11);
	int valid = 0;

	for (int round = 0; round < 20000; round++) {
		std::string from = "{\"v\":1,\"a\":[", to;
		size_t n = 1 + random() % 100, at;
		gw_text *base = nullptr, *with = nullptr, *without = nullptr;

		for (size_t i = 0; i < n; i++) {
			from += i == 0 ? "" : gaps[random() % 5];
			from += elements[random() % 8];
			if (random() % 64 == 0)
				from += "], \"b\":[ ],\"c\":[7";
		}
		from += "]}";
		ASSERT_EQ(
		    gw_text_parse(&base, Bytes(from), nullptr, nullptr), MP_OK);
		to = from;
		for (size_t i = 1 + random() % 2; i > 0; i--) {
			at = random() % to.size();
			switch (random() % 4) {
			case 0:
				to.insert(at, 1, bytes[random() % 12]);
				break;
			case 1:
				to.erase(at, 1 + random() % 3);
				break;
			case 2:
				to[at] = bytes[random() % 12];
				break;
			default:
				to.resize(at);
				to += "]}";
				break;
			}
		}
		int rc = gw_text_parse(&without, Bytes(to), nullptr, nullptr);
		ASSERT_EQ(gw_text_parse(&with, Bytes(to), base, nullptr), rc)
		    << from << " to " << to;
		if (rc == MP_OK) {
			valid++;
			ASSERT_EQ(Join(with), to);
			ASSERT_TRUE(gw_text_is_equal(with, without))
			    << from << " to " << to;
			ASSERT_EQ(
			    gw_text_digest(with), gw_text_digest(without));
		}
		gw_text_destroy(with);
		gw_text_destroy(without);
		gw_text_destroy(base);
	}
	EXPECT_GT(valid, 5000);
}

/* The digest must tell texts apart, in whatever order their elements are. */
TEST(Text, texts_with_other_elements_or_another_order_have_other_digests)
{
	std::vector<std::string> elements;
	std::vector<uint64_t> digests;

	for (int i = 0; i < 200; i++)
		elements.push_back(std::to_string(i));
	for (int i = 0; i < 200; i++) {
		for (int k = 0; k < 3; k++) {
			std::vector<std::string> changed = elements;
			gw_text *text = nullptr;

			if (k == 0)
				changed.erase(changed.begin() + i);
			else if (k == 1)
				changed[(size_t)i] += "0000";
			else if (i > 0)
				std::swap(changed[(size_t)i], changed[0]);
			ASSERT_EQ(gw_text_parse(&text, Bytes(Array(changed)),
				      nullptr, nullptr),
			    MP_OK);
			digests.push_back(gw_text_digest(text));
			gw_text_destroy(text);
		}
	}
	std::sort(digests.begin(), digests.end());
	EXPECT_EQ(std::unique(digests.begin(), digests.end()), digests.end());
}
