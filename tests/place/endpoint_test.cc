#include "place_fixture.h"

class PlaceEndpoint : public PlaceTest {};

/* The later process start takes precedence, then the higher sequence. */
TEST_F(PlaceEndpoint, the_newest_announcement_takes_precedence)
{
	static const struct {
		const char *label;
		uint64_t born, sequence;
		bool leaving;
		place_announce_result result;
	} rows[] = {
	    {"first", 10, 5, false, PLACE_ANNOUNCE_CHANGED},
	    {"later", 10, 6, false, PLACE_ANNOUNCE_UNCHANGED},
	    {"duplicate", 10, 6, false, PLACE_ANNOUNCE_STALE},
	    {"delayed", 10, 4, true, PLACE_ANNOUNCE_STALE},
	    {"leaving", 10, 7, true, PLACE_ANNOUNCE_CHANGED},
	    {"new process, sequence restarts", 11, 1, false,
		PLACE_ANNOUNCE_CHANGED},
	    {"of the previous process", 10, 99, false, PLACE_ANNOUNCE_STALE},
	};

	for (auto &row : rows) {
		Engine e = {"e1"};

		e.born = row.born;
		e.sequence = row.sequence;
		e.leaving = row.leaving;
		EXPECT_EQ(Announce(e), row.result) << row.label;
	}
	EXPECT_EQ(place_endpoint_count(p), 1u);
}

/* Of two processes at one address the later one takes precedence. */
TEST_F(PlaceEndpoint, an_address_belongs_to_the_latest_process)
{
	Engine before = {"e1", "10.0.0.9:80"}, after = {"e2", "10.0.0.9:80"};

	before.born = 10;
	after.born = 20;
	EXPECT_EQ(Announce(before), PLACE_ANNOUNCE_CHANGED);
	EXPECT_EQ(Announce(after), PLACE_ANNOUNCE_CHANGED);
	EXPECT_EQ(place_endpoint_count(p), 1u);
	before.sequence = 50; /* a delayed announcement */
	EXPECT_EQ(Announce(before), PLACE_ANNOUNCE_STALE);
	EXPECT_EQ(place_endpoint_count(p), 1u);
}

TEST_F(
    PlaceEndpoint, a_delayed_announcement_does_not_restore_a_departed_process)
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

/*
 * Guards against grants to a leaving process whose own announcements do not say
 * so, because it told another placer.
 */
TEST_F(PlaceEndpoint, a_leaving_process_gets_no_work)
{
	uint64_t ask;

	Apps(2);
	place_set_leaving(p, now, "a1", 1);
	for (int i = 0; i < 6; i++) {
		ask = AskPlain();
		Run();
		ASSERT_NE(DecisionOn(ask), nullptr);
		EXPECT_STREQ(DecisionOn(ask)->endpoint, "a2");
	}
	Apps(2); /* announces itself as ready again */
	ask = AskPlain();
	Run();
	EXPECT_EQ(DecisionOn(ask), nullptr) << "a2 is full, a1 is leaving";
}

TEST_F(PlaceEndpoint, a_silent_endpoint_is_removed)
{
	Engines(2);
	now += 5 * 1200 * MS;
	Announce({"e1"});
	now += 300 * MS;
	Run();
	EXPECT_EQ(place_endpoint_count(p), 1u);
}

TEST_F(PlaceEndpoint, each_change_is_returned_once)
{
	const char *id;
	bool gone;

	Engines(2);
	EXPECT_TRUE(place_pop_change(p, &id, &gone));
	EXPECT_TRUE(place_pop_change(p, &id, &gone));
	EXPECT_FALSE(place_pop_change(p, &id, &gone));
	Announce({"e1"});
	EXPECT_FALSE(place_pop_change(p, &id, &gone)) << "nothing has changed";
	(void)place_endpoint_leave(p, now, "e2");
	ASSERT_TRUE(place_pop_change(p, &id, &gone));
	EXPECT_STREQ(id, "e2");
	EXPECT_TRUE(gone);
}
