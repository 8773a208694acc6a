#include <sys/resource.h>

#include "mulberryd/daemon_internal.h"
#include "util/clock.h"

#define US_PER_SECOND 1e6

static void
append_counter(struct buf *out, const char *name, double value)
{
	buf_printf(out, "# TYPE mulberrypath_%s counter\n", name);
	buf_printf(out, "mulberrypath_%s %.15g\n", name, value);
}

static void
append_gauge(struct buf *out, const char *name, double value)
{
	buf_printf(out, "# TYPE mulberrypath_%s gauge\n", name);
	buf_printf(out, "mulberrypath_%s %.15g\n", name, value);
}

static double
timeval_seconds(struct timeval t)
{
	return (double)t.tv_sec + (double)t.tv_usec / US_PER_SECOND;
}

void
daemon_append_metrics(const struct daemon *d, struct buf *out)
{
	struct bus_counters bus;
	struct store_counters store = {0};
	struct rusage usage = {0};
	size_t resident = 0;

	bus_get_counters(d->bus, &bus);
	append_counter(out, "bus_messages_in_total", (double)bus.messages_in);
	append_counter(out, "bus_bytes_in_total", (double)bus.bytes_in);
	append_counter(out, "bus_messages_out_total", (double)bus.messages_out);
	append_counter(out, "bus_bytes_out_total", (double)bus.bytes_out);
	append_counter(out, "bus_dropped_total", (double)bus.dropped);
	append_counter(out, "bus_refused_total", (double)bus.refused);
	if (d->store != NULL) {
		store_get_counters(d->store, &store);
		append_counter(out, "store_syncs_total", (double)store.syncs);
		append_counter(out, "store_bytes_total", (double)store.bytes);
		append_counter(
		    out, "store_records_total", (double)store.records);
	}
	(void)getrusage(RUSAGE_SELF, &usage);
	append_counter(out, "process_cpu_seconds_total",
	    timeval_seconds(usage.ru_utime) + timeval_seconds(usage.ru_stime));
	(void)uv_resident_set_memory(&resident);
	append_gauge(out, "process_resident_bytes", (double)resident);
	append_gauge(out, "process_uptime_seconds",
	    (double)(clock_now_us() - d->started_us) / US_PER_SECOND);
	append_counter(out, "node_events_total", (double)d->events);
}
