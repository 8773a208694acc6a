#include <string.h>

#include "node/node_announce.h"

/* Largest value of any count in an announcement. */
#define ANNOUNCE_SEATS_MAX 65536

static int
field_error(struct mp_error *err, const char *field)
{
	return mp_error_set(err, MP_LAYER_NODE, MP_ERR_INVALID,
	    "announcement: %s is missing or malformed", field);
}

static bool
get_string(const json_t *object, const char *key, const char **out)
{
	*out = json_string_value(json_object_get(object, key));
	return *out != NULL && **out != '\0';
}

static bool
get_count(const json_t *object, const char *key, uint32_t *out)
{
	const json_t *value = json_object_get(object, key);
	json_int_t n = json_integer_value(value);

	*out = 0;
	if (value == NULL)
		return true;
	if (!json_is_integer(value) || n < 0 || n > ANNOUNCE_SEATS_MAX)
		return false;
	*out = (uint32_t)n;
	return true;
}

static bool
get_number(const json_t *object, const char *key, uint64_t *out)
{
	const json_t *value = json_object_get(object, key);

	*out = (uint64_t)json_integer_value(value);
	return json_is_integer(value);
}

static int
parse_adapters(struct announcement *a, struct mp_error *err)
{
	const json_t *list = json_object_get(a->root, "adapters");
	const json_t *item;
	struct sched_slot *slot;
	size_t i;

	if (list != NULL && !json_is_array(list))
		return field_error(err, "adapters");
	if (json_array_size(list) > ANNOUNCE_SLOTS_MAX)
		return field_error(err, "adapters");
	json_array_foreach(list, i, item)
	{
		slot = &a->slots[i];
		if (!get_string(item, "adapter", &slot->adapter) ||
		    !get_count(item, "running", &slot->running))
			return field_error(err, "adapters[]");
		slot->loading = json_is_true(json_object_get(item, "loading"));
	}
	a->report.slots = a->slots;
	a->report.slot_count = json_array_size(list);
	return 0;
}

static int
parse_role(struct announcement *a, struct mp_error *err)
{
	const char *role = json_string_value(json_object_get(a->root, "role"));

	a->report.role = SCHED_MIXED;
	if (role == NULL || strcmp(role, "mixed") == 0)
		return 0;
	if (strcmp(role, "prefill") == 0)
		a->report.role = SCHED_PREFILL;
	else if (strcmp(role, "decode") == 0)
		a->report.role = SCHED_DECODE;
	else
		return field_error(err, "role");
	return 0;
}

static int
parse_load(struct announcement *a, uint64_t now_us, struct mp_error *err)
{
	const json_t *load = json_object_get(a->root, "load");
	uint32_t age_ms;

	if (!get_count(load, "running", &a->report.running) ||
	    !get_count(load, "queued", &a->report.queued) ||
	    !get_count(load, "asOfMs", &age_ms))
		return field_error(err, "load");
	a->report.as_of_us = now_us > (uint64_t)age_ms * 1000
	    ? now_us - (uint64_t)age_ms * 1000
	    : 1;
	return 0;
}

static int
parse_type(struct announcement *a, struct mp_error *err)
{
	const char *type;

	if (!get_string(a->root, "type", &type))
		return field_error(err, "type");
	if (strcmp(type, "service") == 0) {
		a->report.is_service = true;
		if (!get_string(a->root, "service", &a->report.service_name))
			return field_error(err, "service");
		return 0;
	}
	if (strcmp(type, "engine") != 0)
		return field_error(err, "type");
	if (!get_string(a->root, "baseModel", &a->report.base_model))
		return field_error(err, "baseModel");
	return 0;
}

static int
parse_fields(struct announcement *a, struct mp_error *err)
{
	if (!get_string(a->root, "id", &a->report.id))
		return field_error(err, "id");
	if (!get_number(a->root, "incarnation", &a->report.incarnation))
		return field_error(err, "incarnation");
	(void)get_number(a->root, "sequence", &a->sequence);
	(void)get_number(a->root, "cacheSequence", &a->report.cache_sequence);
	if (!get_string(a->root, "address", &a->address))
		return field_error(err, "address");
	if (!get_string(a->root, "region", &a->region))
		return field_error(err, "region");
	if (!get_string(a->root, "dataCentre", &a->report.data_centre))
		return field_error(err, "dataCentre");
	if (!get_count(a->root, "slots", &a->report.slot_capacity))
		return field_error(err, "slots");
	if (!get_count(a->root, "seats", &a->report.seats) ||
	    a->report.seats == 0)
		return field_error(err, "seats");
	a->report.leaving = json_is_true(json_object_get(a->root, "leaving"));
	return parse_type(a, err);
}

int
announce_read(struct announcement *out, uint64_t now_us, json_t *root,
    struct mp_error *err)
{
	int rc;

	memset(out, 0, sizeof(*out));
	if (!json_is_object(root))
		return field_error(err, "the JSON object");
	out->root = json_incref(root);
	rc = parse_fields(out, err);
	if (rc == 0)
		rc = parse_load(out, now_us, err);
	if (rc == 0)
		rc = parse_role(out, err);
	if (rc == 0)
		rc = parse_adapters(out, err);
	if (rc != 0)
		announce_free(out);
	return rc;
}

void
announce_free(struct announcement *a)
{
	json_decref(a->root);
	a->root = NULL;
}

/* ---- short announcements ------------------------------------------------- */

bool
announce_is_change(const json_t *root)
{
	return json_object_get(root, "since") != NULL;
}

int
announce_read_change(
    struct announce_change *out, const json_t *root, struct mp_error *err)
{
	if (!get_string(root, "id", &out->id))
		return field_error(err, "id");
	if (!get_number(root, "incarnation", &out->incarnation))
		return field_error(err, "incarnation");
	if (!get_number(root, "sequence", &out->sequence))
		return field_error(err, "sequence");
	if (!get_number(root, "since", &out->since) || out->since == 0 ||
	    out->since >= out->sequence)
		return field_error(err, "since");
	return 0;
}

static size_t
find_adapter(const json_t *list, const char *name)
{
	const char *other;
	size_t i;

	for (i = 0; i < json_array_size(list); i++)
		if (get_string(json_array_get(list, i), "adapter", &other) &&
		    strcmp(other, name) == 0)
			break;
	return i;
}

static int
merge_dropped(json_t *list, const json_t *dropped, struct mp_error *err)
{
	const json_t *item;
	const char *name;
	size_t i;

	json_array_foreach(dropped, i, item)
	{
		name = json_string_value(item);
		if (name == NULL)
			return field_error(err, "dropped[]");
		(void)json_array_remove(list, find_adapter(list, name));
	}
	return 0;
}

/* Replaces changed adapters in place and appends new ones. */
static int
merge_adapters(json_t *list, const json_t *changed, struct mp_error *err)
{
	json_t *item;
	const char *name;
	size_t i, at;

	json_array_foreach(changed, i, item)
	{
		if (!get_string(item, "adapter", &name))
			return field_error(err, "adapters[]");
		item = json_deep_copy(item);
		at = find_adapter(list, name);
		if (at < json_array_size(list))
			(void)json_array_set_new(list, at, item);
		else
			(void)json_array_append_new(list, item);
	}
	return 0;
}

/* Sets the numbers of runs, which are in the order of the adapters. */
static int
merge_running(json_t *list, const json_t *running, struct mp_error *err)
{
	json_t *item;
	size_t i;

	if (running == NULL)
		return 0;
	if (json_array_size(running) != json_array_size(list))
		return field_error(err, "running");
	json_array_foreach(running, i, item)(void)
	    json_object_set(json_array_get(list, i), "running", item);
	return 0;
}

int
announce_merge(json_t **out, const json_t *earlier, const json_t *change,
    struct mp_error *err)
{
	static const char *const replaced_fields[] = {
	    "sequence", "load", "leaving", "role", "seats", "cacheSequence"};
	json_t *list = json_deep_copy(json_object_get(earlier, "adapters"));
	json_t *value;
	size_t i;
	int rc;

	if (list == NULL)
		list = json_array();
	*out = json_copy((json_t *)earlier);
	(void)json_object_set_new(*out, "adapters", list);
	for (i = 0; i < sizeof(replaced_fields) / sizeof(replaced_fields[0]);
	     i++) {
		value = json_object_get(change, replaced_fields[i]);
		if (value != NULL)
			(void)json_object_set(*out, replaced_fields[i], value);
	}
	rc = merge_dropped(list, json_object_get(change, "dropped"), err);
	if (rc == 0)
		rc = merge_adapters(
		    list, json_object_get(change, "adapters"), err);
	if (rc == 0)
		rc = merge_running(
		    list, json_object_get(change, "running"), err);
	if (rc == 0)
		return 0;
	json_decref(*out);
	*out = NULL;
	return rc;
}
