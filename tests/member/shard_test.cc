#include <gtest/gtest.h>

#include <cstring>
#include <set>
#include <string>
#include <vector>

#include "member_fixture.h"

/* So many members with a data folder (ids from 1), and without (from 101). */
static struct member_view *
fleet_of(uint32_t voters, uint32_t entries)
{
	struct member_view *v = member_view_create();
	uint64_t index = 1;

	for (uint32_t i = 1; i <= voters + entries; i++) {
		Wire__MemberInfo info =
		    info_of(i <= voters ? i : 100 + i - voters, 10);

		info.voter = i <= voters ? 1000 + i : 0;
		EXPECT_TRUE(member_view_apply_up(v, index++, &info));
	}
	return v;
}

TEST(member_shards, as_many_as_the_entries_bear_and_one_in_a_small_cluster)
{
	struct {
		uint32_t voters, entries, shards;
	} rows[] = {
	    {5, 0, 1},
	    {5, 5, 1},
	    {5, 7, 1},
	    {5, 8, 2},
	    {5, 23, 5},
	    {5, 32, 8},
	    {18, 442, 110},
	    {18, 4000, MEMBER_SHARDS_MAX},
	};

	for (auto &row : rows) {
		struct member_view *v = fleet_of(row.voters, row.entries);
		struct member_shards s = *member_view_shards(v);
		std::set<uint32_t> owners;

		EXPECT_EQ(s.count, row.shards) << row.entries;
		for (uint32_t i = 0; i < s.count; i++)
			owners.insert(s.owners[i]);
		EXPECT_EQ(owners.size(), s.count) << "each has its own";
		if (s.count == 1)
			EXPECT_EQ(s.owners[0], 0U) << "the leader";
		else
			EXPECT_GT(*owners.begin(), 100U) << "an entry";
		member_view_destroy(v);
	}
}

/* A restart of all entries one after another moves each shard a few times. */
TEST(member_shards, a_shard_moves_only_when_its_owner_leaves)
{
	struct member_view *v = fleet_of(5, 23);
	struct member_shards before = *member_view_shards(v), after;
	uint64_t index = 1000;
	int moved = 0, owned = 0;

	for (uint32_t id = 101; id <= 123; id++) {
		Wire__MemberInfo info = info_of(id, 11);

		info.voter = 0;
		for (uint32_t i = 0; i < before.count; i++)
			owned += before.owners[i] == id;
		ASSERT_TRUE(member_view_apply_leave(v, index++, id, 10));
		after = *member_view_shards(v);
		for (uint32_t i = 0; i < after.count; i++)
			EXPECT_NE(after.owners[i], id) << "while it stops";
		ASSERT_TRUE(member_view_apply_down(v, index++, id, 10));
		ASSERT_TRUE(member_view_apply_up(v, index++, &info));
		after = *member_view_shards(v);
		ASSERT_EQ(after.count, before.count);
		for (uint32_t i = 0; i < after.count; i++) {
			EXPECT_NE(after.owners[i], id);
			moved += after.owners[i] != before.owners[i];
		}
		before = after;
	}
	EXPECT_EQ(moved, owned);
	member_view_destroy(v);
}

TEST(member_shards, the_count_stays_while_few_members_come_and_go)
{
	struct member_view *v = fleet_of(5, 23);
	struct {
		uint32_t entries, shards; /* so many left */
	} rows[] = {
	    {23, 5}, {20, 5}, {16, 5}, {15, 4}, {8, 3}, {4, 2}, {3, 1}, {0, 1}};
	uint32_t left = 23;
	uint64_t index = 1000;

	for (auto &row : rows) {
		for (; left > row.entries; left--)
			ASSERT_TRUE(
			    member_view_apply_down(v, index++, 100 + left, 10));
		EXPECT_EQ(member_view_shards(v)->count, row.shards)
		    << row.entries;
	}
	member_view_destroy(v);
}

TEST(member_shards, owners_are_saved_with_the_members)
{
	struct member_view *v = fleet_of(5, 23), *again = member_view_create();
	struct mp_error err = {};
	std::string saved;

	ASSERT_TRUE(member_view_apply_leave(
	    v, 1000, member_view_shards(v)->owners[2], 10));
	saved = view_save(v);
	ASSERT_EQ(member_view_restore(again, saved.data(), saved.size(), &err),
	    MP_OK);
	EXPECT_EQ(memcmp(member_view_shards(v), member_view_shards(again),
		      sizeof(struct member_shards)),
	    0);
	member_view_destroy(v);
	member_view_destroy(again);
}

/* Guards against: owners of before are left where one takes a snapshot over. */
TEST(member_shards, a_snapshot_replaces_the_owners_that_were_known)
{
	for (uint32_t entries : {0U, 7U, 12U}) {
		struct member_view *v = fleet_of(5, 23),
				   *w = fleet_of(5, entries);
		struct mp_error err = {};
		std::string saved = view_save(w);

		ASSERT_EQ(
		    member_view_restore(v, saved.data(), saved.size(), &err),
		    MP_OK);
		EXPECT_EQ(memcmp(member_view_shards(v), member_view_shards(w),
			      sizeof(struct member_shards)),
		    0)
		    << entries;
		member_view_destroy(v);
		member_view_destroy(w);
	}
}

TEST(member_shards, keys_have_a_home_by_the_weights)
{
	const int keys = 20000;
	uint32_t weights[] = {10, 30, 0, 20, 40}, order[MEMBER_SHARDS_MAX];
	int first[5] = {}, of[5] = {};
	struct member_shards s = {};

	s.count = 5;
	for (int i = 0; i < keys; i++) {
		std::string key = "k" + std::to_string(i);

		ASSERT_EQ(member_shard_rank(
			      &s, (uint64_t)i * 7919 + 1, weights, order),
		    4U);
		first[order[0]]++;
		of[member_shard_of(&s, key.c_str())]++;
	}
	for (int i = 0; i < 5; i++) {
		EXPECT_NEAR(first[i], keys * weights[i] / 100.0, keys * 0.02);
		EXPECT_NEAR(of[i], keys / 5.0, keys * 0.02);
	}
}
