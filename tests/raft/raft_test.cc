#include <gtest/gtest.h>

#include "net.h"

TEST(Raft, ThreeVotersElectAndCommit)
{
	Net net(1, NetOptions());
	int l = net.run_to_leader();

	ASSERT_GE(l, 0);
	for (int n = 0; n < 100; n++)
		ASSERT_TRUE(net.propose(l, "command " + std::to_string(n)));
	net.run_for(kSecond);
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
	uint64_t commit = raft_get_commit(net.m[0].r);

	ASSERT_TRUE(net.propose(0, "x"));
	EXPECT_EQ(raft_get_commit(net.m[0].r), commit);
	net.run_for(kSecond);
	EXPECT_EQ(raft_get_commit(net.m[0].r), commit + 1);
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
	net.run_for(kSecond);
	net.check_all_equal();
	EXPECT_EQ(net.violation, "");
}
