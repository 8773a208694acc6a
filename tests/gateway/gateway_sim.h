#ifndef MP_TESTS_GATEWAY_GATEWAY_SIM_H
#define MP_TESTS_GATEWAY_GATEWAY_SIM_H

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
	bool is_complete = false;
};

/* One instance of the gateway: a core with a disk, or an entry. */
struct GatewayInstance {
	std::string ip;
	bool core = false, alive = false, frozen = false, exited = false;
	Disk disk;
	std::string settings_text;
	struct settings *settings = nullptr;
	struct node *node = nullptr;
	uint64_t generation = 0;
	std::map<std::string, int> event_counts; /* events by name */
	/* events that wait for its processor, when that is counted */
	std::deque<std::function<void()>> event_queue;
	bool draining = false;
	uint64_t busy_until_us = 0, used_us = 0;
};

/*
 * Several reducers with a gateway, found by seeds, on one virtual clock. The
 * test plays endpoints, operators and callers through the users' wire.
 */
class GatewaySim {
      public:
	uint64_t now_us = 1000000000;
	std::vector<std::unique_ptr<GatewayInstance>> instances;
	std::set<std::pair<int, int>> cut_links; /* from, to */
	int delayed_sender = -1; /* messages from it come later, */
	uint64_t delay_us = 0; /* by so long */
	std::map<uint64_t, Reply> replies;
	struct EndpointCall {
		int machine;
		uint64_t call;
		std::string address, method, path, body;
		std::map<std::string, std::string> headers;
	};
	std::vector<EndpointCall>
	    endpoint_calls; /* calls to endpoints, in order */
	std::set<uint64_t> cancelled_calls;
	std::vector<std::string> seeds;
	bool founding_allowed = true;
	/* time that an event takes; 0: none, its processor is not counted */
	uint64_t core_event_us = 0, entry_event_us = 0;
	std::function<void(const EndpointCall &)>
	    on_call; /* a call to an endpoint */
	bool break_silent_calls =
	    false; /* calls end when they are silent for long */
	std::function<void(uint64_t request)> on_reply;

	GatewaySim(int cores, int entries);
	~GatewaySim();

	int add_instance(bool core); /* a machine that is not started */
	void start(int i);
	void kill(int i);
	void wipe_disk(int i); /* its disk comes back empty */
	void stop(int i); /* a graceful one */
	void freeze(int i, bool frozen);
	void isolate(int i, bool isolated); /* from all others */

	void run_for_ms(uint64_t ms);
	bool run_until(const std::function<bool()> &ready, uint64_t ms = 10000);

	uint64_t send_request(int i, node_listener listener, const char *method,
	    const std::string &path, const std::string &body = "",
	    std::vector<std::pair<std::string, std::string>> headers = {});
	uint64_t
	next_request_id() const
	{
		return last_request + 1;
	}
	/* Ask and wait for the answer. */
	Reply request_and_wait(int i, node_listener listener,
	    const char *method, const std::string &path,
	    const std::string &body = "", uint64_t ms = 4000);
	Reply announce(int i, const std::string &id,
	    const std::string &state = "ready", uint64_t sequence = 0,
	    uint64_t born = 1);
	void answer_call(
	    const EndpointCall &call, int status, const std::string &body);
	/* A part of an answer, with its head before the first. */
	void answer_call_part(
	    const EndpointCall &call, bool first, const std::string &body);

	int leader() const; /* -1: none places */
	bool all_entries_ready();
	void schedule(uint64_t when, std::function<void()> run);
	/* Run an event on a machine once its processor is free. */
	void enqueue(int i, std::function<void()> run);

      private:
	struct Timer {
		std::function<void()> run;
	};
	std::multimap<uint64_t, std::function<void()>> timers;
	struct node_effects *fx = node_effects_create();
	uint64_t last_request = 0, last_sequence = 0;
	std::map<uint64_t, int> owner; /* of a request */
	std::set<std::pair<int, uint64_t>>
	    open_calls; /* calls without an answer */

	int find_by_id(uint32_t id) const;
	void run_next_event(int i, uint64_t generation);
	void tick(int i, uint64_t generation);
	void step(int i, const struct node_event &ev);
	void apply_effects(int i);
	void do_save(int i, const struct node_save &save);
	void do_send(int i, const struct node_send &send);
	void do_call(int i, const struct node_call &call);
	void break_call(int i, uint64_t call, uint64_t generation);
};

std::string config_text(int version, const std::string &service = "app");

#endif
