#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "cluster_world.h"

/*
 * What each role of a cluster costs, and how long changes and failures
 * take, by reducers alone on a virtual clock.
 */

static const char usage[] =
    "usage: bench_cluster [--instances N] [--voters N] [--regions N]\n"
    "    [--endpoints PER_INSTANCE] [--requests PER_SECOND_AND_INSTANCE]\n"
    "    [--changes PER_SECOND] [--teams N] [--adapters PER_TEAM]\n"
    "    [--tokens N] [--seconds N] [--warm N] [--fail] [--kinds]\n"
    "    [--hot PART]: of the requests, to the first team\n"
    "    [--full]: announcements say all each time\n";

static const char *const kind_names[KINDS] = {"tick", "http", "call", "save",
    "", "", "", "", "", "", "raft", "renew", "lease", "propose", "", "pull",
    "push", "ping", "pong", "ask", "grant", "done", "touch", "report",
    "summary", "hello", "renews", "leases"};

static bool
parse(Options *o, int argc, char **argv)
{
	for (int i = 1; i < argc; i++) {
		std::string name = argv[i];
		const char *value = i + 1 < argc ? argv[i + 1] : "0";

		if (name == "--fail") {
			o->fail = true;
			continue;
		}
		if (name == "--full") {
			o->full = true;
			continue;
		}
		if (name == "--kinds") {
			o->per_kind = true;
			continue;
		}
		if (name == "--hot")
			o->hot = atof(value);
		else if (name == "--instances")
			o->instances = atoi(value);
		else if (name == "--voters")
			o->voters = atoi(value);
		else if (name == "--regions")
			o->regions = atoi(value);
		else if (name == "--endpoints")
			o->endpoints = atoi(value);
		else if (name == "--requests")
			o->requests = atof(value);
		else if (name == "--changes")
			o->changes = atof(value);
		else if (name == "--teams")
			o->teams = atoi(value);
		else if (name == "--adapters")
			o->adapters = atoi(value);
		else if (name == "--tokens")
			o->tokens = (uint32_t)atoi(value);
		else if (name == "--seconds")
			o->seconds = atoi(value);
		else if (name == "--warm")
			o->warm = atoi(value);
		else
			return false;
		i++;
	}
	return o->instances > o->voters && o->voters > 0 && o->regions > 0;
}

struct Sum {
	double messages_in = 0, messages_out = 0, bytes_in = 0, bytes_out = 0;
	double cpu = 0, state = 0, http = 0;
};

static Sum
sum_of(const Inst &n, double seconds)
{
	Sum s;

	for (int k = 0; k < KINDS; k++) {
		s.messages_in += (double)n.c.in[k] / seconds;
		s.messages_out += (double)n.c.out[k] / seconds;
		s.bytes_in += (double)n.c.in_bytes[k] / seconds;
		s.bytes_out += (double)n.c.out_bytes[k] / seconds;
	}
	s.cpu = (double)n.c.ns / 1e3 / seconds;
	s.state = (double)n.c.state;
	s.http = (double)n.c.http_bytes / seconds;
	return s;
}

static void
print_sum(const char *role, size_t count, const Sum &s)
{
	printf("%-14s %4zu %9.0f %9.0f %10.2f %10.2f %9.2f %9.0f\n", role,
	    count, s.messages_in, s.messages_out, s.bytes_in / 1e3,
	    s.bytes_out / 1e3, s.cpu / 1e4, s.state / 1e3);
}

static void
print_role(
    const char *role, const std::vector<const Inst *> &list, double seconds)
{
	Sum mean, most;
	double n = (double)list.size();

	if (list.empty())
		return;
	for (const Inst *i : list) {
		Sum s = sum_of(*i, seconds);

		mean.messages_in += s.messages_in / n;
		mean.messages_out += s.messages_out / n;
		mean.bytes_in += s.bytes_in / n;
		mean.bytes_out += s.bytes_out / n;
		mean.cpu += s.cpu / n;
		mean.state += s.state / n;
		most.messages_in = std::max(most.messages_in, s.messages_in);
		most.messages_out = std::max(most.messages_out, s.messages_out);
		most.bytes_in = std::max(most.bytes_in, s.bytes_in);
		most.bytes_out = std::max(most.bytes_out, s.bytes_out);
		most.cpu = std::max(most.cpu, s.cpu);
		most.state = std::max(most.state, s.state);
	}
	print_sum(role, list.size(), mean);
	if (list.size() > 1)
		print_sum("  largest", 1, most);
}

static void
print_kinds(const char *role, const Inst &n, double seconds)
{
	for (int k = 0; k < KINDS; k++)
		if (n.c.in[k] + n.c.out[k] + n.c.step_ns[k] > 0)
			printf("  %-9s %-8s in %8.1f/s %9.2f KB/s  out "
			       "%8.1f/s %9.2f KB/s  cpu %7.3f %%\n",
			    role, kind_names[k], (double)n.c.in[k] / seconds,
			    (double)n.c.in_bytes[k] / seconds / 1e3,
			    (double)n.c.out[k] / seconds,
			    (double)n.c.out_bytes[k] / seconds / 1e3,
			    (double)n.c.step_ns[k] / 1e7 / seconds);
}

static void
print_roles(const World &w, double seconds)
{
	std::vector<const Inst *> leaders, voters, others;
	int leader = w.leader();

	for (size_t i = 0; i < w.in.size(); i++) {
		const Inst *n = w.in[i].get();

		if (!n->alive)
			continue;
		if ((int)i == leader)
			leaders.push_back(n);
		else if ((int)i < w.o.voters)
			voters.push_back(n);
		else
			others.push_back(n);
	}
	printf("role          count  msgs in/s msgs out/s   KB in/s  KB out/s"
	       "  cpu %%   state KB\n");
	print_role("leader", leaders, seconds);
	print_role("voter", voters, seconds);
	print_role("other", others, seconds);
	if (!w.o.per_kind)
		return;
	if (!leaders.empty())
		print_kinds("leader", *leaders[0], seconds);
	if (!voters.empty())
		print_kinds("voter", *voters[0], seconds);
	print_kinds("other", *others[others.size() / 2], seconds);
}

static double
since(const World &w, uint64_t from)
{
	return (double)(w.now - from) / 1e6;
}

/* One change, to its acceptance, to everyone, and told to be in force. */
static void
time_change(World &w)
{
	uint64_t from = w.now, before = w.accepted[0], index;
	double accepted, applied, told;

	w.put_document(0);
	w.run_until(20000000, [&] { return w.accepted[0] > before; });
	accepted = since(w, from);
	index = w.accepted[0];
	w.run_until(30000000, [&] {
		for (auto &n : w.in)
			if (n->alive && n->node->applied < index)
				return false;
		return true;
	});
	applied = since(w, from);
	w.run_until(30000000, [&] {
		for (auto &n : w.in)
			if (n->alive &&
			    member_holder_in_force(n->node->holder) < index)
				return false;
		return true;
	});
	told = since(w, from);
	printf("change: accepted %.3f s, applied everywhere %.3f s, every "
	       "instance told in force %.3f s\n",
	    accepted, applied, told);
}

static void
time_leader(World &w)
{
	uint64_t from = w.now;
	int dead = w.leader();
	double elected;

	if (dead < 0)
		return;
	w.kill(dead);
	w.run_until(30000000, [&] { return w.leader() >= 0; });
	elected = since(w, from);
	w.run_until(60000000, [&] {
		return member_view_find(w.in[(size_t)w.leader() < w.in.size()
						 ? (size_t)w.leader()
						 : 0]
					    ->node->view,
			   (uint32_t)dead + 1) == nullptr;
	});
	printf("leader killed: new one with authority after %.3f s, the dead "
	       "one removed after %.3f s, then all act: %s\n",
	    elected, since(w, from), w.all_act() ? "yes" : "no");
}

/* When each step of taking over a dead owner's endpoints was first seen. */
struct Takeover {
	std::vector<std::string> ids, addresses;
	uint64_t removed = 0, active = 0, taken = 0, load = 0, run = 0;
};

static void
note(uint64_t *at, bool holds, uint64_t now)
{
	if (*at == 0 && holds)
		*at = now;
}

/* How far has any new owner of an endpoint come? */
static void
note_owners(const World &w, Takeover &t, uint32_t dead)
{
	const struct node_endpoint *e;

	for (auto &n : w.in) {
		if (!n->alive || member_view_find(n->node->view, dead))
			continue;
		note(&t.removed, true, w.now);
		note(&t.active,
		    member_holder_active_epoch(n->node->holder) >=
			member_view_epoch(n->node->view),
		    w.now);
		for (auto &id : t.ids) {
			e = (const struct node_endpoint *)map_get_str(
			    n->node->endpoints, id.c_str());
			note(&t.taken, e != nullptr && e->scheduled, w.now);
		}
	}
}

/* Kill an owner; time until any engine it owned gets a new run. */
static void
time_owner(World &w)
{
	int dead = w.o.instances - 1;
	std::string region =
	    "region-" + std::to_string(w.in[(size_t)dead]->region);
	uint64_t from = w.now;
	Takeover t;
	auto part = [from](uint64_t at) {
		return at == 0 ? -1.0 : (double)(at - from) / 1e6;
	};

	for (auto &e : w.engines)
		if (member_owner_of(w.in[0]->node->view, region.c_str(),
			e->id.c_str()) == (uint32_t)dead + 1 &&
		    e->region == w.in[(size_t)dead]->region) {
			t.ids.push_back(e->id);
			t.addresses.push_back(e->address);
		}
	if (t.ids.empty() || w.o.requests == 0)
		return;
	w.kill(dead);
	w.on_call = [&](int, const struct node_call &c) {
		note_owners(w, t, (uint32_t)dead + 1);
		bool taken = t.taken != 0 &&
		    std::find(t.addresses.begin(), t.addresses.end(),
			c.address) != t.addresses.end();

		note(
		    &t.load, taken && strstr(c.path, "load") != nullptr, w.now);
		note(&t.run, taken && strstr(c.path, "completions") != nullptr,
		    w.now);
	};
	w.run_until(60000000, [&] {
		note_owners(w, t, (uint32_t)dead + 1);
		return t.run != 0;
	});
	w.on_call = nullptr;
	printf("owner of %zu endpoints killed: removed after %.3f s, its epoch "
	       "active %.3f, an endpoint taken %.3f, first load %.3f, first "
	       "new run on one of them after %.3f s\n",
	    t.ids.size(), part(t.removed), part(t.active), part(t.taken),
	    part(t.load), part(t.run));
}

/* A rack: so many instances without a voter die at once. */
static void
time_rack(World &w, int count)
{
	uint64_t from = w.now;
	int lead = w.leader();
	size_t before;

	if (lead < 0 || w.o.instances < 3 * count)
		return;
	before = member_view_count(w.in[(size_t)lead]->node->view);
	for (int k = 0; k < count; k++)
		w.kill(w.o.instances - 2 - k);
	w.run_until(120000000, [&] {
		return member_view_count(w.in[(size_t)lead]->node->view) +
		    (size_t)count ==
		    before;
	});
	printf("%d instances killed at once: all removed after %.3f s\n", count,
	    since(w, from));
}

static int
acting(const World &w, int region, bool inside)
{
	int count = 0;

	for (auto &n : w.in)
		count += n->alive && (n->region == region) == inside &&
		    node_may_act(n->node);
	return count;
}

/* The last region, without a voter, is cut off and comes back. */
static void
time_cut(World &w)
{
	int region = w.o.regions - 1, lead = w.leader();
	uint64_t from, applied;

	if (w.o.regions < 2 || lead < 0 || region < w.o.voters)
		return;
	printf("region of %d cut off: ", acting(w, region, true));
	w.cut_region = region;
	from = w.now;
	w.run_until(60000000, [&] { return acting(w, region, true) == 0; });
	printf("none in it takes new work after %.3f s, ", since(w, from));
	w.run_for(60000000);
	w.put_document(0);
	w.run_for(20000000);
	printf("%d outside go on, %zu members are left after 80 s\n",
	    acting(w, region, false),
	    member_view_count(w.in[(size_t)w.leader()]->node->view));
	w.cut_region = -1;
	from = w.now;
	applied = w.in[(size_t)w.leader()]->node->applied;
	w.run_until(120000000, [&] {
		for (auto &n : w.in)
			if (n->alive && n->node->applied < applied)
				return false;
		return true;
	});
	printf("healed: all have applied what was missed after %.3f s, ",
	    since(w, from));
	w.run_until(120000000, [&] { return w.all_act(); });
	printf("all act after %.3f s\n", since(w, from));
}

static void
print_announcements(const World &w, double seconds)
{
	double count = 0, bytes = 0;

	for (auto &n : w.in) {
		count += (double)n->c.announced;
		bytes += (double)n->c.announced_bytes;
	}
	if (count == 0)
		return;
	printf("announcements in: %.1f/s and %.2f KB/s an instance, mean; "
	       "%.0f bytes each\n",
	    count / seconds / (double)w.in.size(),
	    bytes / 1e3 / seconds / (double)w.in.size(), bytes / count);
}

/* How even the service of the teams is, but for the first one. */
static void
print_teams(const World &w, const std::vector<uint64_t> &before, double seconds)
{
	double least = 1e9, most = 0;

	for (size_t t = 1; t < before.size(); t++) {
		double rate = (double)(w.team_runs[t] - before[t]) / seconds;

		least = std::min(least, rate);
		most = std::max(most, rate);
	}
	if (before.size() > 1)
		printf("runs/s of the first team %.1f, of another %.1f to "
		       "%.1f\n",
		    (double)(w.team_runs[0] - before[0]) / seconds, least,
		    most);
}

static void
print_snapshot(const World &w)
{
	struct buf state = {};
	int lead = w.leader();

	if (lead < 0)
		return;
	node_replica_snapshot(w.in[(size_t)lead]->node, &state);
	printf("a snapshot is %.1f KB\n", (double)state.len / 1e3);
	buf_free(&state);
}

int
main(int argc, char **argv)
{
	Options o;
	uint64_t runs;
	std::vector<uint64_t> team_runs;

	(void)setvbuf(stdout, nullptr, _IOLBF, 0);
	if (!parse(&o, argc, argv)) {
		fputs(usage, stderr);
		return 2;
	}
	World w(o);
	uint64_t from = w.now;
	bool ready = w.run_until(900000000, [&] {
		return w.leader() >= 0 &&
		    member_view_count(w.in[(size_t)w.leader()]->node->view) ==
		    (size_t)o.instances &&
		    w.all_act();
	});
	printf("instances %d, voters %d, regions %d, endpoints %d, requests "
	       "%g/s each, changes %g/s, %d teams of %d adapters\n",
	    o.instances, o.voters, o.regions, o.endpoints, o.requests,
	    o.changes, o.teams, o.adapters);
	printf("all %zu are members after %.1f s%s\n", w.in.size(),
	    since(w, from), ready ? "" : " (NOT READY)");
	for (int t = 0; t < o.teams; t++) {
		w.put_document(t);
		w.run_until(
		    10000000, [&] { return w.accepted[(size_t)t] != 0; });
	}
	w.begin_load();
	w.run_for((uint64_t)o.warm * 1000000);
	w.reset_counts();
	runs = w.runs;
	team_runs = w.team_runs;
	w.run_for((uint64_t)o.seconds * 1000000);
	print_roles(w, o.seconds);
	print_snapshot(w);
	print_announcements(w, o.seconds);
	print_teams(w, team_runs, o.seconds);
	printf("HTTP bodies in %.2f KB/s an instance; an answer with addresses "
	       "costs %.1f us\n",
	    sum_of(*w.in.back(), o.seconds).http / 1e3,
	    w.time_get(o.instances - 1,
		"/v1/addresses?team=team-0&adapter=adapter-0"));
	if (o.requests > 0)
		printf("runs %.1f/s an instance, open on one %zu, refused "
		       "%llu, loads %llu\n",
		    (double)(w.runs - runs) / o.seconds / o.instances,
		    route_open_ask_count(w.in.back()->node->route),
		    (unsigned long long)w.refused, (unsigned long long)w.loads);
	if (o.changes == 0)
		for (int k = 0; k < 3; k++)
			time_change(w);
	if (o.fail) {
		time_owner(w);
		w.run_for(5000000);
		time_leader(w);
		w.run_for(5000000);
		time_rack(w, 20);
		w.run_for(5000000);
		time_cut(w);
	}
	return 0;
}
