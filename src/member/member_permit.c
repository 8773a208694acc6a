#include <string.h>

#include "member/member.h"
#include "member/member_guard.h"
#include "member/member_lessor.h"
#include "member/member_time.h"

/*
 * The weight store admits so many loads at once and so many a second. Each
 * is split over the members; what one member may still be using is the
 * largest of the share that its newest renewal says it holds, of the shares
 * told since and of the loads it has under way. The sum of these never
 * exceeds the whole. A silent member, which its peers may support, keeps its
 * share until its removal is sealed and its loads have surely ended.
 */

#define LESSOR_EVEN_RATE_DIVISOR                                               \
	8 /* one part in so many of the rate is spread */

static struct lessor_share
lessor_share_used(const struct lessor_proc *proc)
{
	struct lessor_share used = proc->held;
	size_t i;

	if (proc->share_released)
		return (struct lessor_share){0, 0, 0};
	if (!member_guards.permit_hold)
		return proc->noffers > 0 ? proc->offers[proc->noffers - 1]
					 : used;
	if (proc->loads_in_flight > used.in_flight)
		used.in_flight = proc->loads_in_flight;
	for (i = 0; i < proc->noffers; i++) {
		if (proc->offers[i].in_flight > used.in_flight)
			used.in_flight = proc->offers[i].in_flight;
		if (proc->offers[i].rate_milli > used.rate_milli)
			used.rate_milli = proc->offers[i].rate_milli;
	}
	return used;
}

/* A counted process may use something else than before. */
static void
lessor_update_used(struct member_lessor *ls, const struct lessor_proc *proc,
    struct lessor_share before)
{
	struct lessor_share after = lessor_share_used(proc);

	if (!proc->counted)
		return;
	ls->used_in_flight += after.in_flight - (uint64_t)before.in_flight;
	ls->used_rate_milli += after.rate_milli - (uint64_t)before.rate_milli;
}

void
lessor_permit_on_renew(struct member_lessor *ls, struct lessor_proc *proc,
    const Wire__LeaseRenew *r)
{
	struct lessor_share before = lessor_share_used(proc);
	size_t i, kept = 0;

	proc->share_released = false;
	proc->waiting_loads = r->waiting_loads;
	proc->waiting_stall_us = r->waiting_stall_us;
	proc->loads_in_flight = r->loads_in_flight;
	proc->held.sent_us = r->got_us;
	proc->held.in_flight = r->permit_in_flight;
	proc->held.rate_milli = r->permit_rate_milli;
	if (r->permit_term == ls->term || !member_guards.permit_hold) {
		proc->share_confirmed = true;
		for (i = 0; i < proc->noffers; i++)
			if (proc->offers[i].sent_us > r->got_us)
				proc->offers[kept++] = proc->offers[i];
		proc->noffers = kept;
	}
	lessor_update_used(ls, proc, before);
}

/* Those that are not in a settled epoch have no share any more. */
static void
lessor_release_shares(struct member_lessor *ls, const struct member_view *v)
{
	struct lessor_peer *peer;
	struct lessor_proc *proc;
	const struct member *m;
	size_t i, j;

	for (i = 0; i < map_count(ls->peers); i++) {
		peer = map_at(ls->peers, i);
		m = member_view_find(v, peer->id);
		for (j = 0; j < 2; j++) {
			proc = &peer->procs[j];
			if (m != NULL && m->incarnation == proc->incarnation)
				continue;
			proc->share_released = true;
		}
	}
}

static bool
lessor_all_confirmed(
    const struct member_lessor *ls, const struct member_view *v)
{
	const struct lessor_proc *proc;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		proc = lessor_find_proc(ls, member_view_at(v, i));
		if (proc == NULL || !proc->share_confirmed)
			return false;
	}
	return true;
}

/*
 * Once all members of a settled epoch have taken a share from this leader,
 * and so take none from earlier ones, every share is known while it leads.
 */
void
lessor_permit_settle(
    struct member_lessor *ls, const struct member_view *v, uint64_t now_us)
{
	uint64_t epoch = member_view_epoch(v);

	if (ls->sealed_epoch == epoch && ls->settled_epoch != epoch &&
	    now_us >= ls->sealed_us + member_flight_us() + MEMBER_LOAD_MAX_US) {
		ls->settled_epoch = epoch;
		ls->plan_stale = true;
		lessor_release_shares(ls, v);
	}
	if (!ls->shares_known && ls->settled_epoch == epoch)
		ls->shares_known = lessor_all_confirmed(ls, v);
}

/* Sum what all processes may be using. */
static void
lessor_sum_used(struct member_lessor *ls, const struct member_view *v)
{
	bool settled = ls->settled_epoch == member_view_epoch(v);
	struct lessor_share used;
	struct lessor_peer *peer;
	struct lessor_proc *proc;
	const struct member *m;
	size_t i, j;

	ls->used_in_flight = 0;
	ls->used_rate_milli = 0;
	for (i = 0; i < map_count(ls->peers); i++) {
		peer = map_at(ls->peers, i);
		m = member_view_find(v, peer->id);
		for (j = 0; j < 2; j++) {
			proc = &peer->procs[j];
			proc->counted = !settled ||
			    (m != NULL && m->incarnation == proc->incarnation);
			if (!proc->counted)
				continue;
			used = lessor_share_used(proc);
			ls->used_in_flight += used.in_flight;
			ls->used_rate_milli += used.rate_milli;
		}
	}
}

static bool
lessor_has_demand(const struct lessor_proc *proc)
{
	return proc->waiting_loads > 0 || proc->loads_in_flight > 0;
}

/* The members that hold a lease, and where one of them stands among them. */
struct lessor_demand {
	uint64_t members, rank; /* rank: members before it */
	uint64_t demanding, demanding_rank; /* the same of those with demand */
	uint64_t weight, weight_before, weight_own; /* of their stall */
};

static uint64_t
lessor_demand_weight(const struct lessor_proc *proc)
{
	return lessor_has_demand(proc) ? proc->waiting_stall_us / 1000 + 1 : 0;
}

/* Share n by weight, rounded so that all shares add up to n. */
static uint64_t
lessor_portion(uint64_t n, uint64_t before, uint64_t own, uint64_t all)
{
	if (all == 0)
		return 0;
	return (n * (before + own) + all / 2) / all -
	    (n * before + all / 2) / all;
}

static uint32_t
lessor_target_in_flight(const struct member_lessor *ls,
    const struct lessor_demand *c, uint64_t now_us)
{
	uint64_t cap = ls->store_in_flight,
		 turn = now_us / LESSOR_ROTATE_INTERVAL_US;
	uint64_t least = cap >= 2 * c->members ? 1 : 0, rest, wanting;

	if (c->members == 0)
		return 0;
	rest = cap - least * c->members;
	if (c->demanding == 0)
		return (uint32_t)(least +
		    lessor_portion(
			rest, (c->rank + turn) % c->members, 1, c->members));
	if (c->weight_own == 0)
		return (uint32_t)least;
	if (least == 0 && c->demanding >= rest)
		return (c->demanding_rank + turn) % c->demanding < rest ? 1 : 0;
	wanting = least == 0 ? 1 : 0;
	rest -= wanting * c->demanding;
	return (uint32_t)(least + wanting +
	    lessor_portion(rest, c->weight_before, c->weight_own, c->weight));
}

static uint32_t
lessor_target_rate(
    const struct member_lessor *ls, const struct lessor_demand *c)
{
	uint64_t even = ls->store_rate_milli;

	if (c->demanding > 0)
		even /= LESSOR_EVEN_RATE_DIVISOR;
	return (uint32_t)(lessor_portion(even, c->rank, 1, c->members) +
	    lessor_portion(ls->store_rate_milli - even, c->weight_before,
		c->weight_own, c->weight));
}

/* The process of the i-th member if it holds a lease, else NULL. */
static struct lessor_proc *
lessor_leased_proc(const struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us, size_t i)
{
	struct lessor_proc *proc = lessor_find_proc(ls, member_view_at(v, i));

	return proc != NULL && now_us < proc->lease_end_us ? proc : NULL;
}

/* Set the share that each member should come to. */
static void
lessor_plan_shares(
    struct member_lessor *ls, const struct member_view *v, uint64_t now_us)
{
	struct lessor_demand c = {0};
	struct lessor_proc *proc;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		proc = lessor_leased_proc(ls, v, now_us, i);
		if (proc == NULL)
			continue;
		c.members++;
		c.demanding += lessor_has_demand(proc);
		c.weight += lessor_demand_weight(proc);
	}
	for (i = 0; i < member_view_count(v); i++) {
		proc = lessor_leased_proc(ls, v, now_us, i);
		if (proc == NULL)
			continue;
		c.weight_own = lessor_demand_weight(proc);
		proc->target.in_flight =
		    lessor_target_in_flight(ls, &c, now_us);
		proc->target.rate_milli = lessor_target_rate(ls, &c);
		c.rank++;
		c.demanding_rank += lessor_has_demand(proc);
		c.weight_before += c.weight_own;
	}
	lessor_sum_used(ls, v);
}

/* What one may have of a whole of which others use a part. */
static uint32_t
lessor_limit_share(uint32_t wanted, uint64_t whole, uint64_t others)
{
	uint64_t left = whole > others ? whole - others : 0;

	return wanted < left ? wanted : (uint32_t)left;
}

/* Remember what is told, joined with the last when it is the same. */
static void
lessor_record_offer(struct lessor_proc *proc, uint64_t sent_us,
    uint32_t *in_flight, uint32_t *rate_milli)
{
	struct lessor_share *last =
	    proc->noffers > 0 ? &proc->offers[proc->noffers - 1] : NULL;

	if (proc->noffers == LESSOR_OFFERS_MAX) {
		*in_flight = last->in_flight;
		*rate_milli = last->rate_milli;
	}
	if (last == NULL || last->in_flight != *in_flight ||
	    last->rate_milli != *rate_milli)
		last = &proc->offers[proc->noffers++];
	last->sent_us = sent_us;
	last->in_flight = *in_flight;
	last->rate_milli = *rate_milli;
}

/* What this process may have beside the others. */
static struct lessor_share
lessor_share_available(
    const struct member_lessor *ls, const struct lessor_proc *proc)
{
	struct lessor_share used = lessor_share_used(proc), left = {0};
	uint64_t others = ls->used_in_flight, others_rate = ls->used_rate_milli;

	if (proc->counted) {
		others -= used.in_flight;
		others_rate -= used.rate_milli;
	}
	left.in_flight =
	    lessor_limit_share(UINT32_MAX, ls->store_in_flight, others);
	left.rate_milli =
	    lessor_limit_share(UINT32_MAX, ls->store_rate_milli, others_rate);
	return left;
}

void
lessor_permit_fill(struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us, struct lessor_proc *proc, bool leased,
    Wire__LeaseReply *out)
{
	struct lessor_share used, left;

	if (now_us >= ls->authority_until_us)
		return;
	if (lessor_sweep_due(v, now_us, &ls->planned_us) || ls->plan_stale) {
		ls->plan_stale = false;
		lessor_plan_shares(ls, v, now_us);
	}
	used = lessor_share_used(proc);
	out->permits = true;
	/* Until all shares are known, none grows. */
	out->permits_at_most = member_guards.permit_hold &&
	    (!ls->shares_known || !proc->share_confirmed);
	left = out->permits_at_most ? used : lessor_share_available(ls, proc);
	if (leased) {
		out->permit_in_flight = lessor_limit_share(
		    proc->target.in_flight, left.in_flight, 0);
		out->permit_rate_milli = lessor_limit_share(
		    proc->target.rate_milli, left.rate_milli, 0);
	}
	lessor_record_offer(proc, out->sent_us, &out->permit_in_flight,
	    &out->permit_rate_milli);
	lessor_update_used(ls, proc, used);
}
