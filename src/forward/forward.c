#include <stdlib.h>
#include <string.h>

#include "forward/forward_guard.h"
#include "forward/forward_internal.h"
#include "util/mem.h"

/*
 * State of the requests that an entry forwards: asks, attempts, deadlines and
 * refusals. forward_answer.c handles the endpoints' responses.
 */

/* Attempts per request after the first one, whatever their results. */
#define RETRIES_MAX 4u
/* With less time left another attempt is unlikely to succeed. */
#define RETRY_MIN_REMAINING_US (30 * US_PER_MS)
/*
 * Maximum idle time of a reused connection for requests that may run only
 * once. The peer may have closed an idle connection; a request sent on it may
 * have run and could not be sent again.
 */
#define NON_REPEATABLE_IDLE_MAX_MS 1500u
/* Silence after which a resumable stream is retried at another endpoint. */
#define STREAM_TIMEOUT_US (1500 * US_PER_MS)
/* Prompt parts that a log line has. */
#define LOGGED_PARTS_MAX 16u
/* Silence after which a repeatable call is retried, in latency objectives. */
#define CALL_TIMEOUT_TARGETS 2u

struct forward *
forward_create(const struct gw_codec *codec, const struct forward_ops *ops,
    void *ctx, uint64_t entry, const char *data_centre)
{
	struct forward *f = mem_alloc(1, sizeof(*f));

	f->codec = codec;
	f->ops = ops;
	f->ctx = ctx;
	f->entry = entry;
	f->data_centre = mem_string(data_centre);
	f->by_request = map_create();
	f->by_ask = map_create();
	f->by_call = map_create();
	f->by_account = map_create();
	f->naming = fwd_naming_create();
	f->end_us = UINT64_MAX;
	return f;
}

void
fwd_count_unsent(struct forward *f, struct fwd_request *r)
{
	byte_budget_change(f->buffered, r->budgeted_bytes, r->unsent.len);
	r->budgeted_bytes = r->unsent.len;
}

static void
fwd_free(struct forward *f, struct fwd_request *r)
{
	size_t i;

	byte_budget_change(f->buffered, r->budgeted_bytes, 0);
	for (i = 0; i < r->navoid; i++)
		free(r->avoid[i]);
	free(r->route);
	free(r->service);
	free(r->endpoint);
	free(r->last_event_id);
	buf_free(&r->unsent);
	node_effects_destroy(r->response_memory);
	node_effects_destroy(r->memory);
	free(r);
}

void
forward_destroy(struct forward *f)
{
	size_t i;

	if (f == NULL)
		return;
	for (i = 0; i < map_count(f->by_request); i++)
		fwd_free(f, map_at(f->by_request, i));
	map_destroy(f->by_request);
	map_destroy(f->by_ask);
	map_destroy(f->by_call);
	fwd_accounts_free(f);
	fwd_naming_destroy(f->naming);
	byte_budget_destroy(f->buffered);
	free(f->data_centre);
	free(f);
}

void
forward_set_buffer_limit(struct forward *f, uint64_t bytes)
{
	byte_budget_destroy(f->buffered);
	f->buffered = byte_budget_create(bytes);
}

size_t
forward_request_count(const struct forward *f)
{
	return map_count(f->by_request);
}

const struct forward_stats *
forward_get_stats(const struct forward *f)
{
	return &f->stats;
}

/* ---- outcomes ----------------------------------------------------------- */

void
fwd_cancel_call(
    struct forward *f, struct fwd_request *r, struct node_effects *fx)
{
	if (r->call == 0)
		return;
	node_effects_add(fx, NODE_FX_CALL_CANCEL)->u.cancelled_call = r->call;
	(void)map_remove_u64(f->by_call, r->call);
	r->call = 0;
}

void
fwd_report_outcome(struct forward *f, struct fwd_request *r,
    enum place_outcome outcome, struct node_effects *fx)
{
	struct place_result result = {.outcome = outcome};

	if (r->ask == 0)
		return;
	if (r->first_byte_us != 0 && r->first_byte_us > r->sent_us)
		result.first_ms =
		    (uint32_t)((r->first_byte_us - r->sent_us) / US_PER_MS) + 1;
	result.load_told = r->response.has_load;
	result.running = r->response.running;
	result.waiting = r->response.waiting;
	result.slots = r->response.slots;
	result.work_percent = r->response.work_percent;
	result.limit_told = r->limit_told;
	result.limit = r->limit;
	r->limit_told = false;
	f->ops->done(f->ctx, r->ask, &result, fx);
	if (outcome == PLACE_FIRST_BYTE)
		return;
	(void)map_remove_u64(f->by_ask, r->ask);
	r->ask = 0;
}

static uint64_t
ms_since(uint64_t from_us, uint64_t to_us)
{
	return from_us == 0 || to_us < from_us ? 0
					       : (to_us - from_us) / US_PER_MS;
}

/*
 * The hashes of the prompt's first parts, separated by commas, without the last
 * of all, which belongs to this request or its session alone.
 */
static const char *
shared_parts_text(const struct fwd_request *r, struct node_effects *fx)
{
	struct buf text = {0};
	const char *copy;
	size_t i;

	for (i = 0; i + 1 < r->decoded.nparts && i < LOGGED_PARTS_MAX; i++)
		buf_printf(&text, "%s%016llx", i == 0 ? "" : ",",
		    (unsigned long long)r->decoded.parts[i].hash);
	copy = node_effects_copy(fx, text.data == NULL ? "" : text.data,
	    text.data == NULL ? 0 : text.len);
	buf_free(&text);
	return copy;
}

void
fwd_finish(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const char *outcome, struct node_effects *fx)
{
	f->ops->log(f->ctx,
	    node_effects_printf(fx,
		"{\"attempt\": \"%.40s\", \"route\": \"%.60s\", "
		"\"account\": \"%.60s\", "
		"\"adapter\": \"%.40s\", "
		"\"config\": %llu, \"outcome\": \"%s\", \"status\": %d, "
		"\"endpoint\": \"%.60s\", \"tries\": %u, \"reached\": %u, "
		"\"ask\": %llu, \"entry\": %llu, \"fault\": \"%s\", "
		"\"closed\": %s, \"parts\": \"%s\", "
		"\"reason\": \"%s\", \"placedMs\": %llu, \"firstMs\": %llu, "
		"\"wholeMs\": %llu, \"deadlineMs\": %llu}",
		r->decoded.attempt == NULL ? "" : r->decoded.attempt, r->route,
		fwd_account_text(r, fx),
		r->decoded.adapter == NULL ? "" : r->decoded.adapter,
		(unsigned long long)r->config_version, outcome, r->status,
		r->endpoint == NULL ? "" : r->endpoint, r->retries,
		r->maybe_run_count, (unsigned long long)r->last_ask,
		PLACE_LOG_ENTRY_ID(f->entry),
		r->last_fault == NULL ? "" : r->last_fault,
		r->was_closed_by_endpoint ? "true" : "false",
		shared_parts_text(r, fx),
		r->refusal_reason == NULL ? "" : r->refusal_reason,
		(unsigned long long)ms_since(r->started_us, r->placed_us),
		(unsigned long long)ms_since(r->started_us, r->first_byte_us),
		(unsigned long long)ms_since(r->started_us, now_us),
		(unsigned long long)ms_since(r->started_us, r->deadline_us)),
	    fx);
	hist_add(&f->stats.total_us, now_us - r->started_us);
	fwd_count_account(f, r, now_us, outcome);
	fwd_refund_charge(f, r);
	fwd_cancel_call(f, r, fx);
	if (r->ask != 0)
		fwd_report_outcome(f, r, PLACE_ABANDONED, fx);
	(void)map_remove_u64(f->by_request, r->request);
	fwd_free(f, r);
}

void
fwd_refuse(struct forward *f, struct fwd_request *r, uint64_t now_us,
    enum gw_refusal refusal, const char *reason, uint32_t retry_after_ms,
    struct node_effects *fx)
{
	struct node_reply *reply;
	bool timeout = refusal == GW_REFUSE_TIMEOUT;

	r->refusal_reason = reason;
	if (r->head_sent) {
		struct node_effect *effect =
		    node_effects_add(fx, NODE_FX_REPLY_END);

		effect->u.reply_end.request = r->request;
		effect->u.reply_end.aborted = true;
		f->stats.aborted++;
		fwd_finish(f, r, now_us, "cut", fx);
		return;
	}
	reply = &node_effects_add(fx, NODE_FX_REPLY)->u.reply;
	reply->request = r->request;
	f->codec->write_refusal(reply, refusal, reason, retry_after_ms, fx);
	r->status = reply->status;
	if (timeout)
		f->stats.timed_out++;
	else if (refusal == GW_REFUSE_FAILED)
		f->stats.failed++;
	else
		f->stats.refused++;
	fwd_finish(f, r, now_us,
	    timeout			      ? "timeout"
		: refusal == GW_REFUSE_FAILED ? "failed"
					      : "refused",
	    fx);
}

bool
fwd_refuse_if_quarantined(struct forward *f, struct fwd_request *r,
    uint64_t now_us, bool was_sent, struct node_effects *fx)
{
	if (f->ops->may_send(f->ctx, &r->decoded, was_sent))
		return false;
	f->stats.quarantined++;
	fwd_refuse(f, r, now_us,
	    r->may_have_run && forward_guards.truth ? GW_REFUSE_FAILED
						    : GW_REFUSE_QUARANTINED,
	    was_sent ? "prompt-part-suspect" : "prompt-part-quarantined", 0,
	    fx);
	return true;
}

/* ---- attempts ----------------------------------------------------------- */

bool
fwd_is_repeatable(const struct fwd_request *r)
{
	return r->kind == GW_IDEMPOTENT ||
	    (r->kind == GW_STREAM && r->resumable);
}

void
fwd_send_ask(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx)
{
	struct place_request ask = {0};
	size_t i;

	(void)now_us;
	if (r->ask == 0) {
		r->ask = r->last_ask = ++f->last_ask;
		(void)map_set_u64(f->by_ask, r->ask, r);
	}
	r->state = FWD_ASKED;
	if (!fwd_charge_request(f, r))
		return;
	ask.id.entry = f->entry;
	ask.id.ask = r->ask;
	ask.kind = r->kind;
	ask.service = r->service;
	ask.model = r->decoded.model;
	ask.adapter = r->decoded.adapter;
	ask.prompt_tokens = r->decoded.prompt_tokens;
	ask.max_tokens = r->decoded.max_tokens;
	ask.parts = r->decoded.parts;
	ask.nparts = r->decoded.nparts < GW_PREFIX_PARTS_MAX
	    ? r->decoded.nparts
	    : GW_PREFIX_PARTS_MAX;
	ask.deadline_us = r->deadline_us;
	ask.target_us = r->target_us;
	ask.priority = r->priority;
	ask.account = r->decoded.account;
	ask.account_priority = r->account_priority;
	ask.attempt = r->retries;
	ask.data_centre = f->data_centre;
	for (i = 0; i < r->navoid; i++)
		ask.avoid[i] = r->avoid[i];
	ask.navoid = r->navoid;
	f->ops->ask(f->ctx, &ask, fx);
}

bool
forward_resend_ask(
    struct forward *f, uint64_t now_us, uint64_t ask, struct node_effects *fx)
{
	struct fwd_request *r = map_get_u64(f->by_ask, ask);

	if (r == NULL || r->state != FWD_ASKED)
		return false;
	fwd_send_ask(f, r, now_us, fx);
	return true;
}

void
fwd_refuse_unserved(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const char *reason, uint32_t retry_after_ms, struct node_effects *fx)
{
	if (r->may_have_run && forward_guards.truth)
		fwd_refuse(f, r, now_us, GW_REFUSE_FAILED, reason, 0, fx);
	else
		fwd_refuse(f, r, now_us, GW_REFUSE_OVERLOAD, reason,
		    retry_after_ms, fx);
}

static void
avoid_endpoint(struct fwd_request *r)
{
	if (r->endpoint != NULL && r->navoid < PLACE_AVOID_MAX)
		r->avoid[r->navoid++] = mem_string(r->endpoint);
}

/*
 * The endpoint does not have the adapter. It is not avoided in the next ask:
 * the placer knows when the endpoint will have the adapter, and another
 * endpoint may not have it either.
 */
const char fwd_fault_endpoint_lacks[] = "endpoint-lacks";

void
fwd_retry_or_refuse(struct forward *f, struct fwd_request *r, uint64_t now_us,
    bool not_run, const char *fault, struct node_effects *fx)
{
	bool may_retry =
	    not_run || fwd_is_repeatable(r) || !forward_guards.once;

	r->last_fault = fault;
	fwd_end_attempt_charge(r, not_run);
	if (!not_run) {
		r->may_have_run = true;
		r->maybe_run_count++;
		may_retry = may_retry &&
		    (r->maybe_run_count < r->max_attempts ||
			!forward_guards.attempts);
	}
	if (fault != fwd_fault_endpoint_lacks)
		avoid_endpoint(r);
	if (!may_retry || r->retries >= RETRIES_MAX ||
	    now_us + RETRY_MIN_REMAINING_US >= r->deadline_us) {
		fwd_refuse_unserved(
		    f, r, now_us, fault, FWD_RETRY_AFTER_MS, fx);
		return;
	}
	if (fwd_refuse_if_quarantined(f, r, now_us, !not_run, fx))
		return;
	r->retries++;
	f->stats.retried++;
	r->first_byte_reported = r->response.has_load = false;
	buf_free(&r->unsent);
	fwd_count_unsent(f, r);
	fwd_send_ask(f, r, now_us, fx);
}

/* ---- grants and refusals ------------------------------------------------ */

/*
 * Silence after which the attempt is aborted for another one; 0: no limit,
 * since no other attempt would be allowed.
 */
static uint64_t
attempt_timeout_us(const struct fwd_request *r)
{
	if (!fwd_is_repeatable(r) || r->maybe_run_count + 1 >= r->max_attempts)
		return 0;
	if (r->kind == GW_STREAM)
		return STREAM_TIMEOUT_US;
	return (r->target_us - r->started_us) * CALL_TIMEOUT_TARGETS;
}

static void
send_to_endpoint(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const struct forward_grant *grant, struct node_effects *fx)
{
	struct node_call *call = &node_effects_add(fx, NODE_FX_CALL)->u.call;
	struct gw_endpoint_request outgoing = {0};
	uint64_t send_until_us = now_us + FWD_SEND_TIMEOUT_US - grant->age_us;

	r->call = f->ops->next_call(f->ctx);
	(void)map_set_u64(f->by_call, r->call, r);
	r->state = FWD_SENT;
	fwd_spend_charge(r);
	r->sent_us = now_us;
	r->first_byte_us = 0;
	r->limit_told = false;
	r->was_closed_by_endpoint = false;
	memset(&r->event_state, 0, sizeof(r->event_state));
	outgoing.request = &r->decoded;
	outgoing.endpoint = r->endpoint;
	outgoing.adapter_version = grant->adapter_version;
	outgoing.urgency = grant->urgency;
	outgoing.deadline_ms =
	    (uint32_t)((r->deadline_us - now_us) / US_PER_MS);
	outgoing.resume_after = r->last_event_id;
	call->call = r->call;
	call->address = node_effects_printf(fx, "%s", grant->address);
	call->method = r->in.method;
	call->path = r->in.path;
	call->body = r->in.body;
	call->not_after_us =
	    send_until_us < r->deadline_us ? send_until_us : r->deadline_us;
	call->silence_us = attempt_timeout_us(r);
	call->close_delimited = true;
	call->for_request = r->request;
	call->fresh_connection =
	    fwd_naming_is_lacking(f->naming, r->endpoint, r->endpoint_born_ms);
	if (!fwd_is_repeatable(r))
		call->idle_limit_ms = NON_REPEATABLE_IDLE_MAX_MS;
	f->codec->write_endpoint_request(call, &outgoing, fx);
}

bool
forward_on_grant(struct forward *f, uint64_t now_us,
    const struct forward_grant *grant, struct node_effects *fx)
{
	struct fwd_request *r = map_get_u64(f->by_ask, grant->ask);

	if (r == NULL || r->state != FWD_ASKED)
		return false;
	if (now_us + US_PER_MS >= r->deadline_us) {
		fwd_report_outcome(f, r, PLACE_ABANDONED, fx);
		fwd_refuse_unserved(
		    f, r, now_us, "deadline", FWD_RETRY_AFTER_MS, fx);
		return true;
	}
	if (!fwd_may_send(f, r, now_us, grant, fx))
		return true;
	if (r->placed_us == 0) {
		r->placed_us = now_us;
		hist_add(&f->stats.placement_us, now_us - r->started_us);
	}
	free(r->endpoint);
	r->endpoint = mem_string(grant->endpoint);
	r->endpoint_born_ms = grant->born_ms;
	send_to_endpoint(f, r, now_us, grant, fx);
	return true;
}

void
forward_refuse_quarantined(
    struct forward *f, uint64_t now_us, struct node_effects *fx)
{
	struct fwd_request *r;
	size_t i = map_count(f->by_request);

	while (i-- > 0) {
		r = map_at(f->by_request, i);
		if (r->first_byte_reported || /* by this attempt's endpoint */
		    f->ops->may_send(f->ctx, &r->decoded, false))
			continue;
		if (r->state != FWD_ASKED)
			r->may_have_run = true;
		(void)fwd_refuse_if_quarantined(f, r, now_us, false, fx);
	}
}

/* ---- events ------------------------------------------------------------- */

bool
forward_on_call_event(struct forward *f, uint64_t now_us,
    const struct node_call_event *event, struct node_effects *fx)
{
	struct fwd_request *r = map_get_u64(f->by_call, event->call);

	if (r == NULL)
		return false;
	if (event->phase != NODE_CALL_HEAD && event->phase != NODE_CALL_DATA) {
		(void)map_remove_u64(f->by_call, r->call);
		r->call = 0;
	}
	switch (event->phase) {
	case NODE_CALL_NOT_SENT:
		fwd_report_outcome(f, r, PLACE_NOT_SENT, fx);
		fwd_retry_or_refuse(f, r, now_us, true, "not-reached", fx);
		break;
	case NODE_CALL_HEAD:
		fwd_on_head(f, r, now_us, event, fx);
		break;
	case NODE_CALL_DATA:
		fwd_on_data(f, r, now_us, event->data, fx);
		break;
	case NODE_CALL_END:
		fwd_on_end(f, r, now_us, fx);
		break;
	case NODE_CALL_BROKEN:
		fwd_on_broken(f, r, now_us, event->closed_by_peer, fx);
		break;
	}
	return true;
}

bool
forward_on_caller_gone(struct forward *f, uint64_t now_us, uint64_t request,
    struct node_effects *fx)
{
	struct fwd_request *r = map_get_u64(f->by_request, request);

	if (r == NULL)
		return false;
	f->stats.caller_gone++;
	fwd_finish(f, r, now_us, "caller-gone", fx);
	return true;
}

static void
on_deadline(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx)
{
	bool may_have_run = r->state != FWD_ASKED || r->may_have_run;

	r->last_fault = "deadline";
	if (may_have_run)
		fwd_refuse(f, r, now_us, GW_REFUSE_TIMEOUT, "timeout", 0, fx);
	else
		fwd_refuse(f, r, now_us, GW_REFUSE_OVERLOAD, "deadline",
		    FWD_RETRY_AFTER_MS, fx);
}

void
forward_tick(struct forward *f, uint64_t now_us, struct node_effects *fx)
{
	struct fwd_request *r;
	size_t i = map_count(f->by_request);

	while (i-- > 0) {
		r = map_at(f->by_request, i);
		if (now_us >= r->deadline_us)
			on_deadline(f, r, now_us, fx);
	}
}

uint64_t
forward_next_us(const struct forward *f)
{
	uint64_t next = UINT64_MAX;
	const struct fwd_request *r;
	size_t i;

	for (i = 0; i < map_count(f->by_request); i++) {
		r = map_at(f->by_request, i);
		if (r->deadline_us < next)
			next = r->deadline_us;
	}
	return next;
}
