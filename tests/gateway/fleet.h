#ifndef MP_TESTS_GATEWAY_FLEET_H
#define MP_TESTS_GATEWAY_FLEET_H

#include <random>

#include "gateway_sim.h"

/*
 * A fleet of simulated engines, plain endpoints and callers that uses the
 * instances of a GatewaySim. An engine reads prompts one after another and
 * loads adapters by orders. Of very many adapters, a few receive most of the
 * requests.
 */
class Fleet {
      public:
	struct Options {
		int cores = 5, entries = 23, engines = 140;
		int plain_endpoints = 4;
		double model_requests_per_s = 0, plain_calls_per_s = 0;
		/* share of orders that are carried out late and not answered */
		double lost_order_share = 0;
		/*
		 * Requests whose prompts contain a fatal part: the engine that
		 * begins to answer one ends. The number of such parts.
		 */
		double fatal_requests_per_s = 0;
		int fatal_parts = 1;
		/* parts of all prompts that stand before the fatal one */
		int common_parts = 0;
		/* streams may be resumed, at a second engine */
		bool resumable = false;
		/* of an answer, after its first event; 0: it has only one */
		uint64_t answer_us = 0;
		unsigned seed = 1;
	};
	/* An engine, or an endpoint of a plain service. */
	struct Engine {
		std::string id, address;
		bool is_plain = false;
		std::map<std::string, uint64_t> adapters; /* ready at, us */
		std::deque<std::string> recently_unloaded; /* oldest first */
		uint64_t order_count = 0, sequence = 0;
		uint64_t idle_from_us = 0; /* when all its prompts are read */
		uint64_t request_count = 0, missing_adapter_count = 0;
		bool crashed = false;
		/* a process that ended is replaced by another one */
		uint64_t process = 1, down_until_us = 0;
		std::string limit; /* named in each answer; empty: none */
		/* unanswered calls, in order of arrival */
		std::vector<GatewaySim::EndpointCall> open_calls;
		/* of the orders that it received */
		int last_holder = -1;
		uint64_t highest_fence = 0, last_order_us = 0;
	};
	struct Request {
		uint64_t sent_us = 0, first_byte_us = 0, replied_us = 0;
		bool is_model = false, is_fatal = false;
		int caller = -1; /* whose first part the prompt begins with */
		int status = 0;
		std::string body; /* of the reply */
	};
	GatewaySim sim;
	std::vector<Engine> engines;
	std::map<uint64_t, Request> requests;
	/* arrivals of requests with a fatal part at engines, by part */
	std::map<int, std::vector<uint64_t>> fatal_arrivals_us;
	/* ends of engines under a fatal part, by part */
	std::map<int, std::vector<uint64_t>> fatal_ends_us;
	int max_concurrent_loads = 0;
	int lower_fence_orders = 0; /* with a fence below an earlier one */
	/*
	 * Orders by another holder than the last one, within the order lease of
	 * that one. Not counted while either holder may be disconnected.
	 */
	int overlapping_holders = 0;
	std::map<int, uint64_t> disconnected_until_us; /* by instance */
	bool is_connected(int instance) const;

	explicit Fleet(const Options &options);

	/*
	 * Founds the cluster, sends its configuration and announces the
	 * endpoints; true once all entries are ready.
	 */
	bool bring_up();
	void run_traffic(uint64_t ms);
	/* Ends the process of an engine; another one starts 3 s later. */
	void end_engine(size_t e);
	/* The sum of an event's counts over all instances. */
	int count_events(const std::string &name) const;
	/* Sends a model request for the adapter to the first entry. */
	void request_adapter(const std::string &adapter);
	std::function<void()> on_order_received; /* by an engine */
	/* A request arrives at an endpoint. */
	std::function<void(const Engine &, const GatewaySim::EndpointCall &)>
	    on_request_arrived;
	/* An instance is about to get an answer that names this limit. */
	std::function<void(const Engine &, const GatewaySim::EndpointCall &,
	    const std::string &limit)>
	    on_limit_told;
	std::string endless_path; /* calls of this path get endless answers */
	std::function<void()> on_endless_call; /* called when one begins */
	size_t max_endless_bytes = 0; /* sent in one such answer */
	/*
	 * The share of the model requests sent in a time span whose first byte
	 * arrived within limit_us.
	 */
	double fraction_in_time(
	    uint64_t from_us, uint64_t to_us, uint64_t limit_us);
	/*
	 * The same, of the requests without a fatal part of callers that also
	 * send some with one.
	 */
	double fraction_of_shared_callers(
	    uint64_t from_us, uint64_t to_us, uint64_t limit_us);
	int instance_index(const std::string &name) const;

      private:
	Options options;
	std::mt19937_64 random;
	std::vector<double> popularity; /* cumulative */

	double draw_uniform();
	std::string draw_adapter();
	unsigned draw_prompt_tokens();
	void announce(size_t e);
	void announce_periodically(size_t e);
	/* fatal_part: -1 for none */
	void send_request(
	    int entry, const std::string &adapter, int fatal_part = -1);
	std::string draw_parts(int *caller, int fatal_part);
	enum Traffic {
		MODEL_REQUESTS,
		PLAIN_CALLS,
		FATAL_REQUESTS
	};
	double arrivals_per_s(Traffic traffic) const;
	void schedule_arrivals(Traffic traffic, uint64_t until_us);
	double fraction(uint64_t from_us, uint64_t to_us, uint64_t limit_us,
	    const std::function<bool(const Request &)> &counts);
	/* Takes an open call of an engine; false: it has ended. */
	bool take_call(Engine &e, const GatewaySim::EndpointCall &call);
	void begin_answer(Engine &e, const GatewaySim::EndpointCall &call);
	void end_answer(Engine &e, const GatewaySim::EndpointCall &call);
	void on_call(const GatewaySim::EndpointCall &call);
	void on_request(Engine &e, const GatewaySim::EndpointCall &call);
	void run_fatal_request(Engine &e, int part);
	void send_endless_answer(
	    const GatewaySim::EndpointCall &call, size_t sent);
	void record_holder(Engine &e, const GatewaySim::EndpointCall &call);
	int execute_order(Engine &e, const GatewaySim::EndpointCall &call);
	void on_order(Engine &e, const GatewaySim::EndpointCall &call);
	std::string make_report(const Engine &e) const;
	/*
	 * Returns the headers of an answer that is made now, and tells the
	 * test that the instance gets it. The limit must outlive them.
	 */
	std::vector<node_header> headers_of(const Engine &e,
	    const GatewaySim::EndpointCall &call, const std::string &limit);
	void schedule_reply(Engine &e, uint64_t delay_us,
	    const GatewaySim::EndpointCall &call, int status,
	    const std::string &body);
};

#endif
