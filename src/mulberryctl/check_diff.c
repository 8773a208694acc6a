#include <ctype.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "mulberryctl/check.h"
#include "mulberryctl/json_diff.h"
#include "platform/platform.h"
#include "util/buf.h"
#include "util/map.h"
#include "util/mem.h"

/* Differences of a gateway configuration to an older one, see check.h. */

struct comparison {
	const struct check_config *old, *fresh;
	struct check_findings *findings;
	enum gw_element_kind kind;
};

#define NOTE(c, rule, path, ...)                                               \
	check_findings_add(                                                    \
	    (c)->findings, CHECK_DIFFERENCE, rule, path, __VA_ARGS__)

/* Returns what an element is known by, in words; the caller frees it. */
static char *
describe(enum gw_element_kind kind, const struct check_element *e)
{
	const struct gw_route *r = e->item;
	size_t i;
	char *text;

	if (kind == GW_ELEMENT_SERVICE)
		return check_format(
		    "service \"%s\"", ((struct gw_service *)e->item)->name);
	if (kind == GW_ELEMENT_ACCOUNT)
		return check_format(
		    "account \"%s\"", ((struct gw_account *)e->item)->name);
	text = check_format("route \"%s\" \"%s\"", r->host, r->prefix);
	for (i = strlen("route \""); i < strlen("route \"") + strlen(r->host);
	     i++)
		text[i] = (char)tolower((unsigned char)text[i]);
	return text;
}

static char *
path_of(enum gw_element_kind kind, const struct check_element *e)
{
	return check_format("%s[%zu]", check_list_path(kind), e->index);
}

/* ---- members ------------------------------------------------------------ */

/* Returns the change of a json_diff() item as a static name. */
static const char *
name_change(const json_t *item)
{
	static const char *const names[] = {"added", "removed"};
	const char *change = json_string_value(json_object_get(item, "change"));
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (strcmp(names[i], change) == 0)
			return names[i];
	return "changed";
}

/*
 * Notes changed members of an element or of the top level.
 *
 * path, what: of the object; what "" for the top level.
 * show_texts: whether texts are shown; those of accounts may be secret.
 */
static void
compare_members(const struct comparison *c, const char *path, const char *what,
    const json_t *old, const json_t *fresh, bool show_texts)
{
	json_t *list = json_diff(old, fresh), *item, *was, *is;
	char *was_text, *is_text;
	bool shows;
	size_t i;

	json_array_foreach(list, i, item)
	{
		was = json_object_get(item, "old");
		is = json_object_get(item, "new");
		shows = show_texts ||
		    !(json_is_string(was) || json_is_string(is) ||
			json_is_object(was) || json_is_object(is) ||
			json_is_array(was) || json_is_array(is));
		was_text = was == NULL
		    ? mem_string("none")
		    : json_dumps(was, JSON_COMPACT | JSON_ENCODE_ANY);
		is_text = is == NULL
		    ? mem_string("none")
		    : json_dumps(is, JSON_COMPACT | JSON_ENCODE_ANY);
		NOTE(c, name_change(item),
		    check_format("%s%s", path,
			json_string_value(json_object_get(item, "path")) + 1),
		    "%s%s%s%s%s", what, *what == '\0' ? "" : ": ",
		    shows ? was_text : "another value", shows ? " to " : "",
		    shows ? is_text : "");
		free(was_text);
		free(is_text);
	}
	json_decref(list);
}

/* ---- keys --------------------------------------------------------------- */

static size_t
count_missing(const struct gw_account *from, const struct gw_account *in)
{
	struct map *keys = map_create();
	size_t i, count = 0;

	for (i = 0; i < in->nkeys; i++)
		(void)map_set_str(keys, in->plain_keys[i], (void *)in);
	for (i = 0; i < from->nkeys; i++)
		count += map_get_str(keys, from->plain_keys[i]) == NULL;
	map_destroy(keys);
	return count;
}

static void
compare_keys(const struct comparison *c, const struct check_element *old,
    const struct check_element *fresh)
{
	const struct gw_account *was = old->item, *is = fresh->item;
	size_t removed = count_missing(was, is);
	size_t added = count_missing(is, was);

	if (removed + added > 0)
		NOTE(c, "changed",
		    check_format("$.tenants[%zu].%s", fresh->index,
			platform_field_name(PLATFORM_FIELD_KEYS)),
		    "account \"%s\": %zu keys added, %zu removed", is->name,
		    added, removed);
}

/* ---- elements ----------------------------------------------------------- */

static void
compare_element(const struct comparison *c, const struct check_element *old,
    const struct check_element *fresh)
{
	const char *keys = platform_field_name(PLATFORM_FIELD_KEYS);
	bool is_account = c->kind == GW_ELEMENT_ACCOUNT;
	json_t *was, *is;
	char *path, *what;

	if (old->text.len == fresh->text.len &&
	    memcmp(old->text.data, fresh->text.data, old->text.len) == 0)
		return;
	was = json_loadb(old->text.data, old->text.len, 0, NULL);
	is = json_loadb(fresh->text.data, fresh->text.len, 0, NULL);
	path = path_of(c->kind, fresh);
	what = describe(c->kind, fresh);
	if (is_account) {
		compare_keys(c, old, fresh);
		(void)json_object_del(was, keys);
		(void)json_object_del(is, keys);
	}
	compare_members(c, path, what, was, is, !is_account);
	free(path);
	free(what);
	json_decref(was);
	json_decref(is);
}

/* Returns the elements by what they are known by; of equal ones the first. */
static struct map *
index_elements(const struct check_list *list, enum gw_element_kind kind)
{
	struct map *index = map_create();
	char *name;
	size_t i;

	for (i = 0; i < list->count; i++) {
		name = describe(kind, &list->items[i]);
		if (map_get_str(index, name) == NULL)
			(void)map_set_str(index, name, &list->items[i]);
		free(name);
	}
	return index;
}

static void
compare_lists(const struct comparison *c)
{
	struct map *old = index_elements(&c->old->lists[c->kind], c->kind);
	struct map *fresh = index_elements(&c->fresh->lists[c->kind], c->kind);
	const struct check_element *e, *other;
	const char *name;
	size_t i;

	for (i = 0; i < map_count(old); i++) {
		name = map_key_at(old, i, NULL);
		if (map_get_str(fresh, name) == NULL)
			NOTE(c, "removed", path_of(c->kind, map_at(old, i)),
			    "%s (index of the older one)", name);
	}
	for (i = 0; i < map_count(fresh); i++) {
		name = map_key_at(fresh, i, NULL);
		e = map_at(fresh, i);
		other = map_get_str(old, name);
		if (other == NULL)
			NOTE(c, "added", path_of(c->kind, e), "%s", name);
		else
			compare_element(c, other, e);
	}
	map_destroy(old);
	map_destroy(fresh);
}

/* ---- the whole ---------------------------------------------------------- */

/* The text without the elements of top-level arrays, decoded; or NULL. */
static json_t *
load_rest(const struct check_config *c)
{
	struct buf rest = {0};
	struct node_bytes s;
	json_t *json;
	size_t i;

	for (i = 0; i < gw_text_count(c->text); i++) {
		s = gw_text_segment(c->text, i);
		if (gw_text_kind(c->text, i) == GW_SEGMENT_REST)
			buf_append(&rest, s.data, s.len);
	}
	json =
	    json_loadb(rest.data == NULL ? "" : rest.data, rest.len, 0, NULL);
	buf_free(&rest);
	return json;
}

void
check_config_compare(const struct check_config *old,
    const struct check_config *fresh, struct check_findings *findings)
{
	struct comparison c = {old, fresh, findings, GW_ELEMENT_OTHER};
	json_t *was = load_rest(old), *is = load_rest(fresh);
	int kind;

	if (was != NULL && is != NULL)
		compare_members(&c, "$", "", was, is, true);
	json_decref(was);
	json_decref(is);
	for (kind = GW_ELEMENT_ROUTE; kind < GW_ELEMENT_KINDS; kind++) {
		c.kind = (enum gw_element_kind)kind;
		compare_lists(&c);
	}
}
