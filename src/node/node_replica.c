#include <stdlib.h>

#include "node/node_gate.h"
#include "node/node_internal.h"
#include "node/snapshot.pb-c.h"
#include "util/mem.h"

/*
 * The replicated state: application of committed entries, snapshots, and the
 * work that the log has ready.
 */

void
node_replica_apply(
    struct node *n, uint64_t index, uint64_t term, struct node_bytes command)
{
	Wire__Command *parsed;

	if (index != n->applied + 1)
		return; /* applied before, or a gap that a pull closes */
	n->applied = index;
	n->applied_term = term;
	n->counters.applied++;
	node_recent_add(n, index, term, command);
	if (command.len == 0)
		return;
	parsed = wire__command__unpack(
	    NULL, command.len, (const uint8_t *)command.data);
	if (parsed == NULL) {
		n->counters.malformed++;
		return; /* ignored alike on every instance */
	}
	node_apply_command(n, index, parsed);
	wire__command__free_unpacked(parsed, NULL);
}

void
node_replica_snapshot(struct node *n, struct buf *out)
{
	Node__Snapshot snapshot = NODE__SNAPSHOT__INIT;
	struct buf view = {0}, book = {0}, claims = {0};
	size_t len;

	member_view_save(n->view, &view);
	doc_table_save(n->book, &book);
	claim_save(n->claims, &claims);
	snapshot.index = n->applied;
	snapshot.term = n->applied_term;
	snapshot.view.data = (uint8_t *)view.data;
	snapshot.view.len = view.len;
	snapshot.book.data = (uint8_t *)book.data;
	snapshot.book.len = book.len;
	snapshot.claims.data = (uint8_t *)claims.data;
	snapshot.claims.len = claims.len;
	node_gate_save(n, &snapshot);
	len = node__snapshot__get_packed_size(&snapshot);
	buf_free(out);
	out->data = mem_alloc(len + 1, 1);
	out->cap = len + 1;
	out->len = node__snapshot__pack(&snapshot, (uint8_t *)out->data);
	buf_free(&view);
	buf_free(&book);
	buf_free(&claims);
	node_gate_save_free(&snapshot);
}

static int
restore_parts(struct node *n, const Node__Snapshot *snapshot)
{
	struct mp_error err;
	int rc;

	rc = member_view_restore(n->view, (const char *)snapshot->view.data,
	    snapshot->view.len, &err);
	if (rc == 0)
		rc = doc_table_restore(n->book,
		    (const char *)snapshot->book.data, snapshot->book.len,
		    &err);
	if (rc == 0)
		rc = claim_restore(n->claims,
		    (const char *)snapshot->claims.data, snapshot->claims.len,
		    &err);
	return rc;
}

/*
 * Sends all proposals again: requests may wait for entries that the snapshot
 * skipped.
 */
static void
resend_proposals(struct node *n)
{
	size_t i;
	struct node_proposal *p;

	for (i = map_count(n->proposals); i-- > 0;) {
		p = map_at(n->proposals, i);
		p->resend_us = 0; /* idempotent: gets the same answer */
	}
}

int
node_replica_restore(struct node *n, uint64_t index, struct node_bytes state)
{
	Node__Snapshot *snapshot;
	int rc = MP_ERR_CORRUPT;

	if (index <= n->applied)
		return 0;
	if (state.len == 0) { /* the founding has no state */
		node_recent_reset(n, index + 1);
		n->applied = index;
		n->applied_term = 1;
		return 0;
	}
	snapshot = node__snapshot__unpack(
	    NULL, state.len, (const uint8_t *)state.data);
	if (snapshot == NULL || snapshot->index != index)
		goto cleanup;
	rc = restore_parts(n, snapshot);
	if (rc != 0)
		goto cleanup;
	node_queue_clear(n);
	node_gate_restore(n, snapshot);
	node_recent_reset(n, index + 1);
	n->applied = index;
	n->applied_term = snapshot->term;
	node_owner_on_epoch(n, true);
	route_on_claims_ended(n->route, n->now, n->fx);
	resend_proposals(n);
cleanup:
	if (snapshot != NULL)
		node__snapshot__free_unpacked(snapshot, NULL);
	return rc;
}

static void
apply_committed(struct node *n)
{
	static const struct node_bytes nothing = {"", 0};
	struct raft_committed item;

	while (raft_take_committed(n->raft, &item)) {
		if (item.is_snapshot)
			(void)node_replica_restore(
			    n, item.index, item.snapshot);
		else
			node_replica_apply(n, item.entry.index, item.entry.term,
			    item.entry.type == RAFT_ENTRY_COMMAND
				? item.entry.data
				: nothing);
	}
}

static void
send_raft_messages(struct node *n)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__RaftFrame frame = WIRE__RAFT_FRAME__INIT;
	struct raft_message message;

	while (raft_take_message(n->raft, &message)) {
		frame.from = n->voter;
		frame.to = message.to;
		frame.data.data = (uint8_t *)message.bytes.data;
		frame.data.len = message.bytes.len;
		envelope.body_case = WIRE__ENVELOPE__BODY_RAFT;
		envelope.raft = &frame;
		node_peer_send(n, RAFT_ID_INSTANCE(message.to), &envelope);
	}
}

static size_t
compact_bytes(const struct node *n)
{
	size_t share = ((size_t)n->settings->memory_limit_mb << 20) /
	    NODE_COMPACT_MEMORY_DIVISOR;
	size_t bytes = n->snapshot_bytes * NODE_COMPACT_SNAPSHOTS;

	if (bytes > share)
		bytes = share;
	return bytes > NODE_COMPACT_BYTES ? bytes : NODE_COMPACT_BYTES;
}

static void
replace_log_by_snapshot(struct node *n)
{
	struct buf state = {0};
	struct node_bytes bytes;

	if (n->applied <= raft_get_snapshot_index(n->raft) ||
	    n->applied > raft_get_commit(n->raft) || raft_is_halted(n->raft))
		return;
	node_replica_snapshot(n, &state);
	bytes.data = state.data;
	bytes.len = state.len;
	raft_compact(n->raft, n->now, n->applied, bytes, n->fx);
	n->snapshot_bytes = state.len;
	n->counters.snapshots++;
	node_log(n, NODE_LOG_SNAPSHOT, "{\"index\": %llu, \"bytes\": %zu}",
	    (unsigned long long)n->applied, state.len);
	buf_free(&state);
}

static void
compact_log(struct node *n)
{
	if (raft_get_log_bytes(n->raft) >= compact_bytes(n) ||
	    n->applied >=
		raft_get_snapshot_index(n->raft) + NODE_COMPACT_ENTRIES)
		replace_log_by_snapshot(n);
}

void
node_replica_compact_for_learner(struct node *n)
{
	if (raft_get_log_bytes(n->raft) > NODE_RAFT_BATCH_BYTES)
		replace_log_by_snapshot(n);
}

void
node_replica_advance(struct node *n)
{
	uint64_t commit;

	if (n->raft == NULL)
		return;
	apply_committed(n);
	node_lease_update_leadership(n);
	commit = raft_get_commit(n->raft);
	if (commit > n->commit_seen) {
		n->commit_seen = commit;
		member_lessor_on_commit(n->lessor, n->now, commit);
	}
	send_raft_messages(n);
	compact_log(n);
}
