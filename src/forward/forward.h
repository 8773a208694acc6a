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
 * The life of a caller's request at its entry: asked for a place, sent to an
 * endpoint, answered byte for byte. Each sending is not sent, said by the
 * endpoint not to have run, or may have run. "Not run" is told to a caller
 * only when no sending may have run; what may run once only is sent again
 * only after "not run".
 */
struct forward;

struct forward_ops {
	/* Ask for a place; the answer comes by forward_on_grant() and others.
	 */
	void (*ask)(void *ctx, const struct place_request *request,
	    struct node_effects *fx);
	/* What became of a request that was asked for. */
	void (*done)(void *ctx, uint64_t ask, const struct place_result *end,
	    struct node_effects *fx);
	/* A fresh id for a call. */
	uint64_t (*next_call)(void *ctx);
	/* One line about a request that has ended. */
	void (*log)(void *ctx, const char *fields, struct node_effects *fx);
};

struct forward *forward_create(const struct gw_codec *codec,
    const struct forward_ops *ops, void *ctx, uint64_t entry,
    const char *data_centre);
void forward_destroy(struct forward *f);

/*
 * A request was matched to a route. All is copied.
 *
 * in: as it came; request: as decoded.
 */
void forward_start_request(struct forward *f, uint64_t now_us,
    const struct node_request *in, const struct gw_request *request,
    const struct gw_route *route, uint64_t config_version,
    struct node_effects *fx);

/* A place was found for an ask. */
struct forward_grant {
	uint64_t ask;
	const char *endpoint, *address;
	uint32_t adapter_version, urgency;
};
/* false: nobody waits for it any more; it must be given back. */
bool forward_on_grant(struct forward *f, uint64_t now_us,
    const struct forward_grant *grant, struct node_effects *fx);
void forward_on_refusal(struct forward *f, uint64_t now_us, uint64_t ask,
    const char *reason, uint32_t retry_after_ms, struct node_effects *fx);

/* Ask again for those that are not granted; the ask's number stays. */
bool forward_resend_ask(
    struct forward *f, uint64_t now_us, uint64_t ask, struct node_effects *fx);

/* Progress of a call; false when it is not one of the forward's. */
bool forward_on_call_event(struct forward *f, uint64_t now_us,
    const struct node_call_event *event, struct node_effects *fx);

/* The caller has left; false: not a request of the forward. */
bool forward_on_caller_gone(struct forward *f, uint64_t now_us,
    uint64_t request, struct node_effects *fx);

void forward_tick(struct forward *f, uint64_t now_us, struct node_effects *fx);
/* When forward_tick() is wanted next; UINT64_MAX: not. */
uint64_t forward_next_us(const struct forward *f);

size_t forward_request_count(const struct forward *f);

struct forward_stats {
	uint64_t asked, served, refused, failed, timed_out, caller_gone,
	    retried, aborted;
	struct hist placement_us, first_byte_us, total_us; /* microseconds */
};
const struct forward_stats *forward_get_stats(const struct forward *f);

#ifdef __cplusplus
}
#endif

#endif
