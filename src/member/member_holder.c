/*
 * The holder: leases and support as this instance counts them, and the
 * promises that it gives to its peers.
 *
 * A holder counts each lease from the time at which it sent the message that
 * the lease answers, by its own clock. It accepts a reply only to a message
 * that it has sent itself, so a reply to an earlier process of the instance
 * has no effect.
 */
#include <stdlib.h>
#include <string.h>

#include "member/member.h"
#include "member/member_freshness.h"
#include "member/member_guard.h"
#include "member/member_holder.h"
#include "member/member_time.h"
#include "util/mem.h"

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
member_sent_record(struct member_sent_times *s, uint64_t now_us)
{
	s->sent_us[s->count++ % MEMBER_SENT_MAX] = now_us;
}

static bool
member_sent_contains(const struct member_sent_times *s, uint64_t sent_us)
{
	size_t i, n = s->count < MEMBER_SENT_MAX ? s->count : MEMBER_SENT_MAX;

	for (i = 0; i < n; i++)
		if (s->sent_us[i] == sent_us)
			return true;
	return false;
}

/*
 * Starts the clock at the first call that passes a time. An earlier process
 * of this instance may have given a promise just before it ended, so one is
 * assumed to run.
 */
static void
member_holder_start_clock(struct member_holder *h, uint64_t now_us)
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
	h->replaces = m == NULL || h->is_member ? 0 : m->incarnation;
}

/*
 * Whether a promise has ended that the newest renewal said to run: what this
 * instance acknowledges counts from now on, and an epoch may wait for it.
 */
static bool
member_holder_promise_ended(const struct member_holder *h, uint64_t now_us)
{
	return h->promise_renewed && now_us >= h->promise_until_us;
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
	member_holder_start_clock(h, now_us);
	if (now_us < h->next_renew_us &&
	    !member_holder_promise_ended(h, now_us))
		return false;
	h->next_renew_us = now_us + member_holder_renew_interval_us(h);
	return true;
}

/*
 * Peers are pinged only when the lease has not been renewed for a while: at
 * most half of MEMBER_LEASE_US of it is left.
 */
static uint64_t
member_holder_earliest_ping_us(const struct member_holder *h)
{
	uint64_t overdue_us = h->lease_until_us < MEMBER_LEASE_US / 2
	    ? 0
	    : h->lease_until_us - MEMBER_LEASE_US / 2;

	return h->next_ping_us > overdue_us ? h->next_ping_us : overdue_us;
}

bool
member_holder_ping_due(struct member_holder *h, uint64_t now_us)
{
	member_holder_start_clock(h, now_us);
	if (now_us < member_holder_earliest_ping_us(h))
		return false;
	h->next_ping_us = now_us + MEMBER_PING_INTERVAL_US;
	member_sent_record(&h->pings_sent, now_us);
	return true;
}

uint64_t
member_holder_next_due_us(const struct member_holder *h)
{
	uint64_t ping = member_holder_earliest_ping_us(h);
	uint64_t renew = h->next_renew_us;

	if (h->promise_renewed && h->promise_until_us < renew)
		renew = h->promise_until_us;
	return renew < ping ? renew : ping;
}

void
member_holder_fill_renew(struct member_holder *h, uint64_t now_us,
    uint64_t applied, uint64_t epoch, Wire__LeaseRenew *out)
{
	member_holder_start_clock(h, now_us);
	member_sent_record(&h->renews_sent, now_us);
	out->sent_us = now_us;
	out->applied = applied;
	out->epoch = epoch;
	out->promise_over = now_us >= h->promise_until_us;
	h->promise_renewed = !out->promise_over;
	out->replaces = h->replaces;
	out->got_us = h->permit_sent_us;
	out->permit_term = h->permit_term;
	out->permit_in_flight = h->permit_in_flight;
	out->permit_rate_milli = h->permit_rate_milli;
}

static uint32_t
member_min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/*
 * Takes the share of permits from a reply with permits, unless it is older
 * than the one held. A deposed leader may have offered more than its successor
 * knows, so a reply may limit the share held instead of replacing it.
 */
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
		h->permit_in_flight = member_min_u32(
		    h->permit_in_flight, reply->permit_in_flight);
		h->permit_rate_milli = member_min_u32(
		    h->permit_rate_milli, reply->permit_rate_milli);
		return;
	}
	h->permit_in_flight = reply->permit_in_flight;
	h->permit_rate_milli = reply->permit_rate_milli;
}

/*
 * Takes the leader that an answer names, unless a newer one names another. Of
 * the answers to one renewal, that of a leader with authority counts; the
 * others repeat what an instance has heard, and one that is cut off from the
 * leader may be the first to answer each time.
 */
static void
member_holder_take_leader(
    struct member_holder *h, const Wire__LeaseReply *reply)
{
	bool has_authority = member_reply_has_authority(reply) &&
	    member_guards.leader_by_authority;

	if (reply->sent_us < h->leader_sent_us)
		return;
	if (reply->sent_us == h->leader_sent_us && !has_authority &&
	    h->leader != 0)
		return;
	h->leader_sent_us = reply->sent_us;
	h->leader = reply->leader;
}

bool
member_holder_on_lease(
    struct member_holder *h, uint64_t now_us, const Wire__LeaseReply *reply)
{
	uint64_t from_us;

	if (!member_sent_contains(&h->renews_sent, reply->sent_us) ||
	    now_us >= reply->sent_us + MEMBER_LEASE_US)
		return false;
	if (reply->active_epoch > h->active_epoch)
		h->active_epoch = reply->active_epoch;
	if (reply->in_force > h->in_force)
		h->in_force = reply->in_force;
	if (member_reply_has_authority(reply) &&
	    reply->sent_us > h->authority_sent_us)
		h->authority_sent_us = reply->sent_us;
	member_holder_take_leader(h, reply);
	member_holder_take_permits(h, reply);
	if (!reply->granted || reply->sent_us <= h->lease_sent_us)
		return true;
	from_us = member_guards.lease_from_send ? reply->sent_us : now_us;
	h->lease_sent_us = reply->sent_us;
	h->lease_until_us = from_us + member_shorten_for_drift(MEMBER_LEASE_US);
	h->lease_required = member_guards.lease_required ? reply->required : 0;
	return true;
}

/*
 * Whether this instance knows of no leader. One that has just become a member
 * has no lease yet, but the leader that answers its renewals will grant one; a
 * promise would only keep the new epoch from being sealed.
 */
static bool
member_holder_is_leaderless(const struct member_holder *h, uint64_t now_us)
{
	return now_us >= h->lease_until_us &&
	    (h->authority_sent_us == 0 ||
		now_us >= h->authority_sent_us + MEMBER_LEASE_US / 2);
}

void
member_holder_on_ping(struct member_holder *h, uint64_t now_us,
    uint64_t applied, const Wire__Ping *ping, Wire__Pong *out)
{
	member_holder_start_clock(h, now_us);
	wire__pong__init(out);
	out->sent_us = ping->sent_us;
	out->leaderless =
	    h->is_member && member_holder_is_leaderless(h, now_us);
	out->required = applied;
	if (out->leaderless && member_guards.promise)
		h->promise_until_us = now_us + member_promise_us();
}

/* The support of a peer; an empty one is added when there is none. */
static struct member_support *
member_holder_ensure_support(struct member_holder *h, uint32_t id)
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
	uint64_t until_us =
	    member_guards.lease_from_send ? pong->sent_us : now_us;

	if (!pong->leaderless || from == h->self ||
	    !member_sent_contains(&h->pings_sent, pong->sent_us))
		return;
	until_us += member_shorten_for_drift(MEMBER_LEASE_US);
	s = member_holder_ensure_support(h, from);
	if (from_epoch < s->epoch || until_us <= s->until_us)
		return;
	s->epoch = from_epoch;
	s->until_us = until_us;
	s->required = member_guards.support_required ? pong->required : 0;
}

/* Whether a support counts now, for this view and applied index. */
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
 * Time until which a majority of the supporters supports this instance, or 0.
 * Supporters that have applied more than this instance do not count: it must
 * not act on an older document than a majority knows.
 */
static uint64_t
member_holder_supported_until_us(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied)
{
	const struct member *self = member_view_find(v, h->self);
	uint64_t *ends_us, end_us = 0, swap;
	size_t i, j, n = 0, supporters = 0, need;

	if (self == NULL || self->incarnation != h->incarnation)
		return 0;
	for (i = 0; i < member_view_count(v); i++)
		supporters += member_view_is_supporter(v, member_view_at(v, i));
	need = supporters / 2 + 1 - member_view_is_supporter(v, self);
	if (need == 0)
		return now_us + MEMBER_PING_INTERVAL_US;
	ends_us = mem_alloc(h->nsupports, sizeof(*ends_us));
	for (i = 0; i < h->nsupports; i++)
		if (member_support_counts(&h->supports[i], v, now_us, applied))
			ends_us[n++] = h->supports[i].until_us;
	/* Sorts the latest ends to the front, as many as are needed. */
	for (i = 0; i < need && i < n; i++)
		for (j = i + 1; j < n; j++)
			if (ends_us[j] > ends_us[i]) {
				swap = ends_us[i];
				ends_us[i] = ends_us[j];
				ends_us[j] = swap;
			}
	if (n >= need)
		end_us = ends_us[need - 1];
	free(ends_us);
	return end_us;
}

enum member_standing
member_holder_standing(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied)
{
	if (now_us < h->lease_until_us)
		return applied >= h->lease_required ? MEMBER_LEASED
						    : MEMBER_CATCHING_UP;
	return member_holder_supported_until_us(h, v, now_us, applied) != 0
	    ? MEMBER_SUPPORTED
	    : MEMBER_ALONE;
}

uint64_t
member_holder_act_until_us(const struct member_holder *h,
    const struct member_view *v, uint64_t now_us, uint64_t applied)
{
	if (now_us < h->lease_until_us)
		return applied >= h->lease_required ? h->lease_until_us : 0;
	return member_holder_supported_until_us(h, v, now_us, applied);
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
