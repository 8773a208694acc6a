#include <stdlib.h>
#include <string.h>

#include "member/member.h"
#include "member/member_guard.h"
#include "member/member_keeper.h"
#include "member/member_time.h"
#include "util/mem.h"

/*
 * Why two instances never act for one endpoint at once.
 *
 * Membership is a sequence of epochs, each made by one committed change. In
 * one epoch an endpoint has one owner. An instance acts for an endpoint that
 * it owns in the epoch it has applied, and that it either owned without a
 * break since an epoch in which it was allowed to act, or whose epoch it was
 * told is active. It stops for endpoints that it loses when it applies the
 * change. So it has to be shown that once epoch E is active, nobody acts in
 * an epoch before E, now or later.
 *
 * An instance acts in two ways.
 *
 * By a lease. It counts from the sending of the renewal and is shortened by
 * the clocks' drift; the keeper counts from the receipt and lengthens. E is
 * active only when each member has acknowledged E or its lease, as counted
 * by the keeper, has ended; and, as a new leader knows nothing of the leases
 * of earlier ones, they are all taken to run until earlier_until. A lease
 * granted later names the commit index as required, which is not before E
 * because a leader with authority has applied an entry of its own term, and
 * holds only once that is applied. Members that are removed have no lease:
 * from the moment MemberDown is asked for, none is granted.
 *
 * By support, without a lease. More than half of the supporters of its epoch
 * say that they are in that epoch and hold no lease either. Each promises
 * to let no acknowledgement count until that support has ended: while a
 * promise runs its renewals say so. E is active only when E is sealed: so
 * many supporters of the epoch before, E', have acknowledged E with no
 * promise to keep, that the others are no majority of E'. Every majority of
 * E' has one of them, who said yes before, and then that support has ended,
 * or has left E' and will not say yes in E' again. For the epochs before E'
 * the same was found when E was proposed: no change is proposed before the
 * current epoch is sealed, and only one at a time, so there never is more
 * than one epoch before the current one that is not sealed.
 *
 * A process that ends loses its promises. The next process of the instance
 * stands in for it: it waits for as long as a promise runs before its
 * acknowledgements count, and supports nobody until it is a member. One
 * process of an instance runs at a time; its bus address sees to that.
 *
 * Orders may be on their way for MEMBER_FLIGHT_US after their sender had to
 * stop; leases, promises and acknowledgements are all waited for by as much.
 * A member is removed as soon as its lease has ended: the epoch without it is
 * sealed later, and active only after the seal and that time.
 *
 * A keeper finds nothing new without authority: another leader may have
 * granted leases since, and committed what this one has not seen.
 *
 * In force. Index N is in force when nobody can act with less applied, now
 * or later. By a lease: every holder has applied N, or its lease requires
 * it. By support: a support names the supporter's applied index and holds
 * only for one who has applied as much. So N is also required to be applied,
 * with no promise to keep, by so many supporters that the others are no
 * majority.
 */

struct member_keeper *
member_keeper_create(uint32_t store_in_flight, uint32_t store_rate_milli)
{
	struct member_keeper *k = mem_alloc(1, sizeof(*k));

	k->store_in_flight = store_in_flight;
	k->store_rate_milli = store_rate_milli;
	k->peers = map_create();
	return k;
}

void
keeper_info_free(Wire__MemberInfo *info)
{
	if (info != NULL)
		wire__member_info__free_unpacked(info, NULL);
}

Wire__MemberInfo *
keeper_info_copy(const Wire__MemberInfo *info)
{
	size_t len = wire__member_info__get_packed_size(info);
	uint8_t *packed = mem_alloc(len, 1);
	Wire__MemberInfo *copy;

	(void)wire__member_info__pack(info, packed);
	copy = wire__member_info__unpack(NULL, len, packed);
	free(packed);
	return copy;
}

static void
keeper_clear(struct member_keeper *k)
{
	struct keeper_peer *peer;
	size_t i;

	for (i = 0; i < map_count(k->peers); i++) {
		peer = map_at(k->peers, i);
		keeper_info_free(peer->procs[0].info);
		keeper_info_free(peer->procs[1].info);
		free(peer);
	}
	map_destroy(k->peers);
	k->peers = NULL;
	keeper_info_free(k->wish_info);
	k->wish_info = NULL;
}

void
member_keeper_destroy(struct member_keeper *k)
{
	if (k == NULL)
		return;
	keeper_clear(k);
	free(k);
}

void
member_keeper_reset(struct member_keeper *k, uint64_t now_us,
    uint64_t election_us, uint64_t term)
{
	uint32_t in_flight = k->store_in_flight, rate = k->store_rate_milli;

	keeper_clear(k);
	memset(k, 0, sizeof(*k));
	k->store_in_flight = in_flight;
	k->store_rate_milli = rate;
	k->term = term;
	k->peers = map_create();
	/* An earlier leader may just have removed a member. */
	k->flying_until = now_us + member_flight_us();
	if (member_guards.earlier_leases)
		k->earlier_until = now_us + member_longer(MEMBER_LEASE_US) +
		    election_us + member_flight_us();
}

struct keeper_peer *
keeper_peer_find(const struct member_keeper *k, uint32_t id)
{
	return map_get_u64(k->peers, id);
}

struct keeper_proc *
keeper_member_proc(const struct member_keeper *k, const struct member *m)
{
	struct keeper_peer *peer = keeper_peer_find(k, m->id);
	size_t i;

	for (i = 0; peer != NULL && i < 2; i++)
		if (peer->procs[i].incarnation == m->incarnation)
			return &peer->procs[i];
	return NULL;
}

bool
keeper_may_hold(const struct member_keeper *k, const struct keeper_proc *proc,
    uint64_t now_us)
{
	if (now_us < k->earlier_until)
		return true;
	return proc != NULL && proc->lease_end > 0 &&
	    now_us < proc->lease_end + member_flight_us();
}

static struct keeper_peer *
keeper_peer_make(struct member_keeper *k, uint32_t id)
{
	struct keeper_peer *peer = keeper_peer_find(k, id);

	if (peer != NULL)
		return peer;
	peer = mem_alloc(1, sizeof(*peer));
	peer->id = id;
	(void)map_set_u64(k->peers, id, peer);
	return peer;
}

/*
 * The place for a process. One that is not known yet takes the place of
 * another that is not the member, of the one silent for longer.
 */
static struct keeper_proc *
keeper_proc_make(struct member_keeper *k, const struct member *m, uint32_t id,
    uint64_t incarnation)
{
	struct keeper_peer *peer = keeper_peer_make(k, id);
	struct keeper_proc *procs = peer->procs, *proc;

	if (procs[0].incarnation == incarnation)
		return &procs[0];
	if (procs[1].incarnation == incarnation)
		return &procs[1];
	proc = procs[0].heard_at <= procs[1].heard_at ? &procs[0] : &procs[1];
	if (m != NULL && proc->incarnation == m->incarnation &&
	    proc->incarnation != 0)
		proc = proc == &procs[0] ? &procs[1] : &procs[0];
	keeper_info_free(proc->info);
	memset(proc, 0, sizeof(*proc));
	proc->incarnation = incarnation;
	k->plan_stale = true;
	return proc;
}

void
member_keeper_on_commit(
    struct member_keeper *k, uint64_t now_us, uint64_t commit)
{
	struct keeper_commit *last;

	if (commit > k->commit)
		k->commit = commit;
	if (k->ncommits > 0) {
		last = &k->commits[(k->ncommits - 1) % KEEPER_COMMITS];
		if (last->commit == k->commit)
			return;
		if (now_us < last->at + KEEPER_COMMIT_STEP) {
			last->commit = k->commit;
			return;
		}
	}
	last = &k->commits[k->ncommits++ % KEEPER_COMMITS];
	last->at = now_us;
	last->commit = k->commit;
}

/* The commit index that everyone should have applied by now. */
static uint64_t
keeper_commit_due(const struct member_keeper *k, uint64_t now_us)
{
	const struct keeper_commit *c;
	uint64_t due = 0;
	size_t i,
	    n = k->ncommits < KEEPER_COMMITS ? k->ncommits : KEEPER_COMMITS;

	for (i = 0; i < n; i++) {
		c = &k->commits[i];
		if (c->at + MEMBER_LAG_US <= now_us && c->commit > due)
			due = c->commit;
	}
	return due;
}

static void
keeper_note_renew(struct member_keeper *k, struct keeper_proc *proc,
    uint64_t now_us, const Wire__LeaseRenew *renew)
{
	proc->heard_at = now_us;
	proc->sent_us = renew->sent_us;
	proc->leaving = renew->leaving;
	if (renew->applied > proc->applied)
		proc->applied = renew->applied;
	if (renew->epoch > proc->acked) {
		proc->acked = renew->epoch;
		proc->acked_at = now_us;
	}
	if (renew->promise_over) {
		if (renew->epoch > proc->acked_over)
			proc->acked_over = renew->epoch;
		if (renew->applied > proc->applied_over)
			proc->applied_over = renew->applied;
	}
	if (renew->self != NULL) {
		keeper_info_free(proc->info);
		proc->info = keeper_info_copy(renew->self);
	}
	keeper_permit_renew(k, proc, renew);
}

/* Why this process gets no lease; NULL when it gets one. */
static const char *
keeper_refusal(const struct member_keeper *k, const struct member *m,
    const struct keeper_proc *proc, uint64_t now_us)
{
	if (now_us >= k->authority_until)
		return "no-authority";
	if (m == NULL)
		return "not-a-member";
	if (m->incarnation != proc->incarnation)
		return "other-incarnation";
	if (k->wishing && k->wish.type == MEMBER_WISH_DOWN &&
	    k->wish.id == m->id && k->wish.incarnation == m->incarnation)
		return "being-removed";
	if (proc->applied < keeper_commit_due(k, now_us))
		return "behind";
	return NULL;
}

static void
keeper_grant(struct member_keeper *k, struct keeper_proc *proc, uint64_t now_us)
{
	if (now_us >= proc->lease_end)
		proc->required = k->commit;
	proc->lease_end = now_us + member_longer(MEMBER_LEASE_US);
}

void
member_keeper_on_renew(struct member_keeper *k, const struct member_view *v,
    uint64_t now_us, uint64_t authority_until, uint32_t from,
    uint64_t incarnation, uint64_t commit, const Wire__LeaseRenew *renew,
    Wire__LeaseReply *out)
{
	const struct member *m = member_view_find(v, from);
	struct keeper_proc *proc = keeper_proc_make(k, m, from, incarnation);
	const char *refusal;

	wire__lease_reply__init(out);
	out->sent_us = renew->sent_us;
	out->term = k->term;
	k->authority_until = authority_until;
	member_keeper_on_commit(k, now_us, commit);
	if (renew->sent_us <= proc->sent_us && proc->heard_at > 0) {
		out->reason = "late";
		return;
	}
	keeper_note_renew(k, proc, now_us, renew);
	refusal = keeper_refusal(k, m, proc, now_us);
	if (refusal == NULL)
		keeper_grant(k, proc, now_us);
	else
		out->reason = (char *)refusal;
	out->granted = refusal == NULL;
	out->required = proc->required;
	keeper_refresh(k, v, now_us);
	keeper_permit_tell(k, v, now_us, proc, out->granted, out);
	out->active_epoch = k->active_epoch;
	out->in_force = k->in_force;
}

bool
member_keeper_tell_active(const struct member_keeper *k, const struct member *m,
    uint64_t epoch, Wire__LeaseReply *out)
{
	const struct keeper_proc *proc = keeper_member_proc(k, m);

	wire__lease_reply__init(out);
	if (proc == NULL || proc->heard_at == 0)
		return false;
	out->sent_us = proc->sent_us;
	out->term = k->term;
	out->active_epoch = epoch;
	return true;
}

static const char *
keeper_state(const struct member_keeper *k, const struct keeper_proc *proc,
    uint64_t now_us)
{
	if (proc == NULL)
		return "not-heard";
	if (now_us < proc->lease_end)
		return "leased";
	return keeper_may_hold(k, proc, now_us) ? "ending" : "no-lease";
}

void
member_keeper_report(const struct member_keeper *k, const struct member_view *v,
    uint64_t now_us, struct buf *out)
{
	const struct keeper_proc *proc;
	const struct member *m;
	size_t i;

	buf_puts(out, "[");
	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		proc = keeper_member_proc(k, m);
		buf_printf(
		    out, "%s{\"id\":%u,\"name\":", i == 0 ? "" : ",", m->id);
		buf_json_string(out, m->name);
		buf_puts(out, ",\"dataCentre\":");
		buf_json_string(out, m->data_centre);
		buf_printf(out,
		    ",\"state\":\"%s\",\"leaving\":%s,\"applied\":%llu,"
		    "\"epoch\":%llu,\"silentMs\":",
		    keeper_state(k, proc, now_us),
		    m->leaving ? "true" : "false",
		    proc == NULL ? 0ULL : (unsigned long long)proc->applied,
		    proc == NULL ? 0ULL : (unsigned long long)proc->acked);
		if (proc == NULL)
			buf_puts(out, "null}");
		else
			buf_printf(out, "%llu}",
			    (unsigned long long)(now_us - proc->heard_at) /
				1000);
	}
	buf_puts(out, "]");
}
