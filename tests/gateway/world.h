#ifndef MP_TESTS_GATEWAY_WORLD_H
#define MP_TESTS_GATEWAY_WORLD_H

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster.h"
#include "platform/platform.h"

#define MS 1000ULL

struct Reply {
	int status = 0;
	std::string body;
	bool whole = false;
};

/* One instance of the gateway: a core with a disk, or an entry. */
struct Machine {
	std::string ip;
	bool core = false, alive = false, frozen = false, exited = false;
	Disk disk;
	std::string text;
	struct settings *settings = nullptr;
	struct node *node = nullptr;
	uint64_t life = 0;
	std::map<std::string, int> logs; /* events by name */
	/* events that wait for its processor, when that is counted */
	std::deque<std::function<void()>> queue;
	bool draining = false;
	uint64_t busy_until = 0, used_us = 0;
};

/*
 * Several reducers with a gateway, found by seeds, on one virtual clock. The
 * test plays endpoints, operators and callers through the users' wire.
 */
class World {
      public:
	uint64_t now = 1000000000;
	std::vector<std::unique_ptr<Machine>> machines;
	std::set<std::pair<int, int>> cuts; /* from, to */
	int late = -1; /* messages from it come later, */
	uint64_t late_us = 0; /* by so long */
	std::map<uint64_t, Reply> replies;
	struct Sent {
		int machine;
		uint64_t call;
		std::string address, method, path, body;
		std::map<std::string, std::string> headers;
	};
	std::vector<Sent> sent; /* calls to endpoints, in order */
	std::set<uint64_t> cancelled;
	std::vector<std::string> seeds;
	bool first_start = true;
	/* time that an event takes; 0: none, its processor is not counted */
	uint64_t core_event_us = 0, entry_event_us = 0;
	std::function<void(const Sent &)> on_call; /* a call to an endpoint */
	bool break_silent = false; /* calls end when they are silent for long */
	std::function<void(uint64_t request)> on_reply;

	World(int cores, int entries);
	~World();

	int add(bool core); /* a machine that is not started */
	void start(int i);
	void kill(int i);
	void wipe(int i); /* its disk comes back empty */
	void stop(int i); /* a graceful one */
	void freeze(int i, bool frozen);
	void cut(int i, bool cut); /* from all others */

	void run(uint64_t ms);
	bool until(const std::function<bool()> &ready, uint64_t ms = 10000);

	uint64_t request(int i, node_listener listener, const char *method,
	    const std::string &path, const std::string &body = "",
	    std::vector<std::pair<std::string, std::string>> headers = {});
	uint64_t
	next_request() const
	{
		return last_request + 1;
	}
	/* Ask and wait for the answer. */
	Reply ask(int i, node_listener listener, const char *method,
	    const std::string &path, const std::string &body = "",
	    uint64_t ms = 4000);
	Reply announce(int i, const std::string &id,
	    const std::string &state = "ready", uint64_t sequence = 0,
	    uint64_t born = 1);
	void answer(const Sent &call, int status, const std::string &body);
	/* A part of an answer, with its head before the first. */
	void answer_part(const Sent &call, bool first, const std::string &body);

	int leader() const; /* -1: none places */
	bool ready();
	void at(uint64_t when, std::function<void()> run);
	/* Run an event on a machine once its processor is free. */
	void feed(int i, std::function<void()> run);

      private:
	struct Timer {
		std::function<void()> run;
	};
	std::multimap<uint64_t, std::function<void()>> timers;
	struct node_effects *fx = node_effects_create();
	uint64_t last_request = 0, last_sequence = 0;
	std::map<uint64_t, int> owner; /* of a request */
	std::set<std::pair<int, uint64_t>> open; /* calls without an answer */

	int by_id(uint32_t id) const;
	void drain(int i, uint64_t life);
	void tick(int i, uint64_t life);
	void step(int i, const struct node_event &ev);
	void execute(int i);
	void do_save(int i, const struct node_save &save);
	void do_send(int i, const struct node_send &send);
	void do_call(int i, const struct node_call &call);
	void break_call(int i, uint64_t call, uint64_t life);
};

std::string config_text(int version, const std::string &service = "app");

#endif
