/*
 * The lessor's division of the weight store's permits among the members.
 *
 * The weight store admits a limited number of loads at the same time and a
 * limited rate of them. Each limit is divided into shares. What one member may
 * still be using is the largest of the share that its newest renewal says it
 * holds, of the shares offered to it since, and of its loads in flight. The
 * sum of these over all members never exceeds the limit. A silent member,
 * which its peers may support, keeps its share until the epoch without it is
 * sealed and its loads have certainly ended.
 */
#include <string.h>

#include "member/member.h"
#include "member/member_guard.h"
#include "member/member_lessor.h"
#include "member/member_time.h"

/* Divisor of the rate for the part divided evenly while there is demand. */
#define LESSOR_EVEN_RATE_DIVISOR 8

/* The largest share that a process may be using. */
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

/* Updates the sum of used shares after that of a counted process changed. */
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
	size_t i, remaining = 0;

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
				proc->offers[remaining++] = proc->offers[i];
		proc->noffers = remaining;
	}
	lessor_update_used(ls, proc, before);
}

/* In a settled epoch, processes that are not members can use no share. */
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

/* Whether all members hold a share from this leader. */
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
 * Once all members of a settled epoch hold a share from this leader, and so
 * accept none from earlier leaders, every share is known for as long as it
 * leads.
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

/*
 * Sums what all processes may be using. Until the epoch is settled, processes
 * that are not members count as well.
 */
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

/* Totals over the members that hold a lease, and the position of one. */
struct lessor_demand {
	uint64_t members, rank; /* all, and those before it */
	uint64_t demanding, demanding_rank; /* the same, with demand only */
	/* Sums of lessor_demand_weight(): all, those before it, and its own. */
	uint64_t weight, weight_before, weight_own;
};

/* Waiting time of loads in milliseconds plus 1; 0 without demand. */
static uint64_t
lessor_demand_weight(const struct lessor_proc *proc)
{
	return lessor_has_demand(proc) ? proc->waiting_stall_us / 1000 + 1 : 0;
}

/*
 * The portion of n for a weight of own out of all, where before is the sum of
 * the weights before it. Rounded so that all portions add up to n.
 */
static uint64_t
lessor_portion(uint64_t n, uint64_t before, uint64_t own, uint64_t all)
{
	if (all == 0)
		return 0;
	return (n * (before + own) + all / 2) / all -
	    (n * before + all / 2) / all;
}

/*
 * The number of permits for loads at the same time that a member should hold.
 * Each member gets one when there are at least two for each. The rest goes to
 * the members with demand, at least one to each and more by weight. When there
 * are too few for one each, they rotate among these members every
 * LESSOR_ROTATE_INTERVAL_US. Without any demand the rest is divided evenly, and
 * any remainder rotates.
 */
static uint32_t
lessor_target_in_flight(const struct member_lessor *ls,
    const struct lessor_demand *d, uint64_t now_us)
{
	uint64_t permits = ls->store_in_flight,
		 rotation = now_us / LESSOR_ROTATE_INTERVAL_US;
	uint64_t least = permits >= 2 * d->members ? 1 : 0, rest, one_each;

	if (d->members == 0)
		return 0;
	rest = permits - least * d->members;
	if (d->demanding == 0)
		return (uint32_t)(least +
		    lessor_portion(rest, (d->rank + rotation) % d->members, 1,
			d->members));
	if (d->weight_own == 0)
		return (uint32_t)least;
	if (least == 0 && d->demanding >= rest)
		return (d->demanding_rank + rotation) % d->demanding < rest ? 1
									    : 0;
	one_each = least == 0 ? 1 : 0;
	rest -= one_each * d->demanding;
	return (uint32_t)(least + one_each +
	    lessor_portion(rest, d->weight_before, d->weight_own, d->weight));
}

/*
 * The rate that a member should hold: an even part, and the rest by weight
 * where there is demand.
 */
static uint32_t
lessor_target_rate(
    const struct member_lessor *ls, const struct lessor_demand *d)
{
	uint64_t even = ls->store_rate_milli;

	if (d->demanding > 0)
		even /= LESSOR_EVEN_RATE_DIVISOR;
	return (uint32_t)(lessor_portion(even, d->rank, 1, d->members) +
	    lessor_portion(ls->store_rate_milli - even, d->weight_before,
		d->weight_own, d->weight));
}

/* The process of the i-th member if it holds a lease, else NULL. */
static struct lessor_proc *
lessor_leased_proc(const struct member_lessor *ls, const struct member_view *v,
    uint64_t now_us, size_t i)
{
	struct lessor_proc *proc = lessor_find_proc(ls, member_view_at(v, i));

	return proc != NULL && now_us < proc->lease_end_us ? proc : NULL;
}

/* Plans the share that each member with a lease should hold. */
static void
lessor_plan_shares(
    struct member_lessor *ls, const struct member_view *v, uint64_t now_us)
{
	struct lessor_demand d = {0};
	struct lessor_proc *proc;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		proc = lessor_leased_proc(ls, v, now_us, i);
		if (proc == NULL)
			continue;
		d.members++;
		d.demanding += lessor_has_demand(proc);
		d.weight += lessor_demand_weight(proc);
	}
	for (i = 0; i < member_view_count(v); i++) {
		proc = lessor_leased_proc(ls, v, now_us, i);
		if (proc == NULL)
			continue;
		d.weight_own = lessor_demand_weight(proc);
		proc->target.in_flight =
		    lessor_target_in_flight(ls, &d, now_us);
		proc->target.rate_milli = lessor_target_rate(ls, &d);
		d.rank++;
		d.demanding_rank += lessor_has_demand(proc);
		d.weight_before += d.weight_own;
	}
	lessor_sum_used(ls, v);
}

/* The part of wanted that a total leaves when others use some of it. */
static uint32_t
lessor_limit_share(uint32_t wanted, uint64_t total, uint64_t others)
{
	uint64_t left = total > others ? total - others : 0;

	return wanted < left ? wanted : (uint32_t)left;
}

/*
 * Records an offer; one equal to the last offer only updates its time. With
 * no room for another, the last offer is repeated instead of this one.
 */
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

/* The share that the other processes leave for this one. */
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
	/* No share grows until all shares are known. */
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
