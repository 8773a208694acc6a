/*
 * Snapshots: log compaction, and the transfer to peers that need compacted
 * entries. A snapshot is sent in parts; a part follows when the one before
 * is answered.
 */

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "raft/raft_internal.h"
#include "util/mem.h"

/*
 * Replace our snapshot by packed snapshot bytes.
 *
 * config: set to the config of the snapshot.
 * Errors: MP_ERR_CORRUPT; our snapshot is unchanged then.
 */
int
raft_snapshot_load(struct raft *r, uint64_t index, uint64_t term,
    struct node_bytes packed, struct raft_config *config)
{
	Raft__Snapshot *pb = raft__snapshot__unpack(
	    NULL, packed.len, (const uint8_t *)packed.data);
	int code = MP_ERR_CORRUPT;

	if (pb == NULL)
		return code;
	if (pb->config == NULL ||
	    raft_config_from_pb(config, pb->config) != MP_OK)
		goto cleanup;
	raft_snapshot_pack(r, index, term, config,
	    (struct node_bytes){
		.data = (const char *)pb->state.data,
		.len = pb->state.len,
	    });
	code = MP_OK;
cleanup:
	raft__snapshot__free_unpacked(pb, NULL);
	return code;
}

/*
 * Replace our snapshot. The state is the last field packed, so it can be
 * read from the end of the packed bytes.
 */
void
raft_snapshot_pack(struct raft *r, uint64_t index, uint64_t term,
    const struct raft_config *config, struct node_bytes state)
{
	Raft__Snapshot pb = RAFT__SNAPSHOT__INIT;
	Raft__Config pbc;
	char *bytes;
	size_t len;

	raft_config_to_pb(config, &pbc);
	pb.config = &pbc;
	pb.state.data = (uint8_t *)state.data;
	pb.state.len = state.len;
	len = raft__snapshot__get_packed_size(&pb);
	bytes = mem_alloc(len + 1, 1);
	raft__snapshot__pack(&pb, (uint8_t *)bytes);
	buf_free(&r->snapshot);
	r->snapshot.data = bytes;
	r->snapshot.len = len;
	r->snapshot.cap = len + 1;
	r->snapshot_hash = XXH64(bytes, len, 0);
	r->snapshot_index = index;
	r->snapshot_term = term;
	r->state_len = state.len;
	r->state_offset = len - state.len;
}

/*
 * True if the entry at base fits the limits of entries kept before the
 * snapshot index.
 *
 * bytes: sum of the kept entries' lengths, increased by this one.
 */
static bool
compact_can_keep(
    const struct raft *r, uint64_t base, uint64_t index, size_t *bytes)
{
	const struct raft_log_entry *entry = raft_log_get(&r->log, base);

	if (entry == NULL || index - base >= RAFT_COMPACT_KEEP_ENTRIES)
		return false;
	*bytes += entry->len;
	return *bytes <= RAFT_COMPACT_KEEP_BYTES;
}

void
raft_compact(struct raft *r, uint64_t now_us, uint64_t index,
    struct node_bytes state, struct node_effects *fx)
{
	const struct raft_config *config = raft_config_at_index(r, index);
	struct raft_config copy;
	uint64_t term, base = index;
	size_t bytes = 0;

	r->now_us = now_us;
	if (r->halted || config == NULL || index > r->applied ||
	    index <= r->snapshot_index ||
	    !raft_log_get_term(&r->log, index, &term))
		return;
	copy = *config;
	raft_snapshot_pack(r, index, term, &copy, state);
	r->snapshot_pending = false;
	raft_config_drop_front(r, index);
	raft_save_snapshot(r, fx);
	while (compact_can_keep(r, base, index, &bytes))
		base--;
	raft_log_drop_front(&r->log, base);
}

/*
 * Send the next part of our snapshot. A part without an answer is sent again
 * after election_min_us.
 */
void
raft_send_install(struct raft *r, struct raft_peer *p)
{
	Raft__Install install = RAFT__INSTALL__INIT;
	Raft__Message m;
	size_t remaining;

	if (p->install_index != r->snapshot_index) {
		p->install_index = r->snapshot_index;
		p->install_offset = 0;
		p->install_sent_us = 0;
	}
	if (p->install_sent_us != 0 &&
	    r->now_us < p->install_sent_us + r->options.election_min_us)
		return;
	p->install_sent_us = r->now_us;
	raft_message_init(r, &m, RAFT__MESSAGE__BODY_INSTALL);
	m.install = &install;
	install.index = r->snapshot_index;
	install.term = r->snapshot_term;
	install.sent_us = r->now_us;
	install.hash = r->snapshot_hash;
	install.total = r->snapshot.len;
	install.offset = p->install_offset;
	remaining = r->snapshot.len - (size_t)p->install_offset;
	install.part.data = (uint8_t *)r->snapshot.data + p->install_offset;
	install.part.len = remaining < r->options.batch_bytes
	    ? remaining
	    : r->options.batch_bytes;
	raft_message_send(r, p->id, &m);
}

void
raft_handle_install_reply(
    struct raft *r, uint64_t from, const Raft__InstallReply *m)
{
	struct raft_peer *p = raft_note_peer_reply(r, from, m->sent_us);

	if (p == NULL || m->index != p->install_index ||
	    m->index != r->snapshot_index || m->offset >= r->snapshot.len ||
	    m->offset == p->install_offset)
		return;
	p->install_offset = m->offset;
	p->install_sent_us = 0;
	raft_send_install(r, p);
}

/*
 * Store a part of a snapshot. A part out of order is ignored; the answer
 * carries the offset wanted next. False for invalid sizes.
 */
static bool
install_add_part(struct raft *r, const Raft__Install *m)
{
	if (m->total > RAFT_INSTALL_BYTES_MAX || m->part.len == 0 ||
	    m->part.len > m->total || m->offset > m->total - m->part.len)
		return false;
	if (r->incoming_index != m->index || r->incoming_hash != m->hash) {
		buf_clear(&r->incoming);
		r->incoming_index = m->index;
		r->incoming_hash = m->hash;
	}
	if (m->offset == r->incoming.len)
		buf_append(&r->incoming, m->part.data, m->part.len);
	return true;
}

static void
install_reply(struct raft *r, uint64_t to, const Raft__Install *m)
{
	Raft__InstallReply reply = RAFT__INSTALL_REPLY__INIT;
	Raft__Message out;

	raft_message_init(r, &out, RAFT__MESSAGE__BODY_INSTALL_REPLY);
	out.install_reply = &reply;
	reply.index = m->index;
	reply.sent_us = m->sent_us;
	reply.offset = r->incoming.len;
	raft_message_send(r, to, &out);
}

/* All parts are received: replace the log by the snapshot. */
static void
install_apply(struct raft *r, const Raft__Install *m, struct node_effects *fx)
{
	struct node_bytes packed = {
	    .data = r->incoming.data,
	    .len = r->incoming.len,
	};
	struct raft_config config;

	if (XXH64(packed.data, packed.len, 0) != m->hash ||
	    raft_snapshot_load(r, m->index, m->term, packed, &config) != MP_OK)
		return;
	raft_log_reset(&r->log, m->index, m->term);
	r->nconfigs = 0;
	raft_config_push(r, m->index, &config);
	raft_save_truncate(r, 1);
	r->commit = m->index;
	r->verified = m->index;
	r->snapshot_pending = true;
	raft_save_snapshot(r, fx);
	r->ack_pending = true;
	r->ack_sent_us = m->sent_us;
}

static void
install_handle_part(struct raft *r, uint64_t from, const Raft__Install *m,
    struct node_effects *fx)
{
	if (!install_add_part(r, m))
		return;
	if (r->incoming.len < m->total) {
		install_reply(r, from, m);
		return;
	}
	install_apply(r, m, fx);
	buf_free(&r->incoming);
	r->incoming_index = 0;
}

void
raft_handle_install(struct raft *r, uint64_t from, uint64_t term,
    const Raft__Install *m, struct node_effects *fx)
{
	uint64_t own_term;

	if (term < r->term) {
		raft_send_stale_reply(r, from);
		return;
	}
	if (r->role == RAFT_LEADER || m->index == 0 || m->term > term)
		return;
	if (r->role == RAFT_CANDIDATE)
		raft_become_follower(r, term, from, fx);
	raft_note_leader(r, from);
	if (m->index > r->commit &&
	    raft_log_get_term(&r->log, m->index, &own_term) &&
	    own_term == m->term) {
		r->commit = m->index;
	} else if (m->index > r->commit) {
		install_handle_part(r, from, m, fx);
		return;
	}
	if (r->verified < r->commit)
		r->verified = r->commit;
	raft_send_append_reply(r, from, m->sent_us);
}
