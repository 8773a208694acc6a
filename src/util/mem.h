#ifndef MP_UTIL_MEM_H
#define MP_UTIL_MEM_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Allocation that ends the process when memory runs out: a half-applied
 * event could not be undone, and peers cover for a lost instance.
 */

/* Zeroed memory for n items of size bytes. */
void *mem_alloc(size_t n, size_t size);

/* Grow or shrink p to n items of size bytes; new bytes are not zeroed. */
void *mem_resize(void *p, size_t n, size_t size);

/* A copy of a string. */
char *mem_string(const char *s);

/* A zero-terminated copy of len bytes. */
char *mem_copy(const void *p, size_t len);

#ifdef __cplusplus
}
#endif

#endif
