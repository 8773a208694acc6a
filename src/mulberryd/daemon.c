/* Event loop, start and shutdown of the daemon. */

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "mulberryd/daemon_internal.h"
#include "platform/platform.h"
#include "util/clock.h"

#define US_PER_MS	 1000
#define CLOSE_TIMEOUT_MS 5000
/* The part of the process's memory for what connections buffer. */
#define BUFFER_MEMORY_DIVISOR 4

/* Returns milliseconds since 1970, or 0 on failure. */
static uint64_t
wall_now_ms(void)
{
	uv_timeval64_t t;

	if (uv_gettimeofday(&t) != 0)
		return 0;
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_usec / US_PER_MS;
}

/* Returns a random number that is not 0. */
static uint64_t
random_nonzero_u64(void)
{
	uint64_t n = 0;

	while (n == 0)
		randombytes_buf(&n, sizeof(n));
	return n;
}

/* ---- events ------------------------------------------------------------ */

static void
on_tick(uv_timer_t *timer)
{
	struct node_event ev = {.type = NODE_EV_TICK};
	struct daemon *d = timer->data;

	daemon_record_tick(d, d->tick_due_us);
	d->tick_due_us = 0;
	daemon_process_event(d, &ev);
}

/*
 * Arms the timer for the node's next tick. An earlier expiry that is already
 * armed stays: re-arming it on each event would postpone the tick as long as
 * events keep being received.
 */
static void
arm_tick(struct daemon *d)
{
	uint64_t due = node_next_tick(d->node);
	uint64_t now = clock_now_us();
	uint64_t delay_ms = 1;

	if (d->tick_due_us != 0 && d->tick_due_us <= due)
		return;
	d->tick_due_us = due;
	if (due > now + US_PER_MS)
		delay_ms = (due - now + US_PER_MS - 1) / US_PER_MS;
	uv_update_time(&d->loop);
	(void)uv_timer_start(&d->tick_timer, on_tick, delay_ms, 0);
}

/* Processes one event: node, journal, effects. */
static void
process_one_event(struct daemon *d, const struct node_event *ev)
{
	uint64_t now_us = clock_now_us();

	d->event_count++;
	node_step(d->node, now_us, ev, d->effects);
	daemon_journal_write_step(d, now_us, ev);
	daemon_execute_effects(d, d->effects);
	node_effects_clear(d->effects);
}

void
daemon_process_event(struct daemon *d, const struct node_event *ev)
{
	const struct node_event *queued;

	if (d->closing)
		return;
	if (d->stepping) {
		event_queue_push(d->queue, ev);
		return;
	}
	d->stepping = true;
	process_one_event(d, ev);
	while ((queued = event_queue_peek(d->queue)) != NULL) {
		if (!d->closing)
			process_one_event(d, queued);
		event_queue_pop(d->queue);
	}
	d->stepping = false;
	if (!d->closing)
		arm_tick(d);
}

static void
on_request(void *ctx, const struct node_request *request)
{
	struct node_event ev = {.type = NODE_EV_REQUEST};

	ev.u.request = *request;
	daemon_process_event(ctx, &ev);
}

static void
on_caller_gone(void *ctx, uint64_t request)
{
	struct node_event ev = {.type = NODE_EV_CALLER_GONE};

	ev.u.gone_request = request;
	daemon_process_event(ctx, &ev);
}

/* A caller reads too slowly, or has read: its response is read accordingly. */
static void
on_backlog(void *ctx, uint64_t request, bool is_long)
{
	struct daemon *d = ctx;

	if (!d->closing) /* the client may be closed before the servers */
		http_client_pause(d->client, request, is_long);
}

static void
on_call(void *ctx, const struct node_call_event *event)
{
	struct node_event ev = {.type = NODE_EV_CALL};

	ev.u.call = *event;
	daemon_process_event(ctx, &ev);
}

static void
on_message(void *ctx, uint32_t from, struct node_bytes bytes)
{
	struct node_event ev = {.type = NODE_EV_MESSAGE};

	ev.u.message.from = from;
	ev.u.message.bytes = bytes;
	daemon_process_event(ctx, &ev);
}

static void
on_saved(void *ctx, uint64_t ticket, bool ok, const char *reason)
{
	struct node_event ev = {.type = NODE_EV_SAVED};
	struct daemon *d = ctx;

	if (!ok)
		log_output_write_event(
		    d->log, EVENT_SAVE_FAILED, "{\"reason\": \"%s\"}", reason);
	ev.u.saved.ticket = ticket;
	ev.u.saved.ok = ok;
	ev.u.saved.reason = reason;
	daemon_process_event(d, &ev);
}

static void
on_disk_full(void *ctx, bool full)
{
	struct daemon *d = ctx;

	log_output_write_event(
	    d->log, EVENT_DISK_FULL, "{\"full\": %s}", full ? "true" : "false");
}

/* The first stop signal starts a graceful shutdown, the second exits. */
static void
on_signal(uv_signal_t *handle, int number)
{
	struct node_event ev = {.type = NODE_EV_STOP};
	struct daemon *d = handle->data;

	if (d->stop_requested) {
		log_output_write_event(
		    d->log, EVENT_EXIT_FORCED, "{\"signal\": %d}", number);
		_exit(DAEMON_EXIT_FAILED);
	}
	d->stop_requested = true;
	log_output_write_event(
	    d->log, EVENT_STOP_REQUESTED, "{\"signal\": %d}", number);
	daemon_process_event(d, &ev);
}

/*
 * Validates the settings file on SIGHUP and logs the result. Its values take
 * effect at the next start.
 */
static void
on_reload(uv_signal_t *handle, int number)
{
	struct daemon *d = handle->data;
	struct settings_problems problems = {0};
	struct settings *settings = NULL;
	struct mp_error err = {0};
	bool valid;

	(void)number;
	valid =
	    settings_load(&settings, d->config_file, &problems, &err) == MP_OK;
	log_output_write_event(d->log, EVENT_RELOADED,
	    "{\"valid\": %s, \"seeds\": %zu, \"fault\": \"%s\"}",
	    valid ? "true" : "false", valid ? settings->nseeds : 0,
	    problems.count > 0 ? problems.items[0].path : "");
	settings_problems_free(&problems);
	settings_destroy(settings);
}

/* ---- closing ----------------------------------------------------------- */

/* A component was closed; after the last, closes the loop's handles. */
static void
on_component_closed(void *ctx)
{
	struct daemon *d = ctx;

	if (--d->open_components > 0)
		return;
	uv_close((uv_handle_t *)&d->tick_timer, NULL);
	uv_close((uv_handle_t *)&d->sigterm, NULL);
	uv_close((uv_handle_t *)&d->sigint, NULL);
	uv_close((uv_handle_t *)&d->sighup, NULL);
	uv_close((uv_handle_t *)&d->close_timer, NULL);
}

/* The components did not close within the timeout. */
static void
on_close_timeout(uv_timer_t *timer)
{
	struct daemon *d = timer->data;

	log_output_write_event(
	    d->log, EVENT_CLOSE_OVERDUE, "{\"parts\": %u}", d->open_components);
	_exit(DAEMON_EXIT_FAILED);
}

/*
 * Closes all components. The count starts at 1 more than there are, so that
 * the loop's own handles are closed even if there are none.
 */
static void
close_components(uv_timer_t *timer)
{
	struct daemon *d = timer->data;
	size_t i;

	(void)uv_timer_stop(&d->tick_timer);
	(void)uv_timer_start(
	    &d->close_timer, on_close_timeout, CLOSE_TIMEOUT_MS, 0);
	d->open_components = 1 + (d->api_server != NULL) + (d->client != NULL) +
	    (d->bus != NULL) + (d->store != NULL);
	for (i = 0; i < NODE_LISTENERS; i++)
		d->open_components += d->gateway[i] != NULL;
	for (i = 0; i < NODE_LISTENERS; i++)
		if (d->gateway[i] != NULL)
			front_server_destroy(
			    d->gateway[i], on_component_closed, d);
	if (d->api_server != NULL)
		http_server_destroy(d->api_server, on_component_closed, d);
	if (d->client != NULL)
		http_client_destroy(d->client, on_component_closed, d);
	if (d->bus != NULL)
		bus_destroy(d->bus, on_component_closed, d);
	if (d->store != NULL)
		store_close(d->store, on_component_closed, d);
	on_component_closed(d);
}

void
daemon_close(struct daemon *d)
{
	if (d->closing)
		return;
	d->closing = true;
	/* Not at once: the caller may be a callback of a component. */
	(void)uv_timer_start(&d->close_timer, close_components, 0, 0);
}

/* ---- start ------------------------------------------------------------- */

/* Raises the soft limit of open files to the hard limit. */
static void
raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	(void)setrlimit(RLIMIT_NOFILE, &limit);
}

static void
init_handles(struct daemon *d)
{
	(void)uv_timer_init(&d->loop, &d->tick_timer);
	(void)uv_timer_init(&d->loop, &d->close_timer);
	(void)uv_signal_init(&d->loop, &d->sigterm);
	(void)uv_signal_init(&d->loop, &d->sigint);
	(void)uv_signal_init(&d->loop, &d->sighup);
	d->tick_timer.data = d;
	d->close_timer.data = d;
	d->sigterm.data = d;
	d->sigint.data = d;
	d->sighup.data = d;
	(void)uv_signal_start(&d->sigterm, on_signal, SIGTERM);
	(void)uv_signal_start(&d->sigint, on_signal, SIGINT);
	(void)uv_signal_start(&d->sighup, on_reload, SIGHUP);
}

static void
log_data_folder(struct daemon *d, const struct node_disk *disk)
{
	log_output_write_event(d->log,
	    disk->damaged ? EVENT_FOLDER_DAMAGED : EVENT_FOLDER_OPENED,
	    "{\"folder\": \"%s\", \"fresh\": %s, \"records\": %zu, "
	    "\"snapshot\": %llu}",
	    d->settings->data_folder, disk->fresh ? "true" : "false",
	    disk->record_count, (unsigned long long)disk->snapshot_index);
}

/*
 * Opens the data folder, if the settings name one, creates the node from its
 * content and starts the journal.
 */
static int
create_node(struct daemon *d, struct mp_error *err)
{
	struct node_boot boot = {0};
	int code = MP_OK;

	if (d->settings->data_folder != NULL) {
		code = store_open(&d->store, &d->loop, d->settings->data_folder,
		    on_saved, d, &boot.disk, err);
		if (code != MP_OK)
			return code;
		store_set_full_cb(d->store, on_disk_full);
		log_data_folder(d, boot.disk);
	}
	boot.settings = d->settings;
	boot.codec = &platform_codec;
	boot.incarnation = random_nonzero_u64();
	boot.seed = random_nonzero_u64();
	boot.now_us = clock_now_us();
	boot.wall_ms = wall_now_ms();
	randombytes_buf(boot.key_secret, sizeof(boot.key_secret));
	code = node_create(&d->node, &boot, err);
	if (code == MP_OK)
		code = daemon_journal_open(d, &boot, err);
	if (d->store != NULL)
		store_free_disk(d->store);
	return code;
}

/* Creates the server of mulberrypath's own HTTP API. */
static int
create_api_server(struct daemon *d, struct mp_error *err)
{
	static const struct http_server_callbacks callbacks = {
	    .on_request = on_request,
	    .on_disconnect = on_caller_gone,
	    .on_backlog = on_backlog,
	};
	const struct settings *s = d->settings;
	struct http_server_options options = {
	    .listen = s->http_listen,
	    .body_limit_bytes = s->body_limit_bytes,
	    .header_limit_bytes = s->header_limit_bytes,
	    .connection_limit = s->connection_limit,
	    .idle_timeout_ms = s->idle_timeout_ms,
	    .tls_certificate = s->tls_certificate,
	    .tls_key = s->tls_key,
	    .budget = d->buffered,
	};

	return http_server_create(
	    &d->api_server, &d->loop, &options, &callbacks, d, err);
}

/* Creates the server of one gateway listener; none without an address. */
static int
create_gateway(struct daemon *d, enum node_listener listener,
    const char *address, struct mp_error *err)
{
	static const struct http_server_callbacks callbacks = {
	    .on_request = on_request,
	    .on_disconnect = on_caller_gone,
	    .on_backlog = on_backlog,
	};
	const struct settings *s = d->settings;
	struct front_options options = {
	    .listen = address,
	    .first_request_id = (uint64_t)listener
		<< DAEMON_REQUEST_LISTENER_SHIFT,
	    .listener = listener,
	    .connection_limit = s->connection_limit,
	    .limits = {.header_bytes = s->header_limit_bytes,
		.body_bytes = s->body_limit_bytes,
		.header_timeout_ms = s->idle_timeout_ms,
		.idle_timeout_ms = s->idle_timeout_ms},
	    .budget = d->buffered,
	};

	if (address == NULL)
		return MP_OK;
	return front_server_create(
	    &d->gateway[listener], &d->loop, &options, &callbacks, d, err);
}

static int
create_gateway_listeners(struct daemon *d, struct mp_error *err)
{
	const struct settings_gateway *s = &d->settings->gateway;
	int code = create_gateway(d, NODE_LISTEN_FRONT, s->front, err);

	if (code == MP_OK)
		code =
		    create_gateway(d, NODE_LISTEN_READINESS, s->readiness, err);
	if (code == MP_OK)
		code = create_gateway(d, NODE_LISTEN_CONTROL, s->control, err);
	if (code == MP_OK)
		code =
		    create_gateway(d, NODE_LISTEN_REGISTRY, s->registry, err);
	return code;
}

/* Creates all components and passes the first tick to the node. */
static int
start_components(struct daemon *d, struct mp_error *err)
{
	struct node_event first = {.type = NODE_EV_TICK};
	int code = create_node(d, err);

	if (code == MP_OK)
		code = bus_create(
		    &d->bus, &d->loop, d->settings, on_message, d, err);
	if (code == MP_OK)
		code =
		    http_client_create(&d->client, &d->loop, on_call, d, err);
	if (code == MP_OK)
		http_client_set_budget(d->client, d->buffered);
	if (code == MP_OK)
		code = create_gateway_listeners(d, err);
	if (code == MP_OK)
		code = create_api_server(d, err);
	if (code != MP_OK)
		return code;
	if (d->settings->public_key == NULL)
		log_output_write_event(d->log, EVENT_BUS_OPEN, "{}");
	log_output_write_event(d->log, EVENT_STARTED,
	    "{\"id\": %u, \"http\": \"%s\", \"bus\": \"%s\", \"pid\": %d}",
	    d->settings->id, d->settings->http_listen, d->settings->bus_listen,
	    (int)getpid());
	daemon_process_event(d, &first);
	return MP_OK;
}

static void
log_failed_start(struct daemon *d, const struct mp_error *err)
{
	log_output_write_event(d->log, EVENT_START_FAILED,
	    "{\"layer\": \"%s\", \"code\": \"%s\", \"reason\": \"%s\"}",
	    mp_layer_name(err->layer), mp_code_name(err->code), err->message);
}

enum daemon_exit
daemon_run(
    const struct settings *settings, const char *config, const char *journal)
{
	struct daemon d = {.settings = settings,
	    .config_file = config,
	    .journal_file = journal};
	struct mp_error err = {0};

	if (sodium_init() < 0 || uv_loop_init(&d.loop) != 0)
		return DAEMON_EXIT_FAILED;
	raise_file_limit();
	d.log = log_output_create(
	    settings->log_level, settings->log_format, settings->name);
	d.effects = node_effects_create();
	d.queue = event_queue_create();
	d.buffered =
	    byte_budget_create(((uint64_t)settings->memory_limit_mb << 20) /
		BUFFER_MEMORY_DIVISOR);
	d.started_us = clock_now_us();
	d.load.interval_start_us = d.started_us;
	init_handles(&d);
	if (start_components(&d, &err) != MP_OK) {
		log_failed_start(&d, &err);
		d.exit_code = DAEMON_EXIT_FAILED;
		daemon_close(&d);
	}
	(void)uv_run(&d.loop, UV_RUN_DEFAULT);
	(void)uv_loop_close(&d.loop);
	daemon_journal_close(&d);
	if (d.node != NULL)
		node_destroy(d.node);
	byte_budget_destroy(d.buffered);
	event_queue_destroy(d.queue);
	node_effects_destroy(d.effects);
	if (d.exit_code == DAEMON_EXIT_OK)
		log_output_write_event(d.log, EVENT_EXITED, "{}");
	log_output_destroy(d.log);
	return d.exit_code;
}
