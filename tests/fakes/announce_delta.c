/*
 * Delta announcements: only what changed since the previous announcement.
 */

#include <string.h>

#include "fakes/endpoint.h"

/* Return the index of an adapter by name; the list's size if it is absent. */
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

/*
 * Remove from announced the adapters that are no longer in current and return
 * their names.
 */
static json_t *
remove_dropped(json_t *announced, const json_t *current)
{
	json_t *dropped = json_array(), *item;
	size_t i = json_array_size(announced);

	while (i-- > 0) {
		item = json_array_get(announced, i);
		if (find_adapter(current, item) < json_array_size(current))
			continue;
		(void)json_array_append(
		    dropped, json_object_get(item, "adapter"));
		(void)json_array_remove(announced, i);
	}
	return dropped;
}

/*
 * Bring announced up to date and return the adapters that are new or whose
 * loading state changed.
 */
static json_t *
update_changed(json_t *announced, const json_t *current)
{
	json_t *changed = json_array(), *item, *previous;
	size_t i, index;

	json_array_foreach(current, i, item)
	{
		index = find_adapter(announced, item);
		previous = json_array_get(announced, index);
		if (previous == NULL ||
		    !json_equal(json_object_get(previous, "loading"),
			json_object_get(item, "loading")))
			(void)json_array_append(changed, item);
		if (previous == NULL)
			(void)json_array_append(announced, item);
		else /* releases previous */
			(void)json_array_set(announced, index, item);
	}
	return changed;
}

/* Takes ownership of list. */
static void
set_unless_empty(json_t *body, const char *key, json_t *list)
{
	if (json_array_size(list) > 0)
		(void)json_object_set_new(body, key, list);
	else
		json_decref(list);
}

/* Return the running count of each adapter, in list order. */
static json_t *
list_running(const json_t *list)
{
	json_t *running = json_array(), *item;
	size_t i;

	json_array_foreach(list, i, item)(void)
	    json_array_append(running, json_object_get(item, "running"));
	return running;
}

json_t *
announce_build_delta(struct endpoint *e, const json_t *full)
{
	static const char *const required[] = {"id", "incarnation", "load"};
	static const char *const optional[] = {
	    "leaving", "role", "cacheSequence"};
	const json_t *current = json_object_get(full, "adapters");
	json_t *announced = json_object_get(e->announced_state, "adapters");
	json_t *body = json_object(), *value, *previous;
	size_t i;

	for (i = 0; i < sizeof(required) / sizeof(required[0]); i++)
		(void)json_object_set(
		    body, required[i], json_object_get(full, required[i]));
	for (i = 0; i < sizeof(optional) / sizeof(optional[0]); i++) {
		value = json_object_get(full, optional[i]);
		if (value == NULL ||
		    json_equal(value,
			json_object_get(e->announced_state, optional[i])))
			continue;
		(void)json_object_set(body, optional[i], value);
		(void)json_object_set(e->announced_state, optional[i], value);
	}
	previous = list_running(announced);
	set_unless_empty(body, "dropped", remove_dropped(announced, current));
	set_unless_empty(body, "adapters", update_changed(announced, current));
	value = list_running(announced);
	if (!json_equal(previous, value))
		(void)json_object_set(body, "running", value);
	json_decref(previous);
	json_decref(value);
	return body;
}
