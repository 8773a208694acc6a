/*
 * Writes of the log, of term and vote, and of snapshots. Each write has a
 * ticket; the caller reports the ticket when the write is synced.
 */

#include <string.h>

#include "raft/raft_internal.h"
#include "util/mem.h"

/*
 * Add a save effect and its pending ticket.
 *
 * last: the last index on disk after the save.
 */
static struct node_save *
save_add(struct raft *r, enum node_save_kind kind, uint64_t last,
    struct node_effects *fx)
{
	struct node_save *save = &node_effects_add(fx, NODE_FX_SAVE)->u.save;
	struct raft_pending_save *p;

	if (r->npending == r->pending_cap) {
		r->pending_cap = r->pending_cap == 0 ? 16 : r->pending_cap * 2;
		r->pending =
		    mem_resize(r->pending, r->pending_cap, sizeof(*r->pending));
	}
	p = &r->pending[r->npending++];
	p->ticket = ++r->next_ticket;
	p->kind = kind;
	p->last_index = last;
	save->kind = kind;
	save->ticket = p->ticket;
	return save;
}

/* Save term and vote; later messages are held back until it is reported. */
uint64_t
raft_save_state(struct raft *r, struct node_effects *fx)
{
	struct node_save *save = save_add(r, NODE_SAVE_STATE, 0, fx);

	save->term = r->term;
	save->vote = r->vote;
	r->state_ticket = save->ticket;
	return save->ticket;
}

/* Save count entries from index first on. */
void
raft_save_append(
    struct raft *r, uint64_t first, size_t count, struct node_effects *fx)
{
	struct node_save *save =
	    save_add(r, NODE_SAVE_APPEND, first + count - 1, fx);
	struct buf b = {0};
	size_t i;

	for (i = 0; i < count; i++) {
		const struct raft_log_entry *entry =
		    raft_log_get(&r->log, first + i);

		buf_append(&b, entry->record, entry->len);
	}
	save->index = first;
	save->count = count;
	save->data.data = node_effects_copy(fx, b.data, b.len);
	save->data.len = b.len;
	buf_free(&b);
}

void
raft_save_snapshot(struct raft *r, struct node_effects *fx)
{
	struct node_save *save =
	    save_add(r, NODE_SAVE_SNAPSHOT, r->snapshot_index, fx);

	save->index = r->snapshot_index;
	save->term = r->snapshot_term;
	save->data.data =
	    node_effects_copy(fx, r->snapshot.data, r->snapshot.len);
	save->data.len = r->snapshot.len;
}

/* Entries from index on were truncated: do not count them as synced. */
void
raft_save_truncate(struct raft *r, uint64_t index)
{
	size_t i;

	if (r->synced >= index)
		r->synced = index - 1;
	for (i = 0; i < r->npending; i++) {
		if (r->pending[i].last_index >= index)
			r->pending[i].last_index = index - 1;
	}
}

/* Remove the saves up to a ticket from the list and count their entries. */
static void
save_mark_synced(struct raft *r, uint64_t ticket)
{
	size_t n = 0;

	while (n < r->npending && r->pending[n].ticket <= ticket) {
		if (r->pending[n].last_index > r->synced)
			r->synced = r->pending[n].last_index;
		n++;
	}
	r->npending -= n;
	memmove(r->pending, r->pending + n, r->npending * sizeof(*r->pending));
	r->saved_ticket = ticket;
}

/* Halt for good after a failed save: step down and send nothing more. */
static void
save_halt(struct raft *r)
{
	r->halted = true;
	r->role = RAFT_FOLLOWER;
	r->leader = 0;
	r->leader_since_us = 0;
	r->npeers = 0;
	raft_message_drop_all(r);
}

void
raft_save_completed(struct raft *r, uint64_t now_us, uint64_t ticket, bool ok,
    struct node_effects *fx)
{
	r->now_us = now_us;
	if (r->halted || ticket <= r->saved_ticket || ticket > r->next_ticket)
		return;
	if (!ok) {
		save_halt(r);
		return;
	}
	save_mark_synced(r, ticket);
	if (r->role == RAFT_CANDIDATE && !r->pre_vote &&
	    r->saved_ticket >= r->state_ticket)
		raft_count_own_vote(r, fx);
	if (r->role == RAFT_LEADER) {
		raft_advance_commit(r, fx);
		raft_replicate_all(r);
	} else {
		raft_send_pending_ack(r);
	}
}
