/* The simulated network: event queue, clocks, disks and messages. */

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
Disk::apply(const Save &save, size_t nrecords)
{
	raft_record rec;
	size_t used;
	node_bytes rest = {save.data.data(), save.data.size()};

	switch (save.effect.kind) {
	case NODE_SAVE_STATE:
		term = save.effect.term;
		vote = save.effect.vote;
		break;
	case NODE_SAVE_SNAPSHOT:
		snapshot_index = save.effect.index;
		snapshot_term = save.effect.term;
		snapshot = save.data;
		break;
	case NODE_SAVE_APPEND:
		if (records.empty() ||
		    save.effect.index > first + records.size() ||
		    save.effect.index < first) {
			records.clear();
			first = save.effect.index;
		}
		records.resize(save.effect.index - first);
		for (size_t n = 0; n < std::min(save.effect.count, nrecords);
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
	members.resize(o.members);
	for (size_t i = 0; i < members.size(); i++) {
		members[i].id = RAFT_ID(next_incarnation++, i + 1);
		members[i].clock_offset_us = rng_below(&random, 1000000);
		if (o.clock_drift)
			members[i].clock_rate = 0.98 + 0.04 * rng_unit(&random);
		config.voters[config.nvoters++] = members[i].id;
	}
	for (size_t i = 0; i < members.size(); i++) {
		node_effects *fx = node_effects_create();

		create(i);
		if (raft_found_log(members[i].r, local_time(i), &config, fx,
			&err) != MP_OK)
			fail("raft_found_log() failed");
		take_effects(i, fx);
	}
}

Net::~Net()
{
	for (auto &x : members)
		raft_destroy(x.r);
}

uint64_t
Net::local_time(size_t i) const
{
	return members[i].clock_offset_us +
	    (uint64_t)((double)now * members[i].clock_rate);
}

uint64_t
Net::global_time(size_t i, uint64_t local_us) const
{
	if (local_us <= members[i].clock_offset_us)
		return 0;
	return (uint64_t)((double)(local_us - members[i].clock_offset_us) /
		   members[i].clock_rate) +
	    1;
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
	Member &x = members[i];
	raft_options o = {};
	node_disk d = {};
	std::string all;
	mp_error err;

	o.self = x.id;
	o.group = kGroup;
	o.seed = rng_u64(&random);
	o.heartbeat_us = kHeartbeatUs;
	o.election_min_us = kElectionMinUs;
	o.election_max_us = kElectionMaxUs;
	o.batch_bytes = options.batch_bytes;
	o.bulk_bytes = options.bulk_bytes;
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
	if (raft_create(&x.r, &o, &d, local_time(i), &err) != MP_OK) {
		fail(std::string("create: ") + err.message);
		return;
	}
	x.applied = x.hash = x.applied_at_compact = 0;
	x.led_term = 0;
	x.next_tick_us = 0;
}

void
Net::crash(size_t i)
{
	Member &x = members[i];

	if (x.r == nullptr)
		return;
	raft_destroy(x.r);
	x.r = nullptr;
	x.authority_until_us = 0;
	/* Some unsynced saves reached the disk, the last of them torn. */
	size_t nwritten = rng_below(&random, (uint32_t)x.saves.size() + 1);

	for (size_t n = 0; n < nwritten; n++)
		x.disk.apply(x.saves[n]);
	if (nwritten < x.saves.size() &&
	    x.saves[nwritten].effect.kind == NODE_SAVE_APPEND &&
	    x.saves[nwritten].effect.count > 1)
		x.disk.apply(x.saves[nwritten],
		    1 +
			rng_below(&random,
			    (uint32_t)x.saves[nwritten].effect.count - 1));
	x.saves.clear();
}

void
Net::restart(size_t i)
{
	node_effects *fx;

	if (members[i].r != nullptr)
		return;
	members[i].disk_free_us = now;
	create(i);
	fx = node_effects_create();
	take_effects(i, fx);
}

void
Net::replace_disk(size_t i)
{
	crash(i);
	members[i].disk = Disk();
	members[i].id = RAFT_ID(next_incarnation++, i + 1);
	restart(i);
}

bool
Net::propose(size_t i, const std::string &command)
{
	node_effects *fx = node_effects_create();
	uint64_t index;
	mp_error err;
	int code = raft_propose(members[i].r, local_time(i),
	    {command.data(), command.size()}, &index, fx, &err);

	take_effects(i, fx);
	return code == MP_OK;
}

int
Net::transfer_leadership(size_t i)
{
	node_effects *fx = node_effects_create();
	mp_error err;
	int code = raft_transfer_leadership(
	    members[i].r, local_time(i), nullptr, 0, fx, &err);

	take_effects(i, fx);
	return code;
}

int
Net::change(size_t i, raft_change what, uint64_t id)
{
	node_effects *fx = node_effects_create();
	mp_error err;
	int code =
	    raft_change_config(members[i].r, local_time(i), what, id, fx, &err);

	take_effects(i, fx);
	return code;
}

void
Net::isolate(size_t i)
{
	for (size_t j = 0; j < members.size(); j++) {
		if (j != i) {
			cut_link(i, j);
			cut_link(j, i);
		}
	}
}

int
Net::index_of(uint64_t id) const
{
	for (size_t i = 0; i < members.size(); i++) {
		if (members[i].id == id)
			return (int)i;
	}
	return -1;
}

int
Net::leader() const
{
	int best = -1;

	for (size_t i = 0; i < members.size(); i++) {
		if (members[i].r == nullptr ||
		    raft_get_role(members[i].r) != RAFT_LEADER)
			continue;
		if (best < 0 ||
		    raft_get_term(members[i].r) >
			raft_get_term(members[best].r))
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
		if (l >= 0 &&
		    raft_authority_until(members[l].r) > local_time(l))
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
	Member &x = members[e.to];
	node_effects *fx;

	if (x.r == nullptr || x.id != e.to_id)
		return;
	fx = node_effects_create();
	if (e.type == Event::MESSAGE) {
		if (cut_links.count({e.from, e.to}) == 0) {
			raft_receive(x.r, local_time(e.to), e.from_id,
			    {e.bytes.data(), e.bytes.size()}, fx);
		}
	} else if (e.type == Event::TICK) {
		if (x.next_tick_us != e.at) {
			node_effects_destroy(fx);
			return;
		}
		x.next_tick_us = 0;
		raft_tick(x.r, local_time(e.to), fx);
	} else {
		if (x.saves.empty() || x.saves.front().due_us != e.at) {
			node_effects_destroy(fx);
			return;
		}
		Save s = x.saves.front();

		x.saves.pop_front();
		if (!x.fail_saves)
			x.disk.apply(s);
		raft_save_completed(
		    x.r, local_time(e.to), s.effect.ticket, !x.fail_saves, fx);
	}
	take_effects(e.to, fx);
}

void
Net::receive(size_t i, uint64_t from, const std::string &bytes)
{
	node_effects *fx = node_effects_create();

	raft_receive(members[i].r, local_time(i), from,
	    {bytes.data(), bytes.size()}, fx);
	take_effects(i, fx);
}

void
Net::take_effects(size_t i, node_effects *fx)
{
	Member &x = members[i];

	if (x.r == nullptr) {
		node_effects_destroy(fx);
		return;
	}
	take_saves(i, fx);
	node_effects_destroy(fx);
	take_committed(i);
	take_messages(i);
	check(i);

	uint64_t at = std::max(now + 1, global_time(i, raft_next_tick(x.r)));

	if (x.next_tick_us != at) {
		x.next_tick_us = at;
		push({at, 0, Event::TICK, i, x.id, 0, 0, ""});
	}
}

void
Net::take_saves(size_t i, node_effects *fx)
{
	Member &x = members[i];

	for (size_t n = 0; n < node_effects_count(fx); n++) {
		const node_effect *e = node_effects_at(fx, n);
		Save s = {e->u.save,
		    std::string(e->u.save.data.data, e->u.save.data.len), 0};

		x.disk_free_us = std::max(x.disk_free_us, now) + 1 +
		    rng_below(&random, (uint32_t)options.save_max_us);
		s.due_us = x.disk_free_us;
		push({s.due_us, 0, Event::SAVED, i, x.id, 0, 0, ""});
		x.saves.push_back(std::move(s));
	}
}

void
Net::take_messages(size_t i)
{
	raft_message msg;

	while (raft_take_message(members[i].r, &msg)) {
		check_vote(i, msg);
		send(i, msg.to, std::string(msg.bytes.data, msg.bytes.len));
	}
}

void
Net::send(size_t from, uint64_t to_id, std::string bytes)
{
	int to = index_of(to_id);

	messages_sent++;
	bytes_sent += bytes.size();
	if (recorded_messages.size() < options.record_messages_max)
		recorded_messages.push_back(bytes);

	if (to < 0 || cut_links.count({from, (size_t)to}) != 0)
		return;
	for (int copies = rng_unit(&random) < options.duplicate_rate ? 2 : 1;
	     copies > 0; copies--) {
		if (rng_unit(&random) < options.drop_rate)
			continue;
		uint64_t delay = 100 +
		    rng_below(&random, (uint32_t)options.delay_max_us) +
		    extra_delay_us[{from, (size_t)to}];

		if (rng_unit(&random) < options.spike_rate)
			delay +=
			    rng_below(&random, (uint32_t)options.spike_max_us);
		if (bytes.size() > options.batch_bytes + 200) {
			uint64_t &free_us = bulk_free_us[{from, (size_t)to}];

			free_us = std::max(free_us, now) +
			    bytes.size() * options.bulk_byte_us;
			delay += free_us - now;
		}
		push({now + delay, 0, Event::MESSAGE, (size_t)to, to_id,
		    members[from].id, from, bytes});
	}
}

void
Net::take_committed(size_t i)
{
	Member &x = members[i];
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
			fail("applied entries have a gap");
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
		raft_compact(x.r, local_time(i), x.applied,
		    {(const char *)&x.hash, sizeof(x.hash)}, fx);
		take_saves(i, fx);
		node_effects_destroy(fx);
	}
}
