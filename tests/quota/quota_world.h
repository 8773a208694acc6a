#ifndef MP_TESTS_QUOTA_WORLD_H
#define MP_TESTS_QUOTA_WORLD_H

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "quota/quota_ledger.h"
#include "quota/quota_share.h"
}

/*
 * Entries and owners of quotas on one virtual clock of 1 ms steps, with a
 * network that delays messages. With faults, entries die, pause and are cut
 * off, messages are lost, doubled and late, owners change, and quotas are
 * changed, removed, added again and renamed.
 *
 * The checker knows only what was used when, and the quotas: see
 * worst_excess().
 */
class QuotaWorld {
      public:
	struct Options {
		int entries = 28, accounts = 1;
		/* entries that hold as much as they can, as long as they can */
		int hoarders = 0;
		/* they use all of it once a period, after this time */
		bool hoards_forecasts = false; /* they want one token only */
		bool hoards_ahead = false; /* they ask for tokens ahead */
		uint64_t hoard_period_ms = 700, hoard_phase_ms = 0;
		/* of pauses: those that the entry's clock does not count */
		double stopped_clock_share = 0;
		uint64_t rate = 30, burst = 60;
		uint64_t usual = 1; /* tokens of a request, as configured */
		uint64_t one_way_us = 1400;
		bool faults = false; /* of clocks and messages */
		bool trouble = false; /* entries, owners and quotas change */
		double double_share = 0.05, late_share = 0.05; /* messages */
		uint64_t owner_period_ms = 0; /* 0: changes are random */
		double refund_share = 0; /* requests that do not run */
		double unit_share = 0; /* of changes of a quota */
		unsigned seed = 1;
	};
	struct Totals {
		uint64_t offered = 0, used = 0, refused = 0, unknown = 0;
		uint64_t messages = 0;
		std::vector<uint32_t> waits_us, retry_ms;
	};

	explicit QuotaWorld(const Options &options);
	~QuotaWorld();
	QuotaWorld(const QuotaWorld &) = delete;
	QuotaWorld &operator=(const QuotaWorld &) = delete;

	/* Requests a second of an account at an entry; may change with time. */
	std::function<double(int entry, int account, uint64_t ms)> load;
	std::function<uint64_t(std::mt19937_64 &)> size; /* of a request */

	void run_ms(uint64_t ms);
	void forget_totals();
	Totals totals;
	/*
	 * The largest amount by which the use of an account in a window of this
	 * length exceeds rate * window + burst and the stated slack; 0 or less:
	 * none does.
	 */
	double worst_excess(uint64_t window_ms) const;
	/* The owner changes; the former one is cut off, alive. */
	void change_owner();

      private:
	struct Lot {
		uint64_t tokens, end_us;
		bool is_ahead;
	};
	struct Hoard {
		quota_limit limit = {};
		std::vector<Lot> lots;
		quota_ask ask = {};
		uint64_t first_sent_us = 0, sent_us = 0;
	};
	struct Refund {
		uint64_t at_us;
		std::string account;
		int unit;
		uint64_t tokens, process;
	};
	struct Open {
		std::string account;
		int unit;
		uint64_t tokens, since_us;
	};
	struct Entry {
		quota_share *share = nullptr;
		bool is_hoarder = false;
		uint64_t process = 0, last_number = 0;
		/* asks up to this one were sent before its clock stopped */
		uint64_t stopped_number = 0;
		double clock_rate = 1;
		double clock_us = 0;
		uint64_t paused_until_us = 0, cut_until_us = 0;
		bool clock_stops = false;
		uint64_t knows_owner_from_us = 0;
		int owner = 0;
		uint64_t config_due_us = 0;
		std::map<std::string, Hoard> hoards;
		std::map<uint64_t, Open> open; /* waiting, by request */
		std::vector<std::pair<std::string, quota_grant>> late;
		std::vector<Refund> refunds;
	};
	struct Owner {
		quota_ledger *ledger = nullptr;
		double clock_rate = 1, clock_us = 0;
		uint64_t paused_until_us = 0;
		/* by its clock and the true one */
		uint64_t since_us = 0, until_true_us = 0;
		uint64_t authority = 0; /* 0: none */
	};
	struct Message {
		int entry, owner;
		bool is_ask;
		uint64_t process;
		std::string account;
		quota_ask ask;
		quota_grant grant;
	};
	struct Use {
		uint64_t us, tokens;
	};
	/* Tokens that the argument allows beside the quota, in a time span. */
	struct Slack {
		uint64_t from_us, to_us, tokens;
	};
	struct Rates {
		uint64_t from_us;
		double rate, burst;
	};
	struct Account {
		std::string name;
		quota_limit limit;
		bool exists = true;
		uint64_t add_us = 0; /* again */
		bool was_used = false;
	};
	struct Record {
		std::vector<Use> uses;
		std::vector<Slack> slacks;
		std::vector<Rates> rates;
	};

	Options options;
	std::mt19937_64 random;
	uint64_t now_us = 1000000000, last_process = 0, last_request = 0;
	uint64_t last_authority = 1, owner_change_us = 0;
	int names = 0;
	std::vector<Entry> entries;
	std::vector<Owner> owners;
	std::vector<Account> accounts;
	std::multimap<uint64_t, Message> network;
	std::map<std::string, Record> records;
	int owner = 0;

	uint64_t
	below(uint64_t n)
	{
		return random() % n;
	}
	bool
	chance(double p)
	{
		return (double)(random() >> 11) * 0x1.0p-53 < p;
	}
	void start_entry(Entry &e);
	void configure_entry(Entry &e);
	static void apply_limit(Hoard &h, const quota_limit &limit);
	void configure_owner(Owner &o);
	void configure_all();
	void record_rates(const Account &a);
	void send_recalls(const Message &ask);
	void use(const std::string &account, uint64_t tokens);
	void slack(const std::string &account, uint64_t from_us, uint64_t to_us,
	    uint64_t tokens);
	void send(const Message &m);
	void deliver(const Message &m);
	void step();
	void step_entry(size_t i);
	void step_hoarder(size_t i);
	void hoard_ask(size_t i, const std::string &name, Hoard &h);
	void on_grant(
	    Entry &e, const std::string &account, const quota_grant &g);
	void arrive(size_t i, size_t account);
	void admitted(Entry &e, const std::string &account, int unit,
	    uint64_t tokens, uint64_t waited_us);
	/* What is recorded of an account's use by a unit. */
	static std::string
	record_name(const std::string &account, int unit)
	{
		return account + (unit == 0 ? "" : " in tokens");
	}
	/* Units of a request that is one of unit 0. */
	static uint64_t
	units(int unit)
	{
		return unit == 0 ? 1 : 300;
	}
	/* The unit of an account as the entry knows it. */
	static int
	unit_at(const Entry &e, const std::string &account)
	{
		auto h = e.hoards.find(account);
		return h == e.hoards.end() ? 0 : h->second.limit.unit;
	}
	void change_unit(Account &a);
	void take_decisions(Entry &e);
	void trouble();
	void pause(Entry &e);
	void change_quota(Account &a);
};

#endif
