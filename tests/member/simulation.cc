#include "simulation.h"

#include <algorithm>

static const uint64_t kElectionUs = 500 * kMs;
static const uint64_t kAuthorityUs = 400 * kMs;
static const char *const kEndpointNames[] = {
    "e0", "e1", "e2", "e3", "e4", "e5"};

simulation::simulation(uint64_t seed, int count, programs programs)
    : programs_(programs)
{
	rng_seed(&rng, seed);
	instances.resize(count);
	cut.assign(count + 1, std::vector<bool>(count + 1, false));
	for (int i = 0; i < count; i++) {
		instance &n = instances[i];
		n.id = i + 1;
		n.incarnation = n.id * 1000;
		/* Any two clock rates differ by less than 50 in 1000. */
		n.rate = chance(50) ? 0.977 : 1.0233;
		n.offset_us = random_between(0, 1000) * 1000000;
		n.can_read_many = programs == CURRENT ||
		    (programs == MIXED && (seed >> i & 1) != 0);
		n.view = member_view_create();
		n.holder = member_holder_create(n.id, n.incarnation);
		n.lessor = member_lessor_create(kPermits, kRate);
		schedule(random_between(0, 100 * kMs), [=] { tick(i + 1); });
	}
	schedule(kMs, [=] { elect_leader(); });
	schedule(8000 * kMs, [=] { inject_fault(); });
}

simulation::~simulation()
{
	for (auto &n : instances) {
		member_view_destroy(n.view);
		member_holder_destroy(n.holder);
		member_lessor_destroy(n.lessor);
	}
}

uint64_t
simulation::clock(const instance &n) const
{
	return n.offset_us + (uint64_t)((double)now_us * n.rate);
}

bool
simulation::chance(int percent)
{
	return rng_below(&rng, 100) < (uint32_t)percent;
}

uint64_t
simulation::random_between(uint64_t low, uint64_t high)
{
	return low + (uint64_t)(rng_unit(&rng) * (double)(high - low));
}

void
simulation::schedule(uint64_t us, std::function<void()> run)
{
	queue.push({now_us + us, sequence++, std::move(run)});
}

void
simulation::deliver_message(uint32_t to, std::function<void(instance &)> run)
{
	instance &n = instances[to - 1];

	if (!n.running)
		return;
	if (now_us < n.frozen_until_us)
		n.frozen_messages.push_back(std::move(run));
	else
		run(n);
}

void
simulation::send(
    instance &from, uint32_t to, std::function<void(instance &)> run)
{
	uint64_t delay = chance(95) ? random_between(kMs, 20 * kMs)
				    : random_between(kMs, 3000 * kMs);
	uint32_t sender = from.id;

	if (to == sender)
		delay = 1;
	else if (chance(3) || cut[sender][to])
		return;
	schedule(delay, [=] {
		if (to == sender || !cut[sender][to])
			deliver_message(to, run);
	});
	if (to != sender && chance(3))
		schedule(delay + random_between(0, 3000 * kMs),
		    [=] { deliver_message(to, run); });
}

void
simulation::update_owners(instance &n, bool restored)
{
	for (int e = 0; e < kEndpoints; e++) {
		bool mine =
		    member_owner_of(n.view, "r", kEndpointNames[e]) == n.id;
		const struct member *self = member_view_find(n.view, n.id);
		if (!mine || self->incarnation != n.incarnation) {
			n.gained_epoch[e] = 0;
			n.owns[e] = false;
		} else if (n.gained_epoch[e] == 0 || restored) {
			n.gained_epoch[e] = member_view_epoch(n.view);
			n.owns[e] = false;
		}
	}
	member_holder_on_view(n.holder, n.view);
	update_owns(n);
}

void
simulation::update_owns(instance &n)
{
	for (int e = 0; e < kEndpoints; e++)
		if (n.gained_epoch[e] != 0 && !n.owns[e] &&
		    member_holder_active_epoch(n.holder) >= n.gained_epoch[e])
			n.owns[e] = true;
}

/* Applies an entry to the view as the program of the instance would. */
bool
simulation::change(instance &n, const entry &e)
{
	struct many_changes changes;

	if (e.type == 1) {
		Wire__MemberInfo info = make_info(e.id, e.incarnation);
		if (e.can_read_many)
			info.capabilities = MEMBER_CAN_MANY_CHANGES;
		return member_view_apply_up(n.view, n.applied, &info);
	}
	if (e.type == 2)
		return member_view_apply_down(
		    n.view, n.applied, e.id, e.incarnation);
	if (e.type == 3)
		return member_view_apply_leave(
		    n.view, n.applied, e.id, e.incarnation);
	if (e.type != 4 || !n.can_read_many)
		return false;
	for (auto &one : e.many)
		changes.add((enum member_change_type)(one.type - 1), one.id,
		    one.incarnation,
		    one.can_read_many ? MEMBER_CAN_MANY_CHANGES : 0);
	bool changed = changes.apply(n.view, n.applied);
	many += changed;
	return changed;
}

void
simulation::apply(instance &n, uint64_t last_index)
{
	while (n.applied < last_index) {
		const entry &e = log[n.applied++];
		if (change(n, e))
			update_owners(n, false);
		max_epoch = std::max(max_epoch, member_view_epoch(n.view));
	}
}

void
simulation::renew(instance &n)
{
	Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
	const struct member *m = member_view_find(n.view, n.id);
	uint32_t id = n.id, to = leader;
	uint64_t incarnation = n.incarnation;
	bool joins = m == nullptr || m->incarnation != n.incarnation;
	bool can_read_many = n.can_read_many;

	if (chance(10) || to == 0)
		to = 1 + rng_below(&rng, instances.size());
	member_holder_fill_renew(
	    n.holder, clock(n), n.applied, member_view_epoch(n.view), &r);
	r.leaving = n.leaving;
	r.waiting_loads = n.waiting;
	r.waiting_stall_us = n.waiting * 1000000;
	r.loads_in_flight = n.loads;
	send(n, to, [=](instance &l) {
		Wire__LeaseRenew in = r;
		Wire__MemberInfo self = make_info(id, incarnation);
		Wire__LeaseReply reply;
		if (can_read_many)
			self.capabilities = MEMBER_CAN_MANY_CHANGES;
		if (!l.is_leader)
			return;
		in.self = joins ? &self : nullptr;
		member_lessor_on_renew(l.lessor, l.view, clock(l),
		    l.authority_until_us, id, incarnation, log.size(), &in,
		    &reply);
		reply.leader = l.id;
		in_force = std::max(in_force, reply.in_force);
		send(l, id, [=](instance &back) {
			member_holder_on_lease(
			    back.holder, clock(back), &reply);
			update_owns(back);
		});
	});
}

void
simulation::ping(instance &n)
{
	Wire__Ping p = WIRE__PING__INIT;
	uint32_t from = n.id;

	p.sent_us = clock(n);
	for (auto &peer : instances) {
		if (peer.id == from)
			continue;
		send(n, peer.id, [=](instance &to) {
			Wire__Pong pong;
			uint32_t id = to.id;
			uint64_t epoch = member_view_epoch(to.view);
			member_holder_on_ping(
			    to.holder, clock(to), to.applied, &p, &pong);
			send(to, from, [=](instance &back) {
				member_holder_on_pong(
				    back.holder, clock(back), id, epoch, &pong);
			});
		});
	}
}

/* Commits an entry after a delay, unless the leader changes first. */
void
simulation::propose(instance &n, entry e)
{
	uint32_t id = n.id;

	pending.push_back(e);
	schedule(random_between(kMs, 60 * kMs), [=] {
		if (leader != id || is_electing || pending.empty())
			return;
		log.push_back(pending.front());
		pending.erase(pending.begin());
	});
}

void
simulation::lead_tick(instance &n)
{
	struct member_change w = {};
	uint64_t value;

	if (leader == n.id && quorum && !is_electing) {
		n.authority_until_us =
		    clock(n) + (uint64_t)(kAuthorityUs * n.rate);
		leader_until_us = now_us + kAuthorityUs;
		apply(n, log.size());
		if (chance(20))
			propose(n, {});
	}
	value = member_lessor_in_force(n.lessor, n.view, clock(n));
	in_force = std::max(in_force, value);
	bool all = n.can_read_many;
	for (auto &i : instances) {
		const struct member *m = member_view_find(n.view, i.id);
		all = all && m != nullptr && m->capabilities != 0;
	}
	member_lessor_set_voters_can_read_changes(n.lessor, all);
	if (!member_lessor_next_change(n.lessor, n.view, clock(n), &w) ||
	    leader != n.id || is_electing)
		return;
	auto one = [](const struct member_change &c) {
		return entry{1 + (int)c.type, c.id, c.incarnation,
		    c.info != nullptr && c.info->capabilities != 0, {}};
	};
	entry e = one(w);
	for (size_t i = 0; i < w.nmany; i++)
		e.many.push_back(one(w.many[i]));
	propose(n, e);
}

void
simulation::tick(uint32_t id)
{
	instance &n = instances[id - 1];

	schedule(random_between(5 * kMs, 40 * kMs), [=] { tick(id); });
	if (!n.running || now_us < n.frozen_until_us)
		return;
	for (size_t i = 0; i < n.frozen_messages.size(); i++)
		n.frozen_messages[i](n);
	n.frozen_messages.clear();
	if (n.is_leader)
		lead_tick(n);
	if (member_holder_renew_due(n.holder, clock(n)))
		renew(n);
	if (member_holder_ping_due(n.holder, clock(n)))
		ping(n);
	if (chance(30)) {
		uint32_t to = 1 + rng_below(&rng, instances.size());
		uint64_t applied = n.applied;
		send(n, to, [=](instance &peer) { apply(peer, applied); });
	}
	if (chance(10)) {
		n.waiting = chance(50) ? rng_below(&rng, 10) : 0;
	}
	if (n.waiting > 0 && may_act(n) &&
	    n.loads < member_holder_permit_in_flight(n.holder))
		start_load(n);
}

/* An adapter load; it ends by itself even if its owner restarts or stops. */
void
simulation::start_load(instance &n)
{
	uint32_t id = n.id;
	uint64_t incarnation = n.incarnation;

	n.loads++;
	n.all_loads++;
	schedule(random_between(100 * kMs, 1000 * kMs), [=] {
		instance &m = instances[id - 1];
		m.all_loads--;
		if (m.incarnation == incarnation)
			m.loads--;
	});
}

void
simulation::elect_leader()
{
	uint32_t chosen = 1 + rng_below(&rng, instances.size());
	instance &n = instances[chosen - 1];

	is_electing = true;
	if (now_us <= leader_until_us || !n.running ||
	    now_us < n.frozen_until_us) {
		schedule(random_between(10 * kMs, 100 * kMs),
		    [=] { elect_leader(); });
		return;
	}
	/* A former leader may not know yet that it is deposed. */
	for (auto &other : instances)
		if (other.id != chosen && chance(50))
			other.is_leader = false;
	for (auto &e : pending)
		if (chance(50))
			log.push_back(e);
	pending.clear();
	log.push_back({});
	leader = chosen;
	is_electing = false;
	quorum = true;
	n.is_leader = true;
	member_lessor_reset(n.lessor, clock(n), kElectionUs, ++term);
	apply(n, log.size());
}

void
simulation::restart(instance &n)
{
	n.incarnation++;
	n.running = true;
	if (programs_ == MIXED && !n.can_read_many)
		n.can_read_many = chance(50);
	n.leaving = false;
	n.frozen_messages.clear();
	n.is_leader = false;
	n.authority_until_us = 0;
	n.loads = n.waiting = 0;
	member_holder_destroy(n.holder);
	member_view_destroy(n.view);
	n.view = member_view_create();
	n.holder = member_holder_create(n.id, n.incarnation);
	std::fill(std::begin(n.owns), std::end(n.owns), false);
	std::fill(std::begin(n.gained_epoch), std::end(n.gained_epoch), 0);
	uint64_t kept_index = chance(50) ? n.applied : 0;
	n.applied = 0;
	apply(n, kept_index);
}

void
simulation::partition_links()
{
	size_t count = instances.size();
	int partition = (int)rng_below(&rng, 4);
	uint32_t group = rng_below(&rng, 1U << count);

	for (size_t from = 1; from <= count; from++)
		for (size_t to = 1; to <= count; to++) {
			bool split = (group >> (from - 1) & 1) !=
			    (group >> (to - 1) & 1);
			if (partition == 0)
				cut[from][to] = false;
			else if (partition == 1)
				cut[from][to] = split;
			else if (partition == 2)
				cut[from][to] =
				    split && (group >> (to - 1) & 1);
			else
				cut[from][to] = chance(35);
		}
}

void
simulation::inject_fault()
{
	uint32_t id = 1 + rng_below(&rng, instances.size());
	instance &n = instances[id - 1];

	schedule(
	    random_between(100 * kMs, 3000 * kMs), [=] { inject_fault(); });
	switch (rng_below(&rng, 7)) {
	case 0:
	case 1:
		partition_links();
		break;
	case 2:
		n.frozen_until_us = std::max(
		    n.frozen_until_us, now_us + random_between(0, 6000 * kMs));
		break;
	case 3:
		n.running = false;
		if (id == leader)
			quorum = false;
		schedule(random_between(0, 1500 * kMs),
		    [=] { restart(instances[id - 1]); });
		break;
	case 4:
		quorum = false;
		break;
	case 5:
		n.leaving = chance(50);
		break;
	default:
		for (auto &row : cut)
			std::fill(row.begin(), row.end(), false);
		break;
	}
	if (now_us > leader_until_us && !is_electing && chance(60))
		elect_leader();
}

bool
simulation::may_act(const instance &n) const
{
	return n.running && now_us >= n.frozen_until_us &&
	    member_holder_may_act(n.holder, n.view, clock(n), n.applied);
}

void
simulation::fail(const std::string &message)
{
	if (violation.empty() && message.rfind(property, 0) == 0)
		violation =
		    message + " at " + std::to_string(now_us / kMs) + " ms";
}

void
simulation::check()
{
	/* Longest time in flight of an order, by the fastest clock. */
	const uint64_t flight = MEMBER_FLIGHT_MAX_US * 95 / 100;
	uint64_t permits = 0, rate = 0;

	for (auto &n : instances) {
		if (!may_act(n)) {
			permits += n.all_loads;
			continue;
		}
		supported += member_holder_standing(n.holder, n.view, clock(n),
				 n.applied) == MEMBER_SUPPORTED;
		permits += n.all_loads - n.loads +
		    std::max(member_holder_permit_in_flight(n.holder), n.loads);
		rate += member_holder_permit_rate_milli(n.holder);
		if (n.applied < in_force)
			fail("in force: instance " + std::to_string(n.id) +
			    " acts on " + std::to_string(n.applied) +
			    ", in force is " + std::to_string(in_force));
		for (int e = 0; e < kEndpoints; e++) {
			if (!n.owns[e])
				continue;
			if (last_actor[e] != n.id && last_actor[e] != 0) {
				owner_moves++;
				if (now_us < last_acted_us[e] + flight)
					fail("owners: instances " +
					    std::to_string(last_actor[e]) +
					    " and " + std::to_string(n.id) +
					    " act");
			}
			last_actor[e] = n.id;
			last_acted_us[e] = now_us;
		}
	}
	if (permits > kPermits || rate > kRate)
		fail("permits: " + std::to_string(permits) + " loads, rate " +
		    std::to_string(rate));
}

void
simulation::run(uint64_t until_us)
{
	while (now_us < until_us && violation.empty()) {
		event e = queue.top();
		queue.pop();
		now_us = e.at_us;
		e.run();
		events++;
		check();
	}
}
