#include "node/node_gate.h"
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
	    {"quarantine_refused_total", s->quarantined}};
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
	    {"limits_unreadable_total", "counter", t.invalid_limits}};
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
	    {"loads_most", s.loading_max}, {"wanted", s.wanted},
	    {"wanted_held_call", s.held_call},
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
	put_place_totals(n, out);
	put_place_state(n, out);
}
