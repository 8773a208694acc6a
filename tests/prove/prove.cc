#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "prove/faults.h"
#include "prove/guards.h"

/*
 * Runs the fault matrix: injects each fault, or pairs of faults, at each step
 * of the work of a simulated cluster and checks the invariants. Alternatively
 * disables each guard and verifies that a checker reports the violation.
 */

struct Options {
	uint64_t seed = 1;
	int seeds = 1;
	bool pairs = false, guards = false;
	int shard = 0, shards = 1; /* run only cases of this shard */
	std::string only; /* run only cases whose name contains this */
};

/* Seeds after which the absence of a guard counts as undetected. */
static const uint64_t kGuardSeeds = 40;

struct Totals {
	int passed = 0, failed = 0;
};

static ClusterOptions
cluster_options(uint64_t seed, bool large)
{
	ClusterOptions options;

	options.seed = seed;
	options.drift = true;
	options.large = large;
	if (large)
		options.instances = 7;
	return options;
}

/* Ends all faults and restarts instances that were killed or have exited. */
static void
heal(Cluster &c)
{
	for (auto &in : c.instances) {
		in->disk.fails = false;
		if (in->exited && in->alive)
			c.kill((int)in->id - 1);
	}
	for (auto &e : c.endpoints) {
		e->fail_loads = 0;
		e->break_after = 0;
		e->wrong_model = e->leaving = false;
		e->rewinds = e->cuts_answers = false;
		e->lag_us = 300000;
	}
	c.heal();
}

/*
 * Restarts instances that are halted after a disk failure, since they vote
 * again only after a restart, and those that are stopping.
 */
static void
restart_halted(Cluster &c)
{
	for (auto &in : c.instances) {
		if (!in->alive || in->node->raft == nullptr ||
		    !raft_is_halted(in->node->raft))
			continue;
		c.kill((int)in->id - 1);
		c.start((int)in->id - 1);
	}
	for (auto &in : c.instances)
		if (in->alive && in->node->stopping) {
			c.kill((int)in->id - 1);
			c.start((int)in->id - 1);
		}
}

static bool
loses_disk(const Fault &fault)
{
	return strstr(fault.name, "disk lost") != nullptr ||
	    strstr(fault.name, "second loss") != nullptr;
}

/*
 * Runs one case: one or two faults at a step, then healing and recovery.
 * Returns the violation, empty if there is none.
 */
static std::string
run_case(
    uint64_t seed, const Step &step, const Fault &first, const Fault *second)
{
	Cluster c(cluster_options(seed, first.targets_relay));
	Workload w(c);
	uint64_t duration_us = first.duration_us;
	int target;

	if (!c.begin())
		return "the cluster did not start";
	target = step.reach(c, w);
	if (first.targets_relay)
		target = kRelayInstance;
	first.inject(c, w, target);
	if (second != nullptr) {
		/*
		 * The second target differs from an instance that no longer
		 * takes part. With two of three voters lost the log makes no
		 * progress, but no invariant may break.
		 */
		int other = first.stops_instance
		    ? (target + 1 + (int)rng_below(&c.rng, 4)) % 5
		    : target;

		w.run(400000 + rng_below(&c.rng, 1500000));
		second->inject(c, w, other);
		if (second->duration_us > duration_us)
			duration_us = second->duration_us;
	}
	w.run(duration_us);
	heal(c);
	restart_halted(c);
	w.run(6000000);
	if (second != nullptr && loses_disk(first) && loses_disk(*second))
		return w.violation; /* no quorum: two of three disks are lost */
	return w.check_recovery();
}

/* Whether a case is selected by --only and belongs to this shard. */
static bool
is_selected(const Options &o, const std::string &name, int number)
{
	if (!o.only.empty() && name.find(o.only) == std::string::npos)
		return false;
	return number % o.shards == o.shard;
}

/* Runs a case with each seed and prints and counts the results. */
static void
run_case_seeds(const Options &o, Totals &totals, const Step &step,
    const Fault &first, const Fault *second)
{
	std::string name = std::string(first.name) +
	    (second == nullptr ? "" : std::string(" + ") + second->name) +
	    " @ " + step.name,
		    violation;

	for (int k = 0; k < o.seeds; k++) {
		uint64_t seed = o.seed + (uint64_t)k;

		violation = run_case(seed, step, first, second);
		if (violation.empty()) {
			totals.passed++;
			continue;
		}
		totals.failed++;
		printf("FAILED  %-60s seed %llu: %s\n", name.c_str(),
		    (unsigned long long)seed, violation.c_str());
		fflush(stdout);
	}
	if (violation.empty())
		printf("ok      %s\n", name.c_str());
}

/* Runs the selected single faults, or the selected pairs with --pairs. */
static void
run_matrix(const Options &o, Totals &totals)
{
	int number = 0;

	for (auto &step : all_steps)
		for (auto &first : all_faults) {
			std::string name =
			    std::string(first.name) + " @ " + step.name;

			if (!o.pairs && is_selected(o, name, number))
				run_case_seeds(o, totals, step, first, nullptr);
			number++;
		}
	for (size_t a = 0; o.pairs && a < all_faults.size(); a++)
		for (size_t b = a; b < all_faults.size(); b++) {
			const Step &step =
			    all_steps[(a + b) % all_steps.size()];
			std::string name = std::string(all_faults[a].name) +
			    " + " + all_faults[b].name + " @ " + step.name;

			if (!all_faults[a].targets_relay &&
			    !all_faults[b].targets_relay &&
			    is_selected(o, name, number))
				run_case_seeds(o, totals, step, all_faults[a],
				    &all_faults[b]);
			number++;
		}
}

/* The fault of a name that must exist. */
static const Fault *
find_fault(const char *name)
{
	for (auto &fault : all_faults)
		if (strcmp(fault.name, name) == 0)
			return &fault;
	abort();
}

/* The step of a name that must exist. */
static const Step *
find_step(const char *name)
{
	for (auto &step : all_steps)
		if (strcmp(step.name, name) == 0)
			return &step;
	abort();
}

/*
 * Disables a guard and checks that a checker reports the expected violation
 * with one of kGuardSeeds seeds.
 */
static void
check_guard(const Options &o, Totals &totals, const Guard &guard)
{
	const Step &step = *find_step(guard.step);
	std::string violation, last_violation;
	bool detected = false;

	*guard.enabled = false;
	for (uint64_t k = 0; !detected && k < kGuardSeeds; k++)
		for (const char *name : guard.faults) {
			violation = run_case(
			    o.seed + k, step, *find_fault(name), nullptr);
			if (!violation.empty())
				last_violation = violation;
			detected = violation.find(guard.expected_violation) !=
			    std::string::npos;
			if (!detected)
				continue;
			printf("noticed %-24s %s @ %s seed %llu: %s\n",
			    guard.name, name, guard.step,
			    (unsigned long long)(o.seed + k),
			    violation.c_str());
			break;
		}
	*guard.enabled = true;
	totals.passed += detected ? 1 : 0;
	totals.failed += detected ? 0 : 1;
	if (!detected)
		printf("MISSED  %-24s @ %s: %s\n", guard.name, guard.step,
		    last_violation.c_str());
}

static void
check_guards(const Options &o, Totals &totals)
{
	int number = 0;

	for (auto &guard : all_guards)
		if (is_selected(o, guard.name, number++))
			check_guard(o, totals, guard);
}

static void
usage(FILE *out)
{
	fprintf(out,
	    "usage: prove [--singles | --pairs | --guards] [--seed N] [--seeds "
	    "N] [--only "
	    "TEXT]\n"
	    "             [--shard K/N]\n"
	    "Run each fault at each step (or pairs of faults) on simulated\n"
	    "instances with a virtual clock and check the invariants;\n"
	    "or disable each guard and check that its checker fails.\n");
}

static bool
parse_options(Options &o, int argc, char **argv)
{
	static const struct option longs[] = {
	    {"singles", no_argument, nullptr, '1'},
	    {"guards", no_argument, nullptr, 'g'},
	    {"pairs", no_argument, nullptr, 'p'},
	    {"seed", required_argument, nullptr, 's'},
	    {"seeds", required_argument, nullptr, 'n'},
	    {"only", required_argument, nullptr, 'o'},
	    {"shard", required_argument, nullptr, 'k'},
	    {"help", no_argument, nullptr, 'h'},
	    {nullptr, 0, nullptr, 0},
	};
	int c;

	while ((c = getopt_long(argc, argv, "h", longs, nullptr)) != -1) {
		if (c == 'p' || c == '1')
			o.pairs = c == 'p';
		else if (c == 'g')
			o.guards = true;
		else if (c == 's')
			o.seed = strtoull(optarg, nullptr, 10);
		else if (c == 'n')
			o.seeds = atoi(optarg);
		else if (c == 'o')
			o.only = optarg;
		else if (c == 'k' &&
		    sscanf(optarg, "%d/%d", &o.shard, &o.shards) == 2 &&
		    o.shards > 0)
			continue;
		else
			return false;
	}
	return optind == argc;
}

int
main(int argc, char **argv)
{
	Options options;
	Totals totals;

	if (!parse_options(options, argc, argv)) {
		usage(stderr);
		return 2;
	}
	if (options.guards)
		check_guards(options, totals);
	else
		run_matrix(options, totals);
	printf("%d passed, %d failed\n", totals.passed, totals.failed);
	return totals.failed == 0 ? 0 : 1;
}
