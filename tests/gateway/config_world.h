#ifndef MP_TESTS_GATEWAY_CONFIG_WORLD_H
#define MP_TESTS_GATEWAY_CONFIG_WORLD_H

#include <random>

#include "gateway_sim.h"

/*
 * A cluster under seeded trouble while operators change its configuration,
 * callers use routes that come and go, and readers ask for the configuration.
 * All that is checked is what these three see.
 *
 * Version V of the configuration has the routes /rV/, /r(V-1)/ and /r(V-2)/,
 * all to the service "app", and a timeout. So the status of a request tells
 * which versions may have decided it.
 */
class ConfigWorld {
      public:
	/* The bounds that the users' installations state. */
	static constexpr uint64_t kApplyUs = 2000 * MS; /* in force after it */
	static constexpr uint64_t kCalmUs = 3000 * MS; /* without trouble */
	static constexpr uint64_t kTimeoutUs = 2000 * MS; /* of each route */
	static constexpr uint64_t kAnswerSlackUs = 500 * MS; /* after it */
	static constexpr uint64_t kUnstableUs = 5000 * MS; /* added to kApplyUs
							      while unstable */

	explicit ConfigWorld(unsigned seed);

	/* Plays the trouble, heals all of it and reads back. */
	void play();

	std::vector<std::string> violations;
	int changes_acknowledged = 0, probes_judged = 0;
	uint64_t worst_acknowledgement_us = 0; /* of calm cores */
	/* longest time from an acknowledgement to an answer that misses it */
	uint64_t worst_lag_us = 0, worst_unstable_lag_us = 0;

      private:
	/* One change of the configuration, resent until it is answered. */
	struct Change {
		int version = 0;
		std::string text;
		bool is_valid = true;
		uint64_t sent_us = 0, acked_us = 0;
		uint64_t request = 0; /* under way */
		uint64_t request_due_us = 0;
		bool is_ended = false;
		int status = 0;
	};
	struct Probe {
		int entry, route;
		uint64_t sent_us, generation;
		uint64_t bound_us; /* 0: not judged */
	};
	struct Read {
		uint64_t sent_us;
	};

	unsigned seed;
	std::mt19937_64 random;
	int cores, entries;
	std::unique_ptr<GatewaySim> sim;
	std::vector<Change> changes;
	std::map<uint64_t, Probe> probes;
	std::map<uint64_t, Read> reads;
	uint64_t core_trouble_us = 0; /* last event at the cores */
	uint64_t next_wipe_us = 0; /* no disk is lost before */
	uint64_t majority_lost_us = 0; /* last time without a quorum */
	std::vector<uint64_t> entry_trouble_us; /* by instance */
	std::map<int, std::pair<uint64_t, int>> seen; /* per entry: version */
	std::set<int> slow_cores;
	int next_version = 10;
	uint64_t end_us = 0;

	uint64_t
	below(uint64_t n)
	{
		return random() % n;
	}
	bool
	chance(double p)
	{
		return (double)below(1000000) < p * 1e6;
	}
	bool is_up(int i) const;
	bool is_cut(int a, int b) const;
	bool reaches_majority(int core) const;
	void watch_trouble();
	bool is_reached_by_majority(int entry) const;
	uint64_t bound_for(int entry) const;
	void fail(const std::string &what);

	void start();
	void announce();
	bool may_lose_disk();
	void begin_trouble();
	void
	core_trouble()
	{
		core_trouble_us = sim->now_us;
	}
	void cut(std::set<int> side, std::set<int> other, bool one_way,
	    uint64_t for_us);
	void kill(int i, uint64_t for_us, bool wipe);
	void freeze(int i, uint64_t for_us);
	void make_slow(int i, uint64_t for_us);

	std::string text(int version, const std::string &extra = "") const;
	void begin_change();
	void send_change(size_t index);
	void drive_changes();
	void on_change_answered(Change &c, int status);
	void send_probe(int entry);
	void send_read();
	void on_reply(uint64_t request);
	void note_lag(const Probe &p, int status);
	void judge_probe(const Probe &p, int status);
	void judge_unanswered();
	void judge_read(const Read &r, const Reply &reply);
	void read_back();
	int version_acked_before(uint64_t us) const;
	bool may_have_route(int route, bool has, int from_version) const;
};

#endif
