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
 * All runs of three instances in which instance 3, which owns the endpoint,
 * is cut off in any way and may leave or be removed. Time goes in coarse steps.
 * Before each, any of the changes of `change` may happen, up to a budget; one
 * message may come late, at any time. Breadth first over the member code.
 */
namespace {

const uint64_t kStep = 250 * kMs;
const uint64_t kStart = 20000 * kMs;
#ifdef __SANITIZE_ADDRESS__
const int kBudget = 1;
#else
const int kBudget = 2;
#endif
const uint64_t kHorizon = 10000 * kMs;
const uint64_t kFlight = MEMBER_FLIGHT_MAX_US * 95 / 100;

enum change {
	GO_ON, /* no change: the next step of time */
	RELEASE, /* the late message comes */
	DOCUMENT, /* is committed */
	LEAVING, /* instance 3 asks to leave */
	PASS_LEAD, /* instance 1 has lost its authority, 2 leads */
	MUTE_1, /* renewals of an instance are lost, or get through again */
	MUTE_2,
	MUTE_3,
	DEAF_1, /* answers to them are */
	DEAF_2,
	DEAF_3,
	LAG_1, /* it applies nothing, or all again */
	LAG_2,
	LAG_3,
	CUT, /* 1 and 2 on the one side, 3 on the other cannot ping */
	HOLD_RENEW, /* instance 3's next renewal comes late */
	HOLD_REPLY, /* the answer to it does */
	HOLD_PONG, /* the next answer to its pings does */
	NCHANGES
};

enum log_entry {
	DOC,
	UP,
	LEAVE,
	DOWN
};

struct state {
	uint64_t now = kStart;
	int budget, leader = 0;
	bool passed = false, doc = false, leaving = false;
	bool mute[3] = {}, deaf[3] = {}, lag[3] = {}, cut = false;
	std::vector<log_entry> log = {UP, UP, UP};
	uint64_t applied[3] = {3, 3, 3}, gained[3] = {0, 0, 3}, acted[3] = {};
	bool owns[3] = {};
	uint64_t in_force = 0;
	struct member_holder holders[3];
	std::vector<struct member_support> supports[3];
	struct member_lessor keeper;
	std::vector<struct lessor_peer> peers;
	/* The late message: 0 none, else the change that asked for it. */
	int wanted = GO_ON, held = GO_ON, pong_from = 0;
	uint64_t pong_epoch = 0;
	Wire__LeaseRenew renew;
	Wire__LeaseReply reply;
	Wire__Pong pong;
};

class explorer {
      public:
	explorer();
	~explorer();
	void run(int budget, const std::vector<int> &given);

	std::string watch; /* the property looked at; empty: all */
	std::string broken;
	size_t states = 0, moves = 0, supported = 0, removed = 0, ended = 0;

      private:
	const struct member_view *view(const state &s, int i) const;
	bool possible(const state &s, int change) const;
	void step(state &s, int change);
	void pass_time(state &s);
	void lead(state &s);
	void renew(state &s, int i);
	void ping(state &s, int i, int to);
	void apply(state &s, int i);
	void take_renew(state &s, int i, const Wire__LeaseRenew &r,
	    Wire__LeaseReply *reply);
	void take_reply(state &s, int i, const Wire__LeaseReply &reply);
	void take_active(state &s, int i);
	void check(state &s);
	void fail(const std::string &what);
	XXH128_hash_t digest(const state &s) const;

	/* By the log after the three that came up. */
	mutable std::map<std::vector<log_entry>, struct member_view *> views;
	std::string endpoint;
};

explorer::explorer()
{
	state s, gone;
	std::string name;

	/* An endpoint that passes from instance 3 to instance 1. */
	gone.log.push_back(DOWN);
	gone.applied[0] = 4;
	for (int i = 0; endpoint.empty(); i++) {
		name = std::to_string(i);
		if (member_owner_of(view(s, 0), "r", name.c_str()) == 3 &&
		    member_owner_of(view(gone, 0), "r", name.c_str()) == 1)
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
	v = view_of(3);
	for (size_t at = 3; at < done.size(); at++) {
		if (done[at] == LEAVE)
			member_view_apply_leave(v, at + 1, 3, 30);
		if (done[at] == DOWN)
			member_view_apply_down(v, at + 1, 3, 30);
	}
	return v;
}

/* The opaque types keep parts by pointer: set up for one step. */
void
borrow(state &s)
{
	for (int i = 0; i < 3; i++) {
		size_t n = s.supports[i].size();
		s.holders[i].nsupports = n;
		s.holders[i].supports = (struct member_support *)calloc(
		    n + 1, sizeof(struct member_support));
		std::copy(s.supports[i].begin(), s.supports[i].end(),
		    s.holders[i].supports);
	}
	s.keeper.peers = map_create();
	for (auto &p : s.peers) {
		auto *copy = (struct lessor_peer *)malloc(sizeof(p));
		*copy = p;
		map_set_u64(s.keeper.peers, p.id, copy);
	}
}

void
give_back(state &s)
{
	for (int i = 0; i < 3; i++) {
		s.supports[i].assign(s.holders[i].supports,
		    s.holders[i].supports + s.holders[i].nsupports);
		free(s.holders[i].supports);
		s.holders[i].supports = nullptr;
	}
	s.peers.clear();
	for (size_t i = 0; i < map_count(s.keeper.peers); i++) {
		s.peers.push_back(
		    *(struct lessor_peer *)map_at(s.keeper.peers, i));
		free(map_at(s.keeper.peers, i));
	}
	map_destroy(s.keeper.peers);
	s.keeper.peers = nullptr;
}

void
explorer::take_active(state &s, int i)
{
	if (s.gained[i] != 0 &&
	    member_holder_active_epoch(&s.holders[i]) >= s.gained[i])
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
		s.gained[i] =
		    owner == (uint32_t)i + 1 ? member_view_epoch(v) : 0;
		member_holder_on_view(&s.holders[i], v);
		take_active(s, i);
	}
}

void
explorer::take_renew(
    state &s, int i, const Wire__LeaseRenew &r, Wire__LeaseReply *reply)
{
	member_lessor_on_renew(&s.keeper, view(s, s.leader), s.now,
	    s.now + kStep, i + 1, (i + 1) * 10, s.log.size(), &r, reply);
	s.in_force = std::max(s.in_force, reply->in_force);
}

void
explorer::take_reply(state &s, int i, const Wire__LeaseReply &reply)
{
	member_holder_on_lease(&s.holders[i], s.now, &reply);
	take_active(s, i);
}

void
explorer::renew(state &s, int i)
{
	Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
	Wire__LeaseReply reply;

	member_holder_fill_renew(&s.holders[i], s.now, s.applied[i],
	    member_view_epoch(view(s, i)), &r);
	r.leaving = i == 2 && s.leaving;
	if (i == 2 && s.wanted == HOLD_RENEW) {
		s.wanted = GO_ON;
		s.held = HOLD_RENEW;
		s.renew = r;
		return;
	}
	if (s.mute[i] && i != s.leader)
		return;
	take_renew(s, i, r, &reply);
	if (i == 2 && s.wanted == HOLD_REPLY) {
		s.wanted = GO_ON;
		s.held = HOLD_REPLY;
		s.reply = reply;
	} else if (!s.deaf[i] || i == s.leader) {
		take_reply(s, i, reply);
	}
}

void
explorer::ping(state &s, int i, int to)
{
	Wire__Ping p = WIRE__PING__INIT;
	Wire__Pong pong;
	uint64_t epoch = member_view_epoch(view(s, to));

	p.sent_us = s.now;
	member_holder_on_ping(&s.holders[to], s.now, s.applied[to], &p, &pong);
	if (i == 2 && s.wanted == HOLD_PONG) {
		s.wanted = GO_ON;
		s.held = HOLD_PONG;
		s.pong = pong;
		s.pong_from = to;
		s.pong_epoch = epoch;
		return;
	}
	member_holder_on_pong(&s.holders[i], s.now, to + 1, epoch, &pong);
}

void
explorer::lead(state &s)
{
	struct member_change w;

	apply(s, s.leader);
	renew(s, s.leader);
	if (!member_lessor_next_change(
		&s.keeper, view(s, s.leader), s.now, &w) ||
	    w.id != 3)
		return;
	removed++;
	s.log.push_back(w.type == MEMBER_CHANGE_DOWN ? DOWN : LEAVE);
}

void
explorer::pass_time(state &s)
{
	lead(s);
	for (int i = 0; i < 3; i++)
		if (i != s.leader)
			renew(s, i);
	for (int i = 0; i < 3; i++) {
		if (!member_holder_ping_due(&s.holders[i], s.now))
			continue;
		for (int to = 0; to < 3; to++)
			if (to != i && (!s.cut || (to < 2 && i < 2)))
				ping(s, i, to);
	}
	for (int i = 0; i < 3; i++)
		if (!s.lag[i])
			apply(s, i);
	check(s);
	s.now += kStep;
}

bool
explorer::possible(const state &s, int change) const
{
	bool free_slot = s.wanted == GO_ON && s.held == GO_ON;

	if (change == GO_ON)
		return true;
	if (change == RELEASE)
		return s.held != GO_ON;
	if (s.budget == 0)
		return false;
	if (change == DOCUMENT)
		return !s.doc;
	if (change == LEAVING)
		return !s.leaving;
	if (change == PASS_LEAD)
		return !s.passed;
	if (change >= MUTE_1 && change <= LAG_3)
		return (change - MUTE_1) % 3 != s.leader;
	return change == CUT || free_slot;
}

void
explorer::step(state &s, int change)
{
	Wire__LeaseReply reply;
	int held = s.held;

	if (change != GO_ON && change != RELEASE)
		s.budget--;
	switch (change) {
	case GO_ON:
		pass_time(s);
		break;
	case RELEASE:
		s.held = GO_ON;
		if (held == HOLD_RENEW) {
			take_renew(s, 2, s.renew, &reply);
			take_reply(s, 2, reply);
		} else if (held == HOLD_REPLY) {
			take_reply(s, 2, s.reply);
		} else {
			member_holder_on_pong(&s.holders[2], s.now,
			    s.pong_from + 1, s.pong_epoch, &s.pong);
		}
		break;
	case DOCUMENT:
		s.doc = true;
		s.log.push_back(DOC);
		break;
	case LEAVING:
		s.leaving = true;
		break;
	case PASS_LEAD:
		/* A step without a leader: the old authority has ended. */
		s.passed = true;
		s.now += kStep;
		s.leader = 1;
		apply(s, 1);
		member_lessor_reset(&s.keeper, s.now, kStep, 1);
		break;
	case CUT:
		s.cut = !s.cut;
		break;
	default:
		if (change >= HOLD_RENEW)
			s.wanted = change;
		else if (change >= LAG_1)
			s.lag[change - LAG_1] = !s.lag[change - LAG_1];
		else if (change >= DEAF_1)
			s.deaf[change - DEAF_1] = !s.deaf[change - DEAF_1];
		else
			s.mute[change - MUTE_1] = !s.mute[change - MUTE_1];
	}
	check(s);
}

void
explorer::fail(const std::string &what)
{
	if (watch.empty() || watch == what)
		broken = what;
}

void
explorer::check(state &s)
{
	for (int i = 0; i < 3; i++) {
		const struct member_view *v = view(s, i);
		if (!member_holder_may_act(
			&s.holders[i], v, s.now, s.applied[i]))
			continue;
		supported += member_holder_standing(&s.holders[i], v, s.now,
				 s.applied[i]) == MEMBER_SUPPORTED;
		if (s.applied[i] < s.in_force)
			fail("in force");
		if (!s.owns[i])
			continue;
		for (int j = 0; j < 3; j++) {
			if (j == i || s.acted[j] == 0)
				continue;
			moves += s.acted[i] == 0;
			if (s.now < s.acted[j] + kFlight)
				fail("owners");
		}
		s.acted[i] = s.now;
	}
}

/* How far ahead; 0 when over. */
uint64_t
ahead(const state &s, uint64_t t)
{
	return t > s.now ? t - s.now : 0;
}

/* How long ago, as far as it matters. */
uint64_t
ago(const state &s, uint64_t t, uint64_t matters)
{
	return std::min(s.now - t, matters);
}

/* Everything that the rest of a run depends on, but permits. */
XXH128_hash_t
explorer::digest(const state &s) const
{
	const struct member_lessor &k = s.keeper;
	const uint64_t silent = MEMBER_LEASE_US * 2;
	bool late = s.held != GO_ON;
	std::vector<uint64_t> d = {(uint64_t)s.budget, (uint64_t)s.leader,
	    s.passed, s.doc, s.leaving, s.cut, (uint64_t)s.wanted,
	    (uint64_t)s.held, s.in_force, k.commit, k.sealed_epoch,
	    ago(s, k.sealed_us, MEMBER_FLIGHT_MAX_US), k.active_epoch,
	    k.in_force, k.change_pending, k.change.id,
	    ahead(s, k.proposed_us + LESSOR_PROPOSE_INTERVAL_US),
	    ahead(s, k.earlier_leases_end_us), ahead(s, k.authority_until_us)};

	for (log_entry e : s.log)
		d.push_back(e);
	for (auto &c : k.commits)
		if (s.now - c.at_us <= MEMBER_APPLY_LAG_MAX_US * 2)
			d.insert(d.end(), {s.now - c.at_us, c.commit});
	for (int i = 0; i < 3; i++) {
		const struct member_holder &h = s.holders[i];
		d.insert(d.end(),
		    {s.mute[i], s.deaf[i], s.lag[i], s.applied[i], s.gained[i],
			s.owns[i], ago(s, s.acted[i], MEMBER_FLIGHT_MAX_US),
			s.acted[i] != 0, ahead(s, h.next_ping_us),
			late ? s.now - h.lease_sent_us : 0,
			ahead(s, h.lease_until_us), h.lease_required,
			h.active_epoch, h.in_force, h.epoch,
			ahead(s, h.promise_until_us)});
		for (auto &x : s.supports[i])
			d.insert(d.end(),
			    {x.id, x.epoch, ahead(s, x.until_us), x.required});
		d.push_back(~0ULL);
	}
	for (auto &peer : s.peers) {
		const struct lessor_proc &p = peer.procs[0];
		d.insert(d.end(),
		    {peer.id, ago(s, p.received_us, silent),
			late ? s.now - p.sent_us : 0, p.applied,
			p.applied_unpromised, p.acked_epoch,
			ago(s, p.acked_us, MEMBER_FLIGHT_MAX_US),
			p.acked_unpromised,
			ahead(s, p.lease_end_us + MEMBER_FLIGHT_MAX_US),
			p.required});
	}
	if (s.held == HOLD_RENEW)
		d.insert(d.end(),
		    {s.now - s.renew.sent_us, s.renew.applied, s.renew.epoch,
			(uint64_t)s.renew.promise_over});
	else if (s.held == HOLD_REPLY)
		d.insert(d.end(),
		    {s.now - s.reply.sent_us, (uint64_t)s.reply.granted,
			s.reply.required, s.reply.active_epoch,
			s.reply.in_force});
	else if (s.held == HOLD_PONG)
		d.insert(d.end(),
		    {s.now - s.pong.sent_us, (uint64_t)s.pong_from,
			s.pong_epoch, (uint64_t)s.pong.leaderless,
			s.pong.required});
	return XXH3_128bits(d.data(), d.size() * sizeof(d[0]));
}

void
explorer::run(int budget, const std::vector<int> &given)
{
	auto less = [](const XXH128_hash_t &a, const XXH128_hash_t &b) {
		return XXH128_cmp(&a, &b) < 0;
	};
	std::set<XXH128_hash_t, decltype(less)> seen(less);
	std::deque<state> queue;
	state first = {};

	first.budget = budget + (int)given.size();
	for (int i = 0; i < 3; i++) {
		struct member_holder *h =
		    member_holder_create(i + 1, (i + 1) * 10);
		member_holder_on_view(h, view(first, i));
		(void)member_holder_renew_due(h, kStart - 10000 * kMs);
		first.holders[i] = *h;
		member_holder_destroy(h);
	}
	struct member_lessor *k = member_lessor_create(8, 5000);
	member_lessor_reset(k, kStart - 10000 * kMs, kStep, 1);
	first.keeper = *k;
	member_lessor_destroy(k);
	first.keeper.peers = nullptr;
	for (int c : given) {
		borrow(first);
		step(first, c);
		give_back(first);
	}
	queue.push_back(first);
	while (!queue.empty() && broken.empty()) {
		state s = std::move(queue.front());
		queue.pop_front();
		if (s.now >= kStart + kHorizon) {
			ended++;
			continue;
		}
		for (int c = 0; c < NCHANGES && broken.empty(); c++) {
			if (!possible(s, c))
				continue;
			state next = s;
			borrow(next);
			step(next, c);
			give_back(next);
			if (seen.insert(digest(next)).second)
				queue.push_back(std::move(next));
		}
	}
	states += seen.size();
}

} // namespace

class member_exhaust : public testing::TestWithParam<std::vector<int>> {};

/* MEMBER_BUDGET sets the number of further changes; 3 takes minutes. */
TEST_P(member_exhaust, one_hand_over)
{
	const char *budget = getenv("MEMBER_BUDGET");
	explorer e;

	e.run(budget == nullptr ? kBudget : atoi(budget), GetParam());
	printf(
	    "%zu states, %zu of them at the horizon; %zu changes of members, "
	    "%zu moves, %zu supported\n",
	    e.states, e.ended, e.removed, e.moves, e.supported);
	EXPECT_EQ(e.broken, "");
}

INSTANTIATE_TEST_SUITE_P(given, member_exhaust,
    testing::Values(std::vector<int>{}, std::vector<int>{LEAVING},
	std::vector<int>{LEAVING, LAG_3}, std::vector<int>{MUTE_3, LAG_3},
	std::vector<int>{DEAF_2, LAG_3},
	std::vector<int>{DEAF_2, MUTE_3, LAG_3},
	std::vector<int>{PASS_LEAD, LAG_3}));

/*
 * The exploration sees a guard that is off, but for those of drift and of
 * orders under way, which its steps are too coarse for.
 */
TEST(member_exhaust_guards, off)
{
	struct {
		bool *guard;
		const char *broken;
		std::vector<int> given;
	} cases[] = {
	    {&member_guards.lease_wait, "owners", {LEAVING, LAG_3}},
	    {&member_guards.earlier_leases, "owners", {LEAVING, LAG_3}},
	    {&member_guards.promise, "owners", {MUTE_3, LAG_3, DEAF_2}},
	    {&member_guards.seal, "owners", {MUTE_3, LAG_3, DEAF_2}},
	    {&member_guards.lease_from_send, "owners", {LEAVING, LAG_3}},
	    {&member_guards.lease_required, "in force", {LAG_3}},
	    {&member_guards.in_force_leases, "in force", {LAG_3}},
	    {&member_guards.in_force_support, "in force", {MUTE_3, LAG_3}},
	    {&member_guards.support_required, "in force", {MUTE_3, LAG_3}},
	};

	for (auto &c : cases) {
		explorer e;
		e.watch = c.broken;
		*c.guard = false;
		e.run(2, c.given);
		*c.guard = true;
		printf("%zd: %zu states until %s\n", &c - cases, e.states,
		    e.broken.c_str());
		EXPECT_EQ(e.broken, c.broken) << &c - cases;
	}
}
