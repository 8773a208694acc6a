#include "place_fixture.h"

class PlaceEndpoint : public PlaceTest {};

/* One rule says which announcement counts: start of the process, sequence. */
TEST_F(PlaceEndpoint, of_two_announcements_one_counts)
{
	static const struct {
		const char *what;
		uint64_t born, sequence;
		bool leaving;
		place_announce_result news;
	} rows[] = {
	    {"first", 10, 5, false, PLACE_ANNOUNCE_CHANGED},
	    {"later", 10, 6, false, PLACE_ANNOUNCE_UNCHANGED},
	    {"doubled", 10, 6, false, PLACE_ANNOUNCE_STALE},
	    {"late", 10, 4, true, PLACE_ANNOUNCE_STALE},
	    {"leaves", 10, 7, true, PLACE_ANNOUNCE_CHANGED},
	    {"new process, counts anew", 11, 1, false, PLACE_ANNOUNCE_CHANGED},
	    {"of the process before", 10, 99, false, PLACE_ANNOUNCE_STALE},
	};

	for (auto &row : rows) {
		Engine e = {"e1"};

		e.born = row.born;
		e.sequence = row.sequence;
		e.leaving = row.leaving;
		EXPECT_EQ(Announce(e), row.news) << row.what;
	}
	EXPECT_EQ(place_endpoint_count(p), 1u);
}

/* Of two at one address the one that started last is there. */
TEST_F(PlaceEndpoint, an_address_belongs_to_the_latest_process)
{
	Engine before = {"e1", "10.0.0.9:80"}, after = {"e2", "10.0.0.9:80"};

	before.born = 10;
	after.born = 20;
	EXPECT_EQ(Announce(before), PLACE_ANNOUNCE_CHANGED);
	EXPECT_EQ(Announce(after), PLACE_ANNOUNCE_CHANGED);
	EXPECT_EQ(place_endpoint_count(p), 1u);
	before.sequence = 50; /* was held up on its way */
	EXPECT_EQ(Announce(before), PLACE_ANNOUNCE_STALE);
	EXPECT_EQ(place_endpoint_count(p), 1u);
}

TEST_F(PlaceEndpoint, one_that_left_does_not_come_back_late)
{
	Engine e = {"e1"};

	e.born = 10;
	Announce(e);
	EXPECT_TRUE(place_endpoint_leave(p, now, "e1"));
	EXPECT_FALSE(place_endpoint_leave(p, now, "e1"));
	EXPECT_EQ(Announce(e), PLACE_ANNOUNCE_STALE);
	e.born = 11;
	EXPECT_EQ(Announce(e), PLACE_ANNOUNCE_CHANGED);
}

/* Also one whose leaving was told to another placer gets nothing. */
TEST_F(PlaceEndpoint, a_leaving_process_gets_no_work)
{
	uint64_t ask;

	Apps(2);
	place_set_leaving(p, now, "a1", 1);
	for (int i = 0; i < 6; i++) {
		ask = Call_();
		Run();
		ASSERT_NE(Of(ask), nullptr);
		EXPECT_STREQ(Of(ask)->endpoint, "a2");
	}
	Apps(2); /* announces itself as ready once more */
	ask = Call_();
	Run();
	EXPECT_EQ(Of(ask), nullptr) << "a2 is full, a1 leaves";
}

TEST_F(PlaceEndpoint, a_silent_one_is_forgotten)
{
	Engines(2);
	now += 5 * 1200 * MS;
	Announce({"e1"});
	now += 300 * MS;
	Run();
	EXPECT_EQ(place_endpoint_count(p), 1u);
}

TEST_F(PlaceEndpoint, changes_are_told_once)
{
	const char *id;
	bool gone;

	Engines(2);
	EXPECT_TRUE(place_pop_change(p, &id, &gone));
	EXPECT_TRUE(place_pop_change(p, &id, &gone));
	EXPECT_FALSE(place_pop_change(p, &id, &gone));
	Announce({"e1"});
	EXPECT_FALSE(place_pop_change(p, &id, &gone)) << "nothing is new";
	(void)place_endpoint_leave(p, now, "e2");
	ASSERT_TRUE(place_pop_change(p, &id, &gone));
	EXPECT_STREQ(id, "e2");
	EXPECT_TRUE(gone);
}
