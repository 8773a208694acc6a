#include <gtest/gtest.h>

#include "guard_off.h"
#include "quarantine/quarantine.h"
#include "quarantine/quarantine_guard.h"
#include "quarantine/quarantine_observer.h"

static const uint64_t kSecond = 1000000, kHour = 3600 * kSecond;

static bool
apply(quarantine *q, uint64_t now_us, uint64_t hash, quarantine_change change)
{
	quarantine_update update = {hash, change, 3, now_us};

	return quarantine_apply(q, now_us, &update);
}

TEST(Quarantine, changes_are_applied_once)
{
	static const struct {
		quarantine_change change;
		bool has_effect, is_active;
		uint32_t strikes; /* 0: the part is not known */
	} rows[] = {
	    {QUARANTINE_EXPIRE, false, false, 0},
	    {QUARANTINE_LIFT, false, false, 0},
	    {QUARANTINE_START, true, true, 1},
	    {QUARANTINE_START, false, true, 1},
	    {QUARANTINE_EXPIRE, true, false, 1},
	    {QUARANTINE_EXPIRE, false, false, 1},
	    {QUARANTINE_START, true, true, 2},
	    {QUARANTINE_LIFT, true, false, 0},
	};
	quarantine *q = quarantine_create();

	for (auto &row : rows) {
		EXPECT_EQ(apply(q, kSecond, 5, row.change), row.has_effect);
		EXPECT_EQ(quarantine_is_active(q, 5), row.is_active);
		EXPECT_EQ(quarantine_active_count(q), row.is_active ? 1U : 0U);
		const quarantine_part *part = quarantine_find(q, 5);

		EXPECT_EQ(part == nullptr ? 0 : part->strikes, row.strikes);
	}
	quarantine_destroy(q);
}

TEST(Quarantine, each_quarantine_of_a_part_lasts_twice_as_long)
{
	quarantine *q = quarantine_create();
	uint64_t now = kSecond, before = 0, hash;

	for (int i = 0; i < 4; i++) {
		uint64_t start = now;

		ASSERT_TRUE(apply(q, now, 5, QUARANTINE_START));
		while (!quarantine_find_expired(q, now, &hash))
			now += kSecond;
		EXPECT_EQ(hash, 5U);
		if (before != 0) {
			EXPECT_EQ(now - start, 2 * before);
		}
		before = now - start;
		ASSERT_TRUE(apply(q, now, 5, QUARANTINE_EXPIRE));
	}
	quarantine_destroy(q);
}

TEST(Quarantine, a_copy_by_its_parts_is_equal_and_bounded)
{
	quarantine *q = quarantine_create(), *copy = quarantine_create();
	size_t count = 0;

	for (uint64_t part = 1; part <= 3000; part++) {
		(void)apply(q, part, part, QUARANTINE_START);
		if (part % 3 == 0)
			(void)apply(q, part, part, QUARANTINE_EXPIRE);
	}
	for (; quarantine_at(q, count) != nullptr; count++)
		quarantine_add(copy, kHour, quarantine_at(q, count));
	EXPECT_LE(count, 1024U);
	EXPECT_EQ(quarantine_active_count(copy), quarantine_active_count(q));
	/* Both forget the same part for a new one. */
	(void)apply(q, kHour, 9999, QUARANTINE_START);
	(void)apply(copy, kHour, 9999, QUARANTINE_START);
	for (uint64_t part = 1; part <= 3000; part++)
		EXPECT_EQ(quarantine_is_active(q, part),
		    quarantine_is_active(copy, part));
	quarantine_clear(copy);
	EXPECT_EQ(quarantine_active_count(copy), 0U);
	quarantine_destroy(q);
	quarantine_destroy(copy);
}

/* ---- the observer of an entry ---- */

TEST(Observer, an_end_is_reported_to_each_leader_some_times)
{
	static const uint64_t parts[] = {1, 2};
	quarantine_observer *o = quarantine_observer_create();
	quarantine_report report;
	uint64_t now = kHour;

	quarantine_observer_add_end(o, now, "i-1", 7, parts, 2);
	quarantine_observer_add_end(o, now, "i-1", 7, parts, 1);
	for (uint64_t leader : {1, 2}) {
		int reports = 0;

		for (int i = 0; i < 100; i++, now += kSecond / 10)
			while (quarantine_observer_next_report(
			    o, now, leader, &report)) {
				EXPECT_EQ(report.is_first,
				    leader == 1 && reports == 0);
				EXPECT_STREQ(report.endpoint, "i-1");
				EXPECT_EQ(report.requests, 2U);
				EXPECT_EQ(report.end.nsuspects, 2U);
				EXPECT_EQ(report.end.at_us, kHour);
				reports++;
			}
		EXPECT_EQ(reports, 3) << "to leader " << leader;
	}
	EXPECT_FALSE(quarantine_observer_next_report(o, 2 * kHour, 3, &report))
	    << "too old for a further leader";
	quarantine_observer_destroy(o);
}

TEST(Observer, another_process_of_an_endpoint_is_another_end)
{
	static const uint64_t part = 1, later = kHour + kSecond;
	quarantine_observer *o = quarantine_observer_create();

	quarantine_observer_add_end(o, kHour, "i-1", 7, &part, 1);
	EXPECT_FALSE(quarantine_observer_is_suspect(o, kHour, part));
	quarantine_observer_add_end(o, kHour + 9, "i-2", 7, &part, 1);
	EXPECT_FALSE(quarantine_observer_is_suspect(o, kHour + 9, part))
	    << "both were reset together";
	quarantine_observer_add_end(o, later, "i-1", 8, &part, 1);
	EXPECT_TRUE(quarantine_observer_is_suspect(o, later, part));
	EXPECT_FALSE(quarantine_observer_is_suspect(o, 2 * kHour, part));
	quarantine_observer_add_served(o, later + 1, &part, 1);
	EXPECT_FALSE(quarantine_observer_is_suspect(o, later + 2, part));
	quarantine_observer_destroy(o);
}

/*
 * Guards against a part that is left out of a report because there are too many
 * others, and against memory that grows with each end: of more parts than an
 * end may have, one that was under an earlier end is reported.
 */
TEST(Observer, a_part_of_earlier_ends_is_reported_among_too_many)
{
	quarantine_observer *o = quarantine_observer_create();
	const uint64_t fatal = 7;
	uint64_t other = 100;

	for (uint64_t process = 1; process <= 20; process++) {
		std::vector<uint64_t> parts;
		quarantine_report report;
		bool has_fatal = false;

		for (unsigned i = 0; i < 2 * QUARANTINE_SUSPECTS_MAX; i++)
			parts.push_back(other++);
		parts.insert(process == 1 ? parts.begin() : parts.end(), fatal);
		quarantine_observer_add_end(o, process * 1000000, "e", process,
		    parts.data(), parts.size());
		while (quarantine_observer_next_report(
		    o, process * 1000000, 1, &report))
			if (report.born_ms == process) {
				EXPECT_EQ(report.end.nsuspects,
				    QUARANTINE_SUSPECTS_MAX);
				for (size_t i = 0; i < report.end.nsuspects;
				     i++)
					has_fatal |=
					    report.end.suspects[i].hash ==
					    fatal;
			}
		EXPECT_TRUE(has_fatal) << process;
	}
	EXPECT_TRUE(quarantine_observer_is_suspect(o, 20000000, fatal));
	/* One under an end that was dropped for newer ones is forgotten. */
	EXPECT_FALSE(quarantine_observer_is_suspect(o, 20000000, 100));
	quarantine_observer_destroy(o);
}

TEST(Observer, the_last_answers_are_remembered_within_a_bound)
{
	quarantine_observer *o = quarantine_observer_create();

	for (uint64_t part = 1; part <= 100000; part++)
		quarantine_observer_add_served(o, part, &part, 1);
	EXPECT_EQ(quarantine_observer_served_us(o, 100000), 100000U);
	EXPECT_EQ(quarantine_observer_served_us(o, 97000), 97000U);
	EXPECT_EQ(quarantine_observer_served_us(o, 1), 0U);
	quarantine_observer_destroy(o);
}
