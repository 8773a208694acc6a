#include "forward/forward_internal.h"

/*
 * Charges of requests to the quotas of their accounts. A request is charged
 * once for each attempt that may run it, before the ask for a place. The asks
 * and the charges that are refused end here as well.
 */

bool
fwd_charge_request(struct forward *f, struct fwd_request *r)
{
	if (r->charge == FWD_CHARGED || f->ops->charge == NULL ||
	    r->decoded.account == NULL)
		return true;
	if (r->charge == FWD_CHARGE_WAITS)
		return false;
	r->charge =
	    f->ops->charge(f->ctx, r->ask, &r->decoded, &r->charged_tokens)
	    ? FWD_CHARGED
	    : FWD_CHARGE_WAITS;
	return r->charge == FWD_CHARGED;
}

void
fwd_spend_charge(struct fwd_request *r)
{
	if (r->charge == FWD_CHARGED)
		r->charge = FWD_CHARGE_SPENT;
}

void
fwd_end_attempt_charge(struct fwd_request *r, bool not_run)
{
	if (r->charge == FWD_CHARGE_SPENT)
		r->charge = not_run ? FWD_CHARGED : FWD_NOT_CHARGED;
}

void
fwd_refund_charge(struct forward *f, struct fwd_request *r)
{
	if (r->charge == FWD_CHARGE_WAITS || r->charge == FWD_CHARGED)
		f->ops->uncharge(f->ctx, r->ask, &r->decoded, r->charged_tokens,
		    r->charge == FWD_CHARGE_WAITS);
	r->charge = FWD_NOT_CHARGED;
}

void
forward_on_charged(
    struct forward *f, uint64_t now_us, uint64_t ask, struct node_effects *fx)
{
	struct fwd_request *r = map_get_u64(f->by_ask, ask);

	if (r == NULL || r->charge != FWD_CHARGE_WAITS)
		return;
	r->charge = FWD_CHARGED;
	fwd_send_ask(f, r, now_us, fx);
}

void
forward_on_refusal(struct forward *f, uint64_t now_us, uint64_t ask,
    enum gw_refusal refusal, const char *reason, uint32_t retry_after_ms,
    struct node_effects *fx)
{
	struct fwd_request *r = map_get_u64(f->by_ask, ask);
	bool may_have_run;

	if (r == NULL || r->state != FWD_ASKED)
		return;
	(void)map_remove_u64(f->by_ask, r->ask);
	r->ask = 0;
	if (r->charge == FWD_CHARGE_WAITS)
		r->charge = FWD_NOT_CHARGED;
	may_have_run = r->may_have_run;
	fwd_refuse(f, r, now_us, may_have_run ? GW_REFUSE_FAILED : refusal,
	    reason, may_have_run ? 0 : retry_after_ms, fx);
}
