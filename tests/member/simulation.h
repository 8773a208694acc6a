#ifndef MEMBER_SIMULATION_H
#define MEMBER_SIMULATION_H

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "member_fixture.h"
#include "util/rng.h"

/*
 * A seeded simulation of a cluster over the member code. There is one committed
 * log and one leader after the other. Messages are delayed, lost, duplicated
 * or cut off in one direction, processes freeze and restart, and clocks drift.
 * The properties are checked after every event; the first violation is kept
 * in `violation`, and the run ends.
 */
class simulation {
      public:
	static constexpr int kEndpoints = 6;
	static constexpr uint32_t kPermits = 8, kRate = 5000;

	/* Which processes can read a MemberChanges. */
	enum programs {
		EARLIER, /* none */
		CURRENT, /* all */
		MIXED /* some, and more with each restart */
	};

	simulation(uint64_t seed, int instances, programs programs = EARLIER);
	~simulation();
	void run(uint64_t until_us);

	/* First word of the only property checked; empty: all are. */
	std::string property;
	std::string violation;
	uint64_t events = 0, max_epoch = 0, supported = 0, owner_moves = 0;
	uint64_t many = 0; /* MemberChanges with an effect */
	uint64_t in_force = 0; /* largest ever stated by a leader */

      private:
	/* A log entry. */
	struct entry {
		/* 0: document, 1: up, 2: down, 3: leave, 4: many */
		int type;
		uint32_t id;
		uint64_t incarnation;
		bool can_read_many;
		std::vector<entry> many;
	};
	struct instance {
		uint32_t id;
		uint64_t incarnation;
		bool running = true, leaving = false, can_read_many = false;
		uint64_t frozen_until_us = 0;
		double rate; /* of its clock to the true time */
		uint64_t offset_us;
		uint64_t applied = 0;
		struct member_view *view;
		struct member_holder *holder;
		bool is_leader = false;
		uint64_t authority_until_us = 0; /* by its clock */
		struct member_lessor *lessor;
		/* Endpoints it acts for while may_act() is true. */
		bool owns[kEndpoints] = {};
		/* Epoch in which it became the owner; 0: not the owner. */
		uint64_t gained_epoch[kEndpoints] = {};
		uint32_t loads = 0, waiting = 0; /* of this process */
		uint32_t all_loads = 0; /* also of earlier processes */
		/* Delivered when it is no longer frozen. */
		std::vector<std::function<void(instance &)>> frozen_messages;
	};
	struct event {
		uint64_t at_us, sequence;
		std::function<void()> run;
		bool
		operator<(const event &o) const
		{
			return at_us != o.at_us ? at_us > o.at_us
						: sequence > o.sequence;
		}
	};

	uint64_t clock(const instance &n) const;
	bool chance(int percent);
	uint64_t random_between(uint64_t low, uint64_t high);
	void schedule(uint64_t us, std::function<void()> run);
	void send(
	    instance &from, uint32_t to, std::function<void(instance &)> run);
	void deliver_message(uint32_t to, std::function<void(instance &)> run);
	void tick(uint32_t id);
	void renew(instance &n);
	void ping(instance &n);
	void lead_tick(instance &n);
	void start_load(instance &n);
	void apply(instance &n, uint64_t last_index);
	void update_owners(instance &n, bool restored);
	void update_owns(instance &n);
	void propose(instance &n, entry e);
	void inject_fault();
	void partition_links();
	void restart(instance &n);
	void elect_leader();
	void check();
	bool may_act(const instance &n) const;
	void fail(const std::string &message);

	bool change(instance &n, const entry &e);

	programs programs_;
	struct rng rng;
	uint64_t now_us = 1000000, sequence = 0;
	std::priority_queue<event> queue;
	std::vector<instance> instances;
	std::vector<std::vector<bool>> cut; /* from, to */
	std::vector<entry> log; /* committed; entry i has index i + 1 */
	std::vector<entry> pending; /* proposed, not committed */
	uint32_t leader = 0;
	uint64_t term = 0;
	/* True time at which the leader's authority has certainly ended. */
	uint64_t leader_until_us = 0;
	bool quorum = true; /* the leader's authority is extended */
	bool is_electing = false;
	/* The instance seen acting last for an endpoint, and when. */
	uint32_t last_actor[kEndpoints] = {};
	uint64_t last_acted_us[kEndpoints] = {};
};

#endif
