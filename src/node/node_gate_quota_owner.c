#include <string.h>
#include <xxhash.h>

#include "member/member_time.h"
#include "node/node_gate.h"

/*
 * Owners of the accounts' quotas. Accounts are divided into partitions by their
 * names, and each partition has one owner among the entries by rendezvous
 * hashing: when an instance joins or leaves, only partitions that it gets or
 * had change their owner. Engines have owners by shard, all of which may change
 * with the number of shards; quotas would then be granted by nobody for as long
 * as members come and go.
 *
 * In a small cluster the leader owns all quotas.
 */

uint32_t
gate_quota_get_partition(const char *account)
{
	return (uint32_t)(XXH64(account, strlen(account), 0) %
	    GATE_QUOTA_PARTITIONS);
}

static void
set_owner(struct node *n, struct gate_quota_owner *o, uint32_t owner)
{
	if (owner == o->owner)
		return;
	o->previous = o->owner;
	o->owner = owner;
	o->since_epoch = member_view_epoch(n->view);
	o->since_us = n->now;
}

void
gate_quota_owner_on_epoch(struct node *n, bool skipped)
{
	struct gate_quota_owners *q = &n->gate->quota_owners;
	bool is_sharded = gate_is_sharded(n);
	uint32_t i;

	/* Without the changes in between, any instance may have been owner. */
	if (skipped || is_sharded != q->is_sharded)
		memset(q, 0, sizeof(*q));
	q->is_sharded = is_sharded;
	for (i = 0; i < GATE_QUOTA_PARTITIONS; i++)
		set_owner(n, &q->partitions[i],
		    member_view_choose(n->view, (uint64_t)i));
}

uint32_t
gate_quota_find_owner(const struct node *n, const char *account)
{
	if (!gate_is_sharded(n))
		return node_gate_placer(n);
	return n->gate->quota_owners
	    .partitions[gate_quota_get_partition(account)]
	    .owner;
}

/*
 * The leader of a cluster that was sharded before grants only once no owner can
 * any more.
 */
static bool
leads_alone(const struct node *n)
{
	const struct node_gate *g = n->gate;

	return g->placing && gate_has_authority(n) &&
	    n->now >= g->unsharded_order_from_us &&
	    (g->unsharded_epoch == 0 ||
		member_holder_active_epoch(n->holder) >= g->unsharded_epoch);
}

/*
 * The number of the leader's authority, odd unlike those of owners. It grows
 * with the term and with each time that the cluster was sharded meanwhile.
 */
static uint64_t
leader_number(const struct node *n)
{
	return (n->gate->placing_term + n->gate->unsharded_epoch) << 1 | 1;
}

/* Whether an earlier process of this instance is still listed as a member. */
static bool
is_restarted(const struct node *n)
{
	const struct member *m = member_view_find(n->view, n->id);

	return m != NULL && m->incarnation != n->incarnation;
}

/*
 * Whether the previous owner has surely lost its lease, or has applied the
 * change of owner: its lease is renewed only once it has. With few members any
 * of them may act without a lease, by the support of others, so that only an
 * active epoch tells.
 */
static bool
has_previous_stopped(const struct node *n, const struct gate_quota_owner *o)
{
	if (member_holder_active_epoch(n->holder) >= o->since_epoch)
		return true;
	return member_view_count(n->view) > MEMBER_ALL_SUPPORT_MAX &&
	    n->now >= o->since_us + member_lease_over_us();
}

/*
 * Whether the previous owner was removed as a member, which happens when its
 * lease has ended, and can't have been confirmed as the owner since then.
 */
static bool
is_previous_removed(const struct node *n, const struct gate_quota_owner *o)
{
	return o->previous != 0 &&
	    n->now >= o->since_us + GATE_CONFIG_AGE_MAX_US &&
	    member_view_find(n->view, o->previous) == NULL;
}

/*
 * Whether this instance succeeds an earlier process of its own, which has
 * ended. After the loss of many instances it takes seconds until it has a lease
 * in an active epoch. A leader with authority has confirmed lately who the
 * members are.
 */
static bool
succeeds_own_process(const struct node *n)
{
	return is_restarted(n) &&
	    member_freshness_is_confirmed(
		&n->freshness, n->now, GATE_CONFIG_AGE_MAX_US);
}

uint64_t
gate_quota_get_authority(const struct node *n, uint32_t partition)
{
	const struct gate_quota_owner *o =
	    &n->gate->quota_owners.partitions[partition];

	if (!gate_is_sharded(n))
		return leads_alone(n) ? leader_number(n) : 0;
	if (o->owner != n->id || n->stopping)
		return 0;
	if ((node_may_act(n) &&
		(has_previous_stopped(n, o) || is_previous_removed(n, o))) ||
	    succeeds_own_process(n))
		return o->since_epoch << 1;
	return 0;
}
