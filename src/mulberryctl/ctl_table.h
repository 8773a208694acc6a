#ifndef MP_MULBERRYCTL_CTL_TABLE_H
#define MP_MULBERRYCTL_CTL_TABLE_H

#include <jansson.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Tables for a person, from lists of JSON objects. */

struct ctl_column {
	const char *title;
	const char *path; /* "wait.p95Ms" within an item */
};

/* A value as text of a cell; size bytes at most. */
void ctl_cell(char *out, size_t size, const json_t *value);

/* A value by its dotted path, or NULL. */
const json_t *ctl_find(const json_t *object, const char *path);

/* Print one row for each item of a list; numbers stand at the right. */
void ctl_table(FILE *out, const json_t *list, const struct ctl_column *columns,
    size_t ncolumns);

#ifdef __cplusplus
}
#endif

#endif
