#include <cstdio>
#include <string>
#include <vector>

#include "../tests/place/admit_world.h"

/*
 * Shares under shortage: what accounts and kinds of requests get under the
 * loads of the design note, with the order before there were accounts and with
 * the order by shares. Prints a table for bench/REPORT.md.
 */

struct Case {
	const char *name;
	int accounts;
	double used;
	WorldSurge surge;
	uint32_t clump;
	uint32_t owners;
};

static const Case cases[] = {
    {"usual load", 16, 0.75, {-1, -1, 1, 0, 0}, 1, 1},
    {"one of 16 floods", 16, 0.9, {0, -1, 7.5, 5000, 11500}, 1, 1},
    {"one of 6 floods", 6, 0.75, {0, -1, 7.5, 5000, 11500}, 1, 1},
    {"one of 6 floods, 2 owners", 6, 0.75, {0, -1, 7.5, 5000, 11500}, 1, 2},
    {"burst of 1.7", 16, 0.75, {-1, -1, 1.7, 5000, 11500}, 1, 1},
    {"burst of the urgent kind, 2.5", 16, 0.75, {-1, 0, 2.5, 5000, 11500}, 1,
	1},
    {"groups of 3", 16, 0.85, {-1, -1, 1, 0, 0}, 3, 1},
    {"burst of 1.7 in groups of 3", 16, 0.75, {-1, -1, 1.7, 5000, 11500}, 3, 1},
};

static const uint64_t kSeeds = 5;

struct Row {
	double value = 0, served = 0, flooding = 0, others = 0, kinds[3] = {};
	uint64_t gap = 0, bound = 0;
};

static double
OthersValue(const WorldResult &r)
{
	double asked = 0, value = 0;

	for (size_t i = 1; i < r.accounts.size(); i++) {
		asked += r.accounts[i].asked;
		value += r.accounts[i].value;
	}
	return value / asked;
}

static WorldLoad
MakeLoad(const Case &c)
{
	WorldLoad load;

	load.kinds = WorldKinds();
	load.accounts = WorldAccounts(c.accounts, c.used, load);
	load.surges = {c.surge};
	load.clump = c.clump;
	load.owners = c.owners;
	return load;
}

static Row
Measure(WorldLoad load, bool baseline)
{
	Row row;

	load.baseline = baseline;
	for (load.seed = 1; load.seed <= kSeeds; load.seed++) {
		WorldResult r = RunWorld(load);

		row.value += r.all.ValuePart() / kSeeds;
		row.served += r.all.ServedPart() / kSeeds;
		row.flooding += r.accounts[0].ValuePart() / kSeeds;
		row.others += OthersValue(r) / kSeeds;
		for (size_t k = 0; k < 3; k++)
			row.kinds[k] += r.kinds[k].ValuePart() / kSeeds;
		if (r.gap_milli >= row.gap) {
			row.gap = r.gap_milli;
			row.bound = r.gap_bound_milli;
		}
	}
	return row;
}

static void
Print(const char *name, const WorldLoad &load)
{
	for (bool baseline : {true, false}) {
		Row r = Measure(load, baseline);

		printf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f, "
		       "%.3f, %.3f | %llu (%llu) |\n",
		    name, baseline ? "baseline" : "shares", r.value, r.served,
		    r.flooding, r.others, r.kinds[0], r.kinds[1], r.kinds[2],
		    (unsigned long long)r.gap / 1000,
		    (unsigned long long)r.bound / 1000);
	}
}

int
main()
{
	printf("| load | order | value | served | first account | others | "
	       "urgent, normal, low | largest gap (bound) |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
	for (auto &c : cases)
		Print(c.name, MakeLoad(c));
	Print("seconds 6 to 16 of the heaviest day", WorldHeaviestDay());
	return 0;
}
