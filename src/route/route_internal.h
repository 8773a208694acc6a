#ifndef MP_ROUTE_ROUTE_INTERNAL_H
#define MP_ROUTE_ROUTE_INTERNAL_H

#include "route/route.h"
#include "route/route_sse.h"
#include "util/map.h"

#define ROUTE_AVOID_MAX		4
#define ROUTE_ATTEMPTS_MAX	6
#define ROUTE_STREAM_TIMEOUT_US (3000 * 1000ULL) /* of a model stream */
#define ROUTE_RECONNECT_TIMEOUT_US                                             \
	(1000 * 1000ULL) /* to answer after silence */
#define ROUTE_RECORD_TIMEOUT_US (2000 * 1000ULL) /* to record an answer */
#define ROUTE_DETACHED_TIMEOUT_US                                              \
	(30000 * 1000ULL) /* after the caller's answer */
#define ROUTE_RETRY_RATIO 0.1 /* retries an admitted request earns */
#define ROUTE_RETRY_BURST 10.0
#define ROUTE_DEFAULT_RETRY_AFTER_MS                                           \
	1000U /* to come back, when nothing better */

enum route_state {
	ROUTE_WAIT_CLAIM, /* its claim start is under way */
	ROUTE_WAIT_EARLIER_CALL, /* another entry runs the call of this key */
	ROUTE_WAIT_GRANT,
	ROUTE_CALLING,
	ROUTE_WAIT_RECORD /* answered; the claim's end is under way */
};

/* One request in the table. */
struct route_entry {
	uint64_t request;
	enum route_state state;
	bool replied; /* the caller has its final answer, or is gone */
	bool head_sent; /* the head of a streamed answer is out */
	bool may_have_run;

	struct doc *doc;
	const struct doc_kind *kind;
	const struct doc_adapter *adapter;
	const struct doc_service *service;
	const struct doc_call *call_rule;
	char *label; /* "adapter@version", for the caller */
	char *engine_key; /* "team/adapter@version"; NULL for a service */
	char *run_id; /* names the run towards the endpoint */
	char *method, *path, *idempotency_key;
	struct buf body;
	char *content_type; /* of the body */
	char *answer_type; /* content type of a service's answer */
	char *prompt;
	bool is_chat, is_stream;
	uint32_t max_tokens;
	uint64_t prefix;
	uint64_t started_us, deadline_us;

	uint64_t ask; /* 0 while none is open */
	uint64_t asked_us;
	unsigned attempt;
	uint32_t handed_to; /* the owner to which an owner handed it */
	char *endpoint, *address;
	uint64_t fence;
	uint64_t send_by_us; /* no byte of the call leaves later */
	char *avoid[ROUTE_AVOID_MAX];
	size_t navoid;
	uint64_t wait_us, stall_us;

	uint64_t call; /* 0 while none runs */
	uint64_t sent_us, first_us, last_text_us;
	bool resumed; /* this grant's stream was already resumed once */
	int status;
	bool refused_for_load; /* 429 or 503 with Retry-After */
	struct route_sse sse;
	struct buf answer; /* text of a model, body of a service */
	uint32_t tokens; /* taken so far, so the next offset */
	uint32_t prompt_tokens;
	char *finish_reason;

	uint64_t proposal; /* of its claim start */
	bool claimed; /* this entry runs the claimed call */
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
	double retry_budget;
	size_t waiting_earlier_count;
	uint64_t next_us;
};

/* route.c */
void route_remove_entry(struct route *r, struct route_entry *e);
void route_fail(struct route *r, struct route_entry *e,
    const struct route_error *error, struct node_effects *fx);
void route_schedule_wakeup(struct route *r, uint64_t when_us);
bool route_take_retry(struct route *r);
void route_mark_may_have_run(struct route_entry *e);

/* route_attempt.c */
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

/* route_model.c */
/* first_us: silence borne before its first byte; 0: as between tokens. */
void route_model_send(struct route *r, uint64_t now_us, struct route_entry *e,
    bool fresh, uint64_t first_us, struct node_effects *fx);
void route_model_on_event(struct route *r, uint64_t now_us,
    struct route_entry *e, const struct node_call_event *event,
    struct node_effects *fx);

/* route_service.c */
void route_service_send(struct route *r, uint64_t now_us, struct route_entry *e,
    struct node_effects *fx);
void route_service_on_event(struct route *r, uint64_t now_us,
    struct route_entry *e, const struct node_call_event *event,
    struct node_effects *fx);
bool route_service_is_repeatable(const struct route_entry *e);

/* route_claim.c */
void route_claim_propose_start(struct route *r, uint64_t now_us,
    struct route_entry *e, struct node_effects *fx);
void route_claim_reply_undecided(
    struct route *r, struct route_entry *e, struct node_effects *fx);
void route_claim_propose_end(struct route *r, uint64_t now_us,
    struct route_entry *e, enum claim_end_kind kind, struct node_effects *fx);
void route_reply_service(
    struct route_entry *e, struct node_effects *fx, bool recorded);

#endif
