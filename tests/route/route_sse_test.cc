#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "route/route_sse.h"

/* Splits the bytes into events, feeding piece_len bytes at a time. */
static std::vector<std::string>
split(const std::string &bytes, size_t piece_len)
{
	std::vector<std::string> events;
	struct route_sse sse = {};
	struct buf event = {};

	for (size_t at = 0; at < bytes.size(); at += piece_len) {
		std::string part = bytes.substr(at, piece_len);

		EXPECT_TRUE(route_sse_feed(&sse, part.data(), part.size()));
		while (route_sse_next_event(&sse, &event))
			events.push_back(std::string(event.data, event.len));
	}
	buf_free(&event);
	route_sse_free(&sse);
	return events;
}

/* Guards against text that depends on how the network splits the stream. */
TEST(sse, events_do_not_depend_on_how_bytes_are_split)
{
	struct {
		const char *bytes;
		std::vector<std::string> events;
	} cases[] = {
	    {"data: a\n\n", {"a"}},
	    {"data:a\r\n\r\ndata: b\n\n", {"a", "b"}},
	    {"data: a\ndata: b\n\n", {"a\nb"}},
	    {": beat\n\ndata: a\n\n: beat\n\n", {"a"}},
	    {"event: x\nid: 3\ndata: a\n\n", {"a"}},
	    {"\n\n\ndata: a\n\n", {"a"}},
	    {"data: unfinished\n", {}},
	    {"data: unfin", {}},
	};

	for (auto &c : cases)
		for (size_t piece_len = 1; piece_len <= strlen(c.bytes);
		     piece_len++)
			EXPECT_EQ(split(c.bytes, piece_len), c.events)
			    << c.bytes << " in pieces of " << piece_len;
}

/* Guards against exhaustion of memory by an event that never ends. */
TEST(sse, an_endless_event_is_refused)
{
	struct route_sse sse = {};
	std::string bytes(ROUTE_SSE_EVENT_MAX + 1, 'x');

	EXPECT_FALSE(route_sse_feed(&sse, bytes.data(), bytes.size()));
	route_sse_free(&sse);
}

TEST(chunk, only_engine_events_are_accepted)
{
	struct {
		const char *json;
		bool is_valid, is_done;
	} cases[] = {
	    {"[DONE]", true, true},
	    {"{\"id\": \"r\", \"model\": \"m\", \"choices\": [{}]}", true,
		false},
	    {"{\"id\": \"r\", \"model\": \"m\", \"choices\": []}", false,
		false},
	    {"{\"id\": \"r\", \"choices\": [{}]}", false, false},
	    {"{\"id\": 7, \"model\": \"m\", \"choices\": [{}]}", false, false},
	    {"{\"error\": {\"code\": \"x\"}}", false, false},
	    {"[]", false, false},
	    {"{", false, false},
	    {"", false, false},
	};

	for (auto &c : cases) {
		struct route_chunk chunk;
		struct buf event = {};

		buf_puts(&event, c.json);
		EXPECT_EQ(route_chunk_parse(&chunk, &event), c.is_valid)
		    << c.json;
		if (c.is_valid) {
			EXPECT_EQ(chunk.is_done, c.is_done) << c.json;
			route_chunk_free(&chunk);
		}
		buf_free(&event);
	}
}
