#include <stdlib.h>

#include "doc/doc_delta.h"
#include "node/node_gate.h"
#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Application of committed commands to the replicated state. It runs alike on
 * all instances; only the answer to a command's proposer is local.
 */

/* Whether this process proposed the command. */
static bool
is_own(const struct node *n, const Wire__Command *command)
{
	return command->instance == n->id &&
	    command->incarnation == n->incarnation && command->proposal != 0;
}

static void
apply_doc_put(struct node *n, uint64_t index, const Wire__Command *command)
{
	const Wire__DocPut *put = command->doc_put;
	struct node_proposal *proposal;
	struct doc_result result;
	struct buf made = {0};
	struct doc_text text = doc_delta_decode(n->book, put, &made);

	doc_table_apply(n->book, index, put->team, put->base_revision,
	    put->change_id, put->operator_, put->time_ms, text.data, text.len,
	    &result);
	buf_free(&made);
	if (result.verdict == DOC_ACCEPTED && !result.is_repeated)
		node_log(n, NODE_LOG_DOCUMENT,
		    "{\"team\": \"%s\", \"revision\": %llu, \"index\": %llu}",
		    put->team, (unsigned long long)result.revision,
		    (unsigned long long)index);
	proposal =
	    is_own(n, command) ? node_propose_find(n, command->proposal) : NULL;
	if (proposal != NULL)
		node_api_document_applied(n, proposal, put->team, &result);
}

static void
log_up(struct node *n, uint64_t index, const Wire__MemberInfo *info)
{
	node_log(n, NODE_LOG_MEMBER_UP, "{\"member\": %u, \"epoch\": %llu}",
	    info->id, (unsigned long long)index);
}

static void
apply_up(struct node *n, uint64_t index, const Wire__MemberInfo *info)
{
	if (!member_view_apply_up(n->view, index, info))
		return;
	log_up(n, index, info);
	node_owner_on_epoch(n, false);
}

/* Ends what a process that is no longer a member had under way. */
static void
end_process(struct node *n, uint64_t index, const Wire__MemberDown *down)
{
	node_log(n, NODE_LOG_MEMBER_DOWN, "{\"member\": %u, \"epoch\": %llu}",
	    down->id, (unsigned long long)index);
	if (claim_apply_down(n->claims, down->id, down->incarnation) > 0)
		route_on_claims_ended(n->route, n->now, n->fx);
	node_orphan_entry_down(n, down->id, down->incarnation);
	node_gate_entry_down(n, down->incarnation);
}

static void
apply_down(struct node *n, uint64_t index, const Wire__MemberDown *down)
{
	if (!member_view_apply_down(
		n->view, index, down->id, down->incarnation))
		return;
	end_process(n, index, down);
	node_owner_on_epoch(n, false);
}

static void
log_leave(struct node *n, uint64_t index, const Wire__MemberLeave *leave)
{
	node_log(n, NODE_LOG_MEMBER_LEAVING,
	    "{\"member\": %u, \"epoch\": %llu}", leave->id,
	    (unsigned long long)index);
}

static void
apply_leave(struct node *n, uint64_t index, const Wire__MemberLeave *leave)
{
	if (!member_view_apply_leave(
		n->view, index, leave->id, leave->incarnation))
		return;
	log_leave(n, index, leave);
	node_owner_on_epoch(n, false);
}

/* Members are changed as by single commands, with one epoch. */
static void
apply_changes(
    struct node *n, uint64_t index, const Wire__MemberChanges *changes)
{
	bool *was_member = mem_alloc(changes->n_down, sizeof(*was_member));
	const struct member *m;
	size_t i;

	for (i = 0; i < changes->n_down; i++)
		was_member[i] = member_view_is_current(n->view,
		    changes->down[i]->id, changes->down[i]->incarnation);
	if (!member_view_apply_changes(n->view, index, changes)) {
		free(was_member);
		return;
	}
	for (i = 0; i < changes->n_down; i++)
		if (was_member[i])
			end_process(n, index, changes->down[i]);
	for (i = 0; i < changes->n_up; i++) {
		m = member_view_find(n->view, changes->up[i]->id);
		if (m != NULL && m->joined == index)
			log_up(n, index, changes->up[i]);
	}
	for (i = 0; i < changes->n_leave; i++)
		log_leave(n, index, changes->leave[i]);
	node_log(n, NODE_LOG_MEMBERS_CHANGED,
	    "{\"down\": %zu, \"up\": %zu, \"leaving\": %zu, "
	    "\"members\": %zu, \"epoch\": %llu}",
	    changes->n_down, changes->n_up, changes->n_leave,
	    member_view_count(n->view), (unsigned long long)index);
	node_owner_on_epoch(n, false);
	free(was_member);
}

/* Whether the process that proposed the command is still a member. */
static bool
is_from_member(const struct node *n, const Wire__Command *command)
{
	const struct member *m = member_view_find(n->view, command->instance);

	return m != NULL && m->incarnation == command->incarnation;
}

static void
apply_claim_start(struct node *n, uint64_t index, const Wire__Command *command)
{
	const Wire__ClaimStart *wire = command->claim_start;
	struct claim_start start = {0};
	const struct claim *claim = NULL;
	enum claim_verdict verdict;

	start.team = wire->team;
	start.key = wire->key;
	start.body_hash = wire->body_hash;
	start.service = wire->service;
	start.call = wire->call;
	start.instance = command->instance;
	start.incarnation = command->incarnation;
	start.proposal = command->proposal;
	start.time_ms = wire->time_ms;
	/* A claim of a process that is down would stay running for ever. */
	if (!is_from_member(n, command))
		return;
	verdict = claim_apply_start(n->claims, index, &start, &claim);
	if (!is_own(n, command))
		return;
	node_propose_applied(n, command->proposal);
	route_on_claim_applied(n->route, n->now, command->proposal, verdict,
	    claim, claim->index != index, n->fx);
}

static void
apply_claim_end(struct node *n, const Wire__Command *command)
{
	const Wire__ClaimEnd *wire = command->claim_end;
	static const enum claim_outcome kinds[] = {
	    CLAIM_END_ANSWERED, CLAIM_END_NOT_RUN, CLAIM_END_UNKNOWN};
	struct claim_end end = {0};
	bool effect;

	if ((unsigned)wire->outcome >= sizeof(kinds) / sizeof(kinds[0]))
		return;
	end.team = wire->team;
	end.key = wire->key;
	end.instance = wire->instance;
	end.incarnation = wire->incarnation;
	end.proposal = wire->proposal;
	end.outcome = kinds[wire->outcome];
	end.status = (int)wire->status;
	end.content_type = wire->content_type;
	end.answer = (const char *)wire->answer.data;
	end.answer_len = wire->answer.len;
	effect = claim_apply_end(n->claims, &end);
	if (is_own(n, command)) {
		node_propose_applied(n, command->proposal);
		route_on_claim_end_applied(
		    n->route, n->now, wire->proposal, true, n->fx);
	}
	if (effect)
		route_on_claims_ended(n->route, n->now, n->fx);
}

/* Answers the caller of a change to the gateway. */
static void
apply_gate_proposal(
    struct node *n, const Wire__Command *command, enum gate_verdict verdict)
{
	if (!is_own(n, command))
		return;
	node_gate_proposal_applied(n, command->proposal, verdict);
	node_api_quarantine_lifted(n, command->proposal);
	node_propose_applied(n, command->proposal);
}

void
node_apply_command(struct node *n, uint64_t index, const Wire__Command *command)
{
	switch (command->body_case) {
	case WIRE__COMMAND__BODY_DOC_PUT:
		apply_doc_put(n, index, command);
		break;
	case WIRE__COMMAND__BODY_UP:
		apply_up(n, index, command->up);
		break;
	case WIRE__COMMAND__BODY_DOWN:
		apply_down(n, index, command->down);
		break;
	case WIRE__COMMAND__BODY_LEAVE:
		apply_leave(n, index, command->leave);
		break;
	case WIRE__COMMAND__BODY_CHANGES:
		apply_changes(n, index, command->changes);
		break;
	case WIRE__COMMAND__BODY_CLAIM_START:
		apply_claim_start(n, index, command);
		break;
	case WIRE__COMMAND__BODY_CLAIM_END:
		apply_claim_end(n, command);
		break;
	case WIRE__COMMAND__BODY_GATEWAY_CONFIG:
		apply_gate_proposal(n, command,
		    node_gate_apply_config(n, index, command->gateway_config));
		break;
	case WIRE__COMMAND__BODY_ADAPTER_VERSION:
		node_gate_apply_version(n, command->adapter_version);
		apply_gate_proposal(n, command, GATE_TAKEN);
		break;
	case WIRE__COMMAND__BODY_ENDPOINT_LEAVING:
		node_gate_apply_leaving(n, command->endpoint_leaving);
		apply_gate_proposal(n, command, GATE_TAKEN);
		break;
	case WIRE__COMMAND__BODY_PART_QUARANTINE:
		node_gate_apply_quarantine(n, command->part_quarantine);
		apply_gate_proposal(n, command, GATE_TAKEN);
		break;
	case WIRE__COMMAND__BODY_CLAIM_CLOCK:
		claim_apply_clock(n->claims, command->claim_clock->elapsed_ms);
		break;
	default:
		n->counters.malformed++;
		break;
	}
}
