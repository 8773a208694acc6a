#include <stdlib.h>

#include "route/route_internal.h"
#include "util/mem.h"

/* Attempts of a request: asks to owners, their replies, and retries. */

static void
fill_ask(const struct route_entry *e, uint64_t now_us, Wire__GrantAsk *out)
{
	wire__grant_ask__init(out);
	out->request = e->ask;
	out->team = e->doc->team;
	out->kind = e->kind->name;
	if (e->engine_key != NULL) {
		out->adapter = e->engine_key;
		out->base_model = e->adapter->base_model;
		out->pinned_adapter = e->adapter->pinned;
	} else {
		out->service = e->service->name;
	}
	out->deadline_ms = e->deadline_us <= now_us
	    ? 0
	    : (uint32_t)((e->deadline_us - now_us) / 1000);
	out->prompt_tokens = e->prompt_tokens;
	out->max_tokens = e->max_tokens;
	out->prefix = e->prefix;
	out->n_avoid = e->navoid;
	out->avoid = (char **)e->avoid;
	out->attempt = e->attempt;
	out->handed_to = e->handed_to;
	out->sent_us = now_us;
	out->run = e->run_id;
	out->waited_ms = (uint32_t)((now_us - e->started_us) / 1000);
}

bool
route_fill_ask(
    const struct route *r, uint64_t now_us, uint64_t ask, Wire__GrantAsk *out)
{
	const struct route_entry *e = map_get_u64(r->by_ask, ask);

	if (e == NULL || e->state != ROUTE_WAIT_GRANT)
		return false;
	fill_ask(e, now_us, out);
	return true;
}

/* Opens an ask. Its id differs from all earlier ones of this process. */
void
route_send_ask(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx)
{
	Wire__GrantAsk ask;

	e->state = ROUTE_WAIT_GRANT;
	e->ask = ++r->last_ask;
	e->asked_us = now_us;
	map_set_u64(r->by_ask, e->ask, e);
	fill_ask(e, now_us, &ask);
	r->ops->ask(r->ctx, &ask, fx);
}

/* Reports the outcome of the open ask or grant, if any, to its owner. */
void
route_finish_ask(struct route *r, uint64_t now_us, struct route_entry *e,
    Wire__DoneOutcome outcome, struct node_effects *fx)
{
	Wire__GrantDone done = WIRE__GRANT_DONE__INIT;

	if (e->ask == 0)
		return;
	done.request = e->ask;
	done.outcome = outcome;
	done.tokens_in = e->prompt_tokens;
	done.tokens_out = e->tokens;
	if (e->first_us > e->sent_us && e->sent_us != 0)
		done.first_us = e->first_us - e->sent_us;
	if (e->sent_us != 0)
		done.total_us = now_us - e->sent_us;
	r->ops->done(r->ctx, &done, fx);
	map_remove_u64(r->by_ask, e->ask);
	e->ask = 0;
	free(e->endpoint);
	e->endpoint = NULL;
	free(e->address);
	e->address = NULL;
}

void
route_avoid_endpoint(struct route_entry *e)
{
	if (e->endpoint == NULL || e->navoid == ROUTE_AVOID_MAX)
		return;
	e->avoid[e->navoid++] = mem_string(e->endpoint);
}

/*
 * Cancels the HTTP call, if any. An engine also receives a cancel request,
 * since no request waits for its answer.
 */
void
route_cancel_run(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx)
{
	struct node_call *call;

	if (e->call == 0)
		return;
	node_effects_add(fx, NODE_FX_CALL_CANCEL)->u.cancelled_call = e->call;
	map_remove_u64(r->by_call, e->call);
	e->call = 0;
	if (e->engine_key == NULL || e->address == NULL)
		return;
	call = &node_effects_add(fx, NODE_FX_CALL)->u.call;
	call->call = r->ops->next_call(r->ctx);
	call->address = node_effects_printf(fx, "%s", e->address);
	call->method = "POST";
	call->path =
	    node_effects_printf(fx, "/v1/requests/%s/cancel", e->run_id);
	call->not_after_us = now_us + ROUTE_GRANT_VALID_US;
	call->silence_us = ROUTE_GRANT_VALID_US;
}

/*
 * Asks again after a failed attempt, excluding the endpoints to avoid. If the
 * caller has a final reply or is gone, no time is left, or the attempts or the
 * retry budget are used up, ends the request with the error instead.
 */
void
route_retry_elsewhere(struct route *r, uint64_t now_us, struct route_entry *e,
    const struct route_error *error, struct node_effects *fx)
{
	bool is_late = e->first_us == 0 && e->deadline_us <= now_us;

	if (e->replied || is_late || ++e->attempt >= ROUTE_ATTEMPTS_MAX ||
	    !route_take_retry(r)) {
		if (e->claimed)
			route_claim_propose_end(r, now_us, e,
			    e->may_have_run ? CLAIM_END_UNKNOWN
					    : CLAIM_END_NOT_RUN,
			    fx);
		route_fail(r, e, error, fx);
		route_remove_entry(r, e);
		return;
	}
	e->stats->retried++;
	e->resumed = false;
	e->handed_to = 0;
	if (e->first_us != 0) /* resume a stream soon, or fail it */
		e->deadline_us = now_us + ROUTE_STREAM_TIMEOUT_US;
	route_schedule_wakeup(r, e->deadline_us);
	route_send_ask(r, now_us, e, fx);
}

static void
handle_given(struct route *r, uint64_t now_us, struct route_entry *e,
    const Wire__GrantReply *reply, struct node_effects *fx)
{
	e->endpoint = mem_string(reply->endpoint);
	e->address = mem_string(reply->address);
	e->fence = reply->fence;
	e->send_by_us = reply->basis_us + ROUTE_GRANT_VALID_US;
	if (r->ops->act_until_us(r->ctx) < e->send_by_us)
		e->send_by_us = r->ops->act_until_us(r->ctx);
	if (e->wait_us == 0) {
		e->wait_us = now_us - e->started_us;
		hist_add(&e->stats->wait_us, e->wait_us);
		hist_add(&e->stats->stall_us, reply->stall_us);
	}
	e->stall_us += reply->stall_us;
	e->state = ROUTE_CALLING;
	if (e->engine_key != NULL)
		route_model_send(r, now_us, e, false, 0, fx);
	else
		route_service_send(r, now_us, e, fx);
}

static void
handle_refused(struct route *r, uint64_t now_us, struct route_entry *e,
    const Wire__GrantReply *reply, struct node_effects *fx)
{
	struct route_error error = {503, reply->reason,
	    "no endpoint could take the request in time", ROUTE_NOT_RUN,
	    reply->retry_after_ms};

	if (reply->reason[0] == '\0')
		error.code = "no-capacity";
	if (error.retry_after_ms == 0)
		error.retry_after_ms = ROUTE_DEFAULT_RETRY_AFTER_MS;
	if (e->may_have_run)
		error.outcome = ROUTE_UNKNOWN;
	map_remove_u64(r->by_ask, e->ask);
	e->ask = 0;
	if (e->claimed)
		route_claim_propose_end(r, now_us, e,
		    e->may_have_run ? CLAIM_END_UNKNOWN : CLAIM_END_NOT_RUN,
		    fx);
	route_fail(r, e, &error, fx);
	route_remove_entry(r, e);
}

/* Returns a grant for a closed ask, so that the owner frees its pin. */
static void
return_unwanted(
    struct route *r, const Wire__GrantReply *reply, struct node_effects *fx)
{
	Wire__GrantDone done = WIRE__GRANT_DONE__INIT;

	if (reply->status != WIRE__GRANT_STATUS__GRANT_GIVEN)
		return;
	done.request = reply->request;
	done.outcome = WIRE__DONE_OUTCOME__DONE_CANCELLED;
	r->ops->done(r->ctx, &done, fx);
}

void
route_on_grant_reply(struct route *r, uint64_t now_us,
    const Wire__GrantReply *reply, struct node_effects *fx)
{
	struct route_entry *e = map_get_u64(r->by_ask, reply->request);

	if (e == NULL) {
		return_unwanted(r, reply, fx);
		return;
	}
	if (e->state != ROUTE_WAIT_GRANT)
		return; /* duplicate reply */
	switch (reply->status) {
	case WIRE__GRANT_STATUS__GRANT_GIVEN:
		handle_given(r, now_us, e, reply, fx);
		break;
	case WIRE__GRANT_STATUS__GRANT_ELSEWHERE:
		map_remove_u64(r->by_ask, e->ask);
		e->attempt += reply->holder == 0;
		e->handed_to = reply->holder;
		route_send_ask(r, now_us, e, fx);
		break;
	default:
		handle_refused(r, now_us, e, reply, fx);
		break;
	}
}

void
route_on_owner_lost(
    struct route *r, uint64_t now_us, uint64_t ask, struct node_effects *fx)
{
	struct route_entry *e = map_get_u64(r->by_ask, ask);

	if (e == NULL || e->state != ROUTE_WAIT_GRANT)
		return;
	route_finish_ask(r, now_us, e, WIRE__DONE_OUTCOME__DONE_CANCELLED, fx);
	e->handed_to = 0;
	route_send_ask(r, now_us, e, fx);
}

bool
route_on_call_event(struct route *r, uint64_t now_us,
    const struct node_call_event *event, struct node_effects *fx)
{
	struct route_entry *e = map_get_u64(r->by_call, event->call);

	if (e == NULL)
		return false;
	if (e->engine_key != NULL)
		route_model_on_event(r, now_us, e, event, fx);
	else
		route_service_on_event(r, now_us, e, event, fx);
	return true;
}
