#ifndef MP_FORWARD_INTERNAL_H
#define MP_FORWARD_INTERNAL_H

#include "forward/forward.h"
#include "util/buf.h"
#include "util/byte_budget.h"
#include "util/map.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Shared by the files of the forwarder, see forward.h. */

#define US_PER_MS 1000ULL

/* Retry-After of refusals by the entry itself: a retry may soon succeed. */
#define FWD_RETRY_AFTER_MS 250u
/*
 * A granted request is sent within this time after the placer's decision or not
 * at all: the endpoint may have begun to leave since.
 */
#define FWD_SEND_TIMEOUT_US (1000 * US_PER_MS)

enum fwd_state {
	FWD_ASKED, /* waits for a grant */
	FWD_SENT, /* waits for the head of the response */
	FWD_HEAD_RECEIVED
};

/* The charge of a request to the quota of its account. */
enum fwd_charge {
	FWD_NOT_CHARGED,
	FWD_CHARGE_WAITS, /* for tokens */
	FWD_CHARGED, /* and not sent, or certainly not run */
	FWD_CHARGE_SPENT /* the request is sent */
};

/* Where in an event a stream is. */
struct fwd_event_state {
	bool is_in_event; /* the last one received has no end yet */
	bool is_in_line; /* and its last line has text */
};

/* A request in progress. */
struct fwd_request {
	uint64_t request; /* id from the listener */
	uint64_t ask; /* id of the open ask or grant; 0: none */
	uint64_t call; /* id of the HTTP call; 0: none */
	enum fwd_state state;
	struct node_effects *memory; /* of in and decoded */
	struct node_request in;
	struct gw_request decoded;
	enum gw_kind kind;
	bool resumable;
	char *route, *service;
	uint32_t priority, account_priority, max_attempts;
	uint64_t config_version;
	uint64_t started_us, deadline_us, caller_deadline_us, target_us;
	/* attempts */
	uint32_t retries; /* attempts after the first one */
	uint32_t maybe_run_count; /* endpoints that may have run it */
	char *avoid[PLACE_AVOID_MAX];
	size_t navoid;
	bool may_have_run;
	const char *last_fault; /* string constant, for the log */
	bool was_closed_by_endpoint; /* the last attempt; for the log */
	const char *refusal_reason; /* valid during the current step */
	uint64_t last_ask; /* for the log */
	uint32_t declined_grants;
	enum fwd_charge charge;
	uint64_t charged_tokens;
	char *endpoint; /* id of the granted one */
	uint64_t endpoint_born_ms; /* start of its process */
	uint64_t sent_us, first_byte_us, placed_us;
	/* the response */
	int status;
	bool first_byte_reported; /* to the placer */
	/* what the last response said, until the placer is told */
	bool limit_told;
	struct place_limit limit;
	bool head_sent; /* to the caller */
	struct node_effects *response_memory; /* of response */
	struct gw_endpoint_response response;
	bool has_length;
	uint64_t length;
	struct buf unsent; /* received, not sent to the caller */
	size_t budgeted_bytes; /* of unsent, as counted in the budget */
	struct fwd_event_state event_state; /* of this attempt's stream */
	char *last_event_id; /* of the last event sent; NULL: none */
};

struct forward {
	const struct gw_codec *codec;
	const struct forward_ops *ops;
	void *ctx;
	uint64_t entry;
	char *data_centre;
	struct map *by_request, *by_ask, *by_call;
	uint64_t last_ask;
	uint64_t end_us; /* of all requests, for a stop; UINT64_MAX: none */
	bool refuses_long; /* see forward_refuse_long() */
	struct forward_stats stats;
	struct map *by_account; /* struct forward_account by name */
	struct byte_budget *buffered; /* by all requests; NULL: no limit */
	struct fwd_naming *naming;
};

/* ---- forward_naming.c ---- */
struct fwd_naming *fwd_naming_create(void);
void fwd_naming_destroy(struct fwd_naming *naming);
/* Whether the last answer of the endpoint's process named no attempt. */
bool fwd_naming_is_lacking(
    const struct fwd_naming *naming, const char *endpoint, uint64_t born_ms);
/* An answer of the endpoint's process to a request with an attempt. */
void fwd_naming_record(struct fwd_naming *naming, const char *endpoint,
    uint64_t born_ms, bool is_named);

/* ---- forward.c ---- */
/* Whether the request may be sent again after it may have run. */
bool fwd_is_repeatable(const struct fwd_request *r);
extern const char fwd_fault_endpoint_lacks[]; /* for fwd_retry_or_refuse() */
/* Asks the placer for a grant, under the id of the open ask if there is one. */
void fwd_send_ask(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx);
/*
 * Asks for another grant after a failed attempt, or refuses the request if it
 * may not be sent again. r may be freed.
 *
 * not_run: the attempt has certainly not run the request.
 * fault: string constant for the log.
 */
void fwd_retry_or_refuse(struct forward *f, struct fwd_request *r,
    uint64_t now_us, bool not_run, const char *fault, struct node_effects *fx);
/*
 * Refuses the request if a part of its prompt is quarantined, or is suspect and
 * the request was sent before; false: neither. Frees r if it returns true.
 */
bool fwd_refuse_if_quarantined(struct forward *f, struct fwd_request *r,
    uint64_t now_us, bool was_sent, struct node_effects *fx);
/* Refuses the request, or aborts a response whose head is sent. Frees r. */
void fwd_refuse(struct forward *f, struct fwd_request *r, uint64_t now_us,
    enum gw_refusal refusal, const char *reason, uint32_t retry_after_ms,
    struct node_effects *fx);
/* Refuses the request as "not run" or, if it may have run, as failed. */
void fwd_refuse_unserved(struct forward *f, struct fwd_request *r,
    uint64_t now_us, const char *reason, uint32_t retry_after_ms,
    struct node_effects *fx);
/*
 * Reports the outcome of the open ask, if any, to the placer. Every outcome
 * other than PLACE_FIRST_BYTE closes the ask.
 */
void fwd_report_outcome(struct forward *f, struct fwd_request *r,
    enum place_outcome outcome, struct node_effects *fx);
/* Counts what the request buffers, after each change of r->unsent. */
void fwd_count_unsent(struct forward *f, struct fwd_request *r);
/* Cancels the HTTP call, if one is open. */
void fwd_cancel_call(
    struct forward *f, struct fwd_request *r, struct node_effects *fx);
/* Logs and frees a request. outcome: for the log. */
void fwd_finish(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const char *outcome, struct node_effects *fx);

/* ---- forward_check.c ---- */
/*
 * Whether the granted request may be sent now. If not, it asks for another
 * grant or is refused, which frees r.
 */
bool fwd_may_send(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const struct forward_grant *grant, struct node_effects *fx);

/* ---- forward_account.c ---- */
/* Counts a finished request for its account, if it has one. */
void fwd_count_account(struct forward *f, const struct fwd_request *r,
    uint64_t now_us, const char *outcome);
/* Returns the account's name as it can stand in a JSON text; "": none. */
const char *fwd_account_text(
    const struct fwd_request *r, struct node_effects *fx);
void fwd_accounts_free(struct forward *f);
/* ---- forward_charge.c ---- */
/* Charges a request that is not charged; false: it waits for tokens. */
bool fwd_charge_request(struct forward *f, struct fwd_request *r);
/* The request is sent. */
void fwd_spend_charge(struct fwd_request *r);
/* An attempt has ended. A request that has not run keeps its charge. */
void fwd_end_attempt_charge(struct fwd_request *r, bool not_run);
/* Gives back the charge of a request that has not run, at its end. */
void fwd_refund_charge(struct forward *f, struct fwd_request *r);

/* ---- forward_stop.c ---- */
/*
 * Refuses a new request that would not end before this entry exits; false:
 * there is no such reason. Frees r if it returns true.
 */
bool fwd_refuse_if_too_long(struct forward *f, struct fwd_request *r,
    uint64_t now_us, struct node_effects *fx);

/* ---- forward_answer.c: progress of the endpoint's response ---- */
/* Each may free r. */
void fwd_on_head(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const struct node_call_event *event, struct node_effects *fx);
void fwd_on_data(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_bytes data, struct node_effects *fx);
void fwd_on_end(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx);
void fwd_on_broken(struct forward *f, struct fwd_request *r, uint64_t now_us,
    bool is_closed_by_endpoint, struct node_effects *fx);

/* ---- forward_events.c ---- */
/* Returns the length of the complete events at the start of data. */
size_t fwd_events_complete_len(const char *data, size_t len);
/* Follows a stream over the next bytes received. */
void fwd_events_follow(
    struct fwd_event_state *state, const char *data, size_t len);
/*
 * Returns the id of the last event that has one, which the caller frees; NULL:
 * no event has an id. data: complete events.
 */
char *fwd_events_last_id(const char *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
