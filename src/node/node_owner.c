#include <stdlib.h>
#include <string.h>

#include "node/node_announce.h"
#include "node/node_gate.h"
#include "node/node_guard.h"
#include "node/node_internal.h"
#include "util/mem.h"

/*
 * Endpoints that this instance owns: their announcements, the scheduler's view
 * of them and the change of owners with the epoch.
 */

/*
 * A new owner evicts nothing for this time, in which requests with grants of an
 * earlier owner may still arrive at the endpoint.
 */
#define TAKEOVER_WAIT_US (ROUTE_GRANT_VALID_US + MEMBER_FLIGHT_MAX_US)

void
node_endpoint_free(struct node_endpoint *e)
{
	free(e->id);
	free(e->address);
	free(e->region);
	json_decref(e->announcement);
	free(e);
}

uint32_t
node_owner_of(const struct node *n, const char *region, const char *endpoint)
{
	return member_owner_of(n->view, region, endpoint);
}

static void
set_string(char **at, const char *value)
{
	if (*at != NULL && strcmp(*at, value) == 0)
		return;
	free(*at);
	*at = mem_string(value);
}

static struct node_endpoint *
endpoint_add(struct node *n, const char *id)
{
	struct node_endpoint *e = mem_alloc(1, sizeof(*e));

	e->id = mem_string(id);
	e->owned_since_epoch = member_view_epoch(n->view);
	map_set_str(n->endpoints, e->id, e);
	node_log(n, NODE_LOG_ENDPOINT_UP, "{\"endpoint\": \"%s\"}", e->id);
	return e;
}

/*
 * Whether this instance may send orders to an endpoint: once the epoch in which
 * it became the owner is active, no earlier owner can act any more. The owner
 * before may be an earlier process of this instance.
 */
static bool
is_active(const struct node *n, const struct node_endpoint *e)
{
	const struct member *self = member_view_find(n->view, n->id);
	uint64_t active = member_holder_active_epoch(n->holder);

	if (!node_guards.active_epoch)
		return true;
	return self != NULL && self->incarnation == n->incarnation &&
	    active >= self->joined && active >= e->owned_since_epoch;
}

static void
endpoint_remove(struct node *n, struct node_endpoint *e, const char *reason)
{
	node_log(n, NODE_LOG_ENDPOINT_GONE,
	    "{\"endpoint\": \"%s\", \"reason\": \"%s\"}", e->id, reason);
	sched_endpoint_remove(n->sched, n->now, e->id);
	map_remove_str(n->endpoints, e->id);
	node_endpoint_free(e);
	n->sched_run_due = true;
}

void
node_owner_forward(
    struct node *n, uint32_t owner, struct node_bytes json, bool events)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__EndpointReport report = WIRE__ENDPOINT_REPORT__INIT;

	report.json.data = (uint8_t *)json.data;
	report.json.len = json.len;
	report.events = events;
	envelope.body_case = WIRE__ENVELOPE__BODY_REPORT;
	envelope.report = &report;
	node_peer_send(n, owner, &envelope);
}

/* Passes an announcement to the scheduler. */
static void
endpoint_schedule(
    struct node *n, struct node_endpoint *e, const struct announcement *a)
{
	sched_report(n->sched, n->now, &a->report);
	if (!e->scheduled && node_guards.takeover_wait)
		sched_endpoint_takeover(
		    n->sched, n->now, e->id, n->now + TAKEOVER_WAIT_US);
	e->scheduled = true;
	node_orphan_report(n, e->id, &a->report);
	n->sched_run_due = true;
}

/* Passes the latest announcement on once the epoch has become active. */
static void
endpoint_schedule_pending(struct node *n, struct node_endpoint *e)
{
	struct announcement a;

	if (e->scheduled || !is_active(n, e) ||
	    announce_read(&a, e->announced_us, e->announcement, NULL) != 0)
		return;
	endpoint_schedule(n, e, &a);
	announce_free(&a);
}

/* Whether this announcement or a later one was received before. */
static bool
is_received(
    const struct node_endpoint *e, uint64_t incarnation, uint64_t sequence)
{
	return sequence != 0 && incarnation == e->incarnation &&
	    sequence <= e->sequence;
}

static void
endpoint_update(struct node *n, const struct announcement *a)
{
	struct node_endpoint *e = map_get_str(n->endpoints, a->report.id);

	if (e == NULL)
		e = endpoint_add(n, a->report.id);
	if (is_received(e, a->report.incarnation, a->sequence))
		return;
	if (a->report.leaving && !e->leaving)
		node_log(n, NODE_LOG_ENDPOINT_LEAVING, "{\"endpoint\": \"%s\"}",
		    e->id);
	e->leaving = a->report.leaving;
	e->announced_us = n->now;
	e->incarnation = a->report.incarnation;
	e->sequence = a->sequence;
	set_string(&e->address, a->address);
	set_string(&e->region, a->region);
	json_decref(e->announcement);
	e->announcement = json_incref(a->root);
	if (is_active(n, e))
		endpoint_schedule(n, e, a);
}

static int
receive_full(struct node *n, json_t *root, struct node_bytes json,
    struct node_announce_result *out, struct mp_error *err)
{
	struct announcement a;
	int rc = announce_read(&a, n->now, root, err);

	if (rc != 0)
		return rc;
	out->owner = node_owner_of(n, a.region, a.report.id);
	if (out->owner == n->id)
		endpoint_update(n, &a);
	else if (out->owner != 0)
		node_owner_forward(n, out->owner, json, false);
	announce_free(&a);
	return 0;
}

/*
 * Applies a short announcement. Only the owner can, and only when it has
 * received the announcement that this one is relative to.
 */
static int
receive_change(struct node *n, const json_t *root,
    struct node_announce_result *out, struct mp_error *err)
{
	struct announce_change change;
	struct announcement a;
	struct node_endpoint *e;
	json_t *merged;
	int rc = announce_read_change(&change, root, err);

	if (rc != 0)
		return rc;
	e = map_get_str(n->endpoints, change.id);
	out->owner = e == NULL ? 0 : n->id;
	if (e != NULL && is_received(e, change.incarnation, change.sequence))
		return 0;
	out->send_all = e == NULL || change.incarnation != e->incarnation ||
	    change.since != e->sequence;
	if (out->send_all)
		return 0;
	rc = announce_merge(&merged, e->announcement, root, err);
	if (rc != 0)
		return rc;
	rc = announce_read(&a, n->now, merged, err);
	json_decref(merged);
	if (rc != 0)
		return rc;
	endpoint_update(n, &a);
	announce_free(&a);
	return 0;
}

/*
 * Processes an announcement, from the endpoint or forwarded by an instance.
 *
 * out: the answer to the endpoint.
 * Errors: MP_ERR_INVALID naming the faulty field.
 */
int
node_owner_announce(struct node *n, struct node_bytes json,
    struct node_announce_result *out, struct mp_error *err)
{
	json_t *root = json_loadb(json.data, json.len, 0, NULL);
	int rc;

	memset(out, 0, sizeof(*out));
	if (announce_is_change(root))
		rc = receive_change(n, root, out, err);
	else
		rc = receive_full(n, root, json, out, err);
	json_decref(root);
	return rc;
}

/*
 * Removes the endpoints that this instance does not own after a change of the
 * members.
 *
 * skipped: this instance has not applied all epochs in between. All endpoints
 * are removed, as each may have had another owner meanwhile.
 */
void
node_owner_on_epoch(struct node *n, bool skipped)
{
	struct node_endpoint *e;
	size_t i = map_count(n->endpoints);

	member_holder_on_view(n->holder, n->view);
	node_gate_on_epoch(n, skipped);
	while (i-- > 0) {
		e = map_at(n->endpoints, i);
		if (skipped || node_owner_of(n, e->region, e->id) != n->id)
			endpoint_remove(n, e, "moved");
	}
	n->epoch_changed_us = n->now;
	/* Report running requests to their new owners at once. */
	n->next_keepalive_us = 0;
	n->next_summary_us = 0;
	n->sched_run_due = true;
}

static void
endpoints_tick(struct node *n)
{
	struct node_endpoint *e;
	size_t i = map_count(n->endpoints);

	while (i-- > 0) {
		e = map_at(n->endpoints, i);
		if (n->now > e->announced_us + NODE_ENDPOINT_TIMEOUT_US)
			endpoint_remove(n, e, "silent");
		else
			endpoint_schedule_pending(n, e);
	}
}

static bool
is_owned_here(const struct node *n, const char *endpoint)
{
	return map_get_str(n->endpoints, endpoint) != NULL;
}

static void
grants_tick(struct node *n)
{
	struct node_grant *g;
	Wire__GrantDone done = WIRE__GRANT_DONE__INIT;
	size_t i = map_count(n->grants);

	if (n->now < n->next_grants_scan_us)
		return;
	n->next_grants_scan_us = n->now + i * NODE_SCAN_ITEM_US;
	while (i-- > 0) {
		g = map_at(n->grants, i);
		if (node_orphan_cancel_due(n, g) &&
		    is_owned_here(n, g->endpoint)) {
			node_order_cancel(n, g);
			continue;
		}
		if (n->now < g->keepalive_us + NODE_GRANT_TIMEOUT_US)
			continue;
		if (g->orphaned_us != 0 && is_owned_here(n, g->endpoint))
			continue; /* kept until its endpoint reports no run */
		if (g->orphaned_us == 0 && g->endpoint != NULL &&
		    !node_peer_is_alive(n, g->entry))
			continue; /* the entry may still hold its lease */
		done.request = g->ask;
		done.outcome = WIRE__DONE_OUTCOME__DONE_CANCELLED;
		node_grant_on_done(n, g->entry, g->entry_incarnation, &done);
	}
}

void
node_owner_tick(struct node *n)
{
	endpoints_tick(n);
	grants_tick(n);
	node_cache_tick(n);
	if (sched_next_run_us(n->sched) <= n->now)
		n->sched_run_due = true;
}

/* Runs the scheduler and carries out its decisions. */
void
node_owner_run_sched(struct node *n)
{
	struct sched_decision d;

	if (!n->sched_run_due)
		return;
	n->sched_run_due = false;
	sched_run(n->sched, n->now, node_may_act(n));
	while (sched_take_decision(n->sched, &d)) {
		switch (d.type) {
		case SCHED_GRANT:
		case SCHED_REFUSE:
		case SCHED_ELSEWHERE:
			node_grant_on_decision(n, &d);
			break;
		case SCHED_LOAD:
		case SCHED_EVICT:
		case SCHED_SET_ROLE:
			node_order_send(n, &d);
			break;
		}
	}
}
