#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mulberryctl/load_check.h"
#include "mulberryctl/load_internal.h"
#include "util/clock.h"
#include "util/mem.h"

#define CALL_SEND_US	   2000000
#define CALL_SILENCE_US	   60000000
#define ATTEMPTS_MAX	   5
#define AUTHORIZATION	   512
#define STATUS_OK	   200
#define STATUS_UNAVAILABLE 503

/* ---- the request ------------------------------------------------------------
 */

static const struct load_team_access *
find_access(const struct load *l, const char *team)
{
	size_t i;

	for (i = 0; i < l->options->nteams; i++)
		if (strcmp(l->options->teams[i].team, team) == 0)
			return &l->options->teams[i];
	return NULL;
}

static double
weight_of(const struct load_team_access *access, const char *kind)
{
	const struct doc_kind *k;

	if (access == NULL || access->doc == NULL)
		return 1;
	k = doc_find_kind(access->doc, kind);
	return k == NULL ? 1 : k->weight;
}

struct load_call *
load_call_create(struct load *l, const struct trace_request *r)
{
	struct load_call *call = mem_alloc(1, sizeof(*call));
	double at_s = (double)r->at_ms / 1000;

	call->load = l;
	call->request = r;
	call->class = load_stats_class(l->stats, r->team, r->kind,
	    weight_of(find_access(l, r->team), r->kind));
	call->at_us = (uint64_t)r->at_ms * 1000;
	call->counted =
	    at_s >= l->options->window_from_s && at_s < l->options->window_to_s;
	l->active++;
	load_stats_arrive(l->stats, call->class, call->at_us, call->counted);
	return call;
}

static void
body_model(struct buf *out, const struct load_call *call)
{
	const struct trace_request *r = call->request;
	struct buf model = {0};

	if (call->load->options->direct)
		buf_printf(&model, "%s/", r->team);
	buf_puts(&model, r->adapter);
	if (r->version != NULL)
		buf_printf(&model, "@%s", r->version);
	buf_puts(out, "{\"model\":");
	buf_json_string(out, model.data);
	buf_free(&model);
	if (r->session != NULL) {
		buf_printf(out, ",\"messages\":%s", r->session);
	} else {
		buf_puts(out, ",\"prompt\":");
		buf_json_string(out, r->prompt);
	}
	buf_puts(out, ",\"kind\":");
	buf_json_string(out, r->kind);
	buf_printf(out, ",\"max_tokens\":%u,\"stream\":%s}", r->max_tokens,
	    r->stream ? "true" : "false");
}

static void
call_start(struct load_call *call, const char *address, const char *path,
    const char *key, const struct buf *body)
{
	const struct load_team_access *access =
	    find_access(call->load, call->request->team);
	char authorization[AUTHORIZATION];
	struct node_call out;

	memset(&out, 0, sizeof(out));
	out.call = call->id = ++call->load->last_call;
	out.address = address;
	out.method =
	    call->request->adapter == NULL ? call->request->method : "POST";
	out.path = path;
	if (access != NULL) {
		(void)snprintf(authorization, sizeof(authorization),
		    "Bearer %s", access->token);
		out.headers[out.nheaders++] =
		    (struct node_header){"authorization", authorization};
	}
	if (key != NULL)
		out.headers[out.nheaders++] =
		    (struct node_header){"idempotency-key", key};
	if (body->len > 0)
		out.headers[out.nheaders++] =
		    (struct node_header){"content-type", "application/json"};
	out.body = (struct node_bytes){body->data, body->len};
	out.not_after_us = clock_now_us() + CALL_SEND_US;
	out.silence_us = CALL_SILENCE_US;
	(void)map_set_u64(call->load->calls, call->id, call);
	http_client_start(call->load->client, &out);
}

void
load_call_send(struct load_call *call, const char *address)
{
	const struct trace_request *r = call->request;
	struct buf path = {0}, body = {0}, key = {0};

	if (r->adapter != NULL) {
		buf_puts(&path,
		    r->session == NULL ? "/v1/completions"
				       : "/v1/chat/completions");
		body_model(&body, call);
	} else {
		buf_printf(&path, "/v1/services/%s", r->path);
		if (r->key != NULL) {
			buf_printf(
			    &key, "%s-%s", call->load->options->run, r->key);
			buf_puts(&body, "{\"order\":");
			buf_json_string(&body, r->key);
			buf_puts(&body, "}");
		}
	}
	call_start(call, address, path.data, key.data, &body);
	buf_free(&path);
	buf_free(&body);
	buf_free(&key);
}

/* ---- the end
 * ------------------------------------------------------------------ */

static void
call_finish(struct load_call *call, enum load_outcome outcome, const char *code)
{
	struct load *l = call->load;
	struct load_end end = {
	    outcome, code, call->at_us, load_now(l), call->first_us};

	if (end.end_us < end.at_us)
		end.end_us = end.at_us;
	load_stats_end(l->stats, call->class, &end, call->counted);
	if (l->options->samples != NULL && call->counted &&
	    outcome == LOAD_DELIVERED)
		(void)fprintf(l->options->samples, "%llu %llu\n",
		    (unsigned long long)end.first_us,
		    (unsigned long long)(end.end_us - end.at_us));
	l->active--;
	buf_free(&call->body);
	buf_free(&call->text);
	route_sse_free(&call->events);
	free(call->model);
	free(call->code);
	free(call->outcome);
	free(call);
}

void
load_call_unreachable(struct load_call *call)
{
	call_finish(call, LOAD_FAILED, "no-server");
}

/* Keep the error that an answer or a stream's event carries. */
static bool
take_error(struct load_call *call, const json_t *root)
{
	const json_t *error = json_object_get(root, "error");
	const char *code = json_string_value(json_object_get(error, "code"));
	const char *outcome =
	    json_string_value(json_object_get(error, "outcome"));

	if (error == NULL)
		return false;
	free(call->code);
	free(call->outcome);
	call->code = mem_string(code == NULL ? "no-code" : code);
	call->outcome = mem_string(outcome == NULL ? "unknown" : outcome);
	return true;
}

/* No byte was sent, or an instance takes no work: another may do. */
static void
send_elsewhere(struct load_call *call, const char *code)
{
	struct load *l = call->load;

	load_address_expire(l, call);
	if (++call->attempts >= ATTEMPTS_MAX) {
		call_finish(call,
		    call->outcome == NULL ? LOAD_FAILED : LOAD_REFUSED, code);
		return;
	}
	free(call->code);
	free(call->outcome);
	call->code = call->outcome = NULL;
	buf_clear(&call->body);
	l->resent++;
	load_address_request(l, call);
}

/* Refusals by the instance alone, which tell to use another one. */
static bool
is_for_another(const struct load_call *call)
{
	static const char *const codes[] = {"cut-off", "not-ready", "stopping"};
	size_t i;

	if (call->text.len > 0 || strcmp(call->outcome, "not-run") != 0)
		return false;
	for (i = 0; i < sizeof(codes) / sizeof(codes[0]); i++)
		if (strcmp(call->code, codes[i]) == 0)
			return true;
	return false;
}

static void
finish_error(struct load_call *call)
{
	enum load_outcome outcome = LOAD_FAILED;

	if (is_for_another(call)) {
		call->load->followed++;
		send_elsewhere(call, call->code);
		return;
	}
	if (strcmp(call->outcome, "not-run") == 0)
		outcome = LOAD_REFUSED;
	else if (strcmp(call->outcome, "unknown") == 0)
		outcome = LOAD_UNKNOWN;
	call_finish(call, outcome, call->code);
}

/* True when the answer's part holds text. */
static bool
take_choice(struct load_call *call, const json_t *root)
{
	const json_t *choice =
	    json_array_get(json_object_get(root, "choices"), 0);
	const json_t *part = json_object_get(choice, "delta");
	const char *model = json_string_value(json_object_get(root, "model"));
	const char *text;

	if (part == NULL)
		part = json_object_get(choice, "message");
	text =
	    json_string_value(part != NULL ? json_object_get(part, "content")
					   : json_object_get(choice, "text"));
	if (text != NULL)
		buf_puts(&call->text, text);
	if (model != NULL && call->model == NULL)
		call->model = mem_string(model);
	return text != NULL && *text != '\0';
}

static void
finish_model(struct load_call *call)
{
	static const enum load_outcome outcomes[] = {
	    [LOAD_WHOLE] = LOAD_DELIVERED,
	    [LOAD_CUT] = LOAD_BAD_CUT,
	    [LOAD_WRONG] = LOAD_BAD_WRONG};
	enum load_verdict verdict = LOAD_WHOLE;
	const char *model = call->model;

	if (call->load->options->direct && model != NULL &&
	    strchr(model, '/') != NULL)
		model = strchr(model, '/') + 1;
	if (call->load->options->check)
		verdict = load_check(call->request, model,
		    call->text.data == NULL ? "" : call->text.data,
		    call->text.len);
	call_finish(
	    call, outcomes[verdict], verdict == LOAD_CUT ? "cut" : "wrong");
}

static void
finish_service(struct load_call *call, const json_t *root)
{
	const json_t *ran = json_object_get(root, "ran");
	bool good = !call->load->options->check || call->request->key == NULL ||
	    json_integer_value(ran) == 1;

	call_finish(call, good ? LOAD_DELIVERED : LOAD_BAD_WRONG, "ran-twice");
}

static bool
is_streamed(const struct load_call *call)
{
	return call->request->adapter != NULL && call->status == STATUS_OK &&
	    (call->request->stream || call->load->options->direct);
}

static void
finish_answer(struct load_call *call)
{
	json_t *root = NULL;

	if (is_streamed(call)) {
		if (call->code != NULL)
			finish_error(call);
		else if (!call->done)
			call_finish(call, LOAD_BAD_CUT, "no-done");
		else
			finish_model(call);
		return;
	}
	root = json_loadb(call->body.data, call->body.len, 0, NULL);
	if (take_error(call, root)) {
		finish_error(call);
	} else if (call->status != STATUS_OK) {
		/* Outside the protocol, but a 503 of a full server. */
		call_finish(call,
		    call->status == STATUS_UNAVAILABLE ? LOAD_REFUSED
						       : LOAD_FAILED,
		    "bare-status");
	} else if (call->request->adapter == NULL) {
		finish_service(call, root);
	} else {
		(void)take_choice(call, root);
		finish_model(call);
	}
	json_decref(root);
}

/* ---- progress
 * ------------------------------------------------------------------ */

static void
note_token(struct load_call *call)
{
	uint64_t now = load_now(call->load);

	if (call->first_us == 0)
		call->first_us = now > call->at_us ? now - call->at_us : 1;
	else if (call->counted)
		hist_add(&call->class->between, now - call->last_us);
	call->last_us = now;
}

static void
take_events(struct load_call *call, struct node_bytes data)
{
	struct buf event = {0};
	json_t *root;

	(void)route_sse_feed(&call->events, data.data, data.len);
	while (route_sse_next_event(&call->events, &event)) {
		if (strcmp(event.data, "[DONE]") == 0) {
			call->done = true;
			continue;
		}
		root = json_loadb(event.data, event.len, 0, NULL);
		if (!take_error(call, root) && take_choice(call, root))
			note_token(call);
		json_decref(root);
	}
	buf_free(&event);
}

void
load_call_event(struct load_call *call, const struct node_call_event *ev)
{
	switch (ev->phase) {
	case NODE_CALL_HEAD:
		call->status = ev->status;
		return;
	case NODE_CALL_DATA:
		if (is_streamed(call))
			take_events(call, ev->data);
		else
			buf_append(&call->body, ev->data.data, ev->data.len);
		return;
	case NODE_CALL_NOT_SENT:
		(void)map_remove_u64(call->load->calls, call->id);
		send_elsewhere(call, "not-sent");
		return;
	case NODE_CALL_END:
		(void)map_remove_u64(call->load->calls, call->id);
		finish_answer(call);
		return;
	case NODE_CALL_BROKEN:
		(void)map_remove_u64(call->load->calls, call->id);
		if (call->code != NULL)
			finish_error(call);
		else
			call_finish(call, LOAD_UNKNOWN, "connection");
		return;
	}
}
