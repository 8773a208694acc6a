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
 * The life of a caller's request at its entry instance: grant, attempts,
 * stream, answer. Each attempt is not sent, maybe sent or answered; "not
 * run" is told only when no attempt can have reached an endpoint.
 */
struct route;

/* How long a grant may wait for its first byte to leave, from the ask. */
#define ROUTE_GRANT_VALID_US (2000 * 1000ULL)

/* What the route needs of its node. */
struct route_ops {
	/* Ask an owner for a grant; ask->request is the ask's own id. */
	void (*ask)(
	    void *ctx, const Wire__GrantAsk *ask, struct node_effects *fx);
	/* Withdraw an ask or report the end of a granted one. */
	void (*done)(
	    void *ctx, const Wire__GrantDone *done, struct node_effects *fx);
	/*
	 * Propose the start of a claim; false when no leader is known.
	 * proposal: its id, by which route_on_claim_applied() answers.
	 */
	bool (*claim_start)(void *ctx, const struct claim_start *start,
	    uint64_t expires_us, uint64_t *proposal, struct node_effects *fx);
	/* Propose the end of a claim; told by route_on_claim_end_applied(). */
	void (*claim_end)(void *ctx, const struct claim_end *end,
	    uint64_t expires_us, struct node_effects *fx);
	/* What is known here of a key, also without a leader; or NULL. */
	const struct claim *(*claim_find)(
	    void *ctx, const char *team, const char *key);
	/* A fresh id for a call. */
	uint64_t (*next_call)(void *ctx);
	/* Whether a call may still leave now, and until when. */
	uint64_t (*act_until_us)(void *ctx);
};

struct route_options {
	uint32_t instance;
	uint64_t incarnation;
};

struct route *route_create(const struct route_options *options,
    const struct route_ops *ops, void *ctx);
void route_destroy(struct route *r);

/* A request that was admitted: its team, document and target are known. */
struct route_request {
	uint64_t request;
	struct doc *doc; /* the route takes its own reference */
	const struct doc_kind *kind;
	const struct doc_adapter *adapter; /* NULL for a service call */
	const char *version;
	const struct doc_service *service; /* NULL for a model request */
	const struct doc_call *call;
	const char *method;
	const char *path; /* below the service */
	const char *idempotency_key; /* NULL without */
	const char *content_type; /* of the body, NULL without */
	struct node_bytes body;
	/* model requests: */
	const char *prompt;
	uint32_t prompt_tokens; /* estimate */
	bool is_chat, is_stream;
	uint32_t max_tokens;
	uint64_t prefix;
	uint64_t deadline_us;
};

void route_start_request(struct route *r, uint64_t now_us,
    const struct route_request *request, struct node_effects *fx);

/* An owner's answer; one for an ask that is gone gives the grant back. */
void route_on_grant_reply(struct route *r, uint64_t now_us,
    const Wire__GrantReply *reply, struct node_effects *fx);

/* The owner of an open ask is gone: ask again, or note its loss. */
void route_on_owner_lost(
    struct route *r, uint64_t now_us, uint64_t ask, struct node_effects *fx);

/* Progress of a call; false when it is not one of the route's. */
bool route_on_call_event(struct route *r, uint64_t now_us,
    const struct node_call_event *event, struct node_effects *fx);

void route_on_caller_gone(struct route *r, uint64_t now_us, uint64_t request,
    struct node_effects *fx);

/*
 * A claim start of this instance was applied, or could not be proposed.
 *
 * again: a copy that was sent again; the claim is older than it.
 */
void route_on_claim_applied(struct route *r, uint64_t now_us, uint64_t proposal,
    enum claim_verdict verdict, const struct claim *claim, bool again,
    struct node_effects *fx);
void route_on_claim_not_applied(struct route *r, uint64_t now_us,
    uint64_t proposal, struct node_effects *fx);

/* Is there still a request whose claim was proposed so? */
bool route_claim_is_open(const struct route *r, uint64_t proposal);

/* Claims have ended: resends that wait for one are answered or claim anew. */
void route_on_claims_ended(
    struct route *r, uint64_t now_us, struct node_effects *fx);

/* The end this instance proposed for a claim was applied, or not in time. */
void route_on_claim_end_applied(struct route *r, uint64_t now_us,
    uint64_t proposal, bool recorded, struct node_effects *fx);

void route_tick(struct route *r, uint64_t now_us, struct node_effects *fx);
uint64_t route_next_us(const struct route *r);

/* Open asks and grants, for touches of their owners. */
struct route_open_ask {
	uint64_t ask;
	const char *endpoint; /* NULL while not granted */
	const char *adapter;
	const char *team;
	const char *run_id; /* its name towards the endpoint */
	uint64_t asked_us;
};
size_t route_open_ask_count(const struct route *r);
void route_open_ask_at(
    const struct route *r, size_t i, struct route_open_ask *out);

/* The ask again, as first sent but for the time left; false if unknown. */
bool route_fill_ask(
    const struct route *r, uint64_t now_us, uint64_t ask, Wire__GrantAsk *out);

size_t route_request_count(const struct route *r);

/* Counters and histograms of a team and kind, in microseconds. */
struct route_class_stats {
	char *team, *kind;
	uint64_t asked, delivered, refused, failed, unknown, caller_gone,
	    retried;
	uint64_t replayed; /* answered from the record of an earlier call */
	uint64_t tokens_out;
	double delivered_weight;
	struct hist wait_us, stall_us, first_token_us, token_gap_us, total_us;
};
size_t route_stats_count(const struct route *r);
const struct route_class_stats *route_stats_at(const struct route *r, size_t i);

/* ---- answers without a request's life ---------------------------------- */

enum route_outcome {
	ROUTE_NOT_RUN,
	ROUTE_UNKNOWN,
	ROUTE_DONE
};

struct route_error {
	int status;
	const char *code; /* stable, docs/PROTOCOL.md */
	const char *message;
	enum route_outcome outcome;
	uint32_t retry_after_ms; /* 0: no header */
};

#define ROUTE_CONTENT_TYPE_JSON "application/json"

/* Answer a request with an error body and its headers. */
void route_reply_error(
    struct node_effects *fx, uint64_t request, const struct route_error *error);

/* Answer with a JSON body. */
void route_reply_json(
    struct node_effects *fx, uint64_t request, int status, const char *json);

#ifdef __cplusplus
}
#endif

#endif
