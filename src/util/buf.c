#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/buf.h"
#include "util/mem.h"

#define BUF_INITIAL_BYTES 64

/* Makes room for extra more bytes and the terminator. */
static void
buf_reserve(struct buf *b, size_t extra)
{
	size_t needed_bytes = b->len + extra + 1;
	size_t cap = b->cap == 0 ? BUF_INITIAL_BYTES : b->cap;

	if (needed_bytes <= b->cap)
		return;
	while (cap < needed_bytes)
		cap *= 2;
	b->data = mem_resize(b->data, cap, 1);
	b->cap = cap;
}

void
buf_free(struct buf *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

void
buf_clear(struct buf *b)
{
	b->len = 0;
	if (b->data != NULL)
		b->data[0] = '\0';
}

void
buf_append(struct buf *b, const void *p, size_t len)
{
	buf_reserve(b, len);
	if (len > 0)
		memcpy(b->data + b->len, p, len);
	b->len += len;
	b->data[b->len] = '\0';
}

void
buf_puts(struct buf *b, const char *s)
{
	buf_append(b, s, strlen(s));
}

void
buf_printf(struct buf *b, const char *format, ...)
{
	va_list args, args_copy;
	int n;

	va_start(args, format);
	va_copy(args_copy, args);
	n = vsnprintf(NULL, 0, format, args);
	va_end(args);
	if (n > 0) {
		buf_reserve(b, (size_t)n);
		(void)vsnprintf(
		    b->data + b->len, (size_t)n + 1, format, args_copy);
		b->len += (size_t)n;
	}
	va_end(args_copy);
}

/* Returns the length of the UTF-8 sequence at p, or 0 if it is invalid. */
static size_t
utf8_length(const unsigned char *p)
{
	size_t i, len = 4;

	if (*p < 0x80)
		return 1;
	if (*p < 0xc2 || *p > 0xf4)
		return 0;
	if (*p < 0xf0)
		len = *p < 0xe0 ? 2 : 3;
	for (i = 1; i < len; i++)
		if ((p[i] & 0xc0) != 0x80)
			return 0;
	/* an overlong form, a surrogate, or above U+10FFFF */
	if ((p[0] == 0xe0 && p[1] < 0xa0) || (p[0] == 0xed && p[1] > 0x9f) ||
	    (p[0] == 0xf0 && p[1] < 0x90) || (p[0] == 0xf4 && p[1] > 0x8f))
		return 0;
	return len;
}

void
buf_json_string(struct buf *b, const char *s)
{
	const unsigned char *p;
	size_t len;

	buf_append(b, "\"", 1);
	for (p = (const unsigned char *)s; *p != '\0'; p += len) {
		len = utf8_length(p);
		if (*p == '"' || *p == '\\')
			buf_printf(b, "\\%c", *p);
		else if (*p == '\n')
			buf_puts(b, "\\n");
		else if (*p < 0x20 || *p == 0x7f)
			buf_printf(b, "\\u%04x", *p);
		else if (len == 0)
			buf_puts(b, "?");
		else
			buf_append(b, p, len);
		if (len == 0)
			len = 1;
	}
	buf_append(b, "\"", 1);
}

void
buf_consume(struct buf *b, size_t len)
{
	if (len >= b->len) {
		buf_clear(b);
		return;
	}
	memmove(b->data, b->data + len, b->len - len + 1);
	b->len -= len;
}
