#include <gtest/gtest.h>

#include "guard_off.h"
#include "member/member_freshness.h"
#include "member/member_guard.h"

#define MS 1000ULL /* in microseconds */

/*
 * Guards against a replica that takes itself for up to date although it lacks
 * what the leader has committed.
 */
TEST(Freshness, a_replica_is_confirmed_by_what_the_leader_has_committed)
{
	struct Step {
		const char *what;
		bool is_lease; /* else: the log is applied */
		bool granted;
		uint64_t sent_ms, commit, applied;
		bool is_behind;
		uint64_t confirmed_ms; /* after the step */
	};
	const std::vector<Step> steps = {
	    {"a refusal confirms nothing", true, false, 10, 5, 5, false, 0},
	    {"a grant, all applied", true, true, 20, 5, 5, false, 20},
	    {"a grant, one entry is missing", true, true, 30, 6, 5, true, 20},
	    {"it arrives", false, false, 0, 0, 6, false, 30},
	    {"a late answer to an older renewal", true, true, 25, 9, 6, false,
		30},
	    {"again one is missing", true, true, 40, 7, 6, true, 30},
	    {"before it arrives, the next grant", true, true, 50, 8, 7, true,
		40},
	    {"the last one", false, false, 0, 0, 8, false, 50},
	    {"more than the leader has told", false, false, 0, 0, 9, false, 50},
	    {"it lags by more than an interval", true, true, 60, 10, 9, true,
		50},
	    {"the same", true, true, 70, 11, 9, true, 50},
	    {"what was missing first arrives", true, true, 80, 12, 10, true,
		60},
	    {"the next", false, false, 0, 0, 11, true, 60},
	    {"all", false, false, 0, 0, 12, false, 80},
	};
	struct member_freshness f = {};

	for (auto &s : steps) {
		Wire__LeaseReply reply = WIRE__LEASE_REPLY__INIT;

		reply.granted = s.granted;
		reply.sent_us = s.sent_ms * MS;
		reply.commit = s.commit;
		if (s.is_lease)
			member_freshness_on_lease(&f, s.applied, &reply);
		else
			member_freshness_on_applied(&f, s.applied);
		EXPECT_EQ(
		    member_freshness_is_behind(&f, s.applied), s.is_behind)
		    << s.what;
		EXPECT_EQ(f.confirmed_us, s.confirmed_ms * MS) << s.what;
	}
	EXPECT_TRUE(member_freshness_is_confirmed(&f, 89 * MS, 10 * MS));
	EXPECT_FALSE(member_freshness_is_confirmed(&f, 90 * MS, 10 * MS));
}

TEST(Freshness, a_new_replica_is_not_confirmed)
{
	struct member_freshness f = {};

	EXPECT_FALSE(member_freshness_is_confirmed(&f, 1, 1000 * MS));
	EXPECT_FALSE(member_freshness_is_behind(&f, 0));
}

static const bool switched_off = guard_off({
    {"member.known_commit", &member_guards.known_commit},
    {"member.lease_required", &member_guards.lease_required},
    {"member.leader_by_authority", &member_guards.leader_by_authority},
});
