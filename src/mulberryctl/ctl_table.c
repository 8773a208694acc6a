#include "mulberryctl/ctl_table.h"

#include <string.h>

#define CELL_BYTES  96
#define COLUMNS_MAX 24
#define FIELD_BYTES 64

const json_t *
ctl_find(const json_t *object, const char *path)
{
	char field[FIELD_BYTES];
	const char *dot;
	size_t len;

	while (object != NULL) {
		dot = strchr(path, '.');
		len = dot == NULL ? strlen(path) : (size_t)(dot - path);
		if (len >= sizeof(field))
			return NULL;
		memcpy(field, path, len);
		field[len] = '\0';
		object = json_object_get(object, field);
		if (dot == NULL)
			break;
		path = dot + 1;
	}
	return object;
}

void
ctl_cell(char *out, size_t size, const json_t *value)
{
	if (json_is_string(value))
		(void)snprintf(out, size, "%s", json_string_value(value));
	else if (json_is_integer(value))
		(void)snprintf(
		    out, size, "%lld", (long long)json_integer_value(value));
	else if (json_is_real(value))
		(void)snprintf(out, size, "%.2f", json_real_value(value));
	else if (json_is_boolean(value))
		(void)snprintf(
		    out, size, "%s", json_is_true(value) ? "yes" : "no");
	else if (json_is_array(value))
		(void)snprintf(out, size, "%zu", json_array_size(value));
	else
		(void)snprintf(out, size, "-");
}

void
ctl_table(FILE *out, const json_t *list, const struct ctl_column *columns,
    size_t ncolumns)
{
	size_t width[COLUMNS_MAX], i, row;
	char cell[CELL_BYTES];
	const json_t *item, *value;

	for (i = 0; i < ncolumns && i < COLUMNS_MAX; i++) {
		width[i] = strlen(columns[i].title);
		json_array_foreach(list, row, item)
		{
			ctl_cell(cell, sizeof(cell),
			    ctl_find(item, columns[i].path));
			if (strlen(cell) > width[i])
				width[i] = strlen(cell);
		}
	}
	for (i = 0; i < ncolumns && i < COLUMNS_MAX; i++)
		(void)fprintf(out, "%s%-*s", i == 0 ? "" : "  ",
		    i + 1 == ncolumns ? 0 : (int)width[i], columns[i].title);
	(void)fputc('\n', out);
	json_array_foreach(list, row, item)
	{
		for (i = 0; i < ncolumns && i < COLUMNS_MAX; i++) {
			value = ctl_find(item, columns[i].path);
			ctl_cell(cell, sizeof(cell), value);
			(void)fprintf(out, "%s%*s", i == 0 ? "" : "  ",
			    json_is_number(value)   ? (int)width[i]
				: i + 1 == ncolumns ? 0
						    : -(int)width[i],
			    cell);
		}
		(void)fputc('\n', out);
	}
}
