/*
 * Adapter slots of the engine: orders to load and evict adapters and to set the
 * role, and the check of their fencing numbers.
 *
 * Loads fetch the weights from the store and then take --load-ms longer;
 * concurrent orders for the same adapter share one load.
 */

#include <stdlib.h>
#include <string.h>

#include "fakes/endpoint.h"
#include "util/clock.h"
#include "util/mem.h"

#define SLOT_LOAD_TIMEOUT_US	   20000000
#define SLOT_LOAD_WITHOUT_STORE_MS 250 /* used without --store */

void
slots_init(struct endpoint *e)
{
	size_t i;

	e->slots = mem_alloc((size_t)e->slot_count, sizeof(*e->slots));
	for (i = 0; i < (size_t)e->slot_count; i++) {
		(void)uv_timer_init(&e->loop, &e->slots[i].load_delay);
		e->slots[i].load_delay.data = &e->slots[i];
		e->slots[i].endpoint = e;
	}
}

/* Find a slot by key, also one that is loading. key: NULL finds a free slot. */
static struct slot *
slots_find_key(struct endpoint *e, const char *key)
{
	size_t i;

	for (i = 0; i < (size_t)e->slot_count; i++)
		if (key == NULL ? e->slots[i].key == NULL
				: e->slots[i].key != NULL &&
			    strcmp(e->slots[i].key, key) == 0)
			return &e->slots[i];
	return NULL;
}

struct slot *
slots_find(struct endpoint *e, const char *key)
{
	struct slot *slot = slots_find_key(e, key);

	return slot == NULL || slot->loading ? NULL : slot;
}

bool
fence_check(struct endpoint *e, uint64_t request, uint64_t *stale)
{
	const char *text =
	    http_server_get_header(e->server, request, "mulberrypath-fence");
	uint64_t fence = text == NULL ? 0 : strtoull(text, NULL, 10);

	if (fence >= e->newest_fence) {
		e->newest_fence = fence;
		return true;
	}
	if (strcmp(e->fencing, "checked") == 0) {
		fake_reply_error(e->server, request, 412, "stale-fence");
		return false;
	}
	(*stale)++;
	return true;
}

/*
 * Return a copy of a string member of a JSON body, to be freed by the caller;
 * NULL if it is missing.
 */
static char *
body_copy_string(const struct node_request *r, const char *name)
{
	json_t *body = json_loadb(r->body.data, r->body.len, 0, NULL);
	const char *text = json_string_value(json_object_get(body, name));
	char *copy = text == NULL ? NULL : mem_string(text);

	json_decref(body);
	return copy;
}

/* ---- loading ----------------------------------------------------------- */

static void
slot_finish_load(struct slot *slot, bool ok)
{
	struct endpoint *e = slot->endpoint;
	size_t i;

	slot->loading = false;
	slot->load_call = 0;
	if (ok)
		e->counts.loads++;
	else
		e->counts.failed_loads++;
	for (i = 0; i < slot->nwaiters; i++) {
		if (ok)
			fake_reply(e->server, slot->waiters[i], 200,
			    json_pack("{s:s}", "loaded", slot->key));
		else
			fake_reply_error(
			    e->server, slot->waiters[i], 502, "load-failed");
	}
	slot->nwaiters = 0;
	if (!ok) {
		free(slot->key);
		slot->key = NULL;
	}
}

static void
on_load_delay(uv_timer_t *timer)
{
	struct slot *slot = timer->data;
	struct endpoint *e = slot->endpoint;

	slot_finish_load(slot, rng_unit(&e->rng) >= e->faults.fail_loads);
}

static void
slot_start_load(struct slot *slot)
{
	struct endpoint *e = slot->endpoint;
	struct buf path = {0};
	struct node_call call;

	slot->loading = true;
	if (e->store == NULL) {
		(void)uv_timer_start(&slot->load_delay, on_load_delay,
		    SLOT_LOAD_WITHOUT_STORE_MS + (uint64_t)e->extra_load_ms, 0);
		return;
	}
	buf_printf(&path, "/adapters/%s", slot->key);
	memset(&call, 0, sizeof(call));
	call.call = slot->load_call = ++e->last_call;
	call.address = e->store;
	call.method = "GET";
	call.path = path.data;
	call.not_after_us = clock_now_us() + SLOT_LOAD_TIMEOUT_US;
	call.silence_us = SLOT_LOAD_TIMEOUT_US;
	http_client_start(e->client, &call);
	buf_free(&path);
}

void
slots_on_call(struct endpoint *e, const struct node_call_event *ev)
{
	struct slot *slot = NULL;
	size_t i;

	for (i = 0; i < (size_t)e->slot_count; i++)
		if (e->slots[i].load_call == ev->call)
			slot = &e->slots[i];
	if (slot == NULL || ev->phase == NODE_CALL_DATA)
		return;
	if (ev->phase == NODE_CALL_END)
		(void)uv_timer_start(&slot->load_delay, on_load_delay,
		    (uint64_t)e->extra_load_ms, 0);
	else if (ev->phase != NODE_CALL_HEAD || ev->status != 200)
		slot_finish_load(slot, false);
}

void
slots_load(struct endpoint *e, const struct node_request *r)
{
	struct slot *slot;
	char *key;

	if (!fence_check(e, r->request, &e->counts.stale_orders))
		return;
	key = body_copy_string(r, "adapter");
	if (key == NULL) {
		fake_reply_error(e->server, r->request, 400, "bad-body");
		return;
	}
	slot = slots_find_key(e, key);
	if (slot != NULL && !slot->loading) {
		fake_reply(e->server, r->request, 200,
		    json_pack("{s:s}", "loaded", key));
	} else if (slot == NULL && (slot = slots_find_key(e, NULL)) == NULL) {
		fake_reply_error(e->server, r->request, 409, "no-slot");
	} else {
		slot->waiters = mem_resize(
		    slot->waiters, slot->nwaiters + 1, sizeof(*slot->waiters));
		slot->waiters[slot->nwaiters++] = r->request;
		if (slot->key == NULL) {
			slot->key = key;
			slot_start_load(slot);
			return;
		}
	}
	free(key);
}

/* ---- other orders ------------------------------------------------------ */

void
slots_evict(struct endpoint *e, const struct node_request *r)
{
	struct slot *slot;
	char *key;

	if (!fence_check(e, r->request, &e->counts.stale_orders))
		return;
	key = body_copy_string(r, "adapter");
	slot = key == NULL ? NULL : slots_find_key(e, key);
	free(key);
	if (slot == NULL) {
		fake_reply_error(e->server, r->request, 404, "not-loaded");
		return;
	}
	if (slot->loading || (slot->running > 0 && !e->evict_blindly)) {
		fake_reply_error(e->server, r->request, 409, "in-use");
		return;
	}
	e->counts.evictions++;
	if (slot->running > 0) {
		e->counts.evictions_in_use++;
		runs_abort_on_slot(e, slot);
	}
	free(slot->key);
	slot->key = NULL;
	fake_reply(e->server, r->request, 200, json_pack("{}"));
}

void
slots_set_role(struct endpoint *e, const struct node_request *r)
{
	char *role;

	if (!fence_check(e, r->request, &e->counts.stale_orders))
		return;
	role = body_copy_string(r, "role");
	if (role == NULL || strlen(role) >= sizeof(e->role)) {
		fake_reply_error(e->server, r->request, 400, "bad-body");
	} else {
		memcpy(e->role, role, strlen(role) + 1);
		fake_reply(e->server, r->request, 200, json_pack("{}"));
	}
	free(role);
}
