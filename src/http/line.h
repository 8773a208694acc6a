#ifndef MP_HTTP_LINE_H
#define MP_HTTP_LINE_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Whether each line of a head ends in CR LF, and no CR or LF stands elsewhere.
 * Some readers take either alone for the end of a line, and others do not.
 */
bool line_ends_are_strict(const char *head, size_t len);

#endif
