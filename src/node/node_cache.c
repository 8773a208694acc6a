#include <stdlib.h>
#include <string.h>

#include "node/node_guard.h"
#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Contents of the engines' prefix caches. Engines send events of added and
 * dropped prefixes, which may be delayed, duplicated or lost. When some are
 * lost, a resync fetches the engine's whole list.
 */

#define CACHE_BATCH_PREFIXES   1024
#define CACHE_PENDING_MAX      256 /* events during a resync */
#define CACHE_BODY_MAX_BYTES   (1024 * 1024)
#define CACHE_SILENCE_US       (2 * 1000 * 1000ULL)
#define CACHE_SCAN_US	       (100 * 1000ULL) /* between scans for gaps */
#define CACHE_BACKOFF_US       (1000 * 1000ULL)
#define CACHE_DOUBLINGS_MAX    6 /* of the backoff */
#define CACHE_BYTES_PER_SECOND 4096 /* of resyncs, on average */

static size_t
parse_prefixes(const json_t *list, size_t from, uint64_t *out)
{
	const char *text;
	size_t i, count = 0;

	for (i = from;
	     i < json_array_size(list) && i < from + CACHE_BATCH_PREFIXES;
	     i++) {
		text = json_string_value(json_array_get(list, i));
		if (text != NULL)
			out[count++] = strtoull(text, NULL, 16);
	}
	return count;
}

/* Passes a list of prefixes to the scheduler in batches. */
static void
apply_prefixes(struct node *n, const char *id,
    const struct sched_cache_event *event, const json_t *list)
{
	uint64_t prefixes[CACHE_BATCH_PREFIXES];
	struct sched_cache_event batch = *event;
	size_t from = 0;

	batch.prefixes = prefixes;
	do {
		batch.count = parse_prefixes(list, from, prefixes);
		(void)sched_apply_cache_event(n->sched, n->now, id, &batch);
		batch.is_resync = false;
		batch.is_continuation = true;
		from += CACHE_BATCH_PREFIXES;
	} while (from < json_array_size(list));
}

static uint64_t
get_number(const json_t *root, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(root, key));
}

static void
apply_event(struct node *n, const char *id, const json_t *root)
{
	struct sched_cache_event event = {0};

	event.incarnation = get_number(root, "incarnation");
	event.sequence = get_number(root, "sequence");
	event.is_resync = json_is_true(json_object_get(root, "resync"));
	apply_prefixes(n, id, &event, json_object_get(root, "added"));
	event.is_resync = false;
	event.dropped = event.is_continuation = true;
	apply_prefixes(n, id, &event, json_object_get(root, "dropped"));
}

/* Keeps an event that arrives during a resync, to apply it afterwards. */
static bool
queue_event(struct node *n, const char *id, json_t *root)
{
	struct node_resync *r = &n->resync;

	if (r->call == 0 || strcmp(r->endpoint, id) != 0)
		return false;
	if (json_array_size(r->pending_events) < CACHE_PENDING_MAX)
		(void)json_array_append(r->pending_events, root);
	return true;
}

void
node_cache_events(struct node *n, struct node_bytes json)
{
	json_t *root = json_loadb(json.data, json.len, 0, NULL);
	const char *id = json_string_value(json_object_get(root, "id"));
	const char *region = json_string_value(json_object_get(root, "region"));
	uint32_t owner;

	if (id == NULL) {
		n->counters.malformed++;
		goto cleanup;
	}
	owner =
	    node_owner_of(n, region == NULL ? n->settings->region : region, id);
	if (owner != n->id) {
		if (owner != 0)
			node_owner_forward(n, owner, json, true);
	} else if (map_get_str(n->endpoints, id) != NULL &&
	    !queue_event(n, id, root)) {
		apply_event(n, id, root);
	}
cleanup:
	json_decref(root);
}

/* ---- resync -------------------------------------------------------------- */

static void
resync_begin(struct node *n, const struct node_endpoint *e)
{
	struct node_resync *r = &n->resync;
	struct node_call *call = &node_effects_add(n->fx, NODE_FX_CALL)->u.call;

	call->call = ++n->last_call;
	call->address = node_effects_printf(n->fx, "%s", e->address);
	call->method = "GET";
	call->path = "/v1/cache";
	call->not_after_us = n->now + CACHE_SILENCE_US;
	call->silence_us = CACHE_SILENCE_US;
	r->call = call->call;
	r->endpoint = mem_string(e->id);
	r->incarnation = e->incarnation;
	r->status = 0;
	r->pending_events = json_array();
	n->counters.resyncs++;
}

void
node_cache_free(struct node_resync *r)
{
	free(r->endpoint);
	buf_free(&r->body);
	json_decref(r->pending_events);
	memset(r, 0, sizeof(*r));
}

/* Replaces the known prefixes by the engine's list; false when invalid. */
static bool
resync_apply(struct node *n, const struct node_endpoint *e)
{
	struct node_resync *r = &n->resync;
	struct sched_cache_event event = {0};
	json_t *root = json_loadb(r->body.data, r->body.len, 0, NULL);
	const json_t *list = json_object_get(root, "prefixes");
	bool ok = r->status == 200 && r->incarnation == e->incarnation &&
	    json_is_array(list) &&
	    json_is_integer(json_object_get(root, "sequence"));

	if (ok) {
		event.incarnation = r->incarnation;
		event.sequence = get_number(root, "sequence");
		event.is_resync = true;
		apply_prefixes(n, e->id, &event, list);
	}
	json_decref(root);
	return ok;
}

static void
resync_back_off(struct node *n, struct node_endpoint *e)
{
	uint32_t power = e->resync_failures++;

	if (power > CACHE_DOUBLINGS_MAX)
		power = CACHE_DOUBLINGS_MAX;
	e->next_resync_us = n->now + (CACHE_BACKOFF_US << power);
}

static void
resync_finish(struct node *n, bool ok)
{
	struct node_resync *r = &n->resync;
	struct node_endpoint *e = map_get_str(n->endpoints, r->endpoint);
	uint64_t next_us = n->now + CACHE_SCAN_US +
	    r->body.len * 1000000ULL / CACHE_BYTES_PER_SECOND;
	const json_t *event;
	size_t i;

	if (e != NULL) {
		if (ok && resync_apply(n, e))
			e->resync_failures = 0;
		else
			resync_back_off(n, e);
		json_array_foreach(r->pending_events, i, event)
		    apply_event(n, e->id, event);
	}
	node_cache_free(r);
	r->earliest_next_us = next_us;
}

/* Processes the progress of a call; false when it is not a resync. */
bool
node_cache_on_call(struct node *n, const struct node_call_event *event)
{
	struct node_resync *r = &n->resync;

	if (r->call == 0 || event->call != r->call)
		return false;
	switch (event->phase) {
	case NODE_CALL_HEAD:
		r->status = event->status;
		break;
	case NODE_CALL_DATA:
		buf_append(&r->body, event->data.data, event->data.len);
		if (r->body.len <= CACHE_BODY_MAX_BYTES)
			break;
		node_effects_add(n->fx, NODE_FX_CALL_CANCEL)->u.cancelled_call =
		    r->call;
		resync_finish(n, false);
		break;
	case NODE_CALL_END:
		resync_finish(n, true);
		break;
	case NODE_CALL_NOT_SENT:
	case NODE_CALL_BROKEN:
		resync_finish(n, false);
		break;
	}
	return true;
}

/*
 * Starts a resync of the endpoint with a gap whose resync has been due for
 * longest. Only one resync runs at a time.
 */
void
node_cache_tick(struct node *n)
{
	struct node_endpoint *e, *due = NULL;
	size_t i;

	if (!node_guards.cache_resync || n->resync.call != 0 ||
	    n->now < n->resync.earliest_next_us)
		return;
	n->resync.earliest_next_us = n->now + CACHE_SCAN_US;
	for (i = 0; i < map_count(n->endpoints); i++) {
		e = map_at(n->endpoints, i);
		if (e->next_resync_us <= n->now &&
		    (due == NULL || e->next_resync_us < due->next_resync_us) &&
		    sched_cache_has_gap(n->sched, e->id))
			due = e;
	}
	if (due == NULL)
		return;
	due->next_resync_us = n->now;
	resync_begin(n, due);
}
