/*
 * The lessor's rules for when an epoch is sealed and active and which index is
 * in force. The head of member_lessor.c shows why they are safe.
 */
#include <stdlib.h>
#include <string.h>

#include "member/member.h"
#include "member/member_guard.h"
#include "member/member_lessor.h"
#include "member/member_time.h"
#include "util/mem.h"

/* The least number of n supporters without which no majority is left. */
static size_t
lessor_blocking_count(size_t n)
{
	return n - n / 2;
}

/* The newest epoch that an instance acknowledged with no promise running. */
static uint64_t
lessor_peer_acked_unpromised(const struct lessor_peer *peer)
{
	if (peer == NULL)
		return 0;
	return peer->procs[0].acked_unpromised > peer->procs[1].acked_unpromised
	    ? peer->procs[0].acked_unpromised
	    : peer->procs[1].acked_unpromised;
}

/* The largest index that it had applied with no promise running. */
static uint64_t
lessor_peer_applied_unpromised(const struct lessor_peer *peer)
{
	if (peer == NULL)
		return 0;
	return peer->procs[0].applied_unpromised >
		peer->procs[1].applied_unpromised
	    ? peer->procs[0].applied_unpromised
	    : peer->procs[1].applied_unpromised;
}

/* Whether a process of the instance has acknowledged the current epoch. */
static bool
lessor_peer_acked(const struct lessor_peer *peer, const struct member_view *v)
{
	uint64_t epoch = member_view_epoch(v);

	return peer != NULL &&
	    (peer->procs[0].acked_epoch >= epoch ||
		peer->procs[1].acked_epoch >= epoch);
}

/* Whether all instances that were members before the current epoch have. */
static bool
lessor_all_acked(const struct member_lessor *ls, const struct member_view *v)
{
	const uint32_t *ids;
	size_t i, n;

	ids = member_view_earlier_members(v, &n);
	for (i = 0; i < n; i++)
		if (!lessor_peer_acked(lessor_find_peer(ls, ids[i]), v))
			return false;
	return n > 0;
}

bool
lessor_is_sealed(const struct member_lessor *ls, const struct member_view *v)
{
	const uint32_t *ids;
	size_t i, n, acked = 0;

	if (!member_guards.seal || ls->sealed_epoch == member_view_epoch(v))
		return true;
	ids = member_view_earlier_supporters(v, &n);
	for (i = 0; i < n; i++)
		acked += lessor_peer_acked_unpromised(lessor_find_peer(
			     ls, ids[i])) >= member_view_epoch(v);
	return acked >= lessor_blocking_count(n) || lessor_all_acked(ls, v);
}

/* Orders larger indexes first. */
static int
lessor_compare_index(const void *a, const void *b)
{
	const uint64_t *x = a, *y = b;

	return (*x < *y) - (*x > *y);
}

/*
 * The largest index that a blocking number of supporters has applied. Sorts
 * its input.
 */
static uint64_t
lessor_blocking_index(uint64_t *applied, size_t n)
{
	if (n == 0)
		return UINT64_MAX;
	qsort(applied, n, sizeof(*applied), lessor_compare_index);
	return applied[lessor_blocking_count(n) - 1];
}

/*
 * An index that every instance that acts by support must have applied: by
 * support of the current epoch, or of the previous one until it is sealed.
 */
static uint64_t
lessor_support_index(
    const struct member_lessor *ls, const struct member_view *v)
{
	const uint32_t *earlier;
	uint64_t *applied, current, previous = UINT64_MAX;
	size_t i, n = 0, nearlier;

	earlier = member_view_earlier_supporters(v, &nearlier);
	applied = mem_alloc(member_view_count(v) + nearlier, sizeof(*applied));
	for (i = 0; i < member_view_count(v); i++)
		if (member_view_is_supporter(v, member_view_at(v, i)))
			applied[n++] = lessor_peer_applied_unpromised(
			    lessor_find_peer(ls, member_view_at(v, i)->id));
	current = lessor_blocking_index(applied, n);
	if (!lessor_is_sealed(ls, v)) {
		for (i = 0; i < nearlier; i++)
			applied[i] = lessor_peer_applied_unpromised(
			    lessor_find_peer(ls, earlier[i]));
		previous = lessor_blocking_index(applied, nearlier);
	}
	free(applied);
	return current < previous ? current : previous;
}

/* An index that every instance that acts by a lease must have applied. */
static uint64_t
lessor_lease_index(const struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us)
{
	const struct lessor_proc *proc;
	uint64_t index, least = UINT64_MAX;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		proc = lessor_find_proc(ls, member_view_at(v, i));
		if (!lessor_may_hold_lease(ls, proc, now_us))
			continue;
		index = proc == NULL ? 0 : proc->applied;
		/* Until then a lease of an earlier leader may require less. */
		if (proc != NULL && now_us >= ls->earlier_leases_end_us &&
		    proc->required > index)
			index = proc->required;
		if (index < least)
			least = index;
	}
	return least;
}

uint64_t
member_lessor_in_force(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us)
{
	uint64_t index = ls->commit, other;

	if (now_us >= ls->authority_until_us)
		return ls->in_force;
	if (member_guards.in_force_leases && now_us < ls->removed_orders_end_us)
		return ls->in_force;
	if (member_guards.in_force_leases) {
		other = lessor_lease_index(ls, v, now_us);
		index = other < index ? other : index;
	}
	if (member_guards.in_force_support) {
		other = lessor_support_index(ls, v);
		index = other < index ? other : index;
	}
	return index > ls->in_force ? index : ls->in_force;
}

uint64_t
member_lessor_active_epoch(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us)
{
	uint64_t epoch = member_view_epoch(v);
	const struct lessor_proc *proc;
	size_t i;

	if (epoch <= ls->active_epoch || now_us >= ls->authority_until_us)
		return ls->active_epoch;
	if (member_guards.seal &&
	    (ls->sealed_epoch != epoch ||
		now_us < ls->sealed_us + member_flight_us()))
		return ls->active_epoch;
	for (i = 0; member_guards.lease_wait && i < member_view_count(v); i++) {
		proc = lessor_find_proc(ls, member_view_at(v, i));
		if (!lessor_may_hold_lease(ls, proc, now_us))
			continue;
		if (proc == NULL || proc->acked_epoch < epoch ||
		    now_us < proc->acked_us + member_flight_us())
			return ls->active_epoch;
	}
	return epoch;
}

bool
lessor_sweep_due(const struct member_view *v, uint64_t now_us, uint64_t *last)
{
	if (member_view_count(v) > MEMBER_ALL_SUPPORT_MAX &&
	    now_us < *last + LESSOR_SWEEP_INTERVAL_US)
		return false;
	*last = now_us;
	return true;
}

void
lessor_refresh(
    struct member_lessor *ls, const struct member_view *v, uint64_t now_us)
{
	if (now_us >= ls->authority_until_us ||
	    !lessor_sweep_due(v, now_us, &ls->refreshed_us))
		return;
	if (ls->sealed_epoch != member_view_epoch(v) &&
	    lessor_is_sealed(ls, v)) {
		ls->sealed_epoch = member_view_epoch(v);
		ls->sealed_us = now_us;
	}
	lessor_permit_settle(ls, v, now_us);
	ls->active_epoch = member_lessor_active_epoch(ls, v, now_us);
	ls->in_force = member_lessor_in_force(ls, v, now_us);
}
