#ifndef MP_TESTS_GATEWAY_GATEWAY_SIM_H
#define MP_TESTS_GATEWAY_GATEWAY_SIM_H

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cluster/cluster.h"
#include "platform/platform.h"

#define MS 1000ULL /* in microseconds */

struct Reply {
	int status = 0;
	std::string body;
	std::string retry_after; /* a header; empty: none */
	bool is_complete = false, is_aborted = false;
	uint64_t ended_us = 0; /* when it was complete or aborted */
};

/* An instance of the gateway: a core, which has a disk, or an entry. */
struct GatewayInstance {
	std::string ip;
	bool core = false, alive = false, frozen = false, exited = false;
	Disk disk;
	std::string settings_text;
	struct settings *settings = nullptr;
	struct node *node = nullptr;
	uint64_t generation = 0; /* counts starts and kills */
	std::map<std::string, int> event_counts; /* log events by name */
	/* events that wait for the processor, when its time is simulated */
	std::deque<std::function<void()>> event_queue;
	bool draining = false;
	uint64_t busy_until_us = 0, used_us = 0;
	uint64_t disk_done_us = 0; /* when its last write is complete */
	/*
	 * Memory of its reducer now, and the most after a step, which includes
	 * the effects of the step.
	 */
	int64_t held_bytes = 0, held_bytes_max = 0;
	/* messages that wait until it is no longer frozen */
	std::deque<std::function<void()>> kept_messages;
};

/*
 * Simulates the instances of a gateway on one virtual clock: reducers that find
 * each other by seeds. The test acts as the endpoints, operators and callers
 * and uses the users' protocol. With the environment variable WORLD_LOG all log
 * events are printed.
 */
class GatewaySim {
      public:
	uint64_t now_us = 1000000000;
	std::vector<std::unique_ptr<GatewayInstance>> instances;
	/* links, from and to, whose messages are lost */
	std::set<std::pair<int, int>> cut_links;
	/* instance whose messages are delayed, and by how much */
	int delayed_sender = -1;
	uint64_t delay_us = 0;
	/* whether a message is lost */
	std::function<bool(int from, int to, const std::string &bytes)> is_lost;
	/* links, from and to, with a delay of their own */
	std::map<std::pair<int, int>, uint64_t> link_delays_us;
	/*
	 * Time that a link takes for each byte, in each direction; 0: none.
	 * Bulk messages have a connection of their own, which shares nothing
	 * with the other.
	 */
	double link_byte_us = 0;
	/* deliver messages to a frozen instance when it resumes */
	bool keep_messages_of_frozen = false;
	std::map<int, uint64_t>
	    disk_sync_us; /* disks with a time of their own */
	std::map<uint64_t, Reply> replies;
	struct EndpointCall {
		int instance;
		uint64_t call;
		std::string address, method, path, body;
		std::map<std::string, std::string> headers;
	};
	/* calls to endpoints in order, while on_call is not set */
	std::vector<EndpointCall> endpoint_calls;
	std::set<uint64_t> cancelled_calls;
	std::vector<std::string> seeds;
	const struct gw_codec *codec = &platform_codec;
	bool founding_allowed = true;
	/* processor time of an event; 0: not simulated */
	uint64_t core_event_us = 0, entry_event_us = 0;
	/* receives the calls to endpoints */
	std::function<void(const EndpointCall &)> on_call;
	bool break_silent_calls = false; /* end calls that time out */
	std::function<void(uint64_t request)> on_reply;
	/*
	 * Counts what each reducer holds, as far as malloc tells, in
	 * held_bytes.
	 */
	bool counts_memory = false;

	GatewaySim(int cores, int entries);
	~GatewaySim();

	/* Adds an instance that is not started; returns its index. */
	int add_instance(bool core);
	void start(int i);
	void kill(int i);
	void wipe_disk(int i); /* replaces its disk by an empty one */
	void stop(int i); /* requests a graceful stop */
	void freeze(int i, bool frozen);
	void isolate(int i, bool isolated); /* cuts its links to all others */

	void run_for_ms(uint64_t ms);
	/* Runs until done() is true, at most for ms; returns done(). */
	bool run_until(const std::function<bool()> &done, uint64_t ms = 10000);

	uint64_t send_request(int i, node_listener listener, const char *method,
	    const std::string &path, const std::string &body = "",
	    std::vector<std::pair<std::string, std::string>> headers = {});
	uint64_t
	next_request_id() const
	{
		return last_request + 1;
	}
	/*
	 * Sends a request and runs until it is answered, or for the time given.
	 */
	Reply request_and_wait(int i, node_listener listener,
	    const char *method, const std::string &path,
	    const std::string &body = "", uint64_t ms = 4000);
	Reply announce(int i, const std::string &id,
	    const std::string &state = "ready", uint64_t sequence = 0,
	    uint64_t born = 1);
	/* The same, without waiting for the reply. */
	void send_announcement(int i, const std::string &id);
	void answer_call(const EndpointCall &call, int status,
	    const std::string &body, std::vector<node_header> headers = {});
	/* Sends a request of an operator of all teams and waits for the reply.
	 */
	Reply ask_as_operator(
	    int i, const char *method, const std::string &path);
	/* The caller of a request at an instance has disconnected. */
	void leave_request(int i, uint64_t request);
	/* Ends a call: END, BROKEN by the endpoint, or NOT_SENT. */
	void end_call(const EndpointCall &call, node_call_phase phase);
	/*
	 * Sends a part of an answer; the first is preceded by the head, with
	 * these headers beside those of each answer.
	 */
	void answer_call_part(const EndpointCall &call, bool first,
	    const std::string &body, std::vector<node_header> headers = {});

	/* The time of day, in milliseconds since 1970. */
	uint64_t wall_ms() const;

	/* Delivers a message as if another instance had sent it. */
	void deliver(int from, int to, const std::string &bytes);

	int leader() const; /* the instance that places; -1: none */
	bool all_entries_ready();
	/* Runs a function at a virtual time, in microseconds. */
	void schedule(uint64_t when_us, std::function<void()> run);
	/* Runs an event on an instance once its processor is free. */
	void enqueue(int i, std::function<void()> run);

      private:
	struct Timer {
		std::function<void()> run;
	};
	std::multimap<uint64_t, std::function<void()>> timers;
	struct node_effects *fx = node_effects_create();
	uint64_t last_request = 0, last_sequence = 0;
	const char *authorization = nullptr; /* of the requests sent */
	std::map<uint64_t, int> owner;
	std::set<std::pair<int, uint64_t>> open_calls; /* unanswered calls */

	int find_by_id(uint32_t id) const;
	void run_next_event(int i, uint64_t generation);
	void tick(int i, uint64_t generation);
	void step(int i, const struct node_event &ev);
	int64_t allocated_bytes() const;
	void apply_effects(int i);
	void do_save(int i, const struct node_save &save);
	uint64_t link_delay(int from, int to) const;
	uint64_t transfer_delay(int from, int to, const struct node_send &send);
	/* when a connection has carried its messages: from, to, bulk */
	std::map<std::tuple<int, int, bool>, uint64_t> link_free_us;
	void do_send(int i, const struct node_send &send);
	void do_call(int i, const struct node_call &call);
	void break_call(int i, uint64_t call, uint64_t generation);
};

/* A configuration with one route, to the service. */
std::string config_text(int version, const std::string &service = "app");

#endif
