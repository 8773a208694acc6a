#ifndef MP_UTIL_BUF_H
#define MP_UTIL_BUF_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A growable byte buffer. Zero-initialise it before first use. */
struct buf {
	char *data; /* zero-terminated if not NULL */
	size_t len; /* bytes in use, without the terminator */
	size_t cap; /* bytes allocated */
};

/* Frees the memory; the buffer is empty and may be used again. */
void buf_free(struct buf *b);

/* Removes the content and keeps the memory for reuse. */
void buf_clear(struct buf *b);

/* Appends len bytes. */
void buf_append(struct buf *b, const void *p, size_t len);

/* Appends a string. */
void buf_puts(struct buf *b, const char *s);

/* Appends text formatted as by printf(). */
void buf_printf(struct buf *b, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * Appends s as a JSON string, quoted and escaped. Each byte that is not part of
 * valid UTF-8 is replaced by '?'.
 */
void buf_json_string(struct buf *b, const char *s);

/* Removes up to len bytes from the front. */
void buf_consume(struct buf *b, size_t len);

#ifdef __cplusplus
}
#endif

#endif
