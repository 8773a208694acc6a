/*
 * Announcements to the owner of this endpoint, an instance of the system.
 *
 * The owner's address is learned from the response. After a failure the targets
 * of --announce are tried in turn, each at most once per interval. A full
 * announcement follows a failure or a response with "sendAll"; otherwise only
 * changes are sent, unless --full-announcements is set.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/endpoint.h"
#include "util/clock.h"
#include "util/mem.h"

#define ANNOUNCE_INTERVAL_MS	1000
#define ANNOUNCE_TIMEOUT_US	1000000
#define PUBLISH_INTERVAL_MS	200
#define AUTHORIZATION_BYTES_MAX 256

/* Return the owner or, as long as it is unknown, the current target. */
static const char *
announce_get_target(const struct endpoint *e)
{
	if (e->owner != NULL)
		return e->owner;
	return e->ntargets == 0 ? NULL : e->targets[e->current_target];
}

uint64_t
announce_post(struct endpoint *e, const char *path, json_t *body)
{
	char authorization[AUTHORIZATION_BYTES_MAX];
	struct node_call call;
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	memset(&call, 0, sizeof(call));
	call.address = announce_get_target(e);
	if (call.address == NULL || e->faults.drop_announce) {
		free(text);
		return 0;
	}
	(void)snprintf(
	    authorization, sizeof(authorization), "Bearer %s", e->token);
	call.call = ++e->last_call;
	call.method = "POST";
	call.path = path;
	call.headers[call.nheaders++] =
	    (struct node_header){"authorization", authorization};
	call.headers[call.nheaders++] =
	    (struct node_header){"content-type", "application/json"};
	call.body.data = text;
	call.body.len = strlen(text);
	call.not_after_us = clock_now_us() + ANNOUNCE_TIMEOUT_US;
	call.silence_us = ANNOUNCE_TIMEOUT_US;
	http_client_start(e->client, &call);
	free(text);
	return call.call;
}

static json_t *
announce_build_adapters(const struct endpoint *e)
{
	json_t *list = json_array();
	const struct slot *slot;
	size_t i;

	for (i = 0; i < (size_t)e->slot_count; i++) {
		slot = &e->slots[i];
		if (slot->key != NULL)
			(void)json_array_append_new(list,
			    json_pack("{s:s, s:b, s:i}", "adapter", slot->key,
				"loading", slot->loading, "running",
				(int)slot->running));
	}
	return list;
}

/*
 * Report the most recent load snapshot that is at least --report-lag-ms old, or
 * the oldest one available.
 */
static json_t *
announce_build_load(const struct endpoint *e)
{
	uint64_t now = uv_now(&e->loop);
	size_t i, index = e->nsnapshots - 1;

	for (i = 1; i < ENDPOINT_SNAPSHOTS && i < e->nsnapshots; i++) {
		if ((double)(now -
			e->snapshots[index % ENDPOINT_SNAPSHOTS].at_ms) >=
		    e->report_lag_ms)
			break;
		index--;
	}
	index %= ENDPOINT_SNAPSHOTS;
	return json_pack("{s:I, s:I, s:I}", "running",
	    (json_int_t)e->snapshots[index].running, "queued",
	    (json_int_t)e->snapshots[index].queued, "asOfMs",
	    (json_int_t)(now - e->snapshots[index].at_ms));
}

static json_t *
announce_build_full(const struct endpoint *e)
{
	bool service = strcmp(e->type, "service") == 0;
	json_t *body =
	    json_pack("{s:s, s:I, s:s, s:s, s:s, s:s, s:i, s:b, s:o}", "id",
		e->id, "incarnation", (json_int_t)e->incarnation, "address",
		e->address, "region", e->region, "dataCentre", e->data_centre,
		"type", e->type, "seats", (int)e->seats, "leaving", e->leaving,
		"load", announce_build_load(e));

	if (service) {
		(void)json_object_set_new(
		    body, "service", json_string(e->service));
		return body;
	}
	(void)json_object_set_new(
	    body, "baseModel", json_string(e->base_model));
	(void)json_object_set_new(
	    body, "slots", json_integer((json_int_t)e->slot_count));
	(void)json_object_set_new(body, "role", json_string(e->role));
	(void)json_object_set_new(body, "fencing", json_string(e->fencing));
	(void)json_object_set_new(
	    body, "cacheSequence", json_integer((json_int_t)e->cache_sequence));
	(void)json_object_set_new(body, "adapters", announce_build_adapters(e));
	return body;
}

/* Build a delta if the owner has the previous state, else everything. */
static json_t *
announce_build_body(struct endpoint *e)
{
	json_t *full = announce_build_full(e), *body = full;

	if (e->full_announcements)
		return full;
	e->announce_sequence++;
	if (e->announced_state != NULL && e->owner != NULL) {
		body = announce_build_delta(e, full);
		json_decref(full);
		(void)json_object_set_new(body, "since",
		    json_integer((json_int_t)e->announce_sequence - 1));
	} else {
		json_decref(e->announced_state);
		e->announced_state = json_deep_copy(full);
	}
	(void)json_object_set_new(
	    body, "sequence", json_integer((json_int_t)e->announce_sequence));
	return body;
}

/* The next announcement is a full one. */
static void
announce_discard_state(struct endpoint *e)
{
	json_decref(e->announced_state);
	e->announced_state = NULL;
}

void
announce_send(struct endpoint *e)
{
	if (e->announce_call != 0)
		return;
	buf_clear(&e->announce_response);
	e->announce_call =
	    announce_post(e, "/v1/endpoints/announce", announce_build_body(e));
	if (e->announce_call == 0)
		announce_discard_state(e); /* no announcement was sent */
}

static void
announce_on_failure(struct endpoint *e)
{
	announce_discard_state(e);
	free(e->owner);
	e->owner = NULL;
	if (e->ntargets > 0)
		e->current_target = (e->current_target + 1) % e->ntargets;
	if (++e->announce_failures < e->ntargets)
		announce_send(e); /* try the next target without delay */
}

static void
announce_on_response(struct endpoint *e)
{
	json_t *response = json_loadb(
	    e->announce_response.data, e->announce_response.len, 0, NULL);
	const char *owner =
	    json_string_value(json_object_get(response, "owner"));

	if (owner != NULL && owner[0] != '\0') {
		free(e->owner);
		e->owner = mem_string(owner);
	}
	if (json_is_true(json_object_get(response, "sendAll"))) {
		announce_discard_state(e);
		announce_send(e);
	}
	json_decref(response);
}

void
announce_on_call(struct endpoint *e, const struct node_call_event *ev)
{
	if (ev->phase == NODE_CALL_HEAD) {
		e->announce_status = ev->status;
		return;
	}
	if (ev->phase == NODE_CALL_DATA) {
		buf_append(&e->announce_response, ev->data.data, ev->data.len);
		return;
	}
	e->announce_call = 0;
	if (ev->phase == NODE_CALL_END && e->announce_status == 200)
		announce_on_response(e);
	else
		announce_on_failure(e);
}

/* ---- timers ------------------------------------------------------------ */

static void
on_announce(uv_timer_t *timer)
{
	struct endpoint *e = timer->data;

	e->announce_failures = 0;
	announce_send(e);
}

static void
on_snapshot(uv_timer_t *timer)
{
	struct endpoint *e = timer->data;
	size_t index = e->nsnapshots++ % ENDPOINT_SNAPSHOTS;

	e->snapshots[index].at_ms = uv_now(&e->loop);
	e->snapshots[index].running = e->nrunning;
	e->snapshots[index].queued = e->nqueued;
}

static void
on_publish(uv_timer_t *timer)
{
	prefix_publish(timer->data);
}

static void
timer_start_periodic(
    struct endpoint *e, uv_timer_t *timer, uv_timer_cb cb, uint64_t ms)
{
	(void)uv_timer_init(&e->loop, timer);
	timer->data = e;
	(void)uv_timer_start(timer, cb, 0, ms);
}

void
announce_start(struct endpoint *e)
{
	char *list = mem_string(e->announce), *save = NULL, *address_text;
	size_t max = sizeof(e->targets) / sizeof(e->targets[0]);

	for (address_text = strtok_r(list, ",", &save);
	     address_text != NULL && e->ntargets < max;
	     address_text = strtok_r(NULL, ",", &save))
		e->targets[e->ntargets++] = mem_string(address_text);
	free(list);
	timer_start_periodic(
	    e, &e->snapshot_timer, on_snapshot, ENDPOINT_SNAPSHOT_MS);
	timer_start_periodic(
	    e, &e->announce_timer, on_announce, ANNOUNCE_INTERVAL_MS);
	timer_start_periodic(
	    e, &e->publish_timer, on_publish, PUBLISH_INTERVAL_MS);
}

void
announce_stop(struct endpoint *e)
{
	(void)uv_timer_stop(&e->snapshot_timer);
	(void)uv_timer_stop(&e->announce_timer);
	(void)uv_timer_stop(&e->publish_timer);
}
