#ifndef MP_TESTS_PROVE_FAULTS_H
#define MP_TESTS_PROVE_FAULTS_H

/*
 * The rows and columns of the fault matrix: the faults that can be injected
 * into a simulated cluster, and the steps of the work at which they are
 * injected. The names are matched by --only and must not change.
 */

#include <functional>
#include <string>
#include <vector>

#include "prove/workload.h"

/* A fault. Its effect lasts until the cluster is healed. */
struct Fault {
	const char *name;
	/*
	 * Injects the fault at the instance target. May run the cluster
	 * meanwhile.
	 */
	void (*inject)(Cluster &c, Workload &w, int target);
	uint64_t duration_us; /* run after the injection, before healing */
	bool stops_instance; /* the target no longer takes part */
	bool targets_relay; /* needs a cluster with relays; target: a relay */
};

/* A state of the work in which a fault is injected. */
struct Step {
	const char *name;
	/*
	 * Runs the cluster until the state is reached, at most about 5 s.
	 * Returns the instance that takes the main part in it: the target.
	 */
	int (*reach)(Cluster &c, Workload &w);
};

/* The first instance that is no voter: the relay of a large cluster. */
static const int kRelayInstance = 3;

extern const std::vector<Fault> all_faults;
extern const std::vector<Step> all_steps;

#endif
