#ifndef MP_TESTS_PROVE_WORKLOAD_H
#define MP_TESTS_PROVE_WORKLOAD_H

#include "cluster/cluster.h"

/*
 * Steady work on a cluster: completions, bookings that are sent again until
 * they are confirmed or known to be unknown, and changes of a document by
 * two operators who race.
 */
class Workload {
      public:
	explicit Workload(Cluster &cluster) : c(cluster)
	{
	}

	/* Run the cluster under work, checking as it goes. */
	void run(uint64_t us, const std::function<bool()> &until);
	void
	run(uint64_t us)
	{
		run(us, [] { return false; });
	}

	/* All is healed: does everything work again? Empty, or what not. */
	std::string check_recovery();

	std::string violation;
	bool sends_changes = true, sends_bookings = true;
	Request *last_change = nullptr, *last_booking = nullptr;
	Request *last_completion = nullptr;

      private:
	int pick_instance();
	void send_due_requests();
	void resend_bookings();
	void send_changes();
	void print_status();
	void resend_any_change();

	Cluster &c;
	uint64_t next_completion = 0, next_booking = 0, next_change = 0;
	uint64_t next_check = 0;
	int serial = 0;
	uint64_t revision = 1;
	Request *concurrent_changes[2] = {nullptr, nullptr};
	std::vector<Request *> unconfirmed_bookings;
};

#endif
