#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "member_fixture.h"

/* One holder, one keeper and the view both have applied. */
struct pair_of {
	struct member_view *v;
	struct member_holder *h;
	struct member_lessor *k;
	uint64_t authority = UINT64_MAX;

	explicit pair_of(uint32_t n)
	{
		v = view_of(n);
		h = member_holder_create(1, 10);
		k = member_lessor_create(8, 5000);
		member_holder_on_view(h, v);
	}
	~pair_of()
	{
		member_view_destroy(v);
		member_holder_destroy(h);
		member_lessor_destroy(k);
	}
	/* A renewal sent and received at these times; the reply is not yet. */
	Wire__LeaseReply
	renew(
	    uint64_t sent, uint64_t received, uint64_t applied, uint64_t commit)
	{
		Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
		Wire__LeaseReply reply;
		member_holder_fill_renew(
		    h, sent, applied, member_view_epoch(v), &r);
		member_lessor_on_renew(
		    k, v, received, authority, 1, 10, commit, &r, &reply);
		return reply;
	}
	/* A renewal of another member, with nothing to hold back. */
	Wire__LeaseReply
	other(uint64_t now, uint32_t id, uint64_t incarnation, uint64_t applied,
	    uint64_t commit, Wire__MemberInfo *self = nullptr,
	    bool leaving = false)
	{
		Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
		Wire__LeaseReply reply;
		r.sent_us = now;
		r.applied = applied;
		r.epoch = member_view_epoch(v);
		r.promise_over = true;
		r.self = self;
		r.leaving = leaving;
		member_lessor_on_renew(
		    k, v, now, authority, id, incarnation, commit, &r, &reply);
		return reply;
	}
};

TEST(member_lease, counts_from_sending_and_waits_for_its_index)
{
	pair_of p(3);
	uint64_t t = 10000 * kMs;
	Wire__LeaseReply reply = p.renew(t, t + 100 * kMs, 5, 7);

	EXPECT_TRUE(reply.granted);
	EXPECT_EQ(reply.required, 7u);
	member_holder_on_lease(p.h, t + 200 * kMs, &reply);
	EXPECT_EQ(member_holder_standing(p.h, p.v, t + 200 * kMs, 6),
	    MEMBER_CATCHING_UP);
	EXPECT_EQ(member_holder_act_until_us(p.h, p.v, t + 200 * kMs, 6), 0u);
	EXPECT_EQ(
	    member_holder_standing(p.h, p.v, t + 200 * kMs, 7), MEMBER_LEASED);
	EXPECT_EQ(member_holder_act_until_us(p.h, p.v, t + 200 * kMs, 7),
	    t + 1900 * kMs);
	EXPECT_EQ(
	    member_holder_standing(p.h, p.v, t + 1900 * kMs, 7), MEMBER_ALONE);
	/* While it runs, a renewal keeps what it required. */
	reply = p.renew(t + 250 * kMs, t + 250 * kMs, 7, 90);
	EXPECT_EQ(reply.required, 7u);
	/* After it lapsed, the newest index is required. */
	reply = p.renew(t + 9000 * kMs, t + 9000 * kMs, 90, 95);
	EXPECT_EQ(reply.required, 95u);
}

TEST(member_lease, answers_to_another_process_count_for_nothing)
{
	pair_of p(3);
	uint64_t t = 10000 * kMs;
	Wire__LeaseReply reply = p.renew(t, t, 5, 5);

	reply.sent_us = t - 1;
	reply.active_epoch = 77;
	member_holder_on_lease(p.h, t, &reply);
	EXPECT_FALSE(member_holder_may_act(p.h, p.v, t, 5));
	EXPECT_EQ(member_holder_active_epoch(p.h), 0u);
}

TEST(member_lease, refusals)
{
	pair_of p(3);
	uint64_t t = 10000 * kMs;

	p.authority = t;
	EXPECT_STREQ(p.other(t, 1, 10, 5, 5).reason, "no-authority");
	p.authority = UINT64_MAX;
	EXPECT_STREQ(p.other(t, 9, 90, 5, 5).reason, "not-a-member");
	EXPECT_STREQ(p.other(t, 1, 11, 5, 5).reason, "other-incarnation");
	EXPECT_TRUE(p.other(t, 2, 20, 5, 5).granted);
	EXPECT_STREQ(p.other(t, 2, 20, 5, 5).reason, "late");
	/* Behind a commit of two seconds ago: no lease until caught up. */
	member_lessor_on_commit(p.k, t, 8);
	EXPECT_TRUE(p.other(t + 1, 2, 20, 5, 8).granted);
	t += 2200 * kMs;
	EXPECT_STREQ(p.other(t, 2, 20, 5, 8).reason, "behind");
	EXPECT_TRUE(p.other(t + 1, 2, 20, 8, 8).granted);
}

static int
wish(pair_of &p, uint64_t now, uint32_t id)
{
	struct member_change w;

	if (!member_lessor_next_change(p.k, p.v, now, &w))
		return -1;
	EXPECT_EQ(w.id, id);
	return w.type;
}

TEST(member_lease, a_silent_member_goes_when_its_lease_is_over)
{
	pair_of p(3);
	uint64_t t = 10000 * kMs, end = t + 2100 * kMs;

	for (uint32_t id = 1; id <= 3; id++)
		p.other(t, id, id * 10, 3, 3);
	for (uint64_t now = t + 250 * kMs; now < end; now += 250 * kMs) {
		p.other(now, 1, 10, 3, 3);
		p.other(now, 2, 20, 3, 3);
		EXPECT_EQ(wish(p, now, 0), -1);
	}
	EXPECT_EQ(wish(p, end - 1, 3), -1);
	EXPECT_EQ(wish(p, end, 3), MEMBER_CHANGE_DOWN);
	EXPECT_EQ(wish(p, end + 999 * kMs, 3), -1);
	/* Asked for, it gets no lease any more; the wish is repeated. */
	EXPECT_STREQ(p.other(end + 1, 3, 30, 3, 3).reason, "being-removed");
	EXPECT_EQ(wish(p, end + 1000 * kMs, 3), MEMBER_CHANGE_DOWN);
	member_view_apply_down(p.v, 4, 3, 30);
	EXPECT_EQ(wish(p, end + 2000 * kMs, 0), -1);
}

/*
 * Guards against: after the loss of all processes all members are removed
 * before the first one joins again, and the cluster is empty for seconds.
 */
TEST(member_lease, who_was_removed_joins_before_the_next_is_removed)
{
	pair_of p(4);
	uint64_t now = 10000 * kMs, index = 4;
	std::vector<int> types;
	size_t fewest = 4;

	for (uint32_t id = 1; id <= 4; id++)
		p.other(now, id, id * 10, 4, 4);
	for (int i = 0; i < 400 && types.size() < 8; i++) {
		struct member_change w;

		now += 25 * kMs;
		for (uint32_t id = 1; i % 10 == 0 && id <= 4; id++) {
			Wire__MemberInfo self = info_of(id, id * 10 + 1);

			p.other(now, id, id * 10 + 1, index, index, &self);
		}
		if (!member_lessor_next_change(p.k, p.v, now, &w))
			continue;
		types.push_back(w.type);
		index++;
		if (w.type == MEMBER_CHANGE_DOWN)
			member_view_apply_down(p.v, index, w.id, w.incarnation);
		else
			member_view_apply_up(p.v, index, w.info);
		fewest = std::min(fewest, member_view_count(p.v));
	}
	EXPECT_EQ(types.size(), 8U) << "each of four goes and comes";
	EXPECT_EQ(fewest, 3U);
}

TEST(member_lease, orders_of_a_removed_member_are_waited_for)
{
	pair_of p(3);
	uint64_t t = 10000 * kMs, end = t + 2100 * kMs,
		 landed = end + 300 * kMs;

	for (uint32_t id = 1; id <= 3; id++)
		p.other(t, id, id * 10, 3, 3);
	p.other(end - 1, 1, 10, 3, 3);
	p.other(end - 1, 2, 20, 3, 3);
	EXPECT_EQ(wish(p, end, 3), MEMBER_CHANGE_DOWN);
	member_view_apply_down(p.v, 4, 3, 30);
	p.other(end, 1, 10, 4, 4);
	p.other(end, 2, 20, 4, 4);
	EXPECT_EQ(member_lessor_active_epoch(p.k, p.v, landed - 1), 3u);
	EXPECT_EQ(member_lessor_in_force(p.k, p.v, landed - 1), 3u);
	EXPECT_EQ(member_lessor_active_epoch(p.k, p.v, landed), 4u);
	EXPECT_EQ(member_lessor_in_force(p.k, p.v, landed), 4u);
}

TEST(member_lease, nobody_goes_while_a_majority_is_silent)
{
	pair_of p(3);
	uint64_t t = 10000 * kMs;

	for (uint32_t id = 1; id <= 3; id++)
		p.other(t, id, id * 10, 3, 3);
	p.other(t + 5000 * kMs, 1, 10, 3, 3);
	EXPECT_EQ(wish(p, t + 5000 * kMs, 0), -1);
	/* A new process of a silent member is heard for it. */
	Wire__MemberInfo again = info_of(2, 21);
	p.other(t + 5100 * kMs, 2, 21, 3, 3, &again);
	EXPECT_EQ(wish(p, t + 5100 * kMs, 2), MEMBER_CHANGE_DOWN);
}

TEST(member_lease, a_new_leader_waits_for_earlier_leases)
{
	pair_of p(3);
	uint64_t t = 10000 * kMs, until = t + (2100 + 500 + 300) * kMs;
	Wire__MemberInfo again = info_of(3, 31);

	member_lessor_reset(p.k, t, 500 * kMs, 1);
	for (uint64_t now = t; now < until; now += 250 * kMs) {
		p.other(now, 1, 10, 3, 3);
		p.other(now, 2, 20, 3, 3);
		p.other(now, 3, 31, 3, 3, &again);
		EXPECT_EQ(wish(p, now, 0), -1);
		EXPECT_EQ(member_lessor_in_force(p.k, p.v, now), 0u);
		EXPECT_EQ(member_lessor_active_epoch(p.k, p.v, now), 0u);
	}
	EXPECT_EQ(wish(p, until, 3), MEMBER_CHANGE_DOWN);
	EXPECT_EQ(member_lessor_in_force(p.k, p.v, until), 3u);
	EXPECT_EQ(member_lessor_active_epoch(p.k, p.v, until), 3u);
	/* Then the new process, once the epoch is sealed. */
	member_view_apply_down(p.v, 4, 3, 30);
	EXPECT_EQ(wish(p, until, 0), -1);
	p.other(until + 1, 1, 10, 4, 4);
	EXPECT_EQ(wish(p, until + 1, 0), -1);
	p.other(until + 1, 2, 20, 4, 4);
	EXPECT_EQ(wish(p, until + 1, 3), MEMBER_CHANGE_UP);
}

TEST(member_lease, leaving_is_wished_for_and_keeps_the_lease)
{
	pair_of p(3);
	uint64_t t = 10000 * kMs;

	p.other(t, 1, 10, 3, 3);
	p.other(t, 3, 30, 3, 3);
	EXPECT_TRUE(p.other(t, 2, 20, 3, 3, nullptr, true).granted);
	EXPECT_EQ(wish(p, t, 2), MEMBER_CHANGE_LEAVE);
	member_view_apply_leave(p.v, 4, 2, 20);
	EXPECT_TRUE(p.other(t + 1, 2, 20, 4, 4, nullptr, true).granted);
}

TEST(member_lease, an_epoch_waits_for_every_lease)
{
	pair_of p(3);
	uint64_t t = 10000 * kMs;

	for (uint32_t id = 1; id <= 3; id++)
		p.other(t, id, id * 10, 3, 3);
	p.other(t + 400 * kMs, 1, 10, 3, 3);
	EXPECT_EQ(member_lessor_active_epoch(p.k, p.v, t + 400 * kMs), 3u);
	Wire__MemberInfo four = info_of(4, 40);
	member_view_apply_up(p.v, 4, &four);
	t += 500 * kMs;
	p.other(t, 1, 10, 4, 4);
	p.other(t, 2, 20, 4, 4);
	/* Sealed; member 3 holds a lease and has not acknowledged. */
	EXPECT_EQ(member_lessor_active_epoch(p.k, p.v, t + 1000 * kMs), 3u);
	EXPECT_EQ(member_lessor_in_force(p.k, p.v, t + 1000 * kMs), 3u);
	EXPECT_EQ(member_lessor_active_epoch(p.k, p.v, t + 1899 * kMs), 3u);
	EXPECT_EQ(member_lessor_active_epoch(p.k, p.v, t + 1900 * kMs), 4u);
	EXPECT_EQ(member_lessor_in_force(p.k, p.v, t + 1900 * kMs), 4u);
	/* Or when it acknowledges and its orders have landed. */
	p.other(t + 1, 3, 30, 4, 4);
	EXPECT_EQ(member_lessor_active_epoch(p.k, p.v, t + 300 * kMs), 3u);
	EXPECT_EQ(member_lessor_active_epoch(p.k, p.v, t + 301 * kMs), 4u);
}

/*
 * The slowest holder against the fastest keeper: by how much the holder, and
 * its orders under way, are done before the next epoch is active.
 */
static int64_t
drift_margin_us()
{
	const double slow = 0.977, fast = 1.0233;
	pair_of p(3);
	uint64_t t = 10000 * kMs, now;
	double end;
	Wire__LeaseReply reply =
	    p.renew((uint64_t)(t * slow), (uint64_t)(t * fast), 3, 3);

	EXPECT_TRUE(reply.granted);
	member_holder_on_lease(p.h, (uint64_t)(t * slow), &reply);
	end = member_holder_act_until_us(p.h, p.v, (uint64_t)(t * slow), 3) /
	    slow;
	Wire__MemberInfo four = info_of(4, 40);
	member_view_apply_up(p.v, 4, &four);
	for (now = t + kMs; now < t + 5000 * kMs; now += kMs) {
		p.other((uint64_t)(now * fast), 2, 20, 4, 4);
		p.other((uint64_t)(now * fast), 3, 30, 4, 4);
		if (member_lessor_active_epoch(
			p.k, p.v, (uint64_t)(now * fast)) == 4)
			break;
	}
	/* Flight is counted by the fast clock, so it may be that shorter. */
	return (int64_t)now - (int64_t)end -
	    (int64_t)((double)MEMBER_FLIGHT_MAX_US / fast);
}

TEST(member_lease, clocks_that_drift)
{
	EXPECT_GE(drift_margin_us(), 0);
	member_guards.lease_margin = false;
	EXPECT_LT(drift_margin_us(), 0);
	member_guards.lease_margin = true;
}

/* A pong from id at an epoch that has applied so much. */
static void
pong(pair_of &p, uint64_t now, uint32_t id, uint64_t epoch, uint64_t applied)
{
	Wire__Pong out = WIRE__PONG__INIT;

	out.sent_us = now;
	out.leaderless = true;
	out.required = applied;
	member_holder_on_pong(p.h, now + 1, id, epoch, &out);
}

TEST(member_support, needs_a_majority_in_one_epoch_that_knows_no_more)
{
	struct {
		uint32_t id;
		uint64_t epoch, applied;
		bool acts; /* after this pong, having applied 9 */
	} cases[] = {
	    {2, 5, 9, false},
	    {3, 4, 9, false}, /* another epoch */
	    {3, 5, 10, false}, /* knows more */
	    {9, 5, 9, false}, /* no member */
	    {1, 5, 9, false}, /* itself counts already */
	    {2, 5, 9, false}, /* twice the same */
	    {4, 5, 3, true},
	};
	pair_of p(5);
	uint64_t t = 10000 * kMs;

	for (auto &c : cases) {
		EXPECT_TRUE(member_holder_ping_due(p.h, t));
		pong(p, t, c.id, c.epoch, c.applied);
		EXPECT_EQ(member_holder_may_act(p.h, p.v, t, 9), c.acts)
		    << c.id;
		t += MEMBER_PING_INTERVAL_US;
	}
	EXPECT_EQ(member_holder_standing(p.h, p.v, t, 9), MEMBER_SUPPORTED);
	t -= MEMBER_PING_INTERVAL_US;
	EXPECT_EQ(member_holder_act_until_us(p.h, p.v, t, 9),
	    t - MEMBER_PING_INTERVAL_US + 1900 * kMs);
	EXPECT_FALSE(member_holder_may_act(p.h, p.v, t + 1900 * kMs, 9));
}

TEST(member_support, a_promise_holds_back_acknowledgement)
{
	pair_of p(3);
	Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
	Wire__Ping ping = WIRE__PING__INIT;
	Wire__Pong out;
	uint64_t t = 10000 * kMs, bound = 2400 * kMs;

	/* A process just begun may have promised in its former life. */
	member_holder_fill_renew(p.h, t, 3, 3, &r);
	EXPECT_FALSE(r.promise_over);
	member_holder_fill_renew(p.h, t + bound, 3, 3, &r);
	EXPECT_TRUE(r.promise_over);
	t += 5000 * kMs;
	member_holder_on_ping(p.h, t, 3, &ping, &out);
	EXPECT_TRUE(out.leaderless);
	EXPECT_EQ(out.required, 3u);
	member_holder_fill_renew(p.h, t + bound - 1, 3, 4, &r);
	EXPECT_FALSE(r.promise_over);
	member_holder_fill_renew(p.h, t + bound, 3, 4, &r);
	EXPECT_TRUE(r.promise_over);
	/* With a lease it promises nothing. */
	t += 5000 * kMs;
	Wire__LeaseReply reply = p.renew(t, t, 3, 3);
	member_holder_on_lease(p.h, t, &reply);
	member_holder_on_ping(p.h, t + 1, 3, &ping, &out);
	EXPECT_FALSE(out.leaderless);
	/* Nor when it is not a member. */
	member_view_apply_down(p.v, 9, 1, 10);
	member_holder_on_view(p.h, p.v);
	member_holder_on_ping(p.h, t + 9000 * kMs, 3, &ping, &out);
	EXPECT_FALSE(out.leaderless);
}
