#include <math.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "conf/fields.h"
#include "util/buf.h"
#include "util/mem.h"

#define FOUND_BYTES_MAX 80 /* longer values are truncated in a problem */
/* Keys of other characters are quoted in a JSON path. */
#define PLAIN_KEY_CHARACTERS                                                   \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_"
#define MILLI_PER_UNIT 1000.0

static void *
field_at(void *base, size_t offset)
{
	return (char *)base + offset;
}

static void
add_problem(struct settings_problems *problems, const struct field *f,
    const char *path, json_t *value)
{
	char *text;

	if (value == NULL) {
		settings_problems_add(problems, path, "nothing", f->allowed);
		return;
	}
	if (f->secret) {
		settings_problems_add(
		    problems, path, "a secret, not shown", f->allowed);
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	if (text != NULL && strlen(text) > FOUND_BYTES_MAX)
		memcpy(text + FOUND_BYTES_MAX - 3, "...", sizeof("..."));
	settings_problems_add(
	    problems, path, text == NULL ? "?" : text, f->allowed);
	free(text);
}

static void
read_number(void *base, const struct field *f, json_t *value, const char *path,
    struct settings_problems *problems)
{
	uint32_t *out = field_at(base, f->offset);
	double scale = f->type == FIELD_MILLI ? MILLI_PER_UNIT : 1.0;
	double number = f->fallback;

	if (value != NULL) {
		number = json_number_value(value);
		if (!(f->type == FIELD_MILLI ? json_is_number(value)
					     : json_is_integer(value)) ||
		    number < f->min || number > f->max) {
			add_problem(problems, f, path, value);
			return;
		}
	}
	*out = (uint32_t)lround(number * scale);
}

static void
read_choice(void *base, const struct field *f, json_t *value, const char *path,
    struct settings_problems *problems)
{
	const char *text = json_string_value(value);
	unsigned int i;

	if (value == NULL) {
		if (f->type == FIELD_CHOICE_TEXT)
			*(char **)field_at(base, f->offset) =
			    mem_string(f->fallback_text);
		return;
	}
	for (i = 0; text != NULL && f->choices[i] != NULL; i++) {
		if (strcmp(f->choices[i], text) != 0)
			continue;
		if (f->type == FIELD_CHOICE)
			*(unsigned int *)field_at(base, f->offset) = i;
		else
			*(char **)field_at(base, f->offset) = mem_string(text);
		return;
	}
	add_problem(problems, f, path, value);
}

static void
read_text(void *base, const struct field *f, json_t *value, const char *path,
    struct settings_problems *problems)
{
	const char *text = json_string_value(value);

	if (value == NULL)
		return;
	if (text == NULL || strlen(text) != json_string_length(value) ||
	    !f->check(text)) {
		add_problem(problems, f, path, value);
		return;
	}
	*(char **)field_at(base, f->offset) = mem_string(text);
}

static void
read_bool(void *base, const struct field *f, json_t *value, const char *path,
    struct settings_problems *problems)
{
	if (value == NULL) {
		*(bool *)field_at(base, f->offset) = f->fallback != 0;
		return;
	}
	if (!json_is_boolean(value)) {
		add_problem(problems, f, path, value);
		return;
	}
	*(bool *)field_at(base, f->offset) = json_is_true(value);
}

/* Reads one array item: a struct as its table describes, or a string. */
static void
read_item(void *item, const struct field *f, json_t *value, const char *path,
    struct settings_problems *problems)
{
	struct field text = *f;

	if (f->type == FIELD_ARRAY) {
		fields_read(item, f->fields, value, path, problems);
		return;
	}
	text.offset = 0;
	read_text(item, &text, value, path, problems);
}

static void
read_array(void *base, const struct field *f, json_t *value, const char *path,
    struct settings_problems *problems)
{
	size_t size = f->type == FIELD_TEXTS ? sizeof(char *) : f->item_size;
	size_t count = json_array_size(value);
	struct buf item_path = {0};
	char *items;
	size_t i;

	if (value == NULL)
		return;
	if (!json_is_array(value) || (double)count < f->min) {
		add_problem(problems, f, path, value);
		return;
	}
	items = mem_alloc(count == 0 ? 1 : count, size);
	for (i = 0; i < count; i++) {
		buf_clear(&item_path);
		buf_printf(&item_path, "%s[%zu]", path, i);
		read_item(items + i * size, f, json_array_get(value, i),
		    item_path.data, problems);
	}
	buf_free(&item_path);
	*(char **)field_at(base, f->offset) = items;
	*(size_t *)field_at(base, f->count_offset) = count;
}

static void
read_field(void *base, const struct field *f, json_t *value, const char *path,
    struct settings_problems *problems)
{
	if (value == NULL && f->required)
		add_problem(problems, f, path, NULL);
	switch (f->type) {
	case FIELD_TEXT:
		read_text(base, f, value, path, problems);
		break;
	case FIELD_NUMBER:
	case FIELD_MILLI:
		read_number(base, f, value, path, problems);
		break;
	case FIELD_BOOL:
		read_bool(base, f, value, path, problems);
		break;
	case FIELD_CHOICE:
	case FIELD_CHOICE_TEXT:
		read_choice(base, f, value, path, problems);
		break;
	case FIELD_OBJECT:
		/* A missing required object is one fault, not one per key. */
		if (value != NULL || !f->required)
			fields_read(base, f->fields, value, path, problems);
		break;
	case FIELD_ARRAY:
	case FIELD_TEXTS:
		read_array(base, f, value, path, problems);
		break;
	}
}

static const struct field *
find_field(const struct field *fields, const char *key)
{
	const struct field *f;

	for (f = fields; f->key != NULL; f++) {
		if (strcmp(f->key, key) == 0)
			return f;
	}
	return NULL;
}

static void
join_path(struct buf *out, const char *path, const char *key)
{
	buf_clear(out);
	buf_puts(out, path);
	if (*key != '\0' && strspn(key, PLAIN_KEY_CHARACTERS) == strlen(key)) {
		buf_printf(out, ".%s", key);
		return;
	}
	buf_puts(out, "[");
	buf_json_string(out, key);
	buf_puts(out, "]");
}

static void
report_unknown_keys(const struct field *fields, json_t *object,
    const char *path, struct settings_problems *problems)
{
	struct buf allowed = {0};
	struct buf key_path = {0};
	const struct field *f;
	const char *key;
	json_t *value;

	buf_puts(&allowed, "only");
	for (f = fields; f->key != NULL; f++)
		buf_printf(&allowed, "%s %s", f == fields ? "" : ",", f->key);
	json_object_foreach(object, key, value)
	{
		if (find_field(fields, key) != NULL)
			continue;
		join_path(&key_path, path, key);
		settings_problems_add(
		    problems, key_path.data, "unknown key", allowed.data);
	}
	buf_free(&key_path);
	buf_free(&allowed);
}

void
fields_read(void *base, const struct field *fields, json_t *object,
    const char *path, struct settings_problems *problems)
{
	const struct field object_field = {.allowed = "an object"};
	struct buf key_path = {0};
	const struct field *f;

	if (object != NULL && !json_is_object(object)) {
		add_problem(problems, &object_field, path, object);
		return;
	}
	if (object != NULL)
		report_unknown_keys(fields, object, path, problems);
	for (f = fields; f->key != NULL; f++) {
		join_path(&key_path, path, f->key);
		read_field(base, f, json_object_get(object, f->key),
		    key_path.data, problems);
	}
	buf_free(&key_path);
}

static void
free_array(void *base, const struct field *f)
{
	size_t count = *(size_t *)field_at(base, f->count_offset);
	char *items = *(char **)field_at(base, f->offset);
	size_t i;

	for (i = 0; i < count; i++) {
		if (f->type == FIELD_ARRAY)
			fields_free(items + i * f->item_size, f->fields);
		else
			free(((char **)(void *)items)[i]);
	}
	free(items);
}

void
fields_free(void *base, const struct field *fields)
{
	const struct field *f;

	for (f = fields; f->key != NULL; f++) {
		if (f->type == FIELD_TEXT || f->type == FIELD_CHOICE_TEXT)
			free(*(char **)field_at(base, f->offset));
		else if (f->type == FIELD_OBJECT)
			fields_free(base, f->fields);
		else if (f->type == FIELD_ARRAY || f->type == FIELD_TEXTS)
			free_array(base, f);
	}
}
