#ifndef MP_BENCH_CLUSTER_WORLD_H
#define MP_BENCH_CLUSTER_WORLD_H

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/announcer.h"

extern "C" {
#include "node/node_internal.h"
}

/*
 * Many reducers on one virtual clock with perfect links, engines that answer
 * on time and callers at a fixed rate. What one instance spends inside
 * node_step is the thread's CPU time; its state is what malloc gave it.
 */

#define KINDS 32 /* message kinds, by the tag of their Envelope body */

struct Options {
	int instances = 5, voters = 3, regions = 1;
	int endpoints = 0; /* an instance */
	int teams = 4, adapters = 100; /* adapters a team */
	double requests = 0; /* a second and instance */
	double changes = 0; /* a second */
	int seconds = 10, warm = 5;
	uint32_t tokens = 257, token_us = 77000, events = 8;
	bool fail = false;
	bool per_kind = false;
	double hot = 0; /* part of the requests that is the first team's */
	bool full = false; /* endpoints know full announcements only */
};

struct Counts {
	uint64_t in[KINDS] = {}, out[KINDS] = {};
	uint64_t in_bytes[KINDS] = {}, out_bytes[KINDS] = {};
	uint64_t step_ns[KINDS] = {}; /* time in steps by what they took */
	uint64_t steps = 0, ns = 0, http = 0, http_bytes = 0;
	uint64_t announced = 0, announced_bytes = 0;
	int64_t state = 0; /* bytes held, not reset */
};

struct Engine {
	std::string id, address;
	int region = 0;
	std::unordered_map<std::string, int> running; /* loaded: key, runs */
	uint32_t seats = 40, slots = 4, busy = 0;
	Announcer announcer;
};

struct Inst {
	uint32_t id = 0;
	int region = 0;
	struct settings settings = {};
	std::vector<std::string> strings;
	struct node *node = nullptr;
	uint64_t disk = 0;
	bool alive = false;
	Counts c;
};

class World {
      public:
	explicit World(const Options &options);
	~World();
	void run_for(uint64_t us);
	bool run_until(uint64_t us, const std::function<bool()> &holds);
	void at(uint64_t when, std::function<void()> run);
	void put_document(int team);
	void begin_load();
	void kill(int i);
	/* CPU microseconds of one GET at an instance, mean of many. */
	double time_get(int i, const std::string &path);
	int leader() const;
	bool all_act() const;
	void reset_counts();

	Options o;
	uint64_t now = 1000000;
	int cut_region = -1; /* no message leaves or enters it */
	std::vector<std::unique_ptr<Inst>> in;
	std::vector<std::unique_ptr<Engine>> engines;
	std::vector<uint64_t> revisions;
	std::vector<uint64_t> accepted; /* log index of the newest change */
	std::unordered_map<uint64_t, std::function<void(int, std::string)>>
	    waiting; /* requests whose answer is wanted */
	std::function<void(int, const struct node_call &)> on_call;
	std::vector<uint64_t> team_runs;
	uint64_t answered = 0, refused = 0, runs = 0, loads = 0;

      private:
	struct Timed {
		uint64_t at, serial;
		std::function<void()> run;
		bool
		operator<(const Timed &t) const
		{
			return at != t.at ? at > t.at : serial > t.serial;
		}
	};
	void start(int i);
	void tick(int i);
	void step(int i, const struct node_event &ev, int kind);
	void execute(int i, const struct node_effects *fx);
	void do_send(int i, const struct node_send &s);
	void do_call(int i, const struct node_call &c);
	void call_event(int i, uint64_t after, uint64_t call,
	    enum node_call_phase phase, int status, std::string data);
	void run_engine(Engine *e, int i, uint64_t call, std::string id,
	    std::string key, uint32_t max);
	void token_event(Engine *e, int i, uint64_t call, std::string id,
	    std::string key, uint32_t next, uint32_t max);
	int owner_of(const Engine &e, const std::string &region) const;
	void announce(Engine *e);
	void announce_once(Engine *e);
	void request_loop(int i);
	void change_loop(int nth);
	uint64_t request(int i, const std::string &method,
	    const std::string &path, const std::string &token,
	    const std::string &body);

	std::priority_queue<Timed> queue;
	uint64_t serial = 0, next_request = 0, changes = 0;
	std::vector<struct settings_peer> peers;
	std::vector<struct settings_operator> operators;
	std::unordered_map<std::string, Engine *> by_address;
	struct node_effects *fx;
	struct rng rng;
};

/* Bytes that malloc handed out and did not get back, so far. */
extern int64_t held_bytes;

#endif
