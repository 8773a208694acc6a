#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

/* Reports over the HTTP API: addresses of instances, and the status. */

/* ---- addresses ----------------------------------------------------------- */

/* Whether callers may use the instance. */
static bool
is_listed(const struct node *n, const struct member *m)
{
	const struct node_peer *peer = map_get_u64(n->peers, m->id);

	if (m->leaving || !node_peer_is_alive(n, m->id))
		return false;
	if (m->id == n->id)
		return !n->stopping && node_may_act(n);
	return peer == NULL || !peer->leaving;
}

/* Rank weight: instances with short queues are likely to come first. */
static double
address_weight(void *ctx, const struct member *m)
{
	const struct node *n = ctx;
	const struct node_peer *peer = map_get_u64(n->peers, m->id);

	if (!is_listed(n, m))
		return 0.0;
	return 1.0 / (1.0 + (peer == NULL ? 0.0 : (double)peer->queued));
}

/* The owner that would be asked first for an adapter; 0: none. */
static uint32_t
find_home_owner(struct node *n, const char *team, const char *model)
{
	const struct doc *doc = doc_table_find(n->book, team);
	const struct doc_adapter *adapter;
	const char *version;
	uint32_t order[NODE_OWNERS_MAX];
	struct buf key = {0};
	size_t count;

	if (doc == NULL ||
	    doc_resolve_model(doc, model, &adapter, &version, NULL) != MP_OK)
		return 0;
	buf_printf(&key, "%s/%s@%s", team, adapter->name, version);
	count = node_spread_rank(n, key.data, NULL, order, NODE_OWNERS_MAX);
	buf_free(&key);
	return count == 0 ? 0 : order[0];
}

/*
 * Appends a JSON list of addresses of entries, the adapter's home first.
 *
 * team, adapter: NULL for a list without a preference.
 * Returns the number of addresses.
 */
size_t
node_report_addresses(
    struct node *n, const char *team, const char *adapter, struct buf *out)
{
	uint32_t order[1 + NODE_OWNERS_MAX] = {0};
	struct buf key = {0};
	const struct member *m;
	size_t i, count, written = 0;

	if (team != NULL && adapter != NULL)
		order[0] = find_home_owner(n, team, adapter);
	buf_printf(&key, "%u", rng_below(&n->rng, UINT32_MAX));
	count = member_rank(
	    n->view, key.data, address_weight, n, &order[1], NODE_OWNERS_MAX);
	buf_puts(out, "[");
	for (i = 0; i <= count; i++) {
		m = member_view_find(n->view, order[i]);
		if (m == NULL || !is_listed(n, m) ||
		    (i > 0 && order[i] == order[0]))
			continue;
		buf_puts(out, written++ == 0 ? "" : ", ");
		buf_json_string(out, m->http);
	}
	buf_puts(out, "]");
	buf_free(&key);
	return written;
}

/* ---- status -------------------------------------------------------------- */

static void
report_members(struct node *n, struct buf *out)
{
	const struct member *m;
	const struct node_peer *peer;
	size_t i;

	buf_puts(out, "[");
	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		peer = map_get_u64(n->peers, m->id);
		buf_printf(out, "%s{\"id\": %u, \"name\": ", i == 0 ? "" : ", ",
		    m->id);
		buf_json_string(out, m->name);
		buf_puts(out, ", \"dataCentre\": ");
		buf_json_string(out, m->data_centre);
		buf_puts(out, ", \"http\": ");
		buf_json_string(out, m->http);
		buf_printf(out,
		    ", \"voter\": %s, \"leaving\": %s, \"heard\": %s, "
		    "\"engines\": %u, \"seats\": %u, \"free\": %u, "
		    "\"queued\": %u}",
		    m->voter != 0 ? "true" : "false",
		    m->leaving ? "true" : "false",
		    node_peer_is_alive(n, m->id) ? "true" : "false",
		    peer == NULL ? 0 : peer->engines,
		    peer == NULL ? 0 : peer->seats,
		    peer == NULL ? 0 : peer->free,
		    peer == NULL ? 0 : peer->queued);
	}
	buf_puts(out, "]");
}

static bool
has_vote(const struct node *n, const struct raft_config *config)
{
	size_t i;

	for (i = 0; i < config->nvoters; i++)
		if (config->voters[i] == n->voter)
			return true;
	return false;
}

static void
report_log(const struct node *n, struct buf *out)
{
	static const char *const roles[] = {"follower", "candidate", "leader"};
	const struct raft_config *config;

	if (n->raft == NULL) {
		buf_puts(out, "null");
		return;
	}
	config = raft_get_config(n->raft);
	buf_printf(out,
	    "{\"role\": \"%s\", \"term\": %llu, \"commit\": %llu, "
	    "\"votes\": %s, \"voters\": %zu, \"learners\": %zu, "
	    "\"halted\": %s}",
	    roles[raft_get_role(n->raft)],
	    (unsigned long long)raft_get_term(n->raft),
	    (unsigned long long)raft_get_commit(n->raft),
	    has_vote(n, config) ? "true" : "false", config->nvoters,
	    config->nlearners, raft_is_halted(n->raft) ? "true" : "false");
}

static void
report_work(const struct node *n, struct buf *out)
{
	struct sched_totals totals;
	struct sched_demand demand;

	sched_get_demand(n->sched, n->now, &demand);
	sched_get_totals(n->sched, n->now, &totals);
	buf_printf(out,
	    "{\"engines\": %u, \"services\": %u, \"seats\": %u, "
	    "\"free\": %u, \"queued\": %u, \"running\": %u, "
	    "\"loads\": %llu, \"loadFailures\": %llu, \"evictions\": %llu, "
	    "\"stallMs\": %llu, \"waitP90Ms\": %u, \"largestGap\": %.3f, "
	    "\"permits\": %u, \"loadsPerSecond\": %.3f, "
	    "\"loadsWaiting\": %u, \"loadsInFlight\": %u}",
	    totals.engines, totals.services, totals.seats, totals.free,
	    totals.queued, totals.running, (unsigned long long)totals.loads,
	    (unsigned long long)totals.load_failures,
	    (unsigned long long)totals.evictions,
	    (unsigned long long)(totals.stall_us / 1000), totals.wait_p90_ms,
	    (double)totals.largest_gap_milli / 1000.0,
	    member_holder_permit_in_flight(n->holder),
	    member_holder_permit_rate_milli(n->holder) / 1000.0, demand.waiting,
	    demand.in_flight);
}

static void
report_histogram(struct buf *out, const char *name, const struct hist *h)
{
	buf_printf(out,
	    ", \"%s\": {\"count\": %llu, \"meanMs\": %.3f, "
	    "\"p50Ms\": %.3f, \"p95Ms\": %.3f, \"p99Ms\": %.3f}",
	    name, (unsigned long long)h->count, hist_mean(h) / 1000.0,
	    (double)hist_quantile(h, 0.5) / 1000.0,
	    (double)hist_quantile(h, 0.95) / 1000.0,
	    (double)hist_quantile(h, 0.99) / 1000.0);
}

static void
report_classes(const struct node *n, struct buf *out)
{
	const struct route_class_stats *s;
	size_t i;

	buf_puts(out, "[");
	for (i = 0; i < route_stats_count(n->route); i++) {
		s = route_stats_at(n->route, i);
		buf_puts(out, i == 0 ? "{\"team\": " : ", {\"team\": ");
		buf_json_string(out, s->team);
		buf_puts(out, ", \"kind\": ");
		buf_json_string(out, s->kind);
		buf_printf(out,
		    ", \"asked\": %llu, \"delivered\": %llu, "
		    "\"refused\": %llu, \"failed\": %llu, \"unknown\": %llu, "
		    "\"gone\": %llu, \"replayed\": %llu, "
		    "\"retried\": %llu, \"tokensOut\": %llu, "
		    "\"deliveredWeight\": %.3f",
		    (unsigned long long)s->asked,
		    (unsigned long long)s->delivered,
		    (unsigned long long)s->refused,
		    (unsigned long long)s->failed,
		    (unsigned long long)s->unknown,
		    (unsigned long long)s->caller_gone,
		    (unsigned long long)s->replayed,
		    (unsigned long long)s->retried,
		    (unsigned long long)s->tokens_out, s->delivered_weight);
		report_histogram(out, "wait", &s->wait_us);
		report_histogram(out, "stall", &s->stall_us);
		report_histogram(out, "firstToken", &s->first_token_us);
		report_histogram(out, "betweenTokens", &s->token_gap_us);
		report_histogram(out, "whole", &s->total_us);
		buf_puts(out, "}");
	}
	buf_puts(out, "]");
}

void
node_report_status(struct node *n, struct buf *out)
{
	static const char *const names[] = {
	    "leased", "supported", "alone", "catching-up"};

	buf_printf(out, "{\"instance\": %u, \"name\": ", n->id);
	buf_json_string(out, n->settings->name);
	buf_puts(out, ", \"cluster\": ");
	buf_json_string(out, n->settings->cluster);
	buf_printf(out,
	    ", \"standing\": \"%s\", \"leader\": %u, \"stopping\": %s, "
	    "\"applied\": %llu, \"epoch\": %llu, \"activeEpoch\": %llu, "
	    "\"inForceIndex\": %llu, \"log\": ",
	    names[member_holder_standing(
		n->holder, n->view, n->now, n->applied)],
	    node_leader(n), n->stopping ? "true" : "false",
	    (unsigned long long)n->applied,
	    (unsigned long long)member_view_epoch(n->view),
	    (unsigned long long)member_holder_active_epoch(n->holder),
	    (unsigned long long)member_holder_in_force(n->holder));
	report_log(n, out);
	buf_puts(out, ", \"members\": ");
	report_members(n, out);
	buf_puts(out, ", \"work\": ");
	report_work(n, out);
	buf_puts(out, ", \"classes\": ");
	report_classes(n, out);
	buf_printf(out,
	    ", \"messages\": {\"in\": %llu, \"out\": %llu, "
	    "\"bytesIn\": %llu, \"bytesOut\": %llu}}\n",
	    (unsigned long long)n->counters.messages_in,
	    (unsigned long long)n->counters.messages_out,
	    (unsigned long long)n->counters.bytes_in,
	    (unsigned long long)n->counters.bytes_out);
}
