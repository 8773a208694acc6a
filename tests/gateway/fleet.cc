#include "fleet.h"

#include <jansson.h>

#include <cmath>

static const uint64_t kAnnounceIntervalUs = 1200 * MS, kLoadUs = 250 * MS;
static const uint64_t kLostOrderDelayUs = 2000 * MS, kOrderLeaseUs = 3000 * MS;
static const double kTokensPerMs = 25.8, kPopularitySkew = 1.2;
static const int kAdapters = 10000, kAdapterSlots = 6, kNetworkDelayUs = 500;
/* The adapters that an engine unloaded most recently load ten times as fast. */
static const size_t kRecentlyUnloadedMax = 30;

/* Callers, each with a first part of its own, and what their prompts share. */
static const int kCallers = 8, kDocuments = 300;
/* The first callers also send requests with a fatal part. */
static const int kFatalCallers = 2;
/* From the beginning of an answer on a fatal part to the end of the engine. */
static const uint64_t kFatalUs = 50 * MS;
static const uint64_t kRestartUs = 3000 * MS;

static std::string
engines_config(bool resumable)
{
	return std::string(R"({"version":1,"routes":[
	{"name":"r","host":"h.example","path_prefix":"/p/",
	 "type":"non_idempotent","timeout_ms":600,"target_latency_ms":100,
	 "service":"app"},
	{"name":"s","host":"h.example","path_prefix":"/lm/",
	 "type":"streaming","timeout_ms":4000,"target_latency_ms":800,
	 "target_gap_ms":300,"sticky":true,"service":"lm",)") +
	    (resumable ? "\"resumable\":true,\"max_attempts\":2"
		       : "\"max_attempts\":1") +
	    R"(}],
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
		sum += std::pow(i, -kPopularitySkew);
		popularity.push_back(sum);
	}
	for (int i = 0; i < options.engines + options.plain_endpoints; i++) {
		Engine e;

		e.is_plain = i >= options.engines;
		e.id = "i" + std::to_string(i);
		e.address = "10.9." + std::to_string(i / 200) + "." +
		    std::to_string(i % 200) + ":80";
		engines.push_back(e);
	}
	sim.on_call = [this](const GatewaySim::EndpointCall &call) {
		sim.schedule(sim.now_us + kNetworkDelayUs,
		    [this, call] { on_call(call); });
	};
	sim.break_silent_calls = true;
	sim.on_reply = [this](uint64_t request) {
		auto r = requests.find(request);

		if (r == requests.end())
			return;
		if (r->second.replied_us == 0)
			r->second.replied_us = sim.now_us;
		r->second.status = sim.replies[request].status;
		r->second.body = sim.replies[request].body;
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

/*
 * Draws a number of prompt tokens: most prompts are short, a few are very long.
 */
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
	    ",\"state\":\"ready\",\"born\":" + std::to_string(e.process) +
	    ",\"sequence\":" + std::to_string(++e.sequence) + models + "}";
	std::string path = "/api/instances/" + e.id;

	if (sim.now_us < e.down_until_us)
		return;
	sim.enqueue(core, [this, core, path, body] {
		(void)sim.send_request(
		    core, NODE_LISTEN_CONTROL, "PUT", path, body);
	});
}

void
Fleet::announce_periodically(size_t i)
{
	announce(i);
	sim.schedule(sim.now_us + kAnnounceIntervalUs,
	    [this, i] { announce_periodically(i); });
}

bool
Fleet::take_call(Engine &e, const GatewaySim::EndpointCall &call)
{
	for (auto c = e.open_calls.begin(); c != e.open_calls.end(); ++c)
		if (c->instance == call.instance && c->call == call.call) {
			e.open_calls.erase(c);
			return true;
		}
	return false;
}

std::vector<node_header>
Fleet::headers_of(const Engine &e, const GatewaySim::EndpointCall &call,
    const std::string &limit)
{
	bool is_request = call.path.rfind("/api/", 0) != 0;

	if (limit.empty() || !is_request)
		return {};
	if (on_limit_told)
		on_limit_told(e, call, limit);
	return {{"Server-Limit", limit.c_str()}};
}

void
Fleet::schedule_reply(Engine &e, uint64_t delay_us,
    const GatewaySim::EndpointCall &call, int status, const std::string &body)
{
	sim.schedule(sim.now_us + delay_us, [this, &e, call, status, body] {
		std::string limit = e.limit;

		if (!take_call(e, call))
			return;
		sim.enqueue(
		    call.instance, [this, &e, call, status, body, limit] {
			    sim.answer_call(
				call, status, body, headers_of(e, call, limit));
		    });
	});
}

/* Sends the first event of an answer. */
void
Fleet::begin_answer(Engine &e, const GatewaySim::EndpointCall &call)
{
	std::string limit = e.limit;

	for (auto &open : e.open_calls)
		if (open.instance == call.instance && open.call == call.call) {
			sim.enqueue(call.instance, [this, &e, call, limit] {
				sim.answer_call_part(call, true,
				    "id: 1\ndata: x\n\n",
				    headers_of(e, call, limit));
			});
			return;
		}
}

void
Fleet::end_answer(Engine &e, const GatewaySim::EndpointCall &call)
{
	if (!take_call(e, call))
		return;
	sim.enqueue(call.instance, [this, call] {
		sim.answer_call_part(call, false, "id: 2\ndata: y\n\n");
		sim.end_call(call, NODE_CALL_END);
	});
}

void
Fleet::end_engine(size_t i)
{
	Engine &e = engines[i];
	std::vector<GatewaySim::EndpointCall> broken;

	broken.swap(e.open_calls);
	for (auto &call : broken)
		sim.schedule(sim.now_us + kNetworkDelayUs, [this, call] {
			sim.enqueue(call.instance, [this, call] {
				sim.end_call(call, NODE_CALL_BROKEN);
			});
		});
	e.down_until_us = sim.now_us + kRestartUs;
	e.process++;
	e.id = "i" + std::to_string(i) + "p" + std::to_string(e.process);
	e.adapters.clear();
	e.recently_unloaded.clear();
	e.order_count = e.sequence = e.idle_from_us = e.highest_fence = 0;
	e.last_holder = -1;
	e.limit.clear();
	sim.schedule(e.down_until_us, [this, i] { announce(i); });
}

int
Fleet::count_events(const std::string &name) const
{
	int sum = 0;

	for (auto &m : sim.instances) {
		auto found = m->event_counts.find(name);

		sum += found == m->event_counts.end() ? 0 : found->second;
	}
	return sum;
}

int
Fleet::instance_index(const std::string &name) const
{
	/* GatewaySim names instances m0, m1, ... */
	return std::stoi(name.substr(1));
}

struct Order {
	std::string adapter;
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
Fleet::is_connected(int instance) const
{
	auto out = disconnected_until_us.find(instance);

	return out == disconnected_until_us.end() || sim.now_us >= out->second;
}

/* Records the holder and the fence of an order that an engine receives. */
void
Fleet::record_holder(Engine &e, const GatewaySim::EndpointCall &call)
{
	Order o(call.body, *this);

	lower_fence_orders += o.fence < e.highest_fence;
	overlapping_holders += e.last_holder >= 0 &&
	    e.last_holder != o.holder &&
	    sim.now_us < e.last_order_us + kOrderLeaseUs &&
	    is_connected(o.holder) && is_connected(e.last_holder);
	e.highest_fence = std::max(e.highest_fence, o.fence);
	e.last_holder = o.holder;
	e.last_order_us = sim.now_us;
}

/* Carries out an order; returns the status of its answer. */
int
Fleet::execute_order(Engine &e, const GatewaySim::EndpointCall &call)
{
	Order o(call.body, *this);
	bool was_recent = false;
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
		if (e.recently_unloaded.size() > kRecentlyUnloadedMax)
			e.recently_unloaded.pop_front();
		return 200;
	}
	for (auto &name : e.recently_unloaded)
		was_recent |= name == o.adapter;
	e.adapters[o.adapter] =
	    sim.now_us + (was_recent ? kLoadUs / 10 : kLoadUs);
	e.crashed |= e.adapters.size() > kAdapterSlots;
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
		schedule_reply(
		    e, kNetworkDelayUs, call, execute_order(e, call), "");
		return;
	}
	sim.schedule(sim.now_us + kLostOrderDelayUs,
	    [this, &e, call] { (void)execute_order(e, call); });
}

/* The fatal part in the prompt of a call, which is not its last; -1: none. */
static int
fatal_part_of(const GatewaySim::EndpointCall &call)
{
	auto parts = call.headers.find("Mulberrypath-Prompt-Prefix");
	size_t at = parts == call.headers.end() ? std::string::npos
						: parts->second.find("dead");

	return at == std::string::npos
	    ? -1
	    : std::stoi(parts->second.substr(at + 4));
}

/* The engine ends soon after it has begun to answer. */
void
Fleet::run_fatal_request(Engine &e, int part)
{
	uint64_t process = e.process;

	fatal_arrivals_us[part].push_back(sim.now_us);
	sim.schedule(e.idle_from_us + kFatalUs, [this, &e, part, process] {
		if (e.process != process)
			return;
		fatal_ends_us[part].push_back(sim.now_us);
		end_engine((size_t)(&e - engines.data()));
	});
}

void
Fleet::on_request(Engine &e, const GatewaySim::EndpointCall &call)
{
	auto model = call.headers.find("Mulberrypath-Model");
	auto usage = call.headers.find("Mulberrypath-Token-Usage");
	uint64_t read_us;
	std::string name;

	e.request_count++;
	if (on_request_arrived)
		on_request_arrived(e, call);
	if (e.is_plain) {
		schedule_reply(e, 15 * MS, call, 200, "answer");
		return;
	}
	if (model == call.headers.end() || usage == call.headers.end()) {
		ADD_FAILURE() << "a model request without its headers";
		return;
	}
	name = model->second.substr(model->second.find('/') + 1);
	if (e.adapters.count(name) == 0 || e.adapters[name] > sim.now_us) {
		e.missing_adapter_count++;
		schedule_reply(e, kNetworkDelayUs, call, 421, "");
		return;
	}
	read_us = (uint64_t)(std::stod(usage->second) / kTokensPerMs * 1000);
	e.idle_from_us = std::max(e.idle_from_us, sim.now_us) + read_us;
	if (fatal_part_of(call) >= 0) {
		run_fatal_request(e, fatal_part_of(call));
		return;
	}
	if (options.answer_us == 0) {
		schedule_reply(e, e.idle_from_us - sim.now_us + kNetworkDelayUs,
		    call, 200, "id: 1\ndata: x\n\n");
		return;
	}
	sim.schedule(e.idle_from_us + kNetworkDelayUs,
	    [this, &e, call] { begin_answer(e, call); });
	sim.schedule(e.idle_from_us + kNetworkDelayUs + options.answer_us,
	    [this, &e, call] { end_answer(e, call); });
}

/*
 * Sends the next piece of an endless answer, until the caller cancels the call.
 */
void
Fleet::send_endless_answer(const GatewaySim::EndpointCall &call, size_t sent)
{
	const std::string piece(10000, ' ');

	if (sim.cancelled_calls.count(call.call) > 0)
		return;
	max_endless_bytes = std::max(max_endless_bytes, sent);
	sim.enqueue(call.instance, [this, call, piece, sent] {
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
		if (sim.now_us < e.down_until_us) {
			sim.enqueue(call.instance, [this, call] {
				sim.end_call(call, NODE_CALL_NOT_SENT);
			});
			return;
		}
		e.open_calls.push_back(call);
		if (call.path == "/api/order")
			on_order(e, call);
		else if (call.path == "/api/report")
			schedule_reply(
			    e, kNetworkDelayUs, call, 200, make_report(e));
		else
			on_request(e, call);
		return;
	}
}

/* ---- callers ---- */

/*
 * Draws the parts of a prompt: the caller's first part, a document, what all
 * have in common, the fatal part if there is one, and a part of this request
 * alone.
 */
std::string
Fleet::draw_parts(int *caller, int fatal_part)
{
	std::string last = std::to_string(random()), common;

	for (int i = 0; i < options.common_parts; i++)
		common += "c" + std::to_string(i) + ":20,";
	*caller = (int)(random() %
	    (unsigned)(fatal_part < 0 ? kCallers : kFatalCallers));
	return "ca11" + std::to_string(*caller) + ":568,d0c" +
	    std::to_string(random() % kDocuments) + ":100," + common +
	    (fatal_part < 0 ? ""
			    : "dead" + std::to_string(fatal_part) + ":100,") +
	    "e" + last + ":50";
}

/* adapter: empty for a plain call. */
void
Fleet::send_request(int entry, const std::string &adapter, int fatal_part)
{
	bool model = !adapter.empty();
	uint64_t sent_us = sim.now_us;
	int caller = -1;
	std::vector<std::pair<std::string, std::string>> headers = {
	    {"Host", "h.example"},
	    {"Mulberrypath-Attempt-Id", std::to_string(random())}};

	if (model) {
		headers.push_back({"Mulberrypath-Model", "m/" + adapter});
		headers.push_back({"Mulberrypath-Token-Usage",
		    std::to_string(draw_prompt_tokens()) + ",30"});
		headers.push_back({"Mulberrypath-Deadline-Ms", "4000"});
		if (options.fatal_requests_per_s > 0)
			headers.push_back({"Mulberrypath-Prompt-Prefix",
			    draw_parts(&caller, fatal_part)});
	} else {
		headers.push_back({"Mulberrypath-Deadline-Ms", "600"});
	}
	sim.enqueue(entry, [=] {
		uint64_t id = sim.next_request_id();

		requests[id].sent_us = sent_us;
		requests[id].is_model = model;
		requests[id].is_fatal = fatal_part >= 0;
		requests[id].caller = caller;
		(void)sim.send_request(entry, NODE_LISTEN_FRONT, "POST",
		    model ? "/lm/x" : "/p/x", "body", headers);
	});
}

double
Fleet::arrivals_per_s(Traffic traffic) const
{
	switch (traffic) {
	case MODEL_REQUESTS:
		return options.model_requests_per_s;
	case PLAIN_CALLS:
		return options.plain_calls_per_s;
	default:
		return options.fatal_requests_per_s;
	}
}

void
Fleet::schedule_arrivals(Traffic traffic, uint64_t until_us)
{
	double rate = arrivals_per_s(traffic);
	uint64_t gap = (uint64_t)(-std::log(1 - draw_uniform()) * 1e6 / rate);

	if (rate <= 0 || sim.now_us + gap >= until_us)
		return;
	sim.schedule(sim.now_us + gap, [this, traffic, until_us] {
		int entry =
		    options.cores + (int)(random() % (unsigned)options.entries);

		if (traffic == PLAIN_CALLS)
			send_request(entry, "");
		else if (traffic == MODEL_REQUESTS)
			send_request(entry, draw_adapter());
		else
			send_request(entry, draw_adapter(),
			    (int)(random() % (unsigned)options.fatal_parts));
		schedule_arrivals(traffic, until_us);
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

	schedule_arrivals(MODEL_REQUESTS, until_us);
	schedule_arrivals(PLAIN_CALLS, until_us);
	if (options.fatal_requests_per_s > 0)
		schedule_arrivals(FATAL_REQUESTS, until_us);
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
		   "/api/configuration", engines_config(options.resumable))
		    .status != 200)
		return false;
	for (size_t i = 0; i < engines.size(); i++)
		sim.schedule(
		    sim.now_us + i * kAnnounceIntervalUs / engines.size(),
		    [this, i] { announce_periodically(i); });
	sim.run_for_ms(8000);
	return sim.run_until([&] { return sim.all_entries_ready(); }, 5000);
}

double
Fleet::fraction(uint64_t from_us, uint64_t to_us, uint64_t limit_us,
    const std::function<bool(const Request &)> &counts)
{
	int all = 0, in_time = 0;

	for (auto &r : requests) {
		const Request &q = r.second;

		if (!q.is_model || q.is_fatal || q.sent_us < from_us ||
		    q.sent_us >= to_us || !counts(q))
			continue;
		all++;
		in_time += q.first_byte_us != 0 &&
		    q.first_byte_us - q.sent_us <= limit_us;
	}
	return all == 0 ? 0 : (double)in_time / all;
}

double
Fleet::fraction_in_time(uint64_t from_us, uint64_t to_us, uint64_t limit_us)
{
	return fraction(
	    from_us, to_us, limit_us, [](const Request &) { return true; });
}

double
Fleet::fraction_of_shared_callers(
    uint64_t from_us, uint64_t to_us, uint64_t limit_us)
{
	return fraction(from_us, to_us, limit_us,
	    [](const Request &q) { return q.caller < kFatalCallers; });
}
