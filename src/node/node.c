#include <stdlib.h>
#include <string.h>

#include "node/node_gate.h"
#include "node/node_guard.h"
#include "node/node_internal.h"
#include "util/mem.h"

/* The reducer: creation, dispatch of events, and shutdown. */

/*
 * Whether this instance may found a cluster. Where instances are found by
 * seeds, only the seeds may, and only when the settings say that this is the
 * first start.
 */
static bool
may_found(const struct settings *s)
{
	size_t i;

	if (s->nseeds == 0)
		return true;
	for (i = 0; s->gateway.founding && i < s->npeers; i++)
		if (s->peers[i].id == s->id)
			return true;
	return false;
}

static int
node_create_raft(
    struct node *n, const struct node_boot *boot, struct mp_error *err)
{
	struct raft_options options = {0};

	if (boot->disk == NULL)
		return 0;
	n->voter = RAFT_ID(boot->disk->incarnation, n->id);
	n->may_found =
	    boot->disk->fresh && !boot->disk->damaged && may_found(n->settings);
	options.self = n->voter;
	options.seed = boot->seed ^ n->voter;
	options.heartbeat_us = NODE_HEARTBEAT_US;
	options.election_min_us = NODE_ELECTION_MIN_US;
	options.election_max_us = NODE_ELECTION_MAX_US;
	options.batch_bytes = NODE_RAFT_BATCH_BYTES;
	options.bulk_bytes = NODE_RAFT_BATCH_BYTES;
	return raft_create(&n->raft, &options, boot->disk, boot->now_us, err);
}

static int
node_create_sched(
    struct node *n, const struct node_boot *boot, struct mp_error *err)
{
	struct sched_options options = {0};

	options.policy = n->settings->policy;
	options.objective = n->settings->objective;
	options.charge = n->settings->charge;
	options.load_ms = n->settings->load_ms;
	options.seed = boot->seed;
	return sched_create(&n->sched, &options, err);
}

static void
node_create_tables(struct node *n)
{
	struct route_options options = {n->id, n->incarnation};

	n->view = member_view_create();
	n->queue = node_queue_create();
	n->book = doc_table_create();
	n->claims = claim_table_create();
	node_recent_create(n);
	n->holder = member_holder_create(n->id, n->incarnation);
	n->lessor = member_lessor_create(n->settings->store_in_flight,
	    n->settings->store_loads_per_second_milli);
	n->proposals = map_create();
	n->endpoints = map_create();
	n->grants = map_create();
	n->grants_by_ask = map_create();
	n->orders = map_create();
	n->usage_sent = map_create();
	n->asks = map_create();
	n->rates = map_create();
	n->peers = map_create();
	n->adapter_holders = map_create();
	n->route = route_create(&options, &node_route_ops, n);
}

uint64_t
node_wall_ms(const struct node *n)
{
	return n->boot_wall_ms + (n->now - n->boot_us) / 1000;
}

int
node_create(
    struct node **out, const struct node_boot *boot, struct mp_error *err)
{
	struct node *n = mem_alloc(1, sizeof(*n));
	int rc;

	n->settings = boot->settings;
	n->id = boot->settings->id;
	n->incarnation = boot->incarnation;
	n->now = n->boot_us = boot->now_us;
	n->boot_wall_ms = boot->wall_ms;
	n->standing = MEMBER_ALONE;
	rng_seed(&n->rng, boot->seed);
	node_create_tables(n);
	rc = node_create_raft(n, boot, err);
	if (rc == 0)
		rc = node_create_sched(n, boot, err);
	if (rc == 0 && boot->codec != NULL && settings_has_gateway(n->settings))
		node_gate_create(n, boot);
	if (rc != 0) {
		node_destroy(n);
		return mp_error_wrap(
		    err, MP_LAYER_NODE, rc, "cannot start the node");
	}
	*out = n;
	return 0;
}

static void
peer_free(struct node_peer *peer)
{
	size_t i;

	for (i = 0; i < peer->nservices; i++)
		free(peer->services[i]);
	free(peer->services);
	map_destroy(peer->team_loads);
	free(peer);
}

/* Defines a destructor of map values for map_destroy_all(). */
#define DEFINE_DESTROY(name, type, call)                                       \
	static void name(void *p)                                              \
	{                                                                      \
		call((struct type *)(p));                                      \
	}
DEFINE_DESTROY(destroy_peer, node_peer, peer_free)
DEFINE_DESTROY(destroy_endpoint, node_endpoint, node_endpoint_free)
DEFINE_DESTROY(destroy_grant, node_grant, node_grant_free)
DEFINE_DESTROY(destroy_order, node_order, node_order_free)
DEFINE_DESTROY(destroy_rate, node_rate, node_rate_free)
DEFINE_DESTROY(destroy_proposal, node_proposal, node_propose_free)

void
node_destroy(struct node *n)
{
	size_t i;

	if (n == NULL)
		return;
	node_queue_destroy(n);
	node_gate_destroy(n);
	route_destroy(n->route);
	sched_destroy(n->sched);
	raft_destroy(n->raft);
	member_lessor_destroy(n->lessor);
	member_holder_destroy(n->holder);
	node_relay_free(n);
	claim_table_destroy(n->claims);
	doc_table_destroy(n->book);
	member_view_destroy(n->view);
	map_destroy_all(n->peers, destroy_peer);
	map_destroy_all(n->endpoints, destroy_endpoint);
	node_cache_free(&n->resync);
	node_usage_free(n);
	map_destroy_all(n->grants, destroy_grant);
	map_destroy(n->grants_by_ask);
	map_destroy_all(n->orders, destroy_order);
	map_destroy_all(n->proposals, destroy_proposal);
	map_destroy_all(n->asks, free);
	map_destroy_all(n->adapter_holders, free);
	map_destroy_all(n->rates, destroy_rate);
	node_recent_destroy(n);
	node_snapshot_free(n);
	for (i = 0; i < n->nself_messages; i++)
		free(n->self_messages[i].bytes);
	free(n->self_messages);
	free(n);
}

bool
node_may_act(const struct node *n)
{
	return member_holder_may_act(n->holder, n->view, n->now, n->applied);
}

uint64_t
node_act_until(const struct node *n)
{
	if (!node_guards.act_until)
		return UINT64_MAX;
	return member_holder_act_until_us(
	    n->holder, n->view, n->now, n->applied);
}

static void
node_log_standing(struct node *n)
{
	static const char *const names[] = {
	    "leased", "supported", "alone", "catching-up"};
	enum member_standing standing =
	    member_holder_standing(n->holder, n->view, n->now, n->applied);

	if (standing == n->standing)
		return;
	n->standing = standing;
	node_log(
	    n, NODE_LOG_STANDING, "{\"standing\": \"%s\"}", names[standing]);
}

/*
 * Lets a stopping instance exit once no caller can use its address any more and
 * its work is done, or after NODE_DRAIN_MAX_US. Peers list its address until
 * they receive its summary or, when that is lost, until it times out; callers
 * may then keep the address for its lifetime.
 */
static void
node_stop_tick(struct node *n)
{
	uint64_t unlisted_us = n->stop_us + NODE_PEER_TIMEOUT_US +
	    NODE_SUMMARY_US + (uint64_t)n->settings->address_lifetime_ms * 1000;
	/*
	 * No instance may take over the endpoints when all stop or when there
	 * is no leader, so the wait for it is limited.
	 */
	bool endpoints_gone = map_count(n->endpoints) == 0 ||
	    n->now >= unlisted_us + NODE_ENDPOINT_MOVE_US;
	bool idle = route_request_count(n->route) == 0 &&
	    map_count(n->grants) == 0 && map_count(n->orders) == 0 &&
	    endpoints_gone;

	if (!n->stopping || n->exited)
		return;
	if (n->gate != NULL ? !node_gate_can_exit(n)
			    : n->now < n->stop_us + NODE_DRAIN_MAX_US &&
		    (n->now < unlisted_us || !idle))
		return;
	n->exited = true;
	node_log(
	    n, NODE_LOG_STOPPED, "{\"idle\": %s}", idle ? "true" : "false");
	node_effects_add(n->fx, NODE_FX_EXIT);
}

/*
 * Transfers leadership when this instance stops, to a voter that does not stop:
 * otherwise two that stop would transfer it to each other for ever. The
 * transfer waits until the log marks this instance as leaving, so that all
 * know which voters stop, and one heartbeat longer, to answer the renewals
 * that follow this change.
 */
static void
node_transfer_leadership(struct node *n)
{
	const struct member *m = member_view_find(n->view, n->id);
	uint64_t stopping[RAFT_VOTERS_MAX];
	size_t i, count = 0;

	if (!n->stopping || n->raft == NULL || (m != NULL && !m->leaving) ||
	    n->now < n->epoch_changed_us + NODE_HEARTBEAT_US ||
	    raft_authority_until(n->raft) <= n->now)
		return;
	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (m->leaving && m->voter != 0 && count < RAFT_VOTERS_MAX)
			stopping[count++] = m->voter;
	}
	(void)raft_transfer_leadership(
	    n->raft, n->now, stopping, count, n->fx, NULL);
}

static void
node_tick(struct node *n)
{
	if (!n->start_logged) {
		n->start_logged = true;
		node_log(n, NODE_LOG_STARTED, "{\"voter\": %s}",
		    n->raft == NULL ? "false" : "true");
	}
	if (n->raft != NULL)
		raft_tick(n->raft, n->now, n->fx);
	node_founding_tick(n);
	node_lease_tick(n);
	node_queue_tick(n);
	node_follow_tick(n);
	node_propose_tick(n);
	node_claim_tick(n);
	node_owner_tick(n);
	node_entry_tick(n);
	route_tick(n->route, n->now, n->fx);
	node_gate_tick(n);
	node_log_standing(n);
	node_transfer_leadership(n);
	node_stop_tick(n);
}

static void
node_call_event(struct node *n, const struct node_call_event *event)
{
	if (node_gate_handle_call(n, event))
		return;
	if (route_on_call_event(n->route, n->now, event, n->fx))
		return;
	if (!node_order_on_call(n, event))
		(void)node_cache_on_call(n, event);
}

void
node_stop(struct node *n)
{
	if (n->stopping)
		return;
	n->stopping = true;
	n->stop_us = n->now;
	route_begin_stop(
	    n->route, n->now + NODE_DRAIN_MAX_US - NODE_LAST_ANSWER_US);
	n->next_summary_us = 0; /* so that peers stop listing this instance */
	node_log(n, NODE_LOG_STOPPING, "{}");
}

static void
node_saved(struct node *n, uint64_t ticket, bool ok, const char *reason)
{
	if (n->raft == NULL)
		return;
	if (!ok && !raft_is_halted(n->raft))
		node_log(n, NODE_LOG_DISK_FAILED, "{\"reason\": \"%s\"}",
		    reason == NULL ? "" : reason);
	raft_save_completed(n->raft, n->now, ticket, ok, n->fx);
}

static void
node_dispatch(struct node *n, const struct node_event *ev)
{
	switch (ev->type) {
	case NODE_EV_TICK:
		node_tick(n);
		break;
	case NODE_EV_MESSAGE:
		node_peer_receive(n, ev->u.message.from, ev->u.message.bytes);
		break;
	case NODE_EV_REQUEST:
		n->counters.requests++;
		if (ev->u.request.listener == NODE_LISTEN_API)
			node_api_request(n, &ev->u.request);
		else
			node_gate_handle_request(n, &ev->u.request);
		break;
	case NODE_EV_CALLER_GONE:
		if (!node_gate_caller_gone(n, ev->u.gone_request))
			route_on_caller_gone(
			    n->route, n->now, ev->u.gone_request, n->fx);
		break;
	case NODE_EV_CALL:
		node_call_event(n, &ev->u.call);
		break;
	case NODE_EV_SAVED:
		node_saved(
		    n, ev->u.saved.ticket, ev->u.saved.ok, ev->u.saved.reason);
		break;
	case NODE_EV_STOP:
		node_stop(n);
		break;
	}
}

void
node_step(struct node *n, uint64_t now_us, const struct node_event *ev,
    struct node_effects *fx)
{
	if (now_us > n->now)
		n->now = now_us;
	n->fx = fx;
	node_dispatch(n, ev);
	node_replica_advance(n);
	node_peer_deliver_self(n);
	node_owner_run_sched(n);
	node_gate_run(n);
	node_peer_deliver_self(n);
	node_replica_advance(n);
	node_follow_push_all(n);
	n->fx = NULL;
}

uint64_t
node_next_tick(const struct node *n)
{
	uint64_t next = n->now + NODE_TICK_US;

	if (!node_queue_is_empty(n))
		return n->now;
	return n->gate == NULL ? next : node_gate_next_us(n, next);
}
