#include "prove/faults.h"

/* ---- faults ------------------------------------------------------------- */

static void
strike_kill(Cluster &c, Workload &w, int target)
{
	(void)w;
	if (c.instances[(size_t)target]->alive)
		c.kill(target);
}

static void
strike_kill_disk(Cluster &c, Workload &w, int target)
{
	strike_kill(c, w, target);
	c.lose_disk(target);
}

static void
strike_restart(Cluster &c, Workload &w, int target)
{
	strike_kill(c, w, target);
	c.start(target);
}

static void
strike_cut_both(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.isolate(target, true);
}

static void
strike_cut_in(Cluster &c, Workload &w, int target)
{
	(void)w;
	for (int i = 0; i < (int)c.instances.size(); i++)
		c.cut(i, target, i != target);
}

static void
strike_cut_out(Cluster &c, Workload &w, int target)
{
	(void)w;
	for (int i = 0; i < (int)c.instances.size(); i++)
		c.cut(target, i, i != target);
}

static void
strike_split(Cluster &c, Workload &w, int target)
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
strike_freeze(Cluster &c, Workload &w, int target)
{
	(void)w;
	if (c.instances[(size_t)target]->alive)
		c.freeze(target);
}

static void
strike_late(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	c.delay_max_us = 150000;
	c.order_delay_us = 200000;
}

/* It freezes between deciding on its last calls and writing them. */
static void
strike_freeze_unsent(Cluster &c, Workload &w, int target)
{
	c.call_write_delay_us[target] = 300000;
	w.run(300000);
	strike_freeze(c, w, target);
}

static void
strike_messy(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	c.delay_max_us = 40000;
	c.duplicate = 0.2;
	c.drop = 0.05;
}

static void
strike_silent_engine(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.endpoints[(size_t)target % 4]->silent = true;
}

static void
strike_unreachable(Cluster &c, Workload &w, int target)
{
	(void)w;
	for (auto &e : c.endpoints)
		if (rng_below(&c.rng, 2) == 0)
			c.call_cuts.insert({target, e->id});
}

static void
strike_failed_loads(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	for (auto &e : c.endpoints)
		e->fail_loads = 5;
}

static void
strike_cold_engine(Cluster &c, Workload &w, int target)
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
strike_lagging(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	for (auto &e : c.endpoints)
		e->lag_us = 2500000;
}

static void
strike_broken_streams(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.endpoints[(size_t)target % 4]->break_after = 2;
}

static void
strike_wrong_model(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.endpoints[(size_t)target % 4]->wrong_model = true;
}

static void
strike_all_broken(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	for (auto &e : c.endpoints)
		e->break_after = 1;
}

static void
strike_rewind(Cluster &c, Workload &w, int target)
{
	strike_broken_streams(c, w, target);
	c.endpoints[(size_t)target % 4]->rewinds = true;
}

static void
strike_cut_answers(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	for (auto &e : c.endpoints)
		e->cuts_answers = true;
}

/* Does a voter know of a configuration in which another one votes? */
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
 * A disk is lost and repaired; right after it another one is lost. Until
 * all three voters know of it the repair is not over, and then the other
 * one, which a fault before this may keep from it, is only killed.
 */
static void
strike_second_loss(Cluster &c, Workload &w, int target)
{
	int voter = target % 3, other = (voter + 1) % 3;
	auto repaired = [&] {
		return knows_voter(c, 0, voter) && knows_voter(c, 1, voter) &&
		    knows_voter(c, 2, voter);
	};

	strike_kill_disk(c, w, voter);
	w.run(1500000);
	c.start(voter);
	w.run(15000000, repaired);
	if (repaired())
		strike_kill_disk(c, w, other);
	else
		strike_kill(c, w, other);
}

/* Nobody hears it any more, and soon it is killed. */
static void
strike_cut_kill(Cluster &c, Workload &w, int target)
{
	strike_cut_out(c, w, target);
	w.run(300000);
	strike_kill(c, w, target);
}

static void
strike_restart_messy(Cluster &c, Workload &w, int target)
{
	c.delay_max_us = 150000;
	c.drop = 0.3;
	strike_restart(c, w, target);
}

static void
strike_restart_follower(Cluster &c, Workload &w, int target)
{
	c.drop = 0.6;
	strike_restart(c, w, 3 + target % 2);
}

static void
ask_for_all(Cluster &c, int instance)
{
	for (int i = 0; i < 24; i++)
		(void)c.complete(instance, "a" + std::to_string(i));
}

/* It restarts and hears all, but the voter that it follows is deaf to it. */
static void
strike_deaf_source(Cluster &c, Workload &w, int target)
{
	c.cut(4, target % 3, true);
	strike_restart(c, w, 4);
}

/*
 * An instance that owned an endpoint comes back after long, and just then
 * the one that owns it meanwhile is cut off.
 */
static void
strike_rejoin_cut(Cluster &c, Workload &w, int target)
{
	std::string moved;
	int other;

	for (auto &e : c.endpoints) {
		int owner = c.owner_of(e->id);

		if (e->service || owner < 0)
			continue;
		moved = e->id;
		target = owner;
	}
	strike_kill(c, w, target);
	w.run(5000000);
	other = c.owner_of(moved);
	if (other < 0 || other == target) {
		c.start(target);
		return;
	}
	ask_for_all(c, other); /* so that it holds store permits */
	w.run(400000);
	c.isolate(other, true);
	c.start(target);
	w.run(1150000); /* by now it asks nobody but itself */
	ask_for_all(c, other);
}

/* Its owner is cut off while long streams run that no report shows yet. */
static void
strike_long_streams(Cluster &c, Workload &w, int target)
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
	w.run(1300000); /* by now it asks nobody but itself */
	for (int i = 0; i < 12; i++)
		(void)c.complete(owner, "a" + std::to_string(i), true, 400);
	w.run(2200000);
	for (int i = 0; i < (int)c.instances.size(); i++)
		if (i != owner)
			ask_for_all(c, i);
}

static void
strike_full_disk(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.instances[(size_t)target]->disk.fails = true;
}

static void
strike_lost_events(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	c.event_drop = 0.3;
}

static void
strike_late_events(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)target;
	c.event_duplicate = 0.3;
	c.event_delay_max_us = 1500000;
}

static void
strike_drain(Cluster &c, Workload &w, int target)
{
	(void)w;
	(void)c.send(target, "POST", "/v1/drain", "op", "");
}

static void
strike_endpoint_leaves(Cluster &c, Workload &w, int target)
{
	(void)w;
	c.endpoints[(size_t)target % 4]->leaving = true;
}

/* The instances below the relay keep their leases without a break. */
static void
keep_leases(Cluster &c, Workload &w)
{
	for (int i = kRelayInstance + 1; i < (int)c.instances.size(); i++)
		if (!c.is_leased(i))
			return; /* it had none to lose */
	w.run(5000000, [&] {
		for (int i = kRelayInstance + 1; i < (int)c.instances.size();
		     i++)
			if (!c.is_leased(i))
				c.violations.push_back(
				    c.instances[(size_t)i]->name +
				    " lost its lease by its relay");
		return !c.violations.empty();
	});
}

#define STRIKE_RELAY(name)                                                     \
	static void strike_relay_##name(Cluster &c, Workload &w, int target)   \
	{                                                                      \
		strike_##name(c, w, target);                                   \
		keep_leases(c, w);                                             \
	}
STRIKE_RELAY(kill)
STRIKE_RELAY(restart)
STRIKE_RELAY(freeze)
STRIKE_RELAY(cut_both)
STRIKE_RELAY(cut_in)
STRIKE_RELAY(cut_out)
STRIKE_RELAY(late)

/* Its way to the leader alone is cut, or the way back. */
static void
strike_relay_cut_up(Cluster &c, Workload &w, int target)
{
	c.cut(target, c.leader(), true);
	keep_leases(c, w);
}

static void
strike_relay_cut_down(Cluster &c, Workload &w, int target)
{
	c.cut(c.leader(), target, true);
	keep_leases(c, w);
}

/* All of the next leader's members come by relays. */
static void
strike_relay_leader(Cluster &c, Workload &w, int target)
{
	(void)target;
	strike_kill(c, w, c.leader() < 0 ? 0 : c.leader());
}

const std::vector<Fault> all_faults = {
    {"kill", strike_kill, 6000000, true, false},
    {"kill, disk lost", strike_kill_disk, 6000000, true, false},
    {"restart at once", strike_restart, 4000000, true, false},
    {"cut both ways", strike_cut_both, 6000000, true, false},
    {"cut, hears nobody", strike_cut_in, 6000000, true, false},
    {"cut, nobody hears it", strike_cut_out, 6000000, true, false},
    {"long isolation", strike_cut_both, 20000000, true, false},
    {"split in two", strike_split, 6000000, true, false},
    {"freeze and wake", strike_freeze, 5000000, true, false},
    {"late messages", strike_late, 5000000, false, false},
    {"lost, doubled, reordered", strike_messy, 5000000, false, false},
    {"silent engine", strike_silent_engine, 5000000, false, false},
    {"endpoints unreachable", strike_unreachable, 5000000, false, false},
    {"failed loads", strike_failed_loads, 5000000, false, false},
    {"cold engine", strike_cold_engine, 3000000, false, false},
    {"lagging reports", strike_lagging, 5000000, false, false},
    {"broken streams", strike_broken_streams, 4000000, false, false},
    {"all streams break", strike_all_broken, 3000000, false, false},
    {"wrong model", strike_wrong_model, 4000000, false, false},
    {"rewinding engine", strike_rewind, 4000000, false, false},
    {"cut answers", strike_cut_answers, 3000000, false, false},
    {"second loss after repair", strike_second_loss, 6000000, true, false},
    {"cut, then killed", strike_cut_kill, 6000000, true, false},
    {"restart among losses", strike_restart_messy, 5000000, true, false},
    {"follower restarts, losses", strike_restart_follower, 5000000, true,
	false},
    {"restart, deaf source", strike_deaf_source, 5000000, true, false},
    {"rejoin, other cut", strike_rejoin_cut, 4000000, true, false},
    {"long streams, old reports", strike_long_streams, 6000000, true, false},
    {"full disk", strike_full_disk, 5000000, false, false},
    {"drain", strike_drain, 6000000, true, false},
    {"endpoint leaves", strike_endpoint_leaves, 5000000, false, false},
    {"freeze, calls unwritten", strike_freeze_unsent, 6000000, true, false},
    {"lost cache events", strike_lost_events, 5000000, false, false},
    {"late, doubled events", strike_late_events, 5000000, false, false},
    {"relay: kill", strike_relay_kill, 1000000, true, true},
    {"relay: restart at once", strike_relay_restart, 1000000, true, true},
    {"relay: freeze and wake", strike_relay_freeze, 1000000, true, true},
    {"relay: cut both ways", strike_relay_cut_both, 1000000, true, true},
    {"relay: cut, hears nobody", strike_relay_cut_in, 1000000, true, true},
    {"relay: cut, nobody hears it", strike_relay_cut_out, 1000000, true, true},
    {"relay: late messages", strike_relay_late, 1000000, true, true},
    {"relay: cut to the leader", strike_relay_cut_up, 1000000, true, true},
    {"relay: cut from the leader", strike_relay_cut_down, 1000000, true, true},
    {"relay: leader killed", strike_relay_leader, 6000000, true, true},
};

/* ---- steps -------------------------------------------------------------- */

static int
any_leader(Cluster &c)
{
	int leader = c.leader();

	return leader < 0 ? 0 : leader;
}

static int
reach_idle(Cluster &c, Workload &w)
{
	w.run(1000000);
	return any_leader(c);
}

static int
reach_change(Cluster &c, Workload &w)
{
	Request *before = w.last_change;

	w.run(5000000, [&] { return w.last_change != before; });
	c.run_for(700); /* the proposal is on its way */
	return any_leader(c);
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
	c.run_for(500); /* the ask is at its owner */
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
