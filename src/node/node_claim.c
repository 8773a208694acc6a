#include "node/node_internal.h"

/*
 * A claim of this process that no request of it will end any more: its start
 * came in a snapshot after its request had gone, or its end found no leader
 * until it was given up. It may have run, so it becomes unknown.
 */

/* Is an end of the claim on its way to the log? */
static bool
is_being_ended(const struct node *n, const struct claim *claim)
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
end_as_unknown(struct node *n, const struct claim *claim)
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
		    !is_being_ended(n, claim))
			end_as_unknown(n, claim);
}
