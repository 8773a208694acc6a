#include <stdlib.h>
#include <string.h>

#include "member/member.h"
#include "member/member_guard.h"
#include "member/member_keeper.h"
#include "member/member_time.h"
#include "util/mem.h"

/* So many of n supporters are needed that the others are no majority. */
static size_t
keeper_blocking(size_t n)
{
	return n - n / 2;
}

static uint64_t
keeper_peer_acked_over(const struct keeper_peer *peer)
{
	if (peer == NULL)
		return 0;
	return peer->procs[0].acked_over > peer->procs[1].acked_over
	    ? peer->procs[0].acked_over
	    : peer->procs[1].acked_over;
}

static uint64_t
keeper_peer_applied_over(const struct keeper_peer *peer)
{
	if (peer == NULL)
		return 0;
	return peer->procs[0].applied_over > peer->procs[1].applied_over
	    ? peer->procs[0].applied_over
	    : peer->procs[1].applied_over;
}

bool
keeper_sealed(const struct member_keeper *k, const struct member_view *v)
{
	const uint32_t *ids;
	size_t i, n, acked = 0;

	if (!member_guards.seal || k->sealed_epoch == member_view_epoch(v))
		return true;
	ids = member_view_earlier(v, &n);
	for (i = 0; i < n; i++)
		acked += keeper_peer_acked_over(keeper_peer_find(k, ids[i])) >=
		    member_view_epoch(v);
	return acked >= keeper_blocking(n);
}

static int
keeper_index_compare(const void *a, const void *b)
{
	const uint64_t *x = a, *y = b;

	return (*x < *y) - (*x > *y);
}

/* The index applied by a blocking number of supporters; sorts its input. */
static uint64_t
keeper_index_of(uint64_t *applied, size_t n)
{
	if (n == 0)
		return UINT64_MAX;
	qsort(applied, n, sizeof(*applied), keeper_index_compare);
	return applied[keeper_blocking(n) - 1];
}

/* The index that whoever acts by support must have applied. */
static uint64_t
keeper_support_index(const struct member_keeper *k, const struct member_view *v)
{
	const uint32_t *earlier;
	uint64_t *applied, now, before = UINT64_MAX;
	size_t i, n = 0, nearlier;

	earlier = member_view_earlier(v, &nearlier);
	applied = mem_alloc(member_view_count(v) + nearlier, sizeof(*applied));
	for (i = 0; i < member_view_count(v); i++)
		if (member_view_supports(v, member_view_at(v, i)))
			applied[n++] = keeper_peer_applied_over(
			    keeper_peer_find(k, member_view_at(v, i)->id));
	now = keeper_index_of(applied, n);
	if (!keeper_sealed(k, v)) {
		for (i = 0; i < nearlier; i++)
			applied[i] = keeper_peer_applied_over(
			    keeper_peer_find(k, earlier[i]));
		before = keeper_index_of(applied, nearlier);
	}
	free(applied);
	return now < before ? now : before;
}

/* The index that whoever acts by a lease must have applied. */
static uint64_t
keeper_lease_index(
    const struct member_keeper *k, const struct member_view *v, uint64_t now_us)
{
	const struct keeper_proc *proc;
	uint64_t index, least = UINT64_MAX;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		proc = keeper_member_proc(k, member_view_at(v, i));
		if (!keeper_may_hold(k, proc, now_us))
			continue;
		index = proc == NULL ? 0 : proc->applied;
		/* Then no lease of an earlier leader requires less. */
		if (proc != NULL && now_us >= k->earlier_until &&
		    proc->required > index)
			index = proc->required;
		if (index < least)
			least = index;
	}
	return least;
}

uint64_t
member_keeper_in_force(
    const struct member_keeper *k, const struct member_view *v, uint64_t now_us)
{
	uint64_t index = k->commit, other;

	if (now_us >= k->authority_until)
		return k->in_force;
	if (member_guards.in_force_leases && now_us < k->flying_until)
		return k->in_force;
	if (member_guards.in_force_leases) {
		other = keeper_lease_index(k, v, now_us);
		index = other < index ? other : index;
	}
	if (member_guards.in_force_support) {
		other = keeper_support_index(k, v);
		index = other < index ? other : index;
	}
	return index > k->in_force ? index : k->in_force;
}

uint64_t
member_keeper_active_epoch(
    const struct member_keeper *k, const struct member_view *v, uint64_t now_us)
{
	uint64_t epoch = member_view_epoch(v);
	const struct keeper_proc *proc;
	size_t i;

	if (epoch <= k->active_epoch || now_us >= k->authority_until)
		return k->active_epoch;
	if (member_guards.seal &&
	    (k->sealed_epoch != epoch ||
		now_us < k->sealed_at + member_flight_us()))
		return k->active_epoch;
	for (i = 0; member_guards.lease_wait && i < member_view_count(v); i++) {
		proc = keeper_member_proc(k, member_view_at(v, i));
		if (!keeper_may_hold(k, proc, now_us))
			continue;
		if (proc == NULL || proc->acked < epoch ||
		    now_us < proc->acked_at + member_flight_us())
			return k->active_epoch;
	}
	return epoch;
}

bool
keeper_sweep_due(const struct member_view *v, uint64_t now_us, uint64_t *last)
{
	if (member_view_count(v) > MEMBER_SUPPORTERS_ALL &&
	    now_us < *last + KEEPER_SWEEP_US)
		return false;
	*last = now_us;
	return true;
}

void
keeper_refresh(
    struct member_keeper *k, const struct member_view *v, uint64_t now_us)
{
	if (now_us >= k->authority_until ||
	    !keeper_sweep_due(v, now_us, &k->refreshed_at))
		return;
	if (k->sealed_epoch != member_view_epoch(v) && keeper_sealed(k, v)) {
		k->sealed_epoch = member_view_epoch(v);
		k->sealed_at = now_us;
	}
	keeper_permit_settle(k, v, now_us);
	k->active_epoch = member_keeper_active_epoch(k, v, now_us);
	k->in_force = member_keeper_in_force(k, v, now_us);
}
