#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "place/place_pace.h"

namespace {

const uint64_t MS = 1000;

/* Pace of an endpoint: 2.5 for 15 in 100 of the time, changed every 600 ms. */
class Paces {
      public:
	double
	At(uint64_t us)
	{
		while (ends_us <= us) {
			pace = random() % 100 < 15 ? 2.5 : 1;
			ends_us += 600 * MS;
		}
		return pace;
	}

      private:
	std::mt19937 random{7};
	uint64_t ends_us = 0;
	double pace = 1;
};

} // namespace

/*
 * Guards against a pace that is used long after it changed, and against one
 * that is not used at all: its weight falls with the age of the report.
 */
TEST(PlacePace, an_older_report_tells_the_mean)
{
	static const struct {
		uint64_t age_ms;
		double min, max;
	} rows[] = {{0, 2.49, 2.51}, {10, 2.4, 2.5}, {300, 1.4, 1.7},
	    {500, 1.2, 1.4}, {2000, 0.99, 1.02}};
	const uint64_t told_us = 5000 * MS;
	place_pace s;

	place_pace_init(&s, 18, 4000);
	place_pace_set_told(&s, told_us, 250);
	for (auto &row : rows) {
		double pace = place_pace_at(&s, told_us + row.age_ms * MS);

		EXPECT_GE(pace, row.min) << row.age_ms;
		EXPECT_LE(pace, row.max) << row.age_ms;
	}
	place_pace_set_told(&s, told_us - 100 * MS, 100);
	EXPECT_NEAR(place_pace_at(&s, told_us), 2.5, 0.01)
	    << "an older account that arrives later";
}

/*
 * Engines with 0.7, 1 and 1.7 times the work time whose pace changes. Guards
 * against a lasting speed that follows a slow phase or the age of its reports.
 * With 10 to 500 ms old reports it must be within 15% after 60 prompts.
 */
TEST(PlacePace, the_lasting_speed_is_learned_in_spite_of_changes)
{
	std::mt19937 random(3);

	for (double factor : {0.7, 1.0, 1.7}) {
		Paces paces;
		place_pace s;
		uint64_t now = 0;
		double worst = 0;

		place_pace_init(&s, 18, 4000);
		for (int i = 0; i < 400; i++) {
			double tokens = 500 + random() % 3000;
			double took_ms = tokens / 18 * factor * paces.At(now);

			now += (uint64_t)(took_ms * 1000);
			place_pace_set_told(&s,
			    now - (10 + random() % 490) * MS,
			    (uint32_t)(paces.At(now) * 100));
			place_pace_record(&s, now, tokens, took_ms);
			if (i >= 60)
				worst = std::fmax(worst,
				    std::fabs(place_pace_mean_speed(&s) *
					    factor * 1.225 / 18 -
					1));
			now += 20 * MS;
		}
		EXPECT_LT(worst, 0.3) << factor;
	}
}

/* Without any report, response times alone tell the speed. */
TEST(PlacePace, an_endpoint_that_tells_nothing_is_judged_by_its_times)
{
	place_pace s;
	uint64_t now = 1000 * MS;

	place_pace_init(&s, 1 / 50.0, 5);
	for (int i = 0; i < 40; i++)
		place_pace_record(&s, now += 100 * MS, 1, 85);
	EXPECT_NEAR(1 / place_pace_speed_at(&s, now), 85, 4);
	EXPECT_NEAR(1 / place_pace_mean_speed(&s), 85, 4);
}
