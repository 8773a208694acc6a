#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "lease_fixture.h"

/*
 * A cluster whose processes have all been lost and started again, with their
 * leader's lessor. Time advances by steps of 50 ms in which all renew.
 */
struct restarted_fixture : lease_fixture {
	uint32_t count;
	uint64_t now = 10000 * kMs, index;
	std::vector<struct member_change> proposed;
	std::vector<uint32_t> incapable; /* ids of earlier programs */
	bool loses_command = false; /* the next proposal is not applied */

	explicit restarted_fixture(uint32_t n, bool members_can_read = true)
	    : lease_fixture(0), count(n), index(n)
	{
		for (uint32_t id = 1; id <= n; id++) {
			Wire__MemberInfo info = make_info(id, id * 10);

			info.voter = id <= 5 ? id : 0;
			if (members_can_read)
				info.capabilities = MEMBER_CAN_MANY_CHANGES;
			member_view_apply_up(v, id, &info);
		}
		lead();
	}
	void
	lead()
	{
		member_lessor_reset(ls, now, 0, now);
		member_lessor_set_voters_can_read_changes(ls, true);
	}
	uint32_t
	capabilities_of(uint32_t id) const
	{
		bool is_incapable = std::find(incapable.begin(),
					incapable.end(), id) != incapable.end();

		return is_incapable ? 0 : MEMBER_CAN_MANY_CHANGES;
	}
	void
	renew_all(uint32_t n)
	{
		for (uint32_t id = 1; id <= n; id++) {
			Wire__MemberInfo self = make_info(id, id * 10 + 1);

			self.voter = id <= 5 ? id : 0;
			self.capabilities = capabilities_of(id);
			renew_other(now, id, id * 10 + 1, index, index,
			    member_view_is_current(v, id, id * 10 + 1) ? nullptr
								       : &self);
		}
	}
	/* The number of members that are processes of after the loss. */
	size_t
	joined() const
	{
		size_t n = 0;

		for (uint32_t id = 1; id <= count; id++)
			n += member_view_is_current(v, id, id * 10 + 1);
		return n;
	}
	void
	step(uint32_t renewing)
	{
		struct member_change w;

		now += 50 * kMs;
		renew_all(renewing);
		if (!member_lessor_next_change(ls, v, now, &w))
			return;
		proposed.push_back(w);
		if (loses_command)
			loses_command = false;
		else
			apply_change(v, ++index, &w);
	}
	/* Steps until all members have joined again; the number taken. */
	size_t
	run(size_t steps)
	{
		size_t i = 0;

		while (i < steps && joined() < count) {
			step(count);
			i++;
		}
		return i;
	}
};

/*
 * The same with the time that each process needs: all start at once, promise
 * nothing until an earlier promise has surely ended, and find the earlier
 * process of their instance in the log.
 */
struct power_fixture : restarted_fixture {
	static constexpr uint64_t kElectionUs = 800 * kMs;
	uint64_t started_us;

	power_fixture(uint32_t n, bool members_can_read)
	    : restarted_fixture(n, members_can_read), started_us(now)
	{
		now += kElectionUs;
		lead();
	}
	/* Renewals of those from first to last, and what the leader proposes.
	 */
	void
	step(uint32_t first, uint32_t last)
	{
		struct member_change w;

		now += 50 * kMs;
		for (uint32_t id = first; id <= last; id++) {
			Wire__MemberInfo self = make_info(id, id * 10 + 1);
			const struct member *m = member_view_find(v, id);
			Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
			Wire__LeaseReply reply;

			self.voter = id <= 5 ? id : 0;
			self.capabilities = MEMBER_CAN_MANY_CHANGES;
			r.sent_us = now;
			r.applied = index;
			r.epoch = member_view_epoch(v);
			r.promise_over = now >= started_us + 2400 * kMs;
			if (m == nullptr || m->incarnation != id * 10 + 1) {
				r.self = &self;
				r.replaces = m == nullptr ? 0 : m->incarnation;
			}
			member_lessor_on_renew(ls, v, now, UINT64_MAX, id,
			    id * 10 + 1, index, &r, &reply);
		}
		if (!member_lessor_next_change(ls, v, now, &w))
			return;
		proposed.push_back(w);
		apply_change(v, ++index, &w);
	}
	/*
	 * Steps until all but the absent ones have joined in an active epoch;
	 * the time since the leader was elected.
	 */
	uint64_t
	run_until_all_act(uint32_t absent)
	{
		while (now < started_us + 60000 * kMs) {
			step(1 + absent, count);
			if (joined() + absent == count &&
			    member_lessor_active_epoch(ls, v, now) ==
				member_view_epoch(v))
				break;
		}
		return now - started_us - kElectionUs;
	}
};

/*
 * Guards against: owners that act only many seconds after a loss of power, as
 * each member is removed and joins in an epoch of its own, or as the next
 * process of an instance waits for the lease of the one before. The members
 * that stay away may hold a lease until 2,400 ms after the election.
 */
TEST(member_changes, all_act_soon_after_a_loss_of_power)
{
	struct {
		uint32_t members, absent;
		bool can_read_many;
		uint64_t limit_ms;
		size_t commands;
	} cases[] = {
	    {5, 0, true, 500, 1},
	    {90, 0, true, 500, 1},
	    {300, 0, true, 500, 1},
	    /* One of the five supporters, with others or alone. */
	    {90, 1, true, 2900, 3},
	    {300, 2, true, 2900, 3},
	    /* Of an earlier version: the next process does not wait. */
	    {28, 0, false, 6500, 56},
	};

	for (auto &c : cases) {
		power_fixture p(c.members, c.can_read_many);
		uint64_t ms = p.run_until_all_act(c.absent) / kMs;

		printf("%u members, %u of them absent: all act after %u ms, "
		       "%zu commands\n",
		    c.members, c.absent, (unsigned)ms, p.proposed.size());
		EXPECT_LE(ms, c.limit_ms);
		EXPECT_LE(p.proposed.size(), c.commands);
	}
}

/*
 * Guards against: a member is replaced by a process that does not know that it
 * has ended, as an earlier process of which a renewal is late, or by one with
 * another address, which may run beside it.
 */
TEST(member_changes, only_a_process_that_found_it_ended_replaces_a_member)
{
	struct {
		const char *what;
		uint64_t replaces;
		const char *bus;
		bool replaced;
	} cases[] = {
	    {"found the member", 30, "127.0.0.1:2", true},
	    {"found nothing yet", 0, "127.0.0.1:2", false},
	    {"found another one", 29, "127.0.0.1:2", false},
	    {"has another address", 30, "127.0.0.2:2", false},
	};

	for (auto &c : cases) {
		restarted_fixture p(3);
		struct member_change w;
		Wire__MemberInfo self = make_capable_info(3, 31);
		Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
		Wire__LeaseReply reply;

		for (uint32_t id = 1; id <= 3; id++)
			p.renew_other(p.now, id, id * 10, 3, 3);
		p.now += 400 * kMs; /* the epoch is active */
		self.bus = (char *)c.bus;
		r.sent_us = p.now;
		r.self = &self;
		r.replaces = c.replaces;
		member_lessor_on_renew(
		    p.ls, p.v, p.now, UINT64_MAX, 3, 31, 3, &r, &reply);
		EXPECT_EQ(
		    member_lessor_next_change(p.ls, p.v, p.now, &w), c.replaced)
		    << c.what;
		if (c.replaced) {
			EXPECT_EQ(w.nmany, 2U);
			EXPECT_TRUE(apply_change(p.v, 4, &w));
			EXPECT_TRUE(member_view_is_current(p.v, 3, 31));
		}
	}
}

/*
 * Guards against: a process that has ended joins again in place of the one that
 * replaces it, as the leader has heard from both.
 */
TEST(member_changes, an_ended_process_does_not_join_again)
{
	restarted_fixture p(3);
	Wire__MemberInfo earlier = make_capable_info(3, 30);
	Wire__MemberInfo self = make_capable_info(3, 31);
	Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
	Wire__LeaseReply reply;
	struct member_change w;

	p.renew_other(p.now, 1, 10, 3, 3);
	p.renew_other(p.now, 2, 20, 3, 3);
	p.renew_other(p.now, 3, 30, 3, 3, &earlier);
	p.now += 400 * kMs; /* the epoch is active */
	r.sent_us = p.now;
	r.self = &self;
	r.replaces = 30;
	member_lessor_on_renew(
	    p.ls, p.v, p.now, UINT64_MAX, 3, 31, 3, &r, &reply);
	ASSERT_TRUE(member_lessor_next_change(p.ls, p.v, p.now, &w));
	EXPECT_EQ(w.nmany, 2U);
	EXPECT_TRUE(apply_change(p.v, 4, &w));
	EXPECT_TRUE(member_view_is_current(p.v, 3, 31));
}

/*
 * Guards against: after a loss of all processes, members come back one after
 * another, in an epoch each.
 */
TEST(member_changes, all_processes_join_again_in_one_epoch)
{
	for (uint32_t n : {4U, 90U, 300U}) {
		restarted_fixture p(n);

		p.run(200);
		EXPECT_EQ(p.joined(), n);
		ASSERT_EQ(p.proposed.size(), 1U) << n;
		EXPECT_EQ(p.proposed[0].type, MEMBER_CHANGE_MANY);
		EXPECT_EQ(p.proposed[0].nmany, 2 * (size_t)n);
		EXPECT_EQ(member_view_epoch(p.v), n + 1);
		EXPECT_EQ(member_view_count(p.v), n);
	}
}

/*
 * Guards against: a command larger than its bound; changes beyond the bound
 * that never happen.
 */
TEST(member_changes, a_command_is_bounded)
{
	restarted_fixture p(3000);
	size_t changes = 0;

	p.run(400);
	EXPECT_EQ(p.joined(), 3000U);
	EXPECT_GE(p.proposed.size(), 2U);
	EXPECT_LE(p.proposed.size(), 6U);
	for (auto &w : p.proposed)
		changes += w.nmany;
	EXPECT_EQ(changes, 6000U);
}

/*
 * Guards against: changes are proposed together, or joined by others, after the
 * command that holds them was lost.
 */
TEST(member_changes, a_lost_command_is_proposed_again)
{
	restarted_fixture p(20);
	struct member_change w;

	while (p.proposed.empty()) {
		p.loses_command = true;
		p.step(19);
	}
	EXPECT_EQ(p.joined(), 0U);
	EXPECT_EQ(p.proposed[0].nmany, 20U + 19U);
	/* Nothing else while it is pending, though the last one joins now. */
	for (int i = 0; i < 19; i++) {
		p.now += 50 * kMs;
		p.renew_all(20);
		EXPECT_FALSE(member_lessor_next_change(p.ls, p.v, p.now, &w));
	}
	p.now += 50 * kMs;
	EXPECT_TRUE(member_lessor_next_change(p.ls, p.v, p.now, &w));
	EXPECT_EQ(w.nmany, 20U + 19U);
	EXPECT_TRUE(apply_change(p.v, ++p.index, &w));
	/* Its first copy was only late: it has no effect any more. */
	EXPECT_FALSE(apply_change(p.v, ++p.index, &w));
	p.run(40);
	EXPECT_EQ(p.joined(), 20U);
	EXPECT_EQ(p.proposed.back().type, MEMBER_CHANGE_UP);
	EXPECT_EQ(p.proposed.back().id, 20U);
}

/*
 * Guards against: a leader that ends after it proposed several changes, so that
 * the next one repeats them in part or never finishes them.
 */
TEST(member_changes, the_next_leader_finishes_them)
{
	for (bool applied : {false, true}) {
		restarted_fixture p(20);

		while (p.proposed.empty()) {
			p.loses_command = !applied;
			p.step(15);
		}
		EXPECT_EQ(p.joined(), applied ? 15U : 0U);
		p.lead();
		p.run(200);
		EXPECT_EQ(p.joined(), 20U);
		EXPECT_EQ(p.proposed.size(), 2U);
		EXPECT_EQ(p.proposed[1].nmany, applied ? 5U : 40U);
	}
}

/*
 * Guards against: a command that a member, a voter or a process that joins
 * cannot read, after which it would see other members than the rest.
 */
TEST(member_changes, a_program_that_cannot_read_them_gets_single_ones)
{
	struct {
		const char *what;
		bool members, voters, joiner;
		size_t many;
	} cases[] = {
	    {"all can", true, true, true, 1},
	    {"the members cannot", false, true, true, 0},
	    {"a voter may not", true, false, true, 0},
	    {"one that joins cannot", true, true, false, 1},
	};

	for (auto &c : cases) {
		restarted_fixture p(6, c.members);
		size_t many = 0;

		member_lessor_set_voters_can_read_changes(p.ls, c.voters);
		if (!c.joiner)
			p.incapable = {6};
		p.run(400);
		for (auto &w : p.proposed)
			many += w.type == MEMBER_CHANGE_MANY;
		EXPECT_EQ(many, c.many) << c.what;
		EXPECT_EQ(p.joined(), c.joiner ? 6U : 5U) << c.what;
		if (c.many == 0) {
			EXPECT_EQ(p.proposed.size(), 12U) << c.what;
		}
	}
}

/*
 * Guards against: after the change to this version a leader whose view comes
 * from a snapshot of an earlier one never learns what the members can read; a
 * MemberUp for that begins an epoch, or undoes that a member leaves.
 */
TEST(member_changes, capabilities_that_a_snapshot_lacks_are_stated_again)
{
	lease_fixture p(3); /* without capabilities */
	uint64_t now = 10000 * kMs, index = 4, epoch;
	struct member_change w;
	size_t ups = 0;

	member_view_apply_leave(p.v, index, 3, 30);
	epoch = member_view_epoch(p.v);
	member_lessor_set_voters_can_read_changes(p.ls, true);
	for (int i = 0; i < 20; i++) {
		now += 50 * kMs;
		for (uint32_t id = 1; id <= 3; id++) {
			Wire__MemberInfo self = make_capable_info(id, id * 10);

			p.renew_other(now, id, id * 10, index, index, &self);
		}
		if (!member_lessor_next_change(p.ls, p.v, now, &w))
			continue;
		ups++;
		ASSERT_EQ(w.type, MEMBER_CHANGE_UP);
		EXPECT_FALSE(apply_change(p.v, ++index, &w));
	}
	EXPECT_EQ(ups, 3U);
	EXPECT_TRUE(member_view_all_have(p.v, MEMBER_CAN_MANY_CHANGES));
	EXPECT_EQ(member_view_epoch(p.v), epoch);
	EXPECT_TRUE(member_view_find(p.v, 3)->leaving);
}

/*
 * Guards against: a process that has skipped a command which it cannot read
 * becomes a member; one that may join is left out for the sake of many at once.
 */
TEST(member_changes, an_earlier_program_joins_only_a_log_that_it_can_read)
{
	for (bool has_read : {false, true}) {
		lease_fixture p(3);
		struct many_changes c;
		Wire__MemberInfo self = make_info(4, 41);
		uint64_t now = 10000 * kMs, index = 5;
		struct member_change w;
		bool proposed = false;

		for (uint32_t id = 1; id <= 3; id++) {
			Wire__MemberInfo info = make_capable_info(id, id * 10);

			member_view_apply_up(p.v, id, &info);
		}
		c.add(MEMBER_CHANGE_UP, 9, 90);
		c.add(MEMBER_CHANGE_LEAVE, 9, 90);
		EXPECT_TRUE(!has_read || c.apply(p.v, index));
		member_lessor_set_voters_can_read_changes(p.ls, true);
		for (int i = 0; i < 20; i++) {
			now += 50 * kMs;
			for (uint32_t id = 1; id <= 3; id++)
				p.renew_other(now, id, id * 10, index, index);
			if (has_read)
				p.renew_other(now, 9, 90, index, index);
			EXPECT_STREQ(
			    p.renew_other(now, 4, 41, index, index, &self)
				.reason,
			    has_read ? "earlier-version" : "not-a-member");
			proposed =
			    member_lessor_next_change(p.ls, p.v, now, &w) ||
			    proposed;
		}
		EXPECT_EQ(proposed, !has_read);
	}
}
