#include <stddef.h>
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

/* The owner that a request for an adapter would be sent to first; 0: none. */
static size_t
adapter_home(
    struct node *n, const char *team, const char *model, uint32_t *home)
{
	const struct doc *doc = doc_book_current(n->book, team);
	const struct doc_adapter *adapter;
	const char *version;
	struct buf key = {0};
	size_t count;

	if (doc == NULL ||
	    doc_resolve(doc, model, &adapter, &version, NULL) != MP_OK)
		return 0;
	buf_printf(&key, "%s/%s@%s", team, adapter->name, version);
	count = node_spread_order(n, key.data, NULL, home, 1);
	buf_free(&key);
	return count;
}

/*
 * Append a JSON list of entry addresses, the adapter's home first; how many
 * it names.
 */
size_t
node_report_addresses(
    struct node *n, const char *team, const char *adapter, struct buf *out)
{
	uint32_t order[NODE_OWNERS_MAX], home[1];
	struct buf key = {0};
	const struct member *m;
	size_t i, count, written = 0, nhome = 0;

	if (team != NULL && adapter != NULL)
		nhome = adapter_home(n, team, adapter, home);
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
	return written;
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

#define BUCKET_FIRST_POWER 10 /* 1.023 ms */
#define BUCKET_LAST_POWER  26 /* 67 s */

enum metric_type {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM
};

static void
metric_type(struct buf *out, const char *name, enum metric_type type)
{
	static const char *const names[] = {"counter", "gauge", "histogram"};

	buf_printf(out, "# TYPE mulberrypath_%s %s\n", name, names[type]);
}

static void
metric_value(
    struct buf *out, const char *name, enum metric_type type, double value)
{
	metric_type(out, name, type);
	buf_printf(out, "mulberrypath_%s %.17g\n", name, value);
}

/* One class's buckets, at the upper ends of powers of two microseconds. */
static void
metric_buckets(struct buf *out, const char *name,
    const struct route_class_stats *s, const struct hist *h)
{
	uint64_t top;
	unsigned power;

	for (power = BUCKET_FIRST_POWER; power <= BUCKET_LAST_POWER; power++) {
		top = (1ULL << power) - 1;
		buf_printf(out,
		    "mulberrypath_%s_bucket{team=\"%s\",kind=\"%s\","
		    "le=\"%.6f\"} %llu\n",
		    name, s->team, s->kind, (double)top * 1e-6,
		    (unsigned long long)hist_count_to(h, top));
	}
	buf_printf(out,
	    "mulberrypath_%s_bucket{team=\"%s\",kind=\"%s\",le=\"+Inf\"} "
	    "%llu\n",
	    name, s->team, s->kind, (unsigned long long)h->count);
	buf_printf(out, "mulberrypath_%s_sum{team=\"%s\",kind=\"%s\"} %.6f\n",
	    name, s->team, s->kind, (double)h->sum * 1e-6);
	buf_printf(out, "mulberrypath_%s_count{team=\"%s\",kind=\"%s\"} %llu\n",
	    name, s->team, s->kind, (unsigned long long)h->count);
}

/* A histogram of all classes that have something in it. */
static void
metric_histogram(
    const struct node *n, struct buf *out, const char *name, size_t offset)
{
	const struct route_class_stats *s;
	const struct hist *h;
	size_t i;

	metric_type(out, name, METRIC_HISTOGRAM);
	for (i = 0; i < route_stats_count(n->route); i++) {
		s = route_stats_at(n->route, i);
		h = (const void *)((const char *)s + offset);
		if (h->count > 0)
			metric_buckets(out, name, s, h);
	}
}

static void
metric_histograms(const struct node *n, struct buf *out)
{
	static const struct {
		const char *name;
		size_t offset;
	} histograms[] = {
	    {"queue_wait_seconds", offsetof(struct route_class_stats, wait)},
	    {"load_stall_seconds", offsetof(struct route_class_stats, stall)},
	    {"first_token_seconds", offsetof(struct route_class_stats, first)},
	    {"between_tokens_seconds",
		offsetof(struct route_class_stats, between)},
	    {"whole_seconds", offsetof(struct route_class_stats, whole)}};
	size_t i;

	for (i = 0; i < sizeof(histograms) / sizeof(histograms[0]); i++)
		metric_histogram(
		    n, out, histograms[i].name, histograms[i].offset);
}

static void
metric_requests(const struct node *n, struct buf *out)
{
	static const struct {
		const char *name;
		size_t offset;
	} outcomes[] = {
	    {"delivered", offsetof(struct route_class_stats, delivered)},
	    {"refused", offsetof(struct route_class_stats, refused)},
	    {"failed", offsetof(struct route_class_stats, failed)},
	    {"unknown", offsetof(struct route_class_stats, unknown)},
	    {"gone", offsetof(struct route_class_stats, gone)}};
	const struct route_class_stats *s;
	const uint64_t *value;
	size_t i, k;

	metric_type(out, "requests_total", METRIC_COUNTER);
	for (i = 0; i < route_stats_count(n->route); i++) {
		s = route_stats_at(n->route, i);
		for (k = 0; k < sizeof(outcomes) / sizeof(outcomes[0]); k++) {
			value = (const void *)((const char *)s +
			    outcomes[k].offset);
			buf_printf(out,
			    "mulberrypath_requests_total{team=\"%s\","
			    "kind=\"%s\",outcome=\"%s\"} %llu\n",
			    s->team, s->kind, outcomes[k].name,
			    (unsigned long long)*value);
		}
	}
}

void
node_report_metrics(struct node *n, struct buf *out)
{
	struct sched_totals totals;

	sched_get_totals(n->sched, n->now, &totals);
	const struct {
		const char *name;
		enum metric_type type;
		double value;
	} values[] = {{"engines", METRIC_GAUGE, totals.engines},
	    {"seats", METRIC_GAUGE, totals.seats},
	    {"seats_free", METRIC_GAUGE, totals.free},
	    {"queued", METRIC_GAUGE, totals.queued},
	    {"running", METRIC_GAUGE, totals.running},
	    {"loads_total", METRIC_COUNTER, (double)totals.loads},
	    {"load_failures_total", METRIC_COUNTER,
		(double)totals.load_failures},
	    {"evictions_total", METRIC_COUNTER, (double)totals.evictions},
	    {"log_applied", METRIC_GAUGE, (double)n->applied},
	    {"messages_out_total", METRIC_COUNTER,
		(double)n->counters.messages_out},
	    {"message_bytes_out_total", METRIC_COUNTER,
		(double)n->counters.bytes_out},
	    {"message_bytes_in_total", METRIC_COUNTER,
		(double)n->counters.bytes_in},
	    {"messages_malformed_total", METRIC_COUNTER,
		(double)n->counters.malformed},
	    {"may_act", METRIC_GAUGE, node_may_act(n) ? 1.0 : 0.0}};
	size_t i;

	metric_requests(n, out);
	metric_histograms(n, out);
	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		metric_value(
		    out, values[i].name, values[i].type, values[i].value);
}
