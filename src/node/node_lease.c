#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "node/node_guard.h"
#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Leases of this instance: renewals, answers and pings of supporters; and, as
 * the leader, the grants of leases and the changes of the members.
 */

/*
 * Renewals of a member for each that describes it: the leader's view may come
 * from a snapshot of an earlier program version, without its capabilities.
 */
#define SELF_INTERVAL 64

static void
fill_self(const struct node *n, Wire__MemberInfo *info)
{
	const struct settings *s = n->settings;

	wire__member_info__init(info);
	info->id = n->id;
	info->incarnation = n->incarnation;
	info->name = s->name;
	info->data_centre = s->data_centre;
	info->region = s->region;
	info->http = node_gate_advertised_address(n);
	info->bus = s->bus_advertise;
	info->voter = n->voter;
	info->capabilities = MEMBER_CAPABILITIES;
	if (node_acts_as_earlier_version(n->id))
		info->capabilities &= ~MEMBER_CAN_CONFIG_DELTAS;
}

static bool
is_member(const struct node *n)
{
	const struct member *m = member_view_find(n->view, n->id);

	return m != NULL && m->incarnation == n->incarnation;
}

/*
 * Sends a renewal by the relay. Without a relay, or after its answer timed out,
 * sends it to the leader if that has answered recently, else to all voters and
 * to the leader that they name.
 */
static void
send_renew(struct node *n, Wire__LeaseRenew *renew, bool relay_timed_out)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	uint32_t leader = node_leader(n), relay;
	bool leader_answers = n->leader_answer_us != 0 &&
	    n->now < n->leader_answer_us +
		    2 * member_holder_renew_interval_us(n->holder);
	uint32_t voters[NODE_VOTERS_MAX];
	bool leader_is_listed = false;
	size_t i, count;

	envelope.body_case = WIRE__ENVELOPE__BODY_RENEW;
	envelope.renew = renew;
	if (node_relay_choose(n, renew, &relay)) {
		node_peer_send(n, relay, &envelope);
		return;
	}
	if (leader != 0 &&
	    ((leader_answers && !relay_timed_out) || leader == n->id)) {
		node_peer_send(n, leader, &envelope);
		return;
	}
	count = node_peer_list_voters(n, voters, NODE_VOTERS_MAX);
	for (i = 0; i < count; i++) {
		node_peer_send(n, voters[i], &envelope);
		leader_is_listed = leader_is_listed || voters[i] == leader;
	}
	/* A voter that was removed as a member may have been elected since. */
	if (leader != 0 && !leader_is_listed && leader != n->id &&
	    node_guards.renew_at_leader)
		node_peer_send(n, leader, &envelope);
	if (n->raft != NULL)
		node_peer_send(n, n->id, &envelope);
}

static void
renew_lease(struct node *n, bool relay_timed_out)
{
	Wire__LeaseRenew renew = WIRE__LEASE_RENEW__INIT;
	Wire__MemberInfo self;
	struct sched_demand demand;

	member_holder_fill_renew(
	    n->holder, n->now, n->applied, member_view_epoch(n->view), &renew);
	renew.leaving = n->stopping;
	if (!is_member(n) || n->renewals++ % SELF_INTERVAL == 0) {
		fill_self(n, &self);
		renew.self = &self;
	}
	sched_get_demand(n->sched, n->now, &demand);
	renew.waiting_loads = demand.waiting;
	renew.waiting_stall_us = demand.weighted_stall_us;
	renew.loads_in_flight = demand.in_flight;
	if (n->raft != NULL && !raft_is_halted(n->raft))
		renew.voter = n->voter;
	send_renew(n, &renew, relay_timed_out);
}

/* Pings the members whose support counts towards a majority. */
static void
ping_supporters(struct node *n)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Ping ping = WIRE__PING__INIT;
	const struct member *m;
	size_t i;

	ping.sent_us = n->now;
	envelope.body_case = WIRE__ENVELOPE__BODY_PING;
	envelope.ping = &ping;
	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (m->id != n->id && member_view_is_supporter(n->view, m))
			node_peer_send(n, m->id, &envelope);
	}
}

/*
 * Learns from an answer what the leader has committed. What is missing here is
 * asked for at once: the leader sends entries before an answer that counts
 * them, so they were lost, or it doesn't know that this instance follows it.
 */
static void
take_freshness(struct node *n, uint32_t from, const Wire__LeaseReply *reply)
{
	member_freshness_on_lease(&n->freshness, n->applied, reply);
	if (member_reply_has_authority(reply) && from == reply->leader &&
	    member_freshness_is_behind(&n->freshness, n->applied))
		n->next_pull_us = 0;
}

void
node_lease_on_reply(
    struct node *n, uint32_t from, const Wire__LeaseReply *reply)
{
	if (reply->granted && reply->leader != from) {
		if (from != node_relay_find(n))
			return; /* only the own relay answers for the leader */
	}
	if (reply->leader == from || reply->granted)
		n->leader_answer_us = n->now;
	if (reply->sent_us >= n->relay_unanswered_us)
		n->relay_unanswered_us = 0;
	if (reply->reason[0] != '\0' && strcmp(reply->reason, "behind") == 0)
		n->follow_direct_until_us = n->now + NODE_RELAY_BYPASS_US;
	if (member_holder_on_lease(n->holder, n->now, reply))
		take_freshness(n, from, reply);
	sched_set_permits(n->sched, n->now,
	    member_holder_permit_in_flight(n->holder),
	    member_holder_permit_rate_milli(n->holder));
	n->sched_run_due = true;
}

void
node_lease_fill_reply(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__LeaseRenew *renew, Wire__LeaseReply *out)
{
	member_lessor_on_renew(n->lessor, n->view, n->now,
	    raft_authority_until(n->raft), from, incarnation,
	    raft_get_commit(n->raft), renew, out);
	out->term = raft_get_term(n->raft);
	out->leader = n->id;
}

void
node_lease_send_reply(struct node *n, uint32_t to, uint64_t to_incarnation,
    Wire__LeaseReply *reply)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	envelope.body_case = WIRE__ENVELOPE__BODY_LEASE;
	envelope.lease = reply;
	node_peer_reply(n, to, to_incarnation, &envelope);
}

void
node_lease_on_renew(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__LeaseRenew *renew)
{
	Wire__LeaseReply reply = WIRE__LEASE_REPLY__INIT;

	if (n->raft == NULL) {
		node_relay_on_renew(n, from, incarnation, renew);
		return;
	}
	if (raft_get_role(n->raft) == RAFT_LEADER) {
		node_lease_fill_reply(n, from, incarnation, renew, &reply);
	} else {
		reply.sent_us = renew->sent_us;
		reply.term = raft_get_term(n->raft);
		reply.leader = RAFT_ID_INSTANCE(raft_get_leader(n->raft));
		reply.reason = "not-leader";
	}
	node_lease_send_reply(n, from, incarnation, &reply);
}

/* A MemberChanges and what it consists of, without their copies. */
struct many_changes {
	Wire__MemberChanges message;
	Wire__MemberDown *down;
	Wire__MemberLeave *leave;
	Wire__MemberDown **downs;
	Wire__MemberInfo **ups;
	Wire__MemberLeave **leaves;
};

static void
many_changes_fill(
    struct many_changes *to, const struct member_change *from, size_t count)
{
	Wire__MemberChanges *m = &to->message;
	size_t i;

	wire__member_changes__init(m);
	m->down = to->downs = mem_alloc(count, sizeof(*to->downs));
	m->up = to->ups = mem_alloc(count, sizeof(*to->ups));
	m->leave = to->leaves = mem_alloc(count, sizeof(*to->leaves));
	to->down = mem_alloc(count, sizeof(*to->down));
	to->leave = mem_alloc(count, sizeof(*to->leave));
	for (i = 0; i < count; i++) {
		wire__member_down__init(&to->down[i]);
		wire__member_leave__init(&to->leave[i]);
		to->down[i].id = to->leave[i].id = from[i].id;
		to->down[i].incarnation = to->leave[i].incarnation =
		    from[i].incarnation;
		if (from[i].type == MEMBER_CHANGE_DOWN)
			m->down[m->n_down++] = &to->down[i];
		else if (from[i].type == MEMBER_CHANGE_UP)
			m->up[m->n_up++] = (Wire__MemberInfo *)from[i].info;
		else
			m->leave[m->n_leave++] = &to->leave[i];
	}
}

static void
many_changes_free(struct many_changes *c)
{
	free(c->down);
	free(c->leave);
	free(c->downs);
	free(c->ups);
	free(c->leaves);
}

static void
propose_member_change(struct node *n, const struct member_change *change)
{
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__MemberInfo up;
	Wire__MemberDown down = WIRE__MEMBER_DOWN__INIT;
	Wire__MemberLeave leave = WIRE__MEMBER_LEAVE__INIT;
	struct many_changes many = {0};

	switch (change->type) {
	case MEMBER_CHANGE_UP:
		up = *change->info;
		command.body_case = WIRE__COMMAND__BODY_UP;
		command.up = &up;
		break;
	case MEMBER_CHANGE_DOWN:
		down.id = change->id;
		down.incarnation = change->incarnation;
		command.body_case = WIRE__COMMAND__BODY_DOWN;
		command.down = &down;
		break;
	case MEMBER_CHANGE_LEAVE:
		leave.id = change->id;
		leave.incarnation = change->incarnation;
		command.body_case = WIRE__COMMAND__BODY_LEAVE;
		command.leave = &leave;
		break;
	case MEMBER_CHANGE_MANY:
		many_changes_fill(&many, change->many, change->nmany);
		command.body_case = WIRE__COMMAND__BODY_CHANGES;
		command.changes = &many.message;
		break;
	}
	node_propose_as_leader(n, &command);
	many_changes_free(&many);
}

/*
 * Proposes the time that has passed under this leader. Claims expire by the
 * sum of these times, so that they age alike on all instances.
 */
static void
propose_claim_clock(struct node *n)
{
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__ClaimClock clock = WIRE__CLAIM_CLOCK__INIT;

	if (n->now < n->claim_clock_us + NODE_CLAIM_CLOCK_US)
		return;
	clock.elapsed_ms = (n->now - n->claim_clock_us) / 1000;
	n->claim_clock_us += clock.elapsed_ms * 1000;
	command.body_case = WIRE__COMMAND__BODY_CLAIM_CLOCK;
	command.claim_clock = &clock;
	node_propose_as_leader(n, &command);
}

void
node_lease_update_leadership(struct node *n)
{
	uint64_t since = raft_leader_since(n->raft);

	if (since == n->leader_since)
		return;
	n->leader_since = since;
	n->claim_clock_us = n->now;
	if (since == 0) {
		node_log(n, NODE_LOG_FOLLOWING, "{\"term\": %llu}",
		    (unsigned long long)raft_get_term(n->raft));
		return;
	}
	/* Earlier leaders lost their authority before this one gained it. */
	member_lessor_reset(n->lessor, n->now, 0, raft_get_term(n->raft));
	node_log(n, NODE_LOG_LEADING, "{\"term\": %llu}",
	    (unsigned long long)raft_get_term(n->raft));
}

/*
 * Sends all members a newly active epoch, so that its owners need not wait for
 * their next renewal to act.
 */
static void
send_active_epoch(struct node *n)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__LeaseReply reply;
	uint64_t epoch = member_lessor_active_epoch(n->lessor, n->view, n->now);
	const struct member *m;
	size_t i;

	if (epoch == n->active_epoch_sent)
		return;
	n->active_epoch_sent = epoch;
	envelope.body_case = WIRE__ENVELOPE__BODY_LEASE;
	envelope.lease = &reply;
	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (!member_lessor_fill_active(n->lessor, m, epoch, &reply))
			continue;
		reply.leader = n->id;
		node_peer_reply(n, m->id, m->incarnation, &envelope);
	}
}

/*
 * Whether the programs of all voters can read a MemberChanges, as far as they
 * are or have been members.
 */
static bool
voters_can_read_changes(const struct node *n)
{
	const struct raft_config *config = raft_get_config(n->raft);
	size_t i;

	for (i = 0; i < config->nvoters; i++)
		if ((member_view_last_capabilities(
			 n->view, RAFT_ID_INSTANCE(config->voters[i])) &
			MEMBER_CAN_MANY_CHANGES) == 0)
			return false;
	return true;
}

static void
leader_tick(struct node *n)
{
	struct member_change change;

	if (n->raft == NULL || raft_authority_until(n->raft) <= n->now)
		return;
	member_lessor_set_voters_can_read_changes(
	    n->lessor, voters_can_read_changes(n));
	while (member_lessor_next_change(n->lessor, n->view, n->now, &change))
		propose_member_change(n, &change);
	propose_claim_clock(n);
	send_active_epoch(n);
	node_founding_update_voters(n);
}

void
node_lease_tick(struct node *n)
{
	if (node_relay_timed_out(n))
		renew_lease(n, true);
	else if (member_holder_renew_due(n->holder, n->now))
		renew_lease(n, false);
	node_relay_tick(n);
	if (member_holder_ping_due(n->holder, n->now))
		ping_supporters(n);
	leader_tick(n);
}
