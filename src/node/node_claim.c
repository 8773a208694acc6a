#include "node/node_internal.h"

/*
 * Ends claims of this process that no request of it ends any more: the start
 * was applied from a snapshot after the request had ended, or the proposal of
 * the end expired without a leader. The call may have run, so the outcome is
 * recorded as unknown.
 */

/* Whether an end of the claim has been proposed and is not applied yet. */
static bool
has_end_proposal(const struct node *n, const struct claim *claim)
{
	const struct node_proposal *p;
	size_t i;

	for (i = 0; i < map_count(n->proposals); i++) {
		p = map_at(n->proposals, i);
		if (p->kind == NODE_PROPOSE_CLAIM_END &&
		    p->request == claim->proposal)
			return true;
	}
	return false;
}

static void
propose_unknown_end(struct node *n, const struct claim *claim)
{
	struct claim_end end = claim_make_end(claim, CLAIM_END_UNKNOWN);

	node_route_ops.claim_end(
	    n, &end, n->now + NODE_CHANGE_TIMEOUT_US, n->fx);
}

void
node_claim_tick(struct node *n)
{
	const struct claim *claim = NULL;

	if (n->now < n->next_claims_scan_us)
		return;
	n->next_claims_scan_us = n->now + NODE_CLAIM_SWEEP_US;
	while ((claim = claim_next_running(
		    n->claims, n->id, n->incarnation, claim)) != NULL)
		if (!route_claim_is_open(n->route, claim->proposal) &&
		    !has_end_proposal(n, claim))
			propose_unknown_end(n, claim);
}
