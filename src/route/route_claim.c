#include <string.h>
#include <xxhash.h>

#include "route/route_internal.h"

/*
 * Claims: at-most-once calls. A call that is not idempotent and has a key runs
 * only after a claim of the key by this entry is applied; its end is recorded
 * with the claim. A resend of the key is answered from the record, or waits
 * for the claim's end.
 */

static void
format_call_name(const struct route_entry *e, struct buf *out)
{
	buf_printf(out, "%s %s", e->method, e->call_rule->path);
}

/* Proposes to record how the claimed call ended. */
void
route_claim_propose_end(struct route *r, uint64_t now_us, struct route_entry *e,
    enum claim_outcome kind, struct node_effects *fx)
{
	struct claim_end end = {0};

	end.team = e->doc->team;
	end.key = e->idempotency_key;
	end.instance = r->options.instance;
	end.incarnation = r->options.incarnation;
	end.proposal = e->proposal;
	end.outcome = kind;
	if (kind == CLAIM_END_ANSWERED) {
		end.status = e->status;
		end.content_type = e->answer_type;
		end.answer = e->answer.data == NULL ? "" : e->answer.data;
		end.answer_len = e->answer.len;
	}
	r->ops->claim_end(r->ctx, &end, now_us + ROUTE_DETACHED_TIMEOUT_US, fx);
}

/* Replies to a resend from the recorded claim. */
static void
reply_recorded(struct route *r, struct route_entry *e,
    const struct claim *claim, struct node_effects *fx)
{
	static const struct route_error unknown = {409, "outcome-unknown",
	    "an earlier call with this key may or may not have run; it is "
	    "never run again",
	    ROUTE_UNKNOWN, 0};
	struct node_reply *reply;

	if (claim->state == CLAIM_STATE_UNKNOWN) {
		route_fail(r, e, &unknown, fx);
		route_remove_entry(r, e);
		return;
	}
	reply = &node_effects_add(fx, NODE_FX_REPLY)->u.reply;
	reply->request = e->request;
	reply->status = claim->status;
	reply->content_type = node_effects_printf(fx, "%s",
	    claim->content_type == NULL ? ROUTE_CONTENT_TYPE_JSON
					: claim->content_type);
	reply->headers[0].name = "mulberrypath-outcome";
	reply->headers[0].value = "done";
	reply->headers[1].name = "mulberrypath-replayed";
	reply->headers[1].value = "yes";
	reply->nheaders = 2;
	reply->body.data =
	    node_effects_copy(fx, claim->answer, claim->answer_len);
	reply->body.len = claim->answer_len;
	e->replied = true;
	e->stats->replayed++;
	route_remove_entry(r, e);
}

/*
 * Replies to a request whose claim start was not applied: with what this
 * instance knows of the key. Without a recorded end of an earlier call the
 * request is refused, since no leader has decided that it may run.
 */
void
route_claim_reply_undecided(
    struct route *r, struct route_entry *e, struct node_effects *fx)
{
	static const struct route_error unavailable = {503, "no-quorum",
	    "calls that may not be repeated are refused without a leader",
	    ROUTE_NOT_RUN, ROUTE_DEFAULT_RETRY_AFTER_MS};
	static const struct route_error running = {503, "still-running",
	    "an earlier call with this key is not known to have ended",
	    ROUTE_UNKNOWN, ROUTE_DEFAULT_RETRY_AFTER_MS};
	const struct claim *claim =
	    r->ops->claim_find(r->ctx, e->doc->team, e->idempotency_key);

	if (claim != NULL && claim->state != CLAIM_RUNNING) {
		reply_recorded(r, e, claim, fx);
		return;
	}
	route_fail(r, e, claim == NULL ? &unavailable : &running, fx);
	route_remove_entry(r, e);
}

void
route_claim_propose_start(struct route *r, uint64_t now_us,
    struct route_entry *e, struct node_effects *fx)
{
	struct claim_start start = {0};
	struct buf call = {0};

	(void)now_us;
	format_call_name(e, &call);
	start.team = e->doc->team;
	start.key = e->idempotency_key;
	start.body_hash =
	    XXH64(e->body.data == NULL ? "" : e->body.data, e->body.len, 0);
	start.service = e->service->name;
	start.call = call.data;
	e->state = ROUTE_WAIT_CLAIM;
	if (!r->ops->claim_start(
		r->ctx, &start, e->deadline_us, &e->proposal, fx)) {
		e->proposal = 0;
		route_claim_reply_undecided(r, e, fx);
	} else {
		map_set_u64(r->by_proposal, e->proposal, e);
	}
	buf_free(&call);
}

static void
handle_repeated(struct route *r, struct route_entry *e,
    const struct claim *claim, struct node_effects *fx)
{
	if (claim->state != CLAIM_RUNNING) {
		reply_recorded(r, e, claim, fx);
		return;
	}
	e->state = ROUTE_WAIT_EARLIER_CALL;
	r->waiting_earlier_count++;
}

/* Ends a claim that no request waits for, to free the key. */
static void
release_unwanted(struct route *r, uint64_t now_us, const struct claim *claim,
    struct node_effects *fx)
{
	struct claim_end end = claim_make_end(claim, CLAIM_END_NOT_RUN);

	r->ops->claim_end(r->ctx, &end, now_us + ROUTE_DETACHED_TIMEOUT_US, fx);
}

void
route_on_claim_applied(struct route *r, uint64_t now_us, uint64_t proposal,
    enum claim_verdict verdict, const struct claim *claim, bool again,
    struct node_effects *fx)
{
	static const struct route_error mismatch = {422, "key-reused",
	    "this idempotency key was used with another call or body",
	    ROUTE_NOT_RUN, 0};
	struct route_entry *e = map_get_u64(r->by_proposal, proposal);

	if (e == NULL) {
		/*
		 * A repeated application: the request may have run since the
		 * first one, so only the end that it proposed is valid.
		 */
		if (verdict == CLAIM_GRANTED && !again)
			release_unwanted(r, now_us, claim, fx);
		return;
	}
	if (e->state != ROUTE_WAIT_CLAIM)
		return; /* the same proposal, applied again */
	switch (verdict) {
	case CLAIM_GRANTED:
		e->claimed = true;
		route_send_ask(r, now_us, e, fx);
		break;
	case CLAIM_DUPLICATE:
		handle_repeated(r, e, claim, fx);
		break;
	case CLAIM_MISMATCH:
		route_fail(r, e, &mismatch, fx);
		route_remove_entry(r, e);
		break;
	}
}

void
route_on_claim_not_applied(struct route *r, uint64_t now_us, uint64_t proposal,
    struct node_effects *fx)
{
	struct route_entry *e = map_get_u64(r->by_proposal, proposal);

	(void)now_us;
	if (e == NULL || e->state != ROUTE_WAIT_CLAIM)
		return;
	route_claim_reply_undecided(r, e, fx);
}

bool
route_claim_is_open(const struct route *r, uint64_t proposal)
{
	return map_get_u64(r->by_proposal, proposal) != NULL;
}

void
route_on_claims_ended(struct route *r, uint64_t now_us, struct node_effects *fx)
{
	size_t i = map_count(r->by_request);
	const struct claim *claim;
	struct route_entry *e;

	while (r->waiting_earlier_count > 0 && i-- > 0) {
		e = map_at(r->by_request, i);
		if (e->state != ROUTE_WAIT_EARLIER_CALL)
			continue;
		claim = r->ops->claim_find(
		    r->ctx, e->doc->team, e->idempotency_key);
		if (claim != NULL && claim->state == CLAIM_RUNNING)
			continue;
		if (claim != NULL) {
			reply_recorded(r, e, claim, fx);
			continue;
		}
		r->waiting_earlier_count--;
		map_remove_u64(r->by_proposal, e->proposal);
		route_claim_propose_start(r, now_us, e, fx);
	}
}

void
route_on_claim_end_applied(struct route *r, uint64_t now_us, uint64_t proposal,
    bool recorded, struct node_effects *fx)
{
	struct route_entry *e = map_get_u64(r->by_proposal, proposal);

	(void)now_us;
	if (e == NULL || e->state != ROUTE_WAIT_RECORD)
		return;
	if (!e->replied)
		route_reply_service(e, fx, recorded);
	route_remove_entry(r, e);
}
