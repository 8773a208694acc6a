#ifndef MP_UTIL_MEM_H
#define MP_UTIL_MEM_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Allocation functions that abort the process if memory is exhausted: a partly
 * applied event could not be undone, and the peers of an instance take over its
 * work when it fails. free() releases the memory.
 */

/* Allocates zeroed memory for n items of size bytes. */
void *mem_alloc(size_t n, size_t size);

/* Resizes p to n items of size bytes; added bytes are not zeroed. */
void *mem_resize(void *p, size_t n, size_t size);

/* Returns a copy of a string. */
char *mem_string(const char *s);

/* Returns a zero-terminated copy of len bytes. */
char *mem_copy(const void *p, size_t len);

#ifdef __cplusplus
}
#endif

#endif
