#include "config_world.h"

/* How many seeded plays; CONFIG_SEEDS=FIRST:COUNT in the environment. */
static void
PlayWorlds(unsigned first, unsigned count)
{
	const char *given = getenv("CONFIG_SEEDS");
	int acknowledged = 0, judged = 0;
	uint64_t worst_us = 0, lag_us = 0, unstable_lag_us = 0;

	if (given != nullptr && sscanf(given, "%u:%u", &first, &count) != 2)
		FAIL() << "CONFIG_SEEDS wants FIRST:COUNT";
	for (unsigned seed = first; seed < first + count; seed++) {
		ConfigWorld world(seed);

		world.play();
		for (auto &v : world.violations)
			ADD_FAILURE() << v;
		acknowledged += world.changes_acknowledged;
		judged += world.probes_judged;
		worst_us = std::max(worst_us, world.worst_acknowledgement_us);
		lag_us = std::max(lag_us, world.worst_lag_us);
		unstable_lag_us =
		    std::max(unstable_lag_us, world.worst_unstable_lag_us);
	}
	printf("%u worlds: %d changes acknowledged, %d answers judged, slowest "
	       "acknowledgement by calm cores %.0f ms, latest in force %.0f ms "
	       "after it (%.0f ms while cores are unstable)\n",
	    count, acknowledged, judged, (double)worst_us / MS,
	    (double)lag_us / MS, (double)unstable_lag_us / MS);
	EXPECT_GT(judged, 0);
	EXPECT_GT(acknowledged, 0);
}

/*
 * Guards against a confirmed change that is not in force in time, an older
 * read, and two contents of one version, under cuts, freezes, restarts, slow
 * disks and lost disks.
 */
TEST(ConfigWorld, confirmed_changes_are_in_force_in_time_under_trouble)
{
	PlayWorlds(1, 40);
}
