/* Checks of JSON values; see doc_check.h. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "doc/doc.h"
#include "doc/doc_check.h"
#include "util/mem.h"

#define DOC_NAME_ALLOWED                                                       \
	"a name: 1 to 63 of a-z, 0-9, '.', '_', '-', first a letter or digit"
#define DOC_FOUND_BYTES	  60 /* of an invalid value, in a report */
#define DOC_ALLOWED_BYTES 160

void
doc_check_push_key(struct doc_check *c, const char *key)
{
	c->path[c->depth++] = (struct doc_path_step){key, 0};
}

void
doc_check_push_index(struct doc_check *c, size_t i)
{
	c->path[c->depth++] = (struct doc_path_step){NULL, i};
}

void
doc_check_pop(struct doc_check *c)
{
	c->depth--;
}

/* Prints the path of the current value, such as $.limits.concurrent. */
static void
doc_check_print_path(const struct doc_check *c, struct buf *out)
{
	static const char plain[] = "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_";
	const char *key;
	size_t i;

	buf_puts(out, "$");
	for (i = 0; i < c->depth; i++) {
		key = c->path[i].key;
		if (key == NULL) {
			buf_printf(out, "[%zu]", c->path[i].index);
		} else if (key[0] != '\0' && key[strspn(key, plain)] == '\0') {
			buf_printf(out, ".%s", key);
		} else {
			buf_puts(out, "[");
			buf_json_string(out, key);
			buf_puts(out, "]");
		}
	}
}

static void
doc_check_add_problem(
    struct doc_check *c, const char *found, const char *allowed)
{
	struct buf path = {0};

	c->nfaults++;
	if (c->problems->count >= DOC_PROBLEMS_MAX)
		return;
	doc_check_print_path(c, &path);
	settings_problems_add(c->problems, path.data, found, allowed);
	buf_free(&path);
}

/* Writes a short description of a value; out has DOC_FOUND_BYTES. */
static void
doc_check_describe(const json_t *value, char *out)
{
	char *found_text;

	if (value == NULL || json_is_object(value) || json_is_array(value)) {
		(void)snprintf(out, DOC_FOUND_BYTES, "%s",
		    value == NULL		? "nothing"
			: json_is_object(value) ? "an object"
						: "an array");
		return;
	}
	found_text = json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII);
	(void)snprintf(out, DOC_FOUND_BYTES, "%s",
	    found_text == NULL ? "unprintable" : found_text);
	free(found_text);
}

void
doc_check_add_fault(
    struct doc_check *c, const json_t *found, const char *allowed)
{
	char found_text[DOC_FOUND_BYTES];

	doc_check_describe(found, found_text);
	doc_check_add_problem(c, found_text, allowed);
}

static void
doc_check_add_unknown_key(struct doc_check *c, const char *key,
    const struct doc_field *fields, size_t n)
{
	struct buf allowed = {0};
	size_t i;

	buf_puts(&allowed, "one of the keys");
	for (i = 0; i < n; i++)
		buf_printf(
		    &allowed, "%s %s", i == 0 ? "" : ",", fields[i].name);
	doc_check_push_key(c, key);
	doc_check_add_problem(c, "an unknown key", allowed.data);
	doc_check_pop(c);
	buf_free(&allowed);
}

bool
doc_check_fields(struct doc_check *c, const json_t *value,
    const struct doc_field *fields, size_t n)
{
	const char *key;
	json_t *unused;
	size_t i;

	if (!json_is_object(value)) {
		doc_check_add_fault(c, value, "an object");
		return false;
	}
	json_object_foreach((json_t *)value, key, unused)
	{
		(void)unused;
		for (i = 0; i < n && strcmp(key, fields[i].name) != 0; i++)
			;
		if (i == n)
			doc_check_add_unknown_key(c, key, fields, n);
	}
	for (i = 0; i < n; i++) {
		if (!fields[i].required ||
		    json_object_get(value, fields[i].name) != NULL)
			continue;
		doc_check_push_key(c, fields[i].name);
		doc_check_add_fault(c, NULL, "a value: this key is required");
		doc_check_pop(c);
	}
	return true;
}

static bool
doc_check_size(struct doc_check *c, const json_t *value, const char *what,
    size_t size, size_t min, size_t max)
{
	char allowed[DOC_ALLOWED_BYTES];

	if (size >= min && size <= max)
		return true;
	(void)snprintf(allowed, sizeof(allowed), "%zu to %zu %s, not %zu", min,
	    max, what, size);
	doc_check_add_fault(c, value, allowed);
	return false;
}

bool
doc_check_entries(
    struct doc_check *c, const json_t *value, size_t min, size_t max)
{
	if (json_is_object(value))
		return doc_check_size(
		    c, value, "entries", json_object_size(value), min, max);
	doc_check_add_fault(c, value, "an object");
	return false;
}

bool
doc_check_array(
    struct doc_check *c, const json_t *value, size_t min, size_t max)
{
	if (json_is_array(value))
		return doc_check_size(
		    c, value, "items", json_array_size(value), min, max);
	doc_check_add_fault(c, value, "an array");
	return false;
}

bool
doc_is_valid_name(const char *name)
{
	static const char first[] = "abcdefghijklmnopqrstuvwxyz0123456789";
	static const char rest[] = "abcdefghijklmnopqrstuvwxyz0123456789._-";
	size_t len = strlen(name);

	return len > 0 && len < DOC_NAME_BYTES &&
	    strchr(first, name[0]) != NULL && strspn(name, rest) == len;
}

void
doc_check_name(
    struct doc_check *c, const json_t *object, const char *key, char **out)
{
	const json_t *value = json_object_get(object, key);

	if (value == NULL)
		return;
	if (json_is_string(value) &&
	    doc_is_valid_name(json_string_value(value))) {
		*out = mem_string(json_string_value(value));
		return;
	}
	doc_check_push_key(c, key);
	doc_check_add_fault(c, value, DOC_NAME_ALLOWED);
	doc_check_pop(c);
}

void
doc_check_uint(struct doc_check *c, const json_t *object, const char *key,
    uint32_t min, uint32_t max, uint32_t *out)
{
	const json_t *value = json_object_get(object, key);
	char allowed[DOC_ALLOWED_BYTES];

	if (value == NULL)
		return;
	if (json_is_integer(value) && json_integer_value(value) >= min &&
	    json_integer_value(value) <= max) {
		*out = (uint32_t)json_integer_value(value);
		return;
	}
	(void)snprintf(
	    allowed, sizeof(allowed), "a whole number, %u to %u", min, max);
	doc_check_push_key(c, key);
	doc_check_add_fault(c, value, allowed);
	doc_check_pop(c);
}

void
doc_check_real(struct doc_check *c, const json_t *object, const char *key,
    double min, double max, double *out)
{
	const json_t *value = json_object_get(object, key);
	char allowed[DOC_ALLOWED_BYTES];

	if (value == NULL)
		return;
	if (json_is_number(value) && json_number_value(value) >= min &&
	    json_number_value(value) <= max) {
		*out = json_number_value(value);
		return;
	}
	(void)snprintf(
	    allowed, sizeof(allowed), "a number, %g to %g", min, max);
	doc_check_push_key(c, key);
	doc_check_add_fault(c, value, allowed);
	doc_check_pop(c);
}

void
doc_check_bool(
    struct doc_check *c, const json_t *object, const char *key, bool *out)
{
	const json_t *value = json_object_get(object, key);

	if (value == NULL)
		return;
	if (json_is_boolean(value)) {
		*out = json_is_true(value);
		return;
	}
	doc_check_push_key(c, key);
	doc_check_add_fault(c, value, "true or false");
	doc_check_pop(c);
}
