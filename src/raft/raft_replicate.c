/*
 * Replication on the leader: sends entries and heartbeats to the peers and
 * advances the commit index. A peer whose log end is unknown is probed with
 * one append at a time until a reply confirms its next index; then up to
 * RAFT_INFLIGHT_MAX appends are sent without waiting for the replies.
 *
 * An entry beyond bulk_bytes is sent only to a peer whose log end is confirmed,
 * with no other append in flight, and not again before there was time for its
 * bytes to arrive.
 */

#include <string.h>

#include "raft/raft_internal.h"

struct raft_peer *
raft_find_peer(struct raft *r, uint64_t id)
{
	size_t i;

	for (i = 0; i < r->npeers; i++) {
		if (r->peers[i].id == id)
			return &r->peers[i];
	}
	return NULL;
}

/*
 * The greatest value that a quorum of the voters has reached.
 *
 * self: our own value, counted if we are a voter.
 * get: returns the value of another voter.
 */
uint64_t
raft_quorum_value(const struct raft *r, uint64_t self,
    uint64_t (*get)(const struct raft_peer *))
{
	const struct raft_config *c = raft_get_config(r);
	uint64_t values[RAFT_VOTERS_MAX], v;
	size_t i, j, n = 0;

	for (i = 0; i < c->nvoters; i++) {
		const struct raft_peer *p =
		    raft_find_peer((struct raft *)r, c->voters[i]);

		v = 0;
		if (c->voters[i] == r->options.self)
			v = self;
		else if (p != NULL)
			v = get(p);
		for (j = n++; j > 0 && values[j - 1] < v; j--)
			values[j] = values[j - 1];
		values[j] = v;
	}
	return n == 0 ? 0 : values[n / 2];
}

static uint64_t
peer_match(const struct raft_peer *p)
{
	return p->match;
}

static uint64_t
peer_received_us(const struct raft_peer *p)
{
	return p->received_us;
}

static uint64_t
peer_acked_sent_us(const struct raft_peer *p)
{
	return p->acked_sent_us;
}

/* The newest time at or after which a quorum's messages were received. */
uint64_t
raft_quorum_received_us(const struct raft *r)
{
	return raft_quorum_value(r, r->now_us, peer_received_us);
}

/*
 * The newest send time that a quorum has acknowledged; the leader lease
 * starts there. The send time is safe where the receipt of the reply is not:
 * the followers began to withhold their votes no earlier than the sending.
 */
uint64_t
raft_quorum_acked_us(const struct raft *r)
{
	return raft_quorum_value(r, r->now_us, peer_acked_sent_us);
}

/*
 * Send an append.
 *
 * prev: the index before the first entry.
 * count: entries packed in records; 0 for a heartbeat.
 */
static void
peer_send(struct raft *r, struct raft_peer *p, uint64_t prev, size_t count,
    const struct buf *records)
{
	Raft__Append append = RAFT__APPEND__INIT;
	Raft__Message m;
	uint64_t term = 0;

	(void)raft_log_get_term(&r->log, prev, &term);
	raft_message_init(r, &m, RAFT__MESSAGE__BODY_APPEND);
	m.append = &append;
	append.prev_index = prev;
	append.prev_term = term;
	append.commit = r->commit;
	append.sent_us = r->now_us;
	append.count = (uint32_t)count;
	if (records != NULL) {
		append.records.data = (uint8_t *)records->data;
		append.records.len = records->len;
	}
	p->sent_commit = r->commit;
	raft_message_send(r, p->id, &m);
}

/* Whether the next entry for the peer is a bulk one. */
static bool
peer_next_is_bulk(const struct raft *r, const struct raft_peer *p)
{
	const struct raft_log_entry *entry = raft_log_get(&r->log, p->next);

	return r->options.bulk_bytes != 0 && entry != NULL &&
	    entry->len > r->options.bulk_bytes;
}

/* Send entries from the peer's next index on, up to batch_bytes. */
static void
peer_send_batch(struct raft *r, struct raft_peer *p)
{
	struct buf b = {0};
	size_t n;

	if (peer_next_is_bulk(r, p)) {
		p->bulk_index = p->next;
		p->bulk_until_us = r->now_us + r->options.election_min_us +
		    raft_log_get(&r->log, p->next)->len * RAFT_BULK_BYTE_US;
	}
	n = raft_log_pack(&r->log, p->next, r->options.batch_bytes, &b);
	peer_send(r, p, p->next - 1, n, &b);
	buf_free(&b);
	p->next += n;
	p->inflight[p->ninflight++] = p->next - 1;
}

/*
 * Send a probe: entries, or none where the next entry is a bulk one. The reply
 * to an empty probe confirms the peer's log end as well.
 */
static void
peer_send_probe(struct raft *r, struct raft_peer *p)
{
	uint64_t next = p->next;

	if (p->probe_sent)
		return;
	p->probe_sent = true;
	if (peer_next_is_bulk(r, p)) {
		peer_send(r, p, next - 1, 0, NULL);
		return;
	}
	peer_send_batch(r, p);
	p->next = next;
	p->ninflight = 0;
}

/* Whether the next entries must wait for the answer to those in flight. */
static bool
peer_must_wait(const struct raft *r, const struct raft_peer *p)
{
	return p->ninflight == RAFT_INFLIGHT_MAX || p->bulk_index != 0 ||
	    (p->ninflight > 0 && peer_next_is_bulk(r, p));
}

/*
 * Send what the peer lacks, within the limit of unanswered appends: entries,
 * a snapshot when the entries are compacted, or the new commit index.
 */
static void
peer_replicate(struct raft *r, struct raft_peer *p)
{
	uint64_t last = raft_log_last_index(&r->log);
	bool sent = false;

	while (p->next <= last && !peer_must_wait(r, p)) {
		if (p->next <= r->log.base_index) {
			raft_send_install(r, p);
			return;
		}
		if (p->probing) {
			peer_send_probe(r, p);
			return;
		}
		peer_send_batch(r, p);
		sent = true;
	}
	if (!sent && p->ninflight == 0 && !p->probing &&
	    p->sent_commit < r->commit)
		peer_send(r, p, p->next - 1, 0, NULL);
}

void
raft_replicate_all(struct raft *r)
{
	size_t i;

	for (i = 0; i < r->npeers; i++)
		peer_replicate(r, &r->peers[i]);
}

/*
 * The index before the next entry that the peer should receive. While a bulk
 * entry may be on its way it is the index before that one.
 */
static uint64_t
heartbeat_prev(struct raft *r, struct raft_peer *p)
{
	uint64_t next = p->next;

	if (r->now_us >= p->bulk_until_us)
		p->bulk_index = 0;
	if (p->bulk_index != 0)
		next = p->bulk_index;
	return next > r->log.base_index ? next - 1 : 0;
}

/*
 * Send a heartbeat to all peers. A peer that lost an append rejects the
 * heartbeat, which restarts probing; a new probe is allowed as well.
 */
void
raft_send_heartbeats(struct raft *r)
{
	struct raft_peer *p;
	size_t i;

	for (i = 0; i < r->npeers; i++) {
		p = &r->peers[i];
		p->probe_sent = false;
		peer_send(r, p, heartbeat_prev(r, p), 0, NULL);
		peer_replicate(r, p);
	}
	r->heartbeat_due_us = r->now_us + r->options.heartbeat_us;
}

/* Append an entry of the current term, save it and send it to the peers. */
int
raft_leader_append(struct raft *r, enum raft_entry_type type,
    struct node_bytes data, struct node_effects *fx)
{
	struct raft_record rec = {
	    .term = r->term,
	    .type = type,
	    .data = data,
	};
	struct raft_config config;
	uint64_t index = raft_log_last_index(&r->log) + 1;

	if (type == RAFT_ENTRY_CONFIG &&
	    raft_config_unpack(&config, data) != MP_OK)
		return MP_ERR_INVALID;
	raft_log_append(&r->log, &rec);
	r->uncommitted_bytes += raft_log_get(&r->log, index)->len;
	if (type == RAFT_ENTRY_CONFIG)
		raft_config_push(r, index, &config);
	raft_save_append(r, index, 1, fx);
	raft_replicate_all(r);
	return MP_OK;
}

/*
 * Become leader of the current term and append a no-op entry: entries of
 * earlier terms are committed, and authority begins, with its commit.
 */
void
raft_become_leader(struct raft *r, struct node_effects *fx)
{
	struct node_bytes none = {.data = "", .len = 0};
	const struct raft_log_entry *entry;
	uint64_t i;

	r->role = RAFT_LEADER;
	r->pre_vote = false;
	r->ngranted = 0;
	r->leader = r->options.self;
	r->leader_since_us = r->now_us;
	r->npeers = 0;
	raft_config_sync_peers(r);
	r->uncommitted_bytes = 0;
	for (i = r->commit + 1; (entry = raft_log_get(&r->log, i)) != NULL; i++)
		r->uncommitted_bytes += entry->len;
	(void)raft_leader_append(r, RAFT_ENTRY_NOOP, none, fx);
	r->heartbeat_due_us = r->now_us + r->options.heartbeat_us;
}

/*
 * Commit the entries that a quorum has synced, provided that the newest of
 * them is of the current term. An entry of an older term on a quorum can
 * still be replaced by a leader with a newer entry at its index.
 */
void
raft_advance_commit(struct raft *r, struct node_effects *fx)
{
	uint64_t self = RAFT_FAULT(count_self_unsynced)
	    ? raft_log_last_index(&r->log)
	    : r->synced;
	uint64_t index = raft_quorum_value(r, self, peer_match);
	uint64_t term;

	if (index <= r->commit || !raft_log_get_term(&r->log, index, &term))
		return;
	if (term != r->term && !RAFT_FAULT(commit_old_term))
		return;
	while (r->commit < index) {
		r->commit++;
		r->uncommitted_bytes -= raft_log_get(&r->log, r->commit)->len;
	}
	raft_config_finish_change(r, fx);
}

/* Move the next index back to the conflict and probe from there. */
static void
peer_handle_reject(
    struct raft *r, struct raft_peer *p, const Raft__AppendReply *m)
{
	uint64_t next = m->conflict_index, term, i;

	if (m->prev_index <= p->match ||
	    (p->probing && m->prev_index != p->next - 1))
		return;
	if (m->conflict_term != 0) {
		i = m->prev_index;
		while (raft_log_get_term(&r->log, i, &term) &&
		    term > m->conflict_term)
			i--;
		if (raft_log_get_term(&r->log, i, &term) &&
		    term == m->conflict_term && i + 1 > next)
			next = i + 1;
	}
	if (next > m->prev_index)
		next = m->prev_index;
	if (next <= p->match)
		next = p->match + 1;
	p->next = next;
	p->probing = true;
	p->probe_sent = false;
	p->ninflight = 0;
	p->bulk_index = 0;
}

/* Record an acknowledged index and release the appends it covers. */
static void
peer_update_match(struct raft_peer *p, uint64_t match)
{
	size_t n = 0;

	if (match <= p->match)
		return;
	p->match = match;
	p->install_index = 0;
	if (p->bulk_index <= match)
		p->bulk_index = 0;
	if (p->probing && match + 1 >= p->next) {
		p->probing = false;
		p->ninflight = 0;
	}
	if (p->next <= match)
		p->next = match + 1;
	while (n < p->ninflight && p->inflight[n] <= match)
		n++;
	p->ninflight -= n;
	memmove(
	    p->inflight, p->inflight + n, p->ninflight * sizeof(*p->inflight));
}

/* Start a round of catching up: it ends with what is in the log now. */
void
raft_start_round(const struct raft *r, struct raft_peer *p)
{
	p->round_end = raft_log_last_index(&r->log);
	p->round_started_us = r->now_us;
}

/* Whether a round that began at that time is short until now. */
static bool
round_is_short(const struct raft *r, const struct raft_peer *p)
{
	return r->now_us < p->round_started_us + r->options.election_min_us;
}

/* End the round of a peer if it has synced the entries, and start another. */
static void
peer_update_round(const struct raft *r, struct raft_peer *p)
{
	if (p->match < p->round_end)
		return;
	p->keeps_up = round_is_short(r, p);
	p->nrounds++;
	raft_start_round(r, p);
}

/*
 * Record the reply of a peer.
 *
 * sent_us: send time of the answered message on our clock, echoed by the
 * peer.
 * Returns the peer, or NULL when `from` is no peer or sent_us is in the
 * future.
 */
struct raft_peer *
raft_note_peer_reply(struct raft *r, uint64_t from, uint64_t sent_us)
{
	struct raft_peer *p = raft_find_peer(r, from);

	if (p == NULL || sent_us > r->now_us)
		return NULL;
	p->received_us = r->now_us;
	if (sent_us > p->acked_sent_us)
		p->acked_sent_us = sent_us;
	if (RAFT_FAULT(lease_from_receipt))
		p->acked_sent_us = r->now_us;
	return p;
}

void
raft_handle_append_reply(struct raft *r, uint64_t from,
    const Raft__AppendReply *m, struct node_effects *fx)
{
	struct raft_peer *p;

	if (m->match > raft_log_last_index(&r->log))
		return;
	p = raft_note_peer_reply(r, from, m->sent_us);
	if (p == NULL)
		return;
	peer_update_match(p, m->match);
	peer_update_round(r, p);
	if (m->rejected)
		peer_handle_reject(r, p, m);
	else if (p->probing && m->match + 1 >= p->next &&
	    peer_next_is_bulk(r, p))
		p->probing = false; /* an empty probe was accepted */
	raft_advance_commit(r, fx);
	if (r->role == RAFT_LEADER)
		raft_replicate_all(r);
}

static const struct raft_peer *
find_learner(const struct raft *r, uint64_t id)
{
	if (r->role != RAFT_LEADER ||
	    !raft_config_is_learner(raft_get_config(r), id))
		return NULL;
	return raft_find_peer((struct raft *)r, id);
}

/* Whether one more voter raises the number of voters that a quorum needs. */
static bool
promotion_raises_quorum(const struct raft *r)
{
	return raft_get_config(r)->nvoters % 2 != 0;
}

/* Whether a message of the peer was received within election_min_us. */
static bool
peer_answers(const struct raft *r, const struct raft_peer *p)
{
	return r->now_us < p->received_us + r->options.election_min_us;
}

bool
raft_is_learner_ready(const struct raft *r, uint64_t id)
{
	const struct raft_peer *p = find_learner(r, id);

	if (p == NULL || p->match < raft_config_index(r))
		return false;
	if (!promotion_raises_quorum(r))
		return true;
	return peer_answers(r, p) &&
	    (p->nrounds >= RAFT_CATCH_UP_ROUNDS ||
		(p->keeps_up && round_is_short(r, p)));
}

bool
raft_get_learner_progress(
    const struct raft *r, uint64_t id, struct raft_learner_progress *out)
{
	const struct raft_peer *p = find_learner(r, id);

	memset(out, 0, sizeof(*out));
	if (p == NULL)
		return false;
	out->match = p->match;
	out->config_index = raft_config_index(r);
	out->commit = r->commit;
	out->last = raft_log_last_index(&r->log);
	out->answered_us = p->received_us;
	out->round_us = p->round_started_us;
	if (p->install_index != 0) {
		out->snapshot_sent = p->install_offset;
		out->snapshot_bytes = r->snapshot.len;
	}
	return true;
}
