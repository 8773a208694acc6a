#include <gtest/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "member/member_holder.h"
#include "member/member_lessor.h"
#include "member_fixture.h"

/*
 * Exhaustive exploration of the member code, breadth first: all runs of three
 * instances in which instance 3, which owns the endpoint, is isolated in any
 * way and may leave or be removed. Time advances in coarse steps. Before each
 * step any change of `enum change` may happen, up to a budget. One message may
 * be delayed, for any time.
 */
namespace {

const uint64_t kStepUs = 250 * kMs;
const uint64_t kStartUs = 20000 * kMs;
#ifdef __SANITIZE_ADDRESS__
const int kBudget = 1;
#else
const int kBudget = 2;
#endif
const uint64_t kHorizonUs = 10000 * kMs;
const uint64_t kFlightUs = MEMBER_FLIGHT_MAX_US * 95 / 100;

/* What may happen before a step; those that end in a number toggle. */
enum change {
	ADVANCE, /* no change: the next step of time */
	DELIVER_DELAYED, /* the delayed message is received */
	COMMIT_DOCUMENT, /* a document is committed */
	REQUEST_LEAVE, /* instance 3 asks to leave */
	CHANGE_LEADER, /* instance 1 has lost its authority, 2 leads */
	DROP_RENEWALS_1, /* renewals of instance 1 are lost */
	DROP_RENEWALS_2,
	DROP_RENEWALS_3,
	DROP_REPLIES_1, /* replies to its renewals are lost */
	DROP_REPLIES_2,
	DROP_REPLIES_3,
	LAG_1, /* it applies none of the log */
	LAG_2,
	LAG_3,
	PARTITION, /* toggles: 3 and the others cannot ping each other */
	DELAY_RENEWAL, /* the next renewal of instance 3 is delayed */
	DELAY_REPLY, /* the reply to its next renewal is */
	DELAY_PONG, /* the next pong to it is */
	NCHANGES
};

/* Entries of the log: a document, or a change of the members. */
enum log_entry {
	DOC,
	UP,
	LEAVE,
	DOWN
};

struct state {
	uint64_t now_us = kStartUs;
	int budget, leader = 0;
	bool leader_changed = false, document_committed = false,
	     leaving = false;
	bool drop_renewals[3] = {}, drop_replies[3] = {}, lagging[3] = {},
	     partitioned = false;
	std::vector<log_entry> log = {UP, UP, UP};
	uint64_t applied[3] = {3, 3, 3}, gained_epoch[3] = {0, 0, 3},
		 last_acted_us[3] = {};
	bool owns[3] = {};
	uint64_t in_force = 0;
	struct member_holder holders[3];
	std::vector<struct member_support> supports[3];
	struct member_lessor lessor;
	std::vector<struct lessor_peer> peers;
	std::vector<struct member_change> pending;
	/*
	 * The message to delay next and the one that is delayed, each by its
	 * change; ADVANCE: none.
	 */
	int delay_wanted = ADVANCE, delayed = ADVANCE, pong_from = 0;
	uint64_t pong_epoch = 0;
	Wire__LeaseRenew renew;
	Wire__LeaseReply reply;
	Wire__Pong pong;
};

class explorer {
      public:
	explorer();
	~explorer();
	void run(int budget, const std::vector<int> &initial_changes);

	std::string property; /* the only property checked; empty: all are */
	std::string violation;
	size_t states = 0, owner_moves = 0, supported = 0, changes = 0,
	       ended = 0;

      private:
	const struct member_view *view(const state &s, int i) const;
	bool is_possible(const state &s, int change) const;
	void step(state &s, int change);
	void advance_time(state &s);
	void lead_step(state &s);
	void renew(state &s, int i);
	void ping(state &s, int i, int to);
	void apply(state &s, int i);
	void receive_renew(state &s, int i, const Wire__LeaseRenew &r,
	    Wire__LeaseReply *reply);
	void receive_reply(state &s, int i, const Wire__LeaseReply &reply);
	void update_owns(state &s, int i);
	void check(state &s);
	void fail(const std::string &what);
	XXH128_hash_t hash_state(const state &s) const;

	/* Views by the log that made them. */
	mutable std::map<std::vector<log_entry>, struct member_view *> views;
	std::string endpoint;
};

explorer::explorer()
{
	state s, after_down;
	std::string name;

	/* An endpoint that instance 1 owns after instance 3. */
	after_down.log.push_back(DOWN);
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
	for (size_t at = 3; at < done.size(); at++) {
		if (done[at] == LEAVE)
			member_view_apply_leave(v, at + 1, 3, 30);
		if (done[at] == DOWN)
			member_view_apply_down(v, at + 1, 3, 30);
	}
	return v;
}

/*
 * A state is copied by value, but holders and the lessor refer to parts by
 * pointer: these are allocated for one step and copied back after it.
 */
void
attach_parts(state &s)
{
	for (int i = 0; i < 3; i++) {
		size_t n = s.supports[i].size();
		s.holders[i].nsupports = n;
		s.holders[i].supports = (struct member_support *)calloc(
		    n + 1, sizeof(struct member_support));
		std::copy(s.supports[i].begin(), s.supports[i].end(),
		    s.holders[i].supports);
	}
	s.lessor.nchanges = s.lessor.changes_cap = s.pending.size();
	s.lessor.changes = (struct member_change *)calloc(
	    s.pending.size() + 1, sizeof(struct member_change));
	std::copy(s.pending.begin(), s.pending.end(), s.lessor.changes);
	s.lessor.peers = map_create();
	for (auto &p : s.peers) {
		auto *copy = (struct lessor_peer *)malloc(sizeof(p));
		*copy = p;
		map_set_u64(s.lessor.peers, p.id, copy);
	}
}

void
detach_parts(state &s)
{
	for (int i = 0; i < 3; i++) {
		s.supports[i].assign(s.holders[i].supports,
		    s.holders[i].supports + s.holders[i].nsupports);
		free(s.holders[i].supports);
		s.holders[i].supports = nullptr;
	}
	s.pending.assign(
	    s.lessor.changes, s.lessor.changes + s.lessor.nchanges);
	free(s.lessor.changes);
	s.lessor.changes = nullptr;
	s.peers.clear();
	for (size_t i = 0; i < map_count(s.lessor.peers); i++) {
		s.peers.push_back(
		    *(struct lessor_peer *)map_at(s.lessor.peers, i));
		free(map_at(s.lessor.peers, i));
	}
	map_destroy(s.lessor.peers);
	s.lessor.peers = nullptr;
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
		log_entry e = s.log[s.applied[i]++];
		if (e != DOWN && e != LEAVE)
			continue;
		const struct member_view *v = view(s, i);
		uint32_t owner = member_owner_of(v, "r", endpoint.c_str());
		s.owns[i] = false;
		s.gained_epoch[i] =
		    owner == (uint32_t)i + 1 ? member_view_epoch(v) : 0;
		member_holder_on_view(&s.holders[i], v);
		update_owns(s, i);
	}
}

void
explorer::receive_renew(
    state &s, int i, const Wire__LeaseRenew &r, Wire__LeaseReply *reply)
{
	member_lessor_on_renew(&s.lessor, view(s, s.leader), s.now_us,
	    s.now_us + kStepUs, i + 1, (i + 1) * 10, s.log.size(), &r, reply);
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
		return;
	}
	if (s.drop_renewals[i] && i != s.leader)
		return;
	receive_renew(s, i, r, &reply);
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

	apply(s, s.leader);
	renew(s, s.leader);
	if (!member_lessor_next_change(
		&s.lessor, view(s, s.leader), s.now_us, &w) ||
	    w.id != 3)
		return;
	changes++;
	s.log.push_back(w.type == MEMBER_CHANGE_DOWN ? DOWN : LEAVE);
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
			receive_renew(s, 2, s.renew, &reply);
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
		s.log.push_back(DOC);
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
uint64_t
remaining_us(const state &s, uint64_t t)
{
	return t > s.now_us ? t - s.now_us : 0;
}

/* Time since t, up to the limit beyond which it has no effect. */
uint64_t
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
		d.insert(d.end(), {(uint64_t)c.type, c.id});
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
			remaining_us(s, h.next_ping_us),
			has_delayed ? s.now_us - h.lease_sent_us : 0,
			remaining_us(s, h.lease_until_us), h.lease_required,
			h.active_epoch, h.in_force, h.epoch,
			remaining_us(s, h.promise_until_us)});
		for (auto &x : s.supports[i])
			d.insert(d.end(),
			    {x.id, x.epoch, remaining_us(s, x.until_us),
				x.required});
		d.push_back(~0ULL);
	}
	for (auto &peer : s.peers) {
		const struct lessor_proc &p = peer.procs[0];
		d.insert(d.end(),
		    {peer.id, elapsed_us(s, p.received_us, silent),
			has_delayed ? s.now_us - p.sent_us : 0, p.applied,
			p.applied_unpromised, p.acked_epoch,
			elapsed_us(s, p.acked_us, MEMBER_FLIGHT_MAX_US),
			p.acked_unpromised,
			remaining_us(s, p.lease_end_us + MEMBER_FLIGHT_MAX_US),
			p.required});
	}
	if (s.delayed == DELAY_RENEWAL)
		d.insert(d.end(),
		    {s.now_us - s.renew.sent_us, s.renew.applied, s.renew.epoch,
			(uint64_t)s.renew.promise_over});
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

} // namespace

class member_exhaust : public testing::TestWithParam<std::vector<int>> {};

/*
 * Guards against: in some order of events, two instances act for one endpoint
 * or an instance acts below the index in force, while an endpoint passes to
 * another owner. MEMBER_BUDGET sets the number of changes after the initial
 * ones; 3 takes minutes.
 */
TEST_P(member_exhaust, one_handover)
{
	const char *budget = getenv("MEMBER_BUDGET");
	explorer e;

	e.run(budget == nullptr ? kBudget : atoi(budget), GetParam());
	printf(
	    "%zu states, %zu of them at the horizon; %zu changes of members, "
	    "%zu moves, %zu supported\n",
	    e.states, e.ended, e.changes, e.owner_moves, e.supported);
	EXPECT_EQ(e.violation, "");
}

INSTANTIATE_TEST_SUITE_P(given, member_exhaust,
    testing::Values(std::vector<int>{}, std::vector<int>{REQUEST_LEAVE},
	std::vector<int>{REQUEST_LEAVE, LAG_3},
	std::vector<int>{DROP_RENEWALS_3, LAG_3},
	std::vector<int>{DROP_REPLIES_2, LAG_3},
	std::vector<int>{DROP_REPLIES_2, DROP_RENEWALS_3, LAG_3},
	std::vector<int>{CHANGE_LEADER, LAG_3}));

/*
 * Guards against: checks that do not detect a violation. The exploration must
 * find one with a guard off, except the guards for clock drift and for orders
 * in flight, for which its steps are too coarse.
 */
TEST(member_exhaust_guards, each_guard_off_is_detected)
{
	struct {
		bool *guard;
		const char *violation;
		std::vector<int> initial_changes;
	} cases[] = {
	    {&member_guards.lease_wait, "owners", {REQUEST_LEAVE, LAG_3}},
	    {&member_guards.earlier_leases, "owners", {REQUEST_LEAVE, LAG_3}},
	    {&member_guards.promise, "owners",
		{DROP_RENEWALS_3, LAG_3, DROP_REPLIES_2}},
	    {&member_guards.seal, "owners",
		{DROP_RENEWALS_3, LAG_3, DROP_REPLIES_2}},
	    {&member_guards.lease_from_send, "owners", {REQUEST_LEAVE, LAG_3}},
	    {&member_guards.lease_required, "in force", {LAG_3}},
	    {&member_guards.in_force_leases, "in force", {LAG_3}},
	    {&member_guards.in_force_support, "in force",
		{DROP_RENEWALS_3, LAG_3}},
	    {&member_guards.support_required, "in force",
		{DROP_RENEWALS_3, LAG_3}},
	};

	for (auto &c : cases) {
		explorer e;
		e.property = c.violation;
		*c.guard = false;
		e.run(2, c.initial_changes);
		*c.guard = true;
		printf("%zd: %zu states until %s\n", &c - cases, e.states,
		    e.violation.c_str());
		EXPECT_EQ(e.violation, c.violation) << &c - cases;
	}
}
