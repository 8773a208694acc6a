#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mulberryctl/replay_outcome.h"
#include "util/events.h"
#include "util/mem.h"

void
replay_outcome_init(struct replay_outcome *o)
{
	o->answers = map_create();
	o->calls = map_create();
	o->documents = map_create();
}

static void
counters_free(struct map *m)
{
	size_t i;

	for (i = 0; i < map_count(m); i++)
		free(map_at(m, i));
	map_destroy(m);
}

void
replay_outcome_free(struct replay_outcome *o)
{
	counters_free(o->answers);
	counters_free(o->calls);
	counters_free(o->documents);
}

static uint64_t *
counter(struct map *m, const char *key)
{
	uint64_t *n = map_get_str(m, key);

	if (n == NULL) {
		n = mem_alloc(1, sizeof(*n));
		map_set_str(m, key, n);
	}
	return n;
}

static void
add_reply(struct replay_outcome *o, const struct node_reply *reply)
{
	char status[32];
	size_t i;

	for (i = 0; i < reply->nheaders; i++)
		if (strcmp(reply->headers[i].name, "mulberrypath-outcome") ==
		    0) {
			++*counter(o->answers, reply->headers[i].value);
			return;
		}
	(void)snprintf(status, sizeof(status), "status %d", reply->status);
	++*counter(o->answers, status);
}

static const char *
call_kind(const char *path)
{
	static const struct {
		const char *path, *kind;
	} kinds[] = {{"/v1/adapters/load", "load"},
	    {"/v1/adapters/evict", "evict"}, {"/v1/completions", "completion"},
	    {"/v1/requests/", "cancel"}, {"/v1/role", "role"},
	    {"/v1/cache", "cache"}, {"/v1/kv/", "kv"}};
	size_t i;

	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++)
		if (strncmp(path, kinds[i].path, strlen(kinds[i].path)) == 0)
			return kinds[i].kind;
	return "service";
}

static void
add_log(struct replay_outcome *o, const struct node_log *log)
{
	json_t *fields;
	const char *team;

	if (log->number != NODE_LOG_DOCUMENT)
		return;
	fields = json_loads(log->fields, 0, NULL);
	team = json_string_value(json_object_get(fields, "team"));
	if (team != NULL)
		*counter(o->documents, team) = (uint64_t)json_integer_value(
		    json_object_get(fields, "revision"));
	json_decref(fields);
}

void
replay_outcome_add(struct replay_outcome *o, const struct node_effects *fx)
{
	const struct node_effect *effect;
	size_t i;

	for (i = 0; i < node_effects_count(fx); i++) {
		effect = node_effects_at(fx, i);
		if (effect->type == NODE_FX_REPLY)
			add_reply(o, &effect->u.reply);
		else if (effect->type == NODE_FX_CALL)
			++*counter(o->calls, call_kind(effect->u.call.path));
		else if (effect->type == NODE_FX_LOG)
			add_log(o, &effect->u.log);
	}
}

static json_t *
counters_json(const struct map *m)
{
	json_t *out = json_object();
	size_t i;

	for (i = 0; i < map_count(m); i++)
		(void)json_object_set_new(out, map_key_at(m, i, NULL),
		    json_integer((json_int_t) * (uint64_t *)map_at(m, i)));
	return out;
}

json_t *
replay_outcome_json(const struct replay_outcome *o)
{
	return json_pack("{s:o, s:o, s:o}", "answers",
	    counters_json(o->answers), "calls", counters_json(o->calls),
	    "documents", counters_json(o->documents));
}

void
replay_effects_text(const struct node_effects *fx, struct buf *out)
{
	static const char *const names[] = {"send", "reply", "reply-data",
	    "reply-end", "call", "call-cancel", "save", "log", "limits",
	    "front-closing", "front-closed", "exit"};
	size_t i;

	if (node_effects_count(fx) == 0)
		buf_puts(out, "none");
	for (i = 0; i < node_effects_count(fx); i++)
		buf_printf(out, "%s%s", i == 0 ? "" : " ",
		    names[node_effects_at(fx, i)->type]);
}

void
replay_event_text(const struct node_event *ev, struct buf *out)
{
	switch (ev->type) {
	case NODE_EV_TICK:
		buf_puts(out, "tick");
		break;
	case NODE_EV_MESSAGE:
		buf_printf(out, "message from %u, %zu bytes",
		    ev->u.message.from, ev->u.message.bytes.len);
		break;
	case NODE_EV_REQUEST:
		buf_printf(out, "request %llu: %s %s",
		    (unsigned long long)ev->u.request.request,
		    ev->u.request.method, ev->u.request.path);
		break;
	case NODE_EV_CALLER_GONE:
		buf_printf(out, "caller of request %llu gone",
		    (unsigned long long)ev->u.gone_request);
		break;
	case NODE_EV_CALL:
		buf_printf(out, "call %llu, phase %d, %zu bytes",
		    (unsigned long long)ev->u.call.call, ev->u.call.phase,
		    ev->u.call.data.len);
		break;
	case NODE_EV_SAVED:
		buf_printf(out, "save %llu %s",
		    (unsigned long long)ev->u.saved.ticket,
		    ev->u.saved.ok ? "done" : "failed");
		break;
	case NODE_EV_STOP:
		buf_puts(out, "stop");
		break;
	}
}
