#include <string.h>

#include "member/member.h"
#include "member/member_guard.h"
#include "member/member_keeper.h"

/*
 * The weight store admits so many loads at once and so many a second. Each
 * is split over the members; what one member may still be using is the
 * largest of the share that its newest renewal says it holds, of the shares
 * told since and of the loads it has under way. The sum of these never
 * exceeds the whole. A silent member, which its peers may support, keeps its
 * share until its removal is sealed.
 */

#define KEEPER_EVEN_PART 8 /* one part in so many of the rate is spread */

void
keeper_permit_renew(struct keeper_proc *proc, const Wire__LeaseRenew *r)
{
	size_t i, kept = 0;

	proc->waiting_loads = r->waiting_loads;
	proc->waiting_stall_us = r->waiting_stall_us;
	proc->loads_in_flight = r->loads_in_flight;
	proc->held.sent_us = r->got_us;
	proc->held.in_flight = r->permit_in_flight;
	proc->held.rate_milli = r->permit_rate_milli;
	for (i = 0; i < proc->ntold; i++)
		if (proc->told[i].sent_us > r->got_us)
			proc->told[kept++] = proc->told[i];
	proc->ntold = kept;
}

static struct keeper_share
keeper_share_used(const struct keeper_proc *proc)
{
	struct keeper_share used = proc->held;
	size_t i;

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

/* Can this process still use the share that it was told? */
static bool
keeper_may_spend(
    const struct member *m, const struct keeper_proc *proc, bool sealed)
{
	if (proc->incarnation == 0)
		return false;
	return !sealed || (m != NULL && m->incarnation == proc->incarnation);
}

/* Bring one process's part of the sum up to date. */
static void
keeper_spent_update(struct member_keeper *k, struct keeper_proc *proc)
{
	struct keeper_share used;

	if (!k->spent_valid || !proc->spent)
		return;
	used = keeper_share_used(proc);
	k->spent_in_flight += used.in_flight;
	k->spent_in_flight -= proc->spent_in_flight;
	k->spent_rate_milli += used.rate_milli;
	k->spent_rate_milli -= proc->spent_rate_milli;
	proc->spent_in_flight = used.in_flight;
	proc->spent_rate_milli = used.rate_milli;
}

/* Sum up anew when the members, or the processes that count, changed. */
static void
keeper_spent_sum(struct member_keeper *k, const struct member_view *v)
{
	bool sealed = keeper_sealed(k, v);
	const struct member *m;
	struct keeper_peer *peer;
	struct keeper_proc *proc;
	size_t i, j;

	if (k->spent_valid && k->spent_epoch == member_view_epoch(v) &&
	    k->spent_sealed == sealed)
		return;
	k->spent_valid = true;
	k->spent_epoch = member_view_epoch(v);
	k->spent_sealed = sealed;
	k->spent_in_flight = k->spent_rate_milli = 0;
	for (i = 0; i < map_count(k->peers); i++) {
		peer = map_at(k->peers, i);
		m = member_view_find(v, peer->id);
		for (j = 0; j < 2; j++) {
			proc = &peer->procs[j];
			proc->spent = keeper_may_spend(m, proc, sealed);
			proc->spent_in_flight = proc->spent_rate_milli = 0;
			keeper_spent_update(k, proc);
		}
	}
}

static uint32_t
keeper_minus(uint32_t from, uint64_t n)
{
	return from > n ? from - (uint32_t)n : 0;
}

/* What is left beside all processes but this one. */
static struct keeper_share
keeper_share_left(const struct member_keeper *k, const struct keeper_proc *self)
{
	struct keeper_share left = {0, k->store_in_flight, k->store_rate_milli};
	uint64_t in_flight = k->spent_in_flight, rate = k->spent_rate_milli;

	if (self->spent) {
		in_flight -= self->spent_in_flight;
		rate -= self->spent_rate_milli;
	}
	left.in_flight = keeper_minus(left.in_flight, in_flight);
	left.rate_milli = keeper_minus(left.rate_milli, rate);
	return left;
}

/* Is every share known that an earlier leader may have told? */
static bool
keeper_shares_known(struct member_keeper *k, const struct member_view *v)
{
	size_t i;

	if (!member_guards.permit_hold)
		return true;
	if (k->known_epoch != member_view_epoch(v)) {
		for (i = 0; i < member_view_count(v); i++)
			if (keeper_member_proc(k, member_view_at(v, i)) == NULL)
				return false;
		k->known_epoch = member_view_epoch(v);
	}
	return keeper_sealed(k, v);
}

static bool
keeper_has_demand(const struct keeper_proc *proc)
{
	return proc->waiting_loads > 0 || proc->loads_in_flight > 0;
}

/* Count the members that hold a lease, and note each one's place. */
static void
keeper_crowd_count(
    struct member_keeper *k, const struct member_view *v, uint64_t now_us)
{
	struct keeper_crowd c = {0};
	const struct keeper_proc *proc;
	const struct member *m;
	struct keeper_peer *peer;
	size_t i;

	for (i = 0; i < member_view_count(v); i++) {
		m = member_view_at(v, i);
		proc = keeper_member_proc(k, m);
		if (proc == NULL || now_us >= proc->lease_end)
			continue;
		c.weight_own = keeper_has_demand(proc)
		    ? proc->waiting_stall_us / 1000 + 1
		    : 0;
		peer = keeper_peer_find(k, m->id);
		peer->crowd = c;
		peer->crowd_at = now_us;
		c.rank++;
		c.hungry_rank += c.weight_own > 0;
		c.weight_before += c.weight_own;
	}
	c.members = c.rank;
	c.hungry = c.hungry_rank;
	c.weight = c.weight_before;
	k->crowd = c;
	k->crowd_epoch = member_view_epoch(v);
	k->crowd_at = now_us;
}

/* The place of a member that holds a lease among all who do. */
static struct keeper_crowd
keeper_crowd_of(struct member_keeper *k, const struct member_view *v,
    uint64_t now_us, uint32_t id)
{
	const struct keeper_peer *peer = keeper_peer_find(k, id);
	struct keeper_crowd c;

	if (!keeper_too_soon(v, now_us, k->crowd_epoch, k->crowd_at) ||
	    peer->crowd_at != k->crowd_at)
		keeper_crowd_count(k, v, now_us);
	c = peer->crowd;
	c.members = k->crowd.members;
	c.hungry = k->crowd.hungry;
	c.weight = k->crowd.weight;
	return c;
}

/* Share n by weight so that all shares add up to n. */
static uint64_t
keeper_portion(uint64_t n, uint64_t before, uint64_t own, uint64_t all)
{
	if (all == 0)
		return 0;
	return n * (before + own) / all - n * before / all;
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

static uint32_t
keeper_least(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
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

void
keeper_permit_tell(struct member_keeper *k, const struct member_view *v,
    uint64_t now_us, uint32_t id, struct keeper_proc *proc, bool leased,
    Wire__LeaseReply *out)
{
	struct keeper_share left, used = keeper_share_used(proc);
	struct keeper_crowd crowd;

	keeper_spent_sum(k, v);
	keeper_spent_update(k, proc);
	out->permit_in_flight = proc->held.in_flight;
	out->permit_rate_milli = proc->held.rate_milli;
	if (now_us >= k->authority_until)
		return;
	if (leased) {
		crowd = keeper_crowd_of(k, v, now_us, id);
		left = keeper_shares_known(k, v) ? keeper_share_left(k, proc)
						 : used;
		out->permit_in_flight = keeper_least(
		    left.in_flight, keeper_target_in_flight(k, &crowd, now_us));
		out->permit_rate_milli = keeper_least(
		    left.rate_milli, keeper_target_rate(k, &crowd));
	} else {
		out->permit_in_flight = 0;
		out->permit_rate_milli = 0;
	}
	keeper_permit_note(proc, out->sent_us, &out->permit_in_flight,
	    &out->permit_rate_milli);
	keeper_spent_update(k, proc);
}
