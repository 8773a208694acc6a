#ifndef MP_TESTS_RAFT_NET_H
#define MP_TESTS_RAFT_NET_H

#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "raft/raft_internal.h"
}

/* Times of the fixture's voters, in microseconds. */
constexpr uint64_t kHeartbeatUs = 50000;
constexpr uint64_t kElectionMinUs = 200000;
constexpr uint64_t kElectionMaxUs = 400000;
constexpr uint64_t kSecondUs = 1000000;

constexpr uint32_t kGroup = 7;

std::string pack(const Raft__Message &msg);

struct Save {
	node_save effect;
	std::string data;
	uint64_t due;
};

/* What a folder would hold after a crash. */
struct Disk {
	uint64_t term = 0, vote = 0;
	uint64_t snapshot_index = 0, snapshot_term = 0;
	std::string snapshot;
	uint64_t first = 0;
	std::vector<std::string> records;

	/* records: how many of an append's records get there. */
	void apply(const Save &save, size_t records_kept = SIZE_MAX);
};

struct Member {
	uint64_t id = 0;
	raft *r = nullptr;
	Disk disk;
	std::deque<Save> saves;
	uint64_t disk_free_us = 0; /* when the disk is done with its queue */
	uint64_t clock_offset_us = 0;
	double clock_rate = 1; /* of its clock */
	uint64_t applied = 0, hash = 0;
	uint64_t applied_at_compact = 0;
	uint64_t authority_until_us = 0; /* in the fixture's time */
	uint64_t next_tick_us = 0;
	uint64_t led_term = 0;
	bool fail_saves = false;
};

struct NetOptions {
	size_t members = 3;
	double drop_rate = 0, duplicate_rate = 0, spike_rate = 0;
	uint64_t delay_max_us = 5000, spike_max_us = 300000;
	uint64_t save_max_us = 3000;
	bool clock_drift = false;
	size_t batch_bytes = 4096;
	uint64_t compact_every = 0;
	size_t record_messages_max = 0; /* the first so many, for reuse */
};

/* Voters on a seeded network, checked after every step. */
class Net {
      public:
	Net(uint64_t seed, const NetOptions &options);
	~Net();

	/* Run until a time, or until a checker complains. */
	void run_until(uint64_t t);
	void
	run_for(uint64_t us)
	{
		run_until(now + us);
	}
	void step(); /* one event */
	/* Run until one leads with an own entry committed; its place or -1. */
	int run_to_leader(uint64_t limit = 10 * kSecondUs);

	void crash(size_t i); /* unsynced saves are lost, or torn */
	void restart(size_t i);
	void replace_disk(size_t i); /* under a new id, empty */
	bool propose(size_t i, const std::string &command);
	int change(size_t i, raft_change what, uint64_t id);
	int transfer_leadership(size_t i);
	void
	cut_link(size_t from, size_t to)
	{
		cut_links.insert({from, to});
	}
	void isolate(size_t i);
	void
	heal()
	{
		cut_links.clear();
	}
	int leader() const; /* the one of the newest term, or -1 */
	int index_of(uint64_t id) const;
	void receive(size_t i, uint64_t from, const std::string &bytes);
	/* Bring the membership a step towards all current ids as voters. */
	void repair_config();
	bool config_is_complete() const;
	/* Does the config of this one name no lost disk? */
	bool config_is_current(size_t i) const;
	void check_all_equal();

	uint64_t now = kSecondUs;
	std::vector<Member> members;
	std::string violation; /* of the first checker that failed */
	std::set<std::pair<size_t, size_t>> cut_links;
	std::map<uint64_t, std::string> committed; /* packed by index */
	std::map<std::pair<size_t, size_t>, uint64_t> extra_delay_us;
	std::map<uint64_t, uint64_t> leader_of_term;
	std::map<size_t, uint64_t> snapshots_taken;
	std::vector<std::string> recorded_messages;
	uint64_t messages_sent = 0, install_parts = 0;
	NetOptions options;
	rng random;

      private:
	struct Event {
		uint64_t at, seq;
		enum {
			MESSAGE,
			TICK,
			SAVED
		} type;
		size_t to;
		uint64_t to_id, from_id;
		size_t from;
		std::string bytes;
		bool
		operator<(const Event &o) const
		{
			return at != o.at ? at > o.at : seq > o.seq;
		}
	};
	void push(Event e);
	void handle(const Event &e);
	void create(size_t i);
	void take_effects(size_t i, node_effects *fx);
	void take_saves(size_t i, node_effects *fx);
	void take_messages(size_t i);
	void take_committed(size_t i);
	void check_vote(size_t i, const raft_message &msg);
	void check(size_t i);
	void check_leader_log(size_t i);
	void send(size_t from, uint64_t to_id, std::string bytes);
	void fail(const std::string &what);
	uint64_t local_time(size_t i) const;
	uint64_t global_time(size_t i, uint64_t local_us) const;

	std::priority_queue<Event> events;
	uint64_t seq = 0;
	uint32_t next_incarnation = 1;
	std::map<std::pair<uint64_t, uint64_t>, uint64_t> vote_of;
	std::map<uint64_t, uint64_t> commit_term; /* index to newest term */
};

#endif
