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
 * A seeded run of instances over the member code: one committed log, leaders
 * one after the other, messages that are late, lost, doubled or cut one way,
 * processes that freeze and restart, clocks that drift. After every event
 * the properties are checked; the first one broken is kept in `broken`.
 */
class simulation {
      public:
	static constexpr int kEndpoints = 6;
	static constexpr uint32_t kPermits = 8, kRate = 5000;

	simulation(uint64_t seed, int nodes);
	~simulation();
	void run(uint64_t until_us);

	std::string watch; /* first word of the property; empty: all */
	std::string broken;
	uint64_t events = 0, epochs = 0, supported = 0, moves = 0;
	uint64_t in_force = 0; /* largest ever claimed */

      private:
	struct entry {
		int what; /* 0 document, 1 up, 2 down, 3 leave */
		uint32_t id;
		uint64_t incarnation;
	};
	struct node {
		uint32_t id;
		uint64_t incarnation;
		bool up = true, leaving = false;
		uint64_t frozen_until = 0;
		double rate;
		uint64_t offset;
		uint64_t applied = 0;
		struct member_view *view;
		struct member_holder *holder;
		bool leads = false;
		uint64_t authority = 0; /* by its clock */
		struct member_lessor *keeper;
		bool owns[kEndpoints] = {}; /* may act if may_act */
		uint64_t gained[kEndpoints] = {}; /* epoch; 0: not owner */
		uint32_t loads = 0, waiting = 0; /* loads of this process */
		uint32_t all_loads = 0; /* also of earlier ones */
		std::vector<std::function<void(node &)>> inbox; /* frozen */
	};
	struct event {
		uint64_t at, order;
		std::function<void()> run;
		bool
		operator<(const event &o) const
		{
			return at != o.at ? at > o.at : order > o.order;
		}
	};

	uint64_t clock(const node &n) const;
	bool chance(int percent);
	uint64_t between(uint64_t low, uint64_t high);
	void after(uint64_t us, std::function<void()> run);
	void send(node &from, uint32_t to, std::function<void(node &)> run);
	void deliver(uint32_t to, std::function<void(node &)> run);
	void tick(uint32_t id);
	void renew(node &n);
	void ping(node &n);
	void lead(node &n);
	void load(node &n);
	void apply(node &n, uint64_t upto);
	void update_owners(node &n, bool jumped);
	void take_active(node &n);
	void propose(node &n, entry e);
	void fault();
	void cut_links();
	void restart(node &n);
	void elect();
	void check();
	bool acts(const node &n) const;
	void fail(const std::string &what);

	struct rng rng;
	uint64_t now = 1000000, order = 0;
	std::priority_queue<event> queue;
	std::vector<node> nodes;
	std::vector<std::vector<bool>> cut; /* from, to */
	std::vector<entry> log; /* committed; index = place + 1 */
	std::vector<entry> pending; /* proposed, not committed */
	uint32_t leader = 0;
	uint64_t term = 0;
	uint64_t leader_until = 0; /* its authority surely over, true time */
	bool quorum = true; /* the leader's authority is prolonged */
	bool electing = false;
	/* Who acted last for an endpoint, and until when as seen. */
	uint32_t actor[kEndpoints] = {};
	uint64_t acted[kEndpoints] = {};
};

#endif
