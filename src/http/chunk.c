#include <stdbool.h>
#include <string.h>

#include "http/chunk.h"

enum state {
	SIZE,
	SIZE_LF, /* CR was read */
	EXT_START, /* ";" was read */
	EXT_NAME,
	EXT_AFTER_NAME, /* white space was read */
	EXT_VALUE_START, /* "=" was read */
	EXT_TOKEN,
	EXT_QUOTED,
	EXT_QUOTED_PAIR, /* a backslash was read */
	EXT_AFTER_VALUE,
	DATA,
	DATA_CR,
	DATA_LF,
	TRAILER_START,
	TRAILER_NAME,
	TRAILER_VALUE,
	TRAILER_LF,
	END_LF,
	END
};

/* Not a state: the byte may not come here. */
#define BAD 255

static bool
is_token(unsigned char c)
{
	return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
	    (c >= 'A' && c <= 'Z') ||
	    (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
is_space(unsigned char c)
{
	return c == ' ' || c == '\t';
}

/* White space, visible characters and those beyond ASCII. */
static bool
is_text(unsigned char c)
{
	return c == '\t' || (c >= ' ' && c != 0x7f);
}

/* Returns the digit's value, -1: not a hexadecimal digit. */
static int
hex_value(unsigned char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/* ---- lines -------------------------------------------------------------- */

static uint8_t
read_size(struct chunk_reader *r, unsigned char c)
{
	int digit = hex_value(c);

	if (digit >= 0 && r->digits < CHUNK_SIZE_DIGITS_MAX) {
		r->digits++;
		r->left_bytes = r->left_bytes << 4 | (uint64_t)digit;
		return SIZE;
	}
	if (r->digits == 0)
		return BAD;
	if (c == '\r')
		return SIZE_LF;
	return c == ';' ? EXT_START : BAD;
}

/* What may follow a whole extension. */
static uint8_t
end_extension(unsigned char c)
{
	if (c == '\r')
		return SIZE_LF;
	return c == ';' ? EXT_START : BAD;
}

static uint8_t
read_extension(uint8_t state, unsigned char c)
{
	switch (state) {
	case EXT_START:
		if (is_space(c))
			return EXT_START;
		return is_token(c) ? EXT_NAME : BAD;
	case EXT_NAME:
		if (is_token(c))
			return EXT_NAME;
		/* FALLTHROUGH */
	case EXT_AFTER_NAME:
		if (is_space(c))
			return EXT_AFTER_NAME;
		return c == '=' ? EXT_VALUE_START : end_extension(c);
	case EXT_VALUE_START:
		if (is_space(c))
			return EXT_VALUE_START;
		if (c == '"')
			return EXT_QUOTED;
		return is_token(c) ? EXT_TOKEN : BAD;
	case EXT_TOKEN:
		if (is_token(c))
			return EXT_TOKEN;
		/* FALLTHROUGH */
	case EXT_AFTER_VALUE:
		return is_space(c) ? EXT_AFTER_VALUE : end_extension(c);
	case EXT_QUOTED:
		if (c == '"')
			return EXT_AFTER_VALUE;
		if (c == '\\')
			return EXT_QUOTED_PAIR;
		return is_text(c) ? EXT_QUOTED : BAD;
	default: /* EXT_QUOTED_PAIR */
		return is_text(c) ? EXT_QUOTED : BAD;
	}
}

static uint8_t
read_trailer(struct chunk_reader *r, unsigned char c)
{
	switch (r->state) {
	case TRAILER_START:
		if (c == '\r')
			return END_LF;
		r->trailers++;
		return is_token(c) ? TRAILER_NAME : BAD;
	case TRAILER_NAME:
		if (c == ':')
			return TRAILER_VALUE;
		return is_token(c) ? TRAILER_NAME : BAD;
	default: /* TRAILER_VALUE */
		if (c == '\r')
			return TRAILER_LF;
		return is_text(c) ? TRAILER_VALUE : BAD;
	}
}

/* Returns the state after a byte that is not data. */
static uint8_t
read_byte(struct chunk_reader *r, unsigned char c)
{
	switch (r->state) {
	case SIZE:
		return read_size(r, c);
	case SIZE_LF:
		if (c != '\n')
			return BAD;
		return r->left_bytes > 0 ? DATA : TRAILER_START;
	case DATA_CR:
		return c == '\r' ? DATA_LF : BAD;
	case DATA_LF:
		r->digits = 0;
		return c == '\n' ? SIZE : BAD;
	case TRAILER_START:
	case TRAILER_NAME:
	case TRAILER_VALUE:
		return read_trailer(r, c);
	case TRAILER_LF:
		return c == '\n' ? TRAILER_START : BAD;
	case END_LF:
		return c == '\n' ? END : BAD;
	default:
		return read_extension(r->state, c);
	}
}

/* ---- reading ------------------------------------------------------------ */

/* Moves data of a chunk to its place; returns how much. */
static size_t
move_data(struct chunk_reader *r, char *to, const char *from, size_t len)
{
	size_t n = len < r->left_bytes ? len : (size_t)r->left_bytes;

	memmove(to, from, n);
	r->left_bytes -= n;
	r->overhead_bytes = 0;
	if (r->left_bytes == 0)
		r->state = DATA_CR;
	return n;
}

enum chunk_result
chunk_read(struct chunk_reader *r, char *bytes, size_t len, size_t *data_len,
    size_t *consumed)
{
	size_t at = 0, out = 0, n;

	*data_len = *consumed = 0;
	while (at < len && r->state != END) {
		if (r->state == DATA) {
			n = move_data(r, bytes + out, bytes + at, len - at);
			at += n;
			out += n;
			continue;
		}
		r->state = read_byte(r, (unsigned char)bytes[at++]);
		if (r->state == BAD)
			return CHUNK_MALFORMED;
		if (++r->overhead_bytes > CHUNK_OVERHEAD_MAX_BYTES ||
		    r->trailers > CHUNK_TRAILERS_MAX)
			return CHUNK_OVERHEAD;
	}
	*data_len = out;
	*consumed = at;
	return r->state == END ? CHUNK_COMPLETE : CHUNK_INCOMPLETE;
}
