#include <gtest/gtest.h>

#include <vector>

#include "member_fixture.h"

/* Members with these demands that receive every reply. */
struct store_case {
	uint32_t cap;
	/* Waiting loads of each member; its stall is in proportion. */
	std::vector<uint32_t> waiting;
	/* Shares expected in the end; empty: not compared. */
	std::vector<uint32_t> shares;
};

/*
 * Runs renewals until *end_us and returns the shares held then, and their rate
 * in all. The shares must never exceed the total.
 */
static std::vector<uint32_t>
run_renewals(const store_case &c, uint64_t *end_us, uint32_t *rate)
{
	uint32_t n = c.waiting.size();
	struct member_view *v = make_view(n);
	struct member_lessor *ls = member_lessor_create(c.cap, 5000);
	std::vector<uint32_t> held(n, 0), rates(n, 0);
	std::vector<uint64_t> got(n, 0);
	uint64_t now = 20000 * kMs;

	member_lessor_reset(ls, now - 10000 * kMs, 0, 1);
	for (; now < *end_us; now += 250 * kMs)
		for (uint32_t i = 0; i < n; i++) {
			Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
			Wire__LeaseReply reply;
			uint32_t sum = 0;
			r.sent_us = now;
			r.applied = r.epoch = n;
			r.promise_over = true;
			r.waiting_loads = c.waiting[i];
			r.waiting_stall_us = c.waiting[i] * 100 * kMs;
			r.got_us = got[i];
			r.permit_term = got[i] == 0 ? 0 : 1;
			r.permit_in_flight = held[i];
			r.permit_rate_milli = rates[i];
			member_lessor_on_renew(ls, v, now, now + kMs, i + 1,
			    (i + 1) * 10, n, &r, &reply);
			EXPECT_TRUE(reply.permits);
			held[i] = reply.permit_in_flight;
			rates[i] = reply.permit_rate_milli;
			got[i] = now;
			for (uint32_t j = 0; j < n; j++)
				sum += held[j];
			EXPECT_LE(sum, c.cap);
		}
	*rate = 0;
	for (uint32_t j = 0; j < n; j++)
		*rate += rates[j];
	member_view_destroy(v);
	member_lessor_destroy(ls);
	return held;
}

/* Guards against: permits stay with members that have no loads waiting. */
TEST(member_permit, shares_follow_demand)
{
	const store_case cases[] = {
	    {8, {0, 0, 0, 0}, {2, 2, 2, 2}},
	    {8, {9, 0, 0, 0}, {5, 1, 1, 1}},
	    {8, {9, 9, 0, 0}, {3, 3, 1, 1}},
	    {8, {30, 10, 0, 0}, {4, 2, 1, 1}},
	    {3, {5, 0, 0}, {3, 0, 0}},
	    {8, {1, 1, 1, 1, 1}, {2, 1, 2, 1, 2}},
	    {1, {0, 5, 0}, {0, 1, 0}},
	};

	for (auto &c : cases) {
		uint64_t end = 30000 * kMs;
		uint32_t rate;
		EXPECT_EQ(run_renewals(c, &end, &rate), c.shares) << &c - cases;
		EXPECT_EQ(rate, 5000u);
	}
}

/* Guards against: with fewer permits than members, some never get one. */
TEST(member_permit, too_few_permits_rotate)
{
	store_case c = {2, {1, 1, 1, 1, 1}, {}};
	std::vector<int> had(5, 0);

	for (uint64_t second = 30; second < 40; second++) {
		uint64_t end = second * 1000 * kMs;
		uint32_t rate, total = 0;
		std::vector<uint32_t> shares = run_renewals(c, &end, &rate);
		for (int i = 0; i < 5; i++) {
			had[i] += shares[i] > 0;
			total += shares[i];
		}
		EXPECT_EQ(total, 2u);
	}
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(had[i], 4) << i;
}

/*
 * Guards against: a late reply of a deposed leader replaces the share of its
 * successor. The replies, to renewals sent at their times, are in order of
 * receipt.
 */
TEST(member_permit, a_deposed_leader_does_not_change_a_share)
{
	struct {
		uint64_t sent, term;
		bool permits, at_most;
		uint32_t offered, held; /* after it */
	} answers[] = {
	    {1, 1, true, false, 4, 4},
	    {3, 1, true, false, 2, 2},
	    {2, 1, true, false, 6, 2}, /* older */
	    {4, 1, false, false, 9, 2}, /* without authority */
	    {1, 2, true, true, 4, 2}, /* to an old renewal: keeps the smaller */
	    {5, 1, true, false, 8, 2}, /* the deposed leader, late */
	    {6, 2, true, true, 1, 1},
	    {7, 2, true, false, 3, 3},
	};
	struct member_holder *h = member_holder_create(1, 10);
	uint64_t t = 10000 * kMs;
	Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;

	for (uint64_t sent = 1; sent <= 7; sent++)
		member_holder_fill_renew(h, t + sent, 1, 1, &r);
	for (auto &a : answers) {
		Wire__LeaseReply reply = WIRE__LEASE_REPLY__INIT;
		reply.sent_us = t + a.sent;
		reply.term = a.term;
		reply.permits = a.permits;
		reply.permits_at_most = a.at_most;
		reply.permit_in_flight = a.offered;
		member_holder_on_lease(h, t + 100, &reply);
		EXPECT_EQ(member_holder_permit_in_flight(h), a.held)
		    << &a - answers;
	}
	member_holder_fill_renew(h, t + 200, 1, 1, &r);
	EXPECT_EQ(r.permit_term, 2u);
	EXPECT_EQ(r.got_us, t + 7);
	member_holder_destroy(h);
}

/*
 * Guards against: a new leader raises a share before all members hold one from
 * it, while others may still receive one from an earlier leader.
 */
TEST(member_permit, a_new_leader_raises_no_share_at_first)
{
	struct member_view *v = make_view(2);
	struct member_lessor *ls = member_lessor_create(8, 5000);
	uint64_t now = 20000 * kMs;
	struct {
		uint32_t id;
		uint64_t term;
		uint32_t held;
		bool at_most;
		uint32_t offered;
	} renewals[] = {
	    {1, 3, 3, true, 3},
	    {2, 3, 5, true, 4},
	    {1, 4, 3, true, 3}, /* 2 may still receive an earlier leader's */
	    {2, 4, 4, false, 4},
	    {1, 4, 3, false, 4},
	};

	member_lessor_reset(ls, now - 10000 * kMs, 0, 4);
	for (auto &c : renewals) {
		Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
		Wire__LeaseReply reply;
		r.sent_us = now;
		r.applied = r.epoch = 2;
		r.promise_over = true;
		r.permit_term = c.term;
		r.got_us = now - 1;
		r.permit_in_flight = c.held;
		r.permit_rate_milli = c.held * 100;
		member_lessor_on_renew(
		    ls, v, now, now + kMs, c.id, c.id * 10, 2, &r, &reply);
		EXPECT_EQ(reply.permits_at_most, c.at_most) << &c - renewals;
		EXPECT_EQ(reply.permit_in_flight, c.offered) << &c - renewals;
		now += 1400 * kMs;
	}
	member_view_destroy(v);
	member_lessor_destroy(ls);
}

/* In a cluster of over 16 members only those with a data folder support. */
TEST(member_support, supporters_of_a_large_cluster)
{
	struct member_view *v = make_view(15);
	size_t n;

	for (uint32_t id = 16; id <= 40; id++) {
		Wire__MemberInfo info = make_info(id, id * 10, "r", 0);
		member_view_apply_up(v, id, &info);
		EXPECT_TRUE(
		    member_view_is_supporter(v, member_view_find(v, 3)));
		EXPECT_EQ(member_view_is_supporter(v, member_view_find(v, id)),
		    id == 16);
		(void)member_view_earlier_supporters(v, &n);
		EXPECT_EQ(n, id == 17 ? 16u : 15u);
	}
	/* 8 of the 15 must answer; the instance itself is none of them. */
	struct member_holder *h = member_holder_create(30, 300);
	uint64_t now = 20000 * kMs;
	member_holder_on_view(h, v);
	EXPECT_TRUE(member_holder_ping_due(h, now));
	for (uint32_t id : {40, 39, 38, 37, 1, 2, 3, 4, 5, 6, 7, 8}) {
		Wire__Pong pong = WIRE__PONG__INIT;
		pong.sent_us = now;
		pong.leaderless = true;
		member_holder_on_pong(h, now, id, 40, &pong);
		EXPECT_EQ(member_holder_may_act(h, v, now, 40), id == 8);
	}
	member_holder_destroy(h);
	member_view_destroy(v);
}
