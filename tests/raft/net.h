#ifndef MP_TESTS_RAFT_NET_H
#define MP_TESTS_RAFT_NET_H

/*
 * Simulated network of raft members with clocks and disks, driven by a seeded
 * event queue. Checkers run after every event and record the first violation
 * of a safety rule.
 */

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

/* raft_options of all members. */
constexpr uint64_t kHeartbeatUs = 50000;
constexpr uint64_t kElectionMinUs = 200000;
constexpr uint64_t kElectionMaxUs = 400000;
constexpr uint64_t kSecondUs = 1000000;

constexpr uint32_t kGroup = 7;

std::string pack(const Raft__Message &msg);

/* A write that the disk has not completed. */
struct Save {
	node_save effect;
	std::string data;
	uint64_t due_us; /* in network time */
};

/* Synced contents of a data folder: what is left after a crash. */
struct Disk {
	uint64_t term = 0, vote = 0;
	uint64_t snapshot_index = 0, snapshot_term = 0;
	std::string snapshot;
	uint64_t first = 0;
	std::vector<std::string> records;

	/* nrecords: how many records of an append reach the disk. */
	void apply(const Save &save, size_t nrecords = SIZE_MAX);
};

/* A voter with its clock and disk; its times are network time. */
struct Member {
	uint64_t id = 0;
	raft *r = nullptr; /* nullptr while crashed */
	Disk disk;
	std::deque<Save> saves; /* not synced yet, oldest first */
	uint64_t disk_free_us = 0; /* when the disk has done its queue */
	uint64_t clock_offset_us = 0; /* of its clock from network time */
	double clock_rate = 1; /* of its clock, 1 for network time */
	uint64_t applied = 0; /* highest index applied */
	uint64_t hash = 0; /* chained over the applied entries */
	uint64_t applied_at_compact = 0;
	uint64_t authority_until_us = 0; /* end of its leader lease */
	uint64_t next_tick_us = 0; /* 0: no tick scheduled */
	uint64_t led_term = 0; /* newest term it led */
	bool fail_saves = false;
};

struct NetOptions {
	size_t members = 3;
	/* Share of messages lost, duplicated or delayed by a spike, 0 to 1. */
	double drop_rate = 0, duplicate_rate = 0, spike_rate = 0;
	uint64_t delay_max_us = 5000, spike_max_us = 300000;
	uint64_t save_max_us = 3000; /* limit of the time for one save */
	bool clock_drift = false; /* clocks run up to 2 percent fast or slow */
	size_t batch_bytes = 4096;
	size_t bulk_bytes = 0;
	/* Time that each byte of a bulk message takes, beside its delay. */
	uint64_t bulk_byte_us = 0;
	uint64_t compact_every = 0; /* entries between compactions, 0: none */
	size_t record_messages_max = 0; /* for recorded_messages */
};

/*
 * Members on a seeded network. Members are named by their index in members;
 * times are microseconds of network time.
 */
class Net {
      public:
	Net(uint64_t seed, const NetOptions &options);
	~Net();

	/* Run until a time, or until a checker reports a violation. */
	void run_until(uint64_t t);
	void
	run_for(uint64_t us)
	{
		run_until(now + us);
	}
	void step(); /* process one event */
	/*
	 * Run until a leader has authority.
	 *
	 * limit: at most for this time, in microseconds.
	 * Returns the index of the leader, or -1.
	 */
	int run_to_leader(uint64_t limit = 10 * kSecondUs);

	void crash(size_t i); /* loses or tears unsynced saves */
	void restart(size_t i); /* no effect unless crashed */
	void replace_disk(size_t i); /* restart with an empty disk, new id */
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
	int leader() const; /* index of the leader of the newest term, or -1 */
	int index_of(uint64_t id) const; /* or -1 */
	/* Deliver a message from a voter id directly. */
	void receive(size_t i, uint64_t from, const std::string &bytes);
	/* Propose one change towards exactly the current ids as voters. */
	void repair_config();
	/*
	 * The leader has authority, all members run with a committed config,
	 * and the leader's config has exactly them as voters.
	 */
	bool config_is_complete() const;
	/* No voter in the config of a member has lost its disk. */
	bool config_is_current(size_t i) const;
	/* Report a violation unless all members have applied the same log. */
	void check_all_equal();

	uint64_t now = kSecondUs;
	std::vector<Member> members;
	std::string violation; /* the first one reported, empty for none */
	std::set<std::pair<size_t, size_t>> cut_links; /* from, to */
	std::map<uint64_t, std::string> committed; /* by index: term, type,
						      data */
	std::map<std::pair<size_t, size_t>, uint64_t> extra_delay_us;
	/* When a link has carried its bulk messages, by from and to. */
	std::map<std::pair<size_t, size_t>, uint64_t> bulk_free_us;
	std::map<uint64_t, uint64_t> leader_of_term;
	std::map<size_t, uint64_t> snapshots_taken; /* count by member */
	std::vector<std::string> recorded_messages; /* the first ones sent */
	uint64_t messages_sent = 0, install_parts = 0;
	uint64_t bytes_sent = 0;
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
	/* Candidate granted a vote, by voter id and term. */
	std::map<std::pair<uint64_t, uint64_t>, uint64_t> vote_of;
	/* By index: the lowest current term of a member that applied it. */
	std::map<uint64_t, uint64_t> commit_term;
};

#endif
