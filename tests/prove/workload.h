#ifndef MP_TESTS_PROVE_WORKLOAD_H
#define MP_TESTS_PROVE_WORKLOAD_H

#include "cluster/cluster.h"

/*
 * A constant load on a cluster: completions, bookings that are resent until
 * they are confirmed or their outcome is reported as unknown, and concurrent
 * changes of one document by two operators.
 */
class Workload {
      public:
	explicit Workload(Cluster &cluster) : c(cluster)
	{
	}

	/*
	 * Runs the cluster under load for us of virtual time. Ends early when
	 * the condition holds or a checker reports a violation, which is then
	 * stored in violation.
	 */
	void run(uint64_t us, const std::function<bool()> &until);
	void
	run(uint64_t us)
	{
		run(us, [] { return false; });
	}

	/*
	 * Checks, once all faults have ended, that every instance becomes
	 * ready and serves calls again. Returns the first violation or failure,
	 * empty if there is none.
	 */
	std::string check_recovery();

	std::string violation; /* the first one; empty if there is none */
	bool sends_changes = true, sends_bookings = true;
	/* The latest request of each kind, nullptr before the first. */
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
	/* When the next request of each kind is due, in virtual us. */
	uint64_t next_completion = 0, next_booking = 0, next_change = 0;
	uint64_t next_check = 0;
	int serial = 0; /* numbers bookings and changes */
	uint64_t revision = 1; /* the highest one seen in an answer */
	/* The two latest changes, both based on the same revision. */
	Request *concurrent_changes[2] = {nullptr, nullptr};
	std::vector<Request *> unconfirmed_bookings;
};

#endif
