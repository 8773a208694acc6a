#include "net.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

std::string
pack(const Raft__Message &msg)
{
	std::string out(raft__message__get_packed_size(&msg), 0);

	raft__message__pack(&msg, (uint8_t *)&out[0]);
	return out;
}

void
Disk::apply(const Save &save, size_t records_kept)
{
	raft_record rec;
	size_t used;
	node_bytes rest = {save.data.data(), save.data.size()};

	switch (save.s.kind) {
	case NODE_SAVE_STATE:
		term = save.s.term;
		vote = save.s.vote;
		break;
	case NODE_SAVE_SNAPSHOT:
		snapshot_index = save.s.index;
		snapshot_term = save.s.term;
		snapshot = save.data;
		break;
	case NODE_SAVE_APPEND:
		if (records.empty() || save.s.index > first + records.size() ||
		    save.s.index < first) {
			records.clear();
			first = save.s.index;
		}
		records.resize(save.s.index - first);
		for (size_t n = 0; n < std::min(save.s.count, records_kept);
		     n++) {
			if (raft_record_read(&rec, &used, rest) != MP_OK)
				abort();
			records.emplace_back(rest.data, used);
			rest.data += used;
			rest.len -= used;
		}
		break;
	}
}

Net::Net(uint64_t seed, const NetOptions &o) : options(o)
{
	raft_config config = {};
	mp_error err;

	rng_seed(&random, seed);
	m.resize(o.members);
	for (size_t i = 0; i < m.size(); i++) {
		m[i].id = RAFT_ID(next_incarnation++, i + 1);
		m[i].offset = rng_below(&random, 1000000);
		if (o.drift)
			m[i].rate = 0.98 + 0.04 * rng_unit(&random);
		config.voters[config.nvoters++] = m[i].id;
	}
	for (size_t i = 0; i < m.size(); i++) {
		node_effects *fx = node_effects_create();

		create(i);
		if (raft_found(m[i].r, local(i), &config, fx, &err) != MP_OK)
			fail("found");
		after(i, fx);
	}
}

Net::~Net()
{
	for (auto &x : m)
		raft_destroy(x.r);
}

uint64_t
Net::local(size_t i) const
{
	return m[i].offset + (uint64_t)((double)now * m[i].rate);
}

uint64_t
Net::global(size_t i, uint64_t local_us) const
{
	if (local_us <= m[i].offset)
		return 0;
	return (uint64_t)((double)(local_us - m[i].offset) / m[i].rate) + 1;
}

void
Net::fail(const std::string &what)
{
	if (violation.empty())
		violation = what + " at " + std::to_string(now);
}

void
Net::push(Event e)
{
	e.seq = seq++;
	events.push(std::move(e));
}

void
Net::create(size_t i)
{
	Member &x = m[i];
	raft_options o = {};
	node_disk d = {};
	std::string all;
	mp_error err;

	o.self = x.id;
	o.group = kGroup;
	o.seed = rng_u64(&random);
	o.heartbeat_us = kHeartbeat;
	o.election_min_us = kElectionMin;
	o.election_max_us = kElectionMax;
	o.batch_bytes = options.batch_bytes;
	for (const auto &rec : x.disk.records)
		all += rec;
	d.incarnation = x.id;
	d.term = x.disk.term;
	d.vote = x.disk.vote;
	d.snapshot_index = x.disk.snapshot_index;
	d.snapshot_term = x.disk.snapshot_term;
	d.snapshot = {x.disk.snapshot.data(), x.disk.snapshot.size()};
	d.first_index = x.disk.first;
	d.record_count = x.disk.records.size();
	d.records = {all.data(), all.size()};
	if (raft_create(&x.r, &o, &d, local(i), &err) != MP_OK) {
		fail(std::string("create: ") + err.message);
		return;
	}
	x.applied = x.hash = x.applied_at_compact = 0;
	x.led_term = 0;
	x.tick_at = 0;
}

void
Net::crash(size_t i)
{
	Member &x = m[i];

	if (x.r == nullptr)
		return;
	raft_destroy(x.r);
	x.r = nullptr;
	x.authority = 0;
	/* Some unsynced saves got there, the last of them torn. */
	size_t kept = rng_below(&random, (uint32_t)x.saves.size() + 1);

	for (size_t n = 0; n < kept; n++)
		x.disk.apply(x.saves[n]);
	if (kept < x.saves.size() && x.saves[kept].s.kind == NODE_SAVE_APPEND &&
	    x.saves[kept].s.count > 1)
		x.disk.apply(x.saves[kept],
		    1 +
			rng_below(
			    &random, (uint32_t)x.saves[kept].s.count - 1));
	x.saves.clear();
}

void
Net::restart(size_t i)
{
	node_effects *fx;

	if (m[i].r != nullptr)
		return;
	m[i].disk_free = now;
	create(i);
	fx = node_effects_create();
	after(i, fx);
}

void
Net::replace_disk(size_t i)
{
	crash(i);
	m[i].disk = Disk();
	m[i].id = RAFT_ID(next_incarnation++, i + 1);
	restart(i);
}

bool
Net::propose(size_t i, const std::string &command)
{
	node_effects *fx = node_effects_create();
	uint64_t index;
	mp_error err;
	int code = raft_propose(m[i].r, local(i),
	    {command.data(), command.size()}, &index, fx, &err);

	after(i, fx);
	return code == MP_OK;
}

int
Net::hand_over(size_t i)
{
	node_effects *fx = node_effects_create();
	mp_error err;
	int code = raft_hand_over(m[i].r, local(i), nullptr, 0, fx, &err);

	after(i, fx);
	return code;
}

int
Net::change(size_t i, raft_change what, uint64_t id)
{
	node_effects *fx = node_effects_create();
	mp_error err;
	int code = raft_change_config(m[i].r, local(i), what, id, fx, &err);

	after(i, fx);
	return code;
}

void
Net::isolate(size_t i)
{
	for (size_t j = 0; j < m.size(); j++) {
		if (j != i) {
			cut(i, j);
			cut(j, i);
		}
	}
}

int
Net::place(uint64_t id) const
{
	for (size_t i = 0; i < m.size(); i++) {
		if (m[i].id == id)
			return (int)i;
	}
	return -1;
}

int
Net::leader() const
{
	int best = -1;

	for (size_t i = 0; i < m.size(); i++) {
		if (m[i].r == nullptr || raft_get_role(m[i].r) != RAFT_LEADER)
			continue;
		if (best < 0 ||
		    raft_get_term(m[i].r) > raft_get_term(m[best].r))
			best = (int)i;
	}
	return best;
}

int
Net::run_to_leader(uint64_t limit)
{
	uint64_t end = now + limit;
	int l;

	while (now < end && violation.empty()) {
		run_for(10000);
		l = leader();
		if (l >= 0 && raft_authority_until(m[l].r) > local(l))
			return l;
	}
	return -1;
}

void
Net::step()
{
	Event e = events.top();

	events.pop();
	now = std::max(now, e.at);
	handle(e);
}

void
Net::run_until(uint64_t t)
{
	while (violation.empty() && !events.empty() && events.top().at <= t)
		step();
	now = std::max(now, t);
}

void
Net::handle(const Event &e)
{
	Member &x = m[e.to];
	node_effects *fx;

	if (x.r == nullptr || x.id != e.to_id)
		return;
	fx = node_effects_create();
	if (e.type == Event::MESSAGE) {
		if (cuts.count({e.from, e.to}) == 0) {
			raft_receive(x.r, local(e.to), e.from_id,
			    {e.bytes.data(), e.bytes.size()}, fx);
		}
	} else if (e.type == Event::TICK) {
		if (x.tick_at != e.at) {
			node_effects_destroy(fx);
			return;
		}
		x.tick_at = 0;
		raft_tick(x.r, local(e.to), fx);
	} else {
		if (x.saves.empty() || x.saves.front().due != e.at) {
			node_effects_destroy(fx);
			return;
		}
		Save s = x.saves.front();

		x.saves.pop_front();
		if (!x.fail_saves)
			x.disk.apply(s);
		raft_saved(x.r, local(e.to), s.s.ticket, !x.fail_saves, fx);
	}
	after(e.to, fx);
}

void
Net::receive(size_t i, uint64_t from, const std::string &bytes)
{
	node_effects *fx = node_effects_create();

	raft_receive(m[i].r, local(i), from, {bytes.data(), bytes.size()}, fx);
	after(i, fx);
}

void
Net::after(size_t i, node_effects *fx)
{
	Member &x = m[i];

	if (x.r == nullptr) {
		node_effects_destroy(fx);
		return;
	}
	take_saves(i, fx);
	node_effects_destroy(fx);
	take_committed(i);
	take_messages(i);
	check(i);

	uint64_t at = std::max(now + 1, global(i, raft_next_tick(x.r)));

	if (x.tick_at != at) {
		x.tick_at = at;
		push({at, 0, Event::TICK, i, x.id, 0, 0, ""});
	}
}

void
Net::take_saves(size_t i, node_effects *fx)
{
	Member &x = m[i];

	for (size_t n = 0; n < node_effects_count(fx); n++) {
		const node_effect *e = node_effects_at(fx, n);
		Save s = {e->u.save,
		    std::string(e->u.save.data.data, e->u.save.data.len), 0};

		x.disk_free = std::max(x.disk_free, now) + 1 +
		    rng_below(&random, (uint32_t)options.save_max);
		s.due = x.disk_free;
		push({s.due, 0, Event::SAVED, i, x.id, 0, 0, ""});
		x.saves.push_back(std::move(s));
	}
}

void
Net::take_messages(size_t i)
{
	raft_message msg;

	while (raft_take_message(m[i].r, &msg)) {
		check_vote(i, msg);
		send(i, msg.to, std::string(msg.bytes.data, msg.bytes.len));
	}
}

void
Net::send(size_t from, uint64_t to_id, std::string bytes)
{
	int to = place(to_id);

	sent++;
	if (kept.size() < options.keep_messages)
		kept.push_back(bytes);

	if (to < 0 || cuts.count({from, (size_t)to}) != 0)
		return;
	for (int copies = rng_unit(&random) < options.twice ? 2 : 1; copies > 0;
	     copies--) {
		if (rng_unit(&random) < options.drop)
			continue;
		uint64_t delay = 100 +
		    rng_below(&random, (uint32_t)options.delay_max) +
		    extra_delay[{from, (size_t)to}];

		if (rng_unit(&random) < options.spike)
			delay +=
			    rng_below(&random, (uint32_t)options.spike_max);
		push({now + delay, 0, Event::MESSAGE, (size_t)to, to_id,
		    m[from].id, from, bytes});
	}
}

void
Net::take_committed(size_t i)
{
	Member &x = m[i];
	raft_committed c;

	while (raft_take_committed(x.r, &c)) {
		if (c.is_snapshot) {
			snapshots_taken[i]++;
			x.applied = c.index;
			x.hash = 0;
			if (c.snapshot.len == sizeof(x.hash))
				memcpy(
				    &x.hash, c.snapshot.data, sizeof(x.hash));
			x.applied_at_compact = c.index;
			continue;
		}
		std::string packed(
		    (const char *)&c.entry.term, sizeof(c.entry.term));

		packed += (char)c.entry.type;
		packed.append(c.entry.data.data, c.entry.data.len);
		if (c.index != x.applied + 1)
			fail("a gap in what is applied");
		auto known = committed.emplace(c.index, packed);

		if (known.first->second != packed)
			fail("committed entries differ");
		uint64_t term = raft_get_term(x.r);
		auto seen = commit_term.emplace(c.index, term);

		seen.first->second = std::min(seen.first->second, term);
		x.applied = c.index;
		x.hash = XXH64(packed.data(), packed.size(), x.hash);
	}
	if (options.compact_every != 0 &&
	    x.applied >= x.applied_at_compact + options.compact_every) {
		node_effects *fx = node_effects_create();

		x.applied_at_compact = x.applied;
		raft_compact(x.r, local(i), x.applied,
		    {(const char *)&x.hash, sizeof(x.hash)}, fx);
		take_saves(i, fx);
		node_effects_destroy(fx);
	}
}
