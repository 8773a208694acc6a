#ifndef MP_ROUTE_ROUTE_INTERNAL_H
#define MP_ROUTE_ROUTE_INTERNAL_H

#include "route/route.h"
#include "route/route_sse.h"
#include "util/map.h"

/* Shared by the files of the router, see route.h. */

#define ROUTE_AVOID_MAX	   4 /* endpoints that an ask excludes */
#define ROUTE_ATTEMPTS_MAX 6

/* Maximum silence within a model stream. */
#define ROUTE_STREAM_TIMEOUT_US (3000 * 1000ULL)
/* Time for the first byte of a stream that is resumed after silence. */
#define ROUTE_RECONNECT_TIMEOUT_US (1000 * 1000ULL)
/* Time to record a claimed call's answer before the caller receives it. */
#define ROUTE_RECORD_TIMEOUT_US (2000 * 1000ULL)
/*
 * Time for a claimed call to end, and its end to be recorded, without a caller.
 */
#define ROUTE_DETACHED_TIMEOUT_US (30000 * 1000ULL)

/* The retry budget grows by the ratio per admitted request, up to the burst. */
#define ROUTE_RETRY_RATIO 0.1
#define ROUTE_RETRY_BURST 10.0

/* Retry-After if the owner has given none. */
#define ROUTE_DEFAULT_RETRY_AFTER_MS 1000U

enum route_state {
	ROUTE_WAIT_CLAIM, /* its claim start is proposed */
	ROUTE_WAIT_EARLIER_CALL, /* a call of the same key runs elsewhere */
	ROUTE_WAIT_GRANT,
	ROUTE_CALLING,
	ROUTE_WAIT_RECORD /* answered; the claim's end is proposed */
};

/* A request in progress: an entry of the router's table. */
struct route_entry {
	uint64_t request;
	enum route_state state;
	bool replied; /* final reply sent, or the caller is gone */
	bool head_sent; /* of a streamed reply */
	bool may_have_run;

	struct doc *doc;
	const struct doc_kind *kind;
	const struct doc_adapter *adapter;
	const struct doc_service *service;
	const struct doc_call *call_rule;
	char *label; /* "adapter@version", for the caller */
	char *engine_key; /* "team/adapter@version"; NULL for a service */
	char *run_id; /* id of the request at the endpoint */
	char *method, *path, *idempotency_key;
	struct buf body;
	char *content_type; /* of the body */
	char *answer_type; /* content type of a service's answer */
	char *prompt;
	bool is_chat, is_stream;
	uint32_t max_tokens;
	uint64_t prefix;
	uint64_t started_us, deadline_us;

	uint64_t ask; /* id of the open ask or grant; 0: none */
	uint64_t asked_us;
	unsigned attempt;
	uint32_t handed_to; /* instance to ask, named by an owner; 0: none */
	char *endpoint, *address;
	uint64_t fence; /* of the grant, sent to the endpoint */
	uint64_t send_by_us; /* latest time to send the call */
	char *avoid[ROUTE_AVOID_MAX];
	size_t navoid;
	uint64_t wait_us; /* until the first grant */
	uint64_t stall_us; /* for loads, sum over the grants */

	uint64_t call; /* id of the HTTP call; 0: none */
	uint64_t sent_us, first_us, last_text_us;
	bool resumed; /* the stream of this grant was resumed */
	int status;
	bool refused_for_load; /* 429 or 503 with Retry-After */
	struct route_sse sse;
	struct buf answer; /* a model's text or a service's body */
	uint32_t tokens; /* received; offset of the next ones */
	uint32_t prompt_tokens;
	char *finish_reason;

	uint64_t proposal; /* id of the claim start; 0: none */
	bool claimed; /* the claim is this request's */
	struct route_class_stats *stats;
};

struct route {
	struct route_options options;
	const struct route_ops *ops;
	void *ctx;
	struct map *by_request;
	struct map *by_ask;
	struct map *by_call;
	struct map *by_proposal;
	struct map *stats;
	uint64_t last_ask;
	double retry_budget; /* retries that may be made */
	size_t waiting_earlier_count; /* in ROUTE_WAIT_EARLIER_CALL */
	uint64_t end_us; /* of all requests, for a stop; UINT64_MAX: none */
	uint64_t next_us; /* when route_tick() is due */
};

/* ---- route.c ---- */
/* Removes and frees an entry, whose call and claim must have ended. */
void route_remove_entry(struct route *r, struct route_entry *e);
void route_fail(struct route *r, struct route_entry *e,
    const struct route_error *error, struct node_effects *fx);
void route_schedule_wakeup(struct route *r, uint64_t when_us);
bool route_take_retry(struct route *r);
void route_mark_may_have_run(struct route_entry *e);

/* ---- route_attempt.c: asks, grants and retries ---- */
void route_send_ask(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx);
void route_finish_ask(struct route *r, uint64_t now_us, struct route_entry *e,
    Wire__DoneOutcome outcome, struct node_effects *fx);
void route_avoid_endpoint(struct route_entry *e);
void route_cancel_run(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx);
void route_retry_elsewhere(struct route *r, uint64_t now_us,
    struct route_entry *e, const struct route_error *error,
    struct node_effects *fx);

/* ---- route_model.c ---- */
/*
 * Calls the engine for the tokens that are still missing.
 *
 * first_us: time for the first byte; 0: ROUTE_STREAM_TIMEOUT_US.
 */
void route_model_send(struct route *r, uint64_t now_us, struct route_entry *e,
    bool fresh, uint64_t first_us, struct node_effects *fx);
void route_model_on_event(struct route *r, uint64_t now_us,
    struct route_entry *e, const struct node_call_event *event,
    struct node_effects *fx);

/* ---- route_service.c ---- */
void route_service_send(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx);
void route_service_on_event(struct route *r, uint64_t now_us,
    struct route_entry *e, const struct node_call_event *event,
    struct node_effects *fx);
bool route_service_is_repeatable(const struct route_entry *e);

/* ---- route_claim.c ---- */
void route_claim_propose_start(struct route *r, uint64_t now_us,
    struct route_entry *e, struct node_effects *fx);
void route_claim_reply_undecided(
    struct route *r, struct route_entry *e, struct node_effects *fx);
void route_claim_propose_end(struct route *r, uint64_t now_us,
    struct route_entry *e, enum claim_outcome kind, struct node_effects *fx);
/* Replies with the service's answer. recorded: the answer is recorded. */
void route_reply_service(
    struct route_entry *e, struct node_effects *fx, bool recorded);

#endif
