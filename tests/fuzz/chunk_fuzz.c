#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "http/chunk.h"
#include "util/mem.h"

/*
 * Chunked bodies: the reader must agree with a second, plain reading of the
 * whole input after the grammar of RFC 9112, section 7.1, and must not depend
 * on the pieces in which bytes are received. The first byte is the size of the
 * pieces.
 */

/* ---- the plain reading -------------------------------------------------- */

/* Where a rule of the grammar stopped. */
enum outcome {
	MATCHED,
	CUT,
	WRONG
};

struct input {
	const unsigned char *at, *end;
	unsigned char *data; /* of the body, so far */
	size_t data_len;
};

static bool
is_one_of(const struct input *in, const char *set)
{
	return in->at < in->end && *in->at != 0 && strchr(set, *in->at) != NULL;
}

#define ALPHA "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
#define DIGIT "0123456789"
#define TCHAR "!#$%&'*+-.^_`|~" DIGIT ALPHA
#define HEX   DIGIT "abcdefABCDEF"

/* field-vchar, SP and HTAB; obs-text is all beyond ASCII. */
static bool
is_text(unsigned char c)
{
	return c == 9 || (c >= 32 && c <= 126) || c >= 128;
}

static enum outcome
read_literal(struct input *in, const char *text)
{
	for (; *text != 0; text++, in->at++) {
		if (in->at == in->end)
			return CUT;
		if (*in->at != (unsigned char)*text)
			return WRONG;
	}
	return MATCHED;
}

static void
skip_all(struct input *in, const char *set)
{
	while (is_one_of(in, set))
		in->at++;
}

static enum outcome
read_token(struct input *in)
{
	if (in->at == in->end)
		return CUT;
	if (!is_one_of(in, TCHAR))
		return WRONG;
	skip_all(in, TCHAR);
	return MATCHED;
}

static enum outcome
read_quoted(struct input *in)
{
	in->at++;
	while (in->at < in->end && *in->at != '"') {
		if (*in->at == '\\' && ++in->at == in->end)
			return CUT;
		if (!is_text(*in->at++))
			return WRONG;
	}
	if (in->at == in->end)
		return CUT;
	in->at++;
	return MATCHED;
}

static enum outcome
read_extension_value(struct input *in)
{
	in->at++;
	skip_all(in, " \t");
	return is_one_of(in, "\"") ? read_quoted(in) : read_token(in);
}

static enum outcome
read_size_line(struct input *in, uint64_t *size)
{
	enum outcome outcome;
	char digits[CHUNK_SIZE_DIGITS_MAX + 1] = {0};
	size_t n = 0;

	while (is_one_of(in, HEX)) {
		if (n == CHUNK_SIZE_DIGITS_MAX)
			return WRONG;
		digits[n++] = (char)*in->at++;
	}
	if (n == 0)
		return in->at == in->end ? CUT : WRONG;
	*size = strtoull(digits, NULL, 16);
	while (is_one_of(in, ";")) {
		in->at++;
		skip_all(in, " \t");
		outcome = read_token(in);
		if (outcome == MATCHED)
			skip_all(in, " \t");
		if (outcome == MATCHED && is_one_of(in, "=")) {
			outcome = read_extension_value(in);
			if (outcome == MATCHED)
				skip_all(in, " \t");
		}
		if (outcome != MATCHED)
			return outcome;
	}
	return read_literal(in, "\r\n");
}

static enum outcome
read_trailers(struct input *in)
{
	enum outcome outcome;

	while (in->at < in->end && *in->at != '\r') {
		outcome = read_token(in);
		if (outcome == MATCHED)
			outcome = read_literal(in, ":");
		if (outcome != MATCHED)
			return outcome;
		while (in->at < in->end && is_text(*in->at))
			in->at++;
		outcome = read_literal(in, "\r\n");
		if (outcome != MATCHED)
			return outcome;
	}
	return read_literal(in, "\r\n");
}

static enum outcome
read_body(struct input *in)
{
	enum outcome outcome;
	uint64_t size;
	size_t n;

	for (;;) {
		outcome = read_size_line(in, &size);
		if (outcome != MATCHED)
			return outcome;
		if (size == 0)
			return read_trailers(in);
		n = (size_t)(in->end - in->at);
		if (n > size)
			n = (size_t)size;
		memcpy(in->data + in->data_len, in->at, n);
		in->data_len += n;
		in->at += n;
		if (n < size)
			return CUT;
		outcome = read_literal(in, "\r\n");
		if (outcome != MATCHED)
			return outcome;
	}
}

/* ---- the comparison ----------------------------------------------------- */

static void
require(bool holds)
{
	if (!holds)
		abort();
}

/* Reads in pieces; returns the result of the last one. */
static enum chunk_result
read_pieces(
    char *bytes, size_t len, size_t piece, struct input *out, size_t *rest)
{
	struct chunk_reader r = {0};
	enum chunk_result result = CHUNK_INCOMPLETE;
	size_t at, n, data_len, consumed;

	*rest = 0;
	for (at = 0; at < len && result == CHUNK_INCOMPLETE; at += n) {
		n = len - at < piece ? len - at : piece;
		result = chunk_read(&r, bytes + at, n, &data_len, &consumed);
		memcpy(out->data + out->data_len, bytes + at, data_len);
		out->data_len += data_len;
		if (result == CHUNK_COMPLETE)
			*rest = len - at - consumed;
	}
	return result;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const enum chunk_result results[] = {[MATCHED] = CHUNK_COMPLETE,
	    [CUT] = CHUNK_INCOMPLETE,
	    [WRONG] = CHUNK_MALFORMED};
	struct input plain = {0}, read = {0};
	enum outcome outcome;
	enum chunk_result result;
	size_t piece, rest;
	char *bytes;

	if (size < 1)
		return 0;
	piece = 1 + data[0] % 64;
	data++;
	size--;
	plain.data = mem_alloc(size + 1, 1);
	read.data = mem_alloc(size + 1, 1);
	bytes = mem_copy((const char *)data, size);
	plain.at = data;
	plain.end = data + size;
	outcome = read_body(&plain);
	result = read_pieces(bytes, size, piece, &read, &rest);
	if (result != CHUNK_OVERHEAD) {
		require(result == results[outcome]);
		require(result == CHUNK_MALFORMED ||
		    (read.data_len == plain.data_len &&
			memcmp(read.data, plain.data, read.data_len) == 0));
		require(result != CHUNK_COMPLETE ||
		    rest == (size_t)(plain.end - plain.at));
	}
	free(plain.data);
	free(read.data);
	free(bytes);
	return 0;
}
