#ifndef MP_DOC_CHECK_H
#define MP_DOC_CHECK_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/settings.h"
#include "util/buf.h"

/* Checks of JSON values that note each fault with its path and go on. */

#define DOC_PROBLEMS_MAX   100 /* faults listed for one document */

#define DOC_PATH_DEPTH_MAX 8

/* One step of a path: a key, or a position when the key is NULL. */
struct doc_path_step {
	const char *key;
	size_t index;
};

struct doc_check {
	struct settings_problems *problems;
	struct doc_path_step
	    path[DOC_PATH_DEPTH_MAX]; /* of the value being checked */
	size_t depth;
	size_t nfaults; /* all, also those not listed */
};

struct doc_field {
	const char *name;
	bool required;
};

/* Extend the path by a key, which must outlive the pop, or a position. */
void doc_check_push_key(struct doc_check *c, const char *key);
void doc_check_push_index(struct doc_check *c, size_t i);
void doc_check_pop(struct doc_check *c);

/* Note a fault of the value at the path; found may be NULL for nothing. */
void doc_check_add_fault(
    struct doc_check *c, const json_t *found, const char *allowed);

/* An object of these fields only, with all required ones. */
bool doc_check_fields(struct doc_check *c, const json_t *value,
    const struct doc_field *fields, size_t n);

/* An object of min to max entries under names of the caller's choice. */
bool doc_check_entries(
    struct doc_check *c, const json_t *value, size_t min, size_t max);
bool doc_check_array(
    struct doc_check *c, const json_t *value, size_t min, size_t max);

bool doc_is_valid_name(const char *name);

/* Members of an object; absent ones leave *out as it was. */
void doc_check_name(
    struct doc_check *c, const json_t *object, const char *key, char **out);
void doc_check_uint(struct doc_check *c, const json_t *object, const char *key,
    uint32_t min, uint32_t max, uint32_t *out);
void doc_check_real(struct doc_check *c, const json_t *object, const char *key,
    double min, double max, double *out);
void doc_check_bool(
    struct doc_check *c, const json_t *object, const char *key, bool *out);

#endif
