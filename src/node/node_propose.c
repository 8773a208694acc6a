#include <stdlib.h>

#include "node/node_gate.h"
#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Proposals: commands that this instance wants in the replicated log. They go
 * to the leader, and are sent again until they are applied here or expire.
 */

void
node_propose_free(struct node_proposal *p)
{
	free(p->bytes);
	free(p);
}

uint32_t
node_leader(const struct node *n)
{
	uint64_t voter = n->raft == NULL ? 0 : raft_get_leader(n->raft);

	if (voter != 0)
		return RAFT_ID_INSTANCE(voter);
	return member_holder_leader(n->holder);
}

static bool
append_as_leader(struct node *n, struct node_bytes command)
{
	uint64_t index;

	return raft_propose(n->raft, n->now, command, &index, n->fx, NULL) == 0;
}

void
node_propose_as_leader(struct node *n, Wire__Command *command)
{
	struct node_bytes bytes;
	char *packed;

	command->instance = n->id;
	command->incarnation = n->incarnation;
	packed = mem_alloc(wire__command__get_packed_size(command) + 1, 1);
	bytes.len = wire__command__pack(command, (uint8_t *)packed);
	bytes.data = packed;
	(void)append_as_leader(n, bytes);
	free(packed);
}

/*
 * Appends a proposal to the own log, once in a term: while this instance leads,
 * the log loses no entry of its term, so another copy would only add bytes.
 */
static void
proposal_append(struct node *n, struct node_proposal *p)
{
	struct node_bytes command = {p->bytes, p->len};

	if (n->raft == NULL || raft_get_role(n->raft) != RAFT_LEADER ||
	    p->appended_term == raft_get_term(n->raft))
		return;
	if (append_as_leader(n, command)) {
		p->sent = true;
		p->appended_term = raft_get_term(n->raft);
	}
}

/* Sends a proposal to the leader, if one is known, and sets the next retry. */
static void
proposal_send(struct node *n, struct node_proposal *p)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Propose message = WIRE__PROPOSE__INIT;
	uint32_t leader = node_leader(n);

	p->resend_us =
	    n->now + NODE_PROPOSE_RETRY_US + p->len * NODE_SEND_BYTE_US;
	if (leader == 0)
		return;
	if (leader == n->id) {
		proposal_append(n, p);
		return;
	}
	p->sent = true;
	message.command.data = (uint8_t *)p->bytes;
	message.command.len = p->len;
	envelope.body_case = WIRE__ENVELOPE__BODY_PROPOSE;
	envelope.propose = &message;
	node_peer_send(n, leader, &envelope);
}

uint64_t
node_propose(struct node *n, enum node_proposal_kind kind, uint64_t request,
    uint64_t expires_us, Wire__Command *command)
{
	struct node_proposal *p = mem_alloc(1, sizeof(*p));

	p->id = ++n->last_proposal;
	p->kind = kind;
	p->request = request;
	p->expires_us = expires_us;
	command->instance = n->id;
	command->incarnation = n->incarnation;
	command->proposal = p->id;
	p->len = wire__command__get_packed_size(command);
	p->bytes = mem_alloc(p->len + 1, 1);
	wire__command__pack(command, (uint8_t *)p->bytes);
	map_set_u64(n->proposals, p->id, p);
	proposal_send(n, p);
	return p->id;
}

struct node_proposal *
node_propose_find(struct node *n, uint64_t proposal)
{
	return map_get_u64(n->proposals, proposal);
}

void
node_propose_applied(struct node *n, uint64_t proposal)
{
	struct node_proposal *p = map_remove_u64(n->proposals, proposal);

	if (p != NULL)
		node_propose_free(p);
}

/* Reports an expired proposal as undecided to whoever waits for it. */
static void
expire_proposal(struct node *n, struct node_proposal *p)
{
	struct route_error error = {504, "undecided",
	    "the change is not known to be accepted; send it again with the "
	    "same change id",
	    ROUTE_UNKNOWN, 1000};

	map_remove_u64(n->proposals, p->id);
	if (p->kind == NODE_PROPOSE_DOC || p->kind == NODE_PROPOSE_QUARANTINE) {
		if (!p->sent) {
			error.status = 503;
			error.code = "no-quorum";
			error.message = "no leader is known";
			error.outcome = ROUTE_NOT_RUN;
		}
		route_reply_error(n->fx, p->request, &error);
	} else if (p->kind == NODE_PROPOSE_GATE) {
		node_gate_proposal_expired(n, p->id);
	} else if (p->kind == NODE_PROPOSE_CLAIM_START) {
		route_on_claim_not_applied(n->route, n->now, p->id, n->fx);
	} else {
		route_on_claim_end_applied(
		    n->route, n->now, p->request, false, n->fx);
	}
	node_propose_free(p);
}

void
node_propose_tick(struct node *n)
{
	struct node_proposal *p;
	size_t i = map_count(n->proposals);

	while (i-- > 0) {
		p = map_at(n->proposals, i);
		if (n->now >= p->expires_us)
			expire_proposal(n, p);
		else if (n->now >= p->resend_us)
			proposal_send(n, p);
	}
}

/* Appends another instance's proposal if this one leads, else drops it. */
void
node_propose_receive(
    struct node *n, uint32_t from, const Wire__Propose *message)
{
	struct node_bytes command = {
	    (const char *)message->command.data, message->command.len};
	Wire__Command *parsed;

	if (n->raft == NULL || raft_get_role(n->raft) != RAFT_LEADER)
		return;
	parsed = wire__command__unpack(
	    NULL, message->command.len, message->command.data);
	if (parsed == NULL || parsed->instance != from ||
	    parsed->body_case == WIRE__COMMAND__BODY__NOT_SET ||
	    parsed->body_case == WIRE__COMMAND__BODY_UP ||
	    parsed->body_case == WIRE__COMMAND__BODY_DOWN ||
	    parsed->body_case == WIRE__COMMAND__BODY_CHANGES) {
		n->counters.malformed++;
		goto cleanup;
	}
	(void)append_as_leader(n, command);
cleanup:
	if (parsed != NULL)
		wire__command__free_unpacked(parsed, NULL);
}
