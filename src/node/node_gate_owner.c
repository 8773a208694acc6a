#include <string.h>

#include "node/node_gate.h"
#include "node/node_guard.h"

/*
 * Shards and their owners: which instance places requests on an endpoint and
 * sends orders to it.
 *
 * In a small cluster the leader places all requests. In a large one no single
 * instance has the processor time for that. The engines are divided into
 * shards, each owned by an entry, as computed from the members
 * (member_view_shards()). An owner sends orders while it may act and once the
 * epoch in which it became the owner is active, since no earlier owner can send
 * orders any more by then. Its fence, the fencing token of its orders, is that
 * epoch: the log index of the membership change.
 */

/*
 * Added to the order lease for the difference of clocks and the age of the last
 * message from the previous owner.
 */
#define TAKEOVER_MARGIN_US (200 * 1000ULL)

bool
gate_is_sharded(const struct node *n)
{
	return n->gate->shards.count > 1;
}

uint32_t
gate_shard_of(const struct node *n, const char *service, const char *endpoint)
{
	const struct gw_service *s = n->gate->config == NULL
	    ? NULL
	    : gw_config_find_service(n->gate->config, service);

	/* A plain service is small: one owner counts all of its calls. */
	return member_shard_of(&n->gate->shards,
	    s != NULL && s->has_engine && endpoint != NULL ? endpoint
							   : service);
}

bool
gate_owns_shard(const struct node *n)
{
	uint32_t i;

	for (i = 0; gate_is_sharded(n) && i < n->gate->shards.count; i++)
		if (n->gate->owned[i].owned_since_epoch != 0)
			return true;
	return false;
}

bool
gate_is_owner(const struct node *n, uint32_t instance)
{
	uint32_t i;

	for (i = 0; i < n->gate->shards.count; i++)
		if (n->gate->shards.owners[i] == instance)
			return true;
	return false;
}

static struct place_ownership
get_ownership(void *ctx, const char *service, const char *endpoint)
{
	const struct node *n = ctx;
	const struct gate_shard *shard;
	struct place_ownership o = {true, 0};

	if (!gate_is_sharded(n))
		return o;
	shard = &n->gate->owned[gate_shard_of(n, service, endpoint)];
	o.is_owned = shard->owned_since_epoch != 0;
	o.order_from_us =
	    shard->epoch_active ? shard->order_from_us : UINT64_MAX;
	return o;
}

uint64_t
gate_fence_of(const struct node *n, const char *service, const char *endpoint)
{
	const struct node_gate *g = n->gate;

	if (gate_is_sharded(n))
		return g->owned[gate_shard_of(n, service, endpoint)]
		    .owned_since_epoch;
	return g->fence > g->unsharded_epoch ? g->fence : g->unsharded_epoch;
}

static bool
is_member(const struct node *n)
{
	const struct member *m = member_view_find(n->view, n->id);

	return m != NULL && m->incarnation == n->incarnation;
}

/* ---- membership changes ------------------------------------------------- */

/*
 * Returns how long after a membership change the new owner of a shard sends no
 * orders, in microseconds: until the order lease of a previous owner that keeps
 * running has expired. A previous owner that is gone sends no more orders, and
 * one that leaves has stopped sending them once the new epoch is active; where
 * endpoints check fences, neither needs a wait, nor does an earlier process of
 * this instance. That holds only while the number of shards does not shrink:
 * with more shards than before, an engine stays in its shard or moves to a new
 * one.
 */
static uint64_t
takeover_wait_us(
    const struct node *n, const struct member_shards *previous, uint32_t shard)
{
	const struct settings_gateway *s = &n->settings->gateway;
	const struct member *m;

	if (s->fenced && previous->count > 1 &&
	    previous->count <= n->gate->shards.count &&
	    shard < previous->count) {
		m = member_view_find(n->view, previous->owners[shard]);
		if (m == NULL || m->leaving || m->id == n->id)
			return 0;
	}
	return (uint64_t)s->order_lease_ms * 1000 + TAKEOVER_MARGIN_US;
}

/* Whether this process has become a member by the newest change. */
static bool
has_just_joined(const struct node *n)
{
	const struct member *m = member_view_find(n->view, n->id);

	return is_member(n) && m->joined == member_view_epoch(n->view);
}

/*
 * Updates the ownership of a shard after a membership change. With fewer shards
 * than before each shard has received engines of others, so that ownership
 * starts anew. It also does when this process takes the place of an earlier
 * one of this instance, with another fence; what that one ordered last was
 * before this one began to wait.
 */
static void
update_shard(
    struct node *n, const struct member_shards *previous, uint32_t shard)
{
	struct gate_shard *s = &n->gate->owned[shard];
	uint64_t order_from_us = n->now + takeover_wait_us(n, previous, shard);

	if (n->gate->shards.owners[shard] != n->id) {
		memset(s, 0, sizeof(*s));
	} else if (s->owned_since_epoch == 0 ||
	    previous->count > n->gate->shards.count) {
		s->owned_since_epoch = member_view_epoch(n->view);
		s->epoch_active = false;
		s->order_from_us = order_from_us;
	} else if (has_just_joined(n)) {
		s->owned_since_epoch = member_view_epoch(n->view);
		s->epoch_active = false;
		if (order_from_us < s->order_from_us)
			s->order_from_us = order_from_us;
	}
}

static void
log_owned_shards(struct node *n)
{
	const struct node_gate *g = n->gate;
	uint32_t i, owned = 0;

	for (i = 0; gate_is_sharded(n) && i < g->shards.count; i++)
		owned += g->owned[i].owned_since_epoch != 0;
	if (owned == g->owned_logged && g->shards.count == g->shards_logged)
		return;
	n->gate->owned_logged = owned;
	n->gate->shards_logged = g->shards.count;
	node_log(n, NODE_LOG_GATE_SHARDS,
	    "{\"shards\": %u, \"owned\": %u, \"epoch\": %llu}", g->shards.count,
	    owned, (unsigned long long)member_view_epoch(n->view));
}

/*
 * Hands all engines back to the leader when the cluster is no longer sharded.
 * The leader sends no orders until the order lease of the owners has expired.
 */
static void
update_unsharded(struct node *n, const struct member_shards *previous)
{
	struct node_gate *g = n->gate;
	const struct settings_gateway *s = &n->settings->gateway;

	if (gate_is_sharded(n) || previous->count <= 1)
		return;
	g->unsharded_epoch = member_view_epoch(n->view);
	g->unsharded_order_from_us =
	    n->now + (uint64_t)s->order_lease_ms * 1000 + TAKEOVER_MARGIN_US;
}

/*
 * Clears all ownership. Changes were skipped, and in between others may have
 * owned what this instance owns again.
 */
static void
clear_owned(struct node *n)
{
	struct node_gate *g = n->gate;

	if (gate_is_sharded(n)) {
		memset(g->owned, 0, sizeof(g->owned));
		place_update_ownership(g->place, n->now);
	}
	memset(&g->shards, 0, sizeof(g->shards));
}

void
node_gate_on_epoch(struct node *n, bool skipped)
{
	struct node_gate *g = n->gate;
	struct member_shards previous;
	uint32_t i;

	if (g == NULL)
		return;
	if (skipped)
		clear_owned(n);
	previous = g->shards;
	g->shards = *member_view_shards(n->view);
	for (i = 0; i < MEMBER_SHARDS_MAX; i++)
		if (i < g->shards.count && gate_is_sharded(n))
			update_shard(n, &previous, i);
		else
			memset(&g->owned[i], 0, sizeof(g->owned[i]));
	update_unsharded(n, &previous);
	place_set_owner_count(
	    g->place, gate_owns_shard(n) ? g->shards.count : 0);
	place_update_ownership(g->place, n->now);
	g->shard_engines_due_us = 0;
	gate_quota_owner_on_epoch(n, skipped);
	log_owned_shards(n);
}

/* ---- orders and notices ------------------------------------------------- */

/* Marks the owned shards whose epoch has become active. */
static void
activate_shards(struct node *n)
{
	struct node_gate *g = n->gate;
	uint64_t active = member_holder_active_epoch(n->holder);
	struct gate_shard *s;
	bool changed = false;
	uint32_t i;

	/* The member may still be an earlier process of this instance. */
	if (!is_member(n))
		return;
	for (i = 0; i < g->shards.count; i++) {
		s = &g->owned[i];
		if (s->owned_since_epoch == 0 || s->epoch_active ||
		    (active < s->owned_since_epoch && node_guards.gate_active))
			continue;
		s->epoch_active = changed = true;
	}
	if (changed)
		place_update_ownership(g->place, n->now);
}

bool
gate_may_order(const struct node *n)
{
	if (gate_is_sharded(n))
		return gate_owns_shard(n) && node_may_act(n);
	return n->gate->placing && gate_has_authority(n) &&
	    n->now >= n->gate->order_after_us &&
	    n->now >= n->gate->unsharded_order_from_us;
}

uint64_t
gate_order_until_us(const struct node *n)
{
	if (gate_is_sharded(n))
		return node_act_until(n);
	return n->raft == NULL ? 0 : raft_authority_until(n->raft);
}

/* Notifies an entry with requests queued here that this owner is alive. */
static void
send_queue_notice(void *ctx, uint64_t incarnation)
{
	struct node *n = ctx;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__PlaceReply reply = WIRE__PLACE_REPLY__INIT;
	const uint32_t *to = map_get_u64(n->gate->entries, incarnation);
	struct gate_owner *entry;

	if (to == NULL || *to == n->id)
		return;
	entry = gate_owner_get(n, *to);
	if (n->now < entry->notice_sent_us + GATE_WAIT_NOTICE_INTERVAL_US)
		return;
	entry->notice_sent_us = n->now;
	reply.status = WIRE__PLACE_STATUS__PLACE_WAITS;
	reply.load_ms = place_load_ms(n->gate->place);
	envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_REPLY;
	envelope.place_reply = &reply;
	node_peer_reply(n, *to, incarnation, &envelope);
}

void
gate_owner_tick(struct node *n)
{
	if (!gate_owns_shard(n))
		return;
	activate_shards(n);
	if (n->now < n->gate->wait_notice_due_us)
		return;
	n->gate->wait_notice_due_us = n->now + GATE_WAIT_NOTICE_INTERVAL_US / 3;
	place_each_waiting_entry(n->gate->place, send_queue_notice, n);
}

void
gate_owner_init(struct node *n)
{
	n->gate->shards = *member_view_shards(n->view);
	n->gate->shards_logged = n->gate->shards.count;
	place_set_ownership_fn(n->gate->place, get_ownership, n);
}
