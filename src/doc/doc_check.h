/*
 * Checks of JSON values. A check records each fault with its JSON path and
 * continues, so that all faults of a document are reported together.
 */

#ifndef MP_DOC_CHECK_H
#define MP_DOC_CHECK_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/settings.h"
#include "util/buf.h"

#define DOC_PROBLEMS_MAX   100 /* faults reported for one document */
#define DOC_PATH_DEPTH_MAX 8

/* One step of a JSON path: a key, or an array index if the key is NULL. */
struct doc_path_step {
	const char *key;
	size_t index;
};

/* The state of the checks of one document. */
struct doc_check {
	struct settings_problems *problems;
	/* The path of the current value. */
	struct doc_path_step path[DOC_PATH_DEPTH_MAX];
	size_t depth;
	size_t nfaults; /* including those beyond DOC_PROBLEMS_MAX */
};

/* A permitted key of an object. */
struct doc_field {
	const char *name;
	bool required;
};

/*
 * Extend the path of the current value by a key or an array index, and remove
 * the last step. The key is borrowed until doc_check_pop().
 */
void doc_check_push_key(struct doc_check *c, const char *key);
void doc_check_push_index(struct doc_check *c, size_t i);
void doc_check_pop(struct doc_check *c);

/*
 * Records a fault of the current value.
 *
 * found: the value; NULL if it is missing.
 * allowed: what is permitted instead, for the report.
 */
void doc_check_add_fault(
    struct doc_check *c, const json_t *found, const char *allowed);

/*
 * Checks that a value is an object that has all required fields and no others
 * than these; false only if it is no object.
 */
bool doc_check_fields(struct doc_check *c, const json_t *value,
    const struct doc_field *fields, size_t n);

/*
 * Check that a value is an object, or an array, of min to max entries; the
 * keys of the object are not checked.
 */
bool doc_check_entries(
    struct doc_check *c, const json_t *value, size_t min, size_t max);
bool doc_check_array(
    struct doc_check *c, const json_t *value, size_t min, size_t max);

/* Whether a name has 1 to 63 characters of the permitted set. */
bool doc_is_valid_name(const char *name);

/*
 * Read a member of an object. A missing member leaves *out unchanged, and so
 * does an invalid one, which is recorded as a fault. min and max are
 * inclusive. A name is allocated and owned by the caller.
 */
void doc_check_name(
    struct doc_check *c, const json_t *object, const char *key, char **out);
void doc_check_uint(struct doc_check *c, const json_t *object, const char *key,
    uint32_t min, uint32_t max, uint32_t *out);
void doc_check_real(struct doc_check *c, const json_t *object, const char *key,
    double min, double max, double *out);
void doc_check_bool(
    struct doc_check *c, const json_t *object, const char *key, bool *out);

#endif
