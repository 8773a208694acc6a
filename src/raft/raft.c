/* Creation from disk, the timers and the queries of a replicated log. */

#include <stdlib.h>
#include <string.h>

#include "raft/raft_internal.h"
#include "util/mem.h"

#ifdef MP_TEST_FAULTS
struct raft_fault raft_fault;
#endif

/*
 * Append a record from disk to the log; MP_ERR_CORRUPT unless it follows on
 * the last one.
 */
static int
disk_load_record(struct raft *r, const struct raft_record *rec)
{
	uint64_t next = raft_log_last_index(&r->log) + 1;
	struct raft_config config;

	if (rec->index != next || rec->term < raft_log_last_term(&r->log) ||
	    rec->type > RAFT_ENTRY_CONFIG)
		return MP_ERR_CORRUPT;
	raft_log_append(&r->log, rec);
	if (rec->type != RAFT_ENTRY_CONFIG || rec->index <= r->snapshot_index)
		return MP_OK;
	if (raft_config_unpack(&config, rec->data) != MP_OK)
		return MP_ERR_CORRUPT;
	raft_config_push(r, rec->index, &config);
	return MP_OK;
}

/* Load the records on disk, without those that the snapshot replaced. */
static int
disk_load_records(struct raft *r, const struct node_disk *disk)
{
	struct node_bytes rest = disk->records;
	struct raft_record rec;
	size_t i, used;
	int code;

	if (disk->record_count > 0 &&
	    (disk->first_index == 0 ||
		disk->first_index > r->snapshot_index + 1))
		return MP_ERR_CORRUPT;
	for (i = 0; i < disk->record_count; i++) {
		code = raft_record_read(&rec, &used, rest);
		if (code != MP_OK || rec.index != disk->first_index + i)
			return MP_ERR_CORRUPT;
		rest.data += used;
		rest.len -= used;
		/*
		 * Of a first record that the snapshot covers only index and
		 * term are needed, as the base of the log.
		 */
		if (i == 0 && rec.index <= r->snapshot_index) {
			raft_log_reset(&r->log, rec.index, rec.term);
			continue;
		}
		/* Records of a log that an installed snapshot replaced. */
		if (rec.index > r->snapshot_index &&
		    rec.term < r->snapshot_term)
			break;
		code = disk_load_record(r, &rec);
		if (code != MP_OK)
			return code;
	}
	return MP_OK;
}

static int
disk_load(struct raft *r, const struct node_disk *disk, struct mp_error *err)
{
	struct raft_config config;
	uint64_t term = 0;

	r->term = disk->term;
	r->vote = disk->vote;
	if (disk->snapshot_index == 0) {
		if (disk->record_count == 0)
			return MP_OK;
		return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_CORRUPT,
		    "data folder holds log records but no snapshot");
	}
	if (raft_snapshot_load(r, disk->snapshot_index, disk->snapshot_term,
		disk->snapshot, &config) != MP_OK)
		return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_CORRUPT,
		    "snapshot in the data folder cannot be unpacked");
	raft_config_push(r, r->snapshot_index, &config);
	raft_log_reset(&r->log, r->snapshot_index, r->snapshot_term);
	if (disk_load_records(r, disk) != MP_OK)
		return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_CORRUPT,
		    "log records in the data folder are not consecutive");
	if (!raft_log_get_term(&r->log, r->snapshot_index, &term) ||
	    term != r->snapshot_term) {
		raft_log_reset(&r->log, r->snapshot_index, r->snapshot_term);
		raft_config_truncate(r, r->snapshot_index + 1);
	}
	if (r->term < raft_log_last_term(&r->log)) {
		/*
		 * A crash between the two saves of raft_found_log() leaves the
		 * founding snapshot without a saved term; any other log of a
		 * greater term than the saved one is corrupt.
		 */
		if (r->snapshot_index != RAFT_FOUNDING_INDEX ||
		    r->log.count > 0)
			return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_CORRUPT,
			    "last log term is greater than the saved term");
		r->term = r->snapshot_term;
		r->vote = 0;
	}
	r->commit = r->snapshot_index;
	r->synced = raft_log_last_index(&r->log);
	r->snapshot_pending = true;
	return MP_OK;
}

int
raft_create(struct raft **out, const struct raft_options *options,
    const struct node_disk *disk, uint64_t now_us, struct mp_error *err)
{
	struct raft *r;
	int code = MP_OK;

	*out = NULL;
	if (options->self == 0 || options->election_min_us == 0 ||
	    options->heartbeat_us == 0 ||
	    options->heartbeat_us >= options->election_min_us ||
	    options->election_max_us < options->election_min_us)
		return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_INVALID,
		    "raft options are out of range or contradict each other");
	r = mem_alloc(1, sizeof(*r));
	r->options = *options;
	r->now_us = now_us;
	rng_seed(&r->rng, options->seed);
	if (disk != NULL && !disk->fresh && !disk->damaged)
		code = disk_load(r, disk, err);
	if (code != MP_OK) {
		raft_destroy(r);
		return code;
	}
	/*
	 * A leader may hold its lease because of an acknowledgement that we
	 * sent before the restart; withhold votes until that lease has ended.
	 */
	if (!raft_is_empty(r) && !RAFT_FAULT(vote_after_restart))
		r->no_vote_until_us = now_us + options->election_min_us;
	raft_reset_election_timer(r);
	*out = r;
	return MP_OK;
}

void
raft_destroy(struct raft *r)
{
	if (r == NULL)
		return;
	raft_message_drop_all(r);
	raft_log_free(&r->log);
	buf_free(&r->snapshot);
	buf_free(&r->incoming);
	free(r->configs);
	free(r->pending);
	free(r->outgoing);
	free(r->taken_message);
	free(r);
}

int
raft_found_log(struct raft *r, uint64_t now_us,
    const struct raft_config *config, struct node_effects *fx,
    struct mp_error *err)
{
	struct node_bytes none = {.data = "", .len = 0};
	struct raft_config checked;
	Raft__Config pb;

	r->now_us = now_us;
	if (!raft_is_empty(r))
		return mp_error_set(
		    err, MP_LAYER_RAFT, MP_ERR_EXISTS, "log is not empty");
	raft_config_to_pb(config, &pb);
	if (raft_config_from_pb(&checked, &pb) != MP_OK)
		return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_INVALID,
		    "founding config has invalid voters or learners");
	if (r->term < 1)
		r->term = 1;
	raft_snapshot_pack(r, RAFT_FOUNDING_INDEX, 1, &checked, none);
	raft_log_reset(&r->log, RAFT_FOUNDING_INDEX, 1);
	raft_config_push(r, RAFT_FOUNDING_INDEX, &checked);
	r->commit = RAFT_FOUNDING_INDEX;
	r->snapshot_pending = true;
	raft_save_snapshot(r, fx);
	raft_save_state(r, fx);
	raft_reset_election_timer(r);
	return MP_OK;
}

static bool
collects_pre_votes(const struct raft *r)
{
	return r->role == RAFT_CANDIDATE && r->pre_vote;
}

void
raft_tick(struct raft *r, uint64_t now_us, struct node_effects *fx)
{
	r->now_us = now_us;
	if (r->halted)
		return;
	if (r->role != RAFT_LEADER) {
		if (now_us >= r->election_due_us)
			raft_campaign(r, fx);
		else if (collects_pre_votes(r) && now_us >= r->pre_vote_due_us)
			raft_repeat_pre_vote(r);
		return;
	}
	if (now_us >= raft_quorum_received_us(r) + r->options.election_min_us) {
		raft_become_follower(r, r->term, 0, fx);
		return;
	}
	if (now_us >= r->heartbeat_due_us)
		raft_send_heartbeats(r);
}

uint64_t
raft_next_tick(const struct raft *r)
{
	uint64_t due;

	if (r->halted)
		return r->now_us + r->options.election_max_us;
	if (collects_pre_votes(r) && r->pre_vote_due_us < r->election_due_us)
		return r->pre_vote_due_us;
	if (r->role != RAFT_LEADER)
		return r->election_due_us;
	due = raft_quorum_received_us(r) + r->options.election_min_us;
	return due < r->heartbeat_due_us ? due : r->heartbeat_due_us;
}

int
raft_propose(struct raft *r, uint64_t now_us, struct node_bytes command,
    uint64_t *index, struct node_effects *fx, struct mp_error *err)
{
	r->now_us = now_us;
	if (r->role != RAFT_LEADER)
		return mp_error_set(
		    err, MP_LAYER_RAFT, MP_ERR_NOT_LEADER, "not the leader");
	if (command.len + r->uncommitted_bytes > RAFT_UNCOMMITTED_BYTES_MAX)
		return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_LIMIT,
		    "limit of uncommitted log bytes reached");
	*index = raft_log_last_index(&r->log) + 1;
	return raft_leader_append(r, RAFT_ENTRY_COMMAND, command, fx);
}

static void
entry_fill(
    struct raft_entry *out, uint64_t index, const struct raft_log_entry *entry)
{
	out->index = index;
	out->term = entry->term;
	out->type = (enum raft_entry_type)entry->type;
	out->data = raft_log_entry_data(entry);
}

bool
raft_take_committed(struct raft *r, struct raft_committed *out)
{
	memset(out, 0, sizeof(*out));
	if (r->snapshot_pending) {
		r->snapshot_pending = false;
		r->applied = r->snapshot_index;
		out->is_snapshot = true;
		out->index = r->snapshot_index;
		out->snapshot.data = r->snapshot.data + r->state_offset;
		out->snapshot.len = r->state_len;
		return true;
	}
	if (r->applied >= r->commit)
		return false;
	out->index = ++r->applied;
	entry_fill(&out->entry, out->index, raft_log_get(&r->log, out->index));
	return true;
}

int
raft_get_entry(const struct raft *r, uint64_t index, struct raft_entry *out)
{
	const struct raft_log_entry *entry = raft_log_get(&r->log, index);

	if (entry == NULL || index > r->commit)
		return MP_ERR_NOT_FOUND;
	entry_fill(out, index, entry);
	return MP_OK;
}

enum raft_role
raft_get_role(const struct raft *r)
{
	return r->role;
}

uint64_t
raft_get_leader(const struct raft *r)
{
	return r->leader;
}

uint64_t
raft_get_term(const struct raft *r)
{
	return r->term;
}

uint64_t
raft_get_commit(const struct raft *r)
{
	return r->commit;
}

uint64_t
raft_get_last_index(const struct raft *r)
{
	return raft_log_last_index(&r->log);
}

uint64_t
raft_get_snapshot_index(const struct raft *r)
{
	return r->snapshot_index;
}

size_t
raft_get_log_bytes(const struct raft *r)
{
	return r->log.bytes;
}

bool
raft_is_empty(const struct raft *r)
{
	return r->nconfigs == 0;
}

const struct raft_config *
raft_get_founding_config(const struct raft *r)
{
	if (r->nconfigs != 1 || r->snapshot_index != RAFT_FOUNDING_INDEX ||
	    raft_get_last_index(r) != RAFT_FOUNDING_INDEX)
		return NULL;
	return &r->configs[0].config;
}

bool
raft_is_halted(const struct raft *r)
{
	return r->halted;
}

uint64_t
raft_authority_until(const struct raft *r)
{
	uint64_t term = 0, acked = raft_quorum_acked_us(r);

	if (r->role != RAFT_LEADER || acked == 0)
		return 0;
	if ((!raft_log_get_term(&r->log, r->commit, &term) ||
		term != r->term) &&
	    !RAFT_FAULT(authority_before_commit))
		return 0;
	return acked + r->options.election_min_us / 100 * RAFT_LEASE_PERCENT;
}

uint64_t
raft_leader_since(const struct raft *r)
{
	return r->leader_since_us;
}
