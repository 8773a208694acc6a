/* Load and metrics of the process. */

#include <sys/resource.h>

#include "mulberryd/daemon_internal.h"
#include "util/clock.h"

#define US_PER_SECOND 1e6
#define US_PER_MS     1000
/*
 * Interval of the load's log line, and the shorter interval that applies after
 * a tick was delayed by more than the threshold, or a save took longer.
 */
#define LOAD_LOG_INTERVAL_US	     (10 * 1000 * 1000ULL)
#define LOAD_LOG_INTERVAL_DELAYED_US (1000 * 1000ULL)
#define TICK_DELAY_THRESHOLD_US	     (20 * 1000ULL)
#define SAVE_TIME_THRESHOLD_US	     (100 * 1000ULL) /* the same for a save */

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

/* Returns the CPU time of the process, user and system. */
static double
cpu_seconds(void)
{
	struct rusage usage = {0};

	(void)getrusage(RUSAGE_SELF, &usage);
	return timeval_seconds(usage.ru_utime) +
	    timeval_seconds(usage.ru_stime);
}

/* Logs the load since the last such line and starts a new interval. */
static void
log_load(struct daemon *d, uint64_t now_us)
{
	struct daemon_load *load = &d->load;
	uint64_t cpu_us = (uint64_t)(cpu_seconds() * US_PER_SECOND);

	log_output_write_event(d->log, EVENT_LOAD,
	    "{\"spanMs\": %llu, \"cpuMs\": %llu, \"events\": %llu, "
	    "\"lateMs\": %llu, \"saveMs\": %llu}",
	    (unsigned long long)(now_us - load->interval_start_us) / US_PER_MS,
	    (unsigned long long)(cpu_us - load->cpu_at_start_us) / US_PER_MS,
	    (unsigned long long)(d->event_count - load->events_at_start),
	    (unsigned long long)load->max_tick_delay_us / US_PER_MS,
	    (unsigned long long)load->max_save_us / US_PER_MS);
	load->interval_start_us = now_us;
	load->cpu_at_start_us = cpu_us;
	load->events_at_start = d->event_count;
	load->max_tick_delay_us = 0;
	load->max_save_us = 0;
}

/* Notes the longest save since the last tick. */
static void
record_save_time(struct daemon *d)
{
	uint64_t save_us =
	    d->store == NULL ? 0 : store_take_longest_us(d->store);

	if (save_us > d->load.max_save_us)
		d->load.max_save_us = save_us;
}

/*
 * Logs when half of the memory for buffers is used, from which on sources wait
 * for their readers early, and when less than a quarter is.
 */
static void
log_buffers(struct daemon *d)
{
	struct byte_budget_stats s = byte_budget_get_stats(d->buffered);
	uint64_t threshold =
	    d->logged_buffers_short ? s.limit_bytes / 4 : s.limit_bytes / 2;
	bool is_short = s.used_bytes >= threshold;

	if (is_short == d->logged_buffers_short)
		return;
	d->logged_buffers_short = is_short;
	log_output_write_event(d->log, EVENT_BUFFERS_SHORT,
	    "{\"short\": %s, \"usedBytes\": %llu, \"limitBytes\": %llu, "
	    "\"pauses\": %llu, \"extensions\": %llu, \"refusals\": %llu, "
	    "\"cuts\": %llu}",
	    is_short ? "true" : "false", (unsigned long long)s.used_bytes,
	    (unsigned long long)s.limit_bytes, (unsigned long long)s.pauses,
	    (unsigned long long)s.extensions, (unsigned long long)s.refusals,
	    (unsigned long long)s.cuts);
}

void
daemon_record_tick(struct daemon *d, uint64_t due_us)
{
	struct daemon_load *load = &d->load;
	uint64_t now_us = clock_now_us();
	bool is_delayed;

	record_save_time(d);
	log_buffers(d);
	if (now_us > due_us + load->max_tick_delay_us)
		load->max_tick_delay_us = now_us - due_us;
	is_delayed = load->max_tick_delay_us > TICK_DELAY_THRESHOLD_US ||
	    load->max_save_us > SAVE_TIME_THRESHOLD_US;
	if (now_us >= load->interval_start_us +
		(is_delayed ? LOAD_LOG_INTERVAL_DELAYED_US
			    : LOAD_LOG_INTERVAL_US))
		log_load(d, now_us);
}

void
daemon_append_metrics(const struct daemon *d, struct buf *out)
{
	struct bus_counters bus;
	struct store_counters store = {0};
	struct byte_budget_stats buffered = byte_budget_get_stats(d->buffered);
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
	append_gauge(out, "buffered_bytes", (double)buffered.used_bytes);
	append_gauge(
	    out, "buffered_max_bytes", (double)buffered.max_used_bytes);
	append_gauge(out, "buffered_limit_bytes", (double)buffered.limit_bytes);
	append_counter(out, "buffer_pauses_total", (double)buffered.pauses);
	append_counter(
	    out, "buffer_extensions_total", (double)buffered.extensions);
	append_counter(out, "buffer_refusals_total", (double)buffered.refusals);
	append_counter(out, "buffer_cuts_total", (double)buffered.cuts);
	append_counter(
	    out, "replies_undelivered_total", (double)d->undelivered_replies);
	append_counter(out, "process_cpu_seconds_total", cpu_seconds());
	(void)uv_resident_set_memory(&resident);
	append_gauge(out, "process_resident_bytes", (double)resident);
	append_gauge(out, "process_uptime_seconds",
	    (double)(clock_now_us() - d->started_us) / US_PER_SECOND);
	append_counter(out, "node_events_total", (double)d->event_count);
}
