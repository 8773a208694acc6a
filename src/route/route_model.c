#include <stdlib.h>
#include <string.h>

#include "route/route_guard.h"
#include "route/route_internal.h"
#include "util/mem.h"

/*
 * Model requests. The engine always streams its answer; the caller receives a
 * stream or one reply. A broken stream is resumed at the token offset that the
 * caller has reached, so that no text is lost or repeated.
 */

/* Writes the body of the call to an engine. */
static void
write_call_body(const struct route_entry *e, struct buf *out)
{
	buf_puts(out, "{\"model\": ");
	buf_json_string(out, e->engine_key);
	buf_puts(out, ", \"prompt\": ");
	buf_json_string(out, e->prompt);
	buf_printf(out,
	    ", \"max_tokens\": %u, \"stream\": true, \"priority\": %u, "
	    "\"prefix\": \"%016llx\", \"offset\": %u",
	    e->max_tokens, e->kind->priority, (unsigned long long)e->prefix,
	    e->tokens);
	if (e->tokens > 0) {
		buf_puts(out, ", \"text\": ");
		buf_json_string(out, e->answer.data);
	}
	buf_puts(out, "}");
}

void
route_model_send(struct route *r, uint64_t now_us, struct route_entry *e,
    bool fresh, uint64_t first_us, struct node_effects *fx)
{
	struct node_call *call;
	struct buf body = {0};

	write_call_body(e, &body);
	e->state = ROUTE_CALLING;
	e->call = r->ops->next_call(r->ctx);
	map_set_u64(r->by_call, e->call, e);
	route_sse_free(&e->sse);
	e->sent_us = now_us;

	call = &node_effects_add(fx, NODE_FX_CALL)->u.call;
	call->call = e->call;
	call->address = node_effects_printf(fx, "%s", e->address);
	call->for_request = e->request;
	call->method = "POST";
	call->path = "/v1/completions";
	call->headers[0].name = "mulberrypath-request";
	call->headers[0].value = node_effects_printf(fx, "%s", e->run_id);
	call->headers[1].name = "mulberrypath-fence";
	call->headers[1].value =
	    node_effects_printf(fx, "%llu", (unsigned long long)e->fence);
	call->headers[2].name = "content-type";
	call->headers[2].value = ROUTE_CONTENT_TYPE_JSON;
	call->nheaders = 3;
	call->body.data = node_effects_copy(fx, body.data, body.len);
	call->body.len = body.len;
	call->not_after_us = e->send_by_us;
	call->silence_us = ROUTE_STREAM_TIMEOUT_US;
	call->first_byte_silence_us = first_us;
	call->fresh_connection = fresh;
	buf_free(&body);
}

static void
send_stream_bytes(
    struct route_entry *e, struct node_effects *fx, struct buf *text)
{
	struct node_effect *effect;
	char *copy = node_effects_copy(fx, text->data, text->len);

	if (!e->head_sent) {
		effect = node_effects_add(fx, NODE_FX_REPLY);
		effect->u.reply.request = e->request;
		effect->u.reply.status = 200;
		effect->u.reply.content_type = "text/event-stream";
		effect->u.reply.body.data = copy;
		effect->u.reply.body.len = text->len;
		effect->u.reply.more = true;
		e->head_sent = true;
		return;
	}
	effect = node_effects_add(fx, NODE_FX_REPLY_DATA);
	effect->u.reply_data.request = e->request;
	effect->u.reply_data.data.data = copy;
	effect->u.reply_data.data.len = text->len;
}

static void
write_choice_text(
    const struct route_entry *e, struct buf *out, const char *text)
{
	if (!e->is_chat) {
		buf_puts(out, "\"text\": ");
		buf_json_string(out, text);
		return;
	}
	buf_printf(out, "\"%s\": {", e->is_stream ? "delta" : "message");
	buf_puts(out, "\"role\": \"assistant\", \"content\": ");
	buf_json_string(out, text);
	buf_puts(out, "}");
}

/* Sends new text to a caller that has requested a stream. */
static void
send_text(struct route_entry *e, struct node_effects *fx, uint32_t offset,
    const char *text, const char *finish_reason)
{
	struct buf out = {0};

	buf_printf(&out,
	    "data: {\"id\": \"%s\", \"object\": \"%s\", "
	    "\"model\": \"%s\", \"offset\": %u, "
	    "\"choices\": [{\"index\": 0, ",
	    e->run_id, e->is_chat ? "chat.completion.chunk" : "text_completion",
	    e->label, offset);
	write_choice_text(e, &out, text);
	if (finish_reason != NULL) {
		buf_puts(&out, ", \"finish_reason\": ");
		buf_json_string(&out, finish_reason);
	}
	buf_puts(&out, "}]}\n\n");
	send_stream_bytes(e, fx, &out);
	buf_free(&out);
}

static void
send_complete_reply(struct route_entry *e, struct node_effects *fx)
{
	struct buf out = {0};

	buf_printf(&out,
	    "{\"id\": \"%s\", \"object\": \"%s\", \"model\": \"%s\", "
	    "\"choices\": [{\"index\": 0, ",
	    e->run_id, e->is_chat ? "chat.completion" : "text_completion",
	    e->label);
	write_choice_text(
	    e, &out, e->answer.data == NULL ? "" : e->answer.data);
	buf_puts(&out, ", \"finish_reason\": ");
	buf_json_string(
	    &out, e->finish_reason == NULL ? "cut" : e->finish_reason);
	buf_printf(&out,
	    "}], \"usage\": {\"prompt_tokens\": %u, "
	    "\"completion_tokens\": %u, \"total_tokens\": %u}}\n",
	    e->prompt_tokens, e->tokens, e->prompt_tokens + e->tokens);
	route_reply_json(fx, e->request, 200, out.data);
	buf_free(&out);
}

static void
finish_delivered(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx)
{
	struct buf end = {0};

	if (e->is_stream) {
		buf_puts(&end, "data: [DONE]\n\n");
		send_stream_bytes(e, fx, &end);
		node_effects_add(fx, NODE_FX_REPLY_END)->u.reply_end.request =
		    e->request;
		buf_free(&end);
	} else {
		send_complete_reply(e, fx);
	}
	e->replied = true;
	e->stats->delivered++;
	e->stats->delivered_weight += e->kind->weight;
	e->stats->tokens_out += e->tokens;
	hist_add(&e->stats->total_us, now_us - e->started_us);
	/* The rest of the endpoint's body is not needed. */
	if (e->call != 0) {
		map_remove_u64(r->by_call, e->call);
		e->call = 0;
	}
	route_finish_ask(r, now_us, e, WIRE__DONE_OUTCOME__DONE_DELIVERED, fx);
	route_remove_entry(r, e);
}

/* Ends a failed attempt and asks for another endpoint. code: for the caller. */
static void
fail_attempt(struct route *r, uint64_t now_us, struct route_entry *e,
    Wire__DoneOutcome outcome, const char *code, const char *message,
    struct node_effects *fx)
{
	struct route_error error = {502, code, message, ROUTE_UNKNOWN, 0};

	if (!e->may_have_run) {
		error.status = 503;
		error.outcome = ROUTE_NOT_RUN;
		error.retry_after_ms = ROUTE_DEFAULT_RETRY_AFTER_MS;
	}
	if (e->call != 0) {
		map_remove_u64(r->by_call, e->call);
		e->call = 0;
	}
	route_avoid_endpoint(e);
	route_finish_ask(r, now_us, e, outcome, fx);
	route_retry_elsewhere(r, now_us, e, &error, fx);
}

/*
 * Whether the stream broke after silence of more than half its timeout, and not
 * while tokens were arriving.
 */
static bool
was_silent(const struct route_entry *e, uint64_t now_us)
{
	uint64_t last_us =
	    e->last_text_us > e->sent_us ? e->last_text_us : e->sent_us;

	return now_us > last_us + ROUTE_STREAM_TIMEOUT_US / 2;
}

/*
 * Resumes a broken stream, once per grant at the same engine, then at another
 * one. After silence the engine has less time to answer the new connection,
 * since the caller has already waited.
 */
static void
resume_or_fail(struct route *r, uint64_t now_us, struct route_entry *e,
    const char *message, struct node_effects *fx)
{
	bool silent = was_silent(e, now_us);

	map_remove_u64(r->by_call, e->call);
	e->call = 0;
	if (e->tokens > 0 && !e->resumed && !e->replied) {
		e->resumed = true;
		e->stats->retried++;
		e->send_by_us = now_us + ROUTE_GRANT_VALID_US;
		route_model_send(r, now_us, e, true,
		    silent ? ROUTE_RECONNECT_TIMEOUT_US : 0, fx);
		return;
	}
	fail_attempt(r, now_us, e, WIRE__DONE_OUTCOME__DONE_FAILED,
	    "endpoint-broken", message, fx);
}

static void
add_text(struct route *r, uint64_t now_us, struct route_entry *e,
    const struct route_chunk *chunk, struct node_effects *fx)
{
	uint32_t offset = e->tokens;

	(void)r;
	if (e->first_us == 0) {
		e->first_us = now_us;
		hist_add(&e->stats->first_token_us, now_us - e->started_us);
	} else if (chunk->tokens > 0) {
		hist_add(&e->stats->token_gap_us, now_us - e->last_text_us);
	}
	e->last_text_us = now_us;
	buf_puts(&e->answer, chunk->text);
	e->tokens += chunk->tokens;
	if (e->is_stream && !e->replied)
		send_text(e, fx, offset, chunk->text, chunk->finish_reason);
}

/* Handles one event; false: it is not part of this request's answer. */
static bool
handle_chunk(struct route *r, uint64_t now_us, struct route_entry *e,
    const struct route_chunk *chunk, struct node_effects *fx)
{
	if (route_guards.match_run &&
	    (strcmp(chunk->id, e->run_id) != 0 ||
		strcmp(chunk->model, e->engine_key) != 0))
		return false;
	if (chunk->prompt_tokens > 0)
		e->prompt_tokens = chunk->prompt_tokens;
	if (chunk->tokens > 0 && chunk->text != NULL) {
		if (!route_guards.match_offset) {
			add_text(r, now_us, e, chunk, fx);
			return true;
		}
		if (chunk->offset > e->tokens)
			return false; /* text is missing before it */
		if (chunk->offset < e->tokens)
			return chunk->offset + chunk->tokens <= e->tokens;
		add_text(r, now_us, e, chunk, fx);
	}
	if (chunk->finish_reason != NULL && e->finish_reason == NULL)
		e->finish_reason = mem_string(chunk->finish_reason);
	return true;
}

static void
handle_data(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_bytes data, struct node_effects *fx)
{
	struct route_chunk chunk;
	struct buf event = {0};
	bool fits, is_valid = true, is_done = false;

	fits = route_sse_feed(&e->sse, data.data, data.len);
	while (is_valid && !is_done && route_sse_next_event(&e->sse, &event)) {
		is_valid = route_chunk_parse(&chunk, &event);
		if (!is_valid)
			break;
		is_done = chunk.is_done;
		if (!is_done)
			is_valid = handle_chunk(r, now_us, e, &chunk, fx);
		route_chunk_free(&chunk);
	}
	buf_free(&event);
	if (is_valid && is_done && e->finish_reason != NULL) {
		finish_delivered(r, now_us, e, fx);
		return;
	}
	if (is_valid && !is_done && fits)
		return;
	route_cancel_run(r, now_us, e, fx);
	fail_attempt(r, now_us, e, WIRE__DONE_OUTCOME__DONE_FAILED,
	    "endpoint-nonsense",
	    "the endpoint sent what is not the answer to this request", fx);
}

/*
 * Handles an error status. 409, 412 and 503 are refusals before the engine runs
 * anything; after any other status the request may have run.
 */
static void
handle_error_status(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx)
{
	Wire__DoneOutcome outcome = WIRE__DONE_OUTCOME__DONE_FAILED;
	const char *code = "endpoint-error";

	if (e->status == 409) {
		outcome = WIRE__DONE_OUTCOME__DONE_NOT_LOADED;
		code = "not-loaded";
	} else if (e->status == 503 || e->status == 412) {
		outcome = WIRE__DONE_OUTCOME__DONE_BUSY;
		code = "endpoint-busy";
	} else {
		route_mark_may_have_run(e);
	}
	node_effects_add(fx, NODE_FX_CALL_CANCEL)->u.cancelled_call = e->call;
	fail_attempt(r, now_us, e, outcome, code,
	    "the endpoint refused the request", fx);
}

void
route_model_on_event(struct route *r, uint64_t now_us, struct route_entry *e,
    const struct node_call_event *event, struct node_effects *fx)
{
	switch (event->phase) {
	case NODE_CALL_NOT_SENT:
		fail_attempt(r, now_us, e, WIRE__DONE_OUTCOME__DONE_NOT_SENT,
		    "endpoint-unreachable", "the endpoint was not reached", fx);
		break;
	case NODE_CALL_HEAD:
		e->status = event->status;
		if (event->status != 200)
			handle_error_status(r, now_us, e, fx);
		else
			route_mark_may_have_run(e);
		break;
	case NODE_CALL_DATA:
		handle_data(r, now_us, e, event->data, fx);
		break;
	case NODE_CALL_END:
	case NODE_CALL_BROKEN:
		route_mark_may_have_run(e);
		if (!route_guards.whole) {
			finish_delivered(r, now_us, e, fx);
			break;
		}
		resume_or_fail(r, now_us, e,
		    "the endpoint's stream ended before its answer was whole",
		    fx);
		break;
	}
}
