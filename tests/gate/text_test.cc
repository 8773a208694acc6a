/*
 * Splitting of configuration texts, and differences between them. A text that
 * is read back must have the bytes that were sent.
 */

#include "config_fixture.h"

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
