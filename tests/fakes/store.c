/*
 * Stand-in for the weight store: GET /adapters/NAME takes --load-ms while at
 * most
 * --in-flight loads are in progress, and proportionally longer beyond that.
 * Loads above --rate per second are refused with 429 by a token bucket.
 * GET /fake/state returns the counters.
 */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake.h"
#include "util/mem.h"

#define STORE_TICK_INTERVAL_MS 5
#define STORE_BURST_LOADS      8
#define STORE_LOADS_MAX	       1024

struct load {
	uint64_t request;
	double remaining_ms; /* at full speed */
};

struct store {
	uv_loop_t loop;
	uv_timer_t tick_timer;
	uv_signal_t stop_signal;
	struct http_server *server;
	const char *listen;
	double rate_per_s; /* accepted loads */
	double full_speed_loads; /* concurrent loads without slowdown */
	double load_ms;
	double rate_tokens; /* token bucket, up to STORE_BURST_LOADS */
	uint64_t last_tick_ms;
	struct load loads[STORE_LOADS_MAX];
	size_t nloads, peak_loads;
	uint64_t served, refused;
	uint64_t gone; /* loads whose client disconnected */
};

static void
store_remove(struct store *s, size_t i)
{
	s->loads[i] = s->loads[--s->nloads];
}

static void
on_tick(uv_timer_t *timer)
{
	struct store *s = timer->data;
	uint64_t now = uv_now(&s->loop);
	double elapsed = (double)(now - s->last_tick_ms), speed = 1;
	size_t i = s->nloads;

	s->last_tick_ms = now;
	s->rate_tokens += elapsed * s->rate_per_s / 1000;
	if (s->rate_tokens > STORE_BURST_LOADS)
		s->rate_tokens = STORE_BURST_LOADS;
	if ((double)s->nloads > s->full_speed_loads)
		speed = s->full_speed_loads / (double)s->nloads;
	while (i-- > 0) {
		s->loads[i].remaining_ms -= elapsed * speed;
		if (s->loads[i].remaining_ms > 0)
			continue;
		s->served++;
		fake_reply(s->server, s->loads[i].request, 200,
		    json_pack("{s:s}", "weights", "w"));
		store_remove(s, i);
	}
}

static void
store_start_load(struct store *s, uint64_t request)
{
	if (s->rate_tokens < 1 || s->nloads == STORE_LOADS_MAX) {
		s->refused++;
		fake_reply_error(s->server, request, 429, "rate");
		return;
	}
	s->rate_tokens -= 1;
	s->loads[s->nloads++] = (struct load){request, s->load_ms};
	if (s->nloads > s->peak_loads)
		s->peak_loads = s->nloads;
}

static void
on_request(void *ctx, const struct node_request *r)
{
	struct store *s = ctx;

	if (strncmp(r->path, "/adapters/", 10) == 0)
		store_start_load(s, r->request);
	else if (fake_path_is(r->path, "/fake/state"))
		fake_reply(s->server, r->request, 200,
		    json_pack("{s:I, s:I, s:I, s:I, s:I}", "served",
			(json_int_t)s->served, "refused",
			(json_int_t)s->refused, "gone", (json_int_t)s->gone,
			"inFlight", (json_int_t)s->nloads, "maxInFlight",
			(json_int_t)s->peak_loads));
	else
		fake_reply_error(s->server, r->request, 404, "no-such-path");
}

static void
on_disconnect(void *ctx, uint64_t request)
{
	struct store *s = ctx;
	size_t i;

	for (i = 0; i < s->nloads; i++)
		if (s->loads[i].request == request) {
			s->gone++;
			store_remove(s, i);
			return;
		}
}

static void
on_signal(uv_signal_t *signal, int number)
{
	struct store *s = signal->data;

	(void)number;
	http_server_destroy(s->server, NULL, NULL);
	uv_close((uv_handle_t *)&s->stop_signal, NULL);
	uv_unref((uv_handle_t *)&s->tick_timer);
}

int
main(int argc, char **argv)
{
	static struct store s = {.listen = "127.0.0.1:0",
	    .rate_per_s = 5,
	    .full_speed_loads = 8,
	    .load_ms = 250,
	    .rate_tokens = STORE_BURST_LOADS};
	const struct fake_cli_option options[] = {
	    {.name = "listen", .text = &s.listen},
	    {.name = "rate", .number = &s.rate_per_s},
	    {.name = "in-flight", .number = &s.full_speed_loads},
	    {.name = "load-ms", .number = &s.load_ms}};
	const struct http_server_callbacks callbacks = {
	    on_request, on_disconnect, NULL};
	char address[64];

	fake_parse_options(
	    argc, argv, options, sizeof(options) / sizeof(options[0]));
	(void)uv_loop_init(&s.loop);
	s.server = fake_serve(
	    &s.loop, s.listen, &callbacks, &s, address, sizeof(address));
	s.last_tick_ms = uv_now(&s.loop);
	(void)uv_timer_init(&s.loop, &s.tick_timer);
	s.tick_timer.data = &s;
	(void)uv_timer_start(&s.tick_timer, on_tick, STORE_TICK_INTERVAL_MS,
	    STORE_TICK_INTERVAL_MS);
	(void)uv_signal_init(&s.loop, &s.stop_signal);
	s.stop_signal.data = &s;
	(void)uv_signal_start(&s.stop_signal, on_signal, SIGTERM);
	(void)uv_run(&s.loop, UV_RUN_DEFAULT);
	return 0;
}
