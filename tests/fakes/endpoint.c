/*
 * Stand-in for an endpoint: option parsing, request dispatch and shutdown.
 *
 * After SIGTERM the endpoint announces that it leaves, continues to serve, and
 * exits once it was idle for ENDPOINT_LEAVE_IDLE_MS.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fakes/endpoint.h"
#include "util/mem.h"

#define ENDPOINT_LEAVE_IDLE_MS		 1500 /* idle time before exit */
#define ENDPOINT_LEAVE_CHECK_INTERVAL_MS 100

static uv_timer_t leave_timer;

unsigned
counter_add(struct map *counters, const char *key)
{
	unsigned *n = map_get_str(counters, key);

	if (n == NULL) {
		n = mem_alloc(1, sizeof(*n));
		(void)map_set_str(counters, key, n);
	}
	return ++*n;
}

static void
engine_on_request(struct endpoint *e, const struct node_request *r)
{
	bool post = strcmp(r->method, "POST") == 0;

	if (post && fake_path_is(r->path, "/v1/completions"))
		runs_start(e, r);
	else if (post && fake_path_is(r->path, "/v1/adapters/load"))
		slots_load(e, r);
	else if (post && fake_path_is(r->path, "/v1/adapters/evict"))
		slots_evict(e, r);
	else if (post && fake_path_is(r->path, "/v1/role"))
		slots_set_role(e, r);
	else if (post && strncmp(r->path, "/v1/requests/", 13) == 0)
		runs_cancel(e, r);
	else if (strncmp(r->path, "/v1/kv/", 7) == 0)
		kv_serve(e, r);
	else if (fake_path_is(r->path, "/v1/cache"))
		prefix_list(e, r);
	else
		fake_reply_error(e->server, r->request, 404, "no-such-path");
}

static void
on_request(void *ctx, const struct node_request *r)
{
	struct endpoint *e = ctx;
	uint64_t connection = http_server_get_connection(e->server, r->request);

	if (connection > e->newest_connection)
		e->newest_connection = connection;
	if (fake_path_is(r->path, "/fake/set"))
		control_set(e, r);
	else if (fake_path_is(r->path, "/fake/state"))
		control_state(e, r);
	else if (control_is_silent(e, r->request))
		return;
	else if (strcmp(e->type, "service") == 0)
		service_call(e, r);
	else
		engine_on_request(e, r);
}

static void
on_disconnect(void *ctx, uint64_t request)
{
	struct endpoint *e = ctx;

	e->counts.gone++;
	runs_on_disconnect(e, request);
}

static void
on_call(void *ctx, const struct node_call_event *ev)
{
	struct endpoint *e = ctx;

	if (ev->call == e->announce_call)
		announce_on_call(e, ev);
	else
		slots_on_call(e, ev);
}

static void
on_server_closed(void *ctx)
{
	(void)ctx;
	exit(0);
}

/* Exits although the server still waits for requests. */
static void
on_shutdown_timeout(uv_timer_t *timer)
{
	(void)timer;
	exit(0); /* requests without a response never complete */
}

static void
on_leave_check(uv_timer_t *timer)
{
	struct endpoint *e = timer->data;
	uint64_t now = uv_now(&e->loop);

	if (e->nrunning + e->nqueued > 0)
		e->idle_since_ms = now;
	if (now - e->idle_since_ms < ENDPOINT_LEAVE_IDLE_MS)
		return;
	(void)uv_timer_start(
	    timer, on_shutdown_timeout, ENDPOINT_LEAVE_IDLE_MS, 0);
	announce_stop(e);
	http_server_destroy(e->server, on_server_closed, e);
}

/* Announces that the endpoint leaves; a second SIGTERM exits at once. */
static void
on_signal(uv_signal_t *signal, int number)
{
	struct endpoint *e = signal->data;

	(void)number;
	if (e->leaving)
		exit(0);
	e->leaving = true;
	e->idle_since_ms = uv_now(&e->loop);
	announce_send(e);
	(void)uv_timer_start(&leave_timer, on_leave_check,
	    ENDPOINT_LEAVE_CHECK_INTERVAL_MS, ENDPOINT_LEAVE_CHECK_INTERVAL_MS);
}

static void
parse_options(struct endpoint *e, int argc, char **argv)
{
	const struct fake_cli_option options[] = {
	    {.name = "id", .text = &e->id},
	    {.name = "data-centre", .text = &e->data_centre},
	    {.name = "region", .text = &e->region},
	    {.name = "type", .text = &e->type},
	    {.name = "service", .text = &e->service},
	    {.name = "listen", .text = &e->listen},
	    {.name = "announce", .text = &e->announce},
	    {.name = "token", .text = &e->token},
	    {.name = "store", .text = &e->store},
	    {.name = "fencing", .text = &e->fencing},
	    {.name = "base-model", .text = &e->base_model},
	    {.name = "slots", .number = &e->slot_count},
	    {.name = "seats", .number = &e->seats},
	    {.name = "step-ms", .number = &e->step_ms},
	    {.name = "adapter-ms", .number = &e->adapter_ms},
	    {.name = "prefill-us", .number = &e->prefill_us},
	    {.name = "load-ms", .number = &e->extra_load_ms},
	    {.name = "report-lag-ms", .number = &e->report_lag_ms},
	    {.name = "gap-every", .number = &e->gap_every},
	    {.name = "fail-loads", .number = &e->faults.fail_loads},
	    {.name = "cache", .number = &e->cache_capacity},
	    {.name = "seed", .number = &e->seed},
	    {.name = "service-ms", .number = &e->service_ms},
	    {.name = "evict-blindly", .flag = &e->evict_blindly},
	    {.name = "full-announcements", .flag = &e->full_announcements}};

	fake_parse_options(
	    argc, argv, options, sizeof(options) / sizeof(options[0]));
}

int
main(int argc, char **argv)
{
	static struct endpoint e = {.id = "endpoint-1",
	    .data_centre = "dc-1",
	    .region = "region-1",
	    .type = "engine",
	    .service = "service",
	    .listen = "127.0.0.1:0",
	    .announce = "",
	    .token = "",
	    .fencing = "checked",
	    .base_model = "base-1",
	    .slot_count = 4,
	    .seats = 8,
	    .step_ms = 20,
	    .adapter_ms = 1,
	    .prefill_us = 500,
	    .cache_capacity = 64,
	    .service_ms = 5,
	    .role = "mixed"};
	const struct http_server_callbacks callbacks = {
	    on_request, on_disconnect, NULL};

	parse_options(&e, argc, argv);
	(void)uv_loop_init(&e.loop);
	rng_seed(&e.rng, (uint64_t)e.seed ^ uv_hrtime() ^ (uint64_t)getpid());
	e.incarnation =
	    rng_u64(&e.rng) >> 12 | 1; /* below 2^53: exact as a JSON number */
	rng_seed(&e.rng, (uint64_t)e.seed);
	e.runs_by_id = map_create();
	e.calls_by_key = map_create();
	e.kv_prompts = map_create();
	if (http_client_create(&e.client, &e.loop, on_call, &e, NULL) != MP_OK)
		return 1;
	slots_init(&e);
	e.server = fake_serve(
	    &e.loop, e.listen, &callbacks, &e, e.address, sizeof(e.address));
	(void)uv_signal_init(&e.loop, &e.stop_signal);
	e.stop_signal.data = &e;
	(void)uv_signal_start(&e.stop_signal, on_signal, SIGTERM);
	(void)uv_timer_init(&e.loop, &leave_timer);
	leave_timer.data = &e;
	announce_start(&e);
	(void)uv_run(&e.loop, UV_RUN_DEFAULT);
	return 0;
}
