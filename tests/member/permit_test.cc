#include <gtest/gtest.h>

#include <vector>

#include "member_fixture.h"

/* Members that take every answer, with demands as told. */
struct store_case {
	uint32_t cap;
	std::vector<uint32_t> waiting; /* loads; stall is in proportion */
	std::vector<uint32_t> shares; /* in the end; empty: see total */
};

static std::vector<uint32_t>
settle(const store_case &c, uint64_t *turn_us, uint32_t *rate)
{
	uint32_t n = c.waiting.size();
	struct member_view *v = view_of(n);
	struct member_lessor *k = member_lessor_create(c.cap, 5000);
	std::vector<uint32_t> held(n, 0), rates(n, 0);
	std::vector<uint64_t> got(n, 0);
	uint64_t now = 20000 * kMs;

	member_lessor_reset(k, now - 10000 * kMs, 0, 1);
	for (; now < *turn_us; now += 250 * kMs)
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
			member_lessor_on_renew(k, v, now, now + kMs, i + 1,
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
	member_lessor_destroy(k);
	return held;
}

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
		EXPECT_EQ(settle(c, &end, &rate), c.shares) << &c - cases;
		EXPECT_EQ(rate, 5000u);
	}
}

TEST(member_permit, too_few_go_round)
{
	store_case c = {2, {1, 1, 1, 1, 1}, {}};
	std::vector<int> had(5, 0);

	for (uint64_t turn = 30; turn < 40; turn++) {
		uint64_t end = turn * 1000 * kMs;
		uint32_t rate, total = 0;
		std::vector<uint32_t> shares = settle(c, &end, &rate);
		for (int i = 0; i < 5; i++) {
			had[i] += shares[i] > 0;
			total += shares[i];
		}
		EXPECT_EQ(total, 2u);
	}
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(had[i], 4) << i;
}

/* Answers of leaders to renewals sent at their times, in order of arrival. */
TEST(member_permit, a_successor_is_not_passed_by)
{
	struct {
		uint64_t sent, term;
		bool permits, at_most;
		uint32_t told, held; /* after it */
	} answers[] = {
	    {1, 1, true, false, 4, 4},
	    {3, 1, true, false, 2, 2},
	    {2, 1, true, false, 6, 2}, /* older */
	    {4, 1, false, false, 9, 2}, /* without authority */
	    {1, 2, true, true, 4, 2}, /* to a stale renewal: keeps the less */
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
		reply.permit_in_flight = a.told;
		member_holder_on_lease(h, t + 100, &reply);
		EXPECT_EQ(member_holder_permit_in_flight(h), a.held)
		    << &a - answers;
	}
	member_holder_fill_renew(h, t + 200, 1, 1, &r);
	EXPECT_EQ(r.permit_term, 2u);
	EXPECT_EQ(r.got_us, t + 7);
	member_holder_destroy(h);
}

/* A new leader lets no share grow before all were taken from it. */
TEST(member_permit, a_new_leader_lets_none_grow)
{
	struct member_view *v = view_of(2);
	struct member_lessor *k = member_lessor_create(8, 5000);
	uint64_t now = 20000 * kMs;
	struct {
		uint32_t id;
		uint64_t term;
		uint32_t held;
		bool at_most;
		uint32_t told;
	} renewals[] = {
	    {1, 3, 3, true, 3},
	    {2, 3, 5, true, 4},
	    {1, 4, 3, true, 3}, /* 2 may still take from an earlier leader */
	    {2, 4, 4, false, 4},
	    {1, 4, 3, false, 4},
	};

	member_lessor_reset(k, now - 10000 * kMs, 0, 4);
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
		    k, v, now, now + kMs, c.id, c.id * 10, 2, &r, &reply);
		EXPECT_EQ(reply.permits_at_most, c.at_most) << &c - renewals;
		EXPECT_EQ(reply.permit_in_flight, c.told) << &c - renewals;
		now += 1400 * kMs;
	}
	member_view_destroy(v);
	member_lessor_destroy(k);
}

/* Beyond sixteen members only those with a data folder support. */
TEST(member_support, supporters_of_a_large_cluster)
{
	struct member_view *v = view_of(15);
	size_t n;

	for (uint32_t id = 16; id <= 40; id++) {
		Wire__MemberInfo info = info_of(id, id * 10, "r", 0);
		member_view_apply_up(v, id, &info);
		EXPECT_TRUE(
		    member_view_is_supporter(v, member_view_find(v, 3)));
		EXPECT_EQ(member_view_is_supporter(v, member_view_find(v, id)),
		    id == 16);
		(void)member_view_earlier_supporters(v, &n);
		EXPECT_EQ(n, id == 17 ? 16u : 15u);
	}
	/* 8 of the 15 must answer; the asker is none of them. */
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
