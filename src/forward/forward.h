#ifndef MP_FORWARD_FORWARD_H
#define MP_FORWARD_FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mulberrypath/gateway.h"
#include "place/place.h"
#include "util/hist.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Forwarding of callers' requests at their entry, the instance that received
 * them. For each request the entry asks the placer, the instance that selects
 * endpoints, for a grant of an endpoint, sends the request there and relays
 * the response byte for byte.
 *
 * Each attempt has one of three results: it was not sent, the endpoint states
 * that it did not run the request, or the request may have run. A caller
 * receives "not run" only if no attempt may have run the request. A request
 * that may run only once is sent again only after an attempt that certainly has
 * not run it.
 *
 * Pure: time and events come in, effects go out through node_effects. Times
 * are microseconds of the node's clock.
 */
struct forward;

/* How an endpoint's process dealt with a request. */
struct forward_observation {
	const struct gw_request *request;
	const char *endpoint;
	uint64_t born_ms; /* start of the process */
	bool is_served; /* answered well; else the process closed early */
};

/* A request that waits, or is about to be sent to a granted endpoint. */
struct forward_check {
	const struct gw_request *request;
	const char *path, *service;
	uint64_t config_version; /* by which route and account were found */
	uint64_t ask;
	const char *endpoint; /* NULL: it waits; no endpoint is checked */
	uint64_t born_ms; /* start of the endpoint's process */
	/* set unless the request may be sent */
	const char *reason; /* a string constant */
	uint32_t retry_after_ms; /* 0: none */
};

/* Whether what a request was granted for still holds. */
enum forward_verdict {
	FORWARD_SEND,
	FORWARD_ENDPOINT_DECLINES, /* it takes none of this entry now */
	FORWARD_NO_ROUTE, /* there is none any more */
	FORWARD_UNAUTHORIZED, /* no account has the key any more */
	FORWARD_OUTDATED /* it has changed; the caller may retry */
};

/* Functions of the node that forwards. */
struct forward_ops {
	/*
	 * Ask for a grant. The result arrives by forward_on_grant() or
	 * forward_on_refusal().
	 */
	void (*ask)(void *ctx, const struct place_request *request,
	    struct node_effects *fx);
	/*
	 * Report the outcome of an ask. PLACE_FIRST_BYTE is followed by the
	 * final outcome, every other one is final.
	 */
	void (*done)(void *ctx, uint64_t ask, const struct place_result *end,
	    struct node_effects *fx);
	/*
	 * Record what the response to an ask's request says about further
	 * requests to the endpoint. Called before the ask's outcome.
	 */
	void (*notice)(void *ctx, uint64_t ask,
	    const struct place_notice *notice, struct node_effects *fx);
	/*
	 * Whether the request may be sent to an endpoint. If not, a part of its
	 * prompt is quarantined, or is suspect and the request was sent before.
	 */
	bool (*may_send)(
	    void *ctx, const struct gw_request *request, bool was_sent);
	/*
	 * Check the route, the account and the endpoint once more. Called
	 * before each sending: the request may have waited since they were
	 * determined.
	 */
	enum forward_verdict (*check)(
	    void *ctx, struct forward_check *check, struct node_effects *fx);
	/*
	 * Record how a process dealt with a request: answered well, or closed
	 * the connection soon after it began to answer, or before.
	 */
	void (*observe)(void *ctx, const struct forward_observation *observed,
	    struct node_effects *fx);
	/* Return an unused id for an HTTP call; not 0. */
	uint64_t (*next_call)(void *ctx);
	/* Log a finished request. fields: a JSON object. */
	void (*log)(void *ctx, const char *fields, struct node_effects *fx);
	/*
	 * Charge the request to the quota of its account, before an ask is
	 * made for it. Returns false if it waits: the result then arrives, not
	 * during this call, by forward_on_charged() or forward_on_refusal().
	 * NULL: there are no quotas.
	 *
	 * tokens: set to what is charged.
	 */
	bool (*charge)(void *ctx, uint64_t ask,
	    const struct gw_request *request, uint64_t *tokens);
	/*
	 * Give back the charge of a request that has not run, or take it out
	 * of those that wait for one.
	 */
	void (*uncharge)(void *ctx, uint64_t ask,
	    const struct gw_request *request, uint64_t tokens, bool is_waiting);
};

/*
 * Creates a forwarder. The codec, the ops and ctx must outlive it; data_centre
 * is copied.
 *
 * entry: id of this entry, part of the id of each ask.
 */
struct forward *forward_create(const struct gw_codec *codec,
    const struct forward_ops *ops, void *ctx, uint64_t entry,
    const char *data_centre);
/* Frees the forwarder and its requests without effects. NULL is allowed. */
void forward_destroy(struct forward *f);

/*
 * Limits what all requests together buffer of their responses, in bytes. Near
 * the limit plain responses are relayed sooner, and a long event of a resumable
 * stream counts as one without an end. Called before the first request.
 */
void forward_set_buffer_limit(struct forward *f, uint64_t bytes);

/*
 * Starts a request that matches the route: asks for a grant. All arguments are
 * copied.
 *
 * in: the request as received; request: the same, decoded.
 */
void forward_start_request(struct forward *f, uint64_t now_us,
    const struct node_request *in, const struct gw_request *request,
    const struct gw_route *route, uint64_t config_version,
    struct node_effects *fx);

/* The endpoint granted to an ask. */
struct forward_grant {
	uint64_t ask;
	const char *endpoint, *address;
	uint64_t born_ms; /* start of the endpoint's process */
	uint32_t adapter_version, urgency;
	/* since the placer decided, as far as it is known */
	uint64_t age_us;
};
/*
 * Sends the request to the granted endpoint, if forward_ops.check() allows it
 * and the grant is not too old. Returns false if no request waits for the
 * grant; the node must then return the grant to the placer.
 */
bool forward_on_grant(struct forward *f, uint64_t now_us,
    const struct forward_grant *grant, struct node_effects *fx);
/*
 * Refuses the request, since the placer refused the ask, or its account has no
 * tokens left. The caller receives the refusal and retry_after_ms only if the
 * request cannot have run.
 *
 * reason: used until the end of the call.
 */
void forward_on_refusal(struct forward *f, uint64_t now_us, uint64_t ask,
    enum gw_refusal refusal, const char *reason, uint32_t retry_after_ms,
    struct node_effects *fx);
/* The request of this ask, which waited for it, is charged now. */
void forward_on_charged(
    struct forward *f, uint64_t now_us, uint64_t ask, struct node_effects *fx);

/*
 * Sends an ask again that has no grant, under the same ask id. Returns false
 * if no request waits for a grant of this ask.
 */
bool forward_resend_ask(
    struct forward *f, uint64_t now_us, uint64_t ask, struct node_effects *fx);

/*
 * Refuses the open requests that forward_ops.may_send() does not allow any
 * more, and cancels their calls that have not been answered yet.
 */
void forward_refuse_quarantined(
    struct forward *f, uint64_t now_us, struct node_effects *fx);

/*
 * Refuses the requests that wait for a grant and that forward_ops.check() does
 * not allow any more.
 */
void forward_refuse_outdated(
    struct forward *f, uint64_t now_us, struct node_effects *fx);

/*
 * Begins a stop: every request ends by end_us, if necessary unserved, and
 * endpoints are given no more time than that.
 */
void forward_begin_stop(struct forward *f, uint64_t end_us);
/*
 * Callers have been told of other entries: from now on a request that may not
 * end in time is refused, unless it may be repeated and is likely to.
 */
void forward_refuse_long(struct forward *f);

/* Handles progress of an HTTP call; false: not a call of this forwarder. */
bool forward_on_call_event(struct forward *f, uint64_t now_us,
    const struct node_call_event *event, struct node_effects *fx);

/*
 * Cancels a request whose caller has disconnected; false: not a request of
 * this forwarder.
 */
bool forward_on_caller_gone(struct forward *f, uint64_t now_us,
    uint64_t request, struct node_effects *fx);

/* Answers the requests whose deadline has passed. */
void forward_tick(struct forward *f, uint64_t now_us, struct node_effects *fx);
/* Returns the time of the next deadline; UINT64_MAX: no request is open. */
uint64_t forward_next_us(const struct forward *f);

/* Returns the number of open requests. */
size_t forward_request_count(const struct forward *f);

/*
 * Totals since the start. served counts responses of status 2xx and failed
 * also other responses that were relayed; aborted counts responses that ended
 * early after their head was sent; outdated counts requests whose route or
 * account was no longer valid when they were to be sent. The histograms hold
 * the time from the receipt of a request to its grant, first byte and end.
 */
struct forward_stats {
	uint64_t asked, served, refused, failed, timed_out, caller_gone,
	    retried, aborted, declined, quarantined, outdated;
	uint64_t unnamed_answers; /* that may belong to another request */
	struct hist placement_us, first_byte_us, total_us;
};
/* Returns the totals, owned by the forwarder. */
const struct forward_stats *forward_get_stats(const struct forward *f);

/*
 * Finished requests of a client account since the start. failed counts all that
 * were neither served nor refused as not run.
 */
struct forward_account {
	char *name; /* "(others)" counts those beyond a limit together */
	uint64_t served, refused, failed;
	struct hist total_us; /* as in struct forward_stats */
};
/* Returns the i-th account that had requests, or NULL after the last. */
const struct forward_account *forward_account_at(
    const struct forward *f, size_t i);

#ifdef __cplusplus
}
#endif

#endif
