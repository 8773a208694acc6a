#ifndef MP_CONF_FIELDS_H
#define MP_CONF_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "mulberrypath/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A reader of JSON objects into structs, driven by tables of fields. */

enum field_type {
	FIELD_TEXT, /* char * */
	FIELD_NUMBER, /* uint32_t */
	FIELD_MILLI, /* uint32_t, thousandths of the number in the text */
	FIELD_BOOL, /* bool */
	FIELD_CHOICE, /* an enum: the place in choices */
	FIELD_CHOICE_TEXT, /* char *, one of choices */
	FIELD_OBJECT, /* fields of the same struct */
	FIELD_ARRAY, /* pointer to items, their count at count_offset */
	FIELD_TEXTS /* char **, their count at count_offset */
};

struct field {
	const char *key; /* NULL ends a table */
	enum field_type type;
	bool required;
	bool secret; /* never shown in a problem */
	size_t offset; /* of the value in the struct */
	size_t count_offset;
	bool (*check)(const char *s); /* TEXT, TEXTS */
	const char *allowed; /* what may be there, for problems */
	double min, max; /* NUMBER, MILLI; ARRAY, TEXTS: at least min items */
	double fallback; /* NUMBER, MILLI */
	const char *fallback_text; /* CHOICE_TEXT */
	const char *const *choices; /* NULL-terminated */
	const struct field *fields; /* OBJECT, ARRAY */
	size_t item_size; /* ARRAY */
};

/*
 * Read an object into a zeroed struct; fallbacks are set also when the
 * object or a key is missing.
 *
 * base: the struct.
 * fields: its table.
 * object: the JSON value, or NULL for a missing object.
 * path: JSON path of the object.
 * problems: every fault found is added here.
 */
void fields_read(void *base, const struct field *fields, json_t *object,
    const char *path, struct settings_problems *problems);

/* Free all that fields_read() stored in the struct, not the struct. */
void fields_free(void *base, const struct field *fields);

#ifdef __cplusplus
}
#endif

#endif
