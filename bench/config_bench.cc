#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster_world.h"
#include "mulberrypath/gateway.h"
#include "mulberrypath/settings.h"
#include "platform/platform.h"

/*
 * What a change of one route costs at different numbers of routes: reducers
 * alone on a virtual clock. The configuration is put at the leader as an
 * operator does it; CPU time is the thread's inside node_step, memory is what
 * malloc gave to an instance.
 */

static const char usage[] =
    "usage: bench_config [--routes N] [--cores N] [--entries N]\n"
    "    [--changes N]: of one route, measured\n"
    "    [--gap MS]: from one change to the next\n"
    "    [--memory N]: further changes, as fast as they are committed\n"
    "    [--grow N]: routes, added to the configuration by one change\n";

struct BenchOptions {
	int routes = 40, cores = 5, entries = 78, changes = 5, memory = 0;
	int grow = 0;
	uint64_t gap_ms = 1000;
};

static uint64_t
cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (uint64_t)t.tv_sec * 1000000000ULL + (uint64_t)t.tv_nsec;
}

struct BenchInstance {
	std::string ip;
	bool core = false;
	uint64_t disk = 0;
	struct settings *settings = nullptr;
	struct node *node = nullptr;
	/* since the last reset */
	uint64_t ns = 0, longest_ns = 0, sent = 0, saved = 0;
	int64_t held = 0, held_most = 0; /* bytes */
};

class BenchWorld {
      public:
	explicit BenchWorld(const BenchOptions &options) : o(options)
	{
		for (int i = 0; i < o.cores + o.entries; i++) {
			in.push_back(std::make_unique<BenchInstance>());
			in.back()->core = i < o.cores;
			in.back()->ip = "10.0." + std::to_string(i / 250) +
			    "." + std::to_string(i % 250 + 1);
			by_ip[in.back()->ip] = i;
			if (i < std::min(o.cores, 3))
				seeds += (i == 0 ? "\"" : ",\"") +
				    in.back()->ip + ":8000\"";
		}
		for (int i = 0; i < (int)in.size(); i++)
			start(i);
	}

	~BenchWorld()
	{
		for (auto &n : in) {
			node_destroy(n->node);
			settings_destroy(n->settings);
		}
		node_effects_destroy(fx);
	}

	bool
	run_until(uint64_t us, const std::function<bool()> &done)
	{
		uint64_t end = now + us;

		while (!done()) {
			auto first = timers.begin();

			if (first->first > end) {
				now = end;
				return done();
			}
			std::function<void()> run = std::move(first->second);
			now = std::max(now, first->first);
			timers.erase(first);
			run();
		}
		return true;
	}

	void
	run_for(uint64_t us)
	{
		(void)run_until(us, [] { return false; });
	}

	/* Sends a request; returns its status, 0: no answer in time. */
	int
	request(int i, enum node_listener listener, const char *method,
	    const char *path, const std::string &body, const char *host)
	{
		struct node_header header = {"host", host};
		struct node_event ev = {};
		uint64_t id = ++last_request;

		ev.type = NODE_EV_REQUEST;
		ev.u.request.request = id;
		ev.u.request.listener = listener;
		ev.u.request.method = method;
		ev.u.request.path = path;
		ev.u.request.headers = &header;
		ev.u.request.nheaders = 1;
		ev.u.request.body = {body.data(), body.size()};
		step(i, ev);
		run_until(5000000, [&] { return status.count(id) > 0; });
		return status.count(id) > 0 ? status[id] : 0;
	}

	/* Puts a configuration; returns the core that accepted it, or -1. */
	int
	put(const std::string &text)
	{
		for (int attempt = 0; attempt < 200; attempt++) {
			if (request(core, NODE_LISTEN_CONTROL, "PUT",
				"/api/configuration", text, "c") == 200)
				return core;
			core = (core + 1) % o.cores;
			run_for(200000);
		}
		return -1;
	}

	void
	reset()
	{
		for (auto &n : in) {
			n->ns = n->longest_ns = n->sent = n->saved = 0;
			n->held_most = n->held;
		}
	}

	BenchOptions o;
	uint64_t now = 1000000;
	int core = 0; /* that accepted the last change */
	std::vector<std::unique_ptr<BenchInstance>> in;

      private:
	void
	start(int i)
	{
		BenchInstance &n = *in[(size_t)i];
		struct settings_problems problems = {};
		struct node_boot boot = {};
		struct node_disk disk = {};
		struct mp_error err = {};
		std::string text = "{\"cluster\":\"c\",\"instance\":{\"name\":"
				   "\"m" +
		    std::to_string(i) +
		    "\",\"dataCentre\":\"z\",\"region\":\"r\"},\"http\":{"
		    "\"listen\":\"" +
		    n.ip + ":7390\"},\"bus\":{\"listen\":\"" + n.ip +
		    ":7000\"}," + (n.core ? "\"dataFolder\":\"d\"," : "") +
		    "\"seeds\":[" + seeds + "],\"gateway\":{" +
		    (n.core ? "\"control\":\"" + n.ip +
				":8000\",\"registry\":\"" + n.ip + ":8001\""
			    : "\"front\":\"" + n.ip +
				":9000\",\"readiness\":\"" + n.ip + ":9001\"") +
		    ",\"founding\":true,\"fenced\":true}}";

		if (settings_parse(&n.settings, text.data(), text.size(),
			&problems, &err) != MP_OK) {
			fprintf(stderr, "settings: %s\n", err.message);
			exit(1);
		}
		settings_problems_free(&problems);
		disk.incarnation = (uint64_t)i + 77;
		disk.fresh = true;
		boot.settings = n.settings;
		boot.incarnation = (uint64_t)i + 1000;
		boot.seed = (uint64_t)i + 1;
		boot.now_us = now;
		boot.wall_ms = 1780000000000;
		boot.disk = n.core ? &disk : nullptr;
		boot.codec = &platform_codec;
		if (node_create(&n.node, &boot, &err) != MP_OK) {
			fprintf(stderr, "node: %s\n", err.message);
			exit(1);
		}
		tick(i);
	}

	void
	at(uint64_t when, std::function<void()> run)
	{
		timers.emplace(when, std::move(run));
	}

	void
	tick(int i)
	{
		struct node_event ev = {};

		ev.type = NODE_EV_TICK;
		step(i, ev);
		at(std::max(node_next_tick(in[(size_t)i]->node), now + 1000),
		    [this, i] { tick(i); });
	}

	void
	step(int i, const struct node_event &ev)
	{
		BenchInstance &n = *in[(size_t)i];
		int64_t held = held_bytes;
		uint64_t begin = cpu_ns(), took;

		node_step(n.node, now, &ev, fx);
		took = cpu_ns() - begin;
		n.ns += took;
		n.longest_ns = std::max(n.longest_ns, took);
		n.held += held_bytes - held;
		n.held_most = std::max(n.held_most, n.held);
		execute(i);
		held = held_bytes;
		node_effects_clear(fx);
		n.held += held_bytes - held;
	}

	void
	execute(int i)
	{
		BenchInstance &n = *in[(size_t)i];

		for (size_t k = 0; k < node_effects_count(fx); k++) {
			const struct node_effect *e = node_effects_at(fx, k);

			if (e->type == NODE_FX_SEND)
				send(i, e->u.send);
			else if (e->type == NODE_FX_REPLY)
				status[e->u.reply.request] = e->u.reply.status;
			else if (e->type == NODE_FX_SAVE)
				save(i, e->u.save);
			if (e->type == NODE_FX_SAVE &&
			    e->u.save.kind == NODE_SAVE_APPEND)
				n.saved += e->u.save.data.len;
		}
	}

	void
	save(int i, const struct node_save &s)
	{
		uint64_t ticket = s.ticket;

		if (ticket != 0)
			at(now + 800, [this, i, ticket] {
				struct node_event ev = {};

				ev.type = NODE_EV_SAVED;
				ev.u.saved.ticket = ticket;
				ev.u.saved.ok = true;
				step(i, ev);
			});
	}

	void
	send(int i, const struct node_send &s)
	{
		std::string address = s.address;
		auto to = by_ip.find(address.substr(0, address.find(':')));
		auto bytes =
		    std::make_shared<std::string>(s.bytes.data, s.bytes.len);
		int receiver;

		in[(size_t)i]->sent += s.bytes.len;
		if (to == by_ip.end())
			return;
		receiver = to->second;
		at(now + 1000, [this, i, receiver, bytes] {
			struct node_event ev = {};

			ev.type = NODE_EV_MESSAGE;
			ev.u.message.from = in[(size_t)i]->settings->id;
			ev.u.message.bytes = {bytes->data(), bytes->size()};
			step(receiver, ev);
		});
	}

	std::multimap<uint64_t, std::function<void()>> timers;
	std::map<std::string, int> by_ip;
	std::map<uint64_t, int> status;
	std::string seeds;
	uint64_t last_request = 0;
	struct node_effects *fx = node_effects_create();
};

/* About 255 bytes a route, as in the sizes of deployment B. */
static std::string
route_text(int i, uint64_t version)
{
	std::string n = std::to_string(i);

	return "{\"name\":\"route-" + n + "\",\"host\":\"service-" + n +
	    ".apps.example\",\"path_prefix\":\"/v" + std::to_string(i % 7) +
	    "/part-" + n + "/\",\"type\":\"non_idempotent\",\"timeout_ms\":" +
	    std::to_string(2000 + version % 1000) +
	    ",\"service\":\"app\",\"comment\":\"owned by team " + n +
	    ", changed when its service moves; see the register of routes "
	    "for whom to ask and until when\"}";
}

static std::string
config_text(const std::vector<std::string> &routes, uint64_t version)
{
	std::string text = "{\"version\":" + std::to_string(version) +
	    ",\"services\":[{\"name\":\"app\"}],\"routes\":[";

	for (size_t i = 0; i < routes.size(); i++)
		text += (i == 0 ? "" : ",") + routes[i];
	return text + "]}";
}

static bool
parse(BenchOptions *o, int argc, char **argv)
{
	for (int i = 1; i + 1 < argc; i += 2) {
		std::string name = argv[i];
		int value = atoi(argv[i + 1]);

		if (name == "--routes")
			o->routes = value;
		else if (name == "--cores")
			o->cores = value;
		else if (name == "--entries")
			o->entries = value;
		else if (name == "--changes")
			o->changes = value;
		else if (name == "--memory")
			o->memory = value;
		else if (name == "--grow")
			o->grow = value;
		else if (name == "--gap")
			o->gap_ms = (uint64_t)value;
		else
			return false;
	}
	return argc % 2 == 1 && o->routes > 0 && o->cores > 0 &&
	    o->entries > 0 && o->changes > 0;
}

struct Totals {
	double sent = 0, saved = 0, leader_ms = 0, entry_ms = 0;
	double leader_longest_ms = 0, entry_longest_ms = 0;
};

static Totals
totals(const BenchWorld &w)
{
	Totals t;

	for (size_t i = 0; i < w.in.size(); i++) {
		const BenchInstance &n = *w.in[i];

		t.sent += (double)n.sent;
		if ((int)i == w.core) {
			t.saved = (double)n.saved;
			t.leader_ms = (double)n.ns / 1e6;
			t.leader_longest_ms = (double)n.longest_ns / 1e6;
		} else if (!n.core) {
			t.entry_ms += (double)n.ns / 1e6 / w.o.entries;
			t.entry_longest_ms = std::max(
			    t.entry_longest_ms, (double)n.longest_ns / 1e6);
		}
	}
	return t;
}

/* Mean CPU time of a request that no route matches; refused at once. */
static double
time_lookup(BenchWorld &w)
{
	const int count = 2000;
	int entry = w.o.cores, refused = 0;

	w.reset();
	for (int i = 0; i < count; i++)
		refused += w.request(entry, NODE_LISTEN_FRONT, "GET",
			       "/v1/none/of/them", "",
			       "service-1.apps.example") == 404;
	if (refused < count)
		printf("%d of %d look-ups were not answered with 404\n",
		    count - refused, count);
	return (double)w.in[(size_t)entry]->ns / 1e3 / count;
}

static void
print_memory(const BenchWorld &w, const char *when)
{
	int64_t core = 0, entry = 0, core_most = 0, entry_most = 0;

	for (auto &n : w.in) {
		int64_t &held = n->core ? core : entry;
		int64_t &most = n->core ? core_most : entry_most;

		held = std::max(held, n->held);
		most = std::max(most, n->held_most);
	}
	printf("memory %s: a core holds %.2f MB, at most %.2f MB; an entry "
	       "%.2f MB, at most %.2f MB\n",
	    when, (double)core / 1e6, (double)core_most / 1e6,
	    (double)entry / 1e6, (double)entry_most / 1e6);
}

int
main(int argc, char **argv)
{
	BenchOptions o;
	std::vector<std::string> routes;
	uint64_t version = 1;
	Totals idle, t;

	(void)setvbuf(stdout, nullptr, _IOLBF, 0);
	if (!parse(&o, argc, argv)) {
		fputs(usage, stderr);
		return 2;
	}
	for (int i = 0; i < o.routes; i++)
		routes.push_back(route_text(i, 0));
	BenchWorld w(o);
	w.run_for(20000000);
	if (w.put(config_text(routes, version)) < 0) {
		fprintf(stderr, "no configuration was accepted\n");
		return 1;
	}
	w.run_for(5000000);
	printf("routes %d, text %.1f KB, instances %zu\n", o.routes,
	    (double)config_text(routes, version).size() / 1e3, w.in.size());
	printf(
	    "look-up of a request without a route: %.1f us\n", time_lookup(w));
	w.run_for(2000000);
	w.reset();
	w.run_for((uint64_t)o.changes * o.gap_ms * 1000);
	idle = totals(w);
	w.reset();
	for (int k = 0; k < o.changes; k++) {
		uint64_t next = w.now + o.gap_ms * 1000;

		version++;
		routes[(size_t)(k * 7) % routes.size()] =
		    route_text(k * 7 % o.routes, version);
		if (w.put(config_text(routes, version)) < 0)
			printf("a change was not accepted\n");
		if (w.now < next)
			w.run_for(next - w.now);
	}
	t = totals(w);
	printf("a change: log %.0f bytes, sent by all %.0f bytes, CPU at the "
	       "leader %.3f ms, at an entry %.3f ms\n",
	    (t.saved - idle.saved) / o.changes,
	    (t.sent - idle.sent) / o.changes,
	    (t.leader_ms - idle.leader_ms) / o.changes,
	    (t.entry_ms - idle.entry_ms) / o.changes);
	printf("longest step: leader %.3f ms, an entry %.3f ms\n",
	    t.leader_longest_ms, t.entry_longest_ms);
	print_memory(w, "now");
	for (int i = 0; i < o.grow; i++)
		routes.push_back(route_text(o.routes + i, 0));
	if (o.grow > 0) {
		w.reset();
		if (w.put(config_text(routes, ++version)) < 0)
			printf("the growth was not accepted\n");
		w.run_for(5000000);
		t = totals(w);
		printf("growth by %d routes: longest step: leader %.3f ms, an "
		       "entry %.3f ms\n",
		    o.grow, t.leader_longest_ms, t.entry_longest_ms);
	}
	if (o.memory == 0)
		return 0;
	w.reset();
	for (int k = 0; k < o.memory; k++) {
		version++;
		routes[(size_t)(k * 7) % routes.size()] =
		    route_text(k * 7 % o.routes, version);
		if (w.put(config_text(routes, version)) < 0)
			printf("a change was not accepted\n");
	}
	w.run_for(2000000);
	std::string when = "after " + std::to_string(o.memory) + " changes";
	print_memory(w, when.c_str());
	return 0;
}
