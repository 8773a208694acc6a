#include <algorithm>
#include <cstdio>
#include <cstring>
#include <memory>

#include "quota/quota_world.h"

/*
 * Quotas on simulated entries: over-issue, use, messages and waits, beside two
 * simpler designs: an even share for each entry, and a call to the owner for
 * each request. Prints a table for REPORT.md.
 */

static const uint64_t kTokens = 1500; /* of a mean request */
static const double kUsualPerEntry = 0.6; /* requests a second and account */
static const uint64_t kWarmMs = 10000, kMs = 20000;

struct Load {
	const char *name;
	/* requests a second at an entry, of all = those of all entries */
	double (*at)(int entry, uint64_t ms, int entries, double all);
};

static const Load loads[] = {
    {"usual",
	[](int, uint64_t, int entries, double all) { return all / entries; }},
    {"flood",
	[](int, uint64_t, int entries, double all) {
		return 7.5 * all / entries;
	}},
    {"one entry",
	[](int entry, uint64_t, int, double all) {
		return entry == 3 ? 2.2 * all : 0;
	}},
    {"moving",
	[](int entry, uint64_t ms, int entries, double all) {
		return entry == (int)(ms / 1000 * 11 % (uint64_t)entries)
		    ? 2.2 * all
		    : 0;
	}},
};

struct Result {
	double used, refused, messages_per_s, excess_8s, excess_1s;
	double mean_wait_ms, p99_wait_ms;
};

static uint64_t
draw_size(std::mt19937_64 &r)
{
	return kTokens / 2 + r() % kTokens;
}

static double
usual_rate(int entries)
{
	/* An account's load grows with the entries, as in the deployments. */
	return kUsualPerEntry * entries;
}

static Result
run_batched(const Load &load, int entries, int accounts)
{
	QuotaWorld::Options o;
	o.entries = entries;
	o.accounts = accounts;
	o.rate = (uint64_t)(usual_rate(entries) * 1.8 * kTokens);
	o.burst = o.rate * 2;
	o.usual = kTokens;
	QuotaWorld w(o);
	double all = usual_rate(entries);
	w.load = [&](int e, int, uint64_t ms) {
		return load.at(e, ms, entries, all);
	};
	w.size = draw_size;
	w.run_ms(kWarmMs);
	w.forget_totals();
	w.run_ms(kMs);
	auto &t = w.totals;
	std::sort(t.waits_us.begin(), t.waits_us.end());
	double sum = 0;
	for (auto us : t.waits_us)
		sum += us;
	double served = (double)t.waits_us.size();
	return {(double)t.used / (kMs / 1e3 * (double)o.rate * accounts),
	    (double)(t.refused + t.unknown) /
		((double)(t.refused + t.unknown) + served),
	    (double)t.messages / (kMs / 1e3), w.worst_excess(8000),
	    w.worst_excess(1000), sum / served / 1e3,
	    t.waits_us[(size_t)(served * 0.99)] / 1e3};
}

/* A token bucket, as both simpler designs use it. */
struct Bucket {
	double rate, burst, tokens;
	uint64_t at_ms = 0;
	bool
	take(uint64_t ms, uint64_t n)
	{
		tokens =
		    std::min(burst, tokens + rate * (double)(ms - at_ms) / 1e3);
		at_ms = ms;
		if (tokens < (double)n)
			return false;
		tokens -= (double)n;
		return true;
	}
};

/* parts: buckets, of which each entry has its own, or all share one. */
static Result
run_buckets(const Load &load, int entries, int accounts, int parts)
{
	std::mt19937_64 random(1);
	double all = usual_rate(entries), rate = all * 1.8 * kTokens;
	uint64_t used = 0, served = 0, refused = 0;

	for (int a = 0; a < accounts; a++) {
		std::vector<Bucket> buckets((size_t)parts);
		for (auto &b : buckets)
			b = {rate / parts, rate * 2 / parts, 0};
		for (uint64_t ms = 0; ms < kWarmMs + kMs; ms++)
			for (int e = 0; e < entries; e++) {
				double p = load.at(e, ms, entries, all) / 1000;
				for (; p > 0; p -= 1) {
					if ((double)(random() >> 11) *
						0x1.0p-53 >=
					    p)
						continue;
					uint64_t n = draw_size(random);
					bool ok =
					    buckets[(size_t)(e % parts)].take(
						ms, n);
					if (ms < kWarmMs)
						continue;
					used += ok ? n : 0;
					served += ok;
					refused += !ok;
				}
			}
	}
	double round_trip_ms = parts == 1 ? 2.8 : 0;
	double messages =
	    parts == 1 ? 2.0 * (double)(served + refused) / (kMs / 1e3) : 0;
	return {(double)used / (kMs / 1e3 * rate * accounts),
	    (double)refused / (double)(served + refused), messages, 0, 0,
	    round_trip_ms, round_trip_ms};
}

static void
print(const char *design, int entries, const char *load, const Result &r)
{
	printf("| %s | %d | %s | %.3f | %.3f | %.0f | %.1f | %.0f | %.0f | "
	       "%.1f | %.1f |\n",
	    design, entries, load, r.used, r.refused, r.messages_per_s,
	    r.messages_per_s / entries, std::max(0.0, r.excess_8s),
	    std::max(0.0, r.excess_1s), r.mean_wait_ms, r.p99_wait_ms);
	fflush(stdout);
}

int
main(int argc, char **argv)
{
	int accounts = argc > 1 ? atoi(argv[1]) : 16;

	printf("| design | entries | load | quota used | refused | messages/s "
	       "| per entry | over in 8 s | over in 1 s | mean wait ms | p99 "
	       "wait ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | "
	       "--- | --- | --- |\n");
	for (int entries : {28, 74, 460})
		for (auto &load : loads) {
			int n = entries == 460 ? 4 : accounts;
			print("batched grants", entries, load.name,
			    run_batched(load, entries, n));
			print("even shares", entries, load.name,
			    run_buckets(load, entries, n, entries));
			print("a call per request", entries, load.name,
			    run_buckets(load, entries, n, 1));
		}
	return 0;
}
