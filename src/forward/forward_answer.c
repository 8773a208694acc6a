#include <stdlib.h>
#include <string.h>

#include "forward/forward_guard.h"
#include "forward/forward_internal.h"
#include "util/mem.h"

/*
 * Relaying of endpoints' responses. A plain response is buffered until it is
 * complete, so that a response that breaks off can still be retried or
 * reported as failed. A stream is relayed as it arrives; a resumable one in
 * complete events, so that another endpoint can continue after the last one.
 */

/*
 * Maximum of buffered bytes, and less while all requests together buffer much.
 * A longer plain response is relayed as it arrives; a longer event of a
 * resumable stream is a failure of the endpoint.
 */
#define BUFFERED_MAX_BYTES     (256u * 1024u)
#define STATUS_GATEWAY_TIMEOUT 504

/* A final status; a response with another one is malformed. */
#define STATUS_FINAL_MIN 200
#define STATUS_MAX	 599

/* An answer that may belong to another request on its connection. */
static const char fault_unnamed[] = "answer-without-attempt";

static bool
is_success(int status)
{
	return status >= 200 && status < 300;
}

static void
send_head(struct fwd_request *r, struct node_bytes body, bool more,
    struct node_effects *fx)
{
	struct node_reply *reply =
	    &node_effects_add(fx, NODE_FX_REPLY)->u.reply;

	reply->request = r->request;
	reply->status = r->status;
	reply->extra_headers =
	    node_effects_headers(fx, r->response.headers, r->response.nheaders);
	reply->nextra_headers = r->response.nheaders;
	reply->body.data = node_effects_copy(fx, body.data, body.len);
	reply->body.len = body.len;
	reply->more = more;
	reply->has_length = more && r->has_length && r->last_event_id == NULL;
	reply->length = r->length;
	r->head_sent = true;
}

/* Sends bytes of the body to the caller, and the head before the first one. */
static void
send_data(struct fwd_request *r, const char *data, size_t len,
    struct node_effects *fx)
{
	struct node_bytes bytes = {data, len};
	struct node_effect *effect;

	if (len == 0)
		return;
	if (!r->head_sent) {
		send_head(r, bytes, true, fx);
		return;
	}
	effect = node_effects_add(fx, NODE_FX_REPLY_DATA);
	effect->u.reply_data.request = r->request;
	effect->u.reply_data.data.data = node_effects_copy(fx, data, len);
	effect->u.reply_data.data.len = len;
}

/* Whether the response names the request's attempt, or none. */
static bool
is_for_request(
    const struct fwd_request *r, const struct gw_endpoint_response *response)
{
	return r->decoded.attempt == NULL || response->attempt == NULL ||
	    strcmp(r->decoded.attempt, response->attempt) == 0;
}

/* Whether the response names no attempt, though the request has one. */
static bool
is_unnamed(
    const struct fwd_request *r, const struct gw_endpoint_response *response)
{
	return r->decoded.attempt != NULL && response->attempt == NULL;
}

/*
 * Whether the response refuses a request that it does not name. It may be a
 * refusal of an earlier request, sent once more on a kept connection.
 */
static bool
is_unnamed_refusal(
    const struct fwd_request *r, const struct gw_endpoint_response *response)
{
	return response->not_run && is_unnamed(r, response);
}

/*
 * Returns why the response must not be relayed, or NULL. It may belong to
 * another request, lack the endpoint's signature or be changed in transit.
 */
static const char *
find_response_fault(const struct fwd_request *r,
    const struct gw_endpoint_response *response,
    const struct node_call_event *event)
{
	int status = event->status;

	if (status < STATUS_FINAL_MIN || status > STATUS_MAX)
		return "status-invalid";
	if (forward_guards.match && !is_for_request(r, response))
		return "answer-of-another";
	if (forward_guards.match && is_unnamed_refusal(r, response))
		return "refusal-without-attempt";
	if (forward_guards.match && is_unnamed(r, response) &&
	    event->is_kept_connection)
		return fault_unnamed;
	if (forward_guards.proof && is_success(status) && !response->is_signed)
		return "answer-not-signed";
	if (is_success(status) && response->is_encoded)
		return "answer-encoded";
	return NULL;
}

/* The same, and remembers whether the endpoint names attempts. */
static const char *
check_response(struct forward *f, const struct fwd_request *r,
    const struct gw_endpoint_response *response,
    const struct node_call_event *event)
{
	const char *fault = find_response_fault(r, response, event);

	f->stats.unnamed_answers += fault == fault_unnamed;
	if (fault == NULL && r->decoded.attempt != NULL)
		fwd_naming_record(f->naming, r->endpoint, r->endpoint_born_ms,
		    !is_unnamed(r, response));
	return fault;
}

static void
fail_attempt(struct forward *f, struct fwd_request *r, uint64_t now_us,
    enum place_outcome outcome, bool not_run, const char *fault,
    struct node_effects *fx)
{
	fwd_cancel_call(f, r, fx);
	fwd_report_outcome(f, r, outcome, fx);
	fwd_retry_or_refuse(f, r, now_us, not_run, fault, fx);
}

/*
 * Whether to retry a response with an error at another endpoint: 5xx, other
 * than a timeout of the request (504), for a repeatable request.
 */
static bool
should_retry_error(const struct fwd_request *r)
{
	return r->status >= 500 && r->status != STATUS_GATEWAY_TIMEOUT &&
	    fwd_is_repeatable(r) && !r->head_sent &&
	    r->maybe_run_count + 1 < r->max_attempts;
}

/* A response of another process, or to another request, is not. */
static bool
is_about_endpoint(
    const struct fwd_request *r, const struct gw_endpoint_response *response)
{
	return r->endpoint_born_ms != 0 && !response->has_state_mismatch &&
	    is_for_request(r, response);
}

/* Passes on what the response says about further requests. */
static void
report_notice(struct forward *f, const struct fwd_request *r,
    const struct gw_endpoint_response *response, struct node_effects *fx)
{
	struct place_notice notice = {r->endpoint, r->endpoint_born_ms,
	    response->is_leaving, response->backoff_ms,
	    response->rate_limit == GW_RATE_LIMIT_INVALID};

	if (!is_about_endpoint(r, response) ||
	    (!notice.is_leaving && notice.backoff_ms == 0 &&
		!notice.has_invalid_limit))
		return;
	f->ops->notice(f->ctx, r->ask, &notice, fx);
}

/* Keeps what the response says of the endpoint's rate limit for the placer. */
static void
record_limit(struct fwd_request *r, const struct gw_endpoint_response *response)
{
	r->limit_told = is_about_endpoint(r, response) &&
	    response->rate_limit != GW_RATE_LIMIT_INVALID;
	r->limit.is_limited = response->rate_limit == GW_RATE_LIMIT_NAMED;
	r->limit.requests_per_s_milli = response->requests_per_s_milli;
}

/*
 * The head of a response that is to go on with a stream: the caller has the
 * head of an earlier one, so nothing of this one but its events is relayed.
 */
static void
handle_resumed_head(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const struct node_call_event *event, struct node_effects *fx)
{
	struct gw_endpoint_response resumed;
	const char *fault;

	f->codec->read_endpoint_response(&resumed, event, fx);
	report_notice(f, r, &resumed, fx);
	record_limit(r, &resumed);
	fault = check_response(f, r, &resumed, event);
	if (fault != NULL)
		fail_attempt(
		    f, r, now_us, PLACE_ENDPOINT_FAILED, false, fault, fx);
	else if (resumed.not_run)
		fail_attempt(f, r, now_us, PLACE_STATE_MISMATCH, true,
		    "resume-refused", fx);
	else if (!is_success(event->status))
		fail_attempt(f, r, now_us, PLACE_ENDPOINT_FAILED, false,
		    "resume-failed", fx);
}

void
fwd_on_head(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const struct node_call_event *event, struct node_effects *fx)
{
	const char *fault;

	r->state = FWD_HEAD_RECEIVED;
	if (r->first_byte_us == 0)
		r->first_byte_us = now_us;
	if (r->head_sent) {
		handle_resumed_head(f, r, now_us, event, fx);
		return;
	}
	node_effects_clear(r->response_memory);
	f->codec->read_endpoint_response(
	    &r->response, event, r->response_memory);
	r->response.headers = node_effects_headers(
	    r->response_memory, r->response.headers, r->response.nheaders);
	if (r->response.attempt != NULL)
		r->response.attempt = node_effects_printf(
		    r->response_memory, "%s", r->response.attempt);
	r->status = event->status;
	r->has_length = event->has_length;
	r->length = event->length;
	report_notice(f, r, &r->response, fx);
	record_limit(r, &r->response);
	fault = check_response(f, r, &r->response, event);
	if (fault != NULL)
		fail_attempt(
		    f, r, now_us, PLACE_ENDPOINT_FAILED, false, fault, fx);
	else if (r->response.not_run)
		fail_attempt(f, r, now_us,
		    r->response.has_state_mismatch ? PLACE_STATE_MISMATCH
						   : PLACE_ENDPOINT_FULL,
		    true,
		    r->response.has_state_mismatch ? fwd_fault_endpoint_lacks
						   : "endpoint-full",
		    fx);
	else if (should_retry_error(r))
		fail_attempt(f, r, now_us, PLACE_ENDPOINT_FAILED, false,
		    "endpoint-failed", fx);
}

static void
record_first_byte(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx)
{
	if (r->first_byte_reported)
		return;
	r->first_byte_reported = true;
	r->first_byte_us = now_us;
	hist_add(&f->stats.first_byte_us, now_us - r->started_us);
	if (r->decoded.model != NULL || r->kind == GW_STREAM)
		fwd_report_outcome(f, r, PLACE_FIRST_BYTE, fx);
}

/* Sends the complete events to the caller and records the last one's id. */
static void
relay_events(struct fwd_request *r, struct node_effects *fx)
{
	size_t complete_len =
	    fwd_events_complete_len(r->unsent.data, r->unsent.len);
	char *id;

	if (complete_len == 0)
		return;
	send_data(r, r->unsent.data, complete_len, fx);
	id = fwd_events_last_id(r->unsent.data, complete_len);
	if (id != NULL) {
		free(r->last_event_id);
		r->last_event_id = id;
	}
	buf_consume(&r->unsent, complete_len);
}

/*
 * A process that ends because of a request does so soon after it has begun to
 * answer it, or before.
 */
#define END_SUSPECT_US (1000 * US_PER_MS)

static void
observe(struct forward *f, const struct fwd_request *r, bool is_served,
    struct node_effects *fx)
{
	struct forward_observation observed = {
	    &r->decoded, r->endpoint, r->endpoint_born_ms, is_served};

	f->ops->observe(f->ctx, &observed, fx);
}

/* The endpoint closed the connection before the end of its response. */
static void
observe_closed(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx)
{
	r->was_closed_by_endpoint = true;
	if (!r->first_byte_reported ||
	    now_us < r->first_byte_us + END_SUSPECT_US)
		observe(f, r, false, fx);
}

/*
 * Ends an attempt whose response is incomplete: retries the request, or aborts
 * the response if part of it is sent and it cannot be resumed.
 */
static void
handle_broken_response(struct forward *f, struct fwd_request *r,
    uint64_t now_us, const char *fault, struct node_effects *fx)
{
	fwd_cancel_call(f, r, fx);
	fwd_report_outcome(f, r, PLACE_ENDPOINT_FAILED, fx);
	if (r->head_sent &&
	    (!fwd_is_repeatable(r) ||
		(r->last_event_id == NULL && forward_guards.gap))) {
		r->last_fault = fault;
		r->may_have_run = true;
		fwd_refuse(f, r, now_us, GW_REFUSE_FAILED, "cut", 0, fx);
		return;
	}
	fwd_retry_or_refuse(f, r, now_us, false, fault, fx);
}

static size_t
max_buffered_bytes(const struct forward *f)
{
	size_t window = byte_budget_window(f->buffered);

	return window < BUFFERED_MAX_BYTES ? window : BUFFERED_MAX_BYTES;
}

void
fwd_on_data(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_bytes data, struct node_effects *fx)
{
	record_first_byte(f, r, now_us, fx);
	if (r->kind == GW_STREAM)
		fwd_events_follow(&r->event_state, data.data, data.len);
	if (r->kind == GW_STREAM && is_success(r->status) && !r->resumable) {
		send_data(r, data.data, data.len, fx);
		return;
	}
	buf_append(&r->unsent, data.data, data.len);
	if (r->kind == GW_STREAM && is_success(r->status)) {
		relay_events(r, fx);
		if (r->unsent.len > max_buffered_bytes(f)) {
			handle_broken_response(
			    f, r, now_us, "event-without-end", fx);
			return;
		}
	} else if (r->head_sent || r->unsent.len > max_buffered_bytes(f)) {
		send_data(r, r->unsent.data, r->unsent.len, fx);
		buf_free(&r->unsent);
	}
	fwd_count_unsent(f, r);
}

/*
 * Whether a stream ended inside an event. It has been broken off, however its
 * end was marked: a response without a length ends with its connection, and so
 * with the endpoint's process.
 */
static bool
is_cut_event(const struct fwd_request *r)
{
	return r->kind == GW_STREAM && is_success(r->status) &&
	    r->event_state.is_in_event && forward_guards.whole_events;
}

void
fwd_on_end(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx)
{
	struct node_bytes rest = {r->unsent.data, r->unsent.len};
	struct node_effect *end;
	bool failed = r->status >= 500 && r->status != STATUS_GATEWAY_TIMEOUT;

	if (is_cut_event(r)) {
		observe_closed(f, r, now_us, fx);
		handle_broken_response(f, r, now_us, "event-cut", fx);
		return;
	}
	if (is_success(r->status))
		observe(f, r, true, fx);
	r->maybe_run_count++;
	fwd_report_outcome(f, r,
	    failed				      ? PLACE_ENDPOINT_FAILED
		: r->status == STATUS_GATEWAY_TIMEOUT ? PLACE_ABANDONED
						      : PLACE_SERVED,
	    fx);
	if (!r->head_sent) {
		send_head(r, rest, false, fx);
	} else {
		send_data(r, rest.data, rest.len, fx);
		end = node_effects_add(fx, NODE_FX_REPLY_END);
		end->u.reply_end.request = r->request;
	}
	if (is_success(r->status))
		f->stats.served++;
	else
		f->stats.failed++;
	fwd_finish(
	    f, r, now_us, is_success(r->status) ? "served" : "passed", fx);
}

void
fwd_on_broken(struct forward *f, struct fwd_request *r, uint64_t now_us,
    bool is_closed_by_endpoint, struct node_effects *fx)
{
	if (is_closed_by_endpoint)
		observe_closed(f, r, now_us, fx);
	handle_broken_response(f, r, now_us, "answer-broke-off", fx);
}
