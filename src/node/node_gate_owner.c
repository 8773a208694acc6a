#include <string.h>

#include "node/node_gate.h"
#include "node/node_guard.h"

/*
 * Who places, and orders, at which endpoints.
 *
 * In a small cluster the leader places all requests. In a large one no
 * instance has the processor for that: the engines are cut into shards, each
 * owned by an entry, as the members say (member_view_shards). An owner
 * orders while it may act and once the epoch by which it owns the shard is
 * active, so that no earlier owner can order any more; its fence is that epoch,
 * the log index of the change.
 */

/* Clocks differ, and the last word of the owner before may be this old. */
#define OWNER_MARGIN_US (200 * 1000ULL)

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

	/* A plain service is small: its calls are counted in one place. */
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
is_owned(void *ctx, const char *service, const char *endpoint)
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

/* ---- changes of the members --------------------------------------------- */

/*
 * How long after the change a new owner gives no order: until the lease of an
 * owner that goes on has passed. One that is gone orders nothing any more, and
 * one that stops has stopped ordering when its epoch is active. With more
 * shards than before an engine stays in its shard or moves to a new one.
 */
static uint64_t
wait_for(
    const struct node *n, const struct member_shards *before, uint32_t shard)
{
	const struct settings_gateway *s = &n->settings->gateway;
	const struct member *m;

	if (s->fenced && before->count > 1 &&
	    before->count <= n->gate->shards.count && shard < before->count) {
		m = member_view_find(n->view, before->owners[shard]);
		if (m == NULL || m->leaving)
			return 0;
	}
	return (uint64_t)s->order_lease_ms * 1000 + OWNER_MARGIN_US;
}

/* With fewer shards than before each has new engines beside those it had. */
static void
note_shard(struct node *n, const struct member_shards *before, uint32_t shard)
{
	struct gate_shard *s = &n->gate->owned[shard];

	if (n->gate->shards.owners[shard] != n->id) {
		memset(s, 0, sizeof(*s));
	} else if (s->owned_since_epoch == 0 ||
	    before->count > n->gate->shards.count) {
		s->owned_since_epoch = member_view_epoch(n->view);
		s->epoch_active = false;
		s->order_from_us = n->now + wait_for(n, before, shard);
	}
}

static void
log_owned(struct node *n)
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

/* One shard is the leader's: it goes on once the owners' lease is over. */
static void
note_whole(struct node *n, const struct member_shards *before)
{
	struct node_gate *g = n->gate;
	const struct settings_gateway *s = &n->settings->gateway;

	if (gate_is_sharded(n) || before->count <= 1)
		return;
	g->unsharded_epoch = member_view_epoch(n->view);
	g->unsharded_order_from_us =
	    n->now + (uint64_t)s->order_lease_ms * 1000 + OWNER_MARGIN_US;
}

/* Others may have owned in between what this instance owns again. */
static void
forget_owned(struct node *n)
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
	struct member_shards before;
	uint32_t i;

	if (g == NULL)
		return;
	if (skipped)
		forget_owned(n);
	before = g->shards;
	g->shards = *member_view_shards(n->view);
	for (i = 0; i < MEMBER_SHARDS_MAX; i++)
		if (i < g->shards.count && gate_is_sharded(n))
			note_shard(n, &before, i);
		else
			memset(&g->owned[i], 0, sizeof(g->owned[i]));
	note_whole(n, &before);
	place_set_owner_count(
	    g->place, gate_owns_shard(n) ? g->shards.count : 0);
	place_update_ownership(g->place, n->now);
	g->shard_engines_due_us = 0;
	log_owned(n);
}

/* ---- acting ------------------------------------------------------------- */

/* Shards whose epoch has become active. */
static void
activate(struct node *n)
{
	struct node_gate *g = n->gate;
	uint64_t active = member_holder_active_epoch(n->holder);
	struct gate_shard *s;
	bool changed = false;
	uint32_t i;

	if (!is_member(n))
		return; /* an earlier process of this instance still is */
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

/* The time after which no order may leave. */
uint64_t
gate_order_until_us(const struct node *n)
{
	if (gate_is_sharded(n))
		return node_act_until(n);
	return n->raft == NULL ? 0 : raft_authority_until(n->raft);
}

/* Entries whose requests wait here hear of this owner now and then. */
static void
tell_entry(void *ctx, uint64_t incarnation)
{
	struct node *n = ctx;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__PlaceReply reply = WIRE__PLACE_REPLY__INIT;
	const uint32_t *to = map_get_u64(n->gate->entries, incarnation);
	struct gate_owner *told;

	if (to == NULL || *to == n->id)
		return;
	told = gate_owner_get(n, *to);
	if (n->now < told->notice_sent_us + GATE_WAIT_NOTICE_INTERVAL_US)
		return;
	told->notice_sent_us = n->now;
	reply.status = WIRE__PLACE_STATUS__PLACE_WAITS;
	reply.load_ms = place_load_ms(n->gate->place);
	envelope.body_case = WIRE__ENVELOPE__BODY_PLACE_REPLY;
	envelope.place_reply = &reply;
	node_peer_send(n, *to, &envelope);
}

void
gate_owner_tick(struct node *n)
{
	if (!gate_owns_shard(n))
		return;
	activate(n);
	if (n->now < n->gate->wait_notice_due_us)
		return;
	n->gate->wait_notice_due_us = n->now + GATE_WAIT_NOTICE_INTERVAL_US / 3;
	place_each_waiting_entry(n->gate->place, tell_entry, n);
}

void
gate_owner_init(struct node *n)
{
	n->gate->shards = *member_view_shards(n->view);
	n->gate->shards_logged = n->gate->shards.count;
	place_set_ownership_fn(n->gate->place, is_owned, n);
}
