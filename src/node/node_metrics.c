#include <stddef.h>

#include "node/node_gate.h"
#include "node/node_internal.h"

/* Counters and histograms of an instance in the Prometheus text format. */

/* Upper bounds of the first and last bucket: 2^power - 1 microseconds. */
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

/* The histogram lines of one class; buckets end at powers of two. */
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
		    (unsigned long long)hist_count_up_to(h, top));
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

/* A histogram with the lines of all classes that have samples. */
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
	    {"queue_wait_seconds", offsetof(struct route_class_stats, wait_us)},
	    {"load_stall_seconds",
		offsetof(struct route_class_stats, stall_us)},
	    {"first_token_seconds",
		offsetof(struct route_class_stats, first_token_us)},
	    {"between_tokens_seconds",
		offsetof(struct route_class_stats, token_gap_us)},
	    {"whole_seconds", offsetof(struct route_class_stats, total_us)}};
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
	    {"gone", offsetof(struct route_class_stats, caller_gone)},
	    {"replayed", offsetof(struct route_class_stats, replayed)}};
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
node_metrics_report(struct node *n, struct buf *out)
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
	    {"log_recent_entries", METRIC_GAUGE,
		(double)(n->applied + 1 - n->recent_first)},
	    {"log_recent_bytes", METRIC_GAUGE, (double)n->recent_bytes},
	    {"follow_snapshots_total", METRIC_COUNTER,
		(double)n->counters.follow_snapshots},
	    {"follow_parts_total", METRIC_COUNTER,
		(double)n->counters.follow_parts},
	    {"follow_restarts_total", METRIC_COUNTER,
		(double)n->counters.follow_restarts},
	    {"messages_out_total", METRIC_COUNTER,
		(double)n->counters.messages_out},
	    {"message_bytes_out_total", METRIC_COUNTER,
		(double)n->counters.bytes_out},
	    {"message_bytes_in_total", METRIC_COUNTER,
		(double)n->counters.bytes_in},
	    {"messages_malformed_total", METRIC_COUNTER,
		(double)n->counters.malformed},
	    {"replies_outdated_total", METRIC_COUNTER,
		(double)n->counters.outdated_replies},
	    {"cache_resyncs_total", METRIC_COUNTER,
		(double)n->counters.resyncs},
	    {"may_act", METRIC_GAUGE, node_may_act(n) ? 1.0 : 0.0}};
	size_t i;

	metric_requests(n, out);
	metric_histograms(n, out);
	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		metric_value(
		    out, values[i].name, values[i].type, values[i].value);
	node_gate_write_metrics(n, out);
}
