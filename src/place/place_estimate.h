#ifndef MP_PLACE_ESTIMATE_H
#define MP_PLACE_ESTIMATE_H

#include "place/place_internal.h"

/* What a request at an engine would cost. */
struct place_estimate {
	double first_ms; /* to the first event */
	double saving_ms; /* expected, as part of the prompt is cached */
	double uncertainty_ms; /* standard deviation, by what is cached */
	double cost; /* first_ms plus the cost to other requests */
	uint32_t own_tokens; /* of the prompt, without cached ones */
	double backlog_ms; /* of prompts that are as urgent or more */
	double unread_ms; /* of all prompts */
	double limit_wait_ms; /* until the engine's rate limit allows it */
	bool needs_load, stuck;
};

/*
 * Estimate a request at an engine; false if it can't run there or its cost
 * reaches limit.
 *
 * adapter: the request's adapter there; NULL if it is neither loaded nor
 * pending.
 * may_order: this instance may order a load there.
 */
bool place_estimate_engine(struct place *p, struct place_endpoint *e,
    const struct place_ask *a, const struct place_adapter *adapter,
    bool may_order, double limit, struct place_estimate *out);

#endif
