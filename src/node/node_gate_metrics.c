#include "node/node_gate.h"
#include "node/node_gate_hold.h"
#include "util/hist.h"

/* Writes the gateway's counters, gauges and histograms as Prometheus text. */

#define BUCKET_FIRST_POWER 10 /* 1.023 ms */
#define BUCKET_LAST_POWER  26 /* 67 s */

static void
put_value(struct buf *out, const char *name, const char *type, double value)
{
	buf_printf(out,
	    "# TYPE mulberrypath_gate_%s %s\nmulberrypath_gate_%s %.17g\n",
	    name, type, name, value);
}

static void
put_histogram(struct buf *out, const char *name, const struct hist *h)
{
	unsigned power;

	buf_printf(out, "# TYPE mulberrypath_gate_%s histogram\n", name);
	for (power = BUCKET_FIRST_POWER; power <= BUCKET_LAST_POWER; power++)
		buf_printf(out,
		    "mulberrypath_gate_%s_bucket{le=\"%.6f\"} %llu\n", name,
		    (double)((1ULL << power) - 1) * 1e-6,
		    (unsigned long long)hist_count_up_to(
			h, (1ULL << power) - 1));
	buf_printf(out,
	    "mulberrypath_gate_%s_bucket{le=\"+Inf\"} %llu\n"
	    "mulberrypath_gate_%s_sum %.6f\nmulberrypath_gate_%s_count %llu\n",
	    name, (unsigned long long)h->count, name, (double)h->sum * 1e-6,
	    name, (unsigned long long)h->count);
}

/* Appends an account's name as the value of a label. */
static void
put_label(struct buf *out, const char *name)
{
	for (; *name != '\0'; name++)
		buf_printf(out, "%s%c",
		    *name == '"' || *name == '\\' ? "\\" : "", *name);
}

static void
put_account_count(struct buf *out, const struct forward_account *a,
    const char *outcome, uint64_t count)
{
	buf_puts(out, "mulberrypath_gate_account_requests_total{account=\"");
	put_label(out, a->name);
	buf_printf(out, "\",outcome=\"%s\"} %llu\n", outcome,
	    (unsigned long long)count);
}

static void
put_account_quantile(
    struct buf *out, const struct forward_account *a, double quantile)
{
	buf_puts(out, "mulberrypath_gate_account_seconds{account=\"");
	put_label(out, a->name);
	buf_printf(out, "\",quantile=\"%g\"} %.6f\n", quantile,
	    (double)hist_quantile(&a->total_us, quantile) * 1e-6);
}

/* Requests of client accounts, and those that had none of a known key. */
static void
put_accounts(const struct node *n, struct buf *out)
{
	const struct gate_account_stats *s = &n->gate->account_stats;
	const struct forward_account *a;
	size_t i;

	put_value(
	    out, "keys_missing_total", "counter", (double)s->missing_keys);
	put_value(
	    out, "keys_unknown_total", "counter", (double)s->unknown_keys);
	if (forward_account_at(n->gate->forward, 0) == NULL)
		return;
	buf_puts(
	    out, "# TYPE mulberrypath_gate_account_requests_total counter\n");
	for (i = 0; (a = forward_account_at(n->gate->forward, i)) != NULL;
	     i++) {
		put_account_count(out, a, "served", a->served);
		put_account_count(out, a, "refused", a->refused);
		put_account_count(out, a, "failed", a->failed);
	}
	buf_puts(out, "# TYPE mulberrypath_gate_account_seconds summary\n");
	for (i = 0; (a = forward_account_at(n->gate->forward, i)) != NULL;
	     i++) {
		put_account_quantile(out, a, 0.5);
		put_account_quantile(out, a, 0.99);
	}
}

static void
put_forward_stats(const struct node *n, struct buf *out)
{
	const struct forward_stats *s = forward_get_stats(n->gate->forward);
	const struct {
		const char *name;
		uint64_t value;
	} counters[] = {{"requests_total", s->asked},
	    {"served_total", s->served}, {"refused_total", s->refused},
	    {"failed_total", s->failed}, {"timed_out_total", s->timed_out},
	    {"callers_gone_total", s->caller_gone},
	    {"repeats_total", s->retried}, {"cut_total", s->aborted},
	    {"grants_declined_total", s->declined},
	    {"quarantine_refused_total", s->quarantined},
	    {"outdated_refused_total", s->outdated},
	    {"unnamed_answers_total", s->unnamed_answers}};
	size_t i;

	for (i = 0; i < sizeof(counters) / sizeof(counters[0]); i++)
		put_value(out, counters[i].name, "counter",
		    (double)counters[i].value);
	put_histogram(out, "place_seconds", &s->placement_us);
	put_histogram(out, "first_byte_seconds", &s->first_byte_us);
	put_histogram(out, "request_seconds", &s->total_us);
}

static void
put_place_totals(const struct node *n, struct buf *out)
{
	struct place_totals t;

	place_get_totals(n->gate->place, &t);
	const struct {
		const char *name, *type;
		uint32_t value;
	} values[] = {{"endpoints", "gauge", t.endpoints},
	    {"placing_waiting", "gauge", t.waiting},
	    {"placing_running", "gauge", t.running},
	    {"placing_asked_total", "counter", t.asked},
	    {"placing_granted_total", "counter", t.granted},
	    {"placing_refused_total", "counter", t.refused},
	    {"placing_repeats_total", "counter", t.repeats},
	    {"placing_repeats_denied_total", "counter", t.repeats_denied},
	    {"ejections_total", "counter", t.ejections},
	    {"adapter_loads_total", "counter", t.loads},
	    {"adapter_loads_from_store_total", "counter", t.cold_loads},
	    {"adapter_unloads_total", "counter", t.unloads},
	    {"weight_loads_total", "counter", t.weight_loads},
	    {"reports_total", "counter", t.reports},
	    {"adapters_looked_at_total", "counter", t.examined_adapters},
	    {"placing_estimates_total", "counter", t.estimates},
	    {"endpoints_limited", "gauge", t.limited_endpoints},
	    {"limit_waits_total", "counter", t.limit_waits},
	    {"limit_refused_total", "counter", t.limit_refusals},
	    {"unfit_refused_total", "counter", t.unfit_refusals},
	    {"limits_unreadable_total", "counter", t.invalid_limits},
	    {"calls_too_late_total", "counter", t.late_calls_refused},
	    {"store_loads_late_total", "counter", t.store_loads_late},
	    {"store_loads_in_time_total", "counter", t.store_loads_in_time},
	    {"placing_held", "gauge", t.held},
	    {"placing_late_total", "counter", t.late_grants},
	    {"share_refused_total", "counter", t.share_refusals},
	    {"adapter_prefetches_total", "counter", t.prefetches},
	    {"adapter_prefetches_used_total", "counter", t.prefetches_used},
	    {"prefix_placed_total", "counter", t.prefix_grants},
	    {"prefix_tokens_expected_total", "counter",
		(double)t.prefix_tokens}};
	size_t i;

	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		put_value(out, values[i].name, values[i].type, values[i].value);
}

/* Requests that are queued at this instance, by what they wait for. */
static void
put_place_state(const struct node *n, struct buf *out)
{
	struct place_state s;

	place_get_state(n->gate->place, &s);
	const struct {
		const char *name;
		uint32_t value;
	} values[] = {{"waiting_load", s.wait_load},
	    {"waiting_engine", s.wait_engine}, {"waiting_call", s.wait_call},
	    {"waiting_oldest_ms", s.oldest_ms}, {"unread_ms", s.unread_ms},
	    {"unread_most_ms", s.unread_max_ms}, {"loads_now", s.loading},
	    {"loads_most", s.loading_max}, {"store_load_ms", s.load_ms},
	    {"wanted", s.wanted}, {"wanted_held_call", s.held_call},
	    {"wanted_held_quiet", s.held_quiet},
	    {"wanted_held_report", s.held_report},
	    {"wanted_held_store", s.held_store},
	    {"wanted_held_places", s.held_places}};
	size_t i;

	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		put_value(out, values[i].name, "gauge", values[i].value);
}

/* Outstanding asks and sizes of their windows, summed over all placers. */
static void
put_windows(const struct node *n, struct buf *out)
{
	const struct gate_owner *o;
	double window = 0;
	size_t i;

	for (i = 0; i < map_count(n->gate->owners); i++) {
		o = map_at(n->gate->owners, i);
		window += o->window.size;
	}
	put_value(
	    out, "asks_at_placer", "gauge", gate_owner_outstanding_asks(n));
	put_value(out, "asks_window", "gauge", window);
}

static void
put_config_counts(const struct node_gate *g, struct buf *out)
{
	const struct gate_config_counts *c = &g->config_counts;

	put_value(out, "config_deltas_total", "counter", (double)c->deltas);
	put_value(out, "config_texts_total", "counter", (double)c->texts);
	put_value(out, "config_bytes_total", "counter", (double)c->bytes);
	put_value(
	    out, "config_mismatches_total", "counter", (double)c->mismatches);
	put_value(out, "config_repeats_total", "counter", (double)c->repeats);
	put_value(out, "config_slices_total", "counter", (double)c->slices);
	put_value(out, "config_changes_waiting", "gauge",
	    (double)gate_change_waiting_count(g->changes));
}

static void
put_hold_counts(const struct gate_hold *hold, struct buf *out)
{
	struct gate_hold_counts counts;

	gate_hold_get_counts(hold, &counts);
	put_value(out, "requests_held", "gauge", (double)counts.held);
	put_value(
	    out, "requests_held_total", "counter", (double)counts.held_total);
	put_value(out, "requests_held_refused_total", "counter",
	    (double)counts.refused_total);
}

void
node_gate_write_metrics(const struct node *n, struct buf *out)
{
	const struct node_gate *g = n->gate;

	if (g == NULL)
		return;
	gate_quota_write_metrics(n, out);
	put_value(out, "config_version", "gauge",
	    g->config == NULL ? 0 : (double)g->config->version);
	put_value(out, "config_confirmed", "gauge",
	    gate_config_get_trust(n) == GATE_CONFIG_CONFIRMED ? 1 : 0);
	put_config_counts(g, out);
	put_hold_counts(g->hold, out);
	put_value(out, "placing", "gauge", g->placing ? 1 : 0);
	put_value(out, "placer_heard", "gauge", node_gate_placer(n) != 0);
	put_windows(n, out);
	put_value(out, "shards", "gauge", g->shards.count);
	put_value(out, "owns_shards", "gauge", gate_owns_shard(n) ? 1 : 0);
	put_value(
	    out, "asks_alone_total", "counter", (double)g->window_full_asks);
	put_value(
	    out, "endpoint_ends_total", "counter", (double)g->observed_ends);
	put_value(out, "quarantined_parts", "gauge",
	    (double)quarantine_active_count(g->quarantine));
	put_value(out, "suspected_parts", "gauge",
	    (double)quarantine_evidence_count(g->evidence));
	put_forward_stats(n, out);
	put_accounts(n, out);
	put_place_totals(n, out);
	put_place_state(n, out);
	gate_fair_write_metrics(n, out);
}
