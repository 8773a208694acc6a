#ifndef MP_CONF_FIELDS_H
#define MP_CONF_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "mulberrypath/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Reads JSON objects into structs, as described by tables of fields. */

/* The type of a JSON value and of the struct member that holds it. */
enum field_type {
	FIELD_TEXT, /* char * */
	FIELD_NUMBER, /* uint32_t */
	FIELD_MILLI, /* uint32_t, thousandths of the JSON number */
	FIELD_BOOL, /* bool */
	FIELD_CHOICE, /* an enum: the index in choices */
	FIELD_CHOICE_TEXT, /* char *, one of choices */
	FIELD_OBJECT, /* members of the same struct */
	FIELD_ARRAY, /* pointer to structs, their count at count_offset */
	FIELD_TEXTS /* char **, their count at count_offset */
};

/* One key of a JSON object. Comments name the types that use a member. */
struct field {
	const char *key; /* NULL ends a table */
	enum field_type type;
	bool required;
	bool secret; /* the value is not shown in a problem */
	size_t offset; /* of the member in the struct */
	size_t count_offset; /* of the size_t count: ARRAY, TEXTS */
	bool (*check)(const char *s); /* is s allowed? TEXT, TEXTS */
	const char *allowed; /* allowed values, as shown in a problem */
	double min, max; /* NUMBER, MILLI; ARRAY, TEXTS: at least min items */
	double fallback; /* default value: BOOL, NUMBER, MILLI */
	const char *fallback_text; /* default value: CHOICE_TEXT */
	const char *const *choices; /* NULL-terminated: CHOICE, CHOICE_TEXT */
	const struct field *fields; /* OBJECT, ARRAY */
	size_t item_size; /* bytes of one struct: ARRAY */
};

/*
 * Reads an object into a zeroed struct. A default value is also set if the
 * object or the key is missing. fields_free() frees what was stored.
 *
 * base: the struct to fill.
 * fields: the table of its fields.
 * object: the JSON value, or NULL for a missing object.
 * path: JSON path of the object.
 * problems: all faults found are added.
 */
void fields_read(void *base, const struct field *fields, json_t *object,
    const char *path, struct settings_problems *problems);

/* Frees what fields_read() stored in the struct, not the struct itself. */
void fields_free(void *base, const struct field *fields);

#ifdef __cplusplus
}
#endif

#endif
