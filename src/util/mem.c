#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/mem.h"

static void *
mem_abort_on_null(void *p)
{
	if (p == NULL) {
		fprintf(stderr, "out of memory\n");
		abort();
	}
	return p;
}

void *
mem_alloc(size_t n, size_t size)
{
	return mem_abort_on_null(calloc(n == 0 ? 1 : n, size == 0 ? 1 : size));
}

void *
mem_resize(void *p, size_t n, size_t size)
{
	if (n == 0)
		n = 1;
	return mem_abort_on_null(reallocarray(p, n, size));
}

char *
mem_string(const char *s)
{
	return mem_abort_on_null(strdup(s));
}

char *
mem_copy(const void *p, size_t len)
{
	char *copy = mem_alloc(len + 1, 1);

	if (len > 0)
		memcpy(copy, p, len);
	return copy;
}
