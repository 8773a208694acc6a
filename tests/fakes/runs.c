/*
 * Generations of the engine. Each step sends one token of every seated run
 * whose prefill is complete and takes --step-ms plus --adapter-ms for each
 * distinct adapter in the batch. At most --seats runs are seated and at most
 * twice as many accepted; others are refused with 503 "busy". A request whose
 * id is already running replaces the earlier run.
 */

#include <stdlib.h>
#include <string.h>

#include "fakes/endpoint.h"
#include "util/mem.h"

/* The prefill of a cached prompt is shorter by this factor. */
#define RUN_CACHED_PREFILL_DIVISOR 8

static void on_step(uv_timer_t *timer);

/* ---- list of runs ------------------------------------------------------ */

/* Remove a run from the list and free it; its prompt stays as KV state. */
static void
run_remove(struct endpoint *e, struct run *run)
{
	struct run **link = &e->runs;

	while (*link != run)
		link = &(*link)->next;
	*link = run->next;
	run->slot->running--;
	if (run->seated)
		e->nrunning--;
	else
		e->nqueued--;
	kv_store_prompt(e, run);
	free(run->id);
	free(run->key);
	free(run->prompt);
	free(run);
}

/* End a run with an incomplete response. */
static void
run_abort(struct endpoint *e, struct run *run)
{
	http_server_end(e->server, run->request, true);
	run_remove(e, run);
}

void
runs_abort_on_slot(struct endpoint *e, const struct slot *slot)
{
	struct run *run, *next;

	for (run = e->runs; run != NULL; run = next) {
		next = run->next;
		if (run->slot == slot)
			run_abort(e, run);
	}
}

void
runs_on_disconnect(struct endpoint *e, uint64_t request)
{
	struct run *run;

	for (run = e->runs; run != NULL; run = run->next)
		if (run->request == request) {
			run_remove(e, run);
			return;
		}
}

static struct run *
runs_find(struct endpoint *e, const char *id)
{
	struct run *run;

	for (run = e->runs; run != NULL; run = run->next)
		if (strcmp(run->id, id) == 0)
			return run;
	return NULL;
}

/* ---- start ------------------------------------------------------------- */

static unsigned
run_count_prompt_tokens(const struct run *run)
{
	return (unsigned)(strlen(run->prompt) / 4 + 1);
}

static void
run_enqueue(struct endpoint *e, struct run *run)
{
	struct run **link = &e->runs;
	bool cached = prefix_record_use(e, run->prefix) ||
	    map_get_str(e->kv_prompts, run->id) != NULL;
	double prefill_ms = run_count_prompt_tokens(run) * e->prefill_us / 1000;

	run->ready_ms = uv_now(&e->loop) +
	    (uint64_t)(cached ? prefill_ms / RUN_CACHED_PREFILL_DIVISOR
			      : prefill_ms);
	run->arrival = ++e->arrivals;
	run->slot->running++;
	e->nqueued++;
	while (*link != NULL)
		link = &(*link)->next;
	*link = run;
	(void)counter_add(e->runs_by_id, run->id);
	if (!e->stepping) {
		e->stepping = true;
		if (e->step_timer.data == NULL)
			(void)uv_timer_init(&e->loop, &e->step_timer);
		e->step_timer.data = e;
		(void)uv_timer_start(&e->step_timer, on_step, 0, 0);
	}
}

static char *
body_get_prompt(json_t *body)
{
	const char *prompt = json_string_value(json_object_get(body, "prompt"));
	json_t *messages = json_object_get(body, "messages");

	if (prompt != NULL)
		return mem_string(prompt);
	return messages == NULL ? NULL : json_dumps(messages, JSON_COMPACT);
}

static struct run *
run_parse(struct endpoint *e, const struct node_request *r, json_t *body)
{
	const char *key = json_string_value(json_object_get(body, "model"));
	const char *id = http_server_get_header(
	    e->server, r->request, "mulberrypath-request");
	json_t *max = json_object_get(body, "max_tokens");
	const char *prefix = json_string_value(json_object_get(body, "prefix"));
	char *prompt = body_get_prompt(body);
	struct run *run;

	if (key == NULL || prompt == NULL) {
		free(prompt);
		return NULL;
	}
	run = mem_alloc(1, sizeof(*run));
	run->request = r->request;
	run->id = mem_string(id == NULL ? "" : id);
	run->key = mem_string(key);
	run->prompt = prompt;
	run->max_tokens = max == NULL ? 64 : (unsigned)json_integer_value(max);
	run->next_token =
	    (unsigned)json_integer_value(json_object_get(body, "offset"));
	run->priority =
	    (unsigned)json_integer_value(json_object_get(body, "priority"));
	run->prefix = prefix == NULL ? 0 : strtoull(prefix, NULL, 16);
	return run;
}

void
runs_start(struct endpoint *e, const struct node_request *r)
{
	json_t *body = json_loadb(r->body.data, r->body.len, 0, NULL);
	struct run *run = NULL, *previous;
	const char *refusal = NULL;
	int status = 0;

	if (!fence_check(e, r->request, &e->counts.stale_runs)) {
		json_decref(body);
		return;
	}
	run = run_parse(e, r, body);
	json_decref(body);
	if (run == NULL) {
		fake_reply_error(e->server, r->request, 400, "bad-body");
		return;
	}
	previous = run->id[0] == '\0' ? NULL : runs_find(e, run->id);
	run->slot = slots_find(e, run->key);
	if (run->slot == NULL) {
		refusal = "not-loaded";
		status = 409;
	} else if (previous == NULL &&
	    (double)(e->nrunning + e->nqueued) >= 2 * e->seats) {
		refusal = "busy";
		status = 503;
	}
	if (refusal != NULL) {
		e->counts.refused++;
		fake_reply_error(e->server, r->request, status, refusal);
		free(run->id);
		free(run->key);
		free(run->prompt);
		free(run);
		return;
	}
	if (previous != NULL)
		run_abort(e, previous);
	run_enqueue(e, run);
}

void
runs_cancel(struct endpoint *e, const struct node_request *r)
{
	const char *id = r->path + strlen("/v1/requests/");
	const char *end = strchr(id, '/');
	char *copy;
	struct run *run;

	if (end == NULL || strcmp(end, "/cancel") != 0) {
		fake_reply_error(e->server, r->request, 404, "no-such-path");
		return;
	}
	copy = mem_copy(id, (size_t)(end - id));
	run = runs_find(e, copy);
	if (run != NULL) {
		e->counts.cancelled++;
		run_abort(e, run);
	}
	fake_reply(e->server, r->request, 200,
	    json_pack("{s:b}", "cancelled", run != NULL));
	free(copy);
}

/* ---- the batch step ---------------------------------------------------- */

static struct run *
runs_find_most_urgent(struct endpoint *e)
{
	struct run *run, *best = NULL;

	for (run = e->runs; run != NULL; run = run->next)
		if (!run->seated &&
		    (best == NULL || run->priority < best->priority))
			best = run;
	return best;
}

/* Move queued runs into free seats, lowest priority number first. */
static void
runs_fill_seats(struct endpoint *e)
{
	struct run *run;

	while ((double)e->nrunning < e->seats &&
	    (run = runs_find_most_urgent(e)) != NULL) {
		run->seated = true;
		e->nqueued--;
		e->nrunning++;
	}
}

static void
run_send_event(struct endpoint *e, struct run *run, const struct buf *event)
{
	struct node_reply reply;

	if (control_is_silent(e, run->request)) {
		run->has_lost_tokens = true;
		return;
	}
	if (run->nevents_sent > 0) {
		http_server_send(e->server, run->request,
		    (struct node_bytes){event->data, event->len});
		return;
	}
	memset(&reply, 0, sizeof(reply));
	reply.request = run->request;
	reply.status = 200;
	reply.content_type = "text/event-stream";
	reply.body.data = event->data;
	reply.body.len = event->len;
	reply.more = true;
	http_server_reply(e->server, &reply);
}

/* Send the next token; returns true when the run has ended. */
static bool
run_send_token(struct endpoint *e, struct run *run)
{
	const char *key = e->faults.wrong_model ? "wrong/adapter@1" : run->key;
	bool token = run->next_token < run->max_tokens,
	     last = run->next_token + 1 >= run->max_tokens;
	struct buf text = {0}, event = {0};

	if (run->has_lost_tokens && !control_is_silent(e, run->request)) {
		http_server_end(e->server, run->request, true);
		return true; /* never continue after missing tokens */
	}
	if (token)
		fake_append_token(&text, key, run->prompt, run->next_token);
	buf_puts(&event, "data: {\"id\": ");
	buf_json_string(&event, run->id);
	buf_puts(&event, ", \"model\": ");
	buf_json_string(&event, key);
	buf_printf(&event,
	    ", \"offset\": %u, \"tokens\": %d, \"choices\": "
	    "[{\"index\": 0, \"text\": \"%s\", \"finish_reason\": %s}]",
	    run->next_token, token, token ? text.data : "",
	    last ? "\"stop\"" : "null");
	if (last)
		buf_printf(&event,
		    ", \"usage\": {\"prompt_tokens\": %u, "
		    "\"completion_tokens\": %u}",
		    run_count_prompt_tokens(run), run->max_tokens);
	buf_printf(&event, "}\n\n%s", last ? "data: [DONE]\n\n" : "");
	run_send_event(e, run, &event);
	buf_free(&event);
	buf_free(&text);
	run->next_token += token;
	run->nevents_sent++;
	e->counts.tokens += token;
	if (e->faults.break_after > 0 &&
	    run->nevents_sent >= e->faults.break_after && !last) {
		http_server_end(e->server, run->request, true);
		return true;
	}
	if (last && !control_is_silent(e, run->request))
		http_server_end(e->server, run->request, false);
	return last;
}

static unsigned
count_seated_adapters(const struct endpoint *e)
{
	unsigned n = 0;
	size_t i;
	const struct run *run;

	for (i = 0; i < (size_t)e->slot_count; i++)
		for (run = e->runs; run != NULL; run = run->next)
			if (run->seated && run->slot == &e->slots[i]) {
				n++;
				break;
			}
	return n;
}

static void
on_step(uv_timer_t *timer)
{
	struct endpoint *e = timer->data;
	struct run *run, *next;
	unsigned adapters;

	runs_fill_seats(e);
	if (e->runs == NULL) {
		e->stepping = false;
		return;
	}
	adapters = count_seated_adapters(e);
	e->counts.steps++;
	e->counts.sequences += e->nrunning;
	e->counts.adapters += adapters;
	for (run = e->runs; run != NULL; run = next) {
		next = run->next;
		if (run->seated && uv_now(&e->loop) >= run->ready_ms &&
		    run_send_token(e, run))
			run_remove(e, run);
	}
	(void)uv_timer_start(&e->step_timer, on_step,
	    (uint64_t)(e->step_ms + adapters * e->adapter_ms), 0);
}
