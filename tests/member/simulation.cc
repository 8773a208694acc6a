#include "simulation.h"

#include <algorithm>

static const uint64_t kElection = 500 * kMs;
static const uint64_t kAuthority = 400 * kMs;
static const char *const kNames[] = {"e0", "e1", "e2", "e3", "e4", "e5"};

simulation::simulation(uint64_t seed, int count)
{
	rng_seed(&rng, seed);
	nodes.resize(count);
	cut.assign(count + 1, std::vector<bool>(count + 1, false));
	for (int i = 0; i < count; i++) {
		node &n = nodes[i];
		n.id = i + 1;
		n.incarnation = n.id * 1000;
		/* Any two clocks differ by less than 50 in 1000. */
		n.rate = chance(50) ? 0.977 : 1.0233;
		n.offset = between(0, 1000) * 1000000;
		n.view = member_view_create();
		n.holder = member_holder_create(n.id, n.incarnation);
		n.keeper = member_lessor_create(kPermits, kRate);
		after(between(0, 100 * kMs), [=] { tick(i + 1); });
	}
	after(kMs, [=] { elect(); });
	after(8000 * kMs, [=] { fault(); });
}

simulation::~simulation()
{
	for (auto &n : nodes) {
		member_view_destroy(n.view);
		member_holder_destroy(n.holder);
		member_lessor_destroy(n.keeper);
	}
}

uint64_t
simulation::clock(const node &n) const
{
	return n.offset + (uint64_t)((double)now * n.rate);
}

bool
simulation::chance(int percent)
{
	return rng_below(&rng, 100) < (uint32_t)percent;
}

uint64_t
simulation::between(uint64_t low, uint64_t high)
{
	return low + (uint64_t)(rng_unit(&rng) * (double)(high - low));
}

void
simulation::after(uint64_t us, std::function<void()> run)
{
	queue.push({now + us, order++, std::move(run)});
}

void
simulation::deliver(uint32_t to, std::function<void(node &)> run)
{
	node &n = nodes[to - 1];

	if (!n.up)
		return;
	if (now < n.frozen_until)
		n.inbox.push_back(std::move(run));
	else
		run(n);
}

void
simulation::send(node &from, uint32_t to, std::function<void(node &)> run)
{
	uint64_t delay =
	    chance(95) ? between(kMs, 20 * kMs) : between(kMs, 3000 * kMs);
	uint32_t sender = from.id;

	if (to == sender)
		delay = 1;
	else if (chance(3) || cut[sender][to])
		return;
	after(delay, [=] {
		if (to == sender || !cut[sender][to])
			deliver(to, run);
	});
	if (to != sender && chance(3))
		after(
		    delay + between(0, 3000 * kMs), [=] { deliver(to, run); });
}

void
simulation::update_owners(node &n, bool jumped)
{
	for (int e = 0; e < kEndpoints; e++) {
		bool mine = member_owner_of(n.view, "r", kNames[e]) == n.id;
		const struct member *self = member_view_find(n.view, n.id);
		if (!mine || self->incarnation != n.incarnation) {
			n.gained[e] = 0;
			n.owns[e] = false;
		} else if (n.gained[e] == 0 || jumped) {
			n.gained[e] = member_view_epoch(n.view);
			n.owns[e] = false;
		}
	}
	member_holder_on_view(n.holder, n.view);
	take_active(n);
}

void
simulation::take_active(node &n)
{
	for (int e = 0; e < kEndpoints; e++)
		if (n.gained[e] != 0 && !n.owns[e] &&
		    member_holder_active_epoch(n.holder) >= n.gained[e])
			n.owns[e] = true;
}

void
simulation::apply(node &n, uint64_t upto)
{
	while (n.applied < upto) {
		const entry &e = log[n.applied++];
		bool changed = false;
		if (e.what == 1) {
			Wire__MemberInfo info = info_of(e.id, e.incarnation);
			changed =
			    member_view_apply_up(n.view, n.applied, &info);
		} else if (e.what == 2) {
			changed = member_view_apply_down(
			    n.view, n.applied, e.id, e.incarnation);
		}
		if (e.what == 3)
			changed = member_view_apply_leave(
			    n.view, n.applied, e.id, e.incarnation);
		if (changed)
			update_owners(n, false);
		epochs = std::max(epochs, member_view_epoch(n.view));
	}
}

void
simulation::renew(node &n)
{
	Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
	const struct member *m = member_view_find(n.view, n.id);
	uint32_t id = n.id, to = leader;
	uint64_t incarnation = n.incarnation;
	bool joins = m == nullptr || m->incarnation != n.incarnation;

	if (chance(10) || to == 0)
		to = 1 + rng_below(&rng, nodes.size());
	member_holder_fill_renew(
	    n.holder, clock(n), n.applied, member_view_epoch(n.view), &r);
	r.leaving = n.leaving;
	r.waiting_loads = n.waiting;
	r.waiting_stall_us = n.waiting * 1000000;
	r.loads_in_flight = n.loads;
	send(n, to, [=](node &l) {
		Wire__LeaseRenew in = r;
		Wire__MemberInfo self = info_of(id, incarnation);
		Wire__LeaseReply reply;
		if (!l.leads)
			return;
		in.self = joins ? &self : nullptr;
		member_lessor_on_renew(l.keeper, l.view, clock(l), l.authority,
		    id, incarnation, log.size(), &in, &reply);
		reply.leader = l.id;
		in_force = std::max(in_force, reply.in_force);
		send(l, id, [=](node &back) {
			member_holder_on_lease(
			    back.holder, clock(back), &reply);
			take_active(back);
		});
	});
}

void
simulation::ping(node &n)
{
	Wire__Ping p = WIRE__PING__INIT;
	uint32_t from = n.id;

	p.sent_us = clock(n);
	for (auto &peer : nodes) {
		if (peer.id == from)
			continue;
		send(n, peer.id, [=](node &to) {
			Wire__Pong pong;
			uint32_t id = to.id;
			uint64_t epoch = member_view_epoch(to.view);
			member_holder_on_ping(
			    to.holder, clock(to), to.applied, &p, &pong);
			send(to, from, [=](node &back) {
				member_holder_on_pong(
				    back.holder, clock(back), id, epoch, &pong);
			});
		});
	}
}

/* Commit after a while, unless the leader changes before. */
void
simulation::propose(node &n, entry e)
{
	uint32_t id = n.id;

	pending.push_back(e);
	after(between(kMs, 60 * kMs), [=] {
		if (leader != id || electing || pending.empty())
			return;
		log.push_back(pending.front());
		pending.erase(pending.begin());
	});
}

void
simulation::lead(node &n)
{
	struct member_change w;
	uint64_t value;

	if (leader == n.id && quorum && !electing) {
		n.authority = clock(n) + (uint64_t)(kAuthority * n.rate);
		leader_until = now + kAuthority;
		apply(n, log.size());
		if (chance(20))
			propose(n, {0, 0, 0});
	}
	value = member_lessor_in_force(n.keeper, n.view, clock(n));
	in_force = std::max(in_force, value);
	if (member_lessor_next_change(n.keeper, n.view, clock(n), &w) &&
	    leader == n.id && !electing)
		propose(n, {1 + (int)w.type, w.id, w.incarnation});
}

void
simulation::tick(uint32_t id)
{
	node &n = nodes[id - 1];

	after(between(5 * kMs, 40 * kMs), [=] { tick(id); });
	if (!n.up || now < n.frozen_until)
		return;
	for (size_t i = 0; i < n.inbox.size(); i++)
		n.inbox[i](n);
	n.inbox.clear();
	if (n.leads)
		lead(n);
	if (member_holder_renew_due(n.holder, clock(n)))
		renew(n);
	if (member_holder_ping_due(n.holder, clock(n)))
		ping(n);
	if (chance(30)) {
		uint32_t to = 1 + rng_below(&rng, nodes.size());
		uint64_t applied = n.applied;
		send(n, to, [=](node &peer) { apply(peer, applied); });
	}
	if (chance(10)) {
		n.waiting = chance(50) ? rng_below(&rng, 10) : 0;
	}
	if (n.waiting > 0 && acts(n) &&
	    n.loads < member_holder_permit_in_flight(n.holder))
		load(n);
}

/* An adapter load, which ends by itself whatever becomes of the owner. */
void
simulation::load(node &n)
{
	uint32_t id = n.id;
	uint64_t incarnation = n.incarnation;

	n.loads++;
	n.all_loads++;
	after(between(100 * kMs, 1000 * kMs), [=] {
		node &m = nodes[id - 1];
		m.all_loads--;
		if (m.incarnation == incarnation)
			m.loads--;
	});
}

void
simulation::elect()
{
	uint32_t chosen = 1 + rng_below(&rng, nodes.size());
	node &n = nodes[chosen - 1];

	electing = true;
	if (now <= leader_until || !n.up || now < n.frozen_until) {
		after(between(10 * kMs, 100 * kMs), [=] { elect(); });
		return;
	}
	/* The former leader may believe on for a while. */
	for (auto &other : nodes)
		if (other.id != chosen && chance(50))
			other.leads = false;
	for (auto &e : pending)
		if (chance(50))
			log.push_back(e);
	pending.clear();
	log.push_back({0, 0, 0});
	leader = chosen;
	electing = false;
	quorum = true;
	n.leads = true;
	member_lessor_reset(n.keeper, clock(n), kElection, ++term);
	apply(n, log.size());
}

void
simulation::restart(node &n)
{
	n.incarnation++;
	n.up = true;
	n.leaving = false;
	n.inbox.clear();
	n.leads = false;
	n.authority = 0;
	n.loads = n.waiting = 0;
	member_holder_destroy(n.holder);
	member_view_destroy(n.view);
	n.view = member_view_create();
	n.holder = member_holder_create(n.id, n.incarnation);
	std::fill(std::begin(n.owns), std::end(n.owns), false);
	std::fill(std::begin(n.gained), std::end(n.gained), 0);
	uint64_t kept = chance(50) ? n.applied : 0;
	n.applied = 0;
	apply(n, kept);
}

void
simulation::cut_links()
{
	size_t count = nodes.size();
	int kind = (int)rng_below(&rng, 4);
	uint32_t group = rng_below(&rng, 1U << count);

	for (size_t from = 1; from <= count; from++)
		for (size_t to = 1; to <= count; to++) {
			bool split = (group >> (from - 1) & 1) !=
			    (group >> (to - 1) & 1);
			if (kind == 0)
				cut[from][to] = false;
			else if (kind == 1)
				cut[from][to] = split;
			else if (kind == 2)
				cut[from][to] =
				    split && (group >> (to - 1) & 1);
			else
				cut[from][to] = chance(35);
		}
}

void
simulation::fault()
{
	uint32_t id = 1 + rng_below(&rng, nodes.size());
	node &n = nodes[id - 1];

	after(between(100 * kMs, 3000 * kMs), [=] { fault(); });
	switch (rng_below(&rng, 7)) {
	case 0:
	case 1:
		cut_links();
		break;
	case 2:
		n.frozen_until =
		    std::max(n.frozen_until, now + between(0, 6000 * kMs));
		break;
	case 3:
		n.up = false;
		if (id == leader)
			quorum = false;
		after(between(0, 1500 * kMs), [=] { restart(nodes[id - 1]); });
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
	if (now > leader_until && !electing && chance(60))
		elect();
}

bool
simulation::acts(const node &n) const
{
	return n.up && now >= n.frozen_until &&
	    member_holder_may_act(n.holder, n.view, clock(n), n.applied);
}

void
simulation::fail(const std::string &what)
{
	if (broken.empty() && what.rfind(watch, 0) == 0)
		broken = what + " at " + std::to_string(now / kMs) + " ms";
}

void
simulation::check()
{
	/* The longest way of an order, shortened for the fastest clock. */
	const uint64_t flight = MEMBER_FLIGHT_MAX_US * 95 / 100;
	uint64_t permits = 0, rate = 0;

	for (auto &n : nodes) {
		if (!acts(n)) {
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
			if (actor[e] != n.id && actor[e] != 0) {
				moves++;
				if (now < acted[e] + flight)
					fail("owners: instances " +
					    std::to_string(actor[e]) + " and " +
					    std::to_string(n.id) + " act");
			}
			actor[e] = n.id;
			acted[e] = now;
		}
	}
	if (permits > kPermits || rate > kRate)
		fail("permits: " + std::to_string(permits) + " loads, rate " +
		    std::to_string(rate));
}

void
simulation::run(uint64_t until_us)
{
	while (now < until_us && broken.empty()) {
		event e = queue.top();
		queue.pop();
		now = e.at;
		e.run();
		events++;
		check();
	}
}
