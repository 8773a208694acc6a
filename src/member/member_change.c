#include "member/member.h"
#include "member/member_lessor.h"
#include "member/member_time.h"

/* Was any process of the instance heard within a lease? */
static bool
lessor_peer_is_live(const struct lessor_peer *peer, uint64_t now_us)
{
	size_t i;

	for (i = 0; peer != NULL && i < 2; i++)
		if (peer->procs[i].incarnation != 0 &&
		    now_us < peer->procs[i].received_us + MEMBER_LEASE_US)
			return true;
	return false;
}

static bool
lessor_majority_is_live(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us)
{
	size_t i, heard = 0;

	for (i = 0; i < member_view_count(v); i++)
		heard += lessor_peer_is_live(
		    lessor_find_peer(ls, member_view_at(v, i)->id), now_us);
	return heard > member_view_count(v) / 2;
}

/*
 * Has this member's lease surely ended, after a long silence? Its last orders
 * may still be on their way: member_lessor.c says what waits for them.
 */
static bool
lessor_is_expired(const struct member_lessor *ls,
    const struct lessor_proc *proc, uint64_t now_us)
{
	if (now_us < ls->earlier_leases_end_us)
		return false;
	return proc == NULL ||
	    (now_us >= proc->lease_end_us &&
		now_us >= proc->received_us +
			member_lengthen_for_drift(MEMBER_LEASE_US));
}

static bool
lessor_find_down(
    struct member_lessor *ls, const struct member_view *v, uint64_t now_us)
{
	const struct member *m;
	struct lessor_proc *proc;
	size_t i;

	if (!lessor_majority_is_live(ls, v, now_us))
		return false;
	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		proc = lessor_find_proc(ls, m);
		if (!lessor_is_expired(ls, proc, now_us))
			continue;
		ls->removed_orders_end_us = now_us + member_flight_us();
		ls->change.type = MEMBER_CHANGE_DOWN;
		ls->change.id = m->id;
		ls->change.incarnation = m->incarnation;
		return true;
	}
	return false;
}

static bool
lessor_find_leave(struct member_lessor *ls, const struct member_view *v)
{
	const struct lessor_proc *proc;
	const struct member *m;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		proc = lessor_find_proc(ls, m);
		if (m->leaving || proc == NULL || !proc->leaving)
			continue;
		ls->change.type = MEMBER_CHANGE_LEAVE;
		ls->change.id = m->id;
		ls->change.incarnation = m->incarnation;
		return true;
	}
	return false;
}

/* One that was removed gives its share of permits back before it joins. */
static bool
lessor_find_up(
    struct member_lessor *ls, const struct member_view *v, uint64_t now_us)
{
	const struct lessor_proc *proc;
	const struct lessor_peer *peer;
	size_t i, j;

	for (i = 0; i < map_count(ls->peers); i++) {
		peer = map_at(ls->peers, i);
		if (member_view_find(v, peer->id) != NULL)
			continue;
		for (j = 0; j < 2; j++) {
			proc = &peer->procs[j];
			if (proc->info == NULL || proc->leaving ||
			    proc->held.in_flight > 0 ||
			    proc->held.rate_milli > 0 ||
			    now_us >= proc->received_us + MEMBER_LEASE_US)
				continue;
			ls->change.type = MEMBER_CHANGE_UP;
			ls->change.id = peer->id;
			ls->change.incarnation = proc->incarnation;
			lessor_info_free(ls->change_info);
			ls->change_info = lessor_info_copy(proc->info);
			return true;
		}
	}
	return false;
}

/* Is what was wished for in the view, or without effect now? */
static bool
lessor_change_is_applied(
    const struct member_lessor *ls, const struct member_view *v)
{
	const struct member *m = member_view_find(v, ls->change.id);
	bool same = m != NULL && m->incarnation == ls->change.incarnation;

	switch (ls->change.type) {
	case MEMBER_CHANGE_UP:
		return m != NULL;
	case MEMBER_CHANGE_DOWN:
		return !same;
	case MEMBER_CHANGE_LEAVE:
		return !same || m->leaving;
	}
	return true;
}

bool
member_lessor_next_change(struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us, struct member_change *out)
{
	lessor_refresh(ls, v, now_us);
	if (ls->change_pending && lessor_change_is_applied(ls, v))
		ls->change_pending = false;
	if (now_us >= ls->authority_until_us ||
	    (ls->change_pending &&
		now_us < ls->proposed_us + LESSOR_PROPOSE_INTERVAL_US))
		return false;
	if (!ls->change_pending) {
		if (!lessor_sweep_due(v, now_us, &ls->searched_us) ||
		    !lessor_is_sealed(ls, v) ||
		    (!lessor_find_up(ls, v, now_us) &&
			!lessor_find_down(ls, v, now_us) &&
			!lessor_find_leave(ls, v)))
			return false;
		ls->change_pending = true;
	}
	ls->proposed_us = now_us;
	*out = ls->change;
	out->info = out->type == MEMBER_CHANGE_UP ? ls->change_info : NULL;
	return true;
}
