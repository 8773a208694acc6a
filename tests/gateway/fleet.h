#ifndef MP_TESTS_GATEWAY_FLEET_H
#define MP_TESTS_GATEWAY_FLEET_H

#include <random>

#include "world.h"

/*
 * A fleet of engines and its callers before a World: prompts are read one
 * after another, adapters come by orders, and most of the requests are for few
 * of very many adapters.
 */
class Fleet {
      public:
	struct Options {
		int cores = 5, entries = 23, engines = 140, apps = 4;
		double models_per_s = 0, calls_per_s = 0;
		double orders_lost = 0; /* share carried out late, unanswered */
		unsigned seed = 1;
	};
	struct Engine {
		std::string id, address;
		bool app = false;
		std::map<std::string, uint64_t> there; /* ready at, us */
		std::deque<std::string> lately; /* unloaded */
		uint64_t orders = 0, sequence = 0;
		uint64_t free_us = 0; /* all its prompts are read then */
		uint64_t requests = 0, lacking = 0;
		bool crashed = false;
		/* by whom it was ordered, and with which fence, last */
		int holder = -1;
		uint64_t fence = 0, ordered_us = 0;
	};
	struct Request {
		uint64_t begun_us = 0, first_us = 0;
		bool model = false;
		int status = 0;
	};
	World world;
	std::vector<Engine> engines;
	std::map<uint64_t, Request> requests;
	int most_at_once = 0; /* loads */
	int fences_back = 0; /* orders with a lower fence than one before */
	/* orders by another holder than the last one, within its lease, */
	int turns = 0;
	std::map<int, uint64_t> out_until; /* but for these machines, us */
	bool in_touch(int machine) const;

	explicit Fleet(const Options &options);

	/* Found, configure, announce; true: all entries are ready. */
	bool begin();
	void traffic(uint64_t ms);
	/* One model request at the first entry. */
	void ask_for(const std::string &adapter);
	std::function<void()> on_order_given; /* an engine got an order */
	std::string endless_path; /* answers to calls there have no end */
	std::function<void()> on_endless; /* such a call has begun */
	size_t most_endless = 0; /* bytes that one of them was sent */
	/* Of model requests begun then: share with a first byte in time. */
	double in_time(uint64_t from_us, uint64_t to_us, uint64_t limit_us);
	int machine_of(const std::string &name) const;

      private:
	Options options;
	std::mt19937_64 random;
	std::vector<double> popularity; /* cumulative */

	double uniform();
	std::string adapter();
	unsigned prompt();
	void announce(size_t e);
	void beat(size_t e);
	void arrive(int entry, const std::string &adapter);
	void next_arrival(bool model, uint64_t until_us);
	void on_call(const World::Sent &call);
	void on_request(Engine &e, const World::Sent &call);
	void trickle(const World::Sent &call, size_t sent);
	void note_holder(Engine &e, const World::Sent &call);
	int order(Engine &e, const World::Sent &call);
	void on_order(Engine &e, const World::Sent &call);
	std::string report(const Engine &e) const;
	void reply(uint64_t delay_us, const World::Sent &call, int status,
	    const std::string &body);
};

#endif
