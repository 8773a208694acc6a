#include <gtest/gtest.h>

#include <vector>

#include "place/place_owner.h"

static const double kElsewhereMs = 250;
static const bool kHasTime = true, kNoTime = false;

static uint32_t
choose(const std::vector<place_owner_load> &owners, size_t homes,
    uint32_t refused_by, unsigned seed)
{
	struct rng rng;

	rng_seed(&rng, seed);
	return place_owner_choose(owners.data(), owners.size(), homes,
	    refused_by, kElsewhereMs, &rng);
}

/*
 * Guards against: a request goes to an owner that has no time, no room or much
 * more to do than others, or leaves its home, where its adapter is, for less.
 */
TEST(PlaceSpread, a_request_goes_home_unless_the_home_is_far_above_others)
{
	struct {
		const char *what;
		std::vector<place_owner_load> owners;
		size_t homes;
		uint32_t refused_by, chosen;
	} rows[] = {
	    {"all alike",
		{{1, kHasTime, 100}, {2, kHasTime, 100}, {3, kHasTime, 100}}, 1,
		0, 1},
	    {"a load elsewhere takes longer",
		{{1, kHasTime, 280}, {2, kHasTime, 0}, {3, kHasTime, 0}}, 1, 0,
		1},
	    {"longer than a load, within the mean's factor",
		{{1, kHasTime, 4600}, {2, kHasTime, 4000}, {3, kHasTime, 4000}},
		1, 0, 1},
	    {"far above",
		{{1, kHasTime, 2000}, {2, kHasTime, 100}, {3, kHasTime, 0}}, 1,
		0, 2},
	    {"the next is above, too",
		{{1, kHasTime, 2000}, {2, kHasTime, 2000}, {3, kHasTime, 100},
		    {4, kHasTime, 0}},
		1, 0, 3},
	    {"no time", {{1, kNoTime, 0}, {2, kHasTime, 100}}, 1, 0, 2},
	    {"no room", {{1, kHasTime, 0}, {2, kHasTime, 100}}, 1, 1, 2},
	    {"no room at the next",
		{{1, kNoTime, 0}, {2, kHasTime, 0}, {3, kHasTime, 100}}, 1, 2,
		3},
	    {"all with time are above",
		{{1, kNoTime, 0}, {2, kNoTime, 0}, {3, kHasTime, 9000},
		    {4, kHasTime, 5000}},
		1, 0, 4},
	    {"all with time are above, and the best has no room",
		{{1, kNoTime, 0}, {2, kNoTime, 0}, {3, kHasTime, 9000},
		    {4, kHasTime, 5000}},
		1, 4, 3},
	    {"an unknown load is like the mean",
		{{1, kHasTime, PLACE_LOAD_UNKNOWN}, {2, kHasTime, 4000},
		    {3, kHasTime, 0}},
		1, 0, 1},
	    {"all are unknown",
		{{1, kHasTime, PLACE_LOAD_UNKNOWN},
		    {2, kHasTime, PLACE_LOAD_UNKNOWN}},
		1, 0, 1},
	    {"two homes",
		{{1, kHasTime, 300}, {2, kHasTime, 100}, {3, kHasTime, 0}}, 2,
		0, 2},
	    {"two homes, one has no room",
		{{1, kHasTime, 300}, {2, kHasTime, 100}, {3, kHasTime, 0}}, 2,
		2, 1},
	    {"more homes than owners", {{1, kHasTime, 300}, {2, kHasTime, 100}},
		9, 0, 2},
	    {"nobody has time", {{1, kNoTime, 0}, {2, kNoTime, 0}}, 2, 0, 0},
	    {"the only one has no room", {{1, kHasTime, 0}}, 1, 1, 0},
	    {"no owners", {}, 1, 0, 0},
	};

	for (auto &row : rows)
		for (unsigned seed = 1; seed <= 50; seed++)
			EXPECT_EQ(
			    choose(row.owners, row.homes, row.refused_by, seed),
			    row.chosen)
			    << row.what;
}

/* Guards against: all that hear the same loads choose the same owner. */
TEST(PlaceSpread, homes_alike_are_chosen_alike)
{
	std::vector<place_owner_load> owners = {
	    {1, kHasTime, 500}, {2, kHasTime, 500}, {3, kHasTime, 500}};
	int chosen[4] = {};

	for (unsigned seed = 1; seed <= 3000; seed++)
		chosen[choose(owners, 3, 0, seed)]++;
	for (int i = 1; i <= 3; i++)
		EXPECT_NEAR(chosen[i], 1000, 250) << i;
}
