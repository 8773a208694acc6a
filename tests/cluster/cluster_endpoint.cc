#include <jansson.h>

#include "cluster/cluster.h"

static const uint64_t kWireUs = 300;
static const uint64_t kConnectTimeoutUs = 500000;
static const uint64_t kAnnounceUs = 1000000;
static const size_t kCached = 8; /* prefixes in an engine's cache */
static const uint64_t kAnswerUs = 1000; /* until the answer is read */

std::string
Cluster::expected_text(const std::string &key, const std::string &prompt,
    uint32_t from, uint32_t to)
{
	std::string text;

	for (uint32_t i = from; i < to; i++)
		text += key + ":" + prompt + ":" + std::to_string(i) + " ";
	return text;
}

void
Cluster::call_event(int i, uint64_t generation, uint64_t call,
    enum node_call_phase phase, int status, const std::string &data,
    bool retry_after)
{
	at(now + kWireUs, [=] {
		on_instance(i, generation, [=] {
			struct node_event ev = {};

			if (cancelled.count({i, generation, call}))
				return;
			ev.type = NODE_EV_CALL;
			ev.u.call.call = call;
			ev.u.call.phase = phase;
			ev.u.call.status = status;
			ev.u.call.retry_after = retry_after ? "1" : nullptr;
			ev.u.call.data = {data.data(), data.size()};
			ev.u.call.reason = "test";
			step(i, ev);
		});
	});
}

void
Cluster::answer(int i, uint64_t generation, uint64_t call, int status,
    const std::string &body, bool retry_after)
{
	call_event(
	    i, generation, call, NODE_CALL_HEAD, status, "", retry_after);
	call_event(i, generation, call, NODE_CALL_DATA, 0, body);
	call_event(i, generation, call, NODE_CALL_END);
}

void
Cluster::do_call(int i, const struct node_call &call)
{
	Instance &in = *instances[(size_t)i];
	Incoming incoming = {i, in.generation, call.call, 0, call.path,
	    std::string(
		call.body.data == nullptr ? "" : call.body.data, call.body.len),
	    "", "", call.silence_us, call.not_after_us};
	Endpoint *target = nullptr;
	uint64_t silence = call.first_byte_silence_us != 0
	    ? call.first_byte_silence_us
	    : call.silence_us;

	for (size_t k = 0; k < call.nheaders; k++) {
		std::string name = call.headers[k].name;

		if (name == "mulberrypath-fence")
			incoming.fence =
			    strtoull(call.headers[k].value, nullptr, 10);
		else if (name == "mulberrypath-request")
			incoming.request = call.headers[k].value;
		else if (name == "idempotency-key")
			incoming.key = call.headers[k].value;
	}
	for (auto &e : endpoints)
		if (e->address == call.address)
			target = e.get();
	uint64_t write_delay_us =
	    call_write_delay_us.count(i) != 0 ? call_write_delay_us[i] : 0;

	if (write_delay_us == 0)
		send_call(target, incoming, silence);
	else
		at(now + write_delay_us, [=] {
			on_instance(i, incoming.generation,
			    [=] { send_call(target, incoming, silence); });
		});
}

/* Sends a call, unless it is too late or the endpoint is unreachable. */
void
Cluster::send_call(Endpoint *target, const Incoming &incoming, uint64_t silence)
{
	Instance &in = *instances[(size_t)incoming.instance];
	uint64_t refused_us = 0;

	if (target != nullptr &&
	    call_cuts.count({incoming.instance, target->id}))
		refused_us = kConnectTimeoutUs;
	if (incoming.not_after_us < clock_of(in) || target == nullptr ||
	    !target->alive || refused_us != 0) {
		at(now + refused_us, [=] {
			call_event(incoming.instance, incoming.generation,
			    incoming.call, NODE_CALL_NOT_SENT);
		});
		return;
	}
	at(now + kWireUs + order_delay_us, [=] {
		if (!target->alive) {
			call_event(incoming.instance, incoming.generation,
			    incoming.call, NODE_CALL_BROKEN);
			return;
		}
		if (target->silent) {
			at(now + silence, [=] {
				call_event(incoming.instance,
				    incoming.generation, incoming.call,
				    NODE_CALL_BROKEN);
			});
			return;
		}
		arrive(target, incoming);
	});
}

static std::string
hex_list(const std::deque<uint64_t> &prefixes)
{
	std::string out;
	char text[20];

	for (uint64_t prefix : prefixes) {
		(void)snprintf(text, sizeof(text), "\"%016llx\"",
		    (unsigned long long)prefix);
		out += (out.empty() ? "" : ", ") + std::string(text);
	}
	return "[" + out + "]";
}

void
Cluster::arrive(Endpoint *e, const Incoming &in)
{
	if (e->service)
		service_call(e, in);
	else if (in.path == "/v1/completions")
		engine_run(e, in);
	else if (in.path == "/v1/cache")
		answer(in.instance, in.generation, in.call, 200,
		    "{\"sequence\": " + std::to_string(e->cache_sequence) +
			", \"prefixes\": " + hex_list(e->prefixes) + "}");
	else if (in.path.find("/cancel") != std::string::npos)
		engine_cancel(e, in);
	else
		engine_order(e, in);
}

/* Ends a run, whichever instance began it. */
void
Cluster::engine_cancel(Endpoint *e, const Incoming &in)
{
	for (auto it = e->runs.begin(); it != e->runs.end();)
		it =
		    in.path.find("/" + it->second.id + "/") != std::string::npos
		    ? e->runs.erase(it)
		    : std::next(it);
	answer(in.instance, in.generation, in.call, 200, "{}");
}

void
Cluster::service_call(Endpoint *e, const Incoming &in)
{
	int nth = ++e->bookings[in.key];

	e->ran[in.request]++;
	at(now + 20000, [=] {
		if (e->cuts_answers) {
			call_event(in.instance, in.generation, in.call,
			    NODE_CALL_BROKEN);
			return;
		}
		answer(in.instance, in.generation, in.call, 200,
		    "{\"ran\": " + std::to_string(nth) + ", \"key\": \"" +
			in.key + "\"}");
	});
}

/*
 * Counts an order as stale if its fence is lower than one received earlier from
 * another owner. Orders of the same process may overtake each other.
 */
void
Cluster::count_stale_order(Endpoint *e, const Incoming &in)
{
	if (getenv("CLUSTER_LOG") != nullptr)
		fprintf(stderr, "%9.3f order %s i%d fence %llu %s\n",
		    (double)now / 1e6, e->id.c_str(), in.instance + 1,
		    (unsigned long long)in.fence, in.path.c_str());
	std::string owner =
	    std::to_string(in.instance) + "." + std::to_string(in.generation);
	for (auto &previous : e->fences)
		e->stale_orders +=
		    previous.first != owner && in.fence < previous.second ? 1
									  : 0;
	e->fences[owner] = std::max(e->fences[owner], in.fence);
}

static std::string
field(const std::string &body, const char *name)
{
	json_t *root = json_loadb(body.data(), body.size(), 0, nullptr);
	const char *value = json_string_value(json_object_get(root, name));
	std::string out = value == nullptr ? "" : value;

	json_decref(root);
	return out;
}

static uint32_t
number(const std::string &body, const char *name)
{
	json_t *root = json_loadb(body.data(), body.size(), 0, nullptr);
	uint32_t out =
	    (uint32_t)json_integer_value(json_object_get(root, name));

	json_decref(root);
	return out;
}

void
Cluster::engine_order(Endpoint *e, const Incoming &in)
{
	std::string key = field(in.body, "adapter");
	uint64_t incarnation = e->incarnation;

	count_stale_order(e, in);
	if (in.path == "/v1/adapters/evict") {
		for (auto &run : e->runs)
			if (run.second.key == key)
				e->evicted_in_use++;
		e->evictions++;
		e->slots.erase(key);
		answer(in.instance, in.generation, in.call, 200, "{}");
		return;
	}
	if (in.path != "/v1/adapters/load") {
		answer(in.instance, in.generation, in.call, 200, "{}");
		return;
	}
	if (e->fail_loads > 0 || e->slots.size() >= e->nslots) {
		e->fail_loads -= e->fail_loads > 0 ? 1 : 0;
		answer(in.instance, in.generation, in.call, 409, "{}");
		return;
	}
	e->loads++;
	e->slots[key] = true;
	at(now + e->load_us, [=] {
		if (!e->alive || e->incarnation != incarnation)
			return;
		e->slots[key] = false;
		answer(in.instance, in.generation, in.call, 200, "{}");
	});
}

void
Cluster::engine_run(Endpoint *e, const Incoming &in)
{
	std::string key = field(in.body, "model");
	auto slot = e->slots.find(key);
	uint64_t run = serial++, incarnation = e->incarnation;

	if (slot == e->slots.end() || slot->second) {
		answer(in.instance, in.generation, in.call, 409, "{}");
		return;
	}
	if (e->runs.size() >= e->seats) {
		answer(in.instance, in.generation, in.call, 503, "{}", true);
		return;
	}
	e->ran[in.request]++;
	if (e->first_new_grant_us == 0)
		e->first_new_grant_us = now;
	uint32_t first = number(in.body, "offset");
	if (e->rewinds && first > 0)
		first--;
	e->runs[run] = {in.instance, in.call, in.request, key,
	    field(in.body, "prompt"), first, number(in.body, "max_tokens"),
	    in.silence_us};
	cache_prefix(e);
	call_event(in.instance, in.generation, in.call, NODE_CALL_HEAD, 200);
	uint64_t generation = in.generation;
	at(now + e->step_us, [=] {
		(void)generation;
		engine_step(e, incarnation, run);
	});
}

void
Cluster::engine_step(Endpoint *e, uint64_t incarnation, uint64_t run)
{
	auto it = e->runs.find(run);

	if (!e->alive || e->incarnation != incarnation || it == e->runs.end())
		return;
	Endpoint::Run &r = it->second;
	uint64_t generation = instances[(size_t)r.instance]->generation;
	bool last = r.next + 1 >= r.max;
	std::string model = e->wrong_model ? "t1/other@1" : r.key;
	std::string text = "data: {\"id\": \"" + r.id + "\", \"model\": \"" +
	    model + "\", \"offset\": " + std::to_string(r.next) +
	    ", \"tokens\": 1, \"choices\": [{\"index\": 0, \"text\": \"" +
	    expected_text(model, r.prompt, r.next, r.next + 1) + "\"" +
	    (last ? ", \"finish_reason\": \"length\"" : "") + "}]}\n\n";

	r.next++;
	if (e->break_after != 0 && r.next > e->break_after) {
		call_event(r.instance, generation, r.call, NODE_CALL_BROKEN);
		e->runs.erase(it);
		return;
	}
	if (e->silent && !r.muted) {
		uint64_t call = r.call;
		int entry = r.instance;

		r.muted = true;
		at(now + r.silence_us, [=] {
			call_event(entry, generation, call, NODE_CALL_BROKEN);
		});
	}
	if (!r.muted)
		call_event(
		    r.instance, generation, r.call, NODE_CALL_DATA, 0, text);
	if (last) {
		if (!r.muted) {
			call_event(r.instance, generation, r.call,
			    NODE_CALL_DATA, 0, "data: [DONE]\n\n");
			call_event(
			    r.instance, generation, r.call, NODE_CALL_END);
		}
		e->runs.erase(it);
		return;
	}
	at(now + e->step_us, [=] { engine_step(e, incarnation, run); });
}

/* The owner named by the last answer if it is alive, else any live instance. */
int
Cluster::announce_target(const Endpoint *e)
{
	size_t i, count = instances.size(), first;

	first = rng_below(&rng, (uint32_t)count);
	for (i = 0; i < count && e->announcer.short_form; i++)
		if (e->owner_http == instances[i]->settings.http_advertise &&
		    instances[i]->alive && !instances[i]->frozen)
			return (int)i;
	for (i = 0; i < count; i++) {
		size_t k = (first + i) % count;

		if (instances[k]->alive && !instances[k]->frozen)
			return (int)k;
	}
	return -1;
}

std::string
Cluster::announcement(Endpoint *e)
{
	std::map<std::string, int> running;
	std::vector<Announcer::Adapter> adapters;
	std::string fields, load;

	for (auto &run : e->runs)
		running[run.second.key]++;
	for (auto &slot : e->slots)
		adapters.push_back(
		    {slot.first, slot.second, running[slot.first]});
	fields = "\"address\": \"" + e->address +
	    "\", \"region\": \"r\", \"dataCentre\": \"" + e->data_centre +
	    "\", \"type\": " +
	    (e->service ? "\"service\", \"service\": \"orders\""
			: "\"engine\", \"baseModel\": \"base\", \"slots\": " +
			std::to_string(e->nslots)) +
	    ", \"seats\": " + std::to_string(e->seats);
	load = "\"cacheSequence\": " + std::to_string(e->cache_sequence) +
	    ", \"leaving\": " + (e->leaving ? "true" : "false") +
	    ", \"load\": {\"running\": " + std::to_string(e->runs.size()) +
	    ", \"queued\": 0, \"asOfMs\": " + std::to_string(e->lag_us / 1000) +
	    "}";
	return e->announcer.next(e->id, e->incarnation, fields, load, adapters);
}

/* Adds a prefix to the cache; drops the oldest one when it is full. */
void
Cluster::cache_prefix(Endpoint *e)
{
	std::deque<uint64_t> added = {++e->prefix_serial}, dropped;

	e->prefixes.push_back(added[0]);
	if (e->prefixes.size() > kCached) {
		dropped.push_back(e->prefixes.front());
		e->prefixes.pop_front();
	}
	send_event(e,
	    "{\"id\": \"" + e->id +
		"\", \"incarnation\": " + std::to_string(e->incarnation) +
		", \"sequence\": " + std::to_string(++e->cache_sequence) +
		", \"resync\": false, \"added\": " + hex_list(added) +
		", \"dropped\": " + hex_list(dropped) + "}");
}

/* Sends a cache event to the owner, if one is known and alive. */
void
Cluster::send_event(Endpoint *e, const std::string &body)
{
	int copies =
	    event_duplicate > 0 && rng_unit(&rng) < event_duplicate ? 2 : 1;
	int to = owner_of(e->id);

	if (to < 0 || (event_drop > 0 && rng_unit(&rng) < event_drop))
		return;
	while (copies-- > 0) {
		uint64_t late = event_delay_max_us == 0
		    ? 0
		    : rng_below(&rng, (uint32_t)event_delay_max_us);

		at(now + late, [this, to, body] {
			if (instances[(size_t)to]->alive)
				post(to, "/v1/endpoints/cache-events", body);
		});
	}
}

/* Processes the answer to the last announcement; without one it may be lost. */
void
Cluster::process_announce_answer(Endpoint *e)
{
	const Request *r = e->announced;

	if (r == nullptr)
		return;
	if (!r->done || r->lost) {
		e->announcer.mark_lost();
		e->owner_http.clear();
	} else {
		e->announcer.on_answer(r->status, r->answer);
		e->owner_http = field(r->answer, "owner");
	}
	e->announced = nullptr;
}

/* Announces to the owner named by the last answer, else to a live instance. */
void
Cluster::announce_once(Endpoint *e)
{
	std::string body;
	int to = announce_target(e);

	if (to < 0 ||
	    e->owner_http != instances[(size_t)to]->settings.http_advertise)
		e->announcer.mark_lost();
	if (to < 0)
		return;
	body = announcement(e);
	/* The load is as old on arrival as "asOfMs" says. */
	at(now + e->lag_us, [this, e, to, body] {
		if (!e->alive || e->silent || !instances[(size_t)to]->alive) {
			e->announcer.mark_lost();
			return;
		}
		e->announced =
		    send(to, "POST", "/v1/endpoints/announce", "", body);
		at(now + kAnswerUs, [this, e] {
			if (e->announced == nullptr || !e->announced->done)
				return;
			process_announce_answer(e);
			if (e->announcer.short_form &&
			    e->announcer.must_send_full())
				announce_once(e);
		});
	});
}

void
Cluster::announce(Endpoint *e)
{
	at(now + kAnnounceUs, [this, e] { announce(e); });
	if (!e->alive || e->silent)
		return;
	process_announce_answer(e);
	announce_once(e);
}
