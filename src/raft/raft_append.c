/* Replication on the follower: checks, stores and acknowledges entries. */

#include "raft/raft_internal.h"

/*
 * The index to acknowledge: entries up to it are equal to the leader's log
 * and synced.
 */
static uint64_t
append_match(const struct raft *r)
{
	if (RAFT_FAULT(ack_before_sync))
		return r->verified;
	return r->verified < r->synced ? r->verified : r->synced;
}

/*
 * Acknowledge the entries that are synced and equal to the leader's log.
 *
 * sent_us: send time of the answered message, on the leader's clock.
 */
void
raft_send_append_reply(struct raft *r, uint64_t to, uint64_t sent_us)
{
	Raft__AppendReply reply = RAFT__APPEND_REPLY__INIT;
	Raft__Message m;

	raft_message_init(r, &m, RAFT__MESSAGE__BODY_APPEND_REPLY);
	m.append_reply = &reply;
	reply.match = append_match(r);
	reply.sent_us = sent_us;
	raft_message_send(r, to, &m);
}

/* Answer a leader of an older term, so that it learns the current term. */
void
raft_send_stale_reply(struct raft *r, uint64_t to)
{
	raft_send_append_reply(r, to, 0);
}

/*
 * Reject an append whose previous entry is missing here or has another term.
 * The conflict index and term let the leader skip the whole term that
 * differs instead of going back by one entry per message.
 */
static void
append_reject(struct raft *r, uint64_t to, const Raft__Append *append)
{
	Raft__AppendReply reply = RAFT__APPEND_REPLY__INIT;
	Raft__Message m;
	uint64_t index = append->prev_index, term;

	raft_message_init(r, &m, RAFT__MESSAGE__BODY_APPEND_REPLY);
	m.append_reply = &reply;
	reply.rejected = true;
	reply.match = append_match(r);
	reply.sent_us = append->sent_us;
	reply.prev_index = append->prev_index;
	if (raft_log_get_term(&r->log, index, &term)) {
		reply.conflict_term = term;
		while (index > r->commit + 1 &&
		    raft_log_get_term(&r->log, index - 1, &term) &&
		    term == reply.conflict_term)
			index--;
		reply.conflict_index = index;
	} else {
		reply.conflict_index = raft_log_last_index(&r->log) + 1;
	}
	raft_message_send(r, to, &m);
}

/*
 * A message from the leader of the current term was received: restart the
 * election timeout and withhold votes for election_min_us.
 */
void
raft_note_leader(struct raft *r, uint64_t from)
{
	r->leader = from;
	r->no_vote_until_us = r->now_us + r->options.election_min_us;
	raft_reset_election_timer(r);
}

static bool
append_records_are_valid(const Raft__Append *m)
{
	struct node_bytes rest = {
	    .data = (const char *)m->records.data,
	    .len = m->records.len,
	};
	struct raft_record rec;
	struct raft_config config;
	uint64_t index = m->prev_index, term = m->prev_term;
	size_t used, n;

	for (n = 0; n < m->count; n++) {
		if (raft_record_read(&rec, &used, rest) != MP_OK ||
		    rec.index != index + 1 || rec.term < term ||
		    rec.type > RAFT_ENTRY_CONFIG)
			return false;
		if (rec.type == RAFT_ENTRY_CONFIG &&
		    raft_config_unpack(&config, rec.data) != MP_OK)
			return false;
		rest.data += used;
		rest.len -= used;
		index = rec.index;
		term = rec.term;
	}
	return rest.len == 0;
}

/* Drop our entries from index on, which differ from the leader's log. */
static void
append_truncate(struct raft *r, uint64_t index)
{
	if (RAFT_FAULT(keep_conflict))
		return;
	raft_log_truncate(&r->log, index);
	raft_config_truncate(r, index);
	raft_save_truncate(r, index);
}

/* Append the missing records; returns the first new index, 0 for none. */
static uint64_t
append_new_records(struct raft *r, const Raft__Append *m)
{
	struct node_bytes rest = {
	    .data = (const char *)m->records.data,
	    .len = m->records.len,
	};
	struct raft_record rec;
	struct raft_config config;
	uint64_t first = 0, term;
	size_t used, n;

	for (n = 0; n < m->count; n++) {
		(void)raft_record_read(&rec, &used, rest);
		rest.data += used;
		rest.len -= used;
		if (rec.index <= r->commit)
			continue;
		if (first == 0 &&
		    raft_log_get_term(&r->log, rec.index, &term)) {
			if (term == rec.term)
				continue;
			append_truncate(r, rec.index);
		}
		if (rec.index != raft_log_last_index(&r->log) + 1)
			continue;
		if (first == 0)
			first = rec.index;
		raft_log_append(&r->log, &rec);
		if (rec.type == RAFT_ENTRY_CONFIG &&
		    raft_config_unpack(&config, rec.data) == MP_OK)
			raft_config_push(r, rec.index, &config);
	}
	return first;
}

/*
 * Store the new entries of an append that follows on our log. The answer is
 * delayed until they are synced; raft_send_pending_ack() sends it.
 */
static void
append_accept(struct raft *r, uint64_t from, const Raft__Append *m,
    struct node_effects *fx)
{
	uint64_t first = append_new_records(r, m);
	uint64_t last = m->prev_index + m->count;
	uint64_t commit = m->commit;

	if (first != 0)
		raft_save_append(r, first,
		    (size_t)(raft_log_last_index(&r->log) - first + 1), fx);
	if (last > r->verified)
		r->verified = last;
	if (commit > r->verified)
		commit = r->verified;
	if (commit > r->commit)
		r->commit = commit;
	if (m->count > 0 && append_match(r) < last) {
		r->ack_pending = true;
		if (m->sent_us > r->ack_sent_us)
			r->ack_sent_us = m->sent_us;
		return;
	}
	raft_send_append_reply(r, from, m->sent_us);
}

void
raft_handle_append(struct raft *r, uint64_t from, uint64_t term,
    const Raft__Append *m, struct node_effects *fx)
{
	uint64_t own_term;

	if (term < r->term) {
		raft_send_stale_reply(r, from);
		return;
	}
	if (r->role == RAFT_LEADER || !append_records_are_valid(m) ||
	    (raft_is_empty(r) && m->prev_index == 0 && m->count > 0))
		return;
	if (r->role == RAFT_CANDIDATE)
		raft_become_follower(r, term, from, fx);
	if (r->leader != from || !r->ack_pending)
		r->ack_sent_us = 0;
	raft_note_leader(r, from);
	if (r->verified < r->commit)
		r->verified = r->commit;
	/* Committed entries are equal on all members: no check needed. */
	if (m->prev_index < r->commit) {
		append_accept(r, from, m, fx);
		return;
	}
	if (!raft_log_get_term(&r->log, m->prev_index, &own_term) ||
	    own_term != m->prev_term) {
		append_reject(r, from, m);
		return;
	}
	append_accept(r, from, m, fx);
}

/* A save was reported: send the answer delayed until its sync. */
void
raft_send_pending_ack(struct raft *r)
{
	if (!r->ack_pending || r->leader == 0)
		return;
	raft_send_append_reply(r, r->leader, r->ack_sent_us);
	if (r->synced >= r->verified)
		r->ack_pending = false;
}
