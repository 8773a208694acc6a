#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "place/place_store.h"

namespace {

const uint64_t MS = 1000;

/*
 * A store that serves some loads at full speed and more in proportion slower,
 * and owners of engines that always want more loads than they may begin. A
 * request arrives at the engine when its load is expected to be done; if it is
 * refused, it comes again after some time.
 */
class StoreWorld {
      public:
	struct Row {
		int store_max;
		double load_ms;
		uint32_t configured_ms;
		std::vector<int> engines; /* of each owner */
		int setting; /* loads of all engines together */
	};
	double used_ms = 0, over_ms = 0, most = 0; /* after the first seconds */
	double late = 0, ended = 0;

	explicit StoreWorld(const Row &row) : row(row)
	{
		int all = 0;

		for (int n : row.engines)
			all += n;
		for (int n : row.engines) {
			Owner o;

			place_store_init(&o.store, row.configured_ms);
			o.bounds.min =
			    std::max(1.0, row.setting * (double)n / all);
			o.bounds.first = std::max(
			    (n * 4 + 4) / 9, (int)std::ceil(o.bounds.min));
			o.bounds.max = n * 4;
			owners.push_back(o);
		}
	}

	void
	Run(uint64_t end_ms, uint64_t measure_from_ms)
	{
		for (uint64_t ms = 1; ms <= end_ms; ms++) {
			now += MS;
			int active = 0;

			for (auto &o : owners) {
				Begin(o);
				active += Active(o);
			}
			double speed =
			    std::min(1.0, row.store_max / (double)active);

			for (auto &o : owners)
				Advance(o, speed, ms >= measure_from_ms);
			if (ms < measure_from_ms)
				continue;
			used_ms += std::min(active, row.store_max);
			most = std::max(most, (double)active);
			over_ms += active > row.store_max * 1.15;
		}
		used_ms /= (double)(end_ms - measure_from_ms) * row.store_max;
	}

      private:
	struct Load {
		place_load load;
		double left_ms;
		uint64_t request_us; /* when the next request on it arrives */
	};
	struct Owner {
		place_store store;
		place_store_bounds bounds;
		std::vector<Load> loads;
		uint64_t next_us = 0;
	};
	Row row;
	std::vector<Owner> owners;
	uint64_t now = 1000000;
	std::mt19937 random{1};

	static int
	Active(const Owner &o)
	{
		return (int)std::count_if(o.loads.begin(), o.loads.end(),
		    [](const Load &l) { return l.left_ms > 0; });
	}

	static uint32_t
	Counted(const Owner &o)
	{
		return (uint32_t)std::count_if(o.loads.begin(), o.loads.end(),
		    [](const Load &l) { return l.request_us != UINT64_MAX; });
	}

	/* At first, loads begin one after another, not all at once. */
	void
	Begin(Owner &o)
	{
		for (;;) {
			uint32_t counted = Counted(o);

			if (counted >= place_store_limit(&o.store, o.bounds) ||
			    now < o.next_us)
				return;
			Load l;

			o.next_us =
			    now + random() % ((now < 2000 * MS ? 60 : 4) * MS);
			l.left_ms = row.load_ms;
			place_store_begin(
			    &o.store, &l.load, now, counted + 1, o.bounds);
			l.request_us = now +
			    (uint64_t)(place_store_load_ms(&o.store, now) *
				1000) +
			    3 * MS;
			o.loads.push_back(l);
		}
	}

	void
	Advance(Owner &o, double speed, bool is_measured)
	{
		for (auto &l : o.loads) {
			l.left_ms -= speed;
			if (now < l.request_us)
				continue;
			if (l.left_ms > 0) {
				if (is_measured && l.load.missing_us == 0)
					late++;
				place_store_record_missing(
				    &o.store, &l.load, now);
				l.request_us = now + 30 * MS;
				continue;
			}
			place_store_record_ready(&o.store, &l.load, now,
			    now - 3 * MS, Counted(o) - 1, o.bounds);
			ended += is_measured;
			l.request_us = UINT64_MAX;
		}
		o.loads.erase(std::remove_if(o.loads.begin(), o.loads.end(),
				  [](const Load &l) {
					  return l.request_us == UINT64_MAX;
				  }),
		    o.loads.end());
	}
};

std::vector<int>
divided(int engines, int owners)
{
	std::vector<int> out;

	for (int i = 0; i < owners; i++)
		out.push_back(engines / owners + (i < engines % owners));
	return out;
}

} // namespace

/*
 * Loads that are always wanted, at stores of two sizes. Guards against a limit
 * that leaves much of the store unused or exceeds it by more than 15%, after
 * 6 s, with one owner of all engines or with many that see only their own
 * loads, and where a load takes longer than configured.
 */
TEST(PlaceStore, the_limit_of_the_store_is_found_and_kept)
{
	const StoreWorld::Row rows[] = {
	    {24, 250, 250, divided(60, 1), 8},
	    {24, 250, 250, divided(60, 7), 8},
	    {104, 288, 288, divided(140, 1), 8},
	    {104, 288, 288, divided(140, 18), 8},
	    {104, 288, 250, divided(140, 1), 8},
	    {104, 288, 250, divided(140, 18), 8},
	};

	for (auto &row : rows) {
		StoreWorld w(row);

		w.Run(20000, 6000);
		EXPECT_LE(w.over_ms, 0)
		    << row.store_max << " " << row.engines.size() << " most "
		    << w.most;
		EXPECT_GE(w.used_ms, 0.8)
		    << row.store_max << " " << row.engines.size();
		EXPECT_LE(w.late / w.ended, 0.16)
		    << row.store_max << " " << row.engines.size();
	}
}

/* An owner of few engines keeps the setting's share, whatever it sees. */
TEST(PlaceStore, the_limit_stays_within_its_bounds)
{
	const place_store_bounds bounds = {4, 2, 32};
	place_store s;
	uint64_t now = 1000000;

	place_store_init(&s, 250);
	EXPECT_EQ(place_store_limit(&s, bounds), 4u);
	for (int i = 0; i < 50; i++) {
		place_load l;

		place_store_begin(&s, &l, now, 4, bounds);
		place_store_record_missing(&s, &l, now + 250 * MS);
		now += 400 * MS;
		place_store_record_ready(
		    &s, &l, now, now - (uint64_t)(i % 2) * 90 * MS, 3, bounds);
	}
	EXPECT_GE(place_store_limit(&s, bounds), 2u);
	for (int i = 0; i < 2000; i++) {
		place_load l;

		place_store_begin(&s, &l, now, 32, bounds);
		now += 250 * MS;
		place_store_record_ready(&s, &l, now, now, 31, bounds);
	}
	EXPECT_EQ(place_store_limit(&s, bounds), 32u);
}

/*
 * Estimates rise while loads are late and fall afterwards. Guards against late
 * loads of one moment that together double the estimate of the next ones.
 */
TEST(PlaceStore, estimates_follow_late_loads_for_a_while)
{
	const place_store_bounds bounds = {20, 8, 80};
	place_load loads[20];
	place_store s;
	uint64_t now = 1000000;

	place_store_init(&s, 250);
	for (auto &l : loads)
		place_store_begin(&s, &l, now, 20, bounds);
	now += 250 * MS;
	for (auto &l : loads)
		place_store_record_missing(&s, &l, now);
	EXPECT_NEAR(place_store_load_ms(&s, now), 275, 1);
	EXPECT_LT(place_store_load_ms(&s, now + 4000 * MS), 253);
}
