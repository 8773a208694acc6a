#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "prove/faults.h"
#include "prove/guards.h"

struct Options {
	uint64_t seed = 1;
	int seeds = 1;
	bool pairs = false, guards = false;
	int shard = 0, shards = 1;
	std::string only;
};

/* Seeds tried before a guard counts as not noticed. */
static const uint64_t kGuardSeeds = 30;

struct Tally {
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

/* Instances whose disk failed must be restarted to vote again. */
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

static std::string
run_case(
    uint64_t seed, const Step &step, const Fault &first, const Fault *second)
{
	Cluster c(cluster_options(seed, first.targets_relay));
	Workload w(c);
	uint64_t lasts = first.duration_us;
	int target;

	if (!c.begin())
		return "the cluster did not start";
	target = step.reach(c, w);
	if (first.targets_relay)
		target = kRelayInstance;
	first.inject(c, w, target);
	if (second != nullptr) {
		/* Two lost instances of three voters stop the log, no more. */
		int other = first.stops_instance
		    ? (target + 1 + (int)rng_below(&c.rng, 4)) % 5
		    : target;

		w.run(400000 + rng_below(&c.rng, 1500000));
		second->inject(c, w, other);
		if (second->duration_us > lasts)
			lasts = second->duration_us;
	}
	w.run(lasts);
	heal(c);
	restart_halted(c);
	w.run(6000000);
	if (second != nullptr && loses_disk(first) && loses_disk(*second))
		return w.violation; /* two of three disks: no quorum is left */
	return w.check_recovery();
}

static bool
is_selected(const Options &o, const std::string &name, int number)
{
	if (!o.only.empty() && name.find(o.only) == std::string::npos)
		return false;
	return number % o.shards == o.shard;
}

static void
prove_one(const Options &o, Tally &tally, const Step &step, const Fault &first,
    const Fault *second)
{
	std::string name = std::string(first.name) +
	    (second == nullptr ? "" : std::string(" + ") + second->name) +
	    " @ " + step.name,
		    wrong;

	for (int k = 0; k < o.seeds; k++) {
		uint64_t seed = o.seed + (uint64_t)k;

		wrong = run_case(seed, step, first, second);
		if (wrong.empty()) {
			tally.passed++;
			continue;
		}
		tally.failed++;
		printf("FAILED  %-60s seed %llu: %s\n", name.c_str(),
		    (unsigned long long)seed, wrong.c_str());
		fflush(stdout);
	}
	if (wrong.empty())
		printf("ok      %s\n", name.c_str());
}

static void
prove_all(const Options &o, Tally &tally)
{
	int number = 0;

	for (auto &step : all_steps)
		for (auto &first : all_faults) {
			std::string name =
			    std::string(first.name) + " @ " + step.name;

			if (!o.pairs && is_selected(o, name, number))
				prove_one(o, tally, step, first, nullptr);
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
				prove_one(o, tally, step, all_faults[a],
				    &all_faults[b]);
			number++;
		}
}

static const Fault *
fault_named(const char *name)
{
	for (auto &fault : all_faults)
		if (strcmp(fault.name, name) == 0)
			return &fault;
	abort();
}

static const Step *
step_named(const char *name)
{
	for (auto &step : all_steps)
		if (strcmp(step.name, name) == 0)
			return &step;
	abort();
}

/* With the guard off, does its checker notice within some seeds? */
static void
prove_guard(const Options &o, Tally &tally, const Guard &guard)
{
	const Step &step = *step_named(guard.step);
	std::string wrong, other;
	bool noticed = false;

	*guard.enabled = false;
	for (uint64_t k = 0; !noticed && k < kGuardSeeds; k++)
		for (const char *name : guard.faults) {
			wrong = run_case(
			    o.seed + k, step, *fault_named(name), nullptr);
			if (!wrong.empty())
				other = wrong;
			noticed = wrong.find(guard.expected_violation) !=
			    std::string::npos;
			if (!noticed)
				continue;
			printf("noticed %-24s %s @ %s seed %llu: %s\n",
			    guard.name, name, guard.step,
			    (unsigned long long)(o.seed + k), wrong.c_str());
			break;
		}
	*guard.enabled = true;
	tally.passed += noticed ? 1 : 0;
	tally.failed += noticed ? 0 : 1;
	if (!noticed)
		printf("MISSED  %-24s @ %s: %s\n", guard.name, guard.step,
		    other.c_str());
}

static void
prove_guards(const Options &o, Tally &tally)
{
	int number = 0;

	for (auto &guard : all_guards)
		if (is_selected(o, guard.name, number++))
			prove_guard(o, tally, guard);
}

static void
usage(FILE *out)
{
	fprintf(out,
	    "usage: prove [--singles | --pairs | --guards] [--seed N] [--seeds "
	    "N] [--only "
	    "TEXT]\n"
	    "             [--shard K/N]\n"
	    "Run each fault at each step (or pairs of faults) on reducers\n"
	    "over a virtual clock and check what must always hold;\n"
	    "or switch each guard off and see its checker fail.\n");
}

static bool
parse(Options &o, int argc, char **argv)
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
	Tally tally;

	if (!parse(options, argc, argv)) {
		usage(stderr);
		return 2;
	}
	if (options.guards)
		prove_guards(options, tally);
	else
		prove_all(options, tally);
	printf("%d passed, %d failed\n", tally.passed, tally.failed);
	return tally.failed == 0 ? 0 : 1;
}
