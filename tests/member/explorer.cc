#include "explorer.h"

#include <algorithm>
#include <deque>
#include <set>

#include "explorer_state.h"

explorer::explorer()
{
	state s, after_down;
	std::string name;

	/* An endpoint that instance 1 owns after instance 3. */
	after_down.log.push_back(pack_change(MEMBER_CHANGE_DOWN, 3, 30));
	after_down.applied[0] = 4;
	for (int i = 0; endpoint.empty(); i++) {
		name = std::to_string(i);
		if (member_owner_of(view(s, 0), "r", name.c_str()) == 3 &&
		    member_owner_of(view(after_down, 0), "r", name.c_str()) ==
			1)
			endpoint = name;
	}
}

explorer::~explorer()
{
	for (auto &v : views)
		member_view_destroy(v.second);
}

const struct member_view *
explorer::view(const state &s, int i) const
{
	std::vector<log_entry> done(
	    s.log.begin(), s.log.begin() + s.applied[i]);
	struct member_view *&v = views[done];

	if (v != nullptr)
		return v;
	v = make_view(3);
	if (many)
		for (uint32_t id = 1; id <= 3; id++)
			member_view_apply_up(v, 3, info_of(id, id * 10));
	for (size_t at = 3; at < done.size(); at++) {
		struct many_changes changes;
		for (log_entry e = done[at]; e != 0; e >>= kItemBits) {
			uint32_t id = e >> 1 & 7;
			changes.add((enum member_change_type)((e >> 4 & 3) - 1),
			    id, id * 10 + (e & 1));
		}
		changes.apply(v, at + 1);
	}
	return v;
}

void
explorer::update_owns(state &s, int i)
{
	if (s.gained_epoch[i] != 0 &&
	    member_holder_active_epoch(&s.holders[i]) >= s.gained_epoch[i])
		s.owns[i] = true;
}

void
explorer::apply(state &s, int i)
{
	while (s.applied[i] < s.log.size()) {
		if (s.log[s.applied[i]++] == kDocument)
			continue;
		const struct member_view *v = view(s, i);
		bool owner = member_owner_of(v, "r", endpoint.c_str()) ==
			(uint32_t)i + 1 &&
		    member_view_is_current(v, i + 1, s.incarnation(i));
		bool owner_before = s.gained_epoch[i] != 0;
		if (!owner || !owner_before) {
			s.owns[i] = false;
			s.gained_epoch[i] = owner ? member_view_epoch(v) : 0;
		}
		member_holder_on_view(&s.holders[i], v);
		update_owns(s, i);
	}
}

void
explorer::receive_renew(state &s, int i, uint64_t incarnation,
    Wire__LeaseRenew r, Wire__LeaseReply *reply)
{
	if (incarnation % 10 != 0)
		r.self = info_of(i + 1, incarnation);
	member_lessor_on_renew(&s.lessor, view(s, s.leader), s.now_us,
	    s.now_us + kStepUs, i + 1, incarnation, s.log.size(), &r, reply);
	s.in_force = std::max(s.in_force, reply->in_force);
}

void
explorer::receive_reply(state &s, int i, const Wire__LeaseReply &reply)
{
	member_holder_on_lease(&s.holders[i], s.now_us, &reply);
	update_owns(s, i);
}

void
explorer::renew(state &s, int i)
{
	Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
	Wire__LeaseReply reply;

	member_holder_fill_renew(&s.holders[i], s.now_us, s.applied[i],
	    member_view_epoch(view(s, i)), &r);
	r.leaving = i == 2 && s.leaving;
	if (i == 2 && s.delay_wanted == DELAY_RENEWAL) {
		s.delay_wanted = ADVANCE;
		s.delayed = DELAY_RENEWAL;
		s.renew = r;
		s.renew_incarnation = s.incarnation(i);
		return;
	}
	if (s.drop_renewals[i] && i != s.leader)
		return;
	receive_renew(s, i, s.incarnation(i), r, &reply);
	if (i == 2 && s.delay_wanted == DELAY_REPLY) {
		s.delay_wanted = ADVANCE;
		s.delayed = DELAY_REPLY;
		s.reply = reply;
	} else if (!s.drop_replies[i] || i == s.leader) {
		receive_reply(s, i, reply);
	}
}

void
explorer::ping(state &s, int i, int to)
{
	Wire__Ping p = WIRE__PING__INIT;
	Wire__Pong pong;
	uint64_t epoch = member_view_epoch(view(s, to));

	p.sent_us = s.now_us;
	member_holder_on_ping(
	    &s.holders[to], s.now_us, s.applied[to], &p, &pong);
	if (i == 2 && s.delay_wanted == DELAY_PONG) {
		s.delay_wanted = ADVANCE;
		s.delayed = DELAY_PONG;
		s.pong = pong;
		s.pong_from = to;
		s.pong_epoch = epoch;
		return;
	}
	member_holder_on_pong(&s.holders[i], s.now_us, to + 1, epoch, &pong);
}

void
explorer::lead_step(state &s)
{
	struct member_change w;
	log_entry e = 0;

	apply(s, s.leader);
	renew(s, s.leader);
	member_lessor_set_voters_can_read_changes(&s.lessor, many);
	if (!member_lessor_next_change(
		&s.lessor, view(s, s.leader), s.now_us, &w))
		return;
	/* Only instance 3 and those that restart are ever removed. */
	for (size_t i = 0; i < s.lessor.nchanges; i++) {
		const struct member_change &c = s.lessor.changes[i];
		if (c.id != 3 && !s.restarted[c.id - 1])
			return;
		e |= pack_change(c.type, c.id, c.incarnation)
		    << (kItemBits * i);
	}
	changes++;
	s.log.push_back(e);
}

/* The next process of an instance has its log and nothing else. */
void
explorer::restart(state &s, int i)
{
	struct member_holder *h;

	s.restarted[i] = true;
	s.earlier_acted_us[i] = s.last_acted_us[i];
	h = member_holder_create(i + 1, s.incarnation(i));
	member_holder_on_view(h, view(s, i));
	(void)member_holder_renew_due(h, s.now_us);
	free(s.holders[i].supports);
	s.holders[i] = *h;
	member_holder_destroy(h);
	s.owns[i] = false;
	s.gained_epoch[i] = 0;
}

void
explorer::advance_time(state &s)
{
	lead_step(s);
	for (int i = 0; i < 3; i++)
		if (i != s.leader)
			renew(s, i);
	for (int i = 0; i < 3; i++) {
		if (!member_holder_ping_due(&s.holders[i], s.now_us))
			continue;
		for (int to = 0; to < 3; to++)
			if (to != i && (!s.partitioned || (to < 2 && i < 2)))
				ping(s, i, to);
	}
	for (int i = 0; i < 3; i++)
		if (!s.lagging[i])
			apply(s, i);
	check(s);
	s.now_us += kStepUs;
}

bool
explorer::is_possible(const state &s, int change) const
{
	bool can_delay = s.delay_wanted == ADVANCE && s.delayed == ADVANCE;

	if (change == ADVANCE)
		return true;
	if (change == DELIVER_DELAYED)
		return s.delayed != ADVANCE;
	if (s.budget == 0)
		return false;
	if (change == COMMIT_DOCUMENT)
		return !s.document_committed;
	if (change == REQUEST_LEAVE)
		return !s.leaving;
	if (change == CHANGE_LEADER)
		return !s.leader_changed;
	if (change == RESTART_2 || change == RESTART_3) {
		int i = 1 + change - RESTART_2;
		/* Only one instance restarts, to bound the exploration. */
		return restarts && i != s.leader && !s.restarted[1] &&
		    !s.restarted[2];
	}
	if (change >= DROP_RENEWALS_1 && change <= LAG_3)
		return (change - DROP_RENEWALS_1) % 3 != s.leader;
	return change == PARTITION || can_delay;
}

void
explorer::step(state &s, int change)
{
	Wire__LeaseReply reply;
	int delayed = s.delayed;

	if (change != ADVANCE && change != DELIVER_DELAYED)
		s.budget--;
	switch (change) {
	case ADVANCE:
		advance_time(s);
		break;
	case DELIVER_DELAYED:
		s.delayed = ADVANCE;
		if (delayed == DELAY_RENEWAL) {
			receive_renew(
			    s, 2, s.renew_incarnation, s.renew, &reply);
			/* A reply to an earlier process is dropped. */
			if (s.renew_incarnation == s.incarnation(2))
				receive_reply(s, 2, reply);
		} else if (delayed == DELAY_REPLY) {
			receive_reply(s, 2, s.reply);
		} else {
			member_holder_on_pong(&s.holders[2], s.now_us,
			    s.pong_from + 1, s.pong_epoch, &s.pong);
		}
		break;
	case COMMIT_DOCUMENT:
		s.document_committed = true;
		s.log.push_back(kDocument);
		break;
	case REQUEST_LEAVE:
		s.leaving = true;
		break;
	case CHANGE_LEADER:
		/* One step without a leader, in which the authority ends. */
		s.leader_changed = true;
		s.now_us += kStepUs;
		s.leader = 1;
		apply(s, 1);
		member_lessor_reset(&s.lessor, s.now_us, kStepUs, 1);
		break;
	case RESTART_2:
	case RESTART_3:
		restart(s, 1 + change - RESTART_2);
		break;
	case PARTITION:
		s.partitioned = !s.partitioned;
		break;
	default:
		if (change >= DELAY_RENEWAL)
			s.delay_wanted = change;
		else if (change >= LAG_1)
			s.lagging[change - LAG_1] = !s.lagging[change - LAG_1];
		else if (change >= DROP_REPLIES_1)
			s.drop_replies[change - DROP_REPLIES_1] =
			    !s.drop_replies[change - DROP_REPLIES_1];
		else
			s.drop_renewals[change - DROP_RENEWALS_1] =
			    !s.drop_renewals[change - DROP_RENEWALS_1];
	}
	check(s);
}

void
explorer::fail(const std::string &what)
{
	if (property.empty() || property == what)
		violation = what;
}

void
explorer::check(state &s)
{
	for (int i = 0; i < 3; i++) {
		const struct member_view *v = view(s, i);
		if (!member_holder_may_act(
			&s.holders[i], v, s.now_us, s.applied[i]))
			continue;
		supported += member_holder_standing(&s.holders[i], v, s.now_us,
				 s.applied[i]) == MEMBER_SUPPORTED;
		if (s.applied[i] < s.in_force)
			fail("in force");
		if (!s.owns[i])
			continue;
		if (s.earlier_acted_us[i] != 0) {
			owner_moves++;
			if (s.now_us < s.earlier_acted_us[i] + kFlightUs)
				fail("owners");
		}
		for (int j = 0; j < 3; j++) {
			if (j == i || s.last_acted_us[j] == 0)
				continue;
			owner_moves += s.last_acted_us[i] == 0;
			if (s.now_us < s.last_acted_us[j] + kFlightUs)
				fail("owners");
		}
		s.last_acted_us[i] = s.now_us;
	}
}

/* Time until t; 0 when it has passed. */
static uint64_t
remaining_us(const state &s, uint64_t t)
{
	return t > s.now_us ? t - s.now_us : 0;
}

/* Time since t, up to the limit beyond which it has no effect. */
static uint64_t
elapsed_us(const state &s, uint64_t t, uint64_t limit)
{
	return std::min(s.now_us - t, limit);
}

/* Hashes all that the rest of a run depends on, except permits. */
XXH128_hash_t
explorer::hash_state(const state &s) const
{
	const struct member_lessor &k = s.lessor;
	const uint64_t silent = MEMBER_LEASE_US * 2;
	bool has_delayed = s.delayed != ADVANCE;
	std::vector<uint64_t> d = {(uint64_t)s.budget, (uint64_t)s.leader,
	    s.leader_changed, s.document_committed, s.leaving, s.partitioned,
	    (uint64_t)s.delay_wanted, (uint64_t)s.delayed, s.in_force, k.commit,
	    k.sealed_epoch, elapsed_us(s, k.sealed_us, MEMBER_FLIGHT_MAX_US),
	    k.active_epoch, k.in_force, k.change_pending, s.pending.size(),
	    remaining_us(s, k.proposed_us + LESSOR_PROPOSE_INTERVAL_US),
	    remaining_us(s, k.earlier_leases_end_us),
	    remaining_us(s, k.authority_until_us)};

	for (log_entry e : s.log)
		d.push_back(e);
	for (auto &c : s.pending)
		d.insert(d.end(), {(uint64_t)c.type, c.id, c.incarnation});
	for (auto &c : k.commits)
		if (s.now_us - c.at_us <= MEMBER_APPLY_LAG_MAX_US * 2)
			d.insert(d.end(), {s.now_us - c.at_us, c.commit});
	for (int i = 0; i < 3; i++) {
		const struct member_holder &h = s.holders[i];
		d.insert(d.end(),
		    {s.drop_renewals[i], s.drop_replies[i], s.lagging[i],
			s.applied[i], s.gained_epoch[i], s.owns[i],
			elapsed_us(s, s.last_acted_us[i], MEMBER_FLIGHT_MAX_US),
			s.last_acted_us[i] != 0,
			elapsed_us(
			    s, s.earlier_acted_us[i], MEMBER_FLIGHT_MAX_US),
			s.earlier_acted_us[i] != 0,
			remaining_us(s, h.next_ping_us),
			has_delayed ? s.now_us - h.lease_sent_us : 0,
			remaining_us(s, h.lease_until_us), h.lease_required,
			h.active_epoch, h.in_force, h.epoch,
			remaining_us(s, h.promise_until_us),
			remaining_us(
			    s, h.authority_sent_us + MEMBER_LEASE_US / 2),
			(uint64_t)h.promise_renewed, (uint64_t)s.restarted[i],
			h.replaces});
		for (auto &x : s.supports[i])
			d.insert(d.end(),
			    {x.id, x.epoch, remaining_us(s, x.until_us),
				x.required});
		d.push_back(~0ULL);
	}
	for (auto &peer : s.peers) {
		for (auto &p : peer.procs) {
			if (p.incarnation == 0)
				continue;
			d.insert(d.end(),
			    {peer.id, p.incarnation,
				elapsed_us(s, p.received_us, silent),
				has_delayed ? s.now_us - p.sent_us : 0,
				p.applied, p.applied_unpromised, p.acked_epoch,
				elapsed_us(s, p.acked_us, MEMBER_FLIGHT_MAX_US),
				p.acked_unpromised,
				remaining_us(
				    s, p.lease_end_us + MEMBER_FLIGHT_MAX_US),
				p.required, p.replaces, p.info != nullptr,
				/* It must return its permits to join again. */
				p.info != nullptr &&
				    (p.held.in_flight > 0 ||
					p.held.rate_milli > 0)});
		}
	}
	if (s.delayed == DELAY_RENEWAL)
		d.insert(d.end(),
		    {s.now_us - s.renew.sent_us, s.renew.applied, s.renew.epoch,
			(uint64_t)s.renew.promise_over, s.renew_incarnation});
	else if (s.delayed == DELAY_REPLY)
		d.insert(d.end(),
		    {s.now_us - s.reply.sent_us, (uint64_t)s.reply.granted,
			s.reply.required, s.reply.active_epoch,
			s.reply.in_force});
	else if (s.delayed == DELAY_PONG)
		d.insert(d.end(),
		    {s.now_us - s.pong.sent_us, (uint64_t)s.pong_from,
			s.pong_epoch, (uint64_t)s.pong.leaderless,
			s.pong.required});
	return XXH3_128bits(d.data(), d.size() * sizeof(d[0]));
}

void
explorer::run(int budget, const std::vector<int> &initial_changes)
{
	auto less = [](const XXH128_hash_t &a, const XXH128_hash_t &b) {
		return XXH128_cmp(&a, &b) < 0;
	};
	std::set<XXH128_hash_t, decltype(less)> seen(less);
	std::deque<state> queue;
	state first = {};

	first.budget = budget + (int)initial_changes.size();
	for (int i = 0; i < 3; i++) {
		struct member_holder *h =
		    member_holder_create(i + 1, (i + 1) * 10);
		member_holder_on_view(h, view(first, i));
		(void)member_holder_renew_due(h, kStartUs - 10000 * kMs);
		first.holders[i] = *h;
		member_holder_destroy(h);
	}
	struct member_lessor *k = member_lessor_create(8, 5000);
	member_lessor_reset(k, kStartUs - 10000 * kMs, kStepUs, 1);
	first.lessor = *k;
	member_lessor_destroy(k);
	first.lessor.peers = nullptr;
	for (int c : initial_changes) {
		attach_parts(first);
		step(first, c);
		detach_parts(first);
	}
	queue.push_back(first);
	while (!queue.empty() && violation.empty()) {
		state s = std::move(queue.front());
		queue.pop_front();
		if (s.now_us >= kStartUs + kHorizonUs) {
			ended++;
			continue;
		}
		for (int c = 0; c < NCHANGES && violation.empty(); c++) {
			if (!is_possible(s, c))
				continue;
			state next = s;
			attach_parts(next);
			step(next, c);
			detach_parts(next);
			if (seen.insert(hash_state(next)).second)
				queue.push_back(std::move(next));
		}
	}
	states += seen.size();
}
