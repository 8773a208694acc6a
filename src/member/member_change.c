/*
 * The lessor's choice of the next membership change: MemberUp for a new
 * process, MemberDown for a member whose lease has ended, MemberLeave for one
 * that drains. Where all members can read a MemberChanges, all that are due go
 * into one; else, one after another.
 */
#include <stdlib.h>

#include "member/member.h"
#include "member/member_guard.h"
#include "member/member_lessor.h"
#include "member/member_time.h"
#include "util/mem.h"

#define LESSOR_CHANGES_INITIAL_CAP 16

/* Largest size of a MemberDown or a MemberLeave in a MemberChanges, in bytes.
 */
#define LESSOR_SMALL_CHANGE_BYTES 24

/* The changes that one command can hold yet. */
struct lessor_room {
	bool many; /* more than one */
	bool voters_only; /* no other joins */
	size_t bytes;
};

void
lessor_clear_changes(struct member_lessor *ls)
{
	size_t i;

	for (i = 0; i < ls->nchanges; i++)
		lessor_info_free((Wire__MemberInfo *)ls->changes[i].info);
	ls->nchanges = 0;
	ls->change_pending = false;
}

static bool
lessor_has_down(
    const struct member_lessor *ls, uint32_t id, uint64_t incarnation)
{
	size_t i;

	for (i = 0; i < ls->nchanges; i++)
		if (ls->changes[i].type == MEMBER_CHANGE_DOWN &&
		    ls->changes[i].id == id &&
		    ls->changes[i].incarnation == incarnation)
			return true;
	return false;
}

bool
lessor_is_being_removed(const struct member_lessor *ls, const struct member *m)
{
	return ls->change_pending && lessor_has_down(ls, m->id, m->incarnation);
}

static size_t
lessor_change_bytes(const Wire__MemberInfo *info)
{
	return LESSOR_SMALL_CHANGE_BYTES +
	    (info == NULL ? 0 : wire__member_info__get_packed_size(info));
}

static bool
lessor_has_room(const struct member_lessor *ls, const struct lessor_room *room,
    size_t bytes)
{
	return ls->nchanges == 0 || (room->many && bytes <= room->bytes);
}

/* Adds a change to those to propose. The caller has checked for room. */
static void
lessor_add_change(struct member_lessor *ls, struct lessor_room *room,
    enum member_change_type type, uint32_t id, uint64_t incarnation,
    const Wire__MemberInfo *info)
{
	struct member_change *c;
	size_t bytes = lessor_change_bytes(info);

	if (ls->nchanges == ls->changes_cap) {
		ls->changes_cap = ls->changes_cap == 0
		    ? LESSOR_CHANGES_INITIAL_CAP
		    : ls->changes_cap * 2;
		ls->changes = mem_resize(
		    ls->changes, ls->changes_cap, sizeof(*ls->changes));
	}
	c = &ls->changes[ls->nchanges++];
	*c = (struct member_change){.type = type,
	    .id = id,
	    .incarnation = incarnation,
	    .info = info == NULL ? NULL : lessor_info_copy(info)};
	room->bytes -= bytes < room->bytes ? bytes : room->bytes;
}

/*
 * Whether a renewal of any process of the instance was received within the
 * time of a lease.
 */
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

/* Whether more than half of the members are live in this sense. */
static bool
lessor_majority_is_live(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us)
{
	size_t i, live = 0;

	for (i = 0; i < member_view_count(v); i++)
		live += lessor_peer_is_live(
		    lessor_find_peer(ls, member_view_at(v, i)->id), now_us);
	return live > member_view_count(v) / 2;
}

/*
 * Whether the lease of a member has certainly ended and no renewal has been
 * received for at least as long. Its last orders may still be in flight; the
 * head of member_lessor.c says what waits for them.
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

/*
 * Selects the removal of members that have expired, or whose process has ended
 * as the next one of its instance says.
 */
static void
lessor_select_down(struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us, struct lessor_room *room)
{
	const struct member *m;
	struct lessor_peer *peer;
	size_t i;

	if (!lessor_majority_is_live(ls, v, now_us))
		return;
	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		peer = lessor_find_peer(ls, m->id);
		if (!lessor_is_expired(ls, lessor_peer_proc(peer, m), now_us) &&
		    lessor_find_successor(peer, m) == NULL)
			continue;
		if (!lessor_has_room(ls, room, lessor_change_bytes(NULL)))
			return;
		ls->removed_orders_end_us = now_us + member_flight_us();
		lessor_add_change(
		    ls, room, MEMBER_CHANGE_DOWN, m->id, m->incarnation, NULL);
	}
}

/* Selects MemberLeave for members whose renewals say that they drain. */
static void
lessor_select_leave(struct member_lessor *ls, const struct member_view *v,
    struct lessor_room *room)
{
	const struct lessor_proc *proc;
	const struct member *m;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		proc = lessor_find_proc(ls, m);
		if (m->leaving || proc == NULL || !proc->leaving ||
		    lessor_has_down(ls, m->id, m->incarnation))
			continue;
		if (!lessor_has_room(ls, room, lessor_change_bytes(NULL)))
			return;
		lessor_add_change(
		    ls, room, MEMBER_CHANGE_LEAVE, m->id, m->incarnation, NULL);
	}
}

/*
 * The process of an instance that can become a member; NULL: none. One that was
 * removed must return its permits before it joins again, and one that cannot
 * read the commands of the log must not join.
 *
 * m: the member of the instance, which is being removed, or NULL.
 */
static const struct lessor_proc *
lessor_find_joiner(const struct lessor_peer *peer, const struct member_view *v,
    const struct member *m, uint64_t now_us, const struct lessor_room *room)
{
	uint32_t needed = member_view_required_capabilities(v) |
	    (room->many ? MEMBER_CAN_MANY_CHANGES : 0);
	const struct lessor_proc *proc;
	size_t j;

	for (j = 0; j < 2; j++) {
		proc = &peer->procs[j];
		if (proc->info == NULL || proc->leaving ||
		    proc->held.in_flight > 0 || proc->held.rate_milli > 0 ||
		    now_us >= proc->received_us + MEMBER_LEASE_US ||
		    (m != NULL && proc->incarnation == m->incarnation))
			continue;
		if ((proc->info->capabilities & needed) == needed ||
		    !member_guards.all_can_read)
			return proc;
	}
	return NULL;
}

/* Selects MemberUp for a process of an instance, if there is one to select. */
static void
lessor_select_joiner(struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us, const struct lessor_peer *peer, struct lessor_room *room)
{
	const struct member *m = member_view_find(v, peer->id);
	const struct lessor_proc *proc;

	if (m != NULL && !lessor_has_down(ls, m->id, m->incarnation))
		return;
	proc = lessor_find_joiner(peer, v, m, now_us, room);
	if (proc == NULL || (room->voters_only && proc->info->voter == 0))
		return;
	if (lessor_has_room(ls, room, lessor_change_bytes(proc->info)))
		lessor_add_change(ls, room, MEMBER_CHANGE_UP, peer->id,
		    proc->incarnation, proc->info);
}

/*
 * Selects MemberUp for the processes of instances that have no member, or whose
 * member is removed by the same command. Where only one can join, those with a
 * data folder are first: many can join once all voters have.
 */
static void
lessor_select_up(struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us, struct lessor_room *room)
{
	size_t i, n = map_count(ls->peers);

	room->voters_only = !room->many;
	for (i = 0; room->voters_only && i < n; i++)
		lessor_select_joiner(ls, v, now_us, map_at(ls->peers, i), room);
	room->voters_only = false;
	for (i = 0; i < n; i++)
		lessor_select_joiner(ls, v, now_us, map_at(ls->peers, i), room);
}

/* What the view has of a member, with other capabilities. */
static Wire__MemberInfo
lessor_restate(const struct member *m, uint32_t capabilities)
{
	Wire__MemberInfo info = WIRE__MEMBER_INFO__INIT;

	info.id = m->id;
	info.incarnation = m->incarnation;
	info.name = m->name;
	info.data_centre = m->data_centre;
	info.region = m->region;
	info.http = m->http;
	info.bus = m->bus;
	info.voter = m->voter;
	info.leaving = m->leaving;
	info.capabilities = capabilities;
	return info;
}

/*
 * Selects MemberUp for a member with other capabilities than it states itself.
 * It begins no epoch.
 */
static void
lessor_select_restated(struct member_lessor *ls, const struct member_view *v,
    struct lessor_room *room)
{
	const struct lessor_proc *proc;
	const struct member *m;
	Wire__MemberInfo info;
	size_t i;

	for (i = 0; i < member_view_count(v) && ls->nchanges == 0; i++) {
		m = member_view_at(v, i);
		proc = lessor_find_proc(ls, m);
		if (proc == NULL || proc->info == NULL ||
		    proc->info->capabilities == m->capabilities)
			continue;
		info = lessor_restate(m, proc->info->capabilities);
		lessor_add_change(
		    ls, room, MEMBER_CHANGE_UP, m->id, m->incarnation, &info);
	}
}

/* Whether a MemberChanges means the same to all members and voters. */
static bool
lessor_all_can_read_changes(
    const struct member_lessor *ls, const struct member_view *v)
{
	return !member_guards.all_can_read ||
	    (ls->voters_can_read_changes &&
		member_view_all_have(v, MEMBER_CAN_MANY_CHANGES));
}

/*
 * Selects the changes to propose, together. Returns false when there are none.
 *
 * A process that cannot read a MemberChanges joins by a command of its own,
 * once nothing else is due; after that, commands hold one change each.
 */
static bool
lessor_select(
    struct member_lessor *ls, const struct member_view *v, uint64_t now_us)
{
	struct lessor_room room = {.many = lessor_all_can_read_changes(ls, v),
	    .bytes = MEMBER_CHANGES_BYTES_MAX};

	lessor_clear_changes(ls);
	if (room.many) {
		lessor_select_down(ls, v, now_us, &room);
		lessor_select_up(ls, v, now_us, &room);
		lessor_select_leave(ls, v, &room);
		room.many = false;
		if (ls->nchanges == 0)
			lessor_select_up(ls, v, now_us, &room);
	} else {
		lessor_select_up(ls, v, now_us, &room);
		if (ls->nchanges == 0)
			lessor_select_down(ls, v, now_us, &room);
		if (ls->nchanges == 0)
			lessor_select_leave(ls, v, &room);
	}
	if (ls->nchanges == 0)
		lessor_select_restated(ls, v, &room);
	return ls->nchanges > 0;
}

/* Whether a proposed change is applied, or would have no effect now. */
static bool
lessor_change_is_applied(
    const struct member_change *c, const struct member_view *v)
{
	const struct member *m = member_view_find(v, c->id);
	bool same = m != NULL && m->incarnation == c->incarnation;

	switch (c->type) {
	case MEMBER_CHANGE_UP:
		return m != NULL &&
		    (!same || m->capabilities == c->info->capabilities);
	case MEMBER_CHANGE_DOWN:
		return !same;
	case MEMBER_CHANGE_LEAVE:
		return !same || m->leaving;
	case MEMBER_CHANGE_MANY:
		break;
	}
	return true;
}

static bool
lessor_changes_are_applied(
    const struct member_lessor *ls, const struct member_view *v)
{
	size_t i;

	for (i = 0; i < ls->nchanges; i++)
		if (!lessor_change_is_applied(&ls->changes[i], v))
			return false;
	return true;
}

void
member_lessor_set_voters_can_read_changes(struct member_lessor *ls, bool can)
{
	ls->voters_can_read_changes = can;
}

/*
 * Whether the current epoch is going to be active with nothing but time. The
 * next one would have to be sealed first, so that with a change every moment
 * no epoch would ever be active.
 */
static bool
lessor_is_about_to_act(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us)
{
	const struct lessor_proc *proc;
	size_t i;

	if (ls->sealed_epoch != member_view_epoch(v) ||
	    ls->active_epoch == ls->sealed_epoch ||
	    now_us >= ls->sealed_us + 2 * member_flight_us())
		return false;
	for (i = 0; i < member_view_count(v); i++) {
		proc = lessor_find_proc(ls, member_view_at(v, i));
		if (lessor_may_hold_lease(ls, proc, now_us) &&
		    (proc == NULL || proc->acked_epoch < ls->sealed_epoch))
			return false;
	}
	return true;
}

bool
member_lessor_next_change(struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us, struct member_change *out)
{
	lessor_refresh(ls, v, now_us);
	if (ls->change_pending && lessor_changes_are_applied(ls, v))
		ls->change_pending = false;
	if (now_us >= ls->authority_until_us ||
	    (ls->change_pending &&
		now_us < ls->proposed_us + LESSOR_PROPOSE_INTERVAL_US))
		return false;
	if (!ls->change_pending) {
		if (!lessor_sweep_due(v, now_us, &ls->searched_us) ||
		    !lessor_is_sealed(ls, v) ||
		    (lessor_all_can_read_changes(ls, v) &&
			lessor_is_about_to_act(ls, v, now_us)) ||
		    !lessor_select(ls, v, now_us))
			return false;
		ls->change_pending = true;
	}
	ls->proposed_us = now_us;
	*out = ls->changes[0];
	if (ls->nchanges > 1)
		*out = (struct member_change){.type = MEMBER_CHANGE_MANY,
		    .many = ls->changes,
		    .nmany = ls->nchanges};
	return true;
}
