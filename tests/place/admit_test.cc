#include <gtest/gtest.h>

#include "admit_world.h"

/*
 * Admission under the loads that the design note names: what each account and
 * each kind of request gets while capacity is short.
 */

static WorldLoad
Usual(int accounts, double used)
{
	WorldLoad load;

	load.kinds = WorldKinds();
	load.accounts = WorldAccounts(accounts, used, load);
	return load;
}

/* One account sends 7.5 times its load for 6.5 s. */
static WorldLoad
Flood(int accounts, double used)
{
	WorldLoad load = Usual(accounts, used);

	load.surges = {{0, -1, 7.5, 5000, 11500}};
	return load;
}

static WorldCount
Others(const WorldResult &r)
{
	WorldCount all;

	for (size_t i = 1; i < r.accounts.size(); i++)
		all.Add(r.accounts[i]);
	return all;
}

/*
 * Guards against a flooding account that takes what the others need. It still
 * gets what they leave: the engines are not idle while its requests wait.
 */
TEST(Admit, a_flood_of_one_account_leaves_the_others_their_share)
{
	struct {
		const char *name;
		int accounts;
		double used;
	} cases[] = {
	    {"one of 16, nearly full", 16, 0.9},
	    {"one of 16", 16, 0.8},
	    {"one of 6, large", 6, 0.75},
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		WorldLoad flood = Flood(c.accounts, c.used), usual = flood;

		usual.surges.clear();
		WorldResult with = RunWorld(flood), without = RunWorld(usual);

		EXPECT_GE(Others(with).ValuePart(),
		    0.9 * Others(without).ValuePart());
		EXPECT_GE(with.accounts[0].timely + with.accounts[0].late,
		    1.5 *
			(without.accounts[0].timely +
			    without.accounts[0].late));
		EXPECT_LE(with.gap_milli, with.gap_bound_milli);
	}
}

struct LoadCase {
	const char *name;
	double used;
	WorldSurge surge;
	uint32_t clump;
};

static const LoadCase load_cases[] = {
    {"usual", 0.75, {-1, -1, 1, 0, 0}, 1},
    {"flood", 0.9, {0, -1, 7.5, 5000, 11500}, 1},
    {"burst", 0.75, {-1, -1, 1.7, 5000, 11500}, 1},
    {"burst of the most urgent kind", 0.75, {-1, 0, 2.5, 5000, 11500}, 1},
    {"groups of 3", 0.85, {-1, -1, 1, 0, 0}, 3},
    {"burst in groups of 3", 0.75, {-1, -1, 1.7, 5000, 11500}, 3},
};

static WorldLoad
MakeLoad(const LoadCase &c, bool baseline)
{
	WorldLoad load = Usual(16, c.used);

	load.surges = {c.surge};
	load.clump = c.clump;
	load.baseline = baseline;
	return load;
}

/*
 * Guards against an order that loses against the baseline, and against a gap
 * in service beyond its bound.
 */
TEST(Admit, the_order_by_shares_earns_no_less_than_the_baseline)
{
	for (auto &c : load_cases) {
		SCOPED_TRACE(c.name);
		WorldResult shares = RunWorld(MakeLoad(c, false));
		WorldResult baseline = RunWorld(MakeLoad(c, true));

		/* the arrivals differ a little after the first return */
		EXPECT_GE(
		    shares.all.ValuePart(), 0.99 * baseline.all.ValuePart());
		EXPECT_GE(
		    shares.all.ServedPart(), 0.99 * baseline.all.ServedPart());
		EXPECT_LE(shares.gap_milli, shares.gap_bound_milli);
	}
}

/*
 * Guards against an order in which the most urgent kind, which has the shortest
 * deadline and no retry, earns less than less urgent ones.
 */
TEST(Admit, a_more_urgent_kind_fares_no_worse)
{
	for (auto &c : load_cases) {
		SCOPED_TRACE(c.name);
		WorldResult r = RunWorld(MakeLoad(c, false));

		for (size_t k = 1; k < r.kinds.size(); k++)
			EXPECT_GE((double)r.kinds[k - 1].timely /
				    r.kinds[k - 1].asked +
				0.02,
			    (double)r.kinds[k].timely / r.kinds[k].asked)
			    << r.kinds.size() << " kind " << k;
		EXPECT_GE(r.kinds[0].ValuePart() + 0.005,
		    std::max(r.kinds[1].ValuePart(), r.kinds[2].ValuePart()));
	}
}

/*
 * Guards against room that goes to less urgent requests of an account over its
 * share while more urgent ones of it wait, so that these fare worse.
 */
TEST(Admit, the_kinds_of_a_flooding_account_fare_by_urgency)
{
	struct {
		const char *name;
		int accounts;
		double used;
		uint32_t owners;
	} cases[] = {
	    {"one of 16", 16, 0.9, 1},
	    {"one of 6, large", 6, 0.75, 1},
	    {"two owners", 6, 0.75, 2},
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		WorldLoad load = Flood(c.accounts, c.used);
		std::vector<WorldCount> own(load.kinds.size()), all = own;

		load.owners = c.owners;
		for (load.seed = 1; load.seed <= 3; load.seed++) {
			WorldResult r = RunWorld(load);

			for (size_t k = 0; k < own.size(); k++) {
				own[k].Add(r.account_kinds[0][k]);
				all[k].Add(r.kinds[k]);
			}
		}
		for (auto *kinds : {&own, &all})
			for (size_t k = 1; k < own.size(); k++) {
				SCOPED_TRACE(k);
				EXPECT_GE((*kinds)[k - 1].TimelyPart(),
				    (*kinds)[k].TimelyPart());
				EXPECT_GE((*kinds)[0].ValuePart(),
				    (*kinds)[k].ValuePart());
			}
	}
}

/* Guards against an account whose share is tiny for what it sends. */
TEST(Admit, an_account_with_a_tiny_share_is_not_starved)
{
	for (double used : {1.2, 1.6}) {
		SCOPED_TRACE(used);
		WorldLoad load = Usual(8, used);

		for (size_t i = 1; i < load.accounts.size(); i++)
			load.accounts[i].quota *= 100;
		WorldResult r = RunWorld(load);

		EXPECT_GE(
		    r.accounts[0].ServedPart(), 0.25 * r.all.ServedPart());
		EXPECT_LE(r.accounts[0].ServedPart(), r.all.ServedPart());
	}
}

/*
 * Guards against shares that hold at each owner but not over both: all of one
 * account's requests arrive at one owner, where the others are charged for part
 * of theirs only. Without reports an owner is fair by its own charges.
 */
TEST(Admit, shares_hold_over_two_owners)
{
	for (bool reports : {true, false}) {
		SCOPED_TRACE(reports);
		WorldLoad load = Usual(4, 1.6);

		load.owners = 2;
		load.reports = reports;
		load.accounts[0].owner = 0;
		WorldResult r = RunWorld(load);
		double own = r.accounts[0].timely + r.accounts[0].late;
		double other = (Others(r).timely + Others(r).late) / 3.0;

		EXPECT_GE(own, (reports ? 0.7 : 0.35) * other);
		EXPECT_GE(
		    r.accounts[0].ServedPart(), 0.25 * r.all.ServedPart());
	}
}

/*
 * Guards against a loss where adapters are cold: requests that all wait for
 * the same load, that are refused for the store though an engine has their
 * adapter, or that stay where there is no room.
 */
TEST(Admit, the_heaviest_day_with_cold_adapters)
{
	WorldCount shares, baseline, others;
	std::vector<WorldCount> kinds(3);

	for (uint64_t seed = 1; seed <= 3; seed++) {
		WorldLoad load = WorldHeaviestDay();

		load.seed = seed;
		WorldResult r = RunWorld(load);
		shares.Add(r.all);
		others.Add(Others(r));
		for (size_t k = 0; k < kinds.size(); k++)
			kinds[k].Add(r.kinds[k]);
		load.baseline = true;
		baseline.Add(RunWorld(load).all);
	}
	EXPECT_GE(shares.ValuePart(), 1.03 * baseline.ValuePart());
	EXPECT_GE(shares.ServedPart(), 1.03 * baseline.ServedPart());
	EXPECT_GE(others.ValuePart(), 0.92);
	for (size_t k = 1; k < kinds.size(); k++)
		EXPECT_GE(kinds[k - 1].TimelyPart(), kinds[k].TimelyPart());
}
