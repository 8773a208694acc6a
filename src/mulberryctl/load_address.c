#include <stdlib.h>
#include <string.h>

#include "mulberryctl/ctl_http.h"
#include "mulberryctl/load_internal.h"
#include "util/clock.h"
#include "util/mem.h"

#define LOOKUP_SEND_US	  1000000
#define LOOKUP_SILENCE_US 2000000

static void
addresses_clear(struct load_addresses *a)
{
	while (a->count > 0)
		free(a->list[--a->count]);
}

static void
addresses_path(struct buf *out, const struct trace_request *r)
{
	buf_puts(out, "/v1/addresses?team=");
	ctl_encode(out, r->team);
	if (r->adapter != NULL) {
		buf_puts(out, "&adapter=");
		ctl_encode(out, r->adapter);
	}
}

static struct load_addresses *
addresses_get(struct load *l, const struct trace_request *r)
{
	struct load_addresses *a;
	struct buf path = {0};

	addresses_path(&path, r);
	a = map_get_str(l->addresses, path.data);
	if (a == NULL) {
		a = mem_alloc(1, sizeof(*a));
		a->load = l;
		a->path = mem_string(path.data);
		a->last = &a->waiting;
		(void)map_set_str(l->addresses, path.data, a);
	}
	buf_free(&path);
	return a;
}

static void
lookup_start(struct load_addresses *a)
{
	struct load *l = a->load;
	struct node_call call;

	memset(&call, 0, sizeof(call));
	buf_clear(&a->body);
	a->lookup = call.call = ++l->last_call;
	if (a->failures == 0)
		a->server = l->server++;
	call.address =
	    l->options
		->servers[(a->server + a->failures) % l->options->nservers];
	call.method = "GET";
	call.path = a->path;
	call.not_after_us = clock_now_us() + LOOKUP_SEND_US;
	call.silence_us = LOOKUP_SILENCE_US;
	(void)map_set_u64(l->lookups, a->lookup, a);
	l->nlookups++;
	http_client_start(l->client, &call);
}

/* Hand every waiting call its address, or none. */
static void
addresses_release(struct load_addresses *a)
{
	struct load_call *call = a->waiting, *next;

	a->waiting = NULL;
	a->last = &a->waiting;
	for (; call != NULL; call = next) {
		next = call->waiting;
		if (a->count == 0)
			load_call_unreachable(call);
		else
			load_call_send(
			    call, a->list[call->attempts % a->count]);
	}
}

static bool
addresses_take(struct load_addresses *a)
{
	json_t *answer = json_loadb(a->body.data, a->body.len, 0, NULL);
	json_t *list = json_object_get(answer, "addresses");
	const char *text;
	size_t i;

	addresses_clear(a);
	for (i = 0; i < json_array_size(list) && i < LOAD_ADDRESSES_MAX; i++) {
		text = json_string_value(json_array_get(list, i));
		if (text != NULL)
			a->list[a->count++] = mem_string(text);
	}
	a->until_us = load_now(a->load) +
	    (uint64_t)json_integer_value(
		json_object_get(answer, "lifetimeMs")) *
		1000;
	json_decref(answer);
	return a->count > 0;
}

void
load_address_event(struct load_addresses *a, const struct node_call_event *ev)
{
	struct load *l = a->load;

	if (ev->phase == NODE_CALL_HEAD) {
		a->status = ev->status;
		return;
	}
	if (ev->phase == NODE_CALL_DATA) {
		buf_append(&a->body, ev->data.data, ev->data.len);
		return;
	}
	(void)map_remove_u64(l->lookups, a->lookup);
	a->lookup = 0;
	if (ev->phase == NODE_CALL_END && a->status == 200 &&
	    addresses_take(a)) {
		a->failures = 0;
	} else {
		l->nlookup_failures++;
		if (++a->failures < l->options->nservers) {
			lookup_start(a);
			return;
		}
		a->failures = 0;
		addresses_clear(a);
	}
	addresses_release(a);
}

void
load_address_request(struct load *l, struct load_call *call)
{
	struct load_addresses *a = addresses_get(l, call->request);

	if (l->options->direct) {
		load_call_send(call,
		    l->options->servers[l->server++ % l->options->nservers]);
		return;
	}
	call->waiting = NULL;
	if (a->lookup == 0 && a->count > 0 && load_now(l) < a->until_us) {
		load_call_send(call, a->list[call->attempts % a->count]);
		return;
	}
	*a->last = call;
	a->last = &call->waiting;
	if (a->lookup == 0)
		lookup_start(a);
}

void
load_address_expire(struct load *l, const struct load_call *call)
{
	addresses_get(l, call->request)->until_us = 0;
}

void
load_address_free_all(struct load *l)
{
	struct load_addresses *a;
	size_t i;

	for (i = 0; i < map_count(l->addresses); i++) {
		a = map_at(l->addresses, i);
		addresses_clear(a);
		buf_free(&a->body);
		free(a->path);
		free(a);
	}
	map_destroy(l->addresses);
}
