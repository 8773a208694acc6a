#include <stdlib.h>

#include "route/route_guard.h"
#include "route/route_internal.h"
#include "util/mem.h"

/*
 * Service calls: one call to the endpoint, whose answer is buffered and sent to
 * the caller when complete and, for a claimed call, recorded.
 */

/* A longer answer of a service is a failure. */
#define SERVICE_ANSWER_MAX_BYTES (1024 * 1024)

/* Whether the call may be sent again after it may have run. */
bool
route_service_is_repeatable(const struct route_entry *e)
{
	return e->call_rule != NULL && e->call_rule->idempotent;
}

void
route_service_send(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx)
{
	struct node_call *call;

	e->state = ROUTE_CALLING;
	e->call = r->ops->next_call(r->ctx);
	map_set_u64(r->by_call, e->call, e);
	buf_clear(&e->answer);
	e->sent_us = now_us;

	call = &node_effects_add(fx, NODE_FX_CALL)->u.call;
	call->call = e->call;
	call->address = node_effects_printf(fx, "%s", e->address);
	call->method = node_effects_printf(fx, "%s", e->method);
	call->path = node_effects_printf(fx, "%s", e->path);
	call->headers[0].name = "mulberrypath-request";
	call->headers[0].value = node_effects_printf(fx, "%s", e->run_id);
	call->headers[1].name = "content-type";
	call->headers[1].value = node_effects_printf(fx, "%s", e->content_type);
	call->nheaders = 2;
	if (e->idempotency_key != NULL) {
		call->headers[2].name = "idempotency-key";
		call->headers[2].value =
		    node_effects_printf(fx, "%s", e->idempotency_key);
		call->nheaders = 3;
	}
	call->body.data = node_effects_copy(fx, e->body.data, e->body.len);
	call->body.len = e->body.len;
	call->not_after_us = e->send_by_us;
	call->silence_us = (uint64_t)e->service->timeout_ms * 1000;
}

static void
retry_not_run(struct route *r, uint64_t now_us, struct route_entry *e,
    Wire__DoneOutcome outcome, const char *code, struct node_effects *fx)
{
	struct route_error error = {503, code,
	    "the service did not take the call", ROUTE_NOT_RUN,
	    ROUTE_DEFAULT_RETRY_AFTER_MS};

	if (e->may_have_run)
		error.outcome = ROUTE_UNKNOWN;
	route_avoid_endpoint(e);
	route_finish_ask(r, now_us, e, outcome, fx);
	route_retry_elsewhere(r, now_us, e, &error, fx);
}

/* Handles an incomplete answer: the call may have run. */
static void
handle_broken(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx)
{
	struct route_error error = {502, "endpoint-broken",
	    "the service's answer was cut; it may have run", ROUTE_UNKNOWN, 0};

	route_mark_may_have_run(e);
	route_avoid_endpoint(e);
	route_finish_ask(r, now_us, e, WIRE__DONE_OUTCOME__DONE_FAILED, fx);
	if (route_service_is_repeatable(e) || !route_guards.single_attempt) {
		route_retry_elsewhere(r, now_us, e, &error, fx);
		return;
	}
	if (e->claimed)
		route_claim_propose_end(r, now_us, e, CLAIM_END_UNKNOWN, fx);
	route_fail(r, e, &error, fx);
	route_remove_entry(r, e);
}

static void
finish_answered(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx)
{
	if (e->first_us == 0)
		e->first_us = now_us;
	hist_add(&e->stats->total_us, now_us - e->started_us);
	route_finish_ask(r, now_us, e, WIRE__DONE_OUTCOME__DONE_DELIVERED, fx);
	e->stats->delivered++;
	e->stats->delivered_weight += e->kind->weight;
	if (e->claimed && !route_guards.record_first) {
		route_reply_service(e, fx, true);
		route_remove_entry(r, e);
		return;
	}
	if (e->claimed) {
		e->state = ROUTE_WAIT_RECORD;
		e->deadline_us = now_us + ROUTE_RECORD_TIMEOUT_US;
		route_schedule_wakeup(r, e->deadline_us);
		route_claim_propose_end(r, now_us, e, CLAIM_END_ANSWERED, fx);
		return;
	}
	if (!e->replied)
		route_reply_service(e, fx, true);
	route_remove_entry(r, e);
}

static void
handle_end(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx)
{
	map_remove_u64(r->by_call, e->call);
	e->call = 0;
	if (e->refused_for_load) {
		retry_not_run(r, now_us, e, WIRE__DONE_OUTCOME__DONE_BUSY,
		    "endpoint-busy", fx);
		return;
	}
	finish_answered(r, now_us, e, fx);
}

void
route_service_on_event(struct route *r, uint64_t now_us, struct route_entry *e,
    const struct node_call_event *event, struct node_effects *fx)
{
	switch (event->phase) {
	case NODE_CALL_NOT_SENT:
		map_remove_u64(r->by_call, e->call);
		e->call = 0;
		retry_not_run(r, now_us, e, WIRE__DONE_OUTCOME__DONE_NOT_SENT,
		    "endpoint-unreachable", fx);
		break;
	case NODE_CALL_HEAD:
		e->status = event->status;
		e->refused_for_load = event->retry_after != NULL &&
		    (event->status == 429 || event->status == 503);
		if (!e->refused_for_load)
			route_mark_may_have_run(e);
		e->first_us = now_us;
		free(e->answer_type);
		e->answer_type = mem_string(event->content_type == NULL
			? ROUTE_CONTENT_TYPE_JSON
			: event->content_type);
		break;
	case NODE_CALL_DATA:
		if (e->answer.len + event->data.len <=
		    SERVICE_ANSWER_MAX_BYTES) {
			buf_append(
			    &e->answer, event->data.data, event->data.len);
			break;
		}
		route_cancel_run(r, now_us, e, fx);
		handle_broken(r, now_us, e, fx);
		break;
	case NODE_CALL_END:
		handle_end(r, now_us, e, fx);
		break;
	case NODE_CALL_BROKEN:
		map_remove_u64(r->by_call, e->call);
		e->call = 0;
		handle_broken(r, now_us, e, fx);
		break;
	}
}

void
route_reply_service(
    struct route_entry *e, struct node_effects *fx, bool recorded)
{
	struct node_reply *reply =
	    &node_effects_add(fx, NODE_FX_REPLY)->u.reply;

	reply->request = e->request;
	reply->status = e->status;
	reply->content_type = node_effects_printf(fx, "%s", e->answer_type);
	reply->headers[0].name = "mulberrypath-outcome";
	reply->headers[0].value = "done";
	reply->nheaders = 1;
	if (!recorded) {
		reply->headers[1].name = "mulberrypath-recorded";
		reply->headers[1].value = "no";
		reply->nheaders = 2;
	}
	reply->body.data = node_effects_copy(fx, e->answer.data, e->answer.len);
	reply->body.len = e->answer.len;
	e->replied = true;
}
