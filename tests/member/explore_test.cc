#include <gtest/gtest.h>

#include "simulation.h"

static const uint64_t kRunUs = 60000 * kMs;
#ifdef __SANITIZE_ADDRESS__
static const unsigned long kSeeds = 60;
#else
static const unsigned long kSeeds = 300;
#endif

/* Run seeds until a property breaks; the first broken one is returned. */
static std::string
explore(uint64_t first, uint64_t last, const char *watch = "")
{
	uint64_t events = 0, epochs = 0, supported = 0, moves = 0, force = 0;

	for (uint64_t seed = first; seed <= last; seed++) {
		simulation w(seed, 2 + (int)(seed % 4));
		w.watch = watch;
		w.run(kRunUs);
		events += w.events;
		epochs += w.epochs > 0;
		supported += w.supported > 0;
		moves += w.moves;
		force += w.in_force > 10;
		if (!w.broken.empty())
			return "seed " + std::to_string(seed) + ": " + w.broken;
	}
	printf("%llu seeds, %llu events; runs with epochs %llu, support %llu, "
	       "documents in force %llu; endpoints moved %llu times\n",
	    (unsigned long long)(last - first + 1), (unsigned long long)events,
	    (unsigned long long)epochs, (unsigned long long)supported,
	    (unsigned long long)force, (unsigned long long)moves);
	return "";
}

/* MEMBER_SEEDS=FIRST-LAST runs other seeds than those of CI. */
TEST(member_explore, nothing_breaks)
{
	const char *seeds = getenv("MEMBER_SEEDS");
	unsigned long first = 1, last = kSeeds;

	if (seeds != nullptr) {
		ASSERT_EQ(sscanf(seeds, "%lu-%lu", &first, &last), 2);
	}
	EXPECT_EQ(explore(first, last), "");
}

struct guard_case {
	const char *name;
	bool *guard;
	bool *also; /* backs it up: off together */
	const char *watch; /* the property that must be seen broken */
	uint64_t seed; /* tried first */
};

class member_guard_off : public testing::TestWithParam<guard_case> {};

/*
 * Each checker is seen failing when a guard that it watches is off; for
 * lease_margin see member_lease.clocks_that_drift.
 */
TEST_P(member_guard_off, is_noticed)
{
	const guard_case &c = GetParam();

	*c.guard = false;
	if (c.also != nullptr)
		*c.also = false;
	std::string broken = explore(c.seed, c.seed, c.watch);
	if (broken.empty())
		broken = explore(1, 4000, c.watch);
	*c.guard = true;
	if (c.also != nullptr)
		*c.also = true;
	printf("%s off: %s\n", c.name, broken.c_str());
	EXPECT_NE(broken, "");
}

#define GUARD(name, watch, seed)                                               \
	guard_case                                                             \
	{                                                                      \
#name, &member_guards.name, nullptr, watch, seed               \
	}
#define GUARDS(name, also, watch, seed)                                        \
	guard_case                                                             \
	{                                                                      \
#name, &member_guards.name, &member_guards.also, watch, seed   \
	}

INSTANTIATE_TEST_SUITE_P(all, member_guard_off,
    testing::Values(GUARD(lease_from_send, "owners", 521),
	GUARD(lease_required, "in force", 1), GUARD(lease_wait, "owners", 5),
	GUARD(earlier_leases, "owners", 45), GUARD(flight, "owners", 3),
	GUARD(promise, "owners", 31), GUARD(seal, "owners", 42),
	GUARDS(same_epoch, support_required, "owners", 2329),
	GUARD(support_required, "in force", 4),
	GUARD(in_force_leases, "in force", 1),
	GUARD(in_force_support, "in force", 1),
	GUARD(permit_hold, "permits", 1)),
    [](const testing::TestParamInfo<guard_case> &info) {
	    return std::string(info.param.name);
    });
