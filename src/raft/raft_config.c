/* The membership: voters, learners and changes of one member at a time. */

#include <stdlib.h>
#include <string.h>

#include "raft/raft_internal.h"
#include "util/mem.h"

static const struct raft_config raft_empty_config;

static bool
ids_contain(const uint64_t *ids, size_t n, uint64_t id)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (ids[i] == id)
			return true;
	}
	return false;
}

/* Remove an id from a list; false when the list does not hold it. */
static bool
ids_remove(uint64_t *ids, size_t *n, uint64_t id)
{
	size_t i, nkept = 0;
	bool found;

	for (i = 0; i < *n; i++) {
		if (ids[i] != id)
			ids[nkept++] = ids[i];
	}
	found = nkept < *n;
	*n = nkept;
	return found;
}

bool
raft_config_is_voter(const struct raft_config *c, uint64_t id)
{
	return ids_contain(c->voters, c->nvoters, id);
}

bool
raft_config_is_learner(const struct raft_config *c, uint64_t id)
{
	return ids_contain(c->learners, c->nlearners, id);
}

/* Check and copy a config; MP_ERR_INVALID for invalid or duplicate ids. */
int
raft_config_from_pb(struct raft_config *out, const Raft__Config *pb)
{
	size_t i;

	memset(out, 0, sizeof(*out));
	if (pb->n_voters == 0 || pb->n_voters > RAFT_VOTERS_MAX ||
	    pb->n_learners > RAFT_VOTERS_MAX)
		return MP_ERR_INVALID;
	for (i = 0; i < pb->n_voters; i++) {
		if (pb->voters[i] == 0 ||
		    raft_config_is_voter(out, pb->voters[i]))
			return MP_ERR_INVALID;
		out->voters[out->nvoters++] = pb->voters[i];
	}
	for (i = 0; i < pb->n_learners; i++) {
		if (pb->learners[i] == 0 ||
		    raft_config_is_voter(out, pb->learners[i]) ||
		    raft_config_is_learner(out, pb->learners[i]))
			return MP_ERR_INVALID;
		out->learners[out->nlearners++] = pb->learners[i];
	}
	return MP_OK;
}

/* Point pb at the ids of a config for packing; valid as long as c. */
void
raft_config_to_pb(const struct raft_config *c, Raft__Config *pb)
{
	raft__config__init(pb);
	pb->n_voters = c->nvoters;
	pb->voters = (uint64_t *)c->voters;
	pb->n_learners = c->nlearners;
	pb->learners = (uint64_t *)c->learners;
}

void
raft_config_pack(const struct raft_config *c, struct buf *out)
{
	Raft__Config pb;
	char *bytes;
	size_t len;

	raft_config_to_pb(c, &pb);
	len = raft__config__get_packed_size(&pb);
	bytes = mem_alloc(len + 1, 1);
	raft__config__pack(&pb, (uint8_t *)bytes);
	buf_append(out, bytes, len);
	free(bytes);
}

int
raft_config_unpack(struct raft_config *out, struct node_bytes bytes)
{
	Raft__Config *pb =
	    raft__config__unpack(NULL, bytes.len, (const uint8_t *)bytes.data);
	int code;

	if (pb == NULL)
		return MP_ERR_INVALID;
	code = raft_config_from_pb(out, pb);
	raft__config__free_unpacked(pb, NULL);
	return code;
}

const struct raft_config *
raft_get_config(const struct raft *r)
{
	if (r->nconfigs == 0)
		return &raft_empty_config;
	return &r->configs[r->nconfigs - 1].config;
}

/* The index of the newest config, 0 for none. */
uint64_t
raft_config_index(const struct raft *r)
{
	return r->nconfigs == 0 ? 0 : r->configs[r->nconfigs - 1].index;
}

bool
raft_is_voter(const struct raft *r)
{
	return raft_config_is_voter(raft_get_config(r), r->options.self);
}

/*
 * The config that is in force again if the uncommitted newest one is
 * truncated, or NULL.
 */
static const struct raft_config *
config_fallback(const struct raft *r)
{
	if (r->nconfigs < 2 || raft_config_index(r) <= r->commit)
		return NULL;
	return &r->configs[r->nconfigs - 2].config;
}

/*
 * Voters can campaign. So can a voter that an uncommitted change removes:
 * the other voters may need its log to commit that change.
 */
bool
raft_can_campaign(const struct raft *r)
{
	const struct raft_config *c = config_fallback(r);

	return raft_is_voter(r) ||
	    (c != NULL && raft_config_is_voter(c, r->options.self));
}

/*
 * Learners can vote as well: a learner may already be a voter without having
 * received the config that promotes it.
 */
bool
raft_can_vote(const struct raft *r)
{
	return raft_can_campaign(r) ||
	    raft_config_is_learner(raft_get_config(r), r->options.self);
}

/* The config in force at an index; NULL for none. */
const struct raft_config *
raft_config_at_index(const struct raft *r, uint64_t index)
{
	size_t i;

	for (i = r->nconfigs; i > 0; i--) {
		if (r->configs[i - 1].index <= index)
			return &r->configs[i - 1].config;
	}
	return NULL;
}

/* Record a config; it takes effect when its entry is appended. */
void
raft_config_push(struct raft *r, uint64_t index, const struct raft_config *c)
{
	if (r->nconfigs == r->configs_cap) {
		r->configs_cap = r->configs_cap == 0 ? 4 : r->configs_cap * 2;
		r->configs =
		    mem_resize(r->configs, r->configs_cap, sizeof(*r->configs));
	}
	r->configs[r->nconfigs].index = index;
	r->configs[r->nconfigs].config = *c;
	r->nconfigs++;
	if (r->role == RAFT_LEADER)
		raft_config_sync_peers(r);
}

/* Entries from index on were truncated: return to the config before. */
void
raft_config_truncate(struct raft *r, uint64_t index)
{
	while (r->nconfigs > 0 && r->configs[r->nconfigs - 1].index >= index)
		r->nconfigs--;
}

/* Drop the configs older than the one in force at index. */
void
raft_config_drop_front(struct raft *r, uint64_t index)
{
	size_t n = 0;

	while (n + 1 < r->nconfigs && r->configs[n + 1].index <= index)
		n++;
	r->nconfigs -= n;
	memmove(r->configs, r->configs + n, r->nconfigs * sizeof(*r->configs));
}

static void
peer_add(struct raft *r, uint64_t id)
{
	struct raft_peer *p = raft_find_peer(r, id);

	if (id == r->options.self)
		return;
	if (p == NULL) {
		if (r->npeers == RAFT_PEERS_MAX)
			return;
		p = &r->peers[r->npeers++];
		memset(p, 0, sizeof(*p));
		p->id = id;
		p->next = raft_log_last_index(&r->log) + 1;
		p->probing = true;
		p->received_us = r->now_us;
		raft_start_round(r, p);
	}
	p->removed = false;
}

/*
 * Update the leader's peers to its newest config. A removed member stays a
 * peer until the change is committed.
 */
void
raft_config_sync_peers(struct raft *r)
{
	const struct raft_config *c = raft_get_config(r);
	size_t i;

	for (i = 0; i < r->npeers; i++)
		r->peers[i].removed = true;
	for (i = 0; i < c->nvoters; i++)
		peer_add(r, c->voters[i]);
	for (i = 0; i < c->nlearners; i++)
		peer_add(r, c->learners[i]);
}

/*
 * Once the newest config is committed, drop the peers that it removed, after
 * a last heartbeat that sends them the commit index. A leader that is no
 * longer a voter steps down.
 */
void
raft_config_finish_change(struct raft *r, struct node_effects *fx)
{
	size_t i, nkept = 0;

	if (raft_config_index(r) > r->commit)
		return;
	for (i = 0; i < r->npeers && !r->peers[i].removed; i++)
		;
	if (i < r->npeers || !raft_is_voter(r))
		raft_send_heartbeats(r);
	for (i = 0; i < r->npeers; i++) {
		if (!r->peers[i].removed)
			r->peers[nkept++] = r->peers[i];
	}
	r->npeers = nkept;
	if (!raft_is_voter(r))
		raft_become_follower(r, r->term, 0, fx);
}

/* Remove the ids of one instance from a list; returns how many there were. */
static size_t
ids_remove_instance(uint64_t *ids, size_t *n, uint32_t instance)
{
	size_t i, nkept = 0, nremoved;

	for (i = 0; i < *n; i++) {
		if (RAFT_ID_INSTANCE(ids[i]) != instance)
			ids[nkept++] = ids[i];
	}
	nremoved = *n - nkept;
	*n = nkept;
	return nremoved;
}

/*
 * Add a learner in place of the earlier data folders of its instance. At most
 * one of these is a voter, so that old and new quorums share a voter.
 */
static int
config_add_learner(struct raft_config *c, uint64_t id)
{
	uint32_t instance = RAFT_ID_INSTANCE(id);

	if (id == 0 || raft_config_is_voter(c, id) ||
	    raft_config_is_learner(c, id))
		return MP_ERR_INVALID;
	(void)ids_remove_instance(c->learners, &c->nlearners, instance);
	if (ids_remove_instance(c->voters, &c->nvoters, instance) > 1 ||
	    c->nvoters == 0 || c->nlearners == RAFT_VOTERS_MAX)
		return MP_ERR_INVALID;
	c->learners[c->nlearners++] = id;
	return MP_OK;
}

/* Apply a change to c; MP_ERR_INVALID when it is not applicable. */
static int
config_apply_change(struct raft_config *c, enum raft_change change, uint64_t id)
{
	switch (change) {
	case RAFT_ADD_LEARNER:
		return config_add_learner(c, id);
	case RAFT_PROMOTE:
		if (c->nvoters == RAFT_VOTERS_MAX ||
		    !ids_remove(c->learners, &c->nlearners, id))
			return MP_ERR_INVALID;
		c->voters[c->nvoters++] = id;
		return MP_OK;
	case RAFT_REMOVE:
		if (ids_remove(c->learners, &c->nlearners, id))
			return MP_OK;
		if (c->nvoters < 2 || !ids_remove(c->voters, &c->nvoters, id))
			return MP_ERR_INVALID;
		return MP_OK;
	}
	return MP_ERR_INVALID;
}

/*
 * True when the leader and the voters whose messages were received within
 * election_min_us form a quorum of the config.
 */
static bool
config_has_live_quorum(const struct raft *r, const struct raft_config *c)
{
	size_t i, live = 0;

	for (i = 0; i < c->nvoters; i++) {
		const struct raft_peer *p =
		    raft_find_peer((struct raft *)r, c->voters[i]);

		if (c->voters[i] == r->options.self ||
		    (p != NULL &&
			p->received_us + r->options.election_min_us >
			    r->now_us))
			live++;
	}
	return live >= c->nvoters / 2 + 1;
}

int
raft_change_config(struct raft *r, uint64_t now_us, enum raft_change change,
    uint64_t id, struct node_effects *fx, struct mp_error *err)
{
	struct raft_config config = *raft_get_config(r);
	struct node_bytes data;
	struct buf b = {0};
	uint64_t term = 0;
	int code;

	r->now_us = now_us;
	if (r->role != RAFT_LEADER)
		return mp_error_set(
		    err, MP_LAYER_RAFT, MP_ERR_NOT_LEADER, "not the leader");
	(void)raft_log_get_term(&r->log, r->commit, &term);
	if (!RAFT_FAULT(concurrent_changes) &&
	    (raft_config_index(r) > r->commit || term != r->term))
		return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_UNAVAILABLE,
		    "previous membership change is not committed yet");
	if (config_apply_change(&config, change, id) != MP_OK)
		return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_INVALID,
		    "change does not apply to the current membership");
	if (change == RAFT_PROMOTE && !raft_is_learner_ready(r, id))
		return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_UNAVAILABLE,
		    "learner has not caught up with the leader's log");
	if (config.nvoters != raft_get_config(r)->nvoters &&
	    !config_has_live_quorum(r, &config))
		return mp_error_set(err, MP_LAYER_RAFT, MP_ERR_UNAVAILABLE,
		    "change would leave no quorum of reachable voters");
	raft_config_pack(&config, &b);
	data.data = b.data;
	data.len = b.len;
	code = raft_leader_append(r, RAFT_ENTRY_CONFIG, data, fx);
	buf_free(&b);
	return code;
}
