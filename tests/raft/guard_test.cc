#include <gtest/gtest.h>

#include "chaos.h"

/*
 * Each guard is switched off and a checker must notice; with all guards in
 * place the same runs must pass. A run is one seed of mixed faults or of a
 * script made for the guard.
 */
struct GuardCase {
	const char *name;
	bool raft_fault::*guard;
	std::string (*run)(uint64_t seed);
	uint64_t seeds;
	const char *finding; /* part of what the checker says */
};

static std::vector<size_t>
others(const Net &net, size_t not_this)
{
	std::vector<size_t> out;

	for (size_t i = 0; i < net.m.size(); i++) {
		if (i != not_this)
			out.push_back(i);
	}
	return out;
}

static void
cut_both(Net &net, size_t a, size_t b)
{
	net.cut(a, b);
	net.cut(b, a);
}

/* Bring all together again and compare. */
static std::string
settle(Net &net)
{
	net.heal();
	for (size_t i = 0; i < net.m.size(); i++)
		net.restart(i);
	net.run_for(3 * kSecond);
	int l = net.leader();

	if (l >= 0)
		net.propose((size_t)l, "last");
	net.run_for(kSecond);
	if (net.violation.empty())
		net.check_all_equal();
	return net.violation;
}

/* Two candidates of one term that share a single other voter. */
static std::string
run_two_candidates(uint64_t seed)
{
	NetOptions o;

	o.delay_max = 100000;
	Net net(seed, o);

	cut_both(net, 1, 2);
	net.run_for(2 * kSecond);
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

/* A voter forgets its vote in a crash before the save. */
static std::string
run_vote_lost(uint64_t seed)
{
	Net net(seed, NetOptions());

	for (size_t i = 0; i < 3; i++)
		net.isolate(i);
	net.run_for(kSecond / 10);
	net.receive(0, net.m[1].id, vote_ask(net.m[0].id, 50));
	net.m[0].saves.clear();
	net.crash(0);
	net.restart(0);
	net.run_for(kSecond / 2);
	net.receive(0, net.m[2].id, vote_ask(net.m[0].id, 50));
	net.run_for(kSecond / 2);
	return net.violation;
}

/* One voter stops hearing the leader; the other still does. */
static std::string
run_one_deaf(uint64_t seed)
{
	Net net(seed, NetOptions());
	int l = net.run_to_leader();
	std::vector<size_t> rest = others(net, (size_t)l);

	cut_both(net, (size_t)l, rest[0]);
	net.run_for(2 * kSecond);
	return net.violation;
}

/* The same while the voter that still hears the leader restarts. */
static std::string
run_one_deaf_one_restarts(uint64_t seed)
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

/* Answers travel long; then the leader's messages are lost. */
static std::string
run_late_answers(uint64_t seed)
{
	Net net(seed, NetOptions());
	int l = net.run_to_leader();

	for (size_t i : others(net, (size_t)l))
		net.extra_delay[{i, (size_t)l}] = 140000;
	net.run_for(kSecond / 2);
	for (size_t i : others(net, (size_t)l))
		net.cut((size_t)l, i);
	net.run_for(kSecond);
	return net.violation;
}

/* A leader cut off removes the others one by one and commits alone. */
static std::string
run_removals_alone(uint64_t seed)
{
	Net net(seed, NetOptions());
	int l = net.run_to_leader();

	net.isolate((size_t)l);
	for (size_t i : others(net, (size_t)l))
		net.change((size_t)l, RAFT_REMOVE, net.m[i].id);
	net.propose((size_t)l, "alone");
	net.run_for(kSecond);
	return settle(net);
}

/* Step until one of these leads; its messages after that are not sent. */
static int
step_to_lone_leader(Net &net)
{
	int l = -1;

	while (l < 0 && net.now < 20 * kSecond) {
		net.step();
		l = net.leader();
	}
	return l;
}

/*
 * An entry of an old term is on a quorum, yet a voter with a newer entry in
 * its place can still win.
 */
static std::string
run_old_term(uint64_t seed)
{
	NetOptions o;

	o.members = 5;
	o.batch_bytes = 1;
	Net net(seed, o);
	int first = net.run_to_leader();

	net.run_for(kSecond / 5);
	std::vector<size_t> rest = others(net, (size_t)first);
	size_t helper = rest[0];

	for (size_t i = 1; i < rest.size(); i++)
		cut_both(net, (size_t)first, rest[i]);
	net.propose((size_t)first, "old");
	uint64_t index = raft_get_last_index(net.m[first].r);

	net.run_for(20000);
	net.isolate(helper);
	net.crash((size_t)first);
	int newer = step_to_lone_leader(net);

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
	while (net.leader() != first && net.now < 30 * kSecond)
		net.step();
	for (size_t i : rest) {
		if (i != helper && (int)i != newer) {
			net.cut((size_t)first, i);
			break;
		}
	}
	while (net.committed.count(index) == 0 && net.now < 30 * kSecond)
		net.step();
	net.heal();
	net.isolate(helper);
	net.isolate((size_t)first);
	net.crash((size_t)first);
	net.restart((size_t)newer);
	net.run_for(3 * kSecond);
	return settle(net);
}

class RaftGuard : public ::testing::TestWithParam<GuardCase> {
      protected:
	void
	TearDown() override
	{
		raft_fault = {};
	}
};

TEST_P(RaftGuard, OffIsNoticed)
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

TEST_P(RaftGuard, OnHolds)
{
	const GuardCase &c = GetParam();

	for (uint64_t seed = 1; seed <= c.seeds; seed++)
		ASSERT_EQ(c.run(seed), "") << "seed " << seed;
}

static const char kLacks[] = "lacks a committed entry";
static const char kDiffer[] = "committed entries differ";
static const char kTwoVotes[] = "two votes";
static const char kTwoAuthorities[] = "two authorities";

INSTANTIATE_TEST_SUITE_P(Table, RaftGuard,
    ::testing::Values(GuardCase{"AckBeforeSync", &raft_fault::ack_before_sync,
			  run_chaos, 100, kLacks},
	GuardCase{"CountSelfEarly", &raft_fault::count_self_early, run_chaos,
	    300, ""},
	GuardCase{
	    "VoteAnyLog", &raft_fault::vote_any_log, run_chaos, 100, kLacks},
	GuardCase{"VoteTwice", &raft_fault::vote_twice, run_two_candidates, 100,
	    kTwoVotes},
	GuardCase{"VoteBeforeSave", &raft_fault::vote_before_save,
	    run_vote_lost, 20, kTwoVotes},
	GuardCase{"VoteDespiteLeader", &raft_fault::vote_despite_leader,
	    run_one_deaf, 50, kTwoAuthorities},
	GuardCase{"ForgetPromise", &raft_fault::forget_promise,
	    run_one_deaf_one_restarts, 50, kTwoAuthorities},
	GuardCase{"LeaseFromReceipt", &raft_fault::lease_from_receipt,
	    run_late_answers, 50, kTwoAuthorities},
	GuardCase{"AuthorityEarly", &raft_fault::authority_early, run_chaos,
	    100, "has not applied all"},
	GuardCase{"CommitOldTerm", &raft_fault::commit_old_term, run_old_term,
	    20, kLacks},
	GuardCase{"KeepConflict", &raft_fault::keep_conflict, run_chaos, 100,
	    kDiffer},
	GuardCase{"ManyChanges", &raft_fault::many_changes, run_removals_alone,
	    20, kLacks}),
    [](const auto &info) { return info.param.name; });
