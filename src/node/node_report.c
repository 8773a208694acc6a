#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

/* ---- addresses ----------------------------------------------------------- */

static bool
is_listed(const struct node *n, const struct member *m)
{
	const struct node_peer *peer = map_get_u64(n->peers, m->id);

	if (m->leaving || !node_peer_is_heard(n, m->id))
		return false;
	if (m->id == n->id)
		return !n->stopping && node_may_act(n);
	return peer == NULL || !peer->leaving;
}

/* Instances with little queued come first, then by a spread order. */
static double
address_weight(void *ctx, const struct member *m)
{
	const struct node *n = ctx;
	const struct node_peer *peer = map_get_u64(n->peers, m->id);

	if (!is_listed(n, m))
		return 0.0;
	return 1.0 / (1.0 + (peer == NULL ? 0.0 : (double)peer->queued));
}

/* JSON list of entry addresses; the adapter's home comes first. */
void
node_report_addresses(
    struct node *n, const char *team, const char *adapter, struct buf *out)
{
	uint32_t order[NODE_OWNERS_MAX], home[1];
	struct buf key = {0};
	const struct member *m;
	size_t i, count, written = 0, nhome = 0;

	if (team != NULL && adapter != NULL) {
		buf_printf(&key, "%s/%s", team, adapter);
		nhome = node_spread_order(n, key.data, NULL, home, 1);
		buf_clear(&key);
	}
	buf_printf(&key, "%u", rng_below(&n->rng, UINT32_MAX));
	count = member_order(
	    n->view, key.data, address_weight, n, order, NODE_OWNERS_MAX);
	buf_puts(out, "[");
	for (i = 0; i < nhome + count; i++) {
		uint32_t id = i < nhome ? home[0] : order[i - nhome];

		m = member_view_find(n->view, id);
		if (m == NULL || !is_listed(n, m) ||
		    (i >= nhome && nhome > 0 && id == home[0]))
			continue;
		buf_puts(out, written++ == 0 ? "" : ", ");
		buf_json_string(out, m->http);
	}
	buf_puts(out, "]");
	buf_free(&key);
}

/* ---- status ---------------------------------------------------------------
 */

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
		    node_peer_is_heard(n, m->id) ? "true" : "false",
		    peer == NULL ? 0 : peer->engines,
		    peer == NULL ? 0 : peer->seats,
		    peer == NULL ? 0 : peer->free,
		    peer == NULL ? 0 : peer->queued);
	}
	buf_puts(out, "]");
}

static void
report_log(const struct node *n, struct buf *out)
{
	const struct raft_config *config;

	if (n->raft == NULL) {
		buf_puts(out, "null");
		return;
	}
	config = raft_get_config(n->raft);
	buf_printf(out,
	    "{\"role\": \"%s\", \"term\": %llu, \"commit\": %llu, "
	    "\"voters\": %zu, \"learners\": %zu, \"halted\": %s}",
	    raft_get_role(n->raft) == RAFT_LEADER	  ? "leader"
		: raft_get_role(n->raft) == RAFT_FOLLOWER ? "follower"
							  : "candidate",
	    (unsigned long long)raft_get_term(n->raft),
	    (unsigned long long)raft_get_commit(n->raft), config->nvoters,
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
		    "\"gone\": %llu, \"retried\": %llu, \"tokensOut\": %llu, "
		    "\"deliveredWeight\": %.3f",
		    (unsigned long long)s->asked,
		    (unsigned long long)s->delivered,
		    (unsigned long long)s->refused,
		    (unsigned long long)s->failed,
		    (unsigned long long)s->unknown, (unsigned long long)s->gone,
		    (unsigned long long)s->retried,
		    (unsigned long long)s->tokens_out, s->delivered_weight);
		report_histogram(out, "wait", &s->wait);
		report_histogram(out, "stall", &s->stall);
		report_histogram(out, "firstToken", &s->first);
		report_histogram(out, "betweenTokens", &s->between);
		report_histogram(out, "whole", &s->whole);
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

/* ---- metrics ---------------------------------------------------------------
 */

static void
metric_summary(struct buf *out, const char *name,
    const struct route_class_stats *s, const struct hist *h)
{
	static const double quantiles[] = {0.5, 0.95, 0.99};
	size_t i;

	for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		buf_printf(out,
		    "mulberrypath_%s_seconds{team=\"%s\",kind=\"%s\","
		    "quantile=\"%g\"} %.6f\n",
		    name, s->team, s->kind, quantiles[i],
		    (double)hist_quantile(h, quantiles[i]) * 1e-6);
	buf_printf(out,
	    "mulberrypath_%s_seconds_sum{team=\"%s\",kind=\"%s\"} %.6f\n", name,
	    s->team, s->kind, (double)h->sum * 1e-6);
	buf_printf(out,
	    "mulberrypath_%s_seconds_count{team=\"%s\",kind=\"%s\"} %llu\n",
	    name, s->team, s->kind, (unsigned long long)h->count);
}

static void
metric_count(struct buf *out, const char *outcome,
    const struct route_class_stats *s, uint64_t value)
{
	buf_printf(out,
	    "mulberrypath_requests_total{team=\"%s\",kind=\"%s\","
	    "outcome=\"%s\"} %llu\n",
	    s->team, s->kind, outcome, (unsigned long long)value);
}

static void
metric_class(struct buf *out, const struct route_class_stats *s)
{
	metric_count(out, "delivered", s, s->delivered);
	metric_count(out, "refused", s, s->refused);
	metric_count(out, "failed", s, s->failed);
	metric_count(out, "unknown", s, s->unknown);
	metric_count(out, "gone", s, s->gone);
	metric_summary(out, "queue_wait", s, &s->wait);
	metric_summary(out, "load_stall", s, &s->stall);
	metric_summary(out, "first_token", s, &s->first);
	metric_summary(out, "between_tokens", s, &s->between);
	metric_summary(out, "whole", s, &s->whole);
}

static void
metric_gauge(struct buf *out, const char *name, double value)
{
	buf_printf(out, "mulberrypath_%s %.17g\n", name, value);
}

void
node_report_metrics(struct node *n, struct buf *out)
{
	struct sched_totals totals;
	size_t i;

	for (i = 0; i < route_stats_count(n->route); i++)
		metric_class(out, route_stats_at(n->route, i));
	sched_get_totals(n->sched, n->now, &totals);
	metric_gauge(out, "engines", totals.engines);
	metric_gauge(out, "seats", totals.seats);
	metric_gauge(out, "seats_free", totals.free);
	metric_gauge(out, "queued", totals.queued);
	metric_gauge(out, "running", totals.running);
	metric_gauge(out, "loads_total", (double)totals.loads);
	metric_gauge(out, "load_failures_total", (double)totals.load_failures);
	metric_gauge(out, "evictions_total", (double)totals.evictions);
	metric_gauge(out, "log_applied", (double)n->applied);
	metric_gauge(
	    out, "messages_out_total", (double)n->counters.messages_out);
	metric_gauge(
	    out, "message_bytes_out_total", (double)n->counters.bytes_out);
	metric_gauge(
	    out, "message_bytes_in_total", (double)n->counters.bytes_in);
	metric_gauge(
	    out, "messages_malformed_total", (double)n->counters.malformed);
	metric_gauge(out, "may_act", node_may_act(n) ? 1.0 : 0.0);
}
