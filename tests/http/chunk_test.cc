/* The reader of chunked bodies, in requests and in responses. */

#include <gtest/gtest.h>

#include <string>

#include "http/chunk.h"

struct ChunkRow {
	const char *name;
	std::string bytes;
	chunk_result result;
	std::string data;
	size_t rest; /* bytes behind a complete body */
};

/* Reads in pieces of at most the given size. */
static ChunkRow
ReadChunks(const std::string &bytes, size_t piece)
{
	ChunkRow out = {"", "", CHUNK_INCOMPLETE, "", 0};
	chunk_reader r = {};

	for (size_t at = 0; at < bytes.size(); at += piece) {
		std::string part = bytes.substr(at, piece);
		size_t len, consumed;

		out.result =
		    chunk_read(&r, &part[0], part.size(), &len, &consumed);
		out.data.append(part, 0, len);
		if (out.result == CHUNK_INCOMPLETE)
			continue;
		out.rest = bytes.size() - at - consumed;
		break;
	}
	return out;
}

static const std::string END = "0\r\n\r\n";

/*
 * Guards against a body that another reader would end elsewhere: that is how a
 * request is smuggled inside another one, and how an answer is cut short and
 * looks complete.
 */
TEST(Chunk, what_could_be_read_in_two_ways_is_refused)
{
	const ChunkRow rows[] = {
	    {"one", "3\r\nabc\r\n" + END, CHUNK_COMPLETE, "abc", 0},
	    {"none", END, CHUNK_COMPLETE, "", 0},
	    {"leading zeros", "0003\r\nabc\r\n000\r\n\r\n", CHUNK_COMPLETE,
		"abc", 0},
	    {"both cases", "a\r\n0123456789\r\nB\r\n01234567890\r\n" + END,
		CHUNK_COMPLETE, "012345678901234567890", 0},
	    {"bytes behind", "1\r\na\r\n" + END + "GET", CHUNK_COMPLETE, "a",
		3},
	    {"data like an end", "5\r\n0\r\n\r\n\r\n" + END, CHUNK_COMPLETE,
		"0\r\n\r\n", 0},
	    {"cut in the data", "3\r\nab", CHUNK_INCOMPLETE, "ab", 0},
	    {"cut in the end", "1\r\na\r\n0\r\n", CHUNK_INCOMPLETE, "a", 0},
	    /* sizes */
	    {"hexadecimal prefix", "0x8d\r\n", CHUNK_MALFORMED, "", 0},
	    {"a wrong byte",
		"00\xff"
		"6\r\n",
		CHUNK_MALFORMED, "", 0},
	    {"letters behind", "0zz\r\n", CHUNK_MALFORMED, "", 0},
	    {"space and digits", "0 7f\r\n", CHUNK_MALFORMED, "", 0},
	    {"space behind", "3 \r\nabc\r\n", CHUNK_MALFORMED, "", 0},
	    {"tab before an extension", "3\t;a\r\n", CHUNK_MALFORMED, "", 0},
	    {"space before", " 3\r\nabc\r\n", CHUNK_MALFORMED, "", 0},
	    {"plus", "+3\r\nabc\r\n", CHUNK_MALFORMED, "", 0},
	    {"minus", "-1\r\n", CHUNK_MALFORMED, "", 0},
	    {"no digits", "\r\nabc", CHUNK_MALFORMED, "", 0},
	    {"no digits, extension", ";a=b\r\nabc", CHUNK_MALFORMED, "", 0},
	    {"sixteen digits", "0000000000000001\r\na\r\n" + END,
		CHUNK_COMPLETE, "a", 0},
	    {"too many digits", "00000000000000001\r\na\r\n" + END,
		CHUNK_MALFORMED, "", 0},
	    {"largest", "ffffffffffffffff\r\nab", CHUNK_INCOMPLETE, "ab", 0},
	    {"a null byte", std::string("3\0\r\n", 4), CHUNK_MALFORMED, "", 0},
	    /* ends of lines */
	    {"bare LF behind a size", "3\nabc\r\n", CHUNK_MALFORMED, "", 0},
	    {"bare CR behind a size", "3\rabc\r\n", CHUNK_MALFORMED, "", 0},
	    {"CR CR LF", "3\r\r\nabc\r\n", CHUNK_MALFORMED, "", 0},
	    {"bare LF behind data", "3\r\nabc\n" + END, CHUNK_MALFORMED, "", 0},
	    {"more data than told", "3\r\nabcd\r\n" + END, CHUNK_MALFORMED, "",
		0},
	    {"less data than told", "4\r\nabc\r\n" + END, CHUNK_MALFORMED, "",
		0},
	    {"bare LF in an extension", "3;a\nabc\r\n", CHUNK_MALFORMED, "", 0},
	    {"bare LF at the end", "0\r\n\n", CHUNK_MALFORMED, "", 0},
	    {"CR and a byte at the end", "0\r\n\rG", CHUNK_MALFORMED, "", 0},
	    /* extensions */
	    {"extensions", "3;a;b=c; d = \"e;\\\"\r\";f\r\nabc\r\n" + END,
		CHUNK_MALFORMED, "", 0},
	    {"quoted extension", "3;b=c; d = \"e;\\\"\" ;f\r\nabc\r\n" + END,
		CHUNK_COMPLETE, "abc", 0},
	    {"extension of the last", "0;a=b\r\n\r\n", CHUNK_COMPLETE, "", 0},
	    {"extension without a name", "3;\r\nabc\r\n", CHUNK_MALFORMED, "",
		0},
	    {"extension without a value", "3;a=\r\nabc\r\n", CHUNK_MALFORMED,
		"", 0},
	    {"two words", "3;a b\r\nabc\r\n", CHUNK_MALFORMED, "", 0},
	    {"quote that does not end", "3;a=\"b\r\nabc\r\n", CHUNK_MALFORMED,
		"", 0},
	    {"a word behind a quote", "3;a=\"b\"c\r\nabc\r\n", CHUNK_MALFORMED,
		"", 0},
	    /* trailers */
	    {"trailers", "0\r\nA: b\r\nC:\r\n\r\nX", CHUNK_COMPLETE, "", 1},
	    {"trailer without a colon", "0\r\nA b\r\n\r\n", CHUNK_MALFORMED, "",
		0},
	    {"space before the colon", "0\r\nA : b\r\n\r\n", CHUNK_MALFORMED,
		"", 0},
	    {"no name", "0\r\n: b\r\n\r\n", CHUNK_MALFORMED, "", 0},
	    {"folded trailer", "0\r\nA: b\r\n c\r\n\r\n", CHUNK_MALFORMED, "",
		0},
	    {"control character", "0\r\nA: b\x01\r\n\r\n", CHUNK_MALFORMED, "",
		0},
	    {"an event as a trailer", "0\r\ndata: x\n\n", CHUNK_MALFORMED, "",
		0},
	    {"bare LF behind a trailer", "0\r\nA: b\n\r\n", CHUNK_MALFORMED, "",
		0},
	};

	for (auto &row : rows)
		for (size_t piece : {1u, 2u, 7u, 1000u}) {
			ChunkRow out = ReadChunks(row.bytes, piece);

			SCOPED_TRACE(std::string(row.name) + ", pieces of " +
			    std::to_string(piece));
			EXPECT_EQ(out.result, row.result);
			if (row.result == CHUNK_MALFORMED)
				continue;
			EXPECT_EQ(out.data, row.data);
			EXPECT_EQ(out.rest, row.rest);
		}
}

/* Guards against bytes without end that are no data. */
TEST(Chunk, bytes_and_trailers_without_data_are_bounded)
{
	std::string trailers, extension = "1;" + std::string(65000, 'e');

	for (unsigned i = 0; i < CHUNK_TRAILERS_MAX; i++)
		trailers += "A: b\r\n";
	const ChunkRow rows[] = {
	    {"most trailers", "0\r\n" + trailers + "\r\n", CHUNK_COMPLETE, "",
		0},
	    {"one more", "0\r\n" + trailers + "A: b\r\n\r\n", CHUNK_OVERHEAD,
		"", 0},
	    {"long trailer", "0\r\nA: " + std::string(70000, 'b'),
		CHUNK_OVERHEAD, "", 0},
	    {"long extension", "1;" + std::string(70000, 'e'), CHUNK_OVERHEAD,
		"", 0},
	    {"long ones with data between",
		extension + "\r\na\r\n" + extension + "\r\nb\r\n" + END,
		CHUNK_COMPLETE, "ab", 0},
	};

	for (auto &row : rows)
		for (size_t piece : {1u, 1000u, 200000u}) {
			ChunkRow out = ReadChunks(row.bytes, piece);

			EXPECT_EQ(out.result, row.result)
			    << row.name << " " << piece;
		}
}
