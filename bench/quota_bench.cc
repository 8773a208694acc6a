#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <memory>

#include "quota/quota_world.h"

extern "C" {
#include "gate/gate_account.h"
#include "gate/gate_update.h"
#include "util/mem.h"
}

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

/* ---- cost of many accounts ---------------------------------------------- */

static const int kRuns = 200000, kAskingEntries = 28;

static double
now_ns()
{
	return (double)std::chrono::duration_cast<std::chrono::nanoseconds>(
	    std::chrono::steady_clock::now().time_since_epoch())
	    .count();
}

static double
heap_bytes()
{
	return (double)mallinfo2().uordblks;
}

/* Mean time of a run, in nanoseconds. */
template <class F>
static double
time_ns(int runs, const F &run)
{
	double begin_ns = now_ns();

	for (int i = 0; i < runs; i++)
		run(i);
	return (now_ns() - begin_ns) / runs;
}

static gw_config *
make_config(int accounts)
{
	auto **list = (gw_account **)mem_alloc(
	    (size_t)accounts + 1, sizeof(gw_account *));
	const uint8_t secret[GW_KEY_SECRET_BYTES] = {1};
	gw_config *config = gw_config_create();

	for (int i = 0; i < accounts; i++) {
		auto *a = (gw_account *)mem_alloc(1, sizeof(gw_account));
		std::string name = "account-" + std::to_string(i);
		std::string key = "key-of-account-" + std::to_string(i);

		a->name = mem_string(name.c_str());
		a->plain_keys = (char **)mem_alloc(1, sizeof(char *));
		a->plain_keys[0] = mem_string(key.c_str());
		a->nkeys = 1;
		list[i] = a;
	}
	gw_config_set_elements(
	    config, GW_ELEMENT_ACCOUNT, (void **)list, (size_t)accounts);
	gw_config_hash_keys(config, secret);
	return config;
}

/* Requests at one entry and their owner, with the messages between them. */
struct Pair {
	quota_share *share = quota_share_create();
	quota_ledger *ledger = quota_ledger_create();
	std::vector<std::string> names;
	uint64_t now_us = 10000000, last_request = 0;

	explicit Pair(int accounts)
	{
		for (int i = 0; i < accounts; i++)
			names.push_back("account-" + std::to_string(i));
	}
	~Pair()
	{
		quota_share_destroy(share);
		quota_ledger_destroy(ledger);
	}
	void
	set_entry()
	{
		quota_limit limit = {0, 45000, 90000, kTokens};

		for (auto &name : names)
			quota_share_set(share, name.c_str(), &limit);
		quota_share_sweep(share);
	}
	void
	set_owner()
	{
		quota_limit limit = {0, 45000, 90000, kTokens};

		for (auto &name : names)
			quota_ledger_set(ledger, now_us, name.c_str(), &limit);
		quota_ledger_sweep(ledger);
	}
	bool
	ask(const char *account, uint64_t process, const quota_ask &ask,
	    quota_grant *grant)
	{
		(void)quota_ledger_begin(ledger, account, 1, 1000000);
		return quota_ledger_ask(
		    ledger, now_us, account, {process, 0}, &ask, grant);
	}
	/* Decides on all that waits, and asks for what is due. */
	void
	run()
	{
		const char *name;
		quota_decision d;
		quota_grant grant;
		quota_ask a;

		for (;;) {
			while (quota_share_next_decision(share, now_us, &d)) {
			}
			if (!quota_share_next_ask(share, now_us, &name, &a))
				return;
			if (ask(name, 1, a, &grant))
				quota_share_on_grant(
				    share, now_us, name, &grant);
		}
	}
	/* One request, from its arrival to its admission. */
	void
	request(size_t account)
	{
		(void)quota_share_acquire(share, now_us, names[account].c_str(),
		    ++last_request, kTokens);
		run();
	}
	void
	tick()
	{
		const char *name;
		quota_decision d;
		quota_account_state s;
		quota_ask a;

		(void)quota_share_next_decision(share, now_us, &d);
		(void)quota_share_next_ask(share, now_us, &name, &a);
		(void)quota_share_next_us(share);
		(void)quota_ledger_next_change(ledger, now_us, &s);
	}
};

static void
print_cost(int accounts)
{
	gw_config *config = make_config(accounts);
	double before = heap_bytes(), entry, owner, asking, find_ns, index_ns;
	std::vector<std::string> keys;
	Pair p(accounts);
	gw_key_hash hash;

	before = heap_bytes();
	p.set_entry();
	entry = (heap_bytes() - before) / accounts;
	before = heap_bytes();
	p.set_owner();
	owner = (heap_bytes() - before) / accounts;
	for (int i = 0; i < accounts; i++)
		keys.push_back("key-of-account-" +
		    std::to_string((long)i * 7919 % accounts));
	find_ns = time_ns(kRuns, [&](int i) {
		(void)gw_config_find_account_by_key(
		    config, keys[(size_t)(i % accounts)].c_str(), &hash);
	});
	index_ns = time_ns(10, [&](int) { gw_config_index_accounts(config); });
	double set_ns = time_ns(10, [&](int) {
		p.set_entry();
		p.set_owner();
	});
	double tick_ns = time_ns(kRuns, [&](int) { p.tick(); });
	double request_ns = time_ns(kRuns, [&](int i) {
		p.now_us += 1000;
		p.request((size_t)((long)i * 7919 % accounts));
	});
	p.now_us += 20000000;
	for (int i = 0; i < 100; i++) { /* all that is due */
		p.now_us += 400000;
		p.run();
	}
	double idle_ns = time_ns(kRuns, [&](int) { p.tick(); });
	before = heap_bytes();
	for (auto &name : p.names)
		for (int e = 0; e < kAskingEntries; e++) {
			quota_ask a = {0, 1, 1, 1, 0, 0, 0, 0};
			quota_grant grant;
			(void)p.ask(name.c_str(), 100 + (uint64_t)e, a, &grant);
		}
	asking = (heap_bytes() - before) / accounts / kAskingEntries;
	printf("| %d | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f | "
	       "%.2f |\n",
	    accounts, entry, owner, asking, find_ns, request_ns, tick_ns,
	    idle_ns, set_ns / 1e6, index_ns / 1e6);
	gw_config_destroy(config);
}

static int
print_costs()
{
	printf(
	    "| accounts | entry: bytes an account | owner: bytes an account | "
	    "owner: bytes for each entry that asks | look-up of a key, ns | "
	    "request, charged and granted, ns | tick, no requests yet, ns | "
	    "tick, 40 s after the last request, ns | accounts changed: "
	    "quotas, ms | the same: index of keys, ms |\n| --- | --- | --- "
	    "| --- | --- | --- | --- | --- | --- | --- |\n");
	for (int accounts : {16, 1000, 10000})
		print_cost(accounts);
	return 0;
}

int
main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], "--cost") == 0)
		return print_costs();
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
