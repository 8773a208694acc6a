#ifndef MP_HTTP_PHR_H
#define MP_HTTP_PHR_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>
#include <strings.h>
#include <sys/types.h>

/*
 * Declarations of picohttpparser, which libh2o exports without a header.
 * tests/http/client_test.cc verifies that they match the library.
 */

struct phr_header {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
};

/*
 * Parse the head of a request or of a response. The results point into buf.
 * A header with a NULL name continues the value of the previous one.
 *
 * num_headers: the size of headers; set to the number of headers found.
 * last_len: length at the previous attempt; 0 parses from the start.
 * Returns the length of the head in bytes, -1 when malformed, -2 when
 * incomplete.
 */
int phr_parse_request(const char *buf, size_t len, const char **method,
    size_t *method_len, const char **path, size_t *path_len, int *minor_version,
    struct phr_header *headers, size_t *num_headers, size_t last_len);
int phr_parse_response(const char *buf, size_t len, int *minor_version,
    int *status, const char **msg, size_t *msg_len, struct phr_header *headers,
    size_t *num_headers, size_t last_len);

/* Compare a header's value with a text, ignoring case. */
static inline bool
phr_value_is(const struct phr_header *h, const char *value)
{
	return h->value_len == strlen(value) &&
	    strncasecmp(h->value, value, h->value_len) == 0;
}

#endif
