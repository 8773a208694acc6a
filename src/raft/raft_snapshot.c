#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "raft/raft_internal.h"
#include "util/mem.h"

/*
 * Take packed snapshot bytes as ours.
 *
 * config: filled from them.
 * Errors: MP_ERR_CORRUPT; then nothing has changed.
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

/* Make this our snapshot; the state is the last field that is packed. */
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
	r->snapshot_index = index;
	r->snapshot_term = term;
	r->state_len = state.len;
	r->state_offset = len - state.len;
}

static bool
snapshot_keep(
    const struct raft *r, uint64_t base, uint64_t index, size_t *bytes)
{
	const struct raft_slot *slot = raft_log_at(&r->log, base);

	if (slot == NULL || index - base >= RAFT_MARGIN_ENTRIES)
		return false;
	*bytes += slot->len;
	return *bytes <= RAFT_MARGIN_BYTES;
}

void
raft_compact(struct raft *r, uint64_t now_us, uint64_t index,
    struct node_bytes state, struct node_effects *fx)
{
	const struct raft_config *config = raft_config_for(r, index);
	struct raft_config copy;
	uint64_t term, base = index;
	size_t bytes = 0;

	r->now_us = now_us;
	if (r->halted || config == NULL || index > r->taken ||
	    index <= r->snapshot_index || !raft_log_term(&r->log, index, &term))
		return;
	copy = *config;
	raft_snapshot_pack(r, index, term, &copy, state);
	r->snapshot_pending = false;
	raft_config_drop_front(r, index);
	raft_save_snapshot(r, fx);
	while (snapshot_keep(r, base, index, &bytes))
		base--;
	raft_log_drop_front(&r->log, base);
}

/* Send our snapshot, not more often than the other can answer. */
void
raft_install_send(struct raft *r, struct raft_peer *p)
{
	Raft__Install install = RAFT__INSTALL__INIT;
	Raft__Message m;

	if (p->install_us != 0 &&
	    r->now_us < p->install_us + r->options.election_max_us)
		return;
	p->install_us = r->now_us;
	raft_message_init(r, &m, RAFT__MESSAGE__BODY_INSTALL);
	m.install = &install;
	install.index = r->snapshot_index;
	install.term = r->snapshot_term;
	install.sent_us = r->now_us;
	install.snapshot.data = (uint8_t *)r->snapshot.data;
	install.snapshot.len = r->snapshot.len;
	install.hash = XXH64(r->snapshot.data, r->snapshot.len, 0);
	raft_message_send(r, p->id, &m);
}

static void
install_apply(struct raft *r, const Raft__Install *m, struct node_effects *fx)
{
	struct node_bytes packed = {
	    .data = (const char *)m->snapshot.data,
	    .len = m->snapshot.len,
	};
	struct raft_config config;

	if (raft_snapshot_load(r, m->index, m->term, packed, &config) != MP_OK)
		return;
	raft_log_reset(&r->log, m->index, m->term);
	r->nconfigs = 0;
	raft_config_push(r, m->index, &config);
	raft_save_forget(r, 1);
	r->commit = m->index;
	r->verified = m->index;
	r->snapshot_pending = true;
	raft_save_snapshot(r, fx);
	r->ack_owed = true;
	r->ack_sent_us = m->sent_us;
}

void
raft_install_received(struct raft *r, uint64_t from, uint64_t term,
    const Raft__Install *m, struct node_effects *fx)
{
	uint64_t own;

	if (term < r->term) {
		raft_reply_stale(r, from);
		return;
	}
	if (r->role == RAFT_LEADER || m->index == 0 || m->term > term ||
	    m->hash != XXH64(m->snapshot.data, m->snapshot.len, 0))
		return;
	if (r->role == RAFT_CANDIDATE)
		raft_become_follower(r, term, from, fx);
	raft_hear_leader(r, from);
	if (m->index > r->commit && raft_log_term(&r->log, m->index, &own) &&
	    own == m->term) {
		r->commit = m->index;
	} else if (m->index > r->commit) {
		install_apply(r, m, fx);
		return;
	}
	if (r->verified < r->commit)
		r->verified = r->commit;
	raft_reply_append(r, from, m->sent_us);
}
