/*
 * Guards against checkers that miss a violation. Each case disables one
 * safety rule of raft (a guard, see raft_fault.h), and a checker must report
 * the violation; with all guards enabled the same runs must pass. A run is
 * one seed of mixed faults or of a scenario written for the guard.
 */

#include <gtest/gtest.h>

#include "chaos.h"

struct GuardCase {
	const char *name;
	bool raft_fault::*guard; /* flag that disables the guard */
	std::string (*run)(uint64_t seed); /* returns the violation, or "" */
	uint64_t seeds; /* runs with seeds 1 to this one */
	const char *finding; /* part of the reported violation */
};

void
PrintTo(const GuardCase &c, std::ostream *out)
{
	*out << c.name;
}

static std::vector<size_t>
others(const Net &net, size_t not_this)
{
	std::vector<size_t> out;

	for (size_t i = 0; i < net.members.size(); i++) {
		if (i != not_this)
			out.push_back(i);
	}
	return out;
}

static void
cut_both(Net &net, size_t a, size_t b)
{
	net.cut_link(a, b);
	net.cut_link(b, a);
}

/* Heal all links, restart all members and compare their logs. */
static std::string
heal_and_check(Net &net)
{
	net.heal();
	for (size_t i = 0; i < net.members.size(); i++)
		net.restart(i);
	net.run_for(3 * kSecondUs);
	int l = net.leader();

	if (l >= 0)
		net.propose((size_t)l, "last");
	net.run_for(kSecondUs);
	if (net.violation.empty())
		net.check_all_equal();
	return net.violation;
}

/*
 * Two candidates of one term that reach only the same third voter: if it
 * votes twice, both are elected.
 */
static std::string
run_two_candidates(uint64_t seed)
{
	NetOptions o;

	o.delay_max_us = 100000;
	Net net(seed, o);

	cut_both(net, 1, 2);
	net.run_for(2 * kSecondUs);
	return net.violation;
}

static std::string
vote_ask(uint64_t to, uint64_t term)
{
	Raft__VoteAsk ask = RAFT__VOTE_ASK__INIT;
	Raft__Message msg = RAFT__MESSAGE__INIT;

	ask.last_index = ask.last_term = 1000;
	msg.group = kGroup;
	msg.to = to;
	msg.term = term;
	msg.body_case = RAFT__MESSAGE__BODY_VOTE;
	msg.vote = &ask;
	return pack(msg);
}

/*
 * A crash before the save loses a vote that was already sent: the voter then
 * votes for another candidate of the same term.
 */
static std::string
run_vote_lost(uint64_t seed)
{
	Net net(seed, NetOptions());

	for (size_t i = 0; i < 3; i++)
		net.isolate(i);
	net.run_for(kSecondUs / 10);
	net.receive(0, net.members[1].id, vote_ask(net.members[0].id, 50));
	net.members[0].saves.clear();
	net.crash(0);
	net.restart(0);
	net.run_for(kSecondUs / 2);
	net.receive(0, net.members[2].id, vote_ask(net.members[0].id, 50));
	net.run_for(kSecondUs / 2);
	return net.violation;
}

/*
 * One voter loses the link to the leader and campaigns while the other voter
 * still acknowledges the leader, which has its lease.
 */
static std::string
run_partial_partition(uint64_t seed)
{
	Net net(seed, NetOptions());
	int l = net.run_to_leader();
	std::vector<size_t> rest = others(net, (size_t)l);

	cut_both(net, (size_t)l, rest[0]);
	net.run_for(2 * kSecondUs);
	return net.violation;
}

/*
 * The same, but the voter that still reaches the leader restarts: it must
 * remember to withhold its vote until the lease has ended.
 */
static std::string
run_partial_partition_restart(uint64_t seed)
{
	Net net(seed, NetOptions());
	int l = net.run_to_leader();
	std::vector<size_t> rest = others(net, (size_t)l);

	cut_both(net, (size_t)l, rest[0]);
	for (int n = 0; n < 100 && net.violation.empty(); n++) {
		net.run_for(20000);
		net.crash(rest[1]);
		net.restart(rest[1]);
	}
	return net.violation;
}

/*
 * Replies are delayed, then the leader's messages are lost: a lease counted
 * from the receipt of a reply outlasts the followers' election timeout.
 */
static std::string
run_delayed_replies(uint64_t seed)
{
	Net net(seed, NetOptions());
	int l = net.run_to_leader();

	for (size_t i : others(net, (size_t)l))
		net.extra_delay_us[{i, (size_t)l}] = 140000;
	net.run_for(kSecondUs / 2);
	for (size_t i : others(net, (size_t)l))
		net.cut_link((size_t)l, i);
	net.run_for(kSecondUs);
	return net.violation;
}

/*
 * An isolated leader removes the other voters without waiting for the commit
 * of each change, and commits alone.
 */
static std::string
run_isolated_removals(uint64_t seed)
{
	Net net(seed, NetOptions());
	int l = net.run_to_leader();

	net.isolate((size_t)l);
	for (size_t i : others(net, (size_t)l))
		net.change((size_t)l, RAFT_REMOVE, net.members[i].id);
	net.propose((size_t)l, "alone");
	net.run_for(kSecondUs);
	return heal_and_check(net);
}

/*
 * An entry is on two of three voters but synced on only one of them. The
 * other one crashes and loses it; with the first one isolated, the remaining
 * two voters elect a leader without the entry.
 */
static std::string
run_unsynced(uint64_t seed, bool leader_is_slow)
{
	Net net(seed, NetOptions());
	int l = net.run_to_leader();
	std::vector<size_t> rest = others(net, (size_t)l);
	size_t slow = leader_is_slow ? (size_t)l : rest[0];
	size_t fast = leader_is_slow ? rest[0] : (size_t)l;

	net.run_for(kSecondUs / 5);
	cut_both(net, (size_t)l, rest[1]);
	cut_both(net, rest[0], rest[1]);
	net.members[slow].disk_free_us = net.now + 10 * kSecondUs;
	net.propose((size_t)l, "unsynced");
	net.run_for(30000);
	net.members[slow].saves.clear();
	net.crash(slow);
	net.heal();
	net.isolate(fast);
	net.restart(slow);
	net.run_for(3 * kSecondUs);
	return heal_and_check(net);
}

static std::string
run_slow_follower(uint64_t seed)
{
	return run_unsynced(seed, false);
}

static std::string
run_slow_leader(uint64_t seed)
{
	return run_unsynced(seed, true);
}

/* Run single events until there is a leader; its index or -1. */
static int
step_to_leader(Net &net)
{
	int l = -1;

	while (l < 0 && net.now < 20 * kSecondUs) {
		net.step();
		l = net.leader();
	}
	return l;
}

/*
 * An entry of an old term is on a quorum, but a voter with an entry of a
 * newer term at the same index can still win the election and replace it.
 */
static std::string
run_old_term(uint64_t seed)
{
	NetOptions o;

	o.members = 5;
	o.batch_bytes = 1;
	Net net(seed, o);
	int first = net.run_to_leader();

	net.run_for(kSecondUs / 5);
	std::vector<size_t> rest = others(net, (size_t)first);
	size_t helper = rest[0];

	for (size_t i = 1; i < rest.size(); i++)
		cut_both(net, (size_t)first, rest[i]);
	net.propose((size_t)first, "old");
	uint64_t index = raft_get_last_index(net.members[first].r);

	net.run_for(20000);
	net.isolate(helper);
	net.crash((size_t)first);
	int newer = step_to_leader(net);

	if (newer < 0)
		return "no newer leader";
	net.isolate((size_t)newer);
	net.run_for(20000);
	net.crash((size_t)newer);
	net.heal();
	for (size_t i : others(net, helper)) {
		if ((int)i != first)
			cut_both(net, helper, i);
	}
	net.restart((size_t)first);
	while (net.leader() != first && net.now < 30 * kSecondUs)
		net.step();
	for (size_t i : rest) {
		if (i != helper && (int)i != newer) {
			net.cut_link((size_t)first, i);
			break;
		}
	}
	while (net.committed.count(index) == 0 && net.now < 30 * kSecondUs)
		net.step();
	net.heal();
	net.isolate(helper);
	net.isolate((size_t)first);
	net.crash((size_t)first);
	net.restart((size_t)newer);
	net.run_for(3 * kSecondUs);
	return heal_and_check(net);
}

class RaftGuard : public ::testing::TestWithParam<GuardCase> {
      protected:
	void
	TearDown() override
	{
		raft_fault = {};
	}
};

TEST_P(RaftGuard, DisabledGuardIsDetected)
{
	const GuardCase &c = GetParam();
	std::string found;
	uint64_t seed;

	raft_fault.*c.guard = true;
	for (seed = 1; seed <= c.seeds && found.empty(); seed++)
		found = c.run(seed);
	EXPECT_NE(found, "") << "up to seed " << seed - 1;
	EXPECT_NE(found.find(c.finding), std::string::npos)
	    << "found \"" << found << "\" up to seed " << seed - 1;
	if (getenv("RAFT_GUARD_PRINT") != nullptr)
		printf(
		    "%s: seed %d: %s\n", c.name, (int)seed - 1, found.c_str());
}

TEST_P(RaftGuard, EnabledGuardHolds)
{
	const GuardCase &c = GetParam();

	if (c.run == run_chaos)
		return; /* RaftChaos.Seeds covers these seeds */
	for (uint64_t seed = 1; seed <= c.seeds; seed++)
		ASSERT_EQ(c.run(seed), "") << "seed " << seed;
}

static const char kLacks[] = "lacks a committed entry";
static const char kDiffer[] = "committed entries differ";
static const char kTwoVotes[] = "two votes";
static const char kTwoAuthorities[] = "two leaders have authority";

INSTANTIATE_TEST_SUITE_P(Table, RaftGuard,
    ::testing::Values(GuardCase{"AckBeforeSync", &raft_fault::ack_before_sync,
			  run_slow_follower, 20, kLacks},
	GuardCase{"CountSelfUnsynced", &raft_fault::count_self_unsynced,
	    run_slow_leader, 20, kLacks},
	GuardCase{"VoteStaleLog", &raft_fault::vote_stale_log, run_chaos, 100,
	    kLacks},
	GuardCase{"VoteTwice", &raft_fault::vote_twice, run_two_candidates, 100,
	    kTwoVotes},
	GuardCase{"VoteBeforeSave", &raft_fault::vote_before_save,
	    run_vote_lost, 20, kTwoVotes},
	GuardCase{"VoteDespiteLeader", &raft_fault::vote_despite_leader,
	    run_partial_partition, 50, kTwoAuthorities},
	GuardCase{"VoteAfterRestart", &raft_fault::vote_after_restart,
	    run_partial_partition_restart, 50, kTwoAuthorities},
	GuardCase{"LeaseFromReceipt", &raft_fault::lease_from_receipt,
	    run_delayed_replies, 50, kTwoAuthorities},
	GuardCase{"AuthorityBeforeCommit", &raft_fault::authority_before_commit,
	    run_chaos, 100, "has not applied all"},
	GuardCase{"CommitOldTerm", &raft_fault::commit_old_term, run_old_term,
	    20, kLacks},
	GuardCase{"KeepConflict", &raft_fault::keep_conflict, run_chaos, 100,
	    kDiffer},
	GuardCase{"ConcurrentChanges", &raft_fault::concurrent_changes,
	    run_isolated_removals, 20, kLacks}),
    [](const auto &info) { return info.param.name; });
