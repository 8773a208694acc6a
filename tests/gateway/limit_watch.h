#ifndef MP_TESTS_GATEWAY_LIMIT_WATCH_H
#define MP_TESTS_GATEWAY_LIMIT_WATCH_H

#include "fleet.h"

/*
 * Changes the limits that the endpoints of a fleet name in their answers, and
 * checks the promise about them: in each 4 s an endpoint gets at most one and a
 * half times what it has named, and 5 requests, from the instances that have
 * passed on such an answer half a second before.
 */
class LimitWatch {
      public:
	explicit LimitWatch(Fleet &fleet);
	/* The endpoint names another limit from now on; below 0: none. */
	void set(size_t endpoint, double per_s);
	void set_plain(size_t count, double per_s);
	void set_engines(size_t count, double per_s);
	/* By how much the promise was broken at most; 0 or less: it held. */
	double worst_excess() const;
	/* Forgets what was counted; the limits stay in force. */
	void restart_count();
	/* Arrivals since the last restart_count(). */
	double arrivals_per_s(size_t endpoint) const;
	const std::string &worst() const;

      private:
	struct Told {
		uint64_t us, generation;
	};
	struct Endpoint {
		double per_s = -1; /* named now; below 0: none */
		std::string text;
		uint64_t process = 0;
		std::map<int, Told> told; /* instances, the limit of now */
		std::deque<uint64_t> counted; /* arrivals in the last 4 s */
		int arrivals = 0;
	};
	Fleet &fleet;
	std::vector<Endpoint> endpoints;
	double excess = -1e9;
	std::string worst_text;
	uint64_t counted_from_us = 0;

	size_t index_of(const Fleet::Engine &e) const;
	void on_told(size_t i, int instance, const std::string &limit);
	void on_arrived(size_t i, int instance);
};

#endif
