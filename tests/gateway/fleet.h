#ifndef MP_TESTS_GATEWAY_FLEET_H
#define MP_TESTS_GATEWAY_FLEET_H

#include <random>

#include "gateway_sim.h"

/*
 * A fleet of engines and its callers before a World: prompts are read one
 * after another, adapters come by orders, and most of the requests are for few
 * of very many adapters.
 */
class Fleet {
      public:
	struct Options {
		int cores = 5, entries = 23, engines = 140, apps = 4;
		double model_requests_per_s = 0, plain_calls_per_s = 0;
		double lost_order_share =
		    0; /* share carried out late, unanswered */
		unsigned seed = 1;
	};
	struct Engine {
		std::string id, address;
		bool is_plain = false;
		std::map<std::string, uint64_t> adapters; /* ready at, us */
		std::deque<std::string> recently_unloaded; /* unloaded */
		uint64_t order_count = 0, sequence = 0;
		uint64_t idle_from_us = 0; /* all its prompts are read then */
		uint64_t request_count = 0, missing_adapter_count = 0;
		bool crashed = false;
		/* by whom it was ordered, and with which fence, last */
		int last_holder = -1;
		uint64_t highest_fence = 0, last_order_us = 0;
	};
	struct Request {
		uint64_t sent_us = 0, first_byte_us = 0;
		bool is_model = false;
		int status = 0;
	};
	GatewaySim sim;
	std::vector<Engine> engines;
	std::map<uint64_t, Request> requests;
	int max_concurrent_loads = 0; /* loads */
	int lower_fence_orders =
	    0; /* orders with a lower fence than one before */
	/* orders by another holder than the last one, within its lease, */
	int overlapping_holders = 0;
	std::map<int, uint64_t>
	    disconnected_until_us; /* but for these machines, us */
	bool is_connected(int machine) const;

	explicit Fleet(const Options &options);

	/* Found, configure, announce; true: all entries are ready. */
	bool bring_up();
	void run_traffic(uint64_t ms);
	/* One model request at the first entry. */
	void request_adapter(const std::string &adapter);
	std::function<void()> on_order_received; /* an engine got an order */
	std::string endless_path; /* answers to calls there have no end */
	std::function<void()> on_endless_call; /* such a call has begun */
	size_t max_endless_bytes = 0; /* bytes that one of them was sent */
	/* Of model requests begun then: share with a first byte in time. */
	double fraction_in_time(
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
	void send_request(int entry, const std::string &adapter);
	void schedule_arrivals(bool model, uint64_t until_us);
	void on_call(const GatewaySim::EndpointCall &call);
	void on_request(Engine &e, const GatewaySim::EndpointCall &call);
	void send_endless_answer(
	    const GatewaySim::EndpointCall &call, size_t sent);
	void record_holder(Engine &e, const GatewaySim::EndpointCall &call);
	int execute_order(Engine &e, const GatewaySim::EndpointCall &call);
	void on_order(Engine &e, const GatewaySim::EndpointCall &call);
	std::string make_report(const Engine &e) const;
	void schedule_reply(uint64_t delay_us,
	    const GatewaySim::EndpointCall &call, int status,
	    const std::string &body);
};

#endif
