#ifndef MP_MULBERRYD_DAEMON_INTERNAL_H
#define MP_MULBERRYD_DAEMON_INTERNAL_H

/*
 * State of the daemon, shared by its source files: daemon.c (event loop, start
 * and shutdown), daemon_effects.c (execution of effects), daemon_journal.c
 * (recording of events) and daemon_metrics.c (metrics of the process).
 */

#include <stdbool.h>
#include <uv.h>

#include "bus/bus.h"
#include "http/front.h"
#include "http/http.h"
#include "journal/journal.h"
#include "mulberryd/daemon.h"
#include "mulberryd/event_queue.h"
#include "mulberryd/log_output.h"
#include "mulberrypath/node.h"
#include "store/store.h"
#include "util/buf.h"
#include "util/byte_budget.h"

/*
 * Position of the listener number in a request id. The ids of a gateway
 * listener's requests start at its enum node_listener value shifted left by
 * this many bits.
 */
#define DAEMON_REQUEST_LISTENER_SHIFT 56

/*
 * Measures the load of the process since the last EVENT_LOAD log line. The
 * _at_start fields are totals of the process when the interval began.
 */
struct daemon_load {
	uint64_t interval_start_us;
	uint64_t max_tick_delay_us; /* in this interval */
	uint64_t max_save_us; /* longest save, with its sync */
	uint64_t cpu_at_start_us, events_at_start;
};

/* The daemon. It is used by the thread of its loop only. */
struct daemon {
	uv_loop_t loop;
	const struct settings *settings;
	const char *config_file, *journal_file; /* journal: NULL for none */
	struct journal_writer *journal; /* NULL: events are not recorded */
	struct log_output *log;
	struct node *node;
	struct node_effects *effects; /* of the current step */
	struct event_queue *queue; /* received during a step */
	bool stepping; /* an event is being processed; others are queued */

	struct http_server *api_server; /* own HTTP API */
	struct front_server *gateway[NODE_LISTENERS]; /* NULL: no address */
	struct http_client *client;
	struct byte_budget *buffered; /* by the servers and the client */
	bool logged_buffers_short;
	struct bus *bus;
	struct store *store; /* NULL without a data folder */
	uint64_t started_us;
	uint64_t event_count; /* processed since the start */
	uint64_t undelivered_replies; /* whose request is not known */

	uv_timer_t tick_timer;
	uint64_t tick_due_us; /* expiry of tick_timer; 0: not armed */
	struct daemon_load load;
	uv_signal_t sigterm, sigint, sighup;
	uv_timer_t close_timer; /* starts the shutdown, then its timeout */
	bool stop_requested; /* the first stop signal was received */
	bool closing; /* further events are discarded */
	unsigned int open_components; /* not yet closed, in a shutdown */
	enum daemon_exit exit_code;
};

/*
 * Passes an event to the node and executes the resulting effects, then does
 * the same for all events queued meanwhile. An event received while a step is
 * in progress is copied to the queue; one received while the daemon closes is
 * discarded. The event is borrowed for the call.
 */
void daemon_process_event(struct daemon *d, const struct node_event *ev);

/* Executes effects in their order. */
void daemon_execute_effects(
    struct daemon *d, const struct node_effects *effects);

/*
 * Starts to close all servers, clients, the bus and the store from the next
 * iteration of the loop; the loop ends when they are closed.
 */
void daemon_close(struct daemon *d);

/*
 * Creates the journal, if the command line names one, with the settings file
 * and the arguments of node_create(). Errors: MP_ERR_IO, MP_ERR_INVALID.
 */
int daemon_journal_open(
    struct daemon *d, const struct node_boot *boot, struct mp_error *err);

/*
 * Records an event at now_us with its effects. A write error is logged and
 * closes the journal; the daemon continues without one.
 */
void daemon_journal_write_step(
    struct daemon *d, uint64_t now_us, const struct node_event *ev);

/* Closes the journal, if it is open; an error is logged. */
void daemon_journal_close(struct daemon *d);

/*
 * Records the delay of a tick that was due at due_us and runs now. Logs the
 * load of the process when its interval has passed.
 */
void daemon_record_tick(struct daemon *d, uint64_t due_us);

/*
 * Appends the metrics of the process, its bus and its store in the Prometheus
 * text format.
 */
void daemon_append_metrics(const struct daemon *d, struct buf *out);

#endif
