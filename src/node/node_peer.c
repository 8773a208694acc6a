#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "node/node_guard.h"
#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Messages between instances: packing, sending, dispatch of received ones, and
 * the state kept for each peer.
 */

struct node_peer *
node_peer_get(struct node *n, uint32_t id)
{
	struct node_peer *peer = map_get_u64(n->peers, id);

	if (peer != NULL)
		return peer;
	peer = mem_alloc(1, sizeof(*peer));
	peer->id = id;
	map_set_u64(n->peers, id, peer);
	return peer;
}

/*
 * Where instances are found by seeds, an id is the IPv4 address, and all use
 * the same port.
 */
static const char *
address_by_id(struct node *n, uint32_t id)
{
	const char *port = strrchr(n->settings->bus_advertise, ':');

	(void)snprintf(n->peer_address, sizeof(n->peer_address),
	    "%u.%u.%u.%u%s", id >> 24, id >> 16 & 255, id >> 8 & 255, id & 255,
	    port);
	return n->peer_address;
}

const char *
node_peer_address(struct node *n, uint32_t id)
{
	const struct member *m = member_view_find(n->view, id);
	size_t i;

	if (m != NULL)
		return m->bus;
	for (i = 0; i < n->settings->npeers; i++)
		if (n->settings->peers[i].id == id)
			return n->settings->peers[i].bus;
	return n->settings->nseeds > 0 ? address_by_id(n, id) : NULL;
}

static bool
add_id(uint32_t *ids, size_t *count, size_t max, uint32_t id)
{
	size_t i;

	for (i = 0; i < *count; i++)
		if (ids[i] == id)
			return true;
	if (*count == max)
		return false;
	ids[(*count)++] = id;
	return true;
}

size_t
node_peer_list_voters(const struct node *n, uint32_t *out, size_t max)
{
	const struct member *m;
	size_t i, count = 0;

	for (i = 0; i < n->settings->npeers; i++)
		if (n->settings->peers[i].voter &&
		    n->settings->peers[i].id != n->id)
			(void)add_id(
			    out, &count, max, n->settings->peers[i].id);
	if (n->settings->nseeds == 0)
		return count;
	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (m->voter != 0 && m->id != n->id)
			(void)add_id(out, &count, max, m->id);
	}
	return count;
}

bool
node_peer_is_alive(const struct node *n, uint32_t id)
{
	const struct node_peer *peer = map_get_u64(n->peers, id);

	if (id == n->id)
		return true;
	return peer != NULL && peer->received_us != 0 &&
	    n->now < peer->received_us + NODE_PEER_TIMEOUT_US;
}

static void
queue_self_message(struct node *n, char *bytes, size_t len)
{
	if (n->nself_messages == n->self_messages_cap) {
		n->self_messages_cap =
		    n->self_messages_cap == 0 ? 8 : n->self_messages_cap * 2;
		n->self_messages = mem_resize(n->self_messages,
		    n->self_messages_cap, sizeof(*n->self_messages));
	}
	n->self_messages[n->nself_messages].bytes = bytes;
	n->self_messages[n->nself_messages].len = len;
	n->nself_messages++;
}

/*
 * Whether a message is sent over the connection for bulk messages: those that
 * carry log entries or the body of a call. The order of the others among
 * themselves stays as it is.
 */
static bool
is_bulk(const Wire__Envelope *envelope, size_t len)
{
	if (len <= NODE_BULK_BYTES)
		return false;
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_RAFT:
	case WIRE__ENVELOPE__BODY_PUSH:
	case WIRE__ENVELOPE__BODY_PROPOSE:
	case WIRE__ENVELOPE__BODY_CALL_RELAY:
	case WIRE__ENVELOPE__BODY_CALL_ANSWER:
		return true;
	default:
		return false;
	}
}

void
node_peer_send(struct node *n, uint32_t to, Wire__Envelope *envelope)
{
	const char *address = node_peer_address(n, to);
	struct node_send *send;
	size_t len;
	char *bytes;

	envelope->version = NODE_WIRE_VERSION;
	envelope->incarnation = n->incarnation;
	envelope->epoch = member_view_epoch(n->view);
	len = wire__envelope__get_packed_size(envelope);
	bytes = mem_alloc(len + 1, 1);
	wire__envelope__pack(envelope, (uint8_t *)bytes);
	if (to == n->id) {
		queue_self_message(n, bytes, len);
		return;
	}
	if (address != NULL) {
		send = &node_effects_add(n->fx, NODE_FX_SEND)->u.send;
		send->to = to;
		send->address = node_effects_printf(n->fx, "%s", address);
		send->bytes.data = node_effects_copy(n->fx, bytes, len);
		send->bytes.len = len;
		send->bulk = is_bulk(envelope, len);
		send->expects_bulk =
		    envelope->body_case == WIRE__ENVELOPE__BODY_RAFT ||
		    envelope->body_case == WIRE__ENVELOPE__BODY_PUSH;
		n->counters.messages_out++;
		n->counters.bytes_out += len;
	}
	free(bytes);
}

void
node_peer_reply(struct node *n, uint32_t to, uint64_t to_incarnation,
    Wire__Envelope *envelope)
{
	envelope->to_incarnation = to_incarnation;
	node_peer_send(n, to, envelope);
}

static void
receive_ping(
    struct node *n, uint32_t from, uint64_t incarnation, const Wire__Ping *ping)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Pong pong = WIRE__PONG__INIT;

	member_holder_on_ping(n->holder, n->now, n->applied, ping, &pong);
	envelope.body_case = WIRE__ENVELOPE__BODY_PONG;
	envelope.pong = &pong;
	node_peer_reply(n, from, incarnation, &envelope);
}

static void
receive_raft(struct node *n, const Wire__RaftFrame *frame)
{
	struct node_bytes bytes = {
	    (const char *)frame->data.data, frame->data.len};

	if (n->raft == NULL || frame->to != n->voter)
		return; /* sent to an earlier data folder of this instance */
	raft_receive(n->raft, n->now, frame->from, bytes, n->fx);
	node_replica_advance(n);
}

/* Processes a report of an endpoint that another instance forwarded. */
static void
receive_report(struct node *n, const Wire__EndpointReport *report)
{
	struct node_bytes json = {
	    (const char *)report->json.data, report->json.len};
	struct node_announce_result result;

	if (report->events)
		node_cache_events(n, json);
	else if (node_owner_announce(n, json, &result, NULL) != 0)
		n->counters.malformed++;
}

/* Dispatches messages about requests and endpoints. */
static void
receive_work(struct node *n, uint32_t from, const Wire__Envelope *e)
{
	switch (e->body_case) {
	case WIRE__ENVELOPE__BODY_ASK:
		node_grant_on_ask(n, from, e->incarnation, e->ask);
		break;
	case WIRE__ENVELOPE__BODY_GRANT:
		node_entry_on_grant(n, e->grant);
		break;
	case WIRE__ENVELOPE__BODY_DONE:
		node_grant_on_done(n, from, e->incarnation, e->done);
		break;
	case WIRE__ENVELOPE__BODY_TOUCH:
		node_keepalive_receive(n, from, e->incarnation, e->touch);
		break;
	case WIRE__ENVELOPE__BODY_REPORT:
		receive_report(n, e->report);
		break;
	case WIRE__ENVELOPE__BODY_SUMMARY:
		node_summary_receive(n, from, e->summary);
		break;
	default:
		if (!node_gate_receive(n, from, e))
			n->counters.malformed++;
		break;
	}
}

static void
receive_envelope(struct node *n, uint32_t from, const Wire__Envelope *e)
{
	switch (e->body_case) {
	case WIRE__ENVELOPE__BODY_RAFT:
		if (RAFT_ID_INSTANCE(e->raft->from) == from)
			receive_raft(n, e->raft);
		break;
	case WIRE__ENVELOPE__BODY_RENEW:
		node_lease_on_renew(n, from, e->incarnation, e->renew);
		break;
	case WIRE__ENVELOPE__BODY_LEASE:
		node_lease_on_reply(n, from, e->lease);
		break;
	case WIRE__ENVELOPE__BODY_RENEWS:
		node_relay_on_renews(n, from, e->incarnation, e->renews);
		break;
	case WIRE__ENVELOPE__BODY_LEASES:
		node_relay_on_leases(n, from, e->leases);
		break;
	case WIRE__ENVELOPE__BODY_PROPOSE:
		node_propose_receive(n, from, e->propose);
		break;
	case WIRE__ENVELOPE__BODY_PULL:
		node_follow_on_pull(n, from, e->pull);
		break;
	case WIRE__ENVELOPE__BODY_PUSH:
		node_follow_on_push(n, from, e->push);
		break;
	case WIRE__ENVELOPE__BODY_PING:
		receive_ping(n, from, e->incarnation, e->ping);
		break;
	case WIRE__ENVELOPE__BODY_PONG:
		member_holder_on_pong(
		    n->holder, n->now, from, e->epoch, e->pong);
		break;
	case WIRE__ENVELOPE__BODY_HELLO:
		node_founding_on_hello(n, from, e->hello);
		break;
	default:
		receive_work(n, from, e);
		break;
	}
}

/*
 * Whether a message may be processed here. A reply to an earlier process of
 * this instance may not: it would be matched with a request of this process
 * that has the same number.
 */
static bool
is_for_this_process(const struct node *n, const Wire__Envelope *e)
{
	return e->to_incarnation == 0 || e->to_incarnation == n->incarnation ||
	    !node_guards.reply_process;
}

/* Drops a reply to an earlier process of this instance. */
static void
drop_outdated_reply(struct node *n, uint32_t from, const Wire__Envelope *e)
{
	n->counters.outdated_replies++;
	node_log(n, NODE_LOG_REPLY_OUTDATED,
	    "{\"from\": %u, \"kind\": %d, \"process\": %llu}", from,
	    (int)e->body_case, (unsigned long long)e->to_incarnation);
	if (e->body_case == WIRE__ENVELOPE__BODY_PLACE_REPLY)
		gate_ask_return_all(n, from, e->to_incarnation);
}

void
node_peer_receive(struct node *n, uint32_t from, struct node_bytes bytes)
{
	struct node_peer *peer;
	Wire__Envelope *e = wire__envelope__unpack(
	    NULL, bytes.len, (const uint8_t *)bytes.data);

	n->counters.messages_in++;
	n->counters.bytes_in += bytes.len;
	if (e == NULL || e->version != NODE_WIRE_VERSION) {
		n->counters.malformed++;
		node_log(n, NODE_LOG_MALFORMED, "{\"from\": %u}", from);
		goto cleanup;
	}
	peer = node_peer_get(n, from);
	peer->received_us = n->now;
	peer->incarnation = e->incarnation;
	if (is_for_this_process(n, e))
		receive_envelope(n, from, e);
	else
		drop_outdated_reply(n, from, e);
cleanup:
	if (e != NULL)
		wire__envelope__free_unpacked(e, NULL);
}

void
node_peer_deliver_self(struct node *n)
{
	struct node_self_message message;
	Wire__Envelope *e;
	size_t i;

	for (i = 0; i < n->nself_messages; i++) {
		message = n->self_messages[i];
		n->self_messages[i].bytes = NULL;
		e = wire__envelope__unpack(
		    NULL, message.len, (const uint8_t *)message.bytes);
		free(message.bytes);
		receive_envelope(n, n->id, e);
		wire__envelope__free_unpacked(e, NULL);
	}
	n->nself_messages = 0;
}
