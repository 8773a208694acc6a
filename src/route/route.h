#ifndef MP_ROUTE_ROUTE_H
#define MP_ROUTE_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "claim/claim.h"
#include "doc/doc.h"
#include "mulberrypath/node.h"
#include "util/hist.h"
#include "wire/peer.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Routing of callers' requests at their entry, the instance that received
 * them. For each request the entry asks an owner, an instance that issues
 * grants for the endpoints it owns, calls the granted endpoint and replies with
 * its answer or stream, in several attempts if needed.
 *
 * Each attempt was not sent, may have been sent, or was answered. A caller
 * receives "not run" only if no attempt can have reached an endpoint.
 *
 * A call that is not idempotent and has an idempotency key is claimed: the
 * cluster first records a claim of the key for this entry, and the entry's
 * answer is recorded with the claim, so that a resend is answered from the
 * record and not run again.
 *
 * Pure: time and events come in, effects go out through node_effects. Times
 * are microseconds of the node's clock.
 */
struct route;

/* Maximum time from an ask until the call that its grant allows is sent. */
#define ROUTE_GRANT_VALID_US (2000 * 1000ULL)

/* Functions of the node that routes. */
struct route_ops {
	/* Ask an owner for a grant. ask->request is the id of the ask. */
	void (*ask)(
	    void *ctx, const Wire__GrantAsk *ask, struct node_effects *fx);
	/* Withdraw an ask, or report the outcome of a granted one. */
	void (*done)(
	    void *ctx, const Wire__GrantDone *done, struct node_effects *fx);
	/*
	 * Propose the start of a claim; false: no leader is known.
	 * proposal: set to the id that route_on_claim_applied() or
	 * route_on_claim_not_applied() receives.
	 */
	bool (*claim_start)(void *ctx, const struct claim_start *start,
	    uint64_t expires_us, uint64_t *proposal, struct node_effects *fx);
	/* Propose the end of a claim; see route_on_claim_end_applied(). */
	void (*claim_end)(void *ctx, const struct claim_end *end,
	    uint64_t expires_us, struct node_effects *fx);
	/*
	 * Return the claim of a key as known to this instance, also if there is
	 * no leader; NULL: none is known.
	 */
	const struct claim *(*claim_find)(
	    void *ctx, const char *team, const char *key);
	/* Return an unused id for an HTTP call; not 0. */
	uint64_t (*next_call)(void *ctx);
	/*
	 * Return the time until which this instance may send calls; a time in
	 * the past: it may not.
	 */
	uint64_t (*act_until_us)(void *ctx);
};

/* Identity of this process, part of run ids and claims. */
struct route_options {
	uint32_t instance; /* id */
	uint64_t incarnation; /* of the instance's process */
};

/* Creates a router. The ops and ctx must outlive it. */
struct route *route_create(const struct route_options *options,
    const struct route_ops *ops, void *ctx);
/* Frees the router and its requests without effects. NULL is allowed. */
void route_destroy(struct route *r);

/* An admitted request, whose team, document and target are known. */
struct route_request {
	uint64_t request; /* id from the listener */
	struct doc *doc; /* the router takes a reference of its own */
	const struct doc_kind *kind;
	const struct doc_adapter *adapter; /* NULL for a service call */
	const char *version; /* of the adapter */
	const struct doc_service *service; /* NULL for a model request */
	const struct doc_call *call; /* NULL for a model request */
	const char *method;
	const char *path; /* relative to the service */
	const char *idempotency_key; /* NULL: none */
	const char *content_type; /* of the body; NULL: not given */
	struct node_bytes body;
	/* model requests: */
	const char *prompt;
	uint32_t prompt_tokens; /* estimated */
	bool is_chat, is_stream;
	uint32_t max_tokens;
	uint64_t prefix; /* hash of the start of the prompt */
	uint64_t deadline_us;
};

/*
 * Begins a stop: every request ends by end_us, if necessary with an error, also
 * a stream that goes on.
 */
void route_begin_stop(struct route *r, uint64_t end_us);

/* Starts a request. All arguments are copied, other than the document. */
void route_start_request(struct route *r, uint64_t now_us,
    const struct route_request *request, struct node_effects *fx);

/*
 * Handles an owner's reply to an ask. A grant that no request waits for is
 * returned to the owner.
 */
void route_on_grant_reply(struct route *r, uint64_t now_us,
    const Wire__GrantReply *reply, struct node_effects *fx);

/* Withdraws an ask whose owner is lost before a reply, and asks again. */
void route_on_owner_lost(
    struct route *r, uint64_t now_us, uint64_t ask, struct node_effects *fx);

/* Handles progress of an HTTP call; false: not a call of this router. */
bool route_on_call_event(struct route *r, uint64_t now_us,
    const struct node_call_event *event, struct node_effects *fx);

/*
 * Handles the disconnection of a request's caller. A claimed call that runs
 * is continued, so that its answer is recorded.
 */
void route_on_caller_gone(struct route *r, uint64_t now_us, uint64_t request,
    struct node_effects *fx);

/*
 * Handles a claim start of this instance that was applied, or that could not
 * be (route_on_claim_not_applied()).
 *
 * again: the proposal was sent and applied before; the claim dates from then.
 */
void route_on_claim_applied(struct route *r, uint64_t now_us, uint64_t proposal,
    enum claim_verdict verdict, const struct claim *claim, bool again,
    struct node_effects *fx);
void route_on_claim_not_applied(struct route *r, uint64_t now_us,
    uint64_t proposal, struct node_effects *fx);

/* Whether a request is open whose claim start has this proposal id. */
bool route_claim_is_open(const struct route *r, uint64_t proposal);

/*
 * To be called after claims have ended: answers the resends that waited for
 * them, or proposes new claims.
 */
void route_on_claims_ended(
    struct route *r, uint64_t now_us, struct node_effects *fx);

/*
 * Handles the end that this instance proposed for a claim.
 *
 * recorded: the end was applied; false: not in time.
 */
void route_on_claim_end_applied(struct route *r, uint64_t now_us,
    uint64_t proposal, bool recorded, struct node_effects *fx);

/* Handles the requests whose deadline has passed. */
void route_tick(struct route *r, uint64_t now_us, struct node_effects *fx);
/* Returns when route_tick() is due; UINT64_MAX: no request is open. */
uint64_t route_next_us(const struct route *r);

/* An open ask or grant, for the keepalives sent to its owner. */
struct route_open_ask {
	uint64_t ask;
	const char *endpoint; /* NULL: no grant yet */
	const char *adapter;
	const char *team;
	const char *run_id; /* id of the request at the endpoint */
	uint64_t asked_us;
};
size_t route_open_ask_count(const struct route *r);
void route_open_ask_at(
    const struct route *r, size_t i, struct route_open_ask *out);

/*
 * Fills out with an ask to send again: the same ask with the time now left.
 * Returns false if the ask is unknown or granted. The strings of out are valid
 * until the request changes.
 */
bool route_fill_ask(
    const struct route *r, uint64_t now_us, uint64_t ask, Wire__GrantAsk *out);

/* Returns the number of open requests. */
size_t route_request_count(const struct route *r);

/* Totals since the start, of one team and kind of requests. */
struct route_class_stats {
	char *team, *kind;
	uint64_t asked, delivered, refused, failed, unknown, caller_gone,
	    retried;
	uint64_t replayed; /* answered from a recorded claim */
	uint64_t tokens_out;
	double delivered_weight; /* sum of the kind's weight */
	struct hist wait_us, stall_us, first_token_us, token_gap_us, total_us;
};
size_t route_stats_count(const struct route *r);
const struct route_class_stats *route_stats_at(const struct route *r, size_t i);

/* ---- replies to requests that are not routed ---------------------------- */

/* Whether the request has run, as the caller is informed. */
enum route_outcome {
	ROUTE_NOT_RUN,
	ROUTE_UNKNOWN, /* may have run */
	ROUTE_DONE
};

struct route_error {
	int status; /* HTTP */
	const char *code; /* stable, docs/PROTOCOL.md */
	const char *message;
	enum route_outcome outcome;
	uint32_t retry_after_ms; /* 0: no header */
};

#define ROUTE_CONTENT_TYPE_JSON "application/json"

/* Replies to a request with an error body and the headers for it. */
void route_reply_error(
    struct node_effects *fx, uint64_t request, const struct route_error *error);

/* Replies to a request with a JSON body. json is copied. */
void route_reply_json(
    struct node_effects *fx, uint64_t request, int status, const char *json);

#ifdef __cplusplus
}
#endif

#endif
