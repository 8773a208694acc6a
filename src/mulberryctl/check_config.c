#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate/gate_account.h"
#include "gate/gate_config.h"
#include "mulberryctl/check.h"
#include "platform/platform.h"
#include "util/buf.h"
#include "util/map.h"
#include "util/mem.h"

/* Findings, and the errors of a gateway configuration; see check.h. */

/* ---- findings ----------------------------------------------------------- */

static char *
format_list(const char *format, va_list args)
{
	va_list again;
	char *text;
	int len;

	va_copy(again, args);
	len = vsnprintf(NULL, 0, format, again);
	va_end(again);
	if (len < 0)
		len = 0;
	text = mem_alloc((size_t)len + 1, 1);
	(void)vsnprintf(text, (size_t)len + 1, format, args);
	return text;
}

char *
check_format(const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = format_list(format, args);
	va_end(args);
	return text;
}

void
check_findings_add(struct check_findings *findings, enum check_level level,
    const char *rule, char *path, const char *format, ...)
{
	struct check_finding *f;
	va_list args;

	findings->items = mem_resize(
	    findings->items, findings->count + 1, sizeof(*findings->items));
	f = &findings->items[findings->count++];
	f->level = level;
	f->rule = rule;
	f->path = path;
	va_start(args, format);
	f->text = format_list(format, args);
	va_end(args);
}

size_t
check_findings_count(
    const struct check_findings *findings, enum check_level level)
{
	size_t i, count = 0;

	for (i = 0; i < findings->count; i++)
		count += findings->items[i].level == level;
	return count;
}

void
check_findings_free(struct check_findings *findings)
{
	size_t i;

	for (i = 0; i < findings->count; i++) {
		free(findings->items[i].path);
		free(findings->items[i].text);
	}
	free(findings->items);
	memset(findings, 0, sizeof(*findings));
}

/*
 * Adds an error "PATH: TEXT". A JSON parser quotes what stands near the fault,
 * which may be an API key, and is left out.
 */
static void
add_error(struct check_findings *findings, const char *message)
{
	const char *end = strstr(message, ": ");
	const char *near = strstr(message, " near '");
	size_t len = end == NULL ? 0 : (size_t)(end - message);
	const char *text = end == NULL ? message : end + 2;
	int text_len = near != NULL && near > text ? (int)(near - text)
						   : (int)strlen(text);

	check_findings_add(findings, CHECK_ERROR, "invalid",
	    len == 0 ? mem_string("$") : mem_copy(message, len), "%.*s",
	    text_len, text);
}

/* ---- decoding ----------------------------------------------------------- */

const char *
check_list_path(enum gw_element_kind kind)
{
	static const char *const paths[GW_ELEMENT_KINDS] = {
	    [GW_ELEMENT_OTHER] = "$",
	    [GW_ELEMENT_ROUTE] = "$.routes",
	    [GW_ELEMENT_SERVICE] = "$.services",
	    [GW_ELEMENT_ACCOUNT] = "$.tenants"};

	return paths[kind];
}

/* Adds the error that an instance reports for the whole text; false: none. */
static bool
add_whole_error(struct node_bytes text, struct check_findings *findings)
{
	struct gw_config *config = NULL;
	struct mp_error err = {0};
	int rc = platform_codec.read_config(&config, text, &err);

	if (rc == MP_OK)
		rc = gw_config_check(config, &err);
	gw_config_destroy(config);
	if (rc != MP_OK)
		add_error(findings, err.message);
	return rc != MP_OK;
}

/* Decodes an array's elements; false: the text isn't JSON. */
static bool
read_array(struct check_config *c, const struct gw_text_array *array,
    struct check_findings *findings)
{
	enum gw_element_kind kind =
	    platform_codec.find_element_kind(array->key);
	struct check_list *list = &c->lists[kind];
	struct check_element *e;
	struct node_bytes text;
	struct mp_error err;
	void *item;
	size_t i;

	list->items = mem_resize(
	    list->items, list->count + array->count, sizeof(*list->items));
	for (i = 0; i < array->count; i++) {
		text = gw_text_segment(c->text, array->first + 2 * i);
		if (platform_codec.read_element(&item, kind, i, text, &err) ==
		    MP_OK) {
			e = &list->items[list->count];
			*e = (struct check_element){item, i, text};
			list->count += item != NULL;
			continue;
		}
		if (strncmp(err.message, "$:", 2) == 0)
			return false;
		list->is_incomplete = true;
		add_error(findings, err.message);
	}
	return true;
}

static void
read_rest(struct check_config *c, struct check_findings *findings)
{
	struct buf rest = {0};
	struct node_bytes s;
	struct mp_error err;
	size_t i;

	for (i = 0; i < gw_text_count(c->text); i++) {
		s = gw_text_segment(c->text, i);
		if (gw_text_kind(c->text, i) == GW_SEGMENT_REST)
			buf_append(&rest, s.data, s.len);
	}
	if (platform_codec.read_rest(c->config,
		(struct node_bytes){rest.data, rest.len}, &err) != MP_OK)
		add_error(findings, err.message);
	buf_free(&rest);
}

static void
set_elements(struct check_config *c, enum gw_element_kind kind)
{
	const struct check_list *list = &c->lists[kind];
	void **items = mem_alloc(list->count + 1, sizeof(*items));
	size_t i;

	for (i = 0; i < list->count; i++)
		items[i] = list->items[i].item;
	gw_config_set_elements(c->config, kind, items, list->count);
}

/* ---- errors of the decoded configuration -------------------------------- */

static bool
names_unknown_service(const struct gw_config *config, const struct gw_route *r)
{
	size_t i;

	for (i = 0; i < r->ntargets; i++)
		if (gw_config_find_service(config, r->targets[i].service) ==
		    NULL)
			return true;
	return false;
}

static void
check_routes(struct check_config *c, struct check_findings *findings)
{
	const struct check_list *list = &c->lists[GW_ELEMENT_ROUTE];
	struct map *indexes = map_create(); /* of routes by address */
	const struct gw_route *same;
	const struct check_element *e;
	struct mp_error err;
	size_t i;

	for (i = 0; i < list->count; i++) {
		e = &list->items[i];
		(void)map_set_u64(indexes, (uintptr_t)e->item, &list->items[i]);
		/* Which services there are is not known then. */
		if (!(c->lists[GW_ELEMENT_SERVICE].is_incomplete &&
			names_unknown_service(c->config, e->item)) &&
		    gw_config_check_route(c->config, e->item, e->index, &err) !=
			MP_OK)
			add_error(findings, err.message);
		same = gw_route_index_add(c->config->index->routes, e->item);
		if (same == NULL)
			continue;
		e = map_get_u64(indexes, (uintptr_t)same);
		check_findings_add(findings, CHECK_ERROR, "invalid",
		    check_format("$.routes[%zu]", list->items[i].index),
		    "the same host and prefix as $.routes[%zu]", e->index);
	}
	map_destroy(indexes);
}

/* Checks an account alone, as part of a configuration of its own. */
static void
check_account(const struct check_element *e, struct check_findings *findings)
{
	struct gw_account *account = e->item;
	struct gw_config alone = {.accounts = &account, .naccounts = 1};
	struct mp_error err;
	const char *rest;
	char *message;

	if (gw_config_check_accounts(&alone, &err) == MP_OK)
		return;
	rest = strchr(err.message, ']');
	message = check_format(
	    "$.tenants[%zu%s", e->index, rest == NULL ? "]: invalid" : rest);
	add_error(findings, message);
	free(message);
}

/* Adds an error if another account has a name or key as well. */
static void
check_distinct(struct map *seen, const struct check_element *e,
    const char *text, const char *what, struct check_findings *findings)
{
	const struct check_element *other = map_get_str(seen, text);

	if (other == NULL)
		(void)map_set_str(seen, text, (void *)e);
	else if (other != e)
		check_findings_add(findings, CHECK_ERROR, "invalid",
		    check_format("$.tenants[%zu]", e->index),
		    "the same %s as $.tenants[%zu]", what, other->index);
}

static void
check_accounts(struct check_config *c, struct check_findings *findings)
{
	const struct check_list *list = &c->lists[GW_ELEMENT_ACCOUNT];
	struct map *names = map_create(), *keys = map_create();
	const struct gw_account *a;
	size_t i, k;

	for (i = 0; i < list->count; i++) {
		a = list->items[i].item;
		check_account(&list->items[i], findings);
		check_distinct(
		    names, &list->items[i], a->name, "name", findings);
		for (k = 0; k < a->nkeys; k++)
			check_distinct(keys, &list->items[i], a->plain_keys[k],
			    "key", findings);
	}
	map_destroy(names);
	map_destroy(keys);
}

/* ---- the whole ---------------------------------------------------------- */

static bool
read_arrays(struct check_config *c, struct check_findings *findings)
{
	const struct gw_text_array *arrays;
	size_t narrays, i;

	arrays = gw_text_arrays(c->text, &narrays);
	for (i = 0; i < narrays; i++)
		if (!read_array(c, &arrays[i], findings))
			return false;
	return true;
}

struct check_config *
check_config_read(struct node_bytes text, struct check_findings *findings)
{
	struct check_config *c = mem_alloc(1, sizeof(*c));
	size_t before = findings->count;
	bool is_json;
	int kind;

	c->config = mem_alloc(1, sizeof(*c->config));
	c->config->index = gw_config_index_create();
	is_json = gw_text_parse(&c->text, text, NULL, NULL) == MP_OK &&
	    read_arrays(c, findings);
	for (kind = GW_ELEMENT_ROUTE; kind < GW_ELEMENT_KINDS; kind++)
		set_elements(c, (enum gw_element_kind)kind);
	if (!is_json) {
		(void)add_whole_error(text, findings);
		return c;
	}
	read_rest(c, findings);
	gw_config_index_services(c->config);
	check_routes(c, findings);
	check_accounts(c, findings);
	/* What an instance refuses must not pass here. */
	if (findings->count == before)
		(void)add_whole_error(text, findings);
	return c;
}

void
check_config_destroy(struct check_config *c)
{
	int kind;

	for (kind = 0; kind < GW_ELEMENT_KINDS; kind++)
		free(c->lists[kind].items);
	gw_config_destroy(c->config);
	gw_text_destroy(c->text);
	free(c);
}
