/*
 * The distribution of the log to followers: what is retained for them, and the
 * transfer of the whole state in parts.
 */

#include "node/follow_world.h"

static const size_t kMessageMax = 66 * 1024; /* a part and its envelope */
static const uint64_t kMs = 1000;

/* Guards against retained entries that are bounded in number only. */
TEST(recent, retained_entries_are_bounded_in_number_and_bytes)
{
	struct {
		int memory_mb;
		size_t entry_bytes;
		int count;
		uint64_t kept;
	} cases[] = {
	    {256, 100, 3000, NODE_RECENT_ENTRIES},
	    {256, 370 * 1000, 40, 11}, /* 4 MB */
	    {32, 370 * 1000, 40, 2}, /* 1 MB */
	    {32, 3 * 1000 * 1000, 5, 1}, /* the newest one, always */
	};

	for (auto &t : cases) {
		FollowWorld w(1, 0, t.memory_mb);
		struct node *n = w.node(0);

		for (int i = 1; i <= t.count; i++) {
			w.apply_bytes(0, std::string(t.entry_bytes, 'x'));
			ASSERT_TRUE(n->recent_bytes <= n->recent_bytes_max ||
			    n->recent_first == n->applied);
		}
		EXPECT_EQ(n->applied - n->recent_first + 1, t.kept);
		EXPECT_EQ(n->recent_bytes, t.kept * t.entry_bytes);
		for (uint64_t i = n->recent_first; i <= n->applied; i++) {
			ASSERT_NE(node_recent_get(n, i), nullptr);
			EXPECT_EQ(node_recent_get(n, i)->index, i);
			EXPECT_EQ(node_recent_get(n, i)->len, t.entry_bytes);
		}
		EXPECT_EQ(node_recent_get(n, n->recent_first - 1), nullptr);
	}
}

/*
 * Guards against one push with all that a follower lacks, and against pushes
 * that go on while the follower confirms nothing.
 */
TEST(recent, entries_are_pushed_in_bounded_messages_as_they_are_confirmed)
{
	FollowWorld w(1, 1);
	size_t sent = 0;
	bool confirms = false;

	w.filter = [&](FollowWorld::Sent &s) {
		if (s.is_push())
			sent += s.bytes.size();
		return confirms || !s.is_push();
	};
	for (int i = 0; i < 100; i++)
		w.apply_bytes(0, std::string(20 * 1000, 'x'));
	w.run_for_ms(99);
	EXPECT_GT(sent, 0u);
	EXPECT_LE(sent, 2 * kMessageMax);
	confirms = true;
	EXPECT_TRUE(w.run_until(
	    [&] { return w.node(1)->applied == w.node(0)->applied; }, 5000));
	for (size_t bytes : w.push_bytes)
		EXPECT_LE(bytes, kMessageMax);
}

/*
 * Guards against a large entry that is sent again and again over a slow link
 * while its first copy is on its way.
 */
TEST(recent, a_large_entry_is_sent_once_over_a_slow_link)
{
	FollowWorld w(1, 1);
	size_t copies = 0;

	w.run_for_ms(1000);
	w.filter = [&](FollowWorld::Sent &s) {
		if (s.is_push() && s.bytes.size() > 300 * 1000) {
			copies++;
			s.delay_us += 1200 * kMs; /* 2.5 Mbit/s */
		}
		return true;
	};
	w.apply(0, 1, 370 * 1000);
	EXPECT_TRUE(w.run_until([&] { return w.has_caught_up(1); }, 3000));
	EXPECT_EQ(copies, 1u);
	copies = 0;
	/* A lost one is repaired nevertheless. */
	w.filter = [&](FollowWorld::Sent &s) {
		return !s.is_push() || s.bytes.size() < 300 * 1000 ||
		    copies++ > 0;
	};
	w.apply(0, 2, 370 * 1000);
	EXPECT_TRUE(w.run_until([&] { return w.has_caught_up(1); }, 5000));
}

/* Applies so many large entries that a new follower needs the snapshot. */
static void
fill(FollowWorld &w, int source, int count = 30, uint64_t first = 1)
{
	for (int i = 0; i < count; i++)
		w.apply(source, first + (uint64_t)i, 370 * 1000);
}

struct Fault {
	const char *name;
	std::function<bool(FollowWorld &, FollowWorld::Sent &, int nth)> filter;
	uint64_t packed; /* snapshots packed by the source */
	bool rejected;
};

class FollowSnapshot : public ::testing::TestWithParam<Fault> {};

/*
 * The state arrives whole in spite of lost, repeated, late and damaged parts,
 * in small messages, and nothing of it stays in memory.
 */
TEST_P(FollowSnapshot, arrives_in_parts)
{
	const Fault &t = GetParam();
	FollowWorld w(1, 1);
	int nth = 0;

	fill(w, 0);
	w.filter = [&](FollowWorld::Sent &s) {
		return !s.is_part() || t.filter(w, s, nth++);
	};
	ASSERT_TRUE(w.run_until([&] { return w.has_caught_up(1); }, 15000));
	EXPECT_GE(nth, 6);
	for (size_t bytes : w.push_bytes)
		EXPECT_LE(bytes, kMessageMax);
	EXPECT_EQ(w.node(0)->counters.follow_snapshots, t.packed);
	EXPECT_EQ(w.node(1)->counters.malformed > 0, t.rejected);
	EXPECT_EQ(w.node(1)->snapshot_incoming.bytes.data, nullptr);
	EXPECT_NE(w.node(0)->snapshot_source.bytes.data, nullptr);
	w.run_for_ms(6000);
	EXPECT_EQ(w.node(0)->snapshot_source.bytes.data, nullptr);
}

static bool
flip_byte(FollowWorld::Sent &s)
{
	s.bytes[s.bytes.size() / 2] ^= 1;
	return true;
}

INSTANTIATE_TEST_SUITE_P(Table, FollowSnapshot,
    ::testing::Values(
	Fault{"No",
	    [](FollowWorld &, FollowWorld::Sent &, int) { return true; }, 1,
	    false},
	Fault{"Lost",
	    [](FollowWorld &, FollowWorld::Sent &, int nth) {
		    return nth % 3 != 1;
	    },
	    1, false},
	Fault{"Repeated",
	    [](FollowWorld &w, FollowWorld::Sent &s, int) {
		    for (uint64_t ms : {1, 2, 30})
			    w.deliver_after(ms * kMs, s.from, s.to, s.bytes);
		    return true;
	    },
	    1, false},
	Fault{"Reordered",
	    [](FollowWorld &w, FollowWorld::Sent &s, int nth) {
		    /* the same part comes back after the next ones */
		    w.deliver_after((uint64_t)(nth * 7 % 5 * 20) * kMs, s.from,
			s.to, s.bytes);
		    s.delay_us += (uint64_t)(nth * 5 % 3 * 10) * kMs;
		    return true;
	    },
	    1, false},
	Fault{"Corrupt",
	    [](FollowWorld &, FollowWorld::Sent &s, int nth) {
		    return nth == 3 ? flip_byte(s) : true;
	    },
	    1, true},
	Fault{"Replaced",
	    [](FollowWorld &w, FollowWorld::Sent &, int nth) {
		    if (nth == 3) {
			    node_snapshot_free(w.node(0));
			    fill(w, 0, 20, 100);
		    }
		    return true;
	    },
	    2, false},
	Fault{"OutdatedMeanwhile",
	    /*
	     * The one in progress is completed, though it is too old; a second
	     * one follows.
	     */
	    [](FollowWorld &w, FollowWorld::Sent &, int nth) {
		    if (nth == 3)
			    fill(w, 0, 20, 100);
		    return true;
	    },
	    2, false}),
    [](const ::testing::TestParamInfo<Fault> &info) {
	    return std::string(info.param.name);
    });

/* The source dies in the middle: the follower starts again at another one. */
TEST(follow, a_snapshot_starts_again_when_its_source_dies)
{
	FollowWorld w(2, 1);
	int parts = 0, first = -1;

	for (int i = 0; i < 2; i++)
		w.filter = [](FollowWorld::Sent &) { return false; },
		fill(w, i);
	w.filter = [&](FollowWorld::Sent &s) {
		if (s.is_part() && parts++ == 0)
			first = s.from;
		if (s.is_part() && s.from == first && parts > 3)
			w.dead[first] = true;
		return true;
	};
	ASSERT_TRUE(w.run_until([&] { return w.has_caught_up(2); }, 15000));
	ASSERT_GE(first, 0);
	EXPECT_TRUE(w.dead[first]);
	EXPECT_EQ(w.node(1 - first)->counters.follow_snapshots, 1u);
	EXPECT_EQ(w.node(2)->counters.malformed, 0u);
}

/* Guards against a snapshot that is packed for each follower. */
TEST(follow, one_packed_snapshot_serves_all_followers)
{
	FollowWorld w(1, 12);

	fill(w, 0);
	EXPECT_TRUE(w.run_until(
	    [&] {
		    for (int i = 1; i <= 12; i++)
			    if (!w.has_caught_up(i))
				    return false;
		    return true;
	    },
	    5000));
	EXPECT_EQ(w.node(0)->counters.follow_snapshots, 1u);
	EXPECT_LE(w.node(0)->counters.follow_parts, 12u * 7);
}

/*
 * Guards against a follower on a slow link that never completes a snapshot
 * because changes arrive faster than it is sent.
 */
TEST(follow, a_slow_follower_completes_a_snapshot_while_changes_arrive)
{
	FollowWorld w(1, 1);
	uint64_t version = 1000, applied = 0;

	fill(w, 0);
	w.filter = [&](FollowWorld::Sent &s) {
		s.delay_us += s.bytes.size() * 4; /* 2 Mbit/s */
		return true;
	};
	for (int i = 0; i < 60; i++) {
		w.apply(0, version++, 370 * 1000);
		w.run_for_ms(100);
		if (w.node(1)->applied > applied)
			applied = w.node(1)->applied;
	}
	EXPECT_GT(applied, 0u);
	EXPECT_TRUE(w.run_until([&] { return w.has_caught_up(1); }, 20000));
}

/* Messages of instances with an older version of the program. */
TEST(follow, both_forms_without_parts_are_understood)
{
	FollowWorld w(1, 1);
	size_t largest = 0;

	fill(w, 0);
	/* an older follower's pull does not say that it takes parts */
	w.filter = [&](FollowWorld::Sent &s) {
		if (s.envelope->body_case == WIRE__ENVELOPE__BODY_PULL) {
			s.envelope->pull->parts = 0;
			s.bytes.resize(
			    wire__envelope__get_packed_size(s.envelope));
			wire__envelope__pack(
			    s.envelope, (uint8_t *)s.bytes.data());
		}
		if (s.is_part()) {
			EXPECT_EQ(s.envelope->push->snapshot_total, 0u);
			largest = std::max(largest, s.bytes.size());
		}
		return true;
	};
	EXPECT_TRUE(w.run_until([&] { return w.has_caught_up(1); }, 3000));
	EXPECT_GT(largest, 370 * 1000u);
}

/* Parts with impossible sizes are refused and leave no memory in use. */
TEST(follow, parts_with_invalid_sizes_are_refused)
{
	struct {
		uint64_t offset, total;
		size_t len;
	} cases[] = {{0, 1ULL << 40, 100}, {0, 50, 100}, {90, 100, 20},
	    {UINT64_MAX - 10, 100, 20}, {0, 100, 0}};

	for (auto &t : cases) {
		FollowWorld w(1, 1);
		Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
		Wire__FollowPush push = WIRE__FOLLOW_PUSH__INIT;
		std::string data(t.len, 'x');

		w.run_for_ms(500);
		push.snapshot_index = 50;
		push.snapshot = {data.size(), (uint8_t *)data.data()};
		push.snapshot_offset = t.offset;
		push.snapshot_total = t.total;
		envelope.version = NODE_WIRE_VERSION;
		envelope.incarnation = 1000;
		envelope.body_case = WIRE__ENVELOPE__BODY_PUSH;
		envelope.push = &push;
		std::string bytes(
		    wire__envelope__get_packed_size(&envelope), '\0');
		wire__envelope__pack(&envelope, (uint8_t *)bytes.data());
		w.deliver_after(0, 0, 1, bytes);
		w.run_for_ms(2);
		EXPECT_EQ(w.node(1)->counters.malformed, 1u) << t.offset;
		EXPECT_EQ(w.node(1)->snapshot_incoming.bytes.data, nullptr);
		EXPECT_EQ(w.node(1)->applied, 0u);
	}
}
