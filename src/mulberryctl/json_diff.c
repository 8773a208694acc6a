#include "mulberryctl/json_diff.h"

#include <ctype.h>
#include <string.h>

#include "util/buf.h"

static void diff_values(
    struct buf *path, json_t *out, const json_t *old, const json_t *fresh);

static void
diff_note(const struct buf *path, json_t *out, const char *change,
    const json_t *old, const json_t *fresh)
{
	json_t *item =
	    json_pack("{s:s, s:s}", "path", path->data, "change", change);

	if (old != NULL)
		(void)json_object_set_new(item, "old", json_deep_copy(old));
	if (fresh != NULL)
		(void)json_object_set_new(item, "new", json_deep_copy(fresh));
	(void)json_array_append_new(out, item);
}

static void
path_add_key(struct buf *path, const char *key)
{
	const char *p = key;

	while (isalnum((unsigned char)*p) || *p == '-' || *p == '_')
		p++;
	if (*p == '\0' && p > key) {
		buf_printf(path, ".%s", key);
	} else {
		buf_puts(path, "[");
		buf_json_string(path, key);
		buf_puts(path, "]");
	}
}

static void
path_cut(struct buf *path, size_t len)
{
	path->len = len;
	path->data[len] = '\0';
}

/* One member or item; either side may be missing. */
static void
diff_pair(struct buf *path, json_t *out, const json_t *old, const json_t *fresh)
{
	if (old == NULL)
		diff_note(path, out, "added", NULL, fresh);
	else if (fresh == NULL)
		diff_note(path, out, "removed", old, NULL);
	else
		diff_values(path, out, old, fresh);
}

static void
diff_objects(
    struct buf *path, json_t *out, const json_t *old, const json_t *fresh)
{
	size_t len = path->len;
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)old, key, value)
	{
		path_add_key(path, key);
		diff_pair(path, out, value, json_object_get(fresh, key));
		path_cut(path, len);
	}
	json_object_foreach((json_t *)fresh, key, value)
	{
		if (json_object_get(old, key) != NULL)
			continue;
		path_add_key(path, key);
		diff_pair(path, out, NULL, value);
		path_cut(path, len);
	}
}

static void
diff_arrays(
    struct buf *path, json_t *out, const json_t *old, const json_t *fresh)
{
	size_t len = path->len, i, n = json_array_size(old);

	if (json_array_size(fresh) > n)
		n = json_array_size(fresh);
	for (i = 0; i < n; i++) {
		buf_printf(path, "[%zu]", i);
		diff_pair(path, out, json_array_get(old, i),
		    json_array_get(fresh, i));
		path_cut(path, len);
	}
}

static void
diff_values(
    struct buf *path, json_t *out, const json_t *old, const json_t *fresh)
{
	if (json_is_object(old) && json_is_object(fresh))
		diff_objects(path, out, old, fresh);
	else if (json_is_array(old) && json_is_array(fresh))
		diff_arrays(path, out, old, fresh);
	else if (json_is_number(old) && json_is_number(fresh) &&
	    json_number_value(old) == json_number_value(fresh))
		return;
	else if (!json_equal(old, fresh))
		diff_note(path, out, "changed", old, fresh);
}

json_t *
json_diff(const json_t *old, const json_t *new_)
{
	json_t *out = json_array();
	struct buf path = {0};

	buf_puts(&path, "$");
	diff_values(&path, out, old, new_);
	buf_free(&path);
	return out;
}
