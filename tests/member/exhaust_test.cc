#include <gtest/gtest.h>

#include "explorer.h"

#ifdef __SANITIZE_ADDRESS__
static const int kBudget = 1;
#else
static const int kBudget = 2;
#endif

struct world {
	std::vector<int> initial_changes;
	bool restarts = false, many = false;
};

class member_exhaust : public testing::TestWithParam<world> {};

/*
 * Guards against: in some order of events, two instances act for one endpoint
 * or an instance acts below the index in force, while an endpoint passes to
 * another owner or to the next process of its owner. MEMBER_BUDGET sets the
 * number of changes after the initial ones; 3 takes minutes.
 */
TEST_P(member_exhaust, one_handover)
{
	const char *budget = getenv("MEMBER_BUDGET");
	const world &w = GetParam();
	explorer e;

	e.restarts = w.restarts;
	e.many = w.many;
	e.run(budget == nullptr ? kBudget : atoi(budget), w.initial_changes);
	printf(
	    "%zu states, %zu of them at the horizon; %zu changes of members, "
	    "%zu moves, %zu supported\n",
	    e.states, e.ended, e.changes, e.owner_moves, e.supported);
	EXPECT_EQ(e.violation, "");
}

INSTANTIATE_TEST_SUITE_P(given, member_exhaust,
    testing::Values(world{}, world{{REQUEST_LEAVE}},
	world{{REQUEST_LEAVE, LAG_3}}, world{{DROP_RENEWALS_3, LAG_3}},
	world{{DROP_REPLIES_2, LAG_3}},
	world{{DROP_REPLIES_2, DROP_RENEWALS_3, LAG_3}},
	world{{CHANGE_LEADER, LAG_3}}));

INSTANTIATE_TEST_SUITE_P(restarts, member_exhaust,
    testing::Values(world{{RESTART_3}, true, false},
	world{{RESTART_3}, true, true},
	world{{RESTART_3, REQUEST_LEAVE}, true, true},
	world{{RESTART_3, CHANGE_LEADER}, true, true},
	world{{RESTART_3, PARTITION, LAG_3}, true, true},
	world{{RESTART_2, DROP_RENEWALS_3, LAG_3}, true, true},
	world{{DROP_RENEWALS_3, LAG_3, DROP_REPLIES_2}, true, true}));

/*
 * Guards against: checks that do not detect a violation. The exploration must
 * find one with a guard off, except the guards for clock drift and for orders
 * in flight, for which its steps are too coarse.
 */
TEST(member_exhaust_guards, each_guard_off_is_detected)
{
	struct {
		bool *guard;
		const char *violation;
		std::vector<int> initial_changes;
	} cases[] = {
	    {&member_guards.lease_wait, "owners", {REQUEST_LEAVE, LAG_3}},
	    {&member_guards.earlier_leases, "owners", {REQUEST_LEAVE, LAG_3}},
	    {&member_guards.promise, "owners",
		{DROP_RENEWALS_3, LAG_3, DROP_REPLIES_2}},
	    {&member_guards.seal, "owners",
		{DROP_RENEWALS_3, LAG_3, DROP_REPLIES_2}},
	    {&member_guards.lease_from_send, "owners", {REQUEST_LEAVE, LAG_3}},
	    {&member_guards.lease_required, "in force", {LAG_3}},
	    {&member_guards.in_force_leases, "in force", {LAG_3}},
	    {&member_guards.in_force_support, "in force",
		{DROP_RENEWALS_3, LAG_3}},
	    {&member_guards.support_required, "in force",
		{DROP_RENEWALS_3, LAG_3, DROP_REPLIES_2}},
	};

	for (auto &c : cases) {
		explorer e;
		e.property = c.violation;
		*c.guard = false;
		e.run(2, c.initial_changes);
		*c.guard = true;
		printf("%zd: %zu states until %s\n", &c - cases, e.states,
		    e.violation.c_str());
		EXPECT_EQ(e.violation, c.violation) << &c - cases;
	}
}
