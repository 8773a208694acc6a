#include <string.h>

#include "node/node_announce.h"

#define ANNOUNCE_SEATS_MAX 65536

static int
bad_field(struct mp_error *err, const char *field)
{
	return mp_error_set(err, MP_LAYER_NODE, MP_ERR_INVALID,
	    "announcement: %s is missing or malformed", field);
}

static bool
take_string(const json_t *object, const char *key, const char **out)
{
	*out = json_string_value(json_object_get(object, key));
	return *out != NULL && **out != '\0';
}

static bool
take_count(const json_t *object, const char *key, uint32_t *out)
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

static int
parse_adapters(struct announcement *a, struct mp_error *err)
{
	const json_t *list = json_object_get(a->root, "adapters");
	const json_t *item;
	struct sched_slot *slot;
	size_t i;

	if (list != NULL && !json_is_array(list))
		return bad_field(err, "adapters");
	if (json_array_size(list) > ANNOUNCE_SLOTS_MAX)
		return bad_field(err, "adapters");
	json_array_foreach(list, i, item)
	{
		slot = &a->slots[i];
		if (!take_string(item, "adapter", &slot->adapter) ||
		    !take_count(item, "running", &slot->running))
			return bad_field(err, "adapters[]");
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
		return bad_field(err, "role");
	return 0;
}

static int
parse_load(struct announcement *a, uint64_t now_us, struct mp_error *err)
{
	const json_t *load = json_object_get(a->root, "load");
	uint32_t age_ms;

	if (!take_count(load, "running", &a->report.running) ||
	    !take_count(load, "queued", &a->report.queued) ||
	    !take_count(load, "asOfMs", &age_ms))
		return bad_field(err, "load");
	a->report.as_of_us = now_us > (uint64_t)age_ms * 1000
	    ? now_us - (uint64_t)age_ms * 1000
	    : 1;
	return 0;
}

static int
parse_type(struct announcement *a, struct mp_error *err)
{
	const char *type;

	if (!take_string(a->root, "type", &type))
		return bad_field(err, "type");
	if (strcmp(type, "service") == 0) {
		a->report.service = true;
		if (!take_string(a->root, "service", &a->report.service_name))
			return bad_field(err, "service");
		return 0;
	}
	if (strcmp(type, "engine") != 0)
		return bad_field(err, "type");
	if (!take_string(a->root, "baseModel", &a->report.base_model))
		return bad_field(err, "baseModel");
	return 0;
}

static int
parse_fields(struct announcement *a, struct mp_error *err)
{
	const json_t *incarnation = json_object_get(a->root, "incarnation");

	if (!take_string(a->root, "id", &a->report.id))
		return bad_field(err, "id");
	if (!json_is_integer(incarnation))
		return bad_field(err, "incarnation");
	a->report.incarnation = (uint64_t)json_integer_value(incarnation);
	if (!take_string(a->root, "address", &a->address))
		return bad_field(err, "address");
	if (!take_string(a->root, "region", &a->region))
		return bad_field(err, "region");
	if (!take_string(a->root, "dataCentre", &a->report.data_centre))
		return bad_field(err, "dataCentre");
	if (!take_count(a->root, "slots", &a->report.nslots))
		return bad_field(err, "slots");
	if (!take_count(a->root, "seats", &a->report.seats) ||
	    a->report.seats == 0)
		return bad_field(err, "seats");
	a->report.leaving = json_is_true(json_object_get(a->root, "leaving"));
	return parse_type(a, err);
}

int
announce_parse(struct announcement *out, uint64_t now_us,
    struct node_bytes json, struct mp_error *err)
{
	int rc;

	memset(out, 0, sizeof(*out));
	out->root = json_loadb(json.data, json.len, 0, NULL);
	if (!json_is_object(out->root)) {
		json_decref(out->root);
		out->root = NULL;
		return bad_field(err, "the JSON object");
	}
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
