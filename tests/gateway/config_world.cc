#include "config_world.h"

#include <algorithm>
#include <cstring>

static const uint64_t kStepUs = 20 * MS;
static const uint64_t kPlayUs = 40000 * MS;
static const uint64_t kAnswerUs = 1000 * MS; /* an operator waits so long */
static const uint64_t kDiskRepairUs = 15000 * MS;
static const int kRoutes = 3; /* of a version */

ConfigWorld::ConfigWorld(unsigned seed)
    : seed(seed), random(seed * 7919u + 1), cores(seed % 2 == 0 ? 3 : 5),
      entries(4)
{
	sim = std::make_unique<GatewaySim>(cores, entries);
	sim->keep_messages_of_frozen = seed % 3 != 0;
	sim->core_event_us = seed % 5 * 150;
	sim->entry_event_us = seed % 7 * 100;
	entry_trouble_us.resize((size_t)(cores + entries));
	/* Links differ, so that any core may be the first to answer. */
	for (int a = 0; a < cores + entries; a++)
		for (int b = 0; b < a; b++) {
			uint64_t us = 100 + below(3000);

			sim->link_delays_us[{a, b}] = us;
			sim->link_delays_us[{b, a}] = us;
		}
}

void
ConfigWorld::fail(const std::string &what)
{
	violations.push_back("seed " + std::to_string(seed) + " at " +
	    std::to_string((double)sim->now_us / 1e6) + " s: " + what);
}

/* ---- who is in touch ---------------------------------------------------- */

bool
ConfigWorld::is_up(int i) const
{
	return sim->instances[(size_t)i]->alive &&
	    !sim->instances[(size_t)i]->frozen;
}

bool
ConfigWorld::is_cut(int a, int b) const
{
	return sim->cut_links.count({a, b}) > 0 ||
	    sim->cut_links.count({b, a}) > 0;
}

bool
ConfigWorld::reaches_majority(int core) const
{
	int reached = 1;

	if (!is_up(core))
		return false;
	for (int k = 0; k < cores; k++)
		reached += k != core && is_up(k) && !is_cut(core, k);
	return reached > cores / 2;
}

/* Whether all running cores of the majority reach the entry. */
bool
ConfigWorld::is_reached_by_majority(int entry) const
{
	for (int k = 0; k < cores; k++)
		if (reaches_majority(k) && is_cut(entry, k))
			return false;
	return true;
}

/* Notes which entries are disturbed now, and whether a quorum is lost. */
void
ConfigWorld::watch_trouble()
{
	int connected = 0;

	for (int k = 0; k < cores; k++)
		connected += reaches_majority(k) && slow_cores.count(k) == 0;
	if (connected <= cores / 2)
		majority_lost_us = sim->now_us;
	if (!slow_cores.empty())
		core_trouble();
	for (int i = cores; i < cores + entries; i++)
		if (!is_up(i) || !is_reached_by_majority(i))
			entry_trouble_us[(size_t)i] = sim->now_us;
}

/* The time within which a change must be in force at an entry; 0: any. */
uint64_t
ConfigWorld::bound_for(int entry) const
{
	uint64_t now = sim->now_us;

	if (now < entry_trouble_us[(size_t)entry] + kCalmUs)
		return 0;
	if (now >= core_trouble_us + kCalmUs &&
	    now >= majority_lost_us + kCalmUs)
		return kApplyUs;
	return now >= majority_lost_us + kApplyUs + kUnstableUs
	    ? kApplyUs + kUnstableUs
	    : 0;
}

/* ---- trouble ------------------------------------------------------------ */

void
ConfigWorld::cut(
    std::set<int> side, std::set<int> other, bool one_way, uint64_t for_us)
{
	std::vector<std::pair<int, int>> links;

	for (int a : side)
		for (int b : other) {
			if (a == b || side.count(b) > 0)
				continue;
			links.push_back({a, b});
			if (!one_way)
				links.push_back({b, a});
		}
	for (auto &link : links)
		sim->cut_links.insert(link);
	core_trouble();
	sim->schedule(sim->now_us + for_us, [this, links] {
		for (auto &link : links)
			sim->cut_links.erase(link);
		core_trouble();
	});
}

void
ConfigWorld::kill(int i, uint64_t for_us, bool wipe)
{
	if (!sim->instances[(size_t)i]->alive)
		return;
	sim->kill(i);
	if (wipe)
		sim->wipe_disk(i);
	if (i < cores)
		core_trouble();
	seen.erase(i);
	sim->schedule(sim->now_us + for_us, [this, i] {
		sim->start(i);
		if (i < cores)
			core_trouble();
	});
}

void
ConfigWorld::freeze(int i, uint64_t for_us)
{
	uint64_t generation = sim->instances[(size_t)i]->generation;

	if (!is_up(i))
		return;
	sim->freeze(i, true);
	if (i < cores)
		core_trouble();
	sim->schedule(sim->now_us + for_us, [this, i, generation] {
		if (sim->instances[(size_t)i]->generation != generation)
			return;
		sim->freeze(i, false);
		if (i < cores)
			core_trouble();
		else
			entry_trouble_us[(size_t)i] = sim->now_us;
	});
}

/* The disk of a core takes very long, and so does the way of its messages. */
void
ConfigWorld::make_slow(int i, uint64_t for_us)
{
	if (slow_cores.size() > 0)
		return;
	slow_cores.insert(i);
	sim->disk_sync_us[i] = (20 + below(200)) * MS;
	sim->delayed_sender = i;
	sim->delay_us = below(150) * MS;
	sim->schedule(sim->now_us + for_us, [this, i] {
		slow_cores.erase(i);
		sim->disk_sync_us.erase(i);
		sim->delayed_sender = -1;
		core_trouble();
	});
}

/*
 * Whether a disk may be lost now: a cluster bears one loss at a time, and the
 * loss before has been repaired.
 */
bool
ConfigWorld::may_lose_disk()
{
	for (int k = 0; k < cores; k++)
		if (!reaches_majority(k))
			return false;
	if (sim->now_us < next_wipe_us ||
	    sim->now_us < majority_lost_us + kDiskRepairUs)
		return false;
	next_wipe_us = sim->now_us + kDiskRepairUs;
	return true;
}

void
ConfigWorld::begin_trouble()
{
	std::set<int> all_cores, side;
	int leader = sim->leader(),
	    entry = cores + (int)below((uint64_t)entries);
	int core = leader >= 0 && leader < cores && chance(0.6)
	    ? leader
	    : (int)below((uint64_t)cores);
	uint64_t for_us = (500 + below(8500)) * MS;

	for (int k = 0; k < cores; k++)
		all_cores.insert(k);
	side = {core};
	if (cores == 5 && chance(0.4))
		side.insert((core + 1 + (int)below(4)) % cores);
	switch (below(9)) {
	case 0: /* cores are cut off from the others, not from entries */
	case 1:
		cut(side, all_cores, false, for_us);
		break;
	case 2:
		cut({core}, all_cores, true, for_us);
		break;
	case 3: /* the link of an entry to one core is lost */
		cut({entry}, {core}, chance(0.3), for_us);
		break;
	case 4:
		kill(core, for_us / 2, may_lose_disk() && chance(0.3));
		break;
	case 5:
		freeze(core, for_us);
		break;
	case 6:
		kill(entry, 200 * MS, false);
		break;
	case 7:
		freeze(entry, for_us);
		break;
	default:
		make_slow(core, for_us);
		break;
	}
}

/* ---- changes ------------------------------------------------------------ */

std::string
ConfigWorld::text(int version, const std::string &extra) const
{
	std::string routes;

	for (int v = version; v > version - kRoutes; v--)
		routes += (routes.empty() ? "" : ",") +
		    std::string("{\"name\":\"r") + std::to_string(v) +
		    "\",\"host\":\"h.example\",\"path_prefix\":\"/r" +
		    std::to_string(v) + extra +
		    "/\",\"type\":\"non_idempotent\",\"timeout_ms\":2000,"
		    "\"service\":\"app\"}";
	return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
	    routes + "],\"services\":[{\"name\":\"app\"}]}";
}

void
ConfigWorld::begin_change()
{
	Change c;
	size_t begun = changes.size();

	c.version = ++next_version;
	c.text = text(c.version);
	changes.push_back(c);
	if (chance(0.2)) { /* another operator takes the same number */
		c.text = text(c.version, "x");
		changes.push_back(c);
	}
	if (chance(0.1)) { /* a route to a service that doesn't exist */
		c.version++;
		c.text = text(c.version);
		c.text.replace(
		    c.text.find("\"name\":\"app\""), 12, "\"name\":\"none\"");
		c.is_valid = false;
		changes.push_back(c);
	}
	while (begun < changes.size()) {
		changes[begun].sent_us = sim->now_us;
		send_change(begun++);
	}
}

/* Sends a change to some core that runs. */
void
ConfigWorld::send_change(size_t index)
{
	int core = (int)below((uint64_t)cores);

	changes[index].request_due_us = sim->now_us + kAnswerUs;
	changes[index].request = 0;
	if (!is_up(core)) {
		changes[index].request_due_us = sim->now_us + 100 * MS;
		return;
	}
	changes[index].request = sim->next_request_id();
	(void)sim->send_request(core, NODE_LISTEN_CONTROL, "PUT",
	    "/api/configuration", changes[index].text);
}

void
ConfigWorld::on_change_answered(Change &c, int status)
{
	c.request = 0;
	c.request_due_us = sim->now_us + 50 * MS;
	if (status >= 500)
		return; /* sent again */
	c.is_ended = true;
	c.status = status;
	if (status != 200) {
		if (c.is_valid && status != 409)
			fail("valid version " + std::to_string(c.version) +
			    " refused with " + std::to_string(status));
		return;
	}
	c.acked_us = sim->now_us;
	changes_acknowledged++;
	if (sim->now_us >= core_trouble_us + kCalmUs &&
	    c.sent_us >= core_trouble_us + kCalmUs)
		worst_acknowledgement_us =
		    std::max(worst_acknowledgement_us, sim->now_us - c.sent_us);
	if (!c.is_valid)
		fail("invalid version " + std::to_string(c.version) +
		    " acknowledged");
	for (auto &other : changes)
		if (&other != &c && other.version == c.version &&
		    other.acked_us != 0 && other.text != c.text &&
		    next_version <= c.version)
			fail("two contents of version " +
			    std::to_string(c.version) + " acknowledged");
}

void
ConfigWorld::drive_changes()
{
	bool is_busy = false;

	for (size_t i = 0; i < changes.size(); i++) {
		Change &c = changes[i];

		if (c.is_ended)
			continue;
		is_busy = true;
		if (sim->now_us >= c.request_due_us)
			send_change(i);
	}
	if (!is_busy && sim->now_us < end_us && chance(0.06))
		begin_change();
}

/* ---- what callers and operators see ------------------------------------- */

/* The highest version that was acknowledged by then; 0: none. */
int
ConfigWorld::version_acked_before(uint64_t us) const
{
	int version = 0;

	for (auto &c : changes)
		if (c.is_valid && c.acked_us != 0 && c.acked_us <= us)
			version = std::max(version, c.version);
	return version;
}

/*
 * Whether a configuration that was sent, of that version or a higher one, has
 * the route, or lacks it.
 */
bool
ConfigWorld::may_have_route(int route, bool has, int from_version) const
{
	std::string prefix = "/r" + std::to_string(route) + "/";

	for (auto &c : changes)
		if (c.is_valid && c.version >= from_version &&
		    (c.text.find(prefix) != std::string::npos) == has)
			return true;
	return false;
}

/* Asks an entry for a route that was added or dropped lately. */
void
ConfigWorld::send_probe(int entry)
{
	int newest = std::max(version_acked_before(sim->now_us), 11);
	int route = newest - (int)below(6);
	Probe p = {entry, route, sim->now_us,
	    sim->instances[(size_t)entry]->generation, bound_for(entry)};

	if (!is_up(entry))
		return;
	probes[sim->next_request_id()] = p;
	(void)sim->send_request(entry, NODE_LISTEN_FRONT, "POST",
	    "/r" + std::to_string(route) + "/x", "body",
	    {{"Host", "h.example"},
		{"Mulberrypath-Attempt-Id",
		    std::to_string(sim->next_request_id())},
		{"Mulberrypath-Deadline-Ms", "9000"}});
}

/* Finds probes that are held past the timeout of their route. */
void
ConfigWorld::judge_unanswered()
{
	for (auto p = probes.begin(); p != probes.end();) {
		const Probe &probe = p->second;
		size_t entry = (size_t)probe.entry;

		if (sim->now_us < probe.sent_us + kTimeoutUs + kAnswerSlackUs) {
			p++;
			continue;
		}
		if (sim->instances[entry]->generation == probe.generation &&
		    entry_trouble_us[entry] < probe.sent_us)
			fail("entry " + std::to_string(entry) +
			    " holds a request past its timeout");
		p = probes.erase(p);
	}
}

/* Notes the oldest acknowledged version that an answer can't know of. */
void
ConfigWorld::note_lag(const Probe &p, int status)
{
	uint64_t &worst =
	    p.bound_us == kApplyUs ? worst_lag_us : worst_unstable_lag_us;

	for (auto &c : changes)
		if (c.is_valid && c.acked_us != 0 && c.acked_us < p.sent_us &&
		    !may_have_route(p.route, status == 200, c.version))
			worst = std::max(worst, p.sent_us - c.acked_us);
}

void
ConfigWorld::judge_probe(const Probe &p, int status)
{
	std::string where = "entry " + std::to_string(p.entry) + ", route " +
	    std::to_string(p.route);
	int acked;

	if (status != 404 && status != 200)
		return; /* promises nothing about the configuration */
	if (p.bound_us == 0)
		return;
	probes_judged++;
	note_lag(p, status);
	acked = version_acked_before(p.sent_us - p.bound_us);
	if (!may_have_route(p.route, status == 200, acked))
		fail(where + ": " + std::to_string(status) +
		    " as an older version says; version " +
		    std::to_string(acked) + " was acknowledged more than " +
		    std::to_string(p.bound_us / MS) + " ms before");
}

void
ConfigWorld::send_read()
{
	int core = (int)below((uint64_t)cores);

	if (!is_up(core))
		return;
	reads[sim->next_request_id()] = {sim->now_us};
	(void)sim->send_request(
	    core, NODE_LISTEN_CONTROL, "GET", "/api/configuration");
}

void
ConfigWorld::judge_read(const Read &r, const Reply &reply)
{
	int acked = version_acked_before(r.sent_us), version = 0;
	bool is_known = false;

	if (reply.status != 200)
		return;
	(void)sscanf(reply.body.c_str(), "{\"version\":%d", &version);
	for (auto &c : changes)
		is_known = is_known || (c.is_valid && c.text == reply.body);
	if (version < acked)
		fail("read version " + std::to_string(version) + " after " +
		    std::to_string(acked) + " was acknowledged");
	if (!is_known)
		fail("read what nobody may have put in force, version " +
		    std::to_string(version));
	for (auto &c : changes)
		if (c.version == version && c.text != reply.body &&
		    c.acked_us != 0 && c.acked_us <= r.sent_us &&
		    c.status == 200 && version == acked)
			fail("read other content of version " +
			    std::to_string(version));
}

void
ConfigWorld::on_reply(uint64_t request)
{
	const Reply reply = sim->replies[request];
	auto probe = probes.find(request);
	auto read = reads.find(request);

	for (auto &c : changes)
		if (c.request == request) {
			on_change_answered(c, reply.status);
			return;
		}
	if (probe != probes.end()) {
		judge_probe(probe->second, reply.status);
		probes.erase(probe);
	} else if (read != reads.end()) {
		judge_read(read->second, reply);
		reads.erase(read);
	}
}

/* ---- the play ----------------------------------------------------------- */

void
ConfigWorld::announce()
{
	static uint64_t sequence = 0;
	int core = (int)below((uint64_t)cores);

	if (!is_up(core))
		return;
	for (int e = 1; e <= 2; e++)
		(void)sim->send_request(core, NODE_LISTEN_CONTROL, "PUT",
		    "/api/instances/e" + std::to_string(e),
		    "{\"service\":\"app\",\"address\":\"10.1.0." +
			std::to_string(e) +
			":80\",\"zone\":\"z\",\"slots\":64,\"state\":\"ready\","
			"\"born\":1,\"sequence\":" +
			std::to_string(++sequence) + "}");
}

void
ConfigWorld::start()
{
	Change first;

	for (int i = 0; i < cores + entries; i++)
		sim->start(i);
	sim->on_reply = [this](uint64_t request) { on_reply(request); };
	sim->on_call = [this](const GatewaySim::EndpointCall &call) {
		if (chance(0.02)) /* it is never answered */
			return;
		sim->schedule(sim->now_us + 2 * MS,
		    [this, call] { sim->answer_call(call, 200, "answer"); });
	};
	(void)sim->run_until([this] { return sim->leader() >= 0; }, 10000);
	first.version = next_version;
	first.text = text(first.version);
	first.sent_us = sim->now_us;
	changes.push_back(first);
	send_change(0);
	for (int i = 0; i < 150; i++) {
		sim->run_for_ms(20);
		drive_changes();
		if (i % 25 == 0)
			announce();
	}
	if (changes[0].status != 200)
		fail("the first configuration was not acknowledged");
}

/* After all has healed, the newest acknowledged version is read. */
void
ConfigWorld::read_back()
{
	int acked = version_acked_before(sim->now_us), version = 0;

	for (int i = 0; i < cores; i++) {
		Reply r = sim->request_and_wait(
		    i, NODE_LISTEN_CONTROL, "GET", "/api/configuration");

		version = 0;
		(void)sscanf(r.body.c_str(), "{\"version\":%d", &version);
		if (r.status != 200 || version < acked)
			fail("read back at core " + std::to_string(i) +
			    (sim->instances[(size_t)i]->alive ? ""
							      : " (down)") +
			    (sim->instances[(size_t)i]->frozen ? " (frozen)"
							       : "") +
			    (sim->instances[(size_t)i]->exited ? " (exited)"
							       : "") +
			    ": " + std::to_string(r.status) + ", version " +
			    std::to_string(version) + " after " +
			    std::to_string(acked));
	}
}

void
ConfigWorld::play()
{
	uint64_t next_trouble_us, heal_us;

	start();
	end_us = sim->now_us + kPlayUs;
	heal_us = end_us + 22000 * MS;
	next_trouble_us = sim->now_us;
	for (uint64_t step = 0; sim->now_us < heal_us; step++) {
		watch_trouble();
		if (sim->now_us < end_us && sim->now_us >= next_trouble_us) {
			begin_trouble();
			next_trouble_us =
			    sim->now_us + (500 + below(6000)) * MS;
		}
		if (step % 25 == 0)
			announce();
		drive_changes();
		judge_unanswered();
		for (int i = cores; i < cores + entries; i++)
			if (chance(0.25))
				send_probe(i);
		if (chance(0.2))
			send_read();
		(void)sim->run_until([] { return false; }, kStepUs / MS);
	}
	read_back();
}
