#ifndef MP_TESTS_NODE_CLUSTER_H
#define MP_TESTS_NODE_CLUSTER_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cluster/announcer.h"
#include "mulberrypath/node.h"
#include "util/rng.h"

extern "C" {
#include "node/node_internal.h"
}

/*
 * A simulation of several reducers on one virtual clock. Messages, calls, disks
 * and callers are events in one queue, so runs with equal seeds are equal.
 */

class Cluster;
struct Request;

/* The synced content of an instance's data folder; it survives a kill. */
struct Disk {
	uint64_t incarnation = 0;
	bool fresh = true, damaged = false, fails = false;
	uint64_t term = 0, vote = 0;
	uint64_t snapshot_index = 0, snapshot_term = 0;
	std::string snapshot;
	std::map<uint64_t, std::string> records; /* packed, by index */

	void write(const struct node_save &save);
};

/* A simulated model engine or service. */
struct Endpoint {
	std::string id, address, data_centre;
	bool service = false;
	std::string service_name;
	bool alive = true, silent = false, leaving = false;
	bool blind = true; /* unused: it obeys every order */
	uint64_t incarnation = 1;
	uint32_t nslots = 3, seats = 4;
	uint64_t step_us = 20000, load_us = 250000, lag_us = 300000;
	int fail_loads = 0; /* number of next loads to fail */
	bool wrong_model = false;
	bool rewinds = false; /* resumes one token early */
	bool cuts_answers = false; /* a service runs, then breaks */
	uint32_t break_after = 0; /* tokens, 0: never */
	std::string owner_http; /* from the last answer */
	Announcer announcer;
	Request *announced = nullptr; /* answer not processed yet */

	struct Run {
		int instance;
		uint64_t call;
		std::string id, key, prompt;
		uint32_t next, max;
		uint64_t silence_us;
		bool muted = false; /* sends nothing further */
	};
	std::map<std::string, bool> slots; /* key -> loading */
	std::deque<uint64_t> prefixes; /* cached, oldest first */
	uint64_t cache_sequence = 0, prefix_serial = 0;
	std::map<uint64_t, Run> runs; /* by serial */

	/* Records for the checkers. */
	std::map<std::string, int> ran; /* runs begun, by run id */
	std::map<std::string, int> bookings; /* by idempotency key */
	std::set<std::string> grantless;
	std::map<std::string, uint64_t> fences; /* highest, by owner process */
	uint64_t stale_orders = 0;
	uint64_t evicted_in_use = 0, loads = 0, evictions = 0;
	uint64_t first_new_grant_us = 0;
};

/* A request of a caller, operator or endpoint, and its answer. */
struct Request {
	uint64_t id = 0;
	int instance = 0;
	std::string method, path, token, key, body;
	int status = 0;
	std::map<std::string, std::string> headers;
	std::string answer;
	bool done = false, aborted = false, lost = false, more = false;
	uint64_t sent_us = 0, done_us = 0;
	std::string run_id;

	std::string
	outcome() const
	{
		auto it = headers.find("mulberrypath-outcome");

		return it == headers.end() ? "" : it->second;
	}
};

/* A simulated process and its data folder. */
struct Instance {
	uint32_t id = 0;
	std::string name, address;
	struct settings settings = {};
	std::vector<std::string> strings; /* owned by settings */
	std::vector<struct settings_peer> peers;
	std::vector<struct settings_operator> operators;
	struct node *node = nullptr;
	bool has_disk = false, alive = false, frozen = false, exited = false;
	Disk disk;
	uint64_t generation = 0; /* counts restarts, to drop old events */
	int64_t clock_offset = 0;
	double drift = 1.0;
	std::deque<std::function<void()>> deferred; /* while frozen */
	std::map<uint64_t, Request *> requests; /* open, by request id */
};

struct ClusterOptions {
	int instances = 5, voters = 3, engines = 4, services = 2;
	uint64_t seed = 1;
	bool drift = false;
	/* As with over 100 members: relays for the log and for renewals. */
	bool large = false;
};

class Cluster {
      public:
	explicit Cluster(const ClusterOptions &options);
	~Cluster();

	std::vector<std::unique_ptr<Instance>> instances;
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	std::vector<std::unique_ptr<Request>> requests;

	/* ---- time */
	uint64_t now = 1000000;
	void run_for(uint64_t us);
	/* Runs until the condition holds, at most us; its last value. */
	bool run_until(uint64_t us, const std::function<bool()> &condition);

	/* ---- faults */
	void start(int i);
	/* Ends the process; writes that are not synced are lost. */
	void kill(int i);
	/* Replaces the data folder of a killed instance by a fresh one. */
	void lose_disk(int i);
	/* Suspends the process; its events are delivered by wake(). */
	void freeze(int i);
	void wake(int i);
	/* Drops all messages in one direction while on. */
	void cut(int from, int to, bool on);
	void isolate(int i, bool on);
	/* Ends all faults; starts the instances that were killed. */
	void heal();
	/* Share of messages that are lost or duplicated. */
	double drop = 0, duplicate = 0;
	/* Delay of messages with log entries, by the instance they go to. */
	std::map<int, uint64_t> log_delay_us;
	uint64_t delay_max_us = 1000;
	uint64_t order_delay_us = 0; /* added to calls to endpoints */
	/* Cache events: shares lost and duplicated, longest delay. */
	double event_drop = 0, event_duplicate = 0;
	uint64_t event_delay_max_us = 0;
	/* Delay of an instance's calls before they are sent, by instance. */
	std::map<int, uint64_t> call_write_delay_us;
	/* Instances and endpoints between which calls cannot connect. */
	std::set<std::pair<int, std::string>> call_cuts;

	/* ---- work */
	Request *send(int instance, const std::string &method,
	    const std::string &path, const std::string &token,
	    const std::string &body, const std::string &key = "");
	/* A model request of team "t1". */
	Request *complete(int instance, const std::string &adapter,
	    bool stream = false, int max_tokens = 8);
	/* A call that is not idempotent, with an idempotency key. */
	Request *book(int instance, const std::string &key);
	Request *put_document(int instance, const std::string &team,
	    uint64_t revision, const std::string &change,
	    const std::string &text);
	void disconnect_caller(Request *r);
	bool wait(Request *r, uint64_t us = 15000000);
	bool wait_ready(uint64_t us = 15000000);
	/* Waits until all are ready; puts a document of team "t1". */
	bool begin();
	int leader() const;
	int owner_of(const std::string &endpoint) const;
	bool is_leased(int i) const; /* by the leader */
	Endpoint *endpoint(const std::string &id);
	std::string last_report;

	static std::string document(const std::string &team, int variant = 0);
	static std::string expected_text(const std::string &key,
	    const std::string &prompt, uint32_t from, uint32_t to);

	/* ---- checkers: each returns a violation, empty if there is none */
	std::string check();
	std::string check_answers() const;
	std::string check_not_run() const;
	std::string check_bookings() const;
	std::string check_confirmed() const;
	std::string check_orders() const;
	std::string check_owners() const;
	std::string check_evictions() const;
	std::string check_in_force();
	std::string check_documents() const;
	std::string check_changes() const;
	/* Owners know all cached prefixes; holds once work has stopped. */
	std::string check_caches() const;
	std::vector<std::string> violations;

	struct rng rng;

      private:
	struct Timed {
		uint64_t at, serial;
		std::function<void()> run;
		bool
		operator<(const Timed &other) const
		{
			return at != other.at ? at > other.at
					      : serial > other.serial;
		}
	};
	struct Incoming {
		int instance;
		uint64_t generation, call, fence;
		std::string path, body, request, key;
		uint64_t silence_us, not_after_us;
	};
	friend struct Endpoint;

	void at(uint64_t when, std::function<void()> run);
	void make_settings(Instance &in, const ClusterOptions &options);
	void on_instance(int i, uint64_t generation, std::function<void()> run);
	void step(int i, const struct node_event &ev);
	void execute(int i, const struct node_effects *fx);
	void do_send(int i, const struct node_send &send);
	void do_reply(int i, const struct node_effect &effect);
	void do_call(int i, const struct node_call &call);
	void send_call(Endpoint *e, const Incoming &in, uint64_t silence);
	void do_save(int i, const struct node_save &save);
	void tick(int i, uint64_t generation);
	void announce(Endpoint *e);
	void announce_once(Endpoint *e);
	void process_announce_answer(Endpoint *e);
	void cache_prefix(Endpoint *e);
	void send_event(Endpoint *e, const std::string &body);
	void post(int i, const std::string &path, const std::string &body);
	int announce_target(const Endpoint *e);
	std::string announcement(Endpoint *e);
	uint64_t clock_of(const Instance &in) const;
	uint64_t world_time(const Instance &in, uint64_t local) const;

	void call_event(int i, uint64_t generation, uint64_t call,
	    enum node_call_phase phase, int status = 0,
	    const std::string &data = "", bool retry_after = false);
	void answer(int i, uint64_t generation, uint64_t call, int status,
	    const std::string &body, bool retry_after = false);
	void arrive(Endpoint *e, const Incoming &in);
	void engine_order(Endpoint *e, const Incoming &in);
	void engine_run(Endpoint *e, const Incoming &in);
	void engine_step(Endpoint *e, uint64_t incarnation, uint64_t serial);
	void engine_cancel(Endpoint *e, const Incoming &in);
	void service_call(Endpoint *e, const Incoming &in);
	void count_stale_order(Endpoint *e, const Incoming &in);

	std::priority_queue<Timed> queue;
	uint64_t serial = 0, next_request = 0;
	std::set<std::pair<int, int>> cuts;
	struct node_effects *fx;
	/* By instance, generation and call, as ids restart with it. */
	std::set<std::tuple<int, uint64_t, uint64_t>> cancelled;
	uint64_t in_force_reported = 0; /* highest index reported as in force */
};

#endif
