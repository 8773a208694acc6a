#include <string.h>

#include "fakes/endpoint.h"

/* Short announcements: what has changed since the one before. */

static size_t
find_adapter(const json_t *list, const json_t *adapter)
{
	const json_t *name = json_object_get(adapter, "adapter");
	size_t i;

	for (i = 0; i < json_array_size(list); i++)
		if (json_equal(
			json_object_get(json_array_get(list, i), "adapter"),
			name))
			break;
	return i;
}

/* Adapters that are not held any more. */
static json_t *
take_dropped(json_t *told, const json_t *now)
{
	json_t *dropped = json_array(), *item;
	size_t i = json_array_size(told);

	while (i-- > 0) {
		item = json_array_get(told, i);
		if (find_adapter(now, item) < json_array_size(now))
			continue;
		(void)json_array_append(
		    dropped, json_object_get(item, "adapter"));
		(void)json_array_remove(told, i);
	}
	return dropped;
}

/* Adapters that are new, or that have begun or ended to load. */
static json_t *
take_changed(json_t *told, const json_t *now)
{
	json_t *changed = json_array(), *item, *before;
	size_t i, at;

	json_array_foreach(now, i, item)
	{
		at = find_adapter(told, item);
		before = json_array_get(told, at);
		if (before == NULL ||
		    !json_equal(json_object_get(before, "loading"),
			json_object_get(item, "loading")))
			(void)json_array_append(changed, item);
		if (before == NULL)
			(void)json_array_append(told, item);
		else /* frees it */
			(void)json_array_set(told, at, item);
	}
	return changed;
}

static void
set_unless_empty(json_t *body, const char *key, json_t *list)
{
	if (json_array_size(list) > 0)
		(void)json_object_set_new(body, key, list);
	else
		json_decref(list);
}

static json_t *
running_of(const json_t *list)
{
	json_t *out = json_array(), *item;
	size_t i;

	json_array_foreach(list, i, item)(void)
	    json_array_append(out, json_object_get(item, "running"));
	return out;
}

json_t *
announce_build_delta(struct endpoint *e, const json_t *full)
{
	static const char *const always[] = {"id", "incarnation", "load"};
	static const char *const maybe[] = {"leaving", "role", "cacheSequence"};
	const json_t *now = json_object_get(full, "adapters");
	json_t *told = json_object_get(e->announced_state, "adapters");
	json_t *body = json_object(), *value, *before;
	size_t i;

	for (i = 0; i < sizeof(always) / sizeof(always[0]); i++)
		(void)json_object_set(
		    body, always[i], json_object_get(full, always[i]));
	for (i = 0; i < sizeof(maybe) / sizeof(maybe[0]); i++) {
		value = json_object_get(full, maybe[i]);
		if (value == NULL ||
		    json_equal(
			value, json_object_get(e->announced_state, maybe[i])))
			continue;
		(void)json_object_set(body, maybe[i], value);
		(void)json_object_set(e->announced_state, maybe[i], value);
	}
	before = running_of(told);
	set_unless_empty(body, "dropped", take_dropped(told, now));
	set_unless_empty(body, "adapters", take_changed(told, now));
	value = running_of(told);
	if (!json_equal(before, value))
		(void)json_object_set(body, "running", value);
	json_decref(before);
	json_decref(value);
	return body;
}
