/*
 * Guards against faults in single mechanisms of raft: elections, commit rules,
 * snapshots, membership changes, limits, and the handling of malformed
 * messages and inconsistent disks.
 */

#include <gtest/gtest.h>

#include "net.h"

TEST(Raft, ThreeVotersElectAndCommit)
{
	Net net(1, NetOptions());
	int l = net.run_to_leader();

	ASSERT_GE(l, 0);
	for (int n = 0; n < 100; n++)
		ASSERT_TRUE(net.propose(l, "command " + std::to_string(n)));
	net.run_for(kSecondUs);
	net.check_all_equal();
	EXPECT_EQ(net.violation, "");
	EXPECT_GE(net.committed.size(), 101U);
}

TEST(Raft, SingleVoterCommitsAfterItsSync)
{
	NetOptions o;

	o.members = 1;
	Net net(1, o);
	int l = net.run_to_leader();

	ASSERT_EQ(l, 0);
	uint64_t commit = raft_get_commit(net.members[0].r);

	ASSERT_TRUE(net.propose(0, "x"));
	EXPECT_EQ(raft_get_commit(net.members[0].r), commit);
	net.run_for(kSecondUs);
	EXPECT_EQ(raft_get_commit(net.members[0].r), commit + 1);
}

TEST(Raft, RestartKeepsLog)
{
	NetOptions o;

	o.compact_every = 20;
	Net net(3, o);
	int l = net.run_to_leader();

	ASSERT_GE(l, 0);
	for (int n = 0; n < 100; n++) {
		net.propose(l, "command " + std::to_string(n));
		net.run_for(10000);
	}
	for (size_t i = 0; i < 3; i++)
		net.crash(i);
	for (size_t i = 0; i < 3; i++)
		net.restart(i);
	ASSERT_GE(net.run_to_leader(), 0);
	net.run_for(kSecondUs);
	net.check_all_equal();
	EXPECT_EQ(net.violation, "");
}

/*
 * All of five voters lose power and return; their first messages are lost, as
 * no connection is established yet. Returns the time from when messages arrive
 * to a leader with authority.
 */
static uint64_t
time_to_leader_once_connected(uint64_t seed)
{
	NetOptions o;

	o.members = 5;
	Net net(seed, o);

	EXPECT_GE(net.run_to_leader(), 0);
	net.run_for(kSecondUs);
	for (size_t i = 0; i < 5; i++)
		net.crash(i);
	for (size_t i = 0; i < 5; i++) {
		net.restart(i);
		net.isolate(i);
	}
	net.run_for(kElectionMaxUs);
	net.heal();

	uint64_t connected_us = net.now;

	EXPECT_GE(net.run_to_leader(), 0);
	EXPECT_EQ(net.violation, "");
	return net.now - connected_us;
}

/*
 * Guards against a candidate that asks for pre-votes once per election timeout,
 * and so waits for another one when its first requests are lost.
 */
TEST(Raft, LostPreVoteRequestsAreRepeated)
{
	size_t soon = 0;

	for (uint64_t seed = 1; seed <= 100; seed++)
		soon += time_to_leader_once_connected(seed) <= 2 * kHeartbeatUs;
	EXPECT_GT(soon, 50U);
}

static size_t
first_other(int l)
{
	return l == 0 ? 1 : 0;
}

TEST(Raft, IsolatedVoterDoesNotDisruptLeader)
{
	Net net(5, NetOptions());
	int l = net.run_to_leader();
	size_t isolated = first_other(l);
	uint64_t term = raft_get_term(net.members[l].r);

	net.isolate(isolated);
	net.run_for(10 * kSecondUs);
	EXPECT_EQ(raft_get_term(net.members[isolated].r), term);
	net.heal();
	net.run_for(2 * kSecondUs);
	EXPECT_EQ(net.leader(), l);
	EXPECT_EQ(raft_get_term(net.members[l].r), term);
	EXPECT_EQ(net.violation, "");
}

TEST(Raft, IsolatedLeaderStepsDown)
{
	Net net(6, NetOptions());
	int l = net.run_to_leader();
	uint64_t isolated_at_us = net.now;

	net.isolate((size_t)l);
	while (raft_get_role(net.members[l].r) == RAFT_LEADER)
		net.step();
	EXPECT_LE(net.now, isolated_at_us + kElectionMinUs + 1000);
	EXPECT_EQ(raft_authority_until(net.members[l].r), 0U);
	EXPECT_EQ(raft_leader_since(net.members[l].r), 0U);
}

TEST(Raft, LearnerCatchesUpBySnapshot)
{
	NetOptions o;

	o.compact_every = 10;
	o.batch_bytes = 16;
	Net net(7, o);
	int l = net.run_to_leader();
	size_t lost = first_other(l);
	uint64_t old_id = net.members[lost].id;

	/* More bytes than compaction keeps in the log. */
	for (int n = 0; n < 40; n++) {
		net.propose((size_t)l, std::string(100000, 'x'));
		net.run_for(30000);
	}
	net.replace_disk(lost);
	uint64_t id = net.members[lost].id;

	ASSERT_EQ(net.change(l, RAFT_REMOVE, old_id), MP_OK);
	net.run_for(kSecondUs);
	net.isolate(lost);
	ASSERT_EQ(net.change(l, RAFT_ADD_LEARNER, id), MP_OK);
	net.run_for(kSecondUs);
	EXPECT_FALSE(raft_is_learner_ready(net.members[l].r, id));
	EXPECT_EQ(net.change(l, RAFT_PROMOTE, id), MP_ERR_UNAVAILABLE);
	net.heal();
	net.run_for(kSecondUs);
	EXPECT_GT(raft_get_snapshot_index(net.members[lost].r), 30U);
	EXPECT_GE(net.install_parts, 3U);
	EXPECT_TRUE(raft_is_learner_ready(net.members[l].r, id));
	EXPECT_EQ(net.change(l, RAFT_PROMOTE, id), MP_OK);
	net.run_for(kSecondUs);
	EXPECT_TRUE(net.config_is_complete());
	net.check_all_equal();
	EXPECT_EQ(net.violation, "");
}

/*
 * Guards against a lost disk that stays a voter, or one of two lost disks of an
 * instance that stays a learner, beside the one in use.
 */
TEST(Raft, ALearnerTakesThePlaceOfTheLostDisksOfItsInstance)
{
	Net net(15, NetOptions());
	int l = net.run_to_leader();
	size_t lost = first_other(l);
	const raft_config *c;

	for (int n = 0; n < 2; n++) {
		net.replace_disk(lost);
		net.run_for(kSecondUs);
		ASSERT_EQ(net.change(l, RAFT_ADD_LEARNER, net.members[lost].id),
		    MP_OK);
		c = raft_get_config(net.members[l].r);
		EXPECT_EQ(c->nvoters, 2U);
		ASSERT_EQ(c->nlearners, 1U);
		EXPECT_EQ(c->learners[0], net.members[lost].id);
	}
	net.run_for(kSecondUs);
	EXPECT_EQ(net.change(l, RAFT_PROMOTE, net.members[lost].id), MP_OK);
	net.run_for(kSecondUs);
	EXPECT_TRUE(net.config_is_complete());
	net.check_all_equal();
	EXPECT_EQ(net.violation, "");
}

/*
 * Guards against a learner that waits for an instant at which it has all that
 * is committed: entries that keep coming leave none.
 */
TEST(Raft, ALearnerIsReadyWhileEntriesKeepComing)
{
	NetOptions o;

	o.members = 4;
	o.delay_max_us = 30000;
	Net net(16, o);
	int l = net.run_to_leader();
	size_t lost = first_other(l);
	int waits = 0;

	for (int n = 0; n < 1500; n++) {
		net.propose((size_t)l, "x");
		net.run_for(2000);
		if (n == 100)
			net.replace_disk(lost);
		if (n == 500) {
			ASSERT_EQ(net.change(l, RAFT_ADD_LEARNER,
				      net.members[lost].id),
			    MP_OK);
		}
		if (n > 500 &&
		    !raft_is_learner_ready(
			net.members[l].r, net.members[lost].id))
			waits++;
	}
	/* In three rounds at most, each as long as some messages take. */
	EXPECT_LT(waits, 300);
	EXPECT_EQ(net.change(l, RAFT_PROMOTE, net.members[lost].id), MP_OK);
	net.run_for(kSecondUs);
	EXPECT_TRUE(net.config_is_complete());
	EXPECT_EQ(net.violation, "");
}

TEST(Raft, SlowFollowerWithinKeptEntriesNeedsNoSnapshot)
{
	NetOptions o;

	o.compact_every = 10;
	Net net(8, o);
	int l = net.run_to_leader();
	size_t slow = first_other(l);

	net.run_for(kSecondUs);
	net.isolate(slow);
	for (int n = 0; n < 100; n++) {
		net.propose((size_t)l, "x");
		net.run_for(10000);
	}
	uint64_t before = net.snapshots_taken[slow];

	EXPECT_GT(raft_get_snapshot_index(net.members[l].r), 80U);
	net.heal();
	net.run_for(2 * kSecondUs);
	net.check_all_equal();
	EXPECT_EQ(net.snapshots_taken[slow], before);
	EXPECT_EQ(net.violation, "");
}

TEST(Raft, LeaderCanRemoveItself)
{
	Net net(9, NetOptions());
	int l = net.run_to_leader();
	uint64_t id = net.members[l].id;

	ASSERT_EQ(net.change(l, RAFT_REMOVE, id), MP_OK);
	net.run_for(3 * kSecondUs);
	EXPECT_EQ(raft_get_role(net.members[l].r), RAFT_FOLLOWER);
	int next = net.leader();

	ASSERT_GE(next, 0);
	EXPECT_NE(next, l);
	EXPECT_EQ(raft_get_config(net.members[next].r)->nvoters, 2U);
	EXPECT_TRUE(net.propose((size_t)next, "x"));
	uint64_t term = raft_get_term(net.members[next].r);

	net.run_for(5 * kSecondUs);
	EXPECT_EQ(raft_get_term(net.members[next].r), term);
	EXPECT_EQ(net.violation, "");
}

TEST(Raft, OneChangeAtATime)
{
	Net net(10, NetOptions());
	int l = net.run_to_leader();
	size_t other = first_other(l);

	EXPECT_EQ(net.change(other, RAFT_REMOVE, 1), MP_ERR_NOT_LEADER);
	EXPECT_EQ(net.change(l, RAFT_REMOVE, 99), MP_ERR_INVALID);
	EXPECT_EQ(net.change(l, RAFT_PROMOTE, 99), MP_ERR_INVALID);
	EXPECT_EQ(net.change(l, RAFT_ADD_LEARNER, net.members[other].id),
	    MP_ERR_INVALID);
	EXPECT_EQ(net.change(l, RAFT_ADD_LEARNER, 99), MP_OK);
	EXPECT_EQ(net.change(l, RAFT_ADD_LEARNER, 98), MP_ERR_UNAVAILABLE);
	net.run_for(kSecondUs);
	EXPECT_EQ(net.change(l, RAFT_REMOVE, 99), MP_OK);
	/* An uncommitted change that is lost with its leader is rolled back. */
	net.run_for(kSecondUs);
	net.isolate((size_t)l);
	EXPECT_EQ(net.change(l, RAFT_ADD_LEARNER, 97), MP_OK);
	EXPECT_EQ(raft_get_config(net.members[l].r)->nlearners, 1U);
	net.run_for(kSecondUs);
	net.heal();
	net.run_for(2 * kSecondUs);
	EXPECT_EQ(raft_get_config(net.members[l].r)->nlearners, 0U);
	EXPECT_EQ(net.violation, "");
}

TEST(Raft, RemovalThatLeavesNoLiveQuorumIsRejected)
{
	Net net(11, NetOptions());
	int l = net.run_to_leader();
	size_t dead = first_other(l), live = 3 - dead - (size_t)l;

	net.crash(dead);
	net.run_for(kSecondUs);
	EXPECT_EQ(net.change(l, RAFT_REMOVE, net.members[live].id),
	    MP_ERR_UNAVAILABLE);
	EXPECT_EQ(net.change(l, RAFT_REMOVE, net.members[dead].id), MP_OK);
}

/*
 * Commit needs a quorum of synced copies: the leader counts itself only after
 * its own sync, and two synced followers suffice without it.
 */
TEST(Raft, LeaderCountsOwnEntryOnlyWhenSynced)
{
	Net net(12, NetOptions());
	int l = net.run_to_leader();
	size_t a = first_other(l), b = 3 - a - (size_t)l;

	net.run_for(kSecondUs);
	uint64_t commit = raft_get_commit(net.members[l].r);

	/* Both followers have synced: the leader's disk is not needed. */
	net.members[l].disk_free_us = net.now + 100000;
	net.propose((size_t)l, "x");
	net.run_for(30000);
	EXPECT_EQ(raft_get_commit(net.members[l].r), commit + 1);
	net.run_for(kSecondUs);
	/* One synced follower is no quorum. */
	net.crash(b);
	net.members[l].disk_free_us = net.now + 100000;
	net.propose((size_t)l, "y");
	net.run_for(90000);
	EXPECT_EQ(raft_get_commit(net.members[l].r), commit + 1);
	net.run_for(50000);
	EXPECT_EQ(raft_get_commit(net.members[l].r), commit + 2);
	EXPECT_EQ(net.violation, "");
}

TEST(Raft, ManyProposalsAreBatched)
{
	Net net(13, NetOptions());
	int l = net.run_to_leader();

	net.run_for(kSecondUs);
	uint64_t sent = net.messages_sent;

	for (int n = 0; n < 1000; n++)
		net.propose((size_t)l, "0123456789");
	net.run_for(kSecondUs / 2);
	net.check_all_equal();
	/* 50 kB for each of two followers, 4 kB per append, and replies. */
	EXPECT_LT(net.messages_sent - sent, 200U);
	EXPECT_EQ(net.violation, "");
}

TEST(Raft, FailedSaveHalts)
{
	Net net(14, NetOptions());
	int l = net.run_to_leader();

	net.run_for(kSecondUs);
	net.members[l].fail_saves = true;
	net.propose((size_t)l, "x");
	net.run_for(2 * kSecondUs);
	EXPECT_TRUE(raft_is_halted(net.members[l].r));
	EXPECT_EQ(raft_get_role(net.members[l].r), RAFT_FOLLOWER);
	EXPECT_EQ(raft_authority_until(net.members[l].r), 0U);
	EXPECT_FALSE(net.propose((size_t)l, "x"));
	int next = net.leader();

	ASSERT_GE(next, 0);
	EXPECT_NE(next, l);
	/* A halted follower acknowledges nothing: the leader cannot commit. */
	net.crash(3 - (size_t)l - (size_t)next);
	uint64_t commit = raft_get_commit(net.members[next].r);

	net.propose((size_t)next, "y");
	net.run_for(kSecondUs);
	EXPECT_EQ(raft_get_commit(net.members[next].r), commit);
	EXPECT_EQ(net.violation, "");
}

TEST(Raft, UncommittedBytesAreLimited)
{
	Net net(15, NetOptions());
	int l = net.run_to_leader();
	std::string megabyte(1 << 20, 'x');
	int accepted = 0;

	net.isolate((size_t)l);
	while (accepted < 100 && net.propose((size_t)l, megabyte))
		accepted++;
	EXPECT_GE(accepted, 14);
	EXPECT_LE(accepted, 16);
}

TEST(Raft, EmptyLogNeitherVotesNorCampaigns)
{
	NetOptions o;

	o.compact_every = 10;
	Net net(16, o);
	int l = net.run_to_leader();
	size_t lost = first_other(l);

	net.replace_disk(lost);
	/* Also under the previous id. */
	net.members[lost].id = RAFT_ID(1, lost + 1);
	net.crash((size_t)l);
	net.run_for(5 * kSecondUs);
	EXPECT_EQ(net.leader(), -1);
	EXPECT_EQ(raft_get_term(net.members[lost].r), 0U);
	EXPECT_TRUE(raft_is_empty(net.members[lost].r));
}

/* Truncated messages and messages with changed bytes must not crash raft. */
TEST(Raft, MalformedMessagesAreDropped)
{
	NetOptions o;

	o.compact_every = 5;
	o.record_messages_max = 250;
	Net net(17, o);
	int l = net.run_to_leader();

	for (int n = 0; n < 30; n++) {
		net.propose((size_t)l, "command " + std::to_string(n));
		net.run_for(20000);
	}
	size_t to = first_other(l);
	std::vector<std::string> recorded = net.recorded_messages;

	ASSERT_EQ(recorded.size(), 250U);
	for (const auto &bytes : recorded) {
		std::string bad = bytes.substr(
		    0, rng_below(&net.random, (uint32_t)bytes.size()));

		net.receive(to, net.members[l].id, bad);
		bad = bytes;
		for (int n = 0; n < 3; n++)
			bad[rng_below(&net.random, (uint32_t)bad.size())] ^=
			    (char)(1 + rng_below(&net.random, 255));
		net.receive(to, net.members[l].id, bad);
		net.receive((size_t)l, net.members[to].id, bad);
	}
	net.receive(to, net.members[l].id, "");
	net.receive(to, 0, recorded[0]);
}

TEST(Raft, WrongGroupReceiverOrRecordsChangeNothing)
{
	Net net(18, NetOptions());
	int l = net.run_to_leader();
	size_t to = first_other(l);
	Raft__Append append = RAFT__APPEND__INIT;
	Raft__Message msg = RAFT__MESSAGE__INIT;
	raft *r = net.members[to].r;
	raft_record rec = {};
	buf b = {};

	net.run_for(kSecondUs);
	uint64_t last = raft_get_last_index(r);

	append.prev_index = last;
	append.prev_term = raft_get_term(r);
	append.count = 1;
	rec.index = last + 1;
	rec.term = raft_get_term(r);
	rec.data = {"x", 1};
	raft_record_pack(&b, &rec);
	msg.term = raft_get_term(r);
	msg.body_case = RAFT__MESSAGE__BODY_APPEND;
	msg.append = &append;

	struct {
		uint32_t group;
		uint64_t to;
		uint32_t count;
		size_t len;
		uint8_t flip;
		bool accepted;
	} cases[] = {
	    {kGroup + 1, net.members[to].id, 1, b.len, 0, false},
	    {kGroup, net.members[l].id, 1, b.len, 0, false},
	    {kGroup, net.members[to].id, 2, b.len, 0, false},
	    {kGroup, net.members[to].id, 0, b.len, 0, false},
	    {kGroup, net.members[to].id, 1, b.len - 1, 0, false},
	    {kGroup, net.members[to].id, 1, b.len, 1, false},
	    {kGroup, net.members[to].id, 1, b.len, 0, true},
	};
	for (const auto &c : cases) {
		msg.group = c.group;
		msg.to = c.to;
		append.count = c.count;
		b.data[b.len - 1] ^= (char)c.flip;
		append.records.data = (uint8_t *)b.data;
		append.records.len = c.len;
		net.receive(to, net.members[l].id, pack(msg));
		b.data[b.len - 1] ^= (char)c.flip;
		EXPECT_EQ(raft_get_last_index(r), last + (c.accepted ? 1 : 0));
	}
	buf_free(&b);
}

TEST(Raft, InconsistentDiskIsRejected)
{
	Net net(19, NetOptions());
	int l = net.run_to_leader();
	raft_options o = net.members[l].r->options;
	mp_error err;
	raft *r;

	net.propose((size_t)l, "x");
	net.run_for(kSecondUs);
	Disk good = net.members[l].disk;

	ASSERT_GE(good.records.size(), 2U);
	for (int n = 0; n < 6; n++) {
		Disk bad = good;
		std::string all;
		node_disk d = {};

		if (n == 1)
			bad.records[0][50 % bad.records[0].size()] ^= 1;
		if (n == 2)
			bad.records.erase(bad.records.begin());
		if (n == 3)
			bad.term = 1;
		if (n == 4)
			bad.snapshot = "\xff\xff";
		if (n == 5)
			bad.snapshot_index = 0;
		for (const auto &rec : bad.records)
			all += rec;
		d.term = bad.term;
		d.vote = bad.vote;
		d.snapshot_index = bad.snapshot_index;
		d.snapshot_term = bad.snapshot_term;
		d.snapshot = {bad.snapshot.data(), bad.snapshot.size()};
		d.first_index = bad.first + (n == 2 ? 1 : 0);
		d.record_count = bad.records.size();
		d.records = {all.data(), all.size()};
		EXPECT_EQ(raft_create(&r, &o, &d, 1, &err),
		    n == 0 ? MP_OK : MP_ERR_CORRUPT)
		    << n;
		raft_destroy(r);
	}
}
