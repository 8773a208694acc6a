#include "prove/faults.h"

/*
 * The faults and steps of the fault matrix. The target of a fault is an index
 * of an instance; modulo 4 it picks an endpoint, modulo 3 a voter.
 */

/* ---- faults ------------------------------------------------------------- */

static void
inject_kill(Cluster &c, Workload &w, int target)
{
	(void)w;
	if (c.instances[(size_t)target]->alive)
		c.kill(target);
}

static void
inject_kill_disk(Cluster &c, Workload &w, int target)
{
	inject_kill(c, w, target);
	c.lose_disk(target);
}

static void
inject_restart(Cluster &c, Workload &w, int target)
{
	inject_kill(c, w, target);
	c.start(target);
}

static void
inject_cut_both(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.isolate(target, true);
}

static void
inject_cut_in(Cluster &c, Workload &w, int target)
{
	(void)w;
	for (int i = 0; i < (int)c.instances.size(); i++)
		c.cut(i, target, i != target);
}

static void
inject_cut_out(Cluster &c, Workload &w, int target)
{
	(void)w;
	for (int i = 0; i < (int)c.instances.size(); i++)
		c.cut(target, i, i != target);
}

static void
inject_split(Cluster &c, Workload &w, int target)
{
	int other = (target + 1) % (int)c.instances.size();

	(void)w;
	for (int i = 0; i < (int)c.instances.size(); i++) {
		if (i == target || i == other)
			continue;
		for (int side : {target, other}) {
			c.cut(i, side, true);
			c.cut(side, i, true);
		}
	}
}

static void
inject_freeze(Cluster &c, Workload &w, int target)
{
	(void)w;
	if (c.instances[(size_t)target]->alive)
		c.freeze(target);
}

static void
inject_delays(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	c.delay_max_us = 150000;
	c.order_delay_us = 200000;
}

/*
 * Freezes the target after it has decided on its last calls and before it
 * sends them.
 */
static void
inject_freeze_unsent(Cluster &c, Workload &w, int target)
{
	c.call_write_delay_us[target] = 300000;
	w.run(300000);
	inject_freeze(c, w, target);
}

static void
inject_unreliable_network(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	c.delay_max_us = 40000;
	c.duplicate = 0.2;
	c.drop = 0.05;
}

static void
inject_silent_engine(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.endpoints[(size_t)target % 4]->silent = true;
}

static void
inject_unreachable(Cluster &c, Workload &w, int target)
{
	(void)w;
	for (auto &e : c.endpoints)
		if (rng_below(&c.rng, 2) == 0)
			c.call_cuts.insert({target, e->id});
}

static void
inject_failed_loads(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	for (auto &e : c.endpoints)
		e->fail_loads = 5;
}

static void
inject_cold_engine(Cluster &c, Workload &w, int target)
{
	Endpoint &e = *c.endpoints[(size_t)target % 4];

	(void)w;
	e.incarnation++;
	e.slots.clear();
	e.runs.clear();
	e.prefixes.clear();
	e.cache_sequence = 0;
}

static void
inject_lagging(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	for (auto &e : c.endpoints)
		e->lag_us = 2500000;
}

static void
inject_broken_streams(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.endpoints[(size_t)target % 4]->break_after = 2;
}

static void
inject_wrong_model(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.endpoints[(size_t)target % 4]->wrong_model = true;
}

static void
inject_all_broken(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	for (auto &e : c.endpoints)
		e->break_after = 1;
}

static void
inject_rewind(Cluster &c, Workload &w, int target)
{
	inject_broken_streams(c, w, target);
	c.endpoints[(size_t)target % 4]->rewinds = true;
}

static void
inject_cut_answers(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	for (auto &e : c.endpoints)
		e->cuts_answers = true;
}

/* Whether instance i has a configuration in which the given voter votes. */
static bool
knows_voter(Cluster &c, int i, int voter)
{
	struct node *n = c.instances[(size_t)i]->node;

	if (!c.instances[(size_t)i]->alive || n->raft == nullptr)
		return false;
	const struct raft_config *config = raft_get_config(n->raft);
	for (size_t k = 0; k < config->nvoters; k++)
		if (config->voters[k] ==
		    c.instances[(size_t)voter]->node->voter)
			return true;
	return false;
}

/*
 * A voter loses its disk and recovers; right after that another voter loses
 * its disk. The recovery is complete only when all three voters know the
 * configuration with the voter. If it is incomplete, because an earlier fault
 * keeps a voter from learning of it, the other voter is only killed.
 */
static void
inject_second_disk_loss(Cluster &c, Workload &w, int target)
{
	int voter = target % 3, other = (voter + 1) % 3;
	auto is_recovered = [&] {
		return knows_voter(c, 0, voter) && knows_voter(c, 1, voter) &&
		    knows_voter(c, 2, voter);
	};

	inject_kill_disk(c, w, voter);
	w.run(1500000);
	c.start(voter);
	w.run(15000000, is_recovered);
	if (is_recovered())
		inject_kill_disk(c, w, other);
	else
		inject_kill(c, w, other);
}

/* Drops all messages of the target and kills it 300 ms later. */
static void
inject_cut_kill(Cluster &c, Workload &w, int target)
{
	inject_cut_out(c, w, target);
	w.run(300000);
	inject_kill(c, w, target);
}

static void
inject_restart_unreliable_network(Cluster &c, Workload &w, int target)
{
	c.delay_max_us = 150000;
	c.drop = 0.3;
	inject_restart(c, w, target);
}

static void
inject_restart_follower(Cluster &c, Workload &w, int target)
{
	c.drop = 0.6;
	inject_restart(c, w, 3 + target % 2);
}

/*
 * A follower restarts and gets all log entries late, by less than what its
 * leader tolerates, but all other messages at once: its first lease begins
 * before it has applied what the lease requires.
 */
static void
inject_lagging_follower(Cluster &c, Workload &w, int target)
{
	int follower = 3 + target % 2;

	c.log_delay_us[follower] = 900000;
	inject_restart(c, w, follower);
}

/* Requests 24 adapters through an instance. */
static void
request_all_adapters(Cluster &c, int instance)
{
	for (int i = 0; i < 24; i++)
		(void)c.complete(instance, "a" + std::to_string(i));
}

/*
 * Instance 4 restarts and receives all messages, but the voter that sends it
 * the log receives none of its messages.
 */
static void
inject_unreachable_source(Cluster &c, Workload &w, int target)
{
	c.cut(4, target % 3, true);
	inject_restart(c, w, 4);
}

/*
 * The owner of an endpoint is killed and restarts 5 s later. At that moment the
 * instance that has become the owner is isolated.
 */
static void
inject_rejoin_cut(Cluster &c, Workload &w, int target)
{
	std::string endpoint;
	int next_owner;

	for (auto &e : c.endpoints) {
		int owner = c.owner_of(e->id);

		if (e->service || owner < 0)
			continue;
		endpoint = e->id;
		target = owner;
	}
	inject_kill(c, w, target);
	w.run(5000000);
	next_owner = c.owner_of(endpoint);
	if (next_owner < 0 || next_owner == target) {
		c.start(target);
		return;
	}
	request_all_adapters(c, next_owner); /* it acquires store permits */
	w.run(400000);
	c.isolate(next_owner, true);
	c.start(target);
	w.run(1150000); /* by now it sends asks only to itself */
	request_all_adapters(c, next_owner);
}

/*
 * Isolates an endpoint's owner and begins long streams there. Reports of the
 * endpoint lag by 2.5 s, so that the next owner's reports do not show the
 * streams yet when other instances request all adapters.
 */
static void
inject_long_streams(Cluster &c, Workload &w, int target)
{
	int owner = -1;

	(void)target;
	for (auto &e : c.endpoints) {
		e->lag_us = 2500000;
		if (!e->service && c.owner_of(e->id) >= 0)
			owner = c.owner_of(e->id);
	}
	if (owner < 0)
		return;
	c.isolate(owner, true);
	w.run(1300000); /* by now it sends asks only to itself */
	for (int i = 0; i < 12; i++)
		(void)c.complete(owner, "a" + std::to_string(i), true, 400);
	w.run(2200000);
	for (int i = 0; i < (int)c.instances.size(); i++)
		if (i != owner)
			request_all_adapters(c, i);
}

static void
inject_full_disk(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.instances[(size_t)target]->disk.fails = true;
}

static void
inject_lost_events(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	c.event_drop = 0.3;
}

static void
inject_delayed_events(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	c.event_duplicate = 0.3;
	c.event_delay_max_us = 1500000;
}

static void
inject_drain(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)c.send(target, "POST", "/v1/drain", "op", "");
}

static void
inject_endpoint_leaves(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.endpoints[(size_t)target % 4]->leaving = true;
}

/*
 * Runs for 5 s and checks that the instances behind the relay hold their leases
 * all the time, provided that all held one at the start.
 */
static void
check_leases_held(Cluster &c, Workload &w)
{
	for (int i = kRelayInstance + 1; i < (int)c.instances.size(); i++)
		if (!c.is_leased(i))
			return; /* there is no lease to lose */
	w.run(5000000, [&] {
		for (int i = kRelayInstance + 1; i < (int)c.instances.size();
		     i++)
			if (!c.is_leased(i))
				c.violations.push_back(
				    c.instances[(size_t)i]->name +
				    " lost its lease because of its relay");
		return !c.violations.empty();
	});
}

#define DEFINE_RELAY_FAULT(name)                                               \
	static void inject_relay_##name(Cluster &c, Workload &w, int target)   \
	{                                                                      \
		inject_##name(c, w, target);                                   \
		check_leases_held(c, w);                                       \
	}
DEFINE_RELAY_FAULT(kill)
DEFINE_RELAY_FAULT(restart)
DEFINE_RELAY_FAULT(freeze)
DEFINE_RELAY_FAULT(cut_both)
DEFINE_RELAY_FAULT(cut_in)
DEFINE_RELAY_FAULT(cut_out)
DEFINE_RELAY_FAULT(delays)

/* Drops messages in one direction only: from the relay to the leader. */
static void
inject_relay_cut_up(Cluster &c, Workload &w, int target)
{
	c.cut(target, c.leader(), true);
	check_leases_held(c, w);
}

/* Drops messages in one direction only: from the leader to the relay. */
static void
inject_relay_cut_down(Cluster &c, Workload &w, int target)
{
	c.cut(c.leader(), target, true);
	check_leases_held(c, w);
}

/* Kills the leader. The next leader reaches all its members by relays. */
static void
inject_relay_leader(Cluster &c, Workload &w, int target)
{
	(void)target;
	inject_kill(c, w, c.leader() < 0 ? 0 : c.leader());
}

const std::vector<Fault> all_faults = {
    {"kill", inject_kill, 6000000, true, false},
    {"kill, disk lost", inject_kill_disk, 6000000, true, false},
    {"restart at once", inject_restart, 4000000, true, false},
    {"cut both ways", inject_cut_both, 6000000, true, false},
    {"cut, hears nobody", inject_cut_in, 6000000, true, false},
    {"cut, nobody hears it", inject_cut_out, 6000000, true, false},
    {"long isolation", inject_cut_both, 20000000, true, false},
    {"split in two", inject_split, 6000000, true, false},
    {"freeze and wake", inject_freeze, 5000000, true, false},
    {"late messages", inject_delays, 5000000, false, false},
    {"lost, doubled, reordered", inject_unreliable_network, 5000000, false,
	false},
    {"silent engine", inject_silent_engine, 5000000, false, false},
    {"endpoints unreachable", inject_unreachable, 5000000, false, false},
    {"failed loads", inject_failed_loads, 5000000, false, false},
    {"cold engine", inject_cold_engine, 3000000, false, false},
    {"lagging reports", inject_lagging, 5000000, false, false},
    {"broken streams", inject_broken_streams, 4000000, false, false},
    {"all streams break", inject_all_broken, 3000000, false, false},
    {"wrong model", inject_wrong_model, 4000000, false, false},
    {"rewinding engine", inject_rewind, 4000000, false, false},
    {"cut answers", inject_cut_answers, 3000000, false, false},
    {"second loss after repair", inject_second_disk_loss, 6000000, true, false},
    {"cut, then killed", inject_cut_kill, 6000000, true, false},
    {"restart among losses", inject_restart_unreliable_network, 5000000, true,
	false},
    {"follower restarts, losses", inject_restart_follower, 5000000, true,
	false},
    {"restart, deaf source", inject_unreachable_source, 5000000, true, false},
    {"rejoin, other cut", inject_rejoin_cut, 4000000, true, false},
    {"long streams, old reports", inject_long_streams, 6000000, true, false},
    {"full disk", inject_full_disk, 5000000, false, false},
    {"drain", inject_drain, 6000000, true, false},
    {"endpoint leaves", inject_endpoint_leaves, 5000000, false, false},
    {"freeze, calls unwritten", inject_freeze_unsent, 6000000, true, false},
    {"lost cache events", inject_lost_events, 5000000, false, false},
    {"late, doubled events", inject_delayed_events, 5000000, false, false},
    {"relay: kill", inject_relay_kill, 1000000, true, true},
    {"relay: restart at once", inject_relay_restart, 1000000, true, true},
    {"relay: freeze and wake", inject_relay_freeze, 1000000, true, true},
    {"relay: cut both ways", inject_relay_cut_both, 1000000, true, true},
    {"relay: cut, hears nobody", inject_relay_cut_in, 1000000, true, true},
    {"relay: cut, nobody hears it", inject_relay_cut_out, 1000000, true, true},
    {"relay: late messages", inject_relay_delays, 1000000, true, true},
    {"relay: cut to the leader", inject_relay_cut_up, 1000000, true, true},
    {"relay: cut from the leader", inject_relay_cut_down, 1000000, true, true},
    {"relay: leader killed", inject_relay_leader, 6000000, true, true},
    /* Last, as the steps of pairs depend on the order. */
    {"follower restarts, late log", inject_lagging_follower, 5000000, true,
	false},
};

/* ---- steps -------------------------------------------------------------- */

/* The leader, or instance 0 if there is none. */
static int
leader_or_first(Cluster &c)
{
	int leader = c.leader();

	return leader < 0 ? 0 : leader;
}

static int
reach_idle(Cluster &c, Workload &w)
{
	w.run(1000000);
	return leader_or_first(c);
}

static int
reach_change(Cluster &c, Workload &w)
{
	Request *before = w.last_change;

	w.run(5000000, [&] { return w.last_change != before; });
	c.run_for(700); /* the proposal is in transit */
	return leader_or_first(c);
}

static int
reach_booking(Cluster &c, Workload &w)
{
	auto count = [&c] {
		size_t ran = 0;

		for (auto &e : c.endpoints)
			ran += e->service ? e->ran.size() : 0;
		return ran;
	};
	size_t ran;

	w.run(500000);
	ran = count();
	w.run(5000000, [&] { return count() > ran; });
	return w.last_booking == nullptr ? 0 : w.last_booking->instance;
}

static int
reach_stream(Cluster &c, Workload &w)
{
	int entry = 0;

	w.run(5000000, [&] {
		for (auto &e : c.endpoints)
			for (auto &run : e->runs)
				if (run.second.next == 2) {
					entry = run.second.instance;
					return true;
				}
		return false;
	});
	return entry;
}

static int
reach_load(Cluster &c, Workload &w)
{
	int owner = 0;

	w.run(5000000, [&] {
		for (auto &e : c.endpoints)
			for (auto &slot : e->slots)
				if (slot.second) {
					owner = c.owner_of(e->id);
					return owner >= 0;
				}
		return false;
	});
	return owner < 0 ? 0 : owner;
}

static int
reach_grant(Cluster &c, Workload &w)
{
	Request *before = w.last_completion;

	w.run(5000000, [&] { return w.last_completion != before; });
	c.run_for(500); /* the ask has reached its owner */
	return c.owner_of(c.endpoints[0]->id) < 0
	    ? 0
	    : c.owner_of(c.endpoints[0]->id);
}

const std::vector<Step> all_steps = {
    {"steady work", reach_idle},
    {"document under way", reach_change},
    {"booking runs", reach_booking},
    {"stream runs", reach_stream},
    {"adapter loads", reach_load},
    {"grant asked", reach_grant},
};
