#ifndef MP_FORWARD_INTERNAL_H
#define MP_FORWARD_INTERNAL_H

#include "forward/forward.h"
#include "util/buf.h"
#include "util/map.h"

#ifdef __cplusplus
extern "C" {
#endif

#define US_PER_MS 1000ULL

enum fwd_state {
	FWD_ASKED, /* waits for a place */
	FWD_SENT, /* waits for the head of the answer */
	FWD_HEAD_RECEIVED /* the head is here */
};

/* One request. */
struct fwd_request {
	uint64_t request; /* of the front */
	uint64_t ask; /* of the running attempt */
	uint64_t call; /* 0: none is under way */
	enum fwd_state state;
	struct node_effects *memory; /* holds all copied texts */
	struct node_request in;
	struct gw_request decoded;
	enum gw_kind kind;
	bool resumable;
	char *route, *service;
	uint32_t priority, max_attempts;
	uint64_t config_version;
	uint64_t started_us, deadline_us, caller_deadline_us, target_us;
	/* attempts */
	uint32_t retries; /* sendings and asks beyond the first */
	uint32_t maybe_run_count; /* endpoints that may have run it */
	char *avoid[PLACE_AVOID_MAX];
	size_t navoid;
	bool may_have_run;
	const char *last_fault; /* constant text */
	const char *refusal_reason; /* why; lives as long as the step */
	uint64_t last_ask;
	char *endpoint;
	uint64_t sent_us, first_byte_us, placed_us;
	/* the answer */
	int status;
	bool first_byte_reported; /* the placer knows of the first byte */
	bool head_sent; /* the caller has the head */
	struct node_effects *response_memory; /* of the head that is held */
	struct gw_endpoint_response response;
	bool has_length;
	uint64_t length;
	struct buf unsent; /* not yet told to the caller */
	char *last_event_id; /* id of the last whole event told; NULL */
};

struct forward {
	const struct gw_codec *codec;
	const struct forward_ops *ops;
	void *ctx;
	uint64_t entry;
	char *data_centre;
	struct map *by_request, *by_ask, *by_call;
	uint64_t last_ask;
	struct forward_stats stats;
};

/* ---- forward.c ---- */
bool fwd_is_repeatable(const struct fwd_request *r);
extern const char fwd_fault_endpoint_lacks[]; /* a fault */
void fwd_send_ask(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx);
/* The attempt is over: ask for another place, or give up. */
void fwd_retry_or_refuse(struct forward *f, struct fwd_request *r,
    uint64_t now_us, bool not_run, const char *fault, struct node_effects *fx);
void fwd_refuse(struct forward *f, struct fwd_request *r, uint64_t now_us,
    enum gw_refusal refusal, const char *reason, uint32_t retry_after_ms,
    struct node_effects *fx);
void fwd_report_outcome(struct forward *f, struct fwd_request *r,
    enum place_outcome outcome, struct node_effects *fx);
void fwd_cancel_call(
    struct forward *f, struct fwd_request *r, struct node_effects *fx);
void fwd_finish(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const char *outcome, struct node_effects *fx);

/* ---- forward_answer.c ---- */
void fwd_on_head(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const struct node_call_event *event, struct node_effects *fx);
void fwd_on_data(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_bytes data, struct node_effects *fx);
void fwd_on_end(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx);
void fwd_on_broken(struct forward *f, struct fwd_request *r, uint64_t now_us,
    struct node_effects *fx);

/* ---- forward_events.c ---- */
/* The length of the whole events at the start of some bytes. */
size_t fwd_events_complete_len(const char *data, size_t len);
/* The id of the last event in some whole events; NULL: none has one. */
char *fwd_events_last_id(const char *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
