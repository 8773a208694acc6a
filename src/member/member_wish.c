#include "member/member.h"
#include "member/member_keeper.h"
#include "member/member_time.h"

/* Was any process of the instance heard within a lease? */
static bool
keeper_peer_heard(const struct keeper_peer *peer, uint64_t now_us)
{
	size_t i;

	for (i = 0; peer != NULL && i < 2; i++)
		if (peer->procs[i].incarnation != 0 &&
		    now_us < peer->procs[i].heard_at + MEMBER_LEASE_US)
			return true;
	return false;
}

static bool
keeper_hears_majority(
    const struct member_keeper *k, const struct member_view *v, uint64_t now_us)
{
	size_t i, heard = 0;

	for (i = 0; i < member_view_count(v); i++)
		heard += keeper_peer_heard(
		    keeper_peer_find(k, member_view_at(v, i)->id), now_us);
	return heard > member_view_count(v) / 2;
}

/*
 * Has this member's lease surely ended, after a long silence? Its last orders
 * may still be on their way: member_keeper.c says what waits for them.
 */
static bool
keeper_is_gone(const struct member_keeper *k, const struct keeper_proc *proc,
    uint64_t now_us)
{
	if (now_us < k->earlier_until)
		return false;
	return proc == NULL ||
	    (now_us >= proc->lease_end &&
		now_us >= proc->heard_at + member_longer(MEMBER_LEASE_US));
}

static bool
keeper_wish_down(
    struct member_keeper *k, const struct member_view *v, uint64_t now_us)
{
	const struct member *m;
	struct keeper_proc *proc;
	size_t i;

	if (!keeper_hears_majority(k, v, now_us))
		return false;
	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		proc = keeper_member_proc(k, m);
		if (!keeper_is_gone(k, proc, now_us))
			continue;
		k->flying_until = now_us + member_flight_us();
		k->wish.type = MEMBER_WISH_DOWN;
		k->wish.id = m->id;
		k->wish.incarnation = m->incarnation;
		return true;
	}
	return false;
}

static bool
keeper_wish_leave(struct member_keeper *k, const struct member_view *v)
{
	const struct keeper_proc *proc;
	const struct member *m;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		proc = keeper_member_proc(k, m);
		if (m->leaving || proc == NULL || !proc->leaving)
			continue;
		k->wish.type = MEMBER_WISH_LEAVE;
		k->wish.id = m->id;
		k->wish.incarnation = m->incarnation;
		return true;
	}
	return false;
}

/* One that was removed gives its share of permits back before it joins. */
static bool
keeper_wish_up(
    struct member_keeper *k, const struct member_view *v, uint64_t now_us)
{
	const struct keeper_proc *proc;
	const struct keeper_peer *peer;
	size_t i, j;

	for (i = 0; i < map_count(k->peers); i++) {
		peer = map_at(k->peers, i);
		if (member_view_find(v, peer->id) != NULL)
			continue;
		for (j = 0; j < 2; j++) {
			proc = &peer->procs[j];
			if (proc->info == NULL || proc->leaving ||
			    proc->held.in_flight > 0 ||
			    proc->held.rate_milli > 0 ||
			    now_us >= proc->heard_at + MEMBER_LEASE_US)
				continue;
			k->wish.type = MEMBER_WISH_UP;
			k->wish.id = peer->id;
			k->wish.incarnation = proc->incarnation;
			keeper_info_free(k->wish_info);
			k->wish_info = keeper_info_copy(proc->info);
			return true;
		}
	}
	return false;
}

/* Is what was wished for in the view, or without effect now? */
static bool
keeper_wish_done(const struct member_keeper *k, const struct member_view *v)
{
	const struct member *m = member_view_find(v, k->wish.id);
	bool same = m != NULL && m->incarnation == k->wish.incarnation;

	switch (k->wish.type) {
	case MEMBER_WISH_UP:
		return m != NULL;
	case MEMBER_WISH_DOWN:
		return !same;
	case MEMBER_WISH_LEAVE:
		return !same || m->leaving;
	}
	return true;
}

bool
member_keeper_take_wish(struct member_keeper *k, const struct member_view *v,
    uint64_t now_us, struct member_wish *out)
{
	keeper_refresh(k, v, now_us);
	if (k->wishing && keeper_wish_done(k, v))
		k->wishing = false;
	if (now_us >= k->authority_until ||
	    (k->wishing && now_us < k->wish_at + KEEPER_WISH_US))
		return false;
	if (!k->wishing) {
		if (!keeper_sweep_due(v, now_us, &k->searched_at) ||
		    !keeper_sealed(k, v) ||
		    (!keeper_wish_up(k, v, now_us) &&
			!keeper_wish_down(k, v, now_us) &&
			!keeper_wish_leave(k, v)))
			return false;
		k->wishing = true;
	}
	k->wish_at = now_us;
	*out = k->wish;
	out->info = out->type == MEMBER_WISH_UP ? k->wish_info : NULL;
	return true;
}
