#ifndef MP_UTIL_BUF_H
#define MP_UTIL_BUF_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A growable byte buffer; zero-initialise before first use. */
struct buf {
	char *data; /* zero-terminated whenever not NULL */
	size_t len;
	size_t cap;
};

/* Free the bytes and make the buffer empty. */
void buf_free(struct buf *b);

/* Drop the content, keep the memory. */
void buf_clear(struct buf *b);

/* Append len bytes. */
void buf_append(struct buf *b, const void *p, size_t len);

/* Append a string. */
void buf_puts(struct buf *b, const char *s);

/* Append printf-like text. */
void buf_printf(struct buf *b, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Append s as a JSON string, quoted and escaped; invalid bytes become '?'. */
void buf_json_string(struct buf *b, const char *s);

/* Remove len bytes from the front. */
void buf_consume(struct buf *b, size_t len);

#ifdef __cplusplus
}
#endif

#endif
