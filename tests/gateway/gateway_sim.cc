#include "gateway_sim.h"

#include <algorithm>

#include "doc/doc.h"
#include "mulberrypath/settings.h"

static const uint64_t kTickUs = 5 * MS;
static const uint64_t WALL_START_MS = 1780000000000; /* since 1970 */
static const uint64_t kNetworkDelayUs = 1 * MS, kDiskSyncUs = 4 * MS;

std::string
config_text(int version, const std::string &service)
{
	return "{\"version\":" + std::to_string(version) +
	    ",\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
	    "\"path_prefix\":\"/p/\",\"type\":\"non_idempotent\","
	    "\"timeout_ms\":2000,\"service\":\"" +
	    service +
	    "\"}],\"services\":[{\"name\":\"app\"},{\"name\":\"other\"}]}";
}

GatewaySim::GatewaySim(int cores, int entries)
{
	for (int i = 0; i < cores; i++) {
		(void)add_instance(true);
		if (i < 3)
			seeds.push_back(instances.back()->ip + ":8000");
	}
	for (int i = 0; i < entries; i++)
		(void)add_instance(false);
}

GatewaySim::~GatewaySim()
{
	for (auto &m : instances) {
		node_destroy(m->node);
		settings_destroy(m->settings);
	}
	node_effects_destroy(fx);
}

int
GatewaySim::add_instance(bool core)
{
	instances.push_back(std::make_unique<GatewayInstance>());
	instances.back()->core = core;
	instances.back()->ip = "10.0." +
	    std::to_string((instances.size() - 1) / 250) + "." +
	    std::to_string((instances.size() - 1) % 250 + 1);
	return (int)instances.size() - 1;
}

void
GatewaySim::start(int i)
{
	GatewayInstance &m = *instances[(size_t)i];
	struct settings_problems problems = {};
	struct node_boot boot = {};
	struct mp_error err = {};
	struct node_disk disk = {};
	std::string list, records;
	char token_hash[65];

	doc_hash_token(token_hash, "op");
	for (auto &s : seeds)
		list += (list.empty() ? "\"" : ",\"") + s + "\"";
	m.settings_text = "{\"cluster\":\"c\",\"instance\":{\"name\":\"m" +
	    std::to_string(i) +
	    "\",\"dataCentre\":\"z\",\"region\":\"r\"},\"http\":{\"listen\":"
	    "\"" +
	    m.ip + ":7390\"},\"bus\":{\"listen\":\"" + m.ip + ":7000\"}," +
	    (m.core ? "\"dataFolder\":\"d\"," : "") + "\"seeds\":[" + list +
	    "],\"gateway\":{" +
	    (m.core ? "\"control\":\"" + m.ip + ":8000\",\"registry\":\"" +
			m.ip + ":8001\""
		    : "\"front\":\"" + m.ip + ":9000\",\"readiness\":\"" +
			m.ip + ":9001\"") +
	    ",\"founding\":" + (founding_allowed ? "true" : "false") +
	    ",\"fenced\":true},\"operators\":[{\"name\":\"op\","
	    "\"tokenHash\":\"" +
	    token_hash + "\",\"teams\":[\"*\"]}]}";
	settings_destroy(m.settings);
	ASSERT_EQ(settings_parse(&m.settings, m.settings_text.data(),
		      m.settings_text.size(), &problems, &err),
	    MP_OK)
	    << problems.items[0].path << " " << problems.items[0].found;
	settings_problems_free(&problems);
	m.generation++;
	if (m.disk.incarnation == 0)
		m.disk.incarnation = now_us * 17 + (uint64_t)i + m.generation;
	disk.incarnation = m.disk.incarnation;
	disk.fresh = m.disk.fresh;
	disk.term = m.disk.term;
	disk.vote = m.disk.vote;
	disk.snapshot_index = m.disk.snapshot_index;
	disk.snapshot_term = m.disk.snapshot_term;
	disk.snapshot = {m.disk.snapshot.data(), m.disk.snapshot.size()};
	disk.record_count = m.disk.records.size();
	for (auto &r : m.disk.records) {
		if (disk.first_index == 0)
			disk.first_index = r.first;
		records += r.second;
	}
	disk.records = {records.data(), records.size()};
	m.disk.fresh = false;
	boot.settings = m.settings;
	boot.incarnation = now_us * 31 + (uint64_t)i * 7 + m.generation;
	boot.seed = boot.incarnation;
	boot.now_us = now_us;
	boot.wall_ms = wall_ms();
	boot.disk = m.core ? &disk : nullptr;
	boot.codec = codec;
	ASSERT_EQ(node_create(&m.node, &boot, &err), MP_OK) << err.message;
	m.alive = true;
	m.exited = false;
	m.event_queue.clear(); /* what came while it was down */
	m.draining = false;
	tick(i, m.generation);
}

uint64_t
GatewaySim::wall_ms() const
{
	return WALL_START_MS + now_us / MS;
}

void
GatewaySim::kill(int i)
{
	GatewayInstance &m = *instances[(size_t)i];

	node_destroy(m.node);
	m.node = nullptr;
	m.event_counts.erase("placer"); /* its next process begins without */
	m.alive = false;
	m.generation++;
	m.event_queue.clear();
	m.kept_messages.clear();
	m.frozen = false;
	m.draining = false;
}

void
GatewaySim::wipe_disk(int i)
{
	instances[(size_t)i]->disk = Disk();
}

void
GatewaySim::freeze(int i, bool frozen)
{
	GatewayInstance &m = *instances[(size_t)i];
	std::deque<std::function<void()>> kept;

	m.frozen = frozen;
	if (!frozen)
		kept.swap(m.kept_messages);
	for (auto &message : kept)
		message();
}

void
GatewaySim::isolate(int i, bool isolated)
{
	for (int k = 0; k < (int)instances.size(); k++) {
		if (k == i)
			continue;
		if (isolated) {
			cut_links.insert({i, k});
			cut_links.insert({k, i});
		} else {
			cut_links.erase({i, k});
			cut_links.erase({k, i});
		}
	}
}

void
GatewaySim::stop(int i)
{
	struct node_event ev = {};

	ev.type = NODE_EV_STOP;
	step(i, ev);
}

/* ---- time --------------------------------------------------------------- */

void
GatewaySim::schedule(uint64_t when_us, std::function<void()> run)
{
	timers.emplace(when_us, run);
}

bool
GatewaySim::run_until(const std::function<bool()> &done, uint64_t ms)
{
	uint64_t end = now_us + ms * MS;

	while (!done()) {
		if (timers.empty() || timers.begin()->first > end) {
			now_us = end;
			return done();
		}
		auto first = timers.begin();
		std::function<void()> run = first->second;

		now_us = std::max(now_us, first->first);
		timers.erase(first);
		run();
	}
	return true;
}

void
GatewaySim::run_for_ms(uint64_t ms)
{
	(void)run_until([] { return false; }, ms);
}

void
GatewaySim::tick(int i, uint64_t generation)
{
	struct node_event ev = {};
	GatewayInstance &m = *instances[(size_t)i];

	if (m.generation != generation)
		return;
	ev.type = NODE_EV_TICK;
	if (!m.frozen)
		step(i, ev);
	schedule(now_us + kTickUs, [this, i, generation] {
		enqueue(i, [this, i, generation] { tick(i, generation); });
	});
}

void
GatewaySim::run_next_event(int i, uint64_t generation)
{
	GatewayInstance &m = *instances[(size_t)i];
	uint64_t cost = m.core ? core_event_us : entry_event_us;
	std::function<void()> run;

	if (m.generation != generation)
		return;
	run = std::move(m.event_queue.front());
	m.event_queue.pop_front();
	m.busy_until_us = now_us + cost;
	m.used_us += cost;
	run();
	m.draining = !m.event_queue.empty();
	if (m.draining)
		schedule(m.busy_until_us,
		    [this, i, generation] { run_next_event(i, generation); });
}

void
GatewaySim::enqueue(int i, std::function<void()> run)
{
	GatewayInstance &m = *instances[(size_t)i];
	uint64_t generation = m.generation;

	if ((m.core ? core_event_us : entry_event_us) == 0) {
		run();
		return;
	}
	m.event_queue.push_back(std::move(run));
	if (m.draining)
		return;
	m.draining = true;
	schedule(std::max(now_us, m.busy_until_us),
	    [this, i, generation] { run_next_event(i, generation); });
}

void
GatewaySim::step(int i, const struct node_event &ev)
{
	GatewayInstance &m = *instances[(size_t)i];

	int64_t before;

	if (!m.alive || m.exited)
		return;
	node_effects_clear(fx);
	before = allocated_bytes();
	node_step(m.node, now_us, &ev, fx);
	m.held_bytes += allocated_bytes() - before;
	m.held_bytes_max = std::max(m.held_bytes_max, m.held_bytes);
	apply_effects(i);
	before = allocated_bytes();
	node_effects_clear(fx);
	m.held_bytes += allocated_bytes() - before;
}

/* ---- effects ------------------------------------------------------------ */

int
GatewaySim::find_by_id(uint32_t id) const
{
	for (size_t i = 0; i < instances.size(); i++)
		if (instances[i]->settings != nullptr &&
		    instances[i]->settings->id == id)
			return (int)i;
	return -1;
}

uint64_t
GatewaySim::link_delay(int from, int to) const
{
	auto own = link_delays_us.find({from, to});

	return (own == link_delays_us.end() ? kNetworkDelayUs : own->second) +
	    (from == delayed_sender ? delay_us : 0);
}

/* Delivers a message, unless its link is cut or its receiver is frozen. */
void
GatewaySim::deliver(int from, int to, const std::string &bytes)
{
	GatewayInstance &m = *instances[(size_t)to];
	uint32_t from_id = instances[(size_t)from]->settings->id;

	if (cut_links.count({from, to}) > 0)
		return;
	if (m.frozen) {
		if (keep_messages_of_frozen)
			m.kept_messages.push_back([this, from, to, bytes] {
				deliver(from, to, bytes);
			});
		return;
	}
	enqueue(to, [this, to, from_id, bytes] {
		struct node_event ev = {};

		ev.type = NODE_EV_MESSAGE;
		ev.u.message.from = from_id;
		ev.u.message.bytes = {bytes.data(), bytes.size()};
		step(to, ev);
	});
}

void
GatewaySim::do_send(int i, const struct node_send &send)
{
	int to = find_by_id(send.to);
	std::string bytes(send.bytes.data, send.bytes.len);

	if (to < 0 || cut_links.count({i, to}) > 0 ||
	    (is_lost && is_lost(i, to, bytes)))
		return;
	schedule(now_us + link_delay(i, to) + transfer_delay(i, to, send),
	    [this, i, to, bytes] { deliver(i, to, bytes); });
}

void
GatewaySim::do_save(int i, const struct node_save &save)
{
	uint64_t generation = instances[(size_t)i]->generation;
	struct node_save copy = save;
	std::string data(
	    save.data.data == nullptr ? "" : save.data.data, save.data.len);

	GatewayInstance &writer = *instances[(size_t)i];
	auto own = disk_sync_us.find(i);

	/* A disk carries out its writes in order. */
	writer.disk_done_us = std::max(writer.disk_done_us,
	    now_us + (own == disk_sync_us.end() ? kDiskSyncUs : own->second));
	schedule(
	    writer.disk_done_us, [this, i, generation, copy, data]() mutable {
		    GatewayInstance &m = *instances[(size_t)i];
		    struct node_event ev = {};

		    if (m.generation != generation)
			    return;
		    copy.data = {data.data(), data.size()};
		    m.disk.write(copy);
		    if (copy.ticket == 0)
			    return;
		    ev.type = NODE_EV_SAVED;
		    ev.u.saved.ticket = copy.ticket;
		    ev.u.saved.ok = true;
		    step(i, ev);
	    });
}

void
GatewaySim::break_call(int i, uint64_t call, uint64_t generation)
{
	if (instances[(size_t)i]->generation != generation ||
	    open_calls.erase({i, call}) == 0 || cancelled_calls.count(call) > 0)
		return;
	enqueue(i, [this, i, call] {
		struct node_event ev = {};

		ev.type = NODE_EV_CALL;
		ev.u.call.call = call;
		ev.u.call.phase = NODE_CALL_BROKEN;
		step(i, ev);
	});
}

void
GatewaySim::do_call(int i, const struct node_call &call)
{
	EndpointCall s = {i, call.call, call.address, call.method, call.path,
	    std::string(call.body.data ? call.body.data : "", call.body.len),
	    {}};

	for (size_t k = 0; k < call.nheaders; k++)
		s.headers[call.headers[k].name] = call.headers[k].value;
	for (size_t k = 0; k < call.nextra_headers; k++)
		s.headers[call.extra_headers[k].name] =
		    call.extra_headers[k].value;
	if (break_silent_calls && call.silence_us > 0) {
		uint64_t generation = instances[(size_t)i]->generation,
			 id = call.call;

		open_calls.insert({i, id});
		schedule(now_us + call.silence_us, [this, i, id, generation] {
			break_call(i, id, generation);
		});
	}
	if (on_call)
		on_call(s);
	else
		endpoint_calls.push_back(s);
}

void
GatewaySim::apply_effects(int i)
{
	/*
	 * Saves and messages are copied, so that no other step can clear the
	 * effects meanwhile.
	 */
	for (size_t k = 0; k < node_effects_count(fx); k++) {
		const struct node_effect *e = node_effects_at(fx, k);

		switch (e->type) {
		case NODE_FX_SEND:
			do_send(i, e->u.send);
			break;
		case NODE_FX_SAVE:
			do_save(i, e->u.save);
			break;
		case NODE_FX_CALL:
			do_call(i, e->u.call);
			break;
		case NODE_FX_CALL_CANCEL:
			cancelled_calls.insert(e->u.cancelled_call);
			break;
		case NODE_FX_REPLY:
			replies[e->u.reply.request].status = e->u.reply.status;
			replies[e->u.reply.request].body = std::string(
			    e->u.reply.body.data ? e->u.reply.body.data : "",
			    e->u.reply.body.len);
			for (size_t k = 0; k < e->u.reply.nheaders; k++)
				if (std::string(e->u.reply.headers[k].name) ==
				    "Retry-After")
					replies[e->u.reply.request]
					    .retry_after =
					    e->u.reply.headers[k].value;
			replies[e->u.reply.request].is_complete =
			    !e->u.reply.more;
			replies[e->u.reply.request].ended_us =
			    e->u.reply.more ? 0 : now_us;
			if (on_reply)
				on_reply(e->u.reply.request);
			break;
		case NODE_FX_REPLY_END: {
			Reply &r = replies[e->u.reply_end.request];

			r.is_complete = !e->u.reply_end.aborted;
			r.is_aborted = e->u.reply_end.aborted;
			r.ended_us = now_us;
			break;
		}
		case NODE_FX_LOG:
			instances[(size_t)i]->event_counts[e->u.log.name]++;
			if (getenv("WORLD_LOG") != nullptr)
				fprintf(stderr, "%9.3f m%d %s %s\n",
				    (double)now_us / 1e6, i, e->u.log.name,
				    e->u.log.fields);
			break;
		case NODE_FX_EXIT:
			instances[(size_t)i]->exited = true;
			break;
		default:
			break;
		}
	}
}

/* ---- callers, endpoints, operators -------------------------------------- */

uint64_t
GatewaySim::send_request(int i, node_listener listener, const char *method,
    const std::string &path, const std::string &body,
    std::vector<std::pair<std::string, std::string>> headers)
{
	std::vector<node_header> list;
	struct node_event ev = {};

	for (auto &h : headers)
		list.push_back({h.first.c_str(), h.second.c_str()});
	ev.type = NODE_EV_REQUEST;
	ev.u.request.request = ++last_request;
	ev.u.request.listener = listener;
	ev.u.request.method = method;
	ev.u.request.path = path.c_str();
	ev.u.request.body = {body.data(), body.size()};
	ev.u.request.authorization = authorization;
	ev.u.request.headers = list.data();
	ev.u.request.nheaders = list.size();
	step(i, ev);
	return ev.u.request.request;
}

Reply
GatewaySim::request_and_wait(int i, node_listener listener, const char *method,
    const std::string &path, const std::string &body, uint64_t ms)
{
	uint64_t id = send_request(i, listener, method, path, body);

	(void)run_until([&] { return replies.count(id) > 0; }, ms);
	return replies[id];
}

Reply
GatewaySim::ask_as_operator(int i, const char *method, const std::string &path)
{
	Reply reply;

	authorization = "Bearer op";
	reply = request_and_wait(i, NODE_LISTEN_API, method, path);
	authorization = nullptr;
	return reply;
}

static std::string
announcement(const std::string &id, const std::string &state, uint64_t sequence,
    uint64_t born)
{
	return "{\"service\":\"app\",\"address\":\"10.1.0." + id.substr(1) +
	    ":80\",\"zone\":\"z\",\"slots\":6,\"state\":\"" + state +
	    "\",\"born\":" + std::to_string(born) +
	    ",\"sequence\":" + std::to_string(sequence) + "}";
}

Reply
GatewaySim::announce(int i, const std::string &id, const std::string &state,
    uint64_t sequence, uint64_t born)
{
	return request_and_wait(i, NODE_LISTEN_CONTROL, "PUT",
	    "/api/instances/" + id,
	    announcement(
		id, state, sequence != 0 ? sequence : ++last_sequence, born));
}

void
GatewaySim::send_announcement(int i, const std::string &id)
{
	(void)send_request(i, NODE_LISTEN_CONTROL, "PUT",
	    "/api/instances/" + id,
	    announcement(id, "ready", ++last_sequence, 1));
}

void
GatewaySim::answer_call(const EndpointCall &call, int status,
    const std::string &body, std::vector<node_header> headers)
{
	struct node_event ev = {};

	auto attempt = call.headers.find("Mulberrypath-Attempt-Id");
	if (status == 200)
		headers.push_back({"Mulberrypath-Server-Signature", "s"});
	if (attempt != call.headers.end())
		headers.push_back(
		    {"Mulberrypath-Attempt-Id", attempt->second.c_str()});
	open_calls.erase({call.instance, call.call});
	ev.type = NODE_EV_CALL;
	ev.u.call.call = call.call;
	ev.u.call.phase = NODE_CALL_HEAD;
	ev.u.call.status = status;
	ev.u.call.headers = headers.data();
	ev.u.call.nheaders = headers.size();
	step(call.instance, ev);
	ev.u.call.phase = NODE_CALL_DATA;
	ev.u.call.data = {body.data(), body.size()};
	step(call.instance, ev);
	ev.u.call.phase = NODE_CALL_END;
	step(call.instance, ev);
}

int
GatewaySim::leader() const
{
	int found = -1;

	for (size_t i = 0; i < instances.size(); i++) {
		auto &m = instances[i];

		if (m->alive && !m->frozen &&
		    m->event_counts["placer"] % 2 == 1)
			found = (int)i;
	}
	return found;
}

void
GatewaySim::end_call(const EndpointCall &call, node_call_phase phase)
{
	struct node_event ev = {};

	open_calls.erase({call.instance, call.call});
	ev.type = NODE_EV_CALL;
	ev.u.call.call = call.call;
	ev.u.call.phase = phase;
	ev.u.call.closed_by_peer = phase == NODE_CALL_BROKEN;
	step(call.instance, ev);
}

void
GatewaySim::leave_request(int i, uint64_t request)
{
	struct node_event ev = {};

	ev.type = NODE_EV_CALLER_GONE;
	ev.u.gone_request = request;
	step(i, ev);
}

void
GatewaySim::answer_call_part(const EndpointCall &call, bool first,
    const std::string &body, std::vector<node_header> headers)
{
	struct node_event ev = {};

	headers.push_back({"Mulberrypath-Server-Signature", "s"});
	open_calls.erase({call.instance, call.call});
	ev.type = NODE_EV_CALL;
	ev.u.call.call = call.call;
	ev.u.call.phase = NODE_CALL_HEAD;
	ev.u.call.status = 200;
	ev.u.call.headers = headers.data();
	ev.u.call.nheaders = headers.size();
	if (first)
		step(call.instance, ev);
	ev.u.call.phase = NODE_CALL_DATA;
	ev.u.call.data = {body.data(), body.size()};
	step(call.instance, ev);
}

bool
GatewaySim::all_entries_ready()
{
	for (size_t i = 0; i < instances.size(); i++)
		if (instances[i]->alive && !instances[i]->core &&
		    request_and_wait(
			(int)i, NODE_LISTEN_READINESS, "GET", "/api/readiness")
			    .status != 200)
			return false;
	return true;
}
