#include <gtest/gtest.h>

#include <vector>

#include "place/place_owner.h"

static const double kElsewhereMs = 250;
static const bool kAvailable = true, kUnavailable = false;

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
 * Guards against a choice of an owner that is unavailable, has refused the
 * request or has a much higher load than others; and against leaving the home,
 * where the adapter is loaded, for a small difference.
 */
TEST(PlaceOwner, a_request_goes_to_its_home_unless_that_is_overloaded)
{
	struct {
		const char *label;
		std::vector<place_owner_load> owners;
		size_t homes;
		uint32_t refused_by, chosen;
	} rows[] = {
	    {"equal loads",
		{{1, kAvailable, 100}, {2, kAvailable, 100},
		    {3, kAvailable, 100}},
		1, 0, 1},
	    {"loading the adapter elsewhere takes longer",
		{{1, kAvailable, 280}, {2, kAvailable, 0}, {3, kAvailable, 0}},
		1, 0, 1},
	    {"longer than a load, within the factor of the mean",
		{{1, kAvailable, 4600}, {2, kAvailable, 4000},
		    {3, kAvailable, 4000}},
		1, 0, 1},
	    {"far above the mean",
		{{1, kAvailable, 2000}, {2, kAvailable, 100},
		    {3, kAvailable, 0}},
		1, 0, 2},
	    {"the next one is far above, too",
		{{1, kAvailable, 2000}, {2, kAvailable, 2000},
		    {3, kAvailable, 100}, {4, kAvailable, 0}},
		1, 0, 3},
	    {"unavailable", {{1, kUnavailable, 0}, {2, kAvailable, 100}}, 1, 0,
		2},
	    {"has refused", {{1, kAvailable, 0}, {2, kAvailable, 100}}, 1, 1,
		2},
	    {"home unavailable, the next has refused",
		{{1, kUnavailable, 0}, {2, kAvailable, 0},
		    {3, kAvailable, 100}},
		1, 2, 3},
	    {"all available ones are far above",
		{{1, kUnavailable, 0}, {2, kUnavailable, 0},
		    {3, kAvailable, 9000}, {4, kAvailable, 5000}},
		1, 0, 4},
	    {"all available ones are far above, the best has refused",
		{{1, kUnavailable, 0}, {2, kUnavailable, 0},
		    {3, kAvailable, 9000}, {4, kAvailable, 5000}},
		1, 4, 3},
	    {"an unknown load counts as the mean",
		{{1, kAvailable, PLACE_LOAD_UNKNOWN}, {2, kAvailable, 4000},
		    {3, kAvailable, 0}},
		1, 0, 1},
	    {"all loads are unknown",
		{{1, kAvailable, PLACE_LOAD_UNKNOWN},
		    {2, kAvailable, PLACE_LOAD_UNKNOWN}},
		1, 0, 1},
	    {"two homes",
		{{1, kAvailable, 300}, {2, kAvailable, 100},
		    {3, kAvailable, 0}},
		2, 0, 2},
	    {"two homes, one has refused",
		{{1, kAvailable, 300}, {2, kAvailable, 100},
		    {3, kAvailable, 0}},
		2, 2, 1},
	    {"more homes than owners",
		{{1, kAvailable, 300}, {2, kAvailable, 100}}, 9, 0, 2},
	    {"none is available", {{1, kUnavailable, 0}, {2, kUnavailable, 0}},
		2, 0, 0},
	    {"the only one has refused", {{1, kAvailable, 0}}, 1, 1, 0},
	    {"no owners", {}, 1, 0, 0},
	};

	for (auto &row : rows)
		for (unsigned seed = 1; seed <= 50; seed++)
			EXPECT_EQ(
			    choose(row.owners, row.homes, row.refused_by, seed),
			    row.chosen)
			    << row.label;
}

/* Guards against all entries choosing the same owner from the same loads. */
TEST(PlaceOwner, homes_with_equal_loads_are_chosen_equally_often)
{
	std::vector<place_owner_load> owners = {
	    {1, kAvailable, 500}, {2, kAvailable, 500}, {3, kAvailable, 500}};
	int chosen[4] = {};

	for (unsigned seed = 1; seed <= 3000; seed++)
		chosen[choose(owners, 3, 0, seed)]++;
	for (int i = 1; i <= 3; i++)
		EXPECT_NEAR(chosen[i], 1000, 250) << i;
}
