#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "member_fixture.h"

/*
 * Guards against: a command of another incarnation, or one without effect,
 * changes the view and the epoch.
 */
TEST(member_view, changes_and_epochs)
{
	struct member_view *v = member_view_create();
	Wire__MemberInfo one = make_info(1, 10), other = make_info(1, 11);
	Wire__MemberInfo moved = make_info(1, 10, "elsewhere"),
			 none = make_info(0, 1);
	struct {
		int type; /* 0: up, 1: down, 2: leave */
		Wire__MemberInfo *info;
		bool changes;
		size_t count;
	} steps[] = {
	    {0, &none, false, 0},
	    {0, &one, true, 1},
	    {0, &one, false, 1},
	    {0, &other, false, 1}, /* its MemberDown must come first */
	    {1, &other, false, 1},
	    {0, &moved, true, 1},
	    {2, &other, false, 1},
	    {2, &one, true, 1},
	    {2, &one, false, 1},
	    {1, &one, true, 0},
	    {1, &one, false, 0},
	    {2, &one, false, 0},
	    {0, &other, true, 1},
	};
	uint64_t index = 100, epoch = 0;

	for (auto &s : steps) {
		bool changed;
		index++;
		if (s.type == 0)
			changed = member_view_apply_up(v, index, s.info);
		else if (s.type == 1)
			changed = member_view_apply_down(
			    v, index, s.info->id, s.info->incarnation);
		else
			changed = member_view_apply_leave(
			    v, index, s.info->id, s.info->incarnation);
		EXPECT_EQ(changed, s.changes) << index;
		epoch = changed ? index : epoch;
		EXPECT_EQ(member_view_epoch(v), epoch) << index;
		EXPECT_EQ(member_view_count(v), s.count) << index;
	}
	member_view_destroy(v);
}

/*
 * Guards against: a command that one member cannot read is proposed because its
 * capabilities are mistaken, or are lost with a snapshot; epochs that differ
 * from those of program versions that do not know capabilities.
 */
TEST(member_view, capabilities_are_those_of_all_members)
{
	struct member_view *v = member_view_create(),
			   *again = member_view_create();
	struct mp_error err = {};
	struct {
		uint32_t id;
		uint64_t incarnation;
		uint32_t capabilities;
		bool changes, all_have_1, all_have_2, all_have_both;
	} steps[] = {
	    {1, 10, 1, true, true, false, false},
	    {2, 20, 3, true, true, false, false},
	    {1, 10, 3, false, true, true, true}, /* no new epoch */
	    {1, 11, 1, false, true, true, true}, /* not the member */
	    {3, 30, 0, true, false, false, false}, /* an earlier version */
	    {3, 30, 2, false, false, true, false},
	};
	uint64_t index = 0;

	EXPECT_FALSE(member_view_all_have(v, 1));
	for (auto &s : steps) {
		Wire__MemberInfo info = make_info(s.id, s.incarnation);

		info.capabilities = s.capabilities;
		index++;
		EXPECT_EQ(member_view_apply_up(v, index, &info), s.changes)
		    << index;
		std::string bytes = save_view(v);
		EXPECT_EQ(member_view_restore(
			      again, bytes.data(), bytes.size(), &err),
		    MP_OK);
		for (auto *view : {v, again}) {
			EXPECT_EQ(member_view_all_have(view, 1), s.all_have_1)
			    << index;
			EXPECT_EQ(member_view_all_have(view, 2), s.all_have_2)
			    << index;
			EXPECT_EQ(
			    member_view_all_have(view, 3), s.all_have_both)
			    << index;
		}
	}
	member_view_apply_down(v, ++index, 3, 30);
	EXPECT_TRUE(member_view_all_have(v, 3));
	member_view_destroy(v);
	member_view_destroy(again);
}

/*
 * Guards against: several changes in one command that begin more than one
 * epoch, that differ from the single ones, that stop at one that is void, or
 * that change something when the command is repeated.
 */
TEST(member_view, many_changes_are_one_epoch)
{
	struct member_view *v = make_view(6), *one = make_view(6);
	struct many_changes c, none;
	struct mp_error err = {};
	size_t n;

	EXPECT_EQ(member_view_required_capabilities(v), 0u);
	c.add(MEMBER_CHANGE_DOWN, 1, 10);
	c.add(MEMBER_CHANGE_DOWN, 2, 21); /* not the member: void */
	c.add(MEMBER_CHANGE_DOWN, 3, 30);
	c.add(MEMBER_CHANGE_DOWN, 3, 30); /* twice */
	c.add(MEMBER_CHANGE_UP, 1, 11); /* in place of the one removed */
	c.add(MEMBER_CHANGE_UP, 2, 22); /* another one is a member: void */
	c.add(MEMBER_CHANGE_UP, 7, 70);
	c.add(MEMBER_CHANGE_LEAVE, 4, 40);
	c.add(MEMBER_CHANGE_LEAVE, 3, 30); /* removed: void */
	EXPECT_TRUE(c.apply(v, 50));
	EXPECT_EQ(member_view_epoch(v), 50u);
	EXPECT_EQ(member_view_required_capabilities(v),
	    (uint32_t)MEMBER_CAN_MANY_CHANGES);
	EXPECT_EQ(member_view_count(v), 6u);
	EXPECT_TRUE(member_view_is_current(v, 1, 11));
	EXPECT_EQ(member_view_find(v, 1)->joined, 50u);
	EXPECT_TRUE(member_view_is_current(v, 2, 20));
	EXPECT_EQ(member_view_find(v, 3), nullptr);
	EXPECT_TRUE(member_view_find(v, 4)->leaving);
	EXPECT_TRUE(member_view_is_current(v, 7, 70));
	/* The supporters before are those of before the whole command. */
	(void)member_view_earlier_supporters(v, &n);
	EXPECT_EQ(n, 6u);

	std::string bytes = save_view(v);
	EXPECT_FALSE(c.apply(v, 51)) << "repeated";
	EXPECT_FALSE(none.apply(v, 52)) << "empty";
	EXPECT_EQ(save_view(v), bytes);
	EXPECT_EQ(
	    member_view_restore(one, bytes.data(), bytes.size(), &err), MP_OK);
	EXPECT_EQ(save_view(one), bytes);
	EXPECT_EQ(member_view_required_capabilities(one),
	    (uint32_t)MEMBER_CAN_MANY_CHANGES);
	member_view_destroy(v);
	member_view_destroy(one);
}

/*
 * Guards against: after the removal of a voter the others, which need to know
 * whether its program can read a command, take it for one of an earlier
 * version, or take one that was never a member for one that can.
 */
TEST(member_view, capabilities_of_removed_voters_are_kept)
{
	struct member_view *v = member_view_create(),
			   *again = member_view_create();
	struct mp_error err = {};
	uint64_t index = 0;

	for (uint32_t id = 1; id <= 40; id++) {
		Wire__MemberInfo info = make_info(id, 10, "r", id % 40);

		info.capabilities = 2;
		member_view_apply_up(v, ++index, &info);
	}
	EXPECT_EQ(member_view_last_capabilities(v, 1), 2u);
	EXPECT_EQ(member_view_last_capabilities(v, 41), 0u);
	for (uint32_t id = 1; id <= 40; id++)
		member_view_apply_down(v, ++index, id, 10);
	std::string bytes = save_view(v);
	EXPECT_EQ(member_view_restore(again, bytes.data(), bytes.size(), &err),
	    MP_OK);
	EXPECT_EQ(save_view(again), bytes);
	for (auto *view : {v, again}) {
		/* The newest 32 that had a data folder, which 40 had not. */
		EXPECT_EQ(member_view_last_capabilities(view, 7), 0u);
		EXPECT_EQ(member_view_last_capabilities(view, 8), 2u);
		EXPECT_EQ(member_view_last_capabilities(view, 39), 2u);
		EXPECT_EQ(member_view_last_capabilities(view, 40), 0u);
	}
	/* Its next process may be of another program. */
	Wire__MemberInfo info = make_info(8, 11);
	member_view_apply_up(v, ++index, &info);
	EXPECT_EQ(member_view_last_capabilities(v, 8), 0u);
	member_view_apply_down(v, ++index, 8, 11);
	EXPECT_EQ(member_view_last_capabilities(v, 8), 0u);
	member_view_destroy(v);
	member_view_destroy(again);
}

/* Guards against: a damaged saved view is restored, or a sound one altered. */
TEST(member_view, save_and_restore)
{
	struct member_view *v = make_view(20), *again = member_view_create();
	struct mp_error err = {};
	size_t n;

	member_view_apply_leave(v, 30, 4, 40);
	member_view_apply_down(v, 31, 7, 70);
	(void)member_view_earlier_supporters(v, &n);
	EXPECT_EQ(n, 20u);
	std::string bytes = save_view(v);
	for (size_t i = 0; i < bytes.size(); i++) {
		std::string bad = bytes;
		bad[i] ^= 4;
		EXPECT_EQ(
		    member_view_restore(again, bad.data(), bad.size(), &err),
		    MP_ERR_CORRUPT);
		EXPECT_EQ(member_view_count(again), 0u);
	}
	EXPECT_EQ(member_view_restore(again, bytes.data(), bytes.size(), &err),
	    MP_OK);
	EXPECT_EQ(save_view(again), bytes);
	EXPECT_EQ(member_view_epoch(again), 31u);
	EXPECT_TRUE(member_view_find(again, 4)->leaving);
	EXPECT_EQ(member_view_find(again, 7), nullptr);
	EXPECT_EQ(member_view_find(again, 8)->joined, 8u);
	member_view_destroy(v);
	member_view_destroy(again);
}

/* Guards against: a leaving member moves endpoints that it does not own. */
TEST(member_view, owners_are_spread_and_few_move)
{
	struct member_view *v = make_view(5);
	std::map<uint32_t, int> share;
	std::vector<uint32_t> before;
	int moved = 0;

	for (int i = 0; i < 5000; i++) {
		std::string key = "endpoint-" + std::to_string(i);
		before.push_back(member_owner_of(v, "r", key.c_str()));
		share[before.back()]++;
	}
	for (uint32_t id = 1; id <= 5; id++)
		EXPECT_NEAR(share[id], 1000, 120) << id;
	member_view_apply_leave(v, 9, 3, 30);
	for (int i = 0; i < 5000; i++) {
		std::string key = "endpoint-" + std::to_string(i);
		uint32_t owner = member_owner_of(v, "r", key.c_str());
		EXPECT_NE(owner, 3u);
		moved += owner != before[i];
	}
	EXPECT_EQ(moved, share[3]);
	EXPECT_NE(member_owner_of(v, "no such region", "e"), 0u);
	member_view_destroy(v);
}

/* Guards against: an owner in another region while its own has members. */
TEST(member_view, owners_come_from_the_region)
{
	struct member_view *v = make_view(3);
	Wire__MemberInfo far = make_info(9, 90, "far");

	member_view_apply_up(v, 10, &far);
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(
		    member_owner_of(v, "far", std::to_string(i).c_str()), 9u);
	member_view_apply_leave(v, 11, 9, 90);
	EXPECT_NE(member_owner_of(v, "far", "x"), 9u);
	EXPECT_NE(member_owner_of(v, "far", "x"), 0u);
	member_view_destroy(v);
	v = member_view_create();
	EXPECT_EQ(member_owner_of(v, "r", "x"), 0u);
	member_view_destroy(v);
}

static double
weight_of(void *ctx, const struct member *m)
{
	return ((const double *)ctx)[m->id];
}

/* Guards against: members are preferred out of proportion to their weights. */
TEST(member_view, rank_follows_weights)
{
	struct member_view *v = make_view(4);
	double weights[] = {0, 1, 3, 0, 4};
	std::map<uint32_t, int> first;
	uint32_t out[4];

	for (int i = 0; i < 8000; i++) {
		std::string key = "adapter-" + std::to_string(i);
		size_t n =
		    member_rank(v, key.c_str(), weight_of, weights, out, 4);
		ASSERT_EQ(n, 3u);
		EXPECT_NE(out[0], out[1]);
		first[out[0]]++;
	}
	EXPECT_NEAR(first[1], 1000, 150);
	EXPECT_NEAR(first[2], 3000, 250);
	EXPECT_NEAR(first[4], 4000, 250);
	EXPECT_EQ(member_rank(v, "k", weight_of, weights, out, 1), 1u);
	member_view_destroy(v);
}
