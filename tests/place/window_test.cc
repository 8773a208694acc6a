#include <gtest/gtest.h>

#include "place/place_window.h"

#define MS 1000ULL

/* Answer all that is out after so long; at most so many asks are sent. */
static uint32_t
turn(place_window *w, uint64_t now, uint32_t asks, uint64_t took)
{
	uint32_t sent = 0;

	while (sent < asks && place_window_is_open(w)) {
		place_window_sent(w);
		sent++;
	}
	for (uint32_t i = 0; i < sent; i++)
		place_window_answered(w, now, took);
	return sent;
}

TEST(PlaceWindow, narrows_while_answers_are_late_and_widens_again)
{
	struct {
		const char *what;
		int turns; /* 150 ms each */
		uint64_t took_us;
		uint32_t least, most; /* let through in the last turn */
	} rows[] = {
	    {"answered in time", 10, 5 * MS, 17, 64},
	    {"answered late", 13, 150 * MS, 3, 3},
	    {"stays open for what tells that it is over", 4, 150 * MS, 3, 3},
	    {"answered in time again", 40, 5 * MS, 20, 64},
	};
	uint64_t now = 1000 * MS;
	uint32_t through = 0;
	place_window w;

	place_window_init(&w);
	for (auto &row : rows) {
		for (int i = 0; i < row.turns; i++, now += 150 * MS)
			through = turn(&w, now, 1000, row.took_us);
		EXPECT_GE(through, row.least) << row.what;
		EXPECT_LE(through, row.most) << row.what;
	}
}

/* A link that turns slow narrows it for a while; the load is no higher. */
TEST(PlaceWindow, a_long_way_is_no_queue)
{
	uint64_t now = 1000 * MS;
	uint32_t through = 0;
	place_window w;

	place_window_init(&w);
	for (int i = 0; i < 60; i++, now += 150 * MS)
		(void)turn(&w, now, 2, 5 * MS);
	for (int i = 0; i < 60; i++, now += 150 * MS)
		(void)turn(&w, now, 2, 205 * MS);
	through = turn(&w, now, 1000, 205 * MS);
	EXPECT_GE(through, 8u);
	EXPECT_GE(place_window_late_after_us(&w), 205 * MS);
}

TEST(PlaceWindow, one_late_queue_narrows_it_once)
{
	place_window w;
	double first;

	place_window_init(&w);
	first = w.size;
	(void)turn(&w, 1000 * MS, 8, 200 * MS);
	EXPECT_GT(w.size, first / 2);
}

/* A placer that died is no busy one: its successor begins with what it had. */
TEST(PlaceWindow, what_is_lost_with_a_placer_does_not_narrow_it)
{
	place_window w;
	double first;

	place_window_init(&w);
	first = w.size;
	for (int i = 0; i < 16; i++)
		place_window_sent(&w);
	EXPECT_FALSE(place_window_is_open(&w));
	for (int i = 0; i < 16; i++)
		place_window_lost(&w);
	EXPECT_EQ(w.size, first);
	EXPECT_EQ(w.in_flight, 0u);
}

/* The placer's queue is bounded by what entries have there. */
TEST(PlaceWindow, what_is_out_never_exceeds_it)
{
	place_window w;
	uint32_t sent = 0;

	place_window_init(&w);
	for (int i = 0; i < 10000 && place_window_is_open(&w); i++, sent++)
		place_window_sent(&w);
	EXPECT_EQ(sent, (uint32_t)w.size);
	EXPECT_FALSE(place_window_is_open(&w));
	place_window_answered(&w, 1000 * MS, 1 * MS);
	EXPECT_TRUE(place_window_is_open(&w));
}
