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
    : sim(options.cores, options.entries), options(options),
      random(options.seed)
{
	double sum = 0;

	for (int i = 1; i <= kAdapters; i++) {
		sum += std::pow(i, -kSkew);
		popularity.push_back(sum);
	}
	for (int i = 0; i < options.engines + options.apps; i++) {
		Engine e;

		e.is_plain = i >= options.engines;
		e.id = "i" + std::to_string(i);
		e.address = "10.9." + std::to_string(i / 200) + "." +
		    std::to_string(i % 200) + ":80";
		engines.push_back(e);
	}
	sim.on_call = [this](const GatewaySim::EndpointCall &call) {
		sim.schedule(
		    sim.now_us + kWayUs, [this, call] { on_call(call); });
	};
	sim.break_silent_calls = true;
	sim.on_reply = [this](uint64_t request) {
		auto r = requests.find(request);

		if (r == requests.end())
			return;
		r->second.status = sim.replies[request].status;
		if (r->second.first_byte_us == 0 && r->second.status == 200)
			r->second.first_byte_us = sim.now_us;
	};
}

double
Fleet::draw_uniform()
{
	return std::uniform_real_distribution<double>(0, 1)(random);
}

std::string
Fleet::draw_adapter()
{
	double u = draw_uniform() * popularity.back();

	return "a" +
	    std::to_string(
		std::lower_bound(popularity.begin(), popularity.end(), u) -
		popularity.begin());
}

/* Tokens: most prompts are short, a few are very long. */
unsigned
Fleet::draw_prompt_tokens()
{
	std::lognormal_distribution<double> own(std::log(1800) - 0.5, 1);

	return 568 + (unsigned)std::min(own(random), 6870.0);
}

/* ---- endpoints ---- */

std::string
Fleet::make_report(const Engine &e) const
{
	std::string loaded, pending;

	for (auto &a : e.adapters)
		if (a.second <= sim.now_us)
			loaded +=
			    (loaded.empty() ? "\"" : ",\"") + a.first + "@1\"";
		else
			pending += (pending.empty() ? "\"m/" : ",\"m/") +
			    a.first + "@1\"";
	return "{\"phase\":\"combined\",\"busy\":false,\"models\":[{\"name\":"
	       "\"m\",\"version\":1,\"adapters\":[" +
	    loaded + "]}],\"pending\":[" + pending +
	    "],\"sequence\":" + std::to_string(e.order_count) + "}";
}

void
Fleet::announce(size_t i)
{
	Engine &e = engines[i];
	int core = (int)(random() % (unsigned)options.cores);
	std::string models = e.is_plain
	    ? ""
	    : ",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
	std::string body = "{\"service\":\"" +
	    std::string(e.is_plain ? "app" : "lm") + "\",\"address\":\"" +
	    e.address +
	    "\",\"zone\":\"z\",\"slots\":" + (e.is_plain ? "6" : "64") +
	    ",\"state\":\"ready\",\"born\":1,\"sequence\":" +
	    std::to_string(++e.sequence) + models + "}";
	std::string path = "/api/instances/" + e.id;

	sim.enqueue(core, [this, core, path, body] {
		(void)sim.send_request(
		    core, NODE_LISTEN_CONTROL, "PUT", path, body);
	});
}

void
Fleet::announce_periodically(size_t i)
{
	announce(i);
	sim.schedule(
	    sim.now_us + kBeatUs, [this, i] { announce_periodically(i); });
}

void
Fleet::schedule_reply(uint64_t delay_us, const GatewaySim::EndpointCall &call,
    int status, const std::string &body)
{
	sim.schedule(sim.now_us + delay_us, [this, call, status, body] {
		sim.enqueue(call.machine, [this, call, status, body] {
			sim.answer_call(call, status, body);
		});
	});
}

int
Fleet::instance_index(const std::string &name) const
{
	return std::stoi(name.substr(1)); /* World names them m0, m1, ... */
}

struct Order {
	std::string adapter; /* the adapter */
	bool is_load, has_expected_count;
	uint64_t expected_count, fence;
	int holder;

	explicit Order(const std::string &body, const Fleet &fleet)
	{
		json_t *root = json_loadb(body.data(), body.size(), 0, nullptr);
		json_t *count = json_object_get(root, "expected");

		adapter =
		    json_string_value(json_object_get(root, "adapter")) ?: "";
		is_load = strcmp(json_string_value(
				     json_object_get(root, "operation")),
			      "load") == 0;
		has_expected_count = count != nullptr;
		expected_count = (uint64_t)json_integer_value(count);
		fence = (uint64_t)json_integer_value(
		    json_object_get(root, "fencing_token"));
		holder = fleet.instance_index(
		    json_string_value(json_object_get(root, "holder")));
		json_decref(root);
	}
};

bool
Fleet::is_connected(int machine) const
{
	auto out = disconnected_until_us.find(machine);

	return out == disconnected_until_us.end() || sim.now_us >= out->second;
}

/* Who orders the engine, as it sees the orders arrive. */
void
Fleet::record_holder(Engine &e, const GatewaySim::EndpointCall &call)
{
	Order o(call.body, *this);

	lower_fence_orders += o.fence < e.highest_fence;
	overlapping_holders += e.last_holder >= 0 &&
	    e.last_holder != o.holder &&
	    sim.now_us < e.last_order_us + kLeaseUs && is_connected(o.holder) &&
	    is_connected(e.last_holder);
	e.highest_fence = std::max(e.highest_fence, o.fence);
	e.last_holder = o.holder;
	e.last_order_us = sim.now_us;
}

/* Carry out an order: the status of its answer. */
int
Fleet::execute_order(Engine &e, const GatewaySim::EndpointCall &call)
{
	Order o(call.body, *this);
	bool lately = false;
	int loading = 0;

	if (o.fence < e.highest_fence)
		return 412;
	if (o.has_expected_count && o.expected_count != e.order_count)
		return 409;
	if (o.is_load && e.adapters.count(o.adapter) > 0)
		return 200;
	e.order_count++;
	if (!o.is_load) {
		e.adapters.erase(o.adapter);
		e.recently_unloaded.push_back(o.adapter);
		if (e.recently_unloaded.size() > kLatelyMax)
			e.recently_unloaded.pop_front();
		return 200;
	}
	for (auto &name : e.recently_unloaded)
		lately |= name == o.adapter;
	e.adapters[o.adapter] = sim.now_us + (lately ? kLoadUs / 10 : kLoadUs);
	e.crashed |= e.adapters.size() > kSlots;
	for (auto &other : engines)
		for (auto &a : other.adapters)
			loading += a.second > sim.now_us;
	max_concurrent_loads = std::max(max_concurrent_loads, loading);
	return 202;
}

void
Fleet::on_order(Engine &e, const GatewaySim::EndpointCall &call)
{
	if (on_order_received)
		on_order_received();
	record_holder(e, call);
	if (draw_uniform() >= options.lost_order_share) {
		schedule_reply(kWayUs, call, execute_order(e, call), "");
		return;
	}
	sim.schedule(sim.now_us + kLateOrderUs,
	    [this, &e, call] { (void)execute_order(e, call); });
}

void
Fleet::on_request(Engine &e, const GatewaySim::EndpointCall &call)
{
	auto model = call.headers.find("Mulberrypath-Model");
	auto usage = call.headers.find("Mulberrypath-Token-Usage");
	uint64_t read_us;
	std::string name;

	e.request_count++;
	if (e.is_plain) {
		schedule_reply(15 * MS, call, 200, "answer");
		return;
	}
	if (model == call.headers.end() || usage == call.headers.end()) {
		ADD_FAILURE() << "a model request without its headers";
		return;
	}
	name = model->second.substr(model->second.find('/') + 1);
	if (e.adapters.count(name) == 0 || e.adapters[name] > sim.now_us) {
		e.missing_adapter_count++;
		schedule_reply(kWayUs, call, 421, "");
		return;
	}
	read_us = (uint64_t)(std::stod(usage->second) / kTokensPerMs * 1000);
	e.idle_from_us = std::max(e.idle_from_us, sim.now_us) + read_us;
	schedule_reply(e.idle_from_us - sim.now_us + kWayUs, call, 200,
	    "id: 1\ndata: x\n\n");
}

/* Send more of an answer without end, until the caller closes. */
void
Fleet::send_endless_answer(const GatewaySim::EndpointCall &call, size_t sent)
{
	const std::string piece(10000, ' ');

	if (sim.cancelled_calls.count(call.call) > 0)
		return;
	max_endless_bytes = std::max(max_endless_bytes, sent);
	sim.enqueue(call.machine, [this, call, piece, sent] {
		sim.answer_call_part(call, sent == 0, piece);
	});
	sim.schedule(sim.now_us + 10 * MS, [this, call, sent, piece] {
		send_endless_answer(call, sent + piece.size());
	});
}

void
Fleet::on_call(const GatewaySim::EndpointCall &call)
{
	if (call.path == endless_path) {
		on_endless_call();
		send_endless_answer(call, 0);
		return;
	}
	for (auto &e : engines) {
		if (e.address != call.address)
			continue;
		if (call.path == "/api/order")
			on_order(e, call);
		else if (call.path == "/api/report")
			schedule_reply(kWayUs, call, 200, make_report(e));
		else
			on_request(e, call);
		return;
	}
}

/* ---- callers ---- */

/* adapter: empty for a plain call. */
void
Fleet::send_request(int entry, const std::string &adapter)
{
	bool model = !adapter.empty();
	uint64_t begun = sim.now_us;
	std::vector<std::pair<std::string, std::string>> headers = {
	    {"Host", "h.example"},
	    {"Mulberrypath-Attempt-Id", std::to_string(random())}};

	if (model) {
		headers.push_back({"Mulberrypath-Model", "m/" + adapter});
		headers.push_back({"Mulberrypath-Token-Usage",
		    std::to_string(draw_prompt_tokens()) + ",30"});
		headers.push_back({"Mulberrypath-Deadline-Ms", "4000"});
	} else {
		headers.push_back({"Mulberrypath-Deadline-Ms", "600"});
	}
	sim.enqueue(entry, [this, entry, begun, model, headers] {
		uint64_t id = sim.next_request_id();

		requests[id].sent_us = begun;
		requests[id].is_model = model;
		(void)sim.send_request(entry, NODE_LISTEN_FRONT, "POST",
		    model ? "/lm/x" : "/p/x", "body", headers);
	});
}

void
Fleet::schedule_arrivals(bool model, uint64_t until_us)
{
	double rate =
	    model ? options.model_requests_per_s : options.plain_calls_per_s;
	uint64_t gap = (uint64_t)(-std::log(1 - draw_uniform()) * 1e6 / rate);

	if (rate <= 0 || sim.now_us + gap >= until_us)
		return;
	sim.schedule(sim.now_us + gap, [this, model, until_us] {
		send_request(
		    options.cores + (int)(random() % (unsigned)options.entries),
		    model ? draw_adapter() : "");
		schedule_arrivals(model, until_us);
	});
}

void
Fleet::request_adapter(const std::string &adapter)
{
	send_request(options.cores, adapter);
}

void
Fleet::run_traffic(uint64_t ms)
{
	uint64_t until_us = sim.now_us + ms * MS;

	schedule_arrivals(true, until_us);
	schedule_arrivals(false, until_us);
	sim.run_for_ms(ms);
}

bool
Fleet::bring_up()
{
	int total = options.cores + options.entries;

	for (int i = 0; i < total; i++)
		sim.start(i);
	if (!sim.run_until([&] { return sim.leader() >= 0; }, 8000) ||
	    sim.request_and_wait(sim.leader(), NODE_LISTEN_CONTROL, "PUT",
		   "/api/configuration", engines_config())
		    .status != 200)
		return false;
	for (size_t i = 0; i < engines.size(); i++)
		sim.schedule(sim.now_us + i * kBeatUs / engines.size(),
		    [this, i] { announce_periodically(i); });
	sim.run_for_ms(8000);
	return sim.run_until([&] { return sim.all_entries_ready(); }, 5000);
}

double
Fleet::fraction_in_time(uint64_t from_us, uint64_t to_us, uint64_t limit_us)
{
	int all = 0, in_time = 0;

	for (auto &r : requests) {
		const Request &q = r.second;

		if (!q.is_model || q.sent_us < from_us || q.sent_us >= to_us)
			continue;
		all++;
		in_time += q.first_byte_us != 0 &&
		    q.first_byte_us - q.sent_us <= limit_us;
	}
	return all == 0 ? 0 : (double)in_time / all;
}
