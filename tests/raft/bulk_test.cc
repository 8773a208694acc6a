/*
 * Entries larger than a batch on slow links: they are sent once, heartbeats
 * overtake them, and lost ones are sent again.
 */

#include <gtest/gtest.h>

#include "net.h"

static const size_t kEntryBytes = 300 * 1000;
static const int kEntries = 12;

struct BulkCase {
	const char *name;
	uint64_t byte_us; /* of the links: 8 is 1 Mbit/s */
	double drop_rate, duplicate_rate;
	bool crash; /* of the leader, in the middle */
	double copies; /* of each entry at most, by follower; 0: not counted */
};

class RaftBulk : public ::testing::TestWithParam<BulkCase> {};

/*
 * Guards against an entry that is sent with each heartbeat while the first copy
 * is on its way, and against elections because heartbeats wait behind it.
 */
TEST_P(RaftBulk, EntriesArrive)
{
	const BulkCase &t = GetParam();
	NetOptions o;

	o.bulk_bytes = o.batch_bytes;
	o.bulk_byte_us = t.byte_us;
	o.drop_rate = t.drop_rate;
	o.duplicate_rate = t.duplicate_rate;
	Net net(11, o);
	int l = net.run_to_leader();
	uint64_t term, before;

	ASSERT_GE(l, 0);
	term = raft_get_term(net.members[l].r);
	before = net.bytes_sent;
	for (int n = 0; n < kEntries; n++) {
		if (net.leader() >= 0)
			(void)net.propose((size_t)net.leader(),
			    std::string(kEntryBytes, (char)('a' + n)));
		net.run_for(200000);
		if (t.crash && n == kEntries / 2)
			net.crash((size_t)l);
	}
	net.run_for(30 * kSecondUs);
	if (t.crash) {
		net.restart((size_t)l);
		net.run_for(60 * kSecondUs);
	}
	net.check_all_equal();
	EXPECT_EQ(net.violation, "");
	if (t.copies == 0)
		return;
	EXPECT_EQ(raft_get_term(net.members[l].r), term);
	EXPECT_GE(net.committed.size(), (size_t)kEntries);
	EXPECT_LE((double)(net.bytes_sent - before),
	    t.copies * 2 * kEntries * kEntryBytes);
}

INSTANTIATE_TEST_SUITE_P(Table, RaftBulk,
    ::testing::Values(BulkCase{"Fast", 0, 0, 0, false, 1.1},
	BulkCase{"Slow", 2, 0, 0, false, 1.1},
	BulkCase{"Lossy", 1, 0.1, 0.1, false, 0},
	BulkCase{"LeaderDies", 1, 0.02, 0, true, 0}),
    [](const ::testing::TestParamInfo<BulkCase> &info) {
	    return std::string(info.param.name);
    });

/* The small entries that follow a bulk one arrive in order, behind it. */
TEST(RaftBulk, SmallEntriesWaitForABulkOne)
{
	NetOptions o;

	o.bulk_bytes = o.batch_bytes;
	o.bulk_byte_us = 2;
	Net net(12, o);
	int l = net.run_to_leader();
	uint64_t commit, before;

	ASSERT_GE(l, 0);
	commit = raft_get_commit(net.members[l].r);
	before = net.bytes_sent;
	ASSERT_TRUE(net.propose((size_t)l, std::string(kEntryBytes, 'x')));
	for (int n = 0; n < 50; n++)
		ASSERT_TRUE(net.propose((size_t)l, "small"));
	net.run_for(3 * kSecondUs);
	EXPECT_EQ(raft_get_commit(net.members[l].r), commit + 51);
	EXPECT_LE(net.bytes_sent - before, 2 * kEntryBytes + 100000);
	net.check_all_equal();
	EXPECT_EQ(net.violation, "");
}
