#include "fleet.h"

#include <jansson.h>

#include <cmath>

static const uint64_t kBeatUs = 1200 * MS, kLoadUs = 250 * MS;
static const uint64_t kLateOrderUs = 2000 * MS, kLeaseUs = 3000 * MS;
static const double kTokensPerMs = 25.8, kSkew = 1.2;
static const int kAdapters = 10000, kSlots = 6, kWayUs = 500;
/* Adapters that an engine unloaded last load ten times as fast. */
static const size_t kLatelyMax = 30;

static std::string
engines_config()
{
	return R"({"version":1,"routes":[
	{"name":"r","host":"h.example","path_prefix":"/p/",
	 "type":"non_idempotent","timeout_ms":600,"target_latency_ms":100,
	 "service":"app"},
	{"name":"s","host":"h.example","path_prefix":"/lm/",
	 "type":"streaming","timeout_ms":4000,"target_latency_ms":800,
	 "target_gap_ms":300,"sticky":true,"service":"lm","max_attempts":1}],
	"services":[{"name":"app"},{"name":"lm","engine":{"slots":64,
	 "kv_capacity_tokens":146943,"adapter_slots":6,"weights_mb":35000,
	 "loads_per_s":42,"models":[{"name":"m","weights_mb":34300,
	 "load_s":2,"adapters":10000,"adapter_size_mb":40}]}}]})";
}

Fleet::Fleet(const Options &options)
    : world(options.cores, options.entries), options(options),
      random(options.seed)
{
	double sum = 0;

	for (int i = 1; i <= kAdapters; i++) {
		sum += std::pow(i, -kSkew);
		popularity.push_back(sum);
	}
	for (int i = 0; i < options.engines + options.apps; i++) {
		Engine e;

		e.app = i >= options.engines;
		e.id = "i" + std::to_string(i);
		e.address = "10.9." + std::to_string(i / 200) + "." +
		    std::to_string(i % 200) + ":80";
		engines.push_back(e);
	}
	world.on_call = [this](const World::Sent &call) {
		world.at(world.now + kWayUs, [this, call] { on_call(call); });
	};
	world.break_silent = true;
	world.on_reply = [this](uint64_t request) {
		auto r = requests.find(request);

		if (r == requests.end())
			return;
		r->second.status = world.replies[request].status;
		if (r->second.first_us == 0 && r->second.status == 200)
			r->second.first_us = world.now;
	};
}

double
Fleet::uniform()
{
	return std::uniform_real_distribution<double>(0, 1)(random);
}

std::string
Fleet::adapter()
{
	double u = uniform() * popularity.back();

	return "a" +
	    std::to_string(
		std::lower_bound(popularity.begin(), popularity.end(), u) -
		popularity.begin());
}

/* Tokens: most prompts are short, a few are very long. */
unsigned
Fleet::prompt()
{
	std::lognormal_distribution<double> own(std::log(1800) - 0.5, 1);

	return 568 + (unsigned)std::min(own(random), 6870.0);
}

/* ---- endpoints ---- */

std::string
Fleet::report(const Engine &e) const
{
	std::string loaded, pending;

	for (auto &a : e.there)
		if (a.second <= world.now)
			loaded +=
			    (loaded.empty() ? "\"" : ",\"") + a.first + "@1\"";
		else
			pending += (pending.empty() ? "\"m/" : ",\"m/") +
			    a.first + "@1\"";
	return "{\"phase\":\"combined\",\"busy\":false,\"models\":[{\"name\":"
	       "\"m\",\"version\":1,\"adapters\":[" +
	    loaded + "]}],\"pending\":[" + pending +
	    "],\"sequence\":" + std::to_string(e.orders) + "}";
}

void
Fleet::announce(size_t i)
{
	Engine &e = engines[i];
	int core = (int)(random() % (unsigned)options.cores);
	std::string models = e.app
	    ? ""
	    : ",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
	std::string body = "{\"service\":\"" +
	    std::string(e.app ? "app" : "lm") + "\",\"address\":\"" +
	    e.address + "\",\"zone\":\"z\",\"slots\":" + (e.app ? "6" : "64") +
	    ",\"state\":\"ready\",\"born\":1,\"sequence\":" +
	    std::to_string(++e.sequence) + models + "}";
	std::string path = "/api/instances/" + e.id;

	world.feed(core, [this, core, path, body] {
		(void)world.request(
		    core, NODE_LISTEN_CONTROL, "PUT", path, body);
	});
}

void
Fleet::beat(size_t i)
{
	announce(i);
	world.at(world.now + kBeatUs, [this, i] { beat(i); });
}

void
Fleet::reply(uint64_t delay_us, const World::Sent &call, int status,
    const std::string &body)
{
	world.at(world.now + delay_us, [this, call, status, body] {
		world.feed(call.machine, [this, call, status, body] {
			world.answer(call, status, body);
		});
	});
}

int
Fleet::machine_of(const std::string &name) const
{
	return std::stoi(name.substr(1)); /* World names them m0, m1, ... */
}

struct Order {
	std::string what; /* the adapter */
	bool load, expects;
	uint64_t expected, fence;
	int holder;

	explicit Order(const std::string &body, const Fleet &fleet)
	{
		json_t *root = json_loadb(body.data(), body.size(), 0, nullptr);
		json_t *count = json_object_get(root, "expected");

		what =
		    json_string_value(json_object_get(root, "adapter")) ?: "";
		load = strcmp(json_string_value(
				  json_object_get(root, "operation")),
			   "load") == 0;
		expects = count != nullptr;
		expected = (uint64_t)json_integer_value(count);
		fence = (uint64_t)json_integer_value(
		    json_object_get(root, "fencing_token"));
		holder = fleet.machine_of(
		    json_string_value(json_object_get(root, "holder")));
		json_decref(root);
	}
};

bool
Fleet::in_touch(int machine) const
{
	auto out = out_until.find(machine);

	return out == out_until.end() || world.now >= out->second;
}

/* Who orders the engine, as it sees the orders arrive. */
void
Fleet::note_holder(Engine &e, const World::Sent &call)
{
	Order o(call.body, *this);

	fences_back += o.fence < e.fence;
	turns += e.holder >= 0 && e.holder != o.holder &&
	    world.now < e.ordered_us + kLeaseUs && in_touch(o.holder) &&
	    in_touch(e.holder);
	e.fence = std::max(e.fence, o.fence);
	e.holder = o.holder;
	e.ordered_us = world.now;
}

/* Carry out an order: the status of its answer. */
int
Fleet::order(Engine &e, const World::Sent &call)
{
	Order o(call.body, *this);
	bool lately = false;
	int loading = 0;

	if (o.fence < e.fence)
		return 412;
	if (o.expects && o.expected != e.orders)
		return 409;
	if (o.load && e.there.count(o.what) > 0)
		return 200;
	e.orders++;
	if (!o.load) {
		e.there.erase(o.what);
		e.lately.push_back(o.what);
		if (e.lately.size() > kLatelyMax)
			e.lately.pop_front();
		return 200;
	}
	for (auto &name : e.lately)
		lately |= name == o.what;
	e.there[o.what] = world.now + (lately ? kLoadUs / 10 : kLoadUs);
	e.crashed |= e.there.size() > kSlots;
	for (auto &other : engines)
		for (auto &a : other.there)
			loading += a.second > world.now;
	most_at_once = std::max(most_at_once, loading);
	return 202;
}

void
Fleet::on_order(Engine &e, const World::Sent &call)
{
	if (on_order_given)
		on_order_given();
	note_holder(e, call);
	if (uniform() >= options.orders_lost) {
		reply(kWayUs, call, order(e, call), "");
		return;
	}
	world.at(world.now + kLateOrderUs,
	    [this, &e, call] { (void)order(e, call); });
}

void
Fleet::on_request(Engine &e, const World::Sent &call)
{
	auto model = call.headers.find("Mulberrypath-Model");
	auto usage = call.headers.find("Mulberrypath-Token-Usage");
	uint64_t read_us;
	std::string name;

	e.requests++;
	if (e.app) {
		reply(15 * MS, call, 200, "answer");
		return;
	}
	if (model == call.headers.end() || usage == call.headers.end()) {
		ADD_FAILURE() << "a model request without its headers";
		return;
	}
	name = model->second.substr(model->second.find('/') + 1);
	if (e.there.count(name) == 0 || e.there[name] > world.now) {
		e.lacking++;
		reply(kWayUs, call, 421, "");
		return;
	}
	read_us = (uint64_t)(std::stod(usage->second) / kTokensPerMs * 1000);
	e.free_us = std::max(e.free_us, world.now) + read_us;
	reply(e.free_us - world.now + kWayUs, call, 200, "id: 1\ndata: x\n\n");
}

/* Send more of an answer without end, until the caller closes. */
void
Fleet::trickle(const World::Sent &call, size_t sent)
{
	const std::string piece(10000, ' ');

	if (world.cancelled.count(call.call) > 0)
		return;
	most_endless = std::max(most_endless, sent);
	world.feed(call.machine, [this, call, piece, sent] {
		world.answer_part(call, sent == 0, piece);
	});
	world.at(world.now + 10 * MS,
	    [this, call, sent, piece] { trickle(call, sent + piece.size()); });
}

void
Fleet::on_call(const World::Sent &call)
{
	if (call.path == endless_path) {
		on_endless();
		trickle(call, 0);
		return;
	}
	for (auto &e : engines) {
		if (e.address != call.address)
			continue;
		if (call.path == "/api/order")
			on_order(e, call);
		else if (call.path == "/api/report")
			reply(kWayUs, call, 200, report(e));
		else
			on_request(e, call);
		return;
	}
}

/* ---- callers ---- */

/* adapter: empty for a plain call. */
void
Fleet::arrive(int entry, const std::string &adapter)
{
	bool model = !adapter.empty();
	uint64_t begun = world.now;
	std::vector<std::pair<std::string, std::string>> headers = {
	    {"Host", "h.example"},
	    {"Mulberrypath-Attempt-Id", std::to_string(random())}};

	if (model) {
		headers.push_back({"Mulberrypath-Model", "m/" + adapter});
		headers.push_back({"Mulberrypath-Token-Usage",
		    std::to_string(prompt()) + ",30"});
		headers.push_back({"Mulberrypath-Deadline-Ms", "4000"});
	} else {
		headers.push_back({"Mulberrypath-Deadline-Ms", "600"});
	}
	world.feed(entry, [this, entry, begun, model, headers] {
		uint64_t id = world.next_request();

		requests[id].begun_us = begun;
		requests[id].model = model;
		(void)world.request(entry, NODE_LISTEN_FRONT, "POST",
		    model ? "/lm/x" : "/p/x", "body", headers);
	});
}

void
Fleet::next_arrival(bool model, uint64_t until_us)
{
	double rate = model ? options.models_per_s : options.calls_per_s;
	uint64_t gap = (uint64_t)(-std::log(1 - uniform()) * 1e6 / rate);

	if (rate <= 0 || world.now + gap >= until_us)
		return;
	world.at(world.now + gap, [this, model, until_us] {
		arrive(
		    options.cores + (int)(random() % (unsigned)options.entries),
		    model ? adapter() : "");
		next_arrival(model, until_us);
	});
}

void
Fleet::ask_for(const std::string &adapter)
{
	arrive(options.cores, adapter);
}

void
Fleet::traffic(uint64_t ms)
{
	uint64_t until_us = world.now + ms * MS;

	next_arrival(true, until_us);
	next_arrival(false, until_us);
	world.run(ms);
}

bool
Fleet::begin()
{
	int total = options.cores + options.entries;

	for (int i = 0; i < total; i++)
		world.start(i);
	if (!world.until([&] { return world.leader() >= 0; }, 8000) ||
	    world.ask(world.leader(), NODE_LISTEN_CONTROL, "PUT",
		     "/api/configuration", engines_config())
		    .status != 200)
		return false;
	for (size_t i = 0; i < engines.size(); i++)
		world.at(world.now + i * kBeatUs / engines.size(),
		    [this, i] { beat(i); });
	world.run(8000);
	return world.until([&] { return world.ready(); }, 5000);
}

double
Fleet::in_time(uint64_t from_us, uint64_t to_us, uint64_t limit_us)
{
	int all = 0, in_time = 0;

	for (auto &r : requests) {
		const Request &q = r.second;

		if (!q.model || q.begun_us < from_us || q.begun_us >= to_us)
			continue;
		all++;
		in_time +=
		    q.first_us != 0 && q.first_us - q.begun_us <= limit_us;
	}
	return all == 0 ? 0 : (double)in_time / all;
}
