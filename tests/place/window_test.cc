#include <gtest/gtest.h>

#include "place/place_window.h"

#define MS 1000ULL

/* Send up to asks while the window is open, then answer all after took. */
static uint32_t
exchange(place_window *w, uint64_t now, uint32_t asks, uint64_t took)
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

TEST(PlaceWindow, shrinks_while_answers_are_late_and_grows_again)
{
	struct {
		const char *label;
		int exchanges; /* 150 ms each */
		uint64_t took_us;
		uint32_t min_sent, max_sent; /* sent in the last exchange */
	} rows[] = {
	    {"in time", 10, 5 * MS, 17, 64},
	    {"late", 13, 150 * MS, 3, 3},
	    {"late, open enough to notice the end", 4, 150 * MS, 3, 3},
	    {"in time again", 40, 5 * MS, 20, 64},
	};
	uint64_t now = 1000 * MS;
	uint32_t sent_last = 0;
	place_window w;

	place_window_init(&w);
	for (auto &row : rows) {
		for (int i = 0; i < row.exchanges; i++, now += 150 * MS)
			sent_last = exchange(&w, now, 1000, row.took_us);
		EXPECT_GE(sent_last, row.min_sent) << row.label;
		EXPECT_LE(sent_last, row.max_sent) << row.label;
	}
}

/* A link that becomes slow shrinks it only for a while: load is unchanged. */
TEST(PlaceWindow, a_long_network_path_is_not_a_queue)
{
	uint64_t now = 1000 * MS;
	uint32_t sent_last = 0;
	place_window w;

	place_window_init(&w);
	for (int i = 0; i < 60; i++, now += 150 * MS)
		(void)exchange(&w, now, 2, 5 * MS);
	for (int i = 0; i < 60; i++, now += 150 * MS)
		(void)exchange(&w, now, 2, 205 * MS);
	sent_last = exchange(&w, now, 1000, 205 * MS);
	EXPECT_GE(sent_last, 8u);
	EXPECT_GE(place_window_late_after_us(&w), 205 * MS);
}

TEST(PlaceWindow, late_answers_of_one_queue_shrink_it_once)
{
	place_window w;
	double first;

	place_window_init(&w);
	first = w.size;
	(void)exchange(&w, 1000 * MS, 8, 200 * MS);
	EXPECT_GT(w.size, first / 2);
}

/*
 * A placer that died was not overloaded, so the window must keep its size for
 * the next one.
 */
TEST(PlaceWindow, asks_lost_with_their_placer_do_not_shrink_it)
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

/* The placer's queue is bounded by the unanswered asks of all entries. */
TEST(PlaceWindow, unanswered_asks_never_exceed_it)
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
