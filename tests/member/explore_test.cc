#include <gtest/gtest.h>

#include "simulation.h"

static const uint64_t kRunUs = 60000 * kMs;
#ifdef __SANITIZE_ADDRESS__
static const unsigned long kSeeds = 60;
#else
static const unsigned long kSeeds = 300;
#endif

/* Runs seeds until a property is violated; returns that violation. */
static std::string
explore(uint64_t first, uint64_t last, const char *property = "",
    simulation::programs programs = simulation::EARLIER)
{
	uint64_t events = 0, with_epochs = 0, with_support = 0, owner_moves = 0,
		 with_in_force = 0, many = 0;

	for (uint64_t seed = first; seed <= last; seed++) {
		simulation sim(seed, 2 + (int)(seed % 4), programs);
		sim.property = property;
		sim.run(kRunUs);
		events += sim.events;
		with_epochs += sim.max_epoch > 0;
		with_support += sim.supported > 0;
		owner_moves += sim.owner_moves;
		with_in_force += sim.in_force > 10;
		many += sim.many;
		if (!sim.violation.empty())
			return "seed " + std::to_string(seed) + ": " +
			    sim.violation;
	}
	printf("%llu seeds, %llu events; runs with epochs %llu, support %llu, "
	       "documents in force %llu; endpoints moved %llu times, "
	       "MemberChanges applied %llu times\n",
	    (unsigned long long)(last - first + 1), (unsigned long long)events,
	    (unsigned long long)with_epochs, (unsigned long long)with_support,
	    (unsigned long long)with_in_force, (unsigned long long)owner_moves,
	    (unsigned long long)many);
	return "";
}

class member_explore : public testing::TestWithParam<simulation::programs> {};

/*
 * Guards against: two instances act for one endpoint, an instance acts below
 * the index in force, or more permits are in use than the store has, after
 * lost, late and repeated messages, restarts, freezes and clock drift.
 * MEMBER_SEEDS=FIRST-LAST runs other seeds than those of CI.
 */
TEST_P(member_explore, all_properties_hold)
{
	const char *seeds = getenv("MEMBER_SEEDS");
	unsigned long first = 1, last = kSeeds;

	if (seeds != nullptr) {
		ASSERT_EQ(sscanf(seeds, "%lu-%lu", &first, &last), 2);
	}
	EXPECT_EQ(explore(first, last, "", GetParam()), "");
}

INSTANTIATE_TEST_SUITE_P(programs, member_explore,
    testing::Values(
	simulation::EARLIER, simulation::CURRENT, simulation::MIXED),
    [](const testing::TestParamInfo<simulation::programs> &info) {
	    return std::string(info.param == simulation::EARLIER ? "earlier"
		    : info.param == simulation::CURRENT		 ? "current"
								 : "mixed");
    });

struct guard_case {
	const char *name;
	bool *guard;
	bool *also; /* prevents the same violation: off as well; or NULL */
	const char *property; /* the property that must be violated */
	uint64_t seed; /* tried first */
	simulation::programs programs;
};

class member_guard_off : public testing::TestWithParam<guard_case> {};

/*
 * Guards against: checks that do not detect a violation. With a guard off, the
 * simulation must violate the property that the guard protects; for
 * lease_margin see member_lease.margin_covers_clock_drift.
 */
TEST_P(member_guard_off, is_detected)
{
	const guard_case &c = GetParam();

	*c.guard = false;
	if (c.also != nullptr)
		*c.also = false;
	std::string violation = explore(c.seed, c.seed, c.property, c.programs);
	if (violation.empty())
		violation = explore(1, 4000, c.property, c.programs);
	*c.guard = true;
	if (c.also != nullptr)
		*c.also = true;
	printf("%s off: %s\n", c.name, violation.c_str());
	EXPECT_NE(violation, "");
}

#define GUARD(name, property, seed)                                            \
	guard_case                                                             \
	{                                                                      \
#name, &member_guards.name, nullptr, property, seed,           \
		    simulation::EARLIER                                        \
	}
#define GUARD_MIXED(name, property, seed)                                      \
	guard_case                                                             \
	{                                                                      \
#name, &member_guards.name, nullptr, property, seed,           \
		    simulation::MIXED                                          \
	}
#define GUARDS(name, also, property, seed)                                     \
	guard_case                                                             \
	{                                                                      \
#name, &member_guards.name, &member_guards.also, property,     \
		    seed, simulation::EARLIER                                  \
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
	GUARD(permit_hold, "permits", 1), GUARD(found_ended, "owners", 161),
	GUARD_MIXED(all_can_read, "owners", 1)),
    [](const testing::TestParamInfo<guard_case> &info) {
	    return std::string(info.param.name);
    });
