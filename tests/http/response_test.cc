/* The client's response parser. */

#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "util/rng.h"
extern "C" {
#include "http/client_internal.h"
}

struct Outcome {
	bool fault, complete;
	std::string body;
};

/* Parse a response in pieces of at most the given size. */
static Outcome
Feed(const std::string &bytes, size_t piece)
{
	response r = {};
	Outcome out = {};

	for (size_t at = 0; at < bytes.size() && !out.fault; at += piece) {
		std::string part = bytes.substr(at, piece);
		size_t rest = part.size();

		if (r.phase == RESPONSE_HEAD)
			out.fault =
			    response_parse_head(&r, part.data(), part.size(),
				RESPONSE_HEAD_MAX_BYTES, &rest) != nullptr;
		if (out.fault || r.phase == RESPONSE_HEAD ||
		    r.phase == RESPONSE_COMPLETE)
			continue;
		size_t len = rest;
		char *data = &part[0] + part.size() - rest;
		out.fault =
		    len > 0 && response_decode_body(&r, data, &len) != nullptr;
		if (!out.fault)
			out.body.append(data, len);
	}
	out.complete = !out.fault && r.phase == RESPONSE_COMPLETE;
	buf_free(&r.head);
	return out;
}

/* The result does not depend on the pieces in which bytes are received. */
TEST(Response, DoesNotDependOnThePieces)
{
	const char *bases[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello, world",
	    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n"
	    "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "5\r\nhello\r\n7;x=y\r\n, world\r\n0\r\nTrailer: t\r\n\r\n",
	    "HTTP/1.0 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
	    "HTTP/1.1 204 No Content\r\n\r\n"};
	const unsigned seeds = 5000;

	for (unsigned seed = 1; seed <= seeds; seed++) {
		std::string bytes = bases[seed % 4];
		rng r;

		rng_seed(&r, seed);
		for (unsigned n = rng_below(&r, 4); n > 0; n--)
			bytes[rng_below(&r, (uint32_t)bytes.size())] =
			    (char)rng_below(&r, 256);
		Outcome unsplit = Feed(bytes, bytes.size());
		for (size_t piece : {1, 2, 7, 30}) {
			Outcome split = Feed(bytes, piece);

			ASSERT_EQ(unsplit.complete, split.complete)
			    << seed << " " << piece << "\n"
			    << bytes;
			if (unsplit.complete) {
				ASSERT_EQ(unsplit.body, split.body) << seed;
			}
		}
	}
}

TEST(Response, RefusesAmbiguousResponses)
{
	const std::string ok = "HTTP/1.1 200 OK\r\n";
	const std::string cases[] = {
	    ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	    ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	    ok + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
	    ok + "Transfer-Encoding: gzip\r\n\r\n",
	    ok + "Content-Length: 99999999999999999999\r\n\r\n",
	    ok + "Content-Length: +1\r\n\r\na",
	    ok + "X: " + std::string(70000, 'x'),
	    "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	    "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
	    "HTTP/1.1 103 Hints\r\nContent-Length: 5\r\n\r\n" + ok + "\r\n",
	    "HTTP/1.1 600 High\r\n\r\n", "HTTP/1.1 099 Low\r\n\r\n",
	    ok +
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"
		"\r\n0\r\n\r\n",
	    ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    ok + "Content-Length: 1, 1\r\n\r\na",
	    ok + "Content-Length : 1\r\n\r\na",
	    ok + "X: a\r\n b\r\nContent-Length: 1\r\n\r\na",
	    ok + "X: a\nContent-Length: 1\r\n\r\na",
	    ok + "X: a\rContent-Length: 1\r\n\r\na",
	    ok + "Content-Length: 1\r\n\na",
	    "HTTP/1.1 200 OK\nContent-Length: 1\r\n\r\na",
	    "HTTP/1.1 100 Continue\n\r\n" + ok + "Content-Length: 1\r\n\r\na"};

	for (auto &c : cases)
		EXPECT_TRUE(Feed(c, c.size()).fault) << c.substr(0, 100);
}

/*
 * Guards against an answer that is cut short and looks complete: a wrong byte
 * in the size of a chunk, or behind its data, ends it as broken.
 */
TEST(Response, RefusesChunksThatAnotherReaderEndsElsewhere)
{
	const std::string head =
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
	const std::string cases[] = {"00\xff"
				     "6\r\ndata: 1\n\n\r\n0\r\n\r\n",
	    "0x5\r\nhello\r\n0\r\n\r\n", "0 5\r\nhello\r\n0\r\n\r\n", "0\n\r\n",
	    "0\r\n\n", "5\r\nhello\n0\r\n\r\n", "0\r\ndata: 1\n\n\r\n",
	    "0\r\nA: b\r\n c\r\n\r\n"};

	for (auto &c : cases)
		for (size_t piece : {1u, 3u, 1000u}) {
			Outcome out = Feed(head + c, piece);

			EXPECT_TRUE(out.fault) << c << " " << piece;
			EXPECT_FALSE(out.complete) << c << " " << piece;
		}
}

/* Heads before the final one are skipped, whatever their 1xx status. */
TEST(Response, SkipsInterimResponses)
{
	for (const char *status : {"100", "102", "103", "199"}) {
		Outcome out = Feed("HTTP/1.1 " + std::string(status) +
			" X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 " + status +
			" \r\n\r\nHTTP/1.1 200 OK\r\n"
			"Content-Length: 2\r\n\r\nab",
		    7);

		EXPECT_TRUE(out.complete) << status;
		EXPECT_EQ(out.body, "ab") << status;
	}
}

/*
 * Guards against a call that is held indefinitely and against growing memory: a
 * faulty endpoint sends bytes that never complete a head or never end a body.
 */
TEST(Response, RefusesEndlessOverhead)
{
	const std::string ok = "HTTP/1.1 200 OK\r\n";
	const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
	struct {
		const char *what;
		std::string begin, again;
	} rows[] = {
	    {"no status line", "", "x"},
	    {"a status line", "HTTP/1.1 200 ", "x"},
	    {"headers", ok, "A: b\r\n"},
	    {"one header", ok + "A: ", "x"},
	    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	    {"a chunk's length", chunked, "0"},
	    {"a chunk's extension", chunked + "5;", "x"},
	    {"a trailer", chunked + "0\r\n", "A: b\r\n"},
	    {"a trailer's line", chunked + "0\r\nA: ", "x"},
	};

	for (auto &row : rows) {
		std::string bytes = row.begin;

		while (bytes.size() < 200000)
			bytes += row.again;
		for (size_t piece : {100, 60000}) {
			Outcome out = Feed(bytes, piece);

			EXPECT_TRUE(out.fault) << row.what << " " << piece;
			EXPECT_EQ(out.body, "") << row.what;
		}
	}
}

/* Overhead beyond the limit is accepted while the body makes progress. */
TEST(Response, AcceptsOverheadWithProgress)
{
	const std::string ok = "HTTP/1.1 200 OK\r\n";
	const std::string chunked = ok + "Transfer-Encoding: chunked\r\n";
	const std::string end = "0\r\n\r\n";
	std::string small = chunked + "\r\n", extended = small;

	for (int i = 0; i < 30000; i++)
		small += "1\r\nx\r\n";
	for (int i = 0; i < 10; i++)
		extended += "1;" + std::string(40000, 'e') + "\r\nx\r\n";
	struct {
		const char *what;
		std::string bytes;
		size_t body;
	} rows[] = {
	    {"many small chunks", small + end, 30000},
	    {"long extensions", extended + end, 10},
	    {"a long head, then a long extension",
		chunked + "A: " + std::string(60000, 'h') + "\r\n\r\n1;" +
		    std::string(60000, 'e') + "\r\nx\r\n" + end,
		1},
	};

	for (auto &row : rows)
		for (size_t piece : {100, 60000}) {
			Outcome out = Feed(row.bytes, piece);

			EXPECT_TRUE(out.complete) << row.what << " " << piece;
			EXPECT_EQ(out.body.size(), row.body) << row.what;
		}
}
