#include <gtest/gtest.h>

#include "world.h"

static const uint64_t kRunUs = 60000 * kMs;

/* Run seeds until a property breaks; the first broken one is returned. */
static std::string
explore(uint64_t first, uint64_t last)
{
	uint64_t events = 0, epochs = 0, supported = 0, moves = 0, force = 0;

	for (uint64_t seed = first; seed <= last; seed++) {
		world w(seed, 3 + (int)(seed % 3));
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
	unsigned long first = 1, last = 300;

	if (seeds != nullptr) {
		ASSERT_EQ(sscanf(seeds, "%lu-%lu", &first, &last), 2);
	}
	EXPECT_EQ(explore(first, last), "");
}

struct guard_case {
	const char *name;
	bool *guard;
	const char *expect;
};

class member_guard_off : public testing::TestWithParam<guard_case> {};

/* Each checker is seen failing when a guard that it watches is off. */
TEST_P(member_guard_off, is_noticed)
{
	const guard_case &c = GetParam();

	*c.guard = false;
	std::string broken = explore(1, 2000);
	*c.guard = true;
	printf("%s off: %s\n", c.name, broken.c_str());
	EXPECT_NE(broken.find(c.expect), std::string::npos) << broken;
}

#define GUARD(name, expect)                                                    \
	guard_case                                                             \
	{                                                                      \
#name, &member_guards.name, expect                             \
	}

INSTANTIATE_TEST_SUITE_P(all, member_guard_off,
    testing::Values(GUARD(lease_from_send, ""), GUARD(lease_margin, ""),
	GUARD(lease_required, ""), GUARD(lease_wait, "owners"),
	GUARD(earlier_leases, ""), GUARD(flight, "owners"), GUARD(promise, ""),
	GUARD(seal, ""), GUARD(same_epoch, ""),
	GUARD(support_required, "in force"), GUARD(in_force_leases, "in force"),
	GUARD(in_force_support, "in force"), GUARD(permit_hold, "permits")),
    [](const testing::TestParamInfo<guard_case> &info) {
	    return std::string(info.param.name);
    });
