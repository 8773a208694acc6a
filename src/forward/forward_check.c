#include "forward/forward_guard.h"
#include "forward/forward_internal.h"

/*
 * Checks of a granted request at the moment of sending. It may have waited
 * while its route, its account or its endpoint changed.
 */

/* Grants that a request may return before it is refused. */
#define DECLINED_GRANTS_MAX 4u

/*
 * Returns a grant that can't be used, and asks for another one. After several
 * such grants the request is refused.
 *
 * retry_after_ms: for a caller that is refused.
 */
static void
decline_grant(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const char *reason, uint32_t retry_after_ms, struct node_effects *fx)
{
	f->stats.declined++;
	fwd_report_outcome(f, r, PLACE_ABANDONED, fx);
	if (++r->declined_grants <= DECLINED_GRANTS_MAX)
		fwd_send_ask(f, r, now_us, fx);
	else
		fwd_refuse_unserved(f, r, now_us, reason, retry_after_ms, fx);
}

/* Refuses a request whose route or account is no longer valid. */
static void
refuse_outdated(struct forward *f, struct fwd_request *r, uint64_t now_us,
    enum forward_verdict verdict, const struct forward_check *check,
    struct node_effects *fx)
{
	enum gw_refusal refusal = GW_REFUSE_NOT_READY;

	if (verdict == FORWARD_NO_ROUTE)
		refusal = GW_REFUSE_NO_ROUTE;
	else if (verdict == FORWARD_UNAUTHORIZED)
		refusal = GW_REFUSE_UNAUTHORIZED;
	f->stats.outdated++;
	if (r->may_have_run && forward_guards.truth)
		fwd_refuse(
		    f, r, now_us, GW_REFUSE_FAILED, check->reason, 0, fx);
	else
		fwd_refuse(f, r, now_us, refusal, check->reason,
		    check->retry_after_ms, fx);
}

static struct forward_check
make_check(const struct fwd_request *r)
{
	struct forward_check check = {0};

	check.request = &r->decoded;
	check.path = r->in.path;
	check.service = r->service;
	check.config_version = r->config_version;
	check.ask = r->ask;
	return check;
}

bool
fwd_may_send(struct forward *f, struct fwd_request *r, uint64_t now_us,
    const struct forward_grant *grant, struct node_effects *fx)
{
	struct forward_check check;
	enum forward_verdict verdict;

	if (grant->age_us >= FWD_SEND_TIMEOUT_US) {
		decline_grant(
		    f, r, now_us, "grant-too-old", FWD_RETRY_AFTER_MS, fx);
		return false;
	}
	check = make_check(r);
	check.endpoint = grant->endpoint;
	check.born_ms = grant->born_ms;
	verdict = f->ops->check(f->ctx, &check, fx);
	if (verdict == FORWARD_SEND || !forward_guards.account)
		return true;
	if (verdict == FORWARD_ENDPOINT_DECLINES)
		decline_grant(f, r, now_us, "endpoint-declines",
		    check.retry_after_ms, fx);
	else
		refuse_outdated(f, r, now_us, verdict, &check, fx);
	return false;
}

void
forward_refuse_outdated(
    struct forward *f, uint64_t now_us, struct node_effects *fx)
{
	struct forward_check check;
	enum forward_verdict verdict;
	struct fwd_request *r;
	size_t i = map_count(f->by_request);

	while (i-- > 0) {
		r = map_at(f->by_request, i);
		if (r->state != FWD_ASKED)
			continue;
		check = make_check(r);
		verdict = f->ops->check(f->ctx, &check, fx);
		if (verdict != FORWARD_SEND && forward_guards.account)
			refuse_outdated(f, r, now_us, verdict, &check, fx);
	}
}
