#include "cluster_world.h"

#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <jansson.h>
#include <malloc.h>

/* ---- memory: count what is held, whoever asked for it ------------------- */

int64_t held_bytes;

#ifndef __SANITIZE_ADDRESS__ /* which has its own */
extern "C" {
void *__libc_malloc(size_t n);
void *__libc_calloc(size_t n, size_t m);
void *__libc_realloc(void *p, size_t n);
void __libc_free(void *p);

void *
malloc(size_t n)
{
	void *p = __libc_malloc(n);

	held_bytes += (int64_t)malloc_usable_size(p);
	return p;
}

void *
calloc(size_t n, size_t m)
{
	void *p = __libc_calloc(n, m);

	held_bytes += (int64_t)malloc_usable_size(p);
	return p;
}

void *
realloc(void *old, size_t n)
{
	held_bytes -= (int64_t)malloc_usable_size(old);
	void *p = __libc_realloc(old, n);

	held_bytes += (int64_t)malloc_usable_size(p);
	return p;
}

void
free(void *p)
{
	held_bytes -= (int64_t)malloc_usable_size(p);
	__libc_free(p);
}
}
#endif

static uint64_t
cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (uint64_t)t.tv_sec * 1000000000ULL + (uint64_t)t.tv_nsec;
}

/* What one reading of the clock costs, to be taken off. */
static uint64_t
clock_cost(void)
{
	uint64_t begin = cpu_ns();

	for (int i = 0; i < 10000; i++)
		(void)cpu_ns();
	return (cpu_ns() - begin) / 10000;
}

/* ---- set up ---------------------------------------------------------------
 */

static std::string
address_of(int i, int port)
{
	return "10.0." + std::to_string(i / 250) + "." +
	    std::to_string(i % 250 + 1) + ":" + std::to_string(port);
}

World::World(const Options &options) : o(options)
{
	static char any[] = "*";
	static char *teams[] = {any};
	static char hash[65], name[] = "op";

	rng_seed(&rng, 1);
	fx = node_effects_create();
	doc_hash_token(hash, "op");
	operators.push_back({name, hash, teams, 1});
	revisions.assign((size_t)o.teams, 0);
	accepted.assign((size_t)o.teams, 0);
	team_runs.assign((size_t)o.teams, 0);
	for (int i = 0; i < o.instances; i++) {
		struct settings_peer peer = {};

		peer.id = (uint32_t)i + 1;
		peer.bus = strdup(address_of(i, 90).c_str());
		/* Voters are spread over the regions. */
		peer.voter = i < o.voters;
		peers.push_back(peer);
	}
	for (int i = 0; i < o.instances; i++) {
		auto n = std::make_unique<Inst>();

		n->id = (uint32_t)i + 1;
		n->region = i % o.regions;
		n->disk = i < o.voters ? rng_u64(&rng) | 1 : 0;
		in.push_back(std::move(n));
	}
	for (int i = 0; i < o.instances * o.endpoints; i++) {
		auto e = std::make_unique<Engine>();

		e->id = "e" + std::to_string(i);
		e->region = i % o.regions;
		e->announcer.short_form = !o.full;
		e->address = "10.9." + std::to_string(i / 250) + "." +
		    std::to_string(i % 250 + 1) + ":80";
		by_address[e->address] = e.get();
		engines.push_back(std::move(e));
	}
	for (int i = 0; i < o.instances; i++)
		start(i);
}

World::~World()
{
	for (auto &n : in)
		node_destroy(n->node);
	node_effects_destroy(fx);
}

void
World::start(int i)
{
	Inst &n = *in[(size_t)i];
	struct settings &s = n.settings;
	struct node_disk disk = {};
	struct node_boot boot = {};
	struct mp_error err = {};
	int64_t before;
	auto keep = [&n](const std::string &text) {
		n.strings.push_back(text);
		return const_cast<char *>(n.strings.back().c_str());
	};

	n.strings.reserve(20);
	s.cluster = keep("bench");
	s.id = n.id;
	s.name = keep("ee-tln-a-" + std::to_string(n.id));
	s.data_centre = keep("dc-" + std::to_string(i % (2 * o.regions)));
	s.region = keep("region-" + std::to_string(n.region));
	s.http_advertise = keep(address_of(i, 80));
	s.bus_advertise = keep(address_of(i, 90));
	s.peers = peers.data();
	s.npeers = peers.size();
	s.operators = operators.data();
	s.noperators = operators.size();
	s.objective = SETTINGS_LOAD_STALL;
	s.charge = SETTINGS_CHARGE_TOKENS;
	s.policy = keep("fair");
	s.store_loads_per_second_milli = (uint32_t)o.instances * 4000;
	s.store_in_flight = (uint32_t)o.instances * 4;
	s.load_ms = 250;
	s.address_lifetime_ms = 10000;
	s.request_timeout_ms = 30000;
	disk.incarnation = n.disk;
	disk.fresh = true;
	boot.settings = &s;
	boot.incarnation = rng_u64(&rng) | 1;
	boot.seed = rng_u64(&rng);
	boot.now_us = now;
	boot.disk = n.disk != 0 ? &disk : nullptr;
	before = held_bytes;
	if (node_create(&n.node, &boot, &err) != 0) {
		fprintf(stderr, "cannot start: %s\n", err.message);
		exit(1);
	}
	n.c.state = held_bytes - before;
	n.alive = true;
	at(now + rng_below(&rng, 10000), [this, i] { tick(i); });
}

void
World::kill(int i)
{
	in[(size_t)i]->alive = false;
}

/* ---- time -----------------------------------------------------------------
 */

void
World::at(uint64_t when, std::function<void()> run)
{
	queue.push({when, serial++, std::move(run)});
}

bool
World::run_until(uint64_t us, const std::function<bool()> &holds)
{
	uint64_t end = now + us, check = now;

	while (!queue.empty() && queue.top().at <= end) {
		auto run = std::move(const_cast<Timed &>(queue.top()).run);

		now = queue.top().at;
		queue.pop();
		run();
		if (now >= check) {
			check = now + 1000;
			if (holds())
				return true;
		}
	}
	now = end;
	return holds();
}

void
World::run_for(uint64_t us)
{
	run_until(us, [] { return false; });
}

void
World::tick(int i)
{
	struct node_event ev = {};

	if (!in[(size_t)i]->alive)
		return;
	ev.type = NODE_EV_TICK;
	step(i, ev, 0);
	at(now + NODE_TICK_US, [this, i] { tick(i); });
}

/* kind: 0 a tick, 1 a request, 2 a call's progress, 3 a save, else a body. */
void
World::step(int i, const struct node_event &ev, int kind)
{
	static const uint64_t cost = clock_cost();
	Inst &n = *in[(size_t)i];
	uint64_t begin, spent;
	int64_t grown;

	if (!n.alive)
		return;
	node_effects_clear(fx);
	grown = -held_bytes;
	begin = cpu_ns();
	node_step(n.node, now, &ev, fx);
	spent = cpu_ns() - begin;
	spent = spent > cost ? spent - cost : 0;
	grown += held_bytes;
	execute(i, fx);
	grown -= held_bytes;
	node_effects_clear(fx);
	grown += held_bytes;
	n.c.state += grown;
	n.c.ns += spent;
	n.c.step_ns[kind] += spent;
	n.c.steps++;
}

void
World::execute(int i, const struct node_effects *effects)
{
	for (size_t k = 0; k < node_effects_count(effects); k++) {
		const struct node_effect *e = node_effects_at(effects, k);

		switch (e->type) {
		case NODE_FX_SEND:
			do_send(i, e->u.send);
			break;
		case NODE_FX_CALL:
			do_call(i, e->u.call);
			break;
		case NODE_FX_SAVE: {
			uint64_t ticket = e->u.save.ticket;

			if (ticket == 0)
				break;
			at(now + 800, [this, i, ticket] {
				struct node_event saved = {};

				saved.type = NODE_EV_SAVED;
				saved.u.saved.ticket = ticket;
				saved.u.saved.ok = true;
				step(i, saved, 3);
			});
			break;
		}
		case NODE_FX_REPLY: {
			const struct node_reply &r = e->u.reply;
			auto w = waiting.find((uint64_t)i << 40 | r.request);

			if (r.status == 200)
				answered++;
			else
				refused++;
			if (w == waiting.end())
				break;
			auto call = std::move(w->second);

			waiting.erase(w);
			call(r.status, std::string(r.body.data, r.body.len));
			break;
		}
		default:
			break;
		}
	}
}

static int
kind_of(const char *bytes, size_t len)
{
	Wire__Envelope *e =
	    wire__envelope__unpack(nullptr, len, (const uint8_t *)bytes);
	int kind = e == nullptr ? 0 : (int)e->body_case;

	if (e != nullptr)
		wire__envelope__free_unpacked(e, nullptr);
	return kind;
}

void
World::do_send(int i, const struct node_send &s)
{
	Inst &n = *in[(size_t)i];
	int to = (int)s.to - 1, kind = kind_of(s.bytes.data, s.bytes.len);
	auto bytes = std::make_shared<std::string>(s.bytes.data, s.bytes.len);
	uint64_t delay = in[(size_t)to]->region == n.region ? 300 : 20000;

	if ((n.region == cut_region) != (in[(size_t)to]->region == cut_region))
		return;
	n.c.out[kind]++;
	n.c.out_bytes[kind] += s.bytes.len;
	at(now + delay + rng_below(&rng, 200), [this, i, to, kind, bytes] {
		Inst &t = *in[(size_t)to];
		struct node_event ev = {};

		t.c.in[kind]++;
		t.c.in_bytes[kind] += bytes->size();
		ev.type = NODE_EV_MESSAGE;
		ev.u.message.from = (uint32_t)i + 1;
		ev.u.message.bytes = {bytes->data(), bytes->size()};
		step(to, ev, kind);
	});
}

/* ---- engines ----------------------------------------------------------------
 */

static std::string
json_field(const struct node_bytes &body, const char *name)
{
	json_t *root = json_loadb(body.data, body.len, 0, nullptr);
	const json_t *v = json_object_get(root, name);
	std::string out;

	if (json_is_string(v))
		out = json_string_value(v);
	else if (json_is_integer(v))
		out = std::to_string(json_integer_value(v));
	json_decref(root);
	return out;
}

void
World::call_event(int i, uint64_t after, uint64_t call,
    enum node_call_phase phase, int status, std::string data)
{
	at(now + after, [this, i, call, phase, status, data] {
		struct node_event ev = {};

		ev.type = NODE_EV_CALL;
		ev.u.call.call = call;
		ev.u.call.phase = phase;
		ev.u.call.status = status;
		ev.u.call.data = {data.data(), data.size()};
		ev.u.call.reason = "bench";
		step(i, ev, 2);
	});
}

void
World::do_call(int i, const struct node_call &c)
{
	Engine *e = by_address[c.address];
	std::string path = c.path, id, key;

	if (e == nullptr)
		return;
	if (on_call)
		on_call(i, c);
	for (size_t k = 0; k < c.nheaders; k++)
		if (strcmp(c.headers[k].name, "mulberrypath-request") == 0)
			id = c.headers[k].value;
	if (path == "/v1/completions") {
		run_engine(e, i, c.call, id, json_field(c.body, "model"),
		    (uint32_t)atoi(json_field(c.body, "max_tokens").c_str()));
		return;
	}
	key = json_field(c.body, "adapter");
	if (path == "/v1/adapters/load") {
		uint64_t call = c.call;

		loads++;
		at(now + 250000, [this, i, e, key, call] {
			e->running.emplace(key, 0);
			call_event(i, 300, call, NODE_CALL_HEAD, 200, "");
		});
		return;
	}
	if (path == "/v1/adapters/evict")
		e->running.erase(key);
	call_event(i, 600, c.call, NODE_CALL_HEAD, 200, "");
}

void
World::run_engine(Engine *e, int i, uint64_t call, std::string id,
    std::string key, uint32_t max)
{
	int status = e->running.count(key) == 0 ? 409
	    : e->busy >= e->seats		? 503
						: 200;

	call_event(i, 600, call, NODE_CALL_HEAD, status, "");
	if (status != 200) {
		call_event(i, 700, call, NODE_CALL_END, 0, "");
		return;
	}
	runs++;
	team_runs[(size_t)atoi(key.c_str() + strlen("team-"))]++;
	e->busy++;
	e->running[key]++;
	at(now + 80000, [this, e, i, call, id, key, max] {
		token_event(e, i, call, id, key, 0, max);
	});
}

void
World::token_event(Engine *e, int i, uint64_t call, std::string id,
    std::string key, uint32_t next, uint32_t max)
{
	uint32_t group = next == 0 ? 1 : max / o.events + 1;
	uint32_t count = next + group > max ? max - next : group;
	bool last = next + count >= max;
	std::string text = "data: {\"id\": \"" + id + "\", \"model\": \"" +
	    key + "\", \"offset\": " + std::to_string(next) +
	    ", \"tokens\": " + std::to_string(count) +
	    ", \"choices\": [{\"index\": 0, \"text\": \"t\"" +
	    (last ? ", \"finish_reason\": \"length\"" : "") + "}]}\n\n";

	if (last)
		text += "data: [DONE]\n\n";
	call_event(i, 300, call, NODE_CALL_DATA, 0, text);
	if (last) {
		call_event(i, 400, call, NODE_CALL_END, 0, "");
		e->busy--;
		if (e->running.count(key) > 0)
			e->running[key]--;
		return;
	}
	next += count;
	at(now + (uint64_t)count * o.token_us,
	    [this, e, i, call, id, key, next, max] {
		    token_event(e, i, call, id, key, next, max);
	    });
}

/* The owner of an engine, as its region sees it; -1: none. */
int
World::owner_of(const Engine &e, const std::string &region) const
{
	const struct node *any = nullptr;
	uint32_t owner;

	for (auto &n : in)
		if (n->alive && (any == nullptr || n->region == e.region)) {
			any = n->node;
			if (n->region == e.region)
				break;
		}
	owner = member_owner_of(any->view, region.c_str(), e.id.c_str());
	return owner == 0 || !in[owner - 1]->alive ? -1 : (int)owner - 1;
}

void
World::announce_once(Engine *e)
{
	std::string region = "region-" + std::to_string(e->region), body;
	std::vector<Announcer::Adapter> adapters;
	int owner = owner_of(*e, region);
	uint64_t id;

	if (owner < 0)
		return;
	for (auto &slot : e->running)
		adapters.push_back({slot.first, false, slot.second});
	body = e->announcer.next(e->id, 1,
	    "\"address\": \"" + e->address + "\", \"region\": \"" + region +
		"\", \"dataCentre\": \"dc\", \"type\": \"engine\", "
		"\"baseModel\": \"base\", \"slots\": " +
		std::to_string(e->slots) +
		", \"seats\": " + std::to_string(e->seats) +
		", \"fencing\": \"checked\", \"leaving\": false",
	    "\"load\": {\"running\": " + std::to_string(e->busy) +
		", \"queued\": 0, \"asOfMs\": 10}",
	    adapters);
	in[(size_t)owner]->c.announced++;
	in[(size_t)owner]->c.announced_bytes += body.size();
	id = request(owner, "POST", "/v1/endpoints/announce", "", body);
	waiting[(uint64_t)owner << 40 | id] = [this, e](int status,
						  std::string answer) {
		e->announcer.on_answer(status, answer);
		if (!o.full && e->announcer.must_send_full())
			at(now + 300, [this, e] { announce_once(e); });
	};
}

void
World::announce(Engine *e)
{
	at(now + 1000000, [this, e] { announce(e); });
	announce_once(e);
}

/* ---- callers
 * ------------------------------------------------------------------ */

uint64_t
World::request(int i, const std::string &method, const std::string &path,
    const std::string &token, const std::string &body)
{
	uint64_t id = ++next_request;
	std::string bearer = "Bearer " + token;
	Inst &n = *in[(size_t)i];

	at(now, [this, i, id, method, path, bearer, body] {
		struct node_event ev = {};

		ev.type = NODE_EV_REQUEST;
		ev.u.request.request = id;
		ev.u.request.method = method.c_str();
		ev.u.request.path = path.c_str();
		ev.u.request.authorization = bearer.c_str();
		ev.u.request.body = {body.data(), body.size()};
		step(i, ev, 1);
	});
	n.c.http++;
	n.c.http_bytes += body.size();
	return id;
}

double
World::time_get(int i, const std::string &path)
{
	static const int count = 1000;
	uint64_t before = in[(size_t)i]->c.ns;

	for (int k = 0; k < count; k++) {
		(void)request(i, "GET", path, "op", "");
		run_for(10);
	}
	return (double)(in[(size_t)i]->c.ns - before) / 1e3 / count;
}

void
World::request_loop(int i)
{
	double gap = -log(1.0 - rng_unit(&rng)) / o.requests, u;
	std::string team, adapter;

	if (!in[(size_t)i]->alive)
		return;
	at(now + (uint64_t)(gap * 1e6) + 1, [this, i] { request_loop(i); });
	u = rng_unit(&rng);
	team = "team-" + std::to_string(rng_below(&rng, (uint32_t)o.teams));
	if (o.hot > 0 && rng_unit(&rng) < o.hot)
		team = "team-0";
	adapter = "adapter-" + std::to_string((int)(u * u * o.adapters));
	(void)request(i, "POST", "/v1/completions", team,
	    "{\"model\": \"" + adapter +
		"\", \"prompt\": \"Reply to the letter.\", \"max_tokens\": " +
		std::to_string(o.tokens) + ", \"stream\": true}");
}

void
World::put_document(int team)
{
	std::string name = "team-" + std::to_string(team), body;
	uint64_t revision = revisions[(size_t)team];
	uint64_t id;
	char hash[65];
	int to = o.voters + (int)(changes % (uint64_t)(o.instances - o.voters));

	while (!in[(size_t)to]->alive)
		to = (to + 1) % o.instances;
	doc_hash_token(hash, name.c_str());
	body = "{\"team\": \"" + name + "\", \"tokens\": [\"" + hash +
	    "\"], \"weight\": " + std::to_string(changes % 9 + 1) +
	    ", \"kinds\": {\"draft\": {\"weight\": 1, \"priority\": 1, "
	    "\"deadlineMs\": 30000, \"maxTokens\": 1024}}, \"adapters\": {";
	for (int i = 0; i < o.adapters; i++)
		body += (i == 0 ? "\"adapter-" : ", \"adapter-") +
		    std::to_string(i) +
		    "\": {\"version\": \"1\", \"baseModel\": \"base\", "
		    "\"kind\": \"draft\"}";
	body += "}}";
	id = request(to, "PUT",
	    "/v1/documents/" + name + "?revision=" + std::to_string(revision) +
		"&change=c" + std::to_string(++changes),
	    "op", body);
	waiting[(uint64_t)to << 40 | id] = [this, team](
					       int status, std::string text) {
		struct node_bytes bytes = {text.data(), text.size()};

		if (status != 200)
			return;
		revisions[(size_t)team] = strtoull(
		    json_field(bytes, "revision").c_str(), nullptr, 10);
		accepted[(size_t)team] =
		    strtoull(json_field(bytes, "index").c_str(), nullptr, 10);
	};
}

void
World::change_loop(int nth)
{
	at(now + (uint64_t)(1e6 / o.changes),
	    [this, nth] { change_loop(nth + 1); });
	put_document(nth % o.teams);
}

/* Start engines, callers and changes, each at its own time. */
void
World::begin_load()
{
	for (auto &e : engines) {
		Engine *engine = e.get();

		at(now + rng_below(&rng, 1000000),
		    [this, engine] { announce(engine); });
	}
	for (int i = 0; o.requests > 0 && i < o.instances; i++)
		at(now + 3000000, [this, i] { request_loop(i); });
	if (o.changes > 0)
		at(now + 1000, [this] { change_loop(0); });
}

int
World::leader() const
{
	for (size_t i = 0; i < in.size(); i++)
		if (in[i]->alive && in[i]->node->raft != nullptr &&
		    raft_authority_until(in[i]->node->raft) > now)
			return (int)i;
	return -1;
}

bool
World::all_act() const
{
	for (auto &n : in)
		if (n->alive && !node_may_act(n->node))
			return false;
	return true;
}

void
World::reset_counts()
{
	for (auto &n : in) {
		int64_t state = n->c.state;

		n->c = Counts();
		n->c.state = state;
	}
}
