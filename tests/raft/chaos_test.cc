/*
 * Guards against violations of Raft's safety rules, and against a log that
 * does not recover, under combinations of faults: crashes with torn writes,
 * partitions, lost, duplicate and late messages, clock drift, replaced disks,
 * membership changes and leadership transfers. The members must agree and
 * have a leader and a complete membership after the faults end.
 */

#include <gtest/gtest.h>

#include "chaos.h"

constexpr uint64_t kChaosUs = 12 * kSecondUs;
constexpr uint64_t kRecoveryUs = 8 * kSecondUs;

ChaosTotals chaos_totals;

/*
 * Inject one random fault or change, then propose entries for 0.2 s of
 * simulated time on average.
 */
static void
chaos_step(Net &net, int n)
{
	size_t i = rng_below(&net.random, (uint32_t)net.members.size());
	size_t j = rng_below(&net.random, (uint32_t)net.members.size());
	int l = net.leader();

	switch (rng_below(&net.random, 18)) {
	case 0:
		net.crash(i);
		break;
	case 1:
		if (l >= 0)
			net.crash((size_t)l);
		break;
	case 2:
	case 3:
		net.restart(i);
		break;
	case 4:
		net.isolate(l >= 0 ? (size_t)l : i);
		break;
	case 5:
		if (i != j)
			net.cut_link(i, j);
		break;
	case 6:
	case 7:
		net.heal();
		break;
	case 8:
		/* One disk at a time: losing two would lose a quorum. */
		if (net.config_is_complete())
			net.replace_disk(i);
		break;
	case 9:
		/* In one direction, so that one member loses the leader. */
		if (l >= 0 && (size_t)l != i)
			net.cut_link((size_t)l, i);
		break;
	case 10:
		for (size_t k = 0; k < net.members.size(); k++)
			net.crash(k);
		for (size_t k = 0; k < net.members.size(); k++) {
			if (k != i)
				net.restart(k);
		}
		break;
	case 11:
		/* Changes by a possibly deposed leader, with all disks. */
		if (net.members[i].r != nullptr &&
		    raft_get_role(net.members[i].r) == RAFT_LEADER &&
		    net.config_is_current(i)) {
			net.change(i, RAFT_REMOVE, net.members[j].id);
			net.change(i, RAFT_REMOVE,
			    net.members[(j + 1) % net.members.size()].id);
		}
		break;
	case 16:
		if (l >= 0)
			(void)net.transfer_leadership((size_t)l);
		break;
	case 17:
		/* The leader may be deposed without knowing it. */
		if (net.members[i].r != nullptr &&
		    raft_get_role(net.members[i].r) == RAFT_LEADER)
			(void)net.transfer_leadership(i);
		break;
	default:
		net.repair_config();
		break;
	}
	for (int k = 0; k < 4; k++) {
		l = net.leader();
		i = rng_below(&net.random, (uint32_t)net.members.size());
		if (l >= 0)
			net.propose((size_t)l,
			    std::to_string(n) + "." + std::to_string(k));
		/* A deposed leader may still accept proposals. */
		if (net.members[i].r != nullptr &&
		    raft_get_role(net.members[i].r) == RAFT_LEADER)
			net.propose(i, "old " + std::to_string(n));
		net.run_for(rng_below(&net.random, 100000));
	}
}

static void
count_totals(const Net &net)
{
	for (const auto &c : net.committed)
		chaos_totals.configs +=
		    c.second[sizeof(uint64_t)] == RAFT_ENTRY_CONFIG;
	for (const auto &x : net.members)
		chaos_totals.replaced_disks += x.id >> 32 > net.members.size();
	chaos_totals.commits += net.committed.size();
	chaos_totals.leaders += net.leader_of_term.size();
}

std::string
run_chaos(uint64_t seed)
{
	NetOptions o;

	o.members = seed % 3 == 0 ? 5 : 3;
	o.drop_rate = seed % 2 == 0 ? 0.05 : 0;
	o.duplicate_rate = 0.05;
	o.spike_rate = 0.03;
	o.save_max_us = seed % 5 == 0 ? 60000 : 5000;
	o.clock_drift = true;
	o.batch_bytes = seed % 4 == 0 ? 40 : 4096;
	o.compact_every = seed % 7 == 0 ? 0 : 15;
	Net net(seed, o);

	net.run_for(kSecondUs / 5); /* all members save the founding config */
	for (int n = 0; net.now < kChaosUs && net.violation.empty(); n++)
		chaos_step(net, n);
	net.heal();
	net.options.drop_rate = net.options.spike_rate = 0;
	for (size_t i = 0; i < net.members.size(); i++)
		net.restart(i);
	for (int n = 0; n < 40 && net.violation.empty(); n++) {
		net.run_for(kRecoveryUs / 40);
		net.repair_config();
	}
	count_totals(net);
	int l = net.leader();

	if (net.violation.empty() && l < 0)
		return "no leader after the faults ended";
	if (net.violation.empty()) {
		net.propose((size_t)l, "last");
		net.run_for(kSecondUs);
		if (!net.config_is_complete())
			return "membership is incomplete after the repair";
		net.check_all_equal();
	}
	return net.violation;
}

TEST(RaftChaos, Seeds)
{
	for (uint64_t seed = 1; seed <= 300; seed++) {
		std::string found = run_chaos(seed);

		ASSERT_EQ(found, "") << "seed " << seed;
	}
	EXPECT_GT(chaos_totals.commits, 20000U);
	EXPECT_GT(chaos_totals.leaders, 1000U);
	EXPECT_GT(chaos_totals.configs, 300U);
	EXPECT_GT(chaos_totals.replaced_disks, 50U);
}
