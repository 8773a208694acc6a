/*
 * The lessor: renewals, leases and refusals.
 *
 * Why two instances never act for one endpoint at the same time:
 *
 * Membership is a sequence of epochs, each made by one committed command, which
 * changes one member or many. In one epoch an endpoint has one owner. An
 * instance acts for an endpoint that it owns in the epoch it has applied, and
 * only if it has either owned the endpoint without interruption since an epoch
 * in which it was allowed to act, or has been notified that its epoch is
 * active. When it applies a change by which it loses an endpoint, it stops
 * acting for that endpoint. So it must be shown that once epoch E is active, no
 * instance acts in an epoch before E, now or later.
 *
 * An instance acts in one of two ways: by a lease or by support.
 *
 * By a lease. The holder counts its lease from the sending of the renewal and
 * shortens it by the drift of the clocks; the lessor counts it from the
 * receipt and lengthens it. E is active only when each member has
 * acknowledged E or its lease, as counted by the lessor, has ended. A new
 * leader does not know the leases of earlier leaders and assumes that all of
 * them run until earlier_leases_end_us. A lease granted later names the
 * commit index as required and holds only once that index is applied. The
 * commit index is not before E, because a leader with authority has applied
 * an entry of its own term. Removed members have no lease: from the time at
 * which MemberDown is requested, none is granted to them.
 *
 * By support, without a lease. More than half of the supporters of the
 * instance's epoch state that they are in that epoch and hold no lease
 * either. Each of them promises that no acknowledgement of its own counts
 * until that support has ended: while a promise runs, its renewals say so. E
 * is active only when E is sealed: enough supporters of the previous epoch E'
 * have acknowledged E, with no promise running, that the others are no
 * majority of E'. Every majority of E' includes one of those who did. Either
 * that one gave its support before that, and this support has ended, or it
 * has left E' and will not support an instance in E' again. For the epochs
 * before E' the same was established when E was proposed: no command is
 * proposed before the current epoch is sealed, and only one at a time, so there
 * is never more than one epoch before the current one that is not sealed.
 *
 * Sealed by all. E is also sealed when every instance that was a member in E'
 * has acknowledged E by any of its processes, whatever promises run: then no
 * process is left that acts in E'. Let P be the process of instance X that
 * acknowledged E. (1) P has applied E and acts in E' no more. (2) A process of
 * X before P has ended. (3) A process of X after P began when P had ended, so
 * after E was committed. What made it a member, if anything did, followed a
 * renewal of its own and stands in the log after E, so it is none in E'. (4)
 * Instances that were no members in E' do not act in E'.
 *
 * The next process of an instance. A process Q that finds in the log which it
 * has applied another process P of its instance as the member knows that P has
 * ended. (1) P ran when it sent the renewal for which it was made a member;
 * that was before the entry. (2) Q runs when it has applied the entry. (3) They
 * do not run at the same time, and each runs once, without a gap; so P ran
 * before Q. Q says so in its renewals (replaces), and as P does not begin
 * again, it stays true however late a renewal arrives. A renewal of a process
 * that does not name P proves nothing: it may be older than P. So the lessor
 * removes P without waiting for its lease, which nobody can use. All else stays
 * as it is. Members whose process has not ended keep the leases that they may
 * have from earlier leaders: the new epoch is active only when they have
 * acknowledged it, or these leases are over. The promises of P bind Q, as
 * above. Orders of P in flight are waited for, as those of any removed member.
 * Where P is removed and Q added in one epoch the owner's id stays the same, so
 * an instance compares the incarnation: Q is the owner since that epoch, not
 * since an earlier one. That both have the same bus address is checked.
 *
 * Many changes in one command. Nothing above depends on how many members differ
 * between E' and E, since support is counted, promised and acknowledged by
 * instance, over the supporters of E', whichever of them E still has. A command
 * that is proposed again holds the same changes. Its copies follow each other
 * in the log, with no other command of membership between them: the next one is
 * proposed only when the first copy is applied, and a new leader proposes only
 * when it has applied all entries before its term. The second copy finds the
 * members as the first has left them, and changes nothing: it removes only
 * processes that were members before the first, and adds none that it removes.
 * All who apply the command must read it alike, else they would differ on the
 * members of one epoch. It is proposed only while all members and all voters
 * can read it, and from then on no process joins that cannot.
 *
 * A process that ends loses its promises. The next process of the instance
 * takes them over: it waits for as long as a promise can run before its
 * acknowledgements count, and supports no instance until it is a member. Only
 * one process of an instance runs at a time: the bus address, which it binds,
 * ensures that. An operator who gives an instance another bus address must end
 * its earlier process first; acknowledgements are counted by instance.
 *
 * Orders may be in flight for MEMBER_FLIGHT_MAX_US after their sender had to
 * stop. For leases, promises and acknowledgements the wait is longer by that
 * time. A member is removed as soon as its lease has ended: the epoch without
 * it is sealed later, and is active only after the seal and that time.
 *
 * Without authority a lessor establishes nothing new: another leader may have
 * granted leases since, and committed entries that this one has not received.
 *
 * In force. Index N is in force when no instance can act with less applied,
 * now or later. By a lease: every holder has applied N, or its lease requires
 * N. By support: a support names the supporter's applied index and holds only
 * for an instance that has applied as much. So N must also be applied, with
 * no promise running, by enough supporters that the others are no majority.
 */
#include <stdlib.h>
#include <string.h>

#include "member/member.h"
#include "member/member_guard.h"
#include "member/member_lessor.h"
#include "member/member_time.h"
#include "util/mem.h"

struct member_lessor *
member_lessor_create(uint32_t store_in_flight, uint32_t store_rate_milli)
{
	struct member_lessor *ls = mem_alloc(1, sizeof(*ls));

	ls->store_in_flight = store_in_flight;
	ls->store_rate_milli = store_rate_milli;
	ls->peers = map_create();
	return ls;
}

void
lessor_info_free(Wire__MemberInfo *info)
{
	if (info != NULL)
		wire__member_info__free_unpacked(info, NULL);
}

Wire__MemberInfo *
lessor_info_copy(const Wire__MemberInfo *info)
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
lessor_clear(struct member_lessor *ls)
{
	struct lessor_peer *peer;
	size_t i;

	for (i = 0; i < map_count(ls->peers); i++) {
		peer = map_at(ls->peers, i);
		lessor_info_free(peer->procs[0].info);
		lessor_info_free(peer->procs[1].info);
		free(peer);
	}
	map_destroy(ls->peers);
	ls->peers = NULL;
	lessor_clear_changes(ls);
	free(ls->changes);
	ls->changes = NULL;
}

void
member_lessor_destroy(struct member_lessor *ls)
{
	if (ls == NULL)
		return;
	lessor_clear(ls);
	free(ls);
}

void
member_lessor_reset(struct member_lessor *ls, uint64_t now_us,
    uint64_t election_us, uint64_t term)
{
	uint32_t in_flight = ls->store_in_flight, rate = ls->store_rate_milli;

	lessor_clear(ls);
	memset(ls, 0, sizeof(*ls));
	ls->store_in_flight = in_flight;
	ls->store_rate_milli = rate;
	ls->term = term;
	ls->peers = map_create();
	/* An earlier leader may have removed a member just before. */
	ls->removed_orders_end_us = now_us + member_flight_us();
	if (member_guards.earlier_leases)
		ls->earlier_leases_end_us = now_us +
		    member_lengthen_for_drift(MEMBER_LEASE_US) + election_us +
		    member_flight_us();
}

struct lessor_peer *
lessor_find_peer(const struct member_lessor *ls, uint32_t id)
{
	return map_get_u64(ls->peers, id);
}

struct lessor_proc *
lessor_peer_proc(struct lessor_peer *peer, const struct member *m)
{
	size_t i;

	for (i = 0; peer != NULL && i < 2; i++)
		if (peer->procs[i].incarnation == m->incarnation)
			return &peer->procs[i];
	return NULL;
}

struct lessor_proc *
lessor_find_proc(const struct member_lessor *ls, const struct member *m)
{
	return lessor_peer_proc(lessor_find_peer(ls, m->id), m);
}

/* Whether a process knows that the process that is the member has ended. */
static bool
lessor_found_ended(const struct lessor_proc *proc, const struct member *m)
{
	if (!member_guards.found_ended)
		return proc->incarnation != m->incarnation;
	return proc->replaces == m->incarnation;
}

const struct lessor_proc *
lessor_find_successor(const struct lessor_peer *peer, const struct member *m)
{
	const struct lessor_proc *proc;
	size_t i;

	for (i = 0; peer != NULL && i < 2; i++) {
		proc = &peer->procs[i];
		/* With another address it may run beside the earlier one. */
		if (proc->info != NULL &&
		    strcmp(proc->info->bus, m->bus) == 0 &&
		    lessor_found_ended(proc, m))
			return proc;
	}
	return NULL;
}

bool
lessor_may_hold_lease(const struct member_lessor *ls,
    const struct lessor_proc *proc, uint64_t now_us)
{
	if (now_us < ls->earlier_leases_end_us)
		return true;
	return proc != NULL && proc->lease_end_us > 0 &&
	    now_us < proc->lease_end_us + member_flight_us();
}

static struct lessor_peer *
lessor_ensure_peer(struct member_lessor *ls, uint32_t id)
{
	struct lessor_peer *peer = lessor_find_peer(ls, id);

	if (peer != NULL)
		return peer;
	peer = mem_alloc(1, sizeof(*peer));
	peer->id = id;
	(void)map_set_u64(ls->peers, id, peer);
	return peer;
}

/*
 * The record of a process. A process that is not known yet replaces the one
 * that has been silent for longer, but never the one that is the member.
 */
static struct lessor_proc *
lessor_ensure_proc(struct member_lessor *ls, const struct member *m,
    uint32_t id, uint64_t incarnation)
{
	struct lessor_peer *peer = lessor_ensure_peer(ls, id);
	struct lessor_proc *procs = peer->procs, *proc;

	if (procs[0].incarnation == incarnation)
		return &procs[0];
	if (procs[1].incarnation == incarnation)
		return &procs[1];
	proc = procs[0].received_us <= procs[1].received_us ? &procs[0]
							    : &procs[1];
	if (m != NULL && proc->incarnation == m->incarnation &&
	    proc->incarnation != 0)
		proc = proc == &procs[0] ? &procs[1] : &procs[0];
	lessor_info_free(proc->info);
	memset(proc, 0, sizeof(*proc));
	proc->incarnation = incarnation;
	ls->plan_stale = true;
	return proc;
}

void
member_lessor_on_commit(
    struct member_lessor *ls, uint64_t now_us, uint64_t commit)
{
	struct lessor_commit_sample *last;

	if (commit > ls->commit)
		ls->commit = commit;
	if (ls->ncommits > 0) {
		last = &ls->commits[(ls->ncommits - 1) %
		    LESSOR_COMMIT_SAMPLES_MAX];
		if (last->commit == ls->commit)
			return;
		if (now_us < last->at_us + LESSOR_COMMIT_SAMPLE_US) {
			last->commit = ls->commit;
			return;
		}
	}
	last = &ls->commits[ls->ncommits++ % LESSOR_COMMIT_SAMPLES_MAX];
	last->at_us = now_us;
	last->commit = ls->commit;
}

/* The commit index that all members should have applied by now. */
static uint64_t
lessor_expected_applied(const struct member_lessor *ls, uint64_t now_us)
{
	const struct lessor_commit_sample *c;
	uint64_t due = 0;
	size_t i,
	    n = ls->ncommits < LESSOR_COMMIT_SAMPLES_MAX
	    ? ls->ncommits
	    : LESSOR_COMMIT_SAMPLES_MAX;

	for (i = 0; i < n; i++) {
		c = &ls->commits[i];
		if (c->at_us + MEMBER_APPLY_LAG_MAX_US <= now_us &&
		    c->commit > due)
			due = c->commit;
	}
	return due;
}

static void
lessor_record_renew(struct member_lessor *ls, struct lessor_proc *proc,
    uint64_t now_us, const Wire__LeaseRenew *renew)
{
	proc->received_us = now_us;
	proc->sent_us = renew->sent_us;
	proc->leaving = renew->leaving;
	proc->replaces = renew->replaces;
	if (renew->applied > proc->applied)
		proc->applied = renew->applied;
	if (renew->epoch > proc->acked_epoch) {
		proc->acked_epoch = renew->epoch;
		proc->acked_us = now_us;
	}
	if (renew->promise_over) {
		if (renew->epoch > proc->acked_unpromised)
			proc->acked_unpromised = renew->epoch;
		if (renew->applied > proc->applied_unpromised)
			proc->applied_unpromised = renew->applied;
	}
	if (renew->self != NULL) {
		lessor_info_free(proc->info);
		proc->info = lessor_info_copy(renew->self);
	}
	lessor_permit_on_renew(ls, proc, renew);
}

/* Why a process gets no lease; NULL when it gets one. */
static const char *
lessor_refusal_reason(const struct member_lessor *ls,
    const struct member_view *v, const struct member *m,
    const struct lessor_proc *proc, uint64_t now_us)
{
	if (now_us >= ls->authority_until_us)
		return "no-authority";
	if (m == NULL && proc->info != NULL &&
	    (~proc->info->capabilities &
		member_view_required_capabilities(v)) != 0)
		return "earlier-version";
	if (m == NULL)
		return "not-a-member";
	if (m->incarnation != proc->incarnation)
		return "other-incarnation";
	if (lessor_is_being_removed(ls, m))
		return "being-removed";
	if (proc->applied < lessor_expected_applied(ls, now_us))
		return "behind";
	return NULL;
}

/*
 * Grants or renews a lease. One that still runs keeps the index it requires.
 */
static void
lessor_grant_lease(
    struct member_lessor *ls, struct lessor_proc *proc, uint64_t now_us)
{
	if (now_us >= proc->lease_end_us)
		proc->required = ls->commit;
	proc->lease_end_us =
	    now_us + member_lengthen_for_drift(MEMBER_LEASE_US);
}

void
member_lessor_on_renew(struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us, uint64_t authority_until_us, uint32_t from,
    uint64_t incarnation, uint64_t commit, const Wire__LeaseRenew *renew,
    Wire__LeaseReply *out)
{
	const struct member *m = member_view_find(v, from);
	struct lessor_proc *proc = lessor_ensure_proc(ls, m, from, incarnation);
	const char *refusal;

	wire__lease_reply__init(out);
	out->sent_us = renew->sent_us;
	out->term = ls->term;
	ls->authority_until_us = authority_until_us;
	member_lessor_on_commit(ls, now_us, commit);
	if (renew->sent_us <= proc->sent_us && proc->received_us > 0) {
		out->reason = "late";
		return;
	}
	lessor_record_renew(ls, proc, now_us, renew);
	refusal = lessor_refusal_reason(ls, v, m, proc, now_us);
	if (refusal == NULL)
		lessor_grant_lease(ls, proc, now_us);
	else
		out->reason = (char *)refusal;
	out->granted = refusal == NULL;
	out->required = proc->required;
	lessor_refresh(ls, v, now_us);
	lessor_permit_fill(ls, v, now_us, proc, out->granted, out);
	out->active_epoch = ls->active_epoch;
	out->in_force = ls->in_force;
	out->commit = ls->commit;
}

bool
member_lessor_fill_active(const struct member_lessor *ls,
    const struct member *m, uint64_t epoch, Wire__LeaseReply *out)
{
	const struct lessor_proc *proc = lessor_find_proc(ls, m);

	wire__lease_reply__init(out);
	if (proc == NULL || proc->received_us == 0)
		return false;
	out->sent_us = proc->sent_us;
	out->term = ls->term;
	out->active_epoch = epoch;
	return true;
}

static const char *
lessor_lease_state(const struct member_lessor *ls,
    const struct lessor_proc *proc, uint64_t now_us)
{
	if (proc == NULL)
		return "not-heard";
	if (now_us < proc->lease_end_us)
		return "leased";
	return lessor_may_hold_lease(ls, proc, now_us) ? "ending" : "no-lease";
}

void
member_lessor_report(const struct member_lessor *ls,
    const struct member_view *v, uint64_t now_us, struct buf *out)
{
	const struct lessor_proc *proc;
	const struct member *m;
	size_t i;

	buf_puts(out, "[");
	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		proc = lessor_find_proc(ls, m);
		buf_printf(
		    out, "%s{\"id\":%u,\"name\":", i == 0 ? "" : ",", m->id);
		buf_json_string(out, m->name);
		buf_puts(out, ",\"dataCentre\":");
		buf_json_string(out, m->data_centre);
		buf_printf(out,
		    ",\"state\":\"%s\",\"leaving\":%s,\"applied\":%llu,"
		    "\"epoch\":%llu,\"silentMs\":",
		    lessor_lease_state(ls, proc, now_us),
		    m->leaving ? "true" : "false",
		    proc == NULL ? 0ULL : (unsigned long long)proc->applied,
		    proc == NULL ? 0ULL
				 : (unsigned long long)proc->acked_epoch);
		if (proc == NULL)
			buf_puts(out, "null}");
		else
			buf_printf(out, "%llu}",
			    (unsigned long long)(now_us - proc->received_us) /
				1000);
	}
	buf_puts(out, "]");
}
