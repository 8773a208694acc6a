#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "lease_fixture.h"

/*
 * Guards against: a holder that acts after the lessor counts its lease as
 * ended, or before it has applied what the lease requires.
 */
TEST(member_lease, counts_from_sending_and_requires_its_index)
{
	lease_fixture p(3);
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
	/* A renewal of a running lease requires the same index. */
	reply = p.renew(t + 250 * kMs, t + 250 * kMs, 7, 90);
	EXPECT_EQ(reply.required, 7u);
	/* After the lease has ended, the newest index is required. */
	reply = p.renew(t + 9000 * kMs, t + 9000 * kMs, 90, 95);
	EXPECT_EQ(reply.required, 95u);
}

/* Guards against: a lease granted to an earlier process is used. */
TEST(member_lease, replies_to_another_process_are_ignored)
{
	lease_fixture p(3);
	uint64_t t = 10000 * kMs;
	Wire__LeaseReply reply = p.renew(t, t, 5, 5);

	reply.sent_us = t - 1;
	reply.active_epoch = 77;
	member_holder_on_lease(p.h, t, &reply);
	EXPECT_FALSE(member_holder_may_act(p.h, p.v, t, 5));
	EXPECT_EQ(member_holder_active_epoch(p.h), 0u);
}

/*
 * Guards against: the first answer to a renewal, by an instance that is cut off
 * from the leader, decides who the leader is.
 */
TEST(member_lease, the_leader_with_authority_is_followed)
{
	struct step {
		const char *what;
		int renewal; /* that is answered; 0 is the oldest */
		bool granted, permits;
		uint32_t leader, known; /* named, and known after it */
	};
	const std::vector<step> steps = {
	    {"hearsay, while nothing is known", 0, false, false, 2, 2},
	    {"other hearsay on the same renewal", 0, false, false, 3, 2},
	    {"hearsay on a newer renewal", 1, false, false, 3, 3},
	    {"nobody is known to it", 2, false, false, 0, 0},
	    {"another knows one", 2, false, false, 2, 2},
	    {"the leader grants the same renewal", 2, true, true, 4, 4},
	    {"hearsay on it, later", 2, false, false, 2, 4},
	    {"an older answer of the leader before", 1, true, true, 3, 4},
	    {"hearsay on a newer renewal", 3, false, false, 2, 2},
	    {"the leader refuses it", 3, false, true, 4, 4},
	};
	lease_fixture p(3);
	uint64_t t = 10000 * kMs;

	for (uint64_t i = 0; i < 4; i++)
		(void)p.renew(t + i, t + i, 5, 5);
	for (auto &s : steps) {
		Wire__LeaseReply reply = WIRE__LEASE_REPLY__INIT;

		reply.sent_us = t + (uint64_t)s.renewal;
		reply.granted = s.granted;
		reply.permits = s.permits;
		reply.leader = s.leader;
		EXPECT_TRUE(member_holder_on_lease(p.h, t + 10, &reply));
		EXPECT_EQ(member_holder_leader(p.h), s.known) << s.what;
	}
}

/* Guards against: a lease for a process that must not act. */
TEST(member_lease, refusal_reasons)
{
	lease_fixture p(3);
	uint64_t t = 10000 * kMs;

	p.authority_until_us = t;
	EXPECT_STREQ(p.renew_other(t, 1, 10, 5, 5).reason, "no-authority");
	p.authority_until_us = UINT64_MAX;
	EXPECT_STREQ(p.renew_other(t, 9, 90, 5, 5).reason, "not-a-member");
	EXPECT_STREQ(p.renew_other(t, 1, 11, 5, 5).reason, "other-incarnation");
	EXPECT_TRUE(p.renew_other(t, 2, 20, 5, 5).granted);
	EXPECT_STREQ(p.renew_other(t, 2, 20, 5, 5).reason, "late");
	/* Behind a commit of two seconds ago: no lease until it is applied. */
	member_lessor_on_commit(p.ls, t, 8);
	EXPECT_TRUE(p.renew_other(t + 1, 2, 20, 5, 8).granted);
	t += 2200 * kMs;
	EXPECT_STREQ(p.renew_other(t, 2, 20, 5, 8).reason, "behind");
	EXPECT_TRUE(p.renew_other(t + 1, 2, 20, 8, 8).granted);
}

/* The type of the next change, which must be one of id; -1: none. */
static int
expect_change(lease_fixture &p, uint64_t now, uint32_t id)
{
	struct member_change w;

	if (!member_lessor_next_change(p.ls, p.v, now, &w))
		return -1;
	EXPECT_EQ(w.id, id);
	return w.type;
}

/* Guards against: a member is removed while its lease may still run. */
TEST(member_lease, a_silent_member_is_removed_after_its_lease_ended)
{
	lease_fixture p(3);
	uint64_t t = 10000 * kMs, end = t + 2100 * kMs;

	for (uint32_t id = 1; id <= 3; id++)
		p.renew_other(t, id, id * 10, 3, 3);
	for (uint64_t now = t + 250 * kMs; now < end; now += 250 * kMs) {
		p.renew_other(now, 1, 10, 3, 3);
		p.renew_other(now, 2, 20, 3, 3);
		EXPECT_EQ(expect_change(p, now, 0), -1);
	}
	EXPECT_EQ(expect_change(p, end - 1, 3), -1);
	EXPECT_EQ(expect_change(p, end, 3), MEMBER_CHANGE_DOWN);
	EXPECT_EQ(expect_change(p, end + 999 * kMs, 3), -1);
	/* Then it gets no lease any more, and the proposal is repeated. */
	EXPECT_STREQ(
	    p.renew_other(end + 1, 3, 30, 3, 3).reason, "being-removed");
	EXPECT_EQ(expect_change(p, end + 1000 * kMs, 3), MEMBER_CHANGE_DOWN);
	member_view_apply_down(p.v, 4, 3, 30);
	EXPECT_EQ(expect_change(p, end + 2000 * kMs, 0), -1);
}

/*
 * Guards against: when all processes were lost, all members are removed before
 * the first one joins again, and the cluster is empty for seconds.
 */
TEST(member_lease, a_removed_member_rejoins_before_the_next_is_removed)
{
	lease_fixture p(4);
	uint64_t now = 10000 * kMs, index = 4;
	std::vector<int> types;
	size_t fewest = 4;

	for (uint32_t id = 1; id <= 4; id++)
		p.renew_other(now, id, id * 10, 4, 4);
	for (int i = 0; i < 400 && types.size() < 8; i++) {
		struct member_change w;

		now += 25 * kMs;
		for (uint32_t id = 1; i % 10 == 0 && id <= 4; id++) {
			Wire__MemberInfo self = make_info(id, id * 10 + 1);

			p.renew_other(
			    now, id, id * 10 + 1, index, index, &self);
		}
		if (!member_lessor_next_change(p.ls, p.v, now, &w))
			continue;
		types.push_back(w.type);
		index++;
		if (w.type == MEMBER_CHANGE_DOWN)
			member_view_apply_down(p.v, index, w.id, w.incarnation);
		else
			member_view_apply_up(p.v, index, w.info);
		fewest = std::min(fewest, member_view_count(p.v));
	}
	EXPECT_EQ(types.size(), 8U)
	    << "each of four is removed and joins again";
	EXPECT_EQ(fewest, 3U);
}

/*
 * Guards against: the epoch without a member becomes active while orders that
 * the member sent under its lease are still in flight.
 */
TEST(member_lease, an_epoch_waits_for_orders_of_a_removed_member)
{
	lease_fixture p(3);
	uint64_t t = 10000 * kMs, end = t + 2100 * kMs,
		 orders_end_us = end + 300 * kMs;

	for (uint32_t id = 1; id <= 3; id++)
		p.renew_other(t, id, id * 10, 3, 3);
	p.renew_other(end - 1, 1, 10, 3, 3);
	p.renew_other(end - 1, 2, 20, 3, 3);
	EXPECT_EQ(expect_change(p, end, 3), MEMBER_CHANGE_DOWN);
	member_view_apply_down(p.v, 4, 3, 30);
	p.renew_other(end, 1, 10, 4, 4);
	p.renew_other(end, 2, 20, 4, 4);
	EXPECT_EQ(member_lessor_active_epoch(p.ls, p.v, orders_end_us - 1), 3u);
	EXPECT_EQ(member_lessor_in_force(p.ls, p.v, orders_end_us - 1), 3u);
	EXPECT_EQ(member_lessor_active_epoch(p.ls, p.v, orders_end_us), 4u);
	EXPECT_EQ(member_lessor_in_force(p.ls, p.v, orders_end_us), 4u);
}

/* Guards against: an isolated leader removes the majority it cannot reach. */
TEST(member_lease, no_member_is_removed_while_a_majority_is_silent)
{
	lease_fixture p(3);
	uint64_t t = 10000 * kMs;

	for (uint32_t id = 1; id <= 3; id++)
		p.renew_other(t, id, id * 10, 3, 3);
	p.renew_other(t + 5000 * kMs, 1, 10, 3, 3);
	EXPECT_EQ(expect_change(p, t + 5000 * kMs, 0), -1);
	/* A renewal of its new process counts for a silent member. */
	Wire__MemberInfo again = make_info(2, 21);
	p.renew_other(t + 5100 * kMs, 2, 21, 3, 3, &again);
	EXPECT_EQ(expect_change(p, t + 5100 * kMs, 2), MEMBER_CHANGE_DOWN);
}

/*
 * Guards against: a new leader, which does not know the leases of its
 * predecessor, removes a member or activates an epoch while one still runs.
 */
TEST(member_lease, a_new_leader_waits_for_earlier_leases)
{
	lease_fixture p(3);
	uint64_t t = 10000 * kMs, until = t + (2100 + 500 + 300) * kMs;
	Wire__MemberInfo again = make_info(3, 31);

	member_lessor_reset(p.ls, t, 500 * kMs, 1);
	for (uint64_t now = t; now < until; now += 250 * kMs) {
		p.renew_other(now, 1, 10, 3, 3);
		p.renew_other(now, 2, 20, 3, 3);
		p.renew_other(now, 3, 31, 3, 3, &again);
		EXPECT_EQ(expect_change(p, now, 0), -1);
		EXPECT_EQ(member_lessor_in_force(p.ls, p.v, now), 0u);
		EXPECT_EQ(member_lessor_active_epoch(p.ls, p.v, now), 0u);
	}
	EXPECT_EQ(expect_change(p, until, 3), MEMBER_CHANGE_DOWN);
	EXPECT_EQ(member_lessor_in_force(p.ls, p.v, until), 3u);
	EXPECT_EQ(member_lessor_active_epoch(p.ls, p.v, until), 3u);
	/* The new process joins once the epoch is sealed. */
	member_view_apply_down(p.v, 4, 3, 30);
	EXPECT_EQ(expect_change(p, until, 0), -1);
	p.renew_other(until + 1, 1, 10, 4, 4);
	EXPECT_EQ(expect_change(p, until + 1, 0), -1);
	p.renew_other(until + 1, 2, 20, 4, 4);
	EXPECT_EQ(expect_change(p, until + 1, 3), MEMBER_CHANGE_UP);
}

/* Guards against: a draining instance loses its lease before its work ends. */
TEST(member_lease, leaving_is_proposed_and_keeps_the_lease)
{
	lease_fixture p(3);
	uint64_t t = 10000 * kMs;

	p.renew_other(t, 1, 10, 3, 3);
	p.renew_other(t, 3, 30, 3, 3);
	EXPECT_TRUE(p.renew_other(t, 2, 20, 3, 3, nullptr, true).granted);
	EXPECT_EQ(expect_change(p, t, 2), MEMBER_CHANGE_LEAVE);
	member_view_apply_leave(p.v, 4, 2, 20);
	EXPECT_TRUE(p.renew_other(t + 1, 2, 20, 4, 4, nullptr, true).granted);
}

/*
 * Guards against: an epoch becomes active while a member that has not
 * acknowledged it holds a lease.
 */
TEST(member_lease, an_epoch_waits_for_every_lease)
{
	lease_fixture p(3);
	uint64_t t = 10000 * kMs;

	for (uint32_t id = 1; id <= 3; id++)
		p.renew_other(t, id, id * 10, 3, 3);
	p.renew_other(t + 400 * kMs, 1, 10, 3, 3);
	EXPECT_EQ(member_lessor_active_epoch(p.ls, p.v, t + 400 * kMs), 3u);
	Wire__MemberInfo four = make_info(4, 40);
	member_view_apply_up(p.v, 4, &four);
	t += 500 * kMs;
	p.renew_other(t, 1, 10, 4, 4);
	p.renew_other(t, 2, 20, 4, 4);
	/* Sealed; member 3 holds a lease and has not acknowledged. */
	EXPECT_EQ(member_lessor_active_epoch(p.ls, p.v, t + 1000 * kMs), 3u);
	EXPECT_EQ(member_lessor_in_force(p.ls, p.v, t + 1000 * kMs), 3u);
	EXPECT_EQ(member_lessor_active_epoch(p.ls, p.v, t + 1899 * kMs), 3u);
	EXPECT_EQ(member_lessor_active_epoch(p.ls, p.v, t + 1900 * kMs), 4u);
	EXPECT_EQ(member_lessor_in_force(p.ls, p.v, t + 1900 * kMs), 4u);
	/* Or it has acknowledged, and its orders are no longer in flight. */
	p.renew_other(t + 1, 3, 30, 4, 4);
	EXPECT_EQ(member_lessor_active_epoch(p.ls, p.v, t + 300 * kMs), 3u);
	EXPECT_EQ(member_lessor_active_epoch(p.ls, p.v, t + 301 * kMs), 4u);
}

/*
 * The time between the end of the lease of the slowest holder, with its orders
 * in flight, and the activation of the next epoch by the fastest lessor.
 */
static int64_t
drift_margin_us()
{
	const double slow = 0.977, fast = 1.0233;
	lease_fixture p(3);
	uint64_t t = 10000 * kMs, now;
	double end;
	Wire__LeaseReply reply =
	    p.renew((uint64_t)(t * slow), (uint64_t)(t * fast), 3, 3);

	EXPECT_TRUE(reply.granted);
	member_holder_on_lease(p.h, (uint64_t)(t * slow), &reply);
	end = member_holder_act_until_us(p.h, p.v, (uint64_t)(t * slow), 3) /
	    slow;
	Wire__MemberInfo four = make_info(4, 40);
	member_view_apply_up(p.v, 4, &four);
	for (now = t + kMs; now < t + 5000 * kMs; now += kMs) {
		p.renew_other((uint64_t)(now * fast), 2, 20, 4, 4);
		p.renew_other((uint64_t)(now * fast), 3, 30, 4, 4);
		if (member_lessor_active_epoch(
			p.ls, p.v, (uint64_t)(now * fast)) == 4)
			break;
	}
	/* The lessor counts the flight by its fast clock, so it is shorter. */
	return (int64_t)now - (int64_t)end -
	    (int64_t)((double)MEMBER_FLIGHT_MAX_US / fast);
}

/*
 * Guards against: with clocks at their largest difference of rates, a holder
 * still acts when the lessor counts its lease as ended.
 */
TEST(member_lease, margin_covers_clock_drift)
{
	EXPECT_GE(drift_margin_us(), 0);
	member_guards.lease_margin = false;
	EXPECT_LT(drift_margin_us(), 0);
	member_guards.lease_margin = true;
}

/* Passes the holder a pong of a peer at this epoch and applied index. */
static void
receive_pong(lease_fixture &p, uint64_t now, uint32_t id, uint64_t epoch,
    uint64_t applied)
{
	Wire__Pong out = WIRE__PONG__INIT;

	out.sent_us = now;
	out.leaderless = true;
	out.required = applied;
	member_holder_on_pong(p.h, now + 1, id, epoch, &out);
}

/*
 * Guards against: support counts of a peer of another epoch, of one that has
 * applied more, of no member, or twice.
 */
TEST(member_support, needs_a_majority_of_one_epoch_with_no_newer_index)
{
	struct {
		uint32_t id;
		uint64_t epoch, applied;
		bool acts; /* after this pong, having applied 9 */
	} cases[] = {
	    {2, 5, 9, false},
	    {3, 4, 9, false}, /* another epoch */
	    {3, 5, 10, false}, /* has applied more */
	    {9, 5, 9, false}, /* not a member */
	    {1, 5, 9, false}, /* itself, which counts already */
	    {2, 5, 9, false}, /* the same peer again */
	    {4, 5, 3, true},
	};
	lease_fixture p(5);
	uint64_t t = 10000 * kMs;

	for (auto &c : cases) {
		EXPECT_TRUE(member_holder_ping_due(p.h, t));
		receive_pong(p, t, c.id, c.epoch, c.applied);
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

/*
 * Guards against: an acknowledgement counts while the instance's support for a
 * peer of the earlier epoch may still be used.
 */
TEST(member_support, a_promise_delays_acknowledgement)
{
	lease_fixture p(3);
	Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
	Wire__Ping ping = WIRE__PING__INIT;
	Wire__Pong out;
	uint64_t t = 10000 * kMs, bound = 2400 * kMs;

	/* An earlier process may have given a promise. */
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
	/* An instance with a lease gives no promise. */
	t += 5000 * kMs;
	Wire__LeaseReply reply = p.renew(t, t, 3, 3);
	member_holder_on_lease(p.h, t, &reply);
	member_holder_on_ping(p.h, t + 1, 3, &ping, &out);
	EXPECT_FALSE(out.leaderless);
	/* Neither does one that is not a member. */
	member_view_apply_down(p.v, 9, 1, 10);
	member_holder_on_view(p.h, p.v);
	member_holder_on_ping(p.h, t + 9000 * kMs, 3, &ping, &out);
	EXPECT_FALSE(out.leaderless);
}
