#include <gtest/gtest.h>

#include <algorithm>

#include "quota/quota_world.h"

/* Whether accounts get what they may use, without faults. */

static const uint64_t kTokens = 1500; /* of a mean request */
/* Of the measurement, after 10 s to warm up. */
static const uint64_t kFromMs = 1010000;

struct UseCase {
	const char *name;
	std::function<double(int entry, uint64_t ms)> load; /* requests/s */
	double least, most; /* part of the quota that is used; 0: not checked */
	bool refuses;
};

static uint32_t
percentile(std::vector<uint32_t> values, double p)
{
	if (values.empty())
		return 0;
	std::sort(values.begin(), values.end());
	return values[(size_t)((double)(values.size() - 1) * p)];
}

/*
 * Guards against quotas that are left unused because tokens are held where they
 * are not needed, and against refusals and waits within the quota. An entry
 * receives 0.6 requests a second of the account at its usual load, which is
 * 1 / 1.8 of the quota.
 */
TEST(QuotaUse, an_account_gets_its_quota)
{
	const double usual = 0.6, all = 28 * usual;
	const UseCase cases[] = {
	    {"usual load", [=](int, uint64_t) { return usual; }, 0, 0, false},
	    {"flood", [=](int, uint64_t) { return usual * 7.5; }, 0.95, 1.0,
		true},
	    {"one entry",
		[=](int i, uint64_t) { return i == 3 ? all * 2.2 : 0; }, 0.95,
		1.0, true},
	    {"usual load, then one entry",
		[=](int i, uint64_t ms) {
			return ms < kFromMs ? usual : i == 3 ? all * 2.2 : 0;
		},
		1.0, 0, true},
	    {"usual load, then a burst at one entry",
		[=](int i, uint64_t ms) {
			return ms < kFromMs || ms >= kFromMs + 1000 || i != 3
			    ? usual
			    : usual + 45;
		},
		0.6, 0, false},
	    {"moving load",
		[=](int i, uint64_t ms) {
			return (uint64_t)i == ms / 1000 * 11 % 28 ? all * 2.2
								  : 0;
		},
		0.9, 1.0, true},
	};

	for (auto &c : cases) {
		QuotaWorld::Options o;
		o.rate = (uint64_t)(all * 1.8 * kTokens);
		o.burst = o.rate * 2;
		o.usual = kTokens;
		QuotaWorld w(o);
		w.load = [&](int entry, int, uint64_t ms) {
			return c.load(entry, ms);
		};
		w.size = [](std::mt19937_64 &r) {
			return kTokens / 2 + r() % kTokens;
		};
		w.run_ms(10000); /* the burst is used or full by then */
		w.forget_totals();
		w.run_ms(20000);
		double part = (double)w.totals.used / (20.0 * (double)o.rate);
		if (c.least > 0) {
			EXPECT_GE(part, c.least) << c.name;
		}
		if (c.most > 0) {
			EXPECT_LE(part, c.most + 0.01) << c.name;
		}
		if (!c.refuses) {
			EXPECT_EQ(0u, w.totals.refused) << c.name;
			/* One round trip takes 2.8 ms, in steps of 1 ms. */
			EXPECT_LE(percentile(w.totals.waits_us, 0.99), 7800u)
			    << c.name;
		}
		EXPECT_EQ(0u, w.totals.unknown) << c.name;
		EXPECT_LE(w.worst_excess(8000), 1.0) << c.name;
		printf("%s: used %.3f of the quota, %zu waits, p99 %u us, "
		       "%.0f messages/s\n",
		    c.name, part, w.totals.waits_us.size(),
		    percentile(w.totals.waits_us, 0.99),
		    (double)w.totals.messages / 20);
	}
}
