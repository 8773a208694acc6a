#include <stdlib.h>
#include <string.h>

#include "member/member.h"
#include "member/member_guard.h"
#include "member/member_holder.h"
#include "member/member_time.h"
#include "util/mem.h"

/*
 * A holder counts every lease from the moment it sent what the lease
 * answers, by its own clock, and only for a message that it did send: an
 * answer meant for an earlier process of the instance counts for nothing.
 */

struct member_holder *
member_holder_create(uint32_t self, uint64_t incarnation)
{
	struct member_holder *h = mem_alloc(1, sizeof(*h));

	h->self = self;
	h->incarnation = incarnation;
	return h;
}

void
member_holder_destroy(struct member_holder *h)
{
	if (h == NULL)
		return;
	free(h->supports);
	free(h);
}

static void
member_sent_note(struct member_sent_times *s, uint64_t now_us)
{
	s->sent_us[s->count++ % MEMBER_SENT_MAX] = now_us;
}

static bool
member_sent_known(const struct member_sent_times *s, uint64_t sent_us)
{
	size_t i, n = s->count < MEMBER_SENT_MAX ? s->count : MEMBER_SENT_MAX;

	for (i = 0; i < n; i++)
		if (s->sent_us[i] == sent_us)
			return true;
	return false;
}

/* An earlier process of this instance may have promised just before it
 * ended. */
static void
member_holder_start(struct member_holder *h, uint64_t now_us)
{
	if (h->clock_started)
		return;
	h->clock_started = true;
	if (member_guards.promise)
		h->promise_until_us = now_us + member_promise_us();
}

void
member_holder_on_view(struct member_holder *h, const struct member_view *v)
{
	const struct member *m = member_view_find(v, h->self);

	if (member_view_epoch(v) != h->epoch)
		h->next_renew_us = 0;
	h->epoch = member_view_epoch(v);
	h->is_large = member_view_count(v) > member_large_threshold;
	h->is_member = m != NULL && m->incarnation == h->incarnation;
}

uint64_t
member_holder_renew_interval_us(const struct member_holder *h)
{
	return h->is_large ? MEMBER_RENEW_LARGE_INTERVAL_US
			   : MEMBER_RENEW_INTERVAL_US;
}

bool
member_holder_is_large(const struct member_holder *h)
{
	return h->is_large;
}

bool
member_holder_renew_due(struct member_holder *h, uint64_t now_us)
{
	member_holder_start(h, now_us);
	if (now_us < h->next_renew_us)
		return false;
	h->next_renew_us = now_us + member_holder_renew_interval_us(h);
	return true;
}

/* Peers are asked when the lease has not been renewed for a while. */
static uint64_t
member_holder_ping_at(const struct member_holder *h)
{
	uint64_t worry = h->lease_until_us < MEMBER_LEASE_US / 2
	    ? 0
	    : h->lease_until_us - MEMBER_LEASE_US / 2;

	return h->next_ping_us > worry ? h->next_ping_us : worry;
}

bool
member_holder_ping_due(struct member_holder *h, uint64_t now_us)
{
	member_holder_start(h, now_us);
	if (now_us < member_holder_ping_at(h))
		return false;
	h->next_ping_us = now_us + MEMBER_PING_INTERVAL_US;
	member_sent_note(&h->pings_sent, now_us);
	return true;
}

uint64_t
member_holder_next_due_us(const struct member_holder *h)
{
	uint64_t ping = member_holder_ping_at(h);

	return h->next_renew_us < ping ? h->next_renew_us : ping;
}

void
member_holder_fill_renew(struct member_holder *h, uint64_t now_us,
    uint64_t applied, uint64_t epoch, Wire__LeaseRenew *out)
{
	member_holder_start(h, now_us);
	member_sent_note(&h->renews_sent, now_us);
	out->sent_us = now_us;
	out->applied = applied;
	out->epoch = epoch;
	out->promise_over = now_us >= h->promise_until_us;
	out->got_us = h->permit_sent_us;
	out->permit_term = h->permit_term;
	out->permit_in_flight = h->permit_in_flight;
	out->permit_rate_milli = h->permit_rate_milli;
}

static uint32_t
member_least(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* A deposed leader may have told more than its successor knows of. */
static void
member_holder_take_permits(
    struct member_holder *h, const Wire__LeaseReply *reply)
{
	if (!reply->permits || reply->term < h->permit_term ||
	    (reply->term == h->permit_term &&
		reply->sent_us <= h->permit_sent_us))
		return;
	h->permit_term = reply->term;
	h->permit_sent_us = reply->sent_us;
	if (reply->permits_at_most) {
		h->permit_in_flight =
		    member_least(h->permit_in_flight, reply->permit_in_flight);
		h->permit_rate_milli = member_least(
		    h->permit_rate_milli, reply->permit_rate_milli);
		return;
	}
	h->permit_in_flight = reply->permit_in_flight;
	h->permit_rate_milli = reply->permit_rate_milli;
}

void
member_holder_on_lease(
    struct member_holder *h, uint64_t now_us, const Wire__LeaseReply *reply)
{
	uint64_t from;

	if (!member_sent_known(&h->renews_sent, reply->sent_us) ||
	    now_us >= reply->sent_us + MEMBER_LEASE_US)
		return;
	if (reply->active_epoch > h->active_epoch)
		h->active_epoch = reply->active_epoch;
	if (reply->in_force > h->in_force)
		h->in_force = reply->in_force;
	if (reply->sent_us > h->leader_sent_us) {
		h->leader_sent_us = reply->sent_us;
		h->leader = reply->leader;
	}
	member_holder_take_permits(h, reply);
	if (!reply->granted || reply->sent_us <= h->lease_sent_us)
		return;
	from = member_guards.lease_from_send ? reply->sent_us : now_us;
	h->lease_sent_us = reply->sent_us;
	h->lease_until_us = from + member_shorten_for_drift(MEMBER_LEASE_US);
	h->lease_required = member_guards.lease_required ? reply->required : 0;
}

void
member_holder_on_ping(struct member_holder *h, uint64_t now_us,
    uint64_t applied, const Wire__Ping *ping, Wire__Pong *out)
{
	member_holder_start(h, now_us);
	wire__pong__init(out);
	out->sent_us = ping->sent_us;
	out->leaderless = h->is_member && now_us >= h->lease_until_us;
	out->required = applied;
	if (out->leaderless && member_guards.promise)
		h->promise_until_us = now_us + member_promise_us();
}

static struct member_support *
member_holder_support(struct member_holder *h, uint32_t id)
{
	struct member_support *s;
	size_t i;

	for (i = 0; i < h->nsupports; i++)
		if (h->supports[i].id == id)
			return &h->supports[i];
	h->supports =
	    mem_resize(h->supports, h->nsupports + 1, sizeof(*h->supports));
	s = &h->supports[h->nsupports++];
	memset(s, 0, sizeof(*s));
	s->id = id;
	return s;
}

void
member_holder_on_pong(struct member_holder *h, uint64_t now_us, uint32_t from,
    uint64_t from_epoch, const Wire__Pong *pong)
{
	struct member_support *s;
	uint64_t until = member_guards.lease_from_send ? pong->sent_us : now_us;

	if (!pong->leaderless || from == h->self ||
	    !member_sent_known(&h->pings_sent, pong->sent_us))
		return;
	until += member_shorten_for_drift(MEMBER_LEASE_US);
	s = member_holder_support(h, from);
	if (from_epoch < s->epoch || until <= s->until_us)
		return;
	s->epoch = from_epoch;
	s->until_us = until;
	s->required = member_guards.support_required ? pong->required : 0;
}

static bool
member_support_counts(const struct member_support *s,
    const struct member_view *v, uint64_t now_us, uint64_t applied)
{
	const struct member *m = member_view_find(v, s->id);

	if (m == NULL || !member_view_is_supporter(v, m))
		return false;
	if (member_guards.same_epoch && s->epoch != member_view_epoch(v))
		return false;
	return now_us < s->until_us && applied >= s->required;
}

/*
 * Until when a majority of the supporters stands behind this instance, or 0.
 * Supporters that have applied more than we have do not count: a majority
 * that knows of a newer document must not be passed by.
 */
static uint64_t
member_holder_supported_until(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied)
{
	const struct member *self = member_view_find(v, h->self);
	uint64_t *ends, end = 0, swap;
	size_t i, j, n = 0, all = 0, need;

	if (self == NULL || self->incarnation != h->incarnation)
		return 0;
	for (i = 0; i < member_view_count(v); i++)
		all += member_view_is_supporter(v, member_view_at(v, i));
	need = all / 2 + 1 - member_view_is_supporter(v, self);
	if (need == 0)
		return now_us + MEMBER_PING_INTERVAL_US;
	ends = mem_alloc(h->nsupports, sizeof(*ends));
	for (i = 0; i < h->nsupports; i++)
		if (member_support_counts(&h->supports[i], v, now_us, applied))
			ends[n++] = h->supports[i].until_us;
	/* The latest ends to the front, as many as are needed. */
	for (i = 0; i < need && i < n; i++)
		for (j = i + 1; j < n; j++)
			if (ends[j] > ends[i]) {
				swap = ends[i];
				ends[i] = ends[j];
				ends[j] = swap;
			}
	if (n >= need)
		end = ends[need - 1];
	free(ends);
	return end;
}

enum member_standing
member_holder_standing(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied)
{
	if (now_us < h->lease_until_us)
		return applied >= h->lease_required ? MEMBER_LEASED
						    : MEMBER_CATCHING_UP;
	return member_holder_supported_until(h, v, now_us, applied) != 0
	    ? MEMBER_SUPPORTED
	    : MEMBER_ALONE;
}

uint64_t
member_holder_act_until_us(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied)
{
	if (now_us < h->lease_until_us)
		return applied >= h->lease_required ? h->lease_until_us : 0;
	return member_holder_supported_until(h, v, now_us, applied);
}

bool
member_holder_may_act(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied)
{
	return member_holder_act_until_us(h, v, now_us, applied) != 0;
}

uint64_t
member_holder_active_epoch(const struct member_holder *h)
{
	return h->active_epoch;
}

uint64_t
member_holder_in_force(const struct member_holder *h)
{
	return h->in_force;
}

uint32_t
member_holder_leader(const struct member_holder *h)
{
	return h->leader;
}

uint32_t
member_holder_permit_in_flight(const struct member_holder *h)
{
	return h->permit_in_flight;
}

uint32_t
member_holder_permit_rate_milli(const struct member_holder *h)
{
	return h->permit_rate_milli;
}
