#include <stdlib.h>
#include <string.h>

#include "forward/forward_guard.h"
#include "forward/forward_internal.h"
#include "util/mem.h"

/*
 * Answers of endpoints. A plain answer is held until it is whole, so that one
 * that breaks off can still be asked for again or told as failed; a stream is
 * passed on as it comes, in whole events where it may go on elsewhere.
 */

/* A longer plain answer is passed on as it comes; no event is longer. */
#define HELD_MAX_BYTES (256u * 1024u)
#define STATUS_TIMEOUT 504

static bool
is_success(int status)
{
	return status >= 200 && status < 300;
}

static void
tell_head(struct fwd_request *r, struct node_bytes body, bool more,
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

/* Give the caller bytes of the body, with the head before the first. */
static void
tell_data(struct fwd_request *r, const char *data, size_t len,
    struct node_effects *fx)
{
	struct node_bytes bytes = {data, len};
	struct node_effect *effect;

	if (len == 0)
		return;
	if (!r->head_sent) {
		tell_head(r, bytes, true, fx);
		return;
	}
	effect = node_effects_add(fx, NODE_FX_REPLY_DATA);
	effect->u.reply_data.request = r->request;
	effect->u.reply_data.data.data = node_effects_copy(fx, data, len);
	effect->u.reply_data.data.len = len;
}

/* The answer is not this request's, or not the endpoint's whole word. */
static const char *
find_fault(const struct fwd_request *r)
{
	if (forward_guards.match && r->decoded.attempt != NULL &&
	    r->response.attempt != NULL &&
	    strcmp(r->decoded.attempt, r->response.attempt) != 0)
		return "answer-of-another";
	if (forward_guards.proof && is_success(r->status) &&
	    !r->response.is_signed)
		return "answer-not-signed";
	if (is_success(r->status) && r->response.is_encoded)
		return "answer-encoded";
	return NULL;
}

static void
give_up_call(struct forward *f, struct fwd_request *r, uint64_t now_us,
    enum place_outcome outcome, bool not_run, const char *fault,
    struct node_effects *fx)
{
	fwd_cancel_call(f, r, fx);
	fwd_report_outcome(f, r, outcome, fx);
	fwd_retry_or_refuse(f, r, now_us, not_run, fault, fx);
}

/* May a failure that the endpoint told be tried elsewhere? */
static bool
is_worth_repeating(const struct fwd_request *r)
{
	return r->status >= 500 && r->status != STATUS_TIMEOUT &&
	    fwd_is_repeatable(r) && !r->head_sent &&
	    r->maybe_run_count + 1 < r->max_attempts;
}

void
fwd_on_head(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const struct node_call_event *event, struct node_effects *fx)
{
	const char *fault;

	r->state = FWD_HEAD_RECEIVED;
	if (r->first_byte_us == 0)
		r->first_byte_us = now_us;
	if (r->head_sent) { /* a stream that goes on: its head is told */
		struct gw_endpoint_response again;

		f->codec->read_endpoint_response(&again, event, fx);
		if (again.not_run)
			give_up_call(f, r, now_us, PLACE_STATE_MISMATCH, true,
			    "resume-refused", fx);
		else if (!is_success(event->status) || !again.is_signed)
			give_up_call(f, r, now_us, PLACE_ENDPOINT_FAILED, false,
			    "resume-failed", fx);
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
	fault = find_fault(r);
	if (fault != NULL)
		give_up_call(
		    f, r, now_us, PLACE_ENDPOINT_FAILED, false, fault, fx);
	else if (r->response.not_run)
		give_up_call(f, r, now_us,
		    r->response.has_state_mismatch ? PLACE_STATE_MISMATCH
						   : PLACE_ENDPOINT_FULL,
		    true,
		    r->response.has_state_mismatch ? fwd_fault_endpoint_lacks
						   : "endpoint-full",
		    fx);
	else if (is_worth_repeating(r))
		give_up_call(f, r, now_us, PLACE_ENDPOINT_FAILED, false,
		    "endpoint-failed", fx);
}

static void
note_first(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx)
{
	if (r->first_byte_reported)
		return;
	r->first_byte_reported = true;
	r->first_byte_us = now_us;
	hist_add(&f->stats.first_byte_us, now_us - r->started_us);
	if (r->decoded.model != NULL)
		fwd_report_outcome(f, r, PLACE_FIRST_BYTE, fx);
}

/* Pass on whole events and remember the last one's id. */
static void
pass_events(struct fwd_request *r, struct node_effects *fx)
{
	size_t whole = fwd_events_complete_len(r->unsent.data, r->unsent.len);
	char *id;

	if (whole == 0)
		return;
	tell_data(r, r->unsent.data, whole, fx);
	id = fwd_events_last_id(r->unsent.data, whole);
	if (id != NULL) {
		free(r->last_event_id);
		r->last_event_id = id;
	}
	buf_consume(&r->unsent, whole);
}

/* The answer ends here without its end. */
static void
break_off(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const char *fault, struct node_effects *fx)
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

void
fwd_on_data(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_bytes data, struct node_effects *fx)
{
	note_first(f, r, now_us, fx);
	if (r->kind == GW_STREAM && is_success(r->status) && !r->resumable) {
		tell_data(r, data.data, data.len, fx);
		return;
	}
	buf_append(&r->unsent, data.data, data.len);
	if (r->kind == GW_STREAM && is_success(r->status)) {
		pass_events(r, fx);
		if (r->unsent.len > HELD_MAX_BYTES)
			break_off(f, r, now_us, "event-without-end", fx);
	} else if (r->head_sent || r->unsent.len > HELD_MAX_BYTES) {
		tell_data(r, r->unsent.data, r->unsent.len, fx);
		buf_clear(&r->unsent);
	}
}

void
fwd_on_end(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx)
{
	struct node_bytes rest = {r->unsent.data, r->unsent.len};
	struct node_effect *end;
	bool failed = r->status >= 500 && r->status != STATUS_TIMEOUT;

	r->maybe_run_count++;
	fwd_report_outcome(f, r,
	    failed			      ? PLACE_ENDPOINT_FAILED
		: r->status == STATUS_TIMEOUT ? PLACE_ABANDONED
					      : PLACE_SERVED,
	    fx);
	if (!r->head_sent) {
		tell_head(r, rest, false, fx);
	} else {
		tell_data(r, rest.data, rest.len, fx);
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
    struct node_effects *fx)
{
	break_off(f, r, now_us, "answer-broke-off", fx);
}
