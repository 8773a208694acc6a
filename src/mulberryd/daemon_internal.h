#ifndef MP_MULBERRYD_DAEMON_INTERNAL_H
#define MP_MULBERRYD_DAEMON_INTERNAL_H

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
#include "util/map.h"

/* Requests of the gateway's listeners: the listener above these bits. */
#define DAEMON_REQUEST_LISTENER_SHIFT 56

/* What the process had to do since its last line about it. */
struct daemon_load {
	uint64_t interval_start_us;
	uint64_t max_tick_delay_us;
	uint64_t cpu_at_start_us, events_at_start;
};

struct daemon {
	uv_loop_t loop;
	const struct settings *settings;
	const char *config_file, *journal_file; /* the latter may be NULL */
	struct journal_writer *journal; /* NULL: nothing is recorded */
	struct log_output *log;
	struct node *node;
	struct node_effects *effects;
	struct event_queue *queue; /* came while effects are carried out */
	bool stepping;

	struct http_server *api_server;
	struct front_server *gateway[NODE_LISTENERS]; /* NULL: not served */
	struct http_client *client;
	struct bus *bus;
	struct store *store; /* NULL without a data folder */
	struct map *metrics_requests; /* GET /metrics not yet answered */
	uint64_t started_us;
	uint64_t event_count;

	uv_timer_t tick_timer;
	uint64_t tick_due_us; /* of the timer; 0: not armed */
	struct daemon_load load;
	uv_signal_t sigterm, sigint, sighup;
	uv_timer_t close_timer; /* starts the closing, then limits it */
	bool stop_requested;
	bool closing; /* the node takes no more events */
	unsigned int open_components;
	enum daemon_exit exit_code;
};

/*
 * Give an event to the node and carry out what it wants done, until nothing
 * is left; an event that comes meanwhile is queued.
 */
void daemon_process_event(struct daemon *d, const struct node_event *ev);

/* Carry out all effects in order. */
void daemon_execute_effects(
    struct daemon *d, const struct node_effects *effects);

/* Close all parts soon; the loop then ends. */
void daemon_close(struct daemon *d);

/* Begin the journal if one is wanted. Errors: MP_ERR_IO, MP_ERR_INVALID. */
int daemon_journal_open(
    struct daemon *d, const struct node_boot *boot, struct mp_error *err);

/* Record a step; a journal that cannot be written is given up. */
void daemon_journal_write_step(
    struct daemon *d, uint64_t now_us, const struct node_event *ev);
void daemon_journal_close(struct daemon *d);

/* A tick that was due then runs now; tells of the load when that is due. */
void daemon_record_tick(struct daemon *d, uint64_t due_us);

/* Append the counters of the process itself as Prometheus text. */
void daemon_append_metrics(const struct daemon *d, struct buf *out);

#endif
