#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_guard.h"
#include "node/node_internal.h"
#include "util/mem.h"

/*
 * In a large cluster members without the log send their lease renewals by a
 * relay of their region. The relay sends the leader one message for a batch of
 * renewals, in which common fields occur once, and passes the answers on to
 * the holders.
 *
 * The delay by the relay can only shorten a lease: the holder counts its lease
 * from the time at which it sent the renewal, the leader from the receipt. The
 * relay names the sender of each renewal as authenticated by the bus. The sum
 * of the senders' incarnations keeps the leader from taking one process of an
 * instance for another. A renewal without an answer after
 * NODE_RELAY_TIMEOUT_US is sent again directly, and so are all renewals of the
 * next NODE_RELAY_BYPASS_US.
 */

static bool
is_relay_candidate(const struct node *n, const struct member *m)
{
	return m->voter == 0 && !m->leaving &&
	    strcmp(m->region, n->settings->region) == 0;
}

/* In the order of ids, the first of each NODE_RELAY_GROUP_MAX is a relay. */
uint32_t
node_relay_find(const struct node *n)
{
	const struct member *m;
	uint32_t relay = 0;
	size_t i, before = 0;

	if (n->raft != NULL || n->stopping ||
	    !member_holder_is_large(n->holder))
		return 0;
	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (!is_relay_candidate(n, m))
			continue;
		if (before++ % NODE_RELAY_GROUP_MAX == 0)
			relay = m->id;
		if (m->id == n->id)
			return m->incarnation == n->incarnation ? relay : 0;
	}
	return 0;
}

bool
node_relay_choose(
    struct node *n, const Wire__LeaseRenew *renew, uint32_t *relay)
{
	*relay = node_relay_find(n);
	if (*relay == 0 || n->now < n->renew_direct_until_us ||
	    renew->leaving || !renew->promise_over || renew->self != NULL)
		return false;
	if (n->relay_unanswered_us == 0)
		n->relay_unanswered_us = n->now;
	return true;
}

bool
node_relay_timed_out(struct node *n)
{
	if (!node_guards.relay_round || n->relay_unanswered_us == 0 ||
	    n->now < n->relay_unanswered_us + NODE_RELAY_TIMEOUT_US)
		return false;
	n->relay_unanswered_us = 0;
	n->renew_direct_until_us = n->now + NODE_RELAY_BYPASS_US;
	return true;
}

/* ---- at the relay -------------------------------------------------------- */

static void
add_holder(struct node_relay_batch *b, uint32_t from, uint64_t incarnation,
    const Wire__LeaseRenew *r)
{
	struct node_relayed_renewal *h;

	b->holders = mem_resize(b->holders, b->count + 1, sizeof(*b->holders));
	h = &b->holders[b->count++];
	h->id = from;
	h->incarnation = incarnation;
	h->sent_us = r->sent_us;
	h->got_ago_us = r->sent_us - r->got_us;
	h->permit_in_flight = r->permit_in_flight;
	h->permit_rate_milli = r->permit_rate_milli;
	h->waiting_loads = r->waiting_loads;
	h->waiting_stall_us = r->waiting_stall_us;
	h->loads_in_flight = r->loads_in_flight;
	b->incarnations += incarnation;
}

/*
 * Collects one field of each holder of a batch; n is set to 0 when all values
 * are 0, as they are left out of the message then.
 */
static uint64_t *
list_u64(const struct node_relay_batch *b, size_t offset, size_t *n)
{
	uint64_t *list = mem_alloc(b->count, sizeof(*list)), any = 0;
	size_t i;

	for (i = 0; i < b->count; i++) {
		memcpy(&list[i], (const char *)&b->holders[i] + offset,
		    sizeof(list[i]));
		any |= list[i];
	}
	*n = any == 0 ? 0 : b->count;
	return list;
}

static uint32_t *
list_u32(const struct node_relay_batch *b, size_t offset, size_t *n)
{
	uint32_t *list = mem_alloc(b->count, sizeof(*list)), any = 0;
	size_t i;

	for (i = 0; i < b->count; i++) {
		memcpy(&list[i], (const char *)&b->holders[i] + offset,
		    sizeof(list[i]));
		any |= list[i];
	}
	*n = any == 0 ? 0 : b->count;
	return list;
}

#define FIELD(name) offsetof(struct node_relayed_renewal, name)

static void
fill_batch(const struct node_relay_batch *b, Wire__RenewBatch *out)
{
	out->number = b->number;
	out->applied = b->applied;
	out->epoch = b->epoch;
	out->permit_term = b->permit_term;
	out->incarnations = b->incarnations;
	out->ids = list_u32(b, FIELD(id), &out->n_ids);
	out->sent_us = list_u64(b, FIELD(sent_us), &out->n_sent_us);
	out->got_ago_us = list_u64(b, FIELD(got_ago_us), &out->n_got_ago_us);
	out->permit_in_flight =
	    list_u32(b, FIELD(permit_in_flight), &out->n_permit_in_flight);
	out->permit_rate_milli =
	    list_u32(b, FIELD(permit_rate_milli), &out->n_permit_rate_milli);
	out->waiting_loads =
	    list_u32(b, FIELD(waiting_loads), &out->n_waiting_loads);
	out->waiting_stall_us =
	    list_u64(b, FIELD(waiting_stall_us), &out->n_waiting_stall_us);
	out->loads_in_flight =
	    list_u32(b, FIELD(loads_in_flight), &out->n_loads_in_flight);
}

static void
free_batch(Wire__RenewBatch *out)
{
	free(out->ids);
	free(out->sent_us);
	free(out->got_ago_us);
	free(out->permit_in_flight);
	free(out->permit_rate_milli);
	free(out->waiting_loads);
	free(out->waiting_stall_us);
	free(out->loads_in_flight);
}

/*
 * Sends the open batch and stores it in the next slot, in place of the oldest
 * one.
 */
static void
send_batch(struct node *n)
{
	struct node_relay_batch *b = &n->relay.open, *slot;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__RenewBatch batch = WIRE__RENEW_BATCH__INIT;
	uint32_t leader = node_leader(n);

	b->number = ++n->relay.last_number;
	b->leader = leader;
	slot = &n->relay.pending[b->number % NODE_RELAY_PENDING_MAX];
	free(slot->holders);
	*slot = *b;
	memset(b, 0, sizeof(*b));
	if (leader == 0)
		return;
	fill_batch(slot, &batch);
	envelope.body_case = WIRE__ENVELOPE__BODY_RENEWS;
	envelope.renews = &batch;
	node_peer_send(n, leader, &envelope);
	free_batch(&batch);
}

void
node_relay_on_renew(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__LeaseRenew *r)
{
	struct node_relay_batch *b = &n->relay.open;
	bool is_new_epoch =
	    n->now < n->epoch_changed_us + NODE_RELAY_NEW_EPOCH_US;

	if (r->leaving || r->self != NULL || !r->promise_over || r->voter != 0)
		return; /* it must be sent to the leader directly */
	if (b->count > 0 &&
	    (b->applied != r->applied || b->epoch != r->epoch ||
		b->permit_term != r->permit_term))
		send_batch(n);
	if (b->count == 0) {
		b->applied = r->applied;
		b->epoch = r->epoch;
		b->permit_term = r->permit_term;
		b->due_us = n->now +
		    (is_new_epoch ? NODE_RELAY_BATCH_SHORT_US
				  : NODE_RELAY_BATCH_US);
	}
	add_holder(b, from, incarnation, r);
	if (b->count == NODE_RELAY_GROUP_MAX)
		send_batch(n);
}

void
node_relay_tick(struct node *n)
{
	if (n->relay.open.count > 0 && n->now >= n->relay.open.due_us)
		send_batch(n);
}

static bool
is_answered_directly(const Wire__LeaseBatch *leases, size_t i)
{
	size_t j;

	for (j = 0; j < leases->n_straight; j++)
		if (leases->straight[j] == i)
			return true;
	return false;
}

static void
send_lease(struct node *n, uint32_t leader,
    const struct node_relayed_renewal *to, const Wire__LeaseBatch *leases,
    size_t nth)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__LeaseReply reply = WIRE__LEASE_REPLY__INIT;

	reply.sent_us = to->sent_us;
	reply.granted = true;
	reply.leader = leader;
	reply.term = leases->term;
	reply.active_epoch = leases->active_epoch;
	reply.in_force = leases->in_force;
	reply.commit = leases->commit;
	reply.permits = leases->permits;
	reply.permits_at_most = leases->permits_at_most;
	if (nth < leases->n_permit_in_flight)
		reply.permit_in_flight = leases->permit_in_flight[nth];
	if (nth < leases->n_permit_rate_milli)
		reply.permit_rate_milli = leases->permit_rate_milli[nth];
	envelope.body_case = WIRE__ENVELOPE__BODY_LEASE;
	envelope.lease = &reply;
	node_peer_reply(n, to->id, to->incarnation, &envelope);
}

void
node_relay_on_leases(
    struct node *n, uint32_t from, const Wire__LeaseBatch *leases)
{
	struct node_relay_batch *b =
	    &n->relay.pending[leases->number % NODE_RELAY_PENDING_MAX];
	size_t i, nth = 0;

	if (b->number != leases->number || b->leader != from)
		return;
	for (i = 0; i < b->count; i++)
		if (!is_answered_directly(leases, i))
			send_lease(n, from, &b->holders[i], leases, nth++);
	b->count = 0; /* ignore a duplicate answer */
}

void
node_relay_free(struct node *n)
{
	size_t i;

	free(n->relay.open.holders);
	for (i = 0; i < NODE_RELAY_PENDING_MAX; i++)
		free(n->relay.pending[i].holders);
}

/* ---- at the leader ------------------------------------------------------- */

static bool
is_list_length_valid(size_t count, size_t want)
{
	return count == 0 || count == want;
}

/* Whether a batch is well-formed and its senders are the current members. */
static bool
is_batch_valid(const struct node *n, const Wire__RenewBatch *batch)
{
	const struct member *m;
	uint64_t sum = 0;
	size_t i, count = batch->n_ids;

	if (batch->n_sent_us != count ||
	    !is_list_length_valid(batch->n_got_ago_us, count) ||
	    !is_list_length_valid(batch->n_permit_in_flight, count) ||
	    !is_list_length_valid(batch->n_permit_rate_milli, count) ||
	    !is_list_length_valid(batch->n_waiting_loads, count) ||
	    !is_list_length_valid(batch->n_waiting_stall_us, count) ||
	    !is_list_length_valid(batch->n_loads_in_flight, count))
		return false;
	for (i = 0; i < count; i++) {
		m = member_view_find(n->view, batch->ids[i]);
		if (m == NULL)
			return false;
		sum += m->incarnation;
	}
	return sum == batch->incarnations || !node_guards.relay_process;
}

#define AT(list, i) (batch->n_##list == 0 ? 0 : batch->list[i])

static void
read_renew(const Wire__RenewBatch *batch, size_t i, Wire__LeaseRenew *renew)
{
	renew->sent_us = batch->sent_us[i];
	renew->applied = batch->applied;
	renew->epoch = batch->epoch;
	renew->promise_over = true;
	renew->got_us = batch->sent_us[i] - AT(got_ago_us, i);
	renew->permit_term = batch->permit_term;
	renew->permit_in_flight = AT(permit_in_flight, i);
	renew->permit_rate_milli = AT(permit_rate_milli, i);
	renew->waiting_loads = AT(waiting_loads, i);
	renew->waiting_stall_us = AT(waiting_stall_us, i);
	renew->loads_in_flight = AT(loads_in_flight, i);
}

/* Whether a reply has the common values of the batch's answer. */
static bool
can_join_reply(const Wire__LeaseBatch *leases, const Wire__LeaseReply *reply,
    uint64_t applied)
{
	if (!reply->granted || reply->required > applied)
		return false;
	return leases->n_permit_in_flight == 0 ||
	    (leases->permits == reply->permits &&
		leases->permits_at_most == reply->permits_at_most);
}

static void
join_reply(Wire__LeaseBatch *leases, const Wire__LeaseReply *reply)
{
	leases->permits = reply->permits;
	leases->permits_at_most = reply->permits_at_most;
	leases->active_epoch = reply->active_epoch;
	leases->in_force = reply->in_force;
	leases->commit = reply->commit;
	leases->permit_in_flight[leases->n_permit_in_flight++] =
	    reply->permit_in_flight;
	leases->permit_rate_milli[leases->n_permit_rate_milli++] =
	    reply->permit_rate_milli;
}

void
node_relay_on_renews(struct node *n, uint32_t from, uint64_t incarnation,
    const Wire__RenewBatch *batch)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__LeaseBatch leases = WIRE__LEASE_BATCH__INIT;
	size_t i, count = batch->n_ids;

	if (n->raft == NULL || raft_get_role(n->raft) != RAFT_LEADER ||
	    member_view_find(n->view, from) == NULL ||
	    !is_batch_valid(n, batch))
		return; /* the holders time out and renew directly */
	leases.number = batch->number;
	leases.term = raft_get_term(n->raft);
	leases.straight = mem_alloc(count + 1, sizeof(*leases.straight));
	leases.permit_in_flight =
	    mem_alloc(count + 1, sizeof(*leases.permit_in_flight));
	leases.permit_rate_milli =
	    mem_alloc(count + 1, sizeof(*leases.permit_rate_milli));
	for (i = 0; i < count; i++) {
		const struct member *m =
		    member_view_find(n->view, batch->ids[i]);
		Wire__LeaseRenew renew = WIRE__LEASE_RENEW__INIT;
		Wire__LeaseReply reply;

		read_renew(batch, i, &renew);
		node_lease_fill_reply(n, m->id, m->incarnation, &renew, &reply);
		if (can_join_reply(&leases, &reply, batch->applied)) {
			join_reply(&leases, &reply);
			continue;
		}
		leases.straight[leases.n_straight++] = (uint32_t)i;
		node_lease_send_reply(n, m->id, m->incarnation, &reply);
	}
	envelope.body_case = WIRE__ENVELOPE__BODY_LEASES;
	envelope.leases = &leases;
	node_peer_reply(n, from, incarnation, &envelope);
	free(leases.straight);
	free(leases.permit_in_flight);
	free(leases.permit_rate_milli);
}
