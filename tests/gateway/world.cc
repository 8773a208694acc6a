#include "world.h"

#include "mulberrypath/settings.h"

static const uint64_t kTickUs = 5 * MS, kWayUs = 1 * MS, kSyncUs = 4 * MS;

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

World::World(int cores, int entries)
{
	for (int i = 0; i < cores; i++) {
		(void)add(true);
		if (i < 3)
			seeds.push_back(machines.back()->ip + ":8000");
	}
	for (int i = 0; i < entries; i++)
		(void)add(false);
}

World::~World()
{
	for (auto &m : machines) {
		node_destroy(m->node);
		settings_destroy(m->settings);
	}
	node_effects_destroy(fx);
}

int
World::add(bool core)
{
	machines.push_back(std::make_unique<Machine>());
	machines.back()->core = core;
	machines.back()->ip = "10.0.0." + std::to_string(machines.size());
	return (int)machines.size() - 1;
}

void
World::start(int i)
{
	Machine &m = *machines[(size_t)i];
	struct settings_problems problems = {};
	struct node_boot boot = {};
	struct mp_error err = {};
	struct node_disk disk = {};
	std::string list, records;

	for (auto &s : seeds)
		list += (list.empty() ? "\"" : ",\"") + s + "\"";
	m.text = "{\"cluster\":\"c\",\"instance\":{\"name\":\"m" +
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
	    ",\"founding\":" + (first_start ? "true" : "false") +
	    ",\"fenced\":true}}";
	settings_destroy(m.settings);
	ASSERT_EQ(settings_parse(&m.settings, m.text.data(), m.text.size(),
		      &problems, &err),
	    MP_OK)
	    << problems.items[0].path << " " << problems.items[0].found;
	settings_problems_free(&problems);
	m.life++;
	if (m.disk.incarnation == 0)
		m.disk.incarnation = now * 17 + (uint64_t)i + m.life;
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
	boot.incarnation = now * 31 + (uint64_t)i * 7 + m.life;
	boot.seed = boot.incarnation;
	boot.now_us = now;
	boot.disk = m.core ? &disk : nullptr;
	boot.codec = &platform_codec;
	ASSERT_EQ(node_create(&m.node, &boot, &err), MP_OK) << err.message;
	m.alive = true;
	m.exited = false;
	tick(i, m.life);
}

void
World::kill(int i)
{
	Machine &m = *machines[(size_t)i];

	node_destroy(m.node);
	m.node = nullptr;
	m.alive = false;
	m.life++;
	m.queue.clear();
	m.draining = false;
}

void
World::wipe(int i)
{
	machines[(size_t)i]->disk = Disk();
}

void
World::freeze(int i, bool frozen)
{
	machines[(size_t)i]->frozen = frozen;
}

void
World::cut(int i, bool cut)
{
	for (int k = 0; k < (int)machines.size(); k++) {
		if (k == i)
			continue;
		if (cut) {
			cuts.insert({i, k});
			cuts.insert({k, i});
		} else {
			cuts.erase({i, k});
			cuts.erase({k, i});
		}
	}
}

void
World::stop(int i)
{
	struct node_event ev = {};

	ev.type = NODE_EV_STOP;
	step(i, ev);
}

/* ---- time --------------------------------------------------------------- */

void
World::at(uint64_t when, std::function<void()> run)
{
	timers.emplace(when, run);
}

bool
World::until(const std::function<bool()> &done, uint64_t ms)
{
	uint64_t end = now + ms * MS;

	while (!done()) {
		if (timers.empty() || timers.begin()->first > end) {
			now = end;
			return done();
		}
		auto first = timers.begin();
		std::function<void()> run = first->second;

		now = std::max(now, first->first);
		timers.erase(first);
		run();
	}
	return true;
}

void
World::run(uint64_t ms)
{
	(void)until([] { return false; }, ms);
}

void
World::tick(int i, uint64_t life)
{
	struct node_event ev = {};
	Machine &m = *machines[(size_t)i];

	if (m.life != life)
		return;
	ev.type = NODE_EV_TICK;
	if (!m.frozen)
		step(i, ev);
	at(now + kTickUs,
	    [this, i, life] { feed(i, [this, i, life] { tick(i, life); }); });
}

void
World::drain(int i, uint64_t life)
{
	Machine &m = *machines[(size_t)i];
	uint64_t cost = m.core ? core_event_us : entry_event_us;
	std::function<void()> run;

	if (m.life != life)
		return;
	run = std::move(m.queue.front());
	m.queue.pop_front();
	m.busy_until = now + cost;
	m.used_us += cost;
	run();
	m.draining = !m.queue.empty();
	if (m.draining)
		at(m.busy_until, [this, i, life] { drain(i, life); });
}

void
World::feed(int i, std::function<void()> run)
{
	Machine &m = *machines[(size_t)i];
	uint64_t life = m.life;

	if ((m.core ? core_event_us : entry_event_us) == 0) {
		run();
		return;
	}
	m.queue.push_back(std::move(run));
	if (m.draining)
		return;
	m.draining = true;
	at(std::max(now, m.busy_until), [this, i, life] { drain(i, life); });
}

void
World::step(int i, const struct node_event &ev)
{
	Machine &m = *machines[(size_t)i];

	if (!m.alive || m.exited)
		return;
	node_effects_clear(fx);
	node_step(m.node, now, &ev, fx);
	execute(i);
}

/* ---- effects ------------------------------------------------------------ */

int
World::by_id(uint32_t id) const
{
	for (size_t i = 0; i < machines.size(); i++)
		if (machines[i]->settings != nullptr &&
		    machines[i]->settings->id == id)
			return (int)i;
	return -1;
}

void
World::do_send(int i, const struct node_send &send)
{
	int to = by_id(send.to);
	std::string bytes(send.bytes.data, send.bytes.len);
	uint32_t from = machines[(size_t)i]->settings->id;

	if (to < 0 || cuts.count({i, to}) > 0)
		return;
	at(now + kWayUs + (i == late ? late_us : 0),
	    [this, i, to, from, bytes] {
		    struct node_event ev = {};

		    if (cuts.count({i, to}) > 0 || machines[(size_t)to]->frozen)
			    return;
		    ev.type = NODE_EV_MESSAGE;
		    ev.u.message.from = from;
		    feed(to, [this, to, bytes, ev]() mutable {
			    ev.u.message.bytes = {bytes.data(), bytes.size()};
			    step(to, ev);
		    });
	    });
}

void
World::do_save(int i, const struct node_save &save)
{
	uint64_t life = machines[(size_t)i]->life;
	struct node_save copy = save;
	std::string data(
	    save.data.data == nullptr ? "" : save.data.data, save.data.len);

	at(now + kSyncUs, [this, i, life, copy, data]() mutable {
		Machine &m = *machines[(size_t)i];
		struct node_event ev = {};

		if (m.life != life)
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
World::break_call(int i, uint64_t call, uint64_t life)
{
	if (machines[(size_t)i]->life != life || open.erase({i, call}) == 0 ||
	    cancelled.count(call) > 0)
		return;
	feed(i, [this, i, call] {
		struct node_event ev = {};

		ev.type = NODE_EV_CALL;
		ev.u.call.call = call;
		ev.u.call.phase = NODE_CALL_BROKEN;
		step(i, ev);
	});
}

void
World::do_call(int i, const struct node_call &call)
{
	Sent s = {i, call.call, call.address, call.method, call.path,
	    std::string(call.body.data ? call.body.data : "", call.body.len),
	    {}};

	for (size_t k = 0; k < call.nheaders; k++)
		s.headers[call.headers[k].name] = call.headers[k].value;
	for (size_t k = 0; k < call.nextra_headers; k++)
		s.headers[call.extra_headers[k].name] =
		    call.extra_headers[k].value;
	if (break_silent && call.silence_us > 0) {
		uint64_t life = machines[(size_t)i]->life, id = call.call;

		open.insert({i, id});
		at(now + call.silence_us,
		    [this, i, id, life] { break_call(i, id, life); });
	}
	if (on_call)
		on_call(s);
	else
		sent.push_back(s);
}

void
World::execute(int i)
{
	/* Saves and messages are copied, so no step can come in between. */
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
			cancelled.insert(e->u.cancelled_call);
			break;
		case NODE_FX_REPLY:
			replies[e->u.reply.request].status = e->u.reply.status;
			replies[e->u.reply.request].body = std::string(
			    e->u.reply.body.data ? e->u.reply.body.data : "",
			    e->u.reply.body.len);
			replies[e->u.reply.request].whole = !e->u.reply.more;
			if (on_reply)
				on_reply(e->u.reply.request);
			break;
		case NODE_FX_LOG:
			machines[(size_t)i]->logs[e->u.log.name]++;
			if (getenv("WORLD_LOG") != nullptr)
				fprintf(stderr, "%9.3f m%d %s %s\n",
				    (double)now / 1e6, i, e->u.log.name,
				    e->u.log.fields);
			break;
		case NODE_FX_EXIT:
			machines[(size_t)i]->exited = true;
			break;
		default:
			break;
		}
	}
}

/* ---- callers, endpoints, operators -------------------------------------- */

uint64_t
World::request(int i, node_listener listener, const char *method,
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
	ev.u.request.headers = list.data();
	ev.u.request.nheaders = list.size();
	step(i, ev);
	return ev.u.request.request;
}

Reply
World::ask(int i, node_listener listener, const char *method,
    const std::string &path, const std::string &body, uint64_t ms)
{
	uint64_t id = request(i, listener, method, path, body);

	(void)until([&] { return replies.count(id) > 0; }, ms);
	return replies[id];
}

Reply
World::announce(int i, const std::string &id, const std::string &state,
    uint64_t sequence, uint64_t born)
{
	return ask(i, NODE_LISTEN_CONTROL, "PUT", "/api/instances/" + id,
	    "{\"service\":\"app\",\"address\":\"10.1.0." + id.substr(1) +
		":80\",\"zone\":\"z\",\"slots\":6,\"state\":\"" + state +
		"\",\"born\":" + std::to_string(born) + ",\"sequence\":" +
		std::to_string(sequence != 0 ? sequence : ++last_sequence) +
		"}");
}

void
World::answer(const Sent &call, int status, const std::string &body)
{
	node_header headers[] = {{"Mulberrypath-Server-Signature", "s"}};
	struct node_event ev = {};

	open.erase({call.machine, call.call});
	ev.type = NODE_EV_CALL;
	ev.u.call.call = call.call;
	ev.u.call.phase = NODE_CALL_HEAD;
	ev.u.call.status = status;
	ev.u.call.headers = headers;
	ev.u.call.nheaders = status == 200 ? 1 : 0;
	step(call.machine, ev);
	ev.u.call.phase = NODE_CALL_DATA;
	ev.u.call.data = {body.data(), body.size()};
	step(call.machine, ev);
	ev.u.call.phase = NODE_CALL_END;
	step(call.machine, ev);
}

int
World::leader() const
{
	int found = -1;

	for (size_t i = 0; i < machines.size(); i++) {
		auto &m = machines[i];

		if (m->alive && !m->frozen && m->logs["placer"] % 2 == 1)
			found = (int)i;
	}
	return found;
}

void
World::answer_part(const Sent &call, bool first, const std::string &body)
{
	struct node_event ev = {};

	open.erase({call.machine, call.call});
	ev.type = NODE_EV_CALL;
	ev.u.call.call = call.call;
	ev.u.call.phase = NODE_CALL_HEAD;
	ev.u.call.status = 200;
	if (first)
		step(call.machine, ev);
	ev.u.call.phase = NODE_CALL_DATA;
	ev.u.call.data = {body.data(), body.size()};
	step(call.machine, ev);
}

/* All entries say that they are ready. */
bool
World::ready()
{
	for (size_t i = 0; i < machines.size(); i++)
		if (machines[i]->alive && !machines[i]->core &&
		    ask((int)i, NODE_LISTEN_READINESS, "GET", "/api/readiness")
			    .status != 200)
			return false;
	return true;
}
