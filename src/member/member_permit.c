#include <string.h>

#include "member/member.h"
#include "member/member_guard.h"
#include "member/member_keeper.h"
#include "member/member_time.h"

/*
 * The weight store admits so many loads at once and so many a second. Each
 * is split over the members; what one member may still be using is the
 * largest of the share that its newest renewal says it holds, of the shares
 * told since and of the loads it has under way. The sum of these never
 * exceeds the whole. A silent member, which its peers may support, keeps its
 * share until its removal is sealed and its loads have surely ended.
 */

#define KEEPER_EVEN_PART 8 /* one part in so many of the rate is spread */

static struct keeper_share
keeper_share_used(const struct keeper_proc *proc)
{
	struct keeper_share used = proc->held;
	size_t i;

	if (proc->share_over)
		return (struct keeper_share){0, 0, 0};
	if (!member_guards.permit_hold)
		return proc->ntold > 0 ? proc->told[proc->ntold - 1] : used;
	if (proc->loads_in_flight > used.in_flight)
		used.in_flight = proc->loads_in_flight;
	for (i = 0; i < proc->ntold; i++) {
		if (proc->told[i].in_flight > used.in_flight)
			used.in_flight = proc->told[i].in_flight;
		if (proc->told[i].rate_milli > used.rate_milli)
			used.rate_milli = proc->told[i].rate_milli;
	}
	return used;
}

/* A counted process may use something else than before. */
static void
keeper_share_changed(struct member_keeper *k, const struct keeper_proc *proc,
    struct keeper_share before)
{
	struct keeper_share after = keeper_share_used(proc);

	if (!proc->counted)
		return;
	k->used_in_flight += after.in_flight - (uint64_t)before.in_flight;
	k->used_rate_milli += after.rate_milli - (uint64_t)before.rate_milli;
}

void
keeper_permit_renew(struct member_keeper *k, struct keeper_proc *proc,
    const Wire__LeaseRenew *r)
{
	struct keeper_share before = keeper_share_used(proc);
	size_t i, kept = 0;

	proc->share_over = false;
	proc->waiting_loads = r->waiting_loads;
	proc->waiting_stall_us = r->waiting_stall_us;
	proc->loads_in_flight = r->loads_in_flight;
	proc->held.sent_us = r->got_us;
	proc->held.in_flight = r->permit_in_flight;
	proc->held.rate_milli = r->permit_rate_milli;
	if (r->permit_term == k->term || !member_guards.permit_hold) {
		proc->share_ours = true;
		for (i = 0; i < proc->ntold; i++)
			if (proc->told[i].sent_us > r->got_us)
				proc->told[kept++] = proc->told[i];
		proc->ntold = kept;
	}
	keeper_share_changed(k, proc, before);
}

/* Those that are not in a settled epoch have no share any more. */
static void
keeper_permit_forget(struct member_keeper *k, const struct member_view *v)
{
	struct keeper_peer *peer;
	struct keeper_proc *proc;
	const struct member *m;
	size_t i, j;

	for (i = 0; i < map_count(k->peers); i++) {
		peer = map_at(k->peers, i);
		m = member_view_find(v, peer->id);
		for (j = 0; j < 2; j++) {
			proc = &peer->procs[j];
			if (m != NULL && m->incarnation == proc->incarnation)
				continue;
			proc->share_over = true;
		}
	}
}

static bool
keeper_all_ours(const struct member_keeper *k, const struct member_view *v)
{
	const struct keeper_proc *proc;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		proc = keeper_member_proc(k, member_view_at(v, i));
		if (proc == NULL || !proc->share_ours)
			return false;
	}
	return true;
}

/*
 * Once all members of a settled epoch have taken a share from this leader,
 * and so take none from earlier ones, every share is known while it leads.
 */
void
keeper_permit_settle(
    struct member_keeper *k, const struct member_view *v, uint64_t now_us)
{
	uint64_t epoch = member_view_epoch(v);

	if (k->sealed_epoch == epoch && k->settled_epoch != epoch &&
	    now_us >= k->sealed_at + member_flight_us() + MEMBER_LOAD_US) {
		k->settled_epoch = epoch;
		k->plan_stale = true;
		keeper_permit_forget(k, v);
	}
	if (!k->shares_known && k->settled_epoch == epoch)
		k->shares_known = keeper_all_ours(k, v);
}

/* Sum what all processes may be using. */
static void
keeper_plan_used(struct member_keeper *k, const struct member_view *v)
{
	bool settled = k->settled_epoch == member_view_epoch(v);
	struct keeper_share used;
	struct keeper_peer *peer;
	struct keeper_proc *proc;
	const struct member *m;
	size_t i, j;

	k->used_in_flight = 0;
	k->used_rate_milli = 0;
	for (i = 0; i < map_count(k->peers); i++) {
		peer = map_at(k->peers, i);
		m = member_view_find(v, peer->id);
		for (j = 0; j < 2; j++) {
			proc = &peer->procs[j];
			proc->counted = !settled ||
			    (m != NULL && m->incarnation == proc->incarnation);
			if (!proc->counted)
				continue;
			used = keeper_share_used(proc);
			k->used_in_flight += used.in_flight;
			k->used_rate_milli += used.rate_milli;
		}
	}
}

static bool
keeper_has_demand(const struct keeper_proc *proc)
{
	return proc->waiting_loads > 0 || proc->loads_in_flight > 0;
}

/* The members that hold a lease, and where one of them stands among them. */
struct keeper_crowd {
	uint64_t members, rank; /* rank: members before it */
	uint64_t hungry, hungry_rank; /* the same of those with demand */
	uint64_t weight, weight_before, weight_own; /* of their stall */
};

static uint64_t
keeper_weight(const struct keeper_proc *proc)
{
	return keeper_has_demand(proc) ? proc->waiting_stall_us / 1000 + 1 : 0;
}

/* Share n by weight, rounded so that all shares add up to n. */
static uint64_t
keeper_portion(uint64_t n, uint64_t before, uint64_t own, uint64_t all)
{
	if (all == 0)
		return 0;
	return (n * (before + own) + all / 2) / all -
	    (n * before + all / 2) / all;
}

static uint32_t
keeper_target_in_flight(const struct member_keeper *k,
    const struct keeper_crowd *c, uint64_t now_us)
{
	uint64_t cap = k->store_in_flight, turn = now_us / KEEPER_ROTATE_US;
	uint64_t least = cap >= 2 * c->members ? 1 : 0, rest, wanting;

	if (c->members == 0)
		return 0;
	rest = cap - least * c->members;
	if (c->hungry == 0)
		return (uint32_t)(least +
		    keeper_portion(
			rest, (c->rank + turn) % c->members, 1, c->members));
	if (c->weight_own == 0)
		return (uint32_t)least;
	if (least == 0 && c->hungry >= rest)
		return (c->hungry_rank + turn) % c->hungry < rest ? 1 : 0;
	wanting = least == 0 ? 1 : 0;
	rest -= wanting * c->hungry;
	return (uint32_t)(least + wanting +
	    keeper_portion(rest, c->weight_before, c->weight_own, c->weight));
}

static uint32_t
keeper_target_rate(const struct member_keeper *k, const struct keeper_crowd *c)
{
	uint64_t even = k->store_rate_milli;

	if (c->hungry > 0)
		even /= KEEPER_EVEN_PART;
	return (uint32_t)(keeper_portion(even, c->rank, 1, c->members) +
	    keeper_portion(k->store_rate_milli - even, c->weight_before,
		c->weight_own, c->weight));
}

/* The process of the i-th member if it holds a lease, else NULL. */
static struct keeper_proc *
keeper_plan_proc(const struct member_keeper *k, const struct member_view *v,
    uint64_t now_us, size_t i)
{
	struct keeper_proc *proc = keeper_member_proc(k, member_view_at(v, i));

	return proc != NULL && now_us < proc->lease_end ? proc : NULL;
}

/* Set the share that each member should come to. */
static void
keeper_plan(
    struct member_keeper *k, const struct member_view *v, uint64_t now_us)
{
	struct keeper_crowd c = {0};
	struct keeper_proc *proc;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		proc = keeper_plan_proc(k, v, now_us, i);
		if (proc == NULL)
			continue;
		c.members++;
		c.hungry += keeper_has_demand(proc);
		c.weight += keeper_weight(proc);
	}
	for (i = 0; i < member_view_count(v); i++) {
		proc = keeper_plan_proc(k, v, now_us, i);
		if (proc == NULL)
			continue;
		c.weight_own = keeper_weight(proc);
		proc->target.in_flight = keeper_target_in_flight(k, &c, now_us);
		proc->target.rate_milli = keeper_target_rate(k, &c);
		c.rank++;
		c.hungry_rank += keeper_has_demand(proc);
		c.weight_before += c.weight_own;
	}
	keeper_plan_used(k, v);
}

/* What one may have of a whole of which others use a part. */
static uint32_t
keeper_at_most(uint32_t wanted, uint64_t whole, uint64_t others)
{
	uint64_t left = whole > others ? whole - others : 0;

	return wanted < left ? wanted : (uint32_t)left;
}

/* Remember what is told, joined with the last when it is the same. */
static void
keeper_permit_note(struct keeper_proc *proc, uint64_t sent_us,
    uint32_t *in_flight, uint32_t *rate_milli)
{
	struct keeper_share *last =
	    proc->ntold > 0 ? &proc->told[proc->ntold - 1] : NULL;

	if (proc->ntold == KEEPER_TOLD_MAX) {
		*in_flight = last->in_flight;
		*rate_milli = last->rate_milli;
	}
	if (last == NULL || last->in_flight != *in_flight ||
	    last->rate_milli != *rate_milli)
		last = &proc->told[proc->ntold++];
	last->sent_us = sent_us;
	last->in_flight = *in_flight;
	last->rate_milli = *rate_milli;
}

/* What this process may have beside the others. */
static struct keeper_share
keeper_share_left(const struct member_keeper *k, const struct keeper_proc *proc)
{
	struct keeper_share used = keeper_share_used(proc), left = {0};
	uint64_t others = k->used_in_flight, others_rate = k->used_rate_milli;

	if (proc->counted) {
		others -= used.in_flight;
		others_rate -= used.rate_milli;
	}
	left.in_flight = keeper_at_most(UINT32_MAX, k->store_in_flight, others);
	left.rate_milli =
	    keeper_at_most(UINT32_MAX, k->store_rate_milli, others_rate);
	return left;
}

void
keeper_permit_tell(struct member_keeper *k, const struct member_view *v,
    uint64_t now_us, struct keeper_proc *proc, bool leased,
    Wire__LeaseReply *out)
{
	struct keeper_share used, left;

	if (now_us >= k->authority_until)
		return;
	if (keeper_sweep_due(v, now_us, &k->planned_at) || k->plan_stale) {
		k->plan_stale = false;
		keeper_plan(k, v, now_us);
	}
	used = keeper_share_used(proc);
	out->permits = true;
	/* Until all shares are known, none grows. */
	out->permits_at_most = member_guards.permit_hold &&
	    (!k->shares_known || !proc->share_ours);
	left = out->permits_at_most ? used : keeper_share_left(k, proc);
	if (leased) {
		out->permit_in_flight =
		    keeper_at_most(proc->target.in_flight, left.in_flight, 0);
		out->permit_rate_milli =
		    keeper_at_most(proc->target.rate_milli, left.rate_milli, 0);
	}
	keeper_permit_note(proc, out->sent_us, &out->permit_in_flight,
	    &out->permit_rate_milli);
	keeper_share_changed(k, proc, used);
}
