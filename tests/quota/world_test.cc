#include <gtest/gtest.h>

#include <algorithm>

#include "quota/quota_guard_names.h"
#include "quota/quota_world.h"

class QuotaWorlds : public ::testing::Test {
      protected:
	static void
	SetUpTestSuite()
	{
		(void)guard_off(kGuards);
	}
};

static const double kRounding = 1.0;

static double
worst(const QuotaWorld &w)
{
	return std::max(w.worst_excess(8000), w.worst_excess(1000)) - kRounding;
}

/*
 * Some entries keep all grants until shortly before they expire and then use
 * them at once, while others empty the bucket and owners change.
 */
static double
play_hoarders(unsigned seed)
{
	std::mt19937_64 r(seed);
	QuotaWorld::Options o;
	o.seed = seed;
	o.faults = true;
	o.entries = 1;
	o.hoarders = 3 + (int)(r() % 4);
	o.rate = 50 + r() % 400;
	o.burst = o.rate / 2 + r() % (o.rate / 2);
	o.hoard_period_ms = 2000;
	o.hoard_phase_ms = 450 + r() % 450;
	o.hoards_forecasts = r() % 4 != 0;
	o.double_share = r() % 2 == 0 ? 0.05 : 0.7;
	o.late_share = r() % 2 == 0 ? 0.05 : 0.3;
	o.owner_period_ms = r() % 3 == 0 ? 0 : 2000;
	uint64_t play_ms = 10000;
	o.hoards_ahead = r() % 2 == 0;
	if (o.hoards_ahead) { /* what they hold lasts 5 s */
		o.burst = o.rate + r() % o.rate;
		o.hoard_period_ms = 7000;
		o.hoard_phase_ms = 2000 + r() % 4900;
		o.owner_period_ms = r() % 3 == 0 ? 0 : 7000;
		play_ms = 16000;
	}
	QuotaWorld w(o);
	double per_s = (double)o.rate * 4;
	uint64_t phase = o.hoard_phase_ms, period = o.hoard_period_ms;
	w.load = [=](int, int, uint64_t ms) {
		return ms % period - phase < 100 ? per_s : 0.5;
	};
	w.run_ms(play_ms);
	return worst(w);
}

/* Everything happens to entries, owners, messages and quotas. */
static double
play_trouble(unsigned seed)
{
	std::mt19937_64 r(seed);
	QuotaWorld::Options o;
	o.seed = seed;
	o.faults = o.trouble = true;
	o.entries = 2 + (int)(r() % 4);
	o.hoarders = (int)(r() % 4);
	o.accounts = 1 + (int)(r() % 2);
	o.rate = 50 + r() % 400;
	o.burst = o.rate / 8 + r() % (r() % 2 == 0 ? o.rate : o.rate * 2);
	o.refund_share = r() % 4 == 0 ? 0.1 : 0;
	o.stopped_clock_share = r() % 3 == 0 ? 0.6 : 0;
	o.hoard_period_ms = 300 + r() % 900;
	o.hoards_ahead = r() % 2 == 0;
	o.unit_share = seed % 4 == 0 ? 0.7 : 0;
	if (o.unit_share > 0)
		o.refund_share = 0.1;
	QuotaWorld w(o);
	/* Bursts of load, and pauses in which entries go on to hold. */
	uint64_t period = 200 + r() % 1500;
	double factor = 0.3 + (double)(r() % 80) / 10;
	double per_s = (double)o.rate / 4 * factor / o.entries;
	w.load = [=](int, int, uint64_t ms) {
		return ms / period % 2 == 0 ? per_s : per_s / 20;
	};
	w.size = [](std::mt19937_64 &random) { return 1 + random() % 7; };
	w.run_ms(10000);
	return worst(w);
}

/* One seeded world; returns by how much a window exceeds the quota. */
static double
play(unsigned seed)
{
	return seed % 2 == 0 ? play_trouble(seed) : play_hoarders(seed);
}

/*
 * Guards against use beyond the quota in any window, whatever happens to
 * entries, owners, messages and quotas. QUOTA_SEEDS=FIRST:COUNT for others.
 */
TEST_F(QuotaWorlds, usage_stays_within_the_quota)
{
	const char *text = getenv("QUOTA_SEEDS");
	unsigned first = 1, count = 1000, failed = 0;

	if (text != nullptr) {
		ASSERT_EQ(2, sscanf(text, "%u:%u", &first, &count));
	}
	for (unsigned seed = first; seed < first + count; seed++) {
		double excess = play(seed);
		if (excess > 0 && ++failed <= 10)
			ADD_FAILURE() << "seed " << seed << ": " << excess
				      << " beyond the quota";
	}
	EXPECT_EQ(0u, failed);
}

/* Guards against a checker that misses the absence of a safety rule. */
TEST_F(QuotaWorlds, the_checker_notices_each_missing_guard)
{
	for (auto &guard : kGuards) {
		bool noticed = false;

		/* Their cases are rare: see LedgerTest. */
		if (strcmp(guard.name, "quota.reserve") == 0 ||
		    strcmp(guard.name, "quota.repeat") == 0)
			continue;
		*guard.on = false;
		for (unsigned seed = 1; seed <= 400 && !noticed; seed++)
			noticed = play(seed) > 0;
		*guard.on = true;
		EXPECT_TRUE(noticed) << guard.name;
	}
}
