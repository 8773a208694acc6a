#ifndef MP_TESTS_PROVE_FAULTS_H
#define MP_TESTS_PROVE_FAULTS_H

#include <functional>
#include <string>
#include <vector>

#include "prove/workload.h"

/* Something that goes wrong; it lasts until the cluster is healed. */
struct Fault {
	const char *name;
	void (*inject)(Cluster &c, Workload &w, int target);
	uint64_t duration_us;
	bool stops_instance; /* the target stops taking part */
	bool targets_relay; /* strikes the relay of a cluster with relays */
};

/* A moment at which a fault strikes. */
struct Step {
	const char *name;
	/* Wait for the moment; the instance most concerned is returned. */
	int (*reach)(Cluster &c, Workload &w);
};

/* The first instance without the log: the relay of a large cluster. */
static const int kRelayInstance = 3;

extern const std::vector<Fault> all_faults;
extern const std::vector<Step> all_steps;

#endif
