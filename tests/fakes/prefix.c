/*
 * The engine's prefix cache, its cache events and the KV state of requests.
 *
 * Prefixes are evicted in LRU order. Changes are collected and posted to the
 * owner as numbered events; with --gap-every N each N-th event is not sent, so
 * that the receiver sees a gap in the sequence.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/endpoint.h"
#include "util/mem.h"

#define KV_PROMPTS_MAX 256 /* the oldest is removed beyond this */

static json_t *
prefix_to_json(uint64_t prefix)
{
	char text[17];

	(void)snprintf(text, sizeof(text), "%016" PRIx64, prefix);
	return json_string(text);
}

static bool
is_listed(const json_t *list, uint64_t prefix)
{
	json_t *wanted = prefix_to_json(prefix);
	size_t i = 0;

	while (i < json_array_size(list) &&
	    !json_equal(json_array_get(list, i), wanted))
		i++;
	json_decref(wanted);
	return i < json_array_size(list);
}

bool
prefix_record_use(struct endpoint *e, uint64_t prefix)
{
	size_t i, n = e->ncached_prefixes;

	if (prefix == 0 || e->cache_capacity < 1)
		return false;
	if (e->cached_prefixes == NULL) {
		e->cached_prefixes = mem_alloc(
		    (size_t)e->cache_capacity, sizeof(*e->cached_prefixes));
		e->cache_added = json_array();
		e->cache_dropped = json_array();
	}
	for (i = 0; i < n && e->cached_prefixes[i] != prefix; i++)
		;
	if (i < n) {
		memmove(&e->cached_prefixes[i], &e->cached_prefixes[i + 1],
		    (n - i - 1) * sizeof(*e->cached_prefixes));
		e->cached_prefixes[n - 1] = prefix;
		return true;
	}
	if (n == (size_t)e->cache_capacity) {
		(void)json_array_append_new(
		    e->cache_dropped, prefix_to_json(e->cached_prefixes[0]));
		memmove(&e->cached_prefixes[0], &e->cached_prefixes[1],
		    (n - 1) * sizeof(*e->cached_prefixes));
		e->ncached_prefixes--;
	}
	e->cached_prefixes[e->ncached_prefixes++] = prefix;
	if (is_listed(e->cache_dropped, prefix))
		prefix_publish(e); /* an event must not list a prefix twice */
	(void)json_array_append_new(e->cache_added, prefix_to_json(prefix));
	return false;
}

void
prefix_list(struct endpoint *e, const struct node_request *r)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < e->ncached_prefixes; i++)
		(void)json_array_append_new(
		    list, prefix_to_json(e->cached_prefixes[i]));
	fake_reply(e->server, r->request, 200,
	    json_pack("{s:I, s:o}", "sequence", (json_int_t)e->cache_sequence,
		"prefixes", list));
}

void
prefix_publish(struct endpoint *e)
{
	json_t *event;

	if (json_array_size(e->cache_added) +
		json_array_size(e->cache_dropped) ==
	    0)
		return;
	e->cache_sequence++;
	event = json_pack("{s:s, s:I, s:I, s:b, s:O, s:O}", "id", e->id,
	    "incarnation", (json_int_t)e->incarnation, "sequence",
	    (json_int_t)e->cache_sequence, "resync", 0, "added", e->cache_added,
	    "dropped", e->cache_dropped);
	if (e->gap_every < 1 || e->cache_sequence % (uint64_t)e->gap_every != 0)
		(void)announce_post(e, "/v1/endpoints/cache-events", event);
	else
		json_decref(event);
	(void)json_array_clear(e->cache_added);
	(void)json_array_clear(e->cache_dropped);
}

/* ---- KV cache of requests ---------------------------------------------- */

static void
kv_set_prompt(struct endpoint *e, const char *id, const char *prompt)
{
	size_t count = map_count(e->kv_prompts);
	const char *oldest;

	if (count == KV_PROMPTS_MAX && map_get_str(e->kv_prompts, id) == NULL) {
		oldest = map_key_at(e->kv_prompts, 0, NULL);
		free(map_remove_str(e->kv_prompts, oldest));
	}
	free(map_set_str(e->kv_prompts, id, mem_string(prompt)));
}

void
kv_store_prompt(struct endpoint *e, const struct run *run)
{
	if (run->id[0] != '\0')
		kv_set_prompt(e, run->id, run->prompt);
}

void
kv_serve(struct endpoint *e, const struct node_request *r)
{
	const char *id = r->path + strlen("/v1/kv/"), *prompt;
	struct run *run;
	char *text;

	if (strcmp(r->method, "PUT") == 0) {
		text = mem_copy(r->body.data, r->body.len);
		kv_set_prompt(e, id, text);
		free(text);
		fake_reply(e->server, r->request, 200, json_pack("{}"));
		return;
	}
	prompt = map_get_str(e->kv_prompts, id);
	for (run = e->runs; run != NULL; run = run->next)
		if (strcmp(run->id, id) == 0)
			prompt = run->prompt;
	if (prompt == NULL)
		fake_reply_error(e->server, r->request, 404, "no-such-request");
	else
		fake_reply(e->server, r->request, 200,
		    json_pack("{s:s}", "prompt", prompt));
}
