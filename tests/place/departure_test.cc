#include "place_fixture.h"

/* Processes that deregistered without a known start. */
class PlaceDeparture : public PlaceTest {
      protected:
	static constexpr uint64_t kHeartbeatUs = 1200 * MS;
};

TEST_F(PlaceDeparture, counts_for_processes_started_by_then)
{
	static const struct {
		const char *label;
		uint64_t born, after_ms;
		bool is_leaving;
	} rows[] = {
	    {"earlier", 900, 0, true},
	    {"at that time", 1000, 0, true},
	    {"later: the next process", 1001, 0, false},
	    {"a late announcement", 900, 20000, true},
	    {"kept out by a wrong clock, to the end", 900, 59999, true},
	    {"and no longer", 900, 60000, false},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		Engine e = {"e" + std::to_string(i)};

		e.born = rows[i].born;
		place_set_left_before(p, now, e.id.c_str(), 1000);
		now += rows[i].after_ms * MS;
		Announce(e);
		EXPECT_EQ(place_is_leaving(p, e.id.c_str(), e.born),
		    rows[i].is_leaving)
		    << rows[i].label;
	}
}

TEST_F(PlaceDeparture, the_last_process_of_an_id_is_found)
{
	uint64_t born = 7;
	Engine e = {"e1"};

	EXPECT_FALSE(place_find_process(p, now, "e1", &born));
	EXPECT_EQ(born, 0u) << "none was known";
	e.born = 10;
	Announce(e);
	EXPECT_TRUE(place_find_process(p, now, "e1", &born));
	EXPECT_EQ(born, 10u);
	now += 3 * kHeartbeatUs;
	EXPECT_FALSE(place_find_process(p, now, "e1", &born)) << "silent";
	EXPECT_EQ(born, 10u);
	now += 3 * kHeartbeatUs;
	Run();
	EXPECT_EQ(place_endpoint_count(p), 0u);
	EXPECT_FALSE(place_find_process(p, now, "e1", &born)) << "removed";
	EXPECT_EQ(born, 10u);
	e.born = 11;
	Announce(e);
	EXPECT_TRUE(place_endpoint_leave(p, now, "e1"));
	EXPECT_FALSE(place_find_process(p, now, "e1", &born)) << "departed";
	EXPECT_EQ(born, 11u);
}

/* Of more departures than are remembered the oldest is dropped. */
TEST_F(PlaceDeparture, the_latest_ones_are_remembered)
{
	static constexpr int kMax = 4096;

	for (int i = 0; i <= kMax + 9; i++)
		place_set_left_before(
		    p, now, ("e" + std::to_string(i)).c_str(), 1000);
	for (int i = 0; i <= kMax + 9; i++)
		EXPECT_EQ(place_is_leaving(
			      p, ("e" + std::to_string(i)).c_str(), 1000),
		    i >= 10)
		    << i;
}
